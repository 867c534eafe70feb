//! Memory of open jobs: which jobs are refused for want of it, and that no refusal is untrue.

use crate::simulation::{Simulation, URGENT, ms, submission};
use cranberrytray::state::{
    job_submission::{JobSubmission, Outcome, Refusal, Step},
    resources::ByteSize,
};

/// Tasks of a job that takes much memory.
const MANY_TASKS: u32 = 1_000;
/// Memory for three jobs of [`MANY_TASKS`] tasks, of which one may be there at a time.
const LIMIT: ByteSize = ByteSize(800 << 10);

fn sim() -> Simulation {
    let mut sim = Simulation::new(3).take_over();
    sim.dispatcher.limit_job_memory(LIMIT);
    sim
}

/// A job whose tasks last `span` milliseconds. It is admitted however many tasks it has, since one of them
/// is said to take long.
fn job(id: u64, tasks: u32, span: u64) -> JobSubmission {
    let mut job = submission(id, URGENT, tasks, ms(span));
    job.steps.push(Step { count: 1, declared: Some(ms(20_000)), ..job.steps[0].clone() });
    job.time_to_deadline = ms(30_000);
    job
}

fn is_refused(outcome: Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::NotRun { refusal: Refusal::QueueFull, .. }))
}

/// Guards against open jobs that take any amount of memory.
#[test]
fn large_jobs_beyond_the_memory_are_refused() {
    let mut sim = sim();
    let first = sim.submit(job(1, MANY_TASKS, 10));
    assert_eq!(sim.outcome(first), None);
    let starts = sim.start_count();
    let second = sim.submit(job(2, MANY_TASKS, 10));
    assert!(is_refused(sim.outcome(second)), "{:?}", sim.outcome(second));
    assert!(sim.dispatcher.used_job_memory() <= LIMIT);
    assert_eq!(sim.start_count(), starts);
}

/// Guards against large jobs that leave no room for those of ordinary callers.
#[test]
fn small_job_is_admitted_beside_large_ones() {
    let mut sim = sim();
    (1..20).for_each(|id| {
        sim.submit(job(id, MANY_TASKS, 10));
    });
    let small = sim.submit(job(100, 2, 1_000));
    assert_eq!(sim.outcome(small), None);
}

/// Guards against memory that counts as used once its jobs have ended.
#[test]
fn memory_is_free_once_a_job_has_ended() {
    let mut sim = sim();
    let first = sim.submit(job(1, MANY_TASKS, 10));
    sim.run(ms(5_000));
    assert_eq!(sim.outcome(first), Some(Outcome::Completed));
    assert_eq!(sim.dispatcher.used_job_memory(), ByteSize(0));
}

/// Guards against the same where the caller leaves.
#[test]
fn memory_is_free_once_a_caller_has_left() {
    let mut sim = sim();
    let first = sim.submit(job(1, MANY_TASKS, 10));
    assert!(sim.dispatcher.used_job_memory() > ByteSize(0));
    sim.dispatcher.cancel(first, sim.now);
    assert_eq!(sim.dispatcher.used_job_memory(), ByteSize(0));
}

/// Guards against the refusal of a single job that no other one stands in the way of.
#[test]
fn single_job_above_the_memory_is_admitted() {
    let mut sim = sim();
    let only = sim.submit(job(1, 5 * MANY_TASKS, 10));
    assert_eq!(sim.outcome(only), None);
}

/// Guards against an untrue refusal: runs that an earlier dispatcher started may be left.
#[test]
fn resumed_job_without_room_is_answered_as_unknown() {
    let mut sim = sim();
    sim.submit(job(1, MANY_TASKS, 10));
    sim.replace_dispatcher();
    sim.dispatcher.limit_job_memory(LIMIT);
    sim.submit_with(job(2, MANY_TASKS, 10), false, true);
    let resumed = sim.submit_with(job(1, MANY_TASKS, 10), false, true);
    assert_eq!(sim.outcome(resumed), Some(Outcome::Unknown));
}

/// Guards against the same where the caller has submitted its job again and runs of it are being stopped.
#[test]
fn resubmitted_job_without_room_is_answered_as_unknown() {
    let mut sim = sim();
    let long = JobSubmission { spec: "1000".into(), ..job(1, MANY_TASKS, 10) };
    let first = sim.submit(long.clone());
    sim.run(ms(5));
    assert!(sim.start_count() > 0);
    sim.dispatcher.cancel(first, sim.now);
    sim.submit(job(2, MANY_TASKS, 10));
    let again = sim.submit(long);
    assert_eq!(sim.outcome(again), Some(Outcome::Unknown));
}
