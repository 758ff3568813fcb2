//! Leaders that follow each other: the runs of a lost entry's jobs are over before its callers may
//! send them again, whoever leads meanwhile, and the runs of other entries' jobs go on.
//!
//! One endpoint, and the dispatchers of its leaders one after another. A leader that is killed or
//! stands still sends nothing more; what it has sent is carried out.

use yuccamux::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellEffect},
        cell_message::CellName,
        endpoint_order::{EndpointOrder, OrderBody, OrderOutcome},
        job_offer::{JobCode, JobOffer, JobStep, ResourceAmount, TaskRef},
        run_bounds::RunBounds,
    },
    prelude::*,
};
use yuccamux_testutils::{
    cell_fixtures::{SERVICE, endpoint},
    cell_runner::CellRunner,
};

const START: ClockTime = ClockTime(1_000_000);
const CENTRE: &str = "munich";
const RACK: &str = "r1";
/// Time between two steps, in ms.
const STEP_MS: u64 = 5;
/// Time between two keep-alives of a job, in ms.
const KEEP_ALIVE_MS: u64 = 300;
/// Time from the loss of an entry until its callers may send their jobs again, in ms.
const RESEND_MS: u64 = 1_300;
/// Work of a task, in ms: beyond every scenario.
const WORK_MS: u64 = 20_000;
const DEMAND: ResourceAmount = ResourceAmount { cpu: 3_000, mem_mb: 10, gpu: 0 };
/// Job of a caller of the entry that is lost.
const LOST: u64 = 1;
/// Job of a caller of an entry that lives on.
const LIVE: u64 = 2;

struct TakeoverCell {
    dispatcher: Option<CellDispatcher>,
    now: ClockTime,
    runner: CellRunner,
    /// Outcomes on their way back; the lists of a poll are read when it is answered.
    due: Vec<(ClockTime, EndpointOrder, OrderOutcome)>,
    /// Jobs whose entries are up, with the time of their last keep-alive.
    waiting: Vec<(u64, ClockTime)>,
    n_leaders: u64,
    bounds: RunBounds,
}

fn origin() -> VmName {
    VmName::from("front")
}

fn task(code: u64) -> TaskRef {
    TaskRef { job: JobCode(code), step: 0, idx: 0 }
}

fn offer(code: u64) -> JobOffer {
    let step = JobStep {
        count: 1,
        demand: DEMAND,
        declared_ms: WORK_MS,
        after: Vec::new(),
        data_rack: None,
        label: None,
        max_on_endpoint: None,
    };
    JobOffer {
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
        number: code,
        token: 0,
        is_repeat: false,
        may_move: false,
        centre: DataCentre::from("munich"),
        was_refused: false,
    }
}

impl TakeoverCell {
    /// A cell whose leader runs a task of the lost entry's job and one of another entry's.
    fn new() -> TakeoverCell {
        TakeoverCell::with_bounds(RunBounds::default())
    }

    fn with_bounds(bounds: RunBounds) -> TakeoverCell {
        let record = endpoint("a", "a:1".to_owned(), CENTRE, RACK, 16_000, START);
        let mut cell = TakeoverCell {
            dispatcher: None,
            now: START,
            runner: CellRunner::new(record, 77),
            due: Vec::new(),
            waiting: Vec::new(),
            n_leaders: 0,
            bounds,
        };
        cell.lead();
        cell.advance(50);
        for code in [LOST, LIVE] {
            cell.offer(offer(code));
        }
        cell.advance(700);
        assert!(cell.is_running(LOST) && cell.is_running(LIVE));
        cell
    }

    /// Another entry takes over.
    fn lead(&mut self) {
        self.n_leaders += 1;
        let cell = CellName {
            service: SERVICE.to_owned(),
            centre: DataCentre::from(CENTRE),
            rack: RACK.to_owned(),
        };
        let (token, first_order) = (self.n_leaders << 32, self.n_leaders << 40);
        let dispatcher =
            CellDispatcher::new(cell, token, first_order, true).with_bounds(self.bounds);
        self.dispatcher = Some(dispatcher);
        let records = [self.runner.record.clone()];
        self.with_leader(|it, now| it.set_endpoints(&records, now));
    }

    /// The leader is killed or stands still.
    fn lose_leader(&mut self) {
        self.dispatcher = None;
        self.due.clear();
    }

    fn offer(&mut self, offer: JobOffer) {
        self.waiting.push((offer.job.0, self.now));
        self.with_leader(|it, now| it.handle_offer(&origin(), offer, now));
    }

    /// The live entry offers its job to the present leader.
    fn offer_live(&mut self) {
        self.waiting.retain(|(code, _)| *code != LIVE);
        self.offer(JobOffer { is_repeat: true, first_run: 32, number: 99, ..offer(LIVE) });
    }

    fn lose_origin(&mut self) {
        self.waiting.retain(|(code, _)| *code != LOST);
    }

    fn is_running(&self, code: u64) -> bool {
        self.runner.has_task(&task(code))
    }

    fn with_leader(&mut self, act: impl FnOnce(&mut CellDispatcher, ClockTime)) {
        let Some(dispatcher) = &mut self.dispatcher else { return };
        act(dispatcher, self.now);
        for effect in dispatcher.drain_effects() {
            if let CellEffect::SendOrder(order) = effect {
                let outcome = self.runner.carry_out(&order, DEMAND, WORK_MS, self.now);
                let wait_ms = match &order.body {
                    OrderBody::Poll { wait_ms, .. } => *wait_ms,
                    _ => 0,
                };
                self.due.push((self.now.plus_ms(wait_ms + STEP_MS), order, outcome));
            }
        }
    }

