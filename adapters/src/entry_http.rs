//! The HTTP interface of an entry.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, StatusCode, header::LOCATION};
use percent_encoding::percent_decode_str;
use serde_json::value::RawValue;
use tokio::time;
use yuccamux::{
    endpoint_table::EndpointRecord,
    entry_node::CallResult,
    job_ledger::{JobOutcome, LedgerAnswer},
    job_run::{JobSpec, RepeatRule, TaskSpec},
    job_submission::KeyOrigin,
    prelude::*,
};

use crate::{
    api_types::{AnnounceAnswer, AnnounceBody, JobAnswer, JobAnswerState, SubmitBody},
    bearer_guard::BearerGuard,
    connection_guard::ConnectionGuard,
    entry_metrics::SubmissionPhase,
    http_server::{
        CloseConnection, HttpAnswer, HttpRequest, ServerLimits, error_answer, error_body,
        header_text, json_answer, read_body, set_error_headers, text_answer, value_answer,
    },
    job_service::{JobRequest, JobService, JobStart},
};

/// Most tasks in a job.
pub const MAX_TASKS: usize = 300;
/// Time between an endpoint's announcements, in ms.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// Time past a job's deadline for which its outcome is awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(10);

/// Settings of the interface.
#[derive(Clone, Debug)]
pub struct EntryHttpSettings {
    /// Data centre of the entry; it becomes the home of the keys that the entry creates.
    pub centre: DataCentre,
    /// Limits on requests.
    pub limits: ServerLimits,
    /// Time limit of a job whose caller sets none, in ms.
    pub default_deadline_ms: u64,
    /// Longest time limit of a job, in ms; a longer one is shortened to it.
    pub max_deadline_ms: u64,
    /// Tokens of callers.
    pub callers: BearerGuard,
    /// Tokens of endpoints.
    pub endpoints: BearerGuard,
    /// Tokens of operators.
    pub operators: BearerGuard,
}

/// Request handler of an entry.
#[derive(Clone)]
pub struct EntryHttp {
    jobs: Arc<JobService>,
    settings: Arc<EntryHttpSettings>,
}

impl EntryHttp {
    /// A handler that passes jobs to `jobs`.
    pub fn new(jobs: Arc<JobService>, settings: EntryHttpSettings) -> EntryHttp {
        EntryHttp { jobs, settings: Arc::new(settings) }
    }

    /// Answers a request.
    pub async fn handle(self, request: HttpRequest) -> Result<HttpAnswer, CloseConnection> {
        Ok(self.route(request).await.unwrap_or_else(|error| {
            self.jobs.metrics().record_error(error.kind);
            error_answer(&error)
        }))
    }

