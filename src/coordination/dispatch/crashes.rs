//! Tasks that may crash their targets: they are started where they do little harm, and given up once
//! too many targets have crashed under them.

use super::{Dispatcher, JobLabel, LogEvent, SubmissionKey};
use crate::state::{
    crash_history::{CrashHistory, Loss, Suspicion, TaskLosses},
    job_submission::{JobSubmission, Outcome, RunNumber, TaskId},
    mechanism::Mechanism,
    target::{LossCause, RunOutcome, Target, TargetId, TargetIncarnation},
    time::Moment,
};
use std::time::Duration;

/// Share of the targets that main suspects may run on at the same time; at least one target.
const MAX_RISKED_SHARE: f64 = 0.2;
/// Share of the targets that main suspects may crash per second, on average.
const MAX_CRASHED_SHARE_PER_SECOND: f64 = 0.01;

impl Dispatcher {
    /// Replaces the known losses of targets, to be called before the first submission.
    pub fn set_crash_history(&mut self, crash_history: CrashHistory) {
        self.crash_history = crash_history;
    }

    /// Returns the losses of targets that this dispatcher knows of.
    pub fn crash_history(&self) -> &CrashHistory {
        &self.crash_history
    }

    /// Adds losses of targets that another dispatcher has reported.
    pub fn merge_losses(&mut self, reported: Vec<TaskLosses>, now: Moment) {
        let tasks: Vec<TaskId> = reported.iter().map(|losses| losses.task).collect();
        self.crash_history.merge(reported, now);
        self.give_up_proven(&tasks);
    }

    /// Closes runs that are lost with their target, or that it has forgotten.
    pub(super) fn close_lost_runs(
        &mut self,
        id: &TargetId,
        runs: &[(TaskId, RunNumber)],
        cause: LossCause,
        now: Moment,
    ) {
        if cause.may_be_crash() {
            self.record_losses(id, runs, cause, now);
        }
        for (task, number) in runs {
            self.close_run(*task, *number, id, RunOutcome::Lost(cause), now);
        }
        let tasks: Vec<TaskId> = runs.iter().map(|(task, _)| *task).collect();
        self.give_up_proven(&tasks);
    }

    fn record_losses(
        &mut self,
        id: &TargetId,
        runs: &[(TaskId, RunNumber)],
        cause: LossCause,
        now: Moment,
    ) {
        let Some(target) = self.targets.get(id) else { return };
        if !self.enables(Mechanism::CrashHistory) {
            return;
        }
        let lost = target.runs.iter().filter(|(task, run)| runs.contains(&(**task, run.number)));
        // A target that is leaving ends its runs without a crash.
        let lost = lost.filter(|(_, run)| !target.was_draining(run.incarnation));
        let lost: Vec<_> =
            lost.map(|(task, run)| (*task, run.incarnation, run.start_sent_at)).collect();
        let last_started = lost.iter().max_by_key(|(.., sent_at)| *sent_at);
        let Some(main_suspect) = last_started.map(|(task, ..)| task.job) else { return };
        let crashed = cause != LossCause::Expired;
        for (task, incarnation, _) in lost {
            let is_main_suspect = task.job == main_suspect;
            let target = id.clone();
            let loss = Loss { target, incarnation, is_main_suspect, crashed };
            self.crash_history.record(task, loss, now);
        }
    }

    /// Records that a target has answered as this incarnation, or `None` if another target did.
    pub(super) fn resolve_losses(
        &mut self,
        id: &TargetId,
        incarnation: Option<TargetIncarnation>,
        now: Moment,
    ) {
        if self.crash_history.is_empty() {
            return;
        }
        let tasks = match incarnation {
            Some(incarnation) => self.crash_history.on_target_alive(id, incarnation, now),
            None => self.crash_history.on_target_replaced(id, now),
        };
        self.give_up_proven(&tasks);
    }

