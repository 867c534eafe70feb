//! The process of one entry VM: connects the decision core to sockets, clocks and threads.

pub mod actions;
pub mod jobs;
pub mod leave;
pub mod metrics;
pub mod operators;
pub mod periodic;
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
        body_buffers::BodyBuffers,
        connections::Connections,
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

/// Number of random low bits of an incarnation. The bits above them are the start time in
/// milliseconds, so that older processes rank before newer ones.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Senders for the answers that requests wait for, by job.
type Waiters = IndexMap<JobNumber, Vec<oneshot::Sender<Arc<Answer>>>>;

/// The platform's lists as last read.
#[derive(Debug, Default)]
struct PlatformLists {
    members: Vec<MemberInfo>,
    workers: Vec<WorkerInfo>,
    /// Addresses of all workers listed so far, since tasks may still run on delisted ones.
    addresses: IndexMap<WorkerName, SocketAddr>,
}

/// The state of one entry VM process.
#[derive(Debug)]
pub struct Daemon {
    /// Settings that the process was started with.
    pub settings: Settings,
    /// Decision core, which holds the state of jobs, workers and peers.
    pub core: Core,
    /// Latest events of this process.
    pub timeline: Timeline,
    /// Connections of callers.
    pub connections: Arc<Connections>,
    /// Bodies of callers' requests.
    pub bodies: Arc<BodyBuffers>,
    worker_links: WorkerClient,
    peer_links: PeerClient,
    platform: AnyPlatform,
    runtime: Handle,
    started_at: Instant,
    /// Callers' requests that wait for the answer to a job.
    waiters: Mutex<Waiters>,
    platform_lists: RwLock<PlatformLists>,
    /// Latest configuration version known of each peer.
    peer_config_versions: Mutex<IndexMap<VmName, ConfigVersion>>,
    config_changed_at: Mutex<Instant>,
    /// Set once a configuration was found after the start.
    ready: AtomicBool,
}

impl Daemon {
    /// Creates a daemon that does nothing yet, and the receiver of its calls to peers, which the
    /// RPC thread has to make.
    pub fn new(settings: Settings, runtime: Handle) -> (Arc<Self>, PeerCallReceiver) {
        let mut rng = rand::rng();
        let random: u64 = rng.random_range(0..1 << INCARNATION_RANDOM_BITS);
        let started_ms = timeline::unix_us() / 1_000;
        let issuer = Issuer {
            zone: settings.zone.clone(),
            vm: settings.vm.clone(),
            incarnation: Incarnation(started_ms << INCARNATION_RANDOM_BITS | random),
        };
        let (peer_links, calls) = PeerClient::new();
        let daemon = Daemon {
            core: Core::new(issuer, TagKey(rng.random()), settings.policy.clone(), rng.random()),
            timeline: Timeline::new(settings.timeline_events),
            connections: Connections::new(settings.limits.max_connections()),
            bodies: BodyBuffers::new(settings.limits.max_body_memory_bytes),
            worker_links: WorkerClient::new(settings.policy.connections_per_worker),
            peer_links,
            platform: AnyPlatform::new(&settings.vm, &settings.platform),
            runtime,
            started_at: Instant::now(),
            waiters: Mutex::default(),
            platform_lists: RwLock::default(),
            peer_config_versions: Mutex::default(),
            config_changed_at: Mutex::new(Instant::now()),
            ready: AtomicBool::new(false),
            settings,
        };
        (Arc::new(daemon), calls)
    }

    /// Returns the time on this process's monotonic clock.
    pub fn now(&self) -> Moment {
        Moment::new(self.started_at.elapsed())
    }

    /// Whether the load balancer should send new requests to this entry VM.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst) && !self.core.is_leaving()
    }

    fn set_ready(&self) {
        self.ready.store(true, Ordering::SeqCst);
    }

    /// Returns the runtime that serves callers' requests.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    fn worker_address(&self, worker: &WorkerName) -> Option<SocketAddr> {
        self.platform_lists.read().addresses.get(worker).copied()
    }
}
