//! Clients of the dispatcher: callers' requests over HTTP, operators' calls over Cap'n Proto.

use crate::{
    cranberrytray_capnp as wire,
    daemon::operate::{TimelineEvent, VmStatus},
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

/// Extra time for the answer to a job to cross the network.
const ANSWER_SLACK: Duration = Duration::from_secs(2);

/// Why a caller's request failed without a reply.
#[derive(Debug, Display, Error, From)]
pub enum ClientError {
    /// No entry VM gave a whole answer.
    #[display("{_0}")]
    Http(HttpError),
    /// The reply is not one of this interface.
    #[display("reply: {_0}")]
    Json(serde_json::Error),
    /// No entry VM was named.
    #[display("no entry VM was named")]
    #[from(skip)]
    NoEntry,
}

/// A reply about a job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobReply {
    /// The HTTP status.
    pub status: u16,
    /// When to come back, if the reply says so.
    pub retry_after: Option<Duration>,
    /// What it says.
    pub body: ReplyBody,
}

/// A caller, which spreads its requests over several entry VMs.
#[derive(Debug)]
pub struct Caller {
    entries: Vec<SocketAddr>,
    next: AtomicUsize,
}

impl Caller {
    /// A caller of these entry VMs.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Caller { entries, next: AtomicUsize::new(0) }
    }

    /// Sends a request that can be repeated; the next entry VM is tried if one can't be reached.
    async fn send(&self, call: &HttpRequest) -> Result<HttpResponse, ClientError> {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let mut last = ClientError::NoEntry;
        for i in 0..self.entries.len() {
            let entry = self.entries[(first + i) % self.entries.len()];
            match call.clone().send(entry).await {
                Ok(answered) => return Ok(answered),
                Err(e) => last = e.into(),
            }
        }
        Err(last)
    }

    /// Fetches job ids.
    ///
    /// # Errors
    ///
    /// A [`ClientError`]; its source is the failure at the last entry VM that was tried.
    pub async fn tickets(&self, count: u32) -> Result<Vec<JobId>, ClientError> {
        let body = serde_json::to_vec(&TicketsRequest { count })?;
        let answered = self.send(&HttpRequest::new(Method::POST, "/v1/tickets").body(body)).await?;
        Ok(answered.json::<TicketsReply>()?.tickets)
    }

    /// Submits a job and waits for its answer. Repeating it with the same id is safe.
    ///
    /// # Errors
    ///
    /// A [`ClientError`].
    pub async fn submit(&self, id: &JobId, spec: &JobSpec) -> Result<JobReply, ClientError> {
        let call = HttpRequest::new(Method::PUT, format!("/v1/jobs/{id}"))
            .body(serde_json::to_vec(spec)?)
            .timeout(spec.deadline() + ANSWER_SLACK);
        job_reply(&self.send(&call).await?)
    }

    /// Asks for a job's answer, waiting `wait` at most.
    ///
    /// # Errors
    ///
    /// A [`ClientError`].
    pub async fn get(&self, id: &JobId, wait: Duration) -> Result<JobReply, ClientError> {
        let path = format!("/v1/jobs/{id}?wait_ms={}", wait.as_millis());
        let call = HttpRequest::new(Method::GET, path).timeout(wait + ANSWER_SLACK);
        job_reply(&self.send(&call).await?)
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// A [`ClientError`].
    pub async fn cancel(&self, id: &JobId) -> Result<JobReply, ClientError> {
        job_reply(&self.send(&HttpRequest::new(Method::DELETE, format!("/v1/jobs/{id}"))).await?)
    }
}

fn job_reply(answered: &HttpResponse) -> Result<JobReply, ClientError> {
    let ms = answered.header("retry-after-ms").and_then(|text| text.parse().ok());
    Ok(JobReply {
        status: answered.status.as_u16(),
        retry_after: ms.map(Duration::from_millis),
        body: serde_json::from_slice(&answered.body)?,
    })
}

/// What is asked of a job that another entry VM issued.
pub use wire::Verb as PeerVerb;

/// The outcomes of an operator's change.
pub use wire::AcceptOutcome;

