//! The workers' interface: JSON over HTTP.

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

/// Where a task is started.
pub const START_PATH: &str = "/v1/tasks";
/// Where started tasks are stopped.
pub const STOP_PATH: &str = "/v1/stop";
/// A worker sets this header to `no` on an answer that proves that the task was not started.
pub const STARTED_HEADER: &str = "task-started";
/// A worker that is leaving sets this header to `yes` on any answer.
pub const LEAVING_HEADER: &str = "worker-leaving";

/// A lease ends this long after the job's deadline: by then the entry VM has given the job up and
/// asked for a stop, so that the lease only matters where that request is lost.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// A request to start one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The task's id, the same for all requests about it.
    pub task: String,
    /// The team it is counted for.
    pub team: TeamName,
    /// The kind of job.
    pub job_type: JobType,
    /// Whether running it again would do no harm.
    pub idempotent: bool,
    /// Its lease: the worker stops it when this time is over, in milliseconds.
    pub lease_ms: u64,
    /// Its input.
    pub payload: String,
}

/// The worker ran the task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReply {
    /// What it gave.
    pub output: String,
}

/// The worker ran the task and it failed, or did not start it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailReply {
    /// Why.
    pub error: String,
}

/// A request to stop tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRequest {
    /// Their ids.
    pub tasks: Vec<String>,
}

/// What became of a request to stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopReply {
    /// Tasks that were running and are stopped.
    pub stopped: u32,
}

/// The id of a task in the workers' interface.
pub fn task_id(issuer: &Issuer, task: TaskRef) -> String {
    format!("{issuer}.{task}")
}

impl StartRequest {
    /// The request for an order of the core.
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

/// Reads a worker's whole answer to a start request.
///
/// Only the header proves that the task was not started; any other answer that can't be read
/// leaves that open.
///
/// ```
/// use cranberrytray::{protocol::workers::read_start, state::job::StartResult};
///
/// assert_eq!(read_start(503, Some("no"), b""), StartResult::Refused);
/// assert_eq!(read_start(503, None, b""), StartResult::Unknown);
/// ```
pub fn read_start(status: u16, started: Option<&str>, body: &[u8]) -> StartResult {
    if started == Some("no") {
        return StartResult::Refused;
    }
    if status == 200 {
        return match serde_json::from_slice::<StartReply>(body) {
            Ok(reply) => StartResult::Done(reply.output),
            Err(_) => StartResult::Unknown,
        };
    }
    match serde_json::from_slice::<FailReply>(body) {
        Ok(reply) => StartResult::Failed(reply.error),
        Err(_) => StartResult::Unknown,
    }
}
