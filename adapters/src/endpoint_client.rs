//! Tasks to endpoints by HTTP, and what their answers mean.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use yuccamux::job_run::TaskReport;

use crate::{
    connection_pool::{ConnectionPool, SendError},
    http_server::{RAN_HEADER, header_text},
};

/// Time for a notice whose answer does not matter.
const NOTICE_TIME: Duration = Duration::from_secs(2);

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

    /// Tells an endpoint something whose answer does not matter.
    pub async fn notify(&self, address: &str, request: Request<Full<Bytes>>) {
        // A lost notice costs time, not correctness.
        let _ = self.pool.send(address, request, NOTICE_TIME).await;
    }
}
