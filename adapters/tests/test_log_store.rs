//! Recovery of a control replica's log after crashes, damage and failed writes.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use tempfile::TempDir;
use yuccamux::{
    config_state::ConfigState,
    prelude::*,
    replica_effect::{HardState, StoreEffect},
    replica_log::{EntryPayload, LogEntry, LogSnapshot},
};
use yuccamux_adapters::log_store::LogStore;

fn hard(term: u64) -> HardState {
    let id = ReplicaId { vm: VmName::from("control-1"), incarnation: 7 };
    HardState {
        id,
        generation: Some(GenerationId(1)),
        bootstrap_vote: None,
        term,
        vote: None,
        vms: Vec::new(),
    }
}

fn entry(index: u64) -> LogEntry {
    LogEntry { index, term: 1, payload: EntryPayload::Command(vec![index as u8; 40]) }
}

fn open(folder: &TempDir) -> anyhow::Result<LogStore> {
    LogStore::open(folder.path(), &VmName::from("control-1"))
}

/// A folder with a state and `n_entries` entries, each synced on its own.
fn filled(n_entries: u64) -> TempDir {
    let folder = TempDir::new().unwrap();
    let mut store = open(&folder).unwrap();
    store.commit(vec![StoreEffect::SaveState(hard(1))]).unwrap();
    for index in 1..=n_entries {
        store.commit(vec![StoreEffect::Append(vec![entry(index)])]).unwrap();
    }
    folder
}

fn last_index(folder: &TempDir) -> u64 {
    let store = open(folder).unwrap();
    store.stored().unwrap().1.last_index()
}

#[test]
fn restart_recovers_what_was_synced() {
    let folder = filled(5);
    let store = open(&folder).unwrap();
    let (found, log) = store.stored().unwrap();
    assert_eq!(found, hard(1));
    assert_eq!(log.entry_at(3), Some(&entry(3)));
}

#[test]
fn truncation_and_snapshot_survive_a_restart() {
    let folder = filled(5);
    {
        let mut store = open(&folder).unwrap();
        let snapshot = LogSnapshot {
            index: 2,
            term: 1,
            voters: IndexSet::new(),
            fence: ClockTime(9),
            state: vec![1, 2, 3],
        };
        store
            .commit(vec![
                StoreEffect::TruncateFrom(4),
                StoreEffect::SaveSnapshot(snapshot),
                StoreEffect::SaveState(hard(2)),
            ])
            .unwrap();
    }
    let store = open(&folder).unwrap();
    let (found, log) = store.stored().unwrap();
    assert_eq!(found.term, 2);
    assert_eq!((log.snapshot().index, log.last_index()), (2, 3));
    assert_eq!(log.snapshot().fence, ClockTime(9));
}

#[test]
fn torn_last_frame_is_truncated() {
    let folder = filled(5);
    let path = folder.path().join("replica.log");
    let whole = fs::read(&path).unwrap();
    for n_cut in 1..40 {
        fs::write(&path, &whole[..whole.len() - n_cut]).unwrap();
        assert_eq!(last_index(&folder), 4, "{n_cut} bytes cut");
        fs::write(&path, &whole).unwrap();
    }
    let mut garbled = whole.clone();
    *garbled.last_mut().unwrap() ^= 1;
    fs::write(&path, garbled).unwrap();
    assert_eq!(last_index(&folder), 4);
    // Frames appended after the truncation are recovered.
    let mut store = open(&folder).unwrap();
    store.commit(vec![StoreEffect::Append(vec![entry(5)])]).unwrap();
    drop(store);
    assert_eq!(last_index(&folder), 5);
}

#[test]
fn damage_before_the_last_frame_is_an_error() {
    let folder = filled(5);
    let path = folder.path().join("replica.log");
    let mut bytes = fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).unwrap();
    let error = format!("{:#}", open(&folder).err().unwrap());
    assert!(error.contains("is damaged and others follow"), "{error}");
}

