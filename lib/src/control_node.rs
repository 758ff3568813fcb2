//! The state of a control VM: its replica of the configuration, and its peers.
//!
//! Each entry point takes the time and one event; effects are drained with
//! [`ControlNode::take_effects`]. Store effects come before the sends that depend on
//! them.

use indexmap::IndexMap;

use crate::{
    config_state::{ConfigAnswer, ConfigChange, ConfigCommand, ConfigImage, ConfigState},
    entry_node::CallNumber,
    job_dispatcher::PeerLoad,
    job_ledger::OwnerId,
    log_group::{GroupEffect, LogGroup, ProposalAnswer, ProposalWaiter, StateFunctions},
    peer_message::{PeerDatagram, PeerMessage},
    peer_table::{PeerHeartbeat, PeerTable},
    prelude::*,
    proposal_client::{GroupRequest, ProposalClient, RequestEnd, RequestSend},
    replica_effect::{HardState, StoreEffect},
    replica_log::ReplicaLog,
    replica_node::{FoundingRule, ReplicaNode, ReplicaRole, ReplicaSettings, SnapshotRule},
    vm_layout::{CONTROL_GROUP, VmLayout, VmRole},
};

/// Entries after which the log is compacted.
const COMPACT_ENTRIES: usize = 256;
/// Time between heartbeats to other VMs, in ms.
const HEARTBEAT_MS: u64 = 500;

/// Settings of a control VM.
#[derive(Data!)]
pub struct ControlSettings {
    /// This process.
    pub owner: OwnerId,
    /// All VMs.
    pub layout: VmLayout,
    /// Shortest silence of a leader before an election, in ms.
    pub election_ms: u64,
    /// Time between a leader's heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// Seed of all jitter.
    pub seed: u64,
}

/// Something for the surroundings to do.
#[derive(Data!)]
pub enum ControlEffect {
    /// Change the durable state.
    Store(StoreEffect),
    /// Send a message by TCP.
    Send(VmName, PeerMessage),
    /// Send a message by UDP.
    SendDatagram(VmName, PeerDatagram),
    /// A change was answered.
    EndChange(CallNumber, Result<u64, RequestError>),
    /// The role has changed.
    Role(ReplicaRole),
    /// A configuration version is in force here.
    Version(u64),
}

/// The state of a control VM.
pub struct ControlNode {
    settings: ControlSettings,
    centre: DataCentre,
    group_vms: Vec<VmName>,
    group: LogGroup<ConfigState>,
    client: ProposalClient,
    calls: IndexMap<u64, CallNumber>,
    peers: PeerTable,
    pushed_version: u64,
    heartbeat_at: ClockTime,
    effects: Vec<ControlEffect>,
}

impl ControlNode {
    /// The state after a start, with what the disk held.
    ///
    /// # Panics
    ///
    /// When the layout does not name this VM.
    pub fn new(
        settings: ControlSettings,
        stored: Option<(HardState, ReplicaLog)>,
        now: ClockTime,
    ) -> ControlNode {
        let own = settings.layout.vm(&settings.owner.vm).expect("the layout names this VM");
        let centre = own.centre.clone();
        let group_vms = settings.layout.with_role(VmRole::Control);
        let replica_settings = ReplicaSettings {
            vms: group_vms.clone(),
            witness: None,
            founding_rule: FoundingRule::All,
            snapshot_rule: SnapshotRule::Kept,
            election_ms: settings.election_ms,
            heartbeat_ms: settings.heartbeat_ms,
            clock_skew_ms: 0,
            seed: settings.seed,
        };
        let node = match stored {
            Some((hard, log)) => ReplicaNode::from_stored(replica_settings, hard, log, now),
            None => {
                let vm = settings.owner.vm.clone();
                let id = ReplicaId { vm, incarnation: settings.owner.incarnation };
                ReplicaNode::new_fresh(replica_settings, id, now)
            }
        };
        let functions = StateFunctions {
            found: Box::new(|_| ConfigState::default()),
            apply: Box::new(apply_command),
            encode: Box::new(ConfigState::encode),
            decode: Box::new(|bytes| ConfigState::decode(bytes).ok()),
        };
        let mut control = ControlNode {
            client: ProposalClient::new(now.0 << 20),
            settings,
            centre,
            group_vms,
            group: LogGroup::new(node, functions, COMPACT_ENTRIES),
            calls: IndexMap::new(),
            peers: PeerTable::new(),
            pushed_version: 0,
            heartbeat_at: now,
            effects: Vec::new(),
        };
        control.carry_out(now);
        control
    }

