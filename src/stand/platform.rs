//! A platform: one table with conditional writes, an object store, the lists of VMs and workers,
//! and outages on demand.

use super::{Dropped, Stand, StandRequest, StandResponse, bare, reply};
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

/// Where the fault switches are set.
pub const FAULTS_PATH: &str = "/control/faults";
/// Where the lists are set.
pub const LISTS_PATH: &str = "/control/lists";
/// Where objects are kept.
const OBJECTS_PREFIX: &str = "/v1/objects/";
/// Writes a second that the table service takes.
const WRITES_PER_S: f64 = 300.0;
/// Reads a second that the table service takes.
const READS_PER_S: f64 = 2_000.0;

/// The fault switches of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Closes every connection without an answer.
    pub down: bool,
    /// Holds every answer back for this long, in milliseconds.
    pub delay_ms: u64,
    /// The answers to so many writes are lost after the write has taken effect.
    pub lose_write_answers: u32,
    /// Reads of the configuration give the row before the latest.
    pub stale_reads: bool,
    /// Changes of the lists show after this long, in milliseconds.
    pub list_lag_ms: u64,
}

/// The lists that the platform shows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lists {
    /// The entry VMs.
    pub vms: VmList,
    /// The workers, by zone.
    pub workers: IndexMap<ZoneName, WorkerList>,
}

#[derive(Debug)]
struct State {
    rows: Vec<Row>,
    lists: Lists,
    /// Lists that do not show yet, and when they will.
    coming: Vec<(Instant, Lists)>,
    objects: IndexMap<String, Bytes>,
    faults: PlatformFaults,
    reads: TokenBucket,
    writes: TokenBucket,
    served: u64,
}

/// A platform stand-in.
#[derive(Debug)]
pub struct PlatformStand {
    started: Instant,
    state: Mutex<State>,
}

