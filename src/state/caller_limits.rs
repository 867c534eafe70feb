//! How much of its VM a process gives to callers, so that none of them takes what the process itself needs.

use super::resources::{ByteSize, Mebibytes};
use derive_more::Display;

/// Memory of a VM unless the settings say otherwise.
pub const USUAL_MEMORY: Mebibytes = Mebibytes(256);
/// Number of file descriptors of a process unless the settings say otherwise.
pub const USUAL_FDS: u64 = 4_096;
/// Descriptors of a VM that sockets can't use.
const FILE_DESCRIPTORS: u64 = 200;
/// Callers' connections get one in this many of the other descriptors; targets, other VMs and the store
/// share the rest.
const CONNECTION_SHARE_DIVISOR: u64 = 2;
/// Memory of a connection: its buffers here and in the kernel, and the state of its request.
const CONNECTION_BYTES: u64 = 48 << 10;
/// Callers' connections get one in this many parts of the memory.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;
/// Bodies of requests get one in this many parts of the memory.
const BODY_MEMORY_DIVISOR: u64 = 8;
/// The jobs of this VM's callers, and those of its shard if it is a dispatcher, each get one in this many
/// parts of the memory.
const JOB_MEMORY_DIVISOR: u64 = 8;
/// Requests that wait for the outcomes of their jobs get this share of the connections, in percent; the
/// others can be closed for new ones.
const REQUEST_PERCENT: usize = 75;

/// What callers may use of a VM.
///
/// ```
/// use cranberrytray::state::{caller_limits::CallerLimits, resources::Mebibytes};
///
/// let limits = CallerLimits::of_vm(Mebibytes(256), 4_096);
/// assert_eq!(limits.connections, 1_365);
/// assert_eq!(limits.requests(), 1_023);
/// assert_eq!(limits.body_memory.0, 32 << 20);
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{connections} connections, {body_memory} for bodies, {job_memory} for jobs")]
pub struct CallerLimits {
    /// Number of connections.
    pub connections: usize,
    /// Memory for bodies of requests, complete or not.
    pub body_memory: ByteSize,
    /// Memory for the jobs of this VM's callers; a dispatcher may use as much for the jobs of its shard.
    pub job_memory: ByteSize,
}

impl Default for CallerLimits {
    /// Limits of a VM with [`USUAL_MEMORY`] and [`USUAL_FDS`].
    fn default() -> Self {
        CallerLimits::of_vm(USUAL_MEMORY, USUAL_FDS)
    }
}

impl CallerLimits {
    /// Limits of a VM with so much memory and so many file descriptors.
    pub fn of_vm(memory: Mebibytes, fds: u64) -> Self {
        let memory = ByteSize::from(memory).0;
        let by_fds = fds.saturating_sub(FILE_DESCRIPTORS) / CONNECTION_SHARE_DIVISOR;
        let by_memory = memory / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        CallerLimits {
            connections: by_fds.min(by_memory).max(1) as usize,
            body_memory: ByteSize(memory / BODY_MEMORY_DIVISOR),
            job_memory: ByteSize(memory / JOB_MEMORY_DIVISOR),
        }
    }

    /// Number of requests that may wait for the outcomes of their jobs at the same time.
    pub fn requests(self) -> usize {
        (self.connections * REQUEST_PERCENT / 100).max(1)
    }
}
