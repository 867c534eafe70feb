//! Plans of all tasks of a wide job before the first one starts.
//!
//! A job whose last task can't end in time loses the work of all its tasks. Unlike the forecast, the
//! plan of one job knows on which targets its tasks may run and how many on one target.

use super::{
    Dispatcher, JobLabel, LogEvent, SubmissionKey,
    job::Job,
    reservation::PassPlan,
    size_forecast::{Occupancy, TargetForecast},
};
use crate::state::{
    fleet_config::PoolName,
    job_submission::{Outcome, Refusal, TaskId},
    mechanism::Mechanism,
    target::Target,
    time::Moment,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Retry delay of a job that a plan refuses; the runs that it would wait for have usually ended then.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Number of tasks of a job that are planned, which bounds the cost; a job with more ends no sooner.
const MAX_PLANNED_TASKS: usize = 128;

impl Dispatcher {
    /// Returns the moment at which the last waiting task of a job and the steps after it are
    /// expected to end if the job is served next. Returns `None` if its tasks are not planned
    /// together: if it has only one, has begun, or its pool has small tasks.
    pub(super) fn wide_job_end(
        &self,
        job: &Job,
        large_task_pools: &[PoolName],
        plan: Option<&PassPlan>,
        now: Moment,
    ) -> Option<Moment> {
        let pool = &self.config.queue(&job.submission.queue)?.pool;
        let is_planned = self.enables(Mechanism::WideJobPlan)
            && !job.start_sent
            && job.waiting_tasks.len() > 1
            && large_task_pools.contains(pool);
        if !is_planned {
            return None;
        }
        let mut targets: Vec<(&Target, TargetForecast)> = self
            .targets
            .values()
            .filter(|t| t.info.pool == *pool)
            .filter_map(|t| {
                let mut forecast = self.target_forecast(t, now)?;
                if let Some(plan) = plan {
                    forecast.occupied.extend(plan.occupancies(&t.info.id));
                }
                Some((t, forecast))
            })
            .collect();
        let mut own_runs: IndexMap<(usize, u32), Vec<Occupancy>> = IndexMap::new();
        let mut last_end = now;
        for &task in job.waiting_tasks.iter().take(MAX_PLANNED_TASKS) {
            let end = self.plan_task(job, task, &mut targets, &mut own_runs, now)?;
            last_end = last_end.max(end + job.chain_after(task));
        }
        Some(last_end)
    }

    /// Assigns a task to the target where it ends first; returns that end.
    fn plan_task(
        &self,
        job: &Job,
        task: TaskId,
        targets: &mut [(&Target, TargetForecast)],
        own_runs: &mut IndexMap<(usize, u32), Vec<Occupancy>>,
        now: Moment,
    ) -> Option<Moment> {
        let step = job.step(task)?;
        let base = self.base_run_time(&job.submission.queue, step).mul_f64(job.run_time_ratio());
        let mut best: Option<(Moment, Moment, usize)> = None;
        for (n, (target, forecast)) in targets.iter().enumerate() {
            if !step.needs.fits_in(target.info.capacity)
                || step.required.as_ref().is_some_and(|label| !target.info.has_label(label))
            {
                continue;
            }
            let run_time = base.mul_f64(forecast.slowness);
            if best.is_some_and(|(end, ..)| now + run_time >= end) {
                continue;
            }
            let from = match step.most_per_target {
                // The limit counts runs as the CPU limit counts cores.
                Some(most) => TargetForecast {
                    slowness: forecast.slowness,
                    millicores: most.into(),
                    occupied: own_runs.get(&(n, task.step)).cloned().unwrap_or_default(),
                }
                .earliest_start(1, run_time, now, None),
                None => Some(now),
            };
            let Some(from) = from else { continue };
            let start = forecast.earliest_start(step.needs.cpu.0, run_time, from, None);
            let Some(start) = start else { continue };
            if best.is_none_or(|(end, ..)| start + run_time < end) {
                best = Some((start + run_time, start, n));
            }
        }
        let (end, start, n) = best?;
        let (_, forecast) = targets.get_mut(n)?;
        forecast.occupied.push(Occupancy { start, end, millicores: step.needs.cpu.0 });
        if step.most_per_target.is_some() {
            let own = own_runs.entry((n, task.step)).or_default();
            own.push(Occupancy { start, end, millicores: 1 });
        }
        Some(end)
    }

    /// Refuses a job of which nothing was started, if the plan of its tasks shows that the last one
    /// can't end by the deadline. Returns whether it does.
    pub(super) fn refuse_wide_job(
        &mut self,
        key: SubmissionKey,
        plan: &PassPlan,
        now: Moment,
    ) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let end = self.wide_job_end(job, &plan.large_task_pools, Some(plan), now);
        let Some(end) = end.filter(|end| *end > job.deadline) else { return false };
        let refusal = Refusal::TooLate;
        let event = LogEvent::Refused {
            job: JobLabel::from(&job.submission),
            refusal,
            expected: end - now,
            age: now - job.arrived_at,
            waiting: self.queued_jobs.len(),
            usable: self.targets.values().filter(|t| self.is_usable(t, now)).count(),
        };
        self.log(event);
        self.finish_job(key, Outcome::NotRun { refusal, retry_after: RETRY_AFTER });
        true
    }
}
