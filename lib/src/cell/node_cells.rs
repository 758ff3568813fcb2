//! Cells that an entry claims, cedes and loses.

use crate::{
    cell::{
        cell_dispatcher::CellDispatcher,
        cell_leadership::{self, LeaderCandidate},
        cell_message::{CellMessage, CellName},
        cell_node::{CellNode, LedCell, ORDER_SPACE, SILENT_MS},
        decision_record::{DecisionEvent, DecisionRecord},
    },
    prelude::*,
    vm_layout::VmRole,
};

/// Time for which an entry without routes counts as one that will have them, in ms: an
/// election of the control group and a push.
const PLANLESS_MS: u64 = 1_500;

/// Time without a newly heard VM after which an entry that joins claims cells that seem to have
/// no leader, in ms: three beats of each VM that it learns of.
const SETTLE_MS: u64 = 400;
/// Time after which it claims them in any case, in ms: others may come one after the other.
const MAX_SETTLE_MS: u64 = 2_000;

/// Silence of a whole data centre after which others lead its cells, in ms.
const FAR_CLAIM_MS: u64 = 1_500;

/// Time for which a fenced leader listens for another's claim before it claims anew, in ms.
const FENCED_MS: u64 = 200;

/// Fences in a row up to which each lengthens the pause before the next claim.
const MAX_FENCES: u64 = 8;

/// Time after which former fences no longer count, in ms.
const FENCES_KEPT_MS: u64 = 5_000;

/// Time between two cells that are ceded to even out the load, in ms.
const CEDE_PAUSE_MS: u64 = 4_000;

/// Time after a start until all endpoints and entries are known, in ms: endpoints announce
/// themselves each one to two seconds.
const LEARNING_MS: u64 = 4_000;

impl CellNode {
    pub(super) fn candidates(&self, now: ClockTime) -> Vec<LeaderCandidate> {
        let own_cells =
            self.led.iter().map(|(name, it)| (name.clone(), it.dispatcher.token())).collect();
        let mut candidates = vec![LeaderCandidate {
            vm: self.settings.owner.vm.clone(),
            centre: self.settings.centre.clone(),
            weight: self.settings.weight,
            stopping: self.stopping,
            cells: own_cells,
        }];
        for (vm, peer) in &self.peers {
            // One that has only just started is about to get the routes, as others are.
            let is_new = now.since_ms(peer.found_at) < PLANLESS_MS;
            let may_lead = is_new || 0 < peer.beat.plan_version;
            let is_entry = peer.beat.role == VmRole::Entry && may_lead;
            if is_entry && !peer.is_lost && now.since_ms(peer.heard_at) <= SILENT_MS {
                candidates.push(LeaderCandidate {
                    vm: vm.clone(),
                    centre: peer.beat.centre.clone(),
                    weight: peer.beat.weight,
                    stopping: peer.beat.stopping,
                    cells: peer.beat.cells.iter().map(|it| (it.cell.clone(), it.token)).collect(),
                });
            }
        }
        candidates
    }

    /// Claims the cells that fall to this entry.
    pub(super) fn claim_cells(&mut self, now: ClockTime) {
        let has_settled = self.joined_at.is_some_and(|it| {
            SETTLE_MS <= now.since_ms(self.found_at) || MAX_SETTLE_MS <= now.since_ms(it)
        });
        let may_claim = self.resumes_at <= now && !self.is_isolated(now) && has_settled;
        // A leader needs no routes: offers carry what it must know.
        let has_routes = self.plan.is_some() || now.since_ms(self.started_at) < PLANLESS_MS;
        if self.stopping || !has_routes || !may_claim {
            return;
        }
        let cells = self.cells();
        let candidates = self.candidates(now);
        for (cell, vm) in cell_leadership::assign_cells(cells.keys(), &candidates) {
            if vm != self.settings.owner.vm || self.led.contains_key(&cell) {
                continue;
            }
            if cell.centre != self.settings.centre && !self.centre_is_silent(&cell.centre, now) {
                continue;
            }
            if self.fences.get(&cell).is_some_and(|(_, until)| now < *until) {
                continue;
            }
            self.claim(&cell, "fell to this entry", now);
        }
    }

    pub(super) fn centre_is_silent(&self, centre: &DataCentre, now: ClockTime) -> bool {
        let mut of_centre = self
            .peers
            .values()
            .filter(|it| it.beat.role == VmRole::Entry && it.beat.centre == *centre);
        let is_past_start = LEARNING_MS < now.since_ms(self.started_at);
        is_past_start && of_centre.all(|it| FAR_CLAIM_MS < now.since_ms(it.heard_at))
    }

