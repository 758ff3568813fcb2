//! Entries that exchange heartbeats: which of them claims a cell, and where jobs go.

use indexmap::IndexMap;
use yuccamux::{
    cell::{
        cell_leadership::{self, LeaderCandidate},
        cell_message::{CellHeartbeat, CellMessage, CellName, CellReport},
        cell_node::{CellNode, CellSettings, NodeEffect},
        endpoint_directory::EndpointRecord,
        endpoint_order::{OrderBody, OrderOutcome, RunLists},
        job_offer::{JobCode, JobOffer, JobResult, JobStep, ResourceAmount},
        route_plan::RoutePlan,
        run_bounds::RunBounds,
    },
    config_state::ControlGroup,
    entry_node::CallNumber,
    job_ledger::OwnerId,
    prelude::*,
    vm_layout::VmRole,
};

const START: ClockTime = ClockTime(5_000_000);

fn node(name: &str) -> (VmName, CellNode) {
    node_started_at(name, START)
}

fn node_started_at(name: &str, now: ClockTime) -> (VmName, CellNode) {
    let vm = VmName::from(name);
    let settings = CellSettings {
        owner: OwnerId { vm: vm.clone(), incarnation: now.0 },
        centre: DataCentre::from("munich"),
        weight: 250,
        controls: Vec::new(),
        off_rack_milli: 2_000,
        bounds: RunBounds::default(),
    };
    (vm, CellNode::new(settings, now))
}

fn record(rack: usize) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName(format!("endpoint-{rack}")),
        incarnation: 1,
        seq: 1,
        service: "s".to_owned(),
        address: format!("10.0.0.{rack}:1"),
        centre: DataCentre::from("munich"),
        rack: format!("r{rack}"),
        labels: Vec::new(),
        capacity: ResourceAmount { cpu: 16_000, mem_mb: 1_000, gpu: 0 },
        leaving: false,
    }
}

fn candidate<'a>(
    owner: &'a (VmName, DataCentre),
    cells: &[(&'a CellName, u64)],
    stopping: bool,
) -> LeaderCandidate<'a> {
    let (vm, centre) = owner;
    LeaderCandidate { vm, centre, weight: 250, stopping, cells: cells.to_vec() }
}

fn owner(name: &str) -> (VmName, DataCentre) {
    (VmName::from(name), DataCentre::from("munich"))
}

fn cell(rack: &str) -> CellName {
    let (service, rack) = ("s".to_owned(), rack.to_owned());
    CellName { service, centre: DataCentre::from("munich"), rack }
}

/// A heartbeat of a VM that leads no cell.
fn heartbeat_of(name: &str, role: VmRole, members: Vec<VmName>, now: ClockTime) -> CellHeartbeat {
    CellHeartbeat {
        owner: OwnerId { vm: VmName::from(name), incarnation: 1 },
        sent_at: now,
        role,
        centre: DataCentre::from("munich"),
        weight: if role == VmRole::Entry { 250 } else { 0 },
        plan_version: 1,
        stopping: false,
        members,
        group: ControlGroup::default(),
        cells: Vec::new(),
    }
}

/// Ticks the nodes and delivers the heartbeats that they send.
fn exchange(nodes: &mut IndexMap<VmName, CellNode>, now: ClockTime) {
    let mut heartbeats = Vec::new();
    for (vm, node) in nodes.iter_mut() {
        node.tick(now);
        for effect in node.drain_effects() {
            if let NodeEffect::Heartbeat(to, heartbeat) = effect {
                heartbeats.extend(to.into_iter().map(|it| (vm.clone(), it, heartbeat.clone())));
            }
        }
    }
    for (from, to, heartbeat) in heartbeats {
        if let Some(node) = nodes.get_mut(&to) {
            node.handle_heartbeat(&from, heartbeat, now);
        }
    }
}

