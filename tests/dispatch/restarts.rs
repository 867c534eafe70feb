//! Targets that come back under their name as something else: with other labels, resources or another
//! pool, or after a drain.

use crate::simulation::{Simulation, URGENT, config, ms, submission};
use cranberrytray::{
    coordination::dispatch::{Action, replies::StartReply},
    state::{
        fleet_config::{Label, Pool, PoolName},
        job_submission::{CallerJobId, JobSubmission, Outcome, TaskId},
        resources::MilliCores,
        target::{TargetIncarnation, TargetInfo},
    },
};
use std::{sync::Arc, time::Duration};

/// A change to an entry of the list.
type EntryChange = fn(&mut TargetInfo);
/// Something that becomes of target 0.
type TargetChange = fn(&mut Simulation);

/// A job of one task that targets of kind `a` can run.
fn job_for_kind_a(id: u64) -> JobSubmission {
    let mut job = submission(id, URGENT, 1, ms(60));
    job.steps[0].required = Some(Label::from("a"));
    job
}

/// Submits enough jobs for all targets to get some. Their ids are those from `first` on.
fn submit_jobs_for(sim: &mut Simulation, first: u64, duration: Duration) {
    for n in 0..duration.as_millis() as u64 / 10 {
        sim.submit(job_for_kind_a(first + n));
        sim.run(ms(10));
    }
}

/// Restarts target 0 and lets the dispatcher learn of it from a report.
fn restart_and_report(sim: &mut Simulation) {
    let now = sim.now;
    let target = sim.target(0);
    target.restart(now);
    target.next_renewal = now;
    sim.run(ms(2));
    sim.target(0).starts.clear();
}

/// Publishes an entry of the second incarnation of target 0, with further changes.
fn publish_second_entry(sim: &mut Simulation, change: EntryChange) {
    sim.change_target(0, |info| {
        info.incarnation = TargetIncarnation(2);
        change(info);
    });
}

/// Guards against starts on a target that has come back without the required label, in another pool, too
/// small or already draining, which were decided by the list entry of its former incarnation.
#[test]
fn restarted_target_is_judged_by_its_own_entry() {
    let changes: [(&str, EntryChange); 4] = [
        ("labels", |info| info.labels[0] = Label::from("b")),
        ("pool", |info| info.pool = PoolName::from("other")),
        ("capacity", |info| info.capacity.cpu = MilliCores(7_000)),
        ("draining", |info| info.draining = true),
    ];
    for (fact, change) in changes {
        let mut sim = Simulation::new(2).take_over();
        restart_and_report(&mut sim);
        submit_jobs_for(&mut sim, 1_000, ms(200));
        assert_eq!(sim.target(0).starts, [], "{fact}: the report comes first");
        publish_second_entry(&mut sim, change);
        submit_jobs_for(&mut sim, 2_000, ms(200));
        assert_eq!(sim.target(0).starts, [], "{fact}: the entry has arrived");
        assert_ne!(sim.target(1).starts, [], "{fact}: the other target is used");

        let mut sim = Simulation::new(2).take_over();
        let now = sim.now;
        sim.target(0).restart(now);
        publish_second_entry(&mut sim, change);
        submit_jobs_for(&mut sim, 1_000, ms(500));
        assert_eq!(sim.target(0).starts, [], "{fact}: the entry comes first");
    }
}

/// Guards against a target that is lost for good: it drained, came back under its name and reported
/// before its list entry was read, and the drain of its former incarnation was taken for its own.
#[test]
fn restarted_target_is_used_again_after_a_drain() {
    for report_first in [true, false] {
        let mut sim = Simulation::new(2).take_over();
        sim.change_target(0, |info| info.draining = true);
        sim.run(ms(500));
        if report_first {
            restart_and_report(&mut sim);
        } else {
            let now = sim.now;
            sim.target(0).restart(now);
        }
        publish_second_entry(&mut sim, |info| info.draining = false);
        sim.run(ms(400));
        submit_jobs_for(&mut sim, 1_000, ms(200));
        assert_ne!(sim.target(0).starts, [], "report first: {report_first}");
    }
}

/// Guards against a metric that counts targets which get no tasks: those that drain, and restarted ones
/// until their own entry is read.
#[test]
fn usable_targets_are_those_that_accept_tasks() {
    let mut sim = Simulation::new(3).take_over();
    assert_eq!(sim.dispatcher.usable_targets(), 3);
    sim.change_target(1, |info| info.draining = true);
    assert_eq!(sim.dispatcher.usable_targets(), 2);
    restart_and_report(&mut sim);
    assert_eq!(sim.dispatcher.usable_targets(), 1);
    publish_second_entry(&mut sim, |_| {});
    assert_eq!(sim.dispatcher.usable_targets(), 2);
}

/// Guards against a target that is lost for good after a restart that leaves its entry as it was.
#[test]
fn restarted_target_is_used_once_its_entry_is_read() {
    let mut sim = Simulation::new(2).take_over();
    restart_and_report(&mut sim);
    publish_second_entry(&mut sim, |_| {});
    submit_jobs_for(&mut sim, 1_000, ms(200));
    assert_ne!(sim.target(0).starts, []);
}

