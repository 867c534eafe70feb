//! How long to wait for an answer, from the answers seen so far.

use std::time::Duration;

/// Shortest wait; a target answers in a few milliseconds, and timers fire a little late.
const SHORTEST: Duration = Duration::from_millis(30);
/// Longest wait: a VM may stand still for a tenth of a second where its processor share is used up.
const LONGEST: Duration = Duration::from_millis(150);
/// Weights of a new answer in mean and deviation, and deviations waited beyond the mean: those of
/// TCP's retransmission timer (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;

/// Estimates how long answers take.
///
/// ```
/// use cranberrytray::state::patience::Patience;
/// use std::time::Duration;
///
/// let mut patience = Patience::default();
/// for _ in 0..50 {
///     patience.answered(Duration::from_millis(2));
/// }
/// assert!(patience.limit() < Duration::from_millis(40));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Mean time to an answer, in seconds.
    mean: f64,
    /// Mean deviation from it, in seconds.
    deviation: f64,
}

impl Default for Patience {
    fn default() -> Self {
        Patience { mean: 0.0, deviation: LONGEST.as_secs_f64() / DEVIATIONS }
    }
}

impl Patience {
    /// An answer that took this long.
    pub fn answered(&mut self, took: Duration) {
        let miss = took.as_secs_f64() - self.mean;
        self.mean += MEAN_WEIGHT * miss;
        self.deviation += DEVIATION_WEIGHT * (miss.abs() - self.deviation);
    }

    /// No answer came within the limit; it counts as one that took as long.
    pub fn missed(&mut self) {
        self.answered(self.limit());
    }

    /// How long to wait for the next one.
    pub fn limit(&self) -> Duration {
        let seconds = self.mean + DEVIATIONS * self.deviation;
        Duration::from_secs_f64(seconds).clamp(SHORTEST, LONGEST)
    }
}
