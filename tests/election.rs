//! Rules of the election of a zone's dispatcher, and which jobs wait for it.

use cranberrytray::{
    coordination::election::{
        Answer, Backoff, Decision, Fenced, FencedDecision, Rank, Rival, Round, is_standby,
        peers_of_round, should_await_dispatcher,
    },
    state::{shard::ShardCount, time::Moment},
};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rank(weight: u32, vm: &str) -> Rank {
    Rank::new(weight, vm.parse().unwrap())
}

/// First round of a VM of the middle rank whose zone lost its dispatcher.
fn round() -> Round {
    Round {
        rank: rank(300, "b"),
        number: 1,
        missing_for: ms(130),
        uptime: ms(60_000),
        is_able: true,
        has_targets: true,
        knows_peers: true,
        known_peers: 2,
        stronger_peers: 0,
        answers: vec![Answer { rank: rank(90, "c"), leaving: false }],
    }
}

#[test]
fn decide_strongest_vm_that_answers_becomes_dispatcher() {
    assert_eq!(round().decide(), Decision::Become);
    for stronger in [rank(500, "z"), rank(300, "a")] {
        let answers = vec![Answer { rank: stronger, leaving: false }];
        assert_eq!(Round { answers, ..round() }.decide(), Decision::Wait);
    }
}

#[test]
fn decide_leaving_vm_does_not_outrank() {
    let answers = vec![Answer { rank: rank(500, "a"), leaving: true }];
    assert_eq!(Round { answers, ..round() }.decide(), Decision::Become);
}

#[test]
fn decide_stronger_vm_that_never_becomes_dispatcher_is_passed_over() {
    let answers = vec![Answer { rank: rank(500, "a"), leaving: false }];
    assert_eq!(Round { answers, number: 8, ..round() }.decide(), Decision::Become);
}

#[test]
fn decide_new_process_first_looks_for_a_dispatcher() {
    assert_eq!(Round { uptime: ms(100), ..round() }.decide(), Decision::Wait);
}

#[test]
fn decide_vm_without_configuration_waits() {
    assert_eq!(
        Round { is_able: false, missing_for: ms(9_000), ..round() }.decide(),
        Decision::Wait
    );
}

#[test]
fn decide_isolated_vm_needs_another_zone_or_time() {
    let alone = Round { answers: Vec::new(), ..round() };
    assert_eq!(alone.decide(), Decision::BecomeIfConnected);
    assert_eq!(Round { missing_for: ms(2_600), ..alone }.decide(), Decision::Become);
}

#[test]
fn decide_vm_without_targets_waits_for_the_list() {
    let without = Round { has_targets: false, ..round() };
    assert_eq!(without.decide(), Decision::Wait);
    assert_eq!(Round { missing_for: ms(2_600), ..without }.decide(), Decision::Become);
}

/// All VMs of a site return at once and callers arrive before the first dispatcher is elected: the
/// jobs wait for it, as an election takes less time than the job has.
#[test]
fn await_dispatcher_all_vms_return_at_once() {
    for missing_for in [ms(0), ms(280), ms(600)] {
        assert!(should_await_dispatcher(missing_for, ms(0), ms(1_500)));
    }
}

/// A VM that can't reach its zone's dispatcher refuses at once instead of holding jobs until their
/// deadline.
#[test]
fn await_dispatcher_vm_is_cut_off() {
    assert!(!should_await_dispatcher(ms(1_000), ms(0), ms(1_500)));
}

#[test]
fn await_dispatcher_deadline_is_near() {
    assert!(!should_await_dispatcher(ms(100), ms(0), ms(80)));
}

/// Hundreds of VMs: only the strongest of each zone follow the list of targets, whatever their
/// number, as all of them would read some gigabytes from the store.
#[test]
fn standby_three_strongest_vms_of_a_zone() {
    let zone: Vec<Rank> = (0..60).map(|n| rank(500 - n / 4, &format!("vm-{n:02}"))).collect();
    let others = |me: &Rank| zone.iter().filter(|r| *r != me).cloned().collect::<Vec<_>>();
    let is_standby_of_one = |me: &&Rank| is_standby(me, others(me), ShardCount::ONE);
    let standby: Vec<&Rank> = zone.iter().filter(is_standby_of_one).collect();
    assert_eq!(standby, zone.iter().take(3).collect::<Vec<_>>());
    assert!(is_standby(&zone[0], Vec::new(), ShardCount::ONE));
}

