//! Dispatcher of a cell's leader: queued and running jobs, and orders to endpoints.
//!
//! A state machine without I/O: inputs come with the current time and append effects, which
//! [`CellDispatcher::drain_effects`] returns. A task is requeued only on proof that its run is
//! over or never began.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::{
    cell::{
        cell_leadership::TOKEN_STEP,
        cell_message::{CellName, CellReport},
        decision_record::DecisionRecord,
        endpoint_order::{EndpointOrder, OrderBody, OrderNumber},
        endpoint_state::{EndpointState, RunPhase},
        job_offer::{JobCode, JobOffer, JobResult, ResourceAmount, TaskRef},
        local_load::LocalLoad,
        run_bounds::RunBounds,
        run_forecast::{FAST_FACTOR_MILLI, RouteTimes},
        run_proof::RunProof,
        service_shares::ServiceShares,
        wait_forecast::WorkRates,
    },
    prelude::*,
};

/// Time for an order's answer beyond its wait, in ms: many round trips, and short enough for a
/// retry within the lease.
const ORDER_RESPONSE_MS: u64 = 200;
/// Added to the predicted time before a run counts as stalled, in ms: short runs vary by it.
pub(super) const STALL_SLACK_MS: u64 = 150;

/// Default factor on the run time of a task outside the rack of its data, in thousandths.
const OFF_RACK_MILLI: u64 = 2_000;

/// An effect for the host to run.
#[derive(Data!)]
pub enum CellEffect {
    /// Send an order.
    SendOrder(EndpointOrder),
    /// Report a job's result to the entry that offered it, under the offer's number.
    ReportResult(VmName, JobCode, u64, JobResult),
    /// An endpoint has seen a higher fencing token: another entry leads the cell.
    Fenced,
    /// Write a decision to the log.
    LogDecision(DecisionRecord),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskPhase {
    Waiting,
    Placed(EndpointName),
    Done,
}

/// A run that counts as over though the endpoint has not listed its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosedRun {
    pub(super) run: u32,
    pub(super) proof: RunProof,
    pub(super) closed_at: ClockTime,
}

/// Key of a result that is cached to answer a repeated offer.
pub(super) enum CachedResult {
    End(JobCode),
    Refusal((VmName, JobCode, u64)),
}

#[derive(Clone, Debug)]
pub(super) struct CellTask {
    pub(super) task: TaskRef,
    pub(super) phase: TaskPhase,
    pub(super) last_run: u32,
    pub(super) n_failed: u32,
    /// Runs that were stopped as stragglers.
    pub(super) n_straggled: u32,
    /// Whether one of these made progress.
    pub(super) had_slow_run: bool,
    pub(super) avoid: Option<EndpointName>,
}

pub(super) struct CellJob {
    pub(super) offer: JobOffer,
    pub(super) origin: VmName,
    pub(super) arrived_at: ClockTime,
    /// Latency objective: when the job should end.
    pub(super) due_at: ClockTime,
    /// When its caller stops waiting.
    pub(super) caller_deadline: ClockTime,
    /// After this time, an answer has no value for the caller.
    pub(super) useful_until: ClockTime,
    /// Latest time at which its entry is known to have confirmed that the caller waits.
    pub(super) last_keep_alive_at: ClockTime,
    pub(super) tasks: Vec<CellTask>,
    pub(super) n_left: usize,
    /// Whether any of its tasks may have started.
    pub(super) may_have_run: bool,
    /// Whether it has held a reservation, which is logged once.
    pub(super) was_reserved: bool,
    /// Whether its tasks have proved to take far longer than predicted.
    pub(super) is_long: bool,
    /// Whether its caller was refused and has come back.
    pub(super) has_returned: bool,
    /// Wait that was predicted when it arrived, in ms.
    pub(super) forecast_ms: u64,
}

impl CellJob {
    /// When its caller submitted it.
    pub(super) fn submitted_at(&self) -> ClockTime {
        self.arrived_at.minus_ms(self.offer.age_ms)
    }

