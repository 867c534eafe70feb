//! What the callers of this VM use of it.

use super::{Node, TargetClient};
use crate::{
    state::{
        caller_limits::CallerLimits,
        job_submission::JobSubmission,
        memory_budget::{Reservation, SharedBudget},
        resources::ByteSize,
    },
    transport::{body_buffers::BodyBuffers, connections::Connections},
};
use prometheus_client::{
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};
use std::{cell::Cell, sync::Arc};

/// A job is in memory twice while a dispatcher runs it: decoded, and encoded for a dispatcher or in the
/// state of this VM's own.
const JOB_COPIES: u64 = 2;

/// How often the limits on callers were met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrowdCounts {
    connections: u64,
    bodies: u64,
    requests: u64,
}

/// What the callers of a VM use of it, and how much they may.
#[derive(Debug)]
pub struct CallerResources {
    /// How much callers may use.
    pub limits: CallerLimits,
    /// Connections of callers.
    pub connections: Arc<Connections>,
    /// Bodies of requests.
    pub bodies: Arc<BodyBuffers>,
    /// Memory for jobs whose callers wait for the outcome.
    jobs: SharedBudget,
    /// Number of jobs whose callers wait for the outcome.
    waiting: Cell<usize>,
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
            jobs: SharedBudget::new(limits.job_memory),
            waiting: Cell::default(),
            refused: Cell::default(),
        }
    }

    /// Counts a job as waiting until the guard is dropped; `None` if as many as allowed are.
    pub fn begin_wait(&self) -> Option<WaitGuard<'_>> {
        if self.waiting.get() >= self.limits.requests() {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        Some(WaitGuard(&self.waiting))
    }

    /// Reserves memory for a job; `None` if there is no room for it.
    pub(super) fn reserve(&self, submission: &JobSubmission) -> Option<Reservation> {
        let reservation =
            self.jobs.reserve(ByteSize(submission.memory().0.saturating_mul(JOB_COPIES)));
        if reservation.is_none() {
            self.count_refusal();
        }
        reservation
    }

    /// Logs how often the limits were met since `last`, which it updates; nothing if they were not.
    pub fn log_crowd(&self, last: &mut CrowdCounts) {
        let now = CrowdCounts {
            connections: self.connections.displaced(),
            bodies: self.bodies.displaced(),
            requests: self.refused.get(),
        };
        let before = std::mem::replace(last, now);
        if now != before {
            log::warn!(
                "front: limits on callers met: {} connections and {} bodies displaced, {} requests \
                 refused",
                now.connections - before.connections,
                now.bodies - before.bodies,
                now.requests - before.requests
            );
        }
    }

    /// Counts a request that is refused for those of other callers.
    pub fn count_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
    }
}

/// Counts a job as waiting until it is dropped.
#[derive(Debug)]
pub struct WaitGuard<'a>(&'a Cell<usize>);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
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
        let CallerResources { connections, bodies, jobs, waiting, refused, .. } = &self.callers;
        let dispatcher = self.dispatcher.borrow();
        let dispatched = dispatcher.as_ref().map(|d| d.core.used_job_memory());
        let gauges = [
            ("caller_connections", "Open connections of callers", connections.len() as u64),
            ("caller_jobs", "Jobs whose callers wait for the outcome", waiting.get() as u64),
            ("body_bytes", "Memory of requests' bodies, in bytes", bodies.used() as u64),
            ("caller_job_bytes", "Memory of this VM's callers' jobs, in bytes", jobs.reserved().0),
            (
                "dispatched_job_bytes",
                "Memory of this dispatcher's jobs, in bytes",
                dispatched.unwrap_or_default().0,
            ),
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
                "Connections displaced by new ones, as there were too many",
                connections.displaced(),
            ),
            (
                "displaced_bodies",
                "Bodies displaced by new ones, as they took too much memory",
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