/// Many shards: each has its dispatcher and one VM that can follow, so that the reads of the list
/// grow with the number of shards only.
#[test]
fn standby_two_strongest_vms_of_a_shard() {
    let shards = ShardCount::for_zone(1_000, 100);
    let shard: Vec<Rank> = (0..12).map(|n| rank(500 - n, &format!("vm-{n:02}"))).collect();
    let others = |me: &Rank| shard.iter().filter(|r| *r != me).cloned().collect::<Vec<_>>();
    let standby = shard.iter().filter(|me| is_standby(me, others(me), shards)).count();
    assert_eq!(standby, 2);
}

/// Guards against a dozen dispatchers of one zone: weak VMs that return first and have not read the
/// list of VMs believe that they are alone.
#[test]
fn decide_vm_that_has_not_read_the_list_of_vms_waits() {
    let early = Round { knows_peers: false, known_peers: 0, answers: Vec::new(), ..round() };
    assert_eq!(early.decide(), Decision::Wait);
    assert_eq!(Round { missing_for: ms(2_600), ..early }.decide(), Decision::Become);
}

#[test]
fn decide_weaker_vms_wait_longer() {
    let third = Round { stronger_peers: 2, answers: Vec::new(), known_peers: 0, ..round() };
    assert_eq!(third.decide(), Decision::Become);
    assert_eq!(Round { missing_for: ms(60), ..third.clone() }.decide(), Decision::Wait);
    assert_eq!(Round { uptime: ms(180), ..third.clone() }.decide(), Decision::Wait);
    let last = Round { stronger_peers: 60, missing_for: ms(500), ..third };
    assert_eq!(last.decide(), Decision::Become);
}

#[test]
fn peers_of_round_covers_a_large_zone() {
    let peers: Vec<u32> = (0..60).collect();
    let mut seen: Vec<u32> = Vec::new();
    for round in 1..=28 {
        let asked = peers_of_round(&peers, round);
        assert_eq!(asked.len(), 6);
        assert_eq!(asked[..4], [&0, &1, &2, &3]);
        seen.extend(asked);
    }
    assert!(peers.iter().all(|peer| seen.contains(peer)));
    assert_eq!(peers_of_round(&peers[..3], 7), [&0, &1, &2]);
    assert!(peers_of_round::<u32>(&[], 1).is_empty());
}

/// All VMs of a large zone return within half a second, and none of them gets an answer within its
/// first rounds: the strongest becomes dispatcher, and the others learn of it before they would.
#[test]
fn decide_all_vms_of_a_large_zone_return_at_once() {
    /// Length of a round and the pause after it.
    const ROUND: u64 = 150;
    /// Time after which all VMs know a new dispatcher.
    const ANNOUNCEMENT: u64 = 100;
    for seed in 0..50u64 {
        let starts: Vec<u64> = (0..20).map(|n: u64| (n * 7_919 + seed * 104_729) % 350).collect();
        let mut elected_at = None;
        for now in 0..2_000u64 {
            for (n, start) in starts.iter().enumerate() {
                let Some(age) = now.checked_sub(*start).filter(|age| age % ROUND == 149) else {
                    continue;
                };
                let round = Round {
                    number: (age / ROUND) as u32 + 1,
                    missing_for: ms(age),
                    uptime: ms(age),
                    known_peers: 19,
                    stronger_peers: n,
                    answers: Vec::new(),
                    ..round()
                };
                if round.decide() == Decision::Wait {
                    continue;
                }
                let first = *elected_at.get_or_insert(now);
                assert!(now <= first + ANNOUNCEMENT, "seed {seed}: VM {n} at {now}, first {first}");
            }
            if elected_at.is_some_and(|at| now > at + ANNOUNCEMENT) {
                break;
            }
        }
        let elected_at = elected_at.unwrap();
        assert!(elected_at <= 700, "seed {seed}: elected at {elected_at}");
    }
}

