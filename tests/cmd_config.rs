//! Tests of `cranberrytray config`, `status` and `timeline`, run as processes against an embedded
//! entry VM.

mod common;

use common::{cli::cranberrytray, embedded::EmbeddedVm, job};
use tempfile::TempDir;

fn operator(vm: &EmbeddedVm) -> String {
    format!("{}:7102", vm.ip)
}

#[tokio::test]
async fn config_accept_then_conflict_then_repetition() {
    let vm = EmbeddedVm::start(1, serde_json::json!({})).await;
    let operator = operator(&vm);
    let dir = TempDir::new().expect("a directory");
    let file = dir.path().join("teams.json");
    std::fs::write(&file, r#"{ "teams": { "drafting": { "weight": 2.0 } } }"#).expect("written");
    let file = file.to_str().expect("a path");
    let accept = |base, operation| {
        let operator = operator.clone();
        async move {
            let args = ["config", "accept", file, "--base", base, "--operation", operation];
            cranberrytray(&[&args[..], &["--operator", &operator]].concat()).await
        }
    };
    let first = accept("1", "op-1").await;
    assert_eq!(first.exit_code, 0, "{}{}", first.stdout, first.stderr);
    assert!(first.stdout.contains("version 2"), "{}", first.stdout);
    assert_eq!(accept("1", "op-2").await.exit_code, 5);
    assert_eq!(accept("1", "op-1").await.exit_code, 0);
    let shown = cranberrytray(&["config", "show", "--operator", &operator]).await;
    assert!(shown.stdout.contains("\"weight\": 2.0"), "{}", shown.stdout);
    let history = cranberrytray(&["config", "history", "--operator", &operator]).await;
    assert_eq!(history.stdout.lines().count(), 1, "{}", history.stdout);
    let status = cranberrytray(&["status", "--json", "--operator", &operator]).await;
    assert!(status.stdout.contains("\"config_version\":2"), "{}", status.stdout);
}

#[tokio::test]
async fn config_accept_invalid_names_field() {
    let vm = EmbeddedVm::start(1, serde_json::json!({})).await;
    let dir = TempDir::new().expect("a directory");
    let file = dir.path().join("teams.json");
    std::fs::write(&file, r#"{ "teams": { "drafting": { "weight": -1.0 } } }"#).expect("written");
    let args = ["config", "accept", file.to_str().expect("a path"), "--base", "1"];
    let operator = operator(&vm);
    let ran = cranberrytray(&[&args[..], &["--operator", &operator]].concat()).await;
    assert_eq!(ran.exit_code, 1);
    assert!(ran.stdout.contains("teams.drafting.weight"), "{}", ran.stdout);
}

#[tokio::test]
async fn timeline_of_job_has_its_events_in_order() {
    let vm = EmbeddedVm::start(1, serde_json::json!({})).await;
    let id = vm.caller().tickets(1).await.expect("ids").remove(0);
    vm.caller().submit(&id, &job(1, 5)).await.expect("a reply");
    let operator = operator(&vm);
    let ran = cranberrytray(&["timeline", &id.to_string(), "--operator", &operator]).await;
    assert_eq!(ran.exit_code, 0, "{}", ran.stderr);
    let position =
        |kind: &str| ran.stdout.find(kind).unwrap_or_else(|| panic!("{kind}: {}", ran.stdout));
    assert!(position("accepted") < position("started"));
    assert!(position("started") < position("completed"));
}
