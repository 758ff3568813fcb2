//! Many endpoints that only announce themselves, and what they cost the entries.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use tokio::time;
use yuccamux_adapters::{api_types::AnnounceBody, connection_pool::ConnectionPool};

use crate::{load_args::AnnounceCommand, load_client};

/// Announcements a second are spread over this many steps.
const STEPS: usize = 20;
/// Time for an announcement.
const ANNOUNCE_TIME: Duration = Duration::from_secs(2);

/// Announces the endpoints and prints the entries' messages before and after.
pub(crate) async fn run(args: &AnnounceCommand) -> anyhow::Result<()> {
    let entries = load_client::addresses(&args.entries)?;
    let pool = ConnectionPool::new();
    let mut ticks = time::interval(Duration::from_millis(1_000 / STEPS as u64));
    let mut before = Vec::new();
    for turn in 0..args.seconds as usize * STEPS {
        ticks.tick().await;
        // The first seconds carry the whole announcements.
        if turn == 4 * STEPS {
            before = sent(&pool, &entries).await;
        }
        for number in (turn % STEPS..args.count).step_by(STEPS) {
            let entry = &entries[(number + turn / STEPS) % entries.len()];
            let body = serde_json::to_vec(&announcement(number))?;
            let answer = load_client::send(
                &pool,
                Method::POST,
                entry,
                "/v1/endpoints",
                None,
                Bytes::from(body),
                ANNOUNCE_TIME,
            );
            // An announcement that fails is made again a second later.
            let _ = answer.await;
        }
    }
    let span = (args.seconds - 4) as f64;
    for (entry, (before, after)) in
        entries.iter().zip(before.iter().zip(sent(&pool, &entries).await))
    {
        println!(
            "{entry} endpoints {} messages/s {:.1} bytes/s {:.0}",
            args.count,
            (after.0 - before.0) / span,
            (after.1 - before.1) / span
        );
    }
    Ok(())
}

fn announcement(number: usize) -> AnnounceBody {
    AnnounceBody {
        name: format!("endpoint-{number}"),
        address: format!("127.0.1.{}:9", 1 + number % 250),
        incarnation: 1,
        slots: 8,
        connections: 60,
        kinds: vec!["none".to_owned()],
        worker: format!("worker-{number}"),
        rack: format!("rack-{}", number / 8),
        processors: 16,
        memory_mb: 65_536,
        leaving: false,
    }
}

/// Messages and bytes that each entry has sent to other VMs.
async fn sent(pool: &ConnectionPool, entries: &[String]) -> Vec<(f64, f64)> {
    let mut sent = Vec::new();
    for entry in entries {
        let text = load_client::get_text(pool, entry, "/v1/status").await.unwrap_or_default();
        let status: Value = serde_json::from_str(&text).unwrap_or_default();
        let number = |idx: usize| status["sent"][idx].as_f64().unwrap_or_default();
        sent.push((number(0), number(1)));
    }
    sent
}
