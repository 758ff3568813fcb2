//! Jobs of the callers that reached this entry: where each is offered, and what
//! becomes of it when a leader changes.
//!
//! A job is bound to the cell that it was first offered to. It moves to another cell
//! only after a refusal, which proves that none of its tasks has started.

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_message::{CellName, CellReport},
        job_offer::{JobCode, JobOffer},
    },
    entry_node::CallNumber,
    prelude::*,
};

/// Cost of another data centre when a cell is chosen, in ms: a few round trips and the
/// bytes between data centres, which are paid for.
const FAR_COST_MS: u64 = 6;
/// Age of a leader's report after which it says nothing, in ms.
const REPORT_MS: u64 = 1_500;
/// Share of a cell's processor that is kept for jobs with data in its rack, in thousandths.
const HOME_SHARE_MILLI: u64 = 120;

/// A job whose caller waits.
#[derive(Clone, Debug)]
pub struct FrontJob {
    /// The call that waits for it.
    pub call: CallNumber,
    /// The job as it was read.
    pub offer: JobOffer,
    /// When it was read.
    pub read_at: ClockTime,
    /// Time until which its caller waits.
    pub waits_until: ClockTime,
    /// Cell that it is bound to.
    pub cell: Option<CellName>,
    /// Leader to which it was offered, while that is believed to have it.
    pub leader: Option<VmName>,
    /// When it was last offered.
    pub offered_at: ClockTime,
    /// When it lost its leader, or was read.
    pub adrift_since: ClockTime,
    /// Whether it was ever offered to a leader that has not refused it.
    pub was_offered: bool,
    /// Cells that refused it.
    pub refused_by: Vec<CellName>,
}

impl FrontJob {
    /// The offer as of `now`.
    pub fn current_offer(&self, now: ClockTime) -> JobOffer {
        let mut offer = self.offer.clone();
        offer.age_ms = now.since_ms(self.read_at);
        offer.remaining_ms = self.waits_until.since_ms(now);
        offer.is_repeat = self.was_offered;
        offer
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

/// Chooses the cell for a job that has not been offered, or was refused by some.
pub fn choose_cell(
    job: &FrontJob,
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
    let usable = views.iter().filter(|(cell, view)| usable(cell, view));
    let best = usable.min_by_key(|(cell, view)| {
        let far_ms = if cell.centre == *centre { 0 } else { FAR_COST_MS };
        (expected_wait(job, view) + far_ms, load_milli(view))
    });
    best.map(|(cell, _)| cell.clone())
}

/// Expected wait in a cell, in ms.
fn expected_wait(job: &FrontJob, view: &CellView) -> u64 {
    let report = &view.report;
    let kept = report.cpu * HOME_SHARE_MILLI / 1000;
    let free = report.free_cpu.saturating_sub(view.offered_cpu + kept);
    let waiting = report.queued_work + view.offered_work;
    let wait_ms = waiting / report.cpu.max(1);
    let need = job.offer.first_cpu();
    if need <= free && report.queued_work == 0 {
        return 0;
    }
    let short = need.saturating_sub(free);
    // What does not fit waits for its own kind of work to end, at the cell's speed.
    wait_ms + short * job.offer.declared_chain_ms() / report.cpu.max(1) + 1
}

fn load_milli(view: &CellView) -> u64 {
    let free = view.report.free_cpu.saturating_sub(view.offered_cpu);
    1000 - (free * 1000 / view.report.cpu.max(1)).min(1000)
}

/// Jobs whose callers wait at this entry.
#[derive(Clone, Debug, Default)]
pub struct JobRouter {
    /// The jobs by id.
    pub jobs: IndexMap<JobCode, FrontJob>,
}

impl JobRouter {
    /// The job that a call waits for.
    pub fn job_of(&self, call: CallNumber) -> Option<JobCode> {
        self.jobs.iter().find(|(_, it)| it.call == call).map(|(code, _)| *code)
    }

    /// Sets jobs adrift that were offered to a leader.
    pub fn lose_leader(&mut self, leader: &VmName, now: ClockTime) {
        for job in self.jobs.values_mut().filter(|it| it.leader.as_ref() == Some(leader)) {
            job.leader = None;
            job.adrift_since = now;
        }
    }

    /// Sets adrift the jobs of a cell that were offered to another entry than its leader.
    pub fn follow_leader(&mut self, cell: &CellName, leader: &VmName, now: ClockTime) {
        for job in self.jobs.values_mut() {
            let is_elsewhere = job.leader.as_ref().is_some_and(|it| it != leader);
            if job.cell.as_ref() == Some(cell) && is_elsewhere {
                job.leader = None;
                job.adrift_since = now;
            }
        }
    }
}
