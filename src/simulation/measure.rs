//! Runs a scenario under a policy and measures response times in relation to the ideal ones, and
//! wasted messages.

use super::{
    engine::{CallerReply, Simulation, SimulationLayout},
    load::{Arrival, LoadProfile},
    worker::WorkerFault,
};
use crate::{
    coordination::configuration::TeamSettings,
    state::{
        id::{IdError, TeamName},
        job::Answer,
        message_counts::MessageCounts,
        policy::Policy,
        time::Moment,
    },
};
use hdrhistogram::Histogram;
use std::time::Duration;

/// Round-trip time from the caller through an entry VM to a worker and back, in seconds.
const ROUND_TRIP_SECONDS: f64 = 0.0025;
/// Jobs submitted before this time are not counted, since run times are not well estimated yet.
const WARM_UP: Duration = Duration::from_secs(8);
/// Time after the last submission or cancellation for which the simulation goes on.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Factor by which ratios are multiplied in histograms, which hold integers.
const RATIO_SCALE: f64 = 1_000.0;

/// A change of the workers during a scenario.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// The worker of this index fails every task at once from then on.
    FailFast(usize),
    /// The workers from the first index up to, but not including, the second one leave.
    Leave(usize, usize),
}

/// Workers, load and disturbances under which policies are compared.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name that the benchmark prints and that selects the scenario.
    pub name: &'static str,
    /// Zone index, slots and slowness of each worker.
    pub workers: Vec<(usize, u32, f64)>,
    /// Number of entry VMs, all of them in the first zone.
    pub vms: usize,
    /// Parameters of the jobs.
    pub load: LoadProfile,
    /// Teams in the configuration, with their weights and quotas.
    pub team_settings: Vec<(TeamName, TeamSettings)>,
    /// Disturbances and their times, the earliest first.
    pub disturbances: Vec<(Moment, Disturbance)>,
}

/// Returns the run time of tasks that the workers can execute each second, in seconds on the
/// fastest worker.
pub fn capacity(workers: &[(usize, u32, f64)]) -> f64 {
    workers.iter().map(|(_, slots, slowness)| f64::from(*slots) / slowness).sum()
}

/// Results of one or more runs of a scenario under a policy.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Number of counted jobs: those submitted after the warm-up and not cancelled.
    pub jobs: u64,
    /// Number of counted jobs that completed.
    pub complete: u64,
    /// Number of counted jobs that were not run.
    pub not_run: u64,
    /// Number of counted jobs that failed.
    pub failed: u64,
    /// Number of counted jobs whose outcome is unknown to their callers.
    pub unknown: u64,
    /// Response times of completed jobs divided by the ideal ones with all workers idle, in
    /// thousandths.
    pub job_ratio: Histogram<u64>,
    /// Response times of the tasks of these jobs divided by the run times on the fastest worker
    /// that had a free slot at the submission, in thousandths.
    pub task_ratio: Histogram<u64>,
    /// The part of `task_ratio` that comes from jobs of one task.
    pub single_ratio: Histogram<u64>,
    /// `job_ratio` by team, in the order of the teams of the load.
    pub team_ratio: Vec<Histogram<u64>>,
    /// Times from the submission to the answer of jobs that were not run, in microseconds.
    pub refusal_us: Histogram<u64>,
    /// Numbers of messages of all entry VMs that are running at the end.
    pub totals: MessageCounts,
    /// Run time of the tasks of completed jobs that ended after the warm-up and while jobs arrived,
    /// in seconds on the fastest worker.
    pub completed_work: f64,
    /// Run time of tasks that the workers could have executed during that time, in seconds on the
    /// fastest worker.
    pub work_capacity: f64,
    /// Largest number of starts of a task on one worker.
    pub max_starts: u32,
    /// Share of task starts that went to the failing worker after it had been ejected.
    pub failing_worker_share: f64,
    /// Violations of the invariants.
    pub violations: Vec<String>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 1_000_000_000, 3).unwrap_or_else(|_| unreachable!("bounds hold"))
}

impl Figures {
    fn new(teams: usize) -> Self {
        Figures {
            jobs: 0,
            complete: 0,
            not_run: 0,
            failed: 0,
            unknown: 0,
            job_ratio: histogram(),
            task_ratio: histogram(),
            single_ratio: histogram(),
            team_ratio: (0..teams).map(|_| histogram()).collect(),
            refusal_us: histogram(),
            totals: MessageCounts::default(),
            completed_work: 0.0,
            work_capacity: 0.0,
            max_starts: 0,
            failing_worker_share: 0.0,
            violations: Vec::new(),
        }
    }

