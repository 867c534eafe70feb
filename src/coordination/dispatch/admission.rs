//! Admission control: which jobs are admitted, redirected to another shard, or refused at once.

use super::{
    Action, DeferredSubmission, Dispatcher, JobLabel, LogEvent, MAX_OPEN_JOBS, Rank, RemoteShard,
    SubmissionKey, job::Job,
};
use crate::state::{
    fleet_config::Queue,
    job_submission::{
        CallerJobId, JobSubmission, Outcome, Refusal, Step, chain_durations, validate_steps,
    },
    mechanism::Mechanism,
    resources::MilliCores,
    shard::Shard,
    target::Target,
    time::Moment,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Time that an answer takes to reach the caller.
const ANSWER_LATENCY: Duration = Duration::from_millis(15);
/// Shortest retry delay returned with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest retry delay returned with a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Maximum age at which the spare CPU reported by another shard's dispatcher is still used.
const MAX_REMOTE_SHARD_AGE: Duration = Duration::from_millis(700);
/// A job that would be late here is redirected to a shard with at least `1 / LATE_JOB_SPARE_DIVISOR`
/// of the CPU that the job takes: most runs are short, and the other shard refuses at once a job
/// that it can't finish in time.
const LATE_JOB_SPARE_DIVISOR: u64 = 4;
/// A job that would wait here is redirected to a shard whose spare CPU is this many times what the
/// job takes, since the reported value is up to a tenth of a second old.
const WAITING_JOB_SPARE_FACTOR: u64 = 2;
/// Retry delay of jobs refused because no target or no queue is known for them.
pub(super) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Source of a job, which decides the latest expected end at which it is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A caller of this zone; the job may be redirected to another shard.
    Caller,
    /// Redirected here by the dispatcher of another shard; it may be refused, but not redirected
    /// again.
    OtherShard,
    /// Deferred until runs of an earlier submission or dispatcher were closed. Since the job has
    /// waited and may have run, it is refused only if it can't meet its deadline.
    Deferred,
}

impl Dispatcher {
    /// Admits, redirects or refuses a job, or defers the decision until earlier runs of the job are
    /// closed. `may_redirect` is false if another shard redirected the job here; `resumed` is true
    /// if it may have run under an earlier dispatcher of this shard. A caller of this VM waits for the
    /// outcome.
    pub fn submit(
        &mut self,
        submission: JobSubmission,
        may_redirect: bool,
        resumed: bool,
        now: Moment,
    ) -> SubmissionKey {
        let key = self.next_submission_key();
        self.submitters.add_own_caller(key);
        self.submit_as(key, submission, may_redirect, resumed, now)
    }

    pub(super) fn next_submission_key(&mut self) -> SubmissionKey {
        self.last_submission_key += 1;
        SubmissionKey(self.last_submission_key)
    }

    /// Decides on a submission whose submitter is known.
    pub(super) fn submit_as(
        &mut self,
        key: SubmissionKey,
        submission: JobSubmission,
        may_redirect: bool,
        resumed: bool,
        now: Moment,
    ) -> SubmissionKey {
        self.check_suspension(now);
        let resumed_at = resumed.then_some(now);
        if self.handing_over {
            self.refuse_closed(&[key], &submission);
        } else if let Some(&first) = self.keys_by_job_id.get(&submission.id) {
            if let Some(job) = self.jobs.get_mut(&first) {
                job.submissions.push(key);
                // All submissions of a job are answered alike, so each has to permit a redirect.
                job.may_redirect &= may_redirect && !resumed;
            }
        } else if let Some(earlier) =
            self.deferred.iter_mut().find(|d| d.submission.id == submission.id)
        {
            earlier.keys.push(key);
            earlier.resumed_at = resumed_at.or(earlier.resumed_at);
        } else if self.orphaned_runs.contains_key(&submission.id)
            || !self.has_no_earlier_runs(resumed_at, now)
            || self.awaits_first_list(now)
        {
            if !self.enables(Mechanism::Deferral) {
                self.answer(&[key], submission.id, Outcome::Unknown);
                return key;
            }
            if !self.has_room_for(&submission) {
                let may_have_run = resumed || self.orphaned_runs.contains_key(&submission.id);
                self.refuse_for_memory(key, &submission, may_have_run);
                return key;
            }
            self.deferred.push(DeferredSubmission {
                keys: vec![key],
                memory: submission.dispatch_memory(),
                submission,
                arrived_at: now,
                resumed_at,
            });
        } else if !resumed && self.sheds_for_lag() {
            self.shed_for_lag(key, &submission, may_redirect, now);
            return key;
        } else if !self.has_room_for(&submission) {
            self.refuse_for_memory(key, &submission, resumed);
            return key;
        } else {
            let origin = if may_redirect { Origin::Caller } else { Origin::OtherShard };
            self.admit_or_redirect(vec![key], submission, now, origin, now);
        }
        self.start_waiting_tasks(now);
        key
    }

