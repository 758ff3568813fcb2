//! `yuccamux-entry`: callers' and endpoints' HTTP, dispatch, and a replica of the data
//! centre's job ledger.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use argh::FromArgs;
use log::info;
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};
use yuccamux::{
    entry_node::EntrySettings,
    job_dispatcher::JobDispatcher,
    job_ledger::{LedgerLimits, OwnerId},
    policy_settings::{AdmissionRule, OrderRule, PlacementRule, PolicySettings},
    prelude::*,
    quarantine_list::QuarantineRule,
    slot_leases::LeaseRule,
    vm_layout::VmRole,
};
use yuccamux_adapters::{
    connection_guard::GuardSettings,
    entry_control,
    entry_http::{EntryHttp, EntryHttpSettings},
    http_server::{self, ServerLimits},
    job_service::JobService,
    log_lines::{self, LogForm},
    process_setup::{self, StopSignals},
    setting_args::{self, ProgramSettings},
    wall_clock::WallClock,
};

/// Entries after which a ledger's log is trimmed.
const LEDGER_COMPACT_ENTRIES: usize = 20_000;
/// Time between saying that the VM stops and refusing connections.
const STOP_NOTICE: Duration = Duration::from_millis(500);

/// Entry of yuccamux: takes jobs from callers and hands their tasks to endpoints.
/// Every flag can be given as an environment variable: --listen as YUCCAMUX_LISTEN.
#[derive(FromArgs, Debug)]
struct EntryArgs {
    /// name of this VM, as in --vms
    #[argh(option)]
    name: VmNameArg,
    /// all VMs: ROLE:NAME=DATA-CENTRE=IP:PORT, separated by commas; the same everywhere
    #[argh(option)]
    vms: String,
    /// IP:PORT for HTTP
    #[argh(option)]
    listen: SocketAddr,
    /// file with one or two keys, one a line, for messages between VMs; none: loopback only
    #[argh(option)]
    link_keys: Option<PathBuf>,
    /// file with bearer tokens of callers, one a line; none: loopback only
    #[argh(option)]
    caller_tokens: Option<PathBuf>,
    /// file with bearer tokens of endpoints, one a line; none: loopback only
    #[argh(option)]
    endpoint_tokens: Option<PathBuf>,
    /// file with bearer tokens of operators, one a line; none: loopback only
    #[argh(option)]
    operator_tokens: Option<PathBuf>,
    /// form of log lines: text, json (text)
    #[argh(option, default = "LogForm::Text")]
    log_form: LogForm,
    /// deadline of a job that states none, in ms (30000)
    #[argh(option, default = "30_000")]
    default_deadline_ms: u64,
    /// longest deadline, in ms (300000)
    #[argh(option, default = "300_000")]
    max_deadline_ms: u64,
    /// largest body, in bytes (8388608)
    #[argh(option, default = "8 << 20")]
    max_body_bytes: usize,
    /// time for a request's header, in ms (5000)
    #[argh(option, default = "5_000")]
    header_ms: u64,
    /// time for a request's body, in ms (5000)
    #[argh(option, default = "5_000")]
    body_ms: u64,
    /// longest wait for requests in flight at a stop, in ms (60000)
    #[argh(option, default = "60_000")]
    stop_ms: u64,
    /// placement: random, least-outstanding, two-choices, expected-finish (expected-finish)
    #[argh(option, default = "PlacementRule::ExpectedFinish")]
    placement: PlacementRule,
    /// slots: uncoordinated, shares, single-owner (shares)
    #[argh(option, default = "LeaseRule::Shares")]
    leases: LeaseRule,
    /// order: arrival, urgency, urgency-fair-nearest (urgency-fair-nearest)
    #[argh(option, default = "OrderRule::UrgencyFairNearest")]
    order: OrderRule,
    /// admission: off, bounded-queue, predicted-wait (predicted-wait)
    #[argh(option, default = "AdmissionRule::PredictedWait")]
    admission: AdmissionRule,
    /// quarantine: off, failures, failures-and-stalls (failures-and-stalls)
    #[argh(option, default = "QuarantineRule::FailuresAndStalls")]
    quarantine: QuarantineRule,
    /// most tasks in the queue with --admission bounded-queue (10000)
    #[argh(option, default = "10_000")]
    max_queued: u32,
    /// longest predicted wait with --admission predicted-wait, in ms (2000)
    #[argh(option, default = "2_000")]
    max_wait_ms: u64,
    /// how long a key may be sent again, in ms; the same everywhere (600000)
    #[argh(option, default = "600_000")]
    horizon_ms: u64,
    /// most jobs that the ledger keeps; the same everywhere (2000000)
    #[argh(option, default = "2_000_000")]
    max_jobs: u64,
    /// most bytes that the ledger keeps; the same everywhere (2147483648)
    #[argh(option, default = "2 << 30")]
    max_ledger_bytes: u64,
    /// largest difference between two VMs' clocks, in ms; the same everywhere (500)
    #[argh(option, default = "500")]
    clock_skew_ms: u64,
    /// shortest silence of a ledger's leader before an election, in ms (400)
    #[argh(option, default = "400")]
    election_ms: u64,
    /// time between a ledger leader's heartbeats, in ms (100)
    #[argh(option, default = "100")]
    heartbeat_ms: u64,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

impl ProgramSettings for EntryArgs {
    const FLAGS: &'static [&'static str] = &[
        "name",
        "vms",
        "listen",
        "link-keys",
        "caller-tokens",
        "endpoint-tokens",
        "operator-tokens",
        "log-form",
        "default-deadline-ms",
        "max-deadline-ms",
        "max-body-bytes",
        "header-ms",
        "body-ms",
        "stop-ms",
        "placement",
        "leases",
        "order",
        "admission",
        "quarantine",
        "max-queued",
        "max-wait-ms",
        "horizon-ms",
        "max-jobs",
        "max-ledger-bytes",
        "clock-skew-ms",
        "election-ms",
        "heartbeat-ms",
    ];
}

