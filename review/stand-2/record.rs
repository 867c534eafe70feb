//! What was sent, answered and run, with the time since the start; written to a file as it comes.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// A run that a worker has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Duration,
    pub worker: String,
    pub task: String,
}

/// A run that has ended.
#[derive(Clone, Debug)]
pub struct End {
    pub at: Duration,
    pub worker: String,
    pub task: String,
}

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    pub starts: Mutex<Vec<Start>>,
    pub ends: Mutex<Vec<End>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            begun: Instant::now(),
            file: Mutex::new(File::create(path)?),
            starts: Mutex::default(),
            ends: Mutex::default(),
        })
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn started(&self, worker: &str, task: &str, number: i64, spec: &str) {
        self.line(&format!("{worker} begins {task}, run {number}, spec {spec}"));
        let (worker, task) = (worker.to_owned(), task.to_owned());
        self.starts.lock().unwrap().push(Start { at: self.now(), worker, task });
    }

    pub fn ended(&self, worker: &str, task: &str, number: i64, how: &'static str) {
        self.line(&format!("{worker} ends {task}, run {number}: {how}"));
        let (worker, task) = (worker.to_owned(), task.to_owned());
        self.ends.lock().unwrap().push(End { at: self.now(), worker, task });
    }

    pub fn stop_asked(&self, worker: &str, task: &str, number: i64) {
        self.line(&format!("{worker} is told to stop {task}, run {number}"));
    }
}
