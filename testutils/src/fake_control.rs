//! A control VM of a world: its process and its disk.

use yuccamux::{
    control_node::{ControlEffect, ControlNode, ControlSettings, GroupRule},
    job_ledger::OwnerId,
    prelude::*,
    replica_effect::{HardState, StoreEffect},
    replica_log::ReplicaLog,
    vm_layout::VmLayout,
};

/// A disk that holds what was synced.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    hard: Option<HardState>,
    log: ReplicaLog,
}

impl FakeDisk {
    /// What a restart finds.
    pub fn stored(&self) -> Option<(HardState, ReplicaLog)> {
        Some((self.hard.clone()?, self.log.clone()))
    }

    /// Writes and syncs changes.
    pub fn commit(&mut self, effects: Vec<StoreEffect>) {
        for effect in effects {
            match effect {
                StoreEffect::SaveState(hard) => self.hard = Some(hard),
                StoreEffect::Append(entries) => {
                    entries.into_iter().for_each(|it| self.log.push(it))
                }
                StoreEffect::TruncateFrom(index) => self.log.truncate_from(index),
                StoreEffect::SaveSnapshot(snapshot) => self.log.install(snapshot),
                StoreEffect::Reset(hard) => {
                    self.hard = Some(hard);
                    self.log = ReplicaLog::default();
                }
            }
        }
    }
}

/// A control VM's process.
pub struct FakeControl {
    /// State.
    pub node: ControlNode,
}

impl FakeControl {
    /// A process that starts now on a disk.
    pub fn new(vm: &VmName, layout: &VmLayout, disk: &FakeDisk, now: ClockTime) -> FakeControl {
        let settings = ControlSettings {
            group_rule: GroupRule::Static,
            owner: OwnerId { vm: vm.clone(), incarnation: now.0 },
            layout: layout.clone(),
            election_ms: 600,
            heartbeat_ms: 150,
            seed: now.0,
        };
        FakeControl { node: ControlNode::new(settings, disk.stored(), now) }
    }

    /// Flushes, writes to the disk, and returns what leaves the process.
    pub fn take_outputs(&mut self, disk: &mut FakeDisk, now: ClockTime) -> Vec<ControlEffect> {
        self.node.flush(now);
        let mut stores = Vec::new();
        let mut others = Vec::new();
        for effect in self.node.drain_effects() {
            match effect {
                ControlEffect::Store(it) => stores.push(it),
                it => others.push(it),
            }
        }
        disk.commit(stores);
        others
    }

    /// Dies between a change and its sync: nothing is written and nothing leaves.
    pub fn die_before_sync(mut self, now: ClockTime) -> usize {
        self.node.flush(now);
        let effects = self.node.drain_effects();
        effects.iter().filter(|it| matches!(it, ControlEffect::Store(_))).count()
    }
}
