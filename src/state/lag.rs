//! How far behind its work a process is, measured by a timer that fires late.

use super::time::Moment;
use std::time::Duration;

/// Measures lag: the time for which work waits because the process is busy.
///
/// ```
/// use cranberrytray::state::{lag::LagMeter, time::Moment};
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut meter = LagMeter::new(ms(25));
/// let start = Moment::new(ms(1_000));
/// meter.on_timer(start);
/// meter.on_timer(start + ms(27));
/// assert_eq!(meter.lag(), ms(2));
/// meter.on_timer(start + ms(27) + ms(425));
/// assert_eq!(meter.lag(), ms(400));
/// // A single timely call does not show that all work is done.
/// meter.on_timer(start + ms(27) + ms(425) + ms(25));
/// assert_eq!(meter.lag(), ms(200));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LagMeter {
    interval: Duration,
    last_call: Option<Moment>,
    lag: Duration,
}

impl LagMeter {
    /// Creates a meter for a timer with this interval.
    pub fn new(interval: Duration) -> Self {
        LagMeter { interval, last_call: None, lag: Duration::ZERO }
    }

    /// Records that the timer fired.
    pub fn on_timer(&mut self, now: Moment) {
        let gap = self.last_call.replace(now).map_or(Duration::ZERO, |last| now - last);
        self.lag = gap.saturating_sub(self.interval).max(self.lag / 2);
    }

    /// The lag: that of the last call, or half of the one before if that is longer.
    pub fn lag(&self) -> Duration {
        self.lag
    }
}
