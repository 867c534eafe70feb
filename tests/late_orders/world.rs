//! Dispatchers, targets and callers in virtual time, as events in a queue.

use crate::{
    callers::{Attempt, HEARTBEAT_TIMEOUT, Job},
    mix::{Mix, count, exponential, log_uniform, ms},
    orders::{Call, Reply},
    target::{ModelTarget, Origin},
};
use cranberrytray::{
    coordination::{
        dispatch::{
            Action, Dispatcher, SubmissionKey, TICK_INTERVAL,
            ownership::TargetListStatus,
            timing::{RunBounds, Timing},
        },
        election::{Fenced, FencedDecision},
    },
    state::{
        fleet_config::{
            FleetConfig, Label, Pool, PoolName, Priority, Queue, QueueName, RequestLimits,
        },
        id::ConfigVersion,
        job_submission::{Outcome, TaskId},
        resources::{Mebibytes, MilliCores, Resources},
        target::{FencingToken, TargetId, TargetInfo},
        time::Moment,
    },
};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Difference between the tokens of two dispatchers of a zone.
const TOKEN_STEP: u64 = 1_000;
/// Time over which jobs are sent and faults begin.
const ACTIVE_TIME: Duration = Duration::from_millis(6_000);
/// Time after [`ACTIVE_TIME`] in which every late order is carried out.
const SETTLE_TIME: Duration = Duration::from_millis(13_000);

#[derive(Clone, Debug)]
pub enum Event {
    /// Something that a dispatcher's process handles once it runs.
    Process(usize, Input),
    /// An order reaches its target.
    Order(usize),
    /// Runs of a target may have ended.
    Wake(usize),
    /// A renewal's wait is over.
    WaitOver(usize),
    Crash(usize),
    Freeze(usize, Duration),
    Cut(usize, Duration),
    Pause(usize, Duration),
    Replace(usize),
    Submit(usize),
    /// An entry VM sends a heartbeat.
    Heartbeat(usize, Moment),
    /// The caller of an attempt learns that it has no answer.
    Broken(usize),
    /// The entry VM of an attempt notices the loss of its dispatcher.
    Lost(usize),
    /// An entry VM submits a job, received at this moment, to the next dispatcher.
    Resume(usize, Moment),
    Answered(usize, Outcome),
}

#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    List,
    Submission(usize),
    Cancel(usize),
    Heartbeat(usize, Moment),
    Send(usize),
    Reply(usize, Reply),
    Renew(usize),
    StepDown,
}

/// A dispatcher's process.
pub struct Process {
    pub zone: usize,
    pub core: Dispatcher,
    pub attempts: IndexMap<SubmissionKey, usize>,
    pub paused_until: Moment,
    pub paused_at: Moment,
    pub is_alive: bool,
    since: Moment,
    raised_at: Option<Moment>,
    watched: IndexSet<usize>,
}

pub struct World {
    pub mix: Mix,
    pub rng: SmallRng,
    pub now: Moment,
    queue: BTreeMap<(Moment, u64), Event>,
    event_count: u64,
    pub processes: Vec<Process>,
    /// Process that dispatches each zone.
    pub dispatchers: Vec<usize>,
    pub targets: Vec<ModelTarget>,
    pub calls: Vec<Call>,
    pub jobs: Vec<Job>,
    pub attempts: Vec<Attempt>,
    /// Classes of the cases of two runs of one task at once.
    pub violations: Vec<String>,
    pub completed: u64,
    /// Lines of the schedule, if they are wanted.
    pub trace: Option<Vec<String>>,
}

fn config() -> FleetConfig {
    let queue = Queue {
        name: QueueName::from("queue"),
        host: "host".into(),
        prefix: "/queue/".into(),
        pool: PoolName::from("pool"),
        priority: Priority(0),
        max_attempts: 2,
        objective_factor: 2.0,
        objective_base: ms(100),
        timeout: ms(1_500),
        needs_advice: false,
    };
    FleetConfig {
        version: ConfigVersion(1),
        queues: vec![queue],
        pools: vec![Pool { name: PoolName::from("pool"), rejects_when_full: true }],
        limits: RequestLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
    }
}

