//! HTTP server for callers.

use super::{
    body_buffers::{BodyBuffers, BodyError, RequestBody},
    connections::{Connection, ConnectionGuard, ConnectionTimeouts, Stage, TrackedStream},
    http::json_response,
    load_shed::{LoadShedLayer, OverloadResponse},
};
use crate::{
    cranberrytray_capnp::Verb,
    daemon::{Daemon, jobs::JobRequest},
    protocol::callers::{
        CallerError, Limits, Reply, TicketsReply, TicketsRequest, parse, parse_job,
    },
    state::id::JobId,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, body::Incoming, http::request::Parts, server::conn::http1,
    service::service_fn as hyper_service_fn,
};
use hyper_util::{rt::TokioIo, server::graceful::GracefulShutdown};
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time::{sleep, timeout},
};
use tower::{Layer, ServiceExt, service_fn};

/// Interval of log lines on callers that meet the limits.
const CROWD_LOG_INTERVAL: Duration = Duration::from_secs(1);

type CallerResponse = Response<Full<Bytes>>;

impl OverloadResponse<CallerResponse> for CallerResponse {
    fn overloaded() -> CallerResponse {
        into_response(Reply::error(&CallerError::Overloaded))
    }
}

fn into_response(reply: Reply) -> CallerResponse {
    json_response(reply.status, reply.retry_after, reply.body)
}

/// A request whose body was read in full.
struct CompleteRequest {
    head: Parts,
    body: RequestBody,
}

/// What the connections of callers share.
struct Server {
    daemon: Arc<Daemon>,
    load_shed: LoadShedLayer,
    graceful: GracefulShutdown,
}

/// Serves callers until `shutdown` receives the time that requests in flight may still take.
pub async fn serve(
    daemon: Arc<Daemon>,
    listener: TcpListener,
    mut shutdown: oneshot::Receiver<Duration>,
) {
    let limits = &daemon.settings.limits;
    let timeouts = ConnectionTimeouts {
        idle: Duration::from_millis(limits.idle_timeout_ms),
        head: Duration::from_millis(limits.header_timeout_ms),
    };
    let server = Server {
        load_shed: LoadShedLayer::new(limits.max_requests),
        graceful: GracefulShutdown::new(),
        daemon: Arc::clone(&daemon),
    };
    let connections = Arc::clone(&daemon.connections);
    let sweeps = tokio::spawn(async move { connections.close_stalled(|| timeouts).await });
    let logs = tokio::spawn(log_crowds(Arc::clone(&daemon)));
    let grace = tokio::select! {
        () = server.accept(&listener) => Duration::ZERO,
        grace = &mut shutdown => grace.unwrap_or_default(),
    };
    drop(listener);
    let _ = timeout(grace, server.graceful.shutdown()).await;
    sweeps.abort();
    logs.abort();
}

/// Logs when callers meet the limits, once per interval at most; never returns.
async fn log_crowds(daemon: Arc<Daemon>) {
    let mut last = (0, 0);
    loop {
        sleep(CROWD_LOG_INTERVAL).await;
        let now = (daemon.connections.displaced(), daemon.bodies.displaced());
        let before = std::mem::replace(&mut last, now);
        if now != before {
            let (connections, bodies) = (now.0 - before.0, now.1 - before.1);
            log::warn!(
                "callers: limits met: {connections} connections and {bodies} bodies displaced"
            );
        }
    }
}

impl Server {
    /// Accepts and serves connections; never returns.
    async fn accept(&self, listener: &TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let guard = self.daemon.connections.add().await;
            self.spawn_connection(stream, guard);
        }
    }

    fn spawn_connection(&self, stream: TcpStream, guard: ConnectionGuard) {
        let caller = Arc::clone(&guard.connection);
        let (daemon, bodies) = (Arc::clone(&self.daemon), Arc::clone(&self.daemon.bodies));
        let complete = self.load_shed.layer(service_fn(move |req: CompleteRequest| {
            let daemon = Arc::clone(&daemon);
            Box::pin(async move {
                Ok::<_, Infallible>(into_response(handle_request(&daemon, req).await))
            })
        }));
        let limits = self.daemon.settings.limits.clone();
        let stream = TrackedStream::new(stream, Arc::clone(&caller));
        let mut builder = http1::Builder::new();
        // Timeouts are those of `Connections`.
        builder.header_read_timeout(None).max_buf_size(limits.max_header_bytes);
        let service = hyper_service_fn(move |req: Request<Incoming>| {
            let (bodies, caller) = (Arc::clone(&bodies), Arc::clone(&caller));
            let (complete, limits) = (complete.clone(), limits.clone());
            async move {
                let res = match read_request(req, &bodies, &limits, &caller).await {
                    Ok(req) => complete.oneshot(req).await?,
                    Err(e) => into_response(Reply::error(&e)),
                };
                caller.enter(Stage::Response);
                Ok::<_, Infallible>(res)
            }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = self.graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = connection => {}
                () = guard.connection.closing() => {}
            }
        });
    }
}

