//! Stand-ins for the platform's store and the workers, as PROTOCOL.md tells.

use crate::{
    base::{Request, base64, serve},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// `holdMaxMs` and the time that a stop takes, below `stopMs`.
const HOLD_MAX_MS: i64 = 1_000;
const STOP_MS: i64 = 30;

fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

/// Rows by table and key: version and value, `None` once removed.
#[derive(Default)]
struct Rows {
    version: i64,
    rows: BTreeMap<(String, String), (i64, Option<String>)>,
}

/// The store. While it is down, it answers each call with 503.
#[derive(Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    pub down: AtomicBool,
    /// When each machine last read the list of workers whole.
    list_reads: Mutex<BTreeMap<String, Instant>>,
}

impl Store {
    /// Serves the calls of a machine at an address of its own, which shows who calls.
    pub fn serve(self: &Arc<Self>, machine: &str) -> SocketAddr {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let (store, machine) = (Arc::clone(self), machine.to_owned());
        serve(listener, move |req| {
            let answer = store.respond(req);
            if answer.0 == 200 && req.path.starts_with("/api/rows-get?table=servers") {
                store.list_reads.lock().unwrap().insert(machine.clone(), Instant::now());
            }
            Some(answer)
        });
        address
    }

    /// When a machine last read the list of workers whole.
    pub fn list_read(&self, machine: &str) -> Option<Instant> {
        self.list_reads.lock().unwrap().get(machine).copied()
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
        self.changed.notify_all();
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
        self.changed.notify_all();
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), key.to_owned()), (version, value));
    }

    fn respond(&self, req: &Request) -> (u16, String) {
        if self.down.load(Ordering::SeqCst) {
            return (503, "{}".to_owned());
        }
        if req.path.starts_with("/api/rows-tx") {
            for (list, removed) in [("writes", false), ("remove", true)] {
                for row in req.body.get(list).list() {
                    let value = (!removed).then(|| row.get("value").text().to_owned());
                    self.write(row.get("table").text(), row.get("key").text(), value);
                }
            }
            self.changed.notify_all();
            let version = self.rows.lock().unwrap().version;
            return (200, format!(r#"{{"ver":{version},"nowMs":1}}"#));
        }
        let wait = Duration::from_millis(req.query("waitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let (found, body) = read(&rows, req);
            let left = end.saturating_duration_since(Instant::now());
            if found > 0 || left.is_zero() {
                return (200, body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
            if self.down.load(Ordering::SeqCst) {
                return (503, "{}".to_owned());
            }
        }
    }
}

fn read(rows: &Rows, req: &Request) -> (usize, String) {
    let is_feed = req.path.starts_with("/api/rows-feed");
    let after: i64 = req.query("after").parse().unwrap_or(0);
    let mut found = Vec::new();
    for ((table, key), (version, value)) in &rows.rows {
        if table != req.query("table") || is_feed && *version <= after {
            continue;
        }
        let row = format!(r#""table":"{table}","part":"","key":"{key}","ver":{version}"#);
        match value {
            Some(value) => found.push(format!(r#"{{{row},"value":"{value}"}}"#)),
            None if is_feed => found.push(format!(r#"{{{row},"removed":true}}"#)),
            None => {}
        }
    }
    let (list, version) = (found.join(","), rows.version);
    (found.len(), format!(r#"{{"rows":[{list}],"hasMore":false,"ver":{version},"nowMs":1}}"#))
}

/// The desired state: one queue on one service of workers that enforce their capacity.
pub fn desired_state(timeout_ms: u64) -> String {
    format!(r#"{{"version":7,"routes":[{{"name":"r-3hwrr6x","host":"{HOST}","prefix":"{PREFIX}","#)
        + &format!(
            r#""kind":"non_idempotent","timeoutMs":{timeout_ms},"targetDurationMs":60,"priority":0,"#
        )
        + r#""service":"huvo11a","maxAttempts":3,"stretch":1.6}],"services":[{"name":"huvo11a","#
        + r#""healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"#
        + r#""enforcesCapacity":true,"spare":false}],"limits":{"maxHeaderBytes":16384,"#
        + r#""maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
}

struct Run {
    number: i64,
    started: i64,
    done: i64,
    /// When the run ends because it was stopped.
    stopped: Option<i64>,
    cpu: i64,
}

/// What a worker holds in one life; times are on its clock.
#[derive(Default)]
struct Life {
    fence: i64,
    until: i64,
    runs: BTreeMap<String, Run>,
    /// Highest number of a stopped or ended run, by task.
    closed: BTreeMap<String, i64>,
    ended: Vec<(i64, String, i64, &'static str)>,
    ends: i64,
}

/// A worker. A task runs for the milliseconds and takes the CPU that its spec gives as `MS:CPU`.
pub struct Worker {
    pub id: String,
    pub zone: String,
    begun: Instant,
    born: u128,
    address: SocketAddr,
    life: Mutex<Life>,
    changed: Condvar,
    record: Arc<Record>,
    /// Whether nothing from a machine reaches the worker, and nothing of it a machine.
    pub cut: AtomicBool,
}

const CPU: i64 = 32_000;

impl Worker {
    pub fn start(id: String, zone: &str, record: &Arc<Record>) -> Arc<Worker> {
        let listener = listen();
        let worker = Arc::new(Worker {
            id,
            zone: zone.to_owned(),
            begun: Instant::now(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis()),
            address: listener.local_addr().expect("an address"),
            life: Mutex::default(),
            changed: Condvar::new(),
            record: Arc::clone(record),
            cut: AtomicBool::new(false),
        });
        let served = Arc::clone(&worker);
        serve(listener, move |req| {
            // What reaches a worker during a cut is lost with its connection.
            let answer = (!served.cut.load(Ordering::SeqCst)).then(|| served.respond(req));
            if served.cut.load(Ordering::SeqCst) {
                while served.cut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
                return None;
            }
            answer
        });
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.end_due_runs(&mut ticking.life.lock().unwrap());
            }
        });
        worker
    }

    /// The entry that the worker writes into the store; `state` is `ready` or `draining`.
    pub fn entry(&self, state: &str) -> String {
        let (address, zone, born) = (self.address, &self.zone, self.born);
        format!(r#"{{"service":"huvo11a","address":"{address}","zone":"{zone}","version":"v1","#)
            + &format!(r#""slots":8,"state":"{state}","coldLeftMs":0,"#)
            + r#""capacity":{"cpu":32000,"memMb":131072,"gpu":0},"labels":["a","r1-1"],"#
            + &format!(r#""clockMs":{},"sequence":1,"born":{born}}}"#, self.clock())
    }

    fn clock(&self) -> i64 {
        self.begun.elapsed().as_millis() as i64 + 1_000
    }

    fn end_due_runs(&self, life: &mut Life) {
        let now = self.clock();
        let mut due = Vec::new();
        for (task, run) in &life.runs {
            let stopped = run.stopped.unwrap_or(i64::MAX);
            let (end, how) =
                if run.done <= stopped { (run.done, "done") } else { (stopped, "stopped") };
            let (end, how) = if life.until < end { (life.until, "lapsed") } else { (end, how) };
            if end <= now {
                due.push((task.clone(), run.number, how));
            }
        }
        for (task, number, how) in due {
            life.runs.remove(&task);
            let closed = life.closed.entry(task.clone()).or_default();
            *closed = number.max(*closed);
            life.ends += 1;
            self.record.ended(&self.id, &task, number, how);
            life.ended.push((life.ends, task, number, how));
            self.changed.notify_all();
        }
    }

    fn respond(&self, req: &Request) -> (u16, String) {
        let clock = || format!(r#"{{"clockMs":{}}}"#, self.clock());
        let refused =
            |reason| (409, format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, self.clock()));
        if req.path == "/health" {
            return (200, "{}".to_owned());
        }
        if req.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return (421, clock());
        }
        let mut life = self.life.lock().unwrap();
        self.end_due_runs(&mut life);
        let fence = req.body.get("fencingToken").number();
        if fence < life.fence {
            return refused("fence");
        }
        life.fence = fence;
        let (task, number) = (req.body.get("task").text().to_owned(), req.body.get("run").number());
        let until = req.body.get("untilMs").number();
        match &*req.path {
            "/api/hold" => {
                life.until = life.until.max(until.min(self.clock() + HOLD_MAX_MS));
                let seen = req.body.get("lastSeen").number();
                life.ended.retain(|end| end.0 > seen);
                let wait = req.body.get("waitMs").number().clamp(0, 2_000) as u64;
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let left = end.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        return (200, self.report(&life));
                    }
                    life = self.changed.wait_timeout(life, left).unwrap().0;
                }
            }
            "/api/run-start" => {
                if until <= self.clock() {
                    return refused("late");
                }
                life.until = life.until.max(until.min(self.clock() + HOLD_MAX_MS));
                if life.runs.get(&task).is_some_and(|run| run.number == number) {
                    return (200, clock());
                }
                if life.closed.get(&task).is_some_and(|closed| number <= *closed) {
                    return refused("old");
                }
                let spec = req.body.get("spec").text();
                let (ms, cpu) = spec.split_once(':').unwrap_or((spec, "0"));
                let (ms, cpu): (i64, i64) = (ms.parse().unwrap_or(0), cpu.parse().unwrap_or(0));
                if life.runs.values().map(|run| run.cpu).sum::<i64>() + cpu > CPU {
                    return refused("room");
                }
                self.record.started(&self.id, &task, number, spec);
                let started = self.clock();
                let run = Run { number, started, done: started + ms, stopped: None, cpu };
                life.runs.insert(task, run);
                (200, clock())
            }
            "/api/run-stop" => {
                self.record.stop_asked(&self.id, &task, number);
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = number.max(*closed);
                if let Some(run) = life.runs.get_mut(&task).filter(|run| run.number == number) {
                    run.stopped.get_or_insert(self.clock() + STOP_MS);
                }
                (200, clock())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn report(&self, life: &Life) -> String {
        let now = self.clock();
        let running = life.runs.iter().map(|(task, run)| {
            let percent = (now - run.started) * 100 / (run.done - run.started).max(1);
            format!(r#"["{task}",{},"",{},0]"#, run.number, percent.min(99))
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ended = life.ended.iter().take(500);
        let ended = ended.map(|(n, task, run, how)| format!(r#"[{n},"{task}",{run},"{how}",""]"#));
        let ended = ended.collect::<Vec<_>>().join(",");
        let born = self.born;
        format!(r#"{{"clockMs":{now},"born":{born},"running":[{running}],"ended":[{ended}]}}"#)
    }
}
