//! What was sent, answered and run, with the time since the start.

use std::{
    fmt::Display,
    io,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct RunSpan {
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// Client that the spec of the order names.
    pub spec_of: String,
    pub begin: Duration,
    /// `None` while it runs.
    pub end: Option<Duration>,
    pub how: &'static str,
}

/// The record of a case, which all stand-ins share.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    runs: Arc<Mutex<Vec<RunSpan>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { start: Instant::now(), lines: Arc::default(), runs: Arc::default() }
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: impl Display) {
        let at = self.now().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} s  {text}"));
    }

    /// Records that a run has begun.
    pub fn begin(&self, worker: &str, task: &str, run: u64, spec_of: &str) {
        let span = RunSpan {
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            spec_of: spec_of.to_owned(),
            begin: self.now(),
            end: None,
            how: "",
        };
        self.runs.lock().unwrap().push(span);
        self.note(format!(
            "worker {worker}: run {run} of {task} begins, with the spec of {spec_of}"
        ));
    }

    /// Records that a run has ended.
    pub fn end(&self, worker: &str, task: &str, run: u64, how: &'static str) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let is_this = |r: &&mut RunSpan| {
            r.worker == worker && r.task == task && r.run == run && r.end.is_none()
        };
        if let Some(span) = runs.iter_mut().rev().find(is_this) {
            (span.end, span.how) = (Some(now), how);
        }
        drop(runs);
        self.note(format!("worker {worker}: run {run} of {task} ends: {how}"));
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<RunSpan> {
        self.runs.lock().unwrap().clone()
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        std::fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}
