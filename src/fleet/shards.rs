//! The shards of this VM's zone: how many there are, for which of them this VM may be elected, and
//! the connection to the dispatcher of each.

use super::{Node, TargetClient, election};
use crate::{
    coordination::election::{Backoff, is_standby},
    protocol::fleet::{Heartbeat, Peer},
    state::{
        mechanism::Mechanism,
        shard::{Shard, ShardCount},
    },
    transport::fleet::PeerLink,
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::spawn_local};

/// A zone stays undivided for this long after a peer has reported a VM that doesn't know shards;
/// peers report it with every heartbeat.
const UNDIVIDED_SPAN: Duration = Duration::from_secs(3);

/// The search for the dispatcher of one shard, and the connection to it.
pub(super) struct ShardLink {
    /// Connection to the dispatcher, while that is another VM.
    link: RefCell<Option<Rc<PeerLink>>>,
    /// When this VM last began to search for the dispatcher.
    pub missing_since: Cell<Instant>,
    /// Pause before this VM may be elected, after another dispatcher has replaced it.
    pub backoff: Cell<Backoff>,
    /// Address of the dispatcher that this VM followed last.
    pub last_dispatcher: Cell<Option<SocketAddr>>,
    /// Address of a dispatcher that has announced itself during the search.
    pub announced: Cell<Option<SocketAddr>>,
    /// Signals that `announced` is set.
    pub announced_notify: Notify,
}

impl Default for ShardLink {
    fn default() -> Self {
        ShardLink {
            link: RefCell::default(),
            missing_since: Cell::new(Instant::now()),
            backoff: Cell::default(),
            last_dispatcher: Cell::default(),
            announced: Cell::default(),
            announced_notify: Notify::new(),
        }
    }
}

impl ShardLink {
    /// The connection, if it is open.
    pub fn get(&self) -> Option<Rc<PeerLink>> {
        self.link.borrow().clone().filter(|link| !link.is_closed())
    }

    /// Replaces the connection.
    pub fn set(&self, link: Option<Rc<PeerLink>>) {
        *self.link.borrow_mut() = link;
    }

    /// Time since this VM began to search for the dispatcher, if it has none.
    pub fn missing_for(&self) -> Duration {
        self.missing_since.get().elapsed()
    }
}

/// What this VM knows of the division of its zone.
pub(super) struct Division {
    /// Shards into which the zone is divided now.
    count: Cell<ShardCount>,
    /// Largest number that this VM has worked out or heard of. It never falls, so that VMs which
    /// count targets at different moments agree in the end.
    largest: Cell<ShardCount>,
    /// Shard for which this VM may be elected.
    candidate_for: Cell<u16>,
    /// Whether all known VMs of the zone know shards.
    all_know_shards: Cell<bool>,
    /// When a peer last reported a VM that doesn't know shards.
    undivided_at: Cell<Option<Instant>>,
    /// Connections to the dispatchers, by the index of their shard.
    links: RefCell<Vec<Rc<ShardLink>>>,
    /// Number of shards of which the election runs.
    elections: Cell<u16>,
}

impl Default for Division {
    fn default() -> Self {
        Division {
            count: Cell::new(ShardCount::ONE),
            largest: Cell::new(ShardCount::ONE),
            candidate_for: Cell::default(),
            all_know_shards: Cell::new(true),
            undivided_at: Cell::default(),
            links: RefCell::default(),
            elections: Cell::default(),
        }
    }
}

