//! Which task goes to which target.

use super::{Action, Dispatch, JobKey, forecast::OVERDUE, job::Job, runs::lease};
use crate::state::{
    fleet_config::QueueName,
    job_submission::{Step, TaskId},
    target::{Run, RunState, Target, TargetId},
    time::Moment,
};
use std::{cmp::Ordering, time::Duration};

/// Jobs that found no room in one pass before the pass ends; those behind them rarely find any.
const MISSES: usize = 6;
/// How much longer a task is taken to run away from its data or its fellow tasks.
const FAR_FACTOR: f64 = 1.5;

/// A task is placed where it would meet its job's objective also if it took this much longer than
/// expected; half of all tasks take longer than expected.
const SAFETY: f64 = 1.7;
/// The same where the objective is the caller's deadline or close to it: an answer that comes after
/// an objective is worth something, one after the deadline nothing, and the whole job is lost.
const DEADLINE_SAFETY: f64 = 2.5;
/// A task with a hard deadline waits for a fast target while it would end in time there also if it
/// took this much longer than expected.
const WAIT_SAFETY: f64 = 2.2;

/// A target that could run a task.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    id: TargetId,
    pub(super) time: Duration,
    in_time: bool,
    left: u64,
}

impl Candidate {
    /// The best first. Where several meet the objective, the slowest: the fast ones are for tasks
    /// that meet it nowhere else. Of equal ones, the one that is filled best.
    fn compare(&self, other: &Self) -> Ordering {
        let time = |c: &Self| c.time.as_millis() as i64 / 10;
        let keys = |c: &Self| (!c.in_time, if c.in_time { -time(c) } else { time(c) }, c.left);
        keys(self).cmp(&keys(other))
    }
}

impl Job {
    /// How much longer than expected its tasks may take without missing the objective.
    fn safety(&self) -> f64 {
        if self.is_hard() { DEADLINE_SAFETY } else { SAFETY }
    }

    /// Whether its objective is its deadline, or close to it.
    pub(super) fn is_hard(&self) -> bool {
        self.deadline - self.objective < (self.objective - self.arrived) / 4
    }
}

impl Dispatch {
    /// Starts tasks that wait, most urgent first, as far as there is room.
    pub(super) fn fill(&mut self, now: Moment) {
        if self.waiting.is_empty() || !self.open {
            return;
        }
        let keys: Vec<JobKey> = self.waiting.iter().map(|rank| rank.key).collect();
        let mut misses = 0;
        for key in keys {
            if !self.start_tasks(key, now) {
                misses += 1;
            }
            if misses >= MISSES {
                return;
            }
        }
    }

    /// Starts a job's tasks; false if one found no room.
    fn start_tasks(&mut self, key: JobKey, now: Moment) -> bool {
        loop {
            let Some(job) = self.jobs.get(&key) else { return true };
            let Some(&task) = job.waiting.front() else { break };
            let Some(step) = job.step(task).cloned() else { break };
            let Some(best) = self.best_target(key, task, &step, now) else {
                self.enqueue(key);
                return false;
            };
            if let Some(job) = self.jobs.get_mut(&key) {
                job.waiting.pop_front();
            }
            self.start_on(key, task, &step, &best, now);
        }
        self.enqueue(key);
        true
    }

    pub(super) fn best_target(
        &self,
        key: JobKey,
        task: TaskId,
        step: &Step,
        now: Moment,
    ) -> Option<Candidate> {
        let job = self.jobs.get(&key)?;
        let rack = self.rack_of(key, step);
        let fits = |t: &&Target| {
            step.needs.fits_in(t.free_resources())
                && self.could_run(job, step, t, now)
                && !t.runs.contains_key(&task)
                && step
                    .most_per_target
                    .is_none_or(|most| job.on_target(task.step, &t.info.id) < most)
        };
        let candidates = self.targets.values().filter(fits).filter_map(|t| {
            let mut time = self.task_time(&job.work.queue, step, t).mul_f64(job.scale());
            if rack.as_ref().is_some_and(|rack| !t.info.has_label(rack)) {
                time = time.mul_f64(FAR_FACTOR);
            }
            if now + time > job.deadline {
                return None;
            }
            let in_time = now + time.mul_f64(job.safety()) <= job.objective;
            let left = t.free_resources().saturating_sub(step.needs).cpu.0;
            Some(Candidate { id: t.info.id.clone(), time, in_time, left })
        });
        let best = candidates.min_by(Candidate::compare)?;
        let waits = !best.in_time
            && job.is_hard()
            && (self.has_slack(key, step, now) || self.ends_sooner_on_busy(key, step, &best, now));
        (!waits).then_some(best)
    }

