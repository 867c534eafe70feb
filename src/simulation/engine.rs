//! State of a simulation and its queue of events, ordered by virtual time.

use super::{event::Event, worker::SimulatedWorker};
use crate::{
    coordination::{
        configuration::{ConfigDocument, ConfigRow, Configuration, TeamSettings},
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

/// One-way network delay within a zone.
pub(super) const IN_ZONE_DELAY: Duration = Duration::from_micros(250);
/// One-way network delay between zones, and between a caller and an entry VM.
pub(super) const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1_000);
/// Interval between two calls of [`Core::tick`].
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two calls of [`Core::sweep`].
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two rounds of heartbeats to all peers.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reads of the configuration and the lists from the platform.
pub(super) const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a job's deadline for which an entry VM waits for the reply to a forwarded request.
const FORWARD_GRACE: Duration = Duration::from_millis(100);

/// Layout of a simulation: the entry VMs, the workers and the policy of the cores.
#[derive(Clone, Debug, Default)]
pub struct SimulationLayout {
    /// Zone index of each entry VM.
    pub vms: Vec<usize>,
    /// Zone index, slots and slowness of each worker; a task runs `slowness` times as long as on
    /// the fastest worker.
    pub workers: Vec<(usize, u32, f64)>,
    /// Policy of all cores.
    pub policy: Policy,
    /// Teams in the first configuration, with their settings.
    pub teams: Vec<(TeamName, TeamSettings)>,
    /// Seed of the random choices of the simulation and the cores.
    pub seed: u64,
}

/// Reply to a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    /// Final answer of the job.
    Answer(Arc<Answer>),
    /// It is unknown whether the job ran, for example because its issuer can't be reached.
    Unknown,
    /// The request was rejected with an error.
    Error,
}

/// A job, the submissions of which may come through several entry VMs, and the replies to them.
#[derive(Debug)]
pub struct SimulatedJob {
    /// Job id, issued by an entry VM for the first submission.
    pub id: JobId,
    /// Specification that every submission repeats.
    pub spec: Arc<JobSpec>,
    /// Run time of each task on the fastest worker, in seconds.
    pub task_seconds: Vec<f64>,
    /// Virtual time of the first submission.
    pub submitted_at: Moment,
    /// Replies to all callers and the times at which they arrived, in order of time.
    pub replies: Vec<(Moment, CallerReply)>,
    /// Time at which each task's output reached the issuer, unset until then.
    pub task_ends: Vec<Option<Moment>>,
}

/// An entry VM, whose process may be running, paused or down.
pub(super) struct SimulatedVm {
    pub(super) name: VmName,
    pub(super) zone: usize,
    /// Decision core, unset while the process is down.
    pub(super) core: Option<Core>,
    /// Incarnation of the latest process, unique among all entry VMs.
    pub(super) incarnation: u64,
    pub(super) paused: bool,
    /// Events that arrived while the process was paused.
    pub(super) deferred_events: Vec<Event>,
    /// Callers that wait for a job's answer: index of the job, and entry VM that got their request.
    pub(super) waiting_callers: IndexMap<JobNumber, Vec<(usize, usize)>>,
    /// Version in force after the latest call of the core.
    pub(super) config_version: ConfigVersion,
}

/// Faults of the simulated platform.
#[derive(Clone, Debug, Default)]
pub struct SimulatedPlatform {
    /// Reads and writes fail, and writes don't take effect.
    pub down: bool,
    /// Probability that the reply to a write is lost after the write has taken effect.
    pub write_reply_loss: f64,
    /// Reads of the configuration return the row before the latest.
    pub stale_reads: bool,
}

/// Entry VMs, workers and a platform, driven by events in virtual time.
pub struct Simulation {
    pub(super) now: Moment,
    /// Sequence number of the event scheduled last. It orders events of the same time.
    pub(super) sequence: u64,
    /// Time and sequence number of each pending event, the earliest first.
    pub(super) queue: BinaryHeap<Reverse<(Moment, u64)>>,
    /// Pending events by sequence number.
    pub(super) pending: BTreeMap<u64, Event>,
    pub(super) vms: Vec<SimulatedVm>,
    /// Workers of all zones.
    pub workers: Vec<SimulatedWorker>,
    /// Jobs submitted so far, by job index.
    pub jobs: Vec<SimulatedJob>,
    /// Platform, which serves the configuration and the lists.
    pub platform: SimulatedPlatform,
    /// All versions of the configuration that were written to the platform's table.
    pub(super) config_rows: Vec<ConfigRow>,
    /// Pairs of zone indices, the lower one first, between which no message arrives.
    pub(super) partitions: Vec<(usize, usize)>,
    pub(super) policy: Policy,
    pub(super) rng: SmallRng,
    pub(super) next_incarnation: u64,
    /// Job indices by the issuer's incarnation and the job's number.
    pub(super) job_indices: IndexMap<(u64, JobNumber), usize>,
    /// Violations of the invariants, in the order in which they were detected.
    pub violations: Vec<String>,
    /// Number of timeline events of each kind that the cores recorded.
    pub event_counts: IndexMap<&'static str, u64>,
}

