//! The thread that owns an entry's [`EntryNode`].
//!
//! It handles all inputs that are ready, then flushes the node and runs its effects. So
//! under load one message to a replica carries many commands.

use std::time::Duration;

use indexmap::IndexMap;
use log::info;
use tokio::sync::{mpsc, oneshot, watch};
use yuccamux::{
    endpoint_table::{EndpointRecord, EndpointState},
    entry_node::{CallNumber, CallResult, EntryEffect, EntryNode, EntrySettings, LedgerCall},
    job_dispatcher::PeerLoad,
    peer_message::PeerMessage,
    prelude::*,
    slot_leases::LeaseMessage,
    workspace_template::ResolvedConfig,
};

use crate::{
    control_thread::{self, ThreadInbox, ThreadInput},
    link_key::LinkKeys,
    peer_link::{AddressBook, LinkSockets, PeerInput, PeerLink},
    wall_clock::WallClock,
};

/// Time between ticks.
const TICK: Duration = Duration::from_millis(20);

/// Requests to the control thread from its own process.
pub enum ControlInput {
    /// A call to a ledger, with its time limit in ms.
    Call(LedgerCall, u64, oneshot::Sender<CallResult>),
    /// An endpoint's announcement; answered with whether it is drained.
    Announce(EndpointRecord, oneshot::Sender<bool>),
    /// A message to another VM.
    Send(VmName, PeerMessage),
    /// The dispatcher's load.
    Load(PeerLoad),
    /// Take no new work.
    Stop,
    /// Read the control state.
    Status(oneshot::Sender<ControlStatus>),
}

/// Inputs of the job service from the control thread.
pub enum JobServiceInput {
    /// A configuration is in force.
    Config(ResolvedConfig),
    /// The endpoints, and the live entries of the data centre.
    Endpoints(Vec<EndpointState>, Vec<VmName>),
    /// A message about leases.
    Lease(VmName, LeaseMessage),
    /// The load of another entry.
    Load(VmName, PeerLoad),
    /// A job is no longer wanted.
    Cancel(JobKey),
}

/// A ledger's replica, for operators and metrics.
#[derive(Clone, Debug, serde::Serialize)]
pub struct LedgerStatus {
    /// Data centre of the ledger.
    pub group: String,
    /// Role of the replica here.
    pub role: String,
    /// VM of the leader, if known.
    pub leader: Option<String>,
    /// Latest term.
    pub term: u64,
    /// Index up to which entries are committed.
    pub commit: u64,
    /// Number of voters.
    pub n_voters: usize,
    /// Jobs kept.
    pub n_jobs: usize,
    /// Bytes kept, estimated.
    pub n_bytes: u64,
}

/// The control state, for operators and metrics.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct ControlStatus {
    /// Name of the VM.
    pub vm: String,
    /// Its data centre.
    pub centre: String,
    /// Configuration version in force.
    pub config_version: u64,
    /// Why it takes no work, if it does not.
    pub not_ready: Option<String>,
    /// Its replicas of ledgers.
    pub ledgers: Vec<LedgerStatus>,
    /// Other VMs with the time since their last heartbeat, in ms, and their configuration
    /// version.
    pub peers: Vec<(String, u64, u64)>,
    /// Endpoints with the time since their last announcement, in ms.
    pub endpoints: Vec<(EndpointRecord, u64)>,
    /// Messages and bytes sent to other VMs.
    pub sent: (u64, u64),
    /// Messages of those that carried no change of state, no start and no answer.
    pub n_overhead: u64,
    /// Requests to log groups that were resent.
    pub n_resent: u64,
}

/// Handle on the control thread for the job service and HTTP handlers.
#[derive(Clone)]
pub struct ControlHandle {
    inbox: mpsc::UnboundedSender<ControlInput>,
    ready: watch::Receiver<Result<(), RequestError>>,
    /// Links that fault injection has cut.
    #[cfg(feature = "fault-injection")]
    pub cuts: crate::peer_link::LinkCuts,
}

impl ControlHandle {
    /// Checks whether the VM accepts work.
    ///
    /// # Errors
    ///
    /// The reason for which it does not.
    pub fn check_ready(&self) -> Result<(), RequestError> {
        self.ready.borrow().clone()
    }

    /// Calls the ledger of the key's home data centre, for at most `span_ms`.
    pub async fn call(&self, call: LedgerCall, span_ms: u64) -> CallResult {
        let (reply, end) = oneshot::channel();
        if self.inbox.send(ControlInput::Call(call, span_ms, reply)).is_err() {
            return CallResult::Unreachable;
        }
        end.await.unwrap_or(CallResult::Unreachable)
    }

