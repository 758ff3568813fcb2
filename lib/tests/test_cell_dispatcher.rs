//! Cell dispatcher with scripted endpoints: orders, requeueing, refusals, change of leader.

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
const INCARNATION: u64 = 500;

struct TestLeader {
    dispatcher: CellDispatcher,
    now: ClockTime,
    orders: Vec<EndpointOrder>,
    results: Vec<(JobCode, u64, JobResult)>,
    fenced: bool,
}

fn record(name: &str) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::from(name),
        incarnation: INCARNATION,
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
        centre: DataCentre::from(""),
        was_refused: false,
    }
}

/// An offer with tasks four times as long as those of `offer`.
fn long_offer(code: u64, count: u32) -> JobOffer {
    let mut offer = offer(code, count);
    offer.steps[0].declared_ms = 400;
    offer
}

fn task(code: u64, idx: u32) -> TaskRef {
    TaskRef { job: JobCode(code), step: 0, idx }
}

fn origin() -> VmName {
    VmName::from("front")
}

impl TestLeader {
    /// A leader whose endpoints have not accepted its token yet.
    fn unclaimed(names: &[&str]) -> TestLeader {
        let cell = CellName {
            service: "s".to_owned(),
            centre: DataCentre::from("munich"),
            rack: "r1".to_owned(),
        };
        let mut leader = TestLeader {
            dispatcher: CellDispatcher::new(cell, 7, 0, true),
            now: START,
            orders: Vec::new(),
            results: Vec::new(),
            fenced: false,
        };
        let records: Vec<EndpointRecord> = names.iter().map(|it| record(it)).collect();
        leader.dispatcher.set_endpoints(&records, leader.now);
        leader.drain();
        leader
    }

    /// A leader whose endpoints have accepted its token and run nothing.
    fn new(names: &[&str]) -> TestLeader {
        let mut leader = TestLeader::unclaimed(names);
        for name in names {
            leader.answer_poll(name, &[], &[]);
        }
        leader.orders.clear();
        leader
    }

    fn drain(&mut self) {
        for effect in self.dispatcher.drain_effects() {
            match effect {
                CellEffect::SendOrder(order) => self.orders.push(order),
                CellEffect::ReportResult(_, code, number, result) => {
                    self.results.push((code, number, result));
                }
                CellEffect::Fenced => self.fenced = true,
                CellEffect::LogDecision(_) => {}
            }
        }
    }

    fn offer(&mut self, offer: JobOffer) {
        self.dispatcher.handle_offer(&origin(), offer, self.now);
        self.drain();
    }

    fn advance_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.now = self.now.plus_ms(10);
            self.dispatcher.tick(&origin(), self.now);
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

    /// Answers the pending poll of an endpoint.
    fn answer_poll(&mut self, name: &str, running: &[(TaskRef, u32)], ended: &[ListedEnd]) {
        self.answer_poll_as(name, INCARNATION, running, ended);
    }

    fn answer_poll_as(
        &mut self,
        name: &str,
        incarnation: u64,
        running: &[(TaskRef, u32)],
        ended: &[ListedEnd],
    ) {
        let is_poll = |it: &EndpointOrder| {
            it.endpoint.as_str() == name && matches!(it.body, OrderBody::Poll { .. })
        };
        let idx = self.orders.iter().rposition(is_poll).expect("no poll is pending");
        let order = self.orders.remove(idx);
        let running =
            running.iter().map(|(task, run)| ListedRun { task: *task, run: *run, percent: 50 });
        let lists = RunLists {
            incarnation: Some(incarnation),
            running: running.collect(),
            ended: ended.to_vec(),
        };
        let clock = self.clock();
        self.answer(&order, OrderOutcome::Executed(clock, Some(lists)));
    }

    /// Drains the starts ordered so far.
    fn starts(&mut self) -> Vec<EndpointOrder> {
        let (starts, others) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|it| matches!(it.body, OrderBody::Start { .. }));
        self.orders = others;
        starts
    }

    /// Drains the stops ordered so far.
    fn stops(&mut self) -> Vec<EndpointOrder> {
        let (stops, others) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|it| matches!(it.body, OrderBody::Stop { .. }));
        self.orders = others;
        stops
    }

    /// Offers a job and accepts its starts.
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
    let mut leader = TestLeader::new(&["a"]);
    let starts = leader.begin(offer(1, 2));
    assert_eq!(starts.len(), 2);
    leader.answer_poll("a", &[(task(1, 1), 1)], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert!(leader.results.is_empty());
    leader.answer_poll("a", &[], &[end(2, task(1, 1), 1, RunEnd::Done)]);
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::Completed)]);
}

