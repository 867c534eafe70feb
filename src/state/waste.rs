//! Counts of messages, and of those whose loss would have changed nothing.

use derive_more::Display;

/// A kind of message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// A task start and its answer.
    #[display("start")]
    Start,
    /// A request to stop started tasks.
    #[display("stop")]
    Stop,
    /// A request to borrow slots and its answer.
    #[display("borrow")]
    Borrow,
    /// Borrowed slots given back.
    #[display("give_back")]
    GiveBack,
}

/// A kind of wasted message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum WasteKind {
    /// A start that the worker refused, or that could not be sent.
    #[display("refused_start")]
    RefusedStart,
    /// A stop for a task that had already ended.
    #[display("late_stop")]
    LateStop,
    /// A request to borrow that brought nothing.
    #[display("empty_borrow")]
    EmptyBorrow,
    /// Borrowed slots given back unused.
    #[display("unused_loan")]
    UnusedLoan,
}

/// Totals since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Start requests handed to the transport.
    pub starts: u64,
    /// Stop requests.
    pub stops: u64,
    /// Requests to borrow.
    pub borrows: u64,
    /// Messages that give slots back.
    pub give_backs: u64,
    /// Wasted: starts refused or not sent.
    pub refused_starts: u64,
    /// Wasted: stops for tasks that had ended.
    pub late_stops: u64,
    /// Wasted: requests to borrow that brought nothing.
    pub empty_borrows: u64,
    /// Wasted: loans given back unused.
    pub unused_loans: u64,
}

impl Totals {
    /// Counts one message.
    pub fn message(&mut self, kind: MessageKind) {
        match kind {
            MessageKind::Start => self.starts += 1,
            MessageKind::Stop => self.stops += 1,
            MessageKind::Borrow => self.borrows += 1,
            MessageKind::GiveBack => self.give_backs += 1,
        }
    }

    /// Counts one wasted message.
    pub fn waste(&mut self, kind: WasteKind) {
        match kind {
            WasteKind::RefusedStart => self.refused_starts += 1,
            WasteKind::LateStop => self.late_stops += 1,
            WasteKind::EmptyBorrow => self.empty_borrows += 1,
            WasteKind::UnusedLoan => self.unused_loans += 1,
        }
    }

    /// Adds the totals of another entry VM.
    pub fn add(&mut self, other: &Totals) {
        self.starts += other.starts;
        self.stops += other.stops;
        self.borrows += other.borrows;
        self.give_backs += other.give_backs;
        self.refused_starts += other.refused_starts;
        self.late_stops += other.late_stops;
        self.empty_borrows += other.empty_borrows;
        self.unused_loans += other.unused_loans;
    }

    /// All messages.
    pub fn messages(&self) -> u64 {
        self.starts + self.stops + self.borrows + self.give_backs
    }

    /// All wasted messages.
    pub fn wasted(&self) -> u64 {
        self.refused_starts + self.late_stops + self.empty_borrows + self.unused_loans
    }
}
