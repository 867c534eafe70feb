//! Client of workers, with a bounded pool of connections to each. It distinguishes requests that
//! were certainly not sent from those that may have reached the worker.

use crate::{
    protocol::workers::{
        LEAVING_HEADER, START_PATH, STARTED_HEADER, STOP_PATH, StartRequest, StopReply,
        StopRequest, parse_start_reply,
    },
    state::job::StartResult,
    transport::http::{HttpRequest, read_body},
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

/// Timeout for establishing a connection to a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that an idle connection is kept for reuse. After a longer time the worker may be
/// about to close it, and a request sent meanwhile can't be proved unsent.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Timeout for the reply to a stop request.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a worker's reply to a start request, in bytes; the outcome of a task with a
/// larger one is unknown.
const MAX_OUTPUT_BYTES: usize = 1 << 20;

type HttpSender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: HttpSender,
    idle_since: Instant,
}

#[derive(Debug)]
struct ConnectionPool {
    idle: Mutex<Vec<IdleConnection>>,
    permits: Semaphore,
}

/// Result of a start request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartResponse {
    /// Outcome of the task, or why it was not started.
    pub result: StartResult,
    /// Whether the worker reported that it is leaving.
    pub worker_leaving: bool,
}

impl StartResponse {
    fn not_leaving(result: StartResult) -> Self {
        StartResponse { result, worker_leaving: false }
    }
}

/// Client of all workers, with a pool of connections to each.
#[derive(Debug)]
pub struct WorkerClient {
    pools: Mutex<IndexMap<SocketAddr, Arc<ConnectionPool>>>,
    connections_per_worker: usize,
}

impl WorkerClient {
    /// Creates a client with at most `connections_per_worker` connections to each worker.
    pub fn new(connections_per_worker: u32) -> Self {
        WorkerClient {
            pools: Mutex::default(),
            connections_per_worker: connections_per_worker as usize,
        }
    }

    fn pool(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        let mut pools = self.pools.lock();
        let create = || {
            let permits = Semaphore::new(self.connections_per_worker);
            Arc::new(ConnectionPool { idle: Mutex::default(), permits })
        };
        Arc::clone(pools.entry(address).or_insert_with(create))
    }

    /// Starts a task and waits until it ends. `exchange_timeout` limits the time from writing the
    /// request to the end of the response, without the time to connect. `still_wanted` is called
    /// right before the request is written; if it returns false, nothing is sent.
    pub async fn start<F>(
        &self,
        address: SocketAddr,
        req: &StartRequest,
        exchange_timeout: Duration,
        still_wanted: F,
    ) -> StartResponse
    where
        F: Fn() -> bool,
    {
        let pool = self.pool(address);
        let Ok(_permit) = pool.permits.try_acquire() else {
            return StartResponse::not_leaving(StartResult::NotSent);
        };
        let Some(sender) = pool.acquire(address).await else {
            return StartResponse::not_leaving(StartResult::NotSent);
        };
        let Some(req) = start_request(address, req) else {
            return StartResponse::not_leaving(StartResult::NotSent);
        };
        if !still_wanted() {
            pool.put_idle(sender);
            return StartResponse::not_leaving(StartResult::NotSent);
        }
        match timeout(exchange_timeout, pool.exchange(sender, req)).await {
            Ok(res) => res,
            Err(_) => StartResponse::not_leaving(StartResult::Unknown),
        }
    }

    /// Asks a worker to stop tasks. Returns how many it stopped, or `None` without a reply.
    pub async fn stop(&self, address: SocketAddr, tasks: Vec<String>) -> Option<u32> {
        let body = serde_json::to_vec(&StopRequest { tasks }).ok()?;
        let req = HttpRequest::new(Method::POST, STOP_PATH).body(body).timeout(STOP_TIMEOUT);
        let reply: StopReply = req.send(address).await.ok()?.json().ok()?;
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

impl ConnectionPool {
    async fn acquire(&self, address: SocketAddr) -> Option<HttpSender> {
        while let Some(mut idle) = self.take_idle() {
            if idle.idle_since.elapsed() < MAX_IDLE && idle.sender.ready().await.is_ok() {
                return Some(idle.sender);
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        self.idle.lock().pop()
    }

    fn put_idle(&self, sender: HttpSender) {
        self.idle.lock().push(IdleConnection { sender, idle_since: Instant::now() });
    }

    async fn exchange(&self, mut sender: HttpSender, req: Request<Full<Bytes>>) -> StartResponse {
        if sender.ready().await.is_err() {
            return StartResponse::not_leaving(StartResult::NotSent);
        }
        let res = match sender.try_send_request(req).await {
            Ok(res) => res,
            // hyper returns the request only if no byte of it was written.
            Err(mut e) => {
                let result = match e.take_message() {
                    Some(_) => StartResult::NotSent,
                    None => StartResult::Unknown,
                };
                return StartResponse::not_leaving(result);
            }
        };
        let (parts, body) = res.into_parts();
        let header = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let worker_leaving = header(LEAVING_HEADER) == Some("yes");
        let started = header(STARTED_HEADER);
        let Ok(body) = read_body(body, MAX_OUTPUT_BYTES).await else {
            // The body could not be read, but the header alone proves that the task was not
            // started.
            let result = match started {
                Some("no") => StartResult::Refused,
                _ => StartResult::Unknown,
            };
            return StartResponse { result, worker_leaving };
        };
        self.put_idle(sender);
        StartResponse {
            result: parse_start_reply(parts.status.as_u16(), started, &body),
            worker_leaving,
        }
    }
}
