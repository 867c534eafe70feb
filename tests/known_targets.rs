//! Known targets, and whether the list of targets may be incomplete.

use cranberrytray::state::{
    fleet_config::{Label, PoolName},
    id::ZoneName,
    job_submission::MAX_TIME_TO_DEADLINE,
    known_targets::KnownTargets,
    resources::Resources,
    target::{TargetId, TargetIncarnation, TargetInfo},
    time::Moment,
};
use std::{net::SocketAddr, time::Duration};

fn at(ms: u64) -> Moment {
    Moment::new(Duration::from_millis(ms))
}

fn target(n: u16) -> TargetInfo {
    let zone: ZoneName = "zone".parse().unwrap();
    TargetInfo {
        id: TargetId::from(format!("t{n}")),
        incarnation: TargetIncarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + n)),
        pool: PoolName::from("pool"),
        zone,
        capacity: Resources::default(),
        kind: Label::from("a"),
        labels: vec![Label::from("a")],
        draining: false,
        cold_for: Duration::ZERO,
    }
}

fn count_targets(known: &KnownTargets) -> usize {
    known.targets().count()
}

/// Guards against dropping a live target: its entry expires while the store is unavailable and is
/// written again within two seconds of the store's return.
#[test]
fn on_list_read_keeps_expired_entries_for_a_while() {
    let mut known = KnownTargets::default();
    known.on_list_read(Some(vec![target(1), target(2)]), at(1_000));
    assert!(known.on_list_read(Some(vec![target(1)]), at(5_000)));
    assert_eq!(count_targets(&known), 2);
    known.on_list_read(None, at(7_400));
    assert_eq!(count_targets(&known), 2);
    assert!(known.on_list_read(None, at(7_600)));
    assert_eq!(count_targets(&known), 1);
}

#[test]
fn on_list_read_restores_an_entry_that_returns() {
    let mut known = KnownTargets::default();
    known.on_list_read(Some(vec![target(1)]), at(1_000));
    known.on_list_read(Some(vec![]), at(2_000));
    known.on_list_read(Some(vec![target(1)]), at(3_000));
    known.on_list_read(None, at(9_000));
    assert_eq!(count_targets(&known), 1);
}

#[test]
fn add_missing_adds_only_unknown_targets() {
    let mut known = KnownTargets::default();
    known.on_list_read(Some(vec![target(1)]), at(1_000));
    let stale = TargetInfo { draining: true, ..target(1) };
    assert!(known.add_missing(vec![stale, target(2)]));
    assert!(known.targets().all(|t| !t.draining));
    assert_eq!(count_targets(&known), 2);
    assert!(!known.add_missing(vec![target(2)]));
}

#[test]
fn is_complete_after_a_read_and_a_time_without_failures() {
    let mut known = KnownTargets::default();
    assert!(!known.is_complete(at(0)));
    known.on_list_read(Some(vec![target(1)]), at(1_000));
    assert!(!known.is_complete(at(900)));
    known.on_list_read(None, at(4_000));
    assert!(known.is_complete(at(3_900)));
    assert!(!known.is_complete(at(4_100)));
}

#[test]
fn is_complete_not_after_a_failed_read() {
    let mut known = KnownTargets::default();
    known.on_list_read(Some(vec![target(1)]), at(1_000));
    known.on_list_read_failed();
    known.on_list_read(None, at(4_000));
    assert!(!known.is_complete(at(3_900)));
}

/// Guards against a resumed job that runs twice: a target that doesn't reach the store is no longer
/// listed, and the lost dispatcher still had runs there.
#[test]
fn knows_targets_in_use_not_after_an_entry_was_dropped() {
    let max_run = Duration::from_millis(2_460);
    let mut known = KnownTargets::default();
    known.on_list_read(Some(vec![target(1), target(2)]), at(1_000));
    known.on_list_read(None, at(20_000));
    assert!(known.knows_targets_in_use(max_run));
    known.on_list_read(Some(vec![target(1)]), at(20_100));
    assert!(known.knows_targets_in_use(max_run), "the target is still known");
    known.on_list_read(None, at(24_900));
    assert_eq!(count_targets(&known), 1);
    assert!(known.is_complete(at(24_000)) && !known.knows_targets_in_use(max_run));
    known.on_list_read(None, at(27_100));
    assert!(!known.knows_targets_in_use(max_run));
    known.on_list_read(None, at(27_200));
    assert!(known.knows_targets_in_use(max_run));
}

