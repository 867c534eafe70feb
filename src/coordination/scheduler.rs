//! Which task goes to which worker, and when. One scheduler serves all shards of an entry VM.

use super::{
    action::{Action, Event},
    configuration::{Configuration, TeamRule},
    lending::Lending,
};
use crate::state::{
    id::{JobNumber, JobType, TaskRef, TeamName, VmName, WorkerName},
    job::{JobSpec, Requirements, StartResult},
    message_counts::{MessageCounts, MessageKind, WasteKind},
    outlier::{EjectionChange, OutlierDetector},
    policy::{Policy, SlotSharing, WorkerChoice},
    pool::{Worker, WorkerInfo, WorkerPool},
    queue::{JobSize, QueuedTask, TaskQueue},
    run_time::RunTimeEstimator,
    time::Moment,
    token_bucket::TokenBucket,
};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeSet, time::Duration};

/// Retries that may be saved up.
const RETRY_LIMIT: f64 = 100.0;
/// Retries a second that are always allowed.
const RETRY_FLOOR: f64 = 5.0;
/// How long a task waits when the retry budget is used up.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Slots are kept for small jobs in full up to this expected wait, in seconds; behind longer
/// queues they would cost too much work, and their share falls to this part.
const EXPRESS_RANGE: (f64, f64) = (1.0, 0.1);

/// Expected seconds left to a task that justify a stop request where waste weighs most.
const WASTEFUL_STOP: f64 = 0.3;

/// Whose slot a task runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Slot {
    /// One of this entry VM.
    Own,
    /// One borrowed from a peer.
    Borrowed(VmName),
}

/// A task handed to a worker.
#[derive(Debug)]
pub struct Running {
    /// The worker.
    pub worker: WorkerName,
    /// Whose slot it uses.
    pub slot: Slot,
    /// When it was handed over.
    pub at: Moment,
    job_type: JobType,
    waiting: QueuedTask,
    team: TeamName,
}

/// A task and the worker chosen for it.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The task.
    pub task: TaskRef,
    /// The worker.
    pub worker: WorkerName,
    /// Expected run time there.
    pub expected: Duration,
}

/// The scheduler of one entry VM.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) policy: Policy,
    pub(super) queue: TaskQueue,
    pub(super) pool: WorkerPool,
    pub(super) speeds: RunTimeEstimator,
    pub(super) health: OutlierDetector,
    pub(super) lending: Lending,
    pub(super) totals: MessageCounts,
    pub(super) open_bytes: usize,
    /// Bytes of the answers that the ledger keeps.
    pub(super) kept_bytes: usize,
    pub(super) rng: SmallRng,
    pub(super) quotas: IndexMap<TeamName, TokenBucket>,
    pub(super) demand: IndexMap<TeamName, u32>,
    rules: IndexMap<TeamName, TeamRule>,
    running: IndexMap<TaskRef, Running>,
    delayed: Vec<(Moment, TeamName, JobType, QueuedTask)>,
    deadlines: BTreeSet<(Moment, JobNumber)>,
    retries: TokenBucket,
    cursor: usize,
    me: VmName,
}

impl Scheduler {
    /// A scheduler without workers or teams.
    pub fn new(me: VmName, policy: Policy, seed: u64) -> Self {
        Scheduler {
            queue: TaskQueue::default().first_come_first_served(!policy.fair),
            policy,
            pool: WorkerPool::default(),
            speeds: RunTimeEstimator::default(),
            health: OutlierDetector::default(),
            lending: Lending::default(),
            totals: MessageCounts::default(),
            open_bytes: 0,
            kept_bytes: 0,
            rng: SmallRng::seed_from_u64(seed),
            quotas: IndexMap::new(),
            demand: IndexMap::new(),
            rules: IndexMap::new(),
            running: IndexMap::new(),
            delayed: Vec::new(),
            deadlines: BTreeSet::new(),
            retries: TokenBucket::new(RETRY_FLOOR, RETRY_LIMIT),
            cursor: 0,
            me,
        }
    }

