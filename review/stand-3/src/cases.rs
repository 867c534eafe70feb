//! The cases: what the clients and the operator do, and the check of the rule.

use crate::{
    Verdict,
    http::{Call, Channel},
    record::{Record, RunSpan},
    site::{Route, Site, USUAL_ROUTE, ZONES, desired_state, job, kill_all},
};
use std::{
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
/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `stopMs`.
const STOP: Duration = Duration::from_millis(50);
/// Time for which clients wait for a response.
const PATIENCE_MS: u64 = 15_000;

type Play = fn(&str, &Record, bool) -> Verdict;

/// Returns the case of this name.
pub fn find(name: &str) -> Option<Play> {
    match name {
        "lost-channel" => Some(lost_channel),
        "priority" => Some(priority),
        "cancel" => Some(cancel),
        "capital-id" => Some(capital_id),
        _ => None,
    }
}

fn start(program: &str, record: &Record) -> Result<Site, String> {
    let site = Site::start(program, record, &desired_state(7, &[USUAL_ROUTE]))?;
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

/// A job of two steps is cancelled while its first step is at work.
fn cancel(program: &str, record: &Record, trouble: bool) -> Verdict {
    let site = start(program, record)?;
    let first = site.machine_of(ZONES[0]);
    let id = "5c0e7a21d94b36f8";
    let call = job(id, "the client", &[4_500, 2_500], PATIENCE_MS);
    let acknowledged = thread::scope(|scope| {
        let site = &site;
        let sent = scope.spawn(|| site.call(first, &call, Duration::from_millis(PATIENCE_MS)));
        let acknowledged = wait_for_run(record, id, Duration::from_secs(2)).map(|()| {
            sleep(Duration::from_millis(500));
            let method = "DELETE";
            let cancel = Call { method, body: String::new(), ..call.clone() };
            let status = if trouble {
                site.call(first, &cancel, Duration::from_secs(4))
            } else {
                record.note("the job is not cancelled");
                None
            };
            status.map(|status| (status, record.now()))
        });
        let answer = sent.join().unwrap_or_default();
        if !trouble && answer != Some(200) {
            return Err("the job is not answered with success".to_owned());
        }
        acknowledged
    })?;
    wait_until_idle(record);
    let Some((status, at)) = acknowledged else {
        return if trouble { Err("the cancel had no response".into()) } else { Ok(true) };
    };
    if !(200..300).contains(&status) && status != 410 {
        return Err(format!("the cancel was answered with {status}"));
    }
    let mut held = true;
    for run in record.runs().iter().filter(|run| is_of(run, id)) {
        let since = |moment: Duration| moment.saturating_sub(at);
        if run.begin > at + CANCEL {
            let late = since(run.begin);
            record.note(format!("UNASKED: {} begins {late:.3?} after the ack", run.task));
            held = false;
        }
        let end = run.end.unwrap_or_else(|| record.now());
        if end > at + CANCEL + STOP {
            let late = since(end);
            record.note(format!("UNASKED: {} is at work until {late:.3?} after the ack", run.task));
            held = false;
        }
    }
    Ok(held)
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
