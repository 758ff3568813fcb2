//! An entry that leads a rack's runners is killed, and the entry that takes over freezes soon after.
//! Jobs whose clients were connected to the first one are sent again after `resend_ms`. The runs of
//! the first copies must be over by then.

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
    http,
    runner::{Runner, RunnerKind, SeenByRunners},
};

const START_LIMIT: Duration = Duration::from_secs(15);
/// Rounds, each with the same two disruptions.
const N_ROUNDS: u64 = 6;
/// Runners in two racks, with room for three tasks each.
const N_RUNNERS: u8 = 8;
const N_JOBS: u64 = 16;
/// Run time of a task, within the spread of board-composite (mean 900 ms, at most 3,600), and
/// what its client declares.
const TASK_MS: u64 = 1_800;
const ESTIMATE_MS: u64 = 1_000;
/// Run time of the tasks of the jobs before each round.
const CALM_TASK_MS: u64 = 900;
/// How long clients wait, and the route's timeout.
const DEADLINE_MS: u64 = 1_500;
/// Short jobs beside them, like those of swatch-preview, and how long they come.
const SHORT_TASK_MS: u64 = 60;
const SHORT_GAP: Duration = Duration::from_millis(8);
const SHORT_TIME: Duration = Duration::from_millis(700);
/// When the entry is killed, after its jobs were sent.
const KILL_AFTER: Duration = Duration::from_millis(60);
/// When its successor freezes, after it has taken over.
const FREEZE_AFTER: Duration = Duration::from_millis(85);
/// Time for an entry to take over.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(2);
/// When the platform starts the killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// How long the successor stands still.
const FROZEN_FOR: Duration = Duration::from_secs(4);
/// Time from the end of one round to the next.
const CALM_TIME: Duration = Duration::from_secs(7);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let zones = ["bayern-muc", "bayern-muc", "bayern-muc"];
    let mut cluster = Cluster::new(&case.root, &case.scratch, record, &zones);
    cluster.start_all();
    if !cluster.configure(&cluster::config(7, DEADLINE_MS, true), START_LIMIT) {
        return Verdict::CouldNotRun("the configuration is not acknowledged".to_owned());
    }
    let seen = Arc::new(Mutex::new(SeenByRunners::default()));
    let demands = Demands::default();
    let runners: Vec<Runner> = (0..N_RUNNERS)
        .map(|idx| {
            let ip = Ipv4Addr::new(127, cluster.network, 1, idx + 1);
            let kind = RunnerKind {
                id: format!("i-000000a{idx}"),
                address: SocketAddr::new(ip.into(), 8_080),
                service: "huvo11a".to_owned(),
                zone: "bayern-muc".to_owned(),
                labels: vec!["a".to_owned(), format!("r1-{}", idx / (N_RUNNERS / 2))],
                cpu: 24_000,
                mem_mb: 65_536,
                is_guarded: true,
                stop_takes_ms: 45,
                slowness: Arc::new(Mutex::new(1.0)),
                demands: demands.clone(),
            };
            Runner::start(kind, cluster.controls(), record.clone(), seen.clone()).unwrap()
        })
        .collect();
    let entries = cluster.with_role(Role::Entry);
    if !cluster.wait_ready(&entries, START_LIMIT) {
        return Verdict::CouldNotRun("the entries do not become ready".to_owned());
    }
    thread::sleep(CALM_TIME);
    let mut clients = Vec::new();
    let (mut n_served, mut n_calm) = (0, 0);
    for round in 0..N_ROUNDS {
        let Some(leader) = entries.iter().copied().find(|it| 0 < n_led(&cluster, *it)) else {
            return Verdict::CouldNotRun("no entry leads".to_owned());
        };
        let others: Vec<usize> = entries.iter().copied().filter(|it| *it != leader).collect();
        for (number, idx) in entries.iter().enumerate() {
            let node = cluster.machines[*idx].front();
            let job = new_job(0x7d00 + round * 16 + number as u64, CALM_TASK_MS, CALM_TASK_MS);
            job.publish_demands(&demands);
            n_served += u64::from(client::submit(&job, node, record) == Some(200));
            n_calm += 1;
        }
        let n_before: Vec<u64> = others.iter().map(|it| n_led(&cluster, *it)).collect();
        let fronts: Vec<SocketAddr> =
            others.iter().map(|it| cluster.machines[*it].front()).collect();
        // The other clients are at the entry that is not likely to be the successor.
        let survivor = if n_before[0] < n_before[1] { 1 } else { 0 };
        // The next node of the clients whose entry is killed; it is known once one has frozen.
        let next_node = Arc::new(Mutex::new(fronts[survivor]));
        for number in 0..N_JOBS {
            let job = new_job(round * 256 + number, TASK_MS, ESTIMATE_MS);
            job.publish_demands(&demands);
            let is_lost = number % 2 == 0;
            let node = if is_lost { cluster.machines[leader].front() } else { fronts[survivor] };
            let (record, next_node) = (record.clone(), next_node.clone());
            clients.push(thread::spawn(move || {
                let status = client::submit(&job, node, &record);
                if is_lost && matches!(status, None | Some(502 | 504)) {
                    thread::sleep(client::RESEND);
                    let node = *next_node.lock().unwrap();
                    client::submit(&job, node, &record);
                }
            }));
        }
        {
            let (record, demands, node) = (record.clone(), demands.clone(), fronts[survivor]);
            clients.push(thread::spawn(move || {
                let end = Instant::now() + SHORT_TIME;
                let mut shorts = Vec::new();
                for number in 0.. {
                    if end <= Instant::now() {
                        break;
                    }
                    let id = 0x1_0000 + round * 4_096 + number;
                    let job = new_job(id, SHORT_TASK_MS, SHORT_TASK_MS);
                    job.publish_demands(&demands);
                    let record = record.clone();
                    shorts.push(thread::spawn(move || client::submit(&job, node, &record)));
                    thread::sleep(SHORT_GAP);
                }
                for short in shorts {
                    let _ = short.join();
                }
            }));
        }
        thread::sleep(KILL_AFTER);
        if case.has_trouble {
            let killed_at = Instant::now();
            cluster.kill(leader);
            let Some(successor) = wait_successor(&cluster, &others, &n_before, killed_at) else {
                return Verdict::CouldNotRun("no entry takes over".to_owned());
            };
            thread::sleep(FREEZE_AFTER);
            cluster.signal(others[successor], "STOP");
            *next_node.lock().unwrap() = fronts[1 - successor];
            thread::sleep(RESTART_AFTER.saturating_sub(killed_at.elapsed()));
            cluster.start(leader, false);
            thread::sleep(FROZEN_FOR.saturating_sub(RESTART_AFTER));
            cluster.signal(others[successor], "CONT");
        } else {
            thread::sleep(FROZEN_FOR);
        }
        thread::sleep(CALM_TIME);
    }
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!("{n_served} of {n_calm} jobs between the rounds served"));
    drop(runners);
    let seen = seen.lock().unwrap();
    let n_twice = seen.report_twice(record);
    if n_served == 0 {
        return Verdict::CouldNotRun("no job was served".to_owned());
    }
    if n_twice == 0 { Verdict::Held } else { Verdict::Broken }
}