    /// Takes over the teams' rules.
    pub fn configure(&mut self, config: &Configuration) {
        self.rules = config.teams.clone();
        self.quotas.retain(|team, _| config.teams.contains_key(team));
    }

    /// The rule of a team, if the team is known.
    pub fn rule(&self, team: &TeamName) -> Option<&TeamRule> {
        self.rules.get(team)
    }

    /// Takes over a list of workers.
    pub fn workers(&mut self, list: &[WorkerInfo], members: &IndexSet<VmName>) {
        self.pool.update_workers(list);
        list.iter().for_each(|info| self.health.add_worker(&info.name));
        let pool = &self.pool;
        self.speeds.retain_workers(|name| pool.get(name).is_some());
        self.health.retain_workers(|name| pool.get(name).is_some());
        self.divide(members);
    }

    /// Divides the slots among the members of the zone.
    pub fn divide(&mut self, members: &IndexSet<VmName>) {
        match self.policy.sharing {
            SlotSharing::Everywhere => self.pool.own_all_slots(),
            SlotSharing::Divided | SlotSharing::Lending => {
                self.pool.divide_slots(&self.me, members)
            }
        }
    }

    /// Puts the tasks of an accepted job into the queue.
    pub fn enqueue(&mut self, now: Moment, number: JobNumber, spec: &JobSpec, deadline: Moment) {
        let weight = self.weight(&spec.team);
        let tasks: Vec<QueuedTask> = spec
            .tasks
            .iter()
            .enumerate()
            .map(|(index, task)| QueuedTask {
                task: TaskRef { number, index: index as u32 },
                expected_seconds: self.speeds.expected_seconds(&spec.job_type, task.declared_ms),
                declared_ms: task.declared_ms,
                job_deadline: spec.deadline(),
                requirements: task.requirements(),
            })
            .collect();
        self.queue.push(&spec.team, weight, &spec.job_type, now, &tasks);
        self.deadlines.insert((deadline, number));
        self.open_bytes += spec.payload_bytes();
    }

    pub(super) fn weight(&self, team: &TeamName) -> f64 {
        self.rules.get(team).map_or(1.0, |rule| rule.weight)
    }

    /// Drops what waits of a job that got its answer.
    pub fn close(
        &mut self,
        number: JobNumber,
        spec: &JobSpec,
        deadline: Moment,
        answer_bytes: usize,
    ) {
        self.kept_bytes += answer_bytes;
        self.queue.remove(number);
        self.delayed.retain(|(_, _, _, waiting)| waiting.task.number != number);
        self.deadlines.remove(&(deadline, number));
        self.open_bytes = self.open_bytes.saturating_sub(spec.payload_bytes());
    }

    /// Answers of so many bytes were forgotten.
    pub fn forget_answers(&mut self, bytes: usize) {
        self.kept_bytes = self.kept_bytes.saturating_sub(bytes);
    }

