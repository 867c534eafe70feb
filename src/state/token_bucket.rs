//! Token buckets, which limit the rate of retries and of the tasks of a team.

use super::time::Moment;

/// A bucket that gains tokens at a steady rate, up to its capacity.
///
/// ```
/// use cranberrytray::state::{token_bucket::TokenBucket, time::Moment};
/// use std::time::Duration;
///
/// let mut bucket = TokenBucket::new(10.0, 2.0);
/// assert!(bucket.try_take(Moment::ZERO, 2.0));
/// assert!(!bucket.try_take(Moment::ZERO, 1.0));
/// assert!(bucket.try_take(Moment::ZERO + Duration::from_millis(100), 1.0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens gained per second.
    rate: f64,
    /// Largest number of tokens.
    capacity: f64,
    /// Number of tokens at `updated_at`; negative after a grant of more than the capacity.
    tokens: f64,
    updated_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second and holds at most `capacity`.
    pub fn new(rate: f64, capacity: f64) -> Self {
        TokenBucket { rate, capacity, tokens: capacity, updated_at: Moment::ZERO }
    }

    fn refill(&mut self, now: Moment) {
        let refilled = self.tokens + (now - self.updated_at).as_secs_f64() * self.rate;
        self.tokens = refilled.min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Changes the rate and the capacity; tokens above the new capacity are discarded.
    pub fn set_rate(&mut self, now: Moment, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Adds tokens, up to the capacity.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes `tokens` and returns true, or takes none and returns false if there are too few.
    ///
    /// A full bucket grants more than its capacity and its balance becomes negative, so that a
    /// large job is not refused for ever.
    pub fn try_take(&mut self, now: Moment, tokens: f64) -> bool {
        self.refill(now);
        if self.tokens < tokens.min(self.capacity) {
            return false;
        }
        self.tokens -= tokens;
        true
    }

    /// Returns true if [`TokenBucket::try_take`] would succeed.
    pub fn has(mut self, now: Moment, tokens: f64) -> bool {
        self.refill(now);
        self.tokens >= tokens.min(self.capacity)
    }

    /// Seconds from the last call of `try_take` until it would succeed.
    pub fn seconds_until(&self, tokens: f64) -> f64 {
        let missing = tokens.min(self.capacity) - self.tokens;
        if missing <= 0.0 { 0.0 } else { missing / self.rate.max(f64::MIN_POSITIVE) }
    }
}
