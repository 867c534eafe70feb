//! Usage: `cranberrytray ticket [--count N] [--entry IP:PORT]... [--json]`
//!
//! Fetches tickets: ids under which jobs can be submitted.

use super::{CmdResult, Exit, entry_addresses, entry_arg, json_arg, print_json, required};
use crate::client::CallerClient;
use clap::{Arg, ArgMatches, Command, value_parser};

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("ticket")
        .about("Fetches tickets (job ids)")
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("N")
                .help("Number of tickets")
                .default_value("1")
                .value_parser(value_parser!(u32)),
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
    let tickets = CallerClient::new(entry_addresses(args)).tickets(required(args, "count")).await?;
    if args.get_flag("json") {
        print_json(&tickets)?;
    } else {
        tickets.iter().for_each(|id| println!("{id}"));
    }
    Ok(Exit::Success)
}
