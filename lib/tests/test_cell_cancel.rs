//! Jobs that are cancelled at another entry than the one that their callers are connected to.

use indexmap::IndexMap;
use yuccamux::{
    cell::{
        cell_message::{CellHeartbeat, CellMessage},
        cell_node::{CellNode, CellSettings, NodeEffect},
        job_offer::{JobCode, JobOffer, JobResult, JobStep, RefusalCause, ResourceAmount},
        node_cancels::CancelResult,
        run_bounds::RunBounds,
    },
    config_state::ControlGroup,
    entry_node::CallNumber,
    job_ledger::OwnerId,
    prelude::*,
    vm_layout::VmRole,
};

const START: ClockTime = ClockTime(5_000_000);
const CANCEL: CallNumber = CallNumber(77);

/// Entries that exchange messages and heartbeats, without endpoints.
struct Entries {
    nodes: IndexMap<VmName, CellNode>,
    now: ClockTime,
    /// Entries that stand still.
    frozen: Vec<VmName>,
    n_messages: usize,
    cancelled: Vec<(VmName, CancelResult)>,
    answers: Vec<(VmName, JobResult)>,
}

fn offer(code: u64) -> JobOffer {
    let step = JobStep {
        count: 1,
        demand: ResourceAmount { cpu: 1_000, mem_mb: 10, gpu: 0 },
        declared_ms: 9_000,
        after: Vec::new(),
        data_rack: None,
        label: None,
        max_on_endpoint: None,
    };
    JobOffer {
        job: JobCode(code),
        route: "route".to_owned(),
        service: "s".to_owned(),
        spec: String::new(),
        steps: vec![step],
        priority: 0,
        max_attempts: 2,
        stretch_milli: 1_600,
        slack_ms: 60,
        age_ms: 0,
        remaining_ms: 90_000,
        first_run: 0,
        number: 0,
        token: 0,
        is_repeat: false,
        may_move: false,
        centre: DataCentre::from("munich"),
        was_refused: false,
    }
}

impl Entries {
    fn new(names: &[String]) -> Entries {
        let mut entries = Entries {
            nodes: IndexMap::new(),
            now: START,
            frozen: Vec::new(),
            n_messages: 0,
            cancelled: Vec::new(),
            answers: Vec::new(),
        };
        for name in names {
            let vm = VmName(name.clone());
            let settings = CellSettings {
                owner: OwnerId { vm: vm.clone(), incarnation: 1 },
                centre: DataCentre::from("munich"),
                weight: 250,
                controls: Vec::new(),
                off_rack_milli: 2_000,
                bounds: RunBounds::default(),
            };
            entries.nodes.insert(vm, CellNode::new(settings, START));
        }
        let members: Vec<VmName> = entries.nodes.keys().cloned().collect();
        for node in entries.nodes.values_mut() {
            let heartbeat = CellHeartbeat {
                owner: OwnerId { vm: VmName::from("control"), incarnation: 1 },
                sent_at: START,
                role: VmRole::Control,
                centre: DataCentre::from("munich"),
                weight: 0,
                plan_version: 1,
                stopping: false,
                members: members.clone(),
                group: ControlGroup::default(),
                cells: Vec::new(),
            };
            node.handle_heartbeat(&VmName::from("control"), heartbeat, START);
        }
        entries.advance_ms(300);
        entries
    }

    fn named(names: &[&str]) -> Entries {
        Entries::new(&names.iter().map(|it| (*it).to_owned()).collect::<Vec<_>>())
    }

    fn with(&mut self, name: &str, act: impl FnOnce(&mut CellNode, ClockTime)) {
        if let Some(node) = self.nodes.get_mut(&VmName::from(name)) {
            act(node, self.now);
        }
    }

    fn submit(&mut self, name: &str, code: u64) {
        self.with(name, |node, now| node.submit(CallNumber(code), offer(code), now));
    }

    fn cancel(&mut self, name: &str, code: u64) {
        self.with(name, |node, now| node.cancel(CANCEL, JobCode(code), "route", now));
    }

    fn n_waiting(&self, name: &str) -> usize {
        self.nodes[&VmName::from(name)].n_waiting()
    }

