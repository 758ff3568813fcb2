//! Randomised runs of one replicated log with lost messages, partitions, crashes and lost disks.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use proptest::prelude::*;
use yuccamux::{
    prelude::*,
    replica_effect::{HardState, ReplicaEffect, StoreEffect},
    replica_log::ReplicaLog,
    replica_message::ReplicaMessage,
    replica_node::{BootstrapRule, ReplicaNode, ReplicaRole, ReplicaSettings, SnapshotRule},
};

const STEP_MS: u64 = 10;
const ELECTION_MS: u64 = 200;

/// Something that happens to the group.
#[derive(Clone, Debug)]
enum Op {
    /// Time passes, and messages whose number is a multiple of `drop_every` are lost.
    Run { steps: u64, drop_every: u64 },
    /// A command is proposed wherever there is a leader.
    Propose,
    /// A replica's process dies before its next sync and comes back on its disk.
    Crash(usize),
    /// A replica's process dies and comes back without its disk.
    LoseDisk(usize),
    /// Messages to and from a replica are lost until the next heal.
    Cut(usize),
    /// All links work again.
    Heal,
    /// The leader compacts its log.
    Compact,
}

#[derive(Default, Clone)]
struct Disk {
    hard: Option<HardState>,
    log: ReplicaLog,
}

struct Group {
    rule: BootstrapRule,
    now: ClockTime,
    nodes: Vec<ReplicaNode>,
    disks: Vec<Disk>,
    cut: Vec<bool>,
    waiting: BTreeMap<(ClockTime, u64), (usize, ReplicaMessage)>,
    n_sent: u64,
    drop_every: u64,
    next_command: u64,
    /// Commands by generation and index, as first applied anywhere.
    applied: IndexMap<(GenerationId, u64), Vec<u8>>,
    n_applied: usize,
}

fn vm(idx: usize) -> VmName {
    VmName(format!("vm-{idx}"))
}

fn settings(n_vms: usize, rule: BootstrapRule, seed: u64) -> ReplicaSettings {
    ReplicaSettings {
        vms: (0..n_vms).map(vm).collect(),
        witness: None,
        bootstrap_rule: rule,
        snapshot_rule: match rule {
            BootstrapRule::All | BootstrapRule::Recorded | BootstrapRule::Never => {
                SnapshotRule::Kept
            }
            BootstrapRule::Majority => SnapshotRule::OnDemand,
        },
        election_ms: ELECTION_MS,
        heartbeat_ms: 50,
        clock_skew_ms: 10,
        seed,
    }
}

impl Group {
    fn new(n_vms: usize, rule: BootstrapRule) -> Group {
        let now = ClockTime(1_000_000);
        let mut group = Group {
            rule,
            now,
            nodes: Vec::new(),
            disks: vec![Disk::default(); n_vms],
            cut: vec![false; n_vms],
            waiting: BTreeMap::new(),
            n_sent: 0,
            drop_every: u64::MAX,
            next_command: 0,
            applied: IndexMap::new(),
            n_applied: 0,
        };
        for idx in 0..n_vms {
            let node = group.fresh_node(idx);
            group.nodes.push(node);
        }
        group
    }

    fn fresh_node(&self, idx: usize) -> ReplicaNode {
        let id = ReplicaId { vm: vm(idx), incarnation: self.now.0 };
        ReplicaNode::new_fresh(settings(self.disks.len(), self.rule, idx as u64), id, self.now)
    }

    fn restart(&mut self, idx: usize) {
        let settings = settings(self.disks.len(), self.rule, idx as u64);
        let disk = self.disks[idx].clone();
        self.nodes[idx] = match disk.hard {
            Some(hard) => ReplicaNode::from_stored(settings, hard, disk.log, self.now),
            None => self.fresh_node(idx),
        };
    }

    fn run_op(&mut self, op: &Op) {
        let n_vms = self.nodes.len();
        match op {
            Op::Run { steps, drop_every } => {
                self.drop_every = *drop_every;
                (0..*steps).for_each(|_| self.step());
            }
            Op::Propose => self.propose(),
            Op::Crash(idx) => self.restart(idx % n_vms),
            Op::LoseDisk(idx) => self.lose_disk(idx % n_vms),
            Op::Cut(idx) => self.cut[idx % n_vms] = true,
            Op::Heal => self.cut.fill(false),
            Op::Compact => {
                for idx in 0..n_vms {
                    if self.nodes[idx].role() == ReplicaRole::Leader {
                        match self.rule {
                            BootstrapRule::All | BootstrapRule::Recorded | BootstrapRule::Never => {
                                self.nodes[idx].compact(vec![1])
                            }
                            BootstrapRule::Majority => self.nodes[idx].trim(2),
                        }
                        self.run_effects(idx);
                    }
                }
            }
        }
    }

