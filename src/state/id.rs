//! Names and ids of zones, VMs, workers, teams, jobs and tasks.

use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, de::Error as _};
use std::{str::FromStr, sync::Arc};

/// Length of the longest plain name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Length of the longest name that a platform may give a zone or a VM, in bytes: a key in its store.
pub const MAX_PLATFORM_NAME_BYTES: usize = 200;

/// Error from parsing a name or an id.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum IdError {
    /// The name is empty or too long.
    #[display("a name has 1 to {max} bytes, this one has {len}")]
    InvalidLength {
        /// Length of the name, in bytes.
        len: usize,
        /// Length of the longest name, in bytes.
        max: usize,
    },
    /// The name contains a character other than `a-z`, `0-9` and `-`.
    #[display("a name is made of a-z, 0-9 and '-', not {_0:?}")]
    InvalidCharacter(#[error(not(source))] char),
    /// The job id does not consist of five parts separated by dots.
    #[display("a job id is zone.vm.incarnation.number.tag")]
    PartCount,
    /// A part of the id is not a hexadecimal number; holds this part.
    #[display("{_0:?} is not a hexadecimal number")]
    InvalidNumber(#[error(not(source))] String),
}

fn check_length(s: &str, max: usize) -> Result<(), IdError> {
    if s.is_empty() || s.len() > max {
        return Err(IdError::InvalidLength { len: s.len(), max });
    }
    Ok(())
}

/// Checks a name that a platform has given, which may have any characters.
fn check_platform_name(s: &str) -> Result<(), IdError> {
    check_length(s, MAX_PLATFORM_NAME_BYTES)
}

/// Checks a name that may be a part of an id or a path.
fn check_plain_name(s: &str) -> Result<(), IdError> {
    check_length(s, MAX_NAME_BYTES)?;
    match s.chars().find(|c| !matches!(c, 'a'..='z' | '0'..='9' | '-')) {
        Some(c) => Err(IdError::InvalidCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $check:path) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Whether the name is plain: 1 to [`MAX_NAME_BYTES`] of `a-z`, `0-9` and `-`.
            pub fn is_plain(&self) -> bool {
                check_plain_name(&self.0).is_ok()
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                $check(s)?;
                Ok($name(s.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(s: String) -> Result<Self, IdError> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// Name of an availability zone, as the platform gives it.
    ZoneName,
    check_platform_name
);
name_type!(
    /// Name of an entry VM, as the platform gives it.
    VmName,
    check_platform_name
);
name_type!(
    /// Name of a worker, which runs tasks.
    WorkerName,
    check_plain_name
);
name_type!(
    /// Name of a team, on whose behalf callers submit jobs. Slots are shared between teams, and
    /// quotas are set for them.
    TeamName,
    check_plain_name
);
name_type!(
    /// Name of a type of job. Tasks of one type take about the same time, so that run times are
    /// predicted by type.
    JobType,
    check_plain_name
);

fn parse_plain<N>(s: &str) -> Result<N, IdError>
where
    N: FromStr<Err = IdError>,
{
    check_plain_name(s)?;
    s.parse()
}

/// Deserializes a name that must be plain, as it becomes a part of job ids.
///
/// # Errors
///
/// Fails with an [`IdError`] if the name is not plain.
pub fn deserialize_plain<'de, D, N>(deserializer: D) -> Result<N, D::Error>
where
    D: Deserializer<'de>,
    N: FromStr<Err = IdError>,
{
    parse_plain(&String::deserialize(deserializer)?).map_err(D::Error::custom)
}

/// Identifies one process of an entry VM; a random number drawn when the process starts.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// Sequence number of a job id among the ids of its issuer, from 0.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobNumber(pub u64);

/// Keyed hash of a job id's number, which keeps callers from guessing valid ids.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct Tag(pub u64);

/// The entry VM process that issued a job id. Only this process may start the job's tasks.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{zone}.{vm}.{incarnation}")]
pub struct Issuer {
    /// Availability zone of the entry VM.
    pub zone: ZoneName,
    /// Name of the entry VM.
    pub vm: VmName,
    /// Incarnation of the entry VM's process.
    pub incarnation: Incarnation,
}

/// A job id, which contains the identity of the entry VM process that issued it.
///
/// ```
/// use cranberrytray::state::id::JobId;
///
/// let text = "hn-bactu.bactu-1.00000000000000ff.2a.0123456789abcdef";
/// let id: JobId = text.parse().unwrap();
/// assert_eq!(id.number.0, 0x2a);
/// assert_eq!(id.to_string(), text);
/// ```
///
/// # Errors
///
/// Parsing fails with an [`IdError`] when a part is missing or malformed.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{issuer}.{:x}.{tag}", number.0)]
#[serde(try_from = "String", into = "String")]
pub struct JobId {
    /// Process that issued the id.
    pub issuer: Issuer,
    /// Sequence number among the ids of the issuer.
    pub number: JobNumber,
    /// Keyed hash of the number; an id with a wrong tag was not issued.
    pub tag: Tag,
}

fn parse_hex(s: &str) -> Result<u64, IdError> {
    u64::from_str_radix(s, 16).map_err(|_| IdError::InvalidNumber(s.to_owned()))
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or(IdError::PartCount);
        let issuer = Issuer {
            zone: parse_plain(next()?)?,
            vm: parse_plain(next()?)?,
            incarnation: Incarnation(parse_hex(next()?)?),
        };
        let number = JobNumber(parse_hex(next()?)?);
        let tag = Tag(parse_hex(next()?)?);
        if parts.next().is_some() {
            return Err(IdError::PartCount);
        }
        Ok(JobId { issuer, number, tag })
    }
}

impl TryFrom<String> for JobId {
    type Error = IdError;

    fn try_from(s: String) -> Result<Self, IdError> {
        s.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> String {
        id.to_string()
    }
}

/// A task of a job whose id this entry VM has issued.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{:x}/{index}", number.0)]
pub struct TaskRef {
    /// Number of the job's id.
    pub number: JobNumber,
    /// Index of the task in the job, from 0.
    pub index: u32,
}

/// Version of the configuration; 0 until a configuration is known.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct ConfigVersion(pub u64);
