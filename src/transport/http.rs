//! HTTP helpers on top of hyper: a request on a fresh connection, and bodies of bounded size.

use super::traffic::{CountingStream, TrafficCounters};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER},
};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::timeout,
};

/// Why an HTTP request failed.
#[derive(Debug, Display, Error, From)]
pub enum HttpError {
    /// No connection was established, so nothing was sent.
    #[display("connect: {_0}")]
    Connect(std::io::Error),
    /// The connection failed during the exchange, or the response is not valid HTTP.
    #[display("http: {_0}")]
    Hyper(hyper::Error),
    /// The request could not be built, so nothing was sent.
    #[display("request: {_0}")]
    Request(hyper::http::Error),
    /// No complete response arrived within the timeout.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
    /// The body exceeds its size limit.
    #[display("a body of more than {limit} bytes")]
    #[from(skip)]
    TooLarge {
        /// Maximum size of the body, in bytes.
        limit: usize,
    },
    /// The response has a status other than 200.
    #[display("status {_0}")]
    #[from(skip)]
    Status(#[error(not(source))] u16),
    /// The body of the response is not JSON of the expected form.
    #[display("body: {_0}")]
    Json(serde_json::Error),
}

/// Maximum size of a response body from the platform, a worker or an entry VM, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`HttpError::TooLarge`], or [`HttpError::Hyper`] if the connection fails.
pub async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, HttpError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(HttpError::TooLarge { limit });
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, read in full.
    pub body: Bytes,
}

impl HttpResponse {
    /// Parses the JSON body of a response with status 200.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Status`] for another status and [`HttpError::Json`] for a malformed
    /// body.
    pub fn json<T>(&self) -> Result<T, HttpError>
    where
        T: DeserializeOwned,
    {
        if self.status != StatusCode::OK {
            return Err(HttpError::Status(self.status.as_u16()));
        }
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns the value of a header if the header is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// An HTTP request, sent on a connection of its own.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    method: Method,
    path: String,
    headers: Vec<(HeaderName, String)>,
    body: Bytes,
    timeout: Duration,
    traffic: Option<&'static TrafficCounters>,
}

impl HttpRequest {
    /// Creates a request without a body and with a timeout of five seconds.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        HttpRequest {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(5),
            traffic: None,
        }
    }

    /// Adds the bytes sent and received by this request to `traffic`.
    pub fn count_traffic(mut self, traffic: &'static TrafficCounters) -> Self {
        self.traffic = Some(traffic);
        self
    }

    /// Adds a header field.
    pub fn header(mut self, name: HeaderName, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the timeout of the whole exchange, from connecting to the end of the response.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`]. Only [`HttpError::Connect`] and [`HttpError::Request`] prove that
    /// nothing was sent.
    pub async fn send(self, address: SocketAddr) -> Result<HttpResponse, HttpError> {
        let limit = self.timeout;
        timeout(limit, self.exchange(address)).await.unwrap_or(Err(HttpError::Timeout))
    }

    async fn exchange(self, address: SocketAddr) -> Result<HttpResponse, HttpError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        match self.traffic {
            Some(traffic) => self.exchange_on(address, CountingStream::new(stream, traffic)).await,
            None => self.exchange_on(address, stream).await,
        }
    }

    async fn exchange_on<S>(self, address: SocketAddr, stream: S) -> Result<HttpResponse, HttpError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let mut builder = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        let res = sender.send_request(builder.body(Full::new(self.body))?).await?;
        let (parts, body) = res.into_parts();
        let body = read_body(body, MAX_RESPONSE_BYTES).await?;
        driver.abort();
        Ok(HttpResponse { status: parts.status, headers: parts.headers, body })
    }
}

/// Builds a response with a JSON body. A retry delay is sent as `Retry-After` in whole seconds,
/// rounded up, and as `retry-after-ms`.
pub fn json_response(
    status: u16,
    retry_after: Option<Duration>,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut builder = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header(CONTENT_TYPE, "application/json");
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1_000);
        builder = builder
            .header(RETRY_AFTER, seconds.to_string())
            .header("retry-after-ms", delay.as_millis().to_string());
    }
    builder.body(Full::new(body)).unwrap_or_default()
}
