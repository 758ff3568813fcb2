//! What happened in a world, and whether it was allowed.

use indexmap::{IndexMap, IndexSet};
use yuccamux::{job_ledger::JobOutcome, prelude::*};

/// Time after which a leaving endpoint must get no new work, in ms.
pub const LEAVING_MS: u64 = 5_000;

/// A submission that a caller made.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Key.
    pub key: JobKey,
    /// Number of tasks.
    pub n_tasks: u32,
    /// When it was sent.
    pub sent_at: ClockTime,
    /// Entry and life of the process that it was sent to.
    pub entry: (VmName, u64),
    /// Answer, if it came.
    pub answer: Option<Result<JobOutcome, RequestError>>,
}

/// A start of a task at an endpoint.
#[derive(Clone, Debug)]
pub struct StartEntry {
    /// Submission that started it.
    pub submission: u64,
    /// When.
    pub at: ClockTime,
}

/// All that must be checked.
#[derive(Clone, Debug, Default)]
pub struct WorldRecord {
    /// Submissions by number.
    pub submissions: IndexMap<u64, CallerRecord>,
    /// Starts by task.
    pub starts: IndexMap<TaskId, Vec<StartEntry>>,
    /// Version accepted for each change id, once answered.
    pub accepted: IndexMap<String, u64>,
    /// First answer to each change id.
    pub change_answers: IndexMap<String, Result<u64, ErrorKind>>,
    /// What was not allowed.
    pub violations: Vec<String>,
}

impl WorldRecord {
    /// Notes a start, which must be the first of its task.
    pub fn note_start(&mut self, task: &TaskId, submission: u64, at: ClockTime) {
        let starts = self.starts.entry(task.clone()).or_default();
        starts.push(StartEntry { submission, at });
        if 1 < starts.len() {
            self.violations.push(format!("task {task} started {} times", starts.len()));
        }
    }

    /// Notes a start at an endpoint that has left for some time.
    pub fn note_late_start(&mut self, endpoint: &EndpointName, leaving_ms: u64) {
        if LEAVING_MS < leaving_ms {
            let text = format!("{endpoint} got work {leaving_ms} ms after it began to leave");
            self.violations.push(text);
        }
    }

    /// Notes the answer to a submission and checks it.
    pub fn note_answer(&mut self, submission: u64, answer: Result<JobOutcome, RequestError>) {
        let Some(record) = self.submissions.get_mut(&submission) else { return };
        if record.answer.is_some() {
            self.violations.push(format!("submission {submission} was answered twice"));
            return;
        }
        record.answer = Some(answer.clone());
        let record = record.clone();
        match answer {
            Ok(JobOutcome::Complete(body)) => {
                if body != expected_body(&record.key, record.n_tasks) {
                    let text = format!("the answer to {} is not the whole of its own", record.key);
                    self.violations.push(text);
                }
            }
            Ok(JobOutcome::Failed(error)) | Err(error) => {
                if error.kind.answer().ran == RanState::NotRun {
                    self.check_not_run(submission, &record, &error);
                }
            }
        }
    }

    /// A job answered as not run had no start before it was sent, and none by its claim.
    fn check_not_run(&mut self, submission: u64, record: &CallerRecord, error: &RequestError) {
        let digest = record.key.digest();
        let starts = self.starts.iter().filter(|(task, _)| task.job == digest);
        let is_false = starts
            .flat_map(|(_, it)| it)
            .any(|it| it.submission == submission || it.at < record.sent_at);
        if is_false {
            let text = format!("{} was answered as not run ({error}) and had run", record.key);
            self.violations.push(text);
        }
    }

    /// Submissions by how they were answered.
    pub fn ends(&self) -> IndexMap<String, u64> {
        let mut ends: IndexMap<String, u64> = IndexMap::new();
        for record in self.submissions.values() {
            let end = match &record.answer {
                None => "no answer".to_owned(),
                Some(Ok(JobOutcome::Complete(_))) => "complete".to_owned(),
                Some(Ok(JobOutcome::Failed(error))) => error.kind.to_string(),
                Some(Err(error)) => error.kind.to_string(),
            };
            *ends.entry(end).or_default() += 1;
        }
        ends.sort_keys();
        ends
    }

    /// Checks what can be checked only at the end.
    pub fn check_end(&mut self) {
        self.check_same_outcomes();
        self.check_late_starts();
    }

    /// All answers to a key that tell an outcome of work must tell the same.
    fn check_same_outcomes(&mut self) {
        let mut known: IndexMap<JobKey, JobOutcome> = IndexMap::new();
        for record in self.submissions.values() {
            let Some(Ok(outcome)) = &record.answer else { continue };
            if outcome.ran() == RanState::NotRun {
                continue;
            }
            let first = known.entry(record.key.clone()).or_insert_with(|| outcome.clone());
            if first != outcome {
                let text =
                    format!("two outcomes were told of {}: {first:?}, {outcome:?}", record.key);
                self.violations.push(text);
            }
        }
    }

    /// No submission answered as not run may have a start after all.
    fn check_late_starts(&mut self) {
        let refused: IndexSet<u64> = self
            .submissions
            .iter()
            .filter(|(_, it)| is_not_run(&it.answer))
            .map(|(number, _)| *number)
            .collect();
        for (task, starts) in &self.starts {
            if starts.iter().any(|it| refused.contains(&it.submission)) {
                self.violations.push(format!("task {task} ran for a job answered as not run"));
            }
        }
    }

    /// Notes the answer to a change; a change sent again must get its first answer.
    pub fn note_change(&mut self, change_id: &str, answer: Result<u64, RequestError>) {
        let answer = answer.map_err(|it| it.kind);
        if answer == Err(ErrorKind::NoLeader) {
            return;
        }
        let first = self.change_answers.entry(change_id.to_owned()).or_insert(answer);
        if *first != answer {
            let text = format!("change {change_id} got {first:?} and later {answer:?}");
            self.violations.push(text);
        }
        if let Ok(version) = answer {
            self.accepted.insert(change_id.to_owned(), version);
        }
    }
}

fn is_not_run(answer: &Option<Result<JobOutcome, RequestError>>) -> bool {
    match answer {
        Some(Ok(outcome)) => outcome.ran() == RanState::NotRun,
        Some(Err(error)) => error.kind.answer().ran == RanState::NotRun,
        None => false,
    }
}

/// The output of a task in a world.
pub fn task_output(task: &TaskId) -> Vec<u8> {
    format!("{:032x}.{};", task.job, task.idx).into_bytes()
}

/// The whole answer to a key in a world.
pub fn expected_body(key: &JobKey, n_tasks: u32) -> Vec<u8> {
    let job = key.digest();
    (0..n_tasks).flat_map(|idx| task_output(&TaskId { job, idx, attempt: 0 })).collect()
}
