//! The targets in the platform's list, and those that disappeared from the list recently.

use super::{
    job_submission::MAX_TIME_TO_DEADLINE,
    target::{TargetId, TargetInfo},
    time::Moment,
};
use indexmap::IndexMap;
use std::time::Duration;

/// A target that is missing from the list is kept for this long. Entries expire in the list while
/// its store is unavailable, and targets write them again within two seconds of its return.
const MISSING_GRACE: Duration = Duration::from_millis(2_500);

/// Longest time for which a dispatcher that reads the list starts tasks on a target whose entry was
/// removed: the grace period, two intervals between its reads and the age of a list that it takes from
/// another VM.
const MAX_STARTS_ON_MISSING: Duration = Duration::from_millis(4_600);

/// Time for which a removed entry is remembered. It exceeds the longest use of its target, which ends with
/// the lease of a run that a job with the latest deadline started [`MAX_STARTS_ON_MISSING`] after the removal.
const MAX_DROPPED_AGE: Duration = MAX_TIME_TO_DEADLINE.saturating_mul(2);

/// A known target.
#[derive(Clone, Debug)]
struct Entry {
    info: TargetInfo,
    /// Time of the first read in which the list lacked the target; `None` if the list has it.
    missing_since: Option<Moment>,
}

/// The targets known to this VM, and whether the list may be incomplete.
///
/// ```
/// use cranberrytray::state::{known_targets::KnownTargets, time::Moment};
/// use std::time::Duration;
///
/// let mut known = KnownTargets::default();
/// let start = Moment::new(Duration::from_secs(1));
/// known.on_list_read(None, start);
/// assert!(!known.is_complete(start));
/// let later = start + Duration::from_secs(3);
/// known.on_list_read(None, later);
/// assert!(known.is_complete(later));
/// ```
#[derive(Clone, Debug, Default)]
pub struct KnownTargets {
    entries: IndexMap<TargetId, Entry>,
    /// Targets that are no longer in `entries`, with the time of the first read in which the list lacked
    /// them. A target that was draining may still have runs from before.
    dropped: IndexMap<TargetId, Moment>,
    /// Time of the first of the uninterrupted successful reads of the list; `None` after a failure.
    readable_since: Option<Moment>,
    /// Time of the last successful read of the list.
    last_read_at: Moment,
}

impl KnownTargets {
    /// Records a successful read of the list; `None` if it has not changed since the last read.
    /// Returns whether the known targets may have changed.
    pub fn on_list_read(&mut self, list: Option<Vec<TargetInfo>>, now: Moment) -> bool {
        self.last_read_at = now;
        self.readable_since.get_or_insert(now);
        let len_before = self.entries.len();
        let changed = list.is_some();
        if let Some(list) = list {
            for entry in self.entries.values_mut() {
                entry.missing_since.get_or_insert(now);
            }
            for info in list {
                self.dropped.swap_remove(&info.id);
                let entry = Entry { info, missing_since: None };
                self.entries.insert(entry.info.id.clone(), entry);
            }
        }
        let is_dropped = |e: &Entry| e.missing_since.is_some_and(|at| now - at > MISSING_GRACE);
        for (id, entry) in self.entries.extract_if(.., |_, entry| is_dropped(entry)) {
            self.dropped.extend(entry.missing_since.map(|since| (id, since)));
        }
        self.dropped.retain(|_, since| now - *since < MAX_DROPPED_AGE);
        changed || len_before != self.entries.len()
    }

    /// Counts the successful reads as interrupted if the last one is more than `entry_lifetime` ago: an
    /// entry may have been added and removed since.
    pub fn expire_reads(&mut self, entry_lifetime: Duration, now: Moment) {
        if now - self.last_read_at > entry_lifetime {
            self.readable_since = None;
        }
    }

    /// Records a failed read of the list.
    pub fn on_list_read_failed(&mut self) {
        self.readable_since = None;
    }

    /// Adds those targets known to a peer that are unknown here. Returns whether there were any.
    pub fn add_missing(&mut self, list: Vec<TargetInfo>) -> bool {
        let len_before = self.entries.len();
        for info in list {
            let entry = Entry { info, missing_since: None };
            self.entries.entry(entry.info.id.clone()).or_insert(entry);
        }
        len_before != self.entries.len()
    }

    /// Iterates over the known targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetInfo> {
        self.entries.values().map(|entry| &entry.info)
    }

    /// Iterates over the targets that the list had when it was last read.
    pub fn listed(&self) -> impl Iterator<Item = &TargetInfo> {
        self.entries.values().filter(|e| e.missing_since.is_none()).map(|entry| &entry.info)
    }

    /// Time of the last successful read of the list; `None` if the one after it failed, or if there
    /// was none.
    pub fn last_read_at(&self) -> Option<Moment> {
        self.readable_since.map(|_| self.last_read_at)
    }

    /// Whether the last successful read of the list was at `moment` or later.
    pub fn is_read_since(&self, moment: Moment) -> bool {
        self.last_read_at >= moment
    }

    /// Whether every target that another VM may have used before `moment` is known here. This is so
    /// if the list was read since, and all reads have succeeded for so long before that expired
    /// entries have been written again.
    pub fn is_complete(&self, moment: Moment) -> bool {
        let is_long_enough = |since| self.last_read_at - since >= MISSING_GRACE;
        self.last_read_at >= moment && self.readable_since.is_some_and(is_long_enough)
    }

    /// Whether every target is known here on which a dispatcher that reads the list may have runs. This
    /// is so if the list was readable, and no entry was removed from it, for as long as such a dispatcher
    /// starts tasks on a removed target and its last run, of `max_run` at most, lasts.
    pub fn knows_targets_in_use(&self, max_run: Duration) -> bool {
        let is_over = |at: Moment| self.last_read_at - at >= MAX_STARTS_ON_MISSING + max_run;
        self.readable_since.is_some_and(is_over) && self.dropped.values().all(|at| is_over(*at))
    }
}
