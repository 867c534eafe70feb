//! Heartbeats between VMs, over a loopback connection.

use cranberrytray::{
    fleet::clock::Clock,
    protocol::{
        fleet::{
            DispatchReply, Heartbeat, Peer, Snapshot, TargetList, read_dispatch_reply,
            write_heartbeat, write_job_submission,
        },
        fleet_capnp::peer,
    },
    state::{
        crash_history::{Loss, TaskLosses},
        evacuation::Evacuations,
        id::{ConfigVersion, Incarnation, ZoneName},
        job_submission::{CallerJobId, JobSubmission, Outcome, Refusal, TaskId},
        resources::MilliCores,
        shard::ShardCount,
        target::{TargetId, TargetIncarnation},
        time::Moment,
    },
    transport::{
        fleet::{DispatchOptions, PeerHandler, PeerLink, Submitter, serve},
        rpc::connect,
    },
};
use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
    time::sleep,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A VM that sends a fixed heartbeat and completes all jobs at once.
struct Sender {
    heartbeat: Heartbeat,
    clock: Clock,
    /// Time for which the machine was suspended.
    suspended: Cell<Duration>,
    /// Times of silence before the heartbeats.
    silences: RefCell<Vec<Duration>>,
    /// Times to the deadline of the jobs that were submitted.
    submitted: RefCell<Vec<Duration>>,
    /// Number of heartbeats received.
    heartbeats: Cell<u32>,
    /// Number of handovers received.
    handovers: Cell<u32>,
}

impl Sender {
    fn new(heartbeat: Heartbeat) -> Rc<Self> {
        Rc::new(Sender {
            heartbeat,
            clock: Clock::new(),
            suspended: Cell::default(),
            silences: RefCell::default(),
            submitted: RefCell::default(),
            heartbeats: Cell::new(0),
            handovers: Cell::new(0),
        })
    }
}

impl PeerHandler for Sender {
    fn now(&self) -> Moment {
        self.clock.now() + self.suspended.get()
    }

    fn on_peer_alive(self: &Rc<Self>, submitter: Submitter) {
        self.silences.borrow_mut().push(submitter.silent_for);
    }

    fn heartbeat(&self) -> Heartbeat {
        self.heartbeat.clone()
    }

    fn on_heartbeat(self: &Rc<Self>, _: Heartbeat) {
        self.heartbeats.set(self.heartbeats.get() + 1);
    }

    async fn run(
        self: &Rc<Self>,
        job: JobSubmission,
        _: DispatchOptions,
        _: Submitter,
    ) -> DispatchReply {
        self.submitted.borrow_mut().push(job.time_to_deadline);
        DispatchReply::Ended(Outcome::Completed)
    }

    fn take_over(self: &Rc<Self>, _: u64, _: Vec<TargetId>) -> bool {
        self.handovers.set(self.handovers.get() + 1);
        true
    }

    fn target_list(&self) -> Option<TargetList> {
        None
    }

    fn snapshot(&self, _: Option<ZoneName>) -> Snapshot {
        Snapshot {
            version: ConfigVersion(0),
            config: Vec::new(),
            peers: Vec::new(),
            targets: Vec::new(),
            evacuations: self.heartbeat.evacuations.clone(),
        }
    }
}

fn evacuations() -> Evacuations {
    Evacuations::new(41, ["zone-b".parse().unwrap()])
}

fn heartbeat(losses: Vec<TaskLosses>) -> Heartbeat {
    let from = Peer {
        vm: "vm-1".parse().unwrap(),
        zone: "zone".parse().unwrap(),
        address: ([127, 0, 0, 1], 7_200).into(),
        weight: 250,
        incarnation: Incarnation(1),
        knows_shards: true,
        knows_id_case: true,
    };
    Heartbeat {
        from,
        config_version: ConfigVersion(3),
        shard: 5,
        shard_count: Some(ShardCount::for_zone(1_000, 100)),
        dispatcher: None,
        epoch: 5,
        spare_cpu: MilliCores(64_000),
        zones: Vec::new(),
        leaving: false,
        losses,
        evacuations: evacuations(),
    }
}

