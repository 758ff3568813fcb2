//! Runs far past their predicted time: a few jobs in a hundred are several times as long as
//! their route's others, and some endpoints are slow or stand still.

use yuccamux::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect},
        cell_message::CellName,
        decision_record::DecisionEvent,
        endpoint_directory::EndpointRecord,
        endpoint_order::{
            EndpointOrder, ListedEnd, ListedRun, OrderBody, OrderOutcome, RunEnd, RunLists,
        },
        job_offer::{JobCode, JobOffer, JobResult, JobStep, ResourceAmount, TaskRef},
        run_forecast::RouteTimes,
    },
    prelude::*,
};

const START: ClockTime = ClockTime(1_000_000);
/// Time that an endpoint takes to carry out a stop, in ms.
const STOP_MS: u64 = 40;
/// Time for which the callers of long jobs wait, in ms.
const CALLER_WAIT_MS: u64 = 10_000;

/// A run on a [`SlowEndpoint`]: when it began, when it is stopped, and its work in ms.
struct SlowRun {
    task: TaskRef,
    run: u32,
    began_at: ClockTime,
    stopped_at: Option<ClockTime>,
    work_ms: u64,
}

/// An endpoint whose runs take a factor of their work, or stand still.
struct SlowEndpoint {
    name: EndpointName,
    factor: u64,
    is_stuck: bool,
    n_ended: u64,
    runs: Vec<SlowRun>,
}

struct SlowCell {
    dispatcher: CellDispatcher,
    now: ClockTime,
    endpoints: Vec<SlowEndpoint>,
    /// Polls, with the time at which they are answered at the latest.
    polls: Vec<(EndpointOrder, ClockTime)>,
    causes: Vec<String>,
    n_starts: u64,
    results: Vec<(JobCode, JobResult, ClockTime)>,
}

fn record(name: &str) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::from(name),
        incarnation: 500,
        seq: 1,
        service: "s".to_owned(),
        address: format!("{name}:1"),
        centre: DataCentre::from("munich"),
        rack: "r1".to_owned(),
        labels: Vec::new(),
        capacity: ResourceAmount { cpu: 32_000, mem_mb: 1_000, gpu: 0 },
        leaving: false,
    }
}

/// A job of tasks that are declared as `declared_ms`; each takes half an endpoint.
fn offer(code: u64, count: u32, declared_ms: u64) -> JobOffer {
    JobOffer {
        job: JobCode(code),
        route: "route".to_owned(),
        service: "s".to_owned(),
        spec: String::new(),
        steps: vec![JobStep {
            count,
            demand: ResourceAmount { cpu: 16_000, mem_mb: 10, gpu: 0 },
            declared_ms,
            after: Vec::new(),
            data_rack: None,
            label: None,
            max_on_endpoint: None,
        }],
        priority: 0,
        max_attempts: 3,
        stretch_milli: 1_600,
        slack_ms: 60,
        age_ms: 0,
        remaining_ms: CALLER_WAIT_MS,
        first_run: 0,
        number: code,
        token: 0,
        is_repeat: false,
        may_move: false,
        centre: DataCentre::from(""),
        was_refused: false,
    }
}

impl SlowCell {
    fn new(names: &[&str]) -> SlowCell {
        let cell = CellName {
            service: "s".to_owned(),
            centre: DataCentre::from("munich"),
            rack: "r1".to_owned(),
        };
        let endpoints = names.iter().map(|it| SlowEndpoint {
            name: EndpointName::from(*it),
            factor: 1,
            is_stuck: false,
            n_ended: 0,
            runs: Vec::new(),
        });
        let mut cell = SlowCell {
            dispatcher: CellDispatcher::new(cell, 7, 0, true),
            now: START,
            endpoints: endpoints.collect(),
            polls: Vec::new(),
            causes: Vec::new(),
            n_starts: 0,
            results: Vec::new(),
        };
        let records: Vec<EndpointRecord> = names.iter().map(|it| record(it)).collect();
        cell.dispatcher.set_endpoints(&records, cell.now);
        cell.run_ms(20, 0);
        cell
    }

    fn offer(&mut self, offer: JobOffer) {
        self.dispatcher.handle_offer(&VmName::from("front"), offer, self.now);
    }

