//! Readings of targets' clocks, and what they tell about the time there.

use super::{target::TargetTime, time::Moment};

/// Most that a target's clock runs slow, in percent.
pub const MAX_CLOCK_SLOWNESS_PERCENT: u32 = 2;

/// A reading of a target's clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Time that the target's clock showed.
    pub time: TargetTime,
    /// Time at which the reading arrived here.
    pub received_at: Moment,
}

impl ClockReading {
    /// Returns the earliest time that the target's clock can show at `now`: the delay of the answer
    /// that contained the reading is taken as zero, and the clock as slow as it may be.
    ///
    /// ```
    /// use cranberrytray::state::{
    ///     target::TargetTime,
    ///     target_clock::ClockReading,
    ///     time::Moment,
    /// };
    /// use std::time::Duration;
    ///
    /// let reading = ClockReading { time: TargetTime(7_000), received_at: Moment::ZERO };
    /// let later = Moment::new(Duration::from_secs(10));
    /// assert_eq!(reading.earliest_at(later), TargetTime(16_800));
    /// ```
    pub fn earliest_at(self, now: Moment) -> TargetTime {
        let elapsed = (now - self.received_at) * (100 - MAX_CLOCK_SLOWNESS_PERCENT) / 100;
        self.time.saturating_add(elapsed)
    }
}
