//! Messages between the replicas of one log group.

use crate::{
    prelude::*,
    replica_log::{LogEntry, LogSnapshot},
};

/// The two phases of an election.
#[derive(Data!, Copy)]
pub enum VotePhase {
    /// Pre-vote: asks whether a vote would be granted; changes no state.
    Pre,
    /// The vote itself.
    Real,
}

/// An answer to a request for a vote.
#[derive(Data!, Copy)]
pub enum VoteAnswer {
    /// The vote is granted.
    Granted,
    /// The vote is refused.
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

/// The content of a message.
#[derive(Data!)]
pub enum ReplicaBody {
    /// The sender has no state and looks for its group.
    JoinRequest,
    /// The sender has had no message from its generation's leader for long.
    LeaderLost,
    /// The sender wants to bootstrap a generation.
    BootstrapVoteRequest(GenerationId),
    /// The sender will join that generation and no other; its clock.
    BootstrapVoteResponse(GenerationId, ClockTime),
    /// The sender asks for a vote; its last index and term.
    VoteRequest(VotePhase, u64, u64),
    /// Leadership transfer: the receiver should start an election at once.
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

/// A message with its sender and the incarnation that it is addressed to.
#[derive(Data!)]
pub struct ReplicaMessage {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; none when any incarnation may handle the message.
    pub to: Option<ReplicaId>,
    /// Generation that the message belongs to.
    pub generation: Option<GenerationId>,
    /// The sender's term.
    pub term: u64,
    /// Its content.
    pub body: ReplicaBody,
}
