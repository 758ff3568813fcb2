//! The directory's list of endpoints by cell under random announcements, ends and expiry, and
//! what a departure ends.

use indexmap::{IndexMap, IndexSet};
use proptest::{prelude::*, test_runner::Config};
use yuccamux::{
    cell::{
        cell_message::CellName,
        endpoint_directory::{DirectoryChange, EndpointDirectory, EndpointRecord},
        job_offer::ResourceAmount,
    },
    prelude::*,
};

/// Time without an announcement after which an endpoint expires, in ms.
const EXPIRY_MS: u64 = 50;

#[derive(Clone, Debug)]
enum DirectoryStep {
    Announce { name: u8, incarnation: u64, seq: u64, address: u8, rack: u8 },
    Merge { name: u8, incarnation: u64, address: u8, rack: u8, gone: bool },
    Gone { name: u8 },
    Expire { after_ms: u64 },
}

fn record(name: u8, incarnation: u64, seq: u64, address: u8, rack: u8) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName(format!("endpoint-{name}")),
        incarnation,
        seq,
        service: "s".to_owned(),
        address: format!("10.0.0.{address}:1"),
        centre: DataCentre::from("munich"),
        rack: format!("r{rack}"),
        labels: Vec::new(),
        capacity: ResourceAmount { cpu: 16_000, mem_mb: 1_000, gpu: 0 },
        leaving: false,
    }
}

fn step() -> impl Strategy<Value = DirectoryStep> {
    let (name, address, rack) = (0..5_u8, 0..4_u8, 0..3_u8);
    prop_oneof![
        4 => (name.clone(), 1..4_u64, 1..6_u64, address.clone(), rack.clone()).prop_map(
            |(name, incarnation, seq, address, rack)| DirectoryStep::Announce {
                name, incarnation, seq, address, rack
            }
        ),
        2 => (name.clone(), 1..4_u64, address, rack, any::<bool>()).prop_map(
            |(name, incarnation, address, rack, gone)| DirectoryStep::Merge {
                name, incarnation, address, rack, gone
            }
        ),
        1 => name.prop_map(|name| DirectoryStep::Gone { name }),
        1 => (1..80_u64).prop_map(|after_ms| DirectoryStep::Expire { after_ms }),
    ]
}

fn check_cells(directory: &EndpointDirectory) {
    let mut expected: IndexMap<CellName, IndexSet<EndpointName>> = IndexMap::new();
    for record in directory.live() {
        expected.entry(record.cell()).or_default().insert(record.name.clone());
    }
    let mut listed: IndexMap<CellName, IndexSet<EndpointName>> = IndexMap::new();
    for cell in directory.cells() {
        let names = directory.endpoints_of(cell).map(|it| it.name.clone());
        listed.insert(cell.clone(), names.collect());
    }
    assert_eq!(listed, expected);
}

proptest! {
    #![proptest_config(Config { cases: 400, failure_persistence: None, ..Config::default() })]

    #[test]
    fn cells_list_exactly_their_live_endpoints(steps in prop::collection::vec(step(), 1..40)) {
        let mut directory = EndpointDirectory::default();
        let mut now = ClockTime(1_000);
        for step in steps {
            now = now.plus_ms(1);
            match step {
                DirectoryStep::Announce { name, incarnation, seq, address, rack } => {
                    directory.announce(record(name, incarnation, seq, address, rack), now);
                }
                DirectoryStep::Merge { name, incarnation, address, rack, gone } => {
                    directory.merge(record(name, incarnation, 9, address, rack), gone, now);
                }
                DirectoryStep::Gone { name } => {
                    directory.mark_gone(&EndpointName(format!("endpoint-{name}")), None);
                }
                DirectoryStep::Expire { after_ms } => {
                    now = now.plus_ms(after_ms);
                    directory.expire(EXPIRY_MS, now);
                }
            }
            check_cells(&directory);
        }
    }
}

fn leaving_record(seq: u64) -> EndpointRecord {
    EndpointRecord { leaving: true, ..record(0, 7, seq, 0, 0) }
}

