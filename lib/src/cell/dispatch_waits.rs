//! The leader's queue: rank of jobs, predicted waits, and load shedding.

use crate::{
    cell::{
        cell_dispatcher::{CellDispatcher, CellJob, TaskPhase},
        cell_placement,
        endpoint_state::EndpointState,
        job_offer::{JobCode, RefusalCause},
        wait_forecast::WaitForecast,
    },
    prelude::*,
};

/// Maximum number of jobs at a leader, so that a burst does not exhaust memory.
const MAX_JOBS: usize = 4_096;

/// Time after which a job whose turn does not come may try again, in ms: the window of the rates
/// by which that was found.
const OVERTAKEN_WAIT_MS: u64 = 1_000;

/// Whether a job has begun, can still meet its objective, or can be of use at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RankGroup {
    Begun,
    InTime,
    Late,
    Expired,
}

/// Rank of a job in the queue: its group, the class of its route and callers' data centre, whether
/// its caller has not been refused before, then its order within the class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobRank(RankGroup, u64, bool, u64);

impl CellDispatcher {
    /// Returns the rank of a job; lower ranks are placed first.
    ///
    /// Jobs that have begun come first, by least slack, as their work would be lost. Of the
    /// others the newest comes first: by least slack, each would start so late under overload
    /// that most ended just after their objective. Those that can still end in time go before
    /// the late ones, which use what room is left and are refused early. Under overload, jobs of
    /// a route or data centre that got less of what it was owed go before the others. In each such
    /// class, callers that were refused and have come back go first.
    pub(super) fn rank(&self, job: &CellJob, now: ClockTime) -> JobRank {
        let critical_path_ms = self.critical_path_ms(job);
        let start_by = job.due_at.minus_ms(critical_path_ms);
        let class = || self.shares.class(&job.offer.route, &job.offer.centre);
        let is_new = !job.has_returned;
        let has_begun = job.tasks.iter().any(|it| it.phase != TaskPhase::Waiting);
        let useful_until = if has_begun { job.caller_deadline } else { job.useful_until };
        if useful_until < now.plus_ms(critical_path_ms) {
            JobRank(RankGroup::Expired, 0, true, start_by.0)
        } else if has_begun {
            JobRank(RankGroup::Begun, 0, true, start_by.0)
        } else if now <= start_by {
            JobRank(RankGroup::InTime, class(), is_new, u64::MAX - job.submitted_at().0)
        } else {
            JobRank(RankGroup::Late, class(), is_new, u64::MAX - start_by.0)
        }
    }

    /// Jobs with waiting tasks, in rank order.
    pub(super) fn ranked_waiting(&self, now: ClockTime) -> Vec<(JobRank, JobCode)> {
        let waiting = self.jobs.iter().filter(|(_, it)| it.has_waiting_tasks());
        let mut order: Vec<_> = waiting.map(|(code, it)| (self.rank(it, now), *code)).collect();
        order.sort_unstable();
        order
    }

    /// Work of a job's waiting tasks, in ms times thousandths of a core.
    pub(super) fn waiting_work(&self, job: &CellJob) -> u64 {
        let n_waiting = job.tasks.iter().filter(|it| it.phase == TaskPhase::Waiting).count();
        self.times.work(&job.offer) * n_waiting as u64 / job.tasks.len().max(1) as u64
    }

    /// CPU capacity of the endpoints that accept starts, in thousandths of a core.
    pub(super) fn usable_cpu(&self, now: ClockTime) -> u64 {
        let usable = self.endpoints.values().filter(|it| it.accepts_starts(now));
        usable.map(|it| it.record.capacity.cpu).sum()
    }

    /// Counts the work of an arriving job that goes before those that wait.
    pub(super) fn count_arrival(&mut self, job: &CellJob, now: ClockTime) {
        if self.rank(job, now).0 == RankGroup::InTime {
            let work = self.times.work(&job.offer);
            self.rates.add_arrival(&job.offer.route, &job.offer.centre, work, now);
        }
    }

    /// Updates the rates at which work arrives and capacity becomes free.
    pub(super) fn update_rates(&mut self, now: ClockTime) {
        self.shares.decay(now);
        let has_waiting = self.jobs.values().any(CellJob::has_waiting_tasks);
        self.rates.update(self.usable_cpu(now), has_waiting, &self.shares, now);
    }

    /// Predicted wait of an arriving job.
    pub(super) fn forecast(&self, job: &CellJob, now: ClockTime) -> WaitForecast {
        let rank = self.rank(job, now);
        let (mut work_ahead, mut overtaking) = (0, 0);
        for other in self.jobs.values().filter(|it| it.has_waiting_tasks()) {
            let other_rank = self.rank(other, now);
            let work = if other_rank <= rank { self.waiting_work(other) } else { 0 };
            work_ahead += work;
            if other_rank < rank && RankGroup::Begun < other_rank.0 {
                overtaking += work;
            }
        }
        let (route, centre) = (&job.offer.route, &job.offer.centre);
        self.rates.forecast(route, centre, work_ahead, overtaking, self.usable_cpu(now))
    }

