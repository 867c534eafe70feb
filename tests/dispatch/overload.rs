//! More jobs than the dispatcher's processor can consider, on targets that could run more.

use crate::simulation::{Simulation, URGENT, ms, submission};
use cranberrytray::{
    coordination::dispatch::{SubmissionKey, TICK_INTERVAL},
    state::{
        job_submission::{Outcome, Refusal},
        mechanism::{Mechanism, MechanismSet},
        resources::MilliCores,
        time::Moment,
    },
};
use std::{collections::VecDeque, time::Duration};

/// Processor time of a job that is admitted, with its starts and their replies.
const ADMITTED_COST: Duration = Duration::from_micros(1_500);
/// Processor time of a job that is refused without a forecast.
const REFUSED_COST: Duration = Duration::from_micros(150);
/// Jobs that the processor can admit in a second.
const CAPACITY: usize = 667;
/// Time after which an answer is of no use to the caller.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// A job that a caller has sent, and the key that it got once the dispatcher turned to it.
struct Sent {
    at: Moment,
    key: Option<SubmissionKey>,
}

/// Sends `per_s` jobs a second for `span` to a dispatcher whose processor takes the given times for
/// them, in order of arrival, and calls its timer when it is free. Returns the number of jobs that
/// are completed in time for their callers.
fn completed_in_time(sim: &mut Simulation, per_s: usize, span: Duration) -> usize {
    sim.manual_ticks = true;
    let mut jobs: Vec<Sent> = Vec::new();
    let mut backlog: VecDeque<usize> = VecDeque::new();
    let (mut busy_until, mut next_tick) = (sim.now, sim.now);
    let begun = sim.now;
    while sim.now < begun + span {
        let due = (sim.now - begun).as_millis() as usize * per_s / 1_000;
        while jobs.len() < due {
            backlog.push_back(jobs.len());
            jobs.push(Sent { at: sim.now, key: None });
        }
        while busy_until <= sim.now {
            // The timer takes its turn behind the jobs that arrived before it fired.
            let first = backlog.front().filter(|n| jobs[**n].at <= next_tick).copied();
            if let Some(n) = first {
                backlog.pop_front();
                let admitted = sim.dispatcher.counts().admitted;
                jobs[n].key = Some(sim.submit(submission(50_000 + n as u64, URGENT, 1, ms(60))));
                let is_admitted = sim.dispatcher.counts().admitted > admitted;
                busy_until = busy_until + if is_admitted { ADMITTED_COST } else { REFUSED_COST };
            } else if next_tick <= sim.now {
                sim.tick();
                next_tick = sim.now + TICK_INTERVAL;
            } else {
                busy_until = sim.now + ms(1);
            }
        }
        sim.run(ms(1));
    }
    let is_in_time = |job: &&Sent| {
        let answer = job.key.and_then(|key| sim.answers.get(&key));
        answer
            .is_some_and(|(outcome, at)| *outcome == Outcome::Completed && *at - job.at <= PATIENCE)
    };
    jobs.iter().filter(is_in_time).count()
}

/// Three times the jobs that the processor can admit, for ten seconds: most of what it can serve is
/// still served. Without a limit on its lag, jobs wait until their callers are gone.
#[test]
fn processor_overload_leaves_most_of_the_capacity() {
    let span = Duration::from_secs(10);
    let possible = CAPACITY * span.as_secs() as usize;
    let mut sim = Simulation::new(40).take_over();
    let served = completed_in_time(&mut sim, 3 * CAPACITY, span);
    assert!(served * 2 >= possible, "{served} of {possible}");
    assert!(sim.dispatcher.counts().shed_for_lag > 0);

    let mut sim = Simulation::new(40).take_over();
    let disabled = [Mechanism::LagShedding].into_iter().collect();
    sim.dispatcher.disable(MechanismSet::optional().union(disabled));
    let served = completed_in_time(&mut sim, 3 * CAPACITY, span);
    assert!(served * 2 < possible, "{served} of {possible} without the mechanism");
}

/// The usual load of a processor: nothing is shed.
#[test]
fn usual_processor_load_sheds_nothing() {
    let mut sim = Simulation::new(40).take_over();
    let served = completed_in_time(&mut sim, CAPACITY * 3 / 4, Duration::from_secs(4));
    assert!(served + 60 >= CAPACITY * 3, "{served}");
    assert_eq!(sim.dispatcher.counts().shed_for_lag, 0);
}

/// Makes the dispatcher late by `lag` once.
fn fall_behind(sim: &mut Simulation, lag: Duration) {
    sim.manual_ticks = true;
    sim.tick();
    sim.run(TICK_INTERVAL + lag);
    sim.tick();
}

/// The dispatcher is behind: a new job is refused at once, as not run, and callers return at
/// different times.
#[test]
fn job_at_a_dispatcher_that_is_behind_is_refused_with_spread_delays() {
    let mut sim = Simulation::new(4).take_over();
    fall_behind(&mut sim, ms(300));
    let mut delays = Vec::new();
    for id in 0..50 {
        let key = sim.submit(submission(id, URGENT, 1, ms(60)));
        match sim.outcome(key) {
            Some(Outcome::NotRun { refusal: Refusal::QueueFull, retry_after }) => {
                delays.push(retry_after);
            }
            outcome => panic!("{outcome:?}"),
        }
    }
    assert_eq!(sim.start_count(), 0);
    let (first, last) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
    assert!(*first >= ms(400) && *last - *first >= ms(1_000), "{first:?} to {last:?}");
}

/// The dispatcher is behind while another shard has room: the job goes there.
#[test]
fn job_at_a_dispatcher_that_is_behind_goes_to_a_shard_with_room() {
    let mut sim = Simulation::new(4).take_over();
    fall_behind(&mut sim, ms(300));
    let spare = MilliCores(1_000_000);
    let address = ([127, 0, 0, 1], 1).into();
    sim.dispatcher.update_remote_shard("zone/1".parse().unwrap(), address, spare, sim.now);
    let key = sim.submit_with(submission(1, URGENT, 1, ms(60)), true, false);
    assert_eq!(sim.redirected, [(key, address)]);
}

/// A job that may have run under an earlier dispatcher is decided on with a forecast, so that one which
/// can still end in time is not lost.
#[test]
fn resumed_job_is_not_shed() {
    let mut sim = Simulation::new(4).take_over();
    fall_behind(&mut sim, ms(300));
    sim.submit_with(submission(1, URGENT, 1, ms(60)), false, true);
    assert_eq!(sim.dispatcher.counts().shed_for_lag, 0);
}
