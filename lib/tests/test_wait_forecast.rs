//! Forecasts of waits, retry delays and the order of returning callers.

use std::collections::VecDeque;

use yuccamux::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect},
        cell_message::CellName,
        endpoint_directory::EndpointRecord,
        endpoint_order::{EndpointOrder, ListedEnd, OrderBody, OrderOutcome, RunEnd, RunLists},
        job_offer::{JobCode, JobOffer, JobResult, JobStep, RefusalCause, ResourceAmount, TaskRef},
        service_shares::{ServiceOutcome, ServiceShares},
        wait_forecast::{WaitForecast, WorkRates},
    },
    prelude::*,
};

const START: ClockTime = ClockTime(1_000_000);
/// Capacity of the cell, in thousandths of a core.
const CPU: u64 = 100_000;

/// A cell to which routes send work at given parts of its capacity, in thousandths.
#[derive(Default)]
struct RatedCell {
    rates: WorkRates,
    shares: ServiceShares,
    n_ticks: u64,
}

impl RatedCell {
    fn play(&mut self, loads: &[(&str, u64)], span_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.n_ticks += 1;
            let now = START.plus_ms(self.n_ticks * 10);
            for (route, load_milli) in loads {
                let work = CPU * 10 * load_milli / 1000;
                self.rates.add_arrival(route, &DataCentre::from("oslo"), work, now);
            }
            self.rates.update(CPU, false, &self.shares, now);
        }
    }

    /// Forecast behind 100 ms of work of unstarted jobs.
    fn forecast(&self, route: &str) -> WaitForecast {
        let work = CPU * 100;
        self.rates.forecast(route, &DataCentre::from("oslo"), work, work, CPU)
    }
}

/// Work that arrives meanwhile prolongs the wait, which a backlog alone doesn't show.
#[test]
fn wait_grows_with_the_work_that_arrives() {
    let mut cell = RatedCell::default();
    assert_eq!(cell.forecast("a"), WaitForecast::Starts(100));
    cell.play(&[("a", 300), ("b", 450)], 2_000);
    let WaitForecast::Starts(wait_ms) = cell.forecast("a") else { panic!("overtaken") };
    assert!((380..=420).contains(&wait_ms), "{wait_ms}");
}

/// Jobs waited although newer ones went first until an answer was of no use.
#[test]
fn job_behind_others_is_overtaken_when_arrivals_use_up_the_capacity() {
    let mut cell = RatedCell::default();
    cell.play(&[("a", 600), ("b", 600)], 2_000);
    assert!(cell.rates.is_full());
    assert_eq!(cell.forecast("a"), WaitForecast::Overtaken);
    // With no job before it, the next capacity is its own.
    let oslo = DataCentre::from("oslo");
    assert_eq!(cell.rates.forecast("a", &oslo, CPU * 20, 0, CPU), WaitForecast::Starts(20));
}

/// Jobs of a route that got less go first, so the arrivals of the others do not overtake them.
#[test]
fn route_that_got_less_is_not_overtaken_by_others() {
    let mut cell = RatedCell::default();
    for _ in 0..100 {
        cell.shares.record("a", &DataCentre::from("oslo"), ServiceOutcome::Unserved, START);
        cell.shares.record("b", &DataCentre::from("oslo"), ServiceOutcome::InTime, START);
    }
    cell.play(&[("a", 400), ("b", 800)], 1_500);
    assert!(matches!(cell.forecast("a"), WaitForecast::Starts(_)));
    assert_eq!(cell.forecast("b"), WaitForecast::Overtaken);
}

/// Around its capacity a cell would return jobs in one pass and keep them in the next.
#[test]
fn jobs_wait_again_only_once_arrivals_have_clearly_fallen() {
    let mut cell = RatedCell::default();
    cell.play(&[("a", 1_050)], 2_000);
    assert_eq!(cell.forecast("a"), WaitForecast::Overtaken);
    cell.play(&[("a", 950)], 3_000);
    assert_eq!(cell.forecast("a"), WaitForecast::Overtaken);
    cell.play(&[("a", 850)], 3_000);
    assert!(matches!(cell.forecast("a"), WaitForecast::Starts(_)));
}

/// Routes beyond those with a rate of their own would wait although their turn doesn't come.
#[test]
fn routes_beyond_the_bound_share_a_rate() {
    let mut cell = RatedCell::default();
    let names: Vec<String> = (0..200).map(|it| format!("route-{it}")).collect();
    let loads: Vec<(&str, u64)> = names.iter().map(|it| (it.as_str(), 8)).collect();
    cell.play(&loads, 1_500);
    assert_eq!(cell.forecast("route-150"), WaitForecast::Overtaken);
}

