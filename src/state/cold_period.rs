//! Periods in which targets are slow, such as after their start.

use super::{
    target::{TargetIncarnation, TargetInfo},
    time::Moment,
};
use std::time::Duration;

/// Share of a target's CPU that is usable when the target has just become cold.
const MIN_COLD_SHARE: f64 = 0.25;

/// The last period in which a target was cold, and therefore slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdPeriod {
    /// Incarnation and remaining cold time of the list entry that was applied last. The same entry
    /// is listed again whenever another target changes, which doesn't prolong the period.
    entry: (TargetIncarnation, Duration),
    since: Moment,
    until: Moment,
}

impl ColdPeriod {
    /// Applies a list entry. An entry of the same incarnation with less time left adjusts the end
    /// of the current period; any other change to a cold target begins a new one.
    pub fn update(&mut self, info: &TargetInfo, now: Moment) {
        let entry = (info.incarnation, info.cold_for);
        if entry == self.entry {
            return;
        }
        let (incarnation, cold_for) = std::mem::replace(&mut self.entry, entry);
        if info.cold_for.is_zero() {
            self.until = self.until.min(now);
            return;
        }
        let is_countdown = info.incarnation == incarnation && info.cold_for < cold_for;
        if !(is_countdown && self.is_cold(now)) {
            self.since = now;
        }
        self.until = now + info.cold_for;
    }

    /// Returns true until the target has warmed up.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether the time from `start` to `end` overlaps the period.
    pub fn overlaps(&self, start: Moment, end: Moment) -> bool {
        start < self.until && end > self.since
    }

    /// Usable share of the target's CPU: a quarter at the beginning of the period, from
    /// where it rises linearly to 1 at its end.
    pub fn usable_share(&self, now: Moment) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        let elapsed = (now - self.since).as_secs_f64() / (self.until - self.since).as_secs_f64();
        MIN_COLD_SHARE + (1.0 - MIN_COLD_SHARE) * elapsed
    }
}
