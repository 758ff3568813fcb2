//! Endpoint membership, polls, and timeouts of runs.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, STALL_SLACK_MS},
        endpoint_directory::EndpointRecord,
        endpoint_order::OrderBody,
        endpoint_state::{EndpointState, NO_LIMIT, PendingPoll, RunPhase},
        run_proof::RunProof,
    },
    prelude::*,
};

/// Longest that a poll waits for a run to end, in ms: a third of the lease.
const POLL_WAIT_MS: u64 = 260;

/// How long an orphan waits for its job before it is stopped, in ms. Entries offer their jobs
/// again once they know the new leader. The endpoint's lease is not renewed meanwhile, so this time
/// decides nothing about a caller's second copy.
const ORPHAN_GRACE_MS: u64 = 300;

/// The same beside runs whose jobs were offered, in ms: they need the endpoint's lease, of which
/// 120 ms may be left once a killed leader is followed. Offers of live entries come within some
/// tens of ms.
const MIXED_ORPHAN_GRACE_MS: u64 = 100;

/// Time after which an unacknowledged stop is resent, in ms.
const STOP_RESEND_MS: u64 = 150;

/// How long a completed task is remembered while its job is not offered here, in ms.
const FORMER_END_CACHE_MS: u64 = 3_000;

/// Shortest wait of a poll that checks the progress of a run, in ms.
const MIN_POLL_WAIT_MS: u64 = 30;

impl CellDispatcher {
    /// Replaces the cell's endpoints by those announced.
    ///
    /// An endpoint that is no longer announced gets no starts, and is dropped once its runs are
    /// proved to be over: the departure may mean a former incarnation.
    pub fn set_endpoints(&mut self, records: &[EndpointRecord], now: ClockTime) {
        for (name, endpoint) in &mut self.endpoints {
            if !records.iter().any(|it| it.name == *name) {
                endpoint.departed_at.get_or_insert(now);
            }
        }
        for record in records {
            if let Some(endpoint) = self.endpoints.get_mut(&record.name) {
                endpoint.departed_at = None;
            }
            match self.endpoints.get_mut(&record.name) {
                Some(endpoint) if endpoint.record.incarnation == record.incarnation => {
                    endpoint.record = record.clone();
                    endpoint.is_announced = true;
                }
                // A poll may tell of an incarnation before its announcement arrives.
                Some(endpoint) if record.incarnation < endpoint.record.incarnation => {}
                Some(_) => self.begin_incarnation(record, now),
                None => {
                    let endpoint =
                        EndpointState::new(record.clone(), self.highest_token, self.bounds, now);
                    self.endpoints.insert(record.name.clone(), endpoint);
                }
            }
        }
        self.drop_gone(now);
        self.poll_all(now);
        self.needs_placement_pass = true;
        self.run_placement_pass(now);
    }

    /// Drops the endpoints that were announced as gone and can have no runs.
    fn drop_gone(&mut self, now: ClockTime) {
        let n_before = self.endpoints.len();
        self.endpoints.retain(|_, it| !it.is_gone(now));
        if self.endpoints.len() < n_before {
            // One that comes back refuses what was sent to it before.
            self.raise_token();
        }
    }

    /// Requeues the tasks of all runs on an endpoint, which are over.
    pub(super) fn requeue_runs(&mut self, name: &EndpointName, proof: RunProof, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let runs = std::mem::take(&mut endpoint.runs);
        for (task, run) in runs {
            self.requeue(task, &run, name, proof, now);
        }
        self.needs_placement_pass = true;
    }

    /// Begins another incarnation of a known endpoint.
    pub(super) fn begin_incarnation(&mut self, record: &EndpointRecord, now: ClockTime) {
        let token = self.raise_token();
        if let Some(endpoint) = self.endpoints.get_mut(&record.name) {
            endpoint.begin_incarnation(record.clone(), token, now);
        }
    }

