//! The HTTP interface of workers: JSON messages.

use crate::{
    coordination::action::StartOrder,
    state::{
        id::{Issuer, JobType, TaskRef, TeamName},
        job::StartResult,
        time::Moment,
    },
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Path of requests that start a task.
pub const START_PATH: &str = "/v1/tasks";
/// Path of requests that stop started tasks.
pub const STOP_PATH: &str = "/v1/stop";
/// Response header: the value `no` proves that the task was not started.
pub const STARTED_HEADER: &str = "task-started";
/// Response header: the value `yes` reports that the worker is leaving.
pub const LEAVING_HEADER: &str = "worker-leaving";

/// Time from the job's deadline to the end of a task's lease. At the deadline the entry VM gives up
/// the job and asks the worker to stop its tasks; the lease ends those whose stop request was lost.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Request to start one task. The worker replies when the task has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Id of the task, as returned by [`task_id`]; the same in all requests about the task.
    pub task: String,
    /// Team that submitted the job.
    pub team: TeamName,
    /// Type of the job.
    pub job_type: JobType,
    /// Whether the task may safely run more than once.
    pub idempotent: bool,
    /// Lease of the task, in milliseconds from the receipt of the request; the worker stops the
    /// task when the lease ends.
    pub lease_ms: u64,
    /// Input of the task.
    pub payload: String,
}

/// Reply to the start request of a task that completed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReply {
    /// Output of the task.
    pub output: String,
}

/// Reply to the start request of a task that failed or was not started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Description of the failure.
    pub error: String,
}

/// Request to stop tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRequest {
    /// Ids of the tasks, as in [`StartRequest::task`].
    pub tasks: Vec<String>,
}

/// Reply to a [`StopRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopReply {
    /// Number of tasks that were running and were stopped.
    pub stopped: u32,
}

/// Returns the id of a task in requests to workers.
pub fn task_id(issuer: &Issuer, task: TaskRef) -> String {
    format!("{issuer}.{task}")
}

impl StartRequest {
    /// Creates the request for a start order. Its lease counts from `now`.
    pub fn new(issuer: &Issuer, order: &StartOrder, now: Moment) -> Self {
        let spec = &order.job.tasks[order.task.index as usize];
        StartRequest {
            task: task_id(issuer, order.task),
            team: order.job.team.clone(),
            job_type: order.job.job_type.clone(),
            idempotent: order.job.idempotent,
            lease_ms: (order.deadline - now + LEASE_MARGIN).as_millis() as u64,
            payload: spec.payload.clone(),
        }
    }
}

/// Interprets a worker's response to a start request.
///
/// Only [`STARTED_HEADER`] proves that the task was not started. After any other response that
/// can't be read, the task may have run.
///
/// ```
/// use cranberrytray::{protocol::workers::parse_start_reply, state::job::StartResult};
///
/// assert_eq!(parse_start_reply(503, Some("no"), b""), StartResult::Refused);
/// assert_eq!(parse_start_reply(503, None, b""), StartResult::Unknown);
/// ```
pub fn parse_start_reply(status: u16, started: Option<&str>, body: &[u8]) -> StartResult {
    if started == Some("no") {
        return StartResult::Refused;
    }
    if status == 200 {
        return match serde_json::from_slice::<StartReply>(body) {
            Ok(reply) => StartResult::Done(reply.output),
            Err(_) => StartResult::Unknown,
        };
    }
    match serde_json::from_slice::<ErrorReply>(body) {
        Ok(reply) => StartResult::Failed(reply.error),
        Err(_) => StartResult::Unknown,
    }
}
