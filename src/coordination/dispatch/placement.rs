//! Placement: which task is started on which target.

use super::{
    Action, Dispatcher, SubmissionKey, job::Job, replies::FULL_TARGET_PAUSE, reservation::PassPlan,
    size_match::run_time_class,
};
use crate::state::{
    fleet_config::QueueName,
    job_submission::{Step, TaskId},
    mechanism::Mechanism,
    start_answer::StartAnswer,
    target::{MAX_SLOTS, Run, RunState, Target, TargetId},
    time::Moment,
};
use std::{cmp::Ordering, time::Duration};

/// Number of jobs whose next task fits nowhere at which a pass over the queue ends; tasks of the
/// jobs behind them rarely fit either.
const MAX_BLOCKED_JOBS: usize = 6;
/// Number of jobs that are left waiting, those with smaller tasks behind the first
/// [`MAX_BLOCKED_JOBS`] included, at which a pass ends in any case; it bounds the cost of a pass.
const MAX_BLOCKED_BACKFILLS: usize = 12;
/// Largest number of start requests without an answer, each of which takes a connection. Answers take
/// milliseconds, so the largest sites have some dozens under way.
const MAX_PENDING_STARTS: usize = 512;
/// A target is preferred where a task would meet its job's objective even if it took this many
/// times its expected run time, since half of all tasks take longer than expected.
pub(super) const OBJECTIVE_SAFETY: f64 = 1.7;

/// A target on which a task could be started now.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    id: TargetId,
    /// Expected run time of the task.
    pub(super) run_time: Duration,
    /// Whether the task meets the objective of its job even if its run time is multiplied by the
    /// safety factor.
    in_time: bool,
    /// Class of the expected run time; lower is faster.
    time_class: i64,
    /// CPU that the start wastes, as sizes of other tasks show, in thousandths of a core.
    wasted_cpu: u64,
    /// Free CPU after the start of the task, in thousandths of a core.
    cpu_left: u64,
    /// Number of runs that a crash would take along, counted only if the task is a suspect.
    runs_at_risk: usize,
}

impl Candidate {
    /// Orders the best candidate first. Among those that meet the objective the slowest is best,
    /// since the fast ones are kept for tasks that meet it nowhere else; among equal ones, the one
    /// that wastes the least CPU and has the least left (best fit).
    fn compare(&self, other: &Self) -> Ordering {
        let sort_key = |c: &Self| {
            let by_run_time = if c.in_time { -c.time_class } else { c.time_class };
            (c.runs_at_risk, !c.in_time, by_run_time, c.wasted_cpu, c.cpu_left)
        };
        sort_key(self).cmp(&sort_key(other))
    }

    /// Orders the fastest candidate first.
    fn compare_run_time(&self, other: &Self) -> Ordering {
        let sort_key = |c: &Self| (c.runs_at_risk, c.run_time, c.cpu_left);
        sort_key(self).cmp(&sort_key(other))
    }
}

impl Dispatcher {
    /// Factor applied to expected run times when checking whether a task meets the objective.
    fn safety_factor(&self) -> f64 {
        if self.enables(Mechanism::ObjectiveSafety) { OBJECTIVE_SAFETY } else { 1.0 }
    }

    /// Number of start requests that may be sent until others are answered.
    pub(super) fn starts_left(&self) -> usize {
        let runs = self.targets.values().flat_map(|target| target.runs.values());
        let pending = runs.filter(|run| run.state == RunState::Starting).count();
        MAX_PENDING_STARTS.saturating_sub(pending)
    }

    /// Starts waiting tasks, those of the most urgent job first, while targets have free resources.
    pub(super) fn start_waiting_tasks(&mut self, now: Moment) {
        if self.queued_jobs.is_empty() || !self.is_active {
            return;
        }
        let keys: Vec<SubmissionKey> = self.queued_jobs.iter().map(|rank| rank.key).collect();
        let mut plan = self.new_pass_plan();
        let mut blocked_jobs = 0;
        for key in keys {
            if plan.starts_left == 0 {
                self.counts.held_passes += 1;
                return;
            }
            if blocked_jobs >= MAX_BLOCKED_JOBS
                && (blocked_jobs >= MAX_BLOCKED_BACKFILLS || !self.may_backfill(key, &plan))
            {
                if plan.large_task_pools.is_empty() || blocked_jobs >= MAX_BLOCKED_BACKFILLS {
                    return;
                }
                continue;
            }
            if !self.start_tasks_of(key, &mut plan, now) {
                blocked_jobs += 1;
            }
        }
    }

