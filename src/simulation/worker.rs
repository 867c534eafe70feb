//! State machine of a simulated worker.

use crate::state::{
    id::{TaskRef, WorkerName, ZoneName},
    pool::WorkerInfo,
};
use indexmap::{IndexMap, IndexSet};

/// A task, unique over all incarnations of all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Incarnation of the entry VM that issued the job's id.
    pub incarnation: u64,
    /// Job number and task index within that incarnation.
    pub task: TaskRef,
}

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// The worker has no fault.
    #[default]
    None,
    /// Refuses every task.
    RefuseAll,
    /// Closes the connection before starting the task.
    DropBeforeStart,
    /// Closes the connection after starting the task.
    DropAfterStart,
    /// Starts every task, which fails at once.
    FailAll,
    /// The process was killed, and connections to it are refused.
    Killed,
}

/// Outcome of a start request at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task has been started and is running.
    Running,
    /// The task has not been started, as the worker's reply states.
    Refused,
    /// The connection broke, so that the entry VM does not know whether the task has been started.
    ConnectionBroken,
    /// The task has been started and has failed at once.
    Failed,
    /// The worker could not be connected to.
    NoConnection,
}

/// A worker with a number of slots, each of which runs one task at a time.
#[derive(Debug)]
pub struct SimulatedWorker {
    /// Availability zone that lists the worker.
    pub zone: ZoneName,
    /// Entry in the platform's list of workers, in which `leaving` is not kept up to date.
    pub info: WorkerInfo,
    /// Factor by which tasks run longer than on the fastest worker; 1.0 or more.
    pub slowness: f64,
    /// Injected fault, which decides how start requests are answered.
    pub fault: WorkerFault,
    /// Whether the worker is leaving: it finishes its tasks and refuses new ones.
    pub leaving: bool,
    /// Number of times that the worker was killed. Tasks started before a kill never finish.
    pub kills: u64,
    running: IndexSet<TaskKey>,
    starts_by_task: IndexMap<TaskKey, u32>,
    total_starts: u64,
}

impl SimulatedWorker {
    /// Creates a healthy worker with `slots` slots.
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

    /// Handles a start request.
    pub fn start_task(&mut self, task: TaskKey) -> StartOutcome {
        match self.fault {
            WorkerFault::Killed => return StartOutcome::NoConnection,
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

    /// Ends a task. Returns `false` if it was not running any more.
    pub fn finish_task(&mut self, task: TaskKey) -> bool {
        self.running.swap_remove(&task)
    }

    /// Kills the worker and returns the tasks that were running. The counts of starts are kept.
    pub fn kill(&mut self) -> Vec<TaskKey> {
        self.kills += 1;
        self.fault = WorkerFault::Killed;
        self.running.drain(..).collect()
    }

    /// Returns the number of free slots.
    pub fn free_slots(&self) -> u32 {
        self.info.slots - self.running.len() as u32
    }

    /// Returns the number of starts of all tasks so far.
    pub fn total_starts(&self) -> u64 {
        self.total_starts
    }

    /// Returns the number of starts of each task on this worker.
    pub fn starts_by_task(&self) -> &IndexMap<TaskKey, u32> {
        &self.starts_by_task
    }

    /// Removes a task from the counts of starts, once they have been checked.
    pub fn forget_starts(&mut self, task: TaskKey) {
        self.starts_by_task.swap_remove(&task);
    }
}
