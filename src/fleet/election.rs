//! Election of dispatchers: finds the dispatcher of each shard of this zone and one of each other
//! zone, and makes this VM the dispatcher of its shard if there is none.

use super::{Node, TargetClient};
use crate::{
    coordination::election::{Answer, Decision, Rank, Round, peers_of_round},
    protocol::fleet::{Heartbeat, Peer},
    state::{id::ZoneName, mechanism::Mechanism, shard::ShardCount},
    transport::fleet::PeerLink,
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use indexmap::IndexMap;
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
/// Interval at which a VM that follows a dispatcher checks whether its zone is divided anew.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(480);
/// Interval of heartbeats on connections from a dispatcher to the other VMs of its zone.
pub const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for the connections to other VMs in one round of the election.
const ROUND_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause between two rounds of the election.
const ROUND_PAUSE: Duration = Duration::from_millis(30);
/// A dispatcher hands its zone over to a VM with more than this many times its processor share.
const HANDOVER_WEIGHT_RATIO: f64 = 1.5;
/// Number of the strongest VMs of a zone that read the list of targets as soon as their shard has no
/// dispatcher: reads by all would grow with the product of VMs and targets. Each shard has one.
const MAX_LIST_READERS: usize = 16;
/// Rounds after which any candidate reads the list, since the strongest have not been elected.
const ROUNDS_OF_STRONGEST: u32 = 10;
/// Maximum number of VMs of other zones that a VM tries to reach, to find out whether it is cut off.
const MAX_CONNECTIVITY_PROBES: usize = 4;

/// Rank of a peer in the election.
pub(super) fn rank(peer: &Peer) -> Rank {
    Rank::new(peer.weight, peer.vm.clone())
}

impl<T> Node<T>
where
    T: TargetClient,
{
    /// Keeps a connection to the dispatcher of a shard of this zone, elects one if there is none and
    /// this VM is a candidate, and announces this VM if it is the dispatcher.
    pub(super) async fn run_election(self: Rc<Self>, index: u16) {
        let shard = self.shard_link(index);
        let mut links: Vec<Rc<PeerLink>> = Vec::new();
        loop {
            if self.dispatches(index) {
                links = self.announce(links).await;
                self.step_down_if_divided_anew();
                self.hand_over_to_stronger(index, &links).await;
                sleep(HEARTBEAT_INTERVAL).await;
            } else if index >= self.shard_count().get() {
                links.clear();
                shard.set(None);
                sleep(HEARTBEAT_INTERVAL).await;
            } else if let Some(link) = shard.get() {
                links.clear();
                shard.last_dispatcher.set(Some(link.address));
                let last = link.last_heartbeat();
                if !self.is_dispatcher_of(&link, index) {
                    shard.set(None);
                    let successor = last.and_then(|heartbeat| heartbeat.dispatcher);
                    self.connect_successor(index, successor).await;
                    continue;
                }
                tokio::select! {
                    () = link.closed() => {}
                    () = link.role_changed() => {}
                    () = sleep(LINK_CHECK_INTERVAL) => {}
                }
            } else {
                self.find_dispatcher(index).await;
            }
            if index == 0 {
                self.expire_undivided();
            }
        }
    }

    /// Whether a peer dispatches the shard with this index, in the same division of the zone.
    fn is_dispatcher_of(&self, link: &PeerLink, index: u16) -> bool {
        link.last_heartbeat().is_some_and(|heartbeat| {
            heartbeat.is_from_dispatcher() && heartbeat.is_of_shard(index, self.shard_count())
        })
    }

    /// Steps down if the zone is divided into another number of shards than when this VM became
    /// dispatcher: other VMs own a part of its targets from then on.
    fn step_down_if_divided_anew(self: &Rc<Self>) {
        let count = self.shard_count();
        let own = self.dispatcher.borrow().as_ref().map(|d| d.shard_count);
        if own.is_some_and(|own| own != count) {
            self.step_down(&format!("the zone is divided into {count} shards now"));
        }
    }

    /// Hands the shard over to a peer that may be elected for it and is much stronger, once this VM has
    /// all targets and has started the jobs of an earlier dispatcher.
    async fn hand_over_to_stronger(self: &Rc<Self>, index: u16, links: &[Rc<PeerLink>]) {
        let has_taken_over = self
            .dispatcher
            .borrow()
            .as_ref()
            .is_some_and(|d| !d.predecessor_has_targets && !d.core.awaits_earlier_runs());
        let is_stronger = |link: &&Rc<PeerLink>| self.should_hand_over(link, index);
        let Some(stronger) = links.iter().find(is_stronger).filter(|_| has_taken_over) else {
            return;
        };
        // This connection will carry jobs, so it needs frequent heartbeats.
        let connected = self.connect_all(&[stronger.address], HEARTBEAT_INTERVAL).await;
        if let Some(link) = connected.first() {
            self.hand_over(link).await;
        }
    }

    /// Whether the shard should be handed over to a peer, since its processor share is much larger
    /// and it has the same configuration.
    fn should_hand_over(&self, link: &PeerLink, index: u16) -> bool {
        let is_enabled = self.enables(Mechanism::Handover);
        link.last_heartbeat().filter(|_| is_enabled).is_some_and(|heartbeat| {
            let stronger = f64::from(heartbeat.from.weight)
                > f64::from(self.me.weight) * HANDOVER_WEIGHT_RATIO;
            let is_candidate = heartbeat.is_of_shard(index, self.shard_count());
            let is_able = is_candidate && !heartbeat.is_from_dispatcher() && !heartbeat.leaving;
            stronger && is_able && heartbeat.config_version == self.config_version()
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

    /// Connects to the dispatcher of a shard that the previous one named as its successor.
    async fn connect_successor(self: &Rc<Self>, index: u16, hint: Option<SocketAddr>) {
        let Some(hint) = hint.filter(|hint| *hint != self.me.address) else { return };
        let links = self.connect_all(&[hint], HEARTBEAT_INTERVAL).await;
        if let Some(link) = self.best_dispatcher(&links, index) {
            self.follow(index, link);
        }
    }

    fn follow(&self, index: u16, link: Rc<PeerLink>) {
        let zone = &self.me.zone;
        log::info!("peers: following the dispatcher of {zone}/{index} at {}", link.address);
        let shard = self.shard_link(index);
        let mut backoff = shard.backoff.get();
        backoff.on_dispatcher_found(self.clock.now());
        shard.backoff.set(backoff);
        shard.set(Some(link));
    }

    /// Returns the connection to the dispatcher of a shard with the highest epoch, if any peer is
    /// one.
    fn best_dispatcher(&self, links: &[Rc<PeerLink>], index: u16) -> Option<Rc<PeerLink>> {
        let dispatchers = links.iter().filter(|link| self.is_dispatcher_of(link, index));
        dispatchers.max_by_key(|l| l.last_heartbeat().map_or(0, |h| h.epoch)).cloned()
    }

    /// Returns the dispatcher of a shard that a VM follows, if any of them names one.
    fn named_dispatcher(&self, links: &[Rc<PeerLink>], index: u16) -> Option<SocketAddr> {
        let heartbeats = links.iter().filter_map(|link| link.last_heartbeat());
        let mut of_shard = heartbeats.filter(|h| h.is_of_shard(index, self.shard_count()));
        of_shard.find_map(|heartbeat| heartbeat.dispatcher)
    }

    /// Connects to the candidates of a shard, round by round, until one of them is its dispatcher or
    /// this VM becomes it.
    async fn find_dispatcher(self: &Rc<Self>, index: u16) {
        let shard = self.shard_link(index);
        shard.missing_since.set(Instant::now());
        let mut rounds = 0;
        while !self.dispatches(index) && shard.get().is_none() && index < self.shard_count().get() {
            let announced = shard.announced.take();
            if announced.is_some() {
                self.connect_successor(index, announced).await;
                continue;
            }
            rounds += 1;
            let is_candidate = self.shard_index() == index;
            if is_candidate && self.lacks_targets(rounds) {
                self.targets_wanted.notify_one();
            }
            let peers = self.shard_peers(index);
            let asked = peers_of_round(&peers, rounds);
            let addresses: Vec<SocketAddr> = asked.into_iter().map(|p| p.address).collect();
            let is_found = |link: &PeerLink| self.is_dispatcher_of(link, index);
            let links = tokio::select! {
                links = self.connect_until(&addresses, HEARTBEAT_INTERVAL, is_found) => links,
                () = shard.announced_notify.notified() => continue,
            };
            if let Some(link) = self.best_dispatcher(&links, index) {
                return self.follow(index, link);
            }
            self.connect_successor(index, self.named_dispatcher(&links, index)).await;
            if shard.get().is_some() {
                return;
            }
            // The heartbeats of the round may have changed the division.
            if is_candidate && self.shard_index() == index && !self.is_dispatcher() {
                let may_become = match self.election_round(index, &links, &peers, rounds).decide() {
                    Decision::Wait => false,
                    Decision::BecomeIfConnected => self.reaches_other_zone().await,
                    Decision::Become => true,
                };
                if may_become && self.shard_index() == index {
                    return self.become_dispatcher(Vec::new());
                }
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    /// Whether this VM should read the list of targets, since it may be elected soon and knows none.
    /// In a large zone, the strongest VMs do so at once, the others when these are not elected.
    fn lacks_targets(&self, rounds: u32) -> bool {
        let peers = self.zone_peers();
        let outranking = peers.iter().filter(|p| rank(p) < rank(&self.me)).count();
        (outranking < MAX_LIST_READERS || rounds > ROUNDS_OF_STRONGEST)
            && self.shard_targets().is_empty()
    }

    /// What this VM knows after a round of the election of a shard's dispatcher. `links` are the
    /// connections made in it, `peers` the other candidates.
    fn election_round(
        &self,
        index: u16,
        links: &[Rc<PeerLink>],
        peers: &[Peer],
        number: u32,
    ) -> Round {
        let shard = self.shard_link(index);
        let own_rank = rank(&self.me);
        let heartbeats = links.iter().filter_map(|link| link.last_heartbeat());
        let answer = |h: Heartbeat| Answer { rank: rank(&h.from), leaving: h.leaving };
        Round {
            stronger_peers: peers
                .iter()
                .filter(|peer| {
                    self.enables(Mechanism::StaggeredElections)
                        && rank(peer) < own_rank
                        && Some(peer.address) != shard.last_dispatcher.get()
                })
                .count(),
            known_peers: peers.len(),
            rank: own_rank,
            number,
            missing_for: shard.missing_for(),
            uptime: self.started.elapsed(),
            is_able: self.config().is_some()
                && !self.is_leaving()
                && shard.backoff.get().is_over(self.clock.now()),
            has_targets: !self.shard_targets().is_empty(),
            knows_peers: self.knows_peers.get(),
            answers: heartbeats.map(answer).collect(),
        }
    }

    /// Handles the heartbeat of another dispatcher of this zone: a VM that searches for one of its
    /// shard follows it at once.
    pub(super) fn on_dispatcher_announced(&self, heartbeat: &Heartbeat) {
        let index = heartbeat.shard;
        if !heartbeat.is_of_shard(index, self.shard_count()) || self.dispatches(index) {
            return;
        }
        let shard = self.shard_link(index);
        if shard.get().is_none() {
            shard.announced.set(Some(heartbeat.from.address));
            shard.announced_notify.notify_one();
        }
    }

    /// Whether a VM of another zone can be reached; true if none is known.
    async fn reaches_other_zone(self: &Rc<Self>) -> bool {
        let peers = self.peers.borrow().clone();
        let others = peers.values().filter(|p| p.zone != self.me.zone).map(|p| p.address);
        let others: Vec<SocketAddr> = others.take(MAX_CONNECTIVITY_PROBES).collect();
        let links = self.connect_until(&others, IDLE_HEARTBEAT_INTERVAL, |_| true).await;
        others.is_empty() || !links.is_empty()
    }

    /// While this VM is a dispatcher, keeps a connection to a dispatcher of `zone`, which is another
    /// zone: that of the shard with the same index, modulo the number of shards there.
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

    /// Finds a dispatcher of another zone, from the hint first and then from the zone's VMs, and
    /// connects to it.
    async fn connect_zone(self: &Rc<Self>, zone: &ZoneName) {
        let hint = self.dispatcher_hints.borrow().get(zone).copied();
        let (index, count) = (self.shard_index(), self.shard_count());
        let mut peers = self.peers_in(zone);
        // The candidates of the shard that is wanted come first, if that zone has as many.
        let positions: IndexMap<SocketAddr, usize> =
            peers.iter().enumerate().map(|(n, peer)| (peer.address, n)).collect();
        peers.sort_by_key(|p| count.shard_of_position(positions[&p.address]) != index);
        let mut addresses: Vec<SocketAddr> = hint.into_iter().collect();
        addresses.extend(peers.iter().map(|p| p.address).filter(|a| Some(*a) != hint));
        for address in addresses {
            let Some(link) = self.connect_all(&[address], HEARTBEAT_INTERVAL).await.pop() else {
                continue;
            };
            let Some(heartbeat) = link.last_heartbeat() else { continue };
            let there = heartbeat.shard_count.unwrap_or(ShardCount::ONE);
            if heartbeat.shard != there.shard_of_position(usize::from(index)) {
                continue;
            }
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

    /// Starts the elections in this VM's zone and the connections to all other `zones`, which run
    /// until the process exits.
    pub fn spawn(self: &Rc<Self>, zones: Vec<ZoneName>) {
        self.spawn_elections();
        for zone in zones.into_iter().filter(|z| *z != self.me.zone) {
            spawn_local(Rc::clone(self).maintain_zone_link(zone));
        }
    }
}
