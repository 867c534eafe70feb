//! Two VMs of a zone that don't reach each other, but the targets, so that each replaces the other as
//! dispatcher.

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
        fleet_config::{FleetConfig, Label, Pool, PoolName, RequestLimits},
        id::{ConfigVersion, Incarnation},
        mechanism::MechanismSet,
        resources::{Mebibytes, MilliCores, Resources},
        target::{FencingToken, TargetId, TargetIncarnation, TargetInfo, TargetReport, TargetTime},
    },
    transport::fleet::serve,
};
use indexmap::IndexMap;
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
    time::sleep,
};

const TARGETS: usize = 4;
/// Time for which the VMs are watched.
const WATCHED: Duration = Duration::from_secs(10);
/// A change of dispatcher stops all runs, so that more of them than one a second leave hardly any done.
const MAX_CHANGES: usize = 10;
/// Longest time without a dispatcher after the loss of one of two: the longest backoff and an election.
const MAX_GAP: Duration = Duration::from_millis(4_500);

/// Idle targets, which check fencing tokens.
#[derive(Clone, Default)]
struct IdleTargets {
    tokens: Rc<RefCell<IndexMap<TargetId, FencingToken>>>,
}

impl IdleTargets {
    fn accepts(&self, target: &TargetId, token: FencingToken) -> bool {
        let mut tokens = self.tokens.borrow_mut();
        let highest = tokens.entry(target.clone()).or_insert(token);
        *highest = token.max(*highest);
        *highest == token
    }
}

impl TargetClient for IdleTargets {
    async fn start(&self, _: &RunRequest, _: &str, _: TargetTime) -> StartReply {
        StartReply::Started(TargetTime(1))
    }

    async fn stop(&self, _: &RunRequest) -> StopReply {
        StopReply::Stopped
    }

    async fn renew_leases(
        &self,
        renewal: &LeaseRenewal,
    ) -> Result<TargetReport, LeaseRenewalError> {
        if !self.accepts(&renewal.target, renewal.fencing_token) {
            return Err(LeaseRenewalError::Fenced);
        }
        sleep(renewal.wait).await;
        Ok(TargetReport { clock: TargetTime(1), ..TargetReport::default() })
    }
}

fn config() -> FleetConfig {
    FleetConfig {
        version: ConfigVersion(1),
        queues: Vec::new(),
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
        id: TargetId::from(format!("target-{n}")),
        incarnation: TargetIncarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        pool: PoolName::from("pool"),
        zone: "zone".parse().unwrap(),
        capacity: Resources {
            cpu: MilliCores(16_000),
            memory: Mebibytes(64_000),
            ..Resources::default()
        },
        kind: Label::from("a"),
        labels: vec![Label::from("a")],
        draining: false,
        cold_for: Duration::ZERO,
    }
}

fn peer(vm: &str, zone: &str, address: SocketAddr) -> Peer {
    Peer {
        vm: vm.parse().unwrap(),
        zone: zone.parse().unwrap(),
        address,
        weight: 500,
        incarnation: Incarnation(1),
        knows_shards: true,
        knows_id_case: true,
    }
}

/// Starts two VMs that don't reach each other, and one of another zone that both reach, so that neither
/// believes to be cut off.
async fn start_rivals() -> Vec<Rc<Node<IdleTargets>>> {
    let mut listeners = Vec::new();
    let mut unused = Vec::new();
    for _ in 0..3 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        unused.push(TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap());
    }
    let other = peer("vm-c", "other-zone", listeners[2].local_addr().unwrap());
    // Nothing listens at these addresses.
    let rivals = [peer("vm-a", "zone", unused[0]), peer("vm-b", "zone", unused[1])];
    let peers: Vec<Peer> = rivals.into_iter().chain([other]).collect();
    let targets = IdleTargets::default();
    let timing = Timing::try_from(RunBounds::default()).unwrap();
    let mut nodes = Vec::new();
    for (listener, me) in listeners.into_iter().zip(&peers) {
        let node = Node::new(me.clone(), targets.clone(), timing, MechanismSet::optional());
        spawn_local(serve(listener, Rc::clone(&node)));
        node.set_config(config(), "the test");
        node.add_peers(peers.clone());
        node.on_targets_read(Some((0..TARGETS).map(target_info).collect()));
        node.spawn(vec!["zone".parse().unwrap(), "other-zone".parse().unwrap()]);
        nodes.push(node);
    }
    nodes.truncate(2);
    nodes
}

fn block_on<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against two dispatchers that replace each other all the time: each learns only from targets that
/// there is another one, steps down, doesn't find it and becomes dispatcher again.
#[test]
fn rivals_that_reach_only_the_targets_rarely_replace_each_other() {
    block_on(async {
        let nodes = start_rivals().await;
        let begun = Instant::now();
        let mut changes = 0;
        let mut dispatched = [false; 2];
        while begun.elapsed() < WATCHED {
            for (node, was) in nodes.iter().zip(&mut dispatched) {
                changes += usize::from(node.is_dispatcher() && !*was);
                *was = node.is_dispatcher();
            }
            sleep(Duration::from_millis(2)).await;
        }
        assert!(changes <= MAX_CHANGES, "{changes} times a VM became dispatcher in {WATCHED:?}");
        // The other VM is never elected again.
        nodes[1].leave(WATCHED);
        let begun = Instant::now();
        while !nodes[0].is_dispatcher() {
            assert!(begun.elapsed() < MAX_GAP, "no dispatcher");
            sleep(Duration::from_millis(2)).await;
        }
    });
}
