//! Entries, control VMs, endpoints and callers in virtual time, broken at random.
//!
//! Every process runs the decisions that the binaries run; only sockets, disks, clocks
//! and endpoints are fakes. A world is a function of its seed.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use yuccamux::{
    config_state::ConfigChange,
    control_node::ControlEffect,
    entry_node::CallNumber,
    job_dispatcher::DispatchEffect,
    job_ledger::LedgerLimits,
    job_run::{RepeatRule, TaskRef, TaskReport},
    peer_message::{PeerDatagram, PeerMessage},
    policy_settings::PolicySettings,
    prelude::*,
    vm_layout::{VmLayout, VmRole, VmSpec},
};

use crate::{
    fake_control::{FakeControl, FakeDisk},
    fake_endpoint::{EndpointFault, EndpointReport, FakeEndpoint},
    fake_entry::{EntryOutput, FakeEntry},
    fault_plan::{FaultCounts, FaultKind, FaultPlan},
    message_bag::{BagCounts, BagFaults, BagMessage, MessageBag},
    world_record::{CallerRecord, WorldRecord},
};

/// Start of virtual time.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Time between steps, in ms.
const STEP_MS: u64 = 10;
/// Time without faults at the end, in ms.
pub(crate) const QUIET_MS: u64 = 25_000;
/// Time at the start for groups to be founded, in ms.
const WARMUP_MS: u64 = 4_000;
/// Messages on their way at once that show that messages cause ever more of them.
const MAX_WAITING: usize = 50_000;
/// Longest a stopping entry may take, in ms.
const STOP_MS: u64 = 45_000;

/// Size and length of a world.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Seed of everything.
    pub seed: u64,
    /// Entries in each of three data centres.
    pub entries_per_centre: usize,
    /// Time with faults, in ms.
    pub faulty_ms: u64,
    /// Faults to meet.
    pub faults: Vec<FaultKind>,
    /// Mean time between faults, in ms.
    pub fault_mean_ms: u64,
    /// Mean time between submissions, in ms.
    pub arrival_mean_ms: u64,
    /// How messages are treated.
    pub bag: BagFaults,
}

/// What a world's run gave.
#[derive(Clone, Debug)]
pub struct WorldResult {
    /// Record, with violations.
    pub record: WorldRecord,
    /// Faults met.
    pub faults: FaultCounts,
    /// What the bag did.
    pub bag: BagCounts,
    /// Steps taken.
    pub n_steps: u64,
    /// Answers that were complete.
    pub n_complete: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum WorldBody {
    Message(PeerMessage),
    Datagram(PeerDatagram),
}

#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    Arrive {
        id: TaskId,
        task: TaskRef,
        endpoint: EndpointName,
        entry: (VmName, u64),
        submission: u64,
    },
    Report {
        endpoint: EndpointName,
        report: EndpointReport,
    },
    Submit {
        key: JobKey,
        n_tasks: u32,
        repeat_rule: RepeatRule,
        entry: Option<VmName>,
    },
    Cancel {
        key: JobKey,
    },
    StartEntry(VmName),
    StartControl(VmName),
    KillEntry(VmName),
    Thaw(VmName),
    Heal,
    RestartEndpoint(EndpointName),
    MendEndpoint(EndpointName),
    Fault,
    Arrival,
    Change,
    Resend(ConfigChange),
}

/// A world.
pub struct SystemWorld {
    pub(crate) settings: WorldSettings,
    pub(crate) layout: VmLayout,
    pub(crate) now: ClockTime,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) plan: FaultPlan,
    pub(crate) bag: MessageBag<WorldBody>,
    pub(crate) entries: IndexMap<VmName, FakeEntry>,
    pub(crate) controls: IndexMap<VmName, FakeControl>,
    pub(crate) disks: IndexMap<VmName, FakeDisk>,
    pub(crate) endpoints: IndexMap<EndpointName, FakeEndpoint>,
    pub(crate) frozen: IndexSet<VmName>,
    pub(crate) frozen_inbox: IndexMap<VmName, Vec<BagMessage<WorldBody>>>,
    pub(crate) stopping: IndexMap<VmName, ClockTime>,
    pub(crate) skew_ms: IndexMap<VmName, u64>,
    pub(crate) events: BTreeMap<(ClockTime, u64), WorldEvent>,
    pub(crate) next_event: u64,
    pub(crate) next_submission: u64,
    pub(crate) next_change: u64,
    pub(crate) next_call: u64,
    pub(crate) changes: IndexMap<(VmName, CallNumber), ConfigChange>,
    pub(crate) accepted_at: Vec<(ClockTime, u64)>,
    pub(crate) whole_since: ClockTime,
    pub(crate) started_at: IndexMap<VmName, ClockTime>,
    pub(crate) accepted_bases: IndexMap<(u64, String), String>,
    pub(crate) quiet_from: ClockTime,
    pub(crate) faults: FaultCounts,
    pub(crate) record: WorldRecord,
    pub(crate) n_steps: u64,
}