    async fn route(&self, request: HttpRequest) -> Result<HttpAnswer, RequestError> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (&method, path.as_str()) {
            (&Method::GET, "/healthz") => return Ok(text_answer(StatusCode::OK, "ok\n")),
            (&Method::GET, "/readyz") => return self.ready(),
            (&Method::GET, "/metrics") => {
                return Ok(self.metrics(request.body().connection().guard()).await);
            }
            (&Method::POST, "/v1/jobs") => {
                self.settings.callers.check(request.headers())?;
                return self.submit(request).await;
            }
            (&Method::POST, "/v1/endpoints") => {
                self.settings.endpoints.check(request.headers())?;
                return self.announce(request).await;
            }
            (&Method::GET, "/v1/status") => {
                self.settings.operators.check(request.headers())?;
                return Ok(value_answer(&self.jobs.control().status().await));
            }
            _ => {}
        }
        if let Some(tail) = path.strip_prefix("/v1/jobs/") {
            self.settings.callers.check(request.headers())?;
            let key = decoded_key(tail)?;
            if method == Method::GET {
                return self.look_up(&key).await;
            }
            if method == Method::DELETE {
                return self.cancel(&key).await;
            }
        }
        if let Some(tail) = path.strip_prefix("/v1/explain/")
            && method == Method::GET
        {
            self.settings.operators.check(request.headers())?;
            return self.explain(&decoded_key(tail)?);
        }
        if let Some(tail) = path.strip_prefix("/v1/requests/")
            && method == Method::POST
        {
            self.settings.callers.check(request.headers())?;
            return self.submit_one(tail, request).await;
        }
        #[cfg(feature = "fault-injection")]
        if path == "/faults/cut" && method == Method::POST {
            return self.cut_links(request).await;
        }
        let message = format!("there is no {method} {path}");
        Err(RequestError::new(ErrorKind::NotFound, message))
    }

    fn ready(&self) -> Result<HttpAnswer, RequestError> {
        self.jobs.control().check_ready()?;
        Ok(text_answer(StatusCode::OK, "ready\n"))
    }

    async fn metrics(&self, guard: &ConnectionGuard) -> HttpAnswer {
        let status = self.jobs.control().status().await;
        let view = self.jobs.dispatcher_view();
        // The text of the entry ends with the end mark of the format.
        let text = guard.encode_metrics() + &self.jobs.metrics().encode(&view, &status);
        text_answer(StatusCode::OK, text)
    }

    async fn submit(&self, request: HttpRequest) -> Result<HttpAnswer, RequestError> {
        let started = Instant::now();
        let headers = request.headers().clone();
        let (key, key_origin) = self.key_of(header_text(&headers, "idempotency-key"))?;
        let body = read_body(request.into_body(), &self.settings.limits).await?;
        let parsed: SubmitBody = serde_json::from_slice(&body).map_err(invalid_body)?;
        if parsed.tasks.is_empty() {
            return Err(RequestError::new(ErrorKind::InvalidBody, "a job has at least one task"));
        }
        if MAX_TASKS < parsed.tasks.len() {
            let message =
                format!("a job has {MAX_TASKS} tasks at most, not {}", parsed.tasks.len());
            return Err(RequestError::new(ErrorKind::TooManyTasks, message));
        }
        let deadline_ms = parsed.deadline_ms.map(|it| it.get());
        let tasks = parsed.tasks.iter().map(|it| TaskSpec {
            kind: KindName::from(it.kind.as_str()),
            declared_ms: it.declared_ms,
        });
        let spec = JobSpec {
            key,
            workspace: WorkspaceName::from(parsed.workspace.as_str()),
            tasks: tasks.collect(),
            deadline: self.deadline(deadline_ms),
            repeat_rule: repeat_rule(&headers),
        };
        let inputs = parsed.tasks.iter().map(|it| raw_bytes(&it.input)).collect();
        let digest = body_digest("/v1/jobs", &body);
        let job = JobRequest { spec, inputs, digest, key_origin };
        let parse_time = started.elapsed().as_secs_f64();
        self.jobs.metrics().record_phase(SubmissionPhase::Parse, parse_time);
        let wants_async = header_text(&headers, "prefer") == Some("respond-async");
        let answer = self.run(job, if wants_async { AnswerMode::Async } else { AnswerMode::Whole });
        let (workspace, kind) = (parsed.workspace.clone(), parsed.tasks[0].kind.clone());
        let answer = answer.await;
        self.record_response(&workspace, &kind, started, &answer);
        answer
    }

    async fn submit_one(
        &self,
        tail: &str,
        request: HttpRequest,
    ) -> Result<HttpAnswer, RequestError> {
        let started = Instant::now();
        let Some((workspace, kind)) = tail.split_once('/') else {
            let message = "the path is /v1/requests/WORKSPACE/KIND";
            return Err(RequestError::new(ErrorKind::NotFound, message));
        };
        let headers = request.headers().clone();
        let (key, key_origin) = self.key_of(header_text(&headers, "idempotency-key"))?;
        let deadline_ms = match header_text(&headers, "yuccamux-deadline-ms") {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| {
                let message = format!("yuccamux-deadline-ms is a number of ms, not {text:?}");
                RequestError::new(ErrorKind::InvalidBody, message)
            })?),
        };
        let body = read_body(request.into_body(), &self.settings.limits).await?;
        let input: Box<RawValue> = serde_json::from_slice(&body).map_err(invalid_body)?;
        let spec = JobSpec {
            key,
            workspace: WorkspaceName::from(workspace),
            tasks: vec![TaskSpec { kind: KindName::from(kind), declared_ms: None }],
            deadline: self.deadline(deadline_ms),
            repeat_rule: repeat_rule(&headers),
        };
        let digest = body_digest(tail, &body);
        let job = JobRequest { spec, inputs: vec![raw_bytes(&input)], digest, key_origin };
        let answer = self.run(job, AnswerMode::OneOutput).await;
        self.record_response(workspace, kind, started, &answer);
        answer
    }

    async fn run(&self, job: JobRequest, mode: AnswerMode) -> Result<HttpAnswer, RequestError> {
        let key = job.spec.key.clone();
        let deadline = job.spec.deadline;
        let outcome = match self.jobs.submit(job).await {
            JobStart::Refused(error) => return Err(error),
            JobStart::Ended(outcome) => outcome,
            JobStart::Running(_) if mode == AnswerMode::Async => {
                let mut answer = job_answer(StatusCode::ACCEPTED, &key, JobAnswerState::Running);
                if let Ok(location) = format!("/v1/jobs/{key}").parse() {
                    answer.headers_mut().insert(LOCATION, location);
                }
                return Ok(answer);
            }
            JobStart::Running(answered) => {
                let left_ms = deadline.since_ms(self.jobs.clock().now());
                let limit = Duration::from_millis(left_ms) + ANSWER_GRACE;
                match time::timeout(limit, answered).await {
                    Ok(Ok(result)) => result?,
                    Ok(Err(_)) | Err(_) => {
                        let message = "the outcome was not known in time";
                        return Err(RequestError::new(ErrorKind::OutcomeUnknown, message));
                    }
                }
            }
        };
        self.outcome_answer(&key, outcome, mode)
    }

    fn outcome_answer(
        &self,
        key: &JobKey,
        outcome: JobOutcome,
        mode: AnswerMode,
    ) -> Result<HttpAnswer, RequestError> {
        let body = match outcome {
            JobOutcome::Complete(body) => body,
            JobOutcome::Failed(error) if mode == AnswerMode::OneOutput => return Err(error),
            JobOutcome::Failed(error) => {
                self.jobs.metrics().record_error(error.kind);
                return Ok(failed_answer(key, &error));
            }
        };
        if mode != AnswerMode::OneOutput {
            return Ok(json_answer(StatusCode::OK, body));
        }
        let whole: JobAnswer = serde_json::from_slice(&body).map_err(|error| {
            RequestError::new(ErrorKind::Internal, format!("a kept answer is damaged: {error}"))
        })?;
        check_invariant(Invariant::AnswerMatchesRequest, whole.job == key.as_str());
        check_invariant(Invariant::AnswerIsWhole, whole.outputs.len() == 1);
        match whole.outputs.first() {
            Some(output) => Ok(json_answer(StatusCode::OK, raw_bytes(output))),
            None => Err(RequestError::new(ErrorKind::Internal, "a kept answer has no output")),
        }
    }

    async fn look_up(&self, key: &JobKey) -> Result<HttpAnswer, RequestError> {
        match self.jobs.look_up(key).await {
            CallResult::Answered(LedgerAnswer::Attached(_, None)) => {
                Ok(job_answer(StatusCode::OK, key, JobAnswerState::Running))
            }
            CallResult::Answered(LedgerAnswer::Attached(_, Some(outcome))) => {
                self.outcome_answer(key, outcome, AnswerMode::Whole)
            }
            end => Err(unknown_job(key, end)),
        }
    }

    async fn cancel(&self, key: &JobKey) -> Result<HttpAnswer, RequestError> {
        match self.jobs.look_up(key).await {
            CallResult::Answered(LedgerAnswer::Attached(_, Some(outcome))) => {
                self.outcome_answer(key, outcome, AnswerMode::Whole)
            }
            CallResult::Answered(LedgerAnswer::Attached(owner, None)) => {
                match self.jobs.cancel(key, &owner).await {
                    CallResult::Awaited(Some(outcome)) => {
                        self.outcome_answer(key, outcome, AnswerMode::Whole)
                    }
                    end => Err(unknown_job(key, end)),
                }
            }
            end => Err(unknown_job(key, end)),
        }
    }

    fn explain(&self, key: &JobKey) -> Result<HttpAnswer, RequestError> {
        match self.jobs.trace(key) {
            Some(trace) => Ok(value_answer(&trace)),
            None => {
                let message = format!("this entry did not run job {key}, or no longer knows of it");
                Err(RequestError::new(ErrorKind::NotFound, message))
            }
        }
    }

    async fn announce(&self, request: HttpRequest) -> Result<HttpAnswer, RequestError> {
        let body = read_body(request.into_body(), &self.settings.limits).await?;
        let body: AnnounceBody = serde_json::from_slice(&body).map_err(invalid_body)?;
        if body.address.parse::<std::net::SocketAddr>().is_err() {
            let message = format!("address {:?} is not IP:PORT", body.address);
            return Err(RequestError::new(ErrorKind::InvalidBody, message));
        }
        let record = EndpointRecord {
            name: EndpointName(body.name),
            address: body.address,
            incarnation: body.incarnation,
            slots: body.slots,
            connections: body.connections,
            kinds: body.kinds.into_iter().map(KindName).collect(),
            worker: body.worker,
            rack: body.rack,
            processors: body.processors,
            memory_mb: body.memory_mb,
            leaving: body.leaving,
        };
        let drained = self.jobs.control().announce(record).await;
        Ok(value_answer(&AnnounceAnswer { drained, interval_ms: ANNOUNCE_INTERVAL_MS }))
    }

    fn key_of(&self, given: Option<&str>) -> Result<(JobKey, KeyOrigin), RequestError> {
        match given {
            Some(text) => Ok((JobKey::parse(text)?, KeyOrigin::Caller)),
            None => {
                let now = self.jobs.clock().now();
                let key = JobKey::mint(&self.settings.centre, now, &rand::random());
                Ok((key, KeyOrigin::Entry))
            }
        }
    }

    fn deadline(&self, deadline_ms: Option<u64>) -> ClockTime {
        let span_ms = deadline_ms.unwrap_or(self.settings.default_deadline_ms);
        self.jobs.clock().now().plus_ms(span_ms.min(self.settings.max_deadline_ms))
    }

    fn record_response(
        &self,
        workspace: &str,
        kind: &str,
        started: Instant,
        answer: &Result<HttpAnswer, RequestError>,
    ) {
        // An OK answer implies a configured workspace and kind, so the labels are bounded.
        if answer.as_ref().is_ok_and(|it| it.status() == StatusCode::OK) {
            let seconds = started.elapsed().as_secs_f64();
            self.jobs.metrics().record_response(workspace, kind, seconds);
        }
    }

    /// Cuts and restores links to other VMs, for fault injection.
    #[cfg(feature = "fault-injection")]
    async fn cut_links(&self, request: HttpRequest) -> Result<HttpAnswer, RequestError> {
        let body = read_body(request.into_body(), &self.settings.limits).await?;
        crate::http_server::set_cuts(&self.jobs.control().cuts, &body)
    }
}

