//! Handles outcomes of orders: starts, stops, and the run lists that polls return.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect, TaskPhase},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_order::{
            EndpointOrder, ListedRun, OrderBody, OrderOutcome, OrderRefusal, RunLists,
        },
        endpoint_state::{EndpointRun, PendingPoll, RunPhase, RunProgress},
        job_offer::{ResourceAmount, TaskRef},
        run_proof::RunProof,
    },
    prelude::*,
};

/// Initial backoff after repeatedly unanswered orders, in ms.
const UNANSWERED_PAUSE_MS: u64 = 60;

/// Longest backoff, in ms: a dead endpoint costs one order per this time.
const MAX_UNANSWERED_PAUSE_MS: u64 = 500;

/// Pause after another incarnation answered at an endpoint's address, in ms: it announces
/// itself within one to two seconds.
const OTHER_INCARNATION_PAUSE_MS: u64 = 2_000;

/// Pause after an endpoint reported itself unhealthy, in ms.
const UNHEALTHY_PAUSE_MS: u64 = 250;

/// Added to a task's run number after an endpoint refused it as old.
const OLD_RUN_STEP: u32 = 64;

impl CellDispatcher {
    /// Handles the outcome of an order.
    pub fn handle_outcome(&mut self, order: &EndpointOrder, outcome: OrderOutcome, now: ClockTime) {
        let name = &order.endpoint;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if !matches!(order.body, OrderBody::Poll { .. })
            && let OrderOutcome::Executed(_, Some(RunLists { incarnation: Some(it), .. })) = outcome
            && endpoint.record.incarnation < it
        {
            self.handle_other_incarnation(order, it, now);
            return;
        }
        if let OrderOutcome::OtherIncarnation(incarnation) = outcome {
            self.handle_unsent_start(order, incarnation, now);
            return;
        }
        if order.token < endpoint.token {
            self.handle_former_outcome(order, &outcome, now);
            return;
        }
        let was_answered = match &outcome {
            OrderOutcome::Executed(clock, _) => {
                endpoint.record_contact(*clock, now);
                true
            }
            // Another endpoint has answered. Its clock says nothing about the leases of this one.
            OrderOutcome::Refused(OrderRefusal::OtherLife, _) => false,
            // It has left for another cell, whose leader it obeys.
            OrderOutcome::Refused(OrderRefusal::Fenced, _) if endpoint.departed_at.is_some() => {
                false
            }
            OrderOutcome::Refused(_, clock) => {
                // A refusal names no incarnation. After a silence, another one may have answered, and
                // only a poll tells.
                if let Some(clock) = clock
                    && endpoint.n_unanswered == 0
                {
                    endpoint.record_contact(*clock, now);
                }
                true
            }
            OrderOutcome::NotSent | OrderOutcome::OtherIncarnation(_) | OrderOutcome::Lost => false,
        };
        if !was_answered {
            endpoint.n_unanswered += 1;
            let pause_ms = (UNANSWERED_PAUSE_MS << endpoint.n_unanswered.min(6)) / 2;
            let pause_ms = if endpoint.n_unanswered <= 1 { 0 } else { pause_ms };
            endpoint.retry_at = now.plus_ms(pause_ms.min(MAX_UNANSWERED_PAUSE_MS));
        }
        match &outcome {
            OrderOutcome::Refused(OrderRefusal::Fenced, _) if endpoint.departed_at.is_none() => {
                self.is_fenced = true;
                self.effects.push(CellEffect::Fenced);
            }
            OrderOutcome::Refused(OrderRefusal::OtherLife, _) => {
                // The endpoint may have moved, so its runs go on until their lease expires.
                endpoint.record_displaced(now.plus_ms(OTHER_INCARNATION_PAUSE_MS));
            }
            _ => {}
        }
        match &order.body {
            OrderBody::Start { task, run, .. } => {
                self.handle_start_outcome(name, *task, *run, &outcome, now);
            }
            OrderBody::Stop { task, run } => {
                self.handle_stop_outcome(name, *task, *run, &outcome, now)
            }
            OrderBody::Poll { .. } => self.handle_poll_outcome(order, outcome, now),
        }
        self.run_placement_pass(now);
        if let Some(idx) = self.endpoints.get_index_of(name) {
            self.poll(idx, now);
        }
    }

