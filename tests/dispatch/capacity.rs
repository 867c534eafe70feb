//! Targets that start whatever they are told to, also beyond their capacity: the dispatcher keeps to it.

use crate::simulation::{LONG, Simulation, URGENT, config, ms, submission};
use cranberrytray::state::{
    job_submission::{CallerJobId, Outcome, TaskId},
    resources::MilliCores,
    target::RunOutcome,
};
use std::sync::Arc;

/// A simulation of targets that don't guard their capacity; they are not taken over yet.
fn unguarded_simulation(targets: usize) -> Simulation {
    let mut sim = Simulation::new(targets);
    let mut unguarded = config(2);
    unguarded.pools.iter_mut().for_each(|pool| pool.rejects_when_full = false);
    sim.dispatcher.set_config(Arc::new(unguarded));
    sim.targets.values_mut().for_each(|target| target.is_guarded = false);
    sim
}

fn overcommitted_starts(sim: &Simulation) -> u32 {
    sim.targets.values().map(|target| target.overcommitted_starts).sum()
}

/// Guards against starts beyond a capacity that has shrunk, and against leaving it unused once it has grown
/// again.
#[test]
fn capacity_that_shrinks_and_grows_is_kept() {
    let mut sim = unguarded_simulation(4).take_over();
    let mut keys = Vec::new();
    for round in 0..40 {
        let cores = if round % 10 < 5 { 32_000 } else { 15_000 };
        for n in 0..4 {
            sim.target(n).capacity = cores;
            sim.change_target(n, |info| info.capacity.cpu = MilliCores(cores));
        }
        keys.push(sim.submit(submission(round, URGENT, 4, ms(60))));
        keys.push(sim.submit(submission(100 + round, LONG, 1, ms(400))));
        sim.run(ms(200));
    }
    sim.run(ms(1_500));
    assert_eq!(overcommitted_starts(&sim), 0);
    let completed = keys.iter().filter(|key| sim.outcome(**key) == Some(Outcome::Completed));
    assert_eq!(completed.count(), keys.len());
}

/// Guards against starts beside runs of an earlier dispatcher that are being stopped, by it or by this one: a
/// target no longer reports them, although they occupy it until they have ended.
#[test]
fn runs_that_are_stopped_at_takeover_count() {
    for is_stopped_before in [false, true] {
        take_over_from_earlier_dispatcher(is_stopped_before);
    }
}

fn take_over_from_earlier_dispatcher(is_stopped_before: bool) {
    let mut sim = unguarded_simulation(1);
    let now = sim.now;
    for index in 0..2 {
        let task = TaskId { job: CallerJobId::new(7), step: 0, index };
        sim.target(0).add_earlier_run(task, ms(800), now);
    }
    if is_stopped_before {
        for run in sim.target(0).runs.values_mut() {
            run.ends_at = Some(now + ms(50));
            run.outcome = RunOutcome::Stopped;
        }
    }
    sim.publish_targets();
    let key = sim.submit(submission(1, URGENT, 2, ms(60)));
    sim.run(ms(600));
    assert_eq!(overcommitted_starts(&sim), 0);
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}
