//! A leader's endpoints: who they are, looks at them, and what time does to their runs.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, LEASE_MS, STALL_SLACK_MS},
        endpoint_directory::EndpointRecord,
        endpoint_order::OrderBody,
        endpoint_state::{EndpointState, PendingPoll, RunPhase},
    },
    prelude::*,
};

/// Longest wait of a look for an end, in ms: a third of the lease.
const LOOK_WAIT_MS: u64 = 260;

/// Time for which a run of a former leader waits for its job, in ms: entries offer their
/// jobs again as soon as they hear of the new leader, and the caller of an entry that is
/// gone may send a second copy elsewhere.
const ORPHAN_MS: u64 = 300;

/// Time from the acknowledgement of a stop until the run is over, in ms.
const STOP_MS: u64 = 55;

/// Time after which an unanswered stop is sent again, in ms.
const STOP_RESEND_MS: u64 = 150;

/// Time for which an end that a former leader's job may ask for is kept, in ms.
const FORMER_END_MS: u64 = 3_000;

/// Shortest wait of a look that is to see how far a run is, in ms.
const SHORT_LOOK_MS: u64 = 30;

impl CellDispatcher {
    /// Takes the endpoints of the cell, as announced.
    pub fn set_endpoints(&mut self, records: &[EndpointRecord], now: ClockTime) {
        let missing: Vec<EndpointName> = self
            .endpoints
            .keys()
            .filter(|name| !records.iter().any(|it| it.name == **name))
            .cloned()
            .collect();
        for name in missing {
            self.end_runs(&name, "gone", now);
            self.endpoints.swap_remove(&name);
        }
        for record in records {
            match self.endpoints.get_mut(&record.name) {
                Some(endpoint) if endpoint.record.incarnation == record.incarnation => {
                    endpoint.record = record.clone();
                }
                Some(endpoint) => {
                    endpoint.begin_life(record.clone(), now);
                }
                None => {
                    self.endpoints.insert(record.name.clone(), EndpointState::new(record.clone()));
                }
            }
        }
        self.look_everywhere(now);
        self.wants_pass = true;
        self.pass(now);
    }

    /// The endpoint's runs are over, on this proof.
    pub(super) fn end_runs(&mut self, name: &EndpointName, proof: &str, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let runs = std::mem::take(&mut endpoint.runs);
        for (task, run) in runs {
            self.requeue(task, run.run, name, proof, now);
        }
        self.wants_pass = true;
    }

    pub(super) fn look_everywhere(&mut self, now: ClockTime) {
        for idx in 0..self.endpoints.len() {
            self.look(idx, now);
        }
    }

    /// Sends a look where one is due: to claim, to renew a lease, to hear of ends.
    pub(super) fn look(&mut self, idx: usize, now: ClockTime) {
        let Some((name, endpoint)) = self.endpoints.get_index_mut(idx) else { return };
        if endpoint.look.is_some() || now < endpoint.retry_at {
            return;
        }
        let is_claim = !endpoint.claimed || endpoint.clock.is_none();
        if !is_claim && endpoint.runs.is_empty() && !endpoint.owes_cursor && endpoint.n_silent == 0
        {
            return;
        }
        let is_urgent = endpoint.runs.values().any(|it| it.phase == RunPhase::Doubted);
        let is_idle = endpoint.runs.values().all(|it| it.phase == RunPhase::Orphan);
        let wait_ms = if is_claim || is_urgent || is_idle || 0 < endpoint.n_silent {
            0
        } else {
            endpoint.overdue_in_ms(STALL_SLACK_MS, now).clamp(SHORT_LOOK_MS, LOOK_WAIT_MS)
        };
        // An endpoint that does not answer must be left to let its runs lapse.
        let renews = !is_claim && !is_idle && endpoint.n_silent == 0 && !self.is_fenced;
        let lease_until = if renews { endpoint.extend_lease(LEASE_MS, now) } else { None };
        let body = OrderBody::Poll { cursor: endpoint.cursor, wait_ms };
        let name = name.clone();
        let number = self.send_order(&name, lease_until, wait_ms, body);
        self.endpoints[idx].look = number.map(|number| PendingPoll { number, sent_at: now });
    }

    /// Lets time pass.
    pub fn tick(&mut self, own: &VmName, now: ClockTime) {
        self.forget_verdicts(now);
        self.withdraw_unwanted(own, now);
        self.former_done.retain(|_, at| now.since_ms(*at) < FORMER_END_MS);
        for idx in 0..self.endpoints.len() {
            self.tick_endpoint(idx, now);
            self.look(idx, now);
        }
        self.sort_out_waiting(now);
        self.wants_pass = true;
        self.pass(now);
    }

    pub(super) fn tick_endpoint(&mut self, idx: usize, now: ClockTime) {
        let Some((name, endpoint)) = self.endpoints.get_index(idx) else { return };
        let name = name.clone();
        if 0 < endpoint.n_silent && !endpoint.runs.is_empty() && endpoint.lease_is_over(now) {
            self.end_runs(&name, "lease ran out", now);
            return;
        }
        let mut over = Vec::new();
        let mut resend = Vec::new();
        let mut stray = Vec::new();
        for (task, run) in &endpoint.runs {
            match run.phase {
                RunPhase::Stopping { acked_at: Some(at), .. } if STOP_MS <= now.since_ms(at) => {
                    over.push((*task, run.run));
                }
                RunPhase::Stopping { acked_at: None, .. }
                    if STOP_RESEND_MS <= now.since_ms(run.sent_at) && endpoint.retry_at <= now =>
                {
                    resend.push(*task);
                }
                RunPhase::Orphan if ORPHAN_MS <= now.since_ms(run.since) => stray.push(*task),
                _ => {}
            }
        }
        for (task, run) in over {
            self.remove_run(&name, task, run);
            self.requeue(task, run, &name, "stop acknowledged", now);
        }
        for task in resend {
            self.send_stop(&name, task, now);
        }
        for task in stray {
            self.stop_run(&name, task, "no job claims it", now);
        }
    }
}
