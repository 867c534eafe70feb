//! Start requests that targets execute long after they were sent.

use crate::simulation::{Fault, LONG, Simulation, ms, submission};

/// Guards against two runs of a task at once: the estimate of a slow target clock ran ahead, so that the
/// target accepted a start after its lease was over for the dispatcher, which had repeated the task.
#[test]
fn late_start_on_target_with_slow_clock_is_refused() {
    for slowness in [0, 1, 2] {
        for delay in [960, 1_000, 1_200, 1_400, 2_000] {
            let mut sim = Simulation::new(3);
            sim.targets.values_mut().for_each(|target| target.clock_slowness = slowness);
            let mut sim = sim.take_over();
            sim.run(ms(60_000));
            sim.target(0).fault = Fault::DelaysStarts(ms(delay));
            sim.submit(submission(1, LONG, 2, ms(450)));
            sim.run(ms(2_500));
            let case = format!("{slowness}% slow, executed after {delay} ms");
            assert!(sim.duplicate_runs.is_empty(), "{case}");
            assert_eq!(sim.target(0).starts, [], "{case}");
        }
    }
}
