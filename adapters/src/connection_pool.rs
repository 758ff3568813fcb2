//! Keep-alive HTTP connections that report whether a failed request can have been received.
//!
//! A request that was never handed to a connection's writer is "not written". Once it
//! was, it may have been received, and only a response tells whether it was.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::{net::TcpStream, time};

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

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

/// Idle connections by host and port.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IndexMap<String, VecDeque<IdleConnection>>>>,
}

impl ConnectionPool {
    /// No connections yet.
    pub fn new() -> ConnectionPool {
        ConnectionPool::default()
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
        match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(collected) => {
                self.return_idle(address, sender);
                Ok(Response::from_parts(parts, collected.to_bytes()))
            }
            Err(error) => Err(SendError::Lost(format!("the answer was cut off: {error}"))),
        }
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
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(format!("could not connect to {address}: {error}")),
        Err(_) => return Err(format!("connecting to {address} took too long")),
    };
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    Ok(sender)
}
