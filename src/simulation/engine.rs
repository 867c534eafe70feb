//! The world around the cores: a queue of events in virtual time.

use super::{event::Event, worker::SimulatedWorker};
use crate::{
    coordination::{
        configuration::{ConfigDocument, ConfigRow, Configuration, TeamRule},
        core::Core,
        members::MemberInfo,
    },
    state::{
        id::{
            ConfigVersion, IdError, Incarnation, Issuer, JobId, JobNumber, TeamName, VmName,
            ZoneName,
        },
        job::{Answer, JobSpec, RefuseReason},
        ledger::{ClosedEntry, TagKey},
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
pub(super) const IN_ZONE_DELAY: Duration = Duration::from_micros(250);
/// One-way time between zones.
pub(super) const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1_000);
/// Time between two ticks of a core.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two sweeps of a core.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds of heartbeats.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads from the platform.
pub(super) const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time that a request passed on may take beyond the job's deadline.
const FORWARD_GRACE: Duration = Duration::from_millis(100);

/// The layout of a world.
#[derive(Clone, Debug, Default)]
pub struct SimulationLayout {
    /// The zone of each entry VM.
    pub vms: Vec<usize>,
    /// Zone, slots and slowness of each worker.
    pub workers: Vec<(usize, u32, f64)>,
    /// How the cores decide.
    pub policy: Policy,
    /// The teams.
    pub teams: Vec<(TeamName, TeamRule)>,
    /// Random choices of the world and the cores.
    pub seed: u64,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    /// The final answer.
    Answer(Arc<Answer>),
    /// Nothing can be said.
    Unknown,
    /// The request was turned down with an error.
    Error,
}

/// A job as its callers see it.
#[derive(Debug)]
pub struct SimulatedJob {
    /// Its id.
    pub id: JobId,
    /// The job.
    pub spec: Arc<JobSpec>,
    /// Seconds of task_seconds of each task on the fastest worker.
    pub task_seconds: Vec<f64>,
    /// When its first submission was sent.
    pub sent: Moment,
    /// Everything any caller was told, and when.
    pub replies: Vec<(Moment, CallerReply)>,
    /// When each task's output came back to the issuer.
    pub task_ends: Vec<Option<Moment>>,
}

pub(super) struct SimulatedVm {
    pub(super) name: VmName,
    pub(super) zone: usize,
    pub(super) core: Option<Core>,
    pub(super) incarnation: u64,
    pub(super) paused: bool,
    pub(super) deferred_events: Vec<Event>,
    pub(super) waiting_callers: IndexMap<JobNumber, Vec<(usize, usize)>>,
    pub(super) config_version: ConfigVersion,
}

/// What happens to the platform.
#[derive(Clone, Debug, Default)]
pub struct SimulatedPlatform {
    /// It does not answer.
    pub down: bool,
    /// Answers to writes are lost with this chance, after the write took effect.
    pub write_reply_loss: f64,
    /// Reads give the row before the latest.
    pub stale_reads: bool,
}

/// The world.
pub struct Simulation {
    pub(super) now: Moment,
    pub(super) sequence: u64,
    pub(super) queue: BinaryHeap<Reverse<(Moment, u64)>>,
    pub(super) pending: BTreeMap<u64, Event>,
    pub(super) vms: Vec<SimulatedVm>,
    /// The workers.
    pub workers: Vec<SimulatedWorker>,
    /// The jobs sent so far.
    pub jobs: Vec<SimulatedJob>,
    /// The platform.
    pub platform: SimulatedPlatform,
    pub(super) config_rows: Vec<ConfigRow>,
    pub(super) partitions: Vec<(usize, usize)>,
    pub(super) policy: Policy,
    pub(super) rng: SmallRng,
    pub(super) next_incarnation: u64,
    pub(super) job_indices: IndexMap<(u64, JobNumber), usize>,
    /// Broken invariants, as they were found.
    pub violations: Vec<String>,
    /// How many events of each kind the cores noted.
    pub event_counts: IndexMap<&'static str, u64>,
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

impl Simulation {
    /// A world in which nothing has happened yet.
    pub fn new(plan: SimulationLayout) -> Self {
        let configuration = Configuration { teams: plan.teams.into_iter().collect() };
        let document = ConfigDocument { configuration, history: Vec::new() };
        let first = ConfigRow { version: ConfigVersion(1), document: Arc::new(document) };
        let worker = |(i, (at, slots, slowness)): (usize, &(usize, u32, f64))| {
            SimulatedWorker::new(name(format!("worker-{i}")), zone(*at), *slots, *slowness)
        };
        let mut world = Simulation {
            now: Moment::ZERO,
            sequence: 0,
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            vms: Vec::new(),
            workers: plan.workers.iter().enumerate().map(worker).collect(),
            jobs: Vec::new(),
            platform: SimulatedPlatform::default(),
            config_rows: vec![first],
            partitions: Vec::new(),
            policy: plan.policy,
            rng: SmallRng::seed_from_u64(plan.seed),
            next_incarnation: 1,
            job_indices: IndexMap::new(),
            violations: Vec::new(),
            event_counts: IndexMap::new(),
        };
        for (i, at) in plan.vms.iter().enumerate() {
            world.vms.push(SimulatedVm {
                name: name(format!("vm-{i}")),
                zone: *at,
                core: None,
                incarnation: 0,
                paused: false,
                deferred_events: Vec::new(),
                waiting_callers: IndexMap::new(),
                config_version: ConfigVersion::default(),
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

    /// Whether an entry VM is paused.
    pub fn is_paused(&self, vm: usize) -> bool {
        self.vms[vm].paused
    }

    /// The latest version in the platform's table.
    pub fn latest_config_version(&self) -> ConfigVersion {
        self.config_rows.last().map_or(ConfigVersion::default(), |row| row.version)
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    /// Starts an entry VM's process, with nothing left of an earlier one. It takes the highest
    /// configuration it can find before it takes task_seconds.
    pub fn start_vm(&mut self, vm: usize) {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let issuer = Issuer {
            zone: zone(self.vms[vm].zone),
            vm: self.vms[vm].name.clone(),
            incarnation: Incarnation(incarnation),
        };
        let core =
            Core::new(issuer, TagKey(self.rng.random()), self.policy.clone(), self.rng.random());
        let entry = &mut self.vms[vm];
        entry.core = Some(core);
        entry.incarnation = incarnation;
        entry.paused = false;
        entry.deferred_events.clear();
        entry.waiting_callers.clear();
        entry.config_version = ConfigVersion::default();
        let known = self.find_latest_config(vm);
        self.update_lists(vm);
        self.call_core(vm, |core, _, out| {
            core.offer_config(known, out);
        });
        let jitter: f64 = self.rng.random();
        self.schedule(TICK_INTERVAL.mul_f64(jitter), Event::Tick { vm, incarnation });
        self.schedule(SWEEP_INTERVAL.mul_f64(jitter), Event::Sweep { vm, incarnation });
        self.schedule(
            HEARTBEAT_INTERVAL.mul_f64(jitter),
            Event::SendHeartbeats { vm, incarnation, round: 0 },
        );
        self.schedule(POLL_INTERVAL.mul_f64(jitter), Event::PollPlatform { vm, incarnation });
    }

    pub(super) fn find_latest_config(&self, vm: usize) -> ConfigRow {
        let mut rows: Vec<ConfigRow> = Vec::new();
        rows.extend(self.read_config_row());
        for (peer, other) in self.vms.iter().enumerate() {
            if peer != vm && !other.paused && !self.is_partitioned(vm, peer) {
                rows.extend(other.core.as_ref().map(Core::config));
            }
        }
        rows.into_iter().max_by_key(|row| row.version).unwrap_or_default()
    }

    pub(super) fn read_config_row(&self) -> Option<ConfigRow> {
        if self.platform.down {
            return None;
        }
        let back = if self.platform.stale_reads && self.config_rows.len() > 1 { 2 } else { 1 };
        self.config_rows.get(self.config_rows.len() - back).cloned()
    }

    pub(super) fn members(&self) -> Vec<MemberInfo> {
        let info = |vm: &SimulatedVm| MemberInfo {
            vm: vm.name.clone(),
            zone: zone(vm.zone),
            peers: String::new(),
            operators: String::new(),
            leaving: vm.core.as_ref().is_some_and(Core::is_leaving),
        };
        self.vms.iter().map(info).collect()
    }

    pub(super) fn update_lists(&mut self, vm: usize) {
        let members = self.members();
        let home = zone(self.vms[vm].zone);
        let listed = |worker: &&SimulatedWorker| worker.zone == home;
        let list: Vec<WorkerInfo> = self
            .workers
            .iter()
            .filter(listed)
            .map(|worker| WorkerInfo { leaving: worker.leaving, ..worker.info.clone() })
            .collect();
        self.call_core(vm, |core, now, out| {
            core.members_listed(now, members, out);
            core.workers_listed(now, &list, out);
        });
    }

    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.vms[a].zone, self.vms[b].zone);
        self.partitions.contains(&(a.min(b), a.max(b)))
    }

    pub(super) fn one_way_delay(&self, a: usize, b: usize) -> Duration {
        if self.vms[a].zone == self.vms[b].zone { IN_ZONE_DELAY } else { CROSS_ZONE_DELAY }
    }

    pub(super) fn deliver_config(&mut self, vm: usize, row: ConfigRow) {
        self.call_core(vm, |core, _, out| {
            core.offer_config(row, out);
        });
    }

    /// Issues an id at an entry VM and sends a first submission through `via`.
    pub fn submit_new_job(
        &mut self,
        issuer: usize,
        via: usize,
        spec: JobSpec,
        task_seconds: Vec<f64>,
    ) -> Option<usize> {
        let now = self.now;
        let id = self.core(issuer)?.issue(now, 1).pop()?;
        let job = self.jobs.len();
        self.job_indices.insert((self.vms[issuer].incarnation, id.number), job);
        let spec = Arc::new(spec);
        let task_ends = vec![None; task_seconds.len()];
        self.jobs.push(SimulatedJob {
            id,
            spec,
            task_seconds,
            sent: now,
            replies: Vec::new(),
            task_ends,
        });
        self.submit(job, via);
        Some(job)
    }

    /// The entry VM whose ids a caller of `via` gets.
    pub fn issuer_for(&self, via: usize) -> usize {
        let dispatcher = self.core(via).and_then(Core::dispatcher);
        let found = dispatcher.and_then(|name| self.vms.iter().position(|vm| vm.name == name));
        match found {
            Some(vm) if self.vms[vm].core.is_some() && !self.vms[vm].paused => vm,
            _ => via,
        }
    }

    /// Submits a job, again or for the first time, through an entry VM.
    pub fn submit(&mut self, job: usize, via: usize) {
        self.send_request(job, via, |vm, job, from| Event::Submit { vm, job, from });
    }

    /// Cancels a job through an entry VM.
    pub fn cancel(&mut self, job: usize, via: usize) {
        self.send_request(job, via, |vm, job, _| Event::Cancel { vm, job });
    }

    pub(super) fn send_request<F>(&mut self, job: usize, via: usize, new_event: F)
    where
        F: FnOnce(usize, usize, usize) -> Event,
    {
        if self.vms[via].core.is_none() {
            return self
                .schedule(CROSS_ZONE_DELAY, Event::Reply { job, reply: CallerReply::Unknown });
        }
        let issuer = &self.jobs[job].id.issuer.vm;
        let Some(to) = self.vms.iter().position(|vm| vm.name == *issuer) else { return };
        if self.is_partitioned(via, to) || self.vms[to].core.is_none() {
            return self.ask_zone_peers(job, via, to);
        }
        if via == to {
            return self.schedule(CROSS_ZONE_DELAY, new_event(to, job, via));
        }
        // The entry VM in between gives up at the job's deadline.
        let limit = self.jobs[job].spec.deadline() + FORWARD_GRACE;
        self.schedule(limit, Event::Reply { job, reply: CallerReply::Unknown });
        self.schedule(CROSS_ZONE_DELAY + self.one_way_delay(via, to), new_event(to, job, via));
    }

    pub(super) fn ask_zone_peers(&mut self, job: usize, via: usize, issuer: usize) {
        let reply = (0..self.vms.len())
            .filter(|vm| {
                self.vms[*vm].zone == self.vms[issuer].zone && !self.is_partitioned(via, *vm)
            })
            .find_map(|vm| self.inherited_reply(vm, job))
            .unwrap_or(CallerReply::Unknown);
        self.schedule(CROSS_ZONE_DELAY, Event::Reply { job, reply });
    }

    pub(super) fn inherited_reply(&self, vm: usize, job: usize) -> Option<CallerReply> {
        let core = self.core(vm).filter(|_| !self.vms[vm].paused)?;
        Some(match core.inherited(&self.jobs[job].id)? {
            Ok(ClosedEntry::Answered(_, answer)) => CallerReply::Answer(answer),
            Ok(ClosedEntry::NeverRun) => CallerReply::Answer(Arc::new(Answer::NotRun {
                reason: RefuseReason::Leaving,
                retry_after_ms: 0,
            })),
            Err(_) => CallerReply::Error,
        })
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Moment) {
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.pending.remove(&sequence) {
                self.handle(event);
            }
        }
        self.now = end;
    }
}
