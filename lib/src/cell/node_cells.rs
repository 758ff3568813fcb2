//! Cells that an entry claims, hands off and loses.

use crate::{
    cell::{
        cell_dispatcher::CellDispatcher,
        cell_leadership::{self, LeaderCandidate},
        cell_message::{CellMessage, CellName},
        cell_node::{CellNode, LedCell, ORDERS_PER_CELL, PEER_TIMEOUT_MS},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_directory::EndpointRecord,
    },
    prelude::*,
    vm_layout::VmRole,
};

/// Time for which an entry without routes is still expected to get them: an election of the
/// control group and a push.
const PLAN_WAIT_MS: u64 = 1_500;

/// Time without a newly found VM after which a joining entry claims cells that seem to have
/// no leader: three heartbeats of each VM that it learns of.
const SETTLE_MS: u64 = 400;
/// Time after which a joining entry claims cells in any case: VMs may be found one by one.
const MAX_SETTLE_MS: u64 = 2_000;

/// Time without a heartbeat of any entry of a data centre after which entries of other data
/// centres claim its cells.
const REMOTE_CLAIM_MS: u64 = 1_500;

/// Time for which a fenced leader waits for another's claim to reach it, and unit of the pause
/// before it claims the cell again.
const FENCE_PAUSE_MS: u64 = 200;

/// Number of fences in a row beyond which the pause before the next claim grows no more.
const MAX_FENCES: u64 = 8;

/// Time after the end of the pause after which the number of fences starts from zero again.
const FENCE_MEMORY_MS: u64 = 5_000;

/// Time between two hand-offs of cells for load balancing.
const HAND_OFF_PAUSE_MS: u64 = 4_000;

/// Time after a start until all endpoints and entries are known: endpoints announce
/// themselves every one to two seconds.
const LEARNING_MS: u64 = 4_000;

