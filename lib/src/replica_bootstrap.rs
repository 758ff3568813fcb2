//! Joining, bootstrapping and re-bootstrapping a log group.
//!
//! A replica without state looks for its group. A leader that receives its request sends
//! it the log and then admits it as a voter, in place of the former replica of its VM.
//!
//! Where enough VMs have no state ([`BootstrapRule`](crate::replica_node::BootstrapRule)),
//! one of them requests votes to bootstrap a new generation. A replica gives one
//! bootstrap vote per incarnation, and none after joining a generation. A majority of
//! votes starts the generation: the VMs left to any older one are too few for its
//! quorum, which is a majority of the configured VMs. So two generations never commit at
//! the same time. A replica whose vote has no result starts another incarnation.
//!
//! Where the state is on disk, a majority of VMs bootstraps only if each has a record that it
//! may. The record is made at the first start and ends with the first log that the VM stores. It
//! survives a vote without a result, but only for a higher generation. So of two generations
//! that were bootstrapped, the lower one has committed nothing and never will: a VM of both
//! majorities had no log of the lower one when it voted for the other, and no longer has the id
//! that could acknowledge one.

use indexmap::IndexSet;

use crate::{
    prelude::*,
    replica_log::LogSnapshot,
    replica_message::{ReplicaBody, ReplicaMessage},
    replica_node::{BootstrapRule, FreshPeer, PeerProgress, ReplicaNode, ReplicaRole},
};

/// Index of the snapshot with which a generation begins.
const BOOTSTRAP_INDEX: u64 = 1;
/// Time for which a replica looks for a group before it bootstraps one, in election timeouts.
const BOOTSTRAP_DELAY_ELECTIONS: u64 = 3;
/// Further delay for each VM without state listed before this one, in election timeouts.
const BOOTSTRAP_STAGGER_ELECTIONS: u64 = 2;
/// Time after which a pending bootstrap vote or a lost group is abandoned, in election timeouts.
const ABANDON_ELECTIONS: u64 = 8;
/// Time without a leader after which the other VMs are told, in election timeouts.
const LEADER_LOST_ELECTIONS: u64 = 4;
/// Time without state after which a recorded majority need not wait for the other VMs, in
/// election timeouts.
const MAJORITY_DELAY_ELECTIONS: u64 = 4;
/// Time for which a bootstrap waits for the votes of all VMs before a recorded majority is
/// enough, in election timeouts.
const MAJORITY_VOTE_ELECTIONS: u64 = 1;
/// Time for which a VM without state counts after its last message, in election timeouts.
const FRESH_PEER_ELECTIONS: u64 = 2;

impl ReplicaNode {
    /// Looks for a group, bootstraps one or abandons a bootstrap vote.
    pub(crate) fn tick_without_group(&mut self, now: ClockTime) {
        let in_role_ms = now.since_ms(self.role_since);
        if self.role == ReplicaRole::Pledged {
            if self.settings.election_ms * ABANDON_ELECTIONS <= in_role_ms {
                self.start_new_incarnation(now);
            } else if self.settings.bootstrap_rule == BootstrapRule::Recorded {
                self.repeat_bootstrap_request(now);
            }
            return;
        }
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now.plus_ms(self.settings.heartbeat_ms);
        self.send_to_vms(&ReplicaBody::JoinRequest);
        let n_elections =
            BOOTSTRAP_DELAY_ELECTIONS + BOOTSTRAP_STAGGER_ELECTIONS * self.n_fresh_vms_before(now);
        if self.settings.election_ms * n_elections <= in_role_ms && self.may_bootstrap(now) {
            self.request_bootstrap_votes(now);
        }
    }

    fn n_fresh_vms(&self, now: ClockTime) -> usize {
        let limit_ms = self.settings.election_ms * FRESH_PEER_ELECTIONS;
        self.fresh_peers.values().filter(|it| now.since_ms(it.last_contact_at) <= limit_ms).count()
    }

    /// Number of VMs without state that take precedence over this one in a bootstrap.
    fn n_fresh_vms_before(&self, now: ClockTime) -> u64 {
        let limit_ms = self.settings.election_ms * FRESH_PEER_ELECTIONS;
        let ahead = self.vms().iter().take_while(|it| **it != self.hard.id.vm);
        let fresh = ahead.filter(|it| {
            self.fresh_peers.get(*it).is_some_and(|it| now.since_ms(it.last_contact_at) <= limit_ms)
        });
        fresh.count() as u64
    }

