//! An endpoint as its cell's leader sees it: runs, lease, clock and health.

use indexmap::IndexMap;

use crate::{
    cell::{
        endpoint_directory::EndpointRecord,
        endpoint_order::OrderNumber,
        job_offer::{ResourceAmount, TaskRef},
        run_forecast::EndpointSpeed,
    },
    prelude::*,
};

/// Slowest an endpoint's steady clock may go against ours, in thousandths.
const CLOCK_RATE_MILLI: u64 = 980;
/// Margin on an endpoint's clock before a lease counts as run out, in ms: link delays.
const LAPSE_MARGIN_MS: u64 = 30;
/// Longest lease that an endpoint grants, in ms: a former leader may have given it.
const LONGEST_LEASE_MS: u64 = 1_000;
/// Failures in a row after which an endpoint gets no work for a time; one may be a task's own.
const QUARANTINE_FAILURES: u32 = 2;
/// First quarantine, in ms: a few tasks long. Each further one is twice as long.
const QUARANTINE_MS: u64 = 400;
/// First and longest pause after an endpoint had no room although it seemed to, in ms: what
/// takes the room is about to be listed, or stays unknown.
const NO_ROOM_PAUSE_MS: (u64, u64) = (8, 256);
/// Doublings of the quarantine: 6.4 s at most, so that a recovered endpoint is soon used.
const MAX_QUARANTINE_DOUBLINGS: u32 = 4;

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Its start has no answer yet.
    Ordered,
    /// It is at work, as its start's answer or a list told.
    Working,
    /// Its start has no answer and may be carried out late.
    Doubted,
    /// A stop was sent; when it was acknowledged, and whether the run was seen at work.
    Stopping {
        /// When the endpoint acknowledged the stop.
        acked_at: Option<ClockTime>,
        /// Whether the run was seen at work.
        was_seen: bool,
    },
    /// It was ordered by a former leader, and no job claims it yet.
    Orphan,
}

/// A run on an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRun {
    /// Number of the run.
    pub(crate) run: u32,
    /// What it takes.
    pub(crate) demand: ResourceAmount,
    /// Where it stands.
    pub(crate) phase: RunPhase,
    /// When the phase began.
    pub(crate) since: ClockTime,
    /// When it was ordered or first seen.
    pub(crate) ordered_at: ClockTime,
    /// Run time that was predicted, in ms.
    pub(crate) predicted_ms: u64,
    /// When its last order was sent.
    pub(crate) sent_at: ClockTime,
}

/// A look that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingPoll {
    /// Its number.
    pub(crate) number: OrderNumber,
    /// When it was sent.
    pub(crate) sent_at: ClockTime,
}

/// An endpoint of a cell.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    /// Its announcement.
    pub(crate) record: EndpointRecord,
    /// Whether this life has accepted the leader's token.
    pub(crate) claimed: bool,
    /// Its clock when it last told it, and our time then.
    pub(crate) clock: Option<(u64, ClockTime)>,
    /// Latest lease that was sent, on its clock.
    pub(crate) lease_until: u64,
    /// Runs that take room there.
    pub(crate) runs: IndexMap<TaskRef, EndpointRun>,
    /// Last end that was processed.
    pub(crate) cursor: u64,
    /// Whether ends were processed that it may not have forgotten yet.
    pub(crate) owes_cursor: bool,
    /// The look on its way.
    pub(crate) look: Option<PendingPoll>,
    /// Orders without an answer since the last one.
    pub(crate) n_silent: u32,
    /// Before this time it gets no order.
    pub(crate) retry_at: ClockTime,
    /// Before this time it gets no start.
    pub(crate) start_at: ClockTime,
    /// Its speed.
    pub(crate) pace: EndpointSpeed,
    /// Runs that failed since the last that was done.
    pub(crate) n_failed: u32,
    /// Whether it has to prove itself with one run before it gets more.
    pub(crate) on_probation: bool,
    n_quarantines: u32,
    n_no_room: u32,
}

impl EndpointState {
    /// An endpoint of which only the announcement is known.
    pub(crate) fn new(record: EndpointRecord) -> EndpointState {
        EndpointState {
            record,
            claimed: false,
            clock: None,
            lease_until: 0,
            runs: IndexMap::new(),
            cursor: 0,
            owes_cursor: false,
            look: None,
            n_silent: 0,
            retry_at: ClockTime::default(),
            start_at: ClockTime::default(),
            pace: EndpointSpeed::default(),
            n_failed: 0,
            on_probation: false,
            n_quarantines: 0,
            n_no_room: 0,
        }
    }

    /// Room that no run takes.
    pub(crate) fn free_room(&self) -> ResourceAmount {
        let taken = self
            .runs
            .values()
            .fold(ResourceAmount::default(), |taken, run| taken.plus(&run.demand));
        self.record.capacity.minus(&taken)
    }

