//! Which targets are fast: those that long tasks with a hard deadline should run on.

use super::Dispatcher;
use crate::state::{mechanism::Mechanism, target::Target};

/// Targets with at most this slowness are fast; 1 is usual.
const MAX_FAST_SLOWNESS: f64 = 0.8;
/// If fewer targets than this share are below [`MAX_FAST_SLOWNESS`], the limit follows from their
/// slowness. A smaller share may be due to errors of the learned slowness.
const MIN_FAST_SHARE: f64 = 0.2;
/// Share of the targets, the fastest first, at which the slowness of the fast ones is taken.
const FAST_QUANTILE: f64 = 0.1;
/// If the slowness at [`FAST_QUANTILE`] is below this, the fixed limit tells the few fast targets
/// apart from the others.
const MIN_RELATIVE_FASTEST: f64 = 0.7;
/// Highest limit; closer to the usual slowness, fast and usual targets can't be told apart.
const MAX_RELATIVE_LIMIT: f64 = 0.97;
/// Number of runs after which the slowness of a target counts.
const MIN_TARGET_RUNS: u32 = 5;
/// Number of targets with so many runs from which the limit is derived.
const MIN_TARGETS: usize = 10;

/// Limit on the slowness of fast targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FastLimit {
    max_slowness: f64,
    /// Whether the limit follows from the slowness of the targets.
    is_relative: bool,
}

impl Default for FastLimit {
    fn default() -> Self {
        FastLimit { max_slowness: MAX_FAST_SLOWNESS, is_relative: false }
    }
}

impl FastLimit {
    /// Derives the limit from the slowness of targets: halfway, on a logarithmic scale, between the
    /// fastest tenth and the median.
    fn from_slowness(mut slowness: Vec<f64>) -> Self {
        let fast = slowness.iter().filter(|s| **s <= MAX_FAST_SLOWNESS).count();
        let count = slowness.len();
        if count < MIN_TARGETS || fast as f64 >= count as f64 * MIN_FAST_SHARE {
            return FastLimit::default();
        }
        slowness.sort_by(f64::total_cmp);
        let quantile = |share: f64| slowness[((count - 1) as f64 * share) as usize];
        if quantile(FAST_QUANTILE) < MIN_RELATIVE_FASTEST {
            return FastLimit::default();
        }
        let limit = (quantile(FAST_QUANTILE) * quantile(0.5)).sqrt();
        let max_slowness = limit.clamp(MAX_FAST_SLOWNESS, MAX_RELATIVE_LIMIT);
        FastLimit { max_slowness, is_relative: true }
    }

    /// Whether a target with this slowness is fast.
    pub(super) fn is_fast(self, slowness: f64) -> bool {
        slowness <= self.max_slowness
    }
}

impl Dispatcher {
    pub(super) fn update_fast_limit(&mut self) {
        if !self.enables(Mechanism::RelativeFastLimit) {
            self.fast_limit = FastLimit::default();
            return;
        }
        let known = self.targets.values().filter(|t| t.observed_runs >= MIN_TARGET_RUNS);
        self.fast_limit =
            FastLimit::from_slowness(known.map(|t| self.target_slowness(t)).collect());
    }

    /// Whether no other target is so much faster that a task should wait for it. Known only where
    /// the limit on the slowness of fast targets follows from that of all.
    pub(super) fn is_among_fastest(&self, target: &Target) -> bool {
        self.fast_limit.is_relative && self.fast_limit.is_fast(self.target_slowness(target))
    }
}
