//! What a replica asks of its surroundings.
//!
//! The adapter carries out the effects of one batch in this order: every
//! [`StoreEffect`] and one sync, then the rest. So nothing is acknowledged before
//! it is durable, and one sync serves the whole batch.

use crate::{
    prelude::*,
    replica_log::{LogEntry, LogSnapshot},
    replica_message::ReplicaMessage,
    replica_node::ReplicaRole,
};

/// What a replica must remember across a restart.
#[derive(Data!)]
pub struct HardState {
    /// The replica's own id.
    pub id: ReplicaId,
    /// Founding that the replica belongs to.
    pub generation: Option<GenerationId>,
    /// Founding that the replica has bootstrap_vote to, while it has none.
    pub bootstrap_vote: Option<GenerationId>,
    /// Latest term seen.
    pub term: u64,
    /// Candidate voted for in that term.
    pub vote: Option<ReplicaId>,
    /// VMs of the group, as last changed; empty where they are given at each start.
    pub vms: Vec<VmName>,
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
    /// Forget the log and snapshot: another life of the replica begins.
    Reset(HardState),
}

/// Something for the adapter to do.
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
    /// The replica gave up its former life.
    NewIncarnation(ReplicaId),
}
