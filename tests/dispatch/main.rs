//! Tests of a zone's dispatcher with fake targets, in virtual time and without a network.

mod bounds;
mod capacity;
mod crashing_tasks;
mod deadlines;
mod evacuation;
mod fake_target;
mod faulty_targets;
mod fixtures;
mod job_memory;
mod large_jobs;
mod late_orders;
mod load;
mod look_ahead;
mod malformed;
mod near_equal_targets;
mod overload;
mod ownership;
mod restarts;
mod run_log;
mod runs;
mod simulation;
mod step_down;
mod steps;
mod takeover;
mod tiny_tasks;
