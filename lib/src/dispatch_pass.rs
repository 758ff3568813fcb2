//! One dispatch pass over the queue: starts every task that should start now.

use indexmap::IndexMap;

use crate::{
    dispatch_queue::JobRank,
    endpoint_slots::InFlightTask,
    job_dispatcher::{DispatchEffect, JobDispatcher},
    job_run::{JobNumber, PlacementOption, TaskRef},
    placement_choice::{self, PlacementCandidate, PlacementChoice},
    policy_settings::OrderRule,
    prelude::*,
    quarantine_list::TrustLevel,
    run_estimates::KindPath,
    workspace_template::UrgencyClass,
};

/// Most alternative endpoints recorded in a task's trace.
const MAX_TRACED_OPTIONS: usize = 3;

/// An endpoint's slots during one pass.
#[derive(Clone, Copy)]
struct SlotView {
    n_slots: u32,
    n_free: u32,
    n_outstanding: u32,
    /// Free slots that only the most urgent class may take.
    n_reserved: u32,
}

impl SlotView {
    /// Free slots that a task of a class may take.
    fn n_free_for(&self, urgency: UrgencyClass) -> u32 {
        match urgency {
            UrgencyClass::High => self.n_free,
            UrgencyClass::Normal | UrgencyClass::Low => self.n_free.saturating_sub(self.n_reserved),
        }
    }
}

impl JobDispatcher {
    /// Starts the tasks that should start now.
    pub(crate) fn dispatch(&mut self, now: ClockTime) {
        if self.queue.n_tasks() == 0 {
            return;
        }
        self.idle_since = now;
        let mut views = self.slot_views(now);
        let lanes = self.queue.ordered_lanes(|path, lane| {
            f64::from(self.workspace_usage(&path.0)) / f64::from(lane.quota_slots.max(1))
        });
        let mut n_ahead = 0;
        for path in lanes {
            n_ahead += self.dispatch_lane(&path, &mut views, n_ahead, now);
        }
        self.request_slots(now);
    }

    fn slot_views(&self, now: ClockTime) -> Vec<SlotView> {
        let views = self.endpoints.iter().map(|(name, slots)| {
            // Checked again here: `accepts_work` is out of date after a pause of the process.
            let accepts_work = slots.accepts_work && slots.is_fresh(now);
            let trust =
                if accepts_work { self.quarantine.trust(name, now) } else { TrustLevel::None };
            SlotView {
                n_slots: slots.capacity(trust),
                n_free: slots.n_free(trust, now),
                n_outstanding: slots.in_flight.len() as u32,
                n_reserved: 0,
            }
        });
        let mut views: Vec<SlotView> = views.collect();
        if self.policy.order == OrderRule::UrgencyFairNearest {
            self.reserve_slots(&mut views);
        }
        views
    }

    /// Reserves free slots of the fastest endpoints for the most urgent class.
    fn reserve_slots(&self, views: &mut [SlotView]) {
        let mut n_left = self.reserve.n_slots();
        if n_left == 0 {
            return;
        }
        let mut order: Vec<(f64, usize)> = Vec::new();
        for (idx, name) in self.endpoints.keys().enumerate() {
            if 0 < views[idx].n_slots {
                order.push((self.estimates.slowdown(name), idx));
            }
        }
        order.sort_by(|lhs, rhs| lhs.0.total_cmp(&rhs.0));
        for (_, idx) in order {
            if n_left == 0 {
                return;
            }
            let n_reserved_here = n_left.min(views[idx].n_slots);
            n_left -= n_reserved_here;
            let n_urgent = self.endpoints[idx].n_urgent();
            views[idx].n_reserved = n_reserved_here.saturating_sub(n_urgent);
        }
    }

    /// Slots that a workspace uses here and, by their last reports, at the other entries of
    /// the data centre.
    pub(crate) fn workspace_usage(&self, workspace: &WorkspaceName) -> u32 {
        let own = self.usage.get(workspace).copied().unwrap_or_default();
        let others = self.peers.values().flat_map(|it| &it.usage);
        own + others.filter(|(name, _)| name == workspace).map(|(_, n_slots)| n_slots).sum::<u32>()
    }

