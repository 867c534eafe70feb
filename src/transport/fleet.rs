//! Connections among VMs that run jobs on leased targets.
//!
//! The connecting side sends beats. Either side gives the connection up when none has come for a
//! while, and a job handed over on it is then stopped by one side and answered as unknown by the
//! other.

use super::rpc::{RpcError, connect_within, serve_each};
use crate::{
    fleet_capnp::peer,
    protocol::fleet::{
        Beat, Handled, Snapshot, read_beat, read_handled, read_peer, read_work, write_beat,
        write_handled, write_peer, write_work,
    },
    state::{
        id::{ConfigVersion, ZoneName},
        job_submission::{JobSubmission, Outcome},
        target::TargetId,
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
    time::{Instant, sleep, timeout},
};

/// Longest wait for a connection; round trips are a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the answer to a beat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection on which no beat came for this long is given up by the side that serves it; longer
/// than a beat's interval and timeout, so that the other side gives up first.
const SILENCE: Duration = Duration::from_millis(650);
/// Longest wait for what a VM knows.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How a job is handed over.
#[derive(Clone, Copy, Debug)]
pub struct Handed {
    /// Whether it may be passed on to another zone.
    pub may_pass: bool,
    /// Whether it may have run under an earlier dispatcher of the zone.
    pub resumed: bool,
}

/// What a VM does for those that connect to it.
pub trait Host: 'static {
    /// What it says of itself.
    fn beat(&self) -> Beat;
    /// Takes in what a peer said of itself.
    fn heard(self: &Rc<Self>, beat: Beat);
    /// Runs a job.
    fn run(self: &Rc<Self>, work: JobSubmission, how: Handed) -> impl Future<Output = Handled>;
    /// Succeeds the dispatcher with this epoch on all targets but those it keeps; false if it won't.
    fn take_over(self: &Rc<Self>, epoch: u64, kept: Vec<TargetId>) -> bool;
    /// What it knows, and the targets of a zone.
    fn snapshot(&self, zone: Option<ZoneName>) -> Snapshot;
}

struct Served<H> {
    host: Rc<H>,
    since: Instant,
    /// The latest moment at which the other side surely lived, after `since`.
    alive: Cell<Duration>,
}

impl<H> Served<H> {
    async fn silence(&self) {
        loop {
            let quiet = self.since.elapsed() - self.alive.get();
            if quiet >= SILENCE {
                return;
            }
            sleep(SILENCE - quiet).await;
        }
    }
}

impl<H> peer::Server for Served<H>
where
    H: Host,
{
    async fn beat(
        self: Rc<Self>,
        params: peer::BeatParams,
        mut results: peer::BeatResults,
    ) -> Result<(), capnp::Error> {
        // A beat may have been on its way for long, but it was sent after the token that it repeats.
        let params = params.get()?;
        let proved = Duration::from_millis(params.get_echo());
        self.alive.set(self.alive.get().max(proved.min(self.since.elapsed())));
        self.host.heard(read_beat(params.get_beat()?)?);
        let mut results = results.get();
        results.set_token(self.since.elapsed().as_millis() as u64);
        write_beat(&self.host.beat(), results.init_beat());
        Ok(())
    }

    async fn run(
        self: Rc<Self>,
        params: peer::RunParams,
        mut results: peer::RunResults,
    ) -> Result<(), capnp::Error> {
        let may_pass = params.get()?.get_may_pass();
        let how = Handed { may_pass, resumed: params.get()?.get_resumed() };
        let work = read_work(params.get()?.get_work()?)?;
        let handled = tokio::select! {
            handled = self.host.run(work, how) => handled,
            () = self.silence() => Handled::Ended(Outcome::Unknown),
        };
        write_handled(handled, results.get());
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: peer::HandOverParams,
        mut results: peer::HandOverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let mut kept = Vec::new();
        for id in params.get_kept()? {
            kept.push(TargetId::from(id?.to_str()?));
        }
        let taken = self.host.take_over(params.get_epoch(), kept);
        results.get().set_taken(taken);
        Ok(())
    }

    async fn snapshot(
        self: Rc<Self>,
        params: peer::SnapshotParams,
        mut results: peer::SnapshotResults,
    ) -> Result<(), capnp::Error> {
        let zone = params.get()?.get_zone()?.to_str()?;
        let snapshot = self.host.snapshot(zone.parse().ok());
        let mut results = results.get();
        results.set_plan_version(snapshot.version.0);
        results.set_plan(&snapshot.plan);
        results.set_targets(&snapshot.targets);
        let mut peers = results.init_members(snapshot.peers.len() as u32);
        for (n, peer) in snapshot.peers.iter().enumerate() {
            write_peer(peer, peers.reborrow().get(n as u32));
        }
        Ok(())
    }
}

/// Serves a VM's peers.
pub async fn serve<H>(listener: TcpListener, host: Rc<H>)
where
    H: Host,
{
    let make = || -> peer::Client {
        let host = Rc::clone(&host);
        capnp_rpc::new_client(Served { host, since: Instant::now(), alive: Cell::default() })
    };
    serve_each(listener, make).await;
}

