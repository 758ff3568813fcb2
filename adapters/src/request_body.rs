//! Bodies of requests and answers, whose bytes count against the byte budget.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time;
use yuccamux::prelude::{ErrorKind, RequestError};

use crate::{
    byte_budget::{BodyReservation, ByteClass, GrowStep, Reservation, SMALL_REQUEST_BYTES},
    connection_guard::GuardEvent,
    guarded_connection::ConnectionState,
    http_server::ServerLimits,
};

/// Time from which on a body keeps to the least rate.
pub const BODY_GRACE: Duration = Duration::from_secs(2);
/// Bytes that are reserved first for a body whose length is unknown, or over this.
const FIRST_STEP_BYTES: usize = 16 << 10;
/// Time between two attempts to reserve the bytes of an aborted body.
const RELEASE_WAIT: Duration = Duration::from_millis(5);
/// Largest answer that the charge of its connection covers, in bytes.
const SHORT_ANSWER_BYTES: usize = 4 << 10;

/// The body of a request.
#[derive(Debug)]
pub struct RequestBody {
    pub(crate) incoming: Incoming,
    pub(crate) state: Arc<ConnectionState>,
}

impl RequestBody {
    /// The connection on which the request came.
    pub fn connection(&self) -> Arc<ConnectionState> {
        Arc::clone(&self.state)
    }
}

/// Reserves bytes for what a handler holds for a request, as a decoded job.
///
/// # Errors
///
/// `Overloaded` when the budget is short, `BodyTooLarge` when a request may never hold so much.
pub fn reserve_bytes(
    connection: &ConnectionState,
    n_bytes: usize,
) -> Result<Reservation, RequestError> {
    let guard = connection.guard();
    let max_bytes = guard.budget().max_request_bytes();
    if max_bytes < n_bytes {
        guard.record(GuardEvent::LargeBody);
        let message = format!("the request needs {n_bytes} bytes of memory, over {max_bytes}");
        return Err(RequestError::new(ErrorKind::BodyTooLarge, message));
    }
    let class = byte_class(n_bytes);
    guard.budget().reserve(n_bytes, class).ok_or_else(|| {
        guard.record(GuardEvent::BudgetShort);
        short_budget()
    })
}

/// Reads a body within the limits. Its bytes are reserved until the last of them is dropped.
///
/// # Errors
///
/// `BodyTooLarge`, `SlowRequest`, `Overloaded` when the byte budget is short, or `InvalidBody`
/// when the body ends early.
pub async fn read_body(body: RequestBody, limits: &ServerLimits) -> Result<Bytes, RequestError> {
    let state = body.connection();
    let guard = state.guard();
    let max_bytes = limits.max_body_bytes.min(guard.budget().max_request_bytes());
    state.begin_body();
    let mut reader = BodyReader::new(body, limits, max_bytes);
    let result = reader.read().await;
    let result = match result {
        Ok(()) => Ok(reader.into_bytes()),
        Err(error) => {
            reader.discard_rest(&error).await;
            Err(error)
        }
    };
    state.end_body();
    match result.as_ref().map_err(|it| it.kind) {
        Err(ErrorKind::BodyTooLarge) => guard.record(GuardEvent::LargeBody),
        Err(ErrorKind::SlowRequest) => guard.record(GuardEvent::SlowBody),
        Err(ErrorKind::Overloaded) => guard.record(GuardEvent::BudgetShort),
        _ => {}
    }
    result
}

struct BodyReader<'a> {
    incoming: Incoming,
    state: Arc<ConnectionState>,
    limits: &'a ServerLimits,
    max_bytes: usize,
    /// Length that the body is to have, as far as its head tells.
    declared: Option<usize>,
    started_at: Instant,
    n_read: usize,
    /// Whether another request needed the bytes or the connection more.
    is_aborted: bool,
    buffer: Vec<u8>,
    reservation: BodyReservation,
}

