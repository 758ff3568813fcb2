//! Membership of the control group across restarts.

use yuccamux::{
    cell::{cell_message::CellHeartbeat, route_plan::RoutePlan},
    config_state::{ConfigAnswer, ConfigCommand, ConfigState, ControlGroup, StoredPlan},
    control_node::{ControlEffect, ControlNode, ControlSettings, GroupRule},
    group_members::{GroupMembers, MemberSwap},
    job_ledger::OwnerId,
    peer_message::PeerDatagram,
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

/// After a restart of all VMs no entry knows another one. Each must learn of the others from the
/// answer to its first heartbeat, and not from the control VM's next one half a second later.
#[test]
fn entry_that_starts_learns_of_the_others_at_once() {
    let mut control = ControlNode::new(settings(&["10.0.0.1"]), None, START);
    control.tick(START);
    let mut now = START;
    for entry in ["10.0.0.7", "10.0.0.8"] {
        control.drain_effects();
        now = now.plus_ms(20);
        let heartbeat = CellHeartbeat {
            owner: OwnerId { vm: VmName::from(entry), incarnation: 1 },
            sent_at: now,
            role: VmRole::Entry,
            centre: DataCentre::from("munich"),
            weight: 250,
            plan_version: 0,
            stopping: false,
            members: Vec::new(),
            group: ControlGroup::default(),
            cells: Vec::new(),
        };
        let datagram = PeerDatagram::CellHeartbeat(heartbeat);
        control.handle_datagram(&VmName::from(entry), datagram, now);
    }
    let told = control.drain_effects().into_iter().find_map(|it| match it {
        ControlEffect::SendCellHeartbeat(vms, heartbeat) => Some((vms, heartbeat.members)),
        _ => None,
    });
    let (first, second) = (VmName::from("10.0.0.7"), VmName::from("10.0.0.8"));
    assert_eq!(told, Some((vec![second.clone()], vec![first, second])));
}

/// The replica finds changes of the group in the log by the number of their command, which must
/// not change, or a restart would fall back to an older group.
#[test]
fn change_of_the_group_is_found_in_its_encoded_form() {
    let vms = vec![VmName::from("10.0.0.1"), VmName::from("10.0.0.4")];
    let encode = |it: &ConfigCommand| postcard::to_stdvec(it).unwrap();
    let command = encode(&ConfigCommand::SetGroup(vms.clone()));
    let members = GroupMembers { vms: vms.clone(), swap: None };
    assert_eq!(ConfigState::group_in_command(&command), Some(members.clone()));
    let mut state = ConfigState::default();
    assert_eq!(ConfigState::group_in_state(&state.encode()), None);
    state.apply(ConfigCommand::SetGroup(vms.clone()));
    assert_eq!(ConfigState::group_in_state(&state.encode()), Some(members.clone()));
    // States that were stored before there were swaps end without the last byte.
    let mut former = state.encode();
    assert_eq!(former.pop(), Some(0));
    assert_eq!(ConfigState::group_in_state(&former), Some(members));
    let swap = MemberSwap { leaving: vms[0].clone(), joining: vms[1].clone() };
    let begun = ConfigCommand::BeginSwap(vms.clone(), swap.clone());
    let members = GroupMembers { vms, swap: Some(swap) };
    assert_eq!(ConfigState::group_in_command(&encode(&begun)), Some(members.clone()));
    state.apply(begun);
    assert_eq!(ConfigState::group_in_state(&state.encode()), Some(members));
    let centre = DataCentre::from("munich");
    let others = [
        ConfigCommand::ReadPlan,
        ConfigCommand::RecordBootstrap(centre, GenerationId(4)),
        ConfigCommand::PutPlan(StoredPlan { plan: RoutePlan::default(), source: String::new() }),
    ];
    for other in others {
        assert_eq!(ConfigState::group_in_command(&encode(&other)), None, "{other:?}");
    }
}

/// A group that names no VM has no majority; in force, it would end the group for good.
#[test]
fn group_without_a_vm_is_refused() {
    let mut state = ConfigState::default();
    let vms = vec![VmName::from("10.0.0.1")];
    state.apply(ConfigCommand::SetGroup(vms.clone()));
    let empty = ConfigCommand::SetGroup(Vec::new());
    assert_eq!(ConfigState::group_in_command(&postcard::to_stdvec(&empty).unwrap()), None);
    let answer = state.apply(empty);
    assert!(
        matches!(&answer, ConfigAnswer::Refused(it) if it.kind == ErrorKind::InvalidChange),
        "{answer:?}"
    );
    assert_eq!(state.group().vms, vms);
}
