//! Sites whose platform declares other bounds on leases and runs: the dispatcher's timeouts follow.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission};
use cranberrytray::{
    coordination::dispatch::{
        submitters::SubmitterId,
        timing::{RunBounds, Timing, TimingError, USUAL_SILENCE},
    },
    state::job_submission::Outcome,
};

/// Half and double of each usual bound, alone and in pairs.
fn sites() -> Vec<RunBounds> {
    let mut sites = Vec::new();
    for max_lease in [250, 500, 1_000, 2_000] {
        for max_stop in [20, 50, 100, 200, 250] {
            for resubmit_delay in [500, 650, 1_300, 3_000] {
                sites.push(RunBounds {
                    max_lease: ms(max_lease),
                    max_stop: ms(max_stop),
                    resubmit_delay: ms(resubmit_delay),
                    ..RunBounds::default()
                });
            }
        }
    }
    sites
}

#[test]
fn timing_keeps_the_bounds() {
    for bounds in sites() {
        let timing = Timing::try_from(bounds).unwrap();
        assert!(timing.lease < bounds.max_lease, "{bounds:?} {timing:?}");
        // A run whose dispatcher is lost has ended before its job is submitted again.
        assert!(timing.lease_bound < bounds.resubmit_delay, "{bounds:?} {timing:?}");
        // So it has where the dispatcher lives and the submitter was lost at the end of a usual silence.
        let left = bounds.resubmit_delay - USUAL_SILENCE;
        assert!(timing.lease_bound <= left, "{bounds:?} {timing:?}");
        assert!(timing.unresponsive_timeout >= USUAL_SILENCE, "{bounds:?} {timing:?}");
        assert!(timing.renewal_wait * 2 < timing.lease, "{bounds:?} {timing:?}");
        assert!(timing.suspension_threshold < timing.lease, "{bounds:?} {timing:?}");
        assert!(timing.stop > bounds.max_stop, "{bounds:?} {timing:?}");
    }
}

#[test]
fn timing_rejects_bounds_that_no_timeouts_meet() {
    let short = RunBounds { max_lease: ms(120), ..RunBounds::default() };
    assert!(matches!(Timing::try_from(short), Err(TimingError::LeaseTooShort { .. })));
    for delay in [0, 200, 300, 400, 492] {
        let hasty = RunBounds { resubmit_delay: ms(delay), ..RunBounds::default() };
        let res = Timing::try_from(hasty);
        assert!(matches!(res, Err(TimingError::LeaseTooShort { .. })), "{delay} ms");
    }
    let shortest = RunBounds { resubmit_delay: ms(493), ..RunBounds::default() };
    assert!(Timing::try_from(shortest).is_ok());
    for factor in [0.5, f64::NAN, f64::INFINITY] {
        let bad = RunBounds { off_rack_factor: factor, ..RunBounds::default() };
        assert!(matches!(Timing::try_from(bad), Err(TimingError::OffRackFactor { .. })));
    }
}

/// Guards against jobs that wait although their submitter is alive: between two heartbeats its last proof
/// is older than a full lease leaves time for.
#[test]
fn job_of_live_submitter_starts_at_once() {
    for bounds in sites() {
        for silence in [0, 120, 240, 300] {
            let mut sim = Simulation::with_bounds(1, bounds).take_over();
            let (submitter, now) = (SubmitterId(1), sim.now);
            let job = submission(1, LONG, 1, ms(300));
            sim.dispatcher.submit_for(submitter, now - ms(silence), job, false, false, now);
            sim.process_actions();
            assert_eq!(sim.start_count(), 1, "silent for {silence} ms, {bounds:?}");
        }
    }
}

/// Guards against targets that count as faulty: leases of runs expired there, as they can't be renewed
/// any more for a submitter that doesn't count as lost yet.
#[test]
fn silent_submitter_is_lost_before_its_leases_expire() {
    for bounds in sites() {
        let mut sim = Simulation::with_bounds(1, bounds).take_over();
        let timing = Timing::try_from(bounds).unwrap();
        let (job, now) = (submission(1, LONG, 1, ms(1_400)), sim.now);
        let key = sim.dispatcher.submit_for(SubmitterId(1), now, job, false, false, now);
        sim.process_actions();
        sim.run(timing.unresponsive_timeout);
        assert_eq!(sim.target(0).running(), 1, "{bounds:?}");
        assert_eq!(sim.dispatcher.counts().lost_runs, 0, "{bounds:?}");
        sim.dispatcher.cancel(key, sim.now);
        sim.process_actions();
        sim.run(ms(400));
        assert_eq!(sim.target(0).running(), 0, "{bounds:?}");
    }
}

/// Guards against two runs of a task at once where stops take long: a cancelled job is submitted
/// again while its runs are being stopped.
#[test]
fn cancelled_job_waits_for_slow_stops() {
    for bounds in sites() {
        let mut sim = Simulation::with_bounds(2, bounds).take_over();
        let first = sim.submit(submission(1, LONG, 2, ms(600)));
        sim.run(ms(20));
        sim.dispatcher.cancel(first, sim.now);
        sim.process_actions();
        let again = sim.submit(submission(1, LONG, 2, ms(100)));
        sim.run(ms(600));
        assert_eq!(sim.duplicate_runs, [], "{bounds:?}");
        assert_eq!(sim.outcome(again), Some(Outcome::Completed), "{bounds:?}");
    }
}

/// Short leases are renewed in time: no run is lost at the usual load.
#[test]
fn usual_load_loses_no_lease() {
    for bounds in sites() {
        let mut sim = Simulation::with_bounds(4, bounds).take_over();
        let mut keys = Vec::new();
        for id in 0..40 {
            keys.push(sim.submit(submission(id, URGENT, 4, ms(60))));
            sim.run(ms(40));
        }
        keys.push(sim.submit(submission(99, LONG, 4, ms(900))));
        sim.run(ms(1_400));
        let done = keys.iter().filter(|key| sim.outcome(**key) == Some(Outcome::Completed));
        assert_eq!(done.count(), keys.len(), "{bounds:?}");
        assert_eq!(sim.dispatcher.counts().lost_runs, 0, "{bounds:?}");
    }
}

/// Resumed jobs wait for the leases that a lost dispatcher granted, which last longer or shorter.
#[test]
fn resumed_job_waits_for_the_leases_of_its_site() {
    for bounds in sites() {
        let mut sim = Simulation::with_bounds(2, bounds);
        sim.list_status.is_complete = false;
        sim.publish_targets();
        let key = sim.submit_with(submission(7, URGENT, 1, ms(60)), false, true);
        let timing = Timing::try_from(bounds).unwrap();
        sim.run(timing.lease);
        assert_eq!((sim.start_count(), sim.outcome(key)), (0, None), "{bounds:?}");
    }
}

/// A target that loses stop requests: its leases end the runs, whatever their length.
#[test]
fn unconfirmed_stop_ends_by_the_lease_of_its_site() {
    for bounds in sites() {
        let mut sim = Simulation::with_bounds(1, bounds).take_over();
        let key = sim.submit(submission(1, LONG, 1, ms(1_400)));
        sim.run(ms(50));
        sim.target(0).fault = Fault::LosesStopRequests;
        sim.dispatcher.cancel(key, sim.now);
        sim.process_actions();
        sim.submit(submission(1, LONG, 1, ms(100)));
        sim.run(ms(1_500));
        assert_eq!(sim.duplicate_runs, [], "{bounds:?}");
    }
}
