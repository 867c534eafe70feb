//! Input of the core from peers and from the platform's lists: heartbeats, loans of slots and
//! membership; and the figures that it reports for status and metrics.

use super::{
    action::{Action, Event},
    core::Core,
    members::{MemberInfo, PeerStatus},
    status::Gauges,
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
    /// The entry VMs that dispatch to this zone's workers, by the present membership.
    pub(super) fn find_dispatchers(&self, now: Moment) -> IndexSet<VmName> {
        let count = self.scheduler.lock().policy.dispatchers as usize;
        self.members.lock().dispatchers(now, self.is_leaving(), count)
    }

    /// The dispatcher that should issue the ids of new jobs, or `None` if this entry VM issues
    /// them itself.
    pub fn dispatcher(&self) -> Option<VmName> {
        let dispatchers = self.dispatchers.lock();
        match dispatchers.contains(&self.issuer().vm) {
            true => None,
            false => dispatchers.first().cloned(),
        }
    }

    /// Whether `vm` is one of the dispatchers of this zone.
    pub fn is_dispatcher(&self, vm: &VmName) -> bool {
        self.dispatchers.lock().contains(vm)
    }

    /// Removes a peer whose process has ended from the dispatchers.
    pub fn on_peer_lost(&self, now: Moment, peer: &VmName, out: &mut Vec<Action>) {
        self.members.lock().forget_heartbeat(peer);
        self.divide_slots(now, out);
    }

    /// Divides the zone's slots again if the set of dispatchers has changed.
    pub(super) fn divide_slots(&self, now: Moment, out: &mut Vec<Action>) {
        let found = self.find_dispatchers(now);
        let mut dispatchers = self.dispatchers.lock();
        if *dispatchers == found {
            return;
        }
        *dispatchers = found;
        let mut scheduler = self.scheduler.lock();
        scheduler.divide_slots(&dispatchers);
        scheduler.loans.retain(|peer| dispatchers.contains(peer));
        let owned = scheduler.pool.owned_slots();
        out.push(Action::Record(Event::SlotsDivided { dispatchers: dispatchers.len(), owned }));
        drop((scheduler, dispatchers));
        self.dispatch(now, out);
    }

    /// Sets this entry VM's share of each team's quota by its share of the team's demand. One task
    /// is added to each entry VM's demand, so that no share is zero.
    pub(super) fn share_quotas(&self, now: Moment) {
        let members = self.members.lock();
        let mut scheduler = self.scheduler.lock();
        let teams: Vec<_> = scheduler.demand.keys().cloned().collect();
        let count = members.len() as f64;
        for team in teams {
            let own = f64::from(scheduler.demand[&team]) + 1.0;
            let all = own + members.peer_demand(&team) + (count - 1.0);
            scheduler.set_quota_share(now, &team, own / all);
        }
    }

    /// Replaces the list of this zone's workers by the one read from the platform.
    pub fn on_worker_list(&self, now: Moment, list: &[WorkerInfo], out: &mut Vec<Action>) {
        let dispatchers = self.find_dispatchers(now);
        self.scheduler.lock().update_workers(list, &dispatchers);
        self.dispatch(now, out);
    }

    /// Replaces the list of entry VMs by the one read from the platform.
    pub fn on_member_list(&self, now: Moment, list: Vec<MemberInfo>, out: &mut Vec<Action>) {
        self.members.lock().set_list(list);
        self.divide_slots(now, out);
    }

    /// Marks a worker as leaving, as it reported itself; it gets no more tasks.
    pub fn on_worker_leaving(&self, worker: &WorkerName) {
        self.scheduler.lock().on_worker_leaving(worker);
    }

    /// Handles a peer's heartbeat. `borrowed` are the slots that the peer still borrows from this
    /// entry VM; it is used only if the peer is in the same zone.
    pub fn on_heartbeat(
        &self,
        now: Moment,
        from: &VmName,
        incarnation: Incarnation,
        status: PeerStatus,
        borrowed: &[SlotCount],
        out: &mut Vec<Action>,
    ) {
        let mut members = self.members.lock();
        let in_zone = members.zone_peers().any(|peer| peer.vm == *from);
        let idle = if status.leaving { 0 } else { status.idle };
        members.record_heartbeat(now, from, incarnation, status);
        drop(members);
        if in_zone {
            let mut scheduler = self.scheduler.lock();
            scheduler.loans.set_idle(from, idle);
            scheduler.loans.lent.renew(now, from, borrowed);
            drop(scheduler);
            self.divide_slots(now, out);
        }
    }

    /// Returns the content of a heartbeat to `to`: the status of this entry VM, with its demand by
    /// team if `include_demand`, and the slots borrowed from `to`.
    pub fn peer_status(
        &self,
        now: Moment,
        to: &VmName,
        include_demand: bool,
    ) -> (PeerStatus, Vec<SlotCount>) {
        let scheduler = self.scheduler.lock();
        let queued = scheduler.queue.len() as u32;
        let status = PeerStatus {
            queued,
            idle: if queued == 0 { scheduler.pool.idle_slots(now) } else { 0 },
            leaving: self.is_leaving(),
            demand: include_demand.then(|| scheduler.demand.clone()),
        };
        (status, scheduler.loans.borrowed.borrowed_from(to))
    }

    /// Halves the counts of demand, so that they follow recent load. Called once for each round of
    /// heartbeats that contain the demand.
    pub fn decay_demand(&self) {
        let mut scheduler = self.scheduler.lock();
        scheduler.demand.values_mut().for_each(|tasks| *tasks /= 2);
        scheduler.demand.retain(|_, tasks| *tasks > 0);
    }

    /// Lends at most `slots` idle slots to a zone peer; none while leaving.
    pub fn lend(&self, now: Moment, to: &VmName, slots: u32) -> Vec<SlotCount> {
        match self.is_leaving() {
            true => Vec::new(),
            false => self.scheduler.lock().lend(now, to, slots),
        }
    }

    /// Adds the slots that a peer lent for the request sent at `requested_at`; `grants` is empty if
    /// it lent none or did not answer.
    pub fn on_loan_granted(
        &self,
        now: Moment,
        requested_at: Moment,
        lender: &VmName,
        grants: &[SlotCount],
        out: &mut Vec<Action>,
    ) {
        self.scheduler.lock().on_loan_granted(requested_at, lender, grants);
        self.dispatch(now, out);
    }

    /// Takes back slots that a borrower gives back.
    pub fn on_loan_returned(
        &self,
        now: Moment,
        from: &VmName,
        slots: &[SlotCount],
        out: &mut Vec<Action>,
    ) {
        self.scheduler.lock().on_loan_returned(from, slots);
        self.dispatch(now, out);
    }

    /// Returns the present figures for status and metrics.
    pub fn gauges(&self, now: Moment) -> Gauges {
        let mut gauges = Gauges::default();
        for shard in &self.shards {
            for (_, entry) in shard.lock().entries() {
                gauges.entries += 1;
                gauges.open_jobs += usize::from(matches!(entry, Entry::Open(_)));
            }
        }
        let scheduler = self.scheduler.lock();
        gauges.queued = scheduler.queued();
        gauges.running = scheduler.running();
        gauges.owned = scheduler.pool.owned_slots();
        gauges.idle = scheduler.pool.idle_slots(now);
        gauges.borrowed = scheduler.loans.borrowed.total();
        gauges.ejected = scheduler.outliers.ejected_count();
        gauges.totals = scheduler.totals;
        gauges
    }
}
