//! Admission control: whether a job should be claimed now or refused.

use crate::{
    dispatch_pass::tasks_by_kind, job_dispatcher::JobDispatcher, policy_settings::AdmissionRule,
    prelude::*,
};

impl JobDispatcher {
    /// Whether a job should be claimed here now.
    ///
    /// # Errors
    ///
    /// `UnknownWorkspace`, `UnknownKind`, `NoEndpoint` when no endpoint may serve a
    /// kind, `QuotaExceeded`, or `Overloaded` when the job would wait too long.
    pub fn admit(
        &self,
        workspace: &WorkspaceName,
        kinds: &[KindName],
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<(), RequestError> {
        for kind in kinds {
            self.config.kind(workspace.as_str(), kind.as_str())?;
        }
        let counted = tasks_by_kind(workspace, kinds);
        for path in counted.keys() {
            if self.n_serving(path) == 0 {
                let message = format!("no endpoint may serve {}/{} now", path.0, path.1);
                return Err(RequestError::new(ErrorKind::NoEndpoint, message));
            }
        }
        match self.policy.admission {
            AdmissionRule::Off => Ok(()),
            AdmissionRule::BoundedQueue => self.check_queue_bound(kinds.len()),
            AdmissionRule::PredictedWait => {
                let mut own_ms = 0.0;
                let mut slowest = (0.0, 0.0);
                for (path, n_tasks) in &counted {
                    let base_ms = self.estimates.base_ms(path);
                    own_ms += *n_tasks as f64 * base_ms;
                    let (work_ms, speed) = self.lane_work(path, now);
                    if speed <= 0.0 {
                        let message = "every endpoint that may serve the job is quarantined";
                        return Err(RequestError::new(ErrorKind::Overloaded, message));
                    }
                    if slowest.0 <= work_ms / speed {
                        slowest = (work_ms / speed, speed);
                    }
                }
                self.check_predicted_wait(slowest, own_ms, deadline, now)
            }
        }
    }

    fn check_queue_bound(&self, n_tasks: usize) -> Result<(), RequestError> {
        let max_queued = self.policy.max_queued as usize;
        if self.queue.n_tasks() + n_tasks <= max_queued {
            return Ok(());
        }
        let message = format!("{} tasks wait, of {max_queued} at most", self.queue.n_tasks());
        Err(RequestError::new(ErrorKind::Overloaded, message))
    }

    /// Refuses a job whose predicted wait is too long or whose predicted end lies past the
    /// deadline. `speed` is the work done per ms by the slots that may serve the job.
    fn check_predicted_wait(
        &self,
        (wait_ms, speed): (f64, f64),
        own_ms: f64,
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<(), RequestError> {
        let limit_ms = self.policy.max_wait_ms as f64;
        if limit_ms < wait_ms {
            let message = format!("the predicted wait is {wait_ms:.0} ms, {limit_ms:.0} at most");
            return Err(RequestError::new(ErrorKind::Overloaded, message));
        }
        let end_ms = if speed <= 0.0 { wait_ms } else { wait_ms + own_ms / speed };
        let left_ms = deadline.since_ms(now) as f64;
        if left_ms < end_ms {
            let message =
                format!("the predicted end is {end_ms:.0} ms away, the deadline {left_ms:.0} ms");
            return Err(RequestError::new(ErrorKind::Overloaded, message));
        }
        Ok(())
    }
}
