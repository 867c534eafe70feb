//! What targets answer to starts, stops and holds.

use super::{Action, Dispatcher, LogEvent, SubmissionKey, runs::extend_lease};
use crate::state::{
    target::{HeardClock, HowEnded, Report, RunState, TargetId, TargetTime},
    time::Moment,
    work::{RunNumber, TaskId},
};
use std::time::Duration;

/// A target that refused a task for want of room is given none for this long.
const FULL_TARGET_PAUSE: Duration = Duration::from_millis(25);
/// Longest time from the confirmation of a stop to the end of its run, as the platform states.
pub(super) const MAX_STOP_DURATION: Duration = Duration::from_millis(50);
/// Added to the time that a stop takes: a target's clock and the way there and back.
pub(super) const STOP_MARGIN: Duration = Duration::from_millis(15);

/// A start is sent this often before its run is stopped for want of an answer.
const MAX_START_ATTEMPTS: u32 = 2;
/// Requests without an answer, in a row, after which a target gets no work.
const MAX_MISSED_ANSWERS: u32 = 2;
/// Weight of a hold in the share of holds that are lost; some hundreds are sent in a second.
const LOSS_RATE_WEIGHT: f64 = 0.02;
/// From this progress on, a run's end is told by it; below, whole percents are too coarse.
pub(super) const MIN_PROGRESS_PERCENT: u32 = 10;

/// Why a target did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has stopped or ended this run or a later one.
    StaleRun,
    /// The lease would have ended already.
    LeaseExpired,
    /// The task doesn't fit.
    InsufficientCapacity,
    /// It is not healthy.
    Unhealthy,
    /// It is another incarnation.
    OtherIncarnation,
    /// It can't read the request.
    Invalid,
}

/// The answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// It runs.
    Started(TargetTime),
    /// It does not run and will not.
    Refused(StartRefusal, Option<TargetTime>),
    /// Nothing was sent.
    NotSent,
    /// Not known.
    Unknown,
}

/// The answer to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run ends within the time the platform states, and can't begin any more.
    Stopped,
    /// Another dispatcher owns the target.
    Fenced,
    /// Another incarnation answered, so the run is gone.
    OtherIncarnation,
    /// Not known.
    Unknown,
}

/// Why a hold brought no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRenewalError {
    /// Another dispatcher owns the target.
    Fenced,
    /// Another incarnation answered.
    OtherIncarnation,
    /// No connection can be made.
    Unreachable,
    /// No answer.
    NoAnswer,
}

