//! Usage: `cranberrytray bench [--scenario NAME]... [--policy NAME]... [--seeds N] [--seconds S]`
//!
//! Compares the dispatcher's policies with simple baselines in a simulation in virtual time. The
//! seeds are paired: every policy gets the same jobs.

use super::{CmdError, CmdResult, Exit, number_arg, required};
use crate::{
    simulation::{
        measure::{Figures, Scenario, ratio, run as run_scenario},
        scenario,
    },
    state::policy::{Policy, SlotSharing, WorkerChoice},
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use std::{thread, time::Duration};

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    let names_arg = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").help(help).action(ArgAction::Append)
    };
    Command::new("bench")
        .about("Compares policies with simple baselines, in virtual time with paired seeds")
        .arg(names_arg("scenario", "Run only this scenario; may be repeated"))
        .arg(names_arg("policy", "Run only this policy; may be repeated"))
        .arg(number_arg("seeds", "4", "Number of runs of each scenario, with seeds 1 to N", 10_000))
        .arg(number_arg("seconds", "40", "Virtual duration of a run, in seconds", 10_000))
}

/// Returns the policies to compare and their names.
fn policies() -> Vec<(&'static str, Policy)> {
    let baseline = Policy {
        express_share: 0.0,
        admission: false,
        fair: false,
        set_aside: false,
        ..Policy::default().dispatchers(3).sharing(SlotSharing::Everywhere)
    };
    vec![
        ("default", Policy::default()),
        ("waste-weight-1", Policy { waste_weight: 1.0, ..Policy::default() }),
        ("three-dispatchers", Policy::default().dispatchers(3)),
        ("divided", Policy::default().dispatchers(3).sharing(SlotSharing::Divided)),
        ("everywhere", Policy::default().dispatchers(3).sharing(SlotSharing::Everywhere)),
        (
            "everywhere-few-retries",
            Policy {
                retry_share: 0.1,
                ..Policy::default().dispatchers(3).sharing(SlotSharing::Everywhere)
            },
        ),
        ("least-outstanding", Policy::default().choice(WorkerChoice::LeastOutstanding)),
        ("no-express", Policy { express_share: 0.0, ..Policy::default() }),
        ("express-8", Policy { express_share: 0.08, ..Policy::default() }),
        ("express-15", Policy { express_share: 0.15, ..Policy::default() }),
        ("no-admission", Policy { admission: false, ..Policy::default() }),
        ("first-come", Policy { fair: false, ..Policy::default() }),
        ("no-set-aside", Policy { set_aside: false, ..Policy::default() }),
        ("plain-round-robin", baseline.clone().choice(WorkerChoice::RoundRobin)),
        ("plain-random", baseline.clone().choice(WorkerChoice::Random)),
        ("plain-least-outstanding", baseline.choice(WorkerChoice::LeastOutstanding)),
    ]
}

fn selected_names<'a>(args: &'a ArgMatches, name: &str) -> Vec<&'a str> {
    args.get_many::<String>(name).unwrap_or_default().map(String::as_str).collect()
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`CmdError`] if a scenario can't be built or run.
pub fn run(args: &ArgMatches) -> CmdResult {
    let span = Duration::from_secs(required(args, "seconds"));
    let seeds: u64 = required(args, "seeds");
    let (only_scenarios, only_policies) =
        (selected_names(args, "scenario"), selected_names(args, "policy"));
    let is_selected = |only: &[&str], name: &str| only.is_empty() || only.contains(&name);
    let mut policies = policies();
    policies.retain(|(name, _)| is_selected(&only_policies, name));
    println!(
        "{:<26} {:>6} {:>6} {:>6} {:>6} | {:>20} | {:>15} | {:>20} | {:>6} {:>7} {:>7} {:>6} {:>8} {:>5}",
        "scenario / policy",
        "jobs",
        "notrun",
        "failed",
        "unkn",
        "task p50/p99/p999",
        "single p50/99/999",
        "job p50/p99/p999",
        "msgs",
        "wasted",
        "goodput",
        "starts",
        "refusal",
        "bad"
    );
    let mut exit = Exit::Success;
    for scenario in scenario::all(span)? {
        if !is_selected(&only_scenarios, scenario.name) {
            continue;
        }
        println!("{}", scenario.name);
        let rows: Vec<Result<Figures, CmdError>> = thread::scope(|scope| {
            let threads: Vec<_> = policies
                .iter()
                .map(|(_, policy)| scope.spawn(|| run_seeds(&scenario, policy, seeds)))
                .collect();
            let results = threads.into_iter().map(|thread| thread.join());
            results.map(|row| row.unwrap_or_else(|e| std::panic::resume_unwind(e))).collect()
        });
        for ((name, _), figures) in policies.iter().zip(rows) {
            let figures = figures?;
            print_row(name, &scenario, &figures);
            if !figures.violations.is_empty() {
                eprintln!("violated guarantees: {:#?}", figures.violations);
                exit = Exit::Failed;
            }
        }
    }
    Ok(exit)
}

/// Runs a scenario with the seeds 1 to `seeds` and returns the combined figures.
fn run_seeds(scenario: &Scenario, policy: &Policy, seeds: u64) -> Result<Figures, CmdError> {
    let mut figures = run_scenario(scenario, policy, 1)?;
    for seed in 2..=seeds {
        figures.add(&run_scenario(scenario, policy, seed)?);
    }
    Ok(figures)
}

fn print_row(name: &str, scenario: &Scenario, figures: &Figures) {
    let quantiles = |histogram| {
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| ratio(histogram, q));
        format!("{p50:.2}/{p99:.2}/{p999:.2}")
    };
    println!(
        "  {:<24} {:>6} {:>6} {:>6} {:>6} | {:>20} | {:>15} | {:>20} | {:>6.3} {:>7.4} {:>7.3} {:>6} {:>6.1}ms {:>5.3}",
        name,
        figures.jobs,
        figures.not_run,
        figures.failed,
        figures.unknown,
        quantiles(&figures.task_ratio),
        quantiles(&figures.single_ratio),
        quantiles(&figures.job_ratio),
        figures.messages_per_task(),
        figures.wasted_per_task(),
        figures.goodput(),
        figures.max_starts,
        figures.refusal_us.value_at_quantile(0.99) as f64 / 1_000.0,
        figures.failing_worker_share,
    );
    if scenario.load.teams.len() > 1 {
        for ((team, _), histogram) in scenario.load.teams.iter().zip(&figures.team_ratio) {
            println!("      team {team}: {} over {} jobs", quantiles(histogram), histogram.len());
        }
    }
}
