//! Jobs that run on leased targets: submissions, whose ids the callers choose, and outcomes.

use super::{
    fleet_config::{Label, QueueName},
    resources::{ByteSize, MilliCores, Resources},
    time::Moment,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Write},
    str::FromStr,
    sync::Arc,
    time::Duration,
};

/// Number of hexadecimal digits of a [`CallerJobId`].
const JOB_ID_DIGITS: usize = 16;

/// A job id chosen by its caller: 16 hexadecimal digits, in the case that the caller chose. Ids that differ
/// only in case name different jobs.
///
/// ```
/// use cranberrytray::state::job_submission::CallerJobId;
///
/// let id: CallerJobId = "5c0e7a21d94b36f8".parse().unwrap();
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// let other: CallerJobId = "5C0e7a21d94b36F8".parse().unwrap();
/// assert_eq!(other.to_string(), "5C0e7a21d94b36F8");
/// assert_ne!(id, other);
/// ```
///
/// # Errors
///
/// Parsing fails with a [`CallerJobIdError`] unless there are 16 hexadecimal digits and nothing else.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallerJobId {
    number: u64,
    /// Has a bit set for each digit that is a capital letter; the lowest bit is that of the last digit.
    capitals: u16,
}

/// Error from parsing a [`CallerJobId`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a job id has {JOB_ID_DIGITS} hexadecimal digits")]
pub struct CallerJobIdError;

impl CallerJobId {
    /// The id with the value `number`, without capital letters.
    pub const fn new(number: u64) -> Self {
        CallerJobId { number, capitals: 0 }
    }

    /// The id with the value `number` in which the digits in `capitals` are capital letters; bits of digits
    /// that are no letters have no effect. The lowest bit stands for the last digit.
    pub fn with_capitals(number: u64, capitals: u16) -> Self {
        let is_letter = |digit: &usize| number >> (4 * digit) & 0xf >= 0xa;
        let letters = (0..JOB_ID_DIGITS).filter(is_letter).fold(0, |bits, digit| bits | 1 << digit);
        CallerJobId { number, capitals: capitals & letters }
    }

    /// Value of the id, which it shares with those that differ only in case.
    pub fn number(self) -> u64 {
        self.number
    }

    /// The digits that are capital letters, as in [`CallerJobId::with_capitals`].
    pub fn capitals(self) -> u16 {
        self.capitals
    }
}

impl fmt::Display for CallerJobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, digit) in format!("{:016x}", self.number).char_indices() {
            let is_capital = self.capitals >> (JOB_ID_DIGITS - 1 - n) & 1 == 1;
            f.write_char(if is_capital { digit.to_ascii_uppercase() } else { digit })?;
        }
        Ok(())
    }
}

impl fmt::Debug for CallerJobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for CallerJobId {
    type Err = CallerJobIdError;

    fn from_str(s: &str) -> Result<Self, CallerJobIdError> {
        // The parser of numbers also accepts a sign.
        if s.len() != JOB_ID_DIGITS || !s.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(CallerJobIdError);
        }
        let number = u64::from_str_radix(s, 16).map_err(|_| CallerJobIdError)?;
        let capitals = s.bytes().fold(0, |bits, b| bits << 1 | u16::from(b.is_ascii_uppercase()));
        Ok(CallerJobId { number, capitals })
    }
}

impl TryFrom<String> for CallerJobId {
    type Error = CallerJobIdError;

    fn try_from(s: String) -> Result<Self, CallerJobIdError> {
        s.parse()
    }
}

impl From<CallerJobId> for String {
    fn from(id: CallerJobId) -> String {
        id.to_string()
    }
}

/// Id of a task, which consists of its job and its place in the job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{job}/{step}/{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: CallerJobId,
    /// Index of the task's step in the job, from 0.
    pub step: u32,
    /// Index of the task in the step, from 0.
    pub index: u32,
}

/// Number of a run among those of its task. A retry has a higher number than earlier runs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u64);

/// A step of a job: a number of tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks of the step.
    pub count: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Run time of a task that the caller expects; `None` if not declared.
    pub declared: Option<Duration>,
    /// Indices of earlier steps that must have completed before this one begins.
    pub after: Vec<u32>,
    /// Label that a target must have to run the tasks.
    pub required: Option<Label>,
    /// Label of the rack that holds the tasks' data; on other racks they take longer.
    pub near: Option<Label>,
    /// Whether the tasks take longer if they are spread over several racks.
    pub same_rack: bool,
    /// Limit on the tasks of the step that run on one target at the same time.
    pub most_per_target: Option<u32>,
}

/// Why the steps of a job can't be run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum StepError {
    /// A step is to come after one that is not an earlier step of the job.
    #[display("step {step} comes after step {after}, which is not an earlier step of the job")]
    NotEarlier {
        /// Index of the step.
        step: usize,
        /// Index of the step that it is to come after.
        after: u32,
    },
}

/// Checks that each step comes only after earlier steps.
///
/// # Errors
///
/// Fails with a [`StepError`] that names the first step for which this is not so.
pub fn validate_steps(steps: &[Step]) -> Result<(), StepError> {
    for (step, after) in steps.iter().enumerate() {
        if let Some(&after) = after.after.iter().find(|&&after| after as usize >= step) {
            return Err(StepError::NotEarlier { step, after });
        }
    }
    Ok(())
}