impl CellNode {
    /// This entry and the live peers that may lead cells.
    pub(super) fn candidates(&self, now: ClockTime) -> Vec<LeaderCandidate<'_>> {
        let mut candidates = vec![LeaderCandidate {
            vm: &self.settings.owner.vm,
            centre: &self.settings.centre,
            weight: self.settings.weight,
            stopping: self.stopping,
            cells: self.led.iter().map(|(name, it)| (name, it.dispatcher.token())).collect(),
        }];
        for (vm, peer) in &self.peers {
            let heartbeat = &peer.heartbeat;
            // A peer that has just started gets the routes soon.
            let is_new = now.since_ms(peer.found_at) < PLAN_WAIT_MS;
            let may_lead = is_new || 0 < heartbeat.plan_version;
            let is_entry = heartbeat.role == VmRole::Entry && may_lead;
            if is_entry && !peer.is_lost && now.since_ms(peer.last_contact_at) <= PEER_TIMEOUT_MS {
                candidates.push(LeaderCandidate {
                    vm,
                    centre: &heartbeat.centre,
                    weight: heartbeat.weight,
                    stopping: heartbeat.stopping,
                    cells: heartbeat.cells.iter().map(|it| (&it.cell, it.token)).collect(),
                });
            }
        }
        candidates
    }

    /// Claims the cells that the assignment gives to this entry.
    pub(super) fn claim_cells(&mut self, now: ClockTime) {
        let has_settled = self.joined_at.is_some_and(|it| {
            SETTLE_MS <= now.since_ms(self.last_peer_found_at) || MAX_SETTLE_MS <= now.since_ms(it)
        });
        let may_claim = self.resumes_at <= now && !self.is_isolated(now) && has_settled;
        // A leader needs no routes, as offers carry what it must know. So an entry that has just
        // started may claim cells before it gets them.
        let has_routes = self.plan.is_some() || now.since_ms(self.started_at) < PLAN_WAIT_MS;
        if self.stopping || !has_routes || !may_claim {
            return;
        }
        let candidates = self.candidates(now);
        for (cell, vm) in cell_leadership::assign_cells(self.directory.cells(), &candidates) {
            if vm != self.settings.owner.vm || self.led.contains_key(&cell) {
                continue;
            }
            if cell.centre != self.settings.centre && !self.is_centre_unreachable(&cell.centre, now)
            {
                continue;
            }
            if self.fences.get(&cell).is_some_and(|(_, until)| now < *until) {
                continue;
            }
            self.claim(&cell, "fell to this entry", now);
        }
    }

    /// Whether no entry of a data centre has been heard for [`REMOTE_CLAIM_MS`].
    pub(super) fn is_centre_unreachable(&self, centre: &DataCentre, now: ClockTime) -> bool {
        let mut centre_entries = self
            .peers
            .values()
            .filter(|it| it.heartbeat.role == VmRole::Entry && it.heartbeat.centre == *centre);
        let is_past_start = LEARNING_MS < now.since_ms(self.started_at);
        is_past_start && centre_entries.all(|it| REMOTE_CLAIM_MS < now.since_ms(it.last_contact_at))
    }

    /// Becomes the leader of a cell under a new token.
    pub(super) fn claim(&mut self, cell: &CellName, reason: &str, now: ClockTime) {
        if self.led.contains_key(cell) || self.stopping {
            return;
        }
        let n_fences = self.fences.get(cell).map_or(0, |(n_fences, _)| *n_fences);
        let own = &self.settings.owner.vm;
        let token = cell_leadership::next_token(own, self.highest_token, n_fences, now);
        self.highest_token = token;
        self.n_cells_led += 1;
        let first_order = self.n_cells_led * ORDERS_PER_CELL;
        let is_known = self.knows_endpoints(cell, now);
        let mut dispatcher = CellDispatcher::new(cell.clone(), token, first_order, is_known)
            .with_off_rack_milli(self.settings.off_rack_milli)
            .with_bounds(self.settings.bounds);
        let records: Vec<EndpointRecord> = self.directory.endpoints_of(cell).cloned().collect();
        let record = DecisionRecord::new(now, DecisionEvent::CellClaimed, cell.to_string(), reason);
        self.log_decision(record.with("token", token).with("endpoints", records.len() as u64));
        dispatcher.set_endpoints(&records, now);
        let led = LedCell { dispatcher, fenced_at: None };
        self.led.insert(cell.clone(), led);
        self.refresh_own_views(now);
        let own = self.settings.owner.vm.clone();
        self.router.handle_new_leader(cell, &own, now);
        self.run_effects(now);
        self.route_unassigned(now);
        self.has_leadership_news = true;
        self.next_heartbeat_at = now;
    }

    /// Whether every endpoint of a cell that a former leader may have used is known here.
    ///
    /// During a partition endpoints may start on the other side without any update reaching
    /// this one.
    fn knows_endpoints(&self, cell: &CellName, now: ClockTime) -> bool {
        cell.centre == self.settings.centre
            && LEARNING_MS <= now.since_ms(self.started_at)
            && LEARNING_MS <= now.since_ms(self.uninformed_at)
    }

    /// Stops leading a cell and drops its dispatcher.
    pub(super) fn lose_cell(&mut self, cell: &CellName, now: ClockTime) {
        let Some(mut led) = self.led.swap_remove(cell) else { return };
        led.dispatcher.release_cell(now);
        self.highest_token = self.highest_token.max(led.dispatcher.highest_token());
        self.views.retain(|name, it| name != cell || it.leader != self.settings.owner.vm);
        let effects = led.dispatcher.drain_effects();
        for effect in effects {
            self.run_effect(cell, effect, now);
        }
    }

    /// Hands off every cell and claims no new ones, as the process shuts down.
    pub fn stop(&mut self, now: ClockTime) {
        self.stopping = true;
        self.has_leadership_news = true;
        let record = DecisionRecord::new(now, DecisionEvent::ReadyChanged, "process", "stops");
        self.log_decision(record.with("cells", self.led.len() as u64));
        self.hand_off_all(now);
        self.send_heartbeats(now);
        self.run_effects(now);
    }

    /// Asks other entries to lead the cells of this one.
    pub(super) fn hand_off_all(&mut self, now: ClockTime) {
        let candidates = self.candidates(now);
        let cells: Vec<CellName> = self.led.keys().cloned().collect();
        for (cell, successor) in cell_leadership::assign_cells(cells.iter(), &candidates) {
            let Some(led) = self.led.get(&cell) else { continue };
            let token = led.dispatcher.highest_token();
            self.send(&successor, CellMessage::TransferLeadership(cell, token));
        }
    }

    /// Hands off a cell if another entry leads too few, or if it belongs to another data centre.
    pub(super) fn hand_off_surplus(&mut self, now: ClockTime) {
        if self.stopping || now.since_ms(self.last_hand_off_at) < HAND_OFF_PAUSE_MS {
            return;
        }
        let candidates = self.candidates(now);
        let own = &self.settings.owner.vm;
        let Some((cell, successor)) = cell_leadership::cell_to_hand_off(own, &candidates) else {
            return;
        };
        let Some(led) = self.led.get(&cell) else { return };
        let token = led.dispatcher.highest_token();
        self.last_hand_off_at = now;
        self.send(&successor, CellMessage::TransferLeadership(cell, token));
    }

    /// Handles the refusal of an endpoint that knows a higher token.
    pub(super) fn handle_fence(&mut self, cell: &CellName, now: ClockTime) {
        if let Some(led) = self.led.get_mut(cell) {
            led.fenced_at.get_or_insert(now);
        }
    }

    /// Gives up cells whose endpoints obey a higher token. After a pause they may be claimed
    /// again if no other leader has been heard.
    pub(super) fn tick_fences(&mut self, now: ClockTime) {
        let is_due =
            |it: &LedCell| it.fenced_at.is_some_and(|at| FENCE_PAUSE_MS <= now.since_ms(at));
        let fenced: Vec<CellName> =
            self.led.iter().filter(|(_, it)| is_due(it)).map(|(name, _)| name.clone()).collect();
        for cell in fenced {
            self.lose_cell(&cell, now);
            let (n_fences, until) = self.fences.entry(cell).or_default();
            *n_fences += 1;
            *until = now.plus_ms(FENCE_PAUSE_MS * (*n_fences).min(MAX_FENCES));
        }
        self.fences.retain(|_, (_, until)| now.since_ms(*until) < FENCE_MEMORY_MS);
    }
}