/// A target that is back in the list is waited for no longer.
#[test]
fn knows_targets_in_use_after_a_return() {
    let max_run = Duration::from_millis(2_460);
    let mut known = KnownTargets::default();
    known.on_list_read(Some(vec![target(1)]), at(1_000));
    known.on_list_read(Some(vec![]), at(20_100));
    known.on_list_read(None, at(23_000));
    assert_eq!(count_targets(&known), 0);
    assert!(!known.knows_targets_in_use(max_run));
    known.on_list_read(Some(vec![target(1)]), at(23_100));
    assert!(known.knows_targets_in_use(max_run));
}

/// Guards against a resumed job that runs twice: a target drained, was cut off from the store and lost its
/// entry, while a run from before the draining went on there.
#[test]
fn knows_targets_in_use_not_after_a_draining_target_was_dropped() {
    let max_run = Duration::from_millis(2_460);
    let mut known = KnownTargets::default();
    let draining = TargetInfo { draining: true, ..target(2) };
    known.on_list_read(Some(vec![target(1), draining]), at(1_000));
    known.on_list_read(Some(vec![target(1)]), at(20_000));
    known.on_list_read(None, at(23_000));
    assert_eq!(count_targets(&known), 1);
    assert!(!known.knows_targets_in_use(max_run));
    known.on_list_read(None, at(27_000));
    assert!(!known.knows_targets_in_use(max_run));
    known.on_list_read(None, at(27_100));
    assert!(known.knows_targets_in_use(max_run));
}

/// Guards against the same where the entry was removed before this VM first read the list.
#[test]
fn knows_targets_in_use_only_after_reading_for_long_enough() {
    let max_run = Duration::from_millis(2_460);
    let mut known = KnownTargets::default();
    known.on_list_read(Some(vec![target(1)]), at(1_000));
    known.on_list_read(None, at(8_000));
    assert!(!known.knows_targets_in_use(max_run));
    known.on_list_read(None, at(8_100));
    assert!(known.knows_targets_in_use(max_run));
    known.on_list_read_failed();
    known.on_list_read(None, at(9_000));
    assert!(!known.knows_targets_in_use(max_run));
}

/// Guards against the same after a minute: a dropped target was forgotten before the longest run that may
/// have been started there had ended.
#[test]
fn knows_targets_in_use_not_before_the_longest_run_has_ended() {
    let max_run = MAX_TIME_TO_DEADLINE + Duration::from_millis(960);
    let mut known = KnownTargets::default();
    known.on_list_read(Some(vec![target(1), target(2)]), at(1_000));
    known.on_list_read(Some(vec![target(1)]), at(100_000));
    for read_at in (103_000..165_500).step_by(500) {
        known.on_list_read(None, at(read_at));
        assert!(!known.knows_targets_in_use(max_run), "{read_at} ms");
    }
    known.on_list_read(None, at(165_560));
    assert!(known.knows_targets_in_use(max_run));
}

/// Guards against the same where an entry was added and removed between two reads, so that this VM never
/// saw its target.
#[test]
fn knows_targets_in_use_not_after_a_pause_between_reads() {
    let max_run = Duration::from_millis(2_460);
    let lifetime = Duration::from_millis(4_500);
    let mut known = KnownTargets::default();
    let mut read = |ms| {
        known.expire_reads(lifetime, at(ms));
        known.on_list_read(None, at(ms));
        known.knows_targets_in_use(max_run)
    };
    assert!(![1_000, 5_500].map(&mut read).contains(&true));
    assert!(read(10_000), "no entry can be missed");
    assert!(!read(14_600));
    assert!(![18_000, 21_600].map(&mut read).contains(&true));
    assert!(read(21_700));
}
