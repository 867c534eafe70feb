//! Conversions between the messages among VMs that run jobs on leased targets and their types.

use super::peers::WireError;
use crate::{
    coordination::dispatch::SpareCpu,
    fleet_capnp as wire,
    state::{
        id::{ConfigVersion, Incarnation, VmName, ZoneName},
        plan::{Label, QueueName},
        resources::{Accelerators, Mebibytes, MilliCores, Resources},
        work::{Outcome, Refusal, Step, Work, WorkId},
    },
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// A VM and where it serves its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it serves its peers.
    pub address: SocketAddr,
    /// What it can carry as a dispatcher, in thousandths of a core.
    pub weight: u32,
    /// Numbers its starts, rising.
    pub incarnation: Incarnation,
}

/// What a VM did with a job that was handed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handled {
    /// The job has ended, or will not run.
    Ended(Outcome),
    /// Nothing of it has run; the dispatcher at this address should be asked instead.
    Passed(SocketAddr),
}

/// A zone's dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDispatcher {
    /// The zone.
    pub zone: ZoneName,
    /// Its dispatcher's address.
    pub address: SocketAddr,
}

/// What a VM says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beat {
    /// The VM.
    pub from: Peer,
    /// The configuration it has in force.
    pub plan_version: ConfigVersion,
    /// The dispatcher of its zone.
    pub dispatcher: Option<SocketAddr>,
    /// That dispatcher's epoch.
    pub epoch: u64,
    /// Free processor for other zones.
    pub spare: SpareCpu,
    /// The dispatchers of other zones.
    pub zones: Vec<ZoneDispatcher>,
    /// Whether it is stopping.
    pub leaving: bool,
}

impl Beat {
    /// Whether the sender is its zone's dispatcher.
    pub fn dispatches(&self) -> bool {
        self.dispatcher == Some(self.from.address)
    }
}

/// What a VM knows: configuration and other VMs.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration's version, zero if there is none.
    pub version: ConfigVersion,
    /// The configuration, as JSON.
    pub plan: Vec<u8>,
    /// VMs.
    pub peers: Vec<Peer>,
    /// Targets, as JSON.
    pub targets: Vec<u8>,
}

/// Reads what became of a job.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_handled(r: wire::peer::run_results::Reader<'_>) -> Result<Handled, WireError> {
    let passed_to = r.get_passed_to()?;
    if passed_to.is_empty() {
        return Ok(Handled::Ended(read_outcome(r.get_outcome()?)?));
    }
    Ok(Handled::Passed(address(passed_to)?))
}

/// Writes what became of a job.
pub fn write_handled(handled: Handled, mut b: wire::peer::run_results::Builder<'_>) {
    match handled {
        Handled::Ended(outcome) => write_outcome(outcome, b.init_outcome()),
        Handled::Passed(to) => b.set_passed_to(to.to_string().as_str()),
    }
}

fn text(t: capnp::text::Reader<'_>) -> Result<&str, WireError> {
    Ok(t.to_str()?)
}

fn label(t: capnp::text::Reader<'_>) -> Result<Option<Label>, WireError> {
    let s = text(t)?;
    Ok((!s.is_empty()).then(|| Label::from(s)))
}

fn address(t: capnp::text::Reader<'_>) -> Result<SocketAddr, WireError> {
    text(t)?.parse().map_err(|_| WireError::Capnp(capnp::Error::failed("address".into())))
}

/// Reads a VM.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_peer(r: wire::member::Reader<'_>) -> Result<Peer, WireError> {
    Ok(Peer {
        vm: text(r.get_vm()?)?.parse()?,
        zone: text(r.get_zone()?)?.parse()?,
        address: address(r.get_address()?)?,
        weight: r.get_weight(),
        incarnation: Incarnation(r.get_incarnation()),
    })
}

/// Writes a VM.
pub fn write_peer(peer: &Peer, mut b: wire::member::Builder<'_>) {
    b.set_vm(peer.vm.as_str());
    b.set_zone(peer.zone.as_str());
    b.set_address(peer.address.to_string().as_str());
    b.set_weight(peer.weight);
    b.set_incarnation(peer.incarnation.0);
}

/// Reads a beat.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_beat(r: wire::beat::Reader<'_>) -> Result<Beat, WireError> {
    let dispatcher = r.get_dispatcher()?;
    let mut zones = Vec::new();
    for zone in r.get_zones()? {
        zones.push(ZoneDispatcher {
            zone: text(zone.get_zone()?)?.parse()?,
            address: address(zone.get_address()?)?,
        });
    }
    Ok(Beat {
        from: read_peer(r.get_from()?)?,
        plan_version: ConfigVersion(r.get_plan_version()),
        dispatcher: if dispatcher.is_empty() { None } else { Some(address(dispatcher)?) },
        epoch: r.get_epoch(),
        spare: SpareCpu {
            total_millicores: r.get_spare_milli_cores(),
            fast_millicores: r.get_spare_fast_milli_cores(),
        },
        zones,
        leaving: r.get_leaving(),
    })
}