    /// Handles the outcome of an order whose token has been raised since, because its endpoint
    /// was silent or began another incarnation.
    ///
    /// The answer may have come from a former incarnation, and has that one's clock. Only a
    /// refusal proves something: the refused start reaches no other incarnation.
    fn handle_former_outcome(
        &mut self,
        order: &EndpointOrder,
        outcome: &OrderOutcome,
        now: ClockTime,
    ) {
        if let OrderBody::Start { task, run, .. } = order.body
            && matches!(outcome, OrderOutcome::Refused(..) | OrderOutcome::NotSent)
        {
            self.handle_start_outcome(&order.endpoint, task, run, outcome, now);
            self.run_placement_pass(now);
        }
    }

    pub(super) fn handle_start_outcome(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        run: u32,
        outcome: &OrderOutcome,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(known) = endpoint.runs.get_mut(&task).filter(|it| it.run == run) else { return };
        let refusal = match outcome {
            OrderOutcome::Executed(..) => {
                known.was_answered = true;
                if matches!(known.phase, RunPhase::Ordered | RunPhase::Doubted) {
                    known.phase = RunPhase::Working;
                    known.since = now;
                }
                endpoint.record_start();
                return;
            }
            OrderOutcome::Lost => {
                if known.phase == RunPhase::Ordered {
                    known.phase = RunPhase::Doubted;
                    known.since = now;
                }
                let record =
                    DecisionRecord::new(now, DecisionEvent::OrderLost, name.as_str(), "start");
                let record = record.for_job(task.job).with("idx", u64::from(task.idx));
                self.log_decision(record.with("run", u64::from(run)));
                return;
            }
            OrderOutcome::NotSent | OrderOutcome::OtherIncarnation(_) => None,
            OrderOutcome::Refused(refusal, _) => Some(*refusal),
        };
        let is_stopping = matches!(known.phase, RunPhase::Stopping { .. });
        match refusal {
            Some(OrderRefusal::NoRoom) => endpoint.record_no_room(now),
            Some(OrderRefusal::Unhealthy) => {
                endpoint.start_at = now.plus_ms(UNHEALTHY_PAUSE_MS);
                endpoint.on_probation = true;
            }
            Some(OrderRefusal::LateLease) => endpoint.clock = None,
            _ => {}
        }
        // A run that is being stopped is kept until its stop is confirmed.
        if is_stopping && refusal.is_none() {
            return;
        }
        let Some(run) = self.remove_run(name, task, run) else { return };
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(known) = job.tasks.iter_mut().find(|it| it.task == task)
            && refusal == Some(OrderRefusal::OldRun)
        {
            known.last_run += OLD_RUN_STEP;
        }
        let proof = refusal.map_or(RunProof::NotSent, RunProof::Refused);
        if refusal == Some(OrderRefusal::Malformed) {
            self.fail_task(task, &run, name, proof, now);
        } else {
            self.requeue(task, &run, name, proof, now);
        }
    }

    /// Handles a start that was not sent, as another incarnation answers at the endpoint's address than
    /// the one that the start was decided for.
    fn handle_unsent_start(&mut self, order: &EndpointOrder, incarnation: u64, now: ClockTime) {
        let name = &order.endpoint;
        let OrderBody::Start { task, run, .. } = order.body else { return };
        let event = DecisionEvent::StartWithheld;
        let record = DecisionRecord::new(now, event, name.as_str(), "another incarnation answers")
            .for_job(task.job)
            .with("idx", u64::from(task.idx))
            .with("run", u64::from(run))
            .with("decided_for", order.incarnation)
            .with("answered", incarnation);
        self.log_decision(record);
        // The run ends before the incarnation begins, which would keep it in doubt.
        self.handle_start_outcome(name, task, run, &OrderOutcome::NotSent, now);
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if endpoint.record.incarnation < incarnation {
            self.begin_unannounced(name, incarnation, now);
        } else if incarnation < endpoint.record.incarnation {
            // Each further start would be withheld as well until the announced incarnation answers.
            endpoint.start_at = endpoint.start_at.max(now.plus_ms(OTHER_INCARNATION_PAUSE_MS));
        }
        self.run_placement_pass(now);
        if let Some(idx) = self.endpoints.get_index_of(name) {
            self.poll(idx, now);
        }
    }

