//! The leader's part of a cell: jobs that wait or run, orders to endpoints, proofs.
//!
//! Each entry point takes the time and appends to the effects, which
//! [`CellDispatcher::drain_effects`] drains.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_message::{CellName, CellReport},
        decision_record::DecisionRecord,
        endpoint_order::{EndpointOrder, OrderBody, OrderNumber},
        endpoint_state::EndpointState,
        job_offer::{JobCode, JobOffer, JobResult, ResourceAmount, TaskRef},
        local_load::LocalLoad,
        run_forecast::{FAST_FACTOR_MILLI, RouteTimes},
    },
    prelude::*,
};

/// Lease given with each order, in ms: three looks may be lost before it runs out, and a
/// caller's second copy comes only after it.
pub(super) const LEASE_MS: u64 = 800;
/// Time for an order's answer beyond its wait, in ms: many times a round trip, and short
/// enough to ask again within the lease.
const ORDER_TIME_MS: u64 = 200;
/// Time added before a run counts as stalled, in ms: the spread of short runs.
pub(super) const STALL_SLACK_MS: u64 = 150;

/// Factor on the run time of a task off its data's rack where none is set, in thousandths.
const OFF_RACK_MILLI: u64 = 2_000;

/// Something for the surroundings to do.
#[derive(Data!)]
pub enum CellEffect {
    /// Send an order.
    SendOrder(EndpointOrder),
    /// Tell the entry that offered a job, by the offer's number, how it ended.
    ReportResult(VmName, JobCode, u64, JobResult),
    /// An endpoint knows a higher token: another entry leads the cell.
    Fenced,
    /// Write a line.
    LogDecision(DecisionRecord),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskPhase {
    Waiting,
    Placed(EndpointName),
    Done,
}

/// A verdict that is kept for copies of what it answers.
pub(super) enum KeptVerdict {
    End(JobCode),
    Refusal((VmName, JobCode, u64)),
}

#[derive(Clone, Debug)]
pub(super) struct CellTask {
    pub(super) task: TaskRef,
    pub(super) phase: TaskPhase,
    pub(super) last_run: u32,
    pub(super) n_failed: u32,
    pub(super) avoid: Option<EndpointName>,
}

pub(super) struct CellJob {
    pub(super) offer: JobOffer,
    pub(super) front: VmName,
    pub(super) arrived_at: ClockTime,
    /// Time by which it should end.
    pub(super) due_at: ClockTime,
    /// Time until which its caller waits.
    pub(super) waits_until: ClockTime,
    /// Time until which an answer is of use.
    pub(super) useful_until: ClockTime,
    /// When its entry last said that the caller waits.
    pub(super) wanted_at: ClockTime,
    pub(super) tasks: Vec<CellTask>,
    pub(super) n_left: usize,
    /// Whether any of its tasks may have started.
    pub(super) may_have_run: bool,
}

impl CellJob {
    pub(super) fn step_is_ready(&self, step: u32) -> bool {
        let is_done = |after: &u32| {
            let mut tasks = self.tasks.iter().filter(|it| it.task.step == *after);
            tasks.all(|it| it.phase == TaskPhase::Done)
        };
        self.offer.steps[step as usize].after.iter().all(is_done)
    }

    /// What each task that waits takes of its endpoint.
    pub(super) fn waiting_needs(&self) -> impl Iterator<Item = &ResourceAmount> {
        let waiting = self.tasks.iter().filter(|it| it.phase == TaskPhase::Waiting);
        waiting.map(|it| &self.offer.steps[it.task.step as usize].demand)
    }

    /// Processor of the tasks that wait, in thousandths of a core.
    pub(super) fn waiting_cpu(&self) -> u64 {
        self.waiting_needs().map(|it| it.cpu).sum()
    }

    pub(super) fn waits(&self) -> bool {
        self.tasks.iter().any(|it| it.phase == TaskPhase::Waiting)
    }
}

/// The leader's part of a cell.
pub struct CellDispatcher {
    pub(super) cell: CellName,
    pub(super) token: u64,
    pub(super) endpoints: IndexMap<EndpointName, EndpointState>,
    pub(super) jobs: IndexMap<JobCode, CellJob>,
    pub(super) verdicts: IndexMap<JobCode, JobResult>,
    /// Refused offers: one that is sent again must not run.
    pub(super) refusals: IndexMap<(VmName, JobCode, u64), JobResult>,
    pub(super) verdict_times: VecDeque<(ClockTime, KeptVerdict)>,
    pub(super) times: RouteTimes,
    pub(super) local_load: LocalLoad,
    /// Factor on the run time of a task off its data's rack, in thousandths.
    pub(super) off_rack_milli: u64,
    /// Whether every endpoint that a former leader used is known.
    pub(super) endpoints_are_known: bool,
    /// Tasks that ended as done before their job was offered here.
    pub(super) former_done: IndexMap<TaskRef, ClockTime>,
    /// Whether any endpoint has obeyed this leader's token.
    pub(super) is_token_accepted: bool,
    /// Whether an endpoint has refused it for a higher token.
    pub(super) is_fenced: bool,
    pub(super) next_order: u64,
    pub(super) wants_pass: bool,
    pub(super) effects: Vec<CellEffect>,
}

impl CellDispatcher {
    /// A leader with this token; order numbers start after `first_order`.
    ///
    /// Where not all endpoints are known, repeated jobs wait until a lease has run out.
    pub fn new(
        cell: CellName,
        token: u64,
        first_order: u64,
        endpoints_are_known: bool,
    ) -> CellDispatcher {
        CellDispatcher {
            cell,
            token,
            endpoints: IndexMap::new(),
            jobs: IndexMap::new(),
            verdicts: IndexMap::new(),
            refusals: IndexMap::new(),
            verdict_times: VecDeque::new(),
            times: RouteTimes::default(),
            local_load: LocalLoad::default(),
            off_rack_milli: OFF_RACK_MILLI,
            endpoints_are_known,
            former_done: IndexMap::new(),
            is_token_accepted: false,
            is_fenced: false,
            next_order: first_order,
            wants_pass: false,
            effects: Vec::new(),
        }
    }

