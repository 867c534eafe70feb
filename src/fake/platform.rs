//! Fake platform: a table with conditional writes, an object store, lists of VMs and workers, and
//! injected faults.

use super::{ConnectionDropped, FakeRequest, FakeResponse, FakeService, empty_reply, json_reply};
use crate::{
    coordination::configuration::ConfigDocument,
    protocol::platform::{CONFIG_ROW_PATH, IF_VERSION_HEADER, Row, VMS_PATH, VmList, WorkerList},
    state::{id::ZoneName, time::Moment, token_bucket::TokenBucket},
    transport::http::json_response,
};
use bytes::Bytes;
use hyper::{
    Method, StatusCode,
    header::{ETAG, HeaderValue, IF_NONE_MATCH},
};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

/// Path of requests that set the injected faults.
pub const FAULTS_PATH: &str = "/control/faults";
/// Path of requests that set the lists.
pub const LISTS_PATH: &str = "/control/lists";
/// Prefix of the paths of objects.
const OBJECTS_PREFIX: &str = "/v1/objects/";
/// Rate of writes that the fake accepts, as the real table service does; others get status 429.
const MAX_WRITES_PER_S: f64 = 300.0;
/// Rate of reads that the fake accepts, as the real table service does; others get status 429.
const MAX_READS_PER_S: f64 = 2_000.0;

/// Faults injected by the fake platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Closes every connection without a response.
    pub down: bool,
    /// Delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// Number of subsequent writes that take effect but whose responses are lost.
    pub lose_write_answers: u32,
    /// Reads of the configuration return the row before the latest.
    pub stale_reads: bool,
    /// Delay after which changes of the lists become visible, in milliseconds.
    pub list_lag_ms: u64,
}

/// The lists that the fake platform serves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformLists {
    /// Entry VMs of all zones.
    pub vms: VmList,
    /// Workers by zone.
    pub workers: IndexMap<ZoneName, WorkerList>,
}

#[derive(Debug)]
struct State {
    /// All versions of the configuration row, oldest first.
    rows: Vec<Row>,
    lists: PlatformLists,
    /// Lists that are not visible yet, and the time at which each becomes visible.
    pending_lists: Vec<(Instant, PlatformLists)>,
    objects: IndexMap<String, Bytes>,
    faults: PlatformFaults,
    reads: TokenBucket,
    writes: TokenBucket,
    requests_served: u64,
}

/// A platform that keeps its table, objects and lists in memory.
#[derive(Debug)]
pub struct FakePlatform {
    started: Instant,
    state: Mutex<State>,
}

