//! The leader's part of a cell: jobs that wait or run, orders to endpoints, proofs.
//!
//! Each entry point takes the time and appends to the effects, which
//! [`CellDispatcher::take_effects`] drains.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_message::{CellName, CellReport},
        cell_placement::{self, PlacementAsk, PlacementChoice},
        decision_note::{DecisionNote, NoteEvent},
        endpoint_directory::EndpointRecord,
        endpoint_order::{
            EndpointOrder, ListedEnd, ListedRun, OrderBody, OrderNumber, OrderOutcome,
            OrderRefusal, RunEnd, RunLists,
        },
        endpoint_state::{EndpointRun, EndpointState, PendingLook, RunPhase},
        job_offer::{JobCode, JobOffer, JobVerdict, RefusalCause, ResourceRoom, TaskRef},
        run_forecast::RouteRatios,
    },
    prelude::*,
};

/// Lease given with each order, in ms: three looks may be lost before it runs out, and a
/// caller's second copy comes only after it.
const LEASE_MS: u64 = 800;
/// Longest wait of a look for an end, in ms: a third of the lease.
const LOOK_WAIT_MS: u64 = 260;
/// Time for an order's answer beyond its wait, in ms: many times a round trip, and short
/// enough to ask again within the lease.
const ORDER_TIME_MS: u64 = 200;
/// Time for which a run of a former leader waits for its job, in ms: entries offer their
/// jobs again as soon as they hear of the new leader, and the caller of an entry that is
/// gone may send a second copy elsewhere.
const ORPHAN_MS: u64 = 300;
/// Time from the acknowledgement of a stop until the run is over, in ms.
const STOP_MS: u64 = 55;
/// Time after which an unanswered stop is sent again, in ms.
const STOP_RESEND_MS: u64 = 150;
/// Time for which a job that a former leader had waits while some endpoint has not listed
/// its runs, in ms. That leader has returned the job or counts its entry as gone, so it
/// stops the job's runs or renews no lease for them.
const CLAIM_MS: u64 = LEASE_MS + 350;
/// Time for which an end that a former leader's job may ask for is kept, in ms.
const FORMER_END_MS: u64 = 3_000;
/// Pause after an order that an endpoint did not answer, in ms.
const SILENT_PAUSE_MS: u64 = 60;
/// Longest such pause, in ms: a dead endpoint costs one order in this time.
const MAX_SILENT_PAUSE_MS: u64 = 500;
/// Pause after another life answered at an endpoint's address, in ms: it announces itself
/// within one to two seconds.
const OTHER_LIFE_PAUSE_MS: u64 = 2_000;
/// Time without word from the entry that offered a job after which the job is withdrawn, in
/// ms: its caller may send a second copy 1.3 s after it has given up.
const WANTED_MS: u64 = 1_000;
/// Pause after an endpoint said that it is unhealthy, in ms.
const UNHEALTHY_PAUSE_MS: u64 = 250;
/// Verdicts that are kept for copies of a job.
const MAX_KEPT_VERDICTS: usize = 4_096;
/// Time for which a verdict is kept, in ms: the longest that a copy may come late.
const KEPT_VERDICT_MS: u64 = 20_000;
/// Step by which a run's number grows past one that an endpoint calls old.
const OLD_RUN_STEP: u32 = 64;
/// A run counts as stalled when it takes this many thousandths of its predicted time:
/// declared times are off by less.
const STALL_MILLI: u64 = 3_000;
/// Time added before a run counts as stalled, in ms: the spread of short runs.
const STALL_SLACK_MS: u64 = 150;
/// Shortest wait of a look that is to see how far a run is, in ms.
const SHORT_LOOK_MS: u64 = 30;
/// Latency objectives after which an answer is of no use to its caller.
const USELESS_OBJECTIVES: u64 = 3;
/// Jobs that a leader keeps waiting at most; beyond it, memory would grow with a burst.
const MAX_JOBS: usize = 4_096;
/// Shortest and longest time after which a refused caller is asked to return, in ms.
const RETRY_AFTER_MS: (u64, u64) = (200, 3_000);

/// Something for the surroundings to do.
#[derive(Data!)]
pub enum CellEffect {
    /// Send an order.
    Order(EndpointOrder),
    /// Tell the entry that offered a job, by the offer's number, how it ended.
    Verdict(VmName, JobCode, u64, JobVerdict),
    /// An endpoint knows a higher token: another entry leads the cell.
    Fenced,
    /// Write a line.
    Note(DecisionNote),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum TaskPhase {
    Waiting,
    Placed(EndpointName),
    Done,
}

/// A verdict that is kept for copies of what it answers.
enum KeptVerdict {
    End(JobCode),
    Refusal((VmName, JobCode, u64)),
}

#[derive(Clone, Debug)]
struct CellTask {
    task: TaskRef,
    phase: TaskPhase,
    last_run: u32,
    n_failed: u32,
    avoid: Option<EndpointName>,
}

struct CellJob {
    offer: JobOffer,
    front: VmName,
    arrived_at: ClockTime,
    /// Time by which it should end.
    due_at: ClockTime,
    /// Time until which its caller waits.
    waits_until: ClockTime,
    /// Time until which an answer is of use.
    useful_until: ClockTime,
    /// When its entry last said that the caller waits.
    wanted_at: ClockTime,
    tasks: Vec<CellTask>,
    n_left: usize,
    /// Whether any of its tasks may have started.
    may_have_run: bool,
}

impl CellJob {
    fn step_is_ready(&self, step: u32) -> bool {
        let is_done = |after: &u32| {
            let mut tasks = self.tasks.iter().filter(|it| it.task.step == *after);
            tasks.all(|it| it.phase == TaskPhase::Done)
        };
        self.offer.steps[step as usize].after.iter().all(is_done)
    }