    /// Jobs whose deadline has passed.
    pub fn due(&self, now: Moment) -> Vec<JobNumber> {
        let passed = self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now);
        passed.map(|(_, number)| *number).collect()
    }

    /// Chooses workers for the next tasks, `limit` at most.
    pub fn assign(&mut self, now: Moment, limit: usize) -> Vec<Assignment> {
        let mut assigned = Vec::new();
        while assigned.len() < limit && !self.queue.is_empty() {
            let Some(assignment) = self.assign_one(now) else {
                break;
            };
            assigned.push(assignment);
        }
        assigned
    }

    fn assign_one(&mut self, now: Moment) -> Option<Assignment> {
        let borrowed: IndexMap<WorkerName, u32> = self
            .lending
            .held
            .idle_slots(now)
            .map(|(worker, slots)| (worker.clone(), slots))
            .collect();
        let wait = self.queue.queued_seconds() / self.capacity().max(1e-3);
        let (full, least) = EXPRESS_RANGE;
        let express_scale = (1.0 - (wait - full) / full).clamp(least, 1.0);
        let Scheduler { queue, pool, speeds, health, policy, rng, cursor, .. } = self;
        let borrowed = &borrowed;
        let mut chooser =
            Chooser { now, pool, speeds, health, borrowed, rng, cursor, express_scale };
        let (waiting, team, (worker, job_type)) = queue.pop(|need, size, job_type| {
            let worker = chooser.choose(policy, need, size)?;
            Some((worker, job_type.clone()))
        })?;
        let expected = waiting.expected_seconds * self.speeds.slowness(&worker);
        self.occupy(now, waiting, team, worker.clone(), job_type);
        let expected = Duration::from_secs_f64(expected.clamp(0.0, 1e6));
        Some(Assignment { task: waiting.task, worker, expected })
    }

    fn occupy(
        &mut self,
        now: Moment,
        waiting: QueuedTask,
        team: TeamName,
        worker: WorkerName,
        job_type: JobType,
    ) {
        let Some(entry) = self.pool.get_mut(&worker) else {
            return;
        };
        entry.running_tasks += 1;
        let slot = if entry.idle_slots() > 0 {
            entry.busy_slots += 1;
            Slot::Own
        } else {
            self.lending.held.start_task(now, &worker).map_or(Slot::Own, Slot::Borrowed)
        };
        self.totals.count_message(MessageKind::Start);
        self.retries.add(self.policy.retry_share);
        let running = Running { worker, slot, at: now, job_type, waiting, team };
        self.running.insert(waiting.task, running);
    }

    /// Frees the slot of a task.
    pub fn release(&mut self, task: TaskRef) -> Option<Running> {
        let running = self.running.swap_remove(&task)?;
        if let Some(worker) = self.pool.get_mut(&running.worker) {
            worker.running_tasks = worker.running_tasks.saturating_sub(1);
            if running.slot == Slot::Own {
                worker.busy_slots = worker.busy_slots.saturating_sub(1);
            }
        }
        if let Slot::Borrowed(lender) = &running.slot {
            self.lending.held.end_task(&running.worker, lender);
        }
        Some(running)
    }

    /// Learns from the end of a task.
    pub fn learn(
        &mut self,
        now: Moment,
        running: &Running,
        result: &StartResult,
        out: &mut Vec<Action>,
    ) {
        let worker = &running.worker;
        match result {
            StartResult::Done(_) => {
                let seconds = (now - running.at).as_secs_f64();
                let declared = running.waiting.declared_ms;
                self.speeds.observe(&running.job_type, declared, worker, seconds);
                self.took(worker);
                self.judge(now, worker, false, out);
            }
            StartResult::Failed(_) => {
                self.took(worker);
                self.judge(now, worker, true, out);
            }
            StartResult::Unknown => self.judge(now, worker, true, out),
            StartResult::Refused | StartResult::NotSent => {
                self.totals.count_wasted(WasteKind::RefusedStart);
                let jitter = self.rng.random();
                if let Some(worker) = self.pool.get_mut(worker) {
                    worker.back_off(now, jitter);
                }
            }
        }
    }

    fn took(&mut self, worker: &WorkerName) {
        if let Some(worker) = self.pool.get_mut(worker) {
            worker.reset_backoff();
        }
    }

    fn judge(&mut self, now: Moment, worker: &WorkerName, failed: bool, out: &mut Vec<Action>) {
        if !self.policy.set_aside {
            return;
        }
        let worker = worker.clone();
        match self.health.record_result(now, &worker, failed) {
            EjectionChange::Unchanged => {}
            EjectionChange::Ejected => out.push(Action::Note(Event::SetAside { worker })),
            EjectionChange::Restored => out.push(Action::Note(Event::Restored { worker })),
        }
    }

    /// Puts a task that was proved not started back into the queue, at once or after a while.
    pub fn retry(&mut self, now: Moment, arrived: Moment, running: Running) {
        let Running { team, job_type, waiting, .. } = running;
        if self.retries.try_take(now, 1.0) {
            let weight = self.weight(&team);
            self.queue.push(&team, weight, &job_type, arrived, &[waiting]);
        } else {
            self.delayed.push((now + RETRY_DELAY, team, job_type, waiting));
        }
    }

    /// Brings back tasks whose delay is over.
    pub fn undelay(&mut self, now: Moment) {
        let (due, later) = std::mem::take(&mut self.delayed).into_iter().partition(|d| d.0 <= now);
        self.delayed = later;
        let due: Vec<(Moment, TeamName, JobType, QueuedTask)> = due;
        for (at, team, job_type, waiting) in due {
            let weight = self.weight(&team);
            self.queue.push(&team, weight, &job_type, at, &[waiting]);
        }
    }

    /// A worker says that it is leaving.
    pub fn worker_leaving(&mut self, worker: &WorkerName) {
        if let Some(worker) = self.pool.get_mut(worker) {
            worker.reported_leaving = true;
        }
    }

    /// Whether a stop request is worth its message: it is wasted if the task ends before it. The
    /// more waste weighs, the more time the task must be expected to need still. One that is
    /// overdue may be stuck and is always worth it.
    pub fn is_worth_stopping(&self, now: Moment, task: TaskRef) -> bool {
        let Some(running) = self.running.get(&task) else { return false };
        let expected = running.waiting.expected_seconds * self.speeds.slowness(&running.worker);
        let left = expected - (now - running.at).as_secs_f64();
        left < 0.0 || left >= WASTEFUL_STOP * self.policy.waste_weight
    }

    /// Number of tasks handed to workers and not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Tasks that wait, delayed ones included.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.delayed.len()
    }
}