    fn propose(&mut self) {
        for idx in 0..self.nodes.len() {
            if self.nodes[idx].role() == ReplicaRole::Leader {
                self.next_command += 1;
                let command = self.next_command.to_be_bytes().to_vec();
                self.nodes[idx].propose(command).unwrap();
                self.nodes[idx].flush(self.now);
                self.run_effects(idx);
            }
        }
    }

    /// Loses a disk; with `BootstrapRule::All` only after the former loss is repaired.
    fn lose_disk(&mut self, idx: usize) {
        let is_whole = self.nodes.iter().all(|lhs| {
            // Each replica's voters include every running incarnation.
            self.nodes.iter().all(|rhs| lhs.voters().contains(rhs.id()))
        });
        let is_settled = self.nodes.iter().any(ReplicaNode::is_settled_leader);
        if self.rule == BootstrapRule::All && !(is_whole && is_settled) {
            return;
        }
        self.disks[idx] = Disk::default();
        self.restart(idx);
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        while let Some(entry) = self.waiting.first_entry() {
            if self.now < entry.key().0 {
                break;
            }
            let (idx, message) = entry.remove();
            let from = self.nodes.iter().position(|it| it.id().vm == message.from.vm).unwrap();
            if !self.cut[idx] && !self.cut[from] {
                self.nodes[idx].handle_message(message, self.now);
                self.run_effects(idx);
            }
        }
        for idx in 0..self.nodes.len() {
            self.nodes[idx].tick(self.now);
            self.run_effects(idx);
        }
    }

    fn run_effects(&mut self, idx: usize) {
        let generation = self.nodes[idx].generation();
        let mut needs_more = false;
        for effect in self.nodes[idx].drain_effects() {
            match effect {
                ReplicaEffect::Store(store) => self.store(idx, store),
                ReplicaEffect::Send(to, message) => self.send(&to, message),
                ReplicaEffect::Apply(index, command) => {
                    let generation = generation.expect("a member has a generation");
                    self.check_applied(generation, index, command);
                }
                ReplicaEffect::NeedState(id) => {
                    self.nodes[idx].send_state(&id, vec![1]);
                    needs_more = true;
                }
                ReplicaEffect::Restore(_)
                | ReplicaEffect::RoleChanged(_)
                | ReplicaEffect::NewIncarnation(_) => {}
            }
        }
        if needs_more {
            self.run_effects(idx);
        }
    }

    fn check_applied(&mut self, generation: GenerationId, index: u64, command: Vec<u8>) {
        self.n_applied += 1;
        let known = self.applied.entry((generation, index)).or_insert_with(|| command.clone());
        assert_eq!(*known, command, "two commands were applied at index {index}");
    }

    fn store(&mut self, idx: usize, effect: StoreEffect) {
        let disk = &mut self.disks[idx];
        match effect {
            StoreEffect::SaveState(hard) => disk.hard = Some(hard),
            StoreEffect::Append(entries) => entries.into_iter().for_each(|it| disk.log.push(it)),
            StoreEffect::TruncateFrom(index) => disk.log.truncate_from(index),
            StoreEffect::SaveSnapshot(snapshot) => disk.log.install(snapshot),
            StoreEffect::Reset(hard) => {
                *disk = Disk { hard: Some(hard), log: ReplicaLog::default() }
            }
        }
    }

    fn send(&mut self, to: &VmName, message: ReplicaMessage) {
        self.n_sent += 1;
        if self.n_sent.is_multiple_of(self.drop_every) {
            return;
        }
        let idx = self.nodes.iter().position(|it| it.id().vm == *to).unwrap();
        // Delays differ, so messages are reordered; some are duplicated.
        let delay_ms = (self.n_sent * 7) % 35;
        let due_at = self.now.plus_ms(delay_ms);
        if self.n_sent.is_multiple_of(11) {
            self.waiting.insert((due_at.plus_ms(20), self.n_sent * 2), (idx, message.clone()));
        }
        self.waiting.insert((due_at, self.n_sent * 2 + 1), (idx, message));
    }

