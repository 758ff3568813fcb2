//! Changes of the group that meet a second event before the new member votes.

use yuccamux::{
    cell::tolerance_watch::{GroupHealth, REGAIN_MS, ToleranceChange},
    prelude::*,
};

use crate::world::{CATCH_UP_MS, RECOVERY_MS, World, vm};

/// Three members and a spare; the third is replaced on a plan, up to when the spare belongs to
/// the group but does not vote.
fn replace_until_added() -> World {
    let mut world = World::new(3, 5);
    // A spare that holds the log would vote as soon as it is added.
    world.deaf.insert(vm(4));
    world.start(&vm(4));
    world.run_ms(2 * CATCH_UP_MS);
    world.stop(&vm(3));
    world.run_ms(800);
    world.kill(&vm(3));
    world.run_until(|it| !it.group_vms().is_empty() && !it.group_vms().contains(&vm(3)));
    world.run_until(|it| it.group_vms().contains(&vm(4)));
    assert!(!world.members().contains(&vm(4)), "the spare already votes");
    world
}

/// After each single loss, one after the other, the group must be whole again.
fn check_single_losses(world: &mut World) {
    world.put_acknowledged();
    for next in 6..9 {
        let lost = world.members()[0].clone();
        world.remove(&lost);
        world.run_ms(1_000);
        world.start(&vm(next));
        world.run_ms(REGAIN_MS);
        assert_eq!(world.members().len(), 3, "{lost} was not replaced");
        world.check_recovery();
    }
}

/// A newcomer is lost after it was added to the group and before it votes. It stayed in the group
/// without a vote for good, so that the next single loss ended the group (CONFIG, review case 6).
#[test]
fn newcomer_lost_before_it_votes_is_replaced() {
    let mut world = replace_until_added();
    world.remove(&vm(4));
    world.remove(&vm(3));
    world.run_ms(1_000);
    world.start(&vm(5));
    world.run_ms(REGAIN_MS);
    assert_eq!(world.members(), [vm(1), vm(2), vm(5)]);
    check_single_losses(&mut world);
}

/// The same, and the leader that added the newcomer ends too: a leader must withdraw a change
/// that another one began.
#[test]
fn newcomer_added_by_a_former_leader_is_replaced() {
    let mut world = replace_until_added();
    world.remove(&vm(4));
    world.remove(&vm(3));
    let former = world.leader().unwrap();
    world.kill(&former);
    world.run_ms(500);
    world.start(&former);
    world.start(&vm(5));
    world.run_ms(RECOVERY_MS + REGAIN_MS);
    assert_eq!(world.members(), [vm(1), vm(2), vm(5)]);
    check_single_losses(&mut world);
}

/// A newcomer whose heartbeats arrive, but that hears no message of its leader, never votes. A
/// spare must take its place.
#[test]
fn newcomer_that_never_joins_gives_way_to_a_spare() {
    let mut world = World::new(3, 6);
    world.start(&vm(4));
    world.deaf.insert(vm(4));
    world.run_ms(CATCH_UP_MS);
    world.remove(&vm(3));
    world.run_ms(CATCH_UP_MS);
    world.start(&vm(5));
    world.run_ms(RECOVERY_MS + REGAIN_MS);
    assert_eq!(world.members(), [vm(1), vm(2), vm(5)]);
    world.remove(&vm(4));
    check_single_losses(&mut world);
}

/// A leader that is told to stop is removed from the group, comes back on its disk before the
/// spare is added, and is added itself. Its log holds the change that removed it, so it never
/// asked to join, and the group kept two voters for three VMs.
#[test]
fn member_that_returns_with_its_old_log_votes_again() {
    let mut world = World::new(3, 7);
    world.put_past_a_snapshot();
    world.deaf.insert(vm(4));
    world.start(&vm(4));
    world.run_ms(2 * CATCH_UP_MS);
    world.lead_by(|it| *it == vm(1));
    world.stop(&vm(1));
    world.run_ms(800);
    world.kill(&vm(1));
    world.run_until(|it| !it.group_vms().is_empty() && !it.group_vms().contains(&vm(1)));
    world.start(&vm(1));
    world.run_until(|it| it.group_vms().contains(&vm(1)));
    world.run_ms(REGAIN_MS);
    assert_eq!(world.members(), [vm(1), vm(2), vm(3)]);
    world.remove(&vm(4));
    check_single_losses(&mut world);
}

