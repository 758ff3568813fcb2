//! What several cases share: the configuration, the runners and a large job.

use std::sync::{Arc, Mutex};

use crate::{
    cluster::{Cluster, HOST},
    record::Record,
    runner::{JobBook, Runner, RunnerKind, Start, StepWork},
};

/// The one configuration: a route and its service, whose runners check what they are told to start
/// or not.
pub fn config(guards: bool) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/jobs/\",\
         \"type\":\"unsafe\",\"timeout_ms\":20000,\"target_latency_ms\":5000,\"priority\":0,\
         \"service\":\"svc\",\"max_attempts\":3,\"stretch\":3.0}}],\"services\":[{{\"name\":\"svc\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission_check\":{guards},\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Sixteen runners of 16 cores in each of three zones, as in the small site files.
pub fn start_runners(
    cluster: &Cluster,
    book: &JobBook,
    starts: &Arc<Mutex<Vec<Start>>>,
    record: &Record,
) -> Vec<Runner> {
    let mut runners = Vec::new();
    for (zone_idx, zone) in ["za", "zb", "zc"].iter().enumerate() {
        for idx in 0..16 {
            let kind = RunnerKind {
                id: format!("i-{zone}-{idx}"),
                address: cluster.address(100 + (zone_idx * 16 + idx) as u8, 28_080),
                service: "svc".to_owned(),
                zone: (*zone).to_owned(),
                labels: ("a".to_owned(), format!("rack-{zone}-{}", idx / 8)),
                cpu: 16_000,
                guards: true,
                stop_ms: 20,
            };
            let runner = Runner::start(kind, book, starts, record);
            runner.report_to(cluster.controls());
            runners.push(runner);
        }
    }
    runners
}

/// The body of a job of so many steps of one small task each, and what its tasks do.
pub fn large_job(n_steps: usize) -> (String, Vec<StepWork>) {
    let step = "{\"count\":1,\"cpu\":1,\"mem_mb\":1,\"estimate_ms\":400}";
    let steps = vec![step; n_steps].join(",");
    let body = format!("{{\"spec\":\"large\",\"best_effort\":true,\"steps\":[{steps}]}}");
    (body, vec![StepWork { cpu: 1, ms: 400, label: None }; n_steps])
}
