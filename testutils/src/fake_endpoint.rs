//! Endpoints of a world: slots, run times, faults and lives.

use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use yuccamux::{
    endpoint_table::EndpointRecord,
    job_run::{TaskRef, TaskReport},
    prelude::*,
};

use crate::world_record::task_output;

/// How a fake endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFault {
    /// Runs tasks.
    None,
    /// Fails tasks at once.
    FailAll,
    /// Never ends tasks.
    Stall,
    /// Refuses tasks.
    Refuse,
    /// Is not there.
    Down,
}

/// A task that runs at an endpoint, and who waits for it.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// Entry that sent it, and its life.
    pub entry: (VmName, u64),
    /// The entry's name for it.
    pub task: TaskRef,
    /// When it ends, if ever.
    pub ends_at: Option<ClockTime>,
}

/// A report on its way to an entry.
#[derive(Clone, Debug)]
pub struct EndpointReport {
    /// Entry that sent the task, and its life.
    pub entry: (VmName, u64),
    /// The entry's name for the task.
    pub task: TaskRef,
    /// What became of it.
    pub report: TaskReport,
}

/// An endpoint of a world.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    /// What it announces.
    pub record: EndpointRecord,
    /// Its data centre.
    pub centre: DataCentre,
    /// Run time of a task, in ms.
    pub run_ms: u64,
    /// How it behaves.
    pub fault: EndpointFault,
    /// When it began to leave.
    pub leaving_since: Option<ClockTime>,
    /// Tasks that run.
    pub running: IndexMap<TaskId, RunningTask>,
}

impl FakeEndpoint {
    /// An endpoint without tasks.
    pub fn new(name: &str, centre: &DataCentre, slots: u32, run_ms: u64) -> FakeEndpoint {
        FakeEndpoint {
            record: EndpointRecord {
                name: EndpointName::from(name),
                address: name.to_owned(),
                incarnation: 1,
                slots,
                connections: 60,
                kinds: Vec::new(),
                worker: name.to_owned(),
                rack: name.to_owned(),
                processors: 16,
                memory_mb: 65_536,
                leaving: false,
            },
            centre: centre.clone(),
            run_ms,
            fault: EndpointFault::None,
            leaving_since: None,
            running: IndexMap::new(),
        }
    }

    /// Whether it takes a task now; otherwise what it answers.
    pub fn check_start(&self) -> Result<(), TaskReport> {
        if self.fault == EndpointFault::Down {
            return Err(TaskReport::NotWritten("no connection".to_owned()));
        }
        let is_full = self.record.slots as usize <= self.running.len();
        if self.fault == EndpointFault::Refuse || is_full {
            return Err(TaskReport::Refused);
        }
        Ok(())
    }

    /// Starts a task that was checked.
    pub fn start(
        &mut self,
        id: TaskId,
        entry: (VmName, u64),
        task: TaskRef,
        now: ClockTime,
        rng: &mut ChaCha8Rng,
    ) {
        let ends_at = match self.fault {
            EndpointFault::Stall => None,
            EndpointFault::FailAll => Some(now.plus_ms(1)),
            EndpointFault::None | EndpointFault::Refuse | EndpointFault::Down => {
                Some(now.plus_ms(self.run_ms * rng.random_range(50..150) / 100))
            }
        };
        self.running.insert(id, RunningTask { entry, task, ends_at });
    }

    /// Ends the tasks that are due.
    pub fn take_ended(&mut self, now: ClockTime) -> Vec<EndpointReport> {
        let mut reports = Vec::new();
        let fault = self.fault;
        self.running.retain(|id, running| {
            if running.ends_at.is_none_or(|it| now < it) {
                return true;
            }
            let report = match fault {
                EndpointFault::FailAll => TaskReport::Failed("fails all".to_owned()),
                _ => TaskReport::Done(task_output(id).into()),
            };
            let RunningTask { entry, task, .. } = running.clone();
            reports.push(EndpointReport { entry, task, report });
            false
        });
        reports
    }

    /// Ends cancelled tasks.
    pub fn cancel(&mut self, ids: &[TaskId], now: ClockTime) {
        for id in ids {
            if let Some(running) = self.running.get_mut(id) {
                running.ends_at = Some(now);
            }
        }
    }

    /// Dies: every task that runs is lost.
    pub fn die(&mut self) -> Vec<EndpointReport> {
        self.fault = EndpointFault::Down;
        let running = std::mem::take(&mut self.running);
        let reports = running.into_values().map(|it| EndpointReport {
            entry: it.entry,
            task: it.task,
            report: TaskReport::Lost("connection reset".to_owned()),
        });
        reports.collect()
    }

    /// Comes back as another life.
    pub fn restart(&mut self) {
        self.fault = EndpointFault::None;
        self.record.incarnation += 1;
        self.record.leaving = false;
        self.leaving_since = None;
        self.running.clear();
    }
}
