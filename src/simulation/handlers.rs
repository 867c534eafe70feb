//! Handlers of the simulation's events, and the execution of the cores' actions.

use super::{
    engine::{
        CROSS_ZONE_DELAY, CallerReply, HEARTBEAT_INTERVAL, IN_ZONE_DELAY, POLL_INTERVAL,
        SWEEP_INTERVAL, Simulation, TICK_INTERVAL,
    },
    event::{Event, recipient},
    worker::{StartOutcome, TaskKey},
};
use crate::{
    coordination::{
        action::{Action, Event as TimelineEvent, StartOrder},
        core::Core,
        status::JobStatus,
    },
    state::{id::VmName, job::StartResult, ledger::TicketError, loan::SlotCount, time::Moment},
};
use std::{sync::Arc, time::Duration};

/// Every this many rounds, the heartbeats report the demand of the teams.
const HEARTBEATS_PER_DEMAND_REPORT: u64 = 10;
/// Time for which an entry VM waits for a peer's reply to a request to borrow slots.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a job's deadline for which an entry VM waits for a worker's reply. The worker's
/// lease of the task has ended by then.
const LEASE_GRACE: Duration = Duration::from_secs(2);

impl Simulation {
    /// Handles an event. Events for an earlier incarnation of an entry VM are dropped, events for
    /// a paused process are deferred until it resumes.
    pub(super) fn handle(&mut self, event: Event) {
        let Some((vm, incarnation)) = recipient(&event) else {
            return self.handle_outside_vms(event);
        };
        let vm_state = &mut self.vms[vm];
        if incarnation.is_some_and(|incarnation| incarnation != vm_state.incarnation) {
            return;
        }
        if vm_state.paused {
            vm_state.deferred_events.push(event);
            return;
        }
        if vm_state.core.is_some() {
            self.handle_at_vm(vm, event);
        } else {
            self.handle_at_down_vm(event);
        }
    }

    /// Handles an event for an entry VM whose process is down. Senders of requests notice that the
    /// connection is refused; other events are dropped.
    pub(super) fn handle_at_down_vm(&mut self, event: Event) {
        match event {
            Event::Submit { job, .. } | Event::Cancel { job, .. } => {
                self.schedule(CROSS_ZONE_DELAY, Event::Reply { job, reply: CallerReply::Unknown });
            }
            Event::BorrowRequest { vm, borrower, incarnation, requested_at, .. } => {
                let granted = Event::LoanGranted {
                    vm: borrower,
                    incarnation,
                    lender: vm,
                    grants: Vec::new(),
                    requested_at,
                };
                self.schedule(IN_ZONE_DELAY, granted);
            }
            _ => {}
        }
    }

