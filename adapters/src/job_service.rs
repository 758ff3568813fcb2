//! Runs submissions from claim to answer, and owns the entry's dispatcher.
//!
//! A submission runs to its end whether or not its caller stays connected: claim, dispatch,
//! record the outcome, answer. Every caller of a key gets the outcome that the ledger has
//! recorded.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header::HOST};
use indexmap::IndexMap;
use serde_json::value::RawValue;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};
use yuccamux::{
    entry_node::{CALL_TIMEOUT_MS, CallResult, LedgerCall},
    job_dispatcher::{DispatchEffect, JobDispatcher},
    job_ledger::{JobClaim, JobOutcome, OwnerId},
    job_run::{JobNumber, JobSpec, JobTrace, TaskRef, TaskReport},
    job_submission::{JobSubmission, KeyOrigin, SubmissionStep},
    peer_message::PeerMessage,
    prelude::*,
};

use crate::{
    api_types::{JobAnswer, JobAnswerState},
    endpoint_client::EndpointClient,
    entry_control::{ControlHandle, JobServiceInput},
    entry_metrics::{DispatcherView, EntryMetrics, SubmissionPhase},
    http_server::INCARNATION_HEADER,
    wall_clock::WallClock,
};

/// Time between the dispatcher's ticks.
const TICK: Duration = Duration::from_millis(10);
/// One tick in so many reaches an idle dispatcher and reports its load.
const IDLE_TICK_DIVISOR: u64 = 5;
/// Time past a job's deadline for which its tasks' responses are awaited.
const TASK_GRACE: Duration = Duration::from_secs(30);

/// A validated submission.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// The job as the dispatcher needs it.
    pub spec: JobSpec,
    /// Inputs in task order.
    pub inputs: Vec<Bytes>,
    /// Digest of the body.
    pub digest: [u8; 16],
    /// Who chose the key: the caller or the entry.
    pub key_origin: KeyOrigin,
}

/// Result of the start of a submission.
pub enum JobStart {
    /// The job runs, here or under another submission of its key; the outcome follows.
    Running(oneshot::Receiver<Result<JobOutcome, RequestError>>),
    /// The job has already ended.
    Ended(JobOutcome),
    /// The submission is refused.
    Refused(RequestError),
}

impl From<Result<JobOutcome, RequestError>> for JobStart {
    fn from(result: Result<JobOutcome, RequestError>) -> JobStart {
        match result {
            Ok(outcome) => JobStart::Ended(outcome),
            Err(error) => JobStart::Refused(error),
        }
    }
}

struct ActiveJob {
    inputs: Vec<Bytes>,
    key: JobKey,
    workspace: String,
    kinds: Vec<KindName>,
    queued: Instant,
    deadline: ClockTime,
    done: oneshot::Sender<Result<Vec<Bytes>, RequestError>>,
}

struct JobServiceState {
    dispatcher: JobDispatcher,
    active: IndexMap<JobNumber, ActiveJob>,
}

/// Runs the jobs of an entry.
pub struct JobService {
    state: Mutex<JobServiceState>,
    control: ControlHandle,
    client: EndpointClient,
    metrics: EntryMetrics,
    clock: WallClock,
    owner: OwnerId,
    n_open: AtomicU64,
}

impl JobService {
    /// A service that dispatches jobs with `dispatcher`.
    pub fn new(
        dispatcher: JobDispatcher,
        control: ControlHandle,
        clock: WallClock,
        owner: OwnerId,
    ) -> Arc<JobService> {
        Arc::new(JobService {
            state: Mutex::new(JobServiceState { dispatcher, active: IndexMap::new() }),
            control,
            client: EndpointClient::new(),
            metrics: EntryMetrics::new(),
            clock,
            owner,
            n_open: AtomicU64::new(0),
        })
    }

    /// Handle on the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// The clock of the process.
    pub fn clock(&self) -> &WallClock {
        &self.clock
    }

