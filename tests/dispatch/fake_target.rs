//! Test double of a target, which follows the platform's contract.

use crate::simulation::ms;
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

/// Fault injected into a fake target or its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// Every request is executed and answered.
    #[default]
    None,
    /// New runs never end and report no progress.
    HangsRuns,
    /// New runs fail after 1 ms.
    FailsRuns,
    /// Start requests are executed, but their replies are lost.
    LosesStartReplies,
    /// Stop requests are lost.
    LosesStopRequests,
    /// The first start request of each task is lost.
    LosesFirstStartRequests,
    /// Start requests are not answered, and executed after this time. Stop requests are lost.
    DelaysStarts(Duration),
    /// Start requests are executed; the first reply is lost, and the second request can't be sent.
    UnreachableAfterStart,
    /// Every twelfth reply to a lease renewal is lost.
    LosesRenewalReplies,
    /// Requests are executed, but all replies are lost.
    LosesReplies,
    /// All requests are lost, but existing runs go on.
    Unresponsive,
    /// Connections can't be made, but existing runs go on.
    Unreachable,
}

/// A run on a fake target.
#[derive(Clone, Debug)]
pub struct FakeRun {
    pub number: RunNumber,
    pub started_at: Moment,
    pub duration: Duration,
    pub ends_at: Option<Moment>,
    pub outcome: RunOutcome,
    pub cpu: u64,
}

/// Test double of a target.
#[derive(Debug)]
pub struct FakeTarget {
    pub fault: Fault,
    /// Relative speed of new runs; 1 is usual.
    pub speed: f64,
    pub fencing_token: FencingToken,
    pub runs: IndexMap<TaskId, FakeRun>,
    pub ended: Vec<EndedRun>,
    end_count: u64,
    pub lease_end: Moment,
    pub reported_end: u64,
    pub starts: Vec<(TaskId, Moment)>,
    pub next_renewal: Moment,
    /// Moment at which the lease renewal whose reply was lost times out.
    pub lost_renewal_end: Option<Moment>,
    pub renewal_count: u64,
    pub lost_starts: Vec<TaskId>,
    pub is_watched: bool,
    /// CPU in thousandths of a core.
    pub capacity: u64,
    /// Whether the target refuses tasks that exceed its capacity.
    pub is_guarded: bool,
    /// Number of starts that brought it over its capacity.
    pub overcommitted_starts: u32,
    /// Moment at which a task crashes the target.
    pub crash_at: Option<Moment>,
    /// Number of crashes so far.
    pub crash_count: u32,
    /// Moment at which the crashed target is back; connections to it fail until then.
    pub down_until: Moment,
    pub incarnation: TargetIncarnation,
    /// Moment from which the list has an entry of this incarnation.
    pub registers_at: Moment,
    /// Time at which the target's clock shows zero.
    clock_start: Moment,
    /// How much slower than usual the target's clock runs, in percent.
    pub clock_slowness: u32,
    /// Highest run of each task that was stopped or has ended; starts up to it are refused.
    voided: IndexMap<TaskId, RunNumber>,
}

impl Default for FakeTarget {
    fn default() -> Self {
        FakeTarget {
            fault: Fault::None,
            speed: 1.0,
            fencing_token: FencingToken::default(),
            runs: IndexMap::new(),
            ended: Vec::new(),
            end_count: 0,
            lease_end: Moment::ZERO,
            reported_end: 0,
            starts: Vec::new(),
            next_renewal: Moment::ZERO,
            lost_renewal_end: None,
            renewal_count: 0,
            lost_starts: Vec::new(),
            is_watched: false,
            capacity: 32_000,
            is_guarded: true,
            overcommitted_starts: 0,
            crash_at: None,
            crash_count: 0,
            down_until: Moment::ZERO,
            incarnation: TargetIncarnation(1),
            registers_at: Moment::ZERO,
            clock_start: Moment::ZERO,
            clock_slowness: 0,
            voided: IndexMap::new(),
        }
    }
}

/// Time from the moment at which a restarted target serves to its first list entry.
const REGISTRATION_DELAY: Duration = Duration::from_millis(300);
/// Time for which a crashed target is down.
const CRASH_DOWNTIME: Duration = Duration::from_millis(3_300);