    /// Adds the figures of other runs of the same scenario.
    pub fn add(&mut self, other: &Figures) {
        self.jobs += other.jobs;
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.failed += other.failed;
        self.unknown += other.unknown;
        self.job_ratio += &other.job_ratio;
        self.task_ratio += &other.task_ratio;
        self.single_ratio += &other.single_ratio;
        for (ours, theirs) in self.team_ratio.iter_mut().zip(&other.team_ratio) {
            *ours += theirs;
        }
        self.refusal_us += &other.refusal_us;
        self.totals.add(&other.totals);
        self.completed_work += other.completed_work;
        self.work_capacity += other.work_capacity;
        self.max_starts = self.max_starts.max(other.max_starts);
        self.failing_worker_share = self.failing_worker_share.max(other.failing_worker_share);
        self.violations.extend(other.violations.iter().cloned());
    }

    /// Returns the number of wasted messages per task start.
    pub fn wasted_per_task(&self) -> f64 {
        self.totals.total_wasted() as f64 / self.totals.starts.max(1) as f64
    }

    /// Returns the number of messages per task start.
    pub fn messages_per_task(&self) -> f64 {
        self.totals.total() as f64 / self.totals.starts.max(1) as f64
    }

    /// Returns `completed_work` as a share of `work_capacity`.
    pub fn goodput(&self) -> f64 {
        self.completed_work / self.work_capacity.max(f64::MIN_POSITIVE)
    }
}

/// Returns a quantile of a histogram of ratios.
pub fn ratio(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / RATIO_SCALE
}

/// A submitted job, with data about its submission from which the figures are computed.
struct SentJob {
    /// Index of the job in the simulation.
    job: usize,
    /// Index of the team in the load.
    team: usize,
    /// Slowness of the fastest healthy worker that had a free slot, or of the fastest healthy one
    /// if none had.
    fastest_free_slowness: f64,
    /// Whether the job counts in the figures.
    is_counted: bool,
}

/// Runs a scenario under a policy and returns the figures of this run.
///
/// # Errors
///
/// An [`IdError`] if a name of the scenario is malformed.
pub fn run(scenario: &Scenario, policy: &Policy, seed: u64) -> Result<Figures, IdError> {
    let arrivals = scenario.load.generate(seed)?;
    let mut simulation = Simulation::new(SimulationLayout {
        vms: vec![0; scenario.vms],
        workers: scenario.workers.clone(),
        policy: policy.clone(),
        teams: scenario.team_settings.clone(),
        seed,
    });
    let mut disturbances = scenario.disturbances.iter().peekable();
    let mut failing_worker = FailingWorker::default();
    let mut sent = Vec::new();
    let mut cancels: Vec<(Moment, usize, usize)> = Vec::new();
    for arrival in &arrivals {
        while let Some((at, disturbance)) = disturbances.next_if(|(at, _)| *at <= arrival.at) {
            simulation.run_until(*at);
            apply_disturbance(&mut simulation, *disturbance, &mut failing_worker);
        }
        cancels.sort_by_key(|(at, _, _)| std::cmp::Reverse(*at));
        while cancels.last().is_some_and(|(at, _, _)| *at <= arrival.at) {
            let Some((at, job, vm)) = cancels.pop() else { break };
            simulation.run_until(at);
            simulation.cancel(job, vm);
        }
        simulation.run_until(arrival.at);
        failing_worker.observe(&simulation);
        if let Some(sent_job) = send_job(&mut simulation, scenario, arrival) {
            if let Some(after) = arrival.cancel_after {
                cancels.push((arrival.at + after, sent_job.job, arrival.vm));
            }
            sent.push(sent_job);
        }
    }
    for (at, job, vm) in cancels {
        simulation.run_until(at.max(simulation.now()));
        simulation.cancel(job, vm);
    }
    simulation.run_until(simulation.now() + DRAIN_TIME);
    simulation.check_replies();
    Ok(collect_figures(scenario, &simulation, &sent, &failing_worker))
}

