//! A small installation: machines as processes of the deploy file's program, workers, a store, and the
//! platform's ingress.

use crate::{
    base::call,
    platform::{HOST, PREFIX, Store, Worker, desired_state},
    record::Record,
};
use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// Names and sizes as on the sheet of Isuku Nziza: nine machines in three zones.
pub const ZONES: [&str; 3] = ["nyarugenge", "gasabo", "kicukiro"];
const WORKERS_PER_ZONE: usize = 8;
pub const MAX_FDS: u64 = 3_075;
/// All machines start within 0.3 s of each other.
const START_INTERVAL: Duration = Duration::from_millis(30);

/// Zone and processor share of each machine.
pub type Layout = [(usize, f64); 9];
/// Nine machines of the same size, three in each zone.
pub const EVEN: Layout = [
    (0, 0.25),
    (0, 0.25),
    (0, 0.25),
    (1, 0.25),
    (1, 0.25),
    (1, 0.25),
    (2, 0.25),
    (2, 0.25),
    (2, 0.25),
];
/// The machines of `sites/isuku-rounds.toml`.
pub const UNEVEN: Layout = [
    (0, 0.19),
    (0, 0.19),
    (0, 0.19),
    (0, 0.62),
    (1, 0.25),
    (1, 0.25),
    (1, 0.25),
    (2, 0.25),
    (2, 0.25),
];

pub struct Machine {
    pub name: String,
    pub zone: usize,
    pub ip: Ipv4Addr,
    process: Mutex<Child>,
    /// Consecutive checks of `/api/ready` that were missed.
    missed: Mutex<u32>,
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub machines: Vec<Machine>,
    front: u16,
    ready: u16,
    dir: PathBuf,
}

/// Addresses on the loopback network, other ones for each run of a script.
fn machine_ip(n: usize, zone: usize) -> Ipv4Addr {
    let net = 16 + (std::process::id() % 200) as u8;
    Ipv4Addr::new(127, net, zone as u8 + 1, n as u8 + 1)
}

/// First of 24 ports that are free at all addresses. They are below the range of ephemeral ports.
fn free_ports(ips: &[Ipv4Addr]) -> u16 {
    let first = 20_000 + (std::process::id() % 100) as u16 * 100;
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
    let mut bases = (0..80).map(|n| first + n * 24);
    bases.find(|base| (*base..base + 24).all(is_free)).expect("24 free ports")
}

impl Site {
    /// Starts all of it. The processes end when the second value is dropped.
    pub fn start(record: Arc<Record>, layout: &Layout, timeout_ms: u64) -> (Arc<Self>, Stop) {
        let store = Arc::new(Store::default());
        store.put("op", "config", &desired_state(timeout_ms));
        let workers: Vec<_> = (0..ZONES.len() * WORKERS_PER_ZONE)
            .map(|n| Worker::start(format!("i-{n:04x}"), ZONES[n % ZONES.len()], &record))
            .collect();
        for worker in &workers {
            store.put("servers", &worker.id, &worker.entry("ready"));
        }
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let ips: Vec<_> =
            layout.iter().enumerate().map(|(n, (zone, _))| machine_ip(n, *zone)).collect();
        let ports = free_ports(&ips);
        let first_of = |zone| ips[layout.iter().position(|(z, _)| *z == zone).unwrap_or(0)];
        let seeds: Vec<_> = (0..ZONES.len()).map(first_of).collect();
        let mut machines = Vec::new();
        for (n, (zone, cpu_share)) in layout.iter().enumerate() {
            let (zone, ip) = (*zone, ips[n]);
            let number = layout[..=n].iter().filter(|(z, _)| *z == zone).count();
            let name = format!("front-{}-{number}", ZONES[zone]);
            let text = settings(&name, zone, *cpu_share, ip, ports, &seeds, store.serve(&name));
            fs::write(dir.join(format!("{name}.toml")), text).expect("a settings file");
            let process = Mutex::new(spawn(&dir, &name));
            thread::sleep(START_INTERVAL);
            machines.push(Machine { name, zone, ip, process, missed: Mutex::new(2) });
        }
        let (front, ready) = (ports + 16, ports + 18);
        let site = Arc::new(Site { record, store, workers, machines, front, ready, dir });
        (Arc::clone(&site), Stop(site))
    }

    /// Address to which the ingress passes a client's new channel.
    pub fn ingress(&self, zone: usize, client: usize) -> SocketAddr {
        let all = |z: usize| self.machines.iter().filter(move |m| m.zone == z).collect::<Vec<_>>();
        let in_rotation = |z| {
            let machines = all(z).into_iter();
            machines.filter(|m| *m.missed.lock().unwrap() < 2).collect::<Vec<_>>()
        };
        let own = in_rotation(zone);
        let chosen = if own.is_empty() {
            let others: Vec<usize> = (0..ZONES.len()).filter(|z| *z != zone).collect();
            let ready: Vec<_> = others.iter().flat_map(|z| in_rotation(*z)).collect();
            if ready.is_empty() { others.iter().flat_map(|z| all(*z)).collect() } else { ready }
        } else if own.len() * 2 < all(zone).len() {
            all(zone)
        } else {
            own
        };
        self.front(chosen[client % chosen.len()])
    }

