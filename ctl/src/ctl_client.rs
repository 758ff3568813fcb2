//! HTTP to control VMs and entries.

use std::{fs, time::Duration};

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header::HOST};
use serde_json::{Value, json};
use yuccamux_adapters::connection_pool::ConnectionPool;

use crate::ctl_args::CtlArgs;

/// Time for a request.
const REQUEST_TIME: Duration = Duration::from_secs(8);

/// Why a request did not succeed.
#[derive(Debug)]
pub(crate) enum CtlError {
    /// It was refused.
    Refused { kind: String, message: String, hint: String },
    /// No VM answered.
    Unreachable(String),
}

impl std::fmt::Display for CtlError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CtlError::Refused { kind, message, .. } => write!(f, "{kind}: {message}"),
            CtlError::Unreachable(message) => write!(f, "nothing answered: {message}"),
        }
    }
}

impl std::error::Error for CtlError {}

/// HTTP to all VMs.
pub(crate) struct CtlClient {
    pool: ConnectionPool,
    control: Vec<String>,
    entries: Vec<String>,
    token: Option<String>,
}

impl CtlClient {
    /// A client for the VMs that the arguments name.
    pub(crate) fn new(args: &CtlArgs) -> anyhow::Result<CtlClient> {
        let token = match &args.token_file {
            None => None,
            Some(path) => {
                let text = fs::read_to_string(path)
                    .with_context(|| format!("could not read {}", path.display()))?;
                Some(text.trim().to_owned())
            }
        };
        Ok(CtlClient {
            pool: ConnectionPool::new(),
            control: split(&args.control),
            entries: split(&args.entries),
            token,
        })
    }

    /// Gets from the first control VM that answers.
    pub(crate) async fn control_get(&self, path: &str) -> anyhow::Result<Value> {
        self.first(&self.control, "--control", Method::GET, path, None).await
    }

    /// Posts to the first control VM that answers.
    pub(crate) async fn control_post(&self, path: &str, body: &Value) -> anyhow::Result<Value> {
        self.first(&self.control, "--control", Method::POST, path, Some(body)).await
    }

    /// Highest configuration version that a control VM has.
    pub(crate) async fn config_version(&self) -> anyhow::Result<u64> {
        let config = self.control_get("/v1/config").await?;
        config["version"].as_u64().context("the answer has no version")
    }

    /// Status of every VM named, with what went wrong where there is none.
    pub(crate) async fn statuses(&self) -> Value {
        let mut statuses = Vec::new();
        for (role, addresses) in [("control", &self.control), ("entry", &self.entries)] {
            for address in addresses {
                let status = self.send(address, Method::GET, "/v1/status", None).await;
                statuses.push(match status {
                    Ok(status) => json!({"role": role, "address": address, "status": status}),
                    Err(error) => {
                        json!({"role": role, "address": address, "error": error.to_string()})
                    }
                });
            }
        }
        Value::Array(statuses)
    }

    /// What the entry that ran a job knows of it.
    pub(crate) async fn explain(&self, job: &str) -> anyhow::Result<Value> {
        ensure!(!self.entries.is_empty(), "--entries names no entry");
        let path = format!("/v1/explain/{job}");
        let mut last = CtlError::Unreachable("no entry".to_owned());
        for address in &self.entries {
            match self.send(address, Method::GET, &path, None).await {
                Ok(trace) => return Ok(trace),
                Err(error) => last = error,
            }
        }
        Err(last.into())
    }

    async fn first(
        &self,
        addresses: &[String],
        flag: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<Value> {
        ensure!(!addresses.is_empty(), "{flag} names no VM");
        let mut last = CtlError::Unreachable(String::new());
        for address in addresses {
            match self.send(address, method.clone(), path, body).await {
                Ok(answer) => return Ok(answer),
                Err(CtlError::Refused { kind, message, hint }) if kind != "no_leader" => {
                    return Err(CtlError::Refused { kind, message, hint }.into());
                }
                Err(error) => last = error,
            }
        }
        Err(last.into())
    }

    async fn send(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CtlError> {
        let bytes = body.map_or(Bytes::new(), |it| Bytes::from(it.to_string()));
        let mut request = Request::builder().method(method).uri(path).header(HOST, address);
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request
            .body(Full::new(bytes))
            .map_err(|error| CtlError::Unreachable(error.to_string()))?;
        let answer = self
            .pool
            .send(address, request, REQUEST_TIME)
            .await
            .map_err(|error| CtlError::Unreachable(error.to_string()))?;
        let value: Value = serde_json::from_slice(answer.body())
            .map_err(|error| CtlError::Unreachable(format!("{address}: {error}")))?;
        if answer.status().is_success() {
            return Ok(value);
        }
        let text = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
        Err(CtlError::Refused { kind: text("kind"), message: text("message"), hint: text("hint") })
    }
}

fn split(addresses: &str) -> Vec<String> {
    let trimmed = addresses.split(',').map(|it| it.trim().trim_start_matches("http://"));
    trimmed.filter(|it| !it.is_empty()).map(str::to_owned).collect()
}
