//! What a process may hold for its callers: connections and bytes, shared by its listeners.
//!
//! The module `listener_guard` applies the limits to the connections of one listener.

use std::{
    ops::RangeInclusive,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::ensure;
use log::warn;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::{byte_budget::ByteBudget, peer_limits::PeerEvent, process_setup};

/// Largest read buffer of a connection, in bytes: a head of 16 KiB and what follows it.
pub const MAX_BUFFER_BYTES: usize = 20 << 10;
/// Bytes that a connection is charged with: its read buffer, its task and short answers.
pub const CONNECTION_BYTES: usize = 28 << 10;
/// Part of the budget that connections may use without a request: one of so many.
const CONNECTIONS_PART: usize = 2;
/// Part of the connections that each of the listeners beside the main one may use: one of so many.
const SIDE_PART: usize = 8;
/// Most connections of a listener beside the main one: a load balancer or a scraper needs few.
const MAX_SIDE_CONNECTIONS: usize = 32;
/// Part of the budget, in quarters, up to whose size bytes may wait unread in receive buffers, in
/// addition to the budget.
const UNREAD_QUARTERS: usize = 3;
/// Most listeners of a process.
const MAX_LISTENERS: usize = 3;
/// Smallest and largest receive buffer of a connection, in bytes.
const RECEIVE_BUFFER_BYTES: RangeInclusive<usize> = (4 << 10)..=(64 << 10);
/// Fewest connections with which a process can serve.
const MIN_CONNECTIONS: usize = 16;
/// Budget of a process whose settings name no memory, in bytes.
const DEFAULT_BUDGET_BYTES: usize = 256 << 20;
/// Most connections of a process whose settings name none.
const DEFAULT_CONNECTIONS: usize = 4_096;
/// Time between two log lines about closed connections and refused requests.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of a process on what it holds for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardSettings {
    /// Bytes that are held at most.
    pub budget_bytes: usize,
    /// Most open connections, over all listeners.
    pub max_connections: usize,
}

impl GuardSettings {
    /// Settings with so many connections, or fewer where they would use over half of the budget.
    pub fn new(budget_bytes: usize, max_connections: usize) -> GuardSettings {
        let affordable = budget_bytes / CONNECTIONS_PART / CONNECTION_BYTES;
        GuardSettings { budget_bytes, max_connections: max_connections.min(affordable) }
    }

    /// Receive buffer to request for each connection, in bytes, so that all of them together, also
    /// those that wait to be accepted, hold a bounded number of unread bytes.
    pub fn receive_buffer_bytes(&self) -> usize {
        let n_connections = self.max_connections + MAX_LISTENERS * process_setup::ACCEPT_BACKLOG;
        let share = self.budget_bytes / 4 * UNREAD_QUARTERS / n_connections;
        // Linux doubles the size for its own overhead, and fills up to all of it with payload.
        (share / 2).clamp(*RECEIVE_BUFFER_BYTES.start(), *RECEIVE_BUFFER_BYTES.end())
    }

    /// Checks the limits against the largest legal body; the fields are those that the budget and
    /// the connections come from.
    ///
    /// # Errors
    ///
    /// When the budget cannot hold the largest body, or there are too few connections.
    pub fn check(
        &self,
        max_body: usize,
        memory_field: &str,
        fds_field: &str,
    ) -> anyhow::Result<()> {
        let largest = ByteBudget::new(self.budget_bytes).max_request_bytes();
        ensure!(
            max_body <= largest,
            "{memory_field} is too small: a request may use {largest} bytes of memory, and the \
             largest legal body has {max_body}"
        );
        ensure!(
            MIN_CONNECTIONS <= self.max_connections,
            "{memory_field} and {fds_field} allow {} connections, fewer than {MIN_CONNECTIONS}",
            self.max_connections
        );
        Ok(())
    }
}

impl Default for GuardSettings {
    fn default() -> GuardSettings {
        // Half of the descriptors is left for links and files.
        let max_fds = process_setup::descriptor_limit().unwrap_or(2 * DEFAULT_CONNECTIONS);
        GuardSettings::new(DEFAULT_BUDGET_BYTES, DEFAULT_CONNECTIONS.min(max_fds / 2))
    }
}

/// Why the guard refused or closed something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardEvent {
    /// A new connection was refused, as all open ones have requests that are being served.
    ConnectionRefused,
    /// A connection without a whole request was evicted for a new one.
    Evicted,
    /// A connection was closed, as the head of a request took too long.
    SlowHead,
    /// A connection was closed, as it was idle for too long.
    IdleClosed,
    /// A connection was closed, as its client did not read an answer.
    UnreadAnswer,
    /// A body was refused, as it arrived too slowly.
    SlowBody,
    /// A request was refused, or its body aborted, as the byte budget is used up.
    BudgetShort,
    /// A body was refused, as it is too large.
    LargeBody,
}

impl GuardEvent {
    /// Every event, in the order of their numbers.
    const ALL: [GuardEvent; 8] = [
        GuardEvent::ConnectionRefused,
        GuardEvent::Evicted,
        GuardEvent::SlowHead,
        GuardEvent::IdleClosed,
        GuardEvent::UnreadAnswer,
        GuardEvent::SlowBody,
        GuardEvent::BudgetShort,
        GuardEvent::LargeBody,
    ];

