//! The cases: what the clients and the operator do, and the check of the rule.

use crate::{
    Verdict,
    http::{Call, Channel},
    record::{Record, RunSpan},
    site::{MACHINES, Route, Site, USUAL_ROUTE, ZONES, desired_state, job, kill_all},
};
use std::{
    io,
    sync::atomic::Ordering,
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// `contactMs`: machines are in touch after this time without disturbance.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `resendMs`: a best-effort job is sent again this long after its channel broke.
const RESEND: Duration = Duration::from_millis(1_300);
/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after which the entry of a silent worker is removed.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);
/// Time after which a machine that has read the list of workers all the while takes it to name all
/// that may be in use, after an entry was removed: a read of the list, and 66 s.
const KNOWN_LIST: Duration = Duration::from_millis(71_500);
/// Time for which clients wait for a response.
const PATIENCE_MS: u64 = 15_000;

type Play = fn(&str, &Record, bool) -> Verdict;

/// Returns the case of this name.
pub fn find(name: &str) -> Option<Play> {
    match name {
        "lost-channel" => Some(lost_channel),
        "priority" => Some(priority),
        "capital-id" => Some(capital_id),
        "old-list" => Some(old_list),
        _ => None,
    }
}

fn start(program: &str, record: &Record) -> Result<Site, String> {
    let site = Site::start(program, record, &desired_state(7, &[USUAL_ROUTE]), &MACHINES)?;
    sleep(CONTACT + Duration::from_millis(200));
    Ok(site)
}

/// Waits until a run of the job has begun.
fn wait_for_run(record: &Record, id: &str, limit: Duration) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !record.runs().iter().any(|run| is_of(run, id)) {
        if Instant::now() > end {
            return Err(format!("no task of job {id} has begun"));
        }
        sleep(Duration::from_millis(5));
    }
    Ok(())
}

fn is_of(run: &RunSpan, id: &str) -> bool {
    run.task.split('.').next() == Some(id)
}

/// Waits until no run is left.
fn wait_until_idle(record: &Record) {
    while record.runs().iter().any(|run| run.end.is_none()) && record.now().as_secs() < 100 {
        sleep(Duration::from_millis(20));
    }
}

/// Two jobs on one channel, which is reset before the responses; the client sends both again.
fn lost_channel(program: &str, record: &Record, trouble: bool) -> Verdict {
    let site = start(program, record)?;
    let first = site.machine_of(ZONES[0]);
    let second = site.machine_of(ZONES[1]);
    let jobs = [
        job("5c0e7a21d94b36f8", "job 1", &[6_000], PATIENCE_MS),
        job("5c0e7a21d94b36f9", "job 2", &[200], PATIENCE_MS),
    ];
    let channel = Channel::open(site.machines[first].front);
    let mut channel = channel.map_err(|e| format!("no channel: {e}"))?;
    for call in &jobs {
        record.note(format!("client to {}: POST {}", site.machines[first].name, call.path));
        channel.send(call).map_err(|e| format!("the job can't be sent: {e}"))?;
        sleep(Duration::from_millis(200));
    }
    wait_for_run(record, "5c0e7a21d94b36f8", Duration::from_secs(2))?;
    sleep(Duration::from_millis(600));
    if trouble {
        record.note("the channel of the client is reset");
        channel.reset().map_err(|e| format!("the channel can't be reset: {e}"))?;
        sleep(RESEND);
        let answers = thread::scope(|scope| {
            let site = &site;
            let send = |call: &Call| {
                let call = call.clone();
                scope.spawn(move || site.call(second, &call, Duration::from_millis(PATIENCE_MS)))
            };
            let sent: Vec<_> = jobs.iter().map(send).collect();
            sent.into_iter().map(|t| t.join().unwrap_or_default()).collect::<Vec<_>>()
        });
        record.note(format!("answers to the jobs that were sent again: {answers:?}"));
    } else {
        for call in &jobs {
            let res = channel.response(Duration::from_millis(PATIENCE_MS));
            site.note_response(first, &format!("POST {}", call.path), &res);
            if res.is_ok_and(|(status, _)| status != 200) {
                return Err("a job is not answered with success".into());
            }
        }
    }
    wait_until_idle(record);
    Ok(!has_overlap(record))
}

/// Whether two runs of one task were at work at the same time; records each such pair.
fn has_overlap(record: &Record) -> bool {
    let runs = record.runs();
    let mut found = false;
    for (n, one) in runs.iter().enumerate() {
        for other in runs[n + 1..].iter().filter(|other| other.task == one.task) {
            let ends = [one.end, other.end].map(|end| end.unwrap_or(Duration::MAX));
            let both = ends[0].min(ends[1]).saturating_sub(one.begin.max(other.begin));
            if !both.is_zero() {
                record.note(format!(
                    "TWICE: {} ran on {} and on {} for {both:.3?} at the same time",
                    one.task, one.worker, other.worker
                ));
                found = true;
            }
        }
    }
    found
}