impl BodyReader<'_> {
    fn new(body: RequestBody, limits: &ServerLimits, max_bytes: usize) -> BodyReader<'_> {
        let declared = body.incoming.size_hint().exact().map(|it| it as usize);
        let started_at = Instant::now();
        let class = declared.map_or(ByteClass::Large, byte_class);
        BodyReader {
            limits,
            max_bytes,
            declared,
            started_at,
            n_read: 0,
            is_aborted: false,
            buffer: Vec::new(),
            reservation: body.state.guard().budget().open_body(class, started_at),
            incoming: body.incoming,
            state: body.state,
        }
    }

    async fn read(&mut self) -> Result<(), RequestError> {
        if let Some(declared) = self.declared {
            if self.max_bytes < declared {
                return Err(too_large(self.max_bytes));
            }
            self.grow(declared.min(FIRST_STEP_BYTES)).await?;
        }
        let time_limit = time::sleep_until(self.time_limit().into());
        tokio::pin!(time_limit);
        loop {
            let frame = tokio::select! {
                biased;
                frame = self.incoming.frame() => frame,
                () = wait_for_abort(&self.reservation, &self.state) => return Err(self.aborted()),
                () = &mut time_limit => {
                    let until = self.time_limit();
                    if until <= Instant::now() {
                        return Err(self.too_slow());
                    }
                    time_limit.as_mut().reset(until.into());
                    continue;
                }
            };
            match frame {
                None => return Ok(()),
                Some(Err(error)) => {
                    let message = format!("the body was cut off: {error}");
                    return Err(RequestError::new(ErrorKind::InvalidBody, message));
                }
                Some(Ok(frame)) => {
                    // Trailers are ignored.
                    let Ok(data) = frame.into_data() else { continue };
                    self.n_read += data.len();
                    self.state.note_body_bytes(data.len());
                    self.append(&data).await?;
                }
            }
        }
    }

    /// The body, once it has been read.
    fn into_bytes(self) -> Bytes {
        let reservation = self.reservation.finish();
        Bytes::from_owner(ReservedBytes { bytes: self.buffer, _reservation: reservation })
    }

    /// Releases the bytes of a refused body, then reads on without keeping anything, up to the
    /// largest legal body: a client that is still sending loses the answer when its connection
    /// is reset.
    async fn discard_rest(mut self, error: &RequestError) {
        let is_refused = matches!(error.kind, ErrorKind::BodyTooLarge | ErrorKind::Overloaded);
        if !is_refused || self.is_aborted {
            return;
        }
        drop((self.buffer, self.reservation));
        let until = self.started_at + self.limits.body_timeout;
        while self.n_read < self.max_bytes {
            let frame = tokio::select! {
                frame = time::timeout_at(until.into(), self.incoming.frame()) => frame,
                () = self.state.wait_for_eviction() => return,
            };
            let Ok(Some(Ok(frame))) = frame else { return };
            let n_bytes = frame.data_ref().map_or(0, Bytes::len);
            self.n_read += n_bytes;
            self.state.note_body_bytes(n_bytes);
        }
    }

    /// Copies a part of the body, so that the connection's read buffer is not held: a chunk of one
    /// byte would hold all of it.
    async fn append(&mut self, data: &[u8]) -> Result<(), RequestError> {
        let n_bytes = self.buffer.len() + data.len();
        if self.max_bytes < n_bytes {
            return Err(too_large(self.max_bytes));
        }
        if self.buffer.capacity() < n_bytes {
            let doubled = (2 * self.buffer.capacity()).max(FIRST_STEP_BYTES);
            let limit = self.declared.unwrap_or(self.max_bytes);
            self.grow(doubled.min(limit).max(n_bytes)).await?;
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Reserves bytes for a larger buffer, then allocates it.
    async fn grow(&mut self, capacity: usize) -> Result<(), RequestError> {
        let more = capacity.saturating_sub(self.buffer.capacity());
        loop {
            match self.reservation.grow(more, Instant::now()) {
                GrowStep::Reserved => break,
                GrowStep::Refused => return Err(short_budget()),
                GrowStep::Wait if self.time_limit() <= Instant::now() => {
                    return Err(short_budget());
                }
                // Bodies that wait for each other's bytes would hold them until their time is over.
                GrowStep::Wait => tokio::select! {
                    () = wait_for_abort(&self.reservation, &self.state) => {
                        return Err(self.aborted());
                    }
                    () = time::sleep(RELEASE_WAIT) => {}
                },
            }
        }
        self.buffer.reserve_exact(capacity - self.buffer.len());
        Ok(())
    }

    fn aborted(&mut self) -> RequestError {
        self.is_aborted = true;
        short_budget()
    }

    /// Time at which the body is late: it has a limit as a whole, and keeps to the least rate.
    fn time_limit(&self) -> Instant {
        let rate = self.limits.min_body_rate.max(1) as f64;
        let paced = BODY_GRACE + Duration::from_secs_f64(self.buffer.len() as f64 / rate);
        self.started_at + paced.min(self.limits.body_timeout)
    }

    fn too_slow(&self) -> RequestError {
        let time_ms = self.limits.body_timeout.as_millis();
        let message = if self.started_at + self.limits.body_timeout <= Instant::now() {
            format!("the body took over {time_ms} ms")
        } else {
            format!("the body came at under {} bytes/s", self.limits.min_body_rate)
        };
        RequestError::new(ErrorKind::SlowRequest, message)
    }
}

/// Waits until another request needs the bytes of a body, or its connection, more.
async fn wait_for_abort(reservation: &BodyReservation, state: &ConnectionState) {
    tokio::select! {
        () = reservation.wait_for_abort() => {}
        () = state.wait_for_eviction() => {}
    }
}

/// The bytes of a body, with their reservation.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn byte_class(n_bytes: usize) -> ByteClass {
    if n_bytes <= SMALL_REQUEST_BYTES { ByteClass::Small } else { ByteClass::Large }
}

fn too_large(max_bytes: usize) -> RequestError {
    RequestError::new(ErrorKind::BodyTooLarge, format!("the body is over {max_bytes} bytes"))
}

fn short_budget() -> RequestError {
    RequestError::new(ErrorKind::Overloaded, "too many bytes are held for callers; nothing has run")
}

/// The body of an answer; one that is not short counts as held until it is written.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    body: Full<Bytes>,
    reservation: Option<Reservation>,
}

impl AnswerBody {
    pub(crate) fn new(body: Full<Bytes>, state: &ConnectionState) -> AnswerBody {
        let n_bytes = body.size_hint().lower() as usize;
        let reservation =
            (SHORT_ANSWER_BYTES < n_bytes).then(|| state.guard().budget().count_held(n_bytes));
        AnswerBody { body, reservation }
    }
}

struct AnswerBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for AnswerBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        let Some(reservation) = self.reservation.take() else { return Poll::Ready(frame) };
        let reserved = |bytes| Bytes::from_owner(AnswerBytes { bytes, _reservation: reservation });
        Poll::Ready(frame.map(|it| it.map(|frame| frame.map_data(reserved))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
