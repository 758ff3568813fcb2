//! Slopes of the decisions: time, bytes and memory at growing sizes, for docs/CAPACITY.md.
//!
//! Each line is a measure at one size; each fit is the least squares line through the
//! sizes of a measure.

use std::{fs, time::Instant};

use yuccamux::{
    config_state::{ChangeAction, ConfigChange, ConfigCommand, ConfigState},
    endpoint_table::EndpointRecord,
    entry_node::{EntryEffect, EntryNode, EntrySettings},
    job_dispatcher::{DispatchEffect, JobDispatcher},
    job_ledger::{
        JobClaim, JobLedger, JobOutcome, LedgerCommand, LedgerEntry, LedgerLimits, OwnerId,
    },
    job_run::{JobSpec, RepeatRule, TaskReport, TaskSpec},
    policy_settings::PolicySettings,
    prelude::*,
    workspace_template,
};
use yuccamux_testutils::system_world::world_layout;

const NOW: ClockTime = ClockTime(1_700_000_000_000);

/// A measure at several sizes.
struct Slope {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Slope {
    fn new(name: &'static str, unit: &'static str) -> Slope {
        Slope { name, unit, points: Vec::new() }
    }

    fn take(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Prints the points and the line through them.
    fn print(&self) {
        let n_points = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / n_points;
        let (mean_x, mean_y) = (mean(|it| it.0), mean(|it| it.1));
        let spread: f64 = self.points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
        let slope: f64 =
            self.points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum::<f64>() / spread;
        let points: Vec<String> =
            self.points.iter().map(|it| format!("{}: {:.2}", it.0, it.1)).collect();
        println!(
            "{:<44} {:<8} {:<64} fit {:.4} + {:.6} each",
            self.name,
            self.unit,
            points.join(", "),
            mean_y - slope * mean_x,
            slope
        );
    }
}

fn main() {
    ledger_slopes();
    config_change_slopes();
    workspace_slopes();
    endpoint_slopes();
    dispatch_slopes();
}

/// Resident memory of this process, in KB.
fn resident_kb() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
}

fn job_key(number: usize) -> JobKey {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    JobKey::mint(&DataCentre::from("munich"), NOW, &random)
}

/// A job of 20 tasks with outputs of about 100 bytes each.
fn outcome() -> JobOutcome {
    JobOutcome::Complete(vec![b'x'; 2_000])
}

fn ledger_slopes() {
    let mut time = Slope::new("ledger: claim and settle of all jobs", "ms");
    let mut memory = Slope::new("ledger: memory of all jobs", "MB");
    let mut snapshot_time = Slope::new("ledger: snapshot encode", "ms");
    let mut snapshot_size = Slope::new("ledger: snapshot", "MB");
    for n_jobs in [10_000, 50_000, 150_000] {
        let before_kb = resident_kb();
        let mut ledger = JobLedger::new(LedgerLimits::default(), ClockTime::default());
        let started = Instant::now();
        for number in 0..n_jobs {
            let claim = JobClaim {
                key: job_key(number),
                digest: [0; 16],
                owner: OwnerId { vm: VmName::from("entry-1"), incarnation: 1 },
                nonce: number as u64,
            };
            let commands =
                [LedgerCommand::Claim(claim.clone()), LedgerCommand::Settle(claim, outcome())];
            for command in commands {
                // Encoding and decoding are part of what a replica does.
                let bytes = postcard::to_stdvec(&LedgerEntry { at: NOW, command });
                let entry: LedgerEntry =
                    postcard::from_bytes(&bytes.unwrap_or_default()).expect("what was encoded");
                ledger.apply(entry);
            }
            ledger.drain_settled();
        }
        time.take(n_jobs, started.elapsed().as_secs_f64() * 1000.0);
        memory.take(n_jobs, (resident_kb() - before_kb) / 1024.0);
        let ledger = std::mem::ManuallyDrop::new(ledger);
        let started = Instant::now();
        let bytes = ledger.encode();
        snapshot_time.take(n_jobs, started.elapsed().as_secs_f64() * 1000.0);
        snapshot_size.take(n_jobs, bytes.len() as f64 / 1e6);
    }
    [time, memory, snapshot_time, snapshot_size].iter().for_each(Slope::print);
}

fn workspace_text(number: usize, quota: usize) -> String {
    format!(
        "[workspace.team-{number}]\ntemplate = \"t\"\nquota_slots = {quota}\n\
         parameters = {{ fast_ms = 50, slow_ms = 900 }}\n"
    )
}

const TEMPLATE: &str = "[template.t.parameters]\nfast_ms = 60\nslow_ms = 800\n\
    [template.t.kinds.fast]\nurgency = \"high\"\nexpected_ms = \"${fast_ms}\"\n\
    [template.t.kinds.usual]\nexpected_ms = 200\n\
    [template.t.kinds.slow]\nurgency = \"low\"\nexpected_ms = \"${slow_ms}\"\n";

fn publish(state: &mut ConfigState, number: usize, text: String) -> usize {
    let change = ConfigChange {
        change_id: format!("change-{number:016}"),
        base_version: state.image().version,
        action: ChangeAction::Publish(text),
    };
    let command = ConfigCommand::Change(change, NOW);
    let n_bytes = postcard::to_stdvec(&command).unwrap_or_default().len();
    state.apply(command);
    n_bytes
}

/// A configuration with this many workspaces.
fn configured(n_workspaces: usize) -> ConfigState {
    let mut state = ConfigState::default();
    publish(&mut state, 0, TEMPLATE.to_owned());
    let text: String = (0..n_workspaces).map(|it| workspace_text(it, 100_000)).collect();
    publish(&mut state, 1, text);
    state
}

fn config_change_slopes() {
    let mut time = Slope::new("configuration: apply all changes (180 workspaces)", "ms");
    let mut memory = Slope::new("configuration: memory of all changes", "MB");
    let mut snapshot = Slope::new("configuration: snapshot", "MB");
    let mut restore = Slope::new("configuration: snapshot decode", "ms");
    for n_changes in [100, 1_000, 10_000] {
        let before_kb = resident_kb();
        let mut state = configured(180);
        let started = Instant::now();
        for number in 0..n_changes {
            publish(&mut state, 2 + number, workspace_text(number % 180, 100 + number));
        }
        time.take(n_changes, started.elapsed().as_secs_f64() * 1000.0);
        memory.take(n_changes, (resident_kb() - before_kb) / 1024.0);
        let state = std::mem::ManuallyDrop::new(state);
        let bytes = state.encode();
        snapshot.take(n_changes, bytes.len() as f64 / 1e6);
        let started = Instant::now();
        let decoded = ConfigState::decode(&bytes);
        restore.take(n_changes, started.elapsed().as_secs_f64() * 1000.0);
        assert!(decoded.is_ok_and(|it| it == *state), "a snapshot decodes to its state");
    }
    [time, memory, snapshot, restore].iter().for_each(Slope::print);
}

fn workspace_slopes() {
    let mut resolve = Slope::new("workspaces: resolve on an entry", "ms");
    let mut whole = Slope::new("workspaces: whole configuration", "KB");
    let mut push = Slope::new("workspaces: push of one change", "KB");
    for n_workspaces in [20, 60, 180] {
        let state = configured(n_workspaces);
        let started = Instant::now();
        for _ in 0..20 {
            assert!(workspace_template::resolve(state.image()).is_ok(), "it was accepted");
        }
        resolve.take(n_workspaces, started.elapsed().as_secs_f64() * 1000.0 / 20.0);
        let size = |image| postcard::to_stdvec(&image).unwrap_or_default().len() as f64 / 1024.0;
        whole.take(n_workspaces, size(state.image().since(0)));
        let mut changed = state.clone();
        publish(&mut changed, 9, workspace_text(3, 7));
        push.take(n_workspaces, size(changed.image().since(state.image().version)));
    }
    [resolve, whole, push].iter().for_each(Slope::print);
}

fn endpoint_record(number: usize) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName(format!("endpoint-{number}")),
        address: format!("10.0.{}.{}:9000", number / 250, number % 250),
        incarnation: 1,
        slots: 8,
        connections: 60,
        kinds: Vec::new(),
        worker: format!("worker-{number}"),
        rack: format!("rack-{}", number / 8),
        processors: 16,
        memory_mb: 65_536,
        leaving: false,
    }
}

