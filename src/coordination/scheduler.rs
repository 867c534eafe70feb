//! Assigns tasks to workers. One scheduler serves all shards of the ledger of an entry VM.

use super::{
    action::{Action, Event},
    configuration::{Configuration, TeamSettings},
    lending::Loans,
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

/// Largest number of unused retries that the retry budget holds.
const RETRY_BUDGET_LIMIT: f64 = 100.0;
/// Retries a second that the retry budget allows, beyond the policy's share of starts.
const RETRY_BUDGET_RATE: f64 = 5.0;
/// How long a task waits before it is queued again when the retry budget is used up.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Decay of the policy's `express_share`, the share of slots kept for small jobs: the longest
/// expected wait, in seconds, at which it is kept in full, and the smallest factor applied to it.
/// Behind longer queues the idle slots would cost too much throughput, so the factor falls
/// linearly with the wait.
const EXPRESS_SHARE_DECAY: (f64, f64) = (1.0, 0.1);

/// Shortest expected remaining run time for which a task is stopped at a waste weight of 1; it is
/// multiplied by the waste weight.
const MIN_REMAINING_TO_STOP_SECONDS: f64 = 0.3;

/// Owner of the slot that a task runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Slot {
    /// The slot belongs to this entry VM.
    Own,
    /// The slot is borrowed from this peer.
    Borrowed(VmName),
}

/// A task that was assigned to a worker and has no result yet.
#[derive(Debug)]
pub struct RunningTask {
    /// Worker that the task was assigned to.
    pub worker: WorkerName,
    /// Owner of the slot that it uses.
    pub slot: Slot,
    /// Moment at which the task was assigned.
    pub started_at: Moment,
    job_type: JobType,
    queued: QueuedTask,
    team: TeamName,
}

/// A task with the worker chosen for it.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Task to start.
    pub task: TaskRef,
    /// Worker chosen for the task.
    pub worker: WorkerName,
    /// Expected run time of the task on this worker.
    pub expected: Duration,
}

/// The scheduler of one entry VM.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) policy: Policy,
    pub(super) queue: TaskQueue,
    pub(super) pool: WorkerPool,
    pub(super) estimator: RunTimeEstimator,
    pub(super) outliers: OutlierDetector,
    pub(super) loans: Loans,
    pub(super) totals: MessageCounts,
    /// Bytes of the input of all open jobs.
    pub(super) open_bytes: usize,
    /// Bytes of the answers that the ledger keeps.
    pub(super) kept_bytes: usize,
    pub(super) rng: SmallRng,
    /// This entry VM's shares of the teams' quotas.
    pub(super) quotas: IndexMap<TeamName, TokenBucket>,
    /// Recently submitted tasks by team, accepted or not; halved by `Core::decay_demand`.
    pub(super) demand: IndexMap<TeamName, u32>,
    teams: IndexMap<TeamName, TeamSettings>,
    running: IndexMap<TaskRef, RunningTask>,
    /// Tasks to queue again at the given moment, since the retry budget was used up.
    delayed: Vec<(Moment, TeamName, JobType, QueuedTask)>,
    /// Deadlines of the open jobs.
    deadlines: BTreeSet<(Moment, JobNumber)>,
    retry_budget: TokenBucket,
    /// Number of round-robin choices so far, from which the next worker's position follows.
    round_robin: usize,
    own_vm: VmName,
}

impl Scheduler {
    /// Creates a scheduler without workers and teams. `seed` determines its random choices.
    pub fn new(own_vm: VmName, policy: Policy, seed: u64) -> Self {
        Scheduler {
            queue: TaskQueue::default().first_come_first_served(!policy.fair),
            policy,
            pool: WorkerPool::default(),
            estimator: RunTimeEstimator::default(),
            outliers: OutlierDetector::default(),
            loans: Loans::default(),
            totals: MessageCounts::default(),
            open_bytes: 0,
            kept_bytes: 0,
            rng: SmallRng::seed_from_u64(seed),
            quotas: IndexMap::new(),
            demand: IndexMap::new(),
            teams: IndexMap::new(),
            running: IndexMap::new(),
            delayed: Vec::new(),
            deadlines: BTreeSet::new(),
            retry_budget: TokenBucket::new(RETRY_BUDGET_RATE, RETRY_BUDGET_LIMIT),
            round_robin: 0,
            own_vm,
        }
    }