/// The process of a member sends heartbeats, but its replica hears no message for good. It kept
/// its place beside a spare, so that the next single loss ended the group.
#[test]
fn member_whose_replica_is_silent_gives_way_to_a_spare() {
    let mut world = World::new(3, 8);
    let silent = vm(if world.leader() == Some(vm(3)) { 2 } else { 3 });
    world.deaf.insert(silent.clone());
    world.start(&vm(4));
    world.run_ms(RECOVERY_MS + REGAIN_MS);
    assert!(world.members().contains(&vm(4)), "{:?}", world.members());
    assert_eq!(world.members().len(), 3);
    world.remove(&silent);
    check_single_losses(&mut world);
}

/// A member is lost and nothing replaces it. Operators must be told that the next loss ends the
/// group, once, by the leader alone; and that it is over.
#[test]
fn missing_tolerance_raises_an_alarm() {
    let mut world = World::new(3, 11);
    let lost = vm(if world.leader() == Some(vm(3)) { 2 } else { 3 });
    world.remove(&lost);
    world.run_ms(REGAIN_MS - 1_000);
    assert_eq!(world.alarms, []);
    world.run_ms(2_500);
    let leader = world.leader().unwrap();
    let short = ToleranceChange::Short(GroupHealth::FewVoters(2, 3));
    assert_eq!(world.alarms, [(leader.clone(), short)]);
    world.start(&vm(4));
    world.run_ms(REGAIN_MS);
    let [_, (by, ToleranceChange::Regained(after_ms))] = &world.alarms[..] else {
        panic!("{:?}", world.alarms)
    };
    assert_eq!(*by, leader);
    assert!((REGAIN_MS..2 * REGAIN_MS).contains(after_ms), "after {after_ms} ms");
}

/// Without a majority nobody leads, and each VM that is left must tell.
#[test]
fn group_without_a_leader_raises_an_alarm() {
    let mut world = World::new(3, 12);
    world.kill(&vm(1));
    world.kill(&vm(2));
    world.run_ms(REGAIN_MS + 3_000);
    assert_eq!(world.alarms, [(vm(3), ToleranceChange::Short(GroupHealth::NoLeader))]);
    let mut world = World::empty(3, 13);
    world.start_first(&vm(1), 3);
    world.run_ms(REGAIN_MS + 3_000);
    assert_eq!(world.alarms, [(vm(1), ToleranceChange::Short(GroupHealth::NoGroup))]);
}

/// A member is replaced on a plan by a spare that has long been up, and another VM is lost for
/// good soon after the signal to stop: one loss, which must not end the group. The member was
/// removed before the spare voted, and of two voters for two VMs none may be lost.
#[test]
fn vm_lost_during_a_planned_replacement_ends_no_group() {
    for (span_ms, case) in (0..=800).step_by(50).flat_map(|it| (0..5).map(move |case| (it, case))) {
        let mut world = World::new(3, 14);
        world.start(&vm(4));
        world.run_ms(2 * CATCH_UP_MS);
        let leader = world.leader().unwrap();
        let others: Vec<VmName> = (1..=3).map(vm).filter(|it| *it != leader).collect();
        let (replaced, lost) = match case {
            0 => (&others[0], &others[1]),
            1 => (&others[0], &leader),
            2 => (&leader, &others[0]),
            3 => (&leader, &others[1]),
            _ => (&leader, &vm(4)),
        };
        world.stop(replaced);
        world.run_ms(span_ms);
        world.remove(lost);
        world.run_ms(800 - span_ms);
        world.run_until_replaced(replaced);
        world.remove(replaced);
        world.run_ms(1_000);
        world.start(&vm(5));
        world.run_ms(RECOVERY_MS + REGAIN_MS);
        assert_eq!(world.members().len(), 3, "case {case}, lost {span_ms} ms after the signal");
    }
}
