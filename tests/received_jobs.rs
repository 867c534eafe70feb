//! What a VM notices of the senders of the jobs that it runs, over a loopback connection.

use cranberrytray::{
    fleet::clock::Clock,
    protocol::fleet::{DispatchReply, Heartbeat, Peer, Snapshot, TargetList},
    state::{
        evacuation::Evacuations,
        fleet_config::QueueName,
        id::{ConfigVersion, Incarnation, ZoneName},
        job_submission::{CallerJobId, JobSubmission},
        shard::ShardCount,
        target::TargetId,
        time::Moment,
    },
    transport::{
        fleet::{DispatchOptions, PeerHandler, PeerLink, Submitter, serve},
        received_job::{ReceivedJob, ReceivedJobEvent},
    },
};
use std::{cell::RefCell, future::pending, rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

const OPTIONS: DispatchOptions =
    DispatchOptions { may_redirect: true, resumed: false, shard_count: ShardCount::ONE };

/// A VM whose jobs never end.
#[derive(Default)]
struct Receiver {
    clock: Clock,
    events: RefCell<Vec<(ReceivedJobEvent, ReceivedJob)>>,
}

impl PeerHandler for Receiver {
    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn heartbeat(&self) -> Heartbeat {
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
            config_version: ConfigVersion(0),
            shard: 0,
            shard_count: Some(ShardCount::ONE),
            dispatcher: None,
            epoch: 0,
            spare_cpu: Default::default(),
            zones: Vec::new(),
            leaving: false,
            losses: Vec::new(),
            evacuations: Evacuations::default(),
        }
    }

    fn on_heartbeat(self: &Rc<Self>, _: Heartbeat) {}

    async fn run(
        self: &Rc<Self>,
        _: JobSubmission,
        _: DispatchOptions,
        _: Submitter,
    ) -> DispatchReply {
        pending().await
    }

    fn on_received_job(&self, job: &ReceivedJob, event: ReceivedJobEvent) {
        self.events.borrow_mut().push((event, job.clone()));
    }

    fn take_over(self: &Rc<Self>, _: u64, _: Vec<TargetId>) -> bool {
        false
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
            evacuations: Evacuations::default(),
        }
    }
}

fn job() -> JobSubmission {
    JobSubmission {
        id: CallerJobId::new(7),
        queue: QueueName::from("queue"),
        spec: "".into(),
        steps: Vec::new(),
        time_to_deadline: Duration::from_secs(2),
    }
}

/// Sends a job over a connection with this heartbeat interval once it is `age` old, gives the job up
/// after `patience`, and returns what the receiver noticed.
fn send(
    interval: Duration,
    age: Duration,
    patience: Duration,
) -> Vec<(ReceivedJobEvent, ReceivedJob)> {
    let receiver = Rc::new(Receiver::default());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(serve(listener, Rc::clone(&receiver)));
        let sender = Rc::new(Receiver::default());
        let link = PeerLink::connect(&sender, address, interval).await.unwrap();
        sleep(age).await;
        let _ = timeout(patience, link.run(&job(), OPTIONS)).await;
        sleep(Duration::from_millis(50)).await;
    });
    receiver.events.take()
}

/// Guards against a job that is cancelled without a word on its sender: a caller that went away looks
/// like a VM that is cut off.
#[test]
fn dropped_job_names_its_sender() {
    let interval = Duration::from_millis(50);
    let events = send(interval, Duration::ZERO, Duration::from_millis(200));
    let [(event, job)] = &events[..] else { panic!("{events:?}") };
    assert_eq!(*event, ReceivedJobEvent::Dropped);
    assert_eq!(
        (job.id, job.from.as_ref().map(|vm| vm.as_str())),
        (CallerJobId::new(7), Some("vm-1"))
    );
    assert!(job.age >= Duration::from_millis(150), "{job}");
    assert!(job.silence < Duration::from_millis(500), "{job}");
}

/// Guards against a job that is cancelled for the silence of its sender without the time of silence.
#[test]
fn job_of_a_silent_sender_is_reported_with_its_silence() {
    let events = send(Duration::from_secs(10), Duration::ZERO, Duration::from_secs(3));
    let [(event, job)] = &events[..] else { panic!("{events:?}") };
    assert_eq!(*event, ReceivedJobEvent::SenderUnresponsive);
    assert!(job.silence >= Duration::from_millis(650), "{job}");
}

/// Guards against a job that is read late and run without a line: its sender may be about to give
/// the connection up.
#[test]
fn late_job_is_reported_on_arrival() {
    let events = send(Duration::from_secs(10), Duration::from_millis(550), Duration::from_secs(3));
    let (event, job) = &events[0];
    assert_eq!(*event, ReceivedJobEvent::ArrivedLate);
    assert!(job.silence >= Duration::from_millis(500), "{job}");
    assert!(job.age < Duration::from_millis(50), "{job}");
}

/// Guards against a job that is refused without a line because it was read too late.
#[test]
fn refused_late_job_is_reported() {
    let events =
        send(Duration::from_secs(10), Duration::from_millis(750), Duration::from_millis(100));
    let [(event, job)] = &events[..] else { panic!("{events:?}") };
    assert_eq!(*event, ReceivedJobEvent::RefusedAsLate);
    assert!(job.silence >= Duration::from_millis(650), "{job}");
}
