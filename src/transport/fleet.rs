//! Connections between VMs that run jobs on leased targets.
//!
//! The connecting side sends heartbeats and closes the connection when one is not answered in time;
//! the outcome of the jobs that it sent over the connection is then unknown. The serving side stops
//! the jobs that it received over a connection when no heartbeat has arrived for a while.

use super::{
    heartbeat_timing::time_to_next,
    received_job::{ReceivedJob, ReceivedJobEvent, ReceivedJobGuard},
    rpc::{RpcError, connect_with_timeouts, serve_with},
};
use crate::{
    coordination::dispatch::{
        submitters::SubmitterId,
        timing::{UNRESPONSIVE_TIMEOUT, USUAL_SILENCE},
    },
    fleet_capnp::peer,
    protocol::fleet::{
        DispatchReply, Heartbeat, Snapshot, TargetList, read_dispatch_reply, read_heartbeat,
        read_job_submission, read_snapshot, write_dispatch_reply, write_evacuated_zones,
        write_heartbeat, write_job_submission, write_peer,
    },
    state::{
        id::{VmName, ZoneName},
        job_submission::{CallerJobId, JobSubmission},
        shard::ShardCount,
        target::TargetId,
        time::Moment,
    },
};
use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Timeout for establishing a connection; round trips take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the reply to a heartbeat, and for the reply to a handover.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// A heartbeat that proves its sender alive longer ago than this is ignored. Heartbeats are sent every
/// second at the longest, and the sender closes the connection unless each is answered within
/// [`HEARTBEAT_TIMEOUT`].
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(2_000);
/// Timeout for the reply to a request for a [`Snapshot`].
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Options of a request to run a job.
#[derive(Clone, Copy, Debug)]
pub struct DispatchOptions {
    /// Whether the receiver may redirect the job to another zone's dispatcher.
    pub may_redirect: bool,
    /// Whether the job may have run under an earlier dispatcher of the shard.
    pub resumed: bool,
    /// Number of shards by which the sender chose the dispatcher.
    pub shard_count: ShardCount,
}

/// A peer that submits jobs over a connection.
#[derive(Clone, Copy, Debug)]
pub struct Submitter {
    /// Identifies the connection.
    pub id: SubmitterId,
    /// Time for which the peer is not proven to have been alive.
    pub silent_for: Duration,
}

/// Handles the calls of peers to this VM.
pub trait PeerHandler: 'static {
    /// Returns the time on a clock that also advances while the machine is suspended, since the
    /// suspension delays what peers have sent.
    fn now(&self) -> Moment;
    /// Time since a peer was last proven alive after which the jobs received from it are stopped.
    fn unresponsive_timeout(&self) -> Duration {
        UNRESPONSIVE_TIMEOUT
    }
    /// Returns the heartbeat that reports the present state of this VM.
    fn heartbeat(&self) -> Heartbeat;
    /// Processes a heartbeat received from a peer.
    fn on_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat);
    /// Handles the proof that a peer was alive. Does nothing by default.
    fn on_peer_alive(self: &Rc<Self>, _submitter: Submitter) {}
    /// Handles the end of the connection of a peer. Does nothing by default.
    fn on_peer_gone(self: &Rc<Self>, _submitter: SubmitterId) {}
    /// Runs a job until it ends. Dropping the future cancels the job.
    fn run(
        self: &Rc<Self>,
        job: JobSubmission,
        options: DispatchOptions,
        submitter: Submitter,
    ) -> impl Future<Output = DispatchReply>;
    /// Records something unusual about a job that a peer sent.
    fn on_received_job(&self, _job: &ReceivedJob, _event: ReceivedJobEvent) {}
    /// Takes over all targets except `kept` from the dispatcher with this epoch; returns false if
    /// this VM declines.
    fn take_over(self: &Rc<Self>, epoch: u64, kept: Vec<TargetId>) -> bool;
    /// Returns the state known to this VM, with the targets of `zone` if one is given.
    fn snapshot(&self, zone: Option<ZoneName>) -> Snapshot;
    /// Returns the list of this zone's targets as this VM last read it; `None` if it could not.
    fn target_list(&self) -> Option<TargetList>;
}

pub(super) struct PeerServer<H>
where
    H: PeerHandler,
{
    pub(super) handler: Rc<H>,
    id: SubmitterId,
    connected_at: Moment,
    /// Time from `connected_at` to the latest moment at which the peer was provably alive.
    last_alive: Cell<Duration>,
    /// Name of the peer, as its heartbeats give it.
    pub(super) sender: RefCell<Option<VmName>>,
}

