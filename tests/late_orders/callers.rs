//! Callers, which submit a job again when they get no answer, and the entry VMs between them and
//! the dispatchers.

use crate::{
    mix::{Mix, exponential, log_uniform, ms},
    world::{Event, Input, World},
};
use cranberrytray::{
    coordination::dispatch::{SubmissionKey, submitters::SubmitterId},
    state::{
        fleet_config::QueueName,
        job_submission::{CallerJobId, JobSubmission, Outcome, Step},
        resources::{Mebibytes, MilliCores, Resources},
        time::Moment,
    },
};
use rand::{Rng, rngs::SmallRng};
use std::time::Duration;

/// Time for which the caller of a short job waits for the answer.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Time for which the caller of a long job waits for the answer.
const LONG_PATIENCE: Duration = Duration::from_secs(12);
/// Time after which a caller without an answer submits its job again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);
/// Time without an answer to a heartbeat after which an entry VM gives its dispatcher up.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of an entry VM's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
/// Time without a sign of life after which a dispatcher stops the jobs of an entry VM.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(650);
/// Time without a sign of life that isn't deducted from the time to the deadline.
const USUAL_UNPROVEN_TIME: Duration = Duration::from_millis(300);
/// An entry VM looks for another dispatcher if more than this is left until the caller's deadline.
const MIN_TIME_TO_RESUME: Duration = Duration::from_millis(300);
/// Time after which a job is submitted again that found no dispatcher.
const NO_DISPATCHER_RETRY: Duration = Duration::from_millis(700);
const MAX_ATTEMPTS: u32 = 3;

/// A caller's job.
#[derive(Clone, Debug)]
pub struct Job {
    id: CallerJobId,
    tasks: u32,
    duration: Duration,
    /// Time for which its caller waits for the answer.
    patience: Duration,
    zone: usize,
    attempts: u32,
    is_answered: bool,
}

/// A submission of a job to a dispatcher.
#[derive(Clone, Debug)]
pub struct Attempt {
    job: usize,
    dispatcher: usize,
    /// When the caller sent its request.
    begun: Moment,
    submitted_at: Moment,
    /// Whether an entry VM repeats an attempt after the loss of its dispatcher.
    resumed: bool,
    /// Whether the entry VM still waits for the answer.
    is_open: bool,
    /// Until when heartbeats that the dispatcher has received prove the entry VM alive.
    proven_at: Moment,
    /// Whether no heartbeats reach the dispatcher any more.
    is_silent: bool,
    /// When the dispatcher learns that nobody waits any more.
    cancelled_at: Option<Moment>,
}

impl Job {
    pub fn random(id: u64, mix: Mix, rng: &mut SmallRng) -> Self {
        let is_long = mix.long_jobs > 0.0 && rng.random_bool(mix.long_jobs);
        let (longest, patience) =
            if is_long { (ms(8_000), LONG_PATIENCE) } else { (ms(1_200), PATIENCE) };
        Job {
            id: CallerJobId::new(id),
            tasks: rng.random_range(1..=4),
            duration: log_uniform(rng, ms(60), longest),
            patience,
            zone: rng.random_range(0..mix.zones),
            attempts: 0,
            is_answered: false,
        }
    }

    fn submission(&self, time_to_deadline: Duration) -> JobSubmission {
        let step = Step {
            count: self.tasks,
            needs: Resources {
                cpu: MilliCores(10_000),
                memory: Mebibytes(64),
                ..Resources::default()
            },
            declared: Some(self.duration),
            after: Vec::new(),
            required: None,
            near: None,
            same_rack: false,
            most_per_target: None,
        };
        JobSubmission {
            id: self.id,
            queue: QueueName::from("queue"),
            spec: format!("{}", self.duration.as_millis()).into(),
            steps: vec![step],
            time_to_deadline,
        }
    }
}

