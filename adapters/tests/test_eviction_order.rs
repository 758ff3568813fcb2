//! Which connection is evicted for a new one: load by clients that hold connections without a
//! request.

use yuccamux_adapters::eviction_order::{
    ConnectionPhase, ConnectionView, EVICTION_GRACE_MS, eviction_rank,
};

fn view(phase: ConnectionPhase, waited_ms: u64, number: u64) -> ConnectionView {
    ConnectionView { phase, waited_ms, unread_ms: 0, n_body_bytes: 0, number }
}

/// Checks that connections are evicted in the order in which they are listed; their numbers are in
/// the opposite order.
fn check_order(views: &[ConnectionView]) {
    let ranks: Vec<_> = views.iter().map(|it| eviction_rank(it).expect("a rank")).collect();
    assert!(ranks.is_sorted_by(|lhs, rhs| lhs < rhs), "{ranks:?}");
}

/// Guards against idle connections that outlast those from which a request is on its way, and
/// against connections that stay because they came first.
#[test]
fn longest_idle_go_first_and_recent_last() {
    check_order(&[
        view(ConnectionPhase::Idle, 20_000, 9),
        view(ConnectionPhase::Idle, EVICTION_GRACE_MS, 8),
        view(ConnectionPhase::Head, 4_000, 7),
        view(ConnectionPhase::Head, EVICTION_GRACE_MS, 6),
        view(ConnectionPhase::Body, EVICTION_GRACE_MS, 5),
        ConnectionView { unread_ms: EVICTION_GRACE_MS, ..view(ConnectionPhase::Idle, 9_000, 4) },
        view(ConnectionPhase::Body, EVICTION_GRACE_MS - 1, 1),
        view(ConnectionPhase::Head, 0, 2),
        view(ConnectionPhase::Idle, 0, 3),
    ]);
}

/// Guards against a large body on a slow link that goes before one that has stopped.
#[test]
fn slowest_body_goes_first() {
    let body = |waited_ms, n_body_bytes, number| ConnectionView {
        n_body_bytes,
        ..view(ConnectionPhase::Body, waited_ms, number)
    };
    check_order(&[body(2_000, 0, 4), body(60_000, 60_000, 3), body(2_000, 20_000, 2)]);
}

/// Guards against connections that are closed while their requests are served or their answers
/// are being read.
#[test]
fn served_requests_and_answers_stay() {
    assert_eq!(eviction_rank(&view(ConnectionPhase::Serving, 60_000, 0)), None);
    assert_eq!(eviction_rank(&view(ConnectionPhase::Closing, 60_000, 0)), None);
    let read = ConnectionView { unread_ms: 1, ..view(ConnectionPhase::Idle, 60_000, 0) };
    assert_eq!(eviction_rank(&read), None);
}
