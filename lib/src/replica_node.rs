//! One replica of a replicated log: its state, role and entry points.
//!
//! The log follows Raft (Ongaro and Ousterhout, 2014) with pre-vote, a leader that
//! steps down when no quorum responds, snapshots and membership changes by
//! a single server. Three things differ.
//!
//! - The quorum is one of the group's VMs, whatever the number of voters at the
//!   moment; see [`GroupMembers`]. A VM holds one voter at most. Where the log changes the group, the newest
//!   group in it is in force from when it is appended; see [`GroupReader`].
//! - A replica that lost its state is another replica: it has a new id and does not
//!   vote until a membership change has admitted it.
//! - A group without a live majority is bootstrapped again as another generation. See
//!   `replica_bootstrap`.
//!
//! The node reads no clock and sends nothing: each entry point takes the time and
//! appends to a list of effects, which [`ReplicaNode::drain_effects`] drains.

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    group_members::GroupMembers,
    prelude::*,
    replica_effect::{HardState, ReplicaEffect, StoreEffect},
    replica_log::{EntryPayload, LogEntry, LogSnapshot, ReplicaLog},
    replica_message::{ReplicaBody, ReplicaMessage},
};

/// How many VMs without state a bootstrap needs.
#[derive(Data!, Copy)]
pub enum BootstrapRule {
    /// A majority: for state in memory, where a fence covers what was lost.
    Majority,
    /// Every VM: for state on disk, which a bootstrap must never replace.
    All,
    /// Every VM or, after a while, a majority, of which each has a record on disk that it may
    /// bootstrap the group; see [`ReplicaNode::permit_bootstrap`].
    Recorded,
    /// None: the group exists, and this VM can only join it.
    Never,
}

/// When the state is encoded for a snapshot.
#[derive(Data!, Copy)]
pub enum SnapshotRule {
    /// Each time the log is compacted: for state on disk.
    Kept,
    /// When a replica needs it: for state in memory, which may be large.
    OnDemand,
}

/// Settings of a replica and its group.
#[derive(Data!)]
pub struct ReplicaSettings {
    /// VMs of the group, one replica each.
    pub vms: Vec<VmName>,
    /// VM that stores and votes and leads only when no other can, if there is one.
    pub witness: Option<VmName>,
    /// VMs needed for a bootstrap.
    pub bootstrap_rule: BootstrapRule,
    /// When the state is encoded.
    pub snapshot_rule: SnapshotRule,
    /// Election timeout: shortest time without a leader's message before an election, in ms.
    pub election_ms: u64,
    /// Time between a leader's heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// Largest difference between two VMs' clocks, in ms.
    pub clock_skew_ms: u64,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// Finds the group's VMs in commands and states, where the log changes the group.
#[derive(Clone, Copy, Debug)]
pub struct GroupReader {
    /// The VMs that a command sets, if it does.
    pub in_command: fn(&[u8]) -> Option<GroupMembers>,
    /// The VMs as of an encoded state, if they were set.
    pub in_state: fn(&[u8]) -> Option<GroupMembers>,
}

/// Role of a replica.
#[derive(Data!, Copy)]
pub enum ReplicaRole {
    /// Has no group.
    Fresh,
    /// Waits for the bootstrap that it has voted for.
    Pledged,
    /// Follows a leader, as voter or not.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
pub(crate) struct PeerProgress {
    /// Highest index known to match.
    pub(crate) matched: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// Last answer.
    pub(crate) last_contact_at: ClockTime,
    /// When a message with entries or a snapshot was last sent.
    pub(crate) sent_at: ClockTime,
    /// When a snapshot was last sent, while it is not acknowledged.
    pub(crate) snapshot_at: Option<ClockTime>,
}

impl PeerProgress {
    /// A replica of which nothing is known, to be sent entries from `next` on.
    pub(crate) fn new(next: u64, now: ClockTime) -> PeerProgress {
        PeerProgress { matched: 0, next, last_contact_at: now, sent_at: now, snapshot_at: None }
    }
}

/// A replica without state that looks for its group.
#[derive(Clone, Debug)]
pub(crate) struct FreshPeer {
    /// Its replica.
    pub(crate) id: ReplicaId,
    /// When it last sent a message.
    pub(crate) last_contact_at: ClockTime,
}

/// One replica of a log group.
#[derive(Debug)]
pub struct ReplicaNode {
    pub(crate) settings: ReplicaSettings,
    pub(crate) group_reader: Option<GroupReader>,
    /// Group as of the snapshot, if a log that changes the group has set it.
    pub(crate) snapshot_members: Option<GroupMembers>,
    /// Group in force.
    pub(crate) members: GroupMembers,
    /// Whether the log or its snapshot has set the group in force.
    pub(crate) log_sets_group: bool,
    pub(crate) hard: HardState,
    pub(crate) log: ReplicaLog,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) last_contact_at: ClockTime,
    pub(crate) election_at: ClockTime,
    pub(crate) heartbeat_at: ClockTime,
    pub(crate) role_since: ClockTime,
    pub(crate) transferring_leadership: bool,
    pub(crate) votes: IndexSet<ReplicaId>,
    pub(crate) bootstrap_votes: IndexMap<ReplicaId, ClockTime>,
    pub(crate) progress: IndexMap<ReplicaId, PeerProgress>,
    pub(crate) fresh_peers: IndexMap<VmName, FreshPeer>,
    /// VMs outside the known group that may have a leader.
    contacts: Vec<VmName>,
    pub(crate) effects: Vec<ReplicaEffect>,
    rng: ChaCha8Rng,
}

/// This replica is not the leader.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// VM of the leader.
    pub leader: Option<VmName>,
}

