//! HTTP server for callers.

use super::{
    http::{HttpError, json_response, read_body},
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
use hyper::{Method, Request, Response, body::Incoming, server::conn::http1};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::oneshot,
    time::{sleep, timeout},
};
use tower::{Layer, service_fn};

type CallerResponse = Response<Full<Bytes>>;

impl OverloadResponse<CallerResponse> for CallerResponse {
    fn overloaded() -> CallerResponse {
        into_response(Reply::error(&CallerError::Overloaded))
    }
}

fn into_response(reply: Reply) -> CallerResponse {
    json_response(reply.status, reply.retry_after, reply.body)
}

/// Serves callers until `shutdown` receives the time that requests in flight may still take.
pub async fn serve(
    daemon: Arc<Daemon>,
    listener: TcpListener,
    mut shutdown: oneshot::Receiver<Duration>,
) {
    let load_shed = LoadShedLayer::new(daemon.settings.limits.max_requests);
    let graceful = GracefulShutdown::new();
    let limits = daemon.settings.limits.clone();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes);
    let grace = loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            grace = &mut shutdown => break grace.unwrap_or_default(),
        };
        let Ok((stream, _)) = accepted else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let daemon = Arc::clone(&daemon);
        let service = service_fn(move |req: Request<Incoming>| {
            let daemon = Arc::clone(&daemon);
            Box::pin(async move {
                Ok::<_, Infallible>(into_response(handle_request(&daemon, req).await))
            })
        });
        let service = TowerToHyperService::new(load_shed.layer(service));
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(graceful.watch(connection));
    };
    drop(listener);
    let _ = timeout(grace, graceful.shutdown()).await;
}

async fn handle_request(daemon: &Arc<Daemon>, req: Request<Incoming>) -> Reply {
    let routed = route(daemon, req).await;
    routed.unwrap_or_else(|e| Reply::error(&e))
}

async fn route(daemon: &Arc<Daemon>, req: Request<Incoming>) -> Result<Reply, CallerError> {
    let path = req.uri().path().to_owned();
    if path == "/v1/tickets" {
        return match *req.method() {
            Method::POST => issue_tickets(daemon, req).await,
            _ => Err(CallerError::MethodNotAllowed),
        };
    }
    let Some(id) = path.strip_prefix("/v1/jobs/") else {
        return Err(CallerError::NotFound);
    };
    let id: JobId = id.parse()?;
    match *req.method() {
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

async fn issue_tickets(daemon: &Arc<Daemon>, req: Request<Incoming>) -> Result<Reply, CallerError> {
    let limits = &daemon.settings.limits;
    let body = read_request_body(req, limits).await?;
    let TicketsRequest { count } = parse(&body)?;
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
    req: Request<Incoming>,
) -> Result<Reply, CallerError> {
    let limits = &daemon.settings.limits;
    let wait = parse_wait(&req, limits)?;
    let body = read_request_body(req, limits).await?;
    // The issuer parses the job again; parsing it here rejects a malformed one before it is
    // forwarded.
    let spec = parse_job(&body, limits)?;
    let wait = wait.unwrap_or(spec.deadline()).min(spec.deadline());
    Ok(daemon.serve(JobRequest { id, verb: Verb::Submit, wait, body }).await)
}

async fn read_request_body(req: Request<Incoming>, limits: &Limits) -> Result<Bytes, CallerError> {
    let limit = limits.max_body_bytes;
    let reading = read_body(req.into_body(), limit);
    match timeout(Duration::from_millis(limits.body_timeout_ms), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(HttpError::TooLarge { .. })) => Err(CallerError::TooLarge { limit }),
        _ => Err(CallerError::BodyTimeout),
    }
}

/// Parses the `wait_ms` query parameter, limited to the longest deadline.
fn parse_wait(req: &Request<Incoming>, limits: &Limits) -> Result<Option<Duration>, CallerError> {
    let query = req.uri().query().unwrap_or_default();
    let Some(text) = query.split('&').find_map(|pair| pair.strip_prefix("wait_ms=")) else {
        return Ok(None);
    };
    let ms: u64 = text.parse().map_err(|_| CallerError::Malformed {
        field: "wait_ms".to_owned(),
        message: "is not a number of milliseconds".to_owned(),
    })?;
    Ok(Some(Duration::from_millis(ms.min(limits.max_deadline_ms))))
}
