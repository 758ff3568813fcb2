//! Bounds of a deployment on how long runs go on, and the times that follow from them.

use crate::prelude::*;

/// Lease granted with starts and polls, in ms: it outlasts three lost polls.
const LEASE_MS: u64 = 800;
/// Largest share of the longest lease that is granted, in thousandths: an endpoint shortens a
/// lease beyond the longest one.
const LEASE_SHARE_MILLI: u64 = 800;
/// Slowest rate of an endpoint's monotonic clock relative to ours, in thousandths.
pub(crate) const CLOCK_RATE_MILLI: u64 = 980;
/// Margin on an endpoint's clock before its lease counts as expired, in ms: link delays.
pub(crate) const LAPSE_MARGIN_MS: u64 = 30;
/// Time from an acknowledged stop in addition to the deployment's bound, in ms: link delays.
const STOP_MARGIN_MS: u64 = 5;
/// Time before a caller's second copy at which the first one's runs are over, in ms. It covers
/// clock rates that differ by 2% over a lease and a poll, link delays, and the error of the time at
/// which an entry sent its keep-alive.
const RESEND_MARGIN_MS: u64 = 150;
/// Shortest time from the last keep-alive for which leases are granted, in ms: entries send
/// keep-alives every 300 ms, and polls renew leases every 260 ms.
const MIN_UNVOUCHED_MS: u64 = 600;

/// Bounds of a deployment on how long runs go on, in ms.
#[derive(Data!, Copy)]
pub struct RunBounds {
    /// Longest time from a stop until its run is over.
    pub stop_ms: u64,
    /// Longest lease that the deployment allows for.
    pub lease_ms: u64,
    /// Longest lease that an endpoint grants; a former leader may have granted it.
    pub max_hold_ms: u64,
    /// Time from the loss of a caller's connection until it may send its job again.
    pub resend_ms: u64,
    /// Longest time from the acknowledgement of a cancellation until the job's last start.
    pub cancel_ms: u64,
}

impl Default for RunBounds {
    /// Bounds of the product's own programs and of the tests.
    fn default() -> RunBounds {
        RunBounds {
            stop_ms: 50,
            lease_ms: 3_000,
            max_hold_ms: 1_000,
            resend_ms: 1_300,
            cancel_ms: 4_000,
        }
    }
}

impl RunBounds {
    /// Lease that starts and polls grant.
    pub(crate) fn granted_lease_ms(&self) -> u64 {
        let held_ms = self.max_hold_ms * LEASE_SHARE_MILLI / 1000;
        LEASE_MS.min(self.lease_ms).min(held_ms)
    }

    /// Longest time for which a lease can last, on the leader's clock.
    pub(crate) fn longest_lease_span_ms(&self) -> u64 {
        self.max_hold_ms * 1000 / CLOCK_RATE_MILLI + LAPSE_MARGIN_MS
    }

    /// Time from an acknowledged stop until the run has certainly ended, on the leader's clock.
    pub(crate) fn stop_span_ms(&self) -> u64 {
        self.stop_ms * 1000 / CLOCK_RATE_MILLI + STOP_MARGIN_MS
    }

    /// Time after which no run of a job is left whose entry has not confirmed that its caller
    /// waits: [`RESEND_MARGIN_MS`] before a second copy.
    pub(crate) fn runs_over_ms(&self) -> u64 {
        self.resend_ms.saturating_sub(RESEND_MARGIN_MS)
    }

    /// Time from a job's last keep-alive until the leases of its runs end; a run ends up to a stop's
    /// time after its lease.
    pub(crate) fn unvouched_ms(&self) -> u64 {
        self.runs_over_ms().saturating_sub(self.stop_ms)
    }

    /// Whether a caller's second copy leaves time for leases that outlast a late keep-alive.
    pub fn leave_time_for_leases(&self) -> bool {
        MIN_UNVOUCHED_MS <= self.unvouched_ms()
    }
}
