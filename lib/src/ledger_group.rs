//! A replica of a data centre's ledger, with those who wait for outcomes.

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

/// Time between looks for lost owners, in ms.
const OWNER_CHECK_MS: u64 = 500;

/// Something for the surroundings to do.
#[derive(Data!)]
pub enum LedgerEffect {
    /// Send a message to the replica on a VM.
    Send(VmName, ReplicaMessage),
    /// Answer a proposal.
    Answer(ProposalWaiter, ProposalAnswer),
    /// Answer a wait for an outcome.
    Awaited(ProposalWaiter, Option<JobOutcome>),
    /// The role has changed.
    Role(ReplicaRole),
    /// The replica began another life.
    Reborn(ReplicaId),
}

/// A replica of a ledger.
pub struct LedgerGroup {
    group: LogGroup<JobLedger>,
    awaits: IndexMap<JobKey, Vec<ProposalWaiter>>,
    led_since: ClockTime,
    owners_checked_at: ClockTime,
    effects: Vec<LedgerEffect>,
}

impl LedgerGroup {
    /// A ledger around a replica, whose log is trimmed after `compact_entries` entries.
    pub fn new(node: ReplicaNode, limits: LedgerLimits, compact_entries: usize) -> LedgerGroup {
        let functions = StateFunctions {
            found: Box::new(move |fence| JobLedger::new(limits, fence)),
            apply: Box::new(apply_entry),
            encode: Box::new(JobLedger::encode),
            decode: Box::new(move |bytes| JobLedger::decode(limits, bytes).ok()),
        };
        LedgerGroup {
            group: LogGroup::new(node, functions, compact_entries),
            awaits: IndexMap::new(),
            led_since: ClockTime::default(),
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

    /// Whether commands can be committed now: the leader is settled and past the fence.
    pub fn is_serving(&self, now: ClockTime) -> bool {
        let is_leading = self.node().is_settled_leader();
        let follows = self.node().role() == ReplicaRole::Follower
            && self.node().leader_vm().is_some()
            && 1 < self.node().commit_index();
        (is_leading || follows) && self.ledger().fence() <= now
    }

    /// Drains the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<LedgerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Lets time pass.
    pub fn tick(&mut self, peers: &PeerTable, own: &OwnerId, now: ClockTime) {
        self.group.tick(now);
        self.carry_out(now);
        let is_due = OWNER_CHECK_MS <= now.since_ms(self.owners_checked_at);
        if is_due && self.node().is_settled_leader() {
            self.owners_checked_at = now;
            self.give_up_owners(peers, own, now);
        }
    }

    fn give_up_owners(&mut self, peers: &PeerTable, own: &OwnerId, now: ClockTime) {
        for owner in self.ledger().running_owners() {
            let is_lost = if owner.vm == own.vm {
                owner.incarnation < own.incarnation
            } else {
                peers.is_lost(&owner, self.led_since, now)
            };
            if is_lost {
                let waiter = ProposalWaiter { vm: own.vm.clone(), request: 0 };
                self.propose(waiter, LedgerCommand::OwnerLost(owner), now);
            }
        }
    }

    /// Takes a message of the group.
    pub fn receive(&mut self, message: ReplicaMessage, now: ClockTime) {
        self.group.receive(message, now);
        self.carry_out(now);
    }

    /// Proposes a command, stamped with this leader's clock.
    pub fn propose(&mut self, waiter: ProposalWaiter, command: LedgerCommand, now: ClockTime) {
        let bytes = postcard::to_stdvec(&LedgerEntry { at: now, command }).unwrap_or_default();
        self.group.propose(waiter, bytes);
        self.carry_out(now);
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
                let waiters = self.awaits.entry(key.clone()).or_default();
                if !waiters.contains(&waiter) {
                    waiters.push(waiter);
                }
            }
            Some(JobState::Settled(outcome)) => {
                self.effects.push(LedgerEffect::Awaited(waiter, Some(outcome)));
            }
            None => self.effects.push(LedgerEffect::Awaited(waiter, None)),
        }
    }

    /// Hands the lead to a replica that has caught up, now and whenever it would lead.
    pub fn hand_over(&mut self) {
        self.group.hand_over();
    }

    /// Sends what was proposed.
    pub fn flush(&mut self, now: ClockTime) {
        self.group.flush(now);
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: ClockTime) {
        for effect in self.group.take_effects() {
            match effect {
                // The ledger is kept in memory only.
                GroupEffect::Store(_) => {}
                GroupEffect::Send(vm, message) => {
                    self.effects.push(LedgerEffect::Send(vm, message))
                }
                GroupEffect::Answer(waiter, answer) => {
                    self.effects.push(LedgerEffect::Answer(waiter, answer));
                }
                GroupEffect::Role(role) => {
                    if role == ReplicaRole::Leader {
                        self.led_since = now;
                    } else {
                        self.refuse_awaits();
                    }
                    self.effects.push(LedgerEffect::Role(role));
                }
                GroupEffect::Reborn(id) => self.effects.push(LedgerEffect::Reborn(id)),
            }
        }
        for key in self.group.state_mut().take_settled() {
            self.answer_awaits(&key);
        }
    }

    fn answer_awaits(&mut self, key: &JobKey) {
        let Some(waiters) = self.awaits.swap_remove(key) else { return };
        let Some(record) = self.ledger().record(key) else { return };
        let JobState::Settled(outcome) = record.state.clone() else { return };
        for waiter in waiters {
            self.effects.push(LedgerEffect::Awaited(waiter, Some(outcome.clone())));
        }
    }

    fn refuse_awaits(&mut self) {
        for (_, waiters) in std::mem::take(&mut self.awaits) {
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