fn n_live(directory: &EndpointDirectory) -> usize {
    directory.live().count()
}

/// Guards against the late departure of a former life, which ends the next one for good.
#[test]
fn late_departure_does_not_end_endpoint_that_works_on() {
    let mut directory = EndpointDirectory::default();
    directory.announce(record(0, 7, 3, 0, 0), ClockTime(1_000));
    directory.mark_gone(&EndpointName::from("endpoint-0"), None);
    assert_eq!(n_live(&directory), 0);
    // A copy of what was known before the departure says nothing of the time after it.
    directory.announce(record(0, 7, 3, 0, 0), ClockTime(1_001));
    assert_eq!(n_live(&directory), 0);
    let change = directory.announce(record(0, 7, 4, 0, 0), ClockTime(1_002));
    assert_eq!((change, n_live(&directory)), (DirectoryChange::Changed, 1));
    let updates = directory.drain_updates(8_000, ClockTime(1_003));
    assert_eq!(updates, [(record(0, 7, 4, 0, 0), false)]);
}

/// Guards against a late heartbeat that brings back an endpoint that announced its end.
#[test]
fn departure_is_final_once_leaving_was_announced() {
    let mut directory = EndpointDirectory::default();
    directory.announce(leaving_record(3), ClockTime(1_000));
    directory.mark_gone(&EndpointName::from("endpoint-0"), None);
    directory.announce(record(0, 7, 4, 0, 0), ClockTime(1_001));
    directory.announce(leaving_record(5), ClockTime(1_002));
    directory.merge(record(0, 7, 6, 0, 0), false, ClockTime(1_003));
    assert_eq!(n_live(&directory), 0);
}

/// Guards against a peer's notice of a departure that a later announcement has disproved.
#[test]
fn older_notice_of_departure_does_not_end_endpoint() {
    let mut directory = EndpointDirectory::default();
    directory.announce(record(0, 7, 4, 0, 0), ClockTime(1_000));
    let change = directory.merge(record(0, 7, 3, 0, 0), true, ClockTime(1_001));
    assert_eq!((change, n_live(&directory)), (DirectoryChange::Same, 1));
    directory.merge(record(0, 7, 4, 0, 0), true, ClockTime(1_002));
    assert_eq!(n_live(&directory), 0);
}

/// Guards against a departure that is lost, or starts on a leaving endpoint, as the notice of
/// leaving and the departure reach different control VMs.
#[test]
fn departure_and_leaving_meet_in_either_order() {
    let mut directory = EndpointDirectory::default();
    directory.announce(leaving_record(4), ClockTime(1_000));
    directory.merge(record(0, 7, 3, 0, 0), true, ClockTime(1_001));
    assert_eq!(n_live(&directory), 0);

    let mut directory = EndpointDirectory::default();
    directory.merge(record(0, 7, 3, 0, 0), true, ClockTime(1_000));
    directory.merge(leaving_record(4), false, ClockTime(1_001));
    directory.announce(record(0, 7, 5, 0, 0), ClockTime(1_002));
    assert!(directory.live().all(|it| it.leaving));
    directory.merge(leaving_record(4), true, ClockTime(1_003));
    directory.announce(record(0, 7, 6, 0, 0), ClockTime(1_004));
    assert_eq!(n_live(&directory), 0);
}

/// Guards against a former endpoint of an address that comes back beside its successor: it left,
/// and an announcement of its own was late.
#[test]
fn endpoint_that_left_its_address_does_not_come_back() {
    let mut directory = EndpointDirectory::default();
    let leaving = EndpointRecord { leaving: true, ..record(0, 7, 3, 0, 0) };
    directory.announce(leaving.clone(), ClockTime(1_000));
    directory.mark_gone(&leaving.name, None);
    directory.announce(record(1, 7, 1, 0, 0), ClockTime(1_001));
    directory.announce(record(0, 7, 4, 0, 0), ClockTime(1_002));
    assert_eq!(directory.live().map(|it| it.name.as_str()).collect::<Vec<_>>(), ["endpoint-1"]);
}