#[test]
fn tasks_beyond_the_capacity_wait() {
    let mut leader = TestLeader::new(&["a"]);
    assert_eq!(leader.begin(offer(1, 3)).len(), 2);
    leader.answer_poll("a", &[(task(1, 1), 1)], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert_eq!(leader.starts().len(), 1);
}

#[test]
fn resent_offer_stays_refused() {
    let mut leader = TestLeader::new(&["a"]);
    let hopeless = JobOffer { remaining_ms: 20, ..offer(1, 1) };
    leader.offer(hopeless.clone());
    let refused = JobResult::Refused(RefusalCause::Hopeless, 200);
    assert_eq!(leader.results, [(JobCode(1), 1, refused.clone())]);
    // The copy was sent before the refusal arrived; its own deadline could be met.
    leader.offer(JobOffer { remaining_ms: 2_000, ..hopeless });
    assert_eq!(leader.results[1..], [(JobCode(1), 1, refused)]);
    assert_eq!(leader.starts(), []);
}

#[test]
fn new_offer_of_a_refused_job_is_served() {
    let mut leader = TestLeader::new(&["a"]);
    leader.offer(JobOffer { remaining_ms: 20, ..offer(1, 1) });
    leader.offer(JobOffer { number: 9, ..offer(1, 1) });
    assert_eq!(leader.starts().len(), 1);
}

#[test]
fn repeated_job_waits_until_every_endpoint_has_listed_its_runs() {
    let mut leader = TestLeader::unclaimed(&["a", "b"]);
    leader.answer_poll("a", &[], &[]);
    leader.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    assert_eq!(leader.starts(), []);
    leader.answer_poll("b", &[(task(1, 0), 1)], &[]);
    assert_eq!(leader.starts(), []);
    leader.answer_poll("b", &[], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::Completed)]);
}

/// Guards against repeated jobs that wait for a former endpoint for good: another one answers at its
/// address. A former leader's lease may still hold if the address is another writer's.
#[test]
fn repeated_job_waits_for_a_displaced_endpoint_only_as_long_as_a_lease_may_last() {
    let mut leader = TestLeader::unclaimed(&["a", "b"]);
    leader.answer_poll("a", &[], &[]);
    let poll = leader.orders.iter().find(|it| it.endpoint.as_str() == "b").unwrap().clone();
    leader.answer(&poll, OrderOutcome::Refused(OrderRefusal::OtherLife, None));
    leader.advance_ms(400);
    leader.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    leader.advance_ms(600);
    assert_eq!(leader.starts(), []);
    leader.advance_ms(60);
    assert_eq!(leader.starts().len(), 1);
}

/// Guards against starts that a former endpoint can't take: another one answers at its address,
/// and its room is not the former one's.
#[test]
fn displaced_endpoint_gets_no_start_until_it_is_claimed_anew() {
    let mut leader = TestLeader::new(&["a"]);
    let starts = leader.begin(offer(1, 1));
    leader.offer(offer(2, 1));
    let start = leader.starts().pop().unwrap();
    leader.answer(&start, OrderOutcome::Refused(OrderRefusal::OtherLife, None));
    assert_eq!(starts.len(), 1);
    leader.advance_ms(1_900);
    leader.offer(offer(3, 1));
    leader.advance_ms(300);
    assert_eq!(leader.starts(), []);
    leader.answer_poll("a", &[], &[]);
    leader.offer(offer(4, 1));
    assert!(!leader.starts().is_empty());
}

#[test]
fn repeated_job_is_placed_once_leases_have_expired() {
    let mut leader = TestLeader::unclaimed(&["a", "b"]);
    leader.answer_poll("a", &[], &[]);
    leader.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    leader.advance_ms(1_100);
    assert_eq!(leader.starts(), []);
    leader.advance_ms(60);
    assert_eq!(leader.starts().len(), 1);
}

