//! A site of separate processes: platform, workers and entry VMs, each on a loopback address of its
//! own.
#![allow(dead_code)]

pub mod cli;
pub mod embedded;

use cranberrytray::{
    client::{CallerClient, JobReply, OperatorClient},
    fake::{platform, platform::PlatformFaults, worker, worker::WorkerFaults},
    protocol::callers::ReplyBody,
    state::{
        id::JobId,
        job::{Answer, JobSpec, TaskSpec},
    },
    transport::http::HttpRequest,
};
use hyper::Method;
use indexmap::IndexMap;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use rand::Rng;
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

const CALLERS_PORT: u16 = 7100;
const PEERS_PORT: u16 = 7101;
const OPERATORS_PORT: u16 = 7102;
const HEALTH_PORT: u16 = 7103;
/// Port of the fake platform and of the fake workers.
const FAKE_PORT: u16 = 7200;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a test fails instead of hanging; far beyond any expected time.
const MAX_POLLS: usize = 3_000;

/// Returns a random loopback address, so that tests in parallel rarely share one.
pub fn random_loopback_ip() -> Ipv4Addr {
    let mut rng = rand::rng();
    Ipv4Addr::new(127, rng.random_range(10..250), rng.random(), rng.random_range(1..250))
}

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program; its stderr is discarded unless `SHOW_LOGS` is set.
    fn spawn(program: &str, args: &[&str]) -> Self {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stderr(if std::env::var_os("SHOW_LOGS").is_some() {
                Stdio::inherit()
            } else {
                Stdio::null()
            })
            .spawn()
            .expect("the program starts");
        Process { child }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process is running");
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process is running");
        self.child.wait().expect("the process is a child of this one");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child of this one").is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry VM that runs as a process of its own.
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub process: Process,
}

impl Vm {
    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    pub fn peers(&self) -> SocketAddr {
        (self.ip, PEERS_PORT).into()
    }

    pub fn health(&self) -> SocketAddr {
        (self.ip, HEALTH_PORT).into()
    }

    pub fn caller(&self) -> CallerClient {
        CallerClient::new(vec![self.callers()])
    }

    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new((self.ip, OPERATORS_PORT).into())
    }

    pub async fn is_ready(&self) -> bool {
        let result = HttpRequest::new(Method::GET, "/ready").send(self.health()).await;
        result.is_ok_and(|res| res.status == 200)
    }
}

/// A fake worker that runs as a process of its own.
pub struct Worker {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    pub process: Process,
}

impl Worker {
    pub async fn set_faults(&self, faults: WorkerFaults) {
        put_control(self.address, worker::FAULTS_PATH, &json!(faults)).await;
    }

    pub async fn starts(&self) -> IndexMap<String, u32> {
        let res = HttpRequest::new(Method::GET, worker::STARTS_PATH).send(self.address).await;
        res.expect("the worker answers").json().expect("counts")
    }
}

async fn put_control(address: SocketAddr, path: &str, body: &Value) {
    let req = HttpRequest::new(Method::PUT, path).body(body.to_string());
    assert_eq!(req.send(address).await.expect("the fake answers").status, 200);
}

/// Entry VMs, workers and settings of a site to start.
pub struct SiteLayout {
    pub vms: Vec<(&'static str, &'static str)>,
    pub workers: Vec<(&'static str, &'static str, u32)>,
    pub extra_settings: Value,
    first_ip: Option<Ipv4Addr>,
    isolated_zone: Option<&'static str>,
}

impl SiteLayout {
    /// Creates a layout from entry VMs as (name, zone) and workers as (name, zone, slots).
    pub fn new(
        vms: &[(&'static str, &'static str)],
        workers: &[(&'static str, &'static str, u32)],
    ) -> Self {
        SiteLayout {
            vms: vms.to_vec(),
            workers: workers.to_vec(),
            extra_settings: json!({}),
            first_ip: None,
            isolated_zone: None,
        }
    }

    /// Sets the IP address of the first entry VM.
    pub fn with_first_ip(mut self, ip: Ipv4Addr) -> Self {
        self.first_ip = Some(ip);
        self
    }

    /// Routes the connections between entry VMs, and those of this zone to the platform, through
    /// relays that [`Site::cut_network`] can cut.
    pub fn isolate_zone(mut self, zone: &'static str) -> Self {
        self.isolated_zone = Some(zone);
        self
    }

    /// Sets settings that override the defaults of every entry VM.
    pub fn with_settings(mut self, settings: Value) -> Self {
        self.extra_settings = settings;
        self
    }
}

/// A running site; its processes are killed when it is dropped.
pub struct Site {
    dir: TempDir,
    pub platform: Process,
    pub platform_address: SocketAddr,
    pub vms: Vec<Vm>,
    pub workers: Vec<Worker>,
    extra_settings: Value,
    relays: Vec<Relay>,
    platform_relay: Option<SocketAddr>,
    isolated_zone: Option<&'static str>,
}

