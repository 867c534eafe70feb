//! Handles the replies of targets to start, stop and lease renewal requests.

use super::{Action, Dispatcher, LogEvent, SubmissionKey, runs::STRAGGLER_FACTOR};
use crate::state::{
    job_submission::{RunNumber, TaskId},
    mechanism::Mechanism,
    start_answer::StartAnswer,
    target::{
        LossCause, Run, RunOutcome, RunState, TargetId, TargetIncarnation, TargetReport, TargetTime,
    },
    time::Moment,
};
use std::time::Duration;

/// Time for which no task is started on a target after it refused one for lack of capacity, or
/// while its leases may not be prolonged.
pub(super) const FULL_TARGET_PAUSE: Duration = Duration::from_millis(25);
/// Number of start requests sent for a run before it is stopped because none was answered.
const MAX_START_ATTEMPTS: u32 = 2;
/// Number of consecutive unanswered lease renewals after which a target is unresponsive.
const MAX_MISSED_ANSWERS: u32 = 2;
/// Weight of one lease renewal in the loss rate; hundreds are sent per second.
const LOSS_RATE_WEIGHT: f64 = 0.02;
/// Least progress from which the end of a run is projected; below it, whole percents are too coarse.
pub(super) const MIN_PROGRESS_PERCENT: u32 = 10;

/// Reason why a target did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The target has seen a higher fencing token.
    Fenced,
    /// The target has already stopped or ended this run or a later one of the task.
    StaleRun,
    /// The lease in the request is over by the target's clock.
    LeaseExpired,
    /// The task doesn't fit into the free resources of the target.
    InsufficientCapacity,
    /// The target is overloaded or unavailable.
    Unhealthy,
    /// The address belongs to another target.
    OtherTarget,
    /// The target rejects the request as malformed.
    Invalid,
}

/// Reply to a start request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started. Contains the time on the target's clock.
    Started(TargetTime),
    /// The run does not exist and will not be started. Contains the time on the target's clock, if known.
    Refused(StartRefusal, Option<TargetTime>),
    /// The request was not sent, since no connection could be made.
    NotSent,
    /// No valid answer arrived in time; the run may have started or may still start.
    Unknown,
}

impl From<StartReply> for StartAnswer {
    fn from(reply: StartReply) -> Self {
        match reply {
            StartReply::Started(_) => StartAnswer::Started,
            StartReply::Refused(..) => StartAnswer::Refused,
            StartReply::NotSent => StartAnswer::NotSent,
            StartReply::Unknown => StartAnswer::Unanswered,
        }
    }
}

/// Reply to a stop request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run ends within the time that the platform guarantees; if it has not begun, it never will.
    Stopped,
    /// The target has seen a higher fencing token.
    Fenced,
    /// Another target answered, so the run no longer exists.
    OtherTarget,
    /// No valid answer arrived in time; the run may go on.
    Unknown,
}

/// Reason why a lease renewal returned no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRenewalError {
    /// The target has seen a higher fencing token.
    Fenced,
    /// Another target answered.
    OtherTarget,
    /// No connection to the target can be made.
    Unreachable,
    /// The request was sent, but no valid answer arrived in time.
    NoAnswer,
}

/// Reason for which a target is unresponsive that can't be connected to.
const CONNECTIONS_FAIL: &str = "connections fail";
/// Shortest time since the start of a run after which a lack of progress shows that it stands still.
const MIN_STALL_TIME: Duration = Duration::from_millis(100);
/// Assumed age of the progress in a report.
const REPORT_AGE: Duration = Duration::from_millis(20);

impl Run {
    /// Whether the run has made so little progress that it will take far longer than expected.
    fn shows_no_progress(&self, now: Moment) -> bool {
        let RunState::Running { since } = self.state else { return false };
        let elapsed = (now - since).saturating_sub(REPORT_AGE);
        // Progress is rounded down to whole percents, so that none is less than one percent.
        let shortest = elapsed * 100;
        self.progress_percent == 0
            && elapsed >= MIN_STALL_TIME
            && shortest > self.expected_duration.mul_f64(STRAGGLER_FACTOR)
    }
}

