//! A budget for sending tasks again after a proof that they did not start.
//!
//! First starts earn a fraction of a retry each; a retry spends one. So retries stay
//! a bounded share of the traffic, also when every endpoint refuses.

/// Share of first starts that may be sent again.
const EARNED_PER_START: f64 = 0.1;
/// Most retries saved up.
const MAX_SAVED: f64 = 100.0;
/// Retries earned a second without any starts, so that a small load can go on.
const EARNED_PER_SECOND: f64 = 5.0;

/// Retries that may still be made.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> RetryBudget {
        RetryBudget::default()
    }

    /// Earns for a first start.
    pub fn credit_start(&mut self) {
        self.earn(EARNED_PER_START);
    }

    /// Earns for time passed, in ms.
    pub fn credit_time(&mut self, span_ms: u64) {
        self.earn(EARNED_PER_SECOND * span_ms as f64 / 1000.0);
    }

    /// Spends one retry, if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Whether a retry could be made.
    pub fn has_retry(&self) -> bool {
        1.0 <= self.saved
    }

    fn earn(&mut self, amount: f64) {
        self.saved = (self.saved + amount).min(MAX_SAVED);
    }
}
