//! Run time predictions, learned from the run times of tasks by job type and worker.

use super::id::{JobType, WorkerName};
use indexmap::IndexMap;
use std::hash::Hash;

/// Default weight of a new observation in a worker's slowness.
const WORKER_WEIGHT: f64 = 0.1;
/// Lowest weight of a new observation of a job type. The first observations weigh more.
const MIN_TYPE_WEIGHT: f64 = 0.02;
/// Run time assumed for tasks of an unknown job type without a declared run time, in seconds.
const DEFAULT_SECONDS: f64 = 0.3;
/// An observation that differs from the estimate by more than this factor counts as one that
/// differs by this factor, which limits the effect of outliers.
const OUTLIER_FACTOR: f64 = 4.0;
/// Limit on the job types that run times are learned for.
const MAX_TYPES: usize = 4_096;
/// Initial variance of declared run times and initial covariance with actual ones. As they are
/// equal, run times are predicted in the ratio of the declared ones, until enough observations
/// outweigh these values, whose weight decays like that of observations.
const INITIAL_VARIANCE: f64 = 0.25;

/// Run times of a job type: a linear regression of the logarithm of the run time on that of the
/// declared run time, with exponentially decaying weights.
#[derive(Debug)]
struct JobTypeModel {
    /// Number of observations so far, without decay; determines the weight of the next one.
    observations: f64,
    /// Mean logarithm of the run time in seconds, on a worker of slowness 1.
    mean: f64,
    /// Mean logarithm of the declared run time in seconds.
    mean_declared: f64,
    /// Variance of the logarithms of declared run times.
    variance: f64,
    /// Covariance of the logarithms of declared and actual run times.
    covariance: f64,
}

impl JobTypeModel {
    fn new(run_time: f64, declared: Option<f64>) -> Self {
        JobTypeModel {
            observations: 0.0,
            mean: run_time,
            mean_declared: declared.unwrap_or(run_time),
            variance: INITIAL_VARIANCE,
            covariance: INITIAL_VARIANCE,
        }
    }

    fn predict(&self, declared: Option<f64>) -> f64 {
        let slope = (self.covariance / self.variance).clamp(0.0, 1.0);
        self.mean + declared.map_or(0.0, |declared| slope * (declared - self.mean_declared))
    }

    fn observe(&mut self, run_time: f64, declared: Option<f64>) {
        self.observations += 1.0;
        let weight = MIN_TYPE_WEIGHT.max(1.0 / (4.0 + self.observations));
        let limit = OUTLIER_FACTOR.ln();
        let error = (run_time - self.mean).clamp(-limit, limit);
        self.mean += weight * error;
        let Some(declared) = declared else { return };
        let deviation = declared - self.mean_declared;
        self.mean_declared += weight * deviation;
        let decay = 1.0 - weight;
        self.variance = (decay * (self.variance + weight * deviation * deviation)).max(1e-6);
        self.covariance = decay * (self.covariance + weight * deviation * error);
    }
}

/// Predicts run times from the run times of each job type on a worker of slowness 1 and from the
/// slowness of each worker, a factor on run times.
#[derive(Debug)]
pub struct RunTimeEstimator<J = JobType, W = WorkerName> {
    types: IndexMap<J, JobTypeModel>,
    /// Logarithms of the workers' slowness.
    workers: IndexMap<W, f64>,
    /// Numbers of observed runs, by worker.
    worker_observations: IndexMap<W, u64>,
    /// Weight of a new observation in a worker's slowness.
    worker_weight: f64,
}

impl<J, W> Default for RunTimeEstimator<J, W> {
    fn default() -> Self {
        RunTimeEstimator::with_worker_weight(WORKER_WEIGHT)
    }
}

impl<J, W> RunTimeEstimator<J, W> {
    /// Creates an estimator without observations. A new observation of a worker gets the weight
    /// `worker_weight`, above 0 and at most 1, in its slowness.
    pub fn with_worker_weight(worker_weight: f64) -> Self {
        RunTimeEstimator {
            types: IndexMap::new(),
            workers: IndexMap::new(),
            worker_observations: IndexMap::new(),
            worker_weight,
        }
    }
}

