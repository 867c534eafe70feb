//! Serves callers' requests about jobs, or forwards them to the entry VM that issued the job id.

use super::Daemon;
use crate::{
    coordination::{
        members::{HEARTBEAT_TIMEOUT, MemberInfo},
        status::{JobStatus, SubmitError},
    },
    cranberrytray_capnp::Verb,
    protocol::callers::{CallerError, Reply, UnknownReason, parse_job},
    state::{
        id::JobId,
        job::{Answer, RefuseReason},
        ledger::{ClosedEntry, TicketError},
    },
    transport::{
        peers::{ForwardedRequest, PeerCall},
        rpc::RpcError,
    },
};
use bytes::Bytes;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Extra time for a forwarded request beyond the wait that it asks for, since the answer to a job
/// that ends at its deadline still has to cross the network.
const FORWARD_GRACE: Duration = Duration::from_millis(100);
/// Extra time, beyond the wait that a request asks for, to await the answer to a job of this
/// process.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// A caller's request about one job.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Id of the job.
    pub id: JobId,
    /// Operation requested on the job.
    pub verb: Verb,
    /// Longest time that the caller waits for the answer.
    pub wait: Duration,
    /// Job document (JSON) as the caller sent it; empty unless the job is submitted.
    pub body: Bytes,
}

impl Daemon {
    /// Issues job ids to a caller. The issuer of an id runs its job, so the ids come from the
    /// zone's dispatcher, which owns worker slots, or from this process if the dispatcher issues
    /// none. Returns no ids if neither issues any: an entry VM issues none while it is leaving.
    pub async fn issue_tickets(self: &Arc<Self>, count: u32) -> Vec<JobId> {
        let dispatcher = self.core.dispatcher().and_then(|vm| self.peer_address(&vm));
        if let Some(address) = dispatcher {
            let issued = self.peer_links.call(address, |tx| PeerCall::Issue(count, tx)).await;
            if let Ok(ids) = issued
                && !ids.is_empty()
            {
                return ids;
            }
        }
        self.core.issue(self.now(), count)
    }

    /// Serves a caller's request: from this process or an inherited ledger, or else by forwarding
    /// it to the issuer.
    pub async fn serve(self: &Arc<Self>, req: JobRequest) -> Reply {
        if req.id.issuer == *self.core.issuer() {
            return self.serve_locally(req).await;
        }
        if let Some(entry) = self.core.look_up_inherited(&req.id) {
            return inherited_reply(entry);
        }
        self.serve_remotely(req).await
    }

    /// Serves a request that another entry VM forwarded; it is not forwarded again.
    pub async fn serve_forwarded(self: &Arc<Self>, req: JobRequest) -> Reply {
        if req.id.issuer == *self.core.issuer() {
            return self.serve_locally(req).await;
        }
        match self.core.look_up_inherited(&req.id) {
            Some(entry) => inherited_reply(entry),
            None => Reply::unknown(UnknownReason::IssuerGone),
        }
    }

    async fn serve_locally(self: &Arc<Self>, req: JobRequest) -> Reply {
        let result = match req.verb {
            Verb::Submit => self.submit(&req).await,
            Verb::Get => self.get(&req).await,
            Verb::Cancel => self.cancel(&req),
        };
        result.unwrap_or_else(|e| Reply::error(&e))
    }

    async fn submit(self: &Arc<Self>, req: &JobRequest) -> Result<Reply, CallerError> {
        let spec = Arc::new(parse_job(&req.body, &self.settings.limits)?);
        let rx = self.register_waiter(req.id.number);
        let now = self.now();
        let submitted = self.drive(|daemon, out| daemon.core.submit(now, &req.id, spec, out));
        match submitted {
            Ok(JobStatus::Final(answer)) => {
                drop(rx);
                self.remove_closed_waiters(req.id.number);
                Ok(Reply::final_answer(&answer))
            }
            Ok(JobStatus::Open | JobStatus::NotSubmitted) => Ok(self.await_answer(rx, req).await),
            Err(e) => {
                drop(rx);
                self.remove_closed_waiters(req.id.number);
                Err(CallerError::Submit(e))
            }
        }
    }

    async fn get(self: &Arc<Self>, req: &JobRequest) -> Result<Reply, CallerError> {
        let rx = self.register_waiter(req.id.number);
        match self.core.get(self.now(), &req.id) {
            Ok(JobStatus::Open) if !req.wait.is_zero() => Ok(self.await_answer(rx, req).await),
            other => {
                drop(rx);
                self.remove_closed_waiters(req.id.number);
                match other? {
                    JobStatus::Open => Ok(Reply::running()),
                    JobStatus::Final(answer) => Ok(Reply::final_answer(&answer)),
                    JobStatus::NotSubmitted => Err(CallerError::NotSubmitted),
                }
            }
        }
    }

