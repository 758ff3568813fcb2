//! Requests of an entry to log groups: calls of job traffic to ledgers, and reports of
//! ledger bootstraps to the control group. A request to a group with a replica on this VM
//! goes to that replica directly.

use indexmap::IndexMap;

use crate::{
    config_state::{BootstrapRank, ConfigAnswer, ConfigCommand},
    entry_node::{CallNumber, CallResult, EntryEffect, EntryNode, LedgerCall},
    job_ledger::{JobOutcome, LedgerAnswer, LedgerCommand},
    log_group::{ProposalAnswer, ProposalWaiter},
    peer_message::PeerMessage,
    prelude::*,
    proposal_client::{GroupRequest, OutgoingRequest, RequestResult},
    vm_layout::CONTROL_GROUP,
};

/// The purpose of a request sent by this VM.
#[derive(Clone, Debug)]
pub(crate) enum RequestPurpose {
    Call(CallNumber),
    Bootstrap(GroupName, GenerationId),
}

impl EntryNode {
    /// Begins a call to the ledger of its key's home.
    pub fn call(&mut self, number: CallNumber, call: LedgerCall, timeout_ms: u64, now: ClockTime) {
        let Some(home) = call.key().home(&self.centres) else {
            self.effects.push(EntryEffect::CompleteCall(number, CallResult::Unreachable));
            return;
        };
        let group = GroupName::from(home.as_str());
        let request = match call {
            LedgerCall::Claim(claim) => ledger_request(LedgerCommand::Claim(claim)),
            LedgerCall::Settle(claim, outcome) => {
                ledger_request(LedgerCommand::Settle(claim, outcome))
            }
            LedgerCall::Probe(key) => ledger_request(LedgerCommand::Probe(key)),
            LedgerCall::Await(key) => GroupRequest::Await(key),
        };
        self.begin_request(&group, request, RequestPurpose::Call(number), timeout_ms, now);
    }

    pub(crate) fn begin_request(
        &mut self,
        group: &GroupName,
        request: GroupRequest,
        purpose: RequestPurpose,
        timeout_ms: u64,
        now: ClockTime,
    ) {
        let vms = vms_of(&self.group_vms, group);
        let deadline = now.plus_ms(timeout_ms);
        let (request_number, send) = self.client.begin(group, request, vms, deadline, now);
        self.purposes.insert(request_number, purpose);
        self.send_requests(send, now);
    }

    pub(crate) fn send_requests(
        &mut self,
        sends: impl IntoIterator<Item = OutgoingRequest>,
        now: ClockTime,
    ) {
        for (vm, group, number, request) in sends {
            let waiter = ProposalWaiter { vm: self.settings.owner.vm.clone(), request: number };
            if vm == waiter.vm {
                self.handle_request(&group, waiter, request, now);
                continue;
            }
            let message = match request {
                GroupRequest::Propose(command) => PeerMessage::Propose(group, number, command),
                GroupRequest::Await(key) => PeerMessage::Await(group, number, key),
            };
            self.effects.push(EntryEffect::Send(vm, message));
        }
    }

    /// Passes a request to the local replica of its group.
    pub(crate) fn handle_request(
        &mut self,
        group: &GroupName,
        waiter: ProposalWaiter,
        request: GroupRequest,
        now: ClockTime,
    ) {
        let Some(ledger) = self.ledgers.get_mut(group) else { return };
        match request {
            GroupRequest::Propose(bytes) => {
                let Ok(command) = postcard::from_bytes::<LedgerCommand>(&bytes) else { return };
                ledger.propose(waiter, command, now);
            }
            GroupRequest::Await(key) => ledger.wait_for(waiter, &key),
        }
        self.run_effects(now);
    }