    /// Whether no run that an earlier dispatcher started can still exist of a job that was resumed at
    /// `resumed_at`, if it was: either the leases of such runs have expired, or every target was taken
    /// over and the list is known to be complete. The submitter may have lost the earlier dispatcher only
    /// just before it resumed the job. A dispatcher that hands over has no such job, as it lacks the
    /// targets that it has released.
    fn has_no_earlier_runs(&self, resumed_at: Option<Moment>, now: Moment) -> bool {
        let Some(resumed_at) = resumed_at else { return true };
        let last_renewal = self.sole_owner_since.max(resumed_at);
        let leases_expired = now - last_renewal > self.timing.lease_bound;
        // A target no longer lists a run that is being stopped, although the run may still exist.
        let has_no_runs = |t: &Target| t.taken_over && now - t.taken_over_at > self.timing.stop;
        let no_runs_on_targets = || self.targets.values().all(has_no_runs);
        let all_taken_over =
            || self.list_status.is_complete && !self.targets.is_empty() && no_runs_on_targets();
        self.predecessor_targets.is_empty() && (leases_expired || all_taken_over())
    }

    /// Decides on deferred submissions whose earlier runs are closed.
    pub(super) fn admit_deferred(&mut self, now: Moment) {
        if self.awaits_first_list(now) {
            return;
        }
        let deferred = std::mem::take(&mut self.deferred);
        let (ready, rest) = deferred.into_iter().partition::<Vec<_>, _>(|d| {
            !self.orphaned_runs.contains_key(&d.submission.id)
                && self.has_no_earlier_runs(d.resumed_at, now)
        });
        self.deferred = rest;
        for deferred in ready {
            self.admit_or_redirect(
                deferred.keys,
                deferred.submission,
                deferred.arrived_at,
                Origin::Deferred,
                now,
            );
        }
    }

    /// Cancels a submission whose caller no longer waits. Its job is abandoned once no submission of
    /// it is left.
    pub fn cancel(&mut self, key: SubmissionKey, now: Moment) {
        self.check_suspension(now);
        for deferred in &mut self.deferred {
            deferred.keys.retain(|other| *other != key);
        }
        self.deferred.retain(|deferred| !deferred.keys.is_empty());
        let has_key = |(_, job): &(&SubmissionKey, &mut Job)| job.submissions.contains(&key);
        let Some((&first, _)) = self.jobs.iter_mut().find(has_key) else {
            return self.submitters.remove(key);
        };
        let end_by = self.runs_end_by(first);
        self.submitters.remove(key);
        let Some(job) = self.jobs.get_mut(&first) else { return };
        job.submissions.retain(|other| *other != key);
        if job.submissions.is_empty() {
            job.runs_end_by = end_by;
            self.abandon_job(first, "its caller no longer waits");
            self.start_waiting_tasks(now);
        }
    }

