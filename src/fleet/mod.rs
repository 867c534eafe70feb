//! One VM of a site whose targets run tasks on leases: it takes callers' jobs, and may be its
//! zone's dispatcher.
//!
//! All of it runs on one thread, since such VMs have a fraction of a core. An adapter brings the
//! configuration, the lists of VMs and targets, and the calls to targets.

pub mod clock;
pub mod entry;
pub mod follow;
pub mod handover;
pub mod metrics;
pub mod notes;
pub mod own;

use crate::{
    coordination::dispatch::{
        Counts, RunRequest, SpareCpu,
        ownership::LeaseRenewal,
        replies::{LeaseRenewalError, StartReply, StopReply},
    },
    protocol::fleet::{DispatchReply, Heartbeat, Peer, Snapshot, ZoneDispatcher},
    state::{
        id::{ConfigVersion, VmName, ZoneName},
        plan::Plan,
        roster::Roster,
        target::{Report, TargetId, TargetInfo, TargetTime},
        work::Work,
    },
    transport::fleet::{DispatchOptions, PeerHandler, PeerLink},
};
use clock::Clock;
use indexmap::IndexMap;
use metrics::Metrics;
use notes::Notes;
use own::Dispatching;
use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::spawn_local};

/// The calls to targets.
pub trait Targets: 'static {
    /// Starts a run.
    fn start(
        &self,
        order: &RunRequest,
        spec: &str,
        until: TargetTime,
    ) -> impl Future<Output = StartReply>;
    /// Stops a run.
    fn stop(&self, order: &RunRequest) -> impl Future<Output = StopReply>;
    /// Extends leases and asks what ended.
    fn renew_leases(
        &self,
        hold: &LeaseRenewal,
    ) -> impl Future<Output = Result<Report, LeaseRenewalError>>;
}

/// One VM.
pub struct Node<T> {
    me: Peer,
    calls: T,
    clock: Clock,
    plan: RefCell<Option<Arc<Plan>>>,
    peers: RefCell<IndexMap<VmName, Peer>>,
    roster: RefCell<Roster>,
    list_wanted: Notify,
    dispatching: RefCell<Option<Dispatching>>,
    own: RefCell<Option<Rc<PeerLink>>>,
    others: RefCell<IndexMap<ZoneName, Rc<PeerLink>>>,
    /// Connections to dispatchers that jobs were passed to.
    passes: RefCell<IndexMap<SocketAddr, entry::Pass>>,
    hints: RefCell<IndexMap<ZoneName, SocketAddr>>,
    epoch_seen: Cell<u64>,
    /// When the process ends, once it is stopping.
    ends: Cell<Option<Instant>>,
    fetching: Cell<bool>,
    started: Instant,
    notes: RefCell<Notes>,
    metrics: Metrics,
    /// Counts of the times at which this VM was the dispatcher, but for the present one.
    past: Cell<Counts>,
}

