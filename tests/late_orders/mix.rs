//! How often and for how long the steps of a schedule are delayed.

use rand::{Rng, rngs::SmallRng};
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Shares of steps that are delayed or fail, each drawn by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    pub zones: usize,
    pub targets_per_zone: usize,
    /// Largest part by which a target's clock is slow.
    pub clock_slowness: f64,
    /// Time without jobs and faults before the first job.
    pub quiet: Duration,
    pub jobs: u64,
    /// Jobs whose tasks run for up to 8 s, for callers that wait as long.
    pub long_jobs: f64,
    /// Orders sent long after the decision.
    pub late_sends: f64,
    /// Orders carried out 0.05 to 1 s late.
    pub late_orders: f64,
    /// Orders carried out 2 to 12 s late, after newer ones.
    pub very_late_orders: f64,
    pub lost_replies: f64,
    pub late_replies: f64,
    /// Submissions read 0.05 to 4 s late.
    pub late_submissions: f64,
    /// Attempts whose entry VM or connection is lost.
    pub broken_attempts: f64,
    /// Lost entry VMs that the dispatcher notices only by missing heartbeats.
    pub silent_breaks: f64,
    /// Mean number of pauses of a dispatcher in a schedule.
    pub pauses: f64,
    /// Mean number of crashes of a target.
    pub crashes: f64,
    /// Mean number of freezes of a target.
    pub freezes: f64,
    /// Mean number of times that a target can't be reached.
    pub cuts: f64,
    /// Whether orders sent to a crashed target may be carried out by its next incarnation.
    pub orders_outlive_crashes: bool,
    /// Mean number of replaced dispatchers.
    pub replacements: f64,
}

impl Mix {
    /// Late orders only, one dispatcher, exact clocks.
    pub const LATE_ORDERS: Mix = Mix {
        zones: 1,
        targets_per_zone: 4,
        clock_slowness: 0.0,
        quiet: Duration::from_millis(300),
        jobs: 24,
        long_jobs: 0.0,
        late_sends: 0.0,
        late_orders: 0.1,
        very_late_orders: 0.2,
        lost_replies: 0.03,
        late_replies: 0.03,
        late_submissions: 0.0,
        broken_attempts: 0.1,
        silent_breaks: 0.0,
        pauses: 0.0,
        crashes: 0.0,
        freezes: 0.0,
        cuts: 4.0,
        orders_outlive_crashes: false,
        replacements: 0.0,
    };

    /// As [`Mix::LATE_ORDERS`], on clocks that have been slow for a minute and a half.
    pub const SLOW_CLOCKS: Mix =
        Mix { clock_slowness: 0.02, quiet: Duration::from_secs(90), ..Mix::LATE_ORDERS };

    /// Everything but slow clocks and crashes, with two dispatchers.
    pub const ALL: Mix = Mix {
        zones: 2,
        targets_per_zone: 3,
        late_sends: 0.05,
        late_submissions: 0.05,
        silent_breaks: 0.3,
        pauses: 2.0,
        freezes: 0.5,
        replacements: 0.7,
        very_late_orders: 0.1,
        cuts: 2.0,
        ..Mix::LATE_ORDERS
    };

    /// As [`Mix::ALL`], with jobs that outlast dispatchers and list entries, and several takeovers.
    pub const LONG_JOBS: Mix =
        Mix { long_jobs: 0.5, replacements: 2.0, crashes: 0.3, jobs: 16, ..Mix::ALL };

    /// As [`Mix::LATE_ORDERS`], with targets that crash and start again under the same name.
    pub const CRASHES: Mix = Mix { crashes: 1.5, cuts: 2.0, ..Mix::LATE_ORDERS };

    /// Two zones whose dispatchers notice lost entry VMs late.
    pub const SILENT_BREAKS: Mix = Mix {
        zones: 2,
        targets_per_zone: 3,
        broken_attempts: 0.4,
        silent_breaks: 1.0,
        ..Mix::LATE_ORDERS
    };

    /// Dispatchers that are replaced, some of which go on for a while.
    pub const REPLACEMENTS: Mix = Mix {
        replacements: 4.0,
        pauses: 1.0,
        cuts: 1.0,
        late_orders: 0.05,
        very_late_orders: 0.05,
        ..Mix::LATE_ORDERS
    };
}

/// A duration of about `usual`, exponentially distributed.
pub fn exponential(rng: &mut SmallRng, usual: Duration) -> Duration {
    usual.mul_f64(-rng.random_range(1e-4..1.0f64).ln())
}

/// A duration from `min` to `max`, of which each order of magnitude is as probable.
pub fn log_uniform(rng: &mut SmallRng, min: Duration, max: Duration) -> Duration {
    let range = min.as_secs_f64().ln()..max.as_secs_f64().ln();
    Duration::from_secs_f64(rng.random_range(range).exp())
}

/// Number of events in a schedule that has `mean` of them on average.
pub fn count(rng: &mut SmallRng, mean: f64) -> usize {
    (0..8).filter(|_| rng.random_bool((mean / 8.0).min(1.0))).count()
}
