//! An entry's callers: jobs that are read, offered, answered and taken back.

use crate::{
    cell::{
        cell_message::{CellMessage, CellName},
        cell_node::{CellNode, NodeEffect},
        decision_record::{DecisionEvent, DecisionRecord},
        job_offer::{JobCode, JobOffer, JobVerdict, RefusalCause},
        job_router::{self, RoutedJob},
    },
    entry_node::CallNumber,
    prelude::*,
};

/// Run numbers of a task that each leader has for itself.
const LEADER_RUNS: u32 = 32;

impl CellNode {
    /// Takes a caller's job; its answer comes as an effect.
    pub fn submit(&mut self, call: CallNumber, offer: JobOffer, now: ClockTime) {
        self.wake(now);
        let code = offer.job;
        if let Some(known) = self.router.jobs.get_mut(&code) {
            // The caller has given up on its former call; the answer goes to the new one.
            let former = std::mem::replace(&mut known.call, call);
            self.effects.push(NodeEffect::Answer(former, JobVerdict::Unknown));
            let note = DecisionRecord::new(now, DecisionEvent::JobAttached, "caller", "at work");
            self.note(note.for_job(code));
            return;
        }
        let note =
            DecisionRecord::new(now, DecisionEvent::JobAccepted, offer.route.as_str(), "read")
                .for_job(code)
                .with("remaining_ms", offer.remaining_ms)
                .with("declared_ms", offer.declared_chain_ms())
                .with("tasks", offer.steps.iter().map(|it| u64::from(it.count)).sum())
                .with("plan_version", self.plan.as_ref().map_or(0, |it| it.version));
        self.note(note);
        let offer = JobOffer { may_move: true, ..offer };
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
            offer,
        };
        self.router.jobs.insert(code, job);
        self.route(code, now);
    }

    /// The caller of a job has left.
    pub fn cancel_call(&mut self, call: CallNumber, now: ClockTime) {
        let Some(code) = self.router.job_for_call(call) else { return };
        self.withdraw_job(code, now);
    }

    /// Cancels a job; whether it was at work for a caller of this entry.
    pub fn cancel(&mut self, code: JobCode, now: ClockTime) -> bool {
        let Some(job) = self.router.jobs.get(&code) else { return false };
        let call = job.call;
        self.withdraw_job(code, now);
        self.effects.push(NodeEffect::Answer(call, JobVerdict::Failed));
        true
    }

    pub(super) fn withdraw_job(&mut self, code: JobCode, now: ClockTime) {
        let Some(job) = self.router.jobs.swap_remove(&code) else { return };
        let note = DecisionRecord::new(now, DecisionEvent::JobWithdrawn, "caller", "left");
        self.note(note.for_job(code).with("age_ms", now.since_ms(job.received_at)));
        let Some(leader) = job.leader else { return };
        if leader == self.settings.owner.vm {
            if let Some(led) = job.cell.and_then(|it| self.led.get_mut(&it)) {
                led.dispatcher.withdraw(code, now);
            }
            self.carry_out(now);
        } else {
            self.send(&leader, CellMessage::Cancel(code));
        }
    }

    /// Offers a job that has no leader, if one can be found.
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
        if !job.may_offer_to(view) {
            return;
        }
        job.offer.token = view.report.token;
        let leader = view.leader.clone();
        view.offered_cpu += job.offer.first_cpu();
        view.offered_work += job.offer.declared_work();
        if job.was_offered {
            job.offer.first_run += LEADER_RUNS;
        }
        self.n_offers += 1;
        job.offer.number = self.n_offers;
        let offer = job.current_offer(now);
        job.leader = Some(leader.clone());
        job.offered_at = now;
        job.was_offered = true;
        let note =
            DecisionRecord::new(now, DecisionEvent::JobOffered, cell.to_string(), leader.as_str())
                .for_job(code)
                .with("free_cpu", view.report.free_cpu)
                .with("open_cpu", view.report.unreserved_cpu)
                .with("queued_work", view.report.queued_work)
                .with("report_age_ms", now.since_ms(view.reported_at));
        self.note(note);
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
                led.dispatcher.offer(&own, offer, now);
            }
            _ => {
                let number = offer.number;
                self.take_verdict(&own, cell, offer.job, number, JobVerdict::NotLeader, now);
            }
        }
        self.carry_out(now);
    }

    pub(super) fn take_verdict(
        &mut self,
        from: &VmName,
        cell: &CellName,
        code: JobCode,
        number: u64,
        verdict: JobVerdict,
        now: ClockTime,
    ) {
        let Some(job) = self.router.jobs.get_mut(&code) else { return };
        let is_former = number < job.offer.number
            && matches!(
                verdict,
                JobVerdict::Refused(..) | JobVerdict::Crowded(_) | JobVerdict::NotLeader
            );
        if job.cell.as_ref() != Some(cell) || is_former {
            return;
        }
        match verdict {
            JobVerdict::NotLeader => {
                if job.leader.as_ref() == Some(from) {
                    job.leader = None;
                    job.unassigned_since = now;
                }
                return;
            }
            JobVerdict::Refused(cause, _) if job.leader.as_ref() == Some(from) => {
                job.was_offered = false;
                job.refused_by.push(cell.clone());
                let may_fit_elsewhere = cause != RefusalCause::NeverFits;
                if may_fit_elsewhere && job.refused_by.len() <= 1 && self.reroute(code, now) {
                    return;
                }
            }
            JobVerdict::Crowded(wait_ms) => {
                if job.leader.as_ref() == Some(from) {
                    self.move_job(code, wait_ms, now);
                }
                return;
            }
            JobVerdict::Completed | JobVerdict::Failed => {}
            JobVerdict::Refused(..) | JobVerdict::Unknown => return,
        }
        self.answer(code, verdict, now);
    }

    /// Offers a job that its cell gave back to one that ends it sooner, or there again, to stay.
    fn move_job(&mut self, code: JobCode, wait_ms: u64, now: ClockTime) {
        let Some(job) = self.router.jobs.get_mut(&code) else { return };
        job.was_offered = false;
        job.leader = None;
        job.unassigned_since = now;
        job.offer.may_move = false;
        let off_rack_milli = self.settings.off_rack_milli;
        let cell = job_router::choose_move_target(job, off_rack_milli, wait_ms, &self.views, now);
        let outcome = if cell.is_some() { "moves" } else { "stays" };
        if cell.is_some() {
            job.cell = cell;
        }
        let subject = job.cell.as_ref().map(ToString::to_string).unwrap_or_default();
        let note =
            DecisionRecord::new(now, DecisionEvent::JobSentBack, subject, outcome).for_job(code);
        self.note(note.with("wait_ms", wait_ms));
        self.route(code, now);
    }

    /// Offers a refused job to another cell that has room at once; whether it did.
    pub(super) fn reroute(&mut self, code: JobCode, now: ClockTime) -> bool {
        let Some(job) = self.router.jobs.get_mut(&code) else { return false };
        let Some(cell) = job_router::choose_free_cell(job, &self.views, now) else { return false };
        job.offer.may_move = false;
        job.cell = Some(cell);
        job.leader = None;
        self.route(code, now);
        true
    }

    pub(super) fn answer(&mut self, code: JobCode, verdict: JobVerdict, now: ClockTime) {
        let Some(job) = self.router.jobs.swap_remove(&code) else { return };
        let outcome = match &verdict {
            JobVerdict::Refused(cause, _) => format!("refused: {cause:?}"),
            it => format!("{it:?}").to_lowercase(),
        };
        let route = job.offer.route.as_str();
        let note = DecisionRecord::new(now, DecisionEvent::JobAnswered, route, outcome)
            .for_job(code)
            .with("age_ms", now.since_ms(job.received_at))
            .with("remaining_ms", job.caller_deadline.since_ms(now))
            .with("refusals", job.refused_by.len() as u64);
        self.note(note);
        self.effects.push(NodeEffect::Answer(job.call, verdict));
    }
}