    /// VMs that a bootstrap needs now: without state to begin with, then with their votes.
    fn n_bootstrap_vms(&self, now: ClockTime) -> usize {
        match self.settings.bootstrap_rule {
            BootstrapRule::Majority => self.quorum(),
            BootstrapRule::All => self.vms().len(),
            BootstrapRule::Recorded if self.hard.may_bootstrap() => {
                let n_elections = match self.role {
                    ReplicaRole::Pledged => MAJORITY_VOTE_ELECTIONS,
                    _ => MAJORITY_DELAY_ELECTIONS,
                };
                let delay_ms = self.settings.election_ms * n_elections;
                let had_time = delay_ms <= now.since_ms(self.role_since);
                if had_time { self.quorum() } else { self.vms().len() }
            }
            BootstrapRule::Recorded | BootstrapRule::Never => usize::MAX,
        }
    }

    fn may_bootstrap(&self, now: ClockTime) -> bool {
        let n_needed = self.n_bootstrap_vms(now);
        let is_member = self.vms().contains(&self.hard.id.vm);
        is_member && !self.is_witness_vm(&self.hard.id.vm) && n_needed <= self.n_fresh_vms(now) + 1
    }

    fn request_bootstrap_votes(&mut self, now: ClockTime) {
        // No VM votes for a generation below its incarnation, and clocks differ.
        let peers = self.fresh_peers.values().map(|it| it.id.incarnation);
        let newest = peers.max().unwrap_or(0).max(self.hard.id.incarnation);
        let generation = GenerationId(now.0.max(newest));
        self.hard.bootstrap_vote = Some(generation);
        self.save_hard_state();
        self.set_role(ReplicaRole::Pledged, now);
        self.bootstrap_votes.clear();
        self.bootstrap_votes.insert(self.hard.id.clone(), now);
        self.send_to_vms(&ReplicaBody::BootstrapVoteRequest(generation));
        self.bootstrap_with_quorum(now);
    }

    /// Asks again for votes that may be lost, and counts those that came.
    fn repeat_bootstrap_request(&mut self, now: ClockTime) {
        let Some(generation) = self.hard.bootstrap_vote else { return };
        if !self.bootstrap_votes.contains_key(&self.hard.id) {
            return;
        }
        if self.heartbeat_at <= now {
            self.heartbeat_at = now.plus_ms(self.settings.heartbeat_ms);
            self.send_to_vms(&ReplicaBody::BootstrapVoteRequest(generation));
        }
        self.bootstrap_with_quorum(now);
    }

    /// Votes for a bootstrap unless this incarnation has voted or joined a generation.
    pub(crate) fn handle_bootstrap_vote_request(
        &mut self,
        from: ReplicaId,
        generation: GenerationId,
        now: ClockTime,
    ) {
        if self.settings.bootstrap_rule == BootstrapRule::Never {
            return;
        }
        if self.settings.bootstrap_rule == BootstrapRule::Recorded {
            let has_voted =
                self.role == ReplicaRole::Pledged && self.hard.bootstrap_vote == Some(generation);
            if has_voted {
                self.send(&from, ReplicaBody::BootstrapVoteResponse(generation, now));
            }
            if !self.hard.may_bootstrap() || generation.0 < self.hard.id.incarnation {
                return;
            }
        }
        if self.role != ReplicaRole::Fresh {
            return;
        }
        self.hard.bootstrap_vote = Some(generation);
        self.save_hard_state();
        self.set_role(ReplicaRole::Pledged, now);
        self.send(&from, ReplicaBody::BootstrapVoteResponse(generation, now));
    }

    /// Counts a vote for the bootstrap that this replica started.
    pub(crate) fn handle_bootstrap_vote_response(
        &mut self,
        from: ReplicaId,
        generation: GenerationId,
        clock: ClockTime,
        now: ClockTime,
    ) {
        if self.role == ReplicaRole::Leader && self.hard.generation == Some(generation) {
            self.handle_join_request(from, now);
            return;
        }
        let is_own = self.bootstrap_votes.contains_key(&self.hard.id);
        if self.role != ReplicaRole::Pledged
            || !is_own
            || self.hard.bootstrap_vote != Some(generation)
        {
            return;
        }
        // After a standstill, the others may have started new incarnations since they voted.
        let limit_ms = self.settings.election_ms * ABANDON_ELECTIONS;
        if self.settings.bootstrap_rule == BootstrapRule::Recorded
            && limit_ms <= now.since_ms(self.role_since)
        {
            return;
        }
        self.bootstrap_votes.insert(from, clock);
        self.bootstrap_with_quorum(now);
    }

