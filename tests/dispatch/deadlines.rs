//! Deadlines of jobs whose callers wait longer than the timeout of their queue.

use crate::simulation::{Fault, LONG, Simulation, URGENT, config, ms, submission, target_info};
use cranberrytray::{
    coordination::dispatch::LogEvent,
    state::job_submission::{JobSubmission, MAX_TIME_TO_DEADLINE, Outcome},
};
use std::{sync::Arc, time::Duration};

/// A job of `count` long tasks that take seven times their declared run time, whose caller waits for
/// `patience`. The timeout of its queue is 1.5 s.
fn seven_times_longer(count: u32, patience: Duration) -> JobSubmission {
    let declared = submission(1, LONG, count, ms(760));
    JobSubmission { spec: "5320".into(), time_to_deadline: patience, ..declared }
}

/// Guards against ending jobs while their callers wait on: of the largest jobs, which run longer than the
/// timeout of their queue, less than half as many were served as of all.
#[test]
fn long_job_runs_while_its_caller_waits() {
    let mut sim = Simulation::new(4).take_over();
    let key = sim.submit(seven_times_longer(8, ms(20_000)));
    sim.run(ms(6_000));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.start_count(), 8, "no run was restarted");
    assert_eq!(sim.duplicate_runs, []);
}

/// Guards against the same while the operator shortens the timeout under open jobs.
#[test]
fn long_job_outlasts_a_shorter_timeout() {
    let mut sim = Simulation::new(5).take_over();
    let key = sim.submit(seven_times_longer(8, ms(20_000)));
    sim.run(ms(300));
    let mut shorter = config(2);
    shorter.queues.iter_mut().for_each(|queue| queue.timeout = ms(400));
    sim.dispatcher.set_config(Arc::new(shorter));
    let later = sim.submit(submission(2, URGENT, 2, ms(600)));
    sim.run(ms(6_000));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.outcome(later), Some(Outcome::Completed));
}

/// The log tells how long a caller would have waited on for a job that was given up.
#[test]
fn abandoned_job_logs_how_long_its_caller_waits() {
    let mut sim = Simulation::new(1).take_over();
    let key = sim.submit(seven_times_longer(2, ms(4_000)));
    sim.run(ms(100));
    sim.dispatcher.cancel(key, sim.now);
    sim.process_actions();
    let left = sim.log.iter().find_map(|(_, event)| match event {
        LogEvent::Abandoned { caller_left, .. } => Some(*caller_left),
        _ => None,
    });
    assert_eq!(left, Some(ms(3_900)));
}

/// A deferred submission is answered when its caller stops waiting.
#[test]
fn deferred_submission_expires_at_the_deadline_of_its_caller() {
    let mut sim = Simulation::new(1);
    let patient = JobSubmission { time_to_deadline: ms(4_000), ..submission(7, URGENT, 1, ms(60)) };
    let now = sim.now;
    let key = sim.submit_with(patient, false, true);
    sim.dispatcher.set_predecessor_targets(vec![target_info(0).id], now);
    sim.run(ms(4_200));
    let (outcome, at) = sim.answers[&key];
    assert_eq!(outcome, Outcome::Unknown);
    assert!(at - now >= ms(4_000) && at - now <= ms(4_025), "{:?}", at - now);
}

/// Guards against overflows and jobs that stay open for ever: callers name any deadline.
#[test]
fn deadline_of_a_job_is_limited() {
    let mut sim = Simulation::new(1).take_over();
    sim.target(0).fault = Fault::HangsRuns;
    let endless =
        JobSubmission { time_to_deadline: Duration::MAX, ..submission(1, LONG, 1, ms(60)) };
    let key = sim.submit(endless);
    sim.run(MAX_TIME_TO_DEADLINE + ms(50));
    assert!(matches!(sim.outcome(key), Some(Outcome::Unknown)), "{:?}", sim.outcome(key));
}
