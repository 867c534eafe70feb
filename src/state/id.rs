//! Names and ids.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::{str::FromStr, sync::Arc};

/// The longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a name or an id could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum IdError {
    /// A name is empty or too long.
    #[display("a name has 1 to {MAX_NAME_BYTES} characters, this one has {_0}")]
    Length(#[error(not(source))] usize),
    /// A name holds a character that is not allowed.
    #[display("a name is made of a-z, 0-9 and '-', not {_0:?}")]
    Character(#[error(not(source))] char),
    /// A job id does not have its five parts.
    #[display("a job id is zone.vm.incarnation.number.tag")]
    Shape,
    /// A number in an id is not one.
    #[display("{_0:?} is not a hexadecimal number")]
    Number(#[error(not(source))] String),
}

fn check_name(s: &str) -> Result<(), IdError> {
    if s.is_empty() || s.len() > MAX_NAME_BYTES {
        return Err(IdError::Length(s.len()));
    }
    match s.chars().find(|c| !matches!(c, 'a'..='z' | '0'..='9' | '-')) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                check_name(s)?;
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

name!(
    /// An availability zone.
    ZoneName
);
name!(
    /// An entry VM.
    VmName
);
name!(
    /// A worker, the target of task starts.
    WorkerName
);
name!(
    /// A team, on whose behalf callers submit jobs.
    TeamName
);
name!(
    /// A kind of job whose tasks take about the same time.
    JobType
);

/// One life of an entry VM process, drawn at random when it starts.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// The number of a job id among those of its issuer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobNumber(pub u64);

/// The unguessable part of a job id.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct Tag(pub u64);

/// The entry VM process that issued a job id, the only one that may start the job.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{zone}.{vm}.{incarnation}")]
pub struct Issuer {
    /// The zone of the issuer.
    pub zone: ZoneName,
    /// The entry VM.
    pub vm: VmName,
    /// The life of its process.
    pub incarnation: Incarnation,
}

/// A job id, issued by an entry VM and naming it.
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
    /// Who issued the id.
    pub issuer: Issuer,
    /// Its number.
    pub number: JobNumber,
    /// Its unguessable part.
    pub tag: Tag,
}

fn hex(s: &str) -> Result<u64, IdError> {
    u64::from_str_radix(s, 16).map_err(|_| IdError::Number(s.to_owned()))
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or(IdError::Shape);
        let issuer = Issuer {
            zone: next()?.parse()?,
            vm: next()?.parse()?,
            incarnation: Incarnation(hex(next()?)?),
        };
        let number = JobNumber(hex(next()?)?);
        let tag = Tag(hex(next()?)?);
        if parts.next().is_some() {
            return Err(IdError::Shape);
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

/// One task of a job issued by this entry VM.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{:x}/{index}", number.0)]
pub struct TaskRef {
    /// The job's number.
    pub number: JobNumber,
    /// The task's place in the job, from 0.
    pub index: u32,
}

/// A version of the configuration; 0 means none yet.
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