    /// Decides on a job. `keys` are the submissions of it; a job of a caller has one.
    fn admit_or_redirect(
        &mut self,
        keys: Vec<SubmissionKey>,
        submission: JobSubmission,
        arrived_at: Moment,
        origin: Origin,
        now: Moment,
    ) {
        let Some(&key) = keys.first() else { return };
        if self.fail_if_proven(&keys, &submission) {
            return;
        }
        let Some(queue) = self.config.queue(&submission.queue).cloned() else {
            return self.refuse(
                &keys,
                &submission,
                Refusal::NoQueue,
                NO_TARGET_RETRY_AFTER,
                Duration::ZERO,
            );
        };
        if validate_steps(&submission.steps).is_err() {
            let delay = MAX_RETRY_AFTER;
            return self.refuse(&keys, &submission, Refusal::Shape, delay, Duration::ZERO);
        }
        self.observe_task_sizes(&queue.pool, &submission);
        let is_servable = self.is_servable(&submission, &queue);
        if !is_servable && self.is_evacuating() {
            let may_redirect = origin == Origin::Caller;
            return self.redirect_or_refuse_evacuated(&keys, &submission, may_redirect, now);
        }
        let id = submission.id;
        let mut job = self.new_job(submission, &queue, arrived_at);
        job.may_redirect = origin == Origin::Caller;
        let rank = Rank { priority: job.priority, key };
        let mut forecast = self.forecast(now);
        self.schedule_ahead(&mut forecast, Some(rank), now);
        let ahead = self.queued_jobs.iter().take_while(|other| **other < rank).count();
        let end = self.schedule_waiting(&mut forecast, &job, now);
        let wide_end = self.wide_job_end(&job, &self.large_task_pools(), None, now);
        let end = end.map(|end| wide_end.map_or(end, |wide_end| end.max(wide_end)) + self.lag());
        let cpu = job.submission.total_cpu();
        let late = end.is_none_or(|end| end > job.objective);
        let shard = match origin {
            Origin::Caller if !is_servable => self.best_remote_shard(MilliCores(0), now),
            Origin::Caller => self.choose_remote_shard(late, cpu, now),
            Origin::OtherShard | Origin::Deferred => None,
        };
        if let Some(shard) = shard {
            return self.redirect_to_shard(&keys, id, shard, cpu, now);
        }
        let Some(end) = end.filter(|_| is_servable) else {
            return self.refuse(
                &keys,
                &job.submission,
                Refusal::NoTarget,
                NO_TARGET_RETRY_AFTER,
                Duration::ZERO,
            );
        };
        let expected = end - now;
        if self.jobs.len() >= MAX_OPEN_JOBS {
            return self.refuse(
                &keys,
                &job.submission,
                Refusal::QueueFull,
                MIN_RETRY_AFTER,
                expected,
            );
        }
        job.deferred = origin == Origin::Deferred;
        let latest_end = match origin {
            Origin::Caller | Origin::Deferred => job.latest_end(),
            Origin::OtherShard => job.objective.min(job.deadline),
        };
        if end + ANSWER_LATENCY > latest_end && self.enables(Mechanism::AdmissionForecast) {
            let delay = retry_after(end - job.objective);
            return self.refuse(&keys, &job.submission, Refusal::TooLate, delay, expected);
        }
        self.counts.admitted += 1;
        let label = JobLabel::from(&job.submission);
        self.log(LogEvent::Admitted { job: label, expected, ahead });
        self.keys_by_job_id.insert(id, key);
        job.submissions = keys;
        self.jobs.insert(key, job);
        self.update_queue(key);
    }

    fn new_job(&self, submission: JobSubmission, queue: &Queue, arrived_at: Moment) -> Job {
        let run_time = |step: &Step| self.base_run_time(&submission.queue, step);
        let chains = chain_durations(&submission.steps, run_time);
        let longest = chains.iter().max().copied().unwrap_or_default();
        let chains_after = submission.steps.iter().zip(&chains);
        let chains_after =
            chains_after.map(|(step, chain)| chain.saturating_sub(run_time(step))).collect();
        let mut job = Job {
            submissions: Vec::new(),
            memory: submission.dispatch_memory(),
            arrived_at,
            deadline: submission.deadline(arrived_at),
            objective: arrived_at + queue.objective(longest),
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            first_failed_target: None,
            chains_after,
            tasks: IndexMap::new(),
            waiting_tasks: VecDeque::new(),
            start_sent: self.crash_history.has_suspects(submission.id),
            slow_target: None,
            may_redirect: false,
            deferred: false,
            log_run_time_ratio: None,
            runs_end_by: None,
            submission,
        };
        job.enqueue_ready_steps();
        job
    }

