//! The queue of waiting tasks, with one lane for each kind of a workspace.
//!
//! All tasks of a lane may run on the same endpoints, so candidates are computed once
//! for each lane and not for each task. Within a lane, jobs are ordered by rank.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::{
    job_run::JobNumber, policy_settings::OrderRule, run_estimates::KindPath,
    workspace_template::UrgencyClass,
};

/// Rank of a job within a lane; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobRank {
    pub(crate) n_left: u32,
    pub(crate) job: JobNumber,
}

/// Waiting jobs of one kind.
#[derive(Clone, Debug)]
pub(crate) struct QueueLane {
    pub(crate) urgency: UrgencyClass,
    pub(crate) quota_slots: u32,
    pub(crate) jobs: BTreeSet<JobRank>,
    pub(crate) n_tasks: usize,
}

/// All lanes.
#[derive(Clone, Debug)]
pub(crate) struct DispatchQueue {
    order: OrderRule,
    lanes: IndexMap<KindPath, QueueLane>,
    n_tasks: usize,
}

impl DispatchQueue {
    pub(crate) fn new(order: OrderRule) -> DispatchQueue {
        DispatchQueue { order, lanes: IndexMap::new(), n_tasks: 0 }
    }

    pub(crate) fn n_tasks(&self) -> usize {
        self.n_tasks
    }

    pub(crate) fn lane(&self, path: &KindPath) -> Option<&QueueLane> {
        self.lanes.get(path)
    }

    pub(crate) fn lanes(&self) -> impl Iterator<Item = (&KindPath, &QueueLane)> {
        self.lanes.iter().filter(|(_, it)| 0 < it.n_tasks)
    }

    /// Sets a lane's urgency and quota; creates the lane if it does not exist.
    pub(crate) fn set_lane(&mut self, path: &KindPath, urgency: UrgencyClass, quota_slots: u32) {
        let lane = self.lanes.entry(path.clone()).or_insert_with(|| QueueLane {
            urgency,
            quota_slots,
            jobs: BTreeSet::new(),
            n_tasks: 0,
        });
        lane.urgency = urgency;
        lane.quota_slots = quota_slots;
    }

    /// Adds tasks of a job to a lane created by [`DispatchQueue::set_lane`].
    pub(crate) fn add(&mut self, path: &KindPath, rank: JobRank, n_tasks: usize) {
        let rank = self.rank(rank);
        let Some(lane) = self.lanes.get_mut(path) else { return };
        lane.jobs.insert(rank);
        lane.n_tasks += n_tasks;
        self.n_tasks += n_tasks;
    }

    /// Removes tasks of a job from a lane; `n_remaining` of them stay.
    pub(crate) fn remove(
        &mut self,
        path: &KindPath,
        rank: JobRank,
        n_tasks: usize,
        n_remaining: usize,
    ) {
        let rank = self.rank(rank);
        let Some(lane) = self.lanes.get_mut(path) else { return };
        if n_remaining == 0 {
            lane.jobs.remove(&rank);
        }
        lane.n_tasks -= n_tasks;
        self.n_tasks -= n_tasks;
    }

    /// Updates the rank of a job after one of its tasks has finished.
    pub(crate) fn rerank(&mut self, path: &KindPath, former: JobRank, rank: JobRank) {
        let (former, rank) = (self.rank(former), self.rank(rank));
        if former == rank {
            return;
        }
        let Some(lane) = self.lanes.get_mut(path) else { return };
        if lane.jobs.remove(&former) {
            lane.jobs.insert(rank);
        }
    }

    /// Lanes with waiting tasks, in the order of service; `load` returns the share of its
    /// quota that a lane's workspace uses.
    pub(crate) fn ordered_lanes(
        &self,
        load: impl Fn(&KindPath, &QueueLane) -> f64,
    ) -> Vec<KindPath> {
        let mut keyed: Vec<(UrgencyClass, f64, JobRank, &KindPath)> = Vec::new();
        for (path, lane) in self.lanes() {
            let Some(first) = lane.jobs.first() else { continue };
            let key = match self.order {
                OrderRule::Arrival => (UrgencyClass::High, 0.0, *first, path),
                OrderRule::Urgency => (lane.urgency, 0.0, *first, path),
                OrderRule::UrgencyFairNearest => (lane.urgency, load(path, lane), *first, path),
            };
            keyed.push(key);
        }
        keyed.sort_by(|lhs, rhs| {
            lhs.0.cmp(&rhs.0).then(lhs.1.total_cmp(&rhs.1)).then(lhs.2.cmp(&rhs.2))
        });
        keyed.into_iter().map(|it| it.3.clone()).collect()
    }

    fn rank(&self, rank: JobRank) -> JobRank {
        match self.order {
            OrderRule::Arrival | OrderRule::Urgency => JobRank { n_left: 0, ..rank },
            OrderRule::UrgencyFairNearest => rank,
        }
    }
}
