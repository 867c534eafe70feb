//! Counters of what a dispatcher has decided.

use super::run_log::UnusualRunCounts;
use derive_more::Add;

/// Counters of one dispatcher, exported as metrics.
#[derive(Clone, Copy, Debug, Default, Add)]
pub struct Counts {
    /// Jobs admitted.
    pub admitted: u64,
    /// Jobs refused, at once or while waiting.
    pub refused: u64,
    /// Jobs redirected or refused because this dispatcher was far behind its work.
    pub shed_for_lag: u64,
    /// Jobs redirected to another zone.
    pub redirected: u64,
    /// Jobs redirected to another zone because this one is evacuated.
    pub evacuation_redirects: u64,
    /// Jobs of which every task succeeded.
    pub completed: u64,
    /// Jobs answered with an unknown outcome, since they may have run.
    pub unknown: u64,
    /// Start requests sent, repeated ones included.
    pub starts: u64,
    /// Passes over the queue that ended because too many start requests had no answer.
    pub held_passes: u64,
    /// Start requests refused because the task didn't fit on the target.
    pub capacity_refusals: u64,
    /// Stop requests sent, repeated ones included.
    pub stops: u64,
    /// Runs that ended with a failure.
    pub failed_runs: u64,
    /// Runs lost to an expired lease or a new incarnation of their target.
    pub lost_runs: u64,
    /// Jobs that failed because one of their tasks crashes its targets.
    pub crashing_jobs: u64,
    /// Runs stopped to be restarted elsewhere, because they were far behind or would end too late.
    pub stragglers: u64,
    /// Runs that were closed without the target's report, or found later.
    pub unusual_runs: UnusualRunCounts,
    /// Outlier ejections of targets.
    pub ejections: u64,
    /// Requests that targets rejected because they had seen a higher fencing token.
    pub fenced_requests: u64,
    /// Takeovers of the zone by this VM.
    pub takeovers: u64,
}
