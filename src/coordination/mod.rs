//! The decisions of an entry VM, without I/O: each call takes the current moment and appends the
//! actions that the driver has to carry out.

pub mod accept;
pub mod action;
pub mod admission;
pub mod configuration;
pub mod core;
pub mod dispatch;

pub mod exchange;
pub mod handover;
pub mod lending;
pub mod lookup;
pub mod members;
pub mod scheduler;
