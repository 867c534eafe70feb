//! Shards: parts of a zone's targets, each with a dispatcher of its own.
//!
//! Every VM of a zone derives the shard of a target and of a job from their ids alone, so that VMs
//! which know the same [`ShardCount`] agree without a message. Submissions of one job meet at one
//! dispatcher, whichever VM they come from.

use super::{
    id::{IdError, ZoneName},
    job_submission::CallerJobId,
    target::TargetId,
};
use derive_more::{Display, Error};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    str::FromStr,
};

/// Largest number of targets for which a zone has one dispatcher. It sends every start and renews
/// every lease, and while bursts overlap, that takes more than half a core.
const MAX_TARGETS_UNDIVIDED: usize = 100;
/// Largest number of targets of a shard of a divided zone. It is larger, since more shards cost
/// heartbeats: every VM of a zone is connected to each dispatcher.
const MAX_TARGETS_PER_SHARD: usize = 250;
/// Smallest number of VMs of a zone for each of its shards: one dispatches, the others can take over.
const MIN_VMS_PER_SHARD: usize = 4;
/// Largest number of shards of a zone. Every VM of a zone keeps a connection to each dispatcher.
const MAX_SHARDS: u16 = 16;

/// Number of shards of a zone, a power of two.
///
/// ```
/// use cranberrytray::state::shard::ShardCount;
///
/// assert_eq!(ShardCount::for_zone(88, 11), ShardCount::ONE);
/// assert_eq!(ShardCount::for_zone(117, 11).get(), 2);
/// assert_eq!(ShardCount::for_zone(1_000, 100).get(), 4);
/// // Two VMs can't dispatch for more than one shard and replace each other.
/// assert_eq!(ShardCount::for_zone(1_000, 2), ShardCount::ONE);
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardCount(u16);

impl ShardCount {
    /// A zone that is not divided.
    pub const ONE: ShardCount = ShardCount(1);

    /// Returns the number of shards for a zone with so many targets and VMs.
    pub fn for_zone(targets: usize, vms: usize) -> Self {
        let mut count = 1;
        let max_targets = |count: u16| match count {
            1 => MAX_TARGETS_UNDIVIDED,
            count => MAX_TARGETS_PER_SHARD * usize::from(count),
        };
        while targets > max_targets(count)
            && vms >= MIN_VMS_PER_SHARD * usize::from(count) * 2
            && count < MAX_SHARDS
        {
            count *= 2;
        }
        ShardCount(count)
    }

    /// Returns the count that a message carries; VMs of versions without shards send zero.
    pub fn from_wire(count: u16) -> Self {
        ShardCount(count.clamp(1, MAX_SHARDS))
    }

    /// The count as a number.
    pub fn get(self) -> u16 {
        self.0
    }

    /// Indices of the shards.
    pub fn indices(self) -> impl Iterator<Item = u16> {
        0..self.0
    }

    /// Returns the index of the shard that has a target.
    pub fn shard_of_target(self, id: &TargetId) -> u16 {
        self.shard_of(id)
    }

    /// Returns the index of the shard to which a job is submitted first.
    pub fn shard_of_job(self, id: CallerJobId) -> u16 {
        self.shard_of(&id.number())
    }

    /// Returns the index of the shard for which a VM may be elected. `position` is that of the VM
    /// in its zone, 0 for the strongest, so that each shard has some of the strong VMs.
    pub fn shard_of_position(self, position: usize) -> u16 {
        (position % usize::from(self.0)) as u16
    }

    fn shard_of<K>(self, key: &K) -> u16
    where
        K: Hash,
    {
        let mut hasher = SipHasher13::new();
        key.hash(&mut hasher);
        (hasher.finish() % u64::from(self.0)) as u16
    }
}

/// A shard of a zone, written as `zone/index`. The index may be left out unless the zone's name has a slash.
///
/// ```
/// use cranberrytray::state::shard::Shard;
///
/// let shard: Shard = "hn-bactu/3".parse().unwrap();
/// assert_eq!((shard.zone.as_str(), shard.index), ("hn-bactu", 3));
/// assert_eq!(shard.to_string(), "hn-bactu/3");
/// // A zone that is not divided is its only shard.
/// assert_eq!("hn-bactu".parse::<Shard>().unwrap().index, 0);
/// ```
///
/// # Errors
///
/// Parsing fails with a [`ShardError`] if the name of the zone or the index is malformed.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{zone}/{index}")]
pub struct Shard {
    /// Zone of the targets.
    pub zone: ZoneName,
    /// Index of the shard in the zone, from 0.
    pub index: u16,
}

/// Error from parsing a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ShardError {
    /// The name of the zone is malformed.
    #[display("zone of a shard: {_0}")]
    Zone(IdError),
    /// The index is no number; holds the text.
    #[display("{_0:?} is not the index of a shard")]
    Index(#[error(not(source))] String),
}

impl FromStr for Shard {
    type Err = ShardError;

    fn from_str(s: &str) -> Result<Self, ShardError> {
        let (zone, index) = s.rsplit_once('/').unwrap_or((s, "0"));
        Ok(Shard {
            zone: zone.parse().map_err(ShardError::Zone)?,
            index: index.parse().map_err(|_| ShardError::Index(index.to_owned()))?,
        })
    }
}
