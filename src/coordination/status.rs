//! What the core reports to callers about a job, and to operators about the entry VM.

use crate::state::{id::TeamName, job::Answer, ledger::TicketError, message_counts::MessageCounts};
use derive_more::{Display, Error, From};
use std::sync::Arc;

/// Why a submission is rejected without an answer to the job. The job's id remains usable.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum SubmitError {
    /// The id was not issued here or has expired.
    #[display("{_0}")]
    Ticket(TicketError),
    /// The team is not in the configuration.
    #[display("team {team} is not in the configuration")]
    #[from(skip)]
    UnknownTeam {
        /// Team that the job names.
        team: TeamName,
    },
    /// A job with another content was submitted under this id before.
    #[display("another job was submitted under this id")]
    #[from(skip)]
    Conflict,
}

/// Status of a job, as reported to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// No job was submitted under the id yet.
    NotSubmitted,
    /// The job is accepted; its answer will follow as [`Action::Answer`].
    ///
    /// [`Action::Answer`]: super::action::Action::Answer
    Open,
    /// The job has this final answer.
    Final(Arc<Answer>),
}

/// Present figures of an entry VM, for status and metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Queued tasks, those whose retry is delayed included.
    pub queued: usize,
    /// Tasks that were assigned to workers and have no result yet.
    pub running: usize,
    /// Slots that this entry VM owns.
    pub owned: u32,
    /// Owned slots that are neither busy nor lent, on workers that accept tasks.
    pub idle: u32,
    /// Slots borrowed from peers, busy ones included.
    pub borrowed: u32,
    /// Jobs without an answer.
    pub open_jobs: usize,
    /// Ids in the ledger, of open and of answered jobs.
    pub entries: usize,
    /// Workers ejected as outliers, since many tasks failed on them.
    pub ejected: usize,
    /// Counts of messages since the start of the process.
    pub totals: MessageCounts,
}
