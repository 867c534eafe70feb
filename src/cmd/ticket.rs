//! Usage: `cranberrytray ticket [--count N] [--entry IP:PORT]... [--json]`
//!
//! Fetches job ids.

use super::{CmdResult, Exit, entries, entry_arg, json_arg, print_json, required};
use crate::client::CallerClient;
use clap::{Arg, ArgMatches, Command, value_parser};

/// The arguments.
pub fn command() -> Command {
    Command::new("ticket")
        .about("Fetches job ids")
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("N")
                .help("How many")
                .default_value("1")
                .value_parser(value_parser!(u32)),
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
    let tickets = CallerClient::new(entries(args)).tickets(required(args, "count")).await?;
    if args.get_flag("json") {
        print_json(&tickets)?;
    } else {
        tickets.iter().for_each(|id| println!("{id}"));
    }
    Ok(Exit::Success)
}
