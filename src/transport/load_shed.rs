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
pub trait OverloadResponse<Res> {
    /// Returns the response to a rejected request.
    fn overloaded() -> Res;
}

/// Layer that limits the number of requests served concurrently.
#[derive(Clone, Debug)]
pub struct LoadShedLayer {
    permits: Arc<Semaphore>,
}

impl LoadShedLayer {
    /// Creates a layer that serves at most `limit` requests concurrently and rejects the others.
    pub fn new(limit: usize) -> Self {
        LoadShedLayer { permits: Arc::new(Semaphore::new(limit)) }
    }
}

impl<S> Layer<S> for LoadShedLayer {
    type Service = LoadShed<S>;

    fn layer(&self, inner: S) -> LoadShed<S> {
        LoadShed { inner, permits: Arc::clone(&self.permits) }
    }
}

/// Service created by [`LoadShedLayer`].
#[derive(Clone, Debug)]
pub struct LoadShed<S> {
    inner: S,
    permits: Arc<Semaphore>,
}

impl<S, Req> Service<Req> for LoadShed<S>
where
    S: Service<Req>,
    S::Response: OverloadResponse<S::Response>,
    S::Future: Unpin,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = LoadShedFuture<S::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Req) -> Self::Future {
        match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => LoadShedFuture::Serving { inner: self.inner.call(req), _permit: permit },
            Err(_) => LoadShedFuture::Rejected,
        }
    }
}

/// Future returned by [`LoadShed`].
#[derive(Debug)]
pub enum LoadShedFuture<F> {
    /// The request is being served.
    Serving {
        /// Future of the inner service.
        inner: F,
        /// Permit that is released when the future is dropped, after the response.
        _permit: OwnedSemaphorePermit,
    },
    /// The request is rejected.
    Rejected,
}

impl<F, Res, E> Future for LoadShedFuture<F>
where
    F: Future<Output = Result<Res, E>> + Unpin,
    Res: OverloadResponse<Res>,
{
    type Output = Result<Res, E>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match &mut *self {
            LoadShedFuture::Serving { inner, .. } => {
                let res = ready!(Pin::new(inner).poll(cx));
                Poll::Ready(res)
            }
            LoadShedFuture::Rejected => Poll::Ready(Ok(Res::overloaded())),
        }
    }
}
