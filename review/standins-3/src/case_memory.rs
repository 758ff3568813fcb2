//! Many large jobs at once, a few times, while the platform holds each process to the memory of its
//! machine: it kills a process that uses more, and starts it again after a short delay.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, HOST},
    http,
    record::Record,
    runner::JobBook,
    scene,
};

/// Memory of the smallest `edge` machines of moodboard-sued, in MB.
const MEMORY_MB: u64 = 195;
/// Time for which a process is down that the platform has killed.
const RESTART_DELAY: Duration = Duration::from_millis(700);
/// Jobs that are sent to each entry in a round.
const N_BODIES: usize = 60;
const N_ROUNDS: usize = 8;
const ROUND: Duration = Duration::from_secs(10);

pub fn run(has_trouble: bool, record: &Record) -> bool {
    let mut cluster = Cluster::start(&["za", "zb", "zc"], 2, record);
    let starts = Arc::new(Mutex::new(Vec::new()));
    let book = JobBook::default();
    let _runners = scene::start_runners(&cluster, &book, &starts, record);
    cluster.put_config(&scene::config(true));
    cluster.wait_until_ready();
    thread::sleep(Duration::from_secs(4));
    let (body, work) = scene::large_job(4_000);
    let entries = cluster.entries();
    let mut n_ends = vec![0; entries.len()];
    let mut down_since: Vec<Option<Instant>> = vec![None; entries.len()];
    let mut peak_mb = vec![0; entries.len()];
    let began = Instant::now();
    let mut n_sent = 0;
    let mut round = 0;
    while began.elapsed() < ROUND * N_ROUNDS as u32 {
        if has_trouble && ROUND * round <= began.elapsed() && round < N_ROUNDS as u32 {
            round += 1;
            record.line(&format!(
                "{N_BODIES} jobs of {} bytes each are sent to each entry",
                body.len()
            ));
            for job in 0..entries.len() * N_BODIES {
                n_sent += 1;
                let id = format!("{:016x}", 0xaa00_0000_u64 + n_sent);
                book.add(&id, work.clone());
                let (body, entry) =
                    (body.clone(), cluster.nodes[entries[job % entries.len()]].front());
                let record = record.clone();
                thread::spawn(move || {
                    let headers = [
                        ("Host", HOST.to_owned()),
                        ("X-Yuccamux-Deadline-Remaining", "9000".to_owned()),
                    ];
                    let limit = Duration::from_secs(9);
                    let path = format!("/jobs/{id}");
                    let answer = http::call(entry, "POST", &path, &headers, &body, limit);
                    record.detail(&format!("job {id}: {answer:?}"));
                });
            }
        }
        for (idx, entry) in entries.iter().enumerate() {
            if let Some(since) = down_since[idx] {
                if RESTART_DELAY <= since.elapsed() {
                    cluster.start_node(*entry);
                    down_since[idx] = None;
                }
                continue;
            }
            let resident_mb = cluster.nodes[*entry].resident_mb().unwrap_or(0);
            peak_mb[idx] = peak_mb[idx].max(resident_mb);
            let is_over = MEMORY_MB < resident_mb;
            if is_over {
                cluster.nodes[*entry].signal("KILL");
                let _ = cluster.nodes[*entry].child.as_mut().map(std::process::Child::wait);
            }
            if is_over || cluster.nodes[*entry].has_ended() {
                n_ends[idx] += 1;
                down_since[idx] = Some(Instant::now());
                record.line(&format!(
                    "{}: {resident_mb} MB of {MEMORY_MB}: the platform ends it, for the {}. time",
                    cluster.nodes[*entry].name, n_ends[idx]
                ));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    for (idx, entry) in entries.iter().enumerate() {
        record.line(&format!(
            "{}: ended {} times, {} MB at most of {MEMORY_MB}",
            cluster.nodes[*entry].name, n_ends[idx], peak_mb[idx]
        ));
    }
    cluster.stop();
    // "on a tenth of the machines in use (two at least) processes end by themselves three times"
    2 <= n_ends.iter().filter(|it| 3 <= **it).count()
}
