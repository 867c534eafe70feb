//! Runs a scenario under a policy and measures what the users measure: response time against the
//! ideal, and wasted messages.

use super::{
    engine::{CallerReply, Simulation, SimulationLayout},
    load::{Arrival, LoadProfile},
    worker::WorkerFault,
};
use crate::{
    coordination::configuration::TeamRule,
    state::{
        id::{IdError, TeamName},
        job::Answer,
        policy::Policy,
        time::Moment,
        waste::Totals,
    },
};
use hdrhistogram::Histogram;
use std::time::Duration;

/// A round trip from the caller over an entry VM to a worker and back, in seconds.
const ROUND_TRIP: f64 = 0.0025;
/// Jobs sent before this are not counted: run times are still being learned.
const WARM_UP: Duration = Duration::from_secs(8);
/// Time after the last job for the rest to end.
const TAIL: Duration = Duration::from_secs(60);
/// Ratios are kept in thousandths.
const RATIO_UNIT: f64 = 1_000.0;

/// Something that happens during a scenario.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// The worker at this place fails every task from now on.
    FailFast(usize),
    /// These workers, from a place to before another, are leaving.
    Leave(usize, usize),
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Zone, slots and slowness of each worker.
    pub workers: Vec<(usize, u32, f64)>,
    /// Number of entry VMs.
    pub vms: usize,
    /// The load.
    pub load: LoadProfile,
    /// The teams' rules.
    pub rules: Vec<(TeamName, TeamRule)>,
    /// What happens.
    pub happenings: Vec<(Moment, Disturbance)>,
}

/// Seconds of work that workers do each second.
pub fn capacity(workers: &[(usize, u32, f64)]) -> f64 {
    workers.iter().map(|(_, slots, slowness)| f64::from(*slots) / slowness).sum()
}

/// What was measured.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Jobs counted.
    pub jobs: u64,
    /// Of those, complete.
    pub complete: u64,
    /// Of those, not run.
    pub not_run: u64,
    /// Of those, failed.
    pub failed: u64,
    /// Of those, without an answer or unknown.
    pub unknown: u64,
    /// Response of complete jobs over their ideal on all workers free, in thousandths.
    pub job_ratio: Histogram<u64>,
    /// Response of tasks over their time on the fastest worker free at arrival, in thousandths.
    pub task_ratio: Histogram<u64>,
    /// The same for the tasks of jobs with one task.
    pub single_ratio: Histogram<u64>,
    /// Job ratios by team.
    pub team_ratio: Vec<Histogram<u64>>,
    /// Time to a refusal, in microseconds.
    pub refusal_us: Histogram<u64>,
    /// Messages of all entry VMs.
    pub totals: Totals,
    /// Seconds of work done within the counted time, for jobs that completed.
    pub done_work: f64,
    /// Seconds of work that the workers could have done in that time.
    pub possible_work: f64,
    /// Most starts of any task.
    pub most_starts: u32,
    /// Tasks taken by the failing worker after it was set aside, over all tasks from then on.
    pub bad_share: f64,
    /// Broken promises.
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
            totals: Totals::default(),
            done_work: 0.0,
            possible_work: 0.0,
            most_starts: 0,
            bad_share: 0.0,
            violations: Vec::new(),
        }
    }

    /// Adds the figures of another run of the same scenario.
    pub fn add(&mut self, other: &Figures) {
        self.jobs += other.jobs;
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.failed += other.failed;
        self.unknown += other.unknown;
        self.job_ratio += &other.job_ratio;
        self.task_ratio += &other.task_ratio;
        self.single_ratio += &other.single_ratio;
        for (mine, theirs) in self.team_ratio.iter_mut().zip(&other.team_ratio) {
            *mine += theirs;
        }
        self.refusal_us += &other.refusal_us;
        self.totals.add(&other.totals);
        self.done_work += other.done_work;
        self.possible_work += other.possible_work;
        self.most_starts = self.most_starts.max(other.most_starts);
        self.bad_share = self.bad_share.max(other.bad_share);
        self.violations.extend(other.violations.iter().cloned());
    }

    /// Wasted messages per task started.
    pub fn wasted_per_task(&self) -> f64 {
        self.totals.wasted() as f64 / self.totals.starts.max(1) as f64
    }

    /// Messages per task started.
    pub fn messages_per_task(&self) -> f64 {
        self.totals.messages() as f64 / self.totals.starts.max(1) as f64
    }

    /// Work done over work possible.
    pub fn goodput(&self) -> f64 {
        self.done_work / self.possible_work.max(f64::MIN_POSITIVE)
    }
}

