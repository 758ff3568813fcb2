//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A shared record; each line is written at once.
#[derive(Clone)]
pub struct CaseRecord {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl CaseRecord {
    pub fn create(path: &Path) -> std::io::Result<CaseRecord> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(CaseRecord { file, began: Instant::now() })
    }

    /// Time since the start, in ms.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>4}.{:03} s  {text}", at / 1000, at % 1000);
        }
    }
}
