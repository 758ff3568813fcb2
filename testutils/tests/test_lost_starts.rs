//! Starts that were never answered and are carried out late: no task is at work twice.
//!
//! A cell's dispatcher alone, with fake endpoints. The first start is held up; how the dispatcher
//! comes to place its task again is the scenario.

use indexmap::IndexMap;
use yuccamux::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect},
        cell_message::CellName,
        endpoint_directory::EndpointRecord,
        endpoint_order::{EndpointOrder, OrderBody, OrderOutcome, OrderRefusal},
        job_offer::{JobCode, JobOffer, JobStep, ResourceAmount, TaskRef},
    },
    prelude::*,
};
use yuccamux_testutils::{
    cell_fixtures::{SERVICE, endpoint},
    cell_runner::{CellRunner, LeaseRule},
};

const START: ClockTime = ClockTime(1_000_000);
const CENTRE: &str = "munich";
const RACK: &str = "r1";
/// Time between two steps of a cell, in ms.
const STEP_MS: u64 = 5;
/// Time between two confirmations that a caller waits, in ms.
const KEEP_ALIVE_MS: u64 = 100;
/// Work of a task, in ms: beyond every scenario.
const WORK_MS: u64 = 10_000;
/// Silence beyond a lease, in ms.
const SILENCE_MS: u64 = 1_300;
/// Time in which an endpoint that answers again is used again, in ms.
const RETURN_MS: u64 = 700;
const DEMAND: ResourceAmount = ResourceAmount { cpu: 7_000, mem_mb: 10, gpu: 0 };

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinkState {
    #[default]
    Open,
    /// Orders are lost.
    Silent,
    /// Another endpoint answers at its address.
    Other,
}

struct LostStartCell {
    dispatcher: CellDispatcher,
    now: ClockTime,
    runners: IndexMap<EndpointName, CellRunner>,
    links: IndexMap<EndpointName, LinkState>,
    /// Outcomes on their way back; a look's lists are read when it is answered.
    due: Vec<(ClockTime, EndpointOrder, Option<OrderOutcome>)>,
    jobs: Vec<(JobCode, u64)>,
    /// What becomes of the endpoint that gets the next start, which is held up.
    holds_next: Option<LinkState>,
    held: Option<EndpointOrder>,
    /// Whether the start that is held up arrives just before the next stop.
    arrives_before_stop: bool,
}

fn origin() -> VmName {
    VmName::from("front")
}

fn task(code: u64) -> TaskRef {
    TaskRef { job: JobCode(code), step: 0, idx: 0 }
}

impl LostStartCell {
    fn new(names: &[&str]) -> LostStartCell {
        let cell = CellName {
            service: SERVICE.to_owned(),
            centre: DataCentre::from(CENTRE),
            rack: RACK.to_owned(),
        };
        let mut runners = IndexMap::new();
        for name in names {
            let record = endpoint(name, format!("{name}:1"), CENTRE, RACK, 16_000, START);
            let mut runner = CellRunner::new(record, 77);
            runner.lease_rule = LeaseRule::InForce;
            runners.insert(EndpointName::from(*name), runner);
        }
        let mut cell = LostStartCell {
            dispatcher: CellDispatcher::new(cell, 7, 0, true),
            now: START,
            runners,
            links: IndexMap::new(),
            due: Vec::new(),
            jobs: Vec::new(),
            holds_next: None,
            held: None,
            arrives_before_stop: false,
        };
        cell.announce(names);
        cell.advance_ms(100);
        cell
    }

    fn announce(&mut self, names: &[&str]) {
        let records: Vec<EndpointRecord> =
            names.iter().map(|it| self.runners[*it].record.clone()).collect();
        self.dispatcher.set_endpoints(&records, self.now);
        self.drain();
    }

    fn offer(&mut self, code: u64, count: u32) {
        let number = code + 1_000 * self.jobs.len() as u64;
        let step = JobStep {
            count,
            demand: DEMAND,
            declared_ms: WORK_MS,
            after: Vec::new(),
            data_rack: None,
            label: None,
            max_on_endpoint: None,
        };
        let offer = JobOffer {
            job: JobCode(code),
            route: "route".to_owned(),
            service: SERVICE.to_owned(),
            spec: "x".to_owned(),
            steps: vec![step],
            priority: 0,
            max_attempts: 3,
            stretch_milli: 1_600,
            slack_ms: WORK_MS,
            age_ms: 0,
            remaining_ms: 4 * WORK_MS,
            first_run: 0,
            number,
            token: 0,
            is_repeat: false,
            may_move: false,
            centre: DataCentre::from(""),
            was_refused: false,
        };
        self.jobs.push((JobCode(code), number));
        self.dispatcher.handle_offer(&origin(), offer, self.now);
        self.drain();
    }

