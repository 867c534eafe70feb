//! When the jobs that wait will be done: list scheduling over the places that tasks take.

use super::{Dispatch, JobKey, Rank};
use crate::state::{target::Target, time::Moment};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Processor a place takes where nothing runs or waits to tell, in thousandths of a core.
const USUAL_CPU: u64 = 10_000;
/// A run past its expected end is taken to last this much longer.
const OVERDUE: Duration = Duration::from_millis(20);

/// A target that is being taken over is usable after this long: a look and a stop.
const TAKE_TIME: Duration = Duration::from_millis(60);

/// Room for one task: free from a moment on, at a speed in thousandths of the usual run time.
type Place = Reverse<(Moment, u64)>;

/// The places of all usable targets.
#[derive(Clone, Debug)]
pub struct Forecast {
    places: BinaryHeap<Place>,
}

impl Forecast {
    /// Puts tasks of one job on the places that are free first; the moment the last one ends.
    pub fn put(&mut self, tasks: usize, base: Duration, now: Moment) -> Option<Moment> {
        let mut last = now;
        for _ in 0..tasks {
            let Reverse((free, slowness)) = self.places.pop()?;
            let end = free.max(now) + base.mul_f64(slowness as f64 / 1_000.0);
            self.places.push(Reverse((end, slowness)));
            last = last.max(end);
        }
        Some(last)
    }
}

impl Dispatch {
    /// The present places, before anything that waits is put on them.
    pub(super) fn forecast(&self, now: Moment) -> Forecast {
        let usual = self.usual_cpu();
        let mut places = BinaryHeap::new();
        for target in self.targets.values().filter(|t| self.is_usable(t, now)) {
            let slowness = self.speeds.slowness(&target.info.kind) * target.slowness;
            let slowness = (slowness * 1_000.0) as u64;
            for run in target.runs.values() {
                places.push(Reverse((run.expected.max(now + OVERDUE), slowness)));
            }
            for _ in 0..target.room().cpu.0 / usual.max(1) {
                places.push(Reverse((now, slowness)));
            }
        }
        let coming = |t: &&Target| !t.taken && t.silent_since.is_none() && !t.info.draining;
        for target in self.targets.values().filter(coming) {
            for _ in 0..target.info.capacity.cpu.0 / usual.max(1) {
                places.push(Reverse((now + TAKE_TIME, 1_000)));
            }
        }
        Forecast { places }
    }

    fn usual_cpu(&self) -> u64 {
        let waiting = self.waiting.iter().filter_map(|rank| self.jobs.get(&rank.key));
        let needs = waiting.filter_map(|job| job.work.steps.first()).map(|s| s.needs.cpu.0);
        let running = self.targets.values().flat_map(|t| t.runs.values()).map(|r| r.needs.cpu.0);
        let (mut sum, mut count) = (0, 0);
        for cpu in needs.chain(running).filter(|&cpu| cpu > 0) {
            sum += cpu;
            count += 1;
        }
        if count == 0 { USUAL_CPU } else { sum / count }
    }

    /// Puts the jobs that wait before `rank` on the places.
    pub(super) fn put_ahead(&self, forecast: &mut Forecast, rank: Option<Rank>, now: Moment) {
        for other in self.waiting.iter() {
            if rank.is_some_and(|rank| *other > rank) {
                return;
            }
            self.put_job(forecast, other.key, now);
        }
    }

    /// Puts one job that waits on the places; the moment at which it is done.
    pub(super) fn put_job(
        &self,
        forecast: &mut Forecast,
        key: JobKey,
        now: Moment,
    ) -> Option<Moment> {
        let job = self.jobs.get(&key)?;
        let step = job.step(*job.waiting.front()?)?;
        let base = self.base_time(&job.work.queue, step);
        let own = forecast.put(job.waiting.len(), base, now)?;
        let running = job.tasks.values().filter_map(|t| t.on.as_ref());
        let runs = running.filter_map(|id| self.targets.get(id)).flat_map(|t| t.runs.values());
        let expected = runs.filter(|r| r.job == Some(key.0)).map(|r| r.expected).max();
        Some(own.max(expected.unwrap_or(own)))
    }
}
