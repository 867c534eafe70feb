//! Log of the dispatcher's decisions, rate-limited for each kind of decision.

use crate::{
    coordination::dispatch::{LogEvent, run_log::FoundRun},
    state::{
        target::{LossCause, RunOutcome},
        time::Moment,
    },
    transport::received_job::{ReceivedJob, ReceivedJobEvent},
};
use indexmap::IndexMap;

/// Largest number of log lines a second for one kind of decision. A dispatcher of the largest sites
/// admits 400 jobs a second; refusals and faults have kinds of their own, so that lines of admitted
/// jobs do not displace theirs, and so has each way in which a task may come to run twice.
const MAX_LINES_PER_SECOND: u32 = 50;

/// A rate-limited log, which counts the lines that it leaves out.
#[derive(Debug, Default)]
pub struct DecisionLog {
    /// The current second, counted from the start of the process.
    second: u64,
    /// Lines requested in this second, by kind.
    counts: IndexMap<&'static str, u32>,
}

impl DecisionLog {
    /// Writes the line of one event, unless the limit of its kind is reached in this second.
    pub fn log(&mut self, event: &LogEvent, now: Moment) {
        if self.allows(kind(event), now) {
            write(event);
        }
    }

    /// Writes a line on a job that a peer sent.
    pub fn log_received_job(&mut self, job: &ReceivedJob, event: ReceivedJobEvent, now: Moment) {
        let (kind, level) = match event {
            ReceivedJobEvent::ArrivedLate => ("arrived late", log::Level::Warn),
            ReceivedJobEvent::RefusedAsLate => ("refused as late", log::Level::Warn),
            ReceivedJobEvent::SenderUnresponsive => ("sender unresponsive", log::Level::Warn),
            ReceivedJobEvent::Dropped => ("cancelled", log::Level::Info),
        };
        if self.allows(kind, now) {
            log::log!(level, "links: job {job}: {event}");
        }
    }

    /// Counts a line of this kind. Returns false if it exceeds the limit and must be left out.
    pub fn allows(&mut self, kind: &'static str, now: Moment) -> bool {
        let second = now.since_start().as_secs();
        if second != self.second {
            self.second = second;
            for (kind, count) in self.counts.drain(..) {
                if count > MAX_LINES_PER_SECOND {
                    log::info!(
                        "log: {} lines of kind {kind:?} left out",
                        count - MAX_LINES_PER_SECOND
                    );
                }
            }
        }
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        *count <= MAX_LINES_PER_SECOND
    }
}

/// Returns the kind of an event. Lines are rate-limited for each kind separately.
pub fn kind(event: &LogEvent) -> &'static str {
    match event {
        LogEvent::Admitted { .. } => "admitted",
        LogEvent::Refused { .. } => "refused",
        LogEvent::Redirected { .. } => "passed",
        LogEvent::StartResent { .. } => "resent",
        LogEvent::RunEnded { history: None, .. } => "run ended",
        LogEvent::RunEnded { outcome, history: Some(history), .. } => match outcome {
            RunOutcome::Lost(LossCause::Expired) if history.has_unanswered_request() => {
                "run expired without an answer"
            }
            RunOutcome::Lost(LossCause::Expired) if !history.unresponsive => {
                "run expired on a target that answers"
            }
            RunOutcome::Lost(LossCause::Expired) => "run expired",
            RunOutcome::Lost(LossCause::Restarted) => "run lost in a restart",
            _ => "unusual run",
        },
        LogEvent::LateRun { state: FoundRun::Ended(_), .. } => "late end",
        LogEvent::LateRun { closed: Some(_), .. } => "late run",
        LogEvent::LateRun { closed: None, .. } => "unknown run",
        LogEvent::EarlierRun { .. } => "earlier run",
        LogEvent::Restarted { runs: 0, .. } => "restart",
        LogEvent::Restarted { .. } => "restart under runs",
        LogEvent::Straggler { .. } => "straggler",
        LogEvent::SlowRun { .. } => "slow run",
        LogEvent::GivenUp { .. } => "crashes",
        LogEvent::Abandoned { .. } => "gave up",
        LogEvent::CompletedLate { .. } => "late",
        LogEvent::Ejected { .. } => "set aside",
        LogEvent::Unresponsive { .. } => "unresponsive",
        LogEvent::TargetStateChanged { state, .. } => state,
        LogEvent::EvacuationBegan { .. } | LogEvent::EvacuationEnded { .. } => "evacuation",
        LogEvent::Suspended { .. } => "woke",
    }
}

