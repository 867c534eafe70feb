//! Periodic work: ticks and sweeps of the core, heartbeats to peers, polls of the platform.

use super::Daemon;
use crate::{
    config::PlatformSettings,
    coordination::{configuration::ConfigRow, members::MemberInfo},
    protocol::peers::Heartbeat,
    state::id::{ConfigVersion, VmName},
    state::pool::WorkerInfo,
    transport::{
        peers::{PeerCall, PlatformSnapshot},
        platform::{Platform, PlatformError},
    },
};
use futures_util::future::join_all;
use rand::{Rng, seq::IndexedRandom};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two sweeps of the core.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// One in this many heartbeat rounds reports the teams' demand to the zone's dispatchers.
const ZONE_DEMAND_EVERY_ROUNDS: u64 = 10;
/// One in this many heartbeat rounds also includes peers of other zones.
const CROSS_ZONE_EVERY_ROUNDS: u64 = 10;
/// One in this many heartbeat rounds reports the teams' demand to other zones.
const CROSS_ZONE_DEMAND_EVERY_ROUNDS: u64 = 120;
/// Most peers of other zones that get a heartbeat in one round, so that the cost of a round does
/// not grow with the number of zones.
const MAX_CROSS_ZONE_PEERS: usize = 8;
/// Longest wait for the platform, and then for the peers, when the configuration and the lists are
/// read again after a pause of the process.
const RELOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two attempts to find a configuration at the start.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl Daemon {
    /// Ticks the core until the process ends.
    pub async fn run_ticks(self: Arc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            let now = self.now();
            self.drive(|daemon, out| daemon.core.tick(now, out));
        }
    }

    /// Sweeps the core until the process ends.
    pub async fn run_sweeps(self: Arc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            let now = self.now();
            self.drive(|daemon, out| daemon.core.sweep(now, out));
        }
    }

    /// Exchanges heartbeats until the process ends: with all zone peers in every round, and with a
    /// random sample of the peers of other zones in some rounds.
    pub async fn run_heartbeats(self: Arc<Self>) {
        for round in 0u64.. {
            let jitter = rand::rng().random_range(0.8..1.2);
            sleep(self.settings.heartbeat().mul_f64(jitter)).await;
            let report_zone_demand = round.is_multiple_of(ZONE_DEMAND_EVERY_ROUNDS);
            let report_cross_zone_demand = round.is_multiple_of(CROSS_ZONE_DEMAND_EVERY_ROUNDS);
            for peer in self.heartbeat_peers(round) {
                let daemon = Arc::clone(&self);
                let in_zone = peer.zone == self.settings.zone;
                // Only dispatchers admit jobs, so the other zone peers don't need the demand.
                let with_demand = match in_zone {
                    true => report_zone_demand && self.core.is_dispatcher(&peer.vm),
                    false => report_cross_zone_demand,
                };
                self.runtime
                    .spawn(async move { daemon.exchange_heartbeat(&peer, with_demand).await });
            }
            if report_zone_demand {
                self.core.decay_demand();
            }
        }
    }

    /// Chooses the peers that get a heartbeat in a round.
    fn heartbeat_peers(&self, round: u64) -> Vec<MemberInfo> {
        self.core.with_members(|members| {
            let mut chosen: Vec<MemberInfo> = members.zone_peers().cloned().collect();
            if round.is_multiple_of(CROSS_ZONE_EVERY_ROUNDS) {
                let cross_zone: Vec<&MemberInfo> =
                    members.peers().filter(|peer| peer.zone != self.settings.zone).collect();
                let sample = cross_zone.choose_multiple(&mut rand::rng(), MAX_CROSS_ZONE_PEERS);
                chosen.extend(sample.map(|peer| (*peer).clone()));
            }
            chosen
        })
    }

    fn build_heartbeat(&self, to: &VmName, with_demand: bool) -> Heartbeat {
        let (status, held_loans) = self.core.peer_status(self.now(), to, with_demand);
        Heartbeat {
            from: self.core.issuer().clone(),
            config_version: self.core.config_version(),
            status,
            held_loans,
        }
    }

    async fn exchange_heartbeat(self: &Arc<Self>, peer: &MemberInfo, with_demand: bool) {
        let Ok(address) = peer.peers.parse::<SocketAddr>() else {
            return;
        };
        let heartbeat = Box::new(self.build_heartbeat(&peer.vm, with_demand));
        let reply = self.peer_links.call(address, |tx| PeerCall::Heartbeat(heartbeat, tx)).await;
        match reply {
            Ok(theirs) => {
                self.on_heartbeat(&theirs);
                self.sync_config(address, theirs.config_version).await;
            }
            Err(e) if e.is_connection_refused() => {
                let now = self.now();
                self.drive(|daemon, out| daemon.core.on_peer_lost(now, &peer.vm, out));
            }
            Err(_) => {}
        }
    }

    /// Records what a peer's heartbeat reports.
    pub fn on_heartbeat(self: &Arc<Self>, heartbeat: &Heartbeat) {
        let from = &heartbeat.from;
        self.peer_config_versions.lock().insert(from.vm.clone(), heartbeat.config_version);
        let (now, status) = (self.now(), heartbeat.status.clone());
        self.drive(|daemon, out| {
            daemon.core.on_heartbeat(
                now,
                &from.vm,
                from.incarnation,
                status,
                &heartbeat.held_loans,
                out,
            );
        });
    }

    /// Records a peer's heartbeat and returns the one of this entry VM in reply.
    pub fn answer_heartbeat(self: &Arc<Self>, heartbeat: &Heartbeat) -> Heartbeat {
        self.on_heartbeat(heartbeat);
        self.build_heartbeat(&heartbeat.from.vm, heartbeat.status.demand.is_some())
    }

    /// Reads the peer's configuration if its version is higher than the one in force here, or
    /// pushes the one in force here if the peer's is lower.
    async fn sync_config(self: &Arc<Self>, address: SocketAddr, peer_version: ConfigVersion) {
        let ours = self.core.config();
        if peer_version > ours.version {
            let snapshot = self.peer_links.call(address, PeerCall::ReadConfig).await;
            if let Ok(snapshot) = snapshot {
                self.apply_config(snapshot.row);
            }
        } else if peer_version < ours.version {
            let _ = self.peer_links.call(address, |tx| PeerCall::PushConfig(ours, tx)).await;
        }
    }

    /// Puts a configuration in force if its version is higher than the current one, and pushes it
    /// to the zone peers. Returns whether it did.
    pub fn apply_config(self: &Arc<Self>, row: ConfigRow) -> bool {
        let applied = self.drive(|daemon, out| daemon.core.replace_config_if_newer(row, out));
        if applied {
            *self.config_changed_at.lock() = std::time::Instant::now();
            self.push_config_to_zone();
        }
        applied
    }

    /// Pushes the configuration in force to every zone peer that is not known to have it.
    fn push_config_to_zone(self: &Arc<Self>) {
        let row = self.core.config();
        let outdated: Vec<MemberInfo> = {
            let versions = self.peer_config_versions.lock();
            let lags = |vm: &VmName| versions.get(vm).is_none_or(|known| *known < row.version);
            self.core
                .with_members(|m| m.zone_peers().filter(|peer| lags(&peer.vm)).cloned().collect())
        };
        self.push_config(&row, outdated);
    }

    /// Pushes a configuration to these peers in the background, and records the version that each
    /// one returns.
    pub(super) fn push_config(self: &Arc<Self>, row: &ConfigRow, peers: Vec<MemberInfo>) {
        for peer in peers {
            let Ok(address) = peer.peers.parse::<SocketAddr>() else {
                continue;
            };
            let (daemon, row) = (Arc::clone(self), row.clone());
            self.runtime.spawn(async move {
                let pushed =
                    daemon.peer_links.call(address, |tx| PeerCall::PushConfig(row, tx)).await;
                if let Ok(version) = pushed {
                    daemon.peer_config_versions.lock().insert(peer.vm, version);
                }
            });
        }
    }

    /// Polls the platform for the configuration and the lists until the process ends.
    pub async fn run_polls(self: Arc<Self>) {
        let poll_interval = match &self.settings.platform {
            PlatformSettings::Service { poll_ms, .. } => Duration::from_millis(*poll_ms),
            PlatformSettings::Embedded { .. } => SWEEP_INTERVAL,
        };
        let mut failing = false;
        loop {
            let jitter = rand::rng().random_range(0.75..1.25);
            sleep(poll_interval.mul_f64(jitter)).await;
            let read = self.poll_platform().await;
            match (&read, failing) {
                (Err(e), false) => log::warn!("platform: reads fail: {e}"),
                (Ok(()), true) => log::info!("platform: reads succeed again"),
                _ => {}
            }
            failing = read.is_err();
        }
    }

    async fn poll_platform(self: &Arc<Self>) -> Result<(), PlatformError> {
        let current = self.core.config_version();
        if let Some(row) = self.platform.read_config(current).await? {
            self.apply_config(row);
        }
        let members = self.platform.members().await?;
        let workers = self.platform.workers(&self.settings.zone).await?;
        self.update_lists(members, workers);
        Ok(())
    }

    fn update_lists(self: &Arc<Self>, members: Vec<MemberInfo>, workers: Vec<WorkerInfo>) {
        let now = self.now();
        {
            let mut lists = self.platform_lists.write();
            if lists.members == members && lists.workers == workers {
                return;
            }
            let address = |w: &WorkerInfo| Some((w.name.clone(), w.address.parse().ok()?));
            // Delisted workers keep their address, since tasks may still run on them.
            lists.addresses.extend(workers.iter().filter_map(address));
            lists.members = members.clone();
            lists.workers = workers.clone();
        }
        self.drive(|daemon, out| {
            daemon.core.on_member_list(now, members, out);
            daemon.core.on_worker_list(now, &workers, out);
        });
    }

    /// Returns the configuration in force and the platform's lists as last read, for a peer.
    pub fn platform_snapshot(&self) -> PlatformSnapshot {
        let lists = self.platform_lists.read();
        PlatformSnapshot {
            row: self.core.config(),
            members: lists.members.clone(),
            workers: lists.workers.clone(),
        }
    }

    /// Reads the configuration and the lists again, from the platform or else from the zone peers.
    pub(super) async fn reload(self: &Arc<Self>) {
        let read = timeout(RELOAD_TIMEOUT, self.poll_platform()).await;
        if matches!(read, Ok(Ok(()))) {
            return;
        }
        let peers: Vec<SocketAddr> = self.core.with_members(|members| {
            members.zone_peers().filter_map(|peer| peer.peers.parse().ok()).collect()
        });
        let _ = timeout(RELOAD_TIMEOUT, self.read_from_peers(&peers, true)).await;
    }

    /// Reads the configuration from these peers, and also the lists if `with_lists`. Returns
    /// whether any peer answered.
    async fn read_from_peers(self: &Arc<Self>, peers: &[SocketAddr], with_lists: bool) -> bool {
        let calls = peers.iter().map(|peer| self.peer_links.call(*peer, PeerCall::ReadConfig));
        let mut any_answered = false;
        for (address, snapshot) in peers.iter().zip(join_all(calls).await) {
            let Ok(snapshot) = snapshot else { continue };
            any_answered = true;
            self.apply_config(snapshot.row);
            if with_lists {
                let workers = self.own_zone_workers(*address, &snapshot.members, snapshot.workers);
                self.update_lists(snapshot.members, workers);
            }
        }
        any_answered
    }

    /// Returns the workers that a peer listed if the peer is in this zone, otherwise those last
    /// listed here: a peer lists the workers of its own zone only.
    fn own_zone_workers(
        &self,
        peer: SocketAddr,
        members: &[MemberInfo],
        theirs: Vec<WorkerInfo>,
    ) -> Vec<WorkerInfo> {
        let is_peer = |m: &&MemberInfo| m.peers.parse() == Ok(peer);
        match members.iter().find(is_peer) {
            Some(member) if member.zone == self.settings.zone => theirs,
            _ => self.platform_lists.read().workers.clone(),
        }
    }

    /// Finds the highest version of the configuration at the platform, the seed peers and the zone
    /// peers, then marks this entry VM as ready. Retries until a configuration is found.
    pub async fn fetch_initial_config(self: &Arc<Self>) {
        loop {
            let from_platform = self.poll_platform().await.is_ok();
            let from_seeds = self.read_from_peers(&self.settings.seeds, !from_platform).await;
            let found = self.core.config_version() > ConfigVersion::default();
            if found && (from_platform || from_seeds) {
                join_all(
                    self.heartbeat_peers(0).iter().map(|peer| self.exchange_heartbeat(peer, true)),
                )
                .await;
                return self.set_ready();
            }
            sleep(START_RETRY_INTERVAL).await;
        }
    }
}
