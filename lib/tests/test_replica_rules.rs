//! Rules of the replicated log that randomised runs seldom reach, one test each.

use indexmap::IndexSet;
use yuccamux::{
    group_members::GroupMembers,
    prelude::*,
    replica_effect::{HardState, ReplicaEffect},
    replica_log::{EntryPayload, LogEntry, LogSnapshot, ReplicaLog},
    replica_message::{AppendAnswer, ReplicaBody, ReplicaMessage, VoteAnswer, VotePhase},
    replica_node::{
        BootstrapRule, GroupReader, ReplicaNode, ReplicaRole, ReplicaSettings, SnapshotRule,
    },
};

const START: ClockTime = ClockTime(1_000_000);
const GENERATION: GenerationId = GenerationId(5);

fn id(name: &str) -> ReplicaId {
    ReplicaId { vm: VmName::from(name), incarnation: 1 }
}

fn settings() -> ReplicaSettings {
    ReplicaSettings {
        vms: ["a", "b", "c"].map(VmName::from).to_vec(),
        witness: None,
        bootstrap_rule: BootstrapRule::Majority,
        snapshot_rule: SnapshotRule::OnDemand,
        election_ms: 200,
        heartbeat_ms: 50,
        clock_skew_ms: 10,
        seed: 1,
    }
}

/// Replica `a` of a group of three, with entries of term 1 that are not committed.
fn member(n_entries: u64) -> ReplicaNode {
    let voters: IndexSet<ReplicaId> = ["a", "b", "c"].map(id).into_iter().collect();
    let snapshot = LogSnapshot { index: 1, term: 1, voters, ..LogSnapshot::default() };
    let entries = (2..2 + n_entries).map(|index| LogEntry {
        index,
        term: 1,
        payload: EntryPayload::Command(vec![index as u8]),
    });
    let hard = HardState {
        id: id("a"),
        generation: Some(GENERATION),
        bootstrap_vote: None,
        term: 1,
        vote: None,
        vms: Vec::new(),
    };
    let log = ReplicaLog::new(snapshot, entries.collect());
    ReplicaNode::from_stored(settings(), hard, log, START)
}

fn message(from: &ReplicaId, term: u64, body: ReplicaBody) -> ReplicaMessage {
    ReplicaMessage {
        from: from.clone(),
        to: Some(id("a")),
        generation: Some(GENERATION),
        term,
        body,
    }
}

/// Lets replica `a` win an election with the vote of `b`; returns the time.
fn elect(node: &mut ReplicaNode) -> ClockTime {
    let now = START.plus_ms(1_000);
    node.tick(now);
    let vote = |phase| ReplicaBody::VoteResponse(phase, VoteAnswer::Granted);
    node.handle_message(message(&id("b"), 1, vote(VotePhase::Pre)), now);
    node.handle_message(message(&id("b"), 2, vote(VotePhase::Real)), now);
    assert_eq!((node.role(), node.term()), (ReplicaRole::Leader, 2));
    now
}

fn sent(node: &mut ReplicaNode) -> Vec<(VmName, ReplicaBody)> {
    let sends = node.drain_effects().into_iter().filter_map(|it| match it {
        ReplicaEffect::Send(vm, message) => Some((vm, message.body)),
        _ => None,
    });
    sends.collect()
}

#[test]
fn entries_of_an_older_term_are_committed_only_with_one_of_the_own() {
    let mut node = member(2);
    let now = elect(&mut node);
    let ack = |index| ReplicaBody::AppendAck(AppendAnswer::Matched(index));
    node.handle_message(message(&id("b"), 2, ack(3)), now);
    assert_eq!(node.commit_index(), 1, "a majority holds entry 3, of term 1");
    node.handle_message(message(&id("b"), 2, ack(4)), now);
    assert_eq!(node.commit_index(), 4);
}

#[test]
fn vote_is_given_once_in_a_term() {
    let mut node = member(0);
    let ask = ReplicaBody::VoteRequest(VotePhase::Real, 9, 1);
    let mut granted = Vec::new();
    for candidate in ["b", "c"] {
        node.handle_message(message(&id(candidate), 7, ask.clone()), START);
        granted.extend(sent(&mut node).into_iter().map(|it| it.1));
    }
    assert_eq!(
        granted,
        [VoteAnswer::Granted, VoteAnswer::Refused]
            .map(|it| ReplicaBody::VoteResponse(VotePhase::Real, it))
    );
}

#[test]
fn candidate_with_an_older_log_gets_no_vote() {
    let mut node = member(3);
    let ask = ReplicaBody::VoteRequest(VotePhase::Real, 3, 1);
    node.handle_message(message(&id("b"), 7, ask), START);
    let refused = ReplicaBody::VoteResponse(VotePhase::Real, VoteAnswer::Refused);
    assert_eq!(sent(&mut node), [(VmName::from("b"), refused)]);
}

