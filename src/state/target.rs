//! Targets as known to a dispatcher: state, resources, leases, and runs of tasks.

use super::{
    cold_period::ColdPeriod,
    fleet_config::{Label, PoolName},
    id::ZoneName,
    job_submission::{RunNumber, TaskId},
    resources::{MilliCores, Resources},
    start_answer::StartAnswer,
    target_clock::ClockReading,
    time::Moment,
};
use derive_more::{Display, From};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// While a stop request is unconfirmed for longer than this, the target's leases are not renewed,
/// so that the run's lease expires if no stop request arrives. Twice the usual request timeout.
const STOP_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(60);

/// Largest number of tasks that run at once on a target, which accepts as many connections. It bounds the
/// cost of forecasts and reports where a target claims to have any capacity or tasks need next to none.
pub const MAX_SLOTS: u64 = 64;

/// Name of a target, unique on the platform.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[from(&str, String)]
pub struct TargetId(pub Arc<str>);

/// Incarnation of a target: the time of its start on its own clock, in milliseconds since 1970.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct TargetIncarnation(pub u64);

/// A fencing token. A target rejects requests with a lower token than the highest it has received,
/// which keeps a former dispatcher from starting or stopping runs.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// A time on a target's own clock, in milliseconds. Times of different targets can't be compared.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetTime(pub u64);

impl TargetTime {
    /// Returns the time that the clock shows `duration` later, or the latest one that it can show.
    pub fn saturating_add(self, duration: Duration) -> Self {
        TargetTime(self.0.saturating_add(duration.as_millis() as u64))
    }
}

/// Description of a target in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Unique name of the target.
    pub id: TargetId,
    /// Incarnation of the target when the list entry was written.
    #[serde(rename = "life")]
    pub incarnation: TargetIncarnation,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Pool that the target belongs to.
    pub pool: PoolName,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Total resources of the target.
    pub capacity: Resources,
    /// Kind of machine, for which run times are learned.
    pub kind: Label,
    /// Labels of the target: first the kind of machine, then the rack, then any others.
    pub labels: Vec<Label>,
    /// Whether the target is shutting down and must get no new tasks.
    pub draining: bool,
    /// Time for which the target remains slow, as of the list entry; zero if it is not cold.
    #[serde(default)]
    pub cold_for: Duration,
}

impl TargetInfo {
    /// Whether the target has the given label.
    pub fn has_label(&self, label: &Label) -> bool {
        self.labels.contains(label)
    }
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The task succeeded.
    #[display("done")]
    Done,
    /// The task failed, through a fault of its own or of the target.
    #[display("failed")]
    Failed,
    /// The run was stopped on request, or was never started.
    #[display("stopped")]
    Stopped,
    /// The run ended without a result.
    #[display("lost: {_0}")]
    Lost(LossCause),
}

/// Reason for which a run ended without a result.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum LossCause {
    /// The target reports that the lease expired, or that the run ended for another reason that is
    /// no fault of the task.
    #[display("reported by its target")]
    Reported,
    /// The target was restarted.
    #[display("its target was restarted")]
    Restarted,
    /// The target answers, but no longer has the run.
    #[display("its target has forgotten it")]
    Forgotten,
    /// The lease has expired, and the target did not answer since.
    #[display("its lease expired without an answer")]
    Expired,
    /// Another target serves at the address.
    #[display("another target serves at its address")]
    Replaced,
}

impl LossCause {
    /// Whether the target may have crashed.
    pub fn may_be_crash(self) -> bool {
        matches!(self, LossCause::Expired | LossCause::Restarted | LossCause::Replaced)
    }
}

/// A run that a target reports as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end on the target. A lease renewal acknowledges all ends up to one.
    pub sequence: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run among those of the task.
    pub run: RunNumber,
    /// Outcome that the target reports.
    pub outcome: RunOutcome,
}

/// A run that a target reports as running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run among those of the task.
    pub run: RunNumber,
    /// Progress in percent, rounded down.
    pub progress_percent: u32,
}

