//! Pools whose tasks fill large parts of their targets, so that placement looks ahead.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission};
use cranberrytray::{
    coordination::dispatch::SubmissionKey,
    state::{
        job_submission::{JobSubmission, Outcome, Refusal, TaskId},
        mechanism::MechanismSet,
        resources::MilliCores,
        time::Moment,
    },
};
use std::time::Duration;

/// The forecasts, which refuse jobs of an overload; most tests below are about placement alone.
const FORECASTS: &str = "admission-forecast,shedding";

/// A job of `count` tasks that need `cores` each.
fn sized(id: u64, queue: &str, count: u32, cores: u64, duration: Duration) -> JobSubmission {
    let mut submission = submission(id, queue, count, duration);
    submission.steps[0].needs.cpu = MilliCores(1_000 * cores);
    submission
}

/// Creates targets of 32 cores that leave it to the dispatcher to keep to them, without the
/// mechanisms `disabled`.
fn simulation(targets: usize, disabled: &[&str]) -> Simulation {
    let mut sim = Simulation::new(targets).take_over();
    sim.targets.values_mut().for_each(|target| target.is_guarded = false);
    let disabled: MechanismSet = disabled.join(",").parse().unwrap();
    sim.dispatcher.disable(disabled);
    sim
}

/// Target and moment of the first start of a job.
fn first_start(sim: &Simulation, id: u64) -> Option<(usize, Moment)> {
    let starts = sim.targets.values().enumerate().flat_map(|(n, target)| {
        let of_job = target.starts.iter().filter(move |(task, _)| task.job.number() == id);
        of_job.map(move |(_, at)| (n, *at))
    });
    starts.min_by_key(|(_, at)| *at)
}

/// Time from `since` to the first start of a job, in milliseconds.
fn start_delay(sim: &Simulation, id: u64, since: Moment) -> Option<u128> {
    first_start(sim, id).map(|(_, at)| (at - since).as_millis())
}

/// A stream of tasks of 12 cores, more than the targets can run, and a task of 24 cores that came
/// before them.
fn play_stream_of_small_tasks(disabled: &[&str]) -> Option<u128> {
    let mut sim = simulation(2, disabled);
    let start = sim.now;
    for id in 0..4 {
        sim.submit(sized(id, LONG, 1, 12, ms(150 + 50 * id)));
    }
    sim.submit(sized(100, LONG, 1, 24, ms(200)));
    for id in 200..250 {
        sim.submit(sized(id, LONG, 1, 12, ms(200)));
        sim.run(ms(20));
    }
    assert_eq!(sim.duplicate_runs, []);
    start_delay(&sim, 100, start)
}

/// Load: small tasks that keep taking the halves of targets. Guards against a large task that waits
/// until none of them is left: it starts once the runs on the first target have ended.
#[test]
fn large_task_starts_when_the_runs_it_waits_for_have_ended() {
    let delay = play_stream_of_small_tasks(&[FORECASTS]);
    // The first two runs to end together on one target end after 200 ms; renewals take some time.
    assert!(delay.is_some_and(|ms| ms <= 320), "{delay:?}");
    let without = play_stream_of_small_tasks(&[FORECASTS, "reservation"]);
    assert!(without.is_none_or(|ms| ms > 600), "{without:?}");
}

/// Load: a large task waits for a run of 400 ms while tasks behind it would fit at once. Guards
/// against a reserved target that idles, and against runs that delay the reserved start.
#[test]
fn only_runs_that_end_before_the_reserved_start_are_backfilled() {
    for (cores, duration, is_started) in
        [(12, ms(200), true), (12, ms(300), false), (8, ms(900), true)]
    {
        let mut sim = simulation(1, &[FORECASTS]);
        let start = sim.now;
        sim.submit(sized(1, LONG, 1, 12, ms(400)));
        sim.submit(sized(2, LONG, 1, 24, ms(600)));
        sim.submit(sized(3, LONG, 1, cores, duration));
        let is_backfilled = start_delay(&sim, 3, start) == Some(0);
        assert_eq!(is_backfilled, is_started, "{cores} cores for {duration:?}");
        sim.run(ms(500));
        let delay = start_delay(&sim, 2, start);
        assert!(delay.is_some_and(|ms| ms <= 430), "{cores} cores: {delay:?}");
    }
}

