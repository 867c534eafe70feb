//! Messages of each interface and their encoding, independent of the transport.

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
