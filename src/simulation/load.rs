//! Open-loop load: the jobs are generated in advance from a seed, so that every policy gets the
//! same ones.

use crate::state::{
    id::{IdError, TeamName},
    job::{JobSpec, TaskSpec},
    time::Moment,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Arrival time of the first job. The entry VMs have exchanged heartbeats by then.
const FIRST_ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// A job that a caller will submit.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the submission.
    pub at: Moment,
    /// Index of the entry VM that the caller submits it to.
    pub vm: usize,
    /// Specification of the job; its tasks have no payload.
    pub spec: JobSpec,
    /// Run time of each task on the fastest worker, in seconds.
    pub task_seconds: Vec<f64>,
    /// Time from the submission until the caller cancels the job, if it does.
    pub cancel_after: Option<Duration>,
}

/// Parameters from which jobs are generated.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Run time of the tasks that arrive each second, in seconds on the fastest worker.
    pub work_per_s: f64,
    /// Time until which jobs arrive.
    pub span: Duration,
    /// Relative share of the jobs that each entry VM receives.
    pub vm_shares: Vec<f64>,
    /// Teams and their relative shares of the jobs.
    pub teams: Vec<(TeamName, f64)>,
    /// Deadline of a job as a multiple of the run time of its longest task, but at least
    /// `min_deadline_ms`.
    pub deadline_factor: f64,
    /// Shortest deadline, in milliseconds.
    pub min_deadline_ms: u64,
    /// Factor by which declared run times are too long or too short at most; 1.0 for exact ones.
    pub declared_error: f64,
    /// Period of higher load.
    pub burst: Option<Burst>,
    /// Time at which this share of the jobs of the last second is cancelled.
    pub cancel_wave: Option<(Moment, f64)>,
    /// Largest number of tasks in a job.
    pub max_tasks: usize,
}

/// A period of higher load.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start of the period.
    pub from: Moment,
    /// Length of the period.
    pub span: Duration,
    /// Load during the period as a multiple of the usual load.
    pub factor: f64,
    /// Index of the team that submits the additional jobs. If unset, all teams submit them by their
    /// shares.
    pub team: Option<usize>,
}

impl LoadProfile {
    /// Returns a steady load from one team, spread evenly over `vms` entry VMs. The other
    /// parameters are the fields of the same names.
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

    /// Sets the period of higher load.
    pub fn burst(mut self, burst: Burst) -> Self {
        self.burst = Some(burst);
        self
    }

    /// Sets the teams and their relative shares of the jobs.
    pub fn teams(mut self, teams: Vec<(TeamName, f64)>) -> Self {
        self.teams = teams;
        self
    }

