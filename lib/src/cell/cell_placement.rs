//! Placement: chooses an endpoint for a task.
//!
//! A task goes to the slowest endpoint that still ends it in time, which leaves fast endpoints
//! to tasks with less slack. If none does, it goes where it ends soonest; that may be a busy
//! endpoint, and then the task waits until enough resources are free there.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::{
    cell::{
        endpoint_state::EndpointState,
        job_offer::{JobStep, ResourceAmount, TaskRef},
        placement_timeline::{EndpointRoom, PlacementTimeline},
    },
    prelude::*,
};

/// Margin between the predicted end and the due time, in ms: the latency of the answer.
const DUE_MARGIN_MS: u64 = 15;
/// Penalty for each whole core left free, in ms: small, so that best fit decides only between
/// endpoints of nearly the same speed.
const LEFTOVER_MS: u64 = 1;
/// Least gain of waiting for a busy endpoint, in ms: predictions are no more exact.
const WAIT_GAIN_MS: u64 = 12;

/// A waiting task and what its placement depends on.
pub(crate) struct PlacementRequest<'a> {
    /// The task.
    pub(crate) task: TaskRef,
    /// Its step.
    pub(crate) step: &'a JobStep,
    /// Run time on an average endpoint, in ms.
    pub(crate) typical_ms: u64,
    /// When its job should end.
    pub(crate) due_at: ClockTime,
    /// Endpoint on which it failed last.
    pub(crate) avoid: Option<&'a EndpointName>,
}

impl PlacementRequest<'_> {
    /// Predicted run time on an endpoint, in ms.
    fn predicted_ms(&self, room: &EndpointRoom) -> u64 {
        (self.typical_ms * room.factor_milli / 1000).max(1)
    }

    /// Whether the task may run on an endpoint that accepts starts.
    fn allows(&self, name: &EndpointName, endpoint: &EndpointState) -> bool {
        self.avoid != Some(name) && is_eligible(self, endpoint)
    }
}

/// Where a task should go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PlacementChoice {
    /// To the endpoint of this index now, with this predicted run time in ms.
    Start(usize, u64),
    /// To this endpoint once enough resources are free there.
    Wait(AwaitedEndpoint),
    /// No endpoint is available yet.
    Nowhere,
}

/// A busy endpoint on which a task is expected to fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AwaitedEndpoint {
    /// Its index.
    pub(crate) index: usize,
    /// Expected time until the task fits, in ms.
    pub(crate) starts_in_ms: u64,
    /// Expected time until the task has ended, in ms.
    pub(crate) end_ms: u64,
    /// What is expected to be free beside the task when it starts.
    pub(crate) spare: ResourceAmount,
}

/// Endpoints that the tasks of a step may wait for. They have the same demand, so that one list
/// per step and pass is enough.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitList {
    step: Option<u32>,
    /// The one on which a task would end soonest comes last.
    awaited: Vec<AwaitedEndpoint>,
    /// Whether the tasks fit nowhere.
    is_blocked: bool,
}

impl WaitList {
    /// Lists the busy endpoints without a waiter.
    fn build(
        &mut self,
        request: &PlacementRequest<'_>,
        endpoints: &IndexMap<EndpointName, EndpointState>,
        timeline: &PlacementTimeline,
        now: ClockTime,
    ) {
        let demand = &request.step.demand;
        let mut ends = Vec::new();
        self.step = Some(request.task.step);
        self.is_blocked = false;
        self.awaited.clear();
        for (index, (room, endpoint)) in timeline.rooms().iter().zip(endpoints.values()).enumerate()
        {
            if !room.accepts_starts
                || room.has_waiter()
                || room.free.fits(demand)
                || !is_eligible(request, endpoint)
            {
                continue;
            }
            let fits_in_ms = endpoint.fits_in_ms(demand, &mut ends, now);
            let Some((starts_in_ms, free)) = fits_in_ms else { continue };
            let end_ms = starts_in_ms + request.predicted_ms(room);
            let spare = free.minus(demand);
            self.awaited.push(AwaitedEndpoint { index, starts_in_ms, end_ms, spare });
        }
        self.awaited.sort_by_key(|it| Reverse(it.end_ms));
    }

