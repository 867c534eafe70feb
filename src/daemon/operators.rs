//! Operators' calls: status, timeline and changes of the configuration.

use super::{Daemon, timeline};
use crate::{
    coordination::{
        config_update::{ConfigUpdate, Proposal, UpdateOutcome, UpdateStep},
        configuration::{ChangeRecord, ConfigError, Configuration},
        members::MemberInfo,
    },
    state::id::{ConfigVersion, VmName, ZoneName},
    transport::platform::Platform,
};
use rand::Rng;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Shortest and longest backoff before the platform's table is read again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(1_000));

/// Status of one entry VM as operators see it.
#[derive(Clone, Debug)]
pub struct VmStatus {
    /// Name of the entry VM.
    pub vm: VmName,
    /// Availability zone of the entry VM.
    pub zone: ZoneName,
    /// Incarnation of its process; 0 if the entry VM is unreachable.
    pub incarnation: u64,
    /// Version of the configuration in force there.
    pub version: ConfigVersion,
    /// Time since that configuration came into force.
    pub config_age: Duration,
    /// Whether the load balancer should send it new requests.
    pub ready: bool,
    /// Whether it is leaving: it refuses new jobs and finishes accepted ones.
    pub leaving: bool,
    /// Whether it returned no status; versions and counts are 0 then.
    pub unreachable: bool,
    /// Tasks that wait for a slot.
    pub queued: u32,
    /// Tasks handed to workers and not ended.
    pub running: u32,
    /// Worker slots that it owns.
    pub owned: u32,
    /// Idle slots among those that it owns.
    pub idle: u32,
    /// Accepted jobs without an answer.
    pub open_jobs: u32,
    /// Workers ejected as outliers because they fail much more than others.
    pub set_aside: u32,
}

impl VmStatus {
    /// Creates the status of a member that can't be reached.
    pub fn unreachable(member: &MemberInfo) -> Self {
        VmStatus {
            vm: member.vm.clone(),
            zone: member.zone.clone(),
            incarnation: 0,
            version: ConfigVersion::default(),
            config_age: Duration::ZERO,
            ready: false,
            leaving: member.leaving,
            unreachable: true,
            queued: 0,
            running: 0,
            owned: 0,
            idle: 0,
            open_jobs: 0,
            set_aside: 0,
        }
    }
}

/// An event of the timeline, in a form that can be merged with events of other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEvent {
    /// Wall-clock time of the event, in microseconds since 1970.
    pub at_unix_us: u64,
    /// Number of the event in its process, without gaps.
    pub sequence: u64,
    /// Name of the entry VM that recorded the event.
    pub vm: String,
    /// Kind of event, such as `accepted` or `started`.
    pub kind: String,
    /// Id of the job concerned, without its tag; empty if the event concerns no job.
    pub cause: String,
    /// Details of the event for an operator.
    pub detail: String,
}

impl Daemon {
    /// Returns the status of this entry VM.
    pub fn status(&self) -> VmStatus {
        let gauges = self.core.gauges(self.now());
        VmStatus {
            vm: self.settings.vm.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.core.issuer().incarnation.0,
            version: self.core.config_version(),
            config_age: self.config_changed_at.lock().elapsed(),
            ready: self.is_ready(),
            leaving: self.core.is_leaving(),
            unreachable: false,
            queued: gauges.queued as u32,
            running: gauges.running as u32,
            owned: gauges.owned,
            idle: gauges.idle,
            open_jobs: gauges.open_jobs as u32,
            set_aside: gauges.ejected as u32,
        }
    }

    /// Returns the latest events of this process, oldest first; only those of the job with the id
    /// `cause` (with or without its tag) if `cause` is not empty.
    pub fn events(&self, cause: &str, limit: usize) -> Vec<TimelineEvent> {
        let issuer = self.core.issuer();
        let to_event = |entry: timeline::Entry| TimelineEvent {
            at_unix_us: entry.at_unix_us,
            sequence: entry.sequence,
            vm: self.settings.vm.to_string(),
            kind: entry.event.kind().to_owned(),
            cause: timeline::event_cause(issuer, &entry.event),
            detail: entry.event.to_string(),
        };
        let is_selected =
            |event: &TimelineEvent| cause.is_empty() || is_job_of_event(cause, &event.cause);
        let all =
            self.timeline.latest(None, usize::MAX).into_iter().map(to_event).filter(is_selected);
        let mut events: Vec<TimelineEvent> = all.collect();
        let excess = events.len().saturating_sub(limit);
        events.drain(..excess);
        events
    }

    /// Writes an operator's change into the platform's table, then puts the table's configuration
    /// in force here and pushes it to all peers.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] that names the field, if the document is not a valid configuration.
    pub async fn accept_config(
        self: &Arc<Self>,
        base: ConfigVersion,
        document: &[u8],
        change: ChangeRecord,
    ) -> Result<UpdateOutcome, ConfigError> {
        let configuration = Configuration::parse(document)?;
        let proposal = Proposal { base, configuration, change };
        let outcome = self.write_proposal(proposal).await;
        if let UpdateOutcome::Accepted { row, .. } | UpdateOutcome::Conflict(row) = &outcome {
            self.apply_config(row.clone());
            let peers = self.core.with_members(|members| members.peers().cloned().collect());
            self.push_config(row, peers);
        }
        log::info!("config: change by operator: {outcome}");
        Ok(outcome)
    }

    async fn write_proposal(&self, proposal: Proposal) -> UpdateOutcome {
        let (mut update, mut step) = ConfigUpdate::new(proposal);
        let mut backoff = BACKOFF.0;
        loop {
            step = match step {
                UpdateStep::Done(outcome) => return outcome,
                UpdateStep::Read => {
                    let read = self.platform.read_config(ConfigVersion::default()).await;
                    if read.is_err() {
                        backoff = sleep_backoff(backoff).await;
                    }
                    update.on_read(read.ok().map(Option::unwrap_or_default))
                }
                UpdateStep::Write(row) => {
                    let written = self.platform.write_config(&row).await;
                    update.on_write(written)
                }
            };
        }
    }
}

/// Sleeps for a random part of `backoff` and returns the next backoff.
async fn sleep_backoff(backoff: Duration) -> Duration {
    let jitter = rand::rng().random_range(0.5..1.0);
    sleep(backoff.mul_f64(jitter)).await;
    (backoff * 2).min(BACKOFF.1)
}

/// Whether `id`, with or without its tag, is the job id of an event's `cause`.
fn is_job_of_event(id: &str, cause: &str) -> bool {
    !cause.is_empty() && (id == cause || id.starts_with(&format!("{cause}.")))
}
