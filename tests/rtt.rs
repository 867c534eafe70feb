//! Request timeouts derived from the round-trip estimate.

use cranberrytray::state::rtt::RttEstimator;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Without a sample the timeout is the longest one.
#[test]
fn timeout_is_long_at_first() {
    assert_eq!(RttEstimator::default().timeout(), ms(150));
}

#[test]
fn timeout_follows_quick_answers() {
    let mut rtt = RttEstimator::default();
    (0..30).for_each(|_| rtt.observe(ms(2)));
    assert_eq!(rtt.timeout(), ms(30));
}

#[test]
fn timeout_follows_slow_answers() {
    let mut rtt = RttEstimator::default();
    (0..30).for_each(|_| rtt.observe(ms(2)));
    (0..30).for_each(|_| rtt.observe(ms(90)));
    assert!(rtt.timeout() >= ms(90), "{:?}", rtt.timeout());
}

/// Guards against timeouts that grow when some requests are never answered. The timeout stays at or
/// below half the longest one, so that an urgent task of 60 ms can still meet its objective of
/// 156 ms after a lost start request.
#[test]
fn timeout_stays_short_with_lost_answers() {
    let mut rtt = RttEstimator::default();
    for n in 0..200 {
        if n % 18 == 0 { rtt.observe_timeout() } else { rtt.observe(ms(2)) }
    }
    assert!(rtt.timeout() <= ms(75), "{:?}", rtt.timeout());
}

#[test]
fn timeout_is_bounded_when_nothing_answers() {
    let mut rtt = RttEstimator::default();
    (0..100).for_each(|_| rtt.observe_timeout());
    assert_eq!(rtt.timeout(), ms(150));
}
