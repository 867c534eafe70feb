//! When the jobs that wait will be done: list scheduling over the places that tasks take.

use super::{Dispatcher, Rank, SubmissionKey};
use crate::state::{target::Target, time::Moment};
use indexmap::IndexMap;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Processor a place takes where nothing runs or waits to tell, in thousandths of a core.
const DEFAULT_TASK_MILLICORES: u64 = 10_000;
/// A run past its expected end is taken to last this much longer.
pub(super) const OVERDUE_EXTENSION: Duration = Duration::from_millis(20);

/// A target that is being taken over is usable after this long: a look and a stop.
const TAKEOVER_DURATION: Duration = Duration::from_millis(60);

/// The slowness of a group of places, in twentieths of the usual run time.
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

/// The moments from which the places of usable targets are free, by their pace.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    slots: IndexMap<SlownessBucket, BinaryHeap<Reverse<Moment>>>,
}

impl Forecast {
    fn add_slot(&mut self, bucket: SlownessBucket, free: Moment) {
        self.slots.entry(bucket).or_default().push(Reverse(free));
    }

    /// Puts each of some tasks on the place where it ends first; the moment the last one ends, none
    /// if there is no place at all.
    pub fn schedule(&mut self, tasks: usize, base: Duration, now: Moment) -> Option<Moment> {
        let mut last = now;
        for _ in 0..tasks {
            let ends = self.slots.iter().filter_map(|(bucket, free)| {
                let Reverse(free) = *free.peek()?;
                Some((free.max(now) + bucket.run_time(base), *bucket))
            });
            let (end, bucket) = ends.min_by_key(|(end, _)| *end)?;
            let slots = self.slots.get_mut(&bucket)?;
            slots.pop();
            slots.push(Reverse(end));
            last = last.max(end);
        }
        Some(last)
    }
}

impl Dispatcher {
    /// The present places, before anything that waits is put on them.
    pub(super) fn forecast(&self, now: Moment) -> Forecast {
        let usual = self.mean_task_millicores();
        let mut forecast = Forecast::default();
        for target in self.targets.values().filter(|t| self.is_usable(t, now)) {
            let bucket = SlownessBucket::new(self.target_slowness(target));
            for run in target.runs.values() {
                forecast.add_slot(bucket, run.expected.max(now + OVERDUE_EXTENSION));
            }
            for _ in 0..target.room().cpu.0 / usual.max(1) {
                forecast.add_slot(bucket, now);
            }
        }
        let coming = |t: &&Target| !t.taken && t.silent_since.is_none() && !t.info.draining;
        for target in self.targets.values().filter(coming) {
            for _ in 0..target.info.capacity.cpu.0 / usual.max(1) {
                forecast.add_slot(SlownessBucket::new(1.0), now + TAKEOVER_DURATION);
            }
        }
        forecast
    }

    fn mean_task_millicores(&self) -> u64 {
        let waiting = self.waiting.iter().filter_map(|rank| self.jobs.get(&rank.key));
        let needs = waiting.filter_map(|job| job.work.steps.first()).map(|s| s.needs.cpu.0);
        let running = self.targets.values().flat_map(|t| t.runs.values()).map(|r| r.needs.cpu.0);
        let (mut sum, mut count) = (0, 0);
        for cpu in needs.chain(running).filter(|&cpu| cpu > 0) {
            sum += cpu;
            count += 1;
        }
        u64::checked_div(sum, count).unwrap_or(DEFAULT_TASK_MILLICORES)
    }

    /// Puts the jobs that wait before `rank` on the places.
    pub(super) fn schedule_ahead(&self, forecast: &mut Forecast, rank: Option<Rank>, now: Moment) {
        for other in self.waiting.iter() {
            if rank.is_some_and(|rank| *other > rank) {
                return;
            }
            self.schedule_job(forecast, other.key, now);
        }
    }

    /// Puts one job that waits on the places; the moment at which it is done.
    pub(super) fn schedule_job(
        &self,
        forecast: &mut Forecast,
        key: SubmissionKey,
        now: Moment,
    ) -> Option<Moment> {
        let job = self.jobs.get(&key)?;
        let step = job.step(*job.waiting.front()?)?;
        let base = self.base_run_time(&job.work.queue, step).mul_f64(job.run_time_ratio());
        let own = forecast.schedule(job.waiting.len(), base, now)?;
        let running = job.tasks.values().filter_map(|t| t.target.as_ref());
        let runs = running.filter_map(|id| self.targets.get(id)).flat_map(|t| t.runs.values());
        let expected = runs.filter(|r| r.job == Some(key.0)).map(|r| r.expected).max();
        Some(own.max(expected.unwrap_or(own)))
    }
}
