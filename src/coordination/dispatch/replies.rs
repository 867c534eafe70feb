//! What targets answer to starts, stops and holds.

use super::{Action, Dispatch, JobKey, Note, runs::lease};
use crate::state::{
    job_submission::{RunNumber, TaskId},
    target::{ClockReading, RunOutcome, RunState, TargetId, TargetReport, TargetTime},
    time::Moment,
};
use std::time::Duration;

/// A target that refused a task for want of room is given none for this long.
const FULL_PAUSE: Duration = Duration::from_millis(25);
/// Longest time from the confirmation of a stop to the end of its run, as the platform states.
pub(super) const STOP_TIME: Duration = Duration::from_millis(50);
/// Added to the time that a stop takes: a target's clock and the way there and back.
pub(super) const STOP_MARGIN: Duration = Duration::from_millis(15);

/// A start is sent this often before its run is stopped for want of an answer.
const START_SENDS: u32 = 2;
/// Requests without an answer, in a row, after which a target gets no work.
const MISSES: u32 = 2;
/// Weight of a hold in the share of holds that are lost; some hundreds are sent in a second.
const LOSS_WEIGHT: f64 = 0.02;
/// From this progress on, a run's end is told by it; below, whole percents are too coarse.
pub(super) const TELLING_PERCENT: u32 = 10;

/// Why a target did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has stopped or ended this run or a later one.
    OldRun,
    /// The lease would have ended already.
    Late,
    /// The task doesn't fit.
    Room,
    /// It is not healthy.
    Unhealthy,
    /// It is another incarnation.
    OtherLife,
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
    OtherLife,
    /// Not known.
    Unknown,
}

/// Why a hold brought no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldError {
    /// Another dispatcher owns the target.
    Fenced,
    /// Another incarnation answered.
    OtherLife,
    /// No connection can be made.
    Unreachable,
    /// No answer.
    NoAnswer,
}

impl Dispatch {
    /// Takes in the answer to a start.
    pub fn started(
        &mut self,
        id: &TargetId,
        task: TaskId,
        number: RunNumber,
        reply: StartReply,
        now: Moment,
    ) {
        self.check_gap(now);
        let Some(target) = self.targets.get_mut(id) else { return };
        if let StartReply::Started(clock) | StartReply::Refused(_, Some(clock)) = reply {
            target.clock = later_clock(target.clock, clock, now);
        }
        let Some(run) = target.runs.get_mut(&task).filter(|r| r.number == number) else { return };
        match reply {
            StartReply::Unknown => self.patience.observe_timeout(),
            _ => self.patience.observe(now - run.start_sent_at),
        }
        match reply {
            StartReply::Started(_) => {
                if run.state == RunState::Starting {
                    run.state = RunState::Running { since: now };
                }
            }
            StartReply::Unknown => self.unanswered(id, task, now),
            // It tells nothing of the first start, which may still be carried out.
            reply if run.start_attempts > 1 => {
                match reply {
                    StartReply::Refused(StartRefusal::OtherLife, _) => self.other_life(id, now),
                    StartReply::Refused(StartRefusal::Fenced, _) => self.fenced(id),
                    _ => self.blame(id, now),
                }
                self.stop_run(task, id, now);
            }
            StartReply::NotSent => {
                self.silent(id, now);
                self.close_run(task, number, id, RunOutcome::Stopped, now);
            }
            StartReply::Refused(refusal, _) => self.not_started(id, task, number, refusal, now),
        }
        self.fill(now);
    }

    /// The target may have started a run or may do so later. It takes the same start again without
    /// harm; if that has no answer either, the run is stopped there.
    fn unanswered(&mut self, id: &TargetId, task: TaskId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let silent = target.unresponsive_since.is_some();
        let Some(run) = target.runs.get_mut(&task) else { return };
        let again = run.start_attempts < START_SENDS && run.state == RunState::Starting && !silent;
        let job = run.job.and_then(|key| self.jobs.get(&JobKey(key)));
        let spec = job.filter(|_| again).map(|job| job.work.spec.clone());
        let until = spec.is_some().then(|| lease(target, now)).flatten();
        let (Some(spec), Some(until)) = (spec, until) else {
            self.blame(id, now);
            self.stop_run(task, id, now);
            return;
        };
        let Some(run) = target.runs.get_mut(&task) else { return };
        let waited = now - run.start_sent_at;
        run.start_attempts += 1;
        run.expected_end = now + (run.expected_end - run.start_sent_at);
        run.start_sent_at = now;
        let number = run.number;
        let order = self.order(&self.targets[id], task, number);
        self.counts.starts += 1;
        self.note(Note::Resent { task, target: id.clone(), waited });
        self.actions.push(Action::Start { order, spec, until });
    }

    fn fenced(&mut self, id: &TargetId) {
        self.counts.fenced += 1;
        self.actions.push(Action::Fenced(id.clone()));
    }

    fn not_started(
        &mut self,
        id: &TargetId,
        task: TaskId,
        number: RunNumber,
        refusal: StartRefusal,
        now: Moment,
    ) {
        let Some(target) = self.targets.get_mut(id) else { return };
        match refusal {
            StartRefusal::Room => {
                target.no_starts_until = now + FULL_PAUSE;
                self.counts.room_refusals += 1;
            }
            StartRefusal::Unhealthy | StartRefusal::Invalid => self.blame(id, now),
            StartRefusal::Fenced => self.fenced(id),
            StartRefusal::OtherLife => self.other_life(id, now),
            StartRefusal::Late => target.clock = None,
            StartRefusal::OldRun => {}
        }
        self.close_run(task, number, id, RunOutcome::Stopped, now);
    }