    /// The leader with a factor on the run time of tasks off their data's rack.
    pub fn with_off_rack_milli(self, off_rack_milli: u64) -> CellDispatcher {
        CellDispatcher { off_rack_milli, ..self }
    }

    /// The leader's token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Last order number that was used.
    pub fn last_order(&self) -> u64 {
        self.next_order
    }

    /// Drains the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether any endpoint has obeyed this leader.
    pub fn is_token_accepted(&self) -> bool {
        self.is_token_accepted
    }

    /// Jobs that have not ended.
    pub fn n_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Whether an endpoint with this name is in the cell.
    pub fn has_endpoint(&self, name: &EndpointName) -> bool {
        self.endpoints.contains_key(name)
    }

    /// Jobs of a route none of whose tasks has started.
    pub fn n_pending(&self, route: &str) -> u64 {
        let pending = |it: &&CellJob| it.offer.route == route && !it.may_have_run;
        self.jobs.values().filter(pending).count() as u64
    }

    /// What the leader tells of the cell.
    pub fn report(&self, now: ClockTime) -> CellReport {
        let mut report = CellReport {
            cell: self.cell.clone(),
            token: self.token,
            cpu: 0,
            free_cpu: 0,
            unreserved_cpu: 0,
            fast_cpu: 0,
            queued_work: 0,
        };
        for endpoint in self.endpoints.values() {
            if endpoint.takes_starts(now) {
                let free_cpu = endpoint.free_room().cpu;
                report.cpu += endpoint.record.capacity.cpu;
                report.free_cpu += free_cpu;
                if endpoint.pace.factor_milli(now) <= FAST_FACTOR_MILLI {
                    report.fast_cpu += free_cpu;
                }
            }
        }
        for job in self.jobs.values() {
            for task in job.tasks.iter().filter(|it| it.phase == TaskPhase::Waiting) {
                let step = &job.offer.steps[task.task.step as usize];
                let typical_ms = self.times.typical_ms(&job.offer.route, step.declared_ms);
                report.queued_work += typical_ms * step.demand.cpu;
            }
        }
        report.unreserved_cpu = self.unreserved_cpu(&report, now);
        report.fast_cpu = report.fast_cpu.min(report.unreserved_cpu);
        report
    }

    /// Free processor that jobs without data in the rack may take.
    fn unreserved_cpu(&self, report: &CellReport, now: ClockTime) -> u64 {
        let runs = self.endpoints.values().flat_map(|it| &it.runs);
        let is_other =
            |task: &TaskRef| self.jobs.get(&task.job).is_none_or(|it| !self.is_home(&it.offer));
        let other_cpu: u64 =
            runs.filter(|(task, _)| is_other(task)).map(|(_, run)| run.demand.cpu).sum();
        let kept = self.local_load.reserved_cpu(report.cpu, now);
        report.free_cpu.min(report.cpu.saturating_sub(other_cpu + kept))
    }

    /// Whether the data of a job lies in the cell's rack.
    pub(super) fn is_home(&self, offer: &JobOffer) -> bool {
        offer.data_rack() == Some(&self.cell.rack)
    }

    /// Sends an order to an endpoint; its number.
    pub(super) fn send_order(
        &mut self,
        name: &EndpointName,
        lease_until: Option<u64>,
        wait_ms: u64,
        body: OrderBody,
    ) -> Option<OrderNumber> {
        let address = self.endpoints.get(name)?.record.address.clone();
        self.next_order += 1;
        let number = OrderNumber(self.next_order);
        self.effects.push(CellEffect::SendOrder(EndpointOrder {
            number,
            endpoint: name.clone(),
            address,
            token: self.token,
            lease_until,
            time_limit_ms: wait_ms + ORDER_TIME_MS,
            body,
        }));
        Some(number)
    }

    pub(super) fn note(&mut self, note: DecisionRecord) {
        self.effects.push(CellEffect::LogDecision(note));
    }
}
