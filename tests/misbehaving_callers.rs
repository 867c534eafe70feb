//! Crowds of callers that don't behave, against an entry VM in a process of its own. The VM has to live
//! and to stay within bounds, and an ordinary job is completed afterwards, while the crowd still holds its
//! connections.
//!
//! The tests run one at a time, as each measures what a process uses.

mod common;

use common::{Site, SiteLayout, is_complete, job};
use futures_util::future::join_all;
use serde_json::json;
use std::{fs, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Mutex,
    time::{sleep, timeout},
};

/// Memory of the VM, in bytes. Bodies may take 64 MiB of it.
const MEMORY: usize = 192 << 20;
/// Members of a crowd whose bodies are large.
const BODIES: usize = 64;
/// Size of a body that stops just short of its end, in bytes; 4 MiB are allowed.
const BODY_BYTES: usize = (4 << 20) - 1_000;
/// Number of requests that the VM serves at the same time in tests of many connections.
const FEW_REQUESTS: usize = 40;
/// Members of a crowd that holds many connections.
const CONNECTIONS: usize = 400;
/// Descriptors that the VM may use then: for twice as many connections as requests, and for itself.
const FEW_FDS: usize = 2 * FEW_REQUESTS + 64;
/// A member that can't send goes on after this time.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Starts one entry VM with these limits on requests.
async fn site(limits: serde_json::Value) -> Site {
    let layout = SiteLayout::new(&[("a-1", "a")], &[("w-1", "a", 8)]);
    Site::start(layout.with_settings(json!({ "limits": limits }))).await
}

/// Connects `size` members, each of which sends `bytes`.
async fn crowd(site: &Site, size: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let address = site.vms[0].callers();
    let members = (0..size).map(|_| async {
        let mut stream = timeout(SEND_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        // The VM may have closed the connection.
        let _ = timeout(SEND_TIMEOUT, stream.write_all(bytes)).await;
        Some(stream)
    });
    join_all(members).await.into_iter().flatten().collect()
}

/// Submits an ordinary job, again while the VM refuses it.
async fn assert_serves(site: &Site) {
    let caller = site.vms[0].caller();
    for _ in 0..100 {
        let Ok(ids) = caller.tickets(1).await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let reply = caller.submit(&ids[0], &job(4, 20)).await;
        if reply.is_ok_and(|reply| is_complete(&reply)) {
            return;
        }
    }
    panic!("no ordinary job is completed");
}

fn open_fds(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count()
}

/// Largest resident memory of a process so far, in bytes.
fn peak_memory(pid: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse::<usize>().unwrap() << 10
}

const HEAD: &str = "POST /v1/tickets HTTP/1.1\r\nHost: a\r\n";

async fn assert_bodies_stay_within_the_memory(request: &[u8]) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let site = site(json!({})).await;
    let crowd = crowd(&site, BODIES, request).await;
    sleep(Duration::from_secs(1)).await;
    assert_serves(&site).await;
    let peak = peak_memory(site.vms[0].process.pid());
    println!("{} MB at most", peak >> 20);
    assert!(peak <= MEMORY, "{peak} of {MEMORY} B");
    drop(crowd);
}

/// Guards against bodies that together take any amount of memory.
#[tokio::test]
async fn unfinished_bodies_stay_within_the_memory() {
    let head = format!("{HEAD}Content-Length: {}\r\n\r\n", 4 << 20);
    assert_bodies_stay_within_the_memory(&[head.as_bytes(), &vec![b' '; BODY_BYTES]].concat())
        .await;
}

/// Guards against the same with chunked bodies, whose size isn't known before.
#[tokio::test]
async fn unfinished_chunked_bodies_stay_within_the_memory() {
    let chunk = format!("400\r\n{}\r\n", " ".repeat(0x400));
    let body = chunk.repeat(BODY_BYTES / 0x400);
    let request = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{body}");
    assert_bodies_stay_within_the_memory(request.as_bytes()).await;
}

/// Guards against callers that take all requests that may be served, and send no whole one.
#[tokio::test]
async fn unfinished_bodies_lock_out_no_ordinary_caller() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let limits = json!({ "max_requests": FEW_REQUESTS, "body_timeout_ms": 600_000 });
    let site = site(limits).await;
    let request = format!("{HEAD}Content-Length: 100\r\n\r\n{{");
    let _crowd = crowd(&site, FEW_REQUESTS + 20, request.as_bytes()).await;
    sleep(Duration::from_secs(1)).await;
    assert_serves(&site).await;
}

/// Guards against connections without a whole request that take all descriptors.
#[tokio::test]
async fn unfinished_heads_leave_descriptors_to_the_vm() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let limits = json!({ "max_requests": FEW_REQUESTS, "header_timeout_ms": 600_000 });
    let site = site(limits).await;
    let _crowd = crowd(&site, CONNECTIONS, HEAD.as_bytes()).await;
    sleep(Duration::from_secs(1)).await;
    assert_serves(&site).await;
    let fds = open_fds(site.vms[0].process.pid());
    println!("{fds} descriptors");
    assert!(fds <= FEW_FDS, "{fds} of {FEW_FDS} descriptors");
}
