//! Membership of the control group across restarts.

use yuccamux::{
    control_node::{ControlEffect, ControlNode, ControlSettings, GroupRule},
    job_ledger::OwnerId,
    prelude::*,
    replica_effect::{HardState, StoreEffect},
    replica_log::ReplicaLog,
    replica_node::ReplicaRole,
    vm_layout::{VmLayout, VmRole, VmSpec},
};

const START: ClockTime = ClockTime(1_000_000);

fn settings(bootstrap_vms: &[&str]) -> ControlSettings {
    let vm = VmName::from("10.0.0.1");
    ControlSettings {
        owner: OwnerId { vm: vm.clone(), incarnation: 5 },
        layout: VmLayout::new(vec![VmSpec {
            role: VmRole::Control,
            name: vm,
            centre: DataCentre::from("munich"),
            address: "10.0.0.1:1".to_owned(),
        }]),
        group_rule: GroupRule::Dynamic {
            bootstrap_vms: bootstrap_vms.iter().map(|it| VmName::from(*it)).collect(),
            seeds: Vec::new(),
            n_wanted: 3,
        },
        election_ms: 100,
        heartbeat_ms: 30,
        seed: 1,
    }
}

#[test]
fn founders_are_stored_before_anything_else() {
    let mut control =
        ControlNode::new(settings(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), None, START);
    let stored = control.drain_effects().into_iter().rev().find_map(|it| match it {
        ControlEffect::Store(StoreEffect::SaveState(hard)) => Some(hard.vms.len()),
        _ => None,
    });
    assert_eq!(stored, Some(3));
}

/// A restarted control VM whose stored state names no group members must not elect itself.
#[test]
fn replica_that_does_not_know_its_group_never_leads() {
    let id = ReplicaId { vm: VmName::from("10.0.0.1"), incarnation: 5 };
    let hard = HardState {
        id: id.clone(),
        generation: Some(GenerationId(1)),
        bootstrap_vote: None,
        term: 3,
        vote: None,
        vms: Vec::new(),
    };
    let mut log = ReplicaLog::default();
    log.install(yuccamux::replica_log::LogSnapshot {
        index: 1,
        term: 1,
        voters: std::iter::once(id).collect(),
        fence: START,
        state: Vec::new(),
    });
    let mut control = ControlNode::new(settings(&[]), Some((hard, log)), START);
    for step in 1..200 {
        control.tick(START.plus_ms(step * 20));
        assert_ne!(control.node().role(), ReplicaRole::Leader);
    }
}
