//! Runs decision cores against plain state machines of workers and a platform, in one thread and
//! in virtual time: for the policy benchmark and the randomised tests. No sockets, no sleeping.

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
