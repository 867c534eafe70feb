//! Fake platform and fake workers that inject faults on request, for demos and tests.

pub mod platform;
pub mod worker;

use crate::transport::http::{json_response, read_body};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header::HeaderMap, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Maximum size of a request to a fake, in bytes.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// Injected fault: the fake closes the connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the fake service closes the connection")]
pub struct ConnectionDropped;

/// A complete request to a fake.
#[derive(Clone, Debug)]
pub struct FakeRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, read in full.
    pub body: Bytes,
}

impl FakeRequest {
    /// Returns the value of a header if the header is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Response of a fake.
pub type FakeResponse = Response<Full<Bytes>>;

/// An HTTP service that stands in for the platform or for a worker.
pub trait FakeService: Send + Sync + 'static {
    /// Returns the response to a request.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionDropped`] to close the connection without a response.
    fn handle(
        &self,
        req: FakeRequest,
    ) -> impl Future<Output = Result<FakeResponse, ConnectionDropped>> + Send;
}

/// Serves a fake on `listener`; never returns.
pub async fn serve<S>(fake: Arc<S>, listener: TcpListener)
where
    S: FakeService,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let fake = Arc::clone(&fake);
        let service = service_fn(move |req| {
            let fake = Arc::clone(&fake);
            async move { serve_one(fake.as_ref(), req).await }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn serve_one<S>(fake: &S, req: Request<Incoming>) -> Result<FakeResponse, ConnectionDropped>
where
    S: FakeService,
{
    let (parts, body) = req.into_parts();
    let body = read_body(body, MAX_REQUEST_BYTES).await.map_err(|_| ConnectionDropped)?;
    let req = FakeRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        headers: parts.headers,
        body,
    };
    fake.handle(req).await
}

/// Builds a response with a JSON body.
pub fn json_reply<T>(status: StatusCode, body: &T) -> FakeResponse
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    json_response(status.as_u16(), None, body.into())
}

/// Builds a response without a body.
pub fn empty_reply(status: StatusCode) -> FakeResponse {
    json_response(status.as_u16(), None, Bytes::new())
}
