//! What callers and operators are told by the core.

use crate::state::{id::TeamName, job::Answer, ledger::TicketError, message_counts::MessageCounts};
use derive_more::{Display, Error, From};
use std::sync::Arc;

/// Why a submission was turned down without being looked at as a job.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum SubmitError {
    /// The id can't be used.
    #[display("{_0}")]
    Ticket(TicketError),
    /// The team is not in the configuration.
    #[display("team {team} is not in the configuration")]
    #[from(skip)]
    UnknownTeam {
        /// The team.
        team: TeamName,
    },
    /// Another job was submitted under this id.
    #[display("another job was submitted under this id")]
    #[from(skip)]
    Conflict,
}

/// What is known of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// Nothing was submitted under the id yet.
    Unspent,
    /// It is accepted; the answer will come as an action.
    Open,
    /// It is answered for good.
    Final(Arc<Answer>),
}

/// What an entry VM is doing, for status and metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Tasks that wait.
    pub queued: usize,
    /// Tasks handed to workers.
    pub running: usize,
    /// Slots that belong to this entry VM.
    pub owned: u32,
    /// Idle slots of its own.
    pub idle: u32,
    /// Slots borrowed from peers.
    pub borrowed: u32,
    /// Jobs without an answer.
    pub open_jobs: usize,
    /// Ids the ledger remembers.
    pub entries: usize,
    /// Workers set aside.
    pub set_aside: usize,
    /// Message totals.
    pub totals: MessageCounts,
}