impl Dispatcher {
    /// Handles the reply to a start request.
    pub fn on_start_reply(
        &mut self,
        id: &TargetId,
        task: TaskId,
        number: RunNumber,
        reply: StartReply,
        now: Moment,
    ) {
        self.check_suspension(now);
        let Some(target) = self.targets.get_mut(id) else { return };
        let Some(run) = target.runs.get(&task).filter(|r| r.number == number) else { return };
        let (incarnation, start_sent_at) = (run.incarnation, run.start_sent_at);
        let is_of_incarnation = incarnation == target.incarnation;
        if let StartReply::Started(clock) | StartReply::Refused(_, Some(clock)) = reply
            && is_of_incarnation
        {
            target.record_clock(clock, start_sent_at, now);
        }
        let Some(run) = target.runs.get_mut(&task) else { return };
        // A lease that was not sent must not keep the runs of an unreachable target open.
        let lease_end = run.pending_lease_end.take().filter(|_| reply != StartReply::NotSent);
        run.start_answer = reply.into();
        target.lease_end = target.lease_end.max(lease_end.unwrap_or_default());
        match reply {
            StartReply::Unknown => {
                run.has_unanswered_start = true;
                self.rtt.observe_timeout();
            }
            _ => self.rtt.observe(now - start_sent_at),
        }
        let Some(run) = target.runs.get_mut(&task) else { return };
        match reply {
            StartReply::Started(_) => {
                if run.state == RunState::Starting {
                    run.state = RunState::Running { since: now };
                }
            }
            StartReply::Unknown => self.on_unanswered_start(id, task, now),
            // A reply to the second request does not cover the first, which may still start the run.
            reply if run.start_attempts > 1 => {
                match reply {
                    StartReply::Refused(StartRefusal::OtherTarget, _) => {
                        self.on_other_target(id, Some(incarnation), now)
                    }
                    StartReply::Refused(StartRefusal::Fenced, _) => self.on_fenced(id),
                    _ => self.record_fault(id, now),
                }
                self.stop_run(task, id, now);
            }
            StartReply::NotSent => {
                self.mark_unresponsive(id, CONNECTIONS_FAIL, now);
                self.close_run(task, number, id, RunOutcome::Stopped, now);
            }
            StartReply::Refused(refusal, _) => {
                self.on_start_refused(id, task, number, refusal, now)
            }
        }
        self.start_waiting_tasks(now);
    }

    /// Handles a start request without an answer. The target may have started the run or may do so
    /// later. Since a repeated start has no further effect there, the request is sent again once;
    /// if that has no answer either, the run is stopped.
    fn on_unanswered_start(&mut self, id: &TargetId, task: TaskId, now: Moment) {
        let repeats_starts =
            self.enables(Mechanism::RepeatedStarts) && self.permits_repeated_start(id, task, now);
        let end_by = self.leases_end_by(id);
        let Some(target) = self.targets.get_mut(id) else { return };
        let is_unresponsive = target.unresponsive_since.is_some();
        let Some(run) = target.runs.get_mut(&task) else { return };
        let may_resend = repeats_starts
            && run.start_attempts < MAX_START_ATTEMPTS
            && run.state == RunState::Starting
            && !is_unresponsive;
        let job = run.job.and_then(|key| self.jobs.get(&SubmissionKey(key)));
        let spec = job.filter(|_| may_resend).map(|job| job.submission.spec.clone());
        let lease = self.timing.new_lease(target, end_by, now);
        let (Some(spec), Some(lease)) = (spec, lease) else {
            self.record_fault(id, now);
            self.stop_run(task, id, now);
            return;
        };
        let Some(run) = target.runs.get_mut(&task) else { return };
        let waited = now - run.start_sent_at;
        run.start_attempts += 1;
        run.pending_lease_end = Some(lease.latest_end);
        run.lease_end = lease.end;
        run.expected_end = now + (run.expected_end - run.start_sent_at);
        run.start_sent_at = now;
        let number = run.number;
        let request = self.run_request(&self.targets[id], task, number);
        self.counts.starts += 1;
        self.log(LogEvent::StartResent { task, target: id.clone(), waited });
        self.actions.push(Action::Start { request, spec, lease_end: lease.end });
    }

