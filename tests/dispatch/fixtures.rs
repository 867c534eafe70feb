//! The configuration, targets and jobs of the tests.

use cranberrytray::state::{
    fleet_config::{FleetConfig, Label, Pool, PoolName, Priority, Queue, QueueName, RequestLimits},
    id::ConfigVersion,
    job_submission::{CallerJobId, JobSubmission, Step},
    resources::{Mebibytes, MilliCores, Resources},
    target::{TargetId, TargetIncarnation, TargetInfo},
};
use std::{net::SocketAddr, time::Duration};

pub const URGENT: &str = "urgent";
pub const LONG: &str = "long";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn config(version: u64) -> FleetConfig {
    let queue = |name: &str, priority| Queue {
        name: QueueName::from(name),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        pool: PoolName::from("pool"),
        priority: Priority(priority),
        max_attempts: 2,
        objective_factor: 1.6,
        objective_base: ms(60),
        timeout: ms(1_500),
        needs_advice: false,
    };
    FleetConfig {
        version: ConfigVersion(version),
        queues: vec![queue(URGENT, 0), queue(LONG, 2)],
        pools: vec![Pool { name: PoolName::from("pool"), rejects_when_full: true }],
        limits: RequestLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
    }
}

pub fn target_info(n: usize) -> TargetInfo {
    TargetInfo {
        id: TargetId::from(format!("t{n}")),
        incarnation: TargetIncarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + n as u16)),
        pool: PoolName::from("pool"),
        zone: "zone".parse().unwrap(),
        capacity: Resources {
            cpu: MilliCores(32_000),
            memory: Mebibytes(64_000),
            ..Resources::default()
        },
        kind: Label::from("a"),
        labels: vec![Label::from("a"), Label::from(format!("rack-{}", n / 8))],
        draining: false,
        cold_for: Duration::ZERO,
    }
}

pub fn submission(id: u64, queue: &str, count: u32, declared: Duration) -> JobSubmission {
    let step = Step {
        count,
        needs: Resources { cpu: MilliCores(14_000), memory: Mebibytes(64), ..Resources::default() },
        declared: Some(declared),
        after: Vec::new(),
        required: None,
        near: None,
        same_rack: false,
        most_per_target: None,
    };
    JobSubmission {
        id: CallerJobId::new(id),
        queue: QueueName::from(queue),
        spec: format!("{}", declared.as_millis()).into(),
        steps: vec![step],
        time_to_deadline: ms(1_500),
    }
}
