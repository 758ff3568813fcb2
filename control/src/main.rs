//! `yuccamux-control`: a replica of the configuration log, and operators' HTTP.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::Context;
use argh::FromArgs;
use log::info;
use tokio::sync::watch;
use yuccamux::{
    control_node::{ControlSettings, GroupRule},
    job_ledger::OwnerId,
    prelude::*,
    vm_layout::VmRole,
};
use yuccamux_adapters::{
    connection_guard::GuardSettings,
    control_http::ControlHttp,
    control_service,
    http_server::{self, ServerLimits},
    log_lines::{self, LogForm},
    peer_link::AddressBook,
    process_setup::{self, StopSignals},
    setting_args::{self, ProgramSettings},
    wall_clock::WallClock,
};

/// Control VM of yuccamux: keeps the configuration, with others of its kind.
/// Every flag can be given as an environment variable: --listen as YUCCAMUX_LISTEN.
#[derive(FromArgs, Debug)]
struct ControlArgs {
    /// name of this VM, as in --vms
    #[argh(option)]
    name: String,
    /// all VMs: ROLE:NAME=DATA-CENTRE=IP:PORT, separated by commas; the same everywhere
    #[argh(option)]
    vms: String,
    /// IP:PORT for HTTP
    #[argh(option)]
    listen: SocketAddr,
    /// folder for the state of this VM
    #[argh(option)]
    data_folder: PathBuf,
    /// file with one or two keys, one a line, for messages between VMs; none: loopback only
    #[argh(option)]
    link_keys: Option<PathBuf>,
    /// file with bearer tokens of operators, one a line; none: loopback only
    #[argh(option)]
    operator_tokens: Option<PathBuf>,
    /// form of log lines: text, json (text)
    #[argh(option, default = "LogForm::Text")]
    log_form: LogForm,
    /// shortest silence of the leader before an election, in ms (1000)
    #[argh(option, default = "1_000")]
    election_ms: u64,
    /// time between the leader's heartbeats, in ms (250)
    #[argh(option, default = "250")]
    heartbeat_ms: u64,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

impl ProgramSettings for ControlArgs {
    const FLAGS: &'static [&'static str] = &[
        "name",
        "vms",
        "listen",
        "data-folder",
        "link-keys",
        "operator-tokens",
        "log-form",
        "election-ms",
        "heartbeat-ms",
    ];
}

fn main() -> anyhow::Result<()> {
    let args: ControlArgs = setting_args::read();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("operators")
        .enable_all()
        .build()?;
    runtime.block_on(run(args))
}

async fn run(args: ControlArgs) -> anyhow::Result<()> {
    let vm = VmName::from(args.name.as_str());
    let layout = process_setup::read_layout(&args.vms, &vm, VmRole::Control)?;
    let keys = process_setup::read_link_keys(args.link_keys.as_ref())?;
    let operators = process_setup::read_guard("--operator-tokens", args.operator_tokens.as_ref())?;
    let missing = operators.allows_all().then_some("--operator-tokens");
    process_setup::check_exposure(args.listen, missing)?;
    process_setup::check_link_exposure(&layout, &vm, &keys)?;
    if args.check {
        println!("the settings are valid");
        return Ok(());
    }
    log_lines::start(args.log_form)?;
    let mut stop_signals = StopSignals::register()?;
    info!("starts as {vm}: {args:?}");
    let sockets = process_setup::bind_links(&layout, &vm)?;
    let clock = WallClock::new();
    let addresses = AddressBook::from_layout(&layout)?;
    let settings = ControlSettings {
        owner: OwnerId { vm, incarnation: clock.started_at().0 },
        layout,
        group_rule: GroupRule::Static,
        election_ms: args.election_ms,
        heartbeat_ms: args.heartbeat_ms,
        seed: rand::random(),
    };
    let service =
        control_service::start(settings, args.data_folder, addresses, keys, sockets, clock)
            .context("could not start the configuration log")?;
    let limits = ServerLimits::default();
    let http = ControlHttp { service, limits, operators };
    let listener = process_setup::bind_http(args.listen, &GuardSettings::default())?;
    info!("listens on {}", listener.local_addr()?);
    let (stop_sender, stop) = watch::channel(false);
    let handle = move |request| http.clone().handle(request);
    let server = tokio::spawn(http_server::serve(listener, limits, stop, handle));
    stop_signals.wait().await;
    stop_sender.send_replace(true);
    server.await?;
    info!("stopped");
    Ok(())
}
