//! One entry that leads every cell, endpoints of several speeds and jobs at a steady or
//! bursting rate, in virtual time and without faults.
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
        cell_message::{CellHeartbeat, CellMessage},
        cell_node::{CellNode, CellSettings, NodeEffect},
        endpoint_order::{EndpointOrder, OrderBody, OrderOutcome},
        job_offer::{JobCode, JobOffer, JobResult, JobStep, ResourceAmount},
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

/// Factor on the work of long outliers.
const OUTLIER_FACTOR: u64 = 7;

/// Least rate of a peak relative to the highest rate.
const PEAK_SHARE: f64 = 0.9;

/// How endpoints differ in size and how the load varies over time.
#[derive(Clone, Debug)]
pub struct LoadShape {
    /// Factors on the processor of endpoints, in thousandths, dealt out across their speeds.
    pub sizes_milli: Vec<u64>,
    /// Amplitude of the swing of all rates, in thousandths of the mean.
    pub swing_milli: u64,
    /// Period of the swing, in ms.
    pub swing_ms: u64,
    /// Share of jobs that take seven times as long, in thousandths. They declare so.
    pub outlier_milli: u64,
}

impl Default for LoadShape {
    fn default() -> LoadShape {
        LoadShape { sizes_milli: vec![1000], swing_milli: 0, swing_ms: 1000, outlier_milli: 0 }
    }
}

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

/// Endpoints and jobs of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Racks.
    pub n_racks: usize,
    /// Endpoints in each rack.
    pub n_endpoints: usize,
    /// Processor of an endpoint, in thousandths of a core.
    pub cpu: u64,
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
    /// Sizes of endpoints, and the swing of the load.
    pub shape: LoadShape,
}