#[test]
fn end_reported_before_its_job_is_offered_counts() {
    let mut leader = TestLeader::unclaimed(&["a"]);
    leader.answer_poll("a", &[], &[end(4, task(1, 0), 3, RunEnd::Done)]);
    leader.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::Completed)]);
}

#[test]
fn orphan_gets_no_lease_and_is_stopped() {
    let mut leader = TestLeader::unclaimed(&["a"]);
    leader.answer_poll("a", &[(task(1, 0), 1)], &[]);
    let leases = |it: &EndpointOrder| it.lease_until.is_some();
    leader.advance_ms(200);
    assert!(!leader.orders.iter().any(leases));
    assert_eq!(leader.stops(), []);
    leader.advance_ms(150);
    assert_eq!(leader.stops().len(), 1);
    assert!(!leader.orders.iter().any(leases));
}

#[test]
fn unanswered_start_is_requeued_only_after_a_stop() {
    let mut leader = TestLeader::new(&["a", "b"]);
    leader.offer(offer(1, 1));
    let start = leader.starts().remove(0);
    let name = start.endpoint.to_string();
    leader.advance_ms(200);
    leader.answer(&start, OrderOutcome::Lost);
    assert_eq!(leader.starts(), []);
    leader.advance_ms(10);
    // This poll was sent before the start was in doubt, so it proves nothing.
    leader.answer_poll(&name, &[], &[]);
    assert_eq!(leader.stops(), []);
    leader.advance_ms(10);
    leader.answer_poll(&name, &[], &[]);
    let stop = leader.stops().remove(0);
    assert_eq!(leader.starts(), []);
    leader.accept(&stop);
    assert_eq!(leader.starts(), []);
    leader.advance_ms(60);
    assert_eq!(leader.starts().len(), 1);
}

// Guards against a second start while a stop is in progress: the first start had arrived just
// before the stop, which the endpoint acknowledged at once and took its time to carry out.
#[test]
fn acknowledged_stop_of_an_unlisted_run_proves_nothing_until_a_stop_has_passed() {
    let mut leader = TestLeader::new(&["a", "b"]);
    leader.offer(offer(1, 1));
    let start = leader.starts().remove(0);
    let name = start.endpoint.to_string();
    leader.advance_ms(200);
    leader.answer(&start, OrderOutcome::Lost);
    leader.advance_ms(10);
    leader.answer_poll(&name, &[], &[]);
    leader.advance_ms(10);
    leader.answer_poll(&name, &[], &[]);
    let stop = leader.stops().remove(0);
    leader.accept(&stop);
    leader.advance_ms(50);
    assert_eq!(leader.starts(), []);
    // Once its end is listed, nothing has to be waited for.
    leader.answer_poll(&name, &[], &[end(1, task(1, 0), 1, RunEnd::Stopped)]);
    assert_eq!(leader.starts().len(), 1);
}

#[test]
fn unanswered_start_that_is_listed_continues() {
    let mut leader = TestLeader::new(&["a", "b"]);
    leader.offer(offer(1, 1));
    let start = leader.starts().remove(0);
    let name = start.endpoint.to_string();
    leader.advance_ms(200);
    leader.answer(&start, OrderOutcome::Lost);
    leader.advance_ms(10);
    leader.answer_poll(&name, &[(task(1, 0), 1)], &[]);
    assert_eq!(leader.stops(), []);
    leader.answer_poll(&name, &[], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::Completed)]);
}

#[test]
fn silent_endpoint_gets_no_lease_and_its_task_moves_when_the_lease_expires() {
    let mut leader = TestLeader::new(&["a", "b"]);
    let start = leader.begin(offer(1, 1)).remove(0);
    let silent = start.endpoint.clone();
    let began_at = leader.now;
    while leader.now.since_ms(began_at) < 1_500 {
        leader.advance_ms(20);
        for order in std::mem::take(&mut leader.orders) {
            if order.endpoint == silent {
                assert!(order.lease_until.is_none_or(|it| it <= began_at.0 + 77 + 900));
                leader.answer(&order, OrderOutcome::Lost);
            } else if matches!(order.body, OrderBody::Start { .. }) {
                assert!(800 < leader.now.since_ms(began_at), "{}", leader.now);
                return;
            } else {
                leader.accept(&order);
            }
        }
    }
    panic!("the task was not started on another endpoint");
}

