//! Connections to workers: a bounded pool for each, and proof of what was not sent.

use crate::{
    protocol::workers::{
        LEAVING_HEADER, START_PATH, STARTED_HEADER, STOP_PATH, StartRequest, StopReply,
        StopRequest, read_start,
    },
    state::job::StartResult,
    transport::http::{Call, read_body},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, sync::Semaphore, time::timeout};

/// Longest wait for a connection to a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection idle for longer is not used again: the worker may be about to close it, and a
/// request that meets the close can't be proved unsent.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for the answer to a stop request.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer of a worker to a start request, in bytes; the outcome of a task with a larger one
/// is unknown.
const MAX_OUTPUT_BYTES: usize = 1 << 20;

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

#[derive(Debug)]
struct Link {
    idle: Mutex<Vec<Idle>>,
    permits: Semaphore,
}

/// How a start request ended, and whether the worker said that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Started {
    /// The end.
    pub result: StartResult,
    /// The worker's own word.
    pub leaving: bool,
}

impl Started {
    fn plain(result: StartResult) -> Self {
        Started { result, leaving: false }
    }
}

/// The connections of one entry VM to all workers.
#[derive(Debug)]
pub struct WorkerLinks {
    links: Mutex<IndexMap<SocketAddr, Arc<Link>>>,
    per_worker: usize,
}

impl WorkerLinks {
    /// At most `per_worker` connections to each worker.
    pub fn new(per_worker: u32) -> Self {
        WorkerLinks { links: Mutex::default(), per_worker: per_worker as usize }
    }

    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock();
        let fresh = || {
            let permits = Semaphore::new(self.per_worker);
            Arc::new(Link { idle: Mutex::default(), permits })
        };
        Arc::clone(links.entry(address).or_insert_with(fresh))
    }

    /// Starts a task and waits for its end, at most `limit`. Before the first byte is written,
    /// `still_wanted` is asked.
    pub async fn start<F>(
        &self,
        address: SocketAddr,
        req: &StartRequest,
        limit: Duration,
        still_wanted: F,
    ) -> Started
    where
        F: Fn() -> bool,
    {
        let link = self.link(address);
        let Ok(_permit) = link.permits.try_acquire() else {
            return Started::plain(StartResult::NotSent);
        };
        let Some(sender) = link.sender(address).await else {
            return Started::plain(StartResult::NotSent);
        };
        let Some(req) = start_request(address, req) else {
            return Started::plain(StartResult::NotSent);
        };
        if !still_wanted() {
            link.put(sender);
            return Started::plain(StartResult::NotSent);
        }
        match timeout(limit, link.exchange(sender, req)).await {
            Ok(started) => started,
            Err(_) => Started::plain(StartResult::Unknown),
        }
    }

    /// Asks a worker to stop tasks; returns how many it stopped, if it answered.
    pub async fn stop(&self, address: SocketAddr, tasks: Vec<String>) -> Option<u32> {
        let body = serde_json::to_vec(&StopRequest { tasks }).ok()?;
        let call = Call::new(Method::POST, STOP_PATH).body(body).timeout(STOP_TIMEOUT);
        let reply: StopReply = call.send(address).await.ok()?.json().ok()?;
        Some(reply.stopped)
    }
}

fn start_request(address: SocketAddr, req: &StartRequest) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(req).ok()?;
    Request::builder()
        .method(Method::POST)
        .uri(START_PATH)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .ok()
}

impl Link {
    async fn sender(&self, address: SocketAddr) -> Option<Sender> {
        while let Some(mut idle) = self.take() {
            if idle.since.elapsed() < IDLE_LIMIT && idle.sender.ready().await.is_ok() {
                return Some(idle.sender);
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    fn take(&self) -> Option<Idle> {
        self.idle.lock().pop()
    }

    fn put(&self, sender: Sender) {
        self.idle.lock().push(Idle { sender, since: Instant::now() });
    }

    async fn exchange(&self, mut sender: Sender, req: Request<Full<Bytes>>) -> Started {
        if sender.ready().await.is_err() {
            return Started::plain(StartResult::NotSent);
        }
        let res = match sender.try_send_request(req).await {
            Ok(res) => res,
            // The request comes back only if none of it was written.
            Err(mut e) => {
                let result = match e.take_message() {
                    Some(_) => StartResult::NotSent,
                    None => StartResult::Unknown,
                };
                return Started::plain(result);
            }
        };
        let (parts, body) = res.into_parts();
        let header = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let leaving = header(LEAVING_HEADER) == Some("yes");
        let started = header(STARTED_HEADER);
        let Ok(body) = read_body(body, MAX_OUTPUT_BYTES).await else {
            // The header alone proves that the task was not started.
            let result = match started {
                Some("no") => StartResult::Refused,
                _ => StartResult::Unknown,
            };
            return Started { result, leaving };
        };
        self.put(sender);
        Started { result: read_start(parts.status.as_u16(), started, &body), leaving }
    }
}
