//! Usage: `cranberrytray cancel ID [--entry IP:PORT]... [--json]`
//!
//! Cancels a job, at any entry VM.

use super::{CmdResult, Exit, entries, entry_arg, exit_of, json_arg, print_reply, required};
use crate::{client::CallerClient, state::id::JobId};
use clap::{Arg, ArgMatches, Command, value_parser};

/// The arguments.
pub fn command() -> Command {
    Command::new("cancel")
        .about("Cancels a job: what waits is dropped, what runs is asked to stop")
        .arg(Arg::new("id").value_name("ID").required(true).value_parser(value_parser!(JobId)))
        .arg(entry_arg())
        .arg(json_arg())
}

/// Runs the command.
///
/// # Errors
///
/// A [`super::CmdError`].
pub async fn run(args: &ArgMatches) -> CmdResult {
    let id: JobId = required(args, "id");
    let reply = CallerClient::new(entries(args)).cancel(&id).await?;
    print_reply(&reply, args.get_flag("json"))?;
    Ok(match exit_of(&reply.body) {
        exit @ (Exit::Unknown | Exit::Rejected) => exit,
        _ => Exit::Success,
    })
}
