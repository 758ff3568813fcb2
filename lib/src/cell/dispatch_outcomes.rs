//! What endpoints answer: starts, stops, lists of runs and ends.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect, STALL_SLACK_MS, TaskPhase},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_directory::EndpointRecord,
        endpoint_order::{
            EndpointOrder, ListedRun, OrderBody, OrderOutcome, OrderRefusal, RunLists,
        },
        endpoint_state::{EndpointRun, PendingPoll, RunPhase},
        job_offer::{ResourceAmount, TaskRef},
    },
    prelude::*,
};

/// Pause after an order that an endpoint did not answer, in ms.
const SILENT_PAUSE_MS: u64 = 60;

/// Longest such pause, in ms: a dead endpoint costs one order in this time.
const MAX_SILENT_PAUSE_MS: u64 = 500;

/// Pause after another life answered at an endpoint's address, in ms: it announces itself
/// within one to two seconds.
const OTHER_LIFE_PAUSE_MS: u64 = 2_000;

/// Pause after an endpoint said that it is unhealthy, in ms.
const UNHEALTHY_PAUSE_MS: u64 = 250;

/// Step by which a run's number grows past one that an endpoint calls old.
const OLD_RUN_STEP: u32 = 64;

/// A run counts as stalled when it takes this many thousandths of its predicted time:
/// declared times are off by less.
const STALL_MILLI: u64 = 3_000;

impl CellDispatcher {
    /// Takes what became of an order.
    pub fn handle_outcome(&mut self, order: &EndpointOrder, outcome: OrderOutcome, now: ClockTime) {
        let name = &order.endpoint;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let was_answered = match &outcome {
            OrderOutcome::Executed(clock, _) => {
                endpoint.hear(*clock, now);
                true
            }
            OrderOutcome::Refused(_, clock) => {
                if let Some(clock) = clock {
                    endpoint.hear(*clock, now);
                }
                true
            }
            OrderOutcome::NotSent | OrderOutcome::Lost => false,
        };
        if !was_answered {
            endpoint.n_silent += 1;
            let pause_ms = (SILENT_PAUSE_MS << endpoint.n_silent.min(6)) / 2;
            let pause_ms = if endpoint.n_silent <= 1 { 0 } else { pause_ms };
            endpoint.retry_at = now.plus_ms(pause_ms.min(MAX_SILENT_PAUSE_MS));
        }
        match (&outcome, order.token == self.token) {
            (OrderOutcome::Refused(OrderRefusal::Fenced, _), true) => {
                self.is_fenced = true;
                self.effects.push(CellEffect::Fenced);
            }
            (OrderOutcome::Refused(OrderRefusal::OtherLife, _), _) => {
                self.end_runs(name, "another endpoint answers", now);
                if let Some(endpoint) = self.endpoints.get_mut(name) {
                    endpoint.retry_at = now.plus_ms(OTHER_LIFE_PAUSE_MS);
                }
            }
            _ => {}
        }
        match &order.body {
            OrderBody::Start { task, run, .. } => {
                self.take_start(name, *task, *run, &outcome, now);
            }
            OrderBody::Stop { task, run } => self.take_stop(name, *task, *run, &outcome, now),
            OrderBody::Poll { .. } => self.take_look(order, outcome, now),
        }
        self.pass(now);
        if let Some(idx) = self.endpoints.get_index_of(name) {
            self.look(idx, now);
        }
    }

