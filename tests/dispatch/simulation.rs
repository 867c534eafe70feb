//! Simulation of a zone in virtual time: the real dispatcher, and fake targets that follow the
//! platform's contract.

pub use crate::{
    fake_target::{FakeTarget, Fault},
    fixtures::{LONG, URGENT, config, ms, submission, target_info},
};

use crate::fake_target::FakeRun;
use cranberrytray::{
    coordination::dispatch::{
        Action, Dispatcher, LogEvent, RunRequest, SubmissionKey,
        ownership::TargetListStatus,
        replies::{LeaseRenewalError, StartRefusal, StartReply, StopReply},
        timing::{RunBounds, Timing},
    },
    state::{
        id::ZoneName,
        job_submission::{JobSubmission, Outcome, TaskId},
        target::{FencingToken, RunOutcome, TargetId, TargetInfo, TargetTime},
        time::Moment,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// A dispatcher, its targets and the virtual time.
pub struct Simulation {
    pub now: Moment,
    pub dispatcher: Dispatcher,
    pub targets: IndexMap<TargetId, FakeTarget>,
    pub answers: IndexMap<SubmissionKey, (Outcome, Moment)>,
    pub redirected: Vec<(SubmissionKey, SocketAddr)>,
    pub duplicate_runs: Vec<TaskId>,
    pub log: Vec<(Moment, LogEvent)>,
    /// Targets that rejected the fencing token, and whether they had accepted it before.
    pub fenced: Vec<(TargetId, bool)>,
    list: Vec<TargetInfo>,
    pub list_status: TargetListStatus,
    /// Evacuated zones, which a successor knows as well.
    evacuated_zones: IndexSet<ZoneName>,
    /// Bounds that the targets keep to.
    bounds: RunBounds,
    /// Tasks that crash each target that starts them.
    pub crashing_tasks: IndexSet<TaskId>,
    /// Whether the test calls [`Simulation::tick`] itself.
    pub manual_ticks: bool,
    /// Start requests that are executed later, with the moment.
    late_starts: Vec<(Moment, RunRequest, Arc<str>, TargetTime)>,
}

/// Time from the start of a crashing task to the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(10);

impl Simulation {
    pub fn new(targets: usize) -> Self {
        Simulation::with_bounds(targets, RunBounds::default())
    }

    /// Creates targets that take the longest time for stops and grant the longest leases that
    /// `bounds` allow.
    pub fn with_bounds(targets: usize, bounds: RunBounds) -> Self {
        let timing = Timing::try_from(bounds).unwrap();
        let now = Moment::new(ms(10_000));
        let mut sim = Simulation {
            now,
            dispatcher: Dispatcher::new(FencingToken(100), Arc::new(config(1)), timing, now),
            targets: IndexMap::new(),
            answers: IndexMap::new(),
            redirected: Vec::new(),
            duplicate_runs: Vec::new(),
            log: Vec::new(),
            fenced: Vec::new(),
            list: (0..targets).map(target_info).collect(),
            list_status: TargetListStatus { is_current: true, is_complete: true },
            evacuated_zones: IndexSet::new(),
            bounds,
            crashing_tasks: IndexSet::new(),
            manual_ticks: false,
            late_starts: Vec::new(),
        };
        for info in &sim.list {
            sim.targets.insert(info.id.clone(), FakeTarget::default());
        }
        sim
    }

    /// Creates targets with these speeds and lets the dispatcher learn them.
    pub fn with_speeds(speeds: &[f64]) -> Self {
        let mut sim = Simulation::new(speeds.len()).take_over();
        for (target, speed) in sim.targets.values_mut().zip(speeds) {
            target.speed = *speed;
        }
        for id in 0..60 {
            sim.submit(submission(1_000 + id, URGENT, 2 * speeds.len() as u32, ms(60)));
            sim.run(ms(250));
        }
        sim.targets.values_mut().for_each(|target| target.starts.clear());
        sim
    }

    /// Replaces the dispatcher as after its loss. The successor knows what heartbeats have reported.
    pub fn replace_dispatcher(&mut self) {
        let reported = self.dispatcher.crash_history().changed_within(ms(500), self.now);
        let timing = Timing::try_from(self.bounds).unwrap();
        let config = Arc::new(config(2));
        self.dispatcher = Dispatcher::new(FencingToken(200), config, timing, self.now);
        self.dispatcher.merge_losses(reported, self.now);
        self.dispatcher.set_evacuated_zones(&self.evacuated_zones, self.now);
        self.targets.values_mut().for_each(|target| target.is_watched = false);
        self.publish_targets();
    }

    /// Begins a handover. The dispatcher keeps the targets that it uses and forgets the others; returns
    /// those that it keeps.
    pub fn begin_handover(&mut self) -> Vec<TargetId> {
        self.dispatcher.begin_handover();
        self.process_actions();
        let kept = self.dispatcher.targets_in_use(true);
        self.dispatcher.retain_targets(&kept);
        kept
    }

    /// Publishes the targets, and runs until they are taken over.
    pub fn take_over(mut self) -> Self {
        self.publish_targets();
        self.run(ms(100));
        self
    }

    pub fn publish_targets(&mut self) {
        self.dispatcher.update_targets(&self.list, self.list_status, self.now);
        self.process_actions();
    }

    pub fn change_target<F>(&mut self, n: usize, f: F)
    where
        F: FnOnce(&mut TargetInfo),
    {
        f(&mut self.list[n]);
        self.publish_targets();
    }

    /// Removes a target from the list and returns its entry.
    pub fn unlist_target(&mut self, n: usize) -> TargetInfo {
        let info = self.list.remove(n);
        self.publish_targets();
        info
    }

    /// Adds a target to the list again.
    pub fn list_target(&mut self, info: TargetInfo) {
        self.list.push(info);
        self.publish_targets();
    }

    /// Replaces the set of evacuated zones.
    pub fn set_evacuated_zones(&mut self, zones: &[&str]) {
        self.evacuated_zones = zones.iter().map(|zone| zone.parse().unwrap()).collect();
        self.dispatcher.set_evacuated_zones(&self.evacuated_zones, self.now);
        self.process_actions();
    }

    pub fn target(&mut self, n: usize) -> &mut FakeTarget {
        self.targets.get_index_mut(n).unwrap().1
    }

    pub fn submit(&mut self, submission: JobSubmission) -> SubmissionKey {
        self.submit_with(submission, false, false)
    }

    pub fn submit_with(
        &mut self,
        submission: JobSubmission,
        may_redirect: bool,
        resumed: bool,
    ) -> SubmissionKey {
        let key = self.dispatcher.submit(submission, may_redirect, resumed, self.now);
        self.process_actions();
        key
    }

    pub fn outcome(&self, key: SubmissionKey) -> Option<Outcome> {
        self.answers.get(&key).map(|(outcome, _)| *outcome)
    }

    /// Number of crashes of all targets so far.
    pub fn crash_count(&self) -> u32 {
        self.targets.values().map(|target| target.crash_count).sum()
    }

    pub fn start_count(&self) -> usize {
        self.targets.values().map(|t| t.starts.len()).sum()
    }

    /// Advances the virtual time in steps of 1 ms.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + ms(1);
            self.execute_late_starts();
            self.register_restarted_targets();
            self.advance_targets();
            if !self.manual_ticks && self.now.since_start().as_millis().is_multiple_of(25) {
                self.tick();
            }
        }
    }

    /// Calls the dispatcher's timer.
    pub fn tick(&mut self) {
        self.dispatcher.tick(self.now);
        self.process_actions();
    }

    /// Updates the entries of restarted targets that the list still has in a former incarnation.
    fn register_restarted_targets(&mut self) {
        let mut changed = false;
        for info in &mut self.list {
            let target = &self.targets[&info.id];
            if target.incarnation != info.incarnation && target.registers_at <= self.now {
                info.incarnation = target.incarnation;
                changed = true;
            }
        }
        if changed {
            self.publish_targets();
        }
    }

    fn advance_targets(&mut self) {
        let ids: Vec<TargetId> = self.targets.keys().cloned().collect();
        for id in ids {
            let target = &mut self.targets[&id];
            target.advance(self.now);
            if let Some(end) = target.lost_renewal_end {
                if end <= self.now {
                    target.lost_renewal_end = None;
                    self.dispatcher.on_lease_renewal_reply(
                        &id,
                        self.now,
                        Err(LeaseRenewalError::NoAnswer),
                        self.now,
                    );
                    self.process_actions();
                }
                continue;
            }
            let has_new_ends =
                target.ended.last().is_some_and(|end| end.sequence > target.reported_end);
            if target.is_watched && (has_new_ends || target.next_renewal <= self.now) {
                self.renew_leases(&id);
            }
        }
        self.check_duplicate_runs();
    }

    fn renew_leases(&mut self, id: &TargetId) {
        let Some(renewal) = self.dispatcher.next_lease_renewal(id, self.now) else { return };
        let now = self.now;
        let target = &mut self.targets[id];
        target.next_renewal = now + renewal.wait.max(ms(5));
        target.renewal_count += 1;
        if target.fault == Fault::LosesRenewalReplies && target.renewal_count.is_multiple_of(12) {
            target.lost_renewal_end = Some(now + renewal.wait + renewal.timeout);
            return;
        }
        let reply = if target.is_unreachable(now) {
            target.next_renewal = now + ms(100);
            Err(LeaseRenewalError::Unreachable)
        } else if target.fault == Fault::Unresponsive {
            target.next_renewal = now + ms(150);
            Err(LeaseRenewalError::NoAnswer)
        } else if renewal.fencing_token < target.fencing_token {
            Err(LeaseRenewalError::Fenced)
        } else {
            target.fencing_token = renewal.fencing_token;
            target.reported_end = renewal.last_end;
            target.ended.retain(|end| end.sequence > renewal.last_end);
            if let Some(end) = renewal.lease_end {
                target.extend_lease(end, self.bounds.max_lease, now);
            }
            let report = target.report(now);
            if target.fault == Fault::LosesReplies {
                target.next_renewal = now + ms(50);
                Err(LeaseRenewalError::NoAnswer)
            } else {
                target.reported_end =
                    target.ended.last().map_or(renewal.last_end, |end| end.sequence);
                Ok(report)
            }
        };
        self.dispatcher.on_lease_renewal_reply(id, now, reply, now);
        self.process_actions();
    }

    fn check_duplicate_runs(&mut self) {
        let mut seen: IndexMap<TaskId, u32> = IndexMap::new();
        for target in self.targets.values() {
            for task in target.runs.keys() {
                *seen.entry(*task).or_default() += 1;
            }
        }
        self.duplicate_runs.extend(seen.into_iter().filter(|(_, n)| *n > 1).map(|(task, _)| task));
    }

    pub fn process_actions(&mut self) {
        loop {
            let actions = self.dispatcher.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Start { request, spec, lease_end } => {
                        self.start(&request, &spec, lease_end)
                    }
                    Action::Stop(request) => self.stop(&request),
                    Action::Answer { key, outcome, .. } => {
                        self.answers.insert(key, (outcome, self.now));
                    }
                    Action::Watch(id) => self.targets[&id].is_watched = true,
                    Action::Redirect { key, to, .. } => self.redirected.push((key, to)),
                    Action::Log(event) => self.log.push((self.now, event)),
                    Action::Fenced { target, was_accepted } => {
                        self.fenced.push((target, was_accepted));
                    }
                }
            }
        }
    }

    fn execute_late_starts(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late_starts.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, request, spec, lease_end) in due {
            self.execute_start(&request, &spec, lease_end);
        }
    }

    fn start(&mut self, request: &RunRequest, spec: &Arc<str>, lease_end: TargetTime) {
        let now = self.now;
        let target = &mut self.targets[&request.target];
        let reply = if target.is_unreachable(now) {
            StartReply::NotSent
        } else if let Fault::DelaysStarts(delay) = target.fault {
            self.late_starts.push((now + delay, request.clone(), Arc::clone(spec), lease_end));
            StartReply::Unknown
        } else if target.fault == Fault::Unresponsive {
            StartReply::Unknown
        } else if target.fault == Fault::LosesFirstStartRequests
            && !target.lost_starts.contains(&request.task)
        {
            target.lost_starts.push(request.task);
            StartReply::Unknown
        } else {
            self.execute_start(request, spec, lease_end)
        };
        self.dispatcher.on_start_reply(&request.target, request.task, request.run, reply, now);
    }

    /// Executes a start request and returns the reply as the dispatcher receives it.
    fn execute_start(
        &mut self,
        request: &RunRequest,
        spec: &str,
        lease_end: TargetTime,
    ) -> StartReply {
        let now = self.now;
        let target = &mut self.targets[&request.target];
        let clock = target.clock(now);
        let used: u64 = target.runs.values().map(|run| run.cpu).sum();
        let refused = |refusal| StartReply::Refused(refusal, Some(clock));
        if request.fencing_token < target.fencing_token {
            return refused(StartRefusal::Fenced);
        }
        if target.runs.get(&request.task).is_some_and(|run| run.number == request.run) {
            return match target.fault {
                Fault::LosesStartReplies => StartReply::Unknown,
                Fault::UnreachableAfterStart => StartReply::NotSent,
                _ => StartReply::Started(clock),
            };
        }
        if target.is_voided(request.task, request.run) {
            return refused(StartRefusal::StaleRun);
        }
        if lease_end <= clock {
            return refused(StartRefusal::LeaseExpired);
        }
        if used + 14_000 > target.capacity && target.is_guarded {
            return refused(StartRefusal::InsufficientCapacity);
        }
        let duration = ms(spec.parse().unwrap()).div_f64(target.speed);
        let (ends_at, outcome) = match target.fault {
            Fault::HangsRuns => (None, RunOutcome::Done),
            Fault::FailsRuns => (Some(now + ms(1)), RunOutcome::Failed),
            _ => (Some(now + duration), RunOutcome::Done),
        };
        let run = FakeRun {
            number: request.run,
            started_at: now,
            duration,
            ends_at,
            outcome,
            cpu: 14_000,
        };
        if self.crashing_tasks.contains(&request.task) {
            target.crash_at = Some(now + TIME_TO_CRASH);
        }
        target.overcommitted_starts += u32::from(used + 14_000 > target.capacity);
        target.runs.insert(request.task, run);
        target.starts.push((request.task, now));
        target.extend_lease(lease_end, self.bounds.max_lease, now);
        match target.fault {
            Fault::LosesStartReplies | Fault::LosesReplies | Fault::UnreachableAfterStart => {
                StartReply::Unknown
            }
            _ => StartReply::Started(clock),
        }
    }

    fn stop(&mut self, request: &RunRequest) {
        let now = self.now;
        let target = &mut self.targets[&request.target];
        let reply = if target.is_unreachable(now)
            || matches!(
                target.fault,
                Fault::Unresponsive
                    | Fault::LosesReplies
                    | Fault::LosesStopRequests
                    | Fault::DelaysStarts(_)
            ) {
            StopReply::Unknown
        } else if request.fencing_token < target.fencing_token {
            StopReply::Fenced
        } else {
            target.void(request.task, request.run);
            if let Some(run) =
                target.runs.get_mut(&request.task).filter(|r| r.number == request.run)
                && run.outcome != RunOutcome::Stopped
            {
                run.ends_at =
                    Some(now + self.bounds.max_stop * 100 / (100 - target.clock_slowness));
                run.outcome = RunOutcome::Stopped;
            }
            StopReply::Stopped
        };
        self.dispatcher.on_stop_reply(&request.target, request.task, request.run, reply, now);
    }
}
