//! Clients of the dispatcher: callers' requests over HTTP, operators' calls over Cap'n Proto.

use crate::{
    cranberrytray_capnp as wire,
    daemon::operators::{TimelineEvent, VmStatus},
    protocol::callers::{ReplyBody, TicketsReply, TicketsRequest},
    state::{
        id::{ConfigVersion, JobId},
        job::JobSpec,
    },
    transport::{
        http::{HttpError, HttpRequest, HttpResponse},
        operators::{read_events, read_status},
        rpc::{RpcError, connect},
    },
};
use derive_more::{Display, Error, From};
use hyper::Method;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::task::LocalSet;

/// Extra time for a response beyond the deadline or the wait that the request names, since the
/// answer still has to cross the network.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Why a caller's request got no usable reply.
#[derive(Debug, Display, Error, From)]
pub enum ClientError {
    /// No entry VM sent a whole response; holds the failure at the last one that was tried.
    #[display("{_0}")]
    Http(HttpError),
    /// A request could not be encoded, or a reply is not one of this interface.
    #[display("reply: {_0}")]
    Json(serde_json::Error),
    /// The client was made without the address of an entry VM.
    #[display("no entry VM was named")]
    #[from(skip)]
    NoEntry,
}

/// A reply to a request about a job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobReply {
    /// HTTP status of the reply.
    pub status: u16,
    /// How long to wait before the next request; unset if the reply names no time.
    pub retry_after: Option<Duration>,
    /// State of the job, or the error.
    pub body: ReplyBody,
}

/// Client for callers' requests, which it sends to several entry VMs in turn.
#[derive(Debug)]
pub struct CallerClient {
    entries: Vec<SocketAddr>,
    /// Counter that selects the entry VM to try first, modulo the number of entry VMs.
    next_entry: AtomicUsize,
}

impl CallerClient {
    /// Creates a client of the entry VMs that serve callers at these addresses.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        CallerClient { entries, next_entry: AtomicUsize::new(0) }
    }

    /// Sends a request to the next entry VM in turn, then to the others until one sends a whole
    /// response. The request may arrive several times, so it must be safe to repeat.
    async fn send(&self, req: &HttpRequest) -> Result<HttpResponse, ClientError> {
        let first = self.next_entry.fetch_add(1, Ordering::Relaxed);
        let mut last_error = ClientError::NoEntry;
        for i in 0..self.entries.len() {
            let entry = self.entries[(first + i) % self.entries.len()];
            match req.clone().send(entry).await {
                Ok(response) => return Ok(response),
                Err(e) => last_error = e.into(),
            }
        }
        Err(last_error)
    }

    /// Fetches `count` job ids.
    ///
    /// # Errors
    ///
    /// A [`ClientError`]; its source is the failure at the last entry VM that was tried.
    pub async fn tickets(&self, count: u32) -> Result<Vec<JobId>, ClientError> {
        let body = serde_json::to_vec(&TicketsRequest { count })?;
        let response = self.send(&HttpRequest::new(Method::POST, "/v1/tickets").body(body)).await?;
        Ok(response.json::<TicketsReply>()?.tickets)
    }

    /// Submits a job and waits for its answer. Submitting the same job with the same id again is
    /// safe: it joins the first submission.
    ///
    /// # Errors
    ///
    /// A [`ClientError`] if no entry VM sends a reply that can be read.
    pub async fn submit(&self, id: &JobId, spec: &JobSpec) -> Result<JobReply, ClientError> {
        let req = HttpRequest::new(Method::PUT, format!("/v1/jobs/{id}"))
            .body(serde_json::to_vec(spec)?)
            .timeout(spec.deadline() + RESPONSE_GRACE);
        job_reply(&self.send(&req).await?)
    }

    /// Fetches a job's answer and waits for it for at most `wait`.
    ///
    /// # Errors
    ///
    /// A [`ClientError`] if no entry VM sends a reply that can be read.
    pub async fn get(&self, id: &JobId, wait: Duration) -> Result<JobReply, ClientError> {
        let path = format!("/v1/jobs/{id}?wait_ms={}", wait.as_millis());
        let req = HttpRequest::new(Method::GET, path).timeout(wait + RESPONSE_GRACE);
        job_reply(&self.send(&req).await?)
    }

    /// Cancels a job and returns its final answer.
    ///
    /// # Errors
    ///
    /// A [`ClientError`] if no entry VM sends a reply that can be read.
    pub async fn cancel(&self, id: &JobId) -> Result<JobReply, ClientError> {
        job_reply(&self.send(&HttpRequest::new(Method::DELETE, format!("/v1/jobs/{id}"))).await?)
    }
}

fn job_reply(response: &HttpResponse) -> Result<JobReply, ClientError> {
    let ms = response.header("retry-after-ms").and_then(|text| text.parse().ok());
    Ok(JobReply {
        status: response.status.as_u16(),
        retry_after: ms.map(Duration::from_millis),
        body: serde_json::from_slice(&response.body)?,
    })
}

/// Operation that a forwarded request asks of the job's issuer.
pub use wire::Verb as PeerVerb;

/// Outcome of a request to replace the configuration.
pub use wire::AcceptOutcome;

/// Reply to a request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptReply {
    /// Whether the change was accepted, and if not, why.
    pub outcome: AcceptOutcome,
    /// Version that the change created; on a conflict, the version in the table; otherwise 0.
    pub version: ConfigVersion,
    /// Outcome in words, for the operator.
    pub message: String,
}

