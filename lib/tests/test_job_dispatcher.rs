//! Tests of the dispatcher with fake endpoints: starts, refusals, losses, cancels, leases.

use bytes::Bytes;
use indexmap::IndexMap;
use yuccamux::{
    config_state::{ChangeAction, ConfigChange, ConfigCommand, ConfigState},
    endpoint_table::{EndpointRecord, EndpointTable},
    job_dispatcher::{DispatchEffect, JobDispatcher, PeerLoad},
    job_run::{JobNumber, JobSpec, RepeatRule, TaskRef, TaskReport, TaskSpec},
    policy_settings::PolicySettings,
    prelude::*,
    slot_leases::LeaseMessage,
    workspace_template,
};

const START: ClockTime = ClockTime(1_000_000);

/// A dispatcher with its endpoints and the effects that it produced.
struct Harness {
    dispatcher: JobDispatcher,
    table: EndpointTable,
    members: Vec<VmName>,
    now: ClockTime,
    starts: Vec<(TaskRef, EndpointName)>,
    ends: IndexMap<JobNumber, Result<Vec<Bytes>, RequestError>>,
    cancels: Vec<(EndpointName, usize)>,
    leases: Vec<(VmName, LeaseMessage)>,
    next_key: u64,
}

impl Harness {
    fn new(endpoints: &[(&str, u32)]) -> Harness {
        let vm = VmName::from("entry-1");
        let mut harness = Harness {
            dispatcher: JobDispatcher::new(vm.clone(), PolicySettings::default(), 1),
            table: EndpointTable::new(),
            members: vec![vm],
            now: START,
            starts: Vec::new(),
            ends: IndexMap::new(),
            cancels: Vec::new(),
            leases: Vec::new(),
            next_key: 0,
        };
        harness.configure(
            "[template.t.kinds.k]\nexpected_ms = 100\n[workspace.w]\ntemplate = \"t\"\n",
        );
        for (name, slots) in endpoints {
            harness.announce(name, *slots, false);
        }
        harness
    }

    fn configure(&mut self, text: &str) {
        let mut state = ConfigState::default();
        let action = ChangeAction::Publish(text.to_owned());
        let change = ConfigChange { change_id: "a".to_owned(), base_version: 0, action };
        state.apply(ConfigCommand::Change(change, START));
        let config = workspace_template::resolve(state.image()).unwrap();
        self.dispatcher.apply_config(config, self.now);
    }

    fn announce(&mut self, name: &str, slots: u32, leaving: bool) {
        let record = EndpointRecord {
            name: EndpointName::from(name),
            address: name.to_owned(),
            incarnation: 1,
            slots,
            connections: 60,
            kinds: Vec::new(),
            worker: String::new(),
            rack: String::new(),
            processors: 1,
            memory_mb: 1,
            leaving,
        };
        self.table.announce(record, self.now);
        self.refresh();
    }

    fn refresh(&mut self) {
        let members = self.members.clone();
        self.dispatcher.set_endpoints(self.table.endpoints(), &members, self.now);
        self.drain();
    }

    fn submit(&mut self, n_tasks: usize, repeat_rule: RepeatRule) -> JobNumber {
        self.next_key += 1;
        let key = key_at(self.now, self.next_key);
        let task = TaskSpec { kind: KindName::from("k"), declared_ms: None };
        let spec = JobSpec {
            key,
            workspace: WorkspaceName::from("w"),
            tasks: vec![task; n_tasks],
            deadline: self.now.plus_ms(5_000),
            repeat_rule,
        };
        let number = self.dispatcher.submit(spec, self.now);
        self.drain();
        number
    }

    fn drain(&mut self) {
        for effect in self.dispatcher.drain_effects() {
            match effect {
                DispatchEffect::Start { task, endpoint, .. } => self.starts.push((task, endpoint)),
                DispatchEffect::Finish(number, result) => {
                    assert!(self.ends.insert(number, result).is_none(), "a job ended twice");
                }
                DispatchEffect::CancelTasks(endpoint, _, tasks) => {
                    self.cancels.push((endpoint, tasks.len()));
                }
                DispatchEffect::SendLease(vm, message) => self.leases.push((vm, message)),
            }
        }
    }

    fn report(&mut self, start: usize, report: TaskReport) {
        let (task, endpoint) = self.starts[start].clone();
        self.dispatcher.handle_task_report(task, &endpoint, report, 100.0, self.now);
        self.drain();
    }

    fn advance(&mut self, span_ms: u64) {
        self.now = self.now.plus_ms(span_ms);
        self.dispatcher.tick(self.now);
        self.drain();
    }

    fn error_of(&self, number: JobNumber) -> Option<ErrorKind> {
        self.ends.get(&number)?.as_ref().err().map(|it| it.kind)
    }
}

fn key_at(at: ClockTime, number: u64) -> JobKey {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    JobKey::mint(&DataCentre::from("munich"), at, &random)
}

fn done(text: &'static str) -> TaskReport {
    TaskReport::Done(Bytes::from_static(text.as_bytes()))
}

