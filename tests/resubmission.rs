//! Jobs that callers submit again in another zone, since an entry VM has lost its dispatcher.

use cranberrytray::{
    coordination::dispatch::{
        RunRequest,
        ownership::LeaseRenewal,
        replies::{LeaseRenewalError, StartReply, StopReply},
        timing::{RunBounds, Timing},
    },
    fleet::{Node, TargetClient},
    protocol::fleet::Peer,
    state::{
        fleet_config::{FleetConfig, Label, Pool, PoolName, Priority, Queue, RequestLimits},
        id::{ConfigVersion, Incarnation, ZoneName},
        job_submission::{CallerJobId, JobSubmission, Outcome, Refusal, RunNumber, Step, TaskId},
        mechanism::MechanismSet,
        resources::{Mebibytes, MilliCores, Resources},
        target::{
            EndedRun, RunOutcome, RunningRun, TargetId, TargetIncarnation, TargetInfo,
            TargetReport, TargetTime,
        },
    },
    transport::fleet::serve,
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{LocalSet, spawn_local},
    time::sleep,
};

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const TARGETS_PER_ZONE: usize = 4;
const JOBS: u64 = 40;
const RUN_TIME: Duration = Duration::from_millis(400);
const STOP_TIME: Duration = Duration::from_millis(20);
/// Time after which callers submit a job again whose outcome is unknown.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);

/// A run on a target.
#[derive(Clone)]
struct FakeRun {
    target: TargetId,
    task: TaskId,
    number: RunNumber,
    started: Instant,
    ends: Instant,
    is_stopped: bool,
}

/// The targets of all zones; they accept every request.
#[derive(Clone)]
struct Targets {
    started: Instant,
    runs: Rc<RefCell<Vec<FakeRun>>>,
}

impl Targets {
    /// Targets on which tasks of a job were started.
    fn targets_of(&self, job: CallerJobId) -> Vec<TargetId> {
        let runs = self.runs.borrow();
        runs.iter().filter(|run| run.task.job == job).map(|run| run.target.clone()).collect()
    }

    fn clock(&self) -> TargetTime {
        TargetTime(1_000 + self.started.elapsed().as_millis() as u64)
    }

    fn report(&self, renewal: &LeaseRenewal) -> TargetReport {
        let now = Instant::now();
        let mut runs: Vec<FakeRun> =
            self.runs.borrow().iter().filter(|r| r.target == renewal.target).cloned().collect();
        let running = runs.iter().filter(|r| r.ends > now).map(|r| RunningRun {
            task: r.task,
            run: r.number,
            progress_percent: (r.started.elapsed().as_millis() * 100 / RUN_TIME.as_millis()) as u32,
        });
        let running = running.collect();
        runs.retain(|r| r.ends <= now);
        runs.sort_by_key(|r| r.ends);
        let ended = runs.iter().zip(1..).filter(|(_, sequence)| *sequence > renewal.last_end);
        let ended = ended.map(|(r, sequence)| EndedRun {
            sequence,
            task: r.task,
            run: r.number,
            outcome: if r.is_stopped { RunOutcome::Stopped } else { RunOutcome::Done },
        });
        TargetReport {
            clock: self.clock(),
            running,
            ended: ended.collect(),
            ..TargetReport::default()
        }
    }

    /// Tasks of which two runs existed at the same time.
    fn tasks_run_twice(&self) -> Vec<TaskId> {
        let runs = self.runs.borrow();
        let is_twice = |(n, a): (usize, &FakeRun)| {
            let mut later = runs[n + 1..].iter();
            later.any(|b| a.task == b.task && a.started < b.ends && b.started < a.ends)
        };
        let twice = runs.iter().enumerate().filter(|run| is_twice(*run));
        twice.map(|(_, run)| run.task).collect()
    }
}

impl TargetClient for Targets {
    async fn start(&self, request: &RunRequest, _: &str, _: TargetTime) -> StartReply {
        let started = Instant::now();
        self.runs.borrow_mut().push(FakeRun {
            target: request.target.clone(),
            task: request.task,
            number: request.run,
            started,
            ends: started + RUN_TIME,
            is_stopped: false,
        });
        StartReply::Started(self.clock())
    }

