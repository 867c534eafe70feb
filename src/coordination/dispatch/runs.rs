//! The runs that may exist on targets: how they are stopped, closed and restarted.

use super::{
    Action, Dispatcher, LEASE_DURATION, LogEvent, MAX_LEASE_DURATION, SubmissionKey,
    replies::{MIN_PROGRESS_PERCENT, STOP_MARGIN},
};
use crate::state::{
    target::{HowEnded, Run, RunState, Target, TargetId, TargetTime},
    time::Moment,
    work::{Outcome, RunNumber, TaskId},
};
use std::{ops::RangeInclusive, time::Duration};

/// A stop not confirmed in this time beyond the wait for its answer is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(10);
/// A run is a straggler after this many times its expected run time, and `STRAGGLER_SLACK`.
const STRAGGLER_FACTOR: f64 = 2.5;
/// See [`STRAGGLER_FACTOR`].
const STRAGGLER_SLACK: Duration = Duration::from_millis(100);

/// A target that was heard longer ago tells nothing of the progress of its runs.
const MAX_REPORT_AGE: Duration = Duration::from_millis(200);
/// Error of an end told by progress, as a share of the run time: half a percent of a tenth.
const PROGRESS_ERROR: f64 = 0.05;
/// Time from the decision to stop a run to the start of its next one.
const RESTART_DELAY: Duration = Duration::from_millis(60);

/// Extends the lease of what runs on a target; none while a stop there is unconfirmed.
pub(super) fn extend_lease(target: &mut Target, now: Moment) -> Option<TargetTime> {
    let clock = target.clock?;
    if target.has_unconfirmed_stop(now) {
        return None;
    }
    let lease_end = TargetTime(clock.at(now).0 + LEASE_DURATION.as_millis() as u64);
    target.lease_end = target.lease_end.max(now + MAX_LEASE_DURATION);
    Some(lease_end)
}

impl Dispatcher {
    /// Stops a run that no job waits for any more.
    pub(super) fn orphan_run(&mut self, task: TaskId, target: &TargetId) {
        let now = self.last_call;
        let Some(run) = self.targets.get_mut(target).and_then(|t| t.runs.get_mut(&task)) else {
            return;
        };
        run.job = None;
        *self.orphaned_runs.entry(task.job).or_default() += 1;
        self.stop_run(task, target, now);
    }

    /// Sends a stop for a run, again if one was sent before.
    pub(super) fn stop_run(&mut self, task: TaskId, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let Some(run) = target.runs.get_mut(&task) else { return };
        let (since, tries) = match run.state {
            RunState::Stopping { acknowledged: Some(_), .. } => return,
            RunState::Stopping { since, tries, .. } => (since, tries + 1),
            _ => (now, 1),
        };
        run.state = RunState::Stopping { since, acknowledged: None, tries };
        let number = run.number;
        let request = self.run_request(&self.targets[id], task, number);
        self.counts.stops += 1;
        self.actions.push(Action::Stop(request));
    }

