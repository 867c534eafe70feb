//! Handover of a leaving entry VM: its ledger of ids and answers goes to a peer, which then serves
//! requests for these ids.

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
    /// Stops accepting new jobs; accepted jobs are run to their end.
    pub fn leave(&self, now: Moment, out: &mut Vec<Action>) {
        if !self.leaving.swap(true, Ordering::SeqCst) {
            out.push(Action::Record(Event::Leaving));
            self.dispatch(now, out);
        }
    }

    /// Whether every accepted job has its answer.
    pub fn is_drained(&self) -> bool {
        let is_open = |entry: &Entry| matches!(entry, Entry::Open(_));
        !self.shards.iter().any(|shard| shard.lock().entries().any(|(_, entry)| is_open(entry)))
    }

    /// Returns the ledgers to hand over: the ones inherited from other entry VMs, then this one's.
    /// `None` if this entry VM is not leaving, or a job has no answer yet.
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

    /// Takes over the ledger of an entry VM that left, to serve its ids until they expire.
    pub fn inherit_ledger(&self, now: Moment, ledger: ClosedLedger, out: &mut Vec<Action>) {
        out.push(Action::Record(Event::LedgerInherited { vm: ledger.issuer.vm.clone() }));
        self.inherited.lock().add(now, ledger);
    }

    /// Looks an id up in the ledger inherited from its issuer. `None` if there is none.
    pub fn look_up_inherited(&self, id: &JobId) -> Option<Result<ClosedEntry, TicketError>> {
        self.inherited.lock().get(id.issuer.incarnation).map(|ledger| ledger.look_up(id))
    }
}
