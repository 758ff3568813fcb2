//! Records of decisions and of changes to the view of endpoints and peers, for the log.
//!
//! The list of events is closed. Adapters write each record as one line and limit the number
//! of lines per event.

use crate::{cell::job_offer::JobCode, prelude::*};

/// Declares the events with their names in log lines.
macro_rules! decision_events {
    ($(#[doc = $doc:literal] $event:ident = $name:literal,)*) => {
        /// Kind of a decision.
        #[derive(Data!, Copy, Hash)]
        pub enum DecisionEvent {
            $(#[doc = $doc] $event,)*
        }

        impl DecisionEvent {
            /// All events, in the order of the reference page.
            pub const ALL: &'static [DecisionEvent] = &[$(DecisionEvent::$event),*];

            /// Name in log lines.
            pub fn name(self) -> &'static str {
                match self {
                    $(DecisionEvent::$event => $name,)*
                }
            }

            /// Description for the reference page.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(DecisionEvent::$event => $doc.trim_ascii(),)*
                }
            }
        }
    };
}

decision_events! {
    /// A caller's job was received.
    JobAccepted = "job_accepted",
    /// A job was refused without having run.
    JobRefused = "job_refused",
    /// An overloaded cell returned a job unstarted; its entry moves it or offers it there again.
    JobSentBack = "job_sent_back",
    /// A job was offered to a cell's leader.
    JobOffered = "job_offered",
    /// A repeated request was attached to the job that is already running.
    JobAttached = "job_attached",
    /// Tasks that run for a former leader were adopted.
    RunAdopted = "run_adopted",
    /// A job ended and was answered.
    JobEnded = "job_ended",
    /// A job's caller got its answer.
    JobAnswered = "job_answered",
    /// A job was cancelled, as its caller has left.
    JobWithdrawn = "job_withdrawn",
    /// A task was placed on an endpoint.
    TaskPlaced = "task_placed",
    /// A job got its first reservation of an endpoint, as a task of it fits nowhere yet.
    TaskReserved = "task_reserved",
    /// A task started on an endpoint reserved for a task of a higher rank, which it does not delay.
    TaskBackfilled = "task_backfilled",
    /// A run is far past its predicted time, for the cause that the outcome names.
    RunStraggles = "run_straggles",
    /// An order got no answer.
    OrderLost = "order_lost",
    /// A start was not sent, as another incarnation of the endpoint answers than it was decided for.
    StartWithheld = "start_withheld",
    /// A task was queued again; the outcome is the proof that its former run is over.
    TaskRequeued = "task_requeued",
    /// A run is being stopped.
    TaskStopped = "task_stopped",
    /// An endpoint listed a run that counted as over; the outcome is the proof that was wrong.
    RunReappeared = "run_reappeared",
    /// A task failed on its endpoint.
    TaskFailed = "task_failed",
    /// An endpoint was added or changed.
    EndpointChanged = "endpoint_changed",
    /// An endpoint is gone.
    EndpointGone = "endpoint_gone",
    /// An endpoint was quarantined: it gets no work for a time.
    EndpointQuarantined = "endpoint_quarantined",
    /// An endpoint gets work again after a quarantine.
    EndpointReadmitted = "endpoint_readmitted",
    /// This entry became the leader of a cell.
    CellClaimed = "cell_claimed",
    /// This entry stopped leading a cell.
    CellLost = "cell_lost",
    /// A heartbeat came from a peer that is new, restarted or was lost.
    PeerFound = "peer_found",
    /// A peer counts as lost.
    PeerLost = "peer_lost",
    /// A route plan came into force.
    PlanInForce = "plan_in_force",
    /// The process began to shut down, or resumed after a stall.
    ReadyChanged = "ready_changed",
}

/// A decision with the inputs on which it was based.
#[derive(Data!)]
pub struct DecisionRecord {
    /// Time of the decision.
    pub at: ClockTime,
    /// What was decided.
    pub event: DecisionEvent,
    /// The job, if it concerns one.
    pub job: Option<JobCode>,
    /// Endpoint, cell, peer or route that it concerns.
    pub subject: String,
    /// Outcome or cause, in a word or two.
    pub outcome: String,
    /// Values on which it was based, by name; times and ages in ms.
    pub inputs: Vec<(String, u64)>,
}

impl DecisionRecord {
    /// Creates a record that concerns no job.
    pub fn new(
        at: ClockTime,
        event: DecisionEvent,
        subject: impl Into<String>,
        outcome: impl Into<String>,
    ) -> DecisionRecord {
        let (subject, outcome) = (subject.into(), outcome.into());
        DecisionRecord { at, event, job: None, subject, outcome, inputs: Vec::new() }
    }

    /// Adds the job that it concerns.
    pub fn for_job(mut self, job: JobCode) -> DecisionRecord {
        self.job = Some(job);
        self
    }

    /// Adds an input.
    pub fn with(mut self, name: &str, value: u64) -> DecisionRecord {
        self.inputs.push((name.to_owned(), value));
        self
    }
}
