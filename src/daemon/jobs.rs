//! Callers' requests about jobs: answered here, or by the entry VM that issued the id.

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
        peers::{Forward, PeerCall},
        rpc::RpcError,
    },
};
use bytes::Bytes;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Time that a forwarded request may take beyond the wait it asks for: the answer of a job that
/// ends at its deadline has to cross the network.
const FORWARD_GRACE: Duration = Duration::from_millis(100);
/// Time that an answer may come after the job's deadline when the issuer is this process.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// A caller's request about one job.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// The id.
    pub id: JobId,
    /// What is asked.
    pub verb: Verb,
    /// How long the caller waits for the answer.
    pub wait: Duration,
    /// The job as the caller sent it; empty but for a submission.
    pub body: Bytes,
}

impl Daemon {
    /// Job ids for a caller: those of the zone's dispatcher, which can start their jobs without a
    /// detour, or else our own. None while leaving, if no peer gives any.
    pub async fn tickets(self: &Arc<Self>, count: u32) -> Vec<JobId> {
        let dispatcher = self.core.dispatcher().and_then(|vm| self.peer_address(&vm));
        if let Some(address) = dispatcher {
            let issued = self.peers.call(address, |tx| PeerCall::Issue(count, tx)).await;
            if let Ok(ids) = issued
                && !ids.is_empty()
            {
                return ids;
            }
        }
        self.core.issue(self.now(), count)
    }

    /// Answers a caller's request.
    pub async fn serve(self: &Arc<Self>, req: JobRequest) -> Reply {
        if req.id.issuer == *self.core.issuer() {
            return self.serve_here(req).await;
        }
        if let Some(found) = self.core.look_up_inherited(&req.id) {
            return inherited_reply(found);
        }
        self.serve_elsewhere(req).await
    }

    /// Answers a request that another entry VM passed on; it is not passed on again.
    pub async fn serve_passed_on(self: &Arc<Self>, req: JobRequest) -> Reply {
        if req.id.issuer == *self.core.issuer() {
            return self.serve_here(req).await;
        }
        match self.core.look_up_inherited(&req.id) {
            Some(found) => inherited_reply(found),
            None => Reply::unknown(UnknownReason::IssuerGone),
        }
    }

    async fn serve_here(self: &Arc<Self>, req: JobRequest) -> Reply {
        let served = match req.verb {
            Verb::Submit => self.submit(&req).await,
            Verb::Get => self.get(&req).await,
            Verb::Cancel => self.cancel(&req),
        };
        served.unwrap_or_else(|e| Reply::error(&e))
    }

    async fn submit(self: &Arc<Self>, req: &JobRequest) -> Result<Reply, CallerError> {
        let spec = Arc::new(parse_job(&req.body, &self.settings.limits)?);
        let rx = self.wait_for(req.id.number);
        let now = self.now();
        let submitted = self.drive(|daemon, out| daemon.core.submit(now, &req.id, spec, out));
        match submitted {
            Ok(JobStatus::Final(answer)) => {
                drop(rx);
                self.unwait(req.id.number);
                Ok(Reply::answer(&answer))
            }
            Ok(JobStatus::Open | JobStatus::NotSubmitted) => Ok(self.await_answer(rx, req).await),
            Err(e) => {
                drop(rx);
                self.unwait(req.id.number);
                Err(CallerError::Submit(e))
            }
        }
    }

    async fn get(self: &Arc<Self>, req: &JobRequest) -> Result<Reply, CallerError> {
        let rx = self.wait_for(req.id.number);
        match self.core.get(self.now(), &req.id) {
            Ok(JobStatus::Open) if !req.wait.is_zero() => Ok(self.await_answer(rx, req).await),
            other => {
                drop(rx);
                self.unwait(req.id.number);
                match other? {
                    JobStatus::Open => Ok(Reply::running()),
                    JobStatus::Final(answer) => Ok(Reply::answer(&answer)),
                    JobStatus::NotSubmitted => Err(CallerError::NotSubmitted),
                }
            }
        }
    }

    fn cancel(self: &Arc<Self>, req: &JobRequest) -> Result<Reply, CallerError> {
        let now = self.now();
        let answer = self.drive(|daemon, out| daemon.core.cancel(now, &req.id, out))?;
        Ok(Reply::answer(&answer))
    }

    async fn await_answer(&self, rx: oneshot::Receiver<Arc<Answer>>, req: &JobRequest) -> Reply {
        let waited = timeout(req.wait + ANSWER_GRACE, rx).await;
        self.unwait(req.id.number);
        match waited {
            Ok(Ok(answer)) => Reply::answer(&answer),
            _ => self.latest(&req.id),
        }
    }

    fn latest(&self, id: &JobId) -> Reply {
        match self.core.get(self.now(), id) {
            Ok(JobStatus::Final(answer)) => Reply::answer(&answer),
            Ok(_) => Reply::running(),
            Err(e) => Reply::error(&CallerError::from(e)),
        }
    }

    async fn serve_elsewhere(self: &Arc<Self>, req: JobRequest) -> Reply {
        let issuer = req.id.issuer.vm.clone();
        let listed = self.core.with_members(|members| members.get(&issuer).cloned());
        let mut reason = UnknownReason::IssuerGone;
        if let Some(address) = listed.and_then(|member| member.peers.parse().ok()) {
            match self.pass_on(address, &req).await {
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

    async fn pass_on(&self, address: SocketAddr, req: &JobRequest) -> Result<Reply, RpcError> {
        let forward = Forward {
            verb: req.verb,
            job: req.id.to_string(),
            wait: req.wait,
            body: req.body.clone(),
        };
        let call = self.peers.call(address, |tx| PeerCall::Forward(forward, tx));
        tokio::select! {
            answered = timeout(req.wait + FORWARD_GRACE, call) => {
                answered.unwrap_or(Err(RpcError::Timeout))
            }
            () = self.issuer_falls_silent(req) => Err(RpcError::Timeout),
        }
    }

    /// Ends when the issuer has not been heard for too long, if it ever was.
    async fn issuer_falls_silent(&self, req: &JobRequest) {
        let vm = &req.id.issuer.vm;
        loop {
            tokio::time::sleep(HEARTBEAT_TIMEOUT / 10).await;
            let heard = self.core.with_members(|members| {
                let in_zone = members.zone_peers().any(|peer| peer.vm == *vm);
                in_zone.then(|| members.last_heartbeat(vm)).flatten()
            });
            if heard.is_some_and(|at| self.now() - at > HEARTBEAT_TIMEOUT) {
                return;
            }
        }
    }

    /// Asks the other entry VMs of the issuer's zone whether one of them answers for it.
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
            match self.pass_on(address, &req).await {
                Ok(reply) if reply.status != UNKNOWN_STATUS => return Some(reply),
                _ => {}
            }
        }
        None
    }
}

/// The status of a reply that says `unknown`.
const UNKNOWN_STATUS: u16 = 504;

/// What a successor says: an id that was never submitted can't be submitted any more.
fn inherited_reply(found: Result<ClosedEntry, TicketError>) -> Reply {
    match found {
        Ok(ClosedEntry::Answered(_, answer)) => Reply::answer(&answer),
        Ok(ClosedEntry::NeverRun) => {
            let reason = RefuseReason::Leaving;
            Reply::answer(&Arc::new(Answer::NotRun { reason, retry_after_ms: 0 }))
        }
        Err(e) => Reply::error(&CallerError::Submit(SubmitError::Ticket(e))),
    }
}
