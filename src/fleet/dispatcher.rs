//! The dispatcher's role of this VM, for one shard of its zone: becoming dispatcher and stepping down,
//! and the driver that carries out the actions of the dispatcher's core.

use super::{Node, TargetClient};
use crate::{
    coordination::{
        dispatch::{
            Action, Dispatcher, RunRequest, SubmissionKey, TICK_INTERVAL,
            ownership::TargetListStatus, replies::LeaseRenewalError,
        },
        election::{Fenced, FencedDecision, Rival},
    },
    protocol::fleet::{DispatchReply, Heartbeat},
    state::{
        crash_history::TaskLosses,
        job_submission::{JobSubmission, MAX_TIME_TO_DEADLINE, Outcome, Refusal},
        shard::{Shard, ShardCount},
        target::{FencingToken, TargetId, TargetTime},
        time::Moment,
    },
    transport::fleet::{DispatchOptions, Submitter},
};
use indexmap::{IndexMap, IndexSet};
use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{sync::oneshot, task::spawn_local, time::sleep};

/// Pause after a lease renewal that the target refused, or for which it could not be reached; the
/// pause after an unanswered one is a fifth of it.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A raised epoch is this far above the highest one seen, in units of [`EPOCH_UNIT_MS`], so that it
/// exceeds that of a predecessor whose clock was ahead.
const EPOCH_RAISE_UNITS: u64 = 300;
/// Epochs are at least the time of day in this unit, in milliseconds.
const EPOCH_UNIT_MS: u64 = 100;
/// Number of low bits of a fencing token that hold a hash of the VM's name, which distinguishes the
/// tokens of VMs that chose the same epoch.
const FENCING_TOKEN_VM_BITS: u32 = 16;

/// State of a VM while it is a dispatcher.
pub struct DispatcherState {
    /// Decision core of the dispatcher.
    pub core: Dispatcher,
    /// Shard that it dispatches.
    pub shard: Shard,
    /// Number of shards of the zone when this VM became dispatcher.
    pub shard_count: ShardCount,
    /// Epoch of this dispatcher: later dispatchers of a shard have higher ones.
    pub epoch: u64,
    /// Address of the successor, once it has accepted the zone.
    pub successor: Option<SocketAddr>,
    /// Whether a predecessor still keeps some targets.
    pub predecessor_has_targets: bool,
    /// When the predecessor last sent the list of targets that it keeps.
    pub last_handover_message: Instant,
    /// When this VM became the dispatcher.
    pub since: Moment,
    /// When the fencing token was last raised, or when this VM became the dispatcher.
    raised_at: Moment,
    /// Channels on which the results of open submissions are sent to the callers of `run_locally`.
    waiters: IndexMap<SubmissionKey, oneshot::Sender<DispatchReply>>,
    /// Targets for which `renew_leases` runs.
    watched: IndexSet<TargetId>,
}

/// Returns the fencing token of a VM in an epoch.
fn fencing_token(epoch: u64, vm: &str) -> FencingToken {
    let mut hasher = siphasher::sip::SipHasher13::new();
    vm.hash(&mut hasher);
    FencingToken(
        epoch << FENCING_TOKEN_VM_BITS | hasher.finish() & ((1 << FENCING_TOKEN_VM_BITS) - 1),
    )
}

/// Cancels a submission when it is dropped, since its caller no longer waits.
struct CancelGuard<T>
where
    T: TargetClient,
{
    node: Rc<Node<T>>,
    key: SubmissionKey,
    epoch: u64,
}

impl<T> Drop for CancelGuard<T>
where
    T: TargetClient,
{
    fn drop(&mut self) {
        let key = self.key;
        let node = Rc::clone(&self.node);
        node.drive_in(self.epoch, |core, now| core.cancel(key, now));
    }
}

