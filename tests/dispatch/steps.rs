//! Jobs of several steps: the order of steps, and what their objective allows for.

use crate::simulation::{Fault, Simulation, URGENT, ms, submission};
use cranberrytray::state::{
    job_submission::{JobSubmission, Outcome, Refusal, StepError, TaskId, validate_steps},
    time::Moment,
};

/// A job whose step `n` has `counts[n]` tasks of 60 ms and comes after the steps in `after[n]`.
fn job(id: u64, counts: &[u32], after: &[&[u32]]) -> JobSubmission {
    let mut job = submission(id, URGENT, 1, ms(60));
    let first = job.steps[0].clone();
    let steps = counts.iter().zip(after).map(|(count, after)| {
        let mut step = first.clone();
        (step.count, step.after) = (*count, after.to_vec());
        step
    });
    job.steps = steps.collect();
    job
}

/// All starts of a job, the earliest first.
fn starts(sim: &Simulation) -> Vec<(TaskId, Moment)> {
    let mut starts: Vec<_> = sim.targets.values().flat_map(|t| t.starts.clone()).collect();
    starts.sort_by_key(|(task, at)| (*at, *task));
    starts
}

/// Fails if a task started before all tasks of the steps that its step comes after had run, each
/// for `run_time` at least.
fn assert_order(sim: &Simulation, job: &JobSubmission, run_time: std::time::Duration) {
    let starts = starts(sim);
    for (task, at) in &starts {
        for before in &job.steps[task.step as usize].after {
            let count = job.steps[*before as usize].count;
            let ended = |index| {
                starts.iter().any(|(t, started)| {
                    (t.step, t.index) == (*before, index) && *started + run_time <= *at
                })
            };
            assert!((0..count).all(ended), "{task} started before step {before} had ended");
        }
    }
}

#[test]
fn steps_run_in_their_order() {
    type Case = (&'static str, &'static [u32], &'static [&'static [u32]]);
    let cases: [Case; 6] = [
        ("chain", &[2, 2, 2], &[&[], &[0], &[1]]),
        ("chain of five", &[1, 2, 1, 2, 1], &[&[], &[0], &[1], &[2], &[3]]),
        ("diamond", &[1, 2, 2, 1], &[&[], &[0], &[0], &[1, 2]]),
        ("parallel", &[2, 2], &[&[], &[]]),
        ("empty middle step", &[2, 0, 2], &[&[], &[0], &[1]]),
        ("empty first step", &[0, 2], &[&[], &[0]]),
    ];
    for (name, counts, after) in cases {
        let mut sim = Simulation::new(4).take_over();
        let job = job(1, counts, after);
        let key = sim.submit(job.clone());
        sim.run(ms(700));
        assert_eq!(sim.outcome(key), Some(Outcome::Completed), "{name}");
        assert_eq!(starts(&sim).len(), counts.iter().sum::<u32>() as usize, "{name}");
        assert_order(&sim, &job, ms(60));
    }
}

#[test]
fn failed_task_in_a_middle_step_is_repeated_before_the_next_step() {
    let mut sim = Simulation::new(3).take_over();
    let job = job(1, &[1, 2, 1], &[&[], &[0], &[1]]);
    let key = sim.submit(job.clone());
    sim.run(ms(30));
    // Tasks of the second step fail on one target, after 1 ms.
    sim.target(0).fault = Fault::FailsRuns;
    sim.run(ms(500));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    let last = starts(&sim).last().copied().unwrap();
    assert_eq!(last.0.step, 2);
    let second: Vec<_> = starts(&sim).into_iter().filter(|(task, _)| task.step == 1).collect();
    assert!(second.iter().all(|(_, at)| *at + ms(60) <= last.1), "{second:?} {last:?}");
}

#[test]
fn job_taken_over_between_two_steps_runs_from_its_first_step() {
    let mut sim = Simulation::new(2).take_over();
    let job = job(1, &[1, 1], &[&[], &[0]]);
    let key = sim.submit_with(job.clone(), false, true);
    sim.run(ms(1_100));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_order(&sim, &job, ms(60));
}

/// The objective covers the longest chain of steps, so that steps that run side by side do not add
/// up, and a chain that can't meet its deadline is refused when it arrives.
#[test]
fn admission_counts_the_longest_chain() {
    let mut sim = Simulation::new(8).take_over();
    // 1.6 x 600 ms + 60 ms is below the deadline; all steps together would take 1,800 ms.
    let parallel: Vec<&[u32]> = vec![&[], &[], &[]];
    let mut wide = job(1, &[1, 1, 1], &parallel);
    let mut chain = job(2, &[1, 1, 1], &[&[], &[0], &[1]]);
    for job in [&mut wide, &mut chain] {
        job.spec = "600".into();
        job.steps.iter_mut().for_each(|step| step.declared = Some(ms(600)));
    }
    let wide = sim.submit(wide);
    let chain = sim.submit(chain);
    assert!(
        matches!(sim.outcome(chain), Some(Outcome::NotRun { refusal: Refusal::TooLate, .. })),
        "{:?}",
        sim.outcome(chain)
    );
    sim.run(ms(700));
    assert_eq!(sim.outcome(wide), Some(Outcome::Completed));
}

#[test]
fn validate_steps_rejects_bad_references() {
    let check = |counts: &[u32], after: &[&[u32]]| validate_steps(&job(1, counts, after).steps);
    assert_eq!(check(&[1, 1], &[&[], &[0]]), Ok(()));
    let later = StepError::NotEarlier { step: 0, after: 1 };
    assert_eq!(check(&[1, 1], &[&[1], &[]]), Err(later));
    let itself = StepError::NotEarlier { step: 1, after: 1 };
    assert_eq!(check(&[1, 1], &[&[], &[1]]), Err(itself));
    let missing = StepError::NotEarlier { step: 0, after: 9 };
    assert_eq!(check(&[1], &[&[9]]), Err(missing));
}

/// A peer of another version may send a job that was not checked: it is refused, as it would wait
/// until its deadline otherwise.
#[test]
fn job_with_bad_references_is_refused_at_once() {
    let mut sim = Simulation::new(2).take_over();
    let key = sim.submit(job(1, &[1, 1], &[&[1], &[]]));
    let outcome = sim.outcome(key);
    assert!(
        matches!(outcome, Some(Outcome::NotRun { refusal: Refusal::Shape, .. })),
        "{outcome:?}"
    );
    assert_eq!(sim.start_count(), 0);
}
