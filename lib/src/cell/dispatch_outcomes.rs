//! What endpoints answer: starts, stops, lists of runs and ends.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect, STALL_SLACK_MS, TaskPhase},
        decision_note::{DecisionNote, NoteEvent},
        endpoint_directory::EndpointRecord,
        endpoint_order::{
            EndpointOrder, ListedEnd, ListedRun, OrderBody, OrderOutcome, OrderRefusal, RunEnd,
            RunLists,
        },
        endpoint_state::{EndpointRun, PendingLook, RunPhase},
        job_offer::{JobVerdict, ResourceRoom, TaskRef},
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
    pub fn take_outcome(&mut self, order: &EndpointOrder, outcome: OrderOutcome, now: ClockTime) {
        let name = &order.endpoint;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let was_answered = match &outcome {
            OrderOutcome::Carried(clock, _) => {
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
            OrderBody::Look { .. } => self.take_look(order, outcome, now),
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
            OrderOutcome::Carried(..) => {
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
                let note = DecisionNote::new(now, NoteEvent::OrderLost, name.as_str(), "start");
                let note = note.about(task.job).with("idx", u64::from(task.idx));
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
        if !matches!(outcome, OrderOutcome::Carried(..)) {
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
            OrderOutcome::Carried(_, lists) => lists.clone().unwrap_or_default(),
            OrderOutcome::Refused(refusal, _) => {
                endpoint.retry_at = now.plus_ms(UNHEALTHY_PAUSE_MS);
                if *refusal == OrderRefusal::OtherLife {
                    endpoint.retry_at = now.plus_ms(OTHER_LIFE_PAUSE_MS);
                }
                return;
            }
            OrderOutcome::NotSent | OrderOutcome::Lost => {
                let note = DecisionNote::new(now, NoteEvent::OrderLost, name.as_str(), "look");
                let note = note.with("silent", u64::from(endpoint.n_silent));
                if endpoint.n_silent <= 2 {
                    self.note(note.with("waited_ms", now.since_ms(look.sent_at)));
                }
                return;
            }
        };
        if let Some(born) = lists.born
            && endpoint.record.born < born
        {
            let record = EndpointRecord { born, ..endpoint.record.clone() };
            endpoint.begin_life(record, now);
            if let OrderOutcome::Carried(clock, _) = outcome {
                endpoint.hear(clock, now);
            }
        }
        endpoint.claim();
        self.is_obeyed = true;
        let OrderBody::Look { cursor, .. } = order.body else { return };
        if endpoint.cursor <= cursor {
            endpoint.owes_cursor = false;
        }
        self.take_lists(name, lists, look, now);
    }

    pub(super) fn take_lists(
        &mut self,
        name: &EndpointName,
        lists: RunLists,
        look: PendingLook,
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
            need: ResourceRoom { cpu: 1, mem_mb: 0, gpu: 0 },
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
            let usual_ms = self.times.usual_ms(&job.offer.route, step.declared_ms);
            if let Some(run) = endpoint.runs.get_mut(&listed.task) {
                run.phase = RunPhase::Working;
                run.need = step.need;
                run.predicted_ms = usual_ms;
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
        let usual_ms = run.predicted_ms * 1000 / factor_milli.max(1);
        endpoint.pace.learn_slowness(total_ms, usual_ms, now);
        let left_ms = total_ms.saturating_sub(worked_ms);
        let free = endpoint.record.name.clone();
        let need = run.need;
        let is_room_elsewhere = self.endpoints.values().any(|it| {
            it.record.name != free
                && it.takes_starts(now)
                && !it.pace.is_slow(now)
                && it.free_room().fits(&need)
        });
        if usual_ms * 2 < left_ms && is_room_elsewhere {
            if let Some(job) = self.jobs.get_mut(&listed.task.job)
                && let Some(task) = job.tasks.iter_mut().find(|it| it.task == listed.task)
            {
                task.avoid = Some(name.clone());
            }
            self.stop_run(name, listed.task, "stalled", now);
        }
    }

    pub(super) fn take_end(&mut self, name: &EndpointName, end: &ListedEnd, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if end.number <= endpoint.cursor {
            return;
        }
        endpoint.cursor = end.number;
        endpoint.owes_cursor = true;
        let Some(run) = self.remove_run(name, end.task, end.run) else {
            self.take_former_end(end, now);
            return;
        };
        let is_own_stop = matches!(run.phase, RunPhase::Stopping { .. });
        match end.end {
            RunEnd::Done => {
                self.learn(name, end.task, &run, now);
                self.finish_task(end.task, now);
            }
            RunEnd::Failed => self.fail_task(end.task, end.run, name, now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken => {
                let proof = if is_own_stop { "stopped" } else { "ended without its work" };
                self.requeue(end.task, end.run, name, proof, now);
            }
        }
    }

    /// An end of a run that a former leader ordered and this one has not seen at work.
    pub(super) fn take_former_end(&mut self, end: &ListedEnd, now: ClockTime) {
        if end.end != RunEnd::Done {
            return;
        }
        let Some(job) = self.jobs.get(&end.task.job) else {
            self.former_done.insert(end.task, now);
            return;
        };
        if job.tasks.iter().any(|it| it.task == end.task && it.phase == TaskPhase::Waiting) {
            self.finish_task(end.task, now);
        }
    }

    pub(super) fn learn(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        run: &EndpointRun,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if endpoint.note_done() {
            let note = DecisionNote::new(now, NoteEvent::EndpointReadmitted, name.as_str(), "done");
            self.effects.push(CellEffect::Note(note));
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        let step = &job.offer.steps[task.step as usize];
        let declared_ms = step.declared_ms;
        let taken_ms = now.since_ms(run.ordered_at).max(1);
        // What it would have taken on its data's rack.
        let run_ms = (taken_ms * 1000 / self.distance_milli(step.data_rack.as_deref())).max(1);
        let usual_ms = self.times.usual_ms(&job.offer.route, declared_ms);
        let mean_milli = self.mean_factor_milli(now);
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let factor_milli = endpoint.pace.factor_milli(now) * 1000 / mean_milli;
        endpoint.pace.learn(run_ms, usual_ms, now);
        self.times.learn(&job.offer.route, run_ms, declared_ms, factor_milli);
    }

    /// Mean factor of the endpoints that are not slow for now, in thousandths.
    ///
    /// Times of routes are those on an average endpoint, so factors are set against it.
    fn mean_factor_milli(&self, now: ClockTime) -> u64 {
        let sound = self.endpoints.values().filter(|it| !it.pace.is_slow(now));
        let factors: Vec<u64> = sound.map(|it| it.pace.factor_milli(now)).collect();
        factors.iter().sum::<u64>().checked_div(factors.len() as u64).unwrap_or(1000).max(1)
    }

    pub(super) fn finish_task(&mut self, task: TaskRef, now: ClockTime) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == task) else { return };
        if known.phase == TaskPhase::Done {
            return;
        }
        known.phase = TaskPhase::Done;
        job.n_left -= 1;
        self.wants_pass = true;
        if job.n_left == 0 {
            self.end_job(task.job, JobVerdict::Completed, now);
        }
    }

    pub(super) fn fail_task(
        &mut self,
        task: TaskRef,
        run: u32,
        name: &EndpointName,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let quarantine_ms = endpoint.note_failure(now);
        let n_in_row = endpoint.n_failed;
        if let Some(span_ms) = quarantine_ms {
            let event = NoteEvent::EndpointQuarantined;
            let note = DecisionNote::new(now, event, name.as_str(), "failures");
            self.note(note.with("span_ms", span_ms).with("failed", u64::from(n_in_row)));
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let max_attempts = job.offer.max_attempts.max(1);
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == task) else { return };
        known.n_failed += 1;
        known.avoid = Some(name.clone());
        let n_failed = known.n_failed;
        let note = DecisionNote::new(now, NoteEvent::TaskFailed, name.as_str(), "failed")
            .about(task.job)
            .with("idx", u64::from(task.idx))
            .with("failed", u64::from(n_failed))
            .with("max_attempts", u64::from(max_attempts));
        self.note(note);
        if n_failed < max_attempts {
            self.requeue(task, run, name, "failed", now);
            return;
        }
        let others: Vec<(EndpointName, TaskRef)> = self.jobs[&task.job]
            .tasks
            .iter()
            .filter_map(|it| match &it.phase {
                TaskPhase::Placed(name) if it.task != task => Some((name.clone(), it.task)),
                _ => None,
            })
            .collect();
        self.end_job(task.job, JobVerdict::Failed, now);
        for (name, task) in others {
            self.stop_run(&name, task, "job failed", now);
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
        let note = DecisionNote::new(now, NoteEvent::TaskStopped, name.as_str(), why);
        let note = note.about(task.job).with("idx", u64::from(task.idx));
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