/// Reads the body of a request. Until then the request doesn't count as one that is served.
async fn read_request(
    req: Request<Incoming>,
    bodies: &Arc<BodyBuffers>,
    limits: &Limits,
    caller: &Connection,
) -> Result<CompleteRequest, CallerError> {
    caller.enter(Stage::Body);
    let (head, body) = req.into_parts();
    let time_limit = Duration::from_millis(limits.body_timeout_ms);
    let body = bodies.read(body, limits.max_body_bytes, time_limit).await?;
    caller.enter(Stage::Service);
    Ok(CompleteRequest { head, body })
}

impl From<BodyError> for CallerError {
    fn from(e: BodyError) -> Self {
        match e {
            BodyError::TooLarge { limit } => CallerError::TooLarge { limit },
            BodyError::NoMemory => CallerError::Overloaded,
            BodyError::Timeout { .. } | BodyError::Connection(_) => CallerError::BodyTimeout,
        }
    }
}

async fn handle_request(daemon: &Arc<Daemon>, req: CompleteRequest) -> Reply {
    let routed = route(daemon, req).await;
    routed.unwrap_or_else(|e| Reply::error(&e))
}

async fn route(daemon: &Arc<Daemon>, req: CompleteRequest) -> Result<Reply, CallerError> {
    let path = req.head.uri.path().to_owned();
    if path == "/v1/tickets" {
        return match req.head.method {
            Method::POST => issue_tickets(daemon, req).await,
            _ => Err(CallerError::MethodNotAllowed),
        };
    }
    let Some(id) = path.strip_prefix("/v1/jobs/") else {
        return Err(CallerError::NotFound);
    };
    let id: JobId = id.parse()?;
    match req.head.method {
        Method::PUT => submit(daemon, id, req).await,
        Method::GET => {
            let wait = parse_wait(&req, &daemon.settings.limits)?.unwrap_or_default();
            let body = Bytes::new();
            Ok(daemon.serve(JobRequest { id, verb: Verb::Get, wait, body }).await)
        }
        Method::DELETE => {
            let (wait, body) = (Duration::ZERO, Bytes::new());
            Ok(daemon.serve(JobRequest { id, verb: Verb::Cancel, wait, body }).await)
        }
        _ => Err(CallerError::MethodNotAllowed),
    }
}

async fn issue_tickets(daemon: &Arc<Daemon>, req: CompleteRequest) -> Result<Reply, CallerError> {
    let limits = &daemon.settings.limits;
    let TicketsRequest { count } = parse(&req.body)?;
    if count == 0 || count > limits.max_tickets {
        let message = format!("must be 1 to {}", limits.max_tickets);
        return Err(CallerError::Malformed { field: "count".to_owned(), message });
    }
    let tickets = daemon.issue_tickets(count).await;
    if tickets.is_empty() {
        return Err(CallerError::Leaving);
    }
    let life_ms = daemon.settings.policy.ticket_life_ms;
    Ok(Reply::json(200, &TicketsReply { tickets, life_ms }))
}

async fn submit(
    daemon: &Arc<Daemon>,
    id: JobId,
    req: CompleteRequest,
) -> Result<Reply, CallerError> {
    let limits = &daemon.settings.limits;
    let wait = parse_wait(&req, limits)?;
    // The issuer parses the job again; parsing it here rejects a malformed one before it is
    // forwarded.
    let spec = parse_job(&req.body, limits)?;
    let wait = wait.unwrap_or(spec.deadline()).min(spec.deadline());
    let (body, _reservation) = req.body.into_parts();
    Ok(daemon.serve(JobRequest { id, verb: Verb::Submit, wait, body }).await)
}

/// Parses the `wait_ms` query parameter, limited to the longest deadline.
fn parse_wait(req: &CompleteRequest, limits: &Limits) -> Result<Option<Duration>, CallerError> {
    let query = req.head.uri.query().unwrap_or_default();
    let Some(text) = query.split('&').find_map(|pair| pair.strip_prefix("wait_ms=")) else {
        return Ok(None);
    };
    let ms: u64 = text.parse().map_err(|_| CallerError::Malformed {
        field: "wait_ms".to_owned(),
        message: "is not a number of milliseconds".to_owned(),
    })?;
    Ok(Some(Duration::from_millis(ms.min(limits.max_deadline_ms))))
}