    /// Predicted time until `need` fits, in ms, if it ever does.
    pub(crate) fn room_in_ms(&self, demand: &ResourceAmount, now: ClockTime) -> Option<u64> {
        let mut free = self.free_room();
        let mut ends: Vec<(u64, &ResourceAmount)> = self
            .runs
            .values()
            .map(|it| (it.ordered_at.plus_ms(it.predicted_ms).since_ms(now), &it.demand))
            .collect();
        ends.sort_unstable_by_key(|(left_ms, _)| *left_ms);
        ends.into_iter().find_map(|(left_ms, taken)| {
            free = free.plus(taken);
            free.fits(demand).then_some(left_ms)
        })
    }

    /// Time until a run has taken longer than predicted by `slack_ms`, in ms; again and again
    /// for one that has, ever more rarely.
    pub(crate) fn overdue_in_ms(&self, slack_ms: u64, now: ClockTime) -> u64 {
        let overdue = self.runs.values().filter(|it| it.phase != RunPhase::Orphan).map(|it| {
            let worked_ms = now.since_ms(it.ordered_at);
            let limit_ms = it.predicted_ms + slack_ms;
            if worked_ms < limit_ms { limit_ms - worked_ms } else { worked_ms / 2 }
        });
        overdue.min().unwrap_or(u64::MAX)
    }

    /// Whether it may be given a start.
    pub(crate) fn takes_starts(&self, now: ClockTime) -> bool {
        self.claimed
            && !self.record.leaving
            && self.n_silent == 0
            && self.clock.is_some()
            && self.start_at <= now
            && self.retry_at <= now
            && (!self.on_probation || self.runs.is_empty())
            && !self.has_orphans()
    }

    /// Whether runs of a former leader take room that is not known.
    fn has_orphans(&self) -> bool {
        self.runs.values().any(|it| it.phase == RunPhase::Orphan)
    }

    /// Notes that there was no room.
    pub(crate) fn note_no_room(&mut self, now: ClockTime) {
        let (first_ms, longest_ms) = NO_ROOM_PAUSE_MS;
        let pause_ms = (first_ms << self.n_no_room.min(8)).min(longest_ms);
        self.n_no_room += 1;
        self.start_at = self.start_at.max(now.plus_ms(pause_ms));
    }

    /// Notes a run that was begun.
    pub(crate) fn note_start(&mut self) {
        self.n_no_room = 0;
    }

    /// Lowest reading that its clock can have now.
    pub(crate) fn clock_now(&self, now: ClockTime) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + now.since_ms(at) * CLOCK_RATE_MILLI / 1000)
    }

    /// A lease of `span_ms` from now, on its clock; noted as sent.
    pub(crate) fn extend_lease(&mut self, span_ms: u64, now: ClockTime) -> Option<u64> {
        let (clock, at) = self.clock?;
        let until = clock + now.since_ms(at) + span_ms;
        self.lease_until = self.lease_until.max(until);
        Some(until)
    }

    /// Whether every lease that was sent has run out there.
    pub(crate) fn lease_is_over(&self, now: ClockTime) -> bool {
        self.clock_now(now).is_some_and(|it| self.lease_until + LAPSE_MARGIN_MS < it)
    }

    /// Notes that the endpoint obeys; its runs may hold a lease that a former leader gave.
    pub(crate) fn claim(&mut self) {
        if !std::mem::replace(&mut self.claimed, true)
            && let Some((clock, _)) = self.clock
        {
            self.lease_until = self.lease_until.max(clock + LONGEST_LEASE_MS);
        }
    }

    /// Notes an answer.
    pub(crate) fn hear(&mut self, clock: u64, now: ClockTime) {
        self.clock = Some((clock, now));
        self.n_silent = 0;
    }

    /// Notes a run that was done; returns whether the endpoint was on probation.
    pub(crate) fn note_done(&mut self) -> bool {
        self.n_failed = 0;
        self.n_quarantines = 0;
        std::mem::take(&mut self.on_probation)
    }

    /// Notes a failure; returns the length of a quarantine that begins.
    pub(crate) fn note_failure(&mut self, now: ClockTime) -> Option<u64> {
        self.n_failed += 1;
        if self.n_failed < QUARANTINE_FAILURES && !self.on_probation {
            return None;
        }
        let span_ms = QUARANTINE_MS << self.n_quarantines.min(MAX_QUARANTINE_DOUBLINGS);
        self.n_quarantines += 1;
        self.on_probation = true;
        self.start_at = self.start_at.max(now.plus_ms(span_ms));
        Some(span_ms)
    }

    /// Takes another life of the endpoint.
    ///
    /// Orders on their way may have reached it, so each run is in doubt until it is listed
    /// or stopped.
    pub(crate) fn begin_life(&mut self, record: EndpointRecord, now: ClockTime) {
        self.record = record;
        self.pace = EndpointSpeed::default();
        for run in self.runs.values_mut() {
            if !matches!(run.phase, RunPhase::Stopping { .. }) {
                run.phase = RunPhase::Doubted;
            }
            run.since = now.minus_ms(1);
        }
        self.claimed = false;
        self.clock = None;
        self.lease_until = 0;
        self.cursor = 0;
        self.owes_cursor = false;
        self.look = None;
        self.n_silent = 0;
        self.retry_at = now;
    }
}
