//! What a stand-in does with tasks, changed on command while it runs.

use serde::{Deserialize, Serialize};

/// How a stand-in behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// Runs tasks.
    #[default]
    None,
    /// Starts tasks and never answers them.
    Stall,
    /// Starts tasks and fails them at once.
    FailAll,
    /// Refuses all tasks as not run.
    Refuse,
    /// Starts the next task, then ends the process.
    DieMidTask,
    /// Closes the connection before it reads on; starts nothing.
    CloseBefore,
    /// Starts the task and closes the connection without an answer.
    CloseAfter,
    /// Answers a second after the task is done.
    AnswerLate,
}

/// Body of `POST /script`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StandinScript {
    /// How it behaves.
    pub fault: FaultMode,
    /// Whether it announces that it leaves.
    pub leaving: bool,
}
