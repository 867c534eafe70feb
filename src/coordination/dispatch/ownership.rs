//! Ownership of targets: the target list, takeover, lease renewal, expiry and outlier ejection.

use super::{Action, Dispatcher, LogEvent, replies::MIN_PROGRESS_PERCENT, restarts::expired_runs};
use crate::state::{
    mechanism::Mechanism,
    target::{
        FencingToken, LossCause, OutlierState, RunState, Target, TargetId, TargetInfo, TargetTime,
    },
    time::Moment,
};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};

/// Duration of the first ejection of a target; each further one takes twice as long.
const MIN_EJECTION: Duration = Duration::from_millis(700);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// Number of faults without a success between them at which a target is ejected.
const EJECTION_FAULTS: u32 = 2;
/// Maximum share of ejected targets; if more targets have faults, their cause is the tasks.
const MAX_EJECTED_PERCENT: usize = 40;

/// For runs that are expected to take longer than this, progress is requested early, while there is
/// time to restart them elsewhere.
const LONG_RUN_THRESHOLD: Duration = Duration::from_millis(400);

/// Added to the timeout of a lease renewal, since the target's timer may be late.
const RENEWAL_TIMEOUT_MARGIN: Duration = Duration::from_millis(20);
/// Share of unanswered lease renewals above which targets are asked to answer sooner; normally no
/// answer is lost.
pub(super) const HIGH_LOSS_RATE: f64 = 0.01;
/// With a high loss rate, a target is asked to answer this long after the next expected end of a
/// run.
const EXPECTED_END_MARGIN: Duration = Duration::from_millis(10);
/// Shortest wait with a high loss rate; limits the renewals sent to a target whose runs are late to
/// 40 per second.
const MIN_RENEWAL_WAIT: Duration = Duration::from_millis(25);

/// Time for which a new dispatcher waits until the target list is read again, so that it starts no
/// tasks on targets that are leaving. The store answers within milliseconds unless it is
/// unreachable.
const LIST_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Status of the list of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetListStatus {
    /// Whether the list was read since this dispatcher was created.
    pub is_current: bool,
    /// Whether the list has all targets that an earlier dispatcher can have used.
    pub is_complete: bool,
}

/// A request that renews the leases of a target's runs. The target answers with a report as soon as
/// a run ends, or after `wait`.
#[derive(Clone, Debug)]
pub struct LeaseRenewal {
    /// Target that the request is sent to.
    pub target: TargetId,
    /// Address at which the target serves requests.
    pub address: SocketAddr,
    /// Fencing token of the dispatcher; a target that has seen a higher one rejects the request.
    pub fencing_token: FencingToken,
    /// Sequence number of the last ended run that was processed; the target drops the ends up to
    /// it.
    pub last_end: u64,
    /// New end of the leases on the target's clock; `None` if they are not renewed.
    pub lease_end: Option<TargetTime>,
    /// Longest time for which the target may delay the answer while no run ends.
    pub wait: Duration,
    /// Time to wait for the answer, in addition to `wait`.
    pub timeout: Duration,
}

impl Dispatcher {
    /// Raises the fencing token, since targets have seen a higher one; a lower value is ignored.
    pub fn raise_fencing_token(&mut self, fencing_token: FencingToken) {
        self.fencing_token = self.fencing_token.max(fencing_token);
    }

    /// Replaces the list of targets. Targets that it lacks are forgotten once they have no runs.
    pub fn update_targets(&mut self, list: &[TargetInfo], status: TargetListStatus, now: Moment) {
        self.check_suspension(now);
        self.list_status = status;
        let listed: IndexMap<&TargetId, &TargetInfo> = list.iter().map(|i| (&i.id, i)).collect();
        for target in self.targets.values_mut() {
            target.listed = listed.contains_key(&target.info.id);
        }
        for info in list {
            self.update_target(info, now);
        }
        self.on_targets_listed(list, now);
        self.start_waiting_tasks(now);
    }

    fn update_target(&mut self, info: &TargetInfo, now: Moment) {
        let resolved = self.crash_history.on_target_listed(&info.id, info.incarnation, now);
        self.give_up_proven(&resolved);
        let Some(target) = self.targets.get_mut(&info.id) else {
            if self.handing_over || self.predecessor_targets.contains(&info.id) {
                return;
            }
            let mut target = Target::new(info.clone(), now);
            target.unanswered_starts =
                self.starts_on_unlisted.swap_remove(&info.id).unwrap_or_default();
            self.targets.insert(info.id.clone(), target);
            self.actions.push(Action::Watch(info.id.clone()));
            return;
        };
        if info.incarnation < target.incarnation
            || target.former_incarnation == Some(info.incarnation)
        {
            return;
        }
        target.cold.update(info, now);
        if info.draining {
            target.draining_incarnation = Some(info.incarnation);
        }
        if target.info.kind != info.kind {
            target.forget_slowness();
        }
        target.info = info.clone();
        self.update_incarnation(&info.id, info.incarnation, now);
    }

    /// Closes all runs of a target as lost.
    pub(super) fn close_all_runs(&mut self, id: &TargetId, cause: LossCause, now: Moment) {
        let Some(target) = self.targets.get(id) else { return };
        let runs: Vec<_> = target.runs.iter().map(|(task, run)| (*task, run.number)).collect();
        self.close_lost_runs(id, &runs, cause, now);
    }

