//! HTTP server for callers, endpoints and operators, with time limits and graceful shutdown.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{self, MissedTickBehavior},
};
use yuccamux::prelude::{ErrorKind, RequestError};

use crate::{
    api_types::{ErrorAnswer, ErrorBody},
    connection_guard::{ConnectionGuard, MAX_BUFFER_BYTES},
    connection_refusal::RefusalSender,
    guarded_connection::GuardedStream,
    listener_guard::ListenerGuard,
    process_setup,
    request_body::{AnswerBody, RequestBody},
};

pub use crate::request_body::{BODY_GRACE, read_body};

/// Response header that states whether the work has run.
pub const RAN_HEADER: &str = "yuccamux-ran";
/// Header of a task with the incarnation of the endpoint that it is for.
pub const INCARNATION_HEADER: &str = "yuccamux-incarnation";

/// A request as passed to handlers.
pub type HttpRequest = Request<RequestBody>;
/// An answer as returned by handlers.
pub type HttpAnswer = Response<Full<Bytes>>;

/// Makes the server close the connection without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed without an answer")]
pub struct CloseConnection;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Time limit for the header of a request, from its first byte.
    pub header_timeout: Duration,
    /// Time limit for the body of a request.
    pub body_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Time after which a connection is closed whose client does not read its answer.
    pub write_timeout: Duration,
    /// Largest header, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Rate in bytes per second that a body keeps to on average, from [`BODY_GRACE`] on.
    pub min_body_rate: u64,
    /// Most open connections of the listener.
    pub max_connections: usize,
    /// Time that open requests have to end after a stop.
    pub shutdown_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            // Above the 15 s for which a load balancer keeps an idle connection.
            idle_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(30),
            max_header_bytes: 16 << 10,
            max_body_bytes: 8 << 20,
            min_body_rate: 1_024,
            max_connections: usize::MAX,
            shutdown_timeout: Duration::from_secs(60),
        }
    }
}

/// Serves until `stop` turns true, then lets open requests end. The process has one listener.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = Result<HttpAnswer, CloseConnection>> + Send + 'static,
{
    serve_guarded(listener, limits, ConnectionGuard::default(), stop, handle).await;
}

/// Serves as [`serve`], with a guard that the listeners of a process share.
pub async fn serve_guarded<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    guard: ConnectionGuard,
    mut stop: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = Result<HttpAnswer, CloseConnection>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let mut connections = ListenerGuard::new(guard, limits);
    let refusals = RefusalSender::new();
    let mut sweeps = time::interval(connections.sweep_interval());
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // After the stop, the most that may still wait to be accepted.
    let mut n_backlog: Option<usize> = None;
    loop {
        let accepted = if let Some(n_left) = n_backlog {
            // Clients that were connected before the stop are served: closing the listener would
            // reset them, whether or not they have sent a request.
            n_backlog = n_left.checked_sub(1);
            tokio::task::yield_now().await;
            match listener.accept().now_or_never() {
                Some(accepted) if n_backlog.is_some() => accepted,
                _ => break,
            }
        } else {
            tokio::select! {
                accepted = listener.accept() => accepted,
                _ = sweeps.tick() => {
                    connections.sweep(Instant::now());
                    continue;
                }
                () = wait_for_stop(&mut stop) => {
                    n_backlog = Some(process_setup::ACCEPT_BACKLOG);
                    continue;
                }
            }
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(admitted) = connections.admit(Instant::now()) else {
            refusals.refuse(stream);
            continue;
        };
        let state = admitted.state;
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let stream = GuardedStream::new(stream, Arc::clone(&state));
        let watched = Arc::downgrade(&state);
        let service = service_fn(move |request| {
            let state = Arc::clone(&state);
            let body_state = Arc::clone(&state);
            let handled = state.begin_request().then(|| {
                handle(request.map(|incoming| RequestBody { incoming, state: body_state }))
            });
            async move {
                let answer = handled.ok_or(CloseConnection)?.await;
                state.end_request();
                let mut answer = answer?;
                if state.guard().is_stopping() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, CloseConnection>(answer.map(|body| AnswerBody::new(body, &state)))
            }
        });
        // `max_headers` stays at hyper's default of 100: any explicit value moves the parsed
        // headers from the stack to the heap, which costs 5% of a request. Empty lines before a
        // request end at `max_buf_size`.
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout + limits.header_timeout)
            .max_header_size(limits.max_header_bytes + 1)
            .max_buf_size(MAX_BUFFER_BYTES.max(limits.max_header_bytes + 1))
            .serve_connection(TokioIo::new(stream), service);
        // When a connection fails there is no peer left to report to.
        let task = tokio::spawn(graceful.watch(connection));
        connections.watch(watched, task.abort_handle());
        if admitted.has_evicted {
            // The evicted connection releases what it holds, and the new one reads its
            // request, before more are accepted.
            tokio::task::yield_now().await;
        }
    }
    drop(listener);
    let sweeping = async {
        loop {
            sweeps.tick().await;
            connections.sweep(Instant::now());
        }
    };
    // Connections still open after this time belong to peers that neither read nor write.
    tokio::select! {
        _ = time::timeout(limits.shutdown_timeout, graceful.shutdown()) => {}
        () = sweeping => {}
    }
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // A dropped sender counts as a stop as well.
    let _ = stop.wait_for(|it| *it).await;
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
