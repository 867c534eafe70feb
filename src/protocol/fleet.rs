//! Messages between VMs that run jobs on leased targets, and their encoding in Cap'n Proto.

use super::peers::WireError;
use crate::{
    fleet_capnp as wire,
    state::{
        crash_history::{Loss, TaskLosses},
        evacuation::Evacuations,
        fleet_config::{Label, QueueName},
        id::{ConfigVersion, Incarnation, VmName, ZoneName},
        job_submission::{CallerJobId, JobSubmission, Outcome, Refusal, Step, TaskId},
        resources::{Accelerators, Mebibytes, MilliCores, Resources},
        shard::{Shard, ShardCount},
        target::{TargetId, TargetIncarnation, TargetInfo},
    },
};
use capnp::NotInSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// A VM and the address at which its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the VM.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address at which the VM serves the peer protocol.
    pub address: SocketAddr,
    /// Capacity of the VM as a dispatcher, in thousandths of a core; the VM with the highest value
    /// dispatches for its zone.
    pub weight: u32,
    /// Incarnation of the VM's process; higher after each restart.
    pub incarnation: Incarnation,
    /// Whether the VM's version can divide a zone into shards.
    #[serde(default)]
    pub knows_shards: bool,
    /// Whether the VM's version keeps the case of job ids; one that doesn't would run a job whose id has
    /// capital letters under another one.
    #[serde(default)]
    pub knows_id_case: bool,
}

/// Reply to a request to run a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchReply {
    /// The job has ended or will not be run.
    Ended(Outcome),
    /// No task of the job was started; the requester should ask the dispatcher at this address
    /// instead.
    Redirected(SocketAddr),
}

/// The dispatcher of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDispatcher {
    /// Zone whose jobs it dispatches.
    pub zone: ZoneName,
    /// Address at which the dispatcher serves the peer protocol.
    pub address: SocketAddr,
}

/// Heartbeat: the state that a VM reports to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: Peer,
    /// Version of the configuration in force at the sender.
    pub config_version: ConfigVersion,
    /// Index of the shard whose dispatcher the sender is, or for which it may be elected.
    pub shard: u16,
    /// Number of shards of the sender's zone; `None` if the sender is of a version that doesn't know
    /// shards, or knows such a VM in its zone.
    pub shard_count: Option<ShardCount>,
    /// Address of the dispatcher of the sender's shard, if one is known.
    pub dispatcher: Option<SocketAddr>,
    /// Epoch under which the sender dispatches, zero if it does not. If two VMs dispatch for the
    /// same shard, the one with the higher epoch remains its dispatcher.
    pub epoch: u64,
    /// Free processor capacity of the sender's targets that other zones may use; zero unless it is
    /// a dispatcher.
    pub spare_cpu: MilliCores,
    /// Dispatchers of other zones that the sender knows.
    pub zones: Vec<ZoneDispatcher>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Targets that the sender recently lost under tasks, if it is a dispatcher.
    pub losses: Vec<TaskLosses>,
    /// Evacuated zones that the sender knows.
    pub evacuations: Evacuations,
}

impl Heartbeat {
    /// Whether the sender is the dispatcher of its shard.
    pub fn is_from_dispatcher(&self) -> bool {
        self.dispatcher == Some(self.from.address)
    }

    /// The sender's shard.
    pub fn shard(&self) -> Shard {
        Shard { zone: self.from.zone.clone(), index: self.shard }
    }

    /// Whether the sender's shard is the one with this index in a zone with so many shards.
    pub fn is_of_shard(&self, index: u16, count: ShardCount) -> bool {
        self.shard == index && self.shard_count.unwrap_or(ShardCount::ONE) == count
    }
}

/// The configuration, VMs, targets and evacuated zones known to a VM, sent to a peer on request.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version of the configuration; zero if the sender has none.
    pub version: ConfigVersion,
    /// Configuration in JSON; empty if the sender has none.
    pub config: Vec<u8>,
    /// VMs that the sender knows, including itself.
    pub peers: Vec<Peer>,
    /// Targets of the requested zone in JSON; empty if no zone was requested.
    pub targets: Vec<u8>,
    /// Evacuated zones that the sender knows.
    pub evacuations: Evacuations,
}

