//! Outlier ejection: workers that fail far more often than their peers get no tasks for a while.

use super::{id::WorkerName, time::Moment};
use indexmap::IndexMap;
use std::time::Duration;

/// Weight of a new result in a worker's failure rate, an exponentially weighted average.
const RESULT_WEIGHT: f64 = 0.2;
/// Results needed before a worker may be ejected.
const MIN_RESULTS: u32 = 3;
/// A worker is ejected only if its failure rate is above this.
const MIN_EJECTION_FAILURE_RATE: f64 = 0.45;
/// No worker is ejected while the median failure rate of its peers is this high, since the tasks
/// are then the likely cause.
const MAX_PEER_FAILURE_RATE: f64 = 0.25;
/// Share of the workers that may be ejected at the same time; one worker always may.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Duration of a worker's first ejection; doubles with each further one.
const MIN_EJECTION_DURATION: Duration = Duration::from_secs(5);
/// Longest duration of an ejection.
const MAX_EJECTION_DURATION: Duration = Duration::from_secs(300);

/// Results and ejections of one worker.
#[derive(Debug, Default)]
struct FailureRecord {
    /// Number of results since the worker was first known or last restored.
    results: u32,
    /// Exponentially weighted average of the results, from 0 (success) to 1 (failure).
    failure_rate: f64,
    /// Time of the end of the ejection; set until a probe succeeds, `None` if not ejected.
    ejected_until: Option<Moment>,
    /// Number of ejections so far.
    ejections: u32,
}

/// Failure rates of all workers, and which of the workers are ejected.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    records: IndexMap<WorkerName, FailureRecord>,
}

/// How the result of a task changed the state of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The worker remains ejected, or remains in use.
    Unchanged,
    /// The worker was ejected and gets no tasks for a while.
    Ejected,
    /// The worker's probe succeeded, so that it gets tasks again.
    Restored,
}

impl OutlierDetector {
    /// Whether a worker may get a task, given how many tasks it runs. After its ejection it gets
    /// one task at a time as a probe until one succeeds.
    pub fn can_take_task(&self, now: Moment, worker: &WorkerName, running: u32) -> bool {
        match self.records.get(worker).and_then(|record| record.ejected_until) {
            None => true,
            Some(until) => now >= until && running == 0,
        }
    }

    /// Number of ejected workers, those that wait for a probe included.
    pub fn ejected_count(&self) -> usize {
        self.records.values().filter(|record| record.ejected_until.is_some()).count()
    }

    /// Records whether a task failed on a worker, and ejects or restores the worker.
    pub fn record_result(
        &mut self,
        now: Moment,
        worker: &WorkerName,
        failed: bool,
    ) -> EjectionChange {
        let peer_rate = self.peer_failure_rate(worker);
        let ejected = self.ejected_count();
        let workers = self.records.len().max(1);
        let record = self.records.entry(worker.clone()).or_default();
        record.results += 1;
        let sample = if failed { 1.0 } else { 0.0 };
        record.failure_rate += RESULT_WEIGHT * (sample - record.failure_rate);
        if let Some(until) = record.ejected_until {
            return record.on_ejected_result(now, until, failed);
        }
        let below_limit = ((ejected + 1) as f64) <= (MAX_EJECTED_SHARE * workers as f64).max(1.0);
        let failing =
            record.results >= MIN_RESULTS && record.failure_rate > MIN_EJECTION_FAILURE_RATE;
        if failing && below_limit && workers > 1 && peer_rate < MAX_PEER_FAILURE_RATE {
            record.eject(now);
            return EjectionChange::Ejected;
        }
        EjectionChange::Unchanged
    }

    /// Median failure rate of the other workers that have results.
    fn peer_failure_rate(&self, worker: &WorkerName) -> f64 {
        let mut rates: Vec<f64> = self
            .records
            .iter()
            .filter(|(name, record)| *name != worker && record.results > 0)
            .map(|(_, record)| record.failure_rate)
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }

    /// Removes the workers for which `keep` returns false.
    pub fn retain_workers<F>(&mut self, keep: F)
    where
        F: Fn(&WorkerName) -> bool,
    {
        self.records.retain(|worker, _| keep(worker));
    }

    /// Adds a worker without results, unless it is known, so that it counts towards the share of
    /// workers that may be ejected.
    pub fn add_worker(&mut self, worker: &WorkerName) {
        self.records.entry(worker.clone()).or_default();
    }
}

impl FailureRecord {
    fn eject(&mut self, now: Moment) {
        let duration = MIN_EJECTION_DURATION * 2u32.saturating_pow(self.ejections.min(10));
        self.ejected_until = Some(now + duration.min(MAX_EJECTION_DURATION));
        self.ejections += 1;
    }

    /// Handles a result of an ejected worker. Until the ejection ends, results come from tasks that
    /// started before it and change nothing.
    fn on_ejected_result(&mut self, now: Moment, until: Moment, failed: bool) -> EjectionChange {
        if now < until {
            return EjectionChange::Unchanged;
        }
        if failed {
            self.eject(now);
            return EjectionChange::Unchanged;
        }
        self.ejected_until = None;
        self.failure_rate = 0.0;
        self.results = 0;
        EjectionChange::Restored
    }
}
