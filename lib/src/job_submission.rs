//! State machine of one submission, from its arrival to its answer.
//!
//! The host runs each step and passes in its result. The key is claimed before any task
//! starts. A refusal as "not run" is answered only after the ledger has confirmed that it
//! knows no earlier copy of the job. The answer is the outcome that the ledger recorded.

use crate::{
    entry_node::{CALL_TIMEOUT_MS, CallResult, LedgerCall},
    job_ledger::{JobClaim, JobOutcome, LedgerAnswer},
    prelude::*,
};

/// Timeout for recording an outcome, in ms. It is long because an unsettled claim blocks
/// its key until the owner is lost.
const SETTLE_TIMEOUT_MS: u64 = 600_000;

/// Who chose a key.
#[derive(Data!, Copy)]
pub enum KeyOrigin {
    /// The caller, who may submit it again.
    Caller,
    /// The entry, for this submission alone.
    Entry,
}

/// The next step for the host to run.
#[derive(Data!)]
pub enum SubmissionStep {
    /// Call the ledger, with a timeout in ms.
    Call(LedgerCall, u64),
    /// Give the job to the dispatcher and wait for its end.
    Dispatch,
    /// Answer the caller: the outcome in force, or why none is known.
    Answer(Result<JobOutcome, RequestError>),
    /// Answer the caller, then withdraw the claim by this call.
    AnswerAndWithdraw(RequestError, LedgerCall, u64),
}

/// Phase of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SubmissionPhase {
    /// Checks with the ledger for an earlier copy before it refuses with this error.
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

    /// Whether the job runs, here or elsewhere, so that the answer has to wait for its end.
    pub fn is_running(&self) -> bool {
        matches!(
            self.phase,
            SubmissionPhase::Dispatched | SubmissionPhase::Settling | SubmissionPhase::Attached
        )
    }

    /// The first step, given the result of admission control.
    pub fn begin(&mut self, admitted: Result<(), RequestError>) -> SubmissionStep {
        match admitted {
            Ok(()) => {
                self.phase = SubmissionPhase::Claiming;
                SubmissionStep::Call(LedgerCall::Claim(self.claim.clone()), CALL_TIMEOUT_MS)
            }
            // No earlier copy can exist under a key that was generated for this submission.
            Err(error) if self.key_origin == KeyOrigin::Entry => self.answer(Err(error)),
            Err(error) => {
                self.phase = SubmissionPhase::Refusing(error);
                SubmissionStep::Call(LedgerCall::Probe(self.claim.key.clone()), CALL_TIMEOUT_MS)
            }
        }
    }

    /// The step after a ledger call.
    pub fn handle_call_result(&mut self, result: CallResult, now: ClockTime) -> SubmissionStep {
        match self.phase.clone() {
            SubmissionPhase::Refusing(error) => self.handle_probe_result(result, error, now),
            SubmissionPhase::Claiming => self.handle_claim_result(result, now),
            SubmissionPhase::Settling => self.handle_settle_result(result, now),
            SubmissionPhase::Attached => self.handle_await_result(result),
            SubmissionPhase::Dispatched | SubmissionPhase::Answered => {
                self.answer(Err(unexpected_result()))
            }
        }
    }

    fn handle_probe_result(
        &mut self,
        result: CallResult,
        error: RequestError,
        now: ClockTime,
    ) -> SubmissionStep {
        match result {
            CallResult::Answered(LedgerAnswer::Unclaimed) => self.answer(Err(error)),
            CallResult::Answered(LedgerAnswer::Refused(known)) => self.answer(Err(known)),
            CallResult::Answered(LedgerAnswer::Attached(_, outcome)) => self.attach(outcome, now),
            CallResult::Unreachable => self.answer(Err(unreachable(&self.claim.key))),
            CallResult::Answered(_) | CallResult::Awaited(_) => {
                self.answer(Err(unexpected_result()))
            }
        }
    }

    fn handle_claim_result(&mut self, result: CallResult, now: ClockTime) -> SubmissionStep {
        match result {
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
                SubmissionStep::AnswerAndWithdraw(answer, withdrawal, SETTLE_TIMEOUT_MS)
            }
            CallResult::Answered(_) | CallResult::Awaited(_) => {
                self.answer(Err(unexpected_result()))
            }
        }
    }

    /// The step after the dispatcher has ended the job.
    pub fn handle_job_result(&mut self, outcome: JobOutcome) -> SubmissionStep {
        self.phase = SubmissionPhase::Settling;
        SubmissionStep::Call(LedgerCall::Settle(self.claim.clone(), outcome), SETTLE_TIMEOUT_MS)
    }

    fn handle_settle_result(&mut self, result: CallResult, now: ClockTime) -> SubmissionStep {
        match result {
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
        let timeout_ms = self.deadline.since_ms(now) + CALL_TIMEOUT_MS;
        SubmissionStep::Call(LedgerCall::Await(self.claim.key.clone()), timeout_ms)
    }

    fn handle_await_result(&mut self, result: CallResult) -> SubmissionStep {
        match result {
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

fn unexpected_result() -> RequestError {
    RequestError::new(ErrorKind::Internal, "a call ended in a way that it cannot")
}
