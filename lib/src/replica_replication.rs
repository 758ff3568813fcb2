//! Replication: entries and snapshots from the leader, and their commit.

use crate::{
    prelude::*,
    replica_effect::{ReplicaEffect, StoreEffect},
    replica_log::{EntryPayload, LogEntry, LogSnapshot},
    replica_message::{AppendAnswer, ReplicaBody},
    replica_node::{ReplicaNode, ReplicaRole, SnapshotRule},
};

/// Most entries in one message.
const MAX_BATCH_ENTRIES: usize = 4096;
/// About the most bytes of commands in one message.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Time before a snapshot is sent again, in election timeouts.
const SNAPSHOT_RESEND_ELECTIONS: u64 = 4;
/// Time without an answer after which a replica outside the group is sent no more, in election
/// timeouts.
const LEARNER_SILENT_ELECTIONS: u64 = 4;
/// Time without an answer after which entries are sent again, in heartbeat intervals.
const RESEND_HEARTBEATS: u64 = 2;

impl ReplicaNode {
    /// Sends heartbeats, and checks quorum and membership.
    pub(crate) fn tick_leader(&mut self, now: ClockTime) {
        self.step_down_without_quorum(now);
        if self.role != ReplicaRole::Leader {
            return;
        }
        if self.heartbeat_at <= now {
            self.heartbeat_at = now.plus_ms(self.settings.heartbeat_ms);
            self.drop_silent_learners(now);
            self.rewind_silent_peers(now);
            for idx in 0..self.progress.len() {
                self.send_next(idx, now);
            }
            self.try_transfer_leadership();
        }
        self.admit_replicas(now);
    }

