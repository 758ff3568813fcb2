//! Order by served shares: classes, decay, and bounds for the worst route and data centre.

use yuccamux::{
    cell::service_shares::{STARVATION_BOUND_MS, ServiceOutcome, ServiceShares},
    prelude::*,
};

const START: ClockTime = ClockTime(1_000_000);
const ROUTES: [&str; 3] = ["wide", "long", "small"];
const CENTRES: [&str; 3] = ["perth", "munich", "oslo"];

/// A queue that serves one of `n_arriving` new jobs each ms by class, and refuses the others.
struct ShareQueue {
    shares: ServiceShares,
    now: ClockTime,
    counts: [[(u64, u64); 3]; 3],
    n_refused: [u64; 3],
    longest: [u64; 3],
}

impl ShareQueue {
    fn new() -> ShareQueue {
        let shares = ServiceShares::default();
        let (counts, n_refused, longest) = ([[(0, 0); 3]; 3], [0; 3], [0; 3]);
        ShareQueue { shares, now: START, counts, n_refused, longest }
    }

    /// Serves the first of the jobs in rank order; equal classes keep this order.
    fn step(&mut self, mut jobs: Vec<(usize, usize)>) {
        self.now = self.now.plus_ms(1);
        let class =
            |it: &(usize, usize)| self.shares.class(ROUTES[it.0], &DataCentre::from(CENTRES[it.1]));
        jobs.sort_by_key(class);
        for (idx, (route, centre)) in jobs.into_iter().enumerate() {
            let is_served = idx == 0;
            let outcome = if is_served { ServiceOutcome::InTime } else { ServiceOutcome::Unserved };
            let from = DataCentre::from(CENTRES[centre]);
            self.shares.record(ROUTES[route], &from, outcome, self.now);
            let count = &mut self.counts[route][centre];
            *count = (count.0 + u64::from(is_served), count.1 + 1);
            self.n_refused[route] = if is_served { 0 } else { self.n_refused[route] + 1 };
            self.longest[route] = self.longest[route].max(self.n_refused[route]);
        }
    }

    /// Served share of the jobs that `is_counted` selects, in thousandths.
    fn share_milli(&self, is_counted: impl Fn(usize, usize) -> bool) -> u64 {
        let (mut served, mut owed) = (0, 0);
        for (route, centres) in self.counts.iter().enumerate() {
            for (centre, count) in centres.iter().enumerate() {
                if is_counted(route, centre) {
                    served += count.0;
                    owed += count.1;
                }
            }
        }
        served * 1000 / owed
    }
}

fn record_many(shares: &mut ServiceShares, route: &str, outcome: ServiceOutcome, now: ClockTime) {
    for _ in 0..40 {
        shares.record(route, &DataCentre::from("perth"), outcome, now);
    }
}

/// A cell that serves its callers must keep the order by submission.
#[test]
fn all_jobs_are_in_one_class_without_overload() {
    let mut shares = ServiceShares::default();
    let centre = DataCentre::from("perth");
    for _ in 0..200 {
        shares.record("wide", &centre, ServiceOutcome::InTime, START);
    }
    shares.record("long", &centre, ServiceOutcome::Late, START);
    assert!(!shares.is_overloaded());
    assert_eq!(shares.class("wide", &centre), shares.class("long", &centre));
}

/// A route that got less would otherwise stay behind the others.
#[test]
fn route_that_got_less_goes_first_until_its_counts_have_decayed() {
    let mut shares = ServiceShares::default();
    let centre = DataCentre::from("perth");
    record_many(&mut shares, "long", ServiceOutcome::Unserved, START);
    record_many(&mut shares, "wide", ServiceOutcome::InTime, START);
    assert!(shares.is_overloaded());
    assert!(shares.class("long", &centre) < shares.class("wide", &centre));
    shares.decay(START.plus_ms(20_000));
    assert!(!shares.is_overloaded());
    assert_eq!(shares.class("long", &centre), shares.class("wide", &centre));
}

/// Around the bound, the order would change with each job if one bound held in both directions.
#[test]
fn overload_ends_at_a_higher_share_than_it_begins() {
    let mut shares = ServiceShares::default();
    let centre = DataCentre::from("perth");
    let mut n_changes = 0;
    let mut was_overloaded = false;
    for code in 0..4_000 {
        let now = START.plus_ms(code * 5);
        let outcome =
            if code % 34 == 0 { ServiceOutcome::Unserved } else { ServiceOutcome::InTime };
        shares.record("wide", &centre, outcome, now);
        let is_overloaded = shares.is_overloaded();
        n_changes += u64::from(is_overloaded != was_overloaded);
        was_overloaded = is_overloaded;
    }
    assert!(n_changes <= 1, "{n_changes} changes in 20 s");
}

/// In a window of overload, one route or data centre may not pay for the others.
#[test]
fn worst_route_and_centre_get_most_of_the_mean() {
    let mut queue = ShareQueue::new();
    for ms in 0..4_000 {
        // The first in each ms gain without classes; the third route and centre arrive last.
        let jobs = [(0, 0), (1, (ms / 2) % 3), (0, 1), (2, ms % 3)];
        queue.step(jobs[..2 + ms % 3].to_vec());
    }
    let mean_milli = queue.share_milli(|_, _| true);
    for idx in 0..3 {
        let route_milli = queue.share_milli(|route, _| route == idx);
        let centre_milli = queue.share_milli(|_, centre| centre == idx);
        assert!(mean_milli * 8 / 10 <= route_milli, "{}: {route_milli}", ROUTES[idx]);
        assert!(mean_milli * 8 / 10 <= centre_milli, "{}: {centre_milli}", CENTRES[idx]);
    }
}

/// A rare route among frequent ones must not wait for long, also not after a time in which it got
/// all that it was owed.
#[test]
fn no_route_gets_nothing_for_longer_than_the_starvation_bound() {
    let mut queue = ShareQueue::new();
    for ms in 0..9_000 {
        let rare = (ms % 100 == 0).then_some((2, 2));
        if ms < 3_000 {
            queue.step(rare.into_iter().collect());
        } else {
            queue.step([(0, 0), (1, 1), (0, 1), (1, 0)].into_iter().chain(rare).collect());
        }
    }
    let bound = STARVATION_BOUND_MS;
    assert!(queue.longest[0].max(queue.longest[1]) <= bound, "{:?} jobs", queue.longest);
    assert!(queue.longest[2] * 100 <= bound, "{:?} jobs, of the rare each 100 ms", queue.longest);
}
