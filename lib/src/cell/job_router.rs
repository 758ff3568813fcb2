//! Routing of the jobs whose callers are connected to this entry: the choice of a cell,
//! and what happens when its leader changes.
//!
//! A job is bound to the cell that it was first offered to. It moves to another cell
//! only after a refusal, which proves that none of its tasks has started. Within its cell
//! it moves to another leader only under a higher token: endpoints that have seen that
//! token reject every former leader, whereas a leader with a higher token than the new one
//! could still start its tasks.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::{IndexMap, IndexSet};

use crate::{
    cell::{
        cell_message::{CellName, CellReport},
        job_offer::{JobCode, JobOffer},
        run_forecast::FAST_FACTOR_MILLI,
    },
    entry_node::CallNumber,
    prelude::*,
};

/// Penalty of a cell in another data centre, in ms of wait: a few round trips, and traffic
/// between data centres, which costs money.
const REMOTE_COST_MS: u64 = 6;
/// Half of the first pause and the longest one after an offer was declined, in ms: the next heartbeat
/// tells of another leader.
const DECLINED_PAUSE_MS: (u64, u64) = (10, 320);
/// Age beyond which a leader's report is ignored.
const MAX_REPORT_AGE_MS: u64 = 1_500;

/// Number of refused jobs after which the list of the former ones is dropped.
const MAX_REFUSED_JOBS: usize = 2_048;

/// A job whose caller waits at this entry.
#[derive(Clone, Debug)]
pub struct RoutedJob {
    /// The call that waits for it.
    pub call: CallNumber,
    /// The job as its caller submitted it, with the fields of its last offer.
    pub offer: JobOffer,
    /// When it was received.
    pub received_at: ClockTime,
    /// Time until which its caller waits.
    pub caller_deadline: ClockTime,
    /// Cell that it is bound to.
    pub cell: Option<CellName>,
    /// Leader to which it was offered, while that one is believed to hold it.
    pub leader: Option<VmName>,
    /// When it was last offered, or its last keep-alive sent.
    pub offered_at: ClockTime,
    /// When its leader was lost, or else when it was received.
    pub unassigned_since: ClockTime,
    /// Whether it was offered to a leader that has not refused it.
    pub was_offered: bool,
    /// Cells that refused it.
    pub refused_by: Vec<CellName>,
    /// Number of times that it was moved to another cell.
    pub n_moves: u32,
}

impl RoutedJob {
    /// The offer with its relative times as of `now`.
    pub fn current_offer(&self, now: ClockTime) -> JobOffer {
        let mut offer = self.offer.clone();
        offer.age_ms = now.since_ms(self.received_at);
        offer.remaining_ms = self.caller_deadline.since_ms(now);
        offer.is_repeat = self.was_offered;
        offer
    }

    /// Whether it may be offered to the leader of `view`.
    pub fn may_offer_to(&self, view: &CellView) -> bool {
        !self.was_offered || self.offer.token <= view.report.token
    }
}

/// The last report of a cell and what this entry has offered since.
#[derive(Clone, Debug)]
pub struct CellView {
    /// Its leader.
    pub leader: VmName,
    /// The leader's last report.
    pub report: CellReport,
    /// When the report arrived.
    pub reported_at: ClockTime,
    /// Processor demand of the jobs offered since the report, in thousandths of a core.
    pub offered_cpu: u64,
    /// Declared work of the jobs offered since the report, in ms of thousandths of a core.
    pub offered_work: u64,
}

impl CellView {
    /// Processor available to jobs without local data, in thousandths of a core.
    fn unreserved_cpu(&self) -> u64 {
        self.report.unreserved_cpu.saturating_sub(self.offered_cpu)
    }

    /// Whether a job could start at once if it may use reserved processor, too.
    pub fn fits_free_cpu(&self, offer: &JobOffer) -> bool {
        let free = self.report.free_cpu.saturating_sub(self.offered_cpu);
        offer.initial_cpu() <= free && self.report.queued_work == 0
    }

    /// Whether a job without local data could start at once.
    pub fn fits_unreserved_cpu(&self, offer: &JobOffer) -> bool {
        offer.initial_cpu() <= self.unreserved_cpu() && self.report.queued_work == 0
    }
}

