//! The control state of an entry: ledgers, peers, endpoints and configuration.
//!
//! One thread owns it. Each method takes the time and one event; effects are drained
//! with [`EntryNode::drain_effects`]. Job traffic uses it through calls, whose results
//! are returned as effects.

use indexmap::IndexMap;

use crate::{
    config_state::{ConfigDelta, ConfigImage, MergeOutcome},
    endpoint_table::{EndpointRecord, EndpointTable},
    entry_requests::RequestPurpose,
    job_dispatcher::PeerLoad,
    job_ledger::{JobClaim, JobOutcome, LedgerAnswer, LedgerLimits, OwnerId},
    ledger_group::{LedgerEffect, LedgerGroup},
    log_group::ProposalWaiter,
    peer_message::{PeerDatagram, PeerMessage},
    peer_table::PeerTable,
    prelude::*,
    proposal_client::{GroupRequest, ProposalClient},
    replica_node::{BootstrapRule, ReplicaNode, ReplicaRole, ReplicaSettings, SnapshotRule},
    slot_leases::LeaseMessage,
    vm_layout::{CONTROL_GROUP, VmLayout, VmRole},
    workspace_template::{self, ResolvedConfig},
};

/// Time between heartbeats within a data centre, in ms.
pub(crate) const LOCAL_HEARTBEAT_MS: u64 = 200;
/// Time between comparisons of configuration versions, in ms.
const CONFIG_PULL_MS: u64 = 1_000;
/// Time between comparisons of configuration versions until the VM is first ready, in ms.
const FIRST_PULL_MS: u64 = 100;
/// Time after the start during which a VM only listens to its peers, in ms.
const STARTUP_LISTEN_MS: u64 = 1_000;
/// Default timeout of a call, in ms.
pub const CALL_TIMEOUT_MS: u64 = 3_000;

/// Settings of an entry's control state.
#[derive(Data!)]
pub struct EntrySettings {
    /// This process.
    pub owner: OwnerId,
    /// All VMs.
    pub layout: VmLayout,
    /// Limits of the ledgers.
    pub limits: LedgerLimits,
    /// Shortest time without a message from a leader before an election, in ms.
    pub election_ms: u64,
    /// Time between a leader's heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// Entries after which a ledger's log is trimmed.
    pub compact_entries: usize,
    /// Seed of all jitter.
    pub seed: u64,
}

/// Number of a call made by job traffic.
#[derive(Id!, Copy)]
pub struct CallNumber(pub u64);

/// A request of job traffic to a ledger.
#[derive(Data!)]
pub enum LedgerCall {
    /// Claim a key.
    Claim(JobClaim),
    /// Record an outcome.
    Settle(JobClaim, JobOutcome),
    /// Read the state of a key.
    Probe(JobKey),
    /// Wait for an outcome.
    Await(JobKey),
}

impl LedgerCall {
    pub(crate) fn key(&self) -> &JobKey {
        match self {
            LedgerCall::Claim(claim) | LedgerCall::Settle(claim, _) => &claim.key,
            LedgerCall::Probe(key) | LedgerCall::Await(key) => key,
        }
    }
}

/// Result of a call.
#[derive(Data!)]
pub enum CallResult {
    /// The ledger's answer.
    Answered(LedgerAnswer),
    /// The job's outcome, or none when the ledger does not know the job.
    Awaited(Option<JobOutcome>),
    /// The ledger could not be reached in time.
    Unreachable,
}

/// An effect to be run by the host.
#[derive(Data!)]
pub enum EntryEffect {
    /// Send a message by TCP.
    Send(VmName, PeerMessage),
    /// Send a message by UDP.
    SendDatagram(VmName, PeerDatagram),
    /// Deliver the result of a call.
    CompleteCall(CallNumber, CallResult),
    /// Apply a new configuration.
    ApplyConfig(ResolvedConfig),
    /// Give a lease message to the dispatcher.
    HandleLease(VmName, LeaseMessage),
    /// Record the load that another entry of the data centre has reported.
    RecordPeerLoad(VmName, PeerLoad),
    /// Cancel a job.
    Cancel(JobKey),
    /// A ledger's role on this VM has changed.
    Role(GroupName, ReplicaRole),
    /// A ledger's replica on this VM has begun a new incarnation.
    NewIncarnation(GroupName, ReplicaId),
}

