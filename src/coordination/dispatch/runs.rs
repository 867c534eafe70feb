//! The runs that may exist on targets: how they are stopped, closed and restarted.

use super::{
    Action, Dispatch, JobKey, LEASE, LONGEST_LEASE, Note,
    replies::{STOP_MARGIN, TELLING_PERCENT},
};
use crate::state::{
    job_submission::{Outcome, RunNumber, TaskId},
    target::{Run, RunOutcome, RunState, Target, TargetId, TargetTime},
    time::Moment,
};
use std::{ops::RangeInclusive, time::Duration};

/// A stop not confirmed in this time beyond the wait for its answer is sent again.
const STOP_RETRY: Duration = Duration::from_millis(10);
/// A run is a straggler after this many times its expected run time, and `STRAGGLER_SLACK`.
const STRAGGLER_FACTOR: f64 = 2.5;
/// See [`STRAGGLER_FACTOR`].
const STRAGGLER_SLACK: Duration = Duration::from_millis(100);

/// A target that was heard longer ago tells nothing of the progress of its runs.
const FRESH: Duration = Duration::from_millis(200);
/// Error of an end told by progress, as a share of the run time: half a percent of a tenth.
const PROGRESS_ERROR: f64 = 0.05;
/// Time from the decision to stop a run to the start of its next one.
const RESTART_TIME: Duration = Duration::from_millis(60);

/// Extends the lease of what runs on a target; none while a stop there is unconfirmed.
pub(super) fn lease(target: &mut Target, now: Moment) -> Option<TargetTime> {
    let clock = target.clock?;
    if target.has_unconfirmed_stop(now) {
        return None;
    }
    let until = TargetTime(clock.earliest_at(now).0 + LEASE.as_millis() as u64);
    target.lease_end = target.lease_end.max(now + LONGEST_LEASE);
    Some(until)
}

impl Dispatch {
    /// Stops a run that no job waits for any more.
    pub(super) fn disown_run(&mut self, task: TaskId, target: &TargetId) {
        let now = self.last_call;
        let Some(run) = self.targets.get_mut(target).and_then(|t| t.runs.get_mut(&task)) else {
            return;
        };
        run.job = None;
        *self.closing.entry(task.job).or_default() += 1;
        self.stop_run(task, target, now);
    }

    /// Sends a stop for a run, again if one was sent before.
    pub(super) fn stop_run(&mut self, task: TaskId, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let Some(run) = target.runs.get_mut(&task) else { return };
        let (since, tries) = match run.state {
            RunState::Stopping { ends_by: Some(_), .. } => return,
            RunState::Stopping { since, attempts: tries, .. } => (since, tries + 1),
            _ => (now, 1),
        };
        run.state = RunState::Stopping { since, ends_by: None, attempts: tries };
        let number = run.number;
        let order = self.order(&self.targets[id], task, number);
        self.counts.stops += 1;
        self.actions.push(Action::Stop(order));
    }

    /// Sends unconfirmed stops again, and restarts stragglers.
    pub(super) fn check_runs(&mut self, now: Moment) {
        let mut stops = Vec::new();
        let mut stragglers = Vec::new();
        let mut stopped = Vec::new();
        let stop_retry = self.patience.timeout() + STOP_RETRY;
        for target in self.targets.values() {
            for (task, run) in &target.runs {
                let id = || (*task, target.info.id.clone());
                match run.state {
                    RunState::Stopping { since, ends_by: None, attempts }
                        if now - since > stop_retry * attempts =>
                    {
                        stops.push(id());
                    }
                    RunState::Stopping { ends_by: Some(at), .. } if now > at + STOP_MARGIN => {
                        stopped.push((id(), run.number));
                    }
                    RunState::Running { since } if now - target.last_report_at <= FRESH => {
                        let limit =
                            run.expected_duration.mul_f64(STRAGGLER_FACTOR) + STRAGGLER_SLACK;
                        // Steady progress means a long task, which would be as long elsewhere.
                        let total = run.expected_end - run.start_sent_at;
                        let stalled =
                            run.min_projected_duration.is_none_or(|shortest| total > shortest * 2);
                        if now - since > limit && stalled {
                            stragglers.push((id(), now - since));
                        }
                    }
                    _ => {}
                }
            }
        }
        for (task, target) in stops {
            self.stop_run(task, &target, now);
        }
        for ((task, target), number) in stopped {
            self.close_run(task, number, &target, RunOutcome::Stopped, now);
        }
        for ((task, target), after) in stragglers {
            self.restart_straggler(task, target, after, now);
        }
        for (key, task, target) in self.hopeless_runs(now) {
            self.rescue(key, task, target, now);
        }
    }

    /// Runs that by their progress will end after their job's deadline.
    fn hopeless_runs(&self, now: Moment) -> Vec<(JobKey, TaskId, TargetId)> {
        let mut found = Vec::new();
        for target in self.targets.values() {
            for (task, run) in &target.runs {
                let Some(key) = run.job.map(JobKey) else { continue };
                let Some(job) = self.jobs.get(&key) else { continue };
                let running = matches!(run.state, RunState::Running { .. });
                let told = run.progress_percent >= TELLING_PERCENT;
                let late =
                    job.deadline + (run.expected_end - run.start_sent_at).mul_f64(PROGRESS_ERROR);
                if running && told && run.expected_end > late && job.deadline > now {
                    found.push((key, *task, target.info.id.clone()));
                }
            }
        }
        found
    }

