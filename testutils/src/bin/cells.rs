//! `cells`: worlds of cells under random faults, seed by seed.

use argh::FromArgs;
use yuccamux_testutils::cell_world::{CellPlan, CellWorld};

/// Plays worlds of cells under random faults; exits 1 when something was broken.
#[derive(FromArgs, Debug)]
struct CellsArgs {
    /// first seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of worlds (100)
    #[argh(option, default = "100")]
    cases: u64,
    /// faults in each (8)
    #[argh(option, default = "8")]
    faults: usize,
    /// faults come in series that overlap
    #[argh(switch)]
    series: bool,
    /// departures may be announced during an endpoint's next life
    #[argh(switch)]
    late_departures: bool,
    /// leaders are killed whose successors stand still soon after, beside long tasks
    #[argh(switch)]
    successors: bool,
    /// endpoints come back as another kind, beside jobs that require a label
    #[argh(switch)]
    kinds: bool,
    /// callers cancel jobs, each at any entry
    #[argh(switch)]
    cancels: bool,
    /// print the notes that contain this text
    #[argh(option)]
    notes: Option<String>,
}

fn main() {
    let args: CellsArgs = argh::from_env();
    let plan = CellPlan {
        n_faults: args.faults,
        in_series: args.series,
        late_departures: args.late_departures,
        successors_freeze: args.successors,
        kinds_change: args.kinds,
        callers_cancel: args.cancels,
        ..CellPlan::default()
    };
    let plan = if args.successors || args.cancels { CellPlan { n_jobs: 80, ..plan } } else { plan };
    let (mut n_broken, mut n_completed, mut n_refused) = (0, 0, 0);
    for seed in args.seed..args.seed + args.cases {
        let mut world = CellWorld::new(seed, &plan);
        world.keeps_notes = args.notes.is_some();
        world.run(plan.span_ms + 26_000);
        n_completed += world.n_completed;
        n_refused += world.n_refused;
        if let Some(text) = &args.notes {
            for note in world.notes.iter().filter(|it| it.contains(text)) {
                println!("{note}");
            }
        }
        if !world.violations.is_empty() {
            n_broken += 1;
            println!("VIOLATION: seed {seed}: {:#?}", world.violations);
        }
    }
    println!(
        "{} worlds, {n_broken} broken, {n_completed} jobs completed, {n_refused} refused",
        args.cases
    );
    if 0 < n_broken {
        std::process::exit(1);
    }
}
