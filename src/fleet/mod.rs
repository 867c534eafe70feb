//! An entry VM of a site whose targets run tasks on leases: takes callers' jobs, and may be elected
//! as the dispatcher of its zone.
//!
//! Everything runs on one thread, since these VMs have a fraction of a core. The caller of this
//! module supplies the configuration, the lists of VMs and targets, and a client for targets.

pub mod clock;
pub mod entry;
pub mod follow;
pub mod handover;
pub mod metrics;
pub mod notes;
pub mod own;

use crate::{
    coordination::dispatch::{
        Counts, Order, Spare,
        own::Hold,
        replies::{HoldError, StartReply, StopReply},
    },
    protocol::fleet::{Beat, Handled, Peer, Snapshot, ZoneDispatcher},
    state::{
        id::{ConfigVersion, VmName, ZoneName},
        plan::Plan,
        roster::Roster,
        target::{Report, TargetId, TargetInfo, TargetTime},
        work::Work,
    },
    transport::fleet::{Handed, Host, Link},
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

/// A client for requests to targets.
pub trait Targets: 'static {
    /// Starts a run of a task. `spec` is what the target should run, `until` the end of the run's
    /// lease on the target's clock.
    fn start(
        &self,
        order: &Order,
        spec: &str,
        until: TargetTime,
    ) -> impl Future<Output = StartReply>;
    /// Stops a run.
    fn stop(&self, order: &Order) -> impl Future<Output = StopReply>;
    /// Renews the leases on a target, and asks which of its runs have ended.
    fn hold(&self, hold: &Hold) -> impl Future<Output = Result<Report, HoldError>>;
}

/// An entry VM.
pub struct Node<T> {
    me: Peer,
    calls: T,
    clock: Clock,
    plan: RefCell<Option<Arc<Plan>>>,
    peers: RefCell<IndexMap<VmName, Peer>>,
    roster: RefCell<Roster>,
    /// Signals that the list of targets should be read at once.
    list_wanted: Notify,
    /// State of the dispatcher, while this VM is its zone's.
    dispatching: RefCell<Option<Dispatching>>,
    /// Connection to the dispatcher of this VM's zone, while that is another VM.
    own: RefCell<Option<Rc<Link>>>,
    /// Connections to the dispatchers of other zones.
    others: RefCell<IndexMap<ZoneName, Rc<Link>>>,
    /// Connections to dispatchers of other zones for redirected jobs.
    passes: RefCell<IndexMap<SocketAddr, entry::Pass>>,
    /// Addresses of the other zones' dispatchers, as last reported; may be out of date.
    dispatcher_hints: RefCell<IndexMap<ZoneName, SocketAddr>>,
    /// Highest epoch of a dispatcher seen so far.
    highest_epoch: Cell<u64>,
    /// When the process exits, once it is stopping.
    exits_at: Cell<Option<Instant>>,
    /// Whether the configuration is being fetched from a peer.
    fetching: Cell<bool>,
    started: Instant,
    notes: RefCell<Notes>,
    metrics: Metrics,
    /// Counts of the earlier periods in which this VM was the dispatcher.
    past_counts: Cell<Counts>,
}

