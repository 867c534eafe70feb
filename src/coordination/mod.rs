//! The decisions of an entry VM, without I/O. Each call takes the current moment and returns the
//! actions that the driver has to carry out.
//!
//! [`core`] is the decision core of the daemon, which runs tasks on its own workers; [`dispatch`]
//! is the one of the VMs that run tasks on leased targets.

pub mod action;
pub mod admission;
pub mod config_update;
pub mod configuration;
pub mod core;
pub mod dispatch;
pub mod election;
pub mod exchange;
pub mod handover;
pub mod lending;
pub mod members;
pub mod scheduler;
pub mod status;
