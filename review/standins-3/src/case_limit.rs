//! A leader is killed while its service's runners, which do not check what they are told to start,
//! are at work: the next leader must not fill the room of runs that it has not been told of.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, HOST},
    http,
    record::Record,
    runner::{JobBook, Runner, RunnerKind, Start, StepWork},
    scene,
};

const N_RUNNERS: usize = 3;
/// Callers of small jobs.
const N_CALLERS: usize = 60;
const N_ROUNDS: u64 = 4;

pub fn run(has_trouble: bool, record: &Record) -> bool {
    let mut cluster = Cluster::start(&["za", "zb", "zc"], 2, record);
    let starts = Arc::new(Mutex::new(Vec::new()));
    let book = JobBook::default();
    for idx in 0..N_RUNNERS {
        let kind = RunnerKind {
            id: format!("i-{idx}"),
            address: cluster.address(100 + idx as u8, 28_080),
            service: "svc".to_owned(),
            zone: "za".to_owned(),
            labels: ("a".to_owned(), "rack-1".to_owned()),
            cpu: 16_000,
            guards: false,
            stop_ms: 45,
        };
        Runner::start(kind, &book, &starts, record).report_to(cluster.controls());
    }
    cluster.put_config(&scene::config(false));
    cluster.wait_until_ready();
    thread::sleep(Duration::from_secs(5));

    // Small jobs, from callers at the entries that are not killed.
    let entries = cluster.entries();
    let stop = Arc::new(AtomicBool::new(false));
    let is_active = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicUsize::new(0));
    let n_served = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    let leader = leader_of(&cluster, record);
    let others: Vec<_> = entries.iter().copied().filter(|it| *it != leader).collect();
    for idx in 0..N_CALLERS {
        let front = cluster.nodes[others[idx % others.len()]].front();
        let (stop, is_active) = (stop.clone(), is_active.clone());
        let (next, n_served, book) = (next.clone(), n_served.clone(), book.clone());
        callers.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                if !is_active.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                }
                let id = format!("{:016x}", 0x5a00_0000 + next.fetch_add(1, Ordering::SeqCst));
                book.add(&id, vec![StepWork { cpu: 1_000, ms: 200, label: None }]);
                let body = "{\"spec\":\"small\",\"best_effort\":true,\"steps\":[{\"count\":1,\
                            \"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":200}]}";
                let headers = [
                    ("Host", HOST.to_owned()),
                    ("X-Yuccamux-Deadline-Remaining", "4000".to_owned()),
                ];
                let path = format!("/jobs/{id}");
                let limit = Duration::from_secs(4);
                let answer = http::call(front, "POST", &path, &headers, body, limit);
                if matches!(answer, Ok((200, _))) {
                    n_served.fetch_add(1, Ordering::SeqCst);
                }
                if !matches!(answer, Ok((200, _))) {
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }));
    }
    // Large jobs, one after the other, from a caller at the leader: each has the larger part of the
    // runner's capacity.
    let mut n_kills = 0;
    let mut leader = leader;
    for round in 0..N_ROUNDS {
        is_active.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(1_500));
        let id = format!("{:016x}", 0xb160_0000_u64 + round);
        book.add(&id, vec![StepWork { cpu: 10_000, ms: 3_000, label: None }]);
        let front = cluster.nodes[leader].front();
        record
            .line(&format!("round {round}: a large job is sent to {}", cluster.nodes[leader].name));
        let caller_record = record.clone();
        let caller = thread::spawn(move || {
            let body = "{\"spec\":\"large\",\"best_effort\":true,\"steps\":[{\"count\":3,\"cpu\":10000,\
                        \"mem_mb\":64,\"estimate_ms\":3000}]}";
            let headers =
                [("Host", HOST.to_owned()), ("X-Yuccamux-Deadline-Remaining", "9000".to_owned())];
            let limit = Duration::from_secs(9);
            let answer = http::call(front, "POST", &format!("/jobs/{id}"), &headers, body, limit);
            caller_record.line(&format!("round {round}: the large job's caller: {answer:?}"));
        });
        let until = Instant::now() + Duration::from_secs(6);
        let has_large = |starts: &Mutex<Vec<Start>>| {
            let task = format!("{:016x}.0.0.0", 0xb160_0000_u64 + round);
            starts.lock().expect("no user panics").iter().any(|it| it.task == task)
        };
        while !has_large(&starts) && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        if !has_large(&starts) {
            record.line("the large job did not start");
            continue;
        }
        is_active.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(600));
        if has_trouble {
            record.line(&format!("{} is killed", cluster.nodes[leader].name));
            cluster.nodes[leader].signal("KILL");
            n_kills += 1;
        }
        let _ = caller.join();
        thread::sleep(Duration::from_millis(1_500));
        if has_trouble {
            let _ = cluster.nodes[leader].child.as_mut().map(std::process::Child::wait);
            cluster.start_node(leader);
            thread::sleep(Duration::from_secs(4));
        }
        let found = leader_of(&cluster, record);
        leader = found;
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let starts = starts.lock().expect("no user panics").clone();
    let over: Vec<&Start> = starts.iter().filter(|it| it.capacity < it.cpu_after).collect();
    record.line(&format!(
        "{n_kills} kills, {} small jobs served, {} starts, {} of them over the capacity",
        n_served.load(Ordering::SeqCst),
        starts.len(),
        over.len()
    ));
    for it in over.iter().take(10) {
        record.line(&format!(
            "at {} ms {} started {} run {}: {} in use of {}",
            it.at_ms, it.runner, it.task, it.run, it.cpu_after, it.capacity
        ));
    }
    let is_broken = !over.is_empty();
    cluster.stop();
    is_broken
}

/// The entry that leads the runners: the one whose log tells of the highest token.
fn leader_of(cluster: &Cluster, record: &Record) -> usize {
    let mut leader = None;
    for idx in cluster.entries() {
        let path = cluster.folder.join(format!("{}.log", cluster.nodes[idx].name));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let claims = text.lines().filter(|it| it.contains("\"cell_claimed\""));
        let token = claims.filter_map(|it| http::number_field(it, "token")).max();
        leader = leader.max(token.map(|it| (it, idx)));
    }
    let leader = leader.map_or_else(|| cluster.entries()[0], |(_, idx)| idx);
    record.line(&format!("{} leads the runners", cluster.nodes[leader].name));
    leader
}
