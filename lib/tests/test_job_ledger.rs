//! The ledger against a plain model, and its rules one by one.

use indexmap::IndexMap;
use proptest::prelude::*;
use yuccamux::{
    job_ledger::{
        JobClaim, JobLedger, JobOutcome, LedgerAnswer, LedgerCommand, LedgerEntry, LedgerLimits,
        OwnerId,
    },
    prelude::*,
};

const NOW: ClockTime = ClockTime(1_700_000_000_000);

fn owner(number: u64) -> OwnerId {
    OwnerId { vm: VmName(format!("vm-{}", number % 2)), incarnation: number / 2 }
}

fn key_at(at: ClockTime, number: u8) -> JobKey {
    JobKey::mint(&DataCentre::from("munich"), at, &[number; 10])
}

fn claim(key: &JobKey, owner_number: u64, nonce: u64) -> JobClaim {
    JobClaim { key: key.clone(), digest: [1; 16], owner: owner(owner_number), nonce }
}

fn failed(kind: ErrorKind) -> JobOutcome {
    JobOutcome::Failed(RequestError::new(kind, "test"))
}

fn complete() -> JobOutcome {
    JobOutcome::Complete(b"whole".to_vec())
}

fn ledger() -> JobLedger {
    JobLedger::new(LedgerLimits::default(), ClockTime::default())
}

fn apply(ledger: &mut JobLedger, at: ClockTime, command: LedgerCommand) -> LedgerAnswer {
    ledger.apply(LedgerEntry { at, command })
}

fn refused_kind(answer: &LedgerAnswer) -> Option<ErrorKind> {
    match answer {
        LedgerAnswer::Refused(error) => Some(error.kind),
        _ => None,
    }
}

#[test]
fn second_copy_attaches_and_gets_the_outcome() {
    let mut ledger = ledger();
    let key = key_at(NOW, 1);
    let first = claim(&key, 0, 1);
    let second = claim(&key, 1, 2);
    assert_eq!(apply(&mut ledger, NOW, LedgerCommand::Claim(first.clone())), LedgerAnswer::Granted);
    let attached = apply(&mut ledger, NOW, LedgerCommand::Claim(second.clone()));
    assert_eq!(attached, LedgerAnswer::Attached(owner(0), None));
    apply(&mut ledger, NOW, LedgerCommand::Settle(first, complete()));
    let ended = apply(&mut ledger, NOW, LedgerCommand::Claim(second));
    assert_eq!(ended, LedgerAnswer::Attached(owner(0), Some(complete())));
}

#[test]
fn another_body_under_a_key_is_refused() {
    let mut ledger = ledger();
    let key = key_at(NOW, 1);
    apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 0, 1)));
    let other = JobClaim { digest: [2; 16], ..claim(&key, 1, 2) };
    let answer = apply(&mut ledger, NOW, LedgerCommand::Claim(other));
    assert_eq!(refused_kind(&answer), Some(ErrorKind::KeyConflict));
}

#[test]
fn key_from_before_the_fence_is_unknown() {
    let mut ledger = JobLedger::new(LedgerLimits::default(), NOW.plus_ms(1_000));
    let old = apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key_at(NOW, 1), 0, 1)));
    assert_eq!(refused_kind(&old), Some(ErrorKind::KeyTooOld));
    let key = key_at(NOW.plus_ms(1_000), 2);
    let new = apply(&mut ledger, NOW.plus_ms(1_000), LedgerCommand::Claim(claim(&key, 0, 1)));
    assert_eq!(new, LedgerAnswer::Granted);
}

#[test]
fn key_without_time_is_refused_until_untimed_keys_are_accepted() {
    let mut ledger = ledger();
    let key = JobKey::parse("order-17").unwrap();
    let before = apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 0, 1)));
    assert_eq!(refused_kind(&before), Some(ErrorKind::KeyTooOld));
    apply(&mut ledger, NOW, LedgerCommand::AcceptUntimedKeys);
    let after = apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 0, 1)));
    assert_eq!(after, LedgerAnswer::Granted);
}

#[test]
fn key_from_the_future_is_refused() {
    let mut ledger = ledger();
    let key = key_at(NOW.plus_ms(501), 1);
    let answer = apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 0, 1)));
    assert_eq!(refused_kind(&answer), Some(ErrorKind::KeyFromFuture));
}