#[test]
fn folder_is_locked_and_bound_to_its_vm() {
    let folder = filled(1);
    let first = open(&folder).unwrap();
    let error = format!("{:#}", open(&folder).err().unwrap());
    assert!(error.contains("is in use by another process"), "{error}");
    drop(first);
    let other = LogStore::open(folder.path(), &VmName::from("control-2"));
    let error = format!("{:#}", other.err().unwrap());
    assert!(error.contains("belongs to VM control-1, not to control-2"), "{error}");
}

/// A folder at the path of the new file makes writes fail until it is removed.
#[test]
fn failed_write_is_retried_until_it_succeeds() {
    let folder = filled(3);
    let obstacle = folder.path().join("replica.log.new");
    fs::create_dir(&obstacle).unwrap();
    let remover = thread::spawn(move || {
        thread::sleep(Duration::from_millis(250));
        fs::remove_dir(obstacle).unwrap();
    });
    let mut store = open(&folder).unwrap();
    let began = Instant::now();
    store.commit(vec![StoreEffect::Reset(hard(2)), StoreEffect::Append(vec![entry(1)])]).unwrap();
    assert!(Duration::from_millis(200) < began.elapsed());
    remover.join().unwrap();
    store.commit(vec![StoreEffect::Append(vec![entry(2)])]).unwrap();
    drop(store);
    assert_eq!(last_index(&folder), 2);
}

fn refusal(folder: &TempDir) -> String {
    let error = format!("{:#}", open(folder).err().expect("the folder must be refused"));
    assert!(error.contains("replica.log"), "the error names no file: {error}");
    error
}

/// A file whose only frame was damaged or cut short was taken for a torn first write and emptied,
/// so that the VM forgot its votes and what it had acknowledged.
#[test]
fn damaged_or_cut_first_frame_is_refused_and_kept() {
    let folder = filled(0);
    let path = folder.path().join("replica.log");
    let whole = fs::read(&path).unwrap();
    let mut garbled = whole.clone();
    *garbled.last_mut().unwrap() ^= 1;
    for bytes in [garbled, whole[..whole.len() / 2].to_vec(), whole[..2].to_vec(), Vec::new()] {
        fs::write(&path, &bytes).unwrap();
        let error = refusal(&folder);
        assert!(error.contains("byte 0"), "{error}");
        assert_eq!(fs::read(&path).unwrap(), bytes, "the file was changed");
    }
    fs::write(&path, &whole).unwrap();
    assert_eq!(open(&folder).unwrap().stored().unwrap().0, hard(1));
}

/// Frames of a newer version were taken for a torn last write and dropped.
#[test]
fn frame_of_a_newer_version_is_refused_and_kept() {
    let folder = filled(2);
    let path = folder.path().join("replica.log");
    let mut bytes = fs::read(&path).unwrap();
    let at = bytes.len();
    bytes.extend_from_slice(b"yxf2\0\0\0\0\0\0\0\0");
    fs::write(&path, &bytes).unwrap();
    let error = refusal(&folder);
    assert!(error.contains(&format!("byte {at} is of another version")), "{error}");
    assert_eq!(fs::read(&path).unwrap(), bytes, "the file was changed");
}

/// A snapshot whose state this version cannot read ended the process by a panic without a word
/// on the file.
#[test]
fn state_that_does_not_decode_is_refused_with_file_and_byte() {
    let folder = filled(2);
    let state = vec![255; 3];
    let snapshot = LogSnapshot { index: 2, term: 1, state, ..LogSnapshot::default() };
    open(&folder).unwrap().commit(vec![StoreEffect::SaveSnapshot(snapshot)]).unwrap();
    let error = open(&folder).unwrap().check_state(ConfigState::decode).unwrap_err();
    let error = format!("{error:#}");
    let expected = "replica.log: the snapshot at byte 0 is of another version";
    assert!(error.contains(expected), "{error}");
}
