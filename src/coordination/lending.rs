//! Borrowing idle slots from zone peers, and lending idle slots to them.

use super::{action::Action, scheduler::Scheduler};
use crate::state::{
    id::VmName,
    loan::{BorrowedSlots, LentSlots, SlotCount},
    message_counts::{MessageKind, WasteKind},
    policy::SlotSharing,
    time::Moment,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Share of its own slots that a lender keeps idle for its own next tasks.
const LENDER_RESERVE_SHARE: f64 = 0.05;
/// Shortest expected wait for which slots are borrowed at a waste weight of 1; it is multiplied by
/// the waste weight.
const MIN_WAIT_TO_BORROW_SECONDS: f64 = 0.1;
/// Time after which slots are requested again from a lender that has not answered.
const BORROW_TIMEOUT: Duration = Duration::from_secs(1);

/// A peer that may lend slots.
#[derive(Debug, Default)]
struct Lender {
    /// Idle slots reported in its latest heartbeat, less those requested since.
    idle: u32,
    /// When slots were requested from it; unset once it has answered.
    requested_at: Option<Moment>,
}

/// Slots lent to and borrowed from the peers of the zone.
#[derive(Debug, Default)]
pub struct Loans {
    /// Slots borrowed from peers.
    pub borrowed: BorrowedSlots,
    /// Slots lent to peers.
    pub lent: LentSlots,
    lenders: IndexMap<VmName, Lender>,
}

impl Loans {
    /// Sets the number of idle slots that a peer has.
    pub fn set_idle(&mut self, peer: &VmName, idle: u32) {
        self.lenders.entry(peer.clone()).or_default().idle = idle;
    }

    /// Removes the lenders for which `keep` is false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&VmName) -> bool,
    {
        self.lenders.retain(|peer, _| keep(peer));
    }
}

impl Scheduler {
    /// Asks peers for slots if tasks remain queued after assignment, the peers with most idle slots
    /// first. Does nothing if the expected wait is too short to be worth the messages.
    pub fn borrow(&mut self, now: Moment, out: &mut Vec<Action>) {
        if self.policy.sharing != SlotSharing::Lending || self.queue.is_empty() {
            return;
        }
        let wait = self.queue.queued_seconds() / self.capacity().max(1e-3);
        if wait < MIN_WAIT_TO_BORROW_SECONDS * self.policy.waste_weight {
            return;
        }
        let mut wanted = self.queue.len() as u32;
        let mut lenders: Vec<_> = self.loans.lenders.iter_mut().collect();
        lenders.sort_by_key(|(_, lender)| std::cmp::Reverse(lender.idle));
        for (peer, lender) in lenders {
            let is_pending = lender.requested_at.is_some_and(|at| now - at < BORROW_TIMEOUT);
            if wanted == 0 || lender.idle == 0 || is_pending {
                continue;
            }
            let slots = wanted.min(lender.idle);
            wanted -= slots;
            lender.idle -= slots;
            lender.requested_at = Some(now);
            self.totals.count_message(MessageKind::Borrow);
            out.push(Action::Borrow { lender: peer.clone(), slots });
        }
    }

    /// Lends at most `slots` idle slots to a peer, those of the fastest workers first. Lends none
    /// while tasks are queued here, and keeps a reserve.
    pub fn lend(&mut self, now: Moment, to: &VmName, slots: u32) -> Vec<SlotCount> {
        if !self.queue.is_empty() {
            return Vec::new();
        }
        let reserve = (f64::from(self.pool.owned_slots()) * LENDER_RESERVE_SHARE).ceil() as u32;
        let mut remaining = slots.min(self.pool.idle_slots(now).saturating_sub(reserve));
        let mut granted = Vec::new();
        let mut names: Vec<_> = self
            .pool
            .iter()
            .filter(|worker| worker.accepts_tasks(now) && worker.idle_slots() > 0)
            .filter(|worker| {
                self.outliers.can_take_task(now, &worker.info.name, worker.running_tasks)
            })
            .map(|worker| worker.info.name.clone())
            .collect();
        names.sort_by(|a, b| self.estimator.slowness(a).total_cmp(&self.estimator.slowness(b)));
        for name in names {
            let Some(worker) = self.pool.get_mut(&name) else {
                continue;
            };
            let lent = remaining.min(worker.idle_slots());
            if lent == 0 {
                continue;
            }
            worker.lent_slots += lent;
            remaining -= lent;
            (0..lent).for_each(|_| self.loans.lent.add(now, to, &name));
            granted.push(SlotCount { worker: name, slots: lent });
        }
        granted
    }

    /// Adds the slots that a peer lent for the request sent at `requested_at`. An empty answer
    /// counts as a wasted message, and the peer as without idle slots until its next heartbeat.
    pub fn on_loan_granted(&mut self, requested_at: Moment, lender: &VmName, grants: &[SlotCount]) {
        if let Some(known) = self.loans.lenders.get_mut(lender) {
            known.requested_at = None;
        }
        if grants.is_empty() {
            self.totals.count_wasted(WasteKind::EmptyBorrow);
            self.loans.set_idle(lender, 0);
        }
        grants.iter().for_each(|grant| self.loans.borrowed.add(requested_at, lender, grant));
    }

    /// Takes back slots that a borrower gives back. Slots that were not lent to it are ignored.
    pub fn on_loan_returned(&mut self, from: &VmName, slots: &[SlotCount]) {
        for returned in slots {
            let count = self.loans.lent.take_back(from, &returned.worker, returned.slots);
            self.reclaim_slots(returned, count);
        }
    }

    /// Makes `count` lent slots of a worker usable here again.
    fn reclaim_slots(&mut self, returned: &SlotCount, count: u32) {
        if let Some(worker) = self.pool.get_mut(&returned.worker) {
            worker.lent_slots = worker.lent_slots.saturating_sub(count);
        }
    }

    /// Gives idle borrowed slots back, all of them if no task is queued, else those whose term is
    /// over; and takes back lent slots whose borrower no longer reports them in its heartbeats.
    pub fn expire_loans(&mut self, now: Moment, out: &mut Vec<Action>) {
        let is_queue_empty = self.queue.is_empty();
        for give_back in self.loans.borrowed.give_back(now, is_queue_empty) {
            self.totals.count_message(MessageKind::GiveBack);
            (0..give_back.unused).for_each(|_| self.totals.count_wasted(WasteKind::UnusedLoan));
            out.push(Action::GiveBack(give_back));
        }
        for expired in self.loans.lent.expire(now) {
            self.reclaim_slots(&expired, expired.slots);
        }
    }
}
