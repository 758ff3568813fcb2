//! One of three control machines loses its disk in the second after the first start of the whole
//! system. The other two run on; the operator's configuration must be taken, and requests served.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    client::{self, Demands, Job, Step},
    cluster::{self, Cluster, Role},
    runner::{Runner, RunnerKind, SeenByRunners},
};

/// When the machine loses its disk, after the first start.
const LOSS_AT: Duration = Duration::from_millis(700);
/// How long it is down.
const DOWN_FOR: Duration = Duration::from_millis(1_000);
/// Time for the configuration: many times `contact_ms` and `ack_ms`.
const CONFIG_LIMIT: Duration = Duration::from_secs(60);
/// Time in which clients try to be served after that.
const TRAFFIC_TIME: Duration = Duration::from_secs(20);
const TASK_MS: u64 = 60;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let zones = ["bayern-muc", "bayern-nue", "bayern-aug"];
    let mut cluster = Cluster::new(&case.root, &case.scratch, record, &zones);
    cluster.start_all();
    let seen = Arc::new(Mutex::new(SeenByRunners::default()));
    let demands = Demands::default();
    let runners: Vec<Runner> = zones
        .iter()
        .zip(0..)
        .map(|(zone, idx)| {
            let ip = Ipv4Addr::new(127, cluster.network, 1, idx + 1);
            let kind = RunnerKind {
                id: format!("i-000000a{idx}"),
                address: SocketAddr::new(ip.into(), 8_080),
                service: "huvo11a".to_owned(),
                zone: (*zone).to_owned(),
                labels: vec!["a".to_owned(), format!("r1-{idx}")],
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
    thread::sleep(LOSS_AT);
    if case.has_trouble {
        let lost = cluster.with_role(Role::Control)[2];
        cluster.kill(lost);
        cluster.wipe(lost);
        thread::sleep(DOWN_FOR);
        cluster.start(lost, false);
    }
    let is_configured = cluster.configure(&cluster::config(7, 1_500, true), CONFIG_LIMIT);
    if !is_configured {
        record.line(&format!("no acknowledgement in {} s", CONFIG_LIMIT.as_secs()));
    }
    let entries = cluster.with_role(Role::Entry);
    let end = Instant::now() + TRAFFIC_TIME;
    let mut n_served = 0;
    let mut number = 0;
    while Instant::now() < end && n_served < 10 {
        let step =
            Step { count: 1, cpu: 6_800, mem_mb: 64, estimate_ms: TASK_MS, ..Step::default() };
        number += 1;
        let id = 0x5c0e_7a21_d94b_0000 + number;
        let job = Job { id, task_ms: TASK_MS, steps: vec![step], deadline_ms: 1_500 };
        job.publish_demands(&demands);
        let node = cluster.machines[entries[number as usize % entries.len()]].front();
        n_served += u64::from(client::submit(&job, node, record) == Some(200));
        thread::sleep(Duration::from_millis(300));
    }
    drop(runners);
    record.line(&format!("{n_served} of {number} requests served"));
    if is_configured && 0 < n_served { Verdict::Held } else { Verdict::Broken }
}
