//! Shards of a large zone: how targets and jobs are divided, and how VMs agree on their dispatchers.

use cranberrytray::{
    coordination::dispatch::{
        RunRequest,
        ownership::LeaseRenewal,
        replies::{LeaseRenewalError, StartReply, StopReply},
        submitters::SubmitterId,
        timing::{RunBounds, Timing},
    },
    fleet::Node,
    protocol::fleet::{DispatchReply, Peer},
    state::{
        fleet_config::{FleetConfig, Label, Pool, PoolName, Priority, Queue, RequestLimits},
        id::{ConfigVersion, Incarnation},
        job_submission::{CallerJobId, JobSubmission, Outcome, Refusal, Step},
        mechanism::MechanismSet,
        resources::{Mebibytes, MilliCores, Resources},
        shard::{Shard, ShardCount, ShardError},
        target::{FencingToken, TargetId, TargetIncarnation, TargetInfo, TargetReport, TargetTime},
    },
    transport::fleet::{DispatchOptions, PeerHandler, Submitter, serve},
};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Targets in the zone of the tests, which is divided into two shards.
const TARGETS: usize = 300;
const VMS: usize = 8;

fn target_id(n: usize) -> TargetId {
    TargetId::from(format!("target-{n}"))
}

#[test]
fn for_zone_keeps_small_zones_whole() {
    let count = |targets, vms| ShardCount::for_zone(targets, vms).get();
    assert_eq!((count(0, 1), count(100, 100), count(101, 100)), (1, 1, 2));
    assert_eq!((count(500, 100), count(501, 100)), (2, 4));
    assert_eq!((count(750, 75), count(100_000, 10_000)), (4, 16));
    assert_eq!((count(1_000, 7), count(1_000, 8), count(1_000, 16)), (1, 2, 4));
}

/// Hundreds of targets in a zone: no dispatcher has many more of them than another, and a zone that
/// grows splits each shard in two instead of mixing them.
#[test]
fn shard_of_target_spreads_and_splits() {
    let (few, many) = (ShardCount::for_zone(300, 50), ShardCount::for_zone(2_000, 200));
    let mut sizes = vec![0; usize::from(many.get())];
    for n in 0..1_000 {
        let index = many.shard_of_target(&target_id(n));
        assert_eq!(few.shard_of_target(&target_id(n)), index % few.get());
        sizes[usize::from(index)] += 1;
    }
    assert!(sizes.iter().all(|size| (95..=155).contains(size)), "{sizes:?}");
}

#[test]
fn shard_parses_what_it_displays() {
    let shard: Shard = "zone-a/7".parse().unwrap();
    assert_eq!(shard.to_string().parse(), Ok(shard));
    assert_eq!("zone-a/x".parse::<Shard>(), Err(ShardError::Index("x".into())));
    let odd: Shard = "Zone 1/b/7".parse().unwrap();
    assert_eq!((odd.zone.as_str(), odd.index), ("Zone 1/b", 7));
    assert!(matches!("/1".parse::<Shard>(), Err(ShardError::Zone(_))));
}

/// Idle targets of the tests, which check fencing tokens.
#[derive(Clone, Default)]
struct IdleTargets {
    tokens: Rc<RefCell<IndexMap<TargetId, FencingToken>>>,
    starts: Rc<Cell<usize>>,
}

impl IdleTargets {
    /// Accepts a token unless a higher one was seen.
    fn accepts(&self, target: &TargetId, token: FencingToken) -> bool {
        let mut tokens = self.tokens.borrow_mut();
        let highest = tokens.entry(target.clone()).or_insert(token);
        *highest = (*highest).max(token);
        *highest == token
    }
}