#[test]
fn outputs_come_in_task_order() {
    let mut harness = Harness::new(&[("e", 8)]);
    let job = harness.submit(3, RepeatRule::AtMostOnce);
    for (start, output) in [(2, "c"), (0, "a"), (1, "b")] {
        harness.report(start, done(output));
    }
    let outputs = harness.ends[&job].as_ref().unwrap();
    assert_eq!(outputs.concat(), b"abc");
}

#[test]
fn no_more_tasks_than_slots_are_started() {
    let mut harness = Harness::new(&[("e", 2)]);
    harness.submit(5, RepeatRule::AtMostOnce);
    assert_eq!(harness.starts.len(), 2);
    harness.report(0, done("1"));
    assert_eq!(harness.starts.len(), 3);
}

#[test]
fn task_is_requeued_on_proof_that_it_did_not_start() {
    let mut harness = Harness::new(&[("e", 1), ("f", 1)]);
    let job = harness.submit(1, RepeatRule::AtMostOnce);
    harness.report(0, TaskReport::Refused);
    harness.advance(10);
    assert_eq!(harness.starts.len(), 2);
    harness.report(1, TaskReport::NotWritten("refused".to_owned()));
    harness.advance(10);
    assert_eq!(harness.starts.len(), 3);
    harness.report(2, done("x"));
    assert!(harness.ends[&job].is_ok());
}

#[test]
fn loss_fails_an_at_most_once_job() {
    let mut harness = Harness::new(&[("e", 1), ("f", 1)]);
    let job = harness.submit(1, RepeatRule::AtMostOnce);
    harness.report(0, TaskReport::Lost("reset".to_owned()));
    harness.advance(100);
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.error_of(job), Some(ErrorKind::EndpointLost));
}

#[test]
fn loss_starts_an_idempotent_task_again() {
    let mut harness = Harness::new(&[("e", 1), ("f", 1)]);
    let job = harness.submit(1, RepeatRule::Idempotent);
    harness.report(0, TaskReport::Lost("reset".to_owned()));
    harness.advance(10);
    assert_eq!(harness.starts.len(), 2);
    harness.report(1, done("x"));
    assert!(harness.ends[&job].is_ok());
}

#[test]
fn failure_of_one_task_fails_the_job_without_outputs() {
    let mut harness = Harness::new(&[("e", 4)]);
    let job = harness.submit(3, RepeatRule::AtMostOnce);
    harness.report(0, done("a"));
    harness.report(1, TaskReport::Failed("no".to_owned()));
    assert_eq!(harness.error_of(job), Some(ErrorKind::TaskFailed));
    // The report of the task still in flight only frees its slot.
    harness.report(2, done("late"));
    assert_eq!(harness.dispatcher.n_in_flight(), 0);
}

#[test]
fn cancels_are_batched_into_one_message_per_endpoint() {
    let mut harness = Harness::new(&[("e", 4), ("f", 4)]);
    for _ in 0..4 {
        harness.submit(2, RepeatRule::AtMostOnce);
    }
    assert_eq!(harness.starts.len(), 8);
    for number in 1..=4 {
        harness.dispatcher.cancel(&key_at(START, number), harness.now);
    }
    harness.advance(10);
    assert_eq!(harness.cancels.len(), 2);
    assert_eq!(harness.cancels.iter().map(|it| it.1).sum::<usize>(), 8);
}

#[test]
fn cancel_before_any_start_is_not_run() {
    let mut harness = Harness::new(&[("e", 1)]);
    harness.submit(1, RepeatRule::AtMostOnce);
    let waiting = harness.submit(1, RepeatRule::AtMostOnce);
    harness.dispatcher.cancel(&key_at(START, 2), harness.now);
    harness.drain();
    assert_eq!(harness.error_of(waiting), Some(ErrorKind::CancelledBeforeStart));
}

#[test]
fn error_at_deadline_says_whether_a_task_started() {
    let mut harness = Harness::new(&[("e", 1)]);
    let running = harness.submit(2, RepeatRule::AtMostOnce);
    let waiting = harness.submit(1, RepeatRule::AtMostOnce);
    harness.advance(5_000);
    assert_eq!(harness.error_of(running), Some(ErrorKind::DeadlinePassed));
    assert_eq!(harness.error_of(waiting), Some(ErrorKind::DeadlineBeforeStart));
}

#[test]
fn leaving_or_expired_endpoints_get_no_tasks() {
    let mut harness = Harness::new(&[("e", 4)]);
    harness.announce("e", 4, true);
    harness.submit(1, RepeatRule::AtMostOnce);
    assert_eq!(harness.starts.len(), 0);
    harness.announce("f", 4, false);
    assert_eq!(harness.starts.len(), 1);
    harness.advance(3_100);
    harness.submit(1, RepeatRule::AtMostOnce);
    assert_eq!(harness.starts.len(), 1, "an announcement is valid for 3 s");
}

