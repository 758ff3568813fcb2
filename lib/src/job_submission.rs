//! One submission from its arrival to its answer, as steps.
//!
//! The surroundings carry out each step and feed in its end. A claim comes before any
//! start; a refusal as not run is given only once the ledger has said that no earlier
//! copy is known; the answer is what the ledger has recorded.

use crate::{
    entry_node::{CALL_TIMEOUT_MS, CallResult, LedgerCall},
    job_ledger::{JobClaim, JobOutcome, LedgerAnswer},
    prelude::*,
};

/// Time that recording an outcome may take, in ms. A claim that is not settled keeps its
/// key for as long as its owner lives, so this is long.
const SETTLE_MS: u64 = 600_000;

/// Who chose a key.
#[derive(Data!, Copy)]
pub enum KeyOrigin {
    /// The caller, who may use it again.
    Caller,
    /// The entry, for this submission alone.
    Entry,
}

/// What to do next.
#[derive(Data!)]
pub enum SubmissionStep {
    /// Call the ledger, with the time that it may take in ms.
    Call(LedgerCall, u64),
    /// Give the job to the dispatcher and wait for its end.
    Dispatch,
    /// Answer the caller: the outcome in force, or why none is known.
    Answer(Result<JobOutcome, RequestError>),
    /// Answer the caller, then withdraw the claim by this call.
    AnswerAndWithdraw(RequestError, LedgerCall, u64),
}

/// How far a submission has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SubmissionPhase {
    /// Asks whether an earlier copy is known before it is refused with this error.
    Refusing(RequestError),
    Claiming,
    Dispatched,
    Settling,
    Attached,
    Answered,
}

/// One submission.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    claim: JobClaim,
    key_origin: KeyOrigin,
    deadline: ClockTime,
    phase: SubmissionPhase,
}

impl JobSubmission {
    /// A submission under a new claim.
    pub fn new(claim: JobClaim, key_origin: KeyOrigin, deadline: ClockTime) -> JobSubmission {
        JobSubmission { claim, key_origin, deadline, phase: SubmissionPhase::Answered }
    }

    /// The claim.
    pub fn claim(&self) -> &JobClaim {
        &self.claim
    }

    /// Whether the job runs here or elsewhere: the answer will take its time.
    pub fn is_running(&self) -> bool {
        matches!(
            self.phase,
            SubmissionPhase::Dispatched | SubmissionPhase::Settling | SubmissionPhase::Attached
        )
    }

    /// The first step of a submission that was admitted, or was not.
    pub fn begin(&mut self, admitted: Result<(), RequestError>) -> SubmissionStep {
        match admitted {
            Ok(()) => {
                self.phase = SubmissionPhase::Claiming;
                SubmissionStep::Call(LedgerCall::Claim(self.claim.clone()), CALL_TIMEOUT_MS)
            }
            // Nobody else can have sent a key that was made for this submission.
            Err(error) if self.key_origin == KeyOrigin::Entry => self.answer(Err(error)),
            Err(error) => {
                self.phase = SubmissionPhase::Refusing(error);
                SubmissionStep::Call(LedgerCall::Probe(self.claim.key.clone()), CALL_TIMEOUT_MS)
            }
        }
    }

    /// The step after the end of a call.
    pub fn handle_call_result(&mut self, end: CallResult, now: ClockTime) -> SubmissionStep {
        match self.phase.clone() {
            SubmissionPhase::Refusing(error) => self.on_probe_end(end, error, now),
            SubmissionPhase::Claiming => self.on_claim_end(end, now),
            SubmissionPhase::Settling => self.on_settle_end(end, now),
            SubmissionPhase::Attached => self.on_await_end(end),
            SubmissionPhase::Dispatched | SubmissionPhase::Answered => {
                self.answer(Err(unexpected_end()))
            }
        }
    }

