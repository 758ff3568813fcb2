//! Decisions as JSON lines on standard output, bounded and never blocking.
//!
//! Notes on a job are kept until it ends. A job that was refused, failed or late has its
//! whole trail written; of the others each so many. A line for a change of belief is
//! written at once. Both keep to a budget a second; a line tells what was left out.

use std::{
    io::Write,
    sync::mpsc::{self, SyncSender, TrySendError},
    thread,
};

use indexmap::IndexMap;
use serde_json::{Map, Value};
use yuccamux::{
    cell::{
        decision_note::{DecisionNote, NoteEvent},
        job_offer::JobCode,
    },
    prelude::*,
};

/// Lines a second at most: a few percent of a small VM's processor.
const MAX_LINES: u64 = 400;
/// Of the jobs that ended as they should, one in so many has its trail written.
const SAMPLE: u64 = 64;
/// Notes kept for a job at most.
const MAX_TRAIL: usize = 96;
/// Jobs whose notes are kept at most.
const MAX_TRAILS: usize = 4_096;
/// Text gathered before it is handed to the writer, in bytes.
const FLUSH_BYTES: usize = 16 << 10;
/// Time between hand-overs to the writer, in ms.
const FLUSH_MS: u64 = 100;
/// Hand-overs that may wait for the writer.
const MAX_WAITING: usize = 16;

/// The writer of decisions.
pub struct DecisionLog {
    process: String,
    writer: SyncSender<String>,
    buffer: String,
    trails: IndexMap<JobCode, Vec<DecisionNote>>,
    second: u64,
    n_lines: u64,
    n_left_out: u64,
    n_ended: u64,
    flushed_at: ClockTime,
}

impl DecisionLog {
    /// A writer to standard output for the named process.
    ///
    /// # Errors
    ///
    /// When no thread can be made.
    pub fn start(process: &str) -> anyhow::Result<DecisionLog> {
        let (writer, texts) = mpsc::sync_channel::<String>(MAX_WAITING);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            for text in texts {
                let mut out = std::io::stdout().lock();
                if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
                    // Nobody reads the log any more, and there is no other place to say so.
                    return;
                }
            }
        })?;
        Ok(DecisionLog {
            process: process.to_owned(),
            writer,
            buffer: String::new(),
            trails: IndexMap::new(),
            second: 0,
            n_lines: 0,
            n_left_out: 0,
            n_ended: 0,
            flushed_at: ClockTime::default(),
        })
    }

    /// Lines that were left out so far in this second or not yet told of.
    pub fn n_left_out(&self) -> u64 {
        self.n_left_out
    }

    /// Takes a note.
    pub fn log_decision(&mut self, note: DecisionNote) {
        let Some(job) = note.job else {
            self.write(&note);
            return;
        };
        let is_end = matches!(
            note.event,
            NoteEvent::JobEnded
                | NoteEvent::JobRefused
                | NoteEvent::JobAnswered
                | NoteEvent::JobWithdrawn
        );
        if !is_end {
            self.keep(job, note);
            return;
        }
        let is_plain = matches!(note.event, NoteEvent::JobEnded | NoteEvent::JobAnswered)
            && note.outcome == "completed"
            && note.inputs.iter().all(|(name, figure)| name != "late_ms" || *figure == 0);
        self.n_ended += 1;
        let trail = self.trails.swap_remove(&job).unwrap_or_default();
        let has_trouble = trail.iter().any(|it| {
            matches!(
                it.event,
                NoteEvent::OrderLost | NoteEvent::TaskFailed | NoteEvent::TaskStopped
            )
        });
        if is_plain && !has_trouble && !self.n_ended.is_multiple_of(SAMPLE) {
            return;
        }
        for kept in &trail {
            self.write(kept);
        }
        self.write(&note);
    }

    fn keep(&mut self, job: JobCode, note: DecisionNote) {
        if MAX_TRAILS <= self.trails.len() && !self.trails.contains_key(&job) {
            self.trails.swap_remove_index(0);
        }
        let trail = self.trails.entry(job).or_default();
        if trail.len() < MAX_TRAIL {
            trail.push(note);
        }
    }

    fn write(&mut self, note: &DecisionNote) {
        let second = note.at.0 / 1000;
        if second != self.second {
            self.second = second;
            self.n_lines = 0;
            if 0 < self.n_left_out {
                let left_out = std::mem::take(&mut self.n_left_out);
                let line = format!(
                    "{{\"at\":{},\"process\":{:?},\"event\":\"lines_left_out\",\"n\":{left_out}}}\n",
                    note.at.0, self.process
                );
                self.buffer.push_str(&line);
            }
        }
        if MAX_LINES <= self.n_lines {
            self.n_left_out += 1;
            return;
        }
        self.n_lines += 1;
        let line = self.line(note);
        self.buffer.push_str(&line);
        self.buffer.push('\n');
    }

    fn line(&self, note: &DecisionNote) -> String {
        let mut fields = Map::new();
        fields.insert("at".to_owned(), note.at.0.into());
        fields.insert("process".to_owned(), self.process.as_str().into());
        fields.insert("event".to_owned(), note.event.name().into());
        if let Some(job) = note.job {
            fields.insert("job".to_owned(), job.to_string().into());
        }
        fields.insert("subject".to_owned(), note.subject.as_str().into());
        fields.insert("outcome".to_owned(), note.outcome.as_str().into());
        for (name, figure) in &note.inputs {
            fields.insert(name.clone(), (*figure).into());
        }
        Value::Object(fields).to_string()
    }

    /// Hands what has gathered to the writer, or drops it when the writer lags.
    pub fn flush(&mut self, now: ClockTime) {
        let is_due = FLUSH_MS <= now.since_ms(self.flushed_at);
        if self.buffer.is_empty() || !(is_due || FLUSH_BYTES <= self.buffer.len()) {
            return;
        }
        self.flushed_at = now;
        let text = std::mem::take(&mut self.buffer);
        if let Err(TrySendError::Full(text) | TrySendError::Disconnected(text)) =
            self.writer.try_send(text)
        {
            self.n_left_out += text.lines().count() as u64;
        }
    }
}
