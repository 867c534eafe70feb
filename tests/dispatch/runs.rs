//! Runs of a job: completion, failure, lost messages, restarts and cancellation.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission};
use cranberrytray::{
    coordination::dispatch::LogEvent,
    state::job_submission::{Outcome, Refusal},
};

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

/// Guards against two jobs for one id: a job is submitted twice while runs of an earlier submission
/// are still being stopped.
#[test]
fn deferred_submissions_of_one_id_become_one_job() {
    let mut sim = Simulation::new(2).take_over();
    let first = sim.submit(submission(1, LONG, 2, ms(600)));
    sim.run(ms(20));
    sim.dispatcher.cancel(first, sim.now);
    sim.process_actions();
    let again = [1, 2].map(|_| sim.submit(submission(1, LONG, 2, ms(100))));
    sim.run(ms(400));
    assert_eq!(sim.duplicate_runs, []);
    assert_eq!(again.map(|key| sim.outcome(key)), [Some(Outcome::Completed); 2]);
    assert_eq!(sim.start_count(), 4);
}

#[test]
fn deferred_submissions_of_one_id_are_cancelled_one_by_one() {
    let mut sim = Simulation::new(2);
    let keys = [1, 2].map(|_| sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true));
    sim.dispatcher.cancel(keys[0], sim.now);
    sim.publish_targets();
    sim.run(ms(300));
    assert_eq!(keys.map(|key| sim.outcome(key)), [None, Some(Outcome::Completed)]);

    let mut sim = Simulation::new(2);
    let keys = [1, 2].map(|_| sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true));
    keys.iter().for_each(|key| sim.dispatcher.cancel(*key, sim.now));
    sim.publish_targets();
    sim.run(ms(1_200));
    assert_eq!((sim.start_count(), sim.dispatcher.open_jobs()), (0, 0));
}

/// Guards against work that nobody waits for: all submissions of a job are cancelled, in either
/// order.
#[test]
fn joined_submissions_cancelled_in_either_order_stop_the_job() {
    for order in [[0, 1], [1, 0]] {
        let mut sim = Simulation::new(1).take_over();
        let keys = [1, 2].map(|_| sim.submit(submission(1, LONG, 2, ms(600))));
        sim.run(ms(20));
        sim.dispatcher.cancel(keys[order[0]], sim.now);
        sim.process_actions();
        sim.run(ms(20));
        assert_eq!(sim.target(0).running(), 2, "the other submission still waits");
        sim.dispatcher.cancel(keys[order[1]], sim.now);
        sim.process_actions();
        sim.run(ms(80));
        assert_eq!(sim.target(0).running(), 0, "{order:?}");
        assert_eq!(sim.dispatcher.open_jobs(), 0);
    }
}

/// Both tasks that a target runs for one job fail there: two faults, which eject it.
#[test]
fn each_failure_of_a_job_counts_as_a_fault_of_its_target() {
    let mut sim = Simulation::new(4).take_over();
    sim.target(0).fault = Fault::FailsRuns;
    let key = sim.submit(submission(1, URGENT, 8, ms(60)));
    sim.run(ms(100));
    let ejected = sim.log.iter().filter(|(_, e)| matches!(e, LogEvent::Ejected { .. })).count();
    assert_eq!(ejected, 1);
    sim.run(ms(200));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// A job fails wherever it runs: only the first of its targets is blamed.
#[test]
fn job_that_fails_everywhere_blames_one_target() {
    let mut sim = Simulation::new(4).take_over();
    sim.targets.values_mut().for_each(|target| target.fault = Fault::FailsRuns);
    sim.submit(submission(1, URGENT, 2, ms(60)));
    sim.run(ms(100));
    let ejected = sim.log.iter().filter(|(_, e)| matches!(e, LogEvent::Ejected { .. })).count();
    assert!(ejected <= 1, "{ejected}");
}
