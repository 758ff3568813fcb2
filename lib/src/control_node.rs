//! The state of a control VM: its replica of the configuration, and its peers.
//!
//! Each entry point takes the time and one event; effects are drained with
//! [`ControlNode::drain_effects`]. Store effects come before the sends that depend on
//! them.

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_message::{CellHeartbeat, CellMessage},
        endpoint_directory::{DirectoryChange, EndpointRecord},
        membership_service::MembershipService,
        tolerance_watch::{ToleranceChange, ToleranceWatch},
    },
    config_state::{
        ConfigAnswer, ConfigChange, ConfigCommand, ConfigImage, ConfigState, StoredPlan,
    },
    entry_node::CallNumber,
    group_members::{GroupMembers, MemberSwap},
    job_dispatcher::PeerLoad,
    job_ledger::OwnerId,
    log_group::{GroupEffect, LogGroup, ProposalAnswer, ProposalWaiter, StateFunctions},
    peer_message::{PeerDatagram, PeerMessage},
    peer_table::{PeerHeartbeat, PeerTable},
    prelude::*,
    proposal_client::{GroupRequest, OutgoingRequest, ProposalClient, RequestResult},
    replica_effect::{HardState, StoreEffect},
    replica_log::ReplicaLog,
    replica_node::{
        BootstrapRule, GroupReader, ReplicaNode, ReplicaRole, ReplicaSettings, SnapshotRule,
    },
    vm_layout::{CONTROL_GROUP, VmLayout, VmRole},
};

/// Entries after which the log is compacted. A replica that lost its disk is sent the
/// state and at most this many entries, each as large as all routes.
const COMPACT_ENTRIES: usize = 32;
/// Time between heartbeats to other VMs, in ms.
const HEARTBEAT_MS: u64 = 500;
/// Time after which a plan is sent again to an entry that lags, in ms.
const PLAN_RESEND_MS: u64 = 200;

/// How the control group's VMs are known.
#[derive(Data!)]
pub enum GroupRule {
    /// All are listed in the layout.
    Static,
    /// These VMs, if any, bootstrap the group, which grows to a given size.
    Dynamic {
        /// VMs that bootstrap the group at the first start; empty at any other.
        bootstrap_vms: Vec<VmName>,
        /// Control VMs to ask for the group.
        seeds: Vec<VmName>,
        /// VMs that the group should have.
        n_wanted: usize,
    },
}

/// Settings of a control VM.
#[derive(Data!)]
pub struct ControlSettings {
    /// This process.
    pub owner: OwnerId,
    /// All VMs that are known at the start.
    pub layout: VmLayout,
    /// How the group's VMs are known.
    pub group_rule: GroupRule,
    /// Election timeout: shortest time without a leader's message before an election, in ms.
    pub election_ms: u64,
    /// Time between a leader's heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// Seed of all jitter.
    pub seed: u64,
}

/// An action for the host to run.
#[derive(Data!)]
pub enum ControlEffect {
    /// Change the durable state.
    Store(StoreEffect),
    /// Send a message by TCP.
    Send(VmName, PeerMessage),
    /// Send a message by UDP.
    SendDatagram(VmName, PeerDatagram),
    /// A change was answered.
    AnswerChange(CallNumber, Result<u64, RequestError>),
    /// The plan was read.
    AnswerPlanRead(CallNumber, Result<Option<StoredPlan>, RequestError>),
    /// Send a heartbeat by UDP, after all other effects.
    SendCellHeartbeat(Vec<VmName>, CellHeartbeat),
    /// Endpoint updates that a VM may lack were sent to it.
    EndpointsRepeated {
        /// The VM.
        vm: VmName,
        /// Number of endpoints.
        n_updates: u64,
        /// Time from which on the updates were first sent; zero if the VM may lack all.
        since: ClockTime,
    },
    /// The alarm on the group's tolerance has changed.
    ToleranceChanged(ToleranceChange),
    /// Another group is in force here, from when it was appended to this VM's log.
    GroupChanged(GroupMembers),
    /// The role has changed.
    RoleChanged(ReplicaRole),
    /// A configuration version is in force here.
    Version(u64),
}

