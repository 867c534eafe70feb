//! Contract tests of the platform's table and lists: each case is a list of configuration changes
//! under faults, with the expected outcomes.

mod common;

use common::random_loopback_ip;
use cranberrytray::{
    coordination::{
        config_update::{ConfigUpdate, Proposal, UpdateOutcome, UpdateStep, WriteResult},
        configuration::{ChangeRecord, ConfigRow, Configuration},
    },
    fake::{
        platform::{FakePlatform, PlatformFaults, PlatformLists},
        serve,
    },
    state::id::ConfigVersion,
    transport::platform::{HttpPlatform, Platform},
};
use serde::Deserialize;
use std::{path::Path, sync::Arc, time::Duration};
use tokio::net::TcpListener;

/// One configuration change, the faults injected during it, and the expected outcome.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Attempt {
    #[serde(default)]
    faults: PlatformFaults,
    /// Version of the configuration on which the change is based.
    base: u64,
    operation: String,
    /// Expected outcome: `accepted`, `conflict` or `unsettled`.
    outcome: String,
    /// Expected version in the outcome; unset if it is `unsettled`.
    version: Option<u64>,
}

/// A test case: changes in order, and the expected content of the table at the end.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    attempts: Vec<Attempt>,
    final_version: u64,
    /// Operation ids in the history of the row, in order.
    history: Vec<String>,
}

async fn apply_change(platform: &HttpPlatform, base: u64, operation: &str) -> UpdateOutcome {
    let change = ChangeRecord {
        version: ConfigVersion::default(),
        operation: operation.to_owned(),
        operator: "test".to_owned(),
        note: String::new(),
    };
    let configuration = Configuration::default();
    let proposal = Proposal { base: ConfigVersion(base), configuration, change };
    let (mut update, mut step) = ConfigUpdate::new(proposal);
    loop {
        step = match step {
            UpdateStep::Done(outcome) => return outcome,
            UpdateStep::Read => {
                let read = platform.read_config(ConfigVersion::default()).await;
                update.on_read(read.ok().map(Option::unwrap_or_default))
            }
            UpdateStep::Write(row) => {
                let written = platform.write_config(&row).await;
                update.on_write(written)
            }
        };
    }
}

async fn run_case(case: Case) {
    let listener = TcpListener::bind((random_loopback_ip(), 7200)).await.expect("a free address");
    let address = listener.local_addr().expect("an address");
    let fake = Arc::new(FakePlatform::new(Default::default(), PlatformLists::default()));
    tokio::spawn(serve(Arc::clone(&fake), listener));
    let platform = HttpPlatform::new(address, Duration::from_millis(300));
    for attempt in case.attempts {
        fake.set_faults(attempt.faults);
        let outcome = apply_change(&platform, attempt.base, &attempt.operation).await;
        let (name, version) = match &outcome {
            UpdateOutcome::Accepted { version, .. } => ("accepted", Some(version.0)),
            UpdateOutcome::Conflict(row) => ("conflict", Some(row.version.0)),
            UpdateOutcome::Unsettled => ("unsettled", None),
        };
        assert_eq!(name, attempt.outcome, "{}: {outcome}", attempt.operation);
        assert_eq!(version, attempt.version, "{}: {outcome}", attempt.operation);
    }
    fake.set_faults(PlatformFaults::default());
    let stale = ConfigRow { version: ConfigVersion(case.final_version), document: Arc::default() };
    let written = platform.write_config(&stale).await;
    assert_eq!(written, WriteResult::Mismatch, "the base is not the version in the table");
    let row = fake.row().expect("a row");
    assert_eq!(row.version, case.final_version);
    let history: Vec<_> = row.value.history.into_iter().map(|change| change.operation).collect();
    assert_eq!(history, case.history);
    let known = platform.read_config(ConfigVersion(case.final_version)).await.expect("an answer");
    assert!(known.is_none(), "a version that is known is not sent again");
    assert!(platform.members().await.expect("a list").is_empty());
}

fn platform_case(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&text)?;
    tokio::runtime::Runtime::new()?.block_on(run_case(case));
    Ok(())
}

datatest_stable::harness! {
    { test = platform_case, root = "tests/cases/platform", pattern = r"\.json$" },
}