    /// Position of the endpoint on which a task would end soonest.
    fn position(
        &self,
        request: &PlacementRequest<'_>,
        endpoints: &IndexMap<EndpointName, EndpointState>,
    ) -> Option<usize> {
        let name_of = |it: &AwaitedEndpoint| Some(endpoints.get_index(it.index)?.0);
        self.awaited.iter().rposition(|it| request.avoid.is_none() || request.avoid != name_of(it))
    }
}

/// Chooses the endpoint of a task beside the reservations of tasks of higher rank.
pub(crate) fn choose_endpoint(
    request: &PlacementRequest<'_>,
    endpoints: &IndexMap<EndpointName, EndpointState>,
    timeline: &PlacementTimeline,
    waits: &mut WaitList,
    now: ClockTime,
) -> PlacementChoice {
    let demand = &request.step.demand;
    // Among endpoints that end it in time: the slowest, then the one with the least left free.
    let mut in_time: Option<(u64, u64, usize)> = None;
    let mut soonest: Option<(u64, u64, usize)> = None;
    let is_blocked = waits.is_blocked && waits.step == Some(request.task.step);
    let rooms = timeline.rooms().iter().zip(endpoints).enumerate();
    for (index, (room, (name, endpoint))) in rooms.filter(|_| !is_blocked) {
        if !room.accepts_starts
            || room.is_slow_and_busy
            || !room.free.fits(demand)
            || !request.allows(name, endpoint)
        {
            continue;
        }
        let predicted_ms = request.predicted_ms(room);
        if !room.admits(request.task.job, demand, predicted_ms) {
            continue;
        }
        let left = leftover(&room.free, demand);
        let end_ms = predicted_ms + left * LEFTOVER_MS;
        if soonest.is_none_or(|(known, ..)| end_ms < known) {
            soonest = Some((end_ms, predicted_ms, index));
        }
        let is_in_time = now.plus_ms(predicted_ms + DUE_MARGIN_MS) <= request.due_at;
        let rank = (predicted_ms, u64::MAX - left);
        if is_in_time && in_time.is_none_or(|(ms, full, _)| (ms, full) < rank) {
            in_time = Some((rank.0, rank.1, index));
        }
    }
    if let Some((predicted_ms, _, index)) = in_time {
        return PlacementChoice::Start(index, predicted_ms);
    }
    if waits.step != Some(request.task.step) {
        waits.build(request, endpoints, timeline, now);
    }
    // A task that avoids an endpoint does not show that its siblings fit nowhere.
    waits.is_blocked = is_blocked || (soonest.is_none() && request.avoid.is_none());
    let position = waits.position(request, endpoints);
    match (soonest, position) {
        (None, Some(position)) => PlacementChoice::Wait(waits.awaited.remove(position)),
        (Some((end_ms, ..)), Some(position))
            if waits.awaited[position].end_ms + WAIT_GAIN_MS < end_ms =>
        {
            PlacementChoice::Wait(waits.awaited.remove(position))
        }
        (Some((_, predicted_ms, index)), _) => PlacementChoice::Start(index, predicted_ms),
        (None, None) => PlacementChoice::Nowhere,
    }
}

/// Number of whole cores that a task would leave free.
fn leftover(free: &ResourceAmount, demand: &ResourceAmount) -> u64 {
    free.cpu.saturating_sub(demand.cpu) / 1000
}

fn is_eligible(request: &PlacementRequest<'_>, endpoint: &EndpointState) -> bool {
    if let Some(label) = &request.step.label
        && !endpoint.record.labels.contains(label)
    {
        return false;
    }
    let Some(max) = request.step.max_on_endpoint else { return true };
    let is_sibling = |it: &&TaskRef| it.job == request.task.job && it.step == request.task.step;
    endpoint.runs.keys().filter(is_sibling).count() < max as usize
}

/// Whether any endpoint of the cell could run the step when idle.
pub(crate) fn can_ever_fit(
    step: &JobStep,
    endpoints: &IndexMap<EndpointName, EndpointState>,
) -> bool {
    endpoints.values().filter(|it| it.departed_at.is_none()).any(|it| {
        let has_label = step.label.as_ref().is_none_or(|label| it.record.labels.contains(label));
        has_label && it.record.capacity.fits(&step.demand)
    })
}