    /// Returns the next lease renewal to send to a target, or `None` if the target was forgotten.
    pub fn next_lease_renewal(&mut self, id: &TargetId, now: Moment) -> Option<LeaseRenewal> {
        self.check_suspension(now);
        let fencing_token = self.fencing_token;
        let is_lossy =
            self.renewal_loss_rate > HIGH_LOSS_RATE && self.enables(Mechanism::ShortRenewals);
        let requests_progress = self.enables(Mechanism::EarlyProgress);
        let timeout = self.rtt.timeout() + RENEWAL_TIMEOUT_MARGIN;
        let renewal_wait = self.timing.renewal_wait;
        let end_by = self.leases_end_by(id);
        let target = self.targets.get_mut(id)?;
        let lease =
            if target.taken_over { self.timing.new_lease(target, end_by, now) } else { None };
        target.pending_lease_end = lease.map(|lease| lease.latest_end);
        let stopping = target.runs.values().any(|r| matches!(r.state, RunState::Stopping { .. }));
        let progress_unknown = target.runs.values().any(|r| {
            requests_progress
                && r.expected_duration > LONG_RUN_THRESHOLD
                && r.progress_percent < MIN_PROGRESS_PERCENT
        });
        let wait = match (target.taken_over, stopping) {
            _ if target.missed_answers > 0 => Duration::ZERO,
            (false, _) => target.foreign_runs_end_by.map_or(Duration::ZERO, |end| end - now),
            (true, true) => renewal_wait / 6,
            // A lost answer delays the report of an ended run, so the answer is requested for the
            // time at which the next run is expected to end.
            (true, false) if is_lossy => {
                let end = target.runs.values().map(|run| run.expected_end).min();
                let due = end.map_or(renewal_wait, |end| end - now);
                (due + EXPECTED_END_MARGIN).clamp(MIN_RENEWAL_WAIT, renewal_wait / 3)
            }
            (true, false) if progress_unknown => renewal_wait / 3,
            (true, false) => renewal_wait,
        };
        Some(LeaseRenewal {
            target: id.clone(),
            address: target.info.address,
            fencing_token,
            last_end: target.last_end_sequence,
            lease_end: lease.map(|lease| lease.end),
            wait,
            timeout,
        })
    }

    /// Whether no target is known yet because the list is being read for the first time.
    pub(super) fn awaits_first_list(&self, now: Moment) -> bool {
        self.targets.is_empty()
            && !self.list_status.is_current
            && now - self.created_at <= LIST_READ_TIMEOUT
    }

    /// Whether tasks of any job may be started on a target.
    pub(super) fn is_usable(&self, target: &Target, now: Moment) -> bool {
        self.is_available(target, now) && !self.is_evacuated(target)
    }

    /// Whether a target can be given tasks, apart from an evacuation of its zone. A successor doesn't
    /// know one that the list lacks.
    pub(super) fn is_available(&self, target: &Target, now: Moment) -> bool {
        let current = self.list_status.is_current || now - self.created_at > LIST_READ_TIMEOUT;
        current
            && target.listed
            && target.taken_over
            && target.accepts_tasks()
            && target.unresponsive_since.is_none()
            && target.clock.is_some()
            && target.outlier.ejected_until <= now
            && target.no_starts_until <= now
            && !target.has_unconfirmed_stop(now)
    }

    /// Closes runs whose lease has expired, and forgets targets without runs that are not listed.
    pub(super) fn check_targets(&mut self, now: Moment) {
        let targets = self.targets.values();
        let expired: Vec<_> = targets.map(|t| (t.info.id.clone(), expired_runs(t, now))).collect();
        for (id, runs) in expired.into_iter().filter(|(_, runs)| !runs.is_empty()) {
            self.log(LogEvent::TargetStateChanged {
                target: id.clone(),
                state: "past the end of its leases",
            });
            self.close_lost_runs(&id, &runs, LossCause::Expired, now);
        }
        self.expire_unanswered_starts(now);
        let is_removable = |t: &&Target| !t.listed && t.runs.is_empty();
        let removable: Vec<TargetId> =
            self.targets.values().filter(is_removable).map(|t| t.info.id.clone()).collect();
        for id in removable {
            let unlisted = self.targets.swap_remove(&id);
            let starts = unlisted.map(|target| target.unanswered_starts).unwrap_or_default();
            if !starts.is_empty() {
                self.starts_on_unlisted.insert(id.clone(), starts);
            }
            self.crash_history.on_target_gone(&id, now);
            self.log(LogEvent::TargetStateChanged { target: id, state: "gone" });
        }
    }

    /// Counts a fault of a target; [`EJECTION_FAULTS`] in a row eject it.
    pub(super) fn record_fault(&mut self, id: &TargetId, now: Moment) {
        let ejected = self.targets.values().filter(|t| t.outlier.ejected_until > now).count();
        let may_eject = ejected * 100 < self.targets.len() * MAX_EJECTED_PERCENT
            && self.enables(Mechanism::OutlierEjection);
        let Some(target) = self.targets.get_mut(id) else { return };
        let outlier = &mut target.outlier;
        outlier.recent_faults += 1;
        if outlier.recent_faults < EJECTION_FAULTS || outlier.ejected_until > now || !may_eject {
            return;
        }
        outlier.ejection_duration =
            (outlier.ejection_duration * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        outlier.ejected_until = now + outlier.ejection_duration;
        // One more fault after the ejection ejects it again.
        outlier.recent_faults = EJECTION_FAULTS - 1;
        let pause = outlier.ejection_duration;
        self.counts.ejections += 1;
        self.log(LogEvent::Ejected { target: id.clone(), pause });
    }

    /// Resets the faults and the ejection backoff of a target after a success; an ejection in
    /// progress continues.
    pub(super) fn record_success(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.outlier = OutlierState {
                ejected_until: target.outlier.ejected_until,
                ..OutlierState::default()
            };
        }
    }
}
