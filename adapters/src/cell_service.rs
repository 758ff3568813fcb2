//! The loop that owns an entry's cell state, and the handle of its traffic on it.

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
        job_offer::{JobCode, JobOffer, JobVerdict},
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

/// Time between ticks while jobs are at work: timeouts of a fifth of a second are kept well.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Time between ticks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(40);
/// Inputs taken before effects are carried out.
const MAX_INPUTS: usize = 1_024;

/// Sends an order to an endpoint.
pub type SendFunction =
    Arc<dyn Fn(EndpointOrder) -> Pin<Box<dyn Future<Output = OrderOutcome> + Send>> + Send + Sync>;

/// What the traffic asks of the loop.
enum CellInput {
    Submit(CallNumber, JobOffer, oneshot::Sender<JobVerdict>),
    CallerLeft(CallNumber),
    Cancel(JobCode, oneshot::Sender<bool>),
    Pending(String, oneshot::Sender<u64>),
    Outcome(EndpointOrder, OrderOutcome),
    Controls(Vec<VmName>),
    Metrics(oneshot::Sender<String>),
    Stop,
}

/// What others may see of an entry's state.
#[derive(Clone, Debug, Default)]
pub struct CellView {
    /// The routes in force.
    pub plan: Option<Arc<RoutePlan>>,
    /// Whether the entry can serve callers.
    pub is_ready: bool,
    /// Jobs that wait here or are at work in cells that the entry leads.
    pub n_open: usize,
}

/// The traffic's handle on the loop.
#[derive(Clone)]
pub struct CellHandle {
    inbox: mpsc::UnboundedSender<CellInput>,
    view: watch::Receiver<CellView>,
    next_call: Arc<std::sync::atomic::AtomicU64>,
}

/// Takes a job back when its caller's request is dropped before it was answered.
struct CancelOnDrop {
    inbox: mpsc::UnboundedSender<CellInput>,
    call: Option<CallNumber>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(call) = self.call {
            // A closed inbox means that the process ends.
            let _ = self.inbox.send(CellInput::CallerLeft(call));
        }
    }
}

impl CellHandle {
    /// What is in force now.
    pub fn view(&self) -> CellView {
        self.view.borrow().clone()
    }

    /// Submits a job and waits for its end; dropping the future withdraws the job.
    pub async fn submit(&self, offer: JobOffer) -> JobVerdict {
        let number = self.next_call.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let call = CallNumber(number);
        let (reply, answer) = oneshot::channel();
        let mut guard = CancelOnDrop { inbox: self.inbox.clone(), call: Some(call) };
        let _ = self.inbox.send(CellInput::Submit(call, offer, reply));
        let verdict = answer.await.unwrap_or(JobVerdict::Unknown);
        guard.call = None;
        verdict
    }

    /// Cancels a job; whether a caller of this entry waited for it.
    pub async fn cancel(&self, job: JobCode) -> bool {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(CellInput::Cancel(job, reply));
        answer.await.unwrap_or(false)
    }

    /// Jobs of a route none of whose tasks has started.
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

    /// Names further control VMs.
    pub fn add_control_vms(&self, vms: Vec<VmName>) {
        let _ = self.inbox.send(CellInput::Controls(vms));
    }

    /// Gives the cells up to others; jobs that wait here go on.
    pub fn stop(&self) {
        let _ = self.inbox.send(CellInput::Stop);
    }
}

/// Starts the loop on the runtime of the caller.
///
/// # Errors
///
/// When the sockets cannot be used or the log cannot be started.
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
    calls: IndexMap<CallNumber, oneshot::Sender<JobVerdict>>,
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
            for _ in 0..MAX_INPUTS {
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
                self.node.withdraw(call, now);
            }
            CellInput::Cancel(job, reply) => {
                // The caller may have hung up.
                let _ = reply.send(self.node.cancel(job, now));
            }
            CellInput::Pending(route, reply) => {
                let _ = reply.send(self.node.n_pending(&route));
            }
            CellInput::Outcome(order, outcome) => self.node.take_outcome(&order, outcome, now),
            CellInput::Controls(vms) => self.node.add_controls(vms),
            CellInput::Metrics(reply) => {
                let gauges = CellGauges {
                    n_waiting: self.node.n_waiting(),
                    n_led_jobs: self.node.n_led_jobs(),
                    n_led: self.node.n_led(),
                    n_endpoints: self.node.n_endpoints(),
                    plan_version: self.node.plan().map_or(0, |it| it.version),
                    n_left_out: self.log.n_left_out(),
                };
                // The caller may have hung up.
                let _ = reply.send(self.metrics.encode(gauges));
            }
            CellInput::Stop => self.node.stop(now),
        }
    }

    fn handle_peer_input(&mut self, input: PeerInput) {
        let now = self.clock.now();
        match input {
            PeerInput::Message(from, PeerMessage::Cell(message)) => {
                self.node.receive(&from, message, now);
            }
            PeerInput::Datagram(from, PeerDatagram::Beat(beat)) => {
                self.node.receive_beat(&from, beat, now);
            }
            PeerInput::ConnectionLost(vm) => self.node.connection_broke(&vm, now),
            PeerInput::Message(..) | PeerInput::Datagram(..) => {}
        }
    }

    fn run_effects(&mut self) {
        for effect in self.node.take_effects() {
            match effect {
                NodeEffect::Order(order) => {
                    let (send, outcomes) = (self.send.clone(), self.outcomes.clone());
                    tokio::spawn(async move {
                        let outcome = send(order.clone()).await;
                        // A closed inbox means that the process ends.
                        let _ = outcomes.send(CellInput::Outcome(order, outcome));
                    });
                }
                NodeEffect::Send(vm, message) => self.link.send(&vm, &PeerMessage::Cell(message)),
                NodeEffect::Beat(vm, beat) => {
                    self.link.send_datagram(&vm, &PeerDatagram::Beat(beat));
                }
                NodeEffect::Answer(call, verdict) => {
                    if let Some(reply) = self.calls.swap_remove(&call) {
                        // The caller may have left in this moment.
                        let _ = reply.send(verdict);
                    }
                }
                NodeEffect::Note(note) => {
                    self.metrics.record_decision(&note);
                    self.log.log_decision(note);
                }
            }
        }
        self.publish_view();
    }

    /// Shows the traffic what has changed.
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
