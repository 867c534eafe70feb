//! Rules of the election of a zone's dispatcher, without I/O.
//!
//! The VMs of a zone that has no dispatcher connect to each other in rounds. At the end of a round
//! each decides by [`Round::decide`] whether it becomes the dispatcher.

use crate::state::{id::VmName, shard::ShardCount, time::Moment};
use std::{cmp::Reverse, net::SocketAddr, time::Duration};

/// A VM does not become dispatcher for this long after its start, so that it first finds a
/// dispatcher that exists.
const START_GRACE: Duration = Duration::from_millis(120);
/// A VM that reaches no other one, has no targets listed or has not read the list of VMs becomes
/// dispatcher only after its zone was without one for this long: it is probably cut off, and the other VMs have a dispatcher.
const ISOLATION_GRACE: Duration = Duration::from_millis(2_500);
/// For each VM that comes before it by rank, a VM waits this much longer until it becomes
/// dispatcher. When all VMs of a zone return at once, connections take longer than a round on the
/// weak ones, which would all believe that they are alone.
const STAGGER: Duration = Duration::from_millis(40);
/// Longest wait for VMs that come before by rank.
const MAX_STAGGER: Duration = Duration::from_millis(480);
/// Rounds after which a VM becomes dispatcher although a VM of higher rank answers.
const MAX_ROUNDS_OUTRANKED: u32 = 8;

/// Number of VMs of a zone, the first by rank, that keep the list of targets up to date to take over
/// at any moment; each shard has at least one. Others read it when they are elected, since reads by all VMs would grow with the
/// product of VMs and targets.
const STANDBY_VMS: usize = 3;

/// Number of the strongest VMs of a zone that a VM connects to in each round.
const STRONGEST_PER_ROUND: usize = 4;
/// Number of other VMs that it connects to in a round.
const OTHERS_PER_ROUND: usize = 2;

/// Dispatchers whose epochs differ by at most this much, half a second, were elected at about the
/// same time. The one that stays is young enough to raise its fencing token.
const CONCURRENT_EPOCHS: u64 = 5;

/// A dispatcher that is younger than this may raise its fencing token; an older one was replaced.
const MAX_AGE_TO_RAISE: Duration = Duration::from_secs(2);
/// Shortest time between two raises of the fencing token.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(60);
/// Requests that were sent before a raise of the fencing token are answered within this time.
const OLD_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause of a VM that was replaced as dispatcher for the second time. It lasts several rounds of the
/// election, in which the VM usually finds the other dispatcher.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Longest pause of such a VM: its shard is without a dispatcher for as long if the other one is lost
/// meanwhile and no third VM may be elected.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// A replacement this long after the last pause counts as the first one again; more than the longest
/// pause of the other VM.
const BACKOFF_MEMORY: Duration = Duration::from_secs(10);

/// A zone that has been without a dispatcher for this long has VMs that can't elect one, since they
/// are cut off or have no configuration. An election takes a third of it.
const MAX_ELECTION_DURATION: Duration = Duration::from_millis(900);
/// A job is submitted to a dispatcher only if more than this is left until its deadline; the
/// shortest jobs take about as long.
pub const MIN_TIME_TO_RESUBMIT: Duration = Duration::from_millis(100);
/// Time after the submission of a job, or the loss of its dispatcher, during which it may still be
/// submitted to the next dispatcher of its zone.
pub const MAX_DISPATCHER_SEARCH: Duration = Duration::from_millis(1_200);

/// Order in which VMs become dispatcher: the one with the largest weight comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    weight: Reverse<u32>,
    vm: VmName,
}

impl Rank {
    /// Creates the rank of a VM with this weight.
    pub fn new(weight: u32, vm: VmName) -> Self {
        Rank { weight: Reverse(weight), vm }
    }
}

/// A VM of the zone that answered in a round.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Rank of the VM.
    pub rank: Rank,
    /// Whether the VM is about to exit.
    pub leaving: bool,
}