fn offer(code: u64, declared_ms: u64) -> JobOffer {
    JobOffer {
        job: JobCode(code),
        route: "a".to_owned(),
        service: "s".to_owned(),
        spec: String::new(),
        steps: vec![JobStep {
            count: 1,
            demand: ResourceAmount { cpu: 10_000, mem_mb: 10, gpu: 0 },
            declared_ms,
            after: Vec::new(),
            data_rack: None,
            label: None,
            max_on_endpoint: None,
        }],
        priority: 0,
        max_attempts: 2,
        stretch_milli: 1_600,
        slack_ms: 60,
        age_ms: 0,
        remaining_ms: 4_000,
        first_run: 0,
        number: code,
        token: 0,
        is_repeat: false,
        may_move: false,
        centre: DataCentre::from("oslo"),
        was_refused: false,
    }
}

/// A leader of one endpoint on which one task fits.
struct OneEndpointCell {
    leader: CellDispatcher,
    effects: VecDeque<CellEffect>,
    polls: Vec<EndpointOrder>,
    started: Vec<u64>,
    results: Vec<JobResult>,
}

impl OneEndpointCell {
    fn new() -> OneEndpointCell {
        let mut cell = OneEndpointCell {
            leader: leader(),
            effects: VecDeque::new(),
            polls: Vec::new(),
            started: Vec::new(),
            results: Vec::new(),
        };
        cell.drain(START);
        cell.answer_poll(&[], START);
        cell
    }

    fn offer(&mut self, offer: JobOffer, now: ClockTime) {
        self.leader.handle_offer(&VmName::from("front"), offer, now);
        self.drain(now);
    }

    fn next_effect(&mut self) -> Option<CellEffect> {
        self.effects.extend(self.leader.drain_effects());
        self.effects.pop_front()
    }

    /// Accepts the starts that were ordered.
    fn drain(&mut self, now: ClockTime) {
        while let Some(effect) = self.next_effect() {
            match effect {
                CellEffect::SendOrder(order) => match &order.body {
                    OrderBody::Start { task, .. } => {
                        self.started.push(task.job.0);
                        let outcome = OrderOutcome::Executed(now.0, Some(RunLists::default()));
                        self.leader.handle_outcome(&order, outcome, now);
                    }
                    _ => self.polls.push(order),
                },
                CellEffect::ReportResult(_, _, _, result) => self.results.push(result),
                _ => {}
            }
        }
    }

    fn answer_poll(&mut self, ended: &[ListedEnd], now: ClockTime) {
        let order = self.polls.pop().expect("no poll is pending");
        let lists = RunLists { incarnation: Some(1), running: Vec::new(), ended: ended.to_vec() };
        self.leader.handle_outcome(&order, OrderOutcome::Executed(now.0, Some(lists)), now);
        self.drain(now);
    }
}

fn leader() -> CellDispatcher {
    let centre = DataCentre::from("oslo");
    let cell = CellName { service: "s".to_owned(), centre: centre.clone(), rack: "r".to_owned() };
    let mut leader = CellDispatcher::new(cell, 7, 0, true);
    let capacity = ResourceAmount { cpu: 10_000, mem_mb: 100, gpu: 0 };
    let record = EndpointRecord {
        name: EndpointName::from("e"),
        incarnation: 1,
        seq: 1,
        service: "s".to_owned(),
        address: "e:1".to_owned(),
        centre,
        rack: "r".to_owned(),
        labels: Vec::new(),
        capacity,
        leaving: false,
    };
    leader.set_endpoints(&[record], START);
    leader
}

/// Callers refused in one burst would come back as one wave.
#[test]
fn retry_delays_of_a_burst_are_spread_over_the_expected_wait() {
    let mut cell = OneEndpointCell::new();
    for code in 1..=60 {
        cell.offer(offer(code, 300), START);
    }
    let delays_ms: Vec<u64> = cell
        .results
        .iter()
        .filter_map(|it| match it {
            JobResult::Refused(RefusalCause::Hopeless, delay_ms) => Some(*delay_ms),
            _ => None,
        })
        .collect();
    let (least, most) = (delays_ms.iter().min(), delays_ms.iter().max());
    let spread_ms = most.zip(least).map_or(0, |(most, least)| most - least);
    assert!(500 < spread_ms, "{delays_ms:?}");
    assert!(delays_ms.iter().all(|it| (200..=3_000).contains(it)), "{delays_ms:?}");
}

/// A caller that waited as long as it was told would be overtaken again by those who just came.
#[test]
fn caller_that_was_refused_goes_before_newer_ones() {
    let mut cell = OneEndpointCell::new();
    // It is refused, as its caller leaves too early.
    cell.offer(JobOffer { remaining_ms: 50, ..offer(1, 100) }, START);
    cell.offer(offer(2, 300), START);
    assert_eq!((&cell.started[..], cell.results.len()), (&[2][..], 1));
    let now = START.plus_ms(250);
    cell.offer(JobOffer { number: 11, ..offer(1, 600) }, now);
    cell.offer(offer(3, 600), now.plus_ms(5));
    assert_eq!(cell.started, [2]);
    let task = TaskRef { job: JobCode(2), step: 0, idx: 0 };
    let end = ListedEnd { number: 1, task, run: 1, end: RunEnd::Done };
    cell.answer_poll(&[end], now.plus_ms(50));
    assert_eq!(cell.started, [2, 1]);
}
