//! Small HTTP helpers over hyper: one request on a fresh connection, and bounded bodies.

use super::traffic::{Counted, Traffic};
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

/// Why an HTTP call failed.
#[derive(Debug, Display, Error, From)]
pub enum HttpError {
    /// No connection could be made, so nothing was sent.
    #[display("connect: {_0}")]
    Connect(std::io::Error),
    /// The exchange broke off.
    #[display("http: {_0}")]
    Hyper(hyper::Error),
    /// The request can't be built.
    #[display("request: {_0}")]
    Request(hyper::http::Error),
    /// No whole answer came in time.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
    /// A body is larger than allowed.
    #[display("a body of more than {limit} bytes")]
    #[from(skip)]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The answer has an unexpected status.
    #[display("status {_0}")]
    #[from(skip)]
    Status(#[error(not(source))] u16),
    /// The answer's body can't be read.
    #[display("body: {_0}")]
    Json(serde_json::Error),
}

/// Largest answer read from the platform, a worker or an entry VM, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// [`HttpError::TooLarge`] or [`HttpError::Hyper`].
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answered {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answered {
    /// Reads a JSON body of an answer with status 200.
    ///
    /// # Errors
    ///
    /// [`HttpError::Status`] or [`HttpError::Json`].
    pub fn json<T>(&self) -> Result<T, HttpError>
    where
        T: DeserializeOwned,
    {
        if self.status != StatusCode::OK {
            return Err(HttpError::Status(self.status.as_u16()));
        }
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request on its own connection.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(HeaderName, String)>,
    body: Bytes,
    timeout: Duration,
    traffic: Option<&'static Traffic>,
}

impl Call {
    /// A call without a body and with a timeout of five seconds.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Call {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(5),
            traffic: None,
        }
    }

    /// Counts the bytes of this call.
    pub fn counted(mut self, traffic: &'static Traffic) -> Self {
        self.traffic = Some(traffic);
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: HeaderName, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets how long the whole exchange may take.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends it and reads the whole answer.
    ///
    /// # Errors
    ///
    /// An [`HttpError`]; only [`HttpError::Connect`] and [`HttpError::Request`] mean that nothing
    /// was sent.
    pub async fn send(self, address: SocketAddr) -> Result<Answered, HttpError> {
        let limit = self.timeout;
        timeout(limit, self.exchange(address)).await.unwrap_or(Err(HttpError::Timeout))
    }

    async fn exchange(self, address: SocketAddr) -> Result<Answered, HttpError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        match self.traffic {
            Some(traffic) => self.exchange_over(address, Counted::new(stream, traffic)).await,
            None => self.exchange_over(address, stream).await,
        }
    }

    async fn exchange_over<S>(self, address: SocketAddr, stream: S) -> Result<Answered, HttpError>
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
        let body = read_body(body, MAX_ANSWER_BYTES).await?;
        driver.abort();
        Ok(Answered { status: parts.status, headers: parts.headers, body })
    }
}

/// A response with a JSON body, and `Retry-After` in whole seconds if given.
pub fn json_response(
    status: u16,
    retry_after: Option<Duration>,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut builder = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header(CONTENT_TYPE, "application/json");
    if let Some(span) = retry_after {
        let seconds = span.as_millis().div_ceil(1_000);
        builder = builder
            .header(RETRY_AFTER, seconds.to_string())
            .header("retry-after-ms", span.as_millis().to_string());
    }
    builder.body(Full::new(body)).unwrap_or_default()
}
