//! The world around the cores: a queue of events in virtual time.

use super::worker::{Fault, Taken, TaskKey, TrialWorker};
use crate::{
    coordination::{
        accept::{Accept, Outcome, Proposal, Step, WriteResult},
        action::{Action, Event as Note, StartOrder},
        configuration::{Change, ConfigDocument, ConfigRow, Configuration, TeamRule},
        core::{Core, Lookup},
        members::{MemberInfo, Pulse},
    },
    state::{
        id::{ConfigVersion, IdError, Incarnation, Issuer, JobId, TaskRef, VmName, ZoneName},
        job::{Answer, JobSpec, StartResult},
        ledger::{ClosedEntry, TagKey},
        loan::SlotCount,
        policy::Policy,
        pool::WorkerInfo,
        time::Moment,
    },
};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

/// One-way time within a zone.
const NEAR: Duration = Duration::from_micros(250);
/// One-way time between zones.
const FAR: Duration = Duration::from_micros(1_000);
/// Time between two ticks of a core.
const TICK: Duration = Duration::from_millis(5);
/// Time between two sweeps of a core.
const SWEEP: Duration = Duration::from_secs(1);
/// Time between two rounds of heartbeats.
const BEAT: Duration = Duration::from_millis(500);
/// Time between two reads from the platform.
const POLL: Duration = Duration::from_secs(2);
/// Heartbeat rounds between two that tell demand.
const DEMAND_EVERY: u64 = 10;
/// Longest wait for a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a request passed on may take beyond the job's deadline.
const FORWARD_GRACE: Duration = Duration::from_millis(100);
/// Longest wait for a worker beyond the job's deadline.
const LEASE_GRACE: Duration = Duration::from_secs(2);

/// The layout of a world.
#[derive(Clone, Debug, Default)]
pub struct WorldPlan {
    /// The zone of each entry VM.
    pub vms: Vec<usize>,
    /// Zone, slots and slowness of each worker.
    pub workers: Vec<(usize, u32, f64)>,
    /// How the cores decide.
    pub policy: Policy,
    /// The teams.
    pub teams: Vec<(crate::state::id::TeamName, TeamRule)>,
    /// Random choices of the world and the cores.
    pub seed: u64,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// The final answer.
    Answer(Arc<Answer>),
    /// Nothing can be said.
    Unknown,
    /// The request was turned down with an error.
    Error,
}

/// A job as its callers see it.
#[derive(Debug)]
pub struct TrialJob {
    /// Its id.
    pub id: JobId,
    /// The job.
    pub spec: Arc<JobSpec>,
    /// Seconds of work of each task on the fastest worker.
    pub work: Vec<f64>,
    /// When its first submission was sent.
    pub sent: Moment,
    /// Everything any caller was told, and when.
    pub told: Vec<(Moment, Told)>,
    /// When each task's output came back to the issuer.
    pub task_ends: Vec<Option<Moment>>,
}

struct TrialVm {
    name: VmName,
    zone: usize,
    core: Option<Core>,
    life: u64,
    frozen: bool,
    held: Vec<Ev>,
    asking: IndexMap<crate::state::id::JobNumber, Vec<(usize, usize)>>,
    version: ConfigVersion,
}

#[derive(Debug)]
enum Ev {
    Tick {
        vm: usize,
        life: u64,
    },
    Sweep {
        vm: usize,
        life: u64,
    },
    Beat {
        vm: usize,
        life: u64,
        round: u64,
    },
    Poll {
        vm: usize,
        life: u64,
    },
    Write {
        vm: usize,
        life: u64,
        order: StartOrder,
    },
    AtWorker {
        worker: usize,
        vm: usize,
        life: u64,
        order: StartOrder,
    },
    WorkDone {
        worker: usize,
        deaths: u64,
        vm: usize,
        task: TaskKey,
    },
    Ended {
        vm: usize,
        life: u64,
        task: TaskRef,
        result: StartResult,
    },
    StopAt {
        worker: usize,
        vm: usize,
        life: u64,
        tasks: Vec<TaskRef>,
    },
    Stopped {
        vm: usize,
        life: u64,
        late: u32,
    },
    Submit {
        vm: usize,
        job: usize,
        from: usize,
    },
    Cancel {
        vm: usize,
        job: usize,
    },
    Tell {
        job: usize,
        told: Told,
    },
    Borrow {
        vm: usize,
        from: usize,
        life: u64,
        slots: u32,
        asked: Moment,
    },
    Granted {
        vm: usize,
        life: u64,
        lender: usize,
        grants: Vec<SlotCount>,
        asked: Moment,
    },
    GiveBack {
        vm: usize,
        from: usize,
        slots: Vec<SlotCount>,
    },
    Heartbeat {
        vm: usize,
        from: usize,
        incarnation: Incarnation,
        row: ConfigRow,
        pulse: Pulse,
        held: Vec<SlotCount>,
    },
    SaysLeaving {
        vm: usize,
        worker: usize,
    },
    Push {
        vm: usize,
        row: ConfigRow,
    },
    Rechecked {
        vm: usize,
        life: u64,
    },
}

