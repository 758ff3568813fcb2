//! The HTTP interface of a control VM, for operators.

use hyper::{Method, StatusCode};
use yuccamux::{
    config_state::{ChangeAction, ConfigChange},
    prelude::*,
};

use crate::{
    api_types::{ChangeAnswer, ChangeBody},
    bearer_guard::BearerGuard,
    connection_guard::ConnectionGuard,
    control_service::{ServiceHandle, ServiceStatus},
    http_server::{
        CloseConnection, HttpAnswer, HttpRequest, ServerLimits, error_answer, read_body,
        text_answer, value_answer,
    },
};

/// Request handler of a control VM.
#[derive(Clone)]
pub struct ControlHttp {
    /// Handle on the control thread.
    pub service: ServiceHandle,
    /// Limits on requests.
    pub limits: ServerLimits,
    /// Tokens of operators.
    pub operators: BearerGuard,
}

impl ControlHttp {
    /// Answers a request.
    pub async fn handle(self, request: HttpRequest) -> Result<HttpAnswer, CloseConnection> {
        Ok(self.route(request).await.unwrap_or_else(|error| error_answer(&error)))
    }

    async fn route(&self, request: HttpRequest) -> Result<HttpAnswer, RequestError> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (&method, path.as_str()) {
            (&Method::GET, "/healthz") => return Ok(text_answer(StatusCode::OK, "ok\n")),
            (&Method::GET, "/readyz") => return self.ready().await,
            (&Method::GET, "/metrics") => {
                return Ok(self.metrics(request.body().connection().guard()).await);
            }
            #[cfg(feature = "fault-injection")]
            (&Method::POST, "/faults/cut") => {
                let body = read_body(request.into_body(), &self.limits).await?;
                return crate::http_server::set_cuts(&self.service.cuts, &body);
            }
            _ => {}
        }
        self.operators.check(request.headers())?;
        match (&method, path.as_str()) {
            (&Method::POST, "/v1/changes") => self.change(request).await,
            (&Method::GET, "/v1/config") => Ok(value_answer(&self.service.image().await)),
            (&Method::GET, "/v1/history") => Ok(value_answer(&self.service.history().await)),
            (&Method::GET, "/v1/status") => Ok(value_answer(&self.service.status().await)),
            _ => {
                let message = format!("there is no {method} {path}");
                Err(RequestError::new(ErrorKind::NotFound, message))
            }
        }
    }

    async fn ready(&self) -> Result<HttpAnswer, RequestError> {
        let status = self.service.status().await;
        match status.leader {
            Some(_) => Ok(text_answer(StatusCode::OK, "ready\n")),
            None => Err(RequestError::new(ErrorKind::NotReady, "there is no control leader")),
        }
    }

    async fn metrics(&self, guard: &ConnectionGuard) -> HttpAnswer {
        metrics_answer(&self.service.status().await, guard)
    }

    async fn change(&self, request: HttpRequest) -> Result<HttpAnswer, RequestError> {
        let body = read_body(request.into_body(), &self.limits).await?;
        let body: ChangeBody = serde_json::from_slice(&body)
            .map_err(|error| RequestError::new(ErrorKind::InvalidBody, error.to_string()))?;
        let change = checked_change(body)?;
        let version = self.service.change(change).await?;
        Ok(value_answer(&ChangeAnswer { version }))
    }
}

/// The metrics of a control VM, in the OpenMetrics text form.
pub fn metrics_answer(status: &ServiceStatus, guard: &ConnectionGuard) -> HttpAnswer {
    let lines = [
        ("yuccamux_control_config_version", status.config_version),
        ("yuccamux_control_plan_version", status.plan_version),
        ("yuccamux_control_term", status.term),
        ("yuccamux_control_commit", status.commit),
        ("yuccamux_control_syncs", status.n_syncs),
        ("yuccamux_control_messages_sent", status.sent.0),
        ("yuccamux_control_bytes_sent", status.sent.1),
        ("yuccamux_control_message_losses", status.n_losses),
        ("yuccamux_control_endpoint_updates_repeated", status.n_repeated),
        ("yuccamux_control_voters", status.voters.len() as u64),
        ("yuccamux_control_tolerance_short", u64::from(status.is_tolerance_short)),
        ("yuccamux_control_tolerance_alarms", status.n_alarms),
    ];
    let mut text = guard.encode_metrics();
    for (name, value) in lines {
        text.push_str(&format!("# TYPE {name} gauge\n{name} {value}\n"));
    }
    text.push_str("# EOF\n");
    text_answer(StatusCode::OK, text)
}

/// Converts a request body into a change.
///
/// # Errors
///
/// `InvalidChange` unless the body has an id of 1 to 128 bytes and exactly one action.
fn checked_change(body: ChangeBody) -> Result<ConfigChange, RequestError> {
    let mut actions = Vec::new();
    actions.extend(body.publish.map(ChangeAction::Publish));
    if !body.remove.is_empty() {
        actions.push(ChangeAction::Remove(body.remove));
    }
    actions.extend(body.drain.map(|it| ChangeAction::Drain(EndpointName(it))));
    actions.extend(body.undrain.map(|it| ChangeAction::Undrain(EndpointName(it))));
    let n_actions = actions.len();
    let action = actions.pop().filter(|_| n_actions == 1);
    let Some(action) = action else {
        let message =
            format!("a change has one of publish, remove, drain, undrain; not {n_actions}");
        return Err(RequestError::new(ErrorKind::InvalidChange, message));
    };
    if body.change_id.is_empty() || 128 < body.change_id.len() {
        let message = "change_id has 1 to 128 bytes";
        return Err(RequestError::new(ErrorKind::InvalidChange, message));
    }
    Ok(ConfigChange { change_id: body.change_id, base_version: body.base_version, action })
}
