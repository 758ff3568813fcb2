//! State of an endpoint at its cell's leader: runs, lease, clock and health.

use indexmap::IndexMap;

use crate::{
    cell::{
        endpoint_directory::EndpointRecord,
        endpoint_order::OrderNumber,
        job_offer::{ResourceAmount, TaskRef},
        run_bounds::{CLOCK_RATE_MILLI, LAPSE_MARGIN_MS, RunBounds},
        run_forecast::EndpointSpeed,
    },
    prelude::*,
};

/// Shortest lease with which starts are sent, in ms: the time limit of an order.
const MIN_START_LEASE_MS: u64 = 200;
/// Consecutive failures that start a quarantine; a single one may be the task's fault.
const QUARANTINE_FAILURES: u32 = 2;
/// First quarantine, in ms: as long as a few tasks. Each further one is twice as long.
const QUARANTINE_MS: u64 = 400;
/// First and longest pause after an endpoint unexpectedly had too few free resources, in ms:
/// the run that uses them is about to be listed, or stays unknown.
const NO_ROOM_PAUSE_MS: (u64, u64) = (8, 256);
/// Limits the quarantine to 6.4 s, so that a recovered endpoint is soon used again.
const MAX_QUARANTINE_DOUBLINGS: u32 = 4;

/// Lease limit of an endpoint whose runs end by themselves in time.
pub(crate) const NO_LIMIT: ClockTime = ClockTime(u64::MAX);
/// Bounds of the time past its estimate after which the end of a run is unknown, in ms; between
/// them it is half the estimate, as estimates are off by up to 0.4.
const MIN_OVERRUN_MS: u64 = 30;
const MAX_OVERRUN_MS: u64 = 250;
/// Least expected time until a run past its estimate ends, in ms.
const MIN_LEFT_MS: u64 = 10;

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Its start was sent and is not answered yet.
    Ordered,
    /// It is running, as the answer to its start or a run list confirmed.
    Working,
    /// The answer to its start was lost; the start may still be executed.
    Doubted,
    /// A stop was sent.
    Stopping {
        /// When the endpoint acknowledged the stop. The run may take some time to end, also if
        /// it was never listed: its start may have arrived just before the stop.
        acked_at: Option<ClockTime>,
    },
    /// A former leader started it, and its job has not been offered to this one.
    Orphan,
}

/// Progress of a run as its endpoint lists it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunProgress {
    /// Share of the work that is done, in percent.
    pub(crate) percent: u64,
    /// When the run was first listed with this share, if it was listed.
    pub(crate) changed_at: Option<ClockTime>,
}

impl RunProgress {
    /// The progress after a list that shows the run at `percent`.
    pub(crate) fn update(self, percent: u64, now: ClockTime) -> RunProgress {
        match self.changed_at {
            Some(_) if self.percent == percent => self,
            _ => RunProgress { percent, changed_at: Some(now) },
        }
    }
}

/// A run on an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRun {
    /// Number of the run.
    pub(crate) run: u32,
    /// Resources that it uses.
    pub(crate) demand: ResourceAmount,
    /// Its phase.
    pub(crate) phase: RunPhase,
    /// Whether the endpoint has confirmed that it began, in this incarnation.
    pub(crate) was_answered: bool,
    /// When the phase began.
    pub(crate) since: ClockTime,
    /// When it was ordered or first seen.
    pub(crate) ordered_at: ClockTime,
    /// Predicted run time, in ms.
    pub(crate) predicted_ms: u64,
    /// Its progress as last listed.
    pub(crate) progress: RunProgress,
    /// When its last order was sent.
    pub(crate) sent_at: ClockTime,
}