#[test]
fn entries_that_start_together_claim_each_cell_once() {
    let mut nodes: IndexMap<VmName, CellNode> = ["a", "b", "c"].map(node).into_iter().collect();
    let control = VmName::from("control");
    let records: Vec<(EndpointRecord, bool)> = (0..6).map(|it| (record(it), false)).collect();
    let names: Vec<VmName> = nodes.keys().cloned().collect();
    for node in nodes.values_mut() {
        node.add_control_vms(names.clone());
        node.handle_message(&control, CellMessage::Endpoints(records.clone()), START);
    }
    let mut now = START;
    for _ in 0..30 {
        now = now.plus_ms(20);
        exchange(&mut nodes, now);
    }
    // All receive the routes at the same time, before any heartbeat reports them.
    for node in nodes.values_mut() {
        let plan = RoutePlan { version: 1, ..RoutePlan::default() };
        node.handle_message(&control, CellMessage::Plan(plan), now);
    }
    for node in nodes.values_mut() {
        node.tick(now.plus_ms(120));
    }
    let n_led: Vec<usize> = nodes.values().map(CellNode::n_led).collect();
    assert_eq!(n_led, [2, 2, 2]);
}

#[test]
fn added_entry_claims_no_cell_of_live_leaders() {
    let mut now = START.plus_ms(800);
    let (old, new) = (node("old"), node_started_at("new", now));
    let mut nodes: IndexMap<VmName, CellNode> = [old, new].into_iter().collect();
    let control = VmName::from("control");
    let records: Vec<(EndpointRecord, bool)> = (0..6).map(|it| (record(it), false)).collect();
    let members = nodes.keys().cloned().collect();
    let heartbeat = heartbeat_of("control", VmRole::Control, members, START);
    let plan = RoutePlan { version: 1, ..RoutePlan::default() };
    let inform = |node: &mut CellNode, now| {
        node.handle_heartbeat(&control, heartbeat.clone(), now);
        node.handle_message(&control, CellMessage::Plan(plan.clone()), now);
        node.handle_message(&control, CellMessage::Endpoints(records.clone()), now);
    };
    inform(&mut nodes["old"], START);
    for step in 1..40 {
        let now = START.plus_ms(step * 20);
        nodes["old"].handle_heartbeat(&control, heartbeat.clone(), now);
        nodes["old"].tick(now);
        nodes["old"].drain_effects();
    }
    assert_eq!(nodes["old"].n_led(), 6);

    inform(&mut nodes["new"], now);
    for _ in 0..60 {
        now = now.plus_ms(20);
        for node in nodes.values_mut() {
            node.handle_heartbeat(&control, heartbeat.clone(), now);
        }
        exchange(&mut nodes, now);
        assert_eq!((nodes["old"].n_led(), nodes["new"].n_led()), (6, 0));
    }
}

#[test]
fn entry_that_receives_heartbeats_late_claims_only_its_share() {
    let (_, mut node) = node("slow");
    let control = VmName::from("control");
    let records: Vec<(EndpointRecord, bool)> = (0..6).map(|it| (record(it), false)).collect();
    let mut now = START.plus_ms(20);
    let receive = |node: &mut CellNode, name: &str, role, now| {
        node.handle_heartbeat(&VmName::from(name), heartbeat_of(name, role, Vec::new(), now), now);
        node.tick(now);
    };
    // The process is short of processor time: the heartbeats of the entries are queued behind
    // other input.
    receive(&mut node, "control", VmRole::Control, now);
    now = now.plus_ms(370);
    receive(&mut node, "control-2", VmRole::Control, now);
    node.handle_message(&control, CellMessage::Endpoints(records), now);
    now = now.plus_ms(110);
    receive(&mut node, "control", VmRole::Control, now);
    node.handle_message(
        &control,
        CellMessage::Plan(RoutePlan { version: 1, ..RoutePlan::default() }),
        now,
    );
    now = now.plus_ms(110);
    for _ in 0..50 {
        for (name, role) in
            [("control", VmRole::Control), ("other", VmRole::Entry), ("third", VmRole::Entry)]
        {
            receive(&mut node, name, role, now);
        }
        assert!(node.n_led() <= 2, "it claims {} of 6 cells", node.n_led());
        now = now.plus_ms(20);
    }
    assert_eq!(node.n_led(), 2);
}

