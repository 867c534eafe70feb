//! The decision core of one entry VM: jobs in, actions out.

use super::{
    action::{Action, Event, StartOrder},
    configuration::{ConfigRow, InForce},
    members::{MemberInfo, Members, Pulse},
    scheduler::{Assignment, Scheduler},
};
use crate::state::{
    id::{ConfigVersion, Incarnation, Issuer, JobId, JobNumber, TaskRef, VmName, WorkerName},
    job::{
        Answer, Digest, FailReason, Job, JobSpec, RefuseReason, StartResult, TaskReport, TaskState,
    },
    ledger::{ClosedEntry, ClosedLedger, Entry, Inherited, Shard, TagKey, TicketError, Tickets},
    loan::SlotCount,
    policy::Policy,
    pool::WorkerInfo,
    time::Moment,
    waste::{Totals, WasteKind},
};
use derive_more::{Display, Error, From};
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

/// Why a submission was turned down without being looked at as a job.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum SubmitError {
    /// The id can't be used.
    #[display("{_0}")]
    Ticket(TicketError),
    /// The team is not in the configuration.
    #[display("team {team} is not in the configuration")]
    #[from(skip)]
    UnknownTeam {
        /// The team.
        team: crate::state::id::TeamName,
    },
    /// Another job was submitted under this id.
    #[display("another job was submitted under this id")]
    #[from(skip)]
    Conflict,
}

/// What is known of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// Nothing was submitted under the id yet.
    Unspent,
    /// It is accepted; the answer will come as an action.
    Open,
    /// It is answered for good.
    Final(Arc<Answer>),
}

/// What an entry VM is doing, for status and metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Tasks that wait.
    pub queued: usize,
    /// Tasks handed to workers.
    pub running: usize,
    /// Slots that belong to this entry VM.
    pub owned: u32,
    /// Idle slots of its own.
    pub idle: u32,
    /// Slots borrowed from peers.
    pub borrowed: u32,
    /// Jobs without an answer.
    pub open_jobs: usize,
    /// Ids the ledger remembers.
    pub entries: usize,
    /// Workers set aside.
    pub set_aside: usize,
    /// Message totals.
    pub totals: Totals,
}

#[derive(Debug, Default)]
struct Watch {
    last: Moment,
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
///         core::{Core, Lookup},
///     },
///     state::{
///         id::ConfigVersion,
///         job::{JobSpec, StartResult, TaskSpec},
///         ledger::{TagKey, issuer},
///         policy::Policy,
///         pool::WorkerInfo,
///         time::Moment,
///     },
/// };
/// use std::sync::Arc;
///
/// let now = Moment::ZERO;
/// let issuer = issuer("hn-bactu", "bactu-1", 1).unwrap();
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
    tickets: Tickets,
    shards: Vec<Mutex<Shard>>,
    scheduler: Mutex<Scheduler>,
    members: Mutex<Members>,
    config: Mutex<InForce>,
    inherited: Mutex<Inherited>,
    dispatchers: Mutex<IndexSet<VmName>>,
    watch: Mutex<Watch>,
    leaving: AtomicBool,
}

impl Core {
    /// The core of `issuer`. `key` makes its ids unguessable, `seed` its random choices.
    pub fn new(issuer: Issuer, key: TagKey, policy: Policy, seed: u64) -> Self {
        let life = policy.ticket_life();
        let members = Members::new(&issuer);
        Core {
            scheduler: Mutex::new(Scheduler::new(issuer.vm.clone(), policy, seed)),
            tickets: Tickets::new(issuer, key, life),
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

    fn shard(&self, number: JobNumber) -> MutexGuard<'_, Shard> {
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
        shard.insert(id.number, job);
        drop(scheduler);
        drop(shard);
        self.dispatch(now, out);
        Ok(Lookup::Open)
    }

    fn admit(
        &self,
        now: Moment,
        scheduler: &mut Scheduler,
        spec: &JobSpec,
    ) -> Result<(), super::admission::Refusal> {
        if self.is_leaving() {
            let reason = RefuseReason::Leaving;
            return Err(super::admission::Refusal { reason, retry_after: Duration::ZERO });
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
                let refusal = super::admission::Refusal {
                    reason: RefuseReason::Cancelled,
                    retry_after: Duration::ZERO,
                };
                return Ok(close_refused(&mut shard, id.number, None, refusal, out));
            }
        }
        let reason = (RefuseReason::Cancelled, FailReason::Cancelled);
        let answer = self.give_up(now, &mut shard, id.number, reason, out);
        drop(shard);
        self.dispatch(now, out);
        answer.ok_or(TicketError::Foreign)
    }

