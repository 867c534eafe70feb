//! Which jobs are let in: quotas, bounded queues, and deadlines that can be met.

use super::scheduler::Scheduler;
use crate::state::{
    id::TeamName,
    job::{JobSpec, RefuseReason, Requirements},
    time::Moment,
    token_bucket::TokenBucket,
};
use rand::Rng;
use std::time::Duration;

/// Share of the deadline that an expected wait may use up.
const WAIT_SHARE: f64 = 0.8;
/// Shortest and longest advice on when to come back, in seconds.
const RETRY_AFTER_RANGE: (f64, f64) = (0.05, 30.0);
/// Seconds of quota that may be used in one burst.
const QUOTA_BURST: f64 = 1.0;
/// Smallest burst of a quota, in tasks: one large job.
const QUOTA_MIN_BURST: f64 = 150.0;

/// A refusal of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefuseReason,
    /// When to come back.
    pub retry_after: Duration,
}

impl Scheduler {
    /// Decides whether a job is accepted.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that says when to come back.
    pub fn admit(&mut self, now: Moment, spec: &JobSpec) -> Result<(), Refusal> {
        self.count_demand(spec);
        self.check_needs(spec)?;
        self.check_room(spec)?;
        if self.policy.admission {
            self.check_deadline(now, spec)?;
        }
        self.check_quota(now, spec)
    }

    fn count_demand(&mut self, spec: &JobSpec) {
        *self.demand.entry(spec.team.clone()).or_insert(0) += spec.tasks.len() as u32;
    }

    fn refuse(&mut self, reason: RefuseReason, seconds: f64) -> Refusal {
        let (low, high) = RETRY_AFTER_RANGE;
        let spread: f64 = self.rng.random_range(1.0..1.5);
        let retry_after = Duration::from_secs_f64(seconds.clamp(low, high) * spread);
        Refusal { reason, retry_after }
    }

    /// When the caller of a job that was accepted and then not run should come back.
    pub(super) fn come_back(&mut self, reason: RefuseReason) -> Duration {
        match reason {
            RefuseReason::Cancelled | RefuseReason::Leaving => Duration::ZERO,
            _ => {
                let drain = self.queue.queued_seconds() / self.capacity().max(0.1);
                self.refuse(reason, drain / 2.0).retry_after
            }
        }
    }

    fn check_needs(&mut self, spec: &JobSpec) -> Result<(), Refusal> {
        let mut needs: Vec<Requirements> =
            spec.tasks.iter().map(|task| task.requirements()).collect();
        needs.sort();
        needs.dedup();
        let offered =
            |need: &Requirements| self.pool.iter().any(|worker| worker.info.satisfies(*need));
        match needs.iter().all(offered) {
            true => Ok(()),
            false => Err(self.refuse(RefuseReason::NoWorker, RETRY_AFTER_RANGE.1)),
        }
    }

    fn check_room(&mut self, spec: &JobSpec) -> Result<(), Refusal> {
        let tasks = self.waiting() + spec.tasks.len();
        let bytes = self.open_bytes + spec.payload_bytes();
        let room = tasks <= self.policy.max_queued_tasks
            && bytes <= self.policy.max_queued_bytes
            && self.kept_bytes <= self.policy.max_kept_bytes;
        if room {
            return Ok(());
        }
        let drain = self.queue.queued_seconds() / self.capacity().max(0.1);
        Err(self.refuse(RefuseReason::QueueFull, drain / 2.0))
    }

    fn check_deadline(&mut self, now: Moment, spec: &JobSpec) -> Result<(), Refusal> {
        let finish = self.expected_finish(now, spec);
        let allowed = spec.deadline().as_secs_f64();
        match finish <= allowed {
            true => Ok(()),
            false => Err(self.refuse(RefuseReason::Deadline, finish - allowed)),
        }
    }

    /// Workers' worth of work done a second: slots over slowness.
    pub(super) fn capacity(&self) -> f64 {
        self.pool
            .iter()
            .filter(|worker| !worker.info.leaving && !worker.reported_leaving)
            .map(|worker| f64::from(worker.owned_slots) / self.speeds.slowness(&worker.info.name))
            .sum()
    }

    fn expected_finish(&self, now: Moment, spec: &JobSpec) -> f64 {
        let seconds = |declared| self.speeds.expected_seconds(&spec.job_type, declared);
        let times = || spec.tasks.iter().map(|task| seconds(task.declared_ms));
        let longest = times().fold(0.0, f64::max);
        if self.queue.is_empty() && self.pool.idle_slots(now) as usize >= spec.tasks.len() {
            return longest;
        }
        let capacity = self.capacity().max(1e-3);
        let ahead = self.queue.seconds_ahead(&spec.team, self.weight(&spec.team));
        let wait = ahead / capacity;
        let own = times().sum::<f64>() / capacity;
        wait / WAIT_SHARE + own.max(longest)
    }

    fn check_quota(&mut self, now: Moment, spec: &JobSpec) -> Result<(), Refusal> {
        let Some(quota) = self.rule(&spec.team).and_then(|rule| rule.starts_per_s) else {
            return Ok(());
        };
        let tasks = spec.tasks.len() as f64;
        let bucket = self.quotas.entry(spec.team.clone()).or_insert_with(|| new_bucket(quota));
        if bucket.try_take(now, tasks) {
            return Ok(());
        }
        let wait = bucket.seconds_until(tasks);
        Err(self.refuse(RefuseReason::Quota, wait))
    }

    /// Divides a team's quota among the entry VMs by demand: this one gets `share` of it.
    pub(super) fn share_quota(&mut self, now: Moment, team: &TeamName, share: f64) {
        let Some(quota) = self.rule(team).and_then(|rule| rule.starts_per_s) else {
            return;
        };
        let rate = quota * share;
        let bucket = self.quotas.entry(team.clone()).or_insert_with(|| new_bucket(rate));
        bucket.set_rate(now, rate, burst(rate));
    }
}

fn burst(rate: f64) -> f64 {
    (rate * QUOTA_BURST).max(QUOTA_MIN_BURST)
}

fn new_bucket(rate: f64) -> TokenBucket {
    TokenBucket::new(rate, burst(rate))
}
