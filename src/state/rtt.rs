//! Round-trip estimate, from which timeouts of requests to targets are derived.

use std::time::Duration;

/// Shortest timeout. Targets answer in a few milliseconds, and timers fire slightly late.
const MIN_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest timeout. A VM that has used up its processor share may be suspended for 0.1 s.
const MAX_TIMEOUT: Duration = Duration::from_millis(150);
/// Weight of a new sample in the mean, as in TCP's retransmission timer (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the mean deviation, as in RFC 6298.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of mean deviations in a timeout, beyond the mean, as in RFC 6298.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Estimates the time from a request to its answer and derives the timeout of the next request.
///
/// ```
/// use cranberrytray::state::rtt::RttEstimator;
/// use std::time::Duration;
///
/// let mut rtt = RttEstimator::default();
/// for _ in 0..50 {
///     rtt.observe(Duration::from_millis(2));
/// }
/// assert!(rtt.timeout() < Duration::from_millis(40));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RttEstimator {
    /// Smoothed mean time to an answer, in seconds.
    mean: f64,
    /// Smoothed mean deviation from `mean`, in seconds.
    deviation: f64,
}

impl Default for RttEstimator {
    fn default() -> Self {
        RttEstimator { mean: 0.0, deviation: MAX_TIMEOUT.as_secs_f64() / TIMEOUT_DEVIATIONS }
    }
}

impl RttEstimator {
    /// Records the time that a request took to be answered.
    pub fn observe(&mut self, response_time: Duration) {
        let error = response_time.as_secs_f64() - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }

    /// Records a request without an answer, which counts as one answered at the timeout.
    pub fn observe_timeout(&mut self) {
        self.observe(self.timeout());
    }

    /// Timeout of the next request.
    pub fn timeout(&self) -> Duration {
        let seconds = self.mean + TIMEOUT_DEVIATIONS * self.deviation;
        Duration::from_secs_f64(seconds).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
