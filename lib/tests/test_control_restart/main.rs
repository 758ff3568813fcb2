//! The control group over restarts, lost disks and replaced VMs, in virtual time.
//!
//! A world of control VMs with their disks, without a network. A put is acknowledged as soon as
//! the VM that took it says so; from then on no VM may read an older version. No two VMs may
//! lead in one term.

mod bootstrap;
mod membership;
mod series;
mod slow_disks;
mod world;

use crate::world::{CATCH_UP_MS, ELECTION_MS, RECOVERY_MS, World, vm};

/// Two of five restart with a snapshot from before the group grew from three. They must not take
/// themselves for a majority and overwrite what the other three acknowledged (CONFIG).
#[test]
fn two_of_five_on_a_snapshot_of_three_overwrite_nothing() {
    let mut world = World::new(5, 1);
    world.put_past_a_snapshot();
    world.start(&vm(4));
    world.start(&vm(5));
    world.run_until_members(&(1..=5).map(vm).collect::<Vec<_>>());
    world.kill(&vm(1));
    world.kill(&vm(2));
    // An added VM leads, which the two do not know of.
    world.lead_by(|it| [vm(4), vm(5)].contains(it));
    world.put_acknowledged();
    world.start(&vm(1));
    world.start(&vm(2));
    world.check_recovery();
}

/// All VMs restart after a planned replacement, and one disk is lost. The two that hold the newest
/// group must elect one of themselves, though the snapshot of the older one names only the VMs
/// from before the replacement (RECOVER, CONFIG).
#[test]
fn replaced_group_leads_again_after_a_restart_of_all_with_one_disk_lost() {
    for lost in [2, 3, 4] {
        let mut world = World::new(3, 2);
        world.put_past_a_snapshot();
        world.remove(&vm(1));
        world.run_ms(1_000);
        world.start(&vm(4));
        world.run_until_members(&[vm(2), vm(3), vm(4)]);
        world.run_ms(CATCH_UP_MS);
        world.put_acknowledged();
        (2..=4).for_each(|it| world.kill(&vm(it)));
        world.lose_disk(&vm(lost));
        world.run_ms(1_000);
        (2..=4).for_each(|it| world.start(&vm(it)));
        world.check_recovery();
        world.run_until_members(&[vm(2), vm(3), vm(4)]);
    }
}

/// All three VMs are replaced one after the other. A VM that joins must follow a leader that its
/// first snapshot does not name, and become a member.
#[test]
fn joining_vm_follows_a_leader_newer_than_its_snapshot() {
    let mut world = World::new(3, 3);
    world.put_past_a_snapshot();
    for old in 1..=3 {
        world.remove(&vm(old));
        world.run_ms(1_000);
        world.start(&vm(old + 3));
        world.run_until_members(&(old + 1..=old + 3).map(vm).collect::<Vec<_>>());
        world.run_ms(CATCH_UP_MS);
        // The next to join starts from a snapshot without this leader.
        world.lead_by(|it| *it == vm(old + 3));
    }
    for down in 4..=6 {
        world.kill(&vm(down));
        world.run_ms(RECOVERY_MS);
        world.put_acknowledged();
        world.start(&vm(down));
        world.run_ms(CATCH_UP_MS);
    }
    world.check_recovery();
}

/// A member restarts with a snapshot from before its leader joined. It must follow that leader at
/// once and not only after the next election, or the loss of a second VM ends the group.
#[test]
fn restarted_member_hears_a_leader_newer_than_its_snapshot() {
    let mut world = World::new(3, 4);
    world.put_past_a_snapshot();
    world.remove(&vm(1));
    world.run_ms(1_000);
    world.start(&vm(4));
    world.run_until_members(&[vm(2), vm(3), vm(4)]);
    world.lead_by(|it| *it == vm(4));
    let term = world.nodes[&vm(4)].node().term();
    world.restart(&vm(2));
    world.run_ms(ELECTION_MS * 2);
    let restarted = world.nodes[&vm(2)].node();
    assert_eq!(restarted.leader_vm(), Some(&vm(4)));
    assert_eq!(world.nodes[&vm(4)].node().term(), term, "the leader was unseated");
    assert_eq!(
        restarted.commit_index(),
        world.nodes[&vm(4)].node().commit_index(),
        "the restarted member does not catch up"
    );
}
