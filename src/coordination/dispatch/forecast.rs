//! Forecasts when waiting jobs will end, by list scheduling over slots.
//!
//! A slot is the share of a target's CPU that one average task takes. In pools with large tasks, the
//! size of each task is considered instead.

use super::{Dispatcher, Rank, job::Job, size_forecast::SizeForecast};
use crate::state::{job_submission::TaskId, mechanism::Mechanism, target::Target, time::Moment};
use indexmap::IndexMap;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Size of a slot while no task runs or waits, in thousandths of a core.
const DEFAULT_TASK_MILLICORES: u64 = 10_000;
/// A run past its expected end is assumed to last this much longer.
pub(super) const OVERDUE_EXTENSION: Duration = Duration::from_millis(20);

/// Assumed time until a target that is being taken over is usable: one target report and one stop.
pub(super) const TAKEOVER_DURATION: Duration = Duration::from_millis(60);

/// Slowness of a group of slots, rounded to twentieths; 20 is a target of usual speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SlownessBucket(u64);

impl SlownessBucket {
    fn new(slowness: f64) -> Self {
        SlownessBucket((slowness * 20.0).round().max(1.0) as u64)
    }

    fn run_time(self, base: Duration) -> Duration {
        base.mul_f64(self.0 as f64 / 20.0)
    }
}

/// The moments from which slots are free, grouped by the slowness of their targets.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    slots: IndexMap<SlownessBucket, BinaryHeap<Reverse<Moment>>>,
    /// Forecasts for the pools with large tasks.
    by_size: Vec<SizeForecast>,
}

impl Forecast {
    fn add_slot(&mut self, bucket: SlownessBucket, free_at: Moment) {
        self.slots.entry(bucket).or_default().push(Reverse(free_at));
    }

    /// Assigns `tasks` tasks, each to the slot where it ends first. `base` is the run time of one
    /// on a target of usual speed. Returns the moment at which the last one ends, or `None` if
    /// there are no slots.
    pub fn schedule(&mut self, tasks: usize, base: Duration, now: Moment) -> Option<Moment> {
        let mut last_end = now;
        for _ in 0..tasks {
            let ends = self.slots.iter().filter_map(|(bucket, slots)| {
                let Reverse(free_at) = *slots.peek()?;
                Some((free_at.max(now) + bucket.run_time(base), *bucket))
            });
            let (end, bucket) = ends.min_by_key(|(end, _)| *end)?;
            let slots = self.slots.get_mut(&bucket)?;
            slots.pop();
            slots.push(Reverse(end));
            last_end = last_end.max(end);
        }
        Some(last_end)
    }
}

impl Dispatcher {
    /// Returns the slots of all usable targets, with running but without waiting tasks.
    pub(super) fn forecast(&self, now: Moment) -> Forecast {
        let slot_cpu = self.mean_task_millicores();
        let mut forecast = Forecast::default();
        if self.enables(Mechanism::SizeForecast) {
            let pools = self.large_task_pools().into_iter();
            forecast.by_size = pools.map(|pool| self.size_forecast(pool, now)).collect();
        }
        for target in self.targets.values().filter(|t| self.is_usable(t, now)) {
            let bucket = SlownessBucket::new(self.target_slowness(target));
            for run in target.runs.values() {
                forecast.add_slot(bucket, run.expected_end.max(now + OVERDUE_EXTENSION));
            }
            for _ in 0..target.free_slots(slot_cpu, now) {
                forecast.add_slot(bucket, now);
            }
        }
        let being_taken_over = |t: &&Target| {
            !t.taken_over
                && t.unresponsive_since.is_none()
                && t.accepts_tasks()
                && !self.is_evacuated(t)
        };
        for target in self.targets.values().filter(being_taken_over) {
            for _ in 0..target.slots(slot_cpu, now) {
                forecast.add_slot(SlownessBucket::new(1.0), now + TAKEOVER_DURATION);
            }
        }
        forecast
    }

    /// Mean CPU of the tasks that run and of the first steps of the jobs that wait.
    fn mean_task_millicores(&self) -> u64 {
        let waiting = self.queued_jobs.iter().filter_map(|rank| self.jobs.get(&rank.key));
        let waiting = waiting.filter_map(|job| job.submission.steps.first()).map(|s| s.needs.cpu.0);
        let running = self.targets.values().flat_map(|t| t.runs.values()).map(|r| r.needs.cpu.0);
        let (mut sum, mut count) = (0, 0);
        for cpu in waiting.chain(running).filter(|&cpu| cpu > 0) {
            sum = u64::saturating_add(sum, cpu);
            count += 1;
        }
        u64::checked_div(sum, count).unwrap_or(DEFAULT_TASK_MILLICORES)
    }

    /// Assigns the waiting jobs up to `rank` to slots, all of them if `rank` is `None`.
    pub(super) fn schedule_ahead(&self, forecast: &mut Forecast, rank: Option<Rank>, now: Moment) {
        for other in self.queued_jobs.iter() {
            if rank.is_some_and(|rank| *other > rank) {
                return;
            }
            if let Some(job) = self.jobs.get(&other.key) {
                self.schedule_waiting(forecast, job, now);
            }
        }
    }

    /// Assigns the waiting tasks of a job to slots. Returns the moment at which they and the steps
    /// after them are expected to end, or `None` if there are no slots.
    pub(super) fn schedule_waiting(
        &self,
        forecast: &mut Forecast,
        job: &Job,
        now: Moment,
    ) -> Option<Moment> {
        let pool = self.config.queue(&job.submission.queue).map(|queue| &queue.pool);
        let by_size = forecast.by_size.iter().position(|f| Some(&f.pool) == pool);
        let mut end = now;
        let mut counts: IndexMap<u32, usize> = IndexMap::new();
        for task in &job.waiting_tasks {
            *counts.entry(task.step).or_default() += 1;
        }
        for (number, count) in counts {
            let step = job.submission.steps.get(number as usize)?;
            let base = self.base_run_time(&job.submission.queue, step);
            let run_time = base.mul_f64(job.run_time_ratio());
            let sized = by_size.and_then(|n| forecast.by_size.get_mut(n));
            let last = match sized {
                Some(sized) => sized.schedule(count, step.needs.cpu.0, run_time, now)?,
                None => forecast.schedule(count, run_time, now)?,
            };
            let first = TaskId { job: job.submission.id, step: number, index: 0 };
            end = end.max(last + job.chain_after(first));
        }
        Some(end)
    }
}