    /// Time until capacity is expected for a job with this forecast, in ms.
    pub(super) fn capacity_in_ms(&self, forecast: WaitForecast) -> u64 {
        match forecast {
            WaitForecast::Starts(wait_ms) => wait_ms,
            WaitForecast::Overtaken => OVERTAKEN_WAIT_MS,
        }
    }

    /// Predicted time until a job's first steps fit beside the jobs of lower rank, in ms.
    pub(super) fn fits_in_ms(&self, job: &CellJob, now: ClockTime) -> u64 {
        let rank = self.rank(job, now);
        let ahead =
            self.jobs.values().filter(|it| it.has_waiting_tasks() && self.rank(it, now) < rank);
        let demand: u64 = ahead.map(CellJob::waiting_cpu).sum::<u64>() + job.offer.initial_cpu();
        let mut usable: Vec<&EndpointState> =
            self.endpoints.values().filter(|it| it.accepts_starts(now)).collect();
        usable.retain(|it| !it.speed.is_slow(now));
        let mut free: u64 = usable.iter().map(|it| it.free_resources().cpu).sum();
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

    /// Run time of a job's critical path on average endpoints of this cell, in ms.
    pub(super) fn critical_path_ms(&self, job: &CellJob) -> u64 {
        self.times.critical_path_ms(&job.offer) * self.locality_factor_milli(job.offer.data_rack())
            / 1000
    }

    /// Factor on run times in this cell for data in `data_rack`, in thousandths.
    pub(super) fn locality_factor_milli(&self, data_rack: Option<&str>) -> u64 {
        let is_remote = data_rack.is_some_and(|it| it != self.cell.rack);
        if is_remote { self.off_rack_milli } else { 1_000 }
    }

    /// Returns why an unstarted job with this forecast must be refused, if it must.
    pub(super) fn refusal(
        &self,
        job: &CellJob,
        forecast: WaitForecast,
        now: ClockTime,
    ) -> Option<RefusalCause> {
        if self.endpoints.values().all(|it| it.departed_at.is_some()) {
            return Some(RefusalCause::NoEndpoint);
        }
        let fits = |it| cell_placement::can_ever_fit(it, &self.endpoints);
        if !job.offer.steps.iter().all(fits) {
            return Some(RefusalCause::NeverFits);
        }
        if MAX_JOBS <= self.jobs.len() {
            return Some(RefusalCause::QueueFull);
        }
        let wait_ms = match forecast {
            WaitForecast::Starts(wait_ms) => wait_ms,
            WaitForecast::Overtaken => 0,
        };
        let end = now.plus_ms(wait_ms + self.critical_path_ms(job));
        if job.caller_deadline.min(job.useful_until) < end {
            return Some(RefusalCause::Hopeless);
        }
        // Off its data's rack a job takes several times as long, so a late end may be its best.
        if job.offer.may_move || job.offer.data_rack().is_some() {
            return None;
        }
        // A late answer has a fifth of its value and takes room from one that can be in time.
        let is_late = self.rates.is_full() && job.due_at < end;
        (is_late || forecast == WaitForecast::Overtaken).then_some(RefusalCause::Overtaken)
    }

    /// Whether a job that may move would end too late here, or its turn would not come.
    pub(super) fn must_return(
        &self,
        job: &CellJob,
        forecast: WaitForecast,
        now: ClockTime,
    ) -> bool {
        let is_late = match forecast {
            WaitForecast::Starts(wait_ms) => {
                job.due_at < now.plus_ms(wait_ms + self.critical_path_ms(job))
            }
            WaitForecast::Overtaken => true,
        };
        job.offer.may_move && !job.may_have_run && is_late
    }

    /// Refuses unstarted jobs that can no longer end while their caller waits or whose turn does
    /// not come, and returns to their entries those that may move and would end too late.
    pub(super) fn shed_waiting(&mut self, now: ClockTime) {
        let cpu = self.usable_cpu(now);
        let (mut work_ahead, mut overtaking) = (0, 0);
        let mut rejected = Vec::new();
        for (rank, code) in self.ranked_waiting(now) {
            let job = &self.jobs[&code];
            let work = self.waiting_work(job);
            let (route, centre) = (&job.offer.route, &job.offer.centre);
            let forecast = self.rates.forecast(route, centre, work_ahead + work, overtaking, cpu);
            let cause = if job.may_have_run { None } else { self.refusal(job, forecast, now) };
            if cause.is_some() || self.must_return(job, forecast, now) {
                rejected.push((code, cause, self.capacity_in_ms(forecast)));
                continue;
            }
            work_ahead += work;
            if RankGroup::Begun < rank.0 {
                overtaking += work;
            }
        }
        for (code, cause, wait_ms) in rejected {
            let Some(job) = self.jobs.swap_remove(&code) else { continue };
            match cause {
                Some(cause) => self.refuse(&job, cause, wait_ms, now),
                None => self.return_to_origin(&job, wait_ms, now),
            }
        }
    }
}
