//! A fake endpoint of a cell: runs under a lease, obeys the highest token, lists ends.
//!
//! It is no kinder than the platform's pages: a stop takes its time, a run that isn't higher is
//! refused only after a stop or an end, and a life that begins again starts its clock anew.

use indexmap::IndexMap;
use yuccamux::{
    cell::{
        endpoint_directory::EndpointRecord,
        endpoint_order::{
            EndpointOrder, ListedEnd, ListedRun, OrderBody, OrderOutcome, OrderRefusal, RunEnd,
            RunLists,
        },
        job_offer::{ResourceAmount, TaskRef},
    },
    prelude::*,
};

/// Longest lease that the endpoint grants, in ms.
const MAX_LEASE_MS: u64 = 1_000;
/// Longest time from a stop until its run is over, in ms, less a tick of the worlds: the platform
/// allows 50.
const STOP_MS: u64 = 40;

/// Which lease admits a start that arrives late: the pages allow either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRule {
    /// The one in its order must not have expired.
    InOrder,
    /// The latest of all that the endpoint was given must not have expired.
    InForce,
}

/// A run at work.
#[derive(Clone, Debug)]
pub struct RunnerRun {
    /// When it began.
    pub began_at: ClockTime,
    /// When it will be done.
    pub done_at: ClockTime,
    /// What it takes.
    pub demand: ResourceAmount,
    /// When a stop ends it.
    pub stops_at: Option<ClockTime>,
}

/// A fake endpoint.
#[derive(Clone, Debug)]
pub struct CellRunner {
    /// Its announcement.
    pub record: EndpointRecord,
    /// Whether it is up.
    pub up: bool,
    /// Factor on run times, in thousandths.
    pub factor_milli: u64,
    /// Share of its runs that fail, in thousandths.
    pub fails_milli: u64,
    /// Whether its runs stand still.
    pub hangs: bool,
    /// Whether it carries out orders without an answer.
    pub is_mute: bool,
    /// Whether it refuses connections.
    pub refuses: bool,
    /// Which lease admits a start.
    pub lease_rule: LeaseRule,
    /// Runs at work, by task and number.
    pub runs: IndexMap<(TaskRef, u32), RunnerRun>,
    clock_ahead: u64,
    clock_start: ClockTime,
    token: u64,
    lease_until: u64,
    ended: Vec<ListedEnd>,
    next_end: u64,
    n_ends_told: u64,
    over: IndexMap<TaskRef, u32>,
}

impl CellRunner {
    /// An endpoint whose clock is ahead of the world's by so many ms.
    pub fn new(record: EndpointRecord, clock_ahead: u64) -> CellRunner {
        CellRunner {
            record,
            up: true,
            factor_milli: 1000,
            fails_milli: 0,
            hangs: false,
            is_mute: false,
            refuses: false,
            lease_rule: LeaseRule::InOrder,
            runs: IndexMap::new(),
            clock_ahead,
            clock_start: ClockTime::default(),
            token: 0,
            lease_until: 0,
            ended: Vec::new(),
            next_end: 1,
            n_ends_told: 0,
            over: IndexMap::new(),
        }
    }

    /// Another life under the same name, which knows nothing and whose clock starts anew.
    pub fn begin_life(&mut self, now: ClockTime) {
        let record =
            EndpointRecord { incarnation: now.0, seq: 1, leaving: false, ..self.record.clone() };
        let lease_rule = self.lease_rule;
        *self = CellRunner { clock_start: now, lease_rule, ..CellRunner::new(record, 0) };
    }

    /// Reading of its clock.
    pub fn clock(&self, now: ClockTime) -> u64 {
        now.since_ms(self.clock_start) + self.clock_ahead
    }

