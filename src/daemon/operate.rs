//! What operators' calls do.

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

/// First and longest wait before the platform is asked again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(1_000));

/// What one entry VM says of itself to operators.
#[derive(Clone, Debug)]
pub struct VmStatus {
    /// Its name.
    pub vm: VmName,
    /// Its zone.
    pub zone: ZoneName,
    /// The life of its process; 0 if it can't be asked.
    pub incarnation: u64,
    /// The configuration in force there.
    pub version: ConfigVersion,
    /// For how long.
    pub config_age: Duration,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it could not be asked.
    pub unreachable: bool,
    /// Tasks that wait.
    pub queued: u32,
    /// Tasks handed to workers.
    pub running: u32,
    /// Slots of its own.
    pub owned: u32,
    /// Idle slots of its own.
    pub idle: u32,
    /// Jobs without an answer.
    pub open_jobs: u32,
    /// Workers set aside.
    pub set_aside: u32,
}

impl VmStatus {
    /// The status of a member that can't be asked.
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

/// An event of the time line, ready to be merged with those of other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEvent {
    /// Wall-clock time in microseconds.
    pub at_unix_us: u64,
    /// Its number in its process.
    pub sequence: u64,
    /// Where it happened.
    pub vm: String,
    /// Its kind.
    pub kind: String,
    /// The job that caused it, or empty.
    pub cause: String,
    /// More about it.
    pub detail: String,
}

impl Daemon {
    /// What this entry VM says of itself.
    pub fn status(&self) -> VmStatus {
        let gauges = self.core.gauges(self.now());
        VmStatus {
            vm: self.settings.vm.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.core.issuer().incarnation.0,
            version: self.core.config_version(),
            config_age: self.config_since.lock().elapsed(),
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

    /// The latest events of this process, oldest first; of one job only, if `cause` is not empty.
    pub fn events(&self, cause: &str, limit: usize) -> Vec<TimelineEvent> {
        let issuer = self.core.issuer();
        let event = |entry: timeline::Entry| TimelineEvent {
            at_unix_us: entry.at_unix_us,
            sequence: entry.sequence,
            vm: self.settings.vm.to_string(),
            kind: entry.event.kind().to_owned(),
            cause: timeline::cause(issuer, &entry.event),
            detail: entry.event.to_string(),
        };
        let wanted = |event: &TimelineEvent| cause.is_empty() || is_cause(cause, &event.cause);
        let all = self.timeline.latest(None, usize::MAX).into_iter().map(event).filter(wanted);
        let mut events: Vec<TimelineEvent> = all.collect();
        let excess = events.len().saturating_sub(limit);
        events.drain(..excess);
        events
    }

    /// Puts an operator's change into the platform's table, and in force here and at all peers
    /// that can be reached.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] that names the field, if the document is not a configuration.
    pub async fn accept_config(
        self: &Arc<Self>,
        base: ConfigVersion,
        document: &[u8],
        change: ChangeRecord,
    ) -> Result<UpdateOutcome, ConfigError> {
        let configuration = Configuration::parse(document)?;
        let proposal = Proposal { base, configuration, change };
        let outcome = self.settle(proposal).await;
        if let UpdateOutcome::Accepted { row, .. } | UpdateOutcome::Conflict(row) = &outcome {
            self.take_config(row.clone());
            let peers = self.core.with_members(|members| members.peers().cloned().collect());
            self.push_config(row, peers);
        }
        log::info!("config: change by operator: {outcome}");
        Ok(outcome)
    }

    async fn settle(&self, proposal: Proposal) -> UpdateOutcome {
        let (mut accept, mut step) = ConfigUpdate::new(proposal);
        let mut backoff = BACKOFF.0;
        loop {
            step = match step {
                UpdateStep::Done(outcome) => return outcome,
                UpdateStep::Read => {
                    let read = self.platform.read_config(ConfigVersion::default()).await;
                    if read.is_err() {
                        backoff = wait(backoff).await;
                    }
                    accept.on_read(read.ok().map(Option::unwrap_or_default))
                }
                UpdateStep::Write(row) => {
                    let written = self.platform.write_config(&row).await;
                    accept.on_write(written)
                }
            };
        }
    }
}

async fn wait(backoff: Duration) -> Duration {
    let jitter = rand::rng().random_range(0.5..1.0);
    sleep(backoff.mul_f64(jitter)).await;
    (backoff * 2).min(BACKOFF.1)
}

/// Whether `asked`, a whole job id or one without its tag, names the job of an event.
fn is_cause(asked: &str, cause: &str) -> bool {
    !cause.is_empty() && (asked == cause || asked.starts_with(&format!("{cause}.")))
}