fn write(event: &LogEvent) {
    match event {
        LogEvent::Admitted { job, expected, ahead } => {
            log::info!("dispatch: job {job} admitted, expected={expected:?} ahead={ahead}");
        }
        LogEvent::Refused { job, refusal, expected, age, waiting, usable } => {
            log::info!(
                "dispatch: job {job} refused: {refusal}, expected={expected:?} age={age:?} \
                 waiting={waiting} usable={usable}"
            );
        }
        LogEvent::Redirected { id, shard, local_spare, remote_spare, age } => {
            log::info!(
                "dispatch: job {id} redirected to {shard}, free={remote_spare} reported {age:?} ago, \
                 here free={local_spare}"
            );
        }
        LogEvent::StartResent { task, target, waited } => {
            log::info!("dispatch: start of {task} on {target} sent again after {waited:?}");
        }
        LogEvent::RunEnded { task, run, target, outcome, age, has_job, history } => {
            let note = if *has_job { "" } else { ", its job is closed" };
            let history =
                history.as_ref().map_or_else(String::new, |history| format!(", {history}"));
            log::info!(
                "dispatch: run {run} of {task} on {target} ended after {age:?}: \
                 {outcome}{note}{history}"
            );
        }
        LogEvent::LateRun {
            task,
            run,
            target,
            state,
            clock,
            token,
            incarnation,
            owned,
            lease_left_ms,
            clock_lead_ms,
            elsewhere,
            closed,
        } => {
            let elsewhere = elsewhere.as_ref().map_or("none", |id| &*id.0);
            let closed = closed.as_ref().map_or_else(
                || "not started by this dispatcher".to_owned(),
                |(ago, closed)| format!("closed {ago:?} before: {closed}"),
            );
            log::warn!(
                "dispatch: run {run} of {task} on {target} found {state} at clock={clock}, own_token={token} \
                 owned={owned:?} in={incarnation} lease_left_now={lease_left_ms}ms \
                 clock_lead_now={clock_lead_ms}ms elsewhere={elsewhere}, {closed}"
            );
        }
        LogEvent::EarlierRun { task, run, target, token } => {
            log::info!(
                "dispatch: run {run} of {task} on {target} is of an earlier dispatcher, \
                 own_token={token}, stopped"
            );
        }
        LogEvent::Restarted { target, incarnation, earlier, runs, unanswered, lease_left_ms } => {
            log::info!(
                "targets: {target} is a new incarnation {incarnation}, was {earlier}, runs={runs} \
                 unanswered={unanswered} lease_left={lease_left_ms}ms"
            );
        }
        LogEvent::Unresponsive { target, reason, runs, youngest } => {
            let youngest = youngest.map_or("none".into(), |age| format!("{age:?}"));
            log::info!(
                "targets: {target} is unresponsive: {reason}, runs={runs} youngest={youngest}"
            );
        }
        LogEvent::Straggler { task, target, after } => {
            log::info!("dispatch: {task} on {target} is a straggler after {after:?}, restarted");
        }
        LogEvent::SlowRun { task, target, ratio } => {
            log::info!("dispatch: {task} on {target} takes {ratio:.1} times the expected run time");
        }
        LogEvent::GivenUp { job, task, age } => {
            log::warn!("dispatch: job {job} failed: its task {task} crashes targets, age={age:?}");
        }
        LogEvent::Abandoned { job, reason, age, waiting, running, scale, caller_left, outlook } => {
            let outlook = outlook.map_or_else(String::new, |outlook| format!(" {outlook}"));
            log::info!(
                "dispatch: job {job} abandoned: {reason}, age={age:?} waiting={waiting} \
                 running={running} scale={scale:.2} caller_left={caller_left:?}{outlook}"
            );
        }
        LogEvent::CompletedLate { job, age, late_by, scale } => {
            log::info!(
                "dispatch: job {job} completed late, age={age:?} late_by={late_by:?} scale={scale:.2}"
            );
        }
        LogEvent::Ejected { target, pause } => {
            log::warn!("targets: {target} ejected for {pause:?}");
        }
        LogEvent::TargetStateChanged { target, state } => {
            log::info!("targets: {target} is {state}")
        }
        LogEvent::EvacuationBegan { zone, begun, waiting } => {
            log::warn!("dispatch: zone {zone} is evacuated, begun={begun} waiting={waiting}");
        }
        LogEvent::EvacuationEnded { zone, after } => {
            log::warn!("dispatch: evacuation of zone {zone} ended after {after:?}");
        }
        LogEvent::Suspended { gap } => log::warn!("dispatch: process was suspended for {gap:?}"),
    }
}