    /// Handles a rejected fencing token. A target that was handed over may reject a request that was sent
    /// before, as its new owner has a higher token; the targets that are left are not affected.
    fn on_fenced(&mut self, id: &TargetId) {
        let Some(target) = self.targets.get(id) else { return };
        let was_accepted = target.accepted_token;
        self.counts.fenced_requests += 1;
        self.actions.push(Action::Fenced { target: id.clone(), was_accepted });
    }

    /// Handles a refused first start request: the run does not exist.
    fn on_start_refused(
        &mut self,
        id: &TargetId,
        task: TaskId,
        number: RunNumber,
        refusal: StartRefusal,
        now: Moment,
    ) {
        let Some(target) = self.targets.get_mut(id) else { return };
        match refusal {
            StartRefusal::InsufficientCapacity => {
                target.no_starts_until = now + FULL_TARGET_PAUSE;
                self.counts.capacity_refusals += 1;
            }
            StartRefusal::Unhealthy | StartRefusal::Invalid => self.record_fault(id, now),
            StartRefusal::Fenced => self.on_fenced(id),
            StartRefusal::OtherTarget => {
                let incarnation = target.runs.get(&task).map(|run| run.incarnation);
                self.on_other_target(id, incarnation, now);
            }
            StartRefusal::LeaseExpired => target.clock = None,
            StartRefusal::StaleRun => {}
        }
        self.close_run(task, number, id, RunOutcome::Stopped, now);
    }

