//! The connections of one listener: which are admitted, which are evicted, and which take too long.

use std::{
    sync::{Arc, Weak, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::task::AbortHandle;

use crate::{
    connection_guard::{CONNECTION_BYTES, ConnectionGuard, GuardEvent},
    eviction_order::{self, ConnectionPhase, EvictionRank},
    guarded_connection::{CloseStep, ConnectionState, ListenerShared},
    http_server::ServerLimits,
};

/// Connections that are selected at once to be evicted one after the other.
const N_CANDIDATES: usize = 16;
/// Most evicted connections that still write an answer; further ones end without.
const MAX_CLOSING: usize = 8;

/// The connections of one listener.
#[derive(Debug)]
pub(crate) struct ListenerGuard {
    guard: ConnectionGuard,
    limits: ServerLimits,
    shared: Arc<ListenerShared>,
    open: Vec<OpenConnection>,
    next_number: u64,
    /// The next to be evicted with their ranks, the first one last, as selected at
    /// `candidates_at_ms`.
    candidates: Vec<(EvictionRank, OpenConnection)>,
    candidates_at_ms: u64,
    swept_at: Instant,
}

/// A connection that is served by a task, which owns its state.
#[derive(Clone, Debug)]
struct OpenConnection {
    state: Weak<ConnectionState>,
    task: AbortHandle,
}

/// A connection that was admitted.
#[derive(Debug)]
pub(crate) struct AdmittedConnection {
    pub(crate) state: Arc<ConnectionState>,
    /// Whether another one was evicted, whose task has to run to release what it holds.
    pub(crate) has_evicted: bool,
}

impl ListenerGuard {
    pub(crate) fn new(guard: ConnectionGuard, limits: ServerLimits) -> ListenerGuard {
        ListenerGuard {
            guard,
            limits,
            shared: Arc::new(ListenerShared::new()),
            open: Vec::new(),
            next_number: 0,
            candidates: Vec::new(),
            candidates_at_ms: 0,
            swept_at: Instant::now(),
        }
    }

    /// Time between two sweeps: fine enough for the shortest limit.
    pub(crate) fn sweep_interval(&self) -> Duration {
        let limits = &self.limits;
        let shortest = limits.header_timeout.min(limits.idle_timeout).min(limits.write_timeout);
        (shortest / 4).clamp(Duration::from_millis(10), Duration::from_millis(250))
    }

    /// Admits a new connection; where there is no room, another one is evicted. None if all open
    /// ones have requests that are being served.
    pub(crate) fn admit(&mut self, now: Instant) -> Option<AdmittedConnection> {
        let n_open = self.shared.n_open.load(Ordering::Relaxed);
        let has_capacity = n_open < self.limits.max_connections && self.guard.has_capacity();
        let budget = self.guard.budget();
        let reserved =
            has_capacity.then(|| budget.reserve_connection(CONNECTION_BYTES, now)).flatten();
        let has_evicted = reserved.is_none();
        let charge = match reserved {
            Some(charge) => charge,
            None if self.evict_next() => self.guard.budget().count_held(CONNECTION_BYTES),
            None => {
                self.guard.record(GuardEvent::ConnectionRefused);
                return None;
            }
        };
        let number = self.next_number;
        self.next_number += 1;
        let state = ConnectionState::new(&self.guard, &self.shared, number, charge);
        Some(AdmittedConnection { state: Arc::new(state), has_evicted })
    }

    /// Watches a connection that is served by a task.
    pub(crate) fn watch(&mut self, state: Weak<ConnectionState>, task: AbortHandle) {
        self.open.push(OpenConnection { state, task });
    }

    /// Evicts the next connection in the order; false if there is none.
    fn evict_next(&mut self) -> bool {
        let now_ms = self.shared.now_ms.load(Ordering::Relaxed);
        if self.candidates_at_ms != now_ms {
            self.candidates.clear();
        }
        if self.evict_candidate() {
            return true;
        }
        self.select_candidates();
        self.candidates_at_ms = now_ms;
        self.evict_candidate()
    }

    /// Evicts the first of the candidates that has not changed its rank.
    fn evict_candidate(&mut self) -> bool {
        while let Some((rank, OpenConnection { state, task })) = self.candidates.pop() {
            let Some(state) = state.upgrade() else { continue };
            let view = state.view();
            if eviction_order::eviction_rank(&view) != Some(rank) {
                continue;
            }
            match state.close(view.phase, MAX_CLOSING) {
                None => continue,
                Some(CloseStep::EndTask) => task.abort(),
                Some(CloseStep::Answers) => {}
            }
            self.guard.record(GuardEvent::Evicted);
            return true;
        }
        false
    }

    fn select_candidates(&mut self) {
        self.open.retain(|it| 0 < it.state.strong_count());
        let mut ranked: Vec<(EvictionRank, usize)> = Vec::with_capacity(self.open.len());
        for (idx, connection) in self.open.iter().enumerate() {
            let view = connection.state.upgrade().map(|it| it.view());
            let rank = view.as_ref().and_then(eviction_order::eviction_rank);
            ranked.extend(rank.map(|it| (it, idx)));
        }
        if N_CANDIDATES < ranked.len() {
            ranked.select_nth_unstable(N_CANDIDATES);
            ranked.truncate(N_CANDIDATES);
        }
        ranked.sort_unstable();
        let least_last = ranked.into_iter().rev();
        self.candidates = least_last.map(|(rank, idx)| (rank, self.open[idx].clone())).collect();
    }

    /// Closes the connections that exceed a limit, and logs what was closed.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.swept_at).min(2 * self.sweep_interval());
        self.swept_at = now;
        self.shared.now_ms.fetch_add(elapsed.as_millis() as u64, Ordering::Relaxed);
        let (guard, limits) = (&self.guard, &self.limits);
        self.open.retain(|connection| {
            let Some(state) = connection.state.upgrade() else { return false };
            let Some(event) = state.exceeded_limit(limits) else { return true };
            let phase = match event {
                GuardEvent::SlowHead => Some(ConnectionPhase::Head),
                GuardEvent::IdleClosed => Some(ConnectionPhase::Idle),
                _ => None,
            };
            if phase.is_some_and(|it| state.close(it, 0).is_none()) {
                // It has gone on to the next phase meanwhile.
                return true;
            }
            guard.record(event);
            connection.task.abort();
            false
        });
        guard.log_events(now);
    }
}
