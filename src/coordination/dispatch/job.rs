//! A job that is being run, and its tasks.

use super::{Dispatcher, LogEvent, Rank, SubmissionKey};
use crate::{
    coordination::dispatch::Action,
    state::{
        plan::Priority,
        target::TargetId,
        time::Moment,
        work::{Outcome, Refusal, RunNumber, Step, TaskId, Work},
    },
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Weight of the first task's run time in what is expected of its fellows: their run times differ by
/// a seventh, those of jobs with the same declared time by a third, so most of a miss is the job's.
const FIRST_RATIO_WEIGHT: f64 = 0.85;
/// Weight of each further observation.
const NEXT_RATIO_WEIGHT: f64 = 0.3;

/// Jobs are let in that are expected to end within this many times their latency objective; expected
/// run times are off by a third.
const MAX_OBJECTIVE_OVERRUN: f64 = 1.3;

/// Worth of an answer after the objective, as a share of that of one in time; a fifth at the users'.
const LATE_ANSWER_VALUE: f64 = 0.2;

/// What is known of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Runs that failed.
    pub failures: u32,
    /// The number of the last run.
    pub last_run: u32,
    /// Where it may be running.
    pub target: Option<TargetId>,
    /// Whether it has ended well.
    pub done: bool,
    /// Stopped once as a straggler.
    pub restarted: bool,
}

/// A job that was let in.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its caller asked for.
    pub work: Work,
    /// Other submissions with the same id.
    pub joined: Vec<SubmissionKey>,
    /// When it arrived.
    pub arrived: Moment,
    /// When its caller stops waiting.
    pub deadline: Moment,
    /// When it should be done.
    pub objective: Moment,
    /// Its queue's urgency.
    pub priority: Priority,
    /// Failed runs a task may have.
    pub max_attempts: u32,
    /// Its tasks.
    pub tasks: IndexMap<TaskId, TaskState>,
    /// Tasks that wait for a target.
    pub waiting: VecDeque<TaskId>,
    /// Whether a start was ever sent, so that a refusal would be false.
    pub start_sent: bool,
    /// The rank under which it waits.
    pub late: bool,
    /// Logarithm of how much longer its tasks run than expected, as far as they have shown it.
    pub log_run_time_ratio: Option<f64>,
}

impl Job {
    /// A job expected to end later than this is refused while nothing of it has started: what it
    /// would take makes those behind it late too.
    pub fn latest_end(&self) -> Moment {
        let span = (self.objective - self.arrived).mul_f64(MAX_OBJECTIVE_OVERRUN);
        (self.arrived + span).min(self.deadline)
    }

    /// Learns from a task that runs, or ran, `ratio` times as long as expected.
    pub fn learn_run_time_ratio(&mut self, ratio: f64) {
        let seen = ratio.clamp(0.1, 10.0).ln();
        let old = self.log_run_time_ratio.unwrap_or_default();
        let weight =
            if self.log_run_time_ratio.is_some() { NEXT_RATIO_WEIGHT } else { FIRST_RATIO_WEIGHT };
        self.log_run_time_ratio = Some(old + weight * (seen - old));
    }

    /// How much longer its tasks run than others of their kind with the same declared time.
    pub fn run_time_ratio(&self) -> f64 {
        self.log_run_time_ratio.unwrap_or_default().exp()
    }

    /// Whether so much is left to do that an answer in time to another caller is worth more than
    /// this one's late answer.
    fn has_many_waiting_tasks(&self) -> bool {
        self.waiting.len() as f64 > LATE_ANSWER_VALUE * self.tasks.len() as f64
    }

