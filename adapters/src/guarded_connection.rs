//! The state of one connection, and its stream, which notes reads and writes there.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

use crate::{
    byte_budget::Reservation,
    connection_guard::{ConnectionGuard, GuardEvent},
    eviction_order::{ConnectionPhase, ConnectionView},
    http_server::ServerLimits,
};

/// Time that a connection has for its last answer once it is evicted.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What the connections of a listener share.
#[derive(Debug)]
pub(crate) struct ListenerShared {
    /// Time for which the listener has run, in ms, advanced by its sweeps. It stands still with
    /// the process, so that a freeze counts as no one's delay, and costs no system call for a
    /// request.
    pub(crate) now_ms: AtomicU64,
    pub(crate) n_open: AtomicUsize,
    /// Evicted connections that still write an answer.
    pub(crate) n_closing: AtomicUsize,
}

impl ListenerShared {
    pub(crate) fn new() -> ListenerShared {
        // The clock starts at 1, as 0 stands for no time.
        ListenerShared {
            now_ms: AtomicU64::new(1),
            n_open: AtomicUsize::new(0),
            n_closing: AtomicUsize::new(0),
        }
    }
}

/// The state of an open connection.
#[derive(Debug)]
pub struct ConnectionState {
    guard: ConnectionGuard,
    listener: Arc<ListenerShared>,
    number: u64,
    /// A [`ConnectionPhase`].
    phase: AtomicU8,
    /// Time on the listener's clock at which the phase began.
    phase_since_ms: AtomicU64,
    /// Bytes of the body in [`ConnectionPhase::Body`].
    n_body_bytes: AtomicU64,
    /// Time on the listener's clock since which the client has not read; 0 if it has.
    unread_since_ms: AtomicU64,
    /// Whether the connection counts no more, as it was evicted.
    is_released: AtomicBool,
    /// Whether the connection was evicted and may still write an answer.
    is_answering: AtomicBool,
    evicted: Notify,
    _charge: Reservation,
}

impl ConnectionState {
    pub(crate) fn new(
        guard: &ConnectionGuard,
        listener: &Arc<ListenerShared>,
        number: u64,
        charge: Reservation,
    ) -> ConnectionState {
        listener.n_open.fetch_add(1, Ordering::Relaxed);
        guard.add_connection();
        ConnectionState {
            guard: guard.clone(),
            listener: Arc::clone(listener),
            number,
            phase: AtomicU8::new(ConnectionPhase::Idle as u8),
            phase_since_ms: AtomicU64::new(listener.now_ms.load(Ordering::Relaxed)),
            n_body_bytes: AtomicU64::new(0),
            unread_since_ms: AtomicU64::new(0),
            is_released: AtomicBool::new(false),
            is_answering: AtomicBool::new(false),
            evicted: Notify::new(),
            _charge: charge,
        }
    }

    /// The guard of the process.
    pub fn guard(&self) -> &ConnectionGuard {
        &self.guard
    }

