//! A token bucket that limits retries of tasks.
//!
//! Each first start adds a fraction of a token; a retry spends one. Retries therefore stay
//! a bounded share of the traffic even when every endpoint refuses.

/// Tokens added for each first start.
const TOKENS_PER_START: f64 = 0.1;
/// Capacity of the bucket.
const MAX_TOKENS: f64 = 100.0;
/// Tokens added each second, so that tasks are retried under a low load as well.
const TOKENS_PER_SECOND: f64 = 5.0;

/// Budget of retries; one token allows one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> RetryBudget {
        RetryBudget::default()
    }

    /// Adds tokens for a first start.
    pub fn credit_start(&mut self) {
        self.credit(TOKENS_PER_START);
    }

    /// Adds tokens for elapsed time, in ms.
    pub fn credit_time(&mut self, elapsed_ms: u64) {
        self.credit(TOKENS_PER_SECOND * elapsed_ms as f64 / 1000.0);
    }

    /// Spends one token; returns false if there is none.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether the budget allows a retry.
    pub fn has_retry(&self) -> bool {
        1.0 <= self.tokens
    }

    fn credit(&mut self, amount: f64) {
        self.tokens = (self.tokens + amount).min(MAX_TOKENS);
    }
}
