//! The HTTP interface for callers: JSON messages, limits on requests, and errors.

use crate::{
    coordination::status::SubmitError,
    state::{
        id::{IdError, JobId},
        job::{Answer, JobSpec},
        ledger::TicketError,
    },
};
use bytes::Bytes;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Body of a request for job ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketsRequest {
    /// Number of ids wanted, from 1 to [`Limits::max_tickets`].
    pub count: u32,
}

/// Reply to a [`TicketsRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketsReply {
    /// Ids under which the caller can submit jobs.
    pub tickets: Vec<JobId>,
    /// Lifetime of the ids, in milliseconds from the moment they were issued.
    pub life_ms: u64,
}

/// Limits on requests from callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of tasks in a job.
    pub max_tasks: usize,
    /// Longest deadline that a job may ask for, in milliseconds; also caps the `wait_ms` of a
    /// request.
    pub max_deadline_ms: u64,
    /// Maximum number of ids in one [`TicketsRequest`].
    pub max_tickets: u32,
    /// Maximum number of callers' requests served concurrently; the others are rejected at once.
    pub max_requests: usize,
    /// Timeout for reading the header of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout for reading the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum size of a request header, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of callers' connections; `None` for twice [`Limits::max_requests`]. A further one takes
    /// the place of the one that has waited longest for its caller.
    pub max_connections: Option<usize>,
    /// Memory for the bodies of all requests, in bytes. When it is used up, incomplete bodies are rejected,
    /// the one that was begun first before the others.
    pub max_body_memory_bytes: usize,
    /// Timeout for the next request on a connection, for more of a body, and for a caller that reads its
    /// response, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Limits {
    /// Returns the maximum number of callers' connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections.unwrap_or(self.max_requests.saturating_mul(2))
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body_bytes: 4 << 20,
            max_tasks: 150,
            max_deadline_ms: 60_000,
            max_tickets: 1_000,
            max_requests: 20_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            max_header_bytes: 16_384,
            max_connections: None,
            max_body_memory_bytes: 64 << 20,
            idle_timeout_ms: 60_000,
        }
    }
}

/// Why a request from a caller was rejected. A rejected request starts no task.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum CallerError {
    /// The path names no resource of this interface.
    #[display("no such resource")]
    #[from(skip)]
    NotFound,
    /// The resource does not support the request's method.
    #[display("method not allowed")]
    #[from(skip)]
    MethodNotAllowed,
    /// A field of the body, or a query parameter, is malformed or out of range.
    #[display("{field}: {message}")]
    #[from(skip)]
    Malformed {
        /// Path of the field in the JSON document (`.` for the whole document), or name of the
        /// query parameter.
        field: String,
        /// Description of the fault.
        message: String,
    },
    /// The body exceeds [`Limits::max_body_bytes`].
    #[display("the body is larger than {limit} bytes")]
    #[from(skip)]
    TooLarge {
        /// Maximum size of a body, in bytes.
        limit: usize,
    },
    /// The job exceeds [`Limits::max_tasks`].
    #[display("a job has at most {limit} tasks, this one has {count}")]
    #[from(skip)]
    TooManyTasks {
        /// Number of tasks in the job.
        count: usize,
        /// Maximum number of tasks in a job.
        limit: usize,
    },
    /// The body did not arrive in full within [`Limits::body_timeout_ms`].
    #[display("the body did not arrive in time")]
    #[from(skip)]
    BodyTimeout,
    /// The path does not end with a well-formed job id.
    #[display("job id: {_0}")]
    InvalidJobId(IdError),
    /// The id can't be used, the team is unknown, or another job was submitted under the id.
    #[display("{_0}")]
    Submit(SubmitError),
    /// No job was submitted under the id.
    #[display("nothing was submitted under this id")]
    #[from(skip)]
    NotSubmitted,
    /// As many requests as [`Limits::max_requests`] allows are being served, or their bodies take as much
    /// memory as [`Limits::max_body_memory_bytes`] allows.
    #[display("too many requests at the same time")]
    #[from(skip)]
    Overloaded,
    /// This entry VM is shutting down and issues no more ids.
    #[display("this entry VM is leaving and issues no ids")]
    #[from(skip)]
    Leaving,
}

impl From<TicketError> for CallerError {
    fn from(e: TicketError) -> Self {
        CallerError::Submit(SubmitError::Ticket(e))
    }
}

impl CallerError {
    /// Returns the HTTP status of the reply.
    pub fn status(&self) -> u16 {
        match self {
            CallerError::NotFound | CallerError::NotSubmitted => 404,
            CallerError::MethodNotAllowed => 405,
            CallerError::Malformed { .. } | CallerError::InvalidJobId(_) => 400,
            CallerError::TooManyTasks { .. } | CallerError::TooLarge { .. } => 413,
            CallerError::BodyTimeout => 408,
            CallerError::Submit(SubmitError::Ticket(TicketError::NotIssued)) => 404,
            CallerError::Submit(SubmitError::Ticket(TicketError::Expired)) => 410,
            CallerError::Submit(SubmitError::UnknownTeam { .. }) => 403,
            CallerError::Submit(SubmitError::Conflict) => 409,
            CallerError::Overloaded | CallerError::Leaving => 503,
        }
    }