    /// The metrics of the entry.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.metrics
    }

    /// Number of submissions without an answer.
    pub fn n_open(&self) -> u64 {
        self.n_open.load(Ordering::SeqCst)
    }

    /// The dispatcher's counters and gauges, for metrics.
    pub fn dispatcher_view(&self) -> DispatcherView {
        DispatcherView::new(&self.lock().dispatcher)
    }

    /// The trace of a job that this entry ran.
    pub fn trace(&self, key: &JobKey) -> Option<JobTrace> {
        self.lock().dispatcher.trace(key).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, JobServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs ticks and handles inputs from the control thread, until that thread ends.
    pub async fn run(self: Arc<Self>, mut inputs: mpsc::UnboundedReceiver<JobServiceInput>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        let mut n_ticks = 0_u64;
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                _ = ticks.tick() => {
                    n_ticks += 1;
                    self.tick(n_ticks);
                }
            }
        }
    }

    fn tick(self: &Arc<Self>, n_ticks: u64) {
        let now = self.clock.now();
        let is_idle_turn = n_ticks.is_multiple_of(IDLE_TICK_DIVISOR);
        if !is_idle_turn && self.lock().dispatcher.is_idle() {
            return;
        }
        self.update(|it| it.tick(now));
        if is_idle_turn {
            let load = self.lock().dispatcher.own_load(now);
            self.control.set_load(load);
        }
    }

    fn handle_input(self: &Arc<Self>, input: JobServiceInput) {
        let now = self.clock.now();
        self.update(|dispatcher| match input {
            JobServiceInput::Config(config) => dispatcher.apply_config(config, now),
            JobServiceInput::Endpoints(states, members) => {
                dispatcher.set_endpoints(states.iter(), &members, now);
            }
            JobServiceInput::Lease(vm, message) => dispatcher.handle_lease(&vm, message, now),
            JobServiceInput::Load(vm, load) => dispatcher.set_peer_load(&vm, load),
            JobServiceInput::Cancel(key) => dispatcher.cancel(&key, now),
        });
    }

    /// Changes the dispatcher and runs the effects.
    fn update<T>(self: &Arc<Self>, change: impl FnOnce(&mut JobDispatcher) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state.dispatcher);
        self.run_effects(state);
        result
    }

    fn run_effects(self: &Arc<Self>, mut state: MutexGuard<'_, JobServiceState>) {
        for effect in state.dispatcher.drain_effects() {
            match effect {
                DispatchEffect::Start { task, id, endpoint, address, incarnation } => {
                    let Some(job) = state.active.get(&task.job) else { continue };
                    let Some(mut request) = task_request(job, task, id, &address) else { continue };
                    request.headers_mut().insert(INCARNATION_HEADER, incarnation.into());
                    let left_ms = job.deadline.since_ms(self.clock.now());
                    let time_limit = Duration::from_millis(left_ms) + TASK_GRACE;
                    let queue_time = job.queued.elapsed();
                    let labels = (job.workspace.clone(), job.kinds[task.idx as usize].clone());
                    let service = Arc::clone(self);
                    tokio::spawn(async move {
                        let started = Instant::now();
                        let report = service.client.run_task(&address, request, time_limit).await;
                        let run_time = started.elapsed();
                        service.metrics.record_task(
                            &labels.0,
                            labels.1.as_str(),
                            queue_time.as_secs_f64(),
                            run_time.as_secs_f64(),
                        );
                        service.finish_task(task, &endpoint, report, run_time);
                    });
                }
                DispatchEffect::Finish(number, result) => {
                    if let Some(job) = state.active.swap_remove(&number) {
                        // The submission waits for it until the process ends.
                        let _ = job.done.send(result);
                    }
                }
                DispatchEffect::CancelTasks(_, address, tasks) => {
                    let Some(request) = cancel_request(&tasks, &address) else { continue };
                    let client = self.client.clone();
                    tokio::spawn(async move { client.notify(&address, request).await });
                }
                DispatchEffect::SendLease(vm, message) => {
                    self.control.send(vm, PeerMessage::Lease(message));
                }
            }
        }
    }

    fn finish_task(
        self: &Arc<Self>,
        task: TaskRef,
        endpoint: &EndpointName,
        report: TaskReport,
        run_time: Duration,
    ) {
        let report = check_output(report);
        let run_ms = run_time.as_secs_f64() * 1000.0;
        let now = self.clock.now();
        self.update(|it| it.handle_task_report(task, endpoint, report, run_ms, now));
    }

    /// Starts a submission; once its job runs it continues in the background.
    pub async fn submit(self: &Arc<Self>, request: JobRequest) -> JobStart {
        let admitted = self.admit(&request.spec);
        let claim = JobClaim {
            key: request.spec.key.clone(),
            digest: request.digest,
            owner: self.owner.clone(),
            nonce: rand::random(),
        };
        let mut submission = JobSubmission::new(claim, request.key_origin, request.spec.deadline);
        let mut step = submission.begin(admitted);
        loop {
            if submission.is_running() {
                return JobStart::Running(self.run_in_background(submission, step, request));
            }
            match step {
                SubmissionStep::Call(call, span_ms) => {
                    let end = self.call(call, span_ms).await;
                    step = submission.handle_call_result(end, self.clock.now());
                }
                SubmissionStep::Answer(result) => return JobStart::from(result),
                SubmissionStep::AnswerAndWithdraw(error, call, span_ms) => {
                    let control = self.control.clone();
                    // If this call fails, the ledger drops the claim when this VM is gone.
                    tokio::spawn(async move { control.call(call, span_ms).await });
                    return JobStart::Refused(error);
                }
                // Unreachable: a job to be dispatched counts as running above.
                SubmissionStep::Dispatch => return JobStart::Refused(internal_error()),
            }
        }
    }

    /// Calls a ledger and records the time of the calls that every submission makes.
    async fn call(&self, call: LedgerCall, span_ms: u64) -> CallResult {
        let phase = match &call {
            LedgerCall::Claim(_) => Some(SubmissionPhase::Claim),
            LedgerCall::Settle(..) => Some(SubmissionPhase::Settle),
            LedgerCall::Probe(_) | LedgerCall::Await(_) => None,
        };
        let started = Instant::now();
        let end = self.control.call(call, span_ms).await;
        if let Some(phase) = phase {
            self.metrics.record_phase(phase, started.elapsed().as_secs_f64());
        }
        end
    }

    fn admit(&self, spec: &JobSpec) -> Result<(), RequestError> {
        self.control.check_ready()?;
        let kinds: Vec<KindName> = spec.tasks.iter().map(|it| it.kind.clone()).collect();
        let now = self.clock.now();
        self.lock().dispatcher.admit(&spec.workspace, &kinds, spec.deadline, now)
    }

    /// Runs the remaining steps on a task of their own, so that they go on when the caller
    /// disconnects.
    fn run_in_background(
        self: &Arc<Self>,
        submission: JobSubmission,
        step: SubmissionStep,
        request: JobRequest,
    ) -> oneshot::Receiver<Result<JobOutcome, RequestError>> {
        let (answer, answered) = oneshot::channel();
        let service = Arc::clone(self);
        self.n_open.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            let result = service.run_steps(submission, step, request).await;
            // The caller may have disconnected; the ledger keeps the outcome.
            let _ = answer.send(result);
            service.n_open.fetch_sub(1, Ordering::SeqCst);
        });
        answered
    }

    async fn run_steps(
        self: &Arc<Self>,
        mut submission: JobSubmission,
        mut step: SubmissionStep,
        request: JobRequest,
    ) -> Result<JobOutcome, RequestError> {
        let mut request = Some(request);
        loop {
            step = match step {
                SubmissionStep::Call(call, span_ms) => {
                    let end = self.call(call, span_ms).await;
                    submission.handle_call_result(end, self.clock.now())
                }
                SubmissionStep::Dispatch => {
                    let Some(request) = request.take() else { return Err(internal_error()) };
                    let outcome = match self.dispatch(request).await {
                        Ok(outputs) => {
                            JobOutcome::Complete(complete_body(&submission.claim().key, &outputs))
                        }
                        Err(error) => JobOutcome::Failed(error),
                    };
                    submission.handle_job_result(outcome)
                }
                SubmissionStep::Answer(result) => return result,
                SubmissionStep::AnswerAndWithdraw(error, ..) => return Err(error),
            };
        }
    }

    async fn dispatch(self: &Arc<Self>, request: JobRequest) -> Result<Vec<Bytes>, RequestError> {
        let (done, finished) = oneshot::channel();
        {
            let now = self.clock.now();
            let kinds = request.spec.tasks.iter().map(|it| it.kind.clone()).collect();
            let active = ActiveJob {
                inputs: request.inputs,
                key: request.spec.key.clone(),
                workspace: request.spec.workspace.to_string(),
                kinds,
                queued: Instant::now(),
                deadline: request.spec.deadline,
                done,
            };
            let mut state = self.lock();
            let number = state.dispatcher.submit(request.spec, now);
            state.active.insert(number, active);
            self.run_effects(state);
        }
        finished.await.unwrap_or_else(|_| Err(internal_error()))
    }

    /// Reads the state of a key from its ledger.
    pub async fn look_up(&self, key: &JobKey) -> CallResult {
        self.control.call(LedgerCall::Probe(key.clone()), CALL_TIMEOUT_MS).await
    }

    /// Cancels a job wherever it runs, and waits for its outcome.
    pub async fn cancel(self: &Arc<Self>, key: &JobKey, owner: &OwnerId) -> CallResult {
        if owner.vm == self.owner.vm {
            let now = self.clock.now();
            self.update(|it| it.cancel(key, now));
        } else {
            self.control.send(owner.vm.clone(), PeerMessage::Cancel(key.clone()));
        }
        self.control.call(LedgerCall::Await(key.clone()), CALL_TIMEOUT_MS).await
    }
}

