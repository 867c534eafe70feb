//! The workers of a zone and their slots, as one entry VM sees them.

use super::{
    id::{VmName, WorkerName},
    job::Need,
    time::Moment,
};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// First pause of a worker that refused or could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A worker as the platform's list describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerInfo {
    /// Its name.
    pub name: WorkerName,
    /// Where it takes tasks: IP address and port.
    pub address: String,
    /// Tasks it runs at the same time.
    pub slots: u32,
    /// Accelerators it has.
    #[serde(default)]
    pub accelerators: u32,
    /// Memory, in MB.
    #[serde(default = "default_memory")]
    pub memory_mb: u64,
    /// Whether it is leaving and takes no new tasks.
    #[serde(default)]
    pub leaving: bool,
}

fn default_memory() -> u64 {
    32_768
}

impl WorkerInfo {
    /// A worker with 8 slots and 32 GB.
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

    /// Whether it offers what a task needs.
    pub fn offers(&self, need: Need) -> bool {
        (!need.accelerator || self.accelerators > 0) && need.memory_mb <= self.memory_mb
    }
}

/// A worker and what runs on it.
#[derive(Debug)]
pub struct Worker {
    /// The list's description.
    pub info: WorkerInfo,
    /// Slots that belong to this entry VM.
    pub owned: u32,
    /// Of those, lent to others.
    pub lent: u32,
    /// Of those, running a task of ours.
    pub busy: u32,
    /// All tasks of ours that run there, on own and borrowed slots.
    pub running: u32,
    /// It said itself that it is leaving.
    pub said_leaving: bool,
    pause: Option<Moment>,
    refusals: u32,
}

impl Worker {
    fn new(info: WorkerInfo) -> Self {
        Worker {
            info,
            owned: 0,
            lent: 0,
            busy: 0,
            running: 0,
            said_leaving: false,
            pause: None,
            refusals: 0,
        }
    }

    /// Whether it may get new tasks at all.
    pub fn open(&self, now: Moment) -> bool {
        let leaving = self.info.leaving || self.said_leaving;
        !leaving && self.pause.is_none_or(|until| now >= until)
    }

    /// Own slots that are neither lent nor busy.
    pub fn idle(&self) -> u32 {
        self.owned.saturating_sub(self.lent + self.busy)
    }

    /// It refused a task or could not be reached: no new tasks for a while. `jitter` is from 0
    /// to 1.
    pub fn pause(&mut self, now: Moment, jitter: f64) {
        let span = FIRST_PAUSE * 2u32.saturating_pow(self.refusals.min(16));
        self.refusals += 1;
        self.pause = Some(now + span.min(MAX_PAUSE).mul_f64(0.5 + jitter / 2.0));
    }

    /// It took a task.
    pub fn took(&mut self) {
        self.pause = None;
        self.refusals = 0;
    }
}

/// The workers of a zone.
#[derive(Debug, Default)]
pub struct Pool {
    workers: IndexMap<WorkerName, Worker>,
}

impl Pool {
    /// Takes over a new list of workers. Running tasks on workers that are gone stay counted until
    /// they end.
    pub fn update(&mut self, list: &[WorkerInfo]) {
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
        self.workers.retain(|name, worker| listed.contains(name) || worker.running > 0);
    }

    /// Divides the slots among the entry VMs of the zone, each slot by rendezvous hashing.
    pub fn divide(&mut self, me: &VmName, members: &IndexSet<VmName>) {
        for worker in self.workers.values_mut() {
            let name = worker.info.name.as_str();
            let mine = |slot: &u32| owner(name, *slot, members) == Some(me);
            worker.owned = (0..worker.info.slots).filter(mine).count() as u32;
        }
    }

    /// Gives this entry VM every slot.
    pub fn own_all(&mut self) {
        self.workers.values_mut().for_each(|worker| worker.owned = worker.info.slots);
    }

    /// One worker.
    pub fn get(&self, name: &WorkerName) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// One worker, to change.
    pub fn get_mut(&mut self, name: &WorkerName) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }

    /// All workers, in a steady order.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Own idle slots on workers that take tasks.
    pub fn idle(&self, now: Moment) -> u32 {
        self.workers.values().filter(|worker| worker.open(now)).map(Worker::idle).sum()
    }

    /// Slots that belong to this entry VM.
    pub fn owned(&self) -> u32 {
        self.workers.values().map(|worker| worker.owned).sum()
    }
}

/// The entry VM that a slot of a worker belongs to: the one with the highest hash.
fn owner<'a>(worker: &str, slot: u32, members: &'a IndexSet<VmName>) -> Option<&'a VmName> {
    let rank = |vm: &&VmName| {
        let mut hasher = Xxh3::new();
        hasher.update(worker.as_bytes());
        hasher.update(&slot.to_le_bytes());
        hasher.update(vm.as_str().as_bytes());
        hasher.digest()
    };
    members.iter().max_by_key(rank)
}