/// The targets of a zone in the store's list, as the dispatcher of its first shard reads it for the
/// other VMs of the zone.
#[derive(Clone, Debug)]
pub struct TargetList {
    /// The targets in JSON.
    pub targets: Vec<u8>,
    /// Time since the sender read the list.
    pub age: Duration,
}

/// Reads the reply to a request to run a job.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_dispatch_reply(
    r: wire::peer::run_results::Reader<'_>,
) -> Result<DispatchReply, WireError> {
    let redirected_to = r.get_passed_to()?;
    if redirected_to.is_empty() {
        return Ok(DispatchReply::Ended(read_outcome(r.get_outcome()?)));
    }
    Ok(DispatchReply::Redirected(read_address(redirected_to)?))
}

/// Writes the reply to a request to run a job.
pub fn write_dispatch_reply(reply: DispatchReply, mut b: wire::peer::run_results::Builder<'_>) {
    match reply {
        DispatchReply::Ended(outcome) => write_outcome(outcome, b.init_outcome()),
        DispatchReply::Redirected(to) => b.set_passed_to(to.to_string().as_str()),
    }
}

/// Reads the entries of a list, and leaves out those that can't be read: a VM of another version may send
/// what this one doesn't know, and the rest of the message stands.
fn read_entries<I, T, F>(entries: I, read: F) -> Vec<T>
where
    I: IntoIterator,
    F: Fn(I::Item) -> Result<T, WireError>,
{
    let read = |entry| {
        read(entry)
            .inspect_err(|e| log::debug!("peers: an entry of a message is left out: {e}"))
            .ok()
    };
    entries.into_iter().filter_map(read).collect()
}

/// Reads what a VM knows, without the VMs and evacuated zones that can't be read.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_snapshot(r: wire::peer::snapshot_results::Reader<'_>) -> Result<Snapshot, WireError> {
    Ok(Snapshot {
        version: ConfigVersion(r.get_plan_version()),
        config: r.get_plan()?.to_vec(),
        peers: read_entries(r.get_members()?, read_peer),
        targets: r.get_targets()?.to_vec(),
        evacuations: read_evacuations(r.get_evacuation_revision(), r.get_evacuated_zones()?),
    })
}

/// Reads a list of targets in JSON, without those that can't be read.
///
/// # Errors
///
/// Returns a [`WireError`] if the bytes are no list in JSON.
pub fn read_targets(json: &[u8]) -> Result<Vec<TargetInfo>, WireError> {
    let entries: Vec<&RawValue> = serde_json::from_slice(json)?;
    Ok(read_entries(entries, |entry| Ok(serde_json::from_str(entry.get())?)))
}

fn read_text(t: capnp::text::Reader<'_>) -> Result<&str, WireError> {
    Ok(t.to_str()?)
}

fn read_label(t: capnp::text::Reader<'_>) -> Result<Option<Label>, WireError> {
    let s = read_text(t)?;
    Ok((!s.is_empty()).then(|| Label::from(s)))
}

fn read_address(t: capnp::text::Reader<'_>) -> Result<SocketAddr, WireError> {
    read_text(t)?.parse().map_err(|_| WireError::Capnp(capnp::Error::failed("address".into())))
}

/// Reads the evacuated zones and their revision, without names that can't be read.
fn read_evacuations(revision: u64, zones: capnp::text_list::Reader<'_>) -> Evacuations {
    let names: Vec<ZoneName> = read_entries(zones, |zone| Ok(read_text(zone?)?.parse()?));
    Evacuations::new(revision, names)
}

/// Writes the names of the evacuated zones into a list of the same length.
pub fn write_evacuated_zones(evacuations: &Evacuations, mut b: capnp::text_list::Builder<'_>) {
    for (n, zone) in evacuations.zones().iter().enumerate() {
        b.set(n as u32, zone.as_str());
    }
}

/// Reads the description of a VM.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
fn read_peer(r: wire::member::Reader<'_>) -> Result<Peer, WireError> {
    Ok(Peer {
        vm: read_text(r.get_vm()?)?.parse()?,
        zone: read_text(r.get_zone()?)?.parse()?,
        address: read_address(r.get_address()?)?,
        weight: r.get_weight(),
        incarnation: Incarnation(r.get_incarnation()),
        knows_shards: r.get_knows_shards(),
        knows_id_case: r.get_knows_id_case(),
    })
}

