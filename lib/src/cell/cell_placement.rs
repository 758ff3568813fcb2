//! Placement: chooses an endpoint for a task.
//!
//! A task goes to the slowest endpoint that still ends it in time, which leaves fast endpoints
//! to tasks with less slack. If none does, it goes where it ends soonest; that may be a busy
//! endpoint, and then the task waits until enough resources are free there.

use indexmap::{IndexMap, IndexSet};

use crate::{
    cell::{
        endpoint_state::EndpointState,
        job_offer::{JobStep, ResourceAmount, TaskRef},
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

/// Where a task should go.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PlacementChoice {
    /// To this endpoint now, with this predicted run time in ms.
    Start(EndpointName, u64),
    /// To this endpoint once enough resources are free there.
    Wait(EndpointName),
    /// No endpoint is available yet.
    Nowhere,
}

/// Chooses the endpoint of a task; other tasks already wait for those in `reserved`.
pub(crate) fn choose_endpoint(
    request: &PlacementRequest<'_>,
    endpoints: &IndexMap<EndpointName, EndpointState>,
    reserved: &IndexSet<EndpointName>,
    now: ClockTime,
) -> PlacementChoice {
    // Among endpoints that end it in time: the slowest, then the one with the least left free.
    let mut in_time: Option<(u64, u64, &EndpointName, u64)> = None;
    let mut soonest: Option<(u64, &EndpointName, u64)> = None;
    let mut awaited: Option<(u64, &EndpointName)> = None;
    for (name, endpoint) in endpoints {
        if !endpoint.accepts_starts(now)
            || request.avoid == Some(name)
            || !is_eligible(request, endpoint)
        {
            continue;
        }
        let predicted_ms = (request.typical_ms * endpoint.speed.factor_milli(now) / 1000).max(1);
        let free = endpoint.free_resources();
        if !free.fits(&request.step.demand) {
            if !reserved.contains(name)
                && let Some(wait_ms) = endpoint.fits_in_ms(&request.step.demand, now)
            {
                let end_ms = wait_ms + predicted_ms;
                if awaited.is_none_or(|(known, _)| end_ms < known) {
                    awaited = Some((end_ms, name));
                }
            }
            continue;
        }
        if endpoint.speed.is_slow(now) && !endpoint.runs.is_empty() {
            // One run at a time shows whether it has recovered.
            continue;
        }
        let left = leftover(&free, &request.step.demand);
        let end_ms = predicted_ms + left * LEFTOVER_MS;
        if soonest.is_none_or(|(known, ..)| end_ms < known) {
            soonest = Some((end_ms, name, predicted_ms));
        }
        let is_in_time = now.plus_ms(predicted_ms + DUE_MARGIN_MS) <= request.due_at;
        let rank = (predicted_ms, u64::MAX - left);
        if is_in_time && in_time.is_none_or(|(ms, full, ..)| (ms, full) < rank) {
            in_time = Some((rank.0, rank.1, name, predicted_ms));
        }
    }
    if let Some((_, _, name, predicted_ms)) = in_time {
        return PlacementChoice::Start(name.clone(), predicted_ms);
    }
    match (soonest, awaited) {
        (Some((end_ms, ..)), Some((awaited_ms, name))) if awaited_ms + WAIT_GAIN_MS < end_ms => {
            PlacementChoice::Wait(name.clone())
        }
        (Some((_, name, predicted_ms)), _) => PlacementChoice::Start(name.clone(), predicted_ms),
        (None, _) => PlacementChoice::Nowhere,
    }
}

/// Maximum of each free resource over all endpoints that accept starts.
///
/// A demand above it fits nowhere, which saves a check of each endpoint.
pub(crate) fn max_free_resources(
    endpoints: &IndexMap<EndpointName, EndpointState>,
    now: ClockTime,
) -> ResourceAmount {
    let usable = endpoints.values().filter(|it| it.accepts_starts(now));
    usable.fold(ResourceAmount::default(), |largest, it| {
        let free = it.free_resources();
        ResourceAmount {
            cpu: largest.cpu.max(free.cpu),
            mem_mb: largest.mem_mb.max(free.mem_mb),
            gpu: largest.gpu.max(free.gpu),
        }
    })
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
