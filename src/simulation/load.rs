//! Open-loop load: jobs drawn in advance from a seed, so that every policy meets the same ones.

use crate::state::{
    id::{IdError, TeamName},
    job::{JobSpec, TaskSpec},
    time::Moment,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// When the first job comes: the entry VMs know each other by then.
const FIRST_ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// One job to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its caller sends it.
    pub at: Moment,
    /// The entry VM that it is sent to, by place.
    pub vm: usize,
    /// The job; a task's payload is its task_seconds.
    pub spec: JobSpec,
    /// Seconds of task_seconds of each task on the fastest worker.
    pub task_seconds: Vec<f64>,
    /// The caller cancels it after this time.
    pub cancel_after: Option<Duration>,
}

/// How jobs are drawn.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Seconds of task_seconds that arrive each second.
    pub work_per_s: f64,
    /// For how long.
    pub span: Duration,
    /// Relative shares of the callers' traffic by entry VM.
    pub vm_shares: Vec<f64>,
    /// The teams, with their shares of the jobs.
    pub teams: Vec<(TeamName, f64)>,
    /// Deadline of a job as a multiple of its ideal time, at least `min_deadline_ms`.
    pub deadline_factor: f64,
    /// Shortest deadline, in milliseconds.
    pub min_deadline_ms: u64,
    /// Declared times are off by up to this factor, either way.
    pub declared_error: f64,
    /// A stretch of time with a multiple of the load.
    pub burst: Option<Burst>,
    /// A moment at which a share of the jobs of the last second is cancelled.
    pub cancel_wave: Option<(Moment, f64)>,
    /// Most tasks in a job.
    pub max_tasks: usize,
}

/// A burst.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When it starts.
    pub from: Moment,
    /// How long it lasts.
    pub span: Duration,
    /// How much more arrives.
    pub factor: f64,
    /// The team whose jobs they are, by place; none means all teams in their shares.
    pub team: Option<usize>,
}

impl LoadProfile {
    /// A steady load of `work_per_s` seconds of task_seconds a second, from one team through `vms` entry
    /// VMs.
    ///
    /// # Errors
    ///
    /// An [`IdError`] if the team's name is malformed.
    pub fn steady(work_per_s: f64, span: Duration, vms: usize) -> Result<Self, IdError> {
        Ok(LoadProfile {
            work_per_s,
            span,
            vm_shares: vec![1.0; vms],
            teams: vec![("drafting".parse()?, 1.0)],
            deadline_factor: 10.0,
            min_deadline_ms: 5_000,
            declared_error: 1.0,
            burst: None,
            cancel_wave: None,
            max_tasks: 150,
        })
    }

    /// Sets a burst.
    pub fn burst(mut self, burst: Burst) -> Self {
        self.burst = Some(burst);
        self
    }

    /// Sets the teams.
    pub fn teams(mut self, teams: Vec<(TeamName, f64)>) -> Self {
        self.teams = teams;
        self
    }