impl Dispatcher {
    /// Takes in the answer to a start.
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
        if let StartReply::Started(clock) | StartReply::Refused(_, Some(clock)) = reply {
            target.clock = latest_clock(target.clock, clock, now);
        }
        let Some(run) = target.runs.get_mut(&task).filter(|r| r.number == number) else { return };
        match reply {
            StartReply::Unknown => self.rtt.missed(),
            _ => self.rtt.answered(now - run.sent),
        }
        match reply {
            StartReply::Started(_) => {
                if run.state == RunState::Starting {
                    run.state = RunState::Running { since: now };
                }
            }
            StartReply::Unknown => self.on_unanswered_start(id, task, now),
            // It tells nothing of the first start, which may still be carried out.
            reply if run.sends > 1 => {
                match reply {
                    StartReply::Refused(StartRefusal::OtherIncarnation, _) => {
                        self.on_other_incarnation(id, now)
                    }
                    StartReply::Refused(StartRefusal::Fenced, _) => self.on_fenced(id),
                    _ => self.record_fault(id, now),
                }
                self.stop_run(task, id, now);
            }
            StartReply::NotSent => {
                self.mark_unresponsive(id, now);
                self.close_run(task, number, id, HowEnded::Stopped, now);
            }
            StartReply::Refused(refusal, _) => {
                self.on_start_refused(id, task, number, refusal, now)
            }
        }
        self.start_waiting_tasks(now);
    }

    /// The target may have started a run or may do so later. It takes the same start again without
    /// harm; if that has no answer either, the run is stopped there.
    fn on_unanswered_start(&mut self, id: &TargetId, task: TaskId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let silent = target.silent_since.is_some();
        let Some(run) = target.runs.get_mut(&task) else { return };
        let again = run.sends < MAX_START_ATTEMPTS && run.state == RunState::Starting && !silent;
        let job = run.job.and_then(|key| self.jobs.get(&SubmissionKey(key)));
        let spec = job.filter(|_| again).map(|job| job.work.spec.clone());
        let lease_end = spec.is_some().then(|| extend_lease(target, now)).flatten();
        let (Some(spec), Some(lease_end)) = (spec, lease_end) else {
            self.record_fault(id, now);
            self.stop_run(task, id, now);
            return;
        };
        let Some(run) = target.runs.get_mut(&task) else { return };
        let waited = now - run.sent;
        run.sends += 1;
        run.expected = now + (run.expected - run.sent);
        run.sent = now;
        let number = run.number;
        let request = self.run_request(&self.targets[id], task, number);
        self.counts.starts += 1;
        self.log(LogEvent::StartResent { task, target: id.clone(), waited });
        self.actions.push(Action::Start { request, spec, lease_end });
    }

    fn on_fenced(&mut self, id: &TargetId) {
        self.counts.fenced_requests += 1;
        self.actions.push(Action::Fenced(id.clone()));
    }

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
                target.full_until = now + FULL_TARGET_PAUSE;
                self.counts.capacity_refusals += 1;
            }
            StartRefusal::Unhealthy | StartRefusal::Invalid => self.record_fault(id, now),
            StartRefusal::Fenced => self.on_fenced(id),
            StartRefusal::OtherIncarnation => self.on_other_incarnation(id, now),
            StartRefusal::LeaseExpired => target.clock = None,
            StartRefusal::StaleRun => {}
        }
        self.close_run(task, number, id, HowEnded::Stopped, now);
    }

    /// Takes in the answer to a stop.
    pub fn on_stop_reply(
        &mut self,
        id: &TargetId,
        task: TaskId,
        number: RunNumber,
        reply: StopReply,
        now: Moment,
    ) {
        self.check_suspension(now);
        let Some(target) = self.targets.get_mut(id) else { return };
        let Some(run) = target.runs.get_mut(&task).filter(|r| r.number == number) else { return };
        match reply {
            StopReply::Stopped => {
                if let RunState::Stopping { acknowledged, .. } = &mut run.state {
                    *acknowledged = Some(now + MAX_STOP_DURATION);
                }
            }
            StopReply::Fenced => self.on_fenced(id),
            StopReply::OtherIncarnation => self.on_other_incarnation(id, now),
            StopReply::Unknown => {}
        }
        self.start_waiting_tasks(now);
    }

    /// Takes in the answer to a hold that was sent at `sent`.
    pub fn on_lease_renewal_reply(
        &mut self,
        id: &TargetId,
        sent: Moment,
        reply: Result<Report, LeaseRenewalError>,
        now: Moment,
    ) {
        self.check_suspension(now);
        if reply.is_ok() || self.targets.get(id).is_some_and(|t| t.missed == 0) {
            let lost = f64::from(u8::from(reply == Err(LeaseRenewalError::NoAnswer)));
            self.renewal_loss_rate += LOSS_RATE_WEIGHT * (lost - self.renewal_loss_rate);
        }
        match reply {
            Ok(report) => self.on_report(id, sent, report, now),
            Err(LeaseRenewalError::Fenced) => self.on_fenced(id),
            Err(LeaseRenewalError::OtherIncarnation) => self.on_other_incarnation(id, now),
            Err(LeaseRenewalError::Unreachable) => self.mark_unresponsive(id, now),
            Err(LeaseRenewalError::NoAnswer) => self.on_missed_answer(id, now),
        }
        self.start_waiting_tasks(now);
    }

    fn on_report(&mut self, id: &TargetId, sent: Moment, report: Report, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if report.life.is_some_and(|life| life != target.info.life) {
            self.on_other_incarnation(id, now);
            return;
        }
        target.clock = latest_clock(target.clock, report.clock, now);
        target.heard = now;
        target.missed = 0;
        if target.silent_since.take().is_some() {
            self.log(LogEvent::TargetStateChanged { target: id.clone(), state: "answering again" });
        }
        self.close_ended_runs(id, &report, now);
        self.reconcile_runs(id, sent, &report, now);
    }

    fn close_ended_runs(&mut self, id: &TargetId, report: &Report, now: Moment) {
        for end in &report.ended {
            let Some(target) = self.targets.get_mut(id) else { return };
            if end.number <= target.last_end {
                continue;
            }
            target.last_end = end.number;
            self.close_run(end.task, end.run, id, end.how, now);
        }
    }

    /// Stops runs that are not known, and closes known ones that are not there.
    fn reconcile_runs(&mut self, id: &TargetId, sent: Moment, report: &Report, now: Moment) {
        self.update_progress(id, report, now);
        let Some(target) = self.targets.get(id) else { return };
        let mut foreign = Vec::new();
        for running in &report.running {
            let known = target.runs.get(&running.task);
            if known.is_none_or(|run| run.number != running.run) {
                foreign.push(Action::Stop(self.run_request(target, running.task, running.run)));
            }
        }
        let listed = |task: &TaskId, number: RunNumber| {
            report.running.iter().any(|r| r.task == *task && r.run == number)
        };
        let vanished: Vec<_> = target
            .runs
            .iter()
            .filter(|(task, run)| !listed(task, run.number))
            .filter_map(|(task, run)| match run.state {
                RunState::Running { since } if since < sent => {
                    Some((*task, run.number, HowEnded::Lost))
                }
                RunState::Stopping { acknowledged: Some(at), .. } if at < sent => {
                    Some((*task, run.number, HowEnded::Stopped))
                }
                _ => None,
            })
            .collect();
        let clear = foreign.is_empty();
        self.actions.extend(foreign);
        for (task, number, how) in vanished {
            self.close_run(task, number, id, how, now);
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        if clear && !target.taken && target.runs.is_empty() {
            target.taken = true;
            target.taken_at = now;
            self.log(LogEvent::TargetStateChanged { target: id.clone(), state: "taken" });
        }
    }

    /// Corrects expected ends by how much of each run is done.
    fn update_progress(&mut self, id: &TargetId, report: &Report, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let mut seen = Vec::new();
        for running in &report.running {
            let known = target.runs.get_mut(&running.task);
            let Some(run) = known.filter(|run| run.number == running.run) else { continue };
            let first = run.percent < MIN_PROGRESS_PERCENT;
            run.percent = running.percent;
            if run.percent < MIN_PROGRESS_PERCENT {
                continue;
            }
            // Whole percents, rounded down: half a percent more is the middle.
            let total = (now - run.sent) * 200 / (2 * run.percent + 1);
            run.expected = run.sent + total;
            run.shortest = Some(run.shortest.map_or(total, |shortest| shortest.min(total)));
            if first && let Some(key) = run.job {
                seen.push((
                    SubmissionKey(key),
                    total.as_secs_f64() / run.usual.as_secs_f64().max(1e-3),
                ));
            }
        }
        for (key, ratio) in seen {
            if let Some(job) = self.jobs.get_mut(&key) {
                job.learn_run_time_ratio(ratio);
            }
        }
    }

    /// One answer may be lost, or a connection dead; the next request goes out on another one.
    fn on_missed_answer(&mut self, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.missed += 1;
        if target.missed >= MAX_MISSED_ANSWERS {
            self.mark_unresponsive(id, now);
        }
    }

    /// The target did not answer; it gets no work until it does.
    fn mark_unresponsive(&mut self, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if target.silent_since.is_none() {
            target.silent_since = Some(now);
            self.log(LogEvent::TargetStateChanged { target: id.clone(), state: "not answering" });
        }
    }

    /// Another incarnation answers at the address: what ran is gone, and the list will name it.
    fn on_other_incarnation(&mut self, id: &TargetId, now: Moment) {
        self.mark_unresponsive(id, now);
        self.close_all_runs(id, now);
    }
}

fn latest_clock(old: Option<HeardClock>, said: TargetTime, now: Moment) -> Option<HeardClock> {
    match old {
        Some(old) if old.at(now) > said => Some(old),
        _ => Some(HeardClock { said, at: now }),
    }
}
