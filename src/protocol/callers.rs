//! The callers' interface: JSON over HTTP.

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

/// A request for job ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketsRequest {
    /// How many.
    pub count: u32,
}

/// Job ids for a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketsReply {
    /// The ids.
    pub tickets: Vec<JobId>,
    /// How long they live, in milliseconds.
    pub life_ms: u64,
}

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Most tasks in a job.
    pub max_tasks: usize,
    /// Longest deadline, in milliseconds.
    pub max_deadline_ms: u64,
    /// Most ids in one request.
    pub max_tickets: u32,
    /// Most requests from callers served at the same time.
    pub max_requests: usize,
    /// Time to read a request's headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time to read a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Largest request header, in bytes.
    pub max_header_bytes: usize,
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
        }
    }
}

/// Why a request from a caller was turned down. Nothing was started under it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum CallerError {
    /// There is no such resource.
    #[display("no such resource")]
    #[from(skip)]
    NotFound,
    /// The resource does not know the method.
    #[display("method not allowed")]
    #[from(skip)]
    Method,
    /// The body is not what it should be.
    #[display("{field}: {message}")]
    #[from(skip)]
    Malformed {
        /// The field.
        field: String,
        /// What is wrong with it.
        message: String,
    },
    /// The body is too large.
    #[display("the body is larger than {limit} bytes")]
    #[from(skip)]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The job has too many tasks.
    #[display("a job has at most {limit} tasks, this one has {count}")]
    #[from(skip)]
    TooManyTasks {
        /// Tasks in the job.
        count: usize,
        /// The limit.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[display("the body did not arrive in time")]
    #[from(skip)]
    BodyTimeout,
    /// The path does not hold a job id.
    #[display("job id: {_0}")]
    Id(IdError),
    /// The job was turned down.
    #[display("{_0}")]
    Submit(SubmitError),
    /// Nothing was submitted under the id.
    #[display("nothing was submitted under this id")]
    #[from(skip)]
    NotSubmitted,
    /// Too many requests at the same time.
    #[display("too many requests at the same time")]
    #[from(skip)]
    Overloaded,
    /// This entry VM is leaving and issues no ids.
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
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            CallerError::NotFound | CallerError::NotSubmitted => 404,
            CallerError::Method => 405,
            CallerError::Malformed { .. } | CallerError::Id(_) => 400,
            CallerError::TooManyTasks { .. } | CallerError::TooLarge { .. } => 413,
            CallerError::BodyTimeout => 408,
            CallerError::Submit(SubmitError::Ticket(TicketError::Foreign)) => 404,
            CallerError::Submit(SubmitError::Ticket(TicketError::Expired)) => 410,
            CallerError::Submit(SubmitError::UnknownTeam { .. }) => 403,
            CallerError::Submit(SubmitError::Conflict) => 409,
            CallerError::Overloaded | CallerError::Leaving => 503,
        }
    }

    /// A stable word for the kind of error.
    pub fn kind(&self) -> &'static str {
        match self {
            CallerError::NotFound => "not_found",
            CallerError::Method => "method",
            CallerError::Malformed { .. } => "malformed",
            CallerError::TooLarge { .. } => "too_large",
            CallerError::TooManyTasks { .. } => "too_many_tasks",
            CallerError::BodyTimeout => "body_timeout",
            CallerError::Id(_) => "bad_id",
            CallerError::NotSubmitted => "not_submitted",
            CallerError::Submit(SubmitError::Ticket(TicketError::Foreign)) => "foreign_id",
            CallerError::Submit(SubmitError::Ticket(TicketError::Expired)) => "expired_id",
            CallerError::Submit(SubmitError::UnknownTeam { .. }) => "unknown_team",
            CallerError::Submit(SubmitError::Conflict) => "conflict",
            CallerError::Overloaded => "overloaded",
            CallerError::Leaving => "leaving",
        }
    }
}

/// Why nothing can be said of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The entry VM that issued the id can't be reached.
    #[display("issuer_unreachable")]
    IssuerUnreachable,
    /// The process that issued the id is gone and handed nothing over.
    #[display("issuer_gone")]
    IssuerGone,
    /// The issuer did not answer in time.
    #[display("issuer_silent")]
    IssuerSilent,
}

/// The body of any reply about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ReplyBody {
    /// The final answer.
    Answer(Answer),
    /// Anything else.
    Other(OtherState),
}

/// A state that is not an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum OtherState {
    /// The job is accepted and has no answer yet.
    Running,
    /// Whether the job ran can't be known.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
    /// The request was turned down.
    Error {
        /// A stable word.
        kind: String,
        /// For a person.
        message: String,
    },
}

/// A reply to a caller, as it crosses between entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// When to come back, if the reply says so.
    pub retry_after: Option<Duration>,
    /// JSON.
    pub body: Bytes,
}

/// Advice on when to ask again for a job whose issuer can't be reached.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);
/// Advice on when to come back to an entry VM with too many requests.
const OVERLOAD_RETRY: Duration = Duration::from_millis(500);

impl Reply {
    /// A reply with a JSON body.
    pub fn json<T>(status: u16, body: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Reply { status, retry_after: None, body: body.into() }
    }

    /// The final answer to a job.
    pub fn answer(answer: &Arc<Answer>) -> Self {
        match answer.as_ref() {
            Answer::NotRun { retry_after_ms, .. } => Reply {
                retry_after: Some(Duration::from_millis(*retry_after_ms)),
                ..Reply::json(503, answer)
            },
            _ => Reply::json(200, answer),
        }
    }

    /// The job has no answer yet.
    pub fn running() -> Self {
        Reply::json(202, &OtherState::Running)
    }

    /// Nothing can be said of the job.
    pub fn unknown(reason: UnknownReason) -> Self {
        let body = OtherState::Unknown { reason };
        Reply { retry_after: Some(UNKNOWN_RETRY), ..Reply::json(504, &body) }
    }

    /// The request was turned down.
    pub fn error(e: &CallerError) -> Self {
        let body = OtherState::Error { kind: e.kind().to_owned(), message: e.to_string() };
        let retry_after = match e {
            CallerError::Overloaded => Some(OVERLOAD_RETRY),
            CallerError::Leaving => Some(Duration::ZERO),
            _ => None,
        };
        Reply { retry_after, ..Reply::json(e.status(), &body) }
    }
}

/// Reads a JSON document, naming the field that is wrong.
///
/// # Errors
///
/// [`CallerError::Malformed`].
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

/// Reads a job and checks it against the limits.
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
/// A [`CallerError`] that names the field.
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
