//! The memory that open jobs take, and the jobs that are refused because there is no room for them.

use super::{Dispatcher, SubmissionKey};
use crate::state::{
    job_submission::{JobSubmission, Outcome, Refusal},
    memory_budget::{MemoryBudget, MemoryUse},
    resources::ByteSize,
};
use std::time::Duration;

/// Memory for open jobs, unless another amount is set.
pub const DEFAULT_JOB_MEMORY: ByteSize = ByteSize(32 << 20);
/// Retry delay of a job for which there is no room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Sets the memory for open jobs. Jobs that would take more are refused; a single one never is, and
    /// large ones leave half of it to the others.
    pub fn limit_job_memory(&mut self, limit: ByteSize) {
        self.job_memory = MemoryBudget::new(limit);
    }

    /// Memory that the open jobs take, deferred ones included.
    pub fn used_job_memory(&self) -> ByteSize {
        self.job_memory_use().total()
    }

    fn job_memory_use(&self) -> MemoryUse {
        let jobs = self.jobs.values().map(|job| job.memory);
        let deferred = self.deferred.iter().map(|deferred| deferred.memory);
        jobs.chain(deferred).map(|size| self.job_memory.use_of(size)).sum()
    }

    /// Whether there is room for another job.
    pub(super) fn has_room_for(&self, submission: &JobSubmission) -> bool {
        self.job_memory.admits(self.job_memory_use(), submission.dispatch_memory())
    }

    /// Refuses a job for which there is no room. If `may_have_run`, runs of it may be left, and its outcome
    /// is unknown.
    pub(super) fn refuse_for_memory(
        &mut self,
        key: SubmissionKey,
        submission: &JobSubmission,
        may_have_run: bool,
    ) {
        if may_have_run {
            return self.answer(&[key], submission.id, Outcome::Unknown);
        }
        let expected = Duration::ZERO;
        self.refuse(&[key], submission, Refusal::QueueFull, RETRY_AFTER, expected);
    }
}
