//! What a dispatcher records of unusual runs, so that the log tells why a task ran twice.

use super::{Dispatcher, LogEvent};
use crate::state::{
    job_submission::{RunNumber, TaskId},
    start_answer::StartAnswer,
    target::{
        EndedRun, FencingToken, LossCause, Run, RunOutcome, RunState, Target, TargetId,
        TargetIncarnation, TargetReport, TargetTime,
    },
    time::Moment,
};
use derive_more::{Add, Display};
use indexmap::IndexSet;
use std::{collections::VecDeque, fmt, time::Duration};

/// Time for which closed runs are remembered. A target may carry out a request seconds after it was
/// sent.
const MEMORY_SPAN: Duration = Duration::from_secs(30);
/// Maximum number of closed runs that are remembered.
const MAX_REMEMBERED_RUNS: usize = 1_024;

/// Counters of unusual runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Add)]
pub struct UnusualRunCounts {
    /// Runs closed because their lease expired, while their target was unresponsive.
    pub expired_silent: u64,
    /// Runs closed because their lease expired, while their target answered.
    pub expired_answering: u64,
    /// Runs found on a target after this dispatcher had closed them.
    pub late: u64,
    /// Runs found on a target that this dispatcher owns and did not start them on.
    pub unknown: u64,
}

/// What a dispatcher knew of a run when it closed it. Durations end at that moment.
#[derive(Clone, Debug, PartialEq)]
pub struct RunHistory {
    /// Fencing token of the dispatcher.
    pub token: FencingToken,
    /// Incarnation of the target that the run was started on.
    pub incarnation: TargetIncarnation,
    /// Present incarnation of the target.
    pub current_incarnation: TargetIncarnation,
    /// Time since the first start request was sent.
    pub first_sent: Duration,
    /// Time since the last start request was sent.
    pub last_sent: Duration,
    /// Number of start requests.
    pub starts: u32,
    /// Answer to the last start request.
    pub start_answer: StartAnswer,
    /// Time since the first stop request was sent; `None` if none was.
    pub stop_sent: Option<Duration>,
    /// Number of stop requests.
    pub stops: u32,
    /// Whether the target confirmed a stop.
    pub stop_confirmed: bool,
    /// End of the lease in the last start request, on the target's clock.
    pub lease_end: TargetTime,
    /// Earliest time that the target's clock could show, as estimated; `None` if unknown.
    pub clock: Option<TargetTime>,
    /// Time since the reading on which the estimate rests.
    pub clock_age: Option<Duration>,
    /// Time by which the estimate was ahead of the latest reading, in milliseconds.
    pub clock_lead_ms: i64,
    /// Time until the latest end of the target's leases on this dispatcher's clock, in milliseconds.
    pub lease_left_ms: i64,
    /// Time since the target's last report.
    pub last_report: Duration,
    /// Whether the target was unresponsive.
    pub unresponsive: bool,
}

impl RunHistory {
    fn new(token: FencingToken, target: &Target, run: &Run, now: Moment) -> Self {
        let (stop_sent, stops, stop_confirmed) = match run.state {
            RunState::Stopping { since, ends_by, attempts } => {
                (Some(now - since), attempts, ends_by.is_some())
            }
            _ => (None, 0, false),
        };
        RunHistory {
            token,
            incarnation: run.incarnation,
            current_incarnation: target.incarnation,
            first_sent: now - run.first_sent_at,
            last_sent: now - run.start_sent_at,
            starts: run.start_attempts,
            start_answer: run.start_answer,
            stop_sent,
            stops,
            stop_confirmed,
            lease_end: run.lease_end,
            clock: target.clock.map(|clock| clock.earliest_at(now)),
            clock_age: target.clock.map(|clock| now - clock.received_at),
            clock_lead_ms: target.clock_lead_ms,
            lease_left_ms: signed_millis(target.latest_lease_end(), now),
            last_report: now - target.last_report_at,
            unresponsive: target.unresponsive_since.is_some(),
        }
    }

    /// Whether a start or stop request was sent that the target may still carry out.
    pub fn has_unanswered_request(&self) -> bool {
        if self.start_answer == StartAnswer::Refused && self.starts == 1 {
            return false;
        }
        let is_unanswered =
            matches!(self.start_answer, StartAnswer::Pending | StartAnswer::Unanswered);
        is_unanswered || self.starts > 1 || self.stops > 0 && !self.stop_confirmed
    }
}

