//! The evacuated zones as known to this VM: learned from the platform's store or from peers, and
//! passed on to the dispatcher's core.

use super::{Node, TargetClient};
use crate::state::evacuation::Evacuations;
use std::{rc::Rc, time::Duration};

impl<T> Node<T>
where
    T: TargetClient,
{
    /// The evacuated zones known to this VM.
    pub fn evacuations(&self) -> Evacuations {
        self.evacuations.borrow().clone()
    }

    /// Records the evacuated zones that the platform's store or a peer reports, unless they are
    /// older than the known ones, and passes a changed set to the dispatcher's core. `source` names
    /// their origin in the log.
    pub fn set_evacuations(self: &Rc<Self>, evacuations: Evacuations, source: &str) {
        self.evacuations_confirmed_at.set(self.clock.now());
        let old = self.evacuations();
        if !self.evacuations.borrow_mut().replace_if_newer(evacuations) {
            return;
        }
        let new = self.evacuations();
        if new.zones() == old.zones() {
            return;
        }
        let revision = new.revision();
        for zone in new.zones().difference(old.zones()) {
            log::warn!("evacuation: {zone} is evacuated, from {source}, revision {revision}");
        }
        for zone in old.zones().difference(new.zones()) {
            log::info!("evacuation: {zone} serves again, from {source}, revision {revision}");
        }
        self.drive(|core, now| core.set_evacuated_zones(new.zones(), now));
    }

    /// Records the evacuated zones that a peer reports, if its revision is higher than the known one.
    /// An equal one does not show that the peer has read the store recently.
    pub(super) fn merge_evacuations(self: &Rc<Self>, evacuations: &Evacuations, source: &str) {
        if evacuations.revision() > self.evacuations.borrow().revision() {
            self.set_evacuations(evacuations.clone(), source);
        }
    }

    /// Time since the evacuated zones were last read from the store or accepted from a peer, or
    /// since the start of the process if they never were.
    pub(super) fn evacuation_age(&self) -> Duration {
        self.clock.now() - self.evacuations_confirmed_at.get()
    }
}
