//! Which entry leads which cell.
//!
//! A leader that is heard keeps its cells until it stops. Cells without one are shared
//! out among the entries of their data centre by processor share; entries of other data
//! centres step in only where none is left. Each entry works this out from the beats
//! that it hears and claims what falls to itself. Entries that hear different beats may
//! claim the same cell: its endpoints then obey the higher token.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
};

use indexmap::IndexMap;

use crate::{cell::cell_message::CellName, prelude::*};

/// Cells that an entry may lead beyond another's share before it cedes one.
const CEDE_SURPLUS: u64 = 2;
/// Bits of a token that tell entries with the same epoch apart; with the ms since 1970 they
/// stay within the 53 bits that every reader of JSON keeps.
const TOKEN_VM_BITS: u32 = 12;
/// Step of a token past one that was too low, in ms; doubled with each fence in a row, as the
/// higher token may come from a clock that is seconds ahead.
const FENCED_STEP_MS: u64 = 250;
/// Doublings of that step.
const MAX_FENCED_DOUBLINGS: u64 = 8;

/// An entry as far as leadership goes.
#[derive(Data!)]
pub struct LeaderCandidate {
    /// Its VM.
    pub vm: VmName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub weight: u64,
    /// Whether it stops.
    pub stopping: bool,
    /// Cells that it leads, with its tokens.
    pub cells: IndexMap<CellName, u64>,
}

/// Token of `vm` above every one in `known`, and not below the ms of `now`, after so many
/// claims in a row that met a higher one.
///
/// The time makes it likely to be above tokens that were never heard of, as after a restart of
/// all entries.
pub fn next_token(vm: &VmName, known: u64, n_fences: u64, now: ClockTime) -> u64 {
    let step = match n_fences {
        0 => 1,
        it => FENCED_STEP_MS << it.min(MAX_FENCED_DOUBLINGS),
    };
    let epoch = (known >> TOKEN_VM_BITS).max(now.0) + step;
    (epoch << TOKEN_VM_BITS) | (digest(vm, "token") & ((1 << TOKEN_VM_BITS) - 1))
}

/// The entry with the highest token for a cell.
pub fn leader_of<'a>(
    cell: &CellName,
    candidates: &'a [LeaderCandidate],
) -> Option<(&'a LeaderCandidate, u64)> {
    let claims = candidates.iter().filter_map(|it| Some((it, *it.cells.get(cell)?)));
    claims.max_by_key(|(_, token)| *token)
}

/// The entry to claim each cell that has no leader, or one that stops.
pub fn assign_cells<'a>(
    cells: impl Iterator<Item = &'a CellName>,
    candidates: &[LeaderCandidate],
) -> Vec<(CellName, VmName)> {
    let mut orphaned: Vec<&CellName> = Vec::new();
    for cell in cells {
        let leader = leader_of(cell, candidates);
        if leader.is_none_or(|(it, _)| it.stopping) {
            orphaned.push(cell);
        }
    }
    orphaned.sort();
    let mut n_led: IndexMap<&VmName, u64> =
        candidates.iter().map(|it| (&it.vm, it.cells.len() as u64)).collect();
    let mut assigned = Vec::new();
    for cell in orphaned {
        let Some(candidate) = least_loaded(cell, candidates, &n_led) else { continue };
        *n_led.entry(&candidate.vm).or_default() += 1;
        assigned.push((cell.clone(), candidate.vm.clone()));
    }
    assigned
}

fn least_loaded<'a>(
    cell: &CellName,
    candidates: &'a [LeaderCandidate],
    n_led: &IndexMap<&VmName, u64>,
) -> Option<&'a LeaderCandidate> {
    let near: Vec<&LeaderCandidate> =
        candidates.iter().filter(|it| it.centre == cell.centre && !it.stopping).collect();
    let choice =
        if near.is_empty() { candidates.iter().filter(|it| !it.stopping).collect() } else { near };
    choice.into_iter().min_by_key(|it| {
        let n_after = n_led.get(&it.vm).copied().unwrap_or(0) + 1;
        (n_after * 1_000_000 / it.weight.max(1), digest(&it.vm, &cell.rack), it.vm.clone())
    })
}

/// A cell that `own` should cede, and to whom, to even out the load of a data centre.
pub fn cell_to_hand_off(
    own: &VmName,
    candidates: &[LeaderCandidate],
) -> Option<(CellName, VmName)> {
    let leader = candidates.iter().find(|it| it.vm == *own)?;
    let far = leader.cells.keys().find(|it| it.centre != leader.centre).and_then(|cell| {
        let home = candidates.iter().find(|it| it.centre == cell.centre && !it.stopping)?;
        Some((cell.clone(), home.vm.clone()))
    });
    if far.is_some() {
        return far;
    }
    let share = |n_cells: usize, weight: u64| n_cells as u64 * 1_000_000 / weight.max(1);
    let own_share = share(leader.cells.len(), leader.weight);
    let heir = candidates
        .iter()
        .filter(|it| it.centre == leader.centre && !it.stopping && it.vm != *own)
        .min_by_key(|it| (share(it.cells.len(), it.weight), it.vm.clone()))?;
    let is_surplus = heir.cells.len() + CEDE_SURPLUS as usize <= leader.cells.len();
    if !is_surplus || own_share <= share(heir.cells.len() + 1, heir.weight) {
        return None;
    }
    Some((leader.cells.keys().next()?.clone(), heir.vm.clone()))
}

fn digest(vm: &VmName, salt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (vm.as_str(), salt).hash(&mut hasher);
    hasher.finish()
}