    fn advance(&mut self, span_ms: u64) {
        let end = self.now.plus_ms(span_ms);
        while self.now < end {
            self.now = self.now.plus_ms(STEP_MS);
            let now = self.now;
            self.runner.tick(now, |_, _| 1_000);
            let has_ends = self.runner.has_ends();
            let is_due = |it: &(ClockTime, EndpointOrder, OrderOutcome)| {
                it.0 <= now || has_ends && matches!(it.1.body, OrderBody::Poll { .. })
            };
            let (due, later) = std::mem::take(&mut self.due).into_iter().partition(is_due);
            self.due = later;
            for (_, order, mut outcome) in due {
                if let OrderOutcome::Executed(clock, Some(lists)) = &mut outcome {
                    (*clock, *lists) = (self.runner.clock(now), self.runner.lists(now));
                }
                self.with_leader(|it, now| it.handle_outcome(&order, outcome, now));
            }
            let mut sent = Vec::new();
            for (code, at) in &mut self.waiting {
                if KEEP_ALIVE_MS <= now.since_ms(*at) {
                    *at = now;
                    sent.push(JobCode(*code));
                }
            }
            for code in sent {
                self.with_leader(|it, now| {
                    let _ = it.handle_keep_alive(&origin(), code, 0, now);
                });
            }
            self.with_leader(|it, now| it.tick(&VmName::from("leader"), now));
        }
    }

    /// Advances to the time at which callers of the entry lost at `lost_at` send their jobs again.
    fn advance_to_second_copy(&mut self, lost_at: ClockTime) {
        self.advance_until(lost_at.plus_ms(RESEND_MS));
    }

    fn advance_until(&mut self, end: ClockTime) {
        while self.now < end {
            self.advance(STEP_MS);
        }
    }
}

/// Guards against a second copy of a job beside its first one: the entry that leads the cell is
/// killed, its successor freezes, and each leader that follows granted the first copy time anew.
#[test]
fn runs_of_a_killed_leader_are_over_in_time_though_its_successor_freezes() {
    for takeover_ms in [200, 300, 420] {
        for freeze_ms in [20, 60, 85, 120, 200, 280] {
            let mut cell = TakeoverCell::new();
            let lost_at = cell.now;
            cell.lose_origin();
            cell.lose_leader();
            cell.advance(takeover_ms);
            cell.lead();
            cell.advance(10);
            cell.offer_live();
            cell.advance(freeze_ms);
            cell.lose_leader();
            cell.advance(700);
            cell.lead();
            cell.advance(10);
            cell.offer_live();
            cell.advance_to_second_copy(lost_at);
            assert!(!cell.is_running(LOST), "taken over after {takeover_ms}, frozen {freeze_ms}");
        }
    }
}

/// Guards against a lease that a leader renewed for the job of a lost entry just before it froze: the
/// leader had not noticed the loss yet.
#[test]
fn runs_of_a_lost_entry_are_over_in_time_though_the_leader_freezes() {
    for freeze_ms in [400, 500, 600, 650, 690, 900, 990] {
        let mut cell = TakeoverCell::new();
        let lost_at = cell.now;
        cell.lose_origin();
        cell.advance(freeze_ms);
        cell.lose_leader();
        cell.advance_to_second_copy(lost_at);
        assert!(!cell.is_running(LOST), "frozen after {freeze_ms} ms");
    }
}

/// Guards against leaders that take over one after another and each keep the endpoint's lease up for
/// its other runs, whatever their number.
#[test]
fn any_number_of_takeovers_grants_a_lost_job_no_more_time() {
    let mut cell = TakeoverCell::new();
    let lost_at = cell.now;
    cell.lose_origin();
    while cell.now < lost_at.plus_ms(RESEND_MS) {
        cell.lose_leader();
        cell.advance(40);
        cell.lead();
        cell.advance(10);
        cell.offer_live();
        cell.advance(50);
    }
    assert!(!cell.is_running(LOST));
}

/// Guards against takeovers that cost the runs of living entries their lease.
#[test]
fn adopted_run_goes_on_beside_an_orphan() {
    for takeover_ms in [200, 300, 420] {
        let mut cell = TakeoverCell::new();
        cell.lose_origin();
        cell.lose_leader();
        cell.advance(takeover_ms);
        cell.lead();
        cell.advance(10);
        cell.offer_live();
        cell.advance(3_000);
        assert!(!cell.is_running(LOST), "taken over after {takeover_ms} ms");
        let runs: Vec<(TaskRef, u32)> = cell.runner.runs.keys().copied().collect();
        assert_eq!(runs, [(task(LIVE), 1)], "taken over after {takeover_ms} ms");
    }
}

/// Guards against bounds that are constants: where a stop takes longer, a lease must end sooner, as a
/// run may go on for a stop's time after either.
#[test]
fn slow_stops_shorten_the_leases_of_a_lost_job() {
    let bounds = RunBounds { stop_ms: 300, ..RunBounds::default() };
    for freeze_ms in [300, 400, 500, 600, 700, 800] {
        let mut cell = TakeoverCell::with_bounds(bounds);
        let lost_at = cell.now;
        cell.lose_origin();
        cell.advance(freeze_ms);
        cell.lose_leader();
        cell.advance_until(lost_at.plus_ms(RESEND_MS - bounds.stop_ms));
        assert!(!cell.is_running(LOST), "frozen after {freeze_ms} ms");
    }
}
