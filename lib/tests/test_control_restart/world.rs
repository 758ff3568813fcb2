//! A world of control VMs with their disks, in virtual time, without a network.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccamux::{
    cell::{route_plan::RoutePlan, tolerance_watch::ToleranceChange},
    config_state::StoredPlan,
    control_node::{ControlEffect, ControlNode, ControlSettings, GroupRule},
    entry_node::CallNumber,
    job_ledger::OwnerId,
    peer_message::{PeerDatagram, PeerMessage},
    prelude::*,
    replica_effect::{HardState, StoreEffect},
    replica_log::ReplicaLog,
    replica_node::ReplicaRole,
    vm_layout::{VmLayout, VmRole, VmSpec},
};

pub(crate) const STEP_MS: u64 = 10;
pub(crate) const ELECTION_MS: u64 = 300;
pub(crate) const CALL_TIMEOUT_MS: u64 = 3_000;
/// Time in which a majority of the newest group elects a leader: `recovery_s` of the small site.
pub(crate) const RECOVERY_MS: u64 = 5_000;
/// Time from which on a VM that has started counts as caught up: `catch_up_s` of the small site.
pub(crate) const CATCH_UP_MS: u64 = 4_000;
/// Time from the signal to stop to the kill: `grace_s` of the small site.
const GRACE_MS: u64 = 6_000;
/// Index of the snapshot that a bootstrap makes.
const BOOTSTRAP_INDEX: u64 = 1;
/// Log entries after which a snapshot is due, and a few more.
pub(crate) const PUTS_PAST_A_SNAPSHOT: usize = 40;

#[derive(Default)]
pub(crate) struct Disk {
    hard: Option<HardState>,
    log: ReplicaLog,
}

impl Disk {
    pub(crate) fn commit(&mut self, effect: StoreEffect) {
        match effect {
            StoreEffect::SaveState(hard) => self.hard = Some(hard),
            StoreEffect::Append(entries) => entries.into_iter().for_each(|it| self.log.push(it)),
            StoreEffect::TruncateFrom(index) => self.log.truncate_from(index),
            StoreEffect::SaveSnapshot(snapshot) => self.log.install(snapshot),
            StoreEffect::Reset(hard) => {
                *self = Disk { hard: Some(hard), log: ReplicaLog::default() };
            }
        }
    }
}

pub(crate) enum Wire {
    Message(PeerMessage),
    Datagram(PeerDatagram),
}

/// What a call waits for.
pub(crate) enum Call {
    /// A put of this version.
    Put(u64),
    /// A read that began when this version was the newest acknowledged one.
    Read(u64),
}

pub(crate) struct World {
    pub(crate) now: ClockTime,
    pub(crate) n_wanted: usize,
    /// Election timeout of the VMs that are started from now on.
    pub(crate) election_ms: u64,
    /// Highest number of a VM so far.
    pub(crate) last_number: usize,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) nodes: BTreeMap<VmName, ControlNode>,
    pub(crate) disks: BTreeMap<VmName, Disk>,
    pub(crate) waiting: BTreeMap<(ClockTime, u64), (VmName, VmName, Wire)>,
    pub(crate) n_sent: u64,
    pub(crate) loses_one_in: u64,
    /// VMs whose processes stand still; what is sent to them waits.
    pub(crate) frozen: BTreeSet<VmName>,
    /// Changes of the alarm on the group's tolerance, with the VM that raised it.
    pub(crate) alarms: Vec<(VmName, ToleranceChange)>,
    /// VMs of which nothing arrives.
    pub(crate) mute: BTreeSet<VmName>,
    /// VMs that get datagrams but no messages.
    pub(crate) deaf: BTreeSet<VmName>,
    /// Time of a sync, by VM; a process does nothing else meanwhile.
    pub(crate) sync_ms: BTreeMap<VmName, u64>,
    /// Until when a VM's process waits for its disk.
    pub(crate) syncs_until: BTreeMap<VmName, ClockTime>,
    pub(crate) calls: IndexMap<(VmName, u64), Call>,
    pub(crate) next_call: u64,
    pub(crate) next_version: u64,
    pub(crate) acknowledged: u64,
    pub(crate) n_read: usize,
    /// Leaders by generation and term.
    pub(crate) leaders: BTreeMap<(GenerationId, u64), ReplicaId>,
    /// The only generation in which an entry was committed.
    pub(crate) committed_generation: Option<GenerationId>,
}

pub(crate) fn vm(number: usize) -> VmName {
    VmName(format!("10.0.0.{number}"))
}

