//! Usage: `cranberrytray check-settings FILE...`
//!
//! Checks settings files without starting anything.

use super::{CmdResult, Exit};
use crate::config::Settings;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::PathBuf;

/// The arguments.
pub fn command() -> Command {
    Command::new("check-settings").about("Checks settings files").arg(
        Arg::new("file")
            .value_name("FILE")
            .required(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(PathBuf)),
    )
}

/// Runs the command.
///
/// # Errors
///
/// A [`super::CmdError`] if no file is given; what is wrong with a file is printed.
pub fn run(args: &ArgMatches) -> CmdResult {
    let mut exit = Exit::Success;
    for path in args.get_many::<PathBuf>("file").unwrap_or_default() {
        match Settings::load(path) {
            Ok(settings) => {
                println!("{}: {} in {}: good", path.display(), settings.vm, settings.zone)
            }
            Err(e) => {
                eprintln!("{:?}", miette::Report::new(e));
                exit = Exit::Failed;
            }
        }
    }
    Ok(exit)
}