/// A desired state adds a route. Later all processes are killed and started again.
fn priority(program: &str, record: &Record, trouble: bool) -> Verdict {
    let mut site = start(program, record)?;
    let prefix = "/pule252/";
    let priority = if trouble { 300 } else { 2 };
    let added = Route { name: "r-9n73hh2", prefix, priority };
    record.note(format!("operator: version 12 adds a route {prefix} of priority {priority}"));
    site.store.put("op", "config", &desired_state(12, &[USUAL_ROUTE, added]));
    record.note("store: ack of version 12");
    sleep(CONFIG_APPLY + Duration::from_millis(1_000));
    let on_route = |n: usize, prefix: &str| {
        let mut call = job(&format!("{:016x}", 0xa00 + n), "a client", &[50], 1_500);
        call.path = format!("{prefix}{:016x}", 0xa00 + n);
        call
    };
    let limit = Duration::from_secs(3);
    let statuses: Vec<_> =
        (0..site.machines.len()).map(|n| site.call(n, &on_route(n, prefix), limit)).collect();
    let held = !statuses.contains(&Some(404));
    if !held {
        record.note(format!("CONFIG: the route of version 12 is refused with 404: {statuses:?}"));
    }
    record.note("all processes are killed and started again");
    kill_all();
    (0..site.machines.len()).for_each(|n| site.start_process(n));
    sleep(RECOVERY + Duration::from_millis(500));
    let statuses: Vec<_> = (0..20)
        .map(|n| {
            let call = job(&format!("{:016x}", 0xb00 + n), "a client", &[50], 1_500);
            site.call(n % site.machines.len(), &call, limit)
        })
        .collect();
    let served = statuses.iter().filter(|status| **status == Some(200)).count();
    record.note(format!("{served} of 20 jobs on the old route are served after the restart"));
    let recovered = served >= 5;
    if !recovered {
        record.note("RECOVER: less than a quarter is served");
    }
    for line in site.log_lines("\"ERROR\"").iter().take(3) {
        record.note(format!("log of a machine: {line}"));
    }
    if !trouble && site.has_ended() {
        return Err("a process has ended by itself".into());
    }
    Ok(held && recovered)
}

/// A machine that the store turns away goes on using a worker whose entry has expired, and is
/// killed. The next one starts the worker's task again at once.
fn old_list(program: &str, record: &Record, trouble: bool) -> Verdict {
    let zone = ZONES[0];
    let machines = [(zone, 0.62), (zone, 0.25), (zone, 0.19)];
    let site = Site::start(program, record, &desired_state(7, &[USUAL_ROUTE]), &machines)?;
    let failed = |e: io::Error| format!("a worker can't be started: {e}");
    let is_cut = site.start_worker(zone, 10, "b").map_err(failed)?;
    record.note(format!("worker i-{zone}-10 is the only one of kind b"));
    sleep(Duration::from_secs(2));
    if trouble {
        record.note(format!("the store turns {} away from now on", site.machines[0].name));
        site.machines[0].is_turned_away.store(true, Ordering::Relaxed);
        record.note(format!("worker i-{zone}-10 is cut off from the store from now on"));
        is_cut.store(true, Ordering::Relaxed);
    }
    sleep(ENTRY_LIFETIME + Duration::from_secs(1));
    site.start_worker(zone, 11, "b").map_err(failed)?;
    record.note(format!("worker i-{zone}-11 of kind b is added"));
    sleep(if trouble { KNOWN_LIST } else { Duration::from_secs(5) });
    let id = "5c0e7a21d94b36f8";
    let mut call = job(id, "the client", &[9_000], PATIENCE_MS * 2);
    call.body = call.body.replace(r#""memMb":64"#, r#""memMb":64,"requiredLabel":"b""#);
    thread::scope(|scope| {
        let (site, call) = (&site, &call);
        scope.spawn(move || site.call(2, call, Duration::from_millis(PATIENCE_MS * 2)));
        wait_for_run(record, id, Duration::from_secs(2))?;
        sleep(Duration::from_millis(1_500));
        if trouble {
            record.note(format!("{} is killed", site.machines[0].name));
            site.kill(0);
        }
        Ok::<_, String>(())
    })?;
    wait_until_idle(record);
    let runs = record.runs();
    let of_job = runs.iter().filter(|run| is_of(run, id));
    let workers: Vec<&str> = of_job.map(|run| &*run.worker).collect();
    if trouble && (workers.len() != 2 || workers[0] == workers[1]) {
        return Err(format!("the job ran on {workers:?}, so the moment was missed"));
    }
    Ok(!has_overlap(record))
}

/// Two clients choose ids that differ; with the disruption, only in capital letters.
fn capital_id(program: &str, record: &Record, trouble: bool) -> Verdict {
    let site = start(program, record)?;
    let first = site.machine_of(ZONES[0]);
    let ids = if trouble {
        ["5C0E7A21D94B36F8", "5c0e7a21d94b36f8"]
    } else {
        ["5c0e7a21d94b36f8", "5c0e7a21d94b36f9"]
    };
    let clients = ["client 1", "client 2"];
    let answers: Vec<Option<u16>> = thread::scope(|scope| {
        let site = &site;
        let send = |n: usize| {
            sleep(Duration::from_millis(100));
            let call = job(ids[n], clients[n], &[[1_000, 300][n]], PATIENCE_MS);
            scope.spawn(move || site.call(first + n, &call, Duration::from_millis(PATIENCE_MS)))
        };
        let sent: Vec<_> = (0..2).map(send).collect();
        sent.into_iter().map(|t| t.join().unwrap_or_default()).collect()
    });
    wait_until_idle(record);
    let runs = record.runs();
    let mut held = true;
    for run in runs.iter().filter(|run| run.spec_of != "the start") {
        let is_sent = (0..2).any(|n| is_of(run, ids[n]) && run.spec_of == clients[n]);
        if !is_sent {
            record.note(format!(
                "UNASKED: {} was told to start {} with the spec of {}, which no client sent",
                run.worker, run.task, run.spec_of
            ));
            held = false;
        }
    }
    for n in 0..2 {
        let has_run = |run: &RunSpan| run.spec_of == clients[n] && run.how == "done";
        if answers[n] == Some(200) && !runs.iter().any(has_run) {
            record.note(format!(
                "MIXED: job {} of {} is shown as completed, and none of its tasks has begun",
                ids[n], clients[n]
            ));
            held = false;
        }
    }
    if !trouble && answers != [Some(200), Some(200)] {
        return Err("a job is not answered with success".into());
    }
    Ok(held)
}