    /// Handles a start or a stop that another incarnation carried out than the one that it was decided
    /// for, which may be of another kind: a run that began there is stopped. No order can name the
    /// incarnation, as an endpoint that starts again keeps its name.
    fn handle_other_incarnation(
        &mut self,
        order: &EndpointOrder,
        incarnation: u64,
        now: ClockTime,
    ) {
        let name = &order.endpoint;
        self.begin_unannounced(name, incarnation, now);
        let Some(endpoint) = self.endpoints.get(name) else { return };
        if let OrderBody::Start { task, run, .. } = order.body
            && endpoint.runs.get(&task).is_some_and(|it| it.run == run)
        {
            self.stop_run(name, task, "another incarnation began it", now);
        }
        if let Some(idx) = self.endpoints.get_index_of(name) {
            self.poll(idx, now);
        }
    }

    pub(super) fn handle_stop_outcome(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        run: u32,
        outcome: &OrderOutcome,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(known) = endpoint.runs.get_mut(&task).filter(|it| it.run == run) else { return };
        let RunPhase::Stopping { acked_at } = &mut known.phase else { return };
        if matches!(outcome, OrderOutcome::Executed(..)) {
            acked_at.get_or_insert(now);
        }
    }

    pub(super) fn handle_poll_outcome(
        &mut self,
        order: &EndpointOrder,
        outcome: OrderOutcome,
        now: ClockTime,
    ) {
        let name = &order.endpoint;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(poll) = endpoint.poll.filter(|it| it.number == order.number) else { return };
        endpoint.poll = None;
        let lists = match &outcome {
            OrderOutcome::Executed(_, lists) => lists.clone().unwrap_or_default(),
            OrderOutcome::Refused(refusal, _) => {
                endpoint.retry_at = now.plus_ms(UNHEALTHY_PAUSE_MS);
                if *refusal == OrderRefusal::OtherLife {
                    endpoint.retry_at = now.plus_ms(OTHER_INCARNATION_PAUSE_MS);
                }
                return;
            }
            OrderOutcome::NotSent | OrderOutcome::OtherIncarnation(_) | OrderOutcome::Lost => {
                let record =
                    DecisionRecord::new(now, DecisionEvent::OrderLost, name.as_str(), "look");
                let record = record.with("silent", u64::from(endpoint.n_unanswered));
                if endpoint.n_unanswered <= 2 {
                    self.log_decision(record.with("waited_ms", now.since_ms(poll.sent_at)));
                }
                return;
            }
        };
        if let Some(incarnation) = lists.incarnation
            && endpoint.record.incarnation < incarnation
        {
            // The poll carried a token that was sent to the former incarnation as well.
            self.begin_unannounced(name, incarnation, now);
            return;
        }
        endpoint.claim();
        self.is_token_accepted = true;
        let OrderBody::Poll { cursor, .. } = order.body else { return };
        if endpoint.cursor <= cursor {
            endpoint.owes_cursor = false;
        }
        self.handle_run_lists(name, lists, poll, now);
    }