impl Site {
    pub async fn start(layout: SiteLayout) -> Self {
        let dir = TempDir::new().expect("a directory");
        let workers: Vec<Worker> = layout.workers.iter().map(start_worker).collect();
        let mut ips: Vec<Ipv4Addr> = layout.vms.iter().map(|_| random_loopback_ip()).collect();
        if let Some(ip) = layout.first_ip {
            ips[0] = ip;
        }
        let mut relays = Vec::new();
        let mut members: Vec<Value> = layout
            .vms
            .iter()
            .zip(&ips)
            .map(|((vm, zone), ip)| member_entry(vm, zone, *ip))
            .collect();
        if layout.isolated_zone.is_some() {
            for (member, ip) in members.iter_mut().zip(&ips) {
                let relay = Relay::start((*ip, PEERS_PORT).into()).await;
                member["peers"] = json!(relay.address);
                relays.push(relay);
            }
        }
        let platform_address: SocketAddr = (random_loopback_ip(), FAKE_PORT).into();
        let lists = platform_lists(&members, &workers, &[]);
        let configuration = json!({ "teams": { "drafting": {}, "rounds": {} } });
        let (lists_file, config_file) = (dir.path().join("lists"), dir.path().join("config"));
        std::fs::write(&lists_file, lists.to_string()).expect("the file is written");
        std::fs::write(&config_file, configuration.to_string()).expect("the file is written");
        let platform = Process::spawn(
            env!("CARGO_BIN_EXE_cranberrytray-stand"),
            &[
                "platform",
                "--listen",
                &platform_address.to_string(),
                "--configuration",
                config_file.to_str().expect("a path"),
                "--lists",
                lists_file.to_str().expect("a path"),
            ],
        );
        let mut platform_relay = None;
        if layout.isolated_zone.is_some() {
            let relay = Relay::start(platform_address).await;
            platform_relay = Some(relay.address);
            relays.push(relay);
        }
        let mut site = Site {
            dir,
            platform,
            platform_address,
            vms: Vec::new(),
            workers,
            extra_settings: layout.extra_settings,
            relays,
            platform_relay,
            isolated_zone: layout.isolated_zone,
        };
        for ((vm, zone), ip) in layout.vms.iter().zip(ips) {
            let process = site.spawn_vm(vm, zone, ip);
            site.vms.push(Vm { name: vm.to_string(), zone: zone.to_string(), ip, process });
        }
        site.wait_ready().await;
        site
    }

    fn spawn_vm(&self, vm: &str, zone: &str, ip: Ipv4Addr) -> Process {
        let platform = match self.platform_relay {
            Some(relay) if self.isolated_zone == Some(zone) => relay,
            _ => self.platform_address,
        };
        let mut settings = json!({
            "vm": vm,
            "zone": zone,
            "callers": format!("{ip}:{CALLERS_PORT}"),
            "peers": format!("{ip}:{PEERS_PORT}"),
            "operators": format!("{ip}:{OPERATORS_PORT}"),
            "health": format!("{ip}:{HEALTH_PORT}"),
            "heartbeat_ms": 100,
            "log": { "format": "text" },
            "platform": { "kind": "service", "address": platform, "poll_ms": 200 },
        });
        for (key, value) in self.extra_settings.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let path = self.settings_path(vm);
        std::fs::write(&path, settings.to_string()).expect("the file is written");
        let path = path.to_str().expect("a path");
        Process::spawn(env!("CARGO_BIN_EXE_cranberrytrayd"), &["--settings", path])
    }

    fn settings_path(&self, vm: &str) -> PathBuf {
        self.dir.path().join(format!("{vm}.json"))
    }

    /// Starts the process of an entry VM again under the same name and address.
    pub async fn restart_vm(&mut self, index: usize) {
        let (name, zone, ip) =
            (self.vms[index].name.clone(), self.vms[index].zone.clone(), self.vms[index].ip);
        self.vms[index].process = self.spawn_vm(&name, &zone, ip);
    }

    /// Waits until all entry VMs are ready and know each other, and as many of them own slots as
    /// there are zones with workers.
    pub async fn wait_ready(&self) {
        for vm in &self.vms {
            wait_until(|| vm.is_ready()).await;
        }
        for vm in &self.vms {
            wait_until(|| async {
                let status = vm.operator().status().await.unwrap_or_default();
                let owners = status.iter().filter(|s| s.owned > 0).count();
                let mut zones: Vec<_> = self.workers.iter().map(|w| &w.zone).collect();
                zones.dedup();
                let ready = status.iter().all(|s| s.ready);
                status.len() == self.vms.len() && ready && owners == zones.len()
            })
            .await;
        }
    }