/// Calls `f` with a VM that sends `heartbeat` and serves at the address.
fn serve_during<F, Fut, R>(heartbeat: Heartbeat, f: F) -> R
where
    F: FnOnce(Rc<Sender>, SocketAddr) -> Fut,
    Fut: Future<Output = R>,
{
    let sender = Sender::new(heartbeat);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(serve(listener, Rc::clone(&sender)));
        f(sender, address).await
    })
}

/// Connects to a VM that sends `heartbeat`, and returns what it sends in a heartbeat and in a
/// snapshot.
fn receive(heartbeat: Heartbeat) -> (Option<Heartbeat>, Snapshot) {
    serve_during(heartbeat, |sender, address| async move {
        let link = PeerLink::connect(&sender, address, Duration::from_secs(1)).await.unwrap();
        (link.last_heartbeat(), link.snapshot(None).await.unwrap())
    })
}

/// Sends a heartbeat that echoes a token, and returns the token of the reply.
async fn beat(client: &peer::Client, echo: u64) -> u64 {
    let mut req = client.beat_request();
    req.get().set_echo(echo);
    write_heartbeat(&heartbeat(Vec::new()), req.get().init_beat());
    req.send().promise.await.unwrap().get().unwrap().get_token()
}

/// Submits a job whose caller waits for 1.5 s.
async fn run(client: &peer::Client) -> DispatchReply {
    let job = JobSubmission {
        id: CallerJobId::new(7),
        queue: "queue".into(),
        spec: "".into(),
        steps: Vec::new(),
        time_to_deadline: ms(1_500),
    };
    let mut req = client.run_request();
    write_job_submission(&job, req.get().init_work());
    let res = req.send().promise.await.unwrap();
    read_dispatch_reply(res.get().unwrap()).unwrap()
}

/// Guards against tasks that run twice: the network delays a submission and the heartbeats before it,
/// the sender gives the connection up, and its caller submits the job elsewhere.
#[test]
fn run_of_unresponsive_sender_is_not_submitted() {
    serve_during(heartbeat(Vec::new()), |receiver, address| async move {
        let client: peer::Client = connect(address).await.unwrap();
        let token = beat(&client, 0).await;
        assert_eq!(run(&client).await, DispatchReply::Ended(Outcome::Completed));
        sleep(ms(700)).await;
        let mut refused = 0;
        for n in 0..100 {
            // A delayed heartbeat does not prove that its sender is still alive.
            if n % 2 == 1 {
                beat(&client, token).await;
            }
            if let DispatchReply::Ended(Outcome::NotRun { refusal, .. }) = run(&client).await {
                refused += u32::from(refusal == Refusal::Closed);
            }
        }
        let submitted = receiver.submitted.borrow().len() - 1;
        assert_eq!((submitted, refused), (0, 100), "submitted and refused, of 100");
        let token = beat(&client, token).await;
        beat(&client, token).await;
        assert_eq!(run(&client).await, DispatchReply::Ended(Outcome::Completed));
    });
}

/// Guards against runs whose submitter counts as alive: the machine was suspended, during which the clock
/// of timers stands still, and the submitter's callers have submitted their jobs elsewhere.
#[test]
fn suspension_of_the_machine_counts_as_silence() {
    serve_during(heartbeat(Vec::new()), |receiver, address| async move {
        let client: peer::Client = connect(address).await.unwrap();
        let token = beat(&client, 0).await;
        assert_eq!(run(&client).await, DispatchReply::Ended(Outcome::Completed));
        receiver.suspended.set(ms(700));
        let refused = run(&client).await;
        assert!(
            matches!(
                refused,
                DispatchReply::Ended(Outcome::NotRun { refusal: Refusal::Closed, .. })
            ),
            "{refused:?}"
        );
        let token = beat(&client, token).await;
        let silence = receiver.silences.borrow().last().copied();
        assert!(silence >= Some(ms(700)), "{silence:?}");
        beat(&client, token).await;
        assert_eq!(run(&client).await, DispatchReply::Ended(Outcome::Completed));
    });
}