/// State of a target as reported in its answer to a lease renewal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetReport {
    /// Clock of the target when it answered.
    pub clock: TargetTime,
    /// Incarnation of the target; `None` if the answer lacks it.
    pub incarnation: Option<TargetIncarnation>,
    /// Runs that are running on the target.
    pub running: Vec<RunningRun>,
    /// Ended runs that the dispatcher has not acknowledged yet.
    pub ended: Vec<EndedRun>,
    /// Sequence number of the last end that the answer lists, whether or not `ended` has it: runs that no
    /// dispatcher of this system started are left out. Zero if the answer lists none.
    pub last_end: u64,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start request was sent and is not answered.
    Starting,
    /// The target has confirmed that it started the run.
    Running {
        /// Time at which the confirmation arrived.
        since: Moment,
    },
    /// A stop request was sent.
    Stopping {
        /// Time of the first stop request.
        since: Moment,
        /// Time by which the run has ended on the target, as it has confirmed a stop request;
        /// `None` if it has not confirmed one.
        ends_by: Option<Moment>,
        /// Number of stop requests sent so far.
        attempts: u32,
    },
    /// The target no longer reports the run. It may still exist: a target reports none that it is
    /// stopping, by an order of another dispatcher or for an earlier submission.
    Vanished {
        /// Time by which the run has ended on the target.
        ends_by: Moment,
    },
}

/// A run that may exist on a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run among those of its task.
    pub number: RunNumber,
    /// Submission key of the job that waits for the run; `None` if no job does any more.
    pub job: Option<u64>,
    /// Resources that the run occupies on the target.
    pub needs: Resources,
    /// Incarnation of the target that the run was started on.
    pub incarnation: TargetIncarnation,
    /// State of the run.
    pub state: RunState,
    /// Time at which the first start request was sent.
    pub first_sent_at: Moment,
    /// Time at which the last start request was sent.
    pub start_sent_at: Moment,
    /// Number of start requests sent.
    pub start_attempts: u32,
    /// Answer to the last start request.
    pub start_answer: StartAnswer,
    /// End of the lease in the last start request, on the target's clock.
    pub lease_end: TargetTime,
    /// Whether a start request was not answered, so that the target may still execute it.
    pub has_unanswered_start: bool,
    /// Latest end of the lease that the start request grants; `None` once the request is answered
    /// or has timed out.
    pub pending_lease_end: Option<Moment>,
    /// Run time that was predicted when the run was started.
    pub expected_duration: Duration,
    /// Time at which the run is expected to end, according to its progress if that is known.
    pub expected_end: Moment,
    /// Whether it had made no progress at all long after its start, when its target last reported.
    pub stalled: bool,
    /// Progress in the last report of the target, in percent, rounded down.
    pub progress_percent: u32,
    /// Shortest total run time projected from the progress so far; `None` until the progress is
    /// known well enough. A much longer projection later shows that the run has stalled.
    pub min_projected_duration: Option<Duration>,
    /// Whether its progress showed that its target is slow.
    pub slow: bool,
    /// When the run must have ended although no job waits for it any more, as its caller may submit
    /// the job again elsewhere.
    pub must_end_by: Option<Moment>,
}

/// A start request that was not answered, of a run that is closed.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredStart {
    /// Highest number of such a run of the task.
    pub run: RunNumber,
    /// Incarnation of the target that such a request was sent to; a former one, if any was.
    pub incarnation: TargetIncarnation,
    /// When the last such run was closed.
    pub closed_at: Moment,
}

/// State of outlier ejection for a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierState {
    /// Number of faults since the last success or ejection. After an ejection, one more fault
    /// suffices for the next.
    pub recent_faults: u32,
    /// Time until which the target is ejected, so that it gets no new runs.
    pub ejected_until: Moment,
    /// Duration of the last ejection; zero after a success. The next one lasts twice as long.
    pub ejection_duration: Duration,
}

