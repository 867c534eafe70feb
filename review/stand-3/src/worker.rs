//! Workers that follow the pages' section "Running tasks".

use crate::{
    http::Request,
    json::{Json, quote},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Condvar, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Longest lease, in milliseconds: `holdMaxMs`.
const HOLD_MAX_MS: u64 = 1_000;
/// Time that a stop takes; `stopMs` is 50.
const STOP_TIME: Duration = Duration::from_millis(40);
/// Ends in one response.
const MAX_ENDS: usize = 500;
/// Capacity, in thousandths of a core.
const CPU: u64 = 16_000;

struct Run {
    number: u64,
    cpu: u64,
    begun: Instant,
    done: Instant,
    stopped: Option<Instant>,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, Run>,
    /// Highest number of a stopped or ended run, by task.
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    fence: u64,
    /// End of the lease, on this worker's clock.
    until_ms: u64,
}

/// A worker, on which a task runs for as long as the `spec` of its job says.
pub struct Worker {
    pub id: String,
    zone: String,
    /// Its kind and its rack.
    labels: [String; 2],
    started: Instant,
    born_ms: u128,
    record: Record,
    state: Mutex<State>,
    ends: Condvar,
}

impl Worker {
    pub fn new(id: String, zone: &str, labels: [String; 2], record: Record) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Worker {
            id,
            zone: zone.to_owned(),
            labels,
            started: Instant::now(),
            born_ms: born.as_millis(),
            record,
            state: Mutex::default(),
            ends: Condvar::new(),
        }
    }

    /// Its report about itself, as it stands in the store.
    pub fn entry(&self, address: SocketAddr, sequence: u64) -> String {
        let Worker { zone, labels: [kind, rack], born_ms, .. } = self;
        let clock = self.clock_ms();
        format!(
            r#"{{"service":"round-planner","address":"{address}","zone":"{zone}","version":"v1",
            "slots":8,"state":"ready","coldLeftMs":0,
            "capacity":{{"cpu":{CPU},"memMb":32768,"gpu":0}},"labels":["{kind}","{rack}"],
            "clockMs":{clock},"sequence":{sequence},"born":{born_ms}}}"#
        )
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    /// Ends the runs whose time or lease is over; to be called every few milliseconds.
    pub fn end_due_runs(&self) {
        self.end_due(&mut self.state.lock().unwrap());
    }

    fn end_due(&self, state: &mut State) {
        let now = Instant::now();
        let lapsed = self.clock_ms() > state.until_ms;
        let how = |run: &Run| match run.stopped {
            Some(stopped) if stopped <= now => Some("stopped"),
            _ if run.done <= now => Some("done"),
            _ if lapsed => Some("lapsed"),
            _ => None,
        };
        let due = state.runs.iter().filter_map(|(task, run)| Some((task.clone(), how(run)?)));
        for (task, how) in due.collect::<Vec<_>>() {
            let Some(run) = state.runs.remove(&task) else { continue };
            let closed = state.closed.entry(task.clone()).or_default();
            *closed = run.number.max(*closed);
            state.end_count += 1;
            self.record.end(&self.id, &task, run.number, how);
            state.ended.push((state.end_count, task, run.number, how));
            self.ends.notify_all();
        }
    }

    fn refused(&self, reason: &str) -> Option<(u16, String)> {
        Some((409, format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, self.clock_ms())))
    }

    fn accepted(&self) -> Option<(u16, String)> {
        Some((200, format!(r#"{{"clockMs":{}}}"#, self.clock_ms())))
    }

    /// Handles an order.
    pub fn respond(&self, req: &Request) -> Option<(u16, String)> {
        if req.instance.as_ref().is_some_and(|instance| *instance != self.id) {
            return Some((421, "{}".into()));
        }
        let body = Json::parse(&req.body)?;
        let number = |name: &str| body.field(name).number();
        let mut state = self.state.lock().unwrap();
        self.end_due(&mut state);
        let fence = number("fencingToken").unwrap_or(0);
        if fence < state.fence {
            return self.refused("fence");
        }
        state.fence = fence;
        match &*req.path {
            "/api/run-start" => self.start(&body, &mut state),
            "/api/run-stop" => self.stop(&body, &mut state),
            "/api/hold" => {
                self.extend(&mut state, number("untilMs").unwrap_or(0));
                let seen = number("lastSeen").unwrap_or(0);
                state.ended.retain(|(n, ..)| *n > seen);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(2_000));
                let no_end = |state: &mut State| state.ended.is_empty();
                let (state, _) = self.ends.wait_timeout_while(state, wait, no_end).unwrap();
                Some((200, self.report(&state)))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn extend(&self, state: &mut State, until_ms: u64) {
        state.until_ms = state.until_ms.max(until_ms.min(self.clock_ms() + HOLD_MAX_MS));
    }

    fn start(&self, body: &Json, state: &mut State) -> Option<(u16, String)> {
        let (task, number) = (body.field("task").text()?, body.field("run").number()?);
        let until_ms = body.field("untilMs").number()?;
        if until_ms <= self.clock_ms() {
            return self.refused("late");
        }
        self.extend(state, until_ms);
        if state.runs.get(task).is_some_and(|run| run.number == number) {
            return self.accepted();
        }
        if state.closed.get(task).is_some_and(|closed| number <= *closed) {
            return self.refused("old");
        }
        let spec = Json::parse(body.field("spec").text()?)?;
        let cpu = spec.field("cpu").number()?;
        if state.runs.values().map(|run| run.cpu).sum::<u64>() + cpu > CPU {
            return self.refused("room");
        }
        let step: usize = task.split('.').nth(2)?.parse().ok()?;
        let millis = spec.field("ms").items().get(step)?.number()?;
        let owner = spec.field("of").text().unwrap_or("");
        let now = Instant::now();
        let done = now + Duration::from_millis(millis);
        self.record.begin(&self.id, task, number, owner);
        let run = Run { number, cpu, begun: now, done, stopped: None };
        state.runs.insert(task.to_owned(), run);
        self.accepted()
    }

    fn stop(&self, body: &Json, state: &mut State) -> Option<(u16, String)> {
        let (task, number) = (body.field("task").text()?, body.field("run").number()?);
        self.record.note(format!("worker {}: told to stop run {number} of {task}", self.id));
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = number.max(*closed);
        if let Some(run) = state.runs.get_mut(task).filter(|run| run.number == number) {
            run.stopped.get_or_insert(Instant::now() + STOP_TIME);
        }
        self.accepted()
    }

    fn report(&self, state: &State) -> String {
        let now = Instant::now();
        let percent = |run: &Run| {
            let (age, all) = ((now - run.begun).as_millis(), (run.done - run.begun).as_millis());
            (age * 100 / all.max(1)).min(100)
        };
        let running: Vec<String> = state
            .runs
            .iter()
            .filter(|(_, run)| run.stopped.is_none())
            .map(|(t, run)| {
                format!(r#"[{},{},"",{},{}]"#, quote(t), run.number, percent(run), run.cpu)
            })
            .collect();
        let ends = state.ended.iter().take(MAX_ENDS);
        let ended: Vec<String> = ends
            .map(|(n, t, run, how)| format!(r#"[{n},{},{run},"{how}",""]"#, quote(t)))
            .collect();
        format!(
            r#"{{"clockMs":{},"born":{},"running":[{}],"ended":[{}]}}"#,
            self.clock_ms(),
            self.born_ms,
            running.join(","),
            ended.join(",")
        )
    }
}