    /// Drains the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<ControlEffect> {
        std::mem::take(&mut self.effects)
    }

    /// The configuration as applied here.
    pub fn state(&self) -> &ConfigState {
        self.group.state()
    }

    /// The replica.
    pub fn node(&self) -> &ReplicaNode {
        self.group.node()
    }

    /// The other VMs.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Begins a change; its end comes as an effect.
    pub fn change(
        &mut self,
        number: CallNumber,
        change: ConfigChange,
        span_ms: u64,
        now: ClockTime,
    ) {
        let command = ConfigCommand::Change(change, now);
        let bytes = postcard::to_stdvec(&command).unwrap_or_default();
        let group = GroupName::from(CONTROL_GROUP);
        let request = GroupRequest::Propose(bytes);
        let deadline = now.plus_ms(span_ms);
        let (request, send) = self.client.begin(&group, request, &self.group_vms, deadline, now);
        self.calls.insert(request, number);
        self.send_requests(send, now);
    }

    fn send_requests(&mut self, sends: impl IntoIterator<Item = RequestSend>, now: ClockTime) {
        for (vm, group, request, body) in sends {
            let GroupRequest::Propose(command) = body else { continue };
            let waiter = ProposalWaiter { vm: self.settings.owner.vm.clone(), request };
            if vm == waiter.vm {
                self.group.propose(waiter, command);
                self.carry_out(now);
            } else {
                let message = PeerMessage::Propose(group, request, command);
                self.effects.push(ControlEffect::Send(vm, message));
            }
        }
    }

    /// Takes a message that came by TCP.
    pub fn receive(&mut self, from: &VmName, message: PeerMessage, now: ClockTime) {
        match message {
            PeerMessage::Replica(_, message) => self.group.receive(message, now),
            PeerMessage::Propose(_, request, command) => {
                let waiter = ProposalWaiter { vm: from.clone(), request };
                self.group.propose(waiter, command);
            }
            PeerMessage::Proposed(request, answer) => self.take_answer(request, from, answer, now),
            PeerMessage::ConfigPull(version) => self.push_config(from, version),
            PeerMessage::Await(..)
            | PeerMessage::Awaited(..)
            | PeerMessage::Cancel(_)
            | PeerMessage::Lease(_)
            | PeerMessage::ConfigPush(_) => {}
        }
        self.carry_out(now);
    }

    fn push_config(&mut self, to: &VmName, version: u64) {
        let image: &ConfigImage = self.group.state().image();
        if version < image.version {
            let message = PeerMessage::ConfigPush(image.since(version));
            self.effects.push(ControlEffect::Send(to.clone(), message));
        }
    }

    fn take_answer(&mut self, request: u64, from: &VmName, answer: ProposalAnswer, now: ClockTime) {
        let (end, send) = self.client.take_answer(request, from, answer, now);
        self.send_requests(send, now);
        let Some(RequestEnd::Applied(bytes)) = end else { return };
        let Some(number) = self.calls.swap_remove(&request) else { return };
        let result = match postcard::from_bytes(&bytes) {
            Ok(ConfigAnswer::Accepted(version)) => Ok(version),
            Ok(ConfigAnswer::Refused(error)) => Err(error),
            Ok(ConfigAnswer::Founding(_)) | Err(_) => {
                Err(RequestError::new(ErrorKind::Internal, "the answer is not one to a change"))
            }
        };
        self.effects.push(ControlEffect::EndChange(number, result));
    }

    /// Takes a message that came by UDP.
    pub fn receive_datagram(&mut self, from: &VmName, datagram: PeerDatagram, now: ClockTime) {
        if let PeerDatagram::Heartbeat(heartbeat) = datagram
            && heartbeat.owner.vm == *from
        {
            let version = heartbeat.config_version;
            self.peers.take(heartbeat, now);
            let is_entry = self.settings.layout.vm(from).is_some_and(|it| it.role == VmRole::Entry);
            // An entry that lags is sent what it lacks, as its own pull may be lost.
            if is_entry && self.node().role() == ReplicaRole::Leader {
                self.push_config(from, version);
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: ClockTime) {
        self.group.tick(now);
        self.carry_out(now);
        let vms = &self.group_vms;
        let (sends, expired) = self.client.tick(|_| vms.as_slice(), now);
        self.send_requests(sends, now);
        for request in expired {
            if let Some(number) = self.calls.swap_remove(&request) {
                let message = "no control leader answered in time";
                let error = RequestError::new(ErrorKind::NoLeader, message);
                self.effects.push(ControlEffect::EndChange(number, Err(error)));
            }
        }
        if self.heartbeat_at <= now {
            self.heartbeat_at = now.plus_ms(HEARTBEAT_MS);
            self.send_heartbeats();
        }
    }

    fn send_heartbeats(&mut self) {
        let heartbeat = PeerHeartbeat {
            owner: self.settings.owner.clone(),
            centre: self.centre.clone(),
            config_version: self.state().image().version,
            stopping: false,
            load: PeerLoad::default(),
        };
        for vm in self.settings.layout.vms() {
            if vm.name != self.settings.owner.vm {
                let datagram = PeerDatagram::Heartbeat(heartbeat.clone());
                self.effects.push(ControlEffect::SendDatagram(vm.name.clone(), datagram));
            }
        }
    }

    /// Sends what was proposed.
    pub fn flush(&mut self, now: ClockTime) {
        self.group.flush(now);
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: ClockTime) {
        let own_vm = self.settings.owner.vm.clone();
        for effect in self.group.take_effects() {
            match effect {
                GroupEffect::Store(it) => self.effects.push(ControlEffect::Store(it)),
                GroupEffect::Send(vm, message) => {
                    let group = GroupName::from(CONTROL_GROUP);
                    let message = PeerMessage::Replica(group, message);
                    self.effects.push(ControlEffect::Send(vm, message));
                }
                GroupEffect::Answer(waiter, answer) if waiter.vm == own_vm => {
                    self.take_answer(waiter.request, &own_vm, answer, now);
                }
                GroupEffect::Answer(waiter, answer) => {
                    let message = PeerMessage::Proposed(waiter.request, answer);
                    self.effects.push(ControlEffect::Send(waiter.vm, message));
                }
                GroupEffect::Role(role) => self.effects.push(ControlEffect::Role(role)),
                GroupEffect::Reborn(_) => {}
            }
        }
        self.push_new_version();
    }

    /// Pushes a version to every entry as soon as it is applied by the leader.
    fn push_new_version(&mut self) {
        let version = self.group.state().image().version;
        if version <= self.pushed_version {
            return;
        }
        let former_version = std::mem::replace(&mut self.pushed_version, version);
        self.effects.push(ControlEffect::Version(version));
        if self.node().role() == ReplicaRole::Leader {
            for vm in self.settings.layout.with_role(VmRole::Entry) {
                let known = self.peers.peers().find(|it| it.heartbeat.owner.vm == vm);
                let version = known.map_or(0, |it| it.heartbeat.config_version);
                self.push_config(&vm, version.min(former_version));
            }
        }
    }
}

fn apply_command(state: &mut ConfigState, bytes: &[u8]) -> Vec<u8> {
    let command: ConfigCommand = postcard::from_bytes(bytes)
        .expect("a committed command decodes with the code that made it");
    postcard::to_stdvec(&state.apply(command)).unwrap_or_default()
}