    /// Runs for `span_ms`; the work of tasks started meanwhile is `work_ms`.
    fn run_ms(&mut self, span_ms: u64, work_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.handle_effects(work_ms);
            self.now = self.now.plus_ms(10);
            self.answer_polls();
            self.dispatcher.tick(&VmName::from("front"), self.now);
        }
        self.handle_effects(work_ms);
    }

    fn handle_effects(&mut self, work_ms: u64) {
        loop {
            let effects = self.dispatcher.drain_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    CellEffect::SendOrder(order) => self.handle_order(order, work_ms),
                    CellEffect::ReportResult(_, code, _, result) => {
                        self.results.push((code, result, self.now));
                    }
                    CellEffect::LogDecision(it) if it.event == DecisionEvent::RunStraggles => {
                        self.causes.push(it.outcome);
                    }
                    CellEffect::Fenced | CellEffect::LogDecision(_) => {}
                }
            }
        }
    }

    fn handle_order(&mut self, order: EndpointOrder, work_ms: u64) {
        let endpoint = self.endpoints.iter_mut().find(|it| it.name == order.endpoint);
        let endpoint = endpoint.expect("an order names a known endpoint");
        match &order.body {
            OrderBody::Start { task, run, .. } => {
                self.n_starts += 1;
                let (task, run, began_at) = (*task, *run, self.now);
                endpoint.runs.push(SlowRun { task, run, began_at, stopped_at: None, work_ms });
            }
            OrderBody::Stop { task, run } => {
                let found = endpoint.runs.iter_mut().find(|it| (it.task, it.run) == (*task, *run));
                if let Some(found) = found {
                    found.stopped_at.get_or_insert(self.now.plus_ms(STOP_MS));
                }
            }
            OrderBody::Poll { wait_ms, .. } => {
                self.polls.push((order.clone(), self.now.plus_ms(*wait_ms)));
                return;
            }
        }
        let outcome = OrderOutcome::Executed(self.now.0, None);
        self.dispatcher.handle_outcome(&order, outcome, self.now);
    }

    fn answer_polls(&mut self) {
        for (order, due_at) in std::mem::take(&mut self.polls) {
            let now = self.now;
            let endpoint = self.endpoints.iter_mut().find(|it| it.name == order.endpoint);
            let endpoint = endpoint.expect("a poll names a known endpoint");
            let mut lists = RunLists { incarnation: Some(500), ..RunLists::default() };
            let (factor, is_stuck) = (endpoint.factor, endpoint.is_stuck);
            endpoint.runs.retain(|it| {
                let worked_ms = if is_stuck { 0 } else { now.since_ms(it.began_at) / factor };
                let is_stopped = it.stopped_at.is_some_and(|at| at <= now);
                if worked_ms < it.work_ms && !is_stopped {
                    let percent = worked_ms * 100 / it.work_ms;
                    lists.running.push(ListedRun { task: it.task, run: it.run, percent });
                    return true;
                }
                endpoint.n_ended += 1;
                let end = if is_stopped { RunEnd::Stopped } else { RunEnd::Done };
                lists.ended.push(ListedEnd {
                    number: endpoint.n_ended,
                    task: it.task,
                    run: it.run,
                    end,
                });
                false
            });
            if lists.ended.is_empty() && now < due_at {
                self.polls.push((order, due_at));
                continue;
            }
            let outcome = OrderOutcome::Executed(now.0, Some(lists));
            self.dispatcher.handle_outcome(&order, outcome, now);
        }
    }

    /// When a job completed, in ms after the start.
    fn completed_ms(&self, code: u64) -> Option<u64> {
        let result = self.results.iter().find(|(job, ..)| *job == JobCode(code))?;
        (result.1 == JobResult::Completed).then(|| result.2.since_ms(START))
    }
}

/// Both tasks of a job take ten times their declared time on every endpoint. Stopping each run
/// as stalled and starting it elsewhere without end kept such jobs from ever being answered.
#[test]
fn job_that_is_long_on_every_endpoint_completes() {
    let mut cell = SlowCell::new(&["a", "b", "c"]);
    cell.offer(offer(1, 2, 200));
    cell.run_ms(6_000, 2_000);
    // At most one second start of each task, after about 0.8 s.
    assert!(cell.completed_ms(1).is_some_and(|it| it < 3_500), "{:?}", cell.results);
    assert!(cell.n_starts <= 4, "{} starts", cell.n_starts);
}

