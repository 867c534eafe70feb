//! Runs jobs on the leased targets of one shard of an availability zone, which one dispatcher owns at
//! a time.
//!
//! Every run on a target holds a lease, which the owner renews. A dispatcher takes a target over
//! with a higher fencing token: it lists the runs there, stops them, and starts tasks once none is
//! left. A run that may exist is closed only when the target reports that it has ended or does not
//! exist, when the target has a new incarnation, or when its lease has expired. Until then its task
//! is started nowhere else.
//!
//! The dispatcher does no I/O: calls take the current moment and append [`Action`]s, which the
//! driver takes with [`Dispatcher::take_actions`] and carries out.

pub mod admission;
mod counts;
pub mod crashes;
pub mod evacuation;
pub mod forecast;
pub mod job;
pub mod job_memory;
mod lag;
pub mod log_event;
pub mod ownership;
pub mod placement;
pub mod replies;
mod reservation;
mod restarts;
pub mod run_log;
pub mod runs;
mod size_forecast;
mod size_match;
pub mod submitters;
mod task_sizes;
pub mod timing;
mod wide_job;

use crate::state::{
    crash_history::CrashHistory,
    fleet_config::{FleetConfig, Label, PoolName, QueueName},
    job_submission::{CallerJobId, JobSubmission, Outcome, RunNumber, TaskId},
    lag::LagMeter,
    mechanism::{Mechanism, MechanismSet},
    memory_budget::MemoryBudget,
    resources::{ByteSize, MilliCores},
    rtt::RttEstimator,
    run_time::RunTimeEstimator,
    shard::Shard,
    target::{FencingToken, Target, TargetId, TargetTime},
    time::Moment,
    token_bucket::TokenBucket,
};
pub use counts::Counts;
use derive_more::Display;
use evacuation::Evacuations;
use indexmap::{IndexMap, IndexSet};
use job::Job;
pub use log_event::{JobLabel, LogEvent, Outlook};
use ownership::TargetListStatus;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};
use submitters::Submitters;
use task_sizes::TaskSizes;
use timing::Timing;

/// Interval at which [`Dispatcher::tick`] should be called; a small part of the shortest timeout that
/// it checks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Weight of one run in the slowness estimate of a kind of target; dozens of runs end per second.
const KIND_SLOWNESS_WEIGHT: f64 = 0.02;
/// Maximum number of open jobs; more than the largest sites can run at once.
const MAX_OPEN_JOBS: usize = 4_096;

/// Number that the dispatcher gives to a submission. Submissions with the same job id join one job,
/// which is stored under the key of the first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionKey(pub u64);

/// Addresses a request to start or stop one run on one target.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Target that runs the task. A target of another name rejects the request; a new incarnation
    /// of the target accepts it.
    pub target: TargetId,
    /// Address at which the target serves requests.
    pub address: SocketAddr,
    /// Fencing token of the dispatcher; a target that has seen a higher one rejects the request.
    pub fencing_token: FencingToken,
    /// Task that is run.
    pub task: TaskId,
    /// Number of the run, unique and rising for each task.
    pub run: RunNumber,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// An action that the driver has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run on a target.
    Start {
        /// Run and target.
        request: RunRequest,
        /// Task specification, passed to the target as the caller sent it.
        spec: Arc<str>,
        /// End of the run's lease on the target's clock.
        lease_end: TargetTime,
    },
    /// Stop a run on a target.
    Stop(RunRequest),
    /// Answer a submission.
    Answer {
        /// Submission to answer.
        key: SubmissionKey,
        /// Job id chosen by the caller.
        id: CallerJobId,
        /// Outcome of the job.
        outcome: Outcome,
    },
    /// Redirect the submitter to the dispatcher of another shard; nothing of the job has run.
    Redirect {
        /// Submission to redirect.
        key: SubmissionKey,
        /// Shard that should run the job.
        shard: Shard,
        /// Address of that shard's dispatcher.
        to: SocketAddr,
    },
    /// Start sending the requests that [`Dispatcher::next_lease_renewal`] returns for this target.
    Watch(TargetId),
    /// Raise the fencing token or step down: the target rejected a request because it has seen a
    /// higher token.
    Fenced {
        /// Target that rejected the request.
        target: TargetId,
        /// Whether it had accepted a request of this dispatcher before.
        was_accepted: bool,
    },
    /// Write an event to the log.
    Log(LogEvent),
}

