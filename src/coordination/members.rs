//! The entry VMs that this one knows, and which of them dispatch to the zone's workers.

use crate::state::{
    id::{Incarnation, Issuer, TeamName, VmName, ZoneName},
    time::Moment,
};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A peer that was not heard for this long does not count as a dispatcher.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// An entry VM as the platform's list describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberInfo {
    /// Its name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where peers reach it: IP address and port.
    pub peers: String,
    /// Where operators' calls reach it: IP address and port.
    pub operators: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// What a peer says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pulse {
    /// Tasks that wait there.
    pub queued: u32,
    /// Idle slots of its own.
    pub idle: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Tasks offered by team of late; none if this heartbeat does not say.
    pub demand: Option<IndexMap<TeamName, u32>>,
}

#[derive(Debug)]
struct Heard {
    at: Moment,
    incarnation: Incarnation,
    pulse: Pulse,
}

/// The membership as one entry VM sees it.
#[derive(Debug)]
pub struct Members {
    me: VmName,
    incarnation: Incarnation,
    zone: ZoneName,
    listed: IndexMap<VmName, MemberInfo>,
    heard: IndexMap<VmName, Heard>,
}

impl Members {
    /// Knows only itself.
    pub fn new(me: &Issuer) -> Self {
        Members {
            me: me.vm.clone(),
            incarnation: me.incarnation,
            zone: me.zone.clone(),
            listed: IndexMap::new(),
            heard: IndexMap::new(),
        }
    }

    /// Takes over the platform's list.
    pub fn list(&mut self, list: Vec<MemberInfo>) {
        self.listed = list.into_iter().map(|info| (info.vm.clone(), info)).collect();
        self.heard.retain(|vm, _| self.listed.contains_key(vm));
    }

    /// A peer's process has ended: its connection broke and no new one can be made.
    pub fn lost(&mut self, vm: &VmName) {
        self.heard.swap_remove(vm);
    }

    /// Learns from a heartbeat.
    pub fn heard(&mut self, now: Moment, vm: &VmName, incarnation: Incarnation, mut pulse: Pulse) {
        if pulse.demand.is_none() {
            pulse.demand = self.heard.get_mut(vm).and_then(|heard| heard.pulse.demand.take());
        }
        self.heard.insert(vm.clone(), Heard { at: now, incarnation, pulse });
    }

    /// The dispatchers of the zone: the `count` entry VMs that share its workers now. These are
    /// the ones that have run longest, so that a new one takes nothing away from them.
    ///
    /// Two entry VMs may disagree for a while. That costs refused starts, nothing else: a job is
    /// started by its issuer only, and a worker's guard keeps a slot from being used twice.
    pub fn dispatchers(&self, now: Moment, leaving: bool, count: usize) -> IndexSet<VmName> {
        let mut ranked: Vec<(Incarnation, &VmName)> = self
            .heard
            .iter()
            .filter(|(vm, heard)| self.may_dispatch(now, vm, heard))
            .map(|(vm, heard)| (heard.incarnation, vm))
            .collect();
        if !leaving || ranked.is_empty() {
            ranked.push((self.incarnation, &self.me));
        }
        ranked.sort();
        ranked.into_iter().take(count).map(|(_, vm)| vm.clone()).collect()
    }

    fn may_dispatch(&self, now: Moment, vm: &VmName, heard: &Heard) -> bool {
        let listed =
            self.listed.get(vm).is_some_and(|info| info.zone == self.zone && !info.leaving);
        listed && !heard.pulse.leaving && now - heard.at <= SILENCE_LIMIT
    }

    /// All other listed members.
    pub fn peers(&self) -> impl Iterator<Item = &MemberInfo> {
        self.listed.values().filter(|info| info.vm != self.me)
    }

    /// Other listed members of the same zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = &MemberInfo> {
        self.peers().filter(|info| info.zone == self.zone)
    }

    /// Listed members of a zone, other than this one.
    pub fn in_zone(&self, zone: &ZoneName) -> impl Iterator<Item = &MemberInfo> {
        self.peers().filter(move |info| info.zone == *zone)
    }

    /// Whether a member was heard within `span` before `now`.
    pub fn heard_within(&self, now: Moment, vm: &VmName, span: Duration) -> bool {
        self.heard.get(vm).is_some_and(|heard| now - heard.at <= span)
    }

    /// When a member was last heard.
    pub fn last_heard(&self, vm: &VmName) -> Option<Moment> {
        self.heard.get(vm).map(|heard| heard.at)
    }

    /// One listed member.
    pub fn get(&self, vm: &VmName) -> Option<&MemberInfo> {
        self.listed.get(vm)
    }

    /// The incarnation last heard from a member.
    pub fn incarnation(&self, vm: &VmName) -> Option<Incarnation> {
        self.heard.get(vm).map(|heard| heard.incarnation)
    }

    /// Tasks that a team offers at the other members, by their latest heartbeats.
    pub fn demand_elsewhere(&self, team: &TeamName) -> f64 {
        let offers = |heard: &Heard| heard.pulse.demand.as_ref()?.get(team).copied();
        self.heard.values().filter_map(offers).map(f64::from).sum()
    }

    /// Number of listed members, this one included.
    pub fn len(&self) -> usize {
        self.listed.len().max(1)
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.peers().next().is_none()
    }
}