    /// Whether each step has a target that could run its tasks if it were idle.
    fn is_servable(&self, submission: &JobSubmission, queue: &Queue) -> bool {
        let mut steps = submission.steps.iter().filter(|step| step.count > 0);
        steps.all(|step| self.has_target_for(step, queue))
    }

    /// Whether a target could run tasks of a step if it were idle.
    pub(super) fn has_target_for(&self, step: &Step, queue: &Queue) -> bool {
        self.targets.values().any(|target| {
            target.accepts_tasks()
                && target.info.pool == queue.pool
                && !self.is_evacuated(target)
                && step.needs.fits_in(target.info.capacity)
                && step.required.as_ref().is_none_or(|label| target.info.has_label(label))
        })
    }

    /// Returns the shard that a job should be redirected to, if any. `cpu` is what all tasks of the
    /// job take together; `late` is whether it would miss its objective here.
    fn choose_remote_shard(&self, late: bool, cpu: MilliCores, now: Moment) -> Option<Shard> {
        let would_wait = self.enables(Mechanism::WaitingRedirect) && self.spare_cpu(now) < cpu;
        let ample = if would_wait { self.ample_shard(cpu, now) } else { None };
        ample.or_else(|| {
            let late = late && self.enables(Mechanism::LateRedirect);
            let min_spare = MilliCores(cpu.0 / LATE_JOB_SPARE_DIVISOR);
            if late { self.best_remote_shard(min_spare, now) } else { None }
        })
    }

    /// Returns the shard with the most spare CPU, if it has ample for a job that takes `cpu`.
    pub(super) fn ample_shard(&self, cpu: MilliCores, now: Moment) -> Option<Shard> {
        let min_spare = MilliCores(cpu.0.saturating_mul(WAITING_JOB_SPARE_FACTOR));
        self.best_remote_shard(min_spare, now)
    }

    /// Returns the shard with the most spare CPU, if it has at least `min_spare`; one of this zone, if
    /// there is such a one.
    fn best_remote_shard(&self, min_spare: MilliCores, now: Moment) -> Option<Shard> {
        let candidates = self.redirect_targets(now).filter(|(_, remote)| remote.spare >= min_spare);
        let preference = |(shard, remote): &(&Shard, &RemoteShard)| {
            (self.is_own_zone(&shard.zone), remote.spare)
        };
        candidates.max_by_key(preference).map(|(shard, _)| shard.clone())
    }

    /// Returns the shards to which jobs may be redirected: those that reported recently and whose
    /// zone is not evacuated.
    pub(super) fn redirect_targets(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&Shard, &RemoteShard)> {
        self.remote_shards.iter().filter(move |(shard, remote)| {
            now - remote.updated_at <= MAX_REMOTE_SHARD_AGE && !self.is_zone_evacuated(&shard.zone)
        })
    }

    /// Redirects all submissions of a job to the same shard, so that they join one job there.
    pub(super) fn redirect_to_shard(
        &mut self,
        keys: &[SubmissionKey],
        id: CallerJobId,
        shard: Shard,
        cpu: MilliCores,
        now: Moment,
    ) {
        let local_spare = self.spare_cpu(now);
        let Some(remote) = self.remote_shards.get_mut(&shard) else { return };
        let (remote_spare, age) = (remote.spare, now - remote.updated_at);
        remote.spare = MilliCores(remote.spare.0.saturating_sub(cpu.0));
        let to = remote.address;
        self.counts.redirected += 1;
        self.log(LogEvent::Redirected { id, shard: shard.clone(), local_spare, remote_spare, age });
        let redirect = |&key: &SubmissionKey| Action::Redirect { key, shard: shard.clone(), to };
        keys.iter().for_each(|&key| self.submitters.remove(key));
        self.actions.extend(keys.iter().map(redirect));
    }

