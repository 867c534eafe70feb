//! Monotonic time that is passed to the decision logic, which reads no clock itself.

use derive_more::Display;
use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time on a process's monotonic clock, counted from the start of the process.
///
/// Moments of different processes can't be compared. Tests and simulations create moments of their
/// own.
///
/// ```
/// use cranberrytray::state::time::Moment;
/// use std::time::Duration;
///
/// let start = Moment::ZERO;
/// let later = start + Duration::from_millis(5);
/// assert_eq!(later - start, Duration::from_millis(5));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{:.6}s", _0.as_secs_f64())]
pub struct Moment(Duration);

impl Moment {
    /// The start of the process.
    pub const ZERO: Moment = Moment(Duration::ZERO);

    /// Returns the moment `since_start` after the start of the process.
    pub const fn new(since_start: Duration) -> Self {
        Moment(since_start)
    }

    /// Time from the start of the process to this moment.
    pub const fn since_start(self) -> Duration {
        self.0
    }
}

/// Returns `factor` times a duration, or the longest duration if that is longer. A factor that is
/// negative or no number counts as 0.
///
/// ```
/// use cranberrytray::state::time::scale;
/// use std::time::Duration;
///
/// assert_eq!(scale(Duration::from_secs(2), 1.5), Duration::from_secs(3));
/// assert_eq!(scale(Duration::from_secs(2), 1e300), Duration::MAX);
/// assert_eq!(scale(Duration::from_secs(2), -1.0), Duration::ZERO);
/// ```
pub fn scale(duration: Duration, factor: f64) -> Duration {
    let seconds = (duration.as_secs_f64() * factor).max(0.0);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    /// The moment `duration` earlier; [`Moment::ZERO`] if that is before the start of the process.
    fn sub(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_sub(duration))
    }
}

impl Sub for Moment {
    type Output = Duration;

    /// Time from `earlier` to `self`; zero if `earlier` is later.
    fn sub(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