impl EndpointRun {
    /// Expected time until it ends, in ms; none once it is too far past its estimate.
    pub(crate) fn expected_left_ms(&self, now: ClockTime) -> Option<u64> {
        if self.phase == RunPhase::Orphan {
            return None;
        }
        let worked_ms = now.since_ms(self.ordered_at);
        if worked_ms < self.predicted_ms {
            return Some(self.predicted_ms - worked_ms);
        }
        let over_ms = worked_ms - self.predicted_ms;
        let known_ms = (self.predicted_ms / 2).clamp(MIN_OVERRUN_MS, MAX_OVERRUN_MS);
        (over_ms <= known_ms).then_some(over_ms.max(MIN_LEFT_MS))
    }
}

/// A poll that is not answered yet.
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
    /// Its latest announcement.
    pub(crate) record: EndpointRecord,
    /// Whether its present incarnation has announced itself. Labels and capacity are an incarnation's:
    /// before the announcement, `record` has those of the former one.
    pub(crate) is_announced: bool,
    bounds: RunBounds,
    /// When its incarnation was learned of.
    pub(crate) begun_at: ClockTime,
    /// When a lease was last sent.
    pub(crate) leased_at: ClockTime,
    /// When it was announced as gone, if it was. The announcement may mean a former incarnation.
    pub(crate) departed_at: Option<ClockTime>,
    /// Fencing token of the orders sent to it. It is raised so that the endpoint refuses those
    /// still on their way.
    pub(crate) token: u64,
    /// Whether it has accepted this token.
    pub(crate) token_accepted: bool,
    /// Whether this incarnation has listed its runs to this leader.
    pub(crate) claimed: bool,
    /// Whether another endpoint answers at its address.
    pub(crate) is_displaced: bool,
    /// Last reading of its clock, and our time then.
    pub(crate) clock: Option<(u64, ClockTime)>,
    /// End of the latest lease sent, on its clock.
    pub(crate) lease_until: u64,
    /// Time beyond which no lease may last, on the leader's clock: an endpoint has one lease for all
    /// its runs, and a run whose job no entry vouches for must end with it.
    pub(crate) lease_limit: ClockTime,
    /// Runs that may use its resources.
    pub(crate) runs: IndexMap<TaskRef, EndpointRun>,
    /// Number of the last processed end of a run.
    pub(crate) cursor: u64,
    /// Whether the cursor has to be acknowledged to the endpoint.
    pub(crate) owes_cursor: bool,
    /// The poll in flight.
    pub(crate) poll: Option<PendingPoll>,
    /// Unanswered orders since its last answer.
    pub(crate) n_unanswered: u32,
    /// No order is sent before this time.
    pub(crate) retry_at: ClockTime,
    /// No start is sent before this time.
    pub(crate) start_at: ClockTime,
    /// Its learned speed.
    pub(crate) speed: EndpointSpeed,
    /// Failed runs since the last successful one.
    pub(crate) n_failed: u32,
    /// Whether it gets one run at a time until one succeeds.
    pub(crate) on_probation: bool,
    n_quarantines: u32,
    n_no_room: u32,
}

impl EndpointState {
    /// Creates the state of an endpoint of which only the announcement is known.
    pub(crate) fn new(
        record: EndpointRecord,
        token: u64,
        bounds: RunBounds,
        now: ClockTime,
    ) -> EndpointState {
        EndpointState {
            record,
            is_announced: true,
            bounds,
            begun_at: now,
            leased_at: ClockTime::default(),
            departed_at: None,
            token,
            token_accepted: false,
            claimed: false,
            is_displaced: false,
            clock: None,
            lease_until: 0,
            lease_limit: NO_LIMIT,
            runs: IndexMap::new(),
            cursor: 0,
            owes_cursor: false,
            poll: None,
            n_unanswered: 0,
            retry_at: ClockTime::default(),
            start_at: ClockTime::default(),
            speed: EndpointSpeed::default(),
            n_failed: 0,
            on_probation: false,
            n_quarantines: 0,
            n_no_room: 0,
        }
    }

    /// Resources that no run uses.
    pub(crate) fn free_resources(&self) -> ResourceAmount {
        let taken = self
            .runs
            .values()
            .fold(ResourceAmount::default(), |taken, run| taken.plus(&run.demand));
        self.record.capacity.minus(&taken)
    }

