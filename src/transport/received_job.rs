//! What the receiver of a job notices of a sender that is silent or gone.

use super::fleet::{DispatchOptions, PeerHandler, PeerServer};
use crate::{
    protocol::fleet::DispatchReply,
    state::{
        id::VmName,
        job_submission::{CallerJobId, Outcome, Refusal},
        time::Moment,
    },
};
use derive_more::Display;
use std::{cell::Cell, rc::Rc, time::Duration};

/// Retry delay of a job that is refused because its sender may have given it up: a sender that is alive
/// has proven it by then.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A job received from a peer.
#[derive(Clone, Debug, Display)]
#[display(
    "{id} from {}, age={age:?} silence={silence:?} connected={connected:?} resumed={} redirected={}",
    from.as_ref().map_or("an unnamed VM", |vm| vm.as_str()),
    options.resumed,
    !options.may_redirect && !options.resumed
)]
pub struct ReceivedJob {
    /// Job id chosen by the caller.
    pub id: CallerJobId,
    /// VM that sent the job; `None` before its first heartbeat.
    pub from: Option<VmName>,
    /// Options that the job came with.
    pub options: DispatchOptions,
    /// Time since the job was read from the connection.
    pub age: Duration,
    /// Time since the sender was last proven alive.
    pub silence: Duration,
    /// Age of the connection.
    pub connected: Duration,
}

/// Why a received job is of interest to operators.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ReceivedJobEvent {
    /// It was read from a connection whose sender had not been proven alive for longer than it waits
    /// for an answer to a heartbeat. It was run, with less time to its deadline.
    #[display("arrived late")]
    ArrivedLate,
    /// It was refused since it was read so late that its sender may have given it up.
    #[display("refused, its sender may have given it up")]
    RefusedAsLate,
    /// It was cancelled because its sender was silent.
    #[display("cancelled, its sender is unresponsive")]
    SenderUnresponsive,
    /// It was cancelled by its sender, or with the connection.
    #[display("cancelled by its sender or with the connection")]
    Dropped,
}

/// Watches a job while it runs, and reports to the handler if the job is dropped before its end.
pub(super) struct ReceivedJobGuard<H>
where
    H: PeerHandler,
{
    server: Rc<PeerServer<H>>,
    id: CallerJobId,
    options: DispatchOptions,
    received_at: Moment,
    has_ended: Cell<bool>,
}

impl<H> ReceivedJobGuard<H>
where
    H: PeerHandler,
{
    pub(super) fn new(
        server: &Rc<PeerServer<H>>,
        id: CallerJobId,
        options: DispatchOptions,
    ) -> Self {
        ReceivedJobGuard {
            server: Rc::clone(server),
            id,
            options,
            received_at: server.handler.now(),
            has_ended: Cell::new(false),
        }
    }

    /// Records that the job has ended.
    pub(super) fn end(&self) {
        self.has_ended.set(true);
    }

    /// Reports that the job is refused because it was read late, and returns its reply.
    pub(super) fn refuse(&self) -> DispatchReply {
        self.end_with(ReceivedJobEvent::RefusedAsLate);
        let refusal = Refusal::Closed;
        DispatchReply::Ended(Outcome::NotRun { refusal, retry_after: STALE_RETRY_AFTER })
    }

    /// Records that the job is not run any further.
    fn end_with(&self, event: ReceivedJobEvent) {
        self.end();
        self.report(event);
    }

    /// Reports that the job is cancelled because its sender is silent, and returns its reply.
    pub(super) fn cancel(&self) -> DispatchReply {
        self.end_with(ReceivedJobEvent::SenderUnresponsive);
        DispatchReply::Ended(Outcome::Unknown)
    }

    /// Reports something unusual about the job.
    pub(super) fn report(&self, event: ReceivedJobEvent) {
        let job = ReceivedJob {
            id: self.id,
            from: self.server.sender.borrow().clone(),
            options: self.options,
            age: self.server.handler.now() - self.received_at,
            silence: self.server.silent_for(),
            connected: self.server.age(),
        };
        self.server.handler.on_received_job(&job, event);
    }
}

impl<H> Drop for ReceivedJobGuard<H>
where
    H: PeerHandler,
{
    fn drop(&mut self) {
        if !self.has_ended.get() {
            self.report(ReceivedJobEvent::Dropped);
        }
    }
}
