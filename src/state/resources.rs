//! Amounts of processor, memory and accelerators.

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
    /// Processor time, in thousandths of a core.
    MilliCores,
    "m"
);
amount!(
    /// Memory, in MiB.
    Mebibytes,
    "Mi"
);
amount!(
    /// A number of accelerators.
    Accelerators,
    ""
);

/// What a task needs, or what a target has.
///
/// ```
/// use cranberrytray::state::resources::{MilliCores, Resources};
///
/// let room = Resources { cpu: MilliCores(32_000), ..Resources::default() };
/// let need = Resources { cpu: MilliCores(14_000), ..Resources::default() };
/// assert!(need.fits(room));
/// assert_eq!(room.minus(need).cpu, MilliCores(18_000));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Add, AddAssign, Sum, Serialize, Deserialize,
)]
pub struct Resources {
    /// Processor.
    pub cpu: MilliCores,
    /// Memory.
    pub memory: Mebibytes,
    /// Accelerators.
    pub accelerators: Accelerators,
}

impl Resources {
    /// Whether this much is available in `room`.
    pub fn fits(self, room: Resources) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// What is left after taking `other` away; never below zero.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: Mebibytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_sub(other.accelerators.0)),
        }
    }
}
