//! The state of an entry: the jobs of its callers, the cells that it leads, and what it
//! believes of endpoints, peers and routes.
//!
//! Each entry point takes the time and one event; effects are drained with
//! [`CellNode::take_effects`].

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect},
        cell_message::{CellHeartbeat, CellMessage, CellName},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_directory::EndpointDirectory,
        endpoint_order::{EndpointOrder, OrderNumber, OrderOutcome},
        job_offer::{JobCode, JobVerdict, RefusalCause},
        job_router::{CellView, JobRouter},
        route_plan::RoutePlan,
    },
    config_state::ControlGroup,
    entry_node::CallNumber,
    job_ledger::OwnerId,
    prelude::*,
    vm_layout::VmRole,
};

/// Time between beats to other VMs, in ms.
const BEAT_MS: u64 = 120;
/// Beats to a control VM or an entry of another data centre go out each so many beats.
const FAR_BEATS: u64 = 2;
/// Silence after which a VM counts as lost, in ms: five beats.
pub(super) const SILENT_MS: u64 = 700;
/// Time for which a VM whose connections broke may still show that it lives, in ms.
const BROKEN_MS: u64 = 300;
/// Time after which a leader is told again that a caller still waits, in ms: three times
/// within the span after which the leader withdraws the job.
const WANTED_MS: u64 = 300;
/// Time for which a job waits for a cell or a leader before it is refused, in ms.
const LEADERLESS_MS: u64 = 400;
/// Time after which a job that was with a lost leader is given up, in ms: the leases of
/// its runs have run out by then, so the caller's second copy meets none.
const ADRIFT_MS: u64 = 1_200;
/// Silence after which an endpoint is forgotten, in ms: control VMs repeat each four seconds.
const ENDPOINT_EXPIRY_MS: u64 = 20_000;
/// Silence of all control VMs after which entries bring each other up to date, in ms.
const CONTROL_SILENT_MS: u64 = 1_000;
/// Time without a tick after which an entry has stood still and others count it as lost, in
/// ms: it then leads nothing any more.
const STALL_MS: u64 = SILENT_MS - 100;
/// Time after a stall in which nothing is begun, in ms: callers that have left and entries
/// that have taken over are noticed first.
const WAKE_MS: u64 = 260;
/// Step between the order numbers of two cells.
pub(super) const ORDER_SPACE: u64 = 1 << 40;

/// Settings of an entry.
#[derive(Data!)]
pub struct CellSettings {
    /// This process.
    pub owner: OwnerId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub weight: u64,
    /// Control VMs to begin with.
    pub controls: Vec<VmName>,
    /// Factor on the run time of a task off its data's rack, in thousandths.
    pub off_rack_milli: u64,
}

/// Something for the surroundings to do.
#[derive(Data!)]
pub enum NodeEffect {
    /// Send an order to an endpoint.
    Order(EndpointOrder),
    /// Send a message by TCP.
    Send(VmName, CellMessage),
    /// Send a beat by UDP.
    Heartbeat(VmName, CellHeartbeat),
    /// A call's job ended.
    Answer(CallNumber, JobVerdict),
    /// Write a line.
    LogDecision(DecisionRecord),
}

pub(super) struct PeerView {
    pub(super) beat: CellHeartbeat,
    pub(super) heard_at: ClockTime,
    /// When this life was first heard.
    pub(super) found_at: ClockTime,
    pub(super) broken_at: Option<ClockTime>,
    pub(super) is_lost: bool,
    /// Differences of our time and the sender's, in ms, of the last beats.
    pub(super) offsets_ms: VecDeque<i64>,
}

impl PeerView {
    /// Time for which something sent at `sent_at` was on its way beyond what is usual, in ms.
    pub(super) fn delay_ms(&self, sent_at: ClockTime, now: ClockTime) -> u64 {
        let usual_ms = self.offsets_ms.iter().min().copied().unwrap_or(i64::MAX);
        let passed_ms = now.0 as i64 - sent_at.0 as i64;
        passed_ms.saturating_sub(usual_ms).max(0) as u64
    }
}

