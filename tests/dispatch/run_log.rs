//! Log of unusual runs: what an operator needs to tell why a task ran twice.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission, target_info};
use cranberrytray::{
    coordination::dispatch::{
        LogEvent,
        run_log::{ClosedRun, FoundRun, RunHistory},
    },
    fleet::decision_log::{DecisionLog, kind},
    state::{
        job_submission::{CallerJobId, RunNumber, TaskId},
        start_answer::StartAnswer,
        target::{
            EndedRun, FencingToken, LossCause, RunOutcome, TargetId, TargetIncarnation,
            TargetReport, TargetTime,
        },
        time::Moment,
    },
};
use indexmap::IndexSet;

fn task(job: u64) -> TaskId {
    TaskId { job: CallerJobId::new(job), step: 0, index: 0 }
}

fn target(n: usize) -> TargetId {
    target_info(n).id
}

/// Returns how the runs of which a history was logged were closed.
fn histories(sim: &Simulation) -> Vec<(TaskId, RunOutcome, RunHistory)> {
    let history_of = |(_, event): &(Moment, LogEvent)| match event {
        LogEvent::RunEnded { task, outcome, history: Some(history), .. } => {
            Some((*task, *outcome, (**history).clone()))
        }
        _ => None,
    };
    sim.log.iter().filter_map(history_of).collect()
}

/// Returns the logged runs that were closed, or never started, by the dispatcher.
fn late_runs(sim: &Simulation) -> Vec<LogEvent> {
    let events = sim.log.iter().map(|(_, event)| event);
    events.filter(|event| matches!(event, LogEvent::LateRun { .. })).cloned().collect()
}

fn closed_run(event: &LogEvent) -> &ClosedRun {
    let LogEvent::LateRun { closed: Some((_, closed)), .. } = event else {
        panic!("not a closed run: {event:?}")
    };
    closed
}

/// Starts a job with one task on the first of two targets, where all requests for it are lost, and
/// runs until the lease has expired.
fn run_until_expiry() -> Simulation {
    let mut sim = Simulation::new(2).take_over();
    sim.target(1).fault = Fault::Unresponsive;
    sim.run(ms(600));
    sim.target(0).fault = Fault::Unresponsive;
    sim.submit(submission(1, LONG, 1, ms(1_400)));
    sim.run(ms(1_200));
    sim
}

/// Guards against a run that is closed without a word on how often its start and stop were sent and
/// what was known of its target's clock.
#[test]
fn run_closed_by_expiry_is_logged_with_its_requests() {
    let sim = run_until_expiry();
    let histories = histories(&sim);
    assert_eq!(histories.len(), 1, "{:?}", sim.log);
    let (id, outcome, history) = &histories[0];
    assert_eq!((*id, *outcome), (task(1), RunOutcome::Lost(LossCause::Expired)));
    assert_eq!(history.token, FencingToken(100));
    assert_eq!((history.starts, history.start_answer), (2, StartAnswer::Unanswered));
    assert!(history.first_sent >= history.last_sent);
    assert!(history.stops > 1 && !history.stop_confirmed, "{history:?}");
    assert!(history.stop_sent.is_some_and(|since| since <= history.first_sent));
    assert!(history.lease_left_ms < 0 && history.lease_left_ms >= -50, "{history:?}");
    assert!(history.lease_end > TargetTime(0) && history.clock_age.is_some());
    assert!(history.unresponsive && history.last_report > ms(500), "{history:?}");
    assert_eq!(sim.dispatcher.counts().unusual_runs.expired_silent, 1);
}

/// Guards against an unconfirmed stop that ends by the lease of a target in service, with nothing in
/// the log but the end.
#[test]
fn run_closed_by_expiry_on_a_responsive_target_is_told_apart() {
    let mut sim = Simulation::new(1).take_over();
    let key = sim.submit(submission(1, LONG, 1, ms(1_400)));
    sim.run(ms(50));
    sim.target(0).fault = Fault::LosesStopRequests;
    sim.dispatcher.cancel(key, sim.now);
    sim.process_actions();
    sim.run(ms(1_300));
    let histories = histories(&sim);
    let (_, outcome, history) = &histories[0];
    // The target may report the end of the lease before it has passed on the dispatcher's clock.
    assert!(matches!(outcome, RunOutcome::Lost(LossCause::Expired | LossCause::Reported)));
    assert_eq!((history.starts, history.start_answer), (1, StartAnswer::Started));
    assert!(!history.unresponsive && !history.stop_confirmed && history.stops > 1);
    let expired = u64::from(*outcome == RunOutcome::Lost(LossCause::Expired));
    assert_eq!(sim.dispatcher.counts().unusual_runs.expired_answering, expired);
}

