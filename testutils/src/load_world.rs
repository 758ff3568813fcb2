//! Entries that lead the cells of some racks, endpoints of several speeds and jobs at a steady
//! or oscillating rate, in virtual time and without faults.
//!
//! It shows who waits and who is refused under a load, and what the decisions cost in
//! processor time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccamux::{
    cell::{
        cell_message::{CellHeartbeat, CellMessage, HeartbeatDigest},
        cell_node::{CellNode, CellSettings, NodeEffect},
        endpoint_order::{EndpointOrder, OrderBody, OrderOutcome},
        job_offer::{JobCode, JobOffer, JobResult, JobStep, ResourceAmount},
        run_bounds::RunBounds,
    },
    config_state::ControlGroup,
    entry_node::CallNumber,
    job_ledger::OwnerId,
    prelude::*,
    vm_layout::VmRole,
};

use crate::{
    cell_fixtures::{SERVICE, SLACK_MS, STRETCH_MILLI, endpoint, route_plan},
    cell_runner::CellRunner,
};

/// Time from the start until jobs come, in ms: every endpoint has been claimed.
const WARM_UP_MS: u64 = 1_500;
/// The same with several entries, which first find each other and hand cells to each other.
const SHARED_WARM_UP_MS: u64 = 10_000;
/// Way of an order or an answer, in ms.
const LINK_MS: u64 = 1;
/// Time between ticks of the entry, in ms.
const TICK_MS: u64 = 10;
/// Time between announcements of all endpoints, in ms.
const NEWS_MS: u64 = 4_000;
/// Time between beats of a peer, in ms.
const BEAT_MS: u64 = 120;
/// Time for which a caller waits at least, in ms; it waits four times its objective.
const PATIENCE_MS: u64 = 1_500;
/// Spread of real run times and of declared ones, in thousandths either way.
const WORK_SPREAD_MILLI: u64 = 400;

/// Spread of the tasks of a job, in thousandths either way.
const UNEVEN_MILLI: u64 = 250;

/// Jobs that are alike.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Name of their route.
    pub route: &'static str,
    /// Jobs a second.
    pub per_s: f64,
    /// Tasks of a job.
    pub n_tasks: u32,
    /// Run time of a task on an endpoint of factor one, in ms.
    pub work_ms: u64,
    /// Processor of a task, in thousandths of a core; each job draws within a fifth of it.
    pub cpu: u64,
    /// Rank of the route.
    pub priority: u32,
    /// Racks that its data lies in, by number; empty when anywhere will do.
    pub racks: Vec<usize>,
}

/// An oscillation of the rate of all jobs.
#[derive(Clone, Copy, Debug)]
pub struct LoadSwing {
    /// Amplitude, in thousandths of the mean rate.
    pub share_milli: u64,
    /// Period, in ms.
    pub period_ms: u64,
}

/// Endpoints and jobs of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entries, each with an equal part of the callers.
    pub n_entries: usize,
    /// Data centres, over which entries and racks are distributed in turn.
    pub n_centres: usize,
    /// Oscillation of the load, if any.
    pub swing: Option<LoadSwing>,
    /// Jobs out of a thousand that take seven times as long as the others.
    pub n_long_milli: u64,
    /// Racks.
    pub n_racks: usize,
    /// Endpoints in each rack.
    pub n_endpoints: usize,
    /// Processor of an endpoint, in thousandths of a core.
    pub cpu: u64,
    /// Sizes, dealt out to the endpoints in turn, in thousandths of `cpu`.
    pub sizes_milli: Vec<u64>,
    /// Factors on run times, dealt out to the endpoints in turn, in thousandths.
    pub factors_milli: Vec<u64>,
    /// Factor on the run time of a task off its data's rack, in thousandths.
    pub off_rack_milli: u64,
    /// Other entries, which beat.
    pub n_peers: usize,
    /// Time over which jobs come, in ms.
    pub span_ms: u64,
    /// The jobs.
    pub kinds: Vec<LoadKind>,
}

