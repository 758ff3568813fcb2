//! The ledger of a data centre: which key was claimed, by whom, and how it ended.
//!
//! It is the state machine of the data centre's log group. A key is claimed before
//! any task starts, and only the claim that was granted may start tasks. The first
//! outcome recorded for a claim is final, but for one case: a job that ended as not
//! run may be claimed again, since none of its tasks has started.
//!
//! A key is forgotten only when it would be refused anyway: a key older than the
//! resubmission horizon, or than the fence of the group's bootstrap, is answered as
//! "may have run" and never granted.

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};

use crate::prelude::*;

/// Estimated bytes of a record besides its key and outcome.
const RECORD_OVERHEAD_BYTES: u64 = 160;

/// Bytes of the nonce of a closed claim.
const CLOSED_CLAIM_BYTES: u64 = 8;

/// Limits of a ledger, the same on each of its replicas.
#[derive(Data!, Copy)]
pub struct LedgerLimits {
    /// How long a key may be sent again, in ms after it was made.
    pub horizon_ms: u64,
    /// How far a key's time may lie ahead of the leader's clock, in ms.
    pub clock_skew_ms: u64,
    /// Most jobs kept.
    pub max_jobs: u64,
    /// Most bytes kept.
    pub max_bytes: u64,
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits {
            horizon_ms: 600_000,
            clock_skew_ms: 500,
            max_jobs: 2_000_000,
            max_bytes: 2 << 30,
        }
    }
}

/// The process that owns a claim.
#[derive(Id!)]
pub struct OwnerId {
    /// VM of the process.
    pub vm: VmName,
    /// Incarnation of the process, growing with each restart.
    pub incarnation: u64,
}

/// How a job ended.
#[derive(Data!)]
pub enum JobOutcome {
    /// The whole answer body.
    Complete(Vec<u8>),
    /// What went wrong; there are no outputs.
    Failed(RequestError),
}

impl JobOutcome {
    /// Whether the job has run.
    pub fn ran(&self) -> RanState {
        match self {
            JobOutcome::Complete(_) => RanState::Ran,
            JobOutcome::Failed(error) => error.kind.answer().ran,
        }
    }

    fn n_bytes(&self) -> u64 {
        match self {
            JobOutcome::Complete(body) => body.len() as u64,
            JobOutcome::Failed(error) => error.message.len() as u64,
        }
    }
}

/// A claim on a key.
#[derive(Data!)]
pub struct JobClaim {
    /// The key.
    pub key: JobKey,
    /// Digest of the body.
    pub digest: [u8; 16],
    /// Who will start the tasks.
    pub owner: OwnerId,
    /// Random number that tells this claim from any other on the key.
    pub nonce: u64,
}

/// A command to the ledger.
#[derive(Data!)]
pub enum LedgerCommand {
    /// Claim a key.
    Claim(JobClaim),
    /// Record the outcome of a claim, or cancel one that may still arrive.
    Settle(JobClaim, JobOutcome),
    /// Ask for a key without claiming it.
    Probe(JobKey),
    /// Fail the running jobs of a lost process and its earlier incarnations.
    OwnerLost(OwnerId),
    /// Accept keys without a time, as no earlier generation has existed.
    AcceptUntimedKeys,
}

/// A command with the leader's clock.
#[derive(Data!)]
pub struct LedgerEntry {
    /// When the leader appended it.
    pub at: ClockTime,
    /// The command.
    pub command: LedgerCommand,
}

/// The ledger's answer to a command.
#[derive(Data!)]
pub enum LedgerAnswer {
    /// The claim is granted: its owner may start the tasks.
    Granted,
    /// Another claim holds the key; its owner, and its outcome once settled.
    Attached(OwnerId, Option<JobOutcome>),
    /// The outcome in force for the claim.
    Settled(JobOutcome),
    /// No claim is known, and the key could be claimed.
    Unclaimed,
    /// The key is refused.
    Refused(RequestError),
    /// Done.
    Done,
}

/// Whether a job has ended.
#[derive(Data!)]
pub enum JobState {
    /// Claimed, not ended.
    Running,
    /// Ended.
    Settled(JobOutcome),
}

/// The ledger's record of a key.
#[derive(Data!)]
pub struct JobRecord {
    /// Digest of the body.
    pub digest: [u8; 16],
    /// Owner of the claim.
    pub owner: OwnerId,
    /// The claim's random number.
    pub nonce: u64,
    /// Nonces of claims that a late copy must not get granted: cancelled, attached to
    /// another claim, or ended as not run.
    pub closed_claims: Vec<u64>,
    /// Whether it has ended.
    pub state: JobState,
}