impl World {
    /// Submits a job, for the first time or again; an entry VM repeats an attempt begun at
    /// `resumed_from` with the time that is left.
    pub fn submit(&mut self, job: usize, resumed_from: Option<Moment>) {
        let now = self.now;
        if self.jobs[job].is_answered || self.jobs[job].attempts >= MAX_ATTEMPTS {
            return;
        }
        if resumed_from.is_none() {
            if self.jobs[job].attempts > 0 {
                self.jobs[job].zone = self.rng.random_range(0..self.mix.zones);
            }
            self.jobs[job].attempts += 1;
        }
        let dispatcher = self.dispatchers[self.jobs[job].zone];
        let process = &self.processes[dispatcher];
        let is_missing =
            process.paused_until > now && now - process.paused_at > HEARTBEAT_TIMEOUT.mul_f64(1.2);
        if is_missing {
            self.note(|| format!("job {job} finds no dispatcher"));
            let delay = if resumed_from.is_some() { RESUBMIT_DELAY } else { NO_DISPATCHER_RETRY };
            return self.push_in(delay, Event::Submit(job));
        }
        let number = self.attempts.len();
        let begun = resumed_from.unwrap_or(now);
        self.note(|| format!("job {job} is submitted to d{dispatcher} as attempt {number}"));
        self.attempts.push(Attempt {
            job,
            dispatcher,
            begun,
            submitted_at: now,
            resumed: resumed_from.is_some(),
            is_open: true,
            proven_at: now - HEARTBEAT_INTERVAL.mul_f64(self.rng.random_range(0.0..2.0)),
            is_silent: false,
            cancelled_at: None,
        });
        if resumed_from.is_none() {
            self.push(begun + self.jobs[job].patience, Event::Broken(number));
        }
        let echo = self.attempts[number].proven_at;
        self.push_in(HEARTBEAT_INTERVAL, Event::Heartbeat(number, echo));
        let mut delay = exponential(&mut self.rng, Duration::from_micros(500));
        if self.rng.random_bool(self.mix.late_submissions) {
            delay = log_uniform(&mut self.rng, ms(50), ms(4_000));
            if delay > HEARTBEAT_TIMEOUT {
                self.lose_connection(number, HEARTBEAT_TIMEOUT);
            }
        }
        let process = &self.processes[dispatcher];
        if process.paused_until > now + HEARTBEAT_TIMEOUT {
            self.attempts[number].proven_at = process.paused_at;
            self.lose_connection(number, HEARTBEAT_TIMEOUT);
        }
        self.push_in(delay, Event::Process(dispatcher, Input::Submission(number)));
        if self.rng.random_bool(self.mix.broken_attempts) {
            let at = now + self.jobs[job].patience.mul_f64(self.rng.random_range(0.0..0.9));
            self.push(at, Event::Broken(number));
        }
    }

    /// The dispatcher reads a submission.
    pub fn read_submission(&mut self, dispatcher: usize, number: usize) {
        let now = self.now;
        let Attempt { job, begun, submitted_at, resumed, proven_at, cancelled_at, .. } =
            self.attempts[number];
        let unproven_for = now - proven_at;
        if unproven_for >= UNRESPONSIVE_TIMEOUT {
            return self.note(|| format!("d{dispatcher} refuses attempt {number}"));
        }
        self.note(|| format!("d{dispatcher} reads attempt {number}"));
        let left = self.jobs[job].patience.saturating_sub(submitted_at - begun);
        let left = left.saturating_sub(unproven_for.saturating_sub(USUAL_UNPROVEN_TIME));
        let submission = self.jobs[job].submission(left);
        let process = &mut self.processes[dispatcher];
        let submitter = SubmitterId(number as u64);
        let core = &mut process.core;
        let key = core.submit_for(submitter, proven_at, submission, !resumed, resumed, now);
        process.attempts.insert(key, number);
        self.take_actions(dispatcher);
        if let Some(at) = cancelled_at {
            self.push(at.max(now), Event::Process(dispatcher, Input::Cancel(number)));
        }
    }

    /// An entry VM sends a heartbeat that echoes the time at which the last one was received.
    pub fn send_heartbeat(&mut self, number: usize, echo: Moment) {
        let Attempt { dispatcher, is_open, is_silent, .. } = self.attempts[number];
        if is_open && !is_silent {
            let delay = exponential(&mut self.rng, Duration::from_micros(500));
            self.push_in(delay, Event::Process(dispatcher, Input::Heartbeat(number, echo)));
        }
    }

    pub fn on_heartbeat(&mut self, dispatcher: usize, number: usize, echo: Moment) {
        let proven_at = &mut self.attempts[number].proven_at;
        *proven_at = echo.max(*proven_at);
        let submitter = SubmitterId(number as u64);
        if self.processes[dispatcher].attempts.values().any(|n| *n == number) {
            self.drive(dispatcher, |core| core.set_submitter_alive(submitter, echo));
        }
        self.push_in(HEARTBEAT_INTERVAL, Event::Heartbeat(number, self.now));
    }

