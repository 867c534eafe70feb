//! Answer of a target to a start request, as the log gives it.

use derive_more::Display;

/// Answer of a target to a start request.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum StartAnswer {
    /// None yet.
    #[default]
    #[display("pending")]
    Pending,
    /// The run has started.
    #[display("started")]
    Started,
    /// The request was refused.
    #[display("refused")]
    Refused,
    /// No connection could be made.
    #[display("not_sent")]
    NotSent,
    /// No valid answer arrived in time.
    #[display("unanswered")]
    Unanswered,
}
