//! Client of other entry VMs. The RPC thread makes the calls; request handlers send them to it over
//! a channel.

use super::rpc::{RpcError, connect};
use crate::{
    coordination::{configuration::ConfigRow, members::MemberInfo},
    cranberrytray_capnp as wire,
    protocol::{
        callers::Reply,
        peers::{
            Heartbeat, WireError, read_config_row, read_heartbeat, read_json_list, read_reply,
            read_slots, write_config_row, write_heartbeat, write_ledger, write_member, write_slots,
        },
    },
    state::{
        id::{ConfigVersion, Issuer, JobId},
        ledger::ClosedLedger,
        loan::SlotCount,
        pool::WorkerInfo,
    },
};
use bytes::Bytes;
use indexmap::IndexMap;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::timeout,
};

/// Timeout for calls that a peer answers without waiting for a job.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for a request for job ids; short, since this entry VM can issue ids itself instead.
const ISSUE_TIMEOUT: Duration = Duration::from_millis(300);

type ResultSender<T> = oneshot::Sender<Result<T, RpcError>>;

/// A caller's request about a job, forwarded to the entry VM that issued the job's id.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// Operation on the job: submit, get or cancel.
    pub verb: wire::Verb,
    /// Id of the job.
    pub job_id: String,
    /// Maximum time that the receiver waits for the job's answer.
    pub wait: Duration,
    /// Body of the caller's request; empty unless the operation is submit.
    pub body: Bytes,
}

/// The configuration and the platform's lists as a peer knows them.
#[derive(Clone, Debug)]
pub struct PlatformSnapshot {
    /// Configuration row in force at the peer.
    pub row: ConfigRow,
    /// Entry VMs of all zones.
    pub members: Vec<MemberInfo>,
    /// Workers of the peer's zone.
    pub workers: Vec<WorkerInfo>,
}

/// A call to a peer, with the channel that receives its result.
#[derive(Debug)]
pub enum PeerCall {
    /// Sends a heartbeat and receives the peer's heartbeat.
    Heartbeat(Box<Heartbeat>, ResultSender<Heartbeat>),
    /// Forwards a caller's request and receives the reply to the caller.
    Forward(ForwardedRequest, ResultSender<Reply>),
    /// Asks for a loan of up to this many idle slots and receives the slots that are lent.
    Borrow(Issuer, u32, ResultSender<Vec<SlotCount>>),
    /// Gives borrowed slots back to their lender.
    GiveBack(Issuer, Vec<SlotCount>, ResultSender<()>),
    /// Sends a configuration row and receives the version that is then in force at the peer.
    PushConfig(ConfigRow, ResultSender<ConfigVersion>),
    /// Receives the configuration row in force and the platform's lists as the peer last read them.
    ReadConfig(ResultSender<PlatformSnapshot>),
    /// Requests this many job ids issued by the peer.
    Issue(u32, ResultSender<Vec<JobId>>),
    /// Hands over a part of a closed ledger.
    HandOver(Box<ClosedLedger>, ResultSender<()>),
}

/// Sends calls to the RPC thread and receives their results.
#[derive(Clone, Debug)]
pub struct PeerClient {
    tx: mpsc::UnboundedSender<(SocketAddr, PeerCall)>,
}

/// Receiving end of the channel over which [`PeerClient`] sends calls to the RPC thread.
pub type PeerCallReceiver = mpsc::UnboundedReceiver<(SocketAddr, PeerCall)>;

impl PeerClient {
    /// Creates the client and the receiver of its calls.
    pub fn new() -> (Self, PeerCallReceiver) {
        let (tx, rx) = mpsc::unbounded_channel();
        (PeerClient { tx }, rx)
    }

    /// Makes a call and waits for its result. `make` builds the call from the channel for the
    /// result.
    ///
    /// # Errors
    ///
    /// Returns an [`RpcError`] if the call fails or the process is stopping.
    pub async fn call<T, F>(&self, address: SocketAddr, make: F) -> Result<T, RpcError>
    where
        F: FnOnce(ResultSender<T>) -> PeerCall,
    {
        let (tx, rx) = oneshot::channel();
        self.tx.send((address, make(tx))).map_err(|_| RpcError::Stopping)?;
        rx.await.unwrap_or(Err(RpcError::Stopping))
    }
}

type Clients = Rc<RefCell<IndexMap<SocketAddr, wire::peer::Client>>>;

/// Makes the received calls until all senders are dropped. Must run within the `LocalSet` of the
/// RPC thread.
pub async fn run_peer_calls(mut calls: PeerCallReceiver) {
    let clients = Clients::default();
    while let Some((address, call)) = calls.recv().await {
        let clients = Rc::clone(&clients);
        spawn_local(async move { make_call(&clients, address, call).await });
    }
}

