//! Messages that an entry receives, and its view of peers, endpoints and routes.

use crate::{
    cell::{
        cell_message::{CellHeartbeat, CellMessage, CellName},
        cell_node::CellNode,
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_directory::{DirectoryChange, EndpointRecord},
        job_offer::{JobOffer, JobResult},
        job_router::CellView,
        route_plan::RoutePlan,
    },
    prelude::*,
    vm_layout::VmRole,
};

/// Delay beyond which an offer is rejected: the sender may count this entry as lost by then
/// and have offered the job to another leader.
const STALE_OFFER_MS: u64 = 500;

impl CellNode {
    /// Handles a message from another VM.
    pub fn handle_message(&mut self, from: &VmName, message: CellMessage, now: ClockTime) {
        self.detect_stall(now);
        match message {
            CellMessage::Offer(cell, offer, sent_at) => {
                self.handle_offer(from, cell, offer, sent_at, now);
            }
            CellMessage::KeepAlive(cell, waiting, sent_at) => {
                let delay_ms = self.peers.get(from).map_or(0, |it| it.delay_ms(sent_at, now));
                let sent_at = now.minus_ms(delay_ms);
                for (code, number) in waiting {
                    let led = self.led.get_mut(&cell);
                    let result = match led {
                        Some(led) => led.dispatcher.handle_keep_alive(from, code, number, sent_at),
                        None => Some(JobResult::NotLeader),
                    };
                    if let Some(result) = result {
                        let message = CellMessage::JobResult(cell.clone(), code, number, result);
                        self.send(from, message);
                    }
                }
            }
            CellMessage::JobResult(cell, code, number, result) => {
                self.handle_result(from, &cell, code, number, result, now);
            }
            CellMessage::Cancel(code) => {
                for led in self.led.values_mut() {
                    led.dispatcher.cancel(code, now);
                }
            }
            CellMessage::TransferLeadership(cell, token) => {
                self.highest_token = self.highest_token.max(token);
                self.claim(&cell, "ceded", now);
                self.send_heartbeats(now);
            }
            CellMessage::Endpoints(records) => self.merge_endpoints(records, now),
            CellMessage::EndpointsRequest => {
                let snapshot = CellMessage::Endpoints(self.directory.snapshot());
                self.send(from, snapshot);
            }
            CellMessage::Plan(plan) => self.apply_plan(plan, now),
            CellMessage::CancelJobs(jobs) => self.handle_cancels(from, jobs, now),
            CellMessage::CancelAnswers(answers) => {
                self.handle_cancel_answers(from, answers, now);
            }
        }
        self.run_effects(now);
    }

    pub(super) fn handle_offer(
        &mut self,
        from: &VmName,
        cell: CellName,
        offer: JobOffer,
        sent_at: ClockTime,
        now: ClockTime,
    ) {
        let delay_ms = self.peers.get(from).map_or(0, |it| it.delay_ms(sent_at, now));
        let is_stale = STALE_OFFER_MS < delay_ms;
        match self.led.get_mut(&cell) {
            Some(led) if !is_stale && led.dispatcher.token() == offer.token => {
                led.dispatcher.handle_offer_sent_at(from, offer, now.minus_ms(delay_ms), now);
            }
            _ => {
                let outcome = if is_stale { "stale offer" } else { "not the leader" };
                let record =
                    DecisionRecord::new(now, DecisionEvent::JobRefused, cell.to_string(), outcome);
                self.log_decision(record.for_job(offer.job).with("delay_ms", delay_ms));
                let result = JobResult::Declined;
                self.send(from, CellMessage::JobResult(cell, offer.job, offer.number, result));
            }
        }
    }

    pub(super) fn apply_plan(&mut self, plan: RoutePlan, now: ClockTime) {
        let former = self.plan.as_ref().map_or(0, |it| it.version);
        if self.plan.is_some() && plan.version <= former {
            return;
        }
        let record = DecisionRecord::new(now, DecisionEvent::PlanInForce, "plan", "in force");
        self.log_decision(record.with("version", plan.version).with("former", former));
        let is_first = self.plan.is_none();
        self.plan = Some(plan);
        if is_first {
            self.claim_cells(now);
        }
    }

