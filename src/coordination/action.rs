//! What the decision core asks its driver to do.

use crate::state::{
    id::{ConfigVersion, JobNumber, TaskRef, VmName, WorkerName},
    job::{Answer, FailReason, JobSpec, RefuseReason},
    loan::GiveBack,
    time::Moment,
};
use derive_more::Display;
use std::sync::Arc;

/// One start request to a worker.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Which task.
    pub task: TaskRef,
    /// Where to.
    pub worker: WorkerName,
    /// The job it belongs to.
    pub job: Arc<JobSpec>,
    /// The request must not be written after this moment.
    pub not_after: Moment,
    /// When the job's caller gets an answer at the latest.
    pub deadline: Moment,
}

/// Something the driver has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write a start request, and report its end with `Core::ended`.
    Start(StartOrder),
    /// Ask a worker to stop these tasks.
    Stop {
        /// The worker.
        worker: WorkerName,
        /// The tasks.
        tasks: Vec<TaskRef>,
    },
    /// Tell all who wait for a job its final answer.
    Answer {
        /// The job.
        number: JobNumber,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Ask a zone peer for idle slots, and report them with `Core::granted`.
    Borrow {
        /// The peer.
        lender: VmName,
        /// How many at most.
        slots: u32,
    },
    /// Give borrowed slots back.
    GiveBack(GiveBack),
    /// Read the configuration and the lists anew, then call `Core::rechecked`. Nothing starts
    /// until then.
    Recheck,
    /// Enter an event into the time line.
    Note(Event),
}

/// An event for the time line.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Event {
    /// A job was accepted.
    #[display("{tasks} tasks")]
    Accepted {
        /// The job.
        job: JobNumber,
        /// Its size.
        tasks: usize,
    },
    /// A job was refused.
    #[display("{reason}, retry after {retry_after_ms} ms")]
    Refused {
        /// The job.
        job: JobNumber,
        /// Why.
        reason: RefuseReason,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// A task was handed to the transport.
    #[display("task {} on {worker}", task.index)]
    Started {
        /// The task.
        task: TaskRef,
        /// Where.
        worker: WorkerName,
    },
    /// A start was proved not to have happened.
    #[display("task {} on {worker}", task.index)]
    NotStarted {
        /// The task.
        task: TaskRef,
        /// Where.
        worker: WorkerName,
    },
    /// A job has all its outputs.
    #[display("complete")]
    Completed {
        /// The job.
        job: JobNumber,
    },
    /// A job failed.
    #[display("{reason}")]
    Failed {
        /// The job.
        job: JobNumber,
        /// Why.
        reason: FailReason,
    },
    /// A worker is set aside.
    #[display("{worker}")]
    SetAside {
        /// The worker.
        worker: WorkerName,
    },
    /// A worker takes tasks again.
    #[display("{worker}")]
    Restored {
        /// The worker.
        worker: WorkerName,
    },
    /// A configuration is in force here.
    #[display("version {}", version.0)]
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
    },
    /// The zone's slots were divided anew.
    #[display("{dispatchers} dispatchers, {owned} slots own")]
    Divided {
        /// Entry VMs that share the zone's workers.
        dispatchers: usize,
        /// Slots that belong to this one.
        owned: u32,
    },
    /// The process was not running for a while.
    #[display("{ms} ms")]
    Paused {
        /// For how long, in milliseconds.
        ms: u64,
    },
    /// This entry VM takes no new jobs.
    #[display("leaving")]
    Leaving,
    /// This entry VM answers for one that left.
    #[display("{vm}")]
    Inherited {
        /// The one that left.
        vm: VmName,
    },
}

impl Event {
    /// A short word for the kind of event.
    pub fn kind(&self) -> &'static str {
        match self {
            Event::Accepted { .. } => "accepted",
            Event::Refused { .. } => "refused",
            Event::Started { .. } => "started",
            Event::NotStarted { .. } => "not_started",
            Event::Completed { .. } => "completed",
            Event::Failed { .. } => "failed",
            Event::SetAside { .. } => "set_aside",
            Event::Restored { .. } => "restored",
            Event::ConfigInForce { .. } => "config_in_force",
            Event::Divided { .. } => "divided",
            Event::Paused { .. } => "paused",
            Event::Leaving => "leaving",
            Event::Inherited { .. } => "inherited",
        }
    }

    /// The job that caused it, if one did.
    pub fn job(&self) -> Option<JobNumber> {
        match self {
            Event::Accepted { job, .. }
            | Event::Refused { job, .. }
            | Event::Completed { job }
            | Event::Failed { job, .. } => Some(*job),
            Event::Started { task, .. } | Event::NotStarted { task, .. } => Some(task.number),
            _ => None,
        }
    }
}

impl Event {
    /// What the time line says of an answer.
    pub(super) fn of_answer(job: JobNumber, answer: &Answer) -> Self {
        match answer {
            Answer::Complete { .. } => Event::Completed { job },
            Answer::Failed { reason, .. } => Event::Failed { job, reason: *reason },
            Answer::NotRun { reason, retry_after_ms } => {
                Event::Refused { job, reason: *reason, retry_after_ms: *retry_after_ms }
            }
        }
    }
}
