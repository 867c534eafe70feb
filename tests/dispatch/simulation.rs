//! A zone in virtual time: the real dispatcher, and targets that follow their contract.

use cranberrytray::{
    coordination::dispatch::{
        Action, Dispatcher, LogEvent, RunRequest, SubmissionKey,
        ownership::TargetListStatus,
        replies::{LeaseRenewalError, StartRefusal, StartReply, StopReply},
    },
    state::{
        id::ConfigVersion,
        plan::{Label, Plan, Pool, PoolName, Priority, Queue, QueueName, RequestLimits},
        resources::{Mebibytes, MilliCores, Resources},
        target::{
            EndedRun, Fence, HowEnded, Life, Report, RunningRun, TargetId, TargetInfo, TargetTime,
        },
        time::Moment,
        work::{Outcome, RunNumber, Step, TaskId, Work, WorkId},
    },
};
use indexmap::IndexMap;
use std::{net::SocketAddr, sync::Arc, time::Duration};

pub const URGENT: &str = "urgent";
pub const LONG: &str = "long";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn config(version: u64) -> Plan {
    let queue = |name: &str, priority| Queue {
        name: QueueName::from(name),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        pool: PoolName::from("pool"),
        priority: Priority(priority),
        max_attempts: 2,
        stretch: 1.6,
        allowance: ms(60),
        timeout: ms(1_500),
    };
    Plan {
        version: ConfigVersion(version),
        queues: vec![queue(URGENT, 0), queue(LONG, 2)],
        pools: vec![Pool { name: PoolName::from("pool"), guarded: true }],
        limits: RequestLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
    }
}

pub fn info(n: usize) -> TargetInfo {
    TargetInfo {
        id: TargetId::from(format!("t{n}")),
        life: Life(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + n as u16)),
        pool: PoolName::from("pool"),
        zone: "zone".parse().unwrap(),
        capacity: Resources {
            cpu: MilliCores(32_000),
            memory: Mebibytes(64_000),
            ..Resources::default()
        },
        kind: Label::from("a"),
        labels: vec![Label::from("a"), Label::from(format!("rack-{}", n / 8))],
        draining: false,
    }
}

pub fn work(id: u64, queue: &str, count: u32, declared: Duration) -> Work {
    let step = Step {
        count,
        needs: Resources { cpu: MilliCores(14_000), memory: Mebibytes(64), ..Resources::default() },
        declared: Some(declared),
        after: Vec::new(),
        required: None,
        near: None,
        same_rack: false,
        most_per_target: None,
    };
    Work {
        id: WorkId(id),
        queue: QueueName::from(queue),
        spec: format!("{}", declared.as_millis()).into(),
        steps: vec![step],
        patience: ms(1_500),
    }
}

/// What a target does with orders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    /// What it is told.
    #[default]
    Sound,
    /// Runs make no progress.
    Hangs,
    /// Runs fail at once.
    Fails,
    /// Starts are carried out, but their answers are lost.
    LosesStartAnswers,
    /// Stops are not carried out, and not answered.
    LosesStops,
    /// The first start of each task is not carried out, and not answered.
    LosesFirstStarts,
    /// Starts are carried out, the answer to the first is lost, and no connection can be made for the
    /// second.
    BreaksAfterStart,
    /// One hold in twelve has no answer.
    LosesRenewalReplies,
    /// Nothing is answered, but what runs goes on.
    Silent,
}

#[derive(Clone, Debug)]
struct FakeRun {
    number: RunNumber,
    begun: Moment,
    length: Duration,
    ends: Option<Moment>,
    how: HowEnded,
    cpu: u64,
}

/// A target.
#[derive(Debug)]
pub struct FakeTarget {
    pub mood: Mood,
    /// Work done in a unit of time, 1 being usual.
    pub speed: f64,
    pub fencing_token: Fence,
    runs: IndexMap<TaskId, FakeRun>,
    ended: Vec<EndedRun>,
    count: u64,
    pub lease: Moment,
    acknowledged: u64,
    pub starts: Vec<(TaskId, Moment)>,
    next_renewal: Moment,
    /// The end of a hold whose answer will be lost.
    lost_renewal_end: Option<Moment>,
    renewals: u64,
    refused: Vec<TaskId>,
    watched: bool,
}

impl Default for FakeTarget {
    fn default() -> Self {
        FakeTarget {
            mood: Mood::Sound,
            speed: 1.0,
            fencing_token: Fence::default(),
            runs: IndexMap::new(),
            ended: Vec::new(),
            count: 0,
            lease: Moment::ZERO,
            acknowledged: 0,
            starts: Vec::new(),
            next_renewal: Moment::ZERO,
            lost_renewal_end: None,
            renewals: 0,
            refused: Vec::new(),
            watched: false,
        }
    }
}

impl FakeTarget {
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// A run of an earlier dispatcher.
    pub fn plant(&mut self, task: TaskId, length: Duration, now: Moment) {
        let ends = Some(now + length);
        let how = HowEnded::Done;
        let run = FakeRun { number: RunNumber(1), begun: now, length, ends, how, cpu: 14_000 };
        self.runs.insert(task, run);
        self.lease = now + ms(900);
    }