/// Another shard of this zone or of another one, as last reported by its dispatcher.
#[derive(Clone, Debug)]
pub struct RemoteShard {
    /// Address of the shard's dispatcher.
    pub address: SocketAddr,
    /// Reported spare CPU, minus the CPU that jobs redirected there since then need.
    pub spare: MilliCores,
    /// Moment at which the report arrived.
    pub updated_at: Moment,
}

/// A submission whose admission is deferred until earlier runs of its tasks are closed.
#[derive(Clone, Debug)]
struct DeferredSubmission {
    /// Submissions with this job id that wait for the answer, the first one first.
    keys: Vec<SubmissionKey>,
    submission: JobSubmission,
    /// Memory that the job takes.
    memory: ByteSize,
    arrived_at: Moment,
    /// When it was last submitted as a job that an earlier dispatcher may have started; `None` if it
    /// never was.
    resumed_at: Option<Moment>,
}

/// Sort key of the queue, most urgent job first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: crate::state::fleet_config::Priority,
    key: SubmissionKey,
}

/// Decides which jobs of a zone are run, when, and on which targets.
#[derive(Debug)]
pub struct Dispatcher {
    fencing_token: FencingToken,
    config: Arc<FleetConfig>,
    timing: Timing,
    /// Mechanisms that are switched off.
    disabled: MechanismSet,
    targets: IndexMap<TargetId, Target>,
    /// Start requests that were not answered by targets which have left the list since.
    starts_on_unlisted: restarts::StartsOnUnlisted,
    jobs: IndexMap<SubmissionKey, Job>,
    keys_by_job_id: IndexMap<CallerJobId, SubmissionKey>,
    /// Jobs with waiting tasks, in the order in which they are served.
    queued_jobs: BTreeSet<Rank>,
    /// Number of runs that are not closed yet and belong to no open job, by job id.
    orphaned_runs: IndexMap<CallerJobId, u32>,
    /// Closed runs that a target may still start.
    closed_runs: run_log::ClosedRuns,
    /// Submissions that wait until earlier runs of their tasks are closed.
    deferred: Vec<DeferredSubmission>,
    /// Memory for open jobs.
    job_memory: MemoryBudget,
    submitters: Submitters,
    remote_shards: IndexMap<Shard, RemoteShard>,
    evacuations: Evacuations,
    /// Targets that were lost under tasks.
    crash_history: CrashHistory,
    /// Tokens for starts of tasks that are main suspects of a crash; a crash uses one up.
    crash_tokens: TokenBucket,
    run_times: RunTimeEstimator<QueueName, Label>,
    /// CPU that the submitted tasks of each pool need.
    task_sizes: IndexMap<PoolName, TaskSizes>,
    /// Round-trip estimate of start requests.
    rtt: RttEstimator,
    /// Recent share of lease renewals without an answer.
    renewal_loss_rate: f64,
    counts: Counts,
    last_submission_key: u64,
    last_call_at: Moment,
    /// How late [`Dispatcher::tick`] is called.
    lag_meter: LagMeter,
    /// False once another dispatcher owns the targets; no task is started then.
    is_active: bool,
    /// Whether a successor admits the new jobs and this dispatcher only finishes its own.
    handing_over: bool,
    /// Targets that a leaving predecessor still uses.
    predecessor_targets: IndexSet<TargetId>,
    list_status: TargetListStatus,
    created_at: Moment,
    /// Moment since which no other dispatcher is known to renew leases in the zone. One that this VM
    /// doesn't reach may still do so on targets that it has not taken over.
    sole_owner_since: Moment,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher without targets and jobs.
    pub fn new(
        fencing_token: FencingToken,
        config: Arc<FleetConfig>,
        timing: Timing,
        now: Moment,
    ) -> Self {
        Dispatcher {
            fencing_token,
            config,
            timing,
            disabled: MechanismSet::optional(),
            targets: IndexMap::new(),
            starts_on_unlisted: restarts::StartsOnUnlisted::new(),
            jobs: IndexMap::new(),
            keys_by_job_id: IndexMap::new(),
            queued_jobs: BTreeSet::new(),
            orphaned_runs: IndexMap::new(),
            closed_runs: run_log::ClosedRuns::default(),
            deferred: Vec::new(),
            job_memory: MemoryBudget::new(job_memory::DEFAULT_JOB_MEMORY),
            submitters: Submitters::new(now),
            remote_shards: IndexMap::new(),
            evacuations: Evacuations::default(),
            crash_history: CrashHistory::default(),
            crash_tokens: TokenBucket::new(0.0, 1.0),
            run_times: RunTimeEstimator::with_worker_weight(KIND_SLOWNESS_WEIGHT),
            task_sizes: IndexMap::new(),
            rtt: RttEstimator::default(),
            renewal_loss_rate: 0.0,
            counts: Counts { takeovers: 1, ..Counts::default() },
            last_submission_key: 0,
            last_call_at: now,
            lag_meter: LagMeter::new(TICK_INTERVAL),
            is_active: true,
            handing_over: false,
            predecessor_targets: IndexSet::new(),
            list_status: TargetListStatus::default(),
            created_at: now,
            sole_owner_since: now,
            actions: Vec::new(),
        }
    }