/// Guards against a start that is carried out after its run was closed, stopped without a line: the
/// task may have run twice.
#[test]
fn closed_run_found_running_is_logged_once() {
    let mut sim = run_until_expiry();
    let now = sim.now;
    sim.target(0).add_earlier_run(task(1), ms(800), now);
    sim.target(0).fault = Fault::LosesStopRequests;
    sim.run(ms(300));
    let events = late_runs(&sim);
    assert_eq!(events.len(), 1, "{events:?}");
    let LogEvent::LateRun { task: id, target: on, state, clock, token, .. } = &events[0] else {
        panic!()
    };
    assert_eq!((*id, on, *token), (task(1), &target(0), FencingToken(100)));
    assert!(matches!(state, FoundRun::Running { .. }));
    let closed = closed_run(&events[0]);
    assert_eq!(closed.outcome, RunOutcome::Lost(LossCause::Expired));
    assert_eq!(closed.history.starts, 2);
    assert!(*clock > closed.history.lease_end, "{clock} {closed}");
    assert_eq!(sim.dispatcher.counts().unusual_runs.late, 1);
}

/// Guards against a late run whose result is reported before it was ever seen running.
#[test]
fn closed_run_found_ended_is_logged() {
    let mut sim = run_until_expiry();
    let now = sim.now;
    sim.target(0).add_earlier_run(task(1), ms(1), now);
    sim.run(ms(1));
    sim.target(0).fault = Fault::None;
    sim.run(ms(200));
    let events = late_runs(&sim);
    assert_eq!(events.len(), 1, "{events:?}");
    let LogEvent::LateRun { state, .. } = &events[0] else { panic!() };
    assert_eq!(*state, FoundRun::Ended(RunOutcome::Done));
    assert_eq!(closed_run(&events[0]).history.starts, 2);
}

/// Guards against false alarms: a result that is reported after the stop of its run was confirmed is
/// older than the stop.
#[test]
fn result_after_a_confirmed_stop_is_not_logged() {
    let mut sim = Simulation::new(1).take_over();
    let key = sim.submit(submission(1, LONG, 1, ms(1_400)));
    sim.run(ms(50));
    sim.dispatcher.cancel(key, sim.now);
    sim.process_actions();
    sim.run(ms(100));
    let ended =
        EndedRun { sequence: 1_000, task: task(1), run: RunNumber(1), outcome: RunOutcome::Done };
    let now = sim.now;
    let clock = sim.target(0).clock(now);
    let incarnation = Some(TargetIncarnation(1));
    let report = TargetReport { clock, incarnation, ended: vec![ended], ..TargetReport::default() };
    sim.dispatcher.on_lease_renewal_reply(&target(0), now, Ok(report), now);
    sim.process_actions();
    assert_eq!(late_runs(&sim), []);
}

/// Guards against a late run that can't be matched with the other run of its task.
#[test]
fn late_run_names_the_target_of_the_other_run() {
    let mut sim = run_until_expiry();
    sim.target(1).fault = Fault::None;
    sim.run(ms(400));
    sim.submit(submission(1, LONG, 1, ms(900)));
    sim.run(ms(20));
    let now = sim.now;
    sim.target(0).add_earlier_run(task(1), ms(800), now);
    sim.target(0).fault = Fault::None;
    sim.run(ms(200));
    let events = late_runs(&sim);
    let LogEvent::LateRun { target: on, elsewhere, .. } = &events[0] else { panic!() };
    assert_eq!((on, elsewhere), (&target(0), &Some(target(1))));
}

/// Guards against a start that a restarted target carries out for its former incarnation, which the
/// log doesn't tell from one that came late.
#[test]
fn run_on_a_new_incarnation_is_logged_with_both_incarnations() {
    let mut sim = run_until_expiry();
    let now = sim.now;
    sim.target(0).restart(now);
    sim.target(0).add_earlier_run(task(1), ms(800), now);
    sim.run(ms(200));
    let events = late_runs(&sim);
    assert_eq!(events.len(), 1, "{events:?}");
    let LogEvent::LateRun { incarnation, .. } = &events[0] else { panic!() };
    assert_eq!(*incarnation, TargetIncarnation(2));
    assert_eq!(closed_run(&events[0]).history.incarnation, TargetIncarnation(1));
}

