//! Worker slots that the entry VMs of a zone lend to each other.
//!
//! Loans only predict which slots are free: workers refuse tasks beyond their slots themselves.
//! Lender and borrower may therefore lose or drop a loan at any time.

use super::{
    id::{VmName, WorkerName},
    time::Moment,
};
use indexmap::IndexMap;
use std::time::Duration;

/// The lender takes back slots for which the borrower's heartbeats have not renewed the loan for
/// this long.
pub const LOAN_TIMEOUT: Duration = Duration::from_secs(3);
/// A borrower starts tasks on borrowed slots for this long after its request, so that the slots
/// return to their lender.
pub const MAX_LOAN_USE: Duration = Duration::from_millis(1_500);

/// A number of slots on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotCount {
    /// Worker that has the slots.
    pub worker: WorkerName,
    /// Number of slots.
    pub slots: u32,
}

/// Slots of one worker lent to one borrower.
#[derive(Debug)]
struct Loan {
    slots: u32,
    renewed_at: Moment,
}

/// Slots that this entry VM has lent to peers, by borrower and worker.
#[derive(Debug, Default)]
pub struct LentSlots {
    loans: IndexMap<(VmName, WorkerName), Loan>,
}

impl LentSlots {
    /// Records that one slot of a worker was lent to `to`, which also renews the loan.
    pub fn add(&mut self, now: Moment, to: &VmName, worker: &WorkerName) {
        let key = (to.clone(), worker.clone());
        let loan = self.loans.entry(key).or_insert(Loan { slots: 0, renewed_at: now });
        loan.slots += 1;
        loan.renewed_at = now;
    }

    /// Takes back up to `slots` slots from the borrower `from` and returns how many of them were
    /// lent.
    pub fn take_back(&mut self, from: &VmName, worker: &WorkerName, slots: u32) -> u32 {
        let key = (from.clone(), worker.clone());
        let Some(loan) = self.loans.get_mut(&key) else {
            return 0;
        };
        let returned = slots.min(loan.slots);
        loan.slots -= returned;
        if loan.slots == 0 {
            self.loans.swap_remove(&key);
        }
        returned
    }

    /// Renews the loans of the slots that the borrower `from` reports in its heartbeat.
    pub fn renew(&mut self, now: Moment, from: &VmName, borrowed: &[SlotCount]) {
        for slots in borrowed {
            let key = (from.clone(), slots.worker.clone());
            if let Some(loan) = self.loans.get_mut(&key) {
                loan.renewed_at = now;
            }
        }
    }

    /// Takes back and returns the slots of loans that were not renewed for [`LOAN_TIMEOUT`].
    pub fn expire(&mut self, now: Moment) -> Vec<SlotCount> {
        let mut expired = Vec::new();
        self.loans.retain(|(_, worker), loan| {
            let live = now - loan.renewed_at <= LOAN_TIMEOUT;
            if !live {
                expired.push(SlotCount { worker: worker.clone(), slots: loan.slots });
            }
            live
        });
        expired
    }
}

/// Slots of one worker borrowed from one lender.
#[derive(Debug)]
struct BorrowedLoan {
    slots: u32,
    /// Number of the slots that run a task.
    busy: u32,
    /// When the slots were last requested.
    requested_at: Moment,
    /// Whether any task was started on the slots.
    used: bool,
}

/// Slots that this entry VM has borrowed from peers, by worker and lender.
#[derive(Debug, Default)]
pub struct BorrowedSlots {
    loans: IndexMap<(WorkerName, VmName), BorrowedLoan>,
}

/// Borrowed slots that are returned to their lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GiveBack {
    /// Entry VM that the slots are returned to.
    pub lender: VmName,
    /// Returned slots of each worker.
    pub slots: Vec<SlotCount>,
    /// Number of returned slots whose loans were not used by any task.
    pub unused: u32,
}

impl BorrowedSlots {
    /// Adds slots granted by a lender; `requested_at` is the time of the request.
    pub fn add(&mut self, requested_at: Moment, lender: &VmName, grant: &SlotCount) {
        let key = (grant.worker.clone(), lender.clone());
        let new_loan = || BorrowedLoan { slots: 0, busy: 0, requested_at, used: false };
        let loan = self.loans.entry(key).or_insert_with(new_loan);
        loan.slots += grant.slots;
        loan.requested_at = requested_at;
    }

    /// Iterates over the idle borrowed slots that may still start tasks, by worker and lender.
    pub fn idle_slots(&self, now: Moment) -> impl Iterator<Item = (&WorkerName, u32)> {
        self.loans
            .iter()
            .filter(move |(_, loan)| {
                now - loan.requested_at < MAX_LOAN_USE && loan.slots > loan.busy
            })
            .map(|((worker, _), loan)| (worker, loan.slots - loan.busy))
    }

    /// Marks a borrowed slot of a worker as busy and returns its lender; `None` if no borrowed slot
    /// may be used.
    pub fn start_task(&mut self, now: Moment, worker: &WorkerName) -> Option<VmName> {
        let usable =
            |loan: &BorrowedLoan| now - loan.requested_at < MAX_LOAN_USE && loan.slots > loan.busy;
        let found = self.loans.iter_mut().find(|((name, _), loan)| name == worker && usable(loan));
        let ((_, lender), loan) = found?;
        loan.busy += 1;
        loan.used = true;
        Some(lender.clone())
    }

    /// Marks a borrowed slot as idle after its task has ended.
    pub fn end_task(&mut self, worker: &WorkerName, lender: &VmName) {
        if let Some(loan) = self.loans.get_mut(&(worker.clone(), lender.clone())) {
            loan.busy = loan.busy.saturating_sub(1);
        }
    }

    /// Removes and returns the idle slots that go back to their lenders: all of them if `all`, else
    /// those requested at least [`MAX_LOAN_USE`] ago.
    pub fn give_back(&mut self, now: Moment, all: bool) -> Vec<GiveBack> {
        let mut returned: IndexMap<VmName, GiveBack> = IndexMap::new();
        for ((worker, lender), loan) in &mut self.loans {
            let idle = loan.slots - loan.busy;
            let due = all || now - loan.requested_at >= MAX_LOAN_USE;
            if idle == 0 || !due {
                continue;
            }
            loan.slots -= idle;
            let entry = returned.entry(lender.clone()).or_insert_with(|| GiveBack {
                lender: lender.clone(),
                slots: Vec::new(),
                unused: 0,
            });
            entry.slots.push(SlotCount { worker: worker.clone(), slots: idle });
            entry.unused += if loan.used { 0 } else { idle };
        }
        self.loans.retain(|_, loan| loan.slots > 0);
        returned.into_values().collect()
    }

    /// Slots borrowed from one lender, which are reported in heartbeats to it.
    pub fn borrowed_from(&self, lender: &VmName) -> Vec<SlotCount> {
        self.loans
            .iter()
            .filter(|((_, from), _)| from == lender)
            .map(|((worker, _), loan)| SlotCount { worker: worker.clone(), slots: loan.slots })
            .collect()
    }

    /// Total number of borrowed slots.
    pub fn total(&self) -> u32 {
        self.loans.values().map(|loan| loan.slots).sum()
    }

    /// Returns true if no slot is borrowed.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }
}