/// Request to replace the configuration, sent by an operator.
#[derive(Clone, Debug)]
pub struct ConfigChangeRequest {
    /// Version that the change was made from; the change is a conflict if it is not the latest.
    pub base: ConfigVersion,
    /// Operation id, by which a repetition of the same request is recognised.
    pub operation: String,
    /// Name of the operator who makes the change; may be empty.
    pub operator: String,
    /// Reason for the change; may be empty.
    pub note: String,
    /// New configuration (JSON).
    pub document: Vec<u8>,
}

/// Change of the configuration that took effect, as listed in the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Version of the configuration that the change created.
    pub version: ConfigVersion,
    /// Operation id of the change.
    pub operation: String,
    /// Name of the operator who made the change; may be empty.
    pub operator: String,
    /// Reason for the change; may be empty.
    pub note: String,
}

/// Client for operators' calls to one entry VM; every call opens a new connection.
#[derive(Clone, Copy, Debug)]
pub struct OperatorClient {
    address: SocketAddr,
}

impl OperatorClient {
    /// Creates a client of the entry VM that serves operators at this address.
    pub fn new(address: SocketAddr) -> Self {
        OperatorClient { address }
    }

    /// Fetches the status of every entry VM.
    ///
    /// # Errors
    ///
    /// An [`RpcError`] if the entry VM does not answer.
    pub async fn status(&self) -> Result<Vec<VmStatus>, RpcError> {
        let address = self.address;
        let call = async move {
            let client: wire::operator::Client = connect(address).await?;
            let res = client.status_request().send().promise.await?;
            let vms = res.get()?.get_vms()?;
            Ok(vms.iter().map(read_status).collect::<Result<_, _>>()?)
        };
        LocalSet::new().run_until(call).await
    }

    /// Fetches the configuration in force (JSON) and its version.
    ///
    /// # Errors
    ///
    /// An [`RpcError`] if the entry VM does not answer.
    pub async fn config(&self) -> Result<(ConfigVersion, Vec<u8>), RpcError> {
        let address = self.address;
        let call = async move {
            let client: wire::operator::Client = connect(address).await?;
            let res = client.config_show_request().send().promise.await?;
            let row = res.get()?.get_row()?;
            Ok((ConfigVersion(row.get_version()), row.get_document()?.to_vec()))
        };
        LocalSet::new().run_until(call).await
    }

    /// Replaces the configuration, unless it has changed since the base version.
    ///
    /// # Errors
    ///
    /// An [`RpcError`]; the change may have taken effect, and can be repeated with the same
    /// operation id.
    pub async fn accept(&self, change: &ConfigChangeRequest) -> Result<AcceptReply, RpcError> {
        let address = self.address;
        let call = async move {
            let client: wire::operator::Client = connect(address).await?;
            let mut req = client.config_accept_request();
            let mut params = req.get();
            params.set_base(change.base.0);
            params.set_operation(change.operation.as_str());
            params.set_operator(change.operator.as_str());
            params.set_note(change.note.as_str());
            params.set_document(&change.document);
            let res = req.send().promise.await?;
            let res = res.get()?;
            Ok(AcceptReply {
                outcome: res.get_outcome().map_err(capnp::Error::from)?,
                version: ConfigVersion(res.get_version()),
                message: res.get_message()?.to_string().map_err(capnp::Error::from)?,
            })
        };
        LocalSet::new().run_until(call).await
    }

    /// Fetches the latest accepted changes, oldest first.
    ///
    /// # Errors
    ///
    /// An [`RpcError`] if the entry VM does not answer.
    pub async fn history(&self) -> Result<Vec<AcceptedChange>, RpcError> {
        let address = self.address;
        let text = |text: capnp::Result<capnp::text::Reader<'_>>| {
            Ok::<_, RpcError>(text?.to_string().map_err(capnp::Error::from)?)
        };
        let call = async move {
            let client: wire::operator::Client = connect(address).await?;
            let res = client.config_history_request().send().promise.await?;
            let mut changes = Vec::new();
            for change in res.get()?.get_changes()? {
                changes.push(AcceptedChange {
                    version: ConfigVersion(change.get_version()),
                    operation: text(change.get_operation())?,
                    operator: text(change.get_operator())?,
                    note: text(change.get_note())?,
                });
            }
            Ok(changes)
        };
        LocalSet::new().run_until(call).await
    }

    /// Fetches the latest events of all entry VMs, ordered by time, and the names of the entry VMs
    /// that could not be reached. A `cause` that isn't empty selects the events of one job id.
    ///
    /// # Errors
    ///
    /// An [`RpcError`] if the entry VM does not answer.
    pub async fn timeline(
        &self,
        cause: &str,
        limit: u32,
    ) -> Result<(Vec<TimelineEvent>, Vec<String>), RpcError> {
        let address = self.address;
        let call = async move {
            let client: wire::operator::Client = connect(address).await?;
            let mut req = client.timeline_request();
            req.get().set_cause(cause);
            req.get().set_limit(limit);
            let res = req.send().promise.await?;
            let res = res.get()?;
            let mut missing = Vec::new();
            for vm in res.get_missing()? {
                missing.push(vm?.to_string().map_err(capnp::Error::from)?);
            }
            Ok((read_events(res.get_events()?)?, missing))
        };
        LocalSet::new().run_until(call).await
    }
}