    pub(super) fn handle_run_lists(
        &mut self,
        name: &EndpointName,
        lists: RunLists,
        poll: PendingPoll,
        now: ClockTime,
    ) {
        for end in &lists.ended {
            self.handle_end(name, end, now);
        }
        for run in &lists.running {
            self.handle_listed_run(name, run, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let is_unlisted = |task: &TaskRef, run: &EndpointRun| {
            run.since < poll.sent_at
                && matches!(run.phase, RunPhase::Working | RunPhase::Doubted | RunPhase::Orphan)
                && !lists.running.iter().any(|it| it.task == *task && it.run == run.run)
        };
        let unlisted: Vec<TaskRef> = endpoint
            .runs
            .iter()
            .filter(|(task, run)| is_unlisted(task, run))
            .map(|(task, _)| *task)
            .collect();
        for task in unlisted {
            self.stop_run(name, task, "not listed", now);
        }
    }

    pub(super) fn handle_listed_run(
        &mut self,
        name: &EndpointName,
        listed: &ListedRun,
        now: ClockTime,
    ) {
        let task = listed.task;
        let is_job_here = self.jobs.contains_key(&task.job);
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else {
            self.handle_unknown_run(name, listed, is_job_here, now);
            return;
        };
        run.was_answered |= run.run == listed.run;
        match &mut run.phase {
            RunPhase::Ordered | RunPhase::Doubted if run.run == listed.run => {
                run.phase = RunPhase::Working;
                run.since = run.ordered_at;
            }
            RunPhase::Working if run.run == listed.run => {
                run.progress = run.progress.update(listed.percent, now);
                self.check_straggler(name, task, now);
            }
            _ => {}
        }
    }

    /// Largest demand of the known jobs' tasks, in each resource: a run that no job claims counts with
    /// it. Counting it too large leaves room unused only until it is claimed or over.
    fn largest_demand(&self) -> Option<ResourceAmount> {
        let steps = self.jobs.values().flat_map(|it| &it.offer.steps);
        steps.map(|it| it.demand).reduce(|lhs, rhs| ResourceAmount {
            cpu: lhs.cpu.max(rhs.cpu),
            mem_mb: lhs.mem_mb.max(rhs.mem_mb),
            gpu: lhs.gpu.max(rhs.gpu),
        })
    }

    /// Handles a run that this leader did not start or no longer tracks.
    pub(super) fn handle_unknown_run(
        &mut self,
        name: &EndpointName,
        listed: &ListedRun,
        is_job_here: bool,
        now: ClockTime,
    ) {
        self.check_closed_run(listed.task, listed.run, name, now);
        let largest = self.largest_demand();
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let run = EndpointRun {
            run: listed.run,
            demand: largest.unwrap_or(endpoint.record.capacity),
            phase: RunPhase::Orphan,
            was_answered: true,
            since: now,
            ordered_at: now,
            predicted_ms: 1,
            progress: RunProgress::default(),
            sent_at: now,
        };
        endpoint.runs.insert(listed.task, run);
        if !is_job_here {
            return;
        }
        let Some(job) = self.jobs.get_mut(&listed.task.job) else { return };
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == listed.task) else { return };
        if known.phase == TaskPhase::Waiting {
            // The job was offered before this endpoint listed its runs.
            known.phase = TaskPhase::Placed(name.clone());
            known.last_run = known.last_run.max(listed.run);
            let step = &job.offer.steps[listed.task.step as usize];
            let typical_ms = self.times.typical_ms(&job.offer.route, step.declared_ms);
            if let Some(run) = endpoint.runs.get_mut(&listed.task) {
                run.phase = RunPhase::Working;
                run.demand = step.demand;
                run.predicted_ms = typical_ms;
            }
        } else {
            self.stop_run(name, listed.task, "a second run", now);
        }
    }

    /// Stops a run; its task is requeued only once the run is proved to be over.
    pub(super) fn stop_run(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        why: &str,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else { return };
        if matches!(run.phase, RunPhase::Stopping { .. }) {
            return;
        }
        run.phase = RunPhase::Stopping { acked_at: None };
        run.since = now;
        let record = DecisionRecord::new(now, DecisionEvent::TaskStopped, name.as_str(), why)
            .for_job(task.job)
            .with("idx", u64::from(task.idx))
            .with("run", u64::from(run.run))
            .with("answered", u64::from(run.was_answered));
        self.send_stop(name, task, now);
        self.log_decision(record);
    }

    pub(super) fn send_stop(&mut self, name: &EndpointName, task: TaskRef, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else { return };
        run.sent_at = now;
        let body = OrderBody::Stop { task, run: run.run };
        self.send_order(name, None, 0, body);
    }
}
