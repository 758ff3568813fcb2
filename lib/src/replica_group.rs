//! The group in force at a replica: its VMs, its quorums, and when it may change.

use crate::{
    group_members::GroupMembers,
    prelude::*,
    replica_log::{EntryPayload, LogEntry},
    replica_node::ReplicaNode,
};

impl ReplicaNode {
    /// VMs of the group: the newest that the log or its snapshot holds, else those given.
    pub fn vms(&self) -> &[VmName] {
        &self.members.vms
    }

    /// The group in force.
    pub fn members(&self) -> &GroupMembers {
        &self.members
    }

    /// Stores the VMs of a group whose log this replica does not have yet.
    ///
    /// A log that names a group is never overruled.
    pub fn learn_vms(&mut self, vms: &[VmName]) {
        if self.log_sets_group {
            return;
        }
        self.settings.vms = vms.to_vec();
        self.members = GroupMembers { vms: vms.to_vec(), swap: None };
        if self.hard.vms != vms {
            self.hard.vms = vms.to_vec();
            self.save_hard_state();
        }
    }

    /// Whether the voters for which `has` holds are a quorum of the group.
    pub(crate) fn is_quorum(&self, has: impl Fn(&ReplicaId) -> bool) -> bool {
        let votes = |vm: &VmName| self.voters().iter().any(|it| it.vm == *vm && has(it));
        self.members().is_quorum(votes)
    }

    /// Size of a majority of the VMs; out of reach while the group is unknown.
    pub fn quorum(&self) -> usize {
        if self.vms().is_empty() {
            return usize::MAX;
        }
        self.vms().len() / 2 + 1
    }

    /// Whether this replica may append a change of the group or of its voters.
    ///
    /// Majorities before and after a change overlap only if the one before it is committed,
    /// and an entry of the leader's own term as well (Ongaro, 2015).
    pub fn may_change_group(&self) -> bool {
        let is_change = |it: &LogEntry| match &it.payload {
            EntryPayload::Voters(_) => true,
            EntryPayload::Command(command) => self.members_in_command(command).is_some(),
            EntryPayload::Noop => false,
        };
        let first = self.commit.max(self.log.snapshot().index) + 1;
        let pending = self.log.entries_from(first, usize::MAX, usize::MAX);
        self.is_settled_leader() && !pending.iter().any(is_change)
    }

    fn members_in_command(&self, command: &[u8]) -> Option<GroupMembers> {
        (self.group_reader?.in_command)(command)
    }

    /// Finds the group in force after the snapshot was replaced.
    pub(crate) fn read_snapshot_members(&mut self) {
        let state = &self.log.snapshot().state;
        self.snapshot_members = self.group_reader.and_then(|it| (it.in_state)(state));
        self.update_members();
    }

    /// Finds the group in force after entries were appended or dropped.
    pub(crate) fn update_members(&mut self) {
        if self.group_reader.is_some() {
            let newest = self.members_at(self.log.last_index());
            self.log_sets_group = newest.is_some();
            let given = || GroupMembers { vms: self.settings.vms.clone(), swap: None };
            self.members = newest.unwrap_or_else(given);
        }
    }

    /// The newest group that the log sets up to `index`.
    pub(crate) fn members_at(&self, index: u64) -> Option<GroupMembers> {
        let first = self.log.snapshot().index + 1;
        let entries = self.log.entries_from(first, usize::MAX, usize::MAX);
        let newest =
            entries.iter().rev().filter(|it| it.index <= index).find_map(|it| match &it.payload {
                EntryPayload::Command(command) => self.members_in_command(command),
                EntryPayload::Noop | EntryPayload::Voters(_) => None,
            });
        newest.or_else(|| self.snapshot_members.clone())
    }

    /// Whether the vote of a replica counts: it is a voter, on a VM of the group.
    pub(crate) fn counts(&self, id: &ReplicaId) -> bool {
        self.voters().contains(id) && self.vms().contains(&id.vm)
    }
}