#[test]
fn endpoints_are_kept_while_no_control_vm_is_reachable() {
    let (_, mut node) = node("entry");
    let control = VmName::from("control");
    let records: Vec<(EndpointRecord, bool)> = (0..6).map(|it| (record(it), false)).collect();
    let receive = |node: &mut CellNode, name: &str, role, now: ClockTime| {
        node.handle_heartbeat(&VmName::from(name), heartbeat_of(name, role, Vec::new(), now), now);
    };
    receive(&mut node, "control", VmRole::Control, START);
    node.handle_message(&control, CellMessage::Endpoints(records), START);
    let mut now = START;
    for _ in 0..400 {
        now = now.plus_ms(100);
        receive(&mut node, "other", VmRole::Entry, now);
        node.tick(now);
    }
    assert_eq!(node.n_endpoints(), 6);
    // A reachable control VM that sends no updates for them lets them expire.
    for _ in 0..400 {
        now = now.plus_ms(100);
        receive(&mut node, "control", VmRole::Control, now);
        node.tick(now);
    }
    assert_eq!(node.n_endpoints(), 0);
}

#[test]
fn live_leader_keeps_its_cells() {
    let (a, b) = (owner("a"), owner("b"));
    let cells = [cell("r1"), cell("r2")];
    let candidates =
        [candidate(&a, &[(&cells[0], 5), (&cells[1], 6)], false), candidate(&b, &[], false)];
    assert_eq!(cell_leadership::assign_cells(cells.iter(), &candidates), []);
}

#[test]
fn cells_of_a_stopping_leader_are_distributed() {
    let (a, b, c) = (owner("a"), owner("b"), owner("c"));
    let cells = [cell("r1"), cell("r2")];
    let candidates = [
        candidate(&a, &[(&cells[0], 5), (&cells[1], 6)], true),
        candidate(&b, &[], false),
        candidate(&c, &[], false),
    ];
    let assigned = cell_leadership::assign_cells(cells.iter(), &candidates);
    let mut successors: Vec<&str> = assigned.iter().map(|(_, vm)| vm.as_str()).collect();
    successors.sort_unstable();
    assert_eq!(successors, ["b", "c"]);
}

#[test]
fn surplus_cell_is_handed_off_to_the_least_loaded_entry() {
    let (a, b) = (owner("a"), owner("b"));
    let cells = [cell("r1"), cell("r2"), cell("r3")];
    let led: Vec<(&CellName, u64)> = cells.iter().map(|it| (it, 5)).collect();
    let candidates = [candidate(&a, &led, false), candidate(&b, &[], false)];
    let handed_off = cell_leadership::cell_to_hand_off(&VmName::from("a"), &candidates);
    assert_eq!(handed_off.map(|(_, vm)| vm), Some(VmName::from("b")));
    let even = [candidate(&a, &led[..2], false), candidate(&b, &led[2..], false)];
    assert_eq!(cell_leadership::cell_to_hand_off(&VmName::from("a"), &even), None);
}

#[test]
fn token_is_above_every_known_one() {
    let vm = VmName::from("a");
    let first = cell_leadership::next_token(&vm, 0, 0, START);
    let second = cell_leadership::next_token(&vm, first, 0, START);
    let other = cell_leadership::next_token(&VmName::from("b"), first, 0, START);
    assert!(first < second);
    assert!(first < other && other != second);
}

#[test]
fn token_after_a_restart_of_all_entries_is_above_the_former_ones() {
    // A rolling restart of 40 entries: some 300 claims in ten seconds, each above the last.
    let (lhs, rhs) = (VmName::from("a"), VmName::from("b"));
    let now = ClockTime(1_771_702_535_000);
    let mut highest = 0;
    for claim in 0..300 {
        highest = cell_leadership::next_token(&lhs, highest, 0, now.plus_ms(claim * 33));
    }
    let restarted_at = now.plus_ms(11_000);
    assert!(highest < cell_leadership::next_token(&rhs, 0, 0, restarted_at));
    assert!(highest < 1 << 53, "JSON parsers may keep only 53 bits of a number");
}

