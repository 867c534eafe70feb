//! The command line `cranberrytray`; each subcommand has a module.

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
    simulation::site::SiteError,
    state::{id::IdError, job::Answer},
    transport::rpc::RpcError,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use derive_more::{Display, Error, From};
use miette::Diagnostic;
use serde::Serialize;
use std::{io, net::SocketAddr, process::ExitCode};

/// Error of a subcommand.
#[derive(Debug, Display, Error, From, Diagnostic)]
pub enum CmdError {
    /// No entry VM answered a caller's request.
    #[display("{_0}")]
    #[diagnostic(help("check that --entry is the callers' address of a running entry VM"))]
    Client(ClientError),
    /// An entry VM did not answer an operator's call.
    #[display("{_0}")]
    #[diagnostic(help("check that --operator is the operators' address of a running entry VM"))]
    Rpc(RpcError),
    /// Reading a file or listening on a socket failed.
    #[display("{_0}")]
    Io(io::Error),
    /// A JSON document can't be parsed or printed.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// Settings are invalid or can't be read.
    #[display("{_0}")]
    #[diagnostic(transparent)]
    Settings(SettingsError),
    /// The entry VM of the demo can't start.
    #[display("{_0}")]
    #[diagnostic(transparent)]
    Start(StartError),
    /// A name or a job id is malformed.
    #[display("{_0}")]
    Id(IdError),
    /// The site for measurements can't be started.
    #[display("{_0}")]
    Site(SiteError),
}

/// Exit code of a subcommand that ran. Usage errors and missing answers exit with 2 instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The subcommand did what was asked.
    Success = 0,
    /// A job failed, or a settings file or a configuration is invalid.
    Failed = 1,
    /// A job was not run: none of its tasks was started.
    NotRun = 3,
    /// It is unknown whether a job ran or a change took effect, or an entry VM can't be reached.
    Unknown = 4,
    /// A request was rejected, or a change of the configuration conflicts with another one.
    Rejected = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Result of a subcommand.
pub type CmdResult = Result<Exit, CmdError>;

/// Defines the command line with all subcommands.
pub fn command() -> Command {
    Command::new("cranberrytray")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Submits jobs to the cranberrytray dispatcher and operates it")
        .after_help(
            "Exit codes: 0 success, 1 failed, 2 usage error or no answer, 3 not run, 4 unknown, \
             5 rejected.",
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

/// Runs the subcommand that the arguments select.
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
        _ => Ok(Exit::Success),
    }
}

fn entry_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("IP:PORT")
        .help("Callers' address of an entry VM; may be repeated")
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
    Arg::new("json").long("json").help("Prints JSON").action(ArgAction::SetTrue)
}

/// Defines an option that takes an integer from 1 to `max`.
fn number_arg(name: &'static str, default: &'static str, help: &'static str, max: u64) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=max))
}

fn entry_addresses(args: &ArgMatches) -> Vec<SocketAddr> {
    args.get_many("entry").unwrap_or_default().copied().collect()
}

/// Returns the value of an argument that clap requires or that has a default.
///
/// # Panics
///
/// Panics if the argument is optional and not given.
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

/// Returns the exit code for a reply to a request about a job.
fn exit_status(body: &ReplyBody) -> Exit {
    match body {
        ReplyBody::Answer(Answer::Complete { .. }) => Exit::Success,
        ReplyBody::Answer(Answer::Failed { .. }) => Exit::Failed,
        ReplyBody::Answer(Answer::NotRun { .. }) => Exit::NotRun,
        ReplyBody::State(ReplyState::Running) => Exit::Success,
        ReplyBody::State(ReplyState::Unknown { .. }) => Exit::Unknown,
        ReplyBody::State(ReplyState::Error { .. }) => Exit::Rejected,
    }
}

/// Prints a reply to a request about a job, as JSON or as text.
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
            println!("not run: {reason}; retry with a new ticket in {retry_after_ms} ms");
        }
        ReplyBody::State(ReplyState::Running) => println!("running"),
        ReplyBody::State(ReplyState::Unknown { reason }) => println!("unknown: {reason}"),
        ReplyBody::State(ReplyState::Error { kind, message }) => {
            println!("rejected: {kind}: {message}");
        }
    }
    Ok(())
}
