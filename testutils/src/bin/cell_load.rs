//! `cell_load`: what the decisions of an entry that leads cells cost, and who is served.

use argh::FromArgs;
use yuccamux_testutils::load_world::{LoadKind, LoadPlan, LoadSwing, LoadWorld};

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
    /// entries (1)
    #[argh(option, default = "1")]
    entries: usize,
    /// data centres (1)
    #[argh(option, default = "1")]
    centres: usize,
    /// oscillating load of three routes on endpoints of two sizes
    #[argh(switch)]
    swing: bool,
    /// seconds (20)
    #[argh(option, default = "20")]
    seconds: u64,
}

fn main() {
    let args: LoadArgs = argh::from_env();
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
    let steady = LoadPlan {
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
        ..LoadPlan::default()
    };
    let plan = if args.swing { swing_plan(&args) } else { steady };
    let mut world = LoadWorld::new(args.seed, &plan);
    world.run();
    for (route, it) in &world.outcomes {
        println!(
            "{route}: {} jobs, {} in time, {} late, {} refused after {} ms on average",
            it.n_jobs,
            it.n_in_time,
            it.n_late,
            it.n_refused,
            it.refused_after_ms / it.n_refused.max(1)
        );
        println!(
            "{route}: worth {} of 1000, {} refused late, {} useless, {} given up",
            it.worth_milli(),
            it.n_held,
            it.n_useless,
            it.n_given_up
        );
    }
    for (centre, it) in &world.centre_outcomes {
        println!("{centre}: worth {} of 1000", it.worth_milli());
    }
    for (event, n_decisions) in &world.notes {
        println!("{event}: {n_decisions}");
    }
    for (cause, cost) in &world.costs {
        println!("{cause}: {:.3} ms a second", cost.as_secs_f64() * 1e3 / args.seconds as f64);
    }
    println!("{} starts a second", world.n_starts / args.seconds);
}

/// Three routes on endpoints of two sizes and two speeds; the load oscillates above capacity.
fn swing_plan(args: &LoadArgs) -> LoadPlan {
    let scale = args.load as f64 / 100.0 * (args.racks * args.endpoints) as f64 / 350.0;
    let kind = |route, per_s: f64, n_tasks, work_ms, priority| LoadKind {
        route,
        per_s: per_s * scale,
        n_tasks,
        work_ms,
        cpu: 16_000,
        priority,
        racks: Vec::new(),
    };
    LoadPlan {
        n_entries: args.entries,
        n_centres: args.centres,
        swing: Some(LoadSwing { share_milli: 550, period_ms: 15_000 }),
        n_long_milli: 30,
        n_racks: args.racks,
        n_endpoints: args.endpoints,
        cpu: 32_000,
        sizes_milli: vec![1_000, 1_000, 1_500],
        factors_milli: vec![1_000, 1_000, 770],
        n_peers: args.peers,
        span_ms: args.seconds * 1000,
        kinds: vec![
            kind("wide", 181.0, 8, 51, 0),
            kind("long", 33.0, 4, 760, 2),
            kind("small", 528.0, 2, 170, 1),
        ],
        ..LoadPlan::default()
    }
}
