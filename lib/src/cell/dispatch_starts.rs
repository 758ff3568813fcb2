//! Placement passes, starts, and requeueing of tasks whose runs are proved to be over.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, ClosedRun, TaskPhase},
        cell_placement::{self, AwaitedEndpoint, PlacementChoice, PlacementRequest, WaitList},
        decision_record::{DecisionEvent, DecisionRecord},
        dispatch_waits::JobRank,
        endpoint_order::OrderBody,
        endpoint_state::{EndpointRun, EndpointState, RunPhase, RunProgress},
        job_offer::{JobCode, ResourceAmount, TaskRef},
        placement_timeline::PlacementTimeline,
        run_proof::RunProof,
    },
    prelude::*,
};

/// Time for which a closed run is remembered, in ms: an order may be carried out this late.
const CLOSED_RUN_MS: u64 = 20_000;

/// Maximum number of closed runs that are remembered.
const MAX_CLOSED_RUNS: usize = 1_024;

impl CellDispatcher {
    /// Places waiting tasks in rank order, if anything has changed since the last pass.
    pub(super) fn run_placement_pass(&mut self, now: ClockTime) {
        if self.is_fenced || !std::mem::take(&mut self.needs_placement_pass) {
            return;
        }
        let mut timeline = PlacementTimeline::new(&self.endpoints, now);
        if !timeline.accepts_starts() {
            return;
        }
        let are_known = self.former_runs_are_known(now);
        let order = self.ranked_waiting(now);
        let smallest = self.smallest_demands(&order);
        let mut largest = timeline.max_free();
        for ((_, code), smallest) in order.iter().zip(&smallest) {
            // Reservations matter only to jobs of a lower rank that may start now.
            if !largest.fits(smallest) {
                break;
            }
            let job = &self.jobs[code];
            // A former leader has got no keep-alive since, so it has let the lease of the job's runs
            // end.
            let is_over = self.bounds.runs_over_ms() <= now.since_ms(job.arrived_at);
            let may_start = are_known || is_over || !job.offer.is_repeat;
            if !may_start {
                continue;
            }
            let last_order = self.next_order;
            self.place_job(*code, &mut timeline, now);
            if last_order < self.next_order {
                largest = timeline.max_free();
            }
        }
    }

    /// Least demand of any waiting task of each job and those of a lower rank.
    fn smallest_demands(&self, order: &[(JobRank, JobCode)]) -> Vec<ResourceAmount> {
        let unlimited = ResourceAmount { cpu: u64::MAX, mem_mb: u64::MAX, gpu: u64::MAX };
        let mut smallest = vec![unlimited; order.len()];
        let mut least = unlimited;
        for ((_, code), demand) in order.iter().zip(&mut smallest).rev() {
            least = self.jobs[code].waiting_demands().fold(least, |least, it| least.min(it));
            *demand = least;
        }
        smallest
    }

    /// Whether every endpoint that a former leader may have used has listed its runs.
    pub(super) fn former_runs_are_known(&self, now: ClockTime) -> bool {
        let is_known = |it: &EndpointState| it.claimed || it.is_displaced_for_good(now);
        self.endpoints_are_known && self.endpoints.values().all(is_known)
    }

