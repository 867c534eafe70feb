//! Drives the dispatcher of this VM's zone.

use super::{Node, Targets};
use crate::{
    coordination::dispatch::{
        Action, Dispatcher, RunRequest, SubmissionKey, ownership::TargetListStatus,
        replies::LeaseRenewalError,
    },
    protocol::fleet::{DispatchReply, Heartbeat},
    state::{
        target::{Fence, TargetId, TargetTime},
        time::Moment,
        work::{Outcome, Refusal, Work},
    },
    transport::fleet::DispatchOptions,
};
use indexmap::{IndexMap, IndexSet};
use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{sync::oneshot, task::spawn_local, time::sleep};

/// Interval of the dispatcher's own checks; a small part of the shortest time limit among them.
const TICK: Duration = Duration::from_millis(25);
/// A target that can't be reached is tried again after this long, one that broke off an exchange
/// after a fifth of it.
const HOLD_RETRY: Duration = Duration::from_millis(100);
/// An epoch at least this far past the present one outdoes a predecessor whose clock was ahead;
/// in units of [`EPOCH_MS`].
const EPOCH_RAISE: u64 = 300;
/// Epochs start from the time of day in this unit, in milliseconds.
const EPOCH_MS: u64 = 100;
/// The low bits of a fencing token tell VMs apart.
const FENCE_VM_BITS: u32 = 16;
/// A dispatcher younger than this that meets a higher fencing token raises its own; an older one
/// was replaced.
const YOUNG: Duration = Duration::from_secs(2);
/// Raises of the fencing token are at least this far apart.
const RAISE_PAUSE: Duration = Duration::from_millis(60);

/// What a VM keeps while it is its zone's dispatcher.
pub struct Dispatching {
    /// The decisions.
    pub core: Dispatcher,
    /// Orders the dispatchers of a zone.
    pub epoch: u64,
    /// Where the successor is, once it has taken over.
    pub successor: Option<SocketAddr>,
    /// Whether a predecessor still keeps some targets.
    pub partial: bool,
    /// When the predecessor last told what it keeps.
    pub told: Instant,
    since: Moment,
    raised: Moment,
    waiters: IndexMap<SubmissionKey, oneshot::Sender<DispatchReply>>,
    watched: IndexSet<TargetId>,
}

fn fence(epoch: u64, vm: &str) -> Fence {
    let mut hasher = siphasher::sip::SipHasher13::new();
    vm.hash(&mut hasher);
    Fence(epoch << FENCE_VM_BITS | hasher.finish() & ((1 << FENCE_VM_BITS) - 1))
}

/// Cancels a submission whose caller has left.
struct Guard<T>
where
    T: Targets,
{
    node: Rc<Node<T>>,
    key: SubmissionKey,
    epoch: u64,
}

impl<T> Drop for Guard<T>
where
    T: Targets,
{
    fn drop(&mut self) {
        let key = self.key;
        let node = Rc::clone(&self.node);
        node.decide_in(self.epoch, |core, now| core.cancel(key, now));
    }
}

