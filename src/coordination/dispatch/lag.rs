//! What a dispatcher does when it is behind its work: each job that it considers makes the others
//! later, and leases expire that it renews too late.

use super::{Dispatcher, SubmissionKey};
use crate::state::{
    job_submission::{CallerJobId, JobSubmission, Refusal},
    mechanism::Mechanism,
    time::Moment,
};
use std::time::Duration;

/// Lag from which new jobs are not considered any more: a start and the report of its end would
/// wait for so long, and a lease of 0.9 s is renewed every 0.3 s.
const MAX_LAG: Duration = Duration::from_millis(150);
/// Shortest retry delay of a job that is refused because of lag.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Retry delays are spread over this time, so that the callers don't return together.
const RETRY_SPREAD: u64 = 1_600;

/// Retry delay of a job that is refused because of lag, which differs from job to job.
fn spread_retry(id: CallerJobId) -> Duration {
    // The golden ratio spreads ids that follow each other.
    let spread = id.number().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    MIN_RETRY_AFTER + Duration::from_millis(spread % RETRY_SPREAD)
}

impl Dispatcher {
    /// Time for which work waits until this process turns to it.
    pub(super) fn lag(&self) -> Duration {
        if self.enables(Mechanism::LagShedding) { self.lag_meter.lag() } else { Duration::ZERO }
    }

    /// Whether new jobs are not considered because this dispatcher is too far behind.
    pub(super) fn sheds_for_lag(&self) -> bool {
        self.lag() >= MAX_LAG
    }

    /// Redirects a job to a shard that has spare CPU, or refuses it, without a forecast.
    pub(super) fn shed_for_lag(
        &mut self,
        key: SubmissionKey,
        submission: &JobSubmission,
        may_redirect: bool,
        now: Moment,
    ) {
        self.counts.shed_for_lag += 1;
        let cpu = submission.total_cpu();
        let has_suspects = self.crash_history.has_suspects(submission.id);
        let shard = if may_redirect && !has_suspects { self.ample_shard(cpu, now) } else { None };
        match shard {
            Some(shard) => self.redirect_to_shard(&[key], submission.id, shard, cpu, now),
            None => {
                let delay = spread_retry(submission.id);
                self.refuse(&[key], submission, Refusal::QueueFull, delay, self.lag());
            }
        }
    }
}
