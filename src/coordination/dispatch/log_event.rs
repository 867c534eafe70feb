//! Events that a dispatcher writes to the log.

use super::run_log::{ClosedRun, FoundRun, RunHistory};
use crate::state::{
    fleet_config::QueueName,
    id::ZoneName,
    job_submission::{CallerJobId, JobSubmission, Refusal, RunNumber, Step, TaskId},
    resources::MilliCores,
    shard::Shard,
    target::{FencingToken, RunOutcome, TargetId, TargetIncarnation, TargetTime},
};
use derive_more::Display;
use std::time::Duration;

/// A job as log lines name it.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{id} of {queue} ({tasks} tasks, {work:?})")]
pub struct JobLabel {
    /// Job id chosen by the caller.
    pub id: CallerJobId,
    /// Queue that the job belongs to.
    pub queue: QueueName,
    /// Number of its tasks.
    pub tasks: u32,
    /// Declared run time of all its tasks together.
    pub work: Duration,
}

impl From<&JobSubmission> for JobLabel {
    fn from(submission: &JobSubmission) -> Self {
        let work = |step: &Step| step.declared.unwrap_or_default().saturating_mul(step.count);
        let steps = &submission.steps;
        JobLabel {
            id: submission.id,
            queue: submission.queue.clone(),
            tasks: steps.iter().map(|step| step.count).fold(0, u32::saturating_add),
            work: steps.iter().map(work).fold(Duration::ZERO, Duration::saturating_add),
        }
    }
}

/// What a dispatcher knows of the chance that a job ends in time.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display(
    "left={left:?} fastest={} here={spare} elsewhere={remote}",
    fastest.map_or("none".into(), |run_time| format!("{run_time:?}"))
)]
pub struct Outlook {
    /// Time until the deadline of the job.
    pub left: Duration,
    /// Expected run time of its longest open task on the fastest usable target, free or not; `None`
    /// if no target is usable.
    pub fastest: Option<Duration>,
    /// Spare CPU of this zone.
    pub spare: MilliCores,
    /// Most spare CPU that another shard has reported.
    pub remote: MilliCores,
}

