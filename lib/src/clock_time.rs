//! The clock type of the project: milliseconds since the Unix epoch.
//!
//! State machines never read a clock. They receive a [`ClockTime`] with each event.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// The time `span_ms` milliseconds later.
    pub fn plus_ms(self, span_ms: u64) -> ClockTime {
        ClockTime(self.0.saturating_add(span_ms))
    }

    /// The time `span_ms` milliseconds earlier.
    pub fn minus_ms(self, span_ms: u64) -> ClockTime {
        ClockTime(self.0.saturating_sub(span_ms))
    }

    /// Milliseconds from `earlier` to this time; zero when `earlier` is later.
    pub fn since_ms(self, earlier: ClockTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