/// A VM's name as a flag.
#[derive(Clone, Debug)]
struct VmNameArg(VmName);

impl std::str::FromStr for VmNameArg {
    type Err = String;

    fn from_str(text: &str) -> Result<VmNameArg, String> {
        Ok(VmNameArg(VmName::from(text)))
    }
}

fn main() -> anyhow::Result<()> {
    let args: EntryArgs = setting_args::read();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().thread_name("traffic").enable_all().build()?;
    runtime.block_on(run(args))
}

async fn run(args: EntryArgs) -> anyhow::Result<()> {
    let vm = args.name.0.clone();
    let layout = process_setup::read_layout(&args.vms, &vm, VmRole::Entry)?;
    let keys = process_setup::read_link_keys(args.link_keys.as_ref())?;
    let callers = process_setup::read_guard("--caller-tokens", args.caller_tokens.as_ref())?;
    let endpoints = process_setup::read_guard("--endpoint-tokens", args.endpoint_tokens.as_ref())?;
    let operators = process_setup::read_guard("--operator-tokens", args.operator_tokens.as_ref())?;
    let centre = layout.vm(&vm).map_or(DataCentre::from(""), |it| it.centre.clone());
    for (guard, flag) in [
        (&callers, "--caller-tokens"),
        (&endpoints, "--endpoint-tokens"),
        (&operators, "--operator-tokens"),
    ] {
        process_setup::check_exposure(args.listen, guard.allows_all().then_some(flag))?;
    }
    process_setup::check_link_exposure(&layout, &vm, &keys)?;
    if args.check {
        println!("the settings are valid");
        return Ok(());
    }
    log_lines::start(args.log_form)?;
    let mut stop_signals = StopSignals::register()?;
    info!("starts as {vm} in {centre}: {args:?}");
    let sockets = process_setup::bind_links(&layout, &vm)?;
    let clock = WallClock::new();
    let owner = OwnerId { vm: vm.clone(), incarnation: clock.started_at().0 };
    let seed = rand::random();
    let settings = EntrySettings {
        owner: owner.clone(),
        layout,
        limits: LedgerLimits {
            horizon_ms: args.horizon_ms,
            clock_skew_ms: args.clock_skew_ms,
            max_jobs: args.max_jobs,
            max_bytes: args.max_ledger_bytes,
        },
        election_ms: args.election_ms,
        heartbeat_ms: args.heartbeat_ms,
        compact_entries: LEDGER_COMPACT_ENTRIES,
        seed,
    };
    let (traffic_sender, traffic_inputs) = mpsc::unbounded_channel();
    let control = entry_control::start(settings, keys, sockets, clock, traffic_sender)?;
    let policy = PolicySettings {
        placement: args.placement,
        leases: args.leases,
        order: args.order,
        admission: args.admission,
        quarantine: args.quarantine,
        max_queued: args.max_queued,
        max_wait_ms: args.max_wait_ms,
    };
    let dispatcher = JobDispatcher::new(vm, policy, seed);
    let jobs = JobService::new(dispatcher, control, clock, owner);
    tokio::spawn(Arc::clone(&jobs).run(traffic_inputs));
    let limits = ServerLimits {
        header_timeout: Duration::from_millis(args.header_ms),
        body_timeout: Duration::from_millis(args.body_ms),
        max_body_bytes: args.max_body_bytes,
        shutdown_timeout: Duration::from_millis(args.stop_ms),
        ..ServerLimits::default()
    };
    let http = EntryHttp::new(
        Arc::clone(&jobs),
        EntryHttpSettings {
            centre,
            limits,
            default_deadline_ms: args.default_deadline_ms,
            max_deadline_ms: args.max_deadline_ms,
            callers,
            endpoints,
            operators,
        },
    );
    let listener = process_setup::bind_http(args.listen, &GuardSettings::default())?;
    info!("listens on {}", listener.local_addr()?);
    let (stop_sender, stop) = watch::channel(false);
    let handle = move |request| http.clone().handle(request);
    let server = tokio::spawn(http_server::serve(listener, limits, stop, handle));
    stop_signals.wait().await;
    drain(&jobs, limits.shutdown_timeout).await;
    stop_sender.send_replace(true);
    server.await?;
    info!("stopped");
    Ok(())
}

/// Refuses new work and waits until every submission has its answer.
async fn drain(jobs: &JobService, stop_time: Duration) {
    info!("stops: takes no new work, {} submissions are open", jobs.n_open());
    jobs.control().stop();
    time::sleep(STOP_NOTICE).await;
    let give_up_at = Instant::now() + stop_time;
    while 0 < jobs.n_open() && Instant::now() < give_up_at {
        time::sleep(Duration::from_millis(5)).await;
    }
    check_invariant(Invariant::ShutdownIsDrained, jobs.n_open() == 0);
}
