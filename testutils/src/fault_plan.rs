//! Which faults a world meets, and how often.

use indexmap::IndexMap;
use rand::{RngExt, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// An entry's process dies.
    KillEntry,
    /// An entry dies, comes back, and another of its data centre dies right after.
    KillSecondAfterRepair,
    /// All entries of a data centre die at once.
    KillCentre,
    /// A majority of a ledger's VMs dies at once.
    KillLedgerMajority,
    /// An entry stops for a while and goes on.
    FreezeEntry,
    /// An entry is stopped gracefully.
    StopEntry,
    /// A control VM dies, before or after a sync.
    KillControl,
    /// A control VM dies and its disk is emptied.
    EmptyControlDisk,
    /// A control VM stops for a while and goes on.
    FreezeControl,
    /// A data centre is cut off both ways.
    CutCentre,
    /// A data centre hears the others, and they do not hear it.
    CutCentreOneWay,
    /// Two VMs do not hear each other.
    CutPair,
    /// An endpoint dies with its tasks and comes back.
    KillEndpoint,
    /// An endpoint fails all tasks for a while.
    FailEndpoint,
    /// An endpoint ends no tasks for a while.
    StallEndpoint,
    /// An endpoint refuses all tasks for a while.
    RefuseEndpoint,
    /// An endpoint leaves and comes back as another life.
    LeaveEndpoint,
    /// A wave cancels many jobs.
    CancelWave,
}

/// Every kind of fault.
pub const ALL_FAULTS: [FaultKind; 18] = [
    FaultKind::KillEntry,
    FaultKind::KillSecondAfterRepair,
    FaultKind::KillCentre,
    FaultKind::KillLedgerMajority,
    FaultKind::FreezeEntry,
    FaultKind::StopEntry,
    FaultKind::KillControl,
    FaultKind::EmptyControlDisk,
    FaultKind::FreezeControl,
    FaultKind::CutCentre,
    FaultKind::CutCentreOneWay,
    FaultKind::CutPair,
    FaultKind::KillEndpoint,
    FaultKind::FailEndpoint,
    FaultKind::StallEndpoint,
    FaultKind::RefuseEndpoint,
    FaultKind::LeaveEndpoint,
    FaultKind::CancelWave,
];

/// Faults of a world by kind, as they were met.
pub type FaultCounts = IndexMap<FaultKind, u64>;

/// Draws faults.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    kinds: Vec<FaultKind>,
    mean_ms: u64,
}

impl FaultPlan {
    /// Faults of these kinds, one every `mean_ms` on average.
    pub fn new(kinds: &[FaultKind], mean_ms: u64) -> FaultPlan {
        FaultPlan { kinds: kinds.to_vec(), mean_ms }
    }

    /// Time until the next fault, in ms.
    pub fn next_ms(&self, rng: &mut ChaCha8Rng) -> u64 {
        rng.random_range(1..=self.mean_ms * 2)
    }

    /// The next fault, if there is any.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Option<FaultKind> {
        self.kinds.choose(rng).copied()
    }
}
