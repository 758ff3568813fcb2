//! The state machine of an entry: the jobs of its callers, the cells that it leads, and
//! its view of endpoints, peers and routes.
//!
//! Each entry point takes the current time and one event; the host runs the effects that
//! [`CellNode::drain_effects`] returns.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect},
        cell_message::{CellHeartbeat, CellMessage, CellName, HeartbeatDigest},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_directory::EndpointDirectory,
        endpoint_order::{EndpointOrder, OrderNumber, OrderOutcome},
        job_offer::{JobCode, JobResult, RefusalCause},
        job_router::{CellView, JobRouter, RoutedJob},
        node_cancels::{CancelInquiries, CancelResult},
        route_plan::RoutePlan,
        run_bounds::RunBounds,
    },
    entry_node::CallNumber,
    job_ledger::OwnerId,
    prelude::*,
    vm_layout::VmRole,
};

/// Interval between heartbeats to other VMs.
const HEARTBEAT_MS: u64 = 120;
/// Time without a heartbeat after which a VM counts as lost: more than five intervals.
pub(super) const PEER_TIMEOUT_MS: u64 = 700;
/// Time without a heartbeat after which a VM whose connections broke counts as lost.
const BROKEN_PEER_TIMEOUT_MS: u64 = 300;
/// Interval between keep-alives of a job to its leader: three fit into the time after
/// which the leader cancels a job without one.
const KEEP_ALIVE_MS: u64 = 300;
/// Time for which a job that was never offered waits for a leader before it is refused, at most:
/// a lost leader is followed within it, and after a restart of all VMs cells are claimed.
const LEADER_WAIT_MS: u64 = 1_000;
/// The same if no endpoint of the job's service is known.
const UNKNOWN_SERVICE_WAIT_MS: u64 = 400;
/// Time after which the caller of a job without a leader may try again.
const LEADER_RETRY_MS: u64 = 400;
/// Time after which a job whose leader was lost is answered as unknown: the leases of its
/// runs have expired by then, so a resubmission by the caller can't overlap with them.
const UNASSIGNED_TIMEOUT_MS: u64 = 1_200;
/// Time without an update after which an endpoint is dropped: control VMs repeat each one
/// every eight seconds.
const ENDPOINT_EXPIRY_MS: u64 = 20_000;
/// Time without a heartbeat of any control VM after which entries send each other the routes.
const CONTROL_TIMEOUT_MS: u64 = 1_000;
/// Time without an event after which the process counts as stalled. Peers may then have
/// declared it lost, so it gives up every cell that it leads.
const STALL_MS: u64 = PEER_TIMEOUT_MS - 100;
/// Time after a stall in which no job is offered and no cell claimed: messages about callers
/// that left and entries that took over must be handled first.
const STALL_RECOVERY_MS: u64 = 260;
/// Size of the range of order numbers that each led cell gets.
pub(super) const ORDERS_PER_CELL: u64 = 1 << 40;

/// Settings of an entry.
#[derive(Data!)]
pub struct CellSettings {
    /// VM and incarnation of this process.
    pub owner: OwnerId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub weight: u64,
    /// Control VMs that are known at the start.
    pub controls: Vec<VmName>,
    /// Factor on the run time of a task off its data's rack, in thousandths.
    pub off_rack_milli: u64,
    /// Bounds of the deployment on runs.
    pub bounds: RunBounds,
}

/// An effect that the host runs.
#[derive(Data!)]
pub enum NodeEffect {
    /// Send an order to an endpoint.
    Order(EndpointOrder),
    /// Send a message by TCP.
    Send(VmName, CellMessage),
    /// Send a heartbeat to these VMs by UDP.
    Heartbeat(Vec<VmName>, CellHeartbeat),
    /// Relay heartbeats to these VMs by UDP.
    Digest(Vec<VmName>, HeartbeatDigest),
    /// Answer a call with the result of its job.
    Answer(CallNumber, JobResult),
    /// Answer a call that cancels a job.
    CancelAnswer(CallNumber, CancelResult),
    /// Write a decision to the log.
    LogDecision(DecisionRecord),
}

pub(super) struct PeerView {
    pub(super) heartbeat: CellHeartbeat,
    pub(super) last_contact_at: ClockTime,
    /// When the first heartbeat of this incarnation arrived.
    pub(super) found_at: ClockTime,
    pub(super) broken_at: Option<ClockTime>,
    pub(super) is_lost: bool,
    /// Receive time minus send time of the last heartbeats, in ms.
    pub(super) offsets_ms: VecDeque<i64>,
}

