//! Membership: the entry VMs on the platform's list, the latest heartbeat of each, and which of
//! them dispatch to the zone's workers.

use crate::state::{
    id::{Incarnation, Issuer, TeamName, VmName, ZoneName},
    time::Moment,
};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A peer whose latest heartbeat is older than this is not counted as a dispatcher.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberInfo {
    /// Name of the entry VM.
    pub vm: VmName,
    /// Availability zone of the entry VM.
    pub zone: ZoneName,
    /// IP address and port at which it serves the peer protocol.
    pub peers: String,
    /// IP address and port at which it serves operators.
    pub operators: String,
    /// Whether it is leaving and accepts no new jobs; false if the list lacks the field.
    #[serde(default)]
    pub leaving: bool,
}

/// Status of an entry VM, as its heartbeats report it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerStatus {
    /// Number of tasks in its queue.
    pub queued: u32,
    /// Number of its own idle slots that it may lend; 0 while tasks wait there.
    pub idle: u32,
    /// Whether it is leaving and accepts no new jobs.
    pub leaving: bool,
    /// Recently submitted tasks by team, an exponentially decaying count; `None` in heartbeats
    /// that do not contain it.
    pub demand: Option<IndexMap<TeamName, u32>>,
}

/// The latest heartbeat of a peer.
#[derive(Debug)]
struct LastHeartbeat {
    at: Moment,
    incarnation: Incarnation,
    status: PeerStatus,
}

/// The membership as known to one entry VM.
#[derive(Debug)]
pub struct Members {
    own_vm: VmName,
    incarnation: Incarnation,
    zone: ZoneName,
    listed: IndexMap<VmName, MemberInfo>,
    heartbeats: IndexMap<VmName, LastHeartbeat>,
}

impl Members {
    /// Creates a membership of this entry VM alone, whose process is `issuer`.
    pub fn new(issuer: &Issuer) -> Self {
        Members {
            own_vm: issuer.vm.clone(),
            incarnation: issuer.incarnation,
            zone: issuer.zone.clone(),
            listed: IndexMap::new(),
            heartbeats: IndexMap::new(),
        }
    }

    /// Replaces the list of members, and forgets the heartbeats of members not on it.
    pub fn set_list(&mut self, list: Vec<MemberInfo>) {
        self.listed = list.into_iter().map(|info| (info.vm.clone(), info)).collect();
        self.heartbeats.retain(|vm, _| self.listed.contains_key(vm));
    }

    /// Forgets the heartbeats of a peer whose process has ended, as its refusal of
    /// connections shows.
    pub fn forget_heartbeat(&mut self, vm: &VmName) {
        self.heartbeats.swap_remove(vm);
    }

    /// Records a heartbeat. One without the demand by team leaves the last known demand in place.
    pub fn record_heartbeat(
        &mut self,
        now: Moment,
        vm: &VmName,
        incarnation: Incarnation,
        mut status: PeerStatus,
    ) {
        if status.demand.is_none() {
            status.demand = self.heartbeats.get_mut(vm).and_then(|last| last.status.demand.take());
        }
        self.heartbeats.insert(vm.clone(), LastHeartbeat { at: now, incarnation, status });
    }

    /// The dispatchers of the zone: the `count` entry VMs that share its workers now. The longest
    /// running ones are chosen, so that a new entry VM does not change the division of slots.
    ///
    /// Two entry VMs may disagree for a while. That costs refused starts and nothing else: only
    /// the issuer of a job's id starts its tasks, and a worker refuses a task if no slot is free.
    pub fn dispatchers(&self, now: Moment, leaving: bool, count: usize) -> IndexSet<VmName> {
        let mut ranked: Vec<(Incarnation, &VmName)> = self
            .heartbeats
            .iter()
            .filter(|(vm, last)| self.can_dispatch(now, vm, last))
            .map(|(vm, last)| (last.incarnation, vm))
            .collect();
        if !leaving || ranked.is_empty() {
            ranked.push((self.incarnation, &self.own_vm));
        }
        ranked.sort();
        ranked.into_iter().take(count).map(|(_, vm)| vm.clone()).collect()
    }

    fn can_dispatch(&self, now: Moment, vm: &VmName, last: &LastHeartbeat) -> bool {
        let listed =
            self.listed.get(vm).is_some_and(|info| info.zone == self.zone && !info.leaving);
        listed && !last.status.leaving && now - last.at <= HEARTBEAT_TIMEOUT
    }

    /// Listed members of all zones, other than this one.
    pub fn peers(&self) -> impl Iterator<Item = &MemberInfo> {
        self.listed.values().filter(|info| info.vm != self.own_vm)
    }

    /// Listed members of this entry VM's zone, other than this one.
    pub fn zone_peers(&self) -> impl Iterator<Item = &MemberInfo> {
        self.peers().filter(|info| info.zone == self.zone)
    }

    /// Listed members of `zone`, other than this one.
    pub fn peers_in_zone(&self, zone: &ZoneName) -> impl Iterator<Item = &MemberInfo> {
        self.peers().filter(move |info| info.zone == *zone)
    }

    /// Whether a heartbeat of `vm` arrived within `span` before `now`.
    pub fn has_heartbeat_within(&self, now: Moment, vm: &VmName, span: Duration) -> bool {
        self.heartbeats.get(vm).is_some_and(|last| now - last.at <= span)
    }

    /// When the latest heartbeat of `vm` arrived; `None` if none is known.
    pub fn last_heartbeat(&self, vm: &VmName) -> Option<Moment> {
        self.heartbeats.get(vm).map(|last| last.at)
    }

    /// Entry for `vm` on the platform's list, if listed.
    pub fn get(&self, vm: &VmName) -> Option<&MemberInfo> {
        self.listed.get(vm)
    }

    /// The incarnation in the latest heartbeat of `vm`, if one is known.
    pub fn incarnation(&self, vm: &VmName) -> Option<Incarnation> {
        self.heartbeats.get(vm).map(|last| last.incarnation)
    }

    /// A team's demand at all other members, in tasks, by their latest heartbeats.
    pub fn peer_demand(&self, team: &TeamName) -> f64 {
        let demand = |last: &LastHeartbeat| last.status.demand.as_ref()?.get(team).copied();
        self.heartbeats.values().filter_map(demand).map(f64::from).sum()
    }

    /// Number of listed members, this one included; at least 1.
    pub fn len(&self) -> usize {
        self.listed.len().max(1)
    }

    /// Whether no other member is listed.
    pub fn is_empty(&self) -> bool {
        self.peers().next().is_none()
    }
}
