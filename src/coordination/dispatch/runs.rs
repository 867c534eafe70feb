//! Runs that may exist on targets: how they are stopped, closed and restarted.

use super::{
    Action, Dispatcher, LogEvent, SubmissionKey, ownership::HIGH_LOSS_RATE,
    replies::MIN_PROGRESS_PERCENT,
};
use crate::state::{
    job_submission::{Outcome, RunNumber, TaskId},
    mechanism::Mechanism,
    target::{LossCause, Run, RunOutcome, RunState, TargetId},
    time::Moment,
};
use std::{ops::RangeInclusive, time::Duration};

/// Added to the request timeout; the sum is the time after which an unconfirmed stop is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(10);
/// A run is a straggler after this many times its expected run time plus [`STRAGGLER_SLACK`].
pub(super) const STRAGGLER_FACTOR: f64 = 2.5;
/// Fixed part of the time after which a run is a straggler.
const STRAGGLER_SLACK: Duration = Duration::from_millis(100);

/// Maximum age of a target's last report for its runs to count as stragglers; an older one does not
/// show their progress.
const MAX_REPORT_AGE: Duration = Duration::from_millis(200);
/// Relative error of a run time projected from progress: half a percent at 10% progress.
const PROGRESS_ERROR: f64 = 0.05;
impl Dispatcher {
    /// Stops a run whose job was removed, and which must have ended by `end_by`.
    pub(super) fn orphan_run(&mut self, task: TaskId, target: &TargetId, end_by: Option<Moment>) {
        let now = self.last_call_at;
        let Some(run) = self.targets.get_mut(target).and_then(|t| t.runs.get_mut(&task)) else {
            return;
        };
        run.job = None;
        run.must_end_by = end_by;
        *self.orphaned_runs.entry(task.job).or_default() += 1;
        self.stop_run(task, target, now);
    }

    /// Sends a stop request for a run, or repeats an unconfirmed one.
    pub(super) fn stop_run(&mut self, task: TaskId, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let Some(run) = target.runs.get_mut(&task) else { return };
        let (since, attempts) = match run.state {
            RunState::Stopping { ends_by: Some(_), .. } | RunState::Vanished { .. } => return,
            RunState::Stopping { since, attempts, .. } => (since, attempts + 1),
            _ => (now, 1),
        };
        run.state = RunState::Stopping { since, ends_by: None, attempts };
        let number = run.number;
        let request = self.run_request(&self.targets[id], task, number);
        self.counts.stops += 1;
        self.actions.push(Action::Stop(request));
    }

