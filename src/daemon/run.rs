//! Starts the servers and background tasks of an entry VM, and stops them.

use super::Daemon;
use crate::{
    config::Settings,
    transport::{
        callers, health, operators,
        peers::{PeerCallReceiver, run_peer_calls},
        rpc,
    },
};
use derive_more::{Display, Error};
use miette::Diagnostic;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle},
    sync::oneshot,
    task::LocalSet,
};

/// Longest wait for requests in flight to end after this entry VM has left.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an entry VM could not start.
#[derive(Debug, Display, Error, Diagnostic)]
pub enum StartError {
    /// An address can't be listened on.
    #[display("{field}: can't listen on {address}")]
    #[diagnostic(code(start::listen), help("another process may be using this address"))]
    Listen {
        /// Field of the settings that holds the address.
        field: &'static str,
        /// Address that could not be listened on.
        address: SocketAddr,
        /// Error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
    /// A thread can't be started.
    #[display("a thread can't be started")]
    #[diagnostic(code(start::thread))]
    Thread {
        /// Error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let result = TcpListener::bind(address).await;
    result.map_err(|cause| StartError::Listen { field, address, cause })
}

/// Runs an entry VM until `stop` completes, then shuts it down gracefully.
///
/// # Errors
///
/// A [`StartError`] if an address can't be listened on or the RPC thread can't be started.
pub async fn run<S>(settings: Settings, stop: S) -> Result<(), StartError>
where
    S: Future<Output = ()>,
{
    let callers_listener = bind("callers", settings.callers).await?;
    let health_listener = bind("health", settings.health).await?;
    let peers_listener = bind("peers", settings.peers).await?;
    let operators_listener = bind("operators", settings.operators).await?;
    let (daemon, calls) = Daemon::new(settings, Handle::current());
    log::info!(
        "start: entry VM {}, incarnation {}",
        daemon.settings.vm,
        daemon.core.issuer().incarnation
    );
    // Dropped when this function returns, which ends the RPC thread.
    let (_rpc_guard, rpc_stop) = oneshot::channel::<()>();
    let listeners = (peers_listener, operators_listener);
    start_rpc_thread(Arc::clone(&daemon), calls, listeners, rpc_stop)?;
    tokio::spawn(health::serve(Arc::clone(&daemon), health_listener));
    daemon.fetch_initial_config().await;
    tokio::spawn(Arc::clone(&daemon).run_ticks());
    tokio::spawn(Arc::clone(&daemon).run_sweeps());
    tokio::spawn(Arc::clone(&daemon).run_heartbeats());
    tokio::spawn(Arc::clone(&daemon).run_polls());
    let (close_tx, close_rx) = oneshot::channel();
    let serving = tokio::spawn(callers::serve(Arc::clone(&daemon), callers_listener, close_rx));
    log::info!("start: ready, serving callers on {}", daemon.settings.callers);
    stop.await;
    match daemon.leave().await {
        Ok(()) => log::info!("leave: done"),
        Err(e) => log::warn!("leave: {e}"),
    }
    let _ = close_tx.send(CLOSE_TIMEOUT);
    let _ = serving.await;
    Ok(())
}

/// Serves peers and operators on a separate thread, so that their calls and callers' requests don't
/// delay each other.
fn start_rpc_thread(
    daemon: Arc<Daemon>,
    calls: PeerCallReceiver,
    (peers, operators): (TcpListener, TcpListener),
    stop: oneshot::Receiver<()>,
) -> Result<(), StartError> {
    let thread_error = |cause| StartError::Thread { cause };
    let peers = peers.into_std().map_err(thread_error)?;
    let operators = operators.into_std().map_err(thread_error)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(thread_error)?;
    let serve_rpc = move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let (Ok(peers), Ok(operators)) =
                (TcpListener::from_std(peers), TcpListener::from_std(operators))
            else {
                return log::error!("start: the RPC thread can't use its listeners");
            };
            let peer = operators::peer_client(Arc::clone(&daemon));
            let operator = operators::operator_client(daemon);
            tokio::select! {
                () = run_peer_calls(calls) => {}
                () = rpc::serve(peers, peer) => {}
                () = rpc::serve(operators, operator) => {}
                _ = stop => {}
            }
        });
    };
    std::thread::Builder::new().name("rpc".to_owned()).spawn(serve_rpc).map_err(thread_error)?;
    Ok(())
}
