//! Data structures without I/O: ids, jobs, queues, workers, targets, configuration and limits.

pub mod cold_period;
pub mod crash_history;
pub mod evacuation;
pub mod fleet_config;
pub mod id;
pub mod job;
pub mod job_submission;
pub mod known_targets;
pub mod lag;
pub mod ledger;
pub mod loan;
pub mod mechanism;
pub mod message_counts;
pub mod outlier;
pub mod policy;
pub mod pool;
pub mod queue;
pub mod resources;
pub mod rtt;
pub mod run_time;
pub mod shard;
pub mod start_answer;
pub mod target;
pub mod target_clock;
pub mod time;
pub mod token_bucket;
