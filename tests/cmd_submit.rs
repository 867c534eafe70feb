//! Tests of `cranberrytray ticket`, `submit`, `get` and `cancel`, run as processes against an
//! embedded entry VM.

mod common;

use common::{cli::cranberrytray, embedded::Embedded, job};
use tempfile::TempDir;

/// Writes jobs to a file, one per line, and returns its path.
fn write_jobs(dir: &TempDir, jobs: &[String]) -> String {
    let file = dir.path().join("jobs.json");
    std::fs::write(&file, jobs.join("\n")).expect("written");
    file.to_str().expect("a path").to_owned()
}

#[tokio::test]
async fn submit_with_ticket_twice_gives_same_answer() {
    let vm = Embedded::start(1, serde_json::json!({})).await;
    let entry = vm.callers().to_string();
    let dir = TempDir::new().expect("a directory");
    let file = write_jobs(&dir, &[serde_json::to_string(&job(2, 5)).expect("JSON")]);
    let ticket = cranberrytray(&["ticket", "--entry", &entry]).await;
    let id = ticket.out.trim();
    let first = cranberrytray(&["submit", "--id", id, "--entry", &entry, &file]).await;
    let second = cranberrytray(&["submit", "--id", id, "--entry", &entry, &file]).await;
    assert_eq!((first.code, &first.out), (second.code, &second.out));
    assert_eq!(first.code, 0, "{}", first.err);
    assert!(first.out.contains("done sleep:5 task 1"), "{}", first.out);
    let got = cranberrytray(&["get", id, "--json", "--entry", &entry]).await;
    assert!(got.out.contains("\"state\":\"complete\""), "{}", got.out);
    assert_eq!(vm.starts(), 2);
}

#[tokio::test]
async fn submit_many_jobs_prints_each() {
    let vm = Embedded::start(2, serde_json::json!({})).await;
    let dir = TempDir::new().expect("a directory");
    let one = serde_json::to_string(&job(1, 1)).expect("JSON");
    let file = write_jobs(&dir, &vec![one; 30]);
    let entry = vm.callers().to_string();
    let ran = cranberrytray(&["submit", "--json", "--entry", &entry, &file]).await;
    assert_eq!(ran.code, 0, "{}", ran.err);
    assert_eq!(ran.out.lines().count(), 30);
}

#[tokio::test]
async fn cancel_unsubmitted_ticket_then_submit_is_not_run() {
    let vm = Embedded::start(1, serde_json::json!({})).await;
    let entry = vm.callers().to_string();
    let dir = TempDir::new().expect("a directory");
    let file = write_jobs(&dir, &[serde_json::to_string(&job(1, 5)).expect("JSON")]);
    let id = vm.caller().tickets(1).await.expect("ids").remove(0).to_string();
    let cancelled = cranberrytray(&["cancel", &id, "--entry", &entry]).await;
    assert_eq!(cancelled.code, 0, "{}", cancelled.err);
    let ran = cranberrytray(&["submit", "--id", &id, "--entry", &entry, &file]).await;
    assert_eq!(ran.code, 3, "{}", ran.out);
    assert!(ran.out.contains("not run: cancelled"), "{}", ran.out);
    assert_eq!(vm.starts(), 0);
}

#[tokio::test]
async fn get_without_entry_vm_names_argument_to_check() {
    let id = "a.a-1.00000000000000ff.1.0000000000000001";
    let ran = cranberrytray(&["get", id, "--entry", "127.0.0.1:9"]).await;
    assert_eq!(ran.code, 2);
    assert!(ran.err.contains("--entry"), "{}", ran.err);
}
