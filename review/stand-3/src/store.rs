//! The platform's store: rows of tables, with long polls for changes.

use crate::{
    http::Request,
    json::{Json, quote},
    record::Record,
};
use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

/// Rows of a page.
const PAGE_ROWS: usize = 500;

#[derive(Default)]
struct State {
    version: u64,
    /// Version and value in base64 by table and key; no value marks a removed row.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// A store that answers at once and loses nothing.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().enumerate().fold(0_u32, |w, (n, b)| w | u32::from(*b) << (16 - 8 * n));
        for digit in 0..4 {
            let value = DIGITS[(word >> (18 - 6 * digit)) as usize & 63];
            out.push(if digit <= chunk.len() { value as char } else { '=' });
        }
    }
    out
}

/// Decodes the percent signs of a value in a query.
fn decode(value: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'+' => out.push(b' '),
            b'%' => {
                let hex: String = bytes.by_ref().take(2).map(char::from).collect();
                out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            byte => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    /// Writes a row, as the operator or a worker does. The return is the store's ack.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (version, value));
        self.changed.notify_all();
    }

    /// Handles a request of a machine.
    pub fn respond(&self, req: &Request, record: &Record) -> Option<(u16, String)> {
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let now_ms = record.now().as_millis();
        match path {
            "/api/rows-tx" => {
                let body = Json::parse(&req.body)?;
                for (name, keeps) in [("writes", true), ("remove", false)] {
                    for row in body.field(name).items() {
                        let value = row.field("value").text().filter(|_| keeps).map(str::to_owned);
                        self.write(row.field("table").text()?, row.field("key").text()?, value);
                    }
                }
                let version = self.state.lock().unwrap().version;
                Some((200, format!(r#"{{"ver":{version},"nowMs":{now_ms}}}"#)))
            }
            "/api/rows-get" => {
                let (table, from) = (text("table"), text("from"));
                let state = self.state.lock().unwrap();
                let rows: Vec<String> = state
                    .rows
                    .iter()
                    .filter(|((t, key), (_, value))| *t == table && *key >= from && value.is_some())
                    .map(row)
                    .collect();
                let page = rows[..rows.len().min(PAGE_ROWS)].join(",");
                let (more, version) = (rows.len() > PAGE_ROWS, state.version);
                let tail = format!(r#""hasMore":{more},"ver":{version},"nowMs":{now_ms}"#);
                Some((200, format!(r#"{{"rows":[{page}],{tail}}}"#)))
            }
            "/api/rows-feed" => {
                let (table, after) = (text("table"), number("after"));
                let end = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
                let mut state = self.state.lock().unwrap();
                loop {
                    let is_new = |((t, _), (version, _)): &(&(String, String), &(u64, _))| {
                        *t == table && *version > after
                    };
                    let mut rows: Vec<_> = state.rows.iter().filter(is_new).collect();
                    rows.sort_by_key(|(_, (version, _))| *version);
                    let left = end.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let rows = rows.into_iter().map(row).collect::<Vec<_>>().join(",");
                        let tail = format!(r#""ver":{},"nowMs":{now_ms}"#, state.version);
                        return Some((200, format!(r#"{{"rows":[{rows}],{tail}}}"#)));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some((404, "{}".into())),
        }
    }
}

/// Encodes a row.
fn row(((table, key), (version, value)): (&(String, String), &(u64, Option<String>))) -> String {
    let value = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.to_owned(),
    };
    let (table, key) = (quote(table), quote(key));
    format!(r#"{{"table":{table},"part":"","key":{key},"ver":{version},{value}}}"#)
}
