//! Tests of `cranberrytray check-settings`, run as a process.

mod common;

use common::cli::cranberrytray;
use tempfile::TempDir;

/// Runs `check-settings` on a file with this text. Line breaks of the report become spaces, so that
/// a test can search it for whole phrases.
async fn check(text: &str) -> common::cli::CommandOutput {
    let dir = TempDir::new().expect("a directory");
    let file = dir.path().join("settings.json");
    std::fs::write(&file, text).expect("written");
    let mut ran = cranberrytray(&["check-settings", file.to_str().expect("a path")]).await;
    // The report is wrapped to the terminal's width.
    ran.stderr = ran.stderr.replace('│', " ").split_whitespace().collect::<Vec<_>>().join(" ");
    ran
}

fn small_site() -> String {
    std::fs::read_to_string("examples/small-site.json").expect("the example")
}

#[tokio::test]
async fn check_settings_examples_are_valid() {
    let ran = cranberrytray(&[
        "check-settings",
        "examples/small-site.json",
        "examples/phuc-tham-bactu-1.json",
        "examples/isuku-nziza-gasabo-1.json",
    ])
    .await;
    assert_eq!(ran.exit_code, 0, "{}", ran.stderr);
}

#[tokio::test]
async fn check_settings_unknown_field_is_named() {
    let ran = check(&small_site().replacen("\"zone\"", "\"colour\": 1, \"zone\"", 1)).await;
    assert_eq!(ran.exit_code, 1);
    assert!(
        ran.stderr.contains("settings.json") && ran.stderr.contains("colour"),
        "{}",
        ran.stderr
    );
}

#[tokio::test]
async fn check_settings_wrong_type_is_named() {
    let ran = check(&small_site().replacen("\"slots\": 8", "\"slots\": \"many\"", 1)).await;
    assert_eq!(ran.exit_code, 1);
    assert!(ran.stderr.contains("platform.workers[0].slots"), "{}", ran.stderr);
}

#[tokio::test]
async fn check_settings_value_out_of_range_names_allowed_range() {
    let policy = "\"policy\": { \"waste_weight\": 2.0 }, \"zone\"";
    let ran = check(&small_site().replacen("\"zone\"", policy, 1)).await;
    assert_eq!(ran.exit_code, 1);
    assert!(
        ran.stderr.contains("policy.waste_weight") && ran.stderr.contains("0 to 1"),
        "{}",
        ran.stderr
    );
}

#[tokio::test]
async fn check_settings_same_address_twice_is_invalid() {
    let ran = check(&small_site().replacen("127.0.0.1:7101", "127.0.0.1:7100", 1)).await;
    assert_eq!(ran.exit_code, 1);
    assert!(ran.stderr.contains("peers"), "{}", ran.stderr);
}

#[tokio::test]
async fn check_settings_missing_file_is_named() {
    let ran = cranberrytray(&["check-settings", "no-such-file.json"]).await;
    assert_eq!(ran.exit_code, 1);
    assert!(ran.stderr.contains("no-such-file.json"), "{}", ran.stderr);
}