    /// Offers a job whose start is held up while its endpoint's link becomes `link`; returns the
    /// endpoint.
    fn offer_held(&mut self, link: LinkState) -> String {
        self.holds_next = Some(link);
        self.offer(1, 1);
        let held = self.held.as_ref().expect("no start was sent");
        held.endpoint.to_string()
    }

    /// Offers a job whose start is held up until its endpoint has acknowledged a stop, and the task
    /// was placed elsewhere; returns the endpoint.
    fn offer_stopped(&mut self) -> String {
        let name = self.offer_held(LinkState::Open);
        self.set_capacity(&name, 1_000);
        self.announce(&["a", "b"]);
        self.advance_ms(SILENCE_MS);
        assert!(self.places().iter().all(|it| it.0.as_str() != name));
        assert_eq!(self.places().len(), 1, "the task was not placed elsewhere");
        name
    }

    fn drain(&mut self) {
        for effect in self.dispatcher.drain_effects() {
            if let CellEffect::SendOrder(order) = effect {
                self.send(order);
            }
        }
    }

    fn send(&mut self, order: EndpointOrder) {
        let is_start = matches!(order.body, OrderBody::Start { .. });
        let limit = self.now.plus_ms(order.time_limit_ms);
        if is_start && let Some(link) = self.holds_next.take() {
            self.links.insert(order.endpoint.clone(), link);
            self.held = Some(order.clone());
            self.due.push((limit, order, Some(OrderOutcome::Lost)));
            return;
        }
        let soon = self.now.plus_ms(STEP_MS);
        match self.links.get(&order.endpoint).copied().unwrap_or_default() {
            LinkState::Open => {}
            LinkState::Silent => {
                self.due.push((limit, order, Some(OrderOutcome::Lost)));
                return;
            }
            LinkState::Other => {
                let outcome = OrderOutcome::Refused(OrderRefusal::OtherLife, None);
                self.due.push((soon, order, Some(outcome)));
                return;
            }
        }
        if matches!(order.body, OrderBody::Stop { .. })
            && std::mem::take(&mut self.arrives_before_stop)
        {
            self.arrive();
        }
        let outcome = self.carry_out(&order);
        match order.body {
            OrderBody::Poll { wait_ms, .. } => {
                self.due.push((self.now.plus_ms(wait_ms.max(STEP_MS)), order, None));
            }
            _ => self.due.push((soon, order, Some(outcome))),
        }
    }

    fn carry_out(&mut self, order: &EndpointOrder) -> OrderOutcome {
        let now = self.now;
        let runner = self.runners.get_mut(&order.endpoint).expect("an unknown endpoint");
        let outcome = runner.carry_out(order, DEMAND, WORK_MS, now);
        self.check();
        outcome
    }

    /// The start that was held up is carried out; its answer comes too late for anyone.
    fn arrive(&mut self) {
        let held = self.held.take().expect("no start is held up");
        let _ = self.carry_out(&held);
    }

    fn check(&self) {
        let places = self.places();
        assert!(places.len() <= 1, "{}: at work twice: {places:?}", self.now);
    }

    /// Endpoints at which the first job's task is at work, with the run.
    fn places(&self) -> Vec<(&EndpointName, u32)> {
        let runs = self
            .runners
            .iter()
            .flat_map(|(name, runner)| runner.runs.keys().map(move |key| (name, key)));
        runs.filter(|(_, key)| key.0 == task(1)).map(|(name, key)| (name, key.1)).collect()
    }

