//! Messages between the system's own processes.

use crate::{
    cell::cell_message::{CellMessage, PeerBeat},
    config_state::ConfigDelta,
    endpoint_table::EndpointUpdate,
    job_ledger::JobOutcome,
    log_group::ProposalAnswer,
    peer_table::PeerHeartbeat,
    prelude::*,
    replica_message::ReplicaMessage,
    slot_leases::LeaseMessage,
};

/// A message by TCP, kept in order between two VMs.
#[derive(Data!)]
pub enum PeerMessage {
    /// Between the replicas of a log group.
    Replica(GroupName, ReplicaMessage),
    /// A command for a log group, with the sender's number for the request.
    Propose(GroupName, u64, Vec<u8>),
    /// The answer to a command.
    Proposed(u64, ProposalAnswer),
    /// A wait for a job's outcome at its home ledger.
    Await(GroupName, u64, JobKey),
    /// The outcome, or none when the ledger does not know of the job.
    Awaited(u64, Option<JobOutcome>),
    /// The caller no longer wants a job that the receiver owns.
    Cancel(JobKey),
    /// About slot leases.
    Lease(LeaseMessage),
    /// The sender has this configuration version.
    ConfigPull(u64),
    /// What changed since a version that the sender takes the receiver to have.
    ConfigPush(ConfigDelta),
    /// About cells, endpoints and routes.
    Cell(CellMessage),
}

impl PeerMessage {
    /// Whether the message carries neither a change of state, a start nor an answer.
    /// Messages about leases are counted by the dispatcher.
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
    /// The sender is alive.
    Heartbeat(PeerHeartbeat),
    /// What the sender knows of endpoints.
    EndpointUpdate(EndpointUpdate),
    /// The sender is alive, and what it leads.
    CellHeartbeat(PeerBeat),
}
