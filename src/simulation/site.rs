//! A site within one process: entry VMs on threads of their own, a fake platform, workers.
//! For measurements; the threads' names tell whose processor time is whose.

use crate::{
    client::{CallerClient, OperatorClient},
    config::Settings,
    coordination::configuration::{ConfigDocument, Configuration, TeamRule},
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

/// Name of the threads of the entry VMs.
pub const VM_THREAD_NAME: &str = "vm";
/// Name of the threads that serve peers and operators.
pub const RPC_THREAD_NAME: &str = "rpc";

/// Why a site can't be started.
#[derive(Debug, Display, Error, From)]
pub enum SiteError {
    /// An address or a thread can't be had.
    #[display("{_0}")]
    Io(io::Error),
    /// A name or a setting is wrong.
    #[display("{_0}")]
    Settings(crate::config::SettingsError),
    /// A name is malformed.
    #[display("{_0}")]
    Id(crate::state::id::IdError),
    /// A document can't be read.
    #[display("{_0}")]
    Json(serde_json::Error),
}

/// The layout of a site.
#[derive(Clone, Debug, Default)]
pub struct SiteLayout {
    /// Number of entry VMs in each zone.
    pub vms: Vec<usize>,
    /// Workers that run, in the first zone.
    pub workers: usize,
    /// Workers of the first zone that are only listed.
    pub listed_only: usize,
    /// Teams in the configuration.
    pub teams: usize,
}

/// One entry VM.
#[derive(Debug)]
pub struct SiteVm {
    ip: Ipv4Addr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    settings: Value,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The platform.
    pub platform: Arc<FakePlatform>,
    /// The workers that run.
    pub workers: Vec<Arc<FakeWorker>>,
    /// The entry VMs.
    pub vms: Vec<SiteVm>,
}

fn fresh_ip() -> Ipv4Addr {
    let mut rng = rand::rng();
    Ipv4Addr::new(127, rng.random_range(10..250), rng.random(), rng.random_range(1..250))
}

impl SiteVm {
    /// Its name.
    pub fn name(&self) -> &str {
        self.settings["vm"].as_str().unwrap_or_default()
    }

    /// A caller of this entry VM.
    pub fn caller(&self) -> CallerClient {
        CallerClient::new(vec![(self.ip, 7100).into()])
    }

    /// Operators' calls to this entry VM.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new((self.ip, 7102).into())
    }

    /// Starts the entry VM on threads of its own.
    ///
    /// # Errors
    ///
    /// A [`SiteError`].
    pub fn start(&mut self) -> Result<(), SiteError> {
        let settings = Settings::parse("site", &self.settings.to_string())?;
        let (stop, stopped) = oneshot::channel();
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(VM_THREAD_NAME)
            .enable_all()
            .build()?;
        let run_vm = move || {
            let ended = runtime.block_on(run(settings, async move {
                let _ = stopped.await;
            }));
            if let Err(e) = ended {
                log::error!("site: {e}");
            }
            runtime.shutdown_background();
        };
        self.stop = Some(stop);
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

    /// Tells the entry VM to leave and waits until it has.
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
    /// A [`SiteError`].
    pub async fn start(layout: &SiteLayout) -> Result<Self, SiteError> {
        let (workers, mut infos) = start_workers(layout.workers).await?;
        for i in 0..layout.listed_only {
            infos.push(WorkerInfo::new(format!("listed-{i}").parse()?, "127.0.0.1:9"));
        }
        let address: SocketAddr = (fresh_ip(), 7200).into();
        let mut vms = Vec::new();
        let mut members = Vec::new();
        for (zone, count) in layout.vms.iter().enumerate() {
            for i in 0..*count {
                let ip = fresh_ip();
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

    /// Stops the entry VMs, all at once, and waits for them.
    pub fn stop(mut self) {
        for vm in &mut self.vms {
            if let Some(stop) = vm.stop.take() {
                let _ = stop.send(());
            }
        }
        self.vms.iter_mut().for_each(SiteVm::stop);
    }
}

/// A configuration with so many teams, each with a quota far above its use.
///
/// # Errors
///
/// A [`SiteError`] if a name is malformed.
pub fn team_configuration(count: usize) -> Result<Configuration, SiteError> {
    let mut config = Configuration::default();
    for i in 0..count.max(1) {
        let rule = TeamRule { weight: 1.0, starts_per_s: Some(1e6) };
        config.teams.insert(format!("team-{i}").parse()?, rule);
    }
    Ok(config)
}

async fn start_workers(count: usize) -> Result<(Vec<Arc<FakeWorker>>, Vec<WorkerInfo>), SiteError> {
    let (mut fakes, mut infos) = (Vec::new(), Vec::new());
    for i in 0..count {
        let listener = TcpListener::bind((fresh_ip(), 7200)).await?;
        let address = listener.local_addr()?.to_string();
        let fake = Arc::new(FakeWorker::new(8, 1.0));
        tokio::spawn(serve(Arc::clone(&fake), listener));
        fakes.push(fake);
        infos.push(WorkerInfo::new(format!("worker-{i}").parse()?, address));
    }
    Ok((fakes, infos))
}

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