/// An entry with endpoints that announce themselves to it, over 20 s of virtual time.
fn endpoint_slopes() {
    let mut time = Slope::new("endpoints: control time a second", "ms");
    let mut bytes = Slope::new("endpoints: news to one other entry a second", "KB");
    let mut memory = Slope::new("endpoints: memory", "MB");
    for n_endpoints in [50, 200, 1_000] {
        let before_kb = resident_kb();
        let settings = EntrySettings {
            owner: OwnerId { vm: VmName::from("entry-0-0"), incarnation: 1 },
            layout: world_layout(2),
            limits: LedgerLimits::default(),
            election_ms: 400,
            heartbeat_ms: 100,
            compact_entries: 20_000,
            seed: 1,
        };
        // Memory that is freed would be used again and not be seen.
        let mut node = std::mem::ManuallyDrop::new(EntryNode::new(settings, NOW));
        let records: Vec<EndpointRecord> = (0..n_endpoints).map(endpoint_record).collect();
        let n_seconds = 20;
        let mut n_bytes = 0;
        let mut spent = 0.0;
        for step in 0..n_seconds * 100 {
            let now = NOW.plus_ms(step * 10);
            // Announcements come evenly over the second.
            let due: Vec<EndpointRecord> = records
                .iter()
                .enumerate()
                .filter(|(idx, _)| (*idx as u64) % 100 == step % 100)
                .map(|(_, it)| it.clone())
                .collect();
            let started = Instant::now();
            for record in due {
                node.announce(record, now);
            }
            node.tick(now);
            let effects = node.drain_effects();
            spent += started.elapsed().as_secs_f64() * 1000.0;
            // The first seconds carry the whole announcements.
            let is_steady = 300 <= step;
            for effect in effects {
                if let EntryEffect::SendDatagram(vm, datagram) = effect
                    && vm.as_str() == "entry-0-1"
                    && is_steady
                {
                    n_bytes += postcard::to_stdvec(&datagram).unwrap_or_default().len() + 16 + 42;
                }
            }
        }
        time.take(n_endpoints, spent / n_seconds as f64);
        bytes.take(n_endpoints, n_bytes as f64 / 1024.0 / (n_seconds as f64 - 3.0));
        memory.take(n_endpoints, (resident_kb() - before_kb) / 1024.0);
    }
    [time, bytes, memory].iter().for_each(Slope::print);
}

