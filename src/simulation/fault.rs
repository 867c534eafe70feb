//! What a test can do to a world: kills, freezes, cuts, leaving.

use super::{
    engine::{CROSS_ZONE_DELAY, CallerReply, IN_ZONE_DELAY, Simulation},
    event::Event,
    worker::WorkerFault,
};
use crate::state::job::StartResult;
use std::time::Duration;

impl Simulation {
    /// Kills an entry VM's process.
    pub fn kill_vm(&mut self, vm: usize) {
        let entry = &mut self.vms[vm];
        entry.core = None;
        entry.paused = false;
        entry.deferred_events.clear();
        for (_, waiting_callers) in std::mem::take(&mut entry.waiting_callers) {
            for (job, from) in waiting_callers {
                if from != vm {
                    self.schedule(
                        CROSS_ZONE_DELAY,
                        Event::Reply { job, reply: CallerReply::Unknown },
                    );
                }
            }
        }
    }

    /// Freezes an entry VM's process.
    pub fn pause_vm(&mut self, vm: usize) {
        self.vms[vm].paused = self.vms[vm].core.is_some();
    }

    /// Lets a paused process go on.
    pub fn resume_vm(&mut self, vm: usize) {
        self.vms[vm].paused = false;
        for event in std::mem::take(&mut self.vms[vm].deferred_events) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Tells an entry VM to leave.
    pub fn start_leaving(&mut self, vm: usize) {
        self.call_core(vm, |core, now, out| core.leave(now, out));
    }

    /// Lets a drained entry VM hand its ledger to a zone peer and end; true if it did.
    pub fn finish_leaving(&mut self, vm: usize) -> bool {
        let Some(core) = self.core(vm) else { return false };
        let Some(ledgers) = core.close_ledger(self.now) else { return false };
        let heir = (0..self.vms.len()).find(|peer| {
            let other = &self.vms[*peer];
            let takes = other.core.as_ref().is_some_and(|core| !core.is_leaving());
            *peer != vm && other.zone == self.vms[vm].zone && takes && !other.paused
        });
        for ledger in heir.map(|_| ledgers).unwrap_or_default() {
            self.call_core(heir.unwrap_or(vm), |core, now, out| core.adopt(now, ledger, out));
        }
        self.kill_vm(vm);
        true
    }

    /// Kills a worker; what ran there is gone and its connections break.
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

    /// Sets how a worker misbehaves.
    pub fn set_worker_fault(&mut self, worker: usize, fault: WorkerFault) {
        self.workers[worker].fault = fault;
    }

    /// Cuts two zones from each other.
    pub fn partition_zones(&mut self, a: usize, b: usize) {
        self.partitions.push((a.min(b), a.max(b)));
    }

    /// Ends all cuts.
    pub fn heal_partitions(&mut self) {
        self.partitions.clear();
    }
}
