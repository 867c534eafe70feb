//! Messages between entry VMs and their encoding in Cap'n Proto.

use crate::{
    coordination::{
        configuration::{ConfigDocument, ConfigRow},
        members::PeerStatus,
    },
    cranberrytray_capnp as wire,
    protocol::callers::Reply,
    state::{
        id::{ConfigVersion, IdError, Incarnation, Issuer, JobNumber, TeamName},
        job::Digest,
        ledger::{ClosedLedger, TagKey},
        loan::SlotCount,
    },
};
use bytes::Bytes;
use capnp::struct_list;
use derive_more::{Display, Error, From};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use std::{sync::Arc, time::Duration};

/// Why a message from or to a peer can't be read or written.
#[derive(Debug, Display, Error, From)]
pub enum WireError {
    /// The message does not follow the schema.
    #[display("message: {_0}")]
    Capnp(capnp::Error),
    /// A text is not UTF-8.
    #[display("text: {_0}")]
    Utf8(std::str::Utf8Error),
    /// A name or an id is malformed.
    #[display("name: {_0}")]
    Id(IdError),
    /// An embedded JSON document can't be read or written.
    #[display("document: {_0}")]
    Json(serde_json::Error),
    /// The key of a ledger has this number of bytes instead of 16.
    #[display("key of {_0} bytes")]
    #[from(skip)]
    KeyLength(#[error(not(source))] usize),
}

impl From<WireError> for capnp::Error {
    fn from(e: WireError) -> Self {
        capnp::Error::failed(e.to_string())
    }
}

/// Reads the identity of an entry VM's process.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_member(member: wire::member::Reader<'_>) -> Result<Issuer, WireError> {
    Ok(Issuer {
        zone: member.get_zone()?.to_str()?.parse()?,
        vm: member.get_vm()?.to_str()?.parse()?,
        incarnation: Incarnation(member.get_incarnation()),
    })
}

/// Writes the identity of an entry VM's process.
pub fn write_member(mut member: wire::member::Builder<'_>, issuer: &Issuer) {
    member.set_zone(issuer.zone.as_str());
    member.set_vm(issuer.vm.as_str());
    member.set_incarnation(issuer.incarnation.0);
}

/// Reads numbers of slots by worker.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_slots(
    list: struct_list::Reader<'_, wire::slot_count::Owned>,
) -> Result<Vec<SlotCount>, WireError> {
    list.iter()
        .map(|entry| {
            let worker = entry.get_worker()?.to_str()?.parse()?;
            Ok(SlotCount { worker, slots: entry.get_slots() })
        })
        .collect()
}

/// Writes numbers of slots by worker; `list` must be as long as `slots`.
pub fn write_slots(
    mut list: struct_list::Builder<'_, wire::slot_count::Owned>,
    slots: &[SlotCount],
) {
    for (i, count) in slots.iter().enumerate() {
        let mut entry = list.reborrow().get(i as u32);
        entry.set_worker(count.worker.as_str());
        entry.set_slots(count.slots);
    }
}

/// Heartbeat that one entry VM sends to another, as a request or as the reply to one.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The sender.
    pub from: Issuer,
    /// Version of the configuration in force at the sender.
    pub config_version: ConfigVersion,
    /// Load of the sender, and whether it is leaving.
    pub status: PeerStatus,
    /// Slots that the sender holds on loan from the receiver.
    pub held_loans: Vec<SlotCount>,
}

/// Reads a heartbeat.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_heartbeat(heartbeat: wire::heartbeat::Reader<'_>) -> Result<Heartbeat, WireError> {
    let demand = match heartbeat.has_demand() {
        true => Some(read_demand(heartbeat.get_demand()?)?),
        false => None,
    };
    Ok(Heartbeat {
        from: read_member(heartbeat.get_from()?)?,
        config_version: ConfigVersion(heartbeat.get_config_version()),
        status: PeerStatus {
            queued: heartbeat.get_queued_tasks(),
            idle: heartbeat.get_idle_slots(),
            leaving: heartbeat.get_leaving(),
            demand,
        },
        held_loans: read_slots(heartbeat.get_held()?)?,
    })
}

/// Writes a heartbeat.
pub fn write_heartbeat(mut out: wire::heartbeat::Builder<'_>, heartbeat: &Heartbeat) {
    write_member(out.reborrow().init_from(), &heartbeat.from);
    out.set_config_version(heartbeat.config_version.0);
    out.set_queued_tasks(heartbeat.status.queued);
    out.set_idle_slots(heartbeat.status.idle);
    out.set_leaving(heartbeat.status.leaving);
    write_slots(out.reborrow().init_held(heartbeat.held_loans.len() as u32), &heartbeat.held_loans);
    let Some(demand) = &heartbeat.status.demand else {
        return;
    };
    let mut list = out.init_demand(demand.len() as u32);
    for (i, (team, tasks)) in demand.iter().enumerate() {
        let mut entry = list.reborrow().get(i as u32);
        entry.set_team(team.as_str());
        entry.set_tasks(*tasks);
    }
}

