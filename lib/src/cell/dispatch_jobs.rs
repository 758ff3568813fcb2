//! A leader's jobs: offers, adoption, refusals, withdrawals and verdicts.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect, CellJob, CellTask, KeptVerdict, TaskPhase},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_state::RunPhase,
        job_offer::{JobCode, JobOffer, JobResult, RefusalCause, TaskRef},
    },
    prelude::*,
};

/// Time without word from the entry that offered a job after which the job is withdrawn, in
/// ms: its caller may send a second copy 1.3 s after it has given up.
const WANTED_MS: u64 = 1_000;

/// Verdicts that are kept for copies of a job.
const MAX_KEPT_VERDICTS: usize = 4_096;

/// Time for which a verdict is kept, in ms: the longest that a copy may come late.
const KEPT_VERDICT_MS: u64 = 20_000;

/// Latency objectives after which an answer is of no use to its caller.
const USELESS_OBJECTIVES: u64 = 3;

/// Shortest and longest time after which a refused caller is asked to return, in ms.
const RETRY_AFTER_MS: (u64, u64) = (200, 3_000);

impl CellDispatcher {
    /// Takes a job that `front` offers.
    pub fn handle_offer(&mut self, front: &VmName, offer: JobOffer, now: ClockTime) {
        let code = offer.job;
        if let Some(job) = self.jobs.get_mut(&code) {
            job.front = front.clone();
            job.wanted_at = now;
            job.offer.number = offer.number;
            job.waits_until = job.waits_until.max(now.plus_ms(offer.remaining_ms));
            let note =
                DecisionRecord::new(now, DecisionEvent::JobAttached, front.as_str(), "at work");
            self.note(note.for_job(code));
            return;
        }
        if let Some(verdict) = self.verdicts.get(&code).cloned() {
            let note =
                DecisionRecord::new(now, DecisionEvent::JobAttached, front.as_str(), "ended");
            self.note(note.for_job(code));
            self.effects.push(CellEffect::ReportResult(front.clone(), code, offer.number, verdict));
            return;
        }
        if let Some(verdict) = self.refusals.get(&(front.clone(), code, offer.number)).cloned() {
            self.effects.push(CellEffect::ReportResult(front.clone(), code, offer.number, verdict));
            return;
        }
        let mut job = self.new_job(front, offer, now);
        if self.is_home(&job.offer) {
            let work = self.times.work(&job.offer);
            self.local_load.add(work, now);
        }
        self.adopt_runs(&mut job, now);
        if !job.may_have_run {
            let wait_ms = self.wait_ms(&job, now);
            if let Some(cause) = self.refusal(&job, wait_ms, now) {
                self.refuse(&job, cause, wait_ms, now);
                return;
            }
            let wait_ms = wait_ms.max(self.room_in_ms(&job, now));
            if self.is_crowded(&job, wait_ms, now) {
                self.send_back(&job, wait_ms, now);
                return;
            }
        }
        let is_done = job.n_left == 0;
        self.jobs.insert(code, job);
        if is_done {
            self.end_job(code, JobResult::Completed, now);
            return;
        }
        self.wants_pass = true;
        self.pass(now);
    }

    pub(super) fn new_job(&self, front: &VmName, offer: JobOffer, now: ClockTime) -> CellJob {
        let mut tasks = Vec::new();
        for (step, spec) in offer.steps.iter().enumerate() {
            for idx in 0..spec.count {
                let task = TaskRef { job: offer.job, step: step as u32, idx };
                let last_run = offer.first_run;
                let phase = TaskPhase::Waiting;
                tasks.push(CellTask { task, phase, last_run, n_failed: 0, avoid: None });
            }
        }
        let critical_path_ms = self.times.critical_path_ms(&offer);
        let objective_ms = critical_path_ms * offer.stretch_milli / 1000 + offer.slack_ms;
        CellJob {
            front: front.clone(),
            arrived_at: now,
            due_at: now.minus_ms(offer.age_ms).plus_ms(objective_ms),
            waits_until: now.plus_ms(offer.remaining_ms),
            useful_until: now.minus_ms(offer.age_ms).plus_ms(objective_ms * USELESS_OBJECTIVES),
            wanted_at: now,
            n_left: tasks.len(),
            tasks,
            may_have_run: offer.is_repeat,
            offer,
        }
    }

