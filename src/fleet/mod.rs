//! An entry VM of a site whose targets run tasks on leases: takes callers' jobs, and may be elected
//! as the dispatcher of its zone.
//!
//! Everything runs on one thread, since these VMs have a fraction of a core. The caller of this
//! module supplies the configuration, the lists of VMs and targets, and a client for targets.

pub mod callers;
pub mod clock;
pub mod decision_log;
pub mod dispatcher;
pub mod election;
pub mod entry;
pub mod evacuation;
pub mod handover;
pub mod metrics;
pub mod shards;
mod target_list;

use crate::{
    coordination::dispatch::{
        Counts, RunRequest,
        ownership::LeaseRenewal,
        replies::{LeaseRenewalError, StartReply, StopReply},
        submitters::SubmitterId,
        timing::Timing,
    },
    protocol::fleet::{DispatchReply, Heartbeat, Peer, Snapshot, TargetList, ZoneDispatcher},
    state::{
        caller_limits::CallerLimits,
        crash_history::CrashHistory,
        evacuation::Evacuations,
        fleet_config::FleetConfig,
        id::{ConfigVersion, VmName, ZoneName},
        job_submission::JobSubmission,
        known_targets::KnownTargets,
        mechanism::{Mechanism, MechanismSet},
        target::{TargetId, TargetReport, TargetTime},
        time::Moment,
    },
    transport::{
        fleet::{DispatchOptions, PeerHandler, PeerLink, Submitter},
        received_job::{ReceivedJob, ReceivedJobEvent},
    },
};
use callers::CallerResources;
use clock::Clock;
use decision_log::DecisionLog;
use dispatcher::DispatcherState;
use indexmap::IndexMap;
use metrics::Metrics;
use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::spawn_local};

/// Time for which heartbeats repeat a loss, so that followers learn of it although a heartbeat is
/// lost; four heartbeats.
const LOSS_REPORT_SPAN: Duration = Duration::from_millis(500);

/// A client for requests to targets.
pub trait TargetClient: 'static {
    /// Starts a run of a task. `spec` is what the target should run, `lease_end` the end of the
    /// run's lease on the target's clock.
    fn start(
        &self,
        request: &RunRequest,
        spec: &str,
        lease_end: TargetTime,
    ) -> impl Future<Output = StartReply>;
    /// Stops a run.
    fn stop(&self, request: &RunRequest) -> impl Future<Output = StopReply>;
    /// Renews the leases on a target, and asks which of its runs have ended.
    fn renew_leases(
        &self,
        renewal: &LeaseRenewal,
    ) -> impl Future<Output = Result<TargetReport, LeaseRenewalError>>;
}

/// An entry VM.
pub struct Node<T> {
    me: Peer,
    targets: T,
    timing: Timing,
    /// Mechanisms that are switched off.
    disabled: MechanismSet,
    clock: Clock,
    config: RefCell<Option<Arc<FleetConfig>>>,
    evacuations: RefCell<Evacuations>,
    /// When the evacuated zones were last read from the store or accepted from a peer.
    evacuations_confirmed_at: Cell<Moment>,
    peers: RefCell<IndexMap<VmName, Peer>>,
    /// Whether a list of VMs was read.
    knows_peers: Cell<bool>,
    known_targets: RefCell<KnownTargets>,
    /// Signals that the list of targets should be read at once.
    targets_wanted: Notify,
    /// The shards of this zone and the connections to their dispatchers.
    division: shards::Division,
    /// Losses of targets that dispatchers have reported, while this VM is none.
    crash_history: RefCell<CrashHistory>,
    /// State of the dispatcher, while this VM is one.
    dispatcher: RefCell<Option<DispatcherState>>,
    /// Connections to the dispatchers of other zones.
    zone_links: RefCell<IndexMap<ZoneName, Rc<PeerLink>>>,
    /// Connections to dispatchers of other zones for redirected jobs.
    redirect_links: RefCell<IndexMap<SocketAddr, entry::RedirectLink>>,
    /// Addresses of the other zones' dispatchers, as last reported; may be out of date.
    dispatcher_hints: RefCell<IndexMap<ZoneName, SocketAddr>>,
    /// Highest epoch of a dispatcher seen so far.
    highest_epoch: Cell<u64>,
    /// When the process exits, once it is stopping.
    exits_at: Cell<Option<Instant>>,
    /// Signals that [`Node::exits_at`] is set.
    leaving: Notify,
    /// Whether the configuration is being fetched from a peer.
    fetching_config: Cell<bool>,
    started: Instant,
    callers: CallerResources,
    decision_log: RefCell<DecisionLog>,
    metrics: Metrics,
    /// Counts of the earlier periods in which this VM was the dispatcher.
    past_counts: Cell<Counts>,
}

