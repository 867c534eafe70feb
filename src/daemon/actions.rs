//! Executes the actions that the decision core returns.

use super::Daemon;
use crate::{
    coordination::action::{Action, Event, StartOrder},
    protocol::workers::{StartRequest, task_id},
    state::{
        id::{JobNumber, TaskRef, VmName, WorkerName},
        job::{Answer, StartResult},
        loan::GiveBack,
    },
    transport::{peers::PeerCall, workers::StartResponse},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Extra time after a job's deadline in which the response to a start request is still awaited.
/// By its end, the worker has stopped the task, because the task's lease has ended.
const LEASE_GRACE: Duration = Duration::from_secs(2);

impl Daemon {
    /// Runs `call`, which passes its buffer to the core, and executes the actions that the core
    /// adds to the buffer.
    pub fn drive<T, F>(self: &Arc<Self>, call: F) -> T
    where
        F: FnOnce(&Self, &mut Vec<Action>) -> T,
    {
        let mut out = Vec::new();
        let result = call(self, &mut out);
        out.into_iter().for_each(|action| self.execute(action));
        result
    }

    fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Record(event) => self.record_event(event),
            Action::Answer { number, answer } => self.send_answer(number, &answer),
            Action::Start(order) => self.spawn_start(order),
            Action::Stop { worker, tasks } => self.spawn_stop(worker, tasks),
            Action::Borrow { lender, slots } => self.spawn_borrow(lender, slots),
            Action::GiveBack(give_back) => self.spawn_give_back(give_back),
            Action::Reload => self.spawn_reload(),
        }
    }

    /// Records an event in the timeline and in the log; at debug level, except for the events that
    /// operators should see.
    pub fn record_event(&self, event: Event) {
        match &event {
            Event::Ejected { worker } => log::warn!("dispatch: worker set aside: {worker}"),
            Event::Restored { worker } => log::info!("dispatch: worker restored: {worker}"),
            Event::ConfigInForce { version } => log::info!("config: in force: {}", version.0),
            Event::SlotsDivided { .. } => log::info!("members: slots divided: {event}"),
            Event::ProcessPaused { ms } => log::warn!("core: process was paused: {ms} ms"),
            Event::LedgerInherited { vm } => log::info!("ledger: inherited from {vm}"),
            Event::Leaving => log::info!("leave: no new jobs"),
            _ => log::debug!("job: {}: {event}", event.kind()),
        }
        self.timeline.push(event);
    }

    /// Returns a receiver for the answer to a job. Must be called before the job's state is looked
    /// up, so that an answer in between isn't missed.
    pub(super) fn register_waiter(&self, number: JobNumber) -> oneshot::Receiver<Arc<Answer>> {
        let (tx, rx) = oneshot::channel();
        let mut waiters = self.waiters.lock();
        let list = waiters.entry(number).or_default();
        list.retain(|tx| !tx.is_closed());
        list.push(tx);
        rx
    }

    /// Removes the waiters of a job whose receivers were dropped.
    pub(super) fn remove_closed_waiters(&self, number: JobNumber) {
        let mut waiters = self.waiters.lock();
        let Some(list) = waiters.get_mut(&number) else {
            return;
        };
        list.retain(|tx| !tx.is_closed());
        if list.is_empty() {
            waiters.swap_remove(&number);
        }
    }

    fn send_answer(&self, number: JobNumber, answer: &Arc<Answer>) {
        let list = self.waiters.lock().swap_remove(&number).unwrap_or_default();
        for tx in list {
            let _ = tx.send(Arc::clone(answer));
        }
    }

    fn spawn_start(self: &Arc<Self>, order: StartOrder) {
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            let task = order.task;
            let response = match daemon.worker_address(&order.worker) {
                Some(address) => daemon.send_start(address, &order).await,
                None => StartResponse { result: StartResult::NotSent, worker_leaving: false },
            };
            if response.worker_leaving {
                daemon.core.on_worker_leaving(&order.worker);
            }
            let now = daemon.now();
            daemon.drive(|daemon, out| daemon.core.on_task_ended(now, task, response.result, out));
        });
    }

    async fn send_start(&self, address: SocketAddr, order: &StartOrder) -> StartResponse {
        let now = self.now();
        let req = StartRequest::new(self.core.issuer(), order, now);
        let max_wait = (order.deadline - now) + LEASE_GRACE;
        let still_wanted = || self.now() < order.not_after;
        self.worker_links.start(address, &req, max_wait, still_wanted).await
    }

    fn spawn_stop(self: &Arc<Self>, worker: WorkerName, tasks: Vec<TaskRef>) {
        let Some(address) = self.worker_address(&worker) else {
            return;
        };
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            let issuer = daemon.core.issuer();
            let ids: Vec<_> = tasks.iter().map(|task| task_id(issuer, *task)).collect();
            let requested = ids.len() as u32;
            let stopped = daemon.worker_links.stop(address, ids).await.unwrap_or(0);
            daemon.core.on_stop_reply(if stopped == 0 { requested } else { 0 });
        });
    }

    fn spawn_borrow(self: &Arc<Self>, lender: VmName, slots: u32) {
        let Some(address) = self.peer_address(&lender) else {
            return;
        };
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            let sent_at = daemon.now();
            let from = daemon.core.issuer().clone();
            let granted =
                daemon.peer_links.call(address, |tx| PeerCall::Borrow(from, slots, tx)).await;
            let granted = granted.unwrap_or_default();
            let now = daemon.now();
            daemon.drive(|daemon, out| {
                daemon.core.on_loan_granted(now, sent_at, &lender, &granted, out)
            });
        });
    }

    fn spawn_give_back(self: &Arc<Self>, give_back: GiveBack) {
        let Some(address) = self.peer_address(&give_back.lender) else {
            return;
        };
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            let from = daemon.core.issuer().clone();
            // A lost message does no lasting harm: the lender reclaims loans that heartbeats stop
            // renewing.
            let _ = daemon
                .peer_links
                .call(address, |tx| PeerCall::GiveBack(from, give_back.slots, tx))
                .await;
        });
    }

    fn spawn_reload(self: &Arc<Self>) {
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            daemon.reload().await;
            let now = daemon.now();
            daemon.drive(|daemon, out| daemon.core.on_reloaded(now, out));
        });
    }

    /// Returns the address of a peer's RPC server, or `None` if the peer isn't listed or its
    /// address can't be parsed.
    pub(super) fn peer_address(&self, vm: &VmName) -> Option<SocketAddr> {
        let text = self.core.with_members(|members| members.get(vm).map(|m| m.peers.clone()))?;
        text.parse().ok()
    }
}