    /// Handles the reply to a stop request.
    pub fn on_stop_reply(
        &mut self,
        id: &TargetId,
        task: TaskId,
        number: RunNumber,
        reply: StopReply,
        now: Moment,
    ) {
        self.check_suspension(now);
        if reply == StopReply::Stopped {
            self.on_start_voided(id, task, number);
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        let Some(run) = target.runs.get_mut(&task).filter(|r| r.number == number) else { return };
        match reply {
            StopReply::Stopped => {
                if let RunState::Stopping { ends_by, .. } = &mut run.state {
                    *ends_by = Some(now + self.timing.stop);
                }
            }
            StopReply::Fenced => self.on_fenced(id),
            StopReply::OtherTarget => {
                let incarnation = run.incarnation;
                self.on_other_target(id, Some(incarnation), now);
            }
            StopReply::Unknown => {}
        }
        self.start_waiting_tasks(now);
    }

    /// Handles the reply to a lease renewal that was sent at `sent`.
    pub fn on_lease_renewal_reply(
        &mut self,
        id: &TargetId,
        sent: Moment,
        reply: Result<TargetReport, LeaseRenewalError>,
        now: Moment,
    ) {
        self.check_suspension(now);
        if reply.is_ok() || self.targets.get(id).is_some_and(|t| t.missed_answers == 0) {
            let lost = f64::from(u8::from(reply == Err(LeaseRenewalError::NoAnswer)));
            self.renewal_loss_rate += LOSS_RATE_WEIGHT * (lost - self.renewal_loss_rate);
        }
        if let Some(target) = self.targets.get_mut(id) {
            let pending = target.pending_lease_end.take();
            let lease_end = pending.filter(|_| reply != Err(LeaseRenewalError::Unreachable));
            target.lease_end = target.lease_end.max(lease_end.unwrap_or_default());
        }
        match reply {
            Ok(report) => self.on_report(id, sent, report, now),
            Err(LeaseRenewalError::Fenced) => self.on_fenced(id),
            Err(LeaseRenewalError::OtherTarget) => self.on_other_target(id, None, now),
            Err(LeaseRenewalError::Unreachable) => {
                self.mark_unresponsive(id, CONNECTIONS_FAIL, now);
            }
            Err(LeaseRenewalError::NoAnswer) => self.on_missed_answer(id, now),
        }
        self.start_waiting_tasks(now);
    }

    fn on_report(&mut self, id: &TargetId, sent: Moment, report: TargetReport, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if let Some(incarnation) = report.incarnation {
            if target.is_former(incarnation, sent) {
                return;
            }
            self.update_incarnation(id, incarnation, now);
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        target.record_clock(report.clock, sent, now);
        target.last_report_at = now;
        target.accepted_token = true;
        target.missed_answers = 0;
        let incarnation = target.incarnation;
        if target.unresponsive_since.take().is_some() {
            self.log(LogEvent::TargetStateChanged {
                target: id.clone(),
                state: "responsive again",
            });
        }
        self.resolve_losses(id, Some(incarnation), now);
        self.close_ended_runs(id, &report, now);
        self.reconcile_runs(id, sent, &report, now);
        self.void_unanswered_starts(id);
    }

    fn close_ended_runs(&mut self, id: &TargetId, report: &TargetReport, now: Moment) {
        for end in &report.ended {
            let Some(target) = self.targets.get_mut(id) else { return };
            if end.sequence <= target.last_end_sequence {
                continue;
            }
            target.last_end_sequence = end.sequence;
            self.log_unknown_end(id, end, report.clock, now);
            self.close_run(end.task, end.run, id, end.outcome, now);
        }
        if let Some(target) = self.targets.get_mut(id) {
            target.last_end_sequence = target.last_end_sequence.max(report.last_end);
        }
    }

    /// Stops reported runs that this dispatcher did not start, and closes its own that are missing
    /// from the report. The target is taken over once neither kind is left.
    fn reconcile_runs(&mut self, id: &TargetId, sent: Moment, report: &TargetReport, now: Moment) {
        self.update_progress(id, report, now);
        self.log_unknown_runs(id, report, now);
        let Some(target) = self.targets.get(id) else { return };
        let mut foreign_stops = Vec::new();
        for running in &report.running {
            let known = target.runs.get(&running.task);
            if known.is_none_or(|run| run.number != running.run) {
                foreign_stops.push(Action::Stop(self.run_request(
                    target,
                    running.task,
                    running.run,
                )));
            }
        }
        let is_reported = |task: &TaskId, number: RunNumber| {
            report.running.iter().any(|r| r.task == *task && r.run == number)
        };
        let (mut vanished, mut lost_in_restart, mut stopped) = (Vec::new(), Vec::new(), Vec::new());
        let missing = target.runs.iter().filter(|(task, run)| !is_reported(task, run.number));
        for (task, run) in missing {
            let is_restarted = run.incarnation != target.incarnation;
            match run.state {
                RunState::Running { since } if since < sent && is_restarted => {
                    lost_in_restart.push((*task, run.number));
                }
                RunState::Running { since } if since < sent => vanished.push(*task),
                RunState::Stopping { ends_by: Some(at), .. } if at < sent => {
                    stopped.push((*task, run.number));
                }
                _ => {}
            }
        }
        let has_no_foreign_runs = foreign_stops.is_empty();
        self.actions.extend(foreign_stops);
        self.close_lost_runs(id, &lost_in_restart, LossCause::Restarted, now);
        for (task, number) in stopped {
            self.close_run(task, number, id, RunOutcome::Stopped, now);
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        let ends_by = now + self.timing.stop;
        for (_, run) in target.runs.iter_mut().filter(|(task, _)| vanished.contains(*task)) {
            run.state = RunState::Vanished { ends_by };
        }
        // A report that was requested before a suspension doesn't show what was started meanwhile.
        let is_outdated = sent < self.sole_owner_since;
        if !has_no_foreign_runs || target.taken_over || !target.runs.is_empty() || is_outdated {
            return;
        }
        // Runs that are being stopped are not reported, but occupy the target until they end. Where
        // it refuses tasks that don't fit, that needs no wait. A restarted target may be in another pool.
        let rejects_when_full =
            target.is_described() && self.config.rejects_when_full(&target.info.pool);
        if !rejects_when_full {
            target.foreign_runs_end_by.get_or_insert(now + self.timing.stop);
        }
        if target.foreign_runs_end_by.is_none_or(|end| end <= now) {
            target.taken_over = true;
            target.taken_over_at = now;
            target.foreign_runs_end_by = None;
            self.log(LogEvent::TargetStateChanged { target: id.clone(), state: "taken" });
        }
    }

    /// Updates the expected ends of runs from their reported progress.
    fn update_progress(&mut self, id: &TargetId, report: &TargetReport, now: Moment) {
        let learns_run_times = self.enables(Mechanism::JobRunTimes);
        let detects_stalls = self.enables(Mechanism::StallDetection);
        let Some(target) = self.targets.get_mut(id) else { return };
        let mut projections = Vec::new();
        for running in &report.running {
            let known = target.runs.get_mut(&running.task);
            let Some(run) = known.filter(|run| run.number == running.run) else { continue };
            let is_first = run.progress_percent < MIN_PROGRESS_PERCENT;
            run.progress_percent = running.progress_percent.min(100);
            run.stalled = detects_stalls && run.shows_no_progress(now);
            if run.progress_percent < MIN_PROGRESS_PERCENT {
                continue;
            }
            // Progress is rounded down to whole percents; half a percent is added for the mean.
            let duration = (now - run.start_sent_at) * 200 / (2 * run.progress_percent + 1);
            run.expected_end = run.start_sent_at + duration;
            run.min_projected_duration = Some(
                run.min_projected_duration.map_or(duration, |shortest| shortest.min(duration)),
            );
            if is_first && let Some(key) = run.job {
                projections.push((SubmissionKey(key), running.task, duration, run.clone()));
            }
        }
        for (key, task, duration, run) in projections {
            let expected = run.expected_duration.as_secs_f64().max(1e-3);
            let learns = learns_run_times && !self.was_cold(id, &run, now);
            if learns && let Some(job) = self.jobs.get_mut(&key) {
                job.learn_run_time_ratio(duration.as_secs_f64() / expected);
            }
            if self.check_target_speed(key, task, id, &run, duration, now)
                && let Some(run) = self.targets.get_mut(id).and_then(|t| t.runs.get_mut(&task))
            {
                run.slow = true;
            }
        }
    }

    /// Counts an unanswered lease renewal. One may be due to a broken connection; the next request
    /// uses another connection.
    fn on_missed_answer(&mut self, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.missed_answers += 1;
        if target.missed_answers >= MAX_MISSED_ANSWERS {
            self.mark_unresponsive(id, "requests are not answered", now);
        }
    }

    /// Marks a target as unresponsive; no task is started there until it answers.
    fn mark_unresponsive(&mut self, id: &TargetId, reason: &'static str, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if target.unresponsive_since.is_none() {
            target.unresponsive_since = Some(now);
            let runs = target.runs.len();
            let youngest = target.runs.values().map(|run| now - run.start_sent_at).min();
            self.log(LogEvent::Unresponsive { target: id.clone(), reason, runs, youngest });
        }
    }

    /// Closes all runs of a target whose address belongs to another target now; the list will have
    /// that one. `incarnation` is that of the run which the answered request was for, `None` if it was for
    /// no run. If a later incarnation is known by now, at another address, only earlier runs are closed.
    fn on_other_target(
        &mut self,
        id: &TargetId,
        incarnation: Option<TargetIncarnation>,
        now: Moment,
    ) {
        let Some(target) = self.targets.get(id) else { return };
        if incarnation.is_some_and(|incarnation| incarnation != target.incarnation) {
            let is_former = |run: &Run| run.incarnation != target.incarnation;
            let former = target.runs.iter().filter(|(_, run)| is_former(run));
            let former: Vec<_> = former.map(|(task, run)| (*task, run.number)).collect();
            return self.close_lost_runs(id, &former, LossCause::Replaced, now);
        }
        self.mark_unresponsive(id, "another target serves at its address", now);
        self.close_all_runs(id, LossCause::Replaced, now);
        self.resolve_losses(id, None, now);
    }
}