    fn advance_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.now = self.now.plus_ms(STEP_MS);
            let now = self.now;
            for runner in self.runners.values_mut() {
                runner.tick(now, |_, _| 1_000);
            }
            let (due, rest) = std::mem::take(&mut self.due).into_iter().partition(|it| it.0 <= now);
            self.due = rest;
            for (_, order, outcome) in due {
                self.answer(&order, outcome);
            }
            if now.since_ms(START).is_multiple_of(KEEP_ALIVE_MS) {
                for (code, number) in self.jobs.clone() {
                    let _ = self.dispatcher.handle_keep_alive(&origin(), code, number, now);
                }
            }
            self.dispatcher.tick(&origin(), now);
            self.drain();
        }
    }

    fn answer(&mut self, order: &EndpointOrder, outcome: Option<OrderOutcome>) {
        let runner = &self.runners[&order.endpoint];
        let is_open = self.links.get(&order.endpoint).copied().unwrap_or_default();
        let outcome = match outcome {
            Some(outcome) => outcome,
            None if is_open == LinkState::Open => {
                OrderOutcome::Executed(runner.clock(self.now), Some(runner.lists(self.now)))
            }
            None => OrderOutcome::Lost,
        };
        self.dispatcher.handle_outcome(order, outcome, self.now);
        self.drain();
    }

    /// Answers again; another job's runs fill all endpoints and renew their leases. Then the start
    /// that was held up arrives.
    fn answer_again_and_arrive(&mut self) {
        self.links.clear();
        self.advance_ms(RETURN_MS);
        self.offer(2, 8);
        self.advance_ms(2 * KEEP_ALIVE_MS);
        let held = self.held.clone().expect("no start is held up");
        let has_lease = !self.runners[&held.endpoint].runs.is_empty();
        assert!(has_lease, "no run renews the lease of {}", held.endpoint);
        self.free_room(&held.endpoint);
        self.arrive();
        self.advance_ms(SILENCE_MS);
    }

    fn begin_life(&mut self, name: &str) {
        let now = self.now;
        self.runners.get_mut(name).expect("an unknown endpoint").begin_life(now);
    }

    fn set_capacity(&mut self, name: &str, cpu: u64) {
        let record = &mut self.runners.get_mut(name).expect("an unknown endpoint").record;
        record.capacity.cpu = cpu;
        record.seq += 1;
    }

    /// Takes out the next answer of another endpoint, which is to arrive later.
    fn next_foreign_answer(&mut self) -> (EndpointOrder, OrderOutcome) {
        let is_foreign = |outcome: &Option<OrderOutcome>| {
            matches!(outcome, Some(OrderOutcome::Refused(OrderRefusal::OtherLife, _)))
        };
        for _ in 0..SILENCE_MS / STEP_MS {
            if let Some(idx) = self.due.iter().position(|it| is_foreign(&it.2)) {
                let (_, order, outcome) = self.due.remove(idx);
                return (order, outcome.expect("an answer"));
            }
            self.advance_ms(STEP_MS);
        }
        panic!("no order was sent");
    }

    /// Makes room for another run, so that it isn't refused for want of it.
    fn free_room(&mut self, name: &EndpointName) {
        let runner = self.runners.get_mut(name).expect("an unknown endpoint");
        runner.record.capacity.cpu = 64_000;
    }
}

#[test]
fn start_held_up_until_after_its_lease_is_refused() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    let silent = cell.offer_held(LinkState::Silent);
    cell.advance_ms(SILENCE_MS);
    assert!(cell.places().iter().all(|it| it.0.as_str() != silent));
    assert_eq!(cell.places().len(), 1, "the task was not placed elsewhere");
    cell.answer_again_and_arrive();
}

#[test]
fn start_held_up_is_refused_where_its_task_runs_again() {
    let mut cell = LostStartCell::new(&["a"]);
    let _ = cell.offer_held(LinkState::Silent);
    cell.advance_ms(SILENCE_MS);
    cell.answer_again_and_arrive();
}

#[test]
fn start_held_up_is_refused_by_the_next_life_of_its_endpoint() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    let silent = cell.offer_held(LinkState::Silent);
    cell.advance_ms(SILENCE_MS);
    cell.begin_life(&silent);
    cell.announce(&["a", "b"]);
    cell.answer_again_and_arrive();
}

/// The stop that proved the start harmless was forgotten with the life that executed it.
#[test]
fn stopped_start_is_refused_by_the_next_life_of_its_endpoint() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    let name = cell.offer_stopped();
    cell.set_capacity(&name, 16_000);
    cell.begin_life(&name);
    cell.announce(&["a", "b"]);
    cell.answer_again_and_arrive();
}

/// The answer was under way while the endpoint came back in a new life and got the task again.
#[test]
fn late_answer_of_another_endpoint_ends_no_run_of_the_next_life() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    cell.set_capacity("b", 1_000);
    cell.announce(&["a", "b"]);
    cell.offer(1, 1);
    cell.advance_ms(KEEP_ALIVE_MS);
    cell.links.insert(EndpointName::from("a"), LinkState::Other);
    let (order, outcome) = cell.next_foreign_answer();
    cell.links.clear();
    cell.begin_life("a");
    cell.announce(&["a", "b"]);
    cell.advance_ms(RETURN_MS);
    assert_eq!(cell.places(), [(&EndpointName::from("a"), 2)]);
    cell.set_capacity("b", 16_000);
    cell.announce(&["a", "b"]);
    cell.answer(&order, Some(outcome));
    cell.advance_ms(RETURN_MS);
}

