//! Tests of the endpoint table and of its gossip between entries.

use yuccamux::{
    endpoint_table::{EndpointRecord, EndpointTable, EndpointUpdate},
    prelude::*,
};

const NOW: ClockTime = ClockTime(1_000_000);

fn record(incarnation: u64, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::from("e"),
        address: "127.0.0.1:1".to_owned(),
        incarnation,
        slots: 8,
        connections: 60,
        kinds: Vec::new(),
        worker: String::new(),
        rack: String::new(),
        processors: 1,
        memory_mb: 1,
        leaving,
    }
}

fn state_of(table: &EndpointTable) -> (u64, bool, ClockTime) {
    let state = table.endpoints().next().expect("one endpoint is known");
    (state.record.incarnation, state.record.leaving, state.last_contact_at)
}

#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut table = EndpointTable::new();
    table.announce(record(1, false), NOW);
    table.announce(record(1, true), NOW.plus_ms(10));
    // An older announcement arrives late.
    table.announce(record(1, false), NOW.plus_ms(20));
    assert_eq!(state_of(&table), (1, true, NOW.plus_ms(10)));
    table.announce(record(2, false), NOW.plus_ms(30));
    assert_eq!(state_of(&table), (2, false, NOW.plus_ms(30)));
    table.announce(record(1, false), NOW.plus_ms(40));
    assert_eq!(state_of(&table), (2, false, NOW.plus_ms(30)));
}

#[test]
fn unchanged_announcement_is_sent_as_a_digest() {
    let mut table = EndpointTable::new();
    table.announce(record(1, false), NOW);
    let update = table.drain_update(NOW.plus_ms(10), 200);
    assert_eq!((update.records.len(), update.fresh_digests.len()), (1, 0));
    table.announce(record(1, false), NOW.plus_ms(1_000));
    let update = table.drain_update(NOW.plus_ms(1_010), 200);
    assert_eq!((update.records.len(), update.fresh_digests.len()), (0, 1));
    table.announce(record(1, true), NOW.plus_ms(2_000));
    let update = table.drain_update(NOW.plus_ms(2_010), 200);
    assert_eq!((update.records.len(), update.fresh_digests.len()), (1, 0));
}

#[test]
fn unknown_digest_requests_the_record() {
    let (mut lhs, mut rhs) = (EndpointTable::new(), EndpointTable::new());
    lhs.announce(record(1, false), NOW);
    // The update with the full record is lost.
    lhs.drain_update(NOW, 200);
    lhs.announce(record(1, false), NOW.plus_ms(1_000));
    let digest = lhs.drain_update(NOW.plus_ms(1_000), 200);
    let request = rhs.handle_update(digest, NOW.plus_ms(1_001)).expect("rhs requests the record");
    assert_eq!(request.wanted_digests.len(), 1);
    let answer = lhs.handle_update(request, NOW.plus_ms(1_002)).expect("lhs answers");
    assert_eq!(rhs.handle_update(answer, NOW.plus_ms(1_003)), None);
    assert_eq!(state_of(&rhs), (1, false, NOW.plus_ms(1_002)));
}

#[test]
fn digest_refreshes_an_endpoint_as_of_its_announcement() {
    let mut table = EndpointTable::new();
    table.announce(record(1, false), NOW);
    let digest = record(1, false).digest();
    let sent_at = NOW.plus_ms(2_000);
    let update =
        EndpointUpdate { sent_at, fresh_digests: vec![(digest, 150)], ..EndpointUpdate::default() };
    // The receiver is paused and reads the update seven seconds after it was sent.
    table.handle_update(update, NOW.plus_ms(9_000));
    assert_eq!(state_of(&table).2, NOW.plus_ms(1_850));
}

#[test]
fn update_of_many_endpoints_is_split_into_datagrams_without_loss() {
    let mut lhs = EndpointTable::new();
    for number in 0..1_000 {
        let name = EndpointName(format!("endpoint-{number}"));
        lhs.announce(EndpointRecord { name, ..record(1, false) }, NOW);
    }
    let mut rhs = EndpointTable::new();
    for part in lhs.drain_update(NOW, 200).into_parts() {
        let n_bytes = postcard::to_stdvec(&part).unwrap().len();
        assert!(n_bytes <= 1_400, "{n_bytes} bytes do not fit a packet");
        rhs.handle_update(part, NOW);
    }
    assert_eq!(rhs.endpoints().count(), 1_000);
}
