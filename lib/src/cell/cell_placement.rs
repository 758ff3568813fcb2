//! Which endpoint gets a task.

use indexmap::IndexMap;

use crate::{
    cell::{
        endpoint_state::EndpointState,
        job_offer::{JobStep, TaskRef},
    },
    prelude::*,
};

/// Room that is left over on an endpoint counts this little against speed: ms for each
/// thousand of thousandths of a core. It decides between endpoints of like speed only.
const LEFTOVER_MS: u64 = 1;

/// A task that waits for an endpoint.
pub(crate) struct PlacementAsk<'a> {
    /// The task.
    pub(crate) task: TaskRef,
    /// Its step.
    pub(crate) step: &'a JobStep,
    /// Run time on an average endpoint, in ms.
    pub(crate) usual_ms: u64,
    /// Endpoint on which it failed last.
    pub(crate) avoid: Option<&'a EndpointName>,
}

/// Chooses the endpoint on which a task is predicted to end first, packing tightly.
///
/// Returns the endpoint and the predicted run time in ms.
pub(crate) fn choose_endpoint(
    ask: &PlacementAsk<'_>,
    endpoints: &IndexMap<EndpointName, EndpointState>,
    now: ClockTime,
) -> Option<(EndpointName, u64)> {
    let mut best: Option<(u64, &EndpointName, u64)> = None;
    for (name, endpoint) in endpoints {
        if !endpoint.takes_starts(now) || ask.avoid == Some(name) || !suits(ask, endpoint) {
            continue;
        }
        let free = endpoint.free_room();
        if !free.fits(&ask.step.need) {
            continue;
        }
        if endpoint.pace.is_slow(now) && !endpoint.runs.is_empty() {
            // One run at a time is enough to see whether it has recovered.
            continue;
        }
        let predicted_ms = ask.usual_ms * endpoint.pace.factor_milli(now) / 1000;
        let left = free.cpu - ask.step.need.cpu;
        let score = predicted_ms + left / 1000 * LEFTOVER_MS;
        if best.is_none_or(|(known, ..)| score < known) {
            best = Some((score, name, predicted_ms.max(1)));
        }
    }
    best.map(|(_, name, predicted_ms)| (name.clone(), predicted_ms))
}

fn suits(ask: &PlacementAsk<'_>, endpoint: &EndpointState) -> bool {
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
        has_label && it.record.room.fits(&step.need)
    })
}
