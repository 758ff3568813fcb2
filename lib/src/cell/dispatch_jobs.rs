//! Job lifecycle at the leader: offers, adoption of runs, refusal, cancellation and results.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::{
    cell::{
        cell_dispatcher::{CachedResult, CellDispatcher, CellEffect, CellJob, CellTask, TaskPhase},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_state::RunPhase,
        job_offer::{JobCode, JobOffer, JobResult, RefusalCause, TaskRef},
        service_shares::ServiceOutcome,
        wait_forecast::WaitForecast,
    },
    prelude::*,
};

/// A job is cancelled this long before the leases of its runs end for want of a keep-alive, in ms,
/// so that its tasks are not started under a lease that is about to end.
const CANCEL_MARGIN_MS: u64 = 100;

/// Maximum number of cached results.
const MAX_CACHED_RESULTS: usize = 4_096;

/// How long a result is cached, in ms: the longest delay of a repeated offer.
const RESULT_CACHE_MS: u64 = 20_000;

/// Bounds of the retry delay that a refused caller is given, in ms.
const RETRY_AFTER_MS: (u64, u64) = (200, 3_000);

impl CellDispatcher {
    /// Handles an offer from `origin`: accepts, refuses or returns the job, or joins it if known.
    pub fn handle_offer(&mut self, origin: &VmName, offer: JobOffer, now: ClockTime) {
        self.handle_offer_sent_at(origin, offer, now, now);
    }

    /// Handles an offer that was sent at `sent_at`, on this VM's clock.
    pub fn handle_offer_sent_at(
        &mut self,
        origin: &VmName,
        offer: JobOffer,
        sent_at: ClockTime,
        now: ClockTime,
    ) {
        let code = offer.job;
        if self.jobs.get(&code).is_some_and(|it| it.offer.route != offer.route) {
            if offer.is_repeat {
                let result = JobResult::Declined;
                let effect = CellEffect::ReportResult(origin.clone(), code, offer.number, result);
                self.effects.push(effect);
                return;
            }
            let job = self.new_job(origin, offer, now);
            self.refuse(&job, RefusalCause::SameId, 0, now);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&code) {
            job.origin = origin.clone();
            job.last_keep_alive_at = job.last_keep_alive_at.max(sent_at);
            job.offer.number = offer.number;
            job.caller_deadline = job.caller_deadline.max(now.plus_ms(offer.remaining_ms));
            let record =
                DecisionRecord::new(now, DecisionEvent::JobAttached, origin.as_str(), "at work");
            self.log_decision(record.for_job(code));
            return;
        }
        if let Some((route, result)) = self.results.get(&code).cloned()
            && route == offer.route
        {
            let record =
                DecisionRecord::new(now, DecisionEvent::JobAttached, origin.as_str(), "ended");
            self.log_decision(record.for_job(code));
            self.effects.push(CellEffect::ReportResult(origin.clone(), code, offer.number, result));
            return;
        }
        if let Some(result) = self.refusals.get(&(origin.clone(), code, offer.number)).cloned() {
            self.effects.push(CellEffect::ReportResult(origin.clone(), code, offer.number, result));
            return;
        }
        let mut job = self.new_job(origin, offer, now);
        job.last_keep_alive_at = sent_at;
        if self.is_data_local(&job.offer) {
            let work = self.times.work(&job.offer);
            self.local_load.add(work, now);
        }
        self.count_arrival(&job, now);
        self.adopt_runs(&mut job, now);
        if !job.may_have_run {
            let forecast = self.forecast(&job, now);
            if let Some(cause) = self.refusal(&job, forecast, now) {
                self.refuse(&job, cause, self.capacity_in_ms(forecast), now);
                return;
            }
            let forecast = match forecast {
                WaitForecast::Starts(wait_ms) => {
                    WaitForecast::Starts(wait_ms.max(self.fits_in_ms(&job, now)))
                }
                WaitForecast::Overtaken => forecast,
            };
            if self.must_return(&job, forecast, now) {
                self.return_to_origin(&job, self.capacity_in_ms(forecast), now);
                return;
            }
            job.forecast_ms = self.capacity_in_ms(forecast);
        }
        let is_done = job.n_left == 0;
        self.jobs.insert(code, job);
        if is_done {
            self.end_job(code, JobResult::Completed, now);
            return;
        }
        self.needs_placement_pass = true;
        self.run_placement_pass(now);
    }

