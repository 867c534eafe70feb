//! Writes an operator's configuration change to the platform's table by compare-and-swap on its
//! version, and finds out the result also when answers are lost.

use super::configuration::{ChangeRecord, ConfigRow, Configuration};
use crate::state::id::ConfigVersion;
use derive_more::Display;

/// Reads and writes after the first read, before the change is reported as unsettled.
const MAX_ATTEMPTS: u32 = 6;

/// A configuration change that an operator requests.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Version that the operator edited; the change conflicts if the table holds a later one.
    pub base: ConfigVersion,
    /// The complete new configuration, not a difference.
    pub configuration: Configuration,
    /// Entry for the history; its version is set when the row is built.
    pub change: ChangeRecord,
}

/// Result of a change.
#[derive(Clone, Debug, Display)]
pub enum UpdateOutcome {
    /// The change is in the table.
    #[display("accepted as version {}", version.0)]
    Accepted {
        /// Version that the change created.
        version: ConfigVersion,
        /// Latest row seen in the table; another change may have followed.
        row: ConfigRow,
    },
    /// Another change was written first: the table holds this row, later than the base.
    #[display("conflict: version {} is in the table", _0.version.0)]
    Conflict(ConfigRow),
    /// No answer settled whether the change was written. Sending the same operation id again is
    /// safe.
    #[display("unsettled: the platform did not answer")]
    Unsettled,
}

/// The next call to the platform.
#[derive(Clone, Debug)]
pub enum UpdateStep {
    /// Read the configuration row.
    Read,
    /// Write this row if the version in the table is still its predecessor.
    Write(ConfigRow),
    /// No more calls: this is the result.
    Done(UpdateOutcome),
}

/// The platform's answer to a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row is written.
    Written,
    /// The row is not written: the version in the table was not the expected one.
    Mismatch,
    /// No answer or an error: the write may or may not have taken effect.
    Lost,
}

/// State machine that writes one change.
///
/// It starts with a read and returns the next call to make. A lost answer to a write is resolved by
/// reading the row back: the history of the row shows whether the operation is in it.
///
/// ```
/// use cranberrytray::{
///     coordination::{
///         config_update::{ConfigUpdate, Proposal, UpdateOutcome, UpdateStep, WriteResult},
///         configuration::{ChangeRecord, ConfigRow, Configuration},
///     },
///     state::id::ConfigVersion,
/// };
///
/// let change = ChangeRecord {
///     version: ConfigVersion(0),
///     operation: "op-1".to_owned(),
///     operator: "nguyen".to_owned(),
///     note: String::new(),
/// };
/// let configuration = Configuration::default();
/// let proposal = Proposal { base: ConfigVersion(0), configuration, change };
/// let (mut update, first) = ConfigUpdate::new(proposal);
/// assert!(matches!(first, UpdateStep::Read));
/// let UpdateStep::Write(row) = update.on_read(Some(ConfigRow::default())) else { panic!() };
/// // The answer to the write is lost, so the row is read back.
/// assert!(matches!(update.on_write(WriteResult::Lost), UpdateStep::Read));
/// let end = update.on_read(Some(row));
/// assert!(matches!(end, UpdateStep::Done(UpdateOutcome::Accepted { .. })));
/// ```
#[derive(Debug)]
pub struct ConfigUpdate {
    proposal: Proposal,
    /// The row whose write is in progress.
    pending: Option<ConfigRow>,
    attempts: u32,
}

impl ConfigUpdate {
    /// Starts with a read, so that an operation that was already written is recognised.
    pub fn new(proposal: Proposal) -> (Self, UpdateStep) {
        (ConfigUpdate { proposal, pending: None, attempts: 0 }, UpdateStep::Read)
    }

    /// Counts an attempt and returns `step`, or ends the change if the attempts are used up.
    fn count_attempt(&mut self, step: UpdateStep) -> UpdateStep {
        self.attempts += 1;
        match self.attempts > MAX_ATTEMPTS {
            true => UpdateStep::Done(UpdateOutcome::Unsettled),
            false => step,
        }
    }

    /// Returns the next call after a read: `row` is the row in the table, or `None` if the read
    /// failed.
    pub fn on_read(&mut self, row: Option<ConfigRow>) -> UpdateStep {
        let Some(row) = row else {
            return self.count_attempt(UpdateStep::Read);
        };
        let operation = &self.proposal.change.operation;
        let written = row.document.history.iter().find(|change| change.operation == *operation);
        if let Some(change) = written {
            let version = change.version;
            return UpdateStep::Done(UpdateOutcome::Accepted { version, row });
        }
        if row.version < self.proposal.base {
            // The operator saw a later row than this one, so this read is stale.
            return self.count_attempt(UpdateStep::Read);
        }
        if row.version != self.proposal.base {
            return UpdateStep::Done(UpdateOutcome::Conflict(row));
        }
        let next = row.next(self.proposal.configuration.clone(), self.proposal.change.clone());
        self.pending = Some(next.clone());
        self.count_attempt(UpdateStep::Write(next))
    }

    /// Returns the next call after a write with this result.
    pub fn on_write(&mut self, result: WriteResult) -> UpdateStep {
        match (result, self.pending.take()) {
            (WriteResult::Written, Some(row)) => {
                UpdateStep::Done(UpdateOutcome::Accepted { version: row.version, row })
            }
            _ => self.count_attempt(UpdateStep::Read),
        }
    }
}
