//! TWICE: a dispatcher takes over from a killed one, and hands its zone over when that one is back, while
//! a worker that is cut off still runs a task.

use crate::{
    Verdict,
    record::{End, Record},
    site::{Site, UNEVEN},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Time for which the machines run before the disruption; the next dispatcher counts the list of workers
/// as complete only when it has read it for over a minute.
const CALM: Duration = Duration::from_secs(68);
/// Time for which the killed process is down, and the worker cut off.
const DOWN: Duration = Duration::from_millis(300);
const CUT: Duration = Duration::from_secs(5);
/// Pause between two short jobs of the zone's clients.
const PAUSE: Duration = Duration::from_millis(60);
const TASK_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 10_000;
/// Number of long jobs; the worker with most of them is cut off.
const LONG_JOBS: usize = 6;

fn body(ms: u64, cpu: u64) -> String {
    format!(
        r#"{{"spec":"{ms}:{cpu}","bestEffort":true,"steps":[{{"count":1,"cpu":{cpu},"memMb":64,"estimateMs":{ms}}}]}}"#
    )
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    play_case(record, trouble).unwrap_or(Verdict::NotRun)
}

fn play_case(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let (site, _stop) = Site::start(Arc::clone(record), &UNEVEN, DEADLINE_MS);
    site.check_readiness();
    if !site.wait_until_ready(Duration::from_secs(10)) {
        return None;
    }
    thread::sleep(CALM.saturating_sub(record.now()));
    let zone: Vec<_> = (0..site.machines.len()).filter(|n| site.machines[*n].zone == 0).collect();
    let dispatcher = *zone.iter().find(|n| site.dispatches(&site.machines[**n]))?;
    record.line(&format!("{} dispatches", site.machines[dispatcher].name));
    let entries: Vec<_> = zone.iter().copied().filter(|n| *n != dispatcher).skip(1).collect();

    let ends = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (site, ends, entries) = (Arc::clone(&site), Arc::clone(&ends), entries.clone());
        thread::spawn(move || {
            let mut clients = Vec::new();
            let mut n = 0;
            while !ends.load(Ordering::SeqCst) {
                let (site, entry) = (Arc::clone(&site), entries[n % entries.len()]);
                clients.push(thread::spawn(move || {
                    let to = site.front(&site.machines[entry]);
                    let id = format!("5c0e000000{n:06x}");
                    let _ = site.send(to, "POST", &id, 1_500, &body(400, 2_000));
                }));
                n += 1;
                thread::sleep(PAUSE);
            }
            clients.into_iter().for_each(|client| client.join().unwrap_or_default());
        })
    };
    thread::sleep(Duration::from_secs(1));
    let mut long_jobs = Vec::new();
    for n in 0..LONG_JOBS {
        let (site, entry) = (Arc::clone(&site), entries[n % entries.len()]);
        long_jobs.push(thread::spawn(move || {
            let to = site.front(&site.machines[entry]);
            site.send(
                to,
                "POST",
                &format!("7a21d94b36f8{n:04x}"),
                DEADLINE_MS,
                &body(TASK_MS, 2_000),
            )
        }));
    }
    thread::sleep(Duration::from_secs(1));
    let is_long = |task: &str| task.starts_with("7a21d94b36f8");
    let runners: Vec<String> = {
        let starts = record.starts.lock().unwrap();
        starts.iter().filter(|s| is_long(&s.task)).map(|s| s.worker.clone()).collect()
    };
    let count = |id: &String| runners.iter().filter(|runner| *runner == id).count();
    let runner = runners.iter().max_by_key(|id| count(id))?;
    let worker = site.workers.iter().find(|worker| worker.id == *runner)?;
    if trouble {
        record.line(&format!("{runner} is cut off from all machines, and runs on"));
        worker.cut.store(true, Ordering::SeqCst);
        site.kill(&site.machines[dispatcher], DOWN);
        record.line("it is started again");
        thread::sleep(CUT - DOWN);
        worker.cut.store(false, Ordering::SeqCst);
        record.line("the cut ends");
    }
    ends.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    let mut served = 0;
    if !trouble {
        for job in long_jobs {
            served += usize::from(matches!(job.join(), Ok(Ok((200, _)))));
        }
    }
    let starts = record.starts.lock().unwrap();
    let ended = record.ends.lock().unwrap();
    let mut is_twice = false;
    let end_of = |task: &str, worker: &str, at: Duration| {
        let is_end = |end: &&End| end.task == task && end.worker == worker && end.at >= at;
        ended.iter().find(is_end).map_or(record.now(), |end| end.at)
    };
    for (n, start) in starts.iter().enumerate() {
        let end = end_of(&start.task, &start.worker, start.at);
        let later = starts[n + 1..].iter().filter(|later| later.task == start.task);
        for later in later.filter(|later| later.at < end) {
            is_twice = true;
            record.line(&format!(
                "{} ran on {} from {:?} to {end:?}, and was started on {} at {:?}",
                start.task, start.worker, start.at, later.worker, later.at
            ));
        }
    }
    match (is_twice, trouble) {
        (true, _) => Some(Verdict::Broken),
        (false, false) if served < LONG_JOBS => None,
        _ => Some(Verdict::Held),
    }
}
