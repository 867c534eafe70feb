//! TWICE: the dispatcher of a zone is lost while a worker that was draining, and whose entry has expired
//! since, still runs a task.

use crate::{
    Verdict,
    record::Record,
    site::{EVEN, Site},
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time for which the machines run before the job comes; the next dispatcher counts the list of workers
/// as complete only when it has read it for over a minute.
const CALM: Duration = Duration::from_secs(68);
/// An entry is removed after three status report intervals of silence.
const SILENCE: Duration = Duration::from_millis(3 * 1_500);
/// The worker's next report is due 1.5 s after that of the draining; it is cut off just before, for as long
/// as two entries of five seconds, one after the other. Then it reports again.
const CUT_END: Duration = Duration::from_millis(1_400 + 2 * 5_000);
/// Time from the hand-in of the job to the next read of the list of workers by the next dispatcher.
const LEAD: Duration = Duration::from_millis(400);
/// Time after the loss of the dispatcher in which two runs at a time would be seen; leases last a second.
const AFTERMATH: Duration = Duration::from_secs(3);
const TASK_MS: u64 = 12_500;
const DEADLINE_MS: u64 = 30_000;

fn body(ms: u64) -> String {
    format!(
        r#"{{"spec":"{ms}:6800","bestEffort":true,"steps":[{{"count":1,"cpu":6800,"memMb":64,"estimateMs":{ms}}}]}}"#
    )
}

/// Waits until the machine reads the list of workers, and returns when it did.
fn wait_for_read(site: &Site, machine: &str) -> Option<Instant> {
    let (last, end) = (site.store.list_read(machine), Instant::now() + Duration::from_secs(8));
    while Instant::now() < end {
        let read = site.store.list_read(machine);
        if read != last {
            return read;
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    play_case(record, trouble).unwrap_or(Verdict::NotRun)
}

fn play_case(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let (site, _stop) = Site::start(Arc::clone(record), &EVEN, DEADLINE_MS);
    site.check_readiness();
    if !site.wait_until_ready(Duration::from_secs(10)) {
        return None;
    }
    for n in 0..8 {
        let to = site.front(&site.machines[n]);
        site.send(to, "POST", &format!("5c0e7a21d94b00{n:02x}"), 2_000, &body(300)).ok()?;
    }
    thread::sleep(CALM.saturating_sub(record.now()));
    let zone: Vec<_> = site.machines.iter().filter(|m| m.zone == 0).collect();
    let dispatcher = *zone.iter().find(|m| site.dispatches(m))?;
    let mut others = zone.iter().filter(|m| m.name != dispatcher.name);
    let (next, entry) = (*others.next()?, *others.next()?);
    record.line(&format!("{} dispatches, {} takes over next", dispatcher.name, next.name));
    let first_read = wait_for_read(&site, &next.name)?;
    let second_read = wait_for_read(&site, &next.name)?;
    let interval = second_read - first_read;
    thread::sleep(interval.saturating_sub(LEAD + second_read.elapsed()));

    let id = "5c0e7a21d94b36f8";
    let (client, to) = (Arc::clone(&site), site.front(entry));
    let client = thread::spawn(move || client.send(to, "POST", id, DEADLINE_MS, &body(TASK_MS)));
    thread::sleep(Duration::from_millis(150));
    let task = format!("{id}.0.0.0");
    let runner = record.starts.lock().unwrap().iter().find(|s| s.task == task)?.worker.clone();
    let worker = site.workers.iter().find(|worker| worker.id == runner)?;
    if trouble {
        record.line(&format!(
            "{runner} drains, and is cut off from the store before its next report"
        ));
        site.store.put("servers", &runner, &worker.entry("draining"));
        let drained_at = Instant::now();
        let read = wait_for_read(&site, &next.name)?;
        record.line(&format!("{} reads the list, with {runner} draining", next.name));
        thread::sleep(SILENCE.saturating_sub(drained_at.elapsed()));
        if site.store.list_read(&next.name) != Some(read) {
            return None;
        }
        site.store.remove("servers", &runner);
        record.line(&format!("the entry of {runner} is removed after {SILENCE:?} of silence"));
        wait_for_read(&site, &next.name)?;
        record.line(&format!("{} reads the list, without {runner}", next.name));
        wait_for_read(&site, &next.name)?;
        record
            .line(&format!("{} reads the list again, and counts on {runner} no longer", next.name));
        site.kill(dispatcher, Duration::from_millis(500));
        thread::sleep(CUT_END.saturating_sub(drained_at.elapsed()));
        site.store.put("servers", &runner, &worker.entry("draining"));
        record.line(&format!("the cut ends, and {runner} reports again"));
        thread::sleep(AFTERMATH);
    } else if !matches!(client.join(), Ok(Ok((200, _)))) {
        return None;
    }
    let starts = record.starts.lock().unwrap();
    let ends = record.ends.lock().unwrap();
    let mut runs = Vec::new();
    for start in starts.iter().filter(|start| start.task == task) {
        let is_end = |end: &&crate::record::End| {
            end.task == task && end.worker == start.worker && end.at >= start.at
        };
        let end = ends.iter().find(is_end).map(|end| end.at).unwrap_or(record.now());
        record.line(&format!("{task} ran on {} from {:?} to {end:?}", start.worker, start.at));
        runs.push((start.at, end));
    }
    let is_twice = runs.windows(2).any(|pair| pair[1].0 < pair[0].1);
    Some(if is_twice { Verdict::Broken } else { Verdict::Held })
}