async fn make_call(clients: &Clients, address: SocketAddr, call: PeerCall) {
    match call {
        PeerCall::Heartbeat(own, tx) => {
            let fut = with_client(clients, address, CALL_TIMEOUT, |client| heartbeat(client, *own));
            let _ = tx.send(fut.await);
        }
        PeerCall::Forward(req, tx) => {
            let call_timeout = req.wait + CALL_TIMEOUT;
            let fut = with_client(clients, address, call_timeout, |client| forward(client, req));
            let _ = tx.send(fut.await);
        }
        PeerCall::Borrow(from, slots, tx) => {
            let fut =
                with_client(clients, address, CALL_TIMEOUT, |client| borrow(client, from, slots));
            let _ = tx.send(fut.await);
        }
        PeerCall::GiveBack(from, slots, tx) => {
            let fut = with_client(clients, address, CALL_TIMEOUT, |client| {
                give_back(client, from, slots)
            });
            let _ = tx.send(fut.await);
        }
        PeerCall::PushConfig(row, tx) => {
            let fut =
                with_client(clients, address, CALL_TIMEOUT, |client| push_config(client, row));
            let _ = tx.send(fut.await);
        }
        PeerCall::ReadConfig(tx) => {
            let fut = with_client(clients, address, CALL_TIMEOUT, read_config);
            let _ = tx.send(fut.await);
        }
        PeerCall::Issue(count, tx) => {
            let fut = with_client(clients, address, ISSUE_TIMEOUT, |client| issue(client, count));
            let _ = tx.send(fut.await);
        }
        PeerCall::HandOver(ledger, tx) => {
            let call_timeout = CALL_TIMEOUT * 5;
            let fut =
                with_client(clients, address, call_timeout, |client| hand_over(client, *ledger));
            let _ = tx.send(fut.await);
        }
    }
}

async fn with_client<T, F, Fut>(
    clients: &Clients,
    address: SocketAddr,
    call_timeout: Duration,
    call: F,
) -> Result<T, RpcError>
where
    F: FnOnce(wire::peer::Client) -> Fut,
    Fut: Future<Output = Result<T, capnp::Error>>,
{
    let cached = clients.borrow().get(&address).cloned();
    let client = match cached {
        Some(client) => client,
        None => {
            let client: wire::peer::Client = connect(address).await?;
            clients.borrow_mut().insert(address, client.clone());
            client
        }
    };
    let reply = timeout(call_timeout, call(client)).await;
    let result =
        reply.map_err(|_| RpcError::Timeout).and_then(|reply| reply.map_err(RpcError::Call));
    if result.as_ref().is_err_and(RpcError::is_disconnected) {
        clients.borrow_mut().swap_remove(&address);
    }
    result
}

async fn heartbeat(client: wire::peer::Client, own: Heartbeat) -> Result<Heartbeat, capnp::Error> {
    let mut req = client.heartbeat_request();
    write_heartbeat(req.get().init_beat(), &own);
    let res = req.send().promise.await?;
    Ok(read_heartbeat(res.get()?.get_beat()?)?)
}

async fn forward(
    client: wire::peer::Client,
    forwarded: ForwardedRequest,
) -> Result<Reply, capnp::Error> {
    let mut req = client.forward_request();
    let mut params = req.get();
    params.set_verb(forwarded.verb);
    params.set_job(forwarded.job_id.as_str());
    params.set_wait_ms(forwarded.wait.as_millis() as u64);
    params.set_body(&forwarded.body);
    let res = req.send().promise.await?;
    Ok(read_reply(res.get()?.get_reply()?)?)
}

async fn borrow(
    client: wire::peer::Client,
    from: Issuer,
    slots: u32,
) -> Result<Vec<SlotCount>, capnp::Error> {
    let mut req = client.borrow_request();
    write_member(req.get().init_from(), &from);
    req.get().set_slots(slots);
    let res = req.send().promise.await?;
    Ok(read_slots(res.get()?.get_granted()?)?)
}

async fn give_back(
    client: wire::peer::Client,
    from: Issuer,
    slots: Vec<SlotCount>,
) -> Result<(), capnp::Error> {
    let mut req = client.give_back_request();
    write_member(req.get().init_from(), &from);
    write_slots(req.get().init_slots(slots.len() as u32), &slots);
    req.send().promise.await?;
    Ok(())
}

async fn push_config(
    client: wire::peer::Client,
    row: ConfigRow,
) -> Result<ConfigVersion, capnp::Error> {
    let mut req = client.push_config_request();
    write_config_row(req.get().init_row(), &row)?;
    let res = req.send().promise.await?;
    Ok(ConfigVersion(res.get()?.get_version()))
}

async fn read_config(client: wire::peer::Client) -> Result<PlatformSnapshot, capnp::Error> {
    let res = client.read_config_request().send().promise.await?;
    let res = res.get()?;
    Ok(PlatformSnapshot {
        row: read_config_row(res.get_row()?)?,
        members: read_json_list(res.get_members()?)?,
        workers: read_json_list(res.get_workers()?)?,
    })
}

async fn issue(client: wire::peer::Client, count: u32) -> Result<Vec<JobId>, capnp::Error> {
    let mut req = client.issue_request();
    req.get().set_count(count);
    let res = req.send().promise.await?;
    let mut ids = Vec::new();
    for id in res.get()?.get_ids()? {
        ids.push(id?.to_str()?.parse().map_err(WireError::Id)?);
    }
    Ok(ids)
}

async fn hand_over(client: wire::peer::Client, ledger: ClosedLedger) -> Result<(), capnp::Error> {
    let mut req = client.hand_over_request();
    write_ledger(req.get().init_ledger(), &ledger)?;
    req.send().promise.await?;
    Ok(())
}
