//! The longest chains of steps of a job, against their definition.

use cranberrytray::state::job_submission::{Step, chain_durations};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Run time of the step and of the longest chain after it, as the definition says.
fn chain_from(steps: &[Step], n: usize) -> Duration {
    let own = if steps[n].count > 0 { run_time(&steps[n]) } else { Duration::ZERO };
    let followers = (n + 1..steps.len()).filter(|&m| steps[m].after.contains(&(n as u32)));
    own + followers.map(|m| chain_from(steps, m)).max().unwrap_or_default()
}

fn run_time(step: &Step) -> Duration {
    step.declared.unwrap_or_default()
}

/// Guards against chains that are computed wrongly where steps come after several others.
#[test]
fn chains_of_random_steps_are_those_of_the_definition() {
    let mut rng = SmallRng::seed_from_u64(64);
    for _ in 0..500 {
        let step = |n: u32, rng: &mut SmallRng| Step {
            count: rng.random_range(0..3),
            declared: Some(Duration::from_millis(rng.random_range(0..100))),
            // Some come after themselves or later steps, which counts for nothing.
            after: (0..rng.random_range(0..3)).map(|_| rng.random_range(0..n + 2)).collect(),
            ..Step::default()
        };
        let steps: Vec<Step> = (0..10).map(|n| step(n, &mut rng)).collect();
        let expected: Vec<Duration> = (0..10).map(|n| chain_from(&steps, n)).collect();
        assert_eq!(chain_durations(&steps, run_time), expected, "{steps:?}");
    }
}
