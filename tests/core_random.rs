//! Simulation of several cores, workers and a platform under random faults. The invariants are
//! checked at each step. A failure prints the command that repeats its seed.

use cranberrytray::{
    coordination::{
        config_update::{ConfigUpdate, Proposal, UpdateOutcome, UpdateStep, WriteResult},
        configuration::{ChangeRecord, ConfigRow, Configuration},
    },
    simulation::{
        engine::{CallerReply, SimulatedPlatform, Simulation, SimulationLayout},
        worker::WorkerFault,
    },
    state::{
        id::ConfigVersion,
        job::{Answer, JobSpec, TaskSpec},
        policy::{Policy, SlotSharing},
        time::Moment,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const SEED_COUNT: u64 = 400;
/// Virtual time between two steps, at each of which jobs are sent and a fault may occur.
const STEP: Duration = Duration::from_millis(50);
const STEP_COUNT: u32 = 400;
/// Virtual time after the last fault in which every deadline and lease expires and every lent slot
/// returns to its owner.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Five entry VMs in two zones, with six workers and random slot sharing.
fn random_simulation(seed: u64, rng: &mut SmallRng) -> Simulation {
    let sharing = [SlotSharing::Lending, SlotSharing::Divided, SlotSharing::Everywhere]
        [rng.random_range(0..3)];
    let policy = Policy { max_queued_tasks: 300, ticket_life_ms: 20_000, ..Policy::default() };
    let slowness = |rng: &mut SmallRng| rng.random_range(1.0..3.0);
    let policy = policy.dispatchers(rng.random_range(1..4));
    let layout = SimulationLayout {
        vms: vec![0, 0, 0, 1, 1],
        workers: (0..6).map(|i| (i % 2, 3, slowness(rng))).collect(),
        policy: policy.sharing(sharing),
        teams: vec![("drafting".parse().unwrap(), Default::default())],
        seed,
    };
    Simulation::new(layout)
}

/// A random job, and the run time of each of its tasks on the fastest worker, in seconds.
fn random_job(rng: &mut SmallRng) -> (JobSpec, Vec<f64>) {
    let spec = JobSpec::new("drafting".parse().unwrap(), "sort".parse().unwrap());
    let task_seconds: Vec<f64> =
        (0..rng.random_range(1..8)).map(|_| rng.random_range(0.02..0.4)).collect();
    let spec = task_seconds
        .iter()
        .fold(spec, |spec, s| spec.task(TaskSpec::new("").declared_ms((s * 1_000.0) as u64 + 1)));
    (spec.deadline_ms(rng.random_range(300..4_000)), task_seconds)
}

fn random_vm(rng: &mut SmallRng, simulation: &Simulation) -> usize {
    rng.random_range(0..simulation.vm_count())
}

/// Causes a random fault, the end of one, or a configuration change with the next operation number.
fn random_fault(rng: &mut SmallRng, simulation: &mut Simulation, operation: &mut u64) {
    let vm = random_vm(rng, simulation);
    let worker = rng.random_range(0..simulation.workers.len());
    match rng.random_range(0..14) {
        0 => simulation.kill_vm(vm),
        1 => simulation.pause_vm(vm),
        2 => simulation.resume_vm(vm),
        3 if simulation.core(vm).is_none() => simulation.start_vm(vm),
        4 => simulation.start_leaving(vm),
        5 => {
            simulation.finish_leaving(vm);
        }
        6 => simulation.kill_worker(worker),
        7 => simulation.set_worker_fault(worker, WorkerFault::None),
        8 => {
            let faults = [
                WorkerFault::RefuseAll,
                WorkerFault::DropBeforeStart,
                WorkerFault::DropAfterStart,
                WorkerFault::FailAll,
            ];
            simulation.set_worker_fault(worker, faults[rng.random_range(0..4)]);
        }
        9 => simulation.partition_zones(0, 1),
        10 => simulation.heal_partitions(),
        11 => {
            simulation.platform = SimulatedPlatform {
                down: rng.random_bool(0.4),
                write_reply_loss: if rng.random_bool(0.5) { 0.5 } else { 0.0 },
                stale_reads: rng.random_bool(0.3),
            };
        }
        12 => simulation.workers[worker].leaving ^= true,
        _ => {
            *operation += 1;
            let base = simulation.core(vm).map_or(ConfigVersion(1), |core| core.config_version());
            simulation.propose_config(vm, base, *operation, 2);
        }
    }
}

/// Ends all faults and starts the entry VMs that are down.
fn end_faults(simulation: &mut Simulation) {
    simulation.heal_partitions();
    simulation.platform = SimulatedPlatform::default();
    for vm in 0..simulation.vm_count() {
        simulation.resume_vm(vm);
        if simulation.core(vm).is_none() {
            simulation.start_vm(vm);
        }
    }
    for worker in 0..simulation.workers.len() {
        simulation.set_worker_fault(worker, WorkerFault::None);
        simulation.workers[worker].leaving = false;
    }
}

/// Runs one seed through all steps and the time to settle.
fn run_seed(seed: u64) -> Simulation {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = random_simulation(seed, &mut rng);
    let mut operation = 0;
    for step in 1..=STEP_COUNT {
        for _ in 0..rng.random_range(0..3) {
            let (spec, task_seconds) = random_job(&mut rng);
            let (issuer, via) =
                (random_vm(&mut rng, &simulation), random_vm(&mut rng, &simulation));
            if !simulation.is_paused(issuer) {
                simulation.submit_new_job(issuer, via, spec, task_seconds);
            }
        }
        if !simulation.jobs.is_empty() && rng.random_bool(0.3) {
            let job =
                rng.random_range(simulation.jobs.len().saturating_sub(30)..simulation.jobs.len());
            let via = random_vm(&mut rng, &simulation);
            match rng.random_bool(0.2) {
                true => simulation.cancel(job, via),
                false => simulation.submit(job, via),
            }
        }
        if rng.random_bool(0.15) {
            random_fault(&mut rng, &mut simulation, &mut operation);
        }
        simulation.run_until(Moment::new(STEP * step));
    }
    end_faults(&mut simulation);
    simulation.run_until(simulation.now() + SETTLE_TIME);
    simulation.check_replies();
    simulation
}

/// The seed in the environment variable `SEED`, or all seeds if it is not set.
fn seeds() -> Vec<u64> {
    match std::env::var("SEED").ok().and_then(|text| text.parse().ok()) {
        Some(seed) => vec![seed],
        None => (0..SEED_COUNT).collect(),
    }
}

/// The command that repeats a seed, for messages of failed assertions.
fn repeat_command(seed: u64) -> String {
    format!("repeat with: SEED={seed} cargo test --test core_random")
}

#[test]
fn simulation_random_faults_keep_invariants() {
    let mut answered = 0;
    for seed in seeds() {
        let simulation = run_seed(seed);
        assert!(
            simulation.violations.is_empty(),
            "{:#?}\n{}",
            simulation.violations,
            repeat_command(seed)
        );
        for vm in 0..simulation.vm_count() {
            let Some(core) = simulation.core(vm) else { continue };
            let version = core.config_version();
            assert_eq!(
                version,
                simulation.latest_config_version(),
                "vm {vm}; {}",
                repeat_command(seed)
            );
            assert!(core.is_drained(), "vm {vm} has open jobs; {}", repeat_command(seed));
            let gauges = core.gauges(simulation.now());
            assert_eq!(
                (gauges.queued, gauges.running),
                (0, 0),
                "vm {vm}; {}",
                repeat_command(seed)
            );
            assert_eq!(gauges.borrowed, 0, "vm {vm} still borrows slots; {}", repeat_command(seed));
        }
        let is_answer = |reply: &(Moment, CallerReply)| matches!(reply.1, CallerReply::Answer(_));
        answered += simulation.jobs.iter().filter(|job| job.replies.iter().any(is_answer)).count();
    }
    assert!(answered > 0, "no job was answered under any seed");
}

#[test]
fn simulation_same_seed_gives_same_run() {
    let (a, b) = (run_seed(7), run_seed(7));
    assert_eq!(a.event_counts, b.event_counts);
    assert_eq!(a.jobs.len(), b.jobs.len());
}

#[test]
fn simulation_without_faults_completes_every_job() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut simulation = random_simulation(1, &mut rng);
    simulation.run_until(Moment::new(Duration::from_secs(1)));
    for vm in 0..simulation.vm_count() {
        let spec = JobSpec::new("drafting".parse().unwrap(), "sort".parse().unwrap());
        let spec = (0..5).fold(spec, |spec, _| spec.task(TaskSpec::new("").declared_ms(100)));
        simulation.submit_new_job(vm, (vm + 1) % 5, spec, vec![0.1; 5]);
    }
    simulation.run_until(Moment::new(Duration::from_secs(10)));
    simulation.check_replies();
    assert!(simulation.violations.is_empty(), "{:#?}", simulation.violations);
    for job in &simulation.jobs {
        let is_complete = |reply: &CallerReply| matches!(reply, CallerReply::Answer(a) if matches!(a.as_ref(), Answer::Complete { .. }));
        assert!(job.replies.iter().any(|(_, reply)| is_complete(reply)), "{:?}", job.replies);
    }
}

#[test]
fn config_update_two_operators_race_one_wins() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut simulation = random_simulation(seed, &mut rng);
        simulation.platform.write_reply_loss = 0.5;
        let first = simulation.propose_config(0, ConfigVersion(1), 1, 5);
        let second = simulation.propose_config(3, ConfigVersion(1), 2, 5);
        assert!(
            matches!(first, Some(UpdateOutcome::Accepted { version: ConfigVersion(2), .. })),
            "{first:?}"
        );
        assert!(matches!(second, Some(UpdateOutcome::Conflict(_))), "{second:?}");
        let again = simulation.propose_config(1, ConfigVersion(1), 1, 5);
        assert!(
            matches!(again, Some(UpdateOutcome::Accepted { version: ConfigVersion(2), .. })),
            "{again:?}"
        );
        assert_eq!(simulation.latest_config_version(), ConfigVersion(2));
    }
}

