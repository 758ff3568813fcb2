//! Messages between the processes of the system.

use crate::{
    cell::cell_message::{CellHeartbeat, CellMessage, HeartbeatDigest},
    config_state::ConfigDelta,
    endpoint_table::EndpointUpdate,
    job_ledger::JobOutcome,
    log_group::ProposalAnswer,
    peer_table::PeerHeartbeat,
    prelude::*,
    replica_message::ReplicaMessage,
    slot_leases::LeaseMessage,
};

/// A message by TCP, delivered in order between two VMs.
#[derive(Data!)]
pub enum PeerMessage {
    /// Between the replicas of a log group.
    Replica(GroupName, ReplicaMessage),
    /// A command for a log group, with the sender's number for the request.
    Propose(GroupName, u64, Vec<u8>),
    /// The answer to a command.
    Proposed(u64, ProposalAnswer),
    /// A request to wait for a job's outcome at its home ledger.
    Await(GroupName, u64, JobKey),
    /// The outcome, or none when the ledger does not know the job.
    Awaited(u64, Option<JobOutcome>),
    /// The caller cancelled a job that the receiver owns.
    Cancel(JobKey),
    /// About slot leases.
    Lease(LeaseMessage),
    /// A request for the changes since this configuration version.
    ConfigPull(u64),
    /// The changes since the version that the sender believes the receiver has.
    ConfigPush(ConfigDelta),
    /// About cells, endpoints and routes.
    Cell(CellMessage),
}

impl PeerMessage {
    /// Whether the message is overhead: it carries neither a change of state, a start nor an
    /// answer. Lease messages are counted by the dispatcher.
    pub fn is_overhead(&self) -> bool {
        matches!(
            self,
            PeerMessage::Proposed(_, ProposalAnswer::NotLeader(_)) | PeerMessage::Await(..)
        )
    }
}

/// A message by UDP, which may be lost.
#[derive(Data!)]
pub enum PeerDatagram {
    /// Liveness and load of an entry.
    Heartbeat(PeerHeartbeat),
    /// Gossip about endpoints.
    EndpointUpdate(EndpointUpdate),
    /// Liveness of the sender and the cells that it leads.
    CellHeartbeat(CellHeartbeat),
    /// Heartbeats that the sender relays from its data centre.
    HeartbeatDigest(HeartbeatDigest),
}