    fn step(&mut self, now: Moment) {
        let lapsed = self.lease <= now;
        let over: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends.is_some_and(|end| end <= now))
            .map(|(task, _)| *task)
            .collect();
        for task in over {
            let run = self.runs.swap_remove(&task).unwrap();
            self.count += 1;
            let done = run.ends.is_some_and(|end| end <= now);
            let how = if done { run.how } else { HowEnded::Lost };
            self.ended.push(EndedRun { number: self.count, task, run: run.number, how });
        }
    }

    fn report(&self, now: Moment) -> Report {
        let running = self.runs.iter().filter(|(_, run)| run.how != HowEnded::Stopped);
        let running = running.map(|(task, run)| {
            let share = (now - run.begun).as_secs_f64() / run.length.as_secs_f64();
            let percent = if run.ends.is_some() { (share * 100.0) as u32 } else { 0 };
            RunningRun { task: *task, run: run.number, percent }
        });
        Report {
            clock: TargetTime(now.since_start().as_millis() as u64),
            life: Some(Life(1)),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

/// A dispatcher and its targets.
pub struct World {
    pub now: Moment,
    pub dispatch: Dispatcher,
    pub targets: IndexMap<TargetId, FakeTarget>,
    pub answers: IndexMap<SubmissionKey, (Outcome, Moment)>,
    pub redirected: Vec<(SubmissionKey, SocketAddr)>,
    pub doubles: Vec<TaskId>,
    pub notes: Vec<(Moment, LogEvent)>,
    list: Vec<TargetInfo>,
    pub list_status: TargetListStatus,
}

impl World {
    pub fn new(targets: usize) -> Self {
        let now = Moment::new(ms(10_000));
        let mut world = World {
            now,
            dispatch: Dispatcher::new(Fence(100), Arc::new(config(1)), now),
            targets: IndexMap::new(),
            answers: IndexMap::new(),
            redirected: Vec::new(),
            doubles: Vec::new(),
            notes: Vec::new(),
            list: (0..targets).map(info).collect(),
            list_status: TargetListStatus { is_current: true, is_complete: true },
        };
        for info in &world.list {
            world.targets.insert(info.id.clone(), FakeTarget::default());
        }
        world
    }

    /// With targets of these speeds, which the dispatcher has learned.
    pub fn with_speeds(speeds: &[f64]) -> Self {
        let mut world = World::new(speeds.len()).started();
        for (target, speed) in world.targets.values_mut().zip(speeds) {
            target.speed = *speed;
        }
        for id in 0..60 {
            world.submit(work(1_000 + id, URGENT, 2 * speeds.len() as u32, ms(60)));
            world.run(ms(250));
        }
        world.targets.values_mut().for_each(|target| target.starts.clear());
        world
    }

    /// Makes the targets known, and runs until they are taken.
    pub fn started(mut self) -> Self {
        self.announce();
        self.run(ms(100));
        self
    }

    pub fn announce(&mut self) {
        self.dispatch.update_targets(&self.list, self.list_status, self.now);
        self.act();
    }

    pub fn change<F>(&mut self, n: usize, f: F)
    where
        F: FnOnce(&mut TargetInfo),
    {
        f(&mut self.list[n]);
        self.announce();
    }

    pub fn target(&mut self, n: usize) -> &mut FakeTarget {
        self.targets.get_index_mut(n).unwrap().1
    }

    pub fn submit(&mut self, work: Work) -> SubmissionKey {
        self.submit_as(work, false, false)
    }

    pub fn submit_as(&mut self, work: Work, may_redirect: bool, resumed: bool) -> SubmissionKey {
        let key = self.dispatch.submit(work, may_redirect, resumed, self.now);
        self.act();
        key
    }

    pub fn outcome(&self, key: SubmissionKey) -> Option<Outcome> {
        self.answers.get(&key).map(|(outcome, _)| *outcome)
    }

    pub fn starts(&self) -> usize {
        self.targets.values().map(|t| t.starts.len()).sum()
    }

    /// Runs for a while, a millisecond at a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ms(1);
            self.step_targets();
            if self.now.since_start().as_millis().is_multiple_of(25) {
                self.dispatch.tick(self.now);
                self.act();
            }
        }
    }

    fn step_targets(&mut self) {
        let ids: Vec<TargetId> = self.targets.keys().cloned().collect();
        for id in ids {
            let target = &mut self.targets[&id];
            target.step(self.now);
            if let Some(end) = target.lost_renewal_end {
                if end <= self.now {
                    target.lost_renewal_end = None;
                    self.dispatch.on_lease_renewal_reply(
                        &id,
                        self.now,
                        Err(LeaseRenewalError::NoAnswer),
                        self.now,
                    );
                    self.act();
                }
                continue;
            }
            let news = target.ended.last().is_some_and(|end| end.number > target.acknowledged);
            if target.watched && (news || target.next_renewal <= self.now) {
                self.renew_leases(&id);
            }
        }
        self.check_doubles();
    }

    fn renew_leases(&mut self, id: &TargetId) {
        let Some(renewal) = self.dispatch.next_lease_renewal(id, self.now) else { return };
        let now = self.now;
        let target = &mut self.targets[id];
        target.next_renewal = now + renewal.wait.max(ms(5));
        target.renewals += 1;
        if target.mood == Mood::LosesRenewalReplies && target.renewals.is_multiple_of(12) {
            target.lost_renewal_end = Some(now + renewal.wait + renewal.timeout);
            return;
        }
        let reply = if target.mood == Mood::Silent {
            target.next_renewal = now + ms(150);
            Err(LeaseRenewalError::NoAnswer)
        } else if renewal.fencing_token < target.fencing_token {
            Err(LeaseRenewalError::Fenced)
        } else {
            target.fencing_token = renewal.fencing_token;
            target.acknowledged = renewal.last_end;
            target.ended.retain(|end| end.number > renewal.last_end);
            if let Some(TargetTime(lease_end)) = renewal.lease_end {
                target.lease = target.lease.max(Moment::new(ms(lease_end)));
            }
            let report = target.report(now);
            target.acknowledged = target.ended.last().map_or(renewal.last_end, |end| end.number);
            Ok(report)
        };
        self.dispatch.on_lease_renewal_reply(id, now, reply, now);
        self.act();
    }

    fn check_doubles(&mut self) {
        let mut seen: IndexMap<TaskId, u32> = IndexMap::new();
        for target in self.targets.values() {
            for task in target.runs.keys() {
                *seen.entry(*task).or_default() += 1;
            }
        }
        self.doubles.extend(seen.into_iter().filter(|(_, n)| *n > 1).map(|(task, _)| task));
    }

    pub fn act(&mut self) {
        loop {
            let actions = self.dispatch.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Start { request, spec, lease_end } => {
                        self.start(&request, &spec, lease_end)
                    }
                    Action::Stop(request) => self.stop(&request),
                    Action::Answer { key, outcome, .. } => {
                        self.answers.insert(key, (outcome, self.now));
                    }
                    Action::Watch(id) => self.targets[&id].watched = true,
                    Action::Redirect { key, to, .. } => self.redirected.push((key, to)),
                    Action::Log(note) => self.notes.push((self.now, note)),
                    Action::Fenced(_) => {}
                }
            }
        }
    }

    fn start(&mut self, request: &RunRequest, spec: &str, lease_end: TargetTime) {
        let now = self.now;
        let target = &mut self.targets[&request.target];
        let clock = TargetTime(now.since_start().as_millis() as u64);
        let used: u64 = target.runs.values().map(|run| run.cpu).sum();
        let reply = if target.mood == Mood::Silent {
            StartReply::Unknown
        } else if request.fencing_token < target.fencing_token {
            StartReply::Refused(StartRefusal::Fenced, Some(clock))
        } else if target.mood == Mood::LosesFirstStarts && !target.refused.contains(&request.task) {
            target.refused.push(request.task);
            StartReply::Unknown
        } else if target.runs.get(&request.task).is_some_and(|run| run.number == request.run) {
            match target.mood {
                Mood::LosesStartAnswers => StartReply::Unknown,
                Mood::BreaksAfterStart => StartReply::NotSent,
                _ => StartReply::Started(clock),
            }
        } else if used + 14_000 > 32_000 {
            StartReply::Refused(StartRefusal::InsufficientCapacity, Some(clock))
        } else {
            let length = ms(spec.parse().unwrap()).div_f64(target.speed);
            let (ends, how) = match target.mood {
                Mood::Hangs => (None, HowEnded::Done),
                Mood::Fails => (Some(now + ms(1)), HowEnded::Failed),
                _ => (Some(now + length), HowEnded::Done),
            };
            let run = FakeRun { number: request.run, begun: now, length, ends, how, cpu: 14_000 };
            target.runs.insert(request.task, run);
            target.starts.push((request.task, now));
            target.lease = target.lease.max(Moment::new(ms(lease_end.0)));
            match target.mood {
                Mood::LosesStartAnswers | Mood::BreaksAfterStart => StartReply::Unknown,
                _ => StartReply::Started(clock),
            }
        };
        self.dispatch.on_start_reply(&request.target, request.task, request.run, reply, now);
    }

    fn stop(&mut self, request: &RunRequest) {
        let now = self.now;
        let target = &mut self.targets[&request.target];
        let reply = if matches!(target.mood, Mood::Silent | Mood::LosesStops) {
            StopReply::Unknown
        } else if request.fencing_token < target.fencing_token {
            StopReply::Fenced
        } else {
            if let Some(run) =
                target.runs.get_mut(&request.task).filter(|r| r.number == request.run)
                && run.how != HowEnded::Stopped
            {
                // As slow as the platform allows.
                run.ends = Some(now + ms(50));
                run.how = HowEnded::Stopped;
            }
            StopReply::Stopped
        };
        self.dispatch.on_stop_reply(&request.target, request.task, request.run, reply, now);
    }
}