impl fmt::Display for RunHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let or_none =
            |time: Option<Duration>| time.map_or("none".to_owned(), |time| format!("{time:?}"));
        let clock = self.clock.map_or("none".to_owned(), |clock| clock.to_string());
        write!(
            f,
            "token={} first_sent={:?} last_sent={:?} starts={} start={} stop_sent={} stops={} \
             confirmed={} lease_end={} clock={clock} lease_left={}ms clock_age={} clock_lead={}ms \
             last_report={:?} unresponsive={} incarnation={} now={}",
            self.token,
            self.first_sent,
            self.last_sent,
            self.starts,
            self.start_answer,
            or_none(self.stop_sent),
            self.stops,
            self.stop_confirmed,
            self.lease_end,
            self.lease_left_ms,
            or_none(self.clock_age),
            self.clock_lead_ms,
            self.last_report,
            self.unresponsive,
            self.incarnation,
            self.current_incarnation,
        )
    }
}

/// A run that was closed, as a dispatcher remembers it.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{outcome}, {history}")]
pub struct ClosedRun {
    /// Outcome with which it was closed.
    pub outcome: RunOutcome,
    /// What the dispatcher knew of the run when it closed it.
    pub history: RunHistory,
}

/// Latest closed runs whose start may still be carried out.
#[derive(Debug, Default)]
pub(super) struct ClosedRuns(VecDeque<(Moment, TargetId, TaskId, RunNumber, Box<ClosedRun>)>);

impl ClosedRuns {
    fn add(
        &mut self,
        target: TargetId,
        task: TaskId,
        run: RunNumber,
        closed: Box<ClosedRun>,
        now: Moment,
    ) {
        let is_old = |(at, ..): &(Moment, _, _, _, _)| now - *at > MEMORY_SPAN;
        while self.0.len() >= MAX_REMEMBERED_RUNS || self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        self.0.push_back((now, target, task, run, closed));
    }

    /// Returns when and how a run was closed.
    fn find(
        &self,
        target: &TargetId,
        task: TaskId,
        run: RunNumber,
    ) -> Option<(Moment, &ClosedRun)> {
        let mut latest_first = self.0.iter().rev();
        let found =
            latest_first.find(|(_, t, id, number, _)| *id == task && *number == run && t == target);
        found.map(|(at, .., closed)| (*at, &**closed))
    }
}

impl Dispatcher {
    /// Largest lead of the estimate of a target's clock over its latest reading.
    pub fn max_clock_lead(&self) -> Duration {
        let lead = self.targets.values().map(|target| target.clock_lead_ms).max();
        Duration::from_millis(lead.unwrap_or_default().max(0).unsigned_abs())
    }

    /// Remembers a run that is being closed, and returns its history, if a request for it was not
    /// answered or it was lost.
    pub(super) fn record_closed_run(
        &mut self,
        task: TaskId,
        target_id: &TargetId,
        run: &Run,
        outcome: RunOutcome,
        now: Moment,
    ) -> Option<Box<RunHistory>> {
        let target = self.targets.get(target_id)?;
        let mut history = RunHistory::new(self.fencing_token, target, run, now);
        let has_result = matches!(outcome, RunOutcome::Done | RunOutcome::Failed);
        if has_result && history.start_answer == StartAnswer::Pending {
            history.start_answer = StartAnswer::Started; // The report was faster than the answer.
        }
        let is_lost = matches!(outcome, RunOutcome::Lost(_));
        let is_unusual = is_lost
            || history.has_unanswered_request()
            || history.start_answer == StartAnswer::NotSent;
        if outcome == RunOutcome::Lost(LossCause::Expired) {
            let counts = &mut self.counts.unusual_runs;
            counts.expired_silent += u64::from(history.unresponsive);
            counts.expired_answering += u64::from(!history.unresponsive);
        }
        if is_unusual || history.stop_confirmed {
            let closed = Box::new(ClosedRun { outcome, history: history.clone() });
            self.closed_runs.add(target_id.clone(), task, run.number, closed, now);
        }
        is_unusual.then(|| Box::new(history))
    }

