//! Usage: `cranberrytray submit [FILE] [--entry IP:PORT]... [--parallel N] [--json]`
//!
//! Submits jobs from a file with one JSON job a line, or from standard input. Each job gets a
//! fresh ticket; with one job, `--id` names a ticket, so that the command can be repeated.

use super::{
    CmdError, CmdResult, Exit, entries, entry_arg, exit_of, json_arg, print_json, print_reply,
    required,
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

/// The arguments.
pub fn command() -> Command {
    Command::new("submit")
        .about("Submits jobs, one JSON document a line, and prints their answers")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Jobs; standard input if left out")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("The ticket of the only job; a repetition with the same ticket joins it")
                .value_parser(value_parser!(JobId)),
        )
        .arg(
            Arg::new("parallel")
                .long("parallel")
                .value_name("N")
                .help("Jobs under way at the same time")
                .default_value("64")
                .value_parser(value_parser!(u32).range(1..=10_000)),
        )
        .arg(entry_arg())
        .arg(json_arg())
}

#[derive(Serialize)]
struct Line<'a> {
    id: &'a JobId,
    reply: &'a ReplyBody,
}

/// Runs the command.
///
/// # Errors
///
/// A [`CmdError`].
pub async fn run(args: &ArgMatches) -> CmdResult {
    let specs = read_jobs(args.get_one::<PathBuf>("file"))?;
    let caller = CallerClient::new(entries(args));
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
    print_all(replies, args.get_flag("json"))
}

fn print_all(replies: Vec<(JobId, Result<JobReply, CmdError>)>, json: bool) -> CmdResult {
    let mut worst = Exit::Success;
    for (id, reply) in replies {
        let reply = reply?;
        worst = worst.max(exit_of(&reply.body));
        if json {
            print_json(&Line { id: &id, reply: &reply.body })?;
        } else {
            println!("{id}");
            print_reply(&reply, false)?;
        }
    }
    Ok(worst)
}

/// Most ids asked for at once.
const TICKET_BLOCK: usize = 500;

async fn fetch_ids(caller: &CallerClient, count: usize) -> Result<Vec<JobId>, CmdError> {
    let mut ids = Vec::with_capacity(count);
    while ids.len() < count {
        let block = (count - ids.len()).min(TICKET_BLOCK);
        ids.extend(caller.tickets(block as u32).await?);
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
