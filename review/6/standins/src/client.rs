//! Clients that hand in jobs which need not be kept, and wait for their ends.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{cluster::HOST, http::Connection, record::CaseRecord};

/// Path of the queue.
pub const PREFIX: &str = "/jobs/";
/// Time after which a job without an answer is sent again: `resend_ms`.
pub const RESEND: Duration = Duration::from_millis(1_300);

/// A step of a job, as a client declares it.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    pub estimate_ms: u64,
    pub after: Vec<u64>,
    pub label: Option<&'static str>,
}

/// A job: its id, the run time of each task, its steps and how long the client waits.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: u64,
    pub task_ms: u64,
    pub steps: Vec<Step>,
    pub deadline_ms: u64,
}

impl Job {
    pub fn name(&self) -> String {
        format!("{:016x}", self.id)
    }

    pub fn body(&self) -> String {
        let steps = self.steps.iter().map(|it| {
            let mut text = format!(
                "{{\"count\":{},\"cpu\":{},\"mem_mb\":{},\"estimate_ms\":{}",
                it.count, it.cpu, it.mem_mb, it.estimate_ms
            );
            if !it.after.is_empty() {
                let after: Vec<String> = it.after.iter().map(u64::to_string).collect();
                text += &format!(",\"after\":[{}]", after.join(","));
            }
            if let Some(label) = it.label {
                text += &format!(",\"required_label\":\"{label}\"");
            }
            text + "}"
        });
        let steps: Vec<String> = steps.collect();
        format!(
            "{{\"spec\":\"{}\",\"best_effort\":true,\"steps\":[{}]}}",
            self.task_ms,
            steps.join(",")
        )
    }

    /// Tells the runners what a task of each step demands.
    pub fn publish_demands(&self, demands: &Mutex<BTreeMap<String, (u64, u64)>>) {
        let mut demands = demands.lock().unwrap();
        for (idx, step) in self.steps.iter().enumerate() {
            demands.insert(format!("{}.0.{idx}", self.name()), (step.cpu, step.mem_mb));
        }
    }
}

/// Hands a job in at a node and waits; `None` if no answer came in time.
pub fn submit(job: &Job, node: SocketAddr, record: &CaseRecord) -> Option<u16> {
    let name = job.name();
    record.line(&format!("client: POST {PREFIX}{name} to {node}"));
    let limit = Duration::from_millis(job.deadline_ms);
    let headers = format!("X-Yuccamux-Deadline-Remaining: {}\r\n", job.deadline_ms);
    let answer = Connection::open(node, limit).and_then(|mut connection| {
        connection.send("POST", &format!("{PREFIX}{name}"), HOST, &headers, &job.body())?;
        connection.receive(limit)
    });
    match &answer {
        Some((status, body)) => record.line(&format!(
            "client: {name} is answered {status} {}",
            String::from_utf8_lossy(body)
        )),
        None => record.line(&format!("client: {name} gets no answer")),
    }
    answer.map(|(status, _)| status)
}

/// Hands a job in, and again `RESEND` after no answer, 502 or 504, at the next node.
pub fn submit_until_answered(
    job: Job,
    nodes: Vec<SocketAddr>,
    record: CaseRecord,
) -> thread::JoinHandle<Option<u16>> {
    thread::spawn(move || {
        for attempt in 0..3 {
            match submit(&job, nodes[attempt % nodes.len()], &record) {
                None | Some(502 | 504) => thread::sleep(RESEND),
                status => return status,
            }
        }
        None
    })
}

/// The demands of tasks, shared by clients and runners.
pub type Demands = Arc<Mutex<BTreeMap<String, (u64, u64)>>>;