/// The control state of an entry.
pub struct EntryNode {
    pub(crate) settings: EntrySettings,
    pub(crate) centre: DataCentre,
    pub(crate) centres: Vec<DataCentre>,
    pub(crate) group_vms: IndexMap<GroupName, Vec<VmName>>,
    pub(crate) ledgers: IndexMap<GroupName, LedgerGroup>,
    pub(crate) client: ProposalClient,
    pub(crate) purposes: IndexMap<u64, RequestPurpose>,
    pub(crate) reported_bootstraps: IndexMap<GroupName, GenerationId>,
    pub(crate) peers: PeerTable,
    pub(crate) endpoints: EndpointTable,
    pub(crate) image: ConfigImage,
    pub(crate) load: PeerLoad,
    pub(crate) stopping: bool,
    pub(crate) was_ready: bool,
    pub(crate) started_at: ClockTime,
    pub(crate) heartbeat_at: ClockTime,
    pub(crate) n_heartbeats: u64,
    pub(crate) pulled_at: ClockTime,
    pub(crate) effects: Vec<EntryEffect>,
}

impl EntryNode {
    /// The state right after a start.
    ///
    /// # Panics
    ///
    /// When the layout does not name this VM.
    pub fn new(settings: EntrySettings, now: ClockTime) -> EntryNode {
        let layout = &settings.layout;
        let own = layout.vm(&settings.owner.vm).expect("the layout names this VM");
        let centre = own.centre.clone();
        let centres = layout.centres();
        let mut group_vms = IndexMap::new();
        let mut ledgers = IndexMap::new();
        for home in &centres {
            let group = GroupName::from(home.as_str());
            let vms = layout.ledger_vms(home);
            if vms.contains(&settings.owner.vm) {
                let ledger = new_ledger(&settings, home, &vms, now);
                ledgers.insert(group.clone(), ledger);
            }
            group_vms.insert(group, vms);
        }
        group_vms.insert(GroupName::from(CONTROL_GROUP), layout.with_role(VmRole::Control));
        EntryNode {
            client: ProposalClient::new(now.0 << 20),
            settings,
            centre,
            centres,
            group_vms,
            ledgers,
            purposes: IndexMap::new(),
            reported_bootstraps: IndexMap::new(),
            peers: PeerTable::new(),
            endpoints: EndpointTable::new(),
            image: ConfigImage::default(),
            load: PeerLoad::default(),
            stopping: false,
            was_ready: false,
            started_at: now,
            heartbeat_at: now,
            n_heartbeats: 0,
            pulled_at: now,
            effects: Vec::new(),
        }
    }

    /// Drains the effects since the last call, in order.
    pub fn drain_effects(&mut self) -> Vec<EntryEffect> {
        std::mem::take(&mut self.effects)
    }

    /// The data centre of this entry.
    pub fn centre(&self) -> &DataCentre {
        &self.centre
    }

    /// The ledgers with a replica here.
    pub fn ledgers(&self) -> &IndexMap<GroupName, LedgerGroup> {
        &self.ledgers
    }

    /// The other VMs.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// The endpoints of the data centre.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// The documents in force.
    pub fn image(&self) -> &ConfigImage {
        &self.image
    }

    /// Configuration version in force.
    pub fn config_version(&self) -> u64 {
        self.image.version
    }

    /// Requests to ledgers sent more than once.
    pub fn n_resent(&self) -> u64 {
        self.client.n_resent()
    }

    /// Live entries of the data centre that accept work, this one included.
    pub fn members(&self, now: ClockTime) -> Vec<VmName> {
        let mut members = self.peers.live_peers_in(&self.centre, now);
        members.retain(|it| self.settings.layout.vm(it).is_some_and(|it| it.role == VmRole::Entry));
        if !self.stopping {
            members.push(self.settings.owner.vm.clone());
        }
        members.sort();
        members.dedup();
        members
    }

