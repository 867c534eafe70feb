//! Jobs as their callers describe them, the states of their tasks, and their final answers.

use super::{
    id::{JobType, TeamName, WorkerName},
    time::Moment,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// What a worker must have to run a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Requirements {
    /// Whether the task needs an accelerator.
    pub accelerator: bool,
    /// Memory that the caller declared for the task, in MB.
    pub memory_mb: u64,
}

/// A task as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Input of the task, passed to the worker unchanged.
    pub payload: String,
    /// Run time that the caller expects, in milliseconds. Used for predictions only; not enforced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u64>,
    /// Whether the task needs a worker with an accelerator.
    #[serde(default)]
    pub accelerator: bool,
    /// Memory that the task needs, in MB; a worker needs at least as much. Zero if unset.
    #[serde(default)]
    pub memory_mb: u64,
}

impl TaskSpec {
    /// Creates a task with the given input and without an expected run time or requirements.
    pub fn new(payload: impl Into<String>) -> Self {
        TaskSpec { payload: payload.into(), ..TaskSpec::default() }
    }

    /// Sets the run time that the caller expects, in milliseconds.
    pub fn declared_ms(mut self, ms: u64) -> Self {
        self.declared_ms = Some(ms);
        self
    }

    /// Requires a worker with an accelerator.
    pub fn accelerator(mut self) -> Self {
        self.accelerator = true;
        self
    }

    /// Returns what a worker must have to run this task.
    pub fn requirements(&self) -> Requirements {
        Requirements { accelerator: self.accelerator, memory_mb: self.memory_mb }
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
    /// Team on whose behalf the job is submitted; its weight and quota apply.
    pub team: TeamName,
    /// Type of the job, by which run times of tasks are predicted.
    pub job_type: JobType,
    /// Time allowed until the answer, in milliseconds from the job's arrival at its issuer.
    pub deadline_ms: u64,
    /// Whether the tasks may safely run more than once. Workers receive this flag; the dispatcher
    /// starts a task at most once in either case.
    #[serde(default)]
    pub idempotent: bool,
    /// Tasks of the job, at least one.
    pub tasks: Vec<TaskSpec>,
}

impl JobSpec {
    /// Creates a job without tasks and with a deadline of ten seconds.
    pub fn new(team: TeamName, job_type: JobType) -> Self {
        JobSpec { team, job_type, deadline_ms: 10_000, idempotent: false, tasks: Vec::new() }
    }

    /// Sets the time allowed until the answer, in milliseconds.
    pub fn deadline_ms(mut self, ms: u64) -> Self {
        self.deadline_ms = ms;
        self
    }

    /// Sets whether the tasks may safely run more than once.
    pub fn idempotent(mut self, yes: bool) -> Self {
        self.idempotent = yes;
        self
    }

    /// Appends a task.
    pub fn task(mut self, task: TaskSpec) -> Self {
        self.tasks.push(task);
        self
    }

    /// Returns the time allowed from the job's arrival to its answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Hashes the whole job. A submission under a known id with another digest is a conflict.
    pub fn digest(&self) -> Digest {
        let mut buf = Vec::with_capacity(64 + self.payload_bytes());
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

    /// Total size of the tasks' inputs, in bytes.
    pub fn payload_bytes(&self) -> usize {
        self.tasks.iter().map(|task| task.payload.len()).sum()
    }
}

/// Hash of a [`JobSpec`], which distinguishes a resubmission from another job under the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

/// Reason why a job was not run; none of its tasks was started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The job was not accepted since it is predicted to finish after its deadline.
    #[display("deadline")]
    Deadline,
    /// The limit on queued tasks, on their input or on stored answers is reached.
    #[display("queue_full")]
    QueueFull,
    /// The team has exceeded its quota of task starts.
    #[display("quota")]
    Quota,
    /// No worker meets the requirements of a task.
    #[display("no_worker")]
    NoWorker,
    /// The caller cancelled the job before any task was started.
    #[display("cancelled")]
    Cancelled,
    /// The job was accepted, but its deadline can no longer be met and no task was started.
    #[display("expired_in_queue")]
    ExpiredInQueue,
    /// The entry VM is shutting down and accepts no new jobs.
    #[display("leaving")]
    Leaving,
}

/// Reason why an accepted job failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailReason {
    /// A worker reported that a task failed.
    #[display("task_failed")]
    TaskFailed,
    /// The start of a task was sent, but no valid answer arrived, so that its outcome is unknown.
    #[display("task_unknown")]
    TaskUnknown,
    /// The deadline passed after tasks were started.
    #[display("deadline")]
    Deadline,
    /// The caller cancelled the job after tasks were started.
    #[display("cancelled")]
    Cancelled,
}

/// What is known about a task of a failed job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum TaskReport {
    /// The task was not started and will not be.
    NotStarted,
    /// The task had been started when the job failed and was then to be stopped; it may or may not
    /// have finished.
    Stopped,
    /// The task finished, but its job failed.
    Done,
    /// The worker reported that the task failed.
    Failed {
        /// Error message of the worker.
        message: String,
    },
    /// The task may have run; its outcome is unknown.
    Unknown,
}