struct Chooser<'a> {
    now: Moment,
    pool: &'a WorkerPool,
    speeds: &'a RunTimeEstimator,
    health: &'a OutlierDetector,
    borrowed: &'a IndexMap<WorkerName, u32>,
    rng: &'a mut SmallRng,
    cursor: &'a mut usize,
    express_scale: f64,
}

impl Chooser<'_> {
    fn free(&self, worker: &Worker, need: Requirements) -> bool {
        let idle = worker.idle_slots() > 0 || self.borrowed.contains_key(&worker.info.name);
        idle && worker.accepts_tasks(self.now)
            && worker.info.satisfies(need)
            && self.health.can_take_task(self.now, &worker.info.name, worker.running_tasks)
    }

    fn choose(&mut self, policy: &Policy, need: Requirements, size: JobSize) -> Option<WorkerName> {
        if size == JobSize::Large && policy.express_share > 0.0 {
            return self.choose_past_express(policy, need);
        }
        let free = self.pool.iter().filter(|worker| self.free(worker, need));
        let best = match policy.choice {
            WorkerChoice::ExpectedFinish => free.min_by(|a, b| {
                let slowness = |worker: &Worker| self.speeds.slowness(&worker.info.name);
                slowness(a).total_cmp(&slowness(b))
            }),
            WorkerChoice::LeastOutstanding => free.min_by_key(|worker| worker.running_tasks),
            WorkerChoice::Random => {
                let free: Vec<_> = free.collect();
                match free.len() {
                    0 => None,
                    n => free.get(self.rng.random_range(0..n)).copied(),
                }
            }
            WorkerChoice::RoundRobin => {
                let free: Vec<_> = free.collect();
                *self.cursor = self.cursor.wrapping_add(1);
                match free.len() {
                    0 => None,
                    n => free.get(*self.cursor % n).copied(),
                }
            }
        };
        best.map(|worker| worker.info.name.clone())
    }

    /// The fastest free worker past the slots that are kept for small jobs, which are the fastest
    /// free ones.
    fn choose_past_express(&self, policy: &Policy, need: Requirements) -> Option<WorkerName> {
        let share = policy.express_share * self.express_scale;
        let mut kept = (f64::from(self.pool.owned_slots()) * share).round() as u32;
        let mut free: Vec<&Worker> =
            self.pool.iter().filter(|worker| self.free(worker, need)).collect();
        let slowness = |worker: &Worker| self.speeds.slowness(&worker.info.name);
        free.sort_by(|a, b| slowness(a).total_cmp(&slowness(b)));
        for worker in free {
            let borrowed = self.borrowed.get(&worker.info.name).copied().unwrap_or_default();
            let slots = worker.idle_slots() + borrowed;
            if slots > kept {
                return Some(worker.info.name.clone());
            }
            kept -= slots;
        }
        None
    }
}