    /// Passes an announcement on; returns whether the endpoint is drained.
    pub async fn announce(&self, record: EndpointRecord) -> bool {
        let (reply, drained) = oneshot::channel();
        let _ = self.inbox.send(ControlInput::Announce(record, reply));
        drained.await.unwrap_or_default()
    }

    /// Sends a message to another VM.
    pub fn send(&self, to: VmName, message: PeerMessage) {
        let _ = self.inbox.send(ControlInput::Send(to, message));
    }

    /// Sets the dispatcher's load, for other entries.
    pub fn set_load(&self, load: PeerLoad) {
        let _ = self.inbox.send(ControlInput::Load(load));
    }

    /// Makes the VM refuse new work.
    pub fn stop(&self) {
        let _ = self.inbox.send(ControlInput::Stop);
    }

    /// The control state, for operators and metrics.
    pub async fn status(&self) -> ControlStatus {
        let (reply, status) = oneshot::channel();
        let _ = self.inbox.send(ControlInput::Status(reply));
        status.await.unwrap_or_default()
    }
}

/// Starts the control thread.
///
/// # Errors
///
/// When the thread cannot be started or the sockets cannot be used.
pub fn start(
    settings: EntrySettings,
    keys: LinkKeys,
    sockets: LinkSockets,
    clock: WallClock,
    job_service: mpsc::UnboundedSender<JobServiceInput>,
) -> anyhow::Result<ControlHandle> {
    let (inbox, inputs) = mpsc::unbounded_channel();
    let starting = RequestError::new(ErrorKind::NotReady, "the VM has just started");
    let (ready_sender, ready) = watch::channel(Err(starting));
    let (peer_sender, peer_inputs) = mpsc::unbounded_channel();
    let own = settings.owner.vm.clone();
    let addresses = AddressBook::from_layout(&settings.layout)?;
    let link = move || PeerLink::start(addresses, &own, keys, sockets, peer_sender);
    let link = control_thread::start(link, move |link| {
        let host = ControlHost {
            vm: settings.owner.vm.clone(),
            node: EntryNode::new(settings, clock.now()),
            link,
            clock,
            job_service,
            ready: ready_sender,
            calls: IndexMap::new(),
            next_call: 0,
            endpoints_version: u64::MAX,
            endpoints_sent_at: ClockTime::default(),
            members: Vec::new(),
            n_overhead: 0,
        };
        host.run(ThreadInbox::new(inputs, peer_inputs, TICK))
    })?;
    #[cfg(not(feature = "fault-injection"))]
    drop(link);
    Ok(ControlHandle {
        inbox,
        ready,
        #[cfg(feature = "fault-injection")]
        cuts: link.cuts,
    })
}

/// Time between reports of unchanged endpoints to the job service, in ms.
const ENDPOINTS_INTERVAL_MS: u64 = 250;

struct ControlHost {
    vm: VmName,
    node: EntryNode,
    link: PeerLink,
    clock: WallClock,
    job_service: mpsc::UnboundedSender<JobServiceInput>,
    ready: watch::Sender<Result<(), RequestError>>,
    calls: IndexMap<CallNumber, oneshot::Sender<CallResult>>,
    next_call: u64,
    endpoints_version: u64,
    endpoints_sent_at: ClockTime,
    members: Vec<VmName>,
    n_overhead: u64,
}

impl ControlHost {
    async fn run(mut self, mut inbox: ThreadInbox<ControlInput>) {
        while let Some(inputs) = inbox.receive().await {
            for input in inputs {
                match input {
                    ThreadInput::Own(input) => self.handle_control_input(input),
                    ThreadInput::Peer(input) => self.handle_peer_input(*input),
                    ThreadInput::Tick => self.tick(),
                }
            }
            self.node.flush(self.clock.now());
            self.run_effects();
        }
    }

    fn handle_control_input(&mut self, input: ControlInput) {
        let now = self.clock.now();
        match input {
            ControlInput::Call(call, span_ms, reply) => {
                self.next_call += 1;
                let number = CallNumber(self.next_call);
                self.calls.insert(number, reply);
                self.node.call(number, call, span_ms, now);
            }
            ControlInput::Announce(record, reply) => {
                let is_drained = self.node.announce(record, now);
                // An endpoint that has disconnected announces itself again.
                let _ = reply.send(is_drained);
                self.report_endpoints(now);
            }
            ControlInput::Send(to, message) => self.send(&to, &message),
            ControlInput::Load(load) => self.node.set_own_load(load),
            ControlInput::Stop => self.node.stop(now),
            ControlInput::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
        }
    }

