//! The bytes that a process may hold for its callers, reserved before they are read.
//!
//! Connections, bodies, decoded jobs and answers count against one total. Large bodies cannot use
//! the share that is reserved for small requests. When a body finds no room, the newest of the
//! stalled large bodies is aborted, or the newest of all where none is stalled.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::sync::Notify;

/// Largest request that may use the reserved share, in bytes: what an ordinary caller sends.
pub const SMALL_REQUEST_BYTES: usize = 16 << 10;
/// Part of the budget that is reserved for small requests: one of so many.
const RESERVED_PART: usize = 4;
/// Part of the budget that one connection may use: one of so many.
const CONNECTION_PART: usize = 2;
/// Time without a byte after which a body counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(500);

/// A budget, shared by all listeners of a process.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<BudgetShared>);

#[derive(Debug)]
struct BudgetShared {
    total: usize,
    state: Mutex<BudgetState>,
}

#[derive(Debug, Default)]
struct BudgetState {
    used: usize,
    /// Bytes of bodies that were aborted and have not been released yet.
    freeing: usize,
    bodies: IndexMap<BodyNumber, OpenBody>,
    next_body: u64,
    n_aborted: u64,
    n_refused: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BodyNumber(u64);

/// A large body that is being read.
#[derive(Debug)]
struct OpenBody {
    last_read_at: Instant,
    n_bytes: usize,
    abort: Arc<Notify>,
}

/// Who a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteClass {
    /// A connection, or a request of [`SMALL_REQUEST_BYTES`] or less.
    Small,
    /// A larger request.
    Large,
}

/// Figures of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetCounts {
    /// Bytes that are reserved.
    pub used: usize,
    /// Bodies that were aborted to make room.
    pub n_aborted: u64,
    /// Reservations that were refused.
    pub n_refused: u64,
}

/// Whether a body may grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrowStep {
    /// The bytes are reserved.
    Reserved,
    /// Another body was aborted; the bytes can be reserved once it has released its own.
    Wait,
    /// There is no room, and no other body to abort.
    Refused,
}

impl ByteBudget {
    /// A budget of so many bytes.
    pub fn new(total: usize) -> ByteBudget {
        let state = Mutex::new(BudgetState::default());
        ByteBudget(Arc::new(BudgetShared { total, state }))
    }

    /// Largest number of bytes that one request can have reserved.
    pub fn max_request_bytes(&self) -> usize {
        self.0.total / CONNECTION_PART
    }

    /// Reserves bytes, if there is room.
    pub fn reserve(&self, n_bytes: usize, class: ByteClass) -> Option<Reservation> {
        let mut state = self.lock();
        if !self.has_room(&state, n_bytes, class) {
            state.n_refused += 1;
            return None;
        }
        state.used += n_bytes;
        Some(Reservation { budget: self.clone(), n_bytes })
    }

    /// Reserves bytes for a new connection. Where there is no room, a large body is aborted, and
    /// the bytes that it is about to release are reserved ahead.
    pub fn reserve_connection(&self, n_bytes: usize, now: Instant) -> Option<Reservation> {
        let mut state = self.lock();
        while self.0.total + state.freeing < state.used + n_bytes {
            let Some(number) = state.next_abort(now) else {
                state.n_refused += 1;
                return None;
            };
            state.abort(number);
        }
        state.used += n_bytes;
        Some(Reservation { budget: self.clone(), n_bytes })
    }

    /// Counts bytes that are held already, also beyond the total: an answer that is ready is
    /// delivered, and what comes after it is refused.
    pub fn count_held(&self, n_bytes: usize) -> Reservation {
        self.lock().used += n_bytes;
        Reservation { budget: self.clone(), n_bytes }
    }

