//! Counters of the bytes of control traffic, taken at the sockets.

use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that this process has sent and received over one kind of connection.
#[derive(Debug)]
pub struct TrafficCounters {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Traffic with peers and operators.
pub static PEER_TRAFFIC: TrafficCounters = TrafficCounters::new();
/// Traffic with the platform.
pub static PLATFORM_TRAFFIC: TrafficCounters = TrafficCounters::new();

impl TrafficCounters {
    const fn new() -> Self {
        TrafficCounters { sent: AtomicU64::new(0), received: AtomicU64::new(0) }
    }

    /// Returns the number of bytes sent since the process started.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received since the process started.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// A stream that counts the bytes it carries.
#[derive(Debug)]
pub struct CountingStream<S> {
    inner: S,
    traffic: &'static TrafficCounters,
}

impl<S> CountingStream<S> {
    /// Wraps `inner` and adds its bytes to `traffic`.
    pub fn new(inner: S, traffic: &'static TrafficCounters) -> Self {
        CountingStream { inner, traffic }
    }
}

impl<S> AsyncRead for CountingStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.traffic.received.fetch_add(read as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for CountingStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.traffic.sent.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
