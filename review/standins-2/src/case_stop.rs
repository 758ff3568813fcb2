//! Runners turn slow, one after the other; a run there is stopped and the task started elsewhere. The deployment's
//! `stop_ms` is 300, and runners take 250 ms to end a run.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Case, Verdict,
    client::{self, Demands, Job, Step},
    cluster::{self, Cluster},
    runner::{Runner, RunnerKind, SeenByRunners},
};

const STOP_MS: u64 = 300;
const STOP_TAKES_MS: u64 = 250;
/// Factor of a runner that has turned slow: `srv_slow` of the site file.
const SLOWNESS: f64 = 6.5;
const TASK_MS: u64 = 200;
const N_RUNNERS: u8 = 6;
const N_JOBS: u64 = 120;
/// Jobs from one spell of slowness to the next, and in a spell: 7 s of every 10 s.
const JOBS_PER_SPELL: u64 = 40;
const SLOW_JOBS: u64 = 28;
const START_LIMIT: Duration = Duration::from_secs(15);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let zones = ["bayern-muc", "bayern-muc"];
    let mut cluster = Cluster::new(&case.root, &case.scratch, record, &zones);
    cluster.stop_ms = STOP_MS;
    cluster.start_all();
    if !cluster.configure(&cluster::config(7, 1_500, true), START_LIMIT) {
        return Verdict::CouldNotRun("the configuration is not acknowledged".to_owned());
    }
    let seen = Arc::new(Mutex::new(SeenByRunners::default()));
    let demands = Demands::default();
    let slowness: Vec<_> = (0..N_RUNNERS).map(|_| Arc::new(Mutex::new(1.0))).collect();
    let runners: Vec<Runner> = (0..N_RUNNERS)
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
                stop_takes_ms: STOP_TAKES_MS,
                slowness: slowness[usize::from(idx)].clone(),
                demands: demands.clone(),
            };
            Runner::start(kind, cluster.controls(), record.clone(), seen.clone()).unwrap()
        })
        .collect();
    if !cluster.wait_ready(&[3, 4], START_LIMIT) {
        return Verdict::CouldNotRun("the entries do not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let nodes = [cluster.machines[3].front(), cluster.machines[4].front()];
    let mut clients = Vec::new();
    for idx in 0..N_JOBS {
        let (spell, number) = (idx / JOBS_PER_SPELL, idx % JOBS_PER_SPELL);
        if case.has_trouble && (number == 0 || number == SLOW_JOBS) {
            let factor = if number == 0 { SLOWNESS } else { 1.0 };
            record.line(&format!("i-000000a{spell}: run times times {factor}"));
            *slowness[spell as usize].lock().unwrap() = factor;
        }
        let step =
            Step { count: 4, cpu: 6_800, mem_mb: 64, estimate_ms: TASK_MS, ..Step::default() };
        let id = 0x5c0e_7a21_d94b_0000 + idx;
        let job = Job { id, task_ms: TASK_MS, steps: vec![step], deadline_ms: 1_500 };
        job.publish_demands(&demands);
        let order = [nodes[idx as usize % 2], nodes[(idx as usize + 1) % 2]];
        clients.push(client::submit_until_answered(job, order.to_vec(), record.clone()));
        thread::sleep(Duration::from_millis(250));
    }
    let n_served =
        clients.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it == Some(200));
    let n_served = n_served.count();
    drop(runners);
    record.line(&format!("{n_served} of {N_JOBS} jobs served"));
    let seen = seen.lock().unwrap();
    let mut n_twice = 0;
    for (idx, first) in seen.runs.iter().enumerate() {
        for second in &seen.runs[idx + 1..] {
            let ends_ms = first.to_ms.unwrap_or(u64::MAX);
            if first.task == second.task && second.from_ms < ends_ms {
                n_twice += 1;
                record.line(&format!(
                    "two runs at the same time of {}: run {} on {} until {ends_ms} ms, run {} on {} \
                     from {} ms",
                    first.task, first.run, first.runner, second.run, second.runner, second.from_ms
                ));
            }
        }
    }
    if n_served == 0 {
        return Verdict::CouldNotRun("no job was served".to_owned());
    }
    if n_twice == 0 { Verdict::Held } else { Verdict::Broken }
}