impl<T> Node<T>
where
    T: Targets,
{
    /// Makes this VM its zone's dispatcher.
    pub(super) fn claim(self: &Rc<Self>, kept: Vec<TargetId>) {
        let Some(plan) = self.plan() else { return };
        if self.dispatches() || self.is_leaving() {
            return;
        }
        let now = self.clock.now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = (self.epoch_seen.get() + 1).max(unix.as_millis() as u64 / EPOCH_MS);
        self.epoch_seen.set(epoch);
        let mut core = Dispatcher::new(fence(epoch, self.me.vm.as_str()), Arc::clone(&plan), now);
        let partial = !kept.is_empty();
        core.set_predecessor_targets(kept, now);
        log::info!("dispatch: this VM dispatches {} from now on, epoch {epoch}", self.me.zone);
        *self.own.borrow_mut() = None;
        self.list_wanted.notify_one();
        *self.dispatching.borrow_mut() = Some(Dispatching {
            core,
            epoch,
            successor: None,
            partial,
            told: Instant::now(),
            since: now,
            raised: now,
            waiters: IndexMap::new(),
            watched: IndexSet::new(),
        });
        self.list_targets();
        let node = Rc::clone(self);
        spawn_local(async move {
            while node.decide_in(epoch, |core, now| core.tick(now)) {
                sleep(TICK).await;
            }
        });
    }

    /// Stops being the dispatcher.
    pub(super) fn step_down(self: &Rc<Self>, reason: &str) {
        let Some(mut old) = self.dispatching.borrow_mut().take() else { return };
        log::warn!("dispatch: this VM steps down, epoch {}: {reason}", old.epoch);
        old.core.abandon();
        self.past.set(self.past.get() + old.core.counts());
        for action in old.core.take_actions() {
            let Action::Answer { key, outcome, .. } = action else { continue };
            if let Some(waiter) = old.waiters.swap_remove(&key) {
                let _ = waiter.send(DispatchReply::Ended(outcome));
            }
        }
    }

    /// Takes in that another VM says it is this zone's dispatcher.
    pub(super) fn meet_dispatcher(self: &Rc<Self>, beat: &Heartbeat) {
        let dispatching = self.dispatching.borrow();
        let rival = dispatching.as_ref().filter(|d| d.successor.is_none());
        let mine = rival.map(|d| (d.epoch, self.me.weight, self.me.address));
        drop(dispatching);
        if mine.is_some_and(|mine| mine < (beat.epoch, beat.from.weight, beat.from.address)) {
            self.step_down("another dispatcher has a higher epoch");
        }
    }

    /// Takes in what another zone's dispatcher offers.
    pub(super) fn neighbour(&self, beat: &Heartbeat) {
        let now = self.clock.now();
        if let Some(d) = &mut *self.dispatching.borrow_mut() {
            d.core.update_remote_zone(
                beat.from.zone.clone(),
                beat.from.address,
                beat.spare_cpu,
                now,
            );
        }
    }

    pub(super) fn list_targets(self: &Rc<Self>) {
        let list = self.zone_targets();
        let since = self.dispatching.borrow().as_ref().map(|d| d.since);
        let roster = self.roster.borrow();
        let trust = TargetListStatus {
            is_current: since.is_some_and(|since| roster.is_current(since)),
            is_complete: since.is_some_and(|since| roster.is_complete(since)),
        };
        drop(roster);
        self.decide(|core, now| core.update_targets(&list, trust, now));
    }

    /// Has the core decide something, and does what it says. False if this VM doesn't dispatch.
    pub(super) fn decide<F>(self: &Rc<Self>, f: F) -> bool
    where
        F: FnOnce(&mut Dispatcher, Moment),
    {
        let epoch = self.dispatching.borrow().as_ref().map(|d| d.epoch);
        epoch.is_some_and(|epoch| self.decide_in(epoch, f))
    }

    /// As [`Node::decide`], but only while this VM dispatches under `epoch`.
    fn decide_in<F>(self: &Rc<Self>, epoch: u64, f: F) -> bool
    where
        F: FnOnce(&mut Dispatcher, Moment),
    {
        let now = self.clock.now();
        let actions = {
            let mut dispatching = self.dispatching.borrow_mut();
            let Some(d) = dispatching.as_mut().filter(|d| d.epoch == epoch) else { return false };
            f(&mut d.core, now);
            d.core.take_actions()
        };
        for action in actions {
            self.act(epoch, action);
        }
        true
    }

    fn act(self: &Rc<Self>, epoch: u64, action: Action) {
        match action {
            Action::Start { request, spec, lease_end } => {
                spawn_local(Rc::clone(self).start(epoch, request, spec, lease_end));
            }
            Action::Stop(order) => {
                spawn_local(Rc::clone(self).stop(epoch, order));
            }
            Action::Answer { key, outcome, .. } => self.answer(key, DispatchReply::Ended(outcome)),
            Action::Redirect { key, to, .. } => self.answer(key, DispatchReply::Redirected(to)),
            Action::Watch(id) => {
                let fresh = match &mut *self.dispatching.borrow_mut() {
                    Some(d) => d.watched.insert(id.clone()),
                    None => false,
                };
                if fresh {
                    spawn_local(Rc::clone(self).watch(epoch, id));
                }
            }
            Action::Fenced(id) => self.fenced(epoch, &id),
            Action::Log(note) => self.notes.borrow_mut().log(&note, self.clock.now()),
        }
    }

    fn answer(&self, key: SubmissionKey, handled: DispatchReply) {
        let mut dispatching = self.dispatching.borrow_mut();
        let waiter = dispatching.as_mut().and_then(|d| d.waiters.swap_remove(&key));
        if let Some(waiter) = waiter {
            let _ = waiter.send(handled);
        }
    }

    async fn start(
        self: Rc<Self>,
        epoch: u64,
        order: RunRequest,
        spec: Arc<str>,
        until: TargetTime,
    ) {
        let reply = self.calls.start(&order, &spec, until).await;
        self.decide_in(epoch, |core, now| {
            core.on_start_reply(&order.target, order.task, order.run, reply, now);
        });
    }

    async fn stop(self: Rc<Self>, epoch: u64, order: RunRequest) {
        let reply = self.calls.stop(&order).await;
        self.decide_in(epoch, |core, now| {
            core.on_stop_reply(&order.target, order.task, order.run, reply, now);
        });
    }

    /// Extends a target's leases and takes in what ended there, for as long as it is listed.
    async fn watch(self: Rc<Self>, epoch: u64, id: TargetId) {
        loop {
            let mut hold = None;
            let sent = self.clock.now();
            self.decide_in(epoch, |core, now| hold = core.next_lease_renewal(&id, now));
            let Some(hold) = hold else { break };
            let reply = self.calls.renew_leases(&hold).await;
            let pause = match &reply {
                Ok(_) => Duration::ZERO,
                Err(LeaseRenewalError::NoAnswer) => HOLD_RETRY / 5,
                Err(_) => HOLD_RETRY,
            };
            if !self
                .decide_in(epoch, |core, now| core.on_lease_renewal_reply(&id, sent, reply, now))
            {
                return;
            }
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
        if let Some(d) = &mut *self.dispatching.borrow_mut() {
            d.watched.swap_remove(&id);
        }
    }

    fn fenced(self: &Rc<Self>, epoch: u64, id: &TargetId) {
        let now = self.clock.now();
        let young = match &*self.dispatching.borrow() {
            Some(d) if d.epoch == epoch => {
                if now - d.raised < RAISE_PAUSE && d.since != d.raised {
                    return;
                }
                now - d.since < YOUNG
            }
            _ => return,
        };
        if !young {
            self.step_down("a target has seen a higher fencing token");
            return;
        }
        let raised = self.epoch_seen.get().max(epoch) + EPOCH_RAISE;
        self.epoch_seen.set(raised);
        log::info!("dispatch: {id} has seen a higher fencing token, raised to epoch {raised}");
        if let Some(d) = &mut *self.dispatching.borrow_mut() {
            d.raised = now;
            d.core.raise_fencing_token(fence(raised, self.me.vm.as_str()));
        }
    }

    /// Runs a job on this zone's targets.
    pub(super) async fn run_here(
        self: &Rc<Self>,
        work: Work,
        how: DispatchOptions,
    ) -> DispatchReply {
        let closed =
            Outcome::NotRun { refusal: Refusal::Closed, retry_after: Duration::from_millis(500) };
        let (tx, rx) = oneshot::channel();
        let now = self.clock.now();
        let submitted = {
            let mut dispatching = self.dispatching.borrow_mut();
            dispatching.as_mut().map(|d| {
                let key = d.core.submit(work, how.may_redirect, how.resumed, now);
                d.waiters.insert(key, tx);
                (d.epoch, key, d.core.take_actions())
            })
        };
        let Some((epoch, key, actions)) = submitted else { return DispatchReply::Ended(closed) };
        let _guard = Guard { node: Rc::clone(self), key, epoch };
        for action in actions {
            self.act(epoch, action);
        }
        rx.await.unwrap_or(DispatchReply::Ended(Outcome::Unknown))
    }
}