impl<T> Node<T>
where
    T: TargetClient,
{
    /// Number of shards of this VM's zone.
    pub fn shard_count(&self) -> ShardCount {
        self.division.count.get()
    }

    /// Index of the shard that this VM dispatches, or for which it may be elected.
    pub fn shard_index(&self) -> u16 {
        let dispatched = self.dispatcher.borrow().as_ref().map(|d| d.shard.index);
        dispatched.unwrap_or(self.division.candidate_for.get())
    }

    pub(super) fn own_shard(&self) -> Shard {
        Shard { zone: self.me.zone.clone(), index: self.shard_index() }
    }

    /// Whether this VM dispatches the shard with this index of its zone.
    pub(super) fn dispatches(&self, index: u16) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.as_ref().is_some_and(|d| d.successor.is_none() && d.shard.index == index)
    }

    /// Whether this VM can submit jobs to the shard with this index of its zone: it dispatches the shard,
    /// or is connected to its dispatcher.
    pub fn reaches_shard(&self, index: u16) -> bool {
        self.dispatches(index) || self.shard_link(index).get().is_some()
    }

    /// The connection to the dispatcher of a shard, open or not.
    pub(super) fn shard_link(&self, index: u16) -> Rc<ShardLink> {
        let mut links = self.division.links.borrow_mut();
        if links.len() <= usize::from(index) {
            links.resize_with(usize::from(index) + 1, Rc::default);
        }
        Rc::clone(&links[usize::from(index)])
    }

    /// The open connections to dispatchers of this zone.
    pub(super) fn open_shard_links(&self) -> Vec<Rc<PeerLink>> {
        self.division.links.borrow().iter().filter_map(|link| link.get()).collect()
    }

    /// Number of shards as heartbeats report it; `None` if a VM of the zone doesn't know shards. A
    /// dispatcher passes on what it has heard of such a VM, since all VMs of the zone follow it.
    pub(super) fn reported_shard_count(&self) -> Option<ShardCount> {
        let is_undivided = !self.division.all_know_shards.get()
            || self.is_dispatcher() && self.heard_of_undivided();
        (!is_undivided).then(|| self.shard_count())
    }

    fn heard_of_undivided(&self) -> bool {
        self.division.undivided_at.get().is_some_and(|at| at.elapsed() < UNDIVIDED_SPAN)
    }

    /// Applies the number of shards that a VM of this zone reports.
    pub(super) fn on_shard_count(self: &Rc<Self>, heartbeat: &Heartbeat) {
        match heartbeat.shard_count {
            Some(count) if count > self.division.largest.get() => {
                self.division.largest.set(count);
                self.update_division();
            }
            Some(_) => {}
            None => {
                self.division.undivided_at.set(Some(Instant::now()));
                self.update_division();
            }
        }
    }

    /// Divides the zone again once no peer has reported a VM without shards for a while.
    pub(super) fn expire_undivided(self: &Rc<Self>) {
        if self.division.undivided_at.get().is_some() && !self.heard_of_undivided() {
            self.division.undivided_at.set(None);
            self.update_division();
        }
    }

    /// Works out into how many shards the listed targets and the known VMs divide the zone.
    pub(super) fn count_shards(self: &Rc<Self>) {
        let targets = self.targets_in(&self.me.zone).len();
        let vms = self.zone_peers().len() + 1;
        let count = ShardCount::for_zone(targets, vms);
        self.division.largest.set(self.division.largest.get().max(count));
        self.update_division();
    }

    /// Updates the number of shards in force and the one for which this VM may be elected. A zone is
    /// divided only if all its VMs know shards.
    pub(super) fn update_division(self: &Rc<Self>) {
        let peers = self.zone_peers();
        self.division.all_know_shards.set(peers.iter().all(|peer| peer.knows_shards));
        let is_divided = self.enables(Mechanism::Shards)
            && self.division.all_know_shards.get()
            && !self.heard_of_undivided();
        let count = if is_divided { self.division.largest.get() } else { ShardCount::ONE };
        let own = election::rank(&self.me);
        let position = peers.iter().filter(|p| election::rank(p) < own).count();
        self.division.candidate_for.set(count.shard_of_position(position));
        let old = self.division.count.replace(count);
        if old != count {
            log::info!("shards: {} has {count}, was {old}", self.me.zone);
        }
        if self.division.elections.get() > 0 {
            self.spawn_elections();
        }
    }

    /// Runs the election of each shard that has none yet, until the process exits.
    pub(super) fn spawn_elections(self: &Rc<Self>) {
        let first = self.division.elections.get();
        self.division.elections.set(first.max(self.shard_count().get()));
        for index in first..self.division.elections.get() {
            spawn_local(Rc::clone(self).run_election(index));
        }
    }

    /// The other known VMs of this zone that may be elected for a shard, the strongest first.
    pub(super) fn shard_peers(&self, index: u16) -> Vec<Peer> {
        let count = self.shard_count();
        let own = election::rank(&self.me);
        let peers = self.zone_peers();
        let own_position = peers.partition_point(|peer| election::rank(peer) < own);
        let position = |n: usize| if n < own_position { n } else { n + 1 };
        let is_candidate = |n: usize| count.shard_of_position(position(n)) == index;
        peers.into_iter().enumerate().filter(|(n, _)| is_candidate(*n)).map(|(_, p)| p).collect()
    }

    /// Whether this VM keeps the list of targets up to date: it may start tasks, or is one of the VMs
    /// that would be elected next for its shard.
    pub fn follows_targets(&self) -> bool {
        if self.starts_tasks() || !self.enables(Mechanism::Standbys) {
            return true;
        }
        let others = self.shard_peers(self.shard_index());
        let others = others.iter().map(election::rank);
        is_standby(&election::rank(&self.me), others, self.shard_count())
    }
}
