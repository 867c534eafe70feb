//! Usage: `cranberrytray cancel ID [--entry IP:PORT]... [--json]`
//!
//! Cancels a job through any entry VM.

use super::{
    CmdResult, Exit, entry_addresses, entry_arg, exit_status, json_arg, print_reply, required,
};
use crate::{client::CallerClient, state::id::JobId};
use clap::{Arg, ArgMatches, Command, value_parser};

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("cancel")
        .about("Cancels a job: drops its waiting tasks and asks workers to stop the others")
        .arg(Arg::new("id").value_name("ID").required(true).value_parser(value_parser!(JobId)))
        .arg(entry_arg())
        .arg(json_arg())
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`super::CmdError`] if no entry VM answers.
pub async fn run(args: &ArgMatches) -> CmdResult {
    let id: JobId = required(args, "id");
    let reply = CallerClient::new(entry_addresses(args)).cancel(&id).await?;
    print_reply(&reply, args.get_flag("json"))?;
    Ok(match exit_status(&reply.body) {
        exit @ (Exit::Unknown | Exit::Rejected) => exit,
        _ => Exit::Success,
    })
}