/// Chooses the cell for a job that has not been offered, or was refused by some.
///
/// Other entries choose at the same time by the same reports. To avoid that all of them pick
/// the emptiest cell, a job without a data rack is spread at random over the cells that it
/// fits, weighted by their unreserved processor.
pub fn choose_cell(
    job: &RoutedJob,
    centre: &DataCentre,
    views: &IndexMap<CellName, CellView>,
    now: ClockTime,
) -> Option<CellName> {
    let usable = |cell: &CellName, view: &CellView| {
        cell.service == job.offer.service
            && !job.refused_by.contains(cell)
            && now.since_ms(view.reported_at) <= MAX_REPORT_AGE_MS
            && 0 < view.report.cpu
    };
    if let Some(rack) = job.offer.data_rack()
        && let Some((cell, _)) =
            views.iter().find(|(cell, view)| cell.rack == rack && usable(cell, view))
    {
        return Some(cell.clone());
    }
    let usable = || views.iter().filter(|(cell, view)| usable(cell, view));
    let local = usable().filter(|(cell, _)| cell.centre == *centre);
    if let Some(cell) = draw_weighted(job, local) {
        return Some(cell);
    }
    if let Some(cell) = draw_weighted(job, usable().filter(|(cell, _)| cell.centre != *centre)) {
        return Some(cell);
    }
    let best = usable().min_by_key(|(cell, view)| {
        let remote_ms = if cell.centre == *centre { 0 } else { REMOTE_COST_MS };
        jittered_wait(job, cell, view) + remote_ms
    });
    best.map(|(cell, _)| cell.clone())
}

/// Chooses another cell for a job that would wait `wait_ms` in its own, if it is expected to
/// end sooner there. Off its data's rack, tasks take `off_rack_milli` thousandths of their time.
pub fn choose_move_target(
    job: &RoutedJob,
    off_rack_milli: u64,
    wait_ms: u64,
    views: &IndexMap<CellName, CellView>,
    now: ClockTime,
) -> Option<CellName> {
    let critical_path_ms = job.offer.declared_critical_path_ms();
    let others = || {
        views.iter().filter(|(cell, view)| {
            cell.service == job.offer.service
                && job.cell.as_ref() != Some(*cell)
                && now.since_ms(view.reported_at) <= MAX_REPORT_AGE_MS
        })
    };
    let off_rack_milli = if job.offer.data_rack().is_some() { off_rack_milli } else { 1_000 };
    let ends_sooner =
        |milli| critical_path_ms * milli / 1000 + REMOTE_COST_MS < wait_ms + critical_path_ms;
    let fits_fast_cpu = |view: &CellView| {
        job.offer.initial_cpu() <= view.report.fast_cpu.saturating_sub(view.offered_cpu)
    };
    let fast = others().filter(|(_, view)| fits_fast_cpu(view));
    if ends_sooner(off_rack_milli * FAST_FACTOR_MILLI / 1000)
        && let Some(cell) = draw_weighted(job, fast)
    {
        return Some(cell);
    }
    if ends_sooner(off_rack_milli)
        && let Some(cell) = draw_weighted(job, others())
    {
        return Some(cell);
    }
    // Queue lengths differ between cells, as entries choose by reports of different age.
    let waits = others().map(|(cell, view)| (jittered_wait(job, cell, view), cell));
    let (other_wait_ms, cell) = waits.min_by_key(|(wait_ms, _)| *wait_ms)?;
    let is_sooner =
        critical_path_ms * off_rack_milli / 1000 + other_wait_ms < critical_path_ms + wait_ms;
    is_sooner.then(|| cell.clone())
}

/// Chooses a cell with enough free processor, reserved or not, for a job that would otherwise
/// be refused.
pub fn choose_free_cell(
    job: &RoutedJob,
    views: &IndexMap<CellName, CellView>,
    now: ClockTime,
) -> Option<CellName> {
    let usable = views.iter().filter(|(cell, view)| {
        cell.service == job.offer.service
            && !job.refused_by.contains(cell)
            && now.since_ms(view.reported_at) <= MAX_REPORT_AGE_MS
            && view.fits_free_cpu(&job.offer)
    });
    usable.min_by_key(|(cell, _)| hash_milli(job, cell)).map(|(cell, _)| cell.clone())
}

/// Draws a cell in which the job can start at once, weighted by unreserved processor.
fn draw_weighted<'a>(
    job: &RoutedJob,
    cells: impl Iterator<Item = (&'a CellName, &'a CellView)>,
) -> Option<CellName> {
    let weighted = cells
        .filter(|(_, view)| view.fits_unreserved_cpu(&job.offer))
        .map(|(cell, view)| (cell, view.unreserved_cpu()));
    // Weighted rendezvous hashing: the minimum of exponential variates whose rates are the weights.
    let variate = |cell: &CellName, weight: u64| {
        let uniform = (hash_milli(job, cell) as f64 + 1.0) / 1001.0;
        -uniform.ln() / weight.max(1) as f64
    };
    let variates = weighted.map(|(cell, weight)| (variate(cell, weight), cell));
    variates.min_by(|(lhs, _), (rhs, _)| lhs.total_cmp(rhs)).map(|(_, cell)| cell.clone())
}

/// Hash of a job and a cell, from 0 to 999.
fn hash_milli(job: &RoutedJob, cell: &CellName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (job.offer.job.0, &cell.rack, &cell.centre).hash(&mut hasher);
    hasher.finish() % 1000
}