    /// Has a run start again where it ends in time, as soon as there is room, or gives its job up.
    fn rescue(&mut self, key: JobKey, task: TaskId, on: TargetId, now: Moment) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(step) = job.step(task).cloned() else { return };
        let fresh = job.tasks.get(&task).is_some_and(|t| !t.restarted);
        let fastest = self.fastest_time(key, &step, now);
        let in_time = fastest.is_some_and(|time| now + RESTART_TIME + time <= job.deadline);
        if !fresh || !in_time {
            self.settle_unfinished(key, "by its progress, its deadline can't be met");
            return;
        }
        let after =
            self.targets.get(&on).and_then(|t| t.runs.get(&task)).map(|r| now - r.start_sent_at);
        if let Some(known) = self.jobs.get_mut(&key).and_then(|j| j.tasks.get_mut(&task)) {
            known.restarted = true;
        }
        self.counts.stragglers += 1;
        self.note(Note::Straggler { task, target: on.clone(), after: after.unwrap_or_default() });
        self.stop_run(task, &on, now);
    }

    fn restart_straggler(&mut self, task: TaskId, on: TargetId, after: Duration, now: Moment) {
        let Some(run) = self.targets.get(&on).and_then(|t| t.runs.get(&task)) else { return };
        let key = run.job.map(JobKey);
        let known = key.and_then(|k| self.jobs.get_mut(&k)).and_then(|j| j.tasks.get_mut(&task));
        match known {
            Some(known) if !known.restarted => known.restarted = true,
            _ => return,
        }
        self.counts.stragglers += 1;
        self.note(Note::Straggler { task, target: on.clone(), after });
        self.blame(&on, now);
        self.stop_run(task, &on, now);
    }

    /// Closes a run: it is known not to run any more, and how it ended.
    pub(super) fn close_run(
        &mut self,
        task: TaskId,
        number: RunNumber,
        on: &TargetId,
        how: RunOutcome,
        now: Moment,
    ) {
        let Some(run) = self.targets.get_mut(on).and_then(|t| t.remove_run(task, number)) else {
            return;
        };
        if how == RunOutcome::Lost {
            self.counts.lapses += 1;
        }
        if how != RunOutcome::Done && run.job.is_some() {
            let how = match how {
                RunOutcome::Failed => "failed",
                RunOutcome::Stopped => "stopped",
                _ => "lost",
            };
            self.note(Note::RunEnded { task, run: number, target: on.clone(), how });
        }
        match run.job {
            None => self.release(task, now),
            Some(key) => self.after_run(JobKey(key), task, on, how, &run, now),
        }
    }

    fn release(&mut self, task: TaskId, now: Moment) {
        let Some(open) = self.closing.get_mut(&task.job) else { return };
        *open -= 1;
        if *open > 0 {
            return;
        }
        self.closing.swap_remove(&task.job);
        self.unpark(now);
    }

    fn after_run(
        &mut self,
        key: JobKey,
        task: TaskId,
        on: &TargetId,
        how: RunOutcome,
        run: &Run,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(known) = job.tasks.get_mut(&task) else { return };
        known.on = None;
        if how == RunOutcome::Done {
            known.done = true;
            let ratio = (now - run.start_sent_at).as_secs_f64()
                / run.expected_duration.as_secs_f64().max(1e-3);
            if run.progress_percent < TELLING_PERCENT {
                job.learn_scale(ratio);
            }
            job.open_steps();
            let queue = job.work.queue.clone();
            let declared = job.step(task).and_then(|s| s.declared);
            let done = job.is_done();
            self.enqueue(key);
            self.learn(&queue, declared, on, run, now);
            self.praise(on);
            if done {
                self.settle(key, Outcome::Completed);
            }
            return;
        }
        if how == RunOutcome::Failed {
            known.failures += 1;
            self.counts.failures += 1;
            let elsewhere = job.tasks.values().any(|t| t.failures > 0 && t.on.as_ref() != Some(on));
            let exhausted = job.tasks[&task].failures >= job.max_attempts;
            let first = job.tasks.values().map(|t| t.failures).sum::<u32>() <= 1;
            if first || !elsewhere {
                self.blame(on, now);
            }
            if exhausted {
                self.settle(key, Outcome::Failed);
                return;
            }
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            job.waiting.push_front(task);
        }
        self.enqueue(key);
    }

    fn learn(
        &mut self,
        queue: &crate::state::fleet_config::QueueName,
        declared: Option<Duration>,
        on: &TargetId,
        run: &Run,
        now: Moment,
    ) {
        if run.start_attempts > 1 {
            return; // It is not known which start began it.
        }
        let Some(target) = self.targets.get_mut(on) else { return };
        let took = (now - run.start_sent_at).as_secs_f64();
        let kind = target.info.kind.clone();
        let declared = declared.map(|d| d.as_millis() as u64);
        let usual = self.speeds.expected_seconds(queue, declared) * self.speeds.slowness(&kind);
        target.observed_runs += 1;
        let weight = SLOWNESS_WEIGHT.max(1.0 / (f64::from(target.observed_runs) + PRIOR_RUNS));
        target.slowness = next_slowness(target.slowness, took / usual.max(1e-3), weight);
        if USUAL_SLOWNESS.contains(&target.slowness) {
            self.speeds.observe(queue, declared, &kind, took);
            self.speeds.normalize();
        }
    }
}

/// A target outside of this range tells nothing of its kind.
const USUAL_SLOWNESS: RangeInclusive<f64> = 0.6..=1.7;
/// Weight of a new observation of one target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.08;
/// The first observations of a target weigh more, as if this many had told that it is usual.
const PRIOR_RUNS: f64 = 3.0;

fn next_slowness(old: f64, seen: f64, weight: f64) -> f64 {
    let next = old + weight * (seen.clamp(0.25, 6.0) - old);
    next.clamp(0.5, 8.0)
}
