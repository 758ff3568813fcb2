//! Jobs that a caller cancels at another entry than the one that holds them.
//!
//! An entry that does not know the job asks all live entries: the origin drops the job and answers its
//! caller, a leader stops the runs and reports the job as failed to its origin. Each entry answers
//! whether it was the origin. Questions are sent in batches, one message to each entry, so that their
//! number does not grow with that of the calls. An entry that was lost is told when it is heard again.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::{
    cell::{
        cell_message::CellMessage,
        cell_node::{CellNode, NodeEffect, PEER_TIMEOUT_MS, PeerView},
        decision_record::{DecisionEvent, DecisionRecord},
        job_offer::{JobCode, JobResult},
    },
    entry_node::CallNumber,
    prelude::*,
    vm_layout::VmRole,
};

/// Time between two batches of questions, in ms: at a hundred entries, each of which asks all others
/// all the time, it keeps an entry at 2,000 small messages a second.
const BATCH_MS: u64 = 50;
/// Longest time for which other entries are waited for, in ms: one that stands still is lost by then.
const MAX_ANSWER_WAIT_MS: u64 = 1_000;
/// Time after its last heartbeat for which an entry may still hold a job, in ms: machines stand still
/// and networks are cut for some seconds.
const LOST_DOUBT_MS: u64 = 10_000;
/// Maximum number of calls whose answers are awaited; beyond it, callers have to ask again.
const MAX_PENDING: usize = 1_024;
/// Time for which a cancelled job is told to entries that are heard again, in ms: longer than a machine
/// stands still, and than callers wait.
const MEMORY_MS: u64 = 20_000;
/// Maximum number of cancelled jobs that are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// What became of a cancelled job.
#[derive(Data!, Copy)]
pub enum CancelResult {
    /// Its origin has dropped it.
    Cancelled,
    /// No entry holds it.
    NotFound,
    /// Some entry has not answered in time, or was lost a moment ago.
    Unknown,
}

/// A call that waits for the answers of other entries.
struct PendingCancel {
    call: CallNumber,
    route: String,
    begun_at: ClockTime,
    /// Entries that have not answered; none before they were asked.
    unanswered: Option<IndexSet<VmName>>,
}

/// Cancellations that other entries were or will be asked about.
#[derive(Default)]
pub(super) struct CancelInquiries {
    pending: IndexMap<(JobCode, u64), PendingCancel>,
    n_inquiries: u64,
    next_batch_at: ClockTime,
    /// Jobs cancelled lately.
    remembered: VecDeque<(ClockTime, JobCode, String)>,
}

impl CellNode {
    /// Cancels a job of a route for a call, which is answered by [`NodeEffect::CancelAnswer`].
    pub fn cancel(&mut self, call: CallNumber, code: JobCode, route: &str, now: ClockTime) {
        self.detect_stall(now);
        let was_here = self.cancel_held_job(code, route, now);
        self.remember_cancelled(code, route, now);
        if was_here {
            self.answer_cancel(call, code, CancelResult::Cancelled, now);
        } else if self.live_entries(now).is_empty() {
            self.answer_cancel(call, code, self.not_found(now), now);
        } else if MAX_PENDING <= self.cancels.pending.len() {
            self.answer_cancel(call, code, CancelResult::Unknown, now);
        } else {
            self.cancels.n_inquiries += 1;
            let key = (code, self.cancels.n_inquiries);
            let pending =
                PendingCancel { call, route: route.to_owned(), begun_at: now, unanswered: None };
            self.cancels.pending.insert(key, pending);
        }
        self.run_effects(now);
    }

    /// Drops a job of a caller of this entry or of a cell that it leads; returns whether its caller was
    /// connected here. A leader's word alone is no proof: the entry of the job may be cut off from the
    /// leader, and offer the job to the next one.
    fn cancel_held_job(&mut self, code: JobCode, route: &str, now: ClockTime) -> bool {
        let job = self.router.jobs.get(&code).filter(|it| it.offer.route == route);
        let job = job.map(|it| it.call);
        if let Some(call) = job {
            self.cancel_job(code, now);
            self.effects.push(NodeEffect::Answer(call, JobResult::Failed));
        }
        for led in self.led.values_mut() {
            led.dispatcher.cancel_for_caller(code, route, now);
        }
        self.run_effects(now);
        job.is_some()
    }

    /// Handles the question of another entry whether this one is the origin of jobs, which are
    /// cancelled.
    pub(super) fn handle_cancels(
        &mut self,
        from: &VmName,
        jobs: Vec<(JobCode, String, u64)>,
        now: ClockTime,
    ) {
        let mut answers = Vec::with_capacity(jobs.len());
        for (code, route, inquiry) in jobs {
            answers.push((code, inquiry, self.cancel_held_job(code, &route, now)));
        }
        self.send(from, CellMessage::CancelAnswers(answers));
    }

