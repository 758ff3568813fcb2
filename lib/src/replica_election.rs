//! Elections: pre-vote, votes, and the step down of a leader without a quorum.

use crate::{
    prelude::*,
    replica_log::EntryPayload,
    replica_message::{ReplicaBody, VoteAnswer, VotePhase},
    replica_node::{PeerProgress, ReplicaNode, ReplicaRole},
};

/// Silence of the leader after which a witness stands for election, in election times.
const WITNESS_ELECTIONS: u64 = 4;

impl ReplicaNode {
    /// Stands for election when the leader has been silent for too long.
    pub(crate) fn tick_follower(&mut self, now: ClockTime) {
        if self.is_stranded(now) {
            self.begin_new_life(now);
            return;
        }
        self.report_stranded(now);
        if now < self.election_at {
            return;
        }
        self.reset_election(now);
        self.leader = None;
        if self.may_stand(now) {
            self.ask_votes(VotePhase::Pre, now);
        }
    }

    /// A witness stands when the others had time for an election of their own: it may
    /// hold entries that none of them has.
    fn may_stand(&self, now: ClockTime) -> bool {
        let is_reluctant = self.is_witness_vm(&self.hard.id.vm) || self.handing_over;
        let silent_ms = now.since_ms(self.heard_at);
        let had_time = self.settings.election_ms * WITNESS_ELECTIONS <= silent_ms;
        self.voters().contains(&self.hard.id) && (!is_reluctant || had_time)
    }

    /// Hands the lead to a voter that has all entries, if this replica should not lead.
    pub(crate) fn hand_over_lead(&mut self) {
        if !self.is_witness_vm(&self.hard.id.vm) && !self.handing_over {
            return;
        }
        let last_index = self.log.last_index();
        let voters = self.voters();
        let ready = self.progress.iter().find(|(id, it)| {
            voters.contains(*id) && it.matched == last_index && !self.is_witness_vm(&id.vm)
        });
        if let Some(id) = ready.map(|(id, _)| id.clone()) {
            self.send(&id, ReplicaBody::TakeOver);
        }
    }

    pub(crate) fn is_witness_vm(&self, vm: &VmName) -> bool {
        self.settings.witness.as_ref() == Some(vm)
    }

    /// Stands for election at once, as the leader asks.
    pub(crate) fn on_take_over(&mut self, from: &ReplicaId, term: u64, now: ClockTime) {
        let is_from_leader = self.leader.as_ref() == Some(from) && term == self.hard.term;
        if is_from_leader && self.voters().contains(&self.hard.id) {
            self.reset_election(now);
            self.ask_votes(VotePhase::Real, now);
        }
    }

    fn ask_votes(&mut self, phase: VotePhase, now: ClockTime) {
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
        let body = ReplicaBody::VoteAsk(phase, self.log.last_index(), self.log.last_term());
        for voter in self.voters().clone() {
            if voter != self.hard.id {
                self.send(&voter, body.clone());
            }
        }
        self.count_votes(phase, now);
    }

    fn count_votes(&mut self, phase: VotePhase, now: ClockTime) {
        let voters = self.voters();
        let n_votes = self.votes.iter().filter(|it| voters.contains(*it)).count();
        if n_votes < self.quorum() {
            return;
        }
        match phase {
            VotePhase::Pre => self.ask_votes(VotePhase::Real, now),
            VotePhase::Real => self.lead(now),
        }
    }

    /// Answers a request for a vote; `last` is the candidate's last term and index.
    pub(crate) fn on_vote_ask(
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
                let hears_leader = self.leader.is_some()
                    && now.since_ms(self.heard_at) < self.settings.election_ms;
                is_current && !hears_leader && self.hard.term <= term
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
        self.send(&from, ReplicaBody::VoteGive(phase, answer));
    }

    /// Counts a vote.
    pub(crate) fn on_vote_give(
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

    /// Takes the lead and commits an entry of its own term.
    pub(crate) fn lead(&mut self, now: ClockTime) {
        self.leader = Some(self.hard.id.clone());
        self.heard_at = now;
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

    /// Steps down when a quorum has not been heard for an election time.
    pub(crate) fn step_down_without_quorum(&mut self, now: ClockTime) {
        let voters = self.voters();
        let n_heard = self.progress.iter().filter(|(id, it)| {
            voters.contains(*id) && now.since_ms(it.heard_at) <= self.settings.election_ms
        });
        let n_heard = n_heard.count() + usize::from(voters.contains(&self.hard.id));
        if self.quorum() <= n_heard {
            return;
        }
        self.leader = None;
        self.heard_at = now;
        self.reset_election(now);
        self.set_role(ReplicaRole::Follower, now);
    }
}