#[test]
fn fenced_claims_soon_overtake_a_clock_that_is_ahead() {
    let (lhs, rhs) = (VmName::from("a"), VmName::from("b"));
    let ahead = cell_leadership::next_token(&lhs, 0, 0, START.plus_ms(2_000));
    let mut token = 0;
    for n_fences in 0..4 {
        token = cell_leadership::next_token(&rhs, token, n_fences, START);
    }
    assert!(ahead < token);
}

/// A heartbeat of an entry that leads a cell under a token.
fn leader_heartbeat(name: &str, token: u64, now: ClockTime) -> CellHeartbeat {
    let report = CellReport {
        cell: cell("r1"),
        token,
        cpu: 100_000,
        free_cpu: 100_000,
        unreserved_cpu: 100_000,
        fast_cpu: 0,
        queued_work: 0,
    };
    CellHeartbeat { cells: vec![report], ..heartbeat_of(name, VmRole::Entry, Vec::new(), now) }
}

fn job() -> JobOffer {
    let step = JobStep {
        count: 1,
        demand: ResourceAmount { cpu: 1_000, mem_mb: 10, gpu: 0 },
        declared_ms: 100,
        after: Vec::new(),
        data_rack: None,
        label: None,
        max_on_endpoint: None,
    };
    JobOffer {
        job: JobCode(1),
        route: "route".to_owned(),
        service: "s".to_owned(),
        spec: String::new(),
        steps: vec![step],
        priority: 0,
        max_attempts: 2,
        stretch_milli: 1_600,
        slack_ms: 60,
        age_ms: 0,
        remaining_ms: 5_000,
        first_run: 0,
        number: 0,
        token: 0,
        is_repeat: false,
        may_move: false,
        centre: DataCentre::from(""),
        was_refused: false,
    }
}

/// Offers that a node has sent since the last call: receiver, token, whether it is a repeat.
fn offers(node: &mut CellNode) -> Vec<(VmName, u64, bool)> {
    let sent = node.drain_effects().into_iter().filter_map(|it| match it {
        NodeEffect::Send(to, CellMessage::Offer(_, offer, _)) => {
            Some((to, offer.token, offer.is_repeat))
        }
        _ => None,
    });
    sent.collect()
}

/// Two entries led one cell after a partition. The origin lost contact to the one with the higher
/// token for a moment and offered the job to the other, so both could start it.
#[test]
fn job_goes_to_another_leader_only_under_a_higher_token() {
    let (_, mut origin) = node("front");
    let (higher, lower) = (VmName::from("higher"), VmName::from("lower"));
    let mut now = START;
    origin.handle_heartbeat(&higher, leader_heartbeat("higher", 300, now), now);
    origin.submit(CallNumber(1), job(), now);
    assert_eq!(offers(&mut origin), [(higher.clone(), 300, false)]);
    for _ in 0..50 {
        now = now.plus_ms(20);
        origin.handle_heartbeat(&lower, leader_heartbeat("lower", 200, now), now);
        origin.tick(now);
        assert_eq!(offers(&mut origin), []);
    }
    now = now.plus_ms(20);
    origin.handle_heartbeat(&lower, leader_heartbeat("lower", 400, now), now);
    origin.tick(now);
    assert_eq!(offers(&mut origin), [(lower, 400, true)]);
}

#[test]
fn leader_rejects_an_offer_made_under_another_token() {
    let (_, mut leader) = node("leader");
    let control = VmName::from("control");
    let origin = VmName::from("front");
    let records: Vec<(EndpointRecord, bool)> = vec![(record(1), false)];
    leader.handle_message(&control, CellMessage::Endpoints(records), START);
    let mut now = START;
    for _ in 0..40 {
        now = now.plus_ms(20);
        leader.handle_heartbeat(
            &control,
            heartbeat_of("control", VmRole::Control, Vec::new(), now),
            now,
        );
        leader.tick(now);
    }
    assert_eq!(leader.n_led(), 1);
    leader.drain_effects();
    leader.handle_message(
        &origin,
        CellMessage::Offer(cell("r1"), JobOffer { token: 7, ..job() }, now),
        now,
    );
    let results: Vec<JobResult> = leader
        .drain_effects()
        .into_iter()
        .filter_map(|it| match it {
            NodeEffect::Send(_, CellMessage::JobResult(_, _, _, result)) => Some(result),
            _ => None,
        })
        .collect();
    assert_eq!(results, [JobResult::Declined]);
}