/// Load: as above, but the later task is of a more urgent queue. Guards against a reservation that
/// holds up a job of higher priority.
#[test]
fn reservation_does_not_hold_up_a_more_urgent_job() {
    let mut sim = simulation(1, &[FORECASTS]);
    let start = sim.now;
    sim.submit(sized(1, LONG, 1, 12, ms(400)));
    sim.submit(sized(2, LONG, 1, 24, ms(600)));
    sim.submit(sized(3, URGENT, 1, 12, ms(700)));
    assert_eq!(start_delay(&sim, 3, start), Some(0));
}

/// Load: seven large tasks wait, and a small one behind them fits now. Guards against a pass that
/// ends at the large ones, so that a target idles that the small task could use.
#[test]
fn small_task_behind_many_large_ones_is_backfilled() {
    let play = |disabled: &[&str]| {
        let mut sim = simulation(2, disabled);
        let start = sim.now;
        sim.submit(sized(1, LONG, 2, 20, ms(600)));
        for id in 10..17 {
            sim.submit(sized(id, LONG, 1, 24, ms(300)));
        }
        sim.submit(sized(100, LONG, 1, 10, ms(100)));
        sim.run(ms(100));
        start_delay(&sim, 100, start)
    };
    assert_eq!(play(&[FORECASTS]), Some(0));
    assert_eq!(play(&[FORECASTS, "reservation"]), None);
}

/// Load: the target reserved for a large task stops answering. Guards against a reservation that
/// outlives its target, while the other target is given away.
#[test]
fn reservation_moves_when_its_target_fails() {
    let play = |disabled: &[&str]| {
        let mut sim = simulation(2, disabled);
        let start = sim.now;
        sim.submit(sized(1, LONG, 1, 16, ms(600)));
        sim.submit(sized(2, LONG, 1, 20, ms(800)));
        sim.submit(sized(3, LONG, 1, 24, ms(300)));
        sim.target(0).fault = Fault::Unresponsive;
        sim.run(ms(400));
        sim.submit(sized(4, LONG, 1, 12, ms(900)));
        sim.run(ms(900));
        (first_start(&sim, 3).map(|(n, _)| n), start_delay(&sim, 3, start))
    };
    let (target, delay) = play(&[FORECASTS]);
    assert_eq!(target, Some(1));
    assert!(delay.is_some_and(|ms| ms <= 830), "{delay:?}");
    let (_, without) = play(&[FORECASTS, "reservation"]);
    assert!(without.is_none_or(|ms| ms > 1_200), "{without:?}");
}

/// Load: tasks of 16, 19 and 13 cores, one after the other, on idle targets of 32. Guards against gaps
/// of three cores that no task fits, while another task finds no room.
#[test]
fn tasks_whose_sizes_match_are_paired() {
    let play = |disabled: &[&str]| {
        let mut sim = simulation(2, disabled);
        for id in 100..120 {
            sim.submit(sized(id, LONG, 1, [12, 16, 20][id as usize % 3], ms(20)));
            sim.run(ms(60));
        }
        let sizes = [13, 16, 16, 19];
        for (id, cores) in (1..).zip(sizes) {
            sim.submit(sized(id, LONG, 1, cores, ms(500)));
        }
        (1..=4).map(|id| first_start(&sim, id).map(|(n, _)| n)).collect::<Vec<_>>()
    };
    let targets = play(&[FORECASTS]);
    assert_eq!(targets, [Some(0), Some(1), Some(1), Some(0)]);
    let without = play(&[FORECASTS, "size-match"]);
    assert!(without.contains(&None), "{without:?}");
}

/// Load: a target of which 20 cores are free for long, and a task of 24. Guards against a forecast
/// that finds a free slot for it, so that it waits for nothing before it is refused.
#[test]
fn task_that_fits_only_late_is_refused_at_once() {
    let play = |disabled: &[&str]| {
        let mut sim = simulation(1, disabled);
        sim.submit(sized(1, LONG, 1, 12, ms(900)));
        let key = sim.submit(sized(2, URGENT, 1, 24, ms(200)));
        sim.outcome(key)
    };
    let outcome = play(&[]);
    let is_too_late = matches!(outcome, Some(Outcome::NotRun { refusal: Refusal::TooLate, .. }));
    assert!(is_too_late, "{outcome:?}");
    assert_eq!(play(&["size-forecast"]), None);
}

