//! Two of ten runners are cut off from control, crash behind the cut and start again as runners of
//! another kind. Whether a task that requires the former kind is then started there.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::Duration,
};

use crate::{
    cluster::{Cluster, HOST},
    http,
    record::Record,
    runner::{JobBook, Runner, RunnerKind, Start, StepWork},
    scene,
};

pub fn run(has_trouble: bool, record: &Record) -> bool {
    let mut cluster = Cluster::start(&["za", "zb", "zc"], 2, record);
    let starts = Arc::new(Mutex::new(Vec::new()));
    let book = JobBook::default();
    let mut runners = Vec::new();
    for idx in 0..10 {
        let kind = RunnerKind {
            id: format!("i-{idx}"),
            address: cluster.address(100 + idx as u8, 28_080),
            service: "svc".to_owned(),
            zone: "za".to_owned(),
            labels: ("a".to_owned(), "rack-1".to_owned()),
            cpu: 16_000,
            guards: true,
            stop_ms: 20,
        };
        let runner = Runner::start(kind, &book, &starts, record);
        runner.report_to(cluster.controls());
        runners.push(runner);
    }
    cluster.put_config(&scene::config(true));
    cluster.wait_until_ready();
    thread::sleep(Duration::from_secs(5));
    let entries = cluster.entries();
    let fronts: Vec<_> = entries.iter().map(|it| cluster.nodes[*it].front()).collect();
    let send = |number: u64| {
        let id = format!("{:016x}", 0x1abe_1000 + number);
        let work = StepWork { cpu: 14_000, ms: 150, label: Some("a".to_owned()) };
        book.add(&id, vec![work]);
        let body = "{\"spec\":\"x\",\"best_effort\":true,\"steps\":[{\"count\":10,\"cpu\":14000,\
                    \"mem_mb\":64,\"estimate_ms\":150,\"required_label\":\"a\"}]}";
        let headers =
            [("Host", HOST.to_owned()), ("X-Yuccamux-Deadline-Remaining", "4000".to_owned())];
        let front = fronts[number as usize % fronts.len()];
        let limit = Duration::from_secs(4);
        let answer = http::call(front, "POST", &format!("/jobs/{id}"), &headers, body, limit);
        record.line(&format!("a job of 10 tasks that require kind a: {answer:?}"));
    };
    // One task for each runner, so that every runner is used.
    for number in 0..4 {
        send(number);
        thread::sleep(Duration::from_millis(200));
    }
    if has_trouble {
        for runner in runners.iter().take(2) {
            runner.is_cut.store(true, Ordering::SeqCst);
            record.line(&format!("{} is cut off from control, and crashes", runner.kind.id));
            runner.crash();
        }
        thread::sleep(Duration::from_millis(500));
        for idx in 0..2 {
            let mut kind = runners[idx].kind.clone();
            kind.labels.0 = "b".to_owned();
            // It reports to nobody while it is cut off.
            runners[idx] = Runner::start(kind, &book, &starts, record);
            record.line(&format!("{} is up again, as a runner of kind b", runners[idx].kind.id));
        }
    }
    for number in 4..8 {
        send(number);
        thread::sleep(Duration::from_millis(300));
    }
    if has_trouble {
        record.line("the cut is over");
        for runner in runners.iter().take(2) {
            runner.report_to(cluster.controls());
        }
    }
    thread::sleep(Duration::from_secs(2));
    for number in 8..10 {
        send(number);
    }
    let starts = starts.lock().expect("no user panics").clone();
    let wrong: Vec<&Start> = starts
        .iter()
        .filter(|it| it.required.as_ref().is_some_and(|required| *required != it.label))
        .collect();
    record.line(&format!("{} starts, {} of them without the label", starts.len(), wrong.len()));
    for it in &wrong {
        record.line(&format!(
            "at {} ms {} started run {} of {}: requires {:?}, is of kind {}",
            it.at_ms, it.runner, it.run, it.task, it.required, it.label
        ));
    }
    let is_broken = !wrong.is_empty();
    cluster.stop();
    is_broken
}