fn read_demand(
    list: struct_list::Reader<'_, wire::team_demand::Owned>,
) -> Result<IndexMap<TeamName, u32>, WireError> {
    list.iter().map(|entry| Ok((entry.get_team()?.to_str()?.parse()?, entry.get_tasks()))).collect()
}

/// Reads a row of the configuration table; version 0 stands for a missing row.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_config_row(row: wire::config_row::Reader<'_>) -> Result<ConfigRow, WireError> {
    let version = ConfigVersion(row.get_version());
    if version == ConfigVersion::default() {
        return Ok(ConfigRow::default());
    }
    let document: ConfigDocument = serde_json::from_slice(row.get_document()?)?;
    Ok(ConfigRow { version, document: Arc::new(document) })
}

/// Writes a row of the configuration table.
///
/// # Errors
///
/// Returns a [`WireError`] if the document can't be written as JSON.
pub fn write_config_row(
    mut out: wire::config_row::Builder<'_>,
    row: &ConfigRow,
) -> Result<(), WireError> {
    out.set_version(row.version.0);
    out.set_document(&serde_json::to_vec(row.document.as_ref())?);
    Ok(())
}

/// Reads a list that is embedded as JSON.
///
/// # Errors
///
/// Returns a [`WireError`] if the list can't be read.
pub fn read_json_list<T>(json: &[u8]) -> Result<Vec<T>, WireError>
where
    T: DeserializeOwned,
{
    Ok(serde_json::from_slice(json)?)
}

/// Reads the reply to a forwarded request of a caller.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_reply(reply: wire::reply::Reader<'_>) -> Result<Reply, WireError> {
    let retry_after = match reply.get_retry_after_ms() {
        u64::MAX => None,
        ms => Some(Duration::from_millis(ms)),
    };
    let body = Bytes::copy_from_slice(reply.get_body()?);
    Ok(Reply { status: reply.get_status(), retry_after, body })
}

/// Writes the reply to a forwarded request of a caller.
pub fn write_reply(mut out: wire::reply::Builder<'_>, reply: &Reply) {
    out.set_status(reply.status);
    out.set_retry_after_ms(reply.retry_after.map_or(u64::MAX, |delay| delay.as_millis() as u64));
    out.set_body(&reply.body);
}

/// Encoding of the missing digest of an id that was cancelled before a job was submitted under it.
const NO_DIGEST: u64 = 0;

/// Reads a closed ledger or a part of one.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_ledger(ledger: wire::closed_ledger::Reader<'_>) -> Result<ClosedLedger, WireError> {
    let key = ledger.get_key()?;
    let key = TagKey(key.try_into().map_err(|_| WireError::KeyLength(key.len()))?);
    let mut answers = IndexMap::new();
    for entry in ledger.get_answers()? {
        let answer = Arc::new(serde_json::from_slice(entry.get_answer()?)?);
        let digest = match entry.get_digest() {
            NO_DIGEST => None,
            digest => Some(Digest(digest)),
        };
        answers.insert(JobNumber(entry.get_number()), (digest, answer));
    }
    Ok(ClosedLedger {
        issuer: read_member(ledger.get_issuer()?)?,
        key,
        next: ledger.get_next(),
        oldest_live: ledger.get_oldest_live(),
        answers,
    })
}

/// Writes a closed ledger or a part of one.
///
/// # Errors
///
/// Returns a [`WireError`] if an answer can't be written as JSON.
pub fn write_ledger(
    mut out: wire::closed_ledger::Builder<'_>,
    ledger: &ClosedLedger,
) -> Result<(), WireError> {
    write_member(out.reborrow().init_issuer(), &ledger.issuer);
    out.set_key(&ledger.key.0);
    out.set_next(ledger.next);
    out.set_oldest_live(ledger.oldest_live);
    let mut answers = out.init_answers(ledger.answers.len() as u32);
    for (i, (number, (digest, answer))) in ledger.answers.iter().enumerate() {
        let mut entry = answers.reborrow().get(i as u32);
        entry.set_number(number.0);
        entry.set_answer(&serde_json::to_vec(answer.as_ref())?);
        entry.set_digest(digest.map_or(NO_DIGEST, |digest| digest.0));
    }
    Ok(())
}