    /// The step of a task.
    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.work.steps.get(task.step as usize)
    }

    /// Tasks that have not ended well.
    pub fn unfinished(&self) -> usize {
        self.tasks.values().filter(|t| !t.done).count()
    }

    /// Tasks of a step that run on a target.
    pub fn running_on(&self, step: u32, target: &TargetId) -> u32 {
        let there = |(id, task): &(&TaskId, &TaskState)| {
            id.step == step && !task.done && task.target.as_ref() == Some(target)
        };
        self.tasks.iter().filter(there).count() as u32
    }

    /// Whether all tasks of a step have ended well.
    pub fn is_step_done(&self, step: u32) -> bool {
        self.tasks.iter().filter(|(id, _)| id.step == step).all(|(_, task)| task.done)
    }

    /// Puts the tasks of steps that may begin now into the waiting list.
    pub fn enqueue_ready_steps(&mut self) {
        for number in 0..self.work.steps.len() as u32 {
            let after = self.work.steps[number as usize].after.clone();
            let first = TaskId { job: self.work.id, step: number, index: 0 };
            if self.tasks.contains_key(&first) || !after.iter().all(|&s| self.is_step_done(s)) {
                continue;
            }
            for index in 0..self.work.steps[number as usize].count {
                let id = TaskId { index, ..first };
                self.tasks.insert(id, TaskState::default());
                self.waiting.push_back(id);
            }
        }
    }

    /// Whether every step has begun and every task has ended well.
    pub fn is_done(&self) -> bool {
        let total: u64 = self.work.steps.iter().map(|s| u64::from(s.count)).sum();
        self.tasks.len() as u64 == total && self.tasks.values().all(|t| t.done)
    }

    /// The next run number of a task.
    pub fn next_run(&mut self, task: TaskId) -> RunNumber {
        let Some(task) = self.tasks.get_mut(&task) else { return RunNumber(1) };
        task.last_run += 1;
        RunNumber(task.last_run)
    }
}

impl Dispatcher {
    /// Puts jobs that have missed their latency objective behind all others.
    pub(super) fn demote_late(&mut self, now: Moment) {
        let waiting = self.waiting.iter().filter(|rank| !rank.late);
        let late = waiting.filter(|rank| {
            self.jobs
                .get(&rank.key)
                .is_some_and(|job| job.objective < now && job.has_many_waiting_tasks())
        });
        for rank in late.copied().collect::<Vec<Rank>>() {
            self.waiting.remove(&rank);
            self.waiting.insert(Rank { late: true, ..rank });
            if let Some(job) = self.jobs.get_mut(&rank.key) {
                job.late = true;
            }
        }
    }

    pub(super) fn rank(&self, key: SubmissionKey) -> Option<Rank> {
        let job = self.jobs.get(&key)?;
        Some(Rank { late: job.late, priority: job.priority, key })
    }

    /// Puts a job's rank in line with whether it has tasks that wait.
    pub(super) fn update_queue(&mut self, key: SubmissionKey) {
        let Some(rank) = self.rank(key) else { return };
        let waits = self.jobs.get(&key).is_some_and(|j| !j.waiting.is_empty());
        if waits {
            self.waiting.insert(rank);
        } else {
            self.waiting.remove(&rank);
        }
    }

    /// Removes a job, answers it and stops what it has running.
    pub(super) fn finish_job(&mut self, key: SubmissionKey, outcome: Outcome) {
        let Some(rank) = self.rank(key) else { return };
        self.waiting.remove(&rank);
        let Some(job) = self.jobs.swap_remove(&key) else { return };
        let id = job.work.id;
        self.keys_by_work_id.swap_remove(&id);
        match outcome {
            Outcome::Completed => self.counts.completed += 1,
            Outcome::Unknown => self.counts.unknown += 1,
            Outcome::NotRun { .. } => self.counts.refused += 1,
            Outcome::Failed => {}
        }
        for key in [key].into_iter().chain(job.joined.iter().copied()) {
            self.actions.push(Action::Answer { key, id, outcome });
        }
        let open = job.tasks.iter().filter(|(_, t)| !t.done);
        let open: Vec<_> = open.filter_map(|(id, t)| Some((*id, t.target.clone()?))).collect();
        for (task, target) in open {
            self.orphan_run(task, &target);
        }
    }

    /// Settles a job that is given up: refused if nothing of it was ever sent.
    pub(super) fn abort_job(&mut self, key: SubmissionKey, reason: &'static str) {
        let Some(job) = self.jobs.get(&key) else { return };
        let id = job.work.id;
        let outcome = if job.start_sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun { refusal: Refusal::Closed, retry_after: Duration::from_secs(1) }
        };
        let age = self.last_call - job.arrived;
        let waiting = job.waiting.len();
        let running = job.tasks.values().filter(|t| t.target.is_some()).count();
        let scale = job.run_time_ratio();
        self.log(LogEvent::Abandoned { id, reason, age, waiting, running, scale });
        self.finish_job(key, outcome);
    }
}
