//! Contract tests of the workers' interface: each case is a job on a worker with faults, with the
//! expected answer to the caller.

mod common;

use common::{embedded::EmbeddedVm, job};
use cranberrytray::fake::worker::WorkerFaults;
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::Path;

/// A test case: the faults of one worker, one job, and the expected answer.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    faults: WorkerFaults,
    /// Whether there is a second worker, without faults.
    #[serde(default)]
    healthy_peer: bool,
    /// Number of tasks in the job.
    tasks: usize,
    /// Run time of each task, in milliseconds.
    ms: u64,
    deadline_ms: u64,
    /// Expected `state` of the answer, and its `reason`, which is not compared if unset.
    state: String,
    reason: Option<String>,
    /// Outcomes that must each occur in the report of some task.
    #[serde(default)]
    outcomes: Vec<String>,
    /// Expected number of task starts at the end, over all workers.
    starts: u32,
}

async fn run_case(case: Case) {
    let vm = EmbeddedVm::start(1 + usize::from(case.healthy_peer), json!({})).await;
    vm.workers[0].set_faults(case.faults);
    let id = vm.caller().tickets(1).await.expect("ids").remove(0);
    let spec = job(case.tasks, case.ms).deadline_ms(case.deadline_ms);
    let first = vm.caller().submit(&id, &spec).await.expect("a reply");
    let reply = serde_json::to_value(&first.body).expect("JSON");
    assert_eq!(reply["state"], case.state, "{reply}");
    if let Some(reason) = case.reason {
        assert_eq!(reply["reason"], reason, "{reply}");
    }
    for outcome in case.outcomes {
        let reports = reply["tasks"].as_array().expect("reports");
        assert!(reports.iter().any(|report| report["outcome"] == outcome), "{reply}");
    }
    let repeated = vm.caller().submit(&id, &spec).await.expect("a reply");
    assert_eq!(first, repeated, "a repeated submission gets the same answer");
    assert_eq!(vm.starts(), case.starts);
    let start_counts = vm.workers.iter().flat_map(|worker| worker.starts().into_values());
    assert!(start_counts.into_iter().all(|count| count == 1), "started twice");
}

fn workers_case(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str::<Value>(&text).and_then(serde_json::from_value)?;
    tokio::runtime::Runtime::new()?.block_on(run_case(case));
    Ok(())
}

datatest_stable::harness! {
    { test = workers_case, root = "tests/cases/workers", pattern = r"\.json$" },
}
