//! The entry VMs that this one knows, and which of them share the zone's workers.

use crate::state::{
    id::{Incarnation, TeamName, VmName, ZoneName},
    time::Moment,
};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A peer that was not heard for this long takes no part in sharing the workers.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);

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
    zone: ZoneName,
    listed: IndexMap<VmName, (MemberInfo, Moment)>,
    heard: IndexMap<VmName, Heard>,
}

impl Members {
    /// Knows only itself.
    pub fn new(me: VmName, zone: ZoneName) -> Self {
        Members { me, zone, listed: IndexMap::new(), heard: IndexMap::new() }
    }

    /// Takes over the platform's list.
    pub fn list(&mut self, now: Moment, list: Vec<MemberInfo>) {
        let mut listed = IndexMap::new();
        for info in list {
            let since = self.listed.get(&info.vm).map_or(now, |(_, since)| *since);
            listed.insert(info.vm.clone(), (info, since));
        }
        self.heard.retain(|vm, _| listed.contains_key(vm));
        self.listed = listed;
    }

    /// Learns from a heartbeat.
    pub fn heard(&mut self, now: Moment, vm: &VmName, incarnation: Incarnation, mut pulse: Pulse) {
        if pulse.demand.is_none() {
            pulse.demand = self.heard.get_mut(vm).and_then(|heard| heard.pulse.demand.take());
        }
        self.heard.insert(vm.clone(), Heard { at: now, incarnation, pulse });
    }

    /// The entry VMs, this one among them, that share the zone's workers now.
    pub fn sharing(&self, now: Moment, leaving: bool) -> IndexSet<VmName> {
        let mut sharing: IndexSet<VmName> = self
            .listed
            .values()
            .filter(|(info, since)| self.shares(now, info, *since))
            .map(|(info, _)| info.vm.clone())
            .collect();
        sharing.shift_remove(&self.me);
        if !leaving || sharing.is_empty() {
            sharing.insert(self.me.clone());
        }
        sharing.sort();
        sharing
    }

    fn shares(&self, now: Moment, info: &MemberInfo, since: Moment) -> bool {
        if info.zone != self.zone || info.leaving {
            return false;
        }
        match self.heard.get(&info.vm) {
            Some(heard) => !heard.pulse.leaving && now - heard.at <= SILENCE_LIMIT,
            None => now - since <= SILENCE_LIMIT,
        }
    }

    /// All other listed members.
    pub fn peers(&self) -> impl Iterator<Item = &MemberInfo> {
        self.listed.values().map(|(info, _)| info).filter(|info| info.vm != self.me)
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
        self.listed.get(vm).map(|(info, _)| info)
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
