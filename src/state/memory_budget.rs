//! Memory that is shared by many small holders and a few large ones.

use super::resources::ByteSize;
use derive_more::{Add, AddAssign, Sum};
use parking_lot::Mutex;
use std::sync::Arc;

/// A holder is large if it takes more than one in this many parts of the memory.
const LARGE_DIVISOR: u64 = 64;
/// Large holders together get one in this many parts of the memory, and leave the rest to small ones.
const LARGE_SHARE_DIVISOR: u64 = 2;

/// Memory in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign, Sum)]
pub struct MemoryUse {
    /// Memory of all holders.
    total: ByteSize,
    /// Memory of the large holders.
    large: ByteSize,
}

impl MemoryUse {
    /// Memory of all holders.
    pub fn total(self) -> ByteSize {
        self.total
    }
}

/// A limit on memory in use.
///
/// ```
/// use cranberrytray::state::{memory_budget::MemoryBudget, resources::ByteSize};
///
/// let budget = MemoryBudget::new(ByteSize(6_400));
/// let large = budget.use_of(ByteSize(3_000));
/// assert!(!budget.admits(large, ByteSize(300)));
/// assert!(budget.admits(large, ByteSize(100)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    limit: ByteSize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: ByteSize) -> Self {
        MemoryBudget { limit }
    }

    fn is_large(self, size: ByteSize) -> bool {
        size.0 > self.limit.0 / LARGE_DIVISOR
    }

    /// Memory that one holder of this size uses.
    pub fn use_of(self, size: ByteSize) -> MemoryUse {
        let large = if self.is_large(size) { size } else { ByteSize(0) };
        MemoryUse { total: size, large }
    }

    /// Whether there is room for one more holder of this size. There always is for a single one, however
    /// large it is.
    pub fn admits(self, used: MemoryUse, size: ByteSize) -> bool {
        if used.total == ByteSize(0) {
            return true;
        }
        let with = used + self.use_of(size);
        let fits_beside_large = !self.is_large(size)
            || used.large == ByteSize(0)
            || with.large.0 <= self.limit.0 / LARGE_SHARE_DIVISOR;
        with.total <= self.limit && fits_beside_large
    }
}

/// A budget from which memory is reserved until the reservation is dropped.
#[derive(Clone, Debug)]
pub struct SharedBudget {
    budget: MemoryBudget,
    used: Arc<Mutex<MemoryUse>>,
}

impl SharedBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: ByteSize) -> Self {
        SharedBudget { budget: MemoryBudget::new(limit), used: Arc::default() }
    }

    /// Reserves memory; `None` if there is no room for it.
    pub fn reserve(&self, size: ByteSize) -> Option<Reservation> {
        let mut used = self.used.lock();
        if !self.budget.admits(*used, size) {
            return None;
        }
        let reserved = self.budget.use_of(size);
        *used += reserved;
        Some(Reservation { reserved, used: Arc::clone(&self.used) })
    }

    /// Memory that is reserved.
    pub fn reserved(&self) -> ByteSize {
        self.used.lock().total()
    }
}

/// Reserved memory, returned to its budget on drop.
#[derive(Debug)]
pub struct Reservation {
    reserved: MemoryUse,
    used: Arc<Mutex<MemoryUse>>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut used = self.used.lock();
        used.total.0 = used.total.0.saturating_sub(self.reserved.total.0);
        used.large.0 = used.large.0.saturating_sub(self.reserved.large.0);
    }
}