    /// Closes an open job without all outputs: as not run if no task was started, else as failed.
    fn give_up(
        &self,
        now: Moment,
        shard: &mut Shard,
        number: JobNumber,
        (not_run, failed): (RefuseReason, FailReason),
        out: &mut Vec<Action>,
    ) -> Option<Arc<Answer>> {
        let job = shard.open(number)?;
        let answer = match job.any_started() {
            false => {
                let retry_after = self.scheduler.lock().come_back(not_run);
                let retry_after_ms = retry_after.as_millis() as u64;
                Answer::NotRun { reason: not_run, retry_after_ms }
            }
            true => Answer::Failed { reason: failed, tasks: job.reports(None) },
        };
        self.stop_running(now, job, number, out);
        Some(self.close(shard, number, answer, out))
    }

    /// Asks workers to stop what runs of a job, one message a worker, where that is worth it.
    fn stop_running(&self, now: Moment, job: &Job, number: JobNumber, out: &mut Vec<Action>) {
        let scheduler = self.scheduler.lock();
        let mut stops: IndexMap<WorkerName, Vec<TaskRef>> = IndexMap::new();
        for (index, worker) in job.running() {
            let task = TaskRef { number, index };
            if scheduler.is_worth_stopping(now, task) {
                stops.entry(worker.clone()).or_default().push(task);
            }
        }
        out.extend(stops.into_iter().map(|(worker, tasks)| Action::Stop { worker, tasks }));
    }

