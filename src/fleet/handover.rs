//! Hands the role of a shard's dispatcher over to a successor, without interrupting running tasks.
//!
//! The leaving dispatcher accepts no new jobs. At first it keeps all targets while tasks wait, then those
//! with runs, until its jobs or its process end. The successor takes over the targets that are not kept,
//! and all of them once the predecessor has finished or is unresponsive. A successor that has to leave
//! before keeps the targets of its predecessor in the same way.

use super::{Node, TargetClient, dispatcher::DispatcherState, election};
use crate::{
    state::{mechanism::Mechanism, target::TargetId},
    transport::fleet::PeerLink,
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task::spawn_local, time::sleep};

/// Interval at which the leaving dispatcher sends the list of targets that it still keeps.
const UPDATE_INTERVAL: Duration = Duration::from_millis(40);
/// A successor takes over all targets if no such list arrives for this long, ten intervals.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(400);
/// The leaving dispatcher releases targets without runs after this time, although tasks wait.
const MAX_WAIT_FOR_STARTS: Duration = Duration::from_millis(2_500);
/// A leaving dispatcher searches a successor for at most this long.
const MAX_SUCCESSOR_SEARCH: Duration = Duration::from_millis(2_500);

impl<T> Node<T>
where
    T: TargetClient,
{
    /// If this VM is a dispatcher, hands its shard over to the first candidate that accepts it, in the
    /// order of their rank. Jobs of an earlier dispatcher are started first, as they need the targets.
    pub(super) async fn hand_over_zone(self: Rc<Self>) {
        let leaving_since = Instant::now();
        while self.with_dispatcher(|d| d.core.awaits_earlier_runs()) == Some(true)
            && leaving_since.elapsed() < self.timing.lease_bound
        {
            sleep(UPDATE_INTERVAL).await;
        }
        let begun = Instant::now();
        while self.enables(Mechanism::Handover)
            && self.is_dispatcher()
            && begun.elapsed() < MAX_SUCCESSOR_SEARCH
        {
            let (index, count) = (self.shard_index(), self.shard_count());
            for peer in self.shard_peers(index) {
                let Ok(link) =
                    PeerLink::connect(&self, peer.address, election::HEARTBEAT_INTERVAL).await
                else {
                    continue;
                };
                let is_able = link.last_heartbeat().is_some_and(|heartbeat| {
                    !heartbeat.leaving && heartbeat.is_of_shard(index, count)
                });
                if is_able && self.hand_over(&link).await {
                    return;
                }
            }
            sleep(UPDATE_INTERVAL).await;
        }
    }

    /// Calls `f` with the dispatcher's state, if this VM has one.
    fn with_dispatcher<F, R>(&self, f: F) -> Option<R>
    where
        F: FnOnce(&mut DispatcherState) -> R,
    {
        self.dispatcher.borrow_mut().as_mut().map(f)
    }

    /// Hands the shard over to one peer, and returns when no target is kept any more. Returns false
    /// if the peer does not accept it.
    pub(super) async fn hand_over(self: &Rc<Self>, link: &Rc<PeerLink>) -> bool {
        let all = || self.shard_targets().into_iter().map(|t| t.id).collect::<Vec<TargetId>>();
        let Some(epoch) = self.with_dispatcher(|d| d.epoch) else { return true };
        if !matches!(link.hand_over(epoch, &all()).await, Ok(true)) {
            return false;
        }
        log::info!("dispatch: handing {} over to {}", self.own_shard(), link.address);
        self.with_dispatcher(|d| d.successor = Some(link.address));
        self.shard_link(self.shard_index()).set(Some(Rc::clone(link)));
        self.drive(|core, _| core.begin_handover());
        let begun = Instant::now();
        loop {
            let awaits_starts = begun.elapsed() <= MAX_WAIT_FOR_STARTS;
            let kept = self.with_dispatcher(|d| {
                let mut kept = d.core.targets_in_use(awaits_starts);
                d.core.retain_targets(&kept);
                // This VM's own predecessor may not have finished.
                kept.extend(d.core.predecessor_targets().cloned());
                kept
            });
            let kept = kept.unwrap_or_default();
            let sent = link.hand_over(epoch, &kept).await;
            if kept.is_empty() || sent.is_err() {
                break;
            }
            sleep(UPDATE_INTERVAL).await;
        }
        self.step_down("handed over");
        true
    }

    /// Takes the shard over from a leaving dispatcher with this epoch, except the targets in `kept`,
    /// which it still uses; called again with each new list. Returns false if this VM refuses.
    pub(super) fn take_over_from(self: &Rc<Self>, epoch: u64, kept: Vec<TargetId>) -> bool {
        self.highest_epoch.set(self.highest_epoch.get().max(epoch));
        if !self.starts_tasks() {
            if self.is_leaving() || self.config().is_none() || self.shard_targets().is_empty() {
                return false;
            }
            self.become_dispatcher(kept);
            spawn_local(Rc::clone(self).watch_predecessor());
            return self.is_dispatcher();
        }
        let predecessor_has_targets = !kept.is_empty();
        let now = self.clock.now();
        let accepted = self.with_dispatcher(|d| {
            if d.epoch <= epoch || !d.predecessor_has_targets {
                return false;
            }
            d.predecessor_has_targets = predecessor_has_targets;
            d.last_handover_message = Instant::now();
            d.core.set_predecessor_targets(kept, now);
            true
        });
        self.update_targets();
        accepted.unwrap_or_default()
    }

    /// Takes over all targets once the leaving dispatcher has finished or is unresponsive.
    async fn watch_predecessor(self: Rc<Self>) {
        while self.with_dispatcher(|d| {
            d.predecessor_has_targets && d.last_handover_message.elapsed() < PREDECESSOR_TIMEOUT
        }) == Some(true)
        {
            sleep(UPDATE_INTERVAL).await;
        }
        if self.with_dispatcher(|d| std::mem::take(&mut d.predecessor_has_targets)) == Some(true) {
            log::info!("dispatch: the predecessor is unresponsive, all its targets are taken over");
            let now = self.clock.now();
            self.with_dispatcher(|d| d.core.set_predecessor_targets(Vec::new(), now));
            self.update_targets();
        }
    }
}
