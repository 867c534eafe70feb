//! Which targets there are, how they are taken over, held and lost.

use super::{Action, Dispatch, HOLD_WAIT, Note, replies::TELLING_PERCENT, runs::lease};
use crate::state::{
    target::{
        FencingToken, OutlierState, RunOutcome, RunState, Target, TargetId, TargetIncarnation,
        TargetInfo, TargetTime,
    },
    time::Moment,
};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};

/// A target is set aside for this long at first, then twice as long each time.
const FIRST_PAUSE: Duration = Duration::from_millis(700);
/// Longest time that a target is set aside.
const LONGEST_PAUSE: Duration = Duration::from_secs(6);
/// Faults without a success between them after which a target is set aside.
const FAULTS_ASIDE: u32 = 2;
/// At most this share of the targets is set aside, in percent: beyond that, it is the work.
const MAX_ASIDE_PERCENT: usize = 40;

/// Runs that are expected to take longer are asked for their progress early, while there is time
/// to restart them elsewhere.
const LONG_RUN: Duration = Duration::from_millis(400);

/// Wait for the answer to a hold beyond that for an order: the target's timer may be late.
const HOLD_PATIENCE: Duration = Duration::from_millis(20);
/// Share of holds lost from which their waits are short. On calm days none are.
const LOSSY: f64 = 0.01;
/// Such a wait ends this long after the next end is expected.
const DUE_SLACK: Duration = Duration::from_millis(10);
/// Shortest such wait; bounds the holds sent to a target whose runs are late to 40 a second.
const SHORTEST_WAIT: Duration = Duration::from_millis(25);

/// A new dispatcher waits this long for the list to be read again, lest it uses targets that are
/// leaving; the store answers in some milliseconds, or can't be reached.
const LIST_PATIENCE: Duration = Duration::from_millis(250);

/// How far the list of targets can be trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListTrust {
    /// It was read since this dispatcher began.
    pub current: bool,
    /// An earlier dispatcher can't have used targets that it lacks.
    pub complete: bool,
}

/// A request that extends leases and asks for what ended.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub life: TargetIncarnation,
    /// Its address.
    pub address: SocketAddr,
    /// The dispatcher's fencing token.
    pub fence: FencingToken,
    /// The last end that was noted.
    pub last_end: u64,
    /// The end of the leases, where they are extended.
    pub until: Option<TargetTime>,
    /// How long the target may wait for an end.
    pub wait: Duration,
    /// How long to wait for the answer, beyond `wait`.
    pub patience: Duration,
}

impl Dispatch {
    /// Takes a higher fencing token, since targets have seen a higher one than ours.
    pub fn raise(&mut self, fence: FencingToken) {
        self.fence = self.fence.max(fence);
    }

    /// Replaces the list of targets.
    pub fn list(&mut self, list: &[TargetInfo], trust: ListTrust, now: Moment) {
        self.check_gap(now);
        self.trust = trust;
        let known: IndexMap<&TargetId, &TargetInfo> = list.iter().map(|i| (&i.id, i)).collect();
        for target in self.targets.values_mut() {
            target.listed = known.contains_key(&target.info.id);
        }
        for info in list {
            self.upsert(info, now);
        }
        self.fill(now);
    }

    fn upsert(&mut self, info: &TargetInfo, now: Moment) {
        let Some(target) = self.targets.get_mut(&info.id) else {
            if self.retiring || self.withheld.contains(&info.id) {
                return;
            }
            let target = Target::new(info.clone(), now);
            self.targets.insert(info.id.clone(), target);
            self.actions.push(Action::Watch(info.id.clone()));
            return;
        };
        if info.incarnation > target.info.incarnation {
            self.reborn(&info.id, info.clone(), now);
        } else if info.incarnation == target.info.incarnation {
            let draining = target.info.draining || info.draining;
            target.info = TargetInfo { draining, ..info.clone() };
        }
    }

    /// A new incarnation: nothing of the old one runs any more.
    pub(super) fn reborn(&mut self, id: &TargetId, info: TargetInfo, now: Moment) {
        self.close_all(id, now);
        let Some(target) = self.targets.get_mut(id) else { return };
        *target = Target::new(info, now);
        self.note(Note::TargetIs { target: id.clone(), state: "a new incarnation" });
    }

    /// Closes all runs of a target as lost.
    pub(super) fn close_all(&mut self, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get(id) else { return };
        let runs: Vec<_> = target.runs.iter().map(|(task, run)| (*task, run.number)).collect();
        for (task, number) in runs {
            self.close_run(task, number, id, RunOutcome::Lost, now);
        }
    }