/// Writes a beat.
pub fn write_beat(beat: &Beat, mut b: wire::beat::Builder<'_>) {
    write_peer(&beat.from, b.reborrow().init_from());
    b.set_plan_version(beat.plan_version.0);
    if let Some(dispatcher) = beat.dispatcher {
        b.set_dispatcher(dispatcher.to_string().as_str());
    }
    b.set_epoch(beat.epoch);
    b.set_spare_milli_cores(beat.spare.total_millicores);
    b.set_spare_fast_milli_cores(beat.spare.fast_millicores);
    b.set_leaving(beat.leaving);
    let mut zones = b.init_zones(beat.zones.len() as u32);
    for (n, zone) in beat.zones.iter().enumerate() {
        let mut z = zones.reborrow().get(n as u32);
        z.set_zone(zone.zone.as_str());
        z.set_address(zone.address.to_string().as_str());
    }
}

fn read_step(r: wire::step::Reader<'_>) -> Result<Step, WireError> {
    let needs = r.get_needs()?;
    let declared = r.get_declared_ms();
    let most = r.get_most_per_target();
    Ok(Step {
        count: r.get_count(),
        needs: Resources {
            cpu: MilliCores(needs.get_milli_cores()),
            memory: Mebibytes(needs.get_mebibytes()),
            accelerators: Accelerators(needs.get_accelerators()),
        },
        declared: (declared > 0).then(|| Duration::from_millis(declared)),
        after: r.get_after()?.iter().collect(),
        required: label(r.get_required()?)?,
        near: label(r.get_near()?)?,
        same_rack: r.get_same_rack(),
        most_per_target: (most > 0).then_some(most),
    })
}

fn write_step(step: &Step, mut b: wire::step::Builder<'_>) {
    b.set_count(step.count);
    let mut needs = b.reborrow().init_needs();
    needs.set_milli_cores(step.needs.cpu.0);
    needs.set_mebibytes(step.needs.memory.0);
    needs.set_accelerators(step.needs.accelerators.0);
    b.set_declared_ms(step.declared.map_or(0, |d| d.as_millis() as u64));
    b.set_required(step.required.as_ref().map_or("", |l| &l.0));
    b.set_near(step.near.as_ref().map_or("", |l| &l.0));
    b.set_same_rack(step.same_rack);
    b.set_most_per_target(step.most_per_target.unwrap_or_default());
    let mut after = b.init_after(step.after.len() as u32);
    for (n, number) in step.after.iter().enumerate() {
        after.set(n as u32, *number);
    }
}

/// Reads a job.
///
/// # Errors
///
/// A [`WireError`].
pub fn read_work(r: wire::work::Reader<'_>) -> Result<Work, WireError> {
    let steps = r.get_steps()?.iter().map(read_step).collect::<Result<_, _>>()?;
    Ok(Work {
        id: WorkId(r.get_id()),
        queue: QueueName::from(text(r.get_queue()?)?),
        spec: Arc::from(text(r.get_spec()?)?),
        steps,
        patience: Duration::from_millis(u64::from(r.get_patience_ms())),
    })
}

/// Writes a job.
pub fn write_work(work: &Work, mut b: wire::work::Builder<'_>) {
    b.set_id(work.id.0);
    b.set_queue(&*work.queue.0);
    b.set_spec(&*work.spec);
    b.set_patience_ms(work.patience.as_millis() as u32);
    let mut steps = b.init_steps(work.steps.len() as u32);
    for (n, step) in work.steps.iter().enumerate() {
        write_step(step, steps.reborrow().get(n as u32));
    }
}

const REFUSALS: [(Refusal, wire::Refusal); 7] = [
    (Refusal::TooLate, wire::Refusal::TooLate),
    (Refusal::QueueFull, wire::Refusal::QueueFull),
    (Refusal::NoTarget, wire::Refusal::NoTarget),
    (Refusal::NoDispatcher, wire::Refusal::NoDispatcher),
    (Refusal::Closed, wire::Refusal::Closed),
    (Refusal::NoQueue, wire::Refusal::NoQueue),
    (Refusal::Shape, wire::Refusal::Shape),
];

/// Reads an outcome.
///
/// # Errors
///
/// A [`WireError`].
fn read_outcome(r: wire::outcome::Reader<'_>) -> Result<Outcome, WireError> {
    let refusal = r.get_refusal().map_err(capnp::Error::from)?;
    let refusal = REFUSALS.iter().find(|(_, wire)| *wire == refusal);
    Ok(match r.get_verdict().map_err(capnp::Error::from)? {
        wire::Verdict::Completed => Outcome::Completed,
        wire::Verdict::Failed => Outcome::Failed,
        wire::Verdict::NotRun => Outcome::NotRun {
            refusal: refusal.map_or(Refusal::Closed, |(ours, _)| *ours),
            retry_after: Duration::from_millis(u64::from(r.get_retry_after_ms())),
        },
        wire::Verdict::Unknown => Outcome::Unknown,
    })
}

/// Writes an outcome.
fn write_outcome(outcome: Outcome, mut b: wire::outcome::Builder<'_>) {
    b.set_verdict(match outcome {
        Outcome::Completed => wire::Verdict::Completed,
        Outcome::Failed => wire::Verdict::Failed,
        Outcome::NotRun { .. } => wire::Verdict::NotRun,
        Outcome::Unknown => wire::Verdict::Unknown,
    });
    if let Outcome::NotRun { refusal, retry_after } = outcome {
        let wire = REFUSALS.iter().find(|(ours, _)| *ours == refusal);
        b.set_refusal(wire.map_or(wire::Refusal::Closed, |(_, wire)| *wire));
        b.set_retry_after_ms(retry_after.as_millis() as u32);
    }
}