    pub(super) fn take_start(
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
                if matches!(known.phase, RunPhase::Ordered | RunPhase::Doubted) {
                    known.phase = RunPhase::Working;
                    known.since = now;
                }
                endpoint.note_start();
                return;
            }
            OrderOutcome::Lost => {
                if known.phase == RunPhase::Ordered {
                    known.phase = RunPhase::Doubted;
                    known.since = now;
                }
                let note =
                    DecisionRecord::new(now, DecisionEvent::OrderLost, name.as_str(), "start");
                let note = note.for_job(task.job).with("idx", u64::from(task.idx));
                self.note(note.with("run", u64::from(run)));
                return;
            }
            OrderOutcome::NotSent => None,
            OrderOutcome::Refused(refusal, _) => Some(*refusal),
        };
        let is_stopping = matches!(known.phase, RunPhase::Stopping { .. });
        match refusal {
            Some(OrderRefusal::NoRoom) => endpoint.note_no_room(now),
            Some(OrderRefusal::Unhealthy) => {
                endpoint.start_at = now.plus_ms(UNHEALTHY_PAUSE_MS);
                endpoint.on_probation = true;
            }
            Some(OrderRefusal::LateLease) => endpoint.clock = None,
            _ => {}
        }
        // A run that is being stopped stays until its stop is through.
        if is_stopping && refusal.is_none() {
            return;
        }
        self.remove_run(name, task, run);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(known) = job.tasks.iter_mut().find(|it| it.task == task)
            && refusal == Some(OrderRefusal::OldRun)
        {
            known.last_run += OLD_RUN_STEP;
        }
        let proof = match refusal {
            Some(refusal) => format!("refused: {refusal:?}"),
            None => "not sent".to_owned(),
        };
        if refusal == Some(OrderRefusal::Malformed) {
            self.fail_task(task, run, name, now);
        } else {
            self.requeue(task, run, name, &proof, now);
        }
    }

    pub(super) fn take_stop(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        run: u32,
        outcome: &OrderOutcome,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(known) = endpoint.runs.get_mut(&task).filter(|it| it.run == run) else { return };
        let RunPhase::Stopping { acked_at, was_seen } = &mut known.phase else { return };
        if !matches!(outcome, OrderOutcome::Executed(..)) {
            return;
        }
        acked_at.get_or_insert(now);
        if !*was_seen {
            self.remove_run(name, task, run);
            self.requeue(task, run, name, "stopped before it started", now);
        }
    }

    pub(super) fn take_look(
        &mut self,
        order: &EndpointOrder,
        outcome: OrderOutcome,
        now: ClockTime,
    ) {
        let name = &order.endpoint;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(look) = endpoint.look.filter(|it| it.number == order.number) else { return };
        endpoint.look = None;
        let lists = match &outcome {
            OrderOutcome::Executed(_, lists) => lists.clone().unwrap_or_default(),
            OrderOutcome::Refused(refusal, _) => {
                endpoint.retry_at = now.plus_ms(UNHEALTHY_PAUSE_MS);
                if *refusal == OrderRefusal::OtherLife {
                    endpoint.retry_at = now.plus_ms(OTHER_LIFE_PAUSE_MS);
                }
                return;
            }
            OrderOutcome::NotSent | OrderOutcome::Lost => {
                let note =
                    DecisionRecord::new(now, DecisionEvent::OrderLost, name.as_str(), "look");
                let note = note.with("silent", u64::from(endpoint.n_silent));
                if endpoint.n_silent <= 2 {
                    self.note(note.with("waited_ms", now.since_ms(look.sent_at)));
                }
                return;
            }
        };
        if let Some(incarnation) = lists.incarnation
            && endpoint.record.incarnation < incarnation
        {
            let record = EndpointRecord { incarnation, ..endpoint.record.clone() };
            endpoint.begin_life(record, now);
            if let OrderOutcome::Executed(clock, _) = outcome {
                endpoint.hear(clock, now);
            }
        }
        endpoint.claim();
        self.is_token_accepted = true;
        let OrderBody::Poll { cursor, .. } = order.body else { return };
        if endpoint.cursor <= cursor {
            endpoint.owes_cursor = false;
        }
        self.take_lists(name, lists, look, now);
    }

    pub(super) fn take_lists(
        &mut self,
        name: &EndpointName,
        lists: RunLists,
        look: PendingPoll,
        now: ClockTime,
    ) {
        for end in &lists.ended {
            self.take_end(name, end, now);
        }
        for run in &lists.running {
            self.take_listed(name, run, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let is_unlisted = |task: &TaskRef, run: &EndpointRun| {
            run.since < look.sent_at
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

    pub(super) fn take_listed(&mut self, name: &EndpointName, listed: &ListedRun, now: ClockTime) {
        let task = listed.task;
        let is_job_here = self.jobs.contains_key(&task.job);
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else {
            self.take_unknown_run(name, listed, is_job_here, now);
            return;
        };
        match &mut run.phase {
            RunPhase::Ordered | RunPhase::Doubted if run.run == listed.run => {
                run.phase = RunPhase::Working;
                run.since = run.ordered_at;
            }
            RunPhase::Stopping { was_seen, .. } => *was_seen = true,
            RunPhase::Working if run.run == listed.run => self.judge_run(name, listed, now),
            _ => {}
        }
    }

    /// Notes a run that this leader has not ordered, or has given up.
    pub(super) fn take_unknown_run(
        &mut self,
        name: &EndpointName,
        listed: &ListedRun,
        is_job_here: bool,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let run = EndpointRun {
            run: listed.run,
            demand: ResourceAmount { cpu: 1, mem_mb: 0, gpu: 0 },
            phase: RunPhase::Orphan,
            since: now,
            ordered_at: now,
            predicted_ms: 1,
            sent_at: now,
        };
        endpoint.runs.insert(listed.task, run);
        if !is_job_here {
            return;
        }
        let Some(job) = self.jobs.get_mut(&listed.task.job) else { return };
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == listed.task) else { return };
        if known.phase == TaskPhase::Waiting {
            // The job came before this endpoint's list.
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

    /// Stops a run that stalls when a fresh one would end sooner.
    pub(super) fn judge_run(&mut self, name: &EndpointName, listed: &ListedRun, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get(&listed.task) else { return };
        let worked_ms = now.since_ms(run.since);
        let limit_ms = STALL_MILLI * run.predicted_ms / 1000 + STALL_SLACK_MS;
        let total_ms = worked_ms * 100 / listed.percent.max(1);
        if worked_ms < run.predicted_ms + STALL_SLACK_MS || total_ms < limit_ms {
            return;
        }
        let factor_milli = endpoint.pace.factor_milli(now);
        let typical_ms = run.predicted_ms * 1000 / factor_milli.max(1);
        endpoint.pace.record_slow_run(total_ms, typical_ms, now);
        let left_ms = total_ms.saturating_sub(worked_ms);
        let free = endpoint.record.name.clone();
        let demand = run.demand;
        let is_room_elsewhere = self.endpoints.values().any(|it| {
            it.record.name != free
                && it.takes_starts(now)
                && !it.pace.is_slow(now)
                && it.free_room().fits(&demand)
        });
        if typical_ms * 2 < left_ms && is_room_elsewhere {
            if let Some(job) = self.jobs.get_mut(&listed.task.job)
                && let Some(task) = job.tasks.iter_mut().find(|it| it.task == listed.task)
            {
                task.avoid = Some(name.clone());
            }
            self.stop_run(name, listed.task, "stalled", now);
        }
    }

    /// Sends a stop for a run; the task waits until the run is proved to be over.
    pub(super) fn stop_run(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        why: &str,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else { return };
        let was_seen = match run.phase {
            RunPhase::Stopping { .. } => return,
            RunPhase::Working | RunPhase::Orphan | RunPhase::Ordered => why != "not listed",
            RunPhase::Doubted => false,
        };
        run.phase = RunPhase::Stopping { acked_at: None, was_seen };
        run.since = now;
        let number = run.run;
        self.send_stop(name, task, now);
        let note = DecisionRecord::new(now, DecisionEvent::TaskStopped, name.as_str(), why);
        let note = note.for_job(task.job).with("idx", u64::from(task.idx));
        self.note(note.with("run", u64::from(number)));
    }

    pub(super) fn send_stop(&mut self, name: &EndpointName, task: TaskRef, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else { return };
        run.sent_at = now;
        let body = OrderBody::Stop { task, run: run.run };
        self.send_order(name, None, 0, body);
    }
}
