//! Processor demand of the tasks that a cell runs, for the room that it reports.
//!
//! The free processor of a cell lies in fragments on many endpoints. Routers that count a
//! fragment smaller than a task as room offer jobs that then wait, while other cells have
//! endpoints that are free.

/// Weight of a started task in the mean, in thousandths: the mix of tasks changes within
/// seconds.
const SAMPLE_SHARE_MILLI: u64 = 20;

/// Mean processor demand of started tasks, in thousandths of a core; zero until one has started.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TypicalDemand {
    cpu: u64,
}

impl TypicalDemand {
    /// Records the processor demand of a started task.
    pub(crate) fn record_start(&mut self, cpu: u64) {
        self.cpu = match self.cpu {
            0 => cpu,
            former => (former * (1000 - SAMPLE_SHARE_MILLI) + cpu * SAMPLE_SHARE_MILLI) / 1000,
        };
    }

    /// The part of an endpoint's free processor that typical tasks can use.
    pub(crate) fn placeable_cpu(&self, free_cpu: u64) -> u64 {
        match self.cpu {
            0 => free_cpu,
            cpu => free_cpu / cpu * cpu,
        }
    }
}
