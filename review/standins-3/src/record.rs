//! What was sent, answered and run, in the order of its time.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        print!("{line}");
        let _ = self.file.lock().expect("no writer panics").write_all(line.as_bytes());
    }

    /// A line for the file alone.
    pub fn detail(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let _ = self.file.lock().expect("no writer panics").write_all(line.as_bytes());
    }
}
