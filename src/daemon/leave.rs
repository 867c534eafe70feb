//! Leaving cleanly: no new jobs, what is accepted is finished, the ledger goes to a zone peer.

use super::Daemon;
use crate::{
    coordination::members::{HEARTBEAT_TIMEOUT, MemberInfo},
    state::ledger::ClosedLedger,
    transport::peers::PeerCall,
};
use derive_more::{Display, Error};
use indexmap::IndexMap;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Time between two looks at whether every job has its answer.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time for the balancer and peers to see that this entry VM is leaving.
const NOTICE: Duration = Duration::from_millis(1_000);
/// Answers handed over in one message.
const ANSWERS_PER_MESSAGE: usize = 200;

/// Why a ledger could not be handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum LeaveError {
    /// Jobs were still open when the time for leaving was over.
    #[display("jobs were still open at the end of the time for leaving")]
    NotDrained,
    /// No peer took the ledger.
    #[display("no peer took the ledger")]
    NoPeer,
}

impl Daemon {
    /// Leaves; returns when nothing of this entry VM is needed any more.
    ///
    /// # Errors
    ///
    /// A [`LeaveError`]: callers that ask for ids of this entry VM will be told `unknown`.
    pub async fn leave(self: &Arc<Self>) -> Result<(), LeaveError> {
        let now = self.now();
        self.drive(|daemon, out| daemon.core.leave(now, out));
        let end = Instant::now() + Duration::from_millis(self.settings.leave_ms);
        sleep(NOTICE).await;
        while !self.core.is_drained() {
            if Instant::now() >= end {
                return Err(LeaveError::NotDrained);
            }
            sleep(DRAIN_POLL).await;
        }
        let ledgers = self.core.close_ledger(self.now()).ok_or(LeaveError::NotDrained)?;
        self.hand_over(ledgers).await
    }

    async fn hand_over(self: &Arc<Self>, ledgers: Vec<ClosedLedger>) -> Result<(), LeaveError> {
        let candidates = self.candidates();
        if candidates.is_empty() {
            log::info!("leave: no zone peer, ids issued here end with this process");
            return Ok(());
        }
        for peer in candidates {
            let Ok(address) = peer.peers.parse::<SocketAddr>() else {
                continue;
            };
            if self.hand_over_to(address, &ledgers).await {
                log::info!("leave: ledger handed to {}", peer.vm);
                return Ok(());
            }
        }
        Err(LeaveError::NoPeer)
    }

    /// Zone peers that may take the ledger, those heard of late first.
    fn candidates(&self) -> Vec<MemberInfo> {
        let now = self.now();
        self.core.with_members(|members| {
            let mut peers: Vec<MemberInfo> =
                members.zone_peers().filter(|peer| !peer.leaving).cloned().collect();
            peers.sort_by_key(|peer| {
                !members.has_heartbeat_within(now, &peer.vm, HEARTBEAT_TIMEOUT)
            });
            peers
        })
    }

    async fn hand_over_to(&self, address: SocketAddr, ledgers: &[ClosedLedger]) -> bool {
        for part in ledgers.iter().flat_map(parts) {
            let part = Box::new(part);
            let sent = self.peers.call(address, |tx| PeerCall::HandOver(part, tx)).await;
            if let Err(e) = sent {
                log::warn!("leave: peer did not take the ledger: {e}");
                return false;
            }
        }
        true
    }
}

/// Cuts a ledger into messages; one without answers still makes a message.
fn parts(ledger: &ClosedLedger) -> Vec<ClosedLedger> {
    let empty = ClosedLedger { answers: IndexMap::new(), ..ledger.clone() };
    let answers: Vec<_> = ledger.answers.iter().collect();
    let mut parts: Vec<ClosedLedger> = answers
        .chunks(ANSWERS_PER_MESSAGE)
        .map(|chunk| {
            let answers = chunk.iter().map(|(number, answer)| (**number, (*answer).clone()));
            ClosedLedger { answers: answers.collect(), ..empty.clone() }
        })
        .collect();
    if parts.is_empty() {
        parts.push(empty);
    }
    parts
}
