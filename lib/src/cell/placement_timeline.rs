//! Free resources of endpoints during a placement pass, and reservations for blocked tasks.
//!
//! A task that fits nowhere reserves the endpoint where it is expected to end soonest, from the
//! time at which it fits there. A task of a lower rank starts on a reserved endpoint only if it
//! ends before that time or fits beside the reserved demand. Every blocked task of a higher rank
//! holds a reservation (conservative backfilling). Reservations last for one placement pass; the
//! next one computes them again from the runs that are left.

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_placement::AwaitedEndpoint,
        endpoint_state::EndpointState,
        job_offer::{JobCode, ResourceAmount},
    },
    prelude::*,
};

/// Longest time ahead for which an endpoint is reserved, in ms. With the longest overrun of a
/// run whose end counts as known (250 ms), it bounds how long a reservation leaves room idle.
const MAX_AHEAD_MS: u64 = 500;

/// Endpoint that is kept for a blocked task from some time on.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    job: JobCode,
    /// Time until the task is expected to fit, in ms.
    starts_in_ms: u64,
    /// What is expected to be free beside it at that time.
    spare: ResourceAmount,
}

/// Room on an endpoint during a placement pass.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointRoom {
    /// Whether starts may be sent to it.
    pub(crate) accepts_starts: bool,
    /// Whether it is slow and has a run: one run at a time shows whether it has recovered.
    pub(crate) is_slow_and_busy: bool,
    /// Resources that no run uses.
    pub(crate) free: ResourceAmount,
    /// Its learned speed.
    pub(crate) factor_milli: u64,
    has_waiter: bool,
    reservation: Option<Reservation>,
}

impl EndpointRoom {
    fn new(endpoint: &EndpointState, now: ClockTime) -> EndpointRoom {
        EndpointRoom {
            accepts_starts: endpoint.accepts_starts(now),
            is_slow_and_busy: !endpoint.runs.is_empty() && endpoint.speed.is_slow(now),
            free: endpoint.free_resources(),
            factor_milli: endpoint.speed.factor_milli(now),
            has_waiter: false,
            reservation: None,
        }
    }

    /// Whether a task already waits for the endpoint, with or without a reservation.
    pub(crate) fn has_waiter(&self) -> bool {
        self.has_waiter
    }

    /// Whether a task may start on the endpoint now without delaying the one that reserved it.
    pub(crate) fn admits(&self, job: JobCode, demand: &ResourceAmount, predicted_ms: u64) -> bool {
        self.reservation.is_none_or(|it| {
            it.job == job || predicted_ms <= it.starts_in_ms || it.spare.fits(demand)
        })
    }
}

/// Rooms of a cell's endpoints in a placement pass, in the order of the endpoints.
#[derive(Clone, Debug)]
pub(crate) struct PlacementTimeline {
    rooms: Vec<EndpointRoom>,
}

impl PlacementTimeline {
    /// The rooms at the beginning of a pass.
    pub(crate) fn new(
        endpoints: &IndexMap<EndpointName, EndpointState>,
        now: ClockTime,
    ) -> PlacementTimeline {
        let rooms = endpoints.values().map(|it| EndpointRoom::new(it, now));
        PlacementTimeline { rooms: rooms.collect() }
    }

    /// The rooms, in the order of the endpoints.
    pub(crate) fn rooms(&self) -> &[EndpointRoom] {
        &self.rooms
    }

    /// Whether any endpoint accepts starts.
    pub(crate) fn accepts_starts(&self) -> bool {
        self.rooms.iter().any(|it| it.accepts_starts)
    }

    /// Maximum of each free resource over all endpoints that accept starts.
    ///
    /// A demand above it fits nowhere, which saves a check of each endpoint.
    pub(crate) fn max_free(&self) -> ResourceAmount {
        let usable = self.rooms.iter().filter(|it| it.accepts_starts);
        usable.fold(ResourceAmount::default(), |largest, it| largest.max(&it.free))
    }

    /// Records a task that waits for an endpoint; returns whether it reserves the endpoint. A
    /// task that waits too long to keep the endpoint for it waits without a reservation.
    pub(crate) fn reserve(&mut self, job: JobCode, awaited: &AwaitedEndpoint) -> bool {
        let room = &mut self.rooms[awaited.index];
        room.has_waiter = true;
        if MAX_AHEAD_MS < awaited.starts_in_ms {
            return false;
        }
        let AwaitedEndpoint { starts_in_ms, spare, .. } = *awaited;
        room.reservation = Some(Reservation { job, starts_in_ms, spare });
        true
    }

    /// Records a start; returns the time until the endpoint's reservation begins if it has one.
    /// A run that will not have ended by then uses some of what is free beside the reservation.
    pub(crate) fn record_start(
        &mut self,
        index: usize,
        demand: &ResourceAmount,
        predicted_ms: u64,
        endpoint: &EndpointState,
        now: ClockTime,
    ) -> Option<u64> {
        let room = &mut self.rooms[index];
        let EndpointRoom { has_waiter, reservation, .. } = *room;
        *room = EndpointRoom { has_waiter, reservation, ..EndpointRoom::new(endpoint, now) };
        let reservation = room.reservation.as_mut()?;
        if reservation.starts_in_ms < predicted_ms {
            reservation.spare = reservation.spare.minus(demand);
        }
        Some(reservation.starts_in_ms)
    }
}
