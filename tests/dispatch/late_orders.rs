//! Orders that targets execute long after they were sent, or never: what is started must have ended
//! before the caller submits its job again elsewhere.

use crate::simulation::{Fault, LONG, Simulation, ms, submission, target_info};
use cranberrytray::{
    coordination::dispatch::{
        SubmissionKey, replies::StopReply, submitters::SubmitterId, timing::RunBounds,
    },
    state::{
        job_submission::{CallerJobId, Outcome, RunNumber, TaskId},
        target::{RunOutcome, TargetIncarnation},
    },
};
use std::time::Duration;

const SUBMITTER: SubmitterId = SubmitterId(1);

/// Submits a job for another VM, which was alive `silence` ago.
fn submit_for(
    sim: &mut Simulation,
    id: u64,
    run_time: Duration,
    silence: Duration,
) -> SubmissionKey {
    let (job, now) = (submission(id, LONG, 1, run_time), sim.now);
    let key = sim.dispatcher.submit_for(SUBMITTER, now - silence, job, false, false, now);
    sim.process_actions();
    key
}

/// Advances the time while heartbeats show that the submitter is alive.
fn run_with_heartbeats(sim: &mut Simulation, span: Duration) {
    let end = sim.now + span;
    while sim.now < end {
        sim.dispatcher.set_submitter_alive(SUBMITTER, sim.now);
        sim.run(ms(120).min(end - sim.now));
    }
}

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

/// Guards against two runs of a task at once: the silence after which an entry VM counts as lost and the
/// lease of a run whose stop is not answered took longer than its caller waits to submit again.
#[test]
fn run_of_lost_submitter_ends_before_its_job_is_submitted_again() {
    for phase in (0..320).step_by(10) {
        for lost_from in [0, 100, 300, 600] {
            let mut sim = Simulation::new(1).take_over();
            sim.run(ms(phase));
            let lost_at = sim.now;
            let key = submit_for(&mut sim, 1, ms(1_400), ms(0));
            sim.run(ms(lost_from));
            sim.target(0).fault = Fault::LosesStopRequests;
            // The transport cancels the jobs of a peer after 0.65 s of silence.
            sim.run(ms(650 - lost_from));
            sim.dispatcher.cancel(key, sim.now);
            sim.process_actions();
            sim.run(lost_at + ms(1_300) - sim.now);
            assert_eq!(
                sim.target(0).running(),
                0,
                "phase {phase} ms, stops lost from {lost_from} ms"
            );
        }
    }
}

/// Guards against starts for an entry VM that was silent for so long that its caller may be about to
/// submit again.
#[test]
fn submission_of_silent_vm_starts_nothing() {
    let mut sim = Simulation::new(2).take_over();
    submit_for(&mut sim, 1, ms(60), ms(1_100));
    sim.run(ms(300));
    assert_eq!(sim.start_count(), 0);
}