impl<T> Node<T>
where
    T: Targets,
{
    /// Creates a VM without configuration, peers and targets.
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
            dispatcher_hints: RefCell::default(),
            highest_epoch: Cell::new(0),
            exits_at: Cell::new(None),
            fetching: Cell::new(false),
            started: Instant::now(),
            notes: RefCell::default(),
            metrics: Metrics::default(),
            past_counts: Cell::default(),
        })
    }

    /// Name, zone and address of this VM, as its peers see it.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// The fleet configuration in force, `None` before the first one is known.
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Puts a fleet configuration in force if its version is higher than the present one. `source`
    /// names its origin in the log.
    pub fn configure(&self, plan: Plan, source: &str) {
        let old = self.plan_version();
        if plan.version <= old {
            return;
        }
        log::info!("config: version {} in force, from {source}, was {}", plan.version.0, old.0);
        let plan = Arc::new(plan);
        *self.plan.borrow_mut() = Some(Arc::clone(&plan));
        if let Some(dispatching) = &mut *self.dispatching.borrow_mut() {
            dispatching.core.configure(plan);
        }
    }

    fn plan_version(&self) -> ConfigVersion {
        self.plan.borrow().as_ref().map_or(ConfigVersion(0), |plan| plan.version)
    }

    /// Adds VMs from the platform's list to the known peers, and updates those that were restarted.
    pub fn set_peers(&self, list: Vec<Peer>) {
        for peer in list {
            self.add_peer(peer);
        }
    }

    /// Removes a VM that has left from the known peers.
    pub fn forget_peer(&self, vm: &VmName) {
        self.peers.borrow_mut().shift_remove(vm);
    }

    /// Adds or updates a peer, unless the same or a later incarnation of it is known.
    fn add_peer(&self, peer: Peer) {
        if peer.vm == self.me.vm {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        match peers.get(&peer.vm) {
            Some(known) if known.incarnation >= peer.incarnation => {}
            _ => {
                log::info!("peers: added {} of {} at {}", peer.vm, peer.zone, peer.address);
                peers.insert(peer.vm.clone(), peer);
            }
        }
    }

    /// Takes in the platform's list of targets; `None` if it has not changed since the last read.
    pub fn list_read(self: &Rc<Self>, list: Option<Vec<TargetInfo>>) {
        let now = self.clock.now();
        let changed = self.roster.borrow_mut().read(list, now);
        if changed || self.dispatches() {
            self.list_targets();
        }
    }

    /// Records that the platform's list of targets could not be read.
    pub fn list_failed(&self) {
        self.roster.borrow_mut().failed();
    }

    /// Waits until the list of targets should be read at once.
    pub async fn list_wanted(&self) {
        self.list_wanted.notified().await;
    }

    fn targets_in(&self, zone: &ZoneName) -> Vec<TargetInfo> {
        let roster = self.roster.borrow();
        roster.targets().filter(|t| t.zone == *zone).cloned().collect()
    }

    fn zone_targets(&self) -> Vec<TargetInfo> {
        self.targets_in(&self.me.zone)
    }

    /// The other known VMs of this zone, the one with the largest processor share first.
    fn zone_peers(&self) -> Vec<Peer> {
        let peers = self.peers.borrow();
        let mut found: Vec<Peer> =
            peers.values().filter(|p| p.zone == self.me.zone).cloned().collect();
        found.sort_by(|a, b| follow::rank(a).cmp(&follow::rank(b)));
        found
    }

    /// Whether new requests should be sent to this VM: it has a configuration, its zone has a
    /// dispatcher, and it is not leaving.
    pub fn is_ready(&self) -> bool {
        let has_dispatcher = self.dispatches() || self.own_link().is_some();
        self.plan.borrow().is_some() && has_dispatcher && !self.is_leaving()
    }

    /// Whether this VM is its zone's dispatcher and has not handed the zone over.
    pub fn dispatches(&self) -> bool {
        self.dispatching.borrow().as_ref().is_some_and(|d| d.successor.is_none())
    }

    /// Whether this VM is leaving: its process is about to exit.
    pub fn is_leaving(&self) -> bool {
        self.exits_at.get().is_some()
    }

    /// Starts to leave: this VM is no longer ready, and hands its zone over if it is the
    /// dispatcher. Jobs in progress are run to their end. The process exits after `span`; jobs that
    /// can't be done by then are refused.
    pub fn leave(self: &Rc<Self>, span: Duration) {
        self.exits_at.set(Some(Instant::now() + span));
        spawn_local(Rc::clone(self).retire());
    }

    /// The connection to this zone's dispatcher, if that is another VM and it is open.
    fn own_link(&self) -> Option<Rc<Link>> {
        self.own.borrow().clone().filter(|link| !link.is_closed())
    }

    /// Address of this zone's dispatcher: this VM, its successor or the VM that it is connected to.
    fn dispatcher_address(&self) -> Option<SocketAddr> {
        if let Some(d) = &*self.dispatching.borrow() {
            return Some(d.successor.unwrap_or(self.me.address));
        }
        self.own_link().map(|link| link.address)
    }

    /// Starts to fetch the configuration from a peer, unless that is in progress.
    fn fetch_plan(self: &Rc<Self>, from: SocketAddr) {
        if self.fetching.replace(true) {
            return;
        }
        let node = Rc::clone(self);
        spawn_local(async move {
            let res = node.fetch_snapshot(from).await;
            node.fetching.set(false);
            if let Err(e) = res {
                log::warn!("config: can't be fetched from {from}: {e}");
            }
        });
    }

    /// Fetches a peer's configuration, list of VMs and, if none are known here, the zone's targets.
    ///
    /// # Errors
    ///
    /// [`crate::transport::rpc::RpcError`] if the peer can't be reached or does not answer.
    pub async fn fetch_snapshot(
        self: &Rc<Self>,
        from: SocketAddr,
    ) -> Result<(), crate::transport::rpc::RpcError> {
        let link = Link::connect(self, from, follow::SLOW_BEAT).await?;
        let zone = self.zone_targets().is_empty().then_some(&self.me.zone);
        let snapshot = link.snapshot(zone).await?;
        self.set_peers(snapshot.peers);
        self.add_targets(&snapshot.targets, from);
        if snapshot.version > self.plan_version() {
            match serde_json::from_slice::<Plan>(&snapshot.plan) {
                Ok(plan) => self.configure(plan, "a peer"),
                Err(e) => log::warn!("config: bad version {} from {from}: {e}", snapshot.version.0),
            }
        }
        Ok(())
    }

    /// Adds the targets that a peer knows, encoded as JSON; empty if it sent none.
    fn add_targets(self: &Rc<Self>, encoded: &[u8], from: SocketAddr) {
        if encoded.is_empty() {
            return;
        }
        match serde_json::from_slice::<Vec<TargetInfo>>(encoded) {
            Ok(list) => {
                log::info!("targets: {} received from the VM at {from}", list.len());
                if self.roster.borrow_mut().learn(list) {
                    self.list_targets();
                }
            }
            Err(e) => log::warn!("targets: list from {from} can't be decoded: {e}"),
        }
    }
}

