//! Runs that take far longer than predicted: their cause, and whether a second start helps.
//!
//! A run straggles because its endpoint is slow, because its task is long, or because it makes
//! no progress at all. A long task is as slow on any endpoint, so stopping its run only discards
//! work; it shows in its siblings, or in a second run that is as slow as the first. Only the
//! other causes justify a second start, which follows once the stop is proved.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, STALL_SLACK_MS, TaskPhase},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_state::{EndpointRun, RunPhase},
        job_offer::TaskRef,
    },
    prelude::*,
};

/// A run straggles beyond this many thousandths of its predicted time at least: the error of
/// predictions is smaller.
const STRAGGLER_MILLI: u64 = 3_000;
/// Quantile of a route's real over predicted times that a straggler exceeds, in thousandths, and
/// the factor on it.
const STRAGGLER_QUANTILE_MILLI: u64 = 990;
const QUANTILE_FACTOR_MILLI: u64 = 1_250;
/// A run counts as slow in comparisons beyond this many thousandths of its predicted time.
const SLOW_RUN_MILLI: u64 = 2_000;
/// A run is stuck if its progress stands still for this share of its predicted time, in
/// thousandths, and [`STALL_SLACK_MS`]: one that takes twelve times as long shows a percent more
/// four times as often.
const STUCK_MILLI: u64 = 500;
/// Second starts of a task whose runs were stuck or on slow endpoints.
const MAX_RESTARTS: u32 = 3;

/// Why a run takes far longer than predicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StragglerCause {
    /// It makes no progress.
    Stuck,
    /// Other runs on its endpoint are slow, too.
    SlowEndpoint,
    /// It is slow on any endpoint.
    LongTask,
    /// Nothing tells the other causes apart.
    Unknown,
}

impl StragglerCause {
    fn name(self) -> &'static str {
        match self {
            StragglerCause::Stuck => "stuck",
            StragglerCause::SlowEndpoint => "slow endpoint",
            StragglerCause::LongTask => "long task",
            StragglerCause::Unknown => "unknown",
        }
    }

    /// Number of second starts of a task for this cause.
    fn max_restarts(self) -> u32 {
        match self {
            StragglerCause::Stuck | StragglerCause::SlowEndpoint => MAX_RESTARTS,
            StragglerCause::Unknown => 1,
            StragglerCause::LongTask => 0,
        }
    }
}

impl EndpointRun {
    /// Estimated run time in all by the progress listed last, in ms.
    fn estimated_ms(&self) -> Option<u64> {
        let listed_at = self.progress.changed_at?;
        Some(listed_at.since_ms(self.since) * 100 / self.progress.percent.max(1))
    }

    fn is_slow(&self) -> bool {
        let limit_ms = SLOW_RUN_MILLI * self.predicted_ms / 1000;
        self.estimated_ms().is_some_and(|it| limit_ms < it)
    }
}

