//! Which targets there are, how they are taken over, held and lost.

use super::{
    Action, Dispatcher, LogEvent, MAX_RENEWAL_WAIT, replies::MIN_PROGRESS_PERCENT,
    runs::extend_lease,
};
use crate::state::{
    target::{Conduct, Fence, HowEnded, Life, RunState, Target, TargetId, TargetInfo, TargetTime},
    time::Moment,
};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};

/// A target is set aside for this long at first, then twice as long each time.
const MIN_EJECTION: Duration = Duration::from_millis(700);
/// Longest time that a target is set aside.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// Faults without a success between them after which a target is set aside.
const EJECTION_FAULTS: u32 = 2;
/// At most this share of the targets is set aside, in percent: beyond that, it is the work.
const MAX_EJECTED_PERCENT: usize = 40;

/// Runs that are expected to take longer are asked for their progress early, while there is time
/// to restart them elsewhere.
const LONG_RUN_DURATION: Duration = Duration::from_millis(400);

/// Wait for the answer to a hold beyond that for an order: the target's timer may be late.
const RENEWAL_TIMEOUT_MARGIN: Duration = Duration::from_millis(20);
/// Share of holds lost from which their waits are short. On calm days none are.
const HIGH_LOSS_RATE: f64 = 0.01;
/// Such a wait ends this long after the next end is expected.
const EXPECTED_END_MARGIN: Duration = Duration::from_millis(10);
/// Shortest such wait; bounds the holds sent to a target whose runs are late to 40 a second.
const MIN_RENEWAL_WAIT: Duration = Duration::from_millis(25);

/// A new dispatcher waits this long for the list to be read again, lest it uses targets that are
/// leaving; the store answers in some milliseconds, or can't be reached.
const LIST_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// How far the list of targets can be trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetListStatus {
    /// It was read since this dispatcher began.
    pub is_current: bool,
    /// An earlier dispatcher can't have used targets that it lacks.
    pub is_complete: bool,
}

/// A request that extends leases and asks for what ended.
#[derive(Clone, Debug)]
pub struct LeaseRenewal {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Life,
    /// Its address.
    pub address: SocketAddr,
    /// The dispatcher's fencing token.
    pub fencing_token: Fence,
    /// The last end that was noted.
    pub last_end: u64,
    /// The end of the leases, where they are extended.
    pub lease_end: Option<TargetTime>,
    /// How long the target may wait for an end.
    pub wait: Duration,
    /// How long to wait for the answer, beyond `wait`.
    pub timeout: Duration,
}

impl Dispatcher {
    /// Takes a higher fencing token, since targets have seen a higher one than ours.
    pub fn raise_fencing_token(&mut self, fencing_token: Fence) {
        self.fencing_token = self.fencing_token.max(fencing_token);
    }

    /// Replaces the list of targets.
    pub fn update_targets(&mut self, list: &[TargetInfo], status: TargetListStatus, now: Moment) {
        self.check_suspension(now);
        self.list_status = status;
        let known: IndexMap<&TargetId, &TargetInfo> = list.iter().map(|i| (&i.id, i)).collect();
        for target in self.targets.values_mut() {
            target.listed = known.contains_key(&target.info.id);
        }
        for info in list {
            self.update_target(info, now);
        }
        self.start_waiting_tasks(now);
    }

    fn update_target(&mut self, info: &TargetInfo, now: Moment) {
        let Some(target) = self.targets.get_mut(&info.id) else {
            if self.handing_over || self.predecessor_targets.contains(&info.id) {
                return;
            }
            let target = Target::new(info.clone(), now);
            self.targets.insert(info.id.clone(), target);
            self.actions.push(Action::Watch(info.id.clone()));
            return;
        };
        if info.life > target.info.life {
            self.replace_incarnation(&info.id, info.clone(), now);
        } else if info.life == target.info.life {
            let draining = target.info.draining || info.draining;
            target.info = TargetInfo { draining, ..info.clone() };
        }
    }

    /// A new incarnation: nothing of the old one runs any more.
    pub(super) fn replace_incarnation(&mut self, id: &TargetId, info: TargetInfo, now: Moment) {
        self.close_all_runs(id, now);
        let Some(target) = self.targets.get_mut(id) else { return };
        *target = Target::new(info, now);
        self.log(LogEvent::TargetStateChanged { target: id.clone(), state: "a new incarnation" });
    }

    /// Closes all runs of a target as lost.
    pub(super) fn close_all_runs(&mut self, id: &TargetId, now: Moment) {
        let Some(target) = self.targets.get(id) else { return };
        let runs: Vec<_> = target.runs.iter().map(|(task, run)| (*task, run.number)).collect();
        for (task, number) in runs {
            self.close_run(task, number, id, HowEnded::Lost, now);
        }
    }