impl World {
    /// Three VMs that bootstrap the group, with a leader.
    pub(crate) fn new(n_wanted: usize, seed: u64) -> World {
        let mut world = World::empty(n_wanted, seed);
        for number in 1..=3 {
            world.start_first(&vm(number), 3);
        }
        world.run_ms(5_000);
        assert_eq!(world.members(), (1..=3).map(vm).collect::<Vec<_>>());
        world
    }

    /// No VM was started yet.
    pub(crate) fn empty(n_wanted: usize, seed: u64) -> World {
        World {
            now: ClockTime(1_000_000),
            n_wanted,
            election_ms: ELECTION_MS,
            last_number: 5,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            waiting: BTreeMap::new(),
            n_sent: 0,
            loses_one_in: u64::MAX,
            frozen: BTreeSet::new(),
            alarms: Vec::new(),
            mute: BTreeSet::new(),
            deaf: BTreeSet::new(),
            sync_ms: BTreeMap::new(),
            syncs_until: BTreeMap::new(),
            calls: IndexMap::new(),
            next_call: 0,
            next_version: 0,
            acknowledged: 0,
            n_read: 0,
            leaders: BTreeMap::new(),
            committed_generation: None,
        }
    }

    /// Starts one of the first VMs, which bootstrap the group, for the first time.
    pub(crate) fn start_first(&mut self, name: &VmName, n_seeds: usize) {
        self.start_with(name, (1..=n_seeds).map(vm).collect());
    }

    pub(crate) fn start_with(&mut self, name: &VmName, bootstrap_vms: Vec<VmName>) {
        self.disks.entry(name.clone()).or_default();
        // The operator's list as of this start.
        let seeds = self.disks.keys().take(3).cloned().collect();
        let settings = ControlSettings {
            owner: OwnerId { vm: name.clone(), incarnation: self.now.0 },
            layout: VmLayout::new(vec![VmSpec {
                role: VmRole::Control,
                name: name.clone(),
                centre: DataCentre::from("munich"),
                address: format!("{name}:1"),
            }]),
            group_rule: GroupRule::Dynamic { bootstrap_vms, seeds, n_wanted: self.n_wanted },
            election_ms: self.election_ms,
            heartbeat_ms: 100,
            seed: self.rng.random(),
        };
        let disk = &self.disks[name];
        let stored = disk.hard.clone().map(|it| (it, disk.log.clone()));
        let node = ControlNode::new(settings, stored, self.now);
        self.nodes.insert(name.clone(), node);
        self.run_effects(name);
    }

    /// Starts a VM, later than the first time.
    pub(crate) fn start(&mut self, name: &VmName) {
        // The clock goes on between the end of a process and its next incarnation.
        self.now = self.now.plus_ms(1);
        self.start_with(name, Vec::new());
    }

    /// Ends a VM's process without a word.
    pub(crate) fn kill(&mut self, name: &VmName) {
        self.nodes.remove(name);
        self.frozen.remove(name);
        self.calls.retain(|(vm, _), _| vm != name);
    }

    /// Tells a VM's process to stop; it ends with [`World::kill`].
    pub(crate) fn stop(&mut self, name: &VmName) {
        self.nodes.get_mut(name).unwrap().stop(self.now);
        self.run_effects(name);
    }

    /// Runs until a VM that was told to stop has its place taken, half of `grace_s` at most.
    pub(crate) fn run_until_replaced(&mut self, name: &VmName) {
        for _ in 0..GRACE_MS / 2 / STEP_MS {
            let awaits = |it: &ControlNode| it.awaits_replacement(self.now);
            if !self.nodes.get(name).is_some_and(awaits) {
                return;
            }
            self.step();
        }
    }

    pub(crate) fn restart(&mut self, name: &VmName) {
        self.kill(name);
        self.start(name);
    }

    pub(crate) fn lose_disk(&mut self, name: &VmName) {
        self.disks.insert(name.clone(), Disk::default());
    }

    /// Ends a VM for good.
    pub(crate) fn remove(&mut self, name: &VmName) {
        self.kill(name);
        self.disks.remove(name);
    }

