//! Sends tasks to endpoints by HTTP and interprets their responses.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use yuccamux::job_run::TaskReport;

use crate::{
    connection_pool::{ConnectionPool, SendError},
    http_server::{RAN_HEADER, header_text},
};

/// Time limit for a notification.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to all endpoints.
#[derive(Clone, Default)]
pub struct EndpointClient {
    pool: ConnectionPool,
}

impl EndpointClient {
    /// No connections yet.
    pub fn new() -> EndpointClient {
        EndpointClient::default()
    }

    /// Sends a task to an endpoint and reports what became of it.
    pub async fn run_task(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> TaskReport {
        let response = match self.pool.send(address, request, time_limit).await {
            Ok(response) => response,
            Err(SendError::NotWritten(message)) => return TaskReport::NotWritten(message),
            Err(SendError::Lost(message)) => return TaskReport::Lost(message),
        };
        let status = response.status();
        let is_not_run = header_text(response.headers(), RAN_HEADER) == Some("not_run");
        let body = response.into_body();
        if status == StatusCode::OK {
            return TaskReport::Done(body);
        }
        if status == StatusCode::SERVICE_UNAVAILABLE && is_not_run {
            return TaskReport::Refused;
        }
        let text = String::from_utf8_lossy(&body);
        TaskReport::Failed(format!("status {status}: {}", text.trim()))
    }

    /// Sends a request whose response does not matter.
    pub async fn notify(&self, address: &str, request: Request<Full<Bytes>>) {
        // A lost notification costs time, not correctness.
        let _ = self.pool.send(address, request, NOTIFY_TIMEOUT).await;
    }
}
