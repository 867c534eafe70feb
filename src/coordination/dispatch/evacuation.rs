//! Evacuation of zones: no task is started on targets of an evacuated zone, and its jobs are
//! redirected to other zones.

use super::{Dispatcher, JobLabel, LogEvent, SubmissionKey, admission::NO_TARGET_RETRY_AFTER};
use crate::{
    coordination::dispatch::job::Job,
    state::{
        id::ZoneName,
        job_submission::{CallerJobId, JobSubmission, Outcome, Refusal, Step, TaskId},
        resources::MilliCores,
        shard::Shard,
        target::{Target, TargetInfo},
        time::Moment,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Time for which jobs that had begun when an evacuation was learned may start their remaining
/// tasks. Many need only some milliseconds, and starts should end within 500 ms of the request.
const BEGUN_JOB_GRACE: Duration = Duration::from_millis(400);

/// Time in which the CPU sent to a zone counts half as much. Most runs end within this time, and
/// the zone's reports include those that go on.
const SENT_CPU_HALF_LIFE: Duration = Duration::from_secs(1);

/// The evacuated zones, and what redirects need to know.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    zones: IndexMap<ZoneName, EvacuatedZone>,
    /// Zones of the targets in the last list that had any.
    own_zones: IndexSet<ZoneName>,
    /// CPU of the jobs that were redirected because of an evacuation, by receiving shard.
    sent: IndexMap<Shard, SentCpu>,
}

#[derive(Debug)]
struct EvacuatedZone {
    learned_at: Moment,
    /// Jobs that had begun at that time.
    begun_jobs: IndexSet<CallerJobId>,
}

impl EvacuatedZone {
    fn permits_start(&self, job: &Job, now: Moment) -> bool {
        now - self.learned_at < BEGUN_JOB_GRACE && self.begun_jobs.contains(&job.submission.id)
    }
}

/// CPU of redirected jobs in thousandths of a core, of which older ones count less.
#[derive(Clone, Copy, Debug)]
struct SentCpu {
    millicores: f64,
    updated_at: Moment,
}

impl SentCpu {
    fn at(&self, now: Moment) -> f64 {
        let half_lives = (now - self.updated_at).as_secs_f64() / SENT_CPU_HALF_LIFE.as_secs_f64();
        self.millicores * 0.5_f64.powf(half_lives)
    }
}

impl Job {
    /// Steps with tasks that wait for a target or that have not begun.
    fn steps_to_start(&self) -> impl Iterator<Item = &Step> {
        let has_tasks_to_start = |number: u32| {
            let first = TaskId { job: self.submission.id, step: number, index: 0 };
            !self.tasks.contains_key(&first) || self.waiting_tasks.iter().any(|t| t.step == number)
        };
        let steps = (0..).zip(&self.submission.steps);
        steps
            .filter(move |(number, step)| step.count > 0 && has_tasks_to_start(*number))
            .map(|(_, step)| step)
    }
}

impl Dispatcher {
    /// Replaces the set of evacuated zones. Jobs that can't be served any more are redirected,
    /// refused or, once begun jobs have had time to start their remaining tasks, abandoned.
    pub fn set_evacuated_zones(&mut self, zones: &IndexSet<ZoneName>, now: Moment) {
        let known = &self.evacuations.zones;
        let added: Vec<ZoneName> =
            zones.iter().filter(|zone| !known.contains_key(*zone)).cloned().collect();
        let removed: Vec<ZoneName> =
            known.keys().filter(|zone| !zones.contains(*zone)).cloned().collect();
        if added.is_empty() && removed.is_empty() {
            return;
        }
        self.check_suspension(now);
        for zone in removed {
            if let Some(evacuated) = self.evacuations.zones.shift_remove(&zone) {
                let after = now - evacuated.learned_at;
                self.log(LogEvent::EvacuationEnded { zone, after });
            }
        }
        for zone in added {
            let begun = self.jobs.values().filter(|job| job.start_sent);
            let begun_jobs: IndexSet<CallerJobId> = begun.map(|job| job.submission.id).collect();
            let begun = begun_jobs.len();
            let waiting = self.jobs.len() - begun;
            let evacuated = EvacuatedZone { learned_at: now, begun_jobs };
            self.evacuations.zones.insert(zone.clone(), evacuated);
            self.log(LogEvent::EvacuationBegan { zone, begun, waiting });
        }
        self.release_evacuated_jobs(now);
        self.start_waiting_tasks(now);
    }

    /// Records the zones of the listed targets, and decides on the jobs of those that are evacuated.
    pub(super) fn on_targets_listed(&mut self, list: &[TargetInfo], now: Moment) {
        // Targets that are shut down during an evacuation leave the list; the zone stays evacuated.
        if !list.is_empty() {
            self.evacuations.own_zones = list.iter().map(|info| info.zone.clone()).collect();
        }
        self.release_evacuated_jobs(now);
    }

    /// Returns true if the operator has evacuated the zone.
    pub(super) fn is_zone_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuations.zones.contains_key(zone)
    }

    /// Whether a zone is that of this dispatcher's targets.
    pub(super) fn is_own_zone(&self, zone: &ZoneName) -> bool {
        self.evacuations.own_zones.contains(zone)
    }

    /// Whether the zone of a target is evacuated.
    pub(super) fn is_evacuated(&self, target: &Target) -> bool {
        self.is_zone_evacuated(&target.info.zone)
    }

    /// Whether a zone of this dispatcher's targets is evacuated.
    pub(super) fn is_evacuating(&self) -> bool {
        self.own_evacuated_zones().next().is_some()
    }

    fn own_evacuated_zones(&self) -> impl Iterator<Item = &EvacuatedZone> {
        let own = &self.evacuations.own_zones;
        self.evacuations.zones.iter().filter(|(name, _)| own.contains(*name)).map(|(_, zone)| zone)
    }

    /// Whether tasks of a job may be started on a target, as far as evacuations are concerned.
    pub(super) fn permits_start(&self, job: &Job, target: &Target, now: Moment) -> bool {
        let evacuated = self.evacuations.zones.get(&target.info.zone);
        evacuated.is_none_or(|zone| zone.permits_start(job, now))
    }

    /// Whether a begun job may still start tasks in an evacuated zone of this dispatcher.
    pub(super) fn finishes_in_evacuated_zone(&self, job: &Job, now: Moment) -> bool {
        self.own_evacuated_zones().any(|zone| zone.permits_start(job, now))
    }

    /// Decides on the jobs with tasks left that only evacuated targets could run. Jobs of which
    /// nothing was started are redirected or refused, the most urgent first; begun ones are
    /// abandoned once they may start nothing more.
    pub(super) fn release_evacuated_jobs(&mut self, now: Moment) {
        if self.jobs.is_empty() || !self.is_evacuating() {
            return;
        }
        let queued = self.queued_jobs.iter().map(|rank| rank.key);
        let keys: IndexSet<SubmissionKey> = queued.chain(self.jobs.keys().copied()).collect();
        for key in keys {
            let Some(job) = self.jobs.get(&key) else { continue };
            let Some(queue) = self.config.queue(&job.submission.queue) else { continue };
            if job.steps_to_start().all(|step| self.has_target_for(step, queue)) {
                continue;
            }
            if !job.start_sent {
                self.release_waiting_job(key, now);
            } else if !self.finishes_in_evacuated_zone(job, now) {
                self.abandon_job(key, "its zone is evacuated");
            }
        }
    }

    /// Redirects or refuses a job of which nothing was started.
    fn release_waiting_job(&mut self, key: SubmissionKey, now: Moment) {
        let Some(job) = self.jobs.get(&key) else { return };
        let cpu = job.submission.total_cpu();
        let shard = if job.may_redirect { self.choose_receiving_shard(cpu, now) } else { None };
        let Some(shard) = shard else {
            let (label, age) = (JobLabel::from(&job.submission), now - job.arrived_at);
            let refusal = Refusal::NoTarget;
            self.log_refusal(label, refusal, Duration::ZERO, age);
            let outcome = Outcome::NotRun { refusal, retry_after: NO_TARGET_RETRY_AFTER };
            return self.finish_job(key, outcome);
        };
        if let Some(rank) = self.rank(key) {
            self.queued_jobs.remove(&rank);
        }
        let Some(job) = self.jobs.swap_remove(&key) else { return };
        self.keys_by_job_id.swap_remove(&job.submission.id);
        self.redirect_evacuated(&job.submissions, &job.submission, shard, now);
    }

    /// Redirects a new job that only evacuated targets could run, or refuses it.
    pub(super) fn redirect_or_refuse_evacuated(
        &mut self,
        keys: &[SubmissionKey],
        submission: &JobSubmission,
        may_redirect: bool,
        now: Moment,
    ) {
        // A job with suspects was started when it was submitted before.
        let may_redirect = may_redirect && !self.crash_history.has_suspects(submission.id);
        let cpu = submission.total_cpu();
        match self.choose_receiving_shard(cpu, now).filter(|_| may_redirect) {
            Some(shard) => self.redirect_evacuated(keys, submission, shard, now),
            None => {
                let (refusal, delay) = (Refusal::NoTarget, NO_TARGET_RETRY_AFTER);
                self.refuse(keys, submission, refusal, delay, Duration::ZERO);
            }
        }
    }

    fn redirect_evacuated(
        &mut self,
        keys: &[SubmissionKey],
        submission: &JobSubmission,
        shard: Shard,
        now: Moment,
    ) {
        let cpu = submission.total_cpu();
        let millicores = self.sent_millicores(&shard, now) + cpu.0 as f64;
        self.evacuations.sent.insert(shard.clone(), SentCpu { millicores, updated_at: now });
        self.counts.evacuation_redirects += 1;
        self.redirect_to_shard(keys, submission.id, shard, cpu, now);
    }

    /// Returns the shard that should receive a job whose tasks need `cpu` together: the one with the
    /// highest ratio of spare CPU to the CPU sent there recently, so that each shard gets a
    /// share by its spare CPU. If no shard has spare CPU, it is the one to which the least was sent.
    fn choose_receiving_shard(&self, cpu: MilliCores, now: Moment) -> Option<Shard> {
        let load = |shard: &Shard| self.sent_millicores(shard, now) + cpu.0.max(1) as f64;
        let rated = self
            .redirect_targets(now)
            .map(|(shard, remote)| (shard, remote.spare.0 as f64 / load(shard), load(shard)));
        let best = rated.max_by(|(_, spare, load), (_, other_spare, other_load)| {
            spare.total_cmp(other_spare).then(other_load.total_cmp(load))
        });
        best.map(|(shard, ..)| shard.clone())
    }

    fn sent_millicores(&self, shard: &Shard, now: Moment) -> f64 {
        self.evacuations.sent.get(shard).map_or(0.0, |sent| sent.at(now))
    }
}
