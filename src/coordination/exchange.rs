//! What the core learns from peers and from the platform's lists, and what it tells of itself.

use super::{
    action::{Action, Event},
    core::Core,
    lookup::Gauges,
    members::{MemberInfo, Pulse},
};
use crate::state::{
    id::{Incarnation, VmName, WorkerName},
    ledger::Entry,
    loan::SlotCount,
    pool::WorkerInfo,
    time::Moment,
};
use indexmap::IndexSet;

impl Core {
    pub(super) fn find_dispatchers(&self, now: Moment) -> IndexSet<VmName> {
        let count = self.scheduler.lock().policy.dispatchers as usize;
        self.members.lock().dispatchers(now, self.is_leaving(), count)
    }

    /// The dispatcher that ids for new jobs should come from, if it is not this entry VM.
    pub fn dispatcher(&self) -> Option<VmName> {
        let dispatchers = self.dispatchers.lock();
        match dispatchers.contains(&self.issuer().vm) {
            true => None,
            false => dispatchers.first().cloned(),
        }
    }

    /// Whether an entry VM of this zone dispatches to its workers.
    pub fn is_dispatcher(&self, vm: &VmName) -> bool {
        self.dispatchers.lock().contains(vm)
    }

    /// A peer's process has ended.
    pub fn lost(&self, now: Moment, peer: &VmName, out: &mut Vec<Action>) {
        self.members.lock().lost(peer);
        self.divide(now, out);
    }

    pub(super) fn divide(&self, now: Moment, out: &mut Vec<Action>) {
        let members = self.find_dispatchers(now);
        let mut sharing = self.dispatchers.lock();
        if *sharing == members {
            return;
        }
        *sharing = members;
        let mut scheduler = self.scheduler.lock();
        scheduler.divide(&sharing);
        scheduler.lending.retain(|peer| sharing.contains(peer));
        let owned = scheduler.pool.owned_slots();
        out.push(Action::Note(Event::Divided { dispatchers: sharing.len(), owned }));
        drop((scheduler, sharing));
        self.dispatch(now, out);
    }

    pub(super) fn share_quotas(&self, now: Moment) {
        let members = self.members.lock();
        let mut scheduler = self.scheduler.lock();
        let teams: Vec<_> = scheduler.demand.keys().cloned().collect();
        let count = members.len() as f64;
        for team in teams {
            let own = f64::from(scheduler.demand[&team]) + 1.0;
            let all = own + members.demand_elsewhere(&team) + (count - 1.0);
            scheduler.share_quota(now, &team, own / all);
        }
    }

    /// Takes over the platform's list of workers of this zone.
    pub fn workers_listed(&self, now: Moment, list: &[WorkerInfo], out: &mut Vec<Action>) {
        let dispatchers = self.find_dispatchers(now);
        self.scheduler.lock().workers(list, &dispatchers);
        self.dispatch(now, out);
    }

    /// Takes over the platform's list of entry VMs.
    pub fn members_listed(&self, now: Moment, list: Vec<MemberInfo>, out: &mut Vec<Action>) {
        self.members.lock().list(list);
        self.divide(now, out);
    }

    /// A worker says itself that it is leaving.
    pub fn worker_leaving(&self, worker: &WorkerName) {
        self.scheduler.lock().worker_leaving(worker);
    }

    /// Learns from a peer's heartbeat. `held` is what it still holds of our slots, if it is in
    /// our zone.
    pub fn heard(
        &self,
        now: Moment,
        from: &VmName,
        incarnation: Incarnation,
        pulse: Pulse,
        held: &[SlotCount],
        out: &mut Vec<Action>,
    ) {
        let mut members = self.members.lock();
        let in_zone = members.zone_peers().any(|peer| peer.vm == *from);
        let idle = if pulse.leaving { 0 } else { pulse.idle };
        members.heard(now, from, incarnation, pulse);
        drop(members);
        if in_zone {
            let mut scheduler = self.scheduler.lock();
            scheduler.lending.idle_at(from, idle);
            scheduler.lending.lent.renew(now, from, held);
            drop(scheduler);
            self.divide(now, out);
        }
    }

    /// What this entry VM says of itself to `to`, and what it holds of `to`'s slots.
    pub fn pulse(&self, now: Moment, to: &VmName, demand: bool) -> (Pulse, Vec<SlotCount>) {
        let scheduler = self.scheduler.lock();
        let queued = scheduler.queue.len() as u32;
        let pulse = Pulse {
            queued,
            idle: if queued == 0 { scheduler.pool.idle_slots(now) } else { 0 },
            leaving: self.is_leaving(),
            demand: demand.then(|| scheduler.demand.clone()),
        };
        (pulse, scheduler.lending.held.borrowed_from(to))
    }

    /// Halves the counts of demand, so that they follow the present; called once per round
    /// of heartbeats that tell them.
    pub fn age_demand(&self) {
        let mut scheduler = self.scheduler.lock();
        scheduler.demand.values_mut().for_each(|tasks| *tasks /= 2);
        scheduler.demand.retain(|_, tasks| *tasks > 0);
    }

    /// Lends idle slots to a zone peer.
    pub fn lend(&self, now: Moment, to: &VmName, slots: u32) -> Vec<SlotCount> {
        match self.is_leaving() {
            true => Vec::new(),
            false => self.scheduler.lock().lend(now, to, slots),
        }
    }

    /// Takes in slots that a peer granted for a request made at `asked`.
    pub fn granted(
        &self,
        now: Moment,
        asked: Moment,
        lender: &VmName,
        grants: &[SlotCount],
        out: &mut Vec<Action>,
    ) {
        self.scheduler.lock().granted(asked, lender, grants);
        self.dispatch(now, out);
    }

    /// Takes back slots from a borrower.
    pub fn returned(&self, now: Moment, from: &VmName, slots: &[SlotCount], out: &mut Vec<Action>) {
        self.scheduler.lock().returned(from, slots);
        self.dispatch(now, out);
    }

    /// Figures for status and metrics.
    pub fn gauges(&self, now: Moment) -> Gauges {
        let mut gauges = Gauges::default();
        for shard in &self.shards {
            for (_, entry) in shard.lock().entries() {
                gauges.entries += 1;
                gauges.open_jobs += usize::from(matches!(entry, Entry::Open(_)));
            }
        }
        let scheduler = self.scheduler.lock();
        gauges.queued = scheduler.waiting();
        gauges.running = scheduler.running();
        gauges.owned = scheduler.pool.owned_slots();
        gauges.idle = scheduler.pool.idle_slots(now);
        gauges.borrowed = scheduler.lending.held.total();
        gauges.set_aside = scheduler.health.ejected_count();
        gauges.totals = scheduler.totals;
        gauges
    }
}
