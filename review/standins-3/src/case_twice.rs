//! A client sends two jobs on one connection, which breaks; it sends the first one again to another
//! entry `resend_ms` after that. Whether a task of it then runs twice at the same time.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, HOST},
    http,
    record::Record,
    runner::{self, JobBook, Runner, RunnerKind, StepWork},
    scene,
};

/// `resend_ms` of the deployment.
const RESEND: Duration = Duration::from_millis(1_300);
const N_ROUNDS: u64 = 5;

/// The body of a job of eight tasks of 4 cores each, which take 3 s.
const BODY: &str = "{\"spec\":\"board\",\"best_effort\":true,\"steps\":[{\"count\":8,\"cpu\":4000,\
                    \"mem_mb\":64,\"estimate_ms\":3000}]}";

pub fn run(has_trouble: bool, record: &Record) -> bool {
    let mut cluster = Cluster::start(&["za", "zb", "zc"], 2, record);
    let starts = Arc::new(Mutex::new(Vec::new()));
    let book = JobBook::default();
    for (zone_idx, zone) in ["za", "zb", "zc"].iter().enumerate() {
        for idx in 0..6 {
            let kind = RunnerKind {
                id: format!("i-{zone}-{idx}"),
                address: cluster.address(100 + (zone_idx * 16 + idx) as u8, 28_080),
                service: "svc".to_owned(),
                zone: (*zone).to_owned(),
                // Three runners a rack: 48 cores.
                labels: ("a".to_owned(), format!("rack-{zone}-{}", idx / 3)),
                cpu: 16_000,
                guards: true,
                stop_ms: 40,
            };
            Runner::start(kind, &book, &starts, record).report_to(cluster.controls());
        }
    }
    cluster.put_config(&scene::config(true));
    cluster.wait_until_ready();
    thread::sleep(Duration::from_secs(5));
    let entries = cluster.entries();
    let (first, second) = (cluster.nodes[entries[0]].front(), cluster.nodes[entries[1]].front());
    for round in 0..N_ROUNDS {
        let (id, other) = (0xb0a2_d000 + 2 * round, 0xb0a2_d001 + 2 * round);
        let (id, other) = (format!("{id:016x}"), format!("{other:016x}"));
        book.add(&id, vec![StepWork { cpu: 4_000, ms: 3_000, label: None }]);
        book.add(&other, vec![StepWork { cpu: 500, ms: 100, label: None }]);
        record.line(&format!("round {round}: job {id}, then job {other}, on one connection"));
        match send_both(first, &id, &other, has_trouble, record) {
            Some(status) => {
                record.line(&format!("round {round}: job {id} is answered with {status}"))
            }
            None => {
                thread::sleep(RESEND);
                record.line(&format!("round {round}: job {id} is sent again, to another entry"));
                let answer = post(second, &id);
                record.line(&format!("round {round}: its answer: {answer:?}"));
            }
        }
        thread::sleep(Duration::from_secs(2));
    }
    let starts = starts.lock().expect("no user panics").clone();
    let twice = runner::overlaps(&starts);
    record.line(&format!("{} starts, {} of them beside another run", starts.len(), twice.len()));
    for (later, earlier) in twice.iter().take(10) {
        record.line(&format!(
            "{}: run {} on {} from {} ms, run {} on {} from {} ms to {:?} ms",
            later.task,
            later.run,
            later.runner,
            later.at_ms,
            earlier.run,
            earlier.runner,
            earlier.at_ms,
            earlier.ended_ms
        ));
    }
    cluster.stop();
    !twice.is_empty()
}

fn request(id: &str, body: &str) -> String {
    format!(
        "POST /jobs/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Yuccamux-Deadline-Remaining: 9000\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends both jobs on one connection, which breaks after 700 ms if there is a disruption; returns
/// the status of the first one's answer, if there is one.
fn send_both(
    entry: SocketAddr,
    id: &str,
    other: &str,
    breaks: bool,
    record: &Record,
) -> Option<String> {
    let small = "{\"spec\":\"swatch\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":500,\
                 \"mem_mb\":64,\"estimate_ms\":100}]}";
    let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all((request(id, BODY) + &request(other, small)).as_bytes()).ok()?;
    if breaks {
        let until = Instant::now() + Duration::from_millis(700);
        thread::sleep(until.saturating_duration_since(Instant::now()));
        drop(stream);
        record.line("the connection breaks");
        return None;
    }
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    let mut bytes = [0; 512];
    let n_read = stream.read(&mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes[..n_read]).into_owned();
    Some(text.split(' ').nth(1)?.to_owned())
}

fn post(entry: SocketAddr, id: &str) -> std::io::Result<(u16, String)> {
    let headers = [("Host", HOST.to_owned()), ("X-Yuccamux-Deadline-Remaining", "9000".to_owned())];
    http::call(entry, "POST", &format!("/jobs/{id}"), &headers, BODY, Duration::from_secs(9))
}