/// A connection to a peer, kept by beats.
pub struct Link {
    /// The peer's address.
    pub address: SocketAddr,
    client: peer::Client,
    last: RefCell<Option<Beat>>,
    /// The last token that the peer sent.
    token: Cell<u64>,
    closed: Cell<bool>,
    closing: Notify,
}

impl Link {
    /// Connects, and beats every `interval` from then on.
    ///
    /// # Errors
    ///
    /// An [`RpcError`].
    pub async fn connect<H>(
        host: &Rc<H>,
        address: SocketAddr,
        interval: Duration,
    ) -> Result<Rc<Self>, RpcError>
    where
        H: Host,
    {
        let client = connect_within(address, CONNECT_TIMEOUT, BEAT_TIMEOUT).await?;
        let link = Rc::new(Link {
            address,
            client,
            last: RefCell::default(),
            token: Cell::new(0),
            closed: Cell::new(false),
            closing: Notify::new(),
        });
        link.exchange(host).await?;
        spawn_local(keep(Rc::downgrade(&link), Rc::downgrade(host), interval));
        Ok(link)
    }

    /// What the peer said last.
    pub fn last(&self) -> Option<Beat> {
        self.last.borrow().clone()
    }

    /// Whether it was given up.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Ends when the connection is given up.
    pub async fn closed(&self) {
        while !self.closed.get() {
            self.closing.notified().await;
        }
    }

    fn close(&self) {
        self.closed.set(true);
        self.closing.notify_waiters();
    }

    async fn exchange<H>(&self, host: &Rc<H>) -> Result<(), RpcError>
    where
        H: Host,
    {
        let mut req = self.client.beat_request();
        req.get().set_echo(self.token.get());
        write_beat(&host.beat(), req.get().init_beat());
        let res = timeout(BEAT_TIMEOUT, req.send().promise);
        let res = res.await.map_err(|_| RpcError::Timeout)??;
        let res = res.get()?;
        self.token.set(res.get_token());
        let beat = read_beat(res.get_beat()?)?;
        host.heard(beat.clone());
        *self.last.borrow_mut() = Some(beat);
        Ok(())
    }

    /// Has the peer run a job. Dropping the future cancels the job there.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if the connection was given up: what became of the job is unknown.
    pub async fn run(&self, work: &JobSubmission, how: Handed) -> Result<Handled, RpcError> {
        let mut req = self.client.run_request();
        req.get().set_may_pass(how.may_pass);
        req.get().set_resumed(how.resumed);
        write_work(work, req.get().init_work());
        let answer = async {
            let res = req.send().promise.await?;
            Ok::<_, RpcError>(read_handled(res.get()?)?)
        };
        tokio::select! {
            answer = answer => answer.inspect_err(|e| {
                if !e.is_disconnected() {
                    log::warn!("links: run of {} at {} failed: {e}", work.id, self.address);
                }
                self.close();
            }),
            () = self.closed() => Err(RpcError::Timeout),
        }
    }

    /// Hands all targets but those `kept` over to the peer; false if it does not take them.
    ///
    /// # Errors
    ///
    /// An [`RpcError`].
    pub async fn hand_over(&self, epoch: u64, kept: &[TargetId]) -> Result<bool, RpcError> {
        let mut req = self.client.hand_over_request();
        req.get().set_epoch(epoch);
        let mut list = req.get().init_kept(kept.len() as u32);
        for (n, id) in kept.iter().enumerate() {
            list.set(n as u32, &*id.0);
        }
        let res = timeout(BEAT_TIMEOUT, req.send().promise);
        Ok(res.await.map_err(|_| RpcError::Timeout)??.get()?.get_taken())
    }

    /// What the peer knows, with the targets of a zone.
    ///
    /// # Errors
    ///
    /// An [`RpcError`].
    pub async fn snapshot(&self, zone: Option<&ZoneName>) -> Result<Snapshot, RpcError> {
        let mut req = self.client.snapshot_request();
        req.get().set_zone(zone.map_or("", |zone| zone.as_str()));
        let call = req.send().promise;
        let res = timeout(SNAPSHOT_TIMEOUT, call).await.map_err(|_| RpcError::Timeout)??;
        let res = res.get()?;
        let peers = res.get_members()?.iter().map(read_peer).collect::<Result<_, _>>()?;
        Ok(Snapshot {
            version: ConfigVersion(res.get_plan_version()),
            plan: res.get_plan()?.to_vec(),
            peers,
            targets: res.get_targets()?.to_vec(),
        })
    }
}

/// Beats until the connection fails or nobody uses it.
async fn keep<H>(link: Weak<Link>, host: Weak<H>, interval: Duration)
where
    H: Host,
{
    loop {
        sleep(interval).await;
        let (Some(link), Some(host)) = (link.upgrade(), host.upgrade()) else { return };
        if link.is_closed() {
            return;
        }
        if let Err(e) = link.exchange(&host).await {
            log::info!("links: connection to {} given up: {e}", link.address);
            link.close();
            return;
        }
    }
}
