//! Routing decisions of entries under load patterns such as herds, hot racks and full cells.

use indexmap::IndexMap;
use yuccamux::{
    cell::{
        cell_message::{CellName, CellReport},
        job_offer::{JobCode, JobOffer, JobStep, ResourceAmount},
        job_router::{self, CellView, JobRouter, RoutedJob},
    },
    entry_node::CallNumber,
    prelude::*,
};

const NOW: ClockTime = ClockTime(5_000_000);

fn cell(rack: &str) -> CellName {
    CellName { service: "s".to_owned(), centre: DataCentre::from("perth"), rack: rack.to_owned() }
}

/// A cell with `open_cores` of its 100 cores free and not reserved.
fn view(rack: &str, open_cores: u64) -> (CellName, CellView) {
    let report = CellReport {
        cell: cell(rack),
        token: 1,
        cpu: 100_000,
        free_cpu: open_cores * 1000,
        unreserved_cpu: open_cores * 1000,
        fast_cpu: 0,
        queued_work: 0,
    };
    let leader = VmName(format!("leader-{rack}"));
    (cell(rack), CellView { leader, report, reported_at: NOW, offered_cpu: 0, offered_work: 0 })
}

/// A job of two tasks of two cores each.
fn job(code: u64, data_rack: Option<&str>) -> RoutedJob {
    let step = JobStep {
        count: 2,
        demand: ResourceAmount { cpu: 2_000, mem_mb: 10, gpu: 0 },
        declared_ms: 200,
        after: Vec::new(),
        data_rack: data_rack.map(str::to_owned),
        label: None,
        max_on_endpoint: None,
    };
    let offer = JobOffer {
        job: JobCode(code),
        route: "lookup".to_owned(),
        service: "s".to_owned(),
        spec: String::new(),
        steps: vec![step],
        priority: 0,
        max_attempts: 3,
        stretch_milli: 1_600,
        slack_ms: 60,
        age_ms: 0,
        remaining_ms: 1_500,
        first_run: 0,
        number: 0,
        token: 0,
        is_repeat: false,
        may_move: true,
        centre: DataCentre::from(""),
        was_refused: false,
    };
    RoutedJob {
        call: CallNumber(code),
        offer,
        received_at: NOW,
        caller_deadline: NOW.plus_ms(1_500),
        cell: None,
        leader: None,
        offered_at: NOW,
        unassigned_since: NOW,
        was_offered: false,
        refused_by: Vec::new(),
        n_moves: 0,
    }
}

/// How many of `n_entries` entries choose each cell for one job, all by the same reports.
fn choices(n_entries: u64, views: &IndexMap<CellName, CellView>) -> IndexMap<String, u64> {
    let mut chosen = IndexMap::new();
    for code in 0..n_entries {
        let job = job(code, None);
        let choice = job_router::choose_cell(&job, &DataCentre::from("perth"), views, NOW);
        *chosen.entry(choice.map_or(String::new(), |it| it.rack)).or_default() += 1;
    }
    chosen
}

/// Many entries choose between two reports of the leaders; if all took the freest cell, it would
/// be overloaded.
#[test]
fn herd_spreads_in_proportion_to_unreserved_cpu() {
    let views = [view("r1", 60), view("r2", 30), view("r3", 10), view("full", 0)];
    let chosen = choices(1_000, &views.into_iter().collect());
    assert!(!chosen.contains_key("full"), "{chosen:?}");
    assert!((520..680).contains(&chosen["r1"]), "{chosen:?}");
    assert!((230..370).contains(&chosen["r2"]), "{chosen:?}");
    assert!((50..150).contains(&chosen["r3"]), "{chosen:?}");
}

/// No cell has free CPU and the queues differ little.
#[test]
fn herd_does_not_overload_the_shortest_queue() {
    let views = (1..=10).map(|it| {
        let (cell, mut view) = view(&format!("r{it}"), 0);
        view.report.queued_work = 100_000 * (100 + it);
        (cell, view)
    });
    let chosen = choices(1_000, &views.collect());
    assert!(chosen.values().all(|it| *it < 300), "{chosen:?}");
}

/// The rack of the data is full, another one is free.
#[test]
fn job_goes_to_the_rack_of_its_data_while_that_is_led() {
    let views: IndexMap<_, _> = [view("r1", 60), view("r2", 0)].into_iter().collect();
    let perth = DataCentre::from("perth");
    let choice = job_router::choose_cell(&job(1, Some("r2")), &perth, &views, NOW);
    assert_eq!(choice.map(|it| it.rack), Some("r2".to_owned()));
}

/// The rack of a job's data is overloaded; fast endpoints elsewhere make up for remote data.
#[test]
fn job_of_a_hot_rack_moves_to_free_fast_endpoints() {
    let (slow, fast) = (view("slow", 90), view("quick", 40));
    let mut views: IndexMap<_, _> = [view("hot", 0), slow, fast].into_iter().collect();
    views[&cell("quick")].report.fast_cpu = 20_000;
    let job = RoutedJob { cell: Some(cell("hot")), ..job(1, Some("hot")) };
    let choose = |wait_ms| job_router::choose_move_target(&job, 3_000, wait_ms, &views, NOW);
    assert_eq!(choose(300), Some(cell("quick")));
    // 200 ms of work take 450 ms on fast endpoints outside the rack of the data.
    assert_eq!(choose(200), None);
}

/// Every cell is about as overloaded: moving would only add the cost of remote data.
#[test]
fn job_stays_where_no_queue_is_much_shorter() {
    let mut views: IndexMap<_, _> = [view("hot", 0), view("full", 3)].into_iter().collect();
    views[&cell("full")].report.queued_work = 100_000 * 600;
    let job = RoutedJob { cell: Some(cell("hot")), ..job(1, Some("hot")) };
    assert_eq!(job_router::choose_move_target(&job, 3_000, 900, &views, NOW), None);
}

/// Queues are uneven, because entries chose by reports of different age.
#[test]
fn job_without_a_rack_moves_to_a_much_shorter_queue() {
    let mut views: IndexMap<_, _> = [view("long", 0), view("short", 0)].into_iter().collect();
    views[&cell("short")].report.queued_work = 100_000 * 100;
    let job = RoutedJob { cell: Some(cell("long")), ..job(1, None) };
    let choose = |wait_ms| job_router::choose_move_target(&job, 3_000, wait_ms, &views, NOW);
    assert_eq!(choose(300), Some(cell("short")));
    assert_eq!(choose(80), None);
}

/// A job refused by one cell may use CPU that another has reserved for local data.
#[test]
fn refused_job_uses_reserved_cpu() {
    let mut views: IndexMap<_, _> = [view("full", 0), view("kept", 0)].into_iter().collect();
    views[&cell("kept")].report.free_cpu = 10_000;
    let job = RoutedJob { refused_by: vec![cell("full")], ..job(1, None) };
    assert_eq!(job_router::choose_free_cell(&job, &views, NOW), Some(cell("kept")));
}

/// Callers that come back after a refusal must be known, without a list that grows for days.
#[test]
fn entry_remembers_the_jobs_that_it_refused_last() {
    let mut router = JobRouter::default();
    for code in 0..10_000 {
        router.remember_refusal(JobCode(code));
    }
    assert!((8_000..10_000).all(|it| router.was_refused(JobCode(it))));
    assert!(!(0..5_000).any(|it| router.was_refused(JobCode(it))));
    assert!(!router.was_refused(JobCode(10_000)));
}
