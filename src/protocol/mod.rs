//! The messages on each interface, without the sockets that carry them.

pub mod callers;
#[allow(missing_docs, clippy::all, clippy::pedantic, unused)]
#[rustfmt::skip]
pub mod cranberrytray_capnp;
pub mod fleet;
#[allow(missing_docs, clippy::all, clippy::pedantic, unused)]
#[rustfmt::skip]
pub mod fleet_capnp;
pub mod peers;
pub mod platform;
pub mod workers;
