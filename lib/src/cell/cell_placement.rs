//! Placement: chooses an endpoint for a task.
//!
//! A task goes to the slowest endpoint that still ends it in time, which leaves fast endpoints
//! to tasks with less slack. If none does, it goes where it ends soonest; that may be a busy
//! endpoint, and then the task waits until enough resources are free there. While tasks have to
//! wait, endpoints of like speed are chosen by the CPU that the task makes useless there.

use indexmap::IndexMap;

use crate::{
    cell::{
        endpoint_state::EndpointState,
        job_offer::{JobStep, ResourceAmount, TaskRef},
        placement_timeline::{DemandProfile, PlacementTimeline},
    },
    prelude::*,
};

/// Margin between the predicted end and the due time, in ms: the latency of the answer.
const DUE_MARGIN_MS: u64 = 15;
/// Penalty for each whole core left free, in ms: small, so that best fit decides only between
/// endpoints of nearly the same speed.
const LEFTOVER_MS: u64 = 1;
/// Endpoints count as equally fast if their predicted times differ by less than this many
/// thousandths of the longer one: learned factors of like endpoints differ by a few percent.
const LIKE_SPEED_MILLI: u64 = 100;
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
    /// By which demands the remainders of endpoints of like speed are compared, if they are.
    pub(crate) profile: Option<&'a DemandProfile>,
}

impl PlacementRequest<'_> {
    /// Predicted run time on an endpoint, in ms.
    fn predicted_ms(&self, endpoint: &EndpointState, now: ClockTime) -> u64 {
        (self.typical_ms * endpoint.speed.factor_milli(now) / 1000).max(1)
    }
}

/// Where a task should go.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PlacementChoice {
    /// To this endpoint now, with this predicted run time in ms.
    Start(EndpointName, u64),
    /// To this endpoint once enough resources are free there, which is sooner than elsewhere.
    Wait(AwaitedEndpoint),
    /// To this endpoint once enough resources are free there; it fits nowhere now.
    Blocked(AwaitedEndpoint),
    /// No endpoint is available yet.
    Nowhere,
}

/// An endpoint on which a task may start now.
#[derive(Clone, Copy)]
struct StartCandidate<'a> {
    name: &'a EndpointName,
    predicted_ms: u64,
    free: ResourceAmount,
    is_in_time: bool,
}

/// Chooses the endpoint of a task beside the reservations of tasks of higher rank.
pub(crate) fn choose_endpoint(
    request: &PlacementRequest<'_>,
    endpoints: &IndexMap<EndpointName, EndpointState>,
    timeline: &PlacementTimeline,
    now: ClockTime,
) -> PlacementChoice {
    let demand = &request.step.demand;
    let mut candidates = Vec::new();
    for (name, endpoint) in endpoints {
        let free = endpoint.free_resources();
        if !free.fits(demand) || !is_candidate(request, name, endpoint, now) {
            continue;
        }
        if endpoint.speed.is_slow(now) && !endpoint.runs.is_empty() {
            // One run at a time shows whether it has recovered.
            continue;
        }
        let predicted_ms = request.predicted_ms(endpoint, now);
        if !timeline.admits(name, request.task.job, demand, predicted_ms) {
            continue;
        }
        let is_in_time = now.plus_ms(predicted_ms + DUE_MARGIN_MS) <= request.due_at;
        candidates.push(StartCandidate { name, predicted_ms, free, is_in_time });
    }
    let in_time = candidates.iter().filter(|it| it.is_in_time);
    // Among endpoints that end it in time: the slowest, then the one with the least left free.
    let slowest =
        in_time.rev().max_by_key(|it| (it.predicted_ms, u64::MAX - leftover(&it.free, demand)));
    if let Some(chosen) = slowest {
        let chosen = best_remainder(request, chosen, &candidates);
        return PlacementChoice::Start(chosen.name.clone(), chosen.predicted_ms);
    }
    let end_ms =
        |it: &&StartCandidate<'_>| it.predicted_ms + leftover(&it.free, demand) * LEFTOVER_MS;
    let soonest = candidates.iter().min_by_key(end_ms);
    let awaited = choose_awaited(request, endpoints, timeline, now);
    match (soonest, awaited) {
        (Some(soonest), Some(awaited)) if awaited.end_ms + WAIT_GAIN_MS < end_ms(&soonest) => {
            PlacementChoice::Wait(awaited)
        }
        (Some(soonest), _) => {
            let chosen = best_remainder(request, soonest, &candidates);
            PlacementChoice::Start(chosen.name.clone(), chosen.predicted_ms)
        }
        (None, Some(awaited)) => PlacementChoice::Blocked(awaited),
        (None, None) => PlacementChoice::Nowhere,
    }
}