    /// Replaces the settings of all teams.
    pub fn configure(&mut self, config: &Configuration) {
        self.teams = config.teams.clone();
        self.quotas.retain(|team, _| config.teams.contains_key(team));
    }

    /// The settings of a team, or `None` if it is not in the configuration.
    pub fn team_settings(&self, team: &TeamName) -> Option<&TeamSettings> {
        self.teams.get(team)
    }

    /// Replaces the list of workers, whose slots are divided among `dispatchers`.
    pub fn update_workers(&mut self, list: &[WorkerInfo], dispatchers: &IndexSet<VmName>) {
        self.pool.update_workers(list);
        list.iter().for_each(|info| self.outliers.add_worker(&info.name));
        let pool = &self.pool;
        self.estimator.retain_workers(|name| pool.get(name).is_some());
        self.outliers.retain_workers(|name| pool.get(name).is_some());
        self.divide_slots(dispatchers);
    }

    /// Divides the slots of all workers among the zone's `dispatchers`.
    pub fn divide_slots(&mut self, dispatchers: &IndexSet<VmName>) {
        match self.policy.sharing {
            SlotSharing::Everywhere => self.pool.own_all_slots(),
            SlotSharing::Divided | SlotSharing::Lending => {
                self.pool.divide_slots(&self.own_vm, dispatchers)
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
                expected_seconds: self.estimator.expected_seconds(&spec.job_type, task.declared_ms),
                declared_ms: task.declared_ms,
                job_deadline: spec.deadline(),
                requirements: task.requirements(),
            })
            .collect();
        self.queue.push(&spec.team, weight, &spec.job_type, now, &tasks);
        self.deadlines.insert((deadline, number));
        self.open_bytes += spec.payload_bytes();
    }

    /// A team's weight in fair sharing; 1 if the team is not in the configuration.
    pub(super) fn weight(&self, team: &TeamName) -> f64 {
        self.teams.get(team).map_or(1.0, |settings| settings.weight)
    }

    /// Removes the queued tasks and the deadline of a job that got its answer. `answer_bytes` is
    /// the size of the answer, which the ledger keeps.
    pub fn close_job(
        &mut self,
        number: JobNumber,
        spec: &JobSpec,
        deadline: Moment,
        answer_bytes: usize,
    ) {
        self.kept_bytes += answer_bytes;
        self.queue.remove(number);
        self.delayed.retain(|(_, _, _, queued)| queued.task.number != number);
        self.deadlines.remove(&(deadline, number));
        self.open_bytes = self.open_bytes.saturating_sub(spec.payload_bytes());
    }

    /// Subtracts `bytes`, the total size of answers that the ledger no longer keeps.
    pub fn forget_answers(&mut self, bytes: usize) {
        self.kept_bytes = self.kept_bytes.saturating_sub(bytes);
    }