/// A decision or a change of state, written to the log by the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A job was admitted.
    Admitted {
        /// The job.
        job: JobLabel,
        /// Expected time until the job ends.
        expected: Duration,
        /// Number of jobs queued before it.
        ahead: usize,
    },
    /// A job was refused.
    Refused {
        /// The job.
        job: JobLabel,
        /// Reason of the refusal.
        refusal: Refusal,
        /// Expected time until the job would have ended; zero if there is no forecast.
        expected: Duration,
        /// Time since the job was submitted.
        age: Duration,
        /// Number of queued jobs.
        waiting: usize,
        /// Number of targets on which tasks may be started.
        usable: usize,
    },
    /// A job was redirected to another shard.
    Redirected {
        /// Job id chosen by the caller.
        id: CallerJobId,
        /// Zone that should run the job.
        shard: Shard,
        /// Spare CPU of this zone.
        local_spare: MilliCores,
        /// Spare CPU of the other zone as last reported, minus the CPU that jobs redirected there
        /// since then need.
        remote_spare: MilliCores,
        /// Age of the other zone's last report.
        age: Duration,
    },
    /// A start request without an answer was sent again.
    StartResent {
        /// Task to start.
        task: TaskId,
        /// Target that the request is sent to.
        target: TargetId,
        /// Time since the first request.
        waited: Duration,
    },
    /// A run of an open job was closed without success, or any run was lost.
    RunEnded {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Target of the run.
        target: TargetId,
        /// How the run ended.
        outcome: RunOutcome,
        /// Time since its start was sent.
        age: Duration,
        /// True if its job is still open.
        has_job: bool,
        /// What was known of the run, if it was lost or a request for it was not answered.
        history: Option<Box<RunHistory>>,
    },
    /// A run was found on a target although this dispatcher had closed it, or had taken the target
    /// over and did not start it.
    LateRun {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Target of the run.
        target: TargetId,
        /// What the target reports of it.
        state: FoundRun,
        /// Time on the target's clock when it reported that.
        clock: TargetTime,
        /// Fencing token of this dispatcher.
        token: FencingToken,
        /// Incarnation of the target.
        incarnation: TargetIncarnation,
        /// Time since the target was taken over.
        owned: Duration,
        /// Time until the latest end of the target's leases, in milliseconds.
        lease_left_ms: i64,
        /// Time by which the estimate of the target's clock was ahead, in milliseconds.
        clock_lead_ms: i64,
        /// Target on which this dispatcher has another run of the task now.
        elsewhere: Option<TargetId>,
        /// Time since this dispatcher closed the run, and how; `None` if it knows no such run.
        closed: Option<(Duration, Box<ClosedRun>)>,
    },
    /// A run of an earlier dispatcher was found on a target that is being taken over.
    EarlierRun {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Target of the run.
        target: TargetId,
        /// Fencing token of this dispatcher.
        token: FencingToken,
    },
    /// A target has a new incarnation.
    Restarted {
        /// The target.
        target: TargetId,
        /// Incarnation that the target has now.
        incarnation: TargetIncarnation,
        /// Incarnation that it had before.
        earlier: TargetIncarnation,
        /// Number of runs that were started on the earlier one and are not closed.
        runs: usize,
        /// Number of those with a start or stop request without an answer.
        unanswered: usize,
        /// Time until the latest end of the target's leases, in milliseconds.
        lease_left_ms: i64,
    },
    /// A run was stopped because it was far behind its expected end or would end too late.
    Straggler {
        /// Task of the run.
        task: TaskId,
        /// Target of the run.
        target: TargetId,
        /// Time since the run was started.
        after: Duration,
    },
    /// A run shows that its target has become slow.
    SlowRun {
        /// Task of the run.
        task: TaskId,
        /// Target of the run.
        target: TargetId,
        /// Run time relative to what is expected on this target.
        ratio: f64,
    },
    /// A job failed because one of its tasks crashes its targets.
    GivenUp {
        /// The job.
        job: JobLabel,
        /// The task.
        task: TaskId,
        /// Time since the job was submitted.
        age: Duration,
    },
    /// A job was abandoned.
    Abandoned {
        /// The job.
        job: JobLabel,
        /// Reason for which the job was abandoned.
        reason: &'static str,
        /// Time since the job was submitted.
        age: Duration,
        /// Number of its tasks that wait for a target.
        waiting: usize,
        /// Number of its tasks that may be running.
        running: usize,
        /// Run time of its tasks relative to what was expected.
        scale: f64,
        /// Time for which its caller would have waited further.
        caller_left: Duration,
        /// Its chance to end in time, if it was abandoned for that.
        outlook: Option<Outlook>,
    },
    /// A job was completed after its latency objective.
    CompletedLate {
        /// The job.
        job: JobLabel,
        /// Time since the job was submitted.
        age: Duration,
        /// Time since the latency objective.
        late_by: Duration,
        /// Run time of its tasks relative to what was expected.
        scale: f64,
    },
    /// A target was ejected as an outlier: no task is started there for a while.
    Ejected {
        /// Target that was ejected.
        target: TargetId,
        /// Duration of the ejection.
        pause: Duration,
    },
    /// A target does not answer; no task is started there until it does.
    Unresponsive {
        /// The target.
        target: TargetId,
        /// Reason, such as failing connections.
        reason: &'static str,
        /// Number of runs that may exist on it.
        runs: usize,
        /// Time since the start of the last of them was sent; `None` if there is none.
        youngest: Option<Duration>,
    },
    /// The state of a target has changed.
    TargetStateChanged {
        /// Target whose state has changed.
        target: TargetId,
        /// New state; completes the log line "the target is ...".
        state: &'static str,
    },
    /// The evacuation of a zone was learned.
    EvacuationBegan {
        /// Zone that is evacuated.
        zone: ZoneName,
        /// Number of open jobs that have begun.
        begun: usize,
        /// Number of open jobs of which no start was sent.
        waiting: usize,
    },
    /// The end of the evacuation of a zone was learned.
    EvacuationEnded {
        /// Zone that serves again.
        zone: ZoneName,
        /// Time since the evacuation was learned.
        after: Duration,
    },
    /// The process was suspended; all open jobs are abandoned.
    Suspended {
        /// Time between the calls before and after the suspension.
        gap: Duration,
    },
}