    /// Notes that the head of a request is complete; false if the connection is closing, and the
    /// request must not be served.
    pub(crate) fn begin_request(&self) -> bool {
        let change = |phase| (phase != CLOSING).then_some(ConnectionPhase::Serving as u8);
        self.phase.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change).is_ok()
    }

    /// Notes that the answer to a request is complete.
    pub(crate) fn end_request(&self) {
        self.enter(ConnectionPhase::Idle);
    }

    /// Notes that the body of the request is waited for.
    pub(crate) fn begin_body(&self) {
        self.n_body_bytes.store(0, Ordering::Relaxed);
        self.enter(ConnectionPhase::Body);
    }

    pub(crate) fn note_body_bytes(&self, n_bytes: usize) {
        self.n_body_bytes.fetch_add(n_bytes as u64, Ordering::Relaxed);
    }

    /// Notes that the body of the request is waited for no more.
    pub(crate) fn end_body(&self) {
        self.enter(ConnectionPhase::Serving);
    }

    /// Waits until the connection is evicted.
    pub(crate) async fn wait_for_eviction(&self) {
        self.evicted.notified().await;
    }

    /// Enters a phase, unless the connection is closing.
    fn enter(&self, phase: ConnectionPhase) {
        let change = |old| (old != CLOSING).then_some(phase as u8);
        if self.phase.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change).is_ok() {
            self.phase_since_ms.store(self.now_ms(), Ordering::Relaxed);
        }
    }

    fn phase(&self) -> ConnectionPhase {
        PHASES[usize::from(self.phase.load(Ordering::Relaxed))]
    }

    pub(crate) fn view(&self) -> ConnectionView {
        let now_ms = self.now_ms();
        let since_ms = self.phase_since_ms.load(Ordering::Relaxed);
        let unread_since_ms = self.unread_since_ms.load(Ordering::Relaxed);
        let is_unread = unread_since_ms != 0;
        ConnectionView {
            phase: self.phase(),
            waited_ms: now_ms.saturating_sub(since_ms),
            unread_ms: if is_unread { 1 + now_ms.saturating_sub(unread_since_ms) } else { 0 },
            n_body_bytes: self.n_body_bytes.load(Ordering::Relaxed),
            number: self.number,
        }
    }

    /// Closes the connection if it is still in this phase, in which no request is served; it counts
    /// no more. A body that is read is refused with an answer, if fewer than `max_closing`
    /// connections still write one.
    pub(crate) fn close(&self, phase: ConnectionPhase, max_closing: usize) -> Option<CloseStep> {
        let (old, new) = (phase as u8, CLOSING);
        self.phase.compare_exchange(old, new, Ordering::Relaxed, Ordering::Relaxed).ok()?;
        self.phase_since_ms.store(self.now_ms(), Ordering::Relaxed);
        self.release();
        let n_closing = self.listener.n_closing.load(Ordering::Relaxed);
        if phase != ConnectionPhase::Body || max_closing <= n_closing {
            return Some(CloseStep::EndTask);
        }
        self.listener.n_closing.fetch_add(1, Ordering::Relaxed);
        self.is_answering.store(true, Ordering::Relaxed);
        self.evicted.notify_one();
        Some(CloseStep::Answers)
    }

    fn release(&self) {
        if !self.is_released.swap(true, Ordering::Relaxed) {
            self.listener.n_open.fetch_sub(1, Ordering::Relaxed);
            self.guard.remove_connection();
        }
    }

    fn note_read(&self) {
        if self.phase.load(Ordering::Relaxed) == ConnectionPhase::Idle as u8 {
            self.enter(ConnectionPhase::Head);
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
    pub(crate) fn exceeded_limit(&self, limits: &ServerLimits) -> Option<GuardEvent> {
        let now_ms = self.now_ms();
        let is_over = |since_ms: u64, limit: Duration| {
            limit.as_millis() < u128::from(now_ms.saturating_sub(since_ms))
        };
        let unread_since_ms = self.unread_since_ms.load(Ordering::Relaxed);
        if unread_since_ms != 0 && is_over(unread_since_ms, limits.write_timeout) {
            return Some(GuardEvent::UnreadAnswer);
        }
        let phase_since_ms = self.phase_since_ms.load(Ordering::Relaxed);
        match self.phase() {
            ConnectionPhase::Head if is_over(phase_since_ms, limits.header_timeout) => {
                Some(GuardEvent::SlowHead)
            }
            ConnectionPhase::Idle
                if unread_since_ms == 0 && is_over(phase_since_ms, limits.idle_timeout) =>
            {
                Some(GuardEvent::IdleClosed)
            }
            ConnectionPhase::Closing if is_over(phase_since_ms, CLOSE_TIMEOUT) => {
                Some(GuardEvent::UnreadAnswer)
            }
            _ => None,
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.release();
        if *self.is_answering.get_mut() {
            self.listener.n_closing.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// What remains to be done for a connection that is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseStep {
    /// Its task has to be ended.
    EndTask,
    /// Its task answers the request, and ends.
    Answers,
}

/// The phases in the order of their numbers.
const PHASES: [ConnectionPhase; 5] = [
    ConnectionPhase::Idle,
    ConnectionPhase::Head,
    ConnectionPhase::Body,
    ConnectionPhase::Serving,
    ConnectionPhase::Closing,
];
const CLOSING: u8 = ConnectionPhase::Closing as u8;

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
