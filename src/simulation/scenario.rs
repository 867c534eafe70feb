//! The scenarios of the policy benchmark: one zone at the brief's size.

use super::{
    load::{Burst, LoadProfile},
    measure::{Disturbance, Scenario, capacity},
};
use crate::{
    coordination::configuration::TeamRule,
    state::{id::IdError, time::Moment},
};
use std::time::Duration;

/// Workers of one zone.
const WORKER_COUNT: usize = 16;
/// Slots of each.
const SLOTS_PER_WORKER: u32 = 8;
/// The slowest worker takes this many times as long as the fastest.
const MAX_SLOWNESS: f64 = 3.0;
/// Callers' traffic by entry VM: one machine is larger than the others.
const VM_SHARES: [f64; 3] = [1.0, 1.0, 2.0];
/// When things happen.
const DISTURBANCE_TIME: Duration = Duration::from_secs(15);

fn workers() -> Vec<(usize, u32, f64)> {
    let step = (MAX_SLOWNESS - 1.0) / (WORKER_COUNT - 1) as f64;
    (0..WORKER_COUNT).map(|i| (0, SLOTS_PER_WORKER, 1.0 + step * i as f64)).collect()
}

fn base_scenario(name: &'static str, load: f64, span: Duration) -> Result<Scenario, IdError> {
    let workers = workers();
    let mut load_profile = LoadProfile::steady(capacity(&workers) * load, span, VM_SHARES.len())?;
    load_profile.vm_shares = VM_SHARES.to_vec();
    let rules = vec![("drafting".parse()?, TeamRule::default())];
    let vms = VM_SHARES.len();
    Ok(Scenario { name, workers, vms, load: load_profile, rules, disturbances: Vec::new() })
}

/// All scenarios, each `span` long.
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

/// Jobs of at most ten tasks: shows what large jobs do to the ratios.
fn small_jobs(name: &'static str, load: f64, span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario(name, load, span)?;
    scenario.load.max_tasks = 10;
    Ok(scenario)
}

fn stragglers(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario("stragglers", 0.5, span)?;
    let slow = [3, 8];
    slow.into_iter().for_each(|at| scenario.workers[at].2 *= 5.0);
    Ok(scenario)
}

fn with_disturbance(
    name: &'static str,
    disturbance: Disturbance,
    span: Duration,
) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario(name, 0.5, span)?;
    scenario.disturbances.push((Moment::new(DISTURBANCE_TIME), disturbance));
    Ok(scenario)
}

fn burst(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario("burst-5x", 0.5, span)?;
    let span = Duration::from_secs(3);
    scenario.load.burst =
        Some(Burst { from: Moment::new(DISTURBANCE_TIME), span, factor: 5.0, team: None });
    Ok(scenario)
}

fn cancel_wave(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario("cancel-wave", 0.8, span)?;
    scenario.load.cancel_wave = Some((Moment::new(DISTURBANCE_TIME), 0.8));
    Ok(scenario)
}

/// How much more than usual arrives while one team floods.
const FLOOD_FACTOR: f64 = 6.0;

/// A well-behaved team at a tenth of capacity, and one that may flood: `factor` times its usual
/// load from the middle on.
fn two_teams(name: &'static str, factor: f64, span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario(name, 0.3, span)?;
    scenario.load = scenario.load.teams(vec![("rounds".parse()?, 1.0), ("flood".parse()?, 1.0)]);
    scenario.rules =
        vec![("rounds".parse()?, TeamRule::default()), ("flood".parse()?, TeamRule::default())];
    if factor > 1.0 {
        let from = Moment::new(Duration::from_secs(8));
        scenario.load.burst = Some(Burst { from, span, factor, team: Some(1) });
    }
    Ok(scenario)
}

/// Task starts a second that the flooding team may use: about half as much again as it usually does.
const FLOOD_QUOTA_STARTS_PER_S: f64 = 45.0;

fn flood_quota(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = two_teams("flood-quota", FLOOD_FACTOR, span)?;
    scenario.rules[1].1.starts_per_s = Some(FLOOD_QUOTA_STARTS_PER_S);
    Ok(scenario)
}

fn wrong_declared(span: Duration) -> Result<Scenario, IdError> {
    let mut scenario = base_scenario("wrong-declared", 0.8, span)?;
    scenario.load.declared_error = 10.0;
    Ok(scenario)
}