    /// Takes in the answer to a stop.
    pub fn stopped(
        &mut self,
        id: &TargetId,
        task: TaskId,
        number: RunNumber,
        reply: StopReply,
        now: Moment,
    ) {
        self.check_gap(now);
        let Some(target) = self.targets.get_mut(id) else { return };
        let Some(run) = target.runs.get_mut(&task).filter(|r| r.number == number) else { return };
        match reply {
            StopReply::Stopped => {
                if let RunState::Stopping { ends_by: acknowledged, .. } = &mut run.state {
                    *acknowledged = Some(now + STOP_TIME);
                }
            }
            StopReply::Fenced => self.fenced(id),
            StopReply::OtherLife => self.other_life(id, now),
            StopReply::Unknown => {}
        }
        self.fill(now);
    }

    /// Takes in the answer to a hold that was sent at `sent`.
    pub fn held(
        &mut self,
        id: &TargetId,
        sent: Moment,
        reply: Result<TargetReport, HoldError>,
        now: Moment,
    ) {
        self.check_gap(now);
        if reply.is_ok() || self.targets.get(id).is_some_and(|t| t.missed_answers == 0) {
            let lost = f64::from(u8::from(reply == Err(HoldError::NoAnswer)));
            self.losses += LOSS_WEIGHT * (lost - self.losses);
        }
        match reply {
            Ok(report) => self.reported(id, sent, report, now),
            Err(HoldError::Fenced) => self.fenced(id),
            Err(HoldError::OtherLife) => self.other_life(id, now),
            Err(HoldError::Unreachable) => self.silent(id, now),
            Err(HoldError::NoAnswer) => self.missed(id, now),
        }
        self.fill(now);
    }

    fn reported(&mut self, id: &TargetId, sent: Moment, report: TargetReport, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if report.incarnation.is_some_and(|life| life != target.info.incarnation) {
            self.other_life(id, now);
            return;
        }
        target.clock = later_clock(target.clock, report.clock, now);
        target.last_report_at = now;
        target.missed_answers = 0;
        if target.unresponsive_since.take().is_some() {
            self.note(Note::TargetIs { target: id.clone(), state: "answering again" });
        }
        self.note_ends(id, &report, now);
        self.compare_running(id, sent, &report, now);
    }

    fn note_ends(&mut self, id: &TargetId, report: &TargetReport, now: Moment) {
        for end in &report.ended {
            let Some(target) = self.targets.get_mut(id) else { return };
            if end.sequence <= target.last_end_sequence {
                continue;
            }
            target.last_end_sequence = end.sequence;
            self.close_run(end.task, end.run, id, end.outcome, now);
        }
    }

    /// Stops runs that are not known, and closes known ones that are not there.
    fn compare_running(&mut self, id: &TargetId, sent: Moment, report: &TargetReport, now: Moment) {
        self.note_progress(id, report, now);
        let Some(target) = self.targets.get(id) else { return };
        let mut foreign = Vec::new();
        for running in &report.running {
            let known = target.runs.get(&running.task);
            if known.is_none_or(|run| run.number != running.run) {
                foreign.push(Action::Stop(self.order(target, running.task, running.run)));
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
                    Some((*task, run.number, RunOutcome::Lost))
                }
                RunState::Stopping { ends_by: Some(at), .. } if at < sent => {
                    Some((*task, run.number, RunOutcome::Stopped))
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
        if clear && !target.taken_over && target.runs.is_empty() {
            target.taken_over = true;
            target.taken_over_at = now;
            self.note(Note::TargetIs { target: id.clone(), state: "taken" });
        }
    }

    /// Corrects expected ends by how much of each run is done.
    fn note_progress(&mut self, id: &TargetId, report: &TargetReport, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let mut seen = Vec::new();
        for running in &report.running {
            let known = target.runs.get_mut(&running.task);
            let Some(run) = known.filter(|run| run.number == running.run) else { continue };
            let first = run.progress_percent < TELLING_PERCENT;
            run.progress_percent = running.progress_percent;
            if run.progress_percent < TELLING_PERCENT {
                continue;
            }
            // Whole percents, rounded down: half a percent more is the middle.
            let total = (now - run.start_sent_at) * 200 / (2 * run.progress_percent + 1);
            run.expected_end = run.start_sent_at + total;
            run.min_projected_duration =
                Some(run.min_projected_duration.map_or(total, |shortest| shortest.min(total)));
            if first && let Some(key) = run.job {
                seen.push((
                    JobKey(key),
                    total.as_secs_f64() / run.expected_duration.as_secs_f64().max(1e-3),
                ));
            }
        }
        for (key, ratio) in seen {
            if let Some(job) = self.jobs.get_mut(&key) {
                job.learn_scale(ratio);
            }
        }
    }

    /// One answer may be lost, or a connection dead; the next request goes out on another one.
    fn missed(&mut self, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.missed_answers += 1;
        if target.missed_answers >= MISSES {
            self.silent(id, now);
        }
    }

    /// The target did not answer; it gets no work until it does.
    fn silent(&mut self, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if target.unresponsive_since.is_none() {
            target.unresponsive_since = Some(now);
            self.note(Note::TargetIs { target: id.clone(), state: "not answering" });
        }
    }

    /// Another incarnation answers at the address: what ran is gone, and the list will name it.
    fn other_life(&mut self, id: &TargetId, now: Moment) {
        self.silent(id, now);
        self.close_all(id, now);
    }
}

fn later_clock(old: Option<ClockReading>, said: TargetTime, now: Moment) -> Option<ClockReading> {
    match old {
        Some(old) if old.earliest_at(now) > said => Some(old),
        _ => Some(ClockReading { time: said, received_at: now }),
    }
}