    /// Whether a task is expected to end sooner on a target that has no room yet than on `free`.
    fn ends_sooner_on_busy(&self, key: JobKey, step: &Step, free: &Candidate, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let fits = |t: &&Target| {
            self.could_run(job, step, t, now) && !step.needs.fits_in(t.free_resources())
        };
        self.targets.values().filter(fits).any(|t| {
            let time = self.task_time(&job.work.queue, step, t).mul_f64(job.scale());
            let room = t.runs.values().map(|run| run.expected_end.max(now + OVERDUE)).min();
            room.is_some_and(|room| room + time < now + free.time)
        })
    }

    /// Whether a target may be given a task of a job once it has room.
    fn could_run(&self, job: &Job, step: &Step, target: &Target, now: Moment) -> bool {
        let pool = self.plan.queue(&job.work.queue).map(|queue| &queue.pool);
        pool == Some(&target.info.pool)
            && self.is_usable(target, now)
            && step.needs.fits_in(target.info.capacity)
            && step.required.as_ref().is_none_or(|label| target.info.has_label(label))
    }

    /// Whether a task may wait for a place on a faster target without missing its deadline there.
    fn has_slack(&self, key: JobKey, step: &Step, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let fastest = self.fastest_time(key, step, now);
        fastest.is_some_and(|time| now + time.mul_f64(WAIT_SAFETY) <= job.deadline)
    }

    /// Expected run time of a task on the fastest target that may be given work, free or not.
    pub(super) fn fastest_time(&self, key: JobKey, step: &Step, now: Moment) -> Option<Duration> {
        let job = self.jobs.get(&key)?;
        let targets = self.targets.values().filter(|t| self.could_run(job, step, t, now));
        let times = targets.map(|t| self.task_time(&job.work.queue, step, t));
        Some(times.min()?.mul_f64(job.scale()))
    }

    /// The rack that a step's tasks should run on.
    fn rack_of(&self, key: JobKey, step: &Step) -> Option<crate::state::fleet_config::Label> {
        if step.near.is_some() || !step.same_rack {
            return step.near.clone();
        }
        let job = self.jobs.get(&key)?;
        let on = job.tasks.values().find_map(|t| t.on.as_ref())?;
        self.targets.get(on)?.info.labels.get(1).cloned()
    }

    /// Expected run time of a task on a target.
    pub(super) fn task_time(&self, queue: &QueueName, step: &Step, target: &Target) -> Duration {
        let base = self.base_time(queue, step);
        base.mul_f64(self.slowness_of(target))
    }

    /// Expected run time of a task on a target of usual speed.
    pub(super) fn base_time(&self, queue: &QueueName, step: &Step) -> Duration {
        let declared = step.declared.map(|d| d.as_millis() as u64);
        Duration::from_secs_f64(self.speeds.expected_seconds(queue, declared))
    }

    fn start_on(&mut self, key: JobKey, task: TaskId, step: &Step, best: &Candidate, now: Moment) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(target) = self.targets.get_mut(&best.id) else { return };
        let Some(until) = lease(target, now) else {
            job.waiting.push_front(task);
            return;
        };
        let number = job.next_run(task);
        if let Some(known) = job.tasks.get_mut(&task) {
            known.on = Some(best.id.clone());
        }
        job.sent = true;
        let run = Run {
            number,
            job: Some(key.0),
            needs: step.needs,
            state: RunState::Starting,
            start_sent_at: now,
            start_attempts: 1,
            expected_duration: best.time,
            expected_end: now + best.time,
            progress_percent: 0,
            min_projected_duration: None,
        };
        target.add_run(task, run);
        let spec = job.work.spec.clone();
        let target = &self.targets[&best.id];
        let order = self.order(target, task, number);
        self.counts.starts += 1;
        self.actions.push(Action::Start { order, spec, until });
    }
}
