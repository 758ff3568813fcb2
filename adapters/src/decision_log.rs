//! Decisions as JSON lines on standard output, bounded and never blocking.
//!
//! Records of a job are kept until it ends. The whole trace of a job that was refused, failed
//! or late is written; of other jobs, one trace in `SAMPLE`. A record that concerns no job, and
//! one of a run that reappears, is written at once. All lines count towards a limit per second; a line reports how many
//! were dropped.

use std::{
    io::Write,
    sync::mpsc::{self, SyncSender, TrySendError},
    thread,
};

use indexmap::IndexMap;
use serde_json::{Map, Value};
use yuccamux::{
    cell::{
        decision_record::{DecisionEvent, DecisionRecord},
        job_offer::JobCode,
    },
    prelude::*,
};

/// Lines per second at most: they cost a few percent of a small VM's processor.
const MAX_LINES_PER_S: u64 = 400;
/// Of the jobs that completed in time and without a failure, one in so many has its trace
/// written.
const SAMPLE: u64 = 64;
/// Records kept for a job at most.
const MAX_TRACE_RECORDS: usize = 96;
/// Jobs whose records are kept at most; beyond that the trace of another job is dropped.
const MAX_TRACES: usize = 4_096;
/// Buffered text that is handed to the writer at once, in bytes.
const FLUSH_BYTES: usize = 16 << 10;
/// Time after which buffered text is handed to the writer, in ms.
const FLUSH_INTERVAL_MS: u64 = 100;
/// Buffers that may wait for the writer; further ones are dropped.
const MAX_QUEUED_BUFFERS: usize = 16;

/// Writes decision records to standard output.
pub struct DecisionLog {
    process: String,
    writer: SyncSender<String>,
    buffer: String,
    traces: IndexMap<JobCode, Vec<DecisionRecord>>,
    second: u64,
    n_lines: u64,
    n_left_out: u64,
    n_ended: u64,
    flushed_at: ClockTime,
}

impl DecisionLog {
    /// Starts the writer thread; `process` names this process in each line.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn start(process: &str) -> anyhow::Result<DecisionLog> {
        let (writer, texts) = mpsc::sync_channel::<String>(MAX_QUEUED_BUFFERS);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            for text in texts {
                let mut out = std::io::stdout().lock();
                if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
                    // The reader of the log is gone, and there is no other place to report it.
                    return;
                }
            }
        })?;
        Ok(DecisionLog {
            process: process.to_owned(),
            writer,
            buffer: String::new(),
            traces: IndexMap::new(),
            second: 0,
            n_lines: 0,
            n_left_out: 0,
            n_ended: 0,
            flushed_at: ClockTime::default(),
        })
    }

    /// Lines that were dropped and not yet reported in the log.
    pub fn n_left_out(&self) -> u64 {
        self.n_left_out
    }

    /// Logs a decision, or keeps it until its job ends.
    pub fn log_decision(&mut self, record: DecisionRecord) {
        // The job of a run that reappears may have ended, and its trace been written, long ago.
        let job = record.job.filter(|_| record.event != DecisionEvent::RunReappeared);
        let Some(job) = job else {
            self.write(&record);
            return;
        };
        let is_end = matches!(
            record.event,
            DecisionEvent::JobEnded
                | DecisionEvent::JobRefused
                | DecisionEvent::JobAnswered
                | DecisionEvent::JobWithdrawn
        );
        if !is_end {
            self.keep_until_end(job, record);
            return;
        }
        let is_on_time =
            matches!(record.event, DecisionEvent::JobEnded | DecisionEvent::JobAnswered)
                && record.outcome == "completed"
                && record.inputs.iter().all(|(name, value)| name != "late_ms" || *value == 0);
        self.n_ended += 1;
        let trace = self.traces.swap_remove(&job).unwrap_or_default();
        let had_failure = trace.iter().any(|it| {
            matches!(
                it.event,
                DecisionEvent::OrderLost | DecisionEvent::TaskFailed | DecisionEvent::TaskStopped
            )
        });
        if is_on_time && !had_failure && !self.n_ended.is_multiple_of(SAMPLE) {
            return;
        }
        for kept in &trace {
            self.write(kept);
        }
        self.write(&record);
    }

    fn keep_until_end(&mut self, job: JobCode, record: DecisionRecord) {
        if MAX_TRACES <= self.traces.len() && !self.traces.contains_key(&job) {
            self.traces.swap_remove_index(0);
        }
        let trace = self.traces.entry(job).or_default();
        if trace.len() < MAX_TRACE_RECORDS {
            trace.push(record);
        }
    }

    fn write(&mut self, record: &DecisionRecord) {
        let second = record.at.0 / 1000;
        if second != self.second {
            self.second = second;
            self.n_lines = 0;
            if 0 < self.n_left_out {
                let left_out = std::mem::take(&mut self.n_left_out);
                let line = format!(
                    "{{\"at\":{},\"process\":{:?},\"event\":\"lines_left_out\",\"n\":{left_out}}}\n",
                    record.at.0, self.process
                );
                self.buffer.push_str(&line);
            }
        }
        if MAX_LINES_PER_S <= self.n_lines {
            self.n_left_out += 1;
            return;
        }
        self.n_lines += 1;
        let line = self.line(record);
        self.buffer.push_str(&line);
        self.buffer.push('\n');
    }

    fn line(&self, record: &DecisionRecord) -> String {
        let mut fields = Map::new();
        fields.insert("at".to_owned(), record.at.0.into());
        fields.insert("process".to_owned(), self.process.as_str().into());
        fields.insert("event".to_owned(), record.event.name().into());
        if let Some(job) = record.job {
            fields.insert("job".to_owned(), job.to_string().into());
        }
        fields.insert("subject".to_owned(), record.subject.as_str().into());
        fields.insert("outcome".to_owned(), record.outcome.as_str().into());
        for (name, value) in &record.inputs {
            fields.insert(name.clone(), (*value).into());
        }
        Value::Object(fields).to_string()
    }

    /// Hands the buffered lines to the writer when they are due; drops them when its queue is
    /// full, so that the caller never blocks.
    pub fn flush(&mut self, now: ClockTime) {
        let is_due = FLUSH_INTERVAL_MS <= now.since_ms(self.flushed_at);
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
