//! The entry VMs that submitted the open jobs, and the limit that each sets to the leases of its runs.
//!
//! When an entry VM is lost, its callers submit their jobs again, perhaps in another zone. The runs
//! here must have ended by then, although this dispatcher learns of the loss only by silence and a
//! target may not answer the request to stop them. So no lease lasts longer than the VM is sure to
//! have been there, plus the time after which callers submit again.

use super::{Dispatcher, SubmissionKey};
use crate::state::{
    job_submission::JobSubmission,
    target::{Run, TargetId},
    time::Moment,
};
use derive_more::{Display, From};
use indexmap::IndexMap;

/// An entry VM that submits jobs over a connection; another connection of the same VM counts as another
/// submitter.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash)]
pub struct SubmitterId(pub u64);

/// The submitters of open jobs.
#[derive(Clone, Debug)]
pub(super) struct Submitters {
    /// Submitter of each submission; `None` for those of this VM's own callers.
    by_submission: IndexMap<SubmissionKey, Option<SubmitterId>>,
    last_alive: IndexMap<SubmitterId, Moment>,
    /// Moment up to which all ends of own callers' connections are known.
    own_callers_alive: Moment,
    last_tick_at: Moment,
}

impl Submitters {
    pub fn new(now: Moment) -> Self {
        Submitters {
            by_submission: IndexMap::new(),
            last_alive: IndexMap::new(),
            own_callers_alive: now,
            last_tick_at: now,
        }
    }

    /// Records that the timer fired: all that reached this process before the last time was handled.
    pub fn on_tick(&mut self, now: Moment) {
        self.own_callers_alive = std::mem::replace(&mut self.last_tick_at, now);
    }

    pub fn add_own_caller(&mut self, key: SubmissionKey) {
        self.by_submission.insert(key, None);
    }

    /// Forgets a submission that is answered or cancelled.
    pub fn remove(&mut self, key: SubmissionKey) {
        self.by_submission.swap_remove(&key);
    }

    /// When the submitter was last known to be alive, the earliest one if there are several.
    fn last_alive(&self, keys: &[SubmissionKey]) -> Option<Moment> {
        let submitters = keys.iter().filter_map(|key| self.by_submission.get(key));
        let last_alive = submitters.filter_map(|submitter| match submitter {
            Some(id) => self.last_alive.get(id),
            None => Some(&self.own_callers_alive),
        });
        last_alive.min().copied()
    }
}

impl Dispatcher {
    /// As [`Dispatcher::submit`], for a job that another VM submits. `last_alive` is the latest moment
    /// at which that VM is known to have been alive.
    pub fn submit_for(
        &mut self,
        submitter: SubmitterId,
        last_alive: Moment,
        submission: JobSubmission,
        may_redirect: bool,
        resumed: bool,
        now: Moment,
    ) -> SubmissionKey {
        self.set_submitter_alive(submitter, last_alive);
        let key = self.next_submission_key();
        self.submitters.by_submission.insert(key, Some(submitter));
        self.submit_as(key, submission, may_redirect, resumed, now)
    }

    /// Records that a submitter was alive at `at`, unless a later moment is known.
    pub fn set_submitter_alive(&mut self, submitter: SubmitterId, at: Moment) {
        let last_alive = self.submitters.last_alive.entry(submitter).or_insert(at);
        *last_alive = at.max(*last_alive);
    }

    /// Forgets a submitter whose connection has ended.
    pub fn remove_submitter(&mut self, submitter: SubmitterId) {
        self.submitters.last_alive.swap_remove(&submitter);
        self.submitters.by_submission.retain(|_, other| *other != Some(submitter));
    }

    /// When the runs of a job must have ended, in case its submitter is lost.
    pub(super) fn runs_end_by(&self, key: SubmissionKey) -> Option<Moment> {
        let job = self.jobs.get(&key)?;
        let last_alive = self.submitters.last_alive(&job.submissions);
        job.runs_end_by.or(last_alive.map(|at| at + self.timing.resubmit_delay))
    }

    /// When the leases of a target's runs must have ended, in case a submitter is lost.
    pub(super) fn leases_end_by(&self, id: &TargetId) -> Option<Moment> {
        let target = self.targets.get(id)?;
        let end_by = |run: &Run| {
            let of_job = run.job.and_then(|key| self.runs_end_by(SubmissionKey(key)));
            of_job.or(run.must_end_by)
        };
        target.runs.values().filter_map(end_by).min()
    }

    /// Whether the leases of a job's runs may have to end before the usual ones. No run of it is started
    /// then, as the lease of its target may be longer already.
    pub(super) fn has_silent_submitter(&self, key: SubmissionKey, now: Moment) -> bool {
        self.runs_end_by(key).is_some_and(|end| end < now + self.timing.lease_bound)
    }
}