impl Default for LoadPlan {
    fn default() -> LoadPlan {
        LoadPlan {
            n_entries: 1,
            n_centres: 1,
            swing: None,
            n_long_milli: 0,
            n_racks: 1,
            n_endpoints: 1,
            cpu: 64_000,
            sizes_milli: vec![1_000],
            factors_milli: vec![1_000],
            off_rack_milli: 2_000,
            n_peers: 0,
            span_ms: 10_000,
            kinds: Vec::new(),
        }
    }
}

/// What became of the jobs of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindOutcome {
    /// Jobs that came.
    pub n_jobs: u64,
    /// Of these, ended within their objective.
    pub n_in_time: u64,
    /// Ended later, but within three times the objective.
    pub n_late: u64,
    /// Ended later still.
    pub n_useless: u64,
    /// Given up by their callers.
    pub n_given_up: u64,
    /// Refused with none of their tasks started.
    pub n_refused: u64,
    /// Sum over refused jobs of the time until they were told, in ms.
    pub refused_after_ms: u64,
    /// Of the refused jobs, those that were told after more than a quarter of their objective.
    pub n_held: u64,
}

impl KindOutcome {
    /// Share that ended within the objective, in thousandths.
    pub fn in_time_milli(&self) -> u64 {
        self.n_in_time * 1000 / self.n_jobs.max(1)
    }

    /// Mean worth of the jobs to their callers, in thousandths: a late answer has a fifth of the
    /// value of one in time.
    pub fn worth_milli(&self) -> u64 {
        (self.n_in_time * 1000 + self.n_late * 200) / self.n_jobs.max(1)
    }

    /// Share that was served at all while of use, in thousandths.
    pub fn served_milli(&self) -> u64 {
        (self.n_in_time + self.n_late) * 1000 / self.n_jobs.max(1)
    }
}

enum LoadEvent {
    Tick(usize),
    News,
    Beat(Option<usize>),
    Submit(usize),
    GiveUp(CallNumber),
    Order(usize, EndpointOrder),
    LookEnds(EndpointOrder),
    Outcome(usize, EndpointOrder, OrderOutcome),
    Message(usize, usize, CellMessage),
    Heartbeat(usize, usize, CellHeartbeat),
    Digest(usize, usize, HeartbeatDigest),
}

struct LoadJob {
    kind: usize,
    work_ms: u64,
    rack: Option<String>,
    objective_ms: u64,
    read_at: ClockTime,
    demand: ResourceAmount,
    entry: usize,
}

/// The world of a load.
pub struct LoadWorld {
    /// What became of the jobs, by route.
    pub outcomes: IndexMap<&'static str, KindOutcome>,
    /// The same by the data centre of the callers.
    pub centre_outcomes: IndexMap<String, KindOutcome>,
    /// Processor time of the entries' decisions, by what caused them.
    pub costs: IndexMap<&'static str, Duration>,
    /// Decisions by event.
    pub notes: IndexMap<&'static str, u64>,
    /// Starts that were ordered.
    pub n_starts: u64,
    plan: LoadPlan,
    nodes: Vec<CellNode>,
    now: ClockTime,
    rng: ChaCha8Rng,
    events: BTreeMap<(ClockTime, u64), LoadEvent>,
    n_events: u64,
    runners: IndexMap<EndpointName, CellRunner>,
    looks: IndexMap<EndpointName, (usize, EndpointOrder)>,
    jobs: IndexMap<JobCode, LoadJob>,
    calls: IndexMap<CallNumber, JobCode>,
    jobs_end_at: ClockTime,
    /// Fractions of a ms that are left over from the last gap of each kind.
    gap_fractions: Vec<f64>,
}

fn rack_name(rack: usize) -> String {
    format!("rack-{rack}")
}

fn owner(name: &str) -> OwnerId {
    OwnerId { vm: VmName::from(name), incarnation: 1 }
}

fn entry_name(entry: usize) -> String {
    format!("entry-{entry}")
}

fn centre_name(idx: usize) -> String {
    if idx == 0 { "near".to_owned() } else { format!("near-{idx}") }
}

