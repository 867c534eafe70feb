//! Targets that are started again under their name, and start requests that reach the next incarnation.
//!
//! A target rejects a late start request by its clock. The clock of the next incarnation begins
//! anew, and that incarnation knows no stops and no fencing tokens, so it may accept the request. It is
//! voided by a stop that the new incarnation confirms.

use super::{Action, Dispatcher, SubmissionKey};
use crate::state::{
    job_submission::{RunNumber, TaskId},
    target::{Run, RunState, Target, TargetId, TargetIncarnation, UnansweredStart},
    time::Moment,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which no start request that was not answered is expected to be executed any more.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// Unanswered starts by target and task.
pub(super) type StartsOnUnlisted = IndexMap<TargetId, IndexMap<TaskId, UnansweredStart>>;

/// Returns the runs of a target that have ended, as their leases are over and the target doesn't
/// answer, or not to the stop of a run.
pub(super) fn expired_runs(target: &Target, now: Moment) -> Vec<(TaskId, RunNumber)> {
    let is_unconfirmed = |run: &Run| matches!(run.state, RunState::Stopping { ends_by: None, .. });
    let is_silent = target.unresponsive_since.is_some() || target.runs.values().any(is_unconfirmed);
    if !is_silent || target.latest_lease_end() >= now {
        return Vec::new();
    }
    // The leases don't bound a start that another incarnation may execute.
    let is_bounded = |run: &Run| {
        run.incarnation == target.incarnation
            || !run.has_unanswered_start
            || target.latest_lease_end() + MAX_ORDER_DELAY < now
    };
    let expired = target.runs.iter().filter(|(_, run)| is_bounded(run));
    expired.map(|(task, run)| (*task, run.number)).collect()
}

impl Target {
    /// Whether the answer to a request that was sent at `sent` comes from an earlier incarnation. A lower
    /// number alone doesn't show that, since the time of day may have been set back before the restart; but
    /// whoever answers a request that was sent after the present incarnation was known came after it.
    pub(super) fn is_former(&self, incarnation: TargetIncarnation, sent: Moment) -> bool {
        let is_replaced =
            incarnation < self.incarnation || self.former_incarnation == Some(incarnation);
        is_replaced && sent <= self.incarnation_known_at
    }

    /// Keeps the number of a closed run of which a start request was not answered.
    pub(super) fn record_unanswered_start(&mut self, task: TaskId, run: &Run, closed_at: Moment) {
        let incarnation = run.incarnation;
        let start = UnansweredStart { run: run.number, incarnation, closed_at };
        let known = self.unanswered_starts.entry(task).or_insert(start);
        known.run = known.run.max(run.number);
        if incarnation != self.incarnation {
            known.incarnation = incarnation;
        }
        known.closed_at = closed_at;
    }
}

impl Dispatcher {
    /// Records that a target has a new incarnation, which knows no earlier run and whose clock and
    /// numbers of ended runs begin anew. Start requests that were meant for the former incarnation
    /// may have reached this one, so runs are closed only when its reports lack them.
    pub(super) fn update_incarnation(
        &mut self,
        id: &TargetId,
        incarnation: TargetIncarnation,
        now: Moment,
    ) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if incarnation == target.incarnation {
            return;
        }
        target.incarnation_known_at = now;
        target.former_incarnation = Some(target.incarnation);
        let earlier = std::mem::replace(&mut target.incarnation, incarnation);
        target.clock = None;
        target.last_end_sequence = 0;
        self.log_restart(id, earlier);
    }

    /// Whether an unanswered start of a task may be sent again to a target. The first request may be
    /// lost, so that the second one starts the run: it must suit the target as it is now.
    pub(super) fn permits_repeated_start(&self, id: &TargetId, task: TaskId, now: Moment) -> bool {
        let Some(target) = self.targets.get(id) else { return false };
        let Some(run) = target.runs.get(&task) else { return false };
        let job = run.job.and_then(|key| self.jobs.get(&SubmissionKey(key)));
        run.incarnation == target.incarnation
            && target.accepts_tasks()
            && job.is_some_and(|job| self.permits_start(job, target, now))
    }

    /// Sends stops for the start requests that a target may still receive, although they were sent to
    /// an earlier incarnation; called with each report, until the target has confirmed them.
    pub(super) fn void_unanswered_starts(&mut self, id: &TargetId) {
        let Some(target) = self.targets.get(id) else { return };
        let is_due = |(task, start): &(&TaskId, &UnansweredStart)| {
            let running = target.runs.get(*task);
            start.incarnation != target.incarnation
                && running.is_none_or(|run| run.number > start.run)
        };
        let due = target.unanswered_starts.iter().filter(is_due);
        let stops: Vec<Action> = due
            .map(|(task, start)| Action::Stop(self.run_request(target, *task, start.run)))
            .collect();
        self.counts.stops += stops.len() as u64;
        self.actions.extend(stops);
    }

    /// Forgets the start requests that are not expected to be executed any more.
    pub(super) fn expire_unanswered_starts(&mut self, now: Moment) {
        let is_due = |start: &UnansweredStart| now - start.closed_at < MAX_ORDER_DELAY;
        for target in self.targets.values_mut() {
            target.unanswered_starts.retain(|_, start| is_due(start));
        }
        self.starts_on_unlisted.retain(|_, starts| {
            starts.retain(|_, start| is_due(start));
            !starts.is_empty()
        });
    }

    /// Forgets the start requests of a task that a confirmed stop has voided.
    pub(super) fn on_start_voided(&mut self, id: &TargetId, task: TaskId, number: RunNumber) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let incarnation = target.incarnation;
        let is_voided =
            |start: &UnansweredStart| start.run <= number && start.incarnation != incarnation;
        if target.unanswered_starts.get(&task).is_some_and(is_voided) {
            target.unanswered_starts.swap_remove(&task);
        }
    }
}
