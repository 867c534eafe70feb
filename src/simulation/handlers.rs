//! What each event does, and how the cores' actions are carried out.

use super::{
    engine::{
        CROSS_ZONE_DELAY, CallerReply, HEARTBEAT_INTERVAL, IN_ZONE_DELAY, POLL_INTERVAL,
        SWEEP_INTERVAL, Simulation, TICK_INTERVAL,
    },
    event::{Event, addressee},
    worker::{StartOutcome, TaskKey},
};
use crate::{
    coordination::{
        action::{Action, Event as TimelineEvent, StartOrder},
        core::Core,
        lookup::Lookup,
    },
    state::{id::VmName, job::StartResult, ledger::TicketError, loan::SlotCount, time::Moment},
};
use std::{sync::Arc, time::Duration};

/// Heartbeat rounds between two that report demand.
const HEARTBEATS_PER_DEMAND_REPORT: u64 = 10;
/// Longest wait for a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a worker beyond the job's deadline.
const LEASE_GRACE: Duration = Duration::from_secs(2);

impl Simulation {
    pub(super) fn handle(&mut self, event: Event) {
        let Some((vm, incarnation)) = addressee(&event) else {
            return self.handle_outside_vms(event);
        };
        let entry = &mut self.vms[vm];
        if incarnation.is_some_and(|incarnation| incarnation != entry.incarnation) {
            return;
        }
        if entry.paused {
            entry.deferred_events.push(event);
            return;
        }
        if entry.core.is_some() {
            self.handle_at_vm(vm, event);
        } else {
            self.handle_for_dead_vm(event);
        }
    }

    /// The events whose senders notice that the addressee is dead.
    pub(super) fn handle_for_dead_vm(&mut self, event: Event) {
        match event {
            Event::Submit { job, .. } | Event::Cancel { job, .. } => {
                self.schedule(CROSS_ZONE_DELAY, Event::Reply { job, reply: CallerReply::Unknown });
            }
            Event::BorrowRequest { vm, from, incarnation, asked, .. } => {
                let granted = Event::LoanGranted {
                    vm: from,
                    incarnation,
                    lender: vm,
                    grants: Vec::new(),
                    asked,
                };
                self.schedule(IN_ZONE_DELAY, granted);
            }
            _ => {}
        }
    }

    pub(super) fn handle_at_vm(&mut self, vm: usize, event: Event) {
        let incarnation = self.vms[vm].incarnation;
        match event {
            Event::Tick { .. } => {
                self.call_core(vm, Core::tick);
                self.schedule(TICK_INTERVAL, Event::Tick { vm, incarnation });
            }
            Event::Sweep { .. } => {
                self.call_core(vm, Core::sweep);
                self.schedule(SWEEP_INTERVAL, Event::Sweep { vm, incarnation });
            }
            Event::SendHeartbeats { round, .. } => {
                self.send_heartbeats(vm, round);
                self.schedule(
                    HEARTBEAT_INTERVAL,
                    Event::SendHeartbeats { vm, incarnation, round: round + 1 },
                );
            }
            Event::PollPlatform { .. } => {
                if let Some(row) = self.read_config_row() {
                    self.deliver_config(vm, row);
                    self.update_lists(vm);
                }
                self.schedule(POLL_INTERVAL, Event::PollPlatform { vm, incarnation });
            }
            Event::WriteStart { order, .. } => self.write_start_request(vm, order),
            Event::TaskEnded { task, result, .. } => {
                if let (StartResult::Done(_), Some(job)) =
                    (&result, self.job_indices.get(&(incarnation, task.number)))
                {
                    self.jobs[*job].task_ends[task.index as usize] = Some(self.now);
                }
                self.call_core(vm, |core, now, out| core.ended(now, task, result, out));
            }
            Event::StopReply { late, .. } => self.call_core(vm, |core, _, _| core.stopped(late)),
            Event::Submit { job, from, .. } => self.handle_submission(vm, job, from),
            Event::Cancel { job, .. } => self.handle_cancel(vm, job),
            Event::BorrowRequest { from, incarnation, slots, asked, .. } => {
                self.handle_borrow_request(vm, from, incarnation, slots, asked)
            }
            Event::LoanGranted { lender, grants, asked, .. } => {
                let lender = self.vms[lender].name.clone();
                self.call_core(vm, |core, now, out| {
                    core.granted(now, asked, &lender, &grants, out)
                });
            }
            Event::LoanReturned { from, slots, .. } => {
                let from = self.vms[from].name.clone();
                self.call_core(vm, |core, now, out| core.returned(now, &from, &slots, out));
            }
            Event::Heartbeat { from, incarnation, row, status, borrowed, .. } => {
                let from = self.vms[from].name.clone();
                self.call_core(vm, |core, now, out| {
                    core.heard(now, &from, incarnation, status, &borrowed, out);
                    core.offer_config(row, out);
                });
            }
            Event::WorkerLeaving { worker, .. } => {
                let name = self.workers[worker].info.name.clone();
                self.call_core(vm, |core, _, _| core.worker_leaving(&name));
            }
            Event::ConfigPush { row, .. } => self.deliver_config(vm, row),
            Event::Reloaded { .. } => {
                self.update_lists(vm);
                self.call_core(vm, Core::rechecked);
            }
            _ => {}
        }
    }

