//! Keep-alive HTTP connections that report whether a failed request can have been received.
//!
//! A request that was never handed to a connection's writer is "not written". Once it
//! was, it may have been received, and only a response tells whether it was.
//!
//! What is held of answers is bounded, each by itself and all together, as are the bytes of a
//! connection that wait to be read.
//!
//! A connection ends with the process at its other end, so all that is sent on it reaches one
//! incarnation of the peer or none. [`ConnectionPool::send_to`] relies on this: it sends a request
//! only on a connection on which the intended incarnation has identified itself.

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

/// A connection with the incarnation that has identified itself on it, if one has.
struct PeerConnection {
    sender: RequestSender,
    incarnation: Option<u64>,
}

struct IdleConnection {
    peer: PeerConnection,
    since: Instant,
}

/// Reads the incarnation of the peer from its answer, if the answer states it.
pub type ReadIncarnation = fn(&Response<Bytes>) -> Option<u64>;

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

/// Why a request to one incarnation of a peer got no response.
#[derive(Debug, thiserror::Error)]
pub enum IncarnationError {
    /// As for a request to any incarnation.
    #[error(transparent)]
    Send(#[from] SendError),
    /// Not written: another incarnation than the intended one answers.
    #[error("not written: incarnation {0} answers")]
    Other(u64),
    /// Not written: the peer answered a request to identify itself without its incarnation.
    #[error("not written: the peer did not identify itself, status {}", .0.status())]
    Unidentified(Box<Response<Bytes>>),
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
    read_incarnation: ReadIncarnation,
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
        ConnectionPool { idle: Arc::default(), limits, budget, read_incarnation: |_| None }
    }