    /// Replaces the set of mechanisms that are switched off, at first the optional ones.
    pub fn disable(&mut self, mechanisms: MechanismSet) {
        self.disabled = mechanisms;
    }

    fn enables(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(mechanism)
    }

    /// Fencing token sent with every request to a target.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Counters since this dispatcher was created.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Learned slowness of each kind of target; 1 is usual.
    pub fn slowness_by_kind(&self) -> Vec<(Label, f64)> {
        let kinds: IndexSet<&Label> = self.targets.values().map(|t| &t.info.kind).collect();
        kinds.into_iter().map(|kind| (kind.clone(), self.run_times.slowness(kind))).collect()
    }

    /// Number of jobs that are not answered, deferred ones included.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len() + self.deferred.len()
    }

    /// Whether jobs wait until no run of theirs is left that an earlier dispatcher started.
    pub fn awaits_earlier_runs(&self) -> bool {
        self.deferred.iter().any(|deferred| deferred.resumed_at.is_some())
    }

    /// Number of targets that are taken over, respond, accept tasks and are not evacuated.
    pub fn usable_targets(&self) -> usize {
        let is_counted = |t: &&Target| {
            t.taken_over
                && t.unresponsive_since.is_none()
                && t.accepts_tasks()
                && !self.is_evacuated(t)
        };
        self.targets.values().filter(is_counted).count()
    }

    /// Replaces the fleet configuration, unless the current version is the same or higher.
    pub fn set_config(&mut self, config: Arc<FleetConfig>) {
        if config.version > self.config.version {
            self.config = config;
        }
    }

    /// Records the spare CPU that the dispatcher of another shard reports.
    pub fn update_remote_shard(
        &mut self,
        shard: Shard,
        address: SocketAddr,
        spare: MilliCores,
        now: Moment,
    ) {
        self.remote_shards.insert(shard, RemoteShard { address, spare, updated_at: now });
    }

    /// Spare CPU that other zones may use: what is free on usable targets, minus what waiting tasks need.
    pub fn spare_cpu(&self, now: Moment) -> MilliCores {
        let usable = self.targets.values().filter(|t| self.is_usable(t, now));
        let free = usable.map(|t| t.free_cpu(now).0).fold(0, u64::saturating_add);
        let queued = self.queued_jobs.iter().filter_map(|rank| self.jobs.get(&rank.key));
        let waiting = queued.flat_map(|job| job.waiting_tasks.iter().filter_map(|t| job.step(*t)));
        let needed = waiting.map(|step| step.needs.cpu.0).fold(0, u64::saturating_add);
        MilliCores(free.saturating_sub(needed))
    }

    /// Run time of tasks on a target relative to a usual one, from its kind and its own runs.
    fn target_slowness(&self, target: &Target) -> f64 {
        self.kind_slowness(&target.info.kind) * target.slowness
    }

    fn kind_slowness(&self, kind: &Label) -> f64 {
        if self.enables(Mechanism::KindSlowness) { self.run_times.slowness(kind) } else { 1.0 }
    }

    /// Declared run time in milliseconds, from which the actual one is predicted.
    fn declared_ms(&self, declared: Option<Duration>) -> Option<u64> {
        let declared = declared.filter(|_| self.enables(Mechanism::DeclaredRunTimes));
        declared.map(|declared| declared.as_millis() as u64)
    }

    /// Returns the actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Handles timeouts: deadlines, leases and unconfirmed stops. To be called every
    /// [`TICK_INTERVAL`]; later calls show that this process is behind its work.
    ///
    /// What callers and peers sent before a call, ends of connections included, has to be handled
    /// before the next call.
    pub fn tick(&mut self, now: Moment) {
        self.submitters.on_tick(now);
        self.check_suspension(now);
        self.lag_meter.on_timer(now);
        self.expire_jobs(now);
        self.expire_losses(now);
        self.release_evacuated_jobs(now);
        self.shed_late_jobs(now);
        self.check_targets(now);
        self.check_runs(now);
        self.admit_deferred(now);
        self.start_waiting_tasks(now);
    }

    /// Refuses new jobs from now on; open jobs are run to their end. Jobs that wait for runs of an earlier
    /// dispatcher are left to the successor, as this one releases targets on which such runs may be.
    pub fn begin_handover(&mut self) {
        self.handing_over = true;
        let (resumed, others): (Vec<_>, _) =
            std::mem::take(&mut self.deferred).into_iter().partition(|d| d.resumed_at.is_some());
        self.deferred = others;
        for deferred in resumed {
            self.refuse_closed(&deferred.keys, &deferred.submission);
        }
    }

    /// Returns the targets that a leaving dispatcher still uses: those with runs, and the others too
    /// while tasks wait, if `awaits_starts`.
    pub fn targets_in_use(&self, awaits_starts: bool) -> Vec<TargetId> {
        let awaits_starts = awaits_starts && !self.queued_jobs.is_empty();
        let is_in_use = |t: &&Target| awaits_starts || !t.runs.is_empty();
        self.targets.values().filter(is_in_use).map(|t| t.info.id.clone()).collect()
    }

    /// Forgets all targets but `kept`; the successor owns the others.
    pub fn retain_targets(&mut self, kept: &[TargetId]) {
        self.targets.retain(|id, _| kept.contains(id));
    }

    /// Sets the targets that a leaving predecessor still uses; they are not taken over.
    pub fn set_predecessor_targets(&mut self, kept: Vec<TargetId>, now: Moment) {
        if !self.predecessor_targets.is_empty() {
            // The predecessor may have renewed leases until now.
            self.sole_owner_since = now;
        }
        self.predecessor_targets = kept.into_iter().collect();
    }

    /// Iterates over the targets that a leaving predecessor still uses.
    pub fn predecessor_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.predecessor_targets.iter()
    }

    /// Abandons all jobs and forgets all targets, since another dispatcher owns them.
    pub fn abandon(&mut self) {
        let keys: Vec<SubmissionKey> = self.jobs.keys().copied().collect();
        for key in keys {
            self.abandon_job(key, "the dispatcher stepped down");
        }
        for deferred in std::mem::take(&mut self.deferred) {
            self.answer(&deferred.keys, deferred.submission.id, Outcome::Unknown);
        }
        self.targets.clear();
        self.orphaned_runs.clear();
        self.is_active = false;
    }

    /// Abandons all jobs and takes all targets over anew if the process was suspended.
    fn check_suspension(&mut self, now: Moment) {
        let gap = now - self.last_call_at;
        self.last_call_at = self.last_call_at.max(now);
        if gap <= self.timing.suspension_threshold {
            return;
        }
        self.log(LogEvent::Suspended { gap });
        let keys: Vec<SubmissionKey> = self.jobs.keys().copied().collect();
        for key in keys {
            self.abandon_job(key, "the process was suspended");
        }
        for target in self.targets.values_mut() {
            target.taken_over = false;
        }
        // Another dispatcher may have owned the targets meanwhile.
        self.sole_owner_since = now;
    }

    fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }

    fn run_request(&self, target: &Target, task: TaskId, run: RunNumber) -> RunRequest {
        RunRequest {
            target: target.info.id.clone(),
            address: target.info.address,
            fencing_token: self.fencing_token,
            task,
            run,
            timeout: self.rtt.timeout(),
        }
    }
}