    /// Forgets old losses, and gives up tasks whose targets are gone for good.
    pub(super) fn expire_losses(&mut self, now: Moment) {
        if self.crash_history.is_empty() {
            return;
        }
        let targets = self.targets.len() as f64;
        self.crash_tokens.set_rate(
            now,
            targets * MAX_CRASHED_SHARE_PER_SECOND,
            (targets * MAX_RISKED_SHARE).max(1.0),
        );
        let tasks = self.crash_history.expire(now);
        self.give_up_proven(&tasks);
    }

    /// Fails the jobs of those of `tasks` that are known to crash their targets.
    pub(super) fn give_up_proven(&mut self, tasks: &[TaskId]) {
        for task in tasks {
            if self.crash_history.suspicion(*task) != Suspicion::Proven {
                continue;
            }
            if let Some(&key) = self.keys_by_job_id.get(&task.job) {
                self.fail_crashing_job(key, *task);
            }
        }
    }

    /// Fails a job, one of whose tasks is known to crash its targets.
    fn fail_crashing_job(&mut self, key: SubmissionKey, task: TaskId) {
        let Some(job) = self.jobs.get(&key) else { return };
        let (job, age) = (JobLabel::from(&job.submission), self.last_call_at - job.arrived_at);
        self.counts.crashing_jobs += 1;
        self.log(LogEvent::GivenUp { job, task, age });
        self.finish_job(key, Outcome::Failed);
    }

    /// Fails a submission if a task of its job is known to crash its targets; returns whether it does.
    pub(super) fn fail_if_proven(
        &mut self,
        keys: &[SubmissionKey],
        submission: &JobSubmission,
    ) -> bool {
        let Some(task) = self.crash_history.proven_task_of(submission.id) else { return false };
        self.counts.crashing_jobs += 1;
        self.log(LogEvent::GivenUp { job: submission.into(), task, age: Duration::ZERO });
        self.answer(keys, submission.id, Outcome::Failed);
        true
    }

    /// Whether a task may be started now. It has to wait if the budget for main suspects is used up, or
    /// until it is known whether the targets that were lost under it have crashed.
    pub(super) fn may_start(&self, task: TaskId, now: Moment) -> bool {
        match self.crash_history.suspicion(task) {
            Suspicion::None | Suspicion::Bystander => true,
            Suspicion::MainSuspect => self.crash_tokens.has(now, 1.0),
            Suspicion::Undecided | Suspicion::Proven => false,
        }
    }

    /// Whether a target was lost under a task.
    pub(super) fn is_suspect(&self, task: TaskId) -> bool {
        self.crash_history.suspicion(task) != Suspicion::None
    }

    /// Whether a suspect may be running on a target. No other task is started there meanwhile, so that
    /// the suspect harms none and only it is suspected if the target crashes.
    pub(super) fn hosts_suspect(&self, target: &Target) -> bool {
        !self.crash_history.is_empty() && target.runs.keys().any(|task| self.is_suspect(*task))
    }

    /// Takes the token of a suspect that is started.
    pub(super) fn on_suspect_started(&mut self, task: TaskId, now: Moment) {
        if self.crash_history.suspicion(task) == Suspicion::MainSuspect {
            self.crash_tokens.try_take(now, 1.0);
        }
    }

    /// Returns the token of a suspect whose run has ended without a crash, and another one once all
    /// suspects of its job are cleared: the crash had another cause, so more may be tried at a time.
    pub(super) fn on_suspect_ended(&mut self, task: TaskId, outcome: RunOutcome) {
        let suspicion = self.crash_history.suspicion(task);
        if outcome == RunOutcome::Done {
            self.crash_history.forget(task);
        }
        let is_lost = matches!(outcome, RunOutcome::Lost(cause) if cause.may_be_crash());
        if is_lost || suspicion != Suspicion::MainSuspect {
            return;
        }
        let is_cleared = !self.crash_history.has_suspects(task.job);
        self.crash_tokens.add(if is_cleared { 2.0 } else { 1.0 });
    }
}
