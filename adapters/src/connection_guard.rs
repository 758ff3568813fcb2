//! The connections of a process's listeners: how many there are, and how long each may take.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use anyhow::ensure;
use log::warn;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::AbortHandle,
};

use crate::{
    byte_budget::{ByteBudget, ByteClass, Reservation},
    http_server::ServerLimits,
    process_setup,
};

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
    /// A new connection was closed, as the listener or the process has too many.
    ConnectionRefused,
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
    const ALL: [GuardEvent; 7] = [
        GuardEvent::ConnectionRefused,
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
    counts: [AtomicU64; GuardEvent::ALL.len()],
    /// The counts at the last log line, and its time.
    logged: Mutex<([u64; GuardEvent::ALL.len()], Option<Instant>)>,
}

impl ConnectionGuard {
    /// A guard with these limits.
    pub fn new(settings: GuardSettings) -> ConnectionGuard {
        ConnectionGuard(Arc::new(GuardShared {
            budget: ByteBudget::new(settings.budget_bytes),
            settings,
            n_open: AtomicUsize::new(0),
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

    /// Counts an event.
    pub fn record(&self, event: GuardEvent) {
        self.0.counts[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How often an event occurred.
    pub fn n_events(&self, event: GuardEvent) -> u64 {
        self.0.counts[event as usize].load(Ordering::Relaxed)
    }

    /// Logs the events since the last line, in at most one line a second.
    pub(crate) fn log_events(&self, now: Instant) {
        let mut logged = self.0.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.1.is_some_and(|it| now.saturating_duration_since(it) < LOG_INTERVAL) {
            return;
        }
        let counts = GuardEvent::ALL.map(|it| self.n_events(it));
        if counts == logged.0 {
            return;
        }
        let rows = GuardEvent::ALL.iter().zip(counts.iter().zip(&logged.0));
        let changed = rows.filter(|(_, (new, old))| old < new);
        let parts: Vec<String> =
            changed.map(|(event, (new, old))| format!("{} {}", event.name(), new - old)).collect();
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
        let gauges = [
            ("connections", "Open connections", n_open),
            ("connections_limit", "Most open connections", self.0.settings.max_connections),
            ("budget_bytes", "Bytes reserved for callers", budget.used),
            ("budget_limit_bytes", "Bytes that are reserved at most", self.0.settings.budget_bytes),
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

/// What a connection waits for.
const PHASE_IDLE: u8 = 0;
const PHASE_HEAD: u8 = 1;
const PHASE_SERVING: u8 = 2;

/// The state of an open connection.
#[derive(Debug)]
pub struct ConnectionState {
    guard: ConnectionGuard,
    listener: Arc<ListenerShared>,
    phase: AtomicU8,
    /// Time on the listener's clock at which the phase began.
    phase_since_ms: AtomicU64,
    /// Time on the listener's clock since which the client has not read; 0 if it has.
    unread_since_ms: AtomicU64,
    _charge: Reservation,
}

/// What the connections of a listener share.
#[derive(Debug)]
struct ListenerShared {
    /// Time for which the listener has run, in ms, advanced by [`ListenerGuard::sweep`]. It stands
    /// still with the process, so that a freeze counts as no one's delay, and costs no system call
    /// for a request.
    now_ms: AtomicU64,
    n_open: AtomicUsize,
}

impl ConnectionState {
    /// The guard of the process.
    pub fn guard(&self) -> &ConnectionGuard {
        &self.guard
    }

    /// Notes that the head of a request is complete.
    pub(crate) fn begin_request(&self) {
        self.phase.store(PHASE_SERVING, Ordering::Relaxed);
    }

    /// Notes that the answer to a request is complete.
    pub(crate) fn end_request(&self) {
        self.set_phase(PHASE_IDLE);
    }

    fn set_phase(&self, phase: u8) {
        self.phase_since_ms.store(self.now_ms(), Ordering::Relaxed);
        self.phase.store(phase, Ordering::Relaxed);
    }

    fn note_read(&self) {
        if self.phase.load(Ordering::Relaxed) == PHASE_IDLE {
            self.set_phase(PHASE_HEAD);
        }
    }

    fn note_write(&self, is_blocked: bool) {
        if !is_blocked {
            self.unread_since_ms.store(0, Ordering::Relaxed);
        } else if self.unread_since_ms.load(Ordering::Relaxed) == 0 {
            self.unread_since_ms.store(self.now_ms(), Ordering::Relaxed);
        }
    }

    fn now_ms(&self) -> u64 {
        self.listener.now_ms.load(Ordering::Relaxed)
    }

    /// The limit that the connection exceeds, if any.
    fn exceeded_limit(&self, limits: &ServerLimits) -> Option<GuardEvent> {
        let now_ms = self.now_ms();
        let is_over = |since_ms: u64, limit: Duration| {
            limit.as_millis() < u128::from(now_ms.saturating_sub(since_ms))
        };
        let unread_since_ms = self.unread_since_ms.load(Ordering::Relaxed);
        if unread_since_ms != 0 && is_over(unread_since_ms, limits.write_timeout) {
            return Some(GuardEvent::UnreadAnswer);
        }
        let phase_since_ms = self.phase_since_ms.load(Ordering::Relaxed);
        match self.phase.load(Ordering::Relaxed) {
            PHASE_HEAD if is_over(phase_since_ms, limits.header_timeout) => {
                Some(GuardEvent::SlowHead)
            }
            PHASE_IDLE if unread_since_ms == 0 && is_over(phase_since_ms, limits.idle_timeout) => {
                Some(GuardEvent::IdleClosed)
            }
            _ => None,
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.listener.n_open.fetch_sub(1, Ordering::Relaxed);
        self.guard.0.n_open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The connections of one listener.
#[derive(Debug)]
pub(crate) struct ListenerGuard {
    guard: ConnectionGuard,
    limits: ServerLimits,
    shared: Arc<ListenerShared>,
    /// The task of a connection owns its state, so that one that has ended counts no more.
    open: Vec<(Weak<ConnectionState>, AbortHandle)>,
    swept_at: Instant,
}

impl ListenerGuard {
    pub(crate) fn new(guard: ConnectionGuard, limits: ServerLimits) -> ListenerGuard {
        // The clock starts at 1, as 0 stands for no time.
        let shared = ListenerShared { now_ms: AtomicU64::new(1), n_open: AtomicUsize::new(0) };
        let (shared, swept_at) = (Arc::new(shared), Instant::now());
        ListenerGuard { guard, limits, shared, open: Vec::new(), swept_at }
    }

    /// Time between two sweeps: fine enough for the shortest limit.
    pub(crate) fn sweep_interval(&self) -> Duration {
        let limits = &self.limits;
        let shortest = limits.header_timeout.min(limits.idle_timeout).min(limits.write_timeout);
        (shortest / 4).clamp(Duration::from_millis(10), Duration::from_millis(250))
    }

    /// Admits a new connection, or counts that it is closed as there are too many.
    pub(crate) fn admit(&self) -> Option<Arc<ConnectionState>> {
        let process = &self.guard.0;
        let has_room = self.shared.n_open.load(Ordering::Relaxed) < self.limits.max_connections
            && process.n_open.load(Ordering::Relaxed) < process.settings.max_connections;
        let charge = has_room
            .then(|| self.guard.budget().reserve(CONNECTION_BYTES, ByteClass::Small))
            .flatten();
        let Some(charge) = charge else {
            self.guard.record(GuardEvent::ConnectionRefused);
            return None;
        };
        self.shared.n_open.fetch_add(1, Ordering::Relaxed);
        process.n_open.fetch_add(1, Ordering::Relaxed);
        Some(Arc::new(ConnectionState {
            guard: self.guard.clone(),
            listener: Arc::clone(&self.shared),
            phase: AtomicU8::new(PHASE_IDLE),
            phase_since_ms: AtomicU64::new(self.shared.now_ms.load(Ordering::Relaxed)),
            unread_since_ms: AtomicU64::new(0),
            _charge: charge,
        }))
    }

    /// Watches a connection that is served by a task.
    pub(crate) fn watch(&mut self, state: Weak<ConnectionState>, task: AbortHandle) {
        self.open.push((state, task));
    }

    /// Closes the connections that exceed a limit, and logs what was closed.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.swept_at).min(2 * self.sweep_interval());
        self.swept_at = now;
        self.shared.now_ms.fetch_add(elapsed.as_millis() as u64, Ordering::Relaxed);
        let (guard, limits) = (&self.guard, &self.limits);
        self.open.retain(|(state, task)| {
            let Some(state) = state.upgrade() else { return false };
            let Some(event) = state.exceeded_limit(limits) else { return true };
            guard.record(event);
            task.abort();
            false
        });
        guard.log_events(now);
    }
}

/// A connection's stream, which notes reads and writes in its state.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, state: Arc<ConnectionState>) -> GuardedStream {
        GuardedStream { stream, state }
    }

    fn note_write(
        &self,
        result: Poll<io::Result<usize>>,
        n_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        let is_whole = matches!(&result, Poll::Ready(Ok(n_written)) if n_bytes <= *n_written);
        self.state.note_write(!is_whole);
        result
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let n_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if n_before < buffer.filled().len() {
            self.state.note_read();
        }
        result
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(result, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(result, slices.iter().map(|it| it.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
