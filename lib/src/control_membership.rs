//! Changes of the control group by its leader, and how a VM outside it learns of them.
//!
//! A change is one entry that names the group's VMs, then one entry for each change of the
//! voters. Whoever leads completes it, or withdraws it by removing a VM on which no replica
//! votes: both only look at what the log holds, never at who began the change.

use crate::{
    cell::{
        control_group::{self, GroupCandidate},
        tolerance_watch::GroupHealth,
    },
    config_state::{ConfigCommand, ConfigState, ControlGroup},
    control_node::{ControlNode, GroupRule},
    group_members::GroupMembers,
    log_group::ProposalWaiter,
    prelude::*,
    replica_log::EntryPayload,
    replica_node::ReplicaRole,
};

/// Time between two looks at the group, in ms: a member that is told to stop ends after 800 ms,
/// and has to be replaced by then.
const GROUP_PAUSE_MS: u64 = 100;
/// Time for which a VM that the group lacks is awaited to hold the log before it is added without
/// it, in ms.
const LOG_WAIT_MS: u64 = 1_500;

impl ControlNode {
    /// Learns the group from a peer's announcement as long as this VM's log does not have it.
    pub(crate) fn follow_announced_group(&mut self, group: &ControlGroup, now: ClockTime) {
        if self.announced_group <= group.version {
            self.group.set_contacts(&group.vms);
        }
        let held = self.held_group_version();
        if group.version <= held || group.version <= self.announced_group {
            return;
        }
        self.announced_group = group.version;
        let is_member = group.vms.contains(&self.settings.owner.vm);
        let has_log = self.node().role() != ReplicaRole::Fresh;
        if has_log && !is_member {
            self.group.leave_group(now);
        }
        self.group.forbid_bootstrap();
        // Where the log names a group, changes arrive through it.
        self.group.learn_vms(&group.vms);
    }

    /// Number of the newest change of the group that this VM's log holds, applied or not.
    ///
    /// After a restart a log may hold changes that it has not applied yet. A VM that took an
    /// announcement of an older group for news would forget a log that still counts.
    fn held_group_version(&self) -> u64 {
        let first = self.node().applied_index() + 1;
        let entries = self.node().log().entries_from(first, usize::MAX, usize::MAX);
        let changes = entries.iter().filter(|it| match &it.payload {
            EntryPayload::Command(it) => ConfigState::group_in_command(it).is_some(),
            EntryPayload::Noop | EntryPayload::Voters(_) => false,
        });
        self.state().group().version + changes.count() as u64
    }

    /// Proposes a change of the group by one VM, where one is due.
    pub(crate) fn change_group(&mut self, now: ClockTime) {
        let GroupRule::Dynamic { n_wanted, .. } = self.settings.group_rule else { return };
        let is_due = GROUP_PAUSE_MS <= now.since_ms(self.group_checked_at);
        if self.node().role() != ReplicaRole::Leader {
            self.pending_vm = None;
            self.awaits_log_since = None;
            return;
        }
        if !is_due {
            return;
        }
        self.change_group_now(n_wanted, now);
    }

    /// Whether this VM, which is told to stop, should go on until a spare has taken its place.
    pub fn awaits_replacement(&self, now: ClockTime) -> bool {
        let GroupRule::Dynamic { n_wanted, .. } = self.settings.group_rule else { return false };
        let vms = self.node().vms();
        if !self.stopping || !vms.contains(&self.settings.owner.vm) {
            return false;
        }
        let has_spare =
            self.group_candidates(now).iter().any(|it| control_group::is_spare(it, vms));
        // The spare belongs to the group already, which is one too large until this VM leaves it.
        has_spare || n_wanted < vms.len()
    }

    /// Proposes the addition of a spare before this leader stops.
    pub(crate) fn prepare_stop(&mut self, now: ClockTime) {
        if let GroupRule::Dynamic { n_wanted, .. } = self.settings.group_rule
            && self.node().role() == ReplicaRole::Leader
        {
            self.change_group_now(n_wanted, now);
        }
    }

    fn change_group_now(&mut self, n_wanted: usize, now: ClockTime) {
        self.group_checked_at = now;
        let known = self.state().group();
        let changed = if known.vms.is_empty() {
            Some(GroupMembers { vms: self.node().vms().to_vec(), swap: None })
        } else {
            self.track_pending_vm(now);
            self.changed_group(n_wanted, now)
        };
        if let Some(changed) = changed {
            let former = self.node().vms();
            let added = changed.vms.iter().find(|it| !former.contains(it)).cloned();
            let command = match changed.swap {
                Some(swap) => ConfigCommand::BeginSwap(changed.vms, swap),
                None => ConfigCommand::SetGroup(changed.vms),
            };
            let bytes = postcard::to_stdvec(&command).unwrap_or_default();
            let waiter = ProposalWaiter { vm: self.settings.owner.vm.clone(), request: 0 };
            self.group.propose(waiter, bytes);
            if let Some(added) = added {
                self.group.admit_learner(&added, now);
            }
            self.run_effects(now);
        }
    }

