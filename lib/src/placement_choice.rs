//! The choice of an endpoint for a task.
//!
//! Expected finish compares two ways for each waiting task: start now on the best
//! endpoint that has a free slot, or wait for a faster one. Faster endpoints free
//! slots at a rate that follows from their slots and run times. A task far back in the
//! queue waits long for them, so it may gain by a slow slot where the first does not.

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
    /// Slots of those that are free.
    pub n_free: u32,
    /// This entry's tasks that run there.
    pub n_outstanding: u32,
}

/// Where a task should go.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementChoice {
    /// To this candidate, now.
    Start(usize),
    /// Nowhere yet; a task with at least this many ahead of it should start on the
    /// candidate.
    WaitUnlessBehind(usize, usize),
    /// Nowhere: no candidate has a free slot.
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
    // Tasks ahead for which waiting takes as long as the slower endpoint.
    let break_even = (best.run_ms - faster_ms) * rate - 1.0;
    if break_even <= n_ahead as f64 {
        return PlacementChoice::Start(best.idx);
    }
    PlacementChoice::WaitUnlessBehind(break_even.ceil() as usize, best.idx)
}
