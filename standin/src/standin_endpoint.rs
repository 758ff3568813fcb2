//! The stand-in's HTTP interface, its slots and its record.
//!
//! `POST /tasks/{id}` runs a task, `POST /cancel` ends tasks, `POST /script` changes
//! the behaviour, `GET /starts` lists the record as one JSON object a line.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use indexmap::IndexMap;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::{
    sync::{Notify, Semaphore},
    time,
};
use yuccamux_adapters::{
    http_server::{
        CloseConnection, HttpAnswer, HttpRequest, INCARNATION_HEADER, RAN_HEADER, ServerLimits,
        header_text, json_answer, read_body, text_answer,
    },
    wall_clock::WallClock,
};

use crate::standin_script::{FaultMode, StandinScript};

/// How a stand-in runs tasks.
#[derive(Clone, Debug)]
pub struct StandinSettings {
    /// Its name.
    pub name: String,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Times slower than usual.
    pub factor: f64,
    /// Run time of a task whose input has no `run_ms`, in ms.
    pub run_ms: f64,
    /// Spread of run times, as a share of each.
    pub spread: f64,
    /// File that keeps the record across lives of the process.
    pub record: Option<PathBuf>,
}

/// A recorded start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartRecord {
    /// Id of the task.
    pub task: String,
    /// Key of its job.
    pub job: String,
    /// Life of the stand-in.
    pub incarnation: u64,
    /// When it started.
    pub at_ms: u64,
}

/// What a stand-in counts besides its starts.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StandinCounts {
    /// Tasks refused as not run.
    pub n_refused: u64,
    /// Cancel messages.
    pub n_cancel_messages: u64,
    /// Tasks ended by a cancel.
    pub n_cancelled: u64,
    /// Starts while it announced that it leaves, over 5 s after it first did.
    pub n_late_starts: u64,
}

#[derive(Deserialize)]
struct InputHint {
    run_ms: Option<f64>,
}

#[derive(Serialize)]
struct TaskOutput<'a> {
    task: &'a str,
    job: &'a str,
    endpoint: &'a str,
    input: &'a RawValue,
    /// Time from the start to the end of the work, in microseconds.
    run_us: u64,
}

struct StandinState {
    script: StandinScript,
    leaving_since_ms: Option<u64>,
    starts: Vec<StartRecord>,
    record: Option<File>,
    running: IndexMap<String, Arc<Notify>>,
    counts: StandinCounts,
}

/// A stand-in endpoint.
pub struct StandinEndpoint {
    settings: StandinSettings,
    clock: WallClock,
    slots: Semaphore,
    state: Mutex<StandinState>,
}

impl StandinEndpoint {
    /// A stand-in without tasks, with the record of its earlier lives.
    ///
    /// # Errors
    ///
    /// When the record's file cannot be read or written.
    pub fn new(settings: StandinSettings) -> anyhow::Result<Arc<StandinEndpoint>> {
        let mut starts = Vec::new();
        let mut record = None;
        if let Some(path) = &settings.record {
            let text = if path.exists() { fs::read_to_string(path)? } else { String::new() };
            // A life that was killed may have left half a line.
            starts.extend(text.lines().filter_map(|it| serde_json::from_str(it).ok()));
            record = Some(OpenOptions::new().create(true).append(true).open(path)?);
        }
        Ok(Arc::new(StandinEndpoint {
            slots: Semaphore::new(settings.slots as usize),
            settings,
            clock: WallClock::new(),
            state: Mutex::new(StandinState {
                script: StandinScript::default(),
                leaving_since_ms: None,
                starts,
                record,
                running: IndexMap::new(),
                counts: StandinCounts::default(),
            }),
        }))
    }

    /// Life of the stand-in.
    pub fn incarnation(&self) -> u64 {
        self.clock.started_at().0
    }

    /// How it behaves now.
    pub fn script(&self) -> StandinScript {
        self.lock().script
    }

    /// Changes its behaviour.
    pub fn set_script(&self, script: StandinScript) {
        let now_ms = self.clock.now().0;
        let mut state = self.lock();
        state.leaving_since_ms = match (script.leaving, state.leaving_since_ms) {
            (true, None) => Some(now_ms),
            (true, since) => since,
            (false, _) => None,
        };
        state.script = script;
    }

    /// Tasks that run now.
    pub fn n_running(&self) -> usize {
        self.lock().running.len()
    }

    fn lock(&self) -> MutexGuard<'_, StandinState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request.
    pub async fn handle(
        self: Arc<Self>,
        request: HttpRequest,
    ) -> Result<HttpAnswer, CloseConnection> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if let Some(task) = path.strip_prefix("/tasks/")
            && method == Method::POST
        {
            return self.run_task(task, request).await;
        }
        Ok(match (&method, path.as_str()) {
            (&Method::GET, "/starts") => self.list_starts(),
            (&Method::GET, "/counts") => {
                let body = serde_json::to_vec(&self.lock().counts).unwrap_or_default();
                json_answer(StatusCode::OK, body)
            }
            (&Method::GET, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
            (&Method::POST, "/script") => self.take_script(request).await,
            (&Method::POST, "/cancel") => self.cancel(request).await,
            _ => text_answer(StatusCode::NOT_FOUND, "not found\n"),
        })
    }

    fn list_starts(&self) -> HttpAnswer {
        let mut lines = Vec::new();
        for record in &self.lock().starts {
            lines.extend(serde_json::to_vec(record).unwrap_or_default());
            lines.push(b'\n');
        }
        text_answer(StatusCode::OK, lines)
    }

