//! Expected free resources of endpoints over time, and reservations for blocked tasks.
//!
//! A task that fits nowhere reserves the endpoint where it is expected to end soonest, from the
//! time at which it fits there. A task of a lower rank starts on a reserved endpoint only if it
//! ends before that time or fits beside the reserved demand (EASY backfilling). Reservations
//! last for one placement pass; the next one computes them again from the runs that are left.

use indexmap::{IndexMap, IndexSet};

use crate::{
    cell::{
        cell_placement::AwaitedEndpoint,
        job_offer::{JobCode, ResourceAmount},
    },
    prelude::*,
};

/// Longest time ahead for which an endpoint is reserved, in ms. With the longest overrun of a
/// run whose end counts as known (250 ms), it bounds how long a reservation leaves room idle.
const MAX_AHEAD_MS: u64 = 500;
/// Number of demands by which remainders are rated: those of about a second.
const MAX_SAMPLES: usize = 32;
/// Number of new demands after which remainders are rated again.
const RATE_SAMPLES: usize = 8;
/// Number of sizes of a remainder that are told apart, up to the largest endpoint.
const N_SIZES: usize = 128;

/// Endpoint that is kept for a blocked task from some time on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    /// Job of the task.
    pub(crate) job: JobCode,
    /// Time until it is expected to fit, in ms.
    pub(crate) starts_in_ms: u64,
    /// What is expected to be free beside it at that time.
    pub(crate) spare: ResourceAmount,
}

/// Reservations of a placement pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementTimeline {
    reservations: IndexMap<EndpointName, Reservation>,
    /// Endpoints that tasks wait for without a reservation.
    awaited: IndexSet<EndpointName>,
}

impl PlacementTimeline {
    /// The reservations.
    pub(crate) fn reservations(&self) -> impl Iterator<Item = (&EndpointName, &Reservation)> {
        self.reservations.iter()
    }

    /// Number of reserved endpoints.
    pub(crate) fn n_reserved(&self) -> usize {
        self.reservations.len()
    }

    /// Whether a task already waits for the endpoint, with or without a reservation.
    pub(crate) fn has_waiter(&self, name: &EndpointName) -> bool {
        self.reservations.contains_key(name) || self.awaited.contains(name)
    }

    /// Records a task that waits for an endpoint without a reservation.
    pub(crate) fn add_waiter(&mut self, name: EndpointName) {
        self.awaited.insert(name);
    }

    /// Reserves an endpoint for a task that waits for it. A task that waits too long to keep the
    /// endpoint for it waits without a reservation.
    pub(crate) fn reserve(&mut self, job: JobCode, awaited: AwaitedEndpoint) {
        let AwaitedEndpoint { name, starts_in_ms, spare, .. } = awaited;
        if MAX_AHEAD_MS < starts_in_ms {
            self.add_waiter(name);
            return;
        }
        self.reservations.insert(name, Reservation { job, starts_in_ms, spare });
    }

    /// Time until the reservation of an endpoint begins, in ms.
    pub(crate) fn starts_in_ms(&self, name: &EndpointName) -> Option<u64> {
        Some(self.reservations.get(name)?.starts_in_ms)
    }

    /// Whether a task may start on the endpoint now without delaying the one that reserved it.
    pub(crate) fn admits(
        &self,
        name: &EndpointName,
        job: JobCode,
        demand: &ResourceAmount,
        predicted_ms: u64,
    ) -> bool {
        if self.reservations.is_empty() {
            return true;
        }
        self.reservations.get(name).is_none_or(|it| {
            it.job == job || predicted_ms <= it.starts_in_ms || it.spare.fits(demand)
        })
    }

    /// Records a start; returns whether the endpoint is reserved. A run that will not have ended
    /// when the reservation begins uses some of what is free beside it.
    pub(crate) fn record_start(
        &mut self,
        name: &EndpointName,
        demand: &ResourceAmount,
        predicted_ms: u64,
    ) -> bool {
        let Some(reservation) = self.reservations.get_mut(name) else { return false };
        if reservation.starts_in_ms < predicted_ms {
            reservation.spare = reservation.spare.minus(demand);
        }
        true
    }
}

/// Demands of recent jobs, and the CPU that remainders of each size are expected to waste.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandProfile {
    samples: Vec<u64>,
    next: usize,
    n_new: usize,
    /// Size of a remainder for each entry of `waste`, in thousandths of a core.
    unit: u64,
    waste: Vec<u64>,
}

impl DemandProfile {
    /// Records the demand of a job's task, on endpoints of up to `largest` CPU.
    pub(crate) fn record(&mut self, cpu: u64, largest: u64) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(cpu);
        } else {
            self.samples[self.next] = cpu;
        }
        self.next = (self.next + 1) % MAX_SAMPLES;
        self.n_new += 1;
        if RATE_SAMPLES <= self.n_new || self.largest() < largest {
            self.rate(largest);
        }
    }

    /// Rates remainders. A demand drawn from the recent ones either does not fit, and the
    /// remainder is wasted, or leaves a smaller remainder, which is rated already.
    fn rate(&mut self, largest: u64) {
        self.n_new = 0;
        self.unit = largest.div_ceil(N_SIZES as u64).max(1);
        self.waste.clear();
        let samples: Vec<usize> = self
            .samples
            .iter()
            .map(|it| usize::try_from(it.div_ceil(self.unit)).unwrap_or(usize::MAX).max(1))
            .collect();
        for size in 0..=N_SIZES {
            let cpu = size as u64 * self.unit;
            let wasted = |it: &usize| if size < *it { cpu } else { self.waste[size - it] };
            let total: u64 = samples.iter().map(wasted).sum();
            self.waste.push(total / samples.len().max(1) as u64);
        }
    }

    /// Size of the largest remainder that is rated, in thousandths of a core.
    pub(crate) fn largest(&self) -> u64 {
        self.unit * N_SIZES as u64
    }

    /// CPU that a remainder of `cpu` is expected to waste, in thousandths of a core.
    pub(crate) fn waste(&self, cpu: u64) -> u64 {
        if self.waste.is_empty() {
            return cpu;
        }
        let size = usize::try_from(cpu / self.unit).unwrap_or(usize::MAX);
        self.waste[size.min(self.waste.len() - 1)]
    }
}