/// The first of the other entries that leads more cells than before.
fn wait_successor(
    cluster: &Cluster,
    others: &[usize],
    n_before: &[u64],
    since: Instant,
) -> Option<usize> {
    while since.elapsed() < TAKEOVER_LIMIT {
        let successor = (0..others.len()).find(|it| n_before[*it] < n_led(cluster, others[*it]));
        if successor.is_some() {
            return successor;
        }
        thread::sleep(Duration::from_millis(3));
    }
    None
}

fn new_job(number: u64, task_ms: u64, estimate_ms: u64) -> Job {
    let step = Step { count: 1, cpu: 6_800, mem_mb: 64, estimate_ms, ..Step::default() };
    let id = 0x5c0e_7a21_d94b_0000 + number;
    Job { id, task_ms, steps: vec![step], deadline_ms: DEADLINE_MS }
}

/// Number of cells that an entry leads, by its metrics.
fn n_led(cluster: &Cluster, idx: usize) -> u64 {
    let address = SocketAddr::new(cluster.machines[idx].ip.into(), 9_464);
    let host = address.to_string();
    let answer = http::call(address, "GET", "/metrics", &host, "", "", Duration::from_millis(200));
    let text = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
    let line =
        text.and_then(|it| it.lines().find(|it| it.contains("\"cells_led\"")).map(str::to_owned));
    line.and_then(|it| it.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}
