//! Which jobs are let in, passed to another zone, or refused at once.

use super::{
    Action, DeferredSubmission, Dispatcher, LogEvent, MAX_LEASE_DURATION, MAX_OPEN_JOBS, Rank,
    RemoteZone, SpareCpu, SubmissionKey,
    job::Job,
    replies::{MAX_STOP_DURATION, STOP_MARGIN},
};
use crate::state::{
    id::ZoneName,
    plan::Queue,
    target::Target,
    time::Moment,
    work::{Outcome, Refusal, Work, WorkId},
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// An answer takes this long to reach the caller.
const ANSWER_LATENCY: Duration = Duration::from_millis(15);
/// Shortest time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest time after which a refused caller may come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// What another zone's dispatcher said is used for this long.
const MAX_REMOTE_ZONE_AGE: Duration = Duration::from_millis(700);
/// A job is passed to a zone that has this part of the room it takes: most runs are short, and the
/// other zone refuses at once what it can't end in time.
const LATE_JOB_SPARE_DIVISOR: u64 = 4;
/// A job that would wait here goes to a zone with this many times the room it takes: what that zone
/// said is a tenth of a second old.
const WAITING_JOB_SPARE_FACTOR: u64 = 2;
/// A zone that lacks room for a whole job still takes it if it has more room by one part in this
/// many of what the job takes; less may be used up by the time the job is there.
const FAST_MARGIN_DIVISOR: u64 = 4;
/// A caller is told to come back after this long where no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where a job comes from, which decides how late it may be expected to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A caller of this zone.
    Caller,
    /// Another zone, which may still refuse it.
    OtherZone,
    /// An earlier submission or dispatcher: it has waited, and may have run, so that it can't be
    /// refused any more.
    Earlier,
}

impl Dispatcher {
    /// A caller's job; `may_redirect` unless another zone passed it here, `resumed` if it may have run
    /// under an earlier dispatcher of this zone.
    pub fn submit(
        &mut self,
        work: Work,
        may_redirect: bool,
        resumed: bool,
        now: Moment,
    ) -> SubmissionKey {
        self.check_suspension(now);
        self.last_key += 1;
        let key = SubmissionKey(self.last_key);
        if self.handing_over {
            self.refuse(key, &work, Refusal::Closed, MIN_RETRY_AFTER, Duration::ZERO);
        } else if let Some(&first) = self.keys_by_work_id.get(&work.id) {
            if let Some(job) = self.jobs.get_mut(&first) {
                job.joined.push(key);
            }
        } else if self.orphaned_runs.contains_key(&work.id)
            || resumed && !self.has_no_earlier_runs(now)
        {
            self.deferred.push(DeferredSubmission { key, work, arrived: now, resumed });
        } else {
            let origin = if may_redirect { Origin::Caller } else { Origin::OtherZone };
            self.admit_or_redirect(key, work, now, origin, now);
        }
        self.start_waiting_tasks(now);
        key
    }

    /// Whether nothing that an earlier dispatcher started can be running any more.
    fn has_no_earlier_runs(&self, now: Moment) -> bool {
        let leases_over = now - self.sole_owner_since > MAX_LEASE_DURATION;
        // A run that was being stopped when the target was taken is not listed as running any more.
        let ended = |t: &Target| t.taken && now - t.taken_at > MAX_STOP_DURATION + STOP_MARGIN;
        let all_ended = || self.targets.values().all(ended);
        let looked = || self.list_status.is_complete && !self.targets.is_empty() && all_ended();
        self.predecessor_targets.is_empty() && (leases_over || looked())
    }

    /// Admits parked submissions whose earlier runs are closed.
    pub(super) fn admit_deferred(&mut self, now: Moment) {
        let settled = self.has_no_earlier_runs(now);
        let deferred = std::mem::take(&mut self.deferred);
        let (ready, rest) = deferred.into_iter().partition::<Vec<_>, _>(|p| {
            !self.orphaned_runs.contains_key(&p.work.id) && (settled || !p.resumed)
        });
        self.deferred = rest;
        for deferred in ready {
            self.admit_or_redirect(
                deferred.key,
                deferred.work,
                deferred.arrived,
                Origin::Earlier,
                now,
            );
        }
    }