    /// Sends the entries that followers lack.
    pub fn flush(&mut self, now: ClockTime) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        for idx in 0..self.progress.len() {
            self.send_new(idx, now);
        }
        self.advance_commit();
    }

    /// Sends what a follower lacks, unless it must have a snapshot first.
    fn send_new(&mut self, idx: usize, now: ClockTime) {
        let lacks_entries = self.progress[idx].next <= self.log.last_index();
        if lacks_entries && !self.awaits_snapshot(idx, now) {
            self.send_next(idx, now);
        }
    }

    /// Whether a snapshot may still be on its way to a follower.
    fn awaits_snapshot(&self, idx: usize, now: ClockTime) -> bool {
        let pause_ms = self.settings.election_ms * SNAPSHOT_RESEND_ELECTIONS;
        self.progress[idx].snapshot_at.is_some_and(|it| now.since_ms(it) < pause_ms)
    }

    /// Sends no more to replicas outside the group that do not answer.
    fn drop_silent_learners(&mut self, now: ClockTime) {
        let (voters, vms) = (self.voters().clone(), self.vms().to_vec());
        let limit_ms = self.settings.election_ms * LEARNER_SILENT_ELECTIONS;
        self.progress.retain(|id, it| {
            voters.contains(id)
                || vms.contains(&id.vm)
                || now.since_ms(it.last_contact_at) <= limit_ms
        });
    }

    fn rewind_silent_peers(&mut self, now: ClockTime) {
        let resend_ms = self.settings.heartbeat_ms * RESEND_HEARTBEATS;
        for progress in self.progress.values_mut() {
            let has_unanswered = progress.matched + 1 < progress.next;
            if has_unanswered && resend_ms <= now.since_ms(progress.sent_at) {
                progress.next = progress.matched + 1;
            }
        }
    }

    fn send_next(&mut self, idx: usize, now: ClockTime) {
        let Some((to, progress)) = self.progress.get_index(idx) else { return };
        let (to, next) = (to.clone(), progress.next);
        let prev_index = next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(idx, &to, now);
            return;
        };
        let entries = self.log.entries_from(next, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES).to_vec();
        if !entries.is_empty() {
            let progress = &mut self.progress[idx];
            progress.next = next + entries.len() as u64;
            progress.sent_at = now;
        }
        let commit = self.commit;
        self.send(&to, ReplicaBody::Append { prev_index, prev_term, commit, entries });
    }

    fn send_snapshot(&mut self, idx: usize, to: &ReplicaId, now: ClockTime) {
        if self.awaits_snapshot(idx, now) {
            // A heartbeat keeps the follower from starting an election meanwhile.
            let (prev_index, prev_term) = (self.log.last_index(), self.log.last_term());
            let (commit, entries) = (self.commit, Vec::new());
            self.send(to, ReplicaBody::Append { prev_index, prev_term, commit, entries });
            return;
        }
        let progress = &mut self.progress[idx];
        progress.snapshot_at = Some(now);
        progress.sent_at = now;
        match self.settings.snapshot_rule {
            SnapshotRule::Kept => {
                let snapshot = self.log.snapshot().clone();
                self.progress[idx].next = snapshot.index + 1;
                self.send(to, ReplicaBody::Install(snapshot));
            }
            SnapshotRule::OnDemand => self.effects.push(ReplicaEffect::NeedState(to.clone())),
        }
    }

    /// Handles entries that follow `prev`, an index and its term.
    pub(crate) fn handle_append(
        &mut self,
        from: ReplicaId,
        term: u64,
        prev: (u64, u64),
        commit: u64,
        entries: Vec<LogEntry>,
        now: ClockTime,
    ) {
        if term < self.hard.term {
            self.answer_append(&from, AppendAnswer::Mismatched(0));
            return;
        }
        self.follow(&from, now);
        let (prev_index, prev_term) = prev;
        if prev_index < self.log.snapshot().index {
            // The entries start before the snapshot: ask for what follows it.
            let index = self.log.snapshot().index;
            self.answer_append(&from, AppendAnswer::Matched(index));
            return;
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            let hint = self.mismatch_hint(prev_index);
            self.answer_append(&from, AppendAnswer::Mismatched(hint));
            return;
        }
        let matched = prev_index + entries.len() as u64;
        self.store_entries(entries);
        let commit = commit.min(matched);
        if self.commit < commit {
            self.commit = commit;
            self.apply_committed();
        }
        self.answer_append(&from, AppendAnswer::Matched(matched));
    }

    fn mismatch_hint(&self, prev_index: u64) -> u64 {
        let last_index = self.log.last_index();
        if last_index < prev_index {
            return last_index + 1;
        }
        // Skip the whole term that conflicts, down to what is committed.
        let term = self.log.term_at(prev_index);
        let mut index = prev_index;
        while self.commit + 1 < index && self.log.term_at(index - 1) == term {
            index -= 1;
        }
        index.max(self.commit + 1)
    }

    fn store_entries(&mut self, entries: Vec<LogEntry>) {
        let known = entries.iter().take_while(|it| self.log.term_at(it.index) == Some(it.term));
        let n_known = known.count();
        let new_entries: Vec<_> = entries.into_iter().skip(n_known).collect();
        let Some(first) = new_entries.first().map(|it| it.index) else { return };
        if first <= self.log.last_index() {
            check_invariant(Invariant::CommitIsFinal, self.commit < first);
            self.log.truncate_from(first);
            self.effects.push(ReplicaEffect::Store(StoreEffect::TruncateFrom(first)));
        }
        for entry in &new_entries {
            self.log.push(entry.clone());
        }
        self.update_members();
        self.effects.push(ReplicaEffect::Store(StoreEffect::Append(new_entries)));
    }

    /// Installs a snapshot unless it is older than what is committed.
    pub(crate) fn handle_install(
        &mut self,
        from: ReplicaId,
        term: u64,
        snapshot: LogSnapshot,
        now: ClockTime,
    ) {
        if term < self.hard.term {
            self.answer_append(&from, AppendAnswer::Mismatched(0));
            return;
        }
        self.follow(&from, now);
        let index = snapshot.index;
        if self.commit < index {
            self.restore(snapshot);
        }
        self.answer_append(&from, AppendAnswer::Matched(index));
    }

    fn follow(&mut self, leader: &ReplicaId, now: ClockTime) {
        check_invariant(Invariant::OneLeaderPerTerm, self.role != ReplicaRole::Leader);
        let is_same = self.leader.as_ref().is_none_or(|it| it == leader);
        check_invariant(Invariant::OneLeaderPerTerm, is_same);
        self.leader = Some(leader.clone());
        self.last_contact_at = now;
        self.reset_election(now);
        self.set_role(ReplicaRole::Follower, now);
    }

    fn answer_append(&mut self, to: &ReplicaId, answer: AppendAnswer) {
        self.send(to, ReplicaBody::AppendAck(answer));
    }

    /// Updates a follower's progress.
    pub(crate) fn handle_append_ack(
        &mut self,
        from: ReplicaId,
        term: u64,
        answer: AppendAnswer,
        now: ClockTime,
    ) {
        if self.role != ReplicaRole::Leader || term != self.hard.term {
            return;
        }
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.last_contact_at = now;
        match answer {
            AppendAnswer::Matched(index) => {
                progress.snapshot_at = None;
                progress.matched = progress.matched.max(index.min(last_index));
                progress.next = progress.next.max(progress.matched + 1);
            }
            AppendAnswer::Mismatched(hint) => {
                progress.next = hint.clamp(progress.matched + 1, last_index + 1);
            }
        }
        if let Some(idx) = self.progress.get_index_of(&from) {
            self.send_new(idx, now);
        }
        self.advance_commit();
    }

    /// Commits what a quorum of voters holds, once it includes an entry of this term.
    fn advance_commit(&mut self) {
        let matched = |id: &ReplicaId| match self.progress.get(id) {
            _ if *id == self.hard.id => self.log.last_index(),
            Some(progress) => progress.matched,
            None => 0,
        };
        let held = self.voters().iter().map(matched);
        let index = held.filter(|index| self.is_quorum(|it| *index <= matched(it))).max();
        let Some(index) = index else { return };
        if self.commit < index && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
            self.apply_committed();
        }
    }

    /// Whether an entry of the leader's own term is committed.
    pub fn is_settled_leader(&self) -> bool {
        self.role == ReplicaRole::Leader && self.log.term_at(self.commit) == Some(self.hard.term)
    }

    /// Appends a change of voters.
    pub(crate) fn propose_voters(&mut self, voters: indexmap::IndexSet<ReplicaId>, now: ClockTime) {
        self.append_own(EntryPayload::Voters(voters));
        self.flush(now);
    }
}