impl PeerView {
    /// Delay of a message sent at `sent_at`, in ms, beyond that of the fastest recent heartbeat.
    ///
    /// Comparing with recent heartbeats cancels the difference between the two clocks.
    pub(super) fn delay_ms(&self, sent_at: ClockTime, now: ClockTime) -> u64 {
        let min_offset_ms = self.offsets_ms.iter().min().copied().unwrap_or(i64::MAX);
        let offset_ms = now.0 as i64 - sent_at.0 as i64;
        offset_ms.saturating_sub(min_offset_ms).max(0) as u64
    }
}

pub(super) struct LedCell {
    pub(super) dispatcher: CellDispatcher,
    pub(super) fenced_at: Option<ClockTime>,
}

/// The state machine of an entry.
pub struct CellNode {
    pub(super) settings: CellSettings,
    pub(super) plan: Option<RoutePlan>,
    pub(super) directory: EndpointDirectory,
    pub(super) peers: IndexMap<VmName, PeerView>,
    pub(super) controls: Vec<VmName>,
    pub(super) led: IndexMap<CellName, LedCell>,
    /// Cells whose endpoints fenced this leader off: number of fences in a row, and the
    /// time before which the cell isn't claimed again.
    pub(super) fences: IndexMap<CellName, (u64, ClockTime)>,
    pub(super) views: IndexMap<CellName, CellView>,
    pub(super) router: JobRouter,
    pub(super) cancels: CancelInquiries,
    pub(super) n_heartbeats: u64,
    /// Whether this entry claimed a cell or began to stop since its last heartbeat.
    pub(super) has_leadership_news: bool,
    /// Entries of other data centres to which this one relays heartbeats; none if VMs have
    /// started or were lost since it was determined.
    pub(super) relay_recipients: Option<Vec<VmName>>,
    pub(super) next_heartbeat_at: ClockTime,
    pub(super) active_at: ClockTime,
    pub(super) resumes_at: ClockTime,
    pub(super) last_hand_off_at: ClockTime,
    pub(super) started_at: ClockTime,
    /// When the first heartbeat arrived after the start, or after all peers were lost.
    pub(super) joined_at: Option<ClockTime>,
    /// Last time without contact to any control VM; endpoint updates may be missing up to it.
    pub(super) uninformed_at: ClockTime,
    /// Whether the directory has changes that the dispatchers don't know yet.
    pub(super) has_endpoint_updates: bool,
    /// When a new, restarted or lost VM was last heard.
    pub(super) last_peer_found_at: ClockTime,
    pub(super) highest_token: u64,
    pub(super) n_cells_led: u64,
    pub(super) n_offers: u64,
    pub(super) stopping: bool,
    pub(super) effects: Vec<NodeEffect>,
}

impl CellNode {
    /// Creates the state of a process that starts at `now`.
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
            cancels: CancelInquiries::default(),
            n_heartbeats: 0,
            has_leadership_news: false,
            relay_recipients: None,
            next_heartbeat_at: now,
            active_at: now,
            resumes_at: now,
            last_hand_off_at: now,
            started_at: now,
            joined_at: None,
            uninformed_at: now,
            has_endpoint_updates: false,
            last_peer_found_at: now,
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

    /// Adds control VMs to those that get heartbeats.
    pub fn add_control_vms(&mut self, vms: Vec<VmName>) {
        for vm in vms {
            if !self.controls.contains(&vm) {
                self.controls.push(vm);
            }
        }
    }

    /// Number of jobs whose callers wait at this entry.
    pub fn n_waiting(&self) -> usize {
        self.router.jobs.len()
    }

    /// Number of cells that this entry leads.
    pub fn n_led(&self) -> usize {
        self.led.len()
    }

    /// Number of jobs that have not ended, over all cells that this entry leads.
    pub fn n_led_jobs(&self) -> usize {
        self.led.values().map(|it| it.dispatcher.n_jobs()).sum()
    }

    /// Number of VMs that are not lost.
    pub fn n_live_peers(&self) -> usize {
        self.peers.values().filter(|it| !it.is_lost).count()
    }