/// What a VM knows at the end of a round in which it found no dispatcher.
#[derive(Clone, Debug)]
pub struct Round {
    /// Rank of this VM.
    pub rank: Rank,
    /// Number of the round, from 1.
    pub number: u32,
    /// Time since the zone lost its dispatcher, or since this VM began to search for one.
    pub missing_for: Duration,
    /// Time since the start of this VM's process.
    pub uptime: Duration,
    /// Whether this VM can dispatch: it has a configuration, is not leaving and its [`Backoff`] is over.
    pub is_able: bool,
    /// Whether this VM knows targets of the zone.
    pub has_targets: bool,
    /// Whether this VM has read the list of VMs, from the platform or from a peer.
    pub knows_peers: bool,
    /// Number of other VMs that are known in the zone.
    pub known_peers: usize,
    /// Number of these that come before this VM by rank, without the dispatcher that was lost.
    pub stronger_peers: usize,
    /// VMs of the zone that answered.
    pub answers: Vec<Answer>,
}

/// What a VM does after a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It begins the next round.
    Wait,
    /// It becomes dispatcher if it reaches a VM of another zone, since it is cut off otherwise.
    BecomeIfConnected,
    /// It becomes dispatcher.
    Become,
}

impl Round {
    /// Decides what this VM does after the round.
    pub fn decide(&self) -> Decision {
        let waits_out_isolation = self.missing_for < ISOLATION_GRACE;
        let stagger = STAGGER.saturating_mul(self.stronger_peers as u32).min(MAX_STAGGER);
        let is_early = self.missing_for < stagger || self.uptime < START_GRACE + stagger;
        let is_informed = self.has_targets && self.knows_peers;
        if !self.is_able || is_early || !is_informed && waits_out_isolation {
            return Decision::Wait;
        }
        let outranks = |answer: &Answer| !answer.leaving && answer.rank < self.rank;
        if self.answers.iter().any(outranks) && self.number < MAX_ROUNDS_OUTRANKED {
            return Decision::Wait;
        }
        let is_isolated = self.answers.is_empty() && self.known_peers > 0;
        if is_isolated && waits_out_isolation {
            return Decision::BecomeIfConnected;
        }
        Decision::Become
    }
}

/// Selects the VMs that a VM without a dispatcher connects to in a round: the strongest of its zone,
/// one of which usually dispatches, and some others, which change from round to round and may know
/// the dispatcher. `peers` are the VMs of the zone, the strongest first.
pub fn peers_of_round<P>(peers: &[P], round: u32) -> Vec<&P> {
    let (strongest, others) = peers.split_at(peers.len().min(STRONGEST_PER_ROUND));
    let first = round as usize * OTHERS_PER_ROUND % others.len().max(1);
    let others = others.iter().cycle().skip(first).take(others.len().min(OTHERS_PER_ROUND));
    strongest.iter().chain(others).collect()
}

/// Whether a VM is one of those that take over first. `others` are the other known VMs that may be
/// elected for its shard, `shards` the number of shards of the zone. The strongest usually dispatches.
pub fn is_standby<I>(rank: &Rank, others: I, shards: ShardCount) -> bool
where
    I: IntoIterator<Item = Rank>,
{
    let standbys = match shards {
        ShardCount::ONE => STANDBY_VMS,
        shards => 1 + STANDBY_VMS.div_ceil(usize::from(shards.get())),
    };
    others.into_iter().filter(|other| other < rank).count() < standbys
}

/// A dispatcher of a zone that has two, as both see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rival {
    /// Epoch in which the VM became dispatcher, in tenths of a second.
    pub epoch: u64,
    /// Weight of the VM.
    pub weight: u32,
    /// Address of the VM.
    pub address: SocketAddr,
}

