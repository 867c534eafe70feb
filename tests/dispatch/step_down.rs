//! What a dispatcher answers when it steps down, and what is left of the runs that it started.

use crate::simulation::{Fault, LONG, Simulation, URGENT, ms, submission};
use cranberrytray::{
    coordination::dispatch::SubmissionKey,
    state::job_submission::{CallerJobId, Outcome},
};

/// Guards against an answer that lets a run begin beside one that a dispatcher leaves when it steps down:
/// it sends no stops, so that what it started ends by its leases. A job is refused as not run only if
/// none of its tasks was ever started, and of others no run is left when callers submit them again.
#[test]
fn jobs_of_dispatcher_that_steps_down_run_alone() {
    for fault in [Fault::None, Fault::LosesStartReplies, Fault::DelaysStarts(ms(700))] {
        for phase in (0..320).step_by(40) {
            let mut sim = Simulation::new(2);
            sim.targets.values_mut().for_each(|target| target.clock_slowness = 2);
            let mut sim = sim.take_over();
            sim.run(ms(10_000 + phase));
            sim.target(0).fault = fault;
            let keys: Vec<SubmissionKey> =
                (1..8).map(|id| sim.submit(submission(id, LONG, 1, ms(1_400)))).collect();
            let orphan = sim.submit(submission(9, URGENT, 1, ms(1_400)));
            sim.run(ms(20));
            sim.dispatcher.cancel(orphan, sim.now);
            let again = sim.submit(submission(9, URGENT, 1, ms(1_400)));
            sim.run(ms(180));
            sim.dispatcher.abandon();
            sim.process_actions();
            let outcome = |n: usize| sim.outcome(keys[n]);
            let unknown: Vec<usize> =
                (0..7).filter(|n| outcome(*n) == Some(Outcome::Unknown)).collect();
            let refused: Vec<usize> =
                (0..7).filter(|n| matches!(outcome(*n), Some(Outcome::NotRun { .. }))).collect();
            let case = format!("{fault:?}, phase {phase} ms");
            assert!(sim.outcome(again).is_some(), "{case}");
            assert_eq!(unknown.len() + refused.len(), 7, "{case}");
            assert!(!unknown.is_empty() && !refused.is_empty(), "{case}");
            let started = |sim: &Simulation, n: usize| {
                let mut starts = sim.targets.values().flat_map(|target| &target.starts);
                starts.any(|(started, _)| started.job == CallerJobId::new(n as u64 + 1))
            };
            // The target executes late requests of the former dispatcher until then.
            sim.run(ms(960));
            assert!(refused.iter().all(|n| !started(&sim, *n)), "{case}");
            let left: usize = sim.targets.values().map(|target| target.running()).sum();
            assert_eq!(left, 0, "{case}");
            sim.run(ms(340));
            sim.targets.values_mut().for_each(|target| target.fault = Fault::None);
            sim.replace_dispatcher();
            sim.run(ms(100));
            for n in unknown {
                sim.submit(submission(n as u64 + 1, LONG, 1, ms(60)));
            }
            sim.run(ms(1_000));
            assert_eq!(sim.duplicate_runs, [], "{case}");
        }
    }
}

/// Guards against a refusal as not run that lets the entry VM submit the job at once to the successor, beside
/// a run that the former dispatcher started, while both reach the targets.
#[test]
fn jobs_refused_at_a_change_of_dispatcher_run_alone() {
    for phase in (0..320).step_by(20) {
        let mut sim = Simulation::new(2).take_over();
        sim.run(ms(phase));
        let jobs: Vec<(u64, SubmissionKey)> =
            (1..10).map(|id| (id, sim.submit(submission(id, LONG, 1, ms(300))))).collect();
        sim.run(ms(phase / 2));
        sim.dispatcher.abandon();
        sim.process_actions();
        let is_refused = |key| matches!(sim.outcome(key), Some(Outcome::NotRun { .. }));
        let refused: Vec<u64> =
            jobs.into_iter().filter(|(_, key)| is_refused(*key)).map(|(id, _)| id).collect();
        assert!(!refused.is_empty());
        sim.replace_dispatcher();
        for id in refused {
            sim.submit(submission(id, LONG, 1, ms(300)));
        }
        sim.run(ms(1_200));
        assert_eq!(sim.duplicate_runs, [], "phase {phase} ms");
    }
}