    /// Repeats unconfirmed stops, closes stopped runs, and restarts stragglers and late runs.
    pub(super) fn check_runs(&mut self, now: Moment) {
        let mut stops = Vec::new();
        let mut stragglers = Vec::new();
        let mut stopped = Vec::new();
        let mut vanished = Vec::new();
        let stop_retry = self.rtt.timeout() + STOP_RETRY_DELAY;
        for target in self.targets.values() {
            for (task, run) in &target.runs {
                let key = || (*task, target.info.id.clone());
                match run.state {
                    RunState::Stopping { since, ends_by: None, attempts }
                        if now - since > stop_retry * attempts =>
                    {
                        stops.push(key());
                    }
                    RunState::Vanished { ends_by } if now > ends_by => {
                        vanished.push((target.info.id.clone(), (*task, run.number)));
                    }
                    RunState::Stopping { ends_by: Some(at), .. } if now > at => {
                        stopped.push((key(), run.number));
                    }
                    RunState::Running { since }
                        if now - target.last_report_at <= MAX_REPORT_AGE =>
                    {
                        let limit =
                            run.expected_duration.mul_f64(STRAGGLER_FACTOR) + STRAGGLER_SLACK;
                        // A task with steady progress is long and would take as long elsewhere.
                        let duration = run.expected_end - run.start_sent_at;
                        let is_stalled = run
                            .min_projected_duration
                            .is_none_or(|shortest| duration > shortest * 2);
                        let is_straggler = self.enables(Mechanism::StragglerRestart)
                            && now - since > limit
                            && is_stalled;
                        if is_straggler || run.stalled {
                            stragglers.push((key(), now - since));
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
        for (target, run) in vanished {
            self.close_lost_runs(&target, &[run], LossCause::Forgotten, now);
        }
        for ((task, target), after) in stragglers {
            self.restart_straggler(task, target, after, now);
        }
        for (key, task, target) in self.runs_past_deadline(now) {
            self.restart_or_abandon(key, task, target, now);
        }
    }

    /// Returns the runs whose progress shows that they will end after their job's deadline.
    fn runs_past_deadline(&self, now: Moment) -> Vec<(SubmissionKey, TaskId, TargetId)> {
        let mut late_runs = Vec::new();
        let is_checked =
            self.enables(Mechanism::LateRunRestart) || self.enables(Mechanism::LateRunAbandonment);
        if !is_checked {
            return late_runs;
        }
        for target in self.targets.values() {
            for (task, run) in &target.runs {
                let Some(key) = run.job.map(SubmissionKey) else { continue };
                let Some(job) = self.jobs.get(&key) else { continue };
                let is_running = matches!(run.state, RunState::Running { .. });
                let has_projection = run.progress_percent >= MIN_PROGRESS_PERCENT;
                let latest_end =
                    job.deadline + (run.expected_end - run.start_sent_at).mul_f64(PROGRESS_ERROR);
                if is_running
                    && has_projection
                    && run.expected_end > latest_end
                    && job.deadline > now
                {
                    late_runs.push((key, *task, target.info.id.clone()));
                }
            }
        }
        late_runs
    }

    /// Stops a run that will end too late, so that its task is restarted on a faster target, or
    /// abandons the job if the task was restarted before or no target is fast enough.
    fn restart_or_abandon(
        &mut self,
        key: SubmissionKey,
        task: TaskId,
        target_id: TargetId,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(step) = job.step(task).cloned() else { return };
        let may_restart = self.enables(Mechanism::LateRunRestart)
            && job.tasks.get(&task).is_some_and(|t| !t.restarted);
        let fastest = self.min_run_time(key, &step, now);
        let in_time =
            fastest.is_some_and(|time| now + self.timing.restart_delay + time <= job.deadline);
        if !may_restart || !in_time {
            if self.enables(Mechanism::LateRunAbandonment) {
                let reason = "the progress of a run shows that the deadline can't be met";
                self.abandon_late_job(key, reason);
            }
            return;
        }
        let after = self
            .targets
            .get(&target_id)
            .and_then(|t| t.runs.get(&task))
            .map(|r| now - r.start_sent_at);
        if let Some(task_state) = self.jobs.get_mut(&key).and_then(|j| j.tasks.get_mut(&task)) {
            task_state.restarted = true;
        }
        self.counts.stragglers += 1;
        self.log(LogEvent::Straggler {
            task,
            target: target_id.clone(),
            after: after.unwrap_or_default(),
        });
        self.stop_run(task, &target_id, now);
    }

    fn restart_straggler(
        &mut self,
        task: TaskId,
        target_id: TargetId,
        after: Duration,
        now: Moment,
    ) {
        let Some(run) = self.targets.get(&target_id).and_then(|t| t.runs.get(&task)) else {
            return;
        };
        let key = run.job.map(SubmissionKey);
        let task_state =
            key.and_then(|k| self.jobs.get_mut(&k)).and_then(|j| j.tasks.get_mut(&task));
        match task_state {
            Some(task_state) if !task_state.restarted => {
                task_state.restarted = true;
                task_state.failed_on = Some(target_id.clone());
            }
            _ => return,
        }
        self.counts.stragglers += 1;
        self.log(LogEvent::Straggler { task, target: target_id.clone(), after });
        self.record_fault(&target_id, now);
        self.stop_run(task, &target_id, now);
    }

    /// Closes a run that is known not to exist any more. Runs that this dispatcher does not know
    /// are ignored.
    pub(super) fn close_run(
        &mut self,
        task: TaskId,
        number: RunNumber,
        target_id: &TargetId,
        outcome: RunOutcome,
        now: Moment,
    ) {
        let Some(target) = self.targets.get_mut(target_id) else { return };
        let Some(run) = target.remove_run(task, number) else { return };
        if run.has_unanswered_start && outcome != RunOutcome::Done {
            target.record_unanswered_start(task, &run, now);
        }
        let history = self.record_closed_run(task, target_id, &run, outcome, now);
        self.on_suspect_ended(task, outcome);
        let is_lost = matches!(outcome, RunOutcome::Lost(_));
        if is_lost {
            self.counts.lost_runs += 1;
        }
        let is_logged = run.job.is_some() || history.is_some();
        if is_lost || outcome != RunOutcome::Done && is_logged {
            self.log(LogEvent::RunEnded {
                task,
                run: number,
                target: target_id.clone(),
                outcome,
                age: now - run.start_sent_at,
                has_job: run.job.is_some(),
                history,
            });
        }
        match run.job {
            None => self.close_orphaned_run(task, now),
            Some(key) => self.finish_run(SubmissionKey(key), task, target_id, outcome, &run, now),
        }
    }

    fn close_orphaned_run(&mut self, task: TaskId, now: Moment) {
        let Some(count) = self.orphaned_runs.get_mut(&task.job) else { return };
        *count -= 1;
        if *count > 0 {
            return;
        }
        self.orphaned_runs.swap_remove(&task.job);
        self.admit_deferred(now);
    }

    fn finish_run(
        &mut self,
        key: SubmissionKey,
        task: TaskId,
        target_id: &TargetId,
        outcome: RunOutcome,
        run: &Run,
        now: Moment,
    ) {
        let learns_run_times =
            self.enables(Mechanism::JobRunTimes) && !self.was_cold(target_id, run, now);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(task_state) = job.tasks.get_mut(&task) else { return };
        task_state.target = None;
        if outcome == RunOutcome::Done {
            task_state.done = true;
            let ratio = (now - run.start_sent_at).as_secs_f64()
                / run.expected_duration.as_secs_f64().max(1e-3);
            if learns_run_times && run.progress_percent < MIN_PROGRESS_PERCENT {
                job.learn_run_time_ratio(ratio);
            }
            job.enqueue_ready_steps();
            let queue = job.submission.queue.clone();
            let declared = job.step(task).and_then(|s| s.declared);
            let done = job.is_done();
            self.update_queue(key);
            let duration = now - run.start_sent_at;
            if !run.slow && !self.check_target_speed(key, task, target_id, run, duration, now) {
                self.record_success(target_id);
            }
            self.learn_run_time(&queue, declared, target_id, run, now);
            if done {
                self.finish_job(key, Outcome::Completed);
            }
            return;
        }
        if outcome == RunOutcome::Failed {
            task_state.failures += 1;
            task_state.failed_on = Some(target_id.clone());
            self.counts.failed_runs += 1;
            let is_exhausted = task_state.failures >= job.max_attempts;
            // A job that fails on several targets probably fails by its own fault.
            let blamed = job.first_failed_target.get_or_insert_with(|| target_id.clone());
            if blamed == target_id {
                self.record_fault(target_id, now);
            }
            if is_exhausted {
                self.finish_job(key, Outcome::Failed);
                return;
            }
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            job.waiting_tasks.push_front(task);
        }
        self.update_queue(key);
    }

    /// Counts a fault of the target if a run that takes, or took, `duration` shows that the target
    /// has become slow. Returns whether it does.
    pub(super) fn check_target_speed(
        &mut self,
        key: SubmissionKey,
        task: TaskId,
        target_id: &TargetId,
        run: &Run,
        duration: Duration,
        now: Moment,
    ) -> bool {
        let is_lossy = self.renewal_loss_rate > HIGH_LOSS_RATE;
        if run.start_attempts > 1 || is_lossy || !self.enables(Mechanism::SlowRunFaults) {
            return false; // Neither the start nor the end of the run is known well.
        }
        if self.was_cold(target_id, run, now) {
            return false;
        }
        let Some(job) = self.jobs.get(&key) else { return false };
        let Some(step) = job.step(task) else { return false };
        let Some(target) = self.targets.get(target_id) else { return false };
        if !target.shows_speed_of_kind(run) {
            return false;
        }
        let queue = &job.submission.queue;
        let declared = self.declared_ms(step.declared);
        let slowness =
            self.kind_slowness(&target.info.kind) * target.slowness.min(*TYPICAL_SLOWNESS.end());
        let expected = self.run_times.expected_seconds(queue, declared) * slowness;
        let is_usual_known = self.run_times.observations(queue) >= MIN_QUEUE_OBSERVATIONS
            && self.run_times.worker_observations(&target.info.kind) >= MIN_KIND_OBSERVATIONS;
        let ratio = duration.as_secs_f64() / expected.max(1e-3);
        let is_job_usual =
            job.min_run_time_ratio_of_others(task).is_some_and(|other| other < USUAL_RATIO);
        let Some(job) = self.jobs.get_mut(&key) else { return false };
        if let Some(task_state) = job.tasks.get_mut(&task) {
            task_state.run_time_ratio = Some(ratio);
        }
        if ratio < SLOW_RUN_RATIO || !is_usual_known {
            return false;
        }
        // If the job's other tasks took the usual time, the run is slow because of its target. If
        // not, the job itself may take long, so all its runs there count as one fault.
        let is_counted = job.slow_target.as_ref() == Some(target_id);
        let faults = if is_job_usual { 2 } else { u32::from(!is_counted) };
        job.slow_target = Some(target_id.clone());
        self.log(LogEvent::SlowRun { task, target: target_id.clone(), ratio });
        for _ in 0..faults {
            self.record_fault(target_id, now);
        }
        true
    }

    /// Whether a run that began on a target and goes on until `now` was slowed down at some time
    /// because its target was cold. Such a run shows nothing of the usual speed of the target.
    pub(super) fn was_cold(&self, target_id: &TargetId, run: &Run, now: Moment) -> bool {
        let target = self.targets.get(target_id);
        target.is_some_and(|target| target.cold.overlaps(run.start_sent_at, now))
    }

    fn learn_run_time(
        &mut self,
        queue: &crate::state::fleet_config::QueueName,
        declared: Option<Duration>,
        target_id: &TargetId,
        run: &Run,
        now: Moment,
    ) {
        if run.start_attempts > 1 {
            return; // It is unknown which of the start requests began the run.
        }
        if self.was_cold(target_id, run, now) {
            return;
        }
        let Some(target) = self.targets.get(target_id) else { return };
        if !target.shows_speed_of_kind(run) {
            return;
        }
        let kind = target.info.kind.clone();
        let took = (now - run.start_sent_at).as_secs_f64();
        let declared = self.declared_ms(declared);
        let expected = self.run_times.expected_seconds(queue, declared) * self.kind_slowness(&kind);
        let learns_slowness = self.enables(Mechanism::TargetSlowness);
        let Some(target) = self.targets.get_mut(target_id) else { return };
        target.observed_runs += 1;
        let weight = SLOWNESS_WEIGHT.max(1.0 / (f64::from(target.observed_runs) + PRIOR_RUN_COUNT));
        if learns_slowness {
            target.slowness = next_slowness(target.slowness, took / expected.max(1e-3), weight);
        }
        if TYPICAL_SLOWNESS.contains(&target.slowness) {
            self.run_times.observe(queue, declared, &kind, took);
            self.run_times.normalize();
        }
    }
}

/// A run that takes this many times as long as expected counts as a fault of its target. Fewer than
/// one job in a hundred takes so long for a reason of its own.
const SLOW_RUN_RATIO: f64 = 2.5;
/// A task with a lower run time ratio than this shows that its job takes no unusual time.
const USUAL_RATIO: f64 = 1.6;
/// Number of runs of a queue after which its run times are known well enough to recognize slow runs.
const MIN_QUEUE_OBSERVATIONS: f64 = 30.0;
/// Number of runs on a kind of target after which its slowness is known well enough for that.
const MIN_KIND_OBSERVATIONS: u64 = 100;
/// Range of the slowness of targets that their kind's estimate is learned from; others are
/// outliers.
const TYPICAL_SLOWNESS: RangeInclusive<f64> = 0.6..=1.7;
/// Least weight of a run in the slowness estimate of its target.
const SLOWNESS_WEIGHT: f64 = 0.08;
/// Number of runs that the initial slowness of a target, 1, counts as. The first runs observed
/// weigh more than [`SLOWNESS_WEIGHT`].
const PRIOR_RUN_COUNT: f64 = 3.0;

fn next_slowness(old: f64, observed: f64, weight: f64) -> f64 {
    let next = old + weight * (observed.clamp(0.25, 6.0) - old);
    next.clamp(0.5, 8.0)
}
