//! What the callers of this VM use of it.

use super::{Node, TargetClient};
use crate::{
    state::caller_limits::CallerLimits,
    transport::{body_buffers::BodyBuffers, connections::Connections},
};
use prometheus_client::{
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};
use std::{cell::Cell, sync::Arc};

/// What the callers of a VM use of it, and how much they may.
#[derive(Debug)]
pub struct CallerResources {
    /// How much callers may use.
    pub limits: CallerLimits,
    /// Connections of callers.
    pub connections: Arc<Connections>,
    /// Bodies of requests.
    pub bodies: Arc<BodyBuffers>,
    /// Number of requests that were refused for those of other callers.
    refused: Cell<u64>,
}

impl CallerResources {
    /// Creates the resources of a VM without callers.
    pub fn new(limits: CallerLimits) -> Self {
        CallerResources {
            limits,
            connections: Connections::new(limits.connections),
            bodies: BodyBuffers::new(limits.body_memory.0 as usize),
            refused: Cell::default(),
        }
    }

    /// Counts a request that is refused for those of other callers.
    pub fn count_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
    }
}

impl<T> Node<T>
where
    T: TargetClient,
{
    /// What the callers of this VM use of it.
    pub fn callers(&self) -> &CallerResources {
        &self.callers
    }

    pub(super) fn register_caller_metrics(&self, registry: &mut Registry) {
        let CallerResources { connections, bodies, refused, .. } = &self.callers;
        let gauges = [
            ("caller_connections", "Open connections of callers", connections.len() as u64),
            ("body_bytes", "Memory of requests' bodies, in bytes", bodies.used() as u64),
        ];
        for (name, help, value) in gauges {
            registry.register(name, help, ConstGauge::new(value as i64));
        }
        let counters = [
            (
                "stalled_connections",
                "Connections closed because their callers made no progress",
                connections.stalled(),
            ),
            (
                "displaced_connections",
                "Connections closed for new ones, as there were too many",
                connections.displaced(),
            ),
            (
                "displaced_bodies",
                "Bodies given up for new ones, as they took too much memory",
                bodies.displaced(),
            ),
            (
                "crowded_out_requests",
                "Requests refused because those of other callers left no room",
                refused.get(),
            ),
        ];
        for (name, help, value) in counters {
            registry.register(name, help, ConstCounter::new(value));
        }
    }
}
