//! The fake endpoint is no kinder than the platform's pages.

use yuccamux::{
    cell::{
        endpoint_order::{
            EndpointOrder, OrderBody, OrderNumber, OrderOutcome, OrderRefusal, RunEnd,
        },
        job_offer::{JobCode, ResourceAmount, TaskRef},
    },
    prelude::*,
};
use yuccamux_testutils::{
    cell_fixtures::endpoint,
    cell_runner::{CellRunner, LeaseRule},
};

const START: ClockTime = ClockTime(1_000_000);
/// Longest time from a stop until its run is over, in ms.
const STOP_MS: u64 = 50;

fn task() -> TaskRef {
    TaskRef { job: JobCode(1), step: 0, idx: 0 }
}

fn runner() -> CellRunner {
    CellRunner::new(endpoint("a", "a:1".to_owned(), "munich", "r1", 16_000, START), 0)
}

fn give(
    runner: &mut CellRunner,
    body: OrderBody,
    lease_until: Option<u64>,
    now: ClockTime,
) -> OrderOutcome {
    let order = EndpointOrder {
        number: OrderNumber(1),
        endpoint: EndpointName::from("a"),
        address: "a:1".to_owned(),
        incarnation: START.0,
        token: 1,
        lease_until,
        time_limit_ms: 200,
        body,
    };
    let demand = ResourceAmount { cpu: 7_000, mem_mb: 10, gpu: 0 };
    runner.carry_out(&order, demand, 500, now)
}

fn start(runner: &mut CellRunner, run: u32, lease_until: u64, now: ClockTime) -> OrderOutcome {
    let body = OrderBody::Start { task: task(), run, spec: "x".to_owned() };
    give(runner, body, Some(lease_until), now)
}

fn stop(runner: &mut CellRunner, run: u32, now: ClockTime) -> OrderOutcome {
    give(runner, OrderBody::Stop { task: task(), run }, None, now)
}

fn look(runner: &mut CellRunner, lease_until: u64, now: ClockTime) {
    let _ = give(runner, OrderBody::Poll { cursor: 0, wait_ms: 0 }, Some(lease_until), now);
}

fn is_executed(outcome: &OrderOutcome) -> bool {
    matches!(outcome, OrderOutcome::Executed(..))
}

fn is_refused(outcome: &OrderOutcome, expected: OrderRefusal) -> bool {
    matches!(outcome, OrderOutcome::Refused(refusal, _) if *refusal == expected)
}

#[test]
fn stopped_run_is_there_until_its_end_is_listed() {
    let mut runner = runner();
    let _ = start(&mut runner, 1, START.0 + 900, START);
    assert!(is_executed(&stop(&mut runner, 1, START)));
    runner.tick(START, |_, _| 1_000);
    assert_eq!(runner.lists(START).running.len(), 1);
    assert_eq!(runner.lists(START).ended, []);
    let later = START.plus_ms(STOP_MS);
    assert!(runner.tick(later, |_, _| 1_000));
    let lists = runner.lists(later);
    assert_eq!(lists.running, []);
    assert_eq!(lists.ended[0].end, RunEnd::Stopped);
}

#[test]
fn only_runs_up_to_an_ended_one_are_refused() {
    let mut runner = runner();
    assert!(is_executed(&start(&mut runner, 3, START.0 + 900, START)));
    assert!(is_executed(&start(&mut runner, 1, START.0 + 900, START)));
    assert_eq!(runner.tasks().count(), 2);
    let _ = stop(&mut runner, 2, START);
    assert!(is_refused(&start(&mut runner, 2, START.0 + 900, START), OrderRefusal::OldRun));
    assert_eq!(runner.lists(START).running.len(), 2);
}

#[test]
fn late_start_is_judged_by_the_rule_of_the_endpoint() {
    let later = START.plus_ms(950);
    for (rule, is_admitted) in [(LeaseRule::InOrder, false), (LeaseRule::InForce, true)] {
        let mut runner = runner();
        runner.lease_rule = rule;
        look(&mut runner, START.0 + 1_500, START.plus_ms(600));
        let outcome = start(&mut runner, 1, START.0 + 800, later);
        assert_eq!(is_executed(&outcome), is_admitted, "{rule:?}");
        assert_eq!(is_refused(&outcome, OrderRefusal::LateLease), !is_admitted, "{rule:?}");
    }
}

#[test]
fn expired_lease_admits_no_start() {
    let mut runner = runner();
    runner.lease_rule = LeaseRule::InForce;
    look(&mut runner, START.0 + 500, START);
    let outcome = start(&mut runner, 1, START.0 + 800, START.plus_ms(950));
    assert!(is_refused(&outcome, OrderRefusal::LateLease));
}

#[test]
fn order_does_not_revive_runs_whose_lease_has_expired() {
    let mut runner = runner();
    let _ = start(&mut runner, 1, START.0 + 300, START);
    look(&mut runner, START.0 + 1_200, START.plus_ms(301));
    assert_eq!(runner.lists(START).ended[0].end, RunEnd::Lapsed);
}

#[test]
fn next_life_knows_nothing_and_starts_its_clock_anew() {
    let mut runner = runner();
    let _ = start(&mut runner, 1, START.0 + 900, START);
    let _ = stop(&mut runner, 1, START);
    let born_at = START.plus_ms(400);
    runner.begin_life(born_at);
    assert_eq!(runner.clock(born_at.plus_ms(7)), 7);
    // The lease of an order to the former life is shortened to the longest that it grants.
    assert!(is_executed(&start(&mut runner, 1, START.0 + 900, born_at.plus_ms(7))));
    runner.tick(born_at.plus_ms(1_008), |_, _| 1_000);
    assert!(!runner.has_task(&task()));
}
