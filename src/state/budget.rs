//! Token buckets: the retry budget and the teams' quotas.

use super::time::Moment;

/// A bucket that fills at a steady rate up to a limit.
///
/// ```
/// use cranberrytray::state::{budget::Bucket, time::Moment};
/// use std::time::Duration;
///
/// let mut bucket = Bucket::new(10.0, 2.0);
/// assert!(bucket.take(Moment::ZERO, 2.0));
/// assert!(!bucket.take(Moment::ZERO, 1.0));
/// assert!(bucket.take(Moment::ZERO + Duration::from_millis(100), 1.0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    limit: f64,
    level: f64,
    at: Moment,
}

impl Bucket {
    /// A full bucket: `rate` tokens a second, at most `limit` tokens.
    pub fn new(rate: f64, limit: f64) -> Self {
        Bucket { rate, limit, level: limit, at: Moment::ZERO }
    }

    fn fill(&mut self, now: Moment) {
        let grown = self.level + (now - self.at).as_secs_f64() * self.rate;
        self.level = grown.min(self.limit);
        self.at = self.at.max(now);
    }

    /// Changes rate and limit, keeping the tokens that fit.
    pub fn retune(&mut self, now: Moment, rate: f64, limit: f64) {
        self.fill(now);
        self.rate = rate;
        self.limit = limit;
        self.level = self.level.min(limit);
    }

    /// Adds tokens.
    pub fn put(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.limit);
    }

    /// Takes `tokens` if there are as many. A demand above the limit is met by a full bucket,
    /// which then goes into debt, so that a large job is not refused for ever.
    pub fn take(&mut self, now: Moment, tokens: f64) -> bool {
        self.fill(now);
        if self.level < tokens.min(self.limit) {
            return false;
        }
        self.level -= tokens;
        true
    }

    /// Seconds until `take` would succeed.
    pub fn wait(&self, tokens: f64) -> f64 {
        let missing = tokens.min(self.limit) - self.level;
        if missing <= 0.0 { 0.0 } else { missing / self.rate.max(f64::MIN_POSITIVE) }
    }
}
