//! What run times were seen, by job type and worker.

use super::id::{JobType, WorkerName};
use indexmap::IndexMap;

/// Weight of a new observation of a worker.
const WORKER_WEIGHT: f64 = 0.1;
/// Weight of a new observation of a job type.
const TYPE_WEIGHT: f64 = 0.02;
/// Run time assumed for a job type never seen and without a declared time, in seconds.
const UNKNOWN_SECONDS: f64 = 0.3;
/// Declared times count for as many observations as this.
const DECLARED_TRUST: f64 = 8.0;
/// Bounds of a worker's slowness, against outliers.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);
/// Job types remembered at most.
const MAX_TYPES: usize = 4096;

#[derive(Debug)]
struct TypeTime {
    seconds: f64,
    seen: f64,
}

/// Learned run times: seconds of a job type on a worker of slowness 1, and each worker's slowness.
#[derive(Debug, Default)]
pub struct Speeds {
    types: IndexMap<JobType, TypeTime>,
    workers: IndexMap<WorkerName, f64>,
}

impl Speeds {
    /// How much slower than the average a worker is; 1 if unknown.
    pub fn slowness(&self, worker: &WorkerName) -> f64 {
        self.workers.get(worker).copied().unwrap_or(1.0)
    }

    /// Expected seconds of a task of this type on a worker of slowness 1.
    pub fn seconds(&self, job_type: &JobType, declared_ms: Option<u64>) -> f64 {
        let declared = declared_ms.map(|ms| ms as f64 / 1_000.0);
        match (self.types.get(job_type), declared) {
            (None, None) => UNKNOWN_SECONDS,
            (None, Some(declared)) => declared,
            (Some(seen), None) => seen.seconds,
            (Some(seen), Some(declared)) => {
                let trust = DECLARED_TRUST / (DECLARED_TRUST + seen.seen);
                trust * declared + (1.0 - trust) * seen.seconds
            }
        }
    }

    /// Learns from a task that took `seconds`.
    pub fn learn(&mut self, job_type: &JobType, worker: &WorkerName, seconds: f64) {
        let slowness = self.slowness(worker);
        if !self.types.contains_key(job_type) && self.types.len() < MAX_TYPES {
            self.types.insert(job_type.clone(), TypeTime { seconds, seen: 0.0 });
        }
        let Some(known) = self.types.get_mut(job_type) else {
            return;
        };
        let ratio = (seconds / known.seconds.max(1e-6)).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        known.seen += 1.0;
        let weight = TYPE_WEIGHT.max(1.0 / known.seen);
        known.seconds += weight * (seconds / slowness - known.seconds);
        let learned = slowness + WORKER_WEIGHT * (ratio - slowness);
        self.workers.insert(worker.clone(), learned);
    }

    /// Forgets workers that are gone.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&WorkerName) -> bool,
    {
        self.workers.retain(|worker, _| keep(worker));
    }
}
