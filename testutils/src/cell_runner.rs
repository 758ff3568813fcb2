//! A fake endpoint of a cell: runs under a lease, obeys the highest token, lists ends.

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

/// A run at work.
#[derive(Clone, Debug)]
pub struct RunnerRun {
    /// Number of the run.
    pub run: u32,
    /// When it began.
    pub began_at: ClockTime,
    /// When it will be done.
    pub done_at: ClockTime,
    /// What it takes.
    pub demand: ResourceAmount,
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
    /// Runs at work.
    pub runs: IndexMap<TaskRef, RunnerRun>,
    /// Its clock minus the world's, in ms.
    pub clock_ahead: u64,
    token: u64,
    lease_until: u64,
    ended: Vec<ListedEnd>,
    next_end: u64,
    over: IndexMap<TaskRef, u32>,
}

impl CellRunner {
    /// An endpoint that has just started.
    pub fn new(record: EndpointRecord, clock_ahead: u64) -> CellRunner {
        CellRunner {
            record,
            up: true,
            factor_milli: 1000,
            fails_milli: 0,
            hangs: false,
            runs: IndexMap::new(),
            clock_ahead,
            token: 0,
            lease_until: 0,
            ended: Vec::new(),
            next_end: 1,
            over: IndexMap::new(),
        }
    }

    /// Another life under the same name, which knows nothing.
    pub fn begin_life(&mut self, now: ClockTime) {
        let record =
            EndpointRecord { incarnation: now.0, seq: 1, leaving: false, ..self.record.clone() };
        *self = CellRunner { up: true, ..CellRunner::new(record, self.clock_ahead) };
    }

    fn clock(&self, now: ClockTime) -> u64 {
        now.0 + self.clock_ahead
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
        if self.lease_until < self.clock(now) && !self.runs.is_empty() {
            for task in self.runs.keys().copied().collect::<Vec<_>>() {
                self.end(task, RunEnd::Lapsed);
            }
            return true;
        }
        let done: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, it)| !self.hangs && it.done_at <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in &done {
            let run = self.runs[task].run;
            let failed = draw_milli(task, run) < self.fails_milli;
            self.end(*task, if failed { RunEnd::Failed } else { RunEnd::Done });
        }
        !done.is_empty()
    }

    fn end(&mut self, task: TaskRef, end: RunEnd) {
        let Some(run) = self.runs.swap_remove(&task) else { return };
        self.over.insert(task, run.run);
        self.ended.push(ListedEnd { number: self.next_end, task, run: run.run, end });
        self.next_end += 1;
    }

    /// Whether there are ends that a look would return at once.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Carries out an order; a run needs `need` and takes `work_ms` at factor one.
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
        self.token = order.token;
        let given = order.lease_until.unwrap_or(0).min(clock + MAX_LEASE_MS);
        self.lease_until = self.lease_until.max(given);
        match &order.body {
            OrderBody::Start { task, run, .. } => {
                self.start(*task, *run, order, demand, work_ms, now)
            }
            OrderBody::Stop { task, run } => {
                let over = self.over.entry(*task).or_default();
                *over = (*over).max(*run);
                if self.runs.get(task).is_some_and(|it| it.run <= *run) {
                    self.end(*task, RunEnd::Stopped);
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
        if self.runs.get(&task).is_some_and(|it| it.run == run) {
            return OrderOutcome::Executed(clock, Some(RunLists::default()));
        }
        if self.over.get(&task).is_some_and(|it| run <= *it) {
            return refuse(OrderRefusal::OldRun);
        }
        if order.lease_until.is_some_and(|it| it < clock) || self.lease_until < clock {
            return refuse(OrderRefusal::LateLease);
        }
        if !self.free_room().fits(&demand) || self.runs.contains_key(&task) {
            return refuse(OrderRefusal::NoRoom);
        }
        let done_at = now.plus_ms((work_ms * self.factor_milli / 1000).max(1));
        self.runs.insert(task, RunnerRun { run, began_at: now, done_at, demand });
        OrderOutcome::Executed(clock, Some(RunLists::default()))
    }

    /// The lists that a look returns.
    pub fn lists(&self, now: ClockTime) -> RunLists {
        let running = self.runs.iter().map(|(task, run)| {
            let span_ms = run.done_at.since_ms(run.began_at).max(1);
            let percent = if self.hangs { 0 } else { now.since_ms(run.began_at) * 100 / span_ms };
            ListedRun { task: *task, run: run.run, percent: percent.min(99) }
        });
        let incarnation = Some(self.record.incarnation);
        RunLists { incarnation, running: running.collect(), ended: self.ended.clone() }
    }
}
