//! Usage: `cranberrytray get ID [--wait-ms MS] [--entry IP:PORT]... [--json]`
//!
//! Asks for the answer to a job, at any entry VM.

use super::{CmdResult, entries, entry_arg, exit_of, json_arg, print_reply, required};
use crate::{client::CallerClient, state::id::JobId};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::time::Duration;

/// The arguments.
pub fn command() -> Command {
    Command::new("get")
        .about("Asks for the answer to a job")
        .arg(Arg::new("id").value_name("ID").required(true).value_parser(value_parser!(JobId)))
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("MS")
                .help("How long to wait for the answer")
                .default_value("0")
                .value_parser(value_parser!(u64)),
        )
        .arg(entry_arg())
        .arg(json_arg())
}

/// Runs the command.
///
/// # Errors
///
/// A [`super::CmdError`].
pub async fn run(args: &ArgMatches) -> CmdResult {
    let wait = Duration::from_millis(required(args, "wait-ms"));
    let id: JobId = required(args, "id");
    let reply = CallerClient::new(entries(args)).get(&id, wait).await?;
    print_reply(&reply, args.get_flag("json"))?;
    Ok(exit_of(&reply.body))
}
