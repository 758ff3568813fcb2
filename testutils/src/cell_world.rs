//! Entries, endpoints and callers of cells in virtual time, under random faults.
//!
//! The world checks what callers and endpoints see: no task at work twice, nothing of a
//! refused job run, no start on an endpoint that has long been leaving, and an answer for
//! every job once the faults are over.
//!
//! Faults come one by one, or in series that overlap: orders are held up by cuts and carried out
//! late, while endpoints fall silent, crash, leave and begin new lives under their names.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccamux::{
    cell::{
        cell_message::{CellHeartbeat, CellMessage, HeartbeatDigest},
        cell_node::{CellNode, CellSettings, NodeEffect},
        decision_record::{DecisionEvent, DecisionRecord},
        endpoint_directory::EndpointRecord,
        endpoint_order::{EndpointOrder, OrderBody, OrderOutcome, OrderRefusal},
        job_offer::{JobCode, JobOffer, JobResult, JobStep, ResourceAmount, TaskRef},
        node_cancels::CancelResult,
        route_plan::RoutePlan,
        run_bounds::RunBounds,
    },
    entry_node::CallNumber,
    job_ledger::OwnerId,
    prelude::*,
};

use crate::{
    cell_fixtures::{SERVICE, SLACK_MS, STRETCH_MILLI, endpoint, route_plan},
    cell_runner::{CellRunner, LeaseRule},
};

/// Time after which a caller without an answer sends its job again, in ms.
const RESEND_MS: u64 = 1_300;
/// Time for which a caller waits, in ms.
const PATIENCE_MS: u64 = 2_500;
/// Time after an endpoint said that it leaves until it gets no start, in ms.
const DRAIN_MS: u64 = 2_000;
/// Time after a stand-still in which an entry need not know what happened meanwhile, in ms.
const IN_TOUCH_MS: u64 = 3_000;
/// Time between ticks of an entry, in ms.
const TICK_MS: u64 = 10;
/// Time between announcements of all endpoints, in ms.
const NEWS_MS: u64 = 1_500;
/// Share of the orders to an endpoint that a cut holds up and doesn't lose, in thousandths.
const HELD_MILLI: u64 = 700;
/// Longest time from a cut's end until an order that it held up arrives, in ms.
const RETRANSMIT_MS: u64 = 400;
/// Time from an order on after which it counts as held up, in ms.
const HELD_UP_MS: u64 = 100;
/// Work of long tasks, in ms: they outlast two takeovers.
const LONG_WORK_MS: std::ops::Range<u64> = 1_200..1_800;
/// Time for which the caller of a job with long tasks waits, in ms.
const LONG_PATIENCE_MS: u64 = 5_000;
/// Time from the kill of a leader until it starts again, in ms.
const RESTART_MS: u64 = 500;
/// Time for which the successor of a killed leader stands still, in ms.
const SUCCESSOR_FREEZE_MS: u64 = 4_000;
/// Time after the answer to a cancelling in which its job may still start tasks, in ms.
const CANCEL_MS: u64 = 4_000;
/// Time after which a caller cancels again, in ms.
const CANCEL_REPEAT_MS: u64 = 2_000;
/// Steps of a job that its caller cancels, and the time for which that one waits, in ms.
const CANCELLED_JOB: (u32, u64) = (10, 12_000);
/// Labels of the kinds of endpoints.
const KINDS: [&str; 2] = ["a", "b"];
/// How far the clock of an endpoint that took over an address is ahead, in ms.
const OTHER_AHEAD_MS: u64 = 7_000_000;

/// Sizes and faults of a world.
#[derive(Clone, Debug)]
pub struct CellPlan {
    /// Data centres.
    pub n_centres: usize,
    /// Entries in each.
    pub n_entries: usize,
    /// Endpoints in each, in racks of four.
    pub n_runners: usize,
    /// Jobs that are submitted.
    pub n_jobs: u64,
    /// Time over which jobs are submitted and faults come, in ms.
    pub span_ms: u64,
    /// Random faults.
    pub n_faults: usize,
    /// Whether faults come in series that overlap.
    pub in_series: bool,
    /// Whether an endpoint's departure may be announced during its next life.
    pub late_departures: bool,
    /// Whether leaders are killed whose successors stand still soon after, beside long tasks.
    pub successors_freeze: bool,
    /// Whether endpoints crash and come back as another kind, beside jobs that require a label.
    pub kinds_change: bool,
    /// Whether callers cancel jobs of many steps, each at any entry.
    pub callers_cancel: bool,
}

impl Default for CellPlan {
    fn default() -> CellPlan {
        CellPlan {
            n_centres: 2,
            n_entries: 3,
            n_runners: 8,
            n_jobs: 250,
            span_ms: 12_000,
            n_faults: 8,
            in_series: false,
            late_departures: false,
            successors_freeze: false,
            kinds_change: false,
            callers_cancel: false,
        }
    }
}

/// Which ways a cut closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutWays {
    /// Orders and answers.
    Both,
    /// Orders alone.
    Orders,
    /// Answers alone.
    Answers,
}

/// What happens at the address of an endpoint that is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownAnswer {
    /// Nothing: its machine is down.
    Silent,
    /// Connections are refused: its process is down.
    Refused,
    /// Another endpoint answers.
    Other,
}

/// A fault that can strike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellFault {
    /// An entry is killed and starts again after so many ms.
    Kill(VmName, u64),
    /// An entry stands still for so many ms.
    Freeze(VmName, u64),
    /// An entry that leads cells is killed, and the entry that takes over first stands still so many
    /// ms after it has.
    LoseSuccessor(u64),
    /// An entry stops in good order and starts again.
    Stop(VmName),
    /// A data centre is cut off from the others for so many ms.
    CutCentre(usize, u64),
    /// An entry is cut off from all other entries, both ways or one way.
    CutEntry(VmName, bool, u64),
    /// An endpoint is cut off from all entries.
    CutRunner(EndpointName, CutWays, u64),
    /// An endpoint is cut off from one entry.
    CutLink(VmName, EndpointName, CutWays, u64),
    /// Connections between two entries break and lose what is on its way.
    Reset(VmName, VmName),
    /// An endpoint crashes and starts again under its name.
    Crash(EndpointName, DownAnswer, u64),
    /// An endpoint leaves.
    Leave(EndpointName),
    /// An endpoint that left ends, is announced as gone after so many ms, and starts again under
    /// its name.
    Depart(EndpointName, u64, u64),
    /// An endpoint carries out orders without an answer.
    Mute(EndpointName, u64),
    /// An endpoint refuses connections.
    Refuse(EndpointName, u64),
    /// Orders to endpoints lose their answer, so many in a thousand.
    LoseAnswers(u64, u64),
    /// Orders to endpoints get no answer and are carried out late.
    DelayOrders(u64, u64),
    /// An endpoint's runs fail.
    Fail(EndpointName, u64),
    /// An endpoint's runs stand still.
    Hang(EndpointName, u64),
    /// An endpoint is slow.
    Slow(EndpointName, u64),
}