    /// Returns a stable identifier of the kind of error, sent as `kind` in the reply.
    pub fn kind(&self) -> &'static str {
        match self {
            CallerError::NotFound => "not_found",
            CallerError::MethodNotAllowed => "method",
            CallerError::Malformed { .. } => "malformed",
            CallerError::TooLarge { .. } => "too_large",
            CallerError::TooManyTasks { .. } => "too_many_tasks",
            CallerError::BodyTimeout => "body_timeout",
            CallerError::InvalidJobId(_) => "bad_id",
            CallerError::NotSubmitted => "not_submitted",
            CallerError::Submit(SubmitError::Ticket(TicketError::NotIssued)) => "foreign_id",
            CallerError::Submit(SubmitError::Ticket(TicketError::Expired)) => "expired_id",
            CallerError::Submit(SubmitError::UnknownTeam { .. }) => "unknown_team",
            CallerError::Submit(SubmitError::Conflict) => "conflict",
            CallerError::Overloaded => "overloaded",
            CallerError::Leaving => "leaving",
        }
    }
}

/// Why the outcome of a job is unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The entry VM that issued the id can't be reached.
    #[display("issuer_unreachable")]
    IssuerUnreachable,
    /// The process that issued the id has ended, and no peer took over its ledger.
    #[display("issuer_gone")]
    IssuerGone,
    /// The entry VM that issued the id did not answer in time.
    #[display("issuer_silent")]
    IssuerSilent,
}

/// Body of a reply about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ReplyBody {
    /// The final answer to the job.
    Answer(Answer),
    /// The job has no final answer, or the request failed.
    State(ReplyState),
}

/// State of a job without a final answer, or of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ReplyState {
    /// The job was accepted and has no answer yet.
    Running,
    /// The issuer of the id can't be reached or did not answer, so it is unknown whether the job
    /// ran.
    Unknown {
        /// Why the issuer's answer is missing.
        reason: UnknownReason,
    },
    /// The request was rejected.
    Error {
        /// Kind of the error, as returned by [`CallerError::kind`].
        kind: String,
        /// Human-readable description of the error.
        message: String,
    },
}

/// Reply to a caller. Entry VMs also send it to each other when one forwards a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Delay after which the caller may retry; `None` if the reply advises no retry.
    pub retry_after: Option<Duration>,
    /// Body in JSON; see [`ReplyBody`].
    pub body: Bytes,
}

/// Retry delay advised for a job whose issuer can't be reached.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay advised by an overloaded entry VM.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Reply {
    /// Creates a reply with a JSON body and no retry delay.
    pub fn json<T>(status: u16, body: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Reply { status, retry_after: None, body: body.into() }
    }

    /// Creates the reply with the final answer to a job: 200, or 503 if the job was not run.
    pub fn final_answer(answer: &Arc<Answer>) -> Self {
        match answer.as_ref() {
            Answer::NotRun { retry_after_ms, .. } => Reply {
                retry_after: Some(Duration::from_millis(*retry_after_ms)),
                ..Reply::json(503, answer)
            },
            _ => Reply::json(200, answer),
        }
    }

    /// Creates the reply about a job that has no answer yet.
    pub fn running() -> Self {
        Reply::json(202, &ReplyState::Running)
    }

    /// Creates the reply about a job whose outcome is unknown.
    pub fn unknown(reason: UnknownReason) -> Self {
        let body = ReplyState::Unknown { reason };
        Reply { retry_after: Some(UNKNOWN_RETRY_AFTER), ..Reply::json(504, &body) }
    }

    /// Creates the reply to a rejected request.
    pub fn error(e: &CallerError) -> Self {
        let body = ReplyState::Error { kind: e.kind().to_owned(), message: e.to_string() };
        let retry_after = match e {
            CallerError::Overloaded => Some(OVERLOAD_RETRY_AFTER),
            CallerError::Leaving => Some(Duration::ZERO),
            _ => None,
        };
        Reply { retry_after, ..Reply::json(e.status(), &body) }
    }
}

/// Parses a JSON document; an error names the field at fault.
///
/// # Errors
///
/// Returns [`CallerError::Malformed`] if the document is not JSON or does not fit `T`.
pub fn parse<'a, T>(body: &'a [u8]) -> Result<T, CallerError>
where
    T: Deserialize<'a>,
{
    let mut de = serde_json::Deserializer::from_slice(body);
    let malformed = |field: String, message: String| CallerError::Malformed { field, message };
    let value = serde_path_to_error::deserialize(&mut de)
        .map_err(|e| malformed(e.path().to_string(), e.inner().to_string()))?;
    de.end().map_err(|e| malformed(".".to_owned(), e.to_string()))?;
    Ok(value)
}

/// Parses a job and checks it against the limits.
///
/// ```
/// use cranberrytray::protocol::callers::{Limits, parse_job};
///
/// let body = br#"{ "team": "rounds", "job_type": "plan", "deadline_ms": 500, "tasks": [] }"#;
/// let e = parse_job(body, &Limits::default()).unwrap_err();
/// assert_eq!((e.status(), e.kind()), (400, "malformed"));
/// ```
///
/// # Errors
///
/// Returns [`CallerError::Malformed`] with the field at fault, or [`CallerError::TooManyTasks`].
pub fn parse_job(body: &[u8], limits: &Limits) -> Result<JobSpec, CallerError> {
    let spec: JobSpec = parse(body)?;
    let malformed = |field: &str, message: String| {
        Err(CallerError::Malformed { field: field.to_owned(), message })
    };
    if spec.tasks.is_empty() {
        return malformed("tasks", "a job has at least one task".to_owned());
    }
    if spec.tasks.len() > limits.max_tasks {
        return Err(CallerError::TooManyTasks { count: spec.tasks.len(), limit: limits.max_tasks });
    }
    if spec.deadline_ms == 0 || spec.deadline_ms > limits.max_deadline_ms {
        return malformed("deadline_ms", format!("must be 1 to {}", limits.max_deadline_ms));
    }
    Ok(spec)
}
