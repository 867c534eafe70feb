//! Usage: `cranberrytray timeline [JOB] [--limit N] [--operator IP:PORT] [--json]`
//!
//! Shows the latest events of all entry VMs, or those of one job, ordered by time.

use super::{CmdResult, Exit, json_arg, operator_arg, print_json, required};
use crate::client::OperatorClient;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("timeline")
        .about("Shows the latest events of all entry VMs, ordered by time")
        .arg(Arg::new("job").value_name("JOB").help("Show only events of this job id"))
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("N")
                .help("Maximum number of events")
                .default_value("200")
                .value_parser(value_parser!(u32)),
        )
        .arg(operator_arg())
        .arg(json_arg())
}

/// An event as printed with `--json`.
#[derive(Serialize)]
struct EventLine<'a> {
    at_unix_us: u64,
    vm: &'a str,
    sequence: u64,
    kind: &'a str,
    cause: &'a str,
    detail: &'a str,
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`super::CmdError`] if the entry VM at the operators' address does not answer.
pub async fn run(args: &ArgMatches) -> CmdResult {
    let job = args.get_one::<String>("job").map_or("", String::as_str);
    let operator = OperatorClient::new(required(args, "operator"));
    let (events, missing) = operator.timeline(job, required(args, "limit")).await?;
    let first_us = events.first().map_or(0, |event| event.at_unix_us);
    for event in &events {
        if args.get_flag("json") {
            print_json(&EventLine {
                at_unix_us: event.at_unix_us,
                vm: &event.vm,
                sequence: event.sequence,
                kind: &event.kind,
                cause: &event.cause,
                detail: &event.detail,
            })?;
            continue;
        }
        let ms = (event.at_unix_us - first_us) as f64 / 1_000.0;
        println!(
            "{ms:>12.3} ms  {:<14} {:<16} {:<48} {}",
            event.vm, event.kind, event.cause, event.detail
        );
    }
    for vm in &missing {
        eprintln!("no events from {vm}: it can't be reached");
    }
    Ok(if missing.is_empty() { Exit::Success } else { Exit::Unknown })
}
