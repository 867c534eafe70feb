//! Test double of a target that keeps to the platform's contract to the letter.

use crate::mix::ms;
use cranberrytray::state::{
    job_submission::{RunNumber, TaskId},
    target::{
        EndedRun, FencingToken, LossCause, RunOutcome, RunningRun, TargetIncarnation, TargetReport,
        TargetTime,
    },
    time::Moment,
};
use indexmap::IndexMap;
use std::time::Duration;

const MAX_LEASE_MS: u64 = 1_000;
const CAPACITY: usize = 4;

/// Where a run came from, for reports of violations.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// Number of the dispatcher that sent the order.
    pub dispatcher: usize,
    pub decided_at: Moment,
    /// Incarnation of the target when the order was sent.
    pub sent_to: TargetIncarnation,
}

/// A run that occupies the target; it is no longer reported once it is being stopped.
#[derive(Clone, Copy, Debug)]
pub struct TargetRun {
    pub number: RunNumber,
    pub started_at: Moment,
    pub ends_at: Moment,
    pub outcome: RunOutcome,
    pub origin: Origin,
}

/// Reason for which a target rejects an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    Fenced,
    Old,
    Late,
    Room,
}

/// Test double of a target.
#[derive(Debug)]
pub struct ModelTarget {
    pub incarnation: TargetIncarnation,
    pub runs: IndexMap<TaskId, TargetRun>,
    pub down_until: Moment,
    pub frozen_until: Moment,
    /// Until when nothing reaches it.
    pub cut_until: Moment,
    /// Whether connections to this incarnation were made.
    pub is_connected: bool,
    /// Part by which its clock is slow.
    slowness: f64,
    born: Moment,
    token: FencingToken,
    /// Highest run of each task that was stopped or has ended.
    closed: IndexMap<TaskId, RunNumber>,
    ended: Vec<EndedRun>,
    end_count: u64,
    lease_end: TargetTime,
}

impl ModelTarget {
    pub fn new(slowness: f64) -> Self {
        ModelTarget {
            incarnation: TargetIncarnation(1),
            runs: IndexMap::new(),
            down_until: Moment::ZERO,
            frozen_until: Moment::ZERO,
            cut_until: Moment::ZERO,
            is_connected: false,
            slowness,
            born: Moment::ZERO,
            token: FencingToken::default(),
            closed: IndexMap::new(),
            ended: Vec::new(),
            end_count: 0,
            lease_end: TargetTime(0),
        }
    }

    /// Starts again under the same name at `up_at`, without any memory.
    pub fn crash(&mut self, up_at: Moment) {
        let incarnation = TargetIncarnation(self.incarnation.0 + 1);
        let (cut_until, frozen_until) = (self.cut_until, self.frozen_until);
        *self = ModelTarget {
            incarnation,
            down_until: up_at,
            born: up_at,
            cut_until,
            frozen_until,
            ..ModelTarget::new(self.slowness)
        };
    }

    pub fn clock(&self, now: Moment) -> TargetTime {
        let elapsed = (now - self.born).mul_f64(1.0 - self.slowness);
        TargetTime(elapsed.as_millis() as u64)
    }

    /// When a span of the target's clock is over.
    pub fn after(&self, span: Duration, now: Moment) -> Moment {
        now + span.div_f64(1.0 - self.slowness)
    }

    /// When its leases expire, unless they are extended.
    fn expires_at(&self) -> Moment {
        // Clock readings are rounded down, so the end is reached at the end of its millisecond.
        self.born + ms(self.lease_end.0).div_f64(1.0 - self.slowness) + Duration::from_micros(1)
    }

    /// When the next run ends, if nothing is ordered before.
    pub fn next_end(&self) -> Option<Moment> {
        let end = self.runs.values().map(|run| run.ends_at).min();
        end.map(|end| end.min(self.expires_at()))
    }