/// Form of the answer to a submission.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AnswerMode {
    /// The whole answer, once the job has ended.
    Whole,
    /// The output of the only task, once the job has ended.
    OneOutput,
    /// The job's location, at once.
    Async,
}

fn job_answer(status: StatusCode, key: &JobKey, state: JobAnswerState) -> HttpAnswer {
    let answer = JobAnswer { job: key.to_string(), state, outputs: Vec::new(), error: None };
    json_answer(status, serde_json::to_vec(&answer).unwrap_or_default())
}

fn failed_answer(key: &JobKey, error: &RequestError) -> HttpAnswer {
    let answer = JobAnswer {
        job: key.to_string(),
        state: JobAnswerState::Failed,
        outputs: Vec::new(),
        error: Some(error_body(error)),
    };
    let row = error.kind.answer();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = json_answer(status, serde_json::to_vec(&answer).unwrap_or_default());
    set_error_headers(answer.headers_mut(), error.kind);
    answer
}

fn unknown_job(key: &JobKey, end: CallResult) -> RequestError {
    match end {
        CallResult::Answered(LedgerAnswer::Refused(error)) => error,
        CallResult::Answered(_) => {
            RequestError::new(ErrorKind::NotFound, format!("there is no job {key}"))
        }
        CallResult::Awaited(_) | CallResult::Unreachable => {
            let message = format!("the ledger that holds key {key} did not answer in time");
            RequestError::new(ErrorKind::HomeUnreachable, message)
        }
    }
}

fn decoded_key(tail: &str) -> Result<JobKey, RequestError> {
    let text = percent_decode_str(tail).decode_utf8().map_err(|_| {
        RequestError::new(ErrorKind::InvalidKey, "the key in the path is not valid text")
    })?;
    JobKey::parse(&text)
}

fn repeat_rule(headers: &hyper::HeaderMap) -> RepeatRule {
    match header_text(headers, "yuccamux-idempotent") {
        Some("true") => RepeatRule::Idempotent,
        _ => RepeatRule::AtMostOnce,
    }
}

fn raw_bytes(value: &RawValue) -> Bytes {
    Bytes::copy_from_slice(value.get().as_bytes())
}

fn body_digest(path: &str, body: &[u8]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    digest
}

fn invalid_body(error: serde_json::Error) -> RequestError {
    RequestError::new(ErrorKind::InvalidBody, error.to_string())
}
