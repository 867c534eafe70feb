//! Tests of `cranberrytray config`, `status` and `timeline`, run as processes against an embedded
//! entry VM.

mod common;

use common::{cli::cranberrytray, embedded::Embedded, job};
use tempfile::TempDir;

fn operator(vm: &Embedded) -> String {
    format!("{}:7102", vm.ip)
}

#[tokio::test]
async fn config_accept_then_conflict_then_repetition() {
    let vm = Embedded::start(1, serde_json::json!({})).await;
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
    assert_eq!(first.code, 0, "{}{}", first.out, first.err);
    assert!(first.out.contains("version 2"), "{}", first.out);
    assert_eq!(accept("1", "op-2").await.code, 5);
    assert_eq!(accept("1", "op-1").await.code, 0);
    let shown = cranberrytray(&["config", "show", "--operator", &operator]).await;
    assert!(shown.out.contains("\"weight\": 2.0"), "{}", shown.out);
    let history = cranberrytray(&["config", "history", "--operator", &operator]).await;
    assert_eq!(history.out.lines().count(), 1, "{}", history.out);
    let status = cranberrytray(&["status", "--json", "--operator", &operator]).await;
    assert!(status.out.contains("\"config_version\":2"), "{}", status.out);
}

#[tokio::test]
async fn config_accept_invalid_names_field() {
    let vm = Embedded::start(1, serde_json::json!({})).await;
    let dir = TempDir::new().expect("a directory");
    let file = dir.path().join("teams.json");
    std::fs::write(&file, r#"{ "teams": { "drafting": { "weight": -1.0 } } }"#).expect("written");
    let args = ["config", "accept", file.to_str().expect("a path"), "--base", "1"];
    let operator = operator(&vm);
    let ran = cranberrytray(&[&args[..], &["--operator", &operator]].concat()).await;
    assert_eq!(ran.code, 1);
    assert!(ran.out.contains("teams.drafting.weight"), "{}", ran.out);
}

#[tokio::test]
async fn timeline_of_job_has_its_events_in_order() {
    let vm = Embedded::start(1, serde_json::json!({})).await;
    let id = vm.caller().tickets(1).await.expect("ids").remove(0);
    vm.caller().submit(&id, &job(1, 5)).await.expect("a reply");
    let operator = operator(&vm);
    let ran = cranberrytray(&["timeline", &id.to_string(), "--operator", &operator]).await;
    assert_eq!(ran.code, 0, "{}", ran.err);
    let position = |kind: &str| ran.out.find(kind).unwrap_or_else(|| panic!("{kind}: {}", ran.out));
    assert!(position("accepted") < position("started"));
    assert!(position("started") < position("completed"));
}