fn zone_name(index: usize) -> ZoneName {
    parse_name(format!("zone-{index}"))
}

/// Parses a name that the simulation has made up itself, and that is therefore well formed.
fn parse_name<T>(text: String) -> T
where
    T: std::str::FromStr<Err = IdError>,
{
    text.parse().unwrap_or_else(|e| unreachable!("{text}: {e}"))
}

impl Simulation {
    /// Creates a simulation at time zero and starts its entry VMs.
    pub fn new(layout: SimulationLayout) -> Self {
        let configuration = Configuration { teams: layout.teams.into_iter().collect() };
        let document = ConfigDocument { configuration, history: Vec::new() };
        let first_row = ConfigRow { version: ConfigVersion(1), document: Arc::new(document) };
        let worker = |(i, (zone, slots, slowness)): (usize, &(usize, u32, f64))| {
            SimulatedWorker::new(
                parse_name(format!("worker-{i}")),
                zone_name(*zone),
                *slots,
                *slowness,
            )
        };
        let mut simulation = Simulation {
            now: Moment::ZERO,
            sequence: 0,
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            vms: Vec::new(),
            workers: layout.workers.iter().enumerate().map(worker).collect(),
            jobs: Vec::new(),
            platform: SimulatedPlatform::default(),
            config_rows: vec![first_row],
            partitions: Vec::new(),
            policy: layout.policy,
            rng: SmallRng::seed_from_u64(layout.seed),
            next_incarnation: 1,
            job_indices: IndexMap::new(),
            violations: Vec::new(),
            event_counts: IndexMap::new(),
        };
        for (i, zone) in layout.vms.iter().enumerate() {
            simulation.vms.push(SimulatedVm {
                name: parse_name(format!("vm-{i}")),
                zone: *zone,
                core: None,
                incarnation: 0,
                paused: false,
                deferred_events: Vec::new(),
                waiting_callers: IndexMap::new(),
                config_version: ConfigVersion::default(),
            });
        }
        (0..simulation.vms.len()).for_each(|vm| simulation.start_vm(vm));
        simulation
    }

    /// Returns the present virtual time.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Returns the number of entry VMs, running or not.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Returns the decision core of an entry VM, or `None` while its process is down.
    pub fn core(&self, vm: usize) -> Option<&Core> {
        self.vms[vm].core.as_ref()
    }

    /// Returns whether the process of an entry VM is paused.
    pub fn is_paused(&self, vm: usize) -> bool {
        self.vms[vm].paused
    }

    /// Returns the latest configuration version in the platform's table.
    pub fn latest_config_version(&self) -> ConfigVersion {
        self.config_rows.last().map_or(ConfigVersion::default(), |row| row.version)
    }

