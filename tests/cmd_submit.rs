//! Tests of `cranberrytray ticket`, `submit`, `get` and `cancel`, run as processes against an
//! embedded entry VM.

mod common;

use common::{cli::cranberrytray, embedded::EmbeddedVm, job};
use tempfile::TempDir;

/// Writes jobs to a file, one per line, and returns its path.
fn write_jobs(dir: &TempDir, jobs: &[String]) -> String {
    let file = dir.path().join("jobs.json");
    std::fs::write(&file, jobs.join("\n")).expect("written");
    file.to_str().expect("a path").to_owned()
}

#[tokio::test]
async fn submit_with_ticket_twice_gives_same_answer() {
    let vm = EmbeddedVm::start(1, serde_json::json!({})).await;
    let entry = vm.callers().to_string();
    let dir = TempDir::new().expect("a directory");
    let file = write_jobs(&dir, &[serde_json::to_string(&job(2, 5)).expect("JSON")]);
    let ticket = cranberrytray(&["ticket", "--entry", &entry]).await;
    let id = ticket.stdout.trim();
    let first = cranberrytray(&["submit", "--id", id, "--entry", &entry, &file]).await;
    let second = cranberrytray(&["submit", "--id", id, "--entry", &entry, &file]).await;
    assert_eq!((first.exit_code, &first.stdout), (second.exit_code, &second.stdout));
    assert_eq!(first.exit_code, 0, "{}", first.stderr);
    assert!(first.stdout.contains("done sleep:5 task 1"), "{}", first.stdout);
    let got = cranberrytray(&["get", id, "--json", "--entry", &entry]).await;
    assert!(got.stdout.contains("\"state\":\"complete\""), "{}", got.stdout);
    assert_eq!(vm.starts(), 2);
}

#[tokio::test]
async fn submit_many_jobs_prints_each() {
    let vm = EmbeddedVm::start(2, serde_json::json!({})).await;
    let dir = TempDir::new().expect("a directory");
    let one = serde_json::to_string(&job(1, 1)).expect("JSON");
    let file = write_jobs(&dir, &vec![one; 30]);
    let entry = vm.callers().to_string();
    let ran = cranberrytray(&["submit", "--json", "--entry", &entry, &file]).await;
    assert_eq!(ran.exit_code, 0, "{}", ran.stderr);
    assert_eq!(ran.stdout.lines().count(), 30);
}

#[tokio::test]
async fn cancel_unsubmitted_ticket_then_submit_is_not_run() {
    let vm = EmbeddedVm::start(1, serde_json::json!({})).await;
    let entry = vm.callers().to_string();
    let dir = TempDir::new().expect("a directory");
    let file = write_jobs(&dir, &[serde_json::to_string(&job(1, 5)).expect("JSON")]);
    let id = vm.caller().tickets(1).await.expect("ids").remove(0).to_string();
    let cancelled = cranberrytray(&["cancel", &id, "--entry", &entry]).await;
    assert_eq!(cancelled.exit_code, 0, "{}", cancelled.stderr);
    let ran = cranberrytray(&["submit", "--id", &id, "--entry", &entry, &file]).await;
    assert_eq!(ran.exit_code, 3, "{}", ran.stdout);
    assert!(ran.stdout.contains("not run: cancelled"), "{}", ran.stdout);
    assert_eq!(vm.starts(), 0);
}

#[tokio::test]
async fn get_without_entry_vm_names_argument_to_check() {
    let id = "a.a-1.00000000000000ff.1.0000000000000001";
    let ran = cranberrytray(&["get", id, "--entry", "127.0.0.1:9"]).await;
    assert_eq!(ran.exit_code, 2);
    assert!(ran.stderr.contains("--entry"), "{}", ran.stderr);
}
