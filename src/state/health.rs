//! Which workers fail so much more than their peers that they are set aside.

use super::{id::WorkerName, time::Moment};
use indexmap::IndexMap;
use std::time::Duration;

/// Weight of a new result.
const RESULT_WEIGHT: f64 = 0.2;
/// Results needed before a worker is judged.
const MIN_RESULTS: u32 = 3;
/// A worker whose failure share is above this may be set aside.
const BAD_SHARE: f64 = 0.45;
/// If the others fail more often than this, the tasks are to blame.
const PEER_SHARE: f64 = 0.25;
/// Share of the workers that may be set aside.
const MAX_ASIDE: f64 = 0.34;
/// First time a worker is set aside for.
const FIRST_BACKOFF: Duration = Duration::from_secs(5);
/// Longest time a worker is set aside for.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

#[derive(Debug, Default)]
struct Record {
    results: u32,
    failed: f64,
    aside_until: Option<Moment>,
    times_aside: u32,
}

/// Failure shares of all workers.
#[derive(Debug, Default)]
pub struct Health {
    records: IndexMap<WorkerName, Record>,
}

/// What a result changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Same,
    /// The worker is set aside from now on.
    SetAside,
    /// The worker takes tasks again.
    Restored,
}

impl Health {
    /// Whether a worker may get a task. One whose time aside is over may get one as a probe, while
    /// it runs nothing else.
    pub fn allows(&self, now: Moment, worker: &WorkerName, running: u32) -> bool {
        match self.records.get(worker).and_then(|record| record.aside_until) {
            None => true,
            Some(until) => now >= until && running == 0,
        }
    }

    /// Number of workers set aside.
    pub fn aside(&self) -> usize {
        self.records.values().filter(|record| record.aside_until.is_some()).count()
    }

    /// Learns how a task ended.
    pub fn learn(&mut self, now: Moment, worker: &WorkerName, failed: bool) -> Verdict {
        let peers = self.peer_share(worker);
        let aside = self.aside();
        let all = self.records.len().max(1);
        let record = self.records.entry(worker.clone()).or_default();
        record.results += 1;
        let sample = if failed { 1.0 } else { 0.0 };
        record.failed += RESULT_WEIGHT * (sample - record.failed);
        if let Some(until) = record.aside_until {
            return record.after_probe(now, until, failed);
        }
        let room = ((aside + 1) as f64) <= (MAX_ASIDE * all as f64).max(1.0);
        let bad = record.results >= MIN_RESULTS && record.failed > BAD_SHARE;
        if bad && room && all > 1 && peers < PEER_SHARE {
            record.set_aside(now);
            return Verdict::SetAside;
        }
        Verdict::Same
    }

    fn peer_share(&self, worker: &WorkerName) -> f64 {
        let mut shares: Vec<f64> = self
            .records
            .iter()
            .filter(|(name, record)| *name != worker && record.results > 0)
            .map(|(_, record)| record.failed)
            .collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or(0.0)
    }

    /// Forgets workers that are gone.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&WorkerName) -> bool,
    {
        self.records.retain(|worker, _| keep(worker));
    }

    /// Enters a worker, so that it counts among the peers.
    pub fn enter(&mut self, worker: &WorkerName) {
        self.records.entry(worker.clone()).or_default();
    }
}

impl Record {
    fn set_aside(&mut self, now: Moment) {
        let backoff = FIRST_BACKOFF * 2u32.saturating_pow(self.times_aside.min(10));
        self.aside_until = Some(now + backoff.min(MAX_BACKOFF));
        self.times_aside += 1;
    }

    fn after_probe(&mut self, now: Moment, until: Moment, failed: bool) -> Verdict {
        if now < until {
            return Verdict::Same;
        }
        if failed {
            self.set_aside(now);
            return Verdict::Same;
        }
        self.aside_until = None;
        self.failed = 0.0;
        self.results = 0;
        Verdict::Restored
    }
}
