//! The workers of a zone and their slots, as known to one entry VM.

use super::{
    id::{VmName, WorkerName},
    job::Requirements,
    time::Moment,
};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Backoff of a worker after it refused a task or could not be reached; doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Longest backoff of a worker.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A worker as described in the platform's list of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerInfo {
    /// Unique name of the worker.
    pub name: WorkerName,
    /// IP address and port at which the worker accepts tasks.
    pub address: String,
    /// Number of tasks that the worker runs at the same time.
    pub slots: u32,
    /// Number of accelerators of the worker.
    #[serde(default)]
    pub accelerators: u32,
    /// Memory of the worker, in MB.
    #[serde(default = "default_memory")]
    pub memory_mb: u64,
    /// Whether the worker is shutting down and accepts no new tasks.
    #[serde(default)]
    pub leaving: bool,
}

fn default_memory() -> u64 {
    32_768
}

impl WorkerInfo {
    /// Creates a worker with 8 slots, 32 GB of memory and no accelerator.
    pub fn new(name: WorkerName, address: impl Into<String>) -> Self {
        WorkerInfo {
            name,
            address: address.into(),
            slots: 8,
            accelerators: 0,
            memory_mb: default_memory(),
            leaving: false,
        }
    }

    /// Sets the number of slots.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Whether the worker meets the requirements of a task.
    pub fn satisfies(&self, requirements: Requirements) -> bool {
        (!requirements.accelerator || self.accelerators > 0)
            && requirements.memory_mb <= self.memory_mb
    }
}

/// A worker, and how its slots are used as far as this entry VM knows.
#[derive(Debug)]
pub struct Worker {
    /// Description of the worker in the platform's list.
    pub info: WorkerInfo,
    /// Number of slots that belong to this entry VM, called its own slots.
    pub owned_slots: u32,
    /// Number of own slots that are lent to peers.
    pub lent_slots: u32,
    /// Number of own slots that run a task of this entry VM.
    pub busy_slots: u32,
    /// Number of tasks of this entry VM on the worker, on own and on borrowed slots.
    pub running_tasks: u32,
    /// Whether the worker itself has reported that it is shutting down.
    pub reported_leaving: bool,
    /// Time until which the worker gets no tasks; `None` unless a start failed.
    backoff_until: Option<Moment>,
    /// Number of refused or unsent starts since the last accepted one.
    failed_starts: u32,
}

impl Worker {
    fn new(info: WorkerInfo) -> Self {
        Worker {
            info,
            owned_slots: 0,
            lent_slots: 0,
            busy_slots: 0,
            running_tasks: 0,
            reported_leaving: false,
            backoff_until: None,
            failed_starts: 0,
        }
    }

    /// Whether the worker may get new tasks: it is neither shutting down nor in a backoff.
    pub fn accepts_tasks(&self, now: Moment) -> bool {
        let leaving = self.info.leaving || self.reported_leaving;
        !leaving && self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Number of own slots that are neither lent nor busy.
    pub fn idle_slots(&self) -> u32 {
        self.owned_slots.saturating_sub(self.lent_slots + self.busy_slots)
    }

    /// Starts a backoff after the worker refused a task or could not be reached. `jitter`, from 0
    /// to 1, scales the backoff from half to all of its length.
    pub fn back_off(&mut self, now: Moment, jitter: f64) {
        let backoff = MIN_BACKOFF * 2u32.saturating_pow(self.failed_starts.min(16));
        self.failed_starts += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF).mul_f64(0.5 + jitter / 2.0));
    }

    /// Ends the backoff after the worker has accepted a task.
    pub fn reset_backoff(&mut self) {
        self.backoff_until = None;
        self.failed_starts = 0;
    }
}

/// The workers of a zone, in a stable order.
#[derive(Debug, Default)]
pub struct WorkerPool {
    workers: IndexMap<WorkerName, Worker>,
}

impl WorkerPool {
    /// Replaces the list of workers. A worker that is no longer listed gets no new tasks and is
    /// removed once it runs none.
    pub fn update_workers(&mut self, list: &[WorkerInfo]) {
        for info in list {
            match self.workers.get_mut(&info.name) {
                Some(worker) => worker.info = info.clone(),
                None => {
                    self.workers.insert(info.name.clone(), Worker::new(info.clone()));
                }
            }
        }
        let listed: IndexSet<&WorkerName> = list.iter().map(|info| &info.name).collect();
        for (name, worker) in &mut self.workers {
            worker.info.leaving |= !listed.contains(name);
        }
        self.workers.retain(|name, worker| listed.contains(name) || worker.running_tasks > 0);
    }

    /// Assigns each slot to one of the zone's entry VMs `members` by rendezvous hashing and counts
    /// the slots of this one, `me`.
    pub fn divide_slots(&mut self, me: &VmName, members: &IndexSet<VmName>) {
        for worker in self.workers.values_mut() {
            let name = worker.info.name.as_str();
            let is_own = |slot: &u32| owner(name, *slot, members) == Some(me);
            worker.owned_slots = (0..worker.info.slots).filter(is_own).count() as u32;
        }
    }

    /// Assigns every slot to this entry VM.
    pub fn own_all_slots(&mut self) {
        self.workers.values_mut().for_each(|worker| worker.owned_slots = worker.info.slots);
    }

    /// Returns a worker by name.
    pub fn get(&self, name: &WorkerName) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Returns a mutable reference to a worker by name.
    pub fn get_mut(&mut self, name: &WorkerName) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }

    /// Iterates over all workers in a stable order.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Number of idle own slots on workers that may get new tasks.
    pub fn idle_slots(&self, now: Moment) -> u32 {
        self.workers
            .values()
            .filter(|worker| worker.accepts_tasks(now))
            .map(Worker::idle_slots)
            .sum()
    }

    /// Number of slots that belong to this entry VM.
    pub fn owned_slots(&self) -> u32 {
        self.workers.values().map(|worker| worker.owned_slots).sum()
    }
}

/// Returns the entry VM that a slot of a worker belongs to: the one with the highest hash of
/// worker, slot and VM.
fn owner<'a>(worker: &str, slot: u32, members: &'a IndexSet<VmName>) -> Option<&'a VmName> {
    let hash = |vm: &&VmName| {
        let mut hasher = Xxh3::new();
        hasher.update(worker.as_bytes());
        hasher.update(&slot.to_le_bytes());
        hasher.update(vm.as_str().as_bytes());
        hasher.digest()
    };
    members.iter().max_by_key(hash)
}
