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
/// Error assumed of a predictor that was never tried; below the other's, so that declared times
/// are trusted at first.
const FIRST_ERROR: f64 = 0.3;

/// A predictor of run times in logarithms: an offset, and how far off it has been of late.
#[derive(Clone, Copy, Debug)]
struct Predictor {
    offset: f64,
    error: f64,
}

impl Predictor {
    fn learn(&mut self, logarithm: f64, weight: f64) {
        let limit = OUTLIER_FACTOR.ln();
        let miss = (logarithm - self.offset).clamp(-limit, limit);
        self.error += weight * (miss.abs() - self.error);
        self.offset += weight * miss;
    }
}

#[derive(Debug)]
struct TypeTime {
    seen: f64,
    /// Predicts the same time for every task of the type.
    typical: Predictor,
    /// Predicts the declared time, times a factor.
    declared: Predictor,
}

/// Learned run times, in seconds: of job types on a worker of slowness 1, and each worker's slowness.
#[derive(Debug)]
pub struct Speeds<J = JobType, W = WorkerName> {
    types: IndexMap<J, TypeTime>,
    /// Logarithm of each worker's slowness.
    workers: IndexMap<W, f64>,
}

impl<J, W> Default for Speeds<J, W> {
    fn default() -> Self {
        Speeds { types: IndexMap::new(), workers: IndexMap::new() }
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

    /// Expected seconds of a task of this type on a worker of slowness 1. Declared times are used
    /// as long as they predict better than the type's typical time.
    pub fn seconds(&self, job_type: &J, declared_ms: Option<u64>) -> f64 {
        let declared = declared_ms.map(declared_logarithm);
        let predicted = match (self.types.get(job_type), declared) {
            (None, None) => return UNKNOWN_SECONDS,
            (None, Some(declared)) => declared,
            (Some(known), Some(declared)) if known.declared.error <= known.typical.error => {
                declared + known.declared.offset
            }
            (Some(known), _) => known.typical.offset,
        };
        predicted.exp()
    }

    /// Learns from a task that took `seconds`.
    pub fn learn(&mut self, job_type: &J, declared_ms: Option<u64>, worker: &W, seconds: f64) {
        let predicted = logarithm(self.seconds(job_type, declared_ms));
        let slowness = self.workers.get(worker).copied().unwrap_or_default();
        let own = logarithm(seconds) - slowness;
        self.learn_type(job_type, declared_ms, own);
        let limit = OUTLIER_FACTOR.ln();
        let miss = (logarithm(seconds) - predicted - slowness).clamp(-limit, limit);
        self.workers.insert(worker.clone(), slowness + WORKER_WEIGHT * miss);
    }

    fn learn_type(&mut self, job_type: &J, declared_ms: Option<u64>, own: f64) {
        if !self.types.contains_key(job_type) {
            if self.types.len() >= MAX_TYPES {
                return;
            }
            let typical = Predictor { offset: own, error: 2.0 * FIRST_ERROR };
            let declared = Predictor { offset: 0.0, error: FIRST_ERROR };
            let fresh = TypeTime { seen: 0.0, typical, declared };
            self.types.insert(job_type.clone(), fresh);
        }
        let Some(known) = self.types.get_mut(job_type) else { return };
        known.seen += 1.0;
        let weight = TYPE_WEIGHT.max(1.0 / (10.0 + known.seen));
        known.typical.learn(own, weight);
        if let Some(ms) = declared_ms {
            known.declared.learn(own - declared_logarithm(ms), weight);
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
