//! The events of a simulation, and the entry VM that each is for.

use super::engine::CallerReply;
use super::worker::TaskKey;
use crate::{
    coordination::{action::StartOrder, configuration::ConfigRow, members::PeerStatus},
    state::{
        id::{Incarnation, TaskRef},
        job::StartResult,
        loan::SlotCount,
        time::Moment,
    },
};

/// An event at a point of virtual time.
///
/// `vm` is the entry VM at which the event is handled, unless a variant says otherwise, and
/// `incarnation` the one of its process. Entry VMs, workers and jobs are given by their indices.
#[derive(Debug)]
pub(super) enum Event {
    /// Time to call [`Core::tick`](crate::coordination::core::Core::tick).
    Tick { vm: usize, incarnation: u64 },
    /// Time to call [`Core::sweep`](crate::coordination::core::Core::sweep).
    Sweep { vm: usize, incarnation: u64 },
    /// Time to send heartbeats. `round` counts from zero in each incarnation.
    SendHeartbeats { vm: usize, incarnation: u64, round: u64 },
    /// Time to read the configuration and the lists from the platform.
    PollPlatform { vm: usize, incarnation: u64 },
    /// Time to write a start request to its worker's connection.
    WriteStart { vm: usize, incarnation: u64, order: StartOrder },
    /// A start request from `vm` reaches the worker.
    StartAtWorker { worker: usize, vm: usize, incarnation: u64, order: StartOrder },
    /// A worker finishes a task of `vm`. `kills` counts the kills of the worker before the start.
    RunFinished { worker: usize, kills: u64, vm: usize, task: TaskKey },
    /// The result of a start request reaches the entry VM.
    TaskEnded { vm: usize, incarnation: u64, task: TaskRef, result: StartResult },
    /// A stop request from `vm` reaches the worker.
    StopAtWorker { worker: usize, vm: usize, incarnation: u64, tasks: Vec<TaskRef> },
    /// The reply to a stop request reaches the entry VM. `late_tasks` of its tasks had ended
    /// before.
    StopReply { vm: usize, incarnation: u64, late_tasks: u32 },
    /// A submission reaches the job's issuer. The caller sent it to `via`.
    Submit { vm: usize, job: usize, via: usize },
    /// A cancellation reaches the job's issuer.
    Cancel { vm: usize, job: usize },
    /// A reply reaches the caller of a job.
    Reply { job: usize, reply: CallerReply },
    /// A request for slots reaches the lender `vm`. `incarnation` is the borrower's.
    BorrowRequest { vm: usize, borrower: usize, incarnation: u64, slots: u32, requested_at: Moment },
    /// The reply to a request for slots reaches the borrower `vm`. `grants` may be empty.
    LoanGranted {
        vm: usize,
        incarnation: u64,
        lender: usize,
        grants: Vec<SlotCount>,
        requested_at: Moment,
    },
    /// Slots come back to the lender `vm`.
    LoanReturned { vm: usize, borrower: usize, slots: Vec<SlotCount> },
    /// A heartbeat of the peer `from` arrives. `borrowed` are the receiver's slots that the peer
    /// holds.
    Heartbeat {
        vm: usize,
        from: usize,
        incarnation: Incarnation,
        row: ConfigRow,
        status: PeerStatus,
        borrowed: Vec<SlotCount>,
    },
    /// A worker reports that it is leaving.
    WorkerLeaving { vm: usize, worker: usize },
    /// A peer pushes a configuration row.
    ConfigPush { vm: usize, row: ConfigRow },
    /// The configuration and the lists have been read again.
    Reloaded { vm: usize, incarnation: u64 },
}

/// Returns the entry VM at which an event is handled, if any, and the incarnation for which it is
/// meant, if only that one may handle it.
pub(super) fn recipient(event: &Event) -> Option<(usize, Option<u64>)> {
    match event {
        Event::Tick { vm, incarnation }
        | Event::Sweep { vm, incarnation }
        | Event::SendHeartbeats { vm, incarnation, .. }
        | Event::PollPlatform { vm, incarnation }
        | Event::WriteStart { vm, incarnation, .. }
        | Event::TaskEnded { vm, incarnation, .. }
        | Event::StopReply { vm, incarnation, .. }
        | Event::LoanGranted { vm, incarnation, .. }
        | Event::Reloaded { vm, incarnation } => Some((*vm, Some(*incarnation))),
        Event::Submit { vm, .. }
        | Event::Cancel { vm, .. }
        | Event::BorrowRequest { vm, .. }
        | Event::LoanReturned { vm, .. }
        | Event::Heartbeat { vm, .. }
        | Event::WorkerLeaving { vm, .. }
        | Event::ConfigPush { vm, .. } => Some((*vm, None)),
        Event::StartAtWorker { .. }
        | Event::RunFinished { .. }
        | Event::StopAtWorker { .. }
        | Event::Reply { .. } => None,
    }
}