impl<T> Host for Node<T>
where
    T: Targets,
{
    fn beat(&self) -> Beat {
        let now = self.clock.now();
        let (epoch, spare) = match &*self.dispatching.borrow() {
            Some(d) if d.successor.is_none() => (d.epoch, d.core.spare(now)),
            _ => (0, Spare::default()),
        };
        let hints = self.dispatcher_hints.borrow();
        let zones = hints
            .iter()
            .map(|(zone, address)| ZoneDispatcher { zone: zone.clone(), address: *address });
        Beat {
            from: self.me.clone(),
            plan_version: self.plan_version(),
            dispatcher: self.dispatcher_address(),
            epoch,
            spare,
            zones: zones.collect(),
            leaving: self.is_leaving(),
        }
    }

    fn heard(self: &Rc<Self>, beat: Beat) {
        if beat.plan_version > self.plan_version() {
            self.fetch_plan(beat.from.address);
        }
        self.add_peer(beat.from.clone());
        self.highest_epoch.set(self.highest_epoch.get().max(beat.epoch));
        if beat.from.zone == self.me.zone {
            for zone in &beat.zones {
                self.dispatcher_hints.borrow_mut().insert(zone.zone.clone(), zone.address);
            }
            if beat.dispatches() {
                self.meet_dispatcher(&beat);
            }
        } else if beat.dispatches() {
            self.dispatcher_hints.borrow_mut().insert(beat.from.zone.clone(), beat.from.address);
            self.neighbour(&beat);
        }
    }

    async fn run(self: &Rc<Self>, work: Work, options: Handed) -> Handled {
        self.run_here(work, options).await
    }

    fn take_over(self: &Rc<Self>, epoch: u64, kept: Vec<TargetId>) -> bool {
        self.succeed(epoch, kept)
    }

    fn snapshot(&self, zone: Option<ZoneName>) -> Snapshot {
        let targets = zone.map(|zone| serde_json::to_vec(&self.targets_in(&zone)));
        let targets = targets.transpose().unwrap_or_else(|e| {
            log::error!("targets: list can't be encoded: {e}");
            None
        });
        let plan = self.plan.borrow();
        let mut peers: Vec<Peer> = self.peers.borrow().values().cloned().collect();
        peers.push(self.me.clone());
        let encoded = plan.as_ref().map(|plan| serde_json::to_vec(&**plan));
        let (version, plan) = match encoded {
            Some(Ok(bytes)) => (self.plan_version(), bytes),
            Some(Err(e)) => {
                log::error!("config: version {} can't be encoded: {e}", self.plan_version().0);
                (ConfigVersion(0), Vec::new())
            }
            None => (ConfigVersion(0), Vec::new()),
        };
        Snapshot { version, plan, peers, targets: targets.unwrap_or_default() }
    }
}
