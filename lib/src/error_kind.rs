//! All error kinds, and the table of how each is answered.

use std::fmt;

use crate::prelude::*;

/// Whether the work behind an error has run.
#[derive(Data!, Copy)]
pub enum RanState {
    /// No task has started, and none will for this request.
    NotRun,
    /// Some task may have started.
    MayHaveRun,
    /// Some task has run.
    Ran,
}

impl RanState {
    /// Name of the state in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            RanState::NotRun => "not_run",
            RanState::MayHaveRun => "may_have_run",
            RanState::Ran => "ran",
        }
    }
}

/// The answer to a kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// Kind in snake case.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the work has run.
    pub ran: RanState,
    /// Milliseconds after which a retry makes sense, if any.
    pub retry_after_ms: Option<u64>,
    /// What the caller can do next.
    pub hint: &'static str,
}

/// Declares the error kinds with their rows of the table.
macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $ran:ident, $retry:expr, $hint:literal;)*) => {
        /// Every kind of error that a caller or operator can get.
        #[derive(Data!, Copy, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind),*];

            /// The row of the table for this kind.
            pub fn answer(self) -> ErrorAnswer {
                match self {
                    $(ErrorKind::$kind => ErrorAnswer {
                        name: $name,
                        status: $status,
                        ran: RanState::$ran,
                        retry_after_ms: $retry,
                        hint: $hint,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The body does not match the schema.
    InvalidBody = "invalid_body", 400, NotRun, None, "correct the body; docs/reference/http.md shows its shape";
    /// The body is larger than allowed.
    BodyTooLarge = "body_too_large", 413, NotRun, None, "split the job or raise --max-body-bytes";
    /// The job has too many tasks.
    TooManyTasks = "too_many_tasks", 400, NotRun, None, "split the job";
    /// The request's bytes arrived too slowly.
    SlowRequest = "slow_request", 408, NotRun, Some(0), "send the request again";
    /// The idempotency key is malformed or overlong.
    InvalidKey = "invalid_key", 400, NotRun, None, "use <data-centre>/<uuidv7>";
    /// The key was used with another body.
    KeyConflict = "key_conflict", 422, NotRun, None, "use a new key for a new body";
    /// The path or job does not exist.
    NotFound = "not_found", 404, NotRun, None, "see docs/reference/http.md for the paths";
    /// No such workspace is configured.
    UnknownWorkspace = "unknown_workspace", 404, NotRun, None, "publish the workspace with yuccamuxctl publish";
    /// The workspace has no such kind.
    UnknownKind = "unknown_kind", 404, NotRun, None, "add the kind to the workspace's template";
    /// The bearer token is missing or wrong.
    Unauthorized = "unauthorized", 401, NotRun, None, "send a valid bearer token";
    /// The workspace's quota is used up.
    QuotaExceeded = "quota_exceeded", 429, NotRun, Some(200), "wait, or ask for a larger quota";
    /// The predicted wait is too long.
    Overloaded = "overloaded", 503, NotRun, Some(200), "wait and send the request again";
    /// No known endpoint may serve the kind.
    NoEndpoint = "no_endpoint", 503, NotRun, Some(1000), "announce an endpoint for the kind, or undrain one";
    /// The deadline passed before a task started.
    DeadlineBeforeStart = "deadline_before_start", 504, NotRun, None, "allow more time, or send less";
    /// The job was cancelled before a task started.
    CancelledBeforeStart = "cancelled_before_start", 409, NotRun, None, "submit again with a new key";
    /// The VM is not ready to accept work.
    NotReady = "not_ready", 503, NotRun, Some(500), "send the request to another entry";
    /// The VM is shutting down.
    ShuttingDown = "shutting_down", 503, NotRun, Some(0), "send the request to another entry";
    /// The ledger holds as many jobs as it may.
    LedgerFull = "ledger_full", 503, NotRun, Some(1000), "wait until older jobs are forgotten";
    /// The claim could not be confirmed and was withdrawn before any task started.
    ClaimWithdrawn = "claim_withdrawn", 503, NotRun, Some(200), "send the request again";
    /// The key is older than what the ledger remembers.
    KeyTooOld = "key_too_old", 409, MayHaveRun, None, "check the earlier answer, then use a new key";
    /// The key's time is too far ahead of the VM's clock.
    KeyFromFuture = "key_from_future", 400, NotRun, None, "set the caller's clock";
    /// The key's home data centre cannot be reached.
    HomeUnreachable = "home_unreachable", 503, MayHaveRun, Some(1000), "ask again with the same key later";
    /// The outcome could not be recorded.
    OutcomeUnknown = "outcome_unknown", 503, MayHaveRun, Some(1000), "ask for the job by its key later";
    /// The VM that ran the job was lost.
    OwnerLost = "owner_lost", 502, MayHaveRun, None, "check the job's effects, then use a new key";
    /// The endpoint was lost after the task was sent.
    EndpointLost = "endpoint_lost", 502, MayHaveRun, None, "check the job's effects, then use a new key";
    /// An endpoint reported that the task failed.
    TaskFailed = "task_failed", 502, Ran, None, "correct the task, then use a new key";
    /// The deadline passed after a task started.
    DeadlinePassed = "deadline_passed", 504, MayHaveRun, None, "check the job's effects, then use a new key";
    /// The job was cancelled after a task started.
    Cancelled = "cancelled", 409, MayHaveRun, None, "check the job's effects, then use a new key";
    /// The change's base version is not the one in force.
    VersionConflict = "version_conflict", 409, NotRun, None, "read the current version and publish again";
    /// The change does not pass its checks.
    InvalidChange = "invalid_change", 400, NotRun, None, "correct the file at the line named";
    /// No control leader can be reached.
    NoLeader = "no_leader", 503, MayHaveRun, Some(500), "send the change again with the same change id";
    /// An internal error.
    Internal = "internal", 500, MayHaveRun, None, "see the VM's log";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().name)
    }
}

/// An error answered to a caller or operator.
#[derive(Data!, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct RequestError {
    /// Kind of error.
    pub kind: ErrorKind,
    /// Human-readable description.
    pub message: String,
}

impl RequestError {
    /// An error of `kind` with a message.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> RequestError {
        RequestError { kind, message: message.into() }
    }
}
