//! The workers' interface, by a table of faults and what the caller must be told.

mod common;

use common::{embedded::EmbeddedVm, job};
use cranberrytray::fake::worker::WorkerFaults;
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::Path;

/// A case: one worker with these faults, one job, and what must come of it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    faults: WorkerFaults,
    /// A second worker without faults.
    #[serde(default)]
    healthy_peer: bool,
    tasks: usize,
    ms: u64,
    deadline_ms: u64,
    state: String,
    reason: Option<String>,
    /// Outcomes that some task's report must have.
    #[serde(default)]
    outcomes: Vec<String>,
    starts: u32,
}

async fn run_case(case: Case) {
    let vm = EmbeddedVm::start(1 + usize::from(case.healthy_peer), json!({})).await;
    vm.workers[0].set_faults(case.faults);
    let id = vm.caller().tickets(1).await.expect("ids").remove(0);
    let spec = job(case.tasks, case.ms).deadline_ms(case.deadline_ms);
    let told = vm.caller().submit(&id, &spec).await.expect("a reply");
    let reply = serde_json::to_value(&told.body).expect("JSON");
    assert_eq!(reply["state"], case.state, "{reply}");
    if let Some(reason) = case.reason {
        assert_eq!(reply["reason"], reason, "{reply}");
    }
    for outcome in case.outcomes {
        let reports = reply["tasks"].as_array().expect("reports");
        assert!(reports.iter().any(|report| report["outcome"] == outcome), "{reply}");
    }
    let again = vm.caller().submit(&id, &spec).await.expect("a reply");
    assert_eq!(told, again, "one answer for all who ask");
    assert_eq!(vm.starts(), case.starts);
    let doubles = vm.workers.iter().flat_map(|worker| worker.starts().into_values());
    assert!(doubles.into_iter().all(|count| count == 1), "started twice");
}

fn workers_case(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str::<Value>(&text).and_then(serde_json::from_value)?;
    tokio::runtime::Runtime::new()?.block_on(run_case(case));
    Ok(())
}

datatest_stable::harness! {
    { test = workers_case, root = "tests/cases/workers", pattern = r"\.json$" },
}
