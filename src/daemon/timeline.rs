//! The timeline: a bounded ring buffer of typed events.

use crate::{
    coordination::action::Event,
    state::id::{Issuer, JobNumber},
};
use parking_lot::Mutex;
use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

/// An event with its time and sequence number.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Wall-clock time in microseconds since 1970, for merging the events of several processes.
    pub at_unix_us: u64,
    /// Number of the event in this process, without gaps.
    pub sequence: u64,
    /// Event with its kind and its details.
    pub event: Event,
}

#[derive(Debug, Default)]
struct Ring {
    next_sequence: u64,
    entries: VecDeque<Entry>,
}

/// The latest events of one process.
#[derive(Debug)]
pub struct Timeline {
    ring: Mutex<Ring>,
    capacity: usize,
}

/// Returns the wall-clock time in microseconds since 1970.
pub fn unix_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_micros() as u64
}

impl Timeline {
    /// Creates an empty timeline that keeps the latest `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Timeline { ring: Mutex::default(), capacity }
    }

    /// Appends an event with the current time; drops the oldest one if the timeline is full.
    pub fn push(&self, event: Event) {
        let mut ring = self.ring.lock();
        let sequence = ring.next_sequence;
        ring.next_sequence += 1;
        if ring.entries.len() == self.capacity {
            ring.entries.pop_front();
        }
        ring.entries.push_back(Entry { at_unix_us: unix_us(), sequence, event });
    }

    /// Returns the latest `limit` events, oldest first; only those of `job` if given.
    pub fn latest(&self, job: Option<JobNumber>, limit: usize) -> Vec<Entry> {
        let ring = self.ring.lock();
        let is_selected = |entry: &&Entry| job.is_none() || entry.event.job() == job;
        let mut found: Vec<Entry> =
            ring.entries.iter().rev().filter(is_selected).take(limit).cloned().collect();
        found.reverse();
        found
    }
}

/// Returns the id of the job that an event concerns, without its unguessable tag, so that it can
/// be shown and searched for; empty if the event concerns no job.
pub fn event_cause(issuer: &Issuer, event: &Event) -> String {
    event.job().map_or(String::new(), |number| format!("{issuer}.{:x}", number.0))
}
