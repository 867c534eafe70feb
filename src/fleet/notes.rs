//! Log lines for the dispatcher's decisions, bounded for each kind of decision.

use crate::{coordination::dispatch::LogEvent, state::time::Moment};
use indexmap::IndexMap;

/// Lines a second for one kind of decision; a dispatcher of the largest sites lets in 400 jobs a
/// second, and those that go wrong have kinds of their own.
const LINES_A_SECOND: u32 = 50;

/// Writes log lines, and counts those left out.
#[derive(Debug, Default)]
pub struct Notes {
    second: u64,
    written: IndexMap<&'static str, u32>,
}

impl Notes {
    /// Writes one line for a decision, unless this second has had enough of its kind.
    pub fn log(&mut self, note: &LogEvent, now: Moment) {
        if self.admits(kind(note), now) {
            write(note);
        }
    }

    /// Whether this second has room for one more line of a kind.
    pub fn admits(&mut self, kind: &'static str, now: Moment) -> bool {
        let second = now.since_start().as_secs();
        if second != self.second {
            self.second = second;
            for (kind, written) in self.written.drain(..) {
                if written > LINES_A_SECOND {
                    log::info!("notes: {} lines of {kind} left out", written - LINES_A_SECOND);
                }
            }
        }
        let written = self.written.entry(kind).or_default();
        *written += 1;
        *written <= LINES_A_SECOND
    }
}

fn kind(note: &LogEvent) -> &'static str {
    match note {
        LogEvent::Admitted { .. } => "admitted",
        LogEvent::Refused { .. } => "refused",
        LogEvent::Redirected { .. } => "passed",
        LogEvent::StartResent { .. } => "resent",
        LogEvent::RunEnded { .. } => "run ended",
        LogEvent::Straggler { .. } => "straggler",
        LogEvent::Abandoned { .. } => "gave up",
        LogEvent::Ejected { .. } => "set aside",
        LogEvent::TargetStateChanged { .. } => "target",
        LogEvent::Suspended { .. } => "woke",
    }
}

fn write(note: &LogEvent) {
    match note {
        LogEvent::Admitted { id, queue, expected, ahead } => {
            log::info!("dispatch: job {id} of {queue} let in, expected={expected:?} ahead={ahead}");
        }
        LogEvent::Refused { id, refusal, expected, age, waiting, usable } => {
            log::info!(
                "dispatch: job {id} refused: {refusal}, expected={expected:?} age={age:?} \
                 waiting={waiting} usable={usable}"
            );
        }
        LogEvent::Redirected { id, zone, local_spare, remote_spare, age } => {
            log::info!(
                "dispatch: job {id} passed to {zone}, free={}m fast={}m heard {age:?} ago, \
                 here free={}m fast={}m",
                remote_spare.total_millicores,
                remote_spare.fast_millicores,
                local_spare.total_millicores,
                local_spare.fast_millicores
            );
        }
        LogEvent::StartResent { task, target, waited } => {
            log::info!("dispatch: start of {task} on {target} sent again after {waited:?}");
        }
        LogEvent::RunEnded { task, run, target, how } => {
            log::info!("dispatch: run {run} of {task} on {target} ended: {how}");
        }
        LogEvent::Straggler { task, target, after } => {
            log::info!("dispatch: {task} on {target} is a straggler after {after:?}, restarted");
        }
        LogEvent::Abandoned { id, reason, age, waiting, running, scale } => {
            log::info!(
                "dispatch: job {id} given up: {reason}, age={age:?} waiting={waiting} \
                 running={running} scale={scale:.2}"
            );
        }
        LogEvent::Ejected { target, pause } => {
            log::warn!("targets: {target} set aside for {pause:?}");
        }
        LogEvent::TargetStateChanged { target, state } => {
            log::info!("targets: {target} is {state}")
        }
        LogEvent::Suspended { gap } => log::warn!("dispatch: suspended for {gap:?}"),
    }
}
