//! Settings of the scheduling decisions of an entry VM with its own workers.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How the entry VMs of a zone share the slots of its workers.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotSharing {
    /// Every entry VM may use every slot; workers refuse tasks when all their slots are busy.
    #[display("everywhere")]
    Everywhere,
    /// Each slot belongs to one entry VM and is used only by this one.
    #[display("divided")]
    Divided,
    /// Each slot belongs to one entry VM, which lends its idle slots to peers with queued tasks.
    #[default]
    #[display("lending")]
    Lending,
}

/// How a worker is selected for a task among those with an idle slot.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerChoice {
    /// The worker that is expected to finish the task first.
    #[default]
    #[display("expected_finish")]
    ExpectedFinish,
    /// Each worker in turn.
    #[display("round_robin")]
    RoundRobin,
    /// A worker at random, all with the same probability.
    #[display("random")]
    Random,
    /// The worker with the fewest running tasks.
    #[display("least_outstanding")]
    LeastOutstanding,
}

/// Settings of one entry VM's decisions. The defaults are those of the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How the entry VMs of the zone share the slots of its workers.
    pub sharing: SlotSharing,
    /// Number of entry VMs of a zone that share its workers; the other ones forward jobs to them.
    pub dispatchers: u32,
    /// How a worker is selected among those with an idle slot.
    pub choice: WorkerChoice,
    /// Share of the slots that is reserved for the tasks of small jobs, taken from the fastest idle
    /// slots.
    pub express_share: f64,
    /// Whether jobs that are predicted to miss their deadline are refused on arrival.
    pub admission: bool,
    /// Whether teams share the slots by their weights; otherwise jobs run first come, first served.
    pub fair: bool,
    /// Whether workers that fail far more often than their peers get no tasks for a while.
    pub set_aside: bool,
    /// Weight of avoiding wasted messages against response time: 0 for response time only, up to 1.
    pub waste_weight: f64,
    /// Limit on queued tasks; jobs beyond it are refused.
    pub max_queued_tasks: usize,
    /// Limit on the total task input of open jobs, in bytes; jobs beyond it are refused.
    pub max_queued_bytes: usize,
    /// Limit on the stored answers, which callers may request again, in bytes; jobs are refused
    /// while it is exceeded.
    pub max_kept_bytes: usize,
    /// Retry budget: number of starts that may be retried after a refusal, per start.
    pub retry_share: f64,
    /// Time after which a job id expires, in milliseconds.
    pub ticket_life_ms: u64,
    /// Limit on the connections to one worker.
    pub connections_per_worker: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            sharing: SlotSharing::default(),
            dispatchers: 1,
            choice: WorkerChoice::default(),
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
    /// Sets how the entry VMs of a zone share the slots of its workers.
    pub fn sharing(mut self, sharing: SlotSharing) -> Self {
        self.sharing = sharing;
        self
    }

    /// Sets the number of entry VMs of a zone that share its workers.
    pub fn dispatchers(mut self, dispatchers: u32) -> Self {
        self.dispatchers = dispatchers;
        self
    }

    /// Sets how a worker is selected.
    pub fn choice(mut self, choice: WorkerChoice) -> Self {
        self.choice = choice;
        self
    }

    /// Returns the time after which a job id expires.
    pub fn ticket_life(&self) -> Duration {
        Duration::from_millis(self.ticket_life_ms)
    }
}