/// A quantile of a histogram of ratios.
pub fn ratio(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / RATIO_UNIT
}

/// What is noted of a job when it is sent.
struct Sent {
    job: usize,
    team: usize,
    /// Slowness of the fastest worker with a free slot.
    fastest_free: f64,
    counted: bool,
}

/// Runs a scenario.
///
/// # Errors
///
/// An [`IdError`] if a name of the scenario is malformed.
pub fn run(scenario: &Scenario, policy: &Policy, seed: u64) -> Result<Figures, IdError> {
    let arrivals = scenario.load.draw(seed)?;
    let mut world = Simulation::new(SimulationLayout {
        vms: vec![0; scenario.vms],
        workers: scenario.workers.clone(),
        policy: policy.clone(),
        teams: scenario.rules.clone(),
        seed,
    });
    let mut happenings = scenario.happenings.iter().peekable();
    let mut watch = BadWorker::default();
    let mut sent = Vec::new();
    let mut cancels: Vec<(Moment, usize, usize)> = Vec::new();
    for arrival in &arrivals {
        while let Some((at, happening)) = happenings.next_if(|(at, _)| *at <= arrival.at) {
            world.run_until(*at);
            happen(&mut world, *happening, &mut watch);
        }
        cancels.sort_by_key(|(at, _, _)| std::cmp::Reverse(*at));
        while cancels.last().is_some_and(|(at, _, _)| *at <= arrival.at) {
            let Some((at, job, vm)) = cancels.pop() else { break };
            world.run_until(at);
            world.cancel(job, vm);
        }
        world.run_until(arrival.at);
        watch.look(&world);
        if let Some(one) = send(&mut world, scenario, arrival) {
            if let Some(after) = arrival.cancel_after {
                cancels.push((arrival.at + after, one.job, arrival.vm));
            }
            sent.push(one);
        }
    }
    for (at, job, vm) in cancels {
        world.run_until(at.max(world.now()));
        world.cancel(job, vm);
    }
    world.run_until(world.now() + TAIL);
    world.check_replies();
    Ok(collect(scenario, &world, &sent, &watch))
}

fn happen(world: &mut Simulation, happening: Disturbance, watch: &mut BadWorker) {
    match happening {
        Disturbance::FailFast(worker) => {
            world.set_worker_fault(worker, WorkerFault::FailAll);
            watch.worker = Some(worker);
        }
        Disturbance::Leave(from, to) => {
            world.workers[from..to].iter_mut().for_each(|worker| worker.leaving = true);
        }
    }
}

/// Follows a failing worker from the moment when each entry VM has set it aside.
#[derive(Debug, Default)]
struct BadWorker {
    worker: Option<usize>,
    seen: Option<(u64, u64)>,
}

impl BadWorker {
    fn totals(&self, world: &Simulation) -> Option<(u64, u64)> {
        let bad = world.workers[self.worker?].total_starts();
        Some((bad, world.workers.iter().map(|worker| worker.total_starts()).sum()))
    }

    fn look(&mut self, world: &Simulation) {
        let set_aside = world.event_counts.get("set_aside").copied().unwrap_or_default();
        if self.seen.is_none() && set_aside >= world.vm_count() as u64 {
            self.seen = self.totals(world);
        }
    }

    fn share(&self, world: &Simulation) -> f64 {
        let (Some(then), Some(now)) = (self.seen, self.totals(world)) else { return 0.0 };
        (now.0 - then.0) as f64 / (now.1 - then.1).max(1) as f64
    }
}

fn send(world: &mut Simulation, scenario: &Scenario, arrival: &Arrival) -> Option<Sent> {
    let usable = |world: &Simulation| {
        let good = world.workers.iter().filter(|w| w.fault == WorkerFault::None && !w.leaving);
        good.map(|w| (w.free_slots(), w.slowness)).collect::<Vec<_>>()
    };
    let workers = usable(world);
    let fastest = workers.iter().map(|(_, slowness)| *slowness).fold(f64::INFINITY, f64::min);
    let free = workers.iter().filter(|(free, _)| *free > 0).map(|(_, slowness)| *slowness);
    let fastest_free = free.fold(f64::INFINITY, f64::min);
    let fastest_free = if fastest_free.is_finite() { fastest_free } else { fastest };
    let team = scenario.load.teams.iter().position(|(team, _)| *team == arrival.spec.team)?;
    let issuer = world.issuer_for(arrival.vm);
    let job =
        world.submit_new_job(issuer, arrival.vm, arrival.spec.clone(), arrival.work.clone())?;
    let counted = arrival.at.since_start() >= WARM_UP && arrival.cancel_after.is_none();
    Some(Sent { job, team, fastest_free, counted })
}