/// Logarithm of a run time, at least that of 0.1 ms, which keeps it finite.
fn ln_seconds(seconds: f64) -> f64 {
    seconds.max(1e-4).ln()
}

fn ln_declared_seconds(ms: u64) -> f64 {
    ln_seconds(ms as f64 / 1_000.0)
}

impl<J, W> RunTimeEstimator<J, W>
where
    J: Clone + Eq + Hash,
    W: Clone + Eq + Hash,
{
    /// Factor of a worker's run times against those of an average worker; 1 if unknown.
    pub fn slowness(&self, worker: &W) -> f64 {
        self.workers.get(worker).map_or(1.0, |ln_slowness| ln_slowness.exp())
    }

    /// Predicted run time of a task of this type on a worker of slowness 1, in seconds. Declared
    /// run times have an effect as far as they correlate with the run times of the type.
    pub fn expected_seconds(&self, job_type: &J, declared_ms: Option<u64>) -> f64 {
        let declared = declared_ms.map(ln_declared_seconds);
        match (self.types.get(job_type), declared) {
            (Some(model), declared) => model.predict(declared).exp(),
            (None, Some(declared)) => declared.exp(),
            (None, None) => DEFAULT_SECONDS,
        }
    }

    /// Number of observed runs of a job type.
    pub fn observations(&self, job_type: &J) -> f64 {
        self.types.get(job_type).map_or(0.0, |model| model.observations)
    }

    /// Number of observed runs on a worker.
    pub fn worker_observations(&self, worker: &W) -> u64 {
        self.worker_observations.get(worker).copied().unwrap_or_default()
    }

    /// Records that a task ran on a worker for `seconds`.
    pub fn observe(&mut self, job_type: &J, declared_ms: Option<u64>, worker: &W, seconds: f64) {
        let predicted = ln_seconds(self.expected_seconds(job_type, declared_ms));
        let ln_slowness = self.workers.get(worker).copied().unwrap_or_default();
        let normalized = ln_seconds(seconds) - ln_slowness;
        self.observe_type(job_type, declared_ms, normalized);
        let limit = OUTLIER_FACTOR.ln();
        let error = (ln_seconds(seconds) - predicted - ln_slowness).clamp(-limit, limit);
        self.workers.insert(worker.clone(), ln_slowness + self.worker_weight * error);
        *self.worker_observations.entry(worker.clone()).or_default() += 1;
    }

    /// Records `run_time`, the logarithm of a run time converted to a worker of slowness 1.
    fn observe_type(&mut self, job_type: &J, declared_ms: Option<u64>, run_time: f64) {
        let declared = declared_ms.map(ln_declared_seconds);
        if let Some(model) = self.types.get_mut(job_type) {
            model.observe(run_time, declared);
        } else if self.types.len() < MAX_TYPES {
            self.types.insert(job_type.clone(), JobTypeModel::new(run_time, declared));
        }
    }

    /// Scales the slowness of all workers to a geometric mean of 1 and the run times of all job
    /// types inversely, which changes no prediction. Observations determine only the product of
    /// both, so that they would drift against each other.
    pub fn normalize(&mut self) {
        if self.workers.is_empty() {
            return;
        }
        let mean = self.workers.values().sum::<f64>() / self.workers.len() as f64;
        self.workers.values_mut().for_each(|ln_slowness| *ln_slowness -= mean);
        for model in self.types.values_mut() {
            model.mean += mean;
        }
    }

    /// Removes the workers for which `keep` returns false.
    pub fn retain_workers<F>(&mut self, keep: F)
    where
        F: Fn(&W) -> bool,
    {
        self.workers.retain(|worker, _| keep(worker));
        self.worker_observations.retain(|worker, _| keep(worker));
    }
}
