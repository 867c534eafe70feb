//! A dispatcher for sub-second tasks.
//!
//! Callers send jobs of many short tasks to any entry VM, which runs them on workers. Every task is
//! started at most once. An answer holds either the outputs of all tasks or a report on each of
//! them, and `not_run` guarantees that no task was started.
//!
//! The layers, from the innermost to the outermost:
//!
//! * [`state`]: data structures that do no I/O and read neither clocks nor random numbers.
//! * [`coordination`]: the decision core, driven by events and the current
//!   [`state::time::Moment`].
//! * [`protocol`]: the messages on each interface.
//! * [`transport`]: sockets, connections and servers.
//!
//! [`daemon`] runs an entry VM with workers of its own, [`fleet`] one whose targets are leased.
//! [`client`] holds the clients of the dispatcher and [`cmd`] the command line. Fakes of the
//! platform and the workers, and a simulation in virtual time, serve demos, tests and benchmarks.

pub mod client;
pub mod cmd;
pub mod config;
pub mod coordination;
pub mod daemon;
pub mod fake;
pub mod fleet;
pub mod protocol;
pub mod simulation;
pub mod state;
pub mod transport;
pub mod util;

pub(crate) use protocol::{cranberrytray_capnp, fleet_capnp};
