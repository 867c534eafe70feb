//! Takes callers' jobs, submits them to a dispatcher and returns their outcomes.

use super::{Node, TargetClient, election, shards::ShardLink};
use crate::{
    coordination::election::{
        MAX_DISPATCHER_SEARCH, MIN_TIME_TO_RESUBMIT, should_await_dispatcher,
    },
    protocol::fleet::DispatchReply,
    state::{
        job_submission::{CallerJobId, JobSubmission, MAX_TIME_TO_DEADLINE, Outcome, Refusal},
        mechanism::Mechanism,
        shard::ShardCount,
    },
    transport::{
        fleet::{DispatchOptions, PeerLink},
        rpc::RpcError,
    },
};
use derive_more::{Display, From};
use std::{
    net::SocketAddr,
    pin::pin,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};
use tokio::{
    sync::OnceCell,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Retry delay sent to callers while no dispatcher is known: about the time that the election of
/// one takes.
const NO_DISPATCHER_RETRY: Duration = Duration::from_millis(700);
/// Outcome of a job for which no dispatcher can be reached.
const NO_DISPATCHER: Outcome =
    Outcome::NotRun { refusal: Refusal::NoDispatcher, retry_after: NO_DISPATCHER_RETRY };

/// Retry delay of a job for which this VM has no memory.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);
/// A stopping process answers its last jobs this long before it exits.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Interval at which a job checks whether its zone has a dispatcher.
const SEARCH_INTERVAL: Duration = Duration::from_millis(15);

/// Longest wait for a connection to another zone's dispatcher while a shard here has none; round trips
/// take a few milliseconds.
const OTHER_ZONE_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A job's search for the dispatcher of its shard.
#[derive(Clone, Copy, Debug)]
struct DispatcherSearch {
    /// When the job was submitted or its dispatcher was lost, whichever is later.
    begun: Instant,
    /// Deadline of the job.
    deadline: Instant,
}

impl DispatcherSearch {
    fn elapsed(self) -> Duration {
        self.begun.elapsed()
    }

    fn time_to_deadline(self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A connection for redirected jobs is closed after this time without such a job.
const REDIRECT_LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the outcome of a caller's job is unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnknownCause {
    /// The dispatcher answered so; its log has the reason.
    #[display("the dispatcher says so")]
    Dispatcher,
    /// The dispatcher was lost, and it is too late for another one.
    #[display("its dispatcher was lost")]
    DispatcherLost,
    /// The dispatcher that it was redirected to was lost.
    #[display("the dispatcher it was redirected to was lost")]
    RedirectLost,
    /// The dispatcher was lost, and no successor is known.
    #[display("no successor of its dispatcher is known")]
    NoSuccessor,
    /// The dispatcher was lost, and its successor refuses the job or can't tell whether it ran.
    #[display("the successor of its dispatcher does not run it")]
    Successor,
    /// The dispatcher was lost, and the zone has another number of shards now.
    #[display("its zone was divided anew")]
    ShardsChanged,
    /// This process exits.
    #[display("this process exits")]
    Exit,
}

impl UnknownCause {
    /// Value of the metrics' label.
    pub fn label(self) -> &'static str {
        match self {
            UnknownCause::Dispatcher => "dispatcher",
            UnknownCause::DispatcherLost => "dispatcher_lost",
            UnknownCause::RedirectLost => "redirect_lost",
            UnknownCause::NoSuccessor => "no_successor",
            UnknownCause::Successor => "successor",
            UnknownCause::ShardsChanged => "shards_changed",
            UnknownCause::Exit => "exit",
        }
    }
}

/// Why a dispatcher returned no reply to a job.
#[derive(Debug, From)]
enum SubmitError {
    /// The connection failed; the job may be running.
    Lost(RpcError),
    /// The job may have run, and no dispatcher can tell.
    Unknown(UnknownCause),
}

/// Reports a job whose caller goes away before the answer.
struct CallerGuard<T>
where
    T: TargetClient,
{
    node: Rc<Node<T>>,
    id: CallerJobId,
    begun: Instant,
    is_answered: bool,
}

impl<T> Drop for CallerGuard<T>
where
    T: TargetClient,
{
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.node.metrics.caller_gone();
        if self.node.allows_line("caller gone") {
            log::info!(
                "entry: job {} left by its caller after {:?}",
                self.id,
                self.begun.elapsed()
            );
        }
    }
}

