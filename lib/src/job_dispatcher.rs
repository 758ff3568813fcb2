//! The dispatcher of one entry: queues jobs, places their tasks on endpoints and gathers
//! their outputs.
//!
//! Each method takes the time and one event and appends to a list of effects. Only jobs
//! whose claim was granted are submitted, and only this dispatcher starts their tasks. A
//! task leaves the state "waiting" when it is sent to an endpoint and returns to it only
//! on proof that it did not start, or as a new attempt when it is idempotent.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    dispatch_queue::{DispatchQueue, JobRank},
    endpoint_slots::EndpointSlots,
    endpoint_table::EndpointState,
    job_run::{JobNumber, JobRun, JobSpec, JobTrace, RepeatRule, TaskRef, TaskReport, TaskState},
    policy_settings::PolicySettings,
    prelude::*,
    quarantine_list::QuarantineList,
    retry_budget::RetryBudget,
    run_estimates::{KindPath, RunEstimates},
    slot_leases::{self, LeaseMessage},
    urgent_reserve::UrgentReserve,
    workspace_template::{ResolvedConfig, UrgencyClass},
};

/// Most tasks of ended jobs whose traces are kept.
const MAX_TRACED_TASKS: usize = 20_000;
/// Time for which an endpoint gets no more tasks after a refusal, in ms.
const REFUSAL_PAUSE_MS: u64 = 5;

/// An effect to be run by the host.
#[derive(Data!)]
pub enum DispatchEffect {
    /// Send a task to an endpoint.
    Start {
        /// The task.
        task: TaskRef,
        /// Its id at the endpoint.
        id: TaskId,
        /// The endpoint.
        endpoint: EndpointName,
        /// Its host and port.
        address: String,
        /// The incarnation that announced the kinds and slots by which it was chosen.
        incarnation: u64,
    },
    /// Answer a job: its outputs in order, or why there are none.
    Finish(JobNumber, Result<Vec<Bytes>, RequestError>),
    /// Tell an endpoint to cancel tasks of jobs that have failed.
    CancelTasks(EndpointName, String, Vec<TaskId>),
    /// Send a lease message to another entry.
    SendLease(VmName, LeaseMessage),
}

/// Counters of a dispatcher.
#[derive(Data!, Default, Copy)]
pub struct DispatchCounts {
    /// First starts of tasks.
    pub n_starts: u64,
    /// Tasks requeued after proof that they did not start.
    pub n_resent: u64,
    /// Further attempts of idempotent tasks.
    pub n_repeated: u64,
    /// Refusals by endpoints.
    pub n_refused: u64,
    /// Tasks not written to any connection.
    pub n_not_written: u64,
    /// Tasks lost after they were written.
    pub n_lost: u64,
    /// Failures reported by endpoints.
    pub n_failed: u64,
    /// Tasks finished.
    pub n_done: u64,
    /// Lease messages sent.
    pub n_lease_messages: u64,
    /// Cancel messages sent.
    pub n_cancel_messages: u64,
}

/// The load that an entry reports to the others of its data centre.
#[derive(Data!, Default)]
pub struct PeerLoad {
    /// Slots that are free there.
    pub n_free: u32,
    /// Slots in use by workspace.
    pub usage: Vec<(WorkspaceName, u32)>,
}

/// The dispatcher of one entry.
#[derive(Debug)]
pub struct JobDispatcher {
    pub(crate) vm: VmName,
    pub(crate) policy: PolicySettings,
    pub(crate) config: ResolvedConfig,
    pub(crate) endpoints: IndexMap<EndpointName, EndpointSlots>,
    pub(crate) members: Vec<VmName>,
    pub(crate) peers: IndexMap<VmName, PeerLoad>,
    pub(crate) queue: DispatchQueue,
    pub(crate) jobs: IndexMap<JobNumber, JobRun>,
    by_key: IndexMap<JobKey, JobNumber>,
    deadlines: BTreeSet<(ClockTime, JobNumber)>,
    pub(crate) usage: IndexMap<WorkspaceName, u32>,
    pub(crate) estimates: RunEstimates,
    pub(crate) quarantine: QuarantineList,
    pub(crate) budget: RetryBudget,
    pub(crate) reserve: UrgentReserve,
    pub(crate) counts: DispatchCounts,
    cancels: IndexMap<EndpointName, Vec<TaskId>>,
    deferred_retries: VecDeque<TaskRef>,
    traces: IndexMap<JobKey, JobTrace>,
    n_traced_tasks: usize,
    pub(crate) slots_requested_at: IndexMap<VmName, ClockTime>,
    pub(crate) slot_requesters: IndexSet<VmName>,
    pub(crate) idle_since: ClockTime,
    ticked_at: ClockTime,
    next_job: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) effects: Vec<DispatchEffect>,
}

