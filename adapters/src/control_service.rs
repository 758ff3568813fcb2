//! The thread that owns a control VM's [`ControlNode`] and its data folder.

use std::{path::PathBuf, time::Duration};

use anyhow::Context;
use indexmap::IndexMap;
use log::{error, info, warn};
use tokio::sync::{mpsc, oneshot};
use yuccamux::{
    cell::{
        endpoint_directory::{DirectoryChange, EndpointRecord},
        tolerance_watch::{GroupHealth, ToleranceChange},
    },
    config_state::{ChangeRecord, ConfigChange, ConfigImage, ConfigState, StoredPlan},
    control_node::{ControlEffect, ControlNode, ControlSettings},
    entry_node::CallNumber,
    group_members::{GroupMembers, MemberSwap},
    peer_message::PeerDatagram,
    prelude::*,
};

use crate::{
    control_thread::{self, ThreadInbox, ThreadInput},
    link_key::LinkKeys,
    log_store::LogStore,
    peer_link::{AddressBook, LinkSockets, PeerInput, PeerLink},
    wall_clock::WallClock,
};

/// Time between ticks.
const TICK: Duration = Duration::from_millis(20);
/// Time limit for a change or a read of the routes, in ms.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Requests to the control thread from its own process.
pub enum ServiceInput {
    /// Change the configuration.
    Change(ConfigChange, oneshot::Sender<Result<u64, RequestError>>),
    /// Read the configuration documents in force.
    Image(oneshot::Sender<ConfigImage>),
    /// Read the accepted changes.
    History(oneshot::Sender<Vec<ChangeRecord>>),
    /// Read the state.
    Status(oneshot::Sender<ServiceStatus>),
    /// Put routes in force.
    PutPlan(StoredPlan, oneshot::Sender<Result<u64, RequestError>>),
    /// Read the routes in force.
    ReadPlan(oneshot::Sender<PlanRead>),
    /// An endpoint announces itself.
    Announce(EndpointRecord),
    /// An endpoint has stopped for good.
    Leave(EndpointName),
    /// The process is about to stop.
    Stop,
}

/// The routes in force, or why they could not be read.
pub type PlanRead = Result<Option<StoredPlan>, RequestError>;

/// A control VM's state, for operators and metrics.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct ServiceStatus {
    /// Name of the VM.
    pub vm: String,
    /// Role of its replica.
    pub role: String,
    /// VM of the leader, if known.
    pub leader: Option<String>,
    /// Latest term.
    pub term: u64,
    /// Index up to which entries are committed.
    pub commit: u64,
    /// Voters.
    pub voters: Vec<String>,
    /// Control VMs that the leader reaches; empty on a VM that is not the leader.
    pub reachable: Vec<String>,
    /// Configuration version applied here.
    pub config_version: u64,
    /// Version of the routes applied here.
    pub plan_version: u64,
    /// Number of disk syncs.
    pub n_syncs: u64,
    /// Messages and bytes sent to other VMs.
    pub sent: (u64, u64),
    /// Reports of messages to other VMs that may not have arrived.
    pub n_losses: u64,
    /// Endpoint updates sent to VMs that may have lacked them.
    pub n_repeated: u64,
    /// How often the group bore fewer losses than it should for longer than it may.
    pub n_alarms: u64,
    /// Whether it does now.
    pub is_tolerance_short: bool,
    /// Whether this VM is told to stop and a spare has not taken its place yet.
    pub awaits_replacement: bool,
    /// Other VMs with the time since their last heartbeat, in ms, and their configuration
    /// version.
    pub peers: Vec<(String, u64, u64)>,
}

/// Handle on the control thread for HTTP handlers.
#[derive(Clone)]
pub struct ServiceHandle {
    inbox: mpsc::UnboundedSender<ServiceInput>,
    clock: WallClock,
    /// Links that fault injection has cut.
    #[cfg(feature = "fault-injection")]
    pub cuts: crate::peer_link::LinkCuts,
}

