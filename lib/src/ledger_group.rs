//! A replica of a data centre's ledger, with the requests that wait for outcomes.

use indexmap::IndexMap;

use crate::{
    job_ledger::{
        JobLedger, JobOutcome, JobState, LedgerCommand, LedgerEntry, LedgerLimits, OwnerId,
    },
    log_group::{GroupEffect, LogGroup, ProposalAnswer, ProposalWaiter, StateFunctions},
    peer_table::PeerTable,
    prelude::*,
    replica_message::ReplicaMessage,
    replica_node::{ReplicaNode, ReplicaRole},
};

/// Time between checks for lost owners, in ms.
const OWNER_CHECK_MS: u64 = 500;

/// An action for the host to run.
#[derive(Data!)]
pub enum LedgerEffect {
    /// Send a message to the replica on a VM.
    Send(VmName, ReplicaMessage),
    /// Answer a proposal.
    Answer(ProposalWaiter, ProposalAnswer),
    /// Answer a wait for an outcome.
    AnswerAwait(ProposalWaiter, Option<JobOutcome>),
    /// The role has changed.
    RoleChanged(ReplicaRole),
    /// The replica started another incarnation.
    NewIncarnation(ReplicaId),
}

/// A replica of a ledger.
pub struct LedgerGroup {
    group: LogGroup<JobLedger>,
    outcome_waiters: IndexMap<JobKey, Vec<ProposalWaiter>>,
    leader_since: ClockTime,
    owners_checked_at: ClockTime,
    effects: Vec<LedgerEffect>,
}

impl LedgerGroup {
    /// A ledger around a replica, whose log is trimmed after `compact_entries` entries.
    pub fn new(node: ReplicaNode, limits: LedgerLimits, compact_entries: usize) -> LedgerGroup {
        let functions = StateFunctions {
            initial_state: Box::new(move |fence| JobLedger::new(limits, fence)),
            apply: Box::new(apply_entry),
            encode: Box::new(JobLedger::encode),
            decode: Box::new(move |bytes| JobLedger::decode(limits, bytes).ok()),
        };
        LedgerGroup {
            group: LogGroup::new(node, functions, compact_entries),
            outcome_waiters: IndexMap::new(),
            leader_since: ClockTime::default(),
            owners_checked_at: ClockTime::default(),
            effects: Vec::new(),
        }
    }

    /// The replica.
    pub fn node(&self) -> &ReplicaNode {
        self.group.node()
    }

    /// The ledger as of the applied index.
    pub fn ledger(&self) -> &JobLedger {
        self.group.state()
    }

    /// Whether commands can be committed now: there is a leader, and its fence has passed.
    pub fn is_serving(&self, now: ClockTime) -> bool {
        let is_leading = self.node().is_settled_leader();
        let follows = self.node().role() == ReplicaRole::Follower
            && self.node().leader_vm().is_some()
            && 1 < self.node().commit_index();
        (is_leading || follows) && self.ledger().fence() <= now
    }