#[test]
fn paused_process_starts_nothing_on_endpoints_with_expired_announcements() {
    let mut harness = Harness::new(&[("e", 1)]);
    harness.submit(2, RepeatRule::AtMostOnce);
    // The process is paused for 8 s; the first event after it is the end of a task.
    harness.now = harness.now.plus_ms(8_000);
    harness.report(0, done("x"));
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn endpoint_that_fails_fast_causes_few_failures() {
    let mut harness = Harness::new(&[("good", 4), ("bad", 4)]);
    let mut n_failures = 0;
    for round in 0..200 {
        let first = harness.starts.len();
        for _ in 0..6 {
            harness.submit(1, RepeatRule::AtMostOnce);
        }
        for start in first..harness.starts.len() {
            if harness.starts[start].1.as_str() == "bad" {
                n_failures += 1;
                harness.report(start, TaskReport::Failed("always".to_owned()));
            } else {
                harness.report(start, done("x"));
            }
        }
        harness.advance(5);
        assert!(n_failures <= 10, "round {round}");
    }
    assert!(0 < n_failures, "no task was placed on the failing endpoint");
}

#[test]
fn stalled_endpoint_gets_no_more_tasks() {
    let mut harness = Harness::new(&[("e", 4), ("f", 4)]);
    harness.submit(1, RepeatRule::AtMostOnce);
    let stalled = harness.starts[0].1.clone();
    for _ in 0..20 {
        harness.advance(100);
        harness.announce("e", 4, false);
        harness.announce("f", 4, false);
    }
    for _ in 0..4 {
        harness.submit(1, RepeatRule::AtMostOnce);
    }
    assert!(harness.starts[1..].iter().all(|it| it.1 != stalled));
}

#[test]
fn kind_that_no_endpoint_serves_is_refused_at_once() {
    let harness = Harness::new(&[]);
    let kinds = [KindName::from("k")];
    let deadline = harness.now.plus_ms(1_000);
    let error = harness
        .dispatcher
        .admit(&WorkspaceName::from("w"), &kinds, deadline, harness.now)
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::NoEndpoint);
}

#[test]
fn job_that_cannot_end_in_time_is_refused() {
    let harness = Harness::new(&[("e", 1)]);
    let kinds = vec![KindName::from("k"); 50];
    let deadline = harness.now.plus_ms(1_000);
    let error = harness
        .dispatcher
        .admit(&WorkspaceName::from("w"), &kinds, deadline, harness.now)
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Overloaded);
}

#[test]
fn traces_record_placements_and_are_bounded() {
    let mut harness = Harness::new(&[("e", 300)]);
    harness.submit(1, RepeatRule::AtMostOnce);
    harness.report(0, done("x"));
    let trace = harness.dispatcher.trace(&key_at(START, 1)).unwrap();
    assert_eq!(trace.outcome, "complete");
    assert_eq!(trace.tasks[0].endpoint, Some(EndpointName::from("e")));
    for _ in 0..100 {
        let first = harness.starts.len();
        harness.submit(300, RepeatRule::AtMostOnce);
        (first..first + 300).for_each(|it| harness.report(it, done("x")));
    }
    assert!(harness.dispatcher.trace(&key_at(START, 1)).is_none());
    assert!(harness.dispatcher.trace(&key_at(START, 101)).is_some());
}

#[test]
fn free_slots_are_lent_on_request() {
    let mut lhs = Harness::new(&[("e", 8)]);
    let mut rhs = Harness::new(&[("e", 8)]);
    rhs.dispatcher = JobDispatcher::new(VmName::from("entry-2"), PolicySettings::default(), 2);
    rhs.configure("[template.t.kinds.k]\nexpected_ms = 100\n[workspace.w]\ntemplate = \"t\"\n");
    let members = vec![VmName::from("entry-1"), VmName::from("entry-2")];
    lhs.members = members.clone();
    rhs.members = members;
    lhs.refresh();
    rhs.refresh();
    lhs.submit(8, RepeatRule::AtMostOnce);
    rhs.submit(1, RepeatRule::AtMostOnce);
    assert_eq!((lhs.starts.len(), rhs.starts.len()), (4, 1));
    rhs.report(0, done("x"));
    let load = PeerLoad { n_free: 4, usage: Vec::new() };
    lhs.dispatcher.set_peer_load(&VmName::from("entry-2"), load);
    lhs.advance(200);
    let (_, request) = lhs.leases.pop().expect("the busy entry requests slots");
    rhs.dispatcher.handle_lease(&VmName::from("entry-1"), request, rhs.now);
    rhs.drain();
    let (_, loan) = rhs.leases.pop().expect("the idle entry lends");
    lhs.dispatcher.handle_lease(&VmName::from("entry-2"), loan, lhs.now);
    lhs.drain();
    assert_eq!(lhs.starts.len(), 7, "a quarter of the lender's share is not lent");
    for start in 0..7 {
        lhs.report(start, done("x"));
    }
    lhs.report(7, done("x"));
    lhs.advance(300);
    assert!(lhs.leases.iter().any(|(_, it)| matches!(it, LeaseMessage::Return(_))));
}
