//! Conversions between the schema's messages and the core's types.

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

/// Why a message from a peer can't be read.
#[derive(Debug, Display, Error, From)]
pub enum WireError {
    /// It is not a message of the schema.
    #[display("message: {_0}")]
    Capnp(capnp::Error),
    /// A text is not UTF-8.
    #[display("text: {_0}")]
    Utf8(std::str::Utf8Error),
    /// A name is malformed.
    #[display("name: {_0}")]
    Id(IdError),
    /// An embedded document can't be read.
    #[display("document: {_0}")]
    Json(serde_json::Error),
    /// A key has the wrong length.
    #[display("key of {_0} bytes")]
    #[from(skip)]
    Key(#[error(not(source))] usize),
}

impl From<WireError> for capnp::Error {
    fn from(e: WireError) -> Self {
        capnp::Error::failed(e.to_string())
    }
}

/// Reads who a message is from.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_member(member: wire::member::Reader<'_>) -> Result<Issuer, WireError> {
    Ok(Issuer {
        zone: member.get_zone()?.to_str()?.parse()?,
        vm: member.get_vm()?.to_str()?.parse()?,
        incarnation: Incarnation(member.get_incarnation()),
    })
}

/// Writes who a message is from.
pub fn write_member(mut member: wire::member::Builder<'_>, issuer: &Issuer) {
    member.set_zone(issuer.zone.as_str());
    member.set_vm(issuer.vm.as_str());
    member.set_incarnation(issuer.incarnation.0);
}

/// Reads slot counts.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_slots(
    list: struct_list::Reader<'_, wire::slot_count::Owned>,
) -> Result<Vec<SlotCount>, WireError> {
    list.iter()
        .map(|slots| {
            let worker = slots.get_worker()?.to_str()?.parse()?;
            Ok(SlotCount { worker, slots: slots.get_slots() })
        })
        .collect()
}

/// Writes slot counts.
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

/// A heartbeat as the core sees it.
#[derive(Clone, Debug)]
pub struct Beat {
    /// Who sent it.
    pub from: Issuer,
    /// The configuration version in force there.
    pub version: ConfigVersion,
    /// What it says of itself.
    pub pulse: PeerStatus,
    /// Loans from the receiver that it holds.
    pub held: Vec<SlotCount>,
}

/// Reads a heartbeat.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_beat(beat: wire::heartbeat::Reader<'_>) -> Result<Beat, WireError> {
    let demand = match beat.has_demand() {
        true => Some(read_demand(beat.get_demand()?)?),
        false => None,
    };
    Ok(Beat {
        from: read_member(beat.get_from()?)?,
        version: ConfigVersion(beat.get_config_version()),
        pulse: PeerStatus {
            queued: beat.get_queued_tasks(),
            idle: beat.get_idle_slots(),
            leaving: beat.get_leaving(),
            demand,
        },
        held: read_slots(beat.get_held()?)?,
    })
}

/// Writes a heartbeat.
pub fn write_beat(mut out: wire::heartbeat::Builder<'_>, beat: &Beat) {
    write_member(out.reborrow().init_from(), &beat.from);
    out.set_config_version(beat.version.0);
    out.set_queued_tasks(beat.pulse.queued);
    out.set_idle_slots(beat.pulse.idle);
    out.set_leaving(beat.pulse.leaving);
    write_slots(out.reborrow().init_held(beat.held.len() as u32), &beat.held);
    let Some(demand) = &beat.pulse.demand else {
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

/// Reads a configuration row.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_row(row: wire::config_row::Reader<'_>) -> Result<ConfigRow, WireError> {
    let version = ConfigVersion(row.get_version());
    if version == ConfigVersion::default() {
        return Ok(ConfigRow::default());
    }
    let document: ConfigDocument = serde_json::from_slice(row.get_document()?)?;
    Ok(ConfigRow { version, document: Arc::new(document) })
}

/// Writes a configuration row.
///
/// # Errors
///
/// A [`WireError`] if the document can't be written as JSON.
pub fn write_row(mut out: wire::config_row::Builder<'_>, row: &ConfigRow) -> Result<(), WireError> {
    out.set_version(row.version.0);
    out.set_document(&serde_json::to_vec(row.document.as_ref())?);
    Ok(())
}

/// Reads a list that is carried as JSON.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_list<T>(json: &[u8]) -> Result<Vec<T>, WireError>
where
    T: DeserializeOwned,
{
    Ok(serde_json::from_slice(json)?)
}

/// Reads a reply for a caller.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_reply(reply: wire::reply::Reader<'_>) -> Result<Reply, WireError> {
    let retry_after = match reply.get_retry_after_ms() {
        u64::MAX => None,
        ms => Some(Duration::from_millis(ms)),
    };
    let body = Bytes::copy_from_slice(reply.get_body()?);
    Ok(Reply { status: reply.get_status(), retry_after, body })
}

/// Writes a reply for a caller.
pub fn write_reply(mut out: wire::reply::Builder<'_>, reply: &Reply) {
    out.set_status(reply.status);
    out.set_retry_after_ms(reply.retry_after.map_or(u64::MAX, |span| span.as_millis() as u64));
    out.set_body(&reply.body);
}

/// A digest of 0 stands for none: an id cancelled before anything was submitted under it.
const NO_DIGEST: u64 = 0;

/// Reads a closed ledger.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_ledger(ledger: wire::closed_ledger::Reader<'_>) -> Result<ClosedLedger, WireError> {
    let key = ledger.get_key()?;
    let key = TagKey(key.try_into().map_err(|_| WireError::Key(key.len()))?);
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

/// Writes a closed ledger.
///
/// # Errors
///
/// A [`WireError`] if an answer can't be written as JSON.
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
