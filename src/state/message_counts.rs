//! Counts of messages, and of wasted ones, whose loss would have changed nothing.

use derive_more::Display;

/// Kind of a message to a worker or a peer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// Request to start a task, with its answer.
    #[display("start")]
    Start,
    /// Request to stop started tasks.
    #[display("stop")]
    Stop,
    /// Request to borrow slots, with its answer.
    #[display("borrow")]
    Borrow,
    /// Message that returns borrowed slots to their lender.
    #[display("give_back")]
    GiveBack,
}

/// Kind of a wasted message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum WasteKind {
    /// Start request that the worker refused or that could not be sent.
    #[display("refused_start")]
    RefusedStart,
    /// Stop request for a task that had already ended.
    #[display("late_stop")]
    LateStop,
    /// Request to borrow slots that was granted none.
    #[display("empty_borrow")]
    EmptyBorrow,
    /// Borrowed slot that was returned without having been used.
    #[display("unused_loan")]
    UnusedLoan,
}

/// Numbers of messages since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Number of start requests handed to the transport.
    pub starts: u64,
    /// Number of stop requests.
    pub stops: u64,
    /// Number of requests to borrow slots.
    pub borrows: u64,
    /// Number of messages that return slots.
    pub give_backs: u64,
    /// Number of wasted start requests: refused or not sent.
    pub refused_starts: u64,
    /// Number of wasted stop requests: the task had already ended.
    pub late_stops: u64,
    /// Number of wasted requests to borrow slots: none was granted.
    pub empty_borrows: u64,
    /// Number of borrowed slots that were returned unused.
    pub unused_loans: u64,
}

impl MessageCounts {
    /// Counts one message.
    pub fn count_message(&mut self, kind: MessageKind) {
        match kind {
            MessageKind::Start => self.starts += 1,
            MessageKind::Stop => self.stops += 1,
            MessageKind::Borrow => self.borrows += 1,
            MessageKind::GiveBack => self.give_backs += 1,
        }
    }

    /// Counts one wasted message.
    pub fn count_wasted(&mut self, kind: WasteKind) {
        match kind {
            WasteKind::RefusedStart => self.refused_starts += 1,
            WasteKind::LateStop => self.late_stops += 1,
            WasteKind::EmptyBorrow => self.empty_borrows += 1,
            WasteKind::UnusedLoan => self.unused_loans += 1,
        }
    }

    /// Adds the counts of another entry VM.
    pub fn add(&mut self, other: &MessageCounts) {
        self.starts += other.starts;
        self.stops += other.stops;
        self.borrows += other.borrows;
        self.give_backs += other.give_backs;
        self.refused_starts += other.refused_starts;
        self.late_stops += other.late_stops;
        self.empty_borrows += other.empty_borrows;
        self.unused_loans += other.unused_loans;
    }

    /// Number of messages of all kinds.
    pub fn total(&self) -> u64 {
        self.starts + self.stops + self.borrows + self.give_backs
    }

    /// Number of wasted messages of all kinds.
    pub fn total_wasted(&self) -> u64 {
        self.refused_starts + self.late_stops + self.empty_borrows + self.unused_loans
    }
}