impl<H> Drop for PeerServer<H>
where
    H: PeerHandler,
{
    fn drop(&mut self) {
        self.handler.on_peer_gone(self.id);
    }
}

impl<H> PeerServer<H>
where
    H: PeerHandler,
{
    /// Age of the connection.
    pub(super) fn age(&self) -> Duration {
        self.handler.now() - self.connected_at
    }

    fn submitter(&self) -> Submitter {
        Submitter { id: self.id, silent_for: self.silent_for() }
    }

    /// Time for which the peer is not proven to have been alive. What it sent on this connection and
    /// is received now was delayed by no longer than that.
    pub(super) fn silent_for(&self) -> Duration {
        self.age().saturating_sub(self.last_alive.get())
    }

    async fn wait_until_unresponsive(&self) {
        loop {
            let silent_for = self.silent_for();
            let left = self.handler.unresponsive_timeout().saturating_sub(silent_for);
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }
}

impl<H> peer::Server for PeerServer<H>
where
    H: PeerHandler,
{
    async fn beat(
        self: Rc<Self>,
        params: peer::BeatParams,
        mut results: peer::BeatResults,
    ) -> Result<(), capnp::Error> {
        // The network may have delayed this heartbeat. It only proves that the peer was alive when
        // it received the token that it echoes, which was sent in an earlier reply: the time since
        // `connected_at`, in milliseconds.
        let params = params.get()?;
        let alive_at = Duration::from_millis(params.get_echo());
        self.last_alive.set(self.last_alive.get().max(alive_at.min(self.age())));
        self.handler.on_peer_alive(self.submitter());
        let heartbeat = read_heartbeat(params.get_beat()?)?;
        self.sender.borrow_mut().get_or_insert_with(|| heartbeat.from.vm.clone());
        if self.silent_for() <= MAX_HEARTBEAT_AGE {
            self.handler.on_heartbeat(heartbeat);
        }
        let mut results = results.get();
        results.set_token(self.age().as_millis() as u64);
        write_heartbeat(&self.handler.heartbeat(), results.init_beat());
        Ok(())
    }

    async fn run(
        self: Rc<Self>,
        params: peer::RunParams,
        mut results: peer::RunResults,
    ) -> Result<(), capnp::Error> {
        let (mut job, options) = {
            let params = params.get()?;
            let options = DispatchOptions {
                may_redirect: params.get_may_pass(),
                resumed: params.get_resumed(),
                shard_count: ShardCount::from_wire(params.get_shard_count()),
            };
            (read_job_submission(params.get_work()?)?, options)
        };
        drop(params); // The message takes as much memory as the job.
        let guard = ReceivedJobGuard::new(&self, job.id, options);
        let silent_for = self.silent_for();
        if silent_for >= self.handler.unresponsive_timeout() {
            // The sender may have given this job up, and its caller may have submitted it elsewhere.
            write_dispatch_reply(guard.refuse(), results.get());
            return Ok(());
        }
        if silent_for > HEARTBEAT_TIMEOUT {
            guard.report(ReceivedJobEvent::ArrivedLate);
        }
        let delay = silent_for.saturating_sub(USUAL_SILENCE);
        job.time_to_deadline = job.time_to_deadline.saturating_sub(delay);
        let reply = tokio::select! {
            biased;
            reply = self.handler.run(job, options, self.submitter()) => reply,
            () = self.wait_until_unresponsive() => guard.cancel(),
        };
        guard.end();
        write_dispatch_reply(reply, results.get());
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: peer::HandOverParams,
        mut results: peer::HandOverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        if self.silent_for() >= UNRESPONSIVE_TIMEOUT {
            // The sender may have handed its targets over to another VM since.
            results.get().set_taken(false);
            return Ok(());
        }
        let mut kept = Vec::new();
        for id in params.get_kept()? {
            kept.push(TargetId::from(id?.to_str()?));
        }
        let taken_over = self.handler.take_over(params.get_epoch(), kept);
        results.get().set_taken(taken_over);
        Ok(())
    }

    async fn snapshot(
        self: Rc<Self>,
        params: peer::SnapshotParams,
        mut results: peer::SnapshotResults,
    ) -> Result<(), capnp::Error> {
        let zone = params.get()?.get_zone()?.to_str()?;
        let snapshot = self.handler.snapshot(zone.parse().ok());
        let mut results = results.get();
        results.set_plan_version(snapshot.version.0);
        results.set_plan(&snapshot.config);
        results.set_targets(&snapshot.targets);
        results.set_evacuation_revision(snapshot.evacuations.revision());
        let evacuated = snapshot.evacuations.zones().len() as u32;
        let zones = results.reborrow().init_evacuated_zones(evacuated);
        write_evacuated_zones(&snapshot.evacuations, zones);
        let mut peers = results.init_members(snapshot.peers.len() as u32);
        for (n, peer) in snapshot.peers.iter().enumerate() {
            write_peer(peer, peers.reborrow().get(n as u32));
        }
        Ok(())
    }

    async fn targets(
        self: Rc<Self>,
        _: peer::TargetsParams,
        mut results: peer::TargetsResults,
    ) -> Result<(), capnp::Error> {
        let Some(list) = self.handler.target_list() else {
            return Err(capnp::Error::failed("the list of targets can't be read".into()));
        };
        results.get().set_targets(&list.targets);
        results.get().set_age_ms(list.age.as_millis() as u32);
        Ok(())
    }
}

/// Serves the peer protocol on `listener`; never returns.
pub async fn serve<H>(listener: TcpListener, handler: Rc<H>)
where
    H: PeerHandler,
{
    let connections = Cell::new(0);
    let make = || -> peer::Client {
        let handler = Rc::clone(&handler);
        let connected_at = handler.now();
        connections.set(connections.get() + 1);
        capnp_rpc::new_client(PeerServer {
            handler,
            id: SubmitterId(connections.get()),
            connected_at,
            last_alive: Cell::default(),
            sender: RefCell::default(),
        })
    };
    serve_with(listener, make).await;
}

/// A connection to a peer, kept up by heartbeats.
pub struct PeerLink {
    /// Address at which the peer serves the protocol.
    pub address: SocketAddr,
    client: peer::Client,
    last_heartbeat: RefCell<Option<Heartbeat>>,
    /// Token of the peer's latest reply, echoed in the next heartbeat.
    token: Cell<u64>,
    closed: Cell<bool>,
    close_notify: Notify,
    role_notify: Notify,
}

impl PeerLink {
    /// Connects, exchanges a first heartbeat, and from then on sends one every `interval`.
    ///
    /// # Errors
    ///
    /// Returns an [`RpcError`] if no connection is established or the first heartbeat fails.
    pub async fn connect<H>(
        handler: &Rc<H>,
        address: SocketAddr,
        interval: Duration,
    ) -> Result<Rc<Self>, RpcError>
    where
        H: PeerHandler,
    {
        let client = connect_with_timeouts(address, CONNECT_TIMEOUT, HEARTBEAT_TIMEOUT).await?;
        let link = Rc::new(PeerLink {
            address,
            client,
            last_heartbeat: RefCell::default(),
            token: Cell::new(0),
            closed: Cell::new(false),
            close_notify: Notify::new(),
            role_notify: Notify::new(),
        });
        link.exchange_heartbeats(handler).await?;
        spawn_local(send_heartbeats(Rc::downgrade(&link), Rc::downgrade(handler), interval));
        Ok(link)
    }

    /// Returns the latest heartbeat of the peer.
    pub fn last_heartbeat(&self) -> Option<Heartbeat> {
        self.last_heartbeat.borrow().clone()
    }

    /// Whether the connection was closed because it failed.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Whether the peer runs a job with this id under that very id: earlier versions read it without capital
    /// letters, which is the id of another job.
    pub fn keeps_id(&self, id: CallerJobId) -> bool {
        let heartbeat = self.last_heartbeat.borrow();
        id.capitals() == 0 || heartbeat.as_ref().is_some_and(|h| h.from.knows_id_case)
    }

    /// Waits until the connection is closed because it failed.
    pub async fn closed(&self) {
        while !self.closed.get() {
            self.close_notify.notified().await;
        }
    }

    /// Waits until a heartbeat shows another dispatcher, shard or number of shards than the one before.
    pub async fn role_changed(&self) {
        self.role_notify.notified().await;
    }

    fn close(&self) {
        self.closed.set(true);
        self.close_notify.notify_waiters();
    }

    async fn exchange_heartbeats<H>(&self, handler: &Rc<H>) -> Result<(), RpcError>
    where
        H: PeerHandler,
    {
        let mut req = self.client.beat_request();
        req.get().set_echo(self.token.get());
        write_heartbeat(&handler.heartbeat(), req.get().init_beat());
        let res = timeout(HEARTBEAT_TIMEOUT, req.send().promise);
        let res = res.await.map_err(|_| RpcError::Timeout)??;
        let res = res.get()?;
        self.token.set(res.get_token());
        let heartbeat = read_heartbeat(res.get_beat()?)?;
        handler.on_heartbeat(heartbeat.clone());
        let role = |h: &Heartbeat| (h.dispatcher, h.shard, h.shard_count);
        let new_role = role(&heartbeat);
        let old = self.last_heartbeat.replace(Some(heartbeat));
        if old.is_some_and(|old| role(&old) != new_role) {
            self.role_notify.notify_one();
        }
        Ok(())
    }

    /// Runs a job at the peer and waits until it ends. Dropping the future cancels the job there.
    ///
    /// # Errors
    ///
    /// Returns an [`RpcError`] if the connection failed; the job's outcome is then unknown.
    pub async fn run(
        &self,
        job: &JobSubmission,
        options: DispatchOptions,
    ) -> Result<DispatchReply, RpcError> {
        let mut req = self.client.run_request();
        req.get().set_may_pass(options.may_redirect);
        req.get().set_resumed(options.resumed);
        req.get().set_shard_count(options.shard_count.get());
        write_job_submission(job, req.get().init_work());
        let reply = async {
            let res = req.send().promise.await?;
            Ok::<_, RpcError>(read_dispatch_reply(res.get()?)?)
        };
        tokio::select! {
            reply = reply => reply.inspect_err(|e| {
                if !e.is_disconnected() {
                    log::warn!("links: run of {} at {} failed: {e}", job.id, self.address);
                }
                self.close();
            }),
            () = self.closed() => Err(RpcError::Timeout),
        }
    }

    /// Hands all targets except `kept` over to the peer, as the dispatcher with this epoch; returns
    /// false if the peer declines.
    ///
    /// # Errors
    ///
    /// Returns an [`RpcError`] if the peer does not answer; it may have taken the targets over.
    pub async fn hand_over(&self, epoch: u64, kept: &[TargetId]) -> Result<bool, RpcError> {
        let mut req = self.client.hand_over_request();
        req.get().set_epoch(epoch);
        let mut list = req.get().init_kept(kept.len() as u32);
        for (n, id) in kept.iter().enumerate() {
            list.set(n as u32, &*id.0);
        }
        let res = timeout(HEARTBEAT_TIMEOUT, req.send().promise);
        Ok(res.await.map_err(|_| RpcError::Timeout)??.get()?.get_taken())
    }

    /// Requests the peer's [`Snapshot`], with the targets of `zone` if one is given.
    ///
    /// # Errors
    ///
    /// Returns an [`RpcError`] if the peer does not answer.
    pub async fn snapshot(&self, zone: Option<&ZoneName>) -> Result<Snapshot, RpcError> {
        let mut req = self.client.snapshot_request();
        req.get().set_zone(zone.map_or("", |zone| zone.as_str()));
        let call = req.send().promise;
        let res = timeout(SNAPSHOT_TIMEOUT, call).await.map_err(|_| RpcError::Timeout)??;
        Ok(read_snapshot(res.get()?)?)
    }

    /// Requests the list of targets of the peer's zone.
    ///
    /// # Errors
    ///
    /// Returns an [`RpcError`] if the peer does not answer, does not know this request or can't read
    /// the list itself.
    pub async fn target_list(&self) -> Result<TargetList, RpcError> {
        let call = self.client.targets_request().send().promise;
        let res = timeout(SNAPSHOT_TIMEOUT, call).await.map_err(|_| RpcError::Timeout)??;
        let res = res.get()?;
        let age = Duration::from_millis(u64::from(res.get_age_ms()));
        Ok(TargetList { targets: res.get_targets()?.to_vec(), age })
    }
}

/// Sends heartbeats until the connection fails or the last [`Rc`] of it is dropped.
async fn send_heartbeats<H>(link: Weak<PeerLink>, handler: Weak<H>, interval: Duration)
where
    H: PeerHandler,
{
    loop {
        sleep(time_to_next(interval)).await;
        let (Some(link), Some(handler)) = (link.upgrade(), handler.upgrade()) else { return };
        if link.is_closed() {
            return;
        }
        if let Err(e) = link.exchange_heartbeats(&handler).await {
            log::info!("links: connection to {} given up: {e}", link.address);
            link.close();
            return;
        }
    }
}