    /// Drains the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<LedgerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, peers: &PeerTable, own: &OwnerId, now: ClockTime) {
        self.group.tick(now);
        self.run_effects(now);
        let is_due = OWNER_CHECK_MS <= now.since_ms(self.owners_checked_at);
        if is_due && self.node().is_settled_leader() {
            self.owners_checked_at = now;
            self.expire_owners(peers, own, now);
        }
    }

    fn expire_owners(&mut self, peers: &PeerTable, own: &OwnerId, now: ClockTime) {
        for owner in self.ledger().running_owners() {
            let is_lost = if owner.vm == own.vm {
                owner.incarnation < own.incarnation
            } else {
                peers.is_lost(&owner, self.leader_since, now)
            };
            if is_lost {
                let waiter = ProposalWaiter { vm: own.vm.clone(), request: 0 };
                self.propose(waiter, LedgerCommand::OwnerLost(owner), now);
            }
        }
    }

    /// Handles a message from another replica.
    pub fn handle_message(&mut self, message: ReplicaMessage, now: ClockTime) {
        self.group.handle_message(message, now);
        self.run_effects(now);
    }

    /// Proposes a command, stamped with this leader's clock.
    pub fn propose(&mut self, waiter: ProposalWaiter, command: LedgerCommand, now: ClockTime) {
        let bytes = postcard::to_stdvec(&LedgerEntry { at: now, command }).unwrap_or_default();
        self.group.propose(waiter, bytes);
        self.run_effects(now);
    }

    /// Answers once a job has ended, or at once when it is not known.
    pub fn wait_for(&mut self, waiter: ProposalWaiter, key: &JobKey) {
        if !self.node().is_settled_leader() {
            let leader = self.node().leader_vm().cloned();
            self.effects.push(LedgerEffect::Answer(waiter, ProposalAnswer::NotLeader(leader)));
            return;
        }
        match self.ledger().record(key).map(|it| it.state.clone()) {
            Some(JobState::Running) => {
                let waiters = self.outcome_waiters.entry(key.clone()).or_default();
                if !waiters.contains(&waiter) {
                    waiters.push(waiter);
                }
            }
            Some(JobState::Settled(outcome)) => {
                self.effects.push(LedgerEffect::AnswerAwait(waiter, Some(outcome)));
            }
            None => self.effects.push(LedgerEffect::AnswerAwait(waiter, None)),
        }
    }

    /// Transfers leadership to a caught-up replica, now and whenever this one becomes leader.
    pub fn transfer_leadership(&mut self) {
        self.group.transfer_leadership();
    }

    /// Sends what was proposed.
    pub fn flush(&mut self, now: ClockTime) {
        self.group.flush(now);
        self.run_effects(now);
    }

    fn run_effects(&mut self, now: ClockTime) {
        for effect in self.group.drain_effects() {
            match effect {
                // The ledger is kept in memory only.
                GroupEffect::Store(_) => {}
                GroupEffect::Send(vm, message) => {
                    self.effects.push(LedgerEffect::Send(vm, message))
                }
                GroupEffect::Answer(waiter, answer) => {
                    self.effects.push(LedgerEffect::Answer(waiter, answer));
                }
                GroupEffect::RoleChanged(role) => {
                    if role == ReplicaRole::Leader {
                        self.leader_since = now;
                    } else {
                        self.reject_outcome_waiters();
                    }
                    self.effects.push(LedgerEffect::RoleChanged(role));
                }
                GroupEffect::NewIncarnation(id) => {
                    self.effects.push(LedgerEffect::NewIncarnation(id))
                }
            }
        }
        for key in self.group.state_mut().drain_settled() {
            self.answer_outcome_waiters(&key);
        }
    }

    fn answer_outcome_waiters(&mut self, key: &JobKey) {
        let Some(waiters) = self.outcome_waiters.swap_remove(key) else { return };
        let Some(record) = self.ledger().record(key) else { return };
        let JobState::Settled(outcome) = record.state.clone() else { return };
        for waiter in waiters {
            self.effects.push(LedgerEffect::AnswerAwait(waiter, Some(outcome.clone())));
        }
    }

    fn reject_outcome_waiters(&mut self) {
        for (_, waiters) in std::mem::take(&mut self.outcome_waiters) {
            for waiter in waiters {
                let answer = ProposalAnswer::NotLeader(None);
                self.effects.push(LedgerEffect::Answer(waiter, answer));
            }
        }
    }
}

fn apply_entry(ledger: &mut JobLedger, bytes: &[u8]) -> Vec<u8> {
    let entry: LedgerEntry =
        postcard::from_bytes(bytes).expect("a committed entry decodes with the code that made it");
    let answer = ledger.apply(entry);
    postcard::to_stdvec(&answer).unwrap_or_default()
}
