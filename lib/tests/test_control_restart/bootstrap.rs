//! The first start of the group, with VMs that are lost, late or restarted before it exists.

use rand::RngExt;
use yuccamux::{prelude::*, replica_node::ReplicaRole};

use crate::{
    series::SEEDS_IN_CI,
    world::{CATCH_UP_MS, ELECTION_MS, RECOVERY_MS, World, vm},
};

/// Time after the start in which a majority of the seeds has a leader, without the third.
const BOOTSTRAP_MS: u64 = 5_000;
/// A moment of the first start at which no vote was given yet.
const BEFORE_BOOTSTRAP_MS: u64 = 500;

/// Three seeds that were started for the first time and have no group yet.
fn start_three() -> World {
    let mut world = World::empty(3, 9);
    (1..=3).for_each(|it| world.start_first(&vm(it), 3));
    world.run_ms(BEFORE_BOOTSTRAP_MS);
    assert!(world.nodes.values().all(|it| it.node().role() == ReplicaRole::Fresh));
    world
}

/// A seed loses its disk in the first second of the first start and comes back with `bootstrap`
/// false. The two others waited for it for good, and the system never started (review case 7).
#[test]
fn disk_lost_before_the_bootstrap_keeps_no_group_from_starting() {
    for lost in 1..=3 {
        let mut world = start_three();
        world.kill(&vm(lost));
        world.lose_disk(&vm(lost));
        world.run_ms(1_000);
        world.start(&vm(lost));
        world.run_ms(BOOTSTRAP_MS);
        assert_eq!(world.members(), [vm(1), vm(2), vm(3)]);
        world.check_recovery();
    }
}

/// A seed that never comes up must not keep the two others from starting, and is replaced.
#[test]
fn seed_that_never_comes_up_is_replaced() {
    for missing in 1..=3 {
        let mut world = World::empty(3, 10);
        let others: Vec<VmName> = (1..=3).filter(|it| *it != missing).map(vm).collect();
        others.iter().for_each(|it| world.start_first(it, 3));
        world.run_ms(BOOTSTRAP_MS);
        assert_eq!(world.members(), others);
        world.put_acknowledged();
        world.start(&vm(4));
        world.run_ms(RECOVERY_MS);
        assert_eq!(world.members().len(), 3);
        world.check_recovery();
    }
}

/// All control VMs restart before the group exists, and one disk may be lost. Every one of them
/// is then told that it is no first start, and none bootstrapped a group.
#[test]
fn restart_of_all_before_the_bootstrap_keeps_no_group_from_starting() {
    for lost in [None, Some(1), Some(2), Some(3)] {
        let mut world = start_three();
        (1..=3).for_each(|it| world.kill(&vm(it)));
        if let Some(lost) = lost {
            world.lose_disk(&vm(lost));
        }
        world.run_ms(1_000);
        (1..=3).for_each(|it| world.start(&vm(it)));
        world.run_ms(BOOTSTRAP_MS);
        assert_eq!(world.members(), [vm(1), vm(2), vm(3)], "without the disk of {lost:?}");
        world.check_recovery();
    }
}

/// A group of two seeds exists, of which one is out of reach and the other has lost its disk. The
/// third seed, which has never heard of the group, must not begin another one with it, whether
/// that one has learned the group's VMs again or not.
#[test]
fn seed_without_its_disk_gives_no_vote_for_a_second_group() {
    for hears_of_group in [false, true] {
        let mut world = start_three();
        world.kill(&vm(3));
        // The group still names the third seed.
        world.run_until(|it| it.leader().is_some());
        world.put_acknowledged();
        assert_eq!(world.group_vms().len(), 3);
        world.kill(&vm(2));
        world.lose_disk(&vm(2));
        if hears_of_group {
            world.start(&vm(2));
            world.run_ms(1_000);
            assert_eq!(world.nodes[&vm(2)].node().vms().len(), 3);
        }
        world.kill(&vm(1));
        world.run_ms(1_000);
        world.restart(&vm(2));
        world.start(&vm(3));
        for _ in 0..300 {
            world.run_ms(100);
            assert!(world.nodes.values().all(|it| it.node().role() != ReplicaRole::Leader));
        }
    }
}

