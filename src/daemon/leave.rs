//! Graceful shutdown: refuses new jobs, finishes accepted ones and hands the ledger over to a zone
//! peer.

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

/// Time between two checks whether every accepted job is answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the load balancer and the peers to notice that this entry VM is leaving.
const NOTICE_PERIOD: Duration = Duration::from_millis(1_000);
/// Most answers handed over in one message.
const MAX_ANSWERS_PER_MESSAGE: usize = 200;

/// Why the ledger could not be handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum LeaveError {
    /// Jobs were still open when the setting `leave_ms` had elapsed.
    #[display("jobs were still open when leave_ms had elapsed")]
    NotDrained,
    /// Every zone peer failed to take the ledger over.
    #[display("no zone peer took the ledger over")]
    NoPeer,
}

impl Daemon {
    /// Shuts down gracefully. Returns when every accepted job is answered and a zone peer, if there
    /// is one, has taken the ledger over.
    ///
    /// # Errors
    ///
    /// A [`LeaveError`]: requests about job ids of this process will be answered `unknown`.
    pub async fn leave(self: &Arc<Self>) -> Result<(), LeaveError> {
        let now = self.now();
        self.drive(|daemon, out| daemon.core.leave(now, out));
        let drain_deadline = Instant::now() + Duration::from_millis(self.settings.leave_ms);
        sleep(NOTICE_PERIOD).await;
        while !self.core.is_drained() {
            if Instant::now() >= drain_deadline {
                return Err(LeaveError::NotDrained);
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let ledgers = self.core.close_ledger(self.now()).ok_or(LeaveError::NotDrained)?;
        self.hand_over(ledgers).await
    }

    async fn hand_over(self: &Arc<Self>, ledgers: Vec<ClosedLedger>) -> Result<(), LeaveError> {
        let candidates = self.handover_candidates();
        if candidates.is_empty() {
            log::info!(
                "leave: no zone peer to take the ledger, job ids of this process become unknown"
            );
            return Ok(());
        }
        for peer in candidates {
            let Ok(address) = peer.peers.parse::<SocketAddr>() else {
                continue;
            };
            if self.hand_over_to(address, &ledgers).await {
                log::info!("leave: ledger handed over to {}", peer.vm);
                return Ok(());
            }
        }
        Err(LeaveError::NoPeer)
    }

    /// Returns the zone peers that may take the ledger over, those with a recent heartbeat first.
    fn handover_candidates(&self) -> Vec<MemberInfo> {
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
        for part in ledgers.iter().flat_map(split_ledger) {
            let part = Box::new(part);
            let result = self.peer_links.call(address, |tx| PeerCall::HandOver(part, tx)).await;
            if let Err(e) = result {
                log::warn!("leave: ledger handover to {address} failed: {e}");
                return false;
            }
        }
        true
    }
}

/// Splits a ledger into messages. A ledger without answers still makes one message, since the
/// peer needs the issuer's key.
fn split_ledger(ledger: &ClosedLedger) -> Vec<ClosedLedger> {
    let empty = ClosedLedger { answers: IndexMap::new(), ..ledger.clone() };
    let answers: Vec<_> = ledger.answers.iter().collect();
    let mut parts: Vec<ClosedLedger> = answers
        .chunks(MAX_ANSWERS_PER_MESSAGE)
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
