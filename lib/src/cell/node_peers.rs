//! What an entry hears of other VMs, of endpoints and of routes.

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_message::{CellHeartbeat, CellMessage, CellName},
        cell_node::{CellNode, NodeEffect, PeerView},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_directory::{DirectoryChange, EndpointRecord},
        job_offer::{JobOffer, JobVerdict},
        job_router::CellView,
        route_plan::RoutePlan,
    },
    prelude::*,
    vm_layout::VmRole,
};

/// Delay after which an offer is not taken, in ms: its sender counts this entry as lost by
/// then and may have turned elsewhere.
const STALE_OFFER_MS: u64 = 500;

/// Beats of which the quickest tells the difference of two clocks.
const OFFSET_BEATS: usize = 32;

impl CellNode {
    /// Takes a message from another VM.
    pub fn handle_message(&mut self, from: &VmName, message: CellMessage, now: ClockTime) {
        self.wake(now);
        match message {
            CellMessage::Offer(cell, offer, sent_at) => {
                self.take_offer(from, cell, offer, sent_at, now);
            }
            CellMessage::KeepAlive(cell, wanted) => {
                for (code, number) in wanted {
                    let led = self.led.get_mut(&cell);
                    let verdict = match led {
                        Some(led) => led.dispatcher.keep(from, code, number, now),
                        None => Some(JobVerdict::NotLeader),
                    };
                    if let Some(verdict) = verdict {
                        let ended = CellMessage::JobResult(cell.clone(), code, number, verdict);
                        self.send(from, ended);
                    }
                }
            }
            CellMessage::JobResult(cell, code, number, verdict) => {
                self.take_verdict(from, &cell, code, number, verdict, now);
            }
            CellMessage::Cancel(code) => {
                for led in self.led.values_mut() {
                    led.dispatcher.withdraw(code, now);
                }
            }
            CellMessage::TransferLeadership(cell, token) => {
                self.highest_token = self.highest_token.max(token);
                self.claim(&cell, "ceded", now);
                self.send_beats(now);
            }
            CellMessage::Endpoints(records) => self.take_endpoints(records, now),
            CellMessage::EndpointsRequest => {
                let everything = CellMessage::Endpoints(self.directory.snapshot());
                self.send(from, everything);
            }
            CellMessage::Plan(plan) => self.take_plan(plan, now),
        }
        self.carry_out(now);
    }

