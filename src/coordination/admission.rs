//! Admission control: accepts a job only if listed workers meet the requirements of its tasks, the
//! limits of the queue allow it, its deadline can be met and its team has quota left.

use super::scheduler::Scheduler;
use crate::state::{
    id::TeamName,
    job::{JobSpec, RefuseReason, Requirements},
    time::Moment,
    token_bucket::TokenBucket,
};
use rand::Rng;
use std::time::Duration;

/// Share of the deadline that the expected queueing time may use up.
const MAX_WAIT_SHARE: f64 = 0.8;
/// Shortest and longest retry delay sent to callers, before jitter.
const RETRY_AFTER_SECONDS: (f64, f64) = (0.05, 30.0);
/// Time for which the quota accumulates while unused, to be used in one burst.
const QUOTA_BURST_SECONDS: f64 = 1.0;
/// Smallest burst of a quota, so that one large job fits.
const MIN_QUOTA_BURST_TASKS: f64 = 150.0;

/// Why a job is refused, and when its caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason given to the caller.
    pub reason: RefuseReason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

impl Scheduler {
    /// Decides whether a job is accepted, and counts its tasks as its team's demand either way.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] with the reason and the retry delay.
    pub fn admit(&mut self, now: Moment, spec: &JobSpec) -> Result<(), Refusal> {
        self.count_demand(spec);
        self.check_requirements(spec)?;
        self.check_queue_limits(spec)?;
        if self.policy.admission {
            self.check_deadline(now, spec)?;
        }
        self.check_quota(now, spec)
    }

    fn count_demand(&mut self, spec: &JobSpec) {
        *self.demand.entry(spec.team.clone()).or_insert(0) += spec.tasks.len() as u32;
    }

    /// A refusal with a retry delay of about `seconds`, with jitter so that the callers that are
    /// refused together do not all retry together.
    fn refuse(&mut self, reason: RefuseReason, seconds: f64) -> Refusal {
        let (low, high) = RETRY_AFTER_SECONDS;
        let jitter: f64 = self.rng.random_range(1.0..1.5);
        let retry_after = Duration::from_secs_f64(seconds.clamp(low, high) * jitter);
        Refusal { reason, retry_after }
    }

    /// Retry delay for the caller of a job that was accepted and then not run.
    pub(super) fn retry_after(&mut self, reason: RefuseReason) -> Duration {
        match reason {
            RefuseReason::Cancelled | RefuseReason::Leaving => Duration::ZERO,
            _ => {
                let drain_seconds = self.queue.queued_seconds() / self.capacity().max(0.1);
                self.refuse(reason, drain_seconds / 2.0).retry_after
            }
        }
    }

    /// Refuses a job with a task that no listed worker could run.
    fn check_requirements(&mut self, spec: &JobSpec) -> Result<(), Refusal> {
        let mut needs: Vec<Requirements> =
            spec.tasks.iter().map(|task| task.requirements()).collect();
        needs.sort();
        needs.dedup();
        let offered =
            |need: &Requirements| self.pool.iter().any(|worker| worker.info.satisfies(*need));
        match needs.iter().all(offered) {
            true => Ok(()),
            false => Err(self.refuse(RefuseReason::NoWorker, RETRY_AFTER_SECONDS.1)),
        }
    }

    /// Refuses a job that would exceed the limits of queued tasks, input bytes or kept answers.
    fn check_queue_limits(&mut self, spec: &JobSpec) -> Result<(), Refusal> {
        let tasks = self.queued() + spec.tasks.len();
        let bytes = self.open_bytes + spec.payload_bytes();
        let fits = tasks <= self.policy.max_queued_tasks
            && bytes <= self.policy.max_queued_bytes
            && self.kept_bytes <= self.policy.max_kept_bytes;
        if fits {
            return Ok(());
        }
        let drain_seconds = self.queue.queued_seconds() / self.capacity().max(0.1);
        Err(self.refuse(RefuseReason::QueueFull, drain_seconds / 2.0))
    }

    /// Refuses a job that is expected to finish after its deadline.
    fn check_deadline(&mut self, now: Moment, spec: &JobSpec) -> Result<(), Refusal> {
        let expected = self.expected_finish(now, spec);
        let allowed = spec.deadline().as_secs_f64();
        match expected <= allowed {
            true => Ok(()),
            false => Err(self.refuse(RefuseReason::Deadline, expected - allowed)),
        }
    }

    /// Throughput of the owned slots: the run time on an average worker, in seconds, of the tasks
    /// that they complete each second. A slot counts as one over the slowness of its worker.
    pub(super) fn capacity(&self) -> f64 {
        self.pool
            .iter()
            .filter(|worker| !worker.info.leaving && !worker.reported_leaving)
            .map(|w| f64::from(w.owned_slots) / self.estimator.slowness(&w.info.name))
            .sum()
    }

    /// Expected time until the job would be complete, in seconds from now, lengthened so that the
    /// queueing time takes [`MAX_WAIT_SHARE`] of the deadline at most.
    fn expected_finish(&self, now: Moment, spec: &JobSpec) -> f64 {
        let run_time = |declared| self.estimator.expected_seconds(&spec.job_type, declared);
        let run_times = || spec.tasks.iter().map(|task| run_time(task.declared_ms));
        let longest = run_times().fold(0.0, f64::max);
        if self.queue.is_empty() && self.pool.idle_slots(now) as usize >= spec.tasks.len() {
            return longest;
        }
        let capacity = self.capacity().max(1e-3);
        let work_ahead = self.queue.seconds_ahead(&spec.team, self.weight(&spec.team));
        let wait = work_ahead / capacity;
        let own = run_times().sum::<f64>() / capacity;
        wait / MAX_WAIT_SHARE + own.max(longest)
    }

    /// Takes the job's tasks from its team's quota; refuses the job if the quota is used up.
    fn check_quota(&mut self, now: Moment, spec: &JobSpec) -> Result<(), Refusal> {
        let Some(quota) = self.team_settings(&spec.team).and_then(|settings| settings.starts_per_s)
        else {
            return Ok(());
        };
        let tasks = spec.tasks.len() as f64;
        let bucket = self.quotas.entry(spec.team.clone()).or_insert_with(|| quota_bucket(quota));
        if bucket.try_take(now, tasks) {
            return Ok(());
        }
        let wait = bucket.seconds_until(tasks);
        Err(self.refuse(RefuseReason::Quota, wait))
    }

    /// Sets this entry VM's `share` of a team's quota, which the entry VMs divide by demand.
    pub(super) fn set_quota_share(&mut self, now: Moment, team: &TeamName, share: f64) {
        let Some(quota) = self.team_settings(team).and_then(|settings| settings.starts_per_s)
        else {
            return;
        };
        let rate = quota * share;
        let bucket = self.quotas.entry(team.clone()).or_insert_with(|| quota_bucket(rate));
        bucket.set_rate(now, rate, burst(rate));
    }
}

fn burst(rate: f64) -> f64 {
    (rate * QUOTA_BURST_SECONDS).max(MIN_QUOTA_BURST_TASKS)
}

fn quota_bucket(rate: f64) -> TokenBucket {
    TokenBucket::new(rate, burst(rate))
}
