//! UNASKED: a running job is cancelled, the cancelling is acknowledged, and its tasks are started on.

use crate::{
    Verdict,
    record::Record,
    site::{EVEN, Site},
};
use std::{sync::Arc, thread, time::Duration};

const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(50);
/// For what the stand-ins' own timers are late by.
const SLACK: Duration = Duration::from_millis(100);
const JOBS: usize = 6;
const DEADLINE_MS: u64 = 15_000;
/// Time from the hand-in to the cancelling.
const CANCEL_AFTER: Duration = Duration::from_millis(500);
const BODY: &str = concat!(
    r#"{"spec":"3700:2000","bestEffort":true,"steps":["#,
    r#"{"count":2,"cpu":2000,"memMb":64,"estimateMs":3700},"#,
    r#"{"count":2,"cpu":2000,"memMb":64,"estimateMs":3700,"after":[0]}]}"#
);

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let (site, _stop) = Site::start(Arc::clone(record), &EVEN, DEADLINE_MS);
    site.check_readiness();
    if !site.wait_until_ready(Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    let jobs = (0..JOBS).map(|n| {
        let site = Arc::clone(&site);
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + n as u64);
        let (submitted, machine) = (id.clone(), n % site.machines.len());
        let submitter = Arc::clone(&site);
        thread::sleep(Duration::from_millis(150));
        let client = thread::spawn(move || {
            let to = submitter.front(&submitter.machines[machine]);
            submitter.send(to, "POST", &submitted, DEADLINE_MS, BODY)
        });
        let canceller = thread::spawn(move || {
            thread::sleep(CANCEL_AFTER);
            let to = site.front(&site.machines[(machine + 1) % site.machines.len()]);
            let answer = trouble.then(|| site.send(to, "DELETE", &id, 2_000, ""));
            let is_acknowledged = matches!(answer, Some(Ok((200..=299 | 410, _))));
            (id, is_acknowledged.then(|| site.record.now()))
        });
        (client, canceller)
    });
    let mut is_broken = false;
    let mut completed = 0;
    let mut cancelled = Vec::new();
    for (client, canceller) in jobs.collect::<Vec<_>>() {
        cancelled.extend(canceller.join());
        completed += usize::from(matches!(client.join(), Ok(Ok((200, _)))));
    }
    record.line(&format!("{completed} of {JOBS} jobs were answered with success"));
    for (id, acknowledged_at) in cancelled {
        let Some(acknowledged_at) = acknowledged_at else { continue };
        let limit = acknowledged_at + CANCEL + SLACK;
        for start in record.starts.lock().unwrap().iter() {
            if start.task.starts_with(&id) && start.at > limit {
                is_broken = true;
                record.line(&format!(
                    "{} was started {:?} after the cancelling of its job was acknowledged",
                    start.task,
                    start.at - acknowledged_at
                ));
            }
        }
        for end in record.ends.lock().unwrap().iter() {
            if end.task.starts_with(&id) && end.at > limit + STOP {
                is_broken = true;
                record.line(&format!(
                    "{} ran until {:?} after that: {}",
                    end.task,
                    end.at - acknowledged_at,
                    end.how
                ));
            }
        }
    }
    match (is_broken, trouble) {
        (true, _) => Verdict::Broken,
        (false, false) if completed < JOBS => Verdict::NotRun,
        _ => Verdict::Held,
    }
}
