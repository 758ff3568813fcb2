//! Frames between processes are accepted only when sealed with a valid key.

use std::fs;

use tempfile::TempDir;
use yuccamux_adapters::link_key::LinkKeys;

fn keys(text: &str) -> anyhow::Result<LinkKeys> {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("keys");
    fs::write(&path, text).unwrap();
    LinkKeys::read(&path)
}

fn sealed(keys: &LinkKeys) -> Vec<u8> {
    let mut frame = b"frame".to_vec();
    keys.seal(&mut frame);
    frame
}

#[test]
fn two_keys_are_valid_during_rotation() {
    let old = keys("an old key of some length\n").unwrap();
    let both = keys("a new key of some length\nan old key of some length\n").unwrap();
    let new = keys("a new key of some length\n").unwrap();
    assert_eq!(both.open(&sealed(&old)), Some(&b"frame"[..]));
    assert_eq!(both.open(&sealed(&new)), Some(&b"frame"[..]));
    assert_eq!(new.open(&sealed(&both)), Some(&b"frame"[..]));
    assert_eq!(new.open(&sealed(&old)), None);
}

#[test]
fn damaged_or_short_frames_are_rejected() {
    let keys = LinkKeys::without_secret();
    let mut frame = sealed(&keys);
    frame[0] ^= 1;
    assert_eq!(keys.open(&frame), None);
    assert_eq!(keys.open(b"short"), None);
}

#[test]
fn key_files_are_checked() {
    assert!(keys("").is_err());
    assert!(keys("short\n").is_err());
    assert!(
        keys("a key of some length 1\na key of some length 2\na key of some length 3\n").is_err()
    );
}
