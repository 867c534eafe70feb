//! Ownership of targets: takeover, lease renewal, unresponsive and ejected targets.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission, target_info};
use cranberrytray::{
    coordination::dispatch::replies::LeaseRenewalError,
    state::{
        job_submission::{CallerJobId, Outcome, TaskId},
        target::{FencingToken, TargetId, TargetIncarnation, TargetReport},
    },
};

fn task(job: u64) -> TaskId {
    TaskId { job: CallerJobId::new(job), step: 0, index: 0 }
}

#[test]
fn takeover_stops_runs_of_an_earlier_dispatcher() {
    let mut sim = Simulation::new(2);
    let now = sim.now;
    sim.target(0).add_earlier_run(task(7), ms(800), now);
    sim.publish_targets();
    sim.run(ms(100));
    assert_eq!(sim.target(0).running(), 0);
    assert_eq!(sim.target(0).fencing_token, FencingToken(100));
}

/// Guards against two runs of a task at once after a dispatcher was replaced: a target no longer
/// lists a run that is being stopped, although it still exists.
#[test]
fn resumed_job_waits_until_the_earlier_run_has_ended() {
    let mut sim = Simulation::new(2);
    let now = sim.now;
    sim.target(0).add_earlier_run(task(7), ms(800), now);
    sim.publish_targets();
    let key = sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true);
    sim.run(ms(250));
    assert_eq!(sim.duplicate_runs, []);
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once during a handover: the leaving dispatcher renews
/// leases on the targets that it still uses, so these last longer than one lease after the
/// successor's start.
#[test]
fn resumed_job_waits_for_targets_that_the_predecessor_kept() {
    let mut sim = Simulation::new(2);
    let kept: TargetId = target_info(0).id;
    sim.dispatcher.set_predecessor_targets(vec![kept.clone()], sim.now);
    sim.publish_targets();
    for _ in 0..20 {
        sim.run(ms(60));
        let end = sim.now + ms(900);
        sim.target(0).lease_end = end;
        sim.dispatcher.set_predecessor_targets(vec![kept.clone()], sim.now);
    }
    let now = sim.now;
    sim.target(0).add_earlier_run(task(7), ms(700), now);
    let key = sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true);
    sim.run(ms(40));
    sim.dispatcher.set_predecessor_targets(Vec::new(), sim.now);
    sim.publish_targets();
    sim.run(ms(400));
    assert_eq!(sim.duplicate_runs, []);
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once when entries in the store had expired before a VM
/// started: it took over only a part of the targets and restarted a job that still ran on another
/// one.
#[test]
fn resumed_job_waits_for_leases_where_the_list_may_lack_targets() {
    let mut sim = Simulation::new(2);
    sim.list_status.is_complete = false;
    sim.publish_targets();
    let key = sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true);
    sim.run(ms(900));
    assert_eq!((sim.start_count(), sim.outcome(key)), (0, None));
    sim.run(ms(300));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against starts on leaving targets: a VM took its zone over with a list that was seconds
/// old.
#[test]
fn new_dispatcher_waits_for_the_list() {
    let mut sim = Simulation::new(2);
    sim.list_status.is_current = false;
    sim.publish_targets();
    sim.submit(submission(1, URGENT, 2, ms(60)));
    sim.run(ms(150));
    assert_eq!(sim.start_count(), 0);
    sim.list_status.is_current = true;
    sim.change_target(0, |info| info.draining = true);
    sim.submit(submission(2, URGENT, 2, ms(60)));
    sim.run(ms(100));
    assert_eq!(sim.target(0).starts.len(), 0);
    assert_eq!(sim.target(1).starts.len(), 2);
}

