//! A replica together with the state machine that its log drives.
//!
//! Proposals come from any VM. The leader remembers who asked, applies the command
//! once it is committed and answers; others answer with the leader they know. A
//! proposal whose leader is lost is not answered: its sender asks again, and every
//! command is safe to apply twice.

use indexmap::IndexMap;

use crate::{
    prelude::*,
    replica_effect::{ReplicaEffect, StoreEffect},
    replica_message::ReplicaMessage,
    replica_node::{ReplicaNode, ReplicaRole, SnapshotRule},
};

/// Applies a command to a state and encodes the answer.
pub type ApplyFunction<S> = Box<dyn Fn(&mut S, &[u8]) -> Vec<u8> + Send>;
/// Encodes a state.
pub type EncodeFunction<S> = Box<dyn Fn(&S) -> Vec<u8> + Send>;
/// Decodes a state.
pub type DecodeFunction<S> = Box<dyn Fn(&[u8]) -> Option<S> + Send>;

/// The functions that make a state `S` a state machine.
pub struct StateFunctions<S> {
    /// The initial state of a generation with this fence.
    pub initial_state: Box<dyn Fn(ClockTime) -> S + Send>,
    /// Applies a command and encodes the answer.
    pub apply: ApplyFunction<S>,
    /// Encodes the state.
    pub encode: EncodeFunction<S>,
    /// Decodes the state.
    pub decode: DecodeFunction<S>,
}

/// Who waits for the answer to a proposal.
#[derive(Data!)]
pub struct ProposalWaiter {
    /// VM of the process that asked.
    pub vm: VmName,
    /// Its number for the request.
    pub request: u64,
}

/// The answer to a proposal.
#[derive(Data!)]
pub enum ProposalAnswer {
    /// Committed and applied; the state machine's answer.
    Applied(Vec<u8>),
    /// This replica does not lead; the leader's VM, if known.
    NotLeader(Option<VmName>),
}

/// An action for the host to run.
#[derive(Data!)]
pub enum GroupEffect {
    /// Change the durable state.
    Store(StoreEffect),
    /// Send a message to the replica on a VM.
    Send(VmName, ReplicaMessage),
    /// Answer a proposal.
    Answer(ProposalWaiter, ProposalAnswer),
    /// The role has changed.
    RoleChanged(ReplicaRole),
    /// The replica started another incarnation.
    NewIncarnation(ReplicaId),
}

/// A replica with its state machine.
pub struct LogGroup<S> {
    node: ReplicaNode,
    state: S,
    functions: StateFunctions<S>,
    waiters: IndexMap<u64, (u64, ProposalWaiter)>,
    compact_entries: usize,
    effects: Vec<GroupEffect>,
}

impl<S> LogGroup<S> {
    /// A group around `node`, which compacts its log after `compact_entries` entries.
    pub fn new(
        node: ReplicaNode,
        functions: StateFunctions<S>,
        compact_entries: usize,
    ) -> LogGroup<S> {
        let state = (functions.initial_state)(ClockTime::default());
        let waiters = IndexMap::new();
        let mut group =
            LogGroup { node, state, functions, waiters, compact_entries, effects: Vec::new() };
        group.run_effects();
        group
    }

    /// The replica.
    pub fn node(&self) -> &ReplicaNode {
        &self.node
    }

    /// Stores the VMs of a group whose log this replica does not have yet.
    pub fn learn_vms(&mut self, vms: &[VmName]) {
        self.node.learn_vms(vms);
        self.run_effects();
    }

    /// Makes the replica on a VM that was just added a voter.
    pub fn admit_learner(&mut self, vm: &VmName, now: ClockTime) {
        self.node.admit_learner(vm, now);
        self.run_effects();
    }

    /// Sets further VMs to ask for a leader.
    pub fn set_contacts(&mut self, vms: &[VmName]) {
        self.node.set_contacts(vms);
    }

    /// Keeps this replica from a bootstrap, as its group is known to exist.
    pub fn forbid_bootstrap(&mut self) {
        self.node.forbid_bootstrap();
    }

