//! Mechanisms of a fleet that can be switched off by name, to measure what each is worth.

use derive_more::{Display, Error, FromStr};
use enumset::{EnumSet, EnumSetType};

/// A mechanism that decides which jobs are admitted, where their tasks run, or which VM dispatches.
///
/// ```
/// use cranberrytray::state::mechanism::Mechanism;
///
/// assert_eq!("late-redirect".parse(), Ok(Mechanism::LateRedirect));
/// assert_eq!(Mechanism::Shedding.to_string(), "shedding");
/// assert!("hedging".parse::<Mechanism>().is_err());
/// ```
#[derive(Debug, Display, EnumSetType, FromStr, Hash)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Targets with repeated faults get no tasks for a while.
    OutlierEjection,
    /// A run that is far slower than usual counts as a fault of its target.
    SlowRunFaults,
    /// A run far behind its expected end is restarted on another target.
    StragglerRestart,
    /// A run that will end after its job's deadline is restarted where it would not.
    LateRunRestart,
    /// A run that makes no progress at all after its start is restarted on another target.
    StallDetection,
    /// A job is abandoned once a run of it can't end before the deadline, restarted or not.
    LateRunAbandonment,
    /// Tasks under which targets crash are kept apart, and given up after a few crashes.
    CrashHistory,
    /// A task goes to the slowest target on which it is in time, else to the fastest one.
    SlowestInTime,
    /// A target is reserved for a large task that fits nowhere now.
    Reservation,
    /// A large task prefers a target where the CPU left is close to zero or fits a usual task.
    SizeMatch,
    /// Forecasts for large tasks consider the CPU of each task.
    SizeForecast,
    /// All tasks of a job with large tasks are planned before the first one starts.
    WideJobPlan,
    /// Expected run times are multiplied by a safety factor when compared with the objective.
    ObjectiveSafety,
    /// The run times of a job's first tasks correct the expected ones of the others.
    JobRunTimes,
    /// Run times are predicted from the declared ones.
    DeclaredRunTimes,
    /// The slowness of each target is learned.
    TargetSlowness,
    /// The slowness of each kind of target is learned.
    KindSlowness,
    /// Progress of long runs is requested early.
    EarlyProgress,
    /// Targets answer lease renewals sooner while answers are lost.
    ShortRenewals,
    /// A start without an answer is sent again before it is stopped.
    RepeatedStarts,
    /// Jobs that would wait are redirected to zones with ample spare CPU.
    WaitingRedirect,
    /// Jobs that would be late are redirected to zones with some spare CPU.
    LateRedirect,
    /// A job that another zone refused is submitted in its own zone again.
    RedirectFallback,
    /// Jobs that are not expected to end in time are refused on arrival.
    AdmissionForecast,
    /// New jobs are redirected or refused unseen while the dispatcher is far behind its work, and its
    /// lag counts in forecasts.
    LagShedding,
    /// Waiting jobs that are no longer expected to end in time are refused or abandoned.
    Shedding,
    /// A submission waits until earlier runs of its job are closed.
    Deferral,
    /// Jobs wait while their zone elects its dispatcher.
    ElectionWait,
    /// A dispatcher that leaves, or meets a much stronger VM, hands its zone over.
    Handover,
    /// Only the dispatcher and the VMs that may succeed it follow the list of targets.
    Standbys,
    /// The targets of a large zone are divided among several dispatchers.
    Shards,
    /// Weaker VMs of a zone wait longer before they become dispatcher.
    StaggeredElections,
}

/// Why a list of mechanisms can't be parsed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("unknown mechanism {name:?}, known are {}", MechanismSet::all())]
pub struct UnknownMechanism {
    /// Name that no mechanism has.
    pub name: String,
}

/// A set of mechanisms, written as their names with commas between them.
///
/// ```
/// use cranberrytray::state::mechanism::{Mechanism, MechanismSet};
///
/// let set: MechanismSet = "shedding,handover".parse().unwrap();
/// assert!(set.contains(Mechanism::Handover));
/// assert_eq!(set.to_string(), "shedding,handover");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MechanismSet(EnumSet<Mechanism>);

impl MechanismSet {
    /// Returns the set of all mechanisms.
    pub fn all() -> Self {
        MechanismSet(EnumSet::all())
    }

    /// Returns the mechanisms that are off unless the settings switch them on: they look ahead at
    /// more processor time for each decision than a deployment may want to spend.
    pub fn optional() -> Self {
        use Mechanism::{Reservation, SizeForecast, SizeMatch, WideJobPlan};
        [Reservation, SizeMatch, SizeForecast, WideJobPlan].into_iter().collect()
    }

    /// Returns the set without the mechanisms of `other`.
    ///
    /// ```
    /// use cranberrytray::state::mechanism::{Mechanism, MechanismSet};
    ///
    /// let enabled: MechanismSet = "reservation".parse().unwrap();
    /// let off = MechanismSet::optional().without(enabled);
    /// assert!(off.contains(Mechanism::SizeMatch) && !off.contains(Mechanism::Reservation));
    /// ```
    pub fn without(self, other: MechanismSet) -> Self {
        MechanismSet(self.0 - other.0)
    }

    /// Returns the mechanisms of both sets.
    pub fn union(self, other: MechanismSet) -> Self {
        MechanismSet(self.0 | other.0)
    }

    /// Whether the set has `mechanism`.
    pub fn contains(self, mechanism: Mechanism) -> bool {
        self.0.contains(mechanism)
    }

    /// Whether the set has no mechanism.
    pub fn is_empty(self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the mechanisms in the order of their declaration.
    pub fn iter(self) -> impl Iterator<Item = Mechanism> {
        self.0.iter()
    }
}

impl FromIterator<Mechanism> for MechanismSet {
    fn from_iter<I>(mechanisms: I) -> Self
    where
        I: IntoIterator<Item = Mechanism>,
    {
        MechanismSet(mechanisms.into_iter().collect())
    }
}

impl std::fmt::Display for MechanismSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (n, mechanism) in self.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{mechanism}")?;
        }
        Ok(())
    }
}

impl std::str::FromStr for MechanismSet {
    type Err = UnknownMechanism;

    fn from_str(s: &str) -> Result<Self, UnknownMechanism> {
        let names = s.split(',').map(str::trim).filter(|name| !name.is_empty());
        let parse = |name: &str| name.parse().map_err(|_| UnknownMechanism { name: name.into() });
        names.map(parse).collect()
    }
}
