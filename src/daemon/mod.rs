//! One entry VM: drives the decision core with sockets, clocks and threads.

pub mod drive;
pub mod jobs;
pub mod leave;
pub mod metrics;
pub mod operate;
pub mod rounds;
pub mod run;
pub mod timeline;

use crate::{
    config::Settings,
    coordination::{core::Core, members::MemberInfo},
    state::{
        id::{ConfigVersion, Incarnation, Issuer, JobNumber, VmName, WorkerName},
        job::Answer,
        ledger::TagKey,
        pool::WorkerInfo,
        time::Moment,
    },
    transport::{
        peers::{PeerCallReceiver, PeerClient},
        platform::AnyPlatform,
        workers::WorkerClient,
    },
};
use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use rand::Rng;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};
use timeline::Timeline;
use tokio::{runtime::Handle, sync::oneshot};

/// An incarnation is the time of the start, so that older processes rank before newer ones, and so
/// many random bits.
const INCARNATION_RANDOM_BITS: u32 = 20;

type Waiters = IndexMap<JobNumber, Vec<oneshot::Sender<Arc<Answer>>>>;

/// What was last read from the platform's lists.
#[derive(Debug, Default)]
struct Lists {
    members: Vec<MemberInfo>,
    workers: Vec<WorkerInfo>,
    addresses: IndexMap<WorkerName, SocketAddr>,
}

/// The state of one entry VM process.
#[derive(Debug)]
pub struct Daemon {
    /// The settings it was started with.
    pub settings: Settings,
    /// Its decisions.
    pub core: Core,
    /// Its latest events.
    pub timeline: Timeline,
    links: WorkerClient,
    peers: PeerClient,
    platform: AnyPlatform,
    runtime: Handle,
    started: Instant,
    waiters: Mutex<Waiters>,
    lists: RwLock<Lists>,
    versions: Mutex<IndexMap<VmName, ConfigVersion>>,
    config_since: Mutex<Instant>,
    ready: AtomicBool,
}

impl Daemon {
    /// A daemon that does nothing yet; the calls to peers have to be made by the RPC thread.
    pub fn new(settings: Settings, runtime: Handle) -> (Arc<Self>, PeerCallReceiver) {
        let mut rng = rand::rng();
        let random: u64 = rng.random_range(0..1 << INCARNATION_RANDOM_BITS);
        let started_ms = timeline::unix_us() / 1_000;
        let issuer = Issuer {
            zone: settings.zone.clone(),
            vm: settings.vm.clone(),
            incarnation: Incarnation(started_ms << INCARNATION_RANDOM_BITS | random),
        };
        let (peers, calls) = PeerClient::new();
        let daemon = Daemon {
            core: Core::new(issuer, TagKey(rng.random()), settings.policy.clone(), rng.random()),
            timeline: Timeline::new(settings.timeline_events),
            links: WorkerClient::new(settings.policy.connections_per_worker),
            peers,
            platform: AnyPlatform::new(&settings.vm, &settings.platform),
            runtime,
            started: Instant::now(),
            waiters: Mutex::default(),
            lists: RwLock::default(),
            versions: Mutex::default(),
            config_since: Mutex::new(Instant::now()),
            ready: AtomicBool::new(false),
            settings,
        };
        (Arc::new(daemon), calls)
    }

    /// The present moment on this process's clock.
    pub fn now(&self) -> Moment {
        Moment::new(self.started.elapsed())
    }

    /// Whether new requests should be sent here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst) && !self.core.is_leaving()
    }

    fn set_ready(&self) {
        self.ready.store(true, Ordering::SeqCst);
    }

    /// The runtime that serves requests.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    fn worker_address(&self, worker: &WorkerName) -> Option<SocketAddr> {
        self.lists.read().addresses.get(worker).copied()
    }
}