pub(super) struct LedCell {
    pub(super) dispatcher: CellDispatcher,
    pub(super) fenced_at: Option<ClockTime>,
}

/// The state of an entry.
pub struct CellNode {
    pub(super) settings: CellSettings,
    pub(super) plan: Option<RoutePlan>,
    pub(super) directory: EndpointDirectory,
    pub(super) peers: IndexMap<VmName, PeerView>,
    pub(super) controls: Vec<VmName>,
    pub(super) led: IndexMap<CellName, LedCell>,
    /// Cells whose endpoints obeyed another: how often, and when they may be claimed again.
    pub(super) fences: IndexMap<CellName, (u64, ClockTime)>,
    pub(super) views: IndexMap<CellName, CellView>,
    pub(super) router: JobRouter,
    pub(super) n_beats: u64,
    pub(super) beat_at: ClockTime,
    pub(super) active_at: ClockTime,
    pub(super) resumes_at: ClockTime,
    pub(super) ceded_at: ClockTime,
    pub(super) started_at: ClockTime,
    /// When it began to hear others, after a start or after it heard nobody.
    pub(super) joined_at: Option<ClockTime>,
    /// When no control VM was heard last, which would have told of new endpoints.
    pub(super) untold_at: ClockTime,
    /// Whether cells have not been told yet of what is new of endpoints.
    pub(super) has_endpoint_news: bool,
    /// When it last heard a VM anew.
    pub(super) found_at: ClockTime,
    pub(super) highest_token: u64,
    pub(super) n_cells_led: u64,
    pub(super) n_offers: u64,
    pub(super) stopping: bool,
    pub(super) effects: Vec<NodeEffect>,
}

impl CellNode {
    /// The state after a start.
    pub fn new(settings: CellSettings, now: ClockTime) -> CellNode {
        CellNode {
            controls: settings.controls.clone(),
            settings,
            plan: None,
            directory: EndpointDirectory::default(),
            peers: IndexMap::new(),
            led: IndexMap::new(),
            fences: IndexMap::new(),
            views: IndexMap::new(),
            router: JobRouter::default(),
            n_beats: 0,
            beat_at: now,
            active_at: now,
            resumes_at: now,
            ceded_at: now,
            started_at: now,
            joined_at: None,
            untold_at: now,
            has_endpoint_news: false,
            found_at: now,
            highest_token: 0,
            n_cells_led: 0,
            n_offers: 0,
            stopping: false,
            effects: Vec::new(),
        }
    }

