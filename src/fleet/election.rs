//! Election of the zone's dispatcher: finds the dispatcher of each zone, and makes this VM the
//! dispatcher of its zone if there is none.

use super::{Node, TargetClient};
use crate::{
    coordination::election::{Answer, Decision, Rank, Round, peers_of_round},
    protocol::fleet::{Heartbeat, Peer},
    state::{id::ZoneName, mechanism::Mechanism},
    transport::fleet::PeerLink,
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout_at},
};

/// Interval of heartbeats on connections that carry jobs.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
/// Interval of heartbeats on connections from a dispatcher to the other VMs of its zone.
pub const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for the connections to other VMs in one round of the election.
const ROUND_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause between two rounds of the election.
const ROUND_PAUSE: Duration = Duration::from_millis(30);
/// A dispatcher hands its zone over to a VM with more than this many times its processor share.
const HANDOVER_WEIGHT_RATIO: f64 = 1.5;
/// Maximum number of VMs of other zones that a VM tries to reach, to find out whether it is cut off.
const MAX_CONNECTIVITY_PROBES: usize = 4;

/// Rank of a peer in the election.
pub(super) fn rank(peer: &Peer) -> Rank {
    Rank::new(peer.weight, peer.vm.clone())
}

fn is_dispatcher(link: &PeerLink) -> bool {
    link.last_heartbeat().is_some_and(|heartbeat| heartbeat.is_from_dispatcher())
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
                self.last_dispatcher.set(Some(link.address));
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
        let is_enabled = self.enables(Mechanism::Handover);
        link.last_heartbeat().filter(|_| is_enabled).is_some_and(|heartbeat| {
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
        self.connect_until(addresses, interval, |_| false).await
    }

    /// As [`Node::connect_all`], but returns as soon as it has made a connection for which `is_last`
    /// is true, since connections to VMs that are down take the whole round.
    async fn connect_until<F>(
        self: &Rc<Self>,
        addresses: &[SocketAddr],
        interval: Duration,
        is_last: F,
    ) -> Vec<Rc<PeerLink>>
    where
        F: Fn(&PeerLink) -> bool,
    {
        let deadline = tokio::time::Instant::now() + ROUND_TIMEOUT;
        let connects = addresses.iter().map(|address| PeerLink::connect(self, *address, interval));
        let mut connects: FuturesUnordered<_> = connects.collect();
        let mut links = Vec::new();
        while let Ok(Some(connected)) = timeout_at(deadline, connects.next()).await {
            let Ok(link) = connected else { continue };
            let is_found = is_last(&link);
            links.push(link);
            if is_found {
                break;
            }
        }
        links
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
        self.dispatcher_missing_since.set(Instant::now());
        let mut rounds = 0;
        while !self.is_dispatcher() && self.dispatcher_link().is_none() {
            let announced = self.announced_dispatcher.take();
            if announced.is_some() {
                self.connect_successor(announced).await;
                continue;
            }
            rounds += 1;
            if self.zone_targets().is_empty() {
                self.targets_wanted.notify_one();
            }
            let peers = self.zone_peers();
            let asked = peers_of_round(&peers, rounds);
            let addresses: Vec<SocketAddr> = asked.into_iter().map(|p| p.address).collect();
            let links = tokio::select! {
                links = self.connect_until(&addresses, HEARTBEAT_INTERVAL, is_dispatcher) => links,
                () = self.dispatcher_announced.notified() => continue,
            };
            if let Some(link) = best_dispatcher(&links) {
                log::info!("peers: following the dispatcher at {}", link.address);
                *self.dispatcher_link.borrow_mut() = Some(link);
                return;
            }
            self.connect_successor(named_dispatcher(&links)).await;
            if self.dispatcher_link().is_some() {
                return;
            }
            let may_become = match self.election_round(&links, &peers, rounds).decide() {
                Decision::Wait => false,
                Decision::BecomeIfConnected => self.reaches_other_zone().await,
                Decision::Become => true,
            };
            if may_become {
                return self.become_dispatcher(Vec::new());
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    /// What this VM knows after a round of the election. `links` are the connections made in it,
    /// `peers` the other known VMs of the zone.
    fn election_round(&self, links: &[Rc<PeerLink>], peers: &[Peer], number: u32) -> Round {
        let own_rank = rank(&self.me);
        let heartbeats = links.iter().filter_map(|link| link.last_heartbeat());
        let answer = |h: Heartbeat| Answer { rank: rank(&h.from), leaving: h.leaving };
        Round {
            stronger_peers: peers
                .iter()
                .filter(|peer| {
                    self.enables(Mechanism::StaggeredElections)
                        && rank(peer) < own_rank
                        && Some(peer.address) != self.last_dispatcher.get()
                })
                .count(),
            known_peers: peers.len(),
            rank: own_rank,
            number,
            missing_for: self.dispatcher_missing_for(),
            uptime: self.started.elapsed(),
            is_able: self.config().is_some() && !self.is_leaving(),
            has_targets: !self.zone_targets().is_empty(),
            knows_peers: self.knows_peers.get(),
            answers: heartbeats.map(answer).collect(),
        }
    }

    /// Handles the heartbeat of another dispatcher of this zone: a VM that searches for one follows
    /// it at once.
    pub(super) fn on_dispatcher_announced(&self, address: SocketAddr) {
        if !self.is_dispatcher() && self.dispatcher_link().is_none() {
            self.announced_dispatcher.set(Some(address));
            self.dispatcher_announced.notify_one();
        }
    }

    /// Time for which this VM has searched for its zone's dispatcher, if it has none.
    pub(super) fn dispatcher_missing_for(&self) -> Duration {
        self.dispatcher_missing_since.get().elapsed()
    }

    /// Whether a VM of another zone can be reached; true if none is known.
    async fn reaches_other_zone(self: &Rc<Self>) -> bool {
        let peers = self.peers.borrow().clone();
        let others = peers.values().filter(|p| p.zone != self.me.zone).map(|p| p.address);
        let others: Vec<SocketAddr> = others.take(MAX_CONNECTIVITY_PROBES).collect();
        let links = self.connect_until(&others, IDLE_HEARTBEAT_INTERVAL, |_| true).await;
        others.is_empty() || !links.is_empty()
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

/// Returns the dispatcher that a VM of the zone follows, if any of them names one.
fn named_dispatcher(links: &[Rc<PeerLink>]) -> Option<SocketAddr> {
    links.iter().find_map(|link| link.last_heartbeat()?.dispatcher)
}

/// Returns the connection to the dispatcher with the highest epoch, if any peer is a dispatcher.
fn best_dispatcher(links: &[Rc<PeerLink>]) -> Option<Rc<PeerLink>> {
    let dispatchers = links.iter().filter(|link| is_dispatcher(link));
    dispatchers.max_by_key(|l| l.last_heartbeat().map_or(0, |h| h.epoch)).cloned()
}