fn beat(name: &str, role: VmRole, now: ClockTime) -> CellHeartbeat {
    CellHeartbeat {
        owner: owner(name),
        sent_at: now,
        role,
        centre: DataCentre::from(if role == VmRole::Entry { "far" } else { "near" }),
        weight: 100,
        plan_version: 1,
        stopping: false,
        members: Vec::new(),
        group: ControlGroup::default(),
        cells: Vec::new(),
    }
}

impl LoadWorld {
    /// A world whose jobs are drawn by the seed.
    pub fn new(seed: u64, plan: &LoadPlan) -> LoadWorld {
        let now = ClockTime(1_000_000_000);
        let node = |entry: usize| {
            let settings = CellSettings {
                owner: owner(&entry_name(entry)),
                centre: DataCentre(centre_name(entry % plan.n_centres)),
                weight: 100,
                controls: Vec::new(),
                off_rack_milli: plan.off_rack_milli,
                bounds: RunBounds::default(),
            };
            CellNode::new(settings, now)
        };
        let warm_up_ms = if plan.n_entries == 1 { WARM_UP_MS } else { SHARED_WARM_UP_MS };
        let mut world = LoadWorld {
            outcomes: IndexMap::new(),
            centre_outcomes: IndexMap::new(),
            costs: IndexMap::new(),
            notes: IndexMap::new(),
            n_starts: 0,
            plan: plan.clone(),
            nodes: (0..plan.n_entries).map(node).collect(),
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            n_events: 0,
            runners: IndexMap::new(),
            looks: IndexMap::new(),
            jobs: IndexMap::new(),
            calls: IndexMap::new(),
            gap_fractions: vec![0.0; plan.kinds.len()],
            jobs_end_at: now.plus_ms(warm_up_ms + plan.span_ms),
        };
        world.add_runners();
        world.push(now.plus_ms(10), LoadEvent::News);
        for entry in 0..plan.n_entries {
            world.push(now.plus_ms(20), LoadEvent::Tick(entry));
        }
        world.push(now, LoadEvent::Beat(None));
        for peer in 0..plan.n_peers {
            world.push(now.plus_ms(peer as u64 % BEAT_MS), LoadEvent::Beat(Some(peer)));
        }
        for kind in 0..plan.kinds.len() {
            world.push_submit(now.plus_ms(warm_up_ms), kind);
        }
        world
    }

    fn add_runners(&mut self) {
        for rack in 0..self.plan.n_racks {
            for idx in 0..self.plan.n_endpoints {
                let name = EndpointName(format!("endpoint-{rack}-{idx}"));
                let rack_name = rack_name(rack);
                let address = format!("10.0.{rack}.{idx}:1");
                let born = ClockTime(1);
                let centre = centre_name(rack % self.plan.n_centres);
                let sizes = &self.plan.sizes_milli;
                let cpu = self.plan.cpu * sizes[(rack + idx / 2) % sizes.len()] / 1000;
                let record = endpoint(name.as_str(), address, &centre, &rack_name, cpu, born);
                let mut runner = CellRunner::new(record, 5_000);
                let factors = &self.plan.factors_milli;
                runner.factor_milli = factors[(rack + idx) % factors.len()];
                self.runners.insert(name, runner);
            }
        }
    }

    fn push(&mut self, at: ClockTime, event: LoadEvent) {
        self.n_events += 1;
        self.events.insert((at, self.n_events), event);
    }

    fn push_submit(&mut self, from: ClockTime, kind: usize) {
        let per_s = self.plan.kinds[kind].per_s * self.rate_factor(from);
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let mut gap_ms = -uniform.ln() / per_s * 1000.0;
        if self.plan.swing.is_some() {
            // Without the fractions of former gaps, a high rate would be exceeded by a half.
            gap_ms += self.gap_fractions[kind];
            self.gap_fractions[kind] = gap_ms.fract();
        }
        let at = from.plus_ms(gap_ms as u64);
        if at < self.jobs_end_at {
            self.push(at, LoadEvent::Submit(kind));
        }
    }