#[test]
fn adopted_run_on_an_endpoint_that_goes_silent_waits_for_the_former_lease() {
    let mut leader = TestLeader::unclaimed(&["a", "b"]);
    leader.answer_poll("a", &[(task(1, 0), 1)], &[]);
    leader.answer_poll("b", &[], &[]);
    leader.offer(JobOffer { is_repeat: true, ..offer(1, 1) });
    let began_at = leader.now;
    while leader.starts().is_empty() {
        leader.advance_ms(20);
        for order in std::mem::take(&mut leader.orders) {
            match order.body {
                OrderBody::Start { .. } => {
                    assert!(1_000 < leader.now.since_ms(began_at), "{}", leader.now);
                    return;
                }
                _ if order.endpoint.as_str() == "a" => leader.answer(&order, OrderOutcome::Lost),
                _ => leader.accept(&order),
            }
        }
        assert!(leader.now.since_ms(began_at) < 3_000);
    }
}

#[test]
fn run_in_another_incarnation_is_not_started_twice() {
    let mut leader = TestLeader::new(&["a", "b"]);
    leader.offer(offer(1, 1));
    let start = leader.starts().remove(0);
    let restarted =
        EndpointRecord { incarnation: INCARNATION + 9, ..record(start.endpoint.as_str()) };
    let other = if start.endpoint.as_str() == "a" { record("b") } else { record("a") };
    leader.dispatcher.set_endpoints(&[restarted, other], leader.now);
    leader.drain();
    assert_eq!(leader.starts(), []);
    // The order reached the new incarnation.
    leader.answer_poll_as(start.endpoint.as_str(), INCARNATION + 9, &[(task(1, 0), 1)], &[]);
    assert_eq!((leader.starts(), leader.stops()), (vec![], vec![]));
}

// Guards against a task at work twice after a late departure: it meant the former incarnation of an
// endpoint that works on.
#[test]
fn runs_of_an_endpoint_announced_as_gone_go_on() {
    let mut leader = TestLeader::new(&["a", "b"]);
    let start = leader.begin(offer(1, 1)).remove(0);
    let name = start.endpoint.to_string();
    let other = if name == "a" { record("b") } else { record("a") };
    leader.dispatcher.set_endpoints(&[other], leader.now);
    leader.advance_ms(200);
    assert_eq!(leader.starts(), []);
    leader.answer_poll(&name, &[], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::Completed)]);
    leader.offer(offer(2, 2));
    assert!(leader.starts().iter().all(|it| it.endpoint.as_str() != name));
}

#[test]
fn task_of_an_endpoint_that_is_gone_moves_when_its_lease_expires() {
    let mut leader = TestLeader::new(&["a", "b"]);
    let start = leader.begin(offer(1, 1)).remove(0);
    let other = if start.endpoint.as_str() == "a" { record("b") } else { record("a") };
    leader.dispatcher.set_endpoints(&[other], leader.now);
    let departed_at = leader.now;
    while leader.now.since_ms(departed_at) < 1_200 {
        leader.advance_ms(20);
        for order in std::mem::take(&mut leader.orders) {
            if order.endpoint == start.endpoint {
                leader.answer(&order, OrderOutcome::NotSent);
            } else if matches!(order.body, OrderBody::Start { .. }) {
                assert!(800 < leader.now.since_ms(departed_at), "{}", leader.now);
                return;
            }
        }
    }
    panic!("the task was not started on another endpoint");
}

// Guards against a task at work twice after one start came too late: the endpoint's clock counts as
// unknown then, but not its lease as expired.
#[test]
fn refusal_of_a_late_lease_does_not_end_the_lease_of_other_runs() {
    let mut leader = TestLeader::new(&["a"]);
    leader.begin(long_offer(1, 1));
    leader.offer(long_offer(2, 1));
    let late = leader.starts().remove(0);
    let clock = leader.clock();
    leader.answer(&late, OrderOutcome::Refused(OrderRefusal::LateLease, Some(clock)));
    for poll in std::mem::take(&mut leader.orders) {
        leader.answer(&poll, OrderOutcome::Lost);
    }
    for _ in 0..6 {
        leader.advance_ms(10);
        for order in std::mem::take(&mut leader.orders) {
            let is_second =
                matches!(order.body, OrderBody::Start { task, .. } if task.job == JobCode(1));
            assert!(!is_second, "{order:?}");
            leader.accept(&order);
        }
    }
}

