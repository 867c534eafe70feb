//! Bodies of requests, read into memory that all of them share.
//!
//! A body whose sender stops short of its end would keep its memory for as long as the sender likes. So
//! when there is no memory left, the body that was begun first is displaced by those that came after it.

use bytes::Bytes;
use derive_more::{Deref, Display, Error, From};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{sync::Notify, time::timeout};

/// Smallest buffer of a body, in bytes.
const MIN_BUFFER_BYTES: usize = 512;

/// Why the body of a request was not read.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[display("a body of more than {limit} bytes")]
    #[from(skip)]
    TooLarge {
        /// Size of the largest body that is allowed, in bytes.
        limit: usize,
    },
    /// The memory for bodies is used up by others.
    #[display("no memory for the body")]
    #[from(skip)]
    NoMemory,
    /// The body was not complete in time.
    #[display("the body is not complete after {after:?}")]
    #[from(skip)]
    Timeout {
        /// Time that was allowed.
        after: Duration,
    },
    /// The connection failed, or the body is not valid HTTP.
    #[display("{_0}")]
    Connection(hyper::Error),
}

/// An incomplete body.
#[derive(Debug)]
struct Partial {
    data: Vec<u8>,
    /// Notified when the body is displaced.
    displaced_notify: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    /// Capacity of the buffers of all bodies, complete or not.
    used: usize,
    /// Incomplete bodies in the order in which they were begun.
    partial: BTreeMap<u64, Partial>,
    last_id: u64,
    /// Number of bodies displaced.
    displaced: u64,
}

impl State {
    /// Displaces bodies other than `id` until `more` bytes can be added. Returns false if too few are left.
    fn make_room(&mut self, id: u64, more: usize, limit: usize) -> bool {
        let own = self.partial.get(&id).map_or(0, |body| body.data.capacity());
        while self.used + more > limit {
            let oldest = self.partial.keys().copied().find(|other| *other != id);
            let Some(body) = oldest.and_then(|oldest| self.partial.remove(&oldest)) else {
                // A single body is read, however large it is.
                return self.used == own;
            };
            self.used -= body.data.capacity();
            self.displaced += 1;
            body.displaced_notify.notify_one();
        }
        true
    }

    /// Adds data to a body, which has at most `max` bytes in the end.
    fn append(&mut self, id: u64, data: &[u8], max: usize, limit: usize) -> Result<(), BodyError> {
        let body = self.partial.get(&id).ok_or(BodyError::NoMemory)?;
        let (len, capacity) = (body.data.len() + data.len(), body.data.capacity());
        if len > capacity {
            let wanted = len.max((capacity * 2).max(MIN_BUFFER_BYTES).min(max));
            if !self.make_room(id, wanted - capacity, limit) {
                return Err(BodyError::NoMemory);
            }
            let body = self.partial.get_mut(&id).ok_or(BodyError::NoMemory)?;
            body.data.reserve_exact(wanted - body.data.len());
            self.used += body.data.capacity() - capacity;
        }
        let body = self.partial.get_mut(&id).ok_or(BodyError::NoMemory)?;
        body.data.extend_from_slice(data);
        Ok(())
    }
}

/// Memory that the bodies of all requests share.
#[derive(Debug)]
pub struct BodyBuffers {
    limit: usize,
    state: Mutex<State>,
}

impl BodyBuffers {
    /// Creates buffers of `limit` bytes in all.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(BodyBuffers { limit, state: Mutex::default() })
    }

    /// Memory in use, in bytes.
    pub fn used(&self) -> usize {
        self.state.lock().used
    }

    /// Number of bodies displaced so far.
    pub fn displaced(&self) -> u64 {
        self.state.lock().displaced
    }

    /// Reads a body of at most `max` bytes within `time_limit`.
    ///
    /// # Errors
    ///
    /// A [`BodyError`]; the body was not read to its end.
    pub async fn read(
        self: &Arc<Self>,
        body: Incoming,
        max: usize,
        time_limit: Duration,
    ) -> Result<RequestBody, BodyError> {
        let declared = body.size_hint();
        if declared.lower() > max as u64 {
            return Err(BodyError::TooLarge { limit: max });
        }
        let buffer = self.begin();
        let expected = declared.exact().map_or(max, |len| len as usize);
        let reading = buffer.fill(body, max, expected);
        timeout(time_limit, reading)
            .await
            .map_err(|_| BodyError::Timeout { after: time_limit })??;
        buffer.finish()
    }

    fn begin(self: &Arc<Self>) -> Buffer {
        let displaced_notify = Arc::new(Notify::new());
        let mut state = self.state.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.partial.insert(
            id,
            Partial { data: Vec::new(), displaced_notify: Arc::clone(&displaced_notify) },
        );
        Buffer { buffers: Arc::clone(self), id, displaced_notify }
    }
}

/// The buffer of an incomplete body, which is removed on drop.
#[derive(Debug)]
struct Buffer {
    buffers: Arc<BodyBuffers>,
    id: u64,
    displaced_notify: Arc<Notify>,
}

impl Buffer {
    async fn fill(&self, mut body: Incoming, max: usize, expected: usize) -> Result<(), BodyError> {
        let mut len = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = self.displaced_notify.notified() => return Err(BodyError::NoMemory),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            len += data.len();
            if len > max {
                return Err(BodyError::TooLarge { limit: max });
            }
            let limit = self.buffers.limit;
            self.buffers.state.lock().append(self.id, &data, expected, limit)?;
        }
    }

    /// Takes the complete body.
    fn finish(self) -> Result<RequestBody, BodyError> {
        let body = self.buffers.state.lock().partial.remove(&self.id);
        let data = body.ok_or(BodyError::NoMemory)?.data;
        let memory = BodyMemory { size: data.capacity(), buffers: Arc::clone(&self.buffers) };
        Ok(RequestBody { data: data.into(), memory })
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut state = self.buffers.state.lock();
        if let Some(body) = state.partial.remove(&self.id) {
            state.used -= body.data.capacity();
        }
    }
}

/// A complete body, whose memory is returned on drop.
#[derive(Debug, Deref)]
#[deref(forward)]
pub struct RequestBody {
    #[deref]
    data: Bytes,
    #[deref(ignore)]
    memory: BodyMemory,
}

impl RequestBody {
    /// Separates the body from the memory that it counts for, which is returned when the latter is dropped.
    pub fn into_parts(self) -> (Bytes, BodyMemory) {
        (self.data, self.memory)
    }
}

/// Memory of a complete body.
#[derive(Debug)]
pub struct BodyMemory {
    size: usize,
    buffers: Arc<BodyBuffers>,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.buffers.state.lock().used -= self.size;
    }
}
