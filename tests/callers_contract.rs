//! Contract tests of the HTTP interface for callers: each case is a list of requests with the
//! expected replies.

mod common;

use common::embedded::EmbeddedVm;
use cranberrytray::{state::id::JobId, transport::http::HttpRequest};
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::Path;

/// One request and the expected reply.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Exchange {
    method: String,
    /// `{id}` and `{other}` stand for two fresh ids, and `{forged}` for the first with a wrong tag.
    path: String,
    #[serde(default)]
    body: Value,
    /// A body sent as it is, in place of `body`; may be malformed JSON.
    raw: Option<String>,
    status: u16,
    /// Expected `state` of the reply, and its `kind` or `reason`; not compared if unset.
    state: Option<String>,
    kind: Option<String>,
    reason: Option<String>,
    /// Whether the reply must have a `Retry-After` header; if false, it must not have one.
    #[serde(default)]
    retry_after: bool,
}

/// A test case: settings that differ from the defaults, requests in order, and the number of task
/// starts at the end.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    #[serde(default = "empty_object")]
    settings: Value,
    exchanges: Vec<Exchange>,
    starts: u32,
}

fn empty_object() -> Value {
    json!({})
}

fn fill_ids(text: &str, ids: &[JobId]) -> String {
    let forged = JobId { tag: cranberrytray::state::id::Tag(1), ..ids[0].clone() };
    text.replace("{id}", &ids[0].to_string())
        .replace("{other}", &ids[1].to_string())
        .replace("{forged}", &forged.to_string())
}

async fn run_case(case: Case) {
    let vm = EmbeddedVm::start(2, case.settings).await;
    let ids = vm.caller().tickets(2).await.expect("ids");
    for (i, exchange) in case.exchanges.into_iter().enumerate() {
        let method = exchange.method.parse().expect("a method");
        let body = match (exchange.raw, exchange.body) {
            (Some(raw), _) => raw,
            (None, Value::Null) => String::new(),
            (None, body) => body.to_string(),
        };
        let req = HttpRequest::new(method, fill_ids(&exchange.path, &ids)).body(body);
        let res = req.send(vm.callers()).await.expect("a whole answer");
        let text = String::from_utf8_lossy(&res.body).into_owned();
        assert_eq!(res.status.as_u16(), exchange.status, "exchange {i}: {text}");
        let reply: Value = serde_json::from_slice(&res.body).expect("JSON");
        for (field, expected) in
            [("state", exchange.state), ("kind", exchange.kind), ("reason", exchange.reason)]
        {
            if let Some(expected) = expected {
                assert_eq!(reply[field], expected, "exchange {i}: {text}");
            }
        }
        assert_eq!(
            res.header("retry-after").is_some(),
            exchange.retry_after,
            "exchange {i}: {text}"
        );
    }
    assert_eq!(vm.starts(), case.starts);
}

fn callers_case(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&text)?;
    tokio::runtime::Runtime::new()?.block_on(run_case(case));
    Ok(())
}

datatest_stable::harness! {
    { test = callers_case, root = "tests/cases/callers", pattern = r"\.json$" },
}
