//! Remembers which targets were lost under which tasks, to recognize tasks that crash their targets.
//!
//! A lost target may have crashed, or only its connections are cut. It has crashed if it comes back
//! as a new incarnation, if another target serves at its address, or if the platform's list lacks it
//! for a while. The loss is withdrawn if the same incarnation answers again.

use super::{
    job_submission::{CallerJobId, TaskId},
    target::{TargetId, TargetIncarnation},
    time::Moment,
};
use indexmap::{IndexMap, map::Entry};
use std::time::Duration;

/// Number of crashes at which a task is given up that never was a main suspect.
const MAX_CRASHES: usize = 3;
/// Number of crashes at which a task is given up that was a main suspect of one of them.
const MAX_CRASHES_OF_MAIN_SUSPECT: usize = 2;
/// Time for which the losses of a task are remembered after the last one, in case that its job is
/// submitted again.
const LOSS_RETENTION: Duration = Duration::from_secs(120);
/// Largest number of tasks whose losses are remembered; the one with the oldest last loss goes first.
const MAX_TASKS: usize = 4_096;
/// Largest number of losses that are remembered for one task, the latest ones.
const MAX_LOSSES: usize = 8;
/// Largest number of tasks in one report to other VMs, which limits the size of heartbeats.
const MAX_REPORTED_TASKS: usize = 64;
/// Time for which the platform's list must lack a target before it counts as crashed. Entries that
/// expired while the store was unavailable return within two seconds.
const GONE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A target that was lost while it ran a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The target.
    pub target: TargetId,
    /// Its incarnation when the task was started there.
    pub incarnation: TargetIncarnation,
    /// Whether no other job had a run there that was started later. Most tasks that crash targets do
    /// so at once, so this one is the likely cause.
    pub is_main_suspect: bool,
    /// Whether the target is known to have crashed.
    pub crashed: bool,
}

/// The losses of one task, as VMs report them to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskLosses {
    /// The task.
    pub task: TaskId,
    /// Targets that were lost under it, and are not known to have only been cut off.
    pub losses: Vec<Loss>,
}

/// Likelihood that a task crashes its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// No target was lost under it.
    None,
    /// A target was lost under it, probably because of another task or of none.
    Bystander,
    /// A target was lost under it, probably because of it or of no task.
    MainSuspect,
    /// It is given up if the targets that were lost under it have crashed, which is not known yet.
    Undecided,
    /// So many targets have crashed under it that it is given up.
    Proven,
}

#[derive(Clone, Debug)]
struct Record {
    losses: Vec<Loss>,
    changed_at: Moment,
}

impl Record {
    fn suspicion(&self) -> Suspicion {
        let crashes = self.losses.iter().filter(|loss| loss.crashed).count();
        let is_main_suspect = self.losses.iter().any(|loss| loss.is_main_suspect);
        let limit = if is_main_suspect { MAX_CRASHES_OF_MAIN_SUSPECT } else { MAX_CRASHES };
        match self.losses.len() {
            0 => Suspicion::None,
            _ if crashes >= limit => Suspicion::Proven,
            losses if losses >= limit => Suspicion::Undecided,
            _ if is_main_suspect => Suspicion::MainSuspect,
            _ => Suspicion::Bystander,
        }
    }
}

/// A lost target of which it is not known whether it has crashed.
#[derive(Clone, Debug, Default)]
struct Unresolved {
    tasks: Vec<TaskId>,
    /// Time since which the platform's list lacks the target.
    gone_since: Option<Moment>,
}

/// Losses of targets by task.
///
/// ```
/// use cranberrytray::state::{
///     crash_history::{CrashHistory, Loss, Suspicion},
///     job_submission::{CallerJobId, TaskId},
///     target::{TargetId, TargetIncarnation},
///     time::Moment,
/// };
///
/// let task = TaskId { job: CallerJobId::new(1), step: 0, index: 0 };
/// let loss = |target: &str| Loss {
///     target: TargetId::from(target),
///     incarnation: TargetIncarnation(1),
///     is_main_suspect: true,
///     crashed: false,
/// };
/// let mut history = CrashHistory::default();
/// history.record(task, loss("t1"), Moment::ZERO);
/// history.record(task, loss("t2"), Moment::ZERO);
/// assert_eq!(history.suspicion(task), Suspicion::Undecided);
/// history.on_target_alive(&TargetId::from("t1"), TargetIncarnation(2), Moment::ZERO);
/// history.on_target_alive(&TargetId::from("t2"), TargetIncarnation(1), Moment::ZERO);
/// assert_eq!(history.suspicion(task), Suspicion::MainSuspect);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    /// Tasks with losses, the one with the oldest last loss first.
    records: IndexMap<TaskId, Record>,
    unresolved: IndexMap<TargetId, Unresolved>,
}

impl CrashHistory {
    /// Returns the likelihood that a task crashes its targets.
    pub fn suspicion(&self, task: TaskId) -> Suspicion {
        self.records.get(&task).map_or(Suspicion::None, Record::suspicion)
    }

    /// Returns a task of a job that is given up because it crashes its targets.
    pub fn proven_task_of(&self, job: CallerJobId) -> Option<TaskId> {
        let mut records = self.records.iter().filter(|(task, _)| task.job == job);
        let proven = records.find(|(_, record)| record.suspicion() == Suspicion::Proven);
        proven.map(|(task, _)| *task)
    }

