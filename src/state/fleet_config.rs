//! The configuration of the dispatchers of leased targets: queues, pools of targets and limits on
//! requests.

use super::{id::ConfigVersion, time::scale};
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use std::{str::FromStr, sync::Arc, time::Duration};

macro_rules! text_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[from(&str, String, Arc<str>)]
        pub struct $name(pub Arc<str>);

        impl FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                Ok($name(s.into()))
            }
        }
    };
}

text_type!(
    /// Name of a queue.
    QueueName
);
text_type!(
    /// Name of a pool of targets.
    PoolName
);
text_type!(
    /// A property of a target, such as its kind of machine or its rack.
    Label
);

/// Priority of a queue's jobs; 0 is the highest.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    derive_more::FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(from = "EncodedPriority", into = "EncodedPriority")]
pub struct Priority(pub u64);

/// Fields of a [`Priority`] within its queue. Earlier versions know the first one alone, as a `u8`, and would
/// reject a configuration in which it is larger.
#[derive(Serialize, Deserialize)]
struct EncodedPriority {
    priority: u8,
    /// What `priority` lacks.
    #[serde(default, skip_serializing_if = "is_zero")]
    priority_excess: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl From<Priority> for EncodedPriority {
    fn from(Priority(full): Priority) -> Self {
        let priority = u8::try_from(full).unwrap_or(u8::MAX);
        EncodedPriority { priority, priority_excess: full - u64::from(priority) }
    }
}

impl From<EncodedPriority> for Priority {
    fn from(encoded: EncodedPriority) -> Self {
        Priority(encoded.priority_excess.saturating_add(encoded.priority.into()))
    }
}

/// A queue: the requests that are routed to it, and how their jobs are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: QueueName,
    /// Value that the host of a request must have.
    pub host: Arc<str>,
    /// Prefix that the path of a request must have; the longest match wins.
    pub prefix: Arc<str>,
    /// Pool whose targets run the tasks of the queue.
    pub pool: PoolName,
    /// Priority against the jobs of other queues.
    #[serde(flatten)]
    pub priority: Priority,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of a job's run time in its latency objective, to which `objective_base` is added.
    #[serde(rename = "stretch")]
    pub objective_factor: f64,
    /// Fixed part of the latency objective.
    #[serde(rename = "allowance")]
    pub objective_base: Duration,
    /// Time for which a caller waits whose request names no deadline. A change concerns the requests
    /// that arrive after it.
    pub timeout: Duration,
    /// Whether an outside policy decides which targets may run the tasks; such queues are not
    /// served.
    #[serde(default)]
    pub needs_advice: bool,
}

impl Queue {
    /// Latency objective of a job whose longest chain of tasks takes `run_time`.
    pub fn objective(&self, run_time: Duration) -> Duration {
        scale(run_time, self.objective_factor).saturating_add(self.objective_base)
    }
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: PoolName,
    /// Whether the targets refuse a task that exceeds their free resources.
    #[serde(rename = "guarded")]
    pub rejects_when_full: bool,
}

/// Limits on the requests of callers and their connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a complete request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version of this configuration; a higher one replaces a lower one.
    pub version: ConfigVersion,
    /// Queues that requests are routed to.
    pub queues: Vec<Queue>,
    /// Pools of targets that the queues use.
    pub pools: Vec<Pool>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

impl FleetConfig {
    /// Returns the queue of a request: among the queues with its host, of which the case doesn't matter, the one
    /// with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = self
            .queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix));
        matches.max_by_key(|q| q.prefix.len())
    }

    /// Whether the targets of a pool refuse a task that exceeds their free resources; false if the
    /// pool is not configured.
    pub fn rejects_when_full(&self, pool: &PoolName) -> bool {
        self.pools.iter().any(|p| p.name == *pool && p.rejects_when_full)
    }

    /// Returns the queue with the given name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == *name)
    }
}
