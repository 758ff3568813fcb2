//! Handles ended runs: updates the task, its job, run time predictions and endpoint health.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect, TaskPhase},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_order::{ListedEnd, RunEnd},
        endpoint_state::EndpointRun,
        job_offer::{JobResult, TaskRef},
        run_proof::RunProof,
    },
    prelude::*,
};

impl CellDispatcher {
    pub(super) fn handle_end(&mut self, name: &EndpointName, end: &ListedEnd, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if end.number <= endpoint.cursor {
            return;
        }
        endpoint.cursor = end.number;
        endpoint.owes_cursor = true;
        let Some(run) = self.remove_run(name, end.task, end.run) else {
            self.handle_former_end(end, now);
            return;
        };
        match end.end {
            RunEnd::Done => {
                self.record_run_time(name, end.task, &run, now);
                self.finish_task(end.task, now);
            }
            RunEnd::Failed => self.fail_task(end.task, &run, name, RunProof::Ended(end.end), now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken => {
                self.requeue(end.task, &run, name, RunProof::Ended(end.end), now);
            }
        }
    }

    /// Handles the end of a run that a former leader started and this one never saw running.
    pub(super) fn handle_former_end(&mut self, end: &ListedEnd, now: ClockTime) {
        if end.end != RunEnd::Done {
            return;
        }
        let Some(job) = self.jobs.get(&end.task.job) else {
            self.done_before_offer.insert(end.task, now);
            return;
        };
        if job.tasks.iter().any(|it| it.task == end.task && it.phase == TaskPhase::Waiting) {
            self.finish_task(end.task, now);
        }
    }

    pub(super) fn record_run_time(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        run: &EndpointRun,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if endpoint.record_success() {
            let record =
                DecisionRecord::new(now, DecisionEvent::EndpointReadmitted, name.as_str(), "done");
            self.effects.push(CellEffect::LogDecision(record));
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        let step = &job.offer.steps[task.step as usize];
        let declared_ms = step.declared_ms;
        let taken_ms = now.since_ms(run.ordered_at).max(1);
        // Run time in the rack of its data.
        let run_ms =
            (taken_ms * 1000 / self.locality_factor_milli(step.data_rack.as_deref())).max(1);
        let typical_ms = self.times.typical_ms(&job.offer.route, declared_ms);
        self.rates.add_end(typical_ms * run.demand.cpu);
        let mean_milli = self.mean_factor_milli(now);
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let factor_milli = endpoint.speed.factor_milli(now) * 1000 / mean_milli;
        endpoint.speed.record_run(run_ms, typical_ms, now);
        self.times.record_run(&job.offer.route, run_ms, declared_ms, factor_milli);
    }

    /// Mean speed factor of the endpoints that are not slow now, in thousandths.
    ///
    /// Typical times refer to an average endpoint, so factors are divided by this mean.
    fn mean_factor_milli(&self, now: ClockTime) -> u64 {
        let not_slow = self.endpoints.values().filter(|it| !it.speed.is_slow(now));
        let factors: Vec<u64> = not_slow.map(|it| it.speed.factor_milli(now)).collect();
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
        self.needs_placement_pass = true;
        if job.n_left == 0 {
            self.end_job(task.job, JobResult::Completed, now);
        }
    }

    pub(super) fn fail_task(
        &mut self,
        task: TaskRef,
        run: &EndpointRun,
        name: &EndpointName,
        proof: RunProof,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let quarantine_ms = endpoint.record_failure(now);
        let n_in_row = endpoint.n_failed;
        if let Some(span_ms) = quarantine_ms {
            let event = DecisionEvent::EndpointQuarantined;
            let record = DecisionRecord::new(now, event, name.as_str(), "failures");
            self.log_decision(record.with("span_ms", span_ms).with("failed", u64::from(n_in_row)));
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let max_attempts = job.offer.max_attempts.max(1);
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == task) else { return };
        known.n_failed += 1;
        known.avoid = Some(name.clone());
        let n_failed = known.n_failed;
        let record = DecisionRecord::new(now, DecisionEvent::TaskFailed, name.as_str(), "failed")
            .for_job(task.job)
            .with("idx", u64::from(task.idx))
            .with("failed", u64::from(n_failed))
            .with("max_attempts", u64::from(max_attempts));
        self.log_decision(record);
        if n_failed < max_attempts {
            self.requeue(task, run, name, proof, now);
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
        self.end_job(task.job, JobResult::Failed, now);
        for (name, task) in others {
            self.stop_run(&name, task, "job failed", now);
        }
    }
}
