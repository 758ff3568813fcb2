//! A stand-in for a runner, as PROTOCOL.md describes it, on the real clock.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Request},
    json::{self, Json},
    record::Record,
};

/// Longest lease that a runner grants, in ms (`max_hold_ms`).
const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes, in ms; the pages allow `stop_ms` = 50.
const STOP_MS: u64 = 40;
pub const CPU: u64 = 16_000;

struct Run {
    task: String,
    run: u64,
    cpu: u64,
    began: u64,
    done_at: u64,
    /// When its stop is over.
    stopped_at: Option<u64>,
    number: usize,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    n_ended: u64,
    over: HashMap<String, u64>,
    seq: u64,
    draining: bool,
    gone: bool,
}

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    /// Address that it announces: a proxy, or its own.
    pub announced: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub service: String,
    born: u64,
    clock_ahead: u64,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
}

/// Work of a task that its `spec` names, as `work=MS cpu=MILLI`.
fn spec_number(spec: &str, name: &str) -> u64 {
    let field = spec.split(' ').find_map(|it| it.strip_prefix(name));
    field.and_then(|it| it.parse().ok()).unwrap_or(100)
}

impl Runner {
    pub fn start(
        idx: usize,
        address: SocketAddr,
        announced: SocketAddr,
        zone: usize,
        rack: usize,
        record: Arc<Record>,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: format!("i-{:08x}", 0x5eed_0000 + idx),
            address,
            announced,
            zone: crate::cluster::zone_name(zone),
            rack: format!("r{zone}-{rack}"),
            service: "boardsmith".to_owned(),
            born: crate::record::unix_ms(),
            clock_ahead: 100_000 + 7_919 * idx as u64,
            record,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = runner.clone();
        let handler: http::Handler = Arc::new(move |request| served.handle(request));
        http::serve(address, handler).expect("a free address for a runner");
        let ticking = runner.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(1));
            }
        });
        runner
    }

    fn clock(&self) -> u64 {
        self.record.now() + self.clock_ahead
    }

    fn tick(&self) {
        let now = self.record.now();
        let clock = self.clock();
        let mut state = self.state.lock().unwrap();
        let lapsed = state.lease_until < clock;
        let mut idx = 0;
        while idx < state.runs.len() {
            let run = &state.runs[idx];
            let how = if run.stopped_at.is_some_and(|it| it <= now) {
                "stopped"
            } else if run.stopped_at.is_none() && run.done_at <= now {
                "done"
            } else if lapsed {
                "lapsed"
            } else {
                idx += 1;
                continue;
            };
            let run = state.runs.remove(idx);
            state.n_ended += 1;
            let number = state.n_ended;
            state.over.insert(run.task.clone(), run.run);
            self.record.end_run(run.number, how);
            state.ended.push((number, run.task, run.run, how));
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        if self.state.lock().unwrap().gone {
            return None;
        }
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        if request.header("x-yuccamux-expect-instance").is_some_and(|it| it != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let body = json::parse(&request.body)?;
        match request.path.as_str() {
            "/yuccamux/run-start" => Some(self.run_start(&body)),
            "/yuccamux/run-stop" => Some(self.run_stop(&body)),
            "/yuccamux/hold" => Some(self.hold(&body)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock()))
    }

    fn take(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    /// Checks the token and extends the lease; whether the caller leads.
    fn obey(&self, state: &mut State, body: &Json) -> bool {
        let token = body.get("fencing_token").num().unwrap_or(0);
        if token < state.token {
            return false;
        }
        state.token = token;
        if let Some(until) = body.get("deadline_ms").num() {
            state.lease_until = state.lease_until.max(until.min(self.clock() + MAX_HOLD_MS));
        }
        true
    }

    fn run_start(&self, body: &Json) -> (u16, String) {
        let (Some(task), Some(run)) = (body.get("task").text(), body.get("run").num()) else {
            return (400, "{}".to_owned());
        };
        let spec = body.get("spec").text().unwrap_or("");
        let mut state = self.state.lock().unwrap();
        if !self.obey(&mut state, body) {
            return self.refuse("fence");
        }
        if state.runs.iter().any(|it| it.task == task && it.run == run) {
            return self.take();
        }
        if state.over.get(task).is_some_and(|it| run <= *it) {
            return self.refuse("old");
        }
        let deadline = body.get("deadline_ms").num();
        if deadline.is_some_and(|it| it < self.clock()) || state.lease_until < self.clock() {
            return self.refuse("late");
        }
        let cpu = spec_number(spec, "cpu=");
        let taken: u64 = state.runs.iter().map(|it| it.cpu).sum();
        if CPU < taken + cpu || state.runs.iter().any(|it| it.task == task) {
            return self.refuse("room");
        }
        let began = self.record.now();
        let number = self.record.begin_run(task, run, &self.id);
        state.runs.push(Run {
            task: task.to_owned(),
            run,
            cpu,
            began,
            done_at: began + spec_number(spec, "work="),
            stopped_at: None,
            number,
        });
        self.take()
    }

    fn run_stop(&self, body: &Json) -> (u16, String) {
        let (Some(task), Some(run)) = (body.get("task").text(), body.get("run").num()) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        if !self.obey(&mut state, body) {
            return self.refuse("fence");
        }
        let now = self.record.now();
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run);
        let mut found = false;
        for it in state.runs.iter_mut().filter(|it| it.task == task && it.run <= run) {
            it.stopped_at.get_or_insert(now + STOP_MS);
            found = true;
        }
        self.record.note(format!("{} stop {task} run {run}, there: {found}", self.id));
        self.take()
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let until = self.record.now() + body.get("wait_ms").num().unwrap_or(0).min(2_000);
        let mut state = self.state.lock().unwrap();
        if !self.obey(&mut state, body) {
            return self.refuse("fence");
        }
        let cursor = body.get("ack_cursor").num().unwrap_or(0);
        state.ended.retain(|(number, ..)| cursor < *number);
        while state.ended.is_empty() && self.record.now() < until {
            let left = Duration::from_millis((until - self.record.now()).max(1));
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let now = self.record.now();
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|it| {
                let span = (it.done_at - it.began).max(1);
                let percent = ((now - it.began) * 100 / span).min(99);
                format!("[\"{}\",{},\"\",{percent},{}]", it.task, it.run, it.cpu)
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let text = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock(),
            self.born,
            running.join(","),
            ended.join(",")
        );
        (200, text)
    }

    /// Sends heartbeats to one control machine after another, until it is gone.
    pub fn announce(self: &Arc<Runner>, controls: Vec<SocketAddr>, first: usize) {
        let runner = self.clone();
        thread::spawn(move || {
            let mut at = first;
            while !runner.state.lock().unwrap().gone {
                if !runner.beat(controls[at % controls.len()]) {
                    at += 1;
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                thread::sleep(Duration::from_millis(1_400));
            }
        });
    }

    /// Sends a heartbeat; whether it was acknowledged.
    pub fn beat(&self, control: SocketAddr) -> bool {
        let (seq, draining) = {
            let mut state = self.state.lock().unwrap();
            state.seq += 1;
            (state.seq, state.draining)
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"{}\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{CPU},\
             \"mem_mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"clock_ms\":{},\"seq\":{seq},\
             \"born\":{}}}",
            self.service,
            self.announced,
            self.zone,
            if draining { "draining" } else { "ready" },
            self.rack,
            self.clock(),
            self.born
        );
        let path = format!("/yuccamux/instances/{}", self.id);
        let host = control.to_string();
        let answer = http::call(control, "PUT", &host, &path, "", &body, Duration::from_secs(1));
        matches!(answer, Ok((200..=299, _)))
    }

    /// From now on its heartbeats say that it drains.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
    }

    /// Ends with all that it runs; returns how many runs that were.
    pub fn leave(&self, control: SocketAddr) -> usize {
        let n_killed = {
            let mut state = self.state.lock().unwrap();
            state.gone = true;
            let runs = std::mem::take(&mut state.runs);
            for run in &runs {
                self.record.end_run(run.number, "killed");
            }
            runs.len()
        };
        let path = format!("/yuccamux/instances/{}", self.id);
        let host = control.to_string();
        let _ = http::call(control, "DELETE", &host, &path, "", "", Duration::from_secs(1));
        n_killed
    }
}
