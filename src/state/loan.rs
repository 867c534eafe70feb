//! Worker slots lent between entry VMs of a zone.
//!
//! A loan is only an expectation: the worker's own guard is what keeps a slot from being used
//! twice. Both sides may therefore forget a loan at any time.

use super::{
    id::{VmName, WorkerName},
    time::Moment,
};
use indexmap::IndexMap;
use std::time::Duration;

/// A borrowed slot that its lender is not reminded of for this long falls back to the lender.
pub const LOAN_TERM: Duration = Duration::from_secs(3);
/// A borrower uses a loan for new tasks for this long at most, so that slots flow back.
pub const LOAN_USE: Duration = Duration::from_millis(1_500);

/// A number of slots on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotCount {
    /// The worker.
    pub worker: WorkerName,
    /// How many.
    pub slots: u32,
}

#[derive(Debug)]
struct LentSlots {
    slots: u32,
    renewed: Moment,
}

/// Slots lent to others.
#[derive(Debug, Default)]
pub struct Lent {
    loans: IndexMap<(VmName, WorkerName), LentSlots>,
}

impl Lent {
    /// Lends one slot.
    pub fn add(&mut self, now: Moment, to: &VmName, worker: &WorkerName) {
        let key = (to.clone(), worker.clone());
        let loan = self.loans.entry(key).or_insert(LentSlots { slots: 0, renewed: now });
        loan.slots += 1;
        loan.renewed = now;
    }

    /// Takes slots back; returns how many were out.
    pub fn returned(&mut self, from: &VmName, worker: &WorkerName, slots: u32) -> u32 {
        let key = (from.clone(), worker.clone());
        let Some(loan) = self.loans.get_mut(&key) else {
            return 0;
        };
        let back = slots.min(loan.slots);
        loan.slots -= back;
        if loan.slots == 0 {
            self.loans.swap_remove(&key);
        }
        back
    }

    /// Learns from a heartbeat what a borrower still holds.
    pub fn renew(&mut self, now: Moment, from: &VmName, held: &[SlotCount]) {
        for slots in held {
            let key = (from.clone(), slots.worker.clone());
            if let Some(loan) = self.loans.get_mut(&key) {
                loan.renewed = now;
            }
        }
    }

    /// Takes back what was not renewed in time.
    pub fn expire(&mut self, now: Moment) -> Vec<SlotCount> {
        let mut back = Vec::new();
        self.loans.retain(|(_, worker), loan| {
            let live = now - loan.renewed <= LOAN_TERM;
            if !live {
                back.push(SlotCount { worker: worker.clone(), slots: loan.slots });
            }
            live
        });
        back
    }
}

#[derive(Debug)]
struct HeldSlots {
    slots: u32,
    busy: u32,
    since: Moment,
    used: bool,
}

/// Slots borrowed from others.
#[derive(Debug, Default)]
pub struct Held {
    loans: IndexMap<(WorkerName, VmName), HeldSlots>,
}

/// Slots that go back to their lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GiveBack {
    /// The lender.
    pub lender: VmName,
    /// What goes back.
    pub slots: Vec<SlotCount>,
    /// How many of them were never used.
    pub unused: u32,
}

impl Held {
    /// Enters granted slots; `asked` is when they were asked for.
    pub fn add(&mut self, asked: Moment, lender: &VmName, grant: &SlotCount) {
        let key = (grant.worker.clone(), lender.clone());
        let fresh = || HeldSlots { slots: 0, busy: 0, since: asked, used: false };
        let loan = self.loans.entry(key).or_insert_with(fresh);
        loan.slots += grant.slots;
        loan.since = asked;
    }

    /// Idle borrowed slots that may still be used, by worker.
    pub fn idle(&self, now: Moment) -> impl Iterator<Item = (&WorkerName, u32)> {
        self.loans
            .iter()
            .filter(move |(_, loan)| now - loan.since < LOAN_USE && loan.slots > loan.busy)
            .map(|((worker, _), loan)| (worker, loan.slots - loan.busy))
    }

    /// Uses one slot; returns its lender.
    pub fn start(&mut self, now: Moment, worker: &WorkerName) -> Option<VmName> {
        let usable = |loan: &HeldSlots| now - loan.since < LOAN_USE && loan.slots > loan.busy;
        let found = self.loans.iter_mut().find(|((name, _), loan)| name == worker && usable(loan));
        let ((_, lender), loan) = found?;
        loan.busy += 1;
        loan.used = true;
        Some(lender.clone())
    }

    /// A task on a borrowed slot has ended.
    pub fn end(&mut self, worker: &WorkerName, lender: &VmName) {
        if let Some(loan) = self.loans.get_mut(&(worker.clone(), lender.clone())) {
            loan.busy = loan.busy.saturating_sub(1);
        }
    }

    /// Takes out the idle slots that go back: all if `all`, else those used for long enough.
    pub fn give_back(&mut self, now: Moment, all: bool) -> Vec<GiveBack> {
        let mut back: IndexMap<VmName, GiveBack> = IndexMap::new();
        for ((worker, lender), loan) in &mut self.loans {
            let idle = loan.slots - loan.busy;
            let due = all || now - loan.since >= LOAN_USE;
            if idle == 0 || !due {
                continue;
            }
            loan.slots -= idle;
            let entry = back.entry(lender.clone()).or_insert_with(|| GiveBack {
                lender: lender.clone(),
                slots: Vec::new(),
                unused: 0,
            });
            entry.slots.push(SlotCount { worker: worker.clone(), slots: idle });
            entry.unused += if loan.used { 0 } else { idle };
        }
        self.loans.retain(|_, loan| loan.slots > 0);
        back.into_values().collect()
    }

    /// What is held from one lender, for the heartbeat to it.
    pub fn from(&self, lender: &VmName) -> Vec<SlotCount> {
        self.loans
            .iter()
            .filter(|((_, from), _)| from == lender)
            .map(|((worker, _), loan)| SlotCount { worker: worker.clone(), slots: loan.slots })
            .collect()
    }

    /// Number of slots held.
    pub fn len(&self) -> u32 {
        self.loans.values().map(|loan| loan.slots).sum()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }
}