    /// Checks whether this entry accepts work.
    ///
    /// To become ready, it must hold the highest configuration version that its live peers
    /// report, and its data centre's ledger must serve. It then stays ready while the ledger
    /// serves.
    ///
    /// # Errors
    ///
    /// `NotReady` or `ShuttingDown`, with the reason.
    pub fn check_ready(&mut self, now: ClockTime) -> Result<(), RequestError> {
        let refuse = |message: &str| Err(RequestError::new(ErrorKind::NotReady, message));
        if self.stopping {
            return Err(RequestError::new(ErrorKind::ShuttingDown, "the VM is shutting down"));
        }
        if now.since_ms(self.started_at) < STARTUP_LISTEN_MS {
            return refuse("the VM has just started");
        }
        let highest = self.peers.highest_version(now).map_or(0, |(version, _)| version);
        // Without a configuration, requests would be refused as `UnknownWorkspace`.
        let lacks_config = self.image.version == 0 || self.image.version < highest;
        if !self.was_ready && lacks_config {
            return refuse("the VM does not hold the configuration in force yet");
        }
        let group = GroupName::from(self.centre.as_str());
        if !self.ledgers.get(&group).is_some_and(|it| it.is_serving(now)) {
            return refuse("the data centre's ledger has no leader yet");
        }
        self.was_ready = true;
        Ok(())
    }

    /// Stops accepting work, hands off ledger leadership and tells the peers at once.
    pub fn stop(&mut self, now: ClockTime) {
        self.stopping = true;
        for ledger in self.ledgers.values_mut() {
            ledger.transfer_leadership();
        }
        self.heartbeat_at = now;
        self.tick(now);
    }

    /// Sets the dispatcher's load for the next heartbeat.
    pub fn set_own_load(&mut self, load: PeerLoad) {
        self.load = load;
    }

