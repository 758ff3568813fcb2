//! Runs worlds of many seeds and prints what they met and what was violated.

use std::process::ExitCode;

use argh::FromArgs;
use indexmap::IndexMap;
use yuccamux_testutils::{
    fault_plan::ALL_FAULTS,
    message_bag::BagFaults,
    system_world::{SystemWorld, WorldSettings},
};

/// Randomised runs of the whole system in virtual time, one for each seed.
#[derive(FromArgs)]
struct SoakArgs {
    /// first seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (100)
    #[argh(option, default = "100")]
    cases: u64,
    /// entries in each data centre; 0: two and three in turn (0)
    #[argh(option, default = "0")]
    entries: usize,
    /// time with faults in each world, in ms (30000)
    #[argh(option, default = "30_000")]
    faulty_ms: u64,
    /// mean time between faults, in ms (1500)
    #[argh(option, default = "1_500")]
    fault_mean_ms: u64,
    /// print each seed
    #[argh(switch)]
    verbose: bool,
}

fn main() -> ExitCode {
    let args: SoakArgs = argh::from_env();
    let mut faults: IndexMap<String, u64> = IndexMap::new();
    let mut ends: IndexMap<String, u64> = IndexMap::new();
    let mut n_steps = 0;
    let mut n_sent = 0;
    let mut n_lost = 0;
    let mut n_starts = 0;
    let mut n_failed = 0;
    for seed in args.seed..args.seed + args.cases {
        let entries_per_centre = match args.entries {
            0 => 2 + (seed % 2) as usize,
            n_entries => n_entries,
        };
        let settings = WorldSettings {
            seed,
            entries_per_centre,
            faulty_ms: args.faulty_ms,
            faults: ALL_FAULTS.to_vec(),
            fault_mean_ms: args.fault_mean_ms,
            arrival_mean_ms: 60,
            bag: BagFaults { drop: 0.02, repeat: 0.02, max_delay_ms: 25 },
        };
        let result = SystemWorld::new(settings).run();
        for (kind, count) in &result.faults {
            *faults.entry(format!("{kind:?}")).or_default() += count;
        }
        for (end, count) in result.record.ends() {
            *ends.entry(end).or_default() += count;
        }
        n_steps += result.n_steps;
        n_sent += result.bag.n_sent;
        n_lost += result.bag.n_dropped + result.bag.n_cut;
        n_starts += result.record.starts.len();
        if args.verbose {
            println!("seed {seed}: {:?}", result.record.ends());
        }
        for violation in &result.record.violations {
            println!("VIOLATION seed {seed} entries {entries_per_centre}: {violation}");
        }
        n_failed += u64::from(!result.record.violations.is_empty());
    }
    println!("cases {}, with violations {n_failed}, steps {n_steps}", args.cases);
    println!("messages {n_sent}, lost or cut {n_lost}, task starts {n_starts}");
    println!("faults {faults:?}");
    println!("answers {ends:?}");
    if n_failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