    /// Returns true if a target was lost under a task of the job.
    pub fn has_suspects(&self, job: CallerJobId) -> bool {
        self.records.keys().any(|task| task.job == job)
    }

    /// Returns true if no target was lost under any task.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a target that was lost under a task. A loss of the same incarnation that is known
    /// already only adds what it says of the crash.
    pub fn record(&mut self, task: TaskId, loss: Loss, now: Moment) {
        let known = self.records.get_mut(&task).and_then(|record| {
            let is_same = |known: &&mut Loss| {
                known.target == loss.target && known.incarnation == loss.incarnation
            };
            record.losses.iter_mut().find(is_same)
        });
        if let Some(known) = known {
            known.crashed |= loss.crashed;
            return;
        }
        if !loss.crashed {
            self.unresolved.entry(loss.target.clone()).or_default().tasks.push(task);
        }
        let mut record = self
            .records
            .shift_remove(&task)
            .unwrap_or_else(|| Record { losses: Vec::new(), changed_at: now });
        if record.losses.len() >= MAX_LOSSES {
            record.losses.remove(0);
        }
        record.losses.push(loss);
        record.changed_at = now;
        self.records.insert(task, record);
        if self.records.len() > MAX_TASKS {
            self.records.shift_remove_index(0);
        }
    }

    /// Adds the losses that another VM has reported. A loss that was withdrawn here and not there
    /// returns, until the target answers again.
    pub fn merge(&mut self, reported: Vec<TaskLosses>, now: Moment) {
        for TaskLosses { task, losses } in reported {
            for loss in losses {
                self.record(task, loss, now);
            }
        }
    }

    /// Returns the losses of the tasks for which something changed less than `span` ago; of many
    /// tasks, those with the latest losses.
    pub fn changed_within(&self, span: Duration, now: Moment) -> Vec<TaskLosses> {
        let recent = self.records.iter().rev().filter(|(_, r)| now - r.changed_at < span);
        recent
            .take(MAX_REPORTED_TASKS)
            .map(|(task, record)| TaskLosses { task: *task, losses: record.losses.clone() })
            .collect()
    }

    /// Forgets the losses of a task that has succeeded.
    pub fn forget(&mut self, task: TaskId) {
        self.records.shift_remove(&task);
    }

    /// Records that an incarnation of a target is alive: losses of it are withdrawn, and those of
    /// earlier ones are crashes. Returns the tasks whose suspicion may have changed.
    pub fn on_target_alive(
        &mut self,
        target: &TargetId,
        incarnation: TargetIncarnation,
        now: Moment,
    ) -> Vec<TaskId> {
        let Some(Unresolved { tasks, .. }) = self.unresolved.swap_remove(target) else {
            return Vec::new();
        };
        for task in &tasks {
            let Entry::Occupied(mut entry) = self.records.entry(*task) else { continue };
            let record = entry.get_mut();
            record
                .losses
                .retain(|l| l.target != *target || l.crashed || l.incarnation < incarnation);
            for loss in record.losses.iter_mut().filter(|loss| loss.target == *target) {
                loss.crashed = true;
            }
            record.changed_at = now;
            if record.losses.is_empty() {
                entry.shift_remove();
            }
        }
        tasks
    }

    /// Records that a target no longer exists. Returns the tasks whose suspicion may have changed.
    pub fn on_target_replaced(&mut self, target: &TargetId, now: Moment) -> Vec<TaskId> {
        self.on_target_alive(target, TargetIncarnation(u64::MAX), now)
    }

    /// Records that the platform's list has a target, at least in this incarnation. Returns the tasks
    /// whose suspicion may have changed.
    pub fn on_target_listed(
        &mut self,
        target: &TargetId,
        incarnation: TargetIncarnation,
        now: Moment,
    ) -> Vec<TaskId> {
        let Some(unresolved) = self.unresolved.get_mut(target) else { return Vec::new() };
        unresolved.gone_since = None;
        // An entry of the lost incarnation may be older than the loss.
        let is_newer = unresolved.tasks.iter().any(|task| {
            let losses = self.records.get(task).map_or(&[][..], |record| &record.losses);
            losses.iter().any(|loss| loss.target == *target && loss.incarnation < incarnation)
        });
        if is_newer { self.on_target_alive(target, incarnation, now) } else { Vec::new() }
    }

    /// Records that the platform's list lacks a target.
    pub fn on_target_gone(&mut self, target: &TargetId, now: Moment) {
        if let Some(unresolved) = self.unresolved.get_mut(target) {
            unresolved.gone_since.get_or_insert(now);
        }
    }

    /// Forgets old losses, and counts targets that are gone for long as crashed. Returns the tasks
    /// whose suspicion may have changed.
    pub fn expire(&mut self, now: Moment) -> Vec<TaskId> {
        let old =
            self.records.values().take_while(|record| now - record.changed_at > LOSS_RETENTION);
        let old = old.count();
        self.records.drain(..old);
        let is_gone = |u: &Unresolved| u.gone_since.is_some_and(|since| now - since > GONE_TIMEOUT);
        let gone = self.unresolved.iter().filter(|(_, unresolved)| is_gone(unresolved));
        let gone: Vec<TargetId> = gone.map(|(target, _)| target.clone()).collect();
        self.unresolved.retain(|_, u| u.tasks.iter().any(|task| self.records.contains_key(task)));
        gone.iter().flat_map(|target| self.on_target_replaced(target, now)).collect()
    }
}