    /// Returns a submission's outcome to its caller, unless the answer is lost.
    pub fn answer(&mut self, dispatcher: usize, key: SubmissionKey, outcome: Outcome) {
        let Some(number) = self.processes[dispatcher].attempts.swap_remove(&key) else { return };
        self.note(|| format!("d{dispatcher} answers attempt {number}: {outcome:?}"));
        if self.rng.random_bool(self.mix.lost_replies) {
            return;
        }
        let delay = exponential(&mut self.rng, Duration::from_micros(500));
        self.push_in(delay, Event::Answered(number, outcome));
    }

    pub fn on_answered(&mut self, number: usize, outcome: Outcome) {
        let Attempt { job, resumed, .. } = self.attempts[number];
        if !std::mem::replace(&mut self.attempts[number].is_open, false) {
            return;
        }
        match outcome {
            Outcome::Completed | Outcome::Failed => {
                self.jobs[job].is_answered = true;
                self.completed += u64::from(outcome == Outcome::Completed);
            }
            // A repeated attempt may have run before, so its refusal is no refusal of the job.
            Outcome::NotRun { retry_after, .. } if !resumed => {
                self.push_in(retry_after, Event::Submit(job));
            }
            Outcome::NotRun { .. } | Outcome::Unknown => {
                self.push_in(RESUBMIT_DELAY, Event::Submit(job));
            }
        }
    }

    /// The caller's connection breaks, with its entry VM or because it has waited too long.
    pub fn on_broken(&mut self, number: usize) {
        let now = self.now;
        let Attempt { job, begun, .. } = self.attempts[number];
        let is_same = |a: &&mut Attempt| a.job == job && a.begun == begun && a.is_open;
        let mut was_open = false;
        for attempt in self.attempts.iter_mut().filter(is_same) {
            attempt.is_open = false;
            was_open = true;
        }
        if !was_open {
            return;
        }
        self.note(|| format!("attempt {number} of job {job} is broken"));
        self.push_in(RESUBMIT_DELAY, Event::Submit(job));
        let is_silent = self.rng.random_bool(self.mix.silent_breaks);
        for number in number..self.attempts.len() {
            if self.attempts[number].job != job || self.attempts[number].begun != begun {
                continue;
            }
            let delay = if is_silent {
                self.attempts[number].is_silent = true;
                // One more heartbeat may be on its way.
                let proven_at = self.attempts[number].proven_at + HEARTBEAT_INTERVAL;
                proven_at + UNRESPONSIVE_TIMEOUT - now
            } else {
                exponential(&mut self.rng, ms(1))
            };
            self.cancel(number, delay);
        }
    }

    /// Cancels an attempt at its dispatcher, which learns of it after `delay`.
    fn cancel(&mut self, number: usize, delay: Duration) {
        let at = self.now + delay;
        let Attempt { dispatcher, ref mut cancelled_at, .. } = self.attempts[number];
        cancelled_at.get_or_insert(at);
        self.push(at, Event::Process(dispatcher, Input::Cancel(number)));
    }

    /// Breaks the connections of all entry VMs to a dispatcher, which they notice after `delay`.
    pub fn lose_connections(&mut self, dispatcher: usize, delay: Duration) {
        for number in 0..self.attempts.len() {
            if self.attempts[number].dispatcher == dispatcher && self.attempts[number].is_open {
                self.lose_connection(number, delay);
            }
        }
    }

    fn lose_connection(&mut self, number: usize, delay: Duration) {
        self.attempts[number].is_silent = true;
        let delay = delay + delay.mul_f64(self.rng.random_range(0.0..0.2));
        self.cancel(number, delay + ms(1));
        self.push_in(delay, Event::Lost(number));
    }

    /// The entry VM of an attempt gives its dispatcher up, and looks for the next one if enough time
    /// is left.
    pub fn on_lost(&mut self, number: usize) {
        let Attempt { job, begun, .. } = self.attempts[number];
        if !std::mem::replace(&mut self.attempts[number].is_open, false) {
            return;
        }
        self.note(|| format!("attempt {number} of job {job} loses its dispatcher"));
        let search = ms(15) + exponential(&mut self.rng, ms(150));
        if self.now + search + MIN_TIME_TO_RESUME < begun + self.jobs[job].patience {
            self.push_in(search, Event::Resume(job, begun));
        } else {
            self.push_in(RESUBMIT_DELAY, Event::Submit(job));
        }
    }
}
