//! Admission, placement and redirects under the load patterns of the users' heaviest days.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission};
use cranberrytray::{
    coordination::dispatch::{LogEvent, SubmissionKey},
    state::{
        fleet_config::Label,
        job_submission::{Outcome, Refusal, Step},
        resources::{Accelerators, Mebibytes, MilliCores},
    },
};

/// Number of jobs by outcome, and the latency of the slowest refusal.
#[derive(Debug, Default)]
struct Tally {
    in_time: u32,
    late: u32,
    refused: u32,
    unknown: u32,
    slowest_refusal_ms: u128,
}

fn tally(
    sim: &Simulation,
    jobs: &[(SubmissionKey, cranberrytray::state::time::Moment, u64)],
) -> Tally {
    let mut tally = Tally::default();
    for (key, arrived, objective) in jobs {
        let Some((outcome, at)) = sim.answers.get(key) else { continue };
        let took = (*at - *arrived).as_millis();
        match outcome {
            Outcome::Completed if took <= u128::from(*objective) => tally.in_time += 1,
            Outcome::Completed | Outcome::Failed => tally.late += 1,
            Outcome::NotRun { .. } => {
                tally.refused += 1;
                tally.slowest_refusal_ms = tally.slowest_refusal_ms.max(took);
            }
            Outcome::Unknown => tally.unknown += 1,
        }
    }
    tally
}

/// A burst of wide urgent jobs on top of long ones: the urgent ones are served first, and jobs that
/// can't end in time are refused within a quarter of their time to deadline.
#[test]
fn overload_refuses_early_and_serves_urgent_jobs() {
    let mut sim = Simulation::new(8).take_over();
    let (mut urgent, mut long) = (Vec::new(), Vec::new());
    // 16 slots. 100 urgent jobs per second of 4 x 0.06 s take 24 slots, long ones take 7 more.
    for id in 0..300 {
        let now = sim.now;
        urgent.push((sim.submit(submission(id, URGENT, 4, ms(60))), now, 156));
        if id % 20 == 0 {
            long.push((sim.submit(submission(10_000 + id, LONG, 2, ms(700))), now, 1_180));
        }
        sim.run(ms(10));
    }
    sim.run(ms(1_600));
    let urgent = tally(&sim, &urgent);
    let long = tally(&sim, &long);
    // 66% of the urgent load fits; nine tenths of that must be in time, and few answers late.
    assert!(urgent.in_time >= 178, "{urgent:?} {long:?}");
    assert!(urgent.late <= 30, "{urgent:?}");
    assert!(urgent.slowest_refusal_ms <= 375, "{urgent:?}");
    assert_eq!(sim.duplicate_runs, []);
}

/// Usual load, three quarters of the slots: every job is answered in time.
#[test]
fn usual_load_is_served_in_time() {
    let mut sim = Simulation::new(8).take_over();
    let mut jobs = Vec::new();
    for id in 0..200 {
        let now = sim.now;
        jobs.push((sim.submit(submission(id, URGENT, 4, ms(60))), now, 156));
        sim.run(ms(20));
    }
    sim.run(ms(200));
    let tally = tally(&sim, &jobs);
    assert_eq!((tally.in_time, tally.refused, tally.unknown), (200, 0, 0), "{tally:?}");
}

/// A job that no target could end in time is refused when it arrives.
#[test]
fn job_that_no_target_ends_in_time_is_refused_at_once() {
    let mut sim = Simulation::new(2).take_over();
    let key = sim.submit(submission(1, LONG, 1, ms(2_000)));
    let outcome = sim.outcome(key);
    assert!(
        matches!(outcome, Some(Outcome::NotRun { refusal: Refusal::TooLate, .. })),
        "{outcome:?}"
    );
    assert_eq!(sim.start_count(), 0);
}

/// One zone is full while another has spare CPU: jobs that would be late are redirected there.
#[test]
fn full_zone_redirects_jobs() {
    let mut sim = Simulation::new(1).take_over();
    sim.submit(submission(1, LONG, 2, ms(900)));
    let other = "other".parse().unwrap();
    let address = ([127, 0, 0, 1], 9_999).into();
    let spare = MilliCores(64_000);
    sim.dispatcher.update_remote_shard(other, address, spare, sim.now);
    let starts = sim.start_count();
    let key = sim.submit_with(submission(2, URGENT, 2, ms(60)), true, false);
    assert_eq!(sim.redirected, [(key, address)]);
    sim.run(ms(1_600));
    // The other zone answers the job: none of its tasks is started here, and no answer is sent.
    assert_eq!((sim.start_count(), sim.outcome(key)), (starts, None));
    assert_eq!(sim.dispatcher.open_jobs(), 0);
}