    pub(crate) fn handle_answer(
        &mut self,
        request: u64,
        from: &VmName,
        answer: ProposalAnswer,
        now: ClockTime,
    ) {
        let (end, send) = self.client.handle_answer(request, from, answer, now);
        self.send_requests(send, now);
        let Some(RequestResult::Applied(bytes)) = end else { return };
        let Some(purpose) = self.purposes.swap_remove(&request) else { return };
        match purpose {
            RequestPurpose::Call(number) => {
                let result = match postcard::from_bytes::<LedgerAnswer>(&bytes) {
                    Ok(answer) => CallResult::Answered(answer),
                    Err(_) => CallResult::Unreachable,
                };
                self.effects.push(EntryEffect::CompleteCall(number, result));
            }
            RequestPurpose::Bootstrap(group, generation) => {
                let answer = postcard::from_bytes::<ConfigAnswer>(&bytes);
                if answer == Ok(ConfigAnswer::BootstrapRecorded(BootstrapRank::First)) {
                    self.open_timeless(&group, generation, now);
                }
            }
        }
    }

    pub(crate) fn handle_awaited(&mut self, request: u64, outcome: Option<JobOutcome>) {
        self.client.end(request);
        if let Some(RequestPurpose::Call(number)) = self.purposes.swap_remove(&request) {
            self.effects.push(EntryEffect::CompleteCall(number, CallResult::Awaited(outcome)));
        }
    }

    pub(crate) fn tick_client(&mut self, now: ClockTime) {
        let group_vms = &self.group_vms;
        let (sends, expired) = self.client.tick(|group| vms_of(group_vms, group), now);
        self.send_requests(sends, now);
        for request in expired {
            if let Some(RequestPurpose::Call(number)) = self.purposes.swap_remove(&request) {
                self.effects.push(EntryEffect::CompleteCall(number, CallResult::Unreachable));
            }
        }
    }

    /// Reports bootstraps of ledgers led here to the control group, which decides whether
    /// the ledger may accept keys without a time.
    pub(crate) fn report_bootstraps(&mut self, now: ClockTime) {
        let mut unknown = Vec::new();
        for (group, ledger) in &self.ledgers {
            let Some(generation) = ledger.node().generation() else { continue };
            let is_reported = self.reported_bootstraps.get(group) == Some(&generation);
            if !is_reported
                && ledger.node().is_settled_leader()
                && !ledger.ledger().accepts_untimed_keys()
            {
                unknown.push((group.clone(), generation));
            }
        }
        for (group, generation) in unknown {
            self.reported_bootstraps.insert(group.clone(), generation);
            let centre = DataCentre::from(group.as_str());
            let command = ConfigCommand::RecordBootstrap(centre, generation);
            let bytes = postcard::to_stdvec(&command).unwrap_or_default();
            let purpose = RequestPurpose::Bootstrap(group, generation);
            let control = GroupName::from(CONTROL_GROUP);
            let timeout_ms = u64::MAX / 4;
            self.begin_request(&control, GroupRequest::Propose(bytes), purpose, timeout_ms, now);
        }
    }

    pub(crate) fn open_timeless(
        &mut self,
        group: &GroupName,
        generation: GenerationId,
        now: ClockTime,
    ) {
        let own_vm = self.settings.owner.vm.clone();
        let Some(ledger) = self.ledgers.get_mut(group) else { return };
        if ledger.node().generation() == Some(generation) {
            let waiter = ProposalWaiter { vm: own_vm, request: 0 };
            ledger.propose(waiter, LedgerCommand::AcceptUntimedKeys, now);
        }
        if !ledger.node().is_settled_leader() {
            // The new leader reports the bootstrap again.
            self.reported_bootstraps.swap_remove(group);
        }
    }
}

fn vms_of<'a>(group_vms: &'a IndexMap<GroupName, Vec<VmName>>, group: &GroupName) -> &'a [VmName] {
    group_vms.get(group).map_or(&[], Vec::as_slice)
}

fn ledger_request(command: LedgerCommand) -> GroupRequest {
    GroupRequest::Propose(postcard::to_stdvec(&command).unwrap_or_default())
}