/// Observations from an entry's effects.
#[derive(Default)]
struct LeaderTrace {
    token: u64,
    has_started: bool,
}

/// Answers an entry's polls for endpoints that run no tasks, and records starts and the token.
fn answer_polls(leader: &mut CellNode, trace: &mut LeaderTrace, now: ClockTime) {
    for effect in leader.drain_effects() {
        match effect {
            NodeEffect::Heartbeat(_, heartbeat) => {
                trace.token = heartbeat.cells.first().map_or(trace.token, |it| it.token);
            }
            NodeEffect::Order(order) => match order.body {
                OrderBody::Start { .. } => trace.has_started = true,
                _ => {
                    let lists = RunLists { incarnation: Some(1), ..RunLists::default() };
                    let outcome = OrderOutcome::Executed(now.0, Some(lists));
                    leader.handle_outcome(&order, outcome, now);
                }
            },
            _ => {}
        }
    }
}

/// An endpoint started on the other side of a partition. When that healed, the leader on this side
/// didn't know of the endpoint or its run, and could start the task a second time.
#[test]
fn remote_leader_waits_for_runs_on_unknown_endpoints() {
    let (_, mut leader) = node("leader");
    let (control, origin) = (VmName::from("control"), VmName::from("front"));
    let remote = DataCentre::from("augsburg");
    let remote_cell = CellName { centre: remote.clone(), ..cell("r1") };
    let mut trace = LeaderTrace::default();
    let mut now = START;
    let advance = |leader: &mut CellNode, trace: &mut LeaderTrace, now| {
        let heartbeat = heartbeat_of("control", VmRole::Control, Vec::new(), now);
        leader.handle_heartbeat(&control, heartbeat, now);
        leader.tick(now);
        answer_polls(leader, trace, now);
    };
    let plan = RoutePlan { version: 1, ..RoutePlan::default() };
    leader.handle_message(&control, CellMessage::Plan(plan), now);
    let updates = vec![(EndpointRecord { centre: remote, ..record(1) }, false)];
    leader.handle_message(&control, CellMessage::Endpoints(updates), now);
    // No entry of the other data centre is reachable.
    for _ in 0..300 {
        now = now.plus_ms(20);
        advance(&mut leader, &mut trace, now);
    }
    assert_eq!(leader.n_led(), 1);
    let offer = JobOffer { token: trace.token, is_repeat: true, ..job() };
    leader.handle_message(&origin, CellMessage::Offer(remote_cell.clone(), offer, now), now);
    let offered_at = now;
    while !trace.has_started && now < offered_at.plus_ms(3_000) {
        now = now.plus_ms(20);
        let keep_alive = CellMessage::KeepAlive(remote_cell.clone(), vec![(JobCode(1), 0)], now);
        leader.handle_message(&origin, keep_alive, now);
        advance(&mut leader, &mut trace, now);
    }
    // By then a lease granted by a former leader has expired.
    let waited_ms = now.since_ms(offered_at);
    assert!(trace.has_started && 1_000 < waited_ms, "after {waited_ms} ms");
}

/// A fleet of `n_centres` data centres of `n_entries` entries each, all of which know each other.
fn fleet(n_centres: usize, n_entries: usize) -> IndexMap<VmName, CellNode> {
    let mut nodes = IndexMap::new();
    for centre in 0..n_centres {
        for entry in 0..n_entries {
            let vm = VmName(format!("entry-{centre}-{entry}"));
            let settings = CellSettings {
                owner: OwnerId { vm: vm.clone(), incarnation: 1 },
                centre: DataCentre(format!("centre-{centre}")),
                weight: 250,
                controls: Vec::new(),
                off_rack_milli: 2_000,
                bounds: RunBounds::default(),
            };
            nodes.insert(vm, CellNode::new(settings, START));
        }
    }
    let members: Vec<VmName> = nodes.keys().cloned().collect();
    // The control VM is not heard again.
    let control = heartbeat_of("control", VmRole::Control, members, START);
    for node in nodes.values_mut() {
        node.handle_heartbeat(&VmName::from("control"), control.clone(), START);
    }
    nodes
}