    /// Logs the runs in a report that this dispatcher has closed or did not start, and remembers
    /// which of them are still running, so that each is logged once.
    pub(super) fn log_unknown_runs(&mut self, id: &TargetId, report: &TargetReport, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let mut unknown: IndexSet<(TaskId, RunNumber)> = IndexSet::new();
        for running in &report.running {
            if target.runs.get(&running.task).is_none_or(|run| run.number != running.run) {
                unknown.insert((running.task, running.run));
            }
        }
        if unknown.is_empty() && target.unknown_runs.is_empty() {
            return;
        }
        let logged = std::mem::replace(&mut target.unknown_runs, unknown);
        for running in &report.running {
            let key = (running.task, running.run);
            let is_new = !logged.contains(&key) && self.targets[id].unknown_runs.contains(&key);
            if is_new {
                let state = FoundRun::Running { percent: running.progress_percent };
                self.log_unknown_run(id, running.task, running.run, state, report.clock, now);
            }
        }
    }

    /// Logs the reported end of a run, if this dispatcher has no such run on the target and did not
    /// see it running. After a confirmed stop, a run that succeeded had ended before.
    pub(super) fn log_unknown_end(
        &mut self,
        id: &TargetId,
        end: &EndedRun,
        clock: TargetTime,
        now: Moment,
    ) {
        let Some(target) = self.targets.get(id) else { return };
        let (task, run) = (end.task, end.run);
        let is_known = target.runs.get(&task).is_some_and(|known| known.number == run);
        let was_logged = target.unknown_runs.contains(&(task, run));
        let has_result = matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed);
        if is_known || was_logged || !has_result || !target.taken_over {
            return;
        }
        let found = self.closed_runs.find(id, task, run);
        if found.is_none_or(|(_, closed)| !closed.history.stop_confirmed) {
            self.log_unknown_run(id, task, run, FoundRun::Ended(end.outcome), clock, now);
        }
    }

    fn log_unknown_run(
        &mut self,
        id: &TargetId,
        task: TaskId,
        run: RunNumber,
        state: FoundRun,
        clock: TargetTime,
        now: Moment,
    ) {
        let Some(target) = self.targets.get(id) else { return };
        let found = self.closed_runs.find(id, task, run);
        let closed = found.map(|(at, closed)| (now - at, Box::new(closed.clone())));
        let is_own = closed.is_some();
        if !is_own && !target.taken_over {
            let (target, token) = (id.clone(), self.fencing_token);
            return self.log(LogEvent::EarlierRun { task, run, target, token });
        }
        let job = self.keys_by_job_id.get(&task.job).and_then(|key| self.jobs.get(key));
        let elsewhere = job.and_then(|job| job.tasks.get(&task)?.target.clone());
        let event = LogEvent::LateRun {
            task,
            run,
            target: id.clone(),
            state,
            clock,
            token: self.fencing_token,
            incarnation: target.incarnation,
            owned: now - target.taken_over_at,
            lease_left_ms: signed_millis(target.latest_lease_end(), now),
            clock_lead_ms: target.clock_lead_ms,
            elsewhere,
            closed,
        };
        self.counts.unusual_runs.late += u64::from(is_own);
        self.counts.unusual_runs.unknown += u64::from(!is_own);
        self.log(event);
    }

    /// Logs that a target has a new incarnation.
    pub(super) fn log_restart(&mut self, id: &TargetId, earlier: TargetIncarnation) {
        let Some(target) = self.targets.get(id) else { return };
        let has_unanswered = |run: &&Run| {
            RunHistory::new(self.fencing_token, target, run, self.last_call_at)
                .has_unanswered_request()
        };
        let event = LogEvent::Restarted {
            target: id.clone(),
            incarnation: target.incarnation,
            earlier,
            runs: target.runs.len(),
            unanswered: target.runs.values().filter(has_unanswered).count(),
            lease_left_ms: signed_millis(target.latest_lease_end(), self.last_call_at),
        };
        self.log(event);
    }
}

/// State in which a run was found that its dispatcher had closed or did not start.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum FoundRun {
    /// The run was running.
    #[display("running at {percent}%")]
    Running {
        /// Progress in percent.
        percent: u32,
    },
    /// The target reported that the run had ended.
    #[display("ended: {_0}")]
    Ended(RunOutcome),
}

/// Time from `now` to `at` in milliseconds, negative if `at` is in the past.
pub(super) fn signed_millis(at: Moment, now: Moment) -> i64 {
    (at - now).as_millis() as i64 - (now - at).as_millis() as i64
}
