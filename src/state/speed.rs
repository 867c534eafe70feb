//! What run times were seen, by job type and worker.

use super::id::{JobType, WorkerName};
use indexmap::IndexMap;
use std::hash::Hash;

/// Weight of a new observation of a worker.
const WORKER_WEIGHT: f64 = 0.1;
/// Lowest weight of a new observation of a job type; the first ones weigh more.
const TYPE_WEIGHT: f64 = 0.02;
/// Run time assumed for a job type never seen and without a declared time, in seconds.
const UNKNOWN_SECONDS: f64 = 0.3;
/// One observation moves an estimate by this factor at most, against outliers.
const OUTLIER_FACTOR: f64 = 4.0;
/// Job types remembered at most.
const MAX_TYPES: usize = 4_096;
/// Variance of declared times assumed at first, and weighing like as many observations as its
/// decay takes; declared times are trusted until observations say otherwise.
const FIRST_VARIANCE: f64 = 0.25;

/// Run times of a job type, in logarithms: a linear regression on the declared time, with
/// exponentially decaying weights.
#[derive(Debug)]
struct TypeTime {
    seen: f64,
    /// Mean run time.
    mean: f64,
    /// Mean declared time.
    declared: f64,
    /// Variance of declared times.
    variance: f64,
    /// Covariance of declared and run times.
    covariance: f64,
}

impl TypeTime {
    fn first(run: f64, declared: Option<f64>) -> Self {
        TypeTime {
            seen: 0.0,
            mean: run,
            declared: declared.unwrap_or(run),
            variance: FIRST_VARIANCE,
            covariance: FIRST_VARIANCE,
        }
    }

    fn predict(&self, declared: Option<f64>) -> f64 {
        let slope = (self.covariance / self.variance).clamp(0.0, 1.0);
        self.mean + declared.map_or(0.0, |declared| slope * (declared - self.declared))
    }

    fn learn(&mut self, run: f64, declared: Option<f64>) {
        self.seen += 1.0;
        let weight = TYPE_WEIGHT.max(1.0 / (4.0 + self.seen));
        let limit = OUTLIER_FACTOR.ln();
        let miss = (run - self.mean).clamp(-limit, limit);
        self.mean += weight * miss;
        let Some(declared) = declared else { return };
        let off = declared - self.declared;
        self.declared += weight * off;
        let keep = 1.0 - weight;
        self.variance = (keep * (self.variance + weight * off * off)).max(1e-6);
        self.covariance = keep * (self.covariance + weight * off * miss);
    }
}

/// Learned run times, in seconds: of job types on a worker of slowness 1, and each worker's slowness.
#[derive(Debug)]
pub struct Speeds<J = JobType, W = WorkerName> {
    types: IndexMap<J, TypeTime>,
    /// Logarithm of each worker's slowness.
    workers: IndexMap<W, f64>,
    worker_weight: f64,
}

impl<J, W> Default for Speeds<J, W> {
    fn default() -> Self {
        Speeds::weighing(WORKER_WEIGHT)
    }
}

impl<J, W> Speeds<J, W> {
    /// Nothing learned yet; an observation of a worker weighs `worker_weight`, up to 1.
    pub fn weighing(worker_weight: f64) -> Self {
        Speeds { types: IndexMap::new(), workers: IndexMap::new(), worker_weight }
    }
}

fn logarithm(seconds: f64) -> f64 {
    seconds.max(1e-4).ln()
}

fn declared_logarithm(ms: u64) -> f64 {
    logarithm(ms as f64 / 1_000.0)
}

impl<J, W> Speeds<J, W>
where
    J: Clone + Eq + Hash,
    W: Clone + Eq + Hash,
{
    /// How much slower than the average a worker is; 1 if unknown.
    pub fn slowness(&self, worker: &W) -> f64 {
        self.workers.get(worker).map_or(1.0, |logarithm| logarithm.exp())
    }

    /// Expected seconds of a task of this type on a worker of slowness 1. Declared times count as
    /// far as they have told the run times of the type apart.
    pub fn seconds(&self, job_type: &J, declared_ms: Option<u64>) -> f64 {
        let declared = declared_ms.map(declared_logarithm);
        match (self.types.get(job_type), declared) {
            (Some(known), declared) => known.predict(declared).exp(),
            (None, Some(declared)) => declared.exp(),
            (None, None) => UNKNOWN_SECONDS,
        }
    }

    /// Learns from a task that took `seconds`.
    pub fn learn(&mut self, job_type: &J, declared_ms: Option<u64>, worker: &W, seconds: f64) {
        let predicted = logarithm(self.seconds(job_type, declared_ms));
        let slowness = self.workers.get(worker).copied().unwrap_or_default();
        let own = logarithm(seconds) - slowness;
        self.learn_type(job_type, declared_ms, own);
        let limit = OUTLIER_FACTOR.ln();
        let miss = (logarithm(seconds) - predicted - slowness).clamp(-limit, limit);
        self.workers.insert(worker.clone(), slowness + self.worker_weight * miss);
    }

    fn learn_type(&mut self, job_type: &J, declared_ms: Option<u64>, own: f64) {
        let declared = declared_ms.map(declared_logarithm);
        if let Some(known) = self.types.get_mut(job_type) {
            known.learn(own, declared);
        } else if self.types.len() < MAX_TYPES {
            self.types.insert(job_type.clone(), TypeTime::first(own, declared));
        }
    }

    /// Makes the workers' mean slowness 1 and the job types' times longer by as much: the two can't
    /// be told apart by observations, and would drift against each other.
    pub fn centre(&mut self) {
        if self.workers.is_empty() {
            return;
        }
        let mean = self.workers.values().sum::<f64>() / self.workers.len() as f64;
        self.workers.values_mut().for_each(|slowness| *slowness -= mean);
        for known in self.types.values_mut() {
            known.mean += mean;
        }
    }

    /// Forgets workers that are gone.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&W) -> bool,
    {
        self.workers.retain(|worker, _| keep(worker));
    }
}
