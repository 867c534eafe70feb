//! What becomes of the runs of a job.

use crate::simulation::{LONG, Mood, URGENT, World, ms, work};
use cranberrytray::state::work::{Outcome, Refusal};

#[test]
fn job_completes_when_all_tasks_have_ended() {
    let mut world = World::new(2).started();
    let key = world.submit(work(1, URGENT, 4, ms(60)));
    world.run(ms(50));
    assert_eq!(world.outcome(key), None);
    world.run(ms(20));
    assert_eq!(world.outcome(key), Some(Outcome::Completed));
}

#[test]
fn job_fails_after_its_last_attempt() {
    let mut world = World::new(1).started();
    world.target(0).mood = Mood::Fails;
    let key = world.submit(work(1, URGENT, 1, ms(60)));
    world.run(ms(40));
    assert_eq!(world.outcome(key), Some(Outcome::Failed));
    assert_eq!(world.starts(), 2);
}

#[test]
fn job_with_lost_runs_does_not_fail() {
    let mut world = World::new(1).started();
    let key = world.submit(work(1, LONG, 1, ms(900)));
    world.run(ms(100));
    world.target(0).mood = Mood::Silent;
    world.run(ms(1_500));
    assert_eq!(world.outcome(key), Some(Outcome::Unknown));
}

#[test]
fn start_without_answer_runs_nowhere_else_until_stopped() {
    let mut world = World::new(3).started();
    world.target(0).mood = Mood::LosesStartAnswers;
    world.target(1).mood = Mood::LosesStartAnswers;
    let key = world.submit(work(1, URGENT, 6, ms(60)));
    world.run(ms(500));
    assert_eq!(world.doubles, []);
    assert_eq!(world.outcome(key), Some(Outcome::Completed));
}

/// Seen on a small twin with weak links: the first start had been carried out, the second could not be
/// sent, and the task was started elsewhere at once.
#[test]
fn start_sent_twice_runs_nowhere_else_until_stopped() {
    let mut world = World::new(3).started();
    world.target(0).mood = Mood::BreaksAfterStart;
    let key = world.submit(work(1, URGENT, 6, ms(60)));
    world.run(ms(400));
    assert_eq!(world.doubles, []);
    assert_eq!(world.outcome(key), Some(Outcome::Completed));
}

#[test]
fn refusal_names_only_jobs_that_never_started() {
    let mut world = World::new(1).started();
    let first = world.submit(work(1, LONG, 2, ms(900)));
    let second = world.submit(work(2, LONG, 2, ms(900)));
    world.run(ms(10));
    assert_eq!(world.outcome(first), None);
    assert!(matches!(
        world.outcome(second),
        Some(Outcome::NotRun { refusal: Refusal::TooLate, .. })
    ));
    assert_eq!(world.starts(), 2);
}

#[test]
fn cancel_stops_what_runs_and_the_same_id_waits_for_it() {
    let mut world = World::new(2).started();
    let first = world.submit(work(1, LONG, 2, ms(600)));
    world.run(ms(20));
    world.dispatch.cancel(first, world.now);
    world.act();
    let again = world.submit(work(1, LONG, 2, ms(100)));
    world.run(ms(400));
    assert_eq!(world.doubles, []);
    assert_eq!(world.outcome(again), Some(Outcome::Completed));
}

#[test]
fn same_id_joins_a_job_in_progress() {
    let mut world = World::new(1).started();
    let first = world.submit(work(1, URGENT, 1, ms(60)));
    let again = world.submit(work(1, URGENT, 1, ms(60)));
    world.dispatch.cancel(first, world.now);
    world.run(ms(70));
    assert_eq!(world.outcome(again), Some(Outcome::Completed));
    assert_eq!(world.starts(), 1);
}

#[test]
fn hanging_run_is_restarted_on_another_target() {
    let mut world = World::new(2).started();
    world.target(0).mood = Mood::Hangs;
    let key = world.submit(work(1, URGENT, 4, ms(60)));
    world.run(ms(600));
    assert_eq!(world.outcome(key), Some(Outcome::Completed));
    assert_eq!(world.doubles, []);
}

#[test]
fn run_that_progresses_slowly_is_no_straggler() {
    let mut world = World::new(2).started();
    let mut long = work(1, LONG, 1, ms(100));
    long.spec = "700".into();
    let key = world.submit(long);
    world.run(ms(720));
    assert_eq!(world.outcome(key), Some(Outcome::Completed));
    assert_eq!(world.starts(), 1);
}

#[test]
fn run_that_ends_too_late_is_given_up_at_once() {
    let mut world = World::new(1).started();
    let mut long = work(1, LONG, 1, ms(600));
    long.spec = "4000".into();
    let key = world.submit(long);
    world.run(ms(700));
    assert_eq!(world.outcome(key), Some(Outcome::Unknown));
}