    /// Returns the indices of the entry VM that issued an id and of another one.
    pub fn issuer_and_other(&self, id: &JobId) -> (usize, usize) {
        let issued = |vm: &Vm| vm.name == id.issuer.vm.as_str();
        let issuer =
            self.vms.iter().position(issued).expect("an entry VM of this site issued the id");
        (issuer, (issuer + 1) % self.vms.len())
    }

    pub async fn set_platform_faults(&self, faults: PlatformFaults) {
        put_control(self.platform_address, platform::FAULTS_PATH, &json!(faults)).await;
    }

    /// Publishes lists in which these workers, and no others, are leaving.
    pub async fn list_workers_as_leaving(&self, leaving: &[&str]) {
        let members: Vec<Value> =
            self.vms.iter().map(|vm| member_entry(&vm.name, &vm.zone, vm.ip)).collect();
        let lists = platform_lists(&members, &self.workers, leaving);
        put_control(self.platform_address, platform::LISTS_PATH, &lists).await;
    }

    /// Closes all connections through the relays and refuses new ones.
    pub async fn cut_network(&self) {
        self.relays.iter().for_each(|relay| relay.set_open(false));
    }

    /// Lets the relays accept connections again.
    pub async fn restore_network(&self) {
        self.relays.iter().for_each(|relay| relay.set_open(true));
    }

    /// Returns how often each task was started, over all workers of the site; all must be running.
    pub async fn starts(&self) -> IndexMap<String, u32> {
        let mut all = IndexMap::new();
        for worker in &self.workers {
            for (task, count) in worker.starts().await {
                *all.entry(task).or_insert(0) += count;
            }
        }
        all
    }

    /// Fails the test if any task was started twice.
    pub async fn assert_no_double_start(&self) {
        let starts = self.starts().await;
        let started_twice: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
        assert!(started_twice.is_empty(), "started twice: {started_twice:?}");
    }
}

fn member_entry(vm: &str, zone: &str, ip: Ipv4Addr) -> Value {
    json!({
        "vm": vm,
        "zone": zone,
        "peers": format!("{ip}:{PEERS_PORT}"),
        "operators": format!("{ip}:{OPERATORS_PORT}"),
    })
}

fn platform_lists(members: &[Value], workers: &[Worker], leaving: &[&str]) -> Value {
    let mut zones = json!({});
    for worker in workers {
        let list = &mut zones[&worker.zone]["workers"];
        if list.is_null() {
            *list = json!([]);
        }
        list.as_array_mut().expect("a list").push(json!({
            "name": worker.name,
            "address": worker.address,
            "slots": 8,
            "leaving": leaving.contains(&worker.name.as_str()),
        }));
    }
    json!({ "vms": { "vms": members }, "workers": zones })
}

fn start_worker((name, zone, slots): &(&str, &str, u32)) -> Worker {
    let address: SocketAddr = (random_loopback_ip(), FAKE_PORT).into();
    let process = Process::spawn(
        env!("CARGO_BIN_EXE_cranberrytray-stand"),
        &["worker", "--listen", &address.to_string(), "--slots", &slots.to_string()],
    );
    Worker { name: name.to_string(), zone: zone.to_string(), address, process }
}

/// A TCP relay whose connections a test can close.
pub struct Relay {
    pub address: SocketAddr,
    open: watch::Sender<bool>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let listener =
            TcpListener::bind((random_loopback_ip(), PEERS_PORT)).await.expect("a free address");
        let address = listener.local_addr().expect("an address");
        let (open, open_rx) = watch::channel(true);
        tokio::spawn(async move {
            while let Ok((mut inbound, _)) = listener.accept().await {
                let mut open_rx = open_rx.clone();
                tokio::spawn(async move {
                    if !*open_rx.borrow() {
                        return;
                    }
                    let Ok(mut outbound) = TcpStream::connect(to).await else { return };
                    tokio::select! {
                        _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
                        _ = open_rx.wait_for(|open| !open) => {}
                    }
                });
            }
        });
        Relay { address, open }
    }

    fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

/// Polls until `check` returns true; fails the test after [`MAX_POLLS`] polls.
pub async fn wait_until<F, Fut>(check: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    for _ in 0..MAX_POLLS {
        if check().await {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("the condition never held");
}

/// Creates a job of `tasks` tasks that run for `ms` milliseconds each.
pub fn job(tasks: usize, ms: u64) -> JobSpec {
    let spec =
        JobSpec::new("drafting".parse().expect("a name"), "summary".parse().expect("a name"));
    (0..tasks).fold(spec, |spec, i| spec.task(TaskSpec::new(format!("sleep:{ms} task {i}"))))
}

pub fn is_complete(reply: &JobReply) -> bool {
    matches!(reply.body, ReplyBody::Answer(Answer::Complete { .. }))
}
