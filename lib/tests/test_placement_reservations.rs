//! Reservations of blocked tasks under loads in which narrow tasks fill the gaps that wide ones
//! cannot use.

use yuccamux::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect},
        cell_message::CellName,
        decision_record::DecisionEvent,
        endpoint_directory::EndpointRecord,
        endpoint_order::{EndpointOrder, ListedRun, OrderBody, OrderOutcome, RunLists},
        job_offer::{JobCode, JobOffer, JobStep, ResourceAmount, TaskRef},
    },
    prelude::*,
};

const CORES: u64 = 1_000;

/// A leader of endpoints of 32 cores, on which every start succeeds.
struct TestCell {
    dispatcher: CellDispatcher,
    now: ClockTime,
    /// Runs that were started and have not been ended by the test, by endpoint.
    running: Vec<(EndpointName, TaskRef, u32)>,
    events: Vec<DecisionEvent>,
}

fn record(name: &str) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::from(name),
        incarnation: 500,
        seq: 1,
        service: "s".to_owned(),
        address: format!("{name}:1"),
        centre: DataCentre::from("oslo"),
        rack: "r1".to_owned(),
        labels: Vec::new(),
        capacity: ResourceAmount { cpu: 32 * CORES, mem_mb: 1_000, gpu: 0 },
        leaving: false,
    }
}

/// A job of one step.
fn offer(code: u64, count: u32, cores: u64, declared_ms: u64) -> JobOffer {
    let step = JobStep {
        count,
        demand: ResourceAmount { cpu: cores * CORES, mem_mb: 10, gpu: 0 },
        declared_ms,
        after: Vec::new(),
        data_rack: None,
        label: None,
        max_on_endpoint: None,
    };
    JobOffer {
        job: JobCode(code),
        route: "route".to_owned(),
        service: "s".to_owned(),
        spec: "x".to_owned(),
        steps: vec![step],
        priority: 0,
        max_attempts: 2,
        stretch_milli: 1_600,
        slack_ms: 60,
        age_ms: 0,
        remaining_ms: 8_000,
        first_run: 0,
        number: code,
        token: 0,
        is_repeat: false,
        may_move: false,
        centre: DataCentre::from("munich"),
        was_refused: false,
    }
}

impl TestCell {
    fn new(names: &[&str]) -> TestCell {
        let cell = CellName {
            service: "s".to_owned(),
            centre: DataCentre::from("oslo"),
            rack: "r1".to_owned(),
        };
        let mut cell = TestCell {
            dispatcher: CellDispatcher::new(cell, 7, 0, true),
            now: ClockTime(1_000_000),
            running: Vec::new(),
            events: Vec::new(),
        };
        let records: Vec<EndpointRecord> = names.iter().map(|it| record(it)).collect();
        cell.dispatcher.set_endpoints(&records, cell.now);
        cell.answer_orders();
        cell
    }

    fn offer(&mut self, offer: JobOffer) {
        self.dispatcher.handle_offer(&VmName::from("front"), offer, self.now);
        self.answer_orders();
    }

    fn advance_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.now = self.now.plus_ms(10);
            self.dispatcher.tick(&VmName::from("front"), self.now);
            self.answer_orders();
        }
    }

    /// Accepts starts and answers polls with the runs so far, until no more orders come.
    fn answer_orders(&mut self) {
        loop {
            let mut orders = Vec::new();
            for effect in self.dispatcher.drain_effects() {
                match effect {
                    CellEffect::SendOrder(order) => orders.push(order),
                    CellEffect::LogDecision(record) => self.events.push(record.event),
                    _ => {}
                }
            }
            if orders
                .iter()
                .all(|it| matches!(it.body, OrderBody::Poll { wait_ms, .. } if 0 < wait_ms))
            {
                return;
            }
            for order in orders {
                self.answer(&order);
            }
        }
    }

    fn answer(&mut self, order: &EndpointOrder) {
        if let OrderBody::Start { task, run, .. } = &order.body {
            self.running.push((order.endpoint.clone(), *task, *run));
        }
        if matches!(order.body, OrderBody::Poll { wait_ms, .. } if 0 < wait_ms) {
            return;
        }
        let running = self.running.iter().filter(|(name, ..)| *name == order.endpoint);
        let running =
            running.map(|(_, task, run)| ListedRun { task: *task, run: *run, percent: 50 });
        let lists =
            RunLists { incarnation: Some(500), running: running.collect(), ended: Vec::new() };
        let outcome = OrderOutcome::Executed(self.now.0 + 77, Some(lists));
        self.dispatcher.handle_outcome(order, outcome, self.now);
    }

    /// Number of started tasks of a job.
    fn n_started(&self, code: u64) -> usize {
        self.running.iter().filter(|(_, task, _)| task.job == JobCode(code)).count()
    }

    fn n_events(&self, event: DecisionEvent) -> usize {
        self.events.iter().filter(|it| **it == event).count()
    }
}