    /// Draws the jobs.
    ///
    /// # Errors
    ///
    /// An [`IdError`] if a job type's name is malformed.
    pub fn generate(&self, seed: u64) -> Result<Vec<Arrival>, IdError> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mean = mean_job_seconds(self.max_tasks);
        let mut arrivals = Vec::new();
        let mut at = FIRST_ARRIVAL_TIME.as_secs_f64();
        while at < self.span.as_secs_f64() {
            let now = Moment::new(Duration::from_secs_f64(at));
            let (factor, team) = self.load_at(now, &mut rng);
            arrivals.push(self.generate_job(now, team, &mut rng)?);
            let rate = self.work_per_s * factor / mean;
            at += -rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
        }
        Ok(arrivals)
    }

    fn load_at(&self, now: Moment, rng: &mut SmallRng) -> (f64, usize) {
        let drawn = pick_weighted(self.teams.iter().map(|(_, share)| *share), rng);
        match self.burst {
            Some(burst) if now >= burst.from && now < burst.from + burst.span => {
                let extra = rng.random_bool(1.0 - 1.0 / burst.factor);
                let team = burst.team.filter(|_| extra).unwrap_or(drawn);
                (burst.factor, team)
            }
            _ => (1.0, drawn),
        }
    }

    fn generate_job(
        &self,
        at: Moment,
        team: usize,
        rng: &mut SmallRng,
    ) -> Result<Arrival, IdError> {
        let tasks = random_task_count(self.max_tasks, rng);
        let kind = rng.random_range(0..3);
        let task_seconds: Vec<f64> = (0..tasks).map(|_| random_task_seconds(kind, rng)).collect();
        let longest = task_seconds.iter().copied().fold(0.0, f64::max);
        let job_type = ["sort", "check", "summary"][kind].parse()?;
        let mut spec = JobSpec::new(self.teams[team].0.clone(), job_type);
        for seconds in &task_seconds {
            let error = self.declared_error.powf(rng.random_range(-1.0..=1.0));
            let declared = (seconds * error * 1_000.0).max(1.0) as u64;
            spec = spec.task(TaskSpec::new("").declared_ms(declared));
        }
        let deadline = (longest * self.deadline_factor * 1_000.0) as u64;
        spec = spec.deadline_ms(deadline.max(self.min_deadline_ms));
        let cancel_after = self.cancel_wave.and_then(|(when, share)| {
            let recent = at < when && when - at < Duration::from_secs(1);
            (recent && rng.random_bool(share)).then(|| when - at)
        });
        let vm = pick_weighted(self.vm_shares.iter().copied(), rng);
        Ok(Arrival { at, vm, spec, task_seconds, cancel_after })
    }
}

fn pick_weighted<I>(shares: I, rng: &mut SmallRng) -> usize
where
    I: Iterator<Item = f64> + Clone,
{
    let mut left = rng.random_range(0.0..1.0) * shares.clone().sum::<f64>();
    for (i, share) in shares.clone().enumerate() {
        left -= share;
        if left < 0.0 {
            return i;
        }
    }
    shares.count() - 1
}

/// Half of the jobs have one task, four in ten have a few, one in ten has up to `max`.
fn random_task_count(max: usize, rng: &mut SmallRng) -> usize {
    match rng.random_range(0..10) {
        0..5 => 1,
        5..9 => rng.random_range(2..=10.min(max)),
        _ => rng.random_range(2.min(max)..=max),
    }
}

/// Most tasks take 50 ms to a second, a few take several seconds; kinds differ in their means.
fn random_task_seconds(kind: usize, rng: &mut SmallRng) -> f64 {
    if rng.random_bool(LONG_TASK_SHARE) {
        return rng.random_range(LONG_TASK_SECONDS.0..LONG_TASK_SECONDS.1);
    }
    let (low, high) = TASK_SECONDS_BY_TYPE[kind];
    rng.random_range(low..high)
}

/// Share of tasks that take several seconds.
const LONG_TASK_SHARE: f64 = 0.01;
/// How long those take, in seconds.
const LONG_TASK_SECONDS: (f64, f64) = (2.0, 5.0);
/// Run times of the kinds of job, in seconds.
const TASK_SECONDS_BY_TYPE: [(f64, f64); 3] = [(0.05, 0.15), (0.1, 0.5), (0.4, 1.0)];

fn mean_job_seconds(max: usize) -> f64 {
    let middle = |(low, high): (f64, f64)| (low + high) / 2.0;
    let short: f64 = TASK_SECONDS_BY_TYPE.into_iter().map(middle).sum::<f64>()
        / TASK_SECONDS_BY_TYPE.len() as f64;
    let task = LONG_TASK_SHARE * middle(LONG_TASK_SECONDS) + (1.0 - LONG_TASK_SHARE) * short;
    let few = (2.0 + 10.min(max) as f64) / 2.0;
    let many = (2.min(max) as f64 + max as f64) / 2.0;
    task * (0.5 + 0.4 * few + 0.1 * many)
}
