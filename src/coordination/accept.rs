//! How an operator's change is settled with the platform's table, also when answers are lost.

use super::configuration::{Change, ConfigRow, Configuration};
use crate::state::id::ConfigVersion;
use derive_more::Display;

/// Attempts to write or read before the change is reported as unsettled.
const MAX_ATTEMPTS: u32 = 6;

/// An operator's change.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The version that the operator started from.
    pub base: ConfigVersion,
    /// The new configuration.
    pub configuration: Configuration,
    /// Who and why; its version is filled in.
    pub change: Change,
}

/// How a change ended.
#[derive(Clone, Debug, Display)]
pub enum Outcome {
    /// It is in the table.
    #[display("accepted as version {}", version.0)]
    Accepted {
        /// The version it made.
        version: ConfigVersion,
        /// The latest row seen in the table; another change may have followed.
        row: ConfigRow,
    },
    /// Another change came first.
    #[display("conflict: version {} is in the table", _0.version.0)]
    Conflict(ConfigRow),
    /// The platform did not say; the same operation id can be sent again.
    #[display("unsettled: the platform did not answer")]
    Unsettled,
}

/// The next call to the platform.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read the row.
    Read,
    /// Write this row if the version in the table is still the one before it.
    Write(ConfigRow),
    /// Done.
    Done(Outcome),
}

/// What the platform answered to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row is written.
    Written,
    /// The version in the table was another.
    Mismatch,
    /// No answer, or an error: the write may have taken effect.
    Lost,
}

/// A change on its way into the table.
///
/// ```
/// use cranberrytray::{
///     coordination::{
///         accept::{Accept, Outcome, Proposal, Step, WriteResult},
///         configuration::{Change, ConfigRow, Configuration},
///     },
///     state::id::ConfigVersion,
/// };
///
/// let change = Change {
///     version: ConfigVersion(0),
///     operation: "op-1".to_owned(),
///     operator: "nguyen".to_owned(),
///     note: String::new(),
/// };
/// let configuration = Configuration::default();
/// let proposal = Proposal { base: ConfigVersion(0), configuration, change };
/// let (mut accept, first) = Accept::new(proposal);
/// assert!(matches!(first, Step::Read));
/// let Step::Write(row) = accept.on_read(Some(ConfigRow::default())) else { panic!() };
/// // The answer to the write is lost, so the row is read back.
/// assert!(matches!(accept.on_write(WriteResult::Lost), Step::Read));
/// let end = accept.on_read(Some(row));
/// assert!(matches!(end, Step::Done(Outcome::Accepted { .. })));
/// ```
#[derive(Debug)]
pub struct Accept {
    proposal: Proposal,
    sent: Option<ConfigRow>,
    attempts: u32,
}

impl Accept {
    /// Starts with a read, so that a repeated operation is recognised.
    pub fn new(proposal: Proposal) -> (Self, Step) {
        (Accept { proposal, sent: None, attempts: 0 }, Step::Read)
    }

    fn again(&mut self, step: Step) -> Step {
        self.attempts += 1;
        match self.attempts > MAX_ATTEMPTS {
            true => Step::Done(Outcome::Unsettled),
            false => step,
        }
    }

    /// The row that the table holds, or none if the read failed.
    pub fn on_read(&mut self, row: Option<ConfigRow>) -> Step {
        let Some(row) = row else {
            return self.again(Step::Read);
        };
        let operation = &self.proposal.change.operation;
        let landed = row.document.history.iter().find(|change| change.operation == *operation);
        if let Some(change) = landed {
            let version = change.version;
            return Step::Done(Outcome::Accepted { version, row });
        }
        if row.version < self.proposal.base {
            // The operator has seen a later row: this read is stale.
            return self.again(Step::Read);
        }
        if row.version != self.proposal.base {
            return Step::Done(Outcome::Conflict(row));
        }
        let next = row.next(self.proposal.configuration.clone(), self.proposal.change.clone());
        self.sent = Some(next.clone());
        self.again(Step::Write(next))
    }

    /// How the write ended.
    pub fn on_write(&mut self, result: WriteResult) -> Step {
        match (result, self.sent.take()) {
            (WriteResult::Written, Some(row)) => {
                Step::Done(Outcome::Accepted { version: row.version, row })
            }
            _ => self.again(Step::Read),
        }
    }
}
