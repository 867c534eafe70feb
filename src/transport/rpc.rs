//! Cap'n Proto connections to peers and operators. Their clients and servers are not [`Send`] and
//! stay on the thread of their `LocalSet`; in the daemon this is the RPC thread.

use super::traffic::{CountingStream, PEER_TRAFFIC};
use crate::protocol::peers::WireError;
use capnp::capability::FromClientHook;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use derive_more::{Display, Error, From};
use socket2::SockRef;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::spawn_local,
    time::timeout,
};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection is closed when the other end has not acknowledged sent data for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a Cap'n Proto call to another process failed.
#[derive(Debug, Display, Error, From)]
pub enum RpcError {
    /// No connection was established.
    #[display("connect: {_0}")]
    Connect(std::io::Error),
    /// The call failed at the other end, or the connection ended before the reply arrived.
    #[display("call: {_0}")]
    Call(capnp::Error),
    /// The reply can't be read.
    #[display("answer: {_0}")]
    Wire(WireError),
    /// No reply arrived in time.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
    /// The RPC thread has ended because the process is stopping.
    #[display("the process is stopping")]
    #[from(skip)]
    Stopping,
}

impl RpcError {
    /// Whether the call failed because the connection has ended.
    pub fn is_disconnected(&self) -> bool {
        matches!(self, RpcError::Call(e) if e.kind == capnp::ErrorKind::Disconnected)
    }

    /// Whether the connection was refused, which proves that no process serves at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, RpcError::Connect(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

type Network = VatNetwork<Compat<CountingStream<OwnedReadHalf>>>;

fn vat_network(stream: TcpStream, side: Side) -> Network {
    let (read, write): (OwnedReadHalf, OwnedWriteHalf) = stream.into_split();
    let read = CountingStream::new(read, &PEER_TRAFFIC).compat();
    let write = CountingStream::new(write, &PEER_TRAFFIC).compat_write();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(64 << 20));
    VatNetwork::new(read, write, side, options)
}

/// Connects to the interface served at `address`. Must be called within a `LocalSet`.
///
/// # Errors
///
/// Returns [`RpcError::Connect`] or [`RpcError::Timeout`] if no connection is established.
pub async fn connect<C>(address: SocketAddr) -> Result<C, RpcError>
where
    C: FromClientHook,
{
    connect_with_timeouts(address, CONNECT_TIMEOUT, TCP_USER_TIMEOUT).await
}

/// Connects within `connect_timeout`. The connection is closed when the other end has not
/// acknowledged sent data for `user_timeout`. Must be called within a `LocalSet`.
///
/// # Errors
///
/// Returns [`RpcError::Connect`] or [`RpcError::Timeout`] if no connection is established.
pub async fn connect_with_timeouts<C>(
    address: SocketAddr,
    connect_timeout: Duration,
    user_timeout: Duration,
) -> Result<C, RpcError>
where
    C: FromClientHook,
{
    let connecting = timeout(connect_timeout, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| RpcError::Timeout)??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(user_timeout))?;
    let mut system = RpcSystem::new(Box::new(vat_network(stream, Side::Client)), None);
    let client = system.bootstrap(Side::Server);
    spawn_local(system);
    Ok(client)
}

/// Serves `client` on every connection; never returns. Must be called within a `LocalSet`.
pub async fn serve<C>(listener: TcpListener, client: C)
where
    C: FromClientHook + Clone,
{
    serve_with(listener, || client.clone()).await;
}

/// Serves each connection with a client of its own, created by `make`; never returns. Must be
/// called within a `LocalSet`.
pub async fn serve_with<C, F>(listener: TcpListener, make: F)
where
    C: FromClientHook,
    F: Fn() -> C,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let bootstrap = capnp::capability::Client::new(make().into_client_hook());
        spawn_local(RpcSystem::new(Box::new(vat_network(stream, Side::Server)), Some(bootstrap)));
    }
}
