//! Jobs of the callers that reached this entry: where each is offered, and what
//! becomes of it when a leader changes.
//!
//! A job is bound to the cell that it was first offered to. It moves to another cell
//! only after a refusal, which proves that none of its tasks has started. In its cell it
//! moves to another leader only under a higher token: endpoints that obey that one obey
//! no former leader, while a former one with a higher token may still start its tasks.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_message::{CellName, CellReport},
        job_offer::{JobCode, JobOffer},
        run_forecast::QUICK_MILLI,
    },
    entry_node::CallNumber,
    prelude::*,
};

/// Cost of another data centre when a cell is chosen, in ms: a few round trips and the
/// bytes between data centres, which are paid for.
const FAR_COST_MS: u64 = 6;
/// Age of a leader's report after which it says nothing, in ms.
const REPORT_MS: u64 = 1_500;

/// A job whose caller waits.
#[derive(Clone, Debug)]
pub struct RoutedJob {
    /// The call that waits for it.
    pub call: CallNumber,
    /// The job as it was read.
    pub offer: JobOffer,
    /// When it was read.
    pub received_at: ClockTime,
    /// Time until which its caller waits.
    pub caller_deadline: ClockTime,
    /// Cell that it is bound to.
    pub cell: Option<CellName>,
    /// Leader to which it was offered, while that is believed to have it.
    pub leader: Option<VmName>,
    /// When it was last offered.
    pub offered_at: ClockTime,
    /// When it lost its leader, or was read.
    pub unassigned_since: ClockTime,
    /// Whether it was ever offered to a leader that has not refused it.
    pub was_offered: bool,
    /// Cells that refused it.
    pub refused_by: Vec<CellName>,
}

impl RoutedJob {
    /// The offer as of `now`.
    pub fn current_offer(&self, now: ClockTime) -> JobOffer {
        let mut offer = self.offer.clone();
        offer.age_ms = now.since_ms(self.received_at);
        offer.remaining_ms = self.caller_deadline.since_ms(now);
        offer.is_repeat = self.was_offered;
        offer
    }

    /// Whether it may be offered to the leader that a view names.
    pub fn may_offer_to(&self, view: &CellView) -> bool {
        !self.was_offered || self.offer.token <= view.report.token
    }
}

/// A cell as the router sees it.
#[derive(Clone, Debug)]
pub struct CellView {
    /// Its leader.
    pub leader: VmName,
    /// The leader's last report.
    pub report: CellReport,
    /// When the report was made.
    pub reported_at: ClockTime,
    /// Processor of jobs offered since, in thousandths of a core.
    pub offered_cpu: u64,
    /// Work of jobs offered since, in ms of thousandths of a core.
    pub offered_work: u64,
}

impl CellView {
    /// Processor that is open to jobs without a rack, in thousandths of a core.
    fn unreserved_cpu(&self) -> u64 {
        self.report.unreserved_cpu.saturating_sub(self.offered_cpu)
    }

    /// Whether a job could start there at once, also on room that is kept.
    pub fn fits_free_cpu(&self, offer: &JobOffer) -> bool {
        let free = self.report.free_cpu.saturating_sub(self.offered_cpu);
        offer.first_cpu() <= free && self.report.queued_work == 0
    }

    /// Whether a job without a rack could start there at once.
    pub fn fits_unreserved_cpu(&self, offer: &JobOffer) -> bool {
        offer.first_cpu() <= self.unreserved_cpu() && self.report.queued_work == 0
    }
}

/// Chooses the cell for a job that has not been offered, or was refused by some.
///
/// Other entries choose at the same time by the same reports, so a job without a rack goes to
/// cells with open room in proportion to it, and not to the emptiest one.
pub fn choose_cell(
    job: &RoutedJob,
    centre: &DataCentre,
    views: &IndexMap<CellName, CellView>,
    now: ClockTime,
) -> Option<CellName> {
    let usable = |cell: &CellName, view: &CellView| {
        cell.service == job.offer.service
            && !job.refused_by.contains(cell)
            && now.since_ms(view.reported_at) <= REPORT_MS
            && 0 < view.report.cpu
    };
    if let Some(rack) = job.offer.data_rack()
        && let Some((cell, _)) =
            views.iter().find(|(cell, view)| cell.rack == rack && usable(cell, view))
    {
        return Some(cell.clone());
    }
    let usable = || views.iter().filter(|(cell, view)| usable(cell, view));
    let near = usable().filter(|(cell, _)| cell.centre == *centre);
    if let Some(cell) = draw_open(job, near) {
        return Some(cell);
    }
    if let Some(cell) = draw_open(job, usable().filter(|(cell, _)| cell.centre != *centre)) {
        return Some(cell);
    }
    let best = usable().min_by_key(|(cell, view)| {
        let far_ms = if cell.centre == *centre { 0 } else { FAR_COST_MS };
        spread_wait(job, cell, view) + far_ms
    });
    best.map(|(cell, _)| cell.clone())
}

