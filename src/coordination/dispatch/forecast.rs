//! When the jobs that wait will be done: list scheduling over the places that tasks take.

use super::{Dispatch, JobKey, Rank};
use crate::state::{target::Target, time::Moment};
use indexmap::IndexMap;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Processor a place takes where nothing runs or waits to tell, in thousandths of a core.
const USUAL_CPU: u64 = 10_000;
/// A run past its expected end is taken to last this much longer.
pub(super) const OVERDUE: Duration = Duration::from_millis(20);

/// A target that is being taken over is usable after this long: a look and a stop.
const TAKE_TIME: Duration = Duration::from_millis(60);

/// The slowness of a group of places, in twentieths of the usual run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Pace(u64);

impl Pace {
    fn new(slowness: f64) -> Self {
        Pace((slowness * 20.0).round().max(1.0) as u64)
    }

    fn time(self, base: Duration) -> Duration {
        base.mul_f64(self.0 as f64 / 20.0)
    }
}

/// The moments from which the places of usable targets are free, by their pace.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    places: IndexMap<Pace, BinaryHeap<Reverse<Moment>>>,
}

impl Forecast {
    fn add(&mut self, pace: Pace, free: Moment) {
        self.places.entry(pace).or_default().push(Reverse(free));
    }

    /// Puts each of some tasks on the place where it ends first; the moment the last one ends, none
    /// if there is no place at all.
    pub fn put(&mut self, tasks: usize, base: Duration, now: Moment) -> Option<Moment> {
        let mut last = now;
        for _ in 0..tasks {
            let ends = self.places.iter().filter_map(|(pace, free)| {
                let Reverse(free) = *free.peek()?;
                Some((free.max(now) + pace.time(base), *pace))
            });
            let (end, pace) = ends.min_by_key(|(end, _)| *end)?;
            let places = self.places.get_mut(&pace)?;
            places.pop();
            places.push(Reverse(end));
            last = last.max(end);
        }
        Some(last)
    }
}

impl Dispatch {
    /// The present places, before anything that waits is put on them.
    pub(super) fn forecast(&self, now: Moment) -> Forecast {
        let usual = self.usual_cpu();
        let mut forecast = Forecast::default();
        for target in self.targets.values().filter(|t| self.is_usable(t, now)) {
            let pace = Pace::new(self.slowness_of(target));
            for run in target.runs.values() {
                forecast.add(pace, run.expected_end.max(now + OVERDUE));
            }
            for _ in 0..target.free_resources().cpu.0 / usual.max(1) {
                forecast.add(pace, now);
            }
        }
        let coming =
            |t: &&Target| !t.taken_over && t.unresponsive_since.is_none() && !t.info.draining;
        for target in self.targets.values().filter(coming) {
            for _ in 0..target.info.capacity.cpu.0 / usual.max(1) {
                forecast.add(Pace::new(1.0), now + TAKE_TIME);
            }
        }
        forecast
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
        u64::checked_div(sum, count).unwrap_or(USUAL_CPU)
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
        let base = self.base_time(&job.work.queue, step).mul_f64(job.scale());
        let own = forecast.put(job.waiting.len(), base, now)?;
        let running = job.tasks.values().filter_map(|t| t.on.as_ref());
        let runs = running.filter_map(|id| self.targets.get(id)).flat_map(|t| t.runs.values());
        let expected = runs.filter(|r| r.job == Some(key.0)).map(|r| r.expected_end).max();
        Some(own.max(expected.unwrap_or(own)))
    }
}
