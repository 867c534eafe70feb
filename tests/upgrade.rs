//! Messages between VMs of the production version and of this one, which run side by side while a
//! zone is upgraded. `tests/data` has messages as commit f116505 encoded them.

use cranberrytray::{
    protocol::{
        fleet::{
            DispatchReply, Heartbeat, Peer, read_dispatch_reply, read_heartbeat,
            read_job_submission, read_targets, write_heartbeat, write_job_submission,
        },
        fleet_capnp as wire,
    },
    state::{
        fleet_config::{FleetConfig, Priority},
        id::ConfigVersion,
        job_submission::{CallerJobId, JobSubmission, Outcome, Refusal},
        shard::{Shard, ShardCount},
    },
};
use std::time::Duration;

const HEARTBEAT: &[u8] = include_bytes!("data/heartbeat-f116505.bin");
const RUN: &[u8] = include_bytes!("data/run-f116505.bin");
/// Row of a VM in the store.
const VM_ROW: &str = r#"{"vm":"vm-1","zone":"zone-a","address":"10.1.0.13:7720","weight":500,"incarnation":1700000000000}"#;

fn decode_heartbeat(mut bytes: &[u8]) -> Heartbeat {
    let message = capnp::serialize::read_message(&mut bytes, Default::default()).unwrap();
    read_heartbeat(message.get_root::<wire::beat::Reader<'_>>().unwrap()).unwrap()
}

/// A VM of the production version is the dispatcher of its whole zone, and keeps the zone undivided.
#[test]
fn read_heartbeat_of_production_names_an_undivided_zone() {
    let heartbeat = decode_heartbeat(HEARTBEAT);
    assert!(heartbeat.is_from_dispatcher());
    assert_eq!((heartbeat.epoch, heartbeat.config_version), (17_000_000_000, ConfigVersion(3)));
    assert_eq!(heartbeat.spare_cpu.0, 64_000);
    assert_eq!(heartbeat.evacuations.revision(), 41);
    assert_eq!((heartbeat.shard_count, heartbeat.from.knows_shards), (None, false));
    assert!(heartbeat.is_of_shard(0, ShardCount::ONE));
    assert!(!heartbeat.is_of_shard(0, ShardCount::for_zone(1_000, 100)));
    assert_eq!(heartbeat.shard(), "zone-a/0".parse::<Shard>().unwrap());
}

/// What this version adds to a heartbeat comes back, and an undivided zone is written as the
/// production version writes it.
#[test]
fn write_heartbeat_round_trip() {
    let production = decode_heartbeat(HEARTBEAT);
    let divided = Heartbeat {
        shard: 2,
        shard_count: Some(ShardCount::for_zone(1_000, 100)),
        from: Peer { knows_shards: true, knows_id_case: true, ..production.from.clone() },
        ..production.clone()
    };
    for heartbeat in [production, divided] {
        let mut message = capnp::message::Builder::new_default();
        write_heartbeat(&heartbeat, message.init_root::<wire::beat::Builder<'_>>());
        let bytes = capnp::serialize::write_message_to_words(&message);
        assert_eq!(decode_heartbeat(&bytes), heartbeat);
    }
}

/// A job that a VM of the production version submits was sent to an undivided zone.
#[test]
fn read_run_of_production() {
    let message = capnp::serialize::read_message(&mut &*RUN, Default::default()).unwrap();
    let params = message.get_root::<wire::peer::run_params::Reader<'_>>().unwrap();
    let job = read_job_submission(params.get_work().unwrap()).unwrap();
    assert_eq!((job.id, job.steps[0].count), (CallerJobId::new(77), 4));
    assert!(params.get_may_pass() && !params.get_resumed());
    assert_eq!(ShardCount::from_wire(params.get_shard_count()), ShardCount::ONE);
}

#[test]
fn vm_row_of_production_does_not_know_shards() {
    let peer: Peer = serde_json::from_str(VM_ROW).unwrap();
    assert!(!peer.knows_shards);
    let row = serde_json::to_string(&Peer { knows_shards: true, ..peer }).unwrap();
    assert!(serde_json::from_str::<Peer>(&row).unwrap().knows_shards);
}

/// Guards against a job whose id changes on its way to the dispatcher. The production version reads the digits
/// alone, so that it isn't sent ids with capitals.
#[test]
fn job_id_keeps_its_case_on_the_wire() {
    let message = capnp::serialize::read_message(&mut &*RUN, Default::default()).unwrap();
    let params = message.get_root::<wire::peer::run_params::Reader<'_>>().unwrap();
    let production = read_job_submission(params.get_work().unwrap()).unwrap();
    assert_eq!(production.id.to_string(), "000000000000004d");
    for id in ["5c0e7a21d94b36f0", "5C0E7A21D94B36F0", "5C0e7a21d94b36f0"] {
        let job = JobSubmission { id: id.parse().unwrap(), ..production.clone() };
        let mut message = capnp::message::Builder::new_default();
        write_job_submission(&job, message.init_root::<wire::work::Builder<'_>>());
        let written = message.get_root_as_reader::<wire::work::Reader<'_>>().unwrap();
        assert_eq!(written.get_id(), 0x5c0e_7a21_d94b_36f0);
        assert_eq!(read_job_submission(written).unwrap().id.to_string(), id);
    }
}

#[test]
fn vm_row_of_production_does_not_know_the_case_of_ids() {
    let peer: Peer = serde_json::from_str(VM_ROW).unwrap();
    assert!(!peer.knows_id_case && !decode_heartbeat(HEARTBEAT).from.knows_id_case);
}

/// Guards against a VM that is cut off from those of another version, as one value of their heartbeats can't be
/// read: the rest of them stands.
#[test]
fn read_heartbeat_leaves_out_unreadable_entries() {
    let mut message = capnp::message::Builder::new_default();
    let mut bytes = HEARTBEAT;
    let production = capnp::serialize::read_message(&mut bytes, Default::default()).unwrap();
    message.set_root(production.get_root::<wire::beat::Reader<'_>>().unwrap()).unwrap();
    let mut beat = message.get_root::<wire::beat::Builder<'_>>().unwrap();
    let mut zones = beat.reborrow().init_zones(3);
    let entries = [("", "10.0.0.1:80"), ("zone-b", "nowhere"), ("zone-c", "10.0.0.3:80")];
    for (n, (zone, address)) in entries.into_iter().enumerate() {
        let mut entry = zones.reborrow().get(n as u32);
        entry.set_zone(zone);
        entry.set_address(address);
    }
    let mut evacuated = beat.reborrow().init_evacuated_zones(2);
    evacuated.set(0, "");
    evacuated.set(1, "zone-d");
    let heartbeat = read_heartbeat(beat.into_reader()).unwrap();
    let names: Vec<&str> = heartbeat.zones.iter().map(|entry| entry.zone.as_str()).collect();
    assert_eq!(names, ["zone-c"]);
    let evacuated: Vec<&str> = heartbeat.evacuations.zones().iter().map(|z| z.as_str()).collect();
    assert_eq!(evacuated, ["zone-d"]);
    assert_eq!(heartbeat.epoch, decode_heartbeat(HEARTBEAT).epoch);
}

/// Guards against a connection that is given up, with all jobs on it, as a later version answers what this one
/// doesn't know.
#[test]
fn read_dispatch_reply_of_a_later_version() {
    let reply = |verdict: u16, refusal: u16| {
        let mut message = capnp::message::Builder::new_default();
        let mut results = message.init_root::<wire::peer::run_results::Builder<'_>>();
        let mut outcome = results.reborrow().init_outcome();
        outcome.set_retry_after_ms(700);
        // The last word of the message has the outcome's data: the verdict, then the refusal.
        let mut bytes = capnp::serialize::write_message_to_words(&message);
        let data = bytes.len() - 8;
        bytes[data..data + 2].copy_from_slice(&verdict.to_le_bytes());
        bytes[data + 2..data + 4].copy_from_slice(&refusal.to_le_bytes());
        let message = capnp::serialize::read_message(&mut &*bytes, Default::default()).unwrap();
        read_dispatch_reply(message.get_root().unwrap()).unwrap()
    };
    let not_run = |refusal| {
        let retry_after = Duration::from_millis(700);
        DispatchReply::Ended(Outcome::NotRun { refusal, retry_after })
    };
    assert_eq!(reply(2, 1), not_run(Refusal::QueueFull));
    assert_eq!(reply(2, 99), not_run(Refusal::Closed));
    assert_eq!(reply(99, 0), DispatchReply::Ended(Outcome::Unknown));
}

/// Guards against a VM without targets, as one in the list that a peer sends can't be read.
#[test]
fn read_targets_leaves_out_unreadable_entries() {
    let target = r#"{"id":"i-1","life":1,"address":"10.0.0.1:80","pool":"p","zone":"z",
        "capacity":{"cpu":1000,"memory":64,"accelerators":0},"kind":"a","labels":["a"],
        "draining":false,"cold_for":{"secs":0,"nanos":0}}"#;
    let list = format!(r#"[{{"id":"i-0"}},{target},7]"#);
    let targets = read_targets(list.as_bytes()).unwrap();
    let ids: Vec<String> = targets.iter().map(|target| target.id.to_string()).collect();
    assert_eq!(ids, ["i-1"]);
    assert!(read_targets(b"{}").is_err());
}

/// A configuration as VMs of the production version pass it on, with one queue.
const CONFIG: &str = r#"{"version":7,"queues":[{"name":"q","host":"h","prefix":"/q/","pool":"p","priority":3,
    "max_attempts":2,"stretch":1.6,"allowance":{"secs":0,"nanos":60000000},
    "timeout":{"secs":1,"nanos":500000000},"needs_advice":false}],
    "pools":[{"name":"p","guarded":true}],"limits":{"header_bytes":16384,"body_bytes":262144,
    "header_timeout":{"secs":3,"nanos":0},"idle_timeout":{"secs":15,"nanos":0}}}"#;

/// Guards against a configuration that a VM of the production version rejects as a whole: it reads priorities
/// up to 255. VMs of this version keep the order of all.
#[test]
fn config_is_read_by_both_versions_whatever_the_priority() {
    let production: FleetConfig = serde_json::from_str(CONFIG).unwrap();
    assert_eq!(production.queues[0].priority, Priority(3));
    for priority in [0, 3, 255, 256, 300, 301, u64::MAX] {
        let mut config = production.clone();
        config.queues[0].priority = Priority(priority);
        let encoded = serde_json::to_value(&config).unwrap();
        assert_eq!(encoded["queues"][0]["priority"], priority.min(255), "{priority}");
        assert_eq!(serde_json::from_value::<FleetConfig>(encoded).unwrap(), config);
    }
    let (first, second) = (Priority(300), Priority(301));
    assert!(first < second);
}
