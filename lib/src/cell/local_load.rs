//! Load of the jobs whose data lies in a cell's rack, and the room that is kept for them.
//!
//! Such jobs take several times as long elsewhere. They come in steps of many short tasks, so
//! that one meets enough free places only where the rack is kept well below its room.

use crate::prelude::*;

/// Span over which arrivals are counted, in ms: two spans bridge the gaps between jobs of a
/// rack that is asked for once a second.
const SPAN_MS: u64 = 1_000;
/// Room kept for the load as it comes, in thousandths: as much again for the next step.
const KEPT_MILLI: u64 = 2_000;
/// Share of the room that is kept in any case, in thousandths: the first jobs of a rack that
/// was not asked for.
const LEAST_MILLI: u64 = 80;

/// Work that has come for a rack's data.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalLoad {
    began_at: ClockTime,
    /// Work of the present span and of the one before, in ms of thousandths of a core.
    work: u64,
    former_work: u64,
}

impl LocalLoad {
    /// Takes work that has come, in ms of thousandths of a core.
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

    /// Processor that the load takes on average, in thousandths of a core.
    pub(crate) fn mean_cpu(&self, now: ClockTime) -> u64 {
        let load = self.at(now);
        let left_ms = SPAN_MS - now.since_ms(load.began_at).min(SPAN_MS);
        (load.work + load.former_work * left_ms / SPAN_MS) / SPAN_MS
    }

    /// Processor to keep for it of `cpu` in all.
    pub(crate) fn reserved_cpu(&self, cpu: u64, now: ClockTime) -> u64 {
        let kept = self.mean_cpu(now) * KEPT_MILLI / 1000;
        kept.clamp(cpu * LEAST_MILLI / 1000, cpu)
    }
}
