//! The event loop that owns an entry's [`CellNode`], and the handle by which HTTP handlers
//! call it.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use indexmap::IndexMap;
use log::info;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};
use yuccamux::{
    cell::{
        cell_node::{CellNode, CellSettings, NodeEffect},
        endpoint_order::{EndpointOrder, OrderOutcome},
        job_offer::{JobCode, JobOffer, JobResult},
        node_cancels::CancelResult,
        route_plan::RoutePlan,
    },
    entry_node::CallNumber,
    peer_message::{PeerDatagram, PeerMessage},
    prelude::*,
};

use crate::{
    cell_metrics::{CellGauges, CellMetrics},
    decision_log::DecisionLog,
    link_key::LinkKeys,
    peer_link::{AddressBook, LinkSockets, PeerInput, PeerLink},
    wall_clock::WallClock,
};

/// Time between ticks while jobs run: fine enough for timeouts of 200 ms.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Time between ticks while no job runs.
const IDLE_TICK: Duration = Duration::from_millis(40);
/// Inputs handled before effects are run.
const MAX_INPUTS_PER_TURN: usize = 1_024;

/// Sends an order to an endpoint and returns its outcome.
pub type SendFunction =
    Arc<dyn Fn(EndpointOrder) -> Pin<Box<dyn Future<Output = OrderOutcome> + Send>> + Send + Sync>;

/// Inputs of the event loop from its own process.
enum CellInput {
    Submit(CallNumber, JobOffer, oneshot::Sender<JobResult>),
    CallerLeft(CallNumber),
    Cancel(CallNumber, JobCode, String, oneshot::Sender<CancelResult>),
    Pending(String, oneshot::Sender<u64>),
    Outcome(EndpointOrder, OrderOutcome),
    Controls(Vec<VmName>),
    Metrics(oneshot::Sender<String>),
    Stop,
}

/// The part of an entry's state that other tasks read without calling the event loop.
#[derive(Clone, Debug, Default)]
pub struct CellView {
    /// The routes in force.
    pub plan: Option<Arc<RoutePlan>>,
    /// Whether the entry can serve callers.
    pub is_ready: bool,
    /// Jobs whose callers wait here, and jobs in cells that the entry leads.
    pub n_open: usize,
}

/// Handle on the event loop for HTTP handlers.
#[derive(Clone)]
pub struct CellHandle {
    inbox: mpsc::UnboundedSender<CellInput>,
    view: watch::Receiver<CellView>,
    next_call: Arc<std::sync::atomic::AtomicU64>,
}

/// Cancels a job when its caller's request is dropped before it was answered.
struct CancelOnDrop {
    inbox: mpsc::UnboundedSender<CellInput>,
    call: Option<CallNumber>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(call) = self.call {
            // A closed channel means that the process is ending.
            let _ = self.inbox.send(CellInput::CallerLeft(call));
        }
    }
}

impl CellHandle {
    /// The latest published view.
    pub fn view(&self) -> CellView {
        self.view.borrow().clone()
    }

    /// Submits a job and waits for its result; dropping the future cancels the job.
    pub async fn submit(&self, offer: JobOffer) -> JobResult {
        let number = self.next_call.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let call = CallNumber(number);
        let (reply, answer) = oneshot::channel();
        let mut guard = CancelOnDrop { inbox: self.inbox.clone(), call: Some(call) };
        let _ = self.inbox.send(CellInput::Submit(call, offer, reply));
        let result = answer.await.unwrap_or(JobResult::Unknown);
        guard.call = None;
        result
    }

    /// Cancels a job of a route, whichever entry holds it.
    pub async fn cancel(&self, job: JobCode, route: &str) -> CancelResult {
        let number = self.next_call.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let _ =
            self.inbox.send(CellInput::Cancel(CallNumber(number), job, route.to_owned(), reply));
        answer.await.unwrap_or(CancelResult::Unknown)
    }