impl JobDispatcher {
    /// A dispatcher without endpoints.
    pub fn new(vm: VmName, policy: PolicySettings, seed: u64) -> JobDispatcher {
        JobDispatcher {
            members: vec![vm.clone()],
            vm,
            policy,
            config: ResolvedConfig::default(),
            endpoints: IndexMap::new(),
            peers: IndexMap::new(),
            queue: DispatchQueue::new(policy.order),
            jobs: IndexMap::new(),
            by_key: IndexMap::new(),
            deadlines: BTreeSet::new(),
            usage: IndexMap::new(),
            estimates: RunEstimates::new(),
            quarantine: QuarantineList::new(policy.quarantine),
            budget: RetryBudget::new(),
            reserve: UrgentReserve::new(),
            counts: DispatchCounts::default(),
            cancels: IndexMap::new(),
            deferred_retries: VecDeque::new(),
            traces: IndexMap::new(),
            n_traced_tasks: 0,
            slots_requested_at: IndexMap::new(),
            slot_requesters: IndexSet::new(),
            idle_since: ClockTime::default(),
            ticked_at: ClockTime::default(),
            next_job: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            effects: Vec::new(),
        }
    }

    /// Drains the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<DispatchEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Counts so far.
    pub fn counts(&self) -> DispatchCounts {
        self.counts
    }