#[test]
fn yields_to_one_of_two_dispatchers() {
    let rival =
        |epoch, weight, port| Rival { epoch, weight, address: ([10, 0, 0, 1], port).into() };
    let cases = [
        ("later", rival(100, 500, 1), rival(120, 90, 2)),
        ("stronger, elected at about the same time", rival(103, 90, 1), rival(100, 500, 2)),
        ("later, equally strong", rival(100, 500, 2), rival(101, 500, 1)),
        ("equal but for the address", rival(100, 500, 1), rival(100, 500, 2)),
    ];
    for (name, loser, winner) in cases {
        assert!(loser.yields_to(&winner), "{name}");
        assert!(!winner.yields_to(&loser), "{name}");
    }
}

/// A new dispatcher whose clock is behind meets targets that know its predecessor's token.
fn fenced() -> Fenced {
    Fenced { age: ms(50), since_raise: None, was_accepted: false }
}

#[test]
fn fenced_young_dispatcher_raises_its_token() {
    assert_eq!(fenced().decide(), FencedDecision::Raise);
    let again = |since| Fenced { since_raise: Some(since), ..fenced() }.decide();
    assert_eq!(again(ms(20)), FencedDecision::Ignore);
    assert_eq!(again(ms(70)), FencedDecision::Raise);
}

#[test]
fn fenced_old_dispatcher_steps_down() {
    assert_eq!(Fenced { age: ms(2_500), ..fenced() }.decide(), FencedDecision::StepDown);
}

/// Two dispatchers elected within two seconds raised their tokens in turn for a second, and tasks
/// ran twice.
#[test]
fn fenced_where_its_token_was_accepted_steps_down() {
    let owner = Fenced { was_accepted: true, ..fenced() };
    assert_eq!(owner.decide(), FencedDecision::StepDown);
    let raised = |since| Fenced { since_raise: Some(since), ..owner }.decide();
    assert_eq!(raised(ms(100)), FencedDecision::Ignore, "the request may be older than the raise");
    assert_eq!(raised(ms(200)), FencedDecision::StepDown);
}

/// Two VMs that don't find each other, but the targets: each change of dispatcher stops all runs, so the
/// changes become rare.
#[test]
fn backoff_grows_while_two_vms_replace_each_other() {
    let end = Moment::new(ms(160_000));
    let mut now = Moment::new(ms(100_000));
    let mut backoffs = [Backoff::default(); 2];
    let mut changes = 0;
    while now < end {
        let replaced = changes % 2;
        backoffs[replaced].on_replaced(now);
        while !backoffs[replaced].is_over(now) {
            now = now + ms(1);
        }
        // A round of the election, until the other one learns of it.
        now = now + ms(200);
        changes += 1;
    }
    assert!(changes <= 20, "{changes} in a minute");
}

/// Guards against a shard that stays without a dispatcher since the only VM left was replaced before.
#[test]
fn backoff_ends_within_four_seconds() {
    let mut backoff = Backoff::default();
    let mut now = Moment::new(ms(100_000));
    assert_eq!(backoff.on_replaced(now), ms(0), "both of two new dispatchers may step down");
    let pauses: Vec<Duration> = (0..5)
        .map(|_| {
            let pause = backoff.on_replaced(now);
            let almost = now + (pause - ms(1));
            assert!(!backoff.is_over(almost) && backoff.is_over(now + pause));
            now = now + pause + ms(4_000);
            pause
        })
        .collect();
    assert_eq!(pauses, [1, 2, 4, 4, 4].map(Duration::from_secs));
    assert_eq!(backoff.on_replaced(now + ms(10_000)), ms(0), "it was dispatcher for long");
}

/// Guards against a VM that doesn't follow up on the loss of a dispatcher that it has found.
#[test]
fn backoff_is_over_once_a_dispatcher_is_found() {
    let mut backoff = Backoff::default();
    let now = Moment::new(ms(100_000));
    backoff.on_replaced(now);
    backoff.on_replaced(now);
    backoff.on_dispatcher_found(now + ms(300));
    assert!(backoff.is_over(now + ms(300)));
    assert_eq!(backoff.on_replaced(now + ms(900)), ms(2_000));
}