impl<T> Node<T>
where
    T: Targets,
{
    /// A VM that knows nothing yet.
    pub fn new(me: Peer, calls: T) -> Rc<Self> {
        Rc::new(Node {
            me,
            calls,
            clock: Clock::new(),
            plan: RefCell::default(),
            peers: RefCell::default(),
            roster: RefCell::default(),
            list_wanted: Notify::new(),
            dispatching: RefCell::default(),
            own: RefCell::default(),
            others: RefCell::default(),
            passes: RefCell::default(),
            hints: RefCell::default(),
            epoch_seen: Cell::new(0),
            ends: Cell::new(None),
            fetching: Cell::new(false),
            started: Instant::now(),
            notes: RefCell::default(),
            metrics: Metrics::default(),
            past: Cell::default(),
        })
    }

    /// This VM.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Puts a configuration in force, unless a higher version is.
    pub fn configure(&self, plan: Plan, source: &str) {
        let old = self.plan_version();
        if plan.version <= old {
            return;
        }
        log::info!("config: version {} in force, from {source}, after {}", plan.version.0, old.0);
        let plan = Arc::new(plan);
        *self.plan.borrow_mut() = Some(Arc::clone(&plan));
        if let Some(dispatching) = &mut *self.dispatching.borrow_mut() {
            dispatching.core.set_config(plan);
        }
    }

    fn plan_version(&self) -> ConfigVersion {
        self.plan.borrow().as_ref().map_or(ConfigVersion(0), |plan| plan.version)
    }

    /// Takes in VMs that the platform lists.
    pub fn set_peers(&self, list: Vec<Peer>) {
        for peer in list {
            self.meet(peer);
        }
    }

    /// Forgets a VM that has left.
    pub fn forget_peer(&self, vm: &VmName) {
        self.peers.borrow_mut().shift_remove(vm);
    }

    fn meet(&self, peer: Peer) {
        if peer.vm == self.me.vm {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        match peers.get(&peer.vm) {
            Some(known) if known.incarnation >= peer.incarnation => {}
            _ => {
                log::info!("peers: {} of {} at {}", peer.vm, peer.zone, peer.address);
                peers.insert(peer.vm.clone(), peer);
            }
        }
    }

    /// The platform's list of targets was read; `None` if it is as at the last read.
    pub fn list_read(self: &Rc<Self>, list: Option<Vec<TargetInfo>>) {
        let now = self.clock.now();
        let changed = self.roster.borrow_mut().read(list, now);
        if changed || self.dispatches() {
            self.list_targets();
        }
    }

    /// The platform's list of targets could not be read.
    pub fn list_failed(&self) {
        self.roster.borrow_mut().failed();
    }

    /// Ends when the list of targets should be read at once.
    pub async fn list_wanted(&self) {
        self.list_wanted.notified().await;
    }

    fn targets_of(&self, zone: &ZoneName) -> Vec<TargetInfo> {
        let roster = self.roster.borrow();
        roster.targets().filter(|t| t.zone == *zone).cloned().collect()
    }

    fn zone_targets(&self) -> Vec<TargetInfo> {
        self.targets_of(&self.me.zone)
    }

    /// VMs of this zone but this one, the strongest first.
    fn zone_peers(&self) -> Vec<Peer> {
        let peers = self.peers.borrow();
        let mut found: Vec<Peer> =
            peers.values().filter(|p| p.zone == self.me.zone).cloned().collect();
        found.sort_by(|a, b| follow::rank(a).cmp(&follow::rank(b)));
        found
    }

    /// Whether new requests should be sent here.
    pub fn is_ready(&self) -> bool {
        let serves = self.dispatches() || self.own_link().is_some();
        self.plan.borrow().is_some() && serves && !self.is_leaving()
    }

    /// Whether this VM is its zone's dispatcher.
    pub fn dispatches(&self) -> bool {
        self.dispatching.borrow().as_ref().is_some_and(|d| d.successor.is_none())
    }

    /// Whether this VM is stopping.
    pub fn is_leaving(&self) -> bool {
        self.ends.get().is_some()
    }

    /// Is not ready any more and hands its zone over; jobs in progress are run to their end. The
    /// process ends after `span`: what can't be done by then is refused.
    pub fn leave(self: &Rc<Self>, span: Duration) {
        self.ends.set(Some(Instant::now() + span));
        spawn_local(Rc::clone(self).retire());
    }

    fn own_link(&self) -> Option<Rc<PeerLink>> {
        self.own.borrow().clone().filter(|link| !link.is_closed())
    }

    fn dispatcher_address(&self) -> Option<SocketAddr> {
        if let Some(d) = &*self.dispatching.borrow() {
            return Some(d.successor.unwrap_or(self.me.address));
        }
        self.own_link().map(|link| link.address)
    }

    fn fetch_plan(self: &Rc<Self>, from: SocketAddr) {
        if self.fetching.replace(true) {
            return;
        }
        let node = Rc::clone(self);
        spawn_local(async move {
            let res = node.fetch_snapshot(from).await;
            node.fetching.set(false);
            if let Err(e) = res {
                log::warn!("config: not fetched from {from}: {e}");
            }
        });
    }

    /// Takes over what a peer knows.
    ///
    /// # Errors
    ///
    /// An [`crate::transport::rpc::RpcError`].
    pub async fn fetch_snapshot(
        self: &Rc<Self>,
        from: SocketAddr,
    ) -> Result<(), crate::transport::rpc::RpcError> {
        let link = PeerLink::connect(self, from, follow::SLOW_BEAT).await?;
        let zone = self.zone_targets().is_empty().then_some(&self.me.zone);
        let snapshot = link.snapshot(zone).await?;
        self.set_peers(snapshot.peers);
        self.learn_targets(&snapshot.targets, from);
        if snapshot.version > self.plan_version() {
            match serde_json::from_slice::<Plan>(&snapshot.config) {
                Ok(plan) => self.configure(plan, "a peer"),
                Err(e) => log::warn!("config: version {} from {from}: {e}", snapshot.version.0),
            }
        }
        Ok(())
    }

    fn learn_targets(self: &Rc<Self>, encoded: &[u8], from: SocketAddr) {
        if encoded.is_empty() {
            return;
        }
        match serde_json::from_slice::<Vec<TargetInfo>>(encoded) {
            Ok(list) => {
                log::info!("targets: {} known from the VM at {from}", list.len());
                if self.roster.borrow_mut().learn(list) {
                    self.list_targets();
                }
            }
            Err(e) => log::warn!("targets: list from {from}: {e}"),
        }
    }
}

impl<T> PeerHandler for Node<T>
where
    T: Targets,
{
    fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let (epoch, spare_cpu) = match &*self.dispatching.borrow() {
            Some(d) if d.successor.is_none() => (d.epoch, d.core.spare_cpu(now)),
            _ => (0, SpareCpu::default()),
        };
        let hints = self.hints.borrow();
        let zones = hints
            .iter()
            .map(|(zone, address)| ZoneDispatcher { zone: zone.clone(), address: *address });
        Heartbeat {
            from: self.me.clone(),
            config_version: self.plan_version(),
            dispatcher: self.dispatcher_address(),
            epoch,
            spare_cpu,
            zones: zones.collect(),
            leaving: self.is_leaving(),
        }
    }

    fn on_heartbeat(self: &Rc<Self>, beat: Heartbeat) {
        if beat.config_version > self.plan_version() {
            self.fetch_plan(beat.from.address);
        }
        self.meet(beat.from.clone());
        self.epoch_seen.set(self.epoch_seen.get().max(beat.epoch));
        if beat.from.zone == self.me.zone {
            for zone in &beat.zones {
                self.hints.borrow_mut().insert(zone.zone.clone(), zone.address);
            }
            if beat.is_from_dispatcher() {
                self.meet_dispatcher(&beat);
            }
        } else if beat.is_from_dispatcher() {
            self.hints.borrow_mut().insert(beat.from.zone.clone(), beat.from.address);
            self.neighbour(&beat);
        }
    }

    async fn run(self: &Rc<Self>, work: Work, how: DispatchOptions) -> DispatchReply {
        self.run_here(work, how).await
    }

    fn take_over(self: &Rc<Self>, epoch: u64, kept: Vec<TargetId>) -> bool {
        self.succeed(epoch, kept)
    }

    fn snapshot(&self, zone: Option<ZoneName>) -> Snapshot {
        let targets = zone.map(|zone| serde_json::to_vec(&self.targets_of(&zone)));
        let targets = targets.transpose().unwrap_or_else(|e| {
            log::error!("targets: not encoded: {e}");
            None
        });
        let plan = self.plan.borrow();
        let mut peers: Vec<Peer> = self.peers.borrow().values().cloned().collect();
        peers.push(self.me.clone());
        let encoded = plan.as_ref().map(|plan| serde_json::to_vec(&**plan));
        let (version, config) = match encoded {
            Some(Ok(bytes)) => (self.plan_version(), bytes),
            Some(Err(e)) => {
                log::error!("config: version {} not encoded: {e}", self.plan_version().0);
                (ConfigVersion(0), Vec::new())
            }
            None => (ConfigVersion(0), Vec::new()),
        };
        Snapshot { version, config, peers, targets: targets.unwrap_or_default() }
    }
}
