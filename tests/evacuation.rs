//! Evacuated zones: the order of their revisions, and how VMs learn of them from each other.

use cranberrytray::{
    coordination::dispatch::{
        RunRequest,
        ownership::LeaseRenewal,
        replies::{LeaseRenewalError, StartReply, StopReply},
        timing::{RunBounds, Timing},
    },
    fleet::{Node, TargetClient, clock::Clock},
    protocol::fleet::{DispatchReply, Heartbeat, Peer, Snapshot, TargetList},
    state::{
        evacuation::Evacuations,
        id::{ConfigVersion, Incarnation, ZoneName},
        job_submission::{JobSubmission, Outcome},
        mechanism::MechanismSet,
        shard::ShardCount,
        target::{TargetId, TargetReport, TargetTime},
        time::Moment,
    },
    transport::fleet::{DispatchOptions, PeerHandler, PeerLink, Submitter, serve},
};
use std::{future::pending, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
};

/// Targets that never answer.
struct NoTargets;

impl TargetClient for NoTargets {
    async fn start(&self, _: &RunRequest, _: &str, _: TargetTime) -> StartReply {
        pending().await
    }

    async fn stop(&self, _: &RunRequest) -> StopReply {
        pending().await
    }

    async fn renew_leases(&self, _: &LeaseRenewal) -> Result<TargetReport, LeaseRenewalError> {
        pending().await
    }
}

fn peer(vm: &str, address: SocketAddr) -> Peer {
    Peer {
        vm: vm.parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        address,
        weight: 250,
        incarnation: Incarnation(1),
        knows_shards: true,
        knows_id_case: true,
    }
}

fn evacuations(revision: u64, zones: &[&str]) -> Evacuations {
    Evacuations::new(revision, zones.iter().map(|zone| zone.parse().unwrap()))
}

/// A VM that serves its peers.
async fn start_vm(vm: &str) -> (Rc<Node<NoTargets>>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let timing = Timing::try_from(RunBounds::default()).unwrap();
    let node = Node::new(peer(vm, address), NoTargets, timing, MechanismSet::default());
    spawn_local(serve(listener, Rc::clone(&node)));
    (node, address)
}

fn block_on<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against an older set that replaces a newer one, and against one of the same revision that
/// does, since sets of the same revision are equal.
#[test]
fn replace_if_newer_takes_higher_revisions_only() {
    let mut known = evacuations(5, &["zone-a"]);
    assert!(!known.replace_if_newer(evacuations(4, &[])));
    assert!(!known.replace_if_newer(evacuations(5, &[])));
    assert_eq!(known, evacuations(5, &["zone-a"]));
    assert!(known.replace_if_newer(evacuations(6, &[])));
    assert_eq!(known, evacuations(6, &[]));
}

/// Guards against a VM that can't read the store and doesn't learn of an evacuation, or of its end,
/// in either direction of a connection.
#[test]
fn heartbeats_bring_the_newer_set_to_both_vms() {
    block_on(async {
        let (first, address) = start_vm("vm-1").await;
        let (second, _) = start_vm("vm-2").await;
        let interval = Duration::from_millis(10);
        first.set_evacuations(evacuations(7, &["zone-a", "zone-b"]), "the store");
        let link = PeerLink::connect(&second, address, interval).await.unwrap();
        assert_eq!(second.evacuations(), evacuations(7, &["zone-a", "zone-b"]));
        second.set_evacuations(evacuations(9, &["zone-b"]), "the store");
        first.set_evacuations(evacuations(8, &[]), "the store");
        for _ in 0..200 {
            if first.evacuations().revision() == 9 {
                break;
            }
            tokio::time::sleep(interval).await;
        }
        assert_eq!(first.evacuations(), evacuations(9, &["zone-b"]));
        assert_eq!(second.evacuations(), evacuations(9, &["zone-b"]));
        drop(link);
    });
}

/// A VM whose heartbeats know no evacuated zone, but whose snapshots do.
struct SnapshotSender(Peer, Clock);

impl PeerHandler for SnapshotSender {
    fn now(&self) -> Moment {
        self.1.now()
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            from: self.0.clone(),
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
        DispatchReply::Ended(Outcome::Unknown)
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
            evacuations: evacuations(3, &["zone-a"]),
        }
    }
}

/// Guards against a VM that starts while the store is unavailable and becomes the dispatcher with a
/// peer's configuration, but without the evacuated zones.
#[test]
fn fetch_snapshot_takes_the_evacuated_zones() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(serve(listener, Rc::new(SnapshotSender(peer("vm-1", address), Clock::new()))));
        let (node, _) = start_vm("vm-2").await;
        node.fetch_snapshot(address).await.unwrap();
        assert_eq!(node.evacuations(), evacuations(3, &["zone-a"]));
        assert_eq!(node.snapshot(None).evacuations, evacuations(3, &["zone-a"]));
    });
}

/// Value of a metric of a VM.
fn metric(node: &Node<NoTargets>, name: &str) -> f64 {
    let text = node.metrics_text().unwrap();
    let prefix = format!("cranberrytray_{name} ");
    text.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap().parse().unwrap()
}

/// Guards against an age that stays low although no newer set arrives: heartbeats of a VM that can't
/// read the store either repeat the known revision.
#[test]
fn metrics_show_the_evacuated_zones_and_their_age() {
    block_on(async {
        let (node, _) = start_vm("vm-1").await;
        let (other, address) = start_vm("vm-2").await;
        assert_eq!(metric(&node, "evacuated_zones"), 0.0);
        assert_eq!(metric(&node, "evacuation_redirects_total"), 0.0);
        node.set_evacuations(evacuations(7, &["zone-a", "zone-b"]), "the store");
        assert_eq!(metric(&node, "evacuated_zones"), 2.0);
        other.set_evacuations(evacuations(7, &["zone-a", "zone-b"]), "the store");
        tokio::time::sleep(Duration::from_millis(50)).await;
        PeerLink::connect(&node, address, Duration::from_secs(1)).await.unwrap();
        assert!(metric(&node, "evacuation_revision_age_seconds") >= 0.05);
        node.set_evacuations(evacuations(7, &["zone-a", "zone-b"]), "the store");
        assert!(metric(&node, "evacuation_revision_age_seconds") < 0.05);
    });
}