impl Rival {
    /// Whether this dispatcher steps down for `other`. The later one stays, since it was elected
    /// because the earlier one was not reached; of two that were elected at about the same time, the
    /// one with the larger weight stays.
    pub fn yields_to(&self, other: &Rival) -> bool {
        if self.epoch.abs_diff(other.epoch) <= CONCURRENT_EPOCHS {
            (self.weight, self.epoch, self.address) < (other.weight, other.epoch, other.address)
        } else {
            self.epoch < other.epoch
        }
    }
}

/// What a dispatcher does after a target has rejected its fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencedDecision {
    /// It goes on: the rejected request probably carried an earlier token of its own.
    Ignore,
    /// It raises its token, since the clock that gave it may be behind that of a predecessor.
    Raise,
    /// It steps down, since another dispatcher has replaced it.
    StepDown,
}

/// A target's rejection of a dispatcher's fencing token.
#[derive(Clone, Copy, Debug)]
pub struct Fenced {
    /// Time since the VM became dispatcher.
    pub age: Duration,
    /// Time since it last raised its token; `None` if it never did.
    pub since_raise: Option<Duration>,
    /// Whether the target had accepted a request of this dispatcher before.
    pub was_accepted: bool,
}

impl Fenced {
    /// Decides what the dispatcher does. A target that had accepted its token was taken over by
    /// another dispatcher since: if both raised their tokens in turn, each would start tasks on
    /// targets that the other believes to own.
    pub fn decide(&self) -> FencedDecision {
        let pause = if self.was_accepted { OLD_REQUEST_TIMEOUT } else { MIN_RAISE_INTERVAL };
        if self.since_raise.is_some_and(|since| since < pause) {
            FencedDecision::Ignore
        } else if self.was_accepted || self.age >= MAX_AGE_TO_RAISE {
            FencedDecision::StepDown
        } else {
            FencedDecision::Raise
        }
    }
}

/// Exponential backoff of a VM that targets have told repeatedly that another dispatcher has replaced it.
/// Without it, two VMs that reach the targets but not each other would replace each other all the time.
/// The first replacement begins no pause, since two VMs that are elected at once may both step down.
///
/// ```
/// use cranberrytray::{coordination::election::Backoff, state::time::Moment};
/// use std::time::Duration;
///
/// let mut backoff = Backoff::default();
/// let now = Moment::new(Duration::from_secs(60));
/// assert_eq!(backoff.on_replaced(now), Duration::ZERO);
/// assert_eq!(backoff.on_replaced(now), Duration::from_secs(1));
/// assert!(!backoff.is_over(now));
/// backoff.on_dispatcher_found(now);
/// assert!(backoff.is_over(now));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    pause: Duration,
    /// End of the last pause; `None` before the first one.
    until: Option<Moment>,
}

impl Backoff {
    /// Begins a pause, twice as long as the last one unless that is long ago, and returns its length.
    pub fn on_replaced(&mut self, now: Moment) -> Duration {
        let is_repeated = self.until.is_some_and(|until| now - until < BACKOFF_MEMORY);
        self.pause = if is_repeated {
            (self.pause * 2).clamp(MIN_BACKOFF, MAX_BACKOFF)
        } else {
            Duration::ZERO
        };
        self.until = Some(now + self.pause);
        self.pause
    }

    /// Ends the pause, since this VM follows a dispatcher and notices its loss.
    pub fn on_dispatcher_found(&mut self, now: Moment) {
        self.until = self.until.map(|until| until.min(now));
    }

    /// Returns true once the VM may be elected again.
    pub fn is_over(&self, now: Moment) -> bool {
        self.until.is_none_or(|until| until <= now)
    }
}

/// Whether a job should wait for the election of its zone's dispatcher: the election is probably in
/// progress, and the job can still be run after it. `missing_for` is the time for which the zone
/// has been without a dispatcher, `waited` the time since the job was submitted.
pub fn should_await_dispatcher(
    missing_for: Duration,
    waited: Duration,
    time_to_deadline: Duration,
) -> bool {
    missing_for < MAX_ELECTION_DURATION
        && waited < MAX_DISPATCHER_SEARCH
        && time_to_deadline > MIN_TIME_TO_RESUBMIT
}
