//! Elections: pre-votes, votes, leadership transfer, and stepping down without a quorum.

use crate::{
    prelude::*,
    replica_log::EntryPayload,
    replica_message::{ReplicaBody, VoteAnswer, VotePhase},
    replica_node::{PeerProgress, ReplicaNode, ReplicaRole},
};

/// Time without a leader after which a witness starts an election, in election timeouts.
const WITNESS_DELAY_ELECTIONS: u64 = 4;

impl ReplicaNode {
    /// Starts an election when the election timeout has passed without a leader.
    pub(crate) fn tick_follower(&mut self, now: ClockTime) {
        if self.has_lost_group(now) {
            self.start_new_incarnation(now);
            return;
        }
        self.broadcast_leader_lost(now);
        if now < self.election_at {
            return;
        }
        self.reset_election(now);
        self.leader = None;
        if self.may_start_election(now) {
            self.request_votes(VotePhase::Pre, now);
        }
    }

    /// Whether this replica may start an election.
    ///
    /// A witness waits until the others had time for an election of their own. It does not
    /// wait for ever, as it may hold entries that none of them has.
    fn may_start_election(&self, now: ClockTime) -> bool {
        let should_not_lead = self.is_witness_vm(&self.hard.id.vm) || self.transferring_leadership;
        let silent_ms = now.since_ms(self.last_contact_at);
        let had_time = self.settings.election_ms * WITNESS_DELAY_ELECTIONS <= silent_ms;
        self.counts(&self.hard.id) && (!should_not_lead || had_time)
    }

    /// Transfers leadership to a voter that has all entries, if this replica should not lead.
    pub(crate) fn try_transfer_leadership(&mut self) {
        if !self.is_witness_vm(&self.hard.id.vm) && !self.transferring_leadership {
            return;
        }
        let last_index = self.log.last_index();
        let ready = self.progress.iter().filter(|(id, it)| {
            self.counts(id) && it.matched == last_index && !self.is_witness_vm(&id.vm)
        });
        // One that was lost since it had all entries would keep the leadership here.
        let newest = ready.max_by_key(|(_, it)| it.last_contact_at);
        if let Some(id) = newest.map(|(id, _)| id.clone()) {
            self.send(&id, ReplicaBody::TimeoutNow);
        }
    }

    pub(crate) fn is_witness_vm(&self, vm: &VmName) -> bool {
        self.settings.witness.as_ref() == Some(vm)
    }

    /// Starts an election at once, on the leader's request.
    pub(crate) fn handle_timeout_now(&mut self, from: &ReplicaId, term: u64, now: ClockTime) {
        let is_from_leader = self.leader.as_ref() == Some(from) && term == self.hard.term;
        if is_from_leader && self.counts(&self.hard.id) {
            self.reset_election(now);
            self.request_votes(VotePhase::Real, now);
        }
    }

    fn request_votes(&mut self, phase: VotePhase, now: ClockTime) {
        match phase {
            VotePhase::Pre => self.set_role(ReplicaRole::PreCandidate, now),
            VotePhase::Real => {
                self.hard.term += 1;
                self.hard.vote = Some(self.hard.id.clone());
                self.save_hard_state();
                self.set_role(ReplicaRole::Candidate, now);
            }
        }
        self.votes.clear();
        self.votes.insert(self.hard.id.clone());
        let body = ReplicaBody::VoteRequest(phase, self.log.last_index(), self.log.last_term());
        for voter in self.voters().clone() {
            if voter != self.hard.id {
                self.send(&voter, body.clone());
            }
        }
        self.count_votes(phase, now);
    }

    fn count_votes(&mut self, phase: VotePhase, now: ClockTime) {
        if !self.is_quorum(|it| self.votes.contains(it)) {
            return;
        }
        match phase {
            VotePhase::Pre => self.request_votes(VotePhase::Real, now),
            VotePhase::Real => self.become_leader(now),
        }
    }

    /// Answers a request for a vote; `last` is the candidate's last term and index.
    pub(crate) fn handle_vote_request(
        &mut self,
        from: ReplicaId,
        term: u64,
        phase: VotePhase,
        last: (u64, u64),
        now: ClockTime,
    ) {
        let own_last = (self.log.last_term(), self.log.last_index());
        let is_current = own_last <= last;
        let granted = match phase {
            VotePhase::Pre => {
                let has_live_leader = self.leader.is_some()
                    && now.since_ms(self.last_contact_at) < self.settings.election_ms;
                is_current && !has_live_leader && self.hard.term <= term
            }
            VotePhase::Real => {
                let is_free = self.hard.vote.as_ref().is_none_or(|it| *it == from);
                is_current && is_free && term == self.hard.term
            }
        };
        if granted && phase == VotePhase::Real {
            self.hard.vote = Some(from.clone());
            self.save_hard_state();
            self.reset_election(now);
        }
        let answer = if granted { VoteAnswer::Granted } else { VoteAnswer::Refused };
        self.send(&from, ReplicaBody::VoteResponse(phase, answer));
    }

    /// Counts a vote or a pre-vote.
    pub(crate) fn handle_vote_response(
        &mut self,
        from: ReplicaId,
        term: u64,
        phase: VotePhase,
        answer: VoteAnswer,
        now: ClockTime,
    ) {
        if answer == VoteAnswer::Refused {
            // A refusal from a later term tells a pre-candidate that it is behind.
            if self.hard.term < term {
                self.adopt_term(term, now);
            }
            return;
        }
        let is_awaited = match phase {
            VotePhase::Pre => self.role == ReplicaRole::PreCandidate,
            VotePhase::Real => self.role == ReplicaRole::Candidate && term == self.hard.term,
        };
        if is_awaited {
            self.votes.insert(from);
            self.count_votes(phase, now);
        }
    }

    /// Becomes leader and appends a no-op entry of its own term.
    pub(crate) fn become_leader(&mut self, now: ClockTime) {
        self.leader = Some(self.hard.id.clone());
        self.last_contact_at = now;
        self.heartbeat_at = now;
        self.progress.clear();
        let next = self.log.last_index() + 1;
        for voter in self.voters().clone() {
            if voter != self.hard.id {
                self.progress.insert(voter, PeerProgress::new(next, now));
            }
        }
        self.set_role(ReplicaRole::Leader, now);
        self.append_own(EntryPayload::Noop);
        self.flush(now);
    }

    /// Whether a replica is this leader or answered it within an election timeout.
    fn responds(&self, id: &ReplicaId, now: ClockTime) -> bool {
        let is_recent = |at: ClockTime| now.since_ms(at) <= self.settings.election_ms;
        let progress = self.progress.get(id);
        *id == self.hard.id || progress.is_some_and(|it| is_recent(it.last_contact_at))
    }

    /// Voters that answered this leader within an election timeout, and this leader.
    pub fn n_responding_voters(&self, now: ClockTime) -> usize {
        self.voters().iter().filter(|it| self.counts(it) && self.responds(it, now)).count()
    }

    /// Steps down when no quorum has responded within an election timeout.
    pub(crate) fn step_down_without_quorum(&mut self, now: ClockTime) {
        if self.is_quorum(|it| self.responds(it, now)) {
            return;
        }
        self.leader = None;
        self.last_contact_at = now;
        self.reset_election(now);
        self.set_role(ReplicaRole::Follower, now);
    }
}