/// The state of a control VM.
pub struct ControlNode {
    pub(crate) settings: ControlSettings,
    pub(crate) centre: DataCentre,
    group_vms: Vec<VmName>,
    group_swap: Option<MemberSwap>,
    pub(crate) group: LogGroup<ConfigState>,
    client: ProposalClient,
    calls: IndexMap<u64, CallNumber>,
    peers: PeerTable,
    pushed_version: u64,
    heartbeat_at: ClockTime,
    pub(crate) membership: MembershipService,
    pushed_plan: u64,
    plan_sent: IndexMap<VmName, (u64, ClockTime)>,
    pub(crate) group_checked_at: ClockTime,
    pub(crate) announced_group: u64,
    pub(crate) pending_vm: Option<(VmName, ClockTime)>,
    pub(crate) withdrawn_vm: Option<VmName>,
    pub(crate) awaits_log_since: Option<ClockTime>,
    pub(crate) tolerance: ToleranceWatch,
    pub(crate) stopping: bool,
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
        let (group_vms, bootstrap_rule) = match &settings.group_rule {
            GroupRule::Static => (settings.layout.with_role(VmRole::Control), BootstrapRule::All),
            GroupRule::Dynamic { bootstrap_vms, .. } => {
                (bootstrap_vms.clone(), BootstrapRule::Recorded)
            }
        };
        let replica_settings = ReplicaSettings {
            vms: group_vms.clone(),
            witness: None,
            bootstrap_rule,
            snapshot_rule: SnapshotRule::Kept,
            election_ms: settings.election_ms,
            heartbeat_ms: settings.heartbeat_ms,
            clock_skew_ms: 0,
            seed: settings.seed,
        };
        let is_new = stored.is_none();
        let node = match stored {
            Some((hard, log)) => ReplicaNode::from_stored(replica_settings, hard, log, now),
            None => {
                let vm = settings.owner.vm.clone();
                let id = ReplicaId { vm, incarnation: settings.owner.incarnation };
                ReplicaNode::new_fresh(replica_settings, id, now)
            }
        };
        let node = match &settings.group_rule {
            GroupRule::Static => node,
            GroupRule::Dynamic { bootstrap_vms, .. } => {
                let mut node = node.with_group_reader(GroupReader {
                    in_command: ConfigState::group_in_command,
                    in_state: ConfigState::group_in_state,
                });
                if is_new && bootstrap_vms.contains(&settings.owner.vm) {
                    node.permit_bootstrap();
                }
                node
            }
        };
        let functions = StateFunctions {
            initial_state: Box::new(|_| ConfigState::default()),
            apply: Box::new(apply_command),
            encode: Box::new(ConfigState::encode),
            decode: Box::new(|bytes| ConfigState::decode(bytes).ok()),
        };
        let membership = MembershipService::new(settings.owner.clone(), centre.clone());
        let group_vms = node.vms().to_vec();
        let mut control = ControlNode {
            membership,
            pushed_plan: 0,
            plan_sent: IndexMap::new(),
            group_checked_at: now,
            announced_group: 0,
            pending_vm: None,
            withdrawn_vm: None,
            awaits_log_since: None,
            tolerance: ToleranceWatch::default(),
            stopping: false,
            client: ProposalClient::new(now.0 << 20),
            settings,
            centre,
            group_vms,
            group_swap: None,
            group: LogGroup::new(node, functions, COMPACT_ENTRIES),
            calls: IndexMap::new(),
            peers: PeerTable::new(),
            pushed_version: 0,
            heartbeat_at: now,
            effects: Vec::new(),
        };
        if !control.group_vms.is_empty()
            && matches!(control.settings.group_rule, GroupRule::Dynamic { .. })
        {
            // A later start is given no group, so it must be stored before the first vote.
            let vms = control.group_vms.clone();
            control.group.learn_vms(&vms);
        }
        control.run_effects(now);
        control
    }

    /// Drains the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<ControlEffect> {
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

    /// Whether the group has borne fewer losses than it should for longer than it may.
    pub fn is_tolerance_alarmed(&self) -> bool {
        self.tolerance.is_alarmed()
    }

    /// Begins a change; its result is returned as an effect.
    pub fn change(
        &mut self,
        number: CallNumber,
        change: ConfigChange,
        timeout_ms: u64,
        now: ClockTime,
    ) {
        self.begin(number, &ConfigCommand::Change(change, now), timeout_ms, now);
    }

    /// Begins to put routes in force; the version then in force is returned as an effect.
    pub fn put_plan(
        &mut self,
        number: CallNumber,
        plan: StoredPlan,
        timeout_ms: u64,
        now: ClockTime,
    ) {
        self.begin(number, &ConfigCommand::PutPlan(plan), timeout_ms, now);
    }

    /// Begins to read the routes in force, as of a position in the log after this call.
    pub fn read_plan(&mut self, number: CallNumber, timeout_ms: u64, now: ClockTime) {
        self.begin(number, &ConfigCommand::ReadPlan, timeout_ms, now);
    }

    fn begin(
        &mut self,
        number: CallNumber,
        command: &ConfigCommand,
        timeout_ms: u64,
        now: ClockTime,
    ) {
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        let group = GroupName::from(CONTROL_GROUP);
        let request = GroupRequest::Propose(bytes);
        let deadline = now.plus_ms(timeout_ms);
        let (request, send) = self.client.begin(&group, request, &self.group_vms, deadline, now);
        self.calls.insert(request, number);
        self.send_requests(send, now);
    }

    fn send_requests(&mut self, sends: impl IntoIterator<Item = OutgoingRequest>, now: ClockTime) {
        for (vm, group, request, body) in sends {
            let GroupRequest::Propose(command) = body else { continue };
            let waiter = ProposalWaiter { vm: self.settings.owner.vm.clone(), request };
            if vm == waiter.vm {
                self.group.propose(waiter, command);
                self.run_effects(now);
            } else {
                let message = PeerMessage::Propose(group, request, command);
                self.effects.push(ControlEffect::Send(vm, message));
            }
        }
    }

    /// Handles a message received by TCP.
    pub fn handle_message(&mut self, from: &VmName, message: PeerMessage, now: ClockTime) {
        match message {
            PeerMessage::Replica(_, message) => self.group.handle_message(message, now),
            PeerMessage::Propose(_, request, command) => {
                let waiter = ProposalWaiter { vm: from.clone(), request };
                self.group.propose(waiter, command);
            }
            PeerMessage::Proposed(request, answer) => {
                self.handle_answer(request, from, answer, now)
            }
            PeerMessage::ConfigPull(version) => self.push_config(from, version),
            PeerMessage::Cell(CellMessage::Endpoints(records)) => {
                self.membership.merge(records, now);
                self.send_endpoint_updates(now);
            }
            PeerMessage::Cell(CellMessage::EndpointsRequest) => {
                self.membership.handle_message_loss(from, ClockTime::default());
                self.repeat_missed_updates(from, now);
            }
            PeerMessage::Cell(_)
            | PeerMessage::Await(..)
            | PeerMessage::Awaited(..)
            | PeerMessage::Cancel(_)
            | PeerMessage::Lease(_)
            | PeerMessage::ConfigPush(_) => {}
        }
        self.run_effects(now);
    }

    fn push_config(&mut self, to: &VmName, version: u64) {
        let image: &ConfigImage = self.group.state().image();
        if version < image.version {
            let message = PeerMessage::ConfigPush(image.since(version));
            self.effects.push(ControlEffect::Send(to.clone(), message));
        }
    }

    fn handle_answer(
        &mut self,
        request: u64,
        from: &VmName,
        answer: ProposalAnswer,
        now: ClockTime,
    ) {
        let (end, send) = self.client.handle_answer(request, from, answer, now);
        self.send_requests(send, now);
        let Some(RequestResult::Applied(bytes)) = end else { return };
        let Some(number) = self.calls.swap_remove(&request) else { return };
        let result = match postcard::from_bytes(&bytes) {
            Ok(ConfigAnswer::PlanRead(plan)) => {
                self.effects.push(ControlEffect::AnswerPlanRead(number, Ok(plan)));
                return;
            }
            Ok(ConfigAnswer::Accepted(version) | ConfigAnswer::PlanInForce(version)) => Ok(version),
            Ok(ConfigAnswer::Refused(error)) => Err(error),
            Ok(ConfigAnswer::BootstrapRecorded(_) | ConfigAnswer::GroupSet) | Err(_) => {
                Err(RequestError::new(ErrorKind::Internal, "the answer is not one to a change"))
            }
        };
        self.effects.push(ControlEffect::AnswerChange(number, result));
    }

    /// Handles a message received by UDP.
    pub fn handle_datagram(&mut self, from: &VmName, datagram: PeerDatagram, now: ClockTime) {
        if let PeerDatagram::CellHeartbeat(heartbeat) = datagram {
            if heartbeat.owner.vm == *from {
                self.handle_cell_heartbeat(heartbeat, now);
            }
            return;
        }
        if let PeerDatagram::Heartbeat(heartbeat) = datagram
            && heartbeat.owner.vm == *from
        {
            let version = heartbeat.config_version;
            self.peers.handle_heartbeat(heartbeat, now);
            let is_entry = self.settings.layout.vm(from).is_some_and(|it| it.role == VmRole::Entry);
            // An entry that lags is sent the changes it lacks, as its own pull may be lost.
            if is_entry && self.node().role() == ReplicaRole::Leader {
                self.push_config(from, version);
            }
        }
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: ClockTime) {
        self.group.tick(now);
        self.run_effects(now);
        let vms = &self.group_vms;
        let (sends, expired) = self.client.tick(|_| vms.as_slice(), now);
        self.send_requests(sends, now);
        for request in expired {
            if let Some(number) = self.calls.swap_remove(&request) {
                let message = "no control leader answered in time";
                let error = RequestError::new(ErrorKind::NoLeader, message);
                self.effects.push(ControlEffect::AnswerChange(number, Err(error)));
            }
        }
        if self.heartbeat_at <= now {
            self.heartbeat_at = now.plus_ms(HEARTBEAT_MS);
            match self.settings.group_rule {
                GroupRule::Static => self.send_heartbeats(),
                GroupRule::Dynamic { .. } => self.send_cell_heartbeats(now),
            }
            self.send_endpoint_updates(now);
            if let Some(change) = self.tolerance.observe(self.group_health(now), now) {
                self.effects.push(ControlEffect::ToleranceChanged(change));
            }
        }
        self.change_group(now);
    }

    /// Handles the announcement of an endpoint.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) -> DirectoryChange {
        let change = self.membership.announce(record, now);
        if change == DirectoryChange::Changed {
            self.send_endpoint_updates(now);
        }
        change
    }

    /// Handles the notice that an endpoint has left.
    pub fn leave(&mut self, name: &EndpointName, now: ClockTime) -> DirectoryChange {
        let change = self.membership.mark_gone(name);
        if change == DirectoryChange::Changed {
            self.send_endpoint_updates(now);
        }
        change
    }

    /// Handles the report that messages sent to a VM at `since` or later may not have arrived.
    pub fn handle_message_loss(&mut self, vm: &VmName, since: ClockTime) {
        self.membership.handle_message_loss(vm, since);
    }

    /// Transfers leadership and tells the other VMs that this one stops.
    pub fn stop(&mut self, now: ClockTime) {
        self.stopping = true;
        self.prepare_stop(now);
        self.group.transfer_leadership();
        self.send_cell_heartbeats(now);
    }

    fn send_endpoint_updates(&mut self, now: ClockTime) {
        for (vm, message) in self.membership.drain_updates(now) {
            self.effects.push(ControlEffect::Send(vm, PeerMessage::Cell(message)));
        }
    }

    fn handle_cell_heartbeat(&mut self, heartbeat: CellHeartbeat, now: ClockTime) {
        let vm = heartbeat.owner.vm.clone();
        let (role, version, group) =
            (heartbeat.role, heartbeat.plan_version, heartbeat.group.clone());
        let is_found = self.membership.handle_heartbeat(heartbeat, now);
        self.repeat_missed_updates(&vm, now);
        if is_found {
            // A VM that starts learns of the others at once.
            let (_, own) = self.cell_heartbeat(now);
            self.effects.push(ControlEffect::SendCellHeartbeat(vec![vm.clone()], own));
        }
        if role == VmRole::Entry && self.node().role() == ReplicaRole::Leader {
            self.push_plan(&vm, version, now);
        }
        if role == VmRole::Control {
            self.follow_announced_group(&group, now);
        }
    }

    /// Sends a VM that was just heard the endpoint updates that it may lack.
    fn repeat_missed_updates(&mut self, vm: &VmName, now: ClockTime) {
        let Some(missed) = self.membership.take_missed_updates(vm, now) else { return };
        self.effects.push(ControlEffect::EndpointsRepeated {
            vm: vm.clone(),
            n_updates: missed.records.len() as u64,
            since: missed.since,
        });
        let message = PeerMessage::Cell(CellMessage::Endpoints(missed.records));
        self.effects.push(ControlEffect::Send(vm.clone(), message));
    }

    /// Sends the plan to an entry that has only `version`.
    fn push_plan(&mut self, vm: &VmName, version: u64, now: ClockTime) {
        let Some(stored) = self.group.state().plan() else { return };
        // Version 0 may be the first plan that was put.
        if stored.plan.version <= version && version != 0 {
            return;
        }
        let sent = self.plan_sent.get(vm);
        let is_sent = |(sent, at): &(u64, ClockTime)| {
            *sent == stored.plan.version && now.since_ms(*at) < PLAN_RESEND_MS
        };
        if sent.is_some_and(is_sent) {
            return;
        }
        self.plan_sent.insert(vm.clone(), (stored.plan.version, now));
        let message = PeerMessage::Cell(CellMessage::Plan(stored.plan.clone()));
        self.effects.push(ControlEffect::Send(vm.clone(), message));
    }

    /// Pushes a plan to every entry as soon as it is applied by the leader.
    fn push_new_plan(&mut self, now: ClockTime) {
        let version = self.group.state().plan().map_or(0, |it| it.plan.version);
        if version <= self.pushed_plan {
            return;
        }
        self.pushed_plan = version;
        self.effects.push(ControlEffect::Version(version));
        if self.node().role() == ReplicaRole::Leader {
            let entries =
                self.membership.live_peers(now).filter(|(it, _)| it.role == VmRole::Entry);
            let vms: Vec<VmName> = entries.map(|(it, _)| it.owner.vm.clone()).collect();
            for vm in vms {
                self.push_plan(&vm, 0, now);
            }
        }
    }

    fn send_cell_heartbeats(&mut self, now: ClockTime) {
        let (vms, heartbeat) = self.cell_heartbeat(now);
        self.effects.push(ControlEffect::SendCellHeartbeat(vms, heartbeat));
    }

    /// The heartbeat of this VM, and who gets it.
    fn cell_heartbeat(&self, now: ClockTime) -> (Vec<VmName>, CellHeartbeat) {
        let seeds: &[VmName] = match &self.settings.group_rule {
            GroupRule::Dynamic { seeds, .. } => seeds,
            GroupRule::Static => &[],
        };
        let plan_version = self.state().plan().map_or(0, |it| it.plan.version);
        let group = self.state().group();
        // A VM that joins has no state yet, but must be heard by a leader that is no seed.
        let mut vms = seeds.to_vec();
        vms.extend(self.group_vms.iter().cloned());
        self.membership.heartbeats(plan_version, group, self.stopping, &vms, now)
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
        self.run_effects(now);
    }

    pub(crate) fn run_effects(&mut self, now: ClockTime) {
        let own_vm = self.settings.owner.vm.clone();
        for effect in self.group.drain_effects() {
            match effect {
                GroupEffect::Store(it) => self.effects.push(ControlEffect::Store(it)),
                GroupEffect::Send(vm, message) => {
                    let group = GroupName::from(CONTROL_GROUP);
                    let message = PeerMessage::Replica(group, message);
                    self.effects.push(ControlEffect::Send(vm, message));
                }
                GroupEffect::Answer(waiter, answer) if waiter.vm == own_vm => {
                    self.handle_answer(waiter.request, &own_vm, answer, now);
                }
                GroupEffect::Answer(waiter, answer) => {
                    let message = PeerMessage::Proposed(waiter.request, answer);
                    self.effects.push(ControlEffect::Send(waiter.vm, message));
                }
                GroupEffect::RoleChanged(role) => {
                    self.effects.push(ControlEffect::RoleChanged(role))
                }
                // The next announcement names the group to join, which may be newer than the
                // one that the former log held.
                GroupEffect::NewIncarnation(_) => self.announced_group = 0,
            }
        }
        let members = self.node().members();
        if self.group_vms != members.vms || self.group_swap != members.swap {
            let members = members.clone();
            self.group_vms.clone_from(&members.vms);
            self.group_swap.clone_from(&members.swap);
            self.effects.push(ControlEffect::GroupChanged(members));
        }
        self.push_new_version();
        self.push_new_plan(now);
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