/// Among the candidates of like speed, the one where the task makes the least CPU useless.
fn best_remainder<'a>(
    request: &PlacementRequest<'_>,
    chosen: &'a StartCandidate<'a>,
    candidates: &'a [StartCandidate<'a>],
) -> &'a StartCandidate<'a> {
    let Some(profile) = request.profile else { return chosen };
    let demand = &request.step.demand;
    let is_like = |it: &&StartCandidate<'_>| {
        let longer_ms = it.predicted_ms.max(chosen.predicted_ms);
        it.is_in_time == chosen.is_in_time
            && it.predicted_ms.abs_diff(chosen.predicted_ms) * 1000 <= longer_ms * LIKE_SPEED_MILLI
    };
    let wasted = |it: &&StartCandidate<'_>| {
        let left = it.free.cpu - demand.cpu;
        // What the free CPU wastes without the task is no loss by it.
        (profile.waste(left) + profile.largest() - profile.waste(it.free.cpu), left)
    };
    candidates.iter().filter(is_like).min_by_key(wasted).unwrap_or(chosen)
}

/// A busy endpoint on which a task is expected to fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AwaitedEndpoint {
    /// Its name.
    pub(crate) name: EndpointName,
    /// Expected time until the task fits, in ms.
    pub(crate) starts_in_ms: u64,
    /// Expected time until the task has ended, in ms.
    pub(crate) end_ms: u64,
    /// What is expected to be free beside the task when it starts.
    pub(crate) spare: ResourceAmount,
}

/// Returns the busy endpoint without a reservation on which the task would end soonest.
fn choose_awaited(
    request: &PlacementRequest<'_>,
    endpoints: &IndexMap<EndpointName, EndpointState>,
    timeline: &PlacementTimeline,
    now: ClockTime,
) -> Option<AwaitedEndpoint> {
    let demand = &request.step.demand;
    let mut soonest: Option<(u64, u64, &EndpointName, ResourceAmount)> = None;
    let mut ends = Vec::new();
    for (name, endpoint) in endpoints {
        if timeline.has_waiter(name)
            || !is_candidate(request, name, endpoint, now)
            || endpoint.free_resources().fits(demand)
        {
            continue;
        }
        let fits_in_ms = endpoint.fits_in_ms(demand, &mut ends, now);
        let Some((starts_in_ms, free)) = fits_in_ms else { continue };
        let end_ms = starts_in_ms + request.predicted_ms(endpoint, now);
        if soonest.is_none_or(|(known, ..)| end_ms < known) {
            soonest = Some((end_ms, starts_in_ms, name, free.minus(demand)));
        }
    }
    let (end_ms, starts_in_ms, name, spare) = soonest?;
    Some(AwaitedEndpoint { name: name.clone(), starts_in_ms, end_ms, spare })
}

fn is_candidate(
    request: &PlacementRequest<'_>,
    name: &EndpointName,
    endpoint: &EndpointState,
    now: ClockTime,
) -> bool {
    endpoint.accepts_starts(now) && request.avoid != Some(name) && is_eligible(request, endpoint)
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
