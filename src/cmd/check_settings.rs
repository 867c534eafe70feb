//! Usage: `cranberrytray check-settings FILE...`
//!
//! Validates settings files without starting an entry VM.

use super::{CmdResult, Exit};
use crate::config::Settings;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::PathBuf;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("check-settings").about("Validates settings files").arg(
        Arg::new("file")
            .value_name("FILE")
            .required(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(PathBuf)),
    )
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// Never fails: errors in a file are printed and make the exit code [`Exit::Failed`].
pub fn run(args: &ArgMatches) -> CmdResult {
    let mut exit = Exit::Success;
    for path in args.get_many::<PathBuf>("file").unwrap_or_default() {
        match Settings::load(path) {
            Ok(settings) => {
                println!("{}: {} in {}: valid", path.display(), settings.vm, settings.zone)
            }
            Err(e) => {
                eprintln!("{:?}", miette::Report::new(e));
                exit = Exit::Failed;
            }
        }
    }
    Ok(exit)
}