    /// Begins an incarnation that an answer has told of. It gets no start before its announcement,
    /// which may be of another kind; endpoints that announce no incarnation are taken as they are.
    pub(super) fn begin_unannounced(
        &mut self,
        name: &EndpointName,
        incarnation: u64,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get(name) else { return };
        let announces_incarnation = 0 < endpoint.record.incarnation;
        let record = EndpointRecord { incarnation, ..endpoint.record.clone() };
        self.begin_incarnation(&record, now);
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.is_announced = !announces_incarnation;
        }
    }

    pub(super) fn poll_all(&mut self, now: ClockTime) {
        for idx in 0..self.endpoints.len() {
            self.poll(idx, now);
        }
    }

    /// Sets how long the lease of an endpoint may last, by the jobs of its runs.
    ///
    /// The bound goes with each run and not with its leader: a run that no job here claims grants no
    /// more lease, so takeovers, however many, never add to what was granted while its job's entry
    /// was heard. A stop that the endpoint has acknowledged ends its run by itself.
    pub(super) fn limit_lease(&mut self, idx: usize, now: ClockTime) {
        let Some((_, endpoint)) = self.endpoints.get_index_mut(idx) else { return };
        let mut limit = NO_LIMIT;
        for (task, run) in &endpoint.runs {
            if matches!(run.phase, RunPhase::Stopping { acked_at: Some(_) }) {
                continue;
            }
            let job = self.jobs.get(&task.job);
            let vouched_until =
                job.map_or(now, |it| it.last_keep_alive_at.plus_ms(self.bounds.unvouched_ms()));
            limit = limit.min(vouched_until);
        }
        endpoint.lease_limit = limit;
    }

    /// Sends a poll if one is due: to claim the endpoint, renew its lease or learn of ended runs.
    pub(super) fn poll(&mut self, idx: usize, now: ClockTime) {
        self.limit_lease(idx, now);
        let Some((name, endpoint)) = self.endpoints.get_index_mut(idx) else { return };
        if endpoint.poll.is_some() || now < endpoint.retry_at {
            return;
        }
        let is_claim = !endpoint.claimed || !endpoint.token_accepted || endpoint.clock.is_none();
        if !is_claim
            && endpoint.runs.is_empty()
            && !endpoint.owes_cursor
            && endpoint.n_unanswered == 0
        {
            return;
        }
        let is_urgent = endpoint.runs.values().any(|it| it.phase == RunPhase::Doubted);
        let is_idle = endpoint.runs.values().all(|it| it.phase == RunPhase::Orphan);
        let wait_ms = if is_claim || is_urgent || is_idle || 0 < endpoint.n_unanswered {
            0
        } else if endpoint.lease_limit <= now {
            // The lease is renewed as soon as the runs without a job are stopped.
            MIN_POLL_WAIT_MS
        } else {
            endpoint.overdue_in_ms(STALL_SLACK_MS, now).clamp(MIN_POLL_WAIT_MS, POLL_WAIT_MS)
        };
        // The lease of an endpoint that does not answer isn't renewed, so that its runs expire.
        let renews = !is_claim && !is_idle && endpoint.n_unanswered == 0 && !self.is_fenced;
        let lease_until = if renews { endpoint.extend_lease(now) } else { None };
        let body = OrderBody::Poll { cursor: endpoint.cursor, wait_ms };
        let name = name.clone();
        let number = self.send_order(&name, lease_until, wait_ms, body);
        self.endpoints[idx].poll = number.map(|number| PendingPoll { number, sent_at: now });
    }

    /// Handles timeouts, sends due polls and places waiting tasks.
    pub fn tick(&mut self, own: &VmName, now: ClockTime) {
        self.expire_results(now);
        self.expire_closed_runs(now);
        self.confirm_own_jobs(own, now);
        self.cancel_abandoned(own, now);
        self.done_before_offer.retain(|_, at| now.since_ms(*at) < FORMER_END_CACHE_MS);
        for idx in 0..self.endpoints.len() {
            self.tick_endpoint(idx, now);
            self.poll(idx, now);
        }
        self.drop_gone(now);
        self.update_rates(now);
        self.shed_waiting(now);
        self.needs_placement_pass = true;
        self.run_placement_pass(now);
    }

    pub(super) fn tick_endpoint(&mut self, idx: usize, now: ClockTime) {
        let Some((name, endpoint)) = self.endpoints.get_index(idx) else { return };
        let name = name.clone();
        if 0 < endpoint.n_unanswered && !endpoint.runs.is_empty() && endpoint.lease_is_over(now) {
            self.requeue_runs(&name, RunProof::LeaseExpired, now);
            // The lease ends what runs. A start that was never answered may still arrive, and
            // would be carried out under the next lease.
            let token = self.raise_token();
            if let Some(endpoint) = self.endpoints.get_mut(&name) {
                endpoint.raise_token(token);
            }
            return;
        }
        let mut over = Vec::new();
        let mut resend = Vec::new();
        let mut unclaimed = Vec::new();
        let is_mixed = endpoint.runs.values().any(|it| it.phase != RunPhase::Orphan);
        let grace_ms = if is_mixed { MIXED_ORPHAN_GRACE_MS } else { ORPHAN_GRACE_MS };
        let stop_span_ms = self.bounds.stop_span_ms();
        for (task, run) in &endpoint.runs {
            match run.phase {
                RunPhase::Stopping { acked_at: Some(at) } if stop_span_ms <= now.since_ms(at) => {
                    over.push((*task, run.run));
                }
                RunPhase::Stopping { acked_at: None }
                    if STOP_RESEND_MS <= now.since_ms(run.sent_at) && endpoint.retry_at <= now =>
                {
                    resend.push(*task);
                }
                RunPhase::Orphan if grace_ms <= now.since_ms(run.since) => unclaimed.push(*task),
                _ => {}
            }
        }
        for (task, run) in over {
            if let Some(run) = self.remove_run(&name, task, run) {
                self.requeue(task, &run, &name, RunProof::StopAcknowledged, now);
            }
        }
        for task in resend {
            self.send_stop(&name, task, now);
        }
        for task in unclaimed {
            self.stop_run(&name, task, "no job claims it", now);
        }
    }
}
