//! An admitted job and the state of its tasks.

use super::{Dispatcher, JobLabel, LogEvent, Outlook, Rank, SubmissionKey};
use crate::{
    coordination::dispatch::Action,
    state::{
        fleet_config::Priority,
        job_submission::{CallerJobId, JobSubmission, Outcome, Refusal, RunNumber, Step, TaskId},
        resources::ByteSize,
        target::TargetId,
        time::{Moment, scale},
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{collections::VecDeque, time::Duration};

/// Weight of the first observed task in a job's run time ratio. Run times differ by a seventh among
/// the tasks of a job, but by a third among jobs with the same declared time, so most of a
/// deviation applies to the whole job.
const FIRST_RATIO_WEIGHT: f64 = 0.85;
/// Weight of each further task in a job's run time ratio.
const NEXT_RATIO_WEIGHT: f64 = 0.3;

/// Jobs are admitted if they are expected to end within this many times their latency objective,
/// since expected run times are off by a third.
const MAX_OBJECTIVE_OVERRUN: f64 = 1.3;

/// The state of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Number of its runs that failed.
    pub failures: u32,
    /// The highest run number given out; 0 before the first run.
    pub last_run: u64,
    /// Target on which a run of it may exist.
    pub target: Option<TargetId>,
    /// Target on which its last run that failed or stood still was.
    pub failed_on: Option<TargetId>,
    /// True once a run of the task has succeeded.
    pub done: bool,
    /// Whether a run of it was stopped as a straggler; at most one per task is.
    pub restarted: bool,
    /// Run time of its last run, relative to what is expected for its queue, its declared time and
    /// its target; `None` before the end of the run is known or projected.
    pub run_time_ratio: Option<f64>,
}

/// An admitted job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as its caller submitted it.
    pub submission: JobSubmission,
    /// Submissions with this job id that wait for the answer.
    pub submissions: Vec<SubmissionKey>,
    /// Memory that it takes.
    pub memory: ByteSize,
    /// When it was first submitted to this dispatcher.
    pub arrived_at: Moment,
    /// When its caller stops waiting; see [`JobSubmission::deadline`].
    pub deadline: Moment,
    /// When it should end by the latency objective of its queue.
    pub objective: Moment,
    /// Priority of its queue.
    pub priority: Priority,
    /// Number of failed runs of one task at which the job fails.
    pub max_attempts: u32,
    /// First target on which a run of the job failed.
    pub first_failed_target: Option<TargetId>,
    /// Expected run time, on targets of usual speed, of the longest chain of steps after each step.
    pub chains_after: Vec<Duration>,
    /// Tasks of the steps that have begun.
    pub tasks: IndexMap<TaskId, TaskState>,
    /// Tasks that wait for a target, the next one first.
    pub waiting_tasks: VecDeque<TaskId>,
    /// Whether a start of any task was sent, for this or an earlier submission, so that the job may
    /// have run and can't be refused.
    pub start_sent: bool,
    /// Last target on which a run of the job was slow.
    pub slow_target: Option<TargetId>,
    /// Whether it may be redirected to another zone while nothing of it was started.
    pub may_redirect: bool,
    /// Whether its admission was deferred, so that its caller has waited and it may have run.
    pub deferred: bool,
    /// Logarithm of [`Job::run_time_ratio`]; `None` before the first observation.
    pub log_run_time_ratio: Option<f64>,
    /// When its runs must have ended, once no submission of it is left.
    pub runs_end_by: Option<Moment>,
}

impl Job {
    /// Returns the latest expected end at which the job is admitted or keeps waiting for its first
    /// start. A later one is refused, since the CPU that it takes would make the jobs behind it
    /// late as well. Jobs that may have run can't be refused, so only their deadline counts.
    pub fn latest_end(&self) -> Moment {
        if self.start_sent || self.deferred {
            return self.deadline;
        }
        let span = scale(self.objective - self.arrived_at, MAX_OBJECTIVE_OVERRUN);
        (self.arrived_at + span).min(self.deadline)
    }

