//! Quorums of a group before, during and after a swap of members.

use yuccamux::{
    group_members::{GroupMembers, MemberSwap},
    prelude::*,
};

/// All quorums of a group among VMs that are numbered from 0, as sets of bits.
fn quorums(members: &GroupMembers, n_vms: usize) -> Vec<u32> {
    let idx_of = |vm: &VmName| vm.as_str().parse::<usize>().unwrap();
    (0..1 << n_vms).filter(|set| members.is_quorum(|it| set & (1 << idx_of(it)) != 0)).collect()
}

fn vm(number: usize) -> VmName {
    VmName(number.to_string())
}

/// Guards against two leaders in one term, and entries that a later leader lacks: quorums of two
/// groups that follow each other must share a VM.
#[test]
fn quorums_before_during_and_after_a_swap_overlap() {
    for n_vms in [1, 2, 3, 4, 5, 7] {
        let swap = MemberSwap { leaving: vm(0), joining: vm(n_vms) };
        let vms: Vec<VmName> = (0..=n_vms).map(vm).collect();
        let during = GroupMembers { vms, swap: Some(swap) };
        let before = GroupMembers { vms: during.without(&vm(n_vms)), swap: None };
        let after = GroupMembers { vms: during.without(&vm(0)), swap: None };
        let sets = [before, during, after].map(|it| quorums(&it, n_vms + 1));
        for (lhs, rhs) in [(0, 0), (0, 1), (1, 1), (1, 2), (2, 2)] {
            let has_common = sets[lhs].iter().all(|it| sets[rhs].iter().all(|set| it & set != 0));
            assert!(has_common, "{n_vms} VMs, groups {lhs} and {rhs}");
        }
    }
}

/// Guards against a group that ends when its leaving VM ends and one more is lost: the other VMs
/// must be a quorum during the swap, whichever is lost while the leaving one is still there.
#[test]
fn swap_bears_the_end_of_the_leaving_vm_and_the_loss_of_the_joining_one() {
    let swap = MemberSwap { leaving: vm(0), joining: vm(3) };
    let during = GroupMembers { vms: (0..4).map(vm).collect(), swap: Some(swap) };
    assert!(during.is_quorum(|it| [vm(1), vm(2)].contains(it)));
    for lost in 0..4 {
        assert!(during.is_quorum(|it| *it != vm(lost)), "VM {lost} is lost");
    }
    // The end of the leaving VM and the loss of another member are borne once the swap is over.
    assert!(!during.is_quorum(|it| [vm(2), vm(3)].contains(it)));
    assert!(!GroupMembers::default().is_quorum(|_| true));
}