    fn waits(&self) -> bool {
        self.tasks.iter().any(|it| it.phase == TaskPhase::Waiting)
    }
}

/// The leader's part of a cell.
pub struct CellDispatcher {
    cell: CellName,
    token: u64,
    endpoints: IndexMap<EndpointName, EndpointState>,
    jobs: IndexMap<JobCode, CellJob>,
    verdicts: IndexMap<JobCode, JobVerdict>,
    /// Refused offers: one that is sent again must not run.
    refusals: IndexMap<(VmName, JobCode, u64), JobVerdict>,
    verdict_times: VecDeque<(ClockTime, KeptVerdict)>,
    ratios: RouteRatios,
    /// Whether every endpoint that a former leader used is known.
    endpoints_are_known: bool,
    /// Tasks that ended as done before their job was offered here.
    former_done: IndexMap<TaskRef, ClockTime>,
    /// Whether any endpoint has obeyed this leader's token.
    is_obeyed: bool,
    /// Whether an endpoint has refused it for a higher token.
    is_fenced: bool,
    next_order: u64,
    wants_pass: bool,
    effects: Vec<CellEffect>,
}

impl CellDispatcher {
    /// A leader with this token; order numbers start after `first_order`.
    ///
    /// Where not all endpoints are known, repeated jobs wait until a lease has run out.
    pub fn new(
        cell: CellName,
        token: u64,
        first_order: u64,
        endpoints_are_known: bool,
    ) -> CellDispatcher {
        CellDispatcher {
            cell,
            token,
            endpoints: IndexMap::new(),
            jobs: IndexMap::new(),
            verdicts: IndexMap::new(),
            refusals: IndexMap::new(),
            verdict_times: VecDeque::new(),
            ratios: RouteRatios::default(),
            endpoints_are_known,
            former_done: IndexMap::new(),
            is_obeyed: false,
            is_fenced: false,
            next_order: first_order,
            wants_pass: false,
            effects: Vec::new(),
        }
    }

    /// The leader's token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Last order number that was used.
    pub fn last_order(&self) -> u64 {
        self.next_order
    }

    /// Drains the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether any endpoint has obeyed this leader.
    pub fn is_obeyed(&self) -> bool {
        self.is_obeyed
    }

    /// Jobs that have not ended.
    pub fn n_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Whether an endpoint with this name is in the cell.
    pub fn has_endpoint(&self, name: &EndpointName) -> bool {
        self.endpoints.contains_key(name)
    }

    /// Jobs of a route none of whose tasks has started.
    pub fn n_pending(&self, route: &str) -> u64 {
        let pending = |it: &&CellJob| it.offer.route == route && !it.may_have_run;
        self.jobs.values().filter(pending).count() as u64
    }

    /// What the leader tells of the cell.
    pub fn report(&self, now: ClockTime) -> CellReport {
        let mut report = CellReport {
            cell: self.cell.clone(),
            token: self.token,
            cpu: 0,
            free_cpu: 0,
            queued_work: 0,
        };
        for endpoint in self.endpoints.values() {
            if endpoint.takes_starts(now) {
                report.cpu += endpoint.record.room.cpu;
                report.free_cpu += endpoint.free_room().cpu;
            }
        }
        for job in self.jobs.values() {
            for task in job.tasks.iter().filter(|it| it.phase == TaskPhase::Waiting) {
                let step = &job.offer.steps[task.task.step as usize];
                let usual_ms = self.ratios.usual_ms(&job.offer.route, step.declared_ms);
                report.queued_work += usual_ms * step.need.cpu;
            }
        }
        report
    }

    fn note(&mut self, note: DecisionNote) {
        self.effects.push(CellEffect::Note(note));
    }

    // Endpoints

    /// Takes the endpoints of the cell, as announced.
    pub fn set_endpoints(&mut self, records: &[EndpointRecord], now: ClockTime) {
        let missing: Vec<EndpointName> = self
            .endpoints
            .keys()
            .filter(|name| !records.iter().any(|it| it.name == **name))
            .cloned()
            .collect();
        for name in missing {
            self.end_runs(&name, "gone", now);
            self.endpoints.swap_remove(&name);
        }
        for record in records {
            match self.endpoints.get_mut(&record.name) {
                Some(endpoint) if endpoint.record.born == record.born => {
                    endpoint.record = record.clone();
                }
                Some(endpoint) => {
                    endpoint.begin_life(record.clone(), now);
                }
                None => {
                    self.endpoints.insert(record.name.clone(), EndpointState::new(record.clone()));
                }
            }
        }
        self.look_everywhere(now);
        self.wants_pass = true;
        self.pass(now);
    }

    /// The endpoint's runs are over, as it is gone.
    fn end_runs(&mut self, name: &EndpointName, proof: &str, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let runs = std::mem::take(&mut endpoint.runs);
        for (task, run) in runs {
            self.requeue(task, run.run, name, proof, now);
        }
        self.wants_pass = true;
    }

    fn look_everywhere(&mut self, now: ClockTime) {
        for idx in 0..self.endpoints.len() {
            self.look(idx, now);
        }
    }

    /// Sends a look where one is due: to claim, to renew a lease, to hear of ends.
    fn look(&mut self, idx: usize, now: ClockTime) {
        let Some((name, endpoint)) = self.endpoints.get_index_mut(idx) else { return };
        if endpoint.look.is_some() || now < endpoint.retry_at {
            return;
        }
        let is_claim = !endpoint.claimed || endpoint.clock.is_none();
        if !is_claim && endpoint.runs.is_empty() && !endpoint.owes_cursor && endpoint.n_silent == 0
        {
            return;
        }
        let is_urgent = endpoint.runs.values().any(|it| it.phase == RunPhase::Doubted);
        let is_idle = endpoint.runs.values().all(|it| it.phase == RunPhase::Orphan);
        let wait_ms = if is_claim || is_urgent || is_idle || 0 < endpoint.n_silent {
            0
        } else {
            endpoint.overdue_in_ms(STALL_SLACK_MS, now).clamp(SHORT_LOOK_MS, LOOK_WAIT_MS)
        };
        // An endpoint that does not answer must be left to let its runs lapse.
        let renews = !is_claim && !is_idle && endpoint.n_silent == 0 && !self.is_fenced;
        let lease_until = if renews { endpoint.extend_lease(LEASE_MS, now) } else { None };
        self.next_order += 1;
        let number = OrderNumber(self.next_order);
        endpoint.look = Some(PendingLook { number, sent_at: now });
        let order = EndpointOrder {
            number,
            endpoint: name.clone(),
            address: endpoint.record.address.clone(),
            token: self.token,
            lease_until,
            time_limit_ms: wait_ms + ORDER_TIME_MS,
            body: OrderBody::Look { cursor: endpoint.cursor, wait_ms },
        };
        self.effects.push(CellEffect::Order(order));
    }