/// The final answer to a job, the same for every request about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Answer {
    /// Every task finished.
    Complete {
        /// Outputs of the tasks, in the order of the tasks.
        outputs: Vec<String>,
    },
    /// The job failed after tasks may have run.
    Failed {
        /// Reason of the failure.
        reason: FailReason,
        /// What is known about each task, in the order of the tasks.
        tasks: Vec<TaskReport>,
    },
    /// No task was started, and none will be under this id.
    NotRun {
        /// Reason why the job was not run.
        reason: RefuseReason,
        /// Time after which the caller should submit the job under a new id, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Answer {
    /// Total size of the outputs and error messages from workers in the answer, in bytes.
    pub fn output_bytes(&self) -> usize {
        let message_bytes = |report: &TaskReport| match report {
            TaskReport::Failed { message } => message.len(),
            _ => 0,
        };
        match self {
            Answer::Complete { outputs } => outputs.iter().map(String::len).sum(),
            Answer::Failed { tasks, .. } => tasks.iter().map(message_bytes).sum(),
            Answer::NotRun { .. } => 0,
        }
    }
}

/// State of a task of a job without an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    /// The task waits for a worker slot, or its start was refused or not sent.
    Queued,
    /// The decision to start the task was made, and the start request handed to the transport.
    Started {
        /// Worker that the request goes to.
        worker: WorkerName,
        /// Time of the decision.
        at: Moment,
    },
    /// The task finished with this output.
    Done(String),
}

/// Result of a start request, as reported by the transport.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The worker ran the task and returned this output.
    Done(String),
    /// The worker ran the task and returned this error message.
    Failed(String),
    /// The worker answered that it has not started the task.
    Refused,
    /// No byte of the request was written, so that the task can't have started.
    NotSent,
    /// The request was written at least in part and no complete answer arrived.
    Unknown,
}

/// An accepted job that has no answer yet.
#[derive(Debug)]
pub struct Job {
    /// Job as its caller describes it.
    pub spec: Arc<JobSpec>,
    /// Hash of `spec`.
    pub digest: Digest,
    /// Time of the job's arrival.
    pub accepted_at: Moment,
    /// Time by which the job must be answered.
    pub deadline: Moment,
    /// States of the tasks, in the order of the tasks.
    pub tasks: Vec<TaskState>,
    /// Number of tasks without an output.
    pub unfinished_tasks: usize,
}

impl Job {
    /// Creates a job that arrived at `now`; all its tasks are queued.
    pub fn new(spec: Arc<JobSpec>, digest: Digest, now: Moment) -> Self {
        let count = spec.tasks.len();
        Job {
            digest,
            accepted_at: now,
            deadline: now + spec.deadline(),
            tasks: vec![TaskState::Queued; count],
            unfinished_tasks: count,
            spec,
        }
    }

    /// Whether any task may have been started. A task that was refused or whose request was not
    /// sent counts as queued.
    pub fn has_started_tasks(&self) -> bool {
        self.tasks.iter().any(|task| *task != TaskState::Queued)
    }

    /// Indices of the tasks in state [`TaskState::Started`], with their workers.
    pub fn running_tasks(&self) -> impl Iterator<Item = (u32, &WorkerName)> {
        self.tasks.iter().enumerate().filter_map(|(i, task)| match task {
            TaskState::Started { worker, .. } => Some((i as u32, worker)),
            _ => None,
        })
    }

    /// Indices of the tasks in state [`TaskState::Queued`].
    pub fn queued_tasks(&self) -> impl Iterator<Item = u32> {
        let is_queued = |task: &TaskState| *task == TaskState::Queued;
        self.tasks
            .iter()
            .enumerate()
            .filter(move |(_, task)| is_queued(task))
            .map(|(i, _)| i as u32)
    }

    /// Outputs of all tasks; `None` if a task has none yet.
    pub fn outputs(&self) -> Option<Vec<String>> {
        self.tasks
            .iter()
            .map(|task| match task {
                TaskState::Done(output) => Some(output.clone()),
                _ => None,
            })
            .collect()
    }

    /// Reports on all tasks of a failed job. `failed_task` is the index of the task that made the
    /// job fail and its report, which replaces the one derived from its state.
    pub fn task_reports(&self, failed_task: Option<(u32, TaskReport)>) -> Vec<TaskReport> {
        let mut reports: Vec<_> = self
            .tasks
            .iter()
            .map(|task| match task {
                TaskState::Queued => TaskReport::NotStarted,
                TaskState::Started { .. } => TaskReport::Stopped,
                TaskState::Done(_) => TaskReport::Done,
            })
            .collect();
        if let Some((index, report)) = failed_task {
            reports[index as usize] = report;
        }
        reports
    }
}
