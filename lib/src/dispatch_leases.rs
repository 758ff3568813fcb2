//! The dispatcher's part in the leases: when to ask, what to lend, what to return.

use indexmap::IndexMap;

use crate::{
    job_dispatcher::{DispatchEffect, JobDispatcher},
    policy_settings::PlacementRule,
    prelude::*,
    slot_leases::{LeaseMessage, LeaseRule},
    workspace_template::WorkspaceLean,
};

/// Time between two requests to the same entry, in ms.
const ASK_INTERVAL_MS: u64 = 20;
/// Part of the own slots that must be wanted before others are asked.
const ASK_SHARE: u32 = 6;
/// Time without waiting tasks after which borrowed slots are returned, in ms.
const IDLE_MS: u64 = 100;
/// Share of the free slots of another entry that is worth asking for.
const MIN_PEER_FREE: u32 = 2;

impl JobDispatcher {
    /// Asks the entry with the most free slots for some, if tasks wait.
    pub(crate) fn ask_for_slots(&mut self, now: ClockTime) {
        if self.policy.leases != LeaseRule::Shares || self.queue.n_tasks() == 0 {
            return;
        }
        let n_wanted = self.n_wanted_slots();
        if n_wanted < self.min_wanted_slots() {
            return;
        }
        let vm = self.peers.iter().max_by_key(|(_, it)| it.n_free);
        let Some((vm, load)) = vm.filter(|(_, it)| MIN_PEER_FREE <= it.n_free) else { return };
        let vm = vm.clone();
        let n_free = load.n_free;
        let asked_at = self.asked_at.get(&vm).copied().unwrap_or_default();
        if now.since_ms(asked_at) < ASK_INTERVAL_MS {
            return;
        }
        self.asked_at.insert(vm.clone(), now);
        if let Some(load) = self.peers.get_mut(&vm) {
            // The entry will have fewer; its next report tells how many.
            load.n_free = load.n_free.saturating_sub(n_wanted);
        }
        self.send_lease(vm, LeaseMessage::Request(n_wanted.min(n_free)));
    }

    /// Waiting tasks of workspaces that lean to response time.
    fn n_wanted_slots(&self) -> u32 {
        let lanes = self.queue.lanes().filter(|(path, _)| {
            let spec = self.config.workspaces.get(&path.0);
            spec.is_none_or(|it| it.lean == WorkspaceLean::Response)
        });
        lanes.map(|(_, lane)| lane.n_tasks as u32).sum()
    }

    /// Waiting tasks that are worth a message: the own slots soon take fewer.
    fn min_wanted_slots(&self) -> u32 {
        let n_slots: u32 = self.endpoints.values().map(|it| it.lease.capacity()).sum();
        (n_slots / ASK_SHARE).max(1)
    }

    /// Takes a message about leases.
    pub fn handle_lease(&mut self, from: &VmName, message: LeaseMessage, now: ClockTime) {
        match message {
            LeaseMessage::Request(n_slots) => self.lend(from, n_slots, now),
            LeaseMessage::Lend(loans) => {
                if !self.members.contains(from) {
                    return;
                }
                for (name, n_slots) in loans {
                    if let Some(slots) = self.endpoints.get_mut(&name) {
                        slots.lease.borrow(from, n_slots, now);
                    }
                }
                self.dispatch(now);
            }
            LeaseMessage::Return(loans) => {
                for (name, n_slots) in loans {
                    if let Some(slots) = self.endpoints.get_mut(&name) {
                        slots.lease.reclaim(from, n_slots);
                    }
                }
                self.dispatch(now);
            }
        }
    }

    fn lend(&mut self, to: &VmName, n_slots: u32, now: ClockTime) {
        self.recalled.insert(to.clone());
        let names: Vec<EndpointName> = self.endpoints.keys().cloned().collect();
        for name in &names {
            self.return_recalled(name);
        }
        if self.queue.n_tasks() != 0 {
            return;
        }
        let mut order: Vec<(f64, EndpointName)> =
            names.into_iter().map(|it| (self.estimates.slowdown(&it), it)).collect();
        if self.policy.placement == PlacementRule::ExpectedFinish {
            order.sort_by(|lhs, rhs| lhs.0.total_cmp(&rhs.0));
        }
        let mut n_left = n_slots;
        let mut loans = Vec::new();
        for (_, name) in order {
            let trust = self.quarantine.trust(&name, now);
            let Some(slots) = self.endpoints.get_mut(&name) else { continue };
            if !slots.accepts_work {
                continue;
            }
            let n_free = slots.n_free(trust, now);
            let n_lent = slots.lease.lend(to, n_left, n_free, now);
            if 0 < n_lent {
                n_left -= n_lent;
                loans.push((name, n_lent));
            }
        }
        if !loans.is_empty() {
            self.send_lease(to.clone(), LeaseMessage::Lend(loans));
        }
    }

    /// Returns free borrowed slots of an endpoint to entries that asked for slots.
    pub(crate) fn return_recalled(&mut self, endpoint: &EndpointName) {
        if self.recalled.is_empty() {
            return;
        }
        let Some(slots) = self.endpoints.get_mut(endpoint) else { return };
        if slots.lease.n_borrowed() == 0 {
            return;
        }
        let n_free = slots.lease.capacity().saturating_sub(slots.in_flight.len() as u32);
        let mut returned = Vec::new();
        for lender in &self.recalled {
            returned.extend(slots.lease.return_borrowed(n_free, Some(lender)));
        }
        for (vm, n_slots) in returned {
            self.send_lease(vm, LeaseMessage::Return(vec![(endpoint.clone(), n_slots)]));
        }
    }

    /// Returns borrowed slots once no task has waited for a while.
    pub(crate) fn return_idle(&mut self, now: ClockTime) {
        if now.since_ms(self.idle_since) < IDLE_MS {
            return;
        }
        self.recalled.clear();
        let mut by_vm: IndexMap<VmName, Vec<(EndpointName, u32)>> = IndexMap::new();
        for (name, slots) in &mut self.endpoints {
            let n_free = slots.lease.capacity().saturating_sub(slots.in_flight.len() as u32);
            for (vm, n_slots) in slots.lease.return_borrowed(n_free, None) {
                by_vm.entry(vm).or_default().push((name.clone(), n_slots));
            }
        }
        for (vm, loans) in by_vm {
            self.send_lease(vm, LeaseMessage::Return(loans));
        }
    }

    fn send_lease(&mut self, to: VmName, message: LeaseMessage) {
        self.counts.n_lease_messages += 1;
        self.effects.push(DispatchEffect::SendLease(to, message));
    }
}
