//! The order in which connections give way when a listener has no place for a new one.
//!
//! Only connections without a whole request give way. Those that have waited for
//! [`PROTECTED_MS`] or longer go first: idle ones, then heads, each from the oldest, then bodies
//! from the slowest, then answers that their clients do not read. Where all are younger, the one
//! that was accepted first goes, so that a new connection has as much time for its request as
//! possible.

/// Time for which a connection gives way only where no other has waited longer, in ms: a client
/// sends its request within a few round trips.
pub const PROTECTED_MS: u64 = 1_000;

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

/// Place of a connection in the order; the least gives way first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveWayRank {
    /// Idle, for so many ms less than the longest possible time; then by number.
    Idle(u64, u64),
    /// In a head, in the same way.
    Head(u64, u64),
    /// In a body, at so many bytes a second; then by number.
    Body(u64, u64),
    /// With an unread answer, for so many ms less than the longest possible time; then by number.
    Unread(u64, u64),
    /// Idle, in a head or in a body for a short time; by number.
    Young(u64),
}

/// The rank of a connection, if it may give way.
pub fn give_way_rank(view: &ConnectionView) -> Option<GiveWayRank> {
    let is_young = view.waited_ms < PROTECTED_MS;
    let age_order = u64::MAX - view.waited_ms;
    match view.phase {
        ConnectionPhase::Serving | ConnectionPhase::Closing => None,
        _ if 0 < view.unread_ms => (PROTECTED_MS <= view.unread_ms)
            .then(|| GiveWayRank::Unread(u64::MAX - view.unread_ms, view.number)),
        _ if is_young => Some(GiveWayRank::Young(view.number)),
        ConnectionPhase::Idle => Some(GiveWayRank::Idle(age_order, view.number)),
        ConnectionPhase::Head => Some(GiveWayRank::Head(age_order, view.number)),
        ConnectionPhase::Body => {
            let rate = view.n_body_bytes.saturating_mul(1_000) / view.waited_ms;
            Some(GiveWayRank::Body(rate, view.number))
        }
    }
}