    /// Ends runs that are over, and all when the lease has expired.
    pub fn advance(&mut self, now: Moment) {
        let expires_at = self.expires_at();
        let mut over: Vec<(Moment, TaskId)> = self
            .runs
            .iter()
            .map(|(task, run)| (run.ends_at.min(expires_at), *task))
            .filter(|(at, _)| *at <= now)
            .collect();
        over.sort();
        for (_, task) in over {
            let run = self.runs.swap_remove(&task).unwrap();
            let lost = RunOutcome::Lost(LossCause::Reported);
            let outcome = if run.ends_at <= expires_at { run.outcome } else { lost };
            self.close(task, run.number);
            self.end_count += 1;
            self.ended.push(EndedRun { sequence: self.end_count, task, run: run.number, outcome });
        }
    }

    fn close(&mut self, task: TaskId, number: RunNumber) {
        let closed = self.closed.entry(task).or_insert(number);
        *closed = (*closed).max(number);
    }

    fn accept(&mut self, token: FencingToken) -> Result<(), Rejection> {
        if token < self.token {
            return Err(Rejection::Fenced);
        }
        self.token = token;
        Ok(())
    }

    fn extend_lease(&mut self, end: TargetTime, now: Moment) {
        let longest = self.clock(now).0 + MAX_LEASE_MS;
        self.lease_end = self.lease_end.max(TargetTime(end.0.min(longest)));
    }

    /// Starts a run that would take `run.ends_at - now`. Returns whether it was not there before.
    pub fn start(
        &mut self,
        task: TaskId,
        run: TargetRun,
        token: FencingToken,
        lease_end: TargetTime,
        now: Moment,
    ) -> Result<bool, Rejection> {
        self.advance(now);
        self.accept(token)?;
        if self.runs.get(&task).is_some_and(|known| known.number == run.number) {
            self.extend_lease(lease_end, now);
            return Ok(false);
        }
        if self.closed.get(&task).is_some_and(|closed| run.number <= *closed) {
            self.extend_lease(lease_end, now);
            return Err(Rejection::Old);
        }
        if lease_end <= self.clock(now) {
            return Err(Rejection::Late);
        }
        self.extend_lease(lease_end, now);
        if self.runs.len() >= CAPACITY {
            return Err(Rejection::Room);
        }
        self.runs.insert(task, run);
        Ok(true)
    }

    /// Stops a run by `ends_at`; if it is not there yet, it will be rejected.
    pub fn stop(
        &mut self,
        task: TaskId,
        number: RunNumber,
        token: FencingToken,
        ends_at: Moment,
        now: Moment,
    ) -> Result<(), Rejection> {
        self.advance(now);
        self.accept(token)?;
        self.close(task, number);
        if let Some(run) = self.runs.get_mut(&task).filter(|run| run.number == number)
            && run.outcome != RunOutcome::Stopped
        {
            run.ends_at = run.ends_at.min(ends_at);
            run.outcome = RunOutcome::Stopped;
        }
        Ok(())
    }

    /// Extends the leases and forgets the acknowledged ends. Returns whether there are others.
    pub fn renew(
        &mut self,
        token: FencingToken,
        last_end: u64,
        lease_end: Option<TargetTime>,
        now: Moment,
    ) -> Result<bool, Rejection> {
        self.advance(now);
        self.accept(token)?;
        self.ended.retain(|end| end.sequence > last_end);
        if let Some(end) = lease_end {
            self.extend_lease(end, now);
        }
        Ok(!self.ended.is_empty())
    }

    pub fn has_ends_after(&self, last_end: u64) -> bool {
        self.ended.iter().any(|end| end.sequence > last_end)
    }

    pub fn report(&self, now: Moment) -> TargetReport {
        let progress = |run: &TargetRun| {
            let share =
                (now - run.started_at).as_secs_f64() / (run.ends_at - run.started_at).as_secs_f64();
            (share * 100.0) as u32
        };
        let running = self.runs.iter().filter(|(_, run)| run.outcome != RunOutcome::Stopped);
        let running = running.map(|(task, run)| RunningRun {
            task: *task,
            run: run.number,
            progress_percent: progress(run),
        });
        TargetReport {
            clock: self.clock(now),
            incarnation: Some(self.incarnation),
            running: running.collect(),
            ended: self.ended.clone(),
            last_end: self.ended.last().map_or(0, |end| end.sequence),
        }
    }
}
