//! Runs a fake of the platform or of a worker as a process, for demos and tests.

use clap::{Arg, ArgMatches, Command, value_parser};
use cranberrytray::{
    coordination::configuration::{ConfigDocument, Configuration},
    fake::{
        platform::{FakePlatform, PlatformLists},
        serve,
        worker::FakeWorker,
    },
};
use derive_more::{Display, Error, From};
use miette::Diagnostic;
use std::{io, net::SocketAddr, path::PathBuf, sync::Arc};
use tokio::net::TcpListener;

/// Error that keeps a fake from running.
#[derive(Debug, Display, Error, From, Diagnostic)]
enum FakeError {
    /// A file can't be read, or an address can't be listened on.
    #[display("{_0}")]
    Io(io::Error),
    /// A file does not hold the expected JSON document.
    #[display("{_0}")]
    Json(serde_json::Error),
}

fn listen_arg() -> Arg {
    Arg::new("listen").long("listen").required(true).value_parser(value_parser!(SocketAddr))
}

fn file_arg(name: &'static str) -> Arg {
    Arg::new(name).long(name).required(true).value_parser(value_parser!(PathBuf))
}

fn command() -> Command {
    Command::new("cranberrytray-stand")
        .about("Fakes of the platform and of a worker, for demos and tests")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about(
                    "Serves a table with the configuration, and the lists of entry VMs and workers",
                )
                .arg(listen_arg())
                .arg(file_arg("configuration").help("Initial configuration (JSON)"))
                .arg(file_arg("lists").help("Lists of entry VMs and workers (JSON)")),
        )
        .subcommand(
            Command::new("worker")
                .about("Serves a worker that sleeps instead of working; task payload `sleep:MS`")
                .arg(listen_arg())
                .arg(
                    Arg::new("slots")
                        .long("slots")
                        .default_value("8")
                        .value_parser(value_parser!(usize)),
                )
                .arg(
                    Arg::new("slowness")
                        .long("slowness")
                        .default_value("1.0")
                        .value_parser(value_parser!(f64)),
                ),
        )
}

/// Returns the value of an argument that clap requires or that has a default.
fn required<T>(args: &ArgMatches, name: &str) -> T
where
    T: Clone + Send + Sync + 'static,
{
    args.get_one::<T>(name).cloned().expect("clap requires the argument or gives a default")
}

async fn run(args: &ArgMatches) -> Result<(), FakeError> {
    match args.subcommand() {
        Some(("platform", args)) => {
            let text = std::fs::read(required::<PathBuf>(args, "configuration"))?;
            let configuration: Configuration = serde_json::from_slice(&text)?;
            let lists: PlatformLists =
                serde_json::from_slice(&std::fs::read(required::<PathBuf>(args, "lists"))?)?;
            let document = ConfigDocument { configuration, history: Vec::new() };
            let listener = TcpListener::bind(required::<SocketAddr>(args, "listen")).await?;
            serve(Arc::new(FakePlatform::new(document, lists)), listener).await;
        }
        Some((_, args)) => {
            let worker = FakeWorker::new(required(args, "slots"), required(args, "slowness"));
            let listener = TcpListener::bind(required::<SocketAddr>(args, "listen")).await?;
            serve(Arc::new(worker), listener).await;
        }
        None => {}
    }
    Ok(())
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    run(&command().get_matches()).await?;
    Ok(())
}