impl World {
    pub fn new(mix: Mix, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = mix.zones * mix.targets_per_zone;
        let targets = (0..count)
            .map(|_| ModelTarget::new(rng.random_range(0.5..=1.0) * mix.clock_slowness))
            .collect();
        let mut world = World {
            mix,
            rng,
            now: Moment::new(ms(10_000)),
            queue: BTreeMap::new(),
            event_count: 0,
            processes: Vec::new(),
            dispatchers: vec![0; mix.zones],
            targets,
            calls: Vec::new(),
            jobs: Vec::new(),
            attempts: Vec::new(),
            violations: Vec::new(),
            completed: 0,
            trace: None,
        };
        (0..mix.zones).for_each(|zone| world.add_dispatcher(zone));
        world.schedule_faults();
        world
    }

    fn schedule_faults(&mut self) {
        let start = self.now + self.mix.quiet;
        let at = |rng: &mut SmallRng| start + ACTIVE_TIME.mul_f64(rng.random_range(0.0..1.0));
        let (mix, targets) = (self.mix, 0..self.targets.len());
        for target in targets {
            for _ in 0..count(&mut self.rng, mix.crashes) {
                let at = at(&mut self.rng);
                self.push(at, Event::Crash(target));
            }
            for _ in 0..count(&mut self.rng, mix.freezes) {
                let span = log_uniform(&mut self.rng, ms(50), ms(3_000));
                let at = at(&mut self.rng);
                self.push(at, Event::Freeze(target, span));
            }
            for _ in 0..count(&mut self.rng, mix.cuts) {
                let span = log_uniform(&mut self.rng, ms(50), ms(3_000));
                let at = at(&mut self.rng);
                self.push(at, Event::Cut(target, span));
            }
        }
        for zone in 0..mix.zones {
            for _ in 0..count(&mut self.rng, mix.pauses) {
                let span = log_uniform(&mut self.rng, ms(50), ms(4_000));
                let at = at(&mut self.rng);
                self.push(at, Event::Pause(zone, span));
            }
            for _ in 0..count(&mut self.rng, mix.replacements) {
                let at = at(&mut self.rng);
                self.push(at, Event::Replace(zone));
            }
        }
        for id in 0..mix.jobs {
            let job = Job::random(id, self.mix, &mut self.rng);
            self.jobs.push(job);
            let at = at(&mut self.rng);
            self.push(at, Event::Submit(id as usize));
        }
    }

