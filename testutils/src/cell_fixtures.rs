//! Routes and endpoints that the worlds of cells share.

use yuccamux::{
    cell::{
        endpoint_directory::EndpointRecord,
        job_offer::ResourceAmount,
        route_plan::{RequestLimits, RoutePlan, RouteRule},
    },
    prelude::*,
};

/// Service of all endpoints and routes.
pub const SERVICE: &str = "s";
/// Stretch of a job's chain in its latency objective, in thousandths.
pub const STRETCH_MILLI: u64 = 1_600;
/// Addition to the stretched chain, in ms.
pub const SLACK_MS: u64 = 60;

/// A plan with these routes, by name and rank.
pub fn route_plan(routes: &[(&str, u32)]) -> RoutePlan {
    let rule = |(name, priority): &(&str, u32)| RouteRule {
        name: (*name).to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        timeout_ms: 1_500,
        service: SERVICE.to_owned(),
        priority: *priority,
        max_attempts: 3,
        stretch_milli: STRETCH_MILLI,
        slack_ms: SLACK_MS,
        needs_advice: false,
    };
    RoutePlan {
        version: 1,
        routes: routes.iter().map(rule).collect(),
        services: vec![SERVICE.to_owned()],
        limits: RequestLimits::default(),
    }
}

/// An endpoint that has just been born.
pub fn endpoint(
    name: &str,
    address: String,
    centre: &str,
    rack: &str,
    cpu: u64,
    born: ClockTime,
) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::from(name),
        incarnation: born.0,
        seq: 1,
        service: SERVICE.to_owned(),
        address,
        centre: DataCentre::from(centre),
        rack: rack.to_owned(),
        labels: vec!["a".to_owned(), rack.to_owned()],
        capacity: ResourceAmount { cpu, mem_mb: 64_000, gpu: 0 },
        leaving: false,
    }
}