    /// Open jobs whose deadline has passed, in order of deadlines.
    pub fn expired_jobs(&self, now: Moment) -> Vec<JobNumber> {
        let passed = self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now);
        passed.map(|(_, number)| *number).collect()
    }

    /// Assigns queued tasks to free workers, at most `limit` tasks. Fewer are returned if no more
    /// tasks are queued or no free worker can run one.
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

    /// Assigns the next queued task for which a worker is free.
    fn assign_one(&mut self, now: Moment) -> Option<Assignment> {
        let borrowed: IndexMap<WorkerName, u32> = self
            .loans
            .borrowed
            .idle_slots(now)
            .map(|(worker, slots)| (worker.clone(), slots))
            .collect();
        let wait = self.queue.queued_seconds() / self.capacity().max(1e-3);
        let (full_up_to, min_scale) = EXPRESS_SHARE_DECAY;
        let express_scale = (1.0 - (wait - full_up_to) / full_up_to).clamp(min_scale, 1.0);
        let Scheduler { queue, pool, estimator, outliers, policy, rng, round_robin, .. } = self;
        let borrowed = &borrowed;
        let mut chooser = WorkerChooser {
            now,
            pool,
            estimator,
            outliers,
            borrowed,
            rng,
            round_robin,
            express_scale,
        };
        let (queued, team, (worker, job_type)) = queue.pop(|need, size, job_type| {
            let worker = chooser.choose(policy, need, size)?;
            Some((worker, job_type.clone()))
        })?;
        let expected = queued.expected_seconds * self.estimator.slowness(&worker);
        self.occupy(now, queued, team, worker.clone(), job_type);
        let expected = Duration::from_secs_f64(expected.clamp(0.0, 1e6));
        Some(Assignment { task: queued.task, worker, expected })
    }

    /// Occupies a slot of the worker: an owned one if one is idle, else a borrowed one.
    fn occupy(
        &mut self,
        now: Moment,
        queued: QueuedTask,
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
            self.loans.borrowed.start_task(now, &worker).map_or(Slot::Own, Slot::Borrowed)
        };
        self.totals.count_message(MessageKind::Start);
        self.retry_budget.add(self.policy.retry_share);
        let running = RunningTask { worker, slot, started_at: now, job_type, queued, team };
        self.running.insert(queued.task, running);
    }

    /// Frees the slot of a task. `None` if the task has no slot, as when its result arrives twice.
    pub fn release(&mut self, task: TaskRef) -> Option<RunningTask> {
        let running = self.running.swap_remove(&task)?;
        if let Some(worker) = self.pool.get_mut(&running.worker) {
            worker.running_tasks = worker.running_tasks.saturating_sub(1);
            if running.slot == Slot::Own {
                worker.busy_slots = worker.busy_slots.saturating_sub(1);
            }
        }
        if let Slot::Borrowed(lender) = &running.slot {
            self.loans.borrowed.end_task(&running.worker, lender);
        }
        Some(running)
    }

    /// Updates run time estimates and the worker's state from the result of a start request.
    pub fn record_result(
        &mut self,
        now: Moment,
        running: &RunningTask,
        result: &StartResult,
        out: &mut Vec<Action>,
    ) {
        let worker = &running.worker;
        match result {
            StartResult::Done(_) => {
                let seconds = (now - running.started_at).as_secs_f64();
                let declared = running.queued.declared_ms;
                self.estimator.observe(&running.job_type, declared, worker, seconds);
                self.reset_backoff(worker);
                self.update_ejection(now, worker, false, out);
            }
            StartResult::Failed(_) => {
                self.reset_backoff(worker);
                self.update_ejection(now, worker, true, out);
            }
            StartResult::Unknown => self.update_ejection(now, worker, true, out),
            StartResult::Refused | StartResult::NotSent => {
                self.totals.count_wasted(WasteKind::RefusedStart);
                let jitter = self.rng.random();
                if let Some(worker) = self.pool.get_mut(worker) {
                    worker.back_off(now, jitter);
                }
            }
        }
    }

    /// Ends the back-off of a worker that has accepted a task.
    fn reset_backoff(&mut self, worker: &WorkerName) {
        if let Some(worker) = self.pool.get_mut(worker) {
            worker.reset_backoff();
        }
    }

    /// Counts a result of a worker, and records whether the worker is ejected or restored by it.
    fn update_ejection(
        &mut self,
        now: Moment,
        worker: &WorkerName,
        failed: bool,
        out: &mut Vec<Action>,
    ) {
        if !self.policy.set_aside {
            return;
        }
        let worker = worker.clone();
        match self.outliers.record_result(now, &worker, failed) {
            EjectionChange::Unchanged => {}
            EjectionChange::Ejected => out.push(Action::Record(Event::Ejected { worker })),
            EjectionChange::Restored => out.push(Action::Record(Event::Restored { worker })),
        }
    }

    /// Queues a task again whose start request certainly started nothing: at once, or after
    /// `RETRY_DELAY` if the retry budget is used up. `accepted_at` is when its job was accepted.
    pub fn requeue(&mut self, now: Moment, accepted_at: Moment, running: RunningTask) {
        let RunningTask { team, job_type, queued, .. } = running;
        if self.retry_budget.try_take(now, 1.0) {
            let weight = self.weight(&team);
            self.queue.push(&team, weight, &job_type, accepted_at, &[queued]);
        } else {
            self.delayed.push((now + RETRY_DELAY, team, job_type, queued));
        }
    }

    /// Queues those delayed tasks again whose delay is over.
    pub fn requeue_delayed(&mut self, now: Moment) {
        let (due, rest) = std::mem::take(&mut self.delayed).into_iter().partition(|d| d.0 <= now);
        self.delayed = rest;
        let due: Vec<(Moment, TeamName, JobType, QueuedTask)> = due;
        for (at, team, job_type, queued) in due {
            let weight = self.weight(&team);
            self.queue.push(&team, weight, &job_type, at, &[queued]);
        }
    }

    /// Marks a worker as leaving, as it reported itself; it gets no more tasks.
    pub fn on_worker_leaving(&mut self, worker: &WorkerName) {
        if let Some(worker) = self.pool.get_mut(worker) {
            worker.reported_leaving = true;
        }
    }

    /// Whether a task should get a stop request, which is wasted if the task ends before it
    /// arrives. The higher the waste weight, the longer the remaining run time must be. A task that
    /// is overdue may be stuck and always gets one.
    pub fn is_worth_stopping(&self, now: Moment, task: TaskRef) -> bool {
        let Some(running) = self.running.get(&task) else { return false };
        let expected = running.queued.expected_seconds * self.estimator.slowness(&running.worker);
        let remaining = expected - (now - running.started_at).as_secs_f64();
        remaining < 0.0 || remaining >= MIN_REMAINING_TO_STOP_SECONDS * self.policy.waste_weight
    }

    /// Number of tasks that were assigned to workers and have no result yet.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued tasks, those whose retry is delayed included.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.delayed.len()
    }
}