    fn n_leaders_settled(&self) -> usize {
        self.nodes.iter().filter(|it| it.is_settled_leader()).count()
    }
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (1_u64..60, 3_u64..30).prop_map(|(steps, drop_every)| Op::Run { steps, drop_every }),
        3 => Just(Op::Propose),
        1 => (0_usize..5).prop_map(Op::Crash),
        1 => (0_usize..5).prop_map(Op::LoseDisk),
        1 => (0_usize..5).prop_map(Op::Cut),
        1 => Just(Op::Heal),
        1 => Just(Op::Compact),
    ]
}

/// Runs operations, then lets the group recover; it must lead and commit again.
fn check(n_vms: usize, rule: BootstrapRule, ops: &[Op]) {
    let mut group = Group::new(n_vms, rule);
    group.run_op(&Op::Run { steps: 200, drop_every: u64::MAX });
    for op in ops {
        group.run_op(op);
    }
    group.run_op(&Op::Heal);
    group.run_op(&Op::Run { steps: 1_500, drop_every: u64::MAX });
    assert_eq!(group.n_leaders_settled(), 1, "the group has no leader after recovery");
    let n_applied = group.n_applied;
    group.run_op(&Op::Propose);
    group.run_op(&Op::Run { steps: 50, drop_every: u64::MAX });
    assert_eq!(group.n_applied, n_applied + n_vms, "not every replica applies again");
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 60,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[test]
fn leader_is_elected_within_an_election_timeout_after_most_full_restarts() {
    let mut group = Group::new(5, BootstrapRule::All);
    group.run_op(&Op::Run { steps: 200, drop_every: u64::MAX });
    let mut n_led = 0;
    for round in 0..20 {
        (0..5).for_each(|idx| group.restart(idx));
        // A few steps more, so that the times drawn differ from round to round.
        let steps = ELECTION_MS / STEP_MS + round % 3;
        group.run_op(&Op::Run { steps, drop_every: u64::MAX });
        n_led += usize::from(group.nodes.iter().any(|it| it.role() == ReplicaRole::Leader));
    }
    // After a split vote, the next election starts an election timeout later.
    assert!(10 <= n_led, "{n_led} of 20 restarts");
}

#[test]
fn replica_that_restarts_does_not_unseat_the_leader() {
    let mut group = Group::new(3, BootstrapRule::All);
    group.run_op(&Op::Run { steps: 200, drop_every: u64::MAX });
    let leader = group.nodes.iter().position(|it| it.role() == ReplicaRole::Leader).unwrap();
    let term = group.nodes[leader].term();
    for _ in 0..20 {
        group.restart((leader + 1) % 3);
        group.run_op(&Op::Run { steps: 60, drop_every: u64::MAX });
        assert_eq!(
            (group.nodes[leader].role(), group.nodes[leader].term()),
            (ReplicaRole::Leader, term)
        );
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn state_on_disk_of_three(ops in prop::collection::vec(op(), 1..40)) {
        check(3, BootstrapRule::All, &ops);
    }

    #[test]
    fn state_on_disk_of_five(ops in prop::collection::vec(op(), 1..40)) {
        check(5, BootstrapRule::All, &ops);
    }

    #[test]
    fn state_in_memory_of_three(ops in prop::collection::vec(op(), 1..40)) {
        check(3, BootstrapRule::Majority, &ops);
    }
}

#[test]
fn lone_replica_leads_itself() {
    check(1, BootstrapRule::All, &[Op::Propose, Op::Crash(0), Op::Propose]);
}

#[test]
fn leader_cut_off_steps_down_and_changes_nothing() {
    let mut group = Group::new(3, BootstrapRule::All);
    group.run_op(&Op::Run { steps: 200, drop_every: u64::MAX });
    let leader = group.nodes.iter().position(ReplicaNode::is_settled_leader).unwrap();
    group.run_op(&Op::Cut(leader));
    let commit = group.nodes[leader].commit_index();
    group.run_op(&Op::Propose);
    group.run_op(&Op::Run { steps: 200, drop_every: u64::MAX });
    assert_eq!(group.nodes[leader].commit_index(), commit);
    assert_ne!(group.nodes[leader].role(), ReplicaRole::Leader);
    assert_eq!(group.n_leaders_settled(), 1);
}
