//! Stand-ins for clients, the platform's balancer and the operator.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    cluster::{CONTROL_PORT, Cluster, FRONT_PORT, READY_PORT},
    http::{self, CallError},
    json,
    record::Record,
};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
/// `resend_ms` of the deployment.
const RESEND_MS: u64 = 1_300;
/// What a task takes, in thousandths of a core.
const TASK_CPU: u64 = 2_000;
const DEADLINE_MS: u64 = 1_500;

/// A small generator of random numbers.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound.max(1)
    }
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub job: u64,
    pub entry: usize,
    pub sent: u64,
    pub ended: u64,
    pub outcome: Result<(u16, String), CallError>,
}

pub struct World {
    pub record: Arc<Record>,
    pub fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
    /// Entries in rotation.
    rotation: Mutex<Vec<bool>>,
    pub attempts: Mutex<Vec<Attempt>>,
    pub stopped: AtomicBool,
    n_open: AtomicU64,
}

impl World {
    pub fn new(cluster: &Cluster, record: Arc<Record>) -> Arc<World> {
        let at = |port| cluster.entries().map(|it| it.at(port)).collect::<Vec<_>>();
        let fronts = at(FRONT_PORT);
        Arc::new(World {
            record,
            rotation: Mutex::new(vec![false; fronts.len()]),
            fronts,
            readies: at(READY_PORT),
            controls: cluster.controls().map(|it| it.at(CONTROL_PORT)).collect(),
            attempts: Mutex::default(),
            stopped: AtomicBool::new(false),
            n_open: AtomicU64::new(0),
        })
    }

    /// Asks each entry each second whether it is ready; two misses take it out of rotation.
    pub fn balance(self: &Arc<World>) {
        for (idx, ready) in self.readies.clone().into_iter().enumerate() {
            let world = self.clone();
            thread::spawn(move || {
                let mut n_missed = 2;
                while !world.stopped.load(Ordering::Relaxed) {
                    let limit = Duration::from_millis(900);
                    let path = "/yuccamux/ready";
                    let answer = http::call(ready, "GET", "platform", path, "", "", limit);
                    n_missed = if matches!(answer, Ok((200, _))) { 0 } else { n_missed + 1 };
                    world.rotation.lock().unwrap()[idx] = n_missed < 2;
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    pub fn n_ready(&self) -> usize {
        self.rotation.lock().unwrap().iter().filter(|it| **it).count()
    }

    fn choose(&self, rng: &mut Rng) -> usize {
        let rotation = self.rotation.lock().unwrap();
        let ready: Vec<usize> = (0..rotation.len()).filter(|it| rotation[*it]).collect();
        match ready.len() {
            0 => rng.below(rotation.len() as u64) as usize,
            n_ready => ready[rng.below(n_ready as u64) as usize],
        }
    }

    /// Submits a job each `pause` until stopped; `shapes` are (tasks, work in ms) to draw from.
    pub fn submit_jobs(
        self: &Arc<World>,
        pause: Duration,
        seed: u64,
        shapes: &'static [(u64, u64)],
    ) {
        let world = self.clone();
        thread::spawn(move || {
            let mut rng = Rng::new(seed);
            while !world.stopped.load(Ordering::Relaxed) {
                let job = rng.next();
                let (count, work) = shapes[rng.below(shapes.len() as u64) as usize];
                let each = Rng::new(rng.next());
                let client = world.clone();
                world.n_open.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    client.submit(job, count, work, each);
                    client.n_open.fetch_sub(1, Ordering::Relaxed);
                });
                thread::sleep(pause);
            }
        });
    }

    /// Stops the clients and waits for those that still wait.
    pub fn stop_clients(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for _ in 0..600 {
            if self.n_open.load(Ordering::Relaxed) == 0 {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// A client: after no answer, a broken connection, 502 or 504 it sends the job again.
    fn submit(&self, job: u64, count: u64, work: u64, mut rng: Rng) {
        let body = format!(
            "{{\"spec\":\"work={work} cpu={TASK_CPU}\",\"steps\":[{{\"count\":{count},\"cpu\":{TASK_CPU},\
             \"mem_mb\":64,\"estimate_ms\":{work}}}],\"best_effort\":true}}"
        );
        let path = format!("{PREFIX}{job:016x}");
        let headers = format!("X-Yuccamux-Deadline-Remaining: {DEADLINE_MS}\r\n");
        for _ in 0..3 {
            let entry = self.choose(&mut rng);
            let sent = self.record.now();
            let limit = Duration::from_millis(DEADLINE_MS);
            let outcome =
                http::call(self.fronts[entry], "POST", HOST, &path, &headers, &body, limit);
            let ended = self.record.now();
            let text = match &outcome {
                Ok((status, body)) => format!("{status} {body}"),
                Err(error) => format!("{error:?}"),
            };
            self.record.note(format!(
                "job {job:016x} ({count} x {work} ms) sent at {sent} to edge-{entry}: {text}"
            ));
            let is_final = matches!(&outcome, Ok((status, _)) if *status != 502 && *status != 504);
            self.attempts.lock().unwrap().push(Attempt { job, entry, sent, ended, outcome });
            if is_final || self.stopped.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(Duration::from_millis(RESEND_MS));
        }
    }

    pub fn n_completed(&self, from: u64, to: u64) -> (usize, usize) {
        let attempts = self.attempts.lock().unwrap();
        let sent: Vec<&Attempt> =
            attempts.iter().filter(|it| from <= it.sent && it.sent < to).collect();
        let completed =
            |it: &&&Attempt| matches!(&it.outcome, Ok((200, text)) if text.contains("completed"));
        (sent.iter().filter(completed).count(), sent.len())
    }

    /// Sends a configuration to one control machine after another until it is acknowledged, for
    /// `patience` at most; returns when it was acknowledged.
    pub fn put_config(&self, version: u64, first: usize, patience: Duration) -> Option<u64> {
        let body = config_body(version);
        let until = self.record.now() + patience.as_millis() as u64;
        let mut at = first;
        while self.record.now() < until {
            let control = self.controls[at % self.controls.len()];
            let limit = Duration::from_secs(2);
            let host = control.to_string();
            let answer = http::call(control, "PUT", &host, "/yuccamux/config", "", &body, limit);
            let status = answer.as_ref().map(|it| it.0);
            self.record.note(format!("configuration {version} sent to {control}: {status:?}"));
            if status == Ok(200) {
                return Some(self.record.now());
            }
            at += 1;
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Reads the configuration at a control machine; its version if there is an answer.
    pub fn read_config(&self, at: usize) -> Option<u64> {
        let control = self.controls[at % self.controls.len()];
        let limit = Duration::from_secs(2);
        let host = control.to_string();
        let answer = http::call(control, "GET", &host, "/yuccamux/config", "", "", limit);
        let version = match &answer {
            Ok((200, text)) => json::parse(text).and_then(|it| it.get("version").num()),
            _ => None,
        };
        let status = answer.map(|it| it.0);
        self.record.note(format!("configuration read at {control}: {status:?}, {version:?}"));
        version
    }
}

pub fn config_body(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"{PREFIX}\",\"type\":\"unsafe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":60,\"priority\":0,\"service\":\"boardsmith\",\"max_attempts\":3,\
         \"stretch\":1.6}}],\"services\":[{{\"name\":\"boardsmith\",\"health_path\":\"/health\",\
         \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":true,\
         \"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