    pub(crate) fn run_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        if !self.sync_ms.is_empty() {
            self.step_with_syncs();
            return;
        }
        self.now = self.now.plus_ms(STEP_MS);
        while let Some(entry) = self.waiting.first_entry() {
            if self.now < entry.key().0 {
                break;
            }
            let (key, (from, to, wire)) = entry.remove_entry();
            if self.frozen.contains(&to) {
                let later = (self.now.plus_ms(STEP_MS), key.1);
                self.waiting.insert(later, (from, to, wire));
                continue;
            }
            if self.deliver(&from, &to, wire) {
                self.run_effects(&to);
            }
        }
        let running = self.nodes.keys().filter(|it| !self.frozen.contains(*it));
        for name in running.cloned().collect::<Vec<_>>() {
            self.nodes.get_mut(&name).unwrap().tick(self.now);
            self.run_effects(&name);
        }
    }

    /// Whether a VM that is up has handled what was sent to it.
    fn deliver(&mut self, from: &VmName, to: &VmName, wire: Wire) -> bool {
        if self.deaf.contains(to) && matches!(wire, Wire::Message(_)) {
            return false;
        }
        let Some(node) = self.nodes.get_mut(to) else { return false };
        match wire {
            Wire::Message(it) => node.handle_message(from, it, self.now),
            Wire::Datagram(it) => node.handle_datagram(from, it, self.now),
        }
        true
    }

    /// A step in which each process handles all that has arrived, and then syncs once.
    fn step_with_syncs(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        let is_busy = |it: &VmName| self.syncs_until.get(it).is_some_and(|at| self.now < *at);
        let running = self.nodes.keys().filter(|it| !self.frozen.contains(*it) && !is_busy(it));
        for name in running.cloned().collect::<Vec<_>>() {
            let due = self.waiting.range(..(self.now, u64::MAX));
            let own = due.filter(|(_, (_, to, _))| *to == name).map(|(key, _)| *key);
            for key in own.collect::<Vec<_>>() {
                let Some((from, to, wire)) = self.waiting.remove(&key) else { continue };
                self.deliver(&from, &to, wire);
            }
            self.nodes.get_mut(&name).unwrap().tick(self.now);
            self.run_effects(&name);
        }
        let (nodes, now) = (&self.nodes, self.now);
        self.waiting.retain(|(at, _), (_, to, _)| now <= *at || nodes.contains_key(to));
    }

    pub(crate) fn run_effects(&mut self, name: &VmName) {
        let node = self.nodes.get_mut(name).unwrap();
        node.flush(self.now);
        let effects = node.drain_effects();
        if effects.iter().any(|it| matches!(it, ControlEffect::Store(_)))
            && let Some(sync_ms) = self.sync_ms.get(name)
        {
            self.syncs_until.insert(name.clone(), self.now.plus_ms(*sync_ms));
        }
        for effect in effects {
            match effect {
                ControlEffect::Store(it) => self.disks.get_mut(name).unwrap().commit(it),
                ControlEffect::Send(to, message) => self.send(name, &to, Wire::Message(message)),
                ControlEffect::SendDatagram(to, it) => self.send(name, &to, Wire::Datagram(it)),
                ControlEffect::SendCellHeartbeat(vms, heartbeat) => {
                    for to in vms {
                        let datagram = PeerDatagram::CellHeartbeat(heartbeat.clone());
                        self.send(name, &to, Wire::Datagram(datagram));
                    }
                }
                ControlEffect::AnswerChange(number, result) => {
                    let call = self.calls.swap_remove(&(name.clone(), number.0));
                    if let (Some(Call::Put(version)), Ok(in_force)) = (call, result) {
                        assert!(version <= in_force, "a put was answered with an older version");
                        self.acknowledged = self.acknowledged.max(version);
                    }
                }
                ControlEffect::AnswerPlanRead(number, result) => {
                    let call = self.calls.swap_remove(&(name.clone(), number.0));
                    if let (Some(Call::Read(expected)), Ok(plan)) = (call, result) {
                        let read = plan.map_or(0, |it| it.plan.version);
                        assert!(
                            expected <= read,
                            "version {expected} was acknowledged, {name} reads {read}"
                        );
                        self.n_read += 1;
                    }
                }
                ControlEffect::ToleranceChanged(it) => {
                    self.alarms.push((name.clone(), it));
                }
                ControlEffect::RoleChanged(_)
                | ControlEffect::GroupChanged(_)
                | ControlEffect::Version(_)
                | ControlEffect::EndpointsRepeated { .. } => {}
            }
        }
        let node = self.nodes[name].node();
        let Some(generation) = node.generation() else { return };
        if node.role() == ReplicaRole::Leader {
            let term = (generation, node.term());
            let leader = self.leaders.entry(term).or_insert_with(|| node.id().clone());
            assert_eq!(leader, node.id(), "two leaders in {term:?}");
        }
        if BOOTSTRAP_INDEX < node.commit_index() {
            let committed = *self.committed_generation.get_or_insert(generation);
            assert_eq!(committed, generation, "two groups have committed");
        }
    }

    pub(crate) fn send(&mut self, from: &VmName, to: &VmName, wire: Wire) {
        self.n_sent += 1;
        if self.n_sent.is_multiple_of(self.loses_one_in) || self.mute.contains(from) {
            return;
        }
        // What a sync makes durable is sent after it.
        let sent_at = self.syncs_until.get(from).map_or(self.now, |it| self.now.max(*it));
        let due_at = sent_at.plus_ms(self.n_sent * 7 % 25);
        self.waiting.insert((due_at, self.n_sent), (from.clone(), to.clone(), wire));
    }

    pub(crate) fn leader(&self) -> Option<VmName> {
        let leads = |it: &&VmName| self.nodes[*it].node().is_settled_leader();
        self.nodes.keys().find(leads).cloned()
    }

    /// Members of the group as its leader sees it, once all of them vote.
    pub(crate) fn members(&self) -> Vec<VmName> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let node = self.nodes[&leader].node();
        let mut vms = node.vms().to_vec();
        vms.retain(|vm| node.voters().iter().any(|it| it.vm == *vm));
        vms.sort();
        vms
    }

    /// VMs of the group as its leader sees it, whether they vote or not.
    pub(crate) fn group_vms(&self) -> Vec<VmName> {
        let leader = self.leader();
        leader.map_or_else(Vec::new, |it| self.nodes[&it].node().vms().to_vec())
    }

    /// Runs step by step until a condition holds.
    pub(crate) fn run_until(&mut self, condition: impl Fn(&World) -> bool) {
        for _ in 0..CATCH_UP_MS / STEP_MS {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("the condition does not hold in time");
    }

    /// Puts the next version through a VM.
    pub(crate) fn put(&mut self, name: &VmName) {
        self.next_version += 1;
        let plan = RoutePlan { version: self.next_version, ..RoutePlan::default() };
        let plan = StoredPlan { plan, source: self.next_version.to_string() };
        let number = self.call(name, Call::Put(self.next_version));
        let node = self.nodes.get_mut(name).unwrap();
        node.put_plan(number, plan, CALL_TIMEOUT_MS, self.now);
        self.run_effects(name);
    }

    pub(crate) fn read(&mut self, name: &VmName) {
        let number = self.call(name, Call::Read(self.acknowledged));
        self.nodes.get_mut(name).unwrap().read_plan(number, CALL_TIMEOUT_MS, self.now);
        self.run_effects(name);
    }

    pub(crate) fn call(&mut self, name: &VmName, call: Call) -> CallNumber {
        self.next_call += 1;
        self.calls.insert((name.clone(), self.next_call), call);
        CallNumber(self.next_call)
    }

    /// Puts a version through any VM and waits for its acknowledgement.
    pub(crate) fn put_acknowledged(&mut self) {
        let before = self.acknowledged;
        for _ in 0..20 {
            let name = self.leader().unwrap_or_else(|| self.nodes.keys().next().unwrap().clone());
            self.put(&name);
            self.run_ms(300);
            if before < self.acknowledged {
                return;
            }
        }
        panic!("no change is acknowledged");
    }

    pub(crate) fn put_past_a_snapshot(&mut self) {
        for _ in 0..PUTS_PAST_A_SNAPSHOT {
            let leader = self.leader().unwrap();
            self.put(&leader);
            self.run_ms(50);
        }
    }

    /// Runs until the group has exactly these members.
    pub(crate) fn run_until_members(&mut self, members: &[VmName]) {
        for _ in 0..CATCH_UP_MS / 100 {
            self.run_ms(100);
            if self.members() == members {
                return;
            }
        }
        panic!("members are {:?}, not {members:?}", self.members());
    }

    /// Restarts leaders until a VM for which `is_wanted` holds leads.
    pub(crate) fn lead_by(&mut self, is_wanted: impl Fn(&VmName) -> bool) -> VmName {
        for _ in 0..60 {
            match self.leader() {
                Some(leader) if is_wanted(&leader) => return leader,
                Some(leader) => self.restart(&leader),
                None => {}
            }
            self.run_ms(1_000);
        }
        panic!("no such leader in 60 elections");
    }

    /// A leader within the bound of the pages, and every VM reads what was acknowledged.
    pub(crate) fn check_recovery(&mut self) {
        self.run_ms(RECOVERY_MS);
        assert!(self.leader().is_some(), "nobody leads");
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            let n_read = self.n_read;
            self.read(&name);
            self.run_ms(1_000);
            assert_eq!(self.n_read, n_read + 1, "{name} does not read the plan");
        }
        self.put_acknowledged();
    }
}
