//! Fake platform and fake workers that inject faults on request, for demos and tests.

pub mod platform;
pub mod worker;

use crate::transport::http::{json_response, read_body};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderMap};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Maximum size of a request to a fake, in bytes.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// The fake closes the connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the stand-in closes the connection")]
pub struct Dropped;

/// A complete request to a fake.
#[derive(Clone, Debug)]
pub struct StandRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, read in full.
    pub body: Bytes,
}

impl StandRequest {
    /// Returns the value of a header if the header is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Response of a fake.
pub type StandResponse = Response<Full<Bytes>>;

/// A fake HTTP service.
pub trait Stand: Send + Sync + 'static {
    /// Returns the response to a request.
    ///
    /// # Errors
    ///
    /// Returns [`Dropped`] to close the connection without a response.
    fn answer(
        &self,
        req: StandRequest,
    ) -> impl Future<Output = Result<StandResponse, Dropped>> + Send;
}

/// Serves a fake on `listener`; never returns.
pub async fn serve<S>(stand: Arc<S>, listener: TcpListener)
where
    S: Stand,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let stand = Arc::clone(&stand);
        let service = service_fn(move |req| {
            let stand = Arc::clone(&stand);
            async move { serve_one(stand.as_ref(), req).await }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn serve_one<S>(stand: &S, req: Request<Incoming>) -> Result<StandResponse, Dropped>
where
    S: Stand,
{
    let (parts, body) = req.into_parts();
    let body = read_body(body, MAX_REQUEST_BYTES).await.map_err(|_| Dropped)?;
    let req = StandRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        headers: parts.headers,
        body,
    };
    stand.answer(req).await
}

/// Builds a response with a JSON body.
pub fn reply<T>(status: StatusCode, body: &T) -> StandResponse
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    json_response(status.as_u16(), None, body.into())
}

/// Builds a response without a body.
pub fn bare(status: StatusCode) -> StandResponse {
    json_response(status.as_u16(), None, Bytes::new())
}