    /// Expected time until `demand` fits, in ms, and what is then free in all. None if it does
    /// not fit, or only once runs end whose end is unknown. `ends` is scratch space.
    pub(crate) fn fits_in_ms(
        &self,
        demand: &ResourceAmount,
        ends: &mut Vec<(u64, ResourceAmount)>,
        now: ClockTime,
    ) -> Option<(u64, ResourceAmount)> {
        if !self.record.capacity.fits(demand) {
            return None;
        }
        let mut free = self.free_resources();
        let runs = self.runs.values();
        ends.clear();
        ends.extend(runs.filter_map(|it| Some((it.expected_left_ms(now)?, it.demand))));
        ends.sort_unstable_by_key(|(left_ms, _)| *left_ms);
        ends.iter().find_map(|(left_ms, taken)| {
            free = free.plus(taken);
            free.fits(demand).then_some((*left_ms, free))
        })
    }

    /// Time until the next run exceeds its predicted time by `slack_ms`, in ms. A run that has
    /// exceeded it is checked again at growing intervals (half its run time so far).
    pub(crate) fn overdue_in_ms(&self, slack_ms: u64, now: ClockTime) -> u64 {
        let overdue = self.runs.values().filter(|it| it.phase != RunPhase::Orphan).map(|it| {
            let worked_ms = now.since_ms(it.ordered_at);
            let limit_ms = it.predicted_ms + slack_ms;
            if worked_ms < limit_ms { limit_ms - worked_ms } else { worked_ms / 2 }
        });
        overdue.min().unwrap_or(u64::MAX)
    }

    /// Whether starts may be sent to it.
    pub(crate) fn accepts_starts(&self, now: ClockTime) -> bool {
        self.claimed
            && self.is_announced
            && self.token_accepted
            && !self.record.leaving
            && self.departed_at.is_none()
            && self.n_unanswered == 0
            && self.clock.is_some()
            && self.start_at <= now
            && self.retry_at <= now
            && (!self.on_probation || self.runs.is_empty())
            && !self.has_orphans()
            && now.plus_ms(MIN_START_LEASE_MS) <= self.lease_limit
    }

    /// Whether orphans use an unknown amount of its resources.
    fn has_orphans(&self) -> bool {
        self.runs.values().any(|it| it.phase == RunPhase::Orphan)
    }

    /// Records a start refused for lack of resources, and pauses starts with backoff.
    pub(crate) fn record_no_room(&mut self, now: ClockTime) {
        let (first_ms, longest_ms) = NO_ROOM_PAUSE_MS;
        let pause_ms = (first_ms << self.n_no_room.min(8)).min(longest_ms);
        self.n_no_room += 1;
        self.start_at = self.start_at.max(now.plus_ms(pause_ms));
    }

    /// Records an accepted start.
    pub(crate) fn record_start(&mut self) {
        self.n_no_room = 0;
    }

