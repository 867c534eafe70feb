//! A site in one process, for measurements: real entry VMs on threads of their own, a fake platform
//! and fake workers, in real time. Thread names attribute the processor time to the parts.

use crate::{
    client::{CallerClient, OperatorClient},
    config::Settings,
    coordination::configuration::{ConfigDocument, Configuration, TeamSettings},
    daemon::run::run,
    fake::{
        platform::{FakePlatform, PlatformLists},
        serve,
        worker::FakeWorker,
    },
    protocol::platform::{VmList, WorkerList},
    state::pool::WorkerInfo,
    transport::http::HttpRequest,
};
use derive_more::{Display, Error, From};
use hyper::Method;
use indexmap::IndexMap;
use rand::Rng;
use serde_json::{Value, json};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};
use tokio::{net::TcpListener, runtime::Builder, sync::oneshot, time::sleep};

/// Name of the threads of the entry VMs that serve callers.
pub const VM_THREAD_NAME: &str = "vm";
/// Name of the daemon's threads that serve peers and operators.
pub const RPC_THREAD_NAME: &str = "rpc";

/// Reason why a site can't be started.
#[derive(Debug, Display, Error, From)]
pub enum SiteError {
    /// An address can't be bound or a thread can't be started.
    #[display("{_0}")]
    Io(io::Error),
    /// The settings of an entry VM are invalid.
    #[display("{_0}")]
    Settings(crate::config::SettingsError),
    /// A name is malformed.
    #[display("{_0}")]
    Id(crate::state::id::IdError),
    /// The list of entry VMs can't be parsed.
    #[display("{_0}")]
    Json(serde_json::Error),
}

/// Layout of a site: its entry VMs, workers and teams.
#[derive(Clone, Debug, Default)]
pub struct SiteLayout {
    /// Number of entry VMs in each zone.
    pub vms: Vec<usize>,
    /// Number of running workers, all in the first zone.
    pub workers: usize,
    /// Number of workers that the platform lists in the first zone but that don't run.
    pub listed_only: usize,
    /// Number of teams in the configuration; zero counts as one.
    pub teams: usize,
}

/// An entry VM of a site, running or stopped.
#[derive(Debug)]
pub struct SiteVm {
    /// Loopback address of all its interfaces.
    ip: Ipv4Addr,
    /// Makes the entry VM leave; unset unless it runs.
    stop: Option<oneshot::Sender<()>>,
    /// Thread that runs the entry VM; unset unless it runs.
    thread: Option<JoinHandle<()>>,
    /// Settings as a JSON object.
    settings: Value,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// Platform that serves the configuration and the lists.
    pub platform: Arc<FakePlatform>,
    /// Running workers, all in the first zone.
    pub workers: Vec<Arc<FakeWorker>>,
    /// Entry VMs of all zones, those of the first zone first.
    pub vms: Vec<SiteVm>,
}

/// Returns a random loopback address. Each VM and worker has its own, since they use fixed ports.
fn random_loopback_ip() -> Ipv4Addr {
    let mut rng = rand::rng();
    Ipv4Addr::new(127, rng.random_range(10..250), rng.random(), rng.random_range(1..250))
}

impl SiteVm {
    /// Returns the name of the entry VM.
    pub fn name(&self) -> &str {
        self.settings["vm"].as_str().unwrap_or_default()
    }

    /// Creates a client for callers of this entry VM.
    pub fn caller(&self) -> CallerClient {
        CallerClient::new(vec![(self.ip, 7100).into()])
    }

