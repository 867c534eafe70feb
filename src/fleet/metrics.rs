//! Metrics of a VM in the OpenMetrics text format: counters, gauges and latency histograms.

use super::{Node, TargetClient, entry::UnknownCause};
use crate::{
    coordination::dispatch::Counts,
    state::job_submission::{Outcome, Refusal},
    transport::received_job::ReceivedJobEvent,
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::{ConstCounter, Counter},
        family::Family,
        gauge::ConstGauge,
        histogram::Histogram,
    },
    registry::Registry,
};
use std::time::Duration;

/// Upper bounds of the latency histogram's buckets, in seconds: from the run time of a short task
/// to the longest deadline of the callers' jobs.
const LATENCY_BUCKETS: [f64; 14] =
    [0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.9, 1.5, 3.0, 6.0, 12.0, 30.0, 60.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabel {
    decision: &'static str,
}

/// Counters and histograms of the jobs that callers sent to this VM.
#[derive(Clone, Debug)]
pub struct Metrics {
    jobs: Family<OutcomeLabel, Histogram>,
    refusals: Family<RefusalLabel, Counter>,
    resumed: Counter,
    redirected: Counter,
    unknown: Family<CauseLabel, Counter>,
    callers_gone: Counter,
    late: Family<DecisionLabel, Counter>,
    cancelled: Family<CauseLabel, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics {
            jobs: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS)),
            refusals: Family::default(),
            resumed: Counter::default(),
            redirected: Counter::default(),
            unknown: Family::default(),
            callers_gone: Counter::default(),
            late: Family::default(),
            cancelled: Family::default(),
        }
    }
}

impl Metrics {
    /// Records that a caller's job was answered after `took`.
    pub fn answered(&self, outcome: Outcome, took: Duration) {
        let outcome_name = match outcome {
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Unknown => "unknown",
        };
        let label = OutcomeLabel { outcome: outcome_name };
        self.jobs.get_or_create(&label).observe(took.as_secs_f64());
        if let Outcome::NotRun { refusal, .. } = outcome {
            self.refusals.get_or_create(&RefusalLabel { reason: reason(refusal) }).inc();
        }
    }

    /// Counts a caller's job that is submitted to the zone's next dispatcher, after the one that
    /// had it was lost.
    pub fn resumed(&self) {
        self.resumed.inc();
    }

    /// Counts a caller's job that is redirected to another zone's dispatcher.
    pub fn redirected(&self) {
        self.redirected.inc();
    }

    /// Counts a caller's job that was answered as unknown.
    pub fn unknown(&self, cause: UnknownCause) {
        self.unknown.get_or_create(&CauseLabel { cause: cause.label() }).inc();
    }

    /// Counts a job whose caller went away before its answer.
    pub fn caller_gone(&self) {
        self.callers_gone.inc();
    }

    /// Counts a job received from a peer that is silent or gone.
    pub fn received_job(&self, event: ReceivedJobEvent) {
        let late = |decision| self.late.get_or_create(&DecisionLabel { decision }).inc();
        let cancelled = |cause| self.cancelled.get_or_create(&CauseLabel { cause }).inc();
        match event {
            ReceivedJobEvent::ArrivedLate => late("run"),
            ReceivedJobEvent::RefusedAsLate => late("refused"),
            ReceivedJobEvent::SenderUnresponsive => cancelled("sender_unresponsive"),
            ReceivedJobEvent::Dropped => cancelled("dropped"),
        };
    }

    fn register(&self, registry: &mut Registry) {
        let help = "Time from reading a job to its answer, by outcome";
        registry.register("job_seconds", help, self.jobs.clone());
        registry.register("refusals", "Jobs refused, by reason", self.refusals.clone());
        let help = "Jobs given to the next dispatcher of the zone";
        registry.register("resumed_jobs", help, self.resumed.clone());
        let help = "Jobs given to another zone's dispatcher";
        registry.register("passed_jobs", help, self.redirected.clone());
        let help = "Callers' jobs answered as unknown, by cause";
        registry.register("unknown_outcomes", help, self.unknown.clone());
        let help = "Jobs whose callers went away before the answer";
        registry.register("callers_gone", help, self.callers_gone.clone());
        let help = "Jobs read from a connection whose sender may have given it up, by decision";
        registry.register("late_submissions", help, self.late.clone());
        let help = "Jobs of other VMs that were cancelled, by cause";
        registry.register("cancelled_submissions", help, self.cancelled.clone());
    }
}

fn reason(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::TooLate => "too_late",
        Refusal::QueueFull => "queue_full",
        Refusal::NoTarget => "no_target",
        Refusal::NoDispatcher => "no_dispatcher",
        Refusal::Closed => "closed",
        Refusal::NoQueue => "no_queue",
        Refusal::Shape => "shape",
    }
}

