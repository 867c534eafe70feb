//! Election of the zone's dispatcher: finds the dispatcher of each zone, and makes this VM the
//! dispatcher of its zone if there is none.

use super::{Node, TargetClient};
use crate::{
    protocol::fleet::{Heartbeat, Peer},
    state::id::ZoneName,
    transport::fleet::PeerLink,
};
use futures_util::future::join_all;
use std::{
    cmp::Reverse,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

/// Interval of heartbeats on connections that carry jobs.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
/// Interval of heartbeats on connections from a dispatcher to the other VMs of its zone.
pub const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for the connections to other VMs in one round of the election.
const ROUND_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause between two rounds of the election.
const ROUND_PAUSE: Duration = Duration::from_millis(30);
/// A VM does not become dispatcher for this long after its start, so that it first finds a
/// dispatcher that exists.
const START_GRACE: Duration = Duration::from_millis(120);
/// A VM that reaches no other one, or has no targets listed, becomes dispatcher only after its zone
/// was without one for this long: it is probably cut off, and the other VMs have a dispatcher.
const ISOLATION_GRACE: Duration = Duration::from_millis(2_500);
/// A dispatcher hands its zone over to a VM with more than this many times its processor share.
const HANDOVER_WEIGHT_RATIO: f64 = 1.5;
/// Rounds after which a VM becomes dispatcher although a VM of higher rank answers.
const MAX_ROUNDS_OUTRANKED: u32 = 8;

/// Sort key of VMs in the election: the one with the largest processor share comes first.
pub(super) fn rank(peer: &Peer) -> (Reverse<u32>, &str) {
    (Reverse(peer.weight), peer.vm.as_str())
}

impl<T> Node<T>
where
    T: TargetClient,
{
    /// Keeps a connection to the dispatcher of this VM's zone, elects one if there is none, and
    /// announces this VM if it is the dispatcher.
    pub async fn run_election(self: Rc<Self>) {
        let mut links: Vec<Rc<PeerLink>> = Vec::new();
        loop {
            if self.is_dispatcher() {
                links = self.announce(links).await;
                let has_all_targets =
                    self.dispatcher.borrow().as_ref().is_some_and(|d| !d.predecessor_has_targets);
                let stronger =
                    links.iter().find(|link| has_all_targets && self.should_hand_over(link));
                if let Some(stronger) = stronger {
                    // This connection will carry jobs, so it needs frequent heartbeats.
                    let connected = self.connect_all(&[stronger.address], HEARTBEAT_INTERVAL).await;
                    if let Some(link) = connected.first() {
                        self.hand_over(link).await;
                    }
                }
                sleep(HEARTBEAT_INTERVAL).await;
            } else if let Some(link) = self.dispatcher_link() {
                links.clear();
                let last = link.last_heartbeat();
                if !last.as_ref().is_some_and(|heartbeat| heartbeat.is_from_dispatcher()) {
                    *self.dispatcher_link.borrow_mut() = None;
                    self.connect_successor(last.and_then(|heartbeat| heartbeat.dispatcher)).await;
                    continue;
                }
                tokio::select! {
                    () = link.closed() => {}
                    () = sleep(HEARTBEAT_INTERVAL) => {}
                }
            } else {
                self.find_dispatcher().await;
            }
        }
    }

    /// Whether the zone should be handed over to a peer, since its processor share is much larger
    /// and it has the same configuration.
    fn should_hand_over(&self, link: &PeerLink) -> bool {
        link.last_heartbeat().is_some_and(|heartbeat| {
            let stronger = f64::from(heartbeat.from.weight)
                > f64::from(self.me.weight) * HANDOVER_WEIGHT_RATIO;
            stronger && !heartbeat.leaving && heartbeat.config_version == self.config_version()
        })
    }

    /// Drops the closed connections from `links` and connects to the VMs of the zone that it lacks.
    /// Heartbeats on these connections announce this dispatcher, and show whether the zone has
    /// another one.
    async fn announce(self: &Rc<Self>, mut links: Vec<Rc<PeerLink>>) -> Vec<Rc<PeerLink>> {
        links.retain(|link| !link.is_closed());
        let missing = self.zone_peers().into_iter().map(|p| p.address);
        let missing: Vec<SocketAddr> =
            missing.filter(|a| links.iter().all(|l| l.address != *a)).collect();
        links.extend(self.connect_all(&missing, IDLE_HEARTBEAT_INTERVAL).await);
        links
    }

    /// Connects to all addresses at once; returns the connections made within a round.
    async fn connect_all(
        self: &Rc<Self>,
        addresses: &[SocketAddr],
        interval: Duration,
    ) -> Vec<Rc<PeerLink>> {
        let connects = addresses.iter().map(|address| async move {
            timeout(ROUND_TIMEOUT, PeerLink::connect(self, *address, interval)).await.ok()?.ok()
        });
        join_all(connects).await.into_iter().flatten().collect()
    }

    /// Connects to the dispatcher that the previous one named as its successor.
    async fn connect_successor(self: &Rc<Self>, hint: Option<SocketAddr>) {
        let Some(hint) = hint.filter(|hint| *hint != self.me.address) else { return };
        let links = self.connect_all(&[hint], HEARTBEAT_INTERVAL).await;
        if let Some(link) = best_dispatcher(&links) {
            log::info!("peers: following the dispatcher at {}", link.address);
            *self.dispatcher_link.borrow_mut() = Some(link);
        }
    }

    /// Connects to the VMs of the zone, round by round, until one of them is the dispatcher or this
    /// VM becomes it.
    async fn find_dispatcher(self: &Rc<Self>) {
        let lost_at = Instant::now();
        let mut rounds = 0;
        while !self.is_dispatcher() && self.dispatcher_link().is_none() {
            rounds += 1;
            let peers = self.zone_peers();
            let addresses: Vec<SocketAddr> = peers.iter().map(|p| p.address).collect();
            let links = self.connect_all(&addresses, HEARTBEAT_INTERVAL).await;
            if let Some(link) = best_dispatcher(&links) {
                log::info!("peers: following the dispatcher at {}", link.address);
                *self.dispatcher_link.borrow_mut() = Some(link);
                return;
            }
            if self.may_become_dispatcher(&links, peers.len(), lost_at, rounds).await {
                self.become_dispatcher(Vec::new());
                return;
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    /// Whether this VM may become the dispatcher of its zone. `links` are the connections of this
    /// round, `peer_count` the number of VMs known in the zone, `lost_at` the moment since which
    /// it has no dispatcher, `rounds` the number of rounds since then.
    async fn may_become_dispatcher(
        self: &Rc<Self>,
        links: &[Rc<PeerLink>],
        peer_count: usize,
        lost_at: Instant,
        rounds: u32,
    ) -> bool {
        if self.config().is_none() || self.is_leaving() || self.started.elapsed() < START_GRACE {
            return false;
        }
        if self.zone_targets().is_empty() && lost_at.elapsed() < ISOLATION_GRACE {
            return false;
        }
        let heartbeats: Vec<Heartbeat> =
            links.iter().filter_map(|link| link.last_heartbeat()).collect();
        let staying = heartbeats.iter().filter(|h| !h.leaving);
        let outranked = staying.into_iter().any(|h| rank(&h.from) < rank(&self.me));
        if outranked && rounds < MAX_ROUNDS_OUTRANKED {
            return false;
        }
        let isolated = heartbeats.is_empty() && peer_count > 0;
        if isolated && lost_at.elapsed() < ISOLATION_GRACE && !self.reaches_other_zone().await {
            return false;
        }
        true
    }

    /// Whether a VM of another zone can be reached; true if none is known.
    async fn reaches_other_zone(self: &Rc<Self>) -> bool {
        let peers = self.peers.borrow().clone();
        let others = peers.values().filter(|p| p.zone != self.me.zone).map(|p| p.address);
        let others: Vec<SocketAddr> = others.take(4).collect();
        others.is_empty() || !self.connect_all(&others, IDLE_HEARTBEAT_INTERVAL).await.is_empty()
    }

    /// While this VM is the dispatcher of its zone, keeps a connection to the dispatcher of `zone`,
    /// which is another zone.
    pub async fn maintain_zone_link(self: Rc<Self>, zone: ZoneName) {
        loop {
            let is_connected = self.zone_links.borrow().get(&zone).is_some_and(|link| {
                !link.is_closed()
                    && link.last_heartbeat().is_some_and(|heartbeat| heartbeat.is_from_dispatcher())
            });
            if is_connected || !self.is_dispatcher() {
                sleep(HEARTBEAT_INTERVAL).await;
            } else {
                self.zone_links.borrow_mut().shift_remove(&zone);
                self.connect_zone(&zone).await;
                sleep(ROUND_TIMEOUT).await;
            }
        }
    }

    /// Finds the dispatcher of another zone, from the hint first and then from the zone's VMs, and
    /// connects to it.
    async fn connect_zone(self: &Rc<Self>, zone: &ZoneName) {
        let hint = self.dispatcher_hints.borrow().get(zone).copied();
        let peers = self.peers.borrow().clone();
        let mut addresses: Vec<SocketAddr> = hint.into_iter().collect();
        let zone_peers = peers.values().filter(|p| p.zone == *zone).map(|p| p.address);
        addresses.extend(zone_peers.filter(|a| Some(*a) != hint));
        for address in addresses {
            let Some(link) = self.connect_all(&[address], HEARTBEAT_INTERVAL).await.pop() else {
                continue;
            };
            let Some(heartbeat) = link.last_heartbeat() else { continue };
            if heartbeat.is_from_dispatcher() {
                self.zone_links.borrow_mut().insert(zone.clone(), link);
                return;
            }
            if let Some(dispatcher) = heartbeat.dispatcher {
                self.dispatcher_hints.borrow_mut().insert(zone.clone(), dispatcher);
                if let Some(link) = self.connect_all(&[dispatcher], HEARTBEAT_INTERVAL).await.pop()
                {
                    self.zone_links.borrow_mut().insert(zone.clone(), link);
                    return;
                }
            }
        }
    }

    /// Starts the election in this VM's zone and the connections to all other `zones`, which run
    /// until the process exits.
    pub fn spawn(self: &Rc<Self>, zones: Vec<ZoneName>) {
        spawn_local(Rc::clone(self).run_election());
        for zone in zones.into_iter().filter(|z| *z != self.me.zone) {
            spawn_local(Rc::clone(self).maintain_zone_link(zone));
        }
    }
}

/// Returns the connection to the dispatcher with the highest epoch, if any peer is a dispatcher.
fn best_dispatcher(links: &[Rc<PeerLink>]) -> Option<Rc<PeerLink>> {
    let dispatchers =
        links.iter().filter(|l| l.last_heartbeat().is_some_and(|h| h.is_from_dispatcher()));
    dispatchers.max_by_key(|l| l.last_heartbeat().map_or(0, |h| h.epoch)).cloned()
}
