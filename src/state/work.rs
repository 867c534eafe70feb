//! Jobs whose ids their callers choose: their shape, and what becomes of them.

use super::{
    plan::{Label, QueueName},
    resources::Resources,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::{fmt, num::ParseIntError, str::FromStr, sync::Arc, time::Duration};

/// A job id chosen by its caller: 16 hexadecimal digits.
///
/// ```
/// use cranberrytray::state::work::WorkId;
///
/// let id: WorkId = "5c0e7a21d94b36f8".parse().unwrap();
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkId(pub u64);

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for WorkId {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(s, 16).map(WorkId)
    }
}

/// One task of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{job}/{step}/{index}")]
pub struct TaskId {
    /// The job.
    pub job: WorkId,
    /// The number of its step, from 0.
    pub step: u32,
    /// Its number in the step, from 0.
    pub index: u32,
}

/// Numbers the starts of a task, rising.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u32);

/// Tasks of a job that are alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What each of them needs.
    pub needs: Resources,
    /// The caller's estimate of a task's run time.
    pub declared: Option<Duration>,
    /// Earlier steps that must have ended first.
    pub after: Vec<u32>,
    /// A label that the target must have.
    pub required: Option<Label>,
    /// The rack where the data lies; elsewhere tasks take longer.
    pub near: Option<Label>,
    /// Whether the tasks take longer when they run on several racks.
    pub same_rack: bool,
    /// Most tasks of the step on one target.
    pub most_per_target: Option<u32>,
}

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// The caller's id for it.
    pub id: WorkId,
    /// The queue.
    pub queue: QueueName,
    /// What its targets are told.
    pub spec: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// How long its caller waits from now on.
    pub patience: Duration,
}

/// Why a job was not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// It could not be done within its latency objective or its deadline.
    #[display("it would be done too late")]
    TooLate,
    /// Too many jobs wait.
    #[display("the queue is full")]
    QueueFull,
    /// No target that is known can run its tasks.
    #[display("no target can run its tasks")]
    NoTarget,
    /// No dispatcher can be reached.
    #[display("no dispatcher can be reached")]
    NoDispatcher,
    /// The dispatcher is starting or stopping.
    #[display("the dispatcher does not take jobs")]
    Closed,
    /// The queue is not in the configuration in force.
    #[display("no such queue")]
    NoQueue,
    /// The job has a shape that is not served.
    #[display("jobs of this shape are not served")]
    Shape,
}

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task has ended well.
    Completed,
    /// A task has failed as often as the queue allows.
    Failed,
    /// None of its tasks was ever started, nor will be.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Some of its tasks may have run.
    Unknown,
}