    /// The group to propose, if a change is due and the one before it is committed.
    fn changed_group(&mut self, n_wanted: usize, now: ClockTime) -> Option<GroupMembers> {
        if !self.node().may_change_group() {
            return None;
        }
        let candidates = self.group_candidates(now);
        let members = self.node().members().clone();
        let vms = &members.vms;
        let pending = self.pending_vm.clone();
        let pending = pending.as_ref().map(|(vm, since)| (vm, now.since_ms(*since)));
        if let Some(swap) = &members.swap {
            let own = &self.settings.owner.vm;
            let changed = control_group::swapped_group(&members, swap, own, pending, &candidates)?;
            if !changed.contains(&swap.joining) {
                self.withdrawn_vm = Some(swap.joining.clone());
            }
            return Some(GroupMembers { vms: changed, swap: None });
        }
        if let Some((vm, pending_ms)) = pending {
            let changed = control_group::withdrawn_group(vms, vm, pending_ms, &candidates)?;
            self.withdrawn_vm = Some(vm.clone());
            return Some(GroupMembers { vms: changed, swap: None });
        }
        // Voters of VMs that left the group are removed first.
        if !self.voters_match_vms() {
            return None;
        }
        let own = &self.settings.owner.vm;
        let changed = control_group::next_group(vms, own, n_wanted, &candidates)?;
        let has_log = |vm: &VmName| candidates.iter().any(|it| it.vm == *vm && it.has_log);
        if changed.vms.iter().all(|it| vms.contains(it) || has_log(it)) {
            self.awaits_log_since = None;
            return Some(changed);
        }
        let since = *self.awaits_log_since.get_or_insert(now);
        if now.since_ms(since) < LOG_WAIT_MS {
            return None;
        }
        self.awaits_log_since = None;
        Some(changed)
    }

    /// Records since when this leader knows of a VM of the group on which no replica votes.
    fn track_pending_vm(&mut self, now: ClockTime) {
        let voters = self.node().voters();
        let votes = |vm: &VmName| voters.iter().any(|it| it.vm == *vm);
        let pending = self.node().vms().iter().find(|it| !votes(it)).cloned();
        let known = self.pending_vm.take();
        self.pending_vm = pending.map(|vm| match known {
            Some((known, since)) if known == vm => (vm, since),
            _ => (vm, now),
        });
    }

    fn group_candidates(&self, now: ClockTime) -> Vec<GroupCandidate> {
        let own = GroupCandidate {
            vm: self.settings.owner.vm.clone(),
            centre: self.centre.clone(),
            silent_ms: 0,
            replica_silent_ms: 0,
            stopping: self.stopping,
            was_withdrawn: false,
            has_log: false,
        };
        let mut candidates = control_group::candidates(own, self.membership.live_peers(now));
        for candidate in &mut candidates {
            candidate.replica_silent_ms = self.node().voter_silent_ms(&candidate.vm, now);
            candidate.has_log = self.node().has_learner(&candidate.vm, now);
            candidate.was_withdrawn = self.withdrawn_vm.as_ref() == Some(&candidate.vm);
        }
        candidates
    }

    /// What this VM sees of the group's tolerance; a VM with a leader leaves that to it.
    pub(crate) fn group_health(&self, now: ClockTime) -> GroupHealth {
        let node = self.node();
        match node.role() {
            ReplicaRole::Leader => {
                let n_vms = node.vms().len();
                let n_wanted = match self.settings.group_rule {
                    GroupRule::Static => n_vms,
                    GroupRule::Dynamic { n_wanted, .. } => n_wanted,
                };
                let n_voters = node.n_responding_voters(now);
                let n_needed = node.quorum() + (n_wanted - 1) / 2;
                if n_needed <= n_voters {
                    return GroupHealth::Sound;
                }
                GroupHealth::FewVoters(n_voters, n_vms)
            }
            ReplicaRole::Fresh | ReplicaRole::Pledged if self.announced_group == 0 => {
                GroupHealth::NoGroup
            }
            // The leader of the group that was announced tells of this VM.
            ReplicaRole::Fresh | ReplicaRole::Pledged => GroupHealth::Sound,
            ReplicaRole::Follower | ReplicaRole::PreCandidate | ReplicaRole::Candidate => {
                match node.leader_vm() {
                    Some(_) => GroupHealth::Sound,
                    None => GroupHealth::NoLeader,
                }
            }
        }
    }

    /// Whether the voters are on exactly the VMs of the group.
    fn voters_match_vms(&self) -> bool {
        let voters = self.node().voters();
        let vms = self.node().vms();
        voters.len() == vms.len() && voters.iter().all(|it| vms.contains(&it.vm))
    }
}