    /// Joins runs of a former leader to the job that they belong to.
    pub(super) fn adopt_runs(&mut self, job: &mut CellJob, now: ClockTime) {
        let mut n_adopted = 0;
        for task in &mut job.tasks {
            if self.former_done.swap_remove(&task.task).is_some() {
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
            let note = DecisionRecord::new(
                now,
                DecisionEvent::RunAdopted,
                self.cell.to_string(),
                "adopted",
            );
            self.note(note.for_job(job.offer.job).with("runs", n_adopted));
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
        let retry_ms = wait_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1);
        let note = DecisionRecord::new(
            now,
            DecisionEvent::JobRefused,
            self.cell.to_string(),
            format!("{cause:?}"),
        )
        .for_job(job.offer.job)
        .with("wait_ms", wait_ms)
        .with("remaining_ms", job.waits_until.since_ms(now))
        .with("waited_ms", now.since_ms(job.arrived_at))
        .with("jobs", self.jobs.len() as u64);
        self.note(note);
        self.turn_away(job, JobResult::Refused(cause, retry_ms), now);
    }

    /// Gives a job back to its entry, which may know a better cell.
    pub(super) fn send_back(&mut self, job: &CellJob, wait_ms: u64, now: ClockTime) {
        check_invariant(Invariant::RefusalIsTrue, !job.may_have_run);
        let note =
            DecisionRecord::new(now, DecisionEvent::JobSentBack, self.cell.to_string(), "crowded")
                .for_job(job.offer.job)
                .with("wait_ms", wait_ms)
                .with("slack_ms", job.due_at.since_ms(now.plus_ms(self.critical_path_ms(job))))
                .with("waited_ms", now.since_ms(job.arrived_at));
        self.note(note);
        self.turn_away(job, JobResult::Crowded(wait_ms), now);
    }

    /// Tells an offer's entry that nothing of it runs; the same when it is sent again.
    fn turn_away(&mut self, job: &CellJob, verdict: JobResult, now: ClockTime) {
        let offer = (job.front.clone(), job.offer.job, job.offer.number);
        self.refusals.insert(offer.clone(), verdict.clone());
        self.verdict_times.push_back((now, KeptVerdict::Refusal(offer.clone())));
        self.effects.push(CellEffect::ReportResult(offer.0, offer.1, offer.2, verdict));
    }

    /// Takes word that the caller of an offer still waits; the verdict if it has none here.
    pub fn handle_keep_alive(
        &mut self,
        front: &VmName,
        code: JobCode,
        number: u64,
        now: ClockTime,
    ) -> Option<JobResult> {
        if let Some(job) = self.jobs.get_mut(&code) {
            if job.front == *front {
                job.wanted_at = now;
            }
            return None;
        }
        let refused = self.refusals.get(&(front.clone(), code, number));
        let known = refused.or_else(|| self.verdicts.get(&code)).cloned();
        Some(known.unwrap_or(JobResult::NotLeader))
    }

    pub(super) fn withdraw_unwanted(&mut self, own: &VmName, now: ClockTime) {
        let is_unwanted =
            |it: &CellJob| it.front != *own && WANTED_MS <= now.since_ms(it.wanted_at);
        let codes: Vec<JobCode> =
            self.jobs.iter().filter(|(_, it)| is_unwanted(it)).map(|(code, _)| *code).collect();
        for code in codes {
            self.cancel(code, now);
        }
    }

    /// Ends the runs of a job whose caller has left.
    pub fn cancel(&mut self, code: JobCode, now: ClockTime) {
        let Some(job) = self.jobs.swap_remove(&code) else { return };
        let note =
            DecisionRecord::new(now, DecisionEvent::JobWithdrawn, self.cell.to_string(), "stopped");
        self.note(note.for_job(code).with("age_ms", now.since_ms(job.arrived_at)));
        for task in &job.tasks {
            if let TaskPhase::Placed(name) = &task.phase {
                self.stop_run(name, task.task, "caller left", now);
            }
        }
        self.pass(now);
    }

    /// Ends the jobs of an entry that is gone.
    pub fn cancel_jobs_of(&mut self, front: &VmName, now: ClockTime) {
        let of_front = self.jobs.iter().filter(|(_, it)| it.front == *front);
        let codes: Vec<JobCode> = of_front.map(|(code, _)| *code).collect();
        for code in codes {
            self.cancel(code, now);
        }
    }

    /// Gives the cell up: every job is returned to the entry that offered it.
    pub fn release_cell(&mut self, now: ClockTime) {
        for (code, job) in std::mem::take(&mut self.jobs) {
            let number = job.offer.number;
            self.effects.push(CellEffect::ReportResult(
                job.front,
                code,
                number,
                JobResult::NotLeader,
            ));
        }
        let note =
            DecisionRecord::new(now, DecisionEvent::CellLost, self.cell.to_string(), "given up");
        self.note(note.with("token", self.token));
    }

    pub(super) fn end_job(&mut self, code: JobCode, verdict: JobResult, now: ClockTime) {
        let Some(job) = self.jobs.swap_remove(&code) else { return };
        let note = DecisionRecord::new(
            now,
            DecisionEvent::JobEnded,
            self.cell.to_string(),
            match verdict {
                JobResult::Completed => "completed",
                _ => "failed",
            },
        );
        let note = note
            .for_job(code)
            .with("age_ms", now.since_ms(job.arrived_at) + job.offer.age_ms)
            .with("late_ms", now.since_ms(job.due_at));
        self.note(note);
        self.verdicts.insert(code, verdict.clone());
        self.verdict_times.push_back((now, KeptVerdict::End(code)));
        self.effects.push(CellEffect::ReportResult(job.front, code, job.offer.number, verdict));
    }

    pub(super) fn forget_verdicts(&mut self, now: ClockTime) {
        while let Some((at, _)) = self.verdict_times.front() {
            if now.since_ms(*at) < KEPT_VERDICT_MS && self.verdict_times.len() < MAX_KEPT_VERDICTS {
                return;
            }
            match self.verdict_times.pop_front() {
                Some((_, KeptVerdict::End(code))) => self.verdicts.swap_remove(&code),
                Some((_, KeptVerdict::Refusal(offer))) => self.refusals.swap_remove(&offer),
                None => None,
            };
        }
    }
}