/// What happens to the platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    /// It does not answer.
    pub down: bool,
    /// Answers to writes are lost with this chance, after the write took effect.
    pub lose: f64,
    /// Reads give the row before the latest.
    pub stale: bool,
}

/// The world.
pub struct World {
    now: Moment,
    sequence: u64,
    events: BinaryHeap<Reverse<(Moment, u64)>>,
    pending: BTreeMap<u64, Ev>,
    vms: Vec<TrialVm>,
    /// The workers.
    pub workers: Vec<TrialWorker>,
    /// The jobs sent so far.
    pub jobs: Vec<TrialJob>,
    /// The platform.
    pub platform: PlatformState,
    rows: Vec<ConfigRow>,
    cut: Vec<(usize, usize)>,
    policy: Policy,
    rng: SmallRng,
    next_life: u64,
    by_task: IndexMap<(u64, crate::state::id::JobNumber), usize>,
    /// Broken invariants, as they were found.
    pub broken: Vec<String>,
    /// How many events of each kind the cores noted.
    pub notes: IndexMap<&'static str, u64>,
}

fn zone(at: usize) -> ZoneName {
    name(format!("zone-{at}"))
}

/// Names made here are well formed.
fn name<T>(text: String) -> T
where
    T: std::str::FromStr<Err = IdError>,
{
    text.parse().unwrap_or_else(|e| unreachable!("{text}: {e}"))
}

