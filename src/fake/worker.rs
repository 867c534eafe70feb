//! Fake worker: it sleeps instead of working, counts the starts of tasks, and injects faults.

use super::{ConnectionDropped, FakeRequest, FakeResponse, FakeService, empty_reply, json_reply};
use crate::protocol::workers::{
    ErrorReply, LEAVING_HEADER, START_PATH, STARTED_HEADER, STOP_PATH, StartReply, StartRequest,
    StopReply, StopRequest,
};
use hyper::{
    Method, StatusCode,
    header::{HeaderName, HeaderValue},
};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{future::pending, time::Duration};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

/// Path of requests that set the injected faults.
pub const FAULTS_PATH: &str = "/control/faults";
/// Path of requests that read the number of starts of each task.
pub const STARTS_PATH: &str = "/control/starts";

/// Faults injected by the fake worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// Refuses every task as if all slots were in use.
    pub refuse: bool,
    /// Closes the connection before the task is started.
    pub drop_before_start: bool,
    /// Closes the connection after the task was started.
    pub drop_after_start: bool,
    /// Starts tasks and never responds.
    pub stall: bool,
    /// Starts tasks and reports their failure at once.
    pub fail_all: bool,
    /// Reports that the worker is leaving, and refuses tasks.
    pub leaving: bool,
    /// Delay of the response about a task that was started, in milliseconds.
    pub delay_answer_ms: u64,
    /// Sends a response that can't be parsed when a task has completed.
    pub garble: bool,
}

#[derive(Debug, Default)]
struct Tasks {
    /// Channels that stop the running tasks, by task id.
    running: IndexMap<String, oneshot::Sender<()>>,
    /// Number of starts by task id.
    starts: IndexMap<String, u32>,
}

/// Frees a task's slot when dropped, even if the connection ends before the task does.
struct SlotGuard<'a> {
    tasks: &'a Mutex<Tasks>,
    task: &'a str,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.tasks.lock().running.swap_remove(self.task);
    }
}

/// A worker that sleeps for the run time in each task's payload instead of working.
#[derive(Debug)]
pub struct FakeWorker {
    slots: usize,
    slowness: f64,
    faults: Mutex<WorkerFaults>,
    tasks: Mutex<Tasks>,
}

/// Run time of a task whose payload gives none, in milliseconds.
const DEFAULT_RUN_MS: u64 = 50;

/// Parses the run time in a payload `sleep:MS`; anything after a space is ignored.
fn run_ms(payload: &str) -> u64 {
    let word = payload.split(' ').next().unwrap_or_default();
    word.strip_prefix("sleep:").and_then(|ms| ms.parse().ok()).unwrap_or(DEFAULT_RUN_MS)
}

impl FakeWorker {
    /// Creates a worker with `slots` slots, on which a task runs `slowness` times as long as its
    /// payload asks for.
    pub fn new(slots: usize, slowness: f64) -> Self {
        FakeWorker { slots, slowness, faults: Mutex::default(), tasks: Mutex::default() }
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns how often each task was started, by task id.
    pub fn starts(&self) -> IndexMap<String, u32> {
        self.tasks.lock().starts.clone()
    }

    fn occupy_slot(&self, task: &str) -> Option<oneshot::Receiver<()>> {
        let mut tasks = self.tasks.lock();
        if tasks.running.len() >= self.slots {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        tasks.running.insert(task.to_owned(), tx);
        *tasks.starts.entry(task.to_owned()).or_insert(0) += 1;
        Some(rx)
    }

    async fn start(&self, req: FakeRequest) -> Result<FakeResponse, ConnectionDropped> {
        let Ok(start) = serde_json::from_slice::<StartRequest>(&req.body) else {
            return Ok(refusal(StatusCode::BAD_REQUEST, "malformed"));
        };
        let faults = self.faults.lock().clone();
        if faults.drop_before_start {
            return Err(ConnectionDropped);
        }
        if faults.refuse || faults.leaving {
            return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, "full"));
        }
        let Some(stop) = self.occupy_slot(&start.task) else {
            return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, "full"));
        };
        let slot = SlotGuard { tasks: &self.tasks, task: &start.task };
        let res = self.run_task(&start, &faults, stop).await;
        drop(slot);
        sleep(Duration::from_millis(faults.delay_answer_ms)).await;
        res
    }

    async fn run_task(
        &self,
        start: &StartRequest,
        faults: &WorkerFaults,
        stop: oneshot::Receiver<()>,
    ) -> Result<FakeResponse, ConnectionDropped> {
        if faults.drop_after_start {
            return Err(ConnectionDropped);
        }
        if faults.fail_all {
            return Ok(failure("broken worker"));
        }
        if faults.stall {
            return pending().await;
        }
        let run_time = Duration::from_millis(run_ms(&start.payload)).mul_f64(self.slowness);
        let run = async {
            tokio::select! {
                () = sleep(run_time) => true,
                _ = stop => false,
            }
        };
        match timeout(Duration::from_millis(start.lease_ms), run).await {
            Err(_) => Ok(failure("lease over")),
            Ok(false) => Ok(failure("stopped")),
            Ok(true) if faults.garble => Ok(empty_reply(StatusCode::OK)),
            Ok(true) => {
                let output = format!("done {}", start.payload);
                Ok(json_reply(StatusCode::OK, &StartReply { output }))
            }
        }
    }

    fn stop(&self, req: &FakeRequest) -> FakeResponse {
        let Ok(stop) = serde_json::from_slice::<StopRequest>(&req.body) else {
            return empty_reply(StatusCode::BAD_REQUEST);
        };
        let mut tasks = self.tasks.lock();
        let mut stopped = 0;
        for task in &stop.tasks {
            let running = tasks.running.swap_remove(task);
            stopped += u32::from(running.is_some_and(|tx| tx.send(()).is_ok()));
        }
        json_reply(StatusCode::OK, &StopReply { stopped })
    }
}

fn refusal(status: StatusCode, error: &str) -> FakeResponse {
    let mut res = json_reply(status, &ErrorReply { error: error.to_owned() });
    let name = HeaderName::from_static(STARTED_HEADER);
    res.headers_mut().insert(name, HeaderValue::from_static("no"));
    res
}

fn failure(error: &str) -> FakeResponse {
    json_reply(StatusCode::INTERNAL_SERVER_ERROR, &ErrorReply { error: error.to_owned() })
}

impl FakeService for FakeWorker {
    async fn handle(&self, req: FakeRequest) -> Result<FakeResponse, ConnectionDropped> {
        let mut res = match (&req.method, req.path.as_str()) {
            (&Method::POST, START_PATH) => self.start(req).await?,
            (&Method::POST, STOP_PATH) => self.stop(&req),
            (&Method::GET, STARTS_PATH) => json_reply(StatusCode::OK, &self.starts()),
            (&Method::PUT, FAULTS_PATH) => match serde_json::from_slice(&req.body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    empty_reply(StatusCode::OK)
                }
                Err(_) => empty_reply(StatusCode::BAD_REQUEST),
            },
            _ => empty_reply(StatusCode::NOT_FOUND),
        };
        if self.faults.lock().leaving {
            let name = HeaderName::from_static(LEAVING_HEADER);
            res.headers_mut().insert(name, HeaderValue::from_static("yes"));
        }
        Ok(res)
    }
}
