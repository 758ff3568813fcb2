//! Proofs that a run is over or never began, on which its task may be started again.

use crate::{
    cell::endpoint_order::{OrderRefusal, RunEnd},
    prelude::*,
};

/// Why a leader considers a run over.
#[derive(Data!, Copy)]
pub enum RunProof {
    /// The endpoint listed its end.
    Ended(RunEnd),
    /// The endpoint refused its start.
    Refused(OrderRefusal),
    /// Its start was never written to a connection.
    NotSent,
    /// A stop was acknowledged, and the time that a stop takes has passed.
    StopAcknowledged,
    /// Every lease that was sent to the endpoint has expired.
    LeaseExpired,
}

impl RunProof {
    /// Name in log lines and in the label of the metric.
    pub fn name(self) -> &'static str {
        match self {
            RunProof::Ended(RunEnd::Failed) => "failed",
            RunProof::Ended(RunEnd::Stopped) => "stopped",
            RunProof::Ended(_) => "ended without its work",
            RunProof::Refused(OrderRefusal::Fenced) => "refused: fenced",
            RunProof::Refused(OrderRefusal::OldRun) => "refused: old run",
            RunProof::Refused(OrderRefusal::LateLease) => "refused: late lease",
            RunProof::Refused(OrderRefusal::NoRoom) => "refused: no room",
            RunProof::Refused(OrderRefusal::OtherLife) => "refused: other life",
            RunProof::Refused(OrderRefusal::Unhealthy) => "refused: unhealthy",
            RunProof::Refused(OrderRefusal::Malformed) => "refused: malformed",
            RunProof::NotSent => "not sent",
            RunProof::StopAcknowledged => "stop acknowledged",
            RunProof::LeaseExpired => "lease ran out",
        }
    }
}