    pub(super) fn place_job(
        &mut self,
        code: JobCode,
        timeline: &mut PlacementTimeline,
        now: ClockTime,
    ) {
        let Some(job) = self.jobs.get(&code) else { return };
        let mut ready = Vec::new();
        for (idx, task) in job.tasks.iter().enumerate() {
            if task.phase == TaskPhase::Waiting && job.step_is_ready(task.task.step) {
                ready.push(idx);
            }
        }
        let mut waits = WaitList::default();
        for idx in ready {
            let Some(job) = self.jobs.get(&code) else { return };
            let task = &job.tasks[idx];
            let step = &job.offer.steps[task.task.step as usize];
            let typical_ms = self.times.typical_ms(&job.offer.route, step.declared_ms)
                * self.locality_factor_milli(step.data_rack.as_deref())
                / 1000;
            // A sole endpoint is used again even after a failure.
            let n_present = self.endpoints.values().filter(|it| it.departed_at.is_none()).count();
            let avoid = task.avoid.as_ref().filter(|_| 1 < n_present);
            let due_at = job.due_at;
            let request = PlacementRequest { task: task.task, step, typical_ms, due_at, avoid };
            let demand = step.demand;
            let endpoints = &self.endpoints;
            match cell_placement::choose_endpoint(&request, endpoints, timeline, &mut waits, now) {
                PlacementChoice::Start(index, predicted_ms) => {
                    let Some((name, _)) = endpoints.get_index(index) else { return };
                    let name = name.clone();
                    self.start_task(code, idx, &name, predicted_ms, now);
                    let endpoint = &self.endpoints[index];
                    let reserved_in_ms =
                        timeline.record_start(index, &demand, predicted_ms, endpoint, now);
                    if let Some(starts_in_ms) = reserved_in_ms {
                        self.log_backfill(code, &name, predicted_ms, starts_in_ms, now);
                    }
                }
                PlacementChoice::Wait(awaited) => {
                    if timeline.reserve(code, &awaited) {
                        self.log_reservation(code, &awaited, now);
                    }
                }
                PlacementChoice::Nowhere => return,
            }
        }
    }

    /// Logs the first reservation of a job.
    fn log_reservation(&mut self, code: JobCode, awaited: &AwaitedEndpoint, now: ClockTime) {
        let Some(job) = self.jobs.get_mut(&code) else { return };
        if std::mem::replace(&mut job.was_reserved, true) {
            return;
        }
        let Some((name, _)) = self.endpoints.get_index(awaited.index) else { return };
        let event = DecisionEvent::TaskReserved;
        let record = DecisionRecord::new(now, event, name.as_str(), "blocked")
            .for_job(code)
            .with("starts_in_ms", awaited.starts_in_ms)
            .with("spare_cpu", awaited.spare.cpu);
        self.log_decision(record);
    }

    fn log_backfill(
        &mut self,
        code: JobCode,
        name: &EndpointName,
        predicted_ms: u64,
        starts_in_ms: u64,
        now: ClockTime,
    ) {
        let outcome = if predicted_ms <= starts_in_ms { "ends before" } else { "fits beside" };
        let record =
            DecisionRecord::new(now, DecisionEvent::TaskBackfilled, name.as_str(), outcome)
                .for_job(code)
                .with("predicted_ms", predicted_ms)
                .with("starts_in_ms", starts_in_ms);
        self.log_decision(record);
    }

    pub(super) fn start_task(
        &mut self,
        code: JobCode,
        idx: usize,
        name: &EndpointName,
        predicted_ms: u64,
        now: ClockTime,
    ) {
        let unvouched_ms = self.bounds.unvouched_ms();
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(job) = self.jobs.get_mut(&code) else { return };
        let vouched_until = job.last_keep_alive_at.plus_ms(unvouched_ms);
        endpoint.lease_limit = endpoint.lease_limit.min(vouched_until);
        check_invariant(Invariant::EndpointAcceptsWork, !endpoint.record.leaving);
        let lease_until = endpoint.extend_lease(now);
        let task = &mut job.tasks[idx];
        check_invariant(Invariant::TaskStartsOnce, task.phase == TaskPhase::Waiting);
        task.last_run += 1;
        task.phase = TaskPhase::Placed(name.clone());
        let waited_ms = (!job.may_have_run).then(|| now.since_ms(job.arrived_at));
        let forecast_ms = job.forecast_ms;
        job.may_have_run = true;
        let demand = job.offer.steps[task.task.step as usize].demand;
        let run = EndpointRun {
            run: task.last_run,
            demand,
            phase: RunPhase::Ordered,
            was_answered: false,
            since: now,
            ordered_at: now,
            predicted_ms,
            progress: RunProgress::default(),
            sent_at: now,
        };
        let free = endpoint.free_resources();
        endpoint.runs.insert(task.task, run);
        let body =
            OrderBody::Start { task: task.task, run: task.last_run, spec: job.offer.spec.clone() };
        let record = DecisionRecord::new(now, DecisionEvent::TaskPlaced, name.as_str(), "ordered")
            .for_job(code)
            .with("step", u64::from(task.task.step))
            .with("idx", u64::from(task.task.idx))
            .with("run", u64::from(task.last_run))
            .with("predicted_ms", predicted_ms)
            .with("free_cpu", free.cpu)
            .with("age_ms", now.since_ms(job.arrived_at) + job.offer.age_ms);
        let record = match waited_ms {
            Some(waited_ms) => record.with("waited_ms", waited_ms).with("forecast_ms", forecast_ms),
            None => record,
        };
        self.send_order(name, lease_until, 0, body);
        self.log_decision(record);
    }

