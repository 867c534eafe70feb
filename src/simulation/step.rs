//! What each event does, and how the cores' actions are carried out.

use super::{
    engine::{BEAT, CallerReply, FAR, NEAR, POLL, SWEEP, Simulation, TICK},
    event::{Event, addressee},
    worker::{Taken, TaskKey},
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

/// Heartbeat rounds between two that tell demand.
const DEMAND_EVERY: u64 = 10;
/// Longest wait for a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a worker beyond the job's deadline.
const LEASE_GRACE: Duration = Duration::from_secs(2);

impl Simulation {
    pub(super) fn step(&mut self, event: Event) {
        let Some((vm, incarnation)) = addressee(&event) else { return self.step_world(event) };
        let entry = &mut self.vms[vm];
        if incarnation.is_some_and(|incarnation| incarnation != entry.incarnation) {
            return;
        }
        if entry.frozen {
            entry.held.push(event);
            return;
        }
        if entry.core.is_some() {
            self.step_vm(vm, event);
        } else {
            self.step_dead(event);
        }
    }

    /// The events whose senders notice that the addressee is dead.
    pub(super) fn step_dead(&mut self, event: Event) {
        match event {
            Event::Submit { job, .. } | Event::Cancel { job, .. } => {
                self.at(FAR, Event::Tell { job, told: CallerReply::Unknown });
            }
            Event::Borrow { vm, from, incarnation, asked, .. } => {
                let granted =
                    Event::Granted { vm: from, incarnation, lender: vm, grants: Vec::new(), asked };
                self.at(NEAR, granted);
            }
            _ => {}
        }
    }

    pub(super) fn step_vm(&mut self, vm: usize, event: Event) {
        let incarnation = self.vms[vm].incarnation;
        match event {
            Event::Tick { .. } => {
                self.drive(vm, Core::tick);
                self.at(TICK, Event::Tick { vm, incarnation });
            }
            Event::Sweep { .. } => {
                self.drive(vm, Core::sweep);
                self.at(SWEEP, Event::Sweep { vm, incarnation });
            }
            Event::Beat { round, .. } => {
                self.beat(vm, round);
                self.at(BEAT, Event::Beat { vm, incarnation, round: round + 1 });
            }
            Event::Poll { .. } => {
                if let Some(row) = self.read_row() {
                    self.offer(vm, row);
                    self.take_lists(vm);
                }
                self.at(POLL, Event::Poll { vm, incarnation });
            }
            Event::Write { order, .. } => self.write_start(vm, order),
            Event::Ended { task, result, .. } => {
                if let (StartResult::Done(_), Some(job)) =
                    (&result, self.by_task.get(&(incarnation, task.number)))
                {
                    self.jobs[*job].task_ends[task.index as usize] = Some(self.now);
                }
                self.drive(vm, |core, now, out| core.ended(now, task, result, out));
            }
            Event::Stopped { late, .. } => self.drive(vm, |core, _, _| core.stopped(late)),
            Event::Submit { job, from, .. } => self.take_submission(vm, job, from),
            Event::Cancel { job, .. } => self.take_cancel(vm, job),
            Event::Borrow { from, incarnation, slots, asked, .. } => {
                self.lend(vm, from, incarnation, slots, asked)
            }
            Event::Granted { lender, grants, asked, .. } => {
                let lender = self.vms[lender].name.clone();
                self.drive(vm, |core, now, out| core.granted(now, asked, &lender, &grants, out));
            }
            Event::GiveBack { from, slots, .. } => {
                let from = self.vms[from].name.clone();
                self.drive(vm, |core, now, out| core.returned(now, &from, &slots, out));
            }
            Event::Heartbeat { from, incarnation, row, pulse, held, .. } => {
                let from = self.vms[from].name.clone();
                self.drive(vm, |core, now, out| {
                    core.heard(now, &from, incarnation, pulse, &held, out);
                    core.offer_config(row, out);
                });
            }
            Event::SaysLeaving { worker, .. } => {
                let name = self.workers[worker].info.name.clone();
                self.drive(vm, |core, _, _| core.worker_leaving(&name));
            }
            Event::Push { row, .. } => self.offer(vm, row),
            Event::Rechecked { .. } => {
                self.take_lists(vm);
                self.drive(vm, Core::rechecked);
            }
            _ => {}
        }
    }

    pub(super) fn beat(&mut self, vm: usize, round: u64) {
        let demand = round.is_multiple_of(DEMAND_EVERY);
        for peer in 0..self.vms.len() {
            if peer == vm || self.is_cut(vm, peer) {
                continue;
            }
            let to = self.vms[peer].name.clone();
            let Some(core) = self.core(vm) else { return };
            let (pulse, held) = core.pulse(self.now, &to, demand);
            let (incarnation, row) = (core.issuer().incarnation, core.config());
            let beat = Event::Heartbeat { vm: peer, from: vm, incarnation, row, pulse, held };
            self.at(self.way(vm, peer), beat);
        }
        if demand {
            self.drive(vm, |core, _, _| core.age_demand());
        }
    }

    pub(super) fn write_start(&mut self, vm: usize, order: StartOrder) {
        let incarnation = self.vms[vm].incarnation;
        if self.now >= order.not_after {
            let (task, result) = (order.task, StartResult::NotSent);
            return self.at(Duration::ZERO, Event::Ended { vm, incarnation, task, result });
        }
        let Some(worker) = self.workers.iter().position(|w| w.info.name == order.worker) else {
            return;
        };
        self.at(NEAR, Event::AtWorker { worker, vm, incarnation, order });
    }

    pub(super) fn take_submission(&mut self, vm: usize, job: usize, from: usize) {
        let (id, spec) = (self.jobs[job].id.clone(), Arc::clone(&self.jobs[job].spec));
        if id.issuer.incarnation.0 != self.vms[vm].incarnation {
            return self.tell(vm, job, from, CallerReply::Unknown);
        }
        self.vms[vm].asking.entry(id.number).or_default().push((job, from));
        let submitted = self.drive(vm, |core, now, out| core.submit(now, &id, spec, out));
        match submitted {
            Ok(Lookup::Final(answer)) => self.tell(vm, job, from, CallerReply::Answer(answer)),
            Ok(_) => {}
            Err(_) => self.tell(vm, job, from, CallerReply::Error),
        }
    }

    pub(super) fn take_cancel(&mut self, vm: usize, job: usize) {
        let id = self.jobs[job].id.clone();
        if id.issuer.incarnation.0 != self.vms[vm].incarnation {
            return self.tell(vm, job, vm, CallerReply::Unknown);
        }
        let told = match self.drive(vm, |core, now, out| core.cancel(now, &id, out)) {
            Ok(answer) => CallerReply::Answer(answer),
            Err(_) => CallerReply::Error,
        };
        self.tell(vm, job, vm, told);
    }

    pub(super) fn tell(&mut self, vm: usize, job: usize, from: usize, told: CallerReply) {
        let lost = self.is_cut(vm, from);
        let told = if lost { CallerReply::Unknown } else { told };
        let way = FAR + if vm == from { Duration::ZERO } else { self.way(vm, from) };
        self.at(way, Event::Tell { job, told });
    }

    pub(super) fn lend(
        &mut self,
        vm: usize,
        from: usize,
        incarnation: u64,
        slots: u32,
        asked: Moment,
    ) {
        let to = self.vms[from].name.clone();
        let grants = self.drive(vm, |core, now, _| core.lend(now, &to, slots));
        if !self.is_cut(vm, from) {
            let granted = Event::Granted { vm: from, incarnation, lender: vm, grants, asked };
            self.at(self.way(vm, from), granted);
        }
    }

    pub(super) fn step_world(&mut self, event: Event) {
        match event {
            Event::AtWorker { worker, vm, incarnation, order } => {
                self.at_worker(worker, vm, incarnation, order)
            }
            Event::WorkDone { worker, deaths, vm, task } => {
                let same = self.workers[worker].deaths == deaths;
                if same && self.workers[worker].finish(task) {
                    let result = StartResult::Done(String::new());
                    let (incarnation, task) = (task.incarnation, task.task);
                    self.at(NEAR, Event::Ended { vm, incarnation, task, result });
                }
            }
            Event::StopAt { worker, vm, incarnation, tasks } => {
                let mut stopped = 0;
                for task in &tasks {
                    if self.workers[worker].finish(TaskKey { incarnation, task: *task }) {
                        stopped += 1;
                        let result = StartResult::Failed("stopped".to_owned());
                        self.at(NEAR, Event::Ended { vm, incarnation, task: *task, result });
                    }
                }
                let late = if stopped == 0 { tasks.len() as u32 } else { 0 };
                self.at(NEAR, Event::Stopped { vm, incarnation, late });
            }
            Event::Tell { job, told } => self.jobs[job].told.push((self.now, told)),
            _ => {}
        }
    }

    pub(super) fn at_worker(
        &mut self,
        worker: usize,
        vm: usize,
        incarnation: u64,
        order: StartOrder,
    ) {
        let task = TaskKey { incarnation, task: order.task };
        let taken = self.workers[worker].take(task);
        self.check_start(task);
        let ended = |result| Event::Ended { vm, incarnation, task: order.task, result };
        match taken {
            Taken::NoConnection => self.at(NEAR, ended(StartResult::NotSent)),
            Taken::Refused => {
                if self.workers[worker].leaving {
                    self.at(NEAR, Event::SaysLeaving { vm, worker });
                }
                self.at(NEAR, ended(StartResult::Refused));
            }
            Taken::Broken => self.at(NEAR, ended(StartResult::Unknown)),
            Taken::Failed => self.at(NEAR, ended(StartResult::Failed("broken".to_owned()))),
            Taken::Runs => {
                let job = self.by_task.get(&(incarnation, order.task.number)).copied();
                let work = job.map_or(0.1, |job| self.jobs[job].work[order.task.index as usize]);
                let span = Duration::from_secs_f64(work * self.workers[worker].slowness);
                let deaths = self.workers[worker].deaths;
                self.at(span, Event::WorkDone { worker, deaths, vm, task });
                // The transport gives up when the task's lease is over.
                let limit = (order.deadline - self.now) + LEASE_GRACE;
                self.at(limit, ended(StartResult::Unknown));
            }
        }
    }

    pub(super) fn drive<T, F>(&mut self, vm: usize, call: F) -> T
    where
        F: FnOnce(&Core, Moment, &mut Vec<Action>) -> T,
        T: WhenDead,
    {
        let mut out = Vec::new();
        let Some(core) = self.vms[vm].core.as_ref() else { return T::none() };
        let result = call(core, self.now, &mut out);
        let version = core.config_version();
        self.check_version(vm, version);
        out.into_iter().for_each(|action| self.carry_out(vm, action));
        result
    }

    pub(super) fn carry_out(&mut self, vm: usize, action: Action) {
        let incarnation = self.vms[vm].incarnation;
        match action {
            Action::Start(order) => {
                self.at(Duration::ZERO, Event::Write { vm, incarnation, order })
            }
            Action::Stop { worker, tasks } => {
                let found = self.workers.iter().position(|w| w.info.name == worker);
                if let Some(worker) = found {
                    self.at(NEAR, Event::StopAt { worker, vm, incarnation, tasks });
                }
            }
            Action::Answer { number, answer } => {
                let asking = self.vms[vm].asking.swap_remove(&number).unwrap_or_default();
                for (job, from) in asking {
                    self.tell(vm, job, from, CallerReply::Answer(Arc::clone(&answer)));
                }
            }
            Action::Borrow { lender, slots } => self.ask_to_borrow(vm, &lender, slots),
            Action::GiveBack(back) => {
                let found = self.vms.iter().position(|peer| peer.name == back.lender);
                if let Some(peer) = found.filter(|peer| !self.is_cut(vm, *peer)) {
                    let give = Event::GiveBack { vm: peer, from: vm, slots: back.slots };
                    self.at(self.way(vm, peer), give);
                }
            }
            Action::Recheck => self.at(FAR * 2, Event::Rechecked { vm, incarnation }),
            Action::Note(event) => self.count_event(&event),
        }
    }

    pub(super) fn ask_to_borrow(&mut self, vm: usize, lender: &VmName, slots: u32) {
        let (incarnation, asked) = (self.vms[vm].incarnation, self.now);
        let Some(peer) = self.vms.iter().position(|peer| peer.name == *lender) else { return };
        let frozen = self.vms[peer].frozen;
        if frozen || self.is_cut(vm, peer) {
            let granted =
                Event::Granted { vm, incarnation, lender: peer, grants: Vec::new(), asked };
            return self.at(PEER_TIMEOUT, granted);
        }
        self.at(
            self.way(vm, peer),
            Event::Borrow { vm: peer, from: vm, incarnation, slots, asked },
        );
    }

    pub(super) fn count_event(&mut self, event: &TimelineEvent) {
        *self.event_counts.entry(event.kind()).or_insert(0) += 1;
    }
}

/// A value for calls to a core that does not live.
pub(super) trait WhenDead {
    /// The value.
    fn none() -> Self;
}

impl WhenDead for () {
    fn none() -> Self {}
}

impl WhenDead for Vec<SlotCount> {
    fn none() -> Self {
        Vec::new()
    }
}

impl<T, E> WhenDead for Result<T, E>
where
    E: From<TicketError>,
{
    fn none() -> Self {
        Err(TicketError::Expired.into())
    }
}
