//! Finds the dispatcher of each zone, and takes over where this VM's zone has none.

use super::{Node, Targets};
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

/// Interval of beats on connections that carry jobs.
pub const BEAT: Duration = Duration::from_millis(120);
/// Interval of beats by which dispatchers tell the other VMs of their zone.
pub const SLOW_BEAT: Duration = Duration::from_millis(1_000);
/// Longest time in which VMs answer that are alive.
const ROUND: Duration = Duration::from_millis(120);
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(30);
/// A VM that has just started lets others speak first.
const START_GRACE: Duration = Duration::from_millis(120);
/// A VM that reaches no other takes over only after this long: more likely it is cut off, and the
/// others go on.
const ALONE_GRACE: Duration = Duration::from_millis(2_500);
/// A dispatcher hands its zone over to a VM with this many times its processor share.
const MUCH_STRONGER: f64 = 1.5;
/// Rounds after which a VM takes over although a stronger one answers.
const PATIENT_ROUNDS: u32 = 8;

/// The order in which VMs take over: the strongest first.
pub(super) fn rank(peer: &Peer) -> (Reverse<u32>, &str) {
    (Reverse(peer.weight), peer.vm.as_str())
}

impl<T> Node<T>
where
    T: Targets,
{
    /// Keeps this VM's zone served: follows its dispatcher, or becomes it.
    pub async fn keep_zone(self: Rc<Self>) {
        let mut links: Vec<Rc<PeerLink>> = Vec::new();
        loop {
            if self.dispatches() {
                links = self.announce(links).await;
                let whole = self.dispatching.borrow().as_ref().is_some_and(|d| !d.partial);
                let stronger = links.iter().find(|link| whole && self.should_yield(link));
                if let Some(stronger) = stronger {
                    // Jobs will go over this connection, so that it needs frequent beats.
                    let fresh = self.connect_all(&[stronger.address], BEAT).await;
                    if let Some(link) = fresh.first() {
                        self.hand_over(link).await;
                    }
                }
                sleep(BEAT).await;
            } else if let Some(link) = self.own_link() {
                links.clear();
                let last = link.last_heartbeat();
                if !last.as_ref().is_some_and(|beat| beat.is_from_dispatcher()) {
                    *self.own.borrow_mut() = None;
                    self.follow_hint(last.and_then(|beat| beat.dispatcher)).await;
                    continue;
                }
                tokio::select! {
                    () = link.closed() => {}
                    () = sleep(BEAT) => {}
                }
            } else {
                self.find_dispatcher().await;
            }
        }
    }

    /// Whether a peer is so much stronger that it should dispatch.
    fn should_yield(&self, link: &PeerLink) -> bool {
        link.last_heartbeat().is_some_and(|beat| {
            let stronger = f64::from(beat.from.weight) > f64::from(self.me.weight) * MUCH_STRONGER;
            stronger && !beat.leaving && beat.config_version == self.plan_version()
        })
    }

    /// Tells the zone's VMs who dispatches, and learns of rivals.
    async fn announce(self: &Rc<Self>, mut links: Vec<Rc<PeerLink>>) -> Vec<Rc<PeerLink>> {
        links.retain(|link| !link.is_closed());
        let missing = self.zone_peers().into_iter().map(|p| p.address);
        let missing: Vec<SocketAddr> =
            missing.filter(|a| links.iter().all(|l| l.address != *a)).collect();
        links.extend(self.connect_all(&missing, SLOW_BEAT).await);
        links
    }

    async fn connect_all(
        self: &Rc<Self>,
        addresses: &[SocketAddr],
        interval: Duration,
    ) -> Vec<Rc<PeerLink>> {
        let connects = addresses.iter().map(|address| async move {
            timeout(ROUND, PeerLink::connect(self, *address, interval)).await.ok()?.ok()
        });
        join_all(connects).await.into_iter().flatten().collect()
    }

    /// Follows the dispatcher that the last one named.
    async fn follow_hint(self: &Rc<Self>, hint: Option<SocketAddr>) {
        let Some(hint) = hint.filter(|hint| *hint != self.me.address) else { return };
        let links = self.connect_all(&[hint], BEAT).await;
        if let Some(link) = best_dispatcher(&links) {
            log::info!("peers: following the dispatcher at {}", link.address);
            *self.own.borrow_mut() = Some(link);
        }
    }

    /// Asks the VMs of the zone until one dispatches.
    async fn find_dispatcher(self: &Rc<Self>) {
        let lost = Instant::now();
        let mut rounds = 0;
        while !self.dispatches() && self.own_link().is_none() {
            rounds += 1;
            let peers = self.zone_peers();
            let addresses: Vec<SocketAddr> = peers.iter().map(|p| p.address).collect();
            let links = self.connect_all(&addresses, BEAT).await;
            if let Some(link) = best_dispatcher(&links) {
                log::info!("peers: following the dispatcher at {}", link.address);
                *self.own.borrow_mut() = Some(link);
                return;
            }
            if self.may_claim(&links, peers.len(), lost, rounds).await {
                self.claim(Vec::new());
                return;
            }
            sleep(PAUSE).await;
        }
    }

    async fn may_claim(
        self: &Rc<Self>,
        links: &[Rc<PeerLink>],
        known: usize,
        lost: Instant,
        rounds: u32,
    ) -> bool {
        if self.plan().is_none() || self.is_leaving() || self.started.elapsed() < START_GRACE {
            return false;
        }
        if self.zone_targets().is_empty() && lost.elapsed() < ALONE_GRACE {
            return false;
        }
        let beats: Vec<Heartbeat> = links.iter().filter_map(|link| link.last_heartbeat()).collect();
        let stronger = beats.iter().filter(|b| !b.leaving);
        let outranked = stronger.into_iter().any(|b| rank(&b.from) < rank(&self.me));
        if outranked && rounds < PATIENT_ROUNDS {
            return false;
        }
        let alone = beats.is_empty() && known > 0;
        if alone && lost.elapsed() < ALONE_GRACE && !self.reaches_other_zone().await {
            return false;
        }
        true
    }

    async fn reaches_other_zone(self: &Rc<Self>) -> bool {
        let peers = self.peers.borrow().clone();
        let others = peers.values().filter(|p| p.zone != self.me.zone).map(|p| p.address);
        let others: Vec<SocketAddr> = others.take(4).collect();
        others.is_empty() || !self.connect_all(&others, SLOW_BEAT).await.is_empty()
    }

    /// While this VM dispatches, keeps a connection to the dispatcher of another zone.
    pub async fn keep_other(self: Rc<Self>, zone: ZoneName) {
        loop {
            let open = self.others.borrow().get(&zone).is_some_and(|link| {
                !link.is_closed()
                    && link.last_heartbeat().is_some_and(|beat| beat.is_from_dispatcher())
            });
            if open || !self.dispatches() {
                sleep(BEAT).await;
            } else {
                self.others.borrow_mut().shift_remove(&zone);
                self.find_other(&zone).await;
                sleep(ROUND).await;
            }
        }
    }

    async fn find_other(self: &Rc<Self>, zone: &ZoneName) {
        let hint = self.hints.borrow().get(zone).copied();
        let peers = self.peers.borrow().clone();
        let mut addresses: Vec<SocketAddr> = hint.into_iter().collect();
        let more = peers.values().filter(|p| p.zone == *zone).map(|p| p.address);
        addresses.extend(more.filter(|a| Some(*a) != hint));
        for address in addresses {
            let Some(link) = self.connect_all(&[address], BEAT).await.pop() else { continue };
            let Some(beat) = link.last_heartbeat() else { continue };
            if beat.is_from_dispatcher() {
                self.others.borrow_mut().insert(zone.clone(), link);
                return;
            }
            if let Some(dispatcher) = beat.dispatcher {
                self.hints.borrow_mut().insert(zone.clone(), dispatcher);
                if let Some(link) = self.connect_all(&[dispatcher], BEAT).await.pop() {
                    self.others.borrow_mut().insert(zone.clone(), link);
                    return;
                }
            }
        }
    }

    /// Starts what runs for the life of the process.
    pub fn spawn(self: &Rc<Self>, zones: Vec<ZoneName>) {
        spawn_local(Rc::clone(self).keep_zone());
        for zone in zones.into_iter().filter(|z| *z != self.me.zone) {
            spawn_local(Rc::clone(self).keep_other(zone));
        }
    }
}

fn best_dispatcher(links: &[Rc<PeerLink>]) -> Option<Rc<PeerLink>> {
    let dispatching =
        links.iter().filter(|l| l.last_heartbeat().is_some_and(|b| b.is_from_dispatcher()));
    dispatching.max_by_key(|l| l.last_heartbeat().map_or(0, |b| b.epoch)).cloned()
}