enum WorldEvent {
    Message(VmName, VmName, u64, CellMessage),
    Beat(VmName, VmName, CellHeartbeat),
    Digest(VmName, VmName, HeartbeatDigest),
    Broken(VmName, VmName),
    Order(SentOrder),
    Outcome(VmName, u64, EndpointOrder, OrderOutcome),
    LookEnds(VmName, u64, EndpointOrder),
    Withdraw(VmName, u64, CallNumber),
    Call(VmName, u64, CallNumber, JobOffer),
    Tick,
    News,
    Submit(JobCode),
    CancelJob(JobCode),
    GiveUp(JobCode, u64),
    Fault(CellFault),
    Start(VmName),
    Thaw(VmName),
    Mend(CellFault),
    Gone(EndpointRecord),
    Exit(VmName, u64),
}

/// An order on its way.
#[derive(Clone)]
struct SentOrder {
    vm: VmName,
    incarnation: u64,
    order: EndpointOrder,
    sent_at: ClockTime,
}

/// Who ordered a run, and when.
struct RunOrigin {
    vm: VmName,
    sent_at: ClockTime,
    began_at: ClockTime,
}

struct WorldJob {
    offer: JobOffer,
    work_ms: u64,
    attempts: u64,
    is_waiting: Option<(VmName, CallNumber)>,
    result: Option<JobResult>,
    refused_at: Option<ClockTime>,
    /// When its cancelling was answered.
    cancelled_at: Option<ClockTime>,
}

struct WorldEntry {
    node: Option<CellNode>,
    incarnation: u64,
    frozen: bool,
    stopping: bool,
    held: Vec<WorldEvent>,
}

/// The world.
pub struct CellWorld {
    /// What was broken.
    pub violations: Vec<String>,
    /// Jobs that ended as completed.
    pub n_completed: usize,
    /// Jobs that were refused.
    pub n_refused: usize,
    /// Notes of all entries, when they are kept.
    pub notes: Vec<String>,
    /// Whether notes are kept.
    pub keeps_notes: bool,
    now: ClockTime,
    rng: ChaCha8Rng,
    events: BTreeMap<(ClockTime, u64), WorldEvent>,
    n_events: u64,
    entries: IndexMap<VmName, WorldEntry>,
    centre_of: IndexMap<VmName, usize>,
    runners: IndexMap<EndpointName, CellRunner>,
    runner_centre: IndexMap<EndpointName, usize>,
    leaving_since: IndexMap<EndpointName, ClockTime>,
    /// When entries were last started, frozen or thawed.
    disturbed_at: IndexMap<VmName, ClockTime>,
    pending_looks: IndexMap<EndpointName, Vec<(VmName, u64, EndpointOrder)>>,
    down_answers: IndexMap<EndpointName, DownAnswer>,
    /// Number of cuts that close a way.
    cuts: BTreeMap<(String, String), u32>,
    held_orders: Vec<SentOrder>,
    in_series: bool,
    late_departures: bool,
    origins: IndexMap<(EndpointName, TaskRef, u32), RunOrigin>,
    /// Why runs were taken to be over.
    proofs: IndexMap<(JobCode, u64, u64, String), DecisionRecord>,
    epochs: IndexMap<(VmName, VmName), u64>,
    last_sent: IndexMap<(VmName, VmName), ClockTime>,
    jobs: IndexMap<JobCode, WorldJob>,
    calls: IndexMap<(VmName, CallNumber), JobCode>,
    cancel_calls: IndexMap<CallNumber, JobCode>,
    next_call: u64,
    lose_milli: u64,
    delay_milli: u64,
    /// Orders whose outcome is still to come.
    open_orders: IndexSet<(VmName, u64, u64)>,
    /// When the next entry that takes over stands still, and how many cells each led before.
    successor_watch: Option<(u64, IndexMap<VmName, usize>)>,
    kinds_change: bool,
}

fn vm_of(centre: usize, idx: usize) -> VmName {
    VmName(format!("entry-{centre}-{idx}"))
}

fn link_cuts(vm: &VmName, name: &EndpointName, ways: CutWays) -> Vec<(String, String)> {
    let orders = (vm.0.clone(), name.0.clone());
    let answers = (name.0.clone(), vm.0.clone());
    match ways {
        CutWays::Both => vec![orders, answers],
        CutWays::Orders => vec![orders],
        CutWays::Answers => vec![answers],
    }
}

fn room() -> ResourceAmount {
    ResourceAmount { cpu: 16_000, mem_mb: 1_000, gpu: 0 }
}

fn plan() -> RoutePlan {
    route_plan(&[("short", 0), ("long", 1)])
}