    /// Number of a route's jobs of which no task has started.
    pub async fn n_pending(&self, route: &str) -> u64 {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(CellInput::Pending(route.to_owned(), reply));
        answer.await.unwrap_or(0)
    }

    /// The metrics as text.
    pub async fn metrics(&self) -> String {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(CellInput::Metrics(reply));
        answer.await.unwrap_or_default()
    }

    /// Adds control VMs to those already known.
    pub fn add_control_vms(&self, vms: Vec<VmName>) {
        let _ = self.inbox.send(CellInput::Controls(vms));
    }

    /// Hands the led cells off to other entries; jobs whose callers wait here go on.
    pub fn stop(&self) {
        let _ = self.inbox.send(CellInput::Stop);
    }
}

/// Starts the event loop on the caller's runtime.
///
/// # Errors
///
/// When the sockets cannot be used or the log thread cannot be started.
pub fn start(
    settings: CellSettings,
    addresses: AddressBook,
    sockets: LinkSockets,
    process: &str,
    clock: WallClock,
    send: SendFunction,
) -> anyhow::Result<CellHandle> {
    let (peer_sender, peers) = mpsc::unbounded_channel();
    let (inbox, inputs) = mpsc::unbounded_channel();
    let own = settings.owner.vm.clone();
    let keys = LinkKeys::without_secret();
    let link = PeerLink::start(addresses, &own, keys, sockets, peer_sender)?;
    let (view_sender, view) = watch::channel(CellView::default());
    let host = CellHost {
        node: CellNode::new(settings, clock.now()),
        link,
        clock,
        send,
        log: DecisionLog::start(process)?,
        metrics: CellMetrics::new(),
        calls: IndexMap::new(),
        cancel_calls: IndexMap::new(),
        outcomes: inbox.clone(),
        view: view_sender,
    };
    tokio::spawn(host.run(inputs, peers));
    Ok(CellHandle { inbox, view, next_call: Arc::default() })
}

struct CellHost {
    node: CellNode,
    link: PeerLink,
    clock: WallClock,
    send: SendFunction,
    log: DecisionLog,
    metrics: CellMetrics,
    calls: IndexMap<CallNumber, oneshot::Sender<JobResult>>,
    cancel_calls: IndexMap<CallNumber, oneshot::Sender<CancelResult>>,
    outcomes: mpsc::UnboundedSender<CellInput>,
    view: watch::Sender<CellView>,
}

