//! A dispatcher for sub-second tasks.
//!
//! Callers send jobs of many short tasks to any entry VM. Every task is started at most once,
//! every answer is whole, and a refusal that says `not_run` is true.
//!
//! The layers, from the inside out:
//!
//! * [`state`]: plain data structures, without I/O, clocks or randomness of their own.
//! * [`coordination`]: the decisions, driven by events and the current [`state::time::Moment`].
//! * [`protocol`]: the messages on each interface.
//! * [`transport`]: sockets, connections and servers.
//!
//! [`daemon`] drives the decision core; [`cmd`] holds the command line; [`fake`] holds the
//! stand-ins for the platform and the workers.

pub mod client;
pub mod cmd;
pub mod config;
pub mod coordination;
pub mod daemon;
pub mod fake;
pub mod fleet;
pub mod protocol;
pub mod state;
pub mod transport;
pub mod trial;
pub mod util;

pub(crate) use protocol::{cranberrytray_capnp, fleet_capnp};
