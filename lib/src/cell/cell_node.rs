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
        cell_leadership::{self, LeaderCandidate},
        cell_message::{CellMessage, CellName, PeerBeat},
        decision_note::{DecisionNote, NoteEvent},
        endpoint_directory::{DirectoryChange, EndpointDirectory, EndpointRecord},
        endpoint_order::{EndpointOrder, OrderNumber, OrderOutcome},
        job_offer::{JobCode, JobOffer, JobVerdict, RefusalCause},
        job_router::{self, CellView, FrontJob, JobRouter},
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
const SILENT_MS: u64 = 700;
/// Time for which an entry without routes counts as one that will have them, in ms: an
/// election of the control group and a push.
const PLANLESS_MS: u64 = 1_500;
/// Silence of a whole data centre after which others lead its cells, in ms.
const FAR_CLAIM_MS: u64 = 1_500;
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
/// Time for which a fenced leader listens for another's claim before it claims anew, in ms.
const FENCED_MS: u64 = 200;
/// Fences in a row up to which each lengthens the pause before the next claim.
const MAX_FENCES: u64 = 8;
/// Time after which former fences no longer count, in ms.
const FENCES_KEPT_MS: u64 = 5_000;
/// Time between two cells that are ceded to even out the load, in ms.
const CEDE_PAUSE_MS: u64 = 4_000;
/// Silence after which an endpoint is forgotten, in ms: control VMs repeat each four seconds.
const ENDPOINT_EXPIRY_MS: u64 = 20_000;
/// Time after a start until all endpoints and entries are known, in ms: endpoints announce
/// themselves each one to two seconds.
const LEARNING_MS: u64 = 4_000;
/// Silence of all control VMs after which entries bring each other up to date, in ms.
const CONTROL_SILENT_MS: u64 = 1_000;
/// Delay after which an offer is not taken, in ms: its sender counts this entry as lost by
/// then and may have turned elsewhere.
const STALE_OFFER_MS: u64 = 500;
/// Beats of which the quickest tells the difference of two clocks.
const OFFSET_BEATS: usize = 32;
/// Time without a tick after which an entry has stood still and others count it as lost, in
/// ms: it then leads nothing any more.
const STALL_MS: u64 = SILENT_MS - 100;
/// Time after a stall in which nothing is begun, in ms: callers that have left and entries
/// that have taken over are noticed first.
const WAKE_MS: u64 = 260;
/// Run numbers of a task that each leader has for itself.
const LEADER_RUNS: u32 = 32;
/// Step between the order numbers of two cells.
const ORDER_SPACE: u64 = 1 << 40;

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
}

/// Something for the surroundings to do.
#[derive(Data!)]
pub enum NodeEffect {
    /// Send an order to an endpoint.
    Order(EndpointOrder),
    /// Send a message by TCP.
    Send(VmName, CellMessage),
    /// Send a beat by UDP.
    Beat(VmName, PeerBeat),
    /// A call's job ended.
    Answer(CallNumber, JobVerdict),
    /// Write a line.
    Note(DecisionNote),
}

struct PeerView {
    beat: PeerBeat,
    heard_at: ClockTime,
    /// When this life was first heard.
    found_at: ClockTime,
    broken_at: Option<ClockTime>,
    is_lost: bool,
    /// Differences of our time and the sender's, in ms, of the last beats.
    offsets_ms: VecDeque<i64>,
}

impl PeerView {
    /// Time for which something sent at `sent_at` was on its way beyond what is usual, in ms.
    fn delay_ms(&self, sent_at: ClockTime, now: ClockTime) -> u64 {
        let usual_ms = self.offsets_ms.iter().min().copied().unwrap_or(i64::MAX);
        let passed_ms = now.0 as i64 - sent_at.0 as i64;
        passed_ms.saturating_sub(usual_ms).max(0) as u64
    }
}

struct LedCell {
    dispatcher: CellDispatcher,
    fenced_at: Option<ClockTime>,
}