    // Jobs

    /// Takes a job that `front` offers.
    pub fn offer(&mut self, front: &VmName, offer: JobOffer, now: ClockTime) {
        let code = offer.job;
        if let Some(job) = self.jobs.get_mut(&code) {
            job.front = front.clone();
            job.wanted_at = now;
            job.offer.number = offer.number;
            job.waits_until = job.waits_until.max(now.plus_ms(offer.remaining_ms));
            let note = DecisionNote::new(now, NoteEvent::JobAttached, front.as_str(), "at work");
            self.note(note.about(code));
            return;
        }
        if let Some(verdict) = self.verdicts.get(&code).cloned() {
            let note = DecisionNote::new(now, NoteEvent::JobAttached, front.as_str(), "ended");
            self.note(note.about(code));
            self.effects.push(CellEffect::Verdict(front.clone(), code, offer.number, verdict));
            return;
        }
        if let Some(verdict) = self.refusals.get(&(front.clone(), code, offer.number)).cloned() {
            self.effects.push(CellEffect::Verdict(front.clone(), code, offer.number, verdict));
            return;
        }
        let mut job = self.new_job(front, offer, now);
        self.adopt_runs(&mut job, now);
        if !job.may_have_run
            && let Some((cause, wait_ms)) = self.refusal(&job, now)
        {
            self.refuse(&job, cause, wait_ms, now);
            return;
        }
        let is_done = job.n_left == 0;
        self.jobs.insert(code, job);
        if is_done {
            self.end_job(code, JobVerdict::Completed, now);
            return;
        }
        self.wants_pass = true;
        self.pass(now);
    }

    fn new_job(&self, front: &VmName, offer: JobOffer, now: ClockTime) -> CellJob {
        let mut tasks = Vec::new();
        for (step, spec) in offer.steps.iter().enumerate() {
            for idx in 0..spec.count {
                let task = TaskRef { job: offer.job, step: step as u32, idx };
                let last_run = offer.first_run;
                let phase = TaskPhase::Waiting;
                tasks.push(CellTask { task, phase, last_run, n_failed: 0, avoid: None });
            }
        }
        let chain_ms = self.ratios.usual_ms(&offer.route, offer.declared_chain_ms());
        let objective_ms = chain_ms * offer.stretch_milli / 1000 + offer.slack_ms;
        CellJob {
            front: front.clone(),
            arrived_at: now,
            due_at: now.minus_ms(offer.age_ms).plus_ms(objective_ms),
            waits_until: now.plus_ms(offer.remaining_ms),
            useful_until: now.minus_ms(offer.age_ms).plus_ms(objective_ms * USELESS_OBJECTIVES),
            wanted_at: now,
            n_left: tasks.len(),
            tasks,
            may_have_run: offer.is_repeat,
            offer,
        }
    }

    /// Joins runs of a former leader to the job that they belong to.
    fn adopt_runs(&mut self, job: &mut CellJob, now: ClockTime) {
        let mut n_adopted = 0;
        for task in &mut job.tasks {
            if self.former_done.swap_remove(&task.task).is_some() {
                task.phase = TaskPhase::Done;
                job.n_left -= 1;
                job.may_have_run = true;
                n_adopted += 1;
            }
        }
        for (name, endpoint) in &mut self.endpoints {
            for (task, run) in &mut endpoint.runs {
                if task.job != job.offer.job {
                    continue;
                }
                let Some(known) = job.tasks.iter_mut().find(|it| it.task == *task) else {
                    continue;
                };
                known.last_run = known.last_run.max(run.run);
                let step = &job.offer.steps[task.step as usize];
                run.need = step.need;
                run.predicted_ms = self.ratios.usual_ms(&job.offer.route, step.declared_ms);
                if run.phase == RunPhase::Orphan {
                    run.phase = RunPhase::Working;
                    run.since = now;
                }
                if known.phase == TaskPhase::Done {
                    continue;
                }
                known.phase = TaskPhase::Placed(name.clone());
                job.may_have_run = true;
                n_adopted += 1;
            }
        }
        if 0 < n_adopted {
            let note =
                DecisionNote::new(now, NoteEvent::RunAdopted, self.cell.to_string(), "adopted");
            self.note(note.about(job.offer.job).with("runs", n_adopted));
        }
    }

    /// Why a job that has not started should be refused, and the wait that it would have.
    fn refusal(&self, job: &CellJob, now: ClockTime) -> Option<(RefusalCause, u64)> {
        if self.endpoints.is_empty() {
            return Some((RefusalCause::NoEndpoint, 0));
        }
        let fits = |it| cell_placement::can_ever_fit(it, &self.endpoints);
        if !job.offer.steps.iter().all(fits) {
            return Some((RefusalCause::NeverFits, 0));
        }
        let wait_ms = self.wait_ms(job, now);
        if MAX_JOBS <= self.jobs.len() {
            return Some((RefusalCause::QueueFull, wait_ms));
        }
        let chain_ms = self.ratios.usual_ms(&job.offer.route, job.offer.declared_chain_ms());
        let is_hopeless = job.waits_until.min(job.useful_until) < now.plus_ms(wait_ms + chain_ms);
        is_hopeless.then_some((RefusalCause::Hopeless, wait_ms))
    }