    /// Handles the answers of an entry that was asked.
    pub(super) fn handle_cancel_answers(
        &mut self,
        from: &VmName,
        answers: Vec<(JobCode, u64, bool)>,
        now: ClockTime,
    ) {
        for (code, inquiry, was_held) in answers {
            let Some(pending) = self.cancels.pending.get_mut(&(code, inquiry)) else { continue };
            let Some(unanswered) = &mut pending.unanswered else { continue };
            unanswered.swap_remove(from);
            let is_last = unanswered.is_empty();
            let call = pending.call;
            if was_held || is_last {
                self.cancels.pending.swap_remove(&(code, inquiry));
                let result = if was_held { CancelResult::Cancelled } else { self.not_found(now) };
                self.answer_cancel(call, code, result, now);
            }
        }
    }

    /// Sends the questions that are due and gives up those that were not answered in time.
    pub(super) fn tick_cancels(&mut self, now: ClockTime) {
        let wait_ms = MAX_ANSWER_WAIT_MS.min(self.settings.bounds.cancel_ms / 4);
        let is_late = |it: &PendingCancel| wait_ms <= now.since_ms(it.begun_at);
        let pending = &self.cancels.pending;
        let late: Vec<(JobCode, u64)> =
            pending.iter().filter(|(_, it)| is_late(it)).map(|(key, _)| *key).collect();
        for key in late {
            if let Some(pending) = self.cancels.pending.swap_remove(&key) {
                self.answer_cancel(pending.call, key.0, CancelResult::Unknown, now);
            }
        }
        self.ask_entries(now);
        while self.cancels.remembered.front().is_some_and(|it| MEMORY_MS <= now.since_ms(it.0)) {
            self.cancels.remembered.pop_front();
        }
    }

    fn ask_entries(&mut self, now: ClockTime) {
        let is_new = |it: &PendingCancel| it.unanswered.is_none();
        if now < self.cancels.next_batch_at || !self.cancels.pending.values().any(is_new) {
            return;
        }
        self.cancels.next_batch_at = now.plus_ms(BATCH_MS);
        let entries = self.live_entries(now);
        let mut jobs = Vec::new();
        for (key, pending) in &mut self.cancels.pending {
            if pending.unanswered.is_none() {
                pending.unanswered = Some(entries.clone());
                jobs.push((key.0, pending.route.clone(), key.1));
            }
        }
        for vm in &entries {
            self.send(vm, CellMessage::CancelJobs(jobs.clone()));
        }
        if entries.is_empty() {
            for (code, _, inquiry) in jobs {
                if let Some(pending) = self.cancels.pending.swap_remove(&(code, inquiry)) {
                    self.answer_cancel(pending.call, code, self.not_found(now), now);
                }
            }
        }
    }

    /// The answer for a job that no live entry holds: one that was lost a moment ago may be cut off or
    /// stand still, and go on with the job.
    fn not_found(&self, now: ClockTime) -> CancelResult {
        let is_doubtful = |it: &PeerView| {
            let silent_ms = now.since_ms(it.last_contact_at);
            it.heartbeat.role == VmRole::Entry
                && (it.is_lost || PEER_TIMEOUT_MS < silent_ms)
                && silent_ms < LOST_DOUBT_MS
        };
        let is_in_doubt = self.peers.values().any(is_doubtful);
        if is_in_doubt { CancelResult::Unknown } else { CancelResult::NotFound }
    }

    /// Other entries that have been heard lately.
    fn live_entries(&self, now: ClockTime) -> IndexSet<VmName> {
        let is_live = |vm: &VmName| {
            self.peers.get(vm).is_some_and(|it| {
                let is_recent = now.since_ms(it.last_contact_at) <= PEER_TIMEOUT_MS;
                it.heartbeat.role == VmRole::Entry && !it.is_lost && is_recent
            })
        };
        self.peers.keys().filter(|it| is_live(it)).cloned().collect()
    }

    /// Tells an entry that was lost of the jobs that were cancelled meanwhile.
    pub(super) fn repeat_cancels(&mut self, vm: &VmName) {
        let remembered = self.cancels.remembered.iter();
        let jobs: Vec<(JobCode, String, u64)> =
            remembered.map(|(_, code, route)| (*code, route.clone(), 0)).collect();
        if !jobs.is_empty() {
            self.send(vm, CellMessage::CancelJobs(jobs));
        }
    }

    /// Forgets the cancellation of a job that its caller submits again.
    pub(super) fn forget_cancelled(&mut self, code: JobCode, route: &str) {
        self.cancels.remembered.retain(|(_, it, of)| *it != code || of != route);
    }

    fn remember_cancelled(&mut self, code: JobCode, route: &str, now: ClockTime) {
        if MAX_REMEMBERED <= self.cancels.remembered.len() {
            self.cancels.remembered.pop_front();
        }
        self.cancels.remembered.push_back((now, code, route.to_owned()));
    }

    fn answer_cancel(
        &mut self,
        call: CallNumber,
        code: JobCode,
        result: CancelResult,
        now: ClockTime,
    ) {
        let outcome = match result {
            CancelResult::Cancelled => "cancelled",
            CancelResult::NotFound => "not found",
            CancelResult::Unknown => "not answered",
        };
        let record = DecisionRecord::new(now, DecisionEvent::JobWithdrawn, "cancel", outcome);
        self.log_decision(record.for_job(code));
        self.effects.push(NodeEffect::CancelAnswer(call, result));
    }
}
