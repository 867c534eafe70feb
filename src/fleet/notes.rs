//! Log lines for the dispatcher's decisions.

use crate::coordination::dispatch::Note;

/// Writes one line for a decision.
pub fn log(note: &Note) {
    match note {
        Note::Admitted { id, queue, expected, ahead } => {
            log::debug!(
                "dispatch: job {id} of {queue} let in, expected={expected:?} ahead={ahead}"
            );
        }
        Note::Refused { id, refusal, expected } => {
            log::info!("dispatch: job {id} refused: {refusal}, expected={expected:?}");
        }
        Note::RunEnded { task, run, target, how } => {
            log::info!("dispatch: run {run} of {task} on {target} ended: {how}");
        }
        Note::Straggler { task, target, after } => {
            log::info!("dispatch: {task} on {target} is a straggler after {after:?}, restarted");
        }
        Note::GaveUp { id, reason } => log::info!("dispatch: job {id} given up: {reason}"),
        Note::SetAside { target, pause } => {
            log::warn!("targets: {target} set aside for {pause:?}");
        }
        Note::TargetIs { target, state } => log::info!("targets: {target} is {state}"),
        Note::Woke { gap } => log::warn!("dispatch: suspended for {gap:?}"),
    }
}
