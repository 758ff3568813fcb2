//! What was sent, answered and run, with times in ms since the start of the script.

use std::{
    fs,
    path::Path,
    sync::Mutex,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

#[derive(Clone, Debug)]
pub struct RunRow {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub began: u64,
    pub ended: Option<(u64, &'static str)>,
}

pub struct Record {
    started: Instant,
    pub runs: Mutex<Vec<RunRow>>,
    notes: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), runs: Mutex::default(), notes: Mutex::default() }
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: String) {
        self.notes.lock().unwrap().push((self.now(), text));
    }

    /// Notes and prints.
    pub fn say(&self, text: String) {
        println!("{:>7} ms  {text}", self.now());
        self.note(text);
    }

    pub fn begin_run(&self, task: &str, run: u64, runner: &str) -> usize {
        let mut runs = self.runs.lock().unwrap();
        let (task, runner) = (task.to_owned(), runner.to_owned());
        runs.push(RunRow { task, run, runner, began: self.now(), ended: None });
        runs.len() - 1
    }

    pub fn end_run(&self, number: usize, how: &'static str) {
        self.runs.lock().unwrap()[number].ended = Some((self.now(), how));
    }

    /// Writes all in the order of time.
    pub fn write(&self, folder: &Path) {
        let mut lines = self.notes.lock().unwrap().clone();
        for it in self.runs.lock().unwrap().iter() {
            let end = it.ended.map_or("-".to_owned(), |(at, how)| format!("{how} at {at}"));
            let text = format!("{} runs {} run {}; end: {end}", it.runner, it.task, it.run);
            lines.push((it.began, text));
        }
        lines.sort();
        let text: Vec<String> = lines.iter().map(|(at, it)| format!("{at:>7} ms  {it}")).collect();
        let _ = fs::write(folder.join("record.txt"), text.join("\n") + "\n");
    }
}
