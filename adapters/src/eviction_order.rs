//! The order in which connections are evicted when a listener has no room for a new one.
//!
//! Only connections without a whole request are evicted. Those that have waited for
//! [`EVICTION_GRACE_MS`] or longer go first: idle ones, then heads, each from the oldest, then
//! bodies from the slowest, then answers that their clients do not read. Where all have waited for
//! less, the one that was accepted first goes, so that a new connection has as much time for its
//! request as possible.

/// Time for which a connection is evicted only where no other has waited longer, in ms: a client
/// sends its request within a few round trips.
pub const EVICTION_GRACE_MS: u64 = 1_000;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The answer to a whole request.
    Serving,
    /// The end of the connection.
    Closing,
}

/// A connection as the order sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionView {
    /// What it waits for.
    pub phase: ConnectionPhase,
    /// Time for which it has waited, in ms.
    pub waited_ms: u64,
    /// Time for which the client has not read its answer, in ms; 0 if it has.
    pub unread_ms: u64,
    /// Bytes of the body that have been read.
    pub n_body_bytes: u64,
    /// Number in the order in which the listener accepted its connections.
    pub number: u64,
}

/// Rank of a connection in the order; the least is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// Idle, for so many ms less than the longest possible time; then by number.
    Idle(u64, u64),
    /// In a head, in the same way.
    Head(u64, u64),
    /// In a body, at so many bytes a second; then by number.
    Body(u64, u64),
    /// With an unread answer, for so many ms less than the longest possible time; then by number.
    Unread(u64, u64),
    /// Idle, in a head or in a body for a short time; by number.
    Recent(u64),
}

/// The rank of a connection, if it may be evicted.
pub fn eviction_rank(view: &ConnectionView) -> Option<EvictionRank> {
    let is_recent = view.waited_ms < EVICTION_GRACE_MS;
    let age_order = u64::MAX - view.waited_ms;
    match view.phase {
        ConnectionPhase::Serving | ConnectionPhase::Closing => None,
        _ if 0 < view.unread_ms => (EVICTION_GRACE_MS <= view.unread_ms)
            .then(|| EvictionRank::Unread(u64::MAX - view.unread_ms, view.number)),
        _ if is_recent => Some(EvictionRank::Recent(view.number)),
        ConnectionPhase::Idle => Some(EvictionRank::Idle(age_order, view.number)),
        ConnectionPhase::Head => Some(EvictionRank::Head(age_order, view.number)),
        ConnectionPhase::Body => {
            let rate = view.n_body_bytes.saturating_mul(1_000) / view.waited_ms;
            Some(EvictionRank::Body(rate, view.number))
        }
    }
}