    /// Sends unconfirmed stops again, and restarts stragglers.
    pub(super) fn check_runs(&mut self, now: Moment) {
        let mut stops = Vec::new();
        let mut stragglers = Vec::new();
        let mut stopped = Vec::new();
        let stop_retry = self.rtt.limit() + STOP_RETRY_DELAY;
        for target in self.targets.values() {
            for (task, run) in &target.runs {
                let id = || (*task, target.info.id.clone());
                match run.state {
                    RunState::Stopping { since, acknowledged: None, tries }
                        if now - since > stop_retry * tries =>
                    {
                        stops.push(id());
                    }
                    RunState::Stopping { acknowledged: Some(at), .. } if now > at + STOP_MARGIN => {
                        stopped.push((id(), run.number));
                    }
                    RunState::Running { since } if now - target.heard <= MAX_REPORT_AGE => {
                        let limit = run.usual.mul_f64(STRAGGLER_FACTOR) + STRAGGLER_SLACK;
                        // Steady progress means a long task, which would be as long elsewhere.
                        let total = run.expected - run.sent;
                        let stalled = run.shortest.is_none_or(|shortest| total > shortest * 2);
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
            self.close_run(task, number, &target, HowEnded::Stopped, now);
        }
        for ((task, target), after) in stragglers {
            self.restart_straggler(task, target, after, now);
        }
        for (key, task, target) in self.runs_past_deadline(now) {
            self.restart_or_abort(key, task, target, now);
        }
    }

    /// Runs that by their progress will end after their job's deadline.
    fn runs_past_deadline(&self, now: Moment) -> Vec<(SubmissionKey, TaskId, TargetId)> {
        let mut found = Vec::new();
        for target in self.targets.values() {
            for (task, run) in &target.runs {
                let Some(key) = run.job.map(SubmissionKey) else { continue };
                let Some(job) = self.jobs.get(&key) else { continue };
                let running = matches!(run.state, RunState::Running { .. });
                let told = run.percent >= MIN_PROGRESS_PERCENT;
                let late = job.deadline + (run.expected - run.sent).mul_f64(PROGRESS_ERROR);
                if running && told && run.expected > late && job.deadline > now {
                    found.push((key, *task, target.info.id.clone()));
                }
            }
        }
        found
    }

    /// Has a run start again where it ends in time, as soon as there is room, or gives its job up.
    fn restart_or_abort(&mut self, key: SubmissionKey, task: TaskId, on: TargetId, now: Moment) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(step) = job.step(task).cloned() else { return };
        let fresh = job.tasks.get(&task).is_some_and(|t| !t.restarted);
        let fastest = self.min_run_time(key, &step, now);
        let in_time = fastest.is_some_and(|time| now + RESTART_DELAY + time <= job.deadline);
        if !fresh || !in_time {
            self.abort_job(key, "by its progress, its deadline can't be met");
            return;
        }
        let after = self.targets.get(&on).and_then(|t| t.runs.get(&task)).map(|r| now - r.sent);
        if let Some(known) = self.jobs.get_mut(&key).and_then(|j| j.tasks.get_mut(&task)) {
            known.restarted = true;
        }
        self.counts.stragglers += 1;
        self.log(LogEvent::Straggler {
            task,
            target: on.clone(),
            after: after.unwrap_or_default(),
        });
        self.stop_run(task, &on, now);
    }

    fn restart_straggler(&mut self, task: TaskId, on: TargetId, after: Duration, now: Moment) {
        let Some(run) = self.targets.get(&on).and_then(|t| t.runs.get(&task)) else { return };
        let key = run.job.map(SubmissionKey);
        let known = key.and_then(|k| self.jobs.get_mut(&k)).and_then(|j| j.tasks.get_mut(&task));
        match known {
            Some(known) if !known.restarted => known.restarted = true,
            _ => return,
        }
        self.counts.stragglers += 1;
        self.log(LogEvent::Straggler { task, target: on.clone(), after });
        self.record_fault(&on, now);
        self.stop_run(task, &on, now);
    }

    /// Closes a run: it is known not to run any more, and how it ended.
    pub(super) fn close_run(
        &mut self,
        task: TaskId,
        number: RunNumber,
        on: &TargetId,
        how: HowEnded,
        now: Moment,
    ) {
        let Some(run) = self.targets.get_mut(on).and_then(|t| t.remove(task, number)) else {
            return;
        };
        if how == HowEnded::Lost {
            self.counts.lost_runs += 1;
        }
        if how != HowEnded::Done && run.job.is_some() {
            let how = match how {
                HowEnded::Failed => "failed",
                HowEnded::Stopped => "stopped",
                _ => "lost",
            };
            self.log(LogEvent::RunEnded { task, run: number, target: on.clone(), how });
        }
        match run.job {
            None => self.close_orphaned_run(task, now),
            Some(key) => self.finish_run(SubmissionKey(key), task, on, how, &run, now),
        }
    }

    fn close_orphaned_run(&mut self, task: TaskId, now: Moment) {
        let Some(open) = self.orphaned_runs.get_mut(&task.job) else { return };
        *open -= 1;
        if *open > 0 {
            return;
        }
        self.orphaned_runs.swap_remove(&task.job);
        self.admit_deferred(now);
    }

    fn finish_run(
        &mut self,
        key: SubmissionKey,
        task: TaskId,
        on: &TargetId,
        how: HowEnded,
        run: &Run,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(known) = job.tasks.get_mut(&task) else { return };
        known.target = None;
        if how == HowEnded::Done {
            known.done = true;
            let ratio = (now - run.sent).as_secs_f64() / run.usual.as_secs_f64().max(1e-3);
            if run.percent < MIN_PROGRESS_PERCENT {
                job.learn_run_time_ratio(ratio);
            }
            job.enqueue_ready_steps();
            let queue = job.work.queue.clone();
            let declared = job.step(task).and_then(|s| s.declared);
            let done = job.is_done();
            self.update_queue(key);
            self.learn_run_time(&queue, declared, on, run, now);
            self.record_success(on);
            if done {
                self.finish_job(key, Outcome::Completed);
            }
            return;
        }
        if how == HowEnded::Failed {
            known.failures += 1;
            self.counts.failed_runs += 1;
            let elsewhere =
                job.tasks.values().any(|t| t.failures > 0 && t.target.as_ref() != Some(on));
            let exhausted = job.tasks[&task].failures >= job.max_attempts;
            let first = job.tasks.values().map(|t| t.failures).sum::<u32>() <= 1;
            if first || !elsewhere {
                self.record_fault(on, now);
            }
            if exhausted {
                self.finish_job(key, Outcome::Failed);
                return;
            }
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            job.waiting.push_front(task);
        }
        self.update_queue(key);
    }

    fn learn_run_time(
        &mut self,
        queue: &crate::state::plan::QueueName,
        declared: Option<Duration>,
        on: &TargetId,
        run: &Run,
        now: Moment,
    ) {
        if run.sends > 1 {
            return; // It is not known which start began it.
        }
        let Some(target) = self.targets.get_mut(on) else { return };
        let took = (now - run.sent).as_secs_f64();
        let kind = target.info.kind.clone();
        let declared = declared.map(|d| d.as_millis() as u64);
        let usual = self.speeds.seconds(queue, declared) * self.speeds.slowness(&kind);
        target.observed += 1;
        let weight = SLOWNESS_WEIGHT.max(1.0 / (f64::from(target.observed) + PRIOR_RUN_COUNT));
        target.slowness = next_slowness(target.slowness, took / usual.max(1e-3), weight);
        if TYPICAL_SLOWNESS.contains(&target.slowness) {
            self.speeds.learn(queue, declared, &kind, took);
            self.speeds.centre();
        }
    }
}

/// A target outside of this range tells nothing of its kind.
const TYPICAL_SLOWNESS: RangeInclusive<f64> = 0.6..=1.7;
/// Weight of a new observation of one target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.08;
/// The first observations of a target weigh more, as if this many had told that it is usual.
const PRIOR_RUN_COUNT: f64 = 3.0;

fn next_slowness(old: f64, seen: f64, weight: f64) -> f64 {
    let next = old + weight * (seen.clamp(0.25, 6.0) - old);
    next.clamp(0.5, 8.0)
}
