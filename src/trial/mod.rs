//! Runs decision cores against plain state machines of workers and a platform, in one thread and
//! in virtual time: for the policy benchmark and the randomised tests. No sockets, no sleeping.

pub mod load;
pub mod measure;
pub mod scenario;
pub mod worker;
pub mod world;