    /// The pool with a function that reads the peers' incarnations from their answers.
    pub fn with_incarnations(self, read_incarnation: ReadIncarnation) -> ConnectionPool {
        ConnectionPool { read_incarnation, ..self }
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
            Err(_) => Err(SendError::Lost(time_limit_message(time_limit))),
        }
    }

    /// Sends a request that only one incarnation of the peer may receive, and reads the response.
    ///
    /// On a connection whose peer has not identified itself yet, `identify` is sent first. It must
    /// be harmless for every incarnation.
    ///
    /// # Errors
    ///
    /// [`IncarnationError`]; a request that exceeds `time_limit` counts as lost if it was written.
    pub async fn send_to(
        &self,
        address: &str,
        incarnation: u64,
        identify: &Request<Full<Bytes>>,
        mut request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, IncarnationError> {
        let give_up_at = time::Instant::now() + time_limit;
        loop {
            let identified = self.identified(address, incarnation, identify);
            let Ok(connection) = time::timeout_at(give_up_at, identified).await else {
                return Err(SendError::NotWritten(time_limit_message(time_limit)).into());
            };
            let sent = self.send_on(address, connection?, request);
            match time::timeout_at(give_up_at, sent).await {
                Ok(Ok(response)) => return Ok(response),
                // The peer has closed the connection since it identified itself.
                Ok(Err(SendFailure::Unsent(unsent, _))) => request = *unsent,
                Ok(Err(SendFailure::Lost(message))) => return Err(SendError::Lost(message).into()),
                Err(_) => return Err(SendError::Lost(time_limit_message(time_limit)).into()),
            }
        }
    }

    /// A connection on which this incarnation of the peer has identified itself.
    async fn identified(
        &self,
        address: &str,
        incarnation: u64,
        identify: &Request<Full<Bytes>>,
    ) -> Result<PeerConnection, IncarnationError> {
        loop {
            let idle = self.take_usable(address).await;
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(address).await.map_err(SendError::NotWritten)?,
            };
            let answered = match connection.incarnation {
                Some(it) => it,
                None => match self.identify(&mut connection, identify.clone()).await {
                    Ok(it) => it,
                    Err(IncarnationError::Send(SendError::NotWritten(_))) if !is_new => continue,
                    Err(error) => {
                        if matches!(error, IncarnationError::Unidentified(_)) {
                            self.return_idle(address, connection);
                        }
                        return Err(error);
                    }
                },
            };
            if answered == incarnation {
                return Ok(connection);
            }
            // An idle connection to a former incarnation is closed, and the next one is tried.
            if incarnation < answered || is_new {
                self.return_idle(address, connection);
                return Err(IncarnationError::Other(answered));
            }
        }
    }

    /// Asks the peer of a connection for its incarnation.
    async fn identify(
        &self,
        connection: &mut PeerConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<u64, IncarnationError> {
        // Without an answer, the request that the peer is identified for is not written.
        let unwritten = |failure| match failure {
            SendFailure::Unsent(_, message) | SendFailure::Lost(message) => {
                SendError::NotWritten(message)
            }
        };
        let response = try_send(connection, request).await.map_err(unwritten)?;
        let response = self.read_answer(connection, response).await.map_err(unwritten)?;
        match connection.incarnation {
            Some(it) => Ok(it),
            None => Err(IncarnationError::Unidentified(Box::new(response))),
        }
    }

    async fn send_untimed(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        // The peer may have closed an idle connection meanwhile; then the next one is tried.
        while let Some(connection) = self.take_usable(address).await {
            match self.send_on(address, connection, request).await {
                Ok(response) => return Ok(response),
                Err(SendFailure::Unsent(unsent, _)) => request = *unsent,
                Err(SendFailure::Lost(message)) => return Err(SendError::Lost(message)),
            }
        }
        let connection = connect(address).await.map_err(SendError::NotWritten)?;
        self.send_on(address, connection, request).await.map_err(|failure| match failure {
            SendFailure::Unsent(_, message) => SendError::NotWritten(message),
            SendFailure::Lost(message) => SendError::Lost(message),
        })
    }

    /// Sends a request on a connection, which becomes idle with the answer.
    async fn send_on(
        &self,
        address: &str,
        mut connection: PeerConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendFailure> {
        let response = try_send(&mut connection, request).await?;
        let response = self.read_answer(&mut connection, response).await?;
        self.return_idle(address, connection);
        Ok(response)
    }

    async fn read_answer(
        &self,
        connection: &mut PeerConnection,
        response: Response<Incoming>,
    ) -> Result<Response<Bytes>, SendFailure> {
        let (parts, body) = response.into_parts();
        // The connection is closed with its sender.
        let bytes = self
            .read_body(body)
            .await
            .map_err(|problem| SendFailure::Lost(format!("the answer was cut off: {problem}")))?;
        let response = Response::from_parts(parts, bytes);
        if connection.incarnation.is_none() {
            connection.incarnation = (self.read_incarnation)(&response);
        }
        Ok(response)
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

    /// An idle connection that can take a request.
    async fn take_usable(&self, address: &str) -> Option<PeerConnection> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
        None
    }

    fn take_idle(&self, address: &str) -> Option<PeerConnection> {
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop_back() {
            let is_usable =
                !connection.peer.sender.is_closed() && connection.since.elapsed() < IDLE_TIMEOUT;
            if is_usable {
                return Some(connection.peer);
            }
        }
        None
    }

    fn return_idle(&self, address: &str, peer: PeerConnection) {
        let Ok(mut idle) = self.idle.lock() else { return };
        let connections = idle.entry(address.to_owned()).or_default();
        while connections.front().is_some_and(|it| IDLE_TIMEOUT <= it.since.elapsed()) {
            connections.pop_front();
        }
        connections.push_back(IdleConnection { peer, since: Instant::now() });
    }
}

/// Why a request got no response on one connection.
enum SendFailure {
    /// It was not written.
    Unsent(Box<Request<Full<Bytes>>>, String),
    /// It was or may have been written.
    Lost(String),
}

async fn try_send(
    connection: &mut PeerConnection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendFailure> {
    connection.sender.try_send_request(request).await.map_err(|mut error| {
        let unsent = error.take_message();
        let message = error.into_error().to_string();
        match unsent {
            Some(request) => SendFailure::Unsent(Box::new(request), message),
            None => SendFailure::Lost(message),
        }
    })
}

fn time_limit_message(time_limit: Duration) -> String {
    format!("no answer within {} ms", time_limit.as_millis())
}

async fn connect(address: &str) -> Result<PeerConnection, String> {
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
    Ok(PeerConnection { sender, incarnation: None })
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
