//! Runs of a job: completion, failure, lost messages, restarts and cancellation.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission};
use cranberrytray::state::job_submission::{Outcome, Refusal};

#[test]
fn job_completes_when_all_tasks_have_ended() {
    let mut sim = Simulation::new(2).take_over();
    let key = sim.submit(submission(1, URGENT, 4, ms(60)));
    sim.run(ms(50));
    assert_eq!(sim.outcome(key), None);
    sim.run(ms(20));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

#[test]
fn job_fails_after_its_last_attempt() {
    let mut sim = Simulation::new(1).take_over();
    sim.target(0).fault = Fault::FailsRuns;
    let key = sim.submit(submission(1, URGENT, 1, ms(60)));
    sim.run(ms(40));
    assert_eq!(sim.outcome(key), Some(Outcome::Failed));
    assert_eq!(sim.start_count(), 2);
}

#[test]
fn job_with_lost_runs_does_not_fail() {
    let mut sim = Simulation::new(1).take_over();
    let key = sim.submit(submission(1, LONG, 1, ms(900)));
    sim.run(ms(100));
    sim.target(0).fault = Fault::Unresponsive;
    sim.run(ms(1_500));
    assert_eq!(sim.outcome(key), Some(Outcome::Unknown));
}

#[test]
fn unanswered_start_runs_nowhere_else_until_stopped() {
    let mut sim = Simulation::new(3).take_over();
    sim.target(0).fault = Fault::LosesStartReplies;
    sim.target(1).fault = Fault::LosesStartReplies;
    let key = sim.submit(submission(1, URGENT, 6, ms(60)));
    sim.run(ms(500));
    assert_eq!(sim.duplicate_runs, []);
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once: the first start request was executed but not
/// answered, the second could not be sent, and the task was started elsewhere at once.
#[test]
fn start_sent_twice_runs_nowhere_else_until_stopped() {
    let mut sim = Simulation::new(3).take_over();
    sim.target(0).fault = Fault::UnreachableAfterStart;
    let key = sim.submit(submission(1, URGENT, 6, ms(60)));
    sim.run(ms(400));
    assert_eq!(sim.duplicate_runs, []);
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

#[test]
fn only_jobs_without_a_start_are_refused() {
    let mut sim = Simulation::new(1).take_over();
    let first = sim.submit(submission(1, LONG, 2, ms(900)));
    let second = sim.submit(submission(2, LONG, 2, ms(900)));
    sim.run(ms(10));
    assert_eq!(sim.outcome(first), None);
    assert!(matches!(sim.outcome(second), Some(Outcome::NotRun { refusal: Refusal::TooLate, .. })));
    assert_eq!(sim.start_count(), 2);
}

#[test]
fn cancel_stops_runs_and_defers_the_same_job_id() {
    let mut sim = Simulation::new(2).take_over();
    let first = sim.submit(submission(1, LONG, 2, ms(600)));
    sim.run(ms(20));
    sim.dispatcher.cancel(first, sim.now);
    sim.process_actions();
    let again = sim.submit(submission(1, LONG, 2, ms(100)));
    sim.run(ms(400));
    assert_eq!(sim.duplicate_runs, []);
    assert_eq!(sim.outcome(again), Some(Outcome::Completed));
}

#[test]
fn same_id_joins_a_job_in_progress() {
    let mut sim = Simulation::new(1).take_over();
    let first = sim.submit(submission(1, URGENT, 1, ms(60)));
    let again = sim.submit(submission(1, URGENT, 1, ms(60)));
    sim.dispatcher.cancel(first, sim.now);
    sim.run(ms(70));
    assert_eq!(sim.outcome(again), Some(Outcome::Completed));
    assert_eq!(sim.start_count(), 1);
}

#[test]
fn hanging_run_is_restarted_on_another_target() {
    let mut sim = Simulation::new(2).take_over();
    sim.target(0).fault = Fault::HangsRuns;
    let key = sim.submit(submission(1, URGENT, 4, ms(60)));
    sim.run(ms(600));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.duplicate_runs, []);
}

#[test]
fn run_that_progresses_slowly_is_no_straggler() {
    let mut sim = Simulation::new(2).take_over();
    let mut long = submission(1, LONG, 1, ms(100));
    long.spec = "700".into();
    let key = sim.submit(long);
    sim.run(ms(720));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.start_count(), 1);
}

#[test]
fn run_that_ends_too_late_abandons_its_job_at_once() {
    let mut sim = Simulation::new(1).take_over();
    let mut long = submission(1, LONG, 1, ms(600));
    long.spec = "4000".into();
    let key = sim.submit(long);
    sim.run(ms(700));
    assert_eq!(sim.outcome(key), Some(Outcome::Unknown));
}

/// A target fails everything that it starts: a task that failed there is repeated elsewhere, even
/// if the target is the only free one.
#[test]
fn failed_task_is_repeated_on_another_target() {
    let mut sim = Simulation::new(2).take_over();
    sim.target(0).fault = Fault::FailsRuns;
    let key = sim.submit(submission(1, URGENT, 4, ms(60)));
    sim.run(ms(200));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert!(sim.target(0).starts.len() <= 2, "{}", sim.target(0).starts.len());
}
