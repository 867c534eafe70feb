//! Connections of callers: a limit on their number, and timeouts for those that make no progress.
//!
//! When there are as many as allowed, a new connection takes the place of the one that has waited longest
//! for its caller. A connection whose request is being served is never closed for that.

use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    time::{sleep, timeout},
};

/// Interval at which timeouts are checked. Connections are closed up to this much later.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Wait for the end of a connection that is closed for a new one, before another one is closed.
const CLOSE_WAIT: Duration = Duration::from_millis(20);

/// Times after which a connection without progress is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// For the next request, for more of a body, and for a caller that reads its response.
    pub idle: Duration,
    /// For the rest of the head of a request.
    pub head: Duration,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The next request.
    Idle,
    /// The rest of the head of a request.
    Head,
    /// The rest of the body of a request.
    Body,
    /// The response to a complete request.
    Service,
    /// The caller, which has not read all of a response.
    Response,
}

/// Number of a sweep. Times are counted in sweeps, so that a pause of this process does not count as one
/// of its callers.
type Sweep = u64;

#[derive(Debug)]
struct Activity {
    stage: Stage,
    /// Sweep in which the stage began.
    since: Sweep,
    /// Sweep in which the caller last made progress.
    progress: Sweep,
    is_closing: bool,
}

/// A connection of a caller.
#[derive(Debug)]
pub struct Connection {
    sweeps: Arc<AtomicU64>,
    activity: Mutex<Activity>,
    close: Notify,
}

impl Connection {
    fn new(sweeps: &Arc<AtomicU64>) -> Arc<Self> {
        let now = sweeps.load(Ordering::Relaxed);
        let activity =
            Activity { stage: Stage::Idle, since: now, progress: now, is_closing: false };
        let activity = Mutex::new(activity);
        Arc::new(Connection { sweeps: Arc::clone(sweeps), activity, close: Notify::new() })
    }

    /// Records that the connection enters a stage.
    pub fn enter(&self, stage: Stage) {
        let now = self.sweeps.load(Ordering::Relaxed);
        let mut activity = self.activity.lock();
        (activity.stage, activity.since, activity.progress) = (stage, now, now);
    }

    /// Waits until the connection is to be closed. It isn't if its request is complete by now.
    pub async fn closing(&self) {
        loop {
            self.close.notified().await;
            let mut activity = self.activity.lock();
            if activity.stage != Stage::Service {
                return;
            }
            activity.is_closing = false;
        }
    }

    fn on_read(&self) {
        let now = self.sweeps.load(Ordering::Relaxed);
        let mut activity = self.activity.lock();
        match activity.stage {
            Stage::Idle => {
                (activity.stage, activity.since, activity.progress) = (Stage::Head, now, now);
            }
            Stage::Body => activity.progress = now,
            Stage::Head | Stage::Service | Stage::Response => {}
        }
    }

    fn on_written(&self) {
        let mut activity = self.activity.lock();
        if activity.stage == Stage::Response {
            activity.progress = self.sweeps.load(Ordering::Relaxed);
        }
    }

    fn on_flushed(&self) {
        if self.activity.lock().stage == Stage::Response {
            self.enter(Stage::Idle);
        }
    }

    fn close(&self) {
        self.activity.lock().is_closing = true;
        self.close.notify_one();
    }

    /// Returns the sweep since which it waits for its caller; `None` if it doesn't wait or is being closed.
    fn waits_since(&self) -> Option<Sweep> {
        let activity = self.activity.lock();
        let waits = activity.stage != Stage::Service && !activity.is_closing;
        waits.then_some(activity.since)
    }

    fn has_timed_out(&self, timeouts: ConnectionTimeouts) -> bool {
        let activity = self.activity.lock();
        let limit = match activity.stage {
            Stage::Idle | Stage::Body | Stage::Response => timeouts.idle,
            Stage::Head => timeouts.head,
            Stage::Service => return false,
        };
        let sweeps = self.sweeps.load(Ordering::Relaxed) - activity.progress;
        sweeps as u128 * SWEEP_INTERVAL.as_millis() > limit.as_millis() && !activity.is_closing
    }
}

/// The connections of callers.
#[derive(Debug)]
pub struct Connections {
    slots: Arc<Semaphore>,
    sweeps: Arc<AtomicU64>,
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
    last_id: AtomicU64,
    stalled: AtomicU64,
    displaced: AtomicU64,
}

impl Connections {
    /// Creates an empty set of at most `limit` connections.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Connections {
            slots: Arc::new(Semaphore::new(limit)),
            sweeps: Arc::default(),
            open: Mutex::default(),
            last_id: AtomicU64::new(0),
            stalled: AtomicU64::new(0),
            displaced: AtomicU64::new(0),
        })
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.lock().len()
    }

    /// Returns true if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of connections closed so far because their callers made no progress.
    pub fn stalled(&self) -> u64 {
        self.stalled.load(Ordering::Relaxed)
    }

    /// Number of connections closed so far for new ones.
    pub fn displaced(&self) -> u64 {
        self.displaced.load(Ordering::Relaxed)
    }

    /// Adds a connection. If there are as many as allowed, closes the one that has waited longest for its
    /// caller; if none waits, this function does until one ends.
    pub async fn add(self: &Arc<Self>) -> ConnectionGuard {
        let slots = &self.slots;
        let slot = loop {
            if let Ok(slot) = Arc::clone(slots).try_acquire_owned() {
                break slot;
            }
            self.close_longest_waiting();
            if let Ok(Ok(slot)) = timeout(CLOSE_WAIT, Arc::clone(slots).acquire_owned()).await {
                break slot;
            }
        };
        let connection = Connection::new(&self.sweeps);
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        self.open.lock().insert(id, Arc::clone(&connection));
        ConnectionGuard { connections: Arc::clone(self), id, connection, _slot: slot }
    }

    fn close_longest_waiting(&self) {
        let open = self.open.lock();
        let waiting = open.values().filter_map(|c| Some((c.waits_since()?, c)));
        // The first of several, which was accepted first.
        if let Some((_, connection)) = waiting.min_by_key(|(since, _)| *since) {
            connection.close();
            self.displaced.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Closes connections whose callers make no progress; never returns. `timeouts` returns those in
    /// force.
    pub async fn close_stalled<F>(&self, timeouts: F)
    where
        F: Fn() -> ConnectionTimeouts,
    {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.sweeps.fetch_add(1, Ordering::Relaxed);
            let timeouts = timeouts();
            let open = self.open.lock();
            for connection in open.values().filter(|c| c.has_timed_out(timeouts)) {
                connection.close();
                self.stalled.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// A connection, which is removed on drop.
#[derive(Debug)]
pub struct ConnectionGuard {
    connections: Arc<Connections>,
    id: u64,
    /// The connection.
    pub connection: Arc<Connection>,
    _slot: OwnedSemaphorePermit,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.open.lock().remove(&self.id);
    }
}

/// The stream of a connection, which records the progress of its caller.
#[derive(Debug)]
pub struct TrackedStream<S> {
    inner: S,
    connection: Arc<Connection>,
}

impl<S> TrackedStream<S> {
    /// Wraps the stream of a connection.
    pub fn new(inner: S, connection: Arc<Connection>) -> Self {
        TrackedStream { inner, connection }
    }
}

impl<S> AsyncRead for TrackedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.connection.on_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for TrackedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.connection.on_written();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.connection.on_written();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        self.connection.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
