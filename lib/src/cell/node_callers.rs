//! Jobs of an entry's callers: submitted, offered to leaders, answered and cancelled.

use crate::{
    cell::{
        cell_message::{CellMessage, CellName},
        cell_node::{CellNode, NodeEffect},
        decision_record::{DecisionEvent, DecisionRecord},
        job_offer::{JobCode, JobOffer, JobResult, RefusalCause},
        job_router::{self, RoutedJob},
    },
    entry_node::CallNumber,
    prelude::*,
};

/// Number of times that a job moves to another cell: each move costs a round trip, and by then
/// most of a short job's slack is used up.
const MAX_MOVES: u32 = 3;

/// Number of refusals after which a job is offered to yet another cell.
const MAX_REFUSALS: usize = 2;

/// Time after which a caller may submit a job again whose id another route's job has, in ms.
const SAME_ID_RETRY_MS: u64 = 1_000;

/// Run numbers of a task that are reserved for each leader to which its job is offered.
const RUNS_PER_LEADER: u32 = 32;

impl CellNode {
    /// Accepts a caller's job; its answer comes as an effect.
    pub fn submit(&mut self, call: CallNumber, offer: JobOffer, now: ClockTime) {
        self.detect_stall(now);
        let code = offer.job;
        self.forget_cancelled(code, &offer.route);
        if self.router.jobs.get(&code).is_some_and(|it| it.offer.route != offer.route) {
            let result = JobResult::Refused(RefusalCause::SameId, SAME_ID_RETRY_MS);
            self.effects.push(NodeEffect::Answer(call, result));
            let subject = offer.route.as_str();
            let record = DecisionRecord::new(now, DecisionEvent::JobRefused, subject, "SameId");
            self.log_decision(record.for_job(code));
            return;
        }
        if let Some(known) = self.router.jobs.get_mut(&code) {
            // The caller has repeated its request, so the answer goes to the new call.
            let former = std::mem::replace(&mut known.call, call);
            self.effects.push(NodeEffect::Answer(former, JobResult::Unknown));
            let record = DecisionRecord::new(now, DecisionEvent::JobAttached, "caller", "at work");
            self.log_decision(record.for_job(code));
            return;
        }
        let record =
            DecisionRecord::new(now, DecisionEvent::JobAccepted, offer.route.as_str(), "read")
                .for_job(code)
                .with("remaining_ms", offer.remaining_ms)
                .with("declared_ms", offer.declared_critical_path_ms())
                .with("tasks", offer.steps.iter().map(|it| u64::from(it.count)).sum())
                .with("plan_version", self.plan.as_ref().map_or(0, |it| it.version));
        self.log_decision(record);
        let centre = self.settings.centre.clone();
        let was_refused = self.router.was_refused(code);
        let offer = JobOffer { may_move: true, centre, was_refused, ..offer };
        let job = RoutedJob {
            call,
            received_at: now,
            caller_deadline: now.plus_ms(offer.remaining_ms),
            cell: None,
            leader: None,
            offered_at: now,
            unassigned_since: now,
            was_offered: false,
            refused_by: Vec::new(),
            n_moves: 0,
            offer,
        };
        self.router.jobs.insert(code, job);
        self.route(code, now);
    }

    /// Cancels the job of a call whose caller has left.
    pub fn cancel_call(&mut self, call: CallNumber, now: ClockTime) {
        let Some(code) = self.router.job_for_call(call) else { return };
        self.cancel_job(code, now);
    }

    pub(super) fn cancel_job(&mut self, code: JobCode, now: ClockTime) {
        let Some(job) = self.router.remove(code) else { return };
        let record = DecisionRecord::new(now, DecisionEvent::JobWithdrawn, "caller", "left");
        self.log_decision(record.for_job(code).with("age_ms", now.since_ms(job.received_at)));
        let Some(leader) = job.leader else { return };
        if leader == self.settings.owner.vm {
            if let Some(led) = job.cell.and_then(|it| self.led.get_mut(&it)) {
                led.dispatcher.cancel(code, now);
            }
            self.run_effects(now);
        } else {
            self.send(&leader, CellMessage::Cancel(code));
        }
    }

    /// Offers an unassigned job to the leader of its cell, if there is one.
    pub(super) fn route(&mut self, code: JobCode, now: ClockTime) {
        if now < self.resumes_at {
            return;
        }
        let Some(job) = self.router.jobs.get_mut(&code) else { return };
        if job.cell.is_none() {
            job.cell = job_router::choose_cell(job, &self.settings.centre, &self.views, now);
        }
        let Some(cell) = job.cell.clone() else { return };
        let Some(view) = self.views.get_mut(&cell) else { return };
        let token = view.report.token;
        if !job.may_offer_to(view) || self.router.must_wait(code, token, now) {
            return;
        }
        let numbers_are_unused = self.router.take_unused_numbers(code);
        let Some(job) = self.router.jobs.get_mut(&code) else { return };
        job.offer.token = view.report.token;
        let leader = view.leader.clone();
        view.offered_cpu += job.offer.initial_cpu();
        view.offered_work += job.offer.declared_work();
        if job.was_offered && !numbers_are_unused {
            job.offer.first_run += RUNS_PER_LEADER;
        }
        self.n_offers += 1;
        job.offer.number = self.n_offers;
        let offer = job.current_offer(now);
        job.leader = Some(leader.clone());
        job.offered_at = now;
        job.was_offered = true;
        let record =
            DecisionRecord::new(now, DecisionEvent::JobOffered, cell.to_string(), leader.as_str())
                .for_job(code)
                .with("free_cpu", view.report.free_cpu)
                .with("open_cpu", view.report.unreserved_cpu)
                .with("queued_work", view.report.queued_work)
                .with("report_age_ms", now.since_ms(view.reported_at));
        self.log_decision(record);
        self.offer(&cell, &leader, offer, now);
    }

