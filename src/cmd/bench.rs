//! Usage: `cranberrytray bench [--scenario NAME]... [--policy NAME]... [--seeds N] [--seconds S]`
//!
//! Measures the dispatcher's policies against plain baselines, in virtual time and with paired
//! seeds: every policy meets the same jobs.

use super::{CmdError, CmdResult, Exit, number_arg, required};
use crate::{
    state::policy::{Choice, Policy, Sharing},
    trial::{
        measure::{Figures, Scenario, ratio, run as run_scenario},
        scenario,
    },
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use std::{thread, time::Duration};

/// The arguments.
pub fn command() -> Command {
    let names = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").help(help).action(ArgAction::Append)
    };
    Command::new("bench")
        .about("Measures policies against plain baselines, in virtual time with paired seeds")
        .arg(names("scenario", "Only this scenario; may be given several times"))
        .arg(names("policy", "Only this policy; may be given several times"))
        .arg(number_arg("seeds", "4", "Runs of each scenario, with seeds 1 to N", 10_000))
        .arg(number_arg("seconds", "40", "Virtual length of a run", 10_000))
}

/// The policies compared, by name.
fn policies() -> Vec<(&'static str, Policy)> {
    let plain = Policy {
        express_share: 0.0,
        admission: false,
        fair: false,
        set_aside: false,
        ..Policy::default().dispatchers(3).sharing(Sharing::Everywhere)
    };
    vec![
        ("default", Policy::default()),
        ("waste-weight-1", Policy { waste_weight: 1.0, ..Policy::default() }),
        ("three-dispatchers", Policy::default().dispatchers(3)),
        ("divided", Policy::default().dispatchers(3).sharing(Sharing::Divided)),
        ("everywhere", Policy::default().dispatchers(3).sharing(Sharing::Everywhere)),
        (
            "everywhere-few-retries",
            Policy {
                retry_share: 0.1,
                ..Policy::default().dispatchers(3).sharing(Sharing::Everywhere)
            },
        ),
        ("least-outstanding", Policy::default().choice(Choice::LeastOutstanding)),
        ("no-express", Policy { express_share: 0.0, ..Policy::default() }),
        ("express-8", Policy { express_share: 0.08, ..Policy::default() }),
        ("express-15", Policy { express_share: 0.15, ..Policy::default() }),
        ("no-admission", Policy { admission: false, ..Policy::default() }),
        ("first-come", Policy { fair: false, ..Policy::default() }),
        ("no-set-aside", Policy { set_aside: false, ..Policy::default() }),
        ("plain-round-robin", plain.clone().choice(Choice::RoundRobin)),
        ("plain-random", plain.clone().choice(Choice::Random)),
        ("plain-least-outstanding", plain.choice(Choice::LeastOutstanding)),
    ]
}

fn chosen<'a>(args: &'a ArgMatches, name: &str) -> Vec<&'a str> {
    args.get_many::<String>(name).unwrap_or_default().map(String::as_str).collect()
}

/// Runs the command.
///
/// # Errors
///
/// A [`CmdError`].
pub fn run(args: &ArgMatches) -> CmdResult {
    let span = Duration::from_secs(required(args, "seconds"));
    let seeds: u64 = required(args, "seeds");
    let (only_scenarios, only_policies) = (chosen(args, "scenario"), chosen(args, "policy"));
    let wanted = |only: &[&str], name: &str| only.is_empty() || only.contains(&name);
    let mut policies = policies();
    policies.retain(|(name, _)| wanted(&only_policies, name));
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
        if !wanted(&only_scenarios, scenario.name) {
            continue;
        }
        println!("{}", scenario.name);
        let rows: Vec<Result<Figures, CmdError>> = thread::scope(|scope| {
            let running: Vec<_> = policies
                .iter()
                .map(|(_, policy)| scope.spawn(|| run_seeds(&scenario, policy, seeds)))
                .collect();
            let joined = running.into_iter().map(|thread| thread.join());
            joined.map(|row| row.unwrap_or_else(|e| std::panic::resume_unwind(e))).collect()
        });
        for ((name, _), figures) in policies.iter().zip(rows) {
            let figures = figures?;
            print_row(name, &scenario, &figures);
            if !figures.broken.is_empty() {
                eprintln!("broken promises: {:#?}", figures.broken);
                exit = Exit::Failed;
            }
        }
    }
    Ok(exit)
}

fn run_seeds(scenario: &Scenario, policy: &Policy, seeds: u64) -> Result<Figures, CmdError> {
    let mut figures = run_scenario(scenario, policy, 1)?;
    for seed in 2..=seeds {
        figures.add(&run_scenario(scenario, policy, seed)?);
    }
    Ok(figures)
}

fn print_row(name: &str, scenario: &Scenario, figures: &Figures) {
    let three = |histogram| {
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
        three(&figures.task_ratio),
        three(&figures.single_ratio),
        three(&figures.job_ratio),
        figures.messages_per_task(),
        figures.wasted_per_task(),
        figures.goodput(),
        figures.most_starts,
        figures.refusal_us.value_at_quantile(0.99) as f64 / 1_000.0,
        figures.bad_share,
    );
    if scenario.load.teams.len() > 1 {
        for ((team, _), histogram) in scenario.load.teams.iter().zip(&figures.team_ratio) {
            println!("      team {team}: {} over {} jobs", three(histogram), histogram.len());
        }
    }
}
