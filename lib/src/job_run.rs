//! A job that this entry runs, with the state of each task.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{prelude::*, run_estimates::KindPath};

/// Whether a task may start again when its outcome is not known.
#[derive(Data!, Copy)]
pub enum RepeatRule {
    /// At most one start.
    AtMostOnce,
    /// The task is idempotent and may start more than once.
    Idempotent,
}

/// A task of a job, as submitted.
#[derive(Data!)]
pub struct TaskSpec {
    /// Its kind.
    pub kind: KindName,
    /// Its run time as declared by the caller, in ms.
    pub declared_ms: Option<u64>,
}

/// A job, as submitted.
#[derive(Data!)]
pub struct JobSpec {
    /// Its key.
    pub key: JobKey,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its tasks.
    pub tasks: Vec<TaskSpec>,
    /// When the caller stops waiting for its answer.
    pub deadline: ClockTime,
    /// Whether tasks may start again.
    pub repeat_rule: RepeatRule,
}

/// Number of a job on this entry, growing with each arrival.
#[derive(Id!, Copy)]
pub struct JobNumber(pub u64);

/// A task of a running job.
#[derive(Id!, Copy)]
pub struct TaskRef {
    /// The job.
    pub job: JobNumber,
    /// Position in the job.
    pub idx: u32,
}

/// How a task ended, as observed on the connection to the endpoint.
#[derive(Data!)]
pub enum TaskReport {
    /// It finished with this output.
    Done(Bytes),
    /// The endpoint ran it and reported a failure.
    Failed(String),
    /// The endpoint refused it without starting it.
    Refused,
    /// It was not written to any connection.
    NotWritten(String),
    /// It was written, and its outcome is unknown.
    Lost(String),
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Not sent to any endpoint, or proven not to have started.
    Waiting,
    /// Sent to an endpoint.
    Sent(EndpointName),
    /// Finished with this output.
    Done(Bytes),
}

/// An endpoint that was considered for a task but not chosen.
#[derive(Data!)]
pub struct PlacementOption {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Expected run time there, in ms.
    pub expected_ms: u64,
    /// Slots that were free there.
    pub n_free: u32,
    /// Why it was not chosen.
    pub reason: String,
}

/// How a task was placed and ended, for operators.
#[derive(Data!, Default)]
pub struct TaskTrace {
    /// When it was last sent to an endpoint.
    pub started_at: Option<ClockTime>,
    /// The endpoint.
    pub endpoint: Option<EndpointName>,
    /// Expected run time there, in ms.
    pub expected_ms: u64,
    /// When its end was reported.
    pub ended_at: Option<ClockTime>,
    /// What it last waited for in the queue.
    pub waited_for: Option<String>,
    /// How often it was requeued after proof that it did not start.
    pub n_resent: u32,
    /// Alternative endpoints at the time.
    pub options: Vec<PlacementOption>,
}

/// How a job was placed and ended, for operators.
#[derive(Data!)]
pub struct JobTrace {
    /// The key.
    pub key: JobKey,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// When it was queued.
    pub queued_at: ClockTime,
    /// When it ended.
    pub ended_at: Option<ClockTime>,
    /// How it ended.
    pub outcome: String,
    /// Its tasks, in order.
    pub tasks: Vec<TaskTrace>,
}

/// A job that runs.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    pub(crate) spec: JobSpec,
    pub(crate) digest: u128,
    pub(crate) states: Vec<TaskState>,
    pub(crate) attempts: Vec<u32>,
    pub(crate) pending: IndexMap<KindPath, VecDeque<u32>>,
    pub(crate) n_done: u32,
    pub(crate) n_started: u32,
    pub(crate) trace: JobTrace,
}

impl JobRun {
    /// A job with all tasks waiting.
    pub(crate) fn new(spec: JobSpec, now: ClockTime) -> JobRun {
        let mut pending: IndexMap<KindPath, VecDeque<u32>> = IndexMap::new();
        for (idx, task) in spec.tasks.iter().enumerate() {
            let path = (spec.workspace.clone(), task.kind.clone());
            pending.entry(path).or_default().push_back(idx as u32);
        }
        let n_tasks = spec.tasks.len();
        let trace = JobTrace {
            key: spec.key.clone(),
            workspace: spec.workspace.clone(),
            queued_at: now,
            ended_at: None,
            outcome: "running".to_owned(),
            tasks: vec![TaskTrace::default(); n_tasks],
        };
        JobRun {
            digest: spec.key.digest(),
            spec,
            states: vec![TaskState::Waiting; n_tasks],
            attempts: vec![0; n_tasks],
            pending,
            n_done: 0,
            n_started: 0,
            trace,
        }
    }

    /// Tasks that are not finished.
    pub(crate) fn n_left(&self) -> u32 {
        self.states.len() as u32 - self.n_done
    }

    /// Marks a task as sent to an endpoint and returns its id.
    pub(crate) fn start(&mut self, idx: u32, endpoint: &EndpointName) -> TaskId {
        let state = &mut self.states[idx as usize];
        check_invariant(Invariant::TaskStartsOnce, *state == TaskState::Waiting);
        *state = TaskState::Sent(endpoint.clone());
        self.n_started += 1;
        TaskId { job: self.digest, idx, attempt: self.attempts[idx as usize] }
    }

    /// Marks a task as waiting after proof that it did not start.
    pub(crate) fn mark_not_started(&mut self, idx: u32) {
        self.n_started -= 1;
        self.states[idx as usize] = TaskState::Waiting;
    }

    /// Begins a new attempt at a task whose outcome is unknown.
    pub(crate) fn begin_new_attempt(&mut self, idx: u32) {
        let is_idempotent = self.spec.repeat_rule == RepeatRule::Idempotent;
        check_invariant(Invariant::TaskStartsOnce, is_idempotent);
        self.attempts[idx as usize] += 1;
        self.states[idx as usize] = TaskState::Waiting;
    }

    /// Puts a waiting task at the front of the job's pending tasks.
    pub(crate) fn requeue(&mut self, idx: u32) -> KindPath {
        let kind = self.spec.tasks[idx as usize].kind.clone();
        let path = (self.spec.workspace.clone(), kind);
        self.pending.entry(path.clone()).or_default().push_front(idx);
        path
    }

    /// The outputs in order, if every task is done.
    pub(crate) fn outputs(&self) -> Option<Vec<Bytes>> {
        let outputs = self.states.iter().map(|it| match it {
            TaskState::Done(output) => Some(output.clone()),
            TaskState::Waiting | TaskState::Sent(_) => None,
        });
        outputs.collect()
    }

    /// Tasks of the job in flight, by endpoint.
    pub(crate) fn sent_tasks(&self) -> IndexMap<EndpointName, Vec<TaskId>> {
        let mut sent: IndexMap<EndpointName, Vec<TaskId>> = IndexMap::new();
        for (idx, state) in self.states.iter().enumerate() {
            if let TaskState::Sent(endpoint) = state {
                let attempt = self.attempts[idx];
                let task = TaskId { job: self.digest, idx: idx as u32, attempt };
                sent.entry(endpoint.clone()).or_default().push(task);
            }
        }
        sent
    }
}