    pub(super) fn send_heartbeats(&mut self, vm: usize, round: u64) {
        let demand = round.is_multiple_of(HEARTBEATS_PER_DEMAND_REPORT);
        for peer in 0..self.vms.len() {
            if peer == vm || self.is_partitioned(vm, peer) {
                continue;
            }
            let to = self.vms[peer].name.clone();
            let Some(core) = self.core(vm) else { return };
            let (status, borrowed) = core.pulse(self.now, &to, demand);
            let (incarnation, row) = (core.issuer().incarnation, core.config());
            let beat = Event::Heartbeat { vm: peer, from: vm, incarnation, row, status, borrowed };
            self.schedule(self.one_way_delay(vm, peer), beat);
        }
        if demand {
            self.call_core(vm, |core, _, _| core.age_demand());
        }
    }

    pub(super) fn write_start_request(&mut self, vm: usize, order: StartOrder) {
        let incarnation = self.vms[vm].incarnation;
        if self.now >= order.not_after {
            let (task, result) = (order.task, StartResult::NotSent);
            return self
                .schedule(Duration::ZERO, Event::TaskEnded { vm, incarnation, task, result });
        }
        let Some(worker) = self.workers.iter().position(|w| w.info.name == order.worker) else {
            return;
        };
        self.schedule(IN_ZONE_DELAY, Event::StartAtWorker { worker, vm, incarnation, order });
    }

    pub(super) fn handle_submission(&mut self, vm: usize, job: usize, from: usize) {
        let (id, spec) = (self.jobs[job].id.clone(), Arc::clone(&self.jobs[job].spec));
        if id.issuer.incarnation.0 != self.vms[vm].incarnation {
            return self.send_reply(vm, job, from, CallerReply::Unknown);
        }
        self.vms[vm].waiting_callers.entry(id.number).or_default().push((job, from));
        let submitted = self.call_core(vm, |core, now, out| core.submit(now, &id, spec, out));
        match submitted {
            Ok(Lookup::Final(answer)) => {
                self.send_reply(vm, job, from, CallerReply::Answer(answer))
            }
            Ok(_) => {}
            Err(_) => self.send_reply(vm, job, from, CallerReply::Error),
        }
    }

    pub(super) fn handle_cancel(&mut self, vm: usize, job: usize) {
        let id = self.jobs[job].id.clone();
        if id.issuer.incarnation.0 != self.vms[vm].incarnation {
            return self.send_reply(vm, job, vm, CallerReply::Unknown);
        }
        let reply = match self.call_core(vm, |core, now, out| core.cancel(now, &id, out)) {
            Ok(answer) => CallerReply::Answer(answer),
            Err(_) => CallerReply::Error,
        };
        self.send_reply(vm, job, vm, reply);
    }

