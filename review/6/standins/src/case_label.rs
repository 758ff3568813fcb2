//! A runner crashes and starts again under its id as another kind, while the control machine that
//! its first heartbeat goes to stands still. Tasks that require the former kind must not start
//! there.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Case, Verdict,
    client::{self, Demands, Job, Step},
    cluster::{self, Cluster, Role},
    runner::{Runner, RunnerKind, SeenByRunners},
};

const TASK_MS: u64 = 300;
const KIND: &str = "a";
/// How long the runner is down, and the control machine stands still.
const DOWN_FOR: Duration = Duration::from_millis(500);
const FROZEN_FOR: Duration = Duration::from_secs(4);
const START_LIMIT: Duration = Duration::from_secs(15);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let zones = ["bayern-muc", "bayern-muc"];
    let mut cluster = Cluster::new(&case.root, &case.scratch, record, &zones);
    cluster.start_all();
    if !cluster.configure(&cluster::config(7, 1_500, true), START_LIMIT) {
        return Verdict::CouldNotRun("the configuration is not acknowledged".to_owned());
    }
    let seen = Arc::new(Mutex::new(SeenByRunners::default()));
    let demands = Demands::default();
    let start_runner = |idx: u8, kind: &str, controls: Vec<SocketAddr>| {
        let ip = Ipv4Addr::new(127, cluster.network, 1, idx + 1);
        let kind = RunnerKind {
            id: format!("i-000000a{idx}"),
            address: SocketAddr::new(ip.into(), 8_080),
            service: "huvo11a".to_owned(),
            zone: "bayern-muc".to_owned(),
            labels: vec![kind.to_owned(), "r1-1".to_owned()],
            cpu: 16_000,
            mem_mb: 65_536,
            is_guarded: true,
            stop_takes_ms: 20,
            slowness: Arc::new(Mutex::new(1.0)),
            demands: demands.clone(),
        };
        Runner::start(kind, controls, record.clone(), seen.clone()).unwrap()
    };
    let first = start_runner(0, KIND, cluster.controls());
    let _second = start_runner(1, KIND, cluster.controls());
    if !cluster.wait_ready(&[3, 4], START_LIMIT) {
        return Verdict::CouldNotRun("the entries do not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (stop, record, demands) = (stop.clone(), record.clone(), demands.clone());
        let nodes = [cluster.machines[3].front(), cluster.machines[4].front()];
        thread::spawn(move || {
            let mut clients = Vec::new();
            for idx in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let step = Step {
                    count: 1,
                    cpu: 6_800,
                    mem_mb: 64,
                    estimate_ms: TASK_MS,
                    label: Some(KIND),
                    ..Step::default()
                };
                let id = 0x5c0e_7a21_d94b_0000 + idx;
                let job = Job { id, task_ms: TASK_MS, steps: vec![step], deadline_ms: 1_500 };
                job.publish_demands(&demands);
                let order = [nodes[idx as usize % 2], nodes[(idx as usize + 1) % 2]];
                clients.push(client::submit_until_answered(job, order.to_vec(), record.clone()));
                thread::sleep(Duration::from_millis(100));
            }
            clients
                .into_iter()
                .filter_map(|it| it.join().ok())
                .filter(|it| *it == Some(200))
                .count()
        })
    };
    thread::sleep(Duration::from_secs(4));
    let frozen = cluster.with_role(Role::Control)[0];
    let controls = cluster.controls();
    // Whom a runner calls first is its own choice: here the one that stands still.
    let _reborn = if case.has_trouble {
        cluster.signal(frozen, "STOP");
        first.crash();
        thread::sleep(DOWN_FOR);
        let reborn = start_runner(0, "b", controls);
        thread::sleep(FROZEN_FOR.saturating_sub(DOWN_FOR));
        cluster.signal(frozen, "CONT");
        Some(reborn)
    } else {
        thread::sleep(FROZEN_FOR);
        None
    };
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    let n_served = traffic.join().unwrap_or(0);
    record.line(&format!("{n_served} jobs served"));
    if n_served == 0 {
        return Verdict::CouldNotRun("no job was served".to_owned());
    }
    let seen = seen.lock().unwrap();
    let wrong: Vec<_> =
        seen.starts.iter().filter(|it| !it.labels.iter().any(|label| label == KIND)).collect();
    for start in &wrong {
        record.line(&format!(
            "a task that requires {KIND:?} starts on {} of labels {:?}: {} at {} ms, {:?} ms after \
             that life first told of itself in an answer to a hold",
            start.runner, start.labels, start.task, start.at_ms, start.since_hold_ms
        ));
    }
    if wrong.is_empty() { Verdict::Held } else { Verdict::Broken }
}