impl<T> Node<T>
where
    T: TargetClient,
{
    /// Creates a VM without configuration, peers and targets, and with the usual limits on callers. The
    /// mechanisms in `disabled` are switched off.
    pub fn new(me: Peer, targets: T, timing: Timing, disabled: MechanismSet) -> Rc<Self> {
        Node::with_limits(me, targets, timing, disabled, CallerLimits::default())
    }

    /// As [`Node::new`], with other limits on what callers may use.
    pub fn with_limits(
        me: Peer,
        targets: T,
        timing: Timing,
        disabled: MechanismSet,
        limits: CallerLimits,
    ) -> Rc<Self> {
        Rc::new(Node {
            me,
            targets,
            timing,
            disabled,
            clock: Clock::new(),
            config: RefCell::default(),
            evacuations: RefCell::default(),
            evacuations_confirmed_at: Cell::default(),
            peers: RefCell::default(),
            knows_peers: Cell::default(),
            known_targets: RefCell::default(),
            targets_wanted: Notify::new(),
            division: shards::Division::default(),
            crash_history: RefCell::default(),
            dispatcher: RefCell::default(),
            zone_links: RefCell::default(),
            redirect_links: RefCell::default(),
            dispatcher_hints: RefCell::default(),
            highest_epoch: Cell::new(0),
            exits_at: Cell::new(None),
            leaving: Notify::new(),
            fetching_config: Cell::new(false),
            started: Instant::now(),
            callers: CallerResources::new(limits),
            decision_log: RefCell::default(),
            metrics: Metrics::default(),
            past_counts: Cell::default(),
        })
    }

    fn enables(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(mechanism)
    }

    /// Name, zone and address of this VM, as its peers see it.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// The fleet configuration in force, `None` before the first one is known.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Puts a fleet configuration in force if its version is higher than the current one. `source`
    /// names its origin in the log.
    pub fn set_config(&self, config: FleetConfig, source: &str) {
        let old = self.config_version();
        if config.version <= old {
            return;
        }
        let timeouts = config.queues.iter().map(|queue| queue.timeout);
        log::info!(
            "config: version {} in force, from {source}, was {}, queues={} timeouts={:?}..{:?}",
            config.version.0,
            old.0,
            config.queues.len(),
            timeouts.clone().min().unwrap_or_default(),
            timeouts.max().unwrap_or_default()
        );
        let config = Arc::new(config);
        *self.config.borrow_mut() = Some(Arc::clone(&config));
        if let Some(dispatcher) = &mut *self.dispatcher.borrow_mut() {
            dispatcher.core.set_config(config);
        }
    }

    fn config_version(&self) -> ConfigVersion {
        self.config.borrow().as_ref().map_or(ConfigVersion(0), |config| config.version)
    }

    /// Adds VMs from the platform's list to the known peers, and updates those that were restarted.
    pub fn add_peers(self: &Rc<Self>, list: Vec<Peer>) {
        self.knows_peers.set(true);
        let mut changed = false;
        for peer in list {
            changed |= self.add_peer(peer);
        }
        if changed {
            self.count_shards();
        }
    }

    /// Adds or updates a peer, unless the same or a later incarnation of it is known. Returns whether
    /// it did.
    fn add_peer(&self, peer: Peer) -> bool {
        if peer.vm == self.me.vm {
            return false;
        }
        let mut peers = self.peers.borrow_mut();
        match peers.get(&peer.vm) {
            Some(known) if known.incarnation >= peer.incarnation => false,
            _ => {
                log::info!("peers: added {} of {} at {}", peer.vm, peer.zone, peer.address);
                peers.insert(peer.vm.clone(), peer);
                true
            }
        }
    }

    /// The other known VMs of this zone, the one with the largest processor share first.
    fn zone_peers(&self) -> Vec<Peer> {
        self.peers_in(&self.me.zone)
    }

    fn peers_in(&self, zone: &ZoneName) -> Vec<Peer> {
        let peers = self.peers.borrow();
        let mut found: Vec<Peer> = peers.values().filter(|p| p.zone == *zone).cloned().collect();
        found.sort_by_key(election::rank);
        found
    }

    /// Whether new requests should be sent to this VM: it has a configuration, a shard of its zone has
    /// a dispatcher, and it is not leaving.
    pub fn is_ready(&self) -> bool {
        let has_dispatcher = self.is_dispatcher() || !self.open_shard_links().is_empty();
        self.config.borrow().is_some() && has_dispatcher && !self.is_leaving()
    }

    /// Whether this VM dispatches a shard of its zone and has not handed it over.
    pub fn is_dispatcher(&self) -> bool {
        self.dispatcher.borrow().as_ref().is_some_and(|d| d.successor.is_none())
    }

    /// Whether this VM is leaving: its process is about to exit.
    pub fn is_leaving(&self) -> bool {
        self.exits_at.get().is_some()
    }

    /// Starts to leave: this VM is no longer ready, and hands its shard over if it is a
    /// dispatcher. Jobs in progress are run to their end. The process exits after `span`; jobs that
    /// can't be done by then are refused.
    pub fn leave(self: &Rc<Self>, span: Duration) {
        self.exits_at.set(Some(Instant::now() + span));
        self.leaving.notify_waiters();
        spawn_local(Rc::clone(self).hand_over_zone());
    }

    /// Address of the dispatcher of this VM's shard: this VM, its successor or the VM that it is
    /// connected to.
    fn dispatcher_address(&self) -> Option<SocketAddr> {
        if let Some(d) = &*self.dispatcher.borrow() {
            return Some(d.successor.unwrap_or(self.me.address));
        }
        self.shard_link(self.shard_index()).get().map(|link| link.address)
    }

    /// Starts to fetch the configuration from a peer, unless that is in progress.
    fn fetch_config(self: &Rc<Self>, from: SocketAddr) {
        if self.fetching_config.replace(true) {
            return;
        }
        let node = Rc::clone(self);
        spawn_local(async move {
            let res = node.fetch_snapshot(from).await;
            node.fetching_config.set(false);
            if let Err(e) = res {
                log::warn!("config: can't be fetched from {from}: {e}");
            }
        });
    }

    /// Fetches a peer's configuration, list of VMs, evacuated zones and, if none are known here, the
    /// zone's targets.
    ///
    /// # Errors
    ///
    /// [`crate::transport::rpc::RpcError`] if the peer can't be reached or does not answer.
    pub async fn fetch_snapshot(
        self: &Rc<Self>,
        from: SocketAddr,
    ) -> Result<(), crate::transport::rpc::RpcError> {
        let link = PeerLink::connect(self, from, election::IDLE_HEARTBEAT_INTERVAL).await?;
        let knows_targets = !self.targets_in(&self.me.zone).is_empty();
        let zone = (!knows_targets).then_some(&self.me.zone);
        let snapshot = link.snapshot(zone).await?;
        // Before the configuration, with which this VM may become the dispatcher.
        self.merge_evacuations(&snapshot.evacuations, &format!("the VM at {from}"));
        self.add_peers(snapshot.peers);
        self.add_targets(&snapshot.targets, from);
        if snapshot.version > self.config_version() {
            match serde_json::from_slice::<FleetConfig>(&snapshot.config) {
                Ok(config) => self.set_config(config, "a peer"),
                Err(e) => log::warn!("config: bad version {} from {from}: {e}", snapshot.version.0),
            }
        }
        Ok(())
    }
}

