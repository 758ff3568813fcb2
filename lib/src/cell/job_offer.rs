//! Jobs of steps, as they travel from the entry that a caller reached to a cell's
//! leader, and how they end.

use std::fmt;

use crate::prelude::*;

/// Id of a job, chosen by its caller.
#[derive(Id!, Copy)]
pub struct JobCode(pub u64);

impl fmt::Display for JobCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A task of a job.
#[derive(Id!, Copy)]
pub struct TaskRef {
    /// The job.
    pub job: JobCode,
    /// Step of the job, from zero.
    pub step: u32,
    /// Position in the step, from zero.
    pub idx: u32,
}

/// Processor, memory and accelerators.
#[derive(Data!, Copy, Default)]
pub struct ResourceAmount {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub mem_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl ResourceAmount {
    /// Whether `need` fits.
    pub fn fits(&self, demand: &ResourceAmount) -> bool {
        demand.cpu <= self.cpu && demand.mem_mb <= self.mem_mb && demand.gpu <= self.gpu
    }

    /// The room with `other` added.
    pub fn plus(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu: self.cpu + other.cpu,
            mem_mb: self.mem_mb + other.mem_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// The room that is left when `other` is taken; never below zero.
    pub fn minus(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// A step of a job: tasks that are alike.
#[derive(Data!)]
pub struct JobStep {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes of its endpoint.
    pub demand: ResourceAmount,
    /// Run time as the caller declares it, in ms.
    pub declared_ms: u64,
    /// Steps that must be done before.
    pub after: Vec<u32>,
    /// Rack of the data; tasks take longer elsewhere.
    pub data_rack: Option<String>,
    /// Label that an endpoint must have.
    pub label: Option<String>,
    /// Tasks of the step that may run on one endpoint at a time, if bounded.
    pub max_on_endpoint: Option<u32>,
}

/// A job on its way to a cell's leader. Times are relative, as clocks differ.
#[derive(Data!)]
pub struct JobOffer {
    /// The job.
    pub job: JobCode,
    /// Name of its route.
    pub route: String,
    /// Service whose endpoints may run it.
    pub service: String,
    /// Handed to the endpoint with each task.
    pub spec: String,
    /// Its steps.
    pub steps: Vec<JobStep>,
    /// Rank of its route; zero goes first.
    pub priority: u32,
    /// Failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Factor on the longest chain in the latency objective, in thousandths.
    pub stretch_milli: u64,
    /// Addition to the stretched chain in the latency objective, in ms.
    pub slack_ms: u64,
    /// Time since the caller's request was read, in ms.
    pub age_ms: u64,
    /// Time for which the caller waits from now on, in ms.
    pub remaining_ms: u64,
    /// Number below which all runs of its tasks by former leaders lie.
    pub first_run: u32,
    /// Number of the offer, unique within the entry that makes it; the same when it is
    /// sent again.
    pub number: u64,
    /// Token of the leader to which it is offered; one that leads under another does not
    /// take it.
    pub token: u64,
    /// Whether the job may already have tasks at work in the cell.
    pub is_repeat: bool,
    /// Whether the leader may send it back when other cells could end it sooner.
    pub may_move: bool,
}

impl JobOffer {
    /// Declared length of the longest chain of steps, in ms.
    pub fn declared_critical_path_ms(&self) -> u64 {
        self.critical_path_ms(|declared_ms| declared_ms)
    }

    /// Length of the longest chain of steps, in ms; `run_ms` makes a run time of a declared one.
    pub fn critical_path_ms(&self, run_ms: impl Fn(u64) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().filter_map(|it| ends.get(*it as usize)).max();
            ends.push(begin.copied().unwrap_or(0) + run_ms(step.declared_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Declared work of all tasks, in ms of thousandths of a core.
    pub fn declared_work(&self) -> u64 {
        self.steps.iter().map(|it| u64::from(it.count) * it.demand.cpu * it.declared_ms).sum()
    }

    /// Processor that the tasks without predecessors take at once, in thousandths of a core.
    pub fn initial_cpu(&self) -> u64 {
        let first = self.steps.iter().filter(|it| it.after.is_empty());
        first.map(|it| u64::from(it.count) * it.demand.cpu).sum()
    }

    /// Rack that the first step with one names.
    pub fn data_rack(&self) -> Option<&str> {
        self.steps.iter().find_map(|it| it.data_rack.as_deref())
    }
}

/// Why a job was refused before any of its tasks had started.
#[derive(Data!, Copy)]
pub enum RefusalCause {
    /// No endpoint that may run it is known.
    NoEndpoint,
    /// It fits on no endpoint, even when that is empty.
    NeverFits,
    /// It could not end while its caller waits.
    Hopeless,
    /// The leader has as much queued as it keeps.
    QueueFull,
    /// No leader of a fitting cell can be reached.
    NoLeader,
}

/// How a job ended.
#[derive(Data!)]
pub enum JobResult {
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// No task has started and none will; the time after which a retry makes sense, in ms.
    Refused(RefusalCause, u64),
    /// No task has started and none will in this cell, where the job would wait too long to
    /// end in time; the predicted wait, in ms.
    Crowded(u64),
    /// The receiver does not lead the cell; runs that it has ordered may go on.
    NotLeader,
    /// What became of the job's tasks is not known to anyone who can answer.
    Unknown,
}