    pub(super) fn step_is_ready(&self, step: u32) -> bool {
        let is_done = |after: &u32| {
            let mut tasks = self.tasks.iter().filter(|it| it.task.step == *after);
            tasks.all(|it| it.phase == TaskPhase::Done)
        };
        self.offer.steps[step as usize].after.iter().all(is_done)
    }

    /// Resource demands of the waiting tasks.
    pub(super) fn waiting_demands(&self) -> impl Iterator<Item = &ResourceAmount> {
        let waiting = self.tasks.iter().filter(|it| it.phase == TaskPhase::Waiting);
        waiting.map(|it| &self.offer.steps[it.task.step as usize].demand)
    }

    /// CPU demand of the waiting tasks, in thousandths of a core.
    pub(super) fn waiting_cpu(&self) -> u64 {
        self.waiting_demands().map(|it| it.cpu).sum()
    }

    pub(super) fn has_waiting_tasks(&self) -> bool {
        self.tasks.iter().any(|it| it.phase == TaskPhase::Waiting)
    }
}

/// Schedules the jobs of a cell on its endpoints while this entry leads the cell.
pub struct CellDispatcher {
    pub(super) cell: CellName,
    pub(super) token: u64,
    /// Highest token given to an endpoint.
    pub(super) highest_token: u64,
    pub(super) endpoints: IndexMap<EndpointName, EndpointState>,
    pub(super) jobs: IndexMap<JobCode, CellJob>,
    /// Results of ended jobs, with their routes.
    pub(super) results: IndexMap<JobCode, (String, JobResult)>,
    /// Results of rejected offers: a repeated offer must not run.
    pub(super) refusals: IndexMap<(VmName, JobCode, u64), JobResult>,
    /// Jobs with a cached refusal: their callers go first when they come back.
    pub(super) refused_jobs: IndexSet<JobCode>,
    pub(super) result_times: VecDeque<(ClockTime, CachedResult)>,
    /// Runs that counted as over lately, to report those that reappear.
    pub(super) closed_runs: IndexMap<(EndpointName, TaskRef), ClosedRun>,
    pub(super) times: RouteTimes,
    pub(super) local_load: LocalLoad,
    /// Value served lately, by route and by the data centre of the callers.
    pub(super) shares: ServiceShares,
    /// Rates of arriving work and of capacity that becomes free, for the forecast of waits.
    pub(super) rates: WorkRates,
    /// Factor on the run time of a task outside the rack of its data, in thousandths.
    pub(super) off_rack_milli: u64,
    pub(super) bounds: RunBounds,
    /// Whether every endpoint that a former leader may have used is known.
    pub(super) endpoints_are_known: bool,
    /// Tasks reported as done before their job was offered to this leader.
    pub(super) done_before_offer: IndexMap<TaskRef, ClockTime>,
    /// Whether any endpoint has accepted this leader's fencing token.
    pub(super) is_token_accepted: bool,
    /// Whether an endpoint has refused an order because it knows a higher token.
    pub(super) is_fenced: bool,
    pub(super) next_order: u64,
    pub(super) needs_placement_pass: bool,
    pub(super) effects: Vec<CellEffect>,
}

impl CellDispatcher {
    /// Creates a dispatcher with this fencing token; order numbers start after `first_order`.
    ///
    /// Unless `endpoints_are_known`, repeated jobs wait until former leases have expired.
    pub fn new(
        cell: CellName,
        token: u64,
        first_order: u64,
        endpoints_are_known: bool,
    ) -> CellDispatcher {
        CellDispatcher {
            cell,
            token,
            highest_token: token,
            endpoints: IndexMap::new(),
            jobs: IndexMap::new(),
            results: IndexMap::new(),
            refusals: IndexMap::new(),
            refused_jobs: IndexSet::new(),
            result_times: VecDeque::new(),
            closed_runs: IndexMap::new(),
            times: RouteTimes::default(),
            local_load: LocalLoad::default(),
            shares: ServiceShares::default(),
            rates: WorkRates::default(),
            off_rack_milli: OFF_RACK_MILLI,
            bounds: RunBounds::default(),
            endpoints_are_known,
            done_before_offer: IndexMap::new(),
            is_token_accepted: false,
            is_fenced: false,
            next_order: first_order,
            needs_placement_pass: false,
            effects: Vec::new(),
        }
    }