#[test]
fn bootstrap_vote_is_given_once_per_incarnation() {
    let mut node = ReplicaNode::new_fresh(settings(), id("a"), START);
    node.drain_effects();
    let ask = |from: &str, generation| ReplicaMessage {
        from: id(from),
        to: None,
        generation: None,
        term: 0,
        body: ReplicaBody::BootstrapVoteRequest(GenerationId(generation)),
    };
    node.handle_message(ask("b", 10), START);
    assert_eq!(sent(&mut node).len(), 1);
    node.handle_message(ask("c", 11), START);
    assert_eq!(sent(&mut node), []);
    let append =
        ReplicaBody::Append { prev_index: 1, prev_term: 1, commit: 0, entries: Vec::new() };
    let departed = ReplicaMessage {
        from: id("c"),
        to: None,
        generation: Some(GenerationId(11)),
        term: 1,
        body: append,
    };
    node.handle_message(departed, START);
    assert_eq!(node.generation(), None, "a bootstrap vote binds to one generation");
}

#[test]
fn voters_change_by_one_at_a_time() {
    let mut node = member(0);
    let now = elect(&mut node);
    node.handle_message(
        message(&id("b"), 2, ReplicaBody::AppendAck(AppendAnswer::Matched(2))),
        now,
    );
    let restarted = ReplicaId { vm: VmName::from("c"), incarnation: 2 };
    let seek = ReplicaMessage {
        from: restarted.clone(),
        to: None,
        generation: None,
        term: 0,
        body: ReplicaBody::JoinRequest,
    };
    node.handle_message(seek, now);
    let mut seen = vec![node.voters().clone()];
    for step in 0..20 {
        let now = now.plus_ms(10 * step);
        let last_index = node.log().last_index();
        let ack = ReplicaBody::AppendAck(AppendAnswer::Matched(last_index));
        node.handle_message(message(&id("b"), 2, ack.clone()), now);
        node.handle_message(message(&restarted, 2, ack), now);
        node.tick(now);
        if seen.last() != Some(node.voters()) {
            seen.push(node.voters().clone());
        }
    }
    assert_eq!(seen.len(), 3, "the former replica goes, then the new one comes");
    for pair in seen.windows(2) {
        assert_eq!(pair[0].symmetric_difference(&pair[1]).count(), 1);
    }
    assert!(seen[2].contains(&restarted));
}

#[test]
fn leader_without_a_quorum_steps_down() {
    let mut node = member(0);
    let now = elect(&mut node);
    node.tick(now.plus_ms(150));
    assert_eq!(node.role(), ReplicaRole::Leader);
    node.tick(now.plus_ms(201));
    assert_eq!(node.role(), ReplicaRole::Follower);
}

/// A vote was dropped when its candidate was on a VM that joined after the snapshot, so that two of
/// three never elected a leader.
#[test]
fn vote_for_a_vm_outside_the_group_is_judged_by_term_and_log() {
    let mut node = member(3);
    for (candidate, term, last_index, expected) in
        [("d", 7, 3, VoteAnswer::Refused), ("e", 8, 4, VoteAnswer::Granted)]
    {
        let ask = ReplicaBody::VoteRequest(VotePhase::Real, last_index, 1);
        node.handle_message(message(&id(candidate), term, ask), START);
        let answer = ReplicaBody::VoteResponse(VotePhase::Real, expected);
        assert_eq!(sent(&mut node), [(VmName::from(candidate), answer)]);
    }
}

/// A group counted only from when it was applied, and from then on whatever the log held.
#[test]
fn group_counts_from_when_it_is_appended_until_it_is_truncated() {
    let reader = GroupReader {
        in_command: |bytes| {
            (bytes == [9]).then(|| GroupMembers {
                vms: ["a", "b", "c", "d"].map(VmName::from).to_vec(),
                swap: None,
            })
        },
        in_state: |_| None,
    };
    let mut node = member(0).with_group_reader(reader);
    let now = elect(&mut node);
    let ack = |index| ReplicaBody::AppendAck(AppendAnswer::Matched(index));
    node.handle_message(message(&id("b"), 2, ack(2)), now);
    assert!(node.may_change_group());
    let index = node.propose(vec![9]).unwrap();
    assert_eq!((node.vms().len(), node.quorum()), (4, 3));
    assert!(!node.may_change_group(), "the change is not committed");
    node.handle_message(message(&id("b"), 2, ack(index)), now);
    assert_eq!(node.commit_index(), 2, "two of four are no majority");
    let entry = LogEntry { index, term: 3, payload: EntryPayload::Noop };
    let append =
        ReplicaBody::Append { prev_index: 2, prev_term: 2, commit: 2, entries: vec![entry] };
    node.handle_message(message(&id("c"), 3, append), now);
    assert_eq!((node.vms().len(), node.quorum()), (3, 2), "the change was replaced");
}
