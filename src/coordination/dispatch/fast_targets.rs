//! Which targets are fast: those that long tasks with a hard deadline should run on.

use super::{Dispatcher, job::Job};
use crate::state::{
    mechanism::Mechanism,
    target::{Target, TargetId},
};
use std::ops::RangeInclusive;

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

/// Number of tasks of a job that are compared with each other; fewer say little about the job.
const MIN_PEER_TASKS: usize = 4;
/// Number of compared runs after which the slowness of a target is taken from them.
const MIN_PEER_RUNS: u32 = 6;
/// Least weight of a compared run. Tasks of one job differ by a seventh, so that some dozens of runs tell
/// targets apart that differ by a fifth.
const PEER_WEIGHT: f64 = 0.04;
/// Number of runs that the initial slowness of 1 counts as.
const PRIOR_PEER_RUNS: f64 = 2.0;
/// Run time of a task relative to the others of its job beyond which it is an outlier.
const PEER_RATIOS: RangeInclusive<f64> = 0.5..=2.0;
/// Range of the slowness from all recent runs relative to that from compared ones; outside of it, the
/// target has become slower or faster, which recent runs show sooner.
const STABLE_RATIOS: RangeInclusive<f64> = 0.7..=1.4;

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
        self.normalize_peer_slowness();
        let known = self.targets.values().filter(|t| t.observed_runs >= MIN_TARGET_RUNS);
        self.fast_limit =
            FastLimit::from_slowness(known.map(|t| self.target_slowness(t)).collect());
    }

    /// Scales the slowness from compared runs to a geometric mean of 1, since comparisons determine
    /// it up to a common factor.
    fn normalize_peer_slowness(&mut self) {
        let known = self.targets.values().filter(|t| t.peer_runs > 0);
        let (sum, count) =
            known.fold((0.0, 0), |(sum, count), t| (sum + t.peer_slowness.ln(), count + 1));
        if count == 0 {
            return;
        }
        let mean = (sum / f64::from(count)).exp();
        self.targets.values_mut().filter(|t| t.peer_runs > 0).for_each(|t| t.peer_slowness /= mean);
    }

    /// Whether no other target is so much faster that a task should wait for it. Known only where
    /// the limit on the slowness of fast targets follows from that of all.
    pub(super) fn is_among_fastest(&self, target: &Target) -> bool {
        self.fast_limit.is_relative && self.fast_limit.is_fast(self.target_slowness(target))
    }
    /// Slowness of a target from runs that were compared with others of the same job, which removes
    /// the error of the jobs' predicted run times. `None` if it is not known, or where targets differ
    /// so much that it makes no difference.
    pub(super) fn peer_slowness(&self, target: &Target) -> Option<f64> {
        let is_known = self.fast_limit.is_relative
            && target.peer_runs >= MIN_PEER_RUNS
            && self.enables(Mechanism::PeerSlowness);
        let recent = self.kind_slowness(&target.info.kind) * target.slowness;
        let is_stable = STABLE_RATIOS.contains(&(recent / target.peer_slowness));
        (is_known && is_stable).then_some(target.peer_slowness)
    }

    /// Compares the run times of a completed job's tasks with each other.
    pub(super) fn learn_peer_slowness(&mut self, job: &Job) {
        let measured = job.tasks.values().filter_map(|task| task.measured_on.as_ref());
        let measured: Vec<(&TargetId, f64)> = measured.map(|(id, ratio)| (id, *ratio)).collect();
        if measured.len() < MIN_PEER_TASKS {
            return;
        }
        let slowness_of = |id: &TargetId| self.targets.get(id).map_or(1.0, |t| t.peer_slowness);
        let scales = measured.iter().map(|(id, ratio)| (ratio / slowness_of(id)).ln());
        let mean_scale = (scales.sum::<f64>() / measured.len() as f64).exp();
        for (id, ratio) in measured {
            let Some(target) = self.targets.get_mut(id) else { continue };
            let observed = ratio / mean_scale;
            if !PEER_RATIOS.contains(&(observed / target.peer_slowness)) {
                continue;
            }
            target.peer_runs += 1;
            let weight = PEER_WEIGHT.max(1.0 / (f64::from(target.peer_runs) + PRIOR_PEER_RUNS));
            target.peer_slowness += weight * (observed - target.peer_slowness);
        }
    }
}
