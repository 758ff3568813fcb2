//! A client cancels its job; the balancer brings the call to another node than the one where the
//! client's POST waits, as a machine was added meanwhile.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Case, Verdict,
    client::{self, Demands, Job, PREFIX, Step},
    cluster::{self, Cluster, HOST},
    http,
    runner::{Runner, RunnerKind, SeenByRunners},
};

/// Steps of the job, one after the other, each as long as a board-composite task.
const N_STEPS: u64 = 14;
const STEP_MS: u64 = 900;
/// Bounds of the deployment.
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 50;
/// Time until the operator's call, ready checks and heartbeats must have worked.
const START_LIMIT: Duration = Duration::from_secs(15);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let zones = ["bayern-muc", "bayern-muc", "bayern-muc"];
    let mut cluster = Cluster::new(&case.root, &case.scratch, record, &zones);
    // The last entry is a spare machine, which may be added later.
    let (first, spare) = (3, 5);
    for idx in 0..spare {
        cluster.start(idx, true);
    }
    if !cluster.configure(&cluster::config(7, 30_000, true), START_LIMIT) {
        return Verdict::CouldNotRun("the configuration is not acknowledged".to_owned());
    }
    let seen = Arc::new(Mutex::new(SeenByRunners::default()));
    let demands = Demands::default();
    let runners: Vec<Runner> = (0..2)
        .map(|idx| {
            let ip = Ipv4Addr::new(127, cluster.network, 1, idx + 1);
            let kind = RunnerKind {
                id: format!("i-000000a{idx}"),
                address: SocketAddr::new(ip.into(), 8_080),
                service: "huvo11a".to_owned(),
                zone: "bayern-muc".to_owned(),
                labels: vec!["a".to_owned(), "r1-1".to_owned()],
                cpu: 16_000,
                mem_mb: 65_536,
                is_guarded: true,
                stop_takes_ms: 20,
                slowness: Arc::new(Mutex::new(1.0)),
                demands: demands.clone(),
            };
            Runner::start(kind, cluster.controls(), record.clone(), seen.clone()).unwrap()
        })
        .collect();
    if !cluster.wait_ready(&[first, first + 1], START_LIMIT) {
        return Verdict::CouldNotRun("the entries do not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let steps = (0..N_STEPS).map(|idx| Step {
        count: 1,
        cpu: 6_800,
        mem_mb: 64,
        estimate_ms: STEP_MS,
        after: if idx == 0 { Vec::new() } else { vec![idx - 1] },
        label: None,
    });
    let job = Job {
        id: 0x5c0e_7a21_d94b_36f8,
        task_ms: STEP_MS,
        steps: steps.collect(),
        deadline_ms: 30_000,
    };
    job.publish_demands(&demands);
    let submission = {
        let (job, node, record) = (job.clone(), cluster.machines[first].front(), record.clone());
        thread::spawn(move || client::submit(&job, node, &record))
    };
    thread::sleep(Duration::from_millis(500));
    let mut node = cluster.machines[first].front();
    if case.has_trouble {
        cluster.start(spare, false);
        if !cluster.wait_ready(&[spare], START_LIMIT) {
            return Verdict::CouldNotRun("the added machine does not become ready".to_owned());
        }
        node = cluster.machines[spare].front();
    }
    let path = format!("{PREFIX}{}", job.name());
    record.line(&format!("client: DELETE {path} to {node}"));
    let answer = http::call(node, "DELETE", &path, HOST, "", "", Duration::from_secs(4));
    let Some((status, _)) = answer else {
        return Verdict::CouldNotRun("the cancelling got no answer".to_owned());
    };
    let acked_ms = record.now_ms();
    record.line(&format!("client: the cancelling is answered {status}"));
    if !(200..300).contains(&status) && status != 410 {
        return Verdict::CouldNotRun(format!("the cancelling was answered {status}"));
    }
    thread::sleep(Duration::from_millis(CANCEL_MS + STOP_MS));
    let limit_ms = acked_ms + CANCEL_MS + STOP_MS;
    let _ = submission.join();
    drop(runners);
    let seen = seen.lock().unwrap();
    let late: Vec<_> =
        seen.runs.iter().filter(|it| it.to_ms.is_none_or(|end_ms| limit_ms < end_ms)).collect();
    for run in &late {
        record.line(&format!(
            "runs on {} ms after the cancelling was answered: {} on {}, begun at {} ms",
            run.to_ms.map_or(0, |it| it - acked_ms),
            run.task,
            run.runner,
            run.from_ms
        ));
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