    pub(super) fn new_job(&self, origin: &VmName, offer: JobOffer, now: ClockTime) -> CellJob {
        let mut tasks = Vec::new();
        for (step, spec) in offer.steps.iter().enumerate() {
            for idx in 0..spec.count {
                let task = TaskRef { job: offer.job, step: step as u32, idx };
                let last_run = offer.first_run;
                let phase = TaskPhase::Waiting;
                tasks.push(CellTask {
                    task,
                    phase,
                    last_run,
                    n_failed: 0,
                    n_straggled: 0,
                    had_slow_run: false,
                    avoid: None,
                });
            }
        }
        let critical_path_ms = self.times.critical_path_ms(&offer);
        let submitted_at = now.minus_ms(offer.age_ms);
        CellJob {
            origin: origin.clone(),
            arrived_at: now,
            due_at: submitted_at.plus_ms(offer.objective_ms(critical_path_ms)),
            caller_deadline: now.plus_ms(offer.remaining_ms),
            useful_until: submitted_at.plus_ms(offer.useful_ms(critical_path_ms)),
            last_keep_alive_at: now,
            n_left: tasks.len(),
            tasks,
            may_have_run: offer.is_repeat,
            was_reserved: false,
            is_long: false,
            has_returned: offer.was_refused || self.refused_jobs.contains(&offer.job),
            forecast_ms: 0,
            offer,
        }
    }

    /// Assigns runs and completed tasks of a former leader to their job.
    pub(super) fn adopt_runs(&mut self, job: &mut CellJob, now: ClockTime) {
        let mut n_adopted = 0;
        for task in &mut job.tasks {
            if self.done_before_offer.swap_remove(&task.task).is_some() {
                task.phase = TaskPhase::Done;
                job.n_left -= 1;
                job.may_have_run = true;
                n_adopted += 1;
            }
        }
        for (name, endpoint) in &mut self.endpoints {
            for (task, run) in &mut endpoint.runs {
                if task.job != job.offer.job {
                    continue;
                }
                let Some(known) = job.tasks.iter_mut().find(|it| it.task == *task) else {
                    continue;
                };
                known.last_run = known.last_run.max(run.run);
                let step = &job.offer.steps[task.step as usize];
                run.demand = step.demand;
                run.predicted_ms = self.times.typical_ms(&job.offer.route, step.declared_ms);
                if run.phase == RunPhase::Orphan {
                    run.phase = RunPhase::Working;
                    run.since = now;
                }
                if known.phase == TaskPhase::Done {
                    continue;
                }
                known.phase = TaskPhase::Placed(name.clone());
                job.may_have_run = true;
                n_adopted += 1;
            }
        }
        if 0 < n_adopted {
            let record = DecisionRecord::new(
                now,
                DecisionEvent::RunAdopted,
                self.cell.to_string(),
                "adopted",
            );
            self.log_decision(record.for_job(job.offer.job).with("runs", n_adopted));
        }
    }

