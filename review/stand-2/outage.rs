//! RECOVER: all processes are killed while the store is down, and it comes back later.

use crate::{
    Verdict,
    record::Record,
    site::{EVEN, Site, ZONES},
};
use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Length of the traffic before the kill.
const BEFORE: Duration = Duration::from_secs(8);
/// Five entries of nine seconds, the longest one of the site files, one after the other.
const OUTAGE: Duration = Duration::from_secs(45);
/// `recoveryS` and `contactMs`, counted from the return of the store.
const RECOVERY: Duration = Duration::from_secs(12 + 3);
const AFTER: Duration = Duration::from_secs(15);
/// Pause between two requests of the clients; their jobs take a tenth of the workers.
const PAUSE: Duration = Duration::from_millis(80);
const DEADLINE_MS: u64 = 1_500;
const BODY: &str = r#"{"spec":"200:6800","bestEffort":true,"steps":[{"count":2,"cpu":6800,"memMb":64,"estimateMs":200}]}"#;

/// Sends requests for `length` and returns how many were sent and how many of them were served.
fn send_requests(site: &Arc<Site>, first: usize, length: Duration) -> (usize, usize) {
    let end = site.record.now() + length;
    let served = Arc::new(Mutex::new(0));
    let mut clients = Vec::new();
    let mut n = first;
    while site.record.now() < end {
        let (site, served) = (Arc::clone(site), Arc::clone(&served));
        clients.push(thread::spawn(move || {
            let to = site.ingress(n % ZONES.len(), n / ZONES.len());
            let id = format!("{:016x}", 0x5c0e_0000_0000_0000_u64 + n as u64);
            if matches!(site.send(to, "POST", &id, DEADLINE_MS, BODY), Ok((200, _))) {
                *served.lock().unwrap() += 1;
            }
        }));
        n += 1;
        thread::sleep(PAUSE);
    }
    let sent = clients.len();
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    let served = *served.lock().unwrap();
    (sent, served)
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let (site, _stop) = Site::start(Arc::clone(record), &EVEN, DEADLINE_MS);
    site.check_readiness();
    if !site.wait_until_ready(Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    let before = send_requests(&site, 0, BEFORE);
    record.line(&format!("before: {} requests sent, {} served", before.0, before.1));
    record.line(&format!("descriptors: {}", site.descriptors()));
    if trouble {
        site.set_store_down(true);
        record.line("the processes of all machines are killed");
        site.kill_all(Duration::from_millis(500));
        record.line("the processes of all machines are started");
    }
    let back_at = record.now() + OUTAGE;
    while record.now() < back_at {
        thread::sleep(Duration::from_secs(3).min(back_at.saturating_sub(record.now())));
        record.line(&format!("descriptors: {}", site.descriptors()));
    }
    if trouble {
        site.set_store_down(false);
    }
    thread::sleep(RECOVERY);
    let after = send_requests(&site, 1_000_000, AFTER);
    record.line(&format!("after: {} requests sent, {} served", after.0, after.1));
    record.line(&format!("descriptors: {}", site.descriptors()));
    match (before, after) {
        ((sent, served), _) if served * 4 < sent => Verdict::NotRun,
        (_, (sent, served)) if served * 4 < sent => Verdict::Broken,
        _ => Verdict::Held,
    }
}
