//! Keep-alive HTTP connections that report whether a failed request can have been received.
//!
//! A request that was never handed to a connection's writer is "not written". Once it
//! was, it may have been received, and only a response tells whether it was.
//!
//! What is held of answers is bounded, each by itself and all together, as are the bytes of a
//! connection that wait to be read.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::{
    net::{self, TcpSocket, TcpStream},
    time,
};

use crate::{
    byte_budget::{ByteBudget, ByteClass, Reservation, SMALL_REQUEST_BYTES},
    peer_limits::PeerEvent,
};

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Receive buffer of a connection, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Largest read buffer of a connection, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

type RequestSender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: RequestSender,
    since: Instant,
}

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The request was written to no connection.
    #[error("not written: {0}")]
    NotWritten(String),
    /// The request was or may have been written, and no whole response came.
    #[error("lost: {0}")]
    Lost(String),
}

/// Limits on the answers that a pool reads.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// Largest answer, in bytes.
    pub max_bytes: usize,
    /// Bytes of answers that are being read at most, over all connections.
    pub max_total_bytes: usize,
}

impl Default for AnswerLimits {
    fn default() -> AnswerLimits {
        AnswerLimits { max_bytes: 64 << 20, max_total_bytes: 256 << 20 }
    }
}

/// Idle connections by host and port.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IndexMap<String, VecDeque<IdleConnection>>>>,
    limits: AnswerLimits,
    budget: ByteBudget,
}

impl Default for ConnectionPool {
    fn default() -> ConnectionPool {
        ConnectionPool::with_limits(AnswerLimits::default())
    }
}

impl ConnectionPool {
    /// No connections yet.
    pub fn new() -> ConnectionPool {
        ConnectionPool::default()
    }

    /// No connections yet, with limits on the answers.
    pub fn with_limits(limits: AnswerLimits) -> ConnectionPool {
        let budget = ByteBudget::new(limits.max_total_bytes);
        ConnectionPool { idle: Arc::default(), limits, budget }
    }

    /// Sends a request and reads its whole response.
    ///
    /// # Errors
    ///
    /// [`SendError`]; a request that exceeds `time_limit` counts as lost.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        match time::timeout(time_limit, self.send_untimed(address, request)).await {
            Ok(result) => result,
            Err(_) => {
                let message = format!("no answer within {} ms", time_limit.as_millis());
                Err(SendError::Lost(message))
            }
        }
    }

    async fn send_untimed(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        // The peer may have closed an idle connection meanwhile; then the next one is tried.
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return self.read_answer(address, sender, response).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = connect(address).await.map_err(SendError::NotWritten)?;
        match sender.try_send_request(request).await {
            Ok(response) => self.read_answer(address, sender, response).await,
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let message = error.into_error().to_string();
                Err(if is_unsent {
                    SendError::NotWritten(message)
                } else {
                    SendError::Lost(message)
                })
            }
        }
    }

    async fn read_answer(
        &self,
        address: &str,
        sender: RequestSender,
        response: Response<Incoming>,
    ) -> Result<Response<Bytes>, SendError> {
        let (parts, body) = response.into_parts();
        match self.read_body(body).await {
            Ok(bytes) => {
                self.return_idle(address, sender);
                Ok(Response::from_parts(parts, bytes))
            }
            // The connection is closed with its sender.
            Err(problem) => Err(SendError::Lost(format!("the answer was cut off: {problem}"))),
        }
    }

    /// Reads a body into a buffer whose bytes are reserved before it grows.
    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut bytes = Vec::new();
        let mut reservations: Vec<Reservation> = Vec::new();
        let declared = body.size_hint().exact().map_or(0, |it| it as usize);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else { continue };
            let n_bytes = bytes.len() + data.len();
            if self.limits.max_bytes < n_bytes.max(declared) {
                PeerEvent::LargeAnswer.record();
                return Err(format!("it is over {} bytes", self.limits.max_bytes));
            }
            if bytes.capacity() < n_bytes {
                let capacity = n_bytes.max(declared).max(2 * bytes.capacity());
                let more = capacity - bytes.capacity();
                // A share is kept for short answers, which most are.
                let is_short = capacity <= SMALL_REQUEST_BYTES;
                let class = if is_short { ByteClass::Small } else { ByteClass::Large };
                let Some(reservation) = self.budget.reserve(more, class) else {
                    PeerEvent::AnswersShort.record();
                    return Err("other answers hold too many bytes".to_owned());
                };
                reservations.push(reservation);
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.into())
    }

    fn take_idle(&self, address: &str) -> Option<RequestSender> {
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop_back() {
            let is_usable =
                !connection.sender.is_closed() && connection.since.elapsed() < IDLE_TIMEOUT;
            if is_usable {
                return Some(connection.sender);
            }
        }
        None
    }

    fn return_idle(&self, address: &str, sender: RequestSender) {
        let Ok(mut idle) = self.idle.lock() else { return };
        let connections = idle.entry(address.to_owned()).or_default();
        while connections.front().is_some_and(|it| IDLE_TIMEOUT <= it.since.elapsed()) {
            connections.pop_front();
        }
        connections.push_back(IdleConnection { sender, since: Instant::now() });
    }
}

async fn connect(address: &str) -> Result<RequestSender, String> {
    let connecting = time::timeout(CONNECT_TIMEOUT, open_stream(address)).await;
    let stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(format!("could not connect to {address}: {error}")),
        Err(_) => return Err(format!("connecting to {address} took too long")),
    };
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Connects to the first address of a host that accepts.
async fn open_stream(address: &str) -> io::Result<TcpStream> {
    let mut last_error = io::ErrorKind::AddrNotAvailable.into();
    for address in net::lookup_host(address).await? {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        match socket.connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
