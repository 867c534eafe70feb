//! The actions that the decision core returns to its driver, and the events for the timeline.

use crate::state::{
    id::{ConfigVersion, JobNumber, TaskRef, VmName, WorkerName},
    job::{Answer, FailReason, JobSpec, RefuseReason},
    loan::GiveBack,
    time::Moment,
};
use derive_more::Display;
use std::sync::Arc;

/// Content of a start request to a worker, which the driver encodes for the wire.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskRef,
    /// Worker that the request goes to.
    pub worker: WorkerName,
    /// Job of the task, with the task's input.
    pub job: Arc<JobSpec>,
    /// Latest moment at which the request may be written to the connection.
    pub not_after: Moment,
    /// Deadline of the job: its caller gets an answer by then.
    pub deadline: Moment,
}

/// A step that the driver has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a start request, and report its result with `Core::on_task_ended`.
    Start(StartOrder),
    /// Ask a worker to stop these tasks.
    Stop {
        /// Worker that runs the tasks.
        worker: WorkerName,
        /// Tasks to stop, all of one job.
        tasks: Vec<TaskRef>,
    },
    /// Send a job's final answer to every caller that waits for it.
    Answer {
        /// Number of the job at this issuer.
        number: JobNumber,
        /// The job's final answer.
        answer: Arc<Answer>,
    },
    /// Ask a zone peer for idle slots, and report them with `Core::on_loan_granted`.
    Borrow {
        /// Peer that owns the slots.
        lender: VmName,
        /// Largest number of slots to borrow.
        slots: u32,
    },
    /// Give borrowed slots back to their lender.
    GiveBack(GiveBack),
    /// Read the configuration and the platform's lists again, then call `Core::on_reloaded`. Until
    /// then no task is started.
    Reload,
    /// Add an event to the timeline.
    Record(Event),
}

/// An event for the timeline that operators can read.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Event {
    /// A job was accepted.
    #[display("{tasks} tasks")]
    Accepted {
        /// Number of the job.
        job: JobNumber,
        /// Number of its tasks.
        tasks: usize,
    },
    /// A job was answered as not run.
    #[display("{reason}, retry after {retry_after_ms} ms")]
    Refused {
        /// Number of the job.
        job: JobNumber,
        /// Reason given to the caller.
        reason: RefuseReason,
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// A task was assigned to a worker and its start request handed to the transport.
    #[display("task {} on {worker}", task.index)]
    Started {
        /// The task that was assigned.
        task: TaskRef,
        /// Worker that the task was assigned to.
        worker: WorkerName,
    },
    /// A start request certainly started nothing: the worker refused it, or it was not sent.
    #[display("task {} on {worker}", task.index)]
    NotStarted {
        /// The task, which is queued again.
        task: TaskRef,
        /// Worker that the task was assigned to.
        worker: WorkerName,
    },
    /// A job has the outputs of all its tasks.
    #[display("complete")]
    Completed {
        /// Number of the job.
        job: JobNumber,
    },
    /// A job failed after at least one of its tasks was started.
    #[display("{reason}")]
    Failed {
        /// Number of the job.
        job: JobNumber,
        /// Reason given to the caller.
        reason: FailReason,
    },
    /// A worker is ejected as an outlier: it gets no tasks for a while, since many failed on it.
    #[display("{worker}")]
    Ejected {
        /// The worker that fails tasks.
        worker: WorkerName,
    },
    /// An ejected worker gets tasks again.
    #[display("{worker}")]
    Restored {
        /// The worker, which completed a probe task.
        worker: WorkerName,
    },
    /// A configuration came into force on this entry VM.
    #[display("version {}", version.0)]
    ConfigInForce {
        /// Version of the configuration.
        version: ConfigVersion,
    },
    /// The zone's slots were divided among a changed set of dispatchers.
    #[display("{dispatchers} dispatchers, {owned} slots own")]
    SlotsDivided {
        /// Number of entry VMs that share the zone's workers.
        dispatchers: usize,
        /// Number of slots that this entry VM owns.
        owned: u32,
    },
    /// The process was suspended or got no processor time.
    #[display("{ms} ms")]
    ProcessPaused {
        /// Length of the gap between two calls of the core, in milliseconds.
        ms: u64,
    },
    /// This entry VM started to leave and accepts no new jobs.
    #[display("leaving")]
    Leaving,
    /// This entry VM took over the ledger of one that left.
    #[display("{vm}")]
    LedgerInherited {
        /// The entry VM that left.
        vm: VmName,
    },
}

impl Event {
    /// Name of the kind of event, as shown in the timeline.
    pub fn kind(&self) -> &'static str {
        match self {
            Event::Accepted { .. } => "accepted",
            Event::Refused { .. } => "refused",
            Event::Started { .. } => "started",
            Event::NotStarted { .. } => "not_started",
            Event::Completed { .. } => "completed",
            Event::Failed { .. } => "failed",
            Event::Ejected { .. } => "set_aside",
            Event::Restored { .. } => "restored",
            Event::ConfigInForce { .. } => "config_in_force",
            Event::SlotsDivided { .. } => "divided",
            Event::ProcessPaused { .. } => "paused",
            Event::Leaving => "leaving",
            Event::LedgerInherited { .. } => "inherited",
        }
    }

    /// The job that the event belongs to, if any.
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
    /// The event for a job's final answer.
    pub(super) fn from_answer(job: JobNumber, answer: &Answer) -> Self {
        match answer {
            Answer::Complete { .. } => Event::Completed { job },
            Answer::Failed { reason, .. } => Event::Failed { job, reason: *reason },
            Answer::NotRun { reason, retry_after_ms } => {
                Event::Refused { job, reason: *reason, retry_after_ms: *retry_after_ms }
            }
        }
    }
}