    /// Jobs that have not ended.
    pub fn n_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no task waits or runs.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.endpoints.values().all(|it| it.in_flight.is_empty())
    }

    /// Tasks waiting in the queue.
    pub fn n_queued(&self) -> usize {
        self.queue.n_tasks()
    }

    /// Tasks in flight at endpoints.
    pub fn n_in_flight(&self) -> usize {
        self.endpoints.values().map(|it| it.in_flight.len()).sum()
    }

    /// Quarantines so far.
    pub fn n_quarantines(&self) -> u64 {
        self.quarantine.n_quarantines()
    }

    /// Trace of a job that runs or is among the last that ended.
    pub fn trace(&self, key: &JobKey) -> Option<&JobTrace> {
        let running = self.by_key.get(key).and_then(|it| self.jobs.get(it)).map(|it| &it.trace);
        running.or_else(|| self.traces.get(key))
    }

    /// This entry's load, for the others.
    pub fn own_load(&self, now: ClockTime) -> PeerLoad {
        let free = self
            .endpoints
            .iter()
            .filter(|(_, it)| it.accepts_work)
            .map(|(name, it)| it.n_free(self.quarantine.trust(name, now), now));
        let usage = self.usage.iter().filter(|(_, n_slots)| 0 < **n_slots);
        PeerLoad {
            n_free: if self.queue.n_tasks() == 0 { free.sum() } else { 0 },
            usage: usage.map(|(name, n_slots)| (name.clone(), *n_slots)).collect(),
        }
    }

    /// Sets the load reported by another entry.
    pub fn set_peer_load(&mut self, vm: &VmName, load: PeerLoad) {
        self.peers.insert(vm.clone(), load);
    }

    /// Applies a configuration.
    pub fn apply_config(&mut self, config: ResolvedConfig, now: ClockTime) {
        check_invariant(Invariant::ConfigNeverReverts, self.config.version <= config.version);
        self.config = config;
        for (workspace, spec) in &self.config.workspaces {
            for (kind, kind_spec) in &spec.kinds {
                let path = (workspace.clone(), kind.clone());
                self.estimates.set_initial_estimate(&path, kind_spec.expected_ms);
                self.queue.set_lane(&path, kind_spec.urgency, spec.quota_slots);
            }
        }
        self.update_accepts_work(now);
        self.dispatch(now);
    }

    /// Sets the announced endpoints and the live entries, this one included.
    pub fn set_endpoints<'a>(
        &mut self,
        states: impl Iterator<Item = &'a EndpointState>,
        members: &[VmName],
        now: ClockTime,
    ) {
        let mut seen = IndexSet::new();
        for state in states {
            let name = &state.record.name;
            seen.insert(name.clone());
            let slots = self
                .endpoints
                .entry(name.clone())
                .or_insert_with(|| EndpointSlots::new(state.record.clone(), state.last_contact_at));
            slots.last_contact_at = state.last_contact_at;
            if slots.record != state.record {
                slots.record = state.record.clone();
            }
        }
        self.endpoints.retain(|name, it| seen.contains(name) || !it.in_flight.is_empty());
        self.estimates.retain_endpoints(|it| seen.contains(it));
        self.quarantine.retain_endpoints(|it| seen.contains(it));
        self.members = members.to_vec();
        self.peers.retain(|vm, _| members.contains(vm));
        for (name, slots) in &mut self.endpoints {
            let n_slots = slots.record.slots;
            let share =
                slot_leases::slot_share(self.policy.leases, name, n_slots, &self.vm, members);
            slots.lease.set_share(share, |it| members.contains(it));
        }
        self.update_accepts_work(now);
        self.dispatch(now);
    }

    fn update_accepts_work(&mut self, now: ClockTime) {
        for (name, slots) in &mut self.endpoints {
            let is_fresh = slots.is_fresh(now);
            let is_drained = self.config.drained.contains(name);
            slots.accepts_work = is_fresh && !slots.record.leaving && !is_drained;
        }
    }

    /// Queues a job whose claim was granted and returns its number.
    pub fn submit(&mut self, spec: JobSpec, now: ClockTime) -> JobNumber {
        let number = JobNumber(self.next_job);
        self.next_job += 1;
        self.deadlines.insert((spec.deadline, number));
        self.by_key.insert(spec.key.clone(), number);
        let job = JobRun::new(spec, now);
        let rank = JobRank { n_left: job.n_left(), job: number };
        for (path, tasks) in &job.pending {
            if self.queue.lane(path).is_none() {
                self.queue.set_lane(path, UrgencyClass::Normal, u32::MAX);
            }
            self.queue.add(path, rank, tasks.len());
        }
        for task in &job.spec.tasks {
            if let Some(declared_ms) = task.declared_ms {
                let path = (job.spec.workspace.clone(), task.kind.clone());
                self.estimates.set_initial_estimate(&path, declared_ms);
            }
        }
        let is_empty = job.states.is_empty();
        self.jobs.insert(number, job);
        if is_empty {
            self.end_job(number, Ok(Vec::new()), now);
        }
        self.dispatch(now);
        number
    }

    /// Cancels a job; does nothing when it has ended.
    pub fn cancel(&mut self, key: &JobKey, now: ClockTime) {
        let Some(number) = self.by_key.get(key).copied() else { return };
        let Some(job) = self.jobs.get(&number) else { return };
        let kind =
            if job.n_started == 0 { ErrorKind::CancelledBeforeStart } else { ErrorKind::Cancelled };
        self.fail_job(number, RequestError::new(kind, "the caller cancelled the job"), now);
    }

    /// Handles the report of how a started task ended.
    pub fn handle_task_report(
        &mut self,
        task: TaskRef,
        endpoint: &EndpointName,
        report: TaskReport,
        run_ms: f64,
        now: ClockTime,
    ) {
        let Some(kind) = self.free_slot(task, endpoint) else { return };
        if matches!(report, TaskReport::Done(_)) {
            self.estimates.record_run(&kind, endpoint, run_ms);
            self.quarantine.record_success(endpoint);
        }
        if self.jobs.contains_key(&task.job) {
            self.handle_report(task, endpoint, report, now);
        }
        self.return_requested_slots(endpoint);
        self.dispatch(now);
    }

    fn free_slot(&mut self, task: TaskRef, endpoint: &EndpointName) -> Option<KindPath> {
        let slots = self.endpoints.get_mut(endpoint)?;
        let in_flight_task = slots.in_flight.swap_remove(&task)?;
        if let Some(n_slots) = self.usage.get_mut(&in_flight_task.kind.0) {
            *n_slots = n_slots.saturating_sub(1);
        }
        Some(in_flight_task.kind)
    }

    fn handle_report(
        &mut self,
        task: TaskRef,
        endpoint: &EndpointName,
        report: TaskReport,
        now: ClockTime,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let is_sent = job.states[task.idx as usize] == TaskState::Sent(endpoint.clone());
        check_invariant(Invariant::AnswerMatchesRequest, is_sent);
        job.trace.tasks[task.idx as usize].ended_at = Some(now);
        match report {
            TaskReport::Done(output) => self.handle_output(task, output, now),
            TaskReport::Failed(message) => {
                self.counts.n_failed += 1;
                self.quarantine.record_failure(endpoint, now);
                let message = format!("task {} failed at {endpoint}: {message}", task.idx);
                self.fail_job(task.job, RequestError::new(ErrorKind::TaskFailed, message), now);
            }
            TaskReport::Refused => {
                self.counts.n_refused += 1;
                if let Some(slots) = self.endpoints.get_mut(endpoint) {
                    slots.paused_until = now.plus_ms(REFUSAL_PAUSE_MS);
                }
                self.requeue_unstarted(task);
            }
            TaskReport::NotWritten(_) => {
                self.counts.n_not_written += 1;
                self.quarantine.record_failure(endpoint, now);
                self.requeue_unstarted(task);
            }
            TaskReport::Lost(message) => {
                self.counts.n_lost += 1;
                self.quarantine.record_failure(endpoint, now);
                self.handle_loss(task, endpoint, &message, now);
            }
        }
    }

    fn handle_output(&mut self, task: TaskRef, output: Bytes, now: ClockTime) {
        self.counts.n_done += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let former = JobRank { n_left: job.n_left(), job: task.job };
        job.states[task.idx as usize] = TaskState::Done(output);
        job.n_done += 1;
        let rank = JobRank { n_left: job.n_left(), job: task.job };
        for (path, tasks) in &job.pending {
            if !tasks.is_empty() {
                self.queue.rerank(path, former, rank);
            }
        }
        if rank.n_left == 0 {
            let outputs = job.outputs();
            check_invariant(Invariant::AnswerIsWhole, outputs.is_some());
            self.end_job(task.job, Ok(outputs.unwrap_or_default()), now);
        }
    }

    /// Requeues a task that was proven not to have started; defers it when the retry budget
    /// is spent.
    fn requeue_unstarted(&mut self, task: TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.mark_not_started(task.idx);
        job.trace.tasks[task.idx as usize].n_resent += 1;
        self.counts.n_resent += 1;
        if self.budget.try_spend() {
            self.requeue(task);
            return;
        }
        job.trace.tasks[task.idx as usize].waited_for = Some("the retry budget".to_owned());
        self.deferred_retries.push_back(task);
    }

    fn requeue(&mut self, task: TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let path = job.requeue(task.idx);
        let rank = JobRank { n_left: job.n_left(), job: task.job };
        self.queue.add(&path, rank, 1);
    }

    /// Requeues deferred tasks while the retry budget allows it.
    fn requeue_deferred(&mut self) {
        while self.budget.has_retry() {
            let Some(task) = self.deferred_retries.pop_front() else { return };
            if self.jobs.contains_key(&task.job) && self.budget.try_spend() {
                self.requeue(task);
            }
        }
    }

    fn handle_loss(
        &mut self,
        task: TaskRef,
        endpoint: &EndpointName,
        message: &str,
        now: ClockTime,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.spec.repeat_rule == RepeatRule::Idempotent && self.budget.try_spend() {
            job.begin_new_attempt(task.idx);
            self.counts.n_repeated += 1;
            self.requeue(task);
            return;
        }
        let message = format!("task {} was lost at {endpoint}: {message}", task.idx);
        self.fail_job(task.job, RequestError::new(ErrorKind::EndpointLost, message), now);
    }

    /// Fails a job and cancels its tasks in flight; their reports then only free slots.
    pub(crate) fn fail_job(&mut self, number: JobNumber, error: RequestError, now: ClockTime) {
        let Some(job) = self.jobs.get(&number) else { return };
        let is_true = error.kind.answer().ran != RanState::NotRun || job.n_started == 0;
        check_invariant(Invariant::RefusalIsTrue, is_true);
        let rank = JobRank { n_left: job.n_left(), job: number };
        for (path, tasks) in &job.pending {
            if !tasks.is_empty() {
                self.queue.remove(path, rank, tasks.len(), 0);
            }
        }
        for (endpoint, tasks) in job.sent_tasks() {
            self.cancels.entry(endpoint).or_default().extend(tasks);
        }
        self.end_job(number, Err(error), now);
    }

    fn end_job(
        &mut self,
        number: JobNumber,
        result: Result<Vec<Bytes>, RequestError>,
        now: ClockTime,
    ) {
        let Some(job) = self.jobs.swap_remove(&number) else { return };
        self.deadlines.remove(&(job.spec.deadline, number));
        if self.by_key.get(&job.spec.key) == Some(&number) {
            self.by_key.swap_remove(&job.spec.key);
        }
        let mut trace = job.trace;
        trace.ended_at = Some(now);
        trace.outcome = match &result {
            Ok(_) => "complete".to_owned(),
            Err(error) => error.to_string(),
        };
        self.store_trace(trace);
        self.effects.push(DispatchEffect::Finish(number, result));
    }

    fn store_trace(&mut self, trace: JobTrace) {
        self.n_traced_tasks += trace.tasks.len();
        self.traces.insert(trace.key.clone(), trace);
        if MAX_TRACED_TASKS < self.n_traced_tasks {
            // Drops the older half at once to amortise the cost over many jobs.
            let n_dropped = self.traces.len().div_ceil(2);
            self.traces.drain(..n_dropped);
            self.n_traced_tasks = self.traces.values().map(|it| it.tasks.len()).sum();
        }
    }

    /// Runs timers: deadlines, stall checks, lease expiry and batched cancels.
    pub fn tick(&mut self, now: ClockTime) {
        self.budget.credit_time(now.since_ms(self.ticked_at).min(1_000));
        self.ticked_at = now;
        self.update_accepts_work(now);
        self.expire_jobs(now);
        self.check_stalls(now);
        for slots in self.endpoints.values_mut() {
            slots.lease.expire(now);
        }
        self.record_urgent_demand(now);
        self.requeue_deferred();
        self.flush_cancels();
        self.dispatch(now);
        self.return_idle_slots(now);
    }

    fn record_urgent_demand(&mut self, now: ClockTime) {
        let running: u32 = self.endpoints.values().map(EndpointSlots::n_urgent).sum();
        let lanes = self.queue.lanes().filter(|(_, it)| it.urgency == UrgencyClass::High);
        let n_waiting: usize = lanes.map(|(_, it)| it.n_tasks).sum();
        self.reserve.record_demand(running as usize + n_waiting, now);
    }

    fn expire_jobs(&mut self, now: ClockTime) {
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if now < deadline {
                return;
            }
            self.deadlines.remove(&(deadline, number));
            let n_started = self.jobs.get(&number).map_or(0, |it| it.n_started);
            let kind = if n_started == 0 {
                ErrorKind::DeadlineBeforeStart
            } else {
                ErrorKind::DeadlinePassed
            };
            let message = format!("the deadline passed with {n_started} tasks started");
            self.fail_job(number, RequestError::new(kind, message), now);
        }
    }

    fn check_stalls(&mut self, now: ClockTime) {
        for (name, slots) in &self.endpoints {
            let oldest = slots.in_flight.values().min_by_key(|it| it.started_at);
            let Some(oldest) = oldest else {
                self.quarantine.clear_stall(name, now);
                continue;
            };
            let running_ms = now.since_ms(oldest.started_at) as f64;
            self.quarantine.check_stall(name, running_ms, oldest.expected_ms);
        }
    }

    fn flush_cancels(&mut self) {
        for (endpoint, tasks) in std::mem::take(&mut self.cancels) {
            let Some(slots) = self.endpoints.get(&endpoint) else { continue };
            self.counts.n_cancel_messages += 1;
            let address = slots.record.address.clone();
            self.effects.push(DispatchEffect::CancelTasks(endpoint, address, tasks));
        }
    }
}
