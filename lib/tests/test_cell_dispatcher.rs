//! A cell's leader against endpoints played by hand: orders, proofs, refusals, takeover.

use yuccamux::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect},
        cell_message::CellName,
        endpoint_directory::EndpointRecord,
        endpoint_order::{
            EndpointOrder, ListedEnd, ListedRun, OrderBody, OrderOutcome, OrderRefusal, RunEnd,
            RunLists,
        },
        job_offer::{JobCode, JobOffer, JobResult, JobStep, RefusalCause, ResourceAmount, TaskRef},
    },
    prelude::*,
};

const START: ClockTime = ClockTime(1_000_000);
const BORN: u64 = 500;

struct Bench {
    dispatcher: CellDispatcher,
    now: ClockTime,
    orders: Vec<EndpointOrder>,
    verdicts: Vec<(JobCode, u64, JobResult)>,
    fenced: bool,
}

fn record(name: &str) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::from(name),
        incarnation: BORN,
        seq: 1,
        service: "s".to_owned(),
        address: format!("{name}:1"),
        centre: DataCentre::from("munich"),
        rack: "r1".to_owned(),
        labels: vec!["a".to_owned(), "r1".to_owned()],
        capacity: ResourceAmount { cpu: 16_000, mem_mb: 1_000, gpu: 0 },
        leaving: false,
    }
}

fn offer(code: u64, count: u32) -> JobOffer {
    JobOffer {
        job: JobCode(code),
        route: "route".to_owned(),
        service: "s".to_owned(),
        spec: "x".to_owned(),
        steps: vec![JobStep {
            count,
            demand: ResourceAmount { cpu: 7_000, mem_mb: 10, gpu: 0 },
            declared_ms: 100,
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
        remaining_ms: 2_000,
        first_run: 0,
        number: code,
        token: 0,
        is_repeat: false,
        may_move: false,
    }
}

/// An offer whose tasks take four times as long.
fn long_offer(code: u64, count: u32) -> JobOffer {
    let mut offer = offer(code, count);
    offer.steps[0].declared_ms = 400;
    offer
}

fn task(code: u64, idx: u32) -> TaskRef {
    TaskRef { job: JobCode(code), step: 0, idx }
}

fn front() -> VmName {
    VmName::from("front")
}

impl Bench {
    /// A leader whose endpoints have not answered yet.
    fn unclaimed(names: &[&str]) -> Bench {
        let cell = CellName {
            service: "s".to_owned(),
            centre: DataCentre::from("munich"),
            rack: "r1".to_owned(),
        };
        let mut bench = Bench {
            dispatcher: CellDispatcher::new(cell, 7, 0, true),
            now: START,
            orders: Vec::new(),
            verdicts: Vec::new(),
            fenced: false,
        };
        let records: Vec<EndpointRecord> = names.iter().map(|it| record(it)).collect();
        bench.dispatcher.set_endpoints(&records, bench.now);
        bench.drain();
        bench
    }

    /// A leader whose endpoints run nothing.
    fn new(names: &[&str]) -> Bench {
        let mut bench = Bench::unclaimed(names);
        for name in names {
            bench.answer_look(name, &[], &[]);
        }
        bench.orders.clear();
        bench
    }

    fn drain(&mut self) {
        for effect in self.dispatcher.drain_effects() {
            match effect {
                CellEffect::SendOrder(order) => self.orders.push(order),
                CellEffect::ReportResult(_, code, number, verdict) => {
                    self.verdicts.push((code, number, verdict));
                }
                CellEffect::Fenced => self.fenced = true,
                CellEffect::LogDecision(_) => {}
            }
        }
    }

    fn offer(&mut self, offer: JobOffer) {
        self.dispatcher.handle_offer(&front(), offer, self.now);
        self.drain();
    }

    fn pass_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.now = self.now.plus_ms(10);
            self.dispatcher.tick(&front(), self.now);
            self.drain();
        }
    }

    fn clock(&self) -> u64 {
        self.now.0 + 77
    }

    fn answer(&mut self, order: &EndpointOrder, outcome: OrderOutcome) {
        self.dispatcher.handle_outcome(order, outcome, self.now);
        self.drain();
    }

    fn accept(&mut self, order: &EndpointOrder) {
        let clock = self.clock();
        self.answer(order, OrderOutcome::Executed(clock, Some(RunLists::default())));
    }

    /// Takes the open look of an endpoint and answers it.
    fn answer_look(&mut self, name: &str, running: &[(TaskRef, u32)], ended: &[ListedEnd]) {
        self.answer_look_of(name, BORN, running, ended);
    }

    fn answer_look_of(
        &mut self,
        name: &str,
        born: u64,
        running: &[(TaskRef, u32)],
        ended: &[ListedEnd],
    ) {
        let is_look = |it: &EndpointOrder| {
            it.endpoint.as_str() == name && matches!(it.body, OrderBody::Poll { .. })
        };
        let idx = self.orders.iter().rposition(is_look).expect("a look is open");
        let order = self.orders.remove(idx);
        let running =
            running.iter().map(|(task, run)| ListedRun { task: *task, run: *run, percent: 50 });
        let lists =
            RunLists { incarnation: Some(born), running: running.collect(), ended: ended.to_vec() };
        let clock = self.clock();
        self.answer(&order, OrderOutcome::Executed(clock, Some(lists)));
    }

    /// Takes the starts that were ordered.
    fn starts(&mut self) -> Vec<EndpointOrder> {
        let (starts, others) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|it| matches!(it.body, OrderBody::Start { .. }));
        self.orders = others;
        starts
    }

    /// Takes the stops that were ordered.
    fn stops(&mut self) -> Vec<EndpointOrder> {
        let (stops, others) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|it| matches!(it.body, OrderBody::Stop { .. }));
        self.orders = others;
        stops
    }

    /// Orders a job and has its starts accepted.
    fn begin(&mut self, offer: JobOffer) -> Vec<EndpointOrder> {
        self.offer(offer);
        let starts = self.starts();
        for start in &starts {
            self.accept(start);
        }
        starts
    }
}