    pub(super) fn refuse(
        &mut self,
        job: &CellJob,
        cause: RefusalCause,
        wait_ms: u64,
        now: ClockTime,
    ) {
        check_invariant(Invariant::RefusalIsTrue, !job.may_have_run);
        let retry_ms =
            spread_wait(job.offer.job, wait_ms).clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1);
        self.refused_jobs.insert(job.offer.job);
        let record = DecisionRecord::new(
            now,
            DecisionEvent::JobRefused,
            self.cell.to_string(),
            format!("{cause:?}"),
        )
        .for_job(job.offer.job)
        .with("wait_ms", wait_ms)
        .with("remaining_ms", job.caller_deadline.since_ms(now))
        .with("waited_ms", now.since_ms(job.arrived_at))
        .with("jobs", self.jobs.len() as u64);
        self.log_decision(record);
        self.shares.record(&job.offer.route, &job.offer.centre, ServiceOutcome::Unserved, now);
        self.reject_offer(job, JobResult::Refused(cause, retry_ms), now);
    }

    /// Returns a job to its entry, which may know a less loaded cell.
    pub(super) fn return_to_origin(&mut self, job: &CellJob, wait_ms: u64, now: ClockTime) {
        check_invariant(Invariant::RefusalIsTrue, !job.may_have_run);
        let record =
            DecisionRecord::new(now, DecisionEvent::JobSentBack, self.cell.to_string(), "crowded")
                .for_job(job.offer.job)
                .with("wait_ms", wait_ms)
                .with("slack_ms", job.due_at.since_ms(now.plus_ms(self.critical_path_ms(job))))
                .with("waited_ms", now.since_ms(job.arrived_at));
        self.log_decision(record);
        self.reject_offer(job, JobResult::Crowded(wait_ms), now);
    }

    /// Reports that nothing of an offer runs, and caches the result for a repeated offer.
    fn reject_offer(&mut self, job: &CellJob, result: JobResult, now: ClockTime) {
        let offer = (job.origin.clone(), job.offer.job, job.offer.number);
        self.refusals.insert(offer.clone(), result.clone());
        self.result_times.push_back((now, CachedResult::Refusal(offer.clone())));
        self.effects.push(CellEffect::ReportResult(offer.0, offer.1, offer.2, result));
    }

    /// Records that the caller of an offer waited at `sent_at`, on this VM's clock; returns a result
    /// if the job isn't here.
    pub fn handle_keep_alive(
        &mut self,
        origin: &VmName,
        code: JobCode,
        number: u64,
        sent_at: ClockTime,
    ) -> Option<JobResult> {
        if let Some(job) = self.jobs.get_mut(&code) {
            if job.origin == *origin {
                job.last_keep_alive_at = job.last_keep_alive_at.max(sent_at);
            }
            return None;
        }
        let refused = self.refusals.get(&(origin.clone(), code, number));
        let known = refused.or_else(|| self.results.get(&code).map(|(_, it)| it)).cloned();
        Some(known.unwrap_or(JobResult::NotLeader))
    }

    /// Records that the callers of this entry's own jobs wait: it learns at once of one that leaves.
    pub(super) fn confirm_own_jobs(&mut self, own: &VmName, now: ClockTime) {
        for job in self.jobs.values_mut().filter(|it| it.origin == *own) {
            job.last_keep_alive_at = now;
        }
    }

    pub(super) fn cancel_abandoned(&mut self, own: &VmName, now: ClockTime) {
        let limit_ms = self.bounds.unvouched_ms().saturating_sub(CANCEL_MARGIN_MS);
        let is_abandoned =
            |it: &CellJob| it.origin != *own && limit_ms <= now.since_ms(it.last_keep_alive_at);
        let codes: Vec<JobCode> =
            self.jobs.iter().filter(|(_, it)| is_abandoned(it)).map(|(code, _)| *code).collect();
        for code in codes {
            self.cancel(code, now);
        }
    }

    /// Stops the runs of a job whose caller has left.
    pub fn cancel(&mut self, code: JobCode, now: ClockTime) {
        let Some(job) = self.jobs.swap_remove(&code) else { return };
        let record =
            DecisionRecord::new(now, DecisionEvent::JobWithdrawn, self.cell.to_string(), "stopped");
        self.log_decision(record.for_job(code).with("age_ms", now.since_ms(job.arrived_at)));
        for task in &job.tasks {
            if let TaskPhase::Placed(name) = &task.phase {
                self.stop_run(name, task.task, "caller left", now);
            }
        }
        self.run_placement_pass(now);
    }

    /// Ends a job that its caller cancelled at any entry, and stops its runs, also those that no
    /// job claims.
    ///
    /// Its entry is told that it failed, also when it offers the job again.
    pub fn cancel_for_caller(&mut self, code: JobCode, route: &str, now: ClockTime) {
        if let Some(job) = self.jobs.get(&code) {
            if job.offer.route != route {
                return;
            }
            self.end_job(code, JobResult::Failed, now);
        }
        let mut runs = Vec::new();
        for (name, endpoint) in &self.endpoints {
            let of_job = endpoint.runs.keys().filter(|it| it.job == code);
            runs.extend(of_job.map(|task| (name.clone(), *task)));
        }
        for (name, task) in runs {
            self.stop_run(&name, task, "cancelled", now);
        }
        self.run_placement_pass(now);
    }

    /// Cancels the jobs of an entry that has failed or left.
    pub fn cancel_jobs_of(&mut self, origin: &VmName, now: ClockTime) {
        let of_origin = self.jobs.iter().filter(|(_, it)| it.origin == *origin);
        let codes: Vec<JobCode> = of_origin.map(|(code, _)| *code).collect();
        for code in codes {
            self.cancel(code, now);
        }
    }

    /// Stops leading the cell: every job is returned to the entry that offered it.
    pub fn release_cell(&mut self, now: ClockTime) {
        for (code, job) in std::mem::take(&mut self.jobs) {
            let number = job.offer.number;
            self.effects.push(CellEffect::ReportResult(
                job.origin,
                code,
                number,
                JobResult::NotLeader,
            ));
        }
        let record =
            DecisionRecord::new(now, DecisionEvent::CellLost, self.cell.to_string(), "given up");
        self.log_decision(record.with("token", self.token));
    }

    pub(super) fn end_job(&mut self, code: JobCode, result: JobResult, now: ClockTime) {
        let Some(job) = self.jobs.swap_remove(&code) else { return };
        let record = DecisionRecord::new(
            now,
            DecisionEvent::JobEnded,
            self.cell.to_string(),
            match result {
                JobResult::Completed => "completed",
                _ => "failed",
            },
        );
        let record = record
            .for_job(code)
            .with("age_ms", now.since_ms(job.arrived_at) + job.offer.age_ms)
            .with("late_ms", now.since_ms(job.due_at));
        self.log_decision(record);
        let outcome = if now <= job.due_at {
            ServiceOutcome::InTime
        } else if now <= job.useful_until {
            ServiceOutcome::Late
        } else {
            ServiceOutcome::Unserved
        };
        self.shares.record(&job.offer.route, &job.offer.centre, outcome, now);
        self.results.insert(code, (job.offer.route.clone(), result.clone()));
        self.result_times.push_back((now, CachedResult::End(code)));
        self.effects.push(CellEffect::ReportResult(job.origin, code, job.offer.number, result));
    }

    pub(super) fn expire_results(&mut self, now: ClockTime) {
        while let Some((at, _)) = self.result_times.front() {
            if now.since_ms(*at) < RESULT_CACHE_MS && self.result_times.len() < MAX_CACHED_RESULTS {
                return;
            }
            match self.result_times.pop_front() {
                Some((_, CachedResult::End(code))) => {
                    self.results.swap_remove(&code).map(|(_, it)| it)
                }
                Some((_, CachedResult::Refusal(offer))) => {
                    let result = self.refusals.swap_remove(&offer);
                    if matches!(result, Some(JobResult::Refused(..))) {
                        self.refused_jobs.swap_remove(&offer.1);
                    }
                    result
                }
                None => None,
            };
        }
    }
}

/// A wait with up to as much again by a hash of the job: callers that were refused together would
/// otherwise come back as one wave.
fn spread_wait(code: JobCode, wait_ms: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    code.0.hash(&mut hasher);
    wait_ms + wait_ms * (hasher.finish() % 1000) / 1000
}
