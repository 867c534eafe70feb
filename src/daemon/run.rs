//! Starts and stops the parts of an entry VM.

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

/// Time for requests in flight to end once nothing keeps them waiting.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an entry VM could not start.
#[derive(Debug, Display, Error, Diagnostic)]
pub enum StartError {
    /// An address can't be listened on.
    #[display("{field}: can't listen on {address}")]
    #[diagnostic(code(start::listen), help("another process may be using this address"))]
    Listen {
        /// The settings' field.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        #[error(source)]
        cause: io::Error,
    },
    /// A thread can't be started.
    #[display("a thread can't be started")]
    #[diagnostic(code(start::thread))]
    Thread {
        /// Why.
        #[error(source)]
        cause: io::Error,
    },
}

async fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listening = TcpListener::bind(address).await;
    listening.map_err(|cause| StartError::Listen { field, address, cause })
}

/// Runs an entry VM until `stop` ends, then leaves cleanly.
///
/// # Errors
///
/// A [`StartError`] if an address can't be listened on.
pub async fn run<S>(settings: Settings, stop: S) -> Result<(), StartError>
where
    S: Future<Output = ()>,
{
    let callers_listener = listen("callers", settings.callers).await?;
    let health_listener = listen("health", settings.health).await?;
    let peers_listener = listen("peers", settings.peers).await?;
    let operators_listener = listen("operators", settings.operators).await?;
    let (daemon, calls) = Daemon::new(settings, Handle::current());
    log::info!("start: {} as {}", daemon.settings.vm, daemon.core.issuer().incarnation);
    // The RPC thread ends when this function returns.
    let (_rpc_ends, rpc_end) = oneshot::channel::<()>();
    let listeners = (peers_listener, operators_listener);
    start_rpc_thread(Arc::clone(&daemon), calls, listeners, rpc_end)?;
    tokio::spawn(health::serve(Arc::clone(&daemon), health_listener));
    daemon.find_config().await;
    tokio::spawn(Arc::clone(&daemon).run_ticks());
    tokio::spawn(Arc::clone(&daemon).run_sweeps());
    tokio::spawn(Arc::clone(&daemon).run_heartbeats());
    tokio::spawn(Arc::clone(&daemon).run_polls());
    let (close, closing) = oneshot::channel();
    let serving = tokio::spawn(callers::serve(Arc::clone(&daemon), callers_listener, closing));
    log::info!("start: ready, callers on {}", daemon.settings.callers);
    stop.await;
    match daemon.leave().await {
        Ok(()) => log::info!("leave: done"),
        Err(e) => log::warn!("leave: {e}"),
    }
    let _ = close.send(CLOSE_TIMEOUT);
    let _ = serving.await;
    Ok(())
}

/// Peers and operators are served on a thread of their own, so that their calls and the request
/// path don't wait for each other.
fn start_rpc_thread(
    daemon: Arc<Daemon>,
    calls: PeerCallReceiver,
    (peers, operators): (TcpListener, TcpListener),
    end: oneshot::Receiver<()>,
) -> Result<(), StartError> {
    let thread_error = |cause| StartError::Thread { cause };
    let peers = peers.into_std().map_err(thread_error)?;
    let operators = operators.into_std().map_err(thread_error)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(thread_error)?;
    let work = move || {
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
                _ = end => {}
            }
        });
    };
    std::thread::Builder::new().name("rpc".to_owned()).spawn(work).map_err(thread_error)?;
    Ok(())
}