    /// Predicted wait of a job behind those that go before it, in ms.
    fn wait_ms(&self, job: &CellJob, now: ClockTime) -> u64 {
        let usable = self.endpoints.values().filter(|it| it.takes_starts(now));
        let cpu: u64 = usable.map(|it| it.record.room.cpu).sum();
        if cpu == 0 {
            // Nothing is claimed yet; that says nothing of the wait.
            return 0;
        }
        let rank = self.rank(job, now);
        let ahead = self.jobs.values().filter(|it| it.waits() && self.rank(it, now) <= rank);
        let work: u64 = ahead
            .map(|it| {
                let n_waiting = it.tasks.iter().filter(|it| it.phase == TaskPhase::Waiting).count();
                let n_tasks = it.tasks.len().max(1) as u64;
                let declared = it.offer.declared_work() * n_waiting as u64 / n_tasks;
                self.ratios.usual_ms(&it.offer.route, declared)
            })
            .sum();
        work / cpu
    }

    /// Order in which jobs get endpoints: those that can still end in time first, the ones
    /// with the least slack before the others.
    fn rank(&self, job: &CellJob, now: ClockTime) -> (bool, ClockTime) {
        let chain_ms = self.ratios.usual_ms(&job.offer.route, job.offer.declared_chain_ms());
        let start_by = job.due_at.minus_ms(chain_ms);
        (start_by < now, start_by)
    }

    fn refuse(&mut self, job: &CellJob, cause: RefusalCause, wait_ms: u64, now: ClockTime) {
        check_invariant(Invariant::RefusalIsTrue, !job.may_have_run);
        let retry_ms = wait_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1);
        let note = DecisionNote::new(
            now,
            NoteEvent::JobRefused,
            self.cell.to_string(),
            format!("{cause:?}"),
        )
        .about(job.offer.job)
        .with("wait_ms", wait_ms)
        .with("remaining_ms", job.waits_until.since_ms(now))
        .with("waited_ms", now.since_ms(job.arrived_at))
        .with("jobs", self.jobs.len() as u64);
        self.note(note);
        let verdict = JobVerdict::Refused(cause, retry_ms);
        let offer = (job.front.clone(), job.offer.job, job.offer.number);
        self.refusals.insert(offer.clone(), verdict.clone());
        self.verdict_times.push_back((now, KeptVerdict::Refusal(offer.clone())));
        self.effects.push(CellEffect::Verdict(offer.0, offer.1, offer.2, verdict));
    }

    /// Takes word that the caller of an offer still waits; the verdict if it has none here.
    pub fn keep(
        &mut self,
        front: &VmName,
        code: JobCode,
        number: u64,
        now: ClockTime,
    ) -> Option<JobVerdict> {
        if let Some(job) = self.jobs.get_mut(&code) {
            if job.front == *front {
                job.wanted_at = now;
            }
            return None;
        }
        let refused = self.refusals.get(&(front.clone(), code, number));
        let known = refused.or_else(|| self.verdicts.get(&code)).cloned();
        Some(known.unwrap_or(JobVerdict::NotLeader))
    }

    fn withdraw_unwanted(&mut self, own: &VmName, now: ClockTime) {
        let is_unwanted =
            |it: &CellJob| it.front != *own && WANTED_MS <= now.since_ms(it.wanted_at);
        let codes: Vec<JobCode> =
            self.jobs.iter().filter(|(_, it)| is_unwanted(it)).map(|(code, _)| *code).collect();
        for code in codes {
            self.withdraw(code, now);
        }
    }

    /// Ends the runs of a job whose caller has left.
    pub fn withdraw(&mut self, code: JobCode, now: ClockTime) {
        let Some(job) = self.jobs.swap_remove(&code) else { return };
        let note =
            DecisionNote::new(now, NoteEvent::JobWithdrawn, self.cell.to_string(), "stopped");
        self.note(note.about(code).with("age_ms", now.since_ms(job.arrived_at)));
        for task in &job.tasks {
            if let TaskPhase::Placed(name) = &task.phase {
                self.stop_run(name, task.task, "caller left", now);
            }
        }
        self.pass(now);
    }

    /// Ends the jobs of an entry that is gone.
    pub fn withdraw_front(&mut self, front: &VmName, now: ClockTime) {
        let of_front = self.jobs.iter().filter(|(_, it)| it.front == *front);
        let codes: Vec<JobCode> = of_front.map(|(code, _)| *code).collect();
        for code in codes {
            self.withdraw(code, now);
        }
    }

    /// Gives the cell up: every job is returned to the entry that offered it.
    pub fn give_up(&mut self, now: ClockTime) {
        for (code, job) in std::mem::take(&mut self.jobs) {
            let number = job.offer.number;
            self.effects.push(CellEffect::Verdict(job.front, code, number, JobVerdict::NotLeader));
        }
        let note = DecisionNote::new(now, NoteEvent::CellLost, self.cell.to_string(), "given up");
        self.note(note.with("token", self.token));
    }

    fn end_job(&mut self, code: JobCode, verdict: JobVerdict, now: ClockTime) {
        let Some(job) = self.jobs.swap_remove(&code) else { return };
        let note = DecisionNote::new(
            now,
            NoteEvent::JobEnded,
            self.cell.to_string(),
            match verdict {
                JobVerdict::Completed => "completed",
                _ => "failed",
            },
        );
        let note = note
            .about(code)
            .with("age_ms", now.since_ms(job.arrived_at) + job.offer.age_ms)
            .with("late_ms", now.since_ms(job.due_at));
        self.note(note);
        self.verdicts.insert(code, verdict.clone());
        self.verdict_times.push_back((now, KeptVerdict::End(code)));
        self.effects.push(CellEffect::Verdict(job.front, code, job.offer.number, verdict));
    }

    fn forget_verdicts(&mut self, now: ClockTime) {
        while let Some((at, _)) = self.verdict_times.front() {
            if now.since_ms(*at) < KEPT_VERDICT_MS && self.verdict_times.len() < MAX_KEPT_VERDICTS {
                return;
            }
            match self.verdict_times.pop_front() {
                Some((_, KeptVerdict::End(code))) => self.verdicts.swap_remove(&code),
                Some((_, KeptVerdict::Refusal(offer))) => self.refusals.swap_remove(&offer),
                None => None,
            };
        }
    }

