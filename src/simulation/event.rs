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
pub(super) enum Ev {
    Tick {
        vm: usize,
        life: u64,
    },
    Sweep {
        vm: usize,
        life: u64,
    },
    Beat {
        vm: usize,
        life: u64,
        round: u64,
    },
    Poll {
        vm: usize,
        life: u64,
    },
    Write {
        vm: usize,
        life: u64,
        order: StartOrder,
    },
    AtWorker {
        worker: usize,
        vm: usize,
        life: u64,
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
        life: u64,
        task: TaskRef,
        result: StartResult,
    },
    StopAt {
        worker: usize,
        vm: usize,
        life: u64,
        tasks: Vec<TaskRef>,
    },
    Stopped {
        vm: usize,
        life: u64,
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
        life: u64,
        slots: u32,
        asked: Moment,
    },
    Granted {
        vm: usize,
        life: u64,
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
        life: u64,
    },
}

/// The entry VM that an event is for, and the life of it that the event is for.
pub(super) fn addressee(ev: &Ev) -> Option<(usize, Option<u64>)> {
    match ev {
        Ev::Tick { vm, life }
        | Ev::Sweep { vm, life }
        | Ev::Beat { vm, life, .. }
        | Ev::Poll { vm, life }
        | Ev::Write { vm, life, .. }
        | Ev::Ended { vm, life, .. }
        | Ev::Stopped { vm, life, .. }
        | Ev::Granted { vm, life, .. }
        | Ev::Rechecked { vm, life } => Some((*vm, Some(*life))),
        Ev::Submit { vm, .. }
        | Ev::Cancel { vm, .. }
        | Ev::Borrow { vm, .. }
        | Ev::GiveBack { vm, .. }
        | Ev::Heartbeat { vm, .. }
        | Ev::SaysLeaving { vm, .. }
        | Ev::Push { vm, .. } => Some((*vm, None)),
        Ev::AtWorker { .. } | Ev::WorkDone { .. } | Ev::StopAt { .. } | Ev::Tell { .. } => None,
    }
}