fn collect(scenario: &Scenario, world: &Simulation, sent: &[Sent], watch: &BadWorker) -> Figures {
    let mut figures = Figures::new(scenario.load.teams.len());
    let end = Moment::new(scenario.load.span);
    let counted_span = scenario.load.span.saturating_sub(WARM_UP).as_secs_f64();
    figures.possible_work = capacity(&scenario.workers) * counted_span;
    for one in sent {
        count_work(&mut figures, world, one, end);
        if one.counted {
            count_job(&mut figures, scenario, world, one);
        }
    }
    for vm in 0..world.vm_count() {
        if let Some(core) = world.core(vm) {
            figures.totals.add(&core.gauges(world.now()).totals);
        }
    }
    let starts = world.workers.iter().flat_map(|worker| worker.starts_by_task().values());
    figures.most_starts = starts.copied().max().unwrap_or_default();
    figures.bad_share = watch.share(world);
    figures.violations = world.violations.clone();
    figures
}

fn complete_at(world: &Simulation, job: usize) -> Option<Moment> {
    let complete = |reply: &CallerReply| matches!(reply, CallerReply::Answer(answer) if matches!(answer.as_ref(), Answer::Complete { .. }));
    world.jobs[job].replies.iter().find(|(_, reply)| complete(reply)).map(|(at, _)| *at)
}

fn count_work(figures: &mut Figures, world: &Simulation, one: &Sent, end: Moment) {
    if complete_at(world, one.job).is_none() {
        return;
    }
    let job = &world.jobs[one.job];
    let window = Moment::new(WARM_UP)..end;
    for (work, ended) in job.work.iter().zip(&job.task_ends) {
        if ended.is_some_and(|at| window.contains(&at)) {
            figures.done_work += work;
        }
    }
}

fn count_job(figures: &mut Figures, scenario: &Scenario, world: &Simulation, one: &Sent) {
    figures.jobs += 1;
    let job = &world.jobs[one.job];
    let answer = job.replies.iter().find_map(|(at, reply)| match reply {
        CallerReply::Answer(answer) => Some((*at, answer)),
        _ => None,
    });
    match answer.as_ref().map(|(at, answer)| (*at, answer.as_ref())) {
        None => figures.unknown += 1,
        Some((_, Answer::Failed { .. })) => figures.failed += 1,
        Some((at, Answer::NotRun { .. })) => {
            figures.not_run += 1;
            figures.refusal_us.saturating_record((at - job.sent).as_micros() as u64);
        }
        Some((at, Answer::Complete { .. })) => {
            figures.complete += 1;
            let ideal = ideal_seconds(&scenario.workers, &job.work) + ROUND_TRIP;
            let ratio = (at - job.sent).as_secs_f64() / ideal * RATIO_UNIT;
            figures.job_ratio.saturating_record(ratio as u64);
            figures.team_ratio[one.team].saturating_record(ratio as u64);
            count_tasks(figures, job, one);
        }
    }
}

fn count_tasks(figures: &mut Figures, job: &super::engine::SimulatedJob, one: &Sent) {
    for (work, ended) in job.work.iter().zip(&job.task_ends) {
        let Some(ended) = ended else { continue };
        let ideal = work * one.fastest_free + ROUND_TRIP;
        let took = (*ended - job.sent).as_secs_f64() + ROUND_TRIP / 2.0;
        let ratio = (took / ideal * RATIO_UNIT) as u64;
        figures.task_ratio.saturating_record(ratio);
        if job.work.len() == 1 {
            figures.single_ratio.saturating_record(ratio);
        }
    }
}

/// Seconds that a job takes when all workers are free: the longest tasks first, each on the slot
/// where it ends first.
fn ideal_seconds(workers: &[(usize, u32, f64)], work: &[f64]) -> f64 {
    let mut slots: Vec<(f64, f64)> = workers
        .iter()
        .flat_map(|(_, slots, slowness)| (0..*slots).map(|_| (0.0, *slowness)))
        .collect();
    slots.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut work = work.to_vec();
    work.sort_by(|a, b| b.total_cmp(a));
    let mut end: f64 = 0.0;
    for seconds in work {
        let finish = |slot: &(f64, f64)| slot.0 + seconds * slot.1;
        let best = slots.iter_mut().min_by(|a, b| finish(a).total_cmp(&finish(b)));
        if let Some(slot) = best {
            slot.0 = finish(slot);
            end = end.max(slot.0);
        }
    }
    end
}