    // Placement

    /// Places what can be placed, if anything has changed.
    fn pass(&mut self, now: ClockTime) {
        if self.is_fenced || !std::mem::take(&mut self.wants_pass) {
            return;
        }
        let are_known = self.former_runs_are_known();
        let mut order: Vec<((bool, ClockTime), JobCode)> = self
            .jobs
            .iter()
            .filter(|(_, it)| {
                let is_over = CLAIM_MS <= now.since_ms(it.arrived_at);
                it.waits() && (are_known || is_over || !it.offer.is_repeat)
            })
            .map(|(code, it)| (self.rank(it, now), *code))
            .collect();
        if order.is_empty() || !self.endpoints.values().any(|it| it.takes_starts(now)) {
            return;
        }
        order.sort_unstable();
        let mut promised = IndexMap::new();
        for (_, code) in order {
            self.place_job(code, &mut promised, now);
        }
    }

    /// Whether every endpoint that a former leader may have used has listed its runs.
    fn former_runs_are_known(&self) -> bool {
        self.endpoints_are_known && self.endpoints.values().all(|it| it.claimed)
    }

    fn place_job(
        &mut self,
        code: JobCode,
        promised: &mut IndexMap<EndpointName, u32>,
        now: ClockTime,
    ) {
        let Some(job) = self.jobs.get(&code) else { return };
        let mut placed = Vec::new();
        for (idx, task) in job.tasks.iter().enumerate() {
            if task.phase == TaskPhase::Waiting && job.step_is_ready(task.task.step) {
                placed.push(idx);
            }
        }
        for idx in placed {
            let Some(job) = self.jobs.get(&code) else { return };
            let task = &job.tasks[idx];
            let step = &job.offer.steps[task.task.step as usize];
            let mut usual_ms = self.ratios.usual_ms(&job.offer.route, step.declared_ms);
            if step.data_rack.as_ref().is_some_and(|it| *it != self.cell.rack) {
                usual_ms *= 2;
            }
            // A lone endpoint is all that there is, also after a failure.
            let avoid = task.avoid.as_ref().filter(|_| 1 < self.endpoints.len());
            let due_at = job.due_at;
            let ask = PlacementAsk { task: task.task, step, usual_ms, due_at, avoid };
            match cell_placement::choose_endpoint(&ask, &self.endpoints, promised, now) {
                PlacementChoice::Start(name, predicted_ms) => {
                    self.start_task(code, idx, &name, predicted_ms, now);
                }
                PlacementChoice::Wait(name) => *promised.entry(name).or_default() += 1,
                PlacementChoice::Nowhere => return,
            }
        }
    }

    fn start_task(
        &mut self,
        code: JobCode,
        idx: usize,
        name: &EndpointName,
        predicted_ms: u64,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(job) = self.jobs.get_mut(&code) else { return };
        check_invariant(Invariant::EndpointAcceptsWork, !endpoint.record.leaving);
        let lease_until = endpoint.extend_lease(LEASE_MS, now);
        let task = &mut job.tasks[idx];
        check_invariant(Invariant::TaskStartsOnce, task.phase == TaskPhase::Waiting);
        task.last_run += 1;
        task.phase = TaskPhase::Placed(name.clone());
        job.may_have_run = true;
        let need = job.offer.steps[task.task.step as usize].need;
        let run = EndpointRun {
            run: task.last_run,
            need,
            phase: RunPhase::Ordered,
            since: now,
            ordered_at: now,
            predicted_ms,
            sent_at: now,
        };
        let free = endpoint.free_room();
        endpoint.runs.insert(task.task, run);
        self.next_order += 1;
        let order = EndpointOrder {
            number: OrderNumber(self.next_order),
            endpoint: name.clone(),
            address: endpoint.record.address.clone(),
            token: self.token,
            lease_until,
            time_limit_ms: ORDER_TIME_MS,
            body: OrderBody::Start {
                task: task.task,
                run: task.last_run,
                spec: job.offer.spec.clone(),
            },
        };
        let note = DecisionNote::new(now, NoteEvent::TaskPlaced, name.as_str(), "ordered")
            .about(code)
            .with("step", u64::from(task.task.step))
            .with("idx", u64::from(task.task.idx))
            .with("run", u64::from(task.last_run))
            .with("predicted_ms", predicted_ms)
            .with("free_cpu", free.cpu)
            .with("age_ms", now.since_ms(job.arrived_at) + job.offer.age_ms);
        self.effects.push(CellEffect::Order(order));
        self.note(note);
    }

