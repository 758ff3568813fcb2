//! The choice of an endpoint for a task.
//!
//! The rule `ExpectedFinish` compares two options for each waiting task: start now on the
//! best endpoint with a free slot, or wait for a faster endpoint. Faster endpoints free
//! slots at a rate given by their slots and run times. A task far back in the queue waits
//! long for them, so it may finish earlier on a slow slot where the first task would not.

use rand::{RngExt, seq::IndexedRandom};

use crate::policy_settings::PlacementRule;

/// An endpoint that could serve a task.
#[derive(Clone, Debug)]
pub struct PlacementCandidate {
    /// Position in the dispatcher's list.
    pub idx: usize,
    /// Expected run time there, in ms.
    pub run_ms: f64,
    /// Slots that this entry may use.
    pub n_slots: u32,
    /// Free slots among these.
    pub n_free: u32,
    /// This entry's tasks in flight there.
    pub n_outstanding: u32,
}

/// The placement of a task.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementChoice {
    /// Start on this candidate now.
    Start(usize),
    /// Wait; but a task with at least this many tasks (first field) ahead of it should start
    /// on the candidate (second field).
    WaitUnlessBehind(usize, usize),
    /// Wait: no candidate has a free slot.
    Wait,
}

/// Chooses among `candidates` for a task with `n_ahead` tasks before it.
pub fn choose(
    rule: PlacementRule,
    candidates: &[PlacementCandidate],
    n_ahead: usize,
    rng: &mut impl RngExt,
) -> PlacementChoice {
    let free: Vec<&PlacementCandidate> = candidates.iter().filter(|it| 0 < it.n_free).collect();
    let chosen = match rule {
        PlacementRule::Random => free.choose(rng).copied(),
        PlacementRule::LeastOutstanding => {
            let fewest = free.iter().map(|it| it.n_outstanding).min();
            let tied: Vec<_> = free.iter().filter(|it| Some(it.n_outstanding) == fewest).collect();
            tied.choose(rng).map(|it| **it)
        }
        PlacementRule::TwoChoices => {
            let pair: Vec<_> = free.sample(rng, 2).copied().collect();
            pair.into_iter().min_by_key(|it| it.n_outstanding)
        }
        PlacementRule::ExpectedFinish => return choose_by_finish(&free, candidates, n_ahead),
    };
    match chosen {
        Some(candidate) => PlacementChoice::Start(candidate.idx),
        None => PlacementChoice::Wait,
    }
}

fn choose_by_finish(
    free: &[&PlacementCandidate],
    candidates: &[PlacementCandidate],
    n_ahead: usize,
) -> PlacementChoice {
    let best = free.iter().min_by(|lhs, rhs| {
        let load = |it: &PlacementCandidate| f64::from(it.n_outstanding) / f64::from(it.n_slots);
        lhs.run_ms.total_cmp(&rhs.run_ms).then(load(lhs).total_cmp(&load(rhs)))
    });
    let Some(best) = best else { return PlacementChoice::Wait };
    let mut rate = 0.0;
    let mut weighted_ms = 0.0;
    for faster in candidates.iter().filter(|it| it.run_ms < best.run_ms && 0 < it.n_slots) {
        let slot_rate = f64::from(faster.n_slots) / faster.run_ms.max(0.1);
        rate += slot_rate;
        weighted_ms += slot_rate * faster.run_ms;
    }
    if rate <= 0.0 {
        return PlacementChoice::Start(best.idx);
    }
    let faster_ms = weighted_ms / rate;
    // Number of tasks ahead at which waiting for a faster endpoint takes as long as the
    // slower endpoint.
    let break_even = (best.run_ms - faster_ms) * rate - 1.0;
    if break_even <= n_ahead as f64 {
        return PlacementChoice::Start(best.idx);
    }
    PlacementChoice::WaitUnlessBehind(break_even.ceil() as usize, best.idx)
}
