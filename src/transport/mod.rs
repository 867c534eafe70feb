//! Network connections: servers for callers, peers, operators and health checks; clients of
//! workers, peers and the platform.

pub mod body_buffers;
pub mod callers;
pub mod connections;
pub mod fleet;
pub mod health;
mod heartbeat_timing;
pub mod http;
pub mod load_shed;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod received_job;
pub mod rpc;
pub mod traffic;
pub mod workers;