fn apply_disturbance(
    simulation: &mut Simulation,
    disturbance: Disturbance,
    failing_worker: &mut FailingWorker,
) {
    match disturbance {
        Disturbance::FailFast(worker) => {
            simulation.set_worker_fault(worker, WorkerFault::FailAll);
            failing_worker.worker = Some(worker);
        }
        Disturbance::Leave(from, to) => {
            simulation.workers[from..to].iter_mut().for_each(|worker| worker.leaving = true);
        }
    }
}

/// Counts the task starts of a failing worker from the time when every entry VM has ejected it.
#[derive(Debug, Default)]
struct FailingWorker {
    /// Index of the worker, unset until it fails.
    worker: Option<usize>,
    /// Starts at the failing worker and at all workers when it was ejected, unset until then.
    baseline: Option<(u64, u64)>,
}

impl FailingWorker {
    /// Returns the task starts so far at the failing worker and at all workers.
    fn start_totals(&self, simulation: &Simulation) -> Option<(u64, u64)> {
        let failing = simulation.workers[self.worker?].total_starts();
        Some((failing, simulation.workers.iter().map(|worker| worker.total_starts()).sum()))
    }

    /// Takes the baseline once there are as many ejections as entry VMs.
    fn observe(&mut self, simulation: &Simulation) {
        let ejections = simulation.event_counts.get("set_aside").copied().unwrap_or_default();
        if self.baseline.is_none() && ejections >= simulation.vm_count() as u64 {
            self.baseline = self.start_totals(simulation);
        }
    }

    /// Returns the failing worker's share of the task starts since its ejection.
    fn start_share(&self, simulation: &Simulation) -> f64 {
        let (Some(before), Some(now)) = (self.baseline, self.start_totals(simulation)) else {
            return 0.0;
        };
        (now.0 - before.0) as f64 / (now.1 - before.1).max(1) as f64
    }
}

/// Submits an arriving job. Returns `None` if no entry VM issues an id for it.
fn send_job(
    simulation: &mut Simulation,
    scenario: &Scenario,
    arrival: &Arrival,
) -> Option<SentJob> {
    let usable_workers = |simulation: &Simulation| {
        let healthy =
            simulation.workers.iter().filter(|w| w.fault == WorkerFault::None && !w.leaving);
        healthy.map(|w| (w.free_slots(), w.slowness)).collect::<Vec<_>>()
    };
    let workers = usable_workers(simulation);
    let fastest = workers.iter().map(|(_, slowness)| *slowness).fold(f64::INFINITY, f64::min);
    let free = workers.iter().filter(|(free, _)| *free > 0).map(|(_, slowness)| *slowness);
    let fastest_free_slowness = free.fold(f64::INFINITY, f64::min);
    let fastest_free_slowness =
        if fastest_free_slowness.is_finite() { fastest_free_slowness } else { fastest };
    let team = scenario.load.teams.iter().position(|(team, _)| *team == arrival.spec.team)?;
    let issuer = simulation.issuer_for(arrival.vm);
    let job = simulation.submit_new_job(
        issuer,
        arrival.vm,
        arrival.spec.clone(),
        arrival.task_seconds.clone(),
    )?;
    let is_counted = arrival.at.since_start() >= WARM_UP && arrival.cancel_after.is_none();
    Some(SentJob { job, team, fastest_free_slowness, is_counted })
}

/// Computes the figures at the end of a run.
fn collect_figures(
    scenario: &Scenario,
    simulation: &Simulation,
    sent: &[SentJob],
    failing_worker: &FailingWorker,
) -> Figures {
    let mut figures = Figures::new(scenario.load.teams.len());
    let end = Moment::new(scenario.load.span);
    let counted_seconds = scenario.load.span.saturating_sub(WARM_UP).as_secs_f64();
    figures.work_capacity = capacity(&scenario.workers) * counted_seconds;
    for sent_job in sent {
        add_completed_work(&mut figures, simulation, sent_job, end);
        if sent_job.is_counted {
            add_job(&mut figures, scenario, simulation, sent_job);
        }
    }
    for vm in 0..simulation.vm_count() {
        if let Some(core) = simulation.core(vm) {
            figures.totals.add(&core.gauges(simulation.now()).totals);
        }
    }
    let starts = simulation.workers.iter().flat_map(|worker| worker.starts_by_task().values());
    figures.max_starts = starts.copied().max().unwrap_or_default();
    figures.failing_worker_share = failing_worker.start_share(simulation);
    figures.violations = simulation.violations.clone();
    figures
}

