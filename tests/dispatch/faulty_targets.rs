//! Jobs on targets that go silent or stand still, at moments when their callers can still be served.

use crate::simulation::{Fault, LONG, Simulation, config, ms, submission};
use cranberrytray::state::{
    job_submission::{JobSubmission, Outcome},
    mechanism::{Mechanism, MechanismSet},
    resources::MilliCores,
};
use std::sync::Arc;

/// Targets of which some stand still: they accept tasks and report no progress. Jobs with a hard
/// deadline arrive one after the other. Returns the number of those that are completed.
fn completed_jobs_on_hanging_targets(disabled: MechanismSet) -> usize {
    let mut sim = Simulation::with_speeds(&[1.0; 8]);
    sim.dispatcher.disable(disabled);
    for n in 0..2 {
        sim.target(n).fault = Fault::HangsRuns;
    }
    let mut keys = Vec::new();
    for id in 0..8 {
        keys.push(sim.submit(submission(id, LONG, 2, ms(700))));
        sim.run(ms(180));
    }
    sim.run(ms(1_500));
    assert_eq!(sim.duplicate_runs, []);
    keys.iter().filter(|key| sim.outcome(**key) == Some(Outcome::Completed)).count()
}

/// The tasks are restarted on other targets while that meets the deadline, and the targets get no
/// more of them.
#[test]
fn tasks_on_hanging_targets_are_restarted_in_time() {
    assert_eq!(completed_jobs_on_hanging_targets(MechanismSet::default()), 8);
    let disabled = [Mechanism::StallDetection].into_iter().collect();
    assert!(completed_jobs_on_hanging_targets(disabled) < 8);
}

/// Guards against giving up the work of a target that is only silent: its leases are extended while
/// its jobs have time for a restart later.
#[test]
fn tasks_of_a_silent_target_run_on_while_there_is_time() {
    let mut sim = Simulation::new(2).take_over();
    let mut patient = config(2);
    patient.queues.iter_mut().for_each(|queue| queue.timeout = ms(60_000));
    sim.dispatcher.set_config(Arc::new(patient));
    let job = submission(1, LONG, 1, ms(3_000));
    let key = sim.submit(JobSubmission { time_to_deadline: ms(10_000), ..job });
    sim.run(ms(30));
    let n = (0..2).find(|&n| sim.target(n).running() > 0).unwrap();
    sim.target(n).fault = Fault::LosesReplies;
    sim.run(ms(2_500));
    sim.target(n).fault = Fault::None;
    sim.run(ms(700));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.start_count(), 1);
}

/// A target has become slow for long tasks, which arrive one after the other: its faults add up,
/// although the slow runs end with success after their progress has shown them to be slow.
#[test]
fn slow_runs_that_end_with_success_are_no_successes_of_their_target() {
    let mut sim = Simulation::with_speeds(&[1.0, 1.0]);
    let mut patient = config(2);
    patient.queues.iter_mut().for_each(|queue| queue.timeout = ms(60_000));
    sim.dispatcher.set_config(Arc::new(patient));
    let large_job = |id| {
        let mut job = submission(id, LONG, 1, ms(500));
        job.steps[0].needs.cpu = MilliCores(20_000);
        JobSubmission { time_to_deadline: ms(10_000), ..job }
    };
    // One task on each target at a time, until their run times are known.
    for id in 0..40 {
        sim.submit(large_job(10_000 + 2 * id));
        sim.submit(large_job(10_001 + 2 * id));
        sim.run(ms(600));
    }
    let disabled = [Mechanism::TargetSlowness].into_iter().collect();
    sim.dispatcher.disable(MechanismSet::optional().union(disabled));
    assert_eq!(sim.dispatcher.counts().ejections, 0);
    sim.target(0).speed = 0.3;
    for id in 0..2 {
        sim.submit(large_job(20_000 + 2 * id));
        sim.submit(large_job(20_001 + 2 * id));
        sim.run(ms(1_900));
    }
    assert_eq!(sim.dispatcher.counts().ejections, 1);
}
