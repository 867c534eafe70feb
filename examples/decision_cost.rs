//! Measures what one decision of a dispatcher costs: a submission with the pass over the queue that
//! follows it, and a tick, at several numbers of targets and of waiting jobs.
//!
//! Every target is full, and tasks need 16 cores on average (standard deviation 3.2, at most 24) of
//! targets with 32. Run it with `cargo run --release --locked --example decision_cost`; names of
//! mechanisms to be switched off may follow, separated by commas.

use cranberrytray::{
    coordination::dispatch::{
        Action, Dispatcher,
        ownership::TargetListStatus,
        replies::StartReply,
        timing::{RunBounds, Timing},
    },
    state::{
        fleet_config::{
            FleetConfig, Label, Pool, PoolName, Priority, Queue, QueueName, RequestLimits,
        },
        id::ConfigVersion,
        job_submission::{CallerJobId, JobSubmission, Step},
        mechanism::MechanismSet,
        resources::{Mebibytes, MilliCores, Resources},
        target::{FencingToken, TargetId, TargetIncarnation, TargetInfo, TargetReport, TargetTime},
        time::Moment,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Decisions that are measured at each size.
const DECISIONS: usize = 200;
/// Tasks of a waiting job.
const TASKS_PER_JOB: u32 = 2;
/// So far away that no waiting job is refused or shed.
const TIMEOUT: Duration = Duration::from_secs(36_000);

fn main() {
    let disabled: MechanismSet = match std::env::args().nth(1).unwrap_or_default().parse() {
        Ok(disabled) => disabled,
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2);
        }
    };
    println!("targets  waiting  submit: median / p99 / max us  tick: median / p99 / max us");
    for targets in [88, 350, 830] {
        for waiting in [10, 100, 1_000] {
            let mut bench = Bench::new(targets, waiting, disabled);
            let (submits, ticks) = bench.measure();
            println!("{targets:7}  {waiting:7}  {submits:>29}  {ticks:>27}");
        }
    }
}

/// A dispatcher whose targets are full and whose queue is filled.
struct Bench {
    dispatcher: Dispatcher,
    now: Moment,
    rng: SmallRng,
    last_id: u64,
}

impl Bench {
    fn new(targets: usize, waiting: usize, disabled: MechanismSet) -> Self {
        let now = Moment::new(Duration::from_secs(10));
        let timing = Timing::try_from(RunBounds::default()).expect("default bounds are valid");
        let mut dispatcher = Dispatcher::new(FencingToken(1), Arc::new(config()), timing, now);
        dispatcher.disable(disabled);
        let list: Vec<TargetInfo> = (0..targets).map(target_info).collect();
        let status = TargetListStatus { is_current: true, is_complete: true };
        dispatcher.update_targets(&list, status, now);
        let mut bench = Bench { dispatcher, now, rng: SmallRng::seed_from_u64(1), last_id: 0 };
        for ms in [0, 100] {
            bench.now = now + Duration::from_millis(ms);
            bench.renew_leases(&list);
        }
        assert_eq!(bench.dispatcher.usable_targets(), targets);
        while bench.waiting_jobs() < waiting {
            bench.submit();
            bench.confirm_starts();
        }
        bench
    }

    /// Number of open jobs that the started tasks leave over; one job may have begun.
    fn waiting_jobs(&self) -> usize {
        let started = self.dispatcher.counts().starts / u64::from(TASKS_PER_JOB);
        self.dispatcher.open_jobs() - started as usize
    }

    fn renew_leases(&mut self, list: &[TargetInfo]) {
        for info in list {
            if self.dispatcher.next_lease_renewal(&info.id, self.now).is_none() {
                continue;
            }
            let report = TargetReport {
                clock: TargetTime(self.now.since_start().as_millis() as u64),
                incarnation: Some(info.incarnation),
                ..TargetReport::default()
            };
            self.dispatcher.on_lease_renewal_reply(&info.id, self.now, Ok(report), self.now);
        }
        self.dispatcher.tick(self.now);
    }

    fn confirm_starts(&mut self) {
        for action in self.dispatcher.take_actions() {
            if let Action::Start { request, .. } = action {
                let clock = TargetTime(self.now.since_start().as_millis() as u64);
                self.dispatcher.on_start_reply(
                    &request.target,
                    request.task,
                    request.run,
                    StartReply::Started(clock),
                    self.now,
                );
            }
        }
    }

    fn submit(&mut self) -> cranberrytray::coordination::dispatch::SubmissionKey {
        self.last_id += 1;
        // The sum of twelve uniform numbers is close to a normal distribution.
        let deviation = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let cpu = (16_000.0 + 3_200.0 * deviation).clamp(4_000.0, 24_000.0) as u64;
        let declared = Duration::from_millis(self.rng.random_range(200..800));
        let step = Step {
            count: TASKS_PER_JOB,
            needs: Resources {
                cpu: MilliCores(cpu),
                memory: Mebibytes(64),
                ..Resources::default()
            },
            declared: Some(declared),
            after: Vec::new(),
            required: None,
            near: None,
            same_rack: false,
            most_per_target: None,
        };
        let submission = JobSubmission {
            id: CallerJobId::new(self.last_id),
            queue: QueueName::from("queue"),
            spec: "".into(),
            steps: vec![step],
            time_to_deadline: TIMEOUT,
        };
        self.dispatcher.submit(submission, false, false, self.now)
    }

    fn measure(&mut self) -> (String, String) {
        let (mut submits, mut ticks) = (Vec::new(), Vec::new());
        for _ in 0..DECISIONS {
            let start = Instant::now();
            let key = self.submit();
            submits.push(start.elapsed());
            self.confirm_starts();
            self.dispatcher.cancel(key, self.now);
            let start = Instant::now();
            self.dispatcher.tick(self.now);
            ticks.push(start.elapsed());
            self.dispatcher.take_actions();
        }
        (summary(submits), summary(ticks))
    }
}

fn summary(mut times: Vec<Duration>) -> String {
    times.sort();
    let us = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_micros();
    format!("{} / {} / {}", us(0.5), us(0.99), us(1.0))
}

fn config() -> FleetConfig {
    let queue = Queue {
        name: QueueName::from("queue"),
        host: "host".into(),
        prefix: "/queue/".into(),
        pool: PoolName::from("pool"),
        priority: Priority(0),
        max_attempts: 2,
        objective_factor: 1.0,
        objective_base: TIMEOUT / 2,
        timeout: TIMEOUT,
        needs_advice: false,
    };
    FleetConfig {
        version: ConfigVersion(1),
        queues: vec![queue],
        pools: vec![Pool { name: PoolName::from("pool"), rejects_when_full: true }],
        limits: RequestLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

fn target_info(n: usize) -> TargetInfo {
    TargetInfo {
        id: TargetId::from(format!("t{n}")),
        incarnation: TargetIncarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + n as u16)),
        pool: PoolName::from("pool"),
        zone: "zone".parse().expect("a valid name"),
        capacity: Resources {
            cpu: MilliCores(32_000),
            memory: Mebibytes(64_000),
            ..Resources::default()
        },
        kind: Label::from("kind"),
        labels: vec![Label::from("kind"), Label::from(format!("rack-{}", n / 8))],
        draining: false,
        cold_for: Duration::ZERO,
    }
}
