//! The time line: a bounded ring of typed events.

use crate::{
    coordination::action::Event,
    state::id::{Issuer, JobNumber},
};
use parking_lot::Mutex;
use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

/// An event with its place in the ring.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Wall-clock time in microseconds, for merging the rings of several processes.
    pub at_unix_us: u64,
    /// Its number in this process, without gaps.
    pub sequence: u64,
    /// What happened.
    pub event: Event,
}

#[derive(Debug, Default)]
struct Ring {
    next: u64,
    entries: VecDeque<Entry>,
}

/// The latest events of one process.
#[derive(Debug)]
pub struct Timeline {
    ring: Mutex<Ring>,
    capacity: usize,
}

/// Microseconds of wall-clock time since 1970.
pub fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

impl Timeline {
    /// Keeps the latest `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Timeline { ring: Mutex::default(), capacity }
    }

    /// Enters an event.
    pub fn push(&self, event: Event) {
        let mut ring = self.ring.lock();
        let sequence = ring.next;
        ring.next += 1;
        if ring.entries.len() == self.capacity {
            ring.entries.pop_front();
        }
        ring.entries.push_back(Entry { at_unix_us: unix_us(), sequence, event });
    }

    /// The latest `limit` events, oldest first; of one job only, if given.
    pub fn latest(&self, job: Option<JobNumber>, limit: usize) -> Vec<Entry> {
        let ring = self.ring.lock();
        let wanted = |entry: &&Entry| job.is_none() || entry.event.job() == job;
        let mut found: Vec<Entry> =
            ring.entries.iter().rev().filter(wanted).take(limit).cloned().collect();
        found.reverse();
        found
    }
}

/// The id behind an event's job, without its unguessable part: what a person greps for.
pub fn cause(issuer: &Issuer, event: &Event) -> String {
    event.job().map_or(String::new(), |number| format!("{issuer}.{:x}", number.0))
}
