//! Timeouts of a dispatcher, derived from the bounds that the platform declares.

use crate::state::{
    target::{Target, TargetTime},
    target_clock::MAX_CLOCK_SLOWNESS_PERCENT,
    time::Moment,
};
use derive_more::{Display, Error};
use std::time::Duration;

/// Added to the duration of a lease on this VM's clock, for late timers.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(40);
/// Shortest lease that is kept alive: a renewal is sent every third of it, and may take 50 ms.
pub(super) const MIN_LEASE: Duration = Duration::from_millis(150);
/// Longest lease that is requested; a longer one only makes takeovers slower.
const MAX_LEASE: Duration = Duration::from_millis(900);
/// Added to the longest duration of a stop, for late timers and the round trip.
const STOP_MARGIN: Duration = Duration::from_millis(15);
/// Time from the end of a stopped run to the start of the next run of its task.
const RESTART_MARGIN: Duration = Duration::from_millis(10);

/// Longest time for which a submitter on a sound connection that carries jobs is not proven alive: two
/// heartbeat intervals, a round trip and the delay of a VM that has used up its processor share.
pub const USUAL_SILENCE: Duration = Duration::from_millis(300);
/// Time since a submitter was last proven alive after which its jobs are cancelled where leases can be
/// renewed for so long. It is longer than the timeout of a heartbeat plus the interval on connections
/// that carry jobs, so that the submitter closes the connection first.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(650);

/// Bounds that the platform declares for leases, runs and the list of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunBounds {
    /// Longest lease that a target grants.
    pub max_lease: Duration,
    /// Longest time from the confirmation of a stop to the end of the run.
    pub max_stop: Duration,
    /// Time after which a caller whose connection broke submits its job again.
    pub resubmit_delay: Duration,
    /// Factor by which tasks take longer on another rack than their data or the other tasks of
    /// their step.
    pub off_rack_factor: f64,
    /// Shortest time for which the list has the entry of a target, also of one that is silent since.
    pub entry_lifetime: Duration,
}

impl Default for RunBounds {
    fn default() -> Self {
        RunBounds {
            max_lease: Duration::from_millis(1_000),
            max_stop: Duration::from_millis(50),
            resubmit_delay: Duration::from_millis(1_300),
            off_rack_factor: 1.5,
            entry_lifetime: Duration::from_millis(4_500),
        }
    }
}

/// Why no timeouts can be derived from bounds.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
pub enum TimingError {
    /// Leases would expire between two renewals.
    #[display(
        "leases of {lease:?} are too short, {MIN_LEASE:?} are needed: they may last at most \
         {max_lease:?}, and must end before jobs are submitted again after {resubmit_delay:?}, of \
         which a live submitter may be silent for {USUAL_SILENCE:?}"
    )]
    LeaseTooShort {
        /// Longest lease that keeps both bounds.
        lease: Duration,
        /// [`RunBounds::max_lease`].
        max_lease: Duration,
        /// [`RunBounds::resubmit_delay`].
        resubmit_delay: Duration,
    },
    /// The factor is not a number from 1 on.
    #[display("the off-rack factor is {factor}, at least 1 is needed")]
    OffRackFactor {
        /// [`RunBounds::off_rack_factor`].
        factor: f64,
    },
}

/// Longest time that a lease of this length on a target's clock takes on this VM's clock.
fn bound_of(lease: Duration) -> Duration {
    lease + lease * MAX_CLOCK_SLOWNESS_PERCENT / 100 + LEASE_MARGIN
}

/// Length of the lease on a target's clock that has ended after `bound` on this VM's clock.
fn lease_within(bound: Duration) -> Duration {
    bound.saturating_sub(LEASE_MARGIN) * 100 / (100 + MAX_CLOCK_SLOWNESS_PERCENT)
}

/// A lease that a request grants to the runs of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    /// End on the target's clock.
    pub end: TargetTime,
    /// Latest end on this VM's clock.
    pub latest_end: Moment,
}