// Guards against a lost cell: an endpoint that has left for another one obeys that one's leader.
#[test]
fn departed_endpoint_does_not_fence_its_former_cell() {
    let mut leader = TestLeader::new(&["a", "b"]);
    let start = leader.begin(offer(1, 1)).remove(0);
    let other = if start.endpoint.as_str() == "a" { record("b") } else { record("a") };
    leader.dispatcher.set_endpoints(&[other], leader.now);
    let departed_at = leader.now;
    let clock = leader.clock();
    while leader.starts().is_empty() {
        leader.advance_ms(20);
        for order in std::mem::take(&mut leader.orders) {
            if order.endpoint == start.endpoint {
                leader.answer(&order, OrderOutcome::Refused(OrderRefusal::Fenced, Some(clock)));
            } else if matches!(order.body, OrderBody::Start { .. }) {
                assert!(!leader.fenced);
                return;
            }
        }
        assert!(leader.now.since_ms(departed_at) < 1_500, "its task was not placed again");
    }
}

// Guards against giving up the runs of a live endpoint: its poll had told of an incarnation that
// the announcement at hand did not know yet.
#[test]
fn older_announcement_does_not_undo_a_newer_incarnation() {
    let mut leader = TestLeader::new(&["a"]);
    leader.offer(offer(1, 1));
    let start = leader.starts().remove(0);
    let newer = INCARNATION + 9;
    leader.answer(&start, OrderOutcome::Lost);
    leader.advance_ms(10);
    leader.answer_poll_as("a", newer, &[(task(1, 0), 1)], &[]);
    leader.answer_poll_as("a", newer, &[(task(1, 0), 1)], &[]);
    leader.orders.clear();
    leader.dispatcher.set_endpoints(&[record("a")], leader.now);
    leader.drain();
    // The poll that waits for the run's end goes on, and no other one claims the endpoint again.
    assert_eq!(leader.orders, []);
    leader.offer(offer(2, 1));
    assert_eq!(leader.starts(), []);
    leader
        .dispatcher
        .set_endpoints(&[EndpointRecord { incarnation: newer, ..record("a") }], leader.now);
    leader.drain();
    assert_eq!(leader.starts().len(), 1);
}

#[test]
fn leaving_endpoint_gets_no_start() {
    let mut leader = TestLeader::new(&["a"]);
    let leaving = EndpointRecord { leaving: true, seq: 2, ..record("a") };
    leader.dispatcher.set_endpoints(&[leaving], leader.now);
    leader.offer(offer(1, 1));
    assert_eq!(leader.starts(), []);
}

#[test]
fn fenced_leader_sends_no_starts() {
    let mut leader = TestLeader::new(&["a", "b"]);
    leader.offer(offer(1, 1));
    let start = leader.starts().remove(0);
    let clock = leader.clock();
    leader.answer(&start, OrderOutcome::Refused(OrderRefusal::Fenced, Some(clock)));
    assert!(leader.fenced);
    leader.offer(offer(2, 1));
    leader.advance_ms(100);
    assert_eq!(leader.starts(), []);
}

#[test]
fn released_cell_returns_its_jobs() {
    let mut leader = TestLeader::new(&["a"]);
    leader.begin(offer(1, 1));
    leader.dispatcher.release_cell(leader.now);
    leader.drain();
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::NotLeader)]);
}

#[test]
fn failing_endpoint_is_quarantined_and_its_tasks_move() {
    let mut leader = TestLeader::new(&["a", "b"]);
    let starts = leader.begin(JobOffer { max_attempts: 4, ..offer(1, 2) });
    let bad = starts[0].endpoint.to_string();
    let ends = [end(1, task(1, 0), 1, RunEnd::Failed), end(2, task(1, 1), 1, RunEnd::Failed)];
    leader.answer_poll(&bad, &[], &ends);
    let again = leader.starts();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|it| it.endpoint.as_str() != bad));
}