impl CellHost {
    async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<CellInput>,
        mut peers: mpsc::UnboundedReceiver<PeerInput>,
    ) {
        let mut tick_at = time::Instant::now();
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                Some(input) = peers.recv() => self.handle_peer_input(input),
                () = time::sleep_until(tick_at) => {}
            }
            for _ in 0..MAX_INPUTS_PER_TURN {
                if let Ok(input) = inputs.try_recv() {
                    self.handle_input(input);
                } else if let Ok(input) = peers.try_recv() {
                    self.handle_peer_input(input);
                } else {
                    break;
                }
            }
            if tick_at <= time::Instant::now() {
                self.node.tick(self.clock.now());
                self.log.flush(self.clock.now());
                let pause = if self.node.is_busy() { BUSY_TICK } else { IDLE_TICK };
                tick_at = time::Instant::now() + pause;
            }
            self.run_effects();
        }
    }

    fn handle_input(&mut self, input: CellInput) {
        let now = self.clock.now();
        match input {
            CellInput::Submit(call, offer, reply) => {
                self.calls.insert(call, reply);
                self.node.submit(call, offer, now);
            }
            CellInput::CallerLeft(call) => {
                self.calls.swap_remove(&call);
                self.node.cancel_call(call, now);
            }
            CellInput::Cancel(call, job, route, reply) => {
                self.cancel_calls.insert(call, reply);
                self.node.cancel(call, job, &route, now);
            }
            CellInput::Pending(route, reply) => {
                let _ = reply.send(self.node.n_pending(&route));
            }
            CellInput::Outcome(order, outcome) => self.node.handle_outcome(&order, outcome, now),
            CellInput::Controls(vms) => self.node.add_control_vms(vms),
            CellInput::Metrics(reply) => {
                let gauges = CellGauges {
                    n_waiting: self.node.n_waiting(),
                    n_led_jobs: self.node.n_led_jobs(),
                    n_led: self.node.n_led(),
                    n_endpoints: self.node.n_endpoints(),
                    plan_version: self.node.plan().map_or(0, |it| it.version),
                    n_left_out: self.log.n_left_out(),
                };
                // The caller may have gone.
                let _ = reply.send(self.metrics.encode(gauges));
            }
            CellInput::Stop => self.node.stop(now),
        }
    }

    fn handle_peer_input(&mut self, input: PeerInput) {
        let now = self.clock.now();
        match input {
            PeerInput::Message(from, PeerMessage::Cell(message)) => {
                self.node.handle_message(&from, message, now);
            }
            PeerInput::Datagram(from, PeerDatagram::CellHeartbeat(heartbeat)) => {
                self.node.handle_heartbeat(&from, heartbeat, now);
            }
            PeerInput::Datagram(from, PeerDatagram::HeartbeatDigest(digest)) => {
                self.node.handle_digest(&from, digest, now);
            }
            PeerInput::ConnectionLost(vm) => self.node.handle_connection_loss(&vm, now),
            // Keep-alives of waiting jobs find out about lost offers and results.
            PeerInput::MessagesLost(..) | PeerInput::Message(..) | PeerInput::Datagram(..) => {}
        }
    }

    fn run_effects(&mut self) {
        let now = self.clock.now();
        for effect in self.node.drain_effects() {
            match effect {
                NodeEffect::Order(order) => {
                    let (send, outcomes) = (self.send.clone(), self.outcomes.clone());
                    tokio::spawn(async move {
                        let outcome = send(order.clone()).await;
                        // A closed channel means that the process is ending.
                        let _ = outcomes.send(CellInput::Outcome(order, outcome));
                    });
                }
                NodeEffect::Send(vm, message) => {
                    self.link.send(&vm, &PeerMessage::Cell(message), now);
                }
                NodeEffect::Heartbeat(vms, heartbeat) => {
                    self.link.send_datagrams(&vms, &PeerDatagram::CellHeartbeat(heartbeat));
                }
                NodeEffect::Digest(vms, digest) => {
                    self.link.send_datagrams(&vms, &PeerDatagram::HeartbeatDigest(digest));
                }
                NodeEffect::Answer(call, result) => {
                    if let Some(reply) = self.calls.swap_remove(&call) {
                        // The caller may have gone.
                        let _ = reply.send(result);
                    }
                }
                NodeEffect::CancelAnswer(call, result) => {
                    if let Some(reply) = self.cancel_calls.swap_remove(&call) {
                        // The caller may have gone.
                        let _ = reply.send(result);
                    }
                }
                NodeEffect::LogDecision(record) => {
                    self.metrics.record_decision(&record);
                    self.log.log_decision(record);
                }
            }
        }
        self.publish_view();
    }

    /// Publishes the view for other tasks when it has changed.
    fn publish_view(&mut self) {
        let now = self.clock.now();
        let is_ready = self.node.is_ready(now);
        let n_open = self.node.n_waiting() + self.node.n_led_jobs();
        let version = self.node.plan().map(|it| it.version);
        self.view.send_if_modified(|view| {
            let is_same_plan = view.plan.as_ref().map(|it| it.version) == version;
            if is_same_plan && view.is_ready == is_ready && view.n_open == n_open {
                return false;
            }
            if view.is_ready != is_ready {
                info!("ready: {is_ready}, endpoints: {}", self.node.n_endpoints());
            }
            view.is_ready = is_ready;
            view.n_open = n_open;
            if !is_same_plan {
                view.plan = self.node.plan().cloned().map(Arc::new);
            }
            true
        });
    }
}