/// Siblings on different endpoints that are all slow show a long job without any second start.
#[test]
fn slow_siblings_elsewhere_show_a_long_job() {
    let mut cell = SlowCell::new(&["a", "b", "c", "d"]);
    let mut wide = offer(1, 2, 200);
    wide.steps[0].max_on_endpoint = Some(1);
    cell.offer(wide);
    cell.run_ms(4_000, 2_000);
    assert!(cell.completed_ms(1).is_some(), "{:?}", cell.results);
    assert!(cell.causes.contains(&"long task".to_owned()), "{:?}", cell.causes);
    assert!(cell.n_starts <= 3, "{} starts", cell.n_starts);
}

/// A long task beside a run of another job that proceeds as predicted: its endpoint is sound.
#[test]
fn sound_neighbour_shows_a_long_task() {
    let mut cell = SlowCell::new(&["a"]);
    cell.offer(offer(1, 1, 400));
    cell.run_ms(400, 4_000);
    cell.offer(offer(2, 1, 800));
    cell.run_ms(4_500, 800);
    assert_eq!(cell.n_starts, 2, "{:?}", cell.causes);
    assert!(cell.completed_ms(1).is_some(), "{:?}", cell.results);
    assert!(cell.causes.contains(&"long task".to_owned()), "{:?}", cell.causes);
}

/// A run that stands still is started elsewhere, and its job ends soon after.
#[test]
fn stuck_run_is_started_elsewhere() {
    let mut cell = SlowCell::new(&["a", "b"]);
    cell.endpoints[0].is_stuck = true;
    cell.endpoints[1].is_stuck = true;
    cell.offer(offer(1, 1, 200));
    cell.run_ms(50, 200);
    for endpoint in &mut cell.endpoints {
        endpoint.is_stuck = !endpoint.runs.is_empty();
    }
    cell.run_ms(2_000, 200);
    assert!(cell.completed_ms(1).is_some_and(|it| it < 1_200), "{:?}", cell.results);
    assert_eq!(cell.causes.first().map(String::as_str), Some("stuck"));
}

/// All runs on an endpoint are slow: they are started once more elsewhere, and the endpoint gets
/// no more work for now.
#[test]
fn slow_endpoint_loses_its_runs_once() {
    let mut cell = SlowCell::new(&["a", "b", "c"]);
    cell.offer(offer(1, 1, 200));
    cell.offer(offer(2, 1, 200));
    cell.run_ms(50, 200);
    for endpoint in &mut cell.endpoints {
        endpoint.factor = if endpoint.runs.is_empty() { 1 } else { 12 };
    }
    cell.run_ms(2_500, 200);
    assert!(cell.completed_ms(1).is_some() && cell.completed_ms(2).is_some(), "{:?}", cell.results);
    assert!(cell.n_starts <= 4, "{} starts, {:?}", cell.n_starts, cell.causes);
}

/// One job in thirty is declared, and is, seven times as long as the others. A regression alone
/// pulls its declared time to the mean, so it counts as stalled when it is half done.
#[test]
fn far_declared_time_is_trusted() {
    let mut times = RouteTimes::default();
    for n in 0..900_u64 {
        // Scatter of a fifth either way in both times.
        let (real, declared) = (80 + n * 7 % 40, 80 + n * 13 % 40);
        let factor = if n % 30 == 29 { 7 } else { 1 };
        times.record_run("route", real * factor, declared * factor, 1_000);
    }
    let long_ms = times.typical_ms("route", 700);
    assert!((600..=800).contains(&long_ms), "{long_ms}");
    // Within the scatter, the mean decides.
    let short_ms = times.typical_ms("route", 118);
    assert!((95..=112).contains(&short_ms), "{short_ms}");
}

/// The share of runs beyond a multiple of their prediction is known once enough have ended.
#[test]
fn quantile_of_the_error_follows_the_route() {
    let mut times = RouteTimes::default();
    for n in 0..100 {
        times.record_run("route", 100, 100 + n % 5, 1_000);
    }
    assert_eq!(times.ratio_quantile_milli("route", 990), None);
    for n in 0..2_000 {
        let real_ms = if n % 20 == 0 { 500 } else { 100 };
        times.record_run("route", real_ms, 100 + n % 5, 1_000);
    }
    let quantile = |milli| times.ratio_quantile_milli("route", milli).expect("enough samples");
    assert!(quantile(500) < 1_300, "{}", quantile(500));
    assert!((3_000..7_000).contains(&quantile(990)), "{}", quantile(990));
}