    fn close(
        &self,
        shard: &mut Shard,
        number: JobNumber,
        answer: Answer,
        out: &mut Vec<Action>,
    ) -> Arc<Answer> {
        let answer = Arc::new(answer);
        let digest = shard.open(number).map(|job| job.digest);
        if let Some(job) = shard.close(number, digest, Arc::clone(&answer)) {
            self.scheduler.lock().close(number, &job.spec, job.deadline, answer.bytes());
        }
        out.push(Action::Note(answer_event(number, &answer)));
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
        let job = shard.open(task.number);
        let Some(job) = job.filter(|job| is_running(job, task.index)) else {
            drop((scheduler, shard));
            return self.dispatch(now, out);
        };
        match result {
            StartResult::Done(output) => {
                drop(scheduler);
                job.tasks[task.index as usize] = TaskState::Done(output);
                job.unfinished -= 1;
                if let Some(outputs) = (job.unfinished == 0).then(|| job.outputs()).flatten() {
                    self.close(&mut shard, task.number, Answer::Complete { outputs }, out);
                }
            }
            StartResult::Refused | StartResult::NotSent => {
                job.tasks[task.index as usize] = TaskState::Queued;
                let worker = running.worker.clone();
                out.push(Action::Note(Event::NotStarted { task, worker }));
                scheduler.retry(now, job.accepted, running);
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
        shard: &mut Shard,
        task: TaskRef,
        reason: FailReason,
        report: TaskReport,
        out: &mut Vec<Action>,
    ) {
        let culprit = Some((task.index, report));
        if let Some(job) = shard.open(task.number) {
            // The culprit has ended, so it needs no stop.
            let answer = Answer::Failed { reason, tasks: job.reports(culprit) };
            job.tasks[task.index as usize] = TaskState::Queued;
            self.stop_running(now, job, task.number, out);
            self.close(shard, task.number, answer, out);
        }
    }

    /// Hands waiting tasks to free workers.
    fn dispatch(&self, now: Moment, out: &mut Vec<Action>) {
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
        let job = shard.open(task.number);
        let waits = |job: &&mut Job| job.tasks[task.index as usize] == TaskState::Queued;
        let Some(job) = job.filter(waits).filter(|job| now < job.deadline) else {
            self.scheduler.lock().release(task);
            return;
        };
        if now + expected > job.deadline && !job.any_started() {
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
        let gap = now - watch.last;
        watch.last = watch.last.max(now);
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
        let (oldest, _) = self.tickets.expire(now);
        let forgotten: usize = self.shards.iter().map(|shard| shard.lock().forget(oldest)).sum();
        self.scheduler.lock().forget_answers(forgotten);
        self.inherited.lock().forget(now, self.tickets.life());
        self.divide(now, out);
        self.share_quotas(now);
    }

    fn find_dispatchers(&self, now: Moment) -> IndexSet<VmName> {
        let count = self.scheduler.lock().policy.dispatchers as usize;
        self.members.lock().dispatchers(now, self.is_leaving(), count)
    }

    /// The dispatcher that ids for new jobs should come from, if it is not this entry VM.
    pub fn dispatcher(&self) -> Option<VmName> {
        let dispatchers = self.dispatchers.lock();
        match dispatchers.contains(&self.issuer().vm) {
            true => None,
            false => dispatchers.first().cloned(),
        }
    }

    /// Whether an entry VM of this zone dispatches to its workers.
    pub fn is_dispatcher(&self, vm: &VmName) -> bool {
        self.dispatchers.lock().contains(vm)
    }

    /// A peer's process has ended.
    pub fn lost(&self, now: Moment, peer: &VmName, out: &mut Vec<Action>) {
        self.members.lock().lost(peer);
        self.divide(now, out);
    }

    fn divide(&self, now: Moment, out: &mut Vec<Action>) {
        let members = self.find_dispatchers(now);
        let mut sharing = self.dispatchers.lock();
        if *sharing == members {
            return;
        }
        *sharing = members;
        let mut scheduler = self.scheduler.lock();
        scheduler.divide(&sharing);
        scheduler.lending.retain(|peer| sharing.contains(peer));
        let owned = scheduler.pool.owned();
        out.push(Action::Note(Event::Divided { dispatchers: sharing.len(), owned }));
        drop((scheduler, sharing));
        self.dispatch(now, out);
    }

    fn share_quotas(&self, now: Moment) {
        let members = self.members.lock();
        let mut scheduler = self.scheduler.lock();
        let teams: Vec<_> = scheduler.demand.keys().cloned().collect();
        let count = members.len() as f64;
        for team in teams {
            let own = f64::from(scheduler.demand[&team]) + 1.0;
            let all = own + members.demand_elsewhere(&team) + (count - 1.0);
            scheduler.share_quota(now, &team, own / all);
        }
    }

    /// Takes over the platform's list of workers of this zone.
    pub fn workers_listed(&self, now: Moment, list: &[WorkerInfo], out: &mut Vec<Action>) {
        let dispatchers = self.find_dispatchers(now);
        self.scheduler.lock().workers(list, &dispatchers);
        self.dispatch(now, out);
    }

    /// Takes over the platform's list of entry VMs.
    pub fn members_listed(&self, now: Moment, list: Vec<MemberInfo>, out: &mut Vec<Action>) {
        self.members.lock().list(list);
        self.divide(now, out);
    }

    /// A worker says itself that it is leaving.
    pub fn worker_leaving(&self, worker: &WorkerName) {
        self.scheduler.lock().worker_leaving(worker);
    }

    /// Learns from a peer's heartbeat. `held` is what it still holds of our slots, if it is in
    /// our zone.
    pub fn heard(
        &self,
        now: Moment,
        from: &VmName,
        incarnation: Incarnation,
        pulse: Pulse,
        held: &[SlotCount],
        out: &mut Vec<Action>,
    ) {
        let mut members = self.members.lock();
        let in_zone = members.zone_peers().any(|peer| peer.vm == *from);
        let idle = if pulse.leaving { 0 } else { pulse.idle };
        members.heard(now, from, incarnation, pulse);
        drop(members);
        if in_zone {
            let mut scheduler = self.scheduler.lock();
            scheduler.lending.idle_at(from, idle);
            scheduler.lending.lent.renew(now, from, held);
            drop(scheduler);
            self.divide(now, out);
        }
    }

    /// What this entry VM says of itself to `to`, and what it holds of `to`'s slots.
    pub fn pulse(&self, now: Moment, to: &VmName, demand: bool) -> (Pulse, Vec<SlotCount>) {
        let scheduler = self.scheduler.lock();
        let queued = scheduler.queue.len() as u32;
        let pulse = Pulse {
            queued,
            idle: if queued == 0 { scheduler.pool.idle(now) } else { 0 },
            leaving: self.is_leaving(),
            demand: demand.then(|| scheduler.demand.clone()),
        };
        (pulse, scheduler.lending.held.from(to))
    }

    /// Halves the counts of demand, so that they follow the present; called once per round
    /// of heartbeats that tell them.
    pub fn age_demand(&self) {
        let mut scheduler = self.scheduler.lock();
        scheduler.demand.values_mut().for_each(|tasks| *tasks /= 2);
        scheduler.demand.retain(|_, tasks| *tasks > 0);
    }

    /// Lends idle slots to a zone peer.
    pub fn lend(&self, now: Moment, to: &VmName, slots: u32) -> Vec<SlotCount> {
        match self.is_leaving() {
            true => Vec::new(),
            false => self.scheduler.lock().lend(now, to, slots),
        }
    }

    /// Takes in slots that a peer granted for a request made at `asked`.
    pub fn granted(
        &self,
        now: Moment,
        asked: Moment,
        lender: &VmName,
        grants: &[SlotCount],
        out: &mut Vec<Action>,
    ) {
        self.scheduler.lock().granted(asked, lender, grants);
        self.dispatch(now, out);
    }

    /// Takes back slots from a borrower.
    pub fn returned(&self, now: Moment, from: &VmName, slots: &[SlotCount], out: &mut Vec<Action>) {
        self.scheduler.lock().returned(from, slots);
        self.dispatch(now, out);
    }

    /// Counts a stop request and how many of its tasks had ended before it came.
    pub fn stopped(&self, late: u32) {
        let mut scheduler = self.scheduler.lock();
        scheduler.totals.message(crate::state::waste::MessageKind::Stop);
        if late > 0 {
            scheduler.totals.waste(WasteKind::LateStop);
        }
    }

    /// Offers a configuration row; only a higher version is taken over.
    pub fn offer_config(&self, row: ConfigRow, out: &mut Vec<Action>) -> bool {
        let mut config = self.config.lock();
        let version = row.version;
        if !config.offer(row) {
            return false;
        }
        self.scheduler.lock().configure(&config.row().document.configuration);
        out.push(Action::Note(Event::ConfigInForce { version }));
        true
    }

    /// The configuration row in force.
    pub fn config(&self) -> ConfigRow {
        self.config.lock().row().clone()
    }

    /// The version in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.lock().row().version
    }

    /// Takes no new jobs from now on; what is accepted is finished.
    pub fn leave(&self, now: Moment, out: &mut Vec<Action>) {
        if !self.leaving.swap(true, Ordering::SeqCst) {
            out.push(Action::Note(Event::Leaving));
            self.dispatch(now, out);
        }
    }

    /// Whether every accepted job has its answer.
    pub fn is_drained(&self) -> bool {
        let open = |entry: &Entry| matches!(entry, Entry::Open(_));
        !self.shards.iter().any(|shard| shard.lock().entries().any(|(_, entry)| open(entry)))
    }

    /// The closed ledger to hand over, and those inherited from others. Only a leaving entry VM
    /// whose jobs are all answered has one.
    pub fn close_ledger(&self, now: Moment) -> Option<Vec<ClosedLedger>> {
        if !self.is_leaving() || !self.is_drained() {
            return None;
        }
        let (oldest_live, next) = self.tickets.expire(now);
        let mut answers = IndexMap::new();
        for shard in &self.shards {
            for (number, entry) in shard.lock().entries() {
                if let Entry::Closed { digest, answer } = entry {
                    answers.insert(*number, (*digest, Arc::clone(answer)));
                }
            }
        }
        let own = ClosedLedger {
            issuer: self.issuer().clone(),
            key: self.tickets.key(),
            next,
            oldest_live,
            answers,
        };
        let mut ledgers = self.inherited.lock().take();
        ledgers.push(own);
        Some(ledgers)
    }

    /// Answers from now on for an entry VM that left.
    pub fn adopt(&self, now: Moment, ledger: ClosedLedger, out: &mut Vec<Action>) {
        out.push(Action::Note(Event::Inherited { vm: ledger.issuer.vm.clone() }));
        self.inherited.lock().adopt(now, ledger);
    }

    /// What is known of an id whose issuer has left and whose ledger is here; none if it is not.
    pub fn inherited(&self, id: &JobId) -> Option<Result<ClosedEntry, TicketError>> {
        self.inherited.lock().get(id.issuer.incarnation).map(|ledger| ledger.look_up(id))
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

    /// Figures for status and metrics.
    pub fn gauges(&self, now: Moment) -> Gauges {
        let mut gauges = Gauges::default();
        for shard in &self.shards {
            for (_, entry) in shard.lock().entries() {
                gauges.entries += 1;
                gauges.open_jobs += usize::from(matches!(entry, Entry::Open(_)));
            }
        }
        let scheduler = self.scheduler.lock();
        gauges.queued = scheduler.waiting();
        gauges.running = scheduler.running();
        gauges.owned = scheduler.pool.owned();
        gauges.idle = scheduler.pool.idle(now);
        gauges.borrowed = scheduler.lending.held.len();
        gauges.set_aside = scheduler.health.aside();
        gauges.totals = scheduler.totals;
        gauges
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
    shard: &mut Shard,
    number: JobNumber,
    digest: Option<Digest>,
    refusal: super::admission::Refusal,
    out: &mut Vec<Action>,
) -> Arc<Answer> {
    let retry_after_ms = refusal.retry_after.as_millis() as u64;
    let answer = Arc::new(Answer::NotRun { reason: refusal.reason, retry_after_ms });
    shard.close(number, digest, Arc::clone(&answer));
    out.push(Action::Note(answer_event(number, &answer)));
    answer
}

fn answer_event(job: JobNumber, answer: &Answer) -> Event {
    match answer {
        Answer::Complete { .. } => Event::Completed { job },
        Answer::Failed { reason, .. } => Event::Failed { job, reason: *reason },
        Answer::NotRun { reason, retry_after_ms } => {
            Event::Refused { job, reason: *reason, retry_after_ms: *retry_after_ms }
        }
    }
}
