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
pub enum WorkerFault {
    /// It does not.
    #[default]
    None,
    /// It refuses every task.
    RefuseAll,
    /// It closes connections before starting a task.
    DropBeforeStart,
    /// It closes connections after starting a task.
    DropAfterStart,
    /// It fails every task at once.
    FailAll,
    /// It is dead: no connection can be made.
    Dead,
}

/// What became of a start request that reached the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task runs.
    Running,
    /// It was not started, and the worker says so.
    Refused,
    /// The connection broke; whether it was started is not said.
    ConnectionBroken,
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
    pub fault: WorkerFault,
    /// It is leaving.
    pub leaving: bool,
    /// How often it was killed.
    pub kills: u64,
    running: IndexSet<TaskKey>,
    starts_by_task: IndexMap<TaskKey, u32>,
    total_starts: u64,
}

impl SimulatedWorker {
    /// A worker of `slots` slots.
    pub fn new(name: WorkerName, zone: ZoneName, slots: u32, slowness: f64) -> Self {
        SimulatedWorker {
            zone,
            info: WorkerInfo::new(name, "127.0.0.1:1").slots(slots),
            slowness,
            fault: WorkerFault::None,
            leaving: false,
            kills: 0,
            running: IndexSet::new(),
            starts_by_task: IndexMap::new(),
            total_starts: 0,
        }
    }

    /// Takes a start request.
    pub fn start_task(&mut self, task: TaskKey) -> StartOutcome {
        match self.fault {
            WorkerFault::Dead => return StartOutcome::NoConnection,
            WorkerFault::DropBeforeStart => return StartOutcome::ConnectionBroken,
            WorkerFault::RefuseAll => return StartOutcome::Refused,
            _ => {}
        }
        if self.leaving || self.running.len() >= self.info.slots as usize {
            return StartOutcome::Refused;
        }
        *self.starts_by_task.entry(task).or_insert(0) += 1;
        self.total_starts += 1;
        match self.fault {
            WorkerFault::DropAfterStart => StartOutcome::ConnectionBroken,
            WorkerFault::FailAll => StartOutcome::Failed,
            _ => {
                self.running.insert(task);
                StartOutcome::Running
            }
        }
    }

    /// Ends a task; false if it was not running any more.
    pub fn finish_task(&mut self, task: TaskKey) -> bool {
        self.running.swap_remove(&task)
    }

    /// Dies: what runs is gone, the counts of starts are kept.
    pub fn kill(&mut self) -> Vec<TaskKey> {
        self.kills += 1;
        self.fault = WorkerFault::Dead;
        self.running.drain(..).collect()
    }

    /// Free slots.
    pub fn free_slots(&self) -> u32 {
        self.info.slots - self.running.len() as u32
    }

    /// Tasks started so far.
    pub fn total_starts(&self) -> u64 {
        self.total_starts
    }

    /// How often each task was started here.
    pub fn starts_by_task(&self) -> &IndexMap<TaskKey, u32> {
        &self.starts_by_task
    }

    /// Forgets a task's count, once it has been checked.
    pub fn forget_starts(&mut self, task: TaskKey) {
        self.starts_by_task.swap_remove(&task);
    }
}