    /// Updates the run time ratio with a task that takes, or took, `ratio` times its expected time.
    pub fn learn_run_time_ratio(&mut self, ratio: f64) {
        let observed = ratio.clamp(0.1, 10.0).ln();
        let old = self.log_run_time_ratio.unwrap_or_default();
        let weight =
            if self.log_run_time_ratio.is_some() { NEXT_RATIO_WEIGHT } else { FIRST_RATIO_WEIGHT };
        self.log_run_time_ratio = Some(old + weight * (observed - old));
    }

    /// Run time of its tasks relative to what is expected for their queue and declared time; 1
    /// until observed.
    pub fn run_time_ratio(&self) -> f64 {
        self.log_run_time_ratio.unwrap_or_default().exp()
    }

    /// Lowest run time ratio of the tasks other than `task`; `None` if none is known.
    pub fn min_run_time_ratio_of_others(&self, task: TaskId) -> Option<f64> {
        let others = self.tasks.iter().filter(|(id, _)| **id != task);
        others.filter_map(|(_, state)| state.run_time_ratio).min_by(f64::total_cmp)
    }

    /// Expected run time of the longest chain of steps after the step of a task.
    pub fn chain_after(&self, task: TaskId) -> Duration {
        let chain = self.chains_after.get(task.step as usize).copied().unwrap_or_default();
        chain.mul_f64(self.run_time_ratio())
    }

    /// Returns the step that a task belongs to.
    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.submission.steps.get(task.step as usize)
    }

    /// Number of known tasks without a successful run.
    pub fn unfinished(&self) -> usize {
        self.tasks.values().filter(|t| !t.done).count()
    }

    /// Number of tasks of a step that may be running on a target.
    pub fn running_on(&self, step: u32, target: &TargetId) -> u32 {
        let is_running_there = |(id, task): &(&TaskId, &TaskState)| {
            id.step == step && !task.done && task.target.as_ref() == Some(target)
        };
        self.tasks.iter().filter(is_running_there).count() as u32
    }

    /// Returns for each step whether it has begun and all its tasks have succeeded. A step without
    /// tasks is done once the steps that it comes after are.
    fn steps_done(&self) -> Vec<bool> {
        let mut open: Vec<u32> = self.submission.steps.iter().map(|step| step.count).collect();
        for task in self.tasks.iter().filter(|(_, task)| task.done).map(|(id, _)| id) {
            open[task.step as usize] -= 1;
        }
        let mut done: Vec<bool> = Vec::with_capacity(open.len());
        for (step, open) in self.submission.steps.iter().zip(open) {
            let is_ready = step.after.iter().all(|&after| is_done(&done, after));
            done.push(open == 0 && is_ready);
        }
        done
    }

    /// Queues the tasks of steps whose preceding steps are done.
    pub fn enqueue_ready_steps(&mut self) {
        if self.tasks.len() as u64 == self.task_count() {
            return;
        }
        let done = self.steps_done();
        for (number, step) in self.submission.steps.iter().enumerate() {
            let first = TaskId { job: self.submission.id, step: number as u32, index: 0 };
            let is_ready = step.after.iter().all(|&after| is_done(&done, after));
            if self.tasks.contains_key(&first) || !is_ready {
                continue;
            }
            for index in 0..step.count {
                let id = TaskId { index, ..first };
                self.tasks.insert(id, TaskState::default());
                self.waiting_tasks.push_back(id);
            }
        }
    }

    /// Number of tasks of all steps.
    fn task_count(&self) -> u64 {
        self.submission.steps.iter().map(|s| u64::from(s.count)).sum()
    }

    /// Whether every step has begun and every task has succeeded.
    pub fn is_done(&self) -> bool {
        self.tasks.len() as u64 == self.task_count() && self.tasks.values().all(|t| t.done)
    }

    /// Returns a new run number for a task, higher than all before.
    pub fn next_run(&mut self, task: TaskId) -> RunNumber {
        let Some(task) = self.tasks.get_mut(&task) else { return RunNumber(1) };
        task.last_run += 1;
        RunNumber(task.last_run)
    }
}

fn is_done(done: &[bool], step: u32) -> bool {
    done.get(step as usize).copied().unwrap_or_default()
}

impl Dispatcher {
    pub(super) fn rank(&self, key: SubmissionKey) -> Option<Rank> {
        Some(Rank { priority: self.jobs.get(&key)?.priority, key })
    }

