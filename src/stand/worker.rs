//! A worker that sleeps instead of working, counts what it starts, and fails on demand.

use super::{Dropped, Stand, StandRequest, StandResponse, bare, reply};
use crate::protocol::workers::{
    FailReply, LEAVING_HEADER, START_PATH, STARTED_HEADER, STOP_PATH, StartReply, StartRequest,
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

/// Where the fault switches are set.
pub const FAULTS_PATH: &str = "/control/faults";
/// Where the counts of starts are read.
pub const STARTS_PATH: &str = "/control/starts";

/// The fault switches of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// Refuses every task as if it were full.
    pub refuse: bool,
    /// Closes the connection before it starts a task.
    pub drop_before_start: bool,
    /// Closes the connection after it has started a task.
    pub drop_after_start: bool,
    /// Starts tasks and never answers.
    pub stall: bool,
    /// Starts tasks and fails them at once.
    pub fail_all: bool,
    /// Says that it is leaving, and refuses tasks.
    pub leaving: bool,
    /// Holds every answer back for this long, in milliseconds.
    pub delay_answer_ms: u64,
    /// Answers a start with something that can't be read.
    pub garble: bool,
}

#[derive(Debug, Default)]
struct Tasks {
    running: IndexMap<String, oneshot::Sender<()>>,
    starts: IndexMap<String, u32>,
}

/// Frees a task's slot when it ends, also when its connection ends before.
struct Running<'a> {
    tasks: &'a Mutex<Tasks>,
    task: &'a str,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.tasks.lock().running.swap_remove(self.task);
    }
}

/// A worker stand-in.
#[derive(Debug)]
pub struct WorkerStand {
    slots: usize,
    slowness: f64,
    faults: Mutex<WorkerFaults>,
    tasks: Mutex<Tasks>,
}

/// Run time of a task whose payload does not say one, in milliseconds.
const DEFAULT_MS: u64 = 50;

/// The run time that a payload asks for: `sleep:MS`, anything after a space is ignored.
fn work_ms(payload: &str) -> u64 {
    let word = payload.split(' ').next().unwrap_or_default();
    word.strip_prefix("sleep:").and_then(|ms| ms.parse().ok()).unwrap_or(DEFAULT_MS)
}

impl WorkerStand {
    /// A worker that runs `slots` tasks at a time, each `slowness` times as long as it asks for.
    pub fn new(slots: usize, slowness: f64) -> Self {
        WorkerStand { slots, slowness, faults: Mutex::default(), tasks: Mutex::default() }
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: WorkerFaults) {
        *self.faults.lock() = faults;
    }

    /// How often each task was started.
    pub fn starts(&self) -> IndexMap<String, u32> {
        self.tasks.lock().starts.clone()
    }

    fn enter(&self, task: &str) -> Option<oneshot::Receiver<()>> {
        let mut tasks = self.tasks.lock();
        if tasks.running.len() >= self.slots {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        tasks.running.insert(task.to_owned(), tx);
        *tasks.starts.entry(task.to_owned()).or_insert(0) += 1;
        Some(rx)
    }

    async fn start(&self, req: StandRequest) -> Result<StandResponse, Dropped> {
        let Ok(start) = serde_json::from_slice::<StartRequest>(&req.body) else {
            return Ok(refuse(StatusCode::BAD_REQUEST, "malformed"));
        };
        let faults = self.faults.lock().clone();
        if faults.drop_before_start {
            return Err(Dropped);
        }
        if faults.refuse || faults.leaving {
            return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, "full"));
        }
        let Some(stop) = self.enter(&start.task) else {
            return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, "full"));
        };
        let running = Running { tasks: &self.tasks, task: &start.task };
        let res = self.work(&start, &faults, stop).await;
        drop(running);
        sleep(Duration::from_millis(faults.delay_answer_ms)).await;
        res
    }

    async fn work(
        &self,
        start: &StartRequest,
        faults: &WorkerFaults,
        stop: oneshot::Receiver<()>,
    ) -> Result<StandResponse, Dropped> {
        if faults.drop_after_start {
            return Err(Dropped);
        }
        if faults.fail_all {
            return Ok(fail("broken worker"));
        }
        if faults.stall {
            return pending().await;
        }
        let work = Duration::from_millis(work_ms(&start.payload)).mul_f64(self.slowness);
        let work = async {
            tokio::select! {
                () = sleep(work) => true,
                _ = stop => false,
            }
        };
        match timeout(Duration::from_millis(start.lease_ms), work).await {
            Err(_) => Ok(fail("lease over")),
            Ok(false) => Ok(fail("stopped")),
            Ok(true) if faults.garble => Ok(bare(StatusCode::OK)),
            Ok(true) => {
                let output = format!("done {}", start.payload);
                Ok(reply(StatusCode::OK, &StartReply { output }))
            }
        }
    }

    fn stop(&self, req: &StandRequest) -> StandResponse {
        let Ok(stop) = serde_json::from_slice::<StopRequest>(&req.body) else {
            return bare(StatusCode::BAD_REQUEST);
        };
        let mut tasks = self.tasks.lock();
        let mut stopped = 0;
        for task in &stop.tasks {
            let running = tasks.running.swap_remove(task);
            stopped += u32::from(running.is_some_and(|tx| tx.send(()).is_ok()));
        }
        reply(StatusCode::OK, &StopReply { stopped })
    }
}

fn refuse(status: StatusCode, error: &str) -> StandResponse {
    let mut res = reply(status, &FailReply { error: error.to_owned() });
    let name = HeaderName::from_static(STARTED_HEADER);
    res.headers_mut().insert(name, HeaderValue::from_static("no"));
    res
}

fn fail(error: &str) -> StandResponse {
    reply(StatusCode::INTERNAL_SERVER_ERROR, &FailReply { error: error.to_owned() })
}

impl Stand for WorkerStand {
    async fn answer(&self, req: StandRequest) -> Result<StandResponse, Dropped> {
        let mut res = match (&req.method, req.path.as_str()) {
            (&Method::POST, START_PATH) => self.start(req).await?,
            (&Method::POST, STOP_PATH) => self.stop(&req),
            (&Method::GET, STARTS_PATH) => reply(StatusCode::OK, &self.starts()),
            (&Method::PUT, FAULTS_PATH) => match serde_json::from_slice(&req.body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    bare(StatusCode::OK)
                }
                Err(_) => bare(StatusCode::BAD_REQUEST),
            },
            _ => bare(StatusCode::NOT_FOUND),
        };
        if self.faults.lock().leaving {
            let name = HeaderName::from_static(LEAVING_HEADER);
            res.headers_mut().insert(name, HeaderValue::from_static("yes"));
        }
        Ok(res)
    }
}
