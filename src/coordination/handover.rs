//! Leaving, and answering for an entry VM that has left.

use super::{
    action::{Action, Event},
    core::Core,
};
use crate::state::{
    id::JobId,
    ledger::{ClosedEntry, ClosedLedger, Entry, TicketError},
    time::Moment,
};
use indexmap::IndexMap;
use std::sync::{Arc, atomic::Ordering};

impl Core {
    /// Takes no new jobs from now on; what is accepted is finished.
    pub fn leave(&self, now: Moment, out: &mut Vec<Action>) {
        if !self.leaving.swap(true, Ordering::SeqCst) {
            out.push(Action::Note(Event::Leaving));
            self.dispatch(now, out);
        }
    }

    /// Whether every accepted job has its answer.
    pub fn is_drained(&self) -> bool {
        let open = |entry: &Entry| matches!(entry, Entry::Open(_));
        !self.shards.iter().any(|shard| shard.lock().entries().any(|(_, entry)| open(entry)))
    }

    /// The closed ledger to hand over, and those inherited from others. Only a leaving entry VM
    /// whose jobs are all answered has one.
    pub fn close_ledger(&self, now: Moment) -> Option<Vec<ClosedLedger>> {
        if !self.is_leaving() || !self.is_drained() {
            return None;
        }
        let (oldest_live, next) = self.tickets.remove_expired(now);
        let mut answers = IndexMap::new();
        for shard in &self.shards {
            for (number, entry) in shard.lock().entries() {
                if let Entry::Closed { digest, answer } = entry {
                    answers.insert(*number, (*digest, Arc::clone(answer)));
                }
            }
        }
        let own = ClosedLedger {
            issuer: self.issuer().clone(),
            key: self.tickets.key(),
            next,
            oldest_live,
            answers,
        };
        let mut ledgers = self.inherited.lock().take_all();
        ledgers.push(own);
        Some(ledgers)
    }

    /// Answers from now on for an entry VM that left.
    pub fn adopt(&self, now: Moment, ledger: ClosedLedger, out: &mut Vec<Action>) {
        out.push(Action::Note(Event::Inherited { vm: ledger.issuer.vm.clone() }));
        self.inherited.lock().add(now, ledger);
    }

    /// What is known of an id whose issuer has left and whose ledger is here; none if it is not.
    pub fn inherited(&self, id: &JobId) -> Option<Result<ClosedEntry, TicketError>> {
        self.inherited.lock().get(id.issuer.incarnation).map(|ledger| ledger.look_up(id))
    }
}
