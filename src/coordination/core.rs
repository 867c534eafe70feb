//! The decision core of one entry VM: jobs in, actions out.

use super::{
    action::{Action, Event, StartOrder},
    admission::Refusal,
    configuration::InForce,
    lookup::{Lookup, SubmitError},
    members::Members,
    scheduler::{Assignment, Scheduler},
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

/// Number of shards of the ledger.
const SHARDS: usize = 16;
/// Tasks assigned under one hold of the scheduler's lock.
const ASSIGN_BATCH: usize = 64;
/// A gap between two calls above this means that the process was not running.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// A start request that could not be written for this long after the decision is not written.
pub const START_STALE: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
pub(super) struct Watch {
    last: Option<Moment>,
    paused: bool,
}

/// The decision core of one entry VM.
///
/// All methods may be called from any thread. A shard's lock is taken before the scheduler's.
///
/// ```
/// use cranberrytray::{
///     coordination::{
///         action::Action,
///         configuration::{ConfigDocument, ConfigRow, Configuration},
///         core::Core,
///         lookup::Lookup,
///     },
///     state::{
///         id::ConfigVersion,
///         job::{JobSpec, StartResult, TaskSpec},
///         ledger::{TagKey, parse_issuer},
///         policy::Policy,
///         pool::WorkerInfo,
///         time::Moment,
///     },
/// };
/// use std::sync::Arc;
///
/// let now = Moment::ZERO;
/// let issuer = parse_issuer("hn-bactu", "bactu-1", 1).unwrap();
/// let core = Core::new(issuer, TagKey([7; 16]), Policy::default(), 1);
/// let mut out = Vec::new();
/// let configuration = Configuration::parse(br#"{ "teams": { "drafting": {} } }"#).unwrap();
/// let document = Arc::new(ConfigDocument { configuration, history: Vec::new() });
/// core.offer_config(ConfigRow { version: ConfigVersion(1), document }, &mut out);
/// let worker = WorkerInfo::new("w-1".parse().unwrap(), "127.0.0.1:7201");
/// core.workers_listed(now, &[worker], &mut out);
///
/// let id = core.issue(now, 1).remove(0);
/// let spec = JobSpec::new("drafting".parse().unwrap(), "summary".parse().unwrap())
///     .task(TaskSpec::new("clause 4"));
/// core.submit(now, &id, Arc::new(spec), &mut out).unwrap();
/// let start = out.iter().find_map(|action| match action {
///     Action::Start(order) => Some(order.task),
///     _ => None,
/// });
/// core.ended(now, start.unwrap(), StartResult::Done("good".to_owned()), &mut out);
/// assert!(matches!(core.get(now, &id), Ok(Lookup::Final(_))));
/// ```
#[derive(Debug)]
pub struct Core {
    pub(super) tickets: TicketIssuer,
    pub(super) shards: Vec<Mutex<LedgerShard>>,
    pub(super) scheduler: Mutex<Scheduler>,
    pub(super) members: Mutex<Members>,
    pub(super) config: Mutex<InForce>,
    pub(super) inherited: Mutex<InheritedLedgers>,
    pub(super) dispatchers: Mutex<IndexSet<VmName>>,
    watch: Mutex<Watch>,
    pub(super) leaving: AtomicBool,
}

impl Core {
    /// The core of `issuer`. `key` makes its ids unguessable, `seed` its random choices.
    pub fn new(issuer: Issuer, key: TagKey, policy: Policy, seed: u64) -> Self {
        let life = policy.ticket_life();
        let members = Members::new(&issuer);
        Core {
            scheduler: Mutex::new(Scheduler::new(issuer.vm.clone(), policy, seed)),
            tickets: TicketIssuer::new(issuer, key, life),
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            members: Mutex::new(members),
            config: Mutex::default(),
            inherited: Mutex::default(),
            dispatchers: Mutex::default(),
            watch: Mutex::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// The identity of this process.
    pub fn issuer(&self) -> &Issuer {
        self.tickets.issuer()
    }

    /// Whether this entry VM takes no new jobs.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    fn shard(&self, number: JobNumber) -> MutexGuard<'_, LedgerShard> {
        self.shards[number.0 as usize % SHARDS].lock()
    }

    /// Issues ids; none while leaving.
    pub fn issue(&self, now: Moment, count: u32) -> Vec<JobId> {
        match self.is_leaving() {
            true => Vec::new(),
            false => self.tickets.issue(now, count),
        }
    }

    /// Takes a job in, or joins an earlier submission of the same one.
    ///
    /// # Errors
    ///
    /// A [`SubmitError`]; nothing was started under this submission and the id is not used up.
    pub fn submit(
        &self,
        now: Moment,
        id: &JobId,
        spec: Arc<JobSpec>,
        out: &mut Vec<Action>,
    ) -> Result<Lookup, SubmitError> {
        self.observe(now, out);
        self.tickets.check(now, id)?;
        let digest = spec.digest();
        let mut shard = self.shard(id.number);
        if let Some(entry) = shard.get(id.number) {
            return joined(entry, digest);
        }
        let mut scheduler = self.scheduler.lock();
        if scheduler.rule(&spec.team).is_none() {
            return Err(SubmitError::UnknownTeam { team: spec.team.clone() });
        }
        if let Err(refusal) = self.admit(now, &mut scheduler, &spec) {
            let answer = close_refused(&mut shard, id.number, Some(digest), refusal, out);
            return Ok(Lookup::Final(answer));
        }
        let job = Job::new(Arc::clone(&spec), digest, now);
        scheduler.enqueue(now, id.number, &spec, job.deadline);
        out.push(Action::Note(Event::Accepted { job: id.number, tasks: spec.tasks.len() }));
        shard.insert_job(id.number, job);
        drop(scheduler);
        drop(shard);
        self.dispatch(now, out);
        Ok(Lookup::Open)
    }

    fn admit(&self, now: Moment, scheduler: &mut Scheduler, spec: &JobSpec) -> Result<(), Refusal> {
        if self.is_leaving() {
            let reason = RefuseReason::Leaving;
            return Err(Refusal { reason, retry_after: Duration::ZERO });
        }
        scheduler.admit(now, spec)
    }

    /// What is known of a job.
    ///
    /// # Errors
    ///
    /// A [`TicketError`] if the id can't be used.
    pub fn get(&self, now: Moment, id: &JobId) -> Result<Lookup, TicketError> {
        self.tickets.check(now, id)?;
        Ok(match self.shard(id.number).get(id.number) {
            None => Lookup::Unspent,
            Some(Entry::Open(_)) => Lookup::Open,
            Some(Entry::Closed { answer, .. }) => Lookup::Final(Arc::clone(answer)),
        })
    }

    /// Cancels a job; an id that was not submitted yet can't be submitted any more.
    ///
    /// # Errors
    ///
    /// A [`TicketError`] if the id can't be used.
    pub fn cancel(
        &self,
        now: Moment,
        id: &JobId,
        out: &mut Vec<Action>,
    ) -> Result<Arc<Answer>, TicketError> {
        self.observe(now, out);
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
        let answer = self.give_up(now, &mut shard, id.number, reason, out);
        drop(shard);
        self.dispatch(now, out);
        answer.ok_or(TicketError::NotIssued)
    }

    /// Closes an open job without all outputs: as not run if no task was started, else as failed.
    fn give_up(
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
                let retry_after = self.scheduler.lock().come_back(not_run);
                let retry_after_ms = retry_after.as_millis() as u64;
                Answer::NotRun { reason: not_run, retry_after_ms }
            }
            true => Answer::Failed { reason: failed, tasks: job.task_reports(None) },
        };
        self.stop_running(now, job, number, out);
        Some(self.close(shard, number, answer, out))
    }

    /// Asks workers to stop what runs of a job, one message a worker, where that is worth it.
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
            self.scheduler.lock().close(number, &job.spec, job.deadline, answer.output_bytes());
        }
        out.push(Action::Note(Event::of_answer(number, &answer)));
        out.push(Action::Answer { number, answer: Arc::clone(&answer) });
        answer
    }

    /// A start request has ended.
    pub fn ended(&self, now: Moment, task: TaskRef, result: StartResult, out: &mut Vec<Action>) {
        self.observe(now, out);
        let mut shard = self.shard(task.number);
        let mut scheduler = self.scheduler.lock();
        let Some(running) = scheduler.release(task) else {
            return;
        };
        scheduler.learn(now, &running, &result, out);
        let job = shard.open_job(task.number);
        let Some(job) = job.filter(|job| is_running(job, task.index)) else {
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
                out.push(Action::Note(Event::NotStarted { task, worker }));
                scheduler.retry(now, job.accepted_at, running);
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
        let culprit = Some((task.index, report));
        if let Some(job) = shard.open_job(task.number) {
            // The culprit has ended, so it needs no stop.
            let answer = Answer::Failed { reason, tasks: job.task_reports(culprit) };
            job.tasks[task.index as usize] = TaskState::Queued;
            self.stop_running(now, job, task.number, out);
            self.close(shard, task.number, answer, out);
        }
    }

    /// Hands waiting tasks to free workers.
    pub(super) fn dispatch(&self, now: Moment, out: &mut Vec<Action>) {
        self.observe(now, out);
        if self.watch.lock().paused {
            return;
        }
        loop {
            let assigned = self.scheduler.lock().assign(now, ASSIGN_BATCH);
            let last = assigned.len() < ASSIGN_BATCH;
            for assignment in assigned {
                self.start(now, assignment, out);
            }
            if last {
                break;
            }
        }
        self.scheduler.lock().borrow(now, out);
    }

    fn start(&self, now: Moment, assignment: Assignment, out: &mut Vec<Action>) {
        let Assignment { task, worker, expected } = assignment;
        let mut shard = self.shard(task.number);
        let job = shard.open_job(task.number);
        let waits = |job: &&mut Job| job.tasks[task.index as usize] == TaskState::Queued;
        let Some(job) = job.filter(waits).filter(|job| now < job.deadline) else {
            self.scheduler.lock().release(task);
            return;
        };
        if now + expected > job.deadline && !job.has_started_tasks() {
            self.scheduler.lock().release(task);
            let reason = (RefuseReason::ExpiredInQueue, FailReason::Deadline);
            self.give_up(now, &mut shard, task.number, reason, out);
            return;
        }
        job.tasks[task.index as usize] = TaskState::Started { worker: worker.clone(), at: now };
        let order = StartOrder {
            task,
            worker: worker.clone(),
            job: Arc::clone(&job.spec),
            not_after: job.deadline.min(now + START_STALE),
            deadline: job.deadline,
        };
        out.push(Action::Note(Event::Started { task, worker }));
        out.push(Action::Start(order));
    }

    /// Notices a gap in the calls: the process was frozen or starved.
    fn observe(&self, now: Moment, out: &mut Vec<Action>) {
        let mut watch = self.watch.lock();
        let gap = now - watch.last.unwrap_or(now);
        watch.last = watch.last.max(Some(now));
        if gap > PAUSE_LIMIT && !watch.paused {
            watch.paused = true;
            drop(watch);
            out.push(Action::Note(Event::Paused { ms: gap.as_millis() as u64 }));
            out.push(Action::Recheck);
            self.expire(now, out);
        }
    }

    /// Configuration and lists were read anew, as far as they could be.
    pub fn rechecked(&self, now: Moment, out: &mut Vec<Action>) {
        self.watch.lock().paused = false;
        self.tick(now, out);
    }

    /// Does what time alone brings about; to be called every few milliseconds.
    pub fn tick(&self, now: Moment, out: &mut Vec<Action>) {
        self.observe(now, out);
        self.expire(now, out);
        let mut scheduler = self.scheduler.lock();
        scheduler.undelay(now);
        scheduler.settle_loans(now, out);
        drop(scheduler);
        self.dispatch(now, out);
    }

    /// Answers jobs whose deadline has passed.
    fn expire(&self, now: Moment, out: &mut Vec<Action>) {
        let due = self.scheduler.lock().due(now);
        for number in due {
            let mut shard = self.shard(number);
            let reason = (RefuseReason::ExpiredInQueue, FailReason::Deadline);
            self.give_up(now, &mut shard, number, reason, out);
        }
    }

    /// Forgets what has expired and adapts to silent peers; to be called about once a second.
    pub fn sweep(&self, now: Moment, out: &mut Vec<Action>) {
        let (oldest, _) = self.tickets.remove_expired(now);
        let forgotten: usize =
            self.shards.iter().map(|shard| shard.lock().remove_closed(oldest)).sum();
        self.scheduler.lock().forget_answers(forgotten);
        self.inherited.lock().remove_expired(now, self.tickets.ttl());
        self.divide(now, out);
        self.share_quotas(now);
    }

    /// Counts a stop request and how many of its tasks had ended before it came.
    pub fn stopped(&self, late: u32) {
        let mut scheduler = self.scheduler.lock();
        scheduler.totals.count_message(MessageKind::Stop);
        if late > 0 {
            scheduler.totals.count_wasted(WasteKind::LateStop);
        }
    }

    /// Calls `f` with the membership.
    pub fn with_members<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&Members) -> T,
    {
        f(&self.members.lock())
    }

    /// Calls `f` with the scheduler, for tests and benchmarks that look inside.
    pub fn with_scheduler<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&Scheduler) -> T,
    {
        f(&self.scheduler.lock())
    }
}

fn joined(entry: &Entry, digest: Digest) -> Result<Lookup, SubmitError> {
    match entry {
        Entry::Open(job) if job.digest == digest => Ok(Lookup::Open),
        Entry::Closed { digest: known, answer } if known.is_none_or(|known| known == digest) => {
            Ok(Lookup::Final(Arc::clone(answer)))
        }
        _ => Err(SubmitError::Conflict),
    }
}

fn is_running(job: &Job, index: u32) -> bool {
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
    out.push(Action::Note(Event::of_answer(number, &answer)));
    answer
}