    /// Drains the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<NodeEffect> {
        std::mem::take(&mut self.effects)
    }

    /// The routes in force, if any are known.
    pub fn plan(&self) -> Option<&RoutePlan> {
        self.plan.as_ref()
    }

    /// Takes the names of further control VMs.
    pub fn add_control_vms(&mut self, vms: Vec<VmName>) {
        for vm in vms {
            if !self.controls.contains(&vm) {
                self.controls.push(vm);
            }
        }
    }

    /// Jobs whose callers wait here.
    pub fn n_waiting(&self) -> usize {
        self.router.jobs.len()
    }

    /// Cells that this entry leads.
    pub fn n_led(&self) -> usize {
        self.led.len()
    }

    /// Jobs that have not ended in the cells that this entry leads.
    pub fn n_led_jobs(&self) -> usize {
        self.led.values().map(|it| it.dispatcher.n_jobs()).sum()
    }

    /// Endpoints whose life goes on.
    pub fn n_endpoints(&self) -> usize {
        self.directory.live().count()
    }

    /// Whether any of this entry's jobs or cells needs quick ticks.
    pub fn is_busy(&self) -> bool {
        !self.router.jobs.is_empty() || 0 < self.n_led_jobs()
    }

    /// Jobs of a route, seen from here, none of whose tasks has started.
    pub fn n_pending(&self, route: &str) -> u64 {
        self.led.values().map(|it| it.dispatcher.n_pending(route)).sum()
    }

    /// Whether this entry can serve callers.
    pub fn is_ready(&self, now: ClockTime) -> bool {
        self.plan.is_some() && !self.stopping && !self.is_isolated(now) && !self.views.is_empty()
    }

    /// Whether other VMs are known and none is heard.
    pub(super) fn is_isolated(&self, now: ClockTime) -> bool {
        let is_alone = !self.peers.values().any(|it| !it.is_lost);
        is_alone && SILENT_MS < now.since_ms(self.started_at)
    }

    /// Whether no control VM is heard, so that nobody tells of endpoints and routes.
    pub(super) fn is_control_silent(&self, now: ClockTime) -> bool {
        !self.peers.values().any(|it| {
            it.beat.role == VmRole::Control && now.since_ms(it.heard_at) < CONTROL_SILENT_MS
        })
    }

    pub(super) fn note(&mut self, note: DecisionRecord) {
        self.effects.push(NodeEffect::LogDecision(note));
    }

    pub(super) fn send(&mut self, to: &VmName, message: CellMessage) {
        self.effects.push(NodeEffect::Send(to.clone(), message));
    }

    /// Notices that the process stood still.
    pub(super) fn wake(&mut self, now: ClockTime) {
        let stall_ms = now.since_ms(self.active_at);
        self.active_at = now;
        if stall_ms < STALL_MS {
            return;
        }
        self.resumes_at = now.plus_ms(WAKE_MS);
        let note = DecisionRecord::new(now, DecisionEvent::ReadyChanged, "process", "stood still");
        self.note(note.with("stall_ms", stall_ms).with("cells", self.led.len() as u64));
        for cell in self.led.keys().cloned().collect::<Vec<_>>() {
            self.lose_cell(&cell, now);
        }
    }

    /// Takes what became of an order.
    pub fn handle_outcome(&mut self, order: &EndpointOrder, outcome: OrderOutcome, now: ClockTime) {
        self.wake(now);
        let OrderNumber(number) = order.number;
        let led = self.led.values_mut().find(|it| {
            it.dispatcher.has_endpoint(&order.endpoint)
                && number / ORDER_SPACE == it.dispatcher.last_order() / ORDER_SPACE
        });
        if let Some(led) = led {
            led.dispatcher.take_outcome(order, outcome, now);
        }
        self.carry_out(now);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: ClockTime) {
        self.wake(now);
        self.tick_peers(now);
        self.tick_fences(now);
        if std::mem::take(&mut self.has_endpoint_news) {
            self.spread_endpoints(now);
        }
        for led in self.led.values_mut() {
            led.dispatcher.tick(&self.settings.owner.vm, now);
        }
        self.carry_out(now);
        self.tick_jobs(now);
        if self.beat_at <= now {
            self.beat_at = now.plus_ms(BEAT_MS);
            if self.is_control_silent(now) {
                self.untold_at = now;
                self.directory.refresh_all(now);
            }
            if !self.directory.expire(ENDPOINT_EXPIRY_MS, now).is_empty() {
                self.spread_endpoints(now);
            }
            self.claim_cells(now);
            self.cede_surplus(now);
            self.send_beats(now);
        }
        self.carry_out(now);
    }

    pub(super) fn tick_peers(&mut self, now: ClockTime) {
        let silent = |it: &PeerView| {
            let limit_ms = if it.broken_at.is_some() { BROKEN_MS } else { SILENT_MS };
            !it.is_lost && limit_ms < now.since_ms(it.heard_at)
        };
        let lost: Vec<VmName> =
            self.peers.iter().filter(|(_, it)| silent(it)).map(|(vm, _)| vm.clone()).collect();
        for vm in lost {
            self.lose_peer(&vm, "silent", now);
        }
    }

    pub(super) fn tick_jobs(&mut self, now: ClockTime) {
        self.route_adrift(now);
        let mut refused = Vec::new();
        let mut unknown = Vec::new();
        let mut again = IndexMap::new();
        for (code, job) in &self.router.jobs {
            match (&job.leader, job.was_offered) {
                (None, false) if LEADERLESS_MS <= now.since_ms(job.unassigned_since) => {
                    refused.push(*code);
                }
                (None, true) if ADRIFT_MS <= now.since_ms(job.unassigned_since) => {
                    unknown.push(*code)
                }
                (Some(leader), _) if WANTED_MS <= now.since_ms(job.offered_at) => {
                    if let Some(cell) = &job.cell
                        && *leader != self.settings.owner.vm
                    {
                        let wanted: &mut Vec<(JobCode, u64)> =
                            again.entry((leader.clone(), cell.clone())).or_default();
                        wanted.push((*code, job.offer.number));
                    }
                }
                _ => {}
            }
        }
        for code in refused {
            let verdict = JobVerdict::Refused(RefusalCause::NoLeader, LEADERLESS_MS);
            self.answer(code, verdict, now);
        }
        for code in unknown {
            self.answer(code, JobVerdict::Unknown, now);
        }
        for ((leader, cell), wanted) in again {
            for (code, _) in &wanted {
                if let Some(job) = self.router.jobs.get_mut(code) {
                    job.offered_at = now;
                }
            }
            self.send(&leader, CellMessage::KeepAlive(cell, wanted));
        }
    }

    pub(super) fn route_adrift(&mut self, now: ClockTime) {
        let adrift = self.router.jobs.iter().filter(|(_, it)| it.leader.is_none());
        let codes: Vec<JobCode> = adrift.map(|(code, _)| *code).collect();
        for code in codes {
            self.route(code, now);
        }
    }

    pub(super) fn beat(&self, now: ClockTime) -> CellHeartbeat {
        CellHeartbeat {
            owner: self.settings.owner.clone(),
            sent_at: now,
            role: VmRole::Entry,
            centre: self.settings.centre.clone(),
            weight: self.settings.weight,
            plan_version: self.plan.as_ref().map_or(0, |it| it.version),
            stopping: self.stopping,
            members: Vec::new(),
            group: ControlGroup::default(),
            cells: self.led.values().map(|it| it.dispatcher.report(now)).collect(),
        }
    }

    pub(super) fn view_own_cells(&mut self, now: ClockTime) {
        for (cell, led) in &self.led {
            let view = CellView {
                leader: self.settings.owner.vm.clone(),
                report: led.dispatcher.report(now),
                reported_at: now,
                offered_cpu: 0,
                offered_work: 0,
            };
            self.views.insert(cell.clone(), view);
        }
    }

    pub(super) fn send_beats(&mut self, now: ClockTime) {
        self.view_own_cells(now);
        let beat = self.beat(now);
        self.n_beats += 1;
        let is_far_turn = self.n_beats.is_multiple_of(FAR_BEATS);
        let mut to: Vec<VmName> = Vec::new();
        for (vm, peer) in &self.peers {
            let is_near =
                peer.beat.role == VmRole::Entry && peer.beat.centre == self.settings.centre;
            let leads = !beat.cells.is_empty() && peer.beat.role == VmRole::Entry;
            if is_near || leads || is_far_turn {
                to.push(vm.clone());
            }
        }
        if is_far_turn {
            to.extend(self.controls.iter().filter(|it| !self.peers.contains_key(*it)).cloned());
        }
        for vm in to {
            self.effects.push(NodeEffect::Heartbeat(vm, beat.clone()));
        }
    }

    pub(super) fn carry_out(&mut self, now: ClockTime) {
        loop {
            let mut effects = Vec::new();
            for (cell, led) in &mut self.led {
                let taken = led.dispatcher.take_effects();
                effects.extend(taken.into_iter().map(|it| (cell.clone(), it)));
            }
            if effects.is_empty() {
                return;
            }
            for (cell, effect) in effects {
                self.carry_out_effect(&cell, effect, now);
            }
        }
    }

    pub(super) fn carry_out_effect(&mut self, cell: &CellName, effect: CellEffect, now: ClockTime) {
        match effect {
            CellEffect::Order(order) => self.effects.push(NodeEffect::Order(order)),
            CellEffect::Note(note) => self.note(note),
            CellEffect::Fenced => self.take_fence(cell, now),
            CellEffect::Verdict(front, code, number, verdict) => {
                if front == self.settings.owner.vm {
                    self.take_verdict(&front, cell, code, number, verdict, now);
                } else {
                    let ended = CellMessage::JobResult(cell.clone(), code, number, verdict);
                    self.send(&front, ended);
                }
            }
        }
    }
}
