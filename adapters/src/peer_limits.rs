//! Counts of the limits that links and endpoints met, for the whole process.
//!
//! Links and connection pools are shared by no listener, so that no connection guard counts for
//! them; the guard shows these counts beside its own.

use std::sync::atomic::{AtomicU64, Ordering};

static COUNTS: [AtomicU64; PeerEvent::ALL.len()] =
    [const { AtomicU64::new(0) }; PeerEvent::ALL.len()];

/// Why a connection of a link or an endpoint was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A link was closed for a newer one before its peer was known.
    HandshakeEvicted,
    /// The first frame of a link did not come in time.
    HandshakeTimeout,
    /// The first frame of a link was too long, cut off or not sealed with a link key.
    HandshakeRefused,
    /// The answer of an endpoint was too large.
    LargeAnswer,
    /// The answer of an endpoint found no room beside others.
    AnswersShort,
}

impl PeerEvent {
    /// Every event, in the order of their numbers.
    pub const ALL: [PeerEvent; 5] = [
        PeerEvent::HandshakeEvicted,
        PeerEvent::HandshakeTimeout,
        PeerEvent::HandshakeRefused,
        PeerEvent::LargeAnswer,
        PeerEvent::AnswersShort,
    ];

    /// Name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            PeerEvent::HandshakeEvicted => "handshake_evicted",
            PeerEvent::HandshakeTimeout => "handshake_timeout",
            PeerEvent::HandshakeRefused => "handshake_refused",
            PeerEvent::LargeAnswer => "large_answer",
            PeerEvent::AnswersShort => "answers_short",
        }
    }

    pub(crate) fn record(self) {
        COUNTS[self as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How often the event occurred in this process.
    pub fn count(self) -> u64 {
        COUNTS[self as usize].load(Ordering::Relaxed)
    }
}
