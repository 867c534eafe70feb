//! What each event does, and how the cores' actions are carried out.

use super::{
    engine::{BEAT, CallerReply, FAR, NEAR, POLL, SWEEP, Simulation, TICK},
    event::{Ev, addressee},
    worker::{Taken, TaskKey},
};
use crate::{
    coordination::{
        action::{Action, Event as Note, StartOrder},
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
    pub(super) fn step(&mut self, ev: Ev) {
        let Some((vm, life)) = addressee(&ev) else { return self.step_world(ev) };
        let entry = &mut self.vms[vm];
        if life.is_some_and(|life| life != entry.life) {
            return;
        }
        if entry.frozen {
            entry.held.push(ev);
            return;
        }
        if entry.core.is_some() {
            self.step_vm(vm, ev);
        } else {
            self.step_dead(ev);
        }
    }

    /// The events whose senders notice that the addressee is dead.
    pub(super) fn step_dead(&mut self, ev: Ev) {
        match ev {
            Ev::Submit { job, .. } | Ev::Cancel { job, .. } => {
                self.at(FAR, Ev::Tell { job, told: CallerReply::Unknown });
            }
            Ev::Borrow { vm, from, life, asked, .. } => {
                let granted = Ev::Granted { vm: from, life, lender: vm, grants: Vec::new(), asked };
                self.at(NEAR, granted);
            }
            _ => {}
        }
    }

    pub(super) fn step_vm(&mut self, vm: usize, ev: Ev) {
        let life = self.vms[vm].life;
        match ev {
            Ev::Tick { .. } => {
                self.drive(vm, Core::tick);
                self.at(TICK, Ev::Tick { vm, life });
            }
            Ev::Sweep { .. } => {
                self.drive(vm, Core::sweep);
                self.at(SWEEP, Ev::Sweep { vm, life });
            }
            Ev::Beat { round, .. } => {
                self.beat(vm, round);
                self.at(BEAT, Ev::Beat { vm, life, round: round + 1 });
            }
            Ev::Poll { .. } => {
                if let Some(row) = self.read_row() {
                    self.offer(vm, row);
                    self.take_lists(vm);
                }
                self.at(POLL, Ev::Poll { vm, life });
            }
            Ev::Write { order, .. } => self.write_start(vm, order),
            Ev::Ended { task, result, .. } => {
                if let (StartResult::Done(_), Some(job)) =
                    (&result, self.by_task.get(&(life, task.number)))
                {
                    self.jobs[*job].task_ends[task.index as usize] = Some(self.now);
                }
                self.drive(vm, |core, now, out| core.ended(now, task, result, out));
            }
            Ev::Stopped { late, .. } => self.drive(vm, |core, _, _| core.stopped(late)),
            Ev::Submit { job, from, .. } => self.take_submission(vm, job, from),
            Ev::Cancel { job, .. } => self.take_cancel(vm, job),
            Ev::Borrow { from, life, slots, asked, .. } => self.lend(vm, from, life, slots, asked),
            Ev::Granted { lender, grants, asked, .. } => {
                let lender = self.vms[lender].name.clone();
                self.drive(vm, |core, now, out| core.granted(now, asked, &lender, &grants, out));
            }
            Ev::GiveBack { from, slots, .. } => {
                let from = self.vms[from].name.clone();
                self.drive(vm, |core, now, out| core.returned(now, &from, &slots, out));
            }
            Ev::Heartbeat { from, incarnation, row, pulse, held, .. } => {
                let from = self.vms[from].name.clone();
                self.drive(vm, |core, now, out| {
                    core.heard(now, &from, incarnation, pulse, &held, out);
                    core.offer_config(row, out);
                });
            }
            Ev::SaysLeaving { worker, .. } => {
                let name = self.workers[worker].info.name.clone();
                self.drive(vm, |core, _, _| core.worker_leaving(&name));
            }
            Ev::Push { row, .. } => self.offer(vm, row),
            Ev::Rechecked { .. } => {
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
            let beat = Ev::Heartbeat { vm: peer, from: vm, incarnation, row, pulse, held };
            self.at(self.way(vm, peer), beat);
        }
        if demand {
            self.drive(vm, |core, _, _| core.age_demand());
        }
    }

    pub(super) fn write_start(&mut self, vm: usize, order: StartOrder) {
        let life = self.vms[vm].life;
        if self.now >= order.not_after {
            let (task, result) = (order.task, StartResult::NotSent);
            return self.at(Duration::ZERO, Ev::Ended { vm, life, task, result });
        }
        let Some(worker) = self.workers.iter().position(|w| w.info.name == order.worker) else {
            return;
        };
        self.at(NEAR, Ev::AtWorker { worker, vm, life, order });
    }

    pub(super) fn take_submission(&mut self, vm: usize, job: usize, from: usize) {
        let (id, spec) = (self.jobs[job].id.clone(), Arc::clone(&self.jobs[job].spec));
        if id.issuer.incarnation.0 != self.vms[vm].life {
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
        if id.issuer.incarnation.0 != self.vms[vm].life {
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
        self.at(way, Ev::Tell { job, told });
    }

    pub(super) fn lend(&mut self, vm: usize, from: usize, life: u64, slots: u32, asked: Moment) {
        let to = self.vms[from].name.clone();
        let grants = self.drive(vm, |core, now, _| core.lend(now, &to, slots));
        if !self.is_cut(vm, from) {
            let granted = Ev::Granted { vm: from, life, lender: vm, grants, asked };
            self.at(self.way(vm, from), granted);
        }
    }

    pub(super) fn step_world(&mut self, ev: Ev) {
        match ev {
            Ev::AtWorker { worker, vm, life, order } => self.at_worker(worker, vm, life, order),
            Ev::WorkDone { worker, deaths, vm, task } => {
                let same = self.workers[worker].deaths == deaths;
                if same && self.workers[worker].finish(task) {
                    let result = StartResult::Done(String::new());
                    let (life, task) = (task.life, task.task);
                    self.at(NEAR, Ev::Ended { vm, life, task, result });
                }
            }
            Ev::StopAt { worker, vm, life, tasks } => {
                let mut stopped = 0;
                for task in &tasks {
                    if self.workers[worker].finish(TaskKey { life, task: *task }) {
                        stopped += 1;
                        let result = StartResult::Failed("stopped".to_owned());
                        self.at(NEAR, Ev::Ended { vm, life, task: *task, result });
                    }
                }
                let late = if stopped == 0 { tasks.len() as u32 } else { 0 };
                self.at(NEAR, Ev::Stopped { vm, life, late });
            }
            Ev::Tell { job, told } => self.jobs[job].told.push((self.now, told)),
            _ => {}
        }
    }

    pub(super) fn at_worker(&mut self, worker: usize, vm: usize, life: u64, order: StartOrder) {
        let task = TaskKey { life, task: order.task };
        let taken = self.workers[worker].take(task);
        self.check_start(task);
        let ended = |result| Ev::Ended { vm, life, task: order.task, result };
        match taken {
            Taken::NoConnection => self.at(NEAR, ended(StartResult::NotSent)),
            Taken::Refused => {
                if self.workers[worker].leaving {
                    self.at(NEAR, Ev::SaysLeaving { vm, worker });
                }
                self.at(NEAR, ended(StartResult::Refused));
            }
            Taken::Broken => self.at(NEAR, ended(StartResult::Unknown)),
            Taken::Failed => self.at(NEAR, ended(StartResult::Failed("broken".to_owned()))),
            Taken::Runs => {
                let job = self.by_task.get(&(life, order.task.number)).copied();
                let work = job.map_or(0.1, |job| self.jobs[job].work[order.task.index as usize]);
                let span = Duration::from_secs_f64(work * self.workers[worker].slowness);
                let deaths = self.workers[worker].deaths;
                self.at(span, Ev::WorkDone { worker, deaths, vm, task });
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
        let life = self.vms[vm].life;
        match action {
            Action::Start(order) => self.at(Duration::ZERO, Ev::Write { vm, life, order }),
            Action::Stop { worker, tasks } => {
                let found = self.workers.iter().position(|w| w.info.name == worker);
                if let Some(worker) = found {
                    self.at(NEAR, Ev::StopAt { worker, vm, life, tasks });
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
                    let give = Ev::GiveBack { vm: peer, from: vm, slots: back.slots };
                    self.at(self.way(vm, peer), give);
                }
            }
            Action::Recheck => self.at(FAR * 2, Ev::Rechecked { vm, life }),
            Action::Note(note) => self.note(&note),
        }
    }

    pub(super) fn ask_to_borrow(&mut self, vm: usize, lender: &VmName, slots: u32) {
        let (life, asked) = (self.vms[vm].life, self.now);
        let Some(peer) = self.vms.iter().position(|peer| peer.name == *lender) else { return };
        let frozen = self.vms[peer].frozen;
        if frozen || self.is_cut(vm, peer) {
            let granted = Ev::Granted { vm, life, lender: peer, grants: Vec::new(), asked };
            return self.at(PEER_TIMEOUT, granted);
        }
        self.at(self.way(vm, peer), Ev::Borrow { vm: peer, from: vm, life, slots, asked });
    }

    pub(super) fn note(&mut self, note: &Note) {
        *self.notes.entry(note.kind()).or_insert(0) += 1;
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