/// Writes the description of a VM.
pub fn write_peer(peer: &Peer, mut b: wire::member::Builder<'_>) {
    b.set_vm(peer.vm.as_str());
    b.set_zone(peer.zone.as_str());
    b.set_address(peer.address.to_string().as_str());
    b.set_weight(peer.weight);
    b.set_incarnation(peer.incarnation.0);
    b.set_knows_shards(peer.knows_shards);
    b.set_knows_id_case(peer.knows_id_case);
}

/// Reads a heartbeat.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_heartbeat(r: wire::beat::Reader<'_>) -> Result<Heartbeat, WireError> {
    let dispatcher = r.get_dispatcher()?;
    let zones = read_entries(r.get_zones()?, |zone| {
        Ok(ZoneDispatcher {
            zone: read_text(zone.get_zone()?)?.parse()?,
            address: read_address(zone.get_address()?)?,
        })
    });
    Ok(Heartbeat {
        from: read_peer(r.get_from()?)?,
        config_version: ConfigVersion(r.get_plan_version()),
        shard: r.get_shard(),
        shard_count: match r.get_shard_count() {
            0 => None,
            count => Some(ShardCount::from_wire(count)),
        },
        dispatcher: if dispatcher.is_empty() { None } else { Some(read_address(dispatcher)?) },
        epoch: r.get_epoch(),
        spare_cpu: MilliCores(r.get_spare_milli_cores()),
        zones,
        leaving: r.get_leaving(),
        losses: read_entries(r.get_losses()?, read_task_losses),
        evacuations: read_evacuations(r.get_evacuation_revision(), r.get_evacuated_zones()?),
    })
}

fn read_task_losses(r: wire::task_losses::Reader<'_>) -> Result<TaskLosses, WireError> {
    let mut losses = Vec::new();
    for loss in r.get_losses()? {
        losses.push(Loss {
            target: TargetId::from(read_text(loss.get_target()?)?),
            incarnation: TargetIncarnation(loss.get_incarnation()),
            is_main_suspect: loss.get_main_suspect(),
            crashed: loss.get_crashed(),
        });
    }
    let job = CallerJobId::with_capitals(r.get_job(), r.get_capitals());
    let task = TaskId { job, step: r.get_step(), index: r.get_index() };
    Ok(TaskLosses { task, losses })
}

fn write_task_losses(losses: &TaskLosses, mut b: wire::task_losses::Builder<'_>) {
    b.set_job(losses.task.job.number());
    b.set_capitals(losses.task.job.capitals());
    b.set_step(losses.task.step);
    b.set_index(losses.task.index);
    let mut list = b.init_losses(losses.losses.len() as u32);
    for (n, loss) in losses.losses.iter().enumerate() {
        let mut entry = list.reborrow().get(n as u32);
        entry.set_target(&*loss.target.0);
        entry.set_incarnation(loss.incarnation.0);
        entry.set_main_suspect(loss.is_main_suspect);
        entry.set_crashed(loss.crashed);
    }
}

/// Writes a heartbeat.
pub fn write_heartbeat(heartbeat: &Heartbeat, mut b: wire::beat::Builder<'_>) {
    write_peer(&heartbeat.from, b.reborrow().init_from());
    b.set_plan_version(heartbeat.config_version.0);
    b.set_shard(heartbeat.shard);
    b.set_shard_count(heartbeat.shard_count.map_or(0, ShardCount::get));
    if let Some(dispatcher) = heartbeat.dispatcher {
        b.set_dispatcher(dispatcher.to_string().as_str());
    }
    b.set_epoch(heartbeat.epoch);
    b.set_spare_milli_cores(heartbeat.spare_cpu.0);
    b.set_leaving(heartbeat.leaving);
    b.set_evacuation_revision(heartbeat.evacuations.revision());
    let evacuated = heartbeat.evacuations.zones().len() as u32;
    write_evacuated_zones(&heartbeat.evacuations, b.reborrow().init_evacuated_zones(evacuated));
    let mut losses = b.reborrow().init_losses(heartbeat.losses.len() as u32);
    for (n, task) in heartbeat.losses.iter().enumerate() {
        write_task_losses(task, losses.reborrow().get(n as u32));
    }
    let mut zones = b.init_zones(heartbeat.zones.len() as u32);
    for (n, zone) in heartbeat.zones.iter().enumerate() {
        let mut z = zones.reborrow().get(n as u32);
        z.set_zone(zone.zone.as_str());
        z.set_address(zone.address.to_string().as_str());
    }
}

