//! The targets that the platform's list names, or named until lately.

use super::{
    target::{TargetId, TargetInfo},
    time::Moment,
};
use indexmap::IndexMap;
use std::time::Duration;

/// A target that the list lacks is kept this long: entries that lapsed while the list was away come
/// back within two seconds of its return.
const MISSING_GRACE: Duration = Duration::from_millis(2_500);

#[derive(Clone, Debug)]
struct Entry {
    info: TargetInfo,
    missing_since: Option<Moment>,
}

/// The targets known to this VM, and whether others may exist.
///
/// ```
/// use cranberrytray::state::{roster::Roster, time::Moment};
/// use std::time::Duration;
///
/// let mut roster = Roster::default();
/// let start = Moment::new(Duration::from_secs(1));
/// roster.read(None, start);
/// assert!(!roster.is_complete(start));
/// let later = start + Duration::from_secs(3);
/// roster.read(None, later);
/// assert!(roster.is_complete(later));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: IndexMap<TargetId, Entry>,
    /// Since when every read of the list has succeeded.
    readable_since: Option<Moment>,
    last_read: Moment,
}

impl Roster {
    /// The list was read; `None` if it is as at the last read. Whether the targets have changed.
    pub fn read(&mut self, list: Option<Vec<TargetInfo>>, now: Moment) -> bool {
        self.last_read = now;
        self.readable_since.get_or_insert(now);
        let before = self.entries.len();
        let changed = list.is_some();
        if let Some(list) = list {
            for entry in self.entries.values_mut() {
                entry.missing_since.get_or_insert(now);
            }
            for info in list {
                let entry = Entry { info, missing_since: None };
                self.entries.insert(entry.info.id.clone(), entry);
            }
        }
        let kept = |e: &Entry| e.missing_since.is_none_or(|since| now - since <= MISSING_GRACE);
        self.entries.retain(|_, entry| kept(entry));
        changed || before != self.entries.len()
    }

    /// The list could not be read.
    pub fn failed(&mut self) {
        self.readable_since = None;
    }

    /// Takes in targets that a peer knows. Whether any is new.
    pub fn learn(&mut self, list: Vec<TargetInfo>) -> bool {
        let before = self.entries.len();
        for info in list {
            let entry = Entry { info, missing_since: None };
            self.entries.entry(entry.info.id.clone()).or_insert(entry);
        }
        before != self.entries.len()
    }

    /// The targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetInfo> {
        self.entries.values().map(|entry| &entry.info)
    }

    /// Whether the list was read since `moment`.
    pub fn is_current(&self, moment: Moment) -> bool {
        self.last_read >= moment
    }

    /// Whether it holds every target that another VM may have used before `moment`: the list was
    /// read since, and has been readable for so long that no entry can be missing from it that was
    /// not seen here.
    pub fn is_complete(&self, moment: Moment) -> bool {
        let long = |since| self.last_read - since >= MISSING_GRACE;
        self.last_read >= moment && self.readable_since.is_some_and(long)
    }
}