    pub(super) fn merge_endpoints(&mut self, records: Vec<(EndpointRecord, bool)>, now: ClockTime) {
        let mut is_changed = false;
        for (record, gone) in records {
            let name = record.name.clone();
            let (leaving, incarnation) = (record.leaving, record.incarnation);
            if self.directory.merge(record, gone, now) == DirectoryChange::Changed {
                is_changed = true;
                let event =
                    if gone { DecisionEvent::EndpointGone } else { DecisionEvent::EndpointChanged };
                let outcome = if leaving { "leaving" } else { "announced" };
                let record = DecisionRecord::new(now, event, name.as_str(), outcome);
                self.log_decision(record.with("born", incarnation));
            }
        }
        // Updates come one by one when all endpoints announce themselves; the next tick applies
        // them together.
        self.has_endpoint_updates |= is_changed;
    }

    /// Applies the directory to the led cells and claims cells that are new.
    pub(super) fn apply_endpoints(&mut self, now: ClockTime) {
        for (name, led) in &mut self.led {
            let records: Vec<EndpointRecord> = self.directory.endpoints_of(name).cloned().collect();
            led.dispatcher.set_endpoints(&records, now);
        }
        self.claim_cells(now);
    }

    /// Sends the routes to a peer with older ones when no control VM is reachable.
    pub(super) fn update_peer(&mut self, from: &VmName, heartbeat: &CellHeartbeat, now: ClockTime) {
        if heartbeat.role == VmRole::Entry
            && self.is_without_control(now)
            && let Some(plan) = self.plan.clone()
            && heartbeat.plan_version < plan.version
        {
            self.send(from, CellMessage::Plan(plan));
        }
    }

    /// Applies a peer's reports of the cells that it leads.
    pub(super) fn apply_reports(&mut self, from: &VmName, now: ClockTime) {
        let Some(peer) = self.peers.get(from) else { return };
        let reports = peer.heartbeat.cells.clone();
        for report in reports {
            let cell = report.cell.clone();
            let own_token = self.led.get(&cell).map(|it| it.dispatcher.token());
            let is_superfluous = cell.centre != self.settings.centre
                && self.led.get(&cell).is_some_and(|it| !it.dispatcher.is_token_accepted());
            if is_superfluous {
                // The cell of another data centre was only unreachable: its own leader is back,
                // and no endpoint has obeyed this one.
                self.lose_cell(&cell, now);
            }
            let own_token = own_token.filter(|_| !is_superfluous);
            if own_token.is_some_and(|it| it < report.token) {
                self.lose_cell(&cell, now);
            }
            let known = self.views.get(&cell).map(|it| it.report.token);
            if known.is_some_and(|it| report.token < it)
                || own_token.is_some_and(|it| report.token < it)
            {
                continue;
            }
            let is_new_leader = self.views.get(&cell).is_none_or(|it| it.leader != *from);
            let view = CellView {
                leader: from.clone(),
                report,
                reported_at: now,
                offered_cpu: 0,
                offered_work: 0,
            };
            self.views.insert(cell.clone(), view);
            if is_new_leader {
                self.router.handle_new_leader(&cell, from, now);
                self.route_unassigned(now);
            }
        }
    }

    /// Handles the loss of a connection to another VM.
    pub fn handle_connection_loss(&mut self, vm: &VmName, now: ClockTime) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.broken_at.get_or_insert(now);
        }
    }

    /// Counts a peer as lost and unassigns the jobs that it led.
    pub(super) fn lose_peer(&mut self, vm: &VmName, reason: &str, now: ClockTime) {
        let Some(peer) = self.peers.get_mut(vm) else { return };
        if std::mem::replace(&mut peer.is_lost, true) {
            return;
        }
        let silent_ms = now.since_ms(peer.last_contact_at);
        self.relay_recipients = None;
        let record = DecisionRecord::new(now, DecisionEvent::PeerLost, vm.as_str(), reason);
        self.log_decision(record.with("silent_ms", silent_ms));
        self.router.handle_lost_leader(vm, now);
        self.views.retain(|_, it| it.leader != *vm);
        for led in self.led.values_mut() {
            led.dispatcher.cancel_jobs_of(vm, now);
        }
        self.claim_cells(now);
    }
}
