//! Scenarios of the policy benchmark, in one zone of the size that the system is designed for.

use super::{
    load::{Burst, LoadProfile},
    measure::{Disturbance, Scenario, capacity},
};
use crate::{
    coordination::configuration::TeamSettings,
    state::{id::IdError, time::Moment},
};
use std::time::Duration;

/// Number of workers in the zone.
const WORKER_COUNT: usize = 16;
/// Number of slots of each worker.
const SLOTS_PER_WORKER: u32 = 8;
/// Slowness of the slowest worker: a task takes this many times as long as on the fastest one.
const MAX_SLOWNESS: f64 = 3.0;
/// Relative shares of the jobs by entry VM: one machine is larger than the others.
const VM_SHARES: [f64; 3] = [1.0, 1.0, 2.0];
/// Time of disturbances, bursts and cancel waves, from the start of the run.
const DISTURBANCE_TIME: Duration = Duration::from_secs(15);

/// Returns zone index, slots and slowness of the workers, whose slowness grows in equal steps.
fn workers() -> Vec<(usize, u32, f64)> {
    let step = (MAX_SLOWNESS - 1.0) / (WORKER_COUNT - 1) as f64;
    (0..WORKER_COUNT).map(|i| (0, SLOTS_PER_WORKER, 1.0 + step * i as f64)).collect()
}

/// Returns a steady load from one team. `load` is the share of the capacity that it takes.
fn base_scenario(name: &'static str, load: f64, span: Duration) -> Result<Scenario, IdError> {
    let workers = workers();
    let mut load_profile = LoadProfile::steady(capacity(&workers) * load, span, VM_SHARES.len())?;
    load_profile.vm_shares = VM_SHARES.to_vec();
    let team_settings = vec![("drafting".parse()?, TeamSettings::default())];
    let vms = VM_SHARES.len();
    Ok(Scenario { name, workers, vms, load: load_profile, team_settings, disturbances: Vec::new() })
}

/// Returns all scenarios. Jobs arrive until `span`.
///
/// # Errors
///
/// An [`IdError`] if a name is malformed.
pub fn all(span: Duration) -> Result<Vec<Scenario>, IdError> {
    let mut scenarios = vec![
        base_scenario("load-50", 0.5, span)?,
        base_scenario("load-80", 0.8, span)?,
        base_scenario("load-95", 0.95, span)?,
        base_scenario("load-120", 1.2, span)?,
    ];
    scenarios.push(small_jobs("load-80-small-jobs", 0.8, span)?);
    scenarios.push(stragglers(span)?);
    scenarios.push(with_disturbance("fail-fast", Disturbance::FailFast(0), span)?);
    scenarios.push(with_disturbance(
        "third-leaves",
        Disturbance::Leave(0, WORKER_COUNT / 3),
        span,
    )?);
    scenarios.push(burst(span)?);
    scenarios.push(cancel_wave(span)?);
    scenarios.push(two_teams("one-team", 1.0, span)?);
    scenarios.push(two_teams("flood", FLOOD_FACTOR, span)?);
    scenarios.push(flood_quota(span)?);
    scenarios.push(wrong_declared(span)?);
    Ok(scenarios)
}

/// Limits jobs to ten tasks. The comparison shows the effect of large jobs on the ratios.
fn small_jobs(name: &'static str, load: f64, span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario(name, load, span)?;
    scenario.load.max_tasks = 10;
    Ok(scenario)
}

/// Makes two workers five times as slow.
fn stragglers(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario("stragglers", 0.5, span)?;
    let slow_workers = [3, 8];
    slow_workers.into_iter().for_each(|index| scenario.workers[index].2 *= 5.0);
    Ok(scenario)
}

/// Returns a steady load at half the capacity with one disturbance.
fn with_disturbance(
    name: &'static str,
    disturbance: Disturbance,
    span: Duration,
) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario(name, 0.5, span)?;
    scenario.disturbances.push((Moment::new(DISTURBANCE_TIME), disturbance));
    Ok(scenario)
}

/// Raises the load to five times the usual one for three seconds.
fn burst(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario("burst-5x", 0.5, span)?;
    let span = Duration::from_secs(3);
    scenario.load.burst =
        Some(Burst { from: Moment::new(DISTURBANCE_TIME), span, factor: 5.0, team: None });
    Ok(scenario)
}

/// Cancels four in five of the jobs of one second at once.
fn cancel_wave(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario("cancel-wave", 0.8, span)?;
    scenario.load.cancel_wave = Some((Moment::new(DISTURBANCE_TIME), 0.8));
    Ok(scenario)
}

/// Load while one team submits too many jobs, as a multiple of the usual load of both teams.
const FLOOD_FACTOR: f64 = 6.0;

/// Returns two teams with equal shares of a load of 0.3 of the capacity. For a `factor` above 1,
/// the load grows by it after the warm-up, and the second team submits all additional jobs.
fn two_teams(name: &'static str, factor: f64, span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario(name, 0.3, span)?;
    scenario.load = scenario.load.teams(vec![("rounds".parse()?, 1.0), ("flood".parse()?, 1.0)]);
    scenario.team_settings = vec![
        ("rounds".parse()?, TeamSettings::default()),
        ("flood".parse()?, TeamSettings::default()),
    ];
    if factor > 1.0 {
        let from = Moment::new(Duration::from_secs(8));
        scenario.load.burst = Some(Burst { from, span, factor, team: Some(1) });
    }
    Ok(scenario)
}

/// Quota of the flooding team in task starts per second, about 1.5 times its usual starts.
const FLOOD_QUOTA_STARTS_PER_S: f64 = 45.0;

/// Limits the flooding team by a quota.
fn flood_quota(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = two_teams("flood-quota", FLOOD_FACTOR, span)?;
    scenario.team_settings[1].1.starts_per_s = Some(FLOOD_QUOTA_STARTS_PER_S);
    Ok(scenario)
}

/// Makes declared run times wrong by up to a factor of ten.
fn wrong_declared(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario("wrong-declared", 0.8, span)?;
    scenario.load.declared_error = 10.0;
    Ok(scenario)
}
