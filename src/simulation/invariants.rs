//! The invariants, checked while a simulation runs and at its end.

use super::{
    engine::{CallerReply, SimulatedJob, Simulation},
    worker::{SimulatedWorker, TaskKey},
};
use crate::state::{
    id::{ConfigVersion, TaskRef},
    job::Answer,
};

impl Simulation {
    /// Checks invariant I1: no task is started twice, on the same worker or on two.
    pub(super) fn check_task_starts(&mut self, task: TaskKey) {
        let start_count = |w: &SimulatedWorker| w.starts_by_task().get(&task).copied().unwrap_or(0);
        let starts: u32 = self.workers.iter().map(start_count).sum();
        if starts > 1 {
            self.violations.push(format!("{}: {task:?} started {starts} times", self.now));
        }
    }

    /// Checks invariant I5: the configuration version in force never decreases during an
    /// incarnation.
    pub(super) fn check_config_version(&mut self, vm: usize, version: ConfigVersion) {
        if version < self.vms[vm].config_version {
            let before = self.vms[vm].config_version;
            self.violations.push(format!(
                "{}: vm {vm} went from configuration version {before} to {version}",
                self.now
            ));
        }
        self.vms[vm].config_version = version;
    }

    /// Checks the replies to the callers: no task of a job that was answered with `not_run` may
    /// have been started, and all answers of a job must be equal. To be called at the end.
    pub fn check_replies(&mut self) {
        let mut violations = Vec::new();
        for (index, job) in self.jobs.iter().enumerate() {
            violations.extend(self.check_job(index, job));
        }
        self.violations.extend(violations);
    }

    fn check_job(&self, job_index: usize, job: &SimulatedJob) -> Option<String> {
        let incarnation = job.id.issuer.incarnation.0;
        let was_started = (0..job.task_seconds.len() as u32).any(|index| {
            let task = TaskRef { number: job.id.number, index };
            self.workers
                .iter()
                .any(|w| w.starts_by_task().contains_key(&TaskKey { incarnation, task }))
        });
        let mut first: Option<&Answer> = None;
        for (_, reply) in &job.replies {
            let CallerReply::Answer(answer) = reply else { continue };
            if matches!(answer.as_ref(), Answer::NotRun { .. }) && was_started {
                return Some(format!(
                    "job {job_index}: a caller got not_run, but a task was started"
                ));
            }
            match first {
                None => first = Some(answer),
                Some(first) if first != answer.as_ref() => {
                    return Some(format!("job {job_index}: callers got {first:?} and {answer:?}"));
                }
                _ => {}
            }
        }
        None
    }
}