    pub(super) fn send_reply(&mut self, vm: usize, job: usize, from: usize, reply: CallerReply) {
        let lost = self.is_partitioned(vm, from);
        let reply = if lost { CallerReply::Unknown } else { reply };
        let delay = CROSS_ZONE_DELAY
            + if vm == from { Duration::ZERO } else { self.one_way_delay(vm, from) };
        self.schedule(delay, Event::Reply { job, reply });
    }

    pub(super) fn handle_borrow_request(
        &mut self,
        vm: usize,
        from: usize,
        incarnation: u64,
        slots: u32,
        asked: Moment,
    ) {
        let to = self.vms[from].name.clone();
        let grants = self.call_core(vm, |core, now, _| core.lend(now, &to, slots));
        if !self.is_partitioned(vm, from) {
            let granted = Event::LoanGranted { vm: from, incarnation, lender: vm, grants, asked };
            self.schedule(self.one_way_delay(vm, from), granted);
        }
    }

    pub(super) fn handle_outside_vms(&mut self, event: Event) {
        match event {
            Event::StartAtWorker { worker, vm, incarnation, order } => {
                self.handle_start_at_worker(worker, vm, incarnation, order)
            }
            Event::RunFinished { worker, kills, vm, task } => {
                let same = self.workers[worker].kills == kills;
                if same && self.workers[worker].finish_task(task) {
                    let result = StartResult::Done(String::new());
                    let (incarnation, task) = (task.incarnation, task.task);
                    self.schedule(
                        IN_ZONE_DELAY,
                        Event::TaskEnded { vm, incarnation, task, result },
                    );
                }
            }
            Event::StopAtWorker { worker, vm, incarnation, tasks } => {
                let mut stopped = 0;
                for task in &tasks {
                    if self.workers[worker].finish_task(TaskKey { incarnation, task: *task }) {
                        stopped += 1;
                        let result = StartResult::Failed("stopped".to_owned());
                        self.schedule(
                            IN_ZONE_DELAY,
                            Event::TaskEnded { vm, incarnation, task: *task, result },
                        );
                    }
                }
                let late = if stopped == 0 { tasks.len() as u32 } else { 0 };
                self.schedule(IN_ZONE_DELAY, Event::StopReply { vm, incarnation, late });
            }
            Event::Reply { job, reply } => self.jobs[job].replies.push((self.now, reply)),
            _ => {}
        }
    }

    pub(super) fn handle_start_at_worker(
        &mut self,
        worker: usize,
        vm: usize,
        incarnation: u64,
        order: StartOrder,
    ) {
        let task = TaskKey { incarnation, task: order.task };
        let outcome = self.workers[worker].start_task(task);
        self.check_task_starts(task);
        let ended = |result| Event::TaskEnded { vm, incarnation, task: order.task, result };
        match outcome {
            StartOutcome::NoConnection => self.schedule(IN_ZONE_DELAY, ended(StartResult::NotSent)),
            StartOutcome::Refused => {
                if self.workers[worker].leaving {
                    self.schedule(IN_ZONE_DELAY, Event::WorkerLeaving { vm, worker });
                }
                self.schedule(IN_ZONE_DELAY, ended(StartResult::Refused));
            }
            StartOutcome::ConnectionBroken => {
                self.schedule(IN_ZONE_DELAY, ended(StartResult::Unknown))
            }
            StartOutcome::Failed => {
                self.schedule(IN_ZONE_DELAY, ended(StartResult::Failed("broken".to_owned())))
            }
            StartOutcome::Running => {
                let job = self.job_indices.get(&(incarnation, order.task.number)).copied();
                let seconds =
                    job.map_or(0.1, |job| self.jobs[job].task_seconds[order.task.index as usize]);
                let span = Duration::from_secs_f64(seconds * self.workers[worker].slowness);
                let kills = self.workers[worker].kills;
                self.schedule(span, Event::RunFinished { worker, kills, vm, task });
                // The transport gives up when the task's lease is over.
                let limit = (order.deadline - self.now) + LEASE_GRACE;
                self.schedule(limit, ended(StartResult::Unknown));
            }
        }
    }