/// A layout of three data centres with control VMs.
pub fn world_layout(entries_per_centre: usize) -> VmLayout {
    let centres = ["augsburg", "munich", "nuremberg"];
    let mut vms = Vec::new();
    for (idx, centre) in centres.iter().enumerate() {
        let vm = |role, name: String| VmSpec {
            role,
            name: VmName(name),
            centre: DataCentre::from(*centre),
            address: String::new(),
        };
        vms.push(vm(VmRole::Control, format!("control-{idx}")));
        for entry in 0..entries_per_centre {
            vms.push(vm(VmRole::Entry, format!("entry-{idx}-{entry}")));
        }
    }
    VmLayout::new(vms)
}

impl SystemWorld {
    /// A world at its start.
    pub fn new(settings: WorldSettings) -> SystemWorld {
        let layout = world_layout(settings.entries_per_centre);
        let now = ClockTime(EPOCH_MS);
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let plan = FaultPlan::new(&settings.faults, settings.fault_mean_ms);
        let mut endpoints = IndexMap::new();
        for centre in layout.centres() {
            for (idx, run_ms) in [40, 80, 300].into_iter().enumerate() {
                let name = format!("{centre}-{idx}");
                let endpoint = FakeEndpoint::new(&name, &centre, 4, run_ms);
                endpoints.insert(EndpointName::from(name.as_str()), endpoint);
            }
        }
        let skew = LedgerLimits::default().clock_skew_ms;
        let vms = layout.vms().iter().map(|it| it.name.clone());
        let skew_ms = vms.clone().map(|it| (it, rng.random_range(0..=skew))).collect();
        let quiet_from = now.plus_ms(WARMUP_MS + settings.faulty_ms);
        let mut world = SystemWorld {
            bag: MessageBag::new(settings.bag),
            settings,
            now,
            rng,
            plan,
            entries: IndexMap::new(),
            controls: IndexMap::new(),
            disks: vms.map(|it| (it, FakeDisk::default())).collect(),
            endpoints,
            frozen: IndexSet::new(),
            frozen_inbox: IndexMap::new(),
            stopping: IndexMap::new(),
            skew_ms,
            events: BTreeMap::new(),
            next_event: 0,
            next_submission: 0,
            next_change: 0,
            next_call: 0,
            changes: IndexMap::new(),
            accepted_at: Vec::new(),
            whole_since: now,
            started_at: IndexMap::new(),
            accepted_bases: IndexMap::new(),
            quiet_from,
            faults: FaultCounts::new(),
            record: WorldRecord::default(),
            n_steps: 0,
            layout,
        };
        for vm in world.layout.with_role(VmRole::Control) {
            world.start_control(&vm);
        }
        for vm in world.layout.with_role(VmRole::Entry) {
            world.start_entry(&vm);
        }
        world.at(WARMUP_MS / 2, WorldEvent::Change);
        world.at(WARMUP_MS, WorldEvent::Arrival);
        world.at(WARMUP_MS, WorldEvent::Fault);
        world
    }

    /// Runs the world to its end.
    pub fn run(mut self) -> WorldResult {
        let end = self.quiet_from.plus_ms(QUIET_MS);
        let mut was_quiet = false;
        while self.now < end {
            if !was_quiet && self.quiet_from <= self.now {
                was_quiet = true;
                self.mend_all();
            }
            self.step();
            if MAX_WAITING < self.bag.n_waiting() {
                self.record.violations.push("messages multiply".to_owned());
                break;
            }
        }
        self.check_end();
        let complete =
            |it: &&CallerRecord| matches!(&it.answer, Some(Ok(it)) if it.ran() == RanState::Ran);
        let n_complete = self.record.submissions.values().filter(complete).count() as u64;
        WorldResult {
            faults: self.faults,
            bag: self.bag.counts(),
            n_steps: self.n_steps,
            record: self.record,
            n_complete,
        }
    }