impl ServiceHandle {
    /// The time by the control VM's clock.
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Changes the configuration; returns the version made.
    ///
    /// # Errors
    ///
    /// `VersionConflict`, `InvalidChange`, or `NoLeader` when no answer came in time.
    pub async fn change(&self, change: ConfigChange) -> Result<u64, RequestError> {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(ServiceInput::Change(change, reply));
        answer.await.unwrap_or_else(|_| Err(thread_stopped()))
    }

    /// Puts routes in force; returns the version in force afterwards.
    ///
    /// # Errors
    ///
    /// `NoLeader` when no answer came in time.
    pub async fn put_plan(&self, plan: StoredPlan) -> Result<u64, RequestError> {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(ServiceInput::PutPlan(plan, reply));
        answer.await.unwrap_or_else(|_| Err(thread_stopped()))
    }

    /// Reads the routes in force, never older than those in force at the time of the call.
    ///
    /// # Errors
    ///
    /// `NoLeader` when no answer came in time.
    pub async fn read_plan(&self) -> PlanRead {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(ServiceInput::ReadPlan(reply));
        answer.await.unwrap_or_else(|_| Err(thread_stopped()))
    }

    /// Passes on an endpoint's announcement.
    pub fn announce(&self, record: EndpointRecord) {
        let _ = self.inbox.send(ServiceInput::Announce(record));
    }

    /// Records that an endpoint has stopped for good.
    pub fn leave(&self, name: EndpointName) {
        let _ = self.inbox.send(ServiceInput::Leave(name));
    }

    /// Announces to the other VMs that this process is about to stop.
    pub fn stop(&self) {
        let _ = self.inbox.send(ServiceInput::Stop);
    }

    /// The configuration documents in force.
    pub async fn image(&self) -> ConfigImage {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(ServiceInput::Image(reply));
        answer.await.unwrap_or_default()
    }

    /// The accepted changes, oldest first.
    pub async fn history(&self) -> Vec<ChangeRecord> {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(ServiceInput::History(reply));
        answer.await.unwrap_or_default()
    }

    /// The state, for operators and metrics.
    pub async fn status(&self) -> ServiceStatus {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(ServiceInput::Status(reply));
        answer.await.unwrap_or_default()
    }
}

fn log_group(members: &GroupMembers) {
    let vms: Vec<&str> = members.vms.iter().map(VmName::as_str).collect();
    let vms = vms.join(", ");
    match &members.swap {
        Some(MemberSwap { leaving, joining }) => {
            info!("control group: {vms}; {joining} takes the place of {leaving}");
        }
        None => info!("control group: {vms}"),
    }
}

fn thread_stopped() -> RequestError {
    RequestError::new(ErrorKind::NoLeader, "the control thread has stopped")
}

/// Starts the control thread on a data folder.
///
/// # Errors
///
/// When the data folder cannot be opened or the sockets cannot be used.
pub fn start(
    settings: ControlSettings,
    data_folder: PathBuf,
    addresses: AddressBook,
    keys: LinkKeys,
    sockets: LinkSockets,
    clock: WallClock,
) -> anyhow::Result<ServiceHandle> {
    let own = settings.owner.vm.clone();
    let store = LogStore::open(&data_folder, &own)?;
    store.check_state(ConfigState::decode)?;
    let stored = store.stored();
    if let Some((_, log)) = &stored {
        info!("found {} entries after snapshot {}", log.n_entries(), log.snapshot().index);
    }
    let (peer_sender, peer_inputs) = mpsc::unbounded_channel();
    let (inbox, inputs) = mpsc::unbounded_channel();
    let link = move || PeerLink::start(addresses, &own, keys, sockets, peer_sender);
    let link = control_thread::start(link, move |link| {
        let host = ServiceHost {
            vm: settings.owner.vm.clone(),
            node: ControlNode::new(settings, stored, clock.now()),
            store,
            link,
            clock,
            calls: IndexMap::new(),
            reads: IndexMap::new(),
            next_call: 0,
            n_losses: 0,
            n_repeated: 0,
            n_alarms: 0,
        };
        async move {
            if let Err(error) = host.run(ThreadInbox::new(inputs, peer_inputs, TICK)).await {
                // A replica must not go on without durable storage.
                error!("the control thread has stopped: {error:#}");
                std::process::abort();
            }
        }
    })?;
    #[cfg(not(feature = "fault-injection"))]
    drop(link);
    Ok(ServiceHandle {
        inbox,
        clock,
        #[cfg(feature = "fault-injection")]
        cuts: link.cuts,
    })
}