    async fn take_script(&self, request: HttpRequest) -> HttpAnswer {
        let body = match read_body(request.into_body(), &ServerLimits::default()).await {
            Ok(body) => body,
            Err(error) => return text_answer(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match serde_json::from_slice::<StandinScript>(&body) {
            Ok(script) => {
                self.set_script(script);
                text_answer(StatusCode::OK, "ok\n")
            }
            Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn cancel(&self, request: HttpRequest) -> HttpAnswer {
        let body = match read_body(request.into_body(), &ServerLimits::default()).await {
            Ok(body) => body,
            Err(error) => return text_answer(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let tasks: Vec<String> = serde_json::from_slice(&body).unwrap_or_default();
        let mut state = self.lock();
        state.counts.n_cancel_messages += 1;
        for task in tasks {
            if let Some(cancelled) = state.running.get(&task).cloned() {
                state.counts.n_cancelled += 1;
                cancelled.notify_one();
            }
        }
        text_answer(StatusCode::OK, "ok\n")
    }

    async fn run_task(
        &self,
        task: &str,
        request: HttpRequest,
    ) -> Result<HttpAnswer, CloseConnection> {
        let job = header_text(request.headers(), "yuccamux-job").unwrap_or("").to_owned();
        let incarnation = header_text(request.headers(), INCARNATION_HEADER).map(str::parse);
        if incarnation.is_some_and(|it| it != Ok(self.incarnation())) {
            self.lock().counts.n_refused += 1;
            return Ok(refused("another incarnation"));
        }
        let body = match read_body(request.into_body(), &ServerLimits::default()).await {
            Ok(body) => body,
            Err(_) => return Ok(refused("the input could not be read")),
        };
        let fault = self.script().fault;
        if fault == FaultMode::CloseBefore {
            return Err(CloseConnection);
        }
        let permit = match self.slots.try_acquire() {
            Ok(permit) if fault != FaultMode::Refuse => permit,
            Ok(_) | Err(_) => {
                self.lock().counts.n_refused += 1;
                return Ok(refused("no free slot"));
            }
        };
        let cancelled = self.record_start(task, &job);
        let running = RunningTask { endpoint: self, task };
        let answer = self.run_started(task, &job, &body, fault, &cancelled).await;
        drop(running);
        drop(permit);
        if fault == FaultMode::CloseAfter {
            return Err(CloseConnection);
        }
        Ok(answer)
    }

    fn record_start(&self, task: &str, job: &str) -> Arc<Notify> {
        let now_ms = self.clock.now().0;
        let cancelled = Arc::new(Notify::new());
        let mut state = self.lock();
        if state.leaving_since_ms.is_some_and(|since| 5_000 < now_ms.saturating_sub(since)) {
            state.counts.n_late_starts += 1;
        }
        let start = StartRecord {
            task: task.to_owned(),
            job: job.to_owned(),
            incarnation: self.incarnation(),
            at_ms: now_ms,
        };
        if let Some(file) = &mut state.record {
            let mut line = serde_json::to_vec(&start).unwrap_or_default();
            line.push(b'\n');
            // One write, so that the line is whole when the process is killed.
            let _ = file.write_all(&line);
        }
        state.starts.push(start);
        state.running.insert(task.to_owned(), Arc::clone(&cancelled));
        cancelled
    }

    async fn run_started(
        &self,
        task: &str,
        job: &str,
        body: &[u8],
        fault: FaultMode,
        cancelled: &Notify,
    ) -> HttpAnswer {
        match fault {
            FaultMode::FailAll => return failed("this stand-in fails all tasks"),
            FaultMode::DieMidTask => {
                time::sleep(Duration::from_millis(5)).await;
                std::process::abort();
            }
            FaultMode::Stall => {
                cancelled.notified().await;
                return failed("cancelled");
            }
            FaultMode::None
            | FaultMode::Refuse
            | FaultMode::CloseBefore
            | FaultMode::CloseAfter
            | FaultMode::AnswerLate => {}
        }
        let started = Instant::now();
        tokio::select! {
            () = time::sleep(self.run_time(body)) => {}
            () = cancelled.notified() => return failed("cancelled"),
        }
        if fault == FaultMode::AnswerLate {
            time::sleep(Duration::from_secs(1)).await;
        }
        let Ok(input) = serde_json::from_slice::<&RawValue>(body) else {
            return failed("the input is not JSON");
        };
        let run_us = started.elapsed().as_micros() as u64;
        let output = TaskOutput { task, job, endpoint: &self.settings.name, input, run_us };
        json_answer(StatusCode::OK, Bytes::from(serde_json::to_vec(&output).unwrap_or_default()))
    }

    fn run_time(&self, body: &[u8]) -> Duration {
        let hint = serde_json::from_slice::<InputHint>(body).ok().and_then(|it| it.run_ms);
        let spread = self.settings.spread;
        let jitter =
            if spread <= 0.0 { 1.0 } else { rand::rng().random_range(1.0 - spread..1.0 + spread) };
        let run_ms = hint.unwrap_or(self.settings.run_ms) * self.settings.factor * jitter;
        Duration::from_secs_f64(run_ms.max(0.0) / 1000.0)
    }
}

/// A task that runs until it is dropped, be it because its connection was closed.
struct RunningTask<'a> {
    endpoint: &'a StandinEndpoint,
    task: &'a str,
}

impl Drop for RunningTask<'_> {
    fn drop(&mut self) {
        self.endpoint.lock().running.swap_remove(self.task);
    }
}

fn refused(cause: &'static str) -> HttpAnswer {
    let mut answer = text_answer(StatusCode::SERVICE_UNAVAILABLE, cause);
    answer.headers_mut().insert(RAN_HEADER, "not_run".parse().expect("a fixed header"));
    answer
}

fn failed(message: &'static str) -> HttpAnswer {
    text_answer(StatusCode::INTERNAL_SERVER_ERROR, message)
}