/// Returns for each step the run time of the longest chain of steps that begins with it, where
/// `run_time` returns the run time of a task of a step. Steps without tasks take no time.
///
/// ```
/// use cranberrytray::state::job_submission::{Step, chain_durations};
/// use std::time::Duration;
///
/// let step = |count, after| Step { count, after, ..Step::default() };
/// let steps = [step(1, vec![]), step(4, vec![0]), step(1, vec![0, 1])];
/// let second = Duration::from_secs(1);
/// assert_eq!(chain_durations(&steps, |_| second), [second * 3, second * 2, second]);
/// ```
pub fn chain_durations<F>(steps: &[Step], run_time: F) -> Vec<Duration>
where
    F: Fn(&Step) -> Duration,
{
    // Holds the longest chain after each step until the step itself is added.
    let mut chains = vec![Duration::ZERO; steps.len()];
    for (n, step) in steps.iter().enumerate().rev() {
        if step.count > 0 {
            chains[n] += run_time(step);
        }
        let chain = chains[n];
        for &earlier in step.after.iter().filter(|&&earlier| (earlier as usize) < n) {
            let after_earlier = &mut chains[earlier as usize];
            *after_earlier = chain.max(*after_earlier);
        }
    }
    chains
}

/// Longest time to the deadline of a job; callers that wait longer get an answer after it. Tasks are
/// short, and a successor has to reckon with runs that its predecessor started so long ago.
pub const MAX_TIME_TO_DEADLINE: Duration = Duration::from_secs(60);

/// Memory that a dispatcher uses for the state of a task that is not done, in bytes.
const TASK_BYTES: u64 = 256;
/// Memory that a text of its own takes in addition to its characters, in bytes.
const TEXT_BYTES: u64 = 32;

/// A job as submitted by its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Job id chosen by the caller; a resubmission has the same id.
    pub id: CallerJobId,
    /// Queue that the job was routed to.
    pub queue: QueueName,
    /// Specification of the job, passed to the targets unchanged.
    pub spec: Arc<str>,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Time left until the caller's deadline, at the time of sending or receiving this submission.
    pub time_to_deadline: Duration,
}

impl JobSubmission {
    /// When the caller of a submission that arrived at `arrived_at` stops waiting, or
    /// [`MAX_TIME_TO_DEADLINE`] after its arrival if that is earlier.
    pub fn deadline(&self, arrived_at: Moment) -> Moment {
        arrived_at + self.time_to_deadline.min(MAX_TIME_TO_DEADLINE)
    }

    /// Memory that the job takes until it ends, without the state of its tasks.
    pub fn memory(&self) -> ByteSize {
        let text = |label: &Option<Label>| {
            label.as_ref().map_or(0, |label| label.0.len() as u64 + TEXT_BYTES)
        };
        let step = |step: &Step| {
            let numbers = size_of_val(step.after.as_slice()) as u64;
            size_of::<Step>() as u64 + numbers + text(&step.required) + text(&step.near)
        };
        let steps: u64 = self.steps.iter().map(step).sum();
        ByteSize(size_of::<Self>() as u64 + self.spec.len() as u64 + TEXT_BYTES + steps)
    }

    /// Memory that the job takes at a dispatcher, with the state of all its tasks.
    pub fn dispatch_memory(&self) -> ByteSize {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        self.memory() + ByteSize(tasks.saturating_mul(TASK_BYTES))
    }

    /// CPU that all tasks take together, or the largest amount if it is more.
    pub fn total_cpu(&self) -> MilliCores {
        let cpu = |step: &Step| step.needs.cpu.0.saturating_mul(step.count.into());
        MilliCores(self.steps.iter().map(cpu).fold(0, u64::saturating_add))
    }
}

/// Reason why a job was refused and not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The job would miss its latency objective or its deadline.
    #[display("it would be done too late")]
    TooLate,
    /// The limit on queued jobs is reached.
    #[display("the queue is full")]
    QueueFull,
    /// No known target meets the requirements of the tasks.
    #[display("no target can run its tasks")]
    NoTarget,
    /// No dispatcher of the zone can be reached.
    #[display("no dispatcher can be reached")]
    NoDispatcher,
    /// The dispatcher accepts no jobs: it is starting, stopping or handing its zone over.
    #[display("the dispatcher does not take jobs")]
    Closed,
    /// The active configuration does not contain the queue.
    #[display("no such queue")]
    NoQueue,
    /// Jobs with this structure of steps are not supported.
    #[display("jobs of this shape are not served")]
    Shape,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task succeeded.
    Completed,
    /// A task has failed as many times as its queue allows, or crashes its targets.
    Failed,
    /// No task was started, and none will be.
    NotRun {
        /// Reason of the refusal.
        refusal: Refusal,
        /// Time after which the caller may submit the job again.
        retry_after: Duration,
    },
    /// Tasks may have run, but it is not known whether all of them succeeded.
    Unknown,
}