    pub(crate) fn at(&mut self, span_ms: u64, event: WorldEvent) {
        self.next_event += 1;
        self.events.insert((self.now.plus_ms(span_ms), self.next_event), event);
    }

    pub(crate) fn clock_of(&self, vm: &VmName) -> ClockTime {
        self.now.plus_ms(self.skew_ms.get(vm).copied().unwrap_or_default())
    }

    pub(crate) fn step(&mut self) {
        self.n_steps += 1;
        self.now = self.now.plus_ms(STEP_MS);
        while let Some(message) = self.bag.take_due(self.now) {
            self.deliver(message);
        }
        while let Some(entry) = self.events.first_entry() {
            if self.now < entry.key().0 {
                break;
            }
            let event = entry.remove();
            self.take_event(event);
        }
        self.end_tasks();
        self.tick_vms();
        if self.now.0.is_multiple_of(1_000) {
            self.announce_endpoints();
        }
        self.check_config();
    }

    pub(crate) fn tick_vms(&mut self) {
        for vm in self.entries.keys().cloned().collect::<Vec<_>>() {
            if self.frozen.contains(&vm) {
                continue;
            }
            let clock = self.clock_of(&vm);
            if let Some(entry) = self.entries.get_mut(&vm) {
                entry.tick(clock);
            }
            self.drain_entry(&vm);
            self.end_stop(&vm);
        }
        for vm in self.controls.keys().cloned().collect::<Vec<_>>() {
            if self.frozen.contains(&vm) {
                continue;
            }
            let clock = self.clock_of(&vm);
            if let Some(control) = self.controls.get_mut(&vm) {
                control.node.tick(clock);
            }
            self.drain_control(&vm);
        }
    }

    pub(crate) fn deliver(&mut self, message: BagMessage<WorldBody>) {
        let vm = message.to.clone();
        if self.frozen.contains(&vm) {
            self.frozen_inbox.entry(vm).or_default().push(message);
            return;
        }
        let clock = self.clock_of(&vm);
        if let Some(entry) = self.entries.get_mut(&vm) {
            match message.body {
                WorldBody::Message(it) => entry.node.handle_message(&message.from, it, clock),
                WorldBody::Datagram(it) => entry.node.handle_datagram(&message.from, it, clock),
            }
            self.drain_entry(&vm);
        } else if let Some(control) = self.controls.get_mut(&vm) {
            match message.body {
                WorldBody::Message(it) => control.node.handle_message(&message.from, it, clock),
                WorldBody::Datagram(it) => control.node.handle_datagram(&message.from, it, clock),
            }
            self.drain_control(&vm);
        }
    }

    pub(crate) fn send(&mut self, from: &VmName, to: VmName, body: WorldBody) {
        let message = BagMessage { from: from.clone(), to, body };
        self.bag.put(message, self.now, &mut self.rng);
    }

    pub(crate) fn drain_entry(&mut self, vm: &VmName) {
        let clock = self.clock_of(vm);
        let Some(entry) = self.entries.get_mut(vm) else { return };
        let incarnation = entry.incarnation;
        for output in entry.take_outputs(clock) {
            match output {
                EntryOutput::Send(to, message) => self.send(vm, to, WorldBody::Message(message)),
                EntryOutput::SendDatagram(to, datagram) => {
                    self.send(vm, to, WorldBody::Datagram(datagram));
                }
                EntryOutput::Dispatch(effect) => self.take_dispatch(vm, incarnation, effect),
                EntryOutput::Answer(number, result) => self.record.note_answer(number, result),
            }
        }
    }

