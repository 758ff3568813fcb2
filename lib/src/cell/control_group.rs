//! Which VMs make up the control group where they are not all listed in the settings.
//!
//! The leader changes the group by one VM at a time: it takes in a VM that is heard
//! while the group is smaller than it should be, and drops a member that is silent or
//! stops when another VM can take its place.

use crate::{cell::cell_message::CellHeartbeat, prelude::*, vm_layout::VmRole};

/// Silence after which a member may be replaced, in ms: longer than a restart takes.
const REPLACE_MS: u64 = 2_500;
/// Silence up to which a VM counts as heard, in ms.
const HEARD_MS: u64 = 1_000;

/// A control VM as the leader sees it.
#[derive(Data!)]
pub struct GroupCandidate {
    /// Its VM.
    pub vm: VmName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Time since it was heard, in ms.
    pub silent_ms: u64,
    /// Whether it stops.
    pub stopping: bool,
}

/// The candidates among what is heard, with the leader itself.
pub fn candidates<'a>(
    own: GroupCandidate,
    beats: impl Iterator<Item = (&'a CellHeartbeat, u64)>,
) -> Vec<GroupCandidate> {
    let others = beats.filter(|(it, _)| it.role == VmRole::Control).map(|(it, silent_ms)| {
        let (vm, centre) = (it.owner.vm.clone(), it.centre.clone());
        GroupCandidate { vm, centre, silent_ms, stopping: it.stopping }
    });
    std::iter::once(own).chain(others).collect()
}

/// The next change of a group that should have `n_wanted` VMs, if one is due.
pub fn next_group(
    vms: &[VmName],
    own: &VmName,
    n_wanted: usize,
    candidates: &[GroupCandidate],
) -> Option<Vec<VmName>> {
    let find = |vm: &VmName| candidates.iter().find(|it| it.vm == *vm);
    let is_heard = |it: &GroupCandidate| it.silent_ms <= HEARD_MS && !it.stopping;
    let mut standby: Vec<&GroupCandidate> =
        candidates.iter().filter(|it| is_heard(it) && !vms.contains(&it.vm)).collect();
    let n_heard = vms.iter().filter(|vm| find(vm).is_some_and(is_heard)).count();
    let n_in = |centre: &DataCentre| {
        vms.iter().filter(|vm| find(vm).is_some_and(|it| it.centre == *centre)).count()
    };
    standby.sort_by_key(|it| (n_in(&it.centre), it.vm.clone()));
    if vms.len() < n_wanted {
        // A larger group needs more replicas for a commit; the newcomer has none yet.
        let needed = vms.len().div_ceil(2) + 1;
        let newcomer = standby.first().filter(|_| needed <= n_heard)?;
        let mut changed = vms.to_vec();
        changed.push(newcomer.vm.clone());
        return Some(changed);
    }
    if standby.is_empty() {
        return None;
    }
    let gone = vms.iter().find(|vm| {
        **vm != *own && find(vm).is_none_or(|it| REPLACE_MS <= it.silent_ms || it.stopping)
    })?;
    let changed: Vec<VmName> = vms.iter().filter(|it| *it != gone).cloned().collect();
    (changed.len() / 2 < n_heard).then_some(changed)
}