    /// Starts the waiting tasks of a job. Returns false if one of them is left waiting because no
    /// target suits it now.
    fn start_tasks_of(&mut self, key: SubmissionKey, plan: &mut PassPlan, now: Moment) -> bool {
        loop {
            let Some(job) = self.jobs.get(&key) else { return true };
            if plan.starts_left == 0 || self.has_silent_submitter(key, now) {
                break;
            }
            // Suspects that have to wait block neither their job nor others.
            let startable = job.waiting_tasks.iter().position(|task| self.may_start(*task, now));
            let Some(position) = startable else { break };
            let Some(&task) = job.waiting_tasks.get(position) else { break };
            let Some(step) = job.step(task).cloned() else { break };
            let Some(best) = self.best_target(key, task, &step, plan, now) else {
                self.reserve(plan, key, task, &step, now);
                self.update_queue(key);
                return false;
            };
            if self.refuse_wide_job(key, plan, now) {
                return true;
            }
            if let Some(job) = self.jobs.get_mut(&key) {
                job.waiting_tasks.remove(position);
            }
            self.start_run(key, task, &step, &best, now);
            plan.starts_left -= 1;
        }
        self.update_queue(key);
        true
    }

    /// Returns the best target for a task, or `None` if it fits nowhere now.
    fn best_target(
        &self,
        key: SubmissionKey,
        task: TaskId,
        step: &Step,
        plan: &PassPlan,
        now: Moment,
    ) -> Option<Candidate> {
        let job = self.jobs.get(&key)?;
        let rack = self.preferred_rack(key, step);
        let chain_after = job.chain_after(task);
        // A failed task is not repeated on the same target while another one may run it.
        let failed_on = job.tasks.get(&task).and_then(|state| state.failed_on.as_ref());
        let has_other = |failed_on: &TargetId| {
            let mut others = self.targets.values().filter(|t| t.info.id != *failed_on);
            others.any(|t| self.is_eligible(job, step, t, now))
        };
        let avoided = failed_on.filter(|failed_on| has_other(failed_on));
        let fits = |t: &&Target| {
            avoided != Some(&t.info.id)
                && t.runs.len() < MAX_SLOTS as usize
                && step.needs.fits_in(t.startable_resources(now))
                && self.is_eligible(job, step, t, now)
                && !self.hosts_suspect(t)
                && !t.runs.contains_key(&task)
                && step
                    .most_per_target
                    .is_none_or(|most| job.running_on(task.step, &t.info.id) < most)
        };
        let safety_factor = self.safety_factor();
        let is_suspect = self.is_suspect(task);
        let size_match = self.size_match(key, step, plan);
        let candidates = self.targets.values().filter(fits).filter_map(|t| {
            let mut run_time = self
                .expected_run_time(&job.submission.queue, step, t)
                .mul_f64(job.run_time_ratio());
            if rack.as_ref().is_some_and(|rack| !t.info.has_label(rack)) {
                run_time = run_time.mul_f64(self.timing.off_rack_factor);
            }
            if now + run_time + chain_after > job.deadline {
                return None;
            }
            if !plan.allows(t, step.needs, run_time, now) {
                return None;
            }
            let in_time = now + (run_time + chain_after).mul_f64(safety_factor) <= job.objective;
            let cpu_left = t.startable_resources(now).saturating_sub(step.needs).cpu.0;
            let runs_at_risk = if is_suspect { t.runs.len() } else { 0 };
            let (time_class, wasted_cpu) = match &size_match {
                Some(sizes) => (run_time_class(run_time), sizes.wasted_cpu(t, step.needs.cpu.0)),
                None => (run_time.as_millis() as i64 / 10, 0),
            };
            let id = t.info.id.clone();
            Some(Candidate {
                id,
                run_time,
                in_time,
                time_class,
                wasted_cpu,
                cpu_left,
                runs_at_risk,
            })
        });
        let compare = if self.enables(Mechanism::SlowestInTime) {
            Candidate::compare
        } else {
            Candidate::compare_run_time
        };
        candidates.min_by(compare)
    }

