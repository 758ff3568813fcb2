//! A wall clock that is monotonic within the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use yuccamux::prelude::ClockTime;

/// A clock that starts at the wall time and then follows the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    started_at: ClockTime,
    started: Instant,
}

impl WallClock {
    /// A clock that starts now.
    pub fn new() -> WallClock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock { started_at: ClockTime(since_epoch.as_millis() as u64), started: Instant::now() }
    }

    /// When the clock was started.
    pub fn started_at(&self) -> ClockTime {
        self.started_at
    }

    /// The time now.
    pub fn now(&self) -> ClockTime {
        self.started_at.plus_ms(self.started.elapsed().as_millis() as u64)
    }
}

impl Default for WallClock {
    fn default() -> WallClock {
        WallClock::new()
    }
}