impl FakeTarget {
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Restarts the target under the same name: it knows nothing of before, and its clock and the
    /// numbers of its ended runs begin anew.
    pub fn restart(&mut self, now: Moment) {
        *self = FakeTarget {
            speed: self.speed,
            incarnation: TargetIncarnation(self.incarnation.0 + 1),
            registers_at: now + REGISTRATION_DELAY,
            clock_start: now,
            is_watched: self.is_watched,
            next_renewal: self.next_renewal,
            starts: std::mem::take(&mut self.starts),
            capacity: self.capacity,
            is_guarded: self.is_guarded,
            overcommitted_starts: self.overcommitted_starts,
            crash_count: self.crash_count,
            clock_slowness: self.clock_slowness,
            ..FakeTarget::default()
        };
    }

    /// As [`FakeTarget::restart`] on a machine whose time of day was set back.
    pub fn restart_with_earlier_birth(&mut self, now: Moment) {
        let earlier = self.incarnation;
        self.restart(now);
        self.incarnation = TargetIncarnation(earlier.0 - 1);
    }

    /// Suspends the machine of the target, so that its clock has stood still for `span`.
    pub fn hold_clock(&mut self, span: Duration) {
        self.clock_start = self.clock_start + span;
    }

    /// Crashes the target, which is restarted some seconds later under the same name.
    pub fn crash(&mut self, now: Moment) {
        self.restart(now);
        self.crash_count += 1;
        self.down_until = now + CRASH_DOWNTIME;
        self.registers_at = self.down_until + REGISTRATION_DELAY;
    }

    /// Whether no connection to the target can be made.
    pub fn is_unreachable(&self, now: Moment) -> bool {
        self.down_until > now || self.fault == Fault::Unreachable
    }

    pub fn clock(&self, now: Moment) -> TargetTime {
        let elapsed = (now - self.clock_start) * (100 - self.clock_slowness) / 100;
        TargetTime(elapsed.as_millis() as u64)
    }

    /// Refuses starts of a task up to `run` from now on.
    pub fn void(&mut self, task: TaskId, run: RunNumber) {
        let voided = self.voided.entry(task).or_insert(run);
        *voided = run.max(*voided);
    }

    /// Whether a run of the task with this or a higher number was stopped or has ended.
    pub fn is_voided(&self, task: TaskId, run: RunNumber) -> bool {
        self.voided.get(&task).is_some_and(|voided| run <= *voided)
    }

    /// Extends the lease of all runs to `end` on the target's clock, or as far as it is allowed.
    pub fn extend_lease(&mut self, end: TargetTime, max_lease: Duration, now: Moment) {
        let end = self.clock_start + ms(end.0) * 100 / (100 - self.clock_slowness);
        let end = end.min(now + max_lease);
        self.lease_end = self.lease_end.max(end);
    }

    /// Adds a run that an earlier dispatcher started.
    pub fn add_earlier_run(&mut self, task: TaskId, duration: Duration, now: Moment) {
        let ends_at = Some(now + duration);
        let outcome = RunOutcome::Done;
        let run = FakeRun {
            number: RunNumber(1),
            started_at: now,
            duration,
            ends_at,
            outcome,
            cpu: 14_000,
        };
        self.runs.insert(task, run);
        self.lease_end = now + ms(900);
    }

    pub fn advance(&mut self, now: Moment) {
        if self.crash_at.is_some_and(|at| at <= now) {
            self.crash(now);
        }
        let is_expired = self.lease_end <= now;
        let ended: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| is_expired || run.ends_at.is_some_and(|end| end <= now))
            .map(|(task, _)| *task)
            .collect();
        for task in ended {
            let run = self.runs.swap_remove(&task).unwrap();
            self.end_count += 1;
            self.void(task, run.number);
            let done = run.ends_at.is_some_and(|end| end <= now);
            let outcome = if done { run.outcome } else { RunOutcome::Lost(LossCause::Reported) };
            self.ended.push(EndedRun { sequence: self.end_count, task, run: run.number, outcome });
        }
    }

    pub fn report(&self, now: Moment) -> TargetReport {
        let running = self.runs.iter().filter(|(_, run)| run.outcome != RunOutcome::Stopped);
        let running = running.map(|(task, run)| {
            let progress = (now - run.started_at).as_secs_f64() / run.duration.as_secs_f64();
            let percent = if run.ends_at.is_some() { (progress * 100.0) as u32 } else { 0 };
            RunningRun { task: *task, run: run.number, progress_percent: percent }
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