    /// Creates a client for operators of this entry VM.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new((self.ip, 7102).into())
    }

    /// Starts the entry VM on threads of its own, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// A [`SiteError`] if the settings are invalid or a thread can't be started.
    pub fn start(&mut self) -> Result<(), SiteError> {
        let settings = Settings::parse("site", &self.settings.to_string())?;
        let (stop_tx, stop_rx) = oneshot::channel();
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(VM_THREAD_NAME)
            .enable_all()
            .build()?;
        let run_vm = move || {
            let result = runtime.block_on(run(settings, async move {
                let _ = stop_rx.await;
            }));
            if let Err(e) = result {
                log::error!("entry VM of the site failed: {e}");
            }
            runtime.shutdown_background();
        };
        self.stop = Some(stop_tx);
        let thread = std::thread::Builder::new().name(VM_THREAD_NAME.to_owned()).spawn(run_vm)?;
        self.thread = Some(thread);
        Ok(())
    }

    /// Waits until the entry VM is ready.
    pub async fn wait_ready(&self) {
        loop {
            let response =
                HttpRequest::new(Method::GET, "/ready").send((self.ip, 7103).into()).await;
            if response.is_ok_and(|res| res.status == 200) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Makes the entry VM leave and waits until its thread has ended.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Site {
    /// Starts a site and waits until its entry VMs are ready.
    ///
    /// # Errors
    ///
    /// A [`SiteError`] if an address can't be bound or an entry VM can't be started.
    pub async fn start(layout: &SiteLayout) -> Result<Self, SiteError> {
        let (workers, mut infos) = start_workers(layout.workers).await?;
        for i in 0..layout.listed_only {
            infos.push(WorkerInfo::new(format!("listed-{i}").parse()?, "127.0.0.1:9"));
        }
        let address: SocketAddr = (random_loopback_ip(), 7200).into();
        let mut vms = Vec::new();
        let mut members = Vec::new();
        for (zone, count) in layout.vms.iter().enumerate() {
            for i in 0..*count {
                let ip = random_loopback_ip();
                members.push(json!({
                    "vm": format!("vm-{zone}-{i}"),
                    "zone": format!("zone-{zone}"),
                    "peers": format!("{ip}:7101"),
                    "operators": format!("{ip}:7102"),
                }));
                let settings = vm_settings(zone, i, ip, address);
                vms.push(SiteVm { ip, stop: None, thread: None, settings });
            }
        }
        let members: Vec<_> = serde_json::from_value(Value::Array(members))?;
        let zone = "zone-0".parse()?;
        let lists = PlatformLists {
            vms: VmList { vms: members },
            workers: IndexMap::from([(zone, WorkerList { workers: infos })]),
        };
        let document = ConfigDocument {
            configuration: team_configuration(layout.teams)?,
            history: Vec::new(),
        };
        let platform = Arc::new(FakePlatform::new(document, lists));
        tokio::spawn(serve(Arc::clone(&platform), TcpListener::bind(address).await?));
        let mut site = Site { platform, workers, vms };
        for vm in &mut site.vms {
            vm.start()?;
        }
        for vm in &site.vms {
            vm.wait_ready().await;
        }
        Ok(site)
    }

    /// Makes all entry VMs leave at the same time and waits until they have ended.
    pub fn stop(mut self) {
        for vm in &mut self.vms {
            if let Some(stop) = vm.stop.take() {
                let _ = stop.send(());
            }
        }
        self.vms.iter_mut().for_each(SiteVm::stop);
    }
}

/// Returns a configuration with `count` teams, but at least one, each with a quota that its load
/// never reaches.
///
/// # Errors
///
/// A [`SiteError`] if a name is malformed.
pub fn team_configuration(count: usize) -> Result<Configuration, SiteError> {
    let mut config = Configuration::default();
    for i in 0..count.max(1) {
        let settings = TeamSettings { weight: 1.0, starts_per_s: Some(1e6) };
        config.teams.insert(format!("team-{i}").parse()?, settings);
    }
    Ok(config)
}

/// Starts fake workers and returns them with their entries for the platform's list.
async fn start_workers(count: usize) -> Result<(Vec<Arc<FakeWorker>>, Vec<WorkerInfo>), SiteError> {
    let (mut fakes, mut infos) = (Vec::new(), Vec::new());
    for i in 0..count {
        let listener = TcpListener::bind((random_loopback_ip(), 7200)).await?;
        let address = listener.local_addr()?.to_string();
        let fake = Arc::new(FakeWorker::new(8, 1.0));
        tokio::spawn(serve(Arc::clone(&fake), listener));
        fakes.push(fake);
        infos.push(WorkerInfo::new(format!("worker-{i}").parse()?, address));
    }
    Ok((fakes, infos))
}

/// Returns the settings of the entry VM with the index `i` in its zone.
fn vm_settings(zone: usize, i: usize, ip: Ipv4Addr, platform: SocketAddr) -> Value {
    json!({
        "vm": format!("vm-{zone}-{i}"),
        "zone": format!("zone-{zone}"),
        "callers": format!("{ip}:7100"),
        "peers": format!("{ip}:7101"),
        "operators": format!("{ip}:7102"),
        "health": format!("{ip}:7103"),
        "leave_ms": 1,
        "platform": { "kind": "service", "address": platform },
    })
}