    /// Number of live endpoints.
    pub fn n_endpoints(&self) -> usize {
        self.directory.live().count()
    }

    /// Whether a waiting caller or an unfinished job needs frequent ticks.
    pub fn is_busy(&self) -> bool {
        !self.router.jobs.is_empty() || 0 < self.n_led_jobs()
    }

    /// Number of a route's jobs in the led cells none of whose tasks has started.
    pub fn n_pending(&self, route: &str) -> u64 {
        self.led.values().map(|it| it.dispatcher.n_pending(route)).sum()
    }

    /// Whether this entry can serve callers.
    pub fn is_ready(&self, now: ClockTime) -> bool {
        self.plan.is_some() && !self.stopping && !self.is_isolated(now) && !self.views.is_empty()
    }

    /// Whether no peer is live although the time for peers to appear has passed.
    pub(super) fn is_isolated(&self, now: ClockTime) -> bool {
        let has_no_peer = !self.peers.values().any(|it| !it.is_lost);
        has_no_peer && PEER_TIMEOUT_MS < now.since_ms(self.started_at)
    }

    /// Whether no control VM is reachable, so that no updates of endpoints and routes arrive.
    pub(super) fn is_without_control(&self, now: ClockTime) -> bool {
        !self.peers.values().any(|it| {
            it.heartbeat.role == VmRole::Control
                && now.since_ms(it.last_contact_at) < CONTROL_TIMEOUT_MS
        })
    }

    pub(super) fn log_decision(&mut self, record: DecisionRecord) {
        self.effects.push(NodeEffect::LogDecision(record));
    }

    pub(super) fn send(&mut self, to: &VmName, message: CellMessage) {
        self.effects.push(NodeEffect::Send(to.clone(), message));
    }

    /// Detects that the process was paused, and then gives up every led cell.
    pub(super) fn detect_stall(&mut self, now: ClockTime) {
        let stall_ms = now.since_ms(self.active_at);
        self.active_at = now;
        if stall_ms < STALL_MS {
            return;
        }
        self.resumes_at = now.plus_ms(STALL_RECOVERY_MS);
        let record =
            DecisionRecord::new(now, DecisionEvent::ReadyChanged, "process", "stood still");
        self.log_decision(record.with("stall_ms", stall_ms).with("cells", self.led.len() as u64));
        for cell in self.led.keys().cloned().collect::<Vec<_>>() {
            self.lose_cell(&cell, now);
        }
    }

    /// Handles the outcome of an order.
    pub fn handle_outcome(&mut self, order: &EndpointOrder, outcome: OrderOutcome, now: ClockTime) {
        self.detect_stall(now);
        let OrderNumber(number) = order.number;
        let led = self.led.values_mut().find(|it| {
            it.dispatcher.has_endpoint(&order.endpoint)
                && number / ORDERS_PER_CELL == it.dispatcher.last_order() / ORDERS_PER_CELL
        });
        if let Some(led) = led {
            led.dispatcher.handle_outcome(order, outcome, now);
        }
        self.run_effects(now);
    }

    /// Runs everything that is due at `now`.
    pub fn tick(&mut self, now: ClockTime) {
        self.detect_stall(now);
        self.tick_peers(now);
        self.tick_fences(now);
        if std::mem::take(&mut self.has_endpoint_updates) {
            self.apply_endpoints(now);
        }
        for led in self.led.values_mut() {
            led.dispatcher.tick(&self.settings.owner.vm, now);
        }
        self.run_effects(now);
        self.tick_jobs(now);
        self.tick_cancels(now);
        if self.next_heartbeat_at <= now {
            self.next_heartbeat_at = now.plus_ms(HEARTBEAT_MS);
            if self.is_without_control(now) {
                self.uninformed_at = now;
                self.directory.refresh_all(now);
            }
            if !self.directory.expire(ENDPOINT_EXPIRY_MS, now).is_empty() {
                self.apply_endpoints(now);
            }
            self.claim_cells(now);
            self.hand_off_surplus(now);
            self.send_heartbeats(now);
        }
        self.run_effects(now);
    }

