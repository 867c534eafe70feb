//! Calls to peers. They are made on the RPC thread; the request path only sends it messages.

use super::rpc::{RpcError, connect};
use crate::{
    coordination::{configuration::ConfigRow, members::MemberInfo},
    cranberrytray_capnp as wire,
    protocol::{
        callers::Reply,
        peers::{
            Beat, WireError, read_beat, read_list, read_reply, read_row, read_slots, write_beat,
            write_ledger, write_member, write_row, write_slots,
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

/// Longest wait for the answer to a call that the peer answers at once.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest wait for job ids; this entry VM can issue its own instead.
const ISSUE_TIMEOUT: Duration = Duration::from_millis(300);

type ReplyTo<T> = oneshot::Sender<Result<T, RpcError>>;

/// What a caller asks of a job that another entry VM issued.
#[derive(Clone, Debug)]
pub struct Forward {
    /// What is asked.
    pub verb: wire::Verb,
    /// The id.
    pub job: String,
    /// How long to wait for the answer.
    pub wait: Duration,
    /// The job as the caller sent it; empty but for a submission.
    pub body: Bytes,
}

/// What a peer knows from the platform.
#[derive(Clone, Debug)]
pub struct Known {
    /// The configuration row in force.
    pub row: ConfigRow,
    /// The entry VMs.
    pub members: Vec<MemberInfo>,
    /// The workers of the peer's zone.
    pub workers: Vec<WorkerInfo>,
}

/// One call to a peer.
#[derive(Debug)]
pub enum PeerCall {
    /// A heartbeat, answered by one.
    Heartbeat(Box<Beat>, ReplyTo<Beat>),
    /// A caller's request.
    Forward(Forward, ReplyTo<Reply>),
    /// A request for idle slots.
    Borrow(Issuer, u32, ReplyTo<Vec<SlotCount>>),
    /// Slots given back.
    GiveBack(Issuer, Vec<SlotCount>, ReplyTo<()>),
    /// A configuration row; answered by the version in force there.
    PushConfig(ConfigRow, ReplyTo<ConfigVersion>),
    /// Asks for the configuration row in force and the platform's lists as last read.
    ReadConfig(ReplyTo<Known>),
    /// Asks for job ids.
    Issue(u32, ReplyTo<Vec<JobId>>),
    /// A part of a closed ledger.
    HandOver(Box<ClosedLedger>, ReplyTo<()>),
}

/// Sends calls to the RPC thread.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    tx: mpsc::UnboundedSender<(SocketAddr, PeerCall)>,
}

/// The receiving end, for the RPC thread.
pub type PeerCalls = mpsc::UnboundedReceiver<(SocketAddr, PeerCall)>;

impl PeerLinks {
    /// The sending and the receiving end.
    pub fn new() -> (Self, PeerCalls) {
        let (tx, rx) = mpsc::unbounded_channel();
        (PeerLinks { tx }, rx)
    }

    /// Makes a call and waits for its answer.
    ///
    /// # Errors
    ///
    /// An [`RpcError`].
    pub async fn call<T, F>(&self, address: SocketAddr, make: F) -> Result<T, RpcError>
    where
        F: FnOnce(ReplyTo<T>) -> PeerCall,
    {
        let (tx, rx) = oneshot::channel();
        self.tx.send((address, make(tx))).map_err(|_| RpcError::Stopping)?;
        rx.await.unwrap_or(Err(RpcError::Stopping))
    }
}

type Clients = Rc<RefCell<IndexMap<SocketAddr, wire::peer::Client>>>;

/// Makes the calls that come in; to be run within the `LocalSet` of the RPC thread.
pub async fn run_calls(mut calls: PeerCalls) {
    let clients = Clients::default();
    while let Some((address, call)) = calls.recv().await {
        let clients = Rc::clone(&clients);
        spawn_local(async move { make_call(&clients, address, call).await });
    }
}

async fn make_call(clients: &Clients, address: SocketAddr, call: PeerCall) {
    match call {
        PeerCall::Heartbeat(beat, tx) => {
            let made =
                with_client(clients, address, CALL_TIMEOUT, |client| heartbeat(client, *beat));
            let _ = tx.send(made.await);
        }
        PeerCall::Forward(req, tx) => {
            let limit = req.wait + CALL_TIMEOUT;
            let made = with_client(clients, address, limit, |client| forward(client, req));
            let _ = tx.send(made.await);
        }
        PeerCall::Borrow(from, slots, tx) => {
            let made =
                with_client(clients, address, CALL_TIMEOUT, |client| borrow(client, from, slots));
            let _ = tx.send(made.await);
        }
        PeerCall::GiveBack(from, slots, tx) => {
            let made = with_client(clients, address, CALL_TIMEOUT, |client| {
                give_back(client, from, slots)
            });
            let _ = tx.send(made.await);
        }
        PeerCall::PushConfig(row, tx) => {
            let made =
                with_client(clients, address, CALL_TIMEOUT, |client| push_config(client, row));
            let _ = tx.send(made.await);
        }
        PeerCall::ReadConfig(tx) => {
            let made = with_client(clients, address, CALL_TIMEOUT, read_config);
            let _ = tx.send(made.await);
        }
        PeerCall::Issue(count, tx) => {
            let made = with_client(clients, address, ISSUE_TIMEOUT, |client| issue(client, count));
            let _ = tx.send(made.await);
        }
        PeerCall::HandOver(ledger, tx) => {
            let limit = CALL_TIMEOUT * 5;
            let made = with_client(clients, address, limit, |client| hand_over(client, *ledger));
            let _ = tx.send(made.await);
        }
    }
}

async fn with_client<T, F, Fut>(
    clients: &Clients,
    address: SocketAddr,
    limit: Duration,
    call: F,
) -> Result<T, RpcError>
where
    F: FnOnce(wire::peer::Client) -> Fut,
    Fut: Future<Output = Result<T, capnp::Error>>,
{
    let known = clients.borrow().get(&address).cloned();
    let client = match known {
        Some(client) => client,
        None => {
            let client: wire::peer::Client = connect(address).await?;
            clients.borrow_mut().insert(address, client.clone());
            client
        }
    };
    let made = timeout(limit, call(client)).await;
    let result = made.map_err(|_| RpcError::Timeout).and_then(|made| made.map_err(RpcError::Call));
    if result.as_ref().is_err_and(RpcError::is_disconnected) {
        clients.borrow_mut().swap_remove(&address);
    }
    result
}

async fn heartbeat(client: wire::peer::Client, beat: Beat) -> Result<Beat, capnp::Error> {
    let mut req = client.heartbeat_request();
    write_beat(req.get().init_beat(), &beat);
    let res = req.send().promise.await?;
    Ok(read_beat(res.get()?.get_beat()?)?)
}

async fn forward(client: wire::peer::Client, forward: Forward) -> Result<Reply, capnp::Error> {
    let mut req = client.forward_request();
    let mut params = req.get();
    params.set_verb(forward.verb);
    params.set_job(forward.job.as_str());
    params.set_wait_ms(forward.wait.as_millis() as u64);
    params.set_body(&forward.body);
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
    write_row(req.get().init_row(), &row)?;
    let res = req.send().promise.await?;
    Ok(ConfigVersion(res.get()?.get_version()))
}

async fn read_config(client: wire::peer::Client) -> Result<Known, capnp::Error> {
    let res = client.read_config_request().send().promise.await?;
    let res = res.get()?;
    Ok(Known {
        row: read_row(res.get_row()?)?,
        members: read_list(res.get_members()?)?,
        workers: read_list(res.get_workers()?)?,
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