    pub(super) fn claim(&mut self, cell: &CellName, why: &str, now: ClockTime) {
        if self.led.contains_key(cell) || self.stopping {
            return;
        }
        let n_fences = self.fences.get(cell).map_or(0, |(n_fences, _)| *n_fences);
        let own = &self.settings.owner.vm;
        let token = cell_leadership::next_token(own, self.highest_token, n_fences, now);
        self.highest_token = token;
        self.n_cells_led += 1;
        let first_order = self.n_cells_led * ORDER_SPACE;
        let is_known = self.knows_endpoints(cell, now);
        let mut dispatcher = CellDispatcher::new(cell.clone(), token, first_order, is_known)
            .with_off_rack_milli(self.settings.off_rack_milli);
        let records = self.cells().swap_remove(cell).unwrap_or_default();
        let note = DecisionRecord::new(now, DecisionEvent::CellClaimed, cell.to_string(), why);
        self.note(note.with("token", token).with("endpoints", records.len() as u64));
        dispatcher.set_endpoints(&records, now);
        let led = LedCell { dispatcher, fenced_at: None };
        self.led.insert(cell.clone(), led);
        self.view_own_cells(now);
        let own = self.settings.owner.vm.clone();
        self.router.handle_new_leader(cell, &own, now);
        self.carry_out(now);
        self.route_adrift(now);
        self.beat_at = now;
    }

    /// Whether every endpoint of a cell that a former leader may have used is known here.
    ///
    /// Behind a cut, endpoints are born of which nobody on this side has told.
    fn knows_endpoints(&self, cell: &CellName, now: ClockTime) -> bool {
        cell.centre == self.settings.centre
            && LEARNING_MS <= now.since_ms(self.started_at)
            && LEARNING_MS <= now.since_ms(self.untold_at)
    }

    pub(super) fn lose_cell(&mut self, cell: &CellName, now: ClockTime) {
        let Some(mut led) = self.led.swap_remove(cell) else { return };
        led.dispatcher.give_up(now);
        self.views.retain(|name, it| name != cell || it.leader != self.settings.owner.vm);
        let effects = led.dispatcher.take_effects();
        for effect in effects {
            self.carry_out_effect(cell, effect, now);
        }
    }

    /// Gives every cell to another entry and takes no new ones.
    pub fn stop(&mut self, now: ClockTime) {
        self.stopping = true;
        let note = DecisionRecord::new(now, DecisionEvent::ReadyChanged, "process", "stops");
        self.note(note.with("cells", self.led.len() as u64));
        self.cede_all(now);
        self.send_beats(now);
        self.carry_out(now);
    }

    pub(super) fn cede_all(&mut self, now: ClockTime) {
        let candidates = self.candidates(now);
        let cells: Vec<CellName> = self.led.keys().cloned().collect();
        for (cell, heir) in cell_leadership::assign_cells(cells.iter(), &candidates) {
            let Some(led) = self.led.get(&cell) else { continue };
            let token = led.dispatcher.token();
            self.send(&heir, CellMessage::TransferLeadership(cell, token));
        }
    }

    pub(super) fn cede_surplus(&mut self, now: ClockTime) {
        if self.stopping || now.since_ms(self.ceded_at) < CEDE_PAUSE_MS {
            return;
        }
        let candidates = self.candidates(now);
        let own = &self.settings.owner.vm;
        let Some((cell, heir)) = cell_leadership::cell_to_hand_off(own, &candidates) else {
            return;
        };
        let Some(led) = self.led.get(&cell) else { return };
        let token = led.dispatcher.token();
        self.ceded_at = now;
        self.send(&heir, CellMessage::TransferLeadership(cell, token));
    }

    /// Reacts to an endpoint that knows a higher token.
    pub(super) fn take_fence(&mut self, cell: &CellName, now: ClockTime) {
        if let Some(led) = self.led.get_mut(cell) {
            led.fenced_at.get_or_insert(now);
        }
    }

    /// Gives up cells whose endpoints obey another, and claims them again in a while if no
    /// other is heard to lead them.
    pub(super) fn tick_fences(&mut self, now: ClockTime) {
        let is_due = |it: &LedCell| it.fenced_at.is_some_and(|at| FENCED_MS <= now.since_ms(at));
        let due: Vec<CellName> =
            self.led.iter().filter(|(_, it)| is_due(it)).map(|(name, _)| name.clone()).collect();
        for cell in due {
            self.lose_cell(&cell, now);
            let (n_fences, until) = self.fences.entry(cell).or_default();
            *n_fences += 1;
            *until = now.plus_ms(FENCED_MS * (*n_fences).min(MAX_FENCES));
        }
        self.fences.retain(|_, (_, until)| now.since_ms(*until) < FENCES_KEPT_MS);
    }
}