struct ServiceHost {
    vm: VmName,
    node: ControlNode,
    store: LogStore,
    link: PeerLink,
    clock: WallClock,
    calls: IndexMap<CallNumber, oneshot::Sender<Result<u64, RequestError>>>,
    reads: IndexMap<CallNumber, oneshot::Sender<PlanRead>>,
    next_call: u64,
    n_losses: u64,
    n_repeated: u64,
    n_alarms: u64,
}

impl ServiceHost {
    async fn run(mut self, mut inbox: ThreadInbox<ServiceInput>) -> anyhow::Result<()> {
        while let Some(inputs) = inbox.receive().await {
            // Messages are dated no later than any change that they report.
            let turn_at = self.clock.now();
            for input in inputs {
                match input {
                    ThreadInput::Own(input) => self.handle_service_input(input),
                    ThreadInput::Peer(input) => self.handle_peer_input(*input),
                    ThreadInput::Tick => self.node.tick(self.clock.now()),
                }
            }
            self.node.flush(self.clock.now());
            self.run_effects(turn_at).context("could not store the configuration")?;
        }
        Ok(())
    }

    fn handle_service_input(&mut self, input: ServiceInput) {
        match input {
            ServiceInput::Change(change, reply) => {
                let number = self.next_number();
                self.calls.insert(number, reply);
                self.node.change(number, change, CALL_TIMEOUT_MS, self.clock.now());
            }
            ServiceInput::PutPlan(plan, reply) => {
                let number = self.next_number();
                self.calls.insert(number, reply);
                self.node.put_plan(number, plan, CALL_TIMEOUT_MS, self.clock.now());
            }
            ServiceInput::ReadPlan(reply) => {
                let number = self.next_number();
                self.reads.insert(number, reply);
                self.node.read_plan(number, CALL_TIMEOUT_MS, self.clock.now());
            }
            ServiceInput::Announce(record) => {
                let (name, leaving) = (record.name.clone(), record.leaving);
                let change = self.node.announce(record, self.clock.now());
                if change == DirectoryChange::Changed {
                    info!("endpoint {name} announced, leaving: {leaving}");
                }
            }
            ServiceInput::Leave(name) => {
                if self.node.leave(&name, self.clock.now()) == DirectoryChange::Changed {
                    info!("endpoint {name} has left");
                }
            }
            ServiceInput::Stop => self.node.stop(self.clock.now()),
            ServiceInput::Image(reply) => {
                let _ = reply.send(self.node.state().image().clone());
            }
            ServiceInput::History(reply) => {
                let _ = reply.send(self.node.state().history().to_vec());
            }
            ServiceInput::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn next_number(&mut self) -> CallNumber {
        self.next_call += 1;
        CallNumber(self.next_call)
    }

    fn handle_peer_input(&mut self, input: PeerInput) {
        let now = self.clock.now();
        match input {
            PeerInput::Message(from, message) => self.node.handle_message(&from, message, now),
            PeerInput::Datagram(from, datagram) => {
                self.node.handle_datagram(&from, datagram, now);
            }
            PeerInput::MessagesLost(vm, since) => {
                self.n_losses += 1;
                self.node.handle_message_loss(&vm, since);
            }
            PeerInput::ConnectionLost(_) => {}
        }
    }

    /// Stores all changes with one sync, then runs the other effects: nothing that depends
    /// on a change leaves the process before the change is durable.
    fn run_effects(&mut self, turn_at: ClockTime) -> anyhow::Result<()> {
        let mut stores = Vec::new();
        let mut others = Vec::new();
        for effect in self.node.drain_effects() {
            match effect {
                ControlEffect::Store(it) => stores.push(it),
                it => others.push(it),
            }
        }
        if !stores.is_empty() {
            self.store.commit(stores)?;
        }
        for effect in others {
            match effect {
                ControlEffect::Store(_) => {}
                ControlEffect::Send(vm, message) => self.link.send(&vm, &message, turn_at),
                ControlEffect::SendDatagram(vm, datagram) => {
                    self.link.send_datagram(&vm, &datagram);
                }
                ControlEffect::SendCellHeartbeat(vms, heartbeat) => {
                    self.link.send_datagrams(&vms, &PeerDatagram::CellHeartbeat(heartbeat));
                }
                ControlEffect::AnswerPlanRead(number, result) => {
                    if let Some(reply) = self.reads.swap_remove(&number) {
                        // The operator may have disconnected and will retry.
                        let _ = reply.send(result);
                    }
                }
                ControlEffect::AnswerChange(number, result) => {
                    if let (Err(error), Some(reply)) = (&result, self.reads.swap_remove(&number)) {
                        let _ = reply.send(Err(error.clone()));
                    }
                    if let Some(reply) = self.calls.swap_remove(&number) {
                        // The operator may have disconnected and will retry.
                        let _ = reply.send(result);
                    }
                }
                ControlEffect::EndpointsRepeated { vm, n_updates, since } => {
                    self.n_repeated += n_updates;
                    if since == ClockTime::default() {
                        info!("sent all {n_updates} endpoints to {vm}");
                    } else {
                        let lost_ms = turn_at.since_ms(since);
                        info!(
                            "repeated {n_updates} endpoint updates to {vm}, lost {lost_ms} ms ago"
                        );
                    }
                }
                ControlEffect::ToleranceChanged(change) => self.log_tolerance(change),
                ControlEffect::GroupChanged(members) => log_group(&members),
                ControlEffect::RoleChanged(role) => info!("configuration log: role {role:?}"),
                ControlEffect::Version(version) => {
                    info!("configuration version {version} accepted")
                }
            }
        }
        Ok(())
    }

    fn log_tolerance(&mut self, change: ToleranceChange) {
        let health = match change {
            ToleranceChange::Regained(after_ms) => {
                info!("the control group bears its losses again, after {after_ms} ms");
                return;
            }
            ToleranceChange::Short(health) => health,
        };
        self.n_alarms += 1;
        let reason = match health {
            GroupHealth::Sound => return,
            GroupHealth::FewVoters(n_voters, n_vms) => {
                format!("{n_voters} voters answer in a group of {n_vms} VMs")
            }
            GroupHealth::NoLeader => "this VM hears no leader".to_owned(),
            GroupHealth::NoGroup => "this VM knows of no group".to_owned(),
        };
        warn!("the control group bears fewer losses than it should: {reason}");
    }

    fn status(&self) -> ServiceStatus {
        let node = self.node.node();
        let now = self.clock.now();
        let peers = self.node.peers().peers().map(|it| {
            let vm = it.heartbeat.owner.vm.to_string();
            (vm, now.since_ms(it.last_contact_at), it.heartbeat.config_version)
        });
        ServiceStatus {
            vm: self.vm.to_string(),
            role: format!("{:?}", node.role()),
            leader: node.leader_vm().map(ToString::to_string),
            term: node.term(),
            commit: node.commit_index(),
            voters: node.voters().iter().map(ToString::to_string).collect(),
            reachable: node.reachable_vms(now).iter().map(ToString::to_string).collect(),
            config_version: self.node.state().image().version,
            plan_version: self.node.state().plan().map_or(0, |it| it.plan.version),
            n_syncs: self.store.n_syncs(),
            sent: self.link.sent(),
            n_losses: self.n_losses,
            n_repeated: self.n_repeated,
            n_alarms: self.n_alarms,
            awaits_replacement: self.node.awaits_replacement(now),
            is_tolerance_short: self.node.is_tolerance_alarmed(),
            peers: peers.collect(),
        }
    }
}