/// Returns when the first reply that reports a job as complete arrived, if one did.
fn completed_at(simulation: &Simulation, job: usize) -> Option<Moment> {
    let is_complete = |reply: &CallerReply| matches!(reply, CallerReply::Answer(answer) if matches!(answer.as_ref(), Answer::Complete { .. }));
    simulation.jobs[job].replies.iter().find(|(_, reply)| is_complete(reply)).map(|(at, _)| *at)
}

/// Adds the tasks of a completed job to the completed work, if they ended while work is counted.
fn add_completed_work(
    figures: &mut Figures,
    simulation: &Simulation,
    sent_job: &SentJob,
    end: Moment,
) {
    if completed_at(simulation, sent_job.job).is_none() {
        return;
    }
    let job = &simulation.jobs[sent_job.job];
    let window = Moment::new(WARM_UP)..end;
    for (seconds, ended) in job.task_seconds.iter().zip(&job.task_ends) {
        if ended.is_some_and(|at| window.contains(&at)) {
            figures.completed_work += seconds;
        }
    }
}

/// Adds the first answer of a counted job.
fn add_job(
    figures: &mut Figures,
    scenario: &Scenario,
    simulation: &Simulation,
    sent_job: &SentJob,
) {
    figures.jobs += 1;
    let job = &simulation.jobs[sent_job.job];
    let answer = job.replies.iter().find_map(|(at, reply)| match reply {
        CallerReply::Answer(answer) => Some((*at, answer)),
        _ => None,
    });
    match answer.as_ref().map(|(at, answer)| (*at, answer.as_ref())) {
        None => figures.unknown += 1,
        Some((_, Answer::Failed { .. })) => figures.failed += 1,
        Some((at, Answer::NotRun { .. })) => {
            figures.not_run += 1;
            figures.refusal_us.saturating_record((at - job.submitted_at).as_micros() as u64);
        }
        Some((at, Answer::Complete { .. })) => {
            figures.complete += 1;
            let ideal = ideal_seconds(&scenario.workers, &job.task_seconds) + ROUND_TRIP_SECONDS;
            let ratio = (at - job.submitted_at).as_secs_f64() / ideal * RATIO_SCALE;
            figures.job_ratio.saturating_record(ratio as u64);
            figures.team_ratio[sent_job.team].saturating_record(ratio as u64);
            add_tasks(figures, job, sent_job);
        }
    }
}

/// Adds the response times of a completed job's tasks.
fn add_tasks(figures: &mut Figures, job: &super::engine::SimulatedJob, sent_job: &SentJob) {
    for (seconds, ended) in job.task_seconds.iter().zip(&job.task_ends) {
        let Some(ended) = ended else { continue };
        let ideal = seconds * sent_job.fastest_free_slowness + ROUND_TRIP_SECONDS;
        let response_seconds = (*ended - job.submitted_at).as_secs_f64() + ROUND_TRIP_SECONDS / 2.0;
        let ratio = (response_seconds / ideal * RATIO_SCALE) as u64;
        figures.task_ratio.saturating_record(ratio);
        if job.task_seconds.len() == 1 {
            figures.single_ratio.saturating_record(ratio);
        }
    }
}

/// Returns the time that a job takes with all workers idle, in seconds: the longest tasks start
/// first, each on the slot where it ends first.
fn ideal_seconds(workers: &[(usize, u32, f64)], task_seconds: &[f64]) -> f64 {
    // Time from which each slot is free, and its slowness.
    let mut slots: Vec<(f64, f64)> = workers
        .iter()
        .flat_map(|(_, slots, slowness)| (0..*slots).map(|_| (0.0, *slowness)))
        .collect();
    slots.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut longest_first = task_seconds.to_vec();
    longest_first.sort_by(|a, b| b.total_cmp(a));
    let mut end: f64 = 0.0;
    for seconds in longest_first {
        let end_on_slot = |slot: &(f64, f64)| slot.0 + seconds * slot.1;
        let best_slot = slots.iter_mut().min_by(|a, b| end_on_slot(a).total_cmp(&end_on_slot(b)));
        if let Some(slot) = best_slot {
            slot.0 = end_on_slot(slot);
            end = end.max(slot.0);
        }
    }
    end
}
