//! What a replica asks its host to do.
//!
//! The host runs the effects of one batch in this order: every
//! [`StoreEffect`] and one sync, then the rest. So nothing is acknowledged before
//! it is durable, and one sync serves the whole batch.

use crate::{
    prelude::*,
    replica_log::{LogEntry, LogSnapshot},
    replica_message::ReplicaMessage,
    replica_node::ReplicaRole,
};

/// State that a replica keeps across a restart.
#[derive(Data!)]
pub struct HardState {
    /// The replica's own id.
    pub id: ReplicaId,
    /// Generation that the replica belongs to.
    pub generation: Option<GenerationId>,
    /// Generation that the replica voted to bootstrap, while it belongs to none.
    pub bootstrap_vote: Option<GenerationId>,
    /// Latest term seen.
    pub term: u64,
    /// Candidate voted for in that term. Before the replica belongs to a generation, its own id
    /// if this VM was started to bootstrap the group and has stored no log of one since.
    pub vote: Option<ReplicaId>,
    /// VMs of the group, as last changed; empty where they are given at each start.
    pub vms: Vec<VmName>,
}

impl HardState {
    /// Whether this is a record that the VM may bootstrap its group.
    ///
    /// An empty disk has no such record: what it lost may have been a vote.
    pub fn may_bootstrap(&self) -> bool {
        self.generation.is_none() && self.vote.as_ref() == Some(&self.id)
    }
}

/// A change to the durable state.
#[derive(Data!)]
pub enum StoreEffect {
    /// Replace the hard state.
    SaveState(HardState),
    /// Append entries.
    Append(Vec<LogEntry>),
    /// Drop the entries from an index on.
    TruncateFrom(u64),
    /// Replace the snapshot and the entries it covers.
    SaveSnapshot(LogSnapshot),
    /// Drop the log and snapshot: the replica starts another incarnation.
    Reset(HardState),
}

/// An action for the host to run.
#[derive(Data!)]
pub enum ReplicaEffect {
    /// Change the durable state.
    Store(StoreEffect),
    /// Send a message to the replica on a VM.
    Send(VmName, ReplicaMessage),
    /// Apply a committed command at an index.
    Apply(u64, Vec<u8>),
    /// Replace the state machine's state by that of a snapshot.
    Restore(LogSnapshot),
    /// A replica needs the state, to be sent by
    /// [`ReplicaNode::send_state`](crate::replica_node::ReplicaNode::send_state).
    NeedState(ReplicaId),
    /// The role has changed.
    RoleChanged(ReplicaRole),
    /// The replica discarded its state and took a new id.
    NewIncarnation(ReplicaId),
}
