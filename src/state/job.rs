//! Jobs, their tasks and their answers.

use super::{
    id::{JobType, TeamName, WorkerName},
    time::Moment,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// What a worker must offer for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Need {
    /// The task needs an accelerator.
    pub accelerator: bool,
    /// Declared memory, in MB.
    pub memory_mb: u64,
}

/// One task as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Input for the worker, passed on as it is.
    pub payload: String,
    /// Expected run time in milliseconds: a hint, not a promise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u64>,
    /// Whether the task needs an accelerator.
    #[serde(default)]
    pub accelerator: bool,
    /// Declared memory, in MB.
    #[serde(default)]
    pub memory_mb: u64,
}

impl TaskSpec {
    /// A task with this input and no declarations.
    pub fn new(payload: impl Into<String>) -> Self {
        TaskSpec { payload: payload.into(), ..TaskSpec::default() }
    }

    /// Sets the expected run time, in milliseconds.
    pub fn declared_ms(mut self, ms: u64) -> Self {
        self.declared_ms = Some(ms);
        self
    }

    /// Asks for a worker with an accelerator.
    pub fn accelerator(mut self) -> Self {
        self.accelerator = true;
        self
    }

    /// What a worker must offer for this task.
    pub fn need(&self) -> Need {
        Need { accelerator: self.accelerator, memory_mb: self.memory_mb }
    }
}

/// A job as its caller describes it.
///
/// ```
/// use cranberrytray::state::job::{JobSpec, TaskSpec};
///
/// let spec = JobSpec::new("drafting".parse().unwrap(), "summary".parse().unwrap())
///     .deadline_ms(2_000)
///     .task(TaskSpec::new("clause 4").declared_ms(80));
/// assert_eq!(spec.tasks.len(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team that the job is counted for.
    pub team: TeamName,
    /// The kind of job.
    pub job_type: JobType,
    /// Time the caller gives the job, in milliseconds from its arrival at the issuer.
    pub deadline_ms: u64,
    /// Whether running the job again would do no harm. Tasks start at most once in either case;
    /// workers are told.
    #[serde(default)]
    pub idempotent: bool,
    /// The tasks, at least one.
    pub tasks: Vec<TaskSpec>,
}

impl JobSpec {
    /// A job without tasks and with a deadline of ten seconds.
    pub fn new(team: TeamName, job_type: JobType) -> Self {
        JobSpec { team, job_type, deadline_ms: 10_000, idempotent: false, tasks: Vec::new() }
    }

    /// Sets the deadline, in milliseconds.
    pub fn deadline_ms(mut self, ms: u64) -> Self {
        self.deadline_ms = ms;
        self
    }

    /// Marks the job as idempotent or not.
    pub fn idempotent(mut self, yes: bool) -> Self {
        self.idempotent = yes;
        self
    }

    /// Adds a task.
    pub fn task(mut self, task: TaskSpec) -> Self {
        self.tasks.push(task);
        self
    }

    /// The time allowed, from arrival to answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// A fingerprint that tells a resubmission from a different job under the same id.
    pub fn digest(&self) -> Digest {
        let mut buf = Vec::with_capacity(64 + self.bytes());
        let mut field = |s: &str| {
            buf.extend_from_slice(&(s.len() as u64).to_le_bytes());
            buf.extend_from_slice(s.as_bytes());
        };
        field(self.team.as_str());
        field(self.job_type.as_str());
        self.tasks.iter().for_each(|task| field(&task.payload));
        for task in &self.tasks {
            buf.extend_from_slice(&task.declared_ms.unwrap_or(u64::MAX).to_le_bytes());
            buf.extend_from_slice(&task.memory_mb.to_le_bytes());
            buf.push(u8::from(task.accelerator));
        }
        buf.extend_from_slice(&self.deadline_ms.to_le_bytes());
        buf.push(u8::from(self.idempotent));
        Digest(xxh3_64(&buf))
    }

    /// Bytes of task input held while the job is open.
    pub fn bytes(&self) -> usize {
        self.tasks.iter().map(|task| task.payload.len()).sum()
    }
}

/// A fingerprint of a [`JobSpec`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

/// Why a job was refused and nothing of it was started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// It was not accepted: it can't finish before its deadline at the present rates.
    #[display("deadline")]
    Deadline,
    /// The queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The team has used up its quota.
    #[display("quota")]
    Quota,
    /// No worker offers what a task declares.
    #[display("no_worker")]
    NoWorker,
    /// The caller cancelled it before any task was started.
    #[display("cancelled")]
    Cancelled,
    /// It was accepted, but its deadline can't be met any more and no task was started.
    #[display("expired_in_queue")]
    ExpiredInQueue,
    /// The entry VM is leaving and takes no new jobs.
    #[display("leaving")]
    Leaving,
}

