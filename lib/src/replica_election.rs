//! Elections: pre-vote, votes, and the step down of a leader without a quorum.

use crate::{
    prelude::*,
    replica_log::EntryPayload,
    replica_message::{ReplicaBody, VoteAnswer, VotePhase},
    replica_node::{LeaderRule, PeerProgress, ReplicaNode, ReplicaRole},
};

impl ReplicaNode {
    /// Stands for election when the leader has been silent for too long.
    pub(crate) fn tick_follower(&mut self, now: ClockTime) {
        if self.is_stranded(now) {
            self.begin_new_life(now);
            return;
        }
        if now < self.election_at {
            return;
        }
        self.reset_election(now);
        self.leader = None;
        if self.may_stand() {
            self.ask_votes(VotePhase::Pre, now);
        }
    }

    fn may_stand(&self) -> bool {
        self.settings.leader_rule == LeaderRule::MayLead && self.voters().contains(&self.hard.id)
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
                let progress = PeerProgress { matched: 0, next, heard_at: now, sent_at: now };
                self.progress.insert(voter, progress);
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