/// A connection for jobs redirected to another shard's dispatcher, made once for all jobs that wait
/// for it.
pub(super) type RedirectLink = Rc<OnceCell<Rc<PeerLink>>>;

impl<T> Node<T>
where
    T: TargetClient,
{
    /// Runs a caller's job and returns its outcome. Dropping the future cancels the job.
    pub async fn submit(self: &Rc<Self>, submission: JobSubmission) -> Outcome {
        let begun = Instant::now();
        let id = submission.id;
        let mut caller = CallerGuard { node: Rc::clone(self), id, begun, is_answered: false };
        let answered = match self.callers.reserve(&submission) {
            Some(_reservation) => tokio::select! {
                answered = self.submit_until_answered(submission, begun) => answered,
                // Tasks may have run, and the caller would get no answer otherwise.
                () = self.about_to_exit() => Err(UnknownCause::Exit),
            },
            None => {
                Ok(Outcome::NotRun { refusal: Refusal::QueueFull, retry_after: NO_MEMORY_RETRY })
            }
        };
        caller.is_answered = true;
        let answered = match answered {
            Ok(Outcome::Unknown) => Err(UnknownCause::Dispatcher),
            answered => answered,
        };
        let outcome = answered.unwrap_or(Outcome::Unknown);
        let took = begun.elapsed();
        self.metrics.answered(outcome, took);
        let version = self.config_version();
        match answered {
            Ok(Outcome::Completed) => {}
            Ok(outcome) if self.allows_line("answered") => {
                log::info!(
                    "entry: job {id} answered {outcome:?} after {took:?}, config={}",
                    version.0
                );
            }
            Ok(_) => {}
            Err(cause) => {
                self.metrics.unknown(cause);
                if self.allows_line(cause.label()) {
                    log::info!(
                        "entry: job {id} answered {outcome:?} after {took:?}, cause={cause}, \
                         config={}",
                        version.0
                    );
                }
            }
        }
        outcome
    }

    /// Counts a line of this kind; returns false if it must be left out.
    fn allows_line(&self, kind: &'static str) -> bool {
        self.decision_log.borrow_mut().allows(kind, self.clock.now())
    }

    /// Submits a job again, with the time that is left, while the dispatcher is lost or refuses it
    /// in a way that permits another attempt.
    async fn submit_until_answered(
        self: &Rc<Self>,
        mut submission: JobSubmission,
        begun: Instant,
    ) -> Result<Outcome, UnknownCause> {
        let time_to_deadline =
            submission.time_to_deadline.min(MAX_TIME_TO_DEADLINE).min(self.time_to_exit());
        let shard_count = self.shard_count();
        let mut options = DispatchOptions { may_redirect: true, resumed: false, shard_count };
        let mut search = DispatcherSearch { begun, deadline: begun + time_to_deadline };
        loop {
            submission.time_to_deadline = search.time_to_deadline();
            let can_resubmit = submission.time_to_deadline > MIN_TIME_TO_RESUBMIT
                && search.elapsed() < MAX_DISPATCHER_SEARCH;
            match self.submit_once(&submission, options).await {
                Ok(DispatchReply::Redirected(to)) => {
                    self.metrics.redirected();
                    // A job that waited in a zone which was then evacuated has less time left.
                    submission.time_to_deadline = search.time_to_deadline();
                    match self.submit_to(to, &submission).await? {
                        // Nothing of the job ran in the other zone, so this zone may still run it.
                        Outcome::NotRun { .. }
                            if submission.time_to_deadline > MIN_TIME_TO_RESUBMIT
                                && self.enables(Mechanism::RedirectFallback) =>
                        {
                            options.may_redirect = false;
                            continue;
                        }
                        outcome => return Ok(outcome),
                    }
                }
                Ok(DispatchReply::Ended(Outcome::NotRun { refusal: Refusal::Closed, .. }))
                    if can_resubmit => {}
                Ok(DispatchReply::Ended(Outcome::NotRun {
                    refusal: Refusal::NoDispatcher,
                    ..
                })) if !options.resumed && self.awaits_dispatcher(submission.id, search) => {}
                Ok(DispatchReply::Ended(Outcome::NotRun { .. } | Outcome::Unknown))
                    if options.resumed =>
                {
                    return Err(UnknownCause::Successor);
                }
                Ok(DispatchReply::Ended(outcome)) => return Ok(outcome),
                Err(SubmitError::Unknown(cause)) => return Err(cause),
                // The job may be running. Only the zone's next dispatcher can make sure that none
                // of its runs is left before it starts the job again.
                Err(SubmitError::Lost(e)) if can_resubmit => {
                    log::info!(
                        "entry: job {} lost its dispatcher: {e}, age={:?} time_left={:?}",
                        submission.id,
                        begun.elapsed(),
                        search.time_to_deadline()
                    );
                    self.metrics.resumed();
                    search.begun = Instant::now();
                    options = DispatchOptions { may_redirect: false, resumed: true, shard_count };
                }
                Err(SubmitError::Lost(e)) => {
                    log::info!(
                        "entry: job {} lost its dispatcher: {e}, age={:?}, not submitted again",
                        submission.id,
                        begun.elapsed()
                    );
                    return Err(UnknownCause::DispatcherLost);
                }
            }
            self.wait_for_dispatcher(submission.id, options, search).await;
        }
    }

    /// The connection to the dispatcher of the shard to which a job is submitted first.
    fn link_for(&self, job: CallerJobId) -> Rc<ShardLink> {
        self.shard_link(self.shard_count().shard_of_job(job))
    }

    /// Whether this VM dispatches the shard to which a job is submitted first.
    fn dispatches_job(&self, job: CallerJobId) -> bool {
        self.dispatches(self.shard_count().shard_of_job(job))
    }

    /// Whether a job should wait for the election of its shard's dispatcher.
    fn awaits_dispatcher(&self, job: CallerJobId, search: DispatcherSearch) -> bool {
        let missing_for = self.link_for(job).missing_for();
        self.enables(Mechanism::ElectionWait)
            && should_await_dispatcher(missing_for, search.elapsed(), search.time_to_deadline())
    }

    /// Waits until this process can barely send an answer before it exits.
    async fn about_to_exit(&self) {
        let mut leaving = pin!(self.leaving.notified());
        leaving.as_mut().enable();
        if !self.is_leaving() {
            leaving.await;
        }
        sleep(self.time_to_exit()).await;
    }

    /// Time left in which this process can still send an answer before it exits; unlimited if it is
    /// not stopping.
    fn time_to_exit(&self) -> Duration {
        self.exits_at.get().map_or(Duration::MAX, |exits_at| {
            exits_at.saturating_duration_since(Instant::now()).saturating_sub(ANSWER_MARGIN)
        })
    }

    /// Waits until a job's shard has a dispatcher. A job that has not run waits only while an election is
    /// probably in progress; others wait at most for [`MAX_DISPATCHER_SEARCH`], since no other zone can
    /// run them.
    async fn wait_for_dispatcher(
        self: &Rc<Self>,
        job: CallerJobId,
        options: DispatchOptions,
        search: DispatcherSearch,
    ) {
        sleep(SEARCH_INTERVAL).await;
        while !self.dispatches_job(job)
            && self.link_for(job).get().is_none()
            && search.elapsed() < MAX_DISPATCHER_SEARCH
            && (options.resumed || self.awaits_dispatcher(job, search))
        {
            sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Submits a job to its shard's dispatcher. If there is none, or one that would change the job's id, the job is
    /// submitted to that of another shard or zone, unless runs of it may be left.
    async fn submit_once(
        self: &Rc<Self>,
        submission: &JobSubmission,
        options: DispatchOptions,
    ) -> Result<DispatchReply, SubmitError> {
        if options.resumed && options.shard_count != self.shard_count() {
            return Err(UnknownCause::ShardsChanged.into());
        }
        if self.dispatches_job(submission.id) {
            return Ok(self.run_locally(submission.clone(), options, None).await);
        }
        let link = self.link_for(submission.id).get();
        if let Some(link) = link.filter(|link| link.keeps_id(submission.id)) {
            return Ok(link.run(submission, options).await?);
        }
        if options.resumed {
            return Err(UnknownCause::NoSuccessor.into());
        }
        let outcome = match self.any_other_link(submission.id).await {
            Some(link) => run_redirected(&link, submission).await?,
            None => NO_DISPATCHER,
        };
        // This shard may still run a job that the other one refuses.
        let outcome =
            if matches!(outcome, Outcome::NotRun { .. }) { NO_DISPATCHER } else { outcome };
        Ok(DispatchReply::Ended(outcome))
    }

    /// Submits a job to the dispatcher of another shard, to which its own redirected it.
    async fn submit_to(
        self: &Rc<Self>,
        to: SocketAddr,
        submission: &JobSubmission,
    ) -> Result<Outcome, UnknownCause> {
        match self.redirect_link(to).await {
            Ok(link) if link.keeps_id(submission.id) => run_redirected(&link, submission).await,
            Ok(_) => Ok(NO_DISPATCHER),
            Err(e) => {
                log::info!("entry: job {} not redirected to {to}: {e}", submission.id);
                Ok(NO_DISPATCHER)
            }
        }
    }

    /// Returns the connection to the dispatcher at `to` for redirected jobs, made if there is none.
    async fn redirect_link(self: &Rc<Self>, to: SocketAddr) -> Result<Rc<PeerLink>, RpcError> {
        if let Some(link) = self.open_shard_links().into_iter().find(|link| link.address == to) {
            return Ok(link);
        }
        let known = self.redirect_links.borrow().get(&to).cloned();
        let usable = known.filter(|cell| cell.get().is_none_or(|link| !link.is_closed()));
        let cell = usable.unwrap_or_default();
        self.redirect_links.borrow_mut().insert(to, Rc::clone(&cell));
        let link = cell.get_or_try_init(|| async {
            let link = PeerLink::connect(self, to, election::HEARTBEAT_INTERVAL).await?;
            spawn_local(Rc::clone(self).close_when_idle(to, Rc::downgrade(&link)));
            Ok(link)
        });
        link.await.cloned()
    }

    /// Closes a connection for redirected jobs once no job uses it.
    async fn close_when_idle(self: Rc<Self>, to: SocketAddr, link: Weak<PeerLink>) {
        loop {
            sleep(REDIRECT_LINK_IDLE_TIMEOUT).await;
            let Some(link) = link.upgrade() else { return };
            // One reference is held by this function, one by the map.
            if link.is_closed() || Rc::strong_count(&link) <= 2 {
                let is_same =
                    |cell: &RedirectLink| cell.get().is_some_and(|l| Rc::ptr_eq(l, &link));
                self.redirect_links
                    .borrow_mut()
                    .retain(|address, cell| *address != to || !is_same(cell));
                return;
            }
        }
    }

    /// Returns a connection to the dispatcher of another shard for the job with this id, one of this zone if
    /// possible, or `None` if none can be reached. Jobs are spread by their ids.
    async fn any_other_link(self: &Rc<Self>, id: CallerJobId) -> Option<Rc<PeerLink>> {
        let mut siblings = self.open_shard_links();
        siblings.retain(|link| link.keeps_id(id));
        if !siblings.is_empty() {
            return siblings.get(id.number() as usize % siblings.len()).cloned();
        }
        let hints: Vec<_> = self
            .dispatcher_hints
            .borrow()
            .iter()
            .map(|(zone, address)| (zone.clone(), *address))
            .collect();
        let first = id.number() as usize % hints.len().max(1);
        for (zone, address) in hints.iter().cycle().skip(first).take(hints.len()) {
            let connecting = timeout(OTHER_ZONE_CONNECT_TIMEOUT, self.redirect_link(*address));
            match connecting.await.unwrap_or(Err(RpcError::Timeout)) {
                Ok(link) if link.keeps_id(id) => return Some(link),
                Ok(_) => continue,
                Err(e) => log::info!("links: dispatcher of {zone} at {address} not reached: {e}"),
            }
            self.dispatcher_hints.borrow_mut().retain(|_, hint| hint != address);
        }
        None
    }
}

/// Submits a job to another shard's dispatcher, which may refuse it but not redirect it again.
async fn run_redirected(
    link: &PeerLink,
    submission: &JobSubmission,
) -> Result<Outcome, UnknownCause> {
    let sent = Instant::now();
    let shard_count = ShardCount::ONE; // Of no use to a dispatcher that has not run the job before.
    let options = DispatchOptions { may_redirect: false, resumed: false, shard_count };
    match link.run(submission, options).await {
        Ok(DispatchReply::Ended(outcome)) => Ok(outcome),
        Ok(DispatchReply::Redirected(to)) => {
            log::error!("entry: job {} redirected to {to} against its options", submission.id);
            Ok(Outcome::NotRun { refusal: Refusal::Closed, retry_after: NO_DISPATCHER_RETRY })
        }
        Err(e) => {
            log::info!(
                "entry: job {} lost the dispatcher it was redirected to: {e}, at {}, after {:?}",
                submission.id,
                link.address,
                sent.elapsed()
            );
            Err(UnknownCause::RedirectLost)
        }
    }
}