    pub(super) fn log_refusal(
        &mut self,
        job: JobLabel,
        refusal: Refusal,
        expected: Duration,
        age: Duration,
    ) {
        let waiting = self.queued_jobs.len();
        let now = self.last_call_at;
        let usable = self.targets.values().filter(|t| self.is_usable(t, now)).count();
        self.log(LogEvent::Refused { job, refusal, expected, age, waiting, usable });
    }

    /// Refuses a job that the successor is to decide on.
    pub(super) fn refuse_closed(&mut self, keys: &[SubmissionKey], submission: &JobSubmission) {
        self.refuse(keys, submission, Refusal::Closed, MIN_RETRY_AFTER, Duration::ZERO);
    }

    pub(super) fn refuse(
        &mut self,
        keys: &[SubmissionKey],
        submission: &JobSubmission,
        refusal: Refusal,
        retry_after: Duration,
        expected: Duration,
    ) {
        self.counts.refused += 1;
        self.log_refusal(submission.into(), refusal, expected, Duration::ZERO);
        // A job with suspects was started when it was submitted before.
        let may_have_run = self.crash_history.has_suspects(submission.id);
        let outcome =
            if may_have_run { Outcome::Unknown } else { Outcome::NotRun { refusal, retry_after } };
        self.answer(keys, submission.id, outcome);
    }

    /// Abandons jobs and answers deferred submissions whose deadline has passed.
    pub(super) fn expire_jobs(&mut self, now: Moment) {
        let expired = self.jobs.iter().filter(|(_, job)| job.deadline <= now);
        let expired: Vec<SubmissionKey> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            self.abandon_job(key, "its deadline has passed");
        }
        for deferred in std::mem::take(&mut self.deferred) {
            if deferred.submission.deadline(deferred.arrived_at) <= now {
                self.answer(&deferred.keys, deferred.submission.id, Outcome::Unknown);
            } else {
                self.deferred.push(deferred);
            }
        }
    }

    /// Sheds jobs whose waiting tasks are not expected to end in time: refuses those of which no start
    /// was sent, and abandons the others. Running tasks that would end too late may be restarted, so
    /// [`Dispatcher::check_runs`] decides on these.
    pub(super) fn shed_late_jobs(&mut self, now: Moment) {
        if self.queued_jobs.is_empty() || !self.enables(Mechanism::Shedding) {
            return;
        }
        let mut forecast = self.forecast(now);
        let ranks: Vec<Rank> = self.queued_jobs.iter().copied().collect();
        for rank in ranks {
            let Some(job) = self.jobs.get(&rank.key) else { continue };
            // The forecast has no slots for the jobs that may still use evacuated targets.
            if self.finishes_in_evacuated_zone(job, now) {
                continue;
            }
            let mut with_job = forecast.clone();
            let waiting_end = self.schedule_waiting(&mut with_job, job, now);
            let is_in_time = |end: Moment| end + ANSWER_LATENCY <= job.latest_end();
            if waiting_end.is_some_and(is_in_time) {
                forecast = with_job;
                continue;
            }
            if job.start_sent {
                self.abandon_late_job(rank.key, "its waiting tasks would end after its deadline");
                continue;
            }
            let expected = waiting_end.map_or(Duration::ZERO, |end| end - now);
            let retry_after = retry_after(expected);
            let refusal = Refusal::TooLate;
            let (label, age) = (JobLabel::from(&job.submission), now - job.arrived_at);
            self.log_refusal(label, refusal, expected, age);
            self.finish_job(rank.key, Outcome::NotRun { refusal, retry_after });
        }
    }
}

fn retry_after(span: Duration) -> Duration {
    span.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