/// Jobs of 20 tasks through one dispatcher with a growing number of endpoints.
fn dispatch_slopes() {
    let mut time = Slope::new("dispatch: time of a task, by endpoints", "us");
    for n_endpoints in [20, 50, 170] {
        let vm = VmName::from("entry-1");
        let mut dispatcher = JobDispatcher::new(vm.clone(), PolicySettings::default(), 1);
        let config = workspace_template::resolve(configured(10).image()).expect("it was accepted");
        dispatcher.apply_config(config, NOW);
        let mut table = yuccamux::endpoint_table::EndpointTable::new();
        (0..n_endpoints).for_each(|it| table.announce(endpoint_record(it), NOW));
        dispatcher.set_endpoints(table.endpoints(), &[vm], NOW);
        let n_jobs = 2_000;
        let started = Instant::now();
        let mut running = std::collections::VecDeque::new();
        for number in 0..n_jobs {
            let task = TaskSpec { kind: KindName::from("usual"), declared_ms: None };
            let spec = JobSpec {
                key: job_key(number),
                workspace: WorkspaceName::from("team-1"),
                tasks: vec![task; 20],
                deadline: NOW.plus_ms(60_000),
                repeat_rule: RepeatRule::AtMostOnce,
            };
            dispatcher.submit(spec, NOW);
            loop {
                for effect in dispatcher.drain_effects() {
                    if let DispatchEffect::Start { task, endpoint, .. } = effect {
                        running.push_back((task, endpoint));
                    }
                }
                // About two thirds of the slots stay in use.
                if running.len() * 3 <= n_endpoints * 16 && dispatcher.n_queued() == 0 {
                    break;
                }
                let Some((task, endpoint)) = running.pop_front() else { break };
                let report = TaskReport::Done(bytes::Bytes::from_static(b"1"));
                dispatcher.handle_task_report(task, &endpoint, report, 200.0, NOW);
            }
        }
        let n_tasks = (n_jobs * 20) as f64;
        time.take(n_endpoints, started.elapsed().as_secs_f64() * 1e6 / n_tasks);
    }
    time.print();
}