    /// Puts a task back into the queue, on proof that its run is over or never was.
    fn requeue(
        &mut self,
        task: TaskRef,
        run: u32,
        name: &EndpointName,
        proof: &str,
        now: ClockTime,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == task) else { return };
        if known.phase != TaskPhase::Placed(name.clone()) {
            return;
        }
        known.phase = TaskPhase::Waiting;
        let note = DecisionNote::new(now, NoteEvent::TaskRequeued, name.as_str(), proof)
            .about(task.job)
            .with("idx", u64::from(task.idx))
            .with("run", u64::from(run));
        self.note(note);
        self.wants_pass = true;
    }

    /// Removes a run from its endpoint.
    fn remove_run(&mut self, name: &EndpointName, task: TaskRef, run: u32) -> Option<EndpointRun> {
        let endpoint = self.endpoints.get_mut(name)?;
        if endpoint.runs.get(&task)?.run != run {
            return None;
        }
        self.wants_pass = true;
        endpoint.runs.swap_remove(&task)
    }

    // Answers to orders

    /// Takes what became of an order.
    pub fn take_outcome(&mut self, order: &EndpointOrder, outcome: OrderOutcome, now: ClockTime) {
        let name = &order.endpoint;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let was_answered = match &outcome {
            OrderOutcome::Carried(clock, _) => {
                endpoint.hear(*clock, now);
                true
            }
            OrderOutcome::Refused(_, clock) => {
                if let Some(clock) = clock {
                    endpoint.hear(*clock, now);
                }
                true
            }
            OrderOutcome::NotSent | OrderOutcome::Lost => false,
        };
        if !was_answered {
            endpoint.n_silent += 1;
            let pause_ms = (SILENT_PAUSE_MS << endpoint.n_silent.min(6)) / 2;
            let pause_ms = if endpoint.n_silent <= 1 { 0 } else { pause_ms };
            endpoint.retry_at = now.plus_ms(pause_ms.min(MAX_SILENT_PAUSE_MS));
        }
        match (&outcome, order.token == self.token) {
            (OrderOutcome::Refused(OrderRefusal::Fenced, _), true) => {
                self.is_fenced = true;
                self.effects.push(CellEffect::Fenced);
            }
            (OrderOutcome::Refused(OrderRefusal::OtherLife, _), _) => {
                self.end_runs(name, "another endpoint answers", now);
                if let Some(endpoint) = self.endpoints.get_mut(name) {
                    endpoint.retry_at = now.plus_ms(OTHER_LIFE_PAUSE_MS);
                }
            }
            _ => {}
        }
        match &order.body {
            OrderBody::Start { task, run, .. } => {
                self.take_start(name, *task, *run, &outcome, now);
            }
            OrderBody::Stop { task, run } => self.take_stop(name, *task, *run, &outcome, now),
            OrderBody::Look { .. } => self.take_look(order, outcome, now),
        }
        self.pass(now);
        if let Some(idx) = self.endpoints.get_index_of(name) {
            self.look(idx, now);
        }
    }

    fn take_start(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        run: u32,
        outcome: &OrderOutcome,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(known) = endpoint.runs.get_mut(&task).filter(|it| it.run == run) else { return };
        let refusal = match outcome {
            OrderOutcome::Carried(..) => {
                if matches!(known.phase, RunPhase::Ordered | RunPhase::Doubted) {
                    known.phase = RunPhase::Working;
                    known.since = now;
                }
                endpoint.note_start();
                return;
            }
            OrderOutcome::Lost => {
                if known.phase == RunPhase::Ordered {
                    known.phase = RunPhase::Doubted;
                    known.since = now;
                }
                let note = DecisionNote::new(now, NoteEvent::OrderLost, name.as_str(), "start");
                let note = note.about(task.job).with("idx", u64::from(task.idx));
                self.note(note.with("run", u64::from(run)));
                return;
            }
            OrderOutcome::NotSent => None,
            OrderOutcome::Refused(refusal, _) => Some(*refusal),
        };
        let is_stopping = matches!(known.phase, RunPhase::Stopping { .. });
        match refusal {
            Some(OrderRefusal::NoRoom) => endpoint.note_no_room(now),
            Some(OrderRefusal::Unhealthy) => {
                endpoint.start_at = now.plus_ms(UNHEALTHY_PAUSE_MS);
                endpoint.on_probation = true;
            }
            Some(OrderRefusal::LateLease) => endpoint.clock = None,
            _ => {}
        }
        // A run that is being stopped stays until its stop is through.
        if is_stopping && refusal.is_none() {
            return;
        }
        self.remove_run(name, task, run);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(known) = job.tasks.iter_mut().find(|it| it.task == task)
            && refusal == Some(OrderRefusal::OldRun)
        {
            known.last_run += OLD_RUN_STEP;
        }
        let proof = match refusal {
            Some(refusal) => format!("refused: {refusal:?}"),
            None => "not sent".to_owned(),
        };
        if refusal == Some(OrderRefusal::Malformed) {
            self.fail_task(task, run, name, now);
        } else {
            self.requeue(task, run, name, &proof, now);
        }
    }

    fn take_stop(
        &mut self,
        name: &EndpointName,
        task: TaskRef,
        run: u32,
        outcome: &OrderOutcome,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(known) = endpoint.runs.get_mut(&task).filter(|it| it.run == run) else { return };
        let RunPhase::Stopping { acked_at, was_seen } = &mut known.phase else { return };
        if !matches!(outcome, OrderOutcome::Carried(..)) {
            return;
        }
        acked_at.get_or_insert(now);
        if !*was_seen {
            self.remove_run(name, task, run);
            self.requeue(task, run, name, "stopped before it started", now);
        }
    }

    fn take_look(&mut self, order: &EndpointOrder, outcome: OrderOutcome, now: ClockTime) {
        let name = &order.endpoint;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(look) = endpoint.look.filter(|it| it.number == order.number) else { return };
        endpoint.look = None;
        let lists = match &outcome {
            OrderOutcome::Carried(_, lists) => lists.clone().unwrap_or_default(),
            OrderOutcome::Refused(refusal, _) => {
                endpoint.retry_at = now.plus_ms(UNHEALTHY_PAUSE_MS);
                if *refusal == OrderRefusal::OtherLife {
                    endpoint.retry_at = now.plus_ms(OTHER_LIFE_PAUSE_MS);
                }
                return;
            }
            OrderOutcome::NotSent | OrderOutcome::Lost => {
                let note = DecisionNote::new(now, NoteEvent::OrderLost, name.as_str(), "look");
                let note = note.with("silent", u64::from(endpoint.n_silent));
                if endpoint.n_silent <= 2 {
                    self.note(note.with("waited_ms", now.since_ms(look.sent_at)));
                }
                return;
            }
        };
        if let Some(born) = lists.born
            && endpoint.record.born < born
        {
            let record = EndpointRecord { born, ..endpoint.record.clone() };
            endpoint.begin_life(record, now);
            if let OrderOutcome::Carried(clock, _) = outcome {
                endpoint.hear(clock, now);
            }
        }
        endpoint.claim();
        self.is_obeyed = true;
        let OrderBody::Look { cursor, .. } = order.body else { return };
        if endpoint.cursor <= cursor {
            endpoint.owes_cursor = false;
        }
        self.take_lists(name, lists, look, now);
    }

    fn take_lists(
        &mut self,
        name: &EndpointName,
        lists: RunLists,
        look: PendingLook,
        now: ClockTime,
    ) {
        for end in &lists.ended {
            self.take_end(name, end, now);
        }
        for run in &lists.running {
            self.take_listed(name, run, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let is_unlisted = |task: &TaskRef, run: &EndpointRun| {
            run.since < look.sent_at
                && matches!(run.phase, RunPhase::Working | RunPhase::Doubted | RunPhase::Orphan)
                && !lists.running.iter().any(|it| it.task == *task && it.run == run.run)
        };
        let unlisted: Vec<TaskRef> = endpoint
            .runs
            .iter()
            .filter(|(task, run)| is_unlisted(task, run))
            .map(|(task, _)| *task)
            .collect();
        for task in unlisted {
            self.stop_run(name, task, "not listed", now);
        }
    }

    fn take_listed(&mut self, name: &EndpointName, listed: &ListedRun, now: ClockTime) {
        let task = listed.task;
        let is_job_here = self.jobs.contains_key(&task.job);
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else {
            self.take_unknown_run(name, listed, is_job_here, now);
            return;
        };
        match &mut run.phase {
            RunPhase::Ordered | RunPhase::Doubted if run.run == listed.run => {
                run.phase = RunPhase::Working;
                run.since = run.ordered_at;
            }
            RunPhase::Stopping { was_seen, .. } => *was_seen = true,
            RunPhase::Working if run.run == listed.run => self.judge_run(name, listed, now),
            _ => {}
        }
    }

    /// Notes a run that this leader has not ordered, or has given up.
    fn take_unknown_run(
        &mut self,
        name: &EndpointName,
        listed: &ListedRun,
        is_job_here: bool,
        now: ClockTime,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let run = EndpointRun {
            run: listed.run,
            need: ResourceRoom { cpu: 1, mem_mb: 0, gpu: 0 },
            phase: RunPhase::Orphan,
            since: now,
            ordered_at: now,
            predicted_ms: 1,
            sent_at: now,
        };
        endpoint.runs.insert(listed.task, run);
        if !is_job_here {
            return;
        }
        let Some(job) = self.jobs.get_mut(&listed.task.job) else { return };
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == listed.task) else { return };
        if known.phase == TaskPhase::Waiting {
            // The job came before this endpoint's list.
            known.phase = TaskPhase::Placed(name.clone());
            known.last_run = known.last_run.max(listed.run);
            let step = &job.offer.steps[listed.task.step as usize];
            let usual_ms = self.ratios.usual_ms(&job.offer.route, step.declared_ms);
            if let Some(run) = endpoint.runs.get_mut(&listed.task) {
                run.phase = RunPhase::Working;
                run.need = step.need;
                run.predicted_ms = usual_ms;
            }
        } else {
            self.stop_run(name, listed.task, "a second run", now);
        }
    }

    /// Stops a run that stalls when a fresh one would end sooner.
    fn judge_run(&mut self, name: &EndpointName, listed: &ListedRun, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get(&listed.task) else { return };
        let worked_ms = now.since_ms(run.since);
        let limit_ms = STALL_MILLI * run.predicted_ms / 1000 + STALL_SLACK_MS;
        let total_ms = worked_ms * 100 / listed.percent.max(1);
        if worked_ms < run.predicted_ms + STALL_SLACK_MS || total_ms < limit_ms {
            return;
        }
        let factor_milli = endpoint.pace.factor_milli(now);
        let usual_ms = run.predicted_ms * 1000 / factor_milli.max(1);
        endpoint.pace.learn_slowness(total_ms, usual_ms, now);
        let left_ms = total_ms.saturating_sub(worked_ms);
        let free = endpoint.record.name.clone();
        let need = run.need;
        let is_room_elsewhere = self.endpoints.values().any(|it| {
            it.record.name != free
                && it.takes_starts(now)
                && !it.pace.is_slow(now)
                && it.free_room().fits(&need)
        });
        if usual_ms * 2 < left_ms && is_room_elsewhere {
            if let Some(job) = self.jobs.get_mut(&listed.task.job)
                && let Some(task) = job.tasks.iter_mut().find(|it| it.task == listed.task)
            {
                task.avoid = Some(name.clone());
            }
            self.stop_run(name, listed.task, "stalled", now);
        }
    }

    fn take_end(&mut self, name: &EndpointName, end: &ListedEnd, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if end.number <= endpoint.cursor {
            return;
        }
        endpoint.cursor = end.number;
        endpoint.owes_cursor = true;
        let Some(run) = self.remove_run(name, end.task, end.run) else {
            self.take_former_end(end, now);
            return;
        };
        let is_own_stop = matches!(run.phase, RunPhase::Stopping { .. });
        match end.end {
            RunEnd::Done => {
                self.learn(name, end.task, &run, now);
                self.finish_task(end.task, now);
            }
            RunEnd::Failed => self.fail_task(end.task, end.run, name, now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken => {
                let proof = if is_own_stop { "stopped" } else { "ended without its work" };
                self.requeue(end.task, end.run, name, proof, now);
            }
        }
    }

    /// An end of a run that a former leader ordered and this one has not seen at work.
    fn take_former_end(&mut self, end: &ListedEnd, now: ClockTime) {
        if end.end != RunEnd::Done {
            return;
        }
        let Some(job) = self.jobs.get(&end.task.job) else {
            self.former_done.insert(end.task, now);
            return;
        };
        if job.tasks.iter().any(|it| it.task == end.task && it.phase == TaskPhase::Waiting) {
            self.finish_task(end.task, now);
        }
    }

    fn learn(&mut self, name: &EndpointName, task: TaskRef, run: &EndpointRun, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if endpoint.note_done() {
            let note = DecisionNote::new(now, NoteEvent::EndpointReadmitted, name.as_str(), "done");
            self.effects.push(CellEffect::Note(note));
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        let declared_ms = job.offer.steps[task.step as usize].declared_ms;
        let run_ms = now.since_ms(run.ordered_at).max(1);
        let usual_ms = self.ratios.usual_ms(&job.offer.route, declared_ms);
        let factor_milli = endpoint.pace.factor_milli(now);
        endpoint.pace.learn(run_ms, usual_ms, now);
        self.ratios.learn(&job.offer.route, run_ms, declared_ms, factor_milli);
    }

    fn finish_task(&mut self, task: TaskRef, now: ClockTime) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == task) else { return };
        if known.phase == TaskPhase::Done {
            return;
        }
        known.phase = TaskPhase::Done;
        job.n_left -= 1;
        self.wants_pass = true;
        if job.n_left == 0 {
            self.end_job(task.job, JobVerdict::Completed, now);
        }
    }

    fn fail_task(&mut self, task: TaskRef, run: u32, name: &EndpointName, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let quarantine_ms = endpoint.note_failure(now);
        let n_in_row = endpoint.n_failed;
        if let Some(span_ms) = quarantine_ms {
            let event = NoteEvent::EndpointQuarantined;
            let note = DecisionNote::new(now, event, name.as_str(), "failures");
            self.note(note.with("span_ms", span_ms).with("failed", u64::from(n_in_row)));
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let max_attempts = job.offer.max_attempts.max(1);
        let Some(known) = job.tasks.iter_mut().find(|it| it.task == task) else { return };
        known.n_failed += 1;
        known.avoid = Some(name.clone());
        let n_failed = known.n_failed;
        let note = DecisionNote::new(now, NoteEvent::TaskFailed, name.as_str(), "failed")
            .about(task.job)
            .with("idx", u64::from(task.idx))
            .with("failed", u64::from(n_failed))
            .with("max_attempts", u64::from(max_attempts));
        self.note(note);
        if n_failed < max_attempts {
            self.requeue(task, run, name, "failed", now);
            return;
        }
        let others: Vec<(EndpointName, TaskRef)> = self.jobs[&task.job]
            .tasks
            .iter()
            .filter_map(|it| match &it.phase {
                TaskPhase::Placed(name) if it.task != task => Some((name.clone(), it.task)),
                _ => None,
            })
            .collect();
        self.end_job(task.job, JobVerdict::Failed, now);
        for (name, task) in others {
            self.stop_run(&name, task, "job failed", now);
        }
    }

    /// Sends a stop for a run; the task waits until the run is proved to be over.
    fn stop_run(&mut self, name: &EndpointName, task: TaskRef, why: &str, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else { return };
        let was_seen = match run.phase {
            RunPhase::Stopping { .. } => return,
            RunPhase::Working | RunPhase::Orphan | RunPhase::Ordered => why != "not listed",
            RunPhase::Doubted => false,
        };
        run.phase = RunPhase::Stopping { acked_at: None, was_seen };
        run.since = now;
        let number = run.run;
        self.send_stop(name, task, now);
        let note = DecisionNote::new(now, NoteEvent::TaskStopped, name.as_str(), why);
        let note = note.about(task.job).with("idx", u64::from(task.idx));
        self.note(note.with("run", u64::from(number)));
    }

    fn send_stop(&mut self, name: &EndpointName, task: TaskRef, now: ClockTime) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(run) = endpoint.runs.get_mut(&task) else { return };
        run.sent_at = now;
        self.next_order += 1;
        let order = EndpointOrder {
            number: OrderNumber(self.next_order),
            endpoint: name.clone(),
            address: endpoint.record.address.clone(),
            token: self.token,
            lease_until: None,
            time_limit_ms: ORDER_TIME_MS,
            body: OrderBody::Stop { task, run: run.run },
        };
        self.effects.push(CellEffect::Order(order));
    }

    // Time

    /// Lets time pass.
    pub fn tick(&mut self, own: &VmName, now: ClockTime) {
        self.forget_verdicts(now);
        self.withdraw_unwanted(own, now);
        self.former_done.retain(|_, at| now.since_ms(*at) < FORMER_END_MS);
        for idx in 0..self.endpoints.len() {
            self.tick_endpoint(idx, now);
            self.look(idx, now);
        }
        self.refuse_hopeless(now);
        self.wants_pass = true;
        self.pass(now);
    }

    fn tick_endpoint(&mut self, idx: usize, now: ClockTime) {
        let Some((name, endpoint)) = self.endpoints.get_index(idx) else { return };
        let name = name.clone();
        if 0 < endpoint.n_silent && !endpoint.runs.is_empty() && endpoint.lease_is_over(now) {
            let runs = std::mem::take(&mut self.endpoints[idx].runs);
            for (task, run) in runs {
                self.requeue(task, run.run, &name, "lease ran out", now);
            }
            return;
        }
        let mut over = Vec::new();
        let mut resend = Vec::new();
        let mut stray = Vec::new();
        for (task, run) in &endpoint.runs {
            match run.phase {
                RunPhase::Stopping { acked_at: Some(at), .. } if STOP_MS <= now.since_ms(at) => {
                    over.push((*task, run.run));
                }
                RunPhase::Stopping { acked_at: None, .. }
                    if STOP_RESEND_MS <= now.since_ms(run.sent_at) && endpoint.retry_at <= now =>
                {
                    resend.push(*task);
                }
                RunPhase::Orphan if ORPHAN_MS <= now.since_ms(run.since) => stray.push(*task),
                _ => {}
            }
        }
        for (task, run) in over {
            self.remove_run(&name, task, run);
            self.requeue(task, run, &name, "stop acknowledged", now);
        }
        for task in resend {
            self.send_stop(&name, task, now);
        }
        for task in stray {
            self.stop_run(&name, task, "no job claims it", now);
        }
    }

    /// Refuses jobs that have not started and can no longer end while their caller waits.
    fn refuse_hopeless(&mut self, now: ClockTime) {
        let hopeless: Vec<(JobCode, RefusalCause, u64)> = self
            .jobs
            .iter()
            .filter(|(_, it)| !it.may_have_run)
            .filter_map(|(code, it)| self.refusal(it, now).map(|(cause, ms)| (*code, cause, ms)))
            .collect();
        for (code, cause, wait_ms) in hopeless {
            if let Some(job) = self.jobs.swap_remove(&code) {
                self.refuse(&job, cause, wait_ms, now);
            }
        }
    }
}
