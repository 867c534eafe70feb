//! The CPU that tasks of each pool usually need, and which pools have large tasks.
//!
//! Tasks are large where few of them fit on a target. There, a gap is often too small for any task
//! and large tasks may wait while smaller ones keep taking what becomes free, so placement looks
//! ahead. Where tasks are small, best fit leaves little CPU unused.

use super::Dispatcher;
use crate::state::{
    fleet_config::PoolName,
    job_submission::{JobSubmission, Step},
};
use std::ops::RangeInclusive;

/// Tasks of a pool are large if they need, on average, more than one in this many parts of the CPU
/// of its smallest target: then fewer than three fit, and what they leave is often wasted.
const LARGE_TASK_DIVISOR: f64 = 3.0;
/// Number of recent tasks over which the mean is taken. A zone starts hundreds of tasks a second,
/// so this follows a change of the load within seconds and a single wide job has little weight.
const MEAN_WINDOW: f64 = 1_000.0;

/// Running mean and variance of the CPU that the submitted tasks of a pool need, in thousandths of
/// a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TaskSizes {
    tasks: f64,
    mean: f64,
    variance: f64,
}

impl TaskSizes {
    fn observe(&mut self, step: &Step) {
        let count = f64::from(step.count).min(MEAN_WINDOW);
        if count == 0.0 {
            return;
        }
        self.tasks = (self.tasks + count).min(MEAN_WINDOW);
        let weight = count / self.tasks;
        let deviation = step.needs.cpu.0 as f64 - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }

    /// CPU that two of three tasks need: the mean, and a standard deviation to either side.
    pub(super) fn usual(&self) -> RangeInclusive<u64> {
        let deviation = self.variance.sqrt();
        (self.mean - deviation).max(0.0) as u64..=(self.mean + deviation) as u64
    }
}

impl Dispatcher {
    /// Records the CPU that the tasks of a submission need.
    pub(super) fn observe_task_sizes(&mut self, pool: &PoolName, submission: &JobSubmission) {
        let sizes = self.task_sizes.entry(pool.clone()).or_default();
        submission.steps.iter().for_each(|step| sizes.observe(step));
    }

    /// Whether the tasks of a pool need, on average, a large part of its smallest target.
    pub(super) fn has_large_tasks(&self, pool: &PoolName) -> bool {
        let Some(sizes) = self.task_sizes.get(pool) else { return false };
        let capacities = self.targets.values().filter(|t| t.info.pool == *pool);
        let smallest = capacities.map(|t| t.info.capacity.cpu.0).min();
        smallest.is_some_and(|cpu| sizes.mean > cpu as f64 / LARGE_TASK_DIVISOR)
    }

    /// Returns the pools with large tasks.
    pub(super) fn large_task_pools(&self) -> Vec<PoolName> {
        self.task_sizes.keys().filter(|pool| self.has_large_tasks(pool)).cloned().collect()
    }
}