impl World {
    /// A world in which nothing has happened yet.
    pub fn new(plan: WorldPlan) -> Self {
        let configuration = Configuration { teams: plan.teams.into_iter().collect() };
        let document = ConfigDocument { configuration, history: Vec::new() };
        let first = ConfigRow { version: ConfigVersion(1), document: Arc::new(document) };
        let worker = |(i, (at, slots, slowness)): (usize, &(usize, u32, f64))| {
            TrialWorker::new(name(format!("worker-{i}")), zone(*at), *slots, *slowness)
        };
        let mut world = World {
            now: Moment::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            vms: Vec::new(),
            workers: plan.workers.iter().enumerate().map(worker).collect(),
            jobs: Vec::new(),
            platform: PlatformState::default(),
            rows: vec![first],
            cut: Vec::new(),
            policy: plan.policy,
            rng: SmallRng::seed_from_u64(plan.seed),
            next_life: 1,
            by_task: IndexMap::new(),
            broken: Vec::new(),
            notes: IndexMap::new(),
        };
        for (i, at) in plan.vms.iter().enumerate() {
            world.vms.push(TrialVm {
                name: name(format!("vm-{i}")),
                zone: *at,
                core: None,
                life: 0,
                frozen: false,
                held: Vec::new(),
                asking: IndexMap::new(),
                version: ConfigVersion::default(),
            });
        }
        (0..world.vms.len()).for_each(|vm| world.start_vm(vm));
        world
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Number of entry VMs.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// The core of an entry VM that lives.
    pub fn core(&self, vm: usize) -> Option<&Core> {
        self.vms[vm].core.as_ref()
    }

    /// Whether an entry VM is frozen.
    pub fn is_frozen(&self, vm: usize) -> bool {
        self.vms[vm].frozen
    }

    /// The latest version in the platform's table.
    pub fn latest_version(&self) -> ConfigVersion {
        self.rows.last().map_or(ConfigVersion::default(), |row| row.version)
    }

    fn at(&mut self, delay: Duration, ev: Ev) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence)));
        self.pending.insert(self.sequence, ev);
    }

    /// Starts an entry VM's process, with nothing left of an earlier one. It takes the highest
    /// configuration it can find before it takes work.
    pub fn start_vm(&mut self, vm: usize) {
        let life = self.next_life;
        self.next_life += 1;
        let issuer = Issuer {
            zone: zone(self.vms[vm].zone),
            vm: self.vms[vm].name.clone(),
            incarnation: Incarnation(life),
        };
        let core =
            Core::new(issuer, TagKey(self.rng.random()), self.policy.clone(), self.rng.random());
        let entry = &mut self.vms[vm];
        entry.core = Some(core);
        entry.life = life;
        entry.frozen = false;
        entry.held.clear();
        entry.asking.clear();
        entry.version = ConfigVersion::default();
        let known = self.find_config(vm);
        self.take_lists(vm);
        self.drive(vm, |core, _, out| {
            core.offer_config(known, out);
        });
        let jitter: f64 = self.rng.random();
        self.at(TICK.mul_f64(jitter), Ev::Tick { vm, life });
        self.at(SWEEP.mul_f64(jitter), Ev::Sweep { vm, life });
        self.at(BEAT.mul_f64(jitter), Ev::Beat { vm, life, round: 0 });
        self.at(POLL.mul_f64(jitter), Ev::Poll { vm, life });
    }

    fn find_config(&self, vm: usize) -> ConfigRow {
        let mut rows: Vec<ConfigRow> = Vec::new();
        rows.extend(self.read_row());
        for (peer, other) in self.vms.iter().enumerate() {
            if peer != vm && !other.frozen && !self.is_cut(vm, peer) {
                rows.extend(other.core.as_ref().map(Core::config));
            }
        }
        rows.into_iter().max_by_key(|row| row.version).unwrap_or_default()
    }

    fn read_row(&self) -> Option<ConfigRow> {
        if self.platform.down {
            return None;
        }
        let back = if self.platform.stale && self.rows.len() > 1 { 2 } else { 1 };
        self.rows.get(self.rows.len() - back).cloned()
    }

    fn members(&self) -> Vec<MemberInfo> {
        let info = |vm: &TrialVm| MemberInfo {
            vm: vm.name.clone(),
            zone: zone(vm.zone),
            peers: String::new(),
            operators: String::new(),
            leaving: vm.core.as_ref().is_some_and(Core::is_leaving),
        };
        self.vms.iter().map(info).collect()
    }

    fn take_lists(&mut self, vm: usize) {
        let members = self.members();
        let home = zone(self.vms[vm].zone);
        let listed = |worker: &&TrialWorker| worker.zone == home;
        let list: Vec<WorkerInfo> = self
            .workers
            .iter()
            .filter(listed)
            .map(|worker| WorkerInfo { leaving: worker.leaving, ..worker.info.clone() })
            .collect();
        self.drive(vm, |core, now, out| {
            core.members_listed(now, members, out);
            core.workers_listed(now, &list, out);
        });
    }

    /// Kills an entry VM's process.
    pub fn kill_vm(&mut self, vm: usize) {
        let entry = &mut self.vms[vm];
        entry.core = None;
        entry.frozen = false;
        entry.held.clear();
        for (_, asking) in std::mem::take(&mut entry.asking) {
            for (job, from) in asking {
                if from != vm {
                    self.at(FAR, Ev::Tell { job, told: Told::Unknown });
                }
            }
        }
    }

    /// Freezes an entry VM's process.
    pub fn freeze_vm(&mut self, vm: usize) {
        self.vms[vm].frozen = self.vms[vm].core.is_some();
    }

    /// Lets a frozen process go on.
    pub fn thaw_vm(&mut self, vm: usize) {
        self.vms[vm].frozen = false;
        for ev in std::mem::take(&mut self.vms[vm].held) {
            self.at(Duration::ZERO, ev);
        }
    }

    /// Tells an entry VM to leave.
    pub fn leave_vm(&mut self, vm: usize) {
        self.drive(vm, |core, now, out| core.leave(now, out));
    }

    /// Lets a drained entry VM hand its ledger to a zone peer and end; true if it did.
    pub fn end_leaving_vm(&mut self, vm: usize) -> bool {
        let Some(core) = self.core(vm) else { return false };
        let Some(ledgers) = core.close_ledger(self.now) else { return false };
        let heir = (0..self.vms.len()).find(|peer| {
            let other = &self.vms[*peer];
            let takes = other.core.as_ref().is_some_and(|core| !core.is_leaving());
            *peer != vm && other.zone == self.vms[vm].zone && takes && !other.frozen
        });
        for ledger in heir.map(|_| ledgers).unwrap_or_default() {
            self.drive(heir.unwrap_or(vm), |core, now, out| core.adopt(now, ledger, out));
        }
        self.kill_vm(vm);
        true
    }

    /// Kills a worker; what ran there is gone and its connections break.
    pub fn kill_worker(&mut self, worker: usize) {
        for task in self.workers[worker].die() {
            if let Some(vm) = self.vms.iter().position(|vm| vm.life == task.life) {
                let result = StartResult::Unknown;
                self.at(NEAR, Ev::Ended { vm, life: task.life, task: task.task, result });
            }
        }
    }

    /// Sets how a worker misbehaves.
    pub fn fault_worker(&mut self, worker: usize, fault: Fault) {
        self.workers[worker].fault = fault;
    }

    /// Cuts two zones from each other.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut.push((a.min(b), a.max(b)));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.vms[a].zone, self.vms[b].zone);
        self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn way(&self, a: usize, b: usize) -> Duration {
        if self.vms[a].zone == self.vms[b].zone { NEAR } else { FAR }
    }

    /// An operator changes the configuration through an entry VM; the platform answers at once,
    /// or loses the answer. `retries` more tries follow an unsettled one, with the same id.
    pub fn accept(
        &mut self,
        vm: usize,
        base: ConfigVersion,
        operation: u64,
        retries: u32,
    ) -> Option<Outcome> {
        let core = self.core(vm)?;
        let proposal = Proposal {
            base,
            configuration: core.config().document.configuration.clone(),
            change: Change {
                version: ConfigVersion::default(),
                operation: format!("{operation:x}"),
                operator: format!("operator-{operation:x}"),
                note: String::new(),
            },
        };
        let mut outcome = Outcome::Unsettled;
        for _ in 0..=retries {
            outcome = self.settle(proposal.clone());
            if !matches!(outcome, Outcome::Unsettled) {
                break;
            }
        }
        if let Outcome::Accepted { row, .. } | Outcome::Conflict(row) = &outcome {
            self.offer(vm, row.clone());
            for peer in 0..self.vms.len() {
                if !self.is_cut(vm, peer) {
                    let way = self.way(vm, peer);
                    self.at(way, Ev::Push { vm: peer, row: row.clone() });
                }
            }
        }
        Some(outcome)
    }

    fn settle(&mut self, proposal: Proposal) -> Outcome {
        let (mut accept, mut step) = Accept::new(proposal);
        loop {
            step = match step {
                Step::Done(outcome) => return outcome,
                Step::Read => accept.on_read(self.read_row()),
                Step::Write(row) => accept.on_write(self.write_row(row)),
            };
        }
    }

    fn write_row(&mut self, row: ConfigRow) -> WriteResult {
        if self.platform.down {
            return WriteResult::Lost;
        }
        if self.latest_version().0 + 1 != row.version.0 {
            return WriteResult::Mismatch;
        }
        self.rows.push(row);
        match self.rng.random_bool(self.platform.lose) {
            true => WriteResult::Lost,
            false => WriteResult::Written,
        }
    }

    fn offer(&mut self, vm: usize, row: ConfigRow) {
        self.drive(vm, |core, _, out| {
            core.offer_config(row, out);
        });
    }

    /// Issues an id at an entry VM and sends a first submission through `via`.
    pub fn send(
        &mut self,
        issuer: usize,
        via: usize,
        spec: JobSpec,
        work: Vec<f64>,
    ) -> Option<usize> {
        let now = self.now;
        let id = self.core(issuer)?.issue(now, 1).pop()?;
        let job = self.jobs.len();
        self.by_task.insert((self.vms[issuer].life, id.number), job);
        let spec = Arc::new(spec);
        let task_ends = vec![None; work.len()];
        self.jobs.push(TrialJob { id, spec, work, sent: now, told: Vec::new(), task_ends });
        self.submit(job, via);
        Some(job)
    }

    /// The entry VM whose ids a caller of `via` gets.
    pub fn issuer_for(&self, via: usize) -> usize {
        let dispatcher = self.core(via).and_then(Core::dispatcher);
        let found = dispatcher.and_then(|name| self.vms.iter().position(|vm| vm.name == name));
        match found {
            Some(vm) if self.vms[vm].core.is_some() && !self.vms[vm].frozen => vm,
            _ => via,
        }
    }

    /// Submits a job, again or for the first time, through an entry VM.
    pub fn submit(&mut self, job: usize, via: usize) {
        self.request(job, via, |vm, job, from| Ev::Submit { vm, job, from });
    }

    /// Cancels a job through an entry VM.
    pub fn cancel(&mut self, job: usize, via: usize) {
        self.request(job, via, |vm, job, _| Ev::Cancel { vm, job });
    }

    fn request<F>(&mut self, job: usize, via: usize, make: F)
    where
        F: FnOnce(usize, usize, usize) -> Ev,
    {
        if self.vms[via].core.is_none() {
            return self.at(FAR, Ev::Tell { job, told: Told::Unknown });
        }
        let issuer = &self.jobs[job].id.issuer.vm;
        let Some(to) = self.vms.iter().position(|vm| vm.name == *issuer) else { return };
        if self.is_cut(via, to) || self.vms[to].core.is_none() {
            return self.ask_successors(job, via, to);
        }
        if via == to {
            return self.at(FAR, make(to, job, via));
        }
        // The entry VM in between gives up at the job's deadline.
        let limit = self.jobs[job].spec.deadline() + FORWARD_GRACE;
        self.at(limit, Ev::Tell { job, told: Told::Unknown });
        self.at(FAR + self.way(via, to), make(to, job, via));
    }

    fn ask_successors(&mut self, job: usize, via: usize, issuer: usize) {
        let told = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].zone == self.vms[issuer].zone && !self.is_cut(via, *vm))
            .find_map(|vm| self.inherited(vm, job))
            .unwrap_or(Told::Unknown);
        self.at(FAR, Ev::Tell { job, told });
    }

    fn inherited(&self, vm: usize, job: usize) -> Option<Told> {
        let core = self.core(vm).filter(|_| !self.vms[vm].frozen)?;
        Some(match core.inherited(&self.jobs[job].id)? {
            Ok(ClosedEntry::Answered(_, answer)) => Told::Answer(answer),
            Ok(ClosedEntry::NeverRun) => Told::Answer(Arc::new(Answer::NotRun {
                reason: crate::state::job::RefuseReason::Leaving,
                retry_after_ms: 0,
            })),
            Err(_) => Told::Error,
        })
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Moment) {
        while let Some(Reverse((at, sequence))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            if let Some(ev) = self.pending.remove(&sequence) {
                self.step(ev);
            }
        }
        self.now = end;
    }

    fn step(&mut self, ev: Ev) {
        let Some((vm, life)) = addressee(&ev) else { return self.step_world(ev) };
        let entry = &mut self.vms[vm];
        if life.is_some_and(|life| life != entry.life) {
            return;
        }
        if entry.frozen {
            entry.held.push(ev);
            return;
        }
        if entry.core.is_some() {
            self.step_vm(vm, ev);
        } else {
            self.step_dead(ev);
        }
    }

    /// The events whose senders notice that the addressee is dead.
    fn step_dead(&mut self, ev: Ev) {
        match ev {
            Ev::Submit { job, .. } | Ev::Cancel { job, .. } => {
                self.at(FAR, Ev::Tell { job, told: Told::Unknown });
            }
            Ev::Borrow { vm, from, life, asked, .. } => {
                let granted = Ev::Granted { vm: from, life, lender: vm, grants: Vec::new(), asked };
                self.at(NEAR, granted);
            }
            _ => {}
        }
    }

    fn step_vm(&mut self, vm: usize, ev: Ev) {
        let life = self.vms[vm].life;
        match ev {
            Ev::Tick { .. } => {
                self.drive(vm, Core::tick);
                self.at(TICK, Ev::Tick { vm, life });
            }
            Ev::Sweep { .. } => {
                self.drive(vm, Core::sweep);
                self.at(SWEEP, Ev::Sweep { vm, life });
            }
            Ev::Beat { round, .. } => {
                self.beat(vm, round);
                self.at(BEAT, Ev::Beat { vm, life, round: round + 1 });
            }
            Ev::Poll { .. } => {
                if let Some(row) = self.read_row() {
                    self.offer(vm, row);
                    self.take_lists(vm);
                }
                self.at(POLL, Ev::Poll { vm, life });
            }
            Ev::Write { order, .. } => self.write_start(vm, order),
            Ev::Ended { task, result, .. } => {
                if let (StartResult::Done(_), Some(job)) =
                    (&result, self.by_task.get(&(life, task.number)))
                {
                    self.jobs[*job].task_ends[task.index as usize] = Some(self.now);
                }
                self.drive(vm, |core, now, out| core.ended(now, task, result, out));
            }
            Ev::Stopped { late, .. } => self.drive(vm, |core, _, _| core.stopped(late)),
            Ev::Submit { job, from, .. } => self.take_submission(vm, job, from),
            Ev::Cancel { job, .. } => self.take_cancel(vm, job),
            Ev::Borrow { from, life, slots, asked, .. } => self.lend(vm, from, life, slots, asked),
            Ev::Granted { lender, grants, asked, .. } => {
                let lender = self.vms[lender].name.clone();
                self.drive(vm, |core, now, out| core.granted(now, asked, &lender, &grants, out));
            }
            Ev::GiveBack { from, slots, .. } => {
                let from = self.vms[from].name.clone();
                self.drive(vm, |core, now, out| core.returned(now, &from, &slots, out));
            }
            Ev::Heartbeat { from, incarnation, row, pulse, held, .. } => {
                let from = self.vms[from].name.clone();
                self.drive(vm, |core, now, out| {
                    core.heard(now, &from, incarnation, pulse, &held, out);
                    core.offer_config(row, out);
                });
            }
            Ev::SaysLeaving { worker, .. } => {
                let name = self.workers[worker].info.name.clone();
                self.drive(vm, |core, _, _| core.worker_leaving(&name));
            }
            Ev::Push { row, .. } => self.offer(vm, row),
            Ev::Rechecked { .. } => {
                self.take_lists(vm);
                self.drive(vm, Core::rechecked);
            }
            _ => {}
        }
    }

    fn beat(&mut self, vm: usize, round: u64) {
        let demand = round.is_multiple_of(DEMAND_EVERY);
        for peer in 0..self.vms.len() {
            if peer == vm || self.is_cut(vm, peer) {
                continue;
            }
            let to = self.vms[peer].name.clone();
            let Some(core) = self.core(vm) else { return };
            let (pulse, held) = core.pulse(self.now, &to, demand);
            let (incarnation, row) = (core.issuer().incarnation, core.config());
            let beat = Ev::Heartbeat { vm: peer, from: vm, incarnation, row, pulse, held };
            self.at(self.way(vm, peer), beat);
        }
        if demand {
            self.drive(vm, |core, _, _| core.age_demand());
        }
    }

    fn write_start(&mut self, vm: usize, order: StartOrder) {
        let life = self.vms[vm].life;
        if self.now >= order.not_after {
            let (task, result) = (order.task, StartResult::NotSent);
            return self.at(Duration::ZERO, Ev::Ended { vm, life, task, result });
        }
        let Some(worker) = self.workers.iter().position(|w| w.info.name == order.worker) else {
            return;
        };
        self.at(NEAR, Ev::AtWorker { worker, vm, life, order });
    }

    fn take_submission(&mut self, vm: usize, job: usize, from: usize) {
        let (id, spec) = (self.jobs[job].id.clone(), Arc::clone(&self.jobs[job].spec));
        if id.issuer.incarnation.0 != self.vms[vm].life {
            return self.tell(vm, job, from, Told::Unknown);
        }
        self.vms[vm].asking.entry(id.number).or_default().push((job, from));
        let submitted = self.drive(vm, |core, now, out| core.submit(now, &id, spec, out));
        match submitted {
            Ok(Lookup::Final(answer)) => self.tell(vm, job, from, Told::Answer(answer)),
            Ok(_) => {}
            Err(_) => self.tell(vm, job, from, Told::Error),
        }
    }

    fn take_cancel(&mut self, vm: usize, job: usize) {
        let id = self.jobs[job].id.clone();
        if id.issuer.incarnation.0 != self.vms[vm].life {
            return self.tell(vm, job, vm, Told::Unknown);
        }
        let told = match self.drive(vm, |core, now, out| core.cancel(now, &id, out)) {
            Ok(answer) => Told::Answer(answer),
            Err(_) => Told::Error,
        };
        self.tell(vm, job, vm, told);
    }

    fn tell(&mut self, vm: usize, job: usize, from: usize, told: Told) {
        let lost = self.is_cut(vm, from);
        let told = if lost { Told::Unknown } else { told };
        let way = FAR + if vm == from { Duration::ZERO } else { self.way(vm, from) };
        self.at(way, Ev::Tell { job, told });
    }

    fn lend(&mut self, vm: usize, from: usize, life: u64, slots: u32, asked: Moment) {
        let to = self.vms[from].name.clone();
        let grants = self.drive(vm, |core, now, _| core.lend(now, &to, slots));
        if !self.is_cut(vm, from) {
            let granted = Ev::Granted { vm: from, life, lender: vm, grants, asked };
            self.at(self.way(vm, from), granted);
        }
    }

    fn step_world(&mut self, ev: Ev) {
        match ev {
            Ev::AtWorker { worker, vm, life, order } => self.at_worker(worker, vm, life, order),
            Ev::WorkDone { worker, deaths, vm, task } => {
                let same = self.workers[worker].deaths == deaths;
                if same && self.workers[worker].finish(task) {
                    let result = StartResult::Done(String::new());
                    let (life, task) = (task.life, task.task);
                    self.at(NEAR, Ev::Ended { vm, life, task, result });
                }
            }
            Ev::StopAt { worker, vm, life, tasks } => {
                let mut stopped = 0;
                for task in &tasks {
                    if self.workers[worker].finish(TaskKey { life, task: *task }) {
                        stopped += 1;
                        let result = StartResult::Failed("stopped".to_owned());
                        self.at(NEAR, Ev::Ended { vm, life, task: *task, result });
                    }
                }
                let late = if stopped == 0 { tasks.len() as u32 } else { 0 };
                self.at(NEAR, Ev::Stopped { vm, life, late });
            }
            Ev::Tell { job, told } => self.jobs[job].told.push((self.now, told)),
            _ => {}
        }
    }

    fn at_worker(&mut self, worker: usize, vm: usize, life: u64, order: StartOrder) {
        let task = TaskKey { life, task: order.task };
        let taken = self.workers[worker].take(task);
        self.check_start(task);
        let ended = |result| Ev::Ended { vm, life, task: order.task, result };
        match taken {
            Taken::NoConnection => self.at(NEAR, ended(StartResult::NotSent)),
            Taken::Refused => {
                if self.workers[worker].leaving {
                    self.at(NEAR, Ev::SaysLeaving { vm, worker });
                }
                self.at(NEAR, ended(StartResult::Refused));
            }
            Taken::Broken => self.at(NEAR, ended(StartResult::Unknown)),
            Taken::Failed => self.at(NEAR, ended(StartResult::Failed("broken".to_owned()))),
            Taken::Runs => {
                let job = self.by_task.get(&(life, order.task.number)).copied();
                let work = job.map_or(0.1, |job| self.jobs[job].work[order.task.index as usize]);
                let span = Duration::from_secs_f64(work * self.workers[worker].slowness);
                let deaths = self.workers[worker].deaths;
                self.at(span, Ev::WorkDone { worker, deaths, vm, task });
                // The transport gives up when the task's lease is over.
                let limit = (order.deadline - self.now) + LEASE_GRACE;
                self.at(limit, ended(StartResult::Unknown));
            }
        }
    }

    /// Invariant I1: no task starts twice, on any worker.
    fn check_start(&mut self, task: TaskKey) {
        let count = |w: &TrialWorker| w.starts().get(&task).copied().unwrap_or(0);
        let starts: u32 = self.workers.iter().map(count).sum();
        if starts > 1 {
            self.broken.push(format!("{}: {task:?} started {starts} times", self.now));
        }
    }

    fn drive<T, F>(&mut self, vm: usize, call: F) -> T
    where
        F: FnOnce(&Core, Moment, &mut Vec<Action>) -> T,
        T: WhenDead,
    {
        let mut out = Vec::new();
        let Some(core) = self.vms[vm].core.as_ref() else { return T::none() };
        let result = call(core, self.now, &mut out);
        let version = core.config_version();
        self.check_version(vm, version);
        out.into_iter().for_each(|action| self.carry_out(vm, action));
        result
    }

    /// Invariant I5: the version in force never goes down in a life.
    fn check_version(&mut self, vm: usize, version: ConfigVersion) {
        if version < self.vms[vm].version {
            let before = self.vms[vm].version;
            self.broken.push(format!("{}: vm {vm} went from {before} to {version}", self.now));
        }
        self.vms[vm].version = version;
    }

    fn carry_out(&mut self, vm: usize, action: Action) {
        let life = self.vms[vm].life;
        match action {
            Action::Start(order) => self.at(Duration::ZERO, Ev::Write { vm, life, order }),
            Action::Stop { worker, tasks } => {
                let found = self.workers.iter().position(|w| w.info.name == worker);
                if let Some(worker) = found {
                    self.at(NEAR, Ev::StopAt { worker, vm, life, tasks });
                }
            }
            Action::Answer { number, answer } => {
                let asking = self.vms[vm].asking.swap_remove(&number).unwrap_or_default();
                for (job, from) in asking {
                    self.tell(vm, job, from, Told::Answer(Arc::clone(&answer)));
                }
            }
            Action::Borrow { lender, slots } => self.ask_to_borrow(vm, &lender, slots),
            Action::GiveBack(back) => {
                let found = self.vms.iter().position(|peer| peer.name == back.lender);
                if let Some(peer) = found.filter(|peer| !self.is_cut(vm, *peer)) {
                    let give = Ev::GiveBack { vm: peer, from: vm, slots: back.slots };
                    self.at(self.way(vm, peer), give);
                }
            }
            Action::Recheck => self.at(FAR * 2, Ev::Rechecked { vm, life }),
            Action::Note(note) => self.note(&note),
        }
    }

    fn ask_to_borrow(&mut self, vm: usize, lender: &VmName, slots: u32) {
        let (life, asked) = (self.vms[vm].life, self.now);
        let Some(peer) = self.vms.iter().position(|peer| peer.name == *lender) else { return };
        let frozen = self.vms[peer].frozen;
        if frozen || self.is_cut(vm, peer) {
            let granted = Ev::Granted { vm, life, lender: peer, grants: Vec::new(), asked };
            return self.at(PEER_TIMEOUT, granted);
        }
        self.at(self.way(vm, peer), Ev::Borrow { vm: peer, from: vm, life, slots, asked });
    }

    fn note(&mut self, note: &Note) {
        *self.notes.entry(note.kind()).or_insert(0) += 1;
    }

    /// Checks what callers were told against what the workers started; to be called at the end.
    pub fn check_told(&mut self) {
        let mut broken = Vec::new();
        for (at, job) in self.jobs.iter().enumerate() {
            broken.extend(self.check_job(at, job));
        }
        self.broken.extend(broken);
    }

    fn check_job(&self, at: usize, job: &TrialJob) -> Option<String> {
        let life = job.id.issuer.incarnation.0;
        let started = (0..job.work.len() as u32).any(|index| {
            let task = TaskRef { number: job.id.number, index };
            self.workers.iter().any(|w| w.starts().contains_key(&TaskKey { life, task }))
        });
        let mut first: Option<&Answer> = None;
        for (_, told) in &job.told {
            let Told::Answer(answer) = told else { continue };
            if matches!(answer.as_ref(), Answer::NotRun { .. }) && started {
                return Some(format!("job {at}: told not_run, but a task was started"));
            }
            match first {
                None => first = Some(answer),
                Some(first) if !same_answer(first, answer) => {
                    return Some(format!("job {at}: told {first:?} and {answer:?}"));
                }
                _ => {}
            }
        }
        None
    }
}