    fn cancel(self: &Arc<Self>, req: &JobRequest) -> Result<Reply, CallerError> {
        let now = self.now();
        let answer = self.drive(|daemon, out| daemon.core.cancel(now, &req.id, out))?;
        Ok(Reply::final_answer(&answer))
    }

    async fn await_answer(&self, rx: oneshot::Receiver<Arc<Answer>>, req: &JobRequest) -> Reply {
        let result = timeout(req.wait + ANSWER_GRACE, rx).await;
        self.remove_closed_waiters(req.id.number);
        match result {
            Ok(Ok(answer)) => Reply::final_answer(&answer),
            _ => self.current_reply(&req.id),
        }
    }

    fn current_reply(&self, id: &JobId) -> Reply {
        match self.core.get(self.now(), id) {
            Ok(JobStatus::Final(answer)) => Reply::final_answer(&answer),
            Ok(_) => Reply::running(),
            Err(e) => Reply::error(&CallerError::from(e)),
        }
    }

    async fn serve_remotely(self: &Arc<Self>, req: JobRequest) -> Reply {
        let issuer = req.id.issuer.vm.clone();
        let member = self.core.with_members(|members| members.get(&issuer).cloned());
        let mut reason = UnknownReason::IssuerGone;
        if let Some(address) = member.and_then(|member| member.peers.parse().ok()) {
            match self.forward(address, &req).await {
                Ok(reply) if reply.status != UNKNOWN_STATUS => return reply,
                Ok(_) => {}
                Err(RpcError::Timeout) => reason = UnknownReason::IssuerSilent,
                Err(_) => reason = UnknownReason::IssuerUnreachable,
            }
        }
        if reason == UnknownReason::IssuerSilent {
            return Reply::unknown(reason);
        }
        self.ask_successors(&req).await.unwrap_or_else(|| Reply::unknown(reason))
    }

    async fn forward(&self, address: SocketAddr, req: &JobRequest) -> Result<Reply, RpcError> {
        let forwarded = ForwardedRequest {
            verb: req.verb,
            job_id: req.id.to_string(),
            wait: req.wait,
            body: req.body.clone(),
        };
        let call = self.peer_links.call(address, |tx| PeerCall::Forward(forwarded, tx));
        tokio::select! {
            answered = timeout(req.wait + FORWARD_GRACE, call) => {
                answered.unwrap_or(Err(RpcError::Timeout))
            }
            () = self.wait_for_unresponsive_issuer(req) => Err(RpcError::Timeout),
        }
    }

    /// Completes once the issuer's latest heartbeat is older than the heartbeat timeout. Never
    /// completes if the issuer is in another zone or has sent no heartbeat yet.
    async fn wait_for_unresponsive_issuer(&self, req: &JobRequest) {
        let vm = &req.id.issuer.vm;
        loop {
            tokio::time::sleep(HEARTBEAT_TIMEOUT / 10).await;
            let last_heartbeat = self.core.with_members(|members| {
                let in_zone = members.zone_peers().any(|peer| peer.vm == *vm);
                in_zone.then(|| members.last_heartbeat(vm)).flatten()
            });
            if last_heartbeat.is_some_and(|at| self.now() - at > HEARTBEAT_TIMEOUT) {
                return;
            }
        }
    }

    /// Asks the other entry VMs of the issuer's zone, one of which may have inherited its ledger.
    async fn ask_successors(&self, req: &JobRequest) -> Option<Reply> {
        let zone = &req.id.issuer.zone;
        let others: Vec<MemberInfo> = self.core.with_members(|members| {
            members.peers_in_zone(zone).filter(|m| m.vm != req.id.issuer.vm).cloned().collect()
        });
        for member in others {
            let Ok(address) = member.peers.parse() else {
                continue;
            };
            let req = JobRequest { verb: Verb::Get, wait: Duration::ZERO, ..req.clone() };
            match self.forward(address, &req).await {
                Ok(reply) if reply.status != UNKNOWN_STATUS => return Some(reply),
                _ => {}
            }
        }
        None
    }
}

/// HTTP status of an `unknown` reply.
const UNKNOWN_STATUS: u16 = 504;

/// Returns the reply to a request about an id of an inherited ledger. An id under which no job was
/// submitted can't be used any more, so its job is answered as not run.
fn inherited_reply(entry: Result<ClosedEntry, TicketError>) -> Reply {
    match entry {
        Ok(ClosedEntry::Answered(_, answer)) => Reply::final_answer(&answer),
        Ok(ClosedEntry::NeverRun) => {
            let reason = RefuseReason::Leaving;
            Reply::final_answer(&Arc::new(Answer::NotRun { reason, retry_after_ms: 0 }))
        }
        Err(e) => Reply::error(&CallerError::Submit(SubmitError::Ticket(e))),
    }
}