    fn bootstrap_with_quorum(&mut self, now: ClockTime) {
        if self.bootstrap_votes.len() < self.n_bootstrap_vms(now) {
            return;
        }
        let voters: IndexSet<ReplicaId> = self.bootstrap_votes.keys().cloned().collect();
        let latest = self.bootstrap_votes.values().copied().max().unwrap_or(now).max(now);
        let fence = latest.plus_ms(2 * self.settings.clock_skew_ms);
        self.bootstrap_votes.clear();
        self.hard.generation = self.hard.bootstrap_vote.take();
        self.hard.term = 1;
        self.hard.vote = Some(self.hard.id.clone());
        self.save_hard_state();
        let index = BOOTSTRAP_INDEX;
        self.restore(LogSnapshot { index, term: 1, voters, fence, state: Vec::new() });
        self.become_leader(now);
        for progress in self.progress.values_mut() {
            progress.next = 1;
        }
        self.flush(now);
    }

    /// Records a VM without state; a leader starts to send it the log.
    pub(crate) fn handle_join_request(&mut self, from: ReplicaId, now: ClockTime) {
        let known = self.fresh_peers.get(&from.vm);
        if known.is_some_and(|it| from.incarnation < it.id.incarnation) {
            return;
        }
        let peer = FreshPeer { id: from.clone(), last_contact_at: now };
        self.fresh_peers.insert(from.vm.clone(), peer);
        self.send_log_to(from, now);
    }

    /// Starts to send the log to a replica that is not sent it yet, so that it can be admitted.
    fn send_log_to(&mut self, from: ReplicaId, now: ClockTime) {
        if self.role != ReplicaRole::Leader || self.progress.contains_key(&from) {
            return;
        }
        let newer = |it: &ReplicaId| it.vm == from.vm && from.incarnation <= it.incarnation;
        if self.voters().iter().any(newer) || self.progress.keys().any(newer) {
            return;
        }
        let voters = self.voters().clone();
        self.progress.retain(|id, _| id.vm != from.vm || voters.contains(id));
        let next = self.log.last_index() + 1;
        self.progress.insert(from, PeerProgress::new(next, now));
    }

    /// Admits a caught-up replica, after removing the former one of its VM.
    ///
    /// Voters of VMs that left the group are removed first.
    pub(crate) fn admit_replicas(&mut self, now: ClockTime) {
        if !self.may_change_group() {
            return;
        }
        let voters = self.voters().clone();
        let is_departed = |it: &&ReplicaId| !self.vms().contains(&it.vm) && **it != self.hard.id;
        if let Some(departed) = voters.iter().find(is_departed).cloned() {
            let mut changed = voters;
            changed.shift_remove(&departed);
            self.progress.shift_remove(&departed);
            self.propose_voters(changed, now);
            return;
        }
        let ready = self.progress.iter().find(|(id, it)| {
            !voters.contains(*id)
                && self.vms().contains(&id.vm)
                && self.commit <= it.matched
                && now.since_ms(it.last_contact_at) <= self.settings.election_ms
        });
        let Some((id, _)) = ready else { return };
        let id = id.clone();
        let mut changed = voters;
        let former = changed.iter().find(|it| it.vm == id.vm).cloned();
        match former {
            Some(former) => {
                changed.shift_remove(&former);
                self.progress.shift_remove(&former);
            }
            None => {
                changed.insert(id);
            }
        }
        self.propose_voters(changed, now);
    }

    /// Whether a message's generation is this replica's, joining it when there is none.
    pub(crate) fn enter_generation(&mut self, message: &ReplicaMessage, now: ClockTime) -> bool {
        let Some(generation) = message.generation else { return false };
        if self.hard.generation == Some(generation) {
            return true;
        }
        let is_from_leader =
            matches!(message.body, ReplicaBody::Append { .. } | ReplicaBody::Install(_));
        match self.hard.generation {
            None if self.may_join_by(&message.body, generation) => {
                self.join_generation(generation, now)
            }
            Some(own) if is_from_leader && own < generation && self.may_abandon_generation() => {
                self.start_new_incarnation(now);
                false
            }
            None | Some(_) => false,
        }
    }