/// Answers are one value; only the advice of a `not_run` on when to come back may differ.
fn same_answer(a: &Answer, b: &Answer) -> bool {
    match (a, b) {
        (Answer::NotRun { .. }, Answer::NotRun { .. }) => true,
        _ => a == b,
    }
}

/// A value for calls to a core that does not live.
trait WhenDead {
    /// The value.
    fn none() -> Self;
}

impl WhenDead for () {
    fn none() -> Self {}
}

impl WhenDead for Vec<SlotCount> {
    fn none() -> Self {
        Vec::new()
    }
}

impl<T, E> WhenDead for Result<T, E>
where
    E: From<crate::state::ledger::TicketError>,
{
    fn none() -> Self {
        Err(crate::state::ledger::TicketError::Expired.into())
    }
}

fn addressee(ev: &Ev) -> Option<(usize, Option<u64>)> {
    match ev {
        Ev::Tick { vm, life }
        | Ev::Sweep { vm, life }
        | Ev::Beat { vm, life, .. }
        | Ev::Poll { vm, life }
        | Ev::Write { vm, life, .. }
        | Ev::Ended { vm, life, .. }
        | Ev::Stopped { vm, life, .. }
        | Ev::Granted { vm, life, .. }
        | Ev::Rechecked { vm, life } => Some((*vm, Some(*life))),
        Ev::Submit { vm, .. }
        | Ev::Cancel { vm, .. }
        | Ev::Borrow { vm, .. }
        | Ev::GiveBack { vm, .. }
        | Ev::Heartbeat { vm, .. }
        | Ev::SaysLeaving { vm, .. }
        | Ev::Push { vm, .. } => Some((*vm, None)),
        Ev::AtWorker { .. } | Ev::WorkDone { .. } | Ev::StopAt { .. } | Ev::Tell { .. } => None,
    }
}