    /// Handles an event at an entry VM whose process is running.
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
                self.call_core(vm, |core, now, out| core.on_task_ended(now, task, result, out));
            }
            Event::StopReply { late_tasks, .. } => {
                self.call_core(vm, |core, _, _| core.on_stop_reply(late_tasks))
            }
            Event::Submit { job, via, .. } => self.handle_submission(vm, job, via),
            Event::Cancel { job, .. } => self.handle_cancel(vm, job),
            Event::BorrowRequest { borrower, incarnation, slots, requested_at, .. } => {
                self.handle_borrow_request(vm, borrower, incarnation, slots, requested_at)
            }
            Event::LoanGranted { lender, grants, requested_at, .. } => {
                let lender = self.vms[lender].name.clone();
                self.call_core(vm, |core, now, out| {
                    core.on_loan_granted(now, requested_at, &lender, &grants, out)
                });
            }
            Event::LoanReturned { borrower, slots, .. } => {
                let borrower = self.vms[borrower].name.clone();
                self.call_core(vm, |core, now, out| {
                    core.on_loan_returned(now, &borrower, &slots, out)
                });
            }
            Event::Heartbeat { from, incarnation, row, status, borrowed, .. } => {
                let from = self.vms[from].name.clone();
                self.call_core(vm, |core, now, out| {
                    core.on_heartbeat(now, &from, incarnation, status, &borrowed, out);
                    core.replace_config_if_newer(row, out);
                });
            }
            Event::WorkerLeaving { worker, .. } => {
                let name = self.workers[worker].info.name.clone();
                self.call_core(vm, |core, _, _| core.on_worker_leaving(&name));
            }
            Event::ConfigPush { row, .. } => self.deliver_config(vm, row),
            Event::Reloaded { .. } => {
                self.update_lists(vm);
                self.call_core(vm, Core::on_reloaded);
            }
            _ => {}
        }
    }

    /// Sends a heartbeat to every peer that can be reached.
    pub(super) fn send_heartbeats(&mut self, vm: usize, round: u64) {
        let reports_demand = round.is_multiple_of(HEARTBEATS_PER_DEMAND_REPORT);
        for peer in 0..self.vms.len() {
            if peer == vm || self.is_partitioned(vm, peer) {
                continue;
            }
            let to = self.vms[peer].name.clone();
            let Some(core) = self.core(vm) else { return };
            let (status, borrowed) = core.peer_status(self.now, &to, reports_demand);
            let (incarnation, row) = (core.issuer().incarnation, core.config());
            let heartbeat =
                Event::Heartbeat { vm: peer, from: vm, incarnation, row, status, borrowed };
            self.schedule(self.one_way_delay(vm, peer), heartbeat);
        }
        if reports_demand {
            self.call_core(vm, |core, _, _| core.decay_demand());
        }
    }

    /// Writes a start request to the connection of its worker, unless the request is stale.
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

    /// Submits a job to its issuer's core. `via` is the entry VM that the caller asked.
    pub(super) fn handle_submission(&mut self, vm: usize, job: usize, via: usize) {
        let (id, spec) = (self.jobs[job].id.clone(), Arc::clone(&self.jobs[job].spec));
        if id.issuer.incarnation.0 != self.vms[vm].incarnation {
            return self.send_reply(vm, job, via, CallerReply::Unknown);
        }
        self.vms[vm].waiting_callers.entry(id.number).or_default().push((job, via));
        let submitted = self.call_core(vm, |core, now, out| core.submit(now, &id, spec, out));
        match submitted {
            Ok(JobStatus::Final(answer)) => {
                self.send_reply(vm, job, via, CallerReply::Answer(answer))
            }
            Ok(_) => {}
            Err(_) => self.send_reply(vm, job, via, CallerReply::Error),
        }
    }

    /// Cancels a job at its issuer's core.
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

    /// Sends a reply from an entry VM to a caller that asked `via`. If the two entry VMs are
    /// partitioned by now, `via` has no answer for the caller.
    pub(super) fn send_reply(&mut self, vm: usize, job: usize, via: usize, reply: CallerReply) {
        let is_lost = self.is_partitioned(vm, via);
        let reply = if is_lost { CallerReply::Unknown } else { reply };
        let delay =
            CROSS_ZONE_DELAY + if vm == via { Duration::ZERO } else { self.one_way_delay(vm, via) };
        self.schedule(delay, Event::Reply { job, reply });
    }

    /// Lends slots to a zone peer and sends the grant. `incarnation` is the borrower's.
    pub(super) fn handle_borrow_request(
        &mut self,
        vm: usize,
        borrower: usize,
        incarnation: u64,
        slots: u32,
        requested_at: Moment,
    ) {
        let borrower_name = self.vms[borrower].name.clone();
        let grants = self.call_core(vm, |core, now, _| core.lend(now, &borrower_name, slots));
        if !self.is_partitioned(vm, borrower) {
            let granted =
                Event::LoanGranted { vm: borrower, incarnation, lender: vm, grants, requested_at };
            self.schedule(self.one_way_delay(vm, borrower), granted);
        }
    }

    /// Handles an event at a worker or a caller.
    pub(super) fn handle_outside_vms(&mut self, event: Event) {
        match event {
            Event::StartAtWorker { worker, vm, incarnation, order } => {
                self.handle_start_at_worker(worker, vm, incarnation, order)
            }
            Event::RunFinished { worker, kills, vm, task } => {
                let was_not_killed = self.workers[worker].kills == kills;
                if was_not_killed && self.workers[worker].finish_task(task) {
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
                let late_tasks = if stopped == 0 { tasks.len() as u32 } else { 0 };
                self.schedule(IN_ZONE_DELAY, Event::StopReply { vm, incarnation, late_tasks });
            }
            Event::Reply { job, reply } => self.jobs[job].replies.push((self.now, reply)),
            _ => {}
        }
    }

    /// Starts a task at a worker and schedules the events that follow.
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
                let run_time = Duration::from_secs_f64(seconds * self.workers[worker].slowness);
                let kills = self.workers[worker].kills;
                self.schedule(run_time, Event::RunFinished { worker, kills, vm, task });
                // The transport times out once the task's lease has ended.
                let timeout = (order.deadline - self.now) + LEASE_GRACE;
                self.schedule(timeout, ended(StartResult::Unknown));
            }
        }
    }

    /// Calls an entry VM's core and executes the actions that the core returns. Without a running
    /// process, returns [`VmDownResult::vm_down`].
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

    /// Executes an action of an entry VM's core.
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
                for (job, via) in waiting_callers {
                    self.send_reply(vm, job, via, CallerReply::Answer(Arc::clone(&answer)));
                }
            }
            Action::Borrow { lender, slots } => self.send_borrow_request(vm, &lender, slots),
            Action::GiveBack(loan) => {
                let found = self.vms.iter().position(|peer| peer.name == loan.lender);
                if let Some(peer) = found.filter(|peer| !self.is_partitioned(vm, *peer)) {
                    let returned =
                        Event::LoanReturned { vm: peer, borrower: vm, slots: loan.slots };
                    self.schedule(self.one_way_delay(vm, peer), returned);
                }
            }
            Action::Reload => {
                self.schedule(CROSS_ZONE_DELAY * 2, Event::Reloaded { vm, incarnation })
            }
            Action::Record(event) => self.count_event(&event),
        }
    }

    /// Asks a zone peer to lend slots. A peer that can't answer grants none after a timeout.
    pub(super) fn send_borrow_request(&mut self, vm: usize, lender: &VmName, slots: u32) {
        let (incarnation, requested_at) = (self.vms[vm].incarnation, self.now);
        let Some(peer) = self.vms.iter().position(|peer| peer.name == *lender) else { return };
        let paused = self.vms[peer].paused;
        if paused || self.is_partitioned(vm, peer) {
            let granted = Event::LoanGranted {
                vm,
                incarnation,
                lender: peer,
                grants: Vec::new(),
                requested_at,
            };
            return self.schedule(PEER_TIMEOUT, granted);
        }
        self.schedule(
            self.one_way_delay(vm, peer),
            Event::BorrowRequest { vm: peer, borrower: vm, incarnation, slots, requested_at },
        );
    }

    /// Counts a timeline event by its kind.
    pub(super) fn count_event(&mut self, event: &TimelineEvent) {
        *self.event_counts.entry(event.kind()).or_insert(0) += 1;
    }
}

/// Result of a call to the core of an entry VM whose process is down.
pub(super) trait VmDownResult {
    /// Returns an empty value, or the error of an expired ticket, as no core can answer the call.
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
