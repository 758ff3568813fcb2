//! The thread for control state, with an event loop of its own.

use std::{future::Future, sync::mpsc, thread, time::Duration};

use anyhow::Context;
use tokio::{
    runtime,
    sync::mpsc::UnboundedReceiver,
    time::{self, Interval, MissedTickBehavior},
};

use crate::peer_link::{PeerInput, PeerLink};

/// Starts the thread: `link` makes the link on its runtime, and what `run` makes of the
/// link then runs until it ends.
///
/// # Errors
///
/// When the thread cannot be made or `link` fails.
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
            // The starter waits for this one message.
            let _ = sender.send(linked);
            if let Some(link) = link {
                run(link).await;
            }
        });
    })?;
    started.recv().context("the control thread ended at its start")?
}

/// Inputs taken before effects are carried out.
const MAX_INPUTS: usize = 4_096;

/// What a control thread waits for.
pub(crate) enum ThreadInput<T> {
    /// From the threads of its own process.
    Own(T),
    /// From another VM.
    Peer(Box<PeerInput>),
    /// Time has passed.
    Tick,
}

/// The inputs of a control thread.
pub(crate) struct ThreadInbox<T> {
    own: UnboundedReceiver<T>,
    peers: UnboundedReceiver<PeerInput>,
    ticks: Interval,
}

impl<T> ThreadInbox<T> {
    /// The inputs from both sides, and a tick each `tick`; on a runtime only.
    pub(crate) fn new(
        own: UnboundedReceiver<T>,
        peers: UnboundedReceiver<PeerInput>,
        tick: Duration,
    ) -> ThreadInbox<T> {
        let mut ticks = time::interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        ThreadInbox { own, peers, ticks }
    }

    /// Waits for an input and takes as many as there are at once; none once the process
    /// has dropped its side.
    pub(crate) async fn receive(&mut self) -> Option<Vec<ThreadInput<T>>> {
        let first = tokio::select! {
            input = self.own.recv() => ThreadInput::Own(input?),
            Some(input) = self.peers.recv() => ThreadInput::Peer(Box::new(input)),
            _ = self.ticks.tick() => ThreadInput::Tick,
        };
        let mut inputs = vec![first];
        while inputs.len() < MAX_INPUTS {
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
