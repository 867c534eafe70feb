//! What a dispatcher tells the log.

use super::SpareCpu;
use crate::state::{
    id::ZoneName,
    plan::QueueName,
    target::TargetId,
    work::{Refusal, RunNumber, TaskId, WorkId},
};
use std::time::Duration;

/// A decision or a changed belief, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A job was let in.
    Admitted {
        /// The job.
        id: WorkId,
        /// Its queue.
        queue: QueueName,
        /// Expected time until it is done.
        expected: Duration,
        /// Tasks that wait before it.
        ahead: usize,
    },
    /// A job was refused.
    Refused {
        /// The job.
        id: WorkId,
        /// Why.
        refusal: Refusal,
        /// Expected time until it would have been done.
        expected: Duration,
        /// Time since it arrived.
        age: Duration,
        /// Jobs that wait.
        waiting: usize,
        /// Targets that could be given work.
        usable: usize,
    },
    /// A job was passed to another zone.
    Redirected {
        /// The job.
        id: WorkId,
        /// The zone.
        zone: ZoneName,
        /// What is free here.
        local_spare: SpareCpu,
        /// What is free there, as last heard and less what was passed since.
        remote_spare: SpareCpu,
        /// How long ago that was heard.
        age: Duration,
    },
    /// A start without an answer was sent again.
    StartResent {
        /// The task.
        task: TaskId,
        /// The target.
        target: TargetId,
        /// How long the answer was waited for.
        waited: Duration,
    },
    /// A run was closed otherwise than by success.
    RunEnded {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The target.
        target: TargetId,
        /// How it ended.
        how: &'static str,
    },
    /// A run was stopped since it is far behind its expected end.
    Straggler {
        /// The task.
        task: TaskId,
        /// The target.
        target: TargetId,
        /// How long it has run.
        after: Duration,
    },
    /// A job was given up.
    Abandoned {
        /// The job.
        id: WorkId,
        /// Why.
        reason: &'static str,
        /// Time since it arrived.
        age: Duration,
        /// Tasks that wait.
        waiting: usize,
        /// Tasks that may be running.
        running: usize,
        /// How much longer its tasks run than expected.
        scale: f64,
    },
    /// A target is given no work for a while.
    Ejected {
        /// The target.
        target: TargetId,
        /// For how long.
        pause: Duration,
    },
    /// What is believed of a target has changed.
    TargetStateChanged {
        /// The target.
        target: TargetId,
        /// The new belief.
        state: &'static str,
    },
    /// The process was suspended; all that was in progress is given up.
    Suspended {
        /// For how long.
        gap: Duration,
    },
}
