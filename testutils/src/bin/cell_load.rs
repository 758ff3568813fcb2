//! `cell_load`: what the decisions of an entry that leads cells cost, and who is served.

use argh::FromArgs;
use indexmap::IndexMap;
use yuccamux_testutils::load_world::{KindOutcome, LoadKind, LoadPlan, LoadShape, LoadWorld};

/// Plays a load on one entry that leads a few cells; prints shares served and costs.
#[derive(FromArgs, Debug)]
struct LoadArgs {
    /// seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// racks (2)
    #[argh(option, default = "2")]
    racks: usize,
    /// endpoints in a rack (8)
    #[argh(option, default = "8")]
    endpoints: usize,
    /// other entries (35)
    #[argh(option, default = "35")]
    peers: usize,
    /// percent of the endpoints' processor that jobs ask for (80)
    #[argh(option, default = "80")]
    load: u64,
    /// seconds (20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// 16-core tasks on endpoints of 32 and 48 cores under a load that swings by 0.55 every 15 s
    #[argh(switch)]
    swing: bool,
}

fn main() {
    let args: LoadArgs = argh::from_env();
    let plan = if args.swing {
        LoadPlan::swinging(args.racks, args.endpoints, args.load, args.seconds)
    } else {
        steady_plan(&args)
    };
    let plan = LoadPlan { n_peers: args.peers, ..plan };
    let mut world = LoadWorld::new(args.seed, &plan);
    world.run();
    print_outcomes("", &world.outcomes);
    print_outcomes("widest tenth of ", &world.wide_outcomes);
    println!("used share of room: {} thousandths", world.used_milli());
    println!("used share at the peak: {} thousandths", world.peak_used_milli());
    for (cause, cost) in &world.costs {
        println!("{cause}: {:.3} ms a second", cost.as_secs_f64() * 1e3 / args.seconds as f64);
    }
    println!("{} starts a second", world.n_starts / args.seconds);
    println!("decisions: {:?}", world.notes);
}

fn print_outcomes(of: &str, outcomes: &IndexMap<&'static str, KindOutcome>) {
    for (route, it) in outcomes {
        println!(
            "{of}{route}: {} jobs, {} in time, {} late, {} refused after {} ms on average, worth \
             {} thousandths, last start after {} ms",
            it.n_jobs,
            it.n_in_time,
            it.n_late,
            it.n_refused,
            it.refused_after_ms / it.n_refused.max(1),
            it.worth_milli(),
            it.mean_wait_ms()
        );
    }
}

fn steady_plan(args: &LoadArgs) -> LoadPlan {
    // A place is half an endpoint; jobs of the three kinds ask for places in a fixed mix.
    let scale = args.load as f64 / 100.0 * (args.racks * args.endpoints) as f64 * 2.0 / 500.0;
    let kind = |route, per_s: f64, n_tasks, work_ms, priority, racks| LoadKind {
        route,
        per_s: per_s * scale,
        n_tasks,
        work_ms,
        cpu: 32_000,
        priority,
        racks,
    };
    LoadPlan {
        n_racks: args.racks,
        n_endpoints: args.endpoints,
        cpu: 64_000,
        factors_milli: vec![600, 1_000, 1_600],
        off_rack_milli: 3_000,
        n_peers: args.peers,
        span_ms: args.seconds * 1000,
        kinds: vec![
            kind("short", 206.0, 8, 60, 0, (0..args.racks).collect()),
            kind("long", 37.5, 4, 900, 2, Vec::new()),
            kind("middle", 600.0, 2, 200, 1, Vec::new()),
        ],
        shape: LoadShape::default(),
    }
}
