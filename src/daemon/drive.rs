//! Carries out the core's actions.

use super::Daemon;
use crate::{
    coordination::action::{Action, Event, StartOrder},
    protocol::workers::{StartRequest, task_id},
    state::{
        id::{JobNumber, TaskRef, VmName, WorkerName},
        job::{Answer, StartResult},
        loan::GiveBack,
    },
    transport::{peers::PeerCall, workers::Started},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// A worker that does not answer is given up this long after the job's deadline, when the task's
/// lease has surely ended.
const LEASE_GRACE: Duration = Duration::from_secs(2);

impl Daemon {
    /// Calls the core and carries out what it asks for.
    pub fn drive<T, F>(self: &Arc<Self>, call: F) -> T
    where
        F: FnOnce(&Self, &mut Vec<Action>) -> T,
    {
        let mut out = Vec::new();
        let result = call(self, &mut out);
        out.into_iter().for_each(|action| self.carry_out(action));
        result
    }

    fn carry_out(self: &Arc<Self>, action: Action) {
        match action {
            Action::Record(event) => self.note(event),
            Action::Answer { number, answer } => self.wake(number, &answer),
            Action::Start(order) => self.spawn_start(order),
            Action::Stop { worker, tasks } => self.spawn_stop(worker, tasks),
            Action::Borrow { lender, slots } => self.spawn_borrow(lender, slots),
            Action::GiveBack(back) => self.spawn_give_back(back),
            Action::Reload => self.spawn_recheck(),
        }
    }

    /// Enters an event into the time line, and into the log if an operator should see it.
    pub fn note(&self, event: Event) {
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

    /// Registers to be told the answer to a job.
    pub(super) fn wait_for(&self, number: JobNumber) -> oneshot::Receiver<Arc<Answer>> {
        let (tx, rx) = oneshot::channel();
        let mut waiters = self.waiters.lock();
        let list = waiters.entry(number).or_default();
        list.retain(|tx| !tx.is_closed());
        list.push(tx);
        rx
    }

    /// Drops registrations for a job that no one waits for any more.
    pub(super) fn unwait(&self, number: JobNumber) {
        let mut waiters = self.waiters.lock();
        let Some(list) = waiters.get_mut(&number) else {
            return;
        };
        list.retain(|tx| !tx.is_closed());
        if list.is_empty() {
            waiters.swap_remove(&number);
        }
    }

    fn wake(&self, number: JobNumber, answer: &Arc<Answer>) {
        let list = self.waiters.lock().swap_remove(&number).unwrap_or_default();
        for tx in list {
            let _ = tx.send(Arc::clone(answer));
        }
    }

    fn spawn_start(self: &Arc<Self>, order: StartOrder) {
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            let task = order.task;
            let started = match daemon.worker_address(&order.worker) {
                Some(address) => daemon.start(address, &order).await,
                None => Started { result: StartResult::NotSent, leaving: false },
            };
            if started.leaving {
                daemon.core.on_worker_leaving(&order.worker);
            }
            let now = daemon.now();
            daemon.drive(|daemon, out| daemon.core.on_task_ended(now, task, started.result, out));
        });
    }

    async fn start(&self, address: SocketAddr, order: &StartOrder) -> Started {
        let now = self.now();
        let req = StartRequest::new(self.core.issuer(), order, now);
        let limit = (order.deadline - now) + LEASE_GRACE;
        let still_wanted = || self.now() < order.not_after;
        self.links.start(address, &req, limit, still_wanted).await
    }

    fn spawn_stop(self: &Arc<Self>, worker: WorkerName, tasks: Vec<TaskRef>) {
        let Some(address) = self.worker_address(&worker) else {
            return;
        };
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            let issuer = daemon.core.issuer();
            let ids: Vec<_> = tasks.iter().map(|task| task_id(issuer, *task)).collect();
            let asked = ids.len() as u32;
            let stopped = daemon.links.stop(address, ids).await.unwrap_or(0);
            daemon.core.on_stop_reply(if stopped == 0 { asked } else { 0 });
        });
    }

    fn spawn_borrow(self: &Arc<Self>, lender: VmName, slots: u32) {
        let Some(address) = self.peer_address(&lender) else {
            return;
        };
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            let asked = daemon.now();
            let from = daemon.core.issuer().clone();
            let granted = daemon.peers.call(address, |tx| PeerCall::Borrow(from, slots, tx)).await;
            let granted = granted.unwrap_or_default();
            let now = daemon.now();
            daemon.drive(|daemon, out| {
                daemon.core.on_loan_granted(now, asked, &lender, &granted, out)
            });
        });
    }

    fn spawn_give_back(self: &Arc<Self>, back: GiveBack) {
        let Some(address) = self.peer_address(&back.lender) else {
            return;
        };
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            let from = daemon.core.issuer().clone();
            // A lost message costs nothing lasting: the lender takes silent loans back.
            let _ = daemon.peers.call(address, |tx| PeerCall::GiveBack(from, back.slots, tx)).await;
        });
    }

    fn spawn_recheck(self: &Arc<Self>) {
        let daemon = Arc::clone(self);
        self.runtime.spawn(async move {
            daemon.recheck().await;
            let now = daemon.now();
            daemon.drive(|daemon, out| daemon.core.on_reloaded(now, out));
        });
    }

    /// Where a peer is reached.
    pub(super) fn peer_address(&self, vm: &VmName) -> Option<SocketAddr> {
        let text = self.core.with_members(|members| members.get(vm).map(|m| m.peers.clone()))?;
        text.parse().ok()
    }
}
