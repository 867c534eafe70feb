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
    Beat {
        vm: usize,
        incarnation: u64,
        round: u64,
    },
    Poll {
        vm: usize,
        incarnation: u64,
    },
    Write {
        vm: usize,
        incarnation: u64,
        order: StartOrder,
    },
    AtWorker {
        worker: usize,
        vm: usize,
        incarnation: u64,
        order: StartOrder,
    },
    WorkDone {
        worker: usize,
        deaths: u64,
        vm: usize,
        task: TaskKey,
    },
    Ended {
        vm: usize,
        incarnation: u64,
        task: TaskRef,
        result: StartResult,
    },
    StopAt {
        worker: usize,
        vm: usize,
        incarnation: u64,
        tasks: Vec<TaskRef>,
    },
    Stopped {
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
    Tell {
        job: usize,
        told: CallerReply,
    },
    Borrow {
        vm: usize,
        from: usize,
        incarnation: u64,
        slots: u32,
        asked: Moment,
    },
    Granted {
        vm: usize,
        incarnation: u64,
        lender: usize,
        grants: Vec<SlotCount>,
        asked: Moment,
    },
    GiveBack {
        vm: usize,
        from: usize,
        slots: Vec<SlotCount>,
    },
    Heartbeat {
        vm: usize,
        from: usize,
        incarnation: Incarnation,
        row: ConfigRow,
        pulse: Pulse,
        held: Vec<SlotCount>,
    },
    SaysLeaving {
        vm: usize,
        worker: usize,
    },
    Push {
        vm: usize,
        row: ConfigRow,
    },
    Rechecked {
        vm: usize,
        incarnation: u64,
    },
}

/// The entry VM that an event is for, and the incarnation of it that the event is for.
pub(super) fn addressee(event: &Event) -> Option<(usize, Option<u64>)> {
    match event {
        Event::Tick { vm, incarnation }
        | Event::Sweep { vm, incarnation }
        | Event::Beat { vm, incarnation, .. }
        | Event::Poll { vm, incarnation }
        | Event::Write { vm, incarnation, .. }
        | Event::Ended { vm, incarnation, .. }
        | Event::Stopped { vm, incarnation, .. }
        | Event::Granted { vm, incarnation, .. }
        | Event::Rechecked { vm, incarnation } => Some((*vm, Some(*incarnation))),
        Event::Submit { vm, .. }
        | Event::Cancel { vm, .. }
        | Event::Borrow { vm, .. }
        | Event::GiveBack { vm, .. }
        | Event::Heartbeat { vm, .. }
        | Event::SaysLeaving { vm, .. }
        | Event::Push { vm, .. } => Some((*vm, None)),
        Event::AtWorker { .. }
        | Event::WorkDone { .. }
        | Event::StopAt { .. }
        | Event::Tell { .. } => None,
    }
}
