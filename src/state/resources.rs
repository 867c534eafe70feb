//! Amounts of processor time, memory and accelerators.

use derive_more::{Add, AddAssign, Display, FromStr, Sum};
use serde::{Deserialize, Serialize};

macro_rules! amount {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash,
            Add, AddAssign, Sum, Serialize, Deserialize,
        )]
        #[display("{_0}{}", $unit)]
        pub struct $name(pub u64);
    };
}

amount!(
    /// Processor capacity, in thousandths of a core.
    MilliCores,
    "m"
);
amount!(
    /// Memory size, in MiB.
    Mebibytes,
    "Mi"
);
amount!(
    /// Memory size, in bytes.
    ByteSize,
    "B"
);
amount!(
    /// Number of accelerators.
    Accelerators,
    ""
);

impl From<Mebibytes> for ByteSize {
    fn from(size: Mebibytes) -> Self {
        ByteSize(size.0.saturating_mul(1 << 20))
    }
}

/// Resources that a task needs or that a target has.
///
/// ```
/// use cranberrytray::state::resources::{MilliCores, Resources};
///
/// let free = Resources { cpu: MilliCores(32_000), ..Resources::default() };
/// let need = Resources { cpu: MilliCores(14_000), ..Resources::default() };
/// assert!(need.fits_in(free));
/// assert_eq!(free.saturating_sub(need).cpu, MilliCores(18_000));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Add, AddAssign, Sum, Serialize, Deserialize,
)]
pub struct Resources {
    /// Processor capacity.
    pub cpu: MilliCores,
    /// Memory size.
    pub memory: Mebibytes,
    /// Number of accelerators.
    pub accelerators: Accelerators,
}

impl Resources {
    /// Whether none of these amounts exceeds that in `available`.
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpu <= available.cpu
            && self.memory <= available.memory
            && self.accelerators <= available.accelerators
    }

    /// Subtracts `other`; an amount that would become negative is zero.
    pub fn saturating_sub(self, other: Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: Mebibytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_sub(other.accelerators.0)),
        }
    }
}