    /// Tasks at work, one entry for each run.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskRef> {
        self.runs.keys().map(|(task, _)| task)
    }

    /// Whether a run of the task is at work.
    pub fn has_task(&self, task: &TaskRef) -> bool {
        self.tasks().any(|it| it == task)
    }

    /// Room that no run takes.
    fn free_room(&self) -> ResourceAmount {
        let taken =
            self.runs.values().fold(ResourceAmount::default(), |it, run| it.plus(&run.demand));
        self.record.capacity.minus(&taken)
    }

    /// Lets time pass; whether a run has ended.
    pub fn tick(&mut self, now: ClockTime, draw_milli: impl Fn(&TaskRef, u32) -> u64) -> bool {
        if !self.up {
            return false;
        }
        self.lapse(now);
        let over: Vec<(TaskRef, u32)> = self
            .runs
            .iter()
            .filter(|(_, it)| match it.stops_at {
                Some(at) => at <= now,
                None => !self.hangs && it.done_at <= now,
            })
            .map(|(key, _)| *key)
            .collect();
        for (task, run) in over {
            let failed = draw_milli(&task, run) < self.fails_milli;
            let end = match self.runs[&(task, run)].stops_at {
                Some(_) => RunEnd::Stopped,
                None if failed => RunEnd::Failed,
                None => RunEnd::Done,
            };
            self.end(task, run, end);
        }
        let n_ends = self.next_end - 1;
        std::mem::replace(&mut self.n_ends_told, n_ends) < n_ends
    }

    /// Ends all runs once the lease has expired.
    fn lapse(&mut self, now: ClockTime) {
        if self.lease_until < self.clock(now) {
            for (task, run) in self.runs.keys().copied().collect::<Vec<_>>() {
                self.end(task, run, RunEnd::Lapsed);
            }
        }
    }

    fn end(&mut self, task: TaskRef, run: u32, end: RunEnd) {
        self.runs.swap_remove(&(task, run));
        self.refuse_up_to(task, run);
        self.ended.push(ListedEnd { number: self.next_end, task, run, end });
        self.next_end += 1;
    }

    fn refuse_up_to(&mut self, task: TaskRef, run: u32) {
        let over = self.over.entry(task).or_default();
        *over = (*over).max(run);
    }

    /// Whether there are ends that a look would return at once.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Carries out an order; a run needs `need` and takes `work_ms` at factor one. Answers to starts
    /// and stops name no life, as only lists of runs do.
    pub fn carry_out(
        &mut self,
        order: &EndpointOrder,
        demand: ResourceAmount,
        work_ms: u64,
        now: ClockTime,
    ) -> OrderOutcome {
        let clock = self.clock(now);
        let refuse = |refusal| OrderOutcome::Refused(refusal, Some(clock));
        if order.endpoint != self.record.name {
            return refuse(OrderRefusal::OtherLife);
        }
        if order.token < self.token {
            return refuse(OrderRefusal::Fenced);
        }
        self.lapse(now);
        self.token = order.token;
        let given = order.lease_until.unwrap_or(0).min(clock + MAX_LEASE_MS);
        self.lease_until = self.lease_until.max(given);
        match &order.body {
            OrderBody::Start { task, run, .. } => {
                self.start(*task, *run, order, demand, work_ms, now)
            }
            OrderBody::Stop { task, run } => {
                self.refuse_up_to(*task, *run);
                if let Some(it) = self.runs.get_mut(&(*task, *run)) {
                    let stop_ms = 1 + (task.job.0 % 997 + u64::from(*run) * 17 + clock) % STOP_MS;
                    it.stops_at.get_or_insert(now.plus_ms(stop_ms));
                }
                OrderOutcome::Executed(clock, Some(RunLists::default()))
            }
            OrderBody::Poll { cursor, .. } => {
                self.ended.retain(|it| *cursor < it.number);
                OrderOutcome::Executed(clock, Some(self.lists(now)))
            }
        }
    }

    fn start(
        &mut self,
        task: TaskRef,
        run: u32,
        order: &EndpointOrder,
        demand: ResourceAmount,
        work_ms: u64,
        now: ClockTime,
    ) -> OrderOutcome {
        let clock = self.clock(now);
        let refuse = |refusal| OrderOutcome::Refused(refusal, Some(clock));
        if self.runs.contains_key(&(task, run)) {
            return OrderOutcome::Executed(clock, Some(RunLists::default()));
        }
        if self.over.get(&task).is_some_and(|it| run <= *it) {
            return refuse(OrderRefusal::OldRun);
        }
        let lease_until = match self.lease_rule {
            LeaseRule::InOrder => order.lease_until.unwrap_or(self.lease_until),
            LeaseRule::InForce => self.lease_until,
        };
        if lease_until.min(self.lease_until) < clock {
            return refuse(OrderRefusal::LateLease);
        }
        if !self.free_room().fits(&demand) {
            return refuse(OrderRefusal::NoRoom);
        }
        let done_at = now.plus_ms((work_ms * self.factor_milli / 1000).max(1));
        let begun = RunnerRun { began_at: now, done_at, demand, stops_at: None };
        self.runs.insert((task, run), begun);
        OrderOutcome::Executed(clock, Some(RunLists::default()))
    }

    /// The lists that a look returns.
    pub fn lists(&self, now: ClockTime) -> RunLists {
        let running = self.runs.iter().map(|((task, run), it)| {
            let span_ms = it.done_at.since_ms(it.began_at).max(1);
            let percent = if self.hangs { 0 } else { now.since_ms(it.began_at) * 100 / span_ms };
            ListedRun { task: *task, run: *run, percent: percent.min(99) }
        });
        let incarnation = Some(self.record.incarnation);
        RunLists { incarnation, running: running.collect(), ended: self.ended.clone() }
    }
}
