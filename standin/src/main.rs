//! `yuccamux-standin`: a stand-in endpoint, for trials and tests only.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use anyhow::Context;
use argh::FromArgs;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header::HOST};
use log::info;
use tokio::{net::TcpListener, sync::watch, time};
use yuccamux_adapters::{
    api_types::AnnounceBody,
    connection_pool::ConnectionPool,
    http_server::{self, ServerLimits},
    log_lines::{self, LogForm},
    process_setup,
    setting_args::{self, ProgramSettings},
};
use yuccamux_standin::{
    standin_endpoint::{StandinEndpoint, StandinSettings},
    standin_script::StandinScript,
};

/// Time between announcements.
const ANNOUNCE: Duration = Duration::from_millis(1_000);
/// Time for an announcement.
const ANNOUNCE_TIME: Duration = Duration::from_millis(500);
/// Time between the notice of leaving and the stop.
const LEAVE_TIME: Duration = Duration::from_millis(1_500);

/// Stand-in endpoint of yuccamux, for trials and tests: sleeps in place of work.
#[derive(FromArgs, Debug)]
struct StandinArgs {
    /// name of the endpoint
    #[argh(option)]
    name: String,
    /// IP:PORT for HTTP (127.0.0.1:0)
    #[argh(option, default = "\"127.0.0.1:0\".parse().expect(\"a fixed address\")")]
    listen: SocketAddr,
    /// entries of its data centre to announce to, IP:PORT, separated by commas
    #[argh(option)]
    entries: String,
    /// tasks that it runs at once (8)
    #[argh(option, default = "8")]
    slots: u32,
    /// connections that it announces (60)
    #[argh(option, default = "60")]
    connections: u32,
    /// times slower than usual (1.0)
    #[argh(option, default = "1.0")]
    factor: f64,
    /// run time of a task whose input has no run_ms, in ms (100)
    #[argh(option, default = "100.0")]
    run_ms: f64,
    /// spread of run times, as a share of each (0.1)
    #[argh(option, default = "0.1")]
    spread: f64,
    /// rack that it announces
    #[argh(option, default = "String::new()")]
    rack: String,
    /// file that keeps the record of starts across lives of the process
    #[argh(option)]
    record: Option<PathBuf>,
    /// bearer token for the announcements
    #[argh(option)]
    token: Option<String>,
}

impl ProgramSettings for StandinArgs {
    const FLAGS: &'static [&'static str] = &[
        "name",
        "listen",
        "entries",
        "slots",
        "connections",
        "factor",
        "run-ms",
        "spread",
        "rack",
        "record",
        "token",
    ];
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: StandinArgs = setting_args::read();
    log_lines::start(LogForm::Text)?;
    let endpoint = StandinEndpoint::new(StandinSettings {
        name: args.name.clone(),
        slots: args.slots,
        factor: args.factor,
        run_ms: args.run_ms,
        spread: args.spread,
        record: args.record.clone(),
    })?;
    let mut stop_signals = process_setup::StopSignals::register()?;
    let listener = TcpListener::bind(args.listen).await.context("--listen")?;
    let address = listener.local_addr()?;
    info!("{} listens on {address}", args.name);
    let (stop_sender, stop) = watch::channel(false);
    let served = Arc::clone(&endpoint);
    let handle = move |request| Arc::clone(&served).handle(request);
    let limits =
        ServerLimits { shutdown_timeout: Duration::from_secs(5), ..ServerLimits::default() };
    let server = tokio::spawn(http_server::serve(listener, limits, stop, handle));
    let announcing = tokio::spawn(announce(args, address, Arc::clone(&endpoint)));
    stop_signals.wait().await;
    endpoint.set_script(StandinScript { leaving: true, ..endpoint.script() });
    time::sleep(LEAVE_TIME).await;
    while 0 < endpoint.n_running() {
        time::sleep(Duration::from_millis(10)).await;
    }
    stop_sender.send_replace(true);
    server.await?;
    announcing.abort();
    Ok(())
}

/// Announces the endpoint to one entry after another, on to the next where one fails.
async fn announce(args: StandinArgs, address: SocketAddr, endpoint: Arc<StandinEndpoint>) {
    let entries: Vec<String> = args.entries.split(',').map(str::to_owned).collect();
    let pool = ConnectionPool::new();
    let mut ticks = time::interval(ANNOUNCE);
    let mut turn = 0;
    loop {
        ticks.tick().await;
        let body = AnnounceBody {
            name: args.name.clone(),
            address: address.to_string(),
            incarnation: endpoint.incarnation(),
            slots: args.slots,
            connections: args.connections,
            kinds: Vec::new(),
            worker: args.name.clone(),
            rack: args.rack.clone(),
            processors: 16,
            memory_mb: 65_536,
            leaving: endpoint.script().leaving,
        };
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        for _ in 0..entries.len() {
            let entry = &entries[turn % entries.len()];
            turn += 1;
            if send_announcement(&pool, entry, &args, body.clone()).await {
                break;
            }
        }
    }
}

async fn send_announcement(
    pool: &ConnectionPool,
    entry: &str,
    args: &StandinArgs,
    body: Bytes,
) -> bool {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/v1/endpoints")
        .header(HOST, entry)
        .header("content-type", "application/json");
    if let Some(token) = &args.token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let Ok(request) = request.body(Full::new(body)) else { return false };
    match pool.send(entry, request, ANNOUNCE_TIME).await {
        Ok(answer) => answer.status().is_success(),
        Err(_) => false,
    }
}
