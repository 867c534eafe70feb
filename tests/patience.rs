//! Request timeouts derived from the round-trip estimate.

use cranberrytray::state::patience::Patience;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Without a sample the timeout is the longest one.
#[test]
fn limit_is_long_at_first() {
    assert_eq!(Patience::default().limit(), ms(150));
}

#[test]
fn limit_follows_quick_answers() {
    let mut patience = Patience::default();
    (0..30).for_each(|_| patience.answered(ms(2)));
    assert_eq!(patience.limit(), ms(30));
}

#[test]
fn limit_follows_slow_answers() {
    let mut patience = Patience::default();
    (0..30).for_each(|_| patience.answered(ms(2)));
    (0..30).for_each(|_| patience.answered(ms(90)));
    assert!(patience.limit() >= ms(90), "{:?}", patience.limit());
}

/// Guards against timeouts that grow when some requests are never answered. The timeout stays at or
/// below half the longest one, so that an urgent task of 60 ms can still meet its objective of
/// 156 ms after a lost start request.
#[test]
fn limit_stays_short_with_lost_answers() {
    let mut patience = Patience::default();
    for n in 0..200 {
        if n % 18 == 0 { patience.missed() } else { patience.answered(ms(2)) }
    }
    assert!(patience.limit() <= ms(75), "{:?}", patience.limit());
}

#[test]
fn limit_is_bounded_when_nothing_answers() {
    let mut patience = Patience::default();
    (0..100).for_each(|_| patience.missed());
    assert_eq!(patience.limit(), ms(150));
}