    /// Whether tasks of a step may be started on a target once enough of its resources are free.
    pub(super) fn is_eligible(&self, job: &Job, step: &Step, target: &Target, now: Moment) -> bool {
        let pool = self.config.queue(&job.submission.queue).map(|queue| &queue.pool);
        pool == Some(&target.info.pool)
            && self.is_available(target, now)
            && self.permits_start(job, target, now)
            && step.needs.fits_in(target.info.capacity)
            && step.required.as_ref().is_none_or(|label| target.info.has_label(label))
    }

    /// Expected run time of a task on the fastest eligible target, free or not.
    pub(super) fn min_run_time(
        &self,
        key: SubmissionKey,
        step: &Step,
        now: Moment,
    ) -> Option<Duration> {
        let job = self.jobs.get(&key)?;
        let targets = self.targets.values().filter(|t| self.is_eligible(job, step, t, now));
        let times = targets.map(|t| self.expected_run_time(&job.submission.queue, step, t));
        Some(times.min()?.mul_f64(job.run_time_ratio()))
    }

    /// Rack on which the tasks of a step should run: that of their data, or that of a running task
    /// of the job.
    fn preferred_rack(
        &self,
        key: SubmissionKey,
        step: &Step,
    ) -> Option<crate::state::fleet_config::Label> {
        if step.near.is_some() || !step.same_rack {
            return step.near.clone();
        }
        let job = self.jobs.get(&key)?;
        let target = job.tasks.values().find_map(|t| t.target.as_ref())?;
        self.targets.get(target)?.info.labels.get(1).cloned()
    }

    /// Expected run time of a task on a target.
    pub(super) fn expected_run_time(
        &self,
        queue: &QueueName,
        step: &Step,
        target: &Target,
    ) -> Duration {
        let base = self.base_run_time(queue, step);
        base.mul_f64(self.target_slowness(target))
    }

    /// Expected run time of a task on a target of usual speed.
    pub(super) fn base_run_time(&self, queue: &QueueName, step: &Step) -> Duration {
        let declared = self.declared_ms(step.declared);
        Duration::from_secs_f64(self.run_times.expected_seconds(queue, declared))
    }

    fn start_run(
        &mut self,
        key: SubmissionKey,
        task: TaskId,
        step: &Step,
        best: &Candidate,
        now: Moment,
    ) {
        let end_by = self.runs_end_by(key).into_iter().chain(self.leases_end_by(&best.id)).min();
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(target) = self.targets.get_mut(&best.id) else { return };
        let Some(lease) = self.timing.new_lease(target, end_by, now) else {
            target.no_starts_until = now + FULL_TARGET_PAUSE;
            job.waiting_tasks.push_front(task);
            return;
        };
        let number = job.next_run(task);
        if let Some(task_state) = job.tasks.get_mut(&task) {
            task_state.target = Some(best.id.clone());
        }
        job.start_sent = true;
        let run = Run {
            number,
            job: Some(key.0),
            needs: step.needs,
            incarnation: target.incarnation,
            state: RunState::Starting,
            first_sent_at: now,
            start_sent_at: now,
            start_attempts: 1,
            start_answer: StartAnswer::Pending,
            lease_end: lease.end,
            has_unanswered_start: false,
            pending_lease_end: Some(lease.latest_end),
            expected_duration: best.run_time,
            expected_end: now + best.run_time,
            stalled: false,
            progress_percent: 0,
            min_projected_duration: None,
            slow: false,
            must_end_by: None,
        };
        target.add_run(task, run);
        let spec = job.submission.spec.clone();
        let target = &self.targets[&best.id];
        let request = self.run_request(target, task, number);
        self.on_suspect_started(task, now);
        self.counts.starts += 1;
        self.actions.push(Action::Start { request, spec, lease_end: lease.end });
    }
}
