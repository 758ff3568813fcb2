//! A client that doesn't behave sends a job, leaves, and sends another job under the same id.
//! Whether the entries go on serving others.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
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

/// Times that the client does so.
const N_ROUNDS: u64 = 40;
/// Time for which an entry answers no job before it counts as hanging.
const HANG: Duration = Duration::from_secs(20);

pub fn run(has_trouble: bool, record: &Record) -> bool {
    let mut cluster = Cluster::start(&["za", "zb", "zc"], 2, record);
    let starts = Arc::new(Mutex::new(Vec::new()));
    let book = JobBook::default();
    let _runners = scene::start_runners(&cluster, &book, &starts, record);
    cluster.put_config(&scene::config(true));
    cluster.wait_until_ready();
    thread::sleep(Duration::from_secs(5));
    let entries = cluster.entries();
    let front = cluster.nodes[entries[0]].front();
    for round in 0..N_ROUNDS {
        let id = format!("{:016x}", 0xdead_0000 + round);
        let first = StepWork { cpu: 500, ms: 20, label: None };
        let second = StepWork { cpu: 500, ms: 300, label: None };
        book.add(&id, vec![first.clone(), second]);
        let step = |count: u32, ms: u32, after: &str| {
            format!("{{\"count\":{count},\"cpu\":500,\"mem_mb\":1,\"estimate_ms\":{ms}{after}}}")
        };
        let long = job(&[step(1, 20, ""), step(40, 300, ",\"after\":[0]")]);
        let short = job(&[step(1, 20, "")]);
        let stream = send(front, &id, &long);
        if has_trouble {
            // The second step's tasks are about to end.
            thread::sleep(Duration::from_millis(290 + round % 8 * 8));
            drop(stream);
            let stream = send(front, &id, &short);
            thread::sleep(Duration::from_millis(300));
            drop(stream);
        } else {
            thread::sleep(Duration::from_millis(600));
        }
    }
    record.line(&format!("{N_ROUNDS} jobs were sent by that client"));
    // Ordinary callers, at every entry.
    let until = Instant::now() + HANG;
    let mut n_served = vec![0; entries.len()];
    let mut n_sent = 0;
    while Instant::now() < until {
        for (idx, entry) in entries.iter().enumerate() {
            n_sent += 1;
            let id = format!("{:016x}", 0x5a00_0000 + n_sent);
            book.add(&id, vec![StepWork { cpu: 500, ms: 50, label: None }]);
            let body = "{\"spec\":\"small\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":500,\
                        \"mem_mb\":64,\"estimate_ms\":50}]}";
            let headers =
                [("Host", HOST.to_owned()), ("X-Yuccamux-Deadline-Remaining", "2000".to_owned())];
            let front = cluster.nodes[*entry].front();
            let limit = Duration::from_secs(2);
            let answer = http::call(front, "POST", &format!("/jobs/{id}"), &headers, body, limit);
            if matches!(answer, Ok((200, _))) {
                n_served[idx] += 1;
            } else {
                record.detail(&format!("{}: {answer:?}", cluster.nodes[*entry].name));
            }
        }
        thread::sleep(Duration::from_millis(800));
    }
    for (idx, entry) in entries.iter().enumerate() {
        let node = &mut cluster.nodes[*entry];
        let has_ended = node.has_ended();
        record.line(&format!(
            "{}: {} of {} small jobs served within {HANG:?}, ready: {}, process ended: {has_ended}",
            node.name,
            n_served[idx],
            n_sent as usize / entries.len(),
            is_ready(node.ready())
        ));
    }
    cluster.stop();
    n_served.contains(&0)
}

fn job(steps: &[String]) -> String {
    format!("{{\"spec\":\"x\",\"best_effort\":true,\"steps\":[{}]}}", steps.join(","))
}

/// Sends a job and leaves its connection open.
fn send(entry: SocketAddr, id: &str, body: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
    let text = format!(
        "POST /jobs/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Yuccamux-Deadline-Remaining: 9000\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    Some(stream)
}
