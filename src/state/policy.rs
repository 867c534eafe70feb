//! The settings of the decisions.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How the entry VMs of a zone share its workers' slots.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// Every entry VM uses every slot; workers refuse when full.
    #[display("everywhere")]
    Everywhere,
    /// Each slot belongs to one entry VM.
    #[display("divided")]
    Divided,
    /// Each slot belongs to one entry VM, which lends idle ones to peers that queue.
    #[default]
    #[display("lending")]
    Lending,
}

/// How a worker is chosen among those with a free slot.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// The one expected to finish first.
    #[default]
    #[display("expected_finish")]
    ExpectedFinish,
    /// Each in turn.
    #[display("round_robin")]
    RoundRobin,
    /// Any, at random.
    #[display("random")]
    Random,
    /// The one with the fewest running tasks.
    #[display("least_outstanding")]
    LeastOutstanding,
}

/// How one entry VM decides. Each field can be set; the defaults are those of the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How slots are shared.
    pub sharing: Sharing,
    /// Entry VMs of a zone that share its workers; the others pass jobs on to them.
    pub dispatchers: u32,
    /// How a worker is chosen.
    pub choice: Choice,
    /// Share of the slots, the fastest free ones, that is kept free of the tasks of large jobs.
    pub express_share: f64,
    /// Whether jobs that can't finish in time are refused at once.
    pub admission: bool,
    /// Whether teams share by weight; otherwise first come, first served.
    pub fair: bool,
    /// Whether workers that fail much more than their peers are set aside.
    pub set_aside: bool,
    /// Weight of wasted messages against response time, from 0 (response only) to 1.
    pub waste_weight: f64,
    /// Tasks queued at most.
    pub max_queued_tasks: usize,
    /// Bytes of task input queued at most.
    pub max_queued_bytes: usize,
    /// Bytes of answers kept for callers that ask again; beyond it, new jobs are refused.
    pub max_kept_bytes: usize,
    /// Start requests that may be repeated after a refusal, as a share of starts.
    pub retry_share: f64,
    /// Life of a job id, in milliseconds.
    pub ticket_life_ms: u64,
    /// Connections to one worker at most.
    pub connections_per_worker: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            sharing: Sharing::default(),
            dispatchers: 1,
            choice: Choice::default(),
            express_share: 0.04,
            admission: true,
            fair: true,
            set_aside: true,
            waste_weight: 0.0,
            max_queued_tasks: 50_000,
            max_queued_bytes: 32 << 20,
            max_kept_bytes: 64 << 20,
            retry_share: 1.0,
            ticket_life_ms: 180_000,
            connections_per_worker: 16,
        }
    }
}

impl Policy {
    /// Sets how slots are shared.
    pub fn sharing(mut self, sharing: Sharing) -> Self {
        self.sharing = sharing;
        self
    }

    /// Sets how many entry VMs of a zone share its workers.
    pub fn dispatchers(mut self, dispatchers: u32) -> Self {
        self.dispatchers = dispatchers;
        self
    }

    /// Sets how a worker is chosen.
    pub fn choice(mut self, choice: Choice) -> Self {
        self.choice = choice;
        self
    }

    /// The life of a job id.
    pub fn ticket_life(&self) -> Duration {
        Duration::from_millis(self.ticket_life_ms)
    }
}