/// The seed that asked for votes stands still, and the two others begin a group without it. It
/// then counts the votes that waited for it; it must give up its group and join theirs.
#[test]
fn seed_that_stood_still_during_its_bootstrap_joins_the_group_of_the_others() {
    let mut world = start_three();
    world.run_until(|it| it.nodes.values().any(|it| it.node().role() == ReplicaRole::Pledged));
    let pledged = |it: &&VmName| world.nodes[*it].node().role() == ReplicaRole::Pledged;
    let asked = world.nodes.keys().find(pledged).unwrap().clone();
    world.frozen.insert(asked.clone());
    world.run_ms(60 * ELECTION_MS);
    assert!(world.leader().is_some_and(|it| it != asked), "the two others have no group");
    world.put_acknowledged();
    world.frozen.clear();
    world.run_ms(RECOVERY_MS + CATCH_UP_MS);
    assert_eq!(world.members(), [vm(1), vm(2), vm(3)]);
    world.check_recovery();
}

/// The seed that asked for votes gets them, but nothing that it sends arrives. The two others
/// begin another group, and the first one must end without a committed entry.
#[test]
fn group_that_none_of_its_voters_joined_ends() {
    let mut world = start_three();
    world.run_until(|it| it.nodes.values().any(|it| it.node().role() == ReplicaRole::Pledged));
    let pledged = |it: &&VmName| world.nodes[*it].node().role() == ReplicaRole::Pledged;
    let asked = world.nodes.keys().find(pledged).unwrap().clone();
    world.mute.insert(asked.clone());
    world.run_ms(10 * ELECTION_MS);
    let first = world.nodes[&asked].node().generation();
    assert!(first.is_some(), "it has not begun a group");
    for _ in 0..50 {
        world.run_ms(ELECTION_MS);
        if world.committed_generation.is_some() {
            break;
        }
    }
    assert_ne!(world.committed_generation, None, "the two others have no group");
    assert_ne!(world.committed_generation, first);
    world.put_acknowledged();
    world.mute.clear();
    world.run_ms(RECOVERY_MS + CATCH_UP_MS);
    assert_eq!(world.members(), [vm(1), vm(2), vm(3)]);
    world.check_recovery();
}

impl World {
    /// Something that happens to one VM, or to all, around the bootstrap.
    fn disturb_first_start(&mut self, may_lose_disk: &mut bool) {
        let names: Vec<VmName> = self.disks.keys().cloned().collect();
        let name = names[self.rng.random_range(0..names.len())].clone();
        let span_ms = self.rng.random_range(0..400) * 10;
        let loses_disk = *may_lose_disk && self.rng.random_ratio(1, 2);
        match self.rng.random_range(0..4) {
            0 => {
                self.frozen.insert(name.clone());
                self.run_ms(2 * span_ms);
                self.frozen.clear();
                // A VM that stood still counts as lost until it has caught up.
                self.run_ms(CATCH_UP_MS);
            }
            1 => {
                names.iter().for_each(|it| self.kill(it));
                if loses_disk {
                    self.lose_disk(&name);
                }
                self.run_ms(span_ms);
                names.iter().for_each(|it| self.start(it));
                *may_lose_disk &= !loses_disk;
            }
            _ => {
                self.kill(&name);
                if loses_disk {
                    self.lose_disk(&name);
                }
                self.run_ms(span_ms);
                self.start(&name);
                self.run_ms(CATCH_UP_MS);
                *may_lose_disk &= !loses_disk;
            }
        }
    }
}

/// One randomised first start of three or five seeds; one disk is lost at most.
pub(crate) fn run_first_start(seed: u64) {
    let n_seeds = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut world = World::empty(n_seeds, seed);
    for number in 1..=n_seeds {
        world.start_first(&vm(number), n_seeds);
        let span_ms = world.rng.random_range(0..60) * 10;
        world.run_ms(span_ms);
    }
    world.loses_one_in = if world.rng.random_ratio(1, 3) { 20 } else { u64::MAX };
    let mut may_lose_disk = true;
    for _ in 0..3 {
        let span_ms = world.rng.random_range(0..200) * 10;
        world.run_ms(span_ms);
        world.disturb_first_start(&mut may_lose_disk);
    }
    world.loses_one_in = u64::MAX;
    world.run_ms(3 * BOOTSTRAP_MS);
    world.check_whole();
}

/// The group starts, and only one group commits, over every mix of late starts, restarts, lost
/// disks and standstills that the seeds draw.
#[test]
fn first_start_outlives_restarts_lost_disks_and_standstills() {
    for seed in 0..4 * SEEDS_IN_CI {
        println!("seed {seed}");
        run_first_start(seed);
    }
}