    fn handle_peer_input(&mut self, input: PeerInput) {
        let now = self.clock.now();
        match input {
            PeerInput::Message(from, message) => self.node.handle_message(&from, message, now),
            PeerInput::Datagram(from, datagram) => {
                self.node.handle_datagram(&from, datagram, now);
            }
            // Requests are repeated until they are answered.
            PeerInput::ConnectionLost(_) | PeerInput::MessagesLost(..) => {}
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.node.tick(now);
        self.report_endpoints(now);
        let readiness = self.node.check_ready(now);
        self.ready.send_if_modified(|known| {
            if *known == readiness {
                return false;
            }
            match &readiness {
                Ok(()) => {
                    info!("ready for work: configuration version {}", self.node.config_version())
                }
                Err(error) => info!("not ready for work: {}", error.message),
            }
            *known = readiness;
            true
        });
    }

    /// Reports the endpoints to the job service when they changed, or to refresh them.
    fn report_endpoints(&mut self, now: ClockTime) {
        let version = self.node.endpoints().version();
        let members = self.node.members(now);
        let is_due = ENDPOINTS_INTERVAL_MS <= now.since_ms(self.endpoints_sent_at);
        if version == self.endpoints_version && members == self.members && !is_due {
            return;
        }
        if members != self.members {
            let names: Vec<&str> = members.iter().map(VmName::as_str).collect();
            info!("live entries of {}: {}", self.node.centre(), names.join(" "));
        }
        self.endpoints_version = version;
        self.endpoints_sent_at = now;
        self.members = members.clone();
        let states = self.node.endpoints().endpoints().cloned().collect();
        let _ = self.job_service.send(JobServiceInput::Endpoints(states, members));
    }

    fn run_effects(&mut self) {
        for effect in self.node.drain_effects() {
            match effect {
                EntryEffect::Send(vm, message) => self.send(&vm, &message),
                EntryEffect::SendDatagram(vm, datagram) => self.link.send_datagram(&vm, &datagram),
                EntryEffect::CompleteCall(number, end) => {
                    if let Some(reply) = self.calls.swap_remove(&number) {
                        // The caller may have gone.
                        let _ = reply.send(end);
                    }
                }
                EntryEffect::ApplyConfig(config) => {
                    info!("configuration version {} is in force", config.version);
                    let _ = self.job_service.send(JobServiceInput::Config(config));
                }
                EntryEffect::HandleLease(vm, message) => {
                    let _ = self.job_service.send(JobServiceInput::Lease(vm, message));
                }
                EntryEffect::RecordPeerLoad(vm, load) => {
                    let _ = self.job_service.send(JobServiceInput::Load(vm, load));
                }
                EntryEffect::Cancel(key) => {
                    let _ = self.job_service.send(JobServiceInput::Cancel(key));
                }
                EntryEffect::Role(group, role) => info!("ledger {group}: role {role:?}"),
                EntryEffect::NewIncarnation(group, id) => {
                    info!("ledger {group}: new replica incarnation {id}")
                }
            }
        }
    }

    fn send(&mut self, to: &VmName, message: &PeerMessage) {
        if message.is_overhead() {
            self.n_overhead += 1;
        }
        self.link.send(to, message, self.clock.now());
    }

    fn status(&mut self, now: ClockTime) -> ControlStatus {
        let not_ready = self.node.check_ready(now).err().map(|it| it.message);
        let ledgers = self.node.ledgers().iter().map(|(group, ledger)| {
            let node = ledger.node();
            LedgerStatus {
                group: group.to_string(),
                role: format!("{:?}", node.role()),
                leader: node.leader_vm().map(ToString::to_string),
                term: node.term(),
                commit: node.commit_index(),
                n_voters: node.voters().len(),
                n_jobs: ledger.ledger().n_jobs(),
                n_bytes: ledger.ledger().n_bytes(),
            }
        });
        let peers = self.node.peers().peers().map(|it| {
            let vm = it.heartbeat.owner.vm.to_string();
            (vm, now.since_ms(it.last_contact_at), it.heartbeat.config_version)
        });
        let endpoints = self.node.endpoints().endpoints();
        ControlStatus {
            vm: self.vm.to_string(),
            centre: self.node.centre().to_string(),
            config_version: self.node.config_version(),
            not_ready,
            ledgers: ledgers.collect(),
            peers: peers.collect(),
            endpoints: endpoints
                .map(|it| (it.record.clone(), now.since_ms(it.last_contact_at)))
                .collect(),
            sent: self.link.sent(),
            n_overhead: self.n_overhead,
            n_resent: self.node.n_resent(),
        }
    }
}
