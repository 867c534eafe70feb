//! The callers' interface, by a table of requests and what they must get.

mod common;

use common::embedded::EmbeddedVm;
use cranberrytray::{state::id::JobId, transport::http::HttpRequest};
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::Path;

/// One exchange.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Exchange {
    method: String,
    /// `{id}`, `{other}` and `{old}` stand for two fresh ids and one that has expired.
    path: String,
    #[serde(default)]
    body: Value,
    /// A body that is not JSON.
    raw: Option<String>,
    status: u16,
    /// `state` of the reply, and `kind` or `reason`.
    state: Option<String>,
    kind: Option<String>,
    reason: Option<String>,
    #[serde(default)]
    retry_after: bool,
}

/// A case: settings besides the usual ones, exchanges in order, and the starts at the end.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    #[serde(default = "empty")]
    settings: Value,
    exchanges: Vec<Exchange>,
    starts: u32,
}

fn empty() -> Value {
    json!({})
}

fn fill(text: &str, ids: &[JobId]) -> String {
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
        let req = HttpRequest::new(method, fill(&exchange.path, &ids)).body(body);
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
