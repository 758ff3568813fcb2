//! Load of jobs whose data is in the cell's rack, and the CPU reserved for them.
//!
//! Such jobs take several times as long elsewhere. Their steps have many short tasks, which
//! find enough free CPU at once only if the rack is kept well below its capacity.

use crate::prelude::*;

/// Window over which arriving work is counted, in ms: two windows bridge the gaps between
/// jobs of a rack that gets one a second.
const SPAN_MS: u64 = 1_000;
/// Reserve in thousandths of the mean load: as much again for the next step.
const RESERVE_MILLI: u64 = 2_000;
/// Minimum reserve in thousandths of the capacity, for the first jobs after an idle time.
const MIN_RESERVE_MILLI: u64 = 80;

/// Work of arriving jobs with data in the rack, over a sliding window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalLoad {
    began_at: ClockTime,
    /// Work of the current and the previous window, in ms times thousandths of a core.
    work: u64,
    former_work: u64,
}

impl LocalLoad {
    /// Adds the work of an arriving job, in ms times thousandths of a core.
    pub(crate) fn add(&mut self, work: u64, now: ClockTime) {
        *self = self.at(now);
        self.work += work;
    }

    fn at(&self, now: ClockTime) -> LocalLoad {
        match now.since_ms(self.began_at) / SPAN_MS {
            0 => *self,
            1 => LocalLoad {
                began_at: self.began_at.plus_ms(SPAN_MS),
                work: 0,
                former_work: self.work,
            },
            _ => LocalLoad { began_at: now, work: 0, former_work: 0 },
        }
    }

    /// Mean CPU use of this load, in thousandths of a core.
    pub(crate) fn mean_cpu(&self, now: ClockTime) -> u64 {
        let load = self.at(now);
        let left_ms = SPAN_MS - now.since_ms(load.began_at).min(SPAN_MS);
        (load.work + load.former_work * left_ms / SPAN_MS) / SPAN_MS
    }

    /// CPU to reserve for this load out of a capacity of `cpu`, in thousandths of a core.
    pub(crate) fn reserved_cpu(&self, cpu: u64, now: ClockTime) -> u64 {
        let reserved = self.mean_cpu(now) * RESERVE_MILLI / 1000;
        reserved.clamp(cpu * MIN_RESERVE_MILLI / 1000, cpu)
    }
}
