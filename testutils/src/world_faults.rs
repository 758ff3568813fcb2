//! What breaks in a world, and how it is mended.

use rand::{RngExt, seq::IndexedRandom};
use yuccamux::{prelude::*, vm_layout::VmRole};

use crate::{
    fake_control::{FakeControl, FakeDisk},
    fake_endpoint::EndpointFault,
    fault_plan::FaultKind,
    message_bag::BagFaults,
    system_world::{SystemWorld, WorldEvent},
};

impl SystemWorld {
    pub(crate) fn next_fault(&mut self) {
        if self.quiet_from <= self.now {
            return;
        }
        let wait_ms = self.plan.next_ms(&mut self.rng);
        self.at(wait_ms, WorldEvent::Fault);
        let Some(kind) = self.plan.draw(&mut self.rng) else { return };
        if self.break_something(kind).is_some() {
            *self.faults.entry(kind).or_default() += 1;
        }
    }

    /// Does what a fault says; nothing when there is nothing left to break.
    pub(crate) fn break_something(&mut self, kind: FaultKind) -> Option<()> {
        match kind {
            FaultKind::KillEntry => {
                let vm = self.random_entry()?;
                self.restart_entry_later(&vm, 6_000);
            }
            FaultKind::KillSecondAfterRepair => {
                let vm = self.random_entry()?;
                let centre = self.layout.vm(&vm)?.centre.clone();
                let others = self.layout.ledger_vms(&centre);
                let second = others.iter().find(|it| **it != vm)?.clone();
                self.kill_entry(&vm);
                let repaired_ms = self.rng.random_range(100..1_500);
                self.at(repaired_ms, WorldEvent::StartEntry(vm));
                let second_ms = repaired_ms + self.rng.random_range(0..800);
                self.at(second_ms, WorldEvent::KillEntry(second.clone()));
                self.at(second_ms + 2_000, WorldEvent::StartEntry(second));
            }
            FaultKind::KillCentre | FaultKind::KillLedgerMajority => {
                let centres = self.layout.centres();
                let centre = centres.choose(&mut self.rng)?.clone();
                let mut vms = match kind {
                    FaultKind::KillCentre => self.layout.entries_in(&centre),
                    _ => self.layout.ledger_vms(&centre),
                };
                if kind == FaultKind::KillLedgerMajority {
                    vms.truncate(vms.len() / 2 + 1);
                }
                for vm in vms {
                    self.restart_entry_later(&vm, 3_000);
                }
            }
            FaultKind::FreezeEntry => {
                let vm = self.random_entry()?;
                self.freeze(vm, 9_000);
            }
            FaultKind::StopEntry => {
                let vm = self.random_entry()?;
                if self.frozen.contains(&vm) || self.stopping.contains_key(&vm) {
                    return None;
                }
                let clock = self.clock_of(&vm);
                self.entries.get_mut(&vm)?.node.stop(clock);
                self.drain_entry(&vm);
                self.stopping.insert(vm, self.now);
            }
            FaultKind::KillControl => {
                let vm = self.random_control()?;
                self.kill_control(&vm)?;
            }
            FaultKind::EmptyControlDisk => {
                // One disk at a time: with a majority of them the state is gone.
                let n_controls = self.layout.with_role(VmRole::Control).len();
                let ids: Vec<&ReplicaId> =
                    self.controls.values().map(|it| it.node.node().id()).collect();
                let knows_all =
                    |it: &FakeControl| ids.iter().all(|id| it.node.node().voters().contains(*id));
                let is_whole = ids.len() == n_controls && self.controls.values().all(knows_all);
                if !is_whole || !self.frozen.is_empty() {
                    return None;
                }
                let vm = self.random_control()?;
                self.kill_control(&vm)?;
                self.disks.insert(vm, FakeDisk::default());
            }
            FaultKind::FreezeControl => {
                let vm = self.random_control()?;
                self.freeze(vm, 12_000);
            }
            FaultKind::CutCentre | FaultKind::CutCentreOneWay => {
                let centres = self.layout.centres();
                let centre = centres.choose(&mut self.rng)?.clone();
                self.cut_centre(&centre, kind);
                self.heal_later(9_000);
            }
            FaultKind::CutPair => {
                let vms: Vec<VmName> = self.layout.vms().iter().map(|it| it.name.clone()).collect();
                let lhs = vms.choose(&mut self.rng)?;
                let rhs = vms.choose(&mut self.rng)?;
                self.bag.cut(lhs, rhs);
                self.bag.cut(rhs, lhs);
                self.heal_later(5_000);
            }
            FaultKind::KillEndpoint
            | FaultKind::FailEndpoint
            | FaultKind::StallEndpoint
            | FaultKind::RefuseEndpoint
            | FaultKind::LeaveEndpoint => self.break_endpoint(kind)?,
            FaultKind::CancelWave => {
                let open = self.record.submissions.values().filter(|it| it.answer.is_none());
                let keys: Vec<JobKey> = open.map(|it| it.key.clone()).collect();
                for key in keys {
                    if self.rng.random_bool(0.5) {
                        self.at(0, WorldEvent::Cancel { key });
                    }
                }
            }
        }
        Some(())
    }

