//! Jobs as an entry offers them to a cell's leader, and their results.

use std::fmt;

use crate::prelude::*;

/// An answer later than this many latency objectives has no value for the caller.
const EXPIRED_OBJECTIVES: u64 = 3;

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

/// An amount of CPU, memory and accelerators: a capacity, a demand or what is free.
#[derive(Data!, Copy, Default)]
pub struct ResourceAmount {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub mem_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl ResourceAmount {
    /// Whether `demand` fits into this amount.
    pub fn fits(&self, demand: &ResourceAmount) -> bool {
        demand.cpu <= self.cpu && demand.mem_mb <= self.mem_mb && demand.gpu <= self.gpu
    }

    /// Maximum of each component.
    pub fn max(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu: self.cpu.max(other.cpu),
            mem_mb: self.mem_mb.max(other.mem_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Minimum of each component.
    pub fn min(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu: self.cpu.min(other.cpu),
            mem_mb: self.mem_mb.min(other.mem_mb),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Sum of both amounts.
    pub fn plus(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu: self.cpu + other.cpu,
            mem_mb: self.mem_mb + other.mem_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// Difference of both amounts, each component at least zero.
    pub fn minus(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// A step of a job: a number of identical tasks.
#[derive(Data!)]
pub struct JobStep {
    /// Number of tasks.
    pub count: u32,
    /// Resource demand of each task.
    pub demand: ResourceAmount,
    /// Run time as the caller declares it, in ms.
    pub declared_ms: u64,
    /// Steps that must be done before this one starts.
    pub after: Vec<u32>,
    /// Rack of the data; tasks take longer in other racks.
    pub data_rack: Option<String>,
    /// Label that an endpoint must have.
    pub label: Option<String>,
    /// Maximum number of the step's tasks on one endpoint at a time, if any.
    pub max_on_endpoint: Option<u32>,
}

/// Offer of a job to a cell's leader. Times are relative, as clocks differ.
#[derive(Data!)]
pub struct JobOffer {
    /// The job.
    pub job: JobCode,
    /// Name of its route.
    pub route: String,
    /// Service whose endpoints may run it.
    pub service: String,
    /// Task specification that the endpoint gets with each task.
    pub spec: String,
    /// Its steps.
    pub steps: Vec<JobStep>,
    /// Priority of its route; zero is the highest.
    pub priority: u32,
    /// Failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Factor on the critical path in the latency objective, in thousandths.
    pub stretch_milli: u64,
    /// Added to the stretched critical path in the latency objective, in ms.
    pub slack_ms: u64,
    /// Time since the caller's request was read, in ms.
    pub age_ms: u64,
    /// Time for which the caller waits from now on, in ms.
    pub remaining_ms: u64,
    /// Run numbers used here are above this one, those of former leaders below.
    pub first_run: u32,
    /// Number of the offer, unique within the entry that makes it; the same when it is
    /// sent again.
    pub number: u64,
    /// Fencing token of the leader to which it is offered; under another token the offer is
    /// rejected.
    pub token: u64,
    /// Whether tasks of the job may already be running in the cell.
    pub is_repeat: bool,
    /// Whether the leader may return it to its entry when other cells could end it sooner.
    pub may_move: bool,
    /// Data centre of the entry to which its caller is connected.
    pub centre: DataCentre,
    /// Whether this entry refused the job before: its caller has come back.
    pub was_refused: bool,
}

impl JobOffer {
    /// Latency objective, in ms, for a critical path of `critical_path_ms`.
    pub fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        (critical_path_ms.saturating_mul(self.stretch_milli) / 1000).saturating_add(self.slack_ms)
    }

    /// Time after its submission from which an answer has no value for the caller, in ms.
    pub fn useful_ms(&self, critical_path_ms: u64) -> u64 {
        self.objective_ms(critical_path_ms).saturating_mul(EXPIRED_OBJECTIVES)
    }

    /// Length of the critical path by declared run times, in ms.
    pub fn declared_critical_path_ms(&self) -> u64 {
        self.critical_path_ms(|declared_ms| declared_ms)
    }

    /// Length of the critical path, in ms; `run_ms` maps declared to expected run times.
    pub fn critical_path_ms(&self, run_ms: impl Fn(u64) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().filter_map(|it| ends.get(*it as usize)).max();
            ends.push(begin.copied().unwrap_or(0) + run_ms(step.declared_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Declared work of all tasks, in ms times thousandths of a core.
    pub fn declared_work(&self) -> u64 {
        self.steps.iter().map(|it| u64::from(it.count) * it.demand.cpu * it.declared_ms).sum()
    }

    /// CPU demand of the steps without predecessors, in thousandths of a core.
    pub fn initial_cpu(&self) -> u64 {
        let first = self.steps.iter().filter(|it| it.after.is_empty());
        first.map(|it| u64::from(it.count) * it.demand.cpu).sum()
    }

    /// Data rack of the first step that has one.
    pub fn data_rack(&self) -> Option<&str> {
        self.steps.iter().find_map(|it| it.data_rack.as_deref())
    }
}

/// Why a job was refused before any of its tasks had started.
#[derive(Data!, Copy)]
pub enum RefusalCause {
    /// No known endpoint may run it.
    NoEndpoint,
    /// Some step fits on no endpoint, even an idle one.
    NeverFits,
    /// It could not end by its caller's deadline, or not while its answer is of use.
    Hopeless,
    /// The leader's queue is full.
    QueueFull,
    /// No leader of a suitable cell can be reached.
    NoLeader,
    /// Jobs that go before it need all the capacity until it could only end late.
    Overtaken,
    /// A job with its id is at work for another route: endpoints name tasks by the id alone.
    SameId,
}

/// Result of an offered job.
#[derive(Data!)]
pub enum JobResult {
    /// Every task is done.
    Completed,
    /// A task used up its attempts.
    Failed,
    /// No task has started and none will; the suggested retry delay, in ms.
    Refused(RefusalCause, u64),
    /// The cell is overloaded: no task has started and none will, as the job would end too
    /// late here; the predicted wait, in ms.
    Crowded(u64),
    /// The receiver does not lead the cell; runs that it has started may continue.
    NotLeader,
    /// No reachable VM knows what became of the job's tasks.
    Unknown,
    /// The receiver does not lead the cell under the offer's token, or got the offer late: it has
    /// started nothing for this offer.
    Declined,
}
