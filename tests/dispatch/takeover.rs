//! What a successor may start while runs of its predecessor are left, also on targets that its list
//! lacks or that it doesn't reach.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission, target_info};
use cranberrytray::state::job_submission::{CallerJobId, Outcome, Refusal, TaskId};

fn task(job: u64) -> TaskId {
    TaskId { job: CallerJobId::new(job), step: 0, index: 0 }
}

fn is_closed(outcome: Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::NotRun { refusal: Refusal::Closed, .. }))
}

/// Guards against runs on a target that the next dispatcher doesn't know: a busy target that is
/// missing from the list for good was used until it had no runs, which under load never happened.
#[test]
fn target_missing_from_list_gets_no_start() {
    let mut sim = Simulation::new(2).take_over();
    let first = sim.submit(submission(1, LONG, 4, ms(400)));
    sim.run(ms(100));
    sim.unlist_target(0);
    let starts = [sim.target(0).starts.len(), sim.target(1).starts.len()];
    for id in 2..12 {
        sim.submit(submission(id, URGENT, 1, ms(60)));
        sim.run(ms(80));
    }
    assert_eq!(sim.target(0).starts.len(), starts[0]);
    assert!(sim.target(1).starts.len() > starts[1]);
    assert_eq!(sim.outcome(first), Some(Outcome::Completed), "its runs there go on");
}

/// Guards against two runs of a task at once: a dispatcher regarded the leases of a rival as expired
/// 0.96 s after its own election, though the rival had renewed them on a target that only it reached
/// until the entry VM moved on.
#[test]
fn resumed_job_waits_for_leases_that_a_rival_renewed() {
    for elected_before in [ms(0), ms(500), ms(950), ms(1_200), ms(5_000)] {
        for is_listed in [true, false] {
            let mut sim = Simulation::new(2);
            sim.list_status.is_complete = is_listed;
            sim.target(0).fault = Fault::Unreachable;
            sim.publish_targets();
            if !is_listed {
                sim.unlist_target(0);
            }
            sim.run(elected_before);
            let now = sim.now;
            sim.target(0).add_earlier_run(task(7), ms(1_400), now);
            let key = sim.submit_with(submission(7, LONG, 1, ms(60)), false, true);
            sim.run(ms(1_400));
            let case = format!("elected {elected_before:?} before, listed: {is_listed}");
            assert_eq!(sim.duplicate_runs, [], "{case}");
            assert_eq!(sim.outcome(key), Some(Outcome::Completed), "{case}");
        }
    }
}

/// The successor has all targets: a resumed job needn't wait for leases.
#[test]
fn resumed_job_is_started_once_all_targets_are_taken_over() {
    let mut sim = Simulation::new(2);
    sim.publish_targets();
    sim.run(ms(3_000));
    let key = sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true);
    sim.run(ms(100));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once in a handover: the leaving dispatcher forgot a target that it
/// had not taken over and, as all others were taken over, started a job that still ran there. The job is
/// the successor's.
#[test]
fn resumed_job_is_not_started_after_a_target_was_released_in_a_handover() {
    let mut sim = Simulation::new(2);
    let now = sim.now;
    sim.target(0).fault = Fault::Unreachable;
    sim.target(0).add_earlier_run(task(7), ms(900), now);
    sim.publish_targets();
    sim.run(ms(100));
    let own = sim.submit(submission(1, LONG, 1, ms(1_400)));
    let resumed = sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true);
    sim.run(ms(200));
    assert_eq!(sim.begin_handover(), [target_info(1).id], "it has a run");
    assert!(is_closed(sim.outcome(resumed)));
    sim.run(ms(1_400));
    assert_eq!((sim.duplicate_runs.len(), sim.start_count()), (0, 1));
    assert_eq!(sim.outcome(own), Some(Outcome::Completed));
}

/// Guards against the same on a target whose entry returns to the list during the handover: the leaving
/// dispatcher takes no new target over, but the list is complete again.
#[test]
fn resumed_job_is_not_started_after_a_target_was_listed_in_a_handover() {
    let mut sim = Simulation::new(2);
    sim.list_status.is_complete = false;
    let now = sim.now;
    sim.target(0).add_earlier_run(task(7), ms(900), now);
    let returning = sim.unlist_target(0);
    sim.run(ms(100));
    let own = sim.submit(submission(1, LONG, 1, ms(1_400)));
    let resumed = sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true);
    sim.run(ms(200));
    sim.begin_handover();
    let late = sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true);
    assert!(is_closed(sim.outcome(resumed)) && is_closed(sim.outcome(late)));
    sim.list_status.is_complete = true;
    sim.list_target(returning);
    sim.run(ms(1_400));
    assert_eq!((sim.duplicate_runs.len(), sim.start_count()), (0, 1));
    assert_eq!(sim.outcome(own), Some(Outcome::Completed));
}