    fn on_probe_end(
        &mut self,
        end: CallResult,
        error: RequestError,
        now: ClockTime,
    ) -> SubmissionStep {
        match end {
            CallResult::Answered(LedgerAnswer::Unclaimed) => self.answer(Err(error)),
            CallResult::Answered(LedgerAnswer::Refused(known)) => self.answer(Err(known)),
            CallResult::Answered(LedgerAnswer::Attached(_, outcome)) => self.attach(outcome, now),
            CallResult::Unreachable => self.answer(Err(unreachable(&self.claim.key))),
            CallResult::Answered(_) | CallResult::Awaited(_) => self.answer(Err(unexpected_end())),
        }
    }

    fn on_claim_end(&mut self, end: CallResult, now: ClockTime) -> SubmissionStep {
        match end {
            CallResult::Answered(LedgerAnswer::Granted) => {
                self.phase = SubmissionPhase::Dispatched;
                SubmissionStep::Dispatch
            }
            CallResult::Answered(LedgerAnswer::Refused(error)) => self.answer(Err(error)),
            CallResult::Answered(LedgerAnswer::Attached(_, outcome)) => self.attach(outcome, now),
            CallResult::Unreachable => {
                self.phase = SubmissionPhase::Answered;
                let message = "the claim was not confirmed in time";
                let error = RequestError::new(ErrorKind::ClaimWithdrawn, message);
                let outcome = JobOutcome::Failed(error);
                let withdrawal = LedgerCall::Settle(self.claim.clone(), outcome);
                let answer = unreachable(&self.claim.key);
                SubmissionStep::AnswerAndWithdraw(answer, withdrawal, SETTLE_MS)
            }
            CallResult::Answered(_) | CallResult::Awaited(_) => self.answer(Err(unexpected_end())),
        }
    }

    /// The step after the dispatcher has ended the job.
    pub fn handle_job_result(&mut self, outcome: JobOutcome) -> SubmissionStep {
        self.phase = SubmissionPhase::Settling;
        SubmissionStep::Call(LedgerCall::Settle(self.claim.clone(), outcome), SETTLE_MS)
    }

    fn on_settle_end(&mut self, end: CallResult, now: ClockTime) -> SubmissionStep {
        match end {
            CallResult::Answered(LedgerAnswer::Settled(outcome)) => self.answer(Ok(outcome)),
            CallResult::Answered(LedgerAnswer::Attached(_, outcome)) => self.attach(outcome, now),
            CallResult::Answered(_) | CallResult::Awaited(_) | CallResult::Unreachable => {
                let message = "the ledger could not record the outcome in time";
                self.answer(Err(RequestError::new(ErrorKind::OutcomeUnknown, message)))
            }
        }
    }

    fn attach(&mut self, outcome: Option<JobOutcome>, now: ClockTime) -> SubmissionStep {
        if let Some(outcome) = outcome {
            return self.answer(Ok(outcome));
        }
        self.phase = SubmissionPhase::Attached;
        let span_ms = self.deadline.since_ms(now) + CALL_TIMEOUT_MS;
        SubmissionStep::Call(LedgerCall::Await(self.claim.key.clone()), span_ms)
    }

    fn on_await_end(&mut self, end: CallResult) -> SubmissionStep {
        match end {
            CallResult::Awaited(Some(outcome)) => self.answer(Ok(outcome)),
            CallResult::Awaited(None) | CallResult::Answered(_) | CallResult::Unreachable => {
                self.answer(Err(unreachable(&self.claim.key)))
            }
        }
    }

    fn answer(&mut self, result: Result<JobOutcome, RequestError>) -> SubmissionStep {
        self.phase = SubmissionPhase::Answered;
        SubmissionStep::Answer(result)
    }
}

fn unreachable(key: &JobKey) -> RequestError {
    let message = format!("the ledger that holds key {key} cannot be reached");
    RequestError::new(ErrorKind::HomeUnreachable, message)
}

fn unexpected_end() -> RequestError {
    RequestError::new(ErrorKind::Internal, "a call ended in a way that it cannot")
}
