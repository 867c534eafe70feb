//! The availability zones that the operator has evacuated.

use super::id::ZoneName;
use indexmap::IndexSet;

/// The evacuated zones, in which no task may be started, and the revision of this information.
///
/// ```
/// use cranberrytray::state::evacuation::Evacuations;
///
/// let mut evacuations = Evacuations::default();
/// let zone = "zone-a".parse().unwrap();
/// assert!(evacuations.replace_if_newer(Evacuations::new(7, [zone])));
/// assert!(!evacuations.replace_if_newer(Evacuations::new(6, [])));
/// assert_eq!(evacuations.revision(), 7);
/// assert_eq!(evacuations.zones().len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Version of the store at which the zones were read.
    revision: u64,
    zones: IndexSet<ZoneName>,
}

impl Evacuations {
    /// Creates a set of evacuated zones, as of a version of the store. Revision 0 stands for a set
    /// that is not known yet.
    pub fn new<I>(revision: u64, zones: I) -> Self
    where
        I: IntoIterator<Item = ZoneName>,
    {
        Evacuations { revision, zones: zones.into_iter().collect() }
    }

    /// Version of the store at which the zones were read; 0 if they are not known yet.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The evacuated zones.
    pub fn zones(&self) -> &IndexSet<ZoneName> {
        &self.zones
    }

    /// Takes the revision and the zones of `other` if its revision is higher. Returns whether it is.
    pub fn replace_if_newer(&mut self, other: Evacuations) -> bool {
        let is_newer = other.revision > self.revision;
        if is_newer {
            *self = other;
        }
        is_newer
    }
}