    /// Requeues the task of a run that is over or never began.
    pub(super) fn requeue(
        &mut self,
        task: TaskRef,
        run: &EndpointRun,
        name: &EndpointName,
        proof: RunProof,
        now: ClockTime,
    ) {
        if !matches!(proof, RunProof::Ended(_) | RunProof::Refused(_) | RunProof::NotSent) {
            self.remember_closed_run(task, run.run, name, proof, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == task) else { return };
        if known.phase != TaskPhase::Placed(name.clone()) {
            return;
        }
        known.phase = TaskPhase::Waiting;
        let event = DecisionEvent::TaskRequeued;
        let record = DecisionRecord::new(now, event, name.as_str(), proof.name())
            .for_job(task.job)
            .with("idx", u64::from(task.idx))
            .with("run", u64::from(run.run))
            .with("answered", u64::from(run.was_answered))
            .with("ordered_ms", now.since_ms(run.ordered_at));
        self.log_decision(record);
        self.needs_placement_pass = true;
    }

    fn remember_closed_run(
        &mut self,
        task: TaskRef,
        run: u32,
        name: &EndpointName,
        proof: RunProof,
        now: ClockTime,
    ) {
        if MAX_CLOSED_RUNS <= self.closed_runs.len() {
            self.closed_runs.shift_remove_index(0);
        }
        let closed = ClosedRun { run, proof, closed_at: now };
        self.closed_runs.insert((name.clone(), task), closed);
    }

    pub(super) fn expire_closed_runs(&mut self, now: ClockTime) {
        self.closed_runs.retain(|_, it| now.since_ms(it.closed_at) < CLOSED_RUN_MS);
    }

    /// Reports a run that an endpoint lists although it counted as over.
    pub(super) fn check_closed_run(
        &mut self,
        task: TaskRef,
        run: u32,
        name: &EndpointName,
        now: ClockTime,
    ) {
        let key = (name.clone(), task);
        if self.closed_runs.get(&key).is_none_or(|it| it.run != run) {
            return;
        }
        let Some(closed) = self.closed_runs.swap_remove(&key) else { return };
        let event = DecisionEvent::RunReappeared;
        let record = DecisionRecord::new(now, event, name.as_str(), closed.proof.name())
            .for_job(task.job)
            .with("idx", u64::from(task.idx))
            .with("run", u64::from(run))
            .with("closed_ms", now.since_ms(closed.closed_at));
        self.log_decision(record);
    }

    /// Removes a run from its endpoint.
    pub(super) fn remove_run(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        run: u32,
    ) -> Option<EndpointRun> {
        let endpoint = self.endpoints.get_mut(name)?;
        if endpoint.runs.get(&task)?.run != run {
            return None;
        }
        self.needs_placement_pass = true;
        endpoint.runs.swap_remove(&task)
    }
}
