//! The daemon `cranberrytrayd`, which runs one entry VM.

use clap::{Arg, Command, value_parser};
use cranberrytray::{config::Settings, daemon::run::run, util};
use std::path::PathBuf;
use tokio::runtime::Builder;

fn main() -> miette::Result<()> {
    let args = Command::new("cranberrytrayd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs one entry VM of the cranberrytray dispatcher")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings, JSON with comments; see examples/")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .get_matches();
    let Some(path) = args.get_one::<PathBuf>("settings") else {
        return Ok(());
    };
    let settings = Settings::load(path)?;
    util::init_logs(&settings.log);
    let runtime = Builder::new_multi_thread().enable_all().build().map_err(|cause| {
        miette::Report::new(cranberrytray::daemon::run::StartError::Thread { cause })
    })?;
    runtime.block_on(run(settings, util::stop_signal()))?;
    Ok(())
}
