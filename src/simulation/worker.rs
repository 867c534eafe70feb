//! A worker as a state machine.

use crate::state::{
    id::{TaskRef, WorkerName, ZoneName},
    pool::WorkerInfo,
};
use indexmap::{IndexMap, IndexSet};

/// A task over all lives of all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The incarnation of the entry VM that issued the job's id.
    pub incarnation: u64,
    /// The task there.
    pub task: TaskRef,
}

/// How a worker misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// It refuses every task.
    Refuse,
    /// It closes connections before starting a task.
    DropBefore,
    /// It closes connections after starting a task.
    DropAfter,
    /// It fails every task at once.
    FailAll,
    /// It is dead: no connection can be made.
    Dead,
}

/// What became of a start request that reached the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The task runs.
    Runs,
    /// It was not started, and the worker says so.
    Refused,
    /// The connection broke; whether it was started is not said.
    Broken,
    /// It was started and failed at once.
    Failed,
    /// No connection.
    NoConnection,
}

/// A worker.
#[derive(Debug)]
pub struct SimulatedWorker {
    /// Its zone.
    pub zone: ZoneName,
    /// What the platform's list says of it.
    pub info: WorkerInfo,
    /// How much longer than the fastest it takes.
    pub slowness: f64,
    /// How it misbehaves.
    pub fault: Fault,
    /// It is leaving.
    pub leaving: bool,
    /// How often it was killed.
    pub deaths: u64,
    running: IndexSet<TaskKey>,
    starts: IndexMap<TaskKey, u32>,
    started_total: u64,
}

impl SimulatedWorker {
    /// A worker of `slots` slots.
    pub fn new(name: WorkerName, zone: ZoneName, slots: u32, slowness: f64) -> Self {
        SimulatedWorker {
            zone,
            info: WorkerInfo::new(name, "127.0.0.1:1").slots(slots),
            slowness,
            fault: Fault::None,
            leaving: false,
            deaths: 0,
            running: IndexSet::new(),
            starts: IndexMap::new(),
            started_total: 0,
        }
    }

    /// Takes a start request.
    pub fn take(&mut self, task: TaskKey) -> Taken {
        match self.fault {
            Fault::Dead => return Taken::NoConnection,
            Fault::DropBefore => return Taken::Broken,
            Fault::Refuse => return Taken::Refused,
            _ => {}
        }
        if self.leaving || self.running.len() >= self.info.slots as usize {
            return Taken::Refused;
        }
        *self.starts.entry(task).or_insert(0) += 1;
        self.started_total += 1;
        match self.fault {
            Fault::DropAfter => Taken::Broken,
            Fault::FailAll => Taken::Failed,
            _ => {
                self.running.insert(task);
                Taken::Runs
            }
        }
    }

    /// Ends a task; false if it was not running any more.
    pub fn finish(&mut self, task: TaskKey) -> bool {
        self.running.swap_remove(&task)
    }

    /// Dies: what runs is gone, the counts of starts are kept.
    pub fn die(&mut self) -> Vec<TaskKey> {
        self.deaths += 1;
        self.fault = Fault::Dead;
        self.running.drain(..).collect()
    }

    /// Free slots.
    pub fn free(&self) -> u32 {
        self.info.slots - self.running.len() as u32
    }

    /// Tasks started so far.
    pub fn started(&self) -> u64 {
        self.started_total
    }

    /// How often each task was started here.
    pub fn starts(&self) -> &IndexMap<TaskKey, u32> {
        &self.starts
    }

    /// Forgets a task's count, once it has been checked.
    pub fn forget(&mut self, task: TaskKey) {
        self.starts.swap_remove(&task);
    }
}
