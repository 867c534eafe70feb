//! Contract tests of the interface between entry VMs: each case is a list of calls with the
//! expected replies.

mod common;

use common::embedded::EmbeddedVm;
use cranberrytray::{
    client::PeerVerb,
    coordination::{
        configuration::{ConfigDocument, ConfigRow},
        members::PeerStatus,
    },
    protocol::peers::Heartbeat,
    state::{
        id::{ConfigVersion, JobId, JobNumber},
        job::Answer,
        ledger::{ClosedLedger, TagKey, parse_issuer},
    },
    transport::peers::{ForwardedRequest, PeerCall, PeerClient, run_peer_calls},
};
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::{Value, json};
use std::{path::Path, sync::Arc, time::Duration};
use tokio::task::LocalSet;

/// One call to the entry VM under test and the expected reply.
#[derive(Deserialize)]
#[serde(tag = "call", rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Forwards a request. `job` selects the id: `own` was issued by the VM under test and `forged`
    /// is one that it never issued; `answered` and `unspent` are in the ledger of `HandOver`, with
    /// and without an answer; `stranger` names an issuer that the VM does not know.
    /// The body of the reply must contain `text`.
    Forward { verb: String, job: String, body: Option<Value>, status: u16, text: String },
    /// Pushes a configuration; `in_force` is the version that the VM under test has afterwards.
    Push { version: u64, in_force: u64 },
    /// Hands over the ledger of an entry VM that has left.
    HandOver,
    /// Sends a heartbeat; the reply must name the VM under test and its configuration version.
    Heartbeat { version: u64 },
    /// Asks for slots without being a member of the zone; `granted` is the expected total.
    Borrow { slots: u32, granted: u32 },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    steps: Vec<Step>,
    /// Expected number of task starts at the end.
    starts: u32,
}

const KEY: TagKey = TagKey([7; 16]);

fn departed_ledger() -> ClosedLedger {
    let answer = Arc::new(Answer::Complete { outputs: vec!["kept".to_owned()] });
    ClosedLedger {
        issuer: parse_issuer("a", "a-9", 99).expect("names"),
        key: KEY,
        next: 10,
        oldest_live: 0,
        answers: IndexMap::from([(JobNumber(3), (None, answer))]),
    }
}

fn departed_id(number: u64) -> JobId {
    let number = JobNumber(number);
    JobId { issuer: departed_ledger().issuer, number, tag: KEY.tag(number) }
}

async fn run_case(case: Case) {
    let vm = EmbeddedVm::start(2, json!({})).await;
    let own = vm.caller().tickets(1).await.expect("ids").remove(0);
    let (client, calls) = PeerClient::new();
    let address = vm.peers();
    let steps = async {
        for (i, step) in case.steps.into_iter().enumerate() {
            run_step(i, step, &client, address, &own).await;
        }
    };
    let local = LocalSet::new();
    local.spawn_local(run_peer_calls(calls));
    local.run_until(steps).await;
    assert_eq!(vm.starts(), case.starts);
}

async fn run_step(
    i: usize,
    step: Step,
    client: &PeerClient,
    address: std::net::SocketAddr,
    own: &JobId,
) {
    match step {
        Step::Forward { verb, job, body, status, text } => {
            let id = match job.as_str() {
                "own" => own.clone(),
                "forged" => JobId { number: JobNumber(5_000), ..own.clone() },
                "answered" => departed_id(3),
                "unspent" => departed_id(4),
                _ => JobId { issuer: parse_issuer("a", "a-8", 1).expect("names"), ..own.clone() },
            };
            let verb = match verb.as_str() {
                "submit" => PeerVerb::Submit,
                "cancel" => PeerVerb::Cancel,
                _ => PeerVerb::Get,
            };
            let body = body.map_or(Vec::new(), |body| body.to_string().into_bytes());
            let wait = Duration::from_secs(20);
            let req = ForwardedRequest { verb, job_id: id.to_string(), wait, body: body.into() };
            let reply = client.call(address, |tx| PeerCall::Forward(req, tx)).await;
            let reply = reply.expect("an answer");
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            assert_eq!(reply.status, status, "step {i}: {body}");
            assert!(body.contains(&text), "step {i}: {body}");
        }
        Step::Push { version, in_force } => {
            let document = Arc::new(ConfigDocument::default());
            let row = ConfigRow { version: ConfigVersion(version), document };
            let reply = client.call(address, |tx| PeerCall::PushConfig(row, tx)).await;
            assert_eq!(reply.expect("an answer"), ConfigVersion(in_force), "step {i}");
        }
        Step::HandOver => {
            let ledger = Box::new(departed_ledger());
            let reply = client.call(address, |tx| PeerCall::HandOver(ledger, tx)).await;
            reply.expect("an answer");
        }
        Step::Heartbeat { version } => {
            let heartbeat = Heartbeat {
                from: parse_issuer("a", "a-9", 99).expect("names"),
                config_version: ConfigVersion(1),
                status: PeerStatus::default(),
                held_loans: Vec::new(),
            };
            let reply =
                client.call(address, |tx| PeerCall::Heartbeat(Box::new(heartbeat), tx)).await;
            let reply = reply.expect("an answer");
            assert_eq!(reply.from.vm.as_str(), "a-1", "step {i}");
            assert_eq!(reply.config_version, ConfigVersion(version), "step {i}");
        }
        Step::Borrow { slots, granted } => {
            let from = parse_issuer("a", "a-9", 99).expect("names");
            let reply = client.call(address, |tx| PeerCall::Borrow(from, slots, tx)).await;
            let total: u32 = reply.expect("an answer").iter().map(|grant| grant.slots).sum();
            assert_eq!(total, granted, "step {i}");
        }
    }
}

fn peers_case(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&text)?;
    tokio::runtime::Runtime::new()?.block_on(run_case(case));
    Ok(())
}

datatest_stable::harness! {
    { test = peers_case, root = "tests/cases/peers", pattern = r"\.json$" },
}
