//! Membership of the control group in deployments whose settings don't list all its VMs.
//!
//! The leader changes the group by one VM at a time: it adds a live VM while the group is
//! smaller than wanted, and removes a member that is unreachable or shutting down when
//! another VM can replace it. A VM that was added but does not vote is removed again when it is
//! lost, or when a spare is there and it has had its time. A spare takes the place of a member that
//! is told to stop in a swap, which adds the one and then removes the other.

use crate::{
    cell::cell_message::CellHeartbeat,
    group_members::{GroupMembers, MemberSwap},
    prelude::*,
    vm_layout::VmRole,
};

/// Time without a heartbeat after which a member may be replaced: longer than a restart takes.
const REPLACE_AFTER_MS: u64 = 2_500;
/// Time without an answer of a member's replica, in ms, after which the member may be replaced
/// though it sends heartbeats. A replica that lost its disk votes again well within it.
const REPLICA_SILENT_MS: u64 = 5_000;
/// Time without a heartbeat, in ms, after which a VM that was added but does not vote is removed
/// again: two heartbeats may be lost.
const WITHDRAW_SILENT_MS: u64 = 1_500;
/// Time in ms in which an added VM has to vote before a spare takes its place. A replica with an
/// old log reports after two seconds.
const ADMISSION_TIMEOUT_MS: u64 = 5_000;
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
    /// Time since its voter last answered the leader, in ms; zero where none is known.
    pub replica_silent_ms: u64,
    /// Whether it is shutting down.
    pub stopping: bool,
    /// Whether it was the last to be removed because it did not become a voter.
    pub was_withdrawn: bool,
    /// Whether it holds the leader's log and does not vote.
    pub has_log: bool,
}

/// The leader itself and the control VMs among the senders of `heartbeats`.
pub fn candidates<'a>(
    own: GroupCandidate,
    heartbeats: impl Iterator<Item = (&'a CellHeartbeat, u64)>,
) -> Vec<GroupCandidate> {
    let others = heartbeats.filter(|(it, _)| it.role == VmRole::Control).map(|(it, silent_ms)| {
        let (vm, centre) = (it.owner.vm.clone(), it.centre.clone());
        GroupCandidate {
            vm,
            centre,
            silent_ms,
            replica_silent_ms: 0,
            stopping: it.stopping,
            was_withdrawn: false,
            has_log: false,
        }
    });
    std::iter::once(own).chain(others).collect()
}

fn is_live(candidate: &GroupCandidate) -> bool {
    candidate.silent_ms <= LIVE_MS && !candidate.stopping
}

/// Whether a VM is up and not in the group.
pub fn is_spare(candidate: &GroupCandidate, vms: &[VmName]) -> bool {
    is_live(candidate) && !vms.contains(&candidate.vm)
}

/// The group without `pending`, a VM on which no replica votes, if that is due.
///
/// The quorum of the smaller group is no larger and all its voters stay, so this never lowers
/// what the group bears.
pub fn withdrawn_group(
    vms: &[VmName],
    pending: &VmName,
    pending_ms: u64,
    candidates: &[GroupCandidate],
) -> Option<Vec<VmName>> {
    let known = candidates.iter().find(|it| it.vm == *pending);
    let is_lost = known.is_none_or(|it| WITHDRAW_SILENT_MS <= it.silent_ms || it.stopping);
    let has_spare = candidates.iter().any(|it| is_spare(it, vms));
    let is_due = (is_lost && WITHDRAW_SILENT_MS <= pending_ms)
        || (has_spare && ADMISSION_TIMEOUT_MS <= pending_ms);
    is_due.then(|| vms.iter().filter(|it| *it != pending).cloned().collect())
}

/// The next group on the way to `n_wanted` live VMs, if a change is due.
pub fn next_group(
    vms: &[VmName],
    own: &VmName,
    n_wanted: usize,
    candidates: &[GroupCandidate],
) -> Option<GroupMembers> {
    let find = |vm: &VmName| candidates.iter().find(|it| it.vm == *vm);
    let mut standby: Vec<&GroupCandidate> =
        candidates.iter().filter(|it| is_spare(it, vms)).collect();
    let n_live = vms.iter().filter(|vm| find(vm).is_some_and(is_live)).count();
    let n_in = |centre: &DataCentre| {
        vms.iter().filter(|vm| find(vm).is_some_and(|it| it.centre == *centre)).count()
    };
    standby.sort_by_key(|it| (!it.has_log, it.was_withdrawn, n_in(&it.centre), it.vm.clone()));
    let is_stopping = |vm: &VmName| find(vm).is_some_and(|it| it.stopping);
    let leaving = vms.iter().find(|it| is_stopping(it)).filter(|_| vms.len() == n_wanted);
    if let Some(leaving) = leaving
        && let Some(spare) = standby.first().filter(|it| it.has_log)
    {
        // The spare votes before the member ends, so the group always bears a loss.
        let mut changed = vms.to_vec();
        changed.push(spare.vm.clone());
        let swap = MemberSwap { leaving: leaving.clone(), joining: spare.vm.clone() };
        return Some(GroupMembers { vms: changed, swap: Some(swap) });
    }
    if vms.len() < n_wanted {
        // The larger group's majority must be live without the newcomer, which has no log yet.
        let needed = vms.len().div_ceil(2) + 1;
        let newcomer = standby.first().filter(|_| needed <= n_live)?;
        let mut changed = vms.to_vec();
        changed.push(newcomer.vm.clone());
        return Some(GroupMembers { vms: changed, swap: None });
    }
    if standby.is_empty() && vms.len() <= n_wanted {
        return None;
    }
    let is_gone = |it: &GroupCandidate| {
        // One that stops votes until a spare does, or until it has ended.
        let has_stopped = it.stopping && (n_wanted < vms.len() || LIVE_MS < it.silent_ms);
        has_stopped || REPLACE_AFTER_MS <= it.silent_ms || REPLICA_SILENT_MS <= it.replica_silent_ms
    };
    let others = || vms.iter().filter(|it| *it != own);
    let gone = others().find(|it| find(it).is_none_or(is_gone));
    let is_too_large = n_wanted < vms.len() && !vms.iter().any(is_stopping);
    // A member that came back while a spare took its place: one is too many.
    let gone = gone.or_else(|| others().next_back().filter(|_| is_too_large))?;
    let changed: Vec<VmName> = vms.iter().filter(|it| *it != gone).cloned().collect();
    (changed.len() / 2 < n_live).then_some(GroupMembers { vms: changed, swap: None })
}

/// The group at the end of a swap, once that is due: only the group before the swap or the one after
/// it may follow, as their quorums are part of the swap's.
pub fn swapped_group(
    members: &GroupMembers,
    swap: &MemberSwap,
    own: &VmName,
    pending: Option<(&VmName, u64)>,
    candidates: &[GroupCandidate],
) -> Option<Vec<VmName>> {
    if let Some((vm, pending_ms)) = pending.filter(|(vm, _)| **vm == swap.joining) {
        return withdrawn_group(&members.vms, vm, pending_ms, candidates);
    }
    let find = |vm: &VmName| candidates.iter().find(|it| it.vm == *vm);
    let has_returned = find(&swap.leaving).is_some_and(is_live);
    let is_undone = has_returned && swap.joining != *own;
    let dropped = if is_undone { &swap.joining } else { &swap.leaving };
    // A leader that leaves hands over its leadership first.
    (dropped != own).then(|| members.without(dropped))
}