    fn rate_factor(&self, at: ClockTime) -> f64 {
        let Some(swing) = self.plan.swing else { return 1.0 };
        let turn = (at.0 % swing.period_ms) as f64 / swing.period_ms as f64;
        1.0 + swing.share_milli as f64 / 1000.0 * (turn * std::f64::consts::TAU).sin()
    }

    /// Plays until every job has had its time.
    pub fn run(&mut self) {
        let end = self.jobs_end_at.plus_ms(2 * PATIENCE_MS);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if end < at {
                return;
            }
            self.now = at;
            self.take(event);
        }
    }

    fn take(&mut self, event: LoadEvent) {
        match event {
            LoadEvent::Tick(entry) => {
                self.act(entry, "tick", |node, now| node.tick(now));
                if entry == 0 {
                    self.tick_runners();
                }
                self.push(self.now.plus_ms(TICK_MS), LoadEvent::Tick(entry));
            }
            LoadEvent::News => self.announce(),
            LoadEvent::Beat(peer) => {
                let (name, role) = match peer {
                    Some(peer) => (format!("peer-{peer}"), VmRole::Entry),
                    None => ("control".to_owned(), VmRole::Control),
                };
                let mut beat = beat(&name, role, self.now);
                if role == VmRole::Control {
                    beat.members = (0..self.nodes.len()).map(|it| VmName(entry_name(it))).collect();
                }
                let from = VmName(name);
                for entry in 0..self.nodes.len() {
                    let beat = beat.clone();
                    self.act(entry, "beat", |node, now| node.handle_heartbeat(&from, beat, now));
                }
                self.push(self.now.plus_ms(BEAT_MS), LoadEvent::Beat(peer));
            }
            LoadEvent::Submit(kind) => self.submit(kind),
            LoadEvent::GiveUp(call) => {
                if let Some(code) = self.calls.swap_remove(&call) {
                    self.count(code, |it| it.n_given_up += 1);
                    let entry = self.jobs[&code].entry;
                    self.act(entry, "withdraw", |node, now| node.cancel_call(call, now));
                }
            }
            LoadEvent::Order(entry, order) => self.carry_out(entry, order),
            LoadEvent::LookEnds(order) => {
                if self.looks.get(&order.endpoint).is_some_and(|(_, it)| it.number == order.number)
                {
                    self.answer_look(&order.endpoint);
                }
            }
            LoadEvent::Outcome(entry, order, outcome) => {
                let cause = match &order.body {
                    OrderBody::Start { .. } => "start answered",
                    OrderBody::Stop { .. } => "stop answered",
                    OrderBody::Poll { .. } => "look answered",
                };
                self.act(entry, cause, |node, now| node.handle_outcome(&order, outcome, now));
            }
            LoadEvent::Message(from, to, message) => {
                let from = VmName(entry_name(from));
                self.act(to, "message", |node, now| node.handle_message(&from, message, now));
            }
            LoadEvent::Heartbeat(from, to, beat) => {
                let from = VmName(entry_name(from));
                self.act(to, "beat", |node, now| node.handle_heartbeat(&from, beat, now));
            }
            LoadEvent::Digest(from, to, digest) => {
                let from = VmName(entry_name(from));
                self.act(to, "beat", |node, now| node.handle_digest(&from, digest, now));
            }
        }
    }

    fn entry_of(&self, vm: &VmName) -> Option<usize> {
        let number = vm.as_str().strip_prefix("entry-")?.parse().ok();
        number.filter(|it| *it < self.nodes.len())
    }

    fn act(
        &mut self,
        entry: usize,
        cause: &'static str,
        act: impl FnOnce(&mut CellNode, ClockTime),
    ) {
        let began = Instant::now();
        act(&mut self.nodes[entry], self.now);
        let effects = self.nodes[entry].drain_effects();
        *self.costs.entry(cause).or_default() += began.elapsed();
        for effect in effects {
            match effect {
                NodeEffect::Order(order) => {
                    self.n_starts += u64::from(matches!(order.body, OrderBody::Start { .. }));
                    self.push(self.now.plus_ms(LINK_MS), LoadEvent::Order(entry, order));
                }
                NodeEffect::Answer(call, result) => self.answer(call, &result),
                NodeEffect::CancelAnswer(..) => {}
                NodeEffect::LogDecision(note) => {
                    *self.notes.entry(note.event.name()).or_default() += 1
                }
                NodeEffect::Send(vm, message) => {
                    if let Some(to) = self.entry_of(&vm) {
                        let at = self.now.plus_ms(LINK_MS);
                        self.push(at, LoadEvent::Message(entry, to, message));
                    }
                }
                NodeEffect::Heartbeat(vms, beat) => {
                    for to in vms.iter().filter_map(|it| self.entry_of(it)).collect::<Vec<_>>() {
                        let at = self.now.plus_ms(LINK_MS);
                        self.push(at, LoadEvent::Heartbeat(entry, to, beat.clone()));
                    }
                }
                NodeEffect::Digest(vms, digest) => {
                    for to in vms.iter().filter_map(|it| self.entry_of(it)).collect::<Vec<_>>() {
                        let at = self.now.plus_ms(LINK_MS);
                        self.push(at, LoadEvent::Digest(entry, to, digest.clone()));
                    }
                }
            }
        }
    }

    fn announce(&mut self) {
        let control = VmName::from("control");
        let routes: Vec<_> = self.plan.kinds.iter().map(|it| (it.route, it.priority)).collect();
        let plan = CellMessage::Plan(route_plan(&routes));
        let records = self.runners.values_mut().map(|it| {
            it.record.seq += 1;
            (it.record.clone(), false)
        });
        let endpoints = CellMessage::Endpoints(records.collect());
        for entry in 0..self.nodes.len() {
            let (plan, endpoints) = (plan.clone(), endpoints.clone());
            self.act(entry, "news", |node, now| {
                node.handle_message(&control, plan, now);
                node.handle_message(&control, endpoints, now);
            });
        }
        self.push(self.now.plus_ms(NEWS_MS), LoadEvent::News);
    }

    fn submit(&mut self, kind: usize) {
        self.push_submit(self.now, kind);
        let load = self.plan.kinds[kind].clone();
        let code = JobCode(self.jobs.len() as u64 + 1);
        let call = CallNumber(code.0);
        let rack = (!load.racks.is_empty())
            .then(|| rack_name(load.racks[self.rng.random_range(0..load.racks.len())]));
        let cpu = load.cpu * self.rng.random_range(800..1_200) / 1000;
        let spread = WORK_SPREAD_MILLI;
        let mut work_ms = load.work_ms * self.rng.random_range(1000 - spread..1000 + spread) / 1000;
        // Plans without such jobs draw the same numbers as before.
        if 0 < self.plan.n_long_milli && self.rng.random_range(0..1000) < self.plan.n_long_milli {
            work_ms *= 7;
        }
        let declared_ms = work_ms * self.rng.random_range(1000 - spread..1000 + spread) / 1000;
        let demand = ResourceAmount { cpu, mem_mb: 64, gpu: 0 };
        let step = JobStep {
            count: load.n_tasks,
            demand,
            declared_ms,
            after: Vec::new(),
            data_rack: rack.clone(),
            label: None,
            max_on_endpoint: None,
        };
        let offer = JobOffer {
            job: code,
            route: load.route.to_owned(),
            service: SERVICE.to_owned(),
            spec: "x".to_owned(),
            steps: vec![step],
            priority: load.priority,
            max_attempts: 3,
            stretch_milli: STRETCH_MILLI,
            slack_ms: SLACK_MS,
            age_ms: 0,
            remaining_ms: PATIENCE_MS,
            first_run: 0,
            number: 0,
            token: 0,
            is_repeat: false,
            may_move: false,
            centre: DataCentre::from(""),
            was_refused: false,
        };
        let objective_ms = work_ms * STRETCH_MILLI / 1000 + SLACK_MS;
        let patience_ms = PATIENCE_MS.max(4 * objective_ms);
        let offer = JobOffer { remaining_ms: patience_ms, ..offer };
        let read_at = self.now;
        let n_entries = self.nodes.len();
        let entry = if n_entries == 1 { 0 } else { self.rng.random_range(0..n_entries) };
        let job = LoadJob { kind, work_ms, rack, objective_ms, read_at, demand, entry };
        self.jobs.insert(code, job);
        self.count(code, |it| it.n_jobs += 1);
        self.calls.insert(call, code);
        self.push(self.now.plus_ms(patience_ms), LoadEvent::GiveUp(call));
        self.act(entry, "submit", |node, now| node.submit(call, offer, now));
    }

    fn answer(&mut self, call: CallNumber, result: &JobResult) {
        let Some(code) = self.calls.swap_remove(&call) else { return };
        let job = &self.jobs[&code];
        let (took_ms, objective_ms) = (self.now.since_ms(job.read_at), job.objective_ms);
        self.count(code, |outcome| match result {
            JobResult::Completed if took_ms <= objective_ms => outcome.n_in_time += 1,
            JobResult::Completed if took_ms <= 3 * objective_ms => outcome.n_late += 1,
            JobResult::Completed => outcome.n_useless += 1,
            JobResult::Refused(..) => {
                outcome.n_refused += 1;
                outcome.refused_after_ms += took_ms;
                outcome.n_held += u64::from(objective_ms < 4 * took_ms);
            }
            _ => {}
        });
    }

    fn count(&mut self, code: JobCode, count: impl Fn(&mut KindOutcome)) {
        let job = &self.jobs[&code];
        count(self.outcomes.entry(self.plan.kinds[job.kind].route).or_default());
        let centre = centre_name(job.entry % self.plan.n_centres);
        count(self.centre_outcomes.entry(centre).or_default());
    }

    fn carry_out(&mut self, entry: usize, order: EndpointOrder) {
        let (demand, work_ms) = self.work_of(&order);
        let Some(runner) = self.runners.get_mut(&order.endpoint) else { return };
        let outcome = runner.carry_out(&order, demand, work_ms, self.now);
        if let OrderBody::Poll { wait_ms, .. } = &order.body
            && 0 < *wait_ms
            && matches!(outcome, OrderOutcome::Executed(..))
            && !runner.has_ends()
        {
            let at = self.now.plus_ms(*wait_ms);
            self.looks.insert(order.endpoint.clone(), (entry, order.clone()));
            self.push(at, LoadEvent::LookEnds(order));
            return;
        }
        self.push(self.now.plus_ms(LINK_MS), LoadEvent::Outcome(entry, order, outcome));
    }

    fn work_of(&self, order: &EndpointOrder) -> (ResourceAmount, u64) {
        let OrderBody::Start { task, .. } = &order.body else {
            return (ResourceAmount::default(), 0);
        };
        let job = &self.jobs[&task.job];
        let is_off = job.rack.as_ref().is_some_and(|it| {
            self.runners.get(&order.endpoint).is_some_and(|runner| runner.record.rack != *it)
        });
        let factor_milli = if is_off { self.plan.off_rack_milli } else { 1000 };
        let draw = (task.job.0 * 31 + u64::from(task.idx)) * 7_919 % (2 * UNEVEN_MILLI);
        let uneven_milli = 1000 - UNEVEN_MILLI + draw;
        (job.demand, job.work_ms * factor_milli / 1000 * uneven_milli / 1000)
    }

    fn tick_runners(&mut self) {
        let now = self.now;
        let ended: Vec<EndpointName> = self
            .runners
            .iter_mut()
            .filter_map(|(name, it)| it.tick(now, |_, _| 1_000).then(|| name.clone()))
            .collect();
        for name in ended {
            self.answer_look(&name);
        }
    }

    fn answer_look(&mut self, name: &EndpointName) {
        let Some((entry, order)) = self.looks.swap_remove(name) else { return };
        let runner = &self.runners[name];
        let lists = runner.lists(self.now);
        let outcome = OrderOutcome::Executed(runner.clock(self.now), Some(lists));
        self.push(self.now.plus_ms(LINK_MS), LoadEvent::Outcome(entry, order, outcome));
    }
}
