//! Borrowing idle slots from zone peers, and lending them.

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

/// Slots that a lender keeps for its own next tasks, as a share of those it owns.
const RESERVE_SHARE: f64 = 0.05;
/// Expected wait, in seconds, that justifies a request to borrow where waste weighs most.
const WASTEFUL_WAIT: f64 = 0.1;
/// A request to borrow without an answer is forgotten after this long.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// What is known of a possible lender.
#[derive(Debug, Default)]
struct Lender {
    idle: u32,
    asked: Option<Moment>,
}

/// Loans in both directions.
#[derive(Debug, Default)]
pub struct Lending {
    /// Slots borrowed.
    pub held: BorrowedSlots,
    /// Slots lent.
    pub lent: LentSlots,
    lenders: IndexMap<VmName, Lender>,
}

impl Lending {
    /// Learns how many idle slots a peer has.
    pub fn idle_at(&mut self, peer: &VmName, idle: u32) {
        self.lenders.entry(peer.clone()).or_default().idle = idle;
    }

    /// Forgets peers that are gone.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&VmName) -> bool,
    {
        self.lenders.retain(|peer, _| keep(peer));
    }
}

impl Scheduler {
    /// Asks peers for slots if tasks wait and nothing of our own is idle.
    pub fn borrow(&mut self, now: Moment, out: &mut Vec<Action>) {
        if self.policy.sharing != SlotSharing::Lending || self.queue.is_empty() {
            return;
        }
        let wait = self.queue.queued_seconds() / self.capacity().max(1e-3);
        if wait < WASTEFUL_WAIT * self.policy.waste_weight {
            return;
        }
        let mut wanted = self.queue.len() as u32;
        let mut lenders: Vec<_> = self.lending.lenders.iter_mut().collect();
        lenders.sort_by_key(|(_, lender)| std::cmp::Reverse(lender.idle));
        for (peer, lender) in lenders {
            let waits = lender.asked.is_some_and(|asked| now - asked < ASK_TIMEOUT);
            if wanted == 0 || lender.idle == 0 || waits {
                continue;
            }
            let slots = wanted.min(lender.idle);
            wanted -= slots;
            lender.idle -= slots;
            lender.asked = Some(now);
            self.totals.count_message(MessageKind::Borrow);
            out.push(Action::Borrow { lender: peer.clone(), slots });
        }
    }

    /// Lends idle slots to a peer that queues.
    pub fn lend(&mut self, now: Moment, to: &VmName, slots: u32) -> Vec<SlotCount> {
        if !self.queue.is_empty() {
            return Vec::new();
        }
        let reserve = (f64::from(self.pool.owned_slots()) * RESERVE_SHARE).ceil() as u32;
        let mut left = slots.min(self.pool.idle_slots(now).saturating_sub(reserve));
        let mut granted = Vec::new();
        let mut names: Vec<_> = self
            .pool
            .iter()
            .filter(|worker| worker.accepts_tasks(now) && worker.idle_slots() > 0)
            .filter(|worker| {
                self.health.can_take_task(now, &worker.info.name, worker.running_tasks)
            })
            .map(|worker| worker.info.name.clone())
            .collect();
        names.sort_by(|a, b| self.speeds.slowness(a).total_cmp(&self.speeds.slowness(b)));
        for name in names {
            let Some(worker) = self.pool.get_mut(&name) else {
                continue;
            };
            let lent = left.min(worker.idle_slots());
            if lent == 0 {
                continue;
            }
            worker.lent_slots += lent;
            left -= lent;
            (0..lent).for_each(|_| self.lending.lent.add(now, to, &name));
            granted.push(SlotCount { worker: name, slots: lent });
        }
        granted
    }

    /// Takes in slots that a peer granted; `asked` is when they were asked for.
    pub fn granted(&mut self, asked: Moment, lender: &VmName, grants: &[SlotCount]) {
        if let Some(known) = self.lending.lenders.get_mut(lender) {
            known.asked = None;
        }
        if grants.is_empty() {
            self.totals.count_wasted(WasteKind::EmptyBorrow);
            self.lending.idle_at(lender, 0);
        }
        grants.iter().for_each(|grant| self.lending.held.add(asked, lender, grant));
    }

    /// Takes back slots from a borrower.
    pub fn returned(&mut self, from: &VmName, slots: &[SlotCount]) {
        for back in slots {
            let count = self.lending.lent.take_back(from, &back.worker, back.slots);
            self.unlend(back, count);
        }
    }

    fn unlend(&mut self, back: &SlotCount, count: u32) {
        if let Some(worker) = self.pool.get_mut(&back.worker) {
            worker.lent_slots = worker.lent_slots.saturating_sub(count);
        }
    }

    /// Gives idle borrowed slots back, and takes back those whose borrower fell silent.
    pub fn settle_loans(&mut self, now: Moment, out: &mut Vec<Action>) {
        let all = self.queue.is_empty();
        for back in self.lending.held.give_back(now, all) {
            self.totals.count_message(MessageKind::GiveBack);
            (0..back.unused).for_each(|_| self.totals.count_wasted(WasteKind::UnusedLoan));
            out.push(Action::GiveBack(back));
        }
        for back in self.lending.lent.expire(now) {
            self.unlend(&back, back.slots);
        }
    }
}
