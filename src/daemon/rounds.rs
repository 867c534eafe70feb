//! What an entry VM does again and again: ticks, heartbeats, and reading from the platform.

use super::Daemon;
use crate::{
    config::PlatformSettings,
    coordination::{configuration::ConfigRow, members::MemberInfo},
    protocol::peers::Beat,
    state::id::{ConfigVersion, VmName},
    state::pool::WorkerInfo,
    transport::{
        peers::{Known, PeerCall},
        platform::{Platform, PlatformError},
    },
};
use futures_util::future::join_all;
use rand::{Rng, seq::IndexedRandom};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(20);
/// Time between two sweeps of the core.
const SWEEP: Duration = Duration::from_secs(1);
/// One heartbeat in so many tells the teams' demand.
const DEMAND_EVERY: u64 = 10;
/// One round in so many also goes to other zones.
const FAR_EVERY: u64 = 10;
/// One round in so many tells the teams' demand to other zones.
const FAR_DEMAND_EVERY: u64 = 120;
/// Peers of other zones that get a heartbeat in one round, however many there are.
const FAR_PEERS: usize = 8;
/// Longest wait for what is read anew after a pause.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two tries to find a configuration at the start.
const START_RETRY: Duration = Duration::from_millis(200);

impl Daemon {
    /// Ticks the core until the process ends.
    pub async fn run_ticks(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            let now = self.now();
            self.drive(|daemon, out| daemon.core.tick(now, out));
        }
    }

    /// Sweeps the core until the process ends.
    pub async fn run_sweeps(self: Arc<Self>) {
        let mut ticks = interval(SWEEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            let now = self.now();
            self.drive(|daemon, out| daemon.core.sweep(now, out));
        }
    }

    /// Exchanges heartbeats until the process ends: with all zone peers each round, with some
    /// peers of other zones now and then.
    pub async fn run_heartbeats(self: Arc<Self>) {
        for round in 0u64.. {
            let jitter = rand::rng().random_range(0.8..1.2);
            sleep(self.settings.heartbeat().mul_f64(jitter)).await;
            let demand = round.is_multiple_of(DEMAND_EVERY);
            let far_demand = round.is_multiple_of(FAR_DEMAND_EVERY);
            for peer in self.round_peers(round) {
                let daemon = Arc::clone(&self);
                let near = peer.zone == self.settings.zone;
                // Only those that admit jobs need to know what is offered elsewhere.
                let demand = match near {
                    true => demand && self.core.is_dispatcher(&peer.vm),
                    false => far_demand,
                };
                self.runtime.spawn(async move { daemon.beat(&peer, demand).await });
            }
            if demand {
                self.core.decay_demand();
            }
        }
    }

    fn round_peers(&self, round: u64) -> Vec<MemberInfo> {
        self.core.with_members(|members| {
            let mut chosen: Vec<MemberInfo> = members.zone_peers().cloned().collect();
            if round.is_multiple_of(FAR_EVERY) {
                let far: Vec<&MemberInfo> =
                    members.peers().filter(|peer| peer.zone != self.settings.zone).collect();
                let some = far.choose_multiple(&mut rand::rng(), FAR_PEERS);
                chosen.extend(some.map(|peer| (*peer).clone()));
            }
            chosen
        })
    }

    fn own_beat(&self, to: &VmName, demand: bool) -> Beat {
        let (pulse, held) = self.core.peer_status(self.now(), to, demand);
        Beat { from: self.core.issuer().clone(), version: self.core.config_version(), pulse, held }
    }

    async fn beat(self: &Arc<Self>, peer: &MemberInfo, demand: bool) {
        let Ok(address) = peer.peers.parse::<SocketAddr>() else {
            return;
        };
        let beat = Box::new(self.own_beat(&peer.vm, demand));
        let answered = self.peers.call(address, |tx| PeerCall::Heartbeat(beat, tx)).await;
        match answered {
            Ok(theirs) => {
                self.take_beat(&theirs);
                self.level_config(address, theirs.version).await;
            }
            Err(e) if e.is_refused() => {
                let now = self.now();
                self.drive(|daemon, out| daemon.core.on_peer_lost(now, &peer.vm, out));
            }
            Err(_) => {}
        }
    }

    /// Learns from a peer's heartbeat.
    pub fn take_beat(self: &Arc<Self>, beat: &Beat) {
        let from = &beat.from;
        self.versions.lock().insert(from.vm.clone(), beat.version);
        let (now, pulse) = (self.now(), beat.pulse.clone());
        self.drive(|daemon, out| {
            daemon.core.on_heartbeat(now, &from.vm, from.incarnation, pulse, &beat.held, out);
        });
    }

    /// Answers a peer's heartbeat with one of our own.
    pub fn answer_beat(self: &Arc<Self>, beat: &Beat) -> Beat {
        self.take_beat(beat);
        self.own_beat(&beat.from.vm, beat.pulse.demand.is_some())
    }

    /// Brings the side with the lower version up to the other's.
    async fn level_config(self: &Arc<Self>, address: SocketAddr, theirs: ConfigVersion) {
        let ours = self.core.config();
        if theirs > ours.version {
            let known = self.peers.call(address, PeerCall::ReadConfig).await;
            if let Ok(known) = known {
                self.take_config(known.row);
            }
        } else if theirs < ours.version {
            let _ = self.peers.call(address, |tx| PeerCall::PushConfig(ours, tx)).await;
        }
    }

    /// Puts a configuration in force if its version is higher than the present one.
    pub fn take_config(self: &Arc<Self>, row: ConfigRow) -> bool {
        let taken = self.drive(|daemon, out| daemon.core.replace_config_if_newer(row, out));
        if taken {
            *self.config_since.lock() = std::time::Instant::now();
            self.spread_config();
        }
        taken
    }

    /// Pushes the configuration in force to every zone peer not known to have it.
    fn spread_config(self: &Arc<Self>) {
        let row = self.core.config();
        let behind: Vec<MemberInfo> = {
            let versions = self.versions.lock();
            let lags = |vm: &VmName| versions.get(vm).is_none_or(|known| *known < row.version);
            self.core
                .with_members(|m| m.zone_peers().filter(|peer| lags(&peer.vm)).cloned().collect())
        };
        self.push_config(&row, behind);
    }

    /// Pushes a configuration to these peers.
    pub(super) fn push_config(self: &Arc<Self>, row: &ConfigRow, peers: Vec<MemberInfo>) {
        for peer in peers {
            let Ok(address) = peer.peers.parse::<SocketAddr>() else {
                continue;
            };
            let (daemon, row) = (Arc::clone(self), row.clone());
            self.runtime.spawn(async move {
                let pushed = daemon.peers.call(address, |tx| PeerCall::PushConfig(row, tx)).await;
                if let Ok(version) = pushed {
                    daemon.versions.lock().insert(peer.vm, version);
                }
            });
        }
    }

    /// Reads from the platform until the process ends.
    pub async fn run_polls(self: Arc<Self>) {
        let poll = match &self.settings.platform {
            PlatformSettings::Service { poll_ms, .. } => Duration::from_millis(*poll_ms),
            PlatformSettings::Embedded { .. } => SWEEP,
        };
        let mut failing = false;
        loop {
            let jitter = rand::rng().random_range(0.75..1.25);
            sleep(poll.mul_f64(jitter)).await;
            let read = self.poll_once().await;
            match (&read, failing) {
                (Err(e), false) => log::warn!("platform: can't be read: {e}"),
                (Ok(()), true) => log::info!("platform: can be read again"),
                _ => {}
            }
            failing = read.is_err();
        }
    }

    async fn poll_once(self: &Arc<Self>) -> Result<(), PlatformError> {
        let known = self.core.config_version();
        if let Some(row) = self.platform.read_config(known).await? {
            self.take_config(row);
        }
        let members = self.platform.members().await?;
        let workers = self.platform.workers(&self.settings.zone).await?;
        self.take_lists(members, workers);
        Ok(())
    }

    fn take_lists(self: &Arc<Self>, members: Vec<MemberInfo>, workers: Vec<WorkerInfo>) {
        let now = self.now();
        {
            let mut lists = self.lists.write();
            if lists.members == members && lists.workers == workers {
                return;
            }
            let address = |w: &WorkerInfo| Some((w.name.clone(), w.address.parse().ok()?));
            // Tasks may still run on workers that have left the list.
            lists.addresses.extend(workers.iter().filter_map(address));
            lists.members = members.clone();
            lists.workers = workers.clone();
        }
        self.drive(|daemon, out| {
            daemon.core.on_member_list(now, members, out);
            daemon.core.on_worker_list(now, &workers, out);
        });
    }

    /// What this entry VM knows from the platform, for a peer.
    pub fn known(&self) -> Known {
        let lists = self.lists.read();
        Known {
            row: self.core.config(),
            members: lists.members.clone(),
            workers: lists.workers.clone(),
        }
    }

    /// Reads the configuration and the lists anew, from the platform or from a peer.
    pub(super) async fn recheck(self: &Arc<Self>) {
        let read = timeout(RECHECK_TIMEOUT, self.poll_once()).await;
        if matches!(read, Ok(Ok(()))) {
            return;
        }
        let peers: Vec<SocketAddr> = self.core.with_members(|members| {
            members.zone_peers().filter_map(|peer| peer.peers.parse().ok()).collect()
        });
        let _ = timeout(RECHECK_TIMEOUT, self.learn_from(&peers, true)).await;
    }

    /// Learns the configuration from these peers, and the lists if `lists`; returns whether any
    /// answered.
    async fn learn_from(self: &Arc<Self>, peers: &[SocketAddr], lists: bool) -> bool {
        let asked = peers.iter().map(|peer| self.peers.call(*peer, PeerCall::ReadConfig));
        let mut learned = false;
        for (address, known) in peers.iter().zip(join_all(asked).await) {
            let Ok(known) = known else { continue };
            learned = true;
            self.take_config(known.row);
            if lists {
                let workers = self.workers_known(*address, &known.members, known.workers);
                self.take_lists(known.members, workers);
            }
        }
        learned
    }

    /// The workers that a peer told us of, if it is in our zone; else those known here.
    fn workers_known(
        &self,
        peer: SocketAddr,
        members: &[MemberInfo],
        theirs: Vec<WorkerInfo>,
    ) -> Vec<WorkerInfo> {
        let is_peer = |m: &&MemberInfo| m.peers.parse() == Ok(peer);
        match members.iter().find(is_peer) {
            Some(member) if member.zone == self.settings.zone => theirs,
            _ => self.lists.read().workers.clone(),
        }
    }

    /// Finds the highest configuration there is to be found, before work is taken.
    pub async fn find_config(self: &Arc<Self>) {
        loop {
            let from_platform = self.poll_once().await.is_ok();
            let from_seeds = self.learn_from(&self.settings.seeds, !from_platform).await;
            let found = self.core.config_version() > ConfigVersion::default();
            if found && (from_platform || from_seeds) {
                join_all(self.round_peers(0).iter().map(|peer| self.beat(peer, true))).await;
                return self.set_ready();
            }
            sleep(START_RETRY).await;
        }
    }
}