/// State of a data centre's ledger.
#[derive(Clone, Debug)]
pub struct JobLedger {
    limits: LedgerLimits,
    fence: ClockTime,
    accepts_untimed_keys: bool,
    clock: ClockTime,
    n_bytes: u64,
    jobs: IndexMap<JobKey, JobRecord>,
    by_age: BTreeSet<(ClockTime, JobKey)>,
    running: IndexMap<VmName, IndexSet<JobKey>>,
    settled: Vec<JobKey>,
}

/// The part of a ledger that a snapshot holds.
#[derive(Data!)]
struct LedgerImage {
    fence: ClockTime,
    accepts_untimed_keys: bool,
    clock: ClockTime,
    jobs: Vec<(JobKey, JobRecord)>,
}

impl JobLedger {
    /// An empty ledger that refuses keys older than `fence`.
    pub fn new(limits: LedgerLimits, fence: ClockTime) -> JobLedger {
        JobLedger {
            limits,
            fence,
            accepts_untimed_keys: false,
            clock: ClockTime::default(),
            n_bytes: 0,
            jobs: IndexMap::new(),
            by_age: BTreeSet::new(),
            running: IndexMap::new(),
            settled: Vec::new(),
        }
    }

    /// The ledger in a snapshot.
    ///
    /// # Errors
    ///
    /// When the bytes are no ledger.
    pub fn decode(limits: LedgerLimits, bytes: &[u8]) -> Result<JobLedger, postcard::Error> {
        let image: LedgerImage = postcard::from_bytes(bytes)?;
        let mut ledger = JobLedger::new(limits, image.fence);
        ledger.accepts_untimed_keys = image.accepts_untimed_keys;
        ledger.clock = image.clock;
        for (key, record) in image.jobs {
            ledger.index_record(&key, &record);
            ledger.jobs.insert(key, record);
        }
        Ok(ledger)
    }