#[test]
fn config_update_both_read_before_either_writes_one_wins() {
    let proposal = |operation: &str| Proposal {
        base: ConfigVersion(1),
        configuration: Configuration::default(),
        change: ChangeRecord {
            version: ConfigVersion::default(),
            operation: operation.to_owned(),
            operator: String::new(),
            note: String::new(),
        },
    };
    let first_row = ConfigRow { version: ConfigVersion(1), document: Default::default() };
    let (mut a, _) = ConfigUpdate::new(proposal("a"));
    let (mut b, _) = ConfigUpdate::new(proposal("b"));
    let UpdateStep::Write(row_a) = a.on_read(Some(first_row.clone())) else {
        panic!("a doesn't write")
    };
    let UpdateStep::Write(row_b) = b.on_read(Some(first_row)) else { panic!("b doesn't write") };
    assert_eq!(row_a.version, row_b.version);
    assert!(matches!(
        a.on_write(WriteResult::Written),
        UpdateStep::Done(UpdateOutcome::Accepted { .. })
    ));
    assert!(matches!(b.on_write(WriteResult::Mismatch), UpdateStep::Read));
    let end = b.on_read(Some(row_a));
    assert!(matches!(end, UpdateStep::Done(UpdateOutcome::Conflict(_))), "{end:?}");
}
