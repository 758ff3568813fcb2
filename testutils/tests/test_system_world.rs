//! Randomised runs of the whole system under faults, with fixed seeds.

use yuccamux_testutils::{
    fault_plan::{ALL_FAULTS, FaultKind},
    message_bag::BagFaults,
    system_world::{SystemWorld, WorldResult, WorldSettings},
};

const LOSSY: BagFaults = BagFaults { drop: 0.02, repeat: 0.02, max_delay_ms: 25 };

fn run(seed: u64, entries_per_centre: usize, faults: &[FaultKind]) -> WorldResult {
    let settings = WorldSettings {
        seed,
        entries_per_centre,
        faulty_ms: 30_000,
        faults: faults.to_vec(),
        fault_mean_ms: 1_500,
        arrival_mean_ms: 60,
        bag: LOSSY,
    };
    SystemWorld::new(settings).run()
}

fn check(seeds: std::ops::Range<u64>, entries_per_centre: usize, faults: &[FaultKind]) {
    for seed in seeds {
        let result = run(seed, entries_per_centre, faults);
        assert_eq!(result.record.violations, Vec::<String>::new(), "seed {seed}");
        assert!(0 < result.n_complete, "seed {seed}: no job was complete");
        assert!(
            faults.is_empty() || 0 < result.faults.values().sum::<u64>(),
            "seed {seed}: no fault"
        );
    }
}

#[test]
fn without_faults() {
    check(0..2, 2, &[]);
}

#[test]
fn all_faults_with_two_entries_in_each_centre() {
    check(100..106, 2, &ALL_FAULTS);
}

#[test]
fn all_faults_with_three_entries_in_each_centre() {
    check(200..204, 3, &ALL_FAULTS);
}
