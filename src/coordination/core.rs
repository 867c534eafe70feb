//! The decision core of one entry VM: takes jobs and events, returns the actions to carry out.

use super::{
    action::{Action, Event, StartOrder},
    admission::Refusal,
    configuration::ActiveConfig,
    members::Members,
    scheduler::{Assignment, Scheduler},
    status::{JobStatus, SubmitError},
};
use crate::state::{
    id::{Issuer, JobId, JobNumber, TaskRef, VmName, WorkerName},
    job::{
        Answer, Digest, FailReason, Job, JobSpec, RefuseReason, StartResult, TaskReport, TaskState,
    },
    ledger::{Entry, InheritedLedgers, LedgerShard, TagKey, TicketError, TicketIssuer},
    message_counts::{MessageKind, WasteKind},
    policy::Policy,
    time::Moment,
};
use indexmap::{IndexMap, IndexSet};
use parking_lot::{Mutex, MutexGuard};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

const LEDGER_SHARDS: usize = 16;
/// Largest number of tasks assigned while the scheduler's lock is held once.
const ASSIGN_BATCH: usize = 64;
/// A gap between two calls above this means that the process was suspended or starved.
pub const MAX_CALL_GAP: Duration = Duration::from_secs(1);
/// A start request that is still unsent this long after the task was assigned is not sent.
pub const START_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
pub(super) struct PauseDetector {
    last_call: Option<Moment>,
    reload_pending: bool,
}

/// The decision core of one entry VM.
/// All methods may be called from any thread. A shard's lock is taken before the scheduler's.
///
/// ```
/// use cranberrytray::{
///     coordination::{
///         action::Action,
///         configuration::{ConfigDocument, ConfigRow, Configuration},
///         core::Core,
///         status::JobStatus,
///     },
///     state::{
///         id::ConfigVersion,
///         job::{JobSpec, StartResult, TaskSpec},
///         ledger::{TagKey, parse_issuer},
///         pool::WorkerInfo,
///         time::Moment,
///     },
/// };
/// let now = Moment::ZERO;
/// let issuer = parse_issuer("hn-bactu", "bactu-1", 1).unwrap();
/// let core = Core::new(issuer, TagKey([7; 16]), Default::default(), 1);
/// let mut out = Vec::new();
/// let configuration = Configuration::parse(br#"{ "teams": { "drafting": {} } }"#).unwrap();
/// let document = ConfigDocument { configuration, history: Vec::new() }.into();
/// core.replace_config_if_newer(ConfigRow { version: ConfigVersion(1), document }, &mut out);
/// let worker = WorkerInfo::new("w-1".parse().unwrap(), "127.0.0.1:7201");
/// core.on_worker_list(now, &[worker], &mut out);
/// let id = core.issue(now, 1).remove(0);
/// let spec = JobSpec::new("drafting".parse().unwrap(), "summary".parse().unwrap())
///     .task(TaskSpec::new("clause 4"));
/// core.submit(now, &id, spec.into(), &mut out).unwrap();
/// let start = out.iter().find_map(|action| match action {
///     Action::Start(order) => Some(order.task),
///     _ => None,
/// });
/// core.on_task_ended(now, start.unwrap(), StartResult::Done("good".to_owned()), &mut out);
/// assert!(matches!(core.get(now, &id), Ok(JobStatus::Final(_))));
/// ```
#[derive(Debug)]
pub struct Core {
    pub(super) tickets: TicketIssuer,
    pub(super) shards: Vec<Mutex<LedgerShard>>,
    pub(super) scheduler: Mutex<Scheduler>,
    pub(super) members: Mutex<Members>,
    pub(super) config: Mutex<ActiveConfig>,
    pub(super) inherited: Mutex<InheritedLedgers>,
    pub(super) dispatchers: Mutex<IndexSet<VmName>>,
    pause_detector: Mutex<PauseDetector>,
    pub(super) leaving: AtomicBool,
}