impl<T> PeerHandler for Node<T>
where
    T: TargetClient,
{
    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn unresponsive_timeout(&self) -> Duration {
        self.timing.unresponsive_timeout
    }

    fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let dispatcher = self.dispatcher.borrow();
        let (epoch, spare_cpu) = match &*dispatcher {
            Some(d) if d.successor.is_none() => (d.epoch, d.core.spare_cpu(now)),
            _ => Default::default(),
        };
        let losses = dispatcher
            .as_ref()
            .map(|d| d.core.crash_history().changed_within(LOSS_REPORT_SPAN, now));
        drop(dispatcher);
        let hints = self.dispatcher_hints.borrow();
        let zones = hints
            .iter()
            .map(|(zone, address)| ZoneDispatcher { zone: zone.clone(), address: *address });
        Heartbeat {
            from: self.me.clone(),
            config_version: self.config_version(),
            shard: self.shard_index(),
            shard_count: self.reported_shard_count(),
            dispatcher: self.dispatcher_address(),
            epoch,
            spare_cpu,
            zones: zones.collect(),
            leaving: self.is_leaving(),
            losses: losses.unwrap_or_default(),
            evacuations: self.evacuations(),
        }
    }

    fn on_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) {
        self.merge_evacuations(&heartbeat.evacuations, heartbeat.from.vm.as_str());
        if heartbeat.config_version > self.config_version() {
            self.fetch_config(heartbeat.from.address);
        }
        if self.add_peer(heartbeat.from.clone()) {
            self.update_division();
        }
        self.highest_epoch.set(self.highest_epoch.get().max(heartbeat.epoch));
        if !heartbeat.losses.is_empty() {
            self.merge_losses(heartbeat.losses.clone());
        }
        if heartbeat.from.zone == self.me.zone {
            self.on_shard_count(&heartbeat);
            for zone in &heartbeat.zones {
                self.dispatcher_hints.borrow_mut().insert(zone.zone.clone(), zone.address);
            }
            if heartbeat.is_from_dispatcher() {
                self.resolve_rival(&heartbeat);
                self.update_sibling(&heartbeat);
                self.on_dispatcher_announced(&heartbeat);
            }
        } else if heartbeat.is_from_dispatcher() {
            self.dispatcher_hints
                .borrow_mut()
                .insert(heartbeat.from.zone.clone(), heartbeat.from.address);
            self.update_remote_shard(&heartbeat);
        }
    }

    fn on_peer_alive(self: &Rc<Self>, submitter: Submitter) {
        self.drive(|core, now| core.set_submitter_alive(submitter.id, now - submitter.silent_for));
    }

    fn on_peer_gone(self: &Rc<Self>, submitter: SubmitterId) {
        self.drive(|core, _| core.remove_submitter(submitter));
    }

    async fn run(
        self: &Rc<Self>,
        submission: JobSubmission,
        options: DispatchOptions,
        submitter: Submitter,
    ) -> DispatchReply {
        self.run_locally(submission, options, Some(submitter)).await
    }

    fn on_received_job(&self, job: &ReceivedJob, event: ReceivedJobEvent) {
        self.metrics.received_job(event);
        self.decision_log.borrow_mut().log_received_job(job, event, self.clock.now());
    }

    fn take_over(self: &Rc<Self>, epoch: u64, kept: Vec<TargetId>) -> bool {
        self.take_over_from(epoch, kept)
    }

    fn snapshot(&self, zone: Option<ZoneName>) -> Snapshot {
        let targets = zone.map(|zone| serde_json::to_vec(&self.targets_in(&zone)));
        let targets = targets.transpose().unwrap_or_else(|e| {
            log::error!("targets: list can't be encoded: {e}");
            None
        });
        let config = self.config.borrow();
        let mut peers: Vec<Peer> = self.peers.borrow().values().cloned().collect();
        peers.push(self.me.clone());
        let encoded = config.as_ref().map(|config| serde_json::to_vec(&**config));
        let (version, config) = match encoded {
            Some(Ok(bytes)) => (self.config_version(), bytes),
            Some(Err(e)) => {
                log::error!("config: version {} can't be encoded: {e}", self.config_version().0);
                (ConfigVersion(0), Vec::new())
            }
            None => (ConfigVersion(0), Vec::new()),
        };
        let evacuations = self.evacuations();
        Snapshot { version, config, peers, targets: targets.unwrap_or_default(), evacuations }
    }

    fn target_list(&self) -> Option<TargetList> {
        self.read_target_list()
    }
}