/// The state of an entry.
pub struct CellNode {
    settings: CellSettings,
    plan: Option<RoutePlan>,
    directory: EndpointDirectory,
    peers: IndexMap<VmName, PeerView>,
    controls: Vec<VmName>,
    led: IndexMap<CellName, LedCell>,
    /// Cells whose endpoints obeyed another: how often, and when they may be claimed again.
    fences: IndexMap<CellName, (u64, ClockTime)>,
    views: IndexMap<CellName, CellView>,
    router: JobRouter,
    n_beats: u64,
    beat_at: ClockTime,
    active_at: ClockTime,
    resumes_at: ClockTime,
    ceded_at: ClockTime,
    started_at: ClockTime,
    highest_token: u64,
    n_cells_led: u64,
    n_offers: u64,
    stopping: bool,
    effects: Vec<NodeEffect>,
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
            highest_token: 0,
            n_cells_led: 0,
            n_offers: 0,
            stopping: false,
            effects: Vec::new(),
        }
    }

    /// Drains the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<NodeEffect> {
        std::mem::take(&mut self.effects)
    }

    /// The routes in force, if any are known.
    pub fn plan(&self) -> Option<&RoutePlan> {
        self.plan.as_ref()
    }

    /// Takes the names of further control VMs.
    pub fn add_controls(&mut self, vms: Vec<VmName>) {
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
        self.directory.living().count()
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
    fn is_isolated(&self, now: ClockTime) -> bool {
        let is_alone = !self.peers.values().any(|it| !it.is_lost);
        is_alone && SILENT_MS < now.since_ms(self.started_at)
    }

    fn note(&mut self, note: DecisionNote) {
        self.effects.push(NodeEffect::Note(note));
    }

    fn send(&mut self, to: &VmName, message: CellMessage) {
        self.effects.push(NodeEffect::Send(to.clone(), message));
    }

    /// Notices that the process stood still.
    fn wake(&mut self, now: ClockTime) {
        let stall_ms = now.since_ms(self.active_at);
        self.active_at = now;
        if stall_ms < STALL_MS {
            return;
        }
        self.resumes_at = now.plus_ms(WAKE_MS);
        let note = DecisionNote::new(now, NoteEvent::ReadyChanged, "process", "stood still");
        self.note(note.with("stall_ms", stall_ms).with("cells", self.led.len() as u64));
        for cell in self.led.keys().cloned().collect::<Vec<_>>() {
            self.lose_cell(&cell, now);
        }
    }

    // Callers

    /// Takes a caller's job; its answer comes as an effect.
    pub fn submit(&mut self, call: CallNumber, offer: JobOffer, now: ClockTime) {
        self.wake(now);
        let code = offer.job;
        if let Some(known) = self.router.jobs.get_mut(&code) {
            // The caller has given up on its former call, which gets the same answer.
            let former = std::mem::replace(&mut known.call, call);
            self.effects.push(NodeEffect::Answer(former, JobVerdict::Unknown));
            let note = DecisionNote::new(now, NoteEvent::JobAttached, "caller", "at work");
            self.note(note.about(code));
            return;
        }
        let note = DecisionNote::new(now, NoteEvent::JobAccepted, offer.route.as_str(), "read")
            .about(code)
            .with("remaining_ms", offer.remaining_ms)
            .with("declared_ms", offer.declared_chain_ms())
            .with("tasks", offer.steps.iter().map(|it| u64::from(it.count)).sum())
            .with("plan_version", self.plan.as_ref().map_or(0, |it| it.version));
        self.note(note);
        let job = FrontJob {
            call,
            read_at: now,
            waits_until: now.plus_ms(offer.remaining_ms),
            cell: None,
            leader: None,
            offered_at: now,
            adrift_since: now,
            was_offered: false,
            refused_by: Vec::new(),
            offer,
        };
        self.router.jobs.insert(code, job);
        self.route(code, now);
    }

    /// The caller of a job has left.
    pub fn withdraw(&mut self, call: CallNumber, now: ClockTime) {
        let Some(code) = self.router.job_of(call) else { return };
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

    fn withdraw_job(&mut self, code: JobCode, now: ClockTime) {
        let Some(job) = self.router.jobs.swap_remove(&code) else { return };
        let note = DecisionNote::new(now, NoteEvent::JobWithdrawn, "caller", "left");
        self.note(note.about(code).with("age_ms", now.since_ms(job.read_at)));
        let Some(leader) = job.leader else { return };
        if leader == self.settings.owner.vm {
            if let Some(led) = job.cell.and_then(|it| self.led.get_mut(&it)) {
                led.dispatcher.withdraw(code, now);
            }
            self.carry_out(now);
        } else {
            self.send(&leader, CellMessage::Withdraw(code));
        }
    }

    /// Offers a job that has no leader, if one can be found.
    fn route(&mut self, code: JobCode, now: ClockTime) {
        if now < self.resumes_at {
            return;
        }
        let Some(job) = self.router.jobs.get_mut(&code) else { return };
        if job.cell.is_none() {
            job.cell = job_router::choose_cell(job, &self.settings.centre, &self.views, now);
        }
        let Some(cell) = job.cell.clone() else { return };
        let Some(view) = self.views.get_mut(&cell) else { return };
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
        let note = DecisionNote::new(now, NoteEvent::JobOffered, cell.to_string(), leader.as_str())
            .about(code)
            .with("free_cpu", view.report.free_cpu)
            .with("queued_work", view.report.queued_work)
            .with("report_age_ms", now.since_ms(view.reported_at));
        self.note(note);
        self.offer(&cell, &leader, offer, now);
    }

    fn offer(&mut self, cell: &CellName, leader: &VmName, offer: JobOffer, now: ClockTime) {
        if *leader != self.settings.owner.vm {
            self.send(leader, CellMessage::Offer(cell.clone(), offer, now));
            return;
        }
        let own = self.settings.owner.vm.clone();
        match self.led.get_mut(cell) {
            Some(led) => led.dispatcher.offer(&own, offer, now),
            None => {
                let number = offer.number;
                self.take_verdict(&own, cell, offer.job, number, JobVerdict::NotLeader, now);
            }
        }
        self.carry_out(now);
    }

    fn take_verdict(
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
            && matches!(verdict, JobVerdict::Refused(..) | JobVerdict::NotLeader);
        if job.cell.as_ref() != Some(cell) || is_former {
            return;
        }
        match verdict {
            JobVerdict::NotLeader => {
                if job.leader.as_ref() == Some(from) {
                    job.leader = None;
                    job.adrift_since = now;
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
            JobVerdict::Completed | JobVerdict::Failed => {}
            JobVerdict::Refused(..) | JobVerdict::Unknown => return,
        }
        self.answer(code, verdict, now);
    }

    /// Offers a refused job to another cell that has room at once; whether it did.
    fn reroute(&mut self, code: JobCode, now: ClockTime) -> bool {
        let Some(job) = self.router.jobs.get_mut(&code) else { return false };
        let centre = &self.settings.centre;
        let Some(cell) = job_router::choose_cell(job, centre, &self.views, now) else {
            return false;
        };
        let Some(view) = self.views.get(&cell) else { return false };
        let free = view.report.free_cpu.saturating_sub(view.offered_cpu);
        if free < job.offer.first_cpu() || 0 < view.report.queued_work {
            return false;
        }
        job.cell = Some(cell);
        job.leader = None;
        self.route(code, now);
        true
    }

    fn answer(&mut self, code: JobCode, verdict: JobVerdict, now: ClockTime) {
        let Some(job) = self.router.jobs.swap_remove(&code) else { return };
        let outcome = match &verdict {
            JobVerdict::Refused(cause, _) => format!("refused: {cause:?}"),
            it => format!("{it:?}").to_lowercase(),
        };
        let route = job.offer.route.as_str();
        let note = DecisionNote::new(now, NoteEvent::JobAnswered, route, outcome)
            .about(code)
            .with("age_ms", now.since_ms(job.read_at))
            .with("remaining_ms", job.waits_until.since_ms(now))
            .with("refusals", job.refused_by.len() as u64);
        self.note(note);
        self.effects.push(NodeEffect::Answer(job.call, verdict));
    }

    // Other VMs

    /// Takes a message from another VM.
    pub fn receive(&mut self, from: &VmName, message: CellMessage, now: ClockTime) {
        self.wake(now);
        match message {
            CellMessage::Offer(cell, offer, sent_at) => {
                self.take_offer(from, cell, offer, sent_at, now);
            }
            CellMessage::Wanted(cell, wanted) => {
                for (code, number) in wanted {
                    let led = self.led.get_mut(&cell);
                    let verdict = match led {
                        Some(led) => led.dispatcher.keep(from, code, number, now),
                        None => Some(JobVerdict::NotLeader),
                    };
                    if let Some(verdict) = verdict {
                        let ended = CellMessage::Ended(cell.clone(), code, number, verdict);
                        self.send(from, ended);
                    }
                }
            }
            CellMessage::Ended(cell, code, number, verdict) => {
                self.take_verdict(from, &cell, code, number, verdict, now);
            }
            CellMessage::Withdraw(code) => {
                for led in self.led.values_mut() {
                    led.dispatcher.withdraw(code, now);
                }
            }
            CellMessage::Cede(cell, token) => {
                self.highest_token = self.highest_token.max(token);
                self.claim(&cell, "ceded", now);
                self.send_beats(now);
            }
            CellMessage::Endpoints(records) => self.take_endpoints(records, now),
            CellMessage::EndpointsAsk => {
                let everything = CellMessage::Endpoints(self.directory.everything());
                self.send(from, everything);
            }
            CellMessage::Plan(plan) => self.take_plan(plan, now),
        }
        self.carry_out(now);
    }

    fn take_offer(
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
            Some(led) if !is_stale => led.dispatcher.offer(from, offer, now),
            _ => {
                let outcome = if is_stale { "stale offer" } else { "not the leader" };
                let note = DecisionNote::new(now, NoteEvent::JobRefused, cell.to_string(), outcome);
                self.note(note.about(offer.job).with("delay_ms", delay_ms));
                let verdict = JobVerdict::NotLeader;
                self.send(from, CellMessage::Ended(cell, offer.job, offer.number, verdict));
            }
        }
    }

    fn take_plan(&mut self, plan: RoutePlan, now: ClockTime) {
        let former = self.plan.as_ref().map_or(0, |it| it.version);
        if self.plan.is_some() && plan.version <= former {
            return;
        }
        let note = DecisionNote::new(now, NoteEvent::PlanInForce, "plan", "in force");
        self.note(note.with("version", plan.version).with("former", former));
        self.plan = Some(plan);
    }

    fn take_endpoints(&mut self, records: Vec<(EndpointRecord, bool)>, now: ClockTime) {
        let mut is_changed = false;
        for (record, gone) in records {
            let name = record.name.clone();
            let (leaving, born) = (record.leaving, record.born);
            if self.directory.merge(record, gone, now) == DirectoryChange::Changed {
                is_changed = true;
                let event = if gone { NoteEvent::EndpointGone } else { NoteEvent::EndpointChanged };
                let outcome = if leaving { "leaving" } else { "announced" };
                let note = DecisionNote::new(now, event, name.as_str(), outcome);
                self.note(note.with("born", born));
            }
        }
        if is_changed {
            self.spread_endpoints(now);
        }
    }

    /// Endpoints by cell.
    fn cells(&self) -> IndexMap<CellName, Vec<EndpointRecord>> {
        let mut cells: IndexMap<CellName, Vec<EndpointRecord>> = IndexMap::new();
        for record in self.directory.living() {
            cells.entry(cell_of(record)).or_default().push(record.clone());
        }
        cells
    }

    fn spread_endpoints(&mut self, now: ClockTime) {
        let cells = self.cells();
        for (name, led) in &mut self.led {
            let records = cells.get(name).map_or(&[][..], |it| it.as_slice());
            led.dispatcher.set_endpoints(records, now);
        }
        self.claim_cells(now);
    }

    /// Takes a beat from another VM.
    pub fn receive_beat(&mut self, from: &VmName, beat: PeerBeat, now: ClockTime) {
        if beat.owner.vm != *from || *from == self.settings.owner.vm {
            return;
        }
        self.wake(now);
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
            let note = DecisionNote::new(now, NoteEvent::PeerFound, from.as_str(), "heard");
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
        // A beat that waited for a process that stood still says nothing of the present.
        let usual_ms = offsets_ms.iter().min().copied().unwrap_or(0);
        let delay_ms = now.0 as i64 - beat.sent_at.0 as i64 - usual_ms;
        let heard_at = now.minus_ms(delay_ms.max(0) as u64);
        let found_at = self.peers.get(from).filter(|_| !is_new_life).map_or(now, |it| it.found_at);
        let view =
            PeerView { beat, heard_at, found_at, broken_at: None, is_lost: false, offsets_ms };
        self.peers.insert(from.clone(), view);
        self.follow_reports(from, now);
        if is_new_life && self.directory.living().next().is_none() {
            self.send(from, CellMessage::EndpointsAsk);
        }
        self.carry_out(now);
    }

    /// Begins to send beats to VMs that a control VM tells of.
    fn meet_members(&mut self, beat: &PeerBeat, now: ClockTime) {
        for vm in &beat.members {
            if *vm != self.settings.owner.vm && !self.peers.contains_key(vm) {
                let own = self.beat(now);
                self.effects.push(NodeEffect::Beat(vm.clone(), own));
            }
        }
        for vm in &beat.group.vms {
            if !self.controls.contains(vm) {
                self.controls.push(vm.clone());
            }
        }
    }

    /// Brings a peer up to date when no control VM can.
    fn help_peer(&mut self, from: &VmName, beat: &PeerBeat, now: ClockTime) {
        let is_control_silent = !self.peers.values().any(|it| {
            it.beat.role == VmRole::Control && now.since_ms(it.heard_at) < CONTROL_SILENT_MS
        });
        if beat.role == VmRole::Entry
            && is_control_silent
            && let Some(plan) = self.plan.clone()
            && beat.plan_version < plan.version
        {
            self.send(from, CellMessage::Plan(plan));
        }
    }

    /// Takes what a peer reports of its cells.
    fn follow_reports(&mut self, from: &VmName, now: ClockTime) {
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
                self.router.follow_leader(&cell, from, now);
                self.route_adrift(now);
            }
        }
    }

    /// A connection with another VM broke.
    pub fn connection_broke(&mut self, vm: &VmName, now: ClockTime) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.broken_at.get_or_insert(now);
        }
    }

    fn lose_peer(&mut self, vm: &VmName, why: &str, now: ClockTime) {
        let Some(peer) = self.peers.get_mut(vm) else { return };
        if std::mem::replace(&mut peer.is_lost, true) {
            return;
        }
        let silent_ms = now.since_ms(peer.heard_at);
        let note = DecisionNote::new(now, NoteEvent::PeerLost, vm.as_str(), why);
        self.note(note.with("silent_ms", silent_ms));
        self.router.lose_leader(vm, now);
        self.views.retain(|_, it| it.leader != *vm);
        for led in self.led.values_mut() {
            led.dispatcher.withdraw_front(vm, now);
        }
        self.claim_cells(now);
    }

    // Leadership

    fn candidates(&self, now: ClockTime) -> Vec<LeaderCandidate> {
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
    fn claim_cells(&mut self, now: ClockTime) {
        let may_claim = self.resumes_at <= now && !self.is_isolated(now);
        if self.stopping || self.plan.is_none() || !may_claim {
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

    fn centre_is_silent(&self, centre: &DataCentre, now: ClockTime) -> bool {
        let mut of_centre = self
            .peers
            .values()
            .filter(|it| it.beat.role == VmRole::Entry && it.beat.centre == *centre);
        let is_past_start = LEARNING_MS < now.since_ms(self.started_at);
        is_past_start && of_centre.all(|it| FAR_CLAIM_MS < now.since_ms(it.heard_at))
    }

    fn claim(&mut self, cell: &CellName, why: &str, now: ClockTime) {
        if self.led.contains_key(cell) || self.stopping {
            return;
        }
        let token = cell_leadership::next_token(&self.settings.owner.vm, self.highest_token, now);
        self.highest_token = token;
        self.n_cells_led += 1;
        let first_order = self.n_cells_led * ORDER_SPACE;
        let is_known = LEARNING_MS <= now.since_ms(self.started_at);
        let mut dispatcher = CellDispatcher::new(cell.clone(), token, first_order, is_known);
        let records = self.cells().swap_remove(cell).unwrap_or_default();
        let note = DecisionNote::new(now, NoteEvent::CellClaimed, cell.to_string(), why);
        self.note(note.with("token", token).with("endpoints", records.len() as u64));
        dispatcher.set_endpoints(&records, now);
        let led = LedCell { dispatcher, fenced_at: None };
        self.led.insert(cell.clone(), led);
        self.view_own_cells(now);
        let own = self.settings.owner.vm.clone();
        self.router.follow_leader(cell, &own, now);
        self.carry_out(now);
        self.route_adrift(now);
        self.beat_at = now;
    }

    fn lose_cell(&mut self, cell: &CellName, now: ClockTime) {
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
        let note = DecisionNote::new(now, NoteEvent::ReadyChanged, "process", "stops");
        self.note(note.with("cells", self.led.len() as u64));
        self.cede_all(now);
        self.send_beats(now);
        self.carry_out(now);
    }

    fn cede_all(&mut self, now: ClockTime) {
        let candidates = self.candidates(now);
        let cells: Vec<CellName> = self.led.keys().cloned().collect();
        for (cell, heir) in cell_leadership::assign_cells(cells.iter(), &candidates) {
            let Some(led) = self.led.get(&cell) else { continue };
            let token = led.dispatcher.token();
            self.send(&heir, CellMessage::Cede(cell, token));
        }
    }

    fn cede_surplus(&mut self, now: ClockTime) {
        if self.stopping || now.since_ms(self.ceded_at) < CEDE_PAUSE_MS {
            return;
        }
        let candidates = self.candidates(now);
        let own = &self.settings.owner.vm;
        let Some((cell, heir)) = cell_leadership::cell_to_cede(own, &candidates) else { return };
        let Some(led) = self.led.get(&cell) else { return };
        let token = led.dispatcher.token();
        self.ceded_at = now;
        self.send(&heir, CellMessage::Cede(cell, token));
    }

    /// Reacts to an endpoint that knows a higher token.
    fn take_fence(&mut self, cell: &CellName, now: ClockTime) {
        if let Some(led) = self.led.get_mut(cell) {
            led.fenced_at.get_or_insert(now);
        }
    }

    /// Gives up cells whose endpoints obey another, and claims them again in a while if no
    /// other is heard to lead them.
    fn tick_fences(&mut self, now: ClockTime) {
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

    // Endpoints

    /// Takes what became of an order.
    pub fn take_outcome(&mut self, order: &EndpointOrder, outcome: OrderOutcome, now: ClockTime) {
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

    // Time

    /// Lets time pass.
    pub fn tick(&mut self, now: ClockTime) {
        self.wake(now);
        self.tick_peers(now);
        self.tick_fences(now);
        for led in self.led.values_mut() {
            led.dispatcher.tick(&self.settings.owner.vm, now);
        }
        self.carry_out(now);
        self.tick_jobs(now);
        if self.beat_at <= now {
            self.beat_at = now.plus_ms(BEAT_MS);
            if !self.directory.expire(ENDPOINT_EXPIRY_MS, now).is_empty() {
                self.spread_endpoints(now);
            }
            self.claim_cells(now);
            self.cede_surplus(now);
            self.send_beats(now);
        }
        self.carry_out(now);
    }

    fn tick_peers(&mut self, now: ClockTime) {
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

    fn tick_jobs(&mut self, now: ClockTime) {
        self.route_adrift(now);
        let mut refused = Vec::new();
        let mut unknown = Vec::new();
        let mut again = IndexMap::new();
        for (code, job) in &self.router.jobs {
            match (&job.leader, job.was_offered) {
                (None, false) if LEADERLESS_MS <= now.since_ms(job.adrift_since) => {
                    refused.push(*code);
                }
                (None, true) if ADRIFT_MS <= now.since_ms(job.adrift_since) => unknown.push(*code),
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
            self.send(&leader, CellMessage::Wanted(cell, wanted));
        }
    }

    fn route_adrift(&mut self, now: ClockTime) {
        let adrift = self.router.jobs.iter().filter(|(_, it)| it.leader.is_none());
        let codes: Vec<JobCode> = adrift.map(|(code, _)| *code).collect();
        for code in codes {
            self.route(code, now);
        }
    }

    fn beat(&self, now: ClockTime) -> PeerBeat {
        PeerBeat {
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

    fn view_own_cells(&mut self, now: ClockTime) {
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

    fn send_beats(&mut self, now: ClockTime) {
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
            self.effects.push(NodeEffect::Beat(vm, beat.clone()));
        }
    }

    // Effects of cells

    fn carry_out(&mut self, now: ClockTime) {
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

    fn carry_out_effect(&mut self, cell: &CellName, effect: CellEffect, now: ClockTime) {
        match effect {
            CellEffect::Order(order) => self.effects.push(NodeEffect::Order(order)),
            CellEffect::Note(note) => self.note(note),
            CellEffect::Fenced => self.take_fence(cell, now),
            CellEffect::Verdict(front, code, number, verdict) => {
                if front == self.settings.owner.vm {
                    self.take_verdict(&front, cell, code, number, verdict, now);
                } else {
                    let ended = CellMessage::Ended(cell.clone(), code, number, verdict);
                    self.send(&front, ended);
                }
            }
        }
    }
}

fn cell_of(record: &EndpointRecord) -> CellName {
    CellName {
        service: record.service.clone(),
        centre: record.centre.clone(),
        rack: record.rack.clone(),
    }
}
