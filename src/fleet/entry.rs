//! Takes callers' jobs and hands them to a dispatcher.

use super::{Node, Targets, follow};
use crate::{
    state::work::{Outcome, Refusal, Work},
    transport::{
        fleet::{Handed, Link},
        rpc::RpcError,
    },
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// A caller is told to come back after this long while no dispatcher is known: about the time in
/// which one takes over.
const NO_DISPATCHER_RETRY: Duration = Duration::from_millis(700);

/// A job whose dispatcher was lost is handed to the next one only while its caller waits for longer
/// than this; the shortest jobs take about as long.
const SHORTEST_RESUMPTION: Duration = Duration::from_millis(100);
/// Longest time that a job looks for the next dispatcher of its zone, about that of a takeover.
const LONGEST_SEARCH: Duration = Duration::from_millis(1_200);
/// Interval of the search.
const SEARCH_PAUSE: Duration = Duration::from_millis(15);

impl<T> Node<T>
where
    T: Targets,
{
    /// Runs a caller's job. Dropping the future cancels it.
    pub async fn submit(self: &Rc<Self>, work: Work) -> Outcome {
        let begun = Instant::now();
        let mut resumed = false;
        loop {
            let patience = work.patience.saturating_sub(begun.elapsed());
            let rest = Work { patience, ..work.clone() };
            let again = patience > SHORTEST_RESUMPTION && begun.elapsed() < LONGEST_SEARCH;
            match self.submit_once(rest, resumed).await {
                Ok(Outcome::NotRun { refusal: Refusal::Closed, .. }) if again => {}
                Ok(Outcome::NotRun { .. }) if resumed => return Outcome::Unknown,
                Ok(outcome) => return outcome,
                // The job may have run; only the zone's next dispatcher can tell that it does not
                // any more.
                Err(e) if again => {
                    log::info!("entry: job {} lost its dispatcher: {e}", work.id);
                    resumed = true;
                }
                Err(_) => return Outcome::Unknown,
            }
            self.wait_for_dispatcher(begun).await;
        }
    }

    async fn wait_for_dispatcher(self: &Rc<Self>, begun: Instant) {
        sleep(SEARCH_PAUSE).await;
        while !self.dispatches() && self.own_link().is_none() && begun.elapsed() < LONGEST_SEARCH {
            sleep(SEARCH_PAUSE).await;
        }
    }

    async fn submit_once(self: &Rc<Self>, work: Work, resumed: bool) -> Result<Outcome, RpcError> {
        let how = Handed { may_pass: !resumed, resumed };
        if self.dispatches() {
            return Ok(self.run_here(work, how).await);
        }
        if let Some(link) = self.own_link() {
            return link.run(&work, how).await;
        }
        if resumed {
            return Ok(Outcome::Unknown);
        }
        let Some(link) = self.other_zone().await else {
            let refusal = Refusal::NoDispatcher;
            return Ok(Outcome::NotRun { refusal, retry_after: NO_DISPATCHER_RETRY });
        };
        let how = Handed { may_pass: false, resumed };
        Ok(link.run(&work, how).await.unwrap_or(Outcome::Unknown))
    }

    /// A connection to the dispatcher of any other zone.
    async fn other_zone(self: &Rc<Self>) -> Option<Rc<Link>> {
        let open = self.others.borrow().values().find(|link| !link.is_closed()).cloned();
        if open.is_some() {
            return open;
        }
        let hints: Vec<_> =
            self.hints.borrow().iter().map(|(zone, address)| (zone.clone(), *address)).collect();
        for (zone, address) in hints {
            match Link::connect(self, address, follow::BEAT).await {
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