    pub(super) fn tick_peers(&mut self, now: ClockTime) {
        let is_silent = |it: &PeerView| {
            // Relayed heartbeats are too rare for the shorter time.
            let is_relayed =
                it.heartbeat.role == VmRole::Entry && it.heartbeat.centre != self.settings.centre;
            let is_broken = it.broken_at.is_some() && !is_relayed;
            let limit_ms = if is_broken { BROKEN_PEER_TIMEOUT_MS } else { PEER_TIMEOUT_MS };
            !it.is_lost && limit_ms < now.since_ms(it.last_contact_at)
        };
        let lost: Vec<VmName> =
            self.peers.iter().filter(|(_, it)| is_silent(it)).map(|(vm, _)| vm.clone()).collect();
        for vm in lost {
            self.lose_peer(&vm, "silent", now);
        }
    }

    /// Time for which a job waits for a leader: while an answer would still be of use.
    fn leader_wait_ms(&self, job: &RoutedJob) -> u64 {
        let service = &job.offer.service;
        if !self.directory.cells().any(|it| it.service == *service) {
            return UNKNOWN_SERVICE_WAIT_MS;
        }
        let critical_path_ms = job.offer.declared_critical_path_ms();
        let useful_until = job.received_at.plus_ms(job.offer.useful_ms(critical_path_ms));
        let start_by = useful_until.min(job.caller_deadline).minus_ms(critical_path_ms);
        start_by.since_ms(job.unassigned_since).min(LEADER_WAIT_MS)
    }

    pub(super) fn tick_jobs(&mut self, now: ClockTime) {
        self.route_unassigned(now);
        let mut refused = Vec::new();
        let mut unknown = Vec::new();
        let mut keep_alives = IndexMap::new();
        for (code, job) in &self.router.jobs {
            match (&job.leader, job.was_offered) {
                (None, false) if self.leader_wait_ms(job) <= now.since_ms(job.unassigned_since) => {
                    refused.push(*code);
                }
                (None, true) if UNASSIGNED_TIMEOUT_MS <= now.since_ms(job.unassigned_since) => {
                    unknown.push(*code)
                }
                (Some(leader), _) if KEEP_ALIVE_MS <= now.since_ms(job.offered_at) => {
                    if let Some(cell) = &job.cell
                        && *leader != self.settings.owner.vm
                    {
                        let waiting: &mut Vec<(JobCode, u64)> =
                            keep_alives.entry((leader.clone(), cell.clone())).or_default();
                        waiting.push((*code, job.offer.number));
                    }
                }
                _ => {}
            }
        }
        for code in refused {
            let result = JobResult::Refused(RefusalCause::NoLeader, LEADER_RETRY_MS);
            self.answer(code, result, now);
        }
        for code in unknown {
            self.answer(code, JobResult::Unknown, now);
        }
        for ((leader, cell), waiting) in keep_alives {
            for (code, _) in &waiting {
                if let Some(job) = self.router.jobs.get_mut(code) {
                    job.offered_at = now;
                }
            }
            self.send(&leader, CellMessage::KeepAlive(cell, waiting, now));
        }
    }

    pub(super) fn route_unassigned(&mut self, now: ClockTime) {
        let unassigned = self.router.jobs.iter().filter(|(_, it)| it.leader.is_none());
        let codes: Vec<JobCode> = unassigned.map(|(code, _)| *code).collect();
        for code in codes {
            self.route(code, now);
        }
    }

    pub(super) fn refresh_own_views(&mut self, now: ClockTime) {
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

    pub(super) fn run_effects(&mut self, now: ClockTime) {
        loop {
            let mut effects = Vec::new();
            for (cell, led) in &mut self.led {
                let drained = led.dispatcher.drain_effects();
                effects.extend(drained.into_iter().map(|it| (cell.clone(), it)));
            }
            if effects.is_empty() {
                return;
            }
            for (cell, effect) in effects {
                self.run_effect(&cell, effect, now);
            }
        }
    }

    pub(super) fn run_effect(&mut self, cell: &CellName, effect: CellEffect, now: ClockTime) {
        match effect {
            CellEffect::SendOrder(order) => self.effects.push(NodeEffect::Order(order)),
            CellEffect::LogDecision(record) => self.log_decision(record),
            CellEffect::Fenced => self.handle_fence(cell, now),
            CellEffect::ReportResult(origin, code, number, result) => {
                if origin == self.settings.owner.vm {
                    self.handle_result(&origin, cell, code, number, result, now);
                } else {
                    let message = CellMessage::JobResult(cell.clone(), code, number, result);
                    self.send(&origin, message);
                }
            }
        }
    }
}