    /// Registers a body that is about to be read.
    pub fn open_body(&self, class: ByteClass, now: Instant) -> BodyReservation {
        let abortable = (class == ByteClass::Large).then(|| {
            let abort = Arc::new(Notify::new());
            let mut state = self.lock();
            let number = BodyNumber(state.next_body);
            state.next_body += 1;
            let body = OpenBody { last_read_at: now, n_bytes: 0, abort: Arc::clone(&abort) };
            state.bodies.insert(number, body);
            (number, abort)
        });
        let (number, abort) = abortable.unzip();
        BodyReservation { budget: self.clone(), number, n_bytes: 0, abort }
    }

    /// Figures of the moment.
    pub fn counts(&self) -> BudgetCounts {
        let state = self.lock();
        BudgetCounts { used: state.used, n_aborted: state.n_aborted, n_refused: state.n_refused }
    }

    fn has_room(&self, state: &BudgetState, n_bytes: usize, class: ByteClass) -> bool {
        let limit = match class {
            ByteClass::Small => self.0.total,
            ByteClass::Large => self.0.total - self.0.total / RESERVED_PART,
        };
        state.used.saturating_add(n_bytes) <= limit
    }

    fn release(&self, n_bytes: usize) {
        self.lock().used -= n_bytes;
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    /// The body to abort first.
    fn next_abort(&self, now: Instant) -> Option<BodyNumber> {
        let is_stalled =
            |it: &OpenBody| STALL_TIME <= now.saturating_duration_since(it.last_read_at);
        // Bodies are numbered in the order in which they were opened.
        let key = |(number, body): &(&BodyNumber, &OpenBody)| (is_stalled(body), number.0);
        self.bodies.iter().max_by_key(key).map(|(number, _)| *number)
    }

    fn abort(&mut self, number: BodyNumber) {
        let Some(body) = self.bodies.swap_remove(&number) else { return };
        self.freeing += body.n_bytes;
        self.n_aborted += 1;
        body.abort.notify_one();
    }
}

/// Reserved bytes, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: ByteBudget,
    n_bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.n_bytes);
    }
}

/// The bytes of a body that is being read, released when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: ByteBudget,
    /// Number among the bodies that may be aborted; a small body has none.
    number: Option<BodyNumber>,
    n_bytes: usize,
    abort: Option<Arc<Notify>>,
}

impl BodyReservation {
    /// Reserves more bytes if there is room, or else makes room where it can.
    pub fn grow(&mut self, n_bytes: usize, now: Instant) -> GrowStep {
        let class = if self.number.is_some() { ByteClass::Large } else { ByteClass::Small };
        let mut state = self.budget.lock();
        if self.budget.has_room(&state, n_bytes, class) {
            state.used += n_bytes;
            self.n_bytes += n_bytes;
            if let Some(body) = self.number.and_then(|it| state.bodies.get_mut(&it)) {
                body.n_bytes = self.n_bytes;
                body.last_read_at = now;
            }
            return GrowStep::Reserved;
        }
        if n_bytes <= state.freeing {
            return GrowStep::Wait;
        }
        let aborted = state.next_abort(now);
        if aborted.is_none() || aborted == self.number {
            state.n_refused += 1;
            return GrowStep::Refused;
        }
        if let Some(number) = aborted {
            state.abort(number);
        }
        GrowStep::Wait
    }

    /// Waits until the body is aborted; never ends for a small one.
    pub async fn wait_for_abort(&self) {
        match &self.abort {
            Some(abort) => abort.notified().await,
            None => std::future::pending().await,
        }
    }

    /// The reservation of the body once it has been read; it is no longer aborted.
    pub fn finish(mut self) -> Reservation {
        self.close();
        Reservation { budget: self.budget.clone(), n_bytes: std::mem::take(&mut self.n_bytes) }
    }

    fn close(&mut self) {
        let Some(number) = self.number.take() else { return };
        let mut state = self.budget.lock();
        if state.bodies.swap_remove(&number).is_none() {
            state.freeing = state.freeing.saturating_sub(self.n_bytes);
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.close();
        if 0 < self.n_bytes {
            self.budget.release(self.n_bytes);
        }
    }
}