    /// The caller has left.
    pub fn cancel(&mut self, key: SubmissionKey, now: Moment) {
        self.check_suspension(now);
        self.deferred.retain(|deferred| deferred.key != key);
        if let Some(job) = self.jobs.values_mut().find(|job| job.joined.contains(&key)) {
            job.joined.retain(|joined| *joined != key);
            return;
        }
        let Some(job) = self.jobs.get(&key) else { return };
        if job.joined.is_empty() {
            self.abort_job(key, "its caller left");
            self.start_waiting_tasks(now);
        }
    }

    fn admit_or_redirect(
        &mut self,
        key: SubmissionKey,
        work: Work,
        arrived: Moment,
        origin: Origin,
        now: Moment,
    ) {
        let Some(queue) = self.config.queue(&work.queue).cloned() else {
            return self.refuse(
                key,
                &work,
                Refusal::NoQueue,
                NO_TARGET_RETRY_AFTER,
                Duration::ZERO,
            );
        };
        let id = work.id;
        let job = self.new_job(work, &queue, arrived);
        let rank = Rank { late: false, priority: job.priority, key };
        let mut forecast = self.forecast(now);
        self.schedule_ahead(&mut forecast, Some(rank), now);
        let ahead = self.waiting.iter().take_while(|other| **other < rank).count();
        let base = job.work.steps.first().map(|step| self.base_run_time(&job.work.queue, step));
        let end = forecast.schedule(job.waiting.len(), base.unwrap_or_default(), now);
        let cpu: u64 = job.work.steps.iter().map(|s| s.needs.cpu.0 * u64::from(s.count)).sum();
        let late = end.is_none_or(|end| end > job.objective);
        let zone = match origin {
            Origin::Caller => self.choose_remote_zone(&job, late, cpu, now),
            Origin::OtherZone | Origin::Earlier => None,
        };
        if let Some(zone) = zone {
            return self.redirect_to_zone(key, id, zone, cpu, now);
        }
        let Some(end) = end else {
            return self.refuse(
                key,
                &job.work,
                Refusal::NoTarget,
                NO_TARGET_RETRY_AFTER,
                Duration::ZERO,
            );
        };
        let expected = end - now;
        if self.jobs.len() >= MAX_OPEN_JOBS {
            return self.refuse(key, &job.work, Refusal::QueueFull, MIN_RETRY_AFTER, expected);
        }
        let latest = match origin {
            Origin::Caller => job.latest_end(),
            Origin::OtherZone => job.objective.min(job.deadline),
            Origin::Earlier => job.deadline,
        };
        if end + ANSWER_LATENCY > latest {
            let back = retry_after(end - job.objective);
            return self.refuse(key, &job.work, Refusal::TooLate, back, expected);
        }
        self.counts.admitted += 1;
        self.log(LogEvent::Admitted { id, queue: queue.name, expected, ahead });
        self.keys_by_work_id.insert(id, key);
        self.jobs.insert(key, job);
        self.update_queue(key);
    }

    fn new_job(&self, work: Work, queue: &Queue, arrived: Moment) -> Job {
        let chain: Duration = work.steps.iter().map(|s| self.base_run_time(&work.queue, s)).sum();
        let mut job = Job {
            joined: Vec::new(),
            arrived,
            deadline: arrived + work.patience.min(queue.timeout),
            objective: arrived + chain.mul_f64(queue.stretch) + queue.allowance,
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            tasks: IndexMap::new(),
            waiting: VecDeque::new(),
            start_sent: false,
            late: false,
            log_run_time_ratio: None,
            work,
        };
        job.enqueue_ready_steps();
        job
    }

    /// The zone that should run a job which takes `cpu` in all, if it is not this one; `late` if it
    /// would miss its objective here.
    fn choose_remote_zone(&self, job: &Job, late: bool, cpu: u64, now: Moment) -> Option<ZoneName> {
        let spare = self.spare_cpu(now);
        let fast = job.has_hard_deadline() && spare.fast_millicores < cpu;
        let crowded = !job.has_hard_deadline() && spare.total_millicores < cpu;
        let more_fast = cpu.min(spare.fast_millicores + cpu / FAST_MARGIN_DIVISOR);
        let by_fast = || self.remote_zone_with(more_fast, now, |free| free.fast_millicores);
        let by_room = || {
            self.remote_zone_with(cpu * WAITING_JOB_SPARE_FACTOR, now, |free| free.total_millicores)
        };
        let by_need = || {
            self.remote_zone_with(cpu / LATE_JOB_SPARE_DIVISOR, now, |free| free.total_millicores)
        };
        let zone = if fast { by_fast() } else { None };
        let zone = zone.or_else(|| if crowded { by_room() } else { None });
        zone.or_else(|| if late { by_need() } else { None })
    }