    /// Lowest possible reading of its clock now.
    pub(crate) fn clock_now(&self, now: ClockTime) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + now.since_ms(at) * CLOCK_RATE_MILLI / 1000)
    }

    /// Extends the lease as far as its limit permits and returns its end on the endpoint's clock.
    pub(crate) fn extend_lease(&mut self, now: ClockTime) -> Option<u64> {
        let (clock, at) = self.clock?;
        let span_ms = self.bounds.granted_lease_ms().min(self.lease_limit.since_ms(now));
        if span_ms == 0 {
            return None;
        }
        let until = clock + now.since_ms(at) + span_ms;
        self.lease_until = self.lease_until.max(until);
        self.leased_at = now;
        Some(until)
    }

    /// Whether every lease that was sent has expired at the endpoint.
    ///
    /// An incarnation that has not answered yet reads the end of a lease on a clock that the
    /// leader doesn't know, so it may grant the longest one.
    pub(crate) fn lease_is_over(&self, now: ClockTime) -> bool {
        let is_past = |at: ClockTime| self.bounds.longest_lease_span_ms() <= now.since_ms(at);
        let unanswered = self.runs.values().filter(|it| !it.was_answered);
        let is_known_over = match self.clock_now(now) {
            Some(clock) if self.claimed => self.lease_until + LAPSE_MARGIN_MS < clock,
            _ => is_past(self.begun_at) && is_past(self.leased_at),
        };
        is_known_over && unanswered.map(|it| it.ordered_at).all(is_past)
    }

    /// Whether another endpoint has its address, and every lease that a former leader may have
    /// granted it has expired.
    pub(crate) fn is_displaced_for_good(&self, now: ClockTime) -> bool {
        self.is_displaced && self.bounds.longest_lease_span_ms() <= now.since_ms(self.begun_at)
    }

    /// Whether it was announced as gone and can have no runs, also none of a former leader.
    pub(crate) fn is_gone(&self, now: ClockTime) -> bool {
        let wait_ms = if self.claimed { 0 } else { self.bounds.longest_lease_span_ms() };
        self.runs.is_empty() && self.departed_at.is_some_and(|at| wait_ms <= now.since_ms(at))
    }

    /// Raises the token. The endpoint gets no start and no lease before it has accepted it: it
    /// then refuses every order sent before, however late that arrives.
    pub(crate) fn raise_token(&mut self, token: u64) {
        self.token = token;
        self.token_accepted = false;
        self.poll = None;
    }

    /// Records that the endpoint accepted the token; a former leader's lease may still hold.
    pub(crate) fn claim(&mut self) {
        self.token_accepted = true;
        self.is_displaced = false;
        if !std::mem::replace(&mut self.claimed, true)
            && let Some((clock, _)) = self.clock
        {
            self.lease_until = self.lease_until.max(clock + self.bounds.max_hold_ms);
        }
    }

    /// Records that another endpoint answered at its address; it must be claimed anew.
    pub(crate) fn record_displaced(&mut self, retry_at: ClockTime) {
        self.claimed = false;
        self.is_displaced = true;
        self.retry_at = retry_at;
    }

    /// Records an answer.
    pub(crate) fn record_contact(&mut self, clock: u64, now: ClockTime) {
        self.clock = Some((clock, now));
        self.n_unanswered = 0;
    }

    /// Records a successful run; returns whether the endpoint was on probation.
    pub(crate) fn record_success(&mut self) -> bool {
        self.n_failed = 0;
        self.n_quarantines = 0;
        std::mem::take(&mut self.on_probation)
    }

    /// Records a failed run; returns the length of the quarantine if one begins, in ms.
    pub(crate) fn record_failure(&mut self, now: ClockTime) -> Option<u64> {
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

    /// Resets the state for a new incarnation of the endpoint.
    ///
    /// Orders in flight may have reached the new incarnation, so each run stays in doubt until
    /// it is listed or stopped there; a stop that the former one acknowledged proves nothing. Nor
    /// does the former one's token, so the new one gets a higher token.
    pub(crate) fn begin_incarnation(&mut self, record: EndpointRecord, token: u64, now: ClockTime) {
        self.record = record;
        self.is_announced = true;
        self.begun_at = now;
        self.raise_token(token);
        self.speed = EndpointSpeed::default();
        for run in self.runs.values_mut() {
            match &mut run.phase {
                RunPhase::Stopping { acked_at } => *acked_at = None,
                phase => *phase = RunPhase::Doubted,
            }
            run.was_answered = false;
            run.sent_at = ClockTime::default();
            run.since = now.minus_ms(1);
        }
        self.claimed = false;
        self.is_displaced = false;
        self.clock = None;
        self.lease_until = 0;
        self.cursor = 0;
        self.owes_cursor = false;
        self.n_unanswered = 0;
        self.retry_at = now;
    }
}