    pub(crate) fn take_dispatch(&mut self, vm: &VmName, incarnation: u64, effect: DispatchEffect) {
        match effect {
            DispatchEffect::Start { task, id, endpoint, .. } => {
                let entry = (vm.clone(), incarnation);
                let submission = self.entries.get(vm).and_then(|it| it.submission_of(task.job));
                let submission = submission.unwrap_or_default();
                if self.rng.random_bool(0.01) {
                    let report = TaskReport::NotWritten("reset before the write".to_owned());
                    let report = EndpointReport { entry, task, report };
                    self.at(1, WorldEvent::Report { endpoint, report });
                    return;
                }
                let delay_ms = self.rng.random_range(0..3);
                let arrive = WorldEvent::Arrive { id, task, endpoint, entry, submission };
                self.at(delay_ms, arrive);
            }
            DispatchEffect::CancelTasks(endpoint, _, ids) => {
                let now = self.now;
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.cancel(&ids, now);
                }
            }
            DispatchEffect::Finish(..) | DispatchEffect::SendLease(..) => {}
        }
    }

    pub(crate) fn drain_control(&mut self, vm: &VmName) {
        let clock = self.clock_of(vm);
        let Some(control) = self.controls.get_mut(vm) else { return };
        let Some(disk) = self.disks.get_mut(vm) else { return };
        for effect in control.take_outputs(disk, clock) {
            match effect {
                ControlEffect::Send(to, message) => self.send(vm, to, WorldBody::Message(message)),
                ControlEffect::SendDatagram(to, datagram) => {
                    self.send(vm, to, WorldBody::Datagram(datagram));
                }
                ControlEffect::AnswerChange(call, result) => self.end_change(vm, call, result),
                ControlEffect::Store(_)
                | ControlEffect::RoleChanged(_)
                | ControlEffect::GroupChanged(_)
                | ControlEffect::Version(_)
                | ControlEffect::EndpointsRepeated { .. }
                | ControlEffect::ToleranceChanged(_)
                | ControlEffect::AnswerPlanRead(..)
                | ControlEffect::SendCellHeartbeat(..) => {}
            }
        }
    }

    pub(crate) fn take_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive { id, task, endpoint, entry, submission } => {
                self.arrive(id, task, endpoint, entry, submission);
            }
            WorldEvent::Report { endpoint, report } => self.take_report(endpoint, report),
            WorldEvent::Submit { key, n_tasks, repeat_rule, entry } => {
                self.submit(key, n_tasks, repeat_rule, entry);
            }
            WorldEvent::Cancel { key } => {
                for vm in self.entries.keys().cloned().collect::<Vec<_>>() {
                    let clock = self.clock_of(&vm);
                    if !self.frozen.contains(&vm)
                        && let Some(entry) = self.entries.get_mut(&vm)
                    {
                        entry.dispatcher.cancel(&key, clock);
                        self.drain_entry(&vm);
                    }
                }
            }
            WorldEvent::StartEntry(vm) => self.start_entry(&vm),
            WorldEvent::StartControl(vm) => self.start_control(&vm),
            WorldEvent::KillEntry(vm) => self.kill_entry(&vm),
            WorldEvent::Thaw(vm) => self.thaw(&vm),
            WorldEvent::Heal => {
                self.bag.heal();
                self.whole_since = self.now;
            }
            WorldEvent::RestartEndpoint(name) => {
                if let Some(endpoint) = self.endpoints.get_mut(&name) {
                    endpoint.restart();
                }
            }
            WorldEvent::MendEndpoint(name) => self.mend_endpoint(&name),
            WorldEvent::Fault => self.next_fault(),
            WorldEvent::Arrival => self.next_arrival(),
            WorldEvent::Change => self.next_change(),
            WorldEvent::Resend(change) => self.send_change(change),
        }
    }

    pub(crate) fn arrive(
        &mut self,
        id: TaskId,
        task: TaskRef,
        name: EndpointName,
        entry: (VmName, u64),
        submission: u64,
    ) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&name) else { return };
        if let Err(report) = endpoint.check_start() {
            let report = EndpointReport { entry, task, report };
            self.at(1, WorldEvent::Report { endpoint: name, report });
            return;
        }
        if let Some(since) = endpoint.leaving_since {
            self.record.note_late_start(&name, now.since_ms(since));
        }
        self.record.note_start(&id, submission, now);
        let is_lost = self.rng.random_bool(0.01);
        endpoint.start(id, entry.clone(), task, now, &mut self.rng);
        if is_lost {
            // The connection breaks after the task has started.
            let report = TaskReport::Lost("reset after the write".to_owned());
            let report = EndpointReport { entry, task, report };
            self.at(5, WorldEvent::Report { endpoint: name, report });
        }
    }

    pub(crate) fn take_report(&mut self, endpoint: EndpointName, report: EndpointReport) {
        let (vm, incarnation) = &report.entry;
        if self.frozen.contains(vm) {
            self.at(100, WorldEvent::Report { endpoint, report });
            return;
        }
        let vm = vm.clone();
        let clock = self.clock_of(&vm);
        let Some(entry) = self.entries.get_mut(&vm) else { return };
        if entry.incarnation == *incarnation {
            entry.dispatcher.handle_task_report(report.task, &endpoint, report.report, 50.0, clock);
            self.drain_entry(&vm);
        }
    }

    pub(crate) fn end_tasks(&mut self) {
        let now = self.now;
        for name in self.endpoints.keys().cloned().collect::<Vec<_>>() {
            let Some(endpoint) = self.endpoints.get_mut(&name) else { continue };
            for report in endpoint.take_ended(now) {
                let delay_ms = self.rng.random_range(0..30);
                self.at(delay_ms, WorldEvent::Report { endpoint: name.clone(), report });
            }
        }
    }

    pub(crate) fn announce_endpoints(&mut self) {
        for endpoint in self.endpoints.values().cloned().collect::<Vec<_>>() {
            let vms = self.layout.entries_in(&endpoint.centre);
            let Some(vm) = vms.choose(&mut self.rng).cloned() else { continue };
            let clock = self.clock_of(&vm);
            let is_reachable = !self.frozen.contains(&vm) && endpoint.fault != EndpointFault::Down;
            if is_reachable && let Some(entry) = self.entries.get_mut(&vm) {
                entry.node.announce(endpoint.record, clock);
            }
        }
    }

    pub(crate) fn start_entry(&mut self, vm: &VmName) {
        if self.entries.contains_key(vm) {
            return;
        }
        let clock = self.clock_of(vm);
        let limits = LedgerLimits::default();
        let entry = FakeEntry::new(vm, &self.layout, limits, PolicySettings::default(), clock);
        self.entries.insert(vm.clone(), entry);
        self.started_at.insert(vm.clone(), self.now);
    }

    pub(crate) fn start_control(&mut self, vm: &VmName) {
        if self.controls.contains_key(vm) {
            return;
        }
        let clock = self.clock_of(vm);
        let Some(disk) = self.disks.get(vm) else { return };
        let control = FakeControl::new(vm, &self.layout, disk, clock);
        self.controls.insert(vm.clone(), control);
        self.started_at.insert(vm.clone(), self.now);
    }

    pub(crate) fn kill_entry(&mut self, vm: &VmName) {
        self.entries.swap_remove(vm);
        self.frozen.swap_remove(vm);
        self.frozen_inbox.swap_remove(vm);
        self.stopping.swap_remove(vm);
    }

    pub(crate) fn restart_entry_later(&mut self, vm: &VmName, longest_ms: u64) {
        self.kill_entry(vm);
        let delay_ms = self.rng.random_range(50..longest_ms);
        self.at(delay_ms, WorldEvent::StartEntry(vm.clone()));
    }

    pub(crate) fn thaw(&mut self, vm: &VmName) {
        if self.frozen.swap_remove(vm) {
            for message in self.frozen_inbox.swap_remove(vm).unwrap_or_default() {
                self.deliver(message);
            }
            // Links that are cut stay so.
            if self.whole_since <= self.now {
                self.whole_since = self.now;
            }
        }
    }

    /// Ends an entry that was told to stop, once it has answered everything.
    pub(crate) fn end_stop(&mut self, vm: &VmName) {
        let Some(since) = self.stopping.get(vm).copied() else { return };
        let Some(entry) = self.entries.get(vm) else { return };
        let stopping_ms = self.now.since_ms(since);
        if STOP_MS < stopping_ms {
            self.record.violations.push(format!("{vm} did not stop in {stopping_ms} ms"));
        }
        if entry.n_open() == 0 && 500 <= stopping_ms {
            self.restart_entry_later(vm, 3_000);
        }
    }

    pub(crate) fn random_entry(&mut self) -> Option<VmName> {
        let vms: Vec<VmName> = self.entries.keys().cloned().collect();
        vms.choose(&mut self.rng).cloned()
    }

    pub(crate) fn random_control(&mut self) -> Option<VmName> {
        let vms: Vec<VmName> = self.controls.keys().cloned().collect();
        vms.choose(&mut self.rng).cloned()
    }
}