/// A target that this dispatcher owns or is taking over from an earlier one.
#[derive(Clone, Debug)]
pub struct Target {
    /// Description of the target in the platform's list. After a restart it is that of the former
    /// incarnation until the list has an entry of the present one, see [`Target::is_described`].
    pub info: TargetInfo,
    /// Present incarnation, as the target's reports or its list entry tell, whichever comes first.
    pub incarnation: TargetIncarnation,
    /// Time at which the present incarnation became known.
    pub incarnation_known_at: Moment,
    /// Incarnation that the present one replaced.
    pub former_incarnation: Option<TargetIncarnation>,
    /// Last incarnation of which an entry said that it is shutting down.
    pub draining_incarnation: Option<TargetIncarnation>,
    /// Whether the takeover is complete: no run of an earlier dispatcher is left on the target.
    pub taken_over: bool,
    /// Time at which the takeover was completed.
    pub taken_over_at: Moment,
    /// Time by which the runs of an earlier dispatcher have ended, known once it reports none.
    pub foreign_runs_end_by: Option<Moment>,
    /// Whether the target has answered a request with this dispatcher's fencing token.
    pub accepted_token: bool,
    /// Reading of the target's clock that is furthest ahead; `None` until one has arrived, or if
    /// the target has rejected a start because of its clock.
    pub clock: Option<ClockReading>,
    /// Time by which `clock`, extrapolated, was ahead of the latest reading, in milliseconds.
    pub clock_lead_ms: i64,
    /// Runs in the last report that this dispatcher did not know.
    pub unknown_runs: IndexSet<(TaskId, RunNumber)>,
    /// Runs of this dispatcher that may exist on the target.
    pub runs: IndexMap<TaskId, Run>,
    /// Start requests of closed runs that were not answered. The target rejects them by its clock,
    /// but after a restart that begins anew.
    pub unanswered_starts: IndexMap<TaskId, UnansweredStart>,
    /// Resources that the runs in `runs` occupy.
    pub used: Resources,
    /// Sequence number of the last end of a run that was processed.
    pub last_end_sequence: u64,
    /// Latest end of the leases granted by requests that the target may have received.
    pub lease_end: Moment,
    /// Latest end of the lease that the present renewal grants; `None` once the renewal is answered
    /// or has timed out.
    pub pending_lease_end: Option<Moment>,
    /// Time since which the target is unresponsive; `None` while it answers.
    pub unresponsive_since: Option<Moment>,
    /// Time of the last report of the target.
    pub last_report_at: Moment,
    /// Number of consecutive lease renewals without an answer.
    pub missed_answers: u32,
    /// State of the outlier ejection of the target.
    pub outlier: OutlierState,
    /// Factor of the target's run times against those of targets of the same kind.
    pub slowness: f64,
    /// Number of runs from which `slowness` was learned.
    pub observed_runs: u32,
    /// Time until which no run is started on the target after it refused one for insufficient
    /// resources.
    pub no_starts_until: Moment,
    /// Whether the platform's list contains the target.
    pub listed: bool,
    /// Last period in which the target was cold.
    pub cold: ColdPeriod,
}

impl Target {
    /// Creates a target of which only its list entry is known, and which is to be taken over.
    pub fn new(info: TargetInfo, now: Moment) -> Self {
        let mut cold = ColdPeriod::default();
        cold.update(&info, now);
        Target {
            incarnation: info.incarnation,
            draining_incarnation: info.draining.then_some(info.incarnation),
            info,
            incarnation_known_at: now,
            former_incarnation: None,
            taken_over: false,
            foreign_runs_end_by: None,
            taken_over_at: Moment::ZERO,
            accepted_token: false,
            clock: None,
            clock_lead_ms: 0,
            unknown_runs: IndexSet::new(),
            runs: IndexMap::new(),
            unanswered_starts: IndexMap::new(),
            used: Resources::default(),
            last_end_sequence: 0,
            lease_end: Moment::ZERO,
            pending_lease_end: None,
            unresponsive_since: None,
            last_report_at: now,
            missed_answers: 0,
            outlier: OutlierState::default(),
            slowness: 1.0,
            observed_runs: 0,
            no_starts_until: Moment::ZERO,
            listed: true,
            cold,
        }
    }

    /// Whether `info` describes the present incarnation. A target may come back under its name as
    /// another kind of machine, with other labels and resources, or in another pool.
    pub fn is_described(&self) -> bool {
        self.info.incarnation == self.incarnation
    }

    /// Whether new tasks may be considered for the target: what it offers is known, and it is not
    /// shutting down.
    pub fn accepts_tasks(&self) -> bool {
        self.is_described() && !self.was_draining(self.incarnation)
    }

    /// Whether an incarnation of the target is or was shutting down, as its entries said.
    pub fn was_draining(&self, incarnation: TargetIncarnation) -> bool {
        self.draining_incarnation == Some(incarnation)
    }