    /// Generates the jobs, in order of their arrival. Times between arrivals are exponentially
    /// distributed.
    ///
    /// # Errors
    ///
    /// An [`IdError`] if a job type's name is malformed.
    pub fn generate(&self, seed: u64) -> Result<Vec<Arrival>, IdError> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mean_seconds = mean_job_seconds(self.max_tasks);
        let mut arrivals = Vec::new();
        let mut at_seconds = FIRST_ARRIVAL_TIME.as_secs_f64();
        while at_seconds < self.span.as_secs_f64() {
            let now = Moment::new(Duration::from_secs_f64(at_seconds));
            let (factor, team) = self.load_at(now, &mut rng);
            arrivals.push(self.generate_job(now, team, &mut rng)?);
            let rate = self.work_per_s * factor / mean_seconds;
            at_seconds += -rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
        }
        Ok(arrivals)
    }

    /// Returns the load factor at a time, and the team of a job that arrives then.
    fn load_at(&self, now: Moment, rng: &mut SmallRng) -> (f64, usize) {
        let usual_team = pick_weighted(self.teams.iter().map(|(_, share)| *share), rng);
        match self.burst {
            Some(burst) if now >= burst.from && now < burst.from + burst.span => {
                let is_additional = rng.random_bool(1.0 - 1.0 / burst.factor);
                let team = burst.team.filter(|_| is_additional).unwrap_or(usual_team);
                (burst.factor, team)
            }
            _ => (1.0, usual_team),
        }
    }

    /// Generates a job of a team that arrives at `at`.
    fn generate_job(
        &self,
        at: Moment,
        team: usize,
        rng: &mut SmallRng,
    ) -> Result<Arrival, IdError> {
        let tasks = random_task_count(self.max_tasks, rng);
        let type_index = rng.random_range(0..3);
        let task_seconds: Vec<f64> =
            (0..tasks).map(|_| random_task_seconds(type_index, rng)).collect();
        let longest_seconds = task_seconds.iter().copied().fold(0.0, f64::max);
        let job_type = ["sort", "check", "summary"][type_index].parse()?;
        let mut spec = JobSpec::new(self.teams[team].0.clone(), job_type);
        for seconds in &task_seconds {
            let error_factor = self.declared_error.powf(rng.random_range(-1.0..=1.0));
            let declared_ms = (seconds * error_factor * 1_000.0).max(1.0) as u64;
            spec = spec.task(TaskSpec::new("").declared_ms(declared_ms));
        }
        let deadline_ms = (longest_seconds * self.deadline_factor * 1_000.0) as u64;
        spec = spec.deadline_ms(deadline_ms.max(self.min_deadline_ms));
        let cancel_after = self.cancel_wave.and_then(|(cancel_at, share)| {
            let is_recent = at < cancel_at && cancel_at - at < Duration::from_secs(1);
            (is_recent && rng.random_bool(share)).then(|| cancel_at - at)
        });
        let vm = pick_weighted(self.vm_shares.iter().copied(), rng);
        Ok(Arrival { at, vm, spec, task_seconds, cancel_after })
    }
}

/// Returns a random index, with probabilities in proportion to the shares.
fn pick_weighted<I>(shares: I, rng: &mut SmallRng) -> usize
where
    I: Iterator<Item = f64> + Clone,
{
    let mut remaining = rng.random_range(0.0..1.0) * shares.clone().sum::<f64>();
    for (i, share) in shares.clone().enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return i;
        }
    }
    shares.count() - 1
}

/// Returns a random number of tasks: one for half of the jobs, up to ten for four in ten jobs, up
/// to `max` for the others.
fn random_task_count(max: usize, rng: &mut SmallRng) -> usize {
    match rng.random_range(0..10) {
        0..5 => 1,
        5..9 => rng.random_range(2..=10.min(max)),
        _ => rng.random_range(2.min(max)..=max),
    }
}

/// Returns the random run time of a task of a job type, in seconds. Most tasks take 50 ms to a
/// second, a few take several seconds.
fn random_task_seconds(type_index: usize, rng: &mut SmallRng) -> f64 {
    if rng.random_bool(LONG_TASK_SHARE) {
        return rng.random_range(LONG_TASK_SECONDS.0..LONG_TASK_SECONDS.1);
    }
    let (low, high) = TASK_SECONDS_BY_TYPE[type_index];
    rng.random_range(low..high)
}

/// Share of tasks that take several seconds.
const LONG_TASK_SHARE: f64 = 0.01;
/// Range of the run times of these tasks, in seconds.
const LONG_TASK_SECONDS: (f64, f64) = (2.0, 5.0);
/// Range of the run times of the other tasks, in seconds, by job type.
const TASK_SECONDS_BY_TYPE: [(f64, f64); 3] = [(0.05, 0.15), (0.1, 0.5), (0.4, 1.0)];

/// Returns the mean of the total run time of a job's tasks, in seconds.
fn mean_job_seconds(max: usize) -> f64 {
    let middle = |(low, high): (f64, f64)| (low + high) / 2.0;
    let short_task_mean: f64 = TASK_SECONDS_BY_TYPE.into_iter().map(middle).sum::<f64>()
        / TASK_SECONDS_BY_TYPE.len() as f64;
    let task_mean =
        LONG_TASK_SHARE * middle(LONG_TASK_SECONDS) + (1.0 - LONG_TASK_SHARE) * short_task_mean;
    let mean_few = (2.0 + 10.min(max) as f64) / 2.0;
    let mean_many = (2.min(max) as f64 + max as f64) / 2.0;
    task_mean * (0.5 + 0.4 * mean_few + 0.1 * mean_many)
}