    /// Starts tasks of one lane; returns how many still wait.
    fn dispatch_lane(
        &mut self,
        path: &KindPath,
        views: &mut [SlotView],
        n_ahead: usize,
        now: ClockTime,
    ) -> usize {
        let mut candidates = self.candidates(path, views);
        loop {
            let Some(lane) = self.queue.lane(path) else { return 0 };
            let (n_tasks, quota_slots) = (lane.n_tasks, lane.quota_slots);
            if n_tasks == 0 {
                return 0;
            }
            if quota_slots <= self.workspace_usage(&path.0) {
                self.trace_wait(path, "the workspace's quota");
                return n_tasks;
            }
            let rule = self.policy.placement;
            let choice = placement_choice::choose(rule, &candidates, n_ahead, &mut self.rng);
            let (idx, n_skipped) = match choice {
                PlacementChoice::Start(idx) => (idx, 0),
                PlacementChoice::WaitUnlessBehind(n_before, idx)
                    if n_before < n_ahead + n_tasks =>
                {
                    (idx, n_before - n_ahead)
                }
                PlacementChoice::WaitUnlessBehind(..) => {
                    self.trace_wait(path, "a faster endpoint");
                    return n_tasks;
                }
                PlacementChoice::Wait => {
                    self.trace_wait(path, "a free slot");
                    return n_tasks;
                }
            };
            let Some(job) = self.job_at(path, n_skipped) else { return n_tasks };
            self.start_next(path, job, idx, &candidates, now);
            views[idx].n_free -= 1;
            views[idx].n_outstanding += 1;
            for candidate in candidates.iter_mut().filter(|it| it.idx == idx) {
                candidate.n_free -= 1;
                candidate.n_outstanding += 1;
            }
        }
    }

    fn candidates(&self, path: &KindPath, views: &[SlotView]) -> Vec<PlacementCandidate> {
        let spec = self.config.kind(path.0.as_str(), path.1.as_str()).ok();
        let urgency = spec.map_or(UrgencyClass::Normal, |it| it.urgency);
        let allowed = self.endpoints.iter().enumerate().filter(|(idx, (name, slots))| {
            0 < views[*idx].n_slots
                && slots.serves(&path.1)
                && spec.is_none_or(|it| it.allows(name.as_str()))
        });
        let candidates = allowed.map(|(idx, (name, _))| PlacementCandidate {
            idx,
            run_ms: self.estimates.run_ms(path, name),
            n_slots: views[idx].n_slots,
            n_free: views[idx].n_free_for(urgency),
            n_outstanding: views[idx].n_outstanding,
        });
        candidates.collect()
    }

    /// The job of the task with `n_skipped` tasks before it in the lane.
    fn job_at(&self, path: &KindPath, n_skipped: usize) -> Option<JobNumber> {
        let lane = self.queue.lane(path)?;
        let mut n_left = n_skipped;
        for rank in &lane.jobs {
            let n_pending = self.jobs.get(&rank.job)?.pending.get(path)?.len();
            if n_left < n_pending {
                return Some(rank.job);
            }
            n_left -= n_pending;
        }
        None
    }

    fn start_next(
        &mut self,
        path: &KindPath,
        number: JobNumber,
        idx: usize,
        candidates: &[PlacementCandidate],
        now: ClockTime,
    ) {
        let Some((name, slots)) = self.endpoints.get_index(idx) else { return };
        let name = name.clone();
        check_invariant(Invariant::EndpointAcceptsWork, slots.accepts_work && slots.is_fresh(now));
        let expected_ms = self.estimates.run_ms(path, &name);
        let urgency = self.queue.lane(path).map_or(UrgencyClass::Normal, |it| it.urgency);
        let options = self.traced_options(idx, candidates);
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let rank = JobRank { n_left: job.n_left(), job: number };
        let Some(pending) = job.pending.get_mut(path) else { return };
        let Some(task_idx) = pending.pop_front() else { return };
        let n_remaining = pending.len();
        self.queue.remove(path, rank, 1, n_remaining);
        let id = job.start(task_idx, &name);
        let trace = &mut job.trace.tasks[task_idx as usize];
        trace.started_at = Some(now);
        trace.endpoint = Some(name.clone());
        trace.expected_ms = expected_ms as u64;
        trace.options = options;
        if trace.n_resent == 0 && id.attempt == 0 {
            self.counts.n_starts += 1;
            self.budget.credit_start();
        }
        *self.usage.entry(path.0.clone()).or_default() += 1;
        let task = TaskRef { job: number, idx: task_idx };
        let Some(slots) = self.endpoints.get_mut(&name) else { return };
        let in_flight_task =
            InFlightTask { kind: path.clone(), urgency, started_at: now, expected_ms };
        slots.in_flight.insert(task, in_flight_task);
        let address = slots.record.address.clone();
        let incarnation = slots.record.incarnation;
        self.effects.push(DispatchEffect::Start { task, id, endpoint: name, address, incarnation });
    }

