//! Assignment of cells to the entries that lead them.
//!
//! A live leader keeps its cells until it stops. Cells without a leader are assigned to the
//! entries of their data centre in proportion to processor share; entries of other data
//! centres take over only if none is left there. Each entry computes the assignment from
//! the heartbeats that it receives and claims its own part. Entries with different views may
//! claim the same cell: its endpoints then obey the higher token.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
};

use indexmap::IndexMap;

use crate::{cell::cell_message::CellName, prelude::*};

/// Surplus of cells over another entry from which an entry may hand one off.
const MIN_SURPLUS: u64 = 2;
/// Bits of a token that distinguish entries with the same epoch. Together with the ms since
/// 1970 they stay within the 53 bits that every JSON parser keeps exactly.
const TOKEN_VM_BITS: u32 = 12;

/// Step between two tokens of one VM.
pub const TOKEN_STEP: u64 = 1 << TOKEN_VM_BITS;
/// Step by which a fenced leader raises its next token. It doubles with each fence in a row,
/// as the higher token may come from a clock that is seconds ahead.
const FENCED_STEP_MS: u64 = 250;
/// Bound on the doublings of [`FENCED_STEP_MS`].
const MAX_FENCED_DOUBLINGS: u64 = 8;

/// An entry that may lead cells.
#[derive(Clone, Debug)]
pub struct LeaderCandidate<'a> {
    /// Its VM.
    pub vm: &'a VmName,
    /// Its data centre.
    pub centre: &'a DataCentre,
    /// Processor share, in thousandths of a core.
    pub weight: u64,
    /// Whether it is shutting down.
    pub stopping: bool,
    /// Cells that it leads, with its tokens.
    pub cells: Vec<(&'a CellName, u64)>,
}

/// The next token of `vm`: above `known`, the highest one seen, and above the time `now`.
/// `n_fences` counts the preceding claims in a row that endpoints refused for a higher token.
///
/// Including the time makes it likely that the token exceeds those that this process has never
/// seen, as after a restart of all entries.
pub fn next_token(vm: &VmName, known: u64, n_fences: u64, now: ClockTime) -> u64 {
    let step = match n_fences {
        0 => 1,
        it => FENCED_STEP_MS << it.min(MAX_FENCED_DOUBLINGS),
    };
    let epoch = (known >> TOKEN_VM_BITS).max(now.0) + step;
    (epoch << TOKEN_VM_BITS) | (digest(vm, "token") & ((1 << TOKEN_VM_BITS) - 1))
}

/// The leader of each cell that has one, with its token: the entry with the highest token.
fn leaders<'a, 'b>(
    candidates: &'b [LeaderCandidate<'a>],
) -> IndexMap<&'a CellName, (&'b LeaderCandidate<'a>, u64)> {
    let mut leaders = IndexMap::new();
    for candidate in candidates {
        for (cell, token) in &candidate.cells {
            let leader = leaders.entry(*cell).or_insert((candidate, *token));
            if leader.1 <= *token {
                *leader = (candidate, *token);
            }
        }
    }
    leaders
}

/// Assigns each cell without a leader, or whose leader is shutting down, to an entry.
pub fn assign_cells<'a>(
    cells: impl Iterator<Item = &'a CellName>,
    candidates: &[LeaderCandidate<'_>],
) -> Vec<(CellName, VmName)> {
    let leaders = leaders(candidates);
    let mut unled: Vec<&CellName> =
        cells.filter(|it| leaders.get(it).is_none_or(|(leader, _)| leader.stopping)).collect();
    if unled.is_empty() {
        return Vec::new();
    }
    unled.sort();
    let mut n_led: IndexMap<&VmName, u64> =
        candidates.iter().map(|it| (it.vm, it.cells.len() as u64)).collect();
    let mut assigned = Vec::new();
    for cell in unled {
        let Some(candidate) = least_loaded(cell, candidates, &n_led) else { continue };
        *n_led.entry(candidate.vm).or_default() += 1;
        assigned.push((cell.clone(), candidate.vm.clone()));
    }
    assigned
}

/// The entry with the least load per processor share once it leads `cell`, too; entries of the
/// cell's data centre come first.
fn least_loaded<'a>(
    cell: &CellName,
    candidates: &'a [LeaderCandidate<'a>],
    n_led: &IndexMap<&VmName, u64>,
) -> Option<&'a LeaderCandidate<'a>> {
    let local: Vec<&LeaderCandidate<'_>> =
        candidates.iter().filter(|it| *it.centre == cell.centre && !it.stopping).collect();
    let choice = if local.is_empty() {
        candidates.iter().filter(|it| !it.stopping).collect()
    } else {
        local
    };
    choice.into_iter().min_by_key(|it| {
        let n_after = n_led.get(it.vm).copied().unwrap_or(0) + 1;
        (n_after * 1_000_000 / it.weight.max(1), digest(it.vm, &cell.rack), it.vm)
    })
}

/// A cell that `own` should hand off, and to whom: first any cell of another data centre that
/// has an entry again, then one that evens out the load within its own.
pub fn cell_to_hand_off(
    own: &VmName,
    candidates: &[LeaderCandidate<'_>],
) -> Option<(CellName, VmName)> {
    let leader = candidates.iter().find(|it| it.vm == own)?;
    let mut cells = leader.cells.iter().map(|(cell, _)| *cell);
    let remote = cells.find(|it| it.centre != *leader.centre).and_then(|cell| {
        let local = candidates.iter().find(|it| *it.centre == cell.centre && !it.stopping)?;
        Some((cell.clone(), local.vm.clone()))
    });
    if remote.is_some() {
        return remote;
    }
    let share = |n_cells: usize, weight: u64| n_cells as u64 * 1_000_000 / weight.max(1);
    let own_share = share(leader.cells.len(), leader.weight);
    let successor = candidates
        .iter()
        .filter(|it| it.centre == leader.centre && !it.stopping && it.vm != own)
        .min_by_key(|it| (share(it.cells.len(), it.weight), it.vm))?;
    let is_surplus = successor.cells.len() + MIN_SURPLUS as usize <= leader.cells.len();
    if !is_surplus || own_share <= share(successor.cells.len() + 1, successor.weight) {
        return None;
    }
    let (cell, _) = leader.cells.first()?;
    Some(((*cell).clone(), successor.vm.clone()))
}

fn digest(vm: &VmName, salt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (vm.as_str(), salt).hash(&mut hasher);
    hasher.finish()
}