/// Why an accepted job failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailReason {
    /// A worker reported a task as failed.
    #[display("task_failed")]
    TaskFailed,
    /// The outcome of a started task can't be known.
    #[display("task_unknown")]
    TaskUnknown,
    /// The deadline passed with tasks started.
    #[display("deadline")]
    Deadline,
    /// The caller cancelled it after tasks were started.
    #[display("cancelled")]
    Cancelled,
}

/// What is known of one task of a failed job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum TaskReport {
    /// It was not started and never will be.
    NotStarted,
    /// It was started and was asked to stop; it may or may not have finished.
    Stopped,
    /// It finished, but its job failed.
    Done,
    /// The worker reported a failure.
    Failed {
        /// The worker's own words.
        message: String,
    },
    /// It may have been started; its outcome can't be known.
    Unknown,
}

/// The final answer to a job, one value for all who ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Answer {
    /// Every task finished; one output per task, in order.
    Complete {
        /// The outputs.
        outputs: Vec<String>,
    },
    /// The job failed; one report per task, in order.
    Failed {
        /// Why.
        reason: FailReason,
        /// What is known of each task.
        tasks: Vec<TaskReport>,
    },
    /// No task was started and none will be under this id.
    NotRun {
        /// Why.
        reason: RefuseReason,
        /// When to come back with a new id, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Answer {
    /// Bytes of worker output that the answer holds.
    pub fn bytes(&self) -> usize {
        let failed = |report: &TaskReport| match report {
            TaskReport::Failed { message } => message.len(),
            _ => 0,
        };
        match self {
            Answer::Complete { outputs } => outputs.iter().map(String::len).sum(),
            Answer::Failed { tasks, .. } => tasks.iter().map(failed).sum(),
            Answer::NotRun { .. } => 0,
        }
    }
}

/// Where a task of an open job stands.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    /// Waiting for a slot.
    Queued,
    /// A start request was handed to the transport.
    Started {
        /// Where.
        worker: WorkerName,
        /// When.
        at: Moment,
    },
    /// The worker answered with this output.
    Done(String),
}

/// How one start request ended, as the transport tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The worker ran the task.
    Done(String),
    /// The worker ran the task and reports a failure.
    Failed(String),
    /// The worker answered that it did not start the task.
    Refused,
    /// No byte of the request was written.
    NotSent,
    /// A byte was written and no whole answer came back.
    Unknown,
}

/// An accepted job that has no answer yet.
#[derive(Debug)]
pub struct Job {
    /// What the caller asked for.
    pub spec: Arc<JobSpec>,
    /// Its fingerprint.
    pub digest: Digest,
    /// When it arrived.
    pub accepted: Moment,
    /// When it must be answered.
    pub deadline: Moment,
    /// One state per task.
    pub tasks: Vec<TaskState>,
    /// Tasks without an output.
    pub unfinished: usize,
}

impl Job {
    /// A job that arrived at `now`.
    pub fn new(spec: Arc<JobSpec>, digest: Digest, now: Moment) -> Self {
        let count = spec.tasks.len();
        Job {
            digest,
            accepted: now,
            deadline: now + spec.deadline(),
            tasks: vec![TaskState::Queued; count],
            unfinished: count,
            spec,
        }
    }

    /// Whether any task was handed to a worker and not proved unstarted.
    pub fn any_started(&self) -> bool {
        self.tasks.iter().any(|task| *task != TaskState::Queued)
    }

    /// Tasks that run now, with their workers.
    pub fn running(&self) -> impl Iterator<Item = (u32, &WorkerName)> {
        self.tasks.iter().enumerate().filter_map(|(i, task)| match task {
            TaskState::Started { worker, .. } => Some((i as u32, worker)),
            _ => None,
        })
    }

    /// Indexes of the tasks that still wait.
    pub fn queued(&self) -> impl Iterator<Item = u32> {
        let waiting = |task: &TaskState| *task == TaskState::Queued;
        self.tasks.iter().enumerate().filter(move |(_, task)| waiting(task)).map(|(i, _)| i as u32)
    }

    /// The outputs of all tasks, if each has one.
    pub fn outputs(&self) -> Option<Vec<String>> {
        self.tasks
            .iter()
            .map(|task| match task {
                TaskState::Done(output) => Some(output.clone()),
                _ => None,
            })
            .collect()
    }

    /// Reports for a failed job; `culprit` replaces the report of one task.
    pub fn reports(&self, culprit: Option<(u32, TaskReport)>) -> Vec<TaskReport> {
        let mut reports: Vec<_> = self
            .tasks
            .iter()
            .map(|task| match task {
                TaskState::Queued => TaskReport::NotStarted,
                TaskState::Started { .. } => TaskReport::Stopped,
                TaskState::Done(_) => TaskReport::Done,
            })
            .collect();
        if let Some((index, report)) = culprit {
            reports[index as usize] = report;
        }
        reports
    }
}
