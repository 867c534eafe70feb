//! Usage: `cranberrytray config show|accept|history [--operator IP:PORT]`
//!
//! Shows and changes the configuration of all entry VMs.

use super::{CmdError, CmdResult, Exit, json_arg, operator_arg, print_json, required};
use crate::{
    client::{ConfigChangeRequest, OperatorClient},
    cranberrytray_capnp::AcceptOutcome,
    state::id::ConfigVersion,
};
use clap::{Arg, ArgMatches, Command, value_parser};
use rand::Rng;
use serde::Serialize;
use std::path::PathBuf;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("config")
        .about("Shows and changes the configuration")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Prints the configuration in force, and its version to standard error")
                .arg(operator_arg()),
        )
        .subcommand(accept_command())
        .subcommand(
            Command::new("history")
                .about("Lists the latest accepted changes")
                .arg(operator_arg())
                .arg(json_arg()),
        )
}

fn accept_command() -> Command {
    let text = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("TEXT").help(help).default_value("")
    };
    Command::new("accept")
        .about("Puts a configuration in force unless it has changed since the base version")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("New configuration (JSON)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .help("Version that the change was made from")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(text("by", "Who makes the change"))
        .arg(text("note", "Reason for the change"))
        .arg(
            text("operation", "Operation id of an earlier attempt, to repeat it").long_help(
                "Generated and printed if not given; repeat an unsettled change with it",
            ),
        )
        .arg(operator_arg())
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`CmdError`] if the entry VM does not answer or a document can't be read.
pub async fn run(args: &ArgMatches) -> CmdResult {
    match args.subcommand() {
        Some(("show", args)) => show(args).await,
        Some(("accept", args)) => accept(args).await,
        Some(("history", args)) => history(args).await,
        _ => Ok(Exit::Success),
    }
}

async fn show(args: &ArgMatches) -> CmdResult {
    let (version, document) = OperatorClient::new(required(args, "operator")).config().await?;
    eprintln!("version {}", version.0);
    let value: serde_json::Value = serde_json::from_slice(&document)?;
    println!("{}", serde_json::to_string_pretty(&value)?);
    Ok(Exit::Success)
}

async fn accept(args: &ArgMatches) -> CmdResult {
    let given_id: String = required(args, "operation");
    let operation = match given_id.is_empty() {
        true => format!("{:016x}", rand::rng().random::<u64>()),
        false => given_id,
    };
    let change = ConfigChangeRequest {
        base: ConfigVersion(required(args, "base")),
        operation,
        operator: required(args, "by"),
        note: required(args, "note"),
        document: std::fs::read(required::<PathBuf>(args, "file"))?,
    };
    eprintln!("operation {}", change.operation);
    let reply = OperatorClient::new(required(args, "operator")).accept(&change).await?;
    println!("{}", reply.message);
    Ok(match reply.outcome {
        AcceptOutcome::Accepted => Exit::Success,
        AcceptOutcome::Invalid => Exit::Failed,
        AcceptOutcome::Unsettled => Exit::Unknown,
        AcceptOutcome::Conflict => Exit::Rejected,
    })
}

/// An accepted change as printed by `config history`.
#[derive(Serialize)]
struct HistoryLine {
    version: u64,
    operation: String,
    by: String,
    note: String,
}

async fn history(args: &ArgMatches) -> Result<Exit, CmdError> {
    let changes = OperatorClient::new(required(args, "operator")).history().await?;
    let lines: Vec<HistoryLine> = changes
        .into_iter()
        .map(|change| HistoryLine {
            version: change.version.0,
            operation: change.operation,
            by: change.operator,
            note: change.note,
        })
        .collect();
    if args.get_flag("json") {
        print_json(&lines)?;
        return Ok(Exit::Success);
    }
    for line in lines {
        println!("{:>6}  {:<18} {:<16} {}", line.version, line.operation, line.by, line.note);
    }
    Ok(Exit::Success)
}
