//! A small deployment: the project's processes, a store, workers and an operator.

use crate::{
    http::{self, Call, HOST},
    record::Record,
    store::Store,
    worker::Worker,
};
use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Zones, as in the site file `isuku-rounds`.
pub const ZONES: [&str; 2] = ["nyarugenge", "gasabo"];
const WORKERS_PER_ZONE: usize = 4;
/// Zones and cores of the machines, unless a case has others.
pub const MACHINES: [(&str, f64); 4] =
    [(ZONES[0], 0.25), (ZONES[0], 0.25), (ZONES[1], 0.25), (ZONES[1], 0.25)];
/// Prefix of the queue that every desired state has.
pub const PREFIX: &str = "/lohu930/";
/// Interval at which a worker reports to the store: `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Reports after which the entry of a silent worker is removed.
const SILENT_REPORTS: u32 = 3;
/// Longest wait for the processes to be ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// A route of a desired state.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: u32,
}

/// The route of [`PREFIX`].
pub const USUAL_ROUTE: Route = Route { name: "r-3hwrr6x", prefix: PREFIX, priority: 0 };

/// Encodes a desired state.
pub fn desired_state(version: u64, routes: &[Route]) -> String {
    let route = |r: &Route| {
        let Route { name, prefix, priority } = r;
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"non_idempotent",
            "timeoutMs":1500,"targetDurationMs":60,"priority":{priority},
            "service":"round-planner","maxAttempts":2,"stretch":1.6}}"#
        )
    };
    let routes = routes.iter().map(route).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"round-planner",
        "healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,
        "enforcesCapacity":true,"spare":false}}],"limits":{{"maxHeaderBytes":16384,
        "maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Submission of a best-effort job with one task a step, each after the one before. `of` names the
/// client in the spec.
pub fn job(id: &str, of: &str, step_ms: &[u64], deadline_ms: u64) -> Call {
    let list = step_ms.iter().map(u64::to_string).collect::<Vec<_>>().join(",");
    let spec = format!(r#"{{\"of\":\"{of}\",\"cpu\":2000,\"ms\":[{list}]}}"#);
    let step = |(n, ms): (usize, &u64)| {
        let after = if n == 0 { String::new() } else { format!(r#","after":[{}]"#, n - 1) };
        format!(r#"{{"count":1,"cpu":2000,"memMb":64,"estimateMs":{ms}{after}}}"#)
    };
    let steps = step_ms.iter().enumerate().map(step).collect::<Vec<_>>().join(",");
    Call {
        method: "POST",
        path: format!("{PREFIX}{id}"),
        body: format!(r#"{{"spec":"{spec}","bestEffort":true,"steps":[{steps}]}}"#),
        deadline_ms: Some(deadline_ms),
    }
}

/// All processes that were started, so that they can be killed from any thread.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all processes of the system and waits for their ends.
pub fn kill_all() {
    for process in PROCESSES.lock().unwrap().iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
}

/// A machine of the system and its process.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub front: SocketAddr,
    ready: SocketAddr,
    /// Whether the store turns this machine away.
    pub is_turned_away: Arc<AtomicBool>,
    settings: PathBuf,
    log: PathBuf,
    /// Number of its process in [`PROCESSES`].
    process: Option<usize>,
}

/// The deployment; its processes are killed on drop.
pub struct Site {
    pub record: Record,
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    program: Vec<String>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns ports that are free at all of the addresses.
fn free_ports(count: usize, ips: &[IpAddr]) -> io::Result<Vec<u16>> {
    let mut ports = Vec::new();
    while ports.len() < count {
        let port = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?.port();
        let is_free = ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
        if is_free && !ports.contains(&port) {
            ports.push(port);
        }
    }
    Ok(ports)
}

impl Site {
    /// Starts the store, the workers and the processes, which run the words of `program`, and waits
    /// until each of them is ready and has run a job.
    pub fn start(
        program: &str,
        record: &Record,
        state: &str,
        machines: &[(&'static str, f64)],
    ) -> Result<Self, String> {
        let store = Arc::new(Store::default());
        store.put("op", "config", state);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        let mut site = Site {
            record: record.clone(),
            store,
            machines: Vec::new(),
            program: program.split(' ').map(str::to_owned).collect(),
            folder,
        };
        site.set_up(machines).map_err(|e| format!("the deployment can't be set up: {e}"))?;
        (0..site.machines.len()).for_each(|n| site.start_process(n));
        site.wait_until_served()?;
        Ok(site)
    }

    fn set_up(&mut self, machines: &[(&'static str, f64)]) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        for zone in ZONES {
            for n in 0..WORKERS_PER_ZONE {
                self.start_worker(zone, n, "a")?;
            }
        }
        let ip = |n: usize| IpAddr::from([127, 0, 1, 1 + n as u8]);
        let ips: Vec<IpAddr> = (0..machines.len()).map(ip).collect();
        let ports = free_ports(4, &ips)?;
        for (n, (ip, (zone, cores))) in ips.iter().zip(machines).enumerate() {
            let number = machines[..n].iter().filter(|(other, _)| other == zone).count() + 1;
            let name = format!("front-{zone}-{number}");
            let (store, record) = (Arc::clone(&self.store), self.record.clone());
            let is_turned_away = Arc::new(AtomicBool::new(false));
            let is_away = Arc::clone(&is_turned_away);
            let store_address = http::serve(move |req| {
                let away = || is_away.load(Ordering::Relaxed).then(|| (503, "{}".to_owned()));
                away().or_else(|| {
                    let res = store.respond(&req, &record);
                    away().or(res)
                })
            })?;
            let at = |port: usize| SocketAddr::new(*ip, ports[port]);
            let settings = self.folder.join(format!("{name}.toml"));
            let seeds = ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports[2]));
            let seeds = seeds.collect::<Vec<_>>().join(",");
            let text = include_str!("settings.toml")
                .replace("{node}", &name)
                .replace("{ip}", &ip.to_string())
                .replace("{zone}", zone)
                .replace("{cores}", &cores.to_string())
                .replace("{port}", &ports[3].to_string())
                .replace("{seeds}", &seeds)
                .replace("{front}", &at(0).to_string())
                .replace("{ready}", &at(1).to_string())
                .replace("{control}", &at(2).to_string())
                .replace("{store}", &store_address.to_string());
            fs::write(&settings, text)?;
            let log = self.folder.join(format!("{name}.log"));
            let (front, ready) = (at(0), at(1));
            let machine =
                Machine { name, zone, front, ready, is_turned_away, settings, log, process: None };
            self.machines.push(machine);
        }
        Ok(())
    }

    /// Starts a worker of a kind. Its reports don't reach the store while the returned flag is set,
    /// and the store then removes its entry after three intervals.
    pub fn start_worker(&self, zone: &str, n: usize, kind: &str) -> io::Result<Arc<AtomicBool>> {
        let id = format!("i-{zone}-{n}");
        let labels = [kind.to_owned(), format!("r-{zone}")];
        let worker = Worker::new(id, zone, labels, self.record.clone());
        let worker = Arc::new(worker);
        let server = Arc::clone(&worker);
        let address = http::serve(move |req| server.respond(&req))?;
        let store = Arc::clone(&self.store);
        store.put("servers", &worker.id, &worker.entry(address, 1));
        let is_cut = Arc::new(AtomicBool::new(false));
        let is_cut_off = Arc::clone(&is_cut);
        thread::spawn(move || {
            let mut silent = 0;
            for sequence in 2.. {
                let reported = Instant::now();
                while reported.elapsed() < HEARTBEAT {
                    worker.end_due_runs();
                    thread::sleep(Duration::from_millis(2));
                }
                silent = if is_cut_off.load(Ordering::Relaxed) { silent + 1 } else { 0 };
                match silent {
                    0 => store.put("servers", &worker.id, &worker.entry(address, sequence)),
                    SILENT_REPORTS => store.remove("servers", &worker.id),
                    _ => {}
                }
            }
        });
        Ok(is_cut)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start_process(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        let log = File::options().create(true).append(true).open(&machine.log);
        let output = || log.as_ref().ok().and_then(|f| f.try_clone().ok());
        let stdio = |file: Option<File>| file.map_or_else(Stdio::null, Stdio::from);
        let command = Command::new(&self.program[0])
            .args(&self.program[1..])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CRANBERRYTRAY_CONFIG", &machine.settings)
            .stdin(Stdio::null())
            .stdout(stdio(output()))
            .stderr(stdio(output()))
            .spawn();
        let Ok(process) = command.inspect_err(|e| eprintln!("{}: {e}", machine.name)) else {
            return;
        };
        let mut processes = PROCESSES.lock().unwrap();
        machine.process = Some(processes.len());
        processes.push(process);
    }

    /// Waits until every machine is ready and has had a job run.
    pub fn wait_until_served(&self) -> Result<(), String> {
        let end = Instant::now() + START_LIMIT;
        for (n, machine) in self.machines.iter().enumerate() {
            let path = "/api/ready".to_owned();
            let ready = Call { method: "GET", path, body: String::new(), deadline_ms: None };
            let is_ready = || {
                let res = http::call(machine.ready, &ready, Duration::from_millis(500));
                res.is_ok_and(|(status, _)| status == 200)
            };
            let first = job(&format!("{:016x}", 0xf00 + n), "the start", &[50], 1_500);
            let is_served = || {
                let res = http::call(machine.front, &first, Duration::from_secs(2));
                res.is_ok_and(|(status, _)| status == 200)
            };
            while !(is_ready() && is_served()) {
                if Instant::now() > end {
                    return Err(format!("{} serves no job after its start", machine.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.note("all machines are ready and have run a job");
        Ok(())
    }

    /// Kills the process of one machine.
    pub fn kill(&self, n: usize) {
        let mut processes = PROCESSES.lock().unwrap();
        if let Some(process) = self.machines[n].process.and_then(|n| processes.get_mut(n)) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Number of the first machine of a zone.
    pub fn machine_of(&self, zone: &str) -> usize {
        self.machines.iter().position(|machine| machine.zone == zone).unwrap_or(0)
    }

    /// Sends a request to a machine on a channel of its own, and records it and its response.
    pub fn call(&self, n: usize, call: &Call, limit: Duration) -> Option<u16> {
        let machine = &self.machines[n];
        let what = format!("{} {}", call.method, call.path);
        self.record.note(format!("client to {}: {what}", machine.name));
        let res = http::call(machine.front, call, limit);
        self.note_response(n, &what, &res);
        res.ok().map(|(status, _)| status)
    }

    /// Records a response.
    pub fn note_response(&self, n: usize, what: &str, res: &io::Result<(u16, String)>) {
        let text = match res {
            Ok((status, body)) => format!("{status} {body}"),
            Err(e) => format!("no response: {e}"),
        };
        self.record.note(format!("{} to client: {what}: {text}", self.machines[n].name));
    }

    /// Lines of the machines' logs that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let read = |path: &Path| fs::read_to_string(path).unwrap_or_default();
        let logs = self.machines.iter().map(|machine| read(&machine.log));
        let lines = logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.filter(|line| line.contains(text)).collect()
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut processes = PROCESSES.lock().unwrap();
        let numbers = self.machines.iter().map(|machine| machine.process);
        let mut ended =
            numbers.map(|n| n.is_none_or(|n| !matches!(processes[n].try_wait(), Ok(None))));
        ended.any(|has_ended| has_ended)
    }
}