    pub(super) fn offer(
        &mut self,
        cell: &CellName,
        leader: &VmName,
        offer: JobOffer,
        now: ClockTime,
    ) {
        if *leader != self.settings.owner.vm {
            self.send(leader, CellMessage::Offer(cell.clone(), offer, now));
            return;
        }
        let own = self.settings.owner.vm.clone();
        match self.led.get_mut(cell) {
            Some(led) if led.dispatcher.token() == offer.token => {
                led.dispatcher.handle_offer(&own, offer, now);
            }
            _ => {
                let number = offer.number;
                self.handle_result(&own, cell, offer.job, number, JobResult::Declined, now);
            }
        }
        self.run_effects(now);
    }

    pub(super) fn handle_result(
        &mut self,
        from: &VmName,
        cell: &CellName,
        code: JobCode,
        number: u64,
        result: JobResult,
        now: ClockTime,
    ) {
        let Some(job) = self.router.jobs.get_mut(&code) else { return };
        let is_outdated = number < job.offer.number
            && matches!(
                result,
                JobResult::Refused(..)
                    | JobResult::Crowded(_)
                    | JobResult::NotLeader
                    | JobResult::Declined
            );
        if job.cell.as_ref() != Some(cell) || is_outdated {
            return;
        }
        match result {
            JobResult::NotLeader => {
                if job.leader.as_ref() == Some(from) {
                    job.leader = None;
                    job.unassigned_since = now;
                }
                return;
            }
            JobResult::Declined => {
                if job.leader.as_ref() == Some(from) {
                    self.router.record_declined(code, now);
                }
                return;
            }
            JobResult::Refused(cause, _) if job.leader.as_ref() == Some(from) => {
                job.was_offered = false;
                job.refused_by.push(cell.clone());
                let may_fit_elsewhere = cause != RefusalCause::NeverFits;
                if may_fit_elsewhere
                    && job.refused_by.len() <= MAX_REFUSALS
                    && self.reroute(code, now)
                {
                    return;
                }
            }
            JobResult::Crowded(wait_ms) => {
                if job.leader.as_ref() == Some(from) {
                    self.move_job(code, wait_ms, now);
                }
                return;
            }
            JobResult::Completed | JobResult::Failed => {}
            JobResult::Refused(..) | JobResult::Unknown => return,
        }
        self.answer(code, result, now);
    }

    /// Offers a job that its cell returned as overloaded to a cell that would end it sooner, or
    /// else to the same cell again, which may then not return it.
    fn move_job(&mut self, code: JobCode, wait_ms: u64, now: ClockTime) {
        let Some(job) = self.router.jobs.get_mut(&code) else { return };
        job.was_offered = false;
        job.leader = None;
        job.unassigned_since = now;
        job.n_moves += 1;
        job.offer.may_move = job.n_moves < MAX_MOVES;
        let off_rack_milli = self.settings.off_rack_milli;
        let cell = job_router::choose_move_target(job, off_rack_milli, wait_ms, &self.views, now);
        let outcome = if cell.is_some() { "moves" } else { "stays" };
        if cell.is_some() {
            job.cell = cell;
        } else {
            job.offer.may_move = false;
        }
        let subject = job.cell.as_ref().map(ToString::to_string).unwrap_or_default();
        let record =
            DecisionRecord::new(now, DecisionEvent::JobSentBack, subject, outcome).for_job(code);
        self.log_decision(record.with("wait_ms", wait_ms));
        self.route(code, now);
    }

    /// Offers a refused job to another cell with enough free processor, if there is one.
    pub(super) fn reroute(&mut self, code: JobCode, now: ClockTime) -> bool {
        let Some(job) = self.router.jobs.get_mut(&code) else { return false };
        let Some(cell) = job_router::choose_free_cell(job, &self.views, now) else { return false };
        job.offer.may_move = false;
        job.cell = Some(cell);
        job.leader = None;
        self.route(code, now);
        true
    }

    pub(super) fn answer(&mut self, code: JobCode, result: JobResult, now: ClockTime) {
        let Some(job) = self.router.remove(code) else { return };
        let outcome = match &result {
            JobResult::Refused(cause, _) => format!("refused: {cause:?}"),
            it => format!("{it:?}").to_lowercase(),
        };
        if matches!(result, JobResult::Refused(..)) {
            self.router.remember_refusal(code);
        }
        let route = job.offer.route.as_str();
        let record = DecisionRecord::new(now, DecisionEvent::JobAnswered, route, outcome)
            .for_job(code)
            .with("age_ms", now.since_ms(job.received_at))
            .with("remaining_ms", job.caller_deadline.since_ms(now))
            .with("refusals", job.refused_by.len() as u64);
        self.log_decision(record);
        self.effects.push(NodeEffect::Answer(job.call, result));
    }
}