    fn traced_options(
        &self,
        chosen: usize,
        candidates: &[PlacementCandidate],
    ) -> Vec<PlacementOption> {
        let mut others: Vec<&PlacementCandidate> =
            candidates.iter().filter(|it| it.idx != chosen).collect();
        others.sort_by(|lhs, rhs| lhs.run_ms.total_cmp(&rhs.run_ms));
        let options = others.into_iter().take(MAX_TRACED_OPTIONS).filter_map(|it| {
            let (name, _) = self.endpoints.get_index(it.idx)?;
            let reason = if it.n_free == 0 { "no free slot" } else { "expected to finish later" };
            Some(PlacementOption {
                endpoint: name.clone(),
                expected_ms: it.run_ms as u64,
                n_free: it.n_free,
                reason: reason.to_owned(),
            })
        });
        options.collect()
    }

    /// Records in the trace of a lane's first waiting task what it waits for.
    fn trace_wait(&mut self, path: &KindPath, reason: &str) {
        let Some(lane) = self.queue.lane(path) else { return };
        let Some(rank) = lane.jobs.first() else { return };
        let Some(job) = self.jobs.get_mut(&rank.job) else { return };
        let Some(task_idx) = job.pending.get(path).and_then(|it| it.front()) else { return };
        let trace = &mut job.trace.tasks[*task_idx as usize];
        if trace.waited_for.as_deref() != Some(reason) {
            trace.waited_for = Some(reason.to_owned());
        }
    }

    /// Number of endpoints that may serve a kind now.
    pub(crate) fn n_serving(&self, path: &KindPath) -> usize {
        let Ok(spec) = self.config.kind(path.0.as_str(), path.1.as_str()) else { return 0 };
        let serving = self.endpoints.iter().filter(|(name, slots)| {
            slots.accepts_work && slots.serves(&path.1) && spec.allows(name.as_str())
        });
        serving.count()
    }

    /// Queued work in lanes at least as urgent as this one, in ms on an endpoint of slowdown
    /// one, and the total speed of the slots that may serve it.
    pub(crate) fn lane_work(&self, path: &KindPath, now: ClockTime) -> (f64, f64) {
        let Ok(spec) = self.config.kind(path.0.as_str(), path.1.as_str()) else {
            return (0.0, 0.0);
        };
        let ahead = self.queue.lanes().filter(|(_, lane)| lane.urgency <= spec.urgency);
        let work_ms = ahead.map(|(path, lane)| lane.n_tasks as f64 * self.estimates.base_ms(path));
        let mut speed = 0.0;
        let mut n_slots = 0;
        for (name, slots) in &self.endpoints {
            if slots.accepts_work && slots.serves(&path.1) && spec.allows(name.as_str()) {
                let capacity = slots.capacity(self.quarantine.trust(name, now));
                speed += f64::from(capacity) / self.estimates.slowdown(name);
                n_slots += capacity;
            }
        }
        if 0 < n_slots {
            let n_peer_free: u32 = self.peers.values().map(|it| it.n_free).sum();
            speed += f64::from(n_peer_free) * speed / f64::from(n_slots);
        }
        (work_ms.sum(), speed)
    }
}

/// Number of a job's tasks by kind.
pub(crate) fn tasks_by_kind(
    workspace: &WorkspaceName,
    kinds: &[KindName],
) -> IndexMap<KindPath, usize> {
    let mut counted = IndexMap::new();
    for kind in kinds {
        *counted.entry((workspace.clone(), kind.clone())).or_default() += 1;
    }
    counted
}