    /// Whether a run shows how fast targets of the kind in `info` are: it was started on the incarnation that
    /// `info` describes.
    pub fn shows_speed_of_kind(&self, run: &Run) -> bool {
        self.is_described() && run.incarnation == self.incarnation
    }

    /// Forgets what was learned of the target's speed, which is relative to its kind.
    pub fn forget_slowness(&mut self) {
        self.slowness = 1.0;
        self.observed_runs = 0;
    }

    /// Records a reading of the target's clock in the answer to a request that was sent at `sent`. Of
    /// two readings the one that gives the later lower bound is kept, unless the new one shows that the
    /// other gives none, as the clock stood still.
    pub fn record_clock(&mut self, time: TargetTime, sent: Moment, now: Moment) {
        let estimate = self.clock.map_or(time, |clock| clock.earliest_at(now));
        self.clock_lead_ms = estimate.0 as i64 - time.0 as i64;
        if self.clock.is_none() || estimate <= time || estimate > time.saturating_add(now - sent) {
            self.clock = Some(ClockReading { time, received_at: now });
        }
    }

    /// Resources of the target that no run occupies.
    pub fn free_resources(&self) -> Resources {
        self.info.capacity.saturating_sub(self.used)
    }

    /// CPU of the target that may be used now; less than its capacity while it is cold.
    pub fn usable_cpu(&self, now: Moment) -> MilliCores {
        if !self.cold.is_cold(now) {
            return self.info.capacity.cpu;
        }
        MilliCores((self.info.capacity.cpu.0 as f64 * self.cold.usable_share(now)) as u64)
    }

    /// CPU of the target that may be used now and that no run occupies.
    pub fn free_cpu(&self, now: Moment) -> MilliCores {
        MilliCores(self.usable_cpu(now).0.saturating_sub(self.used.cpu.0))
    }

    /// Resources that one more task may take now. A target without runs offers all of them also
    /// while it is cold, so that tasks that need more than the usable share aren't kept waiting.
    pub fn startable_resources(&self, now: Moment) -> Resources {
        let free = self.free_resources();
        if self.runs.is_empty() { free } else { Resources { cpu: self.free_cpu(now), ..free } }
    }

    /// Number of tasks that need `task_cpu` thousandths of a core each and may be started now, at most
    /// [`MAX_SLOTS`].
    pub fn free_slots(&self, task_cpu: u64, now: Moment) -> u64 {
        let task_cpu = task_cpu.max(1);
        let first = self.startable_resources(now).cpu.0 / task_cpu;
        (self.free_cpu(now).0 / task_cpu).max(first.min(1)).min(MAX_SLOTS)
    }

    /// Number of tasks that need `task_cpu` thousandths of a core each and may run at once, at most
    /// [`MAX_SLOTS`].
    pub fn slots(&self, task_cpu: u64, now: Moment) -> u64 {
        (self.usable_cpu(now).0 / task_cpu.max(1)).min(MAX_SLOTS)
    }

    /// Latest time at which a lease that this dispatcher granted on the target may expire.
    pub fn latest_lease_end(&self) -> Moment {
        let starts = self.runs.values().filter_map(|run| run.pending_lease_end);
        starts.chain(self.pending_lease_end).fold(self.lease_end, Moment::max)
    }

    /// Whether a stop request is unconfirmed for longer than the target usually takes to answer.
    pub fn has_unconfirmed_stop(&self, now: Moment) -> bool {
        let unconfirmed = |run: &Run| {
            matches!(run.state, RunState::Stopping { since, ends_by: None, .. }
                if now - since > STOP_CONFIRMATION_TIMEOUT)
        };
        self.runs.values().any(unconfirmed)
    }

    /// Adds a run and its resources.
    pub fn add_run(&mut self, task: TaskId, run: Run) {
        self.used += run.needs;
        self.runs.insert(task, run);
    }

    /// Removes the run of a task, unless the task's run has another number.
    pub fn remove_run(&mut self, task: TaskId, number: RunNumber) -> Option<Run> {
        if self.runs.get(&task)?.number != number {
            return None;
        }
        let run = self.runs.swap_remove(&task)?;
        self.used = self.used.saturating_sub(run.needs);
        self.lease_end = self.lease_end.max(run.pending_lease_end.unwrap_or_default());
        Some(run)
    }
}