    /// The next request to a target, none if it is not watched any more.
    pub fn next_hold(&mut self, id: &TargetId, now: Moment) -> Option<Hold> {
        self.check_gap(now);
        let fence = self.fence;
        let lossy = self.losses > LOSSY;
        let patience = self.patience.timeout() + HOLD_PATIENCE;
        let target = self.targets.get_mut(id)?;
        let until = if target.taken_over { lease(target, now) } else { None };
        let stopping = target.runs.values().any(|r| matches!(r.state, RunState::Stopping { .. }));
        let untold = target
            .runs
            .values()
            .any(|r| r.expected_duration > LONG_RUN && r.progress_percent < TELLING_PERCENT);
        let wait = match (target.taken_over, stopping) {
            _ if target.missed_answers > 0 => Duration::ZERO,
            (false, _) => Duration::ZERO,
            (true, true) => HOLD_WAIT / 6,
            // Ends are not heard while the answer to a hold is lost: the next one is sent when the
            // next end is due.
            (true, false) if lossy => {
                let end = target.runs.values().map(|run| run.expected_end).min();
                let due = end.map_or(HOLD_WAIT, |end| end - now);
                (due + DUE_SLACK).clamp(SHORTEST_WAIT, HOLD_WAIT / 3)
            }
            (true, false) if untold => HOLD_WAIT / 3,
            (true, false) => HOLD_WAIT,
        };
        Some(Hold {
            target: id.clone(),
            life: target.info.incarnation,
            address: target.info.address,
            fence,
            last_end: target.last_end_sequence,
            until,
            wait,
            patience,
        })
    }

    /// Whether a target may be given work.
    pub(super) fn is_usable(&self, target: &Target, now: Moment) -> bool {
        let current = self.trust.current || now - self.began > LIST_PATIENCE;
        current
            && target.taken_over
            && !target.info.draining
            && target.unresponsive_since.is_none()
            && target.clock.is_some()
            && target.outlier.ejected_until <= now
            && target.no_starts_until <= now
            && !target.has_unconfirmed_stop(now)
    }

    /// Closes runs whose lease has run out, and forgets targets that are gone.
    pub(super) fn check_targets(&mut self, now: Moment) {
        let lapsed = |t: &&Target| t.unresponsive_since.is_some() && t.lease_end < now;
        let expiring = |t: &&Target| {
            let unconfirmed = t
                .runs
                .values()
                .any(|r| matches!(r.state, RunState::Stopping { ends_by: None, .. }));
            unconfirmed && t.lease_end < now
        };
        let ended = self.targets.values().filter(|t| lapsed(t) || expiring(t));
        let ended: Vec<TargetId> =
            ended.filter(|t| !t.runs.is_empty()).map(|t| t.info.id.clone()).collect();
        for id in ended {
            self.note(Note::TargetIs { target: id.clone(), state: "without leases" });
            self.close_all(&id, now);
        }
        let gone = |t: &&Target| !t.listed && t.runs.is_empty();
        let gone: Vec<TargetId> =
            self.targets.values().filter(gone).map(|t| t.info.id.clone()).collect();
        for id in gone {
            self.targets.swap_remove(&id);
            self.note(Note::TargetIs { target: id, state: "gone" });
        }
    }

    /// Counts a fault of a target; several in a row set it aside.
    pub(super) fn blame(&mut self, id: &TargetId, now: Moment) {
        let aside = self.targets.values().filter(|t| t.outlier.ejected_until > now).count();
        let allowed = aside * 100 < self.targets.len() * MAX_ASIDE_PERCENT;
        let Some(target) = self.targets.get_mut(id) else { return };
        let conduct = &mut target.outlier;
        conduct.recent_faults += 1;
        if conduct.recent_faults < FAULTS_ASIDE || conduct.ejected_until > now || !allowed {
            return;
        }
        conduct.ejection_duration =
            (conduct.ejection_duration * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        conduct.ejected_until = now + conduct.ejection_duration;
        // One more fault after the pause sets it aside again.
        conduct.recent_faults = FAULTS_ASIDE - 1;
        let pause = conduct.ejection_duration;
        self.counts.set_aside += 1;
        self.note(Note::SetAside { target: id.clone(), pause });
    }

    /// Counts a success of a target.
    pub(super) fn praise(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.outlier = OutlierState {
                ejected_until: target.outlier.ejected_until,
                ..OutlierState::default()
            };
        }
    }
}