fn task_request(
    job: &ActiveJob,
    task: TaskRef,
    id: TaskId,
    address: &str,
) -> Option<Request<Full<Bytes>>> {
    let input = job.inputs.get(task.idx as usize)?.clone();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("/tasks/{id}"))
        .header(HOST, address)
        .header("content-type", "application/json")
        .header("yuccamux-job", job.key.as_str())
        .header("yuccamux-workspace", &job.workspace)
        .header("yuccamux-kind", job.kinds.get(task.idx as usize)?.as_str())
        .header("yuccamux-deadline-ms", job.deadline.0);
    request.body(Full::new(input)).ok()
}

fn cancel_request(tasks: &[TaskId], address: &str) -> Option<Request<Full<Bytes>>> {
    let names: Vec<String> = tasks.iter().map(ToString::to_string).collect();
    let body = serde_json::to_vec(&names).ok()?;
    let request = Request::builder()
        .method(Method::POST)
        .uri("/cancel")
        .header(HOST, address)
        .header("content-type", "application/json");
    request.body(Full::new(Bytes::from(body))).ok()
}

/// Turns an output that is not JSON into a failure, as it cannot be part of an answer.
fn check_output(report: TaskReport) -> TaskReport {
    if let TaskReport::Done(output) = &report
        && serde_json::from_slice::<&RawValue>(output).is_err()
    {
        return TaskReport::Failed("the endpoint's output is not JSON".to_owned());
    }
    report
}

fn complete_body(key: &JobKey, outputs: &[Bytes]) -> Vec<u8> {
    let outputs: Vec<Box<RawValue>> =
        outputs.iter().filter_map(|it| serde_json::from_slice(it).ok()).collect();
    let answer =
        JobAnswer { job: key.to_string(), state: JobAnswerState::Complete, outputs, error: None };
    serde_json::to_vec(&answer).unwrap_or_default()
}

fn internal_error() -> RequestError {
    RequestError::new(ErrorKind::Internal, "a part of the entry has stopped")
}