    fn target_info(&self, n: usize) -> TargetInfo {
        TargetInfo {
            id: TargetId::from(format!("t{n}")),
            incarnation: self.targets[n].incarnation,
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + n as u16)),
            pool: PoolName::from("pool"),
            zone: "zone".parse().unwrap(),
            capacity: Resources {
                cpu: MilliCores(40_000),
                memory: Mebibytes(64_000),
                ..Resources::default()
            },
            kind: Label::from("a"),
            labels: vec![Label::from("a")],
            draining: false,
            cold_for: Duration::ZERO,
        }
    }

    pub fn target_number(id: &TargetId) -> usize {
        id.0[1..].parse().unwrap()
    }

    /// Adds the next dispatcher of a zone.
    pub fn add_dispatcher(&mut self, zone: usize) {
        let number = self.processes.len();
        let token = FencingToken((number as u64 + 1) * TOKEN_STEP);
        let timing = Timing::try_from(RunBounds::default()).unwrap();
        self.processes.push(Process {
            zone,
            core: Dispatcher::new(token, Arc::new(config()), timing, self.now),
            attempts: IndexMap::new(),
            paused_until: Moment::ZERO,
            paused_at: Moment::ZERO,
            is_alive: true,
            since: self.now,
            raised_at: None,
            watched: IndexSet::new(),
        });
        self.dispatchers[zone] = number;
        self.push_in(Duration::ZERO, Event::Process(number, Input::Tick));
        self.push_in(ms(5), Event::Process(number, Input::List));
    }

    pub fn push(&mut self, at: Moment, event: Event) {
        self.event_count += 1;
        self.queue.insert((at, self.event_count), event);
    }

    pub fn push_in(&mut self, delay: Duration, event: Event) {
        self.push(self.now + delay, event);
    }

    pub fn note<F>(&mut self, line: F)
    where
        F: FnOnce() -> String,
    {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:9.1} {}", now.since_start().as_secs_f64() * 1e3, line()));
        }
    }

    /// Plays the whole schedule.
    pub fn run(mut self) -> Self {
        let end = self.now + self.mix.quiet + ACTIVE_TIME + SETTLE_TIME;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Process(number, input) => self.handle_input(number, input),
            Event::Order(call) => self.carry_out_order(call),
            Event::Wake(target) => self.wake(target),
            Event::WaitOver(call) => self.answer_renewal(call),
            Event::Crash(target) => {
                let up_at = self.now + log_uniform(&mut self.rng, ms(1), ms(4_000));
                self.note(|| format!("t{target} crashes until {up_at}"));
                self.reset_connections(target);
                self.targets[target].crash(up_at);
                for number in 0..self.processes.len() {
                    let listed_at = up_at + log_uniform(&mut self.rng, ms(20), ms(2_000));
                    self.push(listed_at, Event::Process(number, Input::List));
                }
            }
            Event::Freeze(target, span) => {
                self.note(|| format!("t{target} is frozen for {span:?}"));
                let until = self.now + span;
                let target = &mut self.targets[target];
                target.frozen_until = target.frozen_until.max(until);
            }
            Event::Cut(target, span) => {
                self.note(|| format!("t{target} can't be reached for {span:?}"));
                let until = self.now + span;
                let target = &mut self.targets[target];
                target.cut_until = target.cut_until.max(until);
            }
            Event::Pause(zone, span) => self.pause(zone, span),
            Event::Replace(zone) => self.replace(zone),
            Event::Submit(job) => self.submit(job, None),
            Event::Resume(job, begun) => self.submit(job, Some(begun)),
            Event::Heartbeat(attempt, echo) => self.send_heartbeat(attempt, echo),
            Event::Lost(attempt) => self.on_lost(attempt),
            Event::Broken(attempt) => self.on_broken(attempt),
            Event::Answered(attempt, outcome) => self.on_answered(attempt, outcome),
        }
    }

    fn handle_input(&mut self, number: usize, input: Input) {
        let process = &self.processes[number];
        if !process.is_alive {
            return;
        }
        if process.paused_until > self.now {
            let until = process.paused_until;
            return self.push(until, Event::Process(number, input));
        }
        let now = self.now;
        match input {
            Input::Tick => {
                self.push_in(TICK_INTERVAL, Event::Process(number, Input::Tick));
                self.drive(number, |core| core.tick(now));
            }
            Input::List => {
                let zone = self.processes[number].zone;
                let first = zone * self.mix.targets_per_zone;
                let list: Vec<TargetInfo> = (first..first + self.mix.targets_per_zone)
                    .map(|target| self.target_info(target))
                    .collect();
                let status = TargetListStatus { is_current: true, is_complete: true };
                self.drive(number, |core| core.update_targets(&list, status, now));
            }
            Input::Submission(attempt) => self.read_submission(number, attempt),
            Input::Cancel(attempt) => {
                let known = self.processes[number].attempts.iter().find(|(_, a)| **a == attempt);
                if let Some(key) = known.map(|(key, _)| *key) {
                    self.note(|| format!("d{number} cancels attempt {attempt}"));
                    self.processes[number].attempts.swap_remove(&key);
                    self.drive(number, |core| core.cancel(key, now));
                }
            }
            Input::Heartbeat(attempt, echo) => self.on_heartbeat(number, attempt, echo),
            Input::Send(call) => self.send(call),
            Input::Reply(call, reply) => self.on_reply(number, call, reply),
            Input::Renew(target) => self.renew(number, target),
            Input::StepDown => {
                self.note(|| format!("d{number} steps down"));
                self.processes[number].core.abandon();
                self.take_actions(number);
                self.processes[number].is_alive = false;
                let zone = self.processes[number].zone;
                if self.dispatchers[zone] == number {
                    self.add_dispatcher(zone);
                }
            }
        }
    }

    /// Calls a core and carries out the actions that it decides.
    pub fn drive<F>(&mut self, number: usize, f: F)
    where
        F: FnOnce(&mut Dispatcher),
    {
        f(&mut self.processes[number].core);
        self.take_actions(number);
    }

    pub fn take_actions(&mut self, number: usize) {
        for action in self.processes[number].core.take_actions() {
            match action {
                Action::Start { request, spec, lease_end } => {
                    self.order_start(number, request, &spec, lease_end);
                }
                Action::Stop(request) => self.order_stop(number, request),
                Action::Answer { key, outcome, .. } => self.answer(number, key, outcome),
                Action::Watch(id) => {
                    let target = World::target_number(&id);
                    if self.processes[number].watched.insert(target) {
                        self.push_in(Duration::ZERO, Event::Process(number, Input::Renew(target)));
                    }
                }
                Action::Fenced { was_accepted, .. } => self.on_fenced(number, was_accepted),
                Action::Log(event) => {
                    if self.trace.is_some() {
                        self.note(|| format!("d{number} log {event:?}"));
                    }
                }
                Action::Redirect { .. } => unreachable!("no other shard is known"),
            }
        }
    }

    fn on_fenced(&mut self, number: usize, was_accepted: bool) {
        let now = self.now;
        let process = &mut self.processes[number];
        let since_raise = process.raised_at.map(|at| now - at);
        let fenced = Fenced { age: now - process.since, since_raise, was_accepted };
        match fenced.decide() {
            FencedDecision::Ignore => {}
            FencedDecision::Raise => {
                process.raised_at = Some(now);
                let raised = process.core.fencing_token().0 + 3 * TOKEN_STEP;
                process.core.raise_fencing_token(FencingToken(raised));
            }
            FencedDecision::StepDown => {
                self.push_in(Duration::ZERO, Event::Process(number, Input::StepDown));
            }
        }
    }

    fn pause(&mut self, zone: usize, span: Duration) {
        let number = self.dispatchers[zone];
        self.note(|| format!("d{number} is paused for {span:?}"));
        self.pause_process(number, span);
    }

    fn pause_process(&mut self, number: usize, span: Duration) {
        let process = &mut self.processes[number];
        if process.paused_until <= self.now {
            process.paused_at = self.now;
        }
        process.paused_until = process.paused_until.max(self.now + span);
        if span > HEARTBEAT_TIMEOUT {
            self.lose_connections(number, HEARTBEAT_TIMEOUT);
        }
    }

    /// Replaces the dispatcher of a zone, which is killed, or paused and then goes on.
    fn replace(&mut self, zone: usize) {
        let old = self.dispatchers[zone];
        if self.rng.random_bool(0.5) {
            self.note(|| format!("d{old} is killed"));
            self.lose_connections(old, Duration::ZERO);
            self.processes[old].is_alive = false;
        } else {
            let span = log_uniform(&mut self.rng, ms(50), ms(4_000));
            self.note(|| format!("d{old} is replaced while paused for {span:?}"));
            self.pause_process(old, span);
            self.lose_connections(old, HEARTBEAT_TIMEOUT);
            let meets_at = span + exponential(&mut self.rng, ms(200));
            self.push_in(meets_at, Event::Process(old, Input::StepDown));
        }
        self.add_dispatcher(zone);
    }

    /// Records a violation if another run of the task exists when one starts on `target`.
    pub fn check_start(&mut self, target: usize, task: TaskId, origin: Origin) {
        let now = self.now;
        for other in 0..self.targets.len() {
            self.targets[other].advance(now);
            let Some(run) = self.targets[other].runs.get(&task).copied() else { continue };
            if other == target && run.origin.decided_at == origin.decided_at {
                continue;
            }
            let (older, newer) = (run.origin, origin);
            let describe = |origin: Origin, started_at: Moment, target: &ModelTarget| {
                let delay = started_at - origin.decided_at;
                let lateness = if delay > ms(50) { "late" } else { "prompt" };
                let restarted =
                    if origin.sent_to == target.incarnation { "" } else { " after a restart" };
                format!("{lateness} start{restarted}")
            };
            let zone = |origin: Origin| self.processes[origin.dispatcher].zone;
            let senders = match (zone(older) == zone(newer), older.dispatcher == newer.dispatcher) {
                (_, true) => "one dispatcher",
                (true, false) => "two dispatchers of a zone",
                (false, false) => "two zones",
            };
            let class = format!(
                "{senders}: {}, then {}",
                describe(older, run.started_at, &self.targets[other]),
                describe(newer, now, &self.targets[target]),
            );
            self.note(|| format!("VIOLATION {task} on t{other} and t{target}: {class}"));
            self.violations.push(class);
        }
    }
}
