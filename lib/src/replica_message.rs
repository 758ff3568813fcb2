//! Messages between the replicas of one log group.

use crate::{
    prelude::*,
    replica_log::{LogEntry, LogSnapshot},
};

/// Whether a vote is asked for, or only whether it would be given.
#[derive(Data!, Copy)]
pub enum VotePhase {
    /// Pre-vote: nothing is changed by it.
    Pre,
    /// The vote itself.
    Real,
}

/// An answer to a request for a vote.
#[derive(Data!, Copy)]
pub enum VoteAnswer {
    /// The vote is given.
    Granted,
    /// The vote is withheld.
    Refused,
}

/// An answer to entries or a snapshot.
#[derive(Data!, Copy)]
pub enum AppendAnswer {
    /// The log matches the leader's up to this index.
    Matched(u64),
    /// The log does not match; the leader should go on from this index.
    Mismatched(u64),
}

/// What a message says.
#[derive(Data!)]
pub enum ReplicaBody {
    /// The sender has no group and looks for one.
    JoinRequest,
    /// The sender belongs to a generation whose leader it has not heard for long.
    LeaderLost,
    /// The sender wants to found a generation.
    BootstrapVoteRequest(GenerationId),
    /// The sender will join that generation and no other; its clock.
    BootstrapVoteResponse(GenerationId, ClockTime),
    /// The sender asks for a vote; its last index and term.
    VoteRequest(VotePhase, u64, u64),
    /// The leader hands over: the receiver should stand for election at once.
    TimeoutNow,
    /// The answer to a request for a vote.
    VoteResponse(VotePhase, VoteAnswer),
    /// Entries that follow an index and term, and the commit index.
    Append {
        /// Index before the first entry.
        prev_index: u64,
        /// Term at that index.
        prev_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// The entries, none in a heartbeat.
        entries: Vec<LogEntry>,
    },
    /// The answer to entries or a snapshot.
    AppendAck(AppendAnswer),
    /// A snapshot in place of entries that the leader no longer has.
    Install(LogSnapshot),
}

/// A message with its sender and the life it is meant for.
#[derive(Data!)]
pub struct ReplicaMessage {
    /// Sender.
    pub from: ReplicaId,
    /// Life of the receiver, if the sender knows it.
    pub to: Option<ReplicaId>,
    /// Generation that the message belongs to.
    pub generation: Option<GenerationId>,
    /// The sender's term.
    pub term: u64,
    /// What it says.
    pub body: ReplicaBody,
}
