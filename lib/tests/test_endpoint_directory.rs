//! The directory's list of endpoints by cell under random announcements, ends and expiry.

use indexmap::{IndexMap, IndexSet};
use proptest::{prelude::*, test_runner::Config};
use yuccamux::{
    cell::{
        cell_message::CellName,
        endpoint_directory::{EndpointDirectory, EndpointRecord},
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