/// How an operator's change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The outcome.
    pub outcome: AcceptOutcome,
    /// The version that it made, or that came first.
    pub version: ConfigVersion,
    /// For a person.
    pub message: String,
}

/// An operator's change of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// The version that the operator started from.
    pub base: ConfigVersion,
    /// The operation id; the same for every repetition.
    pub operation: String,
    /// Who makes it.
    pub operator: String,
    /// Why.
    pub note: String,
    /// The configuration, JSON.
    pub document: Vec<u8>,
}

/// A change as the history lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PastChange {
    /// The version it made.
    pub version: ConfigVersion,
    /// Its operation id.
    pub operation: String,
    /// Who made it.
    pub operator: String,
    /// Why.
    pub note: String,
}

/// An operator's connection to one entry VM.
#[derive(Clone, Copy, Debug)]
pub struct Operator {
    address: SocketAddr,
}

impl Operator {
    /// Calls go to this address.
    pub fn new(address: SocketAddr) -> Self {
        Operator { address }
    }

    /// Asks every entry VM for its status.
    ///
    /// # Errors
    ///
    /// An [`RpcError`].
    pub async fn status(&self) -> Result<Vec<VmStatus>, RpcError> {
        let address = self.address;
        let ask = async move {
            let client: wire::operator::Client = connect(address).await?;
            let res = client.status_request().send().promise.await?;
            let vms = res.get()?.get_vms()?;
            Ok(vms.iter().map(read_status).collect::<Result<_, _>>()?)
        };
        LocalSet::new().run_until(ask).await
    }

    /// Reads the configuration in force, as JSON, with its version.
    ///
    /// # Errors
    ///
    /// An [`RpcError`].
    pub async fn config(&self) -> Result<(ConfigVersion, Vec<u8>), RpcError> {
        let address = self.address;
        let ask = async move {
            let client: wire::operator::Client = connect(address).await?;
            let res = client.config_show_request().send().promise.await?;
            let row = res.get()?.get_row()?;
            Ok((ConfigVersion(row.get_version()), row.get_document()?.to_vec()))
        };
        LocalSet::new().run_until(ask).await
    }

    /// Makes a change.
    ///
    /// # Errors
    ///
    /// An [`RpcError`]; the change may have taken effect, and can be repeated with the same
    /// operation id.
    pub async fn accept(&self, change: &ConfigChange) -> Result<Accepted, RpcError> {
        let address = self.address;
        let ask = async move {
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
            Ok(Accepted {
                outcome: res.get_outcome().map_err(capnp::Error::from)?,
                version: ConfigVersion(res.get_version()),
                message: res.get_message()?.to_string().map_err(capnp::Error::from)?,
            })
        };
        LocalSet::new().run_until(ask).await
    }

    /// Lists the latest changes, oldest first.
    ///
    /// # Errors
    ///
    /// An [`RpcError`].
    pub async fn history(&self) -> Result<Vec<PastChange>, RpcError> {
        let address = self.address;
        let text = |text: capnp::Result<capnp::text::Reader<'_>>| {
            Ok::<_, RpcError>(text?.to_string().map_err(capnp::Error::from)?)
        };
        let ask = async move {
            let client: wire::operator::Client = connect(address).await?;
            let res = client.config_history_request().send().promise.await?;
            let mut changes = Vec::new();
            for change in res.get()?.get_changes()? {
                changes.push(PastChange {
                    version: ConfigVersion(change.get_version()),
                    operation: text(change.get_operation())?,
                    operator: text(change.get_operator())?,
                    note: text(change.get_note())?,
                });
            }
            Ok(changes)
        };
        LocalSet::new().run_until(ask).await
    }

    /// Reads the latest events of all entry VMs in one order, and names those that could not be
    /// asked.
    ///
    /// # Errors
    ///
    /// An [`RpcError`].
    pub async fn timeline(
        &self,
        cause: &str,
        limit: u32,
    ) -> Result<(Vec<TimelineEvent>, Vec<String>), RpcError> {
        let address = self.address;
        let ask = async move {
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
        LocalSet::new().run_until(ask).await
    }
}