/// Guards against two dispatchers of a zone: the network delays a handover until the leaving dispatcher
/// has handed its targets to another VM.
#[test]
fn handover_of_unresponsive_sender_is_declined() {
    serve_during(heartbeat(Vec::new()), |receiver, address| async move {
        let client: peer::Client = connect(address).await.unwrap();
        let hand_over = async || {
            let res = client.hand_over_request().send().promise.await.unwrap();
            res.get().unwrap().get_taken()
        };
        beat(&client, 0).await;
        assert!(hand_over().await);
        sleep(ms(700)).await;
        assert!(!hand_over().await);
        assert_eq!(receiver.handovers.get(), 1);
    });
}

/// Guards against a dispatcher that steps down for a former one, whose heartbeat the network has
/// delayed.
#[test]
fn heartbeat_of_unresponsive_sender_is_ignored() {
    serve_during(heartbeat(Vec::new()), |receiver, address| async move {
        let client: peer::Client = connect(address).await.unwrap();
        let token = beat(&client, 0).await;
        // Dispatchers send a heartbeat a second to the other VMs.
        sleep(ms(1_000)).await;
        beat(&client, token).await;
        assert_eq!(receiver.heartbeats.get(), 2);
        sleep(ms(1_100)).await;
        let token = beat(&client, token).await;
        assert_eq!(receiver.heartbeats.get(), 2);
        beat(&client, token).await;
        assert_eq!(receiver.heartbeats.get(), 3);
    });
}

/// Guards against tasks that run on after their caller's deadline: the time to the deadline counted from
/// the receipt of a submission, however long the network had delayed it.
#[test]
fn run_delayed_in_transit_keeps_its_deadline() {
    serve_during(heartbeat(Vec::new()), |receiver, address| async move {
        let client: peer::Client = connect(address).await.unwrap();
        for transit in [ms(0), ms(400)] {
            // The submission is refused if the process is suspended meanwhile.
            let (left, longest) = loop {
                let begun = Instant::now();
                let token = beat(&client, 0).await;
                beat(&client, token).await;
                sleep(transit).await;
                run(&client).await;
                if let Some(left) = receiver.submitted.take().pop() {
                    break (left, begun.elapsed() + ms(1));
                }
            };
            let least = ms(1_500) - longest.saturating_sub(ms(300));
            let most = ms(1_500) - transit.saturating_sub(ms(300));
            assert!(least <= left && left <= most, "{left:?}, {least:?} to {most:?}");
        }
    });
}

/// Guards against a VM that starts while the store is unavailable and learns the configuration from
/// a peer, but not which zones are evacuated.
#[test]
fn snapshot_carries_evacuations() {
    let (_, snapshot) = receive(heartbeat(Vec::new()));
    assert_eq!(snapshot.evacuations, evacuations());
}

/// Guards against a successor that does not know which tasks crash targets or which zones are
/// evacuated: heartbeats carry that.
#[test]
fn heartbeat_carries_losses_and_evacuations() {
    let loss = |target: &str, crashed: bool| Loss {
        target: TargetId::from(target),
        incarnation: TargetIncarnation(1_741_690_114_000),
        is_main_suspect: !crashed,
        crashed,
    };
    let task = TaskId { job: "5C0E7a21d94b36f8".parse().unwrap(), step: 2, index: 17 };
    let losses = vec![TaskLosses { task, losses: vec![loss("i-1", true), loss("i-2", false)] }];
    let sent = heartbeat(losses);
    let (received, _) = receive(sent.clone());
    assert_eq!(received, Some(sent));
}
