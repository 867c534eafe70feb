//! The events of a world, and whom each is for.

use super::engine::CallerReply;
use super::worker::TaskKey;
use crate::{
    coordination::{action::StartOrder, configuration::ConfigRow, members::Pulse},
    state::{
        id::{Incarnation, TaskRef},
        job::StartResult,
        loan::SlotCount,
        time::Moment,
    },
};

/// Something that happens at a moment.
#[derive(Debug)]
pub(super) enum Event {
    Tick {
        vm: usize,
        incarnation: u64,
    },
    Sweep {
        vm: usize,
        incarnation: u64,
    },
    SendHeartbeats {
        vm: usize,
        incarnation: u64,
        round: u64,
    },
    PollPlatform {
        vm: usize,
        incarnation: u64,
    },
    WriteStart {
        vm: usize,
        incarnation: u64,
        order: StartOrder,
    },
    StartAtWorker {
        worker: usize,
        vm: usize,
        incarnation: u64,
        order: StartOrder,
    },
    RunFinished {
        worker: usize,
        kills: u64,
        vm: usize,
        task: TaskKey,
    },
    TaskEnded {
        vm: usize,
        incarnation: u64,
        task: TaskRef,
        result: StartResult,
    },
    StopAtWorker {
        worker: usize,
        vm: usize,
        incarnation: u64,
        tasks: Vec<TaskRef>,
    },
    StopReply {
        vm: usize,
        incarnation: u64,
        late: u32,
    },
    Submit {
        vm: usize,
        job: usize,
        from: usize,
    },
    Cancel {
        vm: usize,
        job: usize,
    },
    Reply {
        job: usize,
        reply: CallerReply,
    },
    BorrowRequest {
        vm: usize,
        from: usize,
        incarnation: u64,
        slots: u32,
        asked: Moment,
    },
    LoanGranted {
        vm: usize,
        incarnation: u64,
        lender: usize,
        grants: Vec<SlotCount>,
        asked: Moment,
    },
    LoanReturned {
        vm: usize,
        from: usize,
        slots: Vec<SlotCount>,
    },
    Heartbeat {
        vm: usize,
        from: usize,
        incarnation: Incarnation,
        row: ConfigRow,
        status: Pulse,
        borrowed: Vec<SlotCount>,
    },
    WorkerLeaving {
        vm: usize,
        worker: usize,
    },
    ConfigPush {
        vm: usize,
        row: ConfigRow,
    },
    Reloaded {
        vm: usize,
        incarnation: u64,
    },
}

/// The entry VM that an event is for, and the incarnation of it that the event is for.
pub(super) fn addressee(event: &Event) -> Option<(usize, Option<u64>)> {
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