/// Expected wait in a cell, in ms, with jitter of up to a half: without it all entries would
/// choose the shortest queue.
fn jittered_wait(job: &RoutedJob, cell: &CellName, view: &CellView) -> u64 {
    expected_wait(job, view) * (1000 + hash_milli(job, cell) / 2) / 1000
}

/// Expected wait in a cell, in ms.
fn expected_wait(job: &RoutedJob, view: &CellView) -> u64 {
    let report = &view.report;
    let waiting = report.queued_work + view.offered_work;
    let missing_cpu = job.offer.initial_cpu().saturating_sub(view.unreserved_cpu());
    // For the processor that is missing, running work of the job's own length must end first.
    (waiting + missing_cpu * job.offer.declared_critical_path_ms()) / report.cpu.max(1) + 1
}

/// Offers of a job in a row that were declined.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeclinedOffers {
    n_declined: u32,
    /// Token of the last one.
    token: u64,
    /// The job is not offered again under this token before this time.
    retry_at: ClockTime,
    /// Whether nothing has used the run numbers of the last offer.
    numbers_are_unused: bool,
}

/// All jobs whose callers wait at this entry.
#[derive(Clone, Debug, Default)]
pub struct JobRouter {
    /// The jobs by id.
    pub jobs: IndexMap<JobCode, RoutedJob>,
    /// Jobs that were refused last, and those before them.
    refused: IndexSet<JobCode>,
    refused_before: IndexSet<JobCode>,
    /// Jobs whose last offers were declined.
    declined: IndexMap<JobCode, DeclinedOffers>,
}

impl JobRouter {
    /// Remembers that a job was refused, so that its caller goes first when it comes back.
    pub fn remember_refusal(&mut self, code: JobCode) {
        if MAX_REFUSED_JOBS <= self.refused.len() {
            self.refused_before = std::mem::take(&mut self.refused);
        }
        self.refused.insert(code);
    }

    /// Whether this entry has lately refused a job.
    pub fn was_refused(&self, code: JobCode) -> bool {
        self.refused.contains(&code) || self.refused_before.contains(&code)
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, code: JobCode) -> Option<RoutedJob> {
        self.declined.swap_remove(&code);
        self.jobs.swap_remove(&code)
    }

    /// Whether a job has to wait after its last offers were declined. A newer leader gets it at once.
    pub(super) fn must_wait(&self, code: JobCode, token: u64, now: ClockTime) -> bool {
        self.declined.get(&code).is_some_and(|it| token <= it.token && now < it.retry_at)
    }

    /// Whether the run numbers of a job's last offer can be used by the next one.
    pub(super) fn take_unused_numbers(&mut self, code: JobCode) -> bool {
        let declined = self.declined.get_mut(&code);
        declined.is_some_and(|it| std::mem::take(&mut it.numbers_are_unused))
    }

    /// Records that a leader has declined a job's last offer; the job is without a leader again.
    pub(super) fn record_declined(&mut self, code: JobCode, now: ClockTime) {
        let Some(job) = self.jobs.get_mut(&code) else { return };
        let token = job.offer.token;
        let known = self.declined.get(&code).filter(|it| it.token == token);
        let n_declined = known.map_or(0, |it| it.n_declined) + 1;
        let (first_ms, longest_ms) = DECLINED_PAUSE_MS;
        let pause_ms = (first_ms << n_declined.min(8)).min(longest_ms);
        let retry_at = now.plus_ms(pause_ms);
        let declined = DeclinedOffers { n_declined, token, retry_at, numbers_are_unused: true };
        self.declined.insert(code, declined);
        job.leader = None;
        // The time without a leader goes on while the same one declines.
        if n_declined == 1 {
            job.unassigned_since = now;
        }
    }

    /// The job that a call waits for.
    pub fn job_for_call(&self, call: CallNumber) -> Option<JobCode> {
        self.jobs.iter().find(|(_, it)| it.call == call).map(|(code, _)| *code)
    }

    /// Unassigns the jobs that were offered to a leader which is lost.
    pub fn handle_lost_leader(&mut self, leader: &VmName, now: ClockTime) {
        for job in self.jobs.values_mut().filter(|it| it.leader.as_ref() == Some(leader)) {
            job.leader = None;
            job.unassigned_since = now;
        }
    }

    /// Unassigns the jobs of a cell that were offered to another entry than its new leader.
    pub fn handle_new_leader(&mut self, cell: &CellName, leader: &VmName, now: ClockTime) {
        for job in self.jobs.values_mut() {
            let is_elsewhere = job.leader.as_ref().is_some_and(|it| it != leader);
            if job.cell.as_ref() == Some(cell) && is_elsewhere {
                job.leader = None;
                job.unassigned_since = now;
            }
        }
    }
}
