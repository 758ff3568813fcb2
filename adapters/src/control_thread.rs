//! The thread for control state, with an event loop of its own.

use std::{future::Future, sync::mpsc, thread};

use anyhow::Context;
use tokio::runtime;

use crate::peer_link::PeerLink;

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