/// Chooses the cell to which a job moves that would wait `wait_ms` in its own, if it ends
/// sooner there; off its data's rack its tasks take `off_rack_milli` thousandths of their time.
pub fn choose_move_target(
    job: &RoutedJob,
    off_rack_milli: u64,
    wait_ms: u64,
    views: &IndexMap<CellName, CellView>,
    now: ClockTime,
) -> Option<CellName> {
    let chain_ms = job.offer.declared_chain_ms();
    let others = || {
        views.iter().filter(|(cell, view)| {
            cell.service == job.offer.service
                && job.cell.as_ref() != Some(*cell)
                && now.since_ms(view.reported_at) <= REPORT_MS
        })
    };
    let off_rack_milli = if job.offer.data_rack().is_some() { off_rack_milli } else { 1_000 };
    let ends_sooner = |milli| chain_ms * milli / 1000 + FAR_COST_MS < wait_ms + chain_ms;
    let has_quick = |view: &CellView| {
        job.offer.first_cpu() <= view.report.fast_cpu.saturating_sub(view.offered_cpu)
    };
    let quick = others().filter(|(_, view)| has_quick(view));
    if ends_sooner(off_rack_milli * QUICK_MILLI / 1000)
        && let Some(cell) = draw_open(job, quick)
    {
        return Some(cell);
    }
    if ends_sooner(off_rack_milli)
        && let Some(cell) = draw_open(job, others())
    {
        return Some(cell);
    }
    // Queues differ, as entries choose by reports of different age.
    let waits = others().map(|(cell, view)| (spread_wait(job, cell, view), cell));
    let (other_wait_ms, cell) = waits.min_by_key(|(wait_ms, _)| *wait_ms)?;
    let is_near = chain_ms * off_rack_milli / 1000 + other_wait_ms < chain_ms + wait_ms;
    is_near.then(|| cell.clone())
}

/// Draws a cell with free room, kept or not, for a job that would otherwise be refused.
pub fn choose_free_cell(
    job: &RoutedJob,
    views: &IndexMap<CellName, CellView>,
    now: ClockTime,
) -> Option<CellName> {
    let usable = views.iter().filter(|(cell, view)| {
        cell.service == job.offer.service
            && !job.refused_by.contains(cell)
            && now.since_ms(view.reported_at) <= REPORT_MS
            && view.fits_free_cpu(&job.offer)
    });
    usable.min_by_key(|(cell, _)| draw_milli(job, cell)).map(|(cell, _)| cell.clone())
}

/// Draws a cell that has room for the job at once, in proportion to its open room.
fn draw_open<'a>(
    job: &RoutedJob,
    cells: impl Iterator<Item = (&'a CellName, &'a CellView)>,
) -> Option<CellName> {
    let open = cells
        .filter(|(_, view)| view.fits_unreserved_cpu(&job.offer))
        .map(|(cell, view)| (cell, view.unreserved_cpu()));
    // Weighted rendezvous: the smallest of exponential times whose rates are the weights.
    let time = |cell: &CellName, open: u64| {
        let uniform = (draw_milli(job, cell) as f64 + 1.0) / 1001.0;
        -uniform.ln() / open.max(1) as f64
    };
    let timed = open.map(|(cell, open)| (time(cell, open), cell));
    timed.min_by(|(lhs, _), (rhs, _)| lhs.total_cmp(rhs)).map(|(_, cell)| cell.clone())
}

/// A figure from 0 to 999 that a job and a cell have for each other.
fn draw_milli(job: &RoutedJob, cell: &CellName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (job.offer.job.0, &cell.rack, &cell.centre).hash(&mut hasher);
    hasher.finish() % 1000
}

/// Expected wait in a cell, in ms, with a spread of half that keeps the entries from all
/// choosing the shortest queue.
fn spread_wait(job: &RoutedJob, cell: &CellName, view: &CellView) -> u64 {
    expected_wait(job, view) * (1000 + draw_milli(job, cell) / 2) / 1000
}

/// Expected wait in a cell, in ms.
fn expected_wait(job: &RoutedJob, view: &CellView) -> u64 {
    let report = &view.report;
    let waiting = report.queued_work + view.offered_work;
    let short = job.offer.first_cpu().saturating_sub(view.unreserved_cpu());
    // What does not fit waits for its own kind of work to end, at the cell's speed.
    (waiting + short * job.offer.declared_chain_ms()) / report.cpu.max(1) + 1
}

/// Jobs whose callers wait at this entry.
#[derive(Clone, Debug, Default)]
pub struct JobRouter {
    /// The jobs by id.
    pub jobs: IndexMap<JobCode, RoutedJob>,
}

impl JobRouter {
    /// The job that a call waits for.
    pub fn job_for_call(&self, call: CallNumber) -> Option<JobCode> {
        self.jobs.iter().find(|(_, it)| it.call == call).map(|(code, _)| *code)
    }

    /// Sets jobs adrift that were offered to a leader.
    pub fn handle_lost_leader(&mut self, leader: &VmName, now: ClockTime) {
        for job in self.jobs.values_mut().filter(|it| it.leader.as_ref() == Some(leader)) {
            job.leader = None;
            job.unassigned_since = now;
        }
    }

    /// Sets adrift the jobs of a cell that were offered to another entry than its leader.
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