/// Ticks the live nodes and delivers their heartbeats and digests; returns the number of
/// datagrams that each VM got.
fn exchange_digests(
    nodes: &mut IndexMap<VmName, CellNode>,
    down: &[VmName],
    now: ClockTime,
) -> IndexMap<VmName, usize> {
    let mut effects = Vec::new();
    for (vm, node) in nodes.iter_mut().filter(|(vm, _)| !down.contains(*vm)) {
        node.tick(now);
        effects.extend(node.drain_effects().into_iter().map(|it| (vm.clone(), it)));
    }
    let mut n_received = IndexMap::new();
    for (from, effect) in effects {
        let (NodeEffect::Heartbeat(vms, _) | NodeEffect::Digest(vms, _)) = &effect else {
            continue;
        };
        for vm in vms.iter().filter(|it| !down.contains(*it)) {
            let Some(node) = nodes.get_mut(vm) else { continue };
            *n_received.entry(vm.clone()).or_default() += 1;
            match &effect {
                NodeEffect::Heartbeat(_, it) => node.handle_heartbeat(&from, it.clone(), now),
                NodeEffect::Digest(_, it) => node.handle_digest(&from, it.clone(), now),
                _ => {}
            }
        }
    }
    n_received
}

/// A hundred entries in five data centres: a datagram from each to each other one, eight times a
/// second, would take most of a small VM's processor.
#[test]
fn large_fleet_relays_heartbeats_between_data_centres() {
    let mut nodes = fleet(5, 20);
    let mut received: IndexMap<VmName, usize> = IndexMap::new();
    let mut now = START;
    for step in 0..800 {
        now = now.plus_ms(10);
        for (vm, n) in exchange_digests(&mut nodes, &[], now) {
            // The first seconds include the greetings.
            if 400 <= step {
                *received.entry(vm).or_default() += n;
            }
        }
    }
    // 19 local entries at 8.3 a second, two relays in each of four data centres at 4.2, and 80
    // direct heartbeats in two seconds.
    let bound = 4 * (19 * 9 + 4 * 2 * 5 + 45);
    let most = received.values().max().copied().unwrap_or(0);
    assert!(most <= bound, "{most} datagrams in four seconds");
    for node in nodes.values() {
        assert_eq!(node.n_live_peers(), 99);
    }
}

/// A relay dies: entries of other data centres must not count those that it relayed for as lost.
#[test]
fn lost_relay_delays_no_heartbeat_of_its_data_centre() {
    let mut nodes = fleet(3, 6);
    let mut now = START;
    for _ in 0..400 {
        now = now.plus_ms(10);
        exchange_digests(&mut nodes, &[], now);
    }
    let down = [VmName::from("entry-0-2")];
    for _ in 0..200 {
        now = now.plus_ms(10);
        exchange_digests(&mut nodes, &down, now);
        for node in nodes.iter().filter(|(vm, _)| !down.contains(*vm)).map(|(_, it)| it) {
            assert!(16 <= node.n_live_peers(), "{} live peers", node.n_live_peers());
        }
    }
    for node in nodes.iter().filter(|(vm, _)| !down.contains(*vm)).map(|(_, it)| it) {
        assert_eq!(node.n_live_peers(), 16);
    }
}

/// All VMs restart: two entries that learn of each other must not wait for the next heartbeats.
#[test]
fn found_entry_is_answered_at_once() {
    let (vm, mut node) = node("entry");
    let other = VmName::from("other");
    node.handle_heartbeat(&other, heartbeat_of("other", VmRole::Entry, Vec::new(), START), START);
    let answered = node.drain_effects().into_iter().any(|it| match it {
        NodeEffect::Heartbeat(to, heartbeat) => to == [other.clone()] && heartbeat.owner.vm == vm,
        _ => false,
    });
    assert!(answered);
}

