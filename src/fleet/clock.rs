//! The clock that decisions are made by.

use crate::state::time::Moment;
use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// Counts from the start of the process, also while the machine is suspended, so that a process
/// that wakes notices how long it was away.
#[derive(Debug)]
pub struct Clock {
    boot: Duration,
    steady: Instant,
}

fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

impl Default for Clock {
    fn default() -> Self {
        Clock { boot: since_boot().unwrap_or_default(), steady: Instant::now() }
    }
}

impl Clock {
    /// A clock that shows zero now.
    pub fn new() -> Self {
        Clock::default()
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        let boot = since_boot().map(|now| now.saturating_sub(self.boot));
        Moment::new(boot.unwrap_or_else(|| self.steady.elapsed()))
    }
}