impl<T> Node<T>
where
    T: TargetClient,
{
    /// Returns the current metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// [`std::fmt::Error`] if a value can't be written.
    pub fn metrics_text(&self) -> Result<String, std::fmt::Error> {
        let mut registry = Registry::with_prefix("cranberrytray");
        self.metrics.register(&mut registry);
        self.register_gauges(&mut registry);
        self.register_caller_metrics(&mut registry);
        register_counts(&mut registry, self.counts());
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }

    /// The dispatcher's counts, over all periods in which this VM was the dispatcher.
    fn counts(&self) -> Counts {
        let present = self.dispatcher.borrow().as_ref().map(|d| d.core.counts());
        self.past_counts.get() + present.unwrap_or_default()
    }

    fn register_gauges(&self, registry: &mut Registry) {
        let dispatcher = self.dispatcher.borrow();
        let core = dispatcher.as_ref().map(|d| &d.core);
        let values = [
            ("config_version", "Configuration version in force", self.config_version().0),
            ("ready", "Whether new requests should be sent here", u64::from(self.is_ready())),
            ("dispatches", "Whether this VM is a dispatcher", u64::from(self.is_dispatcher())),
            ("known_targets", "Targets of this VM's shard", self.shard_targets().len() as u64),
            ("shards", "Shards of the zone", u64::from(self.shard_count().get())),
            (
                "usable_targets",
                "Targets that this dispatcher may start work on",
                core.map_or(0, |core| core.usable_targets() as u64),
            ),
            (
                "open_jobs",
                "Jobs of this dispatcher without an answer",
                core.map_or(0, |core| core.open_jobs() as u64),
            ),
            (
                "evacuated_zones",
                "Zones in which no task may be started",
                self.evacuations.borrow().zones().len() as u64,
            ),
        ];
        for (name, help, value) in values {
            registry.register(name, help, ConstGauge::new(value as i64));
        }
        let help =
            "Time since the evacuated zones were last read or accepted from a VM, in seconds";
        let age = ConstGauge::new(self.evacuation_age().as_secs_f64());
        registry.register("evacuation_revision_age_seconds", help, age);
        let help = "Largest lead of the estimate of a target's clock over its latest reading";
        let lead = core.map_or(Duration::ZERO, |core| core.max_clock_lead());
        registry.register("clock_lead_seconds", help, ConstGauge::new(lead.as_secs_f64()));
    }
}

fn register_counts(registry: &mut Registry, counts: Counts) {
    let values = [
        ("dispatch_admitted", "Jobs let in", counts.admitted),
        ("dispatch_refused", "Jobs refused", counts.refused),
        (
            "dispatch_shed_for_lag",
            "Jobs passed or refused because the dispatcher was behind its work",
            counts.shed_for_lag,
        ),
        ("dispatch_passed", "Jobs passed to another zone", counts.redirected),
        (
            "evacuation_redirects",
            "Jobs redirected because their zone is evacuated",
            counts.evacuation_redirects,
        ),
        ("dispatch_completed", "Jobs completed", counts.completed),
        ("dispatch_unknown", "Jobs given up that may have run", counts.unknown),
        ("starts", "Starts sent", counts.starts),
        (
            "held_passes",
            "Passes over the queue ended because too many starts had no answer",
            counts.held_passes,
        ),
        ("starts_refused_for_room", "Starts refused for want of room", counts.capacity_refusals),
        ("stops", "Stops sent", counts.stops),
        ("failed_runs", "Runs that failed", counts.failed_runs),
        (
            "lapsed_runs",
            "Runs lost, by a lease that ran out or with their target",
            counts.lost_runs,
        ),
        (
            "expired_runs_silent",
            "Runs closed by the end of their lease while their target was unresponsive",
            counts.unusual_runs.expired_silent,
        ),
        (
            "expired_runs_answering",
            "Runs closed by the end of their lease while their target answered",
            counts.unusual_runs.expired_answering,
        ),
        (
            "late_runs",
            "Runs found on a target after this dispatcher had closed them",
            counts.unusual_runs.late,
        ),
        (
            "unknown_runs",
            "Runs found on an owned target that this dispatcher did not start there",
            counts.unusual_runs.unknown,
        ),
        ("crashing_jobs", "Jobs failed for a task that crashes targets", counts.crashing_jobs),
        ("stragglers", "Runs stopped to start again elsewhere", counts.stragglers),
        ("targets_set_aside", "Times that a target was set aside", counts.ejections),
        ("fenced", "Orders refused for a higher fencing token", counts.fenced_requests),
        ("takeovers", "Times that this VM became the dispatcher", counts.takeovers),
    ];
    for (name, help, value) in values {
        registry.register(name, help, ConstCounter::new(value));
    }
}