/// A wave of cancelled jobs: their runs are stopped, and the free slots serve other jobs.
#[test]
fn capacity_of_cancelled_jobs_is_reused() {
    let mut sim = Simulation::new(4).take_over();
    let cancelled: Vec<SubmissionKey> =
        (0..4).map(|id| sim.submit(submission(id, LONG, 2, ms(900)))).collect();
    sim.run(ms(50));
    for key in cancelled {
        sim.dispatcher.cancel(key, sim.now);
    }
    sim.process_actions();
    sim.run(ms(70));
    let now = sim.now;
    let jobs: Vec<_> =
        (10..12).map(|id| (sim.submit(submission(id, URGENT, 4, ms(60))), now, 156)).collect();
    sim.run(ms(200));
    let tally = tally(&sim, &jobs);
    assert_eq!(tally.in_time, 2, "{tally:?}");
}

/// Long jobs whose objective is close to their deadline, on targets of uneven speed. They take longer than
/// declared, and end in time all the same.
#[test]
fn long_tasks_end_in_time_on_targets_of_uneven_speed() {
    let mut sim = Simulation::with_speeds(&[2.0, 0.8, 0.8]);
    let heavy = |id| {
        let mut submission = submission(id, LONG, 2, ms(900));
        submission.spec = "1200".into();
        submission
    };
    let jobs = [sim.submit(heavy(1)), sim.submit(heavy(2))];
    sim.run(ms(1_500));
    let outcomes = jobs.map(|key| sim.outcome(key));
    assert_eq!(outcomes, [Some(Outcome::Completed); 2]);
}

/// The progress of a run shows that it will end too late, while the faster target is busy: the task
/// is restarted there as soon as it fits.
#[test]
fn run_that_ends_too_late_waits_for_a_faster_target() {
    let mut sim = Simulation::with_speeds(&[2.0, 0.8]);
    sim.submit(submission(1, URGENT, 2, ms(400)));
    let fast_starts: Vec<_> = sim.target(0).starts.clone();
    let mut heavy = submission(2, LONG, 1, ms(300));
    heavy.spec = "1500".into();
    let key = sim.submit(heavy);
    sim.run(ms(1_500));
    assert_eq!(fast_starts.len(), 2, "the fast target is busy");
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.duplicate_runs, []);
}

/// Start requests without an answer, which targets execute seconds later or never: the same start
/// is sent again at once, so that wide jobs still meet their objective.
#[test]
fn unanswered_starts_are_sent_again() {
    let mut sim = Simulation::new(4).take_over();
    sim.targets.values_mut().for_each(|target| target.fault = Fault::LosesFirstStartRequests);
    let key = sim.submit(submission(1, URGENT, 8, ms(60)));
    sim.run(ms(70));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    assert_eq!(sim.start_count(), 8);
}

/// Some replies to lease renewals are lost at the usual load: the ends of runs are still known
/// soon.
#[test]
fn usual_load_is_served_in_time_with_lost_lease_renewals() {
    let mut sim = Simulation::new(8).take_over();
    sim.targets.values_mut().for_each(|target| target.fault = Fault::LosesRenewalReplies);
    let mut jobs = Vec::new();
    for id in 0..200 {
        let now = sim.now;
        jobs.push((sim.submit(submission(id, URGENT, 4, ms(60))), now, 156));
        sim.run(ms(30));
    }
    sim.run(ms(300));
    let tally = tally(&sim, &jobs);
    // A quarter of the jobs of four tasks meet a lost reply; still, 95% must be in time.
    assert!(tally.in_time >= 190, "{tally:?}");
    assert_eq!(sim.duplicate_runs, []);
}

/// Short jobs arrive unevenly: one that would wait here is redirected to a zone with twice the CPU
/// that it needs, although it would meet its objective here too, but not to a zone with barely
/// enough.
#[test]
fn jobs_that_would_wait_are_redirected_to_ample_spare_cpu() {
    let mut sim = Simulation::new(1).take_over();
    sim.submit(submission(1, URGENT, 2, ms(60)));
    let other = |name: &str| name.parse().unwrap();
    let address = ([127, 0, 0, 1], 9_999).into();
    let spare = MilliCores(40_000);
    sim.dispatcher.update_remote_shard(other("small"), address, spare, sim.now);
    let kept = sim.submit_with(submission(2, URGENT, 2, ms(60)), true, false);
    assert_eq!(sim.redirected, []);
    sim.run(ms(200));
    assert_eq!(sim.outcome(kept), Some(Outcome::Completed));

    // Behind one job it would end here after 120 ms, within its objective of 156 ms.
    sim.submit(submission(3, URGENT, 2, ms(60)));
    let spare = MilliCores(60_000);
    sim.dispatcher.update_remote_shard(other("roomy"), address, spare, sim.now);
    let redirected = sim.submit_with(submission(4, URGENT, 2, ms(60)), true, false);
    assert_eq!(sim.redirected, [(redirected, address)]);
}

