//! A `tower` layer that turns requests down at once when too many are being served.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower::{Layer, Service};

/// Makes the response for a request that is turned down.
pub trait Overload<Res> {
    /// The response.
    fn overloaded() -> Res;
}

/// Limits how many requests are served at the same time.
#[derive(Clone, Debug)]
pub struct ShedLayer {
    permits: Arc<Semaphore>,
}

impl ShedLayer {
    /// At most `limit` requests at the same time.
    pub fn new(limit: usize) -> Self {
        ShedLayer { permits: Arc::new(Semaphore::new(limit)) }
    }
}

impl<S> Layer<S> for ShedLayer {
    type Service = Shed<S>;

    fn layer(&self, inner: S) -> Shed<S> {
        Shed { inner, permits: Arc::clone(&self.permits) }
    }
}

/// The service that [`ShedLayer`] makes.
#[derive(Clone, Debug)]
pub struct Shed<S> {
    inner: S,
    permits: Arc<Semaphore>,
}

impl<S, Req> Service<Req> for Shed<S>
where
    S: Service<Req>,
    S::Response: Overload<S::Response>,
    S::Future: Unpin,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = ShedFuture<S::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Req) -> Self::Future {
        match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => ShedFuture::Serving { inner: self.inner.call(req), _permit: permit },
            Err(_) => ShedFuture::TurnedDown,
        }
    }
}

/// The future of [`Shed`].
#[derive(Debug)]
pub enum ShedFuture<F> {
    /// The request is being served.
    Serving {
        /// The inner future.
        inner: F,
        /// Held until the response is there.
        _permit: OwnedSemaphorePermit,
    },
    /// The request is turned down.
    TurnedDown,
}

impl<F, Res, E> Future for ShedFuture<F>
where
    F: Future<Output = Result<Res, E>> + Unpin,
    Res: Overload<Res>,
{
    type Output = Result<Res, E>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match &mut *self {
            ShedFuture::Serving { inner, .. } => {
                let res = ready!(Pin::new(inner).poll(cx));
                Poll::Ready(res)
            }
            ShedFuture::TurnedDown => Poll::Ready(Ok(Res::overloaded())),
        }
    }
}
