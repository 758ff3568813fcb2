//! What a decision on a job or a change of belief leaves for the log.
//!
//! The list of events is closed. Adapters write each note as one line, within a budget
//! for each event.

use crate::{cell::job_offer::JobCode, prelude::*};

/// Declares the events with their names in log lines.
macro_rules! decision_events {
    ($(#[doc = $doc:literal] $event:ident = $name:literal,)*) => {
        /// Every event that a note can tell of.
        #[derive(Data!, Copy, Hash)]
        pub enum DecisionEvent {
            $(#[doc = $doc] $event,)*
        }

        impl DecisionEvent {
            /// Every event, in the order of the reference page.
            pub const ALL: &'static [DecisionEvent] = &[$(DecisionEvent::$event),*];

            /// Name in log lines.
            pub fn name(self) -> &'static str {
                match self {
                    $(DecisionEvent::$event => $name,)*
                }
            }

            /// What it tells, for the reference page.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(DecisionEvent::$event => $doc.trim_ascii(),)*
                }
            }
        }
    };
}

decision_events! {
    /// A caller's job was read.
    JobAccepted = "job_accepted",
    /// A job was refused without having run.
    JobRefused = "job_refused",
    /// A crowded cell gave a job back unstarted; its entry moves it or leaves it there.
    JobSentBack = "job_sent_back",
    /// A job was offered to a cell's leader.
    JobOffered = "job_offered",
    /// A copy of a job was joined to the one at work.
    JobAttached = "job_attached",
    /// Tasks at work under a former leader were taken over.
    RunAdopted = "run_adopted",
    /// A job ended and was answered.
    JobEnded = "job_ended",
    /// A job's caller got its answer.
    JobAnswered = "job_answered",
    /// The caller of a job has left.
    JobWithdrawn = "job_withdrawn",
    /// A task was ordered.
    TaskPlaced = "task_placed",
    /// An order had no answer.
    OrderLost = "order_lost",
    /// A task is ordered again, on this proof that its former run is over.
    TaskRequeued = "task_requeued",
    /// A run is being stopped.
    TaskStopped = "task_stopped",
    /// A task failed on its endpoint.
    TaskFailed = "task_failed",
    /// An endpoint became known or changed.
    EndpointChanged = "endpoint_changed",
    /// An endpoint is gone.
    EndpointGone = "endpoint_gone",
    /// An endpoint gets no work for a time.
    EndpointQuarantined = "endpoint_quarantined",
    /// An endpoint gets work again.
    EndpointReadmitted = "endpoint_readmitted",
    /// This entry leads a cell.
    CellClaimed = "cell_claimed",
    /// This entry no longer leads a cell.
    CellLost = "cell_lost",
    /// A peer is heard again, or for the first time.
    PeerFound = "peer_found",
    /// A peer is no longer heard.
    PeerLost = "peer_lost",
    /// A plan is in force.
    PlanInForce = "plan_in_force",
    /// The process takes new connections, or no longer.
    ReadyChanged = "ready_changed",
}

/// One decision or change of belief.
#[derive(Data!)]
pub struct DecisionRecord {
    /// When it was made.
    pub at: ClockTime,
    /// What was decided.
    pub event: DecisionEvent,
    /// The job, if it concerns one.
    pub job: Option<JobCode>,
    /// Endpoint, cell, peer or route that it is about.
    pub subject: String,
    /// Outcome or cause, in a word or two.
    pub outcome: String,
    /// Figures that decided it, by name; times and ages in ms.
    pub inputs: Vec<(String, u64)>,
}

impl DecisionRecord {
    /// A note without a job.
    pub fn new(
        at: ClockTime,
        event: DecisionEvent,
        subject: impl Into<String>,
        outcome: impl Into<String>,
    ) -> DecisionRecord {
        let (subject, outcome) = (subject.into(), outcome.into());
        DecisionRecord { at, event, job: None, subject, outcome, inputs: Vec::new() }
    }

    /// The note with the job that it concerns.
    pub fn for_job(mut self, job: JobCode) -> DecisionRecord {
        self.job = Some(job);
        self
    }

    /// The note with one more figure.
    pub fn with(mut self, name: &str, figure: u64) -> DecisionRecord {
        self.inputs.push((name.to_owned(), figure));
        self
    }
}