/// Timeouts of a dispatcher.
///
/// ```
/// use cranberrytray::coordination::dispatch::timing::{RunBounds, Timing};
/// use std::time::Duration;
///
/// let timing = Timing::try_from(RunBounds::default()).unwrap();
/// assert_eq!(timing.lease, Duration::from_millis(900));
/// let short = RunBounds { max_lease: Duration::from_millis(100), ..RunBounds::default() };
/// assert!(Timing::try_from(short).is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Length of a lease on the target's clock.
    pub lease: Duration,
    /// Upper bound of a lease on this VM's clock.
    pub lease_bound: Duration,
    /// Longest time for which a target may delay the answer to a lease renewal while no run ends;
    /// half a lease is left in case an answer is lost.
    pub renewal_wait: Duration,
    /// Time from the confirmation of a stop after which the run has ended.
    pub stop: Duration,
    /// Assumed time from the decision to stop a run to the start of the next run of its task.
    pub restart_delay: Duration,
    /// As [`RunBounds::resubmit_delay`].
    pub resubmit_delay: Duration,
    /// Longest gap between two calls before the process counts as suspended; after a longer one,
    /// leases may have expired.
    pub suspension_threshold: Duration,
    /// Time since a submitter was last proven alive after which its jobs are cancelled.
    pub unresponsive_timeout: Duration,
    /// As [`RunBounds::off_rack_factor`].
    pub off_rack_factor: f64,
    /// As [`RunBounds::entry_lifetime`].
    pub entry_lifetime: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing::derive(RunBounds::default())
    }
}

impl Timing {
    fn derive(bounds: RunBounds) -> Self {
        // A run must have ended before its job may be submitted again, with a quarter to spare, and also
        // if its submitter was last proven alive `USUAL_SILENCE` before the lease is granted.
        let delay = bounds.resubmit_delay;
        let before_resubmission = (delay * 3 / 4).min(delay.saturating_sub(USUAL_SILENCE));
        let lease = (bounds.max_lease * 9 / 10).min(lease_within(before_resubmission));
        let lease = Duration::from_millis(lease.min(MAX_LEASE).as_millis() as u64);
        Timing {
            lease,
            lease_bound: bound_of(lease),
            renewal_wait: lease / 3,
            stop: bounds.max_stop * 100 / (100 - MAX_CLOCK_SLOWNESS_PERCENT) + STOP_MARGIN,
            restart_delay: bounds.max_stop + RESTART_MARGIN,
            resubmit_delay: delay,
            suspension_threshold: lease * 13 / 18,
            unresponsive_timeout: delay
                .saturating_sub(bound_of(MIN_LEASE))
                .min(UNRESPONSIVE_TIMEOUT),
            off_rack_factor: bounds.off_rack_factor,
            entry_lifetime: bounds.entry_lifetime,
        }
    }

    /// Returns a lease for a target's runs, which must have ended by `end_by`. Returns `None` if too
    /// little time is left, while the target's clock is unknown, and while a stop is unconfirmed, so
    /// that the run to be stopped ends with its lease.
    pub(super) fn new_lease(
        &self,
        target: &Target,
        end_by: Option<Moment>,
        now: Moment,
    ) -> Option<Lease> {
        let clock = target.clock?;
        if target.has_unconfirmed_stop(now) {
            return None;
        }
        let left = end_by.map_or(self.lease_bound, |end_by| end_by - now).min(self.lease_bound);
        let lease = lease_within(left);
        if lease < MIN_LEASE {
            return None;
        }
        let end = clock.earliest_at(now).saturating_add(lease);
        Some(Lease { end, latest_end: now + left })
    }
}

impl TryFrom<RunBounds> for Timing {
    type Error = TimingError;

    fn try_from(bounds: RunBounds) -> Result<Self, TimingError> {
        let factor = bounds.off_rack_factor;
        if !(1.0..=1e3).contains(&factor) {
            return Err(TimingError::OffRackFactor { factor });
        }
        let timing = Timing::derive(bounds);
        if timing.lease < MIN_LEASE {
            return Err(TimingError::LeaseTooShort {
                lease: timing.lease,
                max_lease: bounds.max_lease,
                resubmit_delay: bounds.resubmit_delay,
            });
        }
        Ok(timing)
    }
}