    pub(crate) fn freeze(&mut self, vm: VmName, longest_ms: u64) {
        let span_ms = self.rng.random_range(200..longest_ms);
        self.frozen.insert(vm.clone());
        self.at(span_ms, WorldEvent::Thaw(vm));
    }

    pub(crate) fn kill_control(&mut self, vm: &VmName) -> Option<()> {
        let clock = self.clock_of(vm);
        let control = self.controls.swap_remove(vm)?;
        control.die_before_sync(clock);
        self.frozen.swap_remove(vm);
        self.frozen_inbox.swap_remove(vm);
        let lost: Vec<_> = self.changes.keys().filter(|(it, _)| it == vm).cloned().collect();
        for call in lost {
            // The operator has no answer and sends the change again.
            let change = self.changes.swap_remove(&call)?;
            let delay_ms = self.rng.random_range(100..4_000);
            self.at(delay_ms, WorldEvent::Resend(change));
        }
        let delay_ms = self.rng.random_range(50..5_000);
        self.at(delay_ms, WorldEvent::StartControl(vm.clone()));
        Some(())
    }

    pub(crate) fn cut_centre(&mut self, centre: &DataCentre, kind: FaultKind) {
        let vms = self.layout.vms().to_vec();
        for inner in vms.iter().filter(|it| it.centre == *centre) {
            for outer in vms.iter().filter(|it| it.centre != *centre) {
                self.bag.cut(&inner.name, &outer.name);
                if kind == FaultKind::CutCentre {
                    self.bag.cut(&outer.name, &inner.name);
                }
            }
        }
    }

    pub(crate) fn heal_later(&mut self, longest_ms: u64) {
        self.whole_since = ClockTime(u64::MAX);
        let span_ms = self.rng.random_range(200..longest_ms);
        self.at(span_ms, WorldEvent::Heal);
    }

    pub(crate) fn break_endpoint(&mut self, kind: FaultKind) -> Option<()> {
        let names: Vec<EndpointName> = self.endpoints.keys().cloned().collect();
        let name = names.choose(&mut self.rng)?.clone();
        let span_ms = self.rng.random_range(500..6_000);
        let now = self.now;
        let endpoint = self.endpoints.get_mut(&name)?;
        if endpoint.fault != EndpointFault::None || endpoint.record.leaving {
            return None;
        }
        match kind {
            FaultKind::KillEndpoint => {
                let reports = endpoint.die();
                self.at(span_ms, WorldEvent::RestartEndpoint(name.clone()));
                for report in reports {
                    self.at(5, WorldEvent::Report { endpoint: name.clone(), report });
                }
            }
            FaultKind::LeaveEndpoint => {
                endpoint.record.leaving = true;
                endpoint.leaving_since = Some(now);
                self.at(8_000 + span_ms, WorldEvent::RestartEndpoint(name.clone()));
            }
            FaultKind::FailEndpoint => endpoint.fault = EndpointFault::FailAll,
            FaultKind::StallEndpoint => endpoint.fault = EndpointFault::Stall,
            _ => endpoint.fault = EndpointFault::Refuse,
        }
        if matches!(
            kind,
            FaultKind::FailEndpoint | FaultKind::StallEndpoint | FaultKind::RefuseEndpoint
        ) {
            self.at(span_ms, WorldEvent::MendEndpoint(name));
        }
        Some(())
    }

    pub(crate) fn mend_endpoint(&mut self, name: &EndpointName) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if endpoint.fault != EndpointFault::Down {
            endpoint.fault = EndpointFault::None;
        }
        for running in endpoint.running.values_mut() {
            running.ends_at.get_or_insert(now);
        }
    }

    /// Ends all faults.
    pub(crate) fn mend_all(&mut self) {
        self.bag.heal();
        let faults = BagFaults { drop: 0.0, repeat: 0.0, max_delay_ms: 5 };
        self.bag.set_faults(faults);
        self.whole_since = self.now;
        for vm in self.frozen.clone() {
            self.thaw(&vm);
        }
        for name in self.endpoints.keys().cloned().collect::<Vec<_>>() {
            self.mend_endpoint(&name);
        }
    }
}
