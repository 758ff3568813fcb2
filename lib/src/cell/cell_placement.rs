//! Which endpoint gets a task.
//!
//! A task goes to the slowest endpoint that still ends it in time, which leaves the fast
//! ones to tasks with less slack. When none does, it goes where it ends first; that may be
//! an endpoint whose room is about to become free, and then the task waits for it.

use indexmap::{IndexMap, IndexSet};

use crate::{
    cell::{
        endpoint_state::EndpointState,
        job_offer::{JobStep, ResourceAmount, TaskRef},
    },
    prelude::*,
};

/// Time that a predicted end is kept before the due time, in ms: the way of the answer.
const DUE_MARGIN_MS: u64 = 15;
/// Leftover room counts this much against another endpoint of like speed, in ms for each
/// core: it decides only between near equals.
const LEFTOVER_MS: u64 = 1;
/// Time that a wait for a faster endpoint must save, in ms: predictions are not that exact.
const WAIT_GAIN_MS: u64 = 12;

/// A task that waits for an endpoint.
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
    /// To this endpoint once it has room.
    Wait(EndpointName),
    /// Nowhere yet.
    Nowhere,
}

/// Chooses the endpoint of a task; those in `promised` are waited for by others.
pub(crate) fn choose_endpoint(
    ask: &PlacementRequest<'_>,
    endpoints: &IndexMap<EndpointName, EndpointState>,
    promised: &IndexSet<EndpointName>,
    now: ClockTime,
) -> PlacementChoice {
    // Of those that end it in time: the slowest, then the fullest.
    let mut in_time: Option<(u64, u64, &EndpointName, u64)> = None;
    let mut soonest: Option<(u64, &EndpointName, u64)> = None;
    let mut awaited: Option<(u64, &EndpointName)> = None;
    for (name, endpoint) in endpoints {
        if !endpoint.takes_starts(now) || ask.avoid == Some(name) || !suits(ask, endpoint) {
            continue;
        }
        let predicted_ms = (ask.typical_ms * endpoint.pace.factor_milli(now) / 1000).max(1);
        let free = endpoint.free_room();
        if !free.fits(&ask.step.demand) {
            if !promised.contains(name)
                && let Some(wait_ms) = endpoint.room_in_ms(&ask.step.demand, now)
            {
                let end_ms = wait_ms + predicted_ms;
                if awaited.is_none_or(|(known, _)| end_ms < known) {
                    awaited = Some((end_ms, name));
                }
            }
            continue;
        }
        if endpoint.pace.is_slow(now) && !endpoint.runs.is_empty() {
            // One run at a time is enough to see whether it has recovered.
            continue;
        }
        let left = leftover(&free, &ask.step.demand);
        let end_ms = predicted_ms + left * LEFTOVER_MS;
        if soonest.is_none_or(|(known, ..)| end_ms < known) {
            soonest = Some((end_ms, name, predicted_ms));
        }
        let is_in_time = now.plus_ms(predicted_ms + DUE_MARGIN_MS) <= ask.due_at;
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

/// The most of each kind of room that any endpoint has free for a start.
///
/// What exceeds it fits nowhere now, which then need not be asked of each endpoint.
pub(crate) fn largest_room(
    endpoints: &IndexMap<EndpointName, EndpointState>,
    now: ClockTime,
) -> ResourceAmount {
    let usable = endpoints.values().filter(|it| it.takes_starts(now));
    usable.fold(ResourceAmount::default(), |largest, it| {
        let free = it.free_room();
        ResourceAmount {
            cpu: largest.cpu.max(free.cpu),
            mem_mb: largest.mem_mb.max(free.mem_mb),
            gpu: largest.gpu.max(free.gpu),
        }
    })
}

/// Whole cores that a task leaves free.
fn leftover(free: &ResourceAmount, demand: &ResourceAmount) -> u64 {
    free.cpu.saturating_sub(demand.cpu) / 1000
}

fn suits(ask: &PlacementRequest<'_>, endpoint: &EndpointState) -> bool {
    if let Some(label) = &ask.step.label
        && !endpoint.record.labels.contains(label)
    {
        return false;
    }
    let Some(max) = ask.step.max_on_endpoint else { return true };
    let is_sibling = |it: &&TaskRef| it.job == ask.task.job && it.step == ask.task.step;
    endpoint.runs.keys().filter(is_sibling).count() < max as usize
}

/// Whether any endpoint that is not leaving could run the step when empty.
pub(crate) fn can_ever_fit(
    step: &JobStep,
    endpoints: &IndexMap<EndpointName, EndpointState>,
) -> bool {
    endpoints.values().any(|it| {
        let has_label = step.label.as_ref().is_none_or(|label| it.record.labels.contains(label));
        has_label && it.record.capacity.fits(&step.demand)
    })
}