    /// The zone with the most room of a kind, and at least `least`.
    fn remote_zone_with<F>(&self, least: u64, now: Moment, room: F) -> Option<ZoneName>
    where
        F: Fn(SpareCpu) -> u64,
    {
        let fits =
            |n: &RemoteZone| now - n.updated_at <= MAX_REMOTE_ZONE_AGE && room(n.spare) >= least;
        let found = self.remote_zones.iter().filter(|(_, n)| fits(n));
        found.max_by_key(|(_, n)| room(n.spare)).map(|(zone, _)| zone.clone())
    }

    fn redirect_to_zone(
        &mut self,
        key: SubmissionKey,
        id: WorkId,
        zone: ZoneName,
        cpu: u64,
        now: Moment,
    ) {
        let local_spare = self.spare_cpu(now);
        let Some(remote) = self.remote_zones.get_mut(&zone) else { return };
        let (remote_spare, age) = (remote.spare, now - remote.updated_at);
        remote.spare.total_millicores = remote.spare.total_millicores.saturating_sub(cpu);
        remote.spare.fast_millicores = remote.spare.fast_millicores.saturating_sub(cpu);
        let to = remote.address;
        self.counts.redirected += 1;
        self.log(LogEvent::Redirected { id, zone: zone.clone(), local_spare, remote_spare, age });
        self.actions.push(Action::Redirect { key, zone, to });
    }

    fn log_refusal(&mut self, id: WorkId, refusal: Refusal, expected: Duration, age: Duration) {
        let waiting = self.waiting.len();
        let now = self.last_call;
        let usable = self.targets.values().filter(|t| self.is_usable(t, now)).count();
        self.log(LogEvent::Refused { id, refusal, expected, age, waiting, usable });
    }

    fn refuse(
        &mut self,
        key: SubmissionKey,
        work: &Work,
        refusal: Refusal,
        retry_after: Duration,
        expected: Duration,
    ) {
        self.counts.refused += 1;
        self.log_refusal(work.id, refusal, expected, Duration::ZERO);
        let outcome = Outcome::NotRun { refusal, retry_after };
        self.actions.push(Action::Answer { key, id: work.id, outcome });
    }

    /// Answers jobs whose deadline has passed.
    pub(super) fn expire_jobs(&mut self, now: Moment) {
        let expired = self.jobs.iter().filter(|(_, job)| job.deadline <= now);
        let expired: Vec<SubmissionKey> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            self.abort_job(key, "its deadline has passed");
        }
        let deferred = std::mem::take(&mut self.deferred);
        for deferred in deferred {
            if deferred.arrived + deferred.work.patience <= now {
                let outcome = Outcome::Unknown;
                self.actions.push(Action::Answer {
                    key: deferred.key,
                    id: deferred.work.id,
                    outcome,
                });
            } else {
                self.deferred.push(deferred);
            }
        }
    }

    /// Gives up jobs that will not be done in time: those of which nothing has started are refused.
    pub(super) fn shed_late_jobs(&mut self, now: Moment) {
        if self.waiting.is_empty() {
            return;
        }
        let mut forecast = self.forecast(now);
        let ranks: Vec<Rank> = self.waiting.iter().copied().collect();
        for rank in ranks {
            let mut trial = forecast.clone();
            let end = self.schedule_job(&mut trial, rank.key, now);
            let Some(job) = self.jobs.get(&rank.key) else { continue };
            let latest = if job.start_sent { job.deadline } else { job.latest_end() };
            if end.is_some_and(|end| end + ANSWER_LATENCY <= latest) {
                forecast = trial;
                continue;
            }
            let expected = end.map_or(Duration::ZERO, |end| end - now);
            if job.start_sent {
                self.abort_job(rank.key, "its deadline can't be met any more");
                continue;
            }
            let retry_after = retry_after(expected);
            let refusal = Refusal::TooLate;
            let (id, age) = (job.work.id, now - job.arrived);
            self.log_refusal(id, refusal, expected, age);
            self.finish_job(rank.key, Outcome::NotRun { refusal, retry_after });
        }
    }
}

fn retry_after(span: Duration) -> Duration {
    span.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
