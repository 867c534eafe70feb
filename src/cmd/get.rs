//! Usage: `cranberrytray get ID [--wait-ms MS] [--entry IP:PORT]... [--json]`
//!
//! Fetches the answer to a job through any entry VM.

use super::{CmdResult, entry_addresses, entry_arg, exit_status, json_arg, print_reply, required};
use crate::{client::CallerClient, state::id::JobId};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::time::Duration;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("get")
        .about("Fetches the answer to a job")
        .arg(Arg::new("id").value_name("ID").required(true).value_parser(value_parser!(JobId)))
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("MS")
                .help("Longest wait for the answer, in milliseconds")
                .default_value("0")
                .value_parser(value_parser!(u64)),
        )
        .arg(entry_arg())
        .arg(json_arg())
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`super::CmdError`] if no entry VM answers.
pub async fn run(args: &ArgMatches) -> CmdResult {
    let wait = Duration::from_millis(required(args, "wait-ms"));
    let id: JobId = required(args, "id");
    let reply = CallerClient::new(entry_addresses(args)).get(&id, wait).await?;
    print_reply(&reply, args.get_flag("json"))?;
    Ok(exit_status(&reply.body))
}
