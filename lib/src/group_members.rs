//! The VMs of a log group, and which of them make a quorum.
//!
//! A quorum is a majority of the VMs. While one VM takes another's place, the group has both, and a
//! quorum is a majority of the group without the joining VM and of the group without the leaving one
//! (joint consensus). So at any time of the swap the leaving VM may end and the joining one be lost,
//! which a majority of an even number of VMs would not bear.

use crate::prelude::*;

/// A VM that leaves its group and the one that takes its place.
#[derive(Data!)]
pub struct MemberSwap {
    /// The VM that leaves.
    pub leaving: VmName,
    /// The VM that joins.
    pub joining: VmName,
}

impl MemberSwap {
    /// Whether both are different VMs of a group.
    pub fn is_among(&self, vms: &[VmName]) -> bool {
        self.leaving != self.joining
            && [&self.leaving, &self.joining].iter().all(|it| vms.contains(it))
    }
}

/// The VMs of a group.
#[derive(Data!, Default)]
pub struct GroupMembers {
    /// All VMs.
    pub vms: Vec<VmName>,
    /// The swap in progress, if there is one.
    pub swap: Option<MemberSwap>,
}

impl GroupMembers {
    /// Whether the VMs for which `has` holds are a quorum; none are where the group is unknown.
    pub fn is_quorum(&self, has: impl Fn(&VmName) -> bool) -> bool {
        let is_majority_without = |left_out: Option<&VmName>| {
            let vms = || self.vms.iter().filter(|it| Some(*it) != left_out);
            vms().count() < 2 * vms().filter(|it| has(it)).count()
        };
        match &self.swap {
            None => is_majority_without(None),
            Some(swap) => {
                is_majority_without(Some(&swap.joining)) && is_majority_without(Some(&swap.leaving))
            }
        }
    }

    /// The VMs but one.
    pub fn without(&self, vm: &VmName) -> Vec<VmName> {
        self.vms.iter().filter(|it| *it != vm).cloned().collect()
    }
}
