//! Requests to a log group from a VM that may not know its leader.
//!
//! A request is sent to the last known leader, then to the leader named in a refusal, then
//! to each replica in turn. It may reach the log more than once, so its command must
//! be safe to apply twice.

use indexmap::IndexMap;

use crate::{log_group::ProposalAnswer, prelude::*};

/// Time without an answer after which a request is sent again, in ms.
const RESEND_MS: u64 = 250;
/// Time before another replica is tried when none knows the leader, in ms.
const NO_LEADER_PAUSE_MS: u64 = 40;

/// A request to a log group.
#[derive(Data!)]
pub enum GroupRequest {
    /// Commit and apply a command.
    Propose(Vec<u8>),
    /// Wait for a job's outcome.
    Await(JobKey),
}

/// The result of a request.
#[derive(Data!)]
pub enum RequestResult {
    /// The state machine's answer.
    Applied(Vec<u8>),
    /// No answer came in time; a command may have been applied.
    Expired,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
struct PendingRequest {
    group: GroupName,
    request: GroupRequest,
    deadline: ClockTime,
    resend_at: ClockTime,
    n_sent: usize,
}

/// Requests of one VM to any groups.
#[derive(Clone, Debug, Default)]
pub struct ProposalClient {
    next_request: u64,
    pending: IndexMap<u64, PendingRequest>,
    leaders: IndexMap<GroupName, VmName>,
    n_resent: u64,
}

/// A request to send to a VM.
pub type OutgoingRequest = (VmName, GroupName, u64, GroupRequest);

impl ProposalClient {
    /// A client whose request numbers start after `first`.
    pub fn new(first: u64) -> ProposalClient {
        ProposalClient { next_request: first, ..ProposalClient::default() }
    }

    /// Requests sent more than once.
    pub fn n_resent(&self) -> u64 {
        self.n_resent
    }

    /// Records the leader of a group.
    pub fn set_leader(&mut self, group: &GroupName, vm: &VmName) {
        if self.leaders.get(group) != Some(vm) {
            self.leaders.insert(group.clone(), vm.clone());
        }
    }

    /// Begins a request to `group`, whose replicas run on `vms`.
    pub fn begin(
        &mut self,
        group: &GroupName,
        request: GroupRequest,
        vms: &[VmName],
        deadline: ClockTime,
        now: ClockTime,
    ) -> (u64, Option<OutgoingRequest>) {
        self.next_request += 1;
        let number = self.next_request;
        let pending =
            PendingRequest { group: group.clone(), request, deadline, resend_at: now, n_sent: 0 };
        self.pending.insert(number, pending);
        (number, self.send(number, vms, now))
    }

    /// Handles an answer; returns the request's result or where to send it next.
    pub fn handle_answer(
        &mut self,
        number: u64,
        from: &VmName,
        answer: ProposalAnswer,
        now: ClockTime,
    ) -> (Option<RequestResult>, Option<OutgoingRequest>) {
        match answer {
            ProposalAnswer::Applied(bytes) => {
                let Some(pending) = self.pending.swap_remove(&number) else { return (None, None) };
                self.set_leader(&pending.group, from);
                (Some(RequestResult::Applied(bytes)), None)
            }
            ProposalAnswer::NotLeader(leader) => {
                let Some(pending) = self.pending.get_mut(&number) else { return (None, None) };
                let group = pending.group.clone();
                match leader.filter(|it| it != from) {
                    Some(leader) => {
                        self.leaders.insert(group, leader.clone());
                        (None, self.send(number, &[leader], now))
                    }
                    None => {
                        pending.resend_at = now.plus_ms(NO_LEADER_PAUSE_MS);
                        if self.leaders.get(&group) == Some(from) {
                            self.leaders.swap_remove(&group);
                        }
                        (None, None)
                    }
                }
            }
        }
    }

    /// Drops a request that was answered another way.
    pub fn end(&mut self, number: u64) {
        self.pending.swap_remove(&number);
    }

    /// Returns the requests to send again, and the numbers of those past their deadline.
    pub fn tick<'a>(
        &mut self,
        vms_of: impl Fn(&GroupName) -> &'a [VmName],
        now: ClockTime,
    ) -> (Vec<OutgoingRequest>, Vec<u64>) {
        let expired: Vec<u64> =
            self.pending.iter().filter(|(_, it)| it.deadline <= now).map(|(id, _)| *id).collect();
        for number in &expired {
            self.pending.swap_remove(number);
        }
        let due: Vec<(u64, GroupName)> = self
            .pending
            .iter()
            .filter(|(_, it)| it.resend_at <= now)
            .map(|(id, it)| (*id, it.group.clone()))
            .collect();
        let mut sends = Vec::new();
        for (number, group) in due {
            let is_silent = self.pending.get(&number).is_some_and(|it| 0 < it.n_sent);
            if is_silent {
                // The last known leader does not answer.
                self.leaders.swap_remove(&group);
            }
            sends.extend(self.send(number, vms_of(&group), now));
        }
        (sends, expired)
    }

    fn send(&mut self, number: u64, vms: &[VmName], now: ClockTime) -> Option<OutgoingRequest> {
        let pending = self.pending.get_mut(&number)?;
        let leader = self.leaders.get(&pending.group).filter(|it| vms.contains(it));
        let vm = match leader {
            Some(leader) => leader.clone(),
            None => vms.get(pending.n_sent % vms.len().max(1))?.clone(),
        };
        if 0 < pending.n_sent {
            self.n_resent += 1;
        }
        pending.n_sent += 1;
        pending.resend_at = now.plus_ms(RESEND_MS);
        Some((vm, pending.group.clone(), number, pending.request.clone()))
    }
}
