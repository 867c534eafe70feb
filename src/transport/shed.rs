//! A `tower` layer for load shedding: it rejects requests at once while too many are being served.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower::{Layer, Service};

/// Builds the response to a request that is rejected because of overload.
pub trait Overload<Res> {
    /// Returns the response to a rejected request.
    fn overloaded() -> Res;
}

/// Layer that limits the number of requests served concurrently.
#[derive(Clone, Debug)]
pub struct ShedLayer {
    permits: Arc<Semaphore>,
}

impl ShedLayer {
    /// Creates a layer that serves at most `limit` requests concurrently and rejects the others.
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

/// Service created by [`ShedLayer`].
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

/// Future returned by [`Shed`].
#[derive(Debug)]
pub enum ShedFuture<F> {
    /// The request is being served.
    Serving {
        /// Future of the inner service.
        inner: F,
        /// Permit that is released when the future is dropped, after the response.
        _permit: OwnedSemaphorePermit,
    },
    /// The request is rejected.
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