/// Guards against a restart that is logged without what was at stake: the open runs and the requests
/// to the former incarnation that may reach the new one.
#[test]
fn restart_is_logged_with_open_runs_and_unanswered_requests() {
    let mut sim = Simulation::new(1).take_over();
    sim.submit(submission(1, LONG, 1, ms(1_400)));
    sim.run(ms(20));
    sim.target(0).fault = Fault::Unresponsive;
    sim.submit(submission(2, URGENT, 1, ms(800)));
    let now = sim.now;
    sim.target(0).restart(now);
    sim.target(0).next_renewal = now;
    sim.run(ms(5));
    let events = sim.log.iter().map(|(_, event)| event);
    let restarts: Vec<_> =
        events.filter(|event| matches!(event, LogEvent::Restarted { .. })).collect();
    assert_eq!(restarts.len(), 1);
    let LogEvent::Restarted { incarnation, earlier, runs, unanswered, lease_left_ms, .. } =
        restarts[0]
    else {
        panic!()
    };
    assert_eq!((*earlier, *incarnation), (TargetIncarnation(1), TargetIncarnation(2)));
    assert_eq!((*runs, *unanswered), (2, 1));
    assert!(*lease_left_ms > 500, "{lease_left_ms}");
}

/// Guards against runs of an earlier dispatcher, which every takeover finds, that are logged as if
/// they were late.
#[test]
fn run_of_an_earlier_dispatcher_is_logged_once_and_not_as_late() {
    let mut sim = Simulation::new(1);
    let now = sim.now;
    sim.target(0).add_earlier_run(task(7), ms(800), now);
    sim.publish_targets();
    sim.run(ms(200));
    let events = sim.log.iter().map(|(_, event)| event);
    let earlier: Vec<_> = events.filter(|e| matches!(e, LogEvent::EarlierRun { .. })).collect();
    let token = FencingToken(100);
    let (task, run) = (task(7), RunNumber(1));
    assert_eq!(earlier, [&LogEvent::EarlierRun { task, run, target: target(0), token }]);
    assert_eq!(late_runs(&sim), []);
}

/// Guards against a run that another dispatcher started on a target after it was taken over, stopped
/// without a line.
#[test]
fn run_that_was_not_started_here_is_logged() {
    let mut sim = Simulation::new(1).take_over();
    let now = sim.now;
    sim.target(0).add_earlier_run(task(7), ms(800), now);
    sim.run(ms(400));
    let events = late_runs(&sim);
    assert!(matches!(&events[..], [LogEvent::LateRun { closed: None, .. }]), "{events:?}");
    assert_eq!(sim.dispatcher.counts().unusual_runs.unknown, 1);
}

/// Guards against a slow clock of a target that shows nowhere: leases granted by the estimate of the
/// clock end later than this dispatcher believes.
#[test]
fn clock_lead_is_the_estimate_minus_the_latest_reading() {
    let mut sim = Simulation::new(1).take_over();
    let now = sim.now;
    let latest = sim.target(0).clock(now);
    let incarnation = Some(TargetIncarnation(1));
    for clock in [latest, TargetTime(latest.0 - 300)] {
        let report = TargetReport { clock, incarnation, ..TargetReport::default() };
        sim.dispatcher.on_lease_renewal_reply(&target(0), now, Ok(report), now);
    }
    assert_eq!(sim.dispatcher.max_clock_lead(), ms(300));
    sim.target(0).fault = Fault::Unresponsive;
    sim.submit(submission(1, LONG, 1, ms(1_400)));
    sim.run(ms(1_300));
    assert_eq!(histories(&sim)[0].2.clock_lead_ms, 300);
}

/// Guards against a log that grows with the number of runs: usual runs leave no history.
#[test]
fn usual_runs_leave_no_history() {
    let mut sim = Simulation::new(2).take_over();
    for id in 1..10 {
        sim.submit(submission(id, URGENT, 2, ms(60)));
        sim.run(ms(100));
    }
    let key = sim.submit(submission(20, LONG, 2, ms(1_000)));
    sim.run(ms(50));
    sim.dispatcher.cancel(key, sim.now);
    sim.process_actions();
    sim.run(ms(300));
    assert_eq!(histories(&sim), []);
    assert_eq!(late_runs(&sim), []);
}

/// Guards against a line on a task that may run twice, left out because many common lines were
/// written in the same second.
#[test]
fn common_lines_displace_no_rare_ones() {
    let sim = run_until_expiry();
    let mut late = run_until_expiry();
    let now = late.now;
    late.target(0).add_earlier_run(task(1), ms(800), now);
    late.target(0).fault = Fault::None;
    late.run(ms(100));
    let is_rare = |event: &&LogEvent| {
        matches!(event, LogEvent::LateRun { .. } | LogEvent::RunEnded { history: Some(_), .. })
    };
    let rare: IndexSet<&str> =
        late.log.iter().map(|(_, event)| event).filter(is_rare).map(kind).collect();
    assert_eq!(rare, IndexSet::from(["run expired without an answer", "late run"]));
    let mut log = DecisionLog::default();
    let common = sim.log.iter().map(|(_, event)| event).filter(|event| !is_rare(event));
    for event in common {
        for _ in 0..1_000 {
            log.allows(kind(event), now);
        }
    }
    assert!(!log.allows("admitted", now));
    for kind in rare {
        assert!(log.allows(kind, now), "{kind}");
    }
}
