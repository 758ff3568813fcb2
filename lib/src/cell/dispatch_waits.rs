//! A leader's queue: the order of jobs, how long they would wait, and which are turned away.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellJob, TaskPhase},
        cell_placement,
        endpoint_state::EndpointState,
        job_offer::{JobCode, RefusalCause},
    },
    prelude::*,
};

/// Jobs that a leader keeps waiting at most; beyond it, memory would grow with a burst.
const MAX_JOBS: usize = 4_096;

/// Chance of a job to be of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RankGroup {
    InTime,
    Late,
    Useless,
}

/// Place of a job in the queue: its group, and its place in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobRank(RankGroup, u64);

impl CellDispatcher {
    /// Order in which jobs get endpoints.
    ///
    /// Those that can end in time go first, with the least slack before the others, and with
    /// them those that have begun, as their work would be lost. Of the late ones the newest
    /// goes first: the others are refused in time rather than all served too late.
    pub(super) fn rank(&self, job: &CellJob, now: ClockTime) -> JobRank {
        let critical_path_ms = self.critical_path_ms(job);
        let start_by = job.due_at.minus_ms(critical_path_ms);
        let has_begun = job.tasks.iter().any(|it| it.phase != TaskPhase::Waiting);
        let useful_until = if has_begun { job.waits_until } else { job.useful_until };
        if useful_until < now.plus_ms(critical_path_ms) {
            JobRank(RankGroup::Useless, start_by.0)
        } else if has_begun || now <= start_by {
            JobRank(RankGroup::InTime, start_by.0)
        } else {
            JobRank(RankGroup::Late, u64::MAX - start_by.0)
        }
    }

    /// Jobs with tasks that wait, in the order in which they get endpoints.
    pub(super) fn ranked_waiting(&self, now: ClockTime) -> Vec<(JobRank, JobCode)> {
        let waiting = self.jobs.iter().filter(|(_, it)| it.waits());
        let mut order: Vec<_> = waiting.map(|(code, it)| (self.rank(it, now), *code)).collect();
        order.sort_unstable();
        order
    }

    /// Work of a job's tasks that wait, in ms of thousandths of a core.
    pub(super) fn waiting_work(&self, job: &CellJob) -> u64 {
        let n_waiting = job.tasks.iter().filter(|it| it.phase == TaskPhase::Waiting).count();
        self.times.work(&job.offer) * n_waiting as u64 / job.tasks.len().max(1) as u64
    }

    /// Processor of the endpoints that take starts, in thousandths of a core.
    pub(super) fn usable_cpu(&self, now: ClockTime) -> u64 {
        let usable = self.endpoints.values().filter(|it| it.takes_starts(now));
        usable.map(|it| it.record.capacity.cpu).sum()
    }

    /// Predicted wait of a job behind those that go before it, in ms.
    pub(super) fn wait_ms(&self, job: &CellJob, now: ClockTime) -> u64 {
        let rank = self.rank(job, now);
        let ahead = self.jobs.values().filter(|it| it.waits() && self.rank(it, now) <= rank);
        let work: u64 = ahead.map(|it| self.waiting_work(it)).sum();
        // Nothing usable says nothing of the wait.
        work.checked_div(self.usable_cpu(now)).unwrap_or(0)
    }

    /// Predicted time until the first steps of a job fit beside those that go before it, in ms.
    pub(super) fn room_in_ms(&self, job: &CellJob, now: ClockTime) -> u64 {
        let rank = self.rank(job, now);
        let ahead = self.jobs.values().filter(|it| it.waits() && self.rank(it, now) < rank);
        let demand: u64 = ahead.map(CellJob::waiting_cpu).sum::<u64>() + job.offer.initial_cpu();
        let mut usable: Vec<&EndpointState> =
            self.endpoints.values().filter(|it| it.takes_starts(now)).collect();
        usable.retain(|it| !it.pace.is_slow(now));
        let mut free: u64 = usable.iter().map(|it| it.free_room().cpu).sum();
        let mut ends: Vec<(u64, u64)> = usable
            .iter()
            .flat_map(|it| it.runs.values())
            .map(|it| (it.ordered_at.plus_ms(it.predicted_ms).since_ms(now), it.demand.cpu))
            .collect();
        ends.sort_unstable();
        let mut wait_ms = 0;
        for (left_ms, cpu) in ends {
            if demand <= free {
                break;
            }
            free += cpu;
            wait_ms = left_ms;
        }
        wait_ms
    }

    /// Run time of a job's longest chain on average endpoints of this cell, in ms.
    pub(super) fn critical_path_ms(&self, job: &CellJob) -> u64 {
        self.times.critical_path_ms(&job.offer) * self.distance_milli(job.offer.data_rack()) / 1000
    }

    /// Factor on run times here of tasks with their data in a rack, in thousandths.
    pub(super) fn distance_milli(&self, data_rack: Option<&str>) -> u64 {
        let is_far = data_rack.is_some_and(|it| it != self.cell.rack);
        if is_far { self.off_rack_milli } else { 1_000 }
    }

    /// Why a job that has not started and would wait `wait_ms` should be refused.
    pub(super) fn refusal(
        &self,
        job: &CellJob,
        wait_ms: u64,
        now: ClockTime,
    ) -> Option<RefusalCause> {
        if self.endpoints.is_empty() {
            return Some(RefusalCause::NoEndpoint);
        }
        let fits = |it| cell_placement::can_ever_fit(it, &self.endpoints);
        if !job.offer.steps.iter().all(fits) {
            return Some(RefusalCause::NeverFits);
        }
        if MAX_JOBS <= self.jobs.len() {
            return Some(RefusalCause::QueueFull);
        }
        let end = now.plus_ms(wait_ms + self.critical_path_ms(job));
        (job.waits_until.min(job.useful_until) < end).then_some(RefusalCause::Hopeless)
    }

    /// Whether a job that may move would wait too long to end in time here.
    pub(super) fn is_crowded(&self, job: &CellJob, wait_ms: u64, now: ClockTime) -> bool {
        let end = now.plus_ms(wait_ms + self.critical_path_ms(job));
        job.offer.may_move && !job.may_have_run && job.due_at < end
    }

    /// Refuses jobs that have not started and can no longer end while their caller waits, and
    /// gives back those that may move and would end too late.
    pub(super) fn sort_out_waiting(&mut self, now: ClockTime) {
        let cpu = self.usable_cpu(now);
        let mut work_ahead = 0;
        let mut turned_away = Vec::new();
        for (_, code) in self.ranked_waiting(now) {
            let job = &self.jobs[&code];
            let work = work_ahead + self.waiting_work(job);
            // Nothing usable says nothing of the wait.
            let wait_ms = work.checked_div(cpu).unwrap_or(0);
            let cause = if job.may_have_run { None } else { self.refusal(job, wait_ms, now) };
            if cause.is_some() || self.is_crowded(job, wait_ms, now) {
                turned_away.push((code, cause, wait_ms));
            } else {
                work_ahead = work;
            }
        }
        for (code, cause, wait_ms) in turned_away {
            let Some(job) = self.jobs.swap_remove(&code) else { continue };
            match cause {
                Some(cause) => self.refuse(&job, cause, wait_ms, now),
                None => self.send_back(&job, wait_ms, now),
            }
        }
    }
}