    /// Name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            GuardEvent::ConnectionRefused => "connection_refused",
            GuardEvent::Evicted => "evicted",
            GuardEvent::SlowHead => "slow_head",
            GuardEvent::IdleClosed => "idle_closed",
            GuardEvent::UnreadAnswer => "unread_answer",
            GuardEvent::SlowBody => "slow_body",
            GuardEvent::BudgetShort => "budget_short",
            GuardEvent::LargeBody => "large_body",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

/// The guard of a process, shared by its listeners.
#[derive(Clone, Debug)]
pub struct ConnectionGuard(Arc<GuardShared>);

#[derive(Debug)]
struct GuardShared {
    budget: ByteBudget,
    settings: GuardSettings,
    n_open: AtomicUsize,
    is_stopping: AtomicBool,
    counts: [AtomicU64; GuardEvent::ALL.len()],
    /// The counts at the last log line, and its time.
    logged: Mutex<(EventCounts, Option<Instant>)>,
}

/// The number of each event of the guard, then of links and endpoints.
type EventCounts = [u64; GuardEvent::ALL.len() + PeerEvent::ALL.len()];

impl ConnectionGuard {
    /// A guard with these limits.
    pub fn new(settings: GuardSettings) -> ConnectionGuard {
        ConnectionGuard(Arc::new(GuardShared {
            budget: ByteBudget::new(settings.budget_bytes),
            settings,
            n_open: AtomicUsize::new(0),
            is_stopping: AtomicBool::new(false),
            counts: Default::default(),
            logged: Mutex::default(),
        }))
    }

    /// The budget.
    pub fn budget(&self) -> &ByteBudget {
        &self.0.budget
    }

    /// Connections of a listener that serves few clients, as of readiness and metrics.
    pub fn n_side_connections(&self) -> usize {
        (self.0.settings.max_connections / SIDE_PART).min(MAX_SIDE_CONNECTIONS)
    }

    /// Connections of the main listener, beside so many listeners with few clients.
    pub fn n_main_connections(&self, n_side_listeners: usize) -> usize {
        self.0.settings.max_connections - n_side_listeners * self.n_side_connections()
    }

    /// Notes that the process is going to stop: each answer is the last one on its connection, so
    /// that few connections are left which a request reaches just as they are closed.
    pub fn announce_stop(&self) {
        self.0.is_stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.0.is_stopping.load(Ordering::Relaxed)
    }

    /// Whether the process may have another connection.
    pub(crate) fn has_capacity(&self) -> bool {
        self.0.n_open.load(Ordering::Relaxed) < self.0.settings.max_connections
    }

    pub(crate) fn add_connection(&self) {
        self.0.n_open.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn remove_connection(&self) {
        self.0.n_open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts an event.
    pub fn record(&self, event: GuardEvent) {
        self.0.counts[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How often an event occurred.
    pub fn n_events(&self, event: GuardEvent) -> u64 {
        self.0.counts[event as usize].load(Ordering::Relaxed)
    }

    fn event_rows(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let guard_rows = GuardEvent::ALL.iter().map(|it| (it.name(), self.n_events(*it)));
        guard_rows.chain(PeerEvent::ALL.iter().map(|it| (it.name(), it.count())))
    }

    /// Logs the events since the last line, in at most one line a second.
    pub(crate) fn log_events(&self, now: Instant) {
        let mut logged = self.0.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.1.is_some_and(|it| now.saturating_duration_since(it) < LOG_INTERVAL) {
            return;
        }
        let mut counts = EventCounts::default();
        for (count, (_, now)) in counts.iter_mut().zip(self.event_rows()) {
            *count = now;
        }
        if counts == logged.0 {
            return;
        }
        let rows = self.event_rows().zip(counts.iter().zip(&logged.0));
        let parts: Vec<String> = rows
            .filter(|(_, (now, old))| old < now)
            .map(|((name, _), (now, old))| format!("{name} {}", now - old))
            .collect();
        warn!(
            "limits on callers: {}; open connections: {}, reserved bytes: {}",
            parts.join(", "),
            self.0.n_open.load(Ordering::Relaxed),
            self.budget().counts().used
        );
        *logged = (counts, Some(now));
    }

    /// The metrics as text, without the end mark of the format.
    pub fn encode_metrics(&self) -> String {
        let mut registry = Registry::with_prefix("yuccamux_http");
        let events = Family::<EventLabels, Counter>::default();
        for event in GuardEvent::ALL {
            let labels = EventLabels { event: event.name() };
            events.get_or_create(&labels).inc_by(self.n_events(event));
        }
        let budget = self.budget().counts();
        let n_open = self.0.n_open.load(Ordering::Relaxed);
        registry.register("guard_events", "Connections and requests that met a limit", events);
        let peer_events = Family::<EventLabels, Counter>::default();
        for event in PeerEvent::ALL {
            let labels = EventLabels { event: event.name() };
            peer_events.get_or_create(&labels).inc_by(event.count());
        }
        let help = "Links and answers of endpoints that met a limit";
        registry.register("peer_events", help, peer_events);
        let gauges = [
            ("connections", "Open connections", n_open),
            ("connections_limit", "Most open connections", self.0.settings.max_connections),
            ("budget_bytes", "Bytes reserved for callers", budget.used),
            ("budget_limit_bytes", "Bytes that are reserved at most", self.0.settings.budget_bytes),
            (
                "receive_buffer_bytes",
                "Receive buffer that is requested for each connection",
                self.0.settings.receive_buffer_bytes(),
            ),
        ];
        for (name, help, value) in gauges {
            let gauge = Gauge::<i64>::default();
            gauge.set(value as i64);
            registry.register(name, help, gauge);
        }
        let aborted = Counter::<u64>::default();
        aborted.inc_by(budget.n_aborted);
        registry.register("bodies_aborted", "Bodies aborted to make room for others", aborted);
        let mut encoded = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode_registry(&mut encoded, &registry);
        encoded
    }
}

impl Default for ConnectionGuard {
    fn default() -> ConnectionGuard {
        ConnectionGuard::new(GuardSettings::default())
    }
}
