//! Schedules of a zone's dispatcher, or two, with strict targets and callers in virtual time, in
//! which every step can be late by itself. A failure prints the command that repeats its seed.

mod callers;
mod mix;
mod orders;
mod target;
mod world;

use indexmap::IndexMap;
use mix::Mix;
use std::ops::Range;
use world::World;

/// Number in the environment variable `name`, if it is set.
fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Plays some seeds: `SEED`, or as many from it on as `SCHEDULES` says; `seeds` without them. Returns
/// the first seed and the number of the violations of each class.
fn play(mix: Mix, seeds: Range<u64>) -> IndexMap<String, (u64, u64)> {
    let first = env_number("SEED").unwrap_or(seeds.start);
    let default_count = if env_number("SEED").is_some() { 1 } else { seeds.end - seeds.start };
    let count = env_number("SCHEDULES").unwrap_or(default_count);
    let (mut classes, mut completed) = (IndexMap::new(), 0);
    for seed in first..first + count {
        let mut world = World::new(mix, seed);
        world.trace = (count == 1).then(Vec::new);
        let world = world.run();
        completed += world.completed;
        for class in &world.violations {
            classes.entry(class.clone()).or_insert((seed, 0)).1 += 1;
        }
        world.trace.iter().flatten().for_each(|line| println!("{line}"));
    }
    println!("{count} schedules, {completed} jobs completed, {classes:#?}");
    assert!(completed >= count, "hardly any job was completed");
    classes
}

fn assert_runs_alone(mix: Mix, seeds: Range<u64>, test: &str) {
    let classes = play(mix, seeds);
    let seed = classes.values().map(|(seed, _)| seed).min();
    assert!(
        classes.is_empty(),
        "two runs of a task at once; repeat with: SEED={} cargo test --test late_orders {test} -- \
         --include-ignored --nocapture",
        seed.copied().unwrap_or_default()
    );
}

/// A start carried out late, which a target with a slow clock accepts after the dispatcher counts
/// its lease as over.
#[test]
fn late_start_on_slow_clock_runs_alone() {
    assert_runs_alone(Mix::SLOW_CLOCKS, 0..100, "late_start_on_slow_clock_runs_alone");
}

/// A start carried out late that outlives the lease which the dispatcher assumes.
#[test]
fn late_start_on_exact_clock_runs_alone() {
    assert_runs_alone(Mix::LATE_ORDERS, 0..200, "late_start_on_exact_clock_runs_alone");
}

/// Pauses, successors and a second zone that start a task of which a run is left.
#[test]
fn delayed_steps_of_two_zones_run_alone() {
    assert_runs_alone(Mix::ALL, 0..200, "delayed_steps_of_two_zones_run_alone");
}

/// A run that lasts for seconds while its dispatchers are replaced, its entry VM is lost, or both.
#[test]
fn long_jobs_run_alone() {
    assert_runs_alone(Mix::LONG_JOBS, 0..200, "long_jobs_run_alone");
}

/// A run that a replaced dispatcher stops, which is no longer reported but goes on for a moment, beside
/// the next run of its task.
#[test]
fn stop_by_replaced_dispatcher_runs_alone() {
    assert_runs_alone(Mix::REPLACEMENTS, 355..356, "stop_by_replaced_dispatcher_runs_alone");
}

/// A run whose dispatcher learns late that the entry VM is lost, and which is left when the caller
/// submits its job to another zone.
#[test]
fn silent_loss_of_entry_vm_runs_alone() {
    assert_runs_alone(Mix::SILENT_BREAKS, 0..200, "silent_loss_of_entry_vm_runs_alone");
}

/// A start meant for a crashed target, which its next incarnation carries out late: it ends far in
/// the future on the new clock.
#[test]
fn late_start_on_restarted_target_runs_alone() {
    assert_runs_alone(Mix::CRASHES, 3_772..3_773, "late_start_on_restarted_target_runs_alone");
}