impl PlatformStand {
    /// A platform that holds this configuration as version 1, and these lists.
    pub fn new(document: ConfigDocument, lists: Lists) -> Self {
        let state = State {
            rows: vec![Row { version: 1, value: document }],
            lists,
            coming: Vec::new(),
            objects: IndexMap::new(),
            faults: PlatformFaults::default(),
            reads: TokenBucket::new(READS_PER_S, READS_PER_S),
            writes: TokenBucket::new(WRITES_PER_S, WRITES_PER_S),
            served: 0,
        };
        PlatformStand { started: Instant::now(), state: Mutex::new(state) }
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Sets the lists; they show after the lag.
    pub fn set_lists(&self, lists: Lists) {
        let mut state = self.state.lock();
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        state.coming.push((Instant::now() + lag, lists));
    }

    /// The latest row of the configuration.
    pub fn row(&self) -> Option<Row> {
        self.state.lock().rows.last().cloned()
    }

    /// Requests answered so far.
    pub fn served(&self) -> u64 {
        self.state.lock().served
    }

    fn read_row(&self, req: &StandRequest) -> StandResponse {
        let state = self.state.lock();
        let back = if state.faults.stale_reads && state.rows.len() > 1 { 2 } else { 1 };
        let row = state.rows.len().checked_sub(back).and_then(|at| state.rows.get(at));
        match row {
            None => bare(StatusCode::NOT_FOUND),
            Some(row) => tagged(req, format!("\"{}\"", row.version), row),
        }
    }

    fn write_row(&self, req: &StandRequest) -> Result<StandResponse, Dropped> {
        let Ok(value) = serde_json::from_slice(&req.body) else {
            return Ok(bare(StatusCode::BAD_REQUEST));
        };
        let expected = req.header(IF_VERSION_HEADER.as_str()).and_then(|text| text.parse().ok());
        let mut state = self.state.lock();
        let current = state.rows.last().map_or(0, |row| row.version);
        if expected != Some(current) {
            return Ok(bare(StatusCode::PRECONDITION_FAILED));
        }
        state.rows.push(Row { version: current + 1, value });
        if state.faults.lose_write_answers > 0 {
            state.faults.lose_write_answers -= 1;
            return Err(Dropped);
        }
        Ok(bare(StatusCode::OK))
    }

    /// The object store: `PUT` creates an object if there is none of that name.
    fn object(&self, req: &StandRequest) -> StandResponse {
        let mut state = self.state.lock();
        match req.method {
            Method::GET => match state.objects.get(&req.path) {
                Some(body) => json_response(200, None, body.clone()),
                None => bare(StatusCode::NOT_FOUND),
            },
            Method::PUT if state.objects.contains_key(&req.path) => {
                bare(StatusCode::PRECONDITION_FAILED)
            }
            Method::PUT => {
                state.objects.insert(req.path.clone(), req.body.clone());
                bare(StatusCode::OK)
            }
            _ => bare(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn list(&self, req: &StandRequest) -> StandResponse {
        let mut state = self.state.lock();
        let now = Instant::now();
        while state.coming.first().is_some_and(|(at, _)| *at <= now) {
            state.lists = state.coming.remove(0).1;
        }
        if req.path == VMS_PATH {
            return listed(req, &state.lists.vms);
        }
        let zone = req.path.strip_prefix("/v1/zones/").and_then(|p| p.strip_suffix("/workers"));
        match zone.and_then(|zone| zone.parse::<ZoneName>().ok()) {
            Some(zone) => {
                let list = state.lists.workers.get(&zone).cloned().unwrap_or_default();
                listed(req, &list)
            }
            None => bare(StatusCode::NOT_FOUND),
        }
    }

    fn control(&self, req: &StandRequest) -> StandResponse {
        let done = match req.path.as_str() {
            FAULTS_PATH => {
                serde_json::from_slice(&req.body).map(|faults| self.set_faults(faults)).is_ok()
            }
            LISTS_PATH => {
                serde_json::from_slice(&req.body).map(|lists| self.set_lists(lists)).is_ok()
            }
            _ => return bare(StatusCode::NOT_FOUND),
        };
        bare(if done { StatusCode::OK } else { StatusCode::BAD_REQUEST })
    }

    fn within_rate(&self, method: &Method) -> bool {
        let now = Moment::new(self.started.elapsed());
        let mut state = self.state.lock();
        state.served += 1;
        match *method {
            Method::GET => state.reads.try_take(now, 1.0),
            _ => state.writes.try_take(now, 1.0),
        }
    }
}

fn tagged<T>(req: &StandRequest, tag: String, body: &T) -> StandResponse
where
    T: Serialize,
{
    if req.header(IF_NONE_MATCH.as_str()) == Some(tag.as_str()) {
        return bare(StatusCode::NOT_MODIFIED);
    }
    let mut res = reply(StatusCode::OK, body);
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        res.headers_mut().insert(ETAG, tag);
    }
    res
}

fn listed<T>(req: &StandRequest, list: &T) -> StandResponse
where
    T: Serialize,
{
    let json = serde_json::to_vec(list).unwrap_or_default();
    tagged(req, format!("\"{:016x}\"", xxh3_64(&json)), list)
}

impl Stand for PlatformStand {
    async fn answer(&self, req: StandRequest) -> Result<StandResponse, Dropped> {
        if req.path.starts_with("/control/") {
            return Ok(self.control(&req));
        }
        let faults = self.state.lock().faults.clone();
        if faults.down {
            return Err(Dropped);
        }
        sleep(Duration::from_millis(faults.delay_ms)).await;
        if !self.within_rate(&req.method) {
            return Ok(bare(StatusCode::TOO_MANY_REQUESTS));
        }
        if req.path.starts_with(OBJECTS_PREFIX) {
            return Ok(self.object(&req));
        }
        match (&req.method, req.path.as_str()) {
            (&Method::GET, CONFIG_ROW_PATH) => Ok(self.read_row(&req)),
            (&Method::PUT, CONFIG_ROW_PATH) => self.write_row(&req),
            (&Method::GET, _) => Ok(self.list(&req)),
            _ => Ok(bare(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }
}
