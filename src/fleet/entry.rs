//! Takes callers' jobs and hands them to a dispatcher.

use super::{Node, Targets, follow};
use crate::{
    state::work::{Outcome, Refusal, Work},
    transport::fleet::Link,
};
use std::{rc::Rc, time::Duration};

/// A caller is told to come back after this long while no dispatcher is known: about the time in
/// which one takes over.
const NO_DISPATCHER_RETRY: Duration = Duration::from_millis(700);

impl<T> Node<T>
where
    T: Targets,
{
    /// Runs a caller's job. Dropping the future cancels it.
    pub async fn submit(self: &Rc<Self>, work: Work) -> Outcome {
        if self.dispatches() {
            return self.run_here(work, true).await;
        }
        if let Some(link) = self.own_link() {
            return link.run(&work, true).await;
        }
        match self.other_zone().await {
            Some(link) => link.run(&work, false).await,
            None => {
                Outcome::NotRun { refusal: Refusal::NoDispatcher, retry_after: NO_DISPATCHER_RETRY }
            }
        }
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
