//! Forecasts when waiting tasks will end that know the CPU of each task: which fits on which target
//! at which time.
//!
//! Slots of a mean size are wrong where few tasks fit on a target. A gap below the mean counts as
//! no slot although a smaller task fits there, and a larger task is expected to start in a slot that
//! is too small for it.

use super::{
    Dispatcher,
    forecast::{OVERDUE_EXTENSION, TAKEOVER_DURATION},
};
use crate::state::{fleet_config::PoolName, target::Target, time::Moment};
use std::{sync::Arc, time::Duration};

/// Number of waiting tasks that are assigned to targets one by one; it bounds the cost. Those behind
/// them are expected to end when all work ahead of them is done, since their exact place has less
/// effect the longer they wait.
const MAX_PLACED_TASKS: usize = 48;
/// Share of the CPU that tasks use while many wait: tasks of 16 cores with a deviation of a fifth
/// leave about a seventh of a target with 32.
const PACKED_SHARE: f64 = 0.85;

/// CPU of a target that a run or a waiting task is expected to occupy.
#[derive(Clone, Copy, Debug)]
pub(super) struct Occupancy {
    pub(super) start: Moment,
    pub(super) end: Moment,
    pub(super) millicores: u64,
}

/// Expected use of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetForecast {
    pub(super) slowness: f64,
    pub(super) millicores: u64,
    pub(super) occupied: Vec<Occupancy>,
}

impl TargetForecast {
    /// Returns the earliest start from `now` on of a task that takes `run_time` here, if it is before
    /// `limit`.
    pub(super) fn earliest_start(
        &self,
        millicores: u64,
        run_time: Duration,
        now: Moment,
        limit: Option<Moment>,
    ) -> Option<Moment> {
        let fits_at = |start: Moment| {
            let overlaps = |o: &&Occupancy| o.end > start && o.start < start + run_time;
            let occupied = self.occupied.iter().filter(overlaps).map(|o| o.millicores);
            occupied.fold(millicores, u64::saturating_add) <= self.millicores
        };
        let is_early = |start: &Moment| limit.is_none_or(|limit| *start < limit);
        let starts = std::iter::once(now).chain(self.occupied.iter().map(|o| o.end.max(now)));
        starts.filter(is_early).filter(|start| fits_at(*start)).min()
    }
}

/// Expected use of the targets of one pool.
#[derive(Clone, Debug)]
pub(super) struct SizeForecast {
    pub(super) pool: PoolName,
    /// Shared between copies until a task is assigned to a target.
    targets: Arc<Vec<TargetForecast>>,
    placed_tasks: usize,
    /// CPU of all targets, in thousandths of a core.
    millicores: u64,
    /// Work that is expected so far, in thousandths of a core times seconds.
    work: f64,
}

impl SizeForecast {
    /// Assigns `tasks` tasks, each to the target where it ends first. `base` is the run time of one
    /// on a target of usual speed. Returns the moment at which the last one ends, or `None` if it
    /// fits on no target.
    pub(super) fn schedule(
        &mut self,
        tasks: usize,
        millicores: u64,
        base: Duration,
        now: Moment,
    ) -> Option<Moment> {
        let mut last_end = now;
        for placed in 0..tasks {
            let end = if self.placed_tasks < MAX_PLACED_TASKS {
                self.place(millicores, base, now)?
            } else {
                self.targets.iter().find(|t| t.millicores >= millicores)?;
                let rest = (tasks - placed) as f64;
                self.work += rest * millicores as f64 * base.as_secs_f64();
                let wait = self.work / (self.millicores as f64 * PACKED_SHARE).max(1.0);
                // On average, a target is in the middle of a run when the work is done.
                let end = now + Duration::from_secs_f64(wait) + base / 2;
                return Some(last_end.max(end).max(now + base));
            };
            last_end = last_end.max(end);
        }
        Some(last_end)
    }

    fn place(&mut self, millicores: u64, base: Duration, now: Moment) -> Option<Moment> {
        let mut best: Option<(Moment, usize)> = None;
        for (n, target) in self.targets.iter().enumerate() {
            if target.millicores < millicores {
                continue;
            }
            let run_time = base.mul_f64(target.slowness);
            let best_end = best.map(|(end, _)| end);
            if best_end.is_some_and(|end| now + run_time >= end) {
                continue;
            }
            let latest_start = best_end.map(|end| Moment::ZERO + ((end - Moment::ZERO) - run_time));
            if let Some(start) = target.earliest_start(millicores, run_time, now, latest_start) {
                best = Some((start + run_time, n));
            }
        }
        let (end, n) = best?;
        let target = Arc::make_mut(&mut self.targets).get_mut(n)?;
        let run_time = base.mul_f64(target.slowness);
        let start = Moment::ZERO + ((end - Moment::ZERO) - run_time);
        target.occupied.push(Occupancy { start, end, millicores });
        self.placed_tasks += 1;
        self.work += millicores as f64 * run_time.as_secs_f64();
        Some(end)
    }
}

impl Dispatcher {
    /// Returns the expected use of a target by its runs, or `None` if it is not usable soon.
    pub(super) fn target_forecast(&self, target: &Target, now: Moment) -> Option<TargetForecast> {
        let millicores = target.info.capacity.cpu.0;
        let occupancy = |end, millicores| Occupancy { start: now, end, millicores };
        if self.is_usable(target, now) {
            let end = |end: Moment| end.max(now + OVERDUE_EXTENSION);
            let runs = target.runs.values();
            let occupied = runs.map(|run| occupancy(end(run.expected_end), run.needs.cpu.0));
            let (occupied, slowness) = (occupied.collect(), self.target_slowness(target));
            return Some(TargetForecast { slowness, millicores, occupied });
        }
        let is_being_taken_over = !target.taken_over
            && target.unresponsive_since.is_none()
            && target.accepts_tasks()
            && !self.is_evacuated(target);
        let occupied = vec![occupancy(now + TAKEOVER_DURATION, millicores)];
        is_being_taken_over.then_some(TargetForecast { slowness: 1.0, millicores, occupied })
    }

    /// Returns the expected use of the usable targets of a pool, with running but without waiting
    /// tasks.
    pub(super) fn size_forecast(&self, pool: PoolName, now: Moment) -> SizeForecast {
        let targets = self.targets.values().filter(|t| t.info.pool == pool);
        let targets = targets.filter_map(|t| self.target_forecast(t, now));
        let targets: Vec<TargetForecast> = targets.collect();
        let occupied = targets.iter().flat_map(|t| &t.occupied);
        let work = occupied.map(|o| o.millicores as f64 * (o.end - now).as_secs_f64()).sum();
        let millicores = targets.iter().map(|t| t.millicores).fold(0, u64::saturating_add);
        SizeForecast { pool, targets: Arc::new(targets), placed_tasks: 0, millicores, work }
    }
}
