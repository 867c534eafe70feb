//! Choice among equally good targets by the CPU that a task leaves there.
//!
//! Where two or three tasks fit on a target, the least CPU left is not the best choice: a gap that
//! no usual task fits stays unused, while a larger rest runs another task.

use super::{Dispatcher, SubmissionKey, reservation::PassPlan};
use crate::state::{job_submission::Step, mechanism::Mechanism, target::Target};
use std::{ops::RangeInclusive, time::Duration};

/// CPU left counts as close to zero up to one in this many parts of the target's CPU.
const CLOSE_TO_ZERO_DIVISOR: u64 = 16;
/// Number of the most urgent waiting jobs whose task sizes are considered; it bounds the cost.
const MAX_WAITING_JOBS: usize = 16;
/// Run times on two targets count as equal within this ratio. The learned slowness of a target
/// varies by almost a tenth by chance, since run times differ by a third and it is a mean over
/// about a dozen runs.
const EQUAL_RUN_TIME_RATIO: f64 = 1.15;

/// Sizes of tasks that could use the CPU that another task leaves, in thousandths of a core.
#[derive(Clone, Debug)]
pub(super) struct SizeMatch {
    /// CPU that usual tasks of the pool need.
    usual: RangeInclusive<u64>,
    /// CPU that the tasks of waiting jobs need which are larger than the one to be placed.
    larger_waiting: Vec<u64>,
}

impl SizeMatch {
    /// Returns the CPU that is wasted if a task that needs `cpu` is started on a target: by how much
    /// the gap grows that usual tasks can't fill, or all that is free if a larger waiting task fits
    /// there now and no longer afterwards.
    pub(super) fn wasted_cpu(&self, target: &Target, cpu: u64) -> u64 {
        let free = target.free_resources().cpu.0;
        let left = free.saturating_sub(cpu);
        if left <= target.info.capacity.cpu.0 / CLOSE_TO_ZERO_DIVISOR {
            0
        } else if self.larger_waiting.iter().any(|&larger| larger <= free && larger > left) {
            free
        } else {
            self.gap(left).saturating_sub(self.gap(free))
        }
    }

    /// CPU that stays unused at least if usual tasks fill `free`.
    fn gap(&self, free: u64) -> u64 {
        let most_tasks = free / (*self.usual.start()).max(1);
        free.saturating_sub(most_tasks * self.usual.end())
    }
}

/// Class of an expected run time; times in the same class are equally good.
pub(super) fn run_time_class(run_time: Duration) -> i64 {
    let ms = run_time.as_secs_f64().max(1e-3) * 1e3;
    (ms.ln() / EQUAL_RUN_TIME_RATIO.ln()).round() as i64
}

impl Dispatcher {
    /// Returns the sizes to be matched when a task of a job is placed; `None` if targets are chosen
    /// by the least CPU left.
    pub(super) fn size_match(
        &self,
        key: SubmissionKey,
        step: &Step,
        plan: &PassPlan,
    ) -> Option<SizeMatch> {
        if !self.enables(Mechanism::SizeMatch) || !self.looks_ahead(key, plan) {
            return None;
        }
        let pool_of = |key| {
            let queue = &self.jobs.get(&key)?.submission.queue;
            self.config.queue(queue).map(|queue| &queue.pool)
        };
        let pool = pool_of(key)?;
        let usual = self.task_sizes.get(pool)?.usual();
        let waiting = self.queued_jobs.iter().take(MAX_WAITING_JOBS).map(|rank| rank.key);
        let waiting = waiting.filter(|&other| other != key && pool_of(other) == Some(pool));
        let waiting = waiting.filter_map(|other| {
            let job = self.jobs.get(&other)?;
            job.waiting_tasks.front().and_then(|task| job.step(*task))
        });
        let larger_waiting = waiting.map(|step| step.needs.cpu.0);
        let larger_waiting = larger_waiting.filter(|&cpu| cpu > step.needs.cpu.0).collect();
        Some(SizeMatch { usual, larger_waiting })
    }
}
