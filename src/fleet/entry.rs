//! Takes callers' jobs and hands them to a dispatcher.

use super::{Node, Targets, follow};
use crate::{
    protocol::fleet::DispatchReply,
    state::work::{Outcome, Refusal, Work},
    transport::{
        fleet::{DispatchOptions, PeerLink},
        rpc::RpcError,
    },
};
use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};
use tokio::{sync::OnceCell, task::spawn_local, time::sleep};

/// A caller is told to come back after this long while no dispatcher is known: about the time in
/// which one takes over.
const NO_DISPATCHER_RETRY: Duration = Duration::from_millis(700);

/// A job whose dispatcher was lost is handed to the next one only while its caller waits for longer
/// than this; the shortest jobs take about as long.
const SHORTEST_RESUMPTION: Duration = Duration::from_millis(100);
/// Longest time that a job looks for the next dispatcher of its zone, about that of a takeover.
const LONGEST_SEARCH: Duration = Duration::from_millis(1_200);
/// A stopping process has its last answers written this long before it ends.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Interval of the search.
const SEARCH_PAUSE: Duration = Duration::from_millis(15);

/// A connection to a dispatcher of another zone on which jobs are passed is closed after this time
/// without one.
const IDLE_PASS: Duration = Duration::from_secs(2);

/// A connection on which jobs are passed, made once for all that wait for it.
pub(super) type Pass = Rc<OnceCell<Rc<PeerLink>>>;