/// Chooses workers for tasks, by the policy.
struct WorkerChooser<'a> {
    now: Moment,
    pool: &'a WorkerPool,
    estimator: &'a RunTimeEstimator,
    outliers: &'a OutlierDetector,
    /// Idle borrowed slots by worker.
    borrowed: &'a IndexMap<WorkerName, u32>,
    rng: &'a mut SmallRng,
    round_robin: &'a mut usize,
    /// Part of the policy's share of slots for small jobs that is kept at the present wait.
    express_scale: f64,
}

impl WorkerChooser<'_> {
    /// Whether a worker meets a task's requirements and has an idle slot, owned or borrowed.
    fn is_free(&self, worker: &Worker, need: Requirements) -> bool {
        let has_slot = worker.idle_slots() > 0 || self.borrowed.contains_key(&worker.info.name);
        has_slot
            && worker.accepts_tasks(self.now)
            && worker.info.satisfies(need)
            && self.outliers.can_take_task(self.now, &worker.info.name, worker.running_tasks)
    }

    /// The worker for a task of a job of this size, or `None` if none is free.
    fn choose(&mut self, policy: &Policy, need: Requirements, size: JobSize) -> Option<WorkerName> {
        if size == JobSize::Large && policy.express_share > 0.0 {
            return self.choose_beyond_express(policy, need);
        }
        let free = self.pool.iter().filter(|worker| self.is_free(worker, need));
        let best = match policy.choice {
            WorkerChoice::ExpectedFinish => free.min_by(|a, b| {
                let slowness = |worker: &Worker| self.estimator.slowness(&worker.info.name);
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
                *self.round_robin = self.round_robin.wrapping_add(1);
                match free.len() {
                    0 => None,
                    n => free.get(*self.round_robin % n).copied(),
                }
            }
        };
        best.map(|worker| worker.info.name.clone())
    }

    /// The fastest free worker beyond the slots that are kept for small jobs, which are the slots
    /// of the fastest free workers.
    fn choose_beyond_express(&self, policy: &Policy, need: Requirements) -> Option<WorkerName> {
        let share = policy.express_share * self.express_scale;
        let mut kept = (f64::from(self.pool.owned_slots()) * share).round() as u32;
        let mut free: Vec<&Worker> =
            self.pool.iter().filter(|worker| self.is_free(worker, need)).collect();
        let slowness = |worker: &Worker| self.estimator.slowness(&worker.info.name);
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
