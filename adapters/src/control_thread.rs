//! Starts a thread with an async runtime of its own for control state, and batches its inputs.

use std::{future::Future, sync::mpsc, thread, time::Duration};

use anyhow::Context;
use tokio::{
    runtime,
    sync::mpsc::UnboundedReceiver,
    time::{self, Interval, MissedTickBehavior},
};

use crate::peer_link::{PeerInput, PeerLink};

/// Starts the thread: `link` creates the link on the thread's runtime, and the future that
/// `run` returns for it is run to its end.
///
/// # Errors
///
/// When the thread cannot be started or `link` fails.
pub(crate) fn start<F>(
    link: impl FnOnce() -> anyhow::Result<PeerLink> + Send + 'static,
    run: impl FnOnce(PeerLink) -> F + Send + 'static,
) -> anyhow::Result<PeerLink>
where
    F: Future<Output = ()>,
{
    let (sender, started) = mpsc::channel();
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let linked = link();
            let link = linked.as_ref().ok().cloned();
            // The starting thread waits for this one message.
            let _ = sender.send(linked);
            if let Some(link) = link {
                run(link).await;
            }
        });
    })?;
    started.recv().context("the control thread ended during start-up")?
}

/// Inputs in a batch at most.
const MAX_BATCH_INPUTS: usize = 4_096;

/// An input of a control thread.
pub(crate) enum ThreadInput<T> {
    /// From another thread of the process.
    Own(T),
    /// From another VM.
    Peer(Box<PeerInput>),
    /// The tick interval has passed.
    Tick,
}

/// The inputs of a control thread.
pub(crate) struct ThreadInbox<T> {
    own: UnboundedReceiver<T>,
    peers: UnboundedReceiver<PeerInput>,
    ticks: Interval,
}

impl<T> ThreadInbox<T> {
    /// Merges both channels with a timer of period `tick`; must be called on a runtime.
    pub(crate) fn new(
        own: UnboundedReceiver<T>,
        peers: UnboundedReceiver<PeerInput>,
        tick: Duration,
    ) -> ThreadInbox<T> {
        let mut ticks = time::interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        ThreadInbox { own, peers, ticks }
    }

    /// Waits for an input and returns it with all others that are ready, up to
    /// [`MAX_BATCH_INPUTS`]; `None` once the process has dropped its senders.
    pub(crate) async fn receive(&mut self) -> Option<Vec<ThreadInput<T>>> {
        let first = tokio::select! {
            input = self.own.recv() => ThreadInput::Own(input?),
            Some(input) = self.peers.recv() => ThreadInput::Peer(Box::new(input)),
            _ = self.ticks.tick() => ThreadInput::Tick,
        };
        let mut inputs = vec![first];
        while inputs.len() < MAX_BATCH_INPUTS {
            if let Ok(input) = self.own.try_recv() {
                inputs.push(ThreadInput::Own(input));
            } else if let Ok(input) = self.peers.try_recv() {
                inputs.push(ThreadInput::Peer(Box::new(input)));
            } else {
                break;
            }
        }
        Some(inputs)
    }
}