fn read_step(r: wire::step::Reader<'_>) -> Result<Step, WireError> {
    let needs = r.get_needs()?;
    let declared_ms = r.get_declared_ms();
    let most_per_target = r.get_most_per_target();
    Ok(Step {
        count: r.get_count(),
        needs: Resources {
            cpu: MilliCores(needs.get_milli_cores()),
            memory: Mebibytes(needs.get_mebibytes()),
            accelerators: Accelerators(needs.get_accelerators()),
        },
        declared: (declared_ms > 0).then(|| Duration::from_millis(declared_ms)),
        after: r.get_after()?.iter().collect(),
        required: read_label(r.get_required()?)?,
        near: read_label(r.get_near()?)?,
        same_rack: r.get_same_rack(),
        most_per_target: (most_per_target > 0).then_some(most_per_target),
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
    for (n, step_number) in step.after.iter().enumerate() {
        after.set(n as u32, *step_number);
    }
}

/// Reads a job.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_job_submission(r: wire::work::Reader<'_>) -> Result<JobSubmission, WireError> {
    let steps = r.get_steps()?.iter().map(read_step).collect::<Result<_, _>>()?;
    Ok(JobSubmission {
        id: CallerJobId::with_capitals(r.get_id(), r.get_capitals()),
        queue: QueueName::from(read_text(r.get_queue()?)?),
        spec: Arc::from(read_text(r.get_spec()?)?),
        steps,
        time_to_deadline: Duration::from_millis(u64::from(r.get_patience_ms())),
    })
}

/// Writes a job.
pub fn write_job_submission(job: &JobSubmission, mut b: wire::work::Builder<'_>) {
    b.set_id(job.id.number());
    b.set_capitals(job.id.capitals());
    b.set_queue(&*job.queue.0);
    b.set_spec(&*job.spec);
    b.set_patience_ms(job.time_to_deadline.as_millis() as u32);
    let mut steps = b.init_steps(job.steps.len() as u32);
    for (n, step) in job.steps.iter().enumerate() {
        write_step(step, steps.reborrow().get(n as u32));
    }
}

/// Reasons why a job was not run, each with its encoding.
const REFUSALS: [(Refusal, wire::Refusal); 7] = [
    (Refusal::TooLate, wire::Refusal::TooLate),
    (Refusal::QueueFull, wire::Refusal::QueueFull),
    (Refusal::NoTarget, wire::Refusal::NoTarget),
    (Refusal::NoDispatcher, wire::Refusal::NoDispatcher),
    (Refusal::Closed, wire::Refusal::Closed),
    (Refusal::NoQueue, wire::Refusal::NoQueue),
    (Refusal::Shape, wire::Refusal::Shape),
];

/// Reads the outcome of a job. An outcome that this version doesn't know is unknown, and a refusal that it doesn't
/// know is one of a dispatcher that takes no jobs.
fn read_outcome(r: wire::outcome::Reader<'_>) -> Outcome {
    let refusal = REFUSALS.iter().find(|(_, encoded)| r.get_refusal() == Ok(*encoded));
    match r.get_verdict() {
        Ok(wire::Verdict::Completed) => Outcome::Completed,
        Ok(wire::Verdict::Failed) => Outcome::Failed,
        Ok(wire::Verdict::NotRun) => Outcome::NotRun {
            refusal: refusal.map_or(Refusal::Closed, |(refusal, _)| *refusal),
            retry_after: Duration::from_millis(u64::from(r.get_retry_after_ms())),
        },
        Ok(wire::Verdict::Unknown) | Err(NotInSchema(_)) => Outcome::Unknown,
    }
}

/// Writes the outcome of a job.
fn write_outcome(outcome: Outcome, mut b: wire::outcome::Builder<'_>) {
    b.set_verdict(match outcome {
        Outcome::Completed => wire::Verdict::Completed,
        Outcome::Failed => wire::Verdict::Failed,
        Outcome::NotRun { .. } => wire::Verdict::NotRun,
        Outcome::Unknown => wire::Verdict::Unknown,
    });
    if let Outcome::NotRun { refusal, retry_after } = outcome {
        let entry = REFUSALS.iter().find(|(candidate, _)| *candidate == refusal);
        b.set_refusal(entry.map_or(wire::Refusal::Closed, |(_, encoded)| *encoded));
        b.set_retry_after_ms(retry_after.as_millis() as u32);
    }
}
