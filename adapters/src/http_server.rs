//! HTTP server for callers, endpoints and operators, with time limits and graceful shutdown.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, RETRY_AFTER},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use serde::Serialize;
use tokio::{net::TcpListener, sync::watch, time};
use yuccamux::prelude::{ErrorKind, RequestError};

use crate::api_types::{ErrorAnswer, ErrorBody};

/// Response header that states whether the work has run.
pub const RAN_HEADER: &str = "yuccamux-ran";

/// A request as passed to handlers.
pub type HttpRequest = Request<Incoming>;
/// An answer as returned by handlers.
pub type HttpAnswer = Response<Full<Bytes>>;

/// Makes the server close the connection without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed without an answer")]
pub struct CloseConnection;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Time limit for the header of a request.
    pub header_timeout: Duration,
    /// Time limit for the body of a request.
    pub body_timeout: Duration,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time that open requests have to end after a stop.
    pub shutdown_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            max_body_bytes: 8 << 20,
            shutdown_timeout: Duration::from_secs(60),
        }
    }
}

/// Serves until `stop` turns true, then lets open requests end.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = Result<HttpAnswer, CloseConnection>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
            () = wait_for_stop(&mut stop) => break,
        };
        let _ = stream.set_nodelay(true);
        let service = service_fn(handle.clone());
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .serve_connection(TokioIo::new(stream), service);
        // When a connection fails there is no peer left to report to.
        tokio::spawn(graceful.watch(connection));
    }
    drop(listener);
    // Connections still open after this time belong to peers that neither read nor write.
    let _ = time::timeout(limits.shutdown_timeout, graceful.shutdown()).await;
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // A dropped sender counts as a stop as well.
    let _ = stop.wait_for(|it| *it).await;
}

/// Reads a body within the limits.
///
/// # Errors
///
/// `BodyTooLarge`, `SlowRequest`, or `InvalidBody` when the body ends early.
pub async fn read_body(body: Incoming, limits: &ServerLimits) -> Result<Bytes, RequestError> {
    let reading = Limited::new(body, limits.max_body_bytes).collect();
    match time::timeout(limits.body_timeout, reading).await {
        Err(_) => {
            let message = format!("the body took over {} ms", limits.body_timeout.as_millis());
            Err(RequestError::new(ErrorKind::SlowRequest, message))
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is over {} bytes", limits.max_body_bytes);
            Err(RequestError::new(ErrorKind::BodyTooLarge, message))
        }
        Ok(Err(error)) => {
            let message = format!("the body was cut off: {error}");
            Err(RequestError::new(ErrorKind::InvalidBody, message))
        }
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}

/// A header's value, if present and valid text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

/// An answer with a JSON body.
pub fn json_answer(status: StatusCode, body: impl Into<Bytes>) -> HttpAnswer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, "application/json".parse().expect("a valid header value"));
    answer
}

/// An answer with a value as JSON.
pub fn value_answer(value: &impl Serialize) -> HttpAnswer {
    match serde_json::to_vec(value) {
        Ok(body) => json_answer(StatusCode::OK, body),
        Err(error) => error_answer(&RequestError::new(ErrorKind::Internal, error.to_string())),
    }
}

/// An answer with a text body.
pub fn text_answer(status: StatusCode, body: impl Into<Bytes>) -> HttpAnswer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

/// The body of an error.
pub fn error_body(error: &RequestError) -> ErrorBody {
    let row = error.kind.answer();
    ErrorBody {
        kind: row.name.to_owned(),
        message: error.message.clone(),
        ran: row.ran.as_str().to_owned(),
        hint: Some(row.hint.to_owned()),
    }
}

/// The answer for an error; the table of error kinds gives its status and headers.
pub fn error_answer(error: &RequestError) -> HttpAnswer {
    let body = ErrorAnswer { error: error_body(error) };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let row = error.kind.answer();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = json_answer(status, body);
    set_error_headers(answer.headers_mut(), error.kind);
    answer
}

/// Sets the headers of an answer that is an error: whether the work ran, and when to retry.
pub fn set_error_headers(headers: &mut HeaderMap, kind: ErrorKind) {
    let row = kind.answer();
    headers.insert(RAN_HEADER, row.ran.as_str().parse().expect("a valid header value"));
    if let Some(retry_after_ms) = row.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1000);
        headers.insert(RETRY_AFTER, seconds.into());
        headers.insert("yuccamux-retry-after-ms", retry_after_ms.into());
    }
}

/// Cuts the links named in a body, `{"from": [VM…], "to": [VM…]}`, and restores all others.
///
/// # Errors
///
/// `InvalidBody` when the body is not of that form.
#[cfg(feature = "fault-injection")]
pub fn set_cuts(
    cuts: &crate::peer_link::LinkCuts,
    body: &[u8],
) -> Result<HttpAnswer, RequestError> {
    use indexmap::IndexSet;
    use yuccamux::prelude::VmName;

    #[derive(serde::Deserialize)]
    struct CutBody {
        from: IndexSet<VmName>,
        to: IndexSet<VmName>,
    }

    let body: CutBody = serde_json::from_slice(body)
        .map_err(|error| RequestError::new(ErrorKind::InvalidBody, error.to_string()))?;
    if let Ok(mut from) = cuts.from.lock() {
        *from = body.from;
    }
    if let Ok(mut to) = cuts.to.lock() {
        *to = body.to;
    }
    Ok(text_answer(StatusCode::OK, "cut\n"))
}