#[test]
fn forgotten_key_is_unknown_and_never_granted() {
    let mut ledger = ledger();
    let key = key_at(NOW, 1);
    apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 0, 1)));
    apply(&mut ledger, NOW, LedgerCommand::Settle(claim(&key, 0, 1), complete()));
    let later = NOW.plus_ms(600_001);
    let answer = apply(&mut ledger, later, LedgerCommand::Claim(claim(&key, 0, 2)));
    assert_eq!(refused_kind(&answer), Some(ErrorKind::KeyTooOld));
    assert_eq!(ledger.n_jobs(), 0);
    assert_eq!(ledger.n_bytes(), 0);
}

#[test]
fn full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let limits = LedgerLimits { max_jobs: 1, ..LedgerLimits::default() };
    let mut ledger = JobLedger::new(limits, ClockTime::default());
    let key = key_at(NOW, 1);
    apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 0, 1)));
    let other = apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key_at(NOW, 2), 0, 2)));
    assert_eq!(refused_kind(&other), Some(ErrorKind::LedgerFull));
    let same = apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 1, 3)));
    assert_eq!(same, LedgerAnswer::Attached(owner(0), None));
}

#[test]
fn cancelled_claim_is_not_granted_when_it_arrives_late() {
    let mut ledger = ledger();
    let key = key_at(NOW, 1);
    let late = claim(&key, 0, 1);
    let cancelled = failed(ErrorKind::ClaimWithdrawn);
    apply(&mut ledger, NOW, LedgerCommand::Settle(late.clone(), cancelled.clone()));
    let answer = apply(&mut ledger, NOW, LedgerCommand::Claim(late));
    assert_eq!(answer, LedgerAnswer::Attached(owner(0), Some(cancelled)));
    let fresh = apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 1, 2)));
    assert_eq!(fresh, LedgerAnswer::Granted);
}

#[test]
fn no_cancelled_claim_is_granted_after_other_claims() {
    let mut ledger = ledger();
    let key = key_at(NOW, 1);
    let (lhs, rhs) = (claim(&key, 0, 1), claim(&key, 1, 2));
    let cancelled = failed(ErrorKind::ClaimWithdrawn);
    apply(&mut ledger, NOW, LedgerCommand::Settle(lhs.clone(), cancelled.clone()));
    apply(&mut ledger, NOW, LedgerCommand::Settle(rhs.clone(), cancelled.clone()));
    for late in [&rhs, &lhs] {
        let answer = apply(&mut ledger, NOW, LedgerCommand::Claim(late.clone()));
        assert_eq!(answer, LedgerAnswer::Attached(owner(0), Some(cancelled.clone())));
    }
    // A third claim is granted and ends as not run; the others stay cancelled.
    let third = claim(&key, 0, 3);
    let granted = apply(&mut ledger, NOW, LedgerCommand::Claim(third.clone()));
    assert_eq!(granted, LedgerAnswer::Granted);
    let not_started = failed(ErrorKind::CancelledBeforeStart);
    apply(&mut ledger, NOW, LedgerCommand::Settle(third.clone(), not_started.clone()));
    for late in [&lhs, &rhs, &third] {
        let answer = apply(&mut ledger, NOW, LedgerCommand::Claim(late.clone()));
        assert_eq!(answer, LedgerAnswer::Attached(owner(0), Some(not_started.clone())));
    }
}

#[test]
fn claim_that_was_attached_is_not_granted_by_a_later_copy() {
    let mut ledger = ledger();
    let key = key_at(NOW, 1);
    let (first, second) = (claim(&key, 0, 1), claim(&key, 1, 2));
    apply(&mut ledger, NOW, LedgerCommand::Claim(first.clone()));
    // The second submission is told to wait for the first.
    apply(&mut ledger, NOW, LedgerCommand::Claim(second.clone()));
    let cancelled = failed(ErrorKind::ClaimWithdrawn);
    apply(&mut ledger, NOW, LedgerCommand::Settle(first, cancelled.clone()));
    let copy = apply(&mut ledger, NOW, LedgerCommand::Claim(second));
    assert_eq!(copy, LedgerAnswer::Attached(owner(0), Some(cancelled)));
}