    /// Queues a job if some of its tasks wait, and removes it from the queue otherwise.
    pub(super) fn update_queue(&mut self, key: SubmissionKey) {
        let Some(rank) = self.rank(key) else { return };
        let has_waiting_tasks = self.jobs.get(&key).is_some_and(|j| !j.waiting_tasks.is_empty());
        if has_waiting_tasks {
            self.queued_jobs.insert(rank);
        } else {
            self.queued_jobs.remove(&rank);
        }
    }

    /// Removes a job, answers all its submissions and stops its runs.
    pub(super) fn finish_job(&mut self, key: SubmissionKey, outcome: Outcome) {
        let Some(rank) = self.rank(key) else { return };
        self.queued_jobs.remove(&rank);
        let end_by = self.runs_end_by(key);
        let Some(job) = self.jobs.swap_remove(&key) else { return };
        let now = self.last_call_at;
        if outcome == Outcome::Completed {
            let label = JobLabel::from(&job.submission);
            let (age, scale) = (now - job.arrived_at, job.run_time_ratio());
            if now > job.objective {
                let late_by = now - job.objective;
                self.log(LogEvent::CompletedLate { job: label, age, late_by, scale });
            }
        }
        let id = job.submission.id;
        self.keys_by_job_id.swap_remove(&id);
        match outcome {
            Outcome::Completed => self.counts.completed += 1,
            Outcome::Unknown => self.counts.unknown += 1,
            Outcome::NotRun { .. } => self.counts.refused += 1,
            Outcome::Failed => {}
        }
        self.answer(&job.submissions, id, outcome);
        let unfinished = job.tasks.iter().filter(|(_, t)| !t.done);
        let runs: Vec<_> =
            unfinished.filter_map(|(id, t)| Some((*id, t.target.clone()?))).collect();
        for (task, target) in runs {
            self.orphan_run(task, &target, end_by);
        }
    }

    /// Answers all submissions of a job id.
    pub(super) fn answer(&mut self, keys: &[SubmissionKey], id: CallerJobId, outcome: Outcome) {
        keys.iter().for_each(|&key| self.submitters.remove(key));
        self.actions.extend(keys.iter().map(|&key| Action::Answer { key, id, outcome }));
    }

    /// Abandons a job that is not expected to end before its deadline, and logs its outlook.
    pub(super) fn abandon_late_job(&mut self, key: SubmissionKey, reason: &'static str) {
        let outlook = self.jobs.get(&key).map(|job| self.outlook(key, job));
        self.end_early(key, reason, outlook);
    }

    /// Abandons a job for a reason that doesn't depend on its targets.
    pub(super) fn abandon_job(&mut self, key: SubmissionKey, reason: &'static str) {
        self.end_early(key, reason, None);
    }

    /// Ends a job early: as not run if no start of it was sent, else with an unknown outcome.
    fn end_early(&mut self, key: SubmissionKey, reason: &'static str, outlook: Option<Outlook>) {
        let Some(job) = self.jobs.get(&key) else { return };
        let label = JobLabel::from(&job.submission);
        let outcome = if job.start_sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun { refusal: Refusal::Closed, retry_after: Duration::from_secs(1) }
        };
        let age = self.last_call_at - job.arrived_at;
        let waiting = job.waiting_tasks.len();
        let running = job.tasks.values().filter(|t| t.target.is_some()).count();
        let scale = job.run_time_ratio();
        let caller_left = job.submission.time_to_deadline.saturating_sub(age);
        self.log(LogEvent::Abandoned {
            job: label,
            reason,
            age,
            waiting,
            running,
            scale,
            caller_left,
            outlook,
        });
        self.finish_job(key, outcome);
    }

    fn outlook(&self, key: SubmissionKey, job: &Job) -> Outlook {
        let now = self.last_call_at;
        let open_tasks = job.tasks.iter().filter(|(_, task)| !task.done);
        let open_steps: IndexSet<u32> = open_tasks.map(|(id, _)| id.step).collect();
        let steps = open_steps.iter().filter_map(|&n| job.submission.steps.get(n as usize));
        let fastest = steps.filter_map(|step| self.min_run_time(key, step, now)).max();
        let remote = self.remote_shards.values().map(|shard| shard.spare).max();
        Outlook {
            left: job.deadline - now,
            fastest,
            spare: self.spare_cpu(now),
            remote: remote.unwrap_or_default(),
        }
    }
}
