//! The list of targets of this VM: read from the platform's list, or taken from other VMs.

use super::{Node, TargetClient};
use crate::{
    protocol::fleet::{TargetList, read_targets},
    state::{id::ZoneName, shard::ShardCount, target::TargetInfo, time::Moment},
};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Oldest list of targets that a VM takes from another. With its own poll interval of at most 0.6 s, it
/// learns of a draining target within 1.5 s, and the platform's bounds for that are 2 s and more.
const MAX_SHARED_LIST_AGE: Duration = Duration::from_millis(900);

impl<T> Node<T>
where
    T: TargetClient,
{
    /// Handles the platform's list of targets as of now; `None` if it has not changed since the last
    /// read.
    pub fn on_targets_read(self: &Rc<Self>, list: Option<Vec<TargetInfo>>) {
        self.on_targets_read_within(list, Duration::ZERO);
    }

    /// As [`Node::on_targets_read`], for a list that was requested `took` ago: it may be as old.
    pub fn on_targets_read_within(self: &Rc<Self>, list: Option<Vec<TargetInfo>>, took: Duration) {
        self.on_targets_read_at(list, self.clock.now() - took);
    }

    fn on_targets_read_at(self: &Rc<Self>, list: Option<Vec<TargetInfo>>, read_at: Moment) {
        let mut known_targets = self.known_targets.borrow_mut();
        known_targets.expire_reads(self.timing.entry_lifetime, self.clock.now());
        let changed = known_targets.on_list_read(list, read_at);
        drop(known_targets);
        if changed {
            self.count_shards();
        }
        if changed || self.starts_tasks() {
            self.update_targets();
        }
    }

    /// Handles a failure to read the platform's list of targets.
    pub fn on_targets_read_failed(&self) {
        self.known_targets.borrow_mut().on_list_read_failed();
    }

    /// Waits until the list of targets should be read at once.
    pub async fn targets_wanted(&self) {
        self.targets_wanted.notified().await;
    }

    pub(super) fn targets_in(&self, zone: &ZoneName) -> Vec<TargetInfo> {
        let known_targets = self.known_targets.borrow();
        known_targets.targets().filter(|t| t.zone == *zone).cloned().collect()
    }

    /// The listed targets of this VM's shard.
    pub(super) fn shard_targets(&self) -> Vec<TargetInfo> {
        let (index, count) = (self.shard_index(), self.shard_count());
        let known_targets = self.known_targets.borrow();
        let is_own =
            |t: &&TargetInfo| t.zone == self.me.zone && count.shard_of_target(&t.id) == index;
        known_targets.targets().filter(is_own).cloned().collect()
    }

    /// The list of this zone's targets as this VM last read it.
    pub(super) fn read_target_list(&self) -> Option<TargetList> {
        let known_targets = self.known_targets.borrow();
        let age = self.clock.now() - known_targets.last_read_at()?;
        let of_zone = known_targets.listed().filter(|t| t.zone == self.me.zone);
        let targets = serde_json::to_vec(&of_zone.collect::<Vec<_>>())
            .inspect_err(|e| log::error!("targets: list can't be encoded: {e}"));
        Some(TargetList { targets: targets.ok()?, age })
    }

    /// In a divided zone, fetches the list of targets from the dispatcher of the first shard, which
    /// reads it from the store for all: the list has the targets of all zones, and reads by each
    /// dispatcher would grow with the product of shards and targets. Returns false if this VM should
    /// read it from the store itself; a new dispatcher does, since the fetched one may be older.
    pub async fn fetch_targets(self: &Rc<Self>) -> bool {
        let since = self.dispatcher.borrow().as_ref().map(|d| d.since);
        let is_current = since.is_none_or(|since| self.known_targets.borrow().is_read_since(since));
        if self.shard_count() == ShardCount::ONE || self.shard_index() == 0 || !is_current {
            return false;
        }
        let Some(link) = self.shard_link(0).get() else { return false };
        let requested_at = self.clock.now();
        let Ok(list) = link.target_list().await else { return false };
        if list.age + (self.clock.now() - requested_at) > MAX_SHARED_LIST_AGE {
            return false;
        }
        // This VM reads the store itself rather than take a list that lacks targets.
        match serde_json::from_slice::<Vec<TargetInfo>>(&list.targets) {
            Ok(targets) => {
                let known = self.known_targets.borrow();
                let changed = !known.listed().eq(targets.iter());
                drop(known);
                let read_at = requested_at - list.age;
                self.on_targets_read_at(changed.then_some(targets), read_at);
                true
            }
            Err(e) => {
                log::warn!("targets: list from {} can't be decoded: {e}", link.address);
                false
            }
        }
    }

    /// Adds the targets that a peer knows, encoded as JSON; empty if it sent none.
    pub(super) fn add_targets(self: &Rc<Self>, encoded: &[u8], from: SocketAddr) {
        if encoded.is_empty() {
            return;
        }
        match read_targets(encoded) {
            Ok(list) => {
                log::info!("targets: {} received from the VM at {from}", list.len());
                let changed = self.known_targets.borrow_mut().add_missing(list);
                if changed {
                    self.count_shards();
                    self.update_targets();
                }
            }
            Err(e) => log::warn!("targets: list from {from} can't be decoded: {e}"),
        }
    }
}
