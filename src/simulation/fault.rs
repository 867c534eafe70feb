//! What a test can do to a world: kills, freezes, cuts, leaving.

use super::{
    engine::{CallerReply, FAR, NEAR, Simulation},
    event::Event,
    worker::Fault,
};
use crate::state::job::StartResult;
use std::time::Duration;

impl Simulation {
    /// Kills an entry VM's process.
    pub fn kill_vm(&mut self, vm: usize) {
        let entry = &mut self.vms[vm];
        entry.core = None;
        entry.frozen = false;
        entry.held.clear();
        for (_, asking) in std::mem::take(&mut entry.asking) {
            for (job, from) in asking {
                if from != vm {
                    self.at(FAR, Event::Tell { job, told: CallerReply::Unknown });
                }
            }
        }
    }

    /// Freezes an entry VM's process.
    pub fn freeze_vm(&mut self, vm: usize) {
        self.vms[vm].frozen = self.vms[vm].core.is_some();
    }

    /// Lets a frozen process go on.
    pub fn thaw_vm(&mut self, vm: usize) {
        self.vms[vm].frozen = false;
        for event in std::mem::take(&mut self.vms[vm].held) {
            self.at(Duration::ZERO, event);
        }
    }

    /// Tells an entry VM to leave.
    pub fn leave_vm(&mut self, vm: usize) {
        self.drive(vm, |core, now, out| core.leave(now, out));
    }

    /// Lets a drained entry VM hand its ledger to a zone peer and end; true if it did.
    pub fn end_leaving_vm(&mut self, vm: usize) -> bool {
        let Some(core) = self.core(vm) else { return false };
        let Some(ledgers) = core.close_ledger(self.now) else { return false };
        let heir = (0..self.vms.len()).find(|peer| {
            let other = &self.vms[*peer];
            let takes = other.core.as_ref().is_some_and(|core| !core.is_leaving());
            *peer != vm && other.zone == self.vms[vm].zone && takes && !other.frozen
        });
        for ledger in heir.map(|_| ledgers).unwrap_or_default() {
            self.drive(heir.unwrap_or(vm), |core, now, out| core.adopt(now, ledger, out));
        }
        self.kill_vm(vm);
        true
    }

    /// Kills a worker; what ran there is gone and its connections break.
    pub fn kill_worker(&mut self, worker: usize) {
        for task in self.workers[worker].die() {
            if let Some(vm) = self.vms.iter().position(|vm| vm.incarnation == task.incarnation) {
                let result = StartResult::Unknown;
                self.at(
                    NEAR,
                    Event::Ended { vm, incarnation: task.incarnation, task: task.task, result },
                );
            }
        }
    }

    /// Sets how a worker misbehaves.
    pub fn fault_worker(&mut self, worker: usize, fault: Fault) {
        self.workers[worker].fault = fault;
    }

    /// Cuts two zones from each other.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut.push((a.min(b), a.max(b)));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cut.clear();
    }
}