/// A fifth of the targets turns five times slower at the usual load, for seconds: work moves to the
/// others, which have room for it, so that 95% of the jobs are still in time.
#[test]
fn targets_that_turn_slow_delay_few_jobs() {
    let mut sim = Simulation::with_speeds(&[1.0; 16]);
    let mut jobs = Vec::new();
    // 32 slots. 40 urgent jobs a second of 4 x 0.06 s take 10 slots, 30 of 2 x 0.2 s take 12.
    for n in 0..600 {
        let now = sim.now;
        if n == 100 {
            (0..3).for_each(|slow| sim.target(slow).speed = 0.2);
        }
        if n % 10 < 4 {
            jobs.push((sim.submit(submission(n, URGENT, 4, ms(60))), now, 156));
        }
        if n % 10 >= 7 {
            jobs.push((sim.submit(submission(n, LONG, 2, ms(200))), now, 380));
        }
        sim.run(ms(10));
    }
    sim.run(ms(1_600));
    let tally = tally(&sim, &jobs);
    assert!(tally.in_time >= 399, "{tally:?} of {}", jobs.len());
    assert_eq!(sim.duplicate_runs, []);
}

/// Jobs that can never be done: no target of the queue's pool has the size or the label that a step
/// asks for, be it the last one. They are refused when they arrive, and nothing of them runs.
#[test]
fn job_that_no_target_can_run_is_refused_at_once() {
    type Case = (&'static str, fn(&mut Step));
    let cases: [Case; 5] = [
        ("cpu", |step| step.needs.cpu = MilliCores(32_001)),
        ("memory", |step| step.needs.memory = Mebibytes(64_001)),
        ("accelerators", |step| step.needs.accelerators = Accelerators(1)),
        ("label", |step| step.required = Some(Label::from("none"))),
        ("several targets", |step| step.needs.cpu = MilliCores(64_000)),
    ];
    for (name, change) in cases {
        let mut sim = Simulation::new(2).take_over();
        let mut job = submission(1, URGENT, 1, ms(60));
        let mut last = job.steps[0].clone();
        last.after = vec![0];
        change(&mut last);
        job.steps.push(last);
        let key = sim.submit(job);
        assert!(
            matches!(sim.outcome(key), Some(Outcome::NotRun { refusal: Refusal::NoTarget, .. })),
            "{name}: {:?}",
            sim.outcome(key)
        );
        assert_eq!(sim.start_count(), 0, "{name}");
    }
}

/// Only another zone has a target with the label: the job is redirected there.
#[test]
fn job_that_no_target_here_can_run_is_redirected() {
    let mut sim = Simulation::new(2).take_over();
    let address = ([127, 0, 0, 1], 9_999).into();
    let spare = MilliCores(1_000);
    sim.dispatcher.update_remote_shard("other".parse().unwrap(), address, spare, sim.now);
    let mut job = submission(1, URGENT, 1, ms(60));
    job.steps[0].required = Some(Label::from("elsewhere"));
    let key = sim.submit_with(job.clone(), true, false);
    assert_eq!(sim.redirected, [(key, address)]);
    let back = sim.submit_with(job, false, false);
    assert!(matches!(sim.outcome(back), Some(Outcome::NotRun { refusal: Refusal::NoTarget, .. })));
}

/// A dispatcher has just taken over: run times of the two kinds of targets, one five times slower
/// than the other, are not known yet. No target may be ejected as slow, since the jobs that were
/// resumed need all of them.
#[test]
fn slow_kind_of_target_is_not_ejected_after_a_takeover() {
    let mut sim = Simulation::new(12).take_over();
    for n in (0..12).step_by(3) {
        sim.change_target(n, |info| {
            info.kind = Label::from("b");
            info.labels[0] = Label::from("b");
        });
        sim.target(n).speed = 0.2;
    }
    for id in 0..60 {
        sim.submit(submission(id, URGENT, 6, ms(60)));
        sim.run(ms(25));
    }
    let ejected = sim.log.iter().filter(|(_, e)| matches!(e, LogEvent::Ejected { .. })).count();
    assert_eq!(ejected, 0);
}

/// A zone's dispatcher was lost: its jobs are resumed together once the leases have expired, more
/// than fit at once. They are late, but all can end before their deadline, and none can be refused,
/// so each is answered.
#[test]
fn resumed_jobs_are_served_until_their_deadline() {
    let mut sim = Simulation::new(4);
    sim.list_status.is_complete = false;
    sim.publish_targets();
    let resume =
        |sim: &mut Simulation, id| sim.submit_with(submission(id, URGENT, 4, ms(60)), false, true);
    let keys: Vec<SubmissionKey> = (0..12).map(|id| resume(&mut sim, id)).collect();
    sim.run(ms(1_500));
    for key in keys {
        assert_eq!(sim.outcome(key), Some(Outcome::Completed));
    }
}

/// Jobs of which a few take three times as long as declared: their targets are not to blame, also
/// where one runs several tasks of such a job.
#[test]
fn long_jobs_eject_no_target() {
    let mut sim = Simulation::new(6).take_over();
    for id in 0..300 {
        let mut job = submission(id, URGENT, 2, ms(60));
        if id % 25 == 24 {
            job.spec = "180".into();
        }
        sim.submit(job);
        sim.run(ms(25));
    }
    let ejected = sim.log.iter().filter(|(_, e)| matches!(e, LogEvent::Ejected { .. })).count();
    assert_eq!(ejected, 0);
}
