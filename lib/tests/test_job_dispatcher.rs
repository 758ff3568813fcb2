//! The dispatcher against fake endpoints: starts, refusals, losses, cancels, leases.

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

/// A dispatcher with endpoints, and what it did.
struct Bench {
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

impl Bench {
    fn new(endpoints: &[(&str, u32)]) -> Bench {
        let vm = VmName::from("entry-1");
        let mut bench = Bench {
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
        bench.configure(
            "[template.t.kinds.k]\nexpected_ms = 100\n[workspace.w]\ntemplate = \"t\"\n",
        );
        for (name, slots) in endpoints {
            bench.announce(name, *slots, false);
        }
        bench
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

    fn pass(&mut self, span_ms: u64) {
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
    let mut bench = Bench::new(&[("e", 8)]);
    let job = bench.submit(3, RepeatRule::AtMostOnce);
    for (start, output) in [(2, "c"), (0, "a"), (1, "b")] {
        bench.report(start, done(output));
    }
    let outputs = bench.ends[&job].as_ref().unwrap();
    assert_eq!(outputs.concat(), b"abc");
}

#[test]
fn no_more_tasks_than_slots_are_handed_out() {
    let mut bench = Bench::new(&[("e", 2)]);
    bench.submit(5, RepeatRule::AtMostOnce);
    assert_eq!(bench.starts.len(), 2);
    bench.report(0, done("1"));
    assert_eq!(bench.starts.len(), 3);
}

#[test]
fn proof_of_no_start_sends_a_task_again_elsewhere() {
    let mut bench = Bench::new(&[("e", 1), ("f", 1)]);
    let job = bench.submit(1, RepeatRule::AtMostOnce);
    bench.report(0, TaskReport::Refused);
    bench.pass(10);
    assert_eq!(bench.starts.len(), 2);
    bench.report(1, TaskReport::NotWritten("refused".to_owned()));
    bench.pass(10);
    assert_eq!(bench.starts.len(), 3);
    bench.report(2, done("x"));
    assert!(bench.ends[&job].is_ok());
}

#[test]
fn loss_fails_a_job_that_may_start_once() {
    let mut bench = Bench::new(&[("e", 1), ("f", 1)]);
    let job = bench.submit(1, RepeatRule::AtMostOnce);
    bench.report(0, TaskReport::Lost("reset".to_owned()));
    bench.pass(100);
    assert_eq!(bench.starts.len(), 1);
    assert_eq!(bench.error_of(job), Some(ErrorKind::EndpointLost));
}

#[test]
fn loss_repeats_an_idempotent_task() {
    let mut bench = Bench::new(&[("e", 1), ("f", 1)]);
    let job = bench.submit(1, RepeatRule::Idempotent);
    bench.report(0, TaskReport::Lost("reset".to_owned()));
    bench.pass(10);
    assert_eq!(bench.starts.len(), 2);
    bench.report(1, done("x"));
    assert!(bench.ends[&job].is_ok());
}

#[test]
fn failure_of_one_task_fails_the_job_without_outputs() {
    let mut bench = Bench::new(&[("e", 4)]);
    let job = bench.submit(3, RepeatRule::AtMostOnce);
    bench.report(0, done("a"));
    bench.report(1, TaskReport::Failed("no".to_owned()));
    assert_eq!(bench.error_of(job), Some(ErrorKind::TaskFailed));
    // The end of the task that still ran only frees its slot.
    bench.report(2, done("late"));
    assert_eq!(bench.dispatcher.n_in_flight(), 0);
}

#[test]
fn cancelled_jobs_cost_one_message_for_each_endpoint() {
    let mut bench = Bench::new(&[("e", 4), ("f", 4)]);
    for _ in 0..4 {
        bench.submit(2, RepeatRule::AtMostOnce);
    }
    assert_eq!(bench.starts.len(), 8);
    for number in 1..=4 {
        bench.dispatcher.cancel(&key_at(START, number), bench.now);
    }
    bench.pass(10);
    assert_eq!(bench.cancels.len(), 2);
    assert_eq!(bench.cancels.iter().map(|it| it.1).sum::<usize>(), 8);
}

#[test]
fn cancel_before_any_start_is_not_run() {
    let mut bench = Bench::new(&[("e", 1)]);
    bench.submit(1, RepeatRule::AtMostOnce);
    let waiting = bench.submit(1, RepeatRule::AtMostOnce);
    bench.dispatcher.cancel(&key_at(START, 2), bench.now);
    bench.drain();
    assert_eq!(bench.error_of(waiting), Some(ErrorKind::CancelledBeforeStart));
}

#[test]
fn deadline_tells_whether_the_job_has_run() {
    let mut bench = Bench::new(&[("e", 1)]);
    let running = bench.submit(2, RepeatRule::AtMostOnce);
    let waiting = bench.submit(1, RepeatRule::AtMostOnce);
    bench.pass(5_000);
    assert_eq!(bench.error_of(running), Some(ErrorKind::DeadlinePassed));
    assert_eq!(bench.error_of(waiting), Some(ErrorKind::DeadlineBeforeStart));
}

#[test]
fn leaving_drained_or_stale_endpoints_get_nothing() {
    let mut bench = Bench::new(&[("e", 4)]);
    bench.announce("e", 4, true);
    bench.submit(1, RepeatRule::AtMostOnce);
    assert_eq!(bench.starts.len(), 0);
    bench.announce("f", 4, false);
    assert_eq!(bench.starts.len(), 1);
    bench.pass(3_100);
    bench.submit(1, RepeatRule::AtMostOnce);
    assert_eq!(bench.starts.len(), 1, "an announcement counts for 3 s");
}

#[test]
fn frozen_process_gives_nothing_to_endpoints_it_no_longer_hears() {
    let mut bench = Bench::new(&[("e", 1)]);
    bench.submit(2, RepeatRule::AtMostOnce);
    // The end of the first task is the first thing that it sees after eight seconds.
    bench.now = bench.now.plus_ms(8_000);
    bench.report(0, done("x"));
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn fast_failer_costs_few_failures() {
    let mut bench = Bench::new(&[("good", 4), ("bad", 4)]);
    let mut n_failures = 0;
    for round in 0..200 {
        let first = bench.starts.len();
        for _ in 0..6 {
            bench.submit(1, RepeatRule::AtMostOnce);
        }
        for start in first..bench.starts.len() {
            if bench.starts[start].1.as_str() == "bad" {
                n_failures += 1;
                bench.report(start, TaskReport::Failed("always".to_owned()));
            } else {
                bench.report(start, done("x"));
            }
        }
        bench.pass(5);
        assert!(n_failures <= 10, "round {round}");
    }
    assert!(0 < n_failures, "the failing endpoint was never met");
}

#[test]
fn stalled_endpoint_gets_nothing_more() {
    let mut bench = Bench::new(&[("e", 4), ("f", 4)]);
    bench.submit(1, RepeatRule::AtMostOnce);
    let stalled = bench.starts[0].1.clone();
    for _ in 0..20 {
        bench.pass(100);
        bench.announce("e", 4, false);
        bench.announce("f", 4, false);
    }
    for _ in 0..4 {
        bench.submit(1, RepeatRule::AtMostOnce);
    }
    assert!(bench.starts[1..].iter().all(|it| it.1 != stalled));
}

#[test]
fn kind_that_no_endpoint_serves_is_refused_at_once() {
    let bench = Bench::new(&[]);
    let kinds = [KindName::from("k")];
    let deadline = bench.now.plus_ms(1_000);
    let error =
        bench.dispatcher.admit(&WorkspaceName::from("w"), &kinds, deadline, bench.now).unwrap_err();
    assert_eq!(error.kind, ErrorKind::NoEndpoint);
}

#[test]
fn job_that_cannot_end_in_time_is_refused() {
    let bench = Bench::new(&[("e", 1)]);
    let kinds = vec![KindName::from("k"); 50];
    let deadline = bench.now.plus_ms(1_000);
    let error =
        bench.dispatcher.admit(&WorkspaceName::from("w"), &kinds, deadline, bench.now).unwrap_err();
    assert_eq!(error.kind, ErrorKind::Overloaded);
}

#[test]
fn trace_tells_where_tasks_went_and_is_bounded() {
    let mut bench = Bench::new(&[("e", 300)]);
    bench.submit(1, RepeatRule::AtMostOnce);
    bench.report(0, done("x"));
    let trace = bench.dispatcher.trace(&key_at(START, 1)).unwrap();
    assert_eq!(trace.outcome, "complete");
    assert_eq!(trace.tasks[0].endpoint, Some(EndpointName::from("e")));
    for _ in 0..100 {
        let first = bench.starts.len();
        bench.submit(300, RepeatRule::AtMostOnce);
        (first..first + 300).for_each(|it| bench.report(it, done("x")));
    }
    assert!(bench.dispatcher.trace(&key_at(START, 1)).is_none());
    assert!(bench.dispatcher.trace(&key_at(START, 101)).is_some());
}

#[test]
fn shares_add_up_and_free_slots_are_lent() {
    let mut lhs = Bench::new(&[("e", 8)]);
    let mut rhs = Bench::new(&[("e", 8)]);
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
    lhs.pass(200);
    let (_, ask) = lhs.leases.pop().expect("the busy entry asks");
    rhs.dispatcher.handle_lease(&VmName::from("entry-1"), ask, rhs.now);
    rhs.drain();
    let (_, loan) = rhs.leases.pop().expect("the idle entry lends");
    lhs.dispatcher.handle_lease(&VmName::from("entry-2"), loan, lhs.now);
    lhs.drain();
    assert_eq!(lhs.starts.len(), 7, "a quarter of the lender's share stays");
    for start in 0..7 {
        lhs.report(start, done("x"));
    }
    lhs.report(7, done("x"));
    lhs.pass(300);
    assert!(lhs.leases.iter().any(|(_, it)| matches!(it, LeaseMessage::Return(_))));
}
