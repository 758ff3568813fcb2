//! The route plan: which requests are served, by which service, and under which limits.
//!
//! A plan carries its own version. The control group keeps the plan with the highest one;
//! an entry applies a plan only if its version is above that of its current plan.

use crate::prelude::*;

/// Maps requests by host and path to a service, with the objectives of their jobs.
#[derive(Data!)]
pub struct RouteRule {
    /// Its name.
    pub name: String,
    /// Host that a request must name.
    pub host: String,
    /// Prefix of the request's path.
    pub path_prefix: String,
    /// Time limit of a request, in ms.
    pub timeout_ms: u64,
    /// Service that runs its jobs.
    pub service: String,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Factor on a job's critical path in its latency objective, in thousandths.
    pub stretch_milli: u64,
    /// Constant added to the stretched critical path in the latency objective, in ms.
    pub slack_ms: u64,
    /// Whether a policy service must be asked which endpoints may run a step.
    pub needs_advice: bool,
}

/// Limits on requests.
#[derive(Data!, Copy)]
pub struct RequestLimits {
    /// Largest header, in bytes.
    pub max_header_bytes: u64,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a header must arrive, in ms.
    pub header_ms: u64,
    /// Time after which an idle connection is closed, in ms.
    pub idle_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// A version of the routes.
#[derive(Data!, Default)]
pub struct RoutePlan {
    /// Version, chosen by operators.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services that routes may name.
    pub services: Vec<String>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

impl RoutePlan {
    /// The route of a request: the longest prefix of its path among the host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let fits = |it: &&RouteRule| it.host == host && path.starts_with(&it.path_prefix);
        self.routes.iter().filter(fits).max_by_key(|it| it.path_prefix.len())
    }

    /// Checks the rules that the format alone doesn't enforce.
    ///
    /// # Errors
    ///
    /// `InvalidChange` if a route names an unknown service, has no time, or shares host
    /// and prefix with another.
    pub fn check(&self) -> Result<(), RequestError> {
        let mut seen = indexmap::IndexSet::new();
        for route in &self.routes {
            let problem = if !self.services.contains(&route.service) {
                format!("names service {:?}, which does not exist", route.service)
            } else if route.timeout_ms == 0 {
                "has a timeout of 0 ms".to_owned()
            } else if !seen.insert((&route.host, &route.path_prefix)) {
                "shares its host and prefix with another".to_owned()
            } else {
                continue;
            };
            let message = format!("route {} {problem}", route.name);
            return Err(RequestError::new(ErrorKind::InvalidChange, message));
        }
        Ok(())
    }
}