    pub(super) fn take_offer(
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
                led.dispatcher.offer(from, offer, now);
            }
            _ => {
                let outcome = if is_stale { "stale offer" } else { "not the leader" };
                let note =
                    DecisionRecord::new(now, DecisionEvent::JobRefused, cell.to_string(), outcome);
                self.note(note.for_job(offer.job).with("delay_ms", delay_ms));
                let verdict = JobVerdict::NotLeader;
                self.send(from, CellMessage::JobResult(cell, offer.job, offer.number, verdict));
            }
        }
    }

    pub(super) fn take_plan(&mut self, plan: RoutePlan, now: ClockTime) {
        let former = self.plan.as_ref().map_or(0, |it| it.version);
        if self.plan.is_some() && plan.version <= former {
            return;
        }
        let note = DecisionRecord::new(now, DecisionEvent::PlanInForce, "plan", "in force");
        self.note(note.with("version", plan.version).with("former", former));
        let is_first = self.plan.is_none();
        self.plan = Some(plan);
        if is_first {
            self.claim_cells(now);
        }
    }

    pub(super) fn take_endpoints(&mut self, records: Vec<(EndpointRecord, bool)>, now: ClockTime) {
        let mut is_changed = false;
        for (record, gone) in records {
            let name = record.name.clone();
            let (leaving, born) = (record.leaving, record.incarnation);
            if self.directory.merge(record, gone, now) == DirectoryChange::Changed {
                is_changed = true;
                let event =
                    if gone { DecisionEvent::EndpointGone } else { DecisionEvent::EndpointChanged };
                let outcome = if leaving { "leaving" } else { "announced" };
                let note = DecisionRecord::new(now, event, name.as_str(), outcome);
                self.note(note.with("born", born));
            }
        }
        // News come one by one when all endpoints announce themselves; the next tick is soon
        // enough for all of them.
        self.has_endpoint_news |= is_changed;
    }

    /// Endpoints by cell.
    pub(super) fn cells(&self) -> IndexMap<CellName, Vec<EndpointRecord>> {
        let mut cells: IndexMap<CellName, Vec<EndpointRecord>> = IndexMap::new();
        for record in self.directory.live() {
            cells.entry(cell_of(record)).or_default().push(record.clone());
        }
        cells
    }

    pub(super) fn spread_endpoints(&mut self, now: ClockTime) {
        let cells = self.cells();
        for (name, led) in &mut self.led {
            let records = cells.get(name).map_or(&[][..], |it| it.as_slice());
            led.dispatcher.set_endpoints(records, now);
        }
        self.claim_cells(now);
    }

    /// Takes a beat from another VM.
    pub fn handle_heartbeat(&mut self, from: &VmName, beat: CellHeartbeat, now: ClockTime) {
        if beat.owner.vm != *from || *from == self.settings.owner.vm {
            return;
        }
        self.wake(now);
        if self.peers.values().all(|it| it.is_lost) {
            self.joined_at = Some(now);
        }
        let known = self.peers.get(from);
        let is_new_life = known.is_none_or(|it| it.beat.owner.incarnation < beat.owner.incarnation);
        if known.is_some_and(|it| beat.owner.incarnation < it.beat.owner.incarnation) {
            return;
        }
        let was_lost = known.is_none_or(|it| it.is_lost);
        if is_new_life && known.is_some() {
            self.lose_peer(from, "another life", now);
        }
        if was_lost || is_new_life {
            self.found_at = now;
            let note = DecisionRecord::new(now, DecisionEvent::PeerFound, from.as_str(), "heard");
            self.note(note.with("plan_version", beat.plan_version));
        }
        if beat.role == VmRole::Control && !self.controls.contains(from) {
            self.controls.push(from.clone());
        }
        self.meet_members(&beat, now);
        self.help_peer(from, &beat, now);
        for report in &beat.cells {
            self.highest_token = self.highest_token.max(report.token);
        }
        let mut offsets_ms = self
            .peers
            .get_mut(from)
            .map(|it| std::mem::take(&mut it.offsets_ms))
            .unwrap_or_default();
        if is_new_life {
            offsets_ms.clear();
        }
        offsets_ms.push_back(now.0 as i64 - beat.sent_at.0 as i64);
        if OFFSET_BEATS < offsets_ms.len() {
            offsets_ms.pop_front();
        }
        let found_at = self.peers.get(from).filter(|_| !is_new_life).map_or(now, |it| it.found_at);
        let sent_at = beat.sent_at;
        let mut view =
            PeerView { beat, heard_at: now, found_at, broken_at: None, is_lost: false, offsets_ms };
        // A beat that waited for a process that stood still says nothing of the present.
        view.heard_at = now.minus_ms(view.delay_ms(sent_at, now));
        self.peers.insert(from.clone(), view);
        self.follow_reports(from, now);
        if is_new_life && self.directory.live().next().is_none() {
            self.send(from, CellMessage::EndpointsRequest);
        }
        self.carry_out(now);
    }

    /// Begins to send beats to VMs that a control VM tells of.
    pub(super) fn meet_members(&mut self, beat: &CellHeartbeat, now: ClockTime) {
        for vm in &beat.members {
            if *vm != self.settings.owner.vm && !self.peers.contains_key(vm) {
                let own = self.beat(now);
                self.effects.push(NodeEffect::Heartbeat(vm.clone(), own));
            }
        }
        for vm in &beat.group.vms {
            if !self.controls.contains(vm) {
                self.controls.push(vm.clone());
            }
        }
    }

    /// Brings a peer up to date when no control VM can.
    pub(super) fn help_peer(&mut self, from: &VmName, beat: &CellHeartbeat, now: ClockTime) {
        if beat.role == VmRole::Entry
            && self.is_control_silent(now)
            && let Some(plan) = self.plan.clone()
            && beat.plan_version < plan.version
        {
            self.send(from, CellMessage::Plan(plan));
        }
    }

    /// Takes what a peer reports of its cells.
    pub(super) fn follow_reports(&mut self, from: &VmName, now: ClockTime) {
        let Some(peer) = self.peers.get(from) else { return };
        let reports = peer.beat.cells.clone();
        for report in reports {
            let cell = report.cell.clone();
            let own_token = self.led.get(&cell).map(|it| it.dispatcher.token());
            let is_vain = cell.centre != self.settings.centre
                && self.led.get(&cell).is_some_and(|it| !it.dispatcher.is_obeyed());
            if is_vain {
                // The cell was only out of reach.
                self.lose_cell(&cell, now);
            }
            let own_token = own_token.filter(|_| !is_vain);
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
                self.route_adrift(now);
            }
        }
    }

    /// A connection with another VM broke.
    pub fn handle_connection_loss(&mut self, vm: &VmName, now: ClockTime) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.broken_at.get_or_insert(now);
        }
    }

    pub(super) fn lose_peer(&mut self, vm: &VmName, why: &str, now: ClockTime) {
        let Some(peer) = self.peers.get_mut(vm) else { return };
        if std::mem::replace(&mut peer.is_lost, true) {
            return;
        }
        let silent_ms = now.since_ms(peer.heard_at);
        let note = DecisionRecord::new(now, DecisionEvent::PeerLost, vm.as_str(), why);
        self.note(note.with("silent_ms", silent_ms));
        self.router.handle_lost_leader(vm, now);
        self.views.retain(|_, it| it.leader != *vm);
        for led in self.led.values_mut() {
            led.dispatcher.withdraw_front(vm, now);
        }
        self.claim_cells(now);
    }
}

fn cell_of(record: &EndpointRecord) -> CellName {
    CellName {
        service: record.service.clone(),
        centre: record.centre.clone(),
        rack: record.rack.clone(),
    }
}