impl CellWorld {
    /// A world with faults drawn by the seed.
    pub fn new(seed: u64, plan: &CellPlan) -> CellWorld {
        let mut world = CellWorld {
            violations: Vec::new(),
            n_completed: 0,
            n_refused: 0,
            notes: Vec::new(),
            keeps_notes: false,
            now: ClockTime(1_000_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            n_events: 0,
            entries: IndexMap::new(),
            centre_of: IndexMap::new(),
            runners: IndexMap::new(),
            runner_centre: IndexMap::new(),
            leaving_since: IndexMap::new(),
            disturbed_at: IndexMap::new(),
            pending_looks: IndexMap::new(),
            down_answers: IndexMap::new(),
            cuts: BTreeMap::new(),
            held_orders: Vec::new(),
            in_series: plan.in_series,
            late_departures: plan.late_departures,
            origins: IndexMap::new(),
            proofs: IndexMap::new(),
            epochs: IndexMap::new(),
            last_sent: IndexMap::new(),
            jobs: IndexMap::new(),
            calls: IndexMap::new(),
            cancel_calls: IndexMap::new(),
            next_call: 0,
            lose_milli: 0,
            delay_milli: 0,
            open_orders: IndexSet::new(),
            successor_watch: None,
            kinds_change: plan.kinds_change,
        };
        world.build(plan);
        let mut n_left = plan.n_faults;
        while 0 < n_left {
            let after_ms = 4_000 + world.rng.random_range(0..plan.span_ms);
            if plan.kinds_change {
                world.add_change_of_kind(after_ms, plan);
                n_left -= 1;
            } else if plan.successors_freeze {
                let freeze_ms = world.rng.random_range(10..300);
                world.add_fault(after_ms, CellFault::LoseSuccessor(freeze_ms));
                n_left -= 1;
            } else if plan.in_series {
                n_left -= world.add_series(after_ms, n_left, plan);
            } else {
                let fault = world.draw_fault(plan);
                world.add_fault(after_ms, fault);
                n_left -= 1;
            }
        }
        world
    }

    fn build(&mut self, plan: &CellPlan) {
        for centre in 0..plan.n_centres {
            for idx in 0..plan.n_entries {
                let vm = vm_of(centre, idx);
                self.centre_of.insert(vm.clone(), centre);
                let entry = WorldEntry {
                    node: None,
                    incarnation: 0,
                    frozen: false,
                    stopping: false,
                    held: Vec::new(),
                };
                self.entries.insert(vm.clone(), entry);
                let at = self.now.plus_ms(self.rng.random_range(0..300));
                self.push(at, WorldEvent::Start(vm));
            }
            for idx in 0..plan.n_runners {
                let name = EndpointName(format!("runner-{centre}-{idx}"));
                let rack = format!("r{centre}-{}", idx / 4);
                let address = format!("10.{centre}.0.{idx}:1");
                let centre_name = format!("centre-{centre}");
                let cpu = room().cpu;
                let record = endpoint(name.as_str(), address, &centre_name, &rack, cpu, self.now);
                let clock_ahead = self.rng.random_range(0..100_000);
                let mut runner = CellRunner::new(record, clock_ahead);
                if self.rng.random_range(0..2) == 0 {
                    runner.lease_rule = LeaseRule::InForce;
                }
                self.runners.insert(name.clone(), runner);
                self.runner_centre.insert(name, centre);
            }
        }
        self.push(self.now, WorldEvent::Tick);
        self.push(self.now.plus_ms(400), WorldEvent::News);
        for number in 0..plan.n_jobs {
            let code = JobCode(number + 1);
            let is_short = self.rng.random_range(0..3) == 0;
            let centre = self.rng.random_range(0..plan.n_centres);
            let rack = self.rng.random_range(0..plan.n_runners.div_ceil(4));
            let work_ms = if is_short { 60 } else { self.rng.random_range(100..900) };
            let is_long = plan.successors_freeze && !is_short && self.rng.random_range(0..2) == 0;
            let work_ms = if is_long { self.rng.random_range(LONG_WORK_MS) } else { work_ms };
            let needs_label = plan.kinds_change && self.rng.random_range(0..2) == 0;
            let step = JobStep {
                count: if needs_label { 1 } else { self.rng.random_range(1..6) },
                demand: ResourceAmount {
                    cpu: self.rng.random_range(5_000..9_000),
                    mem_mb: 10,
                    gpu: 0,
                },
                declared_ms: work_ms,
                after: Vec::new(),
                data_rack: is_short.then(|| format!("r{centre}-{rack}")),
                label: needs_label.then(|| KINDS[0].to_owned()),
                max_on_endpoint: None,
            };
            let is_cancelled = plan.callers_cancel && self.rng.random_range(0..2) == 0;
            let mut steps = vec![step];
            if is_cancelled {
                let chained = |it: u32| JobStep {
                    count: 1,
                    after: it.checked_sub(1).into_iter().collect(),
                    ..steps[0].clone()
                };
                steps = (0..CANCELLED_JOB.0).map(chained).collect();
            }
            let offer = JobOffer {
                job: code,
                route: if is_short { "short" } else { "long" }.to_owned(),
                service: SERVICE.to_owned(),
                spec: "x".to_owned(),
                steps,
                priority: 0,
                max_attempts: 3,
                stretch_milli: STRETCH_MILLI,
                slack_ms: SLACK_MS,
                age_ms: 0,
                remaining_ms: match (is_cancelled, is_long) {
                    (true, _) => CANCELLED_JOB.1,
                    (_, true) => LONG_PATIENCE_MS,
                    _ => PATIENCE_MS,
                },
                first_run: 0,
                number: 0,
                token: 0,
                is_repeat: false,
                may_move: false,
                centre: DataCentre::from(""),
                was_refused: false,
            };
            let job = WorldJob {
                offer,
                work_ms,
                attempts: 0,
                is_waiting: None,
                result: None,
                refused_at: None,
                cancelled_at: None,
            };
            self.jobs.insert(code, job);
            let at = self.now.plus_ms(3_000 + self.rng.random_range(0..plan.span_ms));
            self.push(at, WorldEvent::Submit(code));
            if is_cancelled {
                let at = at.plus_ms(self.rng.random_range(100..1_500));
                self.push(at, WorldEvent::CancelJob(code));
            }
        }
    }

    fn draw_fault(&mut self, plan: &CellPlan) -> CellFault {
        let centre = self.rng.random_range(0..plan.n_centres);
        let vm = vm_of(centre, self.rng.random_range(0..plan.n_entries));
        let other_centre = self.rng.random_range(0..plan.n_centres);
        let other = vm_of(other_centre, self.rng.random_range(0..plan.n_entries));
        let idx = self.rng.random_range(0..plan.n_runners);
        let runner = EndpointName(format!("runner-{centre}-{idx}"));
        let span_ms = self.rng.random_range(300..6_000);
        let milli = self.rng.random_range(20..200);
        match self.rng.random_range(0..14) {
            0 => CellFault::Kill(vm, span_ms),
            1 => CellFault::Freeze(vm, span_ms),
            2 => CellFault::Stop(vm),
            3 => CellFault::CutCentre(centre, span_ms),
            4 => CellFault::CutEntry(vm, self.rng.random_range(0..2) == 0, span_ms),
            5 => CellFault::CutRunner(runner, CutWays::Both, span_ms),
            6 => CellFault::Reset(vm, other),
            7 => CellFault::Crash(runner, DownAnswer::Silent, span_ms),
            8 => CellFault::Leave(runner),
            9 => CellFault::LoseAnswers(milli, span_ms),
            10 => CellFault::DelayOrders(milli, span_ms),
            11 => CellFault::Fail(runner, span_ms),
            12 => CellFault::Hang(runner, span_ms),
            _ => CellFault::Slow(runner, span_ms),
        }
    }

    /// Adds a window of late orders with faults in it, half of them at one endpoint; returns how
    /// many.
    fn add_series(&mut self, after_ms: u64, n_left: usize, plan: &CellPlan) -> usize {
        let n_faults = self.rng.random_range(1..=5).min(n_left);
        let window_ms = self.rng.random_range(1_000..6_000);
        let centre = self.rng.random_range(0..plan.n_centres);
        let idx = self.rng.random_range(0..plan.n_runners);
        let name = EndpointName(format!("runner-{centre}-{idx}"));
        let milli = self.rng.random_range(20..400);
        self.add_fault(after_ms, CellFault::DelayOrders(milli, window_ms));
        for _ in 1..n_faults {
            let at_ms = after_ms + self.rng.random_range(0..window_ms);
            if self.rng.random_range(0..2) == 0 {
                self.add_runner_fault(at_ms, &name, plan);
            } else {
                let fault = self.draw_fault(plan);
                self.add_fault(at_ms, fault);
            }
        }
        n_faults
    }

    /// Adds a crash of an endpoint, which comes back soon as another kind.
    fn add_change_of_kind(&mut self, after_ms: u64, plan: &CellPlan) {
        let centre = self.rng.random_range(0..plan.n_centres);
        let idx = self.rng.random_range(0..plan.n_runners);
        let name = EndpointName(format!("runner-{centre}-{idx}"));
        let down_ms = self.rng.random_range(50..700);
        self.add_fault(after_ms, CellFault::Crash(name, DownAnswer::Refused, down_ms));
    }

    fn add_runner_fault(&mut self, at_ms: u64, name: &EndpointName, plan: &CellPlan) {
        let centre = self.rng.random_range(0..plan.n_centres);
        let vm = vm_of(centre, self.rng.random_range(0..plan.n_entries));
        let name = name.clone();
        let ways = [CutWays::Both, CutWays::Both, CutWays::Orders, CutWays::Answers];
        let ways = ways[self.rng.random_range(0..ways.len())];
        let span_ms = self.draw_span_ms();
        match self.rng.random_range(0..8) {
            0 | 1 => self.add_fault(at_ms, CellFault::CutRunner(name, ways, span_ms)),
            2 => self.add_fault(at_ms, CellFault::CutLink(vm, name, ways, span_ms)),
            3 => self.add_fault(at_ms, CellFault::Mute(name, span_ms)),
            4 => self.add_fault(at_ms, CellFault::Refuse(name, span_ms)),
            5 => {
                self.add_fault(at_ms, CellFault::Leave(name.clone()));
                let end_ms = at_ms + DRAIN_MS + self.rng.random_range(300..2_000);
                let is_late = plan.late_departures && self.rng.random_range(0..2) == 0;
                let gone_ms = if is_late { span_ms + 200 } else { span_ms / 2 };
                self.add_fault(end_ms, CellFault::Depart(name, gone_ms, span_ms));
            }
            kind => {
                // It flaps: lives are as short as the times between them.
                let n_crashes = if kind == 6 { 1 } else { 3 };
                let mut at_ms = at_ms;
                for _ in 0..n_crashes {
                    let down_ms = self.draw_span_ms() / n_crashes;
                    let answers = [DownAnswer::Silent, DownAnswer::Refused, DownAnswer::Other];
                    let answer = answers[self.rng.random_range(0..answers.len())];
                    self.add_fault(at_ms, CellFault::Crash(name.clone(), answer, down_ms));
                    at_ms += down_ms + self.rng.random_range(300..1_500);
                }
            }
        }
    }

    /// A time within, about or beyond a lease.
    fn draw_span_ms(&mut self) -> u64 {
        match self.rng.random_range(0..3) {
            0 => self.rng.random_range(300..800),
            1 => self.rng.random_range(800..1_500),
            _ => self.rng.random_range(1_500..6_000),
        }
    }

    /// Adds a fault `after_ms` from the start.
    pub fn add_fault(&mut self, after_ms: u64, fault: CellFault) {
        self.push(self.now.plus_ms(after_ms), WorldEvent::Fault(fault));
    }

    fn push(&mut self, at: ClockTime, event: WorldEvent) {
        self.n_events += 1;
        self.events.insert((at, self.n_events), event);
    }

    /// Plays until `span_ms` have passed, and checks that every job was answered.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_ms(span_ms);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if end < at {
                break;
            }
            self.now = at;
            self.take(event);
        }
        let open: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, it)| it.result.is_none())
            .map(|(code, _)| code.to_string())
            .collect();
        if !open.is_empty() {
            self.violations.push(format!("jobs without an answer: {}", open.join(" ")));
        }
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cuts.contains_key(&(from.to_owned(), to.to_owned()))
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick => {
                for vm in self.entries.keys().cloned().collect::<Vec<_>>() {
                    self.with_node(&vm, |node, now| node.tick(now));
                }
                self.watch_successor();
                self.tick_runners();
                self.push(self.now.plus_ms(TICK_MS), WorldEvent::Tick);
            }
            WorldEvent::News => {
                self.announce_all();
                self.push(self.now.plus_ms(NEWS_MS), WorldEvent::News);
            }
            WorldEvent::Start(vm) => self.start(&vm),
            WorldEvent::Thaw(vm) => self.thaw(&vm),
            WorldEvent::Exit(vm, incarnation) => {
                if self.entries[&vm].incarnation == incarnation {
                    self.kill(&vm, 500);
                }
            }
            WorldEvent::Submit(code) => self.submit(code),
            WorldEvent::CancelJob(code) => self.cancel(code),
            WorldEvent::GiveUp(code, attempt) => self.give_up(code, attempt),
            WorldEvent::Fault(fault) => self.strike(fault),
            WorldEvent::Mend(fault) => self.mend(&fault),
            WorldEvent::Gone(ended) => {
                let now_there = self.runners.get(&ended.name).filter(|_| self.late_departures);
                let record = now_there.map_or(ended, |it| it.record.clone());
                self.announce(vec![(record, true)]);
            }
            event => self.take_traffic(event),
        }
    }

    fn take_traffic(&mut self, event: WorldEvent) {
        let to = match &event {
            WorldEvent::Message(_, to, ..)
            | WorldEvent::Beat(_, to, _)
            | WorldEvent::Digest(_, to, _) => to.clone(),
            WorldEvent::Broken(to, _) | WorldEvent::Outcome(to, ..) => to.clone(),
            WorldEvent::Withdraw(to, ..) | WorldEvent::Call(to, ..) => to.clone(),
            WorldEvent::Order(_) => {
                self.arrive(event);
                return;
            }
            WorldEvent::LookEnds(..) => {
                self.end_look(event);
                return;
            }
            _ => return,
        };
        let Some(entry) = self.entries.get_mut(&to) else { return };
        if entry.frozen {
            // Sockets keep what comes for a process that stands still.
            entry.held.push(event);
            return;
        }
        match event {
            WorldEvent::Message(from, to, epoch, message) => {
                let key = (from.clone(), to.clone());
                if self.epochs.get(&key).copied().unwrap_or(0) == epoch
                    && !self.is_cut(from.as_str(), to.as_str())
                {
                    self.with_node(&to, |node, now| node.handle_message(&from, message, now));
                }
            }
            WorldEvent::Beat(from, to, beat) => {
                let is_cut = self.is_cut(from.as_str(), to.as_str());
                self.with_node(&to, |node, now| {
                    if !is_cut {
                        node.handle_heartbeat(&from, beat, now);
                    }
                });
            }
            WorldEvent::Digest(from, to, digest) => {
                let is_cut = self.is_cut(from.as_str(), to.as_str());
                self.with_node(&to, |node, now| {
                    if !is_cut {
                        node.handle_digest(&from, digest, now);
                    }
                });
            }
            WorldEvent::Broken(to, other) => {
                self.with_node(&to, |node, now| node.handle_connection_loss(&other, now));
            }
            WorldEvent::Outcome(vm, incarnation, order, outcome) => {
                let open = (vm.clone(), incarnation, order.number.0);
                let is_open = self.open_orders.swap_remove(&open);
                if is_open && self.entries[&vm].incarnation == incarnation {
                    self.with_node(&vm, |node, now| node.handle_outcome(&order, outcome, now));
                }
            }
            WorldEvent::Withdraw(vm, incarnation, call) => {
                self.with_life(&vm, incarnation, |node, now| node.cancel_call(call, now));
            }
            WorldEvent::Call(vm, incarnation, call, offer) => {
                self.with_life(&vm, incarnation, |node, now| node.submit(call, offer, now));
            }
            _ => {}
        }
    }

    // Entries

    fn start(&mut self, vm: &VmName) {
        let now = self.now;
        let centre = self.centre_of[vm];
        let Some(entry) = self.entries.get_mut(vm) else { return };
        if entry.node.is_some() {
            return;
        }
        entry.incarnation += 1;
        entry.frozen = false;
        entry.stopping = false;
        entry.held.clear();
        let settings = CellSettings {
            owner: OwnerId { vm: vm.clone(), incarnation: now.0 },
            centre: DataCentre(format!("centre-{centre}")),
            weight: 250,
            controls: Vec::new(),
            off_rack_milli: 2_000,
            bounds: RunBounds::default(),
        };
        entry.node = Some(CellNode::new(settings, now));
        // A control VM would tell of the routes, the endpoints and the others.
        let members: Vec<VmName> = self.entries.keys().cloned().collect();
        let records: Vec<(EndpointRecord, bool)> =
            self.runners.values().map(|it| (it.record.clone(), !it.up)).collect();
        let beat = CellHeartbeat {
            owner: OwnerId { vm: VmName::from("control"), incarnation: now.0 },
            sent_at: now,
            role: yuccamux::vm_layout::VmRole::Control,
            centre: DataCentre::from("centre-0"),
            weight: 0,
            plan_version: 1,
            stopping: false,
            members,
            group: Default::default(),
            cells: Vec::new(),
        };
        self.with_node(vm, |node, now| {
            let control = VmName::from("control");
            node.handle_heartbeat(&control, beat, now);
            node.handle_message(&control, CellMessage::Plan(plan()), now);
            node.handle_message(&control, CellMessage::Endpoints(records), now);
        });
    }

    fn with_node(&mut self, vm: &VmName, act: impl FnOnce(&mut CellNode, ClockTime)) {
        let now = self.now;
        let Some(entry) = self.entries.get_mut(vm) else { return };
        if entry.frozen {
            return;
        }
        let incarnation = entry.incarnation;
        let Some(node) = &mut entry.node else { return };
        act(node, now);
        for effect in node.drain_effects() {
            self.carry_out_effect(vm, incarnation, effect);
        }
    }

    /// Acts on an entry if it still is in this life.
    fn with_life(
        &mut self,
        vm: &VmName,
        incarnation: u64,
        act: impl FnOnce(&mut CellNode, ClockTime),
    ) {
        if self.entries[vm].incarnation == incarnation {
            self.with_node(vm, act);
        }
    }

    fn carry_out_effect(&mut self, vm: &VmName, incarnation: u64, effect: NodeEffect) {
        match effect {
            NodeEffect::Order(order) => self.send_order(vm, incarnation, order),
            NodeEffect::Send(to, message) => {
                if self.entries.contains_key(&to) && !self.is_cut(vm.as_str(), to.as_str()) {
                    let epoch = self.epochs.get(&(vm.clone(), to.clone())).copied().unwrap_or(0);
                    let at = self.now.plus_ms(self.link_ms(vm, &to));
                    // A connection keeps its messages in order.
                    let last = self.last_sent.entry((vm.clone(), to.clone())).or_default();
                    *last = at.max(*last);
                    let at = *last;
                    self.push(at, WorldEvent::Message(vm.clone(), to, epoch, message));
                }
            }
            NodeEffect::Heartbeat(to, beat) => {
                for to in to {
                    if self.entries.contains_key(&to) && !self.is_cut(vm.as_str(), to.as_str()) {
                        let at = self.now.plus_ms(self.link_ms(vm, &to));
                        self.push(at, WorldEvent::Beat(vm.clone(), to, beat.clone()));
                    }
                }
            }
            NodeEffect::Digest(to, digest) => {
                for to in to {
                    if self.entries.contains_key(&to) && !self.is_cut(vm.as_str(), to.as_str()) {
                        let at = self.now.plus_ms(self.link_ms(vm, &to));
                        self.push(at, WorldEvent::Digest(vm.clone(), to, digest.clone()));
                    }
                }
            }
            NodeEffect::Answer(call, result) => self.answer(vm, call, result),
            NodeEffect::CancelAnswer(call, result) => self.take_cancel_answer(call, result),
            NodeEffect::LogDecision(note) => {
                if note.event == DecisionEvent::TaskRequeued
                    && let Some(job) = note.job
                {
                    let input = |name: &str| note.inputs.iter().find(|it| it.0 == name);
                    let value = |name: &str| input(name).map_or(0, |it| it.1);
                    let key = (job, value("idx"), value("run"), note.subject.clone());
                    self.proofs.insert(key, note.clone());
                }
                if self.keeps_notes {
                    self.notes.push(format!("{vm} {note:?}"));
                }
            }
        }
    }

    fn link_ms(&mut self, from: &VmName, to: &VmName) -> u64 {
        let far = u64::from(self.centre_of[from] != self.centre_of[to]);
        1 + far + u64::from(self.rng.random_range(0..20) == 0)
    }

    fn kill(&mut self, vm: &VmName, down_ms: u64) {
        let Some(entry) = self.entries.get_mut(vm) else { return };
        entry.node = None;
        entry.frozen = false;
        entry.held.clear();
        entry.incarnation += 1;
        for other in self.entries.keys().cloned().collect::<Vec<_>>() {
            if other != *vm {
                self.push(self.now.plus_ms(1), WorldEvent::Broken(other, vm.clone()));
            }
        }
        self.push(self.now.plus_ms(down_ms), WorldEvent::Start(vm.clone()));
        self.lose_callers(vm);
    }

    /// Callers of an entry that is gone send their jobs again.
    fn lose_callers(&mut self, vm: &VmName) {
        let lost: Vec<JobCode> = self
            .jobs
            .iter()
            .filter(|(_, it)| it.is_waiting.as_ref().is_some_and(|(at, _)| at == vm))
            .map(|(code, _)| *code)
            .collect();
        for code in lost {
            self.resend(code);
        }
    }

    fn resend(&mut self, code: JobCode) {
        if let Some(job) = self.jobs.get_mut(&code) {
            job.is_waiting = None;
        }
        self.push(self.now.plus_ms(RESEND_MS), WorldEvent::Submit(code));
    }

    fn thaw(&mut self, vm: &VmName) {
        let Some(entry) = self.entries.get_mut(vm) else { return };
        if !std::mem::replace(&mut entry.frozen, false) {
            return;
        }
        self.disturbed_at.insert(vm.clone(), self.now);
        let held = std::mem::take(&mut entry.held);
        for event in held {
            self.take_traffic(event);
        }
    }

    // Callers

    fn submit(&mut self, code: JobCode) {
        let up: Vec<VmName> = self
            .entries
            .iter()
            .filter(|(_, it)| it.node.is_some() && !it.stopping)
            .map(|(vm, _)| vm.clone())
            .collect();
        if up.is_empty() {
            self.push(self.now.plus_ms(RESEND_MS), WorldEvent::Submit(code));
            return;
        }
        let vm = up[self.rng.random_range(0..up.len())].clone();
        self.next_call += 1;
        let call = CallNumber(self.next_call);
        let Some(job) = self.jobs.get_mut(&code) else { return };
        if job.result.is_some() {
            return;
        }
        job.attempts += 1;
        job.refused_at = None;
        job.is_waiting = Some((vm.clone(), call));
        let (attempt, offer) = (job.attempts, job.offer.clone());
        let patience_ms = offer.remaining_ms;
        self.calls.insert((vm.clone(), call), code);
        self.push(self.now.plus_ms(patience_ms), WorldEvent::GiveUp(code, attempt));
        let incarnation = self.entries[&vm].incarnation;
        self.take_traffic(WorldEvent::Call(vm, incarnation, call, offer));
    }

    /// Cancels a job at any entry that is up.
    fn cancel(&mut self, code: JobCode) {
        let is_up = |it: &WorldEntry| it.node.is_some() && !it.stopping && !it.frozen;
        let up: Vec<VmName> =
            self.entries.iter().filter(|(_, it)| is_up(it)).map(|(vm, _)| vm.clone()).collect();
        if self.jobs[&code].result.is_some() {
            return;
        }
        // A call without an answer is sent again.
        self.push(self.now.plus_ms(CANCEL_REPEAT_MS), WorldEvent::CancelJob(code));
        if up.is_empty() {
            return;
        }
        let vm = up[self.rng.random_range(0..up.len())].clone();
        self.next_call += 1;
        let call = CallNumber(self.next_call);
        self.cancel_calls.insert(call, code);
        let route = self.jobs[&code].offer.route.clone();
        self.with_node(&vm, |node, now| node.cancel(call, code, &route, now));
    }

    fn take_cancel_answer(&mut self, call: CallNumber, result: CancelResult) {
        let Some(code) = self.cancel_calls.get(&call) else { return };
        let Some(job) = self.jobs.get_mut(code) else { return };
        if result != CancelResult::Unknown && job.cancelled_at.is_none() {
            job.cancelled_at = Some(self.now);
            job.result.get_or_insert(JobResult::Failed);
        }
    }

    fn give_up(&mut self, code: JobCode, attempt: u64) {
        let Some(job) = self.jobs.get(&code) else { return };
        if job.attempts != attempt || job.result.is_some() {
            return;
        }
        let Some((vm, call)) = job.is_waiting.clone() else { return };
        let incarnation = self.entries[&vm].incarnation;
        self.take_traffic(WorldEvent::Withdraw(vm, incarnation, call));
        self.resend(code);
    }

    fn answer(&mut self, vm: &VmName, call: CallNumber, result: JobResult) {
        let Some(code) = self.calls.get(&(vm.clone(), call)).copied() else { return };
        let Some(job) = self.jobs.get_mut(&code) else { return };
        if job.is_waiting != Some((vm.clone(), call)) {
            return;
        }
        job.is_waiting = None;
        match result {
            JobResult::Completed => {
                job.result = Some(result);
                self.n_completed += 1;
            }
            JobResult::Failed => job.result = Some(result),
            JobResult::Refused(..) => {
                // Only when all its attempts were refused does nothing of it run.
                if job.attempts == 1 {
                    job.refused_at = Some(self.now);
                }
                job.result = Some(result);
                self.n_refused += 1;
            }
            JobResult::Unknown
            | JobResult::NotLeader
            | JobResult::Declined
            | JobResult::Crowded(_) => self.resend(code),
        }
    }

    // Endpoints

    fn announce_all(&mut self) {
        let mut records = Vec::new();
        for runner in self.runners.values_mut().filter(|it| it.up) {
            runner.record.seq += 1;
            records.push((runner.record.clone(), false));
        }
        self.announce(records);
    }

    fn announce(&mut self, records: Vec<(EndpointRecord, bool)>) {
        let control = VmName::from("control");
        for vm in self.entries.keys().cloned().collect::<Vec<_>>() {
            let records = records.clone();
            self.with_node(&vm, |node, now| {
                node.handle_message(&control, CellMessage::Endpoints(records), now);
            });
        }
    }

    fn send_order(&mut self, vm: &VmName, incarnation: u64, order: EndpointOrder) {
        let (vm, sent_at) = (vm.clone(), self.now);
        self.open_orders.insert((vm.clone(), incarnation, order.number.0));
        if self.refuses_connections(&order.endpoint)
            && !self.is_cut(vm.as_str(), order.endpoint.as_str())
        {
            let at = self.now.plus_ms(1);
            self.push(at, WorldEvent::Outcome(vm, incarnation, order, OrderOutcome::NotSent));
            return;
        }
        let transit_ms = if self.rng.random_range(0..1000) < self.delay_milli {
            // A short delay lets the start arrive between a look and a stop.
            let is_short = self.in_series && self.rng.random_range(0..2) == 0;
            self.rng.random_range(if is_short { 50..600 } else { 2_000..12_000 })
        } else {
            1
        };
        let limit = self.now.plus_ms(order.time_limit_ms);
        let sent = SentOrder { vm: vm.clone(), incarnation, order: order.clone(), sent_at };
        self.push(self.now.plus_ms(transit_ms), WorldEvent::Order(sent));
        self.push(limit, WorldEvent::Outcome(vm, incarnation, order, OrderOutcome::Lost));
    }

    fn refuses_connections(&self, name: &EndpointName) -> bool {
        let is_refused = || self.down_answers.get(name) == Some(&DownAnswer::Refused);
        self.runners.get(name).is_some_and(|it| it.refuses || !it.up && is_refused())
    }

    fn arrive(&mut self, event: WorldEvent) {
        let WorldEvent::Order(sent) = event else { return };
        if self.is_cut(sent.vm.as_str(), sent.order.endpoint.as_str()) {
            // TCP sends again what a cut kept from arriving, also for a sender that is gone.
            if self.in_series && self.rng.random_range(0..1000) < HELD_MILLI {
                self.held_orders.push(sent);
            }
            return;
        }
        self.carry_out(sent);
    }

    /// Sends the orders again that no cut holds up any more.
    fn release_orders(&mut self) {
        for sent in std::mem::take(&mut self.held_orders) {
            if self.is_cut(sent.vm.as_str(), sent.order.endpoint.as_str()) {
                self.held_orders.push(sent);
            } else {
                let at = self.now.plus_ms(self.rng.random_range(1..RETRANSMIT_MS));
                self.push(at, WorldEvent::Order(sent));
            }
        }
    }

    fn carry_out(&mut self, sent: SentOrder) {
        let SentOrder { vm, incarnation, order, sent_at } = sent;
        let name = order.endpoint.clone();
        let (demand, work_ms) = self.work_of(&order);
        let now = self.now;
        let Some(runner) = self.runners.get_mut(&name) else { return };
        if !runner.up {
            if self.down_answers.get(&name) == Some(&DownAnswer::Other) {
                let clock = Some(now.0 + OTHER_AHEAD_MS);
                let outcome = OrderOutcome::Refused(OrderRefusal::OtherLife, clock);
                self.return_outcome(vm, incarnation, order, outcome);
            }
            return;
        }
        let life = runner.record.incarnation;
        if matches!(order.body, OrderBody::Start { .. })
            && order.incarnation != life
            && life <= sent_at.0
        {
            // The sender has a connection to this life, which has identified itself on it.
            self.return_outcome(vm, incarnation, order, OrderOutcome::OtherIncarnation(life));
            return;
        }
        let known: Vec<(TaskRef, u32)> = runner.runs.keys().copied().collect();
        let outcome = runner.carry_out(&order, demand, work_ms, now);
        if let OrderBody::Start { task, run, .. } = &order.body
            && !known.contains(&(*task, *run))
            && matches!(outcome, OrderOutcome::Executed(..))
        {
            let origin = RunOrigin { vm: vm.clone(), sent_at, began_at: now };
            self.origins.insert((name.clone(), *task, *run), origin);
            self.check_label(&name, *task, sent_at);
            self.check_start(&name, *task, *run);
        }
        if self.keeps_notes && !matches!(order.body, OrderBody::Poll { .. }) {
            let note = format!("{now} {name} order of {vm}, sent {sent_at}: {:?}", order.body);
            self.notes.push(format!("{note}: {outcome:?}"));
        }
        if !self.open_orders.contains(&(vm.clone(), incarnation, order.number.0)) {
            return;
        }
        if let OrderBody::Poll { wait_ms, .. } = &order.body
            && 0 < *wait_ms
            && matches!(outcome, OrderOutcome::Executed(..))
            && !self.runners[&name].has_ends()
        {
            let at = self.now.plus_ms(*wait_ms);
            let looks = self.pending_looks.entry(name).or_default();
            looks.push((vm.clone(), incarnation, order.clone()));
            self.push(at, WorldEvent::LookEnds(vm, incarnation, order));
            return;
        }
        self.return_outcome(vm, incarnation, order, outcome);
    }

    fn return_outcome(
        &mut self,
        vm: VmName,
        incarnation: u64,
        order: EndpointOrder,
        outcome: OrderOutcome,
    ) {
        if self.is_cut(order.endpoint.as_str(), vm.as_str()) {
            return;
        }
        if self.rng.random_range(0..1000) < self.lose_milli
            || self.runners.get(&order.endpoint).is_some_and(|it| it.is_mute)
        {
            return;
        }
        let is_slow = self.in_series && self.rng.random_range(0..1000) < self.delay_milli;
        let transit_ms = if is_slow { self.rng.random_range(2..300) } else { 1 };
        let at = self.now.plus_ms(transit_ms);
        self.push(at, WorldEvent::Outcome(vm, incarnation, order, outcome));
    }

    fn work_of(&self, order: &EndpointOrder) -> (ResourceAmount, u64) {
        let OrderBody::Start { task, .. } = &order.body else { return (room(), 0) };
        let Some(job) = self.jobs.get(&task.job) else { return (room(), 0) };
        (job.offer.steps[task.step as usize].demand, job.work_ms)
    }

    fn check_start(&mut self, name: &EndpointName, task: TaskRef, run: u32) {
        let mut others = Vec::new();
        for (other, runner) in self.runners.iter().filter(|(_, it)| it.up) {
            let is_other = |key: &&(TaskRef, u32)| key.0 == task && (other != name || key.1 != run);
            others.extend(runner.runs.keys().filter(is_other).map(|key| (other.clone(), key.1)));
        }
        for (other, other_run) in others {
            let former = self.describe_run(&other, task, other_run);
            let latter = self.describe_run(name, task, run);
            let text = format!("{}: {task:?} at work twice: {former}; {latter}", self.now);
            self.violations.push(text);
        }
        if let Some(job) = self.jobs.get(&task.job)
            && job.refused_at.is_some()
        {
            self.violations.push(format!("{}: {task:?} of a refused job starts", self.now));
        }
        let Some(origin) = self.origins.get(&(name.clone(), task, run)) else { return };
        if let Some(at) = self.jobs.get(&task.job).and_then(|it| it.cancelled_at)
            && CANCEL_MS < origin.sent_at.since_ms(at)
        {
            let text = format!("{}: {task:?} starts, cancelled at {at}", self.now);
            self.violations.push(text);
        }
        // One that stood still has not heard yet that an endpoint leaves.
        let disturbed_at = self.disturbed_at.get(&origin.vm).copied().unwrap_or_default();
        // A start that was held up is judged by when it was ordered.
        let is_held_up = HELD_UP_MS < self.now.since_ms(origin.sent_at);
        let started_at = if is_held_up { origin.sent_at } else { self.now };
        if let Some(since) = self.leaving_since.get(name)
            && IN_TOUCH_MS <= self.now.since_ms(disturbed_at)
            && DRAIN_MS < started_at.since_ms(*since)
        {
            self.violations.push(format!("{}: {task:?} starts on {name}, which leaves", self.now));
        }
    }

    /// Checks that an endpoint has the label that a task requires, unless the start was sent to a
    /// former life and held up until the present one.
    fn check_label(&mut self, name: &EndpointName, task: TaskRef, sent_at: ClockTime) {
        let (Some(runner), Some(job)) = (self.runners.get(name), self.jobs.get(&task.job)) else {
            return;
        };
        let is_held_up = sent_at.0 < runner.record.incarnation;
        let Some(label) = &job.offer.steps[task.step as usize].label else { return };
        if !is_held_up && !runner.record.labels.contains(label) {
            let text = format!("{}: {task:?} starts on {name} without label {label}", self.now);
            self.violations.push(text);
        }
    }

    /// A run with who ordered it, and why the leader took it to be over.
    fn describe_run(&self, name: &EndpointName, task: TaskRef, run: u32) -> String {
        let mut text = format!("run {run} on {name}");
        if let Some(RunOrigin { vm, sent_at, began_at }) =
            self.origins.get(&(name.clone(), task, run))
        {
            text += &format!(" (ordered by {vm} at {sent_at}, began at {began_at}");
            let born_at = self.runners.get(name).map(|it| it.record.incarnation);
            if born_at.is_some_and(|it| sent_at.0 < it) {
                text += " in another life";
            }
            text += ")";
        }
        let key = (task.job, u64::from(task.idx), u64::from(run), name.to_string());
        if let Some(it) = self.proofs.get(&key) {
            text += &format!(" [requeued at {}: {}]", it.at, it.outcome);
        }
        text
    }

    fn end_look(&mut self, event: WorldEvent) {
        let WorldEvent::LookEnds(vm, incarnation, order) = event else { return };
        let Some(looks) = self.pending_looks.get_mut(&order.endpoint) else { return };
        let Some(idx) = looks.iter().position(|(_, _, it)| it.number == order.number) else {
            return;
        };
        looks.swap_remove(idx);
        self.answer_look(vm, incarnation, order);
    }

    fn answer_look(&mut self, vm: VmName, incarnation: u64, order: EndpointOrder) {
        let Some(runner) = self.runners.get(&order.endpoint) else { return };
        if !runner.up || self.is_cut(vm.as_str(), order.endpoint.as_str()) {
            return;
        }
        let outcome = OrderOutcome::Executed(runner.clock(self.now), Some(runner.lists(self.now)));
        self.return_outcome(vm, incarnation, order, outcome);
    }

    fn tick_runners(&mut self) {
        let now = self.now;
        let draw = |task: &TaskRef, run: u32| {
            (task.job.0 * 7919 + u64::from(task.idx) * 31 + u64::from(run) * 17) % 1000
        };
        let mut ended = Vec::new();
        for (name, runner) in &mut self.runners {
            if runner.tick(now, draw) {
                ended.push(name.clone());
            }
        }
        for name in ended {
            for (vm, incarnation, order) in
                self.pending_looks.get_mut(&name).map(std::mem::take).unwrap_or_default()
            {
                self.answer_look(vm, incarnation, order);
            }
        }
    }

    // Faults

    fn strike(&mut self, fault: CellFault) {
        if self.keeps_notes {
            self.notes.push(format!("{} fault {fault:?}", self.now));
        }
        let is_moot = match &fault {
            CellFault::Crash(name, ..) => self.runners.get(name).is_none_or(|it| !it.up),
            CellFault::Depart(name, ..) => {
                self.runners.get(name).is_none_or(|it| !it.up || !it.record.leaving)
            }
            _ => false,
        };
        if is_moot {
            return;
        }
        let mend_after = |span_ms: &u64| self.now.plus_ms(*span_ms);
        let mend_at = match &fault {
            CellFault::CutCentre(_, span_ms)
            | CellFault::CutEntry(_, _, span_ms)
            | CellFault::CutRunner(_, _, span_ms)
            | CellFault::CutLink(_, _, _, span_ms)
            | CellFault::LoseAnswers(_, span_ms)
            | CellFault::DelayOrders(_, span_ms)
            | CellFault::Fail(_, span_ms)
            | CellFault::Hang(_, span_ms)
            | CellFault::Slow(_, span_ms)
            | CellFault::Mute(_, span_ms)
            | CellFault::Refuse(_, span_ms)
            | CellFault::Depart(_, _, span_ms)
            | CellFault::Crash(_, _, span_ms) => Some(mend_after(span_ms)),
            _ => None,
        };
        match &fault {
            CellFault::Kill(vm, span_ms) => self.kill(vm, *span_ms),
            CellFault::LoseSuccessor(freeze_ms) => self.lose_leader(*freeze_ms),
            CellFault::Freeze(vm, span_ms) => {
                if let Some(entry) = self.entries.get_mut(vm) {
                    entry.frozen = true;
                }
                self.push(self.now.plus_ms(*span_ms), WorldEvent::Thaw(vm.clone()));
            }
            CellFault::Stop(vm) => {
                self.with_node(vm, |node, now| node.stop(now));
                if let Some(entry) = self.entries.get_mut(vm) {
                    entry.stopping = true;
                    let incarnation = entry.incarnation;
                    let at = self.now.plus_ms(5_000);
                    self.push(at, WorldEvent::Exit(vm.clone(), incarnation));
                }
            }
            CellFault::Reset(lhs, rhs) => self.reset(lhs, rhs),
            CellFault::Leave(name) => {
                if let Some(runner) = self.runners.get_mut(name) {
                    runner.record.leaving = true;
                    runner.record.seq += 1;
                    self.leaving_since.entry(name.clone()).or_insert(self.now);
                    self.announce_all();
                }
            }
            CellFault::Crash(name, answer, _) => self.end_life(name, *answer),
            CellFault::Depart(name, gone_ms, _) => {
                self.end_life(name, DownAnswer::Refused);
                if let Some(runner) = self.runners.get(name) {
                    let gone = WorldEvent::Gone(runner.record.clone());
                    self.push(self.now.plus_ms(*gone_ms), gone);
                }
            }
            CellFault::Mute(name, _) => self.with_runner(name, |it| it.is_mute = true),
            CellFault::Refuse(name, _) => self.with_runner(name, |it| it.refuses = true),
            CellFault::LoseAnswers(milli, _) => self.lose_milli = *milli,
            CellFault::DelayOrders(milli, _) => self.delay_milli = *milli,
            CellFault::Fail(name, _) => self.with_runner(name, |it| it.fails_milli = 900),
            CellFault::Hang(name, _) => self.with_runner(name, |it| it.hangs = true),
            CellFault::Slow(name, _) => self.with_runner(name, |it| it.factor_milli = 6_000),
            CellFault::CutCentre(..)
            | CellFault::CutEntry(..)
            | CellFault::CutRunner(..)
            | CellFault::CutLink(..) => {
                for cut in self.cuts_of(&fault) {
                    *self.cuts.entry(cut).or_default() += 1;
                }
            }
        }
        if let Some(at) = mend_at {
            self.push(at, WorldEvent::Mend(fault));
        }
    }

    fn end_life(&mut self, name: &EndpointName, answer: DownAnswer) {
        self.with_runner(name, |it| {
            it.up = false;
            it.runs.clear();
        });
        self.down_answers.insert(name.clone(), answer);
        self.pending_looks.swap_remove(name);
    }

    fn with_runner(&mut self, name: &EndpointName, act: impl FnOnce(&mut CellRunner)) {
        if let Some(runner) = self.runners.get_mut(name) {
            act(runner);
        }
    }

    fn cuts_of(&self, fault: &CellFault) -> Vec<(String, String)> {
        let mut cuts = Vec::new();
        let mut both = |lhs: &str, rhs: &str| {
            cuts.push((lhs.to_owned(), rhs.to_owned()));
            cuts.push((rhs.to_owned(), lhs.to_owned()));
        };
        match fault {
            CellFault::CutCentre(centre, _) => {
                for (lhs, lhs_centre) in &self.centre_of {
                    for (rhs, rhs_centre) in &self.centre_of {
                        if lhs_centre == centre && rhs_centre != centre {
                            both(lhs.as_str(), rhs.as_str());
                        }
                    }
                    for (runner, runner_centre) in &self.runner_centre {
                        if (lhs_centre == centre) != (runner_centre == centre) {
                            both(lhs.as_str(), runner.as_str());
                        }
                    }
                }
            }
            CellFault::CutEntry(vm, one_way, _) => {
                for other in self.entries.keys().filter(|it| *it != vm) {
                    cuts.push((vm.0.clone(), other.0.clone()));
                    if !one_way {
                        cuts.push((other.0.clone(), vm.0.clone()));
                    }
                }
            }
            CellFault::CutRunner(name, ways, _) => {
                for vm in self.entries.keys() {
                    cuts.extend(link_cuts(vm, name, *ways));
                }
            }
            CellFault::CutLink(vm, name, ways, _) => cuts.extend(link_cuts(vm, name, *ways)),
            _ => {}
        }
        cuts
    }

    fn mend(&mut self, fault: &CellFault) {
        match fault {
            CellFault::LoseAnswers(..) => self.lose_milli = 0,
            CellFault::DelayOrders(..) => self.delay_milli = 0,
            CellFault::Fail(name, _) => self.with_runner(name, |it| it.fails_milli = 0),
            CellFault::Hang(name, _) => self.with_runner(name, |it| it.hangs = false),
            CellFault::Slow(name, _) => self.with_runner(name, |it| it.factor_milli = 1_000),
            CellFault::Mute(name, _) => self.with_runner(name, |it| it.is_mute = false),
            CellFault::Refuse(name, _) => self.with_runner(name, |it| it.refuses = false),
            CellFault::Crash(name, ..) | CellFault::Depart(name, ..) => {
                let now = self.now;
                self.leaving_since.swap_remove(name);
                let changes_kind = self.kinds_change;
                self.with_runner(name, |it| {
                    it.begin_life(now);
                    if changes_kind {
                        let kind = usize::from(it.record.labels[0] == KINDS[0]);
                        it.record.labels[0] = KINDS[kind].to_owned();
                    }
                });
                if self.in_series && self.rng.random_range(0..2) == 0 {
                    self.announce_all();
                }
            }
            _ => {
                for cut in self.cuts_of(fault) {
                    if let Some(n_cuts) = self.cuts.get_mut(&cut) {
                        *n_cuts -= 1;
                    }
                }
                self.cuts.retain(|_, n_cuts| 0 < *n_cuts);
                self.release_orders();
            }
        }
    }

    /// Kills the entry that leads the most cells; its successor stands still later.
    fn lose_leader(&mut self, freeze_ms: u64) {
        let n_led = |it: &WorldEntry| it.node.as_ref().map_or(0, CellNode::n_led);
        let led: IndexMap<VmName, usize> =
            self.entries.iter().map(|(vm, it)| (vm.clone(), n_led(it))).collect();
        let leader = led.iter().max_by_key(|(_, it)| **it).map(|(vm, _)| vm.clone());
        if let Some(leader) = leader {
            self.kill(&leader, RESTART_MS);
            self.successor_watch = Some((freeze_ms, led));
        }
    }

    /// Lets an entry stand still that has taken over cells of the one that was killed.
    fn watch_successor(&mut self) {
        let Some((freeze_ms, led)) = &self.successor_watch else { return };
        let leads_more = |(vm, it): (&VmName, &WorldEntry)| {
            let n_led = it.node.as_ref().map_or(0, CellNode::n_led);
            (led.get(vm).is_some_and(|before| *before < n_led)).then(|| vm.clone())
        };
        if let Some(vm) = self.entries.iter().find_map(leads_more) {
            let at = self.now.plus_ms(*freeze_ms);
            self.push(at, WorldEvent::Fault(CellFault::Freeze(vm, SUCCESSOR_FREEZE_MS)));
            self.successor_watch = None;
        }
    }

    fn reset(&mut self, lhs: &VmName, rhs: &VmName) {
        if lhs == rhs {
            return;
        }
        for (from, to) in [(lhs, rhs), (rhs, lhs)] {
            *self.epochs.entry((from.clone(), to.clone())).or_default() += 1;
            self.push(self.now.plus_ms(1), WorldEvent::Broken(to.clone(), from.clone()));
        }
    }
}