impl<T> Node<T>
where
    T: Targets,
{
    /// Runs a caller's job. Dropping the future cancels it.
    pub async fn submit(self: &Rc<Self>, work: Work) -> Outcome {
        let begun = Instant::now();
        let id = work.id;
        let outcome = self.submit_until_answered(work, begun).await;
        let took = begun.elapsed();
        self.metrics.answered(outcome, took);
        if outcome != Outcome::Completed
            && self.notes.borrow_mut().admits("answered", self.clock.now())
        {
            let version = self.plan_version();
            log::info!("entry: job {id} answered {outcome:?} after {took:?}, config={}", version.0);
        }
        outcome
    }

    async fn submit_until_answered(self: &Rc<Self>, work: Work, begun: Instant) -> Outcome {
        let patience = work.patience.min(self.time_left());
        let work = Work { patience, ..work };
        let mut how = DispatchOptions { may_redirect: true, resumed: false };
        loop {
            let patience = work.patience.saturating_sub(begun.elapsed());
            let rest = Work { patience, ..work.clone() };
            let again = patience > SHORTEST_RESUMPTION && begun.elapsed() < LONGEST_SEARCH;
            match self.submit_once(&rest, how).await {
                Ok(DispatchReply::Redirected(to)) => {
                    self.metrics.passed();
                    match self.submit_to(to, &rest).await {
                        // Nothing has run there, so that this zone may still run it.
                        Outcome::NotRun { .. } if patience > SHORTEST_RESUMPTION => {
                            how.may_redirect = false;
                            continue;
                        }
                        outcome => return outcome,
                    }
                }
                Ok(DispatchReply::Ended(Outcome::NotRun { refusal: Refusal::Closed, .. }))
                    if again => {}
                Ok(DispatchReply::Ended(Outcome::NotRun { .. })) if how.resumed => {
                    return Outcome::Unknown;
                }
                Ok(DispatchReply::Ended(outcome)) => return outcome,
                // The job may have run; only the zone's next dispatcher can tell that it does not
                // any more.
                Err(e) if again => {
                    log::info!("entry: job {} lost its dispatcher: {e}", work.id);
                    self.metrics.resumed();
                    how = DispatchOptions { may_redirect: false, resumed: true };
                }
                Err(_) => return Outcome::Unknown,
            }
            self.wait_for_dispatcher(begun).await;
        }
    }

    /// Time in which answers surely leave this process.
    fn time_left(&self) -> Duration {
        self.ends.get().map_or(Duration::MAX, |ends| {
            ends.saturating_duration_since(Instant::now()).saturating_sub(ANSWER_MARGIN)
        })
    }

    async fn wait_for_dispatcher(self: &Rc<Self>, begun: Instant) {
        sleep(SEARCH_PAUSE).await;
        while !self.dispatches() && self.own_link().is_none() && begun.elapsed() < LONGEST_SEARCH {
            sleep(SEARCH_PAUSE).await;
        }
    }

    async fn submit_once(
        self: &Rc<Self>,
        work: &Work,
        how: DispatchOptions,
    ) -> Result<DispatchReply, RpcError> {
        if self.dispatches() {
            return Ok(self.run_here(work.clone(), how).await);
        }
        if let Some(link) = self.own_link() {
            return link.run(work, how).await;
        }
        if how.resumed {
            return Ok(DispatchReply::Ended(Outcome::Unknown));
        }
        let Some(link) = self.other_zone().await else {
            let refusal = Refusal::NoDispatcher;
            let retry_after = NO_DISPATCHER_RETRY;
            return Ok(DispatchReply::Ended(Outcome::NotRun { refusal, retry_after }));
        };
        Ok(DispatchReply::Ended(run_passed(&link, work).await))
    }

    /// Has the dispatcher of another zone run a job, which this zone's has passed on.
    async fn submit_to(self: &Rc<Self>, to: SocketAddr, work: &Work) -> Outcome {
        match self.pass_link(to).await {
            Ok(link) => run_passed(&link, work).await,
            Err(e) => {
                log::info!("entry: job {} not passed to {to}: {e}", work.id);
                Outcome::NotRun { refusal: Refusal::NoDispatcher, retry_after: NO_DISPATCHER_RETRY }
            }
        }
    }

    /// A connection to a dispatcher of another zone, kept while it is used.
    async fn pass_link(self: &Rc<Self>, to: SocketAddr) -> Result<Rc<PeerLink>, RpcError> {
        let known = self.passes.borrow().get(&to).cloned();
        let usable = known.filter(|pass| pass.get().is_none_or(|link| !link.is_closed()));
        let pass = usable.unwrap_or_default();
        self.passes.borrow_mut().insert(to, Rc::clone(&pass));
        let link = pass.get_or_try_init(|| async {
            let link = PeerLink::connect(self, to, follow::BEAT).await?;
            spawn_local(Rc::clone(self).drop_idle(to, Rc::downgrade(&link)));
            Ok(link)
        });
        link.await.cloned()
    }

    /// Closes a connection that has served no job for a while.
    async fn drop_idle(self: Rc<Self>, to: SocketAddr, link: Weak<PeerLink>) {
        loop {
            sleep(IDLE_PASS).await;
            let Some(link) = link.upgrade() else { return };
            // One count is this function's, one that of the map.
            if link.is_closed() || Rc::strong_count(&link) <= 2 {
                let ours = |pass: &Pass| pass.get().is_some_and(|known| Rc::ptr_eq(known, &link));
                self.passes.borrow_mut().retain(|at, pass| *at != to || !ours(pass));
                return;
            }
        }
    }

    /// A connection to the dispatcher of any other zone.
    async fn other_zone(self: &Rc<Self>) -> Option<Rc<PeerLink>> {
        let open = self.others.borrow().values().find(|link| !link.is_closed()).cloned();
        if open.is_some() {
            return open;
        }
        let hints: Vec<_> =
            self.hints.borrow().iter().map(|(zone, address)| (zone.clone(), *address)).collect();
        for (zone, address) in hints {
            match PeerLink::connect(self, address, follow::BEAT).await {
                Ok(link) => {
                    self.others.borrow_mut().insert(zone, Rc::clone(&link));
                    return Some(link);
                }
                Err(e) => log::info!("links: dispatcher of {zone} at {address}: {e}"),
            }
        }
        None
    }
}

/// Has another zone's dispatcher run a job, which it may refuse but not pass on.
async fn run_passed(link: &PeerLink, work: &Work) -> Outcome {
    let how = DispatchOptions { may_redirect: false, resumed: false };
    match link.run(work, how).await {
        Ok(DispatchReply::Ended(outcome)) => outcome,
        Ok(DispatchReply::Redirected(to)) => {
            log::error!("entry: job {} passed on to {to} against its terms", work.id);
            Outcome::NotRun { refusal: Refusal::Closed, retry_after: NO_DISPATCHER_RETRY }
        }
        Err(e) => {
            log::info!("entry: job {} lost the dispatcher it was passed to: {e}", work.id);
            Outcome::Unknown
        }
    }
}
