//! Entries, control VMs, endpoints and callers in virtual time, broken at random.
//!
//! Every process runs the decisions that the binaries run; only sockets, disks, clocks
//! and endpoints are fakes. A world is a function of its seed.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use yuccamux::{
    config_state::{ChangeAction, ConfigChange},
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
    fake_entry::{CallerJob, EntryOutput, FakeEntry},
    fault_plan::{FaultCounts, FaultKind, FaultPlan},
    message_bag::{BagCounts, BagFaults, BagMessage, MessageBag},
    world_record::{CallerRecord, WorldRecord},
};

/// Start of virtual time.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Time between steps, in ms.
const STEP_MS: u64 = 10;
/// Time without faults at the end, in ms.
const QUIET_MS: u64 = 25_000;
/// Time in which a configuration must be in force where links are whole, in ms.
const IN_FORCE_MS: u64 = 7_000;
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
    /// Submissions whose process died.
    pub n_orphaned: u64,
}

#[derive(Clone, Debug)]
enum WorldBody {
    Message(PeerMessage),
    Datagram(PeerDatagram),
}

#[derive(Clone, Debug)]
enum WorldEvent {
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
    settings: WorldSettings,
    layout: VmLayout,
    now: ClockTime,
    rng: ChaCha8Rng,
    plan: FaultPlan,
    bag: MessageBag<WorldBody>,
    entries: IndexMap<VmName, FakeEntry>,
    controls: IndexMap<VmName, FakeControl>,
    disks: IndexMap<VmName, FakeDisk>,
    endpoints: IndexMap<EndpointName, FakeEndpoint>,
    frozen: IndexSet<VmName>,
    frozen_inbox: IndexMap<VmName, Vec<BagMessage<WorldBody>>>,
    stopping: IndexMap<VmName, ClockTime>,
    skew_ms: IndexMap<VmName, u64>,
    events: BTreeMap<(ClockTime, u64), WorldEvent>,
    next_event: u64,
    next_submission: u64,
    next_change: u64,
    next_call: u64,
    changes: IndexMap<(VmName, CallNumber), ConfigChange>,
    accepted_at: Vec<(ClockTime, u64)>,
    whole_since: ClockTime,
    started_at: IndexMap<VmName, ClockTime>,
    accepted_bases: IndexMap<u64, String>,
    quiet_from: ClockTime,
    faults: FaultCounts,
    record: WorldRecord,
    n_steps: u64,
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
        let orphans = self.record.submissions.values().filter(|it| it.answer.is_none());
        let n_orphaned = orphans.count() as u64;
        WorldResult {
            faults: self.faults,
            bag: self.bag.counts(),
            n_steps: self.n_steps,
            record: self.record,
            n_complete,
            n_orphaned,
        }
    }

    fn at(&mut self, span_ms: u64, event: WorldEvent) {
        self.next_event += 1;
        self.events.insert((self.now.plus_ms(span_ms), self.next_event), event);
    }

    fn clock_of(&self, vm: &VmName) -> ClockTime {
        self.now.plus_ms(self.skew_ms.get(vm).copied().unwrap_or_default())
    }

    fn step(&mut self) {
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

    fn tick_vms(&mut self) {
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

    fn deliver(&mut self, message: BagMessage<WorldBody>) {
        let vm = message.to.clone();
        if self.frozen.contains(&vm) {
            self.frozen_inbox.entry(vm).or_default().push(message);
            return;
        }
        let clock = self.clock_of(&vm);
        if let Some(entry) = self.entries.get_mut(&vm) {
            match message.body {
                WorldBody::Message(it) => entry.node.receive(&message.from, it, clock),
                WorldBody::Datagram(it) => entry.node.receive_datagram(&message.from, it, clock),
            }
            self.drain_entry(&vm);
        } else if let Some(control) = self.controls.get_mut(&vm) {
            match message.body {
                WorldBody::Message(it) => control.node.receive(&message.from, it, clock),
                WorldBody::Datagram(it) => control.node.receive_datagram(&message.from, it, clock),
            }
            self.drain_control(&vm);
        }
    }

    fn send(&mut self, from: &VmName, to: VmName, body: WorldBody) {
        let message = BagMessage { from: from.clone(), to, body };
        self.bag.put(message, self.now, &mut self.rng);
    }

    fn drain_entry(&mut self, vm: &VmName) {
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

    fn take_dispatch(&mut self, vm: &VmName, incarnation: u64, effect: DispatchEffect) {
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
            DispatchEffect::Finish(..) | DispatchEffect::Lease(..) => {}
        }
    }

    fn drain_control(&mut self, vm: &VmName) {
        let clock = self.clock_of(vm);
        let Some(control) = self.controls.get_mut(vm) else { return };
        let Some(disk) = self.disks.get_mut(vm) else { return };
        for effect in control.take_outputs(disk, clock) {
            match effect {
                ControlEffect::Send(to, message) => self.send(vm, to, WorldBody::Message(message)),
                ControlEffect::SendDatagram(to, datagram) => {
                    self.send(vm, to, WorldBody::Datagram(datagram));
                }
                ControlEffect::EndChange(call, result) => self.end_change(vm, call, result),
                ControlEffect::Store(_) | ControlEffect::Role(_) | ControlEffect::Version(_) => {}
            }
        }
    }

    fn end_change(&mut self, vm: &VmName, call: CallNumber, result: Result<u64, RequestError>) {
        let Some(change) = self.changes.swap_remove(&(vm.clone(), call)) else { return };
        if let Ok(version) = &result {
            self.accepted_at.push((self.now, *version));
            let first = self.accepted_bases.entry(change.base_version);
            let first = first.or_insert_with(|| change.change_id.clone());
            if *first != change.change_id {
                let text = format!(
                    "changes {first} and {} were both accepted on base version {}",
                    change.change_id, change.base_version
                );
                self.record.violations.push(text);
            }
        }
        let is_unanswered = result.as_ref().is_err_and(|it| it.kind == ErrorKind::NoLeader);
        self.record.note_change(&change.change_id, result);
        if is_unanswered || self.rng.random_bool(0.3) {
            let delay_ms = self.rng.random_range(10..4_000);
            self.at(delay_ms, WorldEvent::Resend(change));
        }
    }

    fn take_event(&mut self, event: WorldEvent) {
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

    fn arrive(
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

    fn take_report(&mut self, endpoint: EndpointName, report: EndpointReport) {
        let (vm, incarnation) = &report.entry;
        if self.frozen.contains(vm) {
            self.at(100, WorldEvent::Report { endpoint, report });
            return;
        }
        let vm = vm.clone();
        let clock = self.clock_of(&vm);
        let Some(entry) = self.entries.get_mut(&vm) else { return };
        if entry.incarnation == *incarnation {
            entry.dispatcher.finish_task(report.task, &endpoint, report.report, 50.0, clock);
            self.drain_entry(&vm);
        }
    }

    fn end_tasks(&mut self) {
        let now = self.now;
        for name in self.endpoints.keys().cloned().collect::<Vec<_>>() {
            let Some(endpoint) = self.endpoints.get_mut(&name) else { continue };
            for report in endpoint.take_ended(now) {
                let delay_ms = self.rng.random_range(0..30);
                self.at(delay_ms, WorldEvent::Report { endpoint: name.clone(), report });
            }
        }
    }

    fn announce_endpoints(&mut self) {
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

    fn next_arrival(&mut self) {
        let mean_ms = self.settings.arrival_mean_ms;
        let wait_ms = self.rng.random_range(1..=2 * mean_ms);
        if self.quiet_from.plus_ms(QUIET_MS / 4) <= self.now {
            return;
        }
        self.at(wait_ms, WorldEvent::Arrival);
        let centres = self.layout.centres();
        let Some(home) = centres.choose(&mut self.rng) else { return };
        let key = JobKey::mint(home, self.now, &self.rng.random());
        let n_tasks = self.rng.random_range(1..=6);
        let repeat_rule =
            if self.rng.random_bool(0.2) { RepeatRule::Idempotent } else { RepeatRule::AtMostOnce };
        let submit = |entry| WorldEvent::Submit { key: key.clone(), n_tasks, repeat_rule, entry };
        self.at(0, submit(None));
        // Callers that believe a job lost send it again, at once or later.
        while self.rng.random_bool(0.4) {
            let longest_ms = if self.rng.random_bool(0.5) { 50 } else { 8_000 };
            let delay_ms = self.rng.random_range(0..longest_ms);
            self.at(delay_ms, submit(None));
        }
        if self.rng.random_bool(0.05) {
            let delay_ms = self.rng.random_range(0..400);
            self.at(delay_ms, WorldEvent::Cancel { key });
        }
    }

    fn submit(
        &mut self,
        key: JobKey,
        n_tasks: u32,
        repeat_rule: RepeatRule,
        entry: Option<VmName>,
    ) {
        let vms: Vec<VmName> = self.entries.keys().cloned().collect();
        let Some(vm) = entry.or_else(|| vms.choose(&mut self.rng).cloned()) else { return };
        if self.frozen.contains(&vm) {
            // The bytes wait in the frozen process's socket.
            let entry = Some(vm);
            self.at(200, WorldEvent::Submit { key, n_tasks, repeat_rule, entry });
            return;
        }
        let clock = self.clock_of(&vm);
        let Some(entry) = self.entries.get_mut(&vm) else { return };
        self.next_submission += 1;
        let number = self.next_submission;
        let record = CallerRecord {
            key: key.clone(),
            n_tasks,
            sent_at: self.now,
            entry: (vm.clone(), entry.incarnation),
            answer: None,
        };
        self.record.submissions.insert(number, record);
        let deadline = clock.plus_ms(self.rng.random_range(500..6_000));
        let nonce = self.rng.random();
        entry.submit(CallerJob { number, key, n_tasks, deadline, repeat_rule, nonce }, clock);
        self.drain_entry(&vm);
    }

    fn next_change(&mut self) {
        if self.quiet_from.plus_ms(QUIET_MS / 4) <= self.now {
            return;
        }
        let wait_ms = self.rng.random_range(100..2_000);
        self.at(wait_ms, WorldEvent::Change);
        let newest = self.controls.values().map(|it| it.node.state().image().version).max();
        let base_version = newest.unwrap_or_default();
        // Two operators often race from one base version.
        let n_rivals = if self.rng.random_bool(0.4) { 2 } else { 1 };
        for _ in 0..n_rivals {
            self.next_change += 1;
            let quota = 1_000 + self.next_change;
            let text = format!(
                "[template.t.kinds.task]\nexpected_ms = 50\n\
                 [workspace.work]\ntemplate = \"t\"\nquota_slots = {quota}\n"
            );
            let change_id = format!("change-{}", self.next_change);
            let action = ChangeAction::Publish(text);
            self.send_change(ConfigChange { change_id, base_version, action });
        }
    }

    fn send_change(&mut self, change: ConfigChange) {
        let vms: Vec<VmName> = self.controls.keys().cloned().collect();
        let Some(vm) = vms.choose(&mut self.rng).cloned() else { return };
        if self.frozen.contains(&vm) {
            return;
        }
        let clock = self.clock_of(&vm);
        self.next_call += 1;
        let call = CallNumber(self.next_call);
        self.changes.insert((vm.clone(), call), change.clone());
        if let Some(control) = self.controls.get_mut(&vm) {
            control.node.change(call, change, 3_000, clock);
        }
        self.drain_control(&vm);
    }

    fn start_entry(&mut self, vm: &VmName) {
        if self.entries.contains_key(vm) {
            return;
        }
        let clock = self.clock_of(vm);
        let limits = LedgerLimits::default();
        let entry = FakeEntry::new(vm, &self.layout, limits, PolicySettings::default(), clock);
        self.entries.insert(vm.clone(), entry);
        self.started_at.insert(vm.clone(), self.now);
    }

    fn start_control(&mut self, vm: &VmName) {
        if self.controls.contains_key(vm) {
            return;
        }
        let clock = self.clock_of(vm);
        let Some(disk) = self.disks.get(vm) else { return };
        let control = FakeControl::new(vm, &self.layout, disk, clock);
        self.controls.insert(vm.clone(), control);
        self.started_at.insert(vm.clone(), self.now);
    }

    fn kill_entry(&mut self, vm: &VmName) {
        self.entries.swap_remove(vm);
        self.frozen.swap_remove(vm);
        self.frozen_inbox.swap_remove(vm);
        self.stopping.swap_remove(vm);
    }

    fn restart_entry_later(&mut self, vm: &VmName, longest_ms: u64) {
        self.kill_entry(vm);
        let delay_ms = self.rng.random_range(50..longest_ms);
        self.at(delay_ms, WorldEvent::StartEntry(vm.clone()));
    }

    fn thaw(&mut self, vm: &VmName) {
        if self.frozen.swap_remove(vm) {
            for message in self.frozen_inbox.swap_remove(vm).unwrap_or_default() {
                self.deliver(message);
            }
            self.whole_since = self.now;
        }
    }

    /// Ends an entry that was told to stop, once it has answered everything.
    fn end_stop(&mut self, vm: &VmName) {
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

    fn random_entry(&mut self) -> Option<VmName> {
        let vms: Vec<VmName> = self.entries.keys().cloned().collect();
        vms.choose(&mut self.rng).cloned()
    }

    fn random_control(&mut self) -> Option<VmName> {
        let vms: Vec<VmName> = self.controls.keys().cloned().collect();
        vms.choose(&mut self.rng).cloned()
    }

    fn next_fault(&mut self) {
        if self.quiet_from <= self.now {
            return;
        }
        let wait_ms = self.plan.next_ms(&mut self.rng);
        self.at(wait_ms, WorldEvent::Fault);
        let Some(kind) = self.plan.draw(&mut self.rng) else { return };
        if self.break_something(kind).is_some() {
            *self.faults.entry(kind).or_default() += 1;
        }
    }

    /// Does what a fault says; nothing when there is nothing left to break.
    fn break_something(&mut self, kind: FaultKind) -> Option<()> {
        match kind {
            FaultKind::KillEntry => {
                let vm = self.random_entry()?;
                self.restart_entry_later(&vm, 6_000);
            }
            FaultKind::KillSecondAfterRepair => {
                let vm = self.random_entry()?;
                let centre = self.layout.vm(&vm)?.centre.clone();
                let others = self.layout.ledger_vms(&centre);
                let second = others.iter().find(|it| **it != vm)?.clone();
                self.kill_entry(&vm);
                let repaired_ms = self.rng.random_range(100..1_500);
                self.at(repaired_ms, WorldEvent::StartEntry(vm));
                let second_ms = repaired_ms + self.rng.random_range(0..800);
                self.at(second_ms, WorldEvent::KillEntry(second.clone()));
                self.at(second_ms + 2_000, WorldEvent::StartEntry(second));
            }
            FaultKind::KillCentre | FaultKind::KillLedgerMajority => {
                let centres = self.layout.centres();
                let centre = centres.choose(&mut self.rng)?.clone();
                let mut vms = match kind {
                    FaultKind::KillCentre => self.layout.entries_in(&centre),
                    _ => self.layout.ledger_vms(&centre),
                };
                if kind == FaultKind::KillLedgerMajority {
                    vms.truncate(vms.len() / 2 + 1);
                }
                for vm in vms {
                    self.restart_entry_later(&vm, 3_000);
                }
            }
            FaultKind::FreezeEntry => {
                let vm = self.random_entry()?;
                self.freeze(vm, 9_000);
            }
            FaultKind::StopEntry => {
                let vm = self.random_entry()?;
                if self.frozen.contains(&vm) || self.stopping.contains_key(&vm) {
                    return None;
                }
                let clock = self.clock_of(&vm);
                self.entries.get_mut(&vm)?.node.stop(clock);
                self.drain_entry(&vm);
                self.stopping.insert(vm, self.now);
            }
            FaultKind::KillControl => {
                let vm = self.random_control()?;
                self.kill_control(&vm)?;
            }
            FaultKind::EmptyControlDisk => {
                // One disk at a time: with a majority of them the state is gone.
                let n_controls = self.layout.with_role(VmRole::Control).len();
                let ids: Vec<&ReplicaId> =
                    self.controls.values().map(|it| it.node.node().id()).collect();
                let knows_all =
                    |it: &FakeControl| ids.iter().all(|id| it.node.node().voters().contains(*id));
                let is_whole = ids.len() == n_controls && self.controls.values().all(knows_all);
                if !is_whole || !self.frozen.is_empty() {
                    return None;
                }
                let vm = self.random_control()?;
                self.kill_control(&vm)?;
                self.disks.insert(vm, FakeDisk::default());
            }
            FaultKind::FreezeControl => {
                let vm = self.random_control()?;
                self.freeze(vm, 12_000);
            }
            FaultKind::CutCentre | FaultKind::CutCentreOneWay => {
                let centres = self.layout.centres();
                let centre = centres.choose(&mut self.rng)?.clone();
                self.cut_centre(&centre, kind == FaultKind::CutCentre);
                self.heal_later(9_000);
            }
            FaultKind::CutPair => {
                let vms: Vec<VmName> = self.layout.vms().iter().map(|it| it.name.clone()).collect();
                let lhs = vms.choose(&mut self.rng)?;
                let rhs = vms.choose(&mut self.rng)?;
                self.bag.cut(lhs, rhs);
                self.bag.cut(rhs, lhs);
                self.heal_later(5_000);
            }
            FaultKind::KillEndpoint
            | FaultKind::FailEndpoint
            | FaultKind::StallEndpoint
            | FaultKind::RefuseEndpoint
            | FaultKind::LeaveEndpoint => self.break_endpoint(kind)?,
            FaultKind::CancelWave => {
                let open = self.record.submissions.values().filter(|it| it.answer.is_none());
                let keys: Vec<JobKey> = open.map(|it| it.key.clone()).collect();
                for key in keys {
                    if self.rng.random_bool(0.5) {
                        self.at(0, WorldEvent::Cancel { key });
                    }
                }
            }
        }
        Some(())
    }

    fn freeze(&mut self, vm: VmName, longest_ms: u64) {
        let span_ms = self.rng.random_range(200..longest_ms);
        self.frozen.insert(vm.clone());
        self.at(span_ms, WorldEvent::Thaw(vm));
    }

    fn kill_control(&mut self, vm: &VmName) -> Option<()> {
        let clock = self.clock_of(vm);
        let control = self.controls.swap_remove(vm)?;
        control.die_before_sync(clock);
        self.frozen.swap_remove(vm);
        self.frozen_inbox.swap_remove(vm);
        let lost: Vec<_> = self.changes.keys().filter(|(it, _)| it == vm).cloned().collect();
        for call in lost {
            // The operator has no answer and sends the change again.
            let change = self.changes.swap_remove(&call)?;
            let delay_ms = self.rng.random_range(100..4_000);
            self.at(delay_ms, WorldEvent::Resend(change));
        }
        let delay_ms = self.rng.random_range(50..5_000);
        self.at(delay_ms, WorldEvent::StartControl(vm.clone()));
        Some(())
    }

    fn cut_centre(&mut self, centre: &DataCentre, both_ways: bool) {
        let vms = self.layout.vms().to_vec();
        for inner in vms.iter().filter(|it| it.centre == *centre) {
            for outer in vms.iter().filter(|it| it.centre != *centre) {
                self.bag.cut(&inner.name, &outer.name);
                if both_ways {
                    self.bag.cut(&outer.name, &inner.name);
                }
            }
        }
    }

    fn heal_later(&mut self, longest_ms: u64) {
        self.whole_since = ClockTime(u64::MAX);
        let span_ms = self.rng.random_range(200..longest_ms);
        self.at(span_ms, WorldEvent::Heal);
    }

    fn break_endpoint(&mut self, kind: FaultKind) -> Option<()> {
        let names: Vec<EndpointName> = self.endpoints.keys().cloned().collect();
        let name = names.choose(&mut self.rng)?.clone();
        let span_ms = self.rng.random_range(500..6_000);
        let now = self.now;
        let endpoint = self.endpoints.get_mut(&name)?;
        if endpoint.fault != EndpointFault::None || endpoint.record.leaving {
            return None;
        }
        match kind {
            FaultKind::KillEndpoint => {
                let reports = endpoint.die();
                self.at(span_ms, WorldEvent::RestartEndpoint(name.clone()));
                for report in reports {
                    self.at(5, WorldEvent::Report { endpoint: name.clone(), report });
                }
            }
            FaultKind::LeaveEndpoint => {
                endpoint.record.leaving = true;
                endpoint.leaving_since = Some(now);
                self.at(8_000 + span_ms, WorldEvent::RestartEndpoint(name.clone()));
            }
            FaultKind::FailEndpoint => endpoint.fault = EndpointFault::FailAll,
            FaultKind::StallEndpoint => endpoint.fault = EndpointFault::Stall,
            _ => endpoint.fault = EndpointFault::Refuse,
        }
        if matches!(
            kind,
            FaultKind::FailEndpoint | FaultKind::StallEndpoint | FaultKind::RefuseEndpoint
        ) {
            self.at(span_ms, WorldEvent::MendEndpoint(name));
        }
        Some(())
    }

    fn mend_endpoint(&mut self, name: &EndpointName) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if endpoint.fault != EndpointFault::Down {
            endpoint.fault = EndpointFault::None;
        }
        for running in endpoint.running.values_mut() {
            running.ends_at.get_or_insert(now);
        }
    }

    /// Ends all faults.
    fn mend_all(&mut self) {
        self.bag.heal();
        let faults = BagFaults { drop: 0.0, repeat: 0.0, max_delay_ms: 5 };
        self.bag.set_faults(faults);
        self.whole_since = self.now;
        for vm in self.frozen.clone() {
            self.thaw(&vm);
        }
        for name in self.endpoints.keys().cloned().collect::<Vec<_>>() {
            self.mend_endpoint(&name);
        }
    }

    /// Every VM that could hear of it has a configuration some time after its acceptance.
    fn check_config(&mut self) {
        let is_whole = self.frozen.is_empty() && self.whole_since <= self.now;
        if !is_whole || self.now.since_ms(self.whole_since) < IN_FORCE_MS {
            return;
        }
        let due = self.now.minus_ms(IN_FORCE_MS);
        let accepted = self.accepted_at.iter().filter(|(at, _)| *at <= due);
        let Some(required) = accepted.map(|(_, version)| *version).max() else { return };
        for (vm, entry) in &self.entries {
            let is_old = self.started_at.get(vm).is_some_and(|it| *it <= due);
            if is_old && entry.node.config_version() < required {
                let version = entry.node.config_version();
                let text = format!("{vm} has version {version}, {required} was due");
                self.record.violations.push(text);
            }
        }
    }

    fn check_end(&mut self) {
        for (number, record) in &self.record.submissions {
            let (vm, incarnation) = &record.entry;
            let is_alive = self.entries.get(vm).is_some_and(|it| it.incarnation == *incarnation);
            if is_alive && record.answer.is_none() {
                let text = format!("submission {number} of {} has no answer", record.key);
                self.record.violations.push(text);
            }
        }
        self.check_changes();
        self.check_groups();
        self.record.check_end();
    }

    /// No accepted change is gone from any control VM.
    fn check_changes(&mut self) {
        let newest = self.record.accepted.values().copied().max().unwrap_or_default();
        for (vm, control) in &self.controls {
            let state = control.node.state();
            if state.image().version < newest {
                let text = format!("{vm} ended at version {}, not {newest}", state.image().version);
                self.record.violations.push(text);
            }
            for (change_id, version) in &self.record.accepted {
                let kept = state.history().iter().find(|it| it.version == *version);
                if kept.is_none_or(|it| it.change_id != *change_id) {
                    let text = format!("{vm} lost change {change_id}, accepted as {version}");
                    self.record.violations.push(text);
                }
            }
        }
    }

    /// Every ledger serves again, with no job left running.
    fn check_groups(&mut self) {
        for (vm, entry) in &self.entries {
            for (group, ledger) in entry.node.ledgers() {
                let clock = self.now.plus_ms(self.skew_ms.get(vm).copied().unwrap_or_default());
                if !ledger.is_serving(clock) {
                    let node = ledger.node();
                    let text = format!(
                        "the replica of {group} on {vm} does not serve at the end: {} {:?} of {:?}, \
                         term {}, commit {}, voters {:?}",
                        node.id(),
                        node.role(),
                        node.generation(),
                        node.term(),
                        node.commit_index(),
                        node.voters().iter().map(ToString::to_string).collect::<Vec<_>>(),
                    );
                    self.record.violations.push(text);
                }
                let owners = ledger.ledger().running_owners();
                if !owners.is_empty() {
                    let running = ledger.ledger().records().filter(|(_, it)| {
                        matches!(it.state, yuccamux::job_ledger::JobState::Running)
                    });
                    let keys: Vec<&JobKey> = running.map(|(key, _)| key).collect();
                    let text = format!("jobs {keys:?} of {owners:?} run in {group} at the end");
                    self.record.violations.push(text);
                }
            }
        }
    }
}
