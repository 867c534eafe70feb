//! Hands a zone over to a successor without cutting off what runs.
//!
//! The leaving dispatcher takes no new jobs and gives each target up once nothing of it runs there;
//! the successor takes over what is given up, and everything once the other has gone.

use super::{Node, Targets, follow, own::Dispatching};
use crate::{state::target::TargetId, transport::fleet::PeerLink};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task::spawn_local, time::sleep};

/// Interval at which the leaving dispatcher tells which targets it still keeps.
const INTERVAL: Duration = Duration::from_millis(40);
/// A successor that has heard nothing for this long takes everything: the leaving dispatcher tells
/// at a tenth of this interval.
const SILENCE: Duration = Duration::from_millis(400);
/// The leaving dispatcher gives up all targets after this long, more than the longest deadline.
const LONGEST: Duration = Duration::from_millis(2_500);

impl<T> Node<T>
where
    T: Targets,
{
    /// Hands the zone over, if this VM dispatches.
    pub(super) async fn retire(self: Rc<Self>) {
        let begun = Instant::now();
        while self.dispatches() && begun.elapsed() < LONGEST {
            for peer in self.zone_peers() {
                let Ok(link) = PeerLink::connect(&self, peer.address, follow::BEAT).await else {
                    continue;
                };
                if link.last_heartbeat().is_some_and(|beat| !beat.leaving)
                    && self.hand_over(&link).await
                {
                    return;
                }
            }
            sleep(INTERVAL).await;
        }
    }

    fn with<F, R>(&self, f: F) -> Option<R>
    where
        F: FnOnce(&mut Dispatching) -> R,
    {
        self.dispatching.borrow_mut().as_mut().map(f)
    }

    /// Hands over to one peer; false if it doesn't take the zone.
    pub(super) async fn hand_over(self: &Rc<Self>, link: &Rc<PeerLink>) -> bool {
        let all = || self.zone_targets().into_iter().map(|t| t.id).collect::<Vec<TargetId>>();
        let Some(epoch) = self.with(|d| d.epoch) else { return true };
        if !matches!(link.hand_over(epoch, &all()).await, Ok(true)) {
            return false;
        }
        log::info!("dispatch: handing {} over to {}", self.me.zone, link.address);
        self.with(|d| {
            d.successor = Some(link.address);
            d.core.begin_handover();
        });
        *self.own.borrow_mut() = Some(Rc::clone(link));
        let begun = Instant::now();
        loop {
            let kept = self.with(|d| d.core.targets_in_use()).unwrap_or_default();
            let kept = if begun.elapsed() > LONGEST { Vec::new() } else { kept };
            self.with(|d| d.core.retain_targets(&kept));
            let sent = link.hand_over(epoch, &kept).await;
            if kept.is_empty() || sent.is_err() {
                break;
            }
            sleep(INTERVAL).await;
        }
        self.step_down("handed over");
        true
    }

    /// Takes a zone over from a leaving dispatcher, but for the targets that it keeps.
    pub(super) fn succeed(self: &Rc<Self>, epoch: u64, kept: Vec<TargetId>) -> bool {
        self.epoch_seen.set(self.epoch_seen.get().max(epoch));
        if self.with(|d| d.successor.is_some()) == Some(true) {
            return false; // This VM is handing the zone over itself.
        }
        if !self.dispatches() {
            if self.is_leaving() || self.plan().is_none() || self.zone_targets().is_empty() {
                return false;
            }
            self.claim(kept);
            spawn_local(Rc::clone(self).watch_predecessor());
            return self.dispatches();
        }
        let partial = !kept.is_empty();
        let now = self.clock.now();
        let took = self.with(|d| {
            if d.epoch <= epoch || !d.partial {
                return false;
            }
            d.partial = partial;
            d.told = Instant::now();
            d.core.set_predecessor_targets(kept, now);
            true
        });
        self.list_targets();
        took.unwrap_or_default()
    }

    /// Takes everything once the leaving dispatcher is silent.
    async fn watch_predecessor(self: Rc<Self>) {
        while self.with(|d| d.partial && d.told.elapsed() < SILENCE) == Some(true) {
            sleep(INTERVAL).await;
        }
        if self.with(|d| std::mem::take(&mut d.partial)) == Some(true) {
            log::info!("dispatch: the predecessor is silent, all its targets are taken");
            let now = self.clock.now();
            self.with(|d| d.core.set_predecessor_targets(Vec::new(), now));
            self.list_targets();
        }
    }
}
