//! Long jobs on targets of nearly equal speed, of which none is far faster than usual.

use crate::simulation::{LONG, Simulation, ms, submission};
use cranberrytray::{
    coordination::dispatch::SpareCpu,
    state::{
        job_submission::Outcome,
        mechanism::{Mechanism, MechanismSet},
    },
};

/// Twenty targets of usual speed and ten that are 1.2 times as fast, with learned slowness.
fn near_equal_targets(disabled: MechanismSet) -> Simulation {
    let mut speeds = vec![1.0; 20];
    speeds.extend([1.2; 10]);
    let mut sim = Simulation::with_speeds(&speeds);
    sim.dispatcher.disable(disabled);
    sim.run(ms(50));
    sim
}

/// Time from the submission of a long job to its answer on idle targets, in milliseconds.
fn response_ms(disabled: MechanismSet) -> u64 {
    let mut sim = near_equal_targets(disabled);
    let submitted = sim.now;
    let key = sim.submit(submission(1, LONG, 4, ms(760)));
    sim.run(ms(1_500));
    let (outcome, answered_at) = sim.answers[&key];
    assert_eq!(outcome, Outcome::Completed);
    (answered_at - submitted).as_millis() as u64
}

/// Guards against long tasks that wait for a far faster target where none exists, on a calm day with
/// free targets.
#[test]
fn long_tasks_start_at_once_where_targets_are_nearly_equal() {
    let off = [Mechanism::RelativeFastLimit].into_iter().collect();
    let (with_limit, without) = (response_ms(MechanismSet::default()), response_ms(off));
    assert!(with_limit <= 660, "fast targets take 633 ms, answered after {with_limit} ms");
    assert!(without > 700, "the fault is not reproduced: answered after {without} ms");
}

/// Guards against zones that report no spare CPU on fast targets, so that no long job is redirected
/// there, although a third of their targets are 1.2 times as fast as the others.
#[test]
fn fastest_third_of_nearly_equal_targets_counts_as_fast() {
    let sim = near_equal_targets(MechanismSet::default());
    let spare = sim.dispatcher.spare_cpu(sim.now);
    assert_eq!(spare, SpareCpu { total_millicores: 960_000, fast_millicores: 320_000 });
}