/// Guards against starts on a restarted or draining target: a start that was not answered was sent again
/// there, without a look at what had become of the target since.
#[test]
fn unanswered_start_is_sent_again_only_to_the_same_target() {
    let changes: [(&str, TargetChange); 4] = [
        ("none", |_| {}),
        ("report of a restart", restart_and_report),
        ("entry of a restart", |sim| {
            let now = sim.now;
            sim.target(0).restart(now);
            publish_second_entry(sim, |info| info.labels[0] = Label::from("b"));
            sim.target(0).next_renewal = now;
            sim.run(ms(2));
        }),
        ("drain", |sim| sim.change_target(0, |info| info.draining = true)),
    ];
    for (change, apply) in changes {
        let mut sim = Simulation::new(1).take_over();
        sim.dispatcher.submit(job_for_kind_a(1), false, false, sim.now);
        let actions = sim.dispatcher.take_actions();
        let request = actions.iter().find_map(|action| match action {
            Action::Start { request, .. } => Some(request.clone()),
            _ => None,
        });
        let request = request.expect("the task is started");
        apply(&mut sim);
        sim.dispatcher.on_start_reply(
            &request.target,
            request.task,
            request.run,
            StartReply::Unknown,
            sim.now,
        );
        let actions = sim.dispatcher.take_actions();
        let is_sent_again = actions.iter().any(|action| matches!(action, Action::Start { .. }));
        assert_eq!(is_sent_again, change == "none", "change: {change}");
    }
}

/// Guards against jobs that are given up as if they crashed their targets: the drain of the former
/// incarnation was forgotten with its entry, so that the runs which it ended counted as crashes.
#[test]
fn restart_after_a_drain_is_no_crash() {
    for report_first in [true, false] {
        let mut sim = Simulation::new(1).take_over();
        sim.submit(submission(1, URGENT, 1, ms(800)));
        sim.run(ms(50));
        assert_eq!(sim.target(0).running(), 1);
        sim.change_target(0, |info| info.draining = true);
        let now = sim.now;
        sim.target(0).restart(now);
        if !report_first {
            publish_second_entry(&mut sim, |info| info.draining = false);
        }
        sim.target(0).next_renewal = now;
        sim.run(ms(2));
        assert_eq!(sim.dispatcher.counts().lost_runs, 1);
        assert!(sim.dispatcher.crash_history().is_empty(), "report first: {report_first}");
    }
}

/// Guards against a target that gets no long tasks after its restart as another kind, since its former
/// incarnation was slow for its own.
#[test]
fn restarted_target_of_another_kind_is_not_known_as_slow() {
    for report_first in [true, false] {
        let mut sim = Simulation::with_speeds(&[0.4, 1.0]);
        sim.change_target(1, |info| info.draining = true);
        let job = || submission(1, URGENT, 1, ms(900));
        let refused = sim.submit(job());
        sim.run(ms(20));
        assert!(sim.outcome(refused).is_some(), "it ends too late on a slow target");
        if report_first {
            restart_and_report(&mut sim);
        } else {
            let now = sim.now;
            sim.target(0).restart(now);
        }
        sim.target(0).speed = 1.0;
        publish_second_entry(&mut sim, |info| {
            info.kind = Label::from("b");
            info.labels[0] = Label::from("b");
        });
        sim.run(ms(400));
        let key = sim.submit(job());
        sim.run(ms(1_000));
        assert_eq!(sim.outcome(key), Some(Outcome::Completed), "report first: {report_first}");
    }
}

/// Guards against more tasks than a target has room for: a new dispatcher knew only an entry of the former
/// incarnation, in a pool whose targets refuse what doesn't fit, and didn't wait for the runs that it stopped.
#[test]
fn takeover_of_a_restarted_target_awaits_stopped_runs() {
    let mut sim = Simulation::new(1);
    let mut two_pools = config(2);
    two_pools.queues[0].pool = PoolName::from("unguarded");
    two_pools.pools.push(Pool { name: PoolName::from("unguarded"), rejects_when_full: false });
    sim.dispatcher.set_config(Arc::new(two_pools));
    let now = sim.now;
    let target = sim.target(0);
    target.restart(now);
    target.registers_at = now + ms(5_000);
    target.is_guarded = false;
    for id in [7, 8] {
        target.add_earlier_run(
            TaskId { job: CallerJobId::new(id), step: 0, index: 0 },
            ms(800),
            now,
        );
    }
    sim.publish_targets();
    sim.run(ms(10));
    publish_second_entry(&mut sim, |info| info.pool = PoolName::from("unguarded"));
    let key = sim.submit(submission(1, URGENT, 2, ms(60)));
    sim.run(ms(400));
    assert_eq!(sim.target(0).overcommitted_starts, 0);
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Guards against a new dispatcher that takes the entry of a former incarnation for the present one.
#[test]
fn new_dispatcher_awaits_the_entry_of_a_restarted_target() {
    let mut sim = Simulation::new(2).take_over();
    let now = sim.now;
    sim.target(0).restart(now);
    sim.target(0).registers_at = now + ms(5_000);
    sim.replace_dispatcher();
    sim.run(ms(100));
    sim.target(0).starts.clear();
    submit_jobs_for(&mut sim, 1_000, ms(200));
    assert_eq!(sim.target(0).starts, []);
    publish_second_entry(&mut sim, |_| {});
    submit_jobs_for(&mut sim, 2_000, ms(200));
    assert_ne!(sim.target(0).starts, []);
}