fn end(number: u64, task: TaskRef, run: u32, end: RunEnd) -> ListedEnd {
    ListedEnd { number, task, run, end }
}

#[test]
fn job_ends_with_its_last_task() {
    let mut bench = Bench::new(&["a"]);
    let starts = bench.begin(offer(1, 2));
    assert_eq!(starts.len(), 2);
    bench.answer_look("a", &[(task(1, 1), 1)], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert!(bench.verdicts.is_empty());
    bench.answer_look("a", &[], &[end(2, task(1, 1), 1, RunEnd::Done)]);
    assert_eq!(bench.verdicts, [(JobCode(1), 1, JobResult::Completed)]);
}

#[test]
fn tasks_beyond_the_room_wait() {
    let mut bench = Bench::new(&["a"]);
    assert_eq!(bench.begin(offer(1, 3)).len(), 2);
    bench.answer_look("a", &[(task(1, 1), 1)], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn refused_offer_that_is_sent_again_stays_refused() {
    let mut bench = Bench::new(&["a"]);
    let hopeless = JobOffer { remaining_ms: 20, ..offer(1, 1) };
    bench.offer(hopeless.clone());
    let refused = JobResult::Refused(RefusalCause::Hopeless, 200);
    assert_eq!(bench.verdicts, [(JobCode(1), 1, refused.clone())]);
    // The copy crossed the refusal; by now there would be time for it.
    bench.offer(JobOffer { remaining_ms: 2_000, ..hopeless });
    assert_eq!(bench.verdicts[1..], [(JobCode(1), 1, refused)]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn refused_caller_that_comes_back_is_served() {
    let mut bench = Bench::new(&["a"]);
    bench.offer(JobOffer { remaining_ms: 20, ..offer(1, 1) });
    bench.offer(JobOffer { number: 9, ..offer(1, 1) });
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn repeated_job_waits_until_every_endpoint_has_listed_its_runs() {
    let mut bench = Bench::unclaimed(&["a", "b"]);
    bench.answer_look("a", &[], &[]);
    bench.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    assert_eq!(bench.starts(), []);
    bench.answer_look("b", &[(task(1, 0), 1)], &[]);
    assert_eq!(bench.starts(), []);
    bench.answer_look("b", &[], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert_eq!(bench.verdicts, [(JobCode(1), 1, JobResult::Completed)]);
}

#[test]
fn repeated_job_is_placed_once_leases_have_run_out() {
    let mut bench = Bench::unclaimed(&["a", "b"]);
    bench.answer_look("a", &[], &[]);
    bench.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    bench.pass_ms(1_100);
    assert_eq!(bench.starts(), []);
    bench.pass_ms(60);
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn end_that_came_before_its_job_counts() {
    let mut bench = Bench::unclaimed(&["a"]);
    bench.answer_look("a", &[], &[end(4, task(1, 0), 3, RunEnd::Done)]);
    bench.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    assert_eq!(bench.verdicts, [(JobCode(1), 1, JobResult::Completed)]);
}

#[test]
fn unclaimed_run_of_a_former_leader_gets_no_lease_and_is_stopped() {
    let mut bench = Bench::unclaimed(&["a"]);
    bench.answer_look("a", &[(task(1, 0), 1)], &[]);
    let leases = |it: &EndpointOrder| it.lease_until.is_some();
    bench.pass_ms(200);
    assert!(!bench.orders.iter().any(leases));
    assert_eq!(bench.stops(), []);
    bench.pass_ms(150);
    assert_eq!(bench.stops().len(), 1);
    assert!(!bench.orders.iter().any(leases));
}

#[test]
fn start_without_an_answer_goes_elsewhere_only_after_a_stop() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.offer(offer(1, 1));
    let start = bench.starts().remove(0);
    let name = start.endpoint.to_string();
    bench.pass_ms(200);
    bench.answer(&start, OrderOutcome::Lost);
    assert_eq!(bench.starts(), []);
    bench.pass_ms(10);
    // This look was sent before the start was in doubt, so it proves nothing.
    bench.answer_look(&name, &[], &[]);
    assert_eq!(bench.stops(), []);
    bench.pass_ms(10);
    bench.answer_look(&name, &[], &[]);
    let stop = bench.stops().remove(0);
    assert_eq!(bench.starts(), []);
    bench.accept(&stop);
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn start_without_an_answer_that_is_listed_goes_on() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.offer(offer(1, 1));
    let start = bench.starts().remove(0);
    let name = start.endpoint.to_string();
    bench.pass_ms(200);
    bench.answer(&start, OrderOutcome::Lost);
    bench.pass_ms(10);
    bench.answer_look(&name, &[(task(1, 0), 1)], &[]);
    assert_eq!(bench.stops(), []);
    bench.answer_look(&name, &[], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert_eq!(bench.verdicts, [(JobCode(1), 1, JobResult::Completed)]);
}

#[test]
fn silent_endpoint_gets_no_lease_and_its_task_moves_when_the_lease_is_over() {
    let mut bench = Bench::new(&["a", "b"]);
    let start = bench.begin(offer(1, 1)).remove(0);
    let silent = start.endpoint.clone();
    let began_at = bench.now;
    while bench.now.since_ms(began_at) < 1_500 {
        bench.pass_ms(20);
        for order in std::mem::take(&mut bench.orders) {
            if order.endpoint == silent {
                assert!(order.lease_until.is_none_or(|it| it <= began_at.0 + 77 + 900));
                bench.answer(&order, OrderOutcome::Lost);
            } else if matches!(order.body, OrderBody::Start { .. }) {
                assert!(800 < bench.now.since_ms(began_at), "{}", bench.now);
                return;
            } else {
                bench.accept(&order);
            }
        }
    }
    panic!("the task was not ordered elsewhere");
}

#[test]
fn adopted_run_on_an_endpoint_that_goes_silent_waits_for_the_former_lease() {
    let mut bench = Bench::unclaimed(&["a", "b"]);
    bench.answer_look("a", &[(task(1, 0), 1)], &[]);
    bench.answer_look("b", &[], &[]);
    bench.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    let began_at = bench.now;
    while bench.starts().is_empty() {
        bench.pass_ms(20);
        for order in std::mem::take(&mut bench.orders) {
            match order.body {
                OrderBody::Start { .. } => {
                    assert!(1_000 < bench.now.since_ms(began_at), "{}", bench.now);
                    return;
                }
                _ if order.endpoint.as_str() == "a" => bench.answer(&order, OrderOutcome::Lost),
                _ => bench.accept(&order),
            }
        }
        assert!(bench.now.since_ms(began_at) < 3_000);
    }
}

#[test]
fn run_in_another_life_is_not_ordered_twice() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.offer(offer(1, 1));
    let start = bench.starts().remove(0);
    let reborn = EndpointRecord { incarnation: BORN + 9, ..record(start.endpoint.as_str()) };
    let other = if start.endpoint.as_str() == "a" { record("b") } else { record("a") };
    bench.dispatcher.set_endpoints(&[reborn, other], bench.now);
    bench.drain();
    assert_eq!(bench.starts(), []);
    // The order reached the new life.
    bench.answer_look_of(start.endpoint.as_str(), BORN + 9, &[(task(1, 0), 1)], &[]);
    assert_eq!((bench.starts(), bench.stops()), (vec![], vec![]));
}

#[test]
fn leaving_endpoint_gets_no_start() {
    let mut bench = Bench::new(&["a"]);
    let leaving = EndpointRecord { leaving: true, seq: 2, ..record("a") };
    bench.dispatcher.set_endpoints(&[leaving], bench.now);
    bench.offer(offer(1, 1));
    assert_eq!(bench.starts(), []);
}

#[test]
fn one_fence_stops_every_order() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.offer(offer(1, 1));
    let start = bench.starts().remove(0);
    let clock = bench.clock();
    bench.answer(&start, OrderOutcome::Refused(OrderRefusal::Fenced, Some(clock)));
    assert!(bench.fenced);
    bench.offer(offer(2, 1));
    bench.pass_ms(100);
    assert_eq!(bench.starts(), []);
}

#[test]
fn given_up_cell_returns_its_jobs() {
    let mut bench = Bench::new(&["a"]);
    bench.begin(offer(1, 1));
    bench.dispatcher.release_cell(bench.now);
    bench.drain();
    assert_eq!(bench.verdicts, [(JobCode(1), 1, JobResult::NotLeader)]);
}

#[test]
fn failing_endpoint_is_quarantined_and_the_task_goes_elsewhere() {
    let mut bench = Bench::new(&["a", "b"]);
    let starts = bench.begin(JobOffer { max_attempts: 4, ..offer(1, 2) });
    let bad = starts[0].endpoint.to_string();
    let ends = [end(1, task(1, 0), 1, RunEnd::Failed), end(2, task(1, 1), 1, RunEnd::Failed)];
    bench.answer_look(&bad, &[], &ends);
    let again = bench.starts();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|it| it.endpoint.as_str() != bad));
}

#[test]
fn job_fails_when_a_task_has_failed_as_often_as_it_may() {
    let mut bench = Bench::new(&["a", "b"]);
    let first = bench.begin(offer(1, 1)).remove(0);
    let failed = end(1, task(1, 0), 1, RunEnd::Failed);
    bench.answer_look(first.endpoint.as_str(), &[], &[failed]);
    let second = bench.starts().remove(0);
    bench.accept(&second);
    let failed = end(1, task(1, 0), 2, RunEnd::Failed);
    bench.answer_look(second.endpoint.as_str(), &[], &[failed]);
    assert_eq!(bench.verdicts, [(JobCode(1), 1, JobResult::Failed)]);
}

#[test]
fn job_whose_caller_left_is_stopped() {
    let mut bench = Bench::new(&["a"]);
    bench.begin(offer(1, 2));
    bench.dispatcher.cancel(JobCode(1), bench.now);
    bench.drain();
    assert_eq!(bench.stops().len(), 2);
}

#[test]
fn job_that_its_entry_no_longer_confirms_is_stopped() {
    let mut bench = Bench::new(&["a"]);
    bench.begin(offer(1, 1));
    let own = VmName::from("leader");
    for _ in 0..10 {
        bench.now = bench.now.plus_ms(90);
        bench.dispatcher.tick(&own, bench.now);
    }
    bench.drain();
    assert_eq!(bench.stops(), []);
    assert_eq!(bench.dispatcher.handle_keep_alive(&front(), JobCode(1), 1, bench.now), None);
    bench.now = bench.now.plus_ms(1_000);
    bench.dispatcher.tick(&own, bench.now);
    bench.drain();
    assert_eq!(bench.stops().len(), 1);
}

#[test]
fn job_that_fits_nowhere_is_refused_at_once() {
    let mut bench = Bench::new(&["a"]);
    let mut large = offer(1, 1);
    large.steps[0].demand.cpu = 17_000;
    bench.offer(large);
    assert_eq!(bench.verdicts, [(JobCode(1), 1, JobResult::Refused(RefusalCause::NeverFits, 200))]);
}

#[test]
fn job_that_may_move_is_given_back_unstarted_when_it_would_be_late() {
    let mut bench = Bench::new(&["a"]);
    assert_eq!(bench.begin(long_offer(1, 2)).len(), 2);
    bench.offer(JobOffer { may_move: true, ..offer(2, 2) });
    let [(JobCode(2), 2, JobResult::Crowded(wait_ms))] = bench.verdicts[..] else {
        panic!("not given back: {:?}", bench.verdicts);
    };
    assert!((300..=400).contains(&wait_ms), "{wait_ms}");
    // It comes back, to stay.
    bench.verdicts.clear();
    bench.offer(JobOffer { number: 7, ..offer(2, 2) });
    assert_eq!((bench.verdicts.len(), bench.starts().len()), (0, 0));
}

#[test]
fn job_that_has_begun_goes_before_newer_ones() {
    let mut bench = Bench::new(&["a"]);
    assert_eq!(bench.begin(offer(1, 3)).len(), 2);
    // By now the first job is late, and the second could still end in time.
    bench.pass_ms(230);
    bench.offer(offer(2, 1));
    bench.answer_look("a", &[(task(1, 1), 1)], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    assert!(matches!(starts[0].body, OrderBody::Start { task: it, .. } if it == task(1, 2)));
}

#[test]
fn burst_that_cannot_be_served_is_refused_on_arrival() {
    let mut bench = Bench::new(&["a"]);
    for code in 1..=40 {
        bench.offer(offer(code, 2));
    }
    let n_refused = bench.verdicts.len();
    assert!(0 < n_refused, "nothing was refused");
    assert!(bench.verdicts.iter().all(|(_, _, it)| {
        matches!(it, JobResult::Refused(RefusalCause::Hopeless, after_ms) if 200 <= *after_ms)
    }));
}