impl LoadPlan {
    /// Tasks of 16 cores within a fifth, on endpoints of 32 cores, one in three of 48: gaps of up
    /// to 6 cores remain beside two tasks. The load swings by 0.55 every 15 s around
    /// `load` percent of the endpoints' processor.
    pub fn swinging(n_racks: usize, n_endpoints: usize, load: u64, seconds: u64) -> LoadPlan {
        let cores = (n_racks * n_endpoints) as f64 * 32.0 * (1.0 + 1.0 + 1.5) / 3.0;
        let speed = (1.0 + 1.0 + 1.0 / 1.3) / 3.0;
        // Jobs of seven times the work are 3 in 100.
        let cores_at_100 =
            (181.0 * 8.0 * 0.051 + 33.0 * 4.0 * 0.76 + 528.0 * 2.0 * 0.17) * 16.0 * 1.18;
        let scale = load as f64 / 100.0 * cores * speed / cores_at_100;
        let kind = |route, per_s: f64, n_tasks, work_ms, priority, racks| LoadKind {
            route,
            per_s: per_s * scale,
            n_tasks,
            work_ms,
            cpu: 16_000,
            priority,
            racks,
        };
        LoadPlan {
            n_racks,
            n_endpoints,
            cpu: 32_000,
            factors_milli: vec![1_000, 1_000, 1_300],
            off_rack_milli: 3_000,
            n_peers: 0,
            span_ms: seconds * 1000,
            kinds: vec![
                kind("short", 181.0, 8, 51, 0, (0..n_racks).collect()),
                kind("long", 33.0, 4, 760, 2, Vec::new()),
                kind("small", 528.0, 2, 170, 1, Vec::new()),
            ],
            shape: LoadShape {
                sizes_milli: vec![1000, 1000, 1500],
                swing_milli: 550,
                swing_ms: 15_000,
                outlier_milli: 30,
            },
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
    /// Jobs that ended and were served.
    pub n_ended: u64,
    /// Sum over served jobs of the time from the request to the last start of a task, in ms.
    pub wait_ms: u64,
}

impl KindOutcome {
    /// Mean time from the request to the last start of a task of a served job, in ms.
    pub fn mean_wait_ms(&self) -> u64 {
        self.wait_ms / self.n_ended.max(1)
    }

    /// Share of the worth that was earned: one in time, a fifth late, in thousandths.
    pub fn worth_milli(&self) -> u64 {
        (self.n_in_time * 1000 + self.n_late * 200) / self.n_jobs.max(1)
    }

    /// Share that ended within the objective, in thousandths.
    pub fn in_time_milli(&self) -> u64 {
        self.n_in_time * 1000 / self.n_jobs.max(1)
    }

    /// Share that was served at all while of use, in thousandths.
    pub fn served_milli(&self) -> u64 {
        (self.n_in_time + self.n_late) * 1000 / self.n_jobs.max(1)
    }
}

enum LoadEvent {
    Tick,
    News,
    Beat(Option<usize>),
    Submit(usize),
    GiveUp(CallNumber),
    Order(EndpointOrder),
    LookEnds(EndpointOrder),
    Outcome(EndpointOrder, OrderOutcome),
}

struct LoadJob {
    kind: usize,
    work_ms: u64,
    rack: Option<String>,
    objective_ms: u64,
    read_at: ClockTime,
    demand: ResourceAmount,
    started_at: ClockTime,
    is_wide: bool,
}

/// The world of a load.
pub struct LoadWorld {
    /// What became of the jobs, by route.
    pub outcomes: IndexMap<&'static str, KindOutcome>,
    /// What became of the widest tenth of each route's jobs, by processor of a task.
    pub wide_outcomes: IndexMap<&'static str, KindOutcome>,
    /// Processor time of runs while jobs came, in ms of thousandths of a core.
    pub used_work: u64,
    /// The part of it that falls into peaks, at nine tenths of the highest rate and above.
    pub peak_work: u64,
    /// How long peaks lasted, in ms.
    pub peak_ms: u64,
    /// Processor time of the entry's decisions, by what caused them.
    pub costs: IndexMap<&'static str, Duration>,
    /// Decisions by event.
    pub notes: IndexMap<&'static str, u64>,
    /// Starts that were ordered.
    pub n_starts: u64,
    plan: LoadPlan,
    node: CellNode,
    now: ClockTime,
    rng: ChaCha8Rng,
    events: BTreeMap<(ClockTime, u64), LoadEvent>,
    n_events: u64,
    runners: IndexMap<EndpointName, CellRunner>,
    looks: IndexMap<EndpointName, EndpointOrder>,
    jobs: IndexMap<JobCode, LoadJob>,
    calls: IndexMap<CallNumber, JobCode>,
    jobs_end_at: ClockTime,
}

fn rack_name(rack: usize) -> String {
    format!("rack-{rack}")
}

fn owner(name: &str) -> OwnerId {
    OwnerId { vm: VmName::from(name), incarnation: 1 }
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
        let settings = CellSettings {
            owner: owner("entry"),
            centre: DataCentre::from("near"),
            weight: 100,
            controls: Vec::new(),
            off_rack_milli: plan.off_rack_milli,
        };
        let mut world = LoadWorld {
            outcomes: IndexMap::new(),
            wide_outcomes: IndexMap::new(),
            used_work: 0,
            peak_work: 0,
            peak_ms: 0,
            costs: IndexMap::new(),
            notes: IndexMap::new(),
            n_starts: 0,
            plan: plan.clone(),
            node: CellNode::new(settings, now),
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            n_events: 0,
            runners: IndexMap::new(),
            looks: IndexMap::new(),
            jobs: IndexMap::new(),
            calls: IndexMap::new(),
            jobs_end_at: now.plus_ms(WARM_UP_MS + plan.span_ms),
        };
        world.add_runners();
        world.push(now.plus_ms(10), LoadEvent::News);
        world.push(now.plus_ms(20), LoadEvent::Tick);
        world.push(now, LoadEvent::Beat(None));
        for peer in 0..plan.n_peers {
            world.push(now.plus_ms(peer as u64 % BEAT_MS), LoadEvent::Beat(Some(peer)));
        }
        for kind in 0..plan.kinds.len() {
            world.push_submit(now.plus_ms(WARM_UP_MS), kind);
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
                let factors = &self.plan.factors_milli;
                let sizes = &self.plan.shape.sizes_milli;
                let size_milli = sizes[(rack + idx / factors.len()) % sizes.len()];
                let cpu = self.plan.cpu * size_milli / 1000;
                let record = endpoint(name.as_str(), address, "near", &rack_name, cpu, born);
                let mut runner = CellRunner::new(record, 5_000);
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
        let swing_milli = self.plan.shape.swing_milli;
        let per_s = self.plan.kinds[kind].per_s * (1000 + swing_milli) as f64 / 1000.0;
        let mut gap_ms = 0.0;
        loop {
            let uniform: f64 = self.rng.random_range(1e-9..1.0);
            gap_ms += -uniform.ln() / per_s * 1000.0;
            let at = from.plus_ms(gap_ms as u64);
            if self.jobs_end_at <= at {
                return;
            }
            // Arrivals at the highest rate are thinned to the rate of the moment.
            if swing_milli == 0 || self.rng.random_range(0.0..1.0) < self.rate_share(at) {
                self.push(at, LoadEvent::Submit(kind));
                return;
            }
        }
    }

    /// Rate of the moment relative to the highest one.
    fn rate_share(&self, at: ClockTime) -> f64 {
        let shape = &self.plan.shape;
        let swing = shape.swing_milli as f64 / 1000.0;
        let turns = at.0 as f64 / shape.swing_ms as f64;
        (1.0 + swing * (turns * std::f64::consts::TAU).sin()) / (1.0 + swing)
    }

    /// Share of the endpoints' processor that runs took while jobs came, in thousandths.
    pub fn used_milli(&self) -> u64 {
        self.used_work * 1000 / (self.capacity() * self.plan.span_ms).max(1)
    }

    /// Share of the endpoints' processor that runs took during peaks, in thousandths.
    pub fn peak_used_milli(&self) -> u64 {
        self.peak_work * 1000 / (self.capacity() * self.peak_ms).max(1)
    }

    fn capacity(&self) -> u64 {
        self.runners.values().map(|it| it.record.capacity.cpu).sum()
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
            LoadEvent::Tick => {
                self.act("tick", |node, now| node.tick(now));
                self.tick_runners();
                self.push(self.now.plus_ms(TICK_MS), LoadEvent::Tick);
            }
            LoadEvent::News => self.announce(),
            LoadEvent::Beat(peer) => {
                let (name, role) = match peer {
                    Some(peer) => (format!("peer-{peer}"), VmRole::Entry),
                    None => ("control".to_owned(), VmRole::Control),
                };
                let beat = beat(&name, role, self.now);
                let from = VmName(name);
                self.act("beat", |node, now| node.handle_heartbeat(&from, beat, now));
                self.push(self.now.plus_ms(BEAT_MS), LoadEvent::Beat(peer));
            }
            LoadEvent::Submit(kind) => self.submit(kind),
            LoadEvent::GiveUp(call) => {
                if let Some(code) = self.calls.swap_remove(&call) {
                    self.record_outcome(code, |it| it.n_given_up += 1);
                    self.act("withdraw", |node, now| node.cancel_call(call, now));
                }
            }
            LoadEvent::Order(order) => self.carry_out(order),
            LoadEvent::LookEnds(order) => {
                if self.looks.get(&order.endpoint).is_some_and(|it| it.number == order.number) {
                    self.answer_look(&order.endpoint);
                }
            }
            LoadEvent::Outcome(order, outcome) => {
                let cause = match &order.body {
                    OrderBody::Start { .. } => "start answered",
                    OrderBody::Stop { .. } => "stop answered",
                    OrderBody::Poll { .. } => "look answered",
                };
                self.act(cause, |node, now| node.handle_outcome(&order, outcome, now));
            }
        }
    }

    fn act(&mut self, cause: &'static str, act: impl FnOnce(&mut CellNode, ClockTime)) {
        let began = Instant::now();
        act(&mut self.node, self.now);
        let effects = self.node.drain_effects();
        *self.costs.entry(cause).or_default() += began.elapsed();
        for effect in effects {
            match effect {
                NodeEffect::Order(order) => {
                    self.n_starts += u64::from(matches!(order.body, OrderBody::Start { .. }));
                    self.push(self.now.plus_ms(LINK_MS), LoadEvent::Order(order));
                }
                NodeEffect::Answer(call, result) => self.answer(call, &result),
                NodeEffect::LogDecision(note) => {
                    *self.notes.entry(note.event.name()).or_default() += 1
                }
                NodeEffect::Send(..) | NodeEffect::Heartbeat(..) | NodeEffect::Digest(..) => {}
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
        self.act("news", |node, now| {
            node.handle_message(&control, plan, now);
            node.handle_message(&control, endpoints, now);
        });
        self.push(self.now.plus_ms(NEWS_MS), LoadEvent::News);
    }

    fn submit(&mut self, kind: usize) {
        self.push_submit(self.now, kind);
        let load = self.plan.kinds[kind].clone();
        let code = JobCode(self.jobs.len() as u64 + 1);
        let call = CallNumber(code.0);
        let rack = (!load.racks.is_empty())
            .then(|| rack_name(load.racks[self.rng.random_range(0..load.racks.len())]));
        let width_milli = self.rng.random_range(800..1_200);
        let cpu = load.cpu * width_milli / 1000;
        let spread = WORK_SPREAD_MILLI;
        let work_ms = load.work_ms * self.rng.random_range(1000 - spread..1000 + spread) / 1000;
        let outlier_milli = self.plan.shape.outlier_milli;
        let is_outlier = 0 < outlier_milli && self.rng.random_range(0..1000) < outlier_milli;
        let work_ms = if is_outlier { OUTLIER_FACTOR * work_ms } else { work_ms };
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
        };
        let objective_ms = work_ms * STRETCH_MILLI / 1000 + SLACK_MS;
        let patience_ms = PATIENCE_MS.max(4 * objective_ms);
        let offer = JobOffer { remaining_ms: patience_ms, ..offer };
        let read_at = self.now;
        let is_wide = 1_160 <= width_milli;
        let job = LoadJob {
            kind,
            work_ms,
            rack,
            objective_ms,
            read_at,
            demand,
            started_at: read_at,
            is_wide,
        };
        self.jobs.insert(code, job);
        self.record_outcome(code, |it| it.n_jobs += 1);
        self.calls.insert(call, code);
        self.push(self.now.plus_ms(patience_ms), LoadEvent::GiveUp(call));
        self.act("submit", |node, now| node.submit(call, offer, now));
    }

    fn answer(&mut self, call: CallNumber, result: &JobResult) {
        let Some(code) = self.calls.swap_remove(&call) else { return };
        let job = &self.jobs[&code];
        let took_ms = self.now.since_ms(job.read_at);
        let wait_ms = job.started_at.since_ms(job.read_at);
        let objective_ms = job.objective_ms;
        self.record_outcome(code, |outcome| match result {
            JobResult::Completed => {
                outcome.n_ended += 1;
                outcome.wait_ms += wait_ms;
                if took_ms <= objective_ms {
                    outcome.n_in_time += 1;
                } else if took_ms <= 3 * objective_ms {
                    outcome.n_late += 1;
                } else {
                    outcome.n_useless += 1;
                }
            }
            JobResult::Refused(..) => {
                outcome.n_refused += 1;
                outcome.refused_after_ms += took_ms;
            }
            _ => {}
        });
    }

    /// Records a job's outcome for its route and, if it is wide, for the widest tenth.
    fn record_outcome(&mut self, code: JobCode, record: impl Fn(&mut KindOutcome)) {
        let job = &self.jobs[&code];
        let route = self.plan.kinds[job.kind].route;
        record(self.outcomes.entry(route).or_default());
        if job.is_wide {
            record(self.wide_outcomes.entry(route).or_default());
        }
    }

    fn carry_out(&mut self, order: EndpointOrder) {
        let (demand, work_ms) = self.work_of(&order);
        if let OrderBody::Start { task, .. } = &order.body
            && let Some(job) = self.jobs.get_mut(&task.job)
        {
            job.started_at = self.now;
        }
        let Some(runner) = self.runners.get_mut(&order.endpoint) else { return };
        let outcome = runner.carry_out(&order, demand, work_ms, self.now);
        if let OrderBody::Poll { wait_ms, .. } = &order.body
            && 0 < *wait_ms
            && matches!(outcome, OrderOutcome::Executed(..))
            && !runner.has_ends()
        {
            let at = self.now.plus_ms(*wait_ms);
            self.looks.insert(order.endpoint.clone(), order.clone());
            self.push(at, LoadEvent::LookEnds(order));
            return;
        }
        self.push(self.now.plus_ms(LINK_MS), LoadEvent::Outcome(order, outcome));
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
        let begun_at = self.jobs_end_at.minus_ms(self.plan.span_ms);
        if begun_at <= now && now < self.jobs_end_at {
            let runs = self.runners.values().flat_map(|it| it.runs.values());
            let work = runs.map(|it| it.demand.cpu).sum::<u64>() * TICK_MS;
            self.used_work += work;
            if PEAK_SHARE <= self.rate_share(now) {
                self.peak_work += work;
                self.peak_ms += TICK_MS;
            }
        }
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
        let Some(order) = self.looks.swap_remove(name) else { return };
        let runner = &self.runners[name];
        let lists = runner.lists(self.now);
        let outcome = OrderOutcome::Executed(runner.clock(self.now), Some(lists));
        self.push(self.now.plus_ms(LINK_MS), LoadEvent::Outcome(order, outcome));
    }
}