impl cranberrytray::fleet::TargetClient for IdleTargets {
    async fn start(&self, _: &RunRequest, _: &str, _: TargetTime) -> StartReply {
        self.starts.set(self.starts.get() + 1);
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

fn target_info(n: usize) -> TargetInfo {
    TargetInfo {
        id: target_id(n),
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
        labels: vec![Label::from("a"), Label::from("rack-1")],
        draining: false,
        cold_for: Duration::ZERO,
    }
}

fn peer(n: usize, address: SocketAddr, knows_shards: bool) -> Peer {
    Peer {
        vm: format!("vm-{n}").parse().unwrap(),
        zone: "zone".parse().unwrap(),
        address,
        weight: 500 - 10 * n as u32,
        incarnation: Incarnation(1),
        knows_shards,
        knows_id_case: true,
    }
}

/// The VMs of a zone, with their targets.
struct Zone {
    nodes: Vec<Rc<Node<IdleTargets>>>,
    targets: IdleTargets,
}

impl Zone {
    /// Starts VMs that know each other and the targets; the first `old` of them are of a version
    /// that doesn't know shards.
    async fn start(old: usize) -> Zone {
        let targets = IdleTargets::default();
        let mut peers = Vec::new();
        let mut listeners = Vec::new();
        for n in 0..VMS {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            peers.push(peer(n, listener.local_addr().unwrap(), n >= old));
            listeners.push(listener);
        }
        let timing = Timing::try_from(RunBounds::default()).unwrap();
        let mut nodes = Vec::new();
        for (listener, me) in listeners.into_iter().zip(&peers) {
            let disabled = MechanismSet::optional();
            let node = Node::new(me.clone(), targets.clone(), timing, disabled);
            spawn_local(serve(listener, Rc::clone(&node)));
            node.set_config(config(), "the test");
            node.add_peers(peers.clone());
            node.on_targets_read(Some((0..TARGETS).map(target_info).collect()));
            node.spawn(vec!["zone".parse().unwrap()]);
            nodes.push(node);
        }
        Zone { nodes, targets }
    }

    /// Shards of the present dispatchers, in order.
    fn dispatched(&self) -> Vec<u16> {
        let dispatchers = self.nodes.iter().filter(|node| node.is_dispatcher());
        let mut shards: Vec<u16> = dispatchers.map(|node| node.shard_index()).collect();
        shards.sort();
        shards
    }

    /// The VM that dispatches a shard: the strongest of its candidates, unless that one was too busy to take
    /// part in the election.
    fn dispatcher_of(&self, index: u16) -> &Rc<Node<IdleTargets>> {
        let is_of_shard =
            |node: &&Rc<Node<IdleTargets>>| node.is_dispatcher() && node.shard_index() == index;
        self.nodes.iter().find(is_of_shard).unwrap()
    }

    /// Waits until every VM can submit jobs to each of these shards.
    async fn wait_for(&self, shards: &[u16]) {
        let begun = Instant::now();
        // A dispatcher is ready although it may not have reached the other shards.
        let reaches_all = |node: &Rc<Node<IdleTargets>>| {
            node.is_ready() && shards.iter().all(|index| node.reaches_shard(*index))
        };
        while self.dispatched() != shards || !self.nodes.iter().all(reaches_all) {
            let dispatched = self.dispatched();
            assert!(begun.elapsed() < Duration::from_secs(10), "dispatched: {dispatched:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

fn block_on<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn job(id: u64) -> JobSubmission {
    let step = Step {
        count: 1,
        needs: Resources { cpu: MilliCores(1_000), ..Resources::default() },
        declared: None,
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

/// More targets in a zone than one process can dispatch for: the two strongest VMs share them, and
/// each target takes requests of one of them only.
#[test]
fn zone_with_many_targets_has_two_dispatchers() {
    block_on(async {
        let zone = Zone::start(0).await;
        zone.wait_for(&[0, 1]).await;
        assert!(zone.nodes[0].is_dispatcher() && zone.nodes[1].is_dispatcher());
        sleep(Duration::from_millis(500)).await;
        let tokens = zone.targets.tokens.borrow();
        let count = zone.nodes[0].shard_count();
        let mut by_shard: [Vec<FencingToken>; 2] = Default::default();
        for (target, token) in tokens.iter() {
            by_shard[usize::from(count.shard_of_target(target))].push(*token);
        }
        assert_eq!(tokens.len(), TARGETS);
        for tokens in &by_shard {
            assert!(tokens.iter().all(|token| *token == tokens[0]));
        }
        assert_ne!(by_shard[0][0], by_shard[1][0]);
    });
}

/// One of two dispatchers goes: the next candidate of its shard takes over, the other shard keeps
/// its dispatcher.
#[test]
fn leaving_dispatcher_hands_its_shard_to_a_candidate_of_it() {
    block_on(async {
        let zone = Zone::start(0).await;
        zone.wait_for(&[0, 1]).await;
        zone.nodes[1].leave(Duration::from_secs(6));
        sleep(Duration::from_millis(100)).await;
        let begun = Instant::now();
        while zone.dispatched() != [0, 1] {
            assert!(begun.elapsed() < Duration::from_secs(10));
            sleep(Duration::from_millis(20)).await;
        }
        assert!(zone.nodes[0].is_dispatcher() && zone.nodes[3].is_dispatcher());
    });
}

/// During an upgrade: a VM of a version without shards believes that a zone has one dispatcher, and
/// would take the targets of all others.
#[test]
fn zone_with_a_vm_without_shards_stays_whole() {
    block_on(async {
        let zone = Zone::start(1).await;
        zone.wait_for(&[0]).await;
        assert!(zone.nodes.iter().all(|node| node.shard_count() == ShardCount::ONE));
    });
}

/// A rollback: an older VM appears in a divided zone, and one dispatcher is left.
#[test]
fn divided_zone_is_whole_again_with_a_vm_without_shards() {
    block_on(async {
        let zone = Zone::start(0).await;
        zone.wait_for(&[0, 1]).await;
        let older = Peer { incarnation: Incarnation(2), ..peer(7, peer_address(&zone, 7), false) };
        zone.nodes[2].add_peers(vec![older]);
        zone.wait_for(&[0]).await;
    });
}

/// Reads of the store's list of targets by every dispatcher would grow with the product of shards and
/// targets: one dispatcher reads it and the others take it from there, unless it is too old for them.
#[test]
fn fetch_targets_takes_the_list_of_the_first_shard() {
    block_on(async {
        let zone = Zone::start(0).await;
        zone.wait_for(&[0, 1]).await;
        let (reader, other) = (zone.dispatcher_of(0), zone.dispatcher_of(1));
        // A new dispatcher reads the list itself: the fetched one may be older than its election.
        assert!(!other.fetch_targets().await);
        other.on_targets_read(None);
        assert!(!reader.fetch_targets().await);
        reader.on_targets_read(Some((1..TARGETS).map(target_info).collect()));
        assert!(other.fetch_targets().await);
        let list = other.target_list().unwrap();
        let listed: Vec<TargetInfo> = serde_json::from_slice(&list.targets).unwrap();
        assert_eq!(listed, (1..TARGETS).map(target_info).collect::<Vec<_>>());
        // The store can't be read there: the other VM tries by itself.
        reader.on_targets_read_failed();
        assert!(!other.fetch_targets().await);
    });
}

fn peer_address(zone: &Zone, n: usize) -> SocketAddr {
    zone.nodes[n].me().address
}

/// A job whose dispatcher was lost may run on any target of its shard. A dispatcher of another
/// division has others, and can't tell when its runs have ended.
#[test]
fn run_resumed_job_of_another_division_is_unknown() {
    block_on(async {
        let zone = Zone::start(0).await;
        zone.wait_for(&[0, 1]).await;
        let count = zone.nodes[0].shard_count();
        let id = (0..).find(|id| count.shard_of_job(CallerJobId::new(*id)) == 0).unwrap();
        let elsewhere = (0..).find(|id| count.shard_of_job(CallerJobId::new(*id)) == 1).unwrap();
        let submitter = Submitter { id: SubmitterId(1), silent_for: Duration::ZERO };
        for (id, shard_count) in [(id, ShardCount::ONE), (elsewhere, count)] {
            let options = DispatchOptions { may_redirect: false, resumed: true, shard_count };
            let reply = zone.dispatcher_of(0).run(job(id), options, submitter).await;
            assert_eq!(reply, DispatchReply::Ended(Outcome::Unknown));
        }
        assert_eq!(zone.targets.starts.get(), 0);
    });
}

/// Submissions of one job at two VMs reach the same dispatcher, where they join.
#[test]
fn submit_same_job_at_two_vms_starts_once() {
    block_on(async {
        let zone = Zone::start(0).await;
        zone.wait_for(&[0, 1]).await;
        // Until the targets are taken over, jobs are refused.
        sleep(Duration::from_millis(500)).await;
        let first = zone.nodes[4].submit(job(77));
        let second = zone.nodes[5].submit(job(77));
        let both = futures_util::future::join(first, second);
        let _ = tokio::time::timeout(Duration::from_millis(300), both).await;
        assert_eq!(zone.targets.starts.get(), 1);
    });
}

/// A zone without a dispatcher refuses with a reason that tells callers to come back soon.
#[test]
fn submit_without_any_dispatcher_is_refused() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let timing = Timing::try_from(RunBounds::default()).unwrap();
        let me = peer(0, listener.local_addr().unwrap(), true);
        let node = Node::new(me, IdleTargets::default(), timing, MechanismSet::optional());
        let outcome = node.submit(job(1)).await;
        let is_expected = matches!(
            outcome,
            Outcome::NotRun { refusal: Refusal::NoDispatcher, retry_after } if !retry_after.is_zero()
        );
        assert!(is_expected, "{outcome:?}");
    });
}
