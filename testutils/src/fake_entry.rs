//! An entry of a world: control state, dispatcher and submissions of one process.

use indexmap::IndexMap;
use yuccamux::{
    entry_node::{CallNumber, CallResult, EntryEffect, EntryNode, EntrySettings},
    job_dispatcher::{DispatchEffect, JobDispatcher},
    job_ledger::{JobClaim, JobOutcome, LedgerLimits, OwnerId},
    job_run::{JobNumber, JobSpec, RepeatRule, TaskSpec},
    job_submission::{JobSubmission, KeyOrigin, SubmissionStep},
    peer_message::{PeerDatagram, PeerMessage},
    policy_settings::PolicySettings,
    prelude::*,
    vm_layout::VmLayout,
};

/// A submission as sent to an entry.
#[derive(Clone, Debug)]
pub struct CallerJob {
    /// Number of the submission in the world.
    pub number: u64,
    /// Key.
    pub key: JobKey,
    /// Number of tasks.
    pub n_tasks: u32,
    /// When its answer is of no more use, by the entry's clock.
    pub deadline: ClockTime,
    /// Whether its tasks may start again.
    pub repeat_rule: RepeatRule,
    /// Random number of its claim.
    pub nonce: u64,
}

/// What leaves an entry's process.
#[derive(Clone, Debug)]
pub enum EntryOutput {
    /// A message to another VM.
    Send(VmName, PeerMessage),
    /// A datagram to another VM.
    SendDatagram(VmName, PeerDatagram),
    /// A task or a cancel to an endpoint.
    Dispatch(DispatchEffect),
    /// The answer to a submission.
    Answer(u64, Result<JobOutcome, RequestError>),
}

struct ActiveSubmission {
    job: CallerJob,
    submission: JobSubmission,
}

/// An entry's process.
pub struct FakeEntry {
    /// Control state.
    pub node: EntryNode,
    /// Dispatcher.
    pub dispatcher: JobDispatcher,
    /// Life of the process.
    pub incarnation: u64,
    vm: VmName,
    submissions: IndexMap<u64, ActiveSubmission>,
    calls: IndexMap<CallNumber, Option<u64>>,
    next_call: u64,
    jobs: IndexMap<JobNumber, u64>,
    steps: Vec<(u64, SubmissionStep)>,
    outputs: Vec<EntryOutput>,
    endpoints_version: u64,
    endpoints_at: ClockTime,
}

impl FakeEntry {
    /// A process that starts now.
    pub fn new(
        vm: &VmName,
        layout: &VmLayout,
        limits: LedgerLimits,
        policy: PolicySettings,
        now: ClockTime,
    ) -> FakeEntry {
        let owner = OwnerId { vm: vm.clone(), incarnation: now.0 };
        let settings = EntrySettings {
            owner,
            layout: layout.clone(),
            limits,
            election_ms: 400,
            heartbeat_ms: 100,
            compact_entries: 64,
            seed: now.0,
        };
        FakeEntry {
            node: EntryNode::new(settings, now),
            dispatcher: JobDispatcher::new(vm.clone(), policy, now.0),
            incarnation: now.0,
            vm: vm.clone(),
            submissions: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: 0,
            jobs: IndexMap::new(),
            steps: Vec::new(),
            outputs: Vec::new(),
            endpoints_version: u64::MAX,
            endpoints_at: ClockTime::default(),
        }
    }

    /// Submissions without an answer.
    pub fn n_open(&self) -> usize {
        self.submissions.len()
    }

    /// The submission that a job of the dispatcher belongs to.
    pub fn submission_of(&self, job: JobNumber) -> Option<u64> {
        self.jobs.get(&job).copied()
    }

    /// Takes a submission.
    pub fn submit(&mut self, job: CallerJob, now: ClockTime) {
        let claim = JobClaim {
            key: job.key.clone(),
            digest: [0; 16],
            owner: OwnerId { vm: self.vm.clone(), incarnation: self.incarnation },
            nonce: job.nonce,
        };
        let admitted = self.node.check_ready(now).and_then(|()| {
            let kinds = vec![KindName::from("task"); job.n_tasks as usize];
            self.dispatcher.admit(&WorkspaceName::from("work"), &kinds, job.deadline, now)
        });
        let mut submission = JobSubmission::new(claim, KeyOrigin::Caller, job.deadline);
        let step = submission.begin(admitted);
        let number = job.number;
        self.submissions.insert(number, ActiveSubmission { job, submission });
        self.steps.push((number, step));
        self.settle_steps(now);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: ClockTime) {
        self.node.tick(now);
        self.dispatcher.tick(now);
        let load = self.dispatcher.own_load(now);
        self.node.set_own_load(load);
        self.report_endpoints(now);
        self.settle_steps(now);
    }

