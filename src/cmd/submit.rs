//! Usage: `cranberrytray submit [FILE] [--entry IP:PORT]... [--parallel N] [--json]`
//!
//! Submits jobs from a file or from standard input, one JSON document per line. Each job gets a new
//! ticket (job id). `--id` gives the ticket of a single job, so that the command can be repeated
//! safely.

use super::{
    CmdError, CmdResult, Exit, entry_addresses, entry_arg, exit_status, json_arg, print_json,
    print_reply, required,
};
use crate::{
    client::{CallerClient, JobReply},
    protocol::callers::ReplyBody,
    state::{id::JobId, job::JobSpec},
};
use clap::{Arg, ArgMatches, Command, value_parser};
use futures_util::{StreamExt, stream};
use indicatif::ProgressBar;
use serde::Serialize;
use std::{
    io::{IsTerminal, Read},
    path::PathBuf,
};

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("submit")
        .about("Submits jobs, one JSON document per line, and prints their answers")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("File of jobs; standard input if not given")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("Ticket of a single job; a repetition with the same ticket joins that job")
                .value_parser(value_parser!(JobId)),
        )
        .arg(
            Arg::new("parallel")
                .long("parallel")
                .value_name("N")
                .help("Maximum number of jobs submitted at the same time")
                .default_value("64")
                .value_parser(value_parser!(u32).range(1..=10_000)),
        )
        .arg(entry_arg())
        .arg(json_arg())
}

/// Reply to a submission as printed with `--json`.
#[derive(Serialize)]
struct ReplyLine<'a> {
    id: &'a JobId,
    reply: &'a ReplyBody,
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`CmdError`] if the jobs can't be read or no entry VM answers.
pub async fn run(args: &ArgMatches) -> CmdResult {
    let specs = read_jobs(args.get_one::<PathBuf>("file"))?;
    let caller = CallerClient::new(entry_addresses(args));
    let ids = match args.get_one::<JobId>("id") {
        Some(id) => vec![id.clone()],
        None => fetch_ids(&caller, specs.len()).await?,
    };
    let bar = match std::io::stderr().is_terminal() && specs.len() > 1 {
        true => ProgressBar::new(specs.len() as u64),
        false => ProgressBar::hidden(),
    };
    let parallel: u32 = required(args, "parallel");
    let replies: Vec<(JobId, Result<JobReply, CmdError>)> =
        stream::iter(ids.into_iter().zip(specs))
            .map(|(id, spec)| {
                let (caller, bar) = (&caller, &bar);
                async move {
                    let reply = caller.submit(&id, &spec).await;
                    bar.inc(1);
                    (id, reply.map_err(CmdError::from))
                }
            })
            .buffered(parallel as usize)
            .collect()
            .await;
    bar.finish_and_clear();
    print_replies(replies, args.get_flag("json"))
}

fn print_replies(replies: Vec<(JobId, Result<JobReply, CmdError>)>, json: bool) -> CmdResult {
    let mut worst = Exit::Success;
    for (id, reply) in replies {
        let reply = reply?;
        worst = worst.max(exit_status(&reply.body));
        if json {
            print_json(&ReplyLine { id: &id, reply: &reply.body })?;
        } else {
            println!("{id}");
            print_reply(&reply, false)?;
        }
    }
    Ok(worst)
}

/// Most job ids fetched with one request.
const MAX_IDS_PER_REQUEST: usize = 500;

async fn fetch_ids(caller: &CallerClient, count: usize) -> Result<Vec<JobId>, CmdError> {
    let mut ids = Vec::with_capacity(count);
    while ids.len() < count {
        let batch = (count - ids.len()).min(MAX_IDS_PER_REQUEST);
        ids.extend(caller.tickets(batch as u32).await?);
    }
    Ok(ids)
}

fn read_jobs(file: Option<&PathBuf>) -> Result<Vec<JobSpec>, CmdError> {
    let mut text = String::new();
    match file {
        Some(path) => text = std::fs::read_to_string(path)?,
        None => {
            std::io::stdin().read_to_string(&mut text)?;
        }
    }
    let jobs = serde_json::Deserializer::from_str(&text).into_iter::<JobSpec>();
    Ok(jobs.collect::<Result<_, _>>()?)
}