/// A wide job has begun and waits for the rest of a 32-core endpoint. Narrow jobs that would
/// outlast the run it waits for took the free cores each time, so it waited without end.
#[test]
fn narrow_jobs_do_not_delay_a_begun_wide_job() {
    let mut cell = TestCell::new(&["a", "b"]);
    cell.offer(offer(1, 1, 16, 300));
    cell.offer(offer(2, 2, 19, 400));
    assert_eq!(cell.n_started(2), 1);
    cell.advance_ms(20);
    cell.offer(offer(3, 1, 13, 900));
    cell.offer(offer(4, 1, 14, 900));
    // One fits beside the wide task that runs; the other would delay the one that waits.
    assert_eq!(cell.n_started(3) + cell.n_started(4), 1);
    // The one that is held back has a reservation, too.
    assert_eq!(cell.n_events(DecisionEvent::TaskReserved), 2);
}

/// Short jobs arrive while a wide task waits for a long run. Without backfilling the cores
/// beside that run would idle until it ends.
#[test]
fn short_jobs_fill_the_time_before_a_reservation() {
    let mut cell = TestCell::new(&["a"]);
    cell.offer(offer(1, 1, 16, 300));
    cell.offer(offer(2, 1, 24, 400));
    cell.advance_ms(20);
    cell.offer(offer(3, 1, 13, 50));
    assert_eq!(cell.n_started(3), 1);
    assert_eq!(cell.n_started(2), 0);
}

/// A run takes many times its estimate. The endpoint where it runs must not idle for a wide task
/// that waits for its end.
#[test]
fn overdue_run_does_not_keep_an_endpoint_idle() {
    let mut cell = TestCell::new(&["a", "b"]);
    cell.offer(offer(1, 1, 16, 200));
    cell.offer(offer(2, 2, 24, 900));
    cell.advance_ms(250);
    // The run is a little late: its end is still expected. With less slack the narrow job would be
    // refused, as it could only end late in a cell that is full.
    cell.offer(JobOffer { slack_ms: 2_000, ..offer(3, 1, 13, 200) });
    assert_eq!(cell.n_started(3), 0);
    cell.advance_ms(200);
    assert_eq!(cell.n_started(3), 1);
}

/// A wide task waits for a run that does not end. The cores kept for it must not idle longer than
/// the time for which an endpoint is reserved (500 ms) and the longest overrun (250 ms), whatever
/// the run's estimate is.
#[test]
fn room_idles_for_a_reservation_no_longer_than_the_bound() {
    for declared_ms in [40, 200, 500, 700, 1_200, 4_000] {
        let mut cell = TestCell::new(&["a"]);
        cell.offer(offer(1, 1, 16, declared_ms));
        cell.offer(offer(2, 1, 24, 900));
        cell.offer(offer(3, 1, 13, 900));
        let begun_at = cell.now;
        while cell.n_started(3) == 0 && cell.now.since_ms(begun_at) <= 2_000 {
            cell.advance_ms(10);
        }
        let idle_ms = cell.now.since_ms(begun_at);
        assert!(idle_ms <= 500 + 250 + 20, "{idle_ms} ms for a run of {declared_ms} ms");
        assert_eq!(cell.n_started(2), 0);
    }
}