    pub(super) fn call_core<T, F>(&mut self, vm: usize, call: F) -> T
    where
        F: FnOnce(&Core, Moment, &mut Vec<Action>) -> T,
        T: VmDownResult,
    {
        let mut out = Vec::new();
        let Some(core) = self.vms[vm].core.as_ref() else { return T::vm_down() };
        let result = call(core, self.now, &mut out);
        let version = core.config_version();
        self.check_config_version(vm, version);
        out.into_iter().for_each(|action| self.execute(vm, action));
        result
    }

    pub(super) fn execute(&mut self, vm: usize, action: Action) {
        let incarnation = self.vms[vm].incarnation;
        match action {
            Action::Start(order) => {
                self.schedule(Duration::ZERO, Event::WriteStart { vm, incarnation, order })
            }
            Action::Stop { worker, tasks } => {
                let found = self.workers.iter().position(|w| w.info.name == worker);
                if let Some(worker) = found {
                    self.schedule(
                        IN_ZONE_DELAY,
                        Event::StopAtWorker { worker, vm, incarnation, tasks },
                    );
                }
            }
            Action::Answer { number, answer } => {
                let waiting_callers =
                    self.vms[vm].waiting_callers.swap_remove(&number).unwrap_or_default();
                for (job, from) in waiting_callers {
                    self.send_reply(vm, job, from, CallerReply::Answer(Arc::clone(&answer)));
                }
            }
            Action::Borrow { lender, slots } => self.send_borrow_request(vm, &lender, slots),
            Action::GiveBack(back) => {
                let found = self.vms.iter().position(|peer| peer.name == back.lender);
                if let Some(peer) = found.filter(|peer| !self.is_partitioned(vm, *peer)) {
                    let give = Event::LoanReturned { vm: peer, from: vm, slots: back.slots };
                    self.schedule(self.one_way_delay(vm, peer), give);
                }
            }
            Action::Recheck => {
                self.schedule(CROSS_ZONE_DELAY * 2, Event::Reloaded { vm, incarnation })
            }
            Action::Note(event) => self.count_event(&event),
        }
    }

    pub(super) fn send_borrow_request(&mut self, vm: usize, lender: &VmName, slots: u32) {
        let (incarnation, asked) = (self.vms[vm].incarnation, self.now);
        let Some(peer) = self.vms.iter().position(|peer| peer.name == *lender) else { return };
        let paused = self.vms[peer].paused;
        if paused || self.is_partitioned(vm, peer) {
            let granted =
                Event::LoanGranted { vm, incarnation, lender: peer, grants: Vec::new(), asked };
            return self.schedule(PEER_TIMEOUT, granted);
        }
        self.schedule(
            self.one_way_delay(vm, peer),
            Event::BorrowRequest { vm: peer, from: vm, incarnation, slots, asked },
        );
    }

    pub(super) fn count_event(&mut self, event: &TimelineEvent) {
        *self.event_counts.entry(event.kind()).or_insert(0) += 1;
    }
}

/// A value for calls to a core that does not live.
pub(super) trait VmDownResult {
    /// The value.
    fn vm_down() -> Self;
}

impl VmDownResult for () {
    fn vm_down() -> Self {}
}

impl VmDownResult for Vec<SlotCount> {
    fn vm_down() -> Self {
        Vec::new()
    }
}

impl<T, E> VmDownResult for Result<T, E>
where
    E: From<TicketError>,
{
    fn vm_down() -> Self {
        Err(TicketError::Expired.into())
    }
}
