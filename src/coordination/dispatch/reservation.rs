//! Reservations of targets for tasks that fit nowhere now, and backfill of the time until then.
//!
//! Without them, tasks that need little CPU take each part of a target that becomes free, and a
//! task that needs more waits until none of them is left. Reservations last for one pass over the
//! queue; the next one plans anew from the runs and targets that it finds.

use super::{
    Dispatcher, SubmissionKey, forecast::OVERDUE_EXTENSION, placement::OBJECTIVE_SAFETY,
    size_forecast::Occupancy,
};
use crate::state::{
    fleet_config::PoolName,
    job_submission::{Step, TaskId},
    mechanism::Mechanism,
    resources::Resources,
    target::{Target, TargetId},
    time::Moment,
};
use std::time::Duration;

/// Limit on the reservations of a pass. It is the number of jobs that may be left waiting before
/// those behind them are only tried if they need less, which bounds the cost of a pass.
const MAX_RESERVATIONS: usize = 6;

/// The share of a target that is kept for a task from the moment at which it is expected to fit.
#[derive(Clone, Debug)]
struct Reservation {
    target: TargetId,
    needs: Resources,
    /// Moment at which enough resources of the target are expected to be free.
    start: Moment,
    /// Expected end of the task.
    end: Moment,
}

/// What a pass over the queue has planned so far.
#[derive(Clone, Debug, Default)]
pub(super) struct PassPlan {
    /// Pools in which placement looks ahead.
    pub(super) large_task_pools: Vec<PoolName>,
    reservations: Vec<Reservation>,
    /// Least CPU of a large task that was left waiting, in thousandths of a core.
    min_waiting_cpu: Option<u64>,
    /// Number of start requests that may be sent until others are answered.
    pub(super) starts_left: usize,
}

impl PassPlan {
    /// Whether a task that is started now on `target` leaves it to the tasks that have reserved it:
    /// it ends before the first reserved start, or enough stays free beside it.
    pub(super) fn allows(
        &self,
        target: &Target,
        needs: Resources,
        run_time: Duration,
        now: Moment,
    ) -> bool {
        let latest_end = now + run_time.mul_f64(OBJECTIVE_SAFETY);
        let on_target = |r: &&Reservation| r.target == target.info.id;
        self.reservations.iter().filter(on_target).all(|reservation| {
            let free = self.free_at(target, reservation.start, now);
            latest_end <= reservation.start || needs.fits_in(free)
        })
    }

    /// Expected use of a target by the tasks that have reserved it.
    pub(super) fn occupancies(&self, target: &TargetId) -> impl Iterator<Item = Occupancy> {
        self.reservations.iter().filter(move |r| r.target == *target).map(|r| Occupancy {
            start: r.start,
            end: r.end,
            millicores: r.needs.cpu.0,
        })
    }

    /// Resources of a target that no run and no reservation is expected to occupy at `moment` or
    /// later.
    fn free_at(&self, target: &Target, moment: Moment, now: Moment) -> Resources {
        let runs = target.runs.values();
        let runs = runs.filter(|run| run.expected_end.max(now + OVERDUE_EXTENSION) > moment);
        let reserved = self.reservations.iter();
        let reserved = reserved.filter(|r| r.target == target.info.id && r.end > moment);
        let occupied = runs.map(|run| run.needs).chain(reserved.map(|r| r.needs));
        target.info.capacity.saturating_sub(occupied.sum())
    }

    /// Returns the moment from which resources of a target are expected to be free, other than now.
    fn earliest_fit(&self, target: &Target, needs: Resources, now: Moment) -> Option<Moment> {
        let runs = target.runs.values().map(|run| run.expected_end.max(now + OVERDUE_EXTENSION));
        let reserved = self.reservations.iter().filter(|r| r.target == target.info.id);
        let ends = runs.chain(reserved.map(|r| r.end));
        ends.filter(|end| needs.fits_in(self.free_at(target, *end, now))).min()
    }
}

impl Dispatcher {
    /// Returns the plan with which a pass over the queue begins.
    pub(super) fn new_pass_plan(&self) -> PassPlan {
        PassPlan {
            large_task_pools: self.large_task_pools(),
            starts_left: self.starts_left(),
            ..PassPlan::default()
        }
    }

    /// Whether placement looks ahead for a job.
    pub(super) fn looks_ahead(&self, key: SubmissionKey, plan: &PassPlan) -> bool {
        let queue = self.jobs.get(&key).and_then(|job| self.config.queue(&job.submission.queue));
        queue.is_some_and(|queue| plan.large_task_pools.contains(&queue.pool))
    }

    /// Whether a job may use what the most urgent jobs leave: its next task needs less CPU than
    /// each large task that was left waiting, so that it may fit where these don't.
    pub(super) fn may_backfill(&self, key: SubmissionKey, plan: &PassPlan) -> bool {
        let Some(least) = plan.min_waiting_cpu else { return false };
        let Some(job) = self.jobs.get(&key) else { return false };
        let step = job.waiting_tasks.front().and_then(|task| job.step(*task));
        step.is_some_and(|step| step.needs.cpu.0 < least) && self.looks_ahead(key, plan)
    }

    /// Reserves the target on which a task that can't start now is expected to end first, if it
    /// would end before its deadline there.
    pub(super) fn reserve(
        &self,
        plan: &mut PassPlan,
        key: SubmissionKey,
        task: TaskId,
        step: &Step,
        now: Moment,
    ) {
        let is_enabled = self.enables(Mechanism::Reservation) && self.looks_ahead(key, plan);
        let Some(job) = self.jobs.get(&key) else { return };
        if is_enabled {
            let cpu = step.needs.cpu.0;
            plan.min_waiting_cpu = Some(plan.min_waiting_cpu.map_or(cpu, |least| least.min(cpu)));
        }
        if !is_enabled || plan.reservations.len() >= MAX_RESERVATIONS {
            return;
        }
        let failed_on = job.tasks.get(&task).and_then(|state| state.failed_on.as_ref());
        let is_waited_for = |t: &&Target| {
            self.is_eligible(job, step, t, now)
                && failed_on != Some(&t.info.id)
                && !t.runs.contains_key(&task)
                // A task that fits there now waits for another target.
                && !step.needs.fits_in(t.startable_resources(now))
        };
        let options = self.targets.values().filter(is_waited_for).filter_map(|t| {
            let start = plan.earliest_fit(t, step.needs, now)?;
            let run_time = self.expected_run_time(&job.submission.queue, step, t);
            let end = start + run_time.mul_f64(job.run_time_ratio());
            (end + job.chain_after(task) <= job.deadline).then_some((end, start, &t.info.id))
        });
        if let Some((end, start, target)) = options.min_by_key(|(end, start, _)| (*end, *start)) {
            let (target, needs) = (target.clone(), step.needs);
            plan.reservations.push(Reservation { target, needs, start, end });
        }
    }
}
