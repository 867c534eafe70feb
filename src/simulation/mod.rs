//! Discrete-event simulation for the policy benchmark and the randomised tests: decision cores run
//! against state machines of workers and a platform, in one thread and in virtual time, without
//! sockets and sleeps.
//!
//! [`site`] is not part of the simulation: it runs real entry VMs in one process.

pub mod engine;
mod event;
mod fault;
mod handlers;
mod invariants;
pub mod load;
pub mod measure;
mod operator;
pub mod scenario;
pub mod site;
pub mod worker;
