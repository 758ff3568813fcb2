//! Membership of the control group in deployments whose settings don't list all its VMs.
//!
//! The leader changes the group by one VM at a time: it adds a live VM while the group is
//! smaller than wanted, and removes a member that is unreachable or shutting down when
//! another VM can replace it.

use crate::{cell::cell_message::CellHeartbeat, prelude::*, vm_layout::VmRole};

/// Time without a heartbeat after which a member may be replaced: longer than a restart takes.
const REPLACE_AFTER_MS: u64 = 2_500;
/// Time since the last heartbeat up to which a VM counts as live.
const LIVE_MS: u64 = 1_000;

/// A control VM as the leader sees it.
#[derive(Data!)]
pub struct GroupCandidate {
    /// Its VM.
    pub vm: VmName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Time since its last heartbeat, in ms.
    pub silent_ms: u64,
    /// Whether it is shutting down.
    pub stopping: bool,
}

/// The leader itself and the control VMs among the senders of `heartbeats`.
pub fn candidates<'a>(
    own: GroupCandidate,
    heartbeats: impl Iterator<Item = (&'a CellHeartbeat, u64)>,
) -> Vec<GroupCandidate> {
    let others = heartbeats.filter(|(it, _)| it.role == VmRole::Control).map(|(it, silent_ms)| {
        let (vm, centre) = (it.owner.vm.clone(), it.centre.clone());
        GroupCandidate { vm, centre, silent_ms, stopping: it.stopping }
    });
    std::iter::once(own).chain(others).collect()
}

/// The next group on the way to `n_wanted` live VMs, if a change is due.
pub fn next_group(
    vms: &[VmName],
    own: &VmName,
    n_wanted: usize,
    candidates: &[GroupCandidate],
) -> Option<Vec<VmName>> {
    let find = |vm: &VmName| candidates.iter().find(|it| it.vm == *vm);
    let is_live = |it: &GroupCandidate| it.silent_ms <= LIVE_MS && !it.stopping;
    let mut standby: Vec<&GroupCandidate> =
        candidates.iter().filter(|it| is_live(it) && !vms.contains(&it.vm)).collect();
    let n_live = vms.iter().filter(|vm| find(vm).is_some_and(is_live)).count();
    let n_in = |centre: &DataCentre| {
        vms.iter().filter(|vm| find(vm).is_some_and(|it| it.centre == *centre)).count()
    };
    standby.sort_by_key(|it| (n_in(&it.centre), it.vm.clone()));
    if vms.len() < n_wanted {
        // The larger group's majority must be live without the newcomer, which has no log yet.
        let needed = vms.len().div_ceil(2) + 1;
        let newcomer = standby.first().filter(|_| needed <= n_live)?;
        let mut changed = vms.to_vec();
        changed.push(newcomer.vm.clone());
        return Some(changed);
    }
    if standby.is_empty() {
        return None;
    }
    let gone = vms.iter().find(|vm| {
        **vm != *own && find(vm).is_none_or(|it| REPLACE_AFTER_MS <= it.silent_ms || it.stopping)
    })?;
    let changed: Vec<VmName> = vms.iter().filter(|it| *it != gone).cloned().collect();
    (changed.len() / 2 < n_live).then_some(changed)
}
