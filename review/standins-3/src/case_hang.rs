//! A job in one request of legal size, and what becomes of the entries.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, HOST, is_ready},
    http,
    record::Record,
    runner::{JobBook, StepWork},
    scene,
};

/// Length of the watch after the large jobs were sent.
const WATCH: Duration = Duration::from_secs(45);
/// Time without an answer from which on a process hangs: readiness checks come each second.
const HANG: Duration = Duration::from_secs(10);
/// Tasks of the second step.
const N_TASKS: usize = 4_000;
/// Entries of the second step's `after`; the body has less than `max_body_bytes`.
const N_AFTER: usize = 60_000;

/// The body of a job whose second step comes after the first one, and says so many times over.
fn repeating_job() -> (String, Vec<StepWork>) {
    let after = vec!["0"; N_AFTER].join(",");
    let body = format!(
        "{{\"spec\":\"large\",\"best_effort\":true,\"steps\":[{{\"count\":1,\"cpu\":500,\"mem_mb\":1,\
         \"estimate_ms\":50}},{{\"count\":{N_TASKS},\"cpu\":500,\"mem_mb\":1,\"estimate_ms\":50,\
         \"after\":[{after}]}}]}}"
    );
    (body, vec![StepWork { cpu: 500, ms: 50, label: None }; 2])
}

pub fn run(has_trouble: bool, record: &Record) -> bool {
    let mut cluster = Cluster::start(&["za", "zb", "zc"], 2, record);
    let starts = Arc::new(Mutex::new(Vec::new()));
    let book = JobBook::default();
    let _runners = scene::start_runners(&cluster, &book, &starts, record);
    cluster.put_config(&scene::config(true));
    cluster.wait_until_ready();
    thread::sleep(Duration::from_secs(5));

    let small = |idx: usize, entry: usize| {
        let id = format!("{:016x}", 0x5a00_0000_0000_0000_u64 + idx as u64);
        book.add(&id, vec![StepWork { cpu: 500, ms: 50, label: None }]);
        let body = "{\"spec\":\"small\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":500,\
                    \"mem_mb\":64,\"estimate_ms\":50}]}";
        let entry = cluster.nodes[entry].front();
        let headers =
            [("Host", HOST.to_owned()), ("X-Yuccamux-Deadline-Remaining", "3000".to_owned())];
        http::call(entry, "POST", &format!("/jobs/{id}"), &headers, body, Duration::from_secs(3))
    };
    let entries = cluster.entries();
    for (idx, entry) in entries.iter().enumerate() {
        let answer = small(idx, *entry);
        record.line(&format!("{}: a small job: {answer:?}", cluster.nodes[*entry].name));
    }

    // One job of a legal size, in one whole request.
    let front = cluster.nodes[entries[0]].front();
    let id = "000000000000aa00";
    let (body, work) = repeating_job();
    book.add(id, work);
    if has_trouble {
        record.line(&format!(
            "{}: a job of 2 steps and {} tasks, {} bytes, is sent",
            cluster.nodes[entries[0]].name,
            N_TASKS + 1,
            body.len()
        ));
        let record = record.clone();
        thread::spawn(move || {
            let headers =
                [("Host", HOST.to_owned()), ("X-Yuccamux-Deadline-Remaining", "9000".to_owned())];
            let limit = Duration::from_secs(9);
            let answer = http::call(front, "POST", &format!("/jobs/{id}"), &headers, &body, limit);
            record.line(&format!("its answer: {answer:?}"));
        });
    }

    // Every half second: readiness checks, and the platform's view of the processes.
    let until = Instant::now() + WATCH;
    let mut silent_since: Vec<Option<Instant>> = vec![None; entries.len()];
    let mut longest = vec![Duration::ZERO; entries.len()];
    let mut peak_mb = vec![0; entries.len()];
    while Instant::now() < until {
        let checks: Vec<_> = entries
            .iter()
            .map(|it| cluster.nodes[*it].ready())
            .map(|address| {
                thread::spawn(move || {
                    let limit = Duration::from_millis(900);
                    http::call(address, "GET", "/yuccamux/ready", &[], "", limit).is_ok()
                })
            })
            .collect();
        let began = Instant::now();
        for (idx, check) in checks.into_iter().enumerate() {
            let answers = check.join().unwrap_or(false);
            let node = &cluster.nodes[entries[idx]];
            peak_mb[idx] = peak_mb[idx].max(node.resident_mb().unwrap_or(0));
            if answers {
                if let Some(since) = silent_since[idx].take() {
                    record.line(&format!(
                        "{} answers again after {:?}",
                        node.name,
                        since.elapsed()
                    ));
                }
            } else {
                let since = *silent_since[idx].get_or_insert(began);
                longest[idx] = longest[idx].max(since.elapsed());
                record.line(&format!("{} does not answer, for {:?}", node.name, since.elapsed()));
            }
        }
        thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
    }
    for (idx, entry) in entries.iter().enumerate() {
        let node = &cluster.nodes[*entry];
        let answer = small(100 + idx, *entry);
        record.line(&format!(
            "{}: silent for {:?} at most, {} MB at most of {}, a small job: {answer:?}, ready: {}",
            node.name,
            longest[idx],
            peak_mb[idx],
            node.memory_mb,
            is_ready(node.ready())
        ));
    }
    cluster.stop();
    longest.iter().any(|it| HANG <= *it)
}