    fn report_endpoints(&mut self, now: ClockTime) {
        let version = self.node.endpoints().version();
        if version == self.endpoints_version && now.since_ms(self.endpoints_at) < 250 {
            return;
        }
        self.endpoints_version = version;
        self.endpoints_at = now;
        let members = self.node.members(now);
        self.dispatcher.set_endpoints(self.node.endpoints().endpoints(), &members, now);
    }

    /// Carries out everything that stays inside the process; returns what leaves it.
    pub fn take_outputs(&mut self, now: ClockTime) -> Vec<EntryOutput> {
        self.settle_steps(now);
        std::mem::take(&mut self.outputs)
    }

    fn settle_steps(&mut self, now: ClockTime) {
        loop {
            self.node.flush(now);
            for effect in self.node.drain_effects() {
                self.take_node_effect(effect, now);
            }
            for effect in self.dispatcher.drain_effects() {
                self.take_dispatch_effect(effect);
            }
            if self.steps.is_empty() {
                return;
            }
            for (number, step) in std::mem::take(&mut self.steps) {
                self.take_step(number, step, now);
            }
        }
    }

    fn take_node_effect(&mut self, effect: EntryEffect, now: ClockTime) {
        match effect {
            EntryEffect::Send(vm, message) => self.outputs.push(EntryOutput::Send(vm, message)),
            EntryEffect::SendDatagram(vm, datagram) => {
                self.outputs.push(EntryOutput::SendDatagram(vm, datagram));
            }
            EntryEffect::CompleteCall(call, end) => self.end_call(call, end, now),
            EntryEffect::ApplyConfig(config) => self.dispatcher.apply_config(config, now),
            EntryEffect::HandleLease(vm, message) => {
                self.dispatcher.handle_lease(&vm, message, now)
            }
            EntryEffect::RecordPeerLoad(vm, load) => self.dispatcher.set_peer_load(&vm, load),
            EntryEffect::Cancel(key) => self.dispatcher.cancel(&key, now),
            EntryEffect::Role(..) | EntryEffect::NewIncarnation(..) => {}
        }
    }

    fn end_call(&mut self, call: CallNumber, end: CallResult, now: ClockTime) {
        let Some(Some(number)) = self.calls.swap_remove(&call) else { return };
        let Some(active) = self.submissions.get_mut(&number) else { return };
        let step = active.submission.handle_call_result(end, now);
        self.steps.push((number, step));
    }

    fn take_dispatch_effect(&mut self, effect: DispatchEffect) {
        match effect {
            DispatchEffect::SendLease(vm, message) => {
                self.outputs.push(EntryOutput::Send(vm, PeerMessage::Lease(message)));
            }
            DispatchEffect::Finish(job, result) => {
                let Some(number) = self.jobs.swap_remove(&job) else { return };
                let Some(active) = self.submissions.get_mut(&number) else { return };
                let outcome = match result {
                    Ok(outputs) => JobOutcome::Complete(outputs.concat()),
                    Err(error) => JobOutcome::Failed(error),
                };
                let step = active.submission.handle_job_result(outcome);
                self.steps.push((number, step));
            }
            effect => self.outputs.push(EntryOutput::Dispatch(effect)),
        }
    }

    fn take_step(&mut self, number: u64, step: SubmissionStep, now: ClockTime) {
        match step {
            SubmissionStep::Call(call, span_ms) => {
                let call_number = self.new_call(Some(number));
                self.node.call(call_number, call, span_ms, now);
            }
            SubmissionStep::Dispatch => {
                let Some(active) = self.submissions.get(&number) else { return };
                let spec = job_spec(&active.job);
                let job = self.dispatcher.submit(spec, now);
                self.jobs.insert(job, number);
            }
            SubmissionStep::Answer(result) => self.answer(number, result),
            SubmissionStep::AnswerAndWithdraw(error, call, span_ms) => {
                self.answer(number, Err(error));
                let call_number = self.new_call(None);
                self.node.call(call_number, call, span_ms, now);
            }
        }
    }

    fn new_call(&mut self, number: Option<u64>) -> CallNumber {
        self.next_call += 1;
        let call = CallNumber(self.next_call);
        self.calls.insert(call, number);
        call
    }

    fn answer(&mut self, number: u64, result: Result<JobOutcome, RequestError>) {
        self.submissions.swap_remove(&number);
        self.outputs.push(EntryOutput::Answer(number, result));
    }
}

fn job_spec(job: &CallerJob) -> JobSpec {
    let task = TaskSpec { kind: KindName::from("task"), declared_ms: None };
    JobSpec {
        key: job.key.clone(),
        workspace: WorkspaceName::from("work"),
        tasks: vec![task; job.n_tasks as usize],
        deadline: job.deadline,
        repeat_rule: job.repeat_rule,
    }
}
