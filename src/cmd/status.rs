//! Usage: `cranberrytray status [--operator IP:PORT] [--json]`
//!
//! Shows the status of every entry VM: its configuration version and its load.

use super::{CmdResult, Exit, json_arg, operator_arg, print_json, required};
use crate::{client::OperatorClient, daemon::operators::VmStatus};
use clap::{ArgMatches, Command};
use serde::Serialize;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows every entry VM, its configuration version and its load")
        .arg(operator_arg())
        .arg(json_arg())
}

/// Status of an entry VM as printed.
#[derive(Serialize)]
struct StatusLine {
    vm: String,
    zone: String,
    state: &'static str,
    config_version: u64,
    config_age_ms: u64,
    queued_tasks: u32,
    running_tasks: u32,
    owned_slots: u32,
    idle_slots: u32,
    open_jobs: u32,
    workers_set_aside: u32,
}

impl From<&VmStatus> for StatusLine {
    fn from(status: &VmStatus) -> Self {
        StatusLine {
            vm: status.vm.to_string(),
            zone: status.zone.to_string(),
            state: state_name(status),
            config_version: status.version.0,
            config_age_ms: status.config_age.as_millis() as u64,
            queued_tasks: status.queued,
            running_tasks: status.running,
            owned_slots: status.owned,
            idle_slots: status.idle,
            open_jobs: status.open_jobs,
            workers_set_aside: status.set_aside,
        }
    }
}

fn state_name(status: &VmStatus) -> &'static str {
    match status {
        VmStatus { unreachable: true, .. } => "unreachable",
        VmStatus { leaving: true, .. } => "leaving",
        VmStatus { ready: true, .. } => "ready",
        _ => "starting",
    }
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`super::CmdError`] if the entry VM at the operators' address does not answer.
pub async fn run(args: &ArgMatches) -> CmdResult {
    let vms = OperatorClient::new(required(args, "operator")).status().await?;
    let lines: Vec<StatusLine> = vms.iter().map(StatusLine::from).collect();
    if args.get_flag("json") {
        print_json(&lines)?;
    } else {
        println!(
            "{:<16} {:<14} {:<12} {:>7} {:>10} {:>7} {:>8} {:>6} {:>6} {:>6} {:>6}",
            "vm",
            "zone",
            "state",
            "config",
            "since ms",
            "queued",
            "running",
            "slots",
            "idle",
            "jobs",
            "aside"
        );
        lines.iter().for_each(print_line);
    }
    let unreachable = vms.iter().any(|vm| vm.unreachable);
    Ok(if unreachable { Exit::Unknown } else { Exit::Success })
}

fn print_line(line: &StatusLine) {
    println!(
        "{:<16} {:<14} {:<12} {:>7} {:>10} {:>7} {:>8} {:>6} {:>6} {:>6} {:>6}",
        line.vm,
        line.zone,
        line.state,
        line.config_version,
        line.config_age_ms,
        line.queued_tasks,
        line.running_tasks,
        line.owned_slots,
        line.idle_slots,
        line.open_jobs,
        line.workers_set_aside
    );
}
