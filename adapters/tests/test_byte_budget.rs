//! Which bodies make room when the byte budget is short.

use std::time::{Duration, Instant};

use yuccamux_adapters::byte_budget::{BodyReservation, ByteBudget, ByteClass, GrowStep};

const TOTAL: usize = 1_000;

fn open_large(budget: &ByteBudget, n_bytes: usize, now: Instant) -> BodyReservation {
    let mut body = budget.open_body(ByteClass::Large, now);
    assert_eq!(body.grow(n_bytes, now), GrowStep::Reserved);
    body
}

/// Whether a body has been aborted.
async fn is_aborted(body: &BodyReservation) -> bool {
    tokio::time::timeout(Duration::from_millis(1), body.wait_for_abort()).await.is_ok()
}

/// Guards against bodies that stop just short of their end and keep out those that move.
#[tokio::test]
async fn newest_stalled_body_is_aborted_first() {
    let budget = ByteBudget::new(TOTAL);
    let start = Instant::now();
    let older = open_large(&budget, 250, start);
    let newer = open_large(&budget, 250, start);
    let now = start + Duration::from_secs(1);
    let mut moving = open_large(&budget, 200, now);
    assert_eq!(moving.grow(100, now), GrowStep::Wait);
    assert!(is_aborted(&newer).await);
    assert!(!is_aborted(&older).await);
    // The bytes that are about to be released suffice, so that no other body is aborted.
    assert_eq!(moving.grow(100, now), GrowStep::Wait);
    assert!(!is_aborted(&older).await);
    drop(newer);
    assert_eq!(moving.grow(100, now), GrowStep::Reserved);
    assert_eq!((budget.counts().used, budget.counts().n_aborted), (550, 1));
}

/// Guards against a newcomer that ends bodies which are as quick as itself.
#[test]
fn newest_body_is_refused_when_none_is_stalled() {
    let budget = ByteBudget::new(TOTAL);
    let now = Instant::now();
    let _older = open_large(&budget, 600, now);
    let mut newest = open_large(&budget, 100, now);
    assert_eq!(newest.grow(100, now), GrowStep::Refused);
    drop(newest);
    assert_eq!((budget.counts().used, budget.counts().n_refused), (600, 1));
}

/// Guards against large bodies that leave no room for connections and small requests.
#[test]
fn large_bodies_leave_a_share_for_small_requests() {
    let budget = ByteBudget::new(TOTAL);
    let now = Instant::now();
    let _large = open_large(&budget, 750, now);
    assert!(budget.reserve(1, ByteClass::Large).is_none());
    let small = budget.reserve(250, ByteClass::Small).expect("the reserved share");
    assert!(budget.reserve(1, ByteClass::Small).is_none());
    drop(small);
    // An answer that is ready is held in any case.
    let answer = budget.count_held(2 * TOTAL);
    assert!(budget.reserve(1, ByteClass::Small).is_none());
    drop(answer);
    assert_eq!(budget.counts().used, 750);
}

/// Guards against bytes that stay reserved once their body has ended.
#[test]
fn all_bytes_are_released() {
    let budget = ByteBudget::new(TOTAL);
    let now = Instant::now();
    let read = open_large(&budget, 300, now).finish();
    let mut cut = open_large(&budget, 300, now);
    assert_eq!(cut.grow(500, now), GrowStep::Refused);
    drop(cut);
    assert_eq!(budget.counts().used, 300);
    drop(read);
    assert_eq!(budget.counts().used, 0);
}

/// Guards against large bodies because of which a new connection is refused.
#[tokio::test]
async fn large_body_is_aborted_for_a_connection() {
    let budget = ByteBudget::new(TOTAL);
    let now = Instant::now();
    let large = open_large(&budget, 750, now);
    let _small = budget.reserve(200, ByteClass::Small).expect("the reserved share");
    let first = budget.reserve_connection(100, now).expect("room after the large body");
    assert!(is_aborted(&large).await);
    // The bytes that are about to be released suffice for more connections, but not for any.
    let second = budget.reserve_connection(700, now).expect("room after the large body");
    assert!(budget.reserve_connection(1, now).is_none());
    drop(large);
    assert_eq!((budget.counts().used, budget.counts().n_aborted), (TOTAL, 1));
    drop((first, second));
    assert_eq!(budget.counts().used, 200);
}
