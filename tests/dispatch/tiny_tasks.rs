//! Jobs of many tasks that need next to no CPU, so that any number of them fits on a target.

use crate::simulation::{Simulation, URGENT, ms, submission};
use cranberrytray::{
    coordination::dispatch::Action,
    state::{
        job_submission::{JobSubmission, Step},
        resources::MilliCores,
    },
};

/// A job of 10,000 tiny tasks. It is admitted, since one more task is said to take long.
fn tiny_tasks() -> JobSubmission {
    let mut job = submission(1, URGENT, 10_000, ms(1));
    job.steps[0].needs.cpu = MilliCores(1);
    job.steps.push(Step { count: 1, declared: Some(ms(20_000)), ..job.steps[0].clone() });
    job.time_to_deadline = ms(30_000);
    job
}

/// Guards against start requests that take all descriptors of the dispatcher's VM.
#[test]
fn start_requests_without_an_answer_are_bounded() {
    let mut sim = Simulation::new(20).take_over();
    sim.dispatcher.submit(tiny_tasks(), false, false, sim.now);
    let actions = sim.dispatcher.take_actions();
    let starts = actions.iter().filter(|action| matches!(action, Action::Start { .. })).count();
    assert!((1..=512).contains(&starts), "{starts} starts");
}

/// Guards against runs of tiny tasks that make each report of a target as long as the job is large.
#[test]
fn runs_on_a_target_are_bounded() {
    let mut sim = Simulation::new(2).take_over();
    sim.targets.values_mut().for_each(|target| target.capacity = u64::MAX);
    sim.submit(tiny_tasks());
    let most = sim.targets.values().map(|target| target.starts.len()).max();
    assert!(most <= Some(64), "{most:?} starts on a target");
}
