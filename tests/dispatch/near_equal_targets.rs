//! Long jobs on targets of nearly equal speed, of which none is far faster than usual.

use crate::simulation::{LONG, Simulation, ms, submission};
use cranberrytray::state::job_submission::Outcome;

/// Guards against long tasks that wait for a far faster target where none exists, on a calm day with
/// free targets.
#[test]
fn long_tasks_start_at_once_where_targets_are_nearly_equal() {
    // Twenty targets of usual speed and ten that are 1.2 times as fast, with learned slowness.
    let mut speeds = vec![1.0; 20];
    speeds.extend([1.2; 10]);
    let mut sim = Simulation::with_speeds(&speeds);
    sim.run(ms(50));
    let submitted = sim.now;
    let key = sim.submit(submission(1, LONG, 4, ms(760)));
    sim.run(ms(1_500));
    let (outcome, answered_at) = sim.answers[&key];
    assert_eq!(outcome, Outcome::Completed);
    let took = answered_at - submitted;
    assert!(took <= ms(660), "fast targets take 633 ms, answered after {took:?}");
}