    /// Records an endpoint's announcement; returns whether the endpoint is drained.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) -> bool {
        let is_drained = self.image.drained().contains(&record.name);
        self.endpoints.announce(record, now);
        is_drained
    }

    /// Handles a message received by TCP.
    pub fn handle_message(&mut self, from: &VmName, message: PeerMessage, now: ClockTime) {
        match message {
            PeerMessage::Replica(group, message) => {
                if let Some(ledger) = self.ledgers.get_mut(&group) {
                    ledger.handle_message(message, now);
                    self.run_effects(now);
                }
            }
            PeerMessage::Propose(group, request, command) => {
                let waiter = ProposalWaiter { vm: from.clone(), request };
                self.handle_request(&group, waiter, GroupRequest::Propose(command), now);
            }
            PeerMessage::Await(group, request, key) => {
                let waiter = ProposalWaiter { vm: from.clone(), request };
                self.handle_request(&group, waiter, GroupRequest::Await(key), now);
            }
            PeerMessage::Proposed(request, answer) => {
                self.handle_answer(request, from, answer, now)
            }
            PeerMessage::Awaited(request, outcome) => self.handle_awaited(request, outcome),
            PeerMessage::Cancel(key) => self.effects.push(EntryEffect::Cancel(key)),
            PeerMessage::Lease(message) => {
                self.effects.push(EntryEffect::HandleLease(from.clone(), message));
            }
            PeerMessage::ConfigPull(version) => {
                if version < self.image.version {
                    let message = PeerMessage::ConfigPush(self.image.since(version));
                    self.effects.push(EntryEffect::Send(from.clone(), message));
                }
            }
            PeerMessage::ConfigPush(delta) => self.handle_config_push(from, delta),
            PeerMessage::Cell(_) => {}
        }
    }

    fn handle_config_push(&mut self, from: &VmName, delta: ConfigDelta) {
        let former_version = self.image.version;
        match self.image.merge(delta) {
            MergeOutcome::Known => return,
            MergeOutcome::Gap => {
                // The delta is based on the version of a former incarnation of this VM.
                let message = PeerMessage::ConfigPull(former_version);
                self.effects.push(EntryEffect::Send(from.clone(), message));
                return;
            }
            MergeOutcome::Merged => {}
        }
        check_invariant(Invariant::ConfigNeverReverts, former_version < self.image.version);
        // The control group accepts no change that does not resolve.
        if let Ok(config) = workspace_template::resolve(&self.image) {
            self.effects.push(EntryEffect::ApplyConfig(config));
        }
    }

    /// Runs timers: ledgers, request timeouts, heartbeats and configuration pulls.
    pub fn tick(&mut self, now: ClockTime) {
        for ledger in self.ledgers.values_mut() {
            ledger.tick(&self.peers, &self.settings.owner, now);
        }
        self.run_effects(now);
        self.report_bootstraps(now);
        self.tick_client(now);
        if self.heartbeat_at <= now {
            self.heartbeat_at = now.plus_ms(LOCAL_HEARTBEAT_MS);
            self.send_heartbeats();
            self.send_endpoint_update(now);
            self.endpoints.expire(now);
        }
        let pull_ms = if self.was_ready { CONFIG_PULL_MS } else { FIRST_PULL_MS };
        if pull_ms <= now.since_ms(self.pulled_at) {
            self.pulled_at = now;
            self.pull_config(now);
        }
    }

    /// Replicates the commands proposed to ledgers led here.
    pub fn flush(&mut self, now: ClockTime) {
        for ledger in self.ledgers.values_mut() {
            ledger.flush(now);
        }
        self.run_effects(now);
    }

    pub(crate) fn run_effects(&mut self, now: ClockTime) {
        for idx in 0..self.ledgers.len() {
            let Some((group, ledger)) = self.ledgers.get_index_mut(idx) else { continue };
            let group = group.clone();
            for effect in ledger.drain_effects() {
                self.run_effect(&group, effect, now);
            }
        }
    }

    fn run_effect(&mut self, group: &GroupName, effect: LedgerEffect, now: ClockTime) {
        let own_vm = self.settings.owner.vm.clone();
        match effect {
            LedgerEffect::Send(vm, message) => {
                let message = PeerMessage::Replica(group.clone(), message);
                self.effects.push(EntryEffect::Send(vm, message));
            }
            LedgerEffect::Answer(waiter, answer) if waiter.vm == own_vm => {
                self.handle_answer(waiter.request, &own_vm, answer, now);
            }
            LedgerEffect::Answer(waiter, answer) => {
                let message = PeerMessage::Proposed(waiter.request, answer);
                self.effects.push(EntryEffect::Send(waiter.vm, message));
            }
            LedgerEffect::AnswerAwait(waiter, outcome) if waiter.vm == own_vm => {
                self.handle_awaited(waiter.request, outcome);
            }
            LedgerEffect::AnswerAwait(waiter, outcome) => {
                let message = PeerMessage::Awaited(waiter.request, outcome);
                self.effects.push(EntryEffect::Send(waiter.vm, message));
            }
            LedgerEffect::RoleChanged(role) => {
                self.effects.push(EntryEffect::Role(group.clone(), role));
            }
            LedgerEffect::NewIncarnation(id) => {
                self.effects.push(EntryEffect::NewIncarnation(group.clone(), id));
            }
        }
    }
}

fn new_ledger(
    settings: &EntrySettings,
    home: &DataCentre,
    vms: &[VmName],
    now: ClockTime,
) -> LedgerGroup {
    let replica_settings = ReplicaSettings {
        vms: vms.to_vec(),
        witness: settings.layout.ledger_witness(home),
        bootstrap_rule: BootstrapRule::Majority,
        snapshot_rule: SnapshotRule::OnDemand,
        election_ms: settings.election_ms,
        heartbeat_ms: settings.heartbeat_ms,
        clock_skew_ms: settings.limits.clock_skew_ms,
        seed: settings.seed,
    };
    let id = ReplicaId { vm: settings.owner.vm.clone(), incarnation: settings.owner.incarnation };
    let node = ReplicaNode::new_fresh(replica_settings, id, now);
    LedgerGroup::new(node, settings.limits, settings.compact_entries)
}
