//! Runs jobs on the targets of one availability zone, which one dispatcher owns at a time.
//!
//! Everything that runs on a target holds a lease, which the owner extends. A dispatcher takes a
//! target over by a higher fencing token: it looks at what runs there, stops it, and starts work
//! once nothing is left. A run that may exist is closed only by the target's word that it ended or
//! is not there, by a new incarnation of the target, or by the end of its lease; until then its
//! task runs nowhere else.

pub mod admission;
pub mod forecast;
pub mod job;
pub mod log_event;
pub mod ownership;
pub mod placement;
pub mod replies;
pub mod runs;

use crate::state::{
    id::ZoneName,
    patience::Patience,
    plan::{Label, Plan, QueueName},
    speed::Speeds,
    target::{Fence, Life, Target, TargetId, TargetTime},
    time::Moment,
    work::{Outcome, RunNumber, TaskId, Work, WorkId},
};
use derive_more::{Add, Display};
use indexmap::{IndexMap, IndexSet};
use job::Job;
pub use log_event::LogEvent;
use ownership::TargetListStatus;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

/// How long a lease is; the platform allows a second at most, and a caller that saw its connection
/// break resubmits after 1.3 s.
pub const LEASE_DURATION: Duration = Duration::from_millis(900);
/// Longest wait of a request that extends leases; leaves half a lease for a lost answer.
pub const MAX_RENEWAL_WAIT: Duration = Duration::from_millis(300);
/// After this time a lease that was given before is over: the lease, a slow clock, timers.
///
/// A target's clock may be 2% slow.
const MAX_LEASE_DURATION: Duration = Duration::from_millis(900 + 18 + 40);
/// A gap between two calls of the core after which the process is taken to have been suspended:
/// by then, leases may have run out.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(650);
/// Weight of one run in what is known of a kind of target; some dozens run in a second.
const KIND_SLOWNESS_WEIGHT: f64 = 0.02;
/// Targets at most this slow, 1 being usual, are fast.
const MAX_FAST_SLOWNESS: f64 = 0.8;
/// Jobs that wait at most; more than a deadline's worth of work at the largest sites.
const MAX_OPEN_JOBS: usize = 4_096;

/// The dispatcher's own number for a submission.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionKey(pub u64);

/// Where an order goes and what it concerns.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// The target.
    pub target: TargetId,
    /// The incarnation it is meant for.
    pub incarnation: Life,
    /// Its address.
    pub address: SocketAddr,
    /// The dispatcher's fencing token.
    pub fencing_token: Fence,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// What the driver has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run.
    Start {
        /// Which and where.
        request: RunRequest,
        /// What the target is told.
        spec: Arc<str>,
        /// The end of its lease.
        lease_end: TargetTime,
    },
    /// Stop a run.
    Stop(RunRequest),
    /// Answer a submission.
    Answer {
        /// The submission.
        key: SubmissionKey,
        /// The job's id.
        id: WorkId,
        /// What became of it.
        outcome: Outcome,
    },
    /// Tell the submitter to ask the dispatcher of another zone instead; nothing of the job has run.
    Redirect {
        /// The submission.
        key: SubmissionKey,
        /// The zone.
        zone: ZoneName,
        /// Its dispatcher.
        to: SocketAddr,
    },
    /// A new target: start asking [`Dispatcher::next_lease_renewal`].
    Watch(TargetId),
    /// Another dispatcher has taken a target.
    Fenced(TargetId),
    /// Something for the log.
    Log(LogEvent),
}

/// Free processor less what waits for it, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpareCpu {
    /// On all targets.
    pub total_millicores: u64,
    /// On fast ones, less what waits for these.
    pub fast_millicores: u64,
}

/// What another zone offers, as its dispatcher last said.
#[derive(Clone, Debug)]
pub struct RemoteZone {
    /// Its dispatcher's address.
    pub address: SocketAddr,
    /// Free processor, less what was passed there since.
    pub spare: SpareCpu,
    /// When it was heard.
    pub updated_at: Moment,
}

/// A submission that waits until earlier runs of its tasks are closed.
#[derive(Clone, Debug)]
struct DeferredSubmission {
    key: SubmissionKey,
    work: Work,
    arrived: Moment,
    /// Whether runs may be left from an earlier dispatcher.
    resumed: bool,
}