#[test]
fn job_fails_when_a_task_has_used_up_its_attempts() {
    let mut leader = TestLeader::new(&["a", "b"]);
    let first = leader.begin(offer(1, 1)).remove(0);
    let failed = end(1, task(1, 0), 1, RunEnd::Failed);
    leader.answer_poll(first.endpoint.as_str(), &[], &[failed]);
    let second = leader.starts().remove(0);
    leader.accept(&second);
    let failed = end(1, task(1, 0), 2, RunEnd::Failed);
    leader.answer_poll(second.endpoint.as_str(), &[], &[failed]);
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::Failed)]);
}

#[test]
fn job_whose_caller_left_is_cancelled() {
    let mut leader = TestLeader::new(&["a"]);
    leader.begin(offer(1, 2));
    leader.dispatcher.cancel(JobCode(1), leader.now);
    leader.drain();
    assert_eq!(leader.stops().len(), 2);
}

#[test]
fn job_without_keep_alives_is_cancelled() {
    let mut leader = TestLeader::new(&["a"]);
    leader.begin(offer(1, 1));
    let own = VmName::from("leader");
    for _ in 0..10 {
        leader.now = leader.now.plus_ms(90);
        leader.dispatcher.tick(&own, leader.now);
    }
    leader.drain();
    assert_eq!(leader.stops(), []);
    assert_eq!(leader.dispatcher.handle_keep_alive(&origin(), JobCode(1), 1, leader.now), None);
    leader.now = leader.now.plus_ms(1_000);
    leader.dispatcher.tick(&own, leader.now);
    leader.drain();
    assert_eq!(leader.stops().len(), 1);
}

#[test]
fn job_that_fits_nowhere_is_refused_on_arrival() {
    let mut leader = TestLeader::new(&["a"]);
    let mut large = offer(1, 1);
    large.steps[0].demand.cpu = 17_000;
    leader.offer(large);
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::Refused(RefusalCause::NeverFits, 200))]);
}

#[test]
fn movable_job_is_returned_unstarted_when_it_would_be_late() {
    let mut leader = TestLeader::new(&["a"]);
    assert_eq!(leader.begin(long_offer(1, 2)).len(), 2);
    leader.offer(JobOffer { may_move: true, ..offer(2, 2) });
    let [(JobCode(2), 2, JobResult::Crowded(wait_ms))] = leader.results[..] else {
        panic!("not returned: {:?}", leader.results);
    };
    assert!((300..=400).contains(&wait_ms), "{wait_ms}");
    // The next offer may not move, so the job stays queued.
    leader.results.clear();
    leader.offer(JobOffer { number: 7, ..offer(2, 2) });
    assert_eq!((leader.results.len(), leader.starts().len()), (0, 0));
}