impl Core {
    /// Creates the core of `issuer`. `key` makes its ids unguessable, `seed` sets random choices.
    pub fn new(issuer: Issuer, key: TagKey, policy: Policy, seed: u64) -> Self {
        let ttl = policy.ticket_life();
        let members = Members::new(&issuer);
        Core {
            scheduler: Mutex::new(Scheduler::new(issuer.vm.clone(), policy, seed)),
            tickets: TicketIssuer::new(issuer, key, ttl),
            shards: (0..LEDGER_SHARDS).map(|_| Mutex::default()).collect(),
            members: Mutex::new(members),
            config: Mutex::default(),
            inherited: Mutex::default(),
            dispatchers: Mutex::default(),
            pause_detector: Mutex::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// The identity of this process, which is part of every id that it issues.
    pub fn issuer(&self) -> &Issuer {
        self.tickets.issuer()
    }

    /// Whether this entry VM is leaving and accepts no new jobs.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    fn shard(&self, number: JobNumber) -> MutexGuard<'_, LedgerShard> {
        self.shards[number.0 as usize % LEDGER_SHARDS].lock()
    }

    /// Issues `count` ids for new jobs, or none if this entry VM is leaving.
    pub fn issue(&self, now: Moment, count: u32) -> Vec<JobId> {
        match self.is_leaving() {
            true => Vec::new(),
            false => self.tickets.issue(now, count),
        }
    }

    /// Accepts or refuses a job. Another submission of the same job under its id starts nothing.
    ///
    /// # Errors
    ///
    /// A [`SubmitError`]: this submission started nothing and did not use up the id.
    pub fn submit(
        &self,
        now: Moment,
        id: &JobId,
        spec: Arc<JobSpec>,
        out: &mut Vec<Action>,
    ) -> Result<JobStatus, SubmitError> {
        self.detect_pause(now, out);
        self.tickets.check(now, id)?;
        let digest = spec.digest();
        let mut shard = self.shard(id.number);
        if let Some(entry) = shard.get(id.number) {
            return look_up_repeated(entry, digest);
        }
        let mut scheduler = self.scheduler.lock();
        if scheduler.team_settings(&spec.team).is_none() {
            return Err(SubmitError::UnknownTeam { team: spec.team.clone() });
        }
        if let Err(refusal) = self.admit(now, &mut scheduler, &spec) {
            let answer = close_refused(&mut shard, id.number, Some(digest), refusal, out);
            return Ok(JobStatus::Final(answer));
        }
        let job = Job::new(Arc::clone(&spec), digest, now);
        scheduler.enqueue(now, id.number, &spec, job.deadline);
        out.push(Action::Record(Event::Accepted { job: id.number, tasks: spec.tasks.len() }));
        shard.insert_job(id.number, job);
        drop(scheduler);
        drop(shard);
        self.dispatch(now, out);
        Ok(JobStatus::Open)
    }

    fn admit(&self, now: Moment, scheduler: &mut Scheduler, spec: &JobSpec) -> Result<(), Refusal> {
        if self.is_leaving() {
            let reason = RefuseReason::Leaving;
            return Err(Refusal { reason, retry_after: Duration::ZERO });
        }
        scheduler.admit(now, spec)
    }

    /// Returns what is known of a job.
    ///
    /// # Errors
    ///
    /// A [`TicketError`] if the id was not issued here or has expired.
    pub fn get(&self, now: Moment, id: &JobId) -> Result<JobStatus, TicketError> {
        self.tickets.check(now, id)?;
        Ok(match self.shard(id.number).get(id.number) {
            None => JobStatus::NotSubmitted,
            Some(Entry::Open(_)) => JobStatus::Open,
            Some(Entry::Closed { answer, .. }) => JobStatus::Final(Arc::clone(answer)),
        })
    }

    /// Cancels a job and returns its final answer. An id not submitted yet can't be used any more.
    ///
    /// # Errors
    ///
    /// A [`TicketError`] if the id was not issued here or has expired.
    pub fn cancel(
        &self,
        now: Moment,
        id: &JobId,
        out: &mut Vec<Action>,
    ) -> Result<Arc<Answer>, TicketError> {
        self.detect_pause(now, out);
        self.tickets.check(now, id)?;
        let mut shard = self.shard(id.number);
        match shard.get(id.number) {
            Some(Entry::Closed { answer, .. }) => return Ok(Arc::clone(answer)),
            Some(Entry::Open(_)) => {}
            None => {
                let refusal =
                    Refusal { reason: RefuseReason::Cancelled, retry_after: Duration::ZERO };
                return Ok(close_refused(&mut shard, id.number, None, refusal, out));
            }
        }
        let reason = (RefuseReason::Cancelled, FailReason::Cancelled);
        let answer = self.abort(now, &mut shard, id.number, reason, out);
        drop(shard);
        self.dispatch(now, out);
        answer.ok_or(TicketError::NotIssued)
    }

    /// Closes an open job without all outputs: as not run if no task was started, else as failed.
    fn abort(
        &self,
        now: Moment,
        shard: &mut LedgerShard,
        number: JobNumber,
        (not_run, failed): (RefuseReason, FailReason),
        out: &mut Vec<Action>,
    ) -> Option<Arc<Answer>> {
        let job = shard.open_job(number)?;
        let answer = match job.has_started_tasks() {
            false => {
                let retry_after = self.scheduler.lock().retry_after(not_run);
                let retry_after_ms = retry_after.as_millis() as u64;
                Answer::NotRun { reason: not_run, retry_after_ms }
            }
            true => Answer::Failed { reason: failed, tasks: job.task_reports(None) },
        };
        self.stop_running(now, job, number, out);
        Some(self.close(shard, number, answer, out))
    }

    /// Asks workers to stop a job's running tasks, except those expected to end soon.
    fn stop_running(&self, now: Moment, job: &Job, number: JobNumber, out: &mut Vec<Action>) {
        let scheduler = self.scheduler.lock();
        let mut stops: IndexMap<WorkerName, Vec<TaskRef>> = IndexMap::new();
        for (index, worker) in job.running_tasks() {
            let task = TaskRef { number, index };
            if scheduler.is_worth_stopping(now, task) {
                stops.entry(worker.clone()).or_default().push(task);
            }
        }
        out.extend(stops.into_iter().map(|(worker, tasks)| Action::Stop { worker, tasks }));
    }

    fn close(
        &self,
        shard: &mut LedgerShard,
        number: JobNumber,
        answer: Answer,
        out: &mut Vec<Action>,
    ) -> Arc<Answer> {
        let answer = Arc::new(answer);
        let digest = shard.open_job(number).map(|job| job.digest);
        if let Some(job) = shard.close_job(number, digest, Arc::clone(&answer)) {
            self.scheduler.lock().close_job(number, &job.spec, job.deadline, answer.output_bytes());
        }
        out.push(Action::Record(Event::from_answer(number, &answer)));
        out.push(Action::Answer { number, answer: Arc::clone(&answer) });
        answer
    }

    /// Handles the result of a start request. A second result for the same start is ignored.
    pub fn on_task_ended(
        &self,
        now: Moment,
        task: TaskRef,
        result: StartResult,
        out: &mut Vec<Action>,
    ) {
        self.detect_pause(now, out);
        let mut shard = self.shard(task.number);
        let mut scheduler = self.scheduler.lock();
        let Some(running) = scheduler.release(task) else {
            return;
        };
        scheduler.record_result(now, &running, &result, out);
        let job = shard.open_job(task.number);
        let Some(job) = job.filter(|job| is_task_started(job, task.index)) else {
            drop((scheduler, shard));
            return self.dispatch(now, out);
        };
        match result {
            StartResult::Done(output) => {
                drop(scheduler);
                job.tasks[task.index as usize] = TaskState::Done(output);
                job.unfinished_tasks -= 1;
                if let Some(outputs) = (job.unfinished_tasks == 0).then(|| job.outputs()).flatten()
                {
                    self.close(&mut shard, task.number, Answer::Complete { outputs }, out);
                }
            }
            StartResult::Refused | StartResult::NotSent => {
                job.tasks[task.index as usize] = TaskState::Queued;
                let worker = running.worker.clone();
                out.push(Action::Record(Event::NotStarted { task, worker }));
                scheduler.requeue(now, job.accepted_at, running);
                drop(scheduler);
            }
            StartResult::Failed(message) => {
                drop(scheduler);
                let report = TaskReport::Failed { message };
                self.fail(now, &mut shard, task, FailReason::TaskFailed, report, out);
            }
            StartResult::Unknown => {
                drop(scheduler);
                let report = TaskReport::Unknown;
                self.fail(now, &mut shard, task, FailReason::TaskUnknown, report, out);
            }
        }
        drop(shard);
        self.dispatch(now, out);
    }

    fn fail(
        &self,
        now: Moment,
        shard: &mut LedgerShard,
        task: TaskRef,
        reason: FailReason,
        report: TaskReport,
        out: &mut Vec<Action>,
    ) {
        let failed_task = Some((task.index, report));
        if let Some(job) = shard.open_job(task.number) {
            let answer = Answer::Failed { reason, tasks: job.task_reports(failed_task) };
            // The failed task has ended: in this state it gets no stop request.
            job.tasks[task.index as usize] = TaskState::Queued;
            self.stop_running(now, job, task.number, out);
            self.close(shard, task.number, answer, out);
        }
    }

    /// Starts queued tasks on free workers, and asks peers for slots if tasks remain queued.
    pub(super) fn dispatch(&self, now: Moment, out: &mut Vec<Action>) {
        self.detect_pause(now, out);
        if self.pause_detector.lock().reload_pending {
            return;
        }
        loop {
            let assigned = self.scheduler.lock().assign(now, ASSIGN_BATCH);
            let is_last_batch = assigned.len() < ASSIGN_BATCH;
            for assignment in assigned {
                self.start(now, assignment, out);
            }
            if is_last_batch {
                break;
            }
        }
        self.scheduler.lock().borrow(now, out);
    }

    /// Starts an assigned task, or closes its job if that has not begun and would end too late.
    fn start(&self, now: Moment, assignment: Assignment, out: &mut Vec<Action>) {
        let Assignment { task, worker, expected } = assignment;
        let mut shard = self.shard(task.number);
        let job = shard.open_job(task.number);
        let is_queued = |job: &&mut Job| job.tasks[task.index as usize] == TaskState::Queued;
        let Some(job) = job.filter(is_queued).filter(|job| now < job.deadline) else {
            self.scheduler.lock().release(task);
            return;
        };
        if now + expected > job.deadline && !job.has_started_tasks() {
            self.scheduler.lock().release(task);
            let reason = (RefuseReason::ExpiredInQueue, FailReason::Deadline);
            self.abort(now, &mut shard, task.number, reason, out);
            return;
        }
        job.tasks[task.index as usize] = TaskState::Started { worker: worker.clone(), at: now };
        let order = StartOrder {
            task,
            worker: worker.clone(),
            job: Arc::clone(&job.spec),
            not_after: job.deadline.min(now + START_WRITE_TIMEOUT),
            deadline: job.deadline,
        };
        out.push(Action::Record(Event::Started { task, worker }));
        out.push(Action::Start(order));
    }

    /// Stops starting tasks after a gap since the last call, until [`Core::on_reloaded`] is called.
    fn detect_pause(&self, now: Moment, out: &mut Vec<Action>) {
        let mut detector = self.pause_detector.lock();
        let gap = now - detector.last_call.unwrap_or(now);
        detector.last_call = detector.last_call.max(Some(now));
        if gap > MAX_CALL_GAP && !detector.reload_pending {
            detector.reload_pending = true;
            drop(detector);
            out.push(Action::Record(Event::ProcessPaused { ms: gap.as_millis() as u64 }));
            out.push(Action::Reload);
            self.expire_jobs(now, out);
        }
    }

    /// Starts tasks again after a pause, once configuration and lists were read or reading failed.
    pub fn on_reloaded(&self, now: Moment, out: &mut Vec<Action>) {
        self.pause_detector.lock().reload_pending = false;
        self.tick(now, out);
    }

    /// Expires jobs, delays and loans, and starts tasks; to be called every few milliseconds.
    pub fn tick(&self, now: Moment, out: &mut Vec<Action>) {
        self.detect_pause(now, out);
        self.expire_jobs(now, out);
        let mut scheduler = self.scheduler.lock();
        scheduler.requeue_delayed(now);
        scheduler.expire_loans(now, out);
        drop(scheduler);
        self.dispatch(now, out);
    }

    fn expire_jobs(&self, now: Moment, out: &mut Vec<Action>) {
        let expired = self.scheduler.lock().expired_jobs(now);
        for number in expired {
            let mut shard = self.shard(number);
            let reason = (RefuseReason::ExpiredInQueue, FailReason::Deadline);
            self.abort(now, &mut shard, number, reason, out);
        }
    }

    /// Removes expired ids, divides slots and quotas again; to be called about once a second.
    pub fn sweep(&self, now: Moment, out: &mut Vec<Action>) {
        let (oldest_live, _) = self.tickets.remove_expired(now);
        let bytes: usize = self.shards.iter().map(|s| s.lock().remove_closed(oldest_live)).sum();
        self.scheduler.lock().forget_answers(bytes);
        self.inherited.lock().remove_expired(now, self.tickets.ttl());
        self.divide_slots(now, out);
        self.share_quotas(now);
    }

    /// Counts a stop request. It also counts as wasted if `late_tasks`, the number of its tasks
    /// that had ended before it arrived, is above 0.
    pub fn on_stop_reply(&self, late_tasks: u32) {
        let mut scheduler = self.scheduler.lock();
        scheduler.totals.count_message(MessageKind::Stop);
        if late_tasks > 0 {
            scheduler.totals.count_wasted(WasteKind::LateStop);
        }
    }

    /// Calls `f` with the membership, while its lock is held.
    pub fn with_members<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&Members) -> T,
    {
        f(&self.members.lock())
    }

