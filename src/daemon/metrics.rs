//! Metrics in the OpenMetrics text format.

use super::Daemon;
use crate::{
    coordination::status::Gauges,
    transport::traffic::{PEER_TRAFFIC, PLATFORM_TRAFFIC},
};
use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};

impl Daemon {
    /// Encodes the current metrics as text.
    ///
    /// # Errors
    ///
    /// [`std::fmt::Error`] if a value can't be encoded.
    pub fn metrics(&self) -> Result<String, std::fmt::Error> {
        let mut registry = Registry::with_prefix("cranberrytray");
        let gauges = self.core.gauges(self.now());
        register_gauges(&mut registry, self, &gauges);
        register_totals(&mut registry, &gauges);
        register_callers(&mut registry, self);
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}

fn register_gauges(registry: &mut Registry, daemon: &Daemon, gauges: &Gauges) {
    let values = [
        ("config_version", "Configuration version in force", daemon.core.config_version().0),
        ("ready", "Whether new requests should be sent here", u64::from(daemon.is_ready())),
        ("queued_tasks", "Tasks that wait for a slot", gauges.queued as u64),
        ("running_tasks", "Tasks handed to workers and not ended", gauges.running as u64),
        ("owned_slots", "Worker slots of this entry VM", u64::from(gauges.owned)),
        ("idle_slots", "Idle worker slots of this entry VM", u64::from(gauges.idle)),
        ("borrowed_slots", "Worker slots borrowed from peers", u64::from(gauges.borrowed)),
        ("open_jobs", "Jobs without an answer", gauges.open_jobs as u64),
        ("ledger_entries", "Job ids that the ledger remembers", gauges.entries as u64),
        ("workers_set_aside", "Workers set aside", gauges.ejected as u64),
    ];
    for (name, help, value) in values {
        registry.register(name, help, ConstGauge::new(value as i64));
    }
}

fn register_totals(registry: &mut Registry, gauges: &Gauges) {
    let totals = gauges.totals;
    let values = [
        ("starts", "Start requests handed to the transport", totals.starts),
        ("stops", "Stop requests", totals.stops),
        ("borrows", "Requests to borrow slots", totals.borrows),
        ("give_backs", "Messages that give slots back", totals.give_backs),
        ("wasted_refused_starts", "Starts refused or not sent", totals.refused_starts),
        ("wasted_late_stops", "Stops for tasks that had ended", totals.late_stops),
        ("wasted_empty_borrows", "Requests to borrow that brought nothing", totals.empty_borrows),
        ("wasted_unused_loans", "Loans given back unused", totals.unused_loans),
        ("peer_bytes_sent", "Bytes sent to peers and operators", PEER_TRAFFIC.sent()),
        ("peer_bytes_received", "Bytes received from peers and operators", PEER_TRAFFIC.received()),
        ("platform_bytes_sent", "Bytes sent to the platform", PLATFORM_TRAFFIC.sent()),
        (
            "platform_bytes_received",
            "Bytes received from the platform",
            PLATFORM_TRAFFIC.received(),
        ),
    ];
    for (name, help, value) in values {
        registry.register(name, help, ConstCounter::new(value));
    }
}

fn register_callers(registry: &mut Registry, daemon: &Daemon) {
    let (connections, bodies) = (&daemon.connections, &daemon.bodies);
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
            "Connections displaced by new ones, as there were too many",
            connections.displaced(),
        ),
        (
            "displaced_bodies",
            "Bodies displaced by new ones, as they took too much memory",
            bodies.displaced(),
        ),
    ];
    for (name, help, value) in counters {
        registry.register(name, help, ConstCounter::new(value));
    }
}
