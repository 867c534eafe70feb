//! The platform's table and lists, by a table of faults and what a change must come to.

mod common;

use common::fresh_ip;
use cranberrytray::{
    coordination::{
        config_update::{ConfigUpdate, Proposal, UpdateOutcome, UpdateStep, WriteResult},
        configuration::{ChangeRecord, ConfigRow, Configuration},
    },
    stand::{
        platform::{Lists, PlatformFaults, PlatformStand},
        serve,
    },
    state::id::ConfigVersion,
    transport::platform::{Platform, ServicePlatform},
};
use serde::Deserialize;
use std::{path::Path, sync::Arc, time::Duration};
use tokio::net::TcpListener;

/// One change.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Attempt {
    #[serde(default)]
    faults: PlatformFaults,
    base: u64,
    operation: String,
    /// `accepted`, `conflict` or `unsettled`.
    outcome: String,
    version: Option<u64>,
}

/// A case: changes in order, and what the table and the lists show at the end.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    attempts: Vec<Attempt>,
    final_version: u64,
    /// Operations in the history, in order.
    history: Vec<String>,
}

async fn settle(platform: &ServicePlatform, base: u64, operation: &str) -> UpdateOutcome {
    let change = ChangeRecord {
        version: ConfigVersion::default(),
        operation: operation.to_owned(),
        operator: "test".to_owned(),
        note: String::new(),
    };
    let configuration = Configuration::default();
    let proposal = Proposal { base: ConfigVersion(base), configuration, change };
    let (mut accept, mut step) = ConfigUpdate::new(proposal);
    loop {
        step = match step {
            UpdateStep::Done(outcome) => return outcome,
            UpdateStep::Read => {
                let read = platform.read_config(ConfigVersion::default()).await;
                accept.on_read(read.ok().map(Option::unwrap_or_default))
            }
            UpdateStep::Write(row) => {
                let written = platform.write_config(&row).await;
                accept.on_write(written)
            }
        };
    }
}

async fn run_case(case: Case) {
    let listener = TcpListener::bind((fresh_ip(), 7200)).await.expect("a free address");
    let address = listener.local_addr().expect("an address");
    let stand = Arc::new(PlatformStand::new(Default::default(), Lists::default()));
    tokio::spawn(serve(Arc::clone(&stand), listener));
    let platform = ServicePlatform::new(address, Duration::from_millis(300));
    for attempt in case.attempts {
        stand.set_faults(attempt.faults);
        let outcome = settle(&platform, attempt.base, &attempt.operation).await;
        let (word, version) = match &outcome {
            UpdateOutcome::Accepted { version, .. } => ("accepted", Some(version.0)),
            UpdateOutcome::Conflict(row) => ("conflict", Some(row.version.0)),
            UpdateOutcome::Unsettled => ("unsettled", None),
        };
        assert_eq!(word, attempt.outcome, "{}: {outcome}", attempt.operation);
        assert_eq!(version, attempt.version, "{}: {outcome}", attempt.operation);
    }
    stand.set_faults(PlatformFaults::default());
    let stale = ConfigRow { version: ConfigVersion(case.final_version), document: Arc::default() };
    let written = platform.write_config(&stale).await;
    assert_eq!(written, WriteResult::Mismatch, "the base is not the version in the table");
    let row = stand.row().expect("a row");
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