    async fn stop(&self, request: &RunRequest) -> StopReply {
        let now = Instant::now();
        let mut runs = self.runs.borrow_mut();
        let is_meant = |r: &&mut FakeRun| {
            r.target == request.target && r.task == request.task && r.ends > now + STOP_TIME
        };
        if let Some(run) = runs.iter_mut().find(is_meant) {
            run.ends = now + STOP_TIME;
            run.is_stopped = true;
        }
        StopReply::Stopped
    }

    async fn renew_leases(
        &self,
        renewal: &LeaseRenewal,
    ) -> Result<TargetReport, LeaseRenewalError> {
        let sent = Instant::now();
        loop {
            let report = self.report(renewal);
            if !report.ended.is_empty() || sent.elapsed() >= renewal.wait {
                return Ok(report);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}

fn config() -> FleetConfig {
    let queue = Queue {
        name: "queue".into(),
        host: "host".into(),
        prefix: "/queue/".into(),
        pool: PoolName::from("pool"),
        priority: Priority(0),
        max_attempts: 2,
        objective_factor: 1.6,
        objective_base: Duration::from_millis(60),
        timeout: Duration::from_millis(1_500),
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

fn target(zone: &str, n: usize) -> TargetInfo {
    TargetInfo {
        id: TargetId::from(format!("{zone}-{n}")),
        incarnation: TargetIncarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        pool: PoolName::from("pool"),
        zone: zone.parse().unwrap(),
        capacity: Resources {
            cpu: MilliCores(16_000),
            memory: Mebibytes(64_000),
            ..Resources::default()
        },
        kind: Label::from("a"),
        labels: vec![Label::from("a"), Label::from("rack-1")],
        draining: false,
        cold_for: Duration::ZERO,
    }
}

fn job(id: u64) -> JobSubmission {
    let step = Step {
        count: 1,
        needs: Resources { cpu: MilliCores(1_000), ..Resources::default() },
        declared: Some(RUN_TIME),
        after: Vec::new(),
        required: None,
        near: None,
        same_rack: false,
        most_per_target: None,
    };
    JobSubmission {
        id: CallerJobId::new(id),
        queue: "queue".into(),
        spec: "{}".into(),
        steps: vec![step],
        time_to_deadline: Duration::from_millis(1_500),
    }
}

/// A relay that can hold back what is sent to a VM. What the VM sends passes at once.
struct Relay {
    address: SocketAddr,
    holds: watch::Sender<bool>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let holds = watch::Sender::new(false);
        let held = holds.subscribe();
        spawn_local(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                let held = held.clone();
                spawn_local(async move {
                    let Ok(outbound) = TcpStream::connect(to).await else { return };
                    let (mut from_sender, mut to_sender) = inbound.into_split();
                    let (mut from_vm, mut to_vm) = outbound.into_split();
                    spawn_local(async move { copy(&mut from_vm, &mut to_sender).await });
                    forward(&mut from_sender, &mut to_vm, held).await;
                });
            }
        });
        Relay { address, holds }
    }
}

/// Forwards bytes, and holds them back while `held` is true.
async fn forward<R, W>(from: &mut R, to: &mut W, mut held: watch::Receiver<bool>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        let released = held.wait_for(|held| !held).await.is_ok();
        if !released || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
    let _ = held.wait_for(|held| !held).await;
    let _ = to.shutdown().await;
}

/// Two zones with a dispatcher each, and an entry VM in the first one whose requests to its
/// dispatcher pass a relay.
struct Site {
    targets: Targets,
    entry: Rc<Node<Targets>>,
    dispatchers: [Rc<Node<Targets>>; 2],
    relay: Relay,
}

impl Site {
    async fn start() -> Site {
        Site::start_with_versions([true; 2]).await
    }

    /// Starts a site with dispatchers of which some are of a version that doesn't know the case of ids.
    async fn start_with_versions(knows_id_case: [bool; 2]) -> Site {
        let targets = Targets { started: Instant::now(), runs: Rc::default() };
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let mut addresses: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let relay = Relay::start(addresses[0]).await;
        addresses[0] = relay.address;
        let [knows_a, knows_b] = knows_id_case;
        let vms = [
            ("dispatcher-a", 0, 500, knows_a),
            ("dispatcher-b", 1, 500, knows_b),
            ("entry-a", 0, 100, true),
        ];
        let peers: Vec<Peer> = vms
            .iter()
            .zip(&addresses)
            .map(|((vm, zone, weight, knows_id_case), address)| Peer {
                vm: vm.parse().unwrap(),
                zone: ZONES[*zone].parse().unwrap(),
                address: *address,
                weight: *weight,
                incarnation: Incarnation(1),
                knows_shards: true,
                knows_id_case: *knows_id_case,
            })
            .collect();
        let zones: Vec<ZoneName> = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
        let timing = Timing::try_from(RunBounds::default()).unwrap();
        let mut nodes = Vec::new();
        for (listener, me) in listeners.into_iter().zip(&peers) {
            let node = Node::new(me.clone(), targets.clone(), timing, MechanismSet::optional());
            spawn_local(serve(listener, Rc::clone(&node)));
            node.set_config(config(), "the test");
            node.add_peers(peers.clone());
            nodes.push(node);
        }
        for node in &nodes[..2] {
            let list = ZONES.iter().flat_map(|zone| (0..TARGETS_PER_ZONE).map(|n| target(zone, n)));
            node.on_targets_read(Some(list.collect()));
        }
        nodes.iter().for_each(|node| node.spawn(zones.clone()));
        let entry = nodes.pop().unwrap();
        let dispatchers = nodes.try_into().unwrap_or_else(|_| panic!("two dispatchers"));
        Site { targets, entry, dispatchers, relay }
    }

    /// Waits until jobs are completed through each VM.
    async fn wait_until_served(&self) {
        let begun = Instant::now();
        let mut ids = 1_000..;
        for node in self.dispatchers.iter().chain([&self.entry]) {
            while node.submit(job(ids.next().unwrap())).await != Outcome::Completed {
                assert!(begun.elapsed() < Duration::from_secs(20));
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Guards against a job that runs in two zones at once: the network delays its submission to the first
/// dispatcher until its caller, which has got no outcome, has submitted it in the other zone.
#[test]
fn submission_delayed_past_the_resubmission_runs_once() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let site = Rc::new(Site::start().await);
        site.wait_until_served().await;
        site.relay.holds.send_replace(true);
        let resubmitted = Rc::new(Cell::new(0));
        let callers: Vec<_> = (0..JOBS)
            .map(|id| {
                let (site, resubmitted) = (Rc::clone(&site), Rc::clone(&resubmitted));
                spawn_local(async move {
                    assert_eq!(site.entry.submit(job(id)).await, Outcome::Unknown);
                    sleep(RESUBMIT_DELAY).await;
                    resubmitted.set(resubmitted.get() + 1);
                    site.dispatchers[1].submit(job(id)).await
                })
            })
            .collect();
        while resubmitted.get() < JOBS {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(RUN_TIME / 4).await;
        site.relay.holds.send_replace(false);
        let mut completed = 0;
        for caller in callers {
            completed += u32::from(caller.await.unwrap() == Outcome::Completed);
        }
        let twice = site.targets.tasks_run_twice().len();
        assert_eq!((twice, completed), (0, JOBS as u32), "run twice and completed, of {JOBS}");
    });
}

/// Guards against a job that runs under the id of another one while VMs are upgraded: its id has capitals, which
/// a dispatcher of an earlier version doesn't keep. Another zone runs it, and if all are of that version, none.
#[test]
fn job_id_with_capitals_is_not_sent_to_an_older_dispatcher() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let submission = JobSubmission { id: "000000000000A0BC".parse().unwrap(), ..job(0) };
        let site = Site::start_with_versions([false, true]).await;
        site.wait_until_served().await;
        assert_eq!(site.entry.submit(submission.clone()).await, Outcome::Completed);
        let targets = site.targets.targets_of(submission.id);
        let is_in_second_zone = |target: &TargetId| target.0.starts_with(ZONES[1]);
        assert!(!targets.is_empty() && targets.iter().all(is_in_second_zone), "{targets:?}");

        let site = Site::start_with_versions([false, false]).await;
        site.wait_until_served().await;
        let outcome = site.entry.submit(submission.clone()).await;
        let is_refused = matches!(outcome, Outcome::NotRun { refusal: Refusal::NoDispatcher, .. });
        assert!(is_refused, "{outcome:?}");
        let lower_case = CallerJobId::new(submission.id.number());
        assert!(site.targets.targets_of(lower_case).is_empty());
    });
}