    /// Calls `f` with the scheduler, while its lock is held; for tests and benchmarks.
    pub fn with_scheduler<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&Scheduler) -> T,
    {
        f(&self.scheduler.lock())
    }
}

fn look_up_repeated(entry: &Entry, digest: Digest) -> Result<JobStatus, SubmitError> {
    match entry {
        Entry::Open(job) if job.digest == digest => Ok(JobStatus::Open),
        Entry::Closed { digest: first, answer } if first.is_none_or(|first| first == digest) => {
            Ok(JobStatus::Final(Arc::clone(answer)))
        }
        _ => Err(SubmitError::Conflict),
    }
}

fn is_task_started(job: &Job, index: u32) -> bool {
    matches!(job.tasks[index as usize], TaskState::Started { .. })
}

fn close_refused(
    shard: &mut LedgerShard,
    number: JobNumber,
    digest: Option<Digest>,
    refusal: Refusal,
    out: &mut Vec<Action>,
) -> Arc<Answer> {
    let retry_after_ms = refusal.retry_after.as_millis() as u64;
    let answer = Arc::new(Answer::NotRun { reason: refusal.reason, retry_after_ms });
    shard.close_job(number, digest, Arc::clone(&answer));
    out.push(Action::Record(Event::from_answer(number, &answer)));
    answer
}
