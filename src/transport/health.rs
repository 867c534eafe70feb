//! HTTP server for the load balancer's health checks and for metrics.

use super::http::json_response;
use crate::daemon::Daemon;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, sync::Arc};
use tokio::net::TcpListener;

/// Serves `/live`, `/ready` and `/metrics` on `listener`; never returns.
pub async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let daemon = Arc::clone(&daemon);
        let service = service_fn(move |req: Request<Incoming>| {
            let res = respond(&daemon, req.uri().path());
            async move { Ok::<_, Infallible>(res) }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
    }
}

fn respond(daemon: &Daemon, path: &str) -> Response<Full<Bytes>> {
    match path {
        "/live" => json_response(200, None, Bytes::from_static(b"{\"live\":true}")),
        "/ready" if daemon.is_ready() => {
            json_response(200, None, Bytes::from_static(b"{\"ready\":true}"))
        }
        "/ready" => json_response(503, None, Bytes::from_static(b"{\"ready\":false}")),
        "/metrics" => match daemon.metrics() {
            Ok(text) => Response::new(Full::new(text.into())),
            Err(_) => json_response(500, None, Bytes::new()),
        },
        _ => json_response(404, None, Bytes::new()),
    }
}