impl ReplicaNode {
    /// A replica without state.
    pub fn new_fresh(settings: ReplicaSettings, id: ReplicaId, now: ClockTime) -> ReplicaNode {
        let vms = Vec::new();
        let hard =
            HardState { id, generation: None, bootstrap_vote: None, term: 0, vote: None, vms };
        let mut node = ReplicaNode::from_stored(settings, hard, ReplicaLog::default(), now);
        node.save_hard_state();
        node
    }

    /// A replica with the state that was stored before a restart.
    pub fn from_stored(
        mut settings: ReplicaSettings,
        hard: HardState,
        log: ReplicaLog,
        now: ClockTime,
    ) -> ReplicaNode {
        if !hard.vms.is_empty() {
            settings.vms = hard.vms.clone();
        }
        let role = match (hard.generation, hard.bootstrap_vote) {
            (Some(_), _) => ReplicaRole::Follower,
            (None, Some(_)) => ReplicaRole::Pledged,
            (None, None) => ReplicaRole::Fresh,
        };
        let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ hard.id.incarnation);
        let commit = log.snapshot().index;
        let mut effects = Vec::new();
        if hard.generation.is_some() && 0 < commit {
            effects.push(ReplicaEffect::Restore(log.snapshot().clone()));
        }
        let mut node = ReplicaNode {
            members: GroupMembers { vms: settings.vms.clone(), swap: None },
            settings,
            group_reader: None,
            snapshot_members: None,
            log_sets_group: false,
            hard,
            log,
            commit,
            applied: commit,
            role,
            leader: None,
            last_contact_at: now,
            election_at: now,
            heartbeat_at: now,
            role_since: now,
            transferring_leadership: false,
            votes: IndexSet::new(),
            bootstrap_votes: IndexMap::new(),
            progress: IndexMap::new(),
            fresh_peers: IndexMap::new(),
            contacts: Vec::new(),
            effects,
            rng,
        };
        // A live leader sends a heartbeat well within this time. After a restart of the whole
        // group there is no leader to wait for, so the first timeout is shorter.
        let span_ms = node.settings.election_ms;
        let jitter_ms = node.rng.random_range(0..(span_ms / 2).max(1));
        node.election_at = now.plus_ms(span_ms / 4 + jitter_ms);
        node
    }

    /// Lets the log change the group.
    pub fn with_group_reader(mut self, reader: GroupReader) -> ReplicaNode {
        self.group_reader = Some(reader);
        self.read_snapshot_members();
        self
    }

    /// The replica's id.
    pub fn id(&self) -> &ReplicaId {
        &self.hard.id
    }

    /// The replica's role.
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// When the state is encoded.
    pub fn snapshot_rule(&self) -> SnapshotRule {
        self.settings.snapshot_rule
    }

    /// Latest term seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Generation that the replica belongs to.
    pub fn generation(&self) -> Option<GenerationId> {
        self.hard.generation
    }

    /// VM of the leader, if it is known.
    pub fn leader_vm(&self) -> Option<&VmName> {
        self.leader.as_ref().map(|it| &it.vm)
    }

    /// Index up to which entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Index up to which entries were emitted for applying.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// The log.
    pub fn log(&self) -> &ReplicaLog {
        &self.log
    }

    /// Voters as of the newest entry.
    pub fn voters(&self) -> &IndexSet<ReplicaId> {
        self.log.voters_at(self.log.last_index())
    }

    /// Sets further VMs to ask for a leader, where the log may name a former group.
    pub fn set_contacts(&mut self, vms: &[VmName]) {
        if self.contacts != vms {
            self.contacts = vms.to_vec();
        }
    }

    /// Records that this VM may bootstrap its group, at its first start.
    pub fn permit_bootstrap(&mut self) {
        self.hard.vote = Some(self.hard.id.clone());
        self.save_hard_state();
    }

    /// Keeps this replica from a bootstrap, as its group is known to exist.
    pub fn forbid_bootstrap(&mut self) {
        if self.settings.bootstrap_rule != BootstrapRule::Recorded {
            self.settings.bootstrap_rule = BootstrapRule::Never;
        } else if self.hard.may_bootstrap() {
            self.hard.vote = None;
            self.save_hard_state();
        }
    }

    /// Forgets the log of a group that this VM no longer belongs to.
    pub fn leave_group(&mut self, now: ClockTime) {
        if self.role != ReplicaRole::Fresh {
            self.start_new_incarnation(now);
        }
    }

    /// VMs whose replica answered this leader within an election timeout.
    pub fn reachable_vms(&self, now: ClockTime) -> Vec<VmName> {
        let responding = self
            .progress
            .iter()
            .filter(|(_, it)| now.since_ms(it.last_contact_at) <= self.settings.election_ms);
        responding.map(|(id, _)| id.vm.clone()).collect()
    }

    /// The replica on a VM that has the leader's log and does not vote, if it answers.
    fn learner_on(&self, vm: &VmName, now: ClockTime) -> Option<&ReplicaId> {
        let learner = self.progress.iter().find(|(id, it)| {
            id.vm == *vm
                && !self.voters().contains(*id)
                && self.commit <= it.matched
                && now.since_ms(it.last_contact_at) <= self.settings.election_ms
        });
        learner.map(|(id, _)| id)
    }

    /// Whether a VM holds the leader's log and does not vote.
    pub fn has_learner(&self, vm: &VmName, now: ClockTime) -> bool {
        self.learner_on(vm, now).is_some()
    }

    /// Makes the replica on a VM a voter, in one batch with the entry that adds the VM.
    ///
    /// The majorities before, between and after the two entries have common voters by pairs, so
    /// this is one change.
    pub fn admit_learner(&mut self, vm: &VmName, now: ClockTime) {
        let has_voter = self.voters().iter().any(|it| it.vm == *vm);
        let Some(id) = self.learner_on(vm, now).filter(|_| !has_voter).cloned() else { return };
        let mut voters = self.voters().clone();
        voters.insert(id);
        self.propose_voters(voters, now);
    }

    /// Time since the voter on a VM last answered this leader, in ms; zero where none is known.
    pub fn voter_silent_ms(&self, vm: &VmName, now: ClockTime) -> u64 {
        let voter = self.voters().iter().find(|it| it.vm == *vm);
        let progress = voter.and_then(|it| self.progress.get(it));
        progress.map_or(0, |it| now.since_ms(it.last_contact_at))
    }

    /// Drains the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<ReplicaEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Appends a command and returns its index; [`ReplicaNode::flush`] sends it.
    ///
    /// # Errors
    ///
    /// [`NotLeader`] when another replica leads, or none.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<u64, NotLeader> {
        if self.role != ReplicaRole::Leader {
            return Err(NotLeader { leader: self.leader_vm().cloned() });
        }
        Ok(self.append_own(EntryPayload::Command(command)))
    }

    /// Transfers leadership to a caught-up replica, now and whenever this one becomes leader.
    pub fn transfer_leadership(&mut self) {
        self.transferring_leadership = true;
    }

    /// Puts `state` in place of the entries applied so far.
    pub fn compact(&mut self, state: Vec<u8>) {
        if self.applied <= self.log.snapshot().index {
            return;
        }
        self.snapshot_members = self.members_at(self.applied);
        self.log.compact(self.applied, state);
        let snapshot = self.log.snapshot().clone();
        self.effects.push(ReplicaEffect::Store(StoreEffect::SaveSnapshot(snapshot)));
    }

    /// Drops entries applied so far but the last `n_kept`, without a snapshot of the state.
    pub fn trim(&mut self, n_kept: u64) {
        self.log.trim(self.applied.saturating_sub(n_kept));
    }

    /// Sends the state as of the applied index to a replica that needs it.
    pub fn send_state(&mut self, to: &ReplicaId, state: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else { return };
        let voters = self.log.voters_at(index).clone();
        let fence = self.log.snapshot().fence;
        let snapshot = LogSnapshot { index, term, voters, fence, state };
        if let Some(progress) = self.progress.get_mut(to) {
            progress.next = index + 1;
        }
        self.send(to, ReplicaBody::Install(snapshot));
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: ClockTime) {
        match self.role {
            ReplicaRole::Fresh | ReplicaRole::Pledged => self.tick_without_group(now),
            ReplicaRole::Leader => self.tick_leader(now),
            ReplicaRole::Follower | ReplicaRole::PreCandidate | ReplicaRole::Candidate => {
                self.tick_follower(now);
            }
        }
    }

    /// Handles a message from another replica.
    pub fn handle_message(&mut self, message: ReplicaMessage, now: ClockTime) {
        if message.from.vm == self.hard.id.vm {
            return;
        }
        if message.to.as_ref().is_some_and(|it| *it != self.hard.id) {
            self.answer_older_generation(&message);
            return;
        }
        // A leader sends its log to VMs that may join its group, before they are added.
        let may_learn = self.role == ReplicaRole::Leader
            && self.log_sets_group
            && matches!(message.body, ReplicaBody::JoinRequest | ReplicaBody::LeaderLost);
        let is_from_group = may_learn || self.vms().contains(&message.from.vm);
        match message.body {
            ReplicaBody::JoinRequest
            | ReplicaBody::LeaderLost
            | ReplicaBody::BootstrapVoteRequest(_)
            | ReplicaBody::BootstrapVoteResponse(..)
                if !is_from_group => {}
            ReplicaBody::JoinRequest => self.handle_join_request(message.from, now),
            ReplicaBody::LeaderLost => self.handle_leader_lost(&message, now),
            ReplicaBody::BootstrapVoteRequest(generation) => {
                self.handle_bootstrap_vote_request(message.from, generation, now)
            }
            ReplicaBody::BootstrapVoteResponse(generation, clock) => {
                self.handle_bootstrap_vote_response(message.from, generation, clock, now);
            }
            // The sender may be of a newer group than this log knows: term and log decide.
            _ => self.handle_group_message(message, now),
        }
    }

    fn handle_group_message(&mut self, message: ReplicaMessage, now: ClockTime) {
        if !self.enter_generation(&message, now) {
            return;
        }
        if self.hard.term < message.term && !is_pre_vote(&message.body) {
            self.adopt_term(message.term, now);
        }
        let ReplicaMessage { from, term, body, .. } = message;
        match body {
            ReplicaBody::VoteRequest(phase, last_index, last_term) => {
                self.handle_vote_request(from, term, phase, (last_term, last_index), now);
            }
            ReplicaBody::TimeoutNow => self.handle_timeout_now(&from, term, now),
            ReplicaBody::VoteResponse(phase, answer) => {
                self.handle_vote_response(from, term, phase, answer, now);
            }
            ReplicaBody::Append { prev_index, prev_term, commit, entries } => {
                self.handle_append(from, term, (prev_index, prev_term), commit, entries, now);
            }
            ReplicaBody::AppendAck(answer) => self.handle_append_ack(from, term, answer, now),
            ReplicaBody::Install(snapshot) => self.handle_install(from, term, snapshot, now),
            ReplicaBody::JoinRequest
            | ReplicaBody::LeaderLost
            | ReplicaBody::BootstrapVoteRequest(_)
            | ReplicaBody::BootstrapVoteResponse(..) => {}
        }
    }

    /// Discards all state and starts another incarnation under a new id.
    pub(crate) fn start_new_incarnation(&mut self, now: ClockTime) {
        // Above the generation voted for, as votes of one VM must be for rising generations.
        let pledged = self.hard.bootstrap_vote.map_or(0, |it| it.0);
        let incarnation = now.0.max(self.hard.id.incarnation.max(pledged) + 1);
        let id = ReplicaId { vm: self.hard.id.vm.clone(), incarnation };
        let may_bootstrap = self.hard.may_bootstrap();
        let mut vms = std::mem::take(&mut self.hard.vms);
        if std::mem::take(&mut self.log_sets_group) {
            vms.clone_from(&self.members.vms);
            self.settings.vms.clone_from(&vms);
            self.settings.bootstrap_rule = BootstrapRule::Never;
        }
        self.members = GroupMembers { vms: self.settings.vms.clone(), swap: None };
        self.snapshot_members = None;
        self.hard = HardState {
            id: id.clone(),
            generation: None,
            bootstrap_vote: None,
            term: 0,
            vote: may_bootstrap.then(|| id.clone()),
            vms,
        };
        self.log = ReplicaLog::default();
        self.commit = 0;
        self.applied = 0;
        self.leader = None;
        self.votes.clear();
        self.bootstrap_votes.clear();
        self.progress.clear();
        self.effects.push(ReplicaEffect::Store(StoreEffect::Reset(self.hard.clone())));
        self.effects.push(ReplicaEffect::NewIncarnation(id));
        self.set_role(ReplicaRole::Fresh, now);
    }

    /// Moves to a later term as a follower without a leader.
    pub(crate) fn adopt_term(&mut self, term: u64, now: ClockTime) {
        self.hard.term = term;
        self.hard.vote = None;
        self.save_hard_state();
        self.leader = None;
        if self.role == ReplicaRole::Leader {
            self.reset_election(now);
        }
        self.set_role(ReplicaRole::Follower, now);
    }

    pub(crate) fn set_role(&mut self, role: ReplicaRole, now: ClockTime) {
        if self.role == role {
            return;
        }
        self.role = role;
        self.role_since = now;
        self.effects.push(ReplicaEffect::RoleChanged(role));
    }

    pub(crate) fn save_hard_state(&mut self) {
        self.effects.push(ReplicaEffect::Store(StoreEffect::SaveState(self.hard.clone())));
    }

    pub(crate) fn reset_election(&mut self, now: ClockTime) {
        let span_ms = self.settings.election_ms;
        let jitter_ms = self.rng.random_range(0..span_ms.max(1));
        self.election_at = now.plus_ms(span_ms + jitter_ms);
    }

    pub(crate) fn send(&mut self, to: &ReplicaId, body: ReplicaBody) {
        let message = self.message(Some(to.clone()), body);
        self.effects.push(ReplicaEffect::Send(to.vm.clone(), message));
    }

    /// Sends to whatever replica runs on each other VM.
    pub(crate) fn send_to_vms(&mut self, body: &ReplicaBody) {
        self.send_to(self.vms().to_vec(), body);
    }

    /// Sends to whatever replica runs on each VM of the group and on each contact.
    pub(crate) fn send_to_contacts(&mut self, body: &ReplicaBody) {
        let mut vms = self.vms().to_vec();
        vms.extend(
            self.contacts.iter().filter(|it| !vms.contains(it)).cloned().collect::<Vec<_>>(),
        );
        self.send_to(vms, body);
    }

    fn send_to(&mut self, vms: Vec<VmName>, body: &ReplicaBody) {
        for vm in vms {
            if vm != self.hard.id.vm {
                let message = self.message(None, body.clone());
                self.effects.push(ReplicaEffect::Send(vm, message));
            }
        }
    }

    fn message(&self, to: Option<ReplicaId>, body: ReplicaBody) -> ReplicaMessage {
        let from = self.hard.id.clone();
        ReplicaMessage { from, to, generation: self.hard.generation, term: self.hard.term, body }
    }

    pub(crate) fn append_own(&mut self, payload: EntryPayload) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = LogEntry { index, term: self.hard.term, payload };
        self.log.push(entry.clone());
        self.update_members();
        self.effects.push(ReplicaEffect::Store(StoreEffect::Append(vec![entry])));
        index
    }

    /// Emits the entries up to the commit index for applying.
    pub(crate) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.entry_at(index) else { return };
            self.applied = index;
            if let EntryPayload::Command(command) = &entry.payload {
                self.effects.push(ReplicaEffect::Apply(index, command.clone()));
            }
        }
    }

    /// Replaces state and log by a snapshot.
    pub(crate) fn restore(&mut self, snapshot: LogSnapshot) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(snapshot.clone());
        self.read_snapshot_members();
        self.effects.push(ReplicaEffect::Store(StoreEffect::SaveSnapshot(snapshot.clone())));
        self.effects.push(ReplicaEffect::Restore(snapshot));
    }
}

fn is_pre_vote(body: &ReplicaBody) -> bool {
    use crate::replica_message::VotePhase;
    matches!(
        body,
        ReplicaBody::VoteRequest(VotePhase::Pre, ..) | ReplicaBody::VoteResponse(VotePhase::Pre, _)
    )
}
