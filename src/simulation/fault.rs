//! Faults that tests inject: killed and paused processes, network partitions, and leaving VMs.

use super::{
    engine::{CROSS_ZONE_DELAY, CallerReply, IN_ZONE_DELAY, Simulation},
    event::Event,
    worker::WorkerFault,
};
use crate::state::job::StartResult;
use std::time::Duration;

impl Simulation {
    /// Kills an entry VM's process. Callers that wait through other entry VMs get the reply
    /// [`CallerReply::Unknown`], callers that wait at this one get none.
    pub fn kill_vm(&mut self, vm: usize) {
        let vm_state = &mut self.vms[vm];
        vm_state.core = None;
        vm_state.paused = false;
        vm_state.deferred_events.clear();
        for (_, waiting_callers) in std::mem::take(&mut vm_state.waiting_callers) {
            for (job, via) in waiting_callers {
                if via != vm {
                    self.schedule(
                        CROSS_ZONE_DELAY,
                        Event::Reply { job, reply: CallerReply::Unknown },
                    );
                }
            }
        }
    }

    /// Pauses an entry VM's process, if it is running. Its events are deferred.
    pub fn pause_vm(&mut self, vm: usize) {
        self.vms[vm].paused = self.vms[vm].core.is_some();
    }

    /// Resumes a paused process, which then handles the deferred events.
    pub fn resume_vm(&mut self, vm: usize) {
        self.vms[vm].paused = false;
        for event in std::mem::take(&mut self.vms[vm].deferred_events) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Makes an entry VM leave: it accepts no new jobs, but finishes the open ones.
    pub fn start_leaving(&mut self, vm: usize) {
        self.call_core(vm, |core, now, out| core.leave(now, out));
    }

    /// Ends a leaving entry VM whose jobs are all answered, after handing its ledgers over to a
    /// zone peer, if one accepts jobs. Returns whether the entry VM has ended.
    pub fn finish_leaving(&mut self, vm: usize) -> bool {
        let Some(core) = self.core(vm) else { return false };
        let Some(ledgers) = core.close_ledger(self.now) else { return false };
        let successor = (0..self.vms.len()).find(|peer| {
            let other = &self.vms[*peer];
            let accepts_jobs = other.core.as_ref().is_some_and(|core| !core.is_leaving());
            *peer != vm && other.zone == self.vms[vm].zone && accepts_jobs && !other.paused
        });
        for ledger in successor.map(|_| ledgers).unwrap_or_default() {
            self.call_core(successor.unwrap_or(vm), |core, now, out| {
                core.inherit_ledger(now, ledger, out)
            });
        }
        self.kill_vm(vm);
        true
    }

    /// Kills a worker. Its tasks are lost and their connections break.
    pub fn kill_worker(&mut self, worker: usize) {
        for task in self.workers[worker].kill() {
            if let Some(vm) = self.vms.iter().position(|vm| vm.incarnation == task.incarnation) {
                let result = StartResult::Unknown;
                self.schedule(
                    IN_ZONE_DELAY,
                    Event::TaskEnded { vm, incarnation: task.incarnation, task: task.task, result },
                );
            }
        }
    }

    /// Sets the fault of a worker. [`WorkerFault::None`] also restarts a killed one.
    pub fn set_worker_fault(&mut self, worker: usize, fault: WorkerFault) {
        self.workers[worker].fault = fault;
    }

    /// Partitions two zones, given by their indices, from each other.
    pub fn partition_zones(&mut self, a: usize, b: usize) {
        self.partitions.push((a.min(b), a.max(b)));
    }

    /// Heals all partitions.
    pub fn heal_partitions(&mut self) {
        self.partitions.clear();
    }
}