    /// Whether a message makes a replica without state join its sender's generation.
    fn may_join_by(&self, body: &ReplicaBody, generation: GenerationId) -> bool {
        let is_recorded = self.settings.bootstrap_rule == BootstrapRule::Recorded;
        match body {
            ReplicaBody::Install(_) => true,
            // The record that allows a bootstrap ends with the first log, not before it.
            ReplicaBody::Append { .. } => !is_recorded,
            // The leader may be lost before its log has reached all who voted for it.
            ReplicaBody::VoteRequest(..) => {
                is_recorded && self.hard.bootstrap_vote == Some(generation)
            }
            _ => false,
        }
    }

    /// Whether a replica may forget a generation once a higher one is known to have a leader.
    fn may_abandon_generation(&self) -> bool {
        match self.settings.bootstrap_rule {
            BootstrapRule::Majority => true,
            BootstrapRule::Recorded => {
                self.commit <= BOOTSTRAP_INDEX && self.log.snapshot().index <= BOOTSTRAP_INDEX
            }
            BootstrapRule::All | BootstrapRule::Never => false,
        }
    }

    /// Tells a replica of an older generation that a newer one has a leader.
    pub(crate) fn answer_older_generation(&mut self, message: &ReplicaMessage) {
        let is_older = message.generation < self.hard.generation && message.generation.is_some();
        if !is_older || self.role != ReplicaRole::Leader {
            return;
        }
        let prev_index = self.log.last_index();
        let prev_term = self.log.last_term();
        let commit = self.commit;
        let body = ReplicaBody::Append { prev_index, prev_term, commit, entries: Vec::new() };
        self.send(&message.from, body);
    }

    fn join_generation(&mut self, generation: GenerationId, now: ClockTime) -> bool {
        if self.hard.bootstrap_vote.is_some_and(|it| it != generation) {
            return false;
        }
        self.hard.bootstrap_vote = None;
        self.hard.generation = Some(generation);
        self.save_hard_state();
        self.reset_election(now);
        self.last_contact_at = now;
        self.set_role(ReplicaRole::Follower, now);
        true
    }

    /// Tells the other VMs that this replica has no leader, so that one of a newer
    /// generation can answer.
    pub(crate) fn broadcast_leader_lost(&mut self, now: ClockTime) {
        // A replica that does not vote has no other way to be found by a new leader.
        let n_elections = if self.counts(&self.hard.id) { LEADER_LOST_ELECTIONS } else { 1 };
        let silent_ms = self.settings.election_ms * n_elections;
        if now.since_ms(self.last_contact_at) < silent_ms || now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now.plus_ms(self.settings.heartbeat_ms);
        self.send_to_contacts(&ReplicaBody::LeaderLost);
    }

    /// Handles the report of a replica that has no leader.
    ///
    /// A member of a newer generation shows that the generation was bootstrapped, so an
    /// older one can commit nothing more.
    pub(crate) fn handle_leader_lost(&mut self, message: &ReplicaMessage, now: ClockTime) {
        self.answer_older_generation(message);
        // A VM that was removed and added again comes back with its log: it does not ask to join.
        if self.hard.generation.is_some() && self.hard.generation == message.generation {
            self.send_log_to(message.from.clone(), now);
        }
        let is_newer = self.hard.generation.is_some() && self.hard.generation < message.generation;
        let has_lost_leader = self.role != ReplicaRole::Leader
            && self.settings.election_ms * ABANDON_ELECTIONS <= now.since_ms(self.last_contact_at);
        if is_newer && has_lost_leader && self.settings.bootstrap_rule == BootstrapRule::Majority {
            self.start_new_incarnation(now);
        }
    }

    /// Whether this replica should abandon its group.
    ///
    /// A replica that is no voter has nothing to keep. A voter abandons its state only where
    /// it is in memory, once a majority of VMs is known to have none.
    pub(crate) fn has_lost_group(&self, now: ClockTime) -> bool {
        let limit_ms = self.settings.election_ms * ABANDON_ELECTIONS;
        if now.since_ms(self.last_contact_at) < limit_ms {
            return false;
        }
        match self.settings.bootstrap_rule {
            BootstrapRule::Majority => {
                let is_voter = self.voters().contains(&self.hard.id);
                !is_voter || self.quorum() <= self.n_fresh_vms(now)
            }
            BootstrapRule::All | BootstrapRule::Recorded | BootstrapRule::Never => {
                !self.voters().contains(&self.hard.id)
            }
        }
    }
}