/// Load: targets with gaps of 13 cores, less than the mean task, and a task of 13. Guards against the
/// refusal of a job that could start at once.
#[test]
fn task_that_fits_in_a_small_gap_is_admitted() {
    let play = |disabled: &[&str]| {
        let mut sim = simulation(2, disabled);
        sim.submit(sized(1, LONG, 2, 19, ms(900)));
        sim.submit(sized(2, URGENT, 1, 13, ms(200)));
        first_start(&sim, 2).is_some()
    };
    assert!(play(&[]));
    assert!(!play(&["size-forecast"]));
}

/// A job of four tasks of 400 ms, two of which run at the same time on two targets, and its outcome.
fn play_wide_job(disabled: &[&str], has_remote: bool) -> (Simulation, SubmissionKey) {
    let mut sim = simulation(2, disabled);
    if has_remote {
        let spare = MilliCores(640_000);
        let address = ([127, 0, 0, 1], 9_999).into();
        sim.dispatcher.update_remote_shard("other".parse().unwrap(), address, spare, sim.now);
    }
    let mut job = sized(1, LONG, 4, 16, ms(400));
    job.steps[0].most_per_target = Some(1);
    job.time_to_deadline = ms(700);
    let key = sim.submit_with(job, true, false);
    (sim, key)
}

/// Load: a wide job of which only half can end in time. Guards against starting that half, whose work
/// is lost when the rest turns out to be late, both on arrival and in a pass over the queue.
#[test]
fn wide_job_whose_last_task_ends_late_starts_nothing() {
    for disabled in ["", FORECASTS] {
        let (sim, key) = play_wide_job(&[disabled], false);
        let outcome = sim.outcome(key);
        let is_refused = matches!(outcome, Some(Outcome::NotRun { refusal: Refusal::TooLate, .. }));
        assert!(is_refused, "{outcome:?}");
        assert_eq!(sim.start_count(), 0);
        let (sim, _) = play_wide_job(&[disabled, "wide-job-plan"], false);
        assert_eq!(sim.start_count(), 2);
    }
    let (sim, key) = play_wide_job(&[], true);
    assert_eq!((sim.start_count(), sim.redirected[0].0), (0, key));
}

/// Load: a wide job that waits for a run of 200 ms and then ends in time. Guards against refusing jobs
/// whose tasks can't all start at once.
#[test]
fn wide_job_that_can_end_in_time_is_started() {
    let mut sim = simulation(2, &[]);
    sim.submit(sized(1, LONG, 1, 20, ms(200)));
    let key = sim.submit(sized(2, LONG, 4, 16, ms(400)));
    assert_eq!(sim.start_count(), 3);
    sim.run(ms(1_000));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

/// Load: a job of more tasks than the forecast assigns one by one, on idle targets that run all of them
/// at once. Guards against the refusal of a job that ends in time.
#[test]
fn very_wide_job_on_idle_targets_is_admitted() {
    let mut sim = simulation(60, &[]);
    let key = sim.submit(sized(1, URGENT, 120, 16, ms(200)));
    assert_eq!((sim.outcome(key), sim.start_count()), (None, 120));
}

/// All starts of a mixed load: many tasks of `cores` or a little more, and some that need most of a
/// target.
fn play_mixed_load(cores: u64, disabled: &[&str]) -> Vec<(usize, TaskId, Moment)> {
    let mut sim = simulation(4, disabled);
    for id in 0..120 {
        let cores = if id % 12 == 5 { 24 } else { cores + id % 3 };
        sim.submit(sized(id, URGENT, 1, cores, ms(60 + 40 * (id % 5))));
        sim.run(ms(8));
    }
    sim.run(ms(1_000));
    let targets = sim.targets.values().enumerate();
    targets.flat_map(|(n, t)| t.starts.iter().map(move |(task, at)| (n, *task, *at))).collect()
}

/// Load: tasks that need a quarter of a target on average, and an overload. Guards against an effect
/// on pools for which placement was tuned before.
#[test]
fn pool_with_small_tasks_is_placed_as_before() {
    let look_ahead = "reservation,size-match,size-forecast,wide-job-plan";
    let is_same = |cores| play_mixed_load(cores, &[]) == play_mixed_load(cores, &[look_ahead]);
    assert!(is_same(6));
    // The same load with larger tasks is placed differently, so that the comparison shows something.
    assert!(!is_same(11));
}