#[test]
fn start_held_up_is_refused_once_its_endpoint_is_announced_again() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    let silent = cell.offer_held(LinkState::Silent);
    let others: Vec<&str> = ["a", "b"].into_iter().filter(|it| *it != silent).collect();
    cell.announce(&others);
    cell.advance_ms(SILENCE_MS);
    cell.announce(&["a", "b"]);
    cell.answer_again_and_arrive();
}

#[test]
fn start_held_up_is_refused_after_another_endpoint_answered() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    let _ = cell.offer_held(LinkState::Other);
    // Starts are paused after such an answer.
    cell.advance_ms(SILENCE_MS);
    cell.links.clear();
    cell.advance_ms(SILENCE_MS);
    cell.answer_again_and_arrive();
}

#[test]
fn start_held_up_is_refused_after_its_job_was_offered_again() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    let _ = cell.offer_held(LinkState::Silent);
    cell.dispatcher.cancel(JobCode(1), cell.now);
    cell.drain();
    cell.jobs.clear();
    cell.advance_ms(SILENCE_MS);
    cell.offer(1, 1);
    cell.advance_ms(KEEP_ALIVE_MS);
    assert_eq!(cell.places().len(), 1, "the second copy was not placed");
    cell.answer_again_and_arrive();
}

/// The endpoint answers looks, but the start arrives only between a look and the stop.
#[test]
fn task_waits_until_a_stop_has_taken_effect() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    cell.arrives_before_stop = true;
    let _ = cell.offer_held(LinkState::Open);
    cell.advance_ms(SILENCE_MS);
    assert!(cell.held.is_none(), "no stop was sent");
    assert_eq!(cell.places().len(), 1, "the task was not placed again");
}

/// The start reached a life that its leader had not heard of; the answer came after the news.
#[test]
fn lease_of_an_unannounced_life_counts() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    cell.set_capacity("b", 1_000);
    cell.announce(&["a", "b"]);
    cell.begin_life("a");
    cell.offer(1, 1);
    assert_eq!(cell.places(), [(&EndpointName::from("a"), 1)]);
    cell.links.insert(EndpointName::from("a"), LinkState::Silent);
    cell.set_capacity("b", 16_000);
    cell.announce(&["a", "b"]);
    cell.advance_ms(SILENCE_MS);
    assert_eq!(cell.places().len(), 1, "the task was not placed elsewhere");
}

/// A life whose clock its leader doesn't know grants its longest lease, not that of the order.
#[test]
fn unanswered_start_in_an_unannounced_life_may_hold_the_longest_lease() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    cell.set_capacity("b", 1_000);
    cell.announce(&["a", "b"]);
    cell.begin_life("a");
    assert_eq!(cell.offer_held(LinkState::Silent), "a");
    cell.arrive();
    cell.set_capacity("b", 16_000);
    let records: Vec<EndpointRecord> = cell.runners.values().map(|it| it.record.clone()).collect();
    let known = EndpointRecord { incarnation: START.0, ..records[0].clone() };
    cell.dispatcher.set_endpoints(&[known, records[1].clone()], cell.now);
    cell.advance_ms(SILENCE_MS);
    assert_eq!(cell.places().len(), 1, "the task was not placed elsewhere");
}

/// As stopped_start_is_refused_by_the_next_life_of_its_endpoint, but the endpoint was dropped from the
/// leader's books between its two lives.
#[test]
fn stopped_start_is_refused_by_the_next_life_after_a_departure() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    let name = cell.offer_stopped();
    let others: Vec<&str> = ["a", "b"].into_iter().filter(|it| *it != name).collect();
    cell.announce(&others);
    cell.advance_ms(RETURN_MS);
    cell.set_capacity(&name, 16_000);
    cell.begin_life(&name);
    cell.announce(&["a", "b"]);
    cell.answer_again_and_arrive();
}

/// The answers of another endpoint renew no lease.
#[test]
fn task_moves_while_another_endpoint_answers() {
    let mut cell = LostStartCell::new(&["a", "b"]);
    let _ = cell.offer_held(LinkState::Other);
    cell.advance_ms(3 * SILENCE_MS);
    assert_eq!(cell.places().len(), 1, "the task was not placed elsewhere");
}