/// Guards against a run that outlasts its own lease on a target whose leases were renewed for others: its
/// entry VM was silent when it was started.
#[test]
fn submission_of_briefly_silent_vm_waits_for_its_heartbeat() {
    let mut sim = Simulation::new(1).take_over();
    let key = submit_for(&mut sim, 1, ms(400), ms(500));
    sim.run(ms(50));
    assert_eq!(sim.start_count(), 0);
    run_with_heartbeats(&mut sim, ms(600));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once: this VM notices late that its own caller has left, and
/// the lease of a run whose stop is not answered lasts longer than the caller waits to submit again.
#[test]
fn run_of_own_caller_that_left_ends_before_its_job_is_submitted_again() {
    for phase in (0..320).step_by(10) {
        for noticed_after in [0, 200, 300, 400, 500, 600] {
            let mut sim = Simulation::new(1).take_over();
            sim.run(ms(phase));
            let key = sim.submit(submission(1, LONG, 1, ms(1_450)));
            sim.run(ms(100));
            let left_at = sim.now;
            sim.target(0).fault = Fault::LosesStopRequests;
            // Work of this VM delays its timer and the end of the connection, and not the renewals.
            sim.manual_ticks = true;
            sim.run(ms(noticed_after));
            sim.tick();
            sim.dispatcher.cancel(key, sim.now);
            sim.process_actions();
            sim.manual_ticks = false;
            sim.run(left_at + ms(1_300) - sim.now);
            assert_eq!(
                sim.target(0).running(),
                0,
                "phase {phase} ms, noticed after {noticed_after} ms"
            );
        }
    }
}

/// Guards against a start for a caller of this VM whose connection may have ended unnoticed.
#[test]
fn job_of_own_caller_waits_while_this_vm_is_behind() {
    let mut sim = Simulation::new(1).take_over();
    sim.manual_ticks = true;
    sim.run(ms(500));
    let key = sim.submit(submission(1, LONG, 1, ms(300)));
    assert_eq!(sim.start_count(), 0);
    sim.manual_ticks = false;
    sim.run(ms(450));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against leases that are not renewed although heartbeats arrive.
#[test]
fn run_of_live_submitter_keeps_its_lease() {
    let mut sim = Simulation::new(1).take_over();
    let key = submit_for(&mut sim, 1, ms(1_200), ms(0));
    run_with_heartbeats(&mut sim, ms(1_300));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.dispatcher.counts().lost_runs, 0);
}

/// Guards against runs that are lost because the submitter of another job on their target was silent
/// for a while.
#[test]
fn run_next_to_that_of_silent_submitter_keeps_its_lease() {
    let mut sim = Simulation::new(1).take_over();
    let other = sim.submit(submission(2, LONG, 1, ms(1_300)));
    submit_for(&mut sim, 1, ms(1_200), ms(0));
    sim.run(ms(600));
    run_with_heartbeats(&mut sim, ms(800));
    assert_eq!(sim.outcome(other), Some(Outcome::Completed));
    assert_eq!(sim.dispatcher.counts().lost_runs, 0);
}

/// Guards against two runs of a task at once: a start is executed by the next incarnation of its target,
/// whose clock begins anew, so that the end of its lease lies ahead.
#[test]
fn late_start_on_restarted_target_is_refused() {
    let mut sim = Simulation::new(2).take_over();
    sim.run(ms(20_000));
    sim.target(0).fault = Fault::DelaysStarts(ms(5_000));
    sim.submit(submission(1, LONG, 1, ms(450)));
    sim.run(ms(1_200));
    let now = sim.now;
    sim.target(0).crash(now);
    sim.run(ms(6_000));
    assert_eq!(sim.target(0).starts, []);
}

/// Guards against the same where the target is back before the lease is over and answers no stop.
#[test]
fn unconfirmed_stop_on_restarted_target_keeps_its_run_open() {
    let mut sim = Simulation::new(2).take_over();
    sim.run(ms(20_000));
    sim.target(0).fault = Fault::DelaysStarts(ms(1_300));
    sim.submit(submission(1, LONG, 1, ms(450)));
    sim.change_target(0, |info| info.draining = true);
    sim.run(ms(200));
    let now = sim.now;
    sim.target(0).restart(now);
    sim.target(0).fault = Fault::LosesStopRequests;
    sim.run(ms(1_400));
    assert!(sim.duplicate_runs.is_empty());
    sim.target(0).fault = Fault::None;
    sim.run(ms(200));
    let key = sim.submit(submission(1, LONG, 1, ms(450)));
    sim.run(ms(700));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once: a run that another dispatcher, or an order for an earlier
/// submission, was stopping counted as gone since its target no longer reported it.
#[test]
fn run_stopped_by_another_is_repeated_after_its_end() {
    let mut sim = Simulation::new(2).take_over();
    let key = sim.submit(submission(1, LONG, 1, ms(400)));
    sim.run(ms(100));
    let now = sim.now;
    let target = sim.target(0);
    for run in target.runs.values_mut() {
        run.outcome = RunOutcome::Stopped;
        run.ends_at = Some(now + ms(50));
    }
    target.next_renewal = now;
    sim.change_target(0, |info| info.draining = true);
    sim.run(ms(700));
    assert!(sim.duplicate_runs.is_empty());
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once: a report that was requested before the process was suspended
/// completed the takeover after it, though another dispatcher may have started runs meanwhile.
#[test]
fn report_from_before_a_suspension_takes_nothing_over() {
    let mut sim = Simulation::new(1).take_over();
    let id = target_info(0).id;
    let sent = sim.now;
    sim.dispatcher.next_lease_renewal(&id, sent).unwrap();
    let report = sim.target(0).report(sent);
    sim.now = sim.now + ms(1_000);
    sim.dispatcher.on_lease_renewal_reply(&id, sent, Ok(report), sim.now);
    sim.submit(submission(1, LONG, 1, ms(400)));
    assert_eq!(sim.start_count(), 0);
    sim.run(ms(500));
    assert_eq!(sim.start_count(), 1);
}

/// Guards against two runs of a task at once: a target that is started again after its time of day was set
/// back reports a lower incarnation, and starts were sent with leases on the clock of the former one.
#[test]
fn late_start_on_target_with_earlier_birth_is_refused() {
    let mut sim = Simulation::new(2).take_over();
    sim.run(ms(20_000));
    let now = sim.now;
    sim.target(0).restart_with_earlier_birth(now);
    sim.run(ms(600));
    sim.target(0).fault = Fault::DelaysStarts(ms(1_200));
    sim.submit(submission(1, LONG, 1, ms(450)));
    sim.change_target(0, |info| info.draining = true);
    sim.run(ms(2_500));
    assert!(sim.duplicate_runs.is_empty());
    assert_eq!(sim.target(0).starts, []);
}

/// Guards against a target whose reports are ignored for good since its incarnation is lower than before.
#[test]
fn target_with_earlier_birth_completes_jobs() {
    let mut sim = Simulation::new(1).take_over();
    let now = sim.now;
    sim.target(0).restart_with_earlier_birth(now);
    sim.run(ms(600));
    let key = sim.submit(submission(1, LONG, 1, ms(200)));
    sim.publish_targets();
    sim.run(ms(400));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against a late start that the next incarnation of a target executes, since the start was forgotten
/// when the target disappeared from the list.
#[test]
fn late_start_on_target_listed_again_is_refused() {
    let mut sim = Simulation::new(2).take_over();
    sim.run(ms(20_000));
    sim.target(0).fault = Fault::DelaysStarts(ms(5_000));
    sim.submit(submission(1, LONG, 1, ms(450)));
    sim.run(ms(1_200));
    let now = sim.now;
    sim.target(0).crash(now);
    let mut info = sim.unlist_target(0);
    sim.run(ms(3_400));
    info.incarnation = TargetIncarnation(2);
    sim.list_target(info);
    sim.run(ms(2_600));
    assert_eq!(sim.target(0).starts, []);
}

/// Guards against two runs of a task at once: a job whose submitter has just lost another dispatcher was
/// started at once, since this dispatcher was old enough, though it never reached one of the targets.
#[test]
fn resumed_job_waits_for_leases_of_a_dispatcher_lost_just_now() {
    let mut sim = Simulation::new(2);
    sim.target(0).fault = Fault::Unresponsive;
    sim.publish_targets();
    sim.run(ms(2_000));
    let (job, now) = (submission(1, LONG, 1, ms(400)), sim.now);
    let task = TaskId { job: job.id, step: 0, index: 0 };
    sim.target(0).add_earlier_run(task, ms(400), now);
    let key = sim.submit_with(job, false, true);
    sim.run(ms(1_500));
    assert!(sim.duplicate_runs.is_empty());
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once: a slow target clock prolonged a stop by more than was added to
/// its bound, where stops may take long.
#[test]
fn long_stop_on_slow_clock_ends_before_the_next_run() {
    for phase in 0..25 {
        let bounds = RunBounds { max_stop: ms(1_000), ..RunBounds::default() };
        let mut sim = Simulation::with_bounds(2, bounds);
        sim.targets.values_mut().for_each(|target| target.clock_slowness = 2);
        let mut sim = sim.take_over();
        let key = sim.submit(submission(1, LONG, 1, ms(300)));
        sim.run(ms(100 + phase));
        sim.dispatcher.cancel(key, sim.now);
        sim.process_actions();
        sim.change_target(0, |info| info.draining = true);
        sim.submit(submission(1, LONG, 1, ms(300)));
        sim.run(ms(1_400));
        assert!(sim.duplicate_runs.is_empty(), "phase {phase} ms");
    }
}

/// Guards against two runs of a task at once: the answer to a stop for an earlier incarnation, at an
/// address that another target has now, closed the runs of the present one.
#[test]
fn answer_from_former_address_closes_no_later_run() {
    let mut sim = Simulation::new(2).take_over();
    let id = target_info(0).id;
    let former = sim.submit(submission(1, LONG, 1, ms(400)));
    sim.run(ms(50));
    sim.target(0).fault = Fault::LosesStopRequests;
    sim.dispatcher.cancel(former, sim.now);
    sim.process_actions();
    let now = sim.now;
    sim.target(0).restart(now);
    sim.change_target(0, |info| {
        info.incarnation = TargetIncarnation(2);
        info.address.set_port(9_100);
    });
    sim.target(0).next_renewal = now;
    sim.run(ms(10));
    let key = sim.submit(submission(2, LONG, 2, ms(400)));
    assert_ne!(sim.target(0).running(), 0);
    let task = TaskId { job: CallerJobId::new(1), step: 0, index: 0 };
    let reply = StopReply::OtherTarget;
    sim.dispatcher.on_stop_reply(&id, task, RunNumber(1), reply, sim.now);
    sim.process_actions();
    sim.run(ms(500));
    assert!(sim.duplicate_runs.is_empty());
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against two runs of a task at once: the estimate of a clock that stood still was kept for as long
/// as it was ahead of new readings.
#[test]
fn late_start_on_target_with_held_clock_is_refused() {
    let mut sim = Simulation::new(2).take_over();
    sim.run(ms(5_000));
    sim.target(0).hold_clock(ms(3_000));
    sim.run(ms(600));
    sim.target(0).fault = Fault::DelaysStarts(ms(1_200));
    sim.submit(submission(1, LONG, 1, ms(450)));
    sim.change_target(0, |info| info.draining = true);
    sim.run(ms(2_500));
    assert!(sim.duplicate_runs.is_empty());
    assert_eq!(sim.target(0).starts, []);
}

/// Guards against two runs of a task at once: the VM of the dispatcher stood still for less time than counts
/// as a suspension, renewed leases, and only then read that a caller of its own had left.
#[test]
fn run_for_caller_that_left_during_a_stall_ends_before_the_job_is_submitted_again() {
    for stall in (400..=640).step_by(40) {
        let mut sim = Simulation::new(1).take_over();
        let key = sim.submit(submission(1, LONG, 1, ms(1_400)));
        sim.run(ms(20));
        let left_at = sim.now;
        sim.now = sim.now + ms(stall);
        sim.target(0).fault = Fault::LosesStopRequests;
        sim.run(ms(5));
        sim.dispatcher.cancel(key, sim.now);
        sim.process_actions();
        sim.run(left_at + ms(1_300) - sim.now);
        assert_eq!(sim.target(0).running(), 0, "stall of {stall} ms");
    }
}

/// Guards against runs of the VM's own callers that lose their leases after a stall.
#[test]
fn run_for_caller_that_waits_outlasts_a_stall() {
    let mut sim = Simulation::new(1).take_over();
    let key = sim.submit(submission(1, LONG, 1, ms(1_200)));
    sim.run(ms(100));
    sim.now = sim.now + ms(500);
    sim.run(ms(800));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.dispatcher.counts().lost_runs, 0);
}
