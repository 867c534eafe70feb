//! Clock that supplies the current moment to the dispatcher's decision core.

use crate::state::time::Moment;
use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// Measures the time since the start of the process. It also advances while the machine is
/// suspended, so that the process can measure how long it was suspended.
#[derive(Debug)]
pub struct Clock {
    /// Time from the boot of the machine to the start of the process.
    start: Duration,
    /// Start of the process on the monotonic clock, in case the boot clock can't be read.
    fallback_start: Instant,
}

/// Time since the boot of the machine, suspension included.
fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

impl Default for Clock {
    fn default() -> Self {
        Clock { start: since_boot().unwrap_or_default(), fallback_start: Instant::now() }
    }
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn new() -> Self {
        Clock::default()
    }

    /// Returns the time since the start of the process as a moment.
    pub fn now(&self) -> Moment {
        let elapsed = since_boot().map(|now| now.saturating_sub(self.start));
        Moment::new(elapsed.unwrap_or_else(|| self.fallback_start.elapsed()))
    }
}