#[test]
fn lost_owner_fails_its_jobs_and_a_later_outcome_is_not_taken() {
    let mut ledger = ledger();
    let key = key_at(NOW, 1);
    apply(&mut ledger, NOW, LedgerCommand::Claim(claim(&key, 0, 1)));
    apply(&mut ledger, NOW, LedgerCommand::OwnerLost(owner(0)));
    let answer = apply(&mut ledger, NOW, LedgerCommand::Settle(claim(&key, 0, 1), complete()));
    let LedgerAnswer::Settled(JobOutcome::Failed(error)) = answer else { panic!("{answer:?}") };
    assert_eq!(error.kind, ErrorKind::OwnerLost);
}

#[test]
fn outcome_after_the_ledger_was_lost_is_refused() {
    let mut ledger = JobLedger::new(LedgerLimits::default(), NOW.plus_ms(1_000));
    let settle = LedgerCommand::Settle(claim(&key_at(NOW, 1), 0, 1), complete());
    let answer = apply(&mut ledger, NOW.plus_ms(2_000), settle);
    assert_eq!(refused_kind(&answer), Some(ErrorKind::KeyTooOld));
}

/// A command over few keys, owners and claims.
fn command() -> impl Strategy<Value = (u64, LedgerCommand)> {
    let parts = (0_u8..4, 0_u64..4, 0_u64..3, 0_u64..40_000);
    (0_u8..8, parts).prop_map(|(what, (key, owner_number, nonce, span_ms))| {
        let key = key_at(NOW, key);
        let claim = claim(&key, owner_number, nonce * 10 + owner_number);
        let command = match what {
            0..=2 => LedgerCommand::Claim(claim),
            3 => LedgerCommand::Settle(claim, complete()),
            4 => LedgerCommand::Settle(claim, failed(ErrorKind::TaskFailed)),
            5 => LedgerCommand::Settle(claim, failed(ErrorKind::CancelledBeforeStart)),
            6 => LedgerCommand::Probe(key),
            _ => LedgerCommand::OwnerLost(owner(owner_number)),
        };
        (span_ms, command)
    })
}

/// The answers given for a key: the claim granted, and the outcome reported.
#[derive(Default)]
struct KeyModel {
    granted: Option<u64>,
    reported: Option<JobOutcome>,
}

fn check_answer(model: &mut KeyModel, command: &LedgerCommand, answer: &LedgerAnswer) {
    let reported = match answer {
        LedgerAnswer::Settled(outcome) | LedgerAnswer::Attached(_, Some(outcome)) => Some(outcome),
        _ => None,
    };
    if let Some(outcome) = reported
        && outcome.ran() != RanState::NotRun
    {
        let first = model.reported.get_or_insert_with(|| outcome.clone());
        assert_eq!(first, outcome, "an outcome changed");
    }
    match (command, answer) {
        (LedgerCommand::Claim(claim), LedgerAnswer::Granted) => {
            let free = model.granted.is_none_or(|it| it == claim.nonce);
            assert!(free, "two claims were granted at once");
            assert!(model.reported.is_none(), "a claim was granted after the job had run");
            model.granted = Some(claim.nonce);
        }
        (LedgerCommand::Settle(..), LedgerAnswer::Settled(outcome))
            if outcome.ran() == RanState::NotRun =>
        {
            model.granted = None;
        }
        (LedgerCommand::Claim(_), LedgerAnswer::Attached(_, Some(outcome)))
            if outcome.ran() == RanState::NotRun =>
        {
            model.granted = None;
        }
        _ => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_key_runs_twice(commands in prop::collection::vec(command(), 1..80)) {
        let mut ledger = ledger();
        let mut models: IndexMap<JobKey, KeyModel> = IndexMap::new();
        let mut now = NOW;
        for (span_ms, command) in commands {
            now = now.plus_ms(span_ms);
            let answer = apply(&mut ledger, now, command.clone());
            // The ledger must behave the same after a snapshot.
            ledger = JobLedger::decode(LedgerLimits::default(), &ledger.encode()).unwrap();
            let key = match &command {
                LedgerCommand::Claim(claim) | LedgerCommand::Settle(claim, _) => claim.key.clone(),
                LedgerCommand::Probe(key) => key.clone(),
                LedgerCommand::OwnerLost(_) | LedgerCommand::AcceptUntimedKeys => continue,
            };
            check_answer(models.entry(key).or_default(), &command, &answer);
        }
    }
}
