//! When heartbeats are sent.

use std::{sync::LazyLock, time::Duration};
use tokio::time::Instant;

/// Longest interval of heartbeats that are sent together. Those of a dispatcher to all VMs of its zone
/// are not, since they are many.
const MAX_ALIGNED_INTERVAL: Duration = Duration::from_millis(200);

/// When this process first sent a heartbeat.
static FIRST_HEARTBEAT: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time until the next heartbeat. Frequent ones are due at multiples of their interval, so that a VM
/// which follows several dispatchers wakes up once for all of them.
pub(super) fn time_to_next(interval: Duration) -> Duration {
    if interval > MAX_ALIGNED_INTERVAL {
        return interval;
    }
    let since = FIRST_HEARTBEAT.elapsed();
    let past = Duration::from_nanos((since.as_nanos() % interval.as_nanos()) as u64);
    interval - past
}
