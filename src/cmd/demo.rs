//! Usage: `cranberrytray demo [--jobs N] [--tasks N]`
//!
//! Runs an entry VM with an embedded platform and four fake workers in this process, submits jobs
//! over HTTP and prints a summary of the answers.

use super::{CmdError, CmdResult, Exit, exit_status, number_arg, required};
use crate::{
    client::CallerClient,
    config::{LogFormat, LogSettings, Settings},
    daemon::run::run as run_daemon,
    fake::{serve, worker::FakeWorker},
    protocol::callers::ReplyBody,
    state::job::{Answer, JobSpec, TaskSpec},
    util,
};
use clap::{ArgMatches, Command};
use futures_util::future::join_all;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, sync::oneshot, time::sleep};

/// Factors by which the workers are slower than the fastest one.
const WORKER_SLOWNESS: [f64; 4] = [1.0, 1.0, 1.5, 2.0];
/// Slots of each worker.
const SLOTS: usize = 8;
/// Run times of the tasks on the fastest worker, in milliseconds; used in turn.
const TASK_DURATIONS_MS: [u64; 5] = [50, 60, 80, 120, 400];

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs jobs on an entry VM with an embedded platform, all in this process")
        .arg(number_arg("jobs", "20", "Number of jobs to submit", 150))
        .arg(number_arg("tasks", "12", "Number of tasks in each job", 150))
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`CmdError`] if the entry VM can't start or does not answer.
pub async fn run(args: &ArgMatches) -> CmdResult {
    util::init_logs(&LogSettings { level: "warn".to_owned(), format: LogFormat::Text });
    let (jobs, tasks): (u64, u64) = (required(args, "jobs"), required(args, "tasks"));
    let (fakes, addresses) = start_workers().await?;
    let settings = settings(&addresses).await?;
    let entry = settings.callers;
    let (stop_tx, stop_rx) = oneshot::channel::<()>();
    let daemon = tokio::spawn(run_daemon(settings, async move {
        let _ = stop_rx.await;
    }));
    let caller = CallerClient::new(vec![entry]);
    let ids = loop {
        match caller.tickets(jobs as u32).await {
            Ok(ids) => break ids,
            Err(_) if !daemon.is_finished() => sleep(Duration::from_millis(20)).await,
            Err(e) => return Err(e.into()),
        }
    };
    let submitted_at = Instant::now();
    let spec = job(tasks)?;
    let replies = join_all(ids.iter().map(|id| caller.submit(id, &spec))).await;
    let elapsed = submitted_at.elapsed();
    let mut exit = Exit::Success;
    let mut outputs = 0;
    for reply in replies {
        let reply = reply?;
        exit = exit.max(exit_status(&reply.body));
        if let ReplyBody::Answer(Answer::Complete { outputs: all }) = &reply.body {
            outputs += all.len();
        }
    }
    let starts: Vec<u32> = fakes.iter().flat_map(|fake| fake.starts().into_values()).collect();
    let most_starts = starts.iter().copied().max().unwrap_or_default();
    println!(
        "{jobs} jobs of {tasks} tasks on {} workers: {outputs} outputs in {elapsed:.2?}",
        fakes.len()
    );
    println!("{} tasks started, each {most_starts} time at most", starts.len());
    let again = caller.submit(&ids[0], &spec).await?;
    println!("the first job submitted again: same answer, no new start: {}", {
        let starts_after: usize = fakes.iter().map(|fake| fake.starts().len()).sum();
        exit_status(&again.body) == Exit::Success && starts_after == starts.len()
    });
    let _ = stop_tx.send(());
    if let Ok(ended) = daemon.await {
        ended?;
    }
    Ok(exit)
}

async fn start_workers() -> Result<(Vec<Arc<FakeWorker>>, Vec<SocketAddr>), CmdError> {
    let (mut fakes, mut addresses) = (Vec::new(), Vec::new());
    for slowness in WORKER_SLOWNESS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        let fake = Arc::new(FakeWorker::new(SLOTS, slowness));
        tokio::spawn(serve(Arc::clone(&fake), listener));
        fakes.push(fake);
    }
    Ok((fakes, addresses))
}

/// Returns a loopback address whose port was free a moment ago.
async fn free_address() -> Result<SocketAddr, CmdError> {
    Ok(TcpListener::bind("127.0.0.1:0").await?.local_addr()?)
}

async fn settings(workers: &[SocketAddr]) -> Result<Settings, CmdError> {
    let workers: Vec<_> = workers
        .iter()
        .enumerate()
        .map(|(i, address)| {
            let name = format!("worker-{i}");
            serde_json::json!({ "name": name, "address": address.to_string(), "slots": SLOTS })
        })
        .collect();
    let text = serde_json::json!({
        "vm": "demo-1",
        "zone": "demo",
        "callers": free_address().await?,
        "peers": free_address().await?,
        "operators": free_address().await?,
        "health": free_address().await?,
        "platform": {
            "kind": "embedded",
            "configuration": { "teams": { "drafting": {} } },
            "workers": workers,
        },
    });
    Ok(Settings::parse("demo", &text.to_string())?)
}

fn job(tasks: u64) -> Result<JobSpec, CmdError> {
    let mut spec = JobSpec::new("drafting".parse()?, "summary".parse()?).deadline_ms(60_000);
    for i in 0..tasks as usize {
        let ms = TASK_DURATIONS_MS[i % TASK_DURATIONS_MS.len()];
        spec = spec.task(TaskSpec::new(format!("sleep:{ms} task {i}")).declared_ms(ms));
    }
    Ok(spec)
}
