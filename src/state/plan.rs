//! The configuration that jobs run under: queues, pools of targets and limits on requests.

use super::id::ConfigVersion;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use std::{str::FromStr, sync::Arc, time::Duration};

macro_rules! label {
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

label!(
    /// The name of a queue.
    QueueName
);
label!(
    /// The name of a pool of targets.
    PoolName
);
label!(
    /// A property of a target, such as its kind or its rack.
    Label
);

/// How urgent a queue is; 0 is the most urgent.
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
pub struct Priority(pub u8);

/// A queue: which requests it takes, and how their jobs are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// The host of its requests.
    pub host: Arc<str>,
    /// The start of their paths.
    pub prefix: Arc<str>,
    /// The pool whose targets run its tasks.
    pub pool: PoolName,
    /// Its urgency.
    pub priority: Priority,
    /// How often a task may fail before its job fails.
    pub max_attempts: u32,
    /// A job meets its latency objective within this many times its run time plus `allowance`.
    pub stretch: f64,
    /// The fixed part of the latency objective.
    pub allowance: Duration,
    /// Longest time a request may take.
    pub timeout: Duration,
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Whether its targets refuse a task that doesn't fit.
    pub guarded: bool,
}

/// Limits on requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a request's head.
    pub header_timeout: Duration,
    /// Longest time a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its version; higher ones replace lower ones.
    pub version: ConfigVersion,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

impl Plan {
    /// The queue of a request: the longest prefix of its path among the queues of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches =
            self.queues.iter().filter(|q| &*q.host == host && path.starts_with(&*q.prefix));
        matches.max_by_key(|q| q.prefix.len())
    }

    /// A queue by its name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == *name)
    }
}