    /// Schedules an event for `delay` from now.
    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    /// Starts a new process of an entry VM without any state of an earlier one. Before it accepts
    /// jobs, it reads the highest configuration version that the platform or a peer has.
    pub fn start_vm(&mut self, vm: usize) {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let issuer = Issuer {
            zone: zone_name(self.vms[vm].zone),
            vm: self.vms[vm].name.clone(),
            incarnation: Incarnation(incarnation),
        };
        let core =
            Core::new(issuer, TagKey(self.rng.random()), self.policy.clone(), self.rng.random());
        let vm_state = &mut self.vms[vm];
        vm_state.core = Some(core);
        vm_state.incarnation = incarnation;
        vm_state.paused = false;
        vm_state.deferred_events.clear();
        vm_state.waiting_callers.clear();
        vm_state.config_version = ConfigVersion::default();
        let latest = self.find_latest_config(vm);
        self.update_lists(vm);
        self.call_core(vm, |core, _, out| {
            core.replace_config_if_newer(latest, out);
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

    /// Returns the row of the highest version that the platform or a reachable peer has.
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

    /// Reads the configuration from the platform; `None` if the platform is down.
    pub(super) fn read_config_row(&self) -> Option<ConfigRow> {
        if self.platform.down {
            return None;
        }
        let back = if self.platform.stale_reads && self.config_rows.len() > 1 { 2 } else { 1 };
        self.config_rows.get(self.config_rows.len() - back).cloned()
    }

    /// Returns the platform's list of entry VMs.
    pub(super) fn members(&self) -> Vec<MemberInfo> {
        let info = |vm: &SimulatedVm| MemberInfo {
            vm: vm.name.clone(),
            zone: zone_name(vm.zone),
            peers: String::new(),
            operators: String::new(),
            leaving: vm.core.as_ref().is_some_and(Core::is_leaving),
        };
        self.vms.iter().map(info).collect()
    }

    /// Passes the platform's lists of entry VMs and of the zone's workers to a core.
    pub(super) fn update_lists(&mut self, vm: usize) {
        let members = self.members();
        let home_zone = zone_name(self.vms[vm].zone);
        let is_in_zone = |worker: &&SimulatedWorker| worker.zone == home_zone;
        let list: Vec<WorkerInfo> = self
            .workers
            .iter()
            .filter(is_in_zone)
            .map(|worker| WorkerInfo { leaving: worker.leaving, ..worker.info.clone() })
            .collect();
        self.call_core(vm, |core, now, out| {
            core.on_member_list(now, members, out);
            core.on_worker_list(now, &list, out);
        });
    }

    /// Returns whether no message arrives between two entry VMs.
    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.vms[a].zone, self.vms[b].zone);
        self.partitions.contains(&(a.min(b), a.max(b)))
    }

    /// Returns the one-way network delay between two entry VMs.
    pub(super) fn one_way_delay(&self, a: usize, b: usize) -> Duration {
        if self.vms[a].zone == self.vms[b].zone { IN_ZONE_DELAY } else { CROSS_ZONE_DELAY }
    }

    /// Passes a configuration row to a core, which ignores versions that are not newer.
    pub(super) fn deliver_config(&mut self, vm: usize, row: ConfigRow) {
        self.call_core(vm, |core, _, out| {
            core.replace_config_if_newer(row, out);
        });
    }

    /// Issues a job id at `issuer`, submits the job through `via` and returns its job index, or
    /// `None` if the issuer is down or leaving.
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
            submitted_at: now,
            replies: Vec::new(),
            task_ends,
        });
        self.submit(job, via);
        Some(job)
    }

    /// Returns the entry VM that issues the job ids for callers of `via`: the zone's
    /// dispatcher as `via` knows it, or `via` itself if that one is unknown, down or paused.
    pub fn issuer_for(&self, via: usize) -> usize {
        let dispatcher = self.core(via).and_then(Core::dispatcher);
        let found = dispatcher.and_then(|name| self.vms.iter().position(|vm| vm.name == name));
        match found {
            Some(vm) if self.vms[vm].core.is_some() && !self.vms[vm].paused => vm,
            _ => via,
        }
    }

    /// Submits a job through an entry VM, for the first time or again.
    pub fn submit(&mut self, job: usize, via: usize) {
        self.send_request(job, via, |vm, job, via| Event::Submit { vm, job, via });
    }

    /// Cancels a job through an entry VM.
    pub fn cancel(&mut self, job: usize, via: usize) {
        self.send_request(job, via, |vm, job, _| Event::Cancel { vm, job });
    }

    /// Sends a caller's request through `via` to the issuer of the job's id. `new_event` makes the
    /// event from the issuer, the job index and `via`.
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
        // The forwarding entry VM times out soon after the job's deadline.
        let timeout = self.jobs[job].spec.deadline() + FORWARD_GRACE;
        self.schedule(timeout, Event::Reply { job, reply: CallerReply::Unknown });
        self.schedule(CROSS_ZONE_DELAY + self.one_way_delay(via, to), new_event(to, job, via));
    }

    /// Replies to a caller whose job's issuer can't be reached from `via`, with the help of the
    /// issuer's zone peers: one of them may have inherited the issuer's ledger.
    pub(super) fn ask_zone_peers(&mut self, job: usize, via: usize, issuer: usize) {
        let reply = (0..self.vms.len())
            .filter(|vm| {
                self.vms[*vm].zone == self.vms[issuer].zone && !self.is_partitioned(via, *vm)
            })
            .find_map(|vm| self.inherited_reply(vm, job))
            .unwrap_or(CallerReply::Unknown);
        self.schedule(CROSS_ZONE_DELAY, Event::Reply { job, reply });
    }

    /// Returns the reply from a ledger that an entry VM has inherited, if it holds the job's id.
    pub(super) fn inherited_reply(&self, vm: usize, job: usize) -> Option<CallerReply> {
        let core = self.core(vm).filter(|_| !self.vms[vm].paused)?;
        Some(match core.look_up_inherited(&self.jobs[job].id)? {
            Ok(ClosedEntry::Answered(_, answer)) => CallerReply::Answer(answer),
            Ok(ClosedEntry::NeverRun) => CallerReply::Answer(Arc::new(Answer::NotRun {
                reason: RefuseReason::Leaving,
                retry_after_ms: 0,
            })),
            Err(_) => CallerReply::Error,
        })
    }

    /// Handles all events that are due until `end`, and sets the virtual time to `end`.
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