    /// The next request to a target, none if it is not watched any more.
    pub fn next_lease_renewal(&mut self, id: &TargetId, now: Moment) -> Option<LeaseRenewal> {
        self.check_suspension(now);
        let fencing_token = self.fencing_token;
        let lossy = self.renewal_loss_rate > HIGH_LOSS_RATE;
        let timeout = self.rtt.limit() + RENEWAL_TIMEOUT_MARGIN;
        let target = self.targets.get_mut(id)?;
        let lease_end = if target.taken { extend_lease(target, now) } else { None };
        let stopping = target.runs.values().any(|r| matches!(r.state, RunState::Stopping { .. }));
        let progress_unknown = target
            .runs
            .values()
            .any(|r| r.usual > LONG_RUN_DURATION && r.percent < MIN_PROGRESS_PERCENT);
        let wait = match (target.taken, stopping) {
            _ if target.missed > 0 => Duration::ZERO,
            (false, _) => Duration::ZERO,
            (true, true) => MAX_RENEWAL_WAIT / 6,
            // Ends are not heard while the answer to a hold is lost: the next one is sent when the
            // next end is due.
            (true, false) if lossy => {
                let end = target.runs.values().map(|run| run.expected).min();
                let due = end.map_or(MAX_RENEWAL_WAIT, |end| end - now);
                (due + EXPECTED_END_MARGIN).clamp(MIN_RENEWAL_WAIT, MAX_RENEWAL_WAIT / 3)
            }
            (true, false) if progress_unknown => MAX_RENEWAL_WAIT / 3,
            (true, false) => MAX_RENEWAL_WAIT,
        };
        Some(LeaseRenewal {
            target: id.clone(),
            incarnation: target.info.life,
            address: target.info.address,
            fencing_token,
            last_end: target.last_end,
            lease_end,
            wait,
            timeout,
        })
    }

    /// Whether a target may be given work.
    pub(super) fn is_usable(&self, target: &Target, now: Moment) -> bool {
        let current = self.list_status.is_current || now - self.created_at > LIST_READ_TIMEOUT;
        current
            && target.taken
            && !target.info.draining
            && target.silent_since.is_none()
            && target.clock.is_some()
            && target.conduct.aside_until <= now
            && target.full_until <= now
            && !target.has_unconfirmed_stop(now)
    }

    /// Closes runs whose lease has run out, and forgets targets that are gone.
    pub(super) fn check_targets(&mut self, now: Moment) {
        let lapsed = |t: &&Target| t.silent_since.is_some() && t.lease_end < now;
        let expiring = |t: &&Target| {
            let unconfirmed = t
                .runs
                .values()
                .any(|r| matches!(r.state, RunState::Stopping { acknowledged: None, .. }));
            unconfirmed && t.lease_end < now
        };
        let ended = self.targets.values().filter(|t| lapsed(t) || expiring(t));
        let ended: Vec<TargetId> =
            ended.filter(|t| !t.runs.is_empty()).map(|t| t.info.id.clone()).collect();
        for id in ended {
            self.log(LogEvent::TargetStateChanged { target: id.clone(), state: "without leases" });
            self.close_all_runs(&id, now);
        }
        let gone = |t: &&Target| !t.listed && t.runs.is_empty();
        let gone: Vec<TargetId> =
            self.targets.values().filter(gone).map(|t| t.info.id.clone()).collect();
        for id in gone {
            self.targets.swap_remove(&id);
            self.log(LogEvent::TargetStateChanged { target: id, state: "gone" });
        }
    }

    /// Counts a fault of a target; several in a row set it aside.
    pub(super) fn record_fault(&mut self, id: &TargetId, now: Moment) {
        let aside = self.targets.values().filter(|t| t.conduct.aside_until > now).count();
        let allowed = aside * 100 < self.targets.len() * MAX_EJECTED_PERCENT;
        let Some(target) = self.targets.get_mut(id) else { return };
        let conduct = &mut target.conduct;
        conduct.faults += 1;
        if conduct.faults < EJECTION_FAULTS || conduct.aside_until > now || !allowed {
            return;
        }
        conduct.pause = (conduct.pause * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        conduct.aside_until = now + conduct.pause;
        // One more fault after the pause sets it aside again.
        conduct.faults = EJECTION_FAULTS - 1;
        let pause = conduct.pause;
        self.counts.ejections += 1;
        self.log(LogEvent::Ejected { target: id.clone(), pause });
    }

    /// Counts a success of a target.
    pub(super) fn record_success(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.conduct =
                Conduct { aside_until: target.conduct.aside_until, ..Conduct::default() };
        }
    }
}
