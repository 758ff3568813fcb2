//! Slot leases in the dispatcher: when to request slots, what to lend, what to return.

use indexmap::IndexMap;

use crate::{
    job_dispatcher::{DispatchEffect, JobDispatcher},
    policy_settings::PlacementRule,
    prelude::*,
    slot_leases::{LeaseMessage, LeaseRule},
    workspace_template::WorkspaceLean,
};

/// Shortest time between two requests to the same entry, in ms.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Slots are requested once this fraction (one over the constant) of the own slots is wanted.
const MIN_REQUEST_DIVISOR: u32 = 6;
/// Time without waiting tasks after which borrowed slots are returned, in ms.
const IDLE_RETURN_MS: u64 = 100;
/// Fewest free slots of another entry that are worth a request.
const MIN_PEER_FREE_SLOTS: u32 = 2;

impl JobDispatcher {
    /// Requests slots from the entry with the most free ones, if tasks wait.
    pub(crate) fn request_slots(&mut self, now: ClockTime) {
        if self.policy.leases != LeaseRule::Shares || self.queue.n_tasks() == 0 {
            return;
        }
        let n_wanted = self.n_wanted_slots();
        if n_wanted < self.min_wanted_slots() {
            return;
        }
        let vm = self.peers.iter().max_by_key(|(_, it)| it.n_free);
        let Some((vm, load)) = vm.filter(|(_, it)| MIN_PEER_FREE_SLOTS <= it.n_free) else {
            return;
        };
        let vm = vm.clone();
        let n_free = load.n_free;
        let slots_requested_at = self.slots_requested_at.get(&vm).copied().unwrap_or_default();
        if now.since_ms(slots_requested_at) < REQUEST_INTERVAL_MS {
            return;
        }
        self.slots_requested_at.insert(vm.clone(), now);
        if let Some(load) = self.peers.get_mut(&vm) {
            // Assumes that the request is granted, until the entry's next load report.
            load.n_free = load.n_free.saturating_sub(n_wanted);
        }
        self.send_lease(vm, LeaseMessage::Request(n_wanted.min(n_free)));
    }

    /// Waiting tasks of workspaces that prefer short response times to few messages.
    fn n_wanted_slots(&self) -> u32 {
        let lanes = self.queue.lanes().filter(|(path, _)| {
            let spec = self.config.workspaces.get(&path.0);
            spec.is_none_or(|it| it.lean == WorkspaceLean::Response)
        });
        lanes.map(|(_, lane)| lane.n_tasks as u32).sum()
    }

    /// Fewest waiting tasks that are worth a request: own slots soon free up for fewer.
    fn min_wanted_slots(&self) -> u32 {
        let n_slots: u32 = self.endpoints.values().map(|it| it.lease.capacity()).sum();
        (n_slots / MIN_REQUEST_DIVISOR).max(1)
    }

    /// Handles a lease message from another entry.
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
        self.slot_requesters.insert(to.clone());
        let names: Vec<EndpointName> = self.endpoints.keys().cloned().collect();
        for name in &names {
            self.return_requested_slots(name);
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

    /// Returns free borrowed slots of an endpoint to lenders that requested slots since.
    pub(crate) fn return_requested_slots(&mut self, endpoint: &EndpointName) {
        if self.slot_requesters.is_empty() {
            return;
        }
        let Some(slots) = self.endpoints.get_mut(endpoint) else { return };
        if slots.lease.n_borrowed() == 0 {
            return;
        }
        let n_free = slots.lease.capacity().saturating_sub(slots.in_flight.len() as u32);
        let mut returned = Vec::new();
        for lender in &self.slot_requesters {
            returned.extend(slots.lease.return_borrowed(n_free, Some(lender)));
        }
        for (vm, n_slots) in returned {
            self.send_lease(vm, LeaseMessage::Return(vec![(endpoint.clone(), n_slots)]));
        }
    }

    /// Returns borrowed slots after `IDLE_RETURN_MS` without waiting tasks.
    pub(crate) fn return_idle_slots(&mut self, now: ClockTime) {
        if now.since_ms(self.idle_since) < IDLE_RETURN_MS {
            return;
        }
        self.slot_requesters.clear();
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
