//! The subcommands of the command line, one file each.

pub mod bench;
pub mod cancel;
pub mod check_settings;
pub mod config;
pub mod demo;
pub mod get;
pub mod measure;
pub mod status;
pub mod submit;
pub mod ticket;
pub mod timeline;

use crate::{
    client::{ClientError, JobReply},
    config::SettingsError,
    daemon::run::StartError,
    protocol::callers::{ReplyBody, ReplyState},
    state::{id::IdError, job::Answer},
    transport::rpc::RpcError,
    trial::site::SiteError,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use derive_more::{Display, Error, From};
use miette::Diagnostic;
use serde::Serialize;
use std::{io, net::SocketAddr, process::ExitCode};

/// Why a subcommand failed.
#[derive(Debug, Display, Error, From, Diagnostic)]
pub enum CmdError {
    /// An entry VM did not answer a caller's request.
    #[display("{_0}")]
    #[diagnostic(help("is --entry the callers' address of a running entry VM?"))]
    Client(ClientError),
    /// An entry VM did not answer an operator's call.
    #[display("{_0}")]
    #[diagnostic(help("is --operator the operators' address of a running entry VM?"))]
    Rpc(RpcError),
    /// A file can't be used.
    #[display("{_0}")]
    Io(io::Error),
    /// A document can't be read.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// Settings can't be used.
    #[display("{_0}")]
    #[diagnostic(transparent)]
    Settings(SettingsError),
    /// An entry VM can't start.
    #[display("{_0}")]
    #[diagnostic(transparent)]
    Start(StartError),
    /// An id is malformed.
    #[display("{_0}")]
    Id(IdError),
    /// A site for measurements can't be started.
    #[display("{_0}")]
    Site(SiteError),
}

/// How a subcommand ended, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// All is well.
    Done = 0,
    /// A job failed, or a check did.
    Failed = 1,
    /// A job was not run.
    NotRun = 3,
    /// Whether a job ran is unknown, or a change is unsettled.
    Unknown = 4,
    /// A request was turned down, or a change met another.
    TurnedDown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// What a subcommand returns.
pub type CmdResult = Result<Exit, CmdError>;

/// The whole command line.
pub fn command() -> Command {
    Command::new("cranberrytray")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Submits jobs to the cranberrytray dispatcher and operates it")
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 usage or no answer, 3 not run, 4 unknown, \
             5 turned down.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(ticket::command())
        .subcommand(submit::command())
        .subcommand(get::command())
        .subcommand(cancel::command())
        .subcommand(status::command())
        .subcommand(config::command())
        .subcommand(timeline::command())
        .subcommand(check_settings::command())
        .subcommand(demo::command())
        .subcommand(bench::command())
        .subcommand(measure::command())
}

/// Runs the subcommand that was asked for.
///
/// # Errors
///
/// A [`CmdError`].
pub async fn run(args: &ArgMatches) -> CmdResult {
    match args.subcommand() {
        Some(("ticket", args)) => ticket::run(args).await,
        Some(("submit", args)) => submit::run(args).await,
        Some(("get", args)) => get::run(args).await,
        Some(("cancel", args)) => cancel::run(args).await,
        Some(("status", args)) => status::run(args).await,
        Some(("config", args)) => config::run(args).await,
        Some(("timeline", args)) => timeline::run(args).await,
        Some(("check-settings", args)) => check_settings::run(args),
        Some(("demo", args)) => demo::run(args).await,
        Some(("bench", args)) => bench::run(args),
        Some(("measure", args)) => measure::run(args).await,
        _ => Ok(Exit::Done),
    }
}

fn entry_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("IP:PORT")
        .help("Callers' address of an entry VM; may be given several times")
        .default_value("127.0.0.1:7100")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

fn operator_arg() -> Arg {
    Arg::new("operator")
        .long("operator")
        .value_name("IP:PORT")
        .help("Operators' address of any entry VM")
        .default_value("127.0.0.1:7102")
        .value_parser(value_parser!(SocketAddr))
}

fn json_arg() -> Arg {
    Arg::new("json").long("json").help("Writes JSON").action(ArgAction::SetTrue)
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str, most: u64) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=most))
}

fn entries(args: &ArgMatches) -> Vec<SocketAddr> {
    args.get_many("entry").unwrap_or_default().copied().collect()
}

fn required<T>(args: &ArgMatches, name: &str) -> T
where
    T: Clone + Send + Sync + 'static,
{
    args.get_one::<T>(name).cloned().expect("clap requires the argument or gives a default")
}

fn print_json<T>(value: &T) -> Result<(), CmdError>
where
    T: Serialize,
{
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

/// The exit code for a reply about a job.
fn exit_of(body: &ReplyBody) -> Exit {
    match body {
        ReplyBody::Answer(Answer::Complete { .. }) => Exit::Done,
        ReplyBody::Answer(Answer::Failed { .. }) => Exit::Failed,
        ReplyBody::Answer(Answer::NotRun { .. }) => Exit::NotRun,
        ReplyBody::State(ReplyState::Running) => Exit::Done,
        ReplyBody::State(ReplyState::Unknown { .. }) => Exit::Unknown,
        ReplyBody::State(ReplyState::Error { .. }) => Exit::TurnedDown,
    }
}

/// Prints a reply about a job, for a person or a script.
fn print_reply(reply: &JobReply, json: bool) -> Result<(), CmdError> {
    if json {
        return print_json(&reply.body);
    }
    match &reply.body {
        ReplyBody::Answer(Answer::Complete { outputs }) => {
            outputs.iter().for_each(|output| println!("{output}"));
        }
        ReplyBody::Answer(Answer::Failed { reason, tasks }) => {
            println!("failed: {reason}");
            for (i, task) in tasks.iter().enumerate() {
                println!("  task {i}: {}", serde_json::to_string(task)?);
            }
        }
        ReplyBody::Answer(Answer::NotRun { reason, retry_after_ms }) => {
            println!("not run: {reason}; come back with a new ticket in {retry_after_ms} ms");
        }
        ReplyBody::State(ReplyState::Running) => println!("running"),
        ReplyBody::State(ReplyState::Unknown { reason }) => println!("unknown: {reason}"),
        ReplyBody::State(ReplyState::Error { kind, message }) => {
            println!("turned down: {kind}: {message}");
        }
    }
    Ok(())
}