/// No entry leads the cells, as after a restart of all. A job waits while an answer would be of
/// use to its caller, and no longer.
#[test]
fn job_waits_for_a_leader_while_it_can_be_of_use() {
    let (_, mut node) = node("entry");
    let control = VmName::from("control");
    let far = EndpointRecord { centre: DataCentre::from("far"), ..record(1) };
    node.handle_message(&control, CellMessage::Plan(RoutePlan::default()), START);
    node.handle_message(&control, CellMessage::Endpoints(vec![(far, false)]), START);
    for (code, declared_ms) in [(1, 60), (2, 900)] {
        let mut offer = JobOffer { job: JobCode(code), remaining_ms: 3_000, ..job() };
        offer.steps[0].declared_ms = declared_ms;
        node.submit(CallNumber(code), offer, START);
    }
    let mut refused = IndexMap::new();
    for step in 1..60 {
        let now = START.plus_ms(step * 20);
        for (name, role) in [("control", VmRole::Control), ("peer", VmRole::Entry)] {
            let heartbeat = heartbeat_of(name, role, Vec::new(), now);
            node.handle_heartbeat(&VmName::from(name), heartbeat, now);
        }
        node.tick(now);
        for effect in node.drain_effects() {
            if let NodeEffect::Answer(call, JobResult::Refused(..)) = effect {
                refused.insert(call.0, step * 20);
            }
        }
    }
    // Three objectives of 156 ms, less the 60 ms that it runs; and a second at most.
    assert_eq!(refused.get(&1), Some(&420));
    assert_eq!(refused.get(&2), Some(&1_000));
}

/// The time of day of a VM was ahead when its process started, and is right when it starts again:
/// the new process has a lower incarnation than the former one.
#[test]
fn entry_that_restarts_after_its_clock_went_back_is_heard() {
    let (_, mut node) = node("entry");
    let other = VmName::from("other");
    let mut now = START;
    let mut receive = |incarnation, from_ms: u64, to_ms: u64| {
        for at_ms in (from_ms..to_ms).step_by(100) {
            now = START.plus_ms(at_ms);
            let former = heartbeat_of("other", VmRole::Entry, Vec::new(), now);
            let owner = OwnerId { vm: other.clone(), incarnation };
            node.handle_heartbeat(&other, CellHeartbeat { owner, ..former }, now);
            node.tick(now);
        }
        node.n_live_peers()
    };
    assert_eq!(receive(9_000, 0, 1_000), 1);
    // Until the former process counts as lost, its datagrams may be on their way.
    assert_eq!(receive(7_000, 1_300, 3_000), 1);
}

/// Guards against offers every 10 ms, each with run numbers of its own, to an entry that has lost its
/// cell while its last report still names it.
#[test]
fn declined_offers_are_repeated_with_a_back_off() {
    let (_, mut origin) = node("front");
    let leader = VmName::from("leader");
    let mut now = START;
    origin.handle_heartbeat(&leader, leader_heartbeat("leader", 300, now), now);
    origin.submit(CallNumber(1), job(), now);
    let (mut n_offers, mut last_run) = (0, 0);
    for _ in 0..90 {
        for effect in origin.drain_effects() {
            if let NodeEffect::Send(to, CellMessage::Offer(cell, offer, _)) = effect {
                n_offers += 1;
                last_run = last_run.max(offer.first_run);
                let result =
                    CellMessage::JobResult(cell, offer.job, offer.number, JobResult::Declined);
                origin.handle_message(&to, result, now);
            }
        }
        now = now.plus_ms(10);
        origin.handle_heartbeat(&leader, leader_heartbeat("leader", 300, now), now);
        origin.tick(now);
    }
    assert!((3..=8).contains(&n_offers), "{n_offers} offers");
    assert_eq!(last_run, 0);
    offers(&mut origin);
    // Another leader gets the job at once.
    origin.handle_heartbeat(&VmName::from("next"), leader_heartbeat("next", 400, now), now);
    assert_eq!(offers(&mut origin), [(VmName::from("next"), 400, true)]);
}