/// The store can't be read: the dispatcher uses the last list that was read.
#[test]
fn new_dispatcher_uses_the_old_list_if_none_can_be_read() {
    let mut sim = Simulation::new(2);
    sim.list_status.is_current = false;
    sim.publish_targets();
    sim.run(ms(300));
    let key = sim.submit(submission(1, URGENT, 2, ms(60)));
    sim.run(ms(100));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// A stop that is never confirmed: no further task is started on the target, its leases expire, and
/// the task runs again only then.
#[test]
fn unconfirmed_stop_ends_by_the_lease() {
    let mut sim = Simulation::new(1).take_over();
    let key = sim.submit(submission(1, LONG, 1, ms(1_400)));
    sim.run(ms(50));
    sim.target(0).fault = Fault::LosesStopRequests;
    sim.dispatcher.cancel(key, sim.now);
    sim.process_actions();
    let again = sim.submit(submission(1, LONG, 1, ms(100)));
    let other = sim.submit(submission(2, URGENT, 1, ms(60)));
    sim.run(ms(300));
    assert_eq!(sim.start_count(), 2, "the second job started before the stop was overdue");
    sim.run(ms(1_200));
    assert_eq!(sim.duplicate_runs, []);
    assert_eq!(sim.outcome(other), Some(Outcome::Completed));
    assert_eq!(sim.outcome(again), Some(Outcome::Completed));
}

#[test]
fn draining_target_gets_no_start() {
    let mut sim = Simulation::new(2).take_over();
    sim.change_target(0, |info| info.draining = true);
    for id in 1..6 {
        sim.submit(submission(id, URGENT, 2, ms(60)));
        sim.run(ms(100));
    }
    assert_eq!(sim.target(0).starts.len(), 0);
    assert_eq!(sim.target(1).starts.len(), 10);
}

#[test]
fn unresponsive_target_gets_no_start_and_its_lease_is_awaited() {
    let mut sim = Simulation::new(2).take_over();
    let key = sim.submit(submission(1, LONG, 4, ms(500)));
    sim.run(ms(50));
    sim.target(0).fault = Fault::Unresponsive;
    let before = sim.target(0).starts.len();
    sim.run(ms(1_600));
    assert_eq!(sim.target(0).starts.len(), before);
    assert_eq!(sim.duplicate_runs, []);
    assert!(sim.outcome(key).is_some());
}

#[test]
fn one_lost_answer_does_not_make_a_target_unresponsive() {
    let mut sim = Simulation::new(1).take_over();
    sim.target(0).fault = Fault::Unresponsive;
    sim.run(ms(140));
    sim.target(0).fault = Fault::None;
    let key = sim.submit(submission(1, URGENT, 1, ms(60)));
    sim.run(ms(220));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

#[test]
fn suspended_process_abandons_jobs_and_takes_targets_over_again() {
    let mut sim = Simulation::new(1).take_over();
    let key = sim.submit(submission(1, LONG, 1, ms(500)));
    sim.run(ms(50));
    sim.now = sim.now + ms(3_000);
    let fencing_token = FencingToken(200);
    sim.target(0).fencing_token = fencing_token;
    sim.dispatcher.tick(sim.now);
    sim.process_actions();
    assert_eq!(sim.outcome(key), Some(Outcome::Unknown));
    let late = sim.submit(submission(2, URGENT, 1, ms(60)));
    sim.run(ms(100));
    assert_eq!(sim.target(0).starts.len(), 1);
    assert_ne!(sim.outcome(late), Some(Outcome::Completed));
}

#[test]
fn failing_target_is_ejected() {
    let mut sim = Simulation::new(4).take_over();
    sim.target(0).fault = Fault::FailsRuns;
    let mut done = 0;
    for id in 1..60 {
        let key = sim.submit(submission(id, URGENT, 4, ms(60)));
        sim.run(ms(80));
        done += usize::from(sim.outcome(key) == Some(Outcome::Completed));
    }
    assert!(sim.target(0).starts.len() < 20, "{}", sim.target(0).starts.len());
    assert!(done > 50, "{done}");
}

/// Guards against two runs of a task at once: a target restarts under its old name and accepts a
/// start that was meant for its former incarnation, before its first report.
#[test]
fn run_on_a_restarted_target_runs_nowhere_else() {
    for learned_from_list in [false, true] {
        let mut sim = Simulation::new(2).take_over();
        sim.run(ms(310));
        let now = sim.now;
        sim.target(0).restart(now);
        let key = sim.submit(submission(1, LONG, 4, ms(400)));
        assert_eq!(sim.target(0).running(), 2, "started before the restart is known");
        if learned_from_list {
            sim.run(ms(5));
            sim.change_target(0, |info| info.incarnation = TargetIncarnation(2));
        }
        sim.run(ms(600));
        assert_eq!(sim.duplicate_runs, []);
        assert_eq!(sim.outcome(key), Some(Outcome::Completed));
        assert_eq!(sim.start_count(), 4, "no run is lost");
    }
}

/// The runs of a target end when it restarts: their tasks are repeated once that is known.
#[test]
fn runs_of_a_former_incarnation_are_repeated() {
    let mut sim = Simulation::new(2).take_over();
    let key = sim.submit(submission(1, LONG, 4, ms(300)));
    sim.run(ms(50));
    let now = sim.now;
    sim.target(0).restart(now);
    sim.run(ms(900));
    assert_eq!(sim.duplicate_runs, []);
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.start_count(), 6);
}

/// A report of the former incarnation that arrives late says nothing of the present one.
#[test]
fn late_report_of_a_former_incarnation_is_ignored() {
    for has_earlier_birth in [false, true] {
        let mut sim = Simulation::new(1).take_over();
        let requested_at = sim.now;
        match has_earlier_birth {
            true => sim.target(0).restart_with_earlier_birth(requested_at),
            false => sim.target(0).restart(requested_at),
        }
        sim.run(ms(620));
        let key = sim.submit(submission(1, LONG, 2, ms(300)));
        sim.run(ms(50));
        let id = target_info(0).id;
        let incarnation = Some(TargetIncarnation(1));
        let late = TargetReport { incarnation, ..TargetReport::default() };
        sim.dispatcher.on_lease_renewal_reply(&id, requested_at, Ok(late), sim.now);
        sim.process_actions();
        sim.run(ms(400));
        assert_eq!((sim.outcome(key), sim.start_count()), (Some(Outcome::Completed), 2));
    }
}

/// A job that arrives before the first read of the list waits for it instead of being refused.
#[test]
fn job_waits_for_the_first_list() {
    let mut sim = Simulation::new(2);
    sim.list_status.is_current = false;
    let key = sim.submit(submission(1, URGENT, 2, ms(60)));
    sim.run(ms(30));
    assert_eq!(sim.outcome(key), None);
    sim.list_status.is_current = true;
    sim.publish_targets();
    sim.run(ms(120));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    // The store can't be read.
    let mut sim = Simulation::new(0);
    sim.list_status.is_current = false;
    let key = sim.submit(submission(1, URGENT, 2, ms(60)));
    sim.run(ms(300));
    assert!(matches!(sim.outcome(key), Some(Outcome::NotRun { .. })), "{:?}", sim.outcome(key));
}

/// Guards against two dispatchers of a zone that raise their tokens in turn, so that a task runs
/// twice: a target that had accepted the token shows that another dispatcher came later.
#[test]
fn fenced_reports_whether_the_target_had_accepted_the_token() {
    let mut sim = Simulation::new(2);
    sim.target(0).fencing_token = FencingToken(200);
    sim.publish_targets();
    sim.run(ms(20));
    let never_accepted = (TargetId::from("t0"), false);
    assert!(!sim.fenced.is_empty() && sim.fenced.iter().all(|fenced| *fenced == never_accepted));
    sim.fenced.clear();
    sim.target(1).fencing_token = FencingToken(200);
    sim.run(ms(400));
    assert!(sim.fenced.contains(&(TargetId::from("t1"), true)), "{:?}", sim.fenced);
}

/// Guards against a dispatcher that steps down in the middle of a handover: a target that its successor has
/// taken over rejects a request that was sent before.
#[test]
fn fenced_answer_of_a_target_handed_over_is_ignored() {
    let mut sim = Simulation::new(2).take_over();
    sim.dispatcher.begin_handover();
    sim.dispatcher.retain_targets(&[target_info(1).id]);
    let (sent, reply) = (sim.now, Err(LeaseRenewalError::Fenced));
    sim.dispatcher.on_lease_renewal_reply(&target_info(0).id, sent, reply, sim.now);
    sim.process_actions();
    assert_eq!(sim.fenced, []);
}
