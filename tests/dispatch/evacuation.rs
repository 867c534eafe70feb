//! Evacuation of zones: what is started, redirected and refused meanwhile, and the return of work to
//! cold targets.

use crate::simulation::{LONG, Simulation, URGENT, config, ms, submission};
use cranberrytray::{
    coordination::dispatch::{
        Action, LogEvent, SubmissionKey, ownership::TargetListStatus, replies::StartReply,
    },
    state::{
        job_submission::{JobSubmission, Outcome, Refusal},
        resources::MilliCores,
        time::Moment,
    },
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Zone of the simulated targets.
const ZONE: &str = "zone";
/// Time for which begun jobs may start their remaining tasks.
const GRACE: Duration = Duration::from_millis(400);
/// Interval of the ticks, in which jobs are answered.
const TICK: Duration = Duration::from_millis(25);

fn address(zone: &str) -> SocketAddr {
    ([127, 0, 0, 1], 9_900 + u16::from(zone.as_bytes()[0])).into()
}

fn report_spare_cpu(sim: &mut Simulation, zone: &str, millicores: u64) {
    let spare = MilliCores(millicores);
    sim.dispatcher.update_remote_shard(zone.parse().unwrap(), address(zone), spare, sim.now);
}

/// A simulation whose long jobs may wait until earlier ones have ended.
fn patient_simulation(targets: usize) -> Simulation {
    let mut sim = Simulation::new(targets).take_over();
    let mut patient = config(2);
    for queue in &mut patient.queues {
        (queue.objective_factor, queue.timeout) = (3.0, ms(5_000));
    }
    sim.dispatcher.set_config(Arc::new(patient));
    sim
}

fn long_job(id: u64, count: u32, declared: Duration) -> JobSubmission {
    JobSubmission { time_to_deadline: ms(5_000), ..submission(id, LONG, count, declared) }
}

/// Submits the job of a caller, which may be redirected.
fn submit_from_caller(sim: &mut Simulation, job: JobSubmission) -> SubmissionKey {
    sim.submit_with(job, true, false)
}

/// Submits short jobs of one task and returns how many of them were redirected to a zone.
fn count_redirects(sim: &mut Simulation, ids: std::ops::Range<u64>, zone: &str) -> usize {
    let before = sim.redirected.len();
    for id in ids {
        submit_from_caller(sim, submission(id, URGENT, 1, ms(60)));
    }
    sim.redirected[before..].iter().filter(|(_, to)| *to == address(zone)).count()
}

/// Whether a job was refused as not run, with a retry delay and without waiting.
fn is_refused_at_once(sim: &Simulation, key: SubmissionKey, submitted_at: Moment) -> bool {
    matches!(
        sim.answers.get(&key),
        Some((Outcome::NotRun { refusal: Refusal::NoTarget, retry_after }, at))
            if *retry_after >= ms(300) && *at == submitted_at
    )
}

/// Guards against starts in a zone after an operator has evacuated it, against running tasks that are
/// stopped, and against jobs that come back from another zone and wait in vain.
#[test]
fn evacuated_zone_starts_nothing_and_keeps_its_runs() {
    let mut sim = Simulation::new(2).take_over();
    let running = sim.submit(submission(1, LONG, 2, ms(700)));
    sim.run(ms(50));
    report_spare_cpu(&mut sim, "b", 64_000);
    let starts = sim.start_count();
    sim.set_evacuated_zones(&[ZONE]);
    let redirected = submit_from_caller(&mut sim, submission(2, URGENT, 2, ms(60)));
    let came_back = sim.submit(submission(2, URGENT, 2, ms(60)));
    assert_eq!(sim.redirected, [(redirected, address("b"))]);
    assert!(is_refused_at_once(&sim, came_back, sim.now));
    assert_eq!(sim.dispatcher.spare_cpu(sim.now), MilliCores::default());
    assert_eq!(sim.dispatcher.usable_targets(), 0);
    sim.run(ms(800));
    assert_eq!(sim.outcome(running), Some(Outcome::Completed));
    assert_eq!(sim.start_count(), starts);
    assert_eq!(sim.dispatcher.counts().evacuation_redirects, 1);
    sim.set_evacuated_zones(&[]);
    let served = submit_from_caller(&mut sim, submission(3, URGENT, 2, ms(60)));
    sim.run(ms(100));
    assert_eq!(sim.outcome(served), Some(Outcome::Completed));
    let zone = || ZONE.parse().unwrap();
    let began = LogEvent::EvacuationBegan { zone: zone(), begun: 1, waiting: 0 };
    let ended = LogEvent::EvacuationEnded { zone: zone(), after: ms(800) };
    let is_evacuation = |event: &&LogEvent| **event == began || **event == ended;
    assert_eq!(sim.log.iter().map(|(_, event)| event).filter(is_evacuation).count(), 2);
}

/// Guards against starts on targets of an evacuated zone while other targets of the dispatcher are
/// usable, and against refusals of jobs that these could run.
#[test]
fn targets_of_other_zones_are_used() {
    let mut sim = Simulation::new(3);
    sim.change_target(0, |info| info.zone = "a".parse().unwrap());
    let mut sim = sim.take_over();
    sim.set_evacuated_zones(&["a"]);
    let keys: Vec<_> = (0..6).map(|id| sim.submit(submission(id, URGENT, 1, ms(60)))).collect();
    sim.run(ms(300));
    let completed = keys.iter().filter(|key| sim.outcome(**key) == Some(Outcome::Completed));
    assert_eq!((completed.count(), sim.target(0).starts.len()), (keys.len(), 0));
}

/// Guards against redirects that all go to the zone with the most spare CPU, also after its spare CPU is
/// used up and after each new report.
#[test]
fn redirects_are_spread_by_spare_cpu() {
    let mut sim = Simulation::new(1).take_over();
    sim.set_evacuated_zones(&[ZONE]);
    report_spare_cpu(&mut sim, "b", 420_000);
    report_spare_cpu(&mut sim, "c", 140_000);
    let to_c = count_redirects(&mut sim, 0..20, "c");
    assert!((4..=7).contains(&to_c), "{to_c} of 20");
    // The spare CPU that is left suffices for 20 jobs. The zones then get equally many in all.
    let to_c = to_c + count_redirects(&mut sim, 20..100, "c");
    assert!((45..=55).contains(&to_c), "{to_c} of 100");
    let mut to_c = 0;
    for id in 100..110 {
        report_spare_cpu(&mut sim, "b", 0);
        report_spare_cpu(&mut sim, "c", 0);
        to_c += count_redirects(&mut sim, id..id + 1, "c");
        sim.run(ms(100));
    }
    assert!((4..=6).contains(&to_c), "{to_c} of 10");
    let redirects = sim.dispatcher.counts();
    assert_eq!((redirects.evacuation_redirects, redirects.redirected), (110, 110));
}

/// Guards against a successor that starts tasks since it only learns of evacuations after it has begun,
/// and against deferred jobs that it redirects although they may have run.
#[test]
fn successor_starts_nothing_in_an_evacuated_zone() {
    let mut sim = Simulation::new(2).take_over();
    sim.submit(submission(1, LONG, 2, ms(700)));
    sim.run(ms(50));
    let starts = sim.start_count();
    sim.set_evacuated_zones(&[ZONE]);
    sim.list_status = TargetListStatus::default();
    sim.replace_dispatcher();
    report_spare_cpu(&mut sim, "b", 64_000);
    let resumed = sim.submit_with(submission(1, LONG, 2, ms(700)), false, true);
    sim.run(ms(50));
    sim.list_status = TargetListStatus { is_current: true, is_complete: true };
    sim.publish_targets();
    let new = submit_from_caller(&mut sim, submission(2, URGENT, 2, ms(60)));
    sim.run(ms(1_400));
    assert_eq!(sim.redirected, [(new, address("b"))]);
    assert!(matches!(sim.outcome(resumed), Some(Outcome::NotRun { .. })));
    assert_eq!(sim.start_count(), starts);
}

/// Guards against jobs that wait in an evacuated zone until their deadline, against submissions of a
/// redirected job that get no answer or go to different zones, and against a second redirect of a job.
#[test]
fn waiting_jobs_are_redirected_or_refused() {
    let mut sim = patient_simulation(1);
    let running = sim.submit(long_job(1, 2, ms(300)));
    let first = submit_from_caller(&mut sim, long_job(2, 1, ms(300)));
    let second = submit_from_caller(&mut sim, long_job(2, 1, ms(300)));
    let from_other_zone = sim.submit(long_job(3, 1, ms(300)));
    let joined = [true, false]
        .map(|may_redirect| sim.submit_with(long_job(4, 1, ms(300)), may_redirect, false));
    sim.run(ms(100));
    assert_eq!(sim.dispatcher.open_jobs(), 4);
    report_spare_cpu(&mut sim, "b", 64_000);
    report_spare_cpu(&mut sim, "c", 64_000);
    sim.set_evacuated_zones(&[ZONE]);
    let [(to_first, zone), (to_second, same_zone)] = sim.redirected[..] else {
        panic!("{:?}", sim.redirected)
    };
    assert_eq!(([to_first, to_second], zone), ([first, second], same_zone));
    assert!(is_refused_at_once(&sim, from_other_zone, sim.now));
    assert!(joined.iter().all(|key| is_refused_at_once(&sim, *key, sim.now)));
    assert_eq!(sim.dispatcher.counts().evacuation_redirects, 1);
    sim.run(ms(300));
    assert_eq!(sim.outcome(running), Some(Outcome::Completed));
    assert_eq!((sim.start_count(), sim.dispatcher.open_jobs()), (2, 0));
}

/// Guards against giving up jobs that need only some milliseconds more in an evacuated zone.
#[test]
fn begun_job_is_completed_within_the_grace_time() {
    let mut sim = patient_simulation(1);
    let key = sim.submit(long_job(1, 4, ms(300)));
    sim.run(ms(50));
    sim.set_evacuated_zones(&[ZONE]);
    let other = sim.submit(submission(2, URGENT, 1, ms(60)));
    assert!(is_refused_at_once(&sim, other, sim.now));
    sim.run(ms(600));
    assert_eq!((sim.outcome(key), sim.start_count()), (Some(Outcome::Completed), 4));
}

/// Guards against starts of a begun job later than the operator may expect, and against callers that wait
/// for tasks and steps that are never started. A zone that is named again doesn't get more time.
#[test]
fn begun_job_is_unknown_after_the_grace_time() {
    let mut two_steps = long_job(1, 1, ms(500));
    two_steps.steps.push(two_steps.steps[0].clone());
    two_steps.steps[1].after = vec![0];
    for job in [long_job(1, 4, ms(500)), two_steps] {
        let mut sim = patient_simulation(1);
        let key = sim.submit(job);
        sim.run(ms(50));
        let (starts, learned_at) = (sim.start_count(), sim.now);
        sim.set_evacuated_zones(&[ZONE]);
        sim.run(ms(300));
        assert_eq!(sim.outcome(key), None);
        sim.set_evacuated_zones(&[ZONE]);
        sim.set_evacuated_zones(&[ZONE, "b"]);
        sim.run(ms(1_000));
        let (outcome, at) = sim.answers[&key];
        assert_eq!((outcome, sim.start_count()), (Outcome::Unknown, starts));
        assert!((GRACE..=GRACE + TICK).contains(&(at - learned_at)), "{:?}", at - learned_at);
    }
}

/// Guards against a repeated start request that starts a run after the grace time: the first one may not
/// have arrived.
#[test]
fn unanswered_start_is_not_repeated_after_the_grace_time() {
    for (wait, is_repeated) in [(ms(100), true), (GRACE, false)] {
        let mut sim = Simulation::new(1).take_over();
        sim.dispatcher.submit(submission(1, LONG, 1, ms(700)), false, false, sim.now);
        let actions = sim.dispatcher.take_actions();
        let start = actions.iter().find_map(|action| match action {
            Action::Start { request, .. } => Some(request.clone()),
            _ => None,
        });
        let start = start.expect("a task is started");
        sim.set_evacuated_zones(&[ZONE]);
        sim.run(wait);
        let reply = StartReply::Unknown;
        sim.dispatcher.on_start_reply(&start.target, start.task, start.run, reply, sim.now);
        let actions = sim.dispatcher.take_actions();
        let repeated = actions.iter().any(|action| matches!(action, Action::Start { .. }));
        assert_eq!(repeated, is_repeated, "{wait:?}");
    }
}

/// Guards against redirects to a zone that is evacuated too, also by a zone that is not.
#[test]
fn jobs_are_not_redirected_to_evacuated_zones() {
    let mut sim = Simulation::new(1).take_over();
    report_spare_cpu(&mut sim, "b", 640_000);
    report_spare_cpu(&mut sim, "c", 64_000);
    sim.set_evacuated_zones(&[ZONE, "b"]);
    assert_eq!(count_redirects(&mut sim, 0..10, "c"), 10);
    sim.set_evacuated_zones(&["b", "c"]);
    let full = submission(10, LONG, 2, ms(900));
    let queued = submission(11, URGENT, 2, ms(60));
    let keys = [full, queued].map(|job| submit_from_caller(&mut sim, job));
    assert_eq!(sim.redirected.len(), 10);
    assert_eq!(sim.outcome(keys[0]), None);
}

/// Guards against jobs that wait or are sent round while every zone is evacuated.
#[test]
fn jobs_are_refused_while_all_zones_are_evacuated() {
    let mut sim = Simulation::new(2).take_over();
    report_spare_cpu(&mut sim, "b", 64_000);
    report_spare_cpu(&mut sim, "c", 64_000);
    sim.set_evacuated_zones(&[ZONE, "b", "c"]);
    let key = submit_from_caller(&mut sim, submission(1, URGENT, 2, ms(60)));
    assert!(is_refused_at_once(&sim, key, sim.now));
    assert_eq!((sim.redirected.len(), sim.start_count()), (0, 0));
}

/// Guards against redirects to zones that can't be reached: a zone that is cut off knows no other zone,
/// or only old reports.
#[test]
fn jobs_of_a_cut_off_zone_are_refused() {
    for has_old_report in [false, true] {
        let mut sim = Simulation::new(2).take_over();
        if has_old_report {
            report_spare_cpu(&mut sim, "b", 64_000);
            sim.run(ms(1_000));
        }
        sim.set_evacuated_zones(&[ZONE]);
        let key = submit_from_caller(&mut sim, submission(1, URGENT, 2, ms(60)));
        assert!(is_refused_at_once(&sim, key, sim.now));
        assert_eq!((sim.redirected.len(), sim.start_count()), (0, 0));
    }
}

/// Guards against redirects that all go to one zone once the targets of an evacuated zone are shut down.
#[test]
fn zone_without_targets_stays_evacuated() {
    let mut sim = Simulation::new(2).take_over();
    sim.set_evacuated_zones(&[ZONE]);
    sim.dispatcher.update_targets(&[], sim.list_status, sim.now);
    sim.run(ms(50));
    report_spare_cpu(&mut sim, "b", 0);
    report_spare_cpu(&mut sim, "c", 0);
    assert_eq!(count_redirects(&mut sim, 0..10, "b"), 5);
}

/// Guards against a begun job that is answered by the time of an earlier evacuation, and against a second
/// evacuation without effect.
#[test]
fn evacuation_that_is_requested_again_counts_anew() {
    let mut sim = patient_simulation(1);
    let key = sim.submit(long_job(1, 4, ms(600)));
    sim.run(ms(50));
    sim.set_evacuated_zones(&[ZONE]);
    sim.run(ms(250));
    sim.set_evacuated_zones(&[]);
    sim.run(ms(50));
    sim.set_evacuated_zones(&[ZONE]);
    let refused = sim.submit(submission(2, URGENT, 1, ms(60)));
    assert!(is_refused_at_once(&sim, refused, sim.now));
    // The last two tasks start 550 ms after the first request and 250 ms after the second one.
    sim.run(ms(900));
    assert_eq!((sim.outcome(key), sim.start_count()), (Some(Outcome::Completed), 4));
}

/// Guards against a restart in an evacuated zone, and against a job that waits for it until its deadline.
#[test]
fn restart_in_an_evacuated_zone_is_made_only_in_the_grace_time() {
    let cases = [(ms(100), Outcome::Completed, 2), (ms(500), Outcome::Unknown, 1)];
    for (lost_after, outcome, starts) in cases {
        let mut sim = Simulation::new(3).take_over();
        let key = sim.submit(submission(1, LONG, 1, ms(700)));
        sim.run(ms(50));
        let learned_at = sim.now;
        sim.set_evacuated_zones(&[ZONE]);
        sim.run(lost_after);
        let busy = (0..3).find(|&n| sim.target(n).running() > 0).unwrap();
        let now = sim.now;
        sim.target(busy).restart(now);
        sim.run(ms(1_000));
        assert_eq!((sim.outcome(key), sim.start_count()), (Some(outcome), starts));
        if outcome == Outcome::Unknown {
            let answered_after = sim.answers[&key].1 - learned_at;
            assert!(answered_after <= lost_after + ms(200), "{answered_after:?}");
        }
    }
}

/// Submits a job of eight tasks, cancels it, and returns how many of them were started at once.
fn tasks_started_at_once(sim: &mut Simulation, id: u64) -> usize {
    let key = submit_from_caller(sim, submission(id, URGENT, 8, ms(60)));
    let running = (0..sim.targets.len()).map(|n| sim.target(n).running()).sum();
    sim.dispatcher.cancel(key, sim.now);
    sim.process_actions();
    sim.run(ms(100));
    running
}

fn set_cold(sim: &mut Simulation, cold_for: Duration) {
    (0..sim.targets.len()).for_each(|n| sim.change_target(n, |info| info.cold_for = cold_for));
}

/// Guards against the full load on targets that have just come back and are slow, against a cold target
/// that gets nothing since no task fits into its usable share, and against a cold time without end:
/// the same entry is listed again, and the platform counts its time down.
#[test]
fn work_returns_gradually_to_cold_targets() {
    for is_counted_down in [false, true] {
        let mut sim = Simulation::new(4).take_over();
        sim.set_evacuated_zones(&[ZONE]);
        sim.run(ms(1_000));
        set_cold(&mut sim, ms(4_000));
        sim.set_evacuated_zones(&[]);
        assert_eq!(sim.dispatcher.spare_cpu(sim.now), MilliCores(4 * 8_000));
        // Two tasks fit on a target of which 28 of 32 cores are usable, after 3,333 ms.
        assert_eq!(tasks_started_at_once(&mut sim, 1), 4);
        sim.run(ms(1_900));
        let remaining = if is_counted_down { ms(2_000) } else { ms(4_000) };
        set_cold(&mut sim, remaining);
        assert_eq!(sim.dispatcher.spare_cpu(sim.now), MilliCores(4 * 20_000));
        sim.run(ms(1_200));
        assert_eq!(tasks_started_at_once(&mut sim, 2), 4);
        sim.run(ms(100));
        assert_eq!(tasks_started_at_once(&mut sim, 3), 8);
        sim.run(ms(600));
        assert_eq!(sim.dispatcher.spare_cpu(sim.now), MilliCores(4 * 32_000));
        // A later cold time is a new one.
        set_cold(&mut sim, ms(5_000));
        assert_eq!(tasks_started_at_once(&mut sim, 4), 4);
    }
}

/// Returns the expected time until a job ends that is submitted now.
fn expected_time(sim: &mut Simulation, id: u64) -> Duration {
    let key = sim.submit(submission(id, URGENT, 1, ms(60)));
    sim.dispatcher.cancel(key, sim.now);
    sim.process_actions();
    sim.run(ms(100));
    let expected = sim.log.iter().rev().find_map(|(_, event)| match event {
        LogEvent::Admitted { expected, .. } => Some(*expected),
        _ => None,
    });
    expected.expect("the job is admitted")
}

/// Guards against predictions that count on slow targets long after these are warm again, and against
/// the ejection of targets that are slow only because they are cold.
#[test]
fn runs_on_cold_targets_teach_nothing() {
    for (cold_for, is_learned) in [(ms(4_000), false), (Duration::ZERO, true)] {
        let mut sim = Simulation::with_speeds(&[1.0, 1.0, 1.0]);
        let before = (expected_time(&mut sim, 1), sim.dispatcher.slowness_by_kind());
        set_cold(&mut sim, cold_for);
        sim.targets.values_mut().for_each(|target| target.speed = 0.3);
        let log_start = sim.log.len();
        for id in 10..20 {
            sim.submit(submission(id, URGENT, 3, ms(60)));
            sim.run(ms(350));
        }
        let scales = sim.log[log_start..].iter().filter_map(|(_, event)| match event {
            LogEvent::CompletedLate { scale, .. } => Some(*scale),
            _ => None,
        });
        let scales: Vec<f64> = scales.collect();
        assert!(!scales.is_empty());
        assert_eq!(scales.iter().any(|scale| *scale != 1.0), is_learned, "{scales:?}");
        sim.targets.values_mut().for_each(|target| target.speed = 1.0);
        sim.run(ms(2_000));
        let after = (expected_time(&mut sim, 2), sim.dispatcher.slowness_by_kind());
        assert_eq!(before != after, is_learned, "{before:?} {after:?}");
        assert_eq!(sim.dispatcher.counts().ejections > 0, is_learned);
    }
}