    /// Sets the factor on the run time of tasks outside the rack of their data, in thousandths.
    pub fn with_off_rack_milli(self, off_rack_milli: u64) -> CellDispatcher {
        CellDispatcher { off_rack_milli, ..self }
    }

    /// Sets the deployment's bounds on runs.
    pub fn with_bounds(self, bounds: RunBounds) -> CellDispatcher {
        CellDispatcher { bounds, ..self }
    }

    /// Fencing token of this leader.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Highest token that any endpoint may have seen from this leader.
    pub fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Returns a token above all that endpoints have got.
    pub(super) fn raise_token(&mut self) -> u64 {
        self.highest_token += TOKEN_STEP;
        self.highest_token
    }

    /// Last order number in use.
    pub fn last_order(&self) -> u64 {
        self.next_order
    }

    /// Returns the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether any endpoint has accepted this leader's token.
    pub fn is_token_accepted(&self) -> bool {
        self.is_token_accepted
    }

    /// Number of jobs that have not ended.
    pub fn n_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Whether an endpoint with this name is in the cell.
    pub fn has_endpoint(&self, name: &EndpointName) -> bool {
        self.endpoints.contains_key(name)
    }

    /// Number of a route's jobs of which no task can have started.
    pub fn n_pending(&self, route: &str) -> u64 {
        let pending = |it: &&CellJob| it.offer.route == route && !it.may_have_run;
        self.jobs.values().filter(pending).count() as u64
    }

    /// Summarises the cell's load for the routers of other entries.
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
            if endpoint.accepts_starts(now) {
                let free_cpu = endpoint.free_resources().cpu;
                report.cpu += endpoint.record.capacity.cpu;
                report.free_cpu += free_cpu;
                if endpoint.speed.factor_milli(now) <= FAST_FACTOR_MILLI {
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

    /// Free CPU that jobs without data in this rack may use, in thousandths of a core.
    fn unreserved_cpu(&self, report: &CellReport, now: ClockTime) -> u64 {
        // Endpoints with runs that no job claims accept no starts and are not part of the capacity.
        let runs = self.endpoints.values().flat_map(|it| &it.runs);
        let runs = runs.filter(|(_, run)| run.phase != RunPhase::Orphan);
        let is_other = |task: &TaskRef| {
            self.jobs.get(&task.job).is_none_or(|it| !self.is_data_local(&it.offer))
        };
        let other_cpu: u64 =
            runs.filter(|(task, _)| is_other(task)).map(|(_, run)| run.demand.cpu).sum();
        let reserved = self.local_load.reserved_cpu(report.cpu, now);
        report.free_cpu.min(report.cpu.saturating_sub(other_cpu + reserved))
    }

    /// Whether the job's data is in the cell's rack.
    pub(super) fn is_data_local(&self, offer: &JobOffer) -> bool {
        offer.data_rack() == Some(&self.cell.rack)
    }

    /// Sends an order to an endpoint and returns its number.
    pub(super) fn send_order(
        &mut self,
        name: &EndpointName,
        lease_until: Option<u64>,
        wait_ms: u64,
        body: OrderBody,
    ) -> Option<OrderNumber> {
        let endpoint = self.endpoints.get(name)?;
        let (address, token) = (endpoint.record.address.clone(), endpoint.token);
        let incarnation = endpoint.record.incarnation;
        self.next_order += 1;
        let number = OrderNumber(self.next_order);
        self.effects.push(CellEffect::SendOrder(EndpointOrder {
            number,
            endpoint: name.clone(),
            address,
            incarnation,
            token,
            lease_until,
            time_limit_ms: wait_ms + ORDER_RESPONSE_MS,
            body,
        }));
        Some(number)
    }

    pub(super) fn log_decision(&mut self, record: DecisionRecord) {
        self.effects.push(CellEffect::LogDecision(record));
    }
}