    pub fn front(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(machine.ip), self.front)
    }

    /// Checks each machine's readiness once a second, as the ingress does, until the process ends.
    pub fn check_readiness(self: &Arc<Self>) {
        for n in 0..self.machines.len() {
            let site = Arc::clone(self);
            thread::spawn(move || {
                loop {
                    let begun = Instant::now();
                    let machine = &site.machines[n];
                    let address = SocketAddr::new(IpAddr::V4(machine.ip), site.ready);
                    let limit = Duration::from_secs(1);
                    let answer =
                        call(address, "GET", "/api/ready", &[("Host", "ready")], "", limit);
                    let is_ready = matches!(answer, Ok((200, _)));
                    let mut missed = machine.missed.lock().unwrap();
                    let was_in = *missed < 2;
                    *missed = if is_ready { 0 } else { *missed + 1 };
                    let is_in = *missed < 2;
                    drop(missed);
                    if was_in != is_in {
                        let state = if is_in { "in" } else { "out of" };
                        site.record.line(&format!("{} is {state} rotation", machine.name));
                    }
                    thread::sleep(Duration::from_secs(1).saturating_sub(begun.elapsed()));
                }
            });
        }
    }

    /// Waits until all machines are in rotation. Returns false if that takes over `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.machines.iter().all(|m| *m.missed.lock().unwrap() == 0) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills the process of a machine and starts it again after `pause`.
    pub fn kill(&self, machine: &Machine, pause: Duration) {
        self.record.line(&format!("the process of {} is killed", machine.name));
        let mut process = machine.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
        thread::sleep(pause);
        *process = spawn(&self.dir, &machine.name);
    }

    /// Whether a machine says that it dispatches the tasks of its zone.
    pub fn dispatches(&self, machine: &Machine) -> bool {
        let address = SocketAddr::new(IpAddr::V4(machine.ip), self.ready);
        let headers = [("Host", "ready"), ("Connection", "close")];
        let answer = call(address, "GET", "/metrics", &headers, "", Duration::from_secs(1));
        answer.is_ok_and(|(_, text)| text.lines().any(|l| l == "cranberrytray_dispatches 1"))
    }

    /// Kills the processes of all machines at once and starts them again after `pause`.
    pub fn kill_all(&self, pause: Duration) {
        for machine in &self.machines {
            let mut process = machine.process.lock().unwrap();
            let _ = process.kill();
            let _ = process.wait();
        }
        thread::sleep(pause);
        for machine in &self.machines {
            *machine.process.lock().unwrap() = spawn(&self.dir, &machine.name);
            thread::sleep(START_INTERVAL);
        }
    }

    /// Numbers of open descriptors and whether the process of each machine still runs.
    pub fn descriptors(&self) -> String {
        let count = |machine: &Machine| {
            let mut process = machine.process.lock().unwrap();
            let runs = matches!(process.try_wait(), Ok(None));
            let open =
                fs::read_dir(format!("/proc/{}/fd", process.id())).map_or(0, Iterator::count);
            format!("{}={open}{}", machine.name, if runs { "" } else { " (ended)" })
        };
        self.machines.iter().map(count).collect::<Vec<_>>().join(" ")
    }

    pub fn set_store_down(&self, down: bool) {
        self.store.down.store(down, Ordering::SeqCst);
        self.record.line(if down { "the store is down" } else { "the store is back" });
    }

    /// Sends a client's request and writes it and its answer down.
    pub fn send(
        &self,
        to: SocketAddr,
        method: &str,
        id: &str,
        deadline_ms: u64,
        body: &str,
    ) -> Result<(u16, String), String> {
        let machine = self.machines.iter().find(|m| IpAddr::V4(m.ip) == to.ip());
        let name = machine.map_or("nobody", |machine| &*machine.name);
        self.record.line(&format!("client: {method} {id} to {name} {body}"));
        let deadline = deadline_ms.to_string();
        let mut headers =
            vec![("Host", HOST), ("X-Deadline-Ms", &*deadline), ("Connection", "close")];
        if !body.is_empty() {
            headers.push(("Content-Type", "application/json"));
        }
        let path = format!("{PREFIX}{id}");
        let limit = Duration::from_millis(deadline_ms);
        let answer = call(to, method, &path, &headers, body, limit);
        self.record.line(&format!("client: answer to {method} {id}: {answer:?}"));
        answer
    }
}

/// Ends the processes of all machines when it is dropped; threads that check readiness keep the site.
pub struct Stop(Arc<Site>);

impl Drop for Stop {
    fn drop(&mut self) {
        for machine in &self.0.machines {
            let mut process = machine.process.lock().unwrap();
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.0.dir);
    }
}

fn spawn(dir: &std::path::Path, name: &str) -> Child {
    let log = File::options().create(true).append(true).open(dir.join(format!("{name}.log")));
    let log = log.expect("a log file");
    Command::new("target/release/cranberrytray-platform")
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("CRANBERRYTRAY_CONFIG", dir.join(format!("{name}.toml")))
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a log file"))
        .stdout(log)
        .spawn()
        .expect("target/release/cranberrytray-platform")
}

fn settings(
    name: &str,
    zone: usize,
    cpu_share: f64,
    ip: Ipv4Addr,
    ports: u16,
    seeds: &[Ipv4Addr],
    store: SocketAddr,
) -> String {
    let (front, control, ready) = (ports + 16, ports + 17, ports + 18);
    let seeds = seeds.iter().map(|ip| format!("\"{ip}:{control}\""));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"kigali\"\n")).collect();
    format!(
        r#"node = "{name}"
role = "entry"
class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{}"
region = "kigali"
portRange = [{ports},{}]
seeds = [{seeds}]
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
{zones}[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = {cpu_share:.2}
cores = 1
memoryMb = 260
maxFds = {MAX_FDS}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 1000
stopMs = 50
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 3
saveS = 2
restoreMs = 100
noticeMs = 4500
moveS = 1.5
upkeepS = 2
fencingRequired = false
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
harmMs = 4000
resendMs = 1300
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"#,
        ZONES[zone],
        ports + 15,
    )
}