#[test]
fn job_that_has_begun_goes_before_newer_ones() {
    let mut leader = TestLeader::new(&["a"]);
    assert_eq!(leader.begin(offer(1, 3)).len(), 2);
    // By now the first job is late, and the second could still end in time.
    leader.advance_ms(230);
    leader.offer(offer(2, 1));
    leader.answer_poll("a", &[(task(1, 1), 1)], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    let starts = leader.starts();
    assert_eq!(starts.len(), 1);
    assert!(matches!(starts[0].body, OrderBody::Start { task: it, .. } if it == task(1, 2)));
}

#[test]
fn burst_beyond_the_capacity_is_refused_on_arrival() {
    let mut leader = TestLeader::new(&["a"]);
    for code in 1..=40 {
        leader.offer(offer(code, 2));
    }
    let n_refused = leader.results.len();
    assert!(0 < n_refused, "nothing was refused");
    assert!(leader.results.iter().all(|(_, _, it)| {
        matches!(it, JobResult::Refused(RefusalCause::Hopeless, after_ms) if 200 <= *after_ms)
    }));
}

/// Empty endpoints join a cell whose other endpoints are full, with jobs queued in front of them.
#[test]
fn added_endpoint_gets_queued_tasks_at_once() {
    let mut leader = TestLeader::new(&["e1"]);
    let _ = leader.begin(long_offer(1, 2));
    leader.offer(offer(2, 2));
    assert_eq!(leader.starts().len(), 0, "e1 is full");
    let records = [record("e1"), record("e2")];
    leader.dispatcher.set_endpoints(&records, leader.now);
    leader.drain();
    leader.answer_poll("e2", &[], &[]);
    leader.advance_ms(20);
    let starts = leader.starts();
    assert!(starts.iter().all(|it| it.endpoint == EndpointName::from("e2")), "{starts:?}");
    assert_eq!(starts.len(), 2);
}

/// Guards against starts by the labels of a former incarnation: the answer to a poll names the new
/// one before its announcement tells of what kind it is.
#[test]
fn incarnation_known_only_from_a_poll_gets_no_start_before_its_announcement() {
    let mut leader = TestLeader::new(&["a"]);
    let start = leader.begin(offer(1, 1)).remove(0);
    leader.answer_poll_as("a", INCARNATION + 9, &[], &[]);
    leader.answer_poll_as("a", INCARNATION + 9, &[], &[]);
    let mut labelled = offer(2, 1);
    labelled.steps[0].label = Some("a".to_owned());
    leader.offer(labelled);
    for _ in 0..10 {
        leader.advance_ms(20);
        for stop in leader.stops() {
            leader.accept(&stop);
        }
    }
    assert_eq!((start.endpoint.as_str(), leader.starts()), ("a", vec![]));
    let other_kind = EndpointRecord {
        incarnation: INCARNATION + 9,
        labels: vec!["b".to_owned(), "r1".to_owned()],
        ..record("a")
    };
    leader.dispatcher.set_endpoints(&[other_kind], leader.now);
    leader.drain();
    let tasks: Vec<OrderBody> = leader.starts().into_iter().map(|it| it.body).collect();
    let is_first = |it: &OrderBody| matches!(it, OrderBody::Start { task, .. } if task.job.0 == 1);
    assert!(tasks.len() == 1 && tasks.iter().all(is_first), "{tasks:?}");
}

/// Guards against starts by the labels of a former incarnation: an idle endpoint came back as another
/// kind, and the start is the first order since.
#[test]
fn start_withheld_from_another_incarnation_goes_elsewhere() {
    let mut leader = TestLeader::new(&["a", "b"]);
    leader.offer(offer(1, 1));
    let start = leader.starts().remove(0);
    let other = if start.endpoint.as_str() == "a" { "b" } else { "a" };
    assert_eq!(start.incarnation, INCARNATION);
    leader.answer(&start, OrderOutcome::OtherIncarnation(INCARNATION + 9));
    let moved = leader.starts().remove(0);
    assert_eq!(moved.endpoint.as_str(), other);
    // It gets none before its announcement, also once it has answered.
    leader.answer_poll_as(start.endpoint.as_str(), INCARNATION + 9, &[], &[]);
    for code in 2..6 {
        leader.offer(offer(code, 1));
        leader.advance_ms(20);
    }
    let starts = leader.starts();
    assert!(starts.iter().all(|it| it.endpoint.as_str() == other), "{starts:?}");
    let name = start.endpoint.as_str();
    let present = EndpointRecord { incarnation: INCARNATION + 9, ..record(name) };
    leader.dispatcher.set_endpoints(&[present, record(other)], leader.now);
    leader.advance_ms(20);
    let starts = leader.starts();
    assert!(starts.iter().any(|it| it.endpoint.as_str() == name), "{starts:?}");
}

/// Guards against starts in a loop: an endpoint's announcement names an incarnation that has not
/// answered yet, and each start is withheld.
#[test]
fn endpoint_that_answers_as_a_former_incarnation_is_not_tried_at_once() {
    let mut leader = TestLeader::new(&["a"]);
    leader.offer(offer(1, 1));
    let mut n_starts = 0;
    for _ in 0..50 {
        leader.advance_ms(20);
        for start in leader.starts() {
            n_starts += 1;
            leader.answer(&start, OrderOutcome::OtherIncarnation(INCARNATION - 9));
        }
    }
    assert_eq!(n_starts, 1);
}

/// Guards against a run on an endpoint that came back as another kind between two polls: it is
/// stopped once the answer to its start tells of the other incarnation.
#[test]
fn start_that_another_incarnation_carried_out_is_stopped() {
    let mut leader = TestLeader::new(&["a"]);
    leader.offer(offer(1, 1));
    let start = leader.starts().remove(0);
    let lists = RunLists { incarnation: Some(INCARNATION + 9), ..RunLists::default() };
    leader.answer(&start, OrderOutcome::Executed(5, Some(lists)));
    let stops = leader.stops();
    assert_eq!(stops.len(), 1);
    assert!(start.token < stops[0].token);
    leader.advance_ms(100);
    assert_eq!(leader.starts(), []);
}

/// Guards against an endpoint that counts as present again by its answer to a stop: a poll was lost
/// while it came back as another kind.
#[test]
fn stop_that_another_incarnation_answers_readmits_no_start() {
    let mut leader = TestLeader::new(&["a"]);
    leader.begin(offer(1, 1));
    let poll = leader.orders.iter().rposition(|it| matches!(it.body, OrderBody::Poll { .. }));
    let poll = leader.orders.remove(poll.unwrap());
    leader.answer(&poll, OrderOutcome::Lost);
    leader.dispatcher.cancel(JobCode(1), leader.now);
    leader.drain();
    let stop = leader.stops().remove(0);
    let lists = RunLists { incarnation: Some(INCARNATION + 9), ..RunLists::default() };
    leader.answer(&stop, OrderOutcome::Executed(5, Some(lists)));
    leader.offer(offer(2, 1));
    leader.advance_ms(20);
    assert_eq!(leader.starts(), []);
}

/// Guards against a job that goes on at a leader whose entry the cancelling entry can't reach.
#[test]
fn leader_ends_a_job_that_its_caller_cancels_elsewhere() {
    let mut leader = TestLeader::new(&["a"]);
    leader.begin(offer(1, 2));
    leader.dispatcher.cancel_for_caller(JobCode(1), "route", leader.now);
    leader.drain();
    assert_eq!(leader.stops().len(), 2);
    assert_eq!(leader.results, [(JobCode(1), 1, JobResult::Failed)]);
    // Its entry has not heard of it and offers it again.
    leader.offer(JobOffer { number: 8, is_repeat: true, ..offer(1, 2) });
    assert_eq!(leader.results[1..], [(JobCode(1), 8, JobResult::Failed)]);
}

/// Guards against runs of a cancelled job that wait for their job to be offered: its entry is lost.
#[test]
fn run_of_a_cancelled_job_is_stopped_though_no_job_claims_it() {
    let mut leader = TestLeader::unclaimed(&["a"]);
    leader.answer_poll("a", &[(task(1, 0), 1)], &[]);
    leader.dispatcher.cancel_for_caller(JobCode(1), "route", leader.now);
    leader.drain();
    assert_eq!(leader.stops().len(), 1);
}

/// Guards against starts beside runs that still end: a run that no job claims counted as a thousandth
/// of a core once its stop was acknowledged.
#[test]
fn run_that_no_job_claims_takes_its_room_until_it_is_over() {
    let mut leader = TestLeader::unclaimed(&["a"]);
    leader.answer_poll("a", &[(task(8, 0), 1), (task(9, 0), 1)], &[]);
    leader.offer(offer(1, 1));
    leader.advance_ms(350);
    let stops = leader.stops();
    assert_eq!(stops.len(), 2);
    for stop in &stops {
        leader.accept(stop);
    }
    leader.advance_ms(30);
    assert_eq!(leader.starts(), []);
    leader.advance_ms(40);
    assert_eq!(leader.starts().len(), 1);
}

/// Guards against two routes' jobs with one id that are taken for one: the later one got the earlier
/// one's answer. Endpoints name tasks by the id alone, so it is refused while the other is at work.
#[test]
fn job_with_the_id_of_another_routes_job_is_refused() {
    let mut leader = TestLeader::new(&["a"]);
    leader.begin(offer(1, 1));
    leader.offer(JobOffer { route: "other".to_owned(), number: 9, ..offer(1, 1) });
    let refused = JobResult::Refused(RefusalCause::SameId, 200);
    assert_eq!(leader.results, [(JobCode(1), 9, refused)]);
    leader.answer_poll("a", &[], &[end(1, task(1, 0), 1, RunEnd::Done)]);
    assert_eq!(leader.results[1..], [(JobCode(1), 1, JobResult::Completed)]);
    // It is not answered with the other one's result.
    leader.offer(JobOffer { route: "other".to_owned(), number: 10, ..offer(1, 1) });
    assert_eq!((leader.results.len(), leader.starts().len()), (2, 1));
}