    fn advance_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.now = self.now.plus_ms(10);
            let frozen = &self.frozen;
            for (_, node) in self.nodes.iter_mut().filter(|(vm, _)| !frozen.contains(vm)) {
                node.tick(self.now);
            }
            // Messages and their answers arrive within the step.
            for _ in 0..3 {
                self.deliver();
            }
        }
    }

    fn deliver(&mut self) {
        let (mut messages, mut heartbeats) = (Vec::new(), Vec::new());
        for (vm, node) in &mut self.nodes {
            for effect in node.drain_effects() {
                match effect {
                    NodeEffect::Send(to, message) => messages.push((vm.clone(), to, message)),
                    NodeEffect::Heartbeat(to, heartbeat) => {
                        heartbeats.extend(to.into_iter().map(|it| (it, heartbeat.clone())));
                    }
                    NodeEffect::CancelAnswer(_, result) => {
                        self.cancelled.push((vm.clone(), result));
                    }
                    NodeEffect::Answer(_, result) => self.answers.push((vm.clone(), result)),
                    _ => {}
                }
            }
        }
        for (from, to, message) in messages {
            let is_cancel =
                matches!(message, CellMessage::CancelJobs(_) | CellMessage::CancelAnswers(_));
            self.n_messages += usize::from(is_cancel);
            if let Some(node) = self.nodes.get_mut(&to).filter(|_| !self.frozen.contains(&to)) {
                node.handle_message(&from, message, self.now);
            }
        }
        for (to, heartbeat) in heartbeats {
            if let Some(node) = self.nodes.get_mut(&to).filter(|_| !self.frozen.contains(&to)) {
                let from = heartbeat.owner.vm.clone();
                node.handle_heartbeat(&from, heartbeat, self.now);
            }
        }
    }
}

/// Guards against a job that goes on although its cancelling was answered: the call reached another
/// entry than the job's caller.
#[test]
fn job_is_cancelled_at_another_entry() {
    let mut entries = Entries::named(&["a", "b", "c"]);
    entries.submit("a", 1);
    entries.cancel("b", 1);
    entries.advance_ms(100);
    assert_eq!(entries.cancelled, [(VmName::from("b"), CancelResult::Cancelled)]);
    assert_eq!(entries.answers, [(VmName::from("a"), JobResult::Failed)]);
    assert_eq!(entries.n_waiting("a"), 0);
}

#[test]
fn job_that_no_entry_holds_is_not_found() {
    let mut entries = Entries::named(&["a", "b", "c"]);
    entries.cancel("b", 1);
    assert_eq!(entries.cancelled, []);
    entries.advance_ms(100);
    assert_eq!(entries.cancelled, [(VmName::from("b"), CancelResult::NotFound)]);
}

/// Guards against the answer that no such job exists while an entry that may hold it stands still,
/// and against a job that goes on once that entry wakes.
#[test]
fn entry_that_stands_still_is_told_when_it_wakes() {
    let mut entries = Entries::named(&["a", "b", "c"]);
    entries.submit("a", 1);
    entries.frozen.push(VmName::from("a"));
    entries.cancel("b", 1);
    entries.advance_ms(1_200);
    assert_eq!(entries.cancelled, [(VmName::from("b"), CancelResult::Unknown)]);
    // It is lost by now, and may wake.
    entries.cancel("b", 1);
    entries.advance_ms(2_000);
    assert_eq!(entries.cancelled[1..], [(VmName::from("b"), CancelResult::Unknown)]);
    entries.frozen.clear();
    entries.advance_ms(250);
    assert_eq!(entries.n_waiting("a"), 0);
}

/// Guards against callers that never get an answer because a machine is lost for good.
#[test]
fn job_is_not_found_some_time_after_an_entry_was_lost() {
    let mut entries = Entries::named(&["a", "b", "c"]);
    entries.frozen.push(VmName::from("a"));
    entries.advance_ms(11_000);
    entries.cancel("b", 1);
    entries.advance_ms(100);
    assert_eq!(entries.cancelled, [(VmName::from("b"), CancelResult::NotFound)]);
}

/// Guards against calls that cost each entry of a large fleet a message each.
#[test]
fn many_calls_are_asked_in_batches() {
    let names: Vec<String> = (0..60).map(|it| format!("entry-{it}")).collect();
    let mut entries = Entries::new(&names);
    entries.advance_ms(300);
    entries.n_messages = 0;
    for round in 0..10 {
        for idx in 0..50 {
            entries.cancel("entry-0", 1_000 + round * 50 + idx);
        }
        entries.advance_ms(10);
    }
    entries.advance_ms(100);
    assert_eq!(entries.cancelled.len(), 500);
    // Three or four batches to 59 entries, and as many answers.
    assert!(entries.n_messages <= 4 * 59 * 2, "{} messages", entries.n_messages);
}

/// Guards against a call that cancels, or takes the answer of, another route's job with the same id.
#[test]
fn job_of_another_route_with_the_same_id_is_left_alone() {
    let mut entries = Entries::named(&["a", "b"]);
    entries.submit("a", 1);
    entries.with("b", |node, now| node.cancel(CANCEL, JobCode(1), "other", now));
    entries.advance_ms(100);
    assert_eq!(entries.cancelled, [(VmName::from("b"), CancelResult::NotFound)]);
    let other = JobOffer { route: "other".to_owned(), ..offer(1) };
    entries.with("a", |node, now| node.submit(CallNumber(2), other, now));
    entries.advance_ms(10);
    let refused = JobResult::Refused(RefusalCause::SameId, 1_000);
    assert_eq!(entries.answers, [(VmName::from("a"), refused)]);
    assert_eq!(entries.n_waiting("a"), 1);
}