/// The key by which jobs wait, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Jobs past their latency objective come after all others.
    late: bool,
    priority: crate::state::plan::Priority,
    key: SubmissionKey,
}

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default, Add)]
pub struct Counts {
    /// Jobs let in.
    pub admitted: u64,
    /// Jobs refused.
    pub refused: u64,
    /// Jobs passed to another zone.
    pub redirected: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Jobs whose outcome is unknown.
    pub unknown: u64,
    /// Starts sent.
    pub starts: u64,
    /// Starts refused for want of room.
    pub capacity_refusals: u64,
    /// Stops sent.
    pub stops: u64,
    /// Runs that failed.
    pub failed_runs: u64,
    /// Runs whose lease ran out.
    pub lost_runs: u64,
    /// Runs stopped as stragglers.
    pub stragglers: u64,
    /// Targets set aside.
    pub ejections: u64,
    /// Orders refused for a higher fencing token.
    pub fenced_requests: u64,
    /// Times that this VM became the dispatcher.
    pub takeovers: u64,
}

/// The decisions of a zone's dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    fencing_token: Fence,
    config: Arc<Plan>,
    targets: IndexMap<TargetId, Target>,
    jobs: IndexMap<SubmissionKey, Job>,
    keys_by_work_id: IndexMap<WorkId, SubmissionKey>,
    waiting: BTreeSet<Rank>,
    /// Runs not closed of jobs that are given up.
    orphaned_runs: IndexMap<WorkId, u32>,
    /// Submissions that wait for such runs.
    deferred: Vec<DeferredSubmission>,
    remote_zones: IndexMap<ZoneName, RemoteZone>,
    speeds: Speeds<QueueName, Label>,
    /// How long targets take to answer a start.
    rtt: Patience,
    /// Share of holds that are lost of late.
    renewal_loss_rate: f64,
    counts: Counts,
    last_key: u64,
    last_call: Moment,
    is_active: bool,
    /// No new jobs: a successor takes them.
    handing_over: bool,
    /// Targets that a retiring predecessor keeps.
    predecessor_targets: IndexSet<TargetId>,
    list_status: TargetListStatus,
    created_at: Moment,
    /// Since when no other dispatcher extends leases in the zone, as far as is known.
    sole_owner_since: Moment,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// A dispatcher that owns nothing yet.
    pub fn new(fencing_token: Fence, config: Arc<Plan>, now: Moment) -> Self {
        Dispatcher {
            fencing_token,
            config,
            targets: IndexMap::new(),
            jobs: IndexMap::new(),
            keys_by_work_id: IndexMap::new(),
            waiting: BTreeSet::new(),
            orphaned_runs: IndexMap::new(),
            deferred: Vec::new(),
            remote_zones: IndexMap::new(),
            speeds: Speeds::weighing(KIND_SLOWNESS_WEIGHT),
            rtt: Patience::default(),
            renewal_loss_rate: 0.0,
            counts: Counts { takeovers: 1, ..Counts::default() },
            last_key: 0,
            last_call: now,
            is_active: true,
            handing_over: false,
            predecessor_targets: IndexSet::new(),
            list_status: TargetListStatus::default(),
            created_at: now,
            sole_owner_since: now,
            actions: Vec::new(),
        }
    }

    /// Its fencing token.
    pub fn fencing_token(&self) -> Fence {
        self.fencing_token
    }

    /// Its counts so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How slow each kind of target was found to be, 1 being usual.
    pub fn slowness_by_kind(&self) -> Vec<(Label, f64)> {
        let kinds: IndexSet<&Label> = self.targets.values().map(|t| &t.info.kind).collect();
        kinds.into_iter().map(|kind| (kind.clone(), self.speeds.slowness(kind))).collect()
    }

    /// Jobs that are not answered.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len() + self.deferred.len()
    }

    /// Targets that it may start work on.
    pub fn usable_targets(&self) -> usize {
        self.targets.values().filter(|t| t.taken && t.silent_since.is_none()).count()
    }

    /// Replaces the configuration; lower versions are ignored.
    pub fn set_config(&mut self, config: Arc<Plan>) {
        if config.version > self.config.version {
            self.config = config;
        }
    }

    /// Takes in what another zone's dispatcher offers.
    pub fn update_remote_zone(
        &mut self,
        zone: ZoneName,
        address: SocketAddr,
        spare: SpareCpu,
        now: Moment,
    ) {
        self.remote_zones.insert(zone, RemoteZone { address, spare, updated_at: now });
    }

    /// Free processor for other zones.
    pub fn spare_cpu(&self, now: Moment) -> SpareCpu {
        let mut free = SpareCpu::default();
        for target in self.targets.values().filter(|t| self.is_usable(t, now)) {
            let cpu = target.room().cpu.0;
            free.total_millicores += cpu;
            if self.target_slowness(target) <= MAX_FAST_SLOWNESS {
                free.fast_millicores += cpu;
            }
        }
        for job in self.waiting.iter().filter_map(|rank| self.jobs.get(&rank.key)) {
            let steps = job.waiting.iter().filter_map(|task| job.step(*task));
            let cpu: u64 = steps.map(|step| step.needs.cpu.0).sum();
            free.total_millicores = free.total_millicores.saturating_sub(cpu);
            if job.has_hard_deadline() {
                free.fast_millicores = free.fast_millicores.saturating_sub(cpu);
            }
        }
        free
    }

    /// How much slower a target is than usual.
    fn target_slowness(&self, target: &Target) -> f64 {
        self.speeds.slowness(&target.info.kind) * target.slowness
    }

    /// The actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Does what is due: deadlines, leases, stops that were not confirmed. To be called every few
    /// tens of milliseconds.
    pub fn tick(&mut self, now: Moment) {
        self.check_suspension(now);
        self.expire_jobs(now);
        self.demote_late(now);
        self.shed_late_jobs(now);
        self.check_targets(now);
        self.check_runs(now);
        self.admit_deferred(now);
        self.start_waiting_tasks(now);
    }

    /// Takes no new jobs any more; those at hand are run to their end.
    pub fn begin_handover(&mut self) {
        self.handing_over = true;
    }

    /// Targets that a retiring dispatcher still needs: all while tasks wait, else those with runs.
    pub fn targets_in_use(&self) -> Vec<TargetId> {
        let wanted = |t: &&Target| !self.waiting.is_empty() || !t.runs.is_empty();
        self.targets.values().filter(wanted).map(|t| t.info.id.clone()).collect()
    }

    /// Forgets targets that were handed over.
    pub fn retain_targets(&mut self, kept: &[TargetId]) {
        self.targets.retain(|id, _| kept.contains(id));
    }

    /// Leaves some targets to a retiring predecessor, as long as it keeps them.
    pub fn set_predecessor_targets(&mut self, kept: Vec<TargetId>, now: Moment) {
        if !self.predecessor_targets.is_empty() {
            // The predecessor has extended leases until now.
            self.sole_owner_since = now;
        }
        self.predecessor_targets = kept.into_iter().collect();
    }

    /// Gives everything up, since another dispatcher owns the targets.
    pub fn abandon(&mut self) {
        let keys: Vec<SubmissionKey> = self.jobs.keys().copied().collect();
        for key in keys {
            self.abort_job(key, "the dispatcher stepped down");
        }
        for deferred in std::mem::take(&mut self.deferred) {
            let outcome = Outcome::Unknown;
            self.actions.push(Action::Answer { key: deferred.key, id: deferred.work.id, outcome });
        }
        self.targets.clear();
        self.orphaned_runs.clear();
        self.is_active = false;
    }

    fn check_suspension(&mut self, now: Moment) {
        let gap = now - self.last_call;
        self.last_call = self.last_call.max(now);
        if gap <= SUSPENSION_THRESHOLD {
            return;
        }
        self.log(LogEvent::Suspended { gap });
        let keys: Vec<SubmissionKey> = self.jobs.keys().copied().collect();
        for key in keys {
            self.abort_job(key, "the process was suspended");
        }
        for target in self.targets.values_mut() {
            target.taken = false;
        }
    }

    fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }

    fn run_request(&self, target: &Target, task: TaskId, run: RunNumber) -> RunRequest {
        RunRequest {
            target: target.info.id.clone(),
            incarnation: target.info.life,
            address: target.info.address,
            fencing_token: self.fencing_token,
            task,
            run,
            timeout: self.rtt.limit(),
        }
    }
}
