//! What is known of a target, and what a dispatcher has running there.

use super::{
    id::ZoneName,
    plan::{Label, PoolName},
    resources::Resources,
    time::Moment,
    work::{RunNumber, TaskId},
};
use derive_more::{Display, From};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// A stop unconfirmed for this long ends the extension of the target's leases, so that the run
/// lapses soon if no stop arrives; twice the usual wait for an answer.
const STOP_PATIENCE: Duration = Duration::from_millis(60);

/// The name of a target.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[from(&str, String)]
pub struct TargetId(pub Arc<str>);

/// An incarnation of a target: the time of its start, as it says.
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
pub struct Life(pub u64);

/// A fencing token: a target carries out nothing for a lower one than it has seen.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence(pub u64);

/// A point on a target's own clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetTime(pub u64);

/// Where a target is and what it has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Its name.
    pub id: TargetId,
    /// Its incarnation.
    pub life: Life,
    /// Its address.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it has in all.
    pub capacity: Resources,
    /// The kind of machine, which decides its speed.
    pub kind: Label,
    /// All its labels.
    pub labels: Vec<Label>,
    /// Whether it is leaving.
    pub draining: bool,
}

impl TargetInfo {
    /// Whether it has the label.
    pub fn has(&self, label: &Label) -> bool {
        self.labels.contains(label)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum HowEnded {
    /// It succeeded.
    #[display("done")]
    Done,
    /// It failed by its own fault or the target's.
    #[display("failed")]
    Failed,
    /// It was stopped.
    #[display("stopped")]
    Stopped,
    /// Its lease ran out, or it ended without a fault of its own.
    #[display("lost")]
    Lost,
}

/// A run that a target lists as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The target's count of ends.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub how: HowEnded,
}

/// A run that a target lists as running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How much of it is done, in percent.
    pub percent: u32,
}

/// What a target says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Its clock when it answered.
    pub clock: TargetTime,
    /// Its incarnation, where it says so.
    pub life: Option<Life>,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<EndedRun>,
}

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start was sent and not answered.
    Starting,
    /// The target has confirmed the start.
    Running {
        /// When the confirmation arrived.
        since: Moment,
    },
    /// A stop was sent.
    Stopping {
        /// When the run was first to be stopped.
        since: Moment,
        /// When the target confirmed the stop.
        acknowledged: Option<Moment>,
        /// Stops sent so far.
        tries: u32,
    },
}

/// A run on a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its number.
    pub number: RunNumber,
    /// The job that waits for it, by the dispatcher's own number.
    pub job: Option<u64>,
    /// What it takes up.
    pub needs: Resources,
    /// Its state.
    pub state: RunState,
    /// When its start was sent, the last time if more than once.
    pub sent: Moment,
    /// How often its start was sent.
    pub sends: u32,
    /// Run time expected when it was started.
    pub usual: Duration,
    /// When it is expected to end, by its progress if that is known.
    pub expected: Moment,
    /// How much of it was done when last heard, in percent.
    pub percent: u32,
    /// The shortest run time that its progress has told.
    pub shortest: Option<Duration>,
}

/// A target's clock as last heard.
#[derive(Clone, Copy, Debug)]
pub struct HeardClock {
    /// What it said.
    pub said: TargetTime,
    /// When that arrived.
    pub at: Moment,
}

impl HeardClock {
    /// The least that the target's clock shows at `now`.
    pub fn at(self, now: Moment) -> TargetTime {
        TargetTime(self.said.0 + (now - self.at).as_millis() as u64)
    }
}

/// Whether a target fails what it is given.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conduct {
    /// Faults, less successes; at least zero.
    pub faults: u32,
    /// Given no work before this moment.
    pub aside_until: Moment,
    /// How long it was set aside last.
    pub pause: Duration,
}

/// A target that this dispatcher owns or is taking over.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the list says of it.
    pub info: TargetInfo,
    /// Whether nothing of an earlier owner runs there any more.
    pub taken: bool,
    /// Since when that is so.
    pub taken_at: Moment,
    /// Its clock.
    pub clock: Option<HeardClock>,
    /// The runs that may be there.
    pub runs: IndexMap<TaskId, Run>,
    /// What these runs take up.
    pub used: Resources,
    /// The number of the last end that was noted.
    pub last_end: u64,
    /// The latest moment at which a lease given by this dispatcher may run out.
    pub lease_end: Moment,
    /// Since when it has not answered.
    pub silent_since: Option<Moment>,
    /// When it was last heard.
    pub heard: Moment,
    /// Requests in a row that it did not answer.
    pub missed: u32,
    /// Whether it fails its work.
    pub conduct: Conduct,
    /// How much slower it is than others of its kind.
    pub slowness: f64,
    /// Runs that `slowness` was learned from.
    pub observed: u32,
    /// It refused a task for want of room; no further ones before this moment.
    pub full_until: Moment,
    /// Whether the list names it.
    pub listed: bool,
}

impl Target {
    /// A target about which only the list is known.
    pub fn new(info: TargetInfo, now: Moment) -> Self {
        Target {
            info,
            taken: false,
            taken_at: Moment::ZERO,
            clock: None,
            runs: IndexMap::new(),
            used: Resources::default(),
            last_end: 0,
            lease_end: Moment::ZERO,
            silent_since: None,
            heard: now,
            missed: 0,
            conduct: Conduct::default(),
            slowness: 1.0,
            observed: 0,
            full_until: Moment::ZERO,
            listed: true,
        }
    }

    /// What is free.
    pub fn room(&self) -> Resources {
        self.info.capacity.minus(self.used)
    }

    /// Whether a stop was sent that is still not confirmed after a usual answer's time.
    pub fn has_unconfirmed_stop(&self, now: Moment) -> bool {
        let unconfirmed = |run: &Run| {
            matches!(run.state, RunState::Stopping { since, acknowledged: None, .. }
                if now - since > STOP_PATIENCE)
        };
        self.runs.values().any(unconfirmed)
    }

    /// Adds a run.
    pub fn add(&mut self, task: TaskId, run: Run) {
        self.used += run.needs;
        self.runs.insert(task, run);
    }

    /// Removes a run, if this is its number.
    pub fn remove(&mut self, task: TaskId, number: RunNumber) -> Option<Run> {
        if self.runs.get(&task)?.number != number {
            return None;
        }
        let run = self.runs.swap_remove(&task)?;
        self.used = self.used.minus(run.needs);
        Some(run)
    }
}
