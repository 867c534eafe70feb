//! Values that no sound caller, operator or target sends: what they belong to is refused or ignored,
//! and the others are served.

use crate::simulation::{LONG, Simulation, URGENT, config, ms, submission};
use cranberrytray::state::{
    job_submission::{CallerJobId, JobSubmission, Outcome, Refusal, RunNumber, TaskId},
    resources::{Accelerators, Mebibytes, MilliCores, Resources},
    target::{RunningRun, TargetId, TargetIncarnation, TargetInfo, TargetReport, TargetTime},
};
use std::{sync::Arc, time::Duration};

fn assert_serves(sim: &mut Simulation, id: u64) {
    let key = sim.submit(submission(id, URGENT, 2, ms(60)));
    sim.run(ms(200));
    assert_eq!(sim.outcome(key), Some(Outcome::Completed));
}

#[test]
fn job_with_huge_amounts_is_refused() {
    let mut sim = Simulation::new(2).take_over();
    let mut job = submission(1, LONG, 10_000, ms(1_000_000_000));
    job.steps[0].needs = Resources { cpu: MilliCores(u64::MAX), ..Resources::default() };
    let key =
        sim.submit_with(JobSubmission { time_to_deadline: Duration::MAX, ..job }, true, false);
    let outcome = sim.outcome(key);
    assert!(matches!(outcome, Some(Outcome::NotRun { refusal: Refusal::NoTarget, .. })));
    assert_serves(&mut sim, 2);
}

#[test]
fn configuration_with_a_huge_objective_is_served() {
    let mut sim = Simulation::new(2).take_over();
    let mut huge = config(2);
    for queue in &mut huge.queues {
        queue.objective_factor = 1e300;
        queue.objective_base = Duration::MAX;
        queue.timeout = Duration::MAX;
    }
    sim.dispatcher.set_config(Arc::new(huge));
    assert_serves(&mut sim, 1);
}

#[test]
fn report_with_huge_numbers_is_survived() {
    let mut sim = Simulation::new(2).take_over();
    let task = TaskId { job: CallerJobId::new(7), step: 0, index: 0 };
    let key = sim.submit(submission(7, LONG, 1, ms(500)));
    sim.run(ms(100));
    let n = (0..2).find(|&n| sim.target(n).running() > 0).unwrap();
    let report = TargetReport {
        clock: TargetTime(u64::MAX),
        running: vec![RunningRun { task, run: RunNumber(1), progress_percent: u32::MAX }],
        ..TargetReport::default()
    };
    let id = TargetId::from(format!("t{n}"));
    let now = sim.now;
    sim.dispatcher.on_lease_renewal_reply(&id, now, Ok(report), now);
    sim.process_actions();
    sim.run(ms(1_500));
    assert!(sim.outcome(key).is_some());
    assert_eq!(sim.duplicate_runs, []);
    assert_serves(&mut sim, 8);
}

/// Guards against dispatchers that end again and again because of one entry among the targets: with a
/// capacity of billions of cores, forecasts needed more memory than any machine has.
#[test]
fn target_with_huge_numbers_is_survived() {
    let huge: [fn(&mut TargetInfo); 3] = [
        |info| {
            info.capacity = Resources {
                cpu: MilliCores(u64::MAX),
                memory: Mebibytes(u64::MAX),
                accelerators: Accelerators(u64::MAX),
            };
        },
        |info| info.cold_for = Duration::MAX,
        |info| info.incarnation = TargetIncarnation(u64::MAX),
    ];
    for change in huge {
        let mut sim = Simulation::new(3).take_over();
        let mut odd = sim.unlist_target(2);
        change(&mut odd);
        sim.list_target(odd);
        assert_serves(&mut sim, 8);
        assert_eq!(sim.duplicate_runs, []);
    }
}

/// Guards against a target whose ends are never read again: it lists at most 500, and those of tasks that this
/// system doesn't start were never acknowledged.
#[test]
fn ends_of_other_tasks_are_acknowledged() {
    let mut sim = Simulation::new(1).take_over();
    let now = sim.now;
    let report = TargetReport { last_end: 700, ..sim.target(0).report(now) };
    sim.dispatcher.on_lease_renewal_reply(&TargetId::from("t0"), now, Ok(report), now);
    sim.process_actions();
    sim.run(ms(500));
    assert_eq!(sim.target(0).reported_end, 700);
}