    /// Bytes for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let jobs = self.jobs.iter().map(|(key, record)| (key.clone(), record.clone())).collect();
        let image = LedgerImage {
            fence: self.fence,
            accepts_untimed_keys: self.accepts_untimed_keys,
            clock: self.clock,
            jobs,
        };
        postcard::to_stdvec(&image).unwrap_or_default()
    }

    /// Time before which keys are refused.
    pub fn fence(&self) -> ClockTime {
        self.fence
    }

    /// Whether keys without a time are accepted.
    pub fn accepts_untimed_keys(&self) -> bool {
        self.accepts_untimed_keys
    }

    /// Number of jobs kept.
    pub fn n_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Bytes kept, estimated.
    pub fn n_bytes(&self) -> u64 {
        self.n_bytes
    }

    /// The record of a key.
    pub fn record(&self, key: &JobKey) -> Option<&JobRecord> {
        self.jobs.get(key)
    }

    /// Records of every key kept.
    pub fn records(&self) -> impl Iterator<Item = (&JobKey, &JobRecord)> {
        self.jobs.iter()
    }

    /// Owners with unended jobs.
    pub fn running_owners(&self) -> IndexSet<OwnerId> {
        let keys = self.running.values().flatten();
        keys.filter_map(|it| self.jobs.get(it)).map(|it| it.owner.clone()).collect()
    }

    /// Keys that were settled since the last call.
    pub fn drain_settled(&mut self) -> Vec<JobKey> {
        std::mem::take(&mut self.settled)
    }

    /// Applies a committed command.
    pub fn apply(&mut self, entry: LedgerEntry) -> LedgerAnswer {
        self.clock = self.clock.max(entry.at);
        self.remove_expired();
        match entry.command {
            LedgerCommand::Claim(claim) => self.claim(claim),
            LedgerCommand::Settle(claim, outcome) => self.settle(claim, outcome),
            LedgerCommand::Probe(key) => self.probe(&key),
            LedgerCommand::OwnerLost(owner) => self.fail_jobs_of_owner(&owner),
            LedgerCommand::AcceptUntimedKeys => {
                self.accepts_untimed_keys = true;
                LedgerAnswer::Done
            }
        }
    }

    fn claim(&mut self, claim: JobClaim) -> LedgerAnswer {
        if self.jobs.contains_key(&claim.key) {
            return self.claim_known(claim);
        }
        if let Err(error) = self.check_new_key(&claim.key) {
            return LedgerAnswer::Refused(error);
        }
        self.insert_running(claim, Vec::new());
        LedgerAnswer::Granted
    }

    /// Answers a claim on a key that another claim, or a copy of this one, holds or held.
    fn claim_known(&mut self, claim: JobClaim) -> LedgerAnswer {
        let Some(record) = self.jobs.get_mut(&claim.key) else { return LedgerAnswer::Unclaimed };
        if record.digest != claim.digest {
            let message = format!("key {} was used with another body", claim.key);
            return LedgerAnswer::Refused(RequestError::new(ErrorKind::KeyConflict, message));
        }
        let is_same = record.nonce == claim.nonce && record.owner == claim.owner;
        let is_closed = record.closed_claims.contains(&claim.nonce);
        match &record.state {
            JobState::Running if is_same => LedgerAnswer::Granted,
            JobState::Running => {
                let answer = LedgerAnswer::Attached(record.owner.clone(), None);
                self.close_claim(&claim);
                answer
            }
            JobState::Settled(outcome)
                if !is_same && !is_closed && outcome.ran() == RanState::NotRun =>
            {
                self.claim_again(claim)
            }
            JobState::Settled(outcome) => {
                LedgerAnswer::Attached(record.owner.clone(), Some(outcome.clone()))
            }
        }
    }

    /// Records that a claim was not granted, so that no later copy of it is.
    fn close_claim(&mut self, claim: &JobClaim) {
        let Some(record) = self.jobs.get_mut(&claim.key) else { return };
        if !record.closed_claims.contains(&claim.nonce) {
            record.closed_claims.push(claim.nonce);
            self.n_bytes += CLOSED_CLAIM_BYTES;
        }
    }

    /// Grants a claim on a key whose former claim ended as not run.
    fn claim_again(&mut self, claim: JobClaim) -> LedgerAnswer {
        let mut closed_claims = Vec::new();
        if let Some(former) = self.remove_record(&claim.key) {
            closed_claims = former.closed_claims;
            closed_claims.push(former.nonce);
        }
        self.insert_running(claim, closed_claims);
        LedgerAnswer::Granted
    }

    fn insert_running(&mut self, claim: JobClaim, closed_claims: Vec<u64>) {
        let JobClaim { key, digest, owner, nonce } = claim;
        let state = JobState::Running;
        self.insert_record(key, JobRecord { digest, owner, nonce, closed_claims, state });
    }

    fn settle(&mut self, claim: JobClaim, outcome: JobOutcome) -> LedgerAnswer {
        let Some(record) = self.jobs.get(&claim.key) else {
            // Where the key can no longer be claimed, another outcome may have been reported.
            if let Err(error) = self.check_new_key(&claim.key) {
                return LedgerAnswer::Refused(error);
            }
            // The claim has not arrived; a later copy of it must not be granted.
            self.insert_settled(claim, &outcome, Vec::new());
            return LedgerAnswer::Settled(outcome);
        };
        if record.nonce != claim.nonce || record.owner != claim.owner {
            let answer = match &record.state {
                JobState::Settled(known) => LedgerAnswer::Settled(known.clone()),
                JobState::Running => LedgerAnswer::Attached(record.owner.clone(), None),
            };
            self.close_claim(&claim);
            return answer;
        }
        if let JobState::Settled(known) = &record.state {
            return LedgerAnswer::Settled(known.clone());
        }
        self.end_record(claim, &outcome);
        LedgerAnswer::Settled(outcome)
    }

    /// Puts an outcome into the record of a claim.
    fn end_record(&mut self, claim: JobClaim, outcome: &JobOutcome) {
        let closed_claims =
            self.remove_record(&claim.key).map(|it| it.closed_claims).unwrap_or_default();
        self.insert_settled(claim, outcome, closed_claims);
    }

    fn insert_settled(&mut self, claim: JobClaim, outcome: &JobOutcome, closed_claims: Vec<u64>) {
        let JobClaim { key, digest, owner, nonce } = claim;
        self.settled.push(key.clone());
        let state = JobState::Settled(outcome.clone());
        self.insert_record(key, JobRecord { digest, owner, nonce, closed_claims, state });
    }

    fn probe(&self, key: &JobKey) -> LedgerAnswer {
        match self.jobs.get(key) {
            Some(JobRecord { owner, state: JobState::Settled(outcome), .. }) => {
                LedgerAnswer::Attached(owner.clone(), Some(outcome.clone()))
            }
            Some(record) => LedgerAnswer::Attached(record.owner.clone(), None),
            None => match self.check_new_key(key) {
                Ok(()) => LedgerAnswer::Unclaimed,
                Err(error) => LedgerAnswer::Refused(error),
            },
        }
    }

    fn fail_jobs_of_owner(&mut self, owner: &OwnerId) -> LedgerAnswer {
        let keys: Vec<JobKey> =
            self.running.get(&owner.vm).into_iter().flatten().cloned().collect();
        for key in keys {
            let Some(record) = self.jobs.get(&key) else { continue };
            if owner.incarnation < record.owner.incarnation {
                continue;
            }
            let message = format!("VM {} was lost while it ran the job", owner.vm);
            let outcome = JobOutcome::Failed(RequestError::new(ErrorKind::OwnerLost, message));
            let claim = JobClaim {
                key: key.clone(),
                digest: record.digest,
                owner: record.owner.clone(),
                nonce: record.nonce,
            };
            self.end_record(claim, &outcome);
        }
        LedgerAnswer::Done
    }

    /// Whether a key that is not known may be claimed.
    fn check_new_key(&self, key: &JobKey) -> Result<(), RequestError> {
        match key.minted_at() {
            None if !self.accepts_untimed_keys => {
                let message = "the ledger has restarted, and the key carries no time";
                return Err(RequestError::new(ErrorKind::KeyTooOld, message));
            }
            Some(minted_at) if minted_at < self.fence => {
                let message = "the key was made before the ledger's last restart";
                return Err(RequestError::new(ErrorKind::KeyTooOld, message));
            }
            Some(minted_at) if self.limits.horizon_ms < self.clock.since_ms(minted_at) => {
                let message = "the key is older than the resubmission horizon";
                return Err(RequestError::new(ErrorKind::KeyTooOld, message));
            }
            Some(minted_at) if self.limits.clock_skew_ms < minted_at.since_ms(self.clock) => {
                let message = "the key's time lies in the future";
                return Err(RequestError::new(ErrorKind::KeyFromFuture, message));
            }
            None | Some(_) => {}
        }
        let is_full =
            self.limits.max_jobs <= self.jobs.len() as u64 || self.limits.max_bytes <= self.n_bytes;
        if is_full {
            let message = "the ledger holds as many jobs as it may";
            return Err(RequestError::new(ErrorKind::LedgerFull, message));
        }
        Ok(())
    }

    /// Removes ended jobs whose keys are too old to be accepted again.
    fn remove_expired(&mut self) {
        let oldest = self.clock.minus_ms(self.limits.horizon_ms);
        while let Some((minted_at, key)) = self.by_age.first().cloned() {
            if oldest <= minted_at {
                return;
            }
            self.by_age.remove(&(minted_at, key.clone()));
            let is_settled =
                self.jobs.get(&key).is_some_and(|it| matches!(it.state, JobState::Settled(_)));
            if is_settled {
                self.remove_record(&key);
            }
        }
    }

    fn insert_record(&mut self, key: JobKey, record: JobRecord) {
        self.index_record(&key, &record);
        self.jobs.insert(key, record);
    }

    fn index_record(&mut self, key: &JobKey, record: &JobRecord) {
        self.n_bytes += record_bytes(key, record);
        if let Some(minted_at) = key.minted_at() {
            self.by_age.insert((minted_at, key.clone()));
        }
        if matches!(record.state, JobState::Running) {
            self.running.entry(record.owner.vm.clone()).or_default().insert(key.clone());
        }
    }

    fn remove_record(&mut self, key: &JobKey) -> Option<JobRecord> {
        let record = self.jobs.swap_remove(key)?;
        self.n_bytes = self.n_bytes.saturating_sub(record_bytes(key, &record));
        if let Some(minted_at) = key.minted_at() {
            self.by_age.remove(&(minted_at, key.clone()));
        }
        if let Some(keys) = self.running.get_mut(&record.owner.vm) {
            keys.swap_remove(key);
        }
        Some(record)
    }
}

fn record_bytes(key: &JobKey, record: &JobRecord) -> u64 {
    let outcome_bytes = match &record.state {
        JobState::Running => 0,
        JobState::Settled(outcome) => outcome.n_bytes(),
    };
    let closed_claim_bytes = CLOSED_CLAIM_BYTES * record.closed_claims.len() as u64;
    RECORD_OVERHEAD_BYTES + 2 * key.as_str().len() as u64 + outcome_bytes + closed_claim_bytes
}