    /// Forgets the log of a group that this VM no longer belongs to.
    pub fn leave_group(&mut self, now: ClockTime) {
        self.node.leave_group(now);
        self.run_effects();
    }

    /// The state as of the applied index.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The state, for what is not part of a snapshot.
    pub fn state_mut(&mut self) -> &mut S {
        &mut self.state
    }

    /// Drains the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<GroupEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Transfers leadership to a caught-up replica, now and whenever this one becomes leader.
    pub fn transfer_leadership(&mut self) {
        self.node.transfer_leadership();
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: ClockTime) {
        self.node.tick(now);
        self.run_effects();
    }

    /// Handles a message from another replica.
    pub fn handle_message(&mut self, message: ReplicaMessage, now: ClockTime) {
        self.node.handle_message(message, now);
        self.run_effects();
    }

    /// Proposes a command for `waiter`; [`LogGroup::flush`] sends it.
    pub fn propose(&mut self, waiter: ProposalWaiter, command: Vec<u8>) {
        match self.node.propose(command) {
            Ok(index) => {
                self.waiters.insert(index, (self.node.term(), waiter));
            }
            Err(error) => {
                let answer = ProposalAnswer::NotLeader(error.leader);
                self.effects.push(GroupEffect::Answer(waiter, answer));
            }
        }
        self.run_effects();
    }

    /// Sends what was proposed and compacts the log when it has grown.
    pub fn flush(&mut self, now: ClockTime) {
        self.node.flush(now);
        self.run_effects();
        if self.compact_entries <= self.node.log().n_entries() {
            self.compact();
        }
    }

    fn compact(&mut self) {
        match self.node.snapshot_rule() {
            SnapshotRule::Kept => {
                let state = (self.functions.encode)(&self.state);
                self.node.compact(state);
                self.run_effects();
            }
            // Replicas that lag a little are still served from the log.
            SnapshotRule::OnDemand => self.node.trim(self.compact_entries as u64 / 2),
        }
    }

    fn run_effects(&mut self) {
        while self.run_effects_once() {}
    }

    /// Runs the replica's effects; returns whether that produced more.
    fn run_effects_once(&mut self) -> bool {
        let mut again = false;
        for effect in self.node.drain_effects() {
            match effect {
                ReplicaEffect::Store(it) => self.effects.push(GroupEffect::Store(it)),
                ReplicaEffect::Send(vm, it) => self.effects.push(GroupEffect::Send(vm, it)),
                ReplicaEffect::Apply(index, command) => self.apply(index, &command),
                ReplicaEffect::Restore(snapshot) => {
                    self.state = if snapshot.state.is_empty() {
                        (self.functions.initial_state)(snapshot.fence)
                    } else {
                        // Continuing without the state would lose committed commands.
                        (self.functions.decode)(&snapshot.state)
                            .expect("a snapshot decodes with the code that made it")
                    };
                }
                ReplicaEffect::NeedState(id) => {
                    let state = (self.functions.encode)(&self.state);
                    self.node.send_state(&id, state);
                    again = true;
                }
                ReplicaEffect::RoleChanged(role) => {
                    if role != ReplicaRole::Leader {
                        self.reject_waiters();
                    }
                    self.effects.push(GroupEffect::RoleChanged(role));
                }
                ReplicaEffect::NewIncarnation(id) => {
                    self.state = (self.functions.initial_state)(ClockTime::default());
                    self.effects.push(GroupEffect::NewIncarnation(id));
                }
            }
        }
        again
    }

    fn apply(&mut self, index: u64, command: &[u8]) {
        let answer = (self.functions.apply)(&mut self.state, command);
        let Some((term, waiter)) = self.waiters.swap_remove(&index) else { return };
        if self.node.log().term_at(index) == Some(term) {
            let answer = ProposalAnswer::Applied(answer);
            self.effects.push(GroupEffect::Answer(waiter, answer));
        }
    }

    /// Answers all waiters with "not the leader"; their proposals may still be committed.
    fn reject_waiters(&mut self) {
        for (_, (_, waiter)) in self.waiters.drain(..) {
            let answer = ProposalAnswer::NotLeader(None);
            self.effects.push(GroupEffect::Answer(waiter, answer));
        }
    }
}