impl CellDispatcher {
    /// Checks a run whose progress was listed: a straggler is stopped if a new run elsewhere
    /// would end sooner.
    pub(super) fn check_straggler(&mut self, name: &EndpointName, task: TaskRef, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get(name) else { return };
        let Some(run) = endpoint.runs.get(&task) else { return };
        let worked_ms = now.since_ms(run.since);
        if worked_ms < run.predicted_ms + STALL_SLACK_MS {
            return;
        }
        let predicted_ms = run.predicted_ms;
        let total_ms = worked_ms * 100 / run.progress.percent.max(1);
        let quantile_milli = self.jobs.get(&task.job).and_then(|it| {
            self.times.ratio_quantile_milli(&it.offer.route, STRAGGLER_QUANTILE_MILLI)
        });
        let by_quantile_milli = quantile_milli.unwrap_or(0) * QUANTILE_FACTOR_MILLI / 1000;
        let limit_milli = STRAGGLER_MILLI.max(by_quantile_milli);
        if total_ms < limit_milli * predicted_ms / 1000 + STALL_SLACK_MS {
            return;
        }
        let cause = self.straggler_cause(name, task, run, now);
        let typical_ms = predicted_ms * 1000 / endpoint.speed.factor_milli(now).max(1);
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            match cause {
                StragglerCause::Stuck | StragglerCause::SlowEndpoint => {
                    endpoint.speed.record_slow_run(total_ms, typical_ms, now);
                }
                // One run is weak evidence against its endpoint.
                StragglerCause::Unknown => endpoint.speed.record_run(total_ms, typical_ms, now),
                StragglerCause::LongTask => {}
            }
        }
        let left_ms = total_ms.saturating_sub(worked_ms);
        let restarts = typical_ms * 2 < left_ms && self.may_restart(name, task, cause, now);
        let record =
            DecisionRecord::new(now, DecisionEvent::RunStraggles, name.as_str(), cause.name())
                .for_job(task.job)
                .with("idx", u64::from(task.idx))
                .with("predicted_ms", predicted_ms)
                .with("worked_ms", worked_ms)
                .with("estimated_ms", total_ms)
                .with("quantile_milli", quantile_milli.unwrap_or(0))
                .with("restarts", u64::from(restarts));
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == task) else { return };
        if restarts {
            known.avoid = Some(name.clone());
            known.n_straggled += 1;
            known.had_slow_run |= cause != StragglerCause::Stuck;
            self.log_decision(record);
            self.stop_run(name, task, "straggles", now);
        } else if cause == StragglerCause::LongTask && !std::mem::replace(&mut job.is_long, true) {
            let critical_path_ms = self.times.critical_path_ms(&job.offer);
            let real_ms = critical_path_ms.max(critical_path_ms * total_ms / predicted_ms.max(1));
            job.due_at = job.submitted_at().plus_ms(job.offer.objective_ms(real_ms));
            job.useful_until = job.submitted_at().plus_ms(job.offer.useful_ms(real_ms));
            self.log_decision(record);
        }
    }

    /// Tells why a run straggles, by its own progress, the other runs on its endpoint, its
    /// siblings elsewhere and its task's former runs.
    fn straggler_cause(
        &self,
        name: &EndpointName,
        task: TaskRef,
        run: &EndpointRun,
        now: ClockTime,
    ) -> StragglerCause {
        let stuck_ms = run.predicted_ms * STUCK_MILLI / 1000 + STALL_SLACK_MS;
        let moved_at = run.progress.changed_at.unwrap_or(run.since);
        if run.progress.percent == 0 || stuck_ms <= now.since_ms(moved_at) {
            return StragglerCause::Stuck;
        }
        let had_slow_run = self
            .jobs
            .get(&task.job)
            .is_some_and(|it| it.tasks.iter().any(|it| it.task == task && it.had_slow_run));
        let is_sibling = |it: &TaskRef| it.job == task.job && it.step == task.step;
        let others = || self.endpoints.iter().filter(|(it, _)| *it != name);
        let mut siblings = others()
            .flat_map(|(_, it)| &it.runs)
            .filter(|(it, run)| is_sibling(it) && run.phase == RunPhase::Working);
        let has_slow_sibling = siblings.any(|(_, run)| run.is_slow());
        if had_slow_run || has_slow_sibling {
            return StragglerCause::LongTask;
        }
        let Some(endpoint) = self.endpoints.get(name) else { return StragglerCause::Unknown };
        let mut strangers = endpoint
            .runs
            .iter()
            .filter(|(it, run)| it.job != task.job && run.phase == RunPhase::Working)
            .filter(|(_, run)| run.estimated_ms().is_some())
            .peekable();
        if strangers.peek().is_some() {
            return match strangers.any(|(_, run)| run.is_slow()) {
                true => StragglerCause::SlowEndpoint,
                false => StragglerCause::LongTask,
            };
        }
        let has_ended_sibling = self.jobs.get(&task.job).is_some_and(|it| {
            it.tasks.iter().any(|it| is_sibling(&it.task) && it.phase == TaskPhase::Done)
        });
        match endpoint.speed.is_slow(now) || has_ended_sibling {
            true => StragglerCause::SlowEndpoint,
            false => StragglerCause::Unknown,
        }
    }

    /// Whether a straggler may get a second start: its task has not had too many, and its
    /// demand fits on another sound endpoint. While tasks wait for capacity, only stuck runs are
    /// started again, as they occupy capacity without any progress.
    fn may_restart(
        &self,
        name: &EndpointName,
        task: TaskRef,
        cause: StragglerCause,
        now: ClockTime,
    ) -> bool {
        let Some(demand) = self.endpoints.get(name).and_then(|it| it.runs.get(&task)) else {
            return false;
        };
        let n_straggled = self.jobs.get(&task.job).and_then(|it| {
            let known = it.tasks.iter().find(|it| it.task == task);
            known.map(|it| it.n_straggled)
        });
        let is_short =
            cause != StragglerCause::Stuck && self.jobs.values().any(|it| it.has_waiting_tasks());
        let fits_elsewhere = self.endpoints.iter().any(|(other, it)| {
            other != name
                && it.accepts_starts(now)
                && !it.speed.is_slow(now)
                && it.free_resources().fits(&demand.demand)
        });
        !is_short && fits_elsewhere && n_straggled.is_some_and(|it| it < cause.max_restarts())
    }
}