impl<T> Node<T>
where
    T: TargetClient,
{
    /// Makes this VM the dispatcher of its shard, except for the targets in `kept`, which a predecessor
    /// still uses. Does nothing if it is a dispatcher, is leaving or has no configuration.
    pub(super) fn become_dispatcher(self: &Rc<Self>, kept: Vec<TargetId>) {
        let Some(config) = self.config() else { return };
        if self.is_dispatcher() || self.is_leaving() {
            return;
        }
        let now = self.clock.now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = (self.highest_epoch.get() + 1).max(unix.as_millis() as u64 / EPOCH_UNIT_MS);
        self.highest_epoch.set(epoch);
        let mut core = Dispatcher::new(
            fencing_token(epoch, self.me.vm.as_str()),
            Arc::clone(&config),
            self.timing,
            now,
        );
        core.disable(self.disabled);
        core.limit_job_memory(self.callers.limits.job_memory);
        core.set_crash_history(self.crash_history.take());
        core.set_evacuated_zones(self.evacuations.borrow().zones(), now);
        let predecessor_has_targets = !kept.is_empty();
        core.set_predecessor_targets(kept, now);
        let (shard, shard_count) = (self.own_shard(), self.shard_count());
        log::info!("dispatch: this VM is now the dispatcher of {shard}, epoch {epoch}");
        self.shard_link(shard.index).set(None);
        self.targets_wanted.notify_one();
        *self.dispatcher.borrow_mut() = Some(DispatcherState {
            core,
            shard,
            shard_count,
            epoch,
            successor: None,
            predecessor_has_targets,
            last_handover_message: Instant::now(),
            since: now,
            raised_at: now,
            waiters: IndexMap::new(),
            watched: IndexSet::new(),
        });
        self.update_targets();
        let node = Rc::clone(self);
        spawn_local(async move {
            while node.drive_in(epoch, |core, now| core.tick(now)) {
                sleep(TICK_INTERVAL).await;
            }
        });
    }

    /// Whether this VM may start tasks: it is a dispatcher, or runs its open jobs to their end while a
    /// successor takes its shard over. Until then it needs the list of targets as a dispatcher does.
    pub fn starts_tasks(&self) -> bool {
        self.dispatcher.borrow().is_some()
    }

    /// Whether jobs are not answered yet that this VM dispatches, or its predecessor, which still hands
    /// the shard over to it.
    pub fn has_open_jobs(&self) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.as_ref().is_some_and(|d| d.core.open_jobs() > 0 || d.predecessor_has_targets)
    }

    /// Stops being the dispatcher, and answers the open submissions with the outcome that is known.
    pub(super) fn step_down(self: &Rc<Self>, reason: &str) {
        let Some(mut old) = self.dispatcher.borrow_mut().take() else { return };
        log::warn!("dispatch: this VM steps down, epoch {}: {reason}", old.epoch);
        if catch_unwind(AssertUnwindSafe(|| old.core.abandon())).is_err() {
            // Dropping the waiters answers the open submissions as unknown.
            log::error!("dispatch: the open jobs can't be abandoned one by one");
            return;
        }
        self.past_counts.set(self.past_counts.get() + old.core.counts());
        *self.crash_history.borrow_mut() = old.core.crash_history().clone();
        for action in old.core.take_actions() {
            let Action::Answer { key, outcome, .. } = action else { continue };
            if let Some(waiter) = old.waiters.swap_remove(&key) {
                let _ = waiter.send(DispatchReply::Ended(outcome));
            }
        }
    }

    /// Handles a heartbeat of another dispatcher of this zone: one of both steps down if they dispatch
    /// the same shard.
    pub(super) fn resolve_rival(self: &Rc<Self>, heartbeat: &Heartbeat) {
        let other = Rival {
            epoch: heartbeat.epoch,
            weight: heartbeat.from.weight,
            address: heartbeat.from.address,
        };
        let own = match &*self.dispatcher.borrow() {
            Some(d)
                if d.successor.is_none() && heartbeat.is_of_shard(d.shard.index, d.shard_count) =>
            {
                Rival { epoch: d.epoch, weight: self.me.weight, address: self.me.address }
            }
            _ => return,
        };
        if own.yields_to(&other) {
            self.step_down("another dispatcher of the shard stays");
        }
    }

    /// Records the losses of targets that another dispatcher reports, for this VM's own work or for
    /// the time when it succeeds that dispatcher.
    pub(super) fn merge_losses(self: &Rc<Self>, losses: Vec<TaskLosses>) {
        let is_dispatcher = self.dispatcher.borrow().is_some();
        if is_dispatcher {
            self.drive(|core, now| core.merge_losses(losses, now));
        } else {
            let now = self.clock.now();
            let mut crash_history = self.crash_history.borrow_mut();
            crash_history.merge(losses, now);
            crash_history.expire(now);
        }
    }

    /// Records the spare CPU of another shard, as its dispatcher reports it.
    pub(super) fn update_remote_shard(&self, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        if let Some(d) = &mut *self.dispatcher.borrow_mut() {
            d.core.update_remote_shard(
                heartbeat.shard(),
                heartbeat.from.address,
                heartbeat.spare_cpu,
                now,
            );
        }
    }

    /// Records the spare CPU of another shard of this zone, unless the sender divides the zone into
    /// another number of them.
    pub(super) fn update_sibling(&self, heartbeat: &Heartbeat) {
        let count = self.shard_count();
        let is_sibling = heartbeat.shard != self.shard_index();
        if is_sibling && heartbeat.is_of_shard(heartbeat.shard, count) {
            self.update_remote_shard(heartbeat);
        }
    }

    /// Passes the current list of the shard's targets to the core, also while this VM hands its shard
    /// over: its open jobs go on, and targets may begin to drain.
    pub(super) fn update_targets(self: &Rc<Self>) {
        if !self.starts_tasks() {
            return;
        }
        let list = self.shard_targets();
        let since = self.dispatcher.borrow().as_ref().map(|d| d.since);
        let max_run = MAX_TIME_TO_DEADLINE + self.timing.lease_bound;
        let known_targets = self.known_targets.borrow();
        let status = TargetListStatus {
            is_current: since.is_some_and(|since| known_targets.is_read_since(since)),
            is_complete: since.is_some_and(|since| known_targets.is_complete(since))
                && known_targets.knows_targets_in_use(max_run),
        };
        drop(known_targets);
        self.drive(|core, now| core.update_targets(&list, status, now));
    }

    /// Calls `f` with the core and carries out the actions that it decided. Returns false if this
    /// VM is not the dispatcher.
    pub(super) fn drive<F>(self: &Rc<Self>, f: F) -> bool
    where
        F: FnOnce(&mut Dispatcher, Moment),
    {
        let epoch = self.dispatcher.borrow().as_ref().map(|d| d.epoch);
        epoch.is_some_and(|epoch| self.drive_in(epoch, f))
    }

    /// As [`Node::drive`], but only while this VM is the dispatcher with this epoch.
    fn drive_in<F>(self: &Rc<Self>, epoch: u64, f: F) -> bool
    where
        F: FnOnce(&mut Dispatcher, Moment),
    {
        let Some(((), actions)) = self.call_core(epoch, f) else { return false };
        for action in actions {
            self.carry_out(epoch, action);
        }
        true
    }

    /// Calls `f` with the core and returns its result and the actions that the core decided; `None`
    /// if this VM is not the dispatcher with this epoch. If `f` panics, this VM steps down, since the
    /// state of the core may be inconsistent.
    fn call_core<F, R>(self: &Rc<Self>, epoch: u64, f: F) -> Option<(R, Vec<Action>)>
    where
        F: FnOnce(&mut Dispatcher, Moment) -> R,
    {
        let now = self.clock.now();
        let called = {
            let mut dispatcher = self.dispatcher.borrow_mut();
            let core = &mut dispatcher.as_mut().filter(|d| d.epoch == epoch)?.core;
            catch_unwind(AssertUnwindSafe(|| (f(core, now), core.take_actions())))
        };
        if called.is_err() {
            self.step_down("a decision panicked");
        }
        called.ok()
    }

    /// Carries out one action of the core.
    fn carry_out(self: &Rc<Self>, epoch: u64, action: Action) {
        match action {
            Action::Start { request, spec, lease_end } => {
                spawn_local(Rc::clone(self).start_run(epoch, request, spec, lease_end));
            }
            Action::Stop(request) => {
                spawn_local(Rc::clone(self).stop_run(epoch, request));
            }
            Action::Answer { key, outcome, .. } => self.answer(key, DispatchReply::Ended(outcome)),
            Action::Redirect { key, to, .. } => self.answer(key, DispatchReply::Redirected(to)),
            Action::Watch(id) => {
                let is_new = match &mut *self.dispatcher.borrow_mut() {
                    Some(d) => d.watched.insert(id.clone()),
                    None => false,
                };
                if is_new {
                    spawn_local(Rc::clone(self).renew_leases(epoch, id));
                }
            }
            Action::Fenced { target, was_accepted } => {
                self.on_fenced(epoch, &target, was_accepted);
            }
            Action::Log(event) => self.decision_log.borrow_mut().log(&event, self.clock.now()),
        }
    }

    /// Sends the result of a submission to the `run_locally` call that waits for it.
    fn answer(&self, key: SubmissionKey, reply: DispatchReply) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let waiter = dispatcher.as_mut().and_then(|d| d.waiters.swap_remove(&key));
        if let Some(waiter) = waiter {
            let _ = waiter.send(reply);
        }
    }

    async fn start_run(
        self: Rc<Self>,
        epoch: u64,
        request: RunRequest,
        spec: Arc<str>,
        lease_end: TargetTime,
    ) {
        let reply = self.targets.start(&request, &spec, lease_end).await;
        self.drive_in(epoch, |core, now| {
            core.on_start_reply(&request.target, request.task, request.run, reply, now);
        });
    }

    async fn stop_run(self: Rc<Self>, epoch: u64, request: RunRequest) {
        let reply = self.targets.stop(&request).await;
        self.drive_in(epoch, |core, now| {
            core.on_stop_reply(&request.target, request.task, request.run, reply, now);
        });
    }

    /// Renews a target's leases and passes its reports to the core, until the core no longer has
    /// the target.
    async fn renew_leases(self: Rc<Self>, epoch: u64, id: TargetId) {
        loop {
            let mut request = None;
            let sent = self.clock.now();
            self.drive_in(epoch, |core, now| request = core.next_lease_renewal(&id, now));
            let Some(request) = request else { break };
            let reply = self.targets.renew_leases(&request).await;
            let pause = match &reply {
                Ok(_) => Duration::ZERO,
                Err(LeaseRenewalError::NoAnswer) => RENEWAL_RETRY_DELAY / 5,
                Err(_) => RENEWAL_RETRY_DELAY,
            };
            if !self.drive_in(epoch, |core, now| core.on_lease_renewal_reply(&id, sent, reply, now))
            {
                return;
            }
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
        if let Some(d) = &mut *self.dispatcher.borrow_mut() {
            d.watched.swap_remove(&id);
        }
    }

    /// Handles a target's refusal of this dispatcher's fencing token.
    fn on_fenced(self: &Rc<Self>, epoch: u64, id: &TargetId, was_accepted: bool) {
        let now = self.clock.now();
        let fenced = match &*self.dispatcher.borrow() {
            Some(d) if d.epoch == epoch => Fenced {
                age: now - d.since,
                since_raise: (d.raised_at != d.since).then(|| now - d.raised_at),
                was_accepted,
            },
            _ => return,
        };
        match fenced.decide() {
            FencedDecision::Ignore => return,
            FencedDecision::StepDown => {
                let shard = self.shard_link(self.shard_index());
                let mut backoff = shard.backoff.get();
                let pause = backoff.on_replaced(now);
                shard.backoff.set(backoff);
                if !pause.is_zero() {
                    log::info!("dispatch: this VM takes no part in elections for {pause:?}");
                }
                return self.step_down(&format!("{id} has seen a higher fencing token"));
            }
            FencedDecision::Raise => {}
        }
        let raised = self.highest_epoch.get().max(epoch) + EPOCH_RAISE_UNITS;
        self.highest_epoch.set(raised);
        log::info!("dispatch: {id} has seen a higher fencing token, raising to epoch {raised}");
        if let Some(d) = &mut *self.dispatcher.borrow_mut() {
            d.raised_at = now;
            d.core.raise_fencing_token(fencing_token(raised, self.me.vm.as_str()));
        }
    }

    /// Whether this dispatcher has the targets on which an earlier one of its shard may have started
    /// tasks of a job: only then can it tell when none of them runs any more.
    fn has_earlier_targets(&self, submission: &JobSubmission, options: DispatchOptions) -> bool {
        self.dispatcher.borrow().as_ref().is_some_and(|d| {
            d.shard_count == options.shard_count
                && d.shard_count.shard_of_job(submission.id) == d.shard.index
        })
    }

    /// Submits a job to this VM's core, for a peer or for a caller of this VM, and waits for its outcome.
    /// Dropping the future cancels the job.
    pub(super) async fn run_locally(
        self: &Rc<Self>,
        submission: JobSubmission,
        options: DispatchOptions,
        submitter: Option<Submitter>,
    ) -> DispatchReply {
        let closed =
            Outcome::NotRun { refusal: Refusal::Closed, retry_after: Duration::from_millis(500) };
        let (tx, rx) = oneshot::channel();
        let Some(epoch) = self.dispatcher.borrow().as_ref().map(|d| d.epoch) else {
            return DispatchReply::Ended(closed);
        };
        let DispatchOptions { may_redirect, resumed, .. } = options;
        if resumed && !self.has_earlier_targets(&submission, options) {
            return DispatchReply::Ended(Outcome::Unknown);
        }
        let submitted = self.call_core(epoch, |core, now| match submitter {
            Some(Submitter { id, silent_for }) => {
                let last_alive = now - silent_for;
                core.submit_for(id, last_alive, submission, may_redirect, resumed, now)
            }
            None => core.submit(submission, may_redirect, resumed, now),
        });
        // A task may have been started before the panic.
        let Some((key, actions)) = submitted else { return DispatchReply::Ended(Outcome::Unknown) };
        if let Some(d) = &mut *self.dispatcher.borrow_mut() {
            d.waiters.insert(key, tx);
        }
        let _guard = CancelGuard { node: Rc::clone(self), key, epoch };
        for action in actions {
            self.carry_out(epoch, action);
        }
        rx.await.unwrap_or(DispatchReply::Ended(Outcome::Unknown))
    }
}