impl FakePlatform {
    /// Creates a fake with these lists and with `document` as version 1 of the configuration.
    pub fn new(document: ConfigDocument, lists: PlatformLists) -> Self {
        let state = State {
            rows: vec![Row { version: 1, value: document }],
            lists,
            pending_lists: Vec::new(),
            objects: IndexMap::new(),
            faults: PlatformFaults::default(),
            reads: TokenBucket::new(MAX_READS_PER_S, MAX_READS_PER_S),
            writes: TokenBucket::new(MAX_WRITES_PER_S, MAX_WRITES_PER_S),
            requests_served: 0,
        };
        FakePlatform { started: Instant::now(), state: Mutex::new(state) }
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Sets the lists; they become visible after [`PlatformFaults::list_lag_ms`].
    pub fn set_lists(&self, lists: PlatformLists) {
        let mut state = self.state.lock();
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        state.pending_lists.push((Instant::now() + lag, lists));
    }

    /// Returns the latest row of the configuration.
    pub fn row(&self) -> Option<Row> {
        self.state.lock().rows.last().cloned()
    }

    /// Returns the number of requests served or refused for their rate, without control requests.
    pub fn requests_served(&self) -> u64 {
        self.state.lock().requests_served
    }

    fn read_row(&self, req: &FakeRequest) -> FakeResponse {
        let state = self.state.lock();
        let nth_latest = if state.faults.stale_reads && state.rows.len() > 1 { 2 } else { 1 };
        let row = state.rows.len().checked_sub(nth_latest).and_then(|index| state.rows.get(index));
        match row {
            None => empty_reply(StatusCode::NOT_FOUND),
            Some(row) => conditional_reply(req, format!("\"{}\"", row.version), row),
        }
    }

    fn write_row(&self, req: &FakeRequest) -> Result<FakeResponse, ConnectionDropped> {
        let Ok(value) = serde_json::from_slice(&req.body) else {
            return Ok(empty_reply(StatusCode::BAD_REQUEST));
        };
        let expected = req.header(IF_VERSION_HEADER.as_str()).and_then(|text| text.parse().ok());
        let mut state = self.state.lock();
        let current = state.rows.last().map_or(0, |row| row.version);
        if expected != Some(current) {
            return Ok(empty_reply(StatusCode::PRECONDITION_FAILED));
        }
        state.rows.push(Row { version: current + 1, value });
        if state.faults.lose_write_answers > 0 {
            state.faults.lose_write_answers -= 1;
            return Err(ConnectionDropped);
        }
        Ok(empty_reply(StatusCode::OK))
    }

    /// Serves the object store: `PUT` creates an object and fails if one of that name exists.
    fn serve_object(&self, req: &FakeRequest) -> FakeResponse {
        let mut state = self.state.lock();
        match req.method {
            Method::GET => match state.objects.get(&req.path) {
                Some(body) => json_response(200, None, body.clone()),
                None => empty_reply(StatusCode::NOT_FOUND),
            },
            Method::PUT if state.objects.contains_key(&req.path) => {
                empty_reply(StatusCode::PRECONDITION_FAILED)
            }
            Method::PUT => {
                state.objects.insert(req.path.clone(), req.body.clone());
                empty_reply(StatusCode::OK)
            }
            _ => empty_reply(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn serve_list(&self, req: &FakeRequest) -> FakeResponse {
        let mut state = self.state.lock();
        let now = Instant::now();
        while state.pending_lists.first().is_some_and(|(visible_at, _)| *visible_at <= now) {
            state.lists = state.pending_lists.remove(0).1;
        }
        if req.path == VMS_PATH {
            return list_reply(req, &state.lists.vms);
        }
        let zone = req.path.strip_prefix("/v1/zones/").and_then(|p| p.strip_suffix("/workers"));
        match zone.and_then(|zone| zone.parse::<ZoneName>().ok()) {
            Some(zone) => {
                let list = state.lists.workers.get(&zone).cloned().unwrap_or_default();
                list_reply(req, &list)
            }
            None => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    fn serve_control(&self, req: &FakeRequest) -> FakeResponse {
        let accepted = match req.path.as_str() {
            FAULTS_PATH => {
                serde_json::from_slice(&req.body).map(|faults| self.set_faults(faults)).is_ok()
            }
            LISTS_PATH => {
                serde_json::from_slice(&req.body).map(|lists| self.set_lists(lists)).is_ok()
            }
            _ => return empty_reply(StatusCode::NOT_FOUND),
        };
        empty_reply(if accepted { StatusCode::OK } else { StatusCode::BAD_REQUEST })
    }

    fn try_admit(&self, method: &Method) -> bool {
        let now = Moment::new(self.started.elapsed());
        let mut state = self.state.lock();
        state.requests_served += 1;
        match *method {
            Method::GET => state.reads.try_take(now, 1.0),
            _ => state.writes.try_take(now, 1.0),
        }
    }
}

fn conditional_reply<T>(req: &FakeRequest, etag: String, body: &T) -> FakeResponse
where
    T: Serialize,
{
    if req.header(IF_NONE_MATCH.as_str()) == Some(etag.as_str()) {
        return empty_reply(StatusCode::NOT_MODIFIED);
    }
    let mut res = json_reply(StatusCode::OK, body);
    if let Ok(etag) = HeaderValue::from_str(&etag) {
        res.headers_mut().insert(ETAG, etag);
    }
    res
}

fn list_reply<T>(req: &FakeRequest, list: &T) -> FakeResponse
where
    T: Serialize,
{
    let json = serde_json::to_vec(list).unwrap_or_default();
    conditional_reply(req, format!("\"{:016x}\"", xxh3_64(&json)), list)
}

impl FakeService for FakePlatform {
    async fn handle(&self, req: FakeRequest) -> Result<FakeResponse, ConnectionDropped> {
        if req.path.starts_with("/control/") {
            return Ok(self.serve_control(&req));
        }
        let faults = self.state.lock().faults.clone();
        if faults.down {
            return Err(ConnectionDropped);
        }
        sleep(Duration::from_millis(faults.delay_ms)).await;
        if !self.try_admit(&req.method) {
            return Ok(empty_reply(StatusCode::TOO_MANY_REQUESTS));
        }
        if req.path.starts_with(OBJECTS_PREFIX) {
            return Ok(self.serve_object(&req));
        }
        match (&req.method, req.path.as_str()) {
            (&Method::GET, CONFIG_ROW_PATH) => Ok(self.read_row(&req)),
            (&Method::PUT, CONFIG_ROW_PATH) => self.write_row(&req),
            (&Method::GET, _) => Ok(self.serve_list(&req)),
            _ => Ok(empty_reply(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }
}
